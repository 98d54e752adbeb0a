/*
 * placement_queue.c
 * Queues of requests that wait for a service: their order and their expected
 * waits.
 */
#include <libcometspindle/gateway/placement/placement_queue.h>

#include <libcometspindle/gateway/placement/placement.h>
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
	comet_size_order_destroy(queue->order);
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
		queue->order = comet_size_order_create();
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

bool
comet_placement_is_pending(const struct comet_placement_item *item)
{
	return item->queue_position != NULL || item->slot_requested || item->held;
}

uint32_t
comet_placement_rank(const struct comet_placement_item *item)
{
	return MIN(item->team_rank, COMET_ORDER_TEAM_RANKS - 1) * COMET_ORDER_ROUTE_RANKS +
	       MIN(item->route_rank, COMET_ORDER_ROUTE_RANKS - 1);
}

struct comet_dequeue_rate *
comet_placement_dequeue_rate(
	struct comet_placement_queue *queue, const struct comet_placement_item *item)
{
	uint32_t rank = comet_placement_rank(item);

	return &queue->dequeue_rates[rank][item->late ? 1 : 0][item->large ? 1 : 0];
}

/* Returns the latency model of a service; NULL: it has no endpoints. */
static const struct comet_latency_model *
latency_model_of(const struct comet_placement *placement, const struct comet_placement_queue *queue)
{
	const GPtrArray *all = comet_instances_for_service(placement->instances, queue->service);

	if (all == NULL || all->len == 0)
		return NULL;
	const struct comet_instance *any = all->pdata[0]; /* all have the model of their service */
	return any->latency_model;
}

static uint64_t
time_until(uint64_t time_us, uint64_t now_us)
{
	return time_us > now_us ? time_us - now_us : 0;
}

static void
set_delay(struct comet_placement_item *item, uint64_t delay_us)
{
	item->order_us = item->arrived_us + delay_us;
	item->large = comet_order_is_large(
		delay_us, time_until(item->soft_deadline_us, item->arrived_us));
}

void
comet_placement_set_place(struct comet_placement *placement, struct comet_placement_queue *queue,
	struct comet_placement_item *item, uint64_t now_us)
{
	/* An item that is submitted again after a failed attempt keeps its place. */
	if (item->arrived_us != 0)
		return;
	item->arrived_us = now_us;
	item->counted = false;
	const struct comet_order_input input = {
		.team_id = item->team_id,
		.rank = comet_placement_rank(item),
		.size = item->size,
		.hinted = item->output_hinted,
		.latency_model = latency_model_of(placement, queue),
		.target_us = time_until(item->soft_deadline_us, now_us),
		.may_wait_us = time_until(item->dispatch_deadline_us, now_us),
	};
	const struct comet_order_place place = comet_size_order_place(queue->order, &input, now_us);
	item->slot_us = place.slot_us;
	item->mean_slot_us = place.mean_slot_us;
	item->advanced = place.advanced;
	item->size_class = place.size_class;
	set_delay(item, place.delay_us);
}

void
comet_placement_set_remote_place(struct comet_placement *placement,
	struct comet_placement_queue *queue, struct comet_placement_item *item,
	const struct comet_slot_request *request, uint64_t now_us)
{
	uint64_t bound_us = MIN((uint64_t)COMET_ORDER_MS_MAX * 1000, now_us);
	uint64_t delay_us = MIN(request->delay_us, bound_us);

	item->arrived_us = now_us - MIN(request->waited_us, bound_us);
	if (!request->delay_known)
	{
		const struct comet_order_input input = {
			.size = item->size,
			.hinted = true,
			.latency_model = latency_model_of(placement, queue),
			.target_us = time_until(item->soft_deadline_us, now_us),
		};
		delay_us = comet_size_order_remote_delay_us(queue->order, &input);
	}
	set_delay(item, delay_us);
}

void
comet_placement_count_served(
	struct comet_placement *placement, struct comet_placement_item *item, bool served)
{
	const struct comet_placement_queue *queue =
		comet_placement_queue_of(placement, item->service);

	if (!item->counted)
		comet_size_order_ended(
			queue->order, comet_placement_rank(item), item->size_class, served);
	item->counted = true;
}

void
comet_placement_refuse(struct comet_placement *placement, struct comet_placement_item *item,
	uint32_t retry_after_ms)
{
	comet_placement_count_served(placement, item, false);
	placement->ops->refuse(placement->ctx, item, retry_after_ms);
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

double
comet_placement_slot_interval_us(
	struct comet_placement *placement, const char *service, uint64_t now_us)
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
		slots_per_us +=
			instance->slots / (typical_us * comet_instance_relative_latency(instance));
		local_load += instance->local_requests;
		load += comet_instance_load(instance, now_us);
	}
	if (slots_per_us == 0)
		return 0;
	double local_share = CLAMP((local_load + 1) / (load + 1), MIN_SLOT_SHARE, 1.0);
	return 1 / slots_per_us / local_share;
}

