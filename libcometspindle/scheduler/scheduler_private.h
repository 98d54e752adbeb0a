/*
 * scheduler_private.h
 * what the scheduler's files share
 */
#ifndef COMETSPINDLE_SCHEDULER_PRIVATE_H
#define COMETSPINDLE_SCHEDULER_PRIVATE_H

#include <glib.h>
#include <inttypes.h>
#include <libcometspindle/log.h>
#include <libcometspindle/scheduler/scheduler.h>
#include <talloc.h>

/* Holders renew asks each 2 s and grants each 10 s; after three misses the lease is over. */
#define ASK_LEASE_US 6000000ULL
#define GRANT_LEASE_US 30000000ULL

/* Names a request across VMs. */
struct request_key
{
	uint64_t holder;
	uint64_t request;
};

/* A team's asks within one tier. */
struct team_queue
{
	uint32_t team_id;
	uint32_t weight;
	double served;       /* tokens granted, divided by weight */
	GSequence *asks;     /* by deadline */
	GHashTable *groups;  /* affinity -> GSequence of asks, by deadline */
	uint32_t streak;     /* grants by affinity since the last one in order */
	GSequenceIter *spot; /* in the tier's order; NULL while nothing waits */
};

struct tier_queue
{
	GHashTable *teams; /* id -> team_queue */
	GSequence *order;  /* teams with asks, least served first */
	double floor;      /* served value of the team granted last */
	uint32_t waiting;
};

/* A waiting ask. */
struct ask
{
	struct request_key key;
	comet_Ask message;
	struct comet_prefix prefix;
	uint64_t deadline_us;
	uint64_t arrived_us;
	struct team_queue *team;
	GSequenceIter *spot;
	uint32_t affinity; /* hash of the prompt's first blocks; 0: none */
	GSequenceIter *group_spot;
	GList *lease;
	uint64_t lease_until_us;
};

/* A grant that is not over. */
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
	struct comet_prefix_map *prefixes; /* over all endpoints */
	uint32_t *cached;                  /* scratch: prompt tokens cached, by slot */
	bool trust_health;                 /* false: too many look bad */
	double least_step_us;              /* best of any healthy endpoint */
	double least_prefill_us;
	uint32_t tries_left; /* of the pass under way */
	GHashTable *asks;    /* request_key -> ask */
	GHashTable *grants;  /* request_key -> grant */
	GQueue ask_leases;   /* oldest renewal first */
	GQueue grant_leases;
	uint64_t granted;
	uint64_t declined;
};

/* The best endpoints with room, and the best full one, for one ask. */
struct choice
{
	struct comet_endpoint_state *free;
	struct comet_cost free_cost;
	struct comet_endpoint_state *second; /* with room as well */
	uint64_t second_us;
	struct comet_endpoint_state *full;
	struct comet_cost full_cost;
	uint64_t fastest_us; /* least time in which part of the output could be done */
	bool room;           /* some endpoint has room for this tier */
	bool by_affinity;
};

/* scheduler_queue.c */

/** Hash of a struct request_key, for tables. */
guint
comet_scheduler_key_hash(gconstpointer data);

/** Equality of two struct request_key. */
gboolean
comet_scheduler_key_equal(gconstpointer a, gconstpointer b);

/** Frees a struct team_queue, for tables. */
void
comet_scheduler_team_destroy(gpointer data);

/** Moves a lease to the end of its queue, which is ordered by renewal. */
void
comet_scheduler_lease_renew(GQueue *leases, GList *link, uint64_t *until_us, uint64_t until);

/** The queue of a team within a tier; made when it is new. */
struct team_queue *
comet_scheduler_team(struct comet_scheduler *scheduler, uint32_t tier, uint32_t team_id);

/** Puts an ask into its team's queue and group. */
void
comet_scheduler_enqueue(struct comet_scheduler *scheduler, struct ask *ask);

/** Takes an ask out of everything and frees it. */
void
comet_scheduler_dequeue(struct comet_scheduler *scheduler, struct ask *ask);

/** Records a grant and its lease. */
struct grant *
comet_scheduler_grant_add(struct comet_scheduler *scheduler, const struct request_key *key,
	uint32_t endpoint_id, uint32_t tier, uint64_t now_us);

/** Ends a grant: its endpoint has room again and learns from the sample. */
void
comet_scheduler_grant_end(struct comet_scheduler *scheduler, struct grant *grant,
	enum comet_outcome outcome, const struct comet_sample *sample, uint64_t now_us);

/** Charges tokens to the team of a granted ask. */
void
comet_scheduler_charge(struct comet_scheduler *scheduler, const struct ask *ask, uint32_t tokens);

/** The state of an endpoint of this shard, or NULL. */
struct comet_endpoint_state *
comet_scheduler_endpoint(struct comet_scheduler *scheduler, uint32_t id);

/* scheduler_choose.c */

/** Weighs all endpoints for one ask. */
void
comet_scheduler_choose(struct comet_scheduler *scheduler, const struct ask *ask,
	const struct comet_work *work, uint64_t now_us, struct choice *choice);

/** What an ask means to an endpoint. */
void
comet_scheduler_work(const struct ask *ask, struct comet_work *work);

/** True when a full endpoint that has the prompt cached is worth a wait. */
bool
comet_scheduler_better_to_wait(const struct choice *choice, const struct ask *ask, uint64_t now_us);

/** Looks at the best speeds and at how many endpoints look bad. */
void
comet_scheduler_note_speeds(struct comet_scheduler *scheduler);

/** Writes the decision line of a grant. */
void
comet_scheduler_log_grant(const struct comet_scheduler *scheduler, const struct ask *ask,
	const struct choice *choice, uint64_t now_us);

#endif
