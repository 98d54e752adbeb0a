/*
 * placement_find.c
 * where a request could go now: shards that this VM chooses in by itself, and keepers to ask
 */
#include <libcometspindle/gateway/placement/placement_state.h>

struct comet_instance *
comet_placement_choose_by_gossip(
	struct comet_placement *placement, const struct comet_placement_item *item, uint64_t now_us)
{
	struct comet_endpoint_picker_scope scope = {
		.among = comet_instances_for_service(placement->instances, item->service),
		.beyond = comet_endpoint_picker_queue_limit(item),
		.cold_share = placement->ownerless_share,
	};

	return comet_endpoint_picker_pick(
		&placement->choice, item, &scope, now_us, &placement->reason);
}

/* A request waits at one keeper for this time, then at another: long enough for several slots to
 * come free in a shard, and short beside any aim where the first keeper was a bad choice. */
#define WAIT_US 300000

/* Asks the keeper of a shard, if anything in it could be used. wait_us: it may wait there so long.
 */
static void
ask_keeper(struct comet_placement *placement, struct comet_placement_item *item,
	struct comet_shard *shard, uint32_t beyond, uint64_t wait_us, uint64_t now_us)
{
	uint32_t except[COMET_SLOT_REQUEST_EXCEPT_MAX];
	struct comet_slot_request ask = {
		.shard = shard->id,
		.beyond = beyond,
		.except = except,
		.job = item->job,
		.team_rank = item->team_rank,
		.route_rank = item->route_rank,
		.late = item->late,
		.end_us = item->end_us,
		.soft_deadline_us = item->soft_deadline_us,
		.wait_us = wait_us,
	};
	uint32_t usable = 0;

	for (guint i = 0; i < shard->members->len; i++)
	{
		const struct comet_instance *instance = shard->members->pdata[i];
		if (comet_endpoint_picker_is_usable(item, instance, now_us))
			usable++;
		else if (ask.n_except < G_N_ELEMENTS(except))
			except[ask.n_except++] = instance->key;
	}
	if (usable == 0)
		return;
	item->asking = true;
	placement->asking++;
	placement->ops->ask(placement->ctx, item, shard, &ask);
}

/* What this VM knows of a shard, for one item. */
struct shard_prospect
{
	struct comet_shard *shard;
	enum comet_placement_owner keeper;
	struct comet_instance *best; /* by what this VM knows; NULL: nothing has room */
	struct comet_placement_decision reason;
};

/* The part of what cold endpoints of a shard bear that this VM decides on. */
static double
cold_share_of(const struct comet_placement *placement, enum comet_placement_owner keeper)
{
	switch (keeper)
	{
	case COMET_PLACEMENT_OWNER_SELF:
		return placement->owner_share;
	case COMET_PLACEMENT_OWNER_NONE:
		return placement->ownerless_share;
	case COMET_PLACEMENT_OWNER_OTHER:
		break;
	}
	return 0;
}

static struct shard_prospect
look_at(struct comet_placement *placement, const struct comet_placement_item *item,
	struct comet_shard *shard, uint32_t beyond, uint64_t now_us)
{
	struct shard_prospect prospect = {
		.shard = shard,
		.keeper = placement->ops->keeper(placement->ctx, shard),
	};
	struct comet_endpoint_picker_scope scope = {
		.among = shard->members,
		.beyond = beyond,
		.kept = prospect.keeper == COMET_PLACEMENT_OWNER_SELF,
		.cold_share = cold_share_of(placement, prospect.keeper),
	};

	prospect.best = comet_endpoint_picker_pick(
		&placement->choice, item, &scope, now_us, &prospect.reason);
	return prospect;
}

/* Takes a slot that this VM may choose by itself, or asks for one. @return as
 * comet_placement_find() */
static struct comet_instance *
use(struct comet_placement *placement, struct comet_placement_item *item,
	const struct shard_prospect *prospect, uint32_t beyond, uint64_t now_us)
{
	if (prospect->keeper == COMET_PLACEMENT_OWNER_OTHER)
	{
		ask_keeper(placement, item, prospect->shard, beyond, 0, now_us);
		return NULL;
	}
	placement->reason = prospect->reason;
	return prospect->best;
}

