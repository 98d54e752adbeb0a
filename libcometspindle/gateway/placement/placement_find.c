/*
 * placement_find.c
 * Finds a slot for a request: in shards where this VM may pick an endpoint
 * itself, or by a slot request to the owner of a shard. Answers why there is
 * none.
 */
#include <libcometspindle/gateway/placement/placement.h>
#include <libcometspindle/gateway/placement/placement_state.h>

struct comet_instance *
comet_placement_pick_by_gossip(
	struct comet_placement *placement, const struct comet_placement_item *item, uint64_t now_us)
{
	struct comet_endpoint_picker_scope scope = {
		.instances = comet_instances_for_service(placement->instances, item->service),
		.queue_limit = comet_placement_queue_limit(item),
		.decides_on_cold = true,
		.limit_share =
			placement->ops->find_owner == NULL ? placement->limit_ownerless_share : 0,
	};

	return comet_endpoint_picker_pick(
		&placement->picker, item, &scope, now_us, &placement->decision);
}

/* Time that a request waits at one owner before it moves on to another. Several slots become free
 * in a shard within this time, and it is short compared with any latency target if the first owner
 * has no slot. */
#define OWNER_WAIT_US 300000

/* Sends a slot request to the owner of a shard if any endpoint in it is usable. wait_us: time that
 * the request may wait there. */
static void
request_slot(struct comet_placement *placement, struct comet_placement_item *item,
	struct comet_shard *shard, uint32_t queue_limit, uint64_t wait_us, uint64_t now_us)
{
	uint32_t excluded[COMET_SLOT_REQUEST_EXCLUDED_MAX];
	struct comet_slot_request request = {
		.shard = shard->id,
		.queue_limit = queue_limit,
		.excluded = excluded,
		.version_id = item->version_id,
		.size = item->size,
		.team_rank = item->team_rank,
		.route_rank = item->route_rank,
		.returned = item->returned,
		.late = item->late,
		.waited_us = now_us - item->arrived_us,
		.delay_known = true,
		.delay_us = item->order_us - item->arrived_us,
		.answer_deadline_us = item->answer_deadline_us,
		.soft_deadline_us = item->soft_deadline_us,
		.wait_us = wait_us,
	};
	uint32_t usable = 0;

	for (guint i = 0; i < shard->members->len; i++)
	{
		const struct comet_instance *instance = shard->members->pdata[i];
		if (comet_endpoint_picker_is_usable(item, instance, now_us))
			usable++;
		else if (request.n_excluded < G_N_ELEMENTS(excluded))
			excluded[request.n_excluded++] = instance->key;
	}
	if (usable == 0)
		return;
	item->slot_requested = true;
	item->waits_at_owner = wait_us > 0;
	item->queued_at_owner = false;
	placement->n_slot_requests++;
	placement->ops->request_slot(placement->ctx, item, shard, &request);
}

/* Estimates for placing one item in a shard. */
struct shard_candidate
{
	struct comet_shard *shard;
	enum comet_placement_owner owner;
	struct comet_instance *best; /* as far as this VM knows; NULL: none has capacity */
	struct comet_placement_decision decision;
};

static double
limit_share_of(const struct comet_placement *placement, enum comet_placement_owner owner)
{
	return owner == COMET_PLACEMENT_OWNER_SELF ? placement->limit_owner_share
						   : placement->limit_ownerless_share;
}

static struct shard_candidate
evaluate_shard(struct comet_placement *placement, const struct comet_placement_item *item,
	struct comet_shard *shard, enum comet_placement_owner owner, uint32_t queue_limit,
	uint64_t now_us)
{
	struct shard_candidate candidate = {.shard = shard, .owner = owner};
	struct comet_endpoint_picker_scope scope = {
		.instances = shard->members,
		.queue_limit = queue_limit,
		.owned = candidate.owner == COMET_PLACEMENT_OWNER_SELF,
		.decides_on_cold = candidate.owner != COMET_PLACEMENT_OWNER_OTHER,
		.owner_decides = candidate.owner == COMET_PLACEMENT_OWNER_OTHER,
		.limit_share = limit_share_of(placement, candidate.owner),
	};

	candidate.best = comet_endpoint_picker_pick(
		&placement->picker, item, &scope, now_us, &candidate.decision);
	return candidate;
}

bool
comet_placement_has_room(
	struct comet_placement *placement, const struct comet_placement_item *item, uint64_t now_us)
{
	struct comet_placement_decision decision;
	const struct comet_endpoint_picker_scope scope = {
		.instances = comet_instances_for_service(placement->instances, item->service),
		.queue_limit = comet_endpoint_picker_queue_limit(item),
		.owner_decides = true,
	};

	return !comet_placement_has_waiting(comet_placement_queue_of(placement, item->service)) &&
	       comet_endpoint_picker_pick(&placement->picker, item, &scope, now_us, &decision) !=
		       NULL;
}

struct comet_shard *
comet_placement_find_shard(struct comet_placement *placement, uint32_t id)
{
	return comet_shards_find(placement->shards, id);
}

