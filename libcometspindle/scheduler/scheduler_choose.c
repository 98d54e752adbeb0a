/*
 * scheduler_choose.c
 * compares the endpoints of a shard for one slot request
 */
#include <libcometspindle/scheduler/scheduler_private.h>

#include <stdio.h>
#include <string.h>

/* A request is declined only if even this fraction of its estimated output is infeasible. */
#define MIN_OUTPUT_DIVISOR 4
/* Waiting for a better endpoint must leave this fraction of the slack unused. */
#define SLACK_RESERVE_DIVISOR 4
/* Buffer size for the alternatives in the log line of a grant. */
#define RUNNERS_UP_BYTES 160

/* Expected time until a slot of a full endpoint is free: one request's decode time / running. */
static uint64_t
expected_wait_us(const struct comet_endpoint_state *endpoint, const struct comet_work *work)
{
	double per_request = work->output_tokens * endpoint->step_us;

	return (uint64_t)(per_request / (endpoint->running > 0 ? endpoint->running : 1));
}

static void
add_available_candidate(
	struct comet_endpoint_state *endpoint, const struct comet_cost *cost, struct choice *choice)
{
	choice->has_room = true;
	if (choice->available == NULL || cost->total_us < choice->available_cost.total_us)
	{
		choice->runner_up = choice->available;
		choice->runner_up_us = choice->available_cost.total_us;
		choice->available = endpoint;
		choice->available_cost = *cost;
	}
	else if (choice->runner_up == NULL || cost->total_us < choice->runner_up_us)
	{
		choice->runner_up = endpoint;
		choice->runner_up_us = cost->total_us;
	}
}

static void
add_full_candidate(struct comet_endpoint_state *endpoint, const struct comet_work *work,
	struct comet_cost *cost, struct choice *choice)
{
	uint64_t wait_us = expected_wait_us(endpoint, work);

	cost->wait_us += wait_us;
	cost->finish_us += wait_us;
	cost->total_us += wait_us;
	if (choice->full == NULL || cost->total_us < choice->full_cost.total_us)
	{
		choice->full = endpoint;
		choice->full_cost = *cost;
	}
}

static void
evaluate_endpoint(struct comet_scheduler *scheduler, const struct comet_work *work, uint32_t slot,
	uint64_t now_us, struct choice *choice)
{
	struct comet_endpoint_state *endpoint = &scheduler->endpoints[slot];
	uint32_t share = scheduler->bundle->tiers[work->tier].share_percent;
	bool has_room = comet_endpoint_has_room(endpoint, share, scheduler->trust_health, now_us);
	uint32_t cached = scheduler->cached[slot];
	struct comet_cost cost;

	/* Waiting for a full endpoint only pays off if it has cached part of the prompt. */
	if (!has_room && (cached == 0 || endpoint->health != COMET_HEALTH_OK))
		return;
	comet_endpoint_cost(endpoint, work, cached, scheduler->bundle->limits.reuse_weight, &cost);
	if (has_room)
		add_available_candidate(endpoint, &cost, choice);
	else
		add_full_candidate(endpoint, work, &cost, choice);
}

/* Shortest time in which any endpoint could produce the minimum part of the output. */
static uint64_t
fastest_us(const struct comet_scheduler *scheduler, const struct comet_work *work)
{
	uint32_t cached = 0;

	for (uint32_t i = 0; i < scheduler->n_endpoints; i++)
		cached = MAX(cached, scheduler->cached[i]);
	uint32_t computed = work->prompt_tokens > cached ? work->prompt_tokens - cached : 0;
	return (uint64_t)(computed * scheduler->min_prefill_us +
			  work->output_tokens * scheduler->min_step_us / MIN_OUTPUT_DIVISOR);
}

/*
 * Ignores health states while more than out_percent of the endpoints appear unhealthy,
 * because the observation is then more likely to be wrong than the endpoints.
 */
static void
update_health_trust(struct comet_scheduler *scheduler, uint32_t unhealthy)
{
	bool trust =
		unhealthy * 100 <= scheduler->n_endpoints * scheduler->bundle->limits.out_percent;

	if (trust != scheduler->trust_health)
		comet_log(COMET_LOG_NOTICE,
			"event=health_trust trusted=%d unhealthy=%u endpoints=%u", trust, unhealthy,
			scheduler->n_endpoints);
	scheduler->trust_health = trust;
}

