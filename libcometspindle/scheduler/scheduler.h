/*
 * scheduler.h
 * one shard of a pool: asks wait here in tier order and are granted endpoints
 *
 * Plain state and a clock that is passed in. Asks and grants are leases: a
 * holder renews them, and what is not renewed is dropped.
 */
#ifndef COMETSPINDLE_SCHEDULER_H
#define COMETSPINDLE_SCHEDULER_H

#include <libcometspindle/bundle.h>
#include <libcometspindle/endpoint.h>
#include <libcometspindle/proto/peer.pb.h>
#include <libcometspindle/verdict.h>
#include <stdint.h>

struct comet_scheduler;

/** Where decisions go. */
struct comet_scheduler_ops
{
	/** Tell the holder to dispatch. */
	void (*grant)(void *ctx, uint64_t holder, const comet_Grant *grant);
	/** Tell the holder that no endpoint can finish it in time. */
	void (*decline)(void *ctx, uint64_t holder, uint64_t request);
};

/** Counts for metrics and status. */
struct comet_scheduler_counts
{
	uint32_t waiting[COMET_TIERS_MAX];
	uint32_t running;
	uint32_t endpoints;
	uint32_t healthy;
	uint64_t granted;
	uint64_t declined;
};

/** Creates the scheduler of one shard; nothing is granted before settle_until_us. */
struct comet_scheduler *
comet_scheduler_create(void *parent, struct comet_bundle *bundle, uint32_t pool_id, uint32_t shard,
	const struct comet_scheduler_ops *ops, void *ctx, uint64_t settle_until_us);

/** Replaces the context that decisions are reported to. */
void
comet_scheduler_set_ctx(struct comet_scheduler *scheduler, void *ctx);

/** Takes over a new bundle: learned state of endpoints that stay is kept. */
void
comet_scheduler_set_bundle(struct comet_scheduler *scheduler, struct comet_bundle *bundle);

/** A request asks, or renews its ask. */
void
comet_scheduler_ask(
	struct comet_scheduler *scheduler, uint64_t holder, const comet_Ask *ask, uint64_t now_us);

/** A granted request still runs: renews the lease, or tells a new scheduler of it. */
void
comet_scheduler_running(struct comet_scheduler *scheduler, uint64_t holder,
	const comet_Running *running, uint64_t now_us);

/** A grant or an ask is over. */
void
comet_scheduler_done(struct comet_scheduler *scheduler, uint64_t holder, const comet_Done *done,
	uint64_t now_us);

/** A stream is slow (step_us) or silent (0). */
void
comet_scheduler_slow(
	struct comet_scheduler *scheduler, uint32_t endpoint_id, uint32_t step_us, uint64_t now_us);

/** A load report of an endpoint. */
void
comet_scheduler_report(
	struct comet_scheduler *scheduler, uint32_t endpoint_id, uint32_t total, uint64_t now_us);

/** A VM is dead: its asks and grants are over. */
void
comet_scheduler_holder_gone(struct comet_scheduler *scheduler, uint64_t holder, uint64_t now_us);

/** Drops leases that ran out and grants what has room. */
void
comet_scheduler_tick(struct comet_scheduler *scheduler, uint64_t now_us);

void
comet_scheduler_count(
	const struct comet_scheduler *scheduler, struct comet_scheduler_counts *counts);

/** Endpoints of this shard, for reports and status. */
struct comet_endpoint_state *
comet_scheduler_endpoints(struct comet_scheduler *scheduler, uint32_t *count);

#endif
