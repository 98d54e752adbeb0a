/*
 * choice.c
 * the cheapest endpoint with room for a request
 */
#include <libcometspindle/gateway/choice.h>

#include <string.h>

/* Requests that an urgent rank may have queued at an endpoint beyond its slots: a slot comes free
 * there every few tens of milliseconds, a small part of any aim. */
#define HEADROOM_FIRST 2
#define HEADROOM_SECOND 1

/* Plain services answer in tens of milliseconds: one more round of slots may wait there. */
#define HEADROOM_PLAIN_PERCENT 100

/* Part of the time an answer takes that counts against the time until it begins. */
#define WHOLE_WEIGHT 0.5

/* Part of the time an answer takes by which a full endpoint is slower than an empty one: plain ones
 * work on more at once, and engines pause all streams while they read a prompt. Measured with exact
 * counts: 0 makes 4 in 100 streams of a calm day late, 0.5 and 1 make 3. */
#define CROWD_WEIGHT 0.5

/* Estimates of an answer's length are right at the median only; this covers most of the rest. */
#define LENGTH_DOUBT 2.0

/* A second by which an answer would end too late counts as so many seconds of waiting. */
#define LATE_WEIGHT 2.0

/* What an endpoint in another availability zone costs: round trip and bytes between zones. */
#define OTHER_ZONE_US 4000

/* Costs by views are raised by up to this part at random: VMs that have the same view of the
 * endpoints would all send to the same one. */
#define SPREAD 0.5

/* An instance that is avoided gets a request that may not be repeated only so much later. */
#define TRIAL_PATIENCE_US 2000000

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

uint32_t
comet_choice_beyond(const struct comet_placement_item *item)
{
	if (item->route_rank == 0)
		return HEADROOM_FIRST;
	return item->route_rank == 1 ? HEADROOM_SECOND : 0;
}

/* Requests that may be at an instance when one more is sent. */
static uint32_t
room_of(const struct comet_placement_item *item, const struct comet_instance *instance,
	uint32_t beyond)
{
	if (!item->job.stream)
		return instance->slots + instance->slots * HEADROOM_PLAIN_PERCENT / 100;
	return instance->slots + beyond;
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

bool
comet_choice_is_candidate(
	const struct comet_placement_item *item, const struct comet_instance *instance)
{
	return !instance->draining && !instance->replaced && !was_tried(item, instance->key);
}

bool
comet_choice_is_usable(const struct comet_placement_item *item,
	const struct comet_instance *instance, uint64_t now_us)
{
	return comet_choice_is_candidate(item, instance) && now_us >= instance->full_us &&
	       may_try(item, instance, now_us);
}

static bool
is_excepted(const struct comet_choice_scope *scope, uint32_t key)
{
	for (uint32_t i = 0; i < scope->n_except; i++)
	{
		if (scope->except[i] == key)
			return true;
	}
	return false;
}

/* What sending it there costs: the time until the answer begins, and part of what it takes. */
static double
cost_of(struct comet_choice *choice, const struct comet_placement_item *item,
	const struct comet_instance *instance, uint32_t load, uint64_t now_us,
	struct comet_placement_reason *reason)
{
	comet_instance_expect(choice->instances, instance, &item->job, now_us, &reason->first_us,
		&reason->whole_us);
	double wait = 0;
	if (load >= instance->slots)
		wait = (double)reason->whole_us * (load - instance->slots + 1) / instance->slots;
	double crowd = CROWD_WEIGHT * (double)reason->whole_us * load / instance->slots;
	double zone = strcmp(instance->zone, choice->own_zone) == 0 ? 0 : OTHER_ZONE_US;
	double cost = wait + crowd + zone + (double)reason->first_us +
		      WHOLE_WEIGHT * (double)(reason->whole_us - reason->first_us);
	/* Lengths are guessed: an answer that may take twice as long must still be whole in time.
	 */
	double end = (double)now_us + wait + LENGTH_DOUBT * (double)reason->whole_us;
	if (item->end_us != 0 && end > (double)item->end_us)
		cost += LATE_WEIGHT * (end - (double)item->end_us);
	return cost;
}

struct comet_instance *
comet_choice_best(struct comet_choice *choice, const struct comet_placement_item *item,
	const struct comet_choice_scope *scope, uint64_t now_us,
	struct comet_placement_reason *reason)
{
	struct comet_instance *best = NULL;
	struct comet_placement_reason found = {0};
	double best_cost = 0;

	memset(reason, 0, sizeof *reason);
	for (guint i = 0; scope->among != NULL && i < scope->among->len; i++)
	{
		struct comet_instance *instance = scope->among->pdata[i];
		struct comet_placement_reason this = {0};
		reason->candidates += comet_choice_is_candidate(item, instance) ? 1 : 0;
		if (!comet_choice_is_usable(item, instance, now_us) ||
			is_excepted(scope, instance->key) ||
			(scope->trusted_only && instance->avoid_us != 0))
			continue;
		this.load = scope->kept ? comet_instance_kept_load(instance, now_us)
					: comet_instance_load(instance, now_us);
		if (this.load >= room_of(item, instance, scope->beyond))
			continue;
		reason->with_room++;
		double cost = cost_of(choice, item, instance, this.load, now_us, &this);
		if (!scope->kept)
			cost *= 1 + SPREAD * comet_draw_unit(&choice->draw);
		if (best == NULL || cost < best_cost)
		{
			best = instance;
			best_cost = cost;
			found = this;
			found.cost = cost;
			found.slots = instance->slots;
			found.view_age_us =
				scope->kept ? 0
					    : now_us - MAX(instance->others_us, instance->told_us);
		}
	}
	found.candidates = reason->candidates;
	found.with_room = reason->with_room;
	found.waited_us = now_us - item->since_us;
	*reason = found;
	return best;
}
