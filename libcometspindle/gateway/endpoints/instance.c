/*
 * instance.c
 * one life of an endpoint's process: what runs there, how fast, how healthy
 */
#include <libcometspindle/gateway/endpoints/instance.h>

#include <glib.h>
#include <libcometspindle/gateway/endpoints/latency_model.h>
#include <libcometspindle/hash.h>
#include <string.h>

/* Weight of a new sample of an instance's pace: about the last ten requests count. */
#define PACE_WEIGHT 0.1

/* Bounds of a learned pace: hardware generations differ threefold, trouble makes it tenfold. */
#define PACE_MIN 0.2
#define PACE_MAX 20.0

/* Slow start: how much longer a cold instance is expected to take. */
#define COLD_FACTOR 2.0

/* Failures in a row before an instance is avoided, and for how long: doubling to the longest. */
#define FAILURES_TO_AVOID 2
#define AVOID_FIRST_US 500000
#define AVOID_LONGEST_US 4000000

/* An instance that refused as full gets nothing for this time, doubled with each refusal in a row
 * up to the longest: others are likely to refuse less. */
#define FULL_FIRST_US 100000
#define FULL_LONGEST_US 1600000

/* A trial whose end is not told by then is over: the word of another VM may be lost. */
#define TRIAL_LONGEST_US 4000000

/* An instance that fails this part of its requests of late is avoided as well. */
#define ERROR_RATE_TO_AVOID 0.45

/* Weight of one result in an instance's error rate: about the last eight count. */
#define ERROR_WEIGHT 0.12

/* A view of other VMs' dispatches older than this says nothing any more. */
#define VIEW_STALE_US 3000000

/* What an endpoint told of its load goes before views for this time: about as long as a request
 * takes there. */
#define TOLD_FRESH_US 400000

uint32_t
comet_instance_key(const char *id, uint64_t process_start_ms)
{
	uint32_t key = (uint32_t)comet_hash_bytes(id, strlen(id), process_start_ms);

	if (process_start_ms == 0)
		return comet_hash_name(id);
	return key != 0 ? key : 1;
}

uint32_t
comet_instance_load(const struct comet_instance *instance, uint64_t now_us)
{
	bool viewed = instance->gossip_us != 0 && now_us - instance->gossip_us < VIEW_STALE_US;
	bool told = instance->reported_us != 0 && now_us - instance->reported_us < TOLD_FRESH_US;
	uint32_t others = viewed ? instance->others : 0;

	/* Its own word is exact when it is fresh; views are summed from older ones. */
	if (told)
		others = instance->reported_total -
			 MIN(instance->reported_total, instance->reported_own);
	return instance->own + others;
}

uint32_t
comet_instance_owned_load(const struct comet_instance *instance, uint64_t now_us)
{
	bool told = instance->reported_us != 0 && now_us - instance->reported_us < TOLD_FRESH_US;
	uint32_t told_others = told ? instance->reported_total -
					       MIN(instance->reported_total, instance->reported_own)
				    : 0;

	return instance->own + MAX(instance->others, told_others);
}

/* Prompt tokens granted to other VMs that are not read yet, as far as time tells. */
static double
granted_prompt_tokens(const struct comet_latency_model *latency_model,
	const struct comet_instance *instance, uint64_t now_us)
{
	double token_us =
		comet_latency_model_prompt_us(latency_model, 1000) / 1000 * instance->pace;
	double read = (double)(now_us - instance->granted_us) / MAX(token_us, 1.0);

	return MAX(instance->granted_prompt_tokens - read, 0.0);
}

void
comet_instance_slot_granted(
	struct comet_instance *instance, uint32_t prompt_tokens, uint64_t now_us)
{
	const struct comet_latency_model *latency_model = instance->latency_model;

	instance->granted_prompt_tokens =
		granted_prompt_tokens(latency_model, instance, now_us) + prompt_tokens;
	instance->granted_us = now_us;
	instance->others++;
	instance->reported_total++;
}

void
comet_instance_slot_released(struct comet_instance *instance)
{
	instance->others -= MIN(instance->others, 1);
	instance->reported_total -= MIN(instance->reported_total, 1);
}

void
comet_instance_estimate(const struct comet_instance *instance, const struct comet_request_size *job,
	uint64_t now_us, uint64_t *first_us, uint64_t *total_us)
{
	const struct comet_latency_model *latency_model = instance->latency_model;
	double cold = instance->warm_until_us > now_us ? COLD_FACTOR : 1.0;

	if (!job->stream)
	{
		double plain_us =
			comet_latency_model_mean_us(latency_model, COMET_LATENCY_KIND_PLAIN);
		*first_us = (uint64_t)(plain_us * instance->pace * cold);
		*total_us = *first_us;
		return;
	}
	double token = comet_latency_model_mean_us(latency_model, COMET_LATENCY_KIND_TOKEN);
	/* What was granted is in views as well, a little later. */
	double others = MAX((double)instance->remote_prompt_tokens,
		granted_prompt_tokens(latency_model, instance, now_us));
	double ahead = comet_latency_model_prompt_us(
		latency_model, instance->local_prompt_tokens + (uint32_t)others);
	double first = comet_latency_model_first_us(latency_model, job->prompt_tokens) + ahead;
	*first_us = (uint64_t)(first * instance->pace * cold);
	*total_us = (uint64_t)((first + token * job->output_tokens) * instance->pace * cold);
}

