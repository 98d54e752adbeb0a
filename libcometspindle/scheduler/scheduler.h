/*
 * scheduler.h
 * scheduler of one pool shard: queues slot requests and grants endpoints in tier order
 *
 * The scheduler does no I/O and takes the time as a parameter. Slot requests and
 * grants are leases: the requesting VM renews them, and they expire otherwise.
 */
#ifndef COMETSPINDLE_SCHEDULER_H
#define COMETSPINDLE_SCHEDULER_H

#include <libcometspindle/bundle.h>
#include <libcometspindle/endpoint.h>
#include <libcometspindle/proto/peer.pb.h>
#include <libcometspindle/verdict.h>
#include <stdint.h>

struct comet_scheduler;

/** Callbacks that receive the decisions. */
struct comet_scheduler_ops
{
	/** Tells the requesting VM to dispatch the request. */
	void (*grant)(void *ctx, uint64_t vm_id, const comet_Grant *grant);
	/** Tells the requesting VM that no endpoint can finish the request in time. */
	void (*decline)(void *ctx, uint64_t vm_id, uint64_t request);
};

/** Counters for metrics and status. */
struct comet_scheduler_counts
{
	uint32_t waiting[COMET_TIERS_MAX];
	uint32_t running;
	uint32_t endpoints;
	uint32_t healthy;
	uint64_t granted;
	uint64_t declined;
};

/** Creates the scheduler of one shard; it grants nothing before settle_until_us. */
struct comet_scheduler *
comet_scheduler_create(void *parent, struct comet_bundle *bundle, uint32_t pool_id, uint32_t shard,
	const struct comet_scheduler_ops *ops, void *ctx, uint64_t settle_until_us);

/** Replaces the context pointer of the callbacks. */
void
comet_scheduler_set_ctx(struct comet_scheduler *scheduler, void *ctx);

/** Applies a new bundle and keeps the learned state of endpoints that remain. */
void
comet_scheduler_set_bundle(struct comet_scheduler *scheduler, struct comet_bundle *bundle);

/** Adds a slot request or renews its lease. */
void
comet_scheduler_ask(struct comet_scheduler *scheduler, uint64_t vm_id, const comet_Ask *message,
	uint64_t now_us);

/** Renews the lease of a grant; a new scheduler learns of the running request this way. */
void
comet_scheduler_running(struct comet_scheduler *scheduler, uint64_t vm_id,
	const comet_Running *running, uint64_t now_us);

/** Ends a grant or withdraws a slot request. */
void
comet_scheduler_done(
	struct comet_scheduler *scheduler, uint64_t vm_id, const comet_Done *done, uint64_t now_us);

/** Records that a stream is slow (step_us > 0) or silent (step_us == 0). */
void
comet_scheduler_slow(
	struct comet_scheduler *scheduler, uint32_t endpoint_id, uint32_t step_us, uint64_t now_us);

/** Records a load report of an endpoint. */
void
comet_scheduler_report(
	struct comet_scheduler *scheduler, uint32_t endpoint_id, uint32_t total, uint64_t now_us);

/** Drops all slot requests and grants of an unreachable VM. */
void
comet_scheduler_holder_gone(struct comet_scheduler *scheduler, uint64_t vm_id, uint64_t now_us);

/** Drops expired leases, declines overdue slot requests and grants waiting ones. */
void
comet_scheduler_tick(struct comet_scheduler *scheduler, uint64_t now_us);

void
comet_scheduler_count(
	const struct comet_scheduler *scheduler, struct comet_scheduler_counts *counts);

/** Returns the endpoints of this shard, for reports and status. */
struct comet_endpoint_state *
comet_scheduler_endpoints(struct comet_scheduler *scheduler, uint32_t *count);

#endif
