/*
 * scheduler_queue.c
 * what waits and what was granted: queues in order, groups, leases
 */
#include <libcometspindle/scheduler/scheduler_private.h>

#include <libcometspindle/hash.h>
#include <string.h>

struct comet_endpoint_state *
comet_scheduler_endpoint(struct comet_scheduler *scheduler, uint32_t id)
{
	guint slot =
		GPOINTER_TO_UINT(g_hash_table_lookup(scheduler->by_endpoint, GUINT_TO_POINTER(id)));

	return slot > 0 ? &scheduler->endpoints[slot - 1] : NULL;
}

guint
comet_scheduler_key_hash(gconstpointer data)
{
	return (guint)comet_hash_bytes(data, sizeof(struct request_key), 0);
}

gboolean
comet_scheduler_key_equal(gconstpointer a, gconstpointer b)
{
	return memcmp(a, b, sizeof(struct request_key)) == 0;
}

static int
compare_double(double a, double b)
{
	return (a > b) - (a < b);
}

static gint
compare_team(gconstpointer a, gconstpointer b, gpointer unused)
{
	const struct team_queue *left = a;
	const struct team_queue *right = b;

	(void)unused;
	int order = compare_double(left->served, right->served);
	return order != 0 ? order
			  : (left->team_id > right->team_id) - (left->team_id < right->team_id);
}

static gint
compare_ask(gconstpointer a, gconstpointer b, gpointer unused)
{
	const struct ask *left = a;
	const struct ask *right = b;

	(void)unused;
	if (left->deadline_us != right->deadline_us)
		return left->deadline_us < right->deadline_us ? -1 : 1;
	int order =
		(left->key.request > right->key.request) - (left->key.request < right->key.request);
	if (order != 0)
		return order;
	return (left->key.holder > right->key.holder) - (left->key.holder < right->key.holder);
}

void
comet_scheduler_team_destroy(gpointer data)
{
	struct team_queue *team = data;

	g_hash_table_destroy(team->groups);
	g_sequence_free(team->asks);
	g_free(team);
}

/* Leases are kept in order of renewal, so that the oldest is found at once. */
void
comet_scheduler_lease_renew(GQueue *leases, GList *link, uint64_t *until_us, uint64_t until)
{
	g_queue_unlink(leases, link);
	g_queue_push_tail_link(leases, link);
	*until_us = until;
}

struct team_queue *
comet_scheduler_team(struct comet_scheduler *scheduler, uint32_t tier, uint32_t team_id)
{
	struct tier_queue *queue = &scheduler->tiers[tier];
	struct team_queue *team = g_hash_table_lookup(queue->teams, GUINT_TO_POINTER(team_id));
	const struct comet_team *config = comet_bundle_team(scheduler->bundle, team_id);

	if (team == NULL)
	{
		team = g_new0(struct team_queue, 1);
		team->team_id = team_id;
		team->asks = g_sequence_new(NULL);
		team->groups = g_hash_table_new_full(
			g_direct_hash, g_direct_equal, NULL, (GDestroyNotify)g_sequence_free);
		g_hash_table_insert(queue->teams, GUINT_TO_POINTER(team_id), team);
	}
	team->weight = config != NULL ? config->weight : 1;
	return team;
}

/* Asks whose prompts begin alike can be taken together by an endpoint that holds that beginning. */
static void
group_add(struct ask *ask)
{
	gpointer key = GUINT_TO_POINTER(ask->affinity);
	GSequence *group = g_hash_table_lookup(ask->team->groups, key);

	if (ask->affinity == 0)
		return;
	if (group == NULL)
	{
		group = g_sequence_new(NULL);
		g_hash_table_insert(ask->team->groups, key, group);
	}
	ask->group_spot = g_sequence_insert_sorted(group, ask, compare_ask, NULL);
}

static void
group_remove(struct ask *ask)
{
	if (ask->affinity == 0)
		return;
	GSequence *group = g_sequence_iter_get_sequence(ask->group_spot);
	g_sequence_remove(ask->group_spot);
	if (g_sequence_is_empty(group))
		g_hash_table_remove(ask->team->groups, GUINT_TO_POINTER(ask->affinity));
}

void
comet_scheduler_enqueue(struct comet_scheduler *scheduler, struct ask *ask)
{
	struct tier_queue *queue = &scheduler->tiers[ask->message.tier];

	ask->spot = g_sequence_insert_sorted(ask->team->asks, ask, compare_ask, NULL);
	group_add(ask);
	queue->waiting++;
	if (ask->team->spot != NULL)
		return;
	/* a team that comes back has no credit from the time it asked nothing */
	if (ask->team->served < queue->floor)
		ask->team->served = queue->floor;
	ask->team->spot = g_sequence_insert_sorted(queue->order, ask->team, compare_team, NULL);
}

void
comet_scheduler_dequeue(struct comet_scheduler *scheduler, struct ask *ask)
{
	struct tier_queue *queue = &scheduler->tiers[ask->message.tier];
	struct team_queue *team = ask->team;

	group_remove(ask);
	g_sequence_remove(ask->spot);
	queue->waiting--;
	if (g_sequence_is_empty(team->asks))
	{
		g_sequence_remove(team->spot);
		team->spot = NULL;
	}
	g_queue_delete_link(&scheduler->ask_leases, ask->lease);
	g_hash_table_remove(scheduler->asks, &ask->key);
}

struct grant *
comet_scheduler_grant_add(struct comet_scheduler *scheduler, const struct request_key *key,
	uint32_t endpoint_id, uint32_t tier, uint64_t now_us)
{
	struct grant *grant = g_new0(struct grant, 1);

	grant->key = *key;
	grant->endpoint_id = endpoint_id;
	grant->tier = tier;
	grant->lease_until_us = now_us + GRANT_LEASE_US;
	g_queue_push_tail(&scheduler->grant_leases, grant);
	grant->lease = scheduler->grant_leases.tail;
	g_hash_table_insert(scheduler->grants, &grant->key, grant);
	return grant;
}

void
comet_scheduler_grant_end(struct comet_scheduler *scheduler, struct grant *grant,
	enum comet_outcome outcome, const struct comet_sample *sample, uint64_t now_us)
{
	struct comet_endpoint_state *endpoint =
		comet_scheduler_endpoint(scheduler, grant->endpoint_id);

	if (endpoint != NULL && comet_endpoint_finish(endpoint, outcome, sample,
					scheduler->bundle->limits.gap_target_ms, now_us))
		comet_log(COMET_LOG_NOTICE,
			"event=health endpoint=%s health=%s failures=%u evidence=%s",
			endpoint->config->name, comet_health_name(endpoint->health),
			endpoint->failures, comet_outcome_name(outcome));
	g_queue_delete_link(&scheduler->grant_leases, grant->lease);
	g_hash_table_remove(scheduler->grants, &grant->key);
}

void
comet_scheduler_charge(struct comet_scheduler *scheduler, const struct ask *ask, uint32_t tokens)
{
	struct tier_queue *queue = &scheduler->tiers[ask->message.tier];

	queue->floor = ask->team->served;
	ask->team->served += (double)tokens / ask->team->weight;
	if (ask->team->spot != NULL)
		g_sequence_sort_changed(ask->team->spot, compare_team, NULL);
}
