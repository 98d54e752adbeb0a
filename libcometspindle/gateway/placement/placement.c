/*
 * placement.c
 * Decides which endpoint a request is sent to and when, and refuses requests
 * that would expire in the queue.
 */
#include <libcometspindle/gateway/placement/placement.h>

#include <libcometspindle/gateway/placement/placement_state.h>
#include <string.h>
#include <talloc.h>

/* Fraction of the slow start capacity of an endpoint that the owner of its shard uses. During a
 * change of ownership or a network partition two VMs may act as owner. */
#define SLOW_START_OWNER_SHARE 0.5

/* Fraction that all VMs together use without a grant, because some requests are placed by gossip at
 * any time. */
#define SLOW_START_OWNERLESS_SHARE 0.25

/* The same for the limits that endpoints advertise. The owner leaves a margin, because network
 * delays differ and requests that were sent evenly may arrive close together. */
#define LIMIT_OWNER_SHARE 0.9
#define LIMIT_OWNERLESS_SHARE 0.5

/* Bounds of the Retry-After time of a refused caller: long enough for a slot to become free, and no
 * longer than a burst lasts. */
#define RETRY_AFTER_MIN_MS 100
#define RETRY_AFTER_MAX_MS 5000

/* Fraction by which Retry-After times vary at random. */
#define RETRY_JITTER 0.25

/* Mean time before another slot request is sent to an owner that denied one, varied at random by
 * half. While requests wait at many VMs, the owner then receives a slot request every few
 * milliseconds. */
#define DENIED_BACKOFF_US 100000

/* Retry-After time while all zones of a service are evacuated. An evacuation takes several seconds
 * or longer, and its end is not announced. */
#define EVACUATED_RETRY_MS 5000

/* Retry-After time while all endpoints of a service leave: about the time in which others start. */
#define LEAVING_RETRY_MS 1000

/* Interval between checks for late and expired requests, short compared with any latency target. A
 * queue is run for each slot that becomes free, which is some thousand times per second at an
 * owner, so it is not checked on every run. */
#define EXPIRY_CHECK_INTERVAL_US 10000

/* A queued request sends a slot request only while fewer than this are pending. Any more would rank
 * behind these at any owner. */
#define QUEUED_SLOT_REQUESTS_MAX 4

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
	placement->picker.seed = (uint32_t)seed;
	comet_placement_set_vms(placement, 1, 1);
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
	placement->owner_share = MIN(SLOW_START_OWNER_SHARE, (double)alive / known);
	placement->ownerless_share = SLOW_START_OWNERLESS_SHARE / known;
	placement->limit_owner_share = MIN(LIMIT_OWNER_SHARE, (double)alive / known);
	placement->limit_ownerless_share = LIMIT_OWNERLESS_SHARE / known;
}

/* Varies the time at random, so that callers that were refused together do not retry together. */
static uint32_t
with_jitter(struct comet_placement *placement, double wait_ms)
{
	double jitter = 1 + RETRY_JITTER * (2 * comet_random_double(&placement->picker.rng) - 1);

	return (uint32_t)(wait_ms * jitter);
}

static uint32_t
retry_after_ms(struct comet_placement *placement, uint64_t wait_us)
{
	return with_jitter(
		placement, CLAMP((double)wait_us / 1000, RETRY_AFTER_MIN_MS, RETRY_AFTER_MAX_MS));
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
	dispatch_to_slot(placement, item, instance, 0, now_us);
}

static void
end_slot_request(struct comet_placement *placement, struct comet_placement_item *item)
{
	item->slot_requested = false;
	placement->n_slot_requests--;
}

/* Cancels the pending slot request of the item, if any. */
static void
cancel_slot_request(struct comet_placement *placement, struct comet_placement_item *item)
{
	if (!item->slot_requested)
		return;
	end_slot_request(placement, item);
	placement->ops->cancel_slot_request(placement->ctx, item);
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
		if (now_us + wait_us <= item->dispatch_deadline_us)
		{
			comet_placement_enqueue(queue, item, now_us);
			continue;
		}
		cancel_slot_request(placement, item);
		placement->ops->refuse(placement->ctx, item, retry_after_ms(placement, wait_us));
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
		cancel_slot_request(placement, item);
		placement->ops->refuse(
			placement->ctx, item, with_jitter(placement, EVACUATED_RETRY_MS));
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
		item->dispatch_deadline_us =
			MIN(item->dispatch_deadline_us, item->early_refusal_us);
	}
}

