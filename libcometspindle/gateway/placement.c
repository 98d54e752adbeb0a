/*
 * placement.c
 * which endpoint a request goes to, when, and what is refused early
 */
#include <libcometspindle/gateway/placement_private.h>

#include <libcometspindle/gateway/flow.h>
#include <string.h>
#include <talloc.h>

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

/* A keeper that had no room is asked again after about this time (half of it or half more, drawn):
 * while much waits in many VMs, one of them then asks every few milliseconds. */
#define DENIED_US 100000

/* A keeper that had room only where a request would be late is asked again for it after about this
 * time: some slots come free in a shard meanwhile, and it is a small part of any aim. */
#define HELD_US 50000

/* Of the requests that wait, so many ask at a time: the rest would only be denied as well. */
#define WAITING_ASKS_MAX 4

/* Ranks whose pace in the queue is told apart; those below share the last. */
#define RANKS 8

/* What waits for one service. */
struct queue
{
	char *service;
	GSequence *items;
	struct comet_flow flows[RANKS][2]; /* of those that can be in time, and of the late */
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
comet_placement_create(void *parent, struct comet_instances *instances,
	const struct comet_placement_ops *ops, void *ctx, uint64_t seed)
{
	struct comet_placement *placement = talloc_zero(parent, struct comet_placement);

	placement->instances = instances;
	placement->shards = comet_shards_create(placement, instances);
	comet_draw_init(&placement->choice.draw, seed);
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
	if (a->late != b->late)
		return a->late ? 1 : -1;
	if (a->order == b->order)
		return 0;
	return a->order < b->order ? -1 : 1;
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

uint32_t
comet_placement_rank(const struct comet_placement_item *item)
{
	return item->team_rank + item->route_rank;
}

static struct comet_flow *
flow_of(struct queue *queue, const struct comet_placement_item *item)
{
	return &queue->flows[MIN(comet_placement_rank(item), RANKS - 1)][item->late ? 1 : 0];
}

/* Puts an item into its queue. */
static void
enqueue(struct queue *queue, struct comet_placement_item *item, uint64_t now_us)
{
	comet_flow_enter(flow_of(queue, item), now_us);
	item->queued = true;
	item->place = g_sequence_insert_sorted(queue->items, item, compare_items, NULL);
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
	double by_slots = (ahead + 1) * slot_interval_us(placement, item->service, now_us);
	return (uint64_t)MAX(by_slots, comet_flow_wait_us(flow_of(queue, item), now_us));
}

bool
comet_placement_has_other(
	const struct comet_placement *placement, const struct comet_placement_item *item)
{
	const GPtrArray *all = comet_instances_of(placement->instances, item->service);

	for (guint i = 0; all != NULL && i < all->len; i++)
	{
		const struct comet_instance *instance = all->pdata[i];
		if (comet_choice_is_candidate(item, instance))
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
		comet_flow_passed(flow_of(queue_of(placement, item->service), item), now_us);
	item->queued = false;
	instance->on_trial = instance->avoid_us != 0;
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
take_out(struct comet_placement *placement, struct comet_placement_item *item)
{
	comet_flow_leave(flow_of(queue_of(placement, item->service), item));
	g_sequence_remove(item->place);
	item->place = NULL;
}

/* Can an answer that is begun after wait_us still be in time? */
static bool
is_late(const struct comet_placement *placement, const struct comet_placement_item *item,
	uint64_t wait_us, uint64_t now_us)
{
	uint64_t first_us =
		comet_instances_usual_first_us(placement->instances, item->service, &item->job);

	return item->aim_us != 0 && now_us + wait_us + first_us > item->aim_us;
}

/* Puts those that cannot be in time any more behind those of their rank that can. */
static void
demote_late(struct comet_placement *placement, struct queue *queue, uint64_t now_us)
{
	GSequenceIter *at = g_sequence_get_begin_iter(queue->items);

	while (!g_sequence_iter_is_end(at))
	{
		struct comet_placement_item *item = g_sequence_get(at);
		at = g_sequence_iter_next(at);
		if (item->late || !is_late(placement, item, 0, now_us))
			continue;
		take_out(placement, item);
		item->late = true;
		uint64_t wait_us = comet_placement_wait_us(placement, item, now_us);
		if (now_us + wait_us > item->latest_us)
			placement->ops->refuse(placement->ctx, item, retry_after_ms(wait_us));
		else
			enqueue(queue, item, now_us);
	}
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
		take_out(placement, item);
		uint64_t wait_us = comet_placement_wait_us(placement, item, now_us);
		placement->ops->refuse(placement->ctx, item, retry_after_ms(wait_us));
	}
}

/* Dispatches in order of rank until nothing has room. */
static void
run_queue(struct comet_placement *placement, struct queue *queue, uint64_t now_us)
{
	refuse_late(placement, queue, now_us);
	demote_late(placement, queue, now_us);
	GSequenceIter *at = g_sequence_get_begin_iter(queue->items);
	while (!g_sequence_iter_is_end(at))
	{
		struct comet_placement_item *item = g_sequence_get(at);
		if (placement->asking >= WAITING_ASKS_MAX)
			break;
		struct comet_instance *instance = comet_placement_find(placement, item, now_us);
		at = g_sequence_iter_next(at);
		if (instance == NULL && !item->asking && !item->held && item->n_tried == 0)
			break; /* nobody behind it has more room */
		if (instance == NULL && !item->asking)
			continue;
		take_out(placement, item);
		if (instance != NULL)
			dispatch(placement, item, instance, now_us);
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

/* Nothing has room: the item waits in order of rank, or is refused if that is hopeless. */
static void
wait_or_refuse(
	struct comet_placement *placement, struct comet_placement_item *item, uint64_t now_us)
{
	struct queue *queue = queue_of(placement, item->service);
	item->late = is_late(placement, item, 0, now_us);
	uint64_t wait_us = comet_placement_wait_us(placement, item, now_us);
	if (!item->late && is_late(placement, item, wait_us, now_us))
	{
		item->late = true;
		wait_us = MAX(wait_us, comet_placement_wait_us(placement, item, now_us));
		item->late = false;
	}
	bool hopeless = now_us + wait_us > item->latest_us;

	if (!comet_placement_has_other(placement, item))
	{
		/* Nobody serves it just now: worth a short wait, if nobody refused it yet. */
		item->latest_us = MIN(item->latest_us, item->early_us);
		hopeless = item->n_tried > 0 || item->latest_us <= now_us;
	}
	if (hopeless)
		placement->ops->refuse(placement->ctx, item, retry_after_ms(wait_us));
	else
		enqueue(queue, item, now_us);
}

/* Finds a slot for an item that does not wait, or makes it wait. */
static void
place(struct comet_placement *placement, struct comet_placement_item *item, uint64_t now_us)
{
	struct comet_instance *instance = comet_placement_find(placement, item, now_us);

	if (instance != NULL)
		dispatch(placement, item, instance, now_us);
	else if (!item->asking)
		wait_or_refuse(placement, item, now_us);
}

void
comet_placement_submit(
	struct comet_placement *placement, struct comet_placement_item *item, uint64_t now_us)
{
	struct queue *queue = queue_of(placement, item->service);

	item->since_us = now_us;
	item->order = placement->next_order++;
	item->place = NULL;
	item->asking = false;
	item->queued = false;
	item->late = false;
	item->held = false;
	item->n_holds = 0;
	memset(item->holds, 0, sizeof item->holds);
	if (g_sequence_get_length(queue->items) == 0)
	{
		place(placement, item, now_us);
		return;
	}
	wait_or_refuse(placement, item, now_us);
	comet_placement_run(placement, now_us);
}

static void
stop_asking(struct comet_placement *placement, struct comet_placement_item *item)
{
	item->asking = false;
	placement->asking--;
}

bool
comet_placement_granted(struct comet_placement *placement, struct comet_placement_item *item,
	uint32_t keeper, uint32_t instance_key, uint64_t now_us)
{
	struct comet_instance *instance =
		comet_instances_find_key(placement->instances, instance_key);

	stop_asking(placement, item);
	if (instance == NULL || strcmp(instance->service, item->service) != 0 ||
		!comet_choice_is_usable(item, instance, now_us))
	{
		/* Our lists differ, or more endpoints are doubtful than an ask can name, or the
		 * answer is not a keeper's: no request leaves its service. */
		instance = comet_placement_choose_by_views(placement, item, now_us);
		if (instance != NULL)
			dispatch(placement, item, instance, now_us);
		else
			wait_or_refuse(placement, item, now_us);
		return false;
	}
	memset(&placement->reason, 0, sizeof placement->reason);
	placement->reason.load = comet_instance_load(instance, now_us);
	placement->reason.slots = instance->slots;
	placement->reason.waited_us = now_us - item->since_us;
	comet_instance_expect(instance, &item->job, now_us, &placement->reason.first_us,
		&placement->reason.whole_us);
	dispatch_granted(placement, item, instance, keeper, now_us);
	return true;
}

void
comet_placement_denied(struct comet_placement *placement, struct comet_placement_item *item,
	uint32_t shard_id, uint32_t beyond, bool held, uint64_t now_us)
{
	struct comet_shard *shard = comet_shards_find(placement->shards, shard_id);
	double part = 0.5 + comet_draw_unit(&placement->choice.draw);

	stop_asking(placement, item);
	if (held)
		item->holds[item->n_holds++ % COMET_PLACEMENT_HOLDS_MAX] =
			(struct comet_placement_hold){
				shard_id, now_us + (uint64_t)(HELD_US * part)};
	else if (shard != NULL)
		comet_shard_denied(shard, beyond, now_us + (uint64_t)(DENIED_US * part));
	place(placement, item, now_us);
}

void
comet_placement_unanswered(
	struct comet_placement *placement, struct comet_placement_item *item, uint64_t now_us)
{
	stop_asking(placement, item);
	place(placement, item, now_us);
}

void
comet_placement_freed(struct comet_placement *placement, const struct comet_instance *instance)
{
	struct comet_shard *shard = comet_shards_find(placement->shards, instance->shard);

	if (shard != NULL)
		comet_shard_freed(shard);
}

struct comet_instance *
comet_placement_choose_for(struct comet_placement *placement, const struct comet_job *job,
	const struct comet_placement_ask *ask, uint64_t now_us, bool *held)
{
	const struct comet_shard *shard = comet_shards_find(placement->shards, ask->shard);
	struct comet_placement_item item = {
		.job = *job, .end_us = ask->end_us, .aim_us = ask->aim_us, .since_us = now_us};
	struct comet_placement_reason reason;

	*held = false;
	if (shard == NULL)
		return NULL;
	struct comet_choice_scope scope = {
		.among = shard->members,
		.beyond = MIN(ask->beyond, COMET_SHARD_LEVELS - 1),
		.kept = true,
		.trusted_only = true,
		.except = ask->except,
		.n_except = (uint32_t)ask->n_except,
	};
	struct comet_instance *best =
		comet_choice_best(&placement->choice, &item, &scope, now_us, &reason);
	*held = reason.held;
	return best;
}

void
comet_placement_withdraw(struct comet_placement *placement, struct comet_placement_item *item)
{
	if (item->place != NULL)
		take_out(placement, item);
	if (!item->asking)
		return;
	stop_asking(placement, item);
	placement->ops->forget(placement->ctx, item);
}

void
comet_placement_each_service(const struct comet_placement *placement,
	void (*visit)(void *ctx, const char *service, uint32_t waiting), void *ctx)
{
	GHashTableIter at;
	gpointer value = NULL;

	g_hash_table_iter_init(&at, placement->queues);
	while (g_hash_table_iter_next(&at, NULL, &value))
	{
		const struct queue *queue = value;
		visit(ctx, queue->service, (uint32_t)g_sequence_get_length(queue->items));
	}
}

const struct comet_placement_reason *
comet_placement_reason(const struct comet_placement *placement)
{
	return &placement->reason;
}
