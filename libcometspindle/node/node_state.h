/*
 * node_state.h
 * what the node's files share
 */
#ifndef COMETSPINDLE_NODE_STATE_H
#define COMETSPINDLE_NODE_STATE_H

#include <glib.h>
#include <inttypes.h>
#include <libcometspindle/claims.h>
#include <libcometspindle/load_shedding.h>
#include <libcometspindle/log.h>
#include <libcometspindle/node/node_types.h>
#include <libcometspindle/scheduler/policy.h>
#include <libcometspindle/quota.h>
#include <libcometspindle/scheduler/scheduler.h>
#include <talloc.h>

/** Where a held request stands. */
enum comet_request_state
{
	COMET_REQUEST_CLAIMING, /**< waits for the claim on its key */
	COMET_REQUEST_QUOTA,    /**< waits for a part of its team's quota */
	COMET_REQUEST_WAITING,  /**< waits for a grant */
	COMET_REQUEST_RUNNING,  /**< dispatched */
};

/** One request that this VM holds: it alone may dispatch it. */
struct comet_request
{
	struct comet_submission submission;
	enum comet_request_state state;
	uint64_t arrived_us;
	uint64_t deadline_us;
	uint64_t renew_us;      /**< when its ask or grant is next renewed */
	uint64_t step_until_us; /**< end of the wait for claim or quota */
	uint32_t output_tokens; /**< estimate */
	uint64_t scheduler;     /**< VM asked; 0: none */
	uint32_t shard;
	uint32_t endpoint_id;
	uint32_t avoid;
	uint32_t tries;      /**< dispatches that ended "not run" */
	uint32_t dispatches; /**< dispatches whose bytes may have left */
	uint32_t cached_tokens;
	uint64_t group[COMET_CLAIM_GROUP_MAX];
	uint32_t group_size;
	uint32_t claims_granted;
	uint32_t claims_refused;
	bool claim_seen;
};

/** The scheduler role for one shard of a pool, as seen from here. */
struct comet_role
{
	uint32_t pool_id;
	uint32_t shard;
	uint64_t vm;                       /**< who holds it */
	struct comet_scheduler *scheduler; /**< when it is this VM */
	struct comet_node *node;
};

/** Messages packed for one VM. */
struct comet_outbox
{
	uint64_t vm;
	comet_Packet packet;
};

struct comet_node
{
	const struct comet_node_ops *ops;
	void *ctx;
	uint64_t self_id;
	char *name;
	char *zone;
	uint8_t bundle_key[32];
	uint32_t max_waiting;
	struct comet_time now; /**< of the call being served */
	uint64_t last_tick_us;
	uint64_t next_slow_tick_us;
	bool stopping;
	bool listed;
	struct comet_policy *policy;
	struct comet_bundle *bundle;
	GBytes *signed_bundle;
	uint64_t bundle_asked_us;
	uint64_t started_us;
	struct comet_membership *members;
	struct comet_claims *claims;
	struct comet_load_shedding floor;
	struct comet_quota *quota;
	struct comet_role *roles;
	uint32_t n_roles;
	GHashTable *requests; /**< id -> comet_request */
	uint32_t waiting[COMET_TIERS_MAX];
	uint32_t waiting_total;
	GHashTable *outputs;  /**< (team, pool) -> learned output estimate */
	GHashTable *reported; /**< endpoint id -> last reported load (baselines) */
	GHashTable *own_load; /**< endpoint id -> own dispatches running (baselines) */
	GHashTable *outboxes; /**< vm -> comet_outbox */
	GArray *own_items;    /**< comet_Item for roles held here, until the next flush */
	bool pending;
	double retry_budget;
	uint64_t *vm_ids; /**< the platform's list, this VM included */
	size_t n_vm_ids;
	struct comet_node_counts counts;
};

/* node_outbox.c */

/** Packs one item for a VM; this VM's own items are handled at the next flush, not before. */
void
comet_node_post(struct comet_node *node, uint64_t vm, const comet_Item *item);

/** What every heartbeat and reply says: version, floor promises, rumors. */
void
comet_node_fill_ping(struct comet_node *node, comet_Ping *ping);

/** Sends what is packed for one VM; blob is a signed bundle or NULL. */
void
comet_node_send_outbox(struct comet_node *node, struct comet_outbox *outbox, GBytes *blob);

/* node_request.c */

