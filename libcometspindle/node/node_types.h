/*
 * node_types.h
 * Input and output types of a node.
 */
#ifndef COMETSPINDLE_NODE_TYPES_H
#define COMETSPINDLE_NODE_TYPES_H

#include <libcometspindle/bundle.h>
#include <libcometspindle/endpoint.h>
#include <libcometspindle/membership.h>
#include <libcometspindle/proto/peer.pb.h>
#include <libcometspindle/scheduler/prefix.h>
#include <libcometspindle/verdict.h>
#include <stdint.h>

/** Time of an input: a monotonic clock that includes suspension, and the wall clock. */
struct comet_time
{
	uint64_t mono_us; /**< CLOCK_BOOTTIME */
	uint64_t wall_ms; /**< CLOCK_REALTIME */
};

struct comet_node;

/** Callbacks by which the node sends its output. */
struct comet_node_ops
{
	/** Sends a packet to a VM. blob is a signed bundle or NULL. */
	void (*send)(void *ctx, uint64_t vm, const comet_Packet *packet, GBytes *blob);
	/** Dispatches the request to this endpoint. The caller reports the end by
	 * comet_node_finished(). */
	void (*dispatch)(void *ctx, uint64_t request, const struct comet_endpoint *endpoint);
	/** Refuses the request: it ends without an answer of an endpoint. */
	void (*refuse)(void *ctx, uint64_t request, enum comet_refusal refusal,
		enum comet_verdict verdict, uint32_t retry_after_ms);
	/** Reports that the node adopted a new bundle. */
	void (*adopted)(void *ctx, struct comet_bundle *bundle);
	/** Reports that the set of VMs that callers may use has changed. */
	void (*entries_changed)(void *ctx);
};

/** Parameters of a new node. The node copies the strings and the key. */
struct comet_node_config
{
	const char *name;
	const char *zone;
	const char *policy;
	const uint8_t *bundle_key; /**< Ed25519 public key */
	uint64_t incarnation;
	uint32_t max_waiting;
	uint64_t seed; /**< for random choices that must differ between VMs */
};

/** A request as submitted to the node. */
struct comet_submission
{
	uint64_t request; /**< unique within this process */
	uint32_t pool_id;
	uint32_t team_id;
	uint32_t tier;
	uint32_t deadline_ms; /**< relative to the submission */
	uint32_t prompt_tokens;
	uint32_t max_output_tokens;
	struct comet_prefix prefix;
	bool once;              /**< must run at most once, which needs a claim on key */
	uint64_t key;           /**< hash of team and idempotency key */
	uint64_t first_sent_ms; /**< when the caller first sent it */
};

/** Monotonic counters of this VM, for metrics. */
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

#endif