/* Called on ticks and for a new bundle only, because the speeds change slowly. */
void
comet_scheduler_update_speeds(struct comet_scheduler *scheduler)
{
	double step_us = 0;
	double prefill_us = 0;
	uint32_t unhealthy = 0;

	for (uint32_t i = 0; i < scheduler->n_endpoints; i++)
	{
		const struct comet_endpoint_state *endpoint = &scheduler->endpoints[i];
		if (endpoint->health != COMET_HEALTH_OK)
			unhealthy++;
		if (endpoint->health != COMET_HEALTH_OK || endpoint->config->leaving)
			continue;
		if (step_us == 0 || endpoint->step_us < step_us)
			step_us = endpoint->step_us;
		if (prefill_us == 0 || endpoint->prefill_us < prefill_us)
			prefill_us = endpoint->prefill_us;
	}
	scheduler->min_step_us = step_us;
	scheduler->min_prefill_us = prefill_us;
	update_health_trust(scheduler, unhealthy);
}

void
comet_scheduler_choose(struct comet_scheduler *scheduler, const struct slot_request *slot_request,
	const struct comet_work *work, uint64_t now_us, struct choice *choice)
{
	memset(choice, 0, sizeof *choice);
	comet_prefix_map_match(scheduler->prefixes, work->prefix, scheduler->cached);
	for (uint32_t i = 0; i < scheduler->n_endpoints; i++)
	{
		struct comet_endpoint_state *endpoint = &scheduler->endpoints[i];
		if (endpoint->id == slot_request->message.avoid && scheduler->n_endpoints > 1)
			continue;
		if (endpoint->config->leaving)
			continue;
		evaluate_endpoint(scheduler, work, i, now_us, choice);
	}
	choice->fastest_us = fastest_us(scheduler, work);
}

void
comet_scheduler_fill_work(const struct slot_request *slot_request, struct comet_work *work)
{
	work->tier = slot_request->message.tier;
	work->prompt_tokens = slot_request->message.prompt_tokens;
	work->output_tokens = slot_request->message.output_tokens;
	work->prefix = &slot_request->prefix;
}

/* Compares the best full endpoint, including its wait, with the best one that has room. */
bool
comet_scheduler_better_to_wait(
	const struct choice *choice, const struct slot_request *slot_request, uint64_t now_us)
{
	if (choice->full == NULL || slot_request->message.tier == 0)
		return false;
	if (choice->full_cost.cached_tokens <= choice->available_cost.cached_tokens)
		return false;
	if (choice->full_cost.total_us >= choice->available_cost.total_us)
		return false;
	uint64_t slack_us = slot_request->deadline_us - now_us;
	return choice->full_cost.finish_us + slack_us / SLACK_RESERVE_DIVISOR < slack_us;
}

/* Lists the second-best endpoint with room and the best full endpoint. */
static void
format_runners_up(const struct choice *choice, char *text, size_t size)
{
	int length = 0;

	text[0] = '\0';
	if (choice->runner_up != NULL)
		length = snprintf(text, size, "%s:%" PRIu64 ",", choice->runner_up->config->name,
			choice->runner_up_us);
	if (choice->full != NULL && length >= 0 && (size_t)length < size)
		length += snprintf(text + length, size - (size_t)length, "%s:%" PRIu64 ":full,",
			choice->full->config->name, choice->full_cost.total_us);
	if (length > 0 && (size_t)length < size)
		text[length - 1] = '\0'; /* removes the trailing comma */
	else
		g_strlcpy(text, "none", size);
}

static const char *
grant_reason(const struct choice *choice)
{
	if (choice->available->health != COMET_HEALTH_OK)
		return "probe";
	return choice->by_affinity ? "affinity" : "least_cost";
}

void
comet_scheduler_log_grant(const struct comet_scheduler *scheduler,
	const struct slot_request *slot_request, const struct choice *choice, uint64_t now_us)
{
	const struct comet_team *team =
		comet_bundle_team(scheduler->bundle, slot_request->message.team);
	const struct comet_pool *pool = comet_bundle_pool(scheduler->bundle, scheduler->pool_id);
	const struct comet_cost *cost = &choice->available_cost;
	char runners_up[RUNNERS_UP_BYTES];

	format_runners_up(choice, runners_up, sizeof runners_up);
	comet_log(COMET_LOG_INFO,
		"event=route request=%08x.%012" PRIx64
		" team=%s tier=%u pool=%s endpoint=%s waited_us=%" PRIu64
		" cached_tokens=%u wait_us=%" PRIu64 " prefill_us=%" PRIu64 " decode_us=%" PRIu64
		" total_us=%" PRIu64 " running=%u limit=%.1f others=%s reason=%s",
		(uint32_t)slot_request->key.vm_id, slot_request->key.request,
		team != NULL ? team->name : "?", slot_request->message.tier,
		pool != NULL ? pool->name : "?", choice->available->config->name,
		now_us - slot_request->arrived_us, cost->cached_tokens, cost->wait_us,
		cost->prefill_us, cost->decode_us, cost->total_us, choice->available->running,
		choice->available->limit, runners_up, grant_reason(choice));
}