/* Looks in all shards: in the one that seems cheapest, or else in those whose keepers may know of
 * room that views do not show, beginning anywhere. here: only where no keeper needs to be asked. */
static struct comet_instance *
find_at_level(struct comet_placement *placement, struct comet_placement_item *item,
	const GPtrArray *shards, uint32_t beyond, bool here, uint64_t now_us)
{
	uint32_t turn = comet_random_u32(&placement->choice.draw);
	struct shard_prospect cheapest = {0};
	struct shard_prospect full = {0};

	for (guint i = 0; i < shards->len; i++)
	{
		struct comet_shard *shard = shards->pdata[(i + turn) % shards->len];
		if (now_us < shard->denied_us[beyond])
			continue;
		struct shard_prospect prospect = look_at(placement, item, shard, beyond, now_us);
		if (here && prospect.keeper == COMET_PLACEMENT_OWNER_OTHER)
			continue;
		if (prospect.best == NULL)
		{
			item->held = item->held || prospect.reason.held;
			if (prospect.keeper == COMET_PLACEMENT_OWNER_OTHER &&
				prospect.reason.candidates > 0)
				full = prospect;
			continue;
		}
		if (cheapest.best == NULL || prospect.reason.cost < cheapest.reason.cost)
			cheapest = prospect;
	}
	if (cheapest.best != NULL)
		return use(placement, item, &cheapest, beyond, now_us);
	return full.shard != NULL ? use(placement, item, &full, beyond, now_us) : NULL;
}

/* Leaves it with one of the keepers, to wait there for a slot. */
static void
wait_at_keeper(struct comet_placement *placement, struct comet_placement_item *item,
	const GPtrArray *shards, uint64_t now_us)
{
	uint32_t turn = comet_random_u32(&placement->choice.draw);

	for (guint i = 0; i < shards->len && !item->asking; i++)
	{
		struct comet_shard *shard = shards->pdata[(i + turn) % shards->len];
		if (placement->ops->keeper(placement->ctx, shard) == COMET_PLACEMENT_OWNER_OTHER)
			ask_keeper(placement, item, shard, comet_endpoint_picker_queue_limit(item),
				WAIT_US, now_us);
	}
}

/* The shards of an item's service; NULL where nobody keeps count. */
static const GPtrArray *
shards_for(struct comet_placement *placement, const struct comet_placement_item *item)
{
	if (placement->ops->keeper == NULL)
		return NULL;
	return comet_shards_for_service(placement->shards, item->service);
}

static struct comet_instance *
find(struct comet_placement *placement, struct comet_placement_item *item, bool here,
	uint64_t now_us)
{
	const GPtrArray *shards = shards_for(placement, item);
	struct comet_instance *found = NULL;

	item->held = false;
	if (shards == NULL)
	{
		found = comet_placement_choose_by_gossip(placement, item, now_us);
		item->held = placement->reason.held;
		return found;
	}
	for (uint32_t beyond = 0; beyond <= comet_endpoint_picker_queue_limit(item); beyond++)
	{
		bool asked = item->asking;
		found = find_at_level(placement, item, shards, beyond, here, now_us);
		if (found != NULL || item->asking != asked)
			return found;
	}
	return NULL;
}

struct comet_instance *
comet_placement_find(
	struct comet_placement *placement, struct comet_placement_item *item, uint64_t now_us)
{
	struct comet_instance *found = find(placement, item, false, now_us);
	const GPtrArray *shards = shards_for(placement, item);

	if (found == NULL && !item->asking && item->place != NULL && shards != NULL)
		wait_at_keeper(placement, item, shards, now_us);
	return found;
}

struct comet_instance *
comet_placement_find_local(
	struct comet_placement *placement, struct comet_placement_item *item, uint64_t now_us)
{
	return find(placement, item, true, now_us);
}
