/*
 * endpoint_picker.c
 * Picks the cheapest endpoint that has capacity for a request.
 */
#include <libcometspindle/gateway/placement/endpoint_picker.h>

#include <libcometspindle/hash.h>
#include <string.h>

/* Requests of the two most urgent ranks that may queue at an endpoint in excess of its slots. A
 * slot becomes free there every few tens of milliseconds, which is short compared with any latency
 * target. */
#define QUEUE_LIMIT_RANK_0 2
#define QUEUE_LIMIT_RANK_1 1

/* Plain services respond in tens of milliseconds, so a second request per slot may queue there. */
#define PLAIN_QUEUE_PERCENT 100

/* Weight of the time from the first event of a response to its end, relative to the time before the
 * first event. */
#define COMPLETION_WEIGHT 0.5

/* Relative slowdown of a full endpoint compared with an idle one. Plain services process more
 * requests concurrently, and engines pause all streams while they read a prompt. */
#define LOAD_WEIGHT 0.5

/* Factor applied to the estimated duration of a response. Length estimates are correct only at the
 * median; the factor covers most of the longer responses. */
#define LENGTH_MARGIN 2.0

/* Cost of each second by which a response would miss its deadline, in seconds of waiting. */
#define LATENESS_WEIGHT 2.0

/* Cost of an endpoint in another availability zone: a round trip and the traffic between
 * zones. */
#define CROSS_ZONE_COST_US 4000

/* Costs based on gossip are raised at random by up to this fraction. VMs with the same gossip would
 * otherwise all pick the same endpoint. */
#define COST_JITTER 0.5

/* Time after its ejection ends before an endpoint may be probed by a request that must not be
 * retried. */
#define NON_RETRYABLE_PROBE_DELAY_US 2000000

static bool
was_attempted(const struct comet_placement_item *item, uint32_t key)
{
	for (uint32_t i = 0; i < item->n_attempted; i++)
	{
		if (item->attempted[i] == key)
			return true;
	}
	return false;
}

uint32_t
comet_endpoint_picker_queue_limit(const struct comet_placement_item *item)
{
	if (!item->size.stream)
		return 0; /* any rank may queue: a slot becomes free within milliseconds */
	if (item->route_rank == 0)
		return QUEUE_LIMIT_RANK_0;
	return item->route_rank == 1 ? QUEUE_LIMIT_RANK_1 : 0;
}

/* The load at which an instance accepts no more requests of this kind. */
static uint32_t
max_load(const struct comet_placement_item *item, const struct comet_instance *instance,
	uint32_t queue_limit)
{
	if (instance->brittleness.active)
		return comet_brittleness_usable_slots(&instance->brittleness, instance->slots);
	if (!item->size.stream)
		return instance->slots + instance->slots * PLAIN_QUEUE_PERCENT / 100;
	return instance->slots + queue_limit;
}

/* Returns whether the item may be sent to the instance, as a probe if the instance was ejected. */
static bool
health_permits(const struct comet_placement_item *item, const struct comet_instance *instance,
	uint64_t now_us)
{
	if (instance->ejected_until_us == 0)
		return true;
	if (comet_instance_is_probing(instance, now_us) || now_us < instance->ejected_until_us)
		return false;
	return item->retryable ||
	       now_us - instance->ejected_until_us > NON_RETRYABLE_PROBE_DELAY_US;
}

bool
comet_endpoint_picker_is_candidate(
	const struct comet_placement_item *item, const struct comet_instance *instance)
{
	return !comet_instance_is_leaving(instance) && !instance->evacuated &&
	       !instance->replaced &&
	       (item->version_id == 0 || item->version_id == instance->version_id) &&
	       comet_region_set_allows(item->route_regions, instance->region) &&
	       comet_region_set_allows(item->team_regions, instance->region) &&
	       !was_attempted(item, instance->key);
}

bool
comet_endpoint_picker_is_usable(const struct comet_placement_item *item,
	const struct comet_instance *instance, uint64_t now_us)
{
	return comet_endpoint_picker_is_candidate(item, instance) &&
	       (item->for_other_vm || !comet_instance_is_resting(instance, now_us)) &&
	       now_us >= instance->full_until_us && now_us >= instance->limit.blocked_until_us &&
	       health_permits(item, instance, now_us);
}

static bool
is_excluded(const struct comet_endpoint_picker_scope *scope, uint32_t key)
{
	for (uint32_t i = 0; i < scope->n_excluded; i++)
	{
		if (scope->excluded[i] == key)
			return true;
	}
	return false;
}

/* Estimates for sending one request to one endpoint. */
struct candidate
{
	struct comet_instance *instance; /* NULL: no candidate */
	uint32_t load;
	uint64_t first_us; /* from the start of service to the first event */
	uint64_t total_us; /* from the start of service to the end of the response */
	double wait_us;    /* until a slot is free */
	double cost;
};

/* Computes the cost of sending the item to an instance: the time until the first event, plus a
 * weighted part of the remaining service time. */
