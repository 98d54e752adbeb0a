/*
 * placement.c
 * which endpoint a request goes to, when, and what is refused early
 */
#include <libcometspindle/gateway/placement.h>

#include <libcometspindle/draw.h>
#include <string.h>
#include <talloc.h>

/* Requests that an urgent rank may have queued at an endpoint beyond its slots: a slot comes free
 * there every few tens of milliseconds, a small part of any aim. */
#define HEADROOM_FIRST 2
#define HEADROOM_SECOND 1

/* Plain services answer in tens of milliseconds: one more round of slots may wait there. */
#define HEADROOM_PLAIN_PERCENT 100

/* Part of the time an answer takes that counts against the time until it begins. */
#define WHOLE_WEIGHT 0.5

/* Estimates of an answer's length are right at the median only; this covers most of the rest. */
#define LENGTH_DOUBT 2.0

/* A second by which an answer would end too late counts as so many seconds of waiting. */
#define LATE_WEIGHT 2.0

/* What an endpoint in another availability zone costs: round trip and bytes between zones. */
#define OTHER_ZONE_US 4000

/* Costs are raised by up to this part at random: VMs that have the same view of the endpoints
 * would all send to the same one. */
#define SPREAD 0.5

/* An instance that is avoided gets a request that may not be repeated only so much later. */
#define TRIAL_PATIENCE_US 2000000

/* Least part of a service's endpoints that a VM takes for its own when it reckons how fast its
 * queue moves: more VMs than this bring only a few requests each. */
#define SHARE_MIN 0.02

/* While no endpoint of a service can be used, the next is reckoned with after this time: as long as
 * one takes to be listed after its start. */
#define NOBODY_US 1000000.0

/* Bounds of what a refused caller is told: long enough for a slot to come free, and no longer
 * than a burst lasts. */
#define RETRY_AFTER_MIN_MS 100
#define RETRY_AFTER_MAX_MS 5000

/* What waits for one service. */
struct queue
{
	char *service;
	GSequence *items;
};

struct comet_placement
{
	struct comet_instances *instances;
	char *own_zone;
	const struct comet_placement_ops *ops;
	void *ctx;
	GHashTable *queues; /* service -> struct queue */
	struct comet_placement_reason reason;
	struct comet_draw draw;
	uint64_t next_order;
	bool running;
	bool again;
};

static void
free_queue(gpointer data)
{
	struct queue *queue = data;

	g_sequence_free(queue->items);
	g_free(queue->service);
	g_free(queue);
}

static int
placement_destroy(struct comet_placement *placement)
{
	g_hash_table_destroy(placement->queues);
	return 0;
}

struct comet_placement *
comet_placement_create(void *parent, struct comet_instances *instances, const char *own_zone,
	const struct comet_placement_ops *ops, void *ctx, uint64_t seed)
{
	struct comet_placement *placement = talloc_zero(parent, struct comet_placement);

	placement->instances = instances;
	placement->own_zone = talloc_strdup(placement, own_zone);
	comet_draw_init(&placement->draw, seed);
	placement->ops = ops;
	placement->ctx = ctx;
	placement->queues = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_queue);
	talloc_set_destructor(placement, placement_destroy);
	return placement;
}

static struct queue *
queue_of(struct comet_placement *placement, const char *service)
{
	struct queue *queue = g_hash_table_lookup(placement->queues, service);

	if (queue == NULL)
	{
		queue = g_new0(struct queue, 1);
		queue->service = g_strdup(service);
		queue->items = g_sequence_new(NULL);
		g_hash_table_insert(placement->queues, queue->service, queue);
	}
	return queue;
}

static gint
compare_items(gconstpointer left, gconstpointer right, gpointer ctx)
{
	const struct comet_placement_item *a = left;
	const struct comet_placement_item *b = right;

	(void)ctx;
	if (a->team_rank != b->team_rank)
		return a->team_rank < b->team_rank ? -1 : 1;
	if (a->route_rank != b->route_rank)
		return a->route_rank < b->route_rank ? -1 : 1;
	if (a->order == b->order)
		return 0;
	return a->order < b->order ? -1 : 1;
}

static bool
was_tried(const struct comet_placement_item *item, uint32_t key)
{
	for (uint32_t i = 0; i < item->n_tried; i++)
	{
		if (item->tried[i] == key)
			return true;
	}
	return false;
}

/* Requests that may be at an instance when one more of this rank is sent. */
static uint32_t
room_of(const struct comet_placement_item *item, const struct comet_instance *instance)
{
	if (!item->job.stream)
		return instance->slots + instance->slots * HEADROOM_PLAIN_PERCENT / 100;
	if (item->route_rank == 0)
		return instance->slots + HEADROOM_FIRST;
	if (item->route_rank == 1)
		return instance->slots + HEADROOM_SECOND;
	return instance->slots;
}