/* @return the Retry-After time of a request that is refused after wait_us */
static uint32_t
refusal_ms(struct comet_placement *placement, const struct comet_placement_item *item,
	uint64_t wait_us)
{
	uint32_t ms = retry_after_ms(placement, wait_us);

	if (comet_instances_all_leaving(placement->instances, item->service))
		ms = MAX(ms, with_jitter(placement, LEAVING_RETRY_MS));
	return ms;
}

/* Refuses an item that can be dispatched only after its deadline, because all endpoints rest. Its
 * caller comes back when the first of them has ended its rest.
 * @return false if it is not refused */
static bool
refuse_if_resting(
	struct comet_placement *placement, struct comet_placement_item *item, uint64_t now_us)
{
	uint64_t end_us = comet_placement_rest_end_us(placement, item, now_us);

	if (end_us <= item->dispatch_deadline_us)
		return false;
	double rest_ms = (double)(end_us - now_us) / 1000;
	double jitter = RETRY_JITTER * comet_random_double(&placement->picker.rng);
	if (item->queue_position != NULL)
		comet_placement_dequeue(placement, item);
	cancel_slot_request(placement, item);
	placement->ops->refuse(placement->ctx, item, (uint32_t)(rest_ms * (1 + jitter)));
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
		refuse_if_resting(placement, item, now_us);
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
		cancel_slot_request(placement, item);
		uint64_t wait_us = comet_placement_wait_us(placement, item, now_us);
		placement->ops->refuse(placement->ctx, item, refusal_ms(placement, item, wait_us));
	}
}

/* Dispatches a queued request if an endpoint has capacity, or sends a slot request to an owner.
 * @return false if no request behind it can have capacity */
static bool
serve_item(struct comet_placement *placement, struct comet_placement_item *item, uint64_t now_us)
{
	bool may_request_slot =
		!item->slot_requested && placement->n_slot_requests < QUEUED_SLOT_REQUESTS_MAX;
	struct comet_instance *instance =
		may_request_slot ? comet_placement_find(placement, item, now_us)
				 : comet_placement_find_local(placement, item, now_us);

	if (instance == NULL)
		return item->slot_requested || item->deferred || item->n_attempted > 0 ||
		       item->version_id != 0;
	cancel_slot_request(placement, item);
	comet_placement_dequeue(placement, item);
	dispatch(placement, item, instance, now_us);
	return true;
}

/* Serves requests of this VM and remote waiters in one order of rank until no endpoint has
 * capacity. */
