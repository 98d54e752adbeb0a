/*
 * endpoint_picker.c
 * the cheapest endpoint with room for a request
 */
#include <libcometspindle/gateway/placement/endpoint_picker.h>

#include <libcometspindle/hash.h>
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
 * work on more at once, and engines pause all streams while they read a prompt. */
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
comet_endpoint_picker_queue_limit(const struct comet_placement_item *item)
{
	if (!item->job.stream)
		return 0; /* any rank may queue there: a slot comes free in milliseconds */
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
	if (instance->ejected_until_us == 0)
		return true;
	if (comet_instance_is_probing(instance, now_us) || now_us < instance->ejected_until_us)
		return false;
	return item->repeatable || now_us - instance->ejected_until_us > TRIAL_PATIENCE_US;
}

bool
comet_endpoint_picker_is_candidate(
	const struct comet_placement_item *item, const struct comet_instance *instance)
{
	return !instance->draining && !instance->evacuated && !instance->replaced &&
	       !was_tried(item, instance->key);
}

bool
comet_endpoint_picker_is_usable(const struct comet_placement_item *item,
	const struct comet_instance *instance, uint64_t now_us)
{
	return comet_endpoint_picker_is_candidate(item, instance) &&
	       now_us >= instance->full_until_us && may_try(item, instance, now_us);
}

static bool
is_excepted(const struct comet_endpoint_picker_scope *scope, uint32_t key)
{
	for (uint32_t i = 0; i < scope->n_except; i++)
	{
		if (scope->except[i] == key)
			return true;
	}
	return false;
}

/* What is expected of one endpoint, for one request. */
struct prospect
{
	struct comet_instance *instance; /* NULL: none yet */
	uint32_t load;
	uint64_t first_us; /* from its admission there to its first event */
	uint64_t total_us; /* to its end */
	double wait_us;    /* for a slot */
	double cost;
};

/* What sending it there costs: the time until the answer begins, and part of what it takes. */
static struct prospect
expect(struct comet_endpoint_picker *choice, const struct comet_placement_item *item,
	const struct comet_endpoint_picker_scope *scope, struct comet_instance *instance,
	uint64_t now_us)
{
	struct prospect prospect = {.instance = instance};

	prospect.load = scope->kept ? comet_instance_owned_load(instance, now_us)
				    : comet_instance_load(instance, now_us);
	comet_instance_estimate(
		instance, &item->job, now_us, &prospect.first_us, &prospect.total_us);
	double total_us = (double)prospect.total_us;
	double first_us = (double)prospect.first_us;
	if (prospect.load >= instance->slots)
		prospect.wait_us = comet_instance_slot_us(instance) *
				   (prospect.load - instance->slots + 1) / instance->slots;
	double crowd = CROWD_WEIGHT * total_us * prospect.load / instance->slots;
	double zone = instance->near ? 0 : OTHER_ZONE_US;
	prospect.cost =
		prospect.wait_us + crowd + zone + first_us + WHOLE_WEIGHT * (total_us - first_us);
	/* Lengths are guessed: an answer that may take twice as long must still be whole in time.
	 */
	double end_us = (double)now_us + prospect.wait_us + LENGTH_DOUBT * total_us;
	if (item->end_us != 0 && end_us > (double)item->end_us)
		prospect.cost += LATE_WEIGHT * (end_us - (double)item->end_us);
	if (!scope->kept)
		prospect.cost *= 1 + SPREAD * comet_random_double(&choice->draw);
	return prospect;
}

/* Would an answer from there begin in time? */
static bool
is_in_time(
	const struct comet_placement_item *item, const struct prospect *prospect, uint64_t now_us)
{
	double begin_us = (double)now_us + prospect->wait_us + (double)prospect->first_us;

	return item->late || item->soft_deadline_us == 0 ||
	       begin_us <= (double)item->soft_deadline_us;
}

static void
keep_cheaper(struct prospect *best, const struct prospect *other)
{
	if (best->instance == NULL || other->cost < best->cost)
		*best = *other;
}

/* May this VM send a cold endpoint one more request? */
static bool
is_admitted(const struct comet_endpoint_picker *choice,
	const struct comet_endpoint_picker_scope *scope, const struct comet_instance *instance,
	uint64_t now_us)
{
	if (scope->cold_share == 0 || instance->start_bounds->most_per_s == 0)
		return true;
	double draw = (double)(uint32_t)comet_hash_score(choice->seed, instance->key) / UINT32_MAX;
	return comet_slow_start_admits(
		&instance->start, instance->start_bounds, scope->cold_share, draw, now_us);
}

/* Tells what was chosen, and from what. */
static void
explain(struct comet_placement_decision *reason, const struct prospect *best,
	const struct comet_placement_item *item, const struct comet_endpoint_picker_scope *scope,
	uint64_t now_us)
{
	const struct comet_instance *instance = best->instance;

	reason->waited_us = now_us - item->since_us;
	if (instance == NULL)
		return;
	reason->load = best->load;
	reason->slots = instance->slots;
	reason->first_us = best->first_us;
	reason->total_us = best->total_us;
	reason->cost = best->cost;
	if (!scope->kept)
		reason->view_age_us = now_us - MAX(instance->gossip_us, instance->reported_us);
}

struct comet_instance *
comet_endpoint_picker_pick(struct comet_endpoint_picker *choice,
	const struct comet_placement_item *item, const struct comet_endpoint_picker_scope *scope,
	uint64_t now_us, struct comet_placement_decision *reason)
{
	struct prospect timely = {0};
	struct prospect tardy = {0};
	bool worth_waiting = false; /* for a slot where it would be in time */

	memset(reason, 0, sizeof *reason);
	for (guint i = 0; scope->among != NULL && i < scope->among->len; i++)
	{
		struct comet_instance *instance = scope->among->pdata[i];
		reason->candidates += comet_endpoint_picker_is_candidate(item, instance) ? 1 : 0;
		if (!comet_endpoint_picker_is_usable(item, instance, now_us) ||
			is_excepted(scope, instance->key))
			continue;
		struct prospect prospect = expect(choice, item, scope, instance, now_us);
		bool in_time = is_in_time(item, &prospect, now_us);
		if (prospect.load >= room_of(item, instance, scope->beyond))
		{
			worth_waiting = worth_waiting || in_time;
			continue;
		}
		if (!is_admitted(choice, scope, instance, now_us))
			continue;
		reason->with_room++;
		keep_cheaper(in_time ? &timely : &tardy, &prospect);
	}
	reason->held = timely.instance == NULL && tardy.instance != NULL && worth_waiting;
	struct prospect *best = timely.instance != NULL || reason->held ? &timely : &tardy;
	explain(reason, best, item, scope, now_us);
	return best->instance;
}
