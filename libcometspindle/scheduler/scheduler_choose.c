/*
 * scheduler_choose.c
 * weighs the endpoints of a shard for one ask
 */
#include <libcometspindle/scheduler/scheduler_private.h>

#include <stdio.h>
#include <string.h>

/* Declined only when even this part of the estimated output cannot be done. */
#define DECLINE_OUTPUT_DIVISOR 4
/* Waiting for a better endpoint must leave this part of the slack unused. */
#define SLACK_RESERVE_DIVISOR 4
/* Text of the runners-up in a decision line. */
#define OTHERS_BYTES 160

/* Time until a full endpoint is expected to have room: its work, spread over its slots. */
static uint64_t
room_wait_us(const struct comet_endpoint_state *endpoint, const struct comet_work *work)
{
	double per_request = work->output_tokens * endpoint->step_us;

	return (uint64_t)(per_request / (endpoint->running > 0 ? endpoint->running : 1));
}

static void
consider_free(
	struct comet_endpoint_state *endpoint, const struct comet_cost *cost, struct choice *choice)
{
	choice->room = true;
	if (choice->free == NULL || cost->total_us < choice->free_cost.total_us)
	{
		choice->second = choice->free;
		choice->second_us = choice->free_cost.total_us;
		choice->free = endpoint;
		choice->free_cost = *cost;
	}
	else if (choice->second == NULL || cost->total_us < choice->second_us)
	{
		choice->second = endpoint;
		choice->second_us = cost->total_us;
	}
}