static void
run_queue(struct comet_placement *placement, struct comet_placement_queue *queue, uint64_t now_us)
{
	if (now_us - queue->expiry_checked_us >= EXPIRY_CHECK_INTERVAL_US)
	{
		queue->expiry_checked_us = now_us;
		refuse_evacuated(placement, queue);
		shorten_waits(placement, queue);
		refuse_resting(placement, queue, now_us);
		refuse_expired(placement, queue, now_us);
		demote_late_items(placement, queue, now_us);
		comet_placement_expire_remote_waiters(placement, queue, now_us);
	}
	placement->pass++;
	GSequenceIter *local = g_sequence_get_begin_iter(queue->items);
	GSequenceIter *remote = g_sequence_get_begin_iter(queue->remote_waiters);
	bool local_done = g_sequence_iter_is_end(local);
	bool remote_done = g_sequence_iter_is_end(remote);
	while (!local_done || !remote_done)
	{
		bool local_next = remote_done ||
				  (!local_done && comet_placement_compare(g_sequence_get(local),
							  g_sequence_get(remote), NULL) < 0);
		gpointer next = g_sequence_get(local_next ? local : remote);
		if (local_next)
		{
			local = g_sequence_iter_next(local);
			bool more = serve_item(placement, next, now_us);
			local_done = !more || g_sequence_iter_is_end(local);
		}
		else
		{
			remote = g_sequence_iter_next(remote);
			comet_placement_grant_remote_waiter(placement, next, now_us);
			remote_done = g_sequence_iter_is_end(remote);
		}
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

	if (comet_placement_is_evacuated(placement, item))
	{
		placement->ops->refuse(
			placement->ctx, item, with_jitter(placement, EVACUATED_RETRY_MS));
		return false;
	}
	if (refuse_if_resting(placement, item, now_us))
		return false;
	item->late = comet_placement_is_late(placement, item, 0, now_us);
	uint64_t wait_us = comet_placement_wait_us(placement, item, now_us);
	if (!item->late && comet_placement_is_late(placement, item, wait_us, now_us))
	{
		item->late = true;
		wait_us = MAX(wait_us, comet_placement_wait_us(placement, item, now_us));
		item->late = false;
	}
	bool must_refuse = now_us + wait_us > item->dispatch_deadline_us;

	if (!comet_placement_has_unattempted(placement, item))
	{
		/* No endpoint accepts the item at present. A short wait is worthwhile unless an
		 * endpoint has already been tried. */
		item->dispatch_deadline_us =
			MIN(item->dispatch_deadline_us, item->early_refusal_us);
		must_refuse = item->n_attempted > 0 || item->dispatch_deadline_us <= now_us;
	}
	if (must_refuse)
		placement->ops->refuse(placement->ctx, item, refusal_ms(placement, item, wait_us));
	else
		comet_placement_enqueue(queue, item, now_us);
	return !must_refuse;
}

/* Dispatches an item that is not queued, sends a slot request for it or enqueues it. */
static void
place_item(struct comet_placement *placement, struct comet_placement_item *item, uint64_t now_us)
{
	struct comet_instance *instance = comet_placement_find(placement, item, now_us);

	if (instance != NULL)
		dispatch(placement, item, instance, now_us);
	else if (!item->slot_requested && enqueue_or_refuse(placement, item, now_us))
		comet_placement_run(placement, now_us);
}

void
comet_placement_submit(
	struct comet_placement *placement, struct comet_placement_item *item, uint64_t now_us)
{
	struct comet_placement_queue *queue = comet_placement_queue_of(placement, item->service);

	item->submitted_us = now_us;
	item->sequence = placement->next_sequence++;
	item->queue_position = NULL;
	item->slot_requested = false;
	item->was_queued = false;
	item->late = false;
	item->deferred = false;
	if (!comet_placement_has_waiting(queue))
		place_item(placement, item, now_us);
	else if (enqueue_or_refuse(placement, item, now_us))
		comet_placement_run(placement, now_us);
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

	if (shard != NULL)
		comet_shard_denied(shard, item->version_id, queue_limit,
			now_us + (uint64_t)(DENIED_BACKOFF_US * jitter));
	retry_placement(placement, item, now_us);
}

void
comet_placement_unanswered(
	struct comet_placement *placement, struct comet_placement_item *item, uint64_t now_us)
{
	retry_placement(placement, item, now_us);
}

/* One VM of hundreds has only one or two requests queued, too few to measure the dequeue rate of
 * their rank, which the owner knows. Without the estimate of the owner a request would be held
 * until its dispatch deadline and then refused. */
void
comet_placement_set_expected_wait(struct comet_placement *placement,
	struct comet_placement_item *item, uint64_t expected_us, uint64_t now_us)
{
	if (!item->slot_requested || item->queue_position == NULL ||
		now_us + expected_us <= item->dispatch_deadline_us)
		return;
	comet_placement_dequeue(placement, item);
	cancel_slot_request(placement, item);
	placement->ops->refuse(placement->ctx, item, retry_after_ms(placement, expected_us));
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

bool
comet_placement_is_pending(const struct comet_placement_item *item)
{
	return item->queue_position != NULL || item->slot_requested;
}

void
comet_placement_cancel(struct comet_placement *placement, struct comet_placement_item *item)
{
	if (item->queue_position != NULL)
		comet_placement_dequeue(placement, item);
	cancel_slot_request(placement, item);
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
