/*
 * placement_refuse.c
 * Refuses requests that would get no slot in time, and checks those that wait.
 */
#include <libcometspindle/gateway/placement/placement_state.h>

#include <libcometspindle/gateway/placement/placement.h>

/* Retry-After time while all zones of a service are evacuated. An evacuation takes several seconds
 * or longer, and its end is not announced. */
#define EVACUATED_RETRY_MS 5000

/* Retry-After time while all endpoints of a service leave: about the time in which others start. */
#define LEAVING_RETRY_MS 1000

/* Refuses a request. retry_after_ms: for a reason other than a shortage of slots */
static void
refuse_other(struct comet_placement *placement, struct comet_placement_item *item,
	uint32_t retry_after_ms)
{
	item->retry_source = COMET_RETRY_OTHER;
	item->return_expected = false;
	item->wait_source = COMET_WAIT_NONE;
	item->expected_wait_us = 0;
	comet_placement_refuse(placement, item, retry_after_ms);
}

void
comet_placement_refuse_evacuated(
	struct comet_placement *placement, struct comet_placement_item *item)
{
	refuse_other(placement, item, comet_placement_with_jitter(placement, EVACUATED_RETRY_MS));
}

/* Refuses a request that is not queued for its expected wait. */
static void
refuse_for_wait(struct comet_placement *placement, struct comet_placement_item *item,
	enum comet_wait_source source, uint64_t wait_us, uint64_t now_us)
{
	item->wait_source = source;
	item->expected_wait_us = wait_us;
	comet_placement_refuse(placement, item,
		comet_placement_announce_return_ms(placement, item, wait_us, now_us));
}

void
comet_placement_refuse_queued(struct comet_placement *placement, struct comet_placement_item *item,
	enum comet_wait_source source, uint64_t wait_us, uint64_t now_us)
{
	comet_placement_dequeue(placement, item);
	comet_placement_cancel_slot_request(placement, item);
	refuse_for_wait(placement, item, source, wait_us, now_us);
}

/* Moves requests that can no longer meet their soft deadline behind those of their rank that
 * can. */
static void
demote_late_items(
	struct comet_placement *placement, struct comet_placement_queue *queue, uint64_t now_us)
{
	GSequenceIter *iter = g_sequence_get_begin_iter(queue->items);

	while (!g_sequence_iter_is_end(iter))
	{
		struct comet_placement_item *item = g_sequence_get(iter);
		iter = g_sequence_iter_next(iter);
		if (item->late || !comet_placement_is_late(placement, item, 0, now_us))
			continue;
		comet_placement_dequeue(placement, item);
		item->late = true;
		uint64_t wait_us = comet_placement_wait_us(placement, item, now_us);
		if (!comet_placement_waits_in_vain(placement, item, wait_us, now_us))
		{
			comet_placement_enqueue(queue, item, now_us);
			continue;
		}
		if (item->caller_pending)
		{
			/* decided once the caller is known */
			if (now_us + wait_us > item->room_us)
			{
				item->room_us = now_us + wait_us;
				item->room_source = COMET_WAIT_QUEUE;
			}
			comet_placement_enqueue(queue, item, now_us);
			continue;
		}
		comet_placement_cancel_slot_request(placement, item);
		refuse_for_wait(placement, item, COMET_WAIT_QUEUE, wait_us, now_us);
	}
}

/* Refuses all queued requests of a service whose zones are all evacuated. */
static void
refuse_evacuated(struct comet_placement *placement, struct comet_placement_queue *queue)
{
	if (!comet_instances_all_evacuated(placement->instances, queue->service))
		return;
	while (g_sequence_get_length(queue->items) > 0)
	{
		struct comet_placement_item *item =
			g_sequence_get(g_sequence_get_begin_iter(queue->items));
		comet_placement_dequeue(placement, item);
		comet_placement_cancel_slot_request(placement, item);
		comet_placement_refuse_evacuated(placement, item);
	}
}

/* Shortens the waits of a service whose endpoints all leave: a new endpoint may be listed soon, but
 * callers lose little only while they are refused early. */
