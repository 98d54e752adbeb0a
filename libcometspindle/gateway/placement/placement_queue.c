/*
 * placement_queue.c
 * Queues of requests that wait for a service: their order and their expected
 * waits.
 */
#include <libcometspindle/gateway/placement/placement_queue.h>

#include <libcometspindle/gateway/placement/placement_state.h>

/* Minimum share of the slots of a service that a VM assumes for itself when it estimates its waits.
 * A VM with a smaller share has only a few requests. */
#define MIN_SLOT_SHARE 0.02

/* Assumed interval between free slots while no endpoint of a service is usable: the time from the
 * start of an endpoint until it is listed. */
#define NO_ENDPOINT_INTERVAL_US 1000000.0

static void
free_queue(gpointer data)
{
	struct comet_placement_queue *queue = data;

	g_sequence_free(queue->items);
	g_sequence_free(queue->remote_waiters);
	g_free(queue->service);
	g_free(queue);
}

GHashTable *
comet_placement_queues_create(void)
{
	return g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_queue);
}

struct comet_placement_queue *
comet_placement_queue_of(struct comet_placement *placement, const char *service)
{
	struct comet_placement_queue *queue = g_hash_table_lookup(placement->queues, service);

	if (queue == NULL)
	{
		queue = g_new0(struct comet_placement_queue, 1);
		queue->service = g_strdup(service);
		queue->items = g_sequence_new(NULL);
		queue->remote_waiters = g_sequence_new(g_free);
		g_hash_table_insert(placement->queues, queue->service, queue);
	}
	return queue;
}

bool
comet_placement_has_waiting(const struct comet_placement_queue *queue)
{
	return g_sequence_get_length(queue->items) > 0 ||
	       g_sequence_get_length(queue->remote_waiters) > 0;
}

gint
comet_placement_compare(gconstpointer left, gconstpointer right, gpointer ctx)
{
	const struct comet_placement_item *a = left;
	const struct comet_placement_item *b = right;

	(void)ctx;
	if (a->team_rank != b->team_rank)
		return a->team_rank < b->team_rank ? -1 : 1;
	if (a->route_rank != b->route_rank)
		return a->route_rank < b->route_rank ? -1 : 1;
	if (a->late != b->late)
		return a->late ? 1 : -1;
	if (a->sequence == b->sequence)
		return 0;
	return a->sequence < b->sequence ? -1 : 1;
}

uint32_t
comet_placement_rank(const struct comet_placement_item *item)
{
	return item->team_rank + item->route_rank;
}

struct comet_dequeue_rate *
comet_placement_dequeue_rate(
	struct comet_placement_queue *queue, const struct comet_placement_item *item)
{
	uint32_t rank = MIN(comet_placement_rank(item), COMET_PLACEMENT_RANKS - 1);

	return &queue->dequeue_rates[rank][item->late ? 1 : 0];
}

void
comet_placement_enqueue(
	struct comet_placement_queue *queue, struct comet_placement_item *item, uint64_t now_us)
{
	comet_dequeue_rate_enqueued(comet_placement_dequeue_rate(queue, item), now_us);
	item->was_queued = true;
	item->queue_position =
		g_sequence_insert_sorted(queue->items, item, comet_placement_compare, NULL);
}

void
comet_placement_dequeue(struct comet_placement *placement, struct comet_placement_item *item)
{
	struct comet_placement_queue *queue = comet_placement_queue_of(placement, item->service);

	comet_dequeue_rate_removed(comet_placement_dequeue_rate(queue, item));
	g_sequence_remove(item->queue_position);
	item->queue_position = NULL;
}

/* Estimates the interval between two slots that become free for this VM. */
static double
slot_interval_us(struct comet_placement *placement, const char *service, uint64_t now_us)
{
	const GPtrArray *all = comet_instances_for_service(placement->instances, service);
	double typical_us = (double)comet_instances_typical_slot_us(placement->instances, service);
	double slots_per_us = 0;
	double local_load = 0;
	double load = 0;

	for (guint i = 0; all != NULL && i < all->len; i++)
	{
		const struct comet_instance *instance = all->pdata[i];
		if (comet_instance_is_leaving(instance) || instance->evacuated ||
			instance->replaced || instance->ejected_until_us > now_us)
			continue;
		slots_per_us += instance->slots / (typical_us * instance->relative_latency);
		local_load += instance->local_requests;
		load += comet_instance_load(instance, now_us);
	}
	if (slots_per_us == 0)
		return NO_ENDPOINT_INTERVAL_US;
	double local_share = CLAMP((local_load + 1) / (load + 1), MIN_SLOT_SHARE, 1.0);
	return 1 / slots_per_us / local_share;
}

uint64_t
comet_placement_wait_us(
	struct comet_placement *placement, const struct comet_placement_item *item, uint64_t now_us)
{
	struct comet_placement_queue *queue = comet_placement_queue_of(placement, item->service);
	struct comet_placement_item last = *item;

	last.sequence = UINT64_MAX;
	GSequenceIter *iter = g_sequence_search(queue->items, &last, comet_placement_compare, NULL);
	int n_ahead = g_sequence_iter_get_position(iter);
	double by_slots_us = (n_ahead + 1) * slot_interval_us(placement, item->service, now_us);
	double by_rate_us = comet_dequeue_rate_expected_wait_us(
		comet_placement_dequeue_rate(queue, item), now_us);
	return (uint64_t)MAX(by_slots_us, by_rate_us);
}

bool
comet_placement_is_late(const struct comet_placement *placement,
	const struct comet_placement_item *item, uint64_t wait_us, uint64_t now_us)
{
	uint64_t first_us =
		comet_instances_typical_first_us(placement->instances, item->service, &item->size);

	return item->soft_deadline_us != 0 && now_us + wait_us + first_us > item->soft_deadline_us;
}

void
comet_placement_each_service(const struct comet_placement *placement,
	void (*visit)(void *ctx, const char *service, uint32_t waiting), void *ctx)
{
	GHashTableIter iter;
	gpointer value = NULL;

	g_hash_table_iter_init(&iter, placement->queues);
	while (g_hash_table_iter_next(&iter, NULL, &value))
	{
		const struct comet_placement_queue *queue = value;
		visit(ctx, queue->service, (uint32_t)g_sequence_get_length(queue->items));
	}
}