static void
consider_full(struct comet_endpoint_state *endpoint, const struct comet_work *work,
	struct comet_cost *cost, struct choice *choice)
{
	uint64_t wait_us = room_wait_us(endpoint, work);

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
consider(struct comet_scheduler *scheduler, const struct comet_work *work, uint32_t slot,
	uint64_t now_us, struct choice *choice)
{
	struct comet_endpoint_state *endpoint = &scheduler->endpoints[slot];
	uint32_t share = scheduler->bundle->tiers[work->tier].share_percent;
	bool room = comet_endpoint_has_room(endpoint, share, scheduler->trust_health, now_us);
	uint32_t cached = scheduler->cached[slot];
	struct comet_cost cost;

	/* a full endpoint is only worth a wait for what it has cached */
	if (!room && (cached == 0 || endpoint->health != COMET_HEALTH_OK))
		return;
	comet_endpoint_cost(endpoint, work, cached, scheduler->bundle->limits.reuse_weight, &cost);
	if (room)
		consider_free(endpoint, &cost, choice);
	else
		consider_full(endpoint, work, &cost, choice);
}

/* Least time in which a part of the output could be done anywhere. */
static uint64_t
fastest_us(const struct comet_scheduler *scheduler, const struct comet_work *work)
{
	uint32_t cached = 0;

	for (uint32_t i = 0; i < scheduler->n_endpoints; i++)
		cached = MAX(cached, scheduler->cached[i]);
	uint32_t computed = work->prompt_tokens > cached ? work->prompt_tokens - cached : 0;
	return (uint64_t)(computed * scheduler->least_prefill_us +
			  work->output_tokens * scheduler->least_step_us / DECLINE_OUTPUT_DIVISOR);
}

/* Never more than a part of the pool is out: when most look bad, the view is what is wrong. */
static void
judge_view(struct comet_scheduler *scheduler, uint32_t bad)
{
	bool trust = bad * 100 <= scheduler->n_endpoints * scheduler->bundle->limits.out_percent;

	if (trust != scheduler->trust_health)
		comet_log(COMET_LOG_NOTICE, "event=view trusted=%d bad=%u endpoints=%u", trust, bad,
			scheduler->n_endpoints);
	scheduler->trust_health = trust;
}

/* The best speeds of any healthy endpoint; looked at on ticks, as they change slowly. */
void
comet_scheduler_note_speeds(struct comet_scheduler *scheduler)
{
	double step_us = 0;
	double prefill_us = 0;
	uint32_t bad = 0;

	for (uint32_t i = 0; i < scheduler->n_endpoints; i++)
	{
		const struct comet_endpoint_state *endpoint = &scheduler->endpoints[i];
		if (endpoint->health != COMET_HEALTH_OK)
			bad++;
		if (endpoint->health != COMET_HEALTH_OK || endpoint->config->leaving)
			continue;
		if (step_us == 0 || endpoint->step_us < step_us)
			step_us = endpoint->step_us;
		if (prefill_us == 0 || endpoint->prefill_us < prefill_us)
			prefill_us = endpoint->prefill_us;
	}
	scheduler->least_step_us = step_us;
	scheduler->least_prefill_us = prefill_us;
	judge_view(scheduler, bad);
}

void
comet_scheduler_choose(struct comet_scheduler *scheduler, const struct ask *ask,
	const struct comet_work *work, uint64_t now_us, struct choice *choice)
{
	memset(choice, 0, sizeof *choice);
	comet_prefix_map_match(scheduler->prefixes, work->prefix, scheduler->cached);
	for (uint32_t i = 0; i < scheduler->n_endpoints; i++)
	{
		struct comet_endpoint_state *endpoint = &scheduler->endpoints[i];
		if (endpoint->id == ask->message.avoid && scheduler->n_endpoints > 1)
			continue;
		if (endpoint->config->leaving)
			continue;
		consider(scheduler, work, i, now_us, choice);
	}
	choice->fastest_us = fastest_us(scheduler, work);
}

void
comet_scheduler_work(const struct ask *ask, struct comet_work *work)
{
	work->tier = ask->message.tier;
	work->prompt_tokens = ask->message.prompt_tokens;
	work->output_tokens = ask->message.output_tokens;
	work->prefix = &ask->prefix;
}

/* A full endpoint that has the prompt cached may be worth a wait, slack permitting. */
bool
comet_scheduler_better_to_wait(const struct choice *choice, const struct ask *ask, uint64_t now_us)
{
	if (choice->full == NULL || ask->message.tier == 0)
		return false;
	if (choice->full_cost.cached_tokens <= choice->free_cost.cached_tokens)
		return false;
	if (choice->full_cost.total_us >= choice->free_cost.total_us)
		return false;
	uint64_t slack_us = ask->deadline_us - now_us;
	return choice->full_cost.finish_us + slack_us / SLACK_RESERVE_DIVISOR < slack_us;
}

/* The runners-up: the next best with room, and the best full one. */
static void
describe_others(const struct choice *choice, char *text, size_t size)
{
	int length = 0;

	text[0] = '\0';
	if (choice->second != NULL)
		length = snprintf(text, size, "%s:%" PRIu64 ",", choice->second->config->name,
			choice->second_us);
	if (choice->full != NULL && length >= 0 && (size_t)length < size)
		length += snprintf(text + length, size - (size_t)length, "%s:%" PRIu64 ":full,",
			choice->full->config->name, choice->full_cost.total_us);
	if (length > 0 && (size_t)length < size)
		text[length - 1] = '\0'; /* the last comma */
	else
		g_strlcpy(text, "none", size);
}

static const char *
reason_of(const struct choice *choice)
{
	if (choice->free->health != COMET_HEALTH_OK)
		return "probe";
	return choice->by_affinity ? "affinity" : "least_cost";
}

void
comet_scheduler_log_grant(const struct comet_scheduler *scheduler, const struct ask *ask,
	const struct choice *choice, uint64_t now_us)
{
	const struct comet_team *team = comet_bundle_team(scheduler->bundle, ask->message.team);
	const struct comet_pool *pool = comet_bundle_pool(scheduler->bundle, scheduler->pool_id);
	const struct comet_cost *cost = &choice->free_cost;
	char others[OTHERS_BYTES];

	describe_others(choice, others, sizeof others);
	comet_log(COMET_LOG_INFO,
		"event=route request=%08x.%012" PRIx64
		" team=%s tier=%u pool=%s endpoint=%s waited_us=%" PRIu64
		" cached_tokens=%u wait_us=%" PRIu64 " prefill_us=%" PRIu64 " decode_us=%" PRIu64
		" total_us=%" PRIu64 " running=%u limit=%.1f others=%s reason=%s",
		(uint32_t)ask->key.holder, ask->key.request, team != NULL ? team->name : "?",
		ask->message.tier, pool != NULL ? pool->name : "?", choice->free->config->name,
		now_us - ask->arrived_us, cost->cached_tokens, cost->wait_us, cost->prefill_us,
		cost->decode_us, cost->total_us, choice->free->running, choice->free->limit, others,
		reason_of(choice));
}