static void
shorten_waits(struct comet_placement *placement, struct comet_placement_queue *queue)
{
	GSequenceIter *iter = g_sequence_get_begin_iter(queue->items);

	if (!comet_instances_all_leaving(placement->instances, queue->service))
		return;
	for (; !g_sequence_iter_is_end(iter); iter = g_sequence_iter_next(iter))
	{
		struct comet_placement_item *item = g_sequence_get(iter);
		if (!item->response_started)
			item->dispatch_deadline_us =
				MIN(item->dispatch_deadline_us, item->early_refusal_us);
	}
}

void
comet_placement_refuse_unaccepted(
	struct comet_placement *placement, struct comet_placement_item *item, uint64_t wait_us)
{
	uint32_t ms = comet_placement_unbooked_return_ms(placement, wait_us);

	if (comet_instances_all_leaving(placement->instances, item->service))
		ms = MAX(ms, comet_placement_with_jitter(placement, LEAVING_RETRY_MS));
	refuse_other(placement, item, ms);
}

void
comet_placement_refuse_waiting(struct comet_placement *placement, struct comet_placement_item *item,
	enum comet_wait_source source, uint64_t wait_us, uint64_t now_us)
{
	if (comet_instances_all_leaving(placement->instances, item->service))
		comet_placement_refuse_unaccepted(placement, item, wait_us);
	else
		refuse_for_wait(placement, item, source, wait_us, now_us);
}

bool
comet_placement_refuse_if_resting(
	struct comet_placement *placement, struct comet_placement_item *item, uint64_t now_us)
{
	uint64_t end_us = comet_placement_rest_end_us(placement, item, now_us);

	if (end_us <= item->dispatch_deadline_us)
		return false;
	double rest_ms = (double)(end_us - now_us) / 1000;
	double jitter = COMET_PLACEMENT_RETRY_JITTER * comet_random_double(&placement->picker.rng);
	if (item->queue_position != NULL)
		comet_placement_dequeue(placement, item);
	comet_placement_cancel_slot_request(placement, item);
	refuse_other(placement, item, (uint32_t)(rest_ms * (1 + jitter)));
	return true;
}

/* Refuses the requests that would wait for the end of a rest beyond their dispatch deadline. */
static void
refuse_resting(
	struct comet_placement *placement, struct comet_placement_queue *queue, uint64_t now_us)
{
	GSequenceIter *iter = g_sequence_get_begin_iter(queue->items);

	if (!comet_placement_any_resting(placement, queue->service, now_us))
		return;
	while (!g_sequence_iter_is_end(iter))
	{
		struct comet_placement_item *item = g_sequence_get(iter);
		iter = g_sequence_iter_next(iter);
		comet_placement_refuse_if_resting(placement, item, now_us);
	}
}

/* Refuses requests whose dispatch deadline has passed. */
static void
refuse_expired(
	struct comet_placement *placement, struct comet_placement_queue *queue, uint64_t now_us)
{
	GSequenceIter *iter = g_sequence_get_begin_iter(queue->items);

	while (!g_sequence_iter_is_end(iter))
	{
		struct comet_placement_item *item = g_sequence_get(iter);
		iter = g_sequence_iter_next(iter);
		if (item->dispatch_deadline_us > now_us)
			continue;
		comet_placement_dequeue(placement, item);
		comet_placement_cancel_slot_request(placement, item);
		uint64_t wait_us = comet_placement_wait_us(placement, item, now_us);
		comet_placement_refuse_waiting(
			placement, item, COMET_WAIT_EXPIRED, wait_us, now_us);
	}
}

void
comet_placement_check_waits(
	struct comet_placement *placement, struct comet_placement_queue *queue, uint64_t now_us)
{
	refuse_evacuated(placement, queue);
	shorten_waits(placement, queue);
	refuse_resting(placement, queue, now_us);
	refuse_expired(placement, queue, now_us);
	demote_late_items(placement, queue, now_us);
}