/* Returns the last item of a sequence that is of a more urgent team than this one, or NULL. */
static const struct comet_placement_item *
last_of_urgent_teams(GSequence *sequence, const struct comet_placement_item *item)
{
	struct comet_placement_item first = *item;

	first.route_rank = 0;
	first.returned = true;
	first.late = false;
	first.order_us = 0;
	first.sequence = 0;
	GSequenceIter *iter = g_sequence_search(sequence, &first, comet_placement_compare, NULL);
	if (g_sequence_iter_is_begin(iter))
		return NULL;
	const struct comet_placement_item *last = g_sequence_get(g_sequence_iter_prev(iter));
	return last->team_rank < item->team_rank ? last : NULL;
}

/* Returns the lowest queue limit of the streams of more urgent teams: that of the last item of each
 * team rank. Searches at most COMET_ORDER_TEAM_RANKS of them, because the number of team ranks is
 * not bounded. */
static uint32_t
lowest_urgent_limit(GSequence *sequence, const struct comet_placement_item *item)
{
	uint32_t lowest = COMET_PLACEMENT_UNBOUND;

	for (uint32_t i = 0; i < COMET_ORDER_TEAM_RANKS && lowest > 0 && item->team_rank > 0; i++)
	{
		item = last_of_urgent_teams(sequence, item);
		if (item == NULL)
			break;
		lowest = MIN(lowest, comet_placement_bound_of(item));
	}
	return lowest;
}

void
comet_placement_set_queue_bound(
	struct comet_placement *placement, struct comet_placement_item *item)
{
	const struct comet_placement_queue *queue =
		comet_placement_queue_of(placement, item->service);

	item->queue_bound = COMET_PLACEMENT_UNBOUND;
	if (item->team_rank == 0 || comet_endpoint_picker_queue_limit(item) == 0)
		return;
	item->queue_bound = MIN(lowest_urgent_limit(queue->items, item),
		lowest_urgent_limit(queue->remote_waiters, item));
}

uint32_t
comet_placement_bound_of(const struct comet_placement_item *item)
{
	return item->size.stream ? comet_endpoint_picker_queue_limit(item)
				 : COMET_PLACEMENT_UNBOUND;
}

uint32_t
comet_placement_queue_limit(const struct comet_placement_item *item)
{
	return MIN(comet_endpoint_picker_queue_limit(item), item->queue_bound);
}

static uint32_t
position_of(GSequence *sequence, struct comet_placement_item *item)
{
	return (uint32_t)g_sequence_iter_get_position(
		g_sequence_search(sequence, item, comet_placement_compare, NULL));
}

uint32_t
comet_placement_n_ahead(GSequence *sequence, const struct comet_placement_item *item)
{
	struct comet_placement_item first = *item;
	struct comet_placement_item last = *item;

	first.returned = true;
	first.late = false;
	first.order_us = 0;
	first.sequence = 0;
	last.sequence = UINT64_MAX;
	return position_of(sequence, &last) - position_of(sequence, &first);
}

uint64_t
comet_placement_wait_us(
	struct comet_placement *placement, const struct comet_placement_item *item, uint64_t now_us)
{
	struct comet_placement_queue *queue = comet_placement_queue_of(placement, item->service);
	struct comet_placement_item last = *item;

	last.sequence = UINT64_MAX;
	double interval_us = comet_placement_slot_interval_us(placement, item->service, now_us);
	double by_slots_us = (position_of(queue->items, &last) + 1) *
			     (interval_us > 0 ? interval_us : NO_ENDPOINT_INTERVAL_US);
	double by_rate_us =
		comet_dequeue_rate_expected_wait_us(comet_placement_dequeue_rate(queue, item),
			comet_placement_n_ahead(queue->items, item), now_us);
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

void
comet_placement_learn_size(
	struct comet_placement *placement, const struct comet_placement_item *item, uint32_t events)
{
	const struct comet_placement_queue *queue =
		comet_placement_queue_of(placement, item->service);

	if (item->output_hinted && item->size.stream)
		comet_size_order_learn_hint(
			queue->order, item->team_id, item->size.output_tokens, events);
}

struct comet_order_counts
comet_placement_order_counts(const struct comet_placement *placement)
{
	struct comet_order_counts sum = {0};
	GHashTableIter iter;
	gpointer value = NULL;

	g_hash_table_iter_init(&iter, placement->queues);
	while (g_hash_table_iter_next(&iter, NULL, &value))
	{
		const struct comet_placement_queue *queue = value;
		const struct comet_order_counts *counts = comet_size_order_counts(queue->order);
		sum.sized += counts->sized;
		sum.unsized += counts->unsized;
		sum.advanced += counts->advanced;
	}
	return sum;
}
