/*
 * placement_find.c
 * where a request could go now: shards that this VM chooses in by itself, and keepers to ask
 */
#include <libcometspindle/gateway/placement_private.h>

struct comet_instance *
comet_placement_choose_by_views(
	struct comet_placement *placement, const struct comet_placement_item *item, uint64_t now_us)
{
	struct comet_choice_scope scope = {
		.among = comet_instances_of(placement->instances, item->service),
		.beyond = comet_choice_beyond(item),
	};

	return comet_choice_best(&placement->choice, item, &scope, now_us, &placement->reason);
}

/* Asks the keeper of a shard, if anything in it could be used. */
static void
ask_keeper(struct comet_placement *placement, struct comet_placement_item *item,
	struct comet_shard *shard, uint32_t beyond, uint64_t now_us)
{
	uint32_t except[COMET_PLACEMENT_EXCEPT_MAX];
	struct comet_placement_ask ask = {
		.shard = shard->id,
		.beyond = beyond,
		.except = except,
		.end_us = item->end_us,
		.aim_us = item->late ? 0 : item->aim_us,
	};
	uint32_t usable = 0;

	for (guint i = 0; i < shard->members->len; i++)
	{
		const struct comet_instance *instance = shard->members->pdata[i];
		if (comet_choice_is_usable(item, instance, now_us))
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
struct prospect
{
	struct comet_shard *shard;
	enum comet_placement_keeper keeper;
	struct comet_instance *best; /* by what this VM knows; NULL: nothing has room */
	struct comet_placement_reason reason;
};

static struct prospect
look_at(struct comet_placement *placement, const struct comet_placement_item *item,
	struct comet_shard *shard, uint32_t beyond, uint64_t now_us)
{
	struct prospect prospect = {
		.shard = shard,
		.keeper = placement->ops->keeper(placement->ctx, shard),
	};
	struct comet_choice_scope scope = {
		.among = shard->members,
		.beyond = beyond,
		.kept = prospect.keeper == COMET_PLACEMENT_KEEPER_SELF,
	};

	prospect.best =
		comet_choice_best(&placement->choice, item, &scope, now_us, &prospect.reason);
	return prospect;
}

/* Takes a slot that this VM may choose by itself, or asks for one. @return as
 * comet_placement_find() */
static struct comet_instance *
use(struct comet_placement *placement, struct comet_placement_item *item,
	const struct prospect *prospect, uint32_t beyond, uint64_t now_us)
{
	if (prospect->keeper == COMET_PLACEMENT_KEEPER_OTHER)
	{
		ask_keeper(placement, item, prospect->shard, beyond, now_us);
		return NULL;
	}
	placement->reason = prospect->reason;
	return prospect->best;
}

/* Would the shard make it late, as its keeper said a moment ago? */
static bool
is_held(const struct comet_placement_item *item, const struct comet_shard *shard, uint64_t now_us)
{
	for (uint32_t i = 0; i < COMET_PLACEMENT_HOLDS_MAX && !item->late; i++)
	{
		if (item->holds[i].shard == shard->id && now_us < item->holds[i].until_us)
			return true;
	}
	return false;
}

/* Looks in all shards: in the one that seems cheapest, or else in those whose keepers may know of
 * room that views do not show, beginning anywhere. */
static struct comet_instance *
find_at_level(struct comet_placement *placement, struct comet_placement_item *item,
	const GPtrArray *shards, uint32_t beyond, uint64_t now_us)
{
	uint32_t turn = comet_draw_u32(&placement->choice.draw);
	struct prospect cheapest = {0};
	struct prospect full = {0};

	for (guint i = 0; i < shards->len; i++)
	{
		struct comet_shard *shard = shards->pdata[(i + turn) % shards->len];
		if (now_us < shard->denied_us[beyond])
			continue;
		if (is_held(item, shard, now_us))
		{
			item->held = true;
			continue;
		}
		struct prospect prospect = look_at(placement, item, shard, beyond, now_us);
		if (prospect.best == NULL)
		{
			item->held = item->held || prospect.reason.held;
			if (prospect.keeper == COMET_PLACEMENT_KEEPER_OTHER &&
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

struct comet_instance *
comet_placement_find(
	struct comet_placement *placement, struct comet_placement_item *item, uint64_t now_us)
{
	const GPtrArray *shards = item->job.stream && placement->ops->keeper != NULL
					  ? comet_shards_of(placement->shards, item->service)
					  : NULL;
	struct comet_instance *found = NULL;

	item->held = false;
	if (shards == NULL)
	{
		found = comet_placement_choose_by_views(placement, item, now_us);
		item->held = placement->reason.held;
		return found;
	}
	for (uint32_t beyond = 0; beyond <= comet_choice_beyond(item); beyond++)
	{
		found = find_at_level(placement, item, shards, beyond, now_us);
		if (found != NULL || item->asking)
			return found;
	}
	return NULL;
}
