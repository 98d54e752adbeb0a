/*
 * placement.c
 * Decides which endpoint a request is sent to and when, and refuses requests
 * that would expire in the queue.
 */
#include <libcometspindle/gateway/placement/placement.h>

#include <libcometspindle/gateway/placement/placement_state.h>
#include <string.h>
#include <talloc.h>

/* Fractions of the limit that an endpoint advertises which the owner of its shard uses, and which
 * all VMs together use without a grant. The owner leaves a margin, because network delays differ
 * and requests that were sent evenly may arrive close together. */
#define LIMIT_OWNER_SHARE 0.9
#define LIMIT_OWNERLESS_SHARE 0.5

/* Mean time before another slot request is sent to an owner that denied one, varied at random by
 * half. While requests wait at many VMs, the owner then receives a slot request every few
 * milliseconds. */
#define DENIED_BACKOFF_US 100000

/* Interval between checks for late and expired requests, short compared with any latency target. A
 * queue is run for each slot that becomes free, which is some thousand times per second at an
 * owner, so it is not checked on every run. */
#define EXPIRY_CHECK_INTERVAL_US 10000

static int
placement_destroy(struct comet_placement *placement)
{
	g_hash_table_destroy(placement->queues);
	return 0;
}

struct comet_placement *
comet_placement_create(void *parent, struct comet_instances *instances,
	const struct comet_placement_ops *ops, void *ctx, uint64_t seed)
{
	struct comet_placement *placement = talloc_zero(parent, struct comet_placement);

	placement->instances = instances;
	placement->shards = comet_shards_create(placement, instances);
	comet_random_init(&placement->picker.rng, seed);
	comet_placement_set_vms(placement, 1, 1);
	placement->max_slot_requests = COMET_PLACEMENT_SLOT_REQUESTS_MIN;
	placement->ops = ops;
	placement->ctx = ctx;
	placement->queues = comet_placement_queues_create();
	talloc_set_destructor(placement, placement_destroy);
	return placement;
}

/* A VM that receives gossip from few others may be the owner on the smaller side of a network
 * partition. With this bound the shares of both sides add up to one at most. */
void
comet_placement_set_vms(struct comet_placement *placement, uint32_t alive, uint32_t known)
{
	placement->limit_owner_share = MIN(LIMIT_OWNER_SHARE, (double)alive / known);
	placement->limit_ownerless_share = LIMIT_OWNERLESS_SHARE / known;
}

/* Dispatches the item. owner_vm: the VM that granted the slot, or 0. */
static void
dispatch_to_slot(struct comet_placement *placement, struct comet_placement_item *item,
	struct comet_instance *instance, uint32_t owner_vm, uint64_t now_us)
{
	if (item->was_queued)
		comet_dequeue_rate_dispatched(
			comet_placement_dequeue_rate(
				comet_placement_queue_of(placement, item->service), item),
			now_us);
	item->was_queued = false;
	comet_placement_count_served(placement, item, true);
	placement->decision.slot_us = item->slot_us;
	placement->decision.mean_slot_us = item->mean_slot_us;
	placement->decision.advanced = item->advanced;
	placement->decision.delay_us = item->order_us - item->arrived_us;
	comet_instance_selected(instance, now_us);
	item->owner_vm = owner_vm;
	if (item->n_attempted < COMET_PLACEMENT_ATTEMPTED_MAX)
		item->attempted[item->n_attempted++] = instance->key;
	placement->ops->dispatch(placement->ctx, item, instance);
}

static void
dispatch(struct comet_placement *placement, struct comet_placement_item *item,
	struct comet_instance *instance, uint64_t now_us)
{
	item->sample_wanted = false;
	dispatch_to_slot(placement, item, instance, 0, now_us);
}

static void
end_slot_request(struct comet_placement *placement, struct comet_placement_item *item)
{
	item->slot_requested = false;
	placement->n_slot_requests--;
}

void
comet_placement_cancel_slot_request(
	struct comet_placement *placement, struct comet_placement_item *item)
{
	if (!item->slot_requested)
		return;
	end_slot_request(placement, item);
	placement->ops->cancel_slot_request(placement->ctx, item);
}

/* Dispatches a queued request if an endpoint has capacity, or sends a slot request to an owner.
 * waits: set to whether it still waits. @return false if no request behind it can have capacity */
