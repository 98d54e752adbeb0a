/*
 * endpoint.c
 * what a scheduler knows of one endpoint: work on it, learned speeds, limit, health
 */
#include <libcometspindle/endpoint.h>

#include <string.h>

/* Until measured: middling speeds, so that new endpoints get tried. */
#define STEP_DEFAULT_US 10000.0
#define PREFILL_DEFAULT_US 100.0
/* Weight of a new sample. */
#define LEARN 0.25
/* The limit starts at this part of the batch and never falls below the floor part. */
#define LIMIT_START 1.0
#define LIMIT_FLOOR 0.25
#define LIMIT_RAISE 0.25
#define LIMIT_LOWER 0.9
/* Failures in a row until suspect, and until out. */
#define FAILURES_SUSPECT 2
#define FAILURES_OUT 5
#define PROBE_FIRST_US 500000ULL
#define PROBE_MAX_US 8000000ULL
/* Reports lag by less than this. */
#define REPORT_WINDOW_US 1500000ULL
#define SAMPLE_TOKENS_MIN 16

void
comet_endpoint_init(
	struct comet_endpoint_state *state, void *parent, const struct comet_endpoint *config)
{
	memset(state, 0, sizeof *state);
	state->config = config;
	state->id = config->id;
	state->step_us = STEP_DEFAULT_US;
	state->prefill_us = PREFILL_DEFAULT_US;
	state->limit = config->batch * LIMIT_START;
	if (state->limit < 1)
		state->limit = 1;
	state->prefixes = comet_prefix_index_create(parent, config->kv_tokens);
}

void
comet_endpoint_cost(const struct comet_endpoint_state *state, const struct comet_work *work,
	uint32_t cached, uint32_t reuse_weight, struct comet_cost *cost)
{

	if (cached > work->prompt_tokens)
		cached = work->prompt_tokens;
	cost->cached_tokens = cached;
	cost->wait_us = (uint64_t)((double)state->prefill_ahead * state->prefill_us);
	cost->prefill_us = (uint64_t)((work->prompt_tokens - cached) * state->prefill_us);
	cost->decode_us = (uint64_t)(work->output_tokens * state->step_us);
	cost->finish_us = cost->wait_us + cost->prefill_us + cost->decode_us;
	cost->total_us = cost->finish_us + cost->prefill_us * (reuse_weight - 1);
}

bool
comet_endpoint_has_room(const struct comet_endpoint_state *state, uint32_t share_percent,
	bool trust_health, uint64_t now_us)
{
	if (state->config->leaving)
		return false;
	if (trust_health && state->health != COMET_HEALTH_OK)
		return now_us >= state->probe_at_us;
	double room = state->limit * share_percent / 100.0;
	if (room < 1)
		room = 1;
	return state->running + state->foreign + 1 <= room;
}

static void
note_peak(struct comet_endpoint_state *state, uint64_t now_us)
{
	if (now_us - state->window_started_us > REPORT_WINDOW_US)
	{
		state->running_peak[1] = state->running_peak[0];
		state->running_peak[0] = state->running;
		state->window_started_us = now_us;
	}
	if (state->running > state->running_peak[0])
		state->running_peak[0] = state->running;
}

static uint64_t
probe_delay(const struct comet_endpoint_state *state)
{
	uint64_t delay = PROBE_FIRST_US;

	for (uint32_t i = FAILURES_SUSPECT; i < state->failures && delay < PROBE_MAX_US; i++)
		delay *= 2;
	return delay;
}

void
comet_endpoint_start(struct comet_endpoint_state *state, const struct comet_work *work,
	uint32_t cached, uint64_t now_us)
{

	state->running++;
	if (work->prompt_tokens > cached)
		state->prefill_ahead += work->prompt_tokens - cached;
	comet_prefix_index_add(state->prefixes, work->prefix);
	note_peak(state, now_us);
	if (state->health != COMET_HEALTH_OK)
		state->probe_at_us = now_us + probe_delay(state);
}

static void
learn(double *value, double sample, uint32_t samples)
{
	/* the first samples count more, so that defaults fade at once */
	double weight = samples < 3 ? 1.0 / (samples + 1) : LEARN;

	*value += weight * (sample - *value);
}

