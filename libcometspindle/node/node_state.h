/*
 * node_state.h
 * Internal state and functions shared by the files of the node.
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

/** State of a held request. */
enum comet_request_state
{
	COMET_REQUEST_CLAIMING, /**< waits for a claim on its key */
	COMET_REQUEST_QUOTA,    /**< waits for quota of its team */
	COMET_REQUEST_WAITING,  /**< waits for a grant */
	COMET_REQUEST_RUNNING,  /**< dispatched */
};

/** A request held by this VM. No other VM may dispatch the request. */
struct comet_request
{
	struct comet_submission submission;
	enum comet_request_state state;
	uint64_t arrived_us;
	uint64_t deadline_us;
	uint64_t renew_at_us;      /**< next renewal of the slot request, quota request or grant */
	uint64_t step_deadline_us; /**< end of the wait for claim replies or quota */
	uint32_t output_tokens;    /**< estimated */
	uint64_t scheduler;        /**< VM that received the slot request, or 0 */
	uint32_t shard;
	uint32_t endpoint_id;
	uint32_t avoid;
	uint32_t failed_attempts; /**< dispatches that the endpoint did not execute */
	uint32_t dispatches;      /**< dispatches that may have reached an endpoint */
	uint32_t cached_tokens;
	uint64_t group[COMET_CLAIM_GROUP_MAX];
	uint32_t group_size;
	uint32_t claims_granted;
	uint32_t claims_refused;
	bool claim_seen;
};

/** The scheduler role of one shard of a pool, as assigned by this VM. */
struct comet_role
{
	uint32_t pool_id;
	uint32_t shard;
	uint64_t vm;                       /**< VM that holds the role, or 0 */
	struct comet_scheduler *scheduler; /**< not NULL only if this VM holds the role */
	struct comet_node *node;
};

/** Items queued for one VM. */
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
	struct comet_time now; /**< time of the current input */
	uint64_t last_tick_us;
	uint64_t next_claim_expiry_us;
	bool stopping;
	bool listed;
	struct comet_policy *policy;
	struct comet_bundle *bundle;
	GBytes *signed_bundle;
	uint64_t bundle_requested_us;
	uint64_t started_us;
	struct comet_membership *members;
	struct comet_claims *claims;
	struct comet_load_shedding shedding;
	struct comet_quota *quota;
	struct comet_role *roles;
	uint32_t n_roles;
	GHashTable *requests; /**< id -> comet_request */
	uint32_t waiting[COMET_TIERS_MAX];
	uint32_t waiting_total;
	GHashTable *output_ratios; /**< (team, pool) -> learned output ratio */
	GHashTable *reported;      /**< endpoint id -> last reported load (baselines) */
	GHashTable *own_load;      /**< endpoint id -> running dispatches of this VM (baselines) */
	GHashTable *outboxes;      /**< vm -> comet_outbox */
	GArray *local_items; /**< comet_Item that this VM sent to itself, until the next flush */
	bool pending;
	double retry_budget;
	uint64_t *vm_ids; /**< VM list of the platform, including this VM */
	size_t n_vm_ids;
	struct comet_node_counts counts;
};

/* node_outbox.c */

/** Queues an item for a VM. Items for this VM itself are handled at the next flush. */
void
comet_node_post(struct comet_node *node, uint64_t vm, const comet_Item *item);

/** Fills a ping with bundle version, load shedding state and gossip. */
void
comet_node_fill_ping(struct comet_node *node, comet_Ping *ping);

/** Sends the items queued for one VM. blob is a signed bundle or NULL. */
void
comet_node_send_outbox(struct comet_node *node, struct comet_outbox *outbox, GBytes *blob);

/* node_request.c */

/** The held request with this id, or NULL. */
struct comet_request *
comet_request_find(struct comet_node *node, uint64_t id);

/** True until the request is dispatched. */
bool
comet_request_is_waiting(const struct comet_request *request);

/** Adds the request to (1) or removes it from (-1) the counts of waiting requests. */
void
comet_request_count(struct comet_node *node, const struct comet_request *request, int change);