static bool
serve_item(struct comet_placement *placement, struct comet_placement_item *item, guint position,
	uint64_t now_us, bool *waits)
{
	struct comet_instance *instance =
		comet_placement_may_request_slot(placement, item, position)
			? comet_placement_find(placement, item, now_us)
			: comet_placement_find_local(placement, item, now_us);

	*waits = instance == NULL;
	if (instance == NULL)
		return item->slot_requested || item->deferred || item->n_attempted > 0 ||
		       item->version_id != 0;
	comet_placement_cancel_slot_request(placement, item);
	comet_placement_dequeue(placement, item);
	dispatch(placement, item, instance, now_us);
	return true;
}

/* Bound of the queue beyond the slots in a pass over the items in their order. */
struct queue_bound
{
	uint32_t team_rank;
	uint32_t of_team;         /* of the items of this team rank that still wait */
	uint32_t of_urgent_teams; /* of those of more urgent team ranks */
};

/* Sets the bound of the next item. */
static void
advance_bound(struct queue_bound *bound, struct comet_placement_item *item)
{
	if (item->team_rank != bound->team_rank)
	{
		bound->of_urgent_teams = MIN(bound->of_urgent_teams, bound->of_team);
		bound->of_team = COMET_PLACEMENT_UNBOUND;
		bound->team_rank = item->team_rank;
	}
	item->queue_bound = bound->of_urgent_teams;
}

/* Serves requests of this VM and remote waiters in one order of rank until no endpoint has
 * capacity. */
static void
run_queue(struct comet_placement *placement, struct comet_placement_queue *queue, uint64_t now_us)
{
	if (now_us - queue->expiry_checked_us >= EXPIRY_CHECK_INTERVAL_US)
	{
		queue->expiry_checked_us = now_us;
		comet_placement_check_waits(placement, queue, now_us);
		comet_placement_expire_remote_waiters(placement, queue, now_us);
	}
	placement->pass++;
	GSequenceIter *local = g_sequence_get_begin_iter(queue->items);
	GSequenceIter *remote = g_sequence_get_begin_iter(queue->remote_waiters);
	guint position = 0;
	bool local_done = g_sequence_iter_is_end(local);
	bool remote_done = g_sequence_iter_is_end(remote);
	bool more = true; /* local items that have not been visited may find capacity */
	struct queue_bound bound = {0, COMET_PLACEMENT_UNBOUND, COMET_PLACEMENT_UNBOUND};
	while (!local_done || !remote_done)
	{
		bool local_next = remote_done ||
				  (!local_done && comet_placement_compare(g_sequence_get(local),
							  g_sequence_get(remote), NULL) < 0);
		struct comet_placement_item *next = g_sequence_get(local_next ? local : remote);
		uint32_t next_bound = comet_placement_bound_of(next);
		advance_bound(&bound, next);
		bool waits = true;
		if (local_next)
		{
			local = g_sequence_iter_next(local);
			if (more)
				more = serve_item(placement, next, position++, now_us, &waits);
			local_done = g_sequence_iter_is_end(local);
		}
		else
		{
			remote = g_sequence_iter_next(remote);
			waits = !comet_placement_grant_remote_waiter(
				placement, (struct comet_placement_remote_waiter *)next, now_us);
			remote_done = g_sequence_iter_is_end(remote);
		}
		if (waits)
			bound.of_team = MIN(bound.of_team, next_bound);
	}
}

void
comet_placement_run(struct comet_placement *placement, uint64_t now_us)
{
	if (placement->running)
	{
		placement->run_again = true;
		return;
	}
	placement->running = true;
	do
	{
		placement->run_again = false;
		/* Copied, because a refusal may lead to a request for a service without a queue. */
		GList *queues = g_hash_table_get_values(placement->queues);
		for (GList *iter = queues; iter != NULL; iter = iter->next)
		{
			struct comet_placement_queue *queue = iter->data;
			if (comet_placement_has_waiting(queue))
				run_queue(placement, queue, now_us);
		}
		g_list_free(queues);
	} while (placement->run_again);
	placement->running = false;
}

/* Enqueues an item that found no capacity, or refuses it if it would expire in the queue. @return
 * whether it was enqueued; if not, the item may have been freed */
