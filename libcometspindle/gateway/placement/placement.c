/*
 * placement.c
 * which endpoint a request goes to, when, and what is refused early
 */
#include <libcometspindle/gateway/placement/placement.h>

#include <libcometspindle/gateway/placement/placement_state.h>
#include <string.h>
#include <talloc.h>

/* Part of what a cold endpoint bears that the VM which keeps count of it decides on. Another may
 * just have kept count, or still do on the other side of a cut. */
#define OWNER_SHARE 0.5

/* Part that all VMs decide on together without a keeper: some requests are placed by views at any
 * time. */
#define LONE_SHARE 0.25

/* Bounds of what a refused caller is told: long enough for a slot to come free, and no longer
 * than a burst lasts. */
#define RETRY_AFTER_MIN_MS 100
#define RETRY_AFTER_MAX_MS 5000

/* Part of that time by which callers are drawn apart. */
#define RETRY_SPREAD 0.25

/* A keeper that had no room is asked again after about this time (half of it or half more, drawn):
 * while much waits in many VMs, one of them then asks every few milliseconds. */
#define DENIED_US 100000

/* When a caller whose service is evacuated everywhere should come back: an evacuation takes seconds
 * at least, and its end is not announced. */
#define EVACUATED_RETRY_MS 5000

/* How often it is looked which of those that wait have become late: a small part of any aim. A
 * queue is gone through with each slot that comes free, some thousand times a second at a keeper.
 */
#define AGE_US 10000

/* Of the requests that wait, so many ask at a time: the rest is behind them at any keeper. */
#define WAITING_ASKS_MAX 4

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
	comet_random_init(&placement->choice.draw, seed);
	placement->choice.seed = (uint32_t)seed;
	comet_placement_set_vms(placement, 1, 1);
	placement->ops = ops;
	placement->ctx = ctx;
	placement->queues = comet_placement_queues_create();
	talloc_set_destructor(placement, placement_destroy);
	return placement;
}

/* A VM that hears few of the others keeps count on the smaller side of a cut: the sides' shares add
 * up to one at most. */
void
comet_placement_set_vms(struct comet_placement *placement, uint32_t heard, uint32_t known)
{
	placement->owner_share = MIN(OWNER_SHARE, (double)heard / known);
	placement->ownerless_share = LONE_SHARE / known;
}

/* Drawn, so that callers who were refused together do not come back together. */
static uint32_t
with_jitter(struct comet_placement *placement, double wait_ms)
{
	double spread = 1 + RETRY_SPREAD * (2 * comet_random_double(&placement->choice.draw) - 1);

	return (uint32_t)(wait_ms * spread);
}

static uint32_t
retry_after_ms(struct comet_placement *placement, uint64_t wait_us)
{
	return with_jitter(
		placement, CLAMP((double)wait_us / 1000, RETRY_AFTER_MIN_MS, RETRY_AFTER_MAX_MS));
}

bool
comet_placement_is_evacuated(
	const struct comet_placement *placement, const struct comet_placement_item *item)
{
	return comet_instances_all_evacuated(placement->instances, item->service);
}

bool
comet_placement_has_untried(
	const struct comet_placement *placement, const struct comet_placement_item *item)
{
	const GPtrArray *all = comet_instances_for_service(placement->instances, item->service);

	for (guint i = 0; all != NULL && i < all->len; i++)
	{
		const struct comet_instance *instance = all->pdata[i];
		if (comet_endpoint_picker_is_candidate(item, instance))
			return true;
	}
	return false;
}

/* Sends it there; keeper: the VM that granted the slot, or 0. */
static void
dispatch_granted(struct comet_placement *placement, struct comet_placement_item *item,
	struct comet_instance *instance, uint32_t keeper, uint64_t now_us)
{
	if (item->queued)
		comet_dequeue_rate_dispatched(
			comet_placement_dequeue_rate(
				comet_placement_queue_of(placement, item->service), item),
			now_us);
	item->queued = false;
	comet_instance_selected(instance, now_us);
	item->keeper = keeper;
	if (item->n_tried < COMET_PLACEMENT_TRIED_MAX)
		item->tried[item->n_tried++] = instance->key;
	placement->ops->dispatch(placement->ctx, item, instance);
}