double
comet_instance_slot_us(const struct comet_instance *instance)
{
	return comet_latency_model_slot_us(instance->latency_model) * instance->pace;
}

void
comet_instance_selected(struct comet_instance *instance, uint64_t now_us)
{
	instance->probe_in_flight = instance->ejected_until_us != 0;
	instance->probe_started_us = now_us;
	comet_slow_start_count(&instance->start, instance->start_bounds, now_us);
}

void
comet_instance_may_be_cold(struct comet_instance *instance, uint64_t now_us)
{
	comet_slow_start_begin(&instance->start, instance->start_bounds, now_us);
}

bool
comet_instance_is_probing(const struct comet_instance *instance, uint64_t now_us)
{
	return instance->probe_in_flight && now_us - instance->probe_started_us < TRIAL_LONGEST_US;
}

void
comet_instance_started(struct comet_instance *instance, const struct comet_request_size *job)
{
	instance->own++;
	instance->local_prompt_tokens += job->prompt_tokens;
}

static void
learn_pace(struct comet_instance *instance, double taken_us, double usual_us)
{
	double sample = CLAMP(taken_us / MAX(usual_us, 1.0), PACE_MIN, PACE_MAX);

	instance->samples++;
	double weight = MAX(PACE_WEIGHT, 1.0 / (1.0 + instance->samples));
	instance->pace += weight * (sample - instance->pace);
}

void
comet_instance_first_event(
	struct comet_instance *instance, const struct comet_request_size *job, uint64_t first_us)
{
	struct comet_latency_model *latency_model = instance->latency_model;

	instance->local_prompt_tokens -= MIN(instance->local_prompt_tokens, job->prompt_tokens);
	if (!job->stream || first_us == COMET_INSTANCE_UNMEASURED)
		return;
	/* Waiting behind others says nothing of the usual time: only calm samples are taken. */
	if (instance->own + instance->others <= instance->slots)
		comet_latency_model_learn_first(
			latency_model, job->prompt_tokens, (double)first_us / instance->pace);
}

/* Learns how long an endpoint takes for a plain answer. */
static void
learn_plain(struct comet_instance *instance, uint64_t taken_us)
{
	struct comet_latency_model *latency_model = instance->latency_model;
	bool known = comet_latency_model_known(latency_model, COMET_LATENCY_KIND_PLAIN);
	double usual_us =
		known ? comet_latency_model_mean_us(latency_model, COMET_LATENCY_KIND_PLAIN)
		      : (double)taken_us;

	learn_pace(instance, (double)taken_us, usual_us);
	comet_latency_model_learn(latency_model, COMET_LATENCY_KIND_PLAIN, (double)taken_us);
}

void
comet_instance_learn(
	struct comet_instance *instance, bool stream, uint64_t taken_us, uint32_t events)
{
	struct comet_latency_model *latency_model = instance->latency_model;

	if (!stream && taken_us > 0)
		learn_plain(instance, taken_us);
	if (!stream || events < 2)
		return;
	double event_us = (double)taken_us / (events - 1);
	bool known = comet_latency_model_known(latency_model, COMET_LATENCY_KIND_EVENT);
	double usual_us =
		known ? comet_latency_model_mean_us(latency_model, COMET_LATENCY_KIND_EVENT)
		      : event_us;
	learn_pace(instance, event_us, usual_us);
	comet_latency_model_learn(
		latency_model, COMET_LATENCY_KIND_EVENT, event_us / instance->pace);
}

/* Learns speeds from a whole answer. */
static void
learn_speed(struct comet_instance *instance, const struct comet_request_size *job,
	uint64_t stream_us, uint32_t events)
{
	struct comet_latency_model *latency_model = instance->latency_model;

	if (stream_us == COMET_INSTANCE_UNMEASURED)
		return;
	if (!job->stream)
	{
		learn_plain(instance, stream_us);
		return;
	}
	double first = comet_latency_model_first_us(latency_model, job->prompt_tokens);
	comet_latency_model_learn(
		latency_model, COMET_LATENCY_KIND_SLOT, first + (double)stream_us / instance->pace);
	if (events < 2 || job->output_tokens == 0)
		return;
	comet_instance_learn(instance, true, stream_us, events);
	comet_latency_model_learn(latency_model, COMET_LATENCY_KIND_TOKEN,
		(double)stream_us / job->output_tokens / instance->pace);
}