/* May this item go to an instance of doubtful health now? */
static bool
may_try(const struct comet_placement_item *item, const struct comet_instance *instance,
	uint64_t now_us)
{
	if (instance->avoid_us == 0)
		return true;
	if (instance->on_trial || now_us < instance->avoid_us)
		return false;
	return item->repeatable || now_us - instance->avoid_us > TRIAL_PATIENCE_US;
}

/* What sending it there costs: the time until the answer begins, and part of what it takes. */
static double
cost_of(struct comet_placement *placement, const struct comet_placement_item *item,
	const struct comet_instance *instance, uint32_t load, uint64_t now_us,
	struct comet_placement_reason *reason)
{
	comet_instance_expect(placement->instances, instance, &item->job, now_us, &reason->first_us,
		&reason->whole_us);
	double wait = 0;
	if (load >= instance->slots)
		wait = (double)reason->whole_us * (load - instance->slots + 1) / instance->slots;
	/* Plain services slow down as they fill. */
	double crowd = item->job.stream ? 0 : (double)reason->whole_us * load / instance->slots / 2;
	double zone = strcmp(instance->zone, placement->own_zone) == 0 ? 0 : OTHER_ZONE_US;
	double cost = wait + crowd + zone + (double)reason->first_us +
		      WHOLE_WEIGHT * (double)(reason->whole_us - reason->first_us);
	/* Lengths are guessed: an answer that may take twice as long must still be whole in time.
	 */
	double end = (double)now_us + wait + LENGTH_DOUBT * (double)reason->whole_us;
	if (item->end_us != 0 && end > (double)item->end_us)
		cost += LATE_WEIGHT * (end - (double)item->end_us);
	return cost * (1 + SPREAD * comet_draw_unit(&placement->draw));
}

/* The cheapest instance with room, or NULL. candidates: any that could ever take it. */
static struct comet_instance *
choose(struct comet_placement *placement, const struct comet_placement_item *item, uint64_t now_us)
{
	const GPtrArray *all = comet_instances_of(placement->instances, item->service);
	struct comet_instance *best = NULL;
	struct comet_placement_reason found = {0};
	double best_cost = 0;
	uint32_t with_room = 0;
	uint32_t candidates = 0;

	for (guint i = 0; all != NULL && i < all->len; i++)
	{
		struct comet_instance *instance = all->pdata[i];
		struct comet_placement_reason reason = {0};
		if (instance->draining || instance->replaced || was_tried(item, instance->key))
			continue;
		candidates++;
		if (now_us < instance->full_us)
			continue;
		reason.load = comet_instance_load(instance, now_us);
		if (reason.load >= room_of(item, instance) || !may_try(item, instance, now_us))
			continue;
		with_room++;
		double cost = cost_of(placement, item, instance, reason.load, now_us, &reason);
		if (best == NULL || cost < best_cost)
		{
			best = instance;
			best_cost = cost;
			found = reason;
			found.slots = instance->slots;
			found.view_age_us = now_us - MAX(instance->others_us, instance->told_us);
		}
	}
	found.candidates = candidates;
	found.with_room = with_room;
	found.waited_us = now_us - item->since_us;
	placement->reason = found;
	return best;
}

static uint32_t
retry_after_ms(uint64_t wait_us)
{
	return (uint32_t)CLAMP(wait_us / 1000, RETRY_AFTER_MIN_MS, RETRY_AFTER_MAX_MS);
}

/* How fast a service's queue moves here: the time between two slots that come free for this VM. */
static double
slot_interval_us(struct comet_placement *placement, const char *service, uint64_t now_us)
{
	const GPtrArray *all = comet_instances_of(placement->instances, service);
	double usual_us = (double)comet_instances_usual_us(placement->instances, service);
	double per_us = 0;
	double own = 0;
	double load = 0;

	for (guint i = 0; all != NULL && i < all->len; i++)
	{
		const struct comet_instance *instance = all->pdata[i];
		if (instance->draining || instance->replaced || instance->avoid_us > now_us)
			continue;
		per_us += instance->slots / (usual_us * instance->pace);
		own += instance->own;
		load += comet_instance_load(instance, now_us);
	}
	if (per_us == 0)
		return NOBODY_US;
	double share = CLAMP((own + 1) / (load + 1), SHARE_MIN, 1.0);
	return 1 / per_us / share;
}

uint64_t
comet_placement_wait_us(
	struct comet_placement *placement, const struct comet_placement_item *item, uint64_t now_us)
{
	struct queue *queue = queue_of(placement, item->service);
	struct comet_placement_item probe = *item;

	probe.order = UINT64_MAX;
	GSequenceIter *at = g_sequence_search(queue->items, &probe, compare_items, NULL);
	int ahead = g_sequence_iter_get_position(at);
	return (uint64_t)((ahead + 1) * slot_interval_us(placement, item->service, now_us));
}