static bool
enqueue_or_refuse(
	struct comet_placement *placement, struct comet_placement_item *item, uint64_t now_us)
{
	struct comet_placement_queue *queue = comet_placement_queue_of(placement, item->service);

	if (item->replaces_attempt)
	{
		/* not counted as refused: the current attempt goes on */
		placement->ops->refuse(placement->ctx, item, 0);
		return false;
	}
	if (comet_placement_is_evacuated(placement, item))
	{
		comet_placement_refuse_evacuated(placement, item);
		return false;
	}
	if (comet_placement_refuse_if_resting(placement, item, now_us))
		return false;
	bool accepted = comet_placement_has_unattempted(placement, item);
	if (accepted)
		comet_placement_find_caller(placement, item, now_us);
	item->late = comet_placement_is_late(placement, item, 0, now_us);
	uint64_t wait_us = comet_placement_newcomer_wait_us(placement, item, now_us);
	if (!item->late && comet_placement_is_late(placement, item, wait_us, now_us))
	{
		item->late = true;
		wait_us = MAX(wait_us, comet_placement_newcomer_wait_us(placement, item, now_us));
		item->late = false;
	}
	bool must_refuse = comet_placement_waits_in_vain(placement, item, wait_us, now_us);

	if (!accepted)
	{
		/* No endpoint accepts the item at present. A short wait is worthwhile unless an
		 * endpoint has already been tried. */
		item->dispatch_deadline_us =
			MIN(item->dispatch_deadline_us, item->early_refusal_us);
		must_refuse = item->n_attempted > 0 || item->dispatch_deadline_us <= now_us;
	}
	if (must_refuse && accepted && item->caller_pending)
	{
		item->held = true;
		return false;
	}
	if (must_refuse && accepted)
		comet_placement_refuse_waiting(placement, item, COMET_WAIT_QUEUE, wait_us, now_us);
	else if (must_refuse)
		comet_placement_refuse_unaccepted(placement, item, wait_us);
	else
		comet_placement_enqueue(queue, item, now_us);
	return !must_refuse;
}

/* Dispatches an item that is not queued, sends a slot request for it or enqueues it. */
static void
place_item(struct comet_placement *placement, struct comet_placement_item *item, uint64_t now_us)
{
	comet_placement_set_queue_bound(placement, item);
	struct comet_instance *instance = comet_placement_find(placement, item, now_us);

	if (instance != NULL)
		dispatch(placement, item, instance, now_us);
	else if (!item->slot_requested && enqueue_or_refuse(placement, item, now_us))
		comet_placement_run(placement, now_us);
}

void
comet_placement_place(
	struct comet_placement *placement, struct comet_placement_item *item, uint64_t now_us)
{
	if (!comet_placement_has_waiting(comet_placement_queue_of(placement, item->service)))
		place_item(placement, item, now_us);
	else if (enqueue_or_refuse(placement, item, now_us))
		comet_placement_run(placement, now_us);
}

void
comet_placement_submit(
	struct comet_placement *placement, struct comet_placement_item *item, uint64_t now_us)
{
	item->submitted_us = now_us;
	item->sequence = placement->next_sequence++;
	item->queue_position = NULL;
	item->slot_requested = false;
	item->was_queued = false;
	item->late = false;
	item->deferred = false;
	comet_placement_set_place(
		placement, comet_placement_queue_of(placement, item->service), item, now_us);
	item->held = false;
	item->room_us = 0;
	item->queue_bound = COMET_PLACEMENT_UNBOUND;
	item->wait_source = COMET_WAIT_NONE;
	item->expected_wait_us = 0;
	comet_placement_place(placement, item, now_us);
}

/* Returns whether a granted slot may be used. An owner that does not know the limit of an endpoint,
 * or that runs an earlier release, grants slots without counting them against the limit. */
static bool
limit_permits_grant(const struct comet_placement *placement, struct comet_instance *instance,
	const struct comet_slot_grant *grant, uint64_t now_us)
{
	if (!instance->limit.active || grant->limit_applied ||
		comet_advertised_limit_admits(
			&instance->limit, placement->limit_ownerless_share, now_us))
		return true;
	comet_advertised_limit_block(&instance->limit, now_us);
	return false;
}