static struct candidate
estimate_candidate(struct comet_endpoint_picker *picker, const struct comet_placement_item *item,
	const struct comet_endpoint_picker_scope *scope, struct comet_instance *instance,
	uint64_t now_us)
{
	struct candidate candidate = {.instance = instance};

	candidate.load = scope->owned ? comet_instance_owned_load(instance, now_us)
				      : comet_instance_load(instance, now_us);
	comet_instance_estimate(
		instance, &item->size, now_us, &candidate.first_us, &candidate.total_us);
	double total_us = (double)candidate.total_us;
	double first_us = (double)candidate.first_us;
	if (candidate.load >= instance->slots)
		candidate.wait_us = comet_instance_slot_us(instance) *
				    (candidate.load - instance->slots + 1) / instance->slots;
	double load_cost = LOAD_WEIGHT * total_us * candidate.load / instance->slots;
	double zone_cost = instance->near ? 0 : CROSS_ZONE_COST_US;
	candidate.cost = candidate.wait_us + load_cost + zone_cost + first_us +
			 COMPLETION_WEIGHT * (total_us - first_us);
	/* The response has to be complete in time even if it is longer than estimated. */
	double end_us = (double)now_us + candidate.wait_us + LENGTH_MARGIN * total_us;
	if (item->answer_deadline_us != 0 && end_us > (double)item->answer_deadline_us)
		candidate.cost += LATENESS_WEIGHT * (end_us - (double)item->answer_deadline_us);
	if (!scope->owned)
		candidate.cost *= 1 + COST_JITTER * comet_random_double(&picker->rng);
	return candidate;
}

/* Returns whether the response would begin by the soft deadline. Always true if there is no such
 * deadline or if it can no longer be met. */
static bool
meets_soft_deadline(
	const struct comet_placement_item *item, const struct candidate *candidate, uint64_t now_us)
{
	double first_event_us = (double)now_us + candidate->wait_us + (double)candidate->first_us;

	return item->late || item->soft_deadline_us == 0 ||
	       first_event_us <= (double)item->soft_deadline_us;
}

static void
update_cheapest(struct candidate *cheapest, const struct candidate *candidate)
{
	if (cheapest->instance == NULL || candidate->cost < cheapest->cost)
		*cheapest = *candidate;
}

/* Returns whether the slow start of the instance admits one more request from this VM. */
static bool
slow_start_admits(const struct comet_endpoint_picker *picker,
	const struct comet_endpoint_picker_scope *scope, const struct comet_instance *instance,
	uint64_t now_us)
{
	if (scope->slow_start_share == 0 || instance->slow_start_config->max_per_s == 0)
		return true;
	double sample =
		(double)(uint32_t)comet_hash_score(picker->seed, instance->key) / UINT32_MAX;
	return comet_slow_start_admits(&instance->slow_start, instance->slow_start_config,
		scope->slow_start_share, sample, now_us);
}

/* Returns whether the limit that the instance advertises admits one more request from this VM. */
static bool
limit_admits(const struct comet_endpoint_picker_scope *scope, struct comet_instance *instance,
	uint64_t now_us)
{
	return scope->owner_decides ||
	       comet_advertised_limit_admits(&instance->limit, scope->limit_share, now_us);
}

/* Returns whether a brittle instance may get one more request from this VM. Requests that are
 * placed by gossip while its shard has an owner would meet those that the owner granted. */
static bool
brittleness_admits(const struct comet_endpoint_picker_scope *scope,
	const struct comet_instance *instance, uint64_t now_us)
{
	if (!instance->brittleness.active || scope->owner_decides)
		return true;
	return scope->limit_share > 0 && comet_brittleness_admits(&instance->brittleness, now_us);
}

/* Records the picked candidate and its estimates. */
static void
record_decision(struct comet_placement_decision *decision, const struct candidate *cheapest,
	const struct comet_placement_item *item, const struct comet_endpoint_picker_scope *scope,
	uint64_t now_us)
{
	const struct comet_instance *instance = cheapest->instance;

	decision->waited_us = now_us - item->submitted_us;
	if (instance == NULL)
		return;
	decision->load = cheapest->load;
	decision->slots = instance->slots;
	decision->first_us = cheapest->first_us;
	decision->total_us = cheapest->total_us;
	decision->cost = cheapest->cost;
	if (!scope->owned)
		decision->gossip_age_us = now_us - MAX(*instance->gossip_us, instance->reported_us);
}

struct comet_instance *
comet_endpoint_picker_pick(struct comet_endpoint_picker *picker,
	const struct comet_placement_item *item, const struct comet_endpoint_picker_scope *scope,
	uint64_t now_us, struct comet_placement_decision *decision)
{
	struct candidate cheapest_in_time = {0};
	struct candidate cheapest_late = {0};
	bool full_would_be_in_time = false; /* a full endpoint would meet the soft deadline */

	memset(decision, 0, sizeof *decision);
	for (guint i = 0; scope->instances != NULL && i < scope->instances->len; i++)
	{
		struct comet_instance *instance = scope->instances->pdata[i];
		decision->candidates += comet_endpoint_picker_is_candidate(item, instance) ? 1 : 0;
		if (!comet_endpoint_picker_is_usable(item, instance, now_us) ||
			is_excluded(scope, instance->key))
			continue;
		struct candidate candidate =
			estimate_candidate(picker, item, scope, instance, now_us);
		bool in_time = meets_soft_deadline(item, &candidate, now_us);
		if (candidate.load >= max_load(item, instance, scope->queue_limit))
		{
			full_would_be_in_time = full_would_be_in_time || in_time;
			continue;
		}
		if (!slow_start_admits(picker, scope, instance, now_us) ||
			!limit_admits(scope, instance, now_us) ||
			!brittleness_admits(scope, instance, now_us))
			continue;
		decision->with_room++;
		update_cheapest(in_time ? &cheapest_in_time : &cheapest_late, &candidate);
	}
	decision->deferred = cheapest_in_time.instance == NULL && cheapest_late.instance != NULL &&
			     full_would_be_in_time;
	struct candidate *cheapest = cheapest_in_time.instance != NULL || decision->deferred
					     ? &cheapest_in_time
					     : &cheapest_late;
	record_decision(decision, cheapest, item, scope, now_us);
	return cheapest->instance;
}
