/*
 * endpoint_picker.c
 * Picks the cheapest endpoint that has capacity for a request.
 */
#include <libcometspindle/gateway/placement/endpoint_picker.h>

#include <libcometspindle/gateway/endpoints/latency_model.h>
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

/* Factor on the cost of a plain endpoint without samples. It is taken for a typical one, and among
 * equal endpoints it must get a request, or its speed would never be learned. */
#define UNKNOWN_COST_FACTOR 0.98

/* Time after its ejection ends before an endpoint may be probed by a request that must not be
 * retried. */
#define NON_RETRYABLE_PROBE_DELAY_US 2000000

/* An endpoint that takes this much longer than a typical one is slow. Load alone makes endpoints of
 * the same speed differ by less. */
#define SLOW_RELATIVE 1.5

/* Latency of an endpoint without samples, relative to a typical one, that a request with a soft
 * deadline has to expect: hardware generations differ by a factor of 3. */
#define UNKNOWN_RELATIVE 3.0

/* Requests that a slow endpoint serves in time leave fast endpoints to others while this fraction
 * of their slots is used: with fewer free slots, the next requests that need one would wait. */
#define SCARCE_SLOTS 0.95

/* Fraction of the time that is left until the soft deadline within which a slow endpoint has to
 * respond: the time until the first event doubles if another prompt is read before. */
#define SLOW_MARGIN 0.5

/* Time after a request that needed a fast endpoint during which others are expected. An owner
 * receives several of them within this time. */
#define NEED_MEMORY_US 2000000

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

/* Returns whether an instance that the item must not use has room for other requests of its kind.
 */
static bool
has_room_for_others(const struct comet_placement_item *item,
	const struct comet_endpoint_picker_scope *scope, const struct comet_instance *instance,
	uint64_t now_us)
{
	return scope->owned && !comet_instance_is_leaving(instance) && !instance->evacuated &&
	       !instance->replaced && now_us >= instance->full_until_us &&
	       now_us >= instance->limit.blocked_until_us && now_us >= instance->ejected_until_us &&
	       comet_instance_owned_load(instance, now_us) <
		       max_load(item, instance, scope->queue_limit);
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
	bool in_time; /* would meet the soft deadline */
	bool near;    /* in this VM's availability zone, or zones do not matter */
};

/* Computes the cost of sending the item to an instance: the time until the first event, plus a
 * weighted part of the remaining service time. */
static struct candidate
estimate_candidate(struct comet_endpoint_picker *picker, const struct comet_placement_item *item,
	const struct comet_endpoint_picker_scope *scope, struct comet_instance *instance,
	uint64_t now_us)
{
	struct candidate candidate = {
		.instance = instance,
		.near = instance->near || !picker->prefer_own_zone,
	};

	candidate.load = scope->owned ? comet_instance_owned_load(instance, now_us)
				      : comet_instance_load(instance, now_us);
	comet_instance_estimate(
		instance, &item->size, now_us, &candidate.first_us, &candidate.total_us);
	double total_us = (double)candidate.total_us;
	double first_us = (double)candidate.first_us;
	if (candidate.load >= instance->slots)
		candidate.wait_us = comet_instance_slot_us(instance, now_us) *
				    (candidate.load - instance->slots + 1) / instance->slots;
	double load_cost = LOAD_WEIGHT * total_us * candidate.load / instance->slots;
	double zone_cost = instance->near ? 0 : CROSS_ZONE_COST_US;
	candidate.cost = candidate.wait_us + load_cost + zone_cost + first_us +
			 COMPLETION_WEIGHT * (total_us - first_us);
	/* The response has to be complete in time even if it is longer than estimated. */
	double end_us = (double)now_us + candidate.wait_us + LENGTH_MARGIN * total_us;
	if (item->answer_deadline_us != 0 && end_us > (double)item->answer_deadline_us)
		candidate.cost += LATENESS_WEIGHT * (end_us - (double)item->answer_deadline_us);
	if (instance->samples == 0 && !item->size.stream)
		candidate.cost *= UNKNOWN_COST_FACTOR;
	if (!scope->owned)
		candidate.cost *= 1 + COST_JITTER * comet_random_double(&picker->rng);
	return candidate;
}

/* Returns whether the response would begin by the soft deadline if the time until its first event
 * were `factor` times the estimate. Always true if there is no such deadline or if it can no longer
 * be met. */