static void
dispatch(struct comet_placement *placement, struct comet_placement_item *item,
	struct comet_instance *instance, uint64_t now_us)
{
	dispatch_granted(placement, item, instance, 0, now_us);
}

static void
stop_asking(struct comet_placement *placement, struct comet_placement_item *item)
{
	item->asking = false;
	placement->asking--;
}

/* Its keeper's answer is not awaited any more. */
static void
forget_ask(struct comet_placement *placement, struct comet_placement_item *item)
{
	if (!item->asking)
		return;
	stop_asking(placement, item);
	placement->ops->forget(placement->ctx, item);
}

/* Puts those that cannot be in time any more behind those of their rank that can. */
static void
demote_late(struct comet_placement *placement, struct comet_placement_queue *queue, uint64_t now_us)
{
	GSequenceIter *at = g_sequence_get_begin_iter(queue->items);

	while (!g_sequence_iter_is_end(at))
	{
		struct comet_placement_item *item = g_sequence_get(at);
		at = g_sequence_iter_next(at);
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
		forget_ask(placement, item);
		placement->ops->refuse(placement->ctx, item, retry_after_ms(placement, wait_us));
	}
}

/* Refuses all that waits for a service whose zones are all evacuated. */
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
		forget_ask(placement, item);
		placement->ops->refuse(
			placement->ctx, item, with_jitter(placement, EVACUATED_RETRY_MS));
	}
}

/* Refuses what cannot be dispatched in time any more. */
static void
refuse_late(struct comet_placement *placement, struct comet_placement_queue *queue, uint64_t now_us)
{
	GSequenceIter *at = g_sequence_get_begin_iter(queue->items);

	while (!g_sequence_iter_is_end(at))
	{
		struct comet_placement_item *item = g_sequence_get(at);
		at = g_sequence_iter_next(at);
		if (item->dispatch_deadline_us > now_us)
			continue;
		comet_placement_dequeue(placement, item);
		forget_ask(placement, item);
		uint64_t wait_us = comet_placement_wait_us(placement, item, now_us);
		placement->ops->refuse(placement->ctx, item, retry_after_ms(placement, wait_us));
	}
}

/* Dispatches a request that waits, if anything has room for it, or asks a keeper.
 * @return false when nobody behind it can have more room */
static bool
serve(struct comet_placement *placement, struct comet_placement_item *item, uint64_t now_us)
{
	bool may_ask = !item->asking && placement->asking < WAITING_ASKS_MAX;
	struct comet_instance *instance =
		may_ask ? comet_placement_find(placement, item, now_us)
			: comet_placement_find_local(placement, item, now_us);

	if (instance == NULL)
		return item->asking || item->held || item->n_tried > 0;
	forget_ask(placement, item);
	comet_placement_dequeue(placement, item);
	dispatch(placement, item, instance, now_us);
	return true;
}

/* Serves in order of rank, this VM's own and those of others that wait here, until nothing has
 * room.
 */