bool
comet_placement_has_other(
	const struct comet_placement *placement, const struct comet_placement_item *item)
{
	const GPtrArray *all = comet_instances_of(placement->instances, item->service);

	for (guint i = 0; all != NULL && i < all->len; i++)
	{
		const struct comet_instance *instance = all->pdata[i];
		if (!instance->draining && !instance->replaced && !was_tried(item, instance->key))
			return true;
	}
	return false;
}

static void
dispatch(struct comet_placement *placement, struct comet_placement_item *item,
	struct comet_instance *instance)
{
	instance->on_trial = instance->avoid_us != 0;
	if (item->n_tried < COMET_PLACEMENT_TRIED_MAX)
		item->tried[item->n_tried++] = instance->key;
	placement->ops->dispatch(placement->ctx, item, instance);
}

static void
take_out(struct comet_placement_item *item)
{
	g_sequence_remove(item->place);
	item->place = NULL;
}

/* Refuses what cannot be dispatched in time any more. */
static void
refuse_late(struct comet_placement *placement, struct queue *queue, uint64_t now_us)
{
	GSequenceIter *at = g_sequence_get_begin_iter(queue->items);

	while (!g_sequence_iter_is_end(at))
	{
		struct comet_placement_item *item = g_sequence_get(at);
		at = g_sequence_iter_next(at);
		if (item->latest_us > now_us)
			continue;
		take_out(item);
		uint64_t wait_us = comet_placement_wait_us(placement, item, now_us);
		placement->ops->refuse(placement->ctx, item, retry_after_ms(wait_us));
	}
}

/* Dispatches in order of rank until nothing has room. */
static void
run_queue(struct comet_placement *placement, struct queue *queue, uint64_t now_us)
{
	refuse_late(placement, queue, now_us);
	GSequenceIter *at = g_sequence_get_begin_iter(queue->items);
	while (!g_sequence_iter_is_end(at))
	{
		struct comet_placement_item *item = g_sequence_get(at);
		struct comet_instance *instance = choose(placement, item, now_us);
		at = g_sequence_iter_next(at);
		if (instance == NULL && item->n_tried == 0)
			break; /* nobody behind it has more room */
		if (instance == NULL)
			continue;
		take_out(item);
		dispatch(placement, item, instance);
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
			struct queue *queue = at->data;
			if (g_sequence_get_length(queue->items) > 0)
				run_queue(placement, queue, now_us);
		}
		g_list_free(queues);
	} while (placement->again);
	placement->running = false;
}

void
comet_placement_submit(
	struct comet_placement *placement, struct comet_placement_item *item, uint64_t now_us)
{
	struct queue *queue = queue_of(placement, item->service);
	bool queued = g_sequence_get_length(queue->items) > 0;

	item->since_us = now_us;
	item->order = placement->next_order++;
	item->place = NULL;
	struct comet_instance *instance = queued ? NULL : choose(placement, item, now_us);
	if (instance != NULL)
	{
		dispatch(placement, item, instance);
		return;
	}
	uint64_t wait_us = comet_placement_wait_us(placement, item, now_us);
	bool hopeless = now_us + wait_us > item->latest_us;
	if (!queued && placement->reason.candidates == 0)
	{
		/* Nobody serves it just now: worth a short wait, if nobody refused it yet. */
		item->latest_us = MIN(item->latest_us, item->early_us);
		hopeless = item->n_tried > 0 || item->latest_us <= now_us;
	}
	if (hopeless)
	{
		placement->ops->refuse(placement->ctx, item, retry_after_ms(wait_us));
		return;
	}
	item->place = g_sequence_insert_sorted(queue->items, item, compare_items, NULL);
	if (queued)
		comet_placement_run(placement, now_us);
}

void
comet_placement_withdraw(struct comet_placement *placement, struct comet_placement_item *item)
{
	(void)placement;
	if (item->place != NULL)
		take_out(item);
}

uint32_t
comet_placement_waiting(const struct comet_placement *placement, const char *service)
{
	const struct queue *queue = g_hash_table_lookup(placement->queues, service);

	return queue != NULL ? (uint32_t)g_sequence_get_length(queue->items) : 0;
}

uint32_t
comet_placement_waiting_all(const struct comet_placement *placement)
{
	GHashTableIter at;
	gpointer queue = NULL;
	uint32_t sum = 0;

	g_hash_table_iter_init(&at, placement->queues);
	while (g_hash_table_iter_next(&at, NULL, &queue))
		sum += (uint32_t)g_sequence_get_length(((struct queue *)queue)->items);
	return sum;
}

const struct comet_placement_reason *
comet_placement_reason(const struct comet_placement *placement)
{
	return &placement->reason;
}
