/*
 * placement_returns.c
 * Tells refused callers when to come back, and serves those that have come back
 * before newcomers of their rank.
 */
#include <libcometspindle/gateway/placement/placement_state.h>

#include <libcometspindle/gateway/placement/placement.h>

/* Minimum of the Retry-After time of a refused caller: long enough for a slot to become free. */
#define RETRY_AFTER_MIN_US 100000

/* Maximum while no endpoint accepts the request: endpoints restart within seconds. */
#define UNBOOKED_MAX_US 5000000

/* A caller comes back when at most this fraction of its remaining time has passed, so that it can
 * still be answered. */
#define LATEST_RETURN_SHARE (1.0 / 3)

/* Maximum age of an owner's estimate: the time that a request waits at one owner, after which there
 * is a newer one if requests still wait. */
#define OWNER_ESTIMATE_MAX_AGE_US 300000

uint32_t
comet_placement_with_jitter(struct comet_placement *placement, double wait_ms)
{
	double jitter = 1 + COMET_PLACEMENT_RETRY_JITTER *
				    (2 * comet_random_double(&placement->picker.rng) - 1);

	return (uint32_t)(wait_ms * jitter);
}

uint32_t
comet_placement_unbooked_return_ms(struct comet_placement *placement, uint64_t wait_us)
{
	return comet_placement_with_jitter(
		placement, (double)CLAMP(wait_us, RETRY_AFTER_MIN_US, UNBOOKED_MAX_US) / 1000);
}

/* Returns the latest time at which the caller of a request that is refused now comes back. */
static uint64_t
latest_return_us(const struct comet_placement_item *item, uint64_t now_us)
{
	uint64_t latest_us = now_us + COMET_RETURN_MAX_US;

	if (item->answer_deadline_us == 0)
		return latest_us;
	uint64_t left_us = item->answer_deadline_us - MIN(now_us, item->answer_deadline_us);
	return MIN(latest_us, now_us + (uint64_t)((double)left_us * LATEST_RETURN_SHARE));
}

/* Returns the time from which a response is of no more use to the caller of a request. */
static uint64_t
until_us(const struct comet_placement_item *item, uint64_t now_us)
{
	return item->answer_deadline_us != 0 ? item->answer_deadline_us
					     : now_us + COMET_RETURN_MAX_US;
}

uint32_t
comet_placement_announce_return_ms(struct comet_placement *placement,
	struct comet_placement_item *item, uint64_t wait_us, uint64_t now_us)
{
	struct comet_placement_queue *queue = comet_placement_queue_of(placement, item->service);
	struct comet_placement_announcement *made = &placement->announcement;
	uint32_t rank = comet_placement_rank(item);
	uint64_t owner_us = queue->owner_estimates[rank].room_us;
	uint64_t owner_age_us = now_us - queue->owner_estimates[rank].learned_us;
	uint64_t booked_us = comet_return_schedule_room_us(&queue->returns, rank, 0);
	uint64_t interval_us =
		(uint64_t)comet_placement_slot_interval_us(placement, item->service, now_us);
	if (interval_us == 0 || placement->ops->find_caller == NULL)
	{
		item->retry_source = COMET_RETRY_OTHER;
		item->return_expected = false;
		return comet_placement_unbooked_return_ms(placement, wait_us);
	}
	struct comet_return_inputs inputs = {
		.rank = rank,
		.room_us = now_us + MAX(wait_us, RETRY_AFTER_MIN_US),
		.interval_us = interval_us,
		.latest_us = latest_return_us(item, now_us),
		.until_us = until_us(item, now_us),
	};
	/* The second refusal is final for its caller, so it books no room and leaves no record. */
	if (item->returned)
		inputs.until_us = 0;

	item->retry_source = COMET_RETRY_QUEUE;
	if (owner_age_us > OWNER_ESTIMATE_MAX_AGE_US)
		owner_us = 0;
	if (owner_us > inputs.room_us)
	{
		inputs.room_us = owner_us;
		item->retry_source = COMET_RETRY_OWNER;
	}
	if (booked_us > inputs.room_us)
		item->retry_source = COMET_RETRY_BOOKED;
	struct comet_return_announcement announced =
		comet_return_schedule_announce(&queue->returns, &inputs, now_us);
	uint64_t at_us = announced.at_us;
	item->return_expected = announced.is_expected;
	*made = (struct comet_placement_announcement){
		.wait_us = wait_us,
		.owner_us = owner_us > now_us ? owner_us - now_us : 0,
		.owner_age_us = owner_us > now_us ? owner_age_us : 0,
		.booked_us = booked_us > now_us ? booked_us - now_us : 0,
		.interval_us = interval_us,
		.return_us = MIN(at_us - now_us, COMET_RETURN_MAX_US),
		.due_us = MIN(at_us, inputs.latest_us) - now_us,
	};
	return (uint32_t)(made->return_us / 1000);
}

