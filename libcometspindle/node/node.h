/*
 * node.h
 * the control state of one VM: bundle, members, roles and the requests it holds
 *
 * A state machine without sockets, threads or clocks: everything comes in by
 * the calls below and goes out by struct comet_node_ops. One thread owns it.
 */
#ifndef COMETSPINDLE_NODE_H
#define COMETSPINDLE_NODE_H

#include <libcometspindle/bundle.h>
#include <libcometspindle/endpoint.h>
#include <libcometspindle/membership.h>
#include <libcometspindle/scheduler/prefix.h>
#include <libcometspindle/proto/peer.pb.h>
#include <libcometspindle/verdict.h>
#include <stdint.h>

/** The two clocks a node is told: one that counts suspension, and the wall clock. */
struct comet_time
{
	uint64_t mono_us; /**< CLOCK_BOOTTIME */
	uint64_t wall_ms; /**< CLOCK_REALTIME */
};

struct comet_node;

/** The outside, as the node sees it. */
struct comet_node_ops
{
	/** Send packed messages to a VM. blob is a signed bundle or NULL. */
	void (*send)(void *ctx, uint64_t vm, const comet_Packet *packet, GBytes *blob);
	/** Dispatch the request to this endpoint now; answered by comet_node_finished(). */
	void (*dispatch)(void *ctx, uint64_t request, const struct comet_endpoint *endpoint);
	/** The request is over without an answer of an endpoint. */
	void (*refuse)(void *ctx, uint64_t request, enum comet_refusal refusal,
		enum comet_verdict verdict, uint32_t retry_after_ms);
	/** A new bundle is in force. */
	void (*adopted)(void *ctx, struct comet_bundle *bundle);
	/** The set of VMs that callers may use changed. */
	void (*entries_changed)(void *ctx);
};

/** What a node is made with; strings and key are copied. */
struct comet_node_config
{
	const char *name;
	const char *zone;
	const char *policy;
	const uint8_t *bundle_key; /**< Ed25519 public key */
	uint64_t incarnation;
	uint32_t max_waiting;
	uint64_t seed; /**< for draws that must differ between VMs */
};

/** A request as it is handed to the node. */
struct comet_submission
{
	uint64_t request; /**< unique within this process */
	uint32_t pool_id;
	uint32_t team_id;
	uint32_t tier;
	uint32_t deadline_ms; /**< from now */
	uint32_t prompt_tokens;
	uint32_t max_output_tokens;
	struct comet_prefix prefix;
	bool once;              /**< not to be repeated: a claim on key is needed */
	uint64_t key;           /**< hash of team and idempotency key */
	uint64_t first_sent_ms; /**< when the caller first sent it */
};

/** Counters of this VM; monotonic, for metrics. */
struct comet_node_counts
{
	uint64_t submitted;
	uint64_t dispatched;
	uint64_t served;
	uint64_t failed;
	uint64_t refused[COMET_REFUSAL_INTERNAL + 1];
	uint64_t shed_by_tier[COMET_TIERS_MAX];
	uint64_t retries;
	uint64_t items_sent;
	uint64_t packets_sent;
	uint64_t role_changes;
	uint64_t pauses;
};

struct comet_node *
comet_node_create(void *parent, const struct comet_node_config *config,
	const struct comet_node_ops *ops, void *ctx, struct comet_time now);

/** The platform's list of VMs. */
void
comet_node_set_vms(
	struct comet_node *node, const struct comet_vm *vms, size_t count, struct comet_time now);

/**
 * A signed bundle from the platform or a peer. Adopted only if it is signed,
 * checked and newer than the one in force; else error says why.
 */
gboolean
comet_node_offer_bundle(struct comet_node *node, GBytes *signed_document, struct comet_time now,
	GError **error) G_GNUC_WARN_UNUSED_RESULT;

/** The bundle in force, or NULL. */
struct comet_bundle *
comet_node_bundle(const struct comet_node *node);

/** A new request; an answer comes by dispatch or refuse, perhaps before this returns. */
void
comet_node_submit(
	struct comet_node *node, const struct comet_submission *submission, struct comet_time now);

/** A dispatch is over. */
void
comet_node_finished(struct comet_node *node, uint64_t request, enum comet_outcome outcome,
	const struct comet_sample *sample, struct comet_time now);

/** The caller left before the dispatch. */
void
comet_node_abandoned(struct comet_node *node, uint64_t request, struct comet_time now);

/** A stream is slower than its endpoint's known speed (step_us), or silent (0). */
void
comet_node_slow(struct comet_node *node, uint64_t request, uint32_t step_us, struct comet_time now);

/** A load report of an endpoint. */
void
comet_node_report(
	struct comet_node *node, uint32_t endpoint_id, uint32_t total, struct comet_time now);

/** Messages from a peer. */
void
comet_node_receive(struct comet_node *node, uint64_t from, const comet_Packet *packet, GBytes *blob,
	struct comet_time now);

/** To be called every COMET_NODE_TICK_US or so. */
void
comet_node_tick(struct comet_node *node, struct comet_time now);

#define COMET_NODE_TICK_US 20000

/** Sends what is packed for peers; call when a batch of inputs is done. */
void
comet_node_flush(struct comet_node *node, struct comet_time now);

/** @return true while messages wait to be flushed. */
bool
comet_node_pending(const struct comet_node *node);

/** This VM stops: gives up its roles, tells peers. */
void
comet_node_stop(struct comet_node *node, struct comet_time now);

/** @return NULL when it may take requests, else why not. */
const char *
comet_node_not_ready(const struct comet_node *node);

/** Should this VM watch the platform's bundle (a few per zone do)? */
bool
comet_node_is_reader(struct comet_node *node);

/** Endpoints whose load reports this VM should read. Calls back once each. */
void
comet_node_each_reported(struct comet_node *node,
	void (*visit)(void *ctx, const struct comet_endpoint *endpoint), void *ctx);

struct comet_membership *
comet_node_members(struct comet_node *node);

/** Requests held by this VM that wait, by tier. */
void
comet_node_waiting(const struct comet_node *node, uint32_t waiting[COMET_TIERS_MAX]);

const struct comet_node_counts *
comet_node_counts(const struct comet_node *node);

/** One JSON object for operators: version, members, roles, queues. Caller frees with g_free. */
char *
comet_node_status(struct comet_node *node);

#endif