/** Answers the caller with a refusal and removes the request. */
void
comet_request_refuse(struct comet_node *node, struct comet_request *request,
	enum comet_refusal refusal, enum comet_verdict verdict);

/** Releases the claims on the key of a request that was not executed. */
void
comet_request_release_claims(struct comet_node *node, const struct comet_request *request);

/** Tells the scheduler that the slot request or grant has ended. sample may be NULL. */
void
comet_request_post_done(struct comet_node *node, const struct comet_request *request,
	enum comet_outcome outcome, const struct comet_sample *sample);

/** The name of a team for log lines, or "?". */
const char *
comet_node_team_name(const struct comet_node *node, uint32_t id);

/** Removes and frees the request. */
void
comet_request_remove(struct comet_node *node, struct comet_request *request);

/* node_roles.c */

/** Recomputes the VM of each role after a change of members or bundle. Calls moved for each role
 * that moved to another VM. */
void
comet_node_assign_roles(struct comet_node *node,
	void (*moved)(struct comet_node *node, const struct comet_role *role));

struct comet_role *
comet_node_role(struct comet_node *node, uint32_t pool_id, uint32_t shard);

void
comet_node_drop_roles(struct comet_node *node);

/* node_bundle.c */

/** Requests a newer bundle from a peer that reports one. */
void
comet_node_fetch_bundle(struct comet_node *node);

/* node_holder.c */

/** Resends slot requests and running grants of a shard whose role moved to another VM. */
void
comet_node_resend_requests(struct comet_node *node, const struct comet_role *role);

void
comet_node_on_grant(struct comet_node *node, uint64_t from, const comet_Grant *grant);

void
comet_node_on_decline(struct comet_node *node, uint64_t from, uint64_t request);

/** Renews slot requests and grants, refuses expired requests, and sheds load. */
void
comet_node_tick_requests(struct comet_node *node);

/* node_admit.c */

void
comet_node_on_claim_reply(struct comet_node *node, const comet_ClaimReply *reply);

void
comet_node_on_quota_grant(struct comet_node *node, const comet_QuotaGrant *grant);

/** Longest time that a request waits for quota of its team. */
#define COMET_QUOTA_WAIT_US 400000ULL

/** Sheds the request. Reports a violation if a lower tier is waiting. */
void
comet_request_shed(struct comet_node *node, struct comet_request *request);

/** Sheds the lowest tier while the queue is full and the shedding level of all VMs allows it. */
void
comet_node_make_room(struct comet_node *node);

/** Sends a quota request to the owner of the quota of the team. */
void
comet_request_post_quota_request(struct comet_node *node, const struct comet_request *request);

/** Spends quota, or sends a quota request and waits. */
void
comet_request_enter_quota(struct comet_node *node, struct comet_request *request);

/** Sends a claim to each VM of the claim group of the key. */
void
comet_request_enter_claiming(struct comet_node *node, struct comet_request *request);

/* node_dispatch.c */

/** The learned ratio of output tokens to max_tokens, for a team and a pool. */
double *
comet_node_output_ratio(struct comet_node *node, uint32_t team_id, uint32_t pool_id);

/** Updates the output ratio from the output length of a request. */
void
comet_request_learn_output(
	struct comet_node *node, const struct comet_request *request, uint32_t output_tokens);

/** Dispatches the request. Reports a violation if it was dispatched before. */
void
comet_request_dispatch(struct comet_node *node, struct comet_request *request,
	const struct comet_endpoint *endpoint);

/** Subtracts an ended dispatch from the own load of an endpoint (baselines). */
void
comet_node_own_load_ended(struct comet_node *node, uint32_t endpoint_id);

/** The shard of a request. Prompts with a common prefix share a shard. */
uint32_t
comet_node_pick_shard(const struct comet_node *node, const struct comet_submission *submission);

/** Sends or renews the slot request. */
void
comet_request_post_slot_request(struct comet_node *node, struct comet_request *request);

/** Renews the grant, or reports it to a new scheduler. */
void
comet_request_post_running(struct comet_node *node, struct comet_request *request);

/** Sends the slot request of an admitted request, or dispatches immediately (baselines). */
void
comet_request_enter_waiting(struct comet_node *node, struct comet_request *request);

#endif