bool
comet_placement_granted(struct comet_placement *placement, struct comet_placement_item *item,
	const struct comet_slot_grant *grant, uint64_t now_us)
{
	struct comet_instance *instance =
		comet_instances_find_key(placement->instances, grant->instance_key);

	if (!item->slot_requested)
		return false; /* already dispatched; a second slot is not needed */
	end_slot_request(placement, item);
	if (item->queue_position != NULL && !item->queued_at_owner)
		comet_placement_slot_granted_at_once(placement);
	if (item->queue_position != NULL)
		comet_placement_dequeue(placement, item);
	if (instance == NULL || strcmp(instance->service, item->service) != 0 ||
		!comet_endpoint_picker_is_usable(item, instance, now_us) ||
		!limit_permits_grant(placement, instance, grant, now_us))
	{
		/* The endpoint lists of the VMs differ, more endpoints are ejected than a slot
		 * request can exclude, the answer is not from an owner, or the owner does not apply
		 * a limit. The service is compared because a request must never be sent to another
		 * service. */
		instance = comet_placement_pick_by_gossip(placement, item, now_us);
		if (instance != NULL)
			dispatch(placement, item, instance, now_us);
		else if (enqueue_or_refuse(placement, item, now_us))
			comet_placement_run(placement, now_us);
		return false;
	}
	memset(&placement->decision, 0, sizeof placement->decision);
	placement->decision.load = comet_instance_load(instance, now_us);
	placement->decision.slots = instance->slots;
	placement->decision.waited_us = now_us - item->submitted_us;
	comet_instance_estimate(instance, &item->size, now_us, &placement->decision.first_us,
		&placement->decision.total_us);
	item->sample_wanted = grant->sample_wanted;
	dispatch_to_slot(placement, item, instance, grant->owner_vm, now_us);
	return true;
}

/* Handles a slot request that ended without a slot: places the item again unless it is queued. */
static void
retry_placement(
	struct comet_placement *placement, struct comet_placement_item *item, uint64_t now_us)
{
	end_slot_request(placement, item);
	if (item->queue_position == NULL)
		place_item(placement, item, now_us);
}

void
comet_placement_denied(struct comet_placement *placement, struct comet_placement_item *item,
	uint32_t shard_id, uint32_t queue_limit, uint64_t now_us)
{
	struct comet_shard *shard = comet_shards_find(placement->shards, shard_id);
	double jitter = 0.5 + comet_random_double(&placement->picker.rng);

	comet_placement_slots_are_short(placement);
	if (shard != NULL)
	{
		const struct comet_shard_denial denial = {
			.version_id = item->version_id,
			.team_rank = item->team_rank,
			.level = queue_limit,
			.waited = item->waits_at_owner,
		};
		comet_shard_denied(
			shard, &denial, now_us + (uint64_t)(DENIED_BACKOFF_US * jitter), now_us);
	}
	retry_placement(placement, item, now_us);
}

void
comet_placement_unanswered(
	struct comet_placement *placement, struct comet_placement_item *item, uint64_t now_us)
{
	retry_placement(placement, item, now_us);
}

void
comet_placement_wait_expired(
	struct comet_placement *placement, struct comet_placement_item *item, uint64_t now_us)
{
	retry_placement(placement, item, now_us);
}

void
comet_placement_slot_released(
	struct comet_placement *placement, const struct comet_instance *instance)
{
	struct comet_shard *shard = comet_shards_find(placement->shards, instance->shard);

	if (shard != NULL)
		comet_shard_slot_released(shard);
}

void
comet_placement_cancel(struct comet_placement *placement, struct comet_placement_item *item)
{
	if (comet_placement_is_pending(item))
		comet_placement_count_served(placement, item, false);
	if (item->queue_position != NULL)
		comet_placement_dequeue(placement, item);
	comet_placement_cancel_slot_request(placement, item);
	item->held = false;
}

struct comet_instance *
comet_placement_pick_remote(struct comet_placement *placement,
	const struct comet_slot_request *request, uint64_t now_us,
	struct comet_placement_wait_estimate *wait)
{
	struct comet_instance *granted =
		comet_placement_admit_remote_waiter(placement, request, now_us, wait);

	/* A slot that no other waiter can use may suit this one. */
	if (wait->waits)
		comet_placement_run(placement, now_us);
	return granted;
}

const struct comet_placement_decision *
comet_placement_decision(const struct comet_placement *placement)
{
	return &placement->decision;
}
