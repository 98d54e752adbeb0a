/*
 * scheduler_private.h
 * internal declarations shared by the scheduler sources
 */
#ifndef COMETSPINDLE_SCHEDULER_PRIVATE_H
#define COMETSPINDLE_SCHEDULER_PRIVATE_H

#include <glib.h>
#include <inttypes.h>
#include <libcometspindle/log.h>
#include <libcometspindle/scheduler/scheduler.h>
#include <talloc.h>

/* VMs renew slot requests every 2 s and grants every 10 s; three missed renewals end a lease. */
#define SLOT_REQUEST_LEASE_US 6000000ULL
#define GRANT_LEASE_US 30000000ULL

/* Identifies a request across all VMs. */
struct request_key
{
	uint64_t vm_id;
	uint64_t request;
};

/* Slot requests of one team within one tier. */
struct team_queue
{
	uint32_t team_id;
	uint32_t weight;
	double weighted_tokens;   /* granted tokens divided by weight */
	GSequence *slot_requests; /* ordered by deadline */
	GHashTable *groups;       /* affinity -> GSequence of slot requests, ordered by deadline */
	uint32_t affinity_grants; /* affinity grants since the last grant in order */
	GSequenceIter *position;  /* in the order of the tier; NULL if no request waits */
};

struct tier_queue
{
	GHashTable *teams;          /* id -> team_queue */
	GSequence *order;           /* teams with slot requests, least served first */
	double min_weighted_tokens; /* lower bound for returning teams */
	uint32_t waiting;
};

/* A waiting slot request. */
struct slot_request
{
	struct request_key key;
	comet_Ask message;
	struct comet_prefix prefix;
	uint64_t deadline_us;
	uint64_t arrived_us;
	struct team_queue *team;
	GSequenceIter *position;
	uint32_t affinity; /* hash of the first prompt blocks; 0 if none */
	GSequenceIter *group_position;
	GList *lease;
	uint64_t lease_until_us;
};

/* An active grant. */
struct grant
{
	struct request_key key;
	uint32_t endpoint_id;
	uint32_t tier;
	GList *lease;
	uint64_t lease_until_us;
};

struct comet_scheduler
{
	struct comet_bundle *bundle;
	uint32_t pool_id;
	uint32_t shard;
	const struct comet_scheduler_ops *ops;
	void *ctx;
	uint64_t settle_until_us;
	struct tier_queue tiers[COMET_TIERS_MAX];
	struct comet_endpoint_state *endpoints;
	uint32_t n_endpoints;
	GHashTable *by_endpoint;           /* endpoint id -> slot + 1 */
	struct comet_prefix_map *prefixes; /* covers all endpoints */
	uint32_t *cached;                  /* scratch buffer: cached prompt tokens by slot */
	bool trust_health;                 /* false if too many endpoints appear unhealthy */
	double min_step_us;                /* minimum of all healthy endpoints */
	double min_prefill_us;
	uint32_t evaluations_left;  /* in the current pass */
	GHashTable *slot_requests;  /* request_key -> slot_request */
	GHashTable *grants;         /* request_key -> grant */
	GQueue slot_request_leases; /* least recently renewed first */
	GQueue grant_leases;
	uint64_t granted;
	uint64_t declined;
};

/* The best endpoints with room and the best full endpoint for one slot request. */
struct choice
{
	struct comet_endpoint_state *available;
	struct comet_cost available_cost;
	struct comet_endpoint_state *runner_up; /* second-best endpoint with room */
	uint64_t runner_up_us;
	struct comet_endpoint_state *full;
	struct comet_cost full_cost;
	uint64_t fastest_us; /* shortest time for the minimum part of the output */
	bool has_room;       /* at least one endpoint has room for this tier */
	bool by_affinity;
};

/* scheduler_queue.c */

/** GHashFunc for struct request_key. */
guint
comet_scheduler_key_hash(gconstpointer data);

/** GEqualFunc for struct request_key. */
gboolean
comet_scheduler_key_equal(gconstpointer a, gconstpointer b);

/** GDestroyNotify for struct team_queue. */
void
comet_scheduler_team_destroy(gpointer data);

/** Sets the expiry of a lease and moves the lease to the tail of its queue. */
void
comet_scheduler_lease_renew(GQueue *leases, GList *link, uint64_t *until_us, uint64_t until);

/** Returns the queue of a team within a tier and creates it if necessary. */
struct team_queue *
comet_scheduler_team(struct comet_scheduler *scheduler, uint32_t tier, uint32_t team_id);

/** Adds a slot request to the queue and the affinity group of its team. */
void
comet_scheduler_enqueue(struct comet_scheduler *scheduler, struct slot_request *slot_request);

/** Removes a slot request from all queues and tables and frees it. */
void
comet_scheduler_dequeue(struct comet_scheduler *scheduler, struct slot_request *slot_request);

/** Records a grant and its lease. */
struct grant *
comet_scheduler_grant_add(struct comet_scheduler *scheduler, const struct request_key *key,
	uint32_t endpoint_id, uint32_t tier, uint64_t now_us);

/** Ends a grant: frees the endpoint slot and passes the sample to the endpoint state. */
void
comet_scheduler_grant_end(struct comet_scheduler *scheduler, struct grant *grant,
	enum comet_outcome outcome, const struct comet_sample *sample, uint64_t now_us);

/** Charges tokens to the team of a granted slot request. */
void
comet_scheduler_charge(struct comet_scheduler *scheduler, const struct slot_request *slot_request,
	uint32_t tokens);

/** Returns the state of an endpoint, or NULL if it is not in this shard. */
struct comet_endpoint_state *
comet_scheduler_endpoint(struct comet_scheduler *scheduler, uint32_t id);

/* scheduler_choose.c */

/** Compares all endpoints for one slot request. */
void
comet_scheduler_choose(struct comet_scheduler *scheduler, const struct slot_request *slot_request,
	const struct comet_work *work, uint64_t now_us, struct choice *choice);

/** Fills in the work that a slot request means for an endpoint. */
void
comet_scheduler_fill_work(const struct slot_request *slot_request, struct comet_work *work);

/** Returns true if waiting for a full endpoint with a cached prefix is cheaper and in time. */
bool
comet_scheduler_better_to_wait(
	const struct choice *choice, const struct slot_request *slot_request, uint64_t now_us);

/** Updates the minimum latencies and decides whether the health states are trusted. */
void
comet_scheduler_update_speeds(struct comet_scheduler *scheduler);

/** Logs the decision behind a grant. */
void
comet_scheduler_log_grant(const struct comet_scheduler *scheduler,
	const struct slot_request *slot_request, const struct choice *choice, uint64_t now_us);

#endif