static void
run_queue(struct comet_placement *placement, struct comet_placement_queue *queue, uint64_t now_us)
{
	if (now_us - queue->aged_us >= AGE_US)
	{
		queue->aged_us = now_us;
		refuse_evacuated(placement, queue);
		refuse_late(placement, queue, now_us);
		demote_late(placement, queue, now_us);
		comet_placement_expire_remote_waiters(placement, queue, now_us);
	}
	placement->pass++;
	GSequenceIter *own = g_sequence_get_begin_iter(queue->items);
	GSequenceIter *remote_waiter = g_sequence_get_begin_iter(queue->remote_waiters);
	bool own_done = g_sequence_iter_is_end(own);
	bool guests_done = g_sequence_iter_is_end(remote_waiter);
	while (!own_done || !guests_done)
	{
		bool own_next = guests_done ||
				(!own_done && comet_placement_compare(g_sequence_get(own),
						      g_sequence_get(remote_waiter), NULL) < 0);
		gpointer next = g_sequence_get(own_next ? own : remote_waiter);
		if (own_next)
		{
			own = g_sequence_iter_next(own);
			bool go_on = serve(placement, next, now_us);
			own_done = !go_on || g_sequence_iter_is_end(own);
		}
		else
		{
			remote_waiter = g_sequence_iter_next(remote_waiter);
			comet_placement_grant_remote_waiter(placement, next, now_us);
			guests_done = g_sequence_iter_is_end(remote_waiter);
		}
	}
}

void
comet_placement_run(struct comet_placement *placement, uint64_t now_us)
{
	if (placement->running)
	{
		placement->again = true;
		return;
	}
	placement->running = true;
	do
	{
		placement->again = false;
		/* A list of its own: an answer may bring a request for a service not seen yet. */
		GList *queues = g_hash_table_get_values(placement->queues);
		for (GList *at = queues; at != NULL; at = at->next)
		{
			struct comet_placement_queue *queue = at->data;
			if (comet_placement_has_waiting(queue))
				run_queue(placement, queue, now_us);
		}
		g_list_free(queues);
	} while (placement->again);
	placement->running = false;
}

/* Nothing has room: the item waits in order of rank, or is refused if that is hopeless.
 * @return whether it waits; if not, it may be gone */
static bool
wait_or_refuse(
	struct comet_placement *placement, struct comet_placement_item *item, uint64_t now_us)
{
	struct comet_placement_queue *queue = comet_placement_queue_of(placement, item->service);

	if (comet_placement_is_evacuated(placement, item))
	{
		placement->ops->refuse(
			placement->ctx, item, with_jitter(placement, EVACUATED_RETRY_MS));
		return false;
	}
	item->late = comet_placement_is_late(placement, item, 0, now_us);
	uint64_t wait_us = comet_placement_wait_us(placement, item, now_us);
	if (!item->late && comet_placement_is_late(placement, item, wait_us, now_us))
	{
		item->late = true;
		wait_us = MAX(wait_us, comet_placement_wait_us(placement, item, now_us));
		item->late = false;
	}
	bool hopeless = now_us + wait_us > item->dispatch_deadline_us;

	if (!comet_placement_has_untried(placement, item))
	{
		/* Nobody serves it just now: worth a short wait, if nobody refused it yet. */
		item->dispatch_deadline_us = MIN(item->dispatch_deadline_us, item->early_us);
		hopeless = item->n_tried > 0 || item->dispatch_deadline_us <= now_us;
	}
	if (hopeless)
		placement->ops->refuse(placement->ctx, item, retry_after_ms(placement, wait_us));
	else
		comet_placement_enqueue(queue, item, now_us);
	return !hopeless;
}

/* Finds a slot for an item that does not wait, or makes it wait. */
static void
place(struct comet_placement *placement, struct comet_placement_item *item, uint64_t now_us)
{
	struct comet_instance *instance = comet_placement_find(placement, item, now_us);

	if (instance != NULL)
		dispatch(placement, item, instance, now_us);
	else if (!item->asking && wait_or_refuse(placement, item, now_us))
		comet_placement_run(placement, now_us);
}

void
comet_placement_submit(
	struct comet_placement *placement, struct comet_placement_item *item, uint64_t now_us)
{
	struct comet_placement_queue *queue = comet_placement_queue_of(placement, item->service);

	item->since_us = now_us;
	item->order = placement->next_order++;
	item->place = NULL;
	item->asking = false;
	item->queued = false;
	item->late = false;
	item->held = false;
	if (!comet_placement_has_waiting(queue))
		place(placement, item, now_us);
	else if (wait_or_refuse(placement, item, now_us))
		comet_placement_run(placement, now_us);
}