bool
comet_placement_limit_admits(
	struct comet_placement *placement, struct comet_instance *instance, uint64_t now_us)
{
	struct comet_shard *shard = comet_shards_find(placement->shards, instance->shard);
	enum comet_placement_owner owner =
		shard != NULL && placement->ops->find_owner != NULL
			? placement->ops->find_owner(placement->ctx, shard)
			: COMET_PLACEMENT_OWNER_NONE;

	if (!comet_advertised_limit_admits(
		    &instance->limit, limit_share_of(placement, owner), now_us))
		return false;
	comet_advertised_limit_count(&instance->limit);
	return true;
}

/* Returns the instance picked by this VM, or sends a slot request to the owner. @return as
 * comet_placement_find() */
static struct comet_instance *
take_or_request_slot(struct comet_placement *placement, struct comet_placement_item *item,
	const struct shard_candidate *candidate, uint32_t queue_limit, uint64_t now_us)
{
	if (candidate->owner == COMET_PLACEMENT_OWNER_OTHER)
	{
		request_slot(placement, item, candidate->shard, queue_limit, 0, now_us);
		return NULL;
	}
	placement->decision = candidate->decision;
	return candidate->best;
}

/* Returns whether a shard is that of endpoints in this VM's availability zone. */
static bool
is_near(const struct comet_shard *shard)
{
	const struct comet_instance *member =
		shard->members->len > 0 ? shard->members->pdata[0] : NULL;

	return member != NULL && member->near;
}

/* Returns whether the picked instance of one shard suits the request better than that of another.
 */
static bool
is_better(const struct comet_placement_decision *decision,
	const struct comet_placement_decision *other)
{
	if (decision->preference != other->preference)
		return decision->preference < other->preference;
	return decision->cost < other->cost;
}

/* Searches all shards, from a random one on. Prefers free slots in this VM's availability zone that
 * meet the soft deadline, then such slots in others, then the cheapest endpoint with capacity, and
 * otherwise an owner that may know of capacity which gossip does not show. local_only: skips shards
 * that need a slot request. */
static struct comet_instance *
find_at_level(struct comet_placement *placement, struct comet_placement_item *item,
	const GPtrArray *shards, uint32_t queue_limit, bool local_only, uint64_t now_us)
{
	uint32_t offset = comet_random_u32(&placement->picker.rng);
	struct shard_candidate cheapest = {0};
	struct shard_candidate full = {0};

	for (guint i = 0; i < shards->len; i++)
	{
		struct comet_shard *shard = shards->pdata[(i + offset) % shards->len];
		if (now_us < comet_shard_denied_until_us(
				     shard, item->version_id, item->team_rank, queue_limit))
			continue;
		enum comet_placement_owner owner =
			placement->ops->find_owner(placement->ctx, shard);
		if (local_only && owner == COMET_PLACEMENT_OWNER_OTHER)
			continue;
		struct shard_candidate candidate =
			evaluate_shard(placement, item, shard, owner, queue_limit, now_us);
		if (candidate.best == NULL)
		{
			item->deferred = item->deferred || candidate.decision.deferred;
			if (candidate.owner == COMET_PLACEMENT_OWNER_OTHER &&
				candidate.decision.candidates > 0 &&
				(full.shard == NULL || !placement->picker.prefer_own_zone ||
					!is_near(full.shard)))
				full = candidate;
			continue;
		}
		if (cheapest.best == NULL || is_better(&candidate.decision, &cheapest.decision))
			cheapest = candidate;
	}
	if (cheapest.best != NULL)
		return take_or_request_slot(placement, item, &cheapest, queue_limit, now_us);
	return full.shard != NULL
		       ? take_or_request_slot(placement, item, &full, queue_limit, now_us)
		       : NULL;
}

/* Sends a slot request with a wait time to one of the owners that did not deny such a request
 * recently: an owner that has no place for more waiters would be asked again at once. */
static void
wait_at_owner(struct comet_placement *placement, struct comet_placement_item *item,
	const GPtrArray *shards, uint64_t now_us)
{
	uint32_t offset = comet_random_u32(&placement->picker.rng);

	for (guint i = 0; i < shards->len && !item->slot_requested; i++)
	{
		struct comet_shard *shard = shards->pdata[(i + offset) % shards->len];
		if (now_us >= shard->wait_denied_until_us &&
			placement->ops->find_owner(placement->ctx, shard) ==
				COMET_PLACEMENT_OWNER_OTHER)
			request_slot(placement, item, shard, comet_placement_queue_limit(item),
				OWNER_WAIT_US, now_us);
	}
}

/* @return the shards of the service of an item; NULL if shards have no owners or the service has no
 * endpoints */
static const GPtrArray *
shards_for(struct comet_placement *placement, const struct comet_placement_item *item)
{
	if (placement->ops->find_owner == NULL)
		return NULL;
	return comet_shards_for_service(placement->shards, item->service);
}