static bool
meets_soft_deadline(const struct comet_placement_item *item, const struct candidate *candidate,
	double factor, uint64_t now_us)
{
	double first_us = candidate->wait_us + (double)candidate->first_us;

	return item->late || item->soft_deadline_us == 0 ||
	       (double)now_us + factor * first_us <= (double)item->soft_deadline_us;
}

/* Returns whether the speed of an endpoint without samples decides whether the response is in time.
 */
static bool
is_gamble(
	const struct comet_placement_item *item, const struct candidate *candidate, uint64_t now_us)
{
	return item->size.stream && candidate->instance->samples == 0 &&
	       !meets_soft_deadline(item, candidate, UNKNOWN_RELATIVE, now_us);
}

/* Returns the preference of an endpoint with room. Plain requests that queue go wherever the wait
 * is shortest, since they may queue in any number. */
static enum comet_placement_preference
preference_of(
	const struct comet_placement_item *item, const struct candidate *candidate, uint64_t now_us)
{
	const struct comet_instance *instance = candidate->instance;

	if (!candidate->in_time)
		return COMET_PLACEMENT_LATE;
	if (is_gamble(item, candidate, now_us))
		return COMET_PLACEMENT_QUEUE;
	if (candidate->load >= instance->slots)
		return item->size.stream && candidate->near ? COMET_PLACEMENT_NEAR_QUEUE
							    : COMET_PLACEMENT_QUEUE;
	return candidate->near ? COMET_PLACEMENT_NEAR : COMET_PLACEMENT_FAR;
}

#define PREFERENCES (COMET_PLACEMENT_LATE + 1)

/* The candidates of one pick. */
struct choice
{
	struct candidate cheapest[PREFERENCES];
	struct candidate slow;      /* slow, and nevertheless in time with a margin */
	bool full_would_be_in_time; /* a full endpoint would meet the soft deadline */
	uint64_t fast_needed_us;    /* when an endpoint that is not slow was last needed */
	uint32_t fast_load;
	uint32_t fast_slots;
};

static bool
is_slow(const struct comet_instance *instance)
{
	return instance->samples > 0 &&
	       comet_instance_relative_to_typical(instance) >= SLOW_RELATIVE;
}

/* Returns whether a slow endpoint serves the request well enough to leave a fast one to others. It
 * must not occupy the slot for longer than a typical request does at a typical endpoint: long
 * outputs would fill the slow endpoints, and more urgent requests there would wait behind them. */
static bool
suits_slow(
	const struct comet_placement_item *item, const struct candidate *candidate, uint64_t now_us)
{
	double end_us =
		(double)now_us + candidate->wait_us + LENGTH_MARGIN * (double)candidate->total_us;

	double typical_us =
		comet_latency_model_slot_us(candidate->instance->latency_model) *
		comet_latency_model_typical_relative(candidate->instance->latency_model);

	return candidate->load < candidate->instance->slots &&
	       (double)candidate->total_us <= typical_us &&
	       meets_soft_deadline(item, candidate, 1 / SLOW_MARGIN, now_us) &&
	       (item->answer_deadline_us == 0 || end_us <= (double)item->answer_deadline_us);
}

static void
update_cheapest(struct candidate *cheapest, const struct candidate *candidate)
{
	if (cheapest->instance == NULL || candidate->cost < cheapest->cost)
		*cheapest = *candidate;
}

/* Adds an endpoint with room to the candidates. */
static void
add_candidate(struct choice *choice, const struct comet_placement_item *item,
	const struct candidate *candidate, uint64_t now_us)
{
	update_cheapest(&choice->cheapest[preference_of(item, candidate, now_us)], candidate);
	if (candidate->in_time && is_slow(candidate->instance) &&
		suits_slow(item, candidate, now_us))
		update_cheapest(&choice->slow, candidate);
}

/* Counts the use of endpoints that are not slow, with room or not. */
static void
count_fast(struct choice *choice, const struct candidate *candidate)
{
	const struct comet_instance *instance = candidate->instance;

	if (is_slow(instance))
		return;
	choice->fast_load += MIN(candidate->load, instance->slots);
	choice->fast_slots += instance->slots;
	choice->fast_needed_us = MAX(choice->fast_needed_us, instance->needed_us);
}

/* Returns whether requests that need a fast endpoint are expected, and few of them are free. */
static bool
fast_are_scarce(const struct choice *choice, uint64_t now_us)
{
	return choice->fast_needed_us != 0 && now_us - choice->fast_needed_us < NEED_MEMORY_US &&
	       choice->fast_load >= SCARCE_SLOTS * choice->fast_slots;
}