bool
comet_placement_granted(struct comet_placement *placement, struct comet_placement_item *item,
	uint32_t keeper, uint32_t instance_key, uint64_t now_us)
{
	struct comet_instance *instance =
		comet_instances_find_key(placement->instances, instance_key);

	if (!item->asking)
		return false; /* it is placed already: one slot is enough */
	stop_asking(placement, item);
	if (item->place != NULL)
		comet_placement_dequeue(placement, item);
	if (instance == NULL || strcmp(instance->service, item->service) != 0 ||
		!comet_endpoint_picker_is_usable(item, instance, now_us))
	{
		/* Our lists differ, or more endpoints are doubtful than an ask can name, or the
		 * answer is not a keeper's: no request leaves its service. */
		instance = comet_placement_choose_by_gossip(placement, item, now_us);
		if (instance != NULL)
			dispatch(placement, item, instance, now_us);
		else if (wait_or_refuse(placement, item, now_us))
			comet_placement_run(placement, now_us);
		return false;
	}
	memset(&placement->reason, 0, sizeof placement->reason);
	placement->reason.load = comet_instance_load(instance, now_us);
	placement->reason.slots = instance->slots;
	placement->reason.waited_us = now_us - item->since_us;
	comet_instance_estimate(instance, &item->job, now_us, &placement->reason.first_us,
		&placement->reason.total_us);
	dispatch_granted(placement, item, instance, keeper, now_us);
	return true;
}

/* An ask has ended without a slot: goes on looking, unless it waits in its queue anyway. */
static void
look_again(struct comet_placement *placement, struct comet_placement_item *item, uint64_t now_us)
{
	stop_asking(placement, item);
	if (item->place == NULL)
		place(placement, item, now_us);
}

void
comet_placement_denied(struct comet_placement *placement, struct comet_placement_item *item,
	uint32_t shard_id, uint32_t beyond, uint64_t now_us)
{
	struct comet_shard *shard = comet_shards_find(placement->shards, shard_id);
	double part = 0.5 + comet_random_double(&placement->choice.draw);

	if (shard != NULL)
		comet_shard_denied(shard, beyond, now_us + (uint64_t)(DENIED_US * part));
	look_again(placement, item, now_us);
}

void
comet_placement_unanswered(
	struct comet_placement *placement, struct comet_placement_item *item, uint64_t now_us)
{
	look_again(placement, item, now_us);
}

/* A VM of hundreds has one or two requests waiting, which tell it nothing of the pace at which
 * their rank is served; the keeper sees it. Without its word requests are held to the end of their
 * callers' patience, and refused then. */
void
comet_placement_set_expected_wait(struct comet_placement *placement,
	struct comet_placement_item *item, uint64_t expected_us, uint64_t now_us)
{
	if (!item->asking || item->place == NULL ||
		now_us + expected_us <= item->dispatch_deadline_us)
		return;
	comet_placement_dequeue(placement, item);
	forget_ask(placement, item);
	placement->ops->refuse(placement->ctx, item, retry_after_ms(placement, expected_us));
}

void
comet_placement_wait_expired(
	struct comet_placement *placement, struct comet_placement_item *item, uint64_t now_us)
{
	look_again(placement, item, now_us);
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
	if (item->place != NULL)
		comet_placement_dequeue(placement, item);
	forget_ask(placement, item);
}

struct comet_instance *
comet_placement_choose_remote(struct comet_placement *placement,
	const struct comet_slot_request *ask, uint64_t now_us,
	struct comet_placement_wait_estimate *wait)
{
	struct comet_instance *best =
		comet_placement_admit_remote_waiter(placement, ask, now_us, wait);

	if (wait->waits)
		comet_placement_run(placement, now_us); /* what others cannot use may do for it */
	return best;
}

const struct comet_placement_decision *
comet_placement_decision(const struct comet_placement *placement)
{
	return &placement->reason;
}