/** The held request with this id, or NULL. */
struct comet_request *
comet_request_find(struct comet_node *node, uint64_t id);

/** True until it is dispatched. */
bool
comet_request_is_waiting(const struct comet_request *request);

/** Counts it in (1) or out of (-1) what waits here. */
void
comet_request_count(struct comet_node *node, const struct comet_request *request, int change);

/** Gives its final answer without an endpoint, and forgets it. */
void
comet_request_refuse(struct comet_node *node, struct comet_request *request,
	enum comet_refusal refusal, enum comet_verdict verdict);

/** It was not run: its key may be claimed again. */
void
comet_request_release_claims(struct comet_node *node, const struct comet_request *request);

/** Tells the scheduler that its ask or grant is over; sample may be NULL. */
void
comet_request_post_done(struct comet_node *node, const struct comet_request *request,
	enum comet_outcome outcome, const struct comet_sample *sample);

/** For log lines. */
const char *
comet_node_team_name(const struct comet_node *node, uint32_t id);

/** It is over: nothing is known of it any more. */
void
comet_request_forget(struct comet_node *node, struct comet_request *request);

/* node_roles.c */

/** Who holds which shard: recomputed when members or bundle changed. Calls moved for each role that
 * another VM holds now. */
void
comet_node_assign_roles(struct comet_node *node,
	void (*moved)(struct comet_node *node, const struct comet_role *role));

struct comet_role *
comet_node_role(struct comet_node *node, uint32_t pool_id, uint32_t shard);

void
comet_node_drop_roles(struct comet_node *node);

/* node_bundle.c */

/** Asks a peer for a bundle that it has and we have not. */
void
comet_node_fetch_bundle(struct comet_node *node);

/* node_holder.c */

/** A role moved: held requests of that shard ask the new holder. */
void
comet_node_reask(struct comet_node *node, const struct comet_role *role);

void
comet_node_on_grant(struct comet_node *node, uint64_t from, const comet_Grant *grant);

void
comet_node_on_decline(struct comet_node *node, uint64_t from, uint64_t request);

/** Renews leases, ends what is past its deadline, sheds below the floor. */
void
comet_node_tick_requests(struct comet_node *node);

/* node_admit.c */

void
comet_node_on_claim_reply(struct comet_node *node, const comet_ClaimReply *reply);

void
comet_node_on_quota_grant(struct comet_node *node, const comet_QuotaGrant *grant);

/** How long a request waits for a part of its team's quota. */
#define COMET_QUOTA_WAIT_US 400000ULL

/** Refuses it under pressure; asserts tier order. */
void
comet_request_shed(struct comet_node *node, struct comet_request *request);

/** Full: the lowest tier goes, as far as the promises between VMs allow; else all wait. */
void
comet_node_make_room(struct comet_node *node);

/** Asks the home of its team for a part of the quota. */
void
comet_request_post_quota_ask(struct comet_node *node, const struct comet_request *request);

/** Spends quota, or waits for a part of it. */
void
comet_request_enter_quota(struct comet_node *node, struct comet_request *request);

/** Asks the group of its key to record it. */
void
comet_request_enter_claiming(struct comet_node *node, struct comet_request *request);

/* node_dispatch.c */

/** The learned part of max_tokens that a team uses of a pool. */
double *
comet_node_output_ratio(struct comet_node *node, uint32_t team_id, uint32_t pool_id);

/** Learns from how much output it had. */
void
comet_request_learn_output(
	struct comet_node *node, const struct comet_request *request, uint32_t output_tokens);

/** Dispatches it; asserts that it is the only time. */
void
comet_request_dispatch(struct comet_node *node, struct comet_request *request,
	const struct comet_endpoint *endpoint);

/** A dispatch of the baselines is over. */
void
comet_node_own_load_ended(struct comet_node *node, uint32_t endpoint_id);

/** The shard to ask: prompts that begin alike meet at one. */
uint32_t
comet_node_pick_shard(const struct comet_node *node, const struct comet_submission *submission);

/** Asks its scheduler, or renews the ask. */
void
comet_request_post_ask(struct comet_node *node, struct comet_request *request);

/** Renews its grant, or tells a new scheduler of it. */
void
comet_request_post_running(struct comet_node *node, struct comet_request *request);

/** Admitted: asks its scheduler, or routes it at once (baselines). */
void
comet_request_enter_waiting(struct comet_node *node, struct comet_request *request);

#endif