/* Returns whether a plain request is better off in the queue of an endpoint than in a free slot of
 * another one of the same availability zone, which is slow at present. */
static bool
queues_better(const struct comet_placement_item *item, const struct candidate *free,
	const struct candidate *queue)
{
	return !item->size.stream && queue->instance != NULL && queue->cost < free->cost &&
	       queue->near == free->near;
}

/* Selects among the groups of candidates; a candidate without an instance: none. */
static const struct candidate *
select_candidate(const struct choice *choice, const struct comet_placement_item *item,
	bool deferred, uint64_t now_us)
{
	const struct candidate *queue = &choice->cheapest[COMET_PLACEMENT_QUEUE];

	if (choice->slow.instance != NULL && fast_are_scarce(choice, now_us))
		return &choice->slow;
	for (int preference = 0; preference < COMET_PLACEMENT_LATE; preference++)
	{
		const struct candidate *best = &choice->cheapest[preference];
		if (best->instance != NULL)
			return queues_better(item, best, queue) ? queue : best;
	}
	return &choice->cheapest[deferred ? COMET_PLACEMENT_NEAR : COMET_PLACEMENT_LATE];
}

/* Returns whether an endpoint with room would respond in time. */
static bool
has_room_in_time(const struct choice *choice)
{
	for (int preference = 0; preference < COMET_PLACEMENT_LATE; preference++)
	{
		if (choice->cheapest[preference].instance != NULL)
			return true;
	}
	return false;
}

/* Returns whether the slow start of the instance admits one more request from this VM. */
static bool
slow_start_admits(struct comet_endpoint_picker *picker, const struct comet_placement_item *item,
	const struct comet_endpoint_picker_scope *scope, const struct comet_instance *instance,
	uint64_t now_us)
{
	struct comet_cold_refusal *refusal = &picker->cold_refusal;

	if (!scope->decides_on_cold ||
		comet_slow_start_admits(&instance->slow_start, instance->slow_start_config,
			&instance->cold_allowance, now_us))
		return true;
	refusal->count++;
	refusal->instance_key = instance->key;
	refusal->recent = comet_slow_start_recent(&instance->slow_start, now_us);
	refusal->allowance = comet_slow_start_limit(&instance->slow_start,
		instance->slow_start_config, &instance->cold_allowance, now_us);
	refusal->for_other_vm = item->for_other_vm;
	refusal->at_us = now_us;
	return false;
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
	struct choice choice = {0};

	memset(decision, 0, sizeof *decision);
	for (guint i = 0; scope->instances != NULL && i < scope->instances->len; i++)
	{
		struct comet_instance *instance = scope->instances->pdata[i];
		decision->candidates += comet_endpoint_picker_is_candidate(item, instance) ? 1 : 0;
		if (!comet_endpoint_picker_is_usable(item, instance, now_us) ||
			is_excluded(scope, instance->key))
		{
			decision->others_have_room =
				decision->others_have_room ||
				has_room_for_others(item, scope, instance, now_us);
			continue;
		}
		struct candidate candidate =
			estimate_candidate(picker, item, scope, instance, now_us);
		candidate.in_time = meets_soft_deadline(item, &candidate, 1, now_us);
		count_fast(&choice, &candidate);
		if (candidate.load >= max_load(item, instance, scope->queue_limit))
		{
			choice.full_would_be_in_time =
				choice.full_would_be_in_time || candidate.in_time;
			continue;
		}
		if (!slow_start_admits(picker, item, scope, instance, now_us) ||
			!limit_admits(scope, instance, now_us) ||
			!brittleness_admits(scope, instance, now_us))
			continue;
		decision->with_room++;
		add_candidate(&choice, item, &candidate, now_us);
	}
	bool some_late = choice.cheapest[COMET_PLACEMENT_LATE].instance != NULL;
	decision->deferred =
		!has_room_in_time(&choice) && some_late && choice.full_would_be_in_time;
	const struct candidate *selected =
		select_candidate(&choice, item, decision->deferred, now_us);
	if (selected->instance != NULL)
		decision->preference = preference_of(item, selected, now_us);
	record_decision(decision, selected, item, scope, now_us);
	decision->spared_fast = selected == &choice.slow;
	picker->spared_fast += scope->owned && decision->spared_fast ? 1 : 0;
	if (selected->instance != NULL && selected->in_time && some_late)
		selected->instance->needed_us = now_us;
	return selected->instance;
}