/* A bad end: avoids the instance once there are too many of them. */
static bool
learn_failure(struct comet_instance *instance, enum comet_dispatch_result result, uint64_t now_us)
{
	bool trusted = instance->ejected_until_us == 0;

	if (result != COMET_DISPATCH_ERROR)
		instance->failures++; /* an answered error counts by its rate alone */
	instance->error_rate += ERROR_WEIGHT * (1.0 - instance->error_rate);
	/* No connection says at once that nobody is there. */
	bool clear = result == COMET_DISPATCH_UNREACHED || instance->probe_in_flight;
	if (!clear && instance->failures < FAILURES_TO_AVOID &&
		instance->error_rate < ERROR_RATE_TO_AVOID)
		return false;
	uint64_t pause_us = (uint64_t)AVOID_FIRST_US << MIN(instance->failures, 4);
	pause_us = MIN(pause_us / 2, AVOID_LONGEST_US);
	instance->ejected_until_us = now_us + pause_us;
	instance->probe_in_flight = false;
	return trusted;
}

static bool
learn_success(struct comet_instance *instance)
{
	bool avoided = instance->ejected_until_us != 0;

	instance->failures = 0;
	instance->refusals = 0;
	instance->full_until_us = 0;
	instance->error_rate -= ERROR_WEIGHT * instance->error_rate;
	instance->ejected_until_us = 0;
	instance->probe_in_flight = false;
	return avoided;
}

/* What a result tells of the endpoint. @return true when trust in it changed */
static bool
learn_result(struct comet_instance *instance, enum comet_dispatch_result result, uint64_t now_us)
{
	uint64_t pause_us = (uint64_t)FULL_FIRST_US << MIN(instance->refusals, 8);

	switch (result)
	{
	case COMET_DISPATCH_SERVED:
		if (instance->ejected_until_us != 0)
			comet_instance_may_be_cold(instance, now_us);
		return learn_success(instance);
	case COMET_DISPATCH_CANCELLED:
		instance->probe_in_flight = false;
		return false;
	case COMET_DISPATCH_REFUSED:
		instance->probe_in_flight = false;
		instance->full_until_us = now_us + MIN(pause_us, FULL_LONGEST_US);
		instance->refusals++;
		return false;
	case COMET_DISPATCH_WRONG_INSTANCE:
		instance->probe_in_flight = false;
		instance->replaced = true;
		return true;
	case COMET_DISPATCH_ERROR:
		return learn_failure(instance, result, now_us);
	case COMET_DISPATCH_BROKEN:
	case COMET_DISPATCH_SILENT:
		/* With the process all that runs there ends. */
		if (instance->own + instance->others == 0)
			comet_instance_may_be_cold(instance, now_us);
		return learn_failure(instance, result, now_us);
	case COMET_DISPATCH_UNREACHED:
		comet_instance_may_be_cold(
			instance, now_us); /* another process may be there soon */
		return learn_failure(instance, result, now_us);
	}
	return false;
}

bool
comet_instance_ended(struct comet_instance *instance, const struct comet_request_size *job,
	bool had_first, enum comet_dispatch_result result, uint64_t stream_us, uint32_t events,
	uint64_t now_us)
{
	instance->own -= MIN(instance->own, 1);
	if (!had_first)
		instance->local_prompt_tokens -=
			MIN(instance->local_prompt_tokens, job->prompt_tokens);
	if (result == COMET_DISPATCH_SERVED)
		learn_speed(instance, job, stream_us, events);
	return learn_result(instance, result, now_us);
}

bool
comet_instance_remote_result(
	struct comet_instance *instance, enum comet_dispatch_result result, uint64_t now_us)
{
	return learn_result(instance, result, now_us);
}

void
comet_instance_seen(struct comet_instance *instance, uint64_t now_us)
{
	instance->last_seen_us = now_us;
}

bool
comet_instance_eject_if_silent(struct comet_instance *instance, uint64_t since_us, uint64_t now_us)
{
	if (instance->last_seen_us > since_us)
		return false;
	instance->ejected_until_us = MAX(instance->ejected_until_us, now_us + AVOID_FIRST_US);
	return true;
}

void
comet_instance_load_reported(struct comet_instance *instance, uint32_t total, uint64_t now_us)
{
	instance->reported_total = total;
	instance->reported_own = instance->own;
	instance->reported_us = now_us;
}

const char *
comet_dispatch_result_name(enum comet_dispatch_result result)
{
	static const char *const names[] = {"served", "error", "refused", "broken", "silent",
		"unreached", "cancelled", "wrong_instance"};

	return names[result];
}
