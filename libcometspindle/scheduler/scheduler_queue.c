/*
 * scheduler_queue.c
 * queues of slot requests, affinity groups, grants and their leases
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
	int order = compare_double(left->weighted_tokens, right->weighted_tokens);
	return order != 0 ? order
			  : (left->team_id > right->team_id) - (left->team_id < right->team_id);
}

static gint
compare_slot_request(gconstpointer a, gconstpointer b, gpointer unused)
{
	const struct slot_request *left = a;
	const struct slot_request *right = b;

	(void)unused;
	if (left->deadline_us != right->deadline_us)
		return left->deadline_us < right->deadline_us ? -1 : 1;
	int order =
		(left->key.request > right->key.request) - (left->key.request < right->key.request);
	if (order != 0)
		return order;
	return (left->key.vm_id > right->key.vm_id) - (left->key.vm_id < right->key.vm_id);
}

void
comet_scheduler_team_destroy(gpointer data)
{
	struct team_queue *team = data;

	g_hash_table_destroy(team->groups);
	g_sequence_free(team->slot_requests);
	g_free(team);
}

/* The queue is ordered by renewal, so the next lease to expire is always at the head. */
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
		team->slot_requests = g_sequence_new(NULL);
		team->groups = g_hash_table_new_full(
			g_direct_hash, g_direct_equal, NULL, (GDestroyNotify)g_sequence_free);
		g_hash_table_insert(queue->teams, GUINT_TO_POINTER(team_id), team);
	}
	team->weight = config != NULL ? config->weight : 1;
	return team;
}

/* Groups slot requests by prompt prefix, so that an endpoint that cached it can take them. */
static void
group_add(struct slot_request *slot_request)
{
	gpointer key = GUINT_TO_POINTER(slot_request->affinity);
	GSequence *group = g_hash_table_lookup(slot_request->team->groups, key);

	if (slot_request->affinity == 0)
		return;
	if (group == NULL)
	{
		group = g_sequence_new(NULL);
		g_hash_table_insert(slot_request->team->groups, key, group);
	}
	slot_request->group_position =
		g_sequence_insert_sorted(group, slot_request, compare_slot_request, NULL);
}

static void
group_remove(struct slot_request *slot_request)
{
	if (slot_request->affinity == 0)
		return;
	GSequence *group = g_sequence_iter_get_sequence(slot_request->group_position);
	g_sequence_remove(slot_request->group_position);
	if (g_sequence_is_empty(group))
		g_hash_table_remove(
			slot_request->team->groups, GUINT_TO_POINTER(slot_request->affinity));
}

void
comet_scheduler_enqueue(struct comet_scheduler *scheduler, struct slot_request *slot_request)
{
	struct tier_queue *queue = &scheduler->tiers[slot_request->message.tier];

	slot_request->position = g_sequence_insert_sorted(
		slot_request->team->slot_requests, slot_request, compare_slot_request, NULL);
	group_add(slot_request);
	queue->waiting++;
	if (slot_request->team->position != NULL)
		return;
	/* An idle team accumulates no credit. */
	if (slot_request->team->weighted_tokens < queue->min_weighted_tokens)
		slot_request->team->weighted_tokens = queue->min_weighted_tokens;
	slot_request->team->position =
		g_sequence_insert_sorted(queue->order, slot_request->team, compare_team, NULL);
}

void
comet_scheduler_dequeue(struct comet_scheduler *scheduler, struct slot_request *slot_request)
{
	struct tier_queue *queue = &scheduler->tiers[slot_request->message.tier];
	struct team_queue *team = slot_request->team;

	group_remove(slot_request);
	g_sequence_remove(slot_request->position);
	queue->waiting--;
	if (g_sequence_is_empty(team->slot_requests))
	{
		g_sequence_remove(team->position);
		team->position = NULL;
	}
	g_queue_delete_link(&scheduler->slot_request_leases, slot_request->lease);
	g_hash_table_remove(scheduler->slot_requests, &slot_request->key);
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
comet_scheduler_charge(
	struct comet_scheduler *scheduler, const struct slot_request *slot_request, uint32_t tokens)
{
	struct tier_queue *queue = &scheduler->tiers[slot_request->message.tier];

	queue->min_weighted_tokens = slot_request->team->weighted_tokens;
	slot_request->team->weighted_tokens += (double)tokens / slot_request->team->weight;
	if (slot_request->team->position != NULL)
		g_sequence_sort_changed(slot_request->team->position, compare_team, NULL);
}