static struct comet_instance *
find_slot(struct comet_placement *placement, struct comet_placement_item *item, bool local_only,
	uint64_t now_us)
{
	const GPtrArray *shards = shards_for(placement, item);
	struct comet_instance *instance = NULL;

	item->deferred = false;
	if (shards == NULL)
	{
		instance = comet_placement_pick_by_gossip(placement, item, now_us);
		item->deferred = placement->decision.deferred;
		return instance;
	}
	uint32_t max_queue_limit = comet_placement_queue_limit(item);
	for (uint32_t queue_limit = 0; queue_limit <= max_queue_limit; queue_limit++)
	{
		bool was_requested = item->slot_requested;
		instance = find_at_level(placement, item, shards, queue_limit, local_only, now_us);
		if (instance != NULL || item->slot_requested != was_requested)
			return instance;
	}
	return NULL;
}

struct comet_instance *
comet_placement_find(
	struct comet_placement *placement, struct comet_placement_item *item, uint64_t now_us)
{
	struct comet_instance *instance = find_slot(placement, item, false, now_us);
	const GPtrArray *shards = shards_for(placement, item);

	if (instance == NULL && !item->slot_requested && item->queue_position != NULL &&
		shards != NULL)
		wait_at_owner(placement, item, shards, now_us);
	return instance;
}

struct comet_instance *
comet_placement_find_local(
	struct comet_placement *placement, struct comet_placement_item *item, uint64_t now_us)
{
	return find_slot(placement, item, true, now_us);
}

/* While the first items of a queue have overtaken others, this many slot requests more may be
 * pending. A slot request waits at its owner for 300 ms, in which few requests of a VM overtake
 * others. */
#define OVERTAKING_SLOT_REQUESTS 4

/* Maximum of max_slot_requests: the requests that a VM with a quarter of a core can read within the
 * longest round trip to an owner (200 ms). */
#define SLOT_REQUESTS_MAX 128

/* Number of items behind one that are searched for pending slot requests. */
#define OVERTAKEN_MAX 8

/* Returns whether an item that is close behind this one in the queue has a pending slot request. */
static bool
has_overtaken(const struct comet_placement_item *item)
{
	GSequenceIter *iter = g_sequence_iter_next(item->queue_position);

	for (uint32_t i = 0; i < OVERTAKEN_MAX && !g_sequence_iter_is_end(iter); i++)
	{
		const struct comet_placement_item *behind = g_sequence_get(iter);
		if (behind->slot_requested)
			return true;
		iter = g_sequence_iter_next(iter);
	}
	return false;
}

void
comet_placement_slot_granted_at_once(struct comet_placement *placement)
{
	placement->max_slot_requests = MIN(placement->max_slot_requests + 1, SLOT_REQUESTS_MAX);
}

void
comet_placement_slots_are_short(struct comet_placement *placement)
{
	placement->max_slot_requests =
		MAX(placement->max_slot_requests / 2, COMET_PLACEMENT_SLOT_REQUESTS_MIN);
}

bool
comet_placement_may_request_slot(const struct comet_placement *placement,
	const struct comet_placement_item *item, guint position)
{
	if (item->slot_requested)
		return false;
	return placement->n_slot_requests < placement->max_slot_requests ||
	       (position < OVERTAKING_SLOT_REQUESTS &&
		       placement->n_slot_requests <
			       placement->max_slot_requests + OVERTAKING_SLOT_REQUESTS &&
		       has_overtaken(item));
}

void
comet_placement_prefer_own_zone(struct comet_placement *placement)
{
	placement->picker.prefer_own_zone = true;
}

uint64_t
comet_placement_spared_fast(const struct comet_placement *placement)
{
	return placement->picker.spared_fast;
}

bool
comet_placement_is_evacuated(
	const struct comet_placement *placement, const struct comet_placement_item *item)
{
	return comet_instances_all_evacuated(placement->instances, item->service);
}

bool
comet_placement_version_is_gone(
	const struct comet_placement *placement, const struct comet_placement_item *item)
{
	struct comet_placement_item any = *item;

	any.n_attempted = 0;
	return item->version_id != 0 && !comet_placement_has_unattempted(placement, &any);
}

bool
comet_placement_has_unattempted(
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

uint64_t
comet_placement_rest_end_us(const struct comet_placement *placement,
	const struct comet_placement_item *item, uint64_t now_us)
{
	const GPtrArray *all = comet_instances_for_service(placement->instances, item->service);
	uint64_t end_us = 0;

	for (guint i = 0; all != NULL && i < all->len; i++)
	{
		const struct comet_instance *instance = all->pdata[i];
		if (!comet_endpoint_picker_is_candidate(item, instance))
			continue;
		if (!comet_instance_is_resting(instance, now_us))
			return 0;
		end_us = end_us == 0 ? instance->rest_until_us
				     : MIN(end_us, instance->rest_until_us);
	}
	return end_us;
}

bool
comet_placement_any_resting(
	const struct comet_placement *placement, const char *service, uint64_t now_us)
{
	const GPtrArray *all = comet_instances_for_service(placement->instances, service);

	for (guint i = 0; all != NULL && i < all->len; i++)
	{
		if (comet_instance_is_resting(all->pdata[i], now_us))
			return true;
	}
	return false;
}