static void
learn_speeds(struct comet_endpoint_state *state, const struct comet_sample *sample)
{
	if (sample->step_us > 0)
		learn(&state->step_us, sample->step_us, state->samples);
	uint32_t computed = sample->prompt_tokens > sample->cached_tokens
				    ? sample->prompt_tokens - sample->cached_tokens
				    : 0;
	if (computed >= SAMPLE_TOKENS_MIN && sample->first_token_us > 0)
		learn(&state->prefill_us, (double)sample->first_token_us / computed,
			state->samples);
	state->samples++;
}

static void
adjust_limit(
	struct comet_endpoint_state *state, const struct comet_sample *sample, uint32_t target_ms)
{
	double target_us = target_ms * 1000.0;
	double floor = state->config->batch * LIMIT_FLOOR;

	if (sample->step_us > target_us)
		state->limit *= LIMIT_LOWER;
	else if (state->running + 1 >= (uint32_t)state->limit && state->step_us < target_us)
		state->limit += LIMIT_RAISE;
	if (state->limit < floor)
		state->limit = floor;
	if (state->limit < 1)
		state->limit = 1;
	if (state->limit > state->config->batch)
		state->limit = state->config->batch;
}

static enum comet_health
health_after(const struct comet_endpoint_state *state)
{
	if (state->failures >= FAILURES_OUT)
		return COMET_HEALTH_OUT;
	if (state->failures >= FAILURES_SUSPECT)
		return COMET_HEALTH_SUSPECT;
	return COMET_HEALTH_OK;
}

static bool
note_failure(struct comet_endpoint_state *state, uint64_t now_us)
{
	enum comet_health before = state->health;

	state->failures++;
	state->health = health_after(state);
	state->probe_at_us = now_us + probe_delay(state);
	return state->health != before;
}

static bool
note_success(struct comet_endpoint_state *state)
{
	bool changed = state->health != COMET_HEALTH_OK;

	state->failures = 0;
	state->health = COMET_HEALTH_OK;
	return changed;
}

bool
comet_endpoint_finish(struct comet_endpoint_state *state, enum comet_outcome outcome,
	const struct comet_sample *sample, uint32_t gap_target_ms, uint64_t now_us)
{
	uint32_t computed = sample->prompt_tokens > sample->cached_tokens
				    ? sample->prompt_tokens - sample->cached_tokens
				    : 0;

	note_peak(state, now_us);
	if (state->running > 0)
		state->running--;
	state->prefill_ahead -= computed < state->prefill_ahead ? computed : state->prefill_ahead;
	if (state->running == 0)
		state->prefill_ahead = 0;
	switch (outcome)
	{
	case COMET_OUTCOME_SERVED:
		learn_speeds(state, sample);
		adjust_limit(state, sample, gap_target_ms);
		return note_success(state);
	case COMET_OUTCOME_REFUSED:
		state->limit = state->limit > 2 ? state->limit * LIMIT_LOWER : 1;
		return false;
	case COMET_OUTCOME_FAILED:
	case COMET_OUTCOME_UNREACHED:
		comet_prefix_index_clear(state->prefixes);
		return note_failure(state, now_us);
	default:
		return false;
	}
}

bool
comet_endpoint_slow(struct comet_endpoint_state *state, uint32_t step_us, uint64_t now_us)
{
	if (step_us == 0)
	{
		/* the silent stream itself names this endpoint: no guess is made */
		if (state->failures < FAILURES_SUSPECT)
			state->failures = FAILURES_SUSPECT - 1;
		return note_failure(state, now_us);
	}
	if (step_us > state->step_us)
		learn(&state->step_us, step_us, state->samples);
	return false;
}

void
comet_endpoint_report(struct comet_endpoint_state *state, uint32_t total, uint64_t now_us)
{
	note_peak(state, now_us);
	uint32_t explained = state->running_peak[0] > state->running_peak[1]
				     ? state->running_peak[0]
				     : state->running_peak[1];
	state->foreign = total > explained ? total - explained : 0;
}

const char *
comet_health_name(enum comet_health health)
{
	static const char *const names[] = {"ok", "suspect", "out"};

	return names[health];
}