/* Marks a request as that of a returned caller. Its target latency counts from the first attempt;
 * otherwise a caller that is already late would go before newcomers that can still be in time. */
static void
mark_returned(struct comet_placement_item *item, uint64_t now_us)
{
	uint64_t waited_us = now_us - MIN(item->arrived_us, now_us);
	uint64_t earlier_us = item->caller_age_us - MIN(item->caller_age_us, waited_us);

	item->returned = true;
	if (item->soft_deadline_us != 0)
		item->soft_deadline_us -= MIN(earlier_us, item->soft_deadline_us - 1);
}

void
comet_placement_find_caller(
	struct comet_placement *placement, struct comet_placement_item *item, uint64_t now_us)
{
	if (item->caller_checked || placement->ops->find_caller == NULL)
		return;
	item->caller_checked = true;
	enum comet_placement_caller caller = placement->ops->find_caller(placement->ctx, item);
	if (caller == COMET_PLACEMENT_CALLER_RETURNED)
		mark_returned(item, now_us);
	item->caller_pending = caller == COMET_PLACEMENT_CALLER_PENDING;
}

bool
comet_placement_waits_in_vain(struct comet_placement *placement,
	const struct comet_placement_item *item, uint64_t wait_us, uint64_t now_us)
{
	if (item->response_started || now_us + wait_us <= item->dispatch_deadline_us)
		return false;
	if (!item->returned)
		return true;
	const struct comet_placement_queue *queue =
		comet_placement_queue_of(placement, item->service);
	return comet_return_schedule_is_refusal_final(&queue->returns, comet_placement_rank(item),
		latest_return_us(item, now_us), until_us(item, now_us), now_us);
}

uint64_t
comet_placement_newcomer_wait_us(
	struct comet_placement *placement, const struct comet_placement_item *item, uint64_t now_us)
{
	const struct comet_placement_queue *queue =
		comet_placement_queue_of(placement, item->service);
	uint64_t wait_us = comet_placement_wait_us(placement, item, now_us);

	return item->returned ? wait_us
			      : comet_return_schedule_wait_us(&queue->returns,
					comet_placement_rank(item), wait_us, now_us);
}

/* Moves a queued request of a returned caller to its new place, and renews its slot request. */
static void
move_to_new_place(
	struct comet_placement *placement, struct comet_placement_item *item, uint64_t now_us)
{
	comet_placement_dequeue(placement, item);
	comet_placement_cancel_slot_request(placement, item);
	mark_returned(item, now_us);
	item->late = comet_placement_is_late(placement, item, 0, now_us);
	comet_placement_enqueue(comet_placement_queue_of(placement, item->service), item, now_us);
	comet_placement_run(placement, now_us);
}

void
comet_placement_set_caller(struct comet_placement *placement, struct comet_placement_item *item,
	bool returned, uint64_t now_us)
{
	uint64_t room_us = item->room_us;

	item->caller_pending = false;
	item->room_us = 0;
	if (item->queue_position != NULL && returned)
	{
		move_to_new_place(placement, item, now_us);
		return;
	}
	if (returned)
		mark_returned(item, now_us);
	if (item->held)
	{
		item->held = false;
		comet_placement_place(placement, item, now_us);
	}
	else if (item->queue_position != NULL && room_us > item->dispatch_deadline_us)
		comet_placement_refuse_queued(
			placement, item, item->room_source, room_us - MIN(now_us, room_us), now_us);
}

/* One VM of hundreds has only one or two requests queued, too few to measure the dequeue rate of
 * their rank, which the owner knows. Without the estimate of the owner a request would be held
 * until its dispatch deadline and then refused. */
void
comet_placement_set_expected_wait(struct comet_placement *placement,
	struct comet_placement_item *item, uint64_t expected_us, uint64_t now_us)
{
	if (!item->slot_requested)
		return;
	item->queued_at_owner = true;
	comet_placement_slots_are_short(placement);
	if (item->queue_position == NULL ||
		!comet_placement_waits_in_vain(placement, item, expected_us, now_us))
		return;
	if (item->caller_pending)
	{
		item->room_us = now_us + expected_us;
		item->room_source = COMET_WAIT_OWNER;
	}
	else
		comet_placement_refuse_queued(
			placement, item, COMET_WAIT_OWNER, expected_us, now_us);
}

void
comet_placement_set_return_time(struct comet_placement *placement,
	const struct comet_placement_item *item, uint64_t return_us, uint64_t now_us)
{
	struct comet_placement_queue *queue = comet_placement_queue_of(placement, item->service);
	uint32_t rank = comet_placement_rank(item);

	queue->owner_estimates[rank].room_us = now_us + MIN(return_us, COMET_RETURN_MAX_US);
	queue->owner_estimates[rank].learned_us = now_us;
}

const struct comet_placement_announcement *
comet_placement_announcement(const struct comet_placement *placement)
{
	return &placement->announcement;
}
