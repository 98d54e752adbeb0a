/*
 * instance.c
 * one incarnation of an endpoint's process: its load, relative latency and health
 */
#include <libcometspindle/gateway/endpoints/instance.h>

#include <glib.h>
#include <libcometspindle/gateway/endpoints/latency_model.h>
#include <libcometspindle/hash.h>
#include <string.h>

/* Weight of a new sample in the moving average of the relative latency, which covers about the
 * last ten requests. */
#define RELATIVE_LATENCY_WEIGHT 0.1

/* Bounds of the relative latency: hardware generations differ by a factor of 3, and faults slow
 * an endpoint down by a factor of 10. */
#define RELATIVE_LATENCY_MIN 0.2
#define RELATIVE_LATENCY_MAX 20.0

/* Samples before the learned relative latency is relied on. Each of the first ones has the same
 * weight; from three on, one that was disturbed by a long prompt counts a third at most. */
#define FEW_SAMPLES 3

/* Weight of a typical latency before the first sample of a plain response, in samples. A single
 * slow response would otherwise make an endpoint look so slow that it gets no further request. */
#define PLAIN_PRIOR_SAMPLES 1

/* Expected latency of a cold instance, relative to a warm one. */
#define COLD_LATENCY_FACTOR 2.0

/* Consecutive failures that eject an instance, and the duration of the ejection: it starts at the
 * base and doubles with each further failure up to the maximum. */
#define EJECTION_FAILURES 2
#define EJECTION_BASE_US 500000
#define EJECTION_MAX_US 4000000

/* Backoff after an instance refused a request because it was full. It doubles with each
 * consecutive refusal up to the maximum; other instances are less likely to refuse. */
#define FULL_BACKOFF_BASE_US 100000
#define FULL_BACKOFF_MAX_US 1600000

/* Minimum of that backoff for a brittle instance, whose rejections within a second count. */
#define BRITTLE_BACKOFF_US 1000000

/* A probe without a result counts as finished after this time: the message in which another VM
 * reports the result of its probe may be lost. */
#define PROBE_TIMEOUT_US 4000000

/* Recent error rate that also ejects an instance. */
#define EJECTION_ERROR_RATE 0.45

/* Weight of one result in the moving average of the error rate, which covers about the last eight
 * results. */
#define ERROR_WEIGHT 0.12

/* Gossip about the dispatches of other VMs is ignored when it is older than this. */
#define GOSSIP_STALE_US 3000000

/* The load that an endpoint reported takes precedence over gossip for this time, which is about
 * the duration of a request. */
#define LOAD_REPORT_FRESH_US 400000

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
	bool gossip_fresh =
		*instance->gossip_us != 0 && now_us - *instance->gossip_us < GOSSIP_STALE_US;
	bool report_fresh =
		instance->reported_us != 0 && now_us - instance->reported_us < LOAD_REPORT_FRESH_US;
	uint32_t others = gossip_fresh ? instance->remote_requests : 0;

	/* A fresh report of the endpoint is exact; gossip adds up older counts. */
	if (report_fresh)
		others = instance->reported_total -
			 MIN(instance->reported_total, instance->reported_own);
	return instance->local_requests + others;
}

uint32_t
comet_instance_owned_load(const struct comet_instance *instance, uint64_t now_us)
{
	bool report_fresh =
		instance->reported_us != 0 && now_us - instance->reported_us < LOAD_REPORT_FRESH_US;
	uint32_t reported_others =
		report_fresh ? instance->reported_total -
				       MIN(instance->reported_total, instance->reported_own)
			     : 0;

	return instance->local_requests + MAX(instance->remote_requests, reported_others);
}

/* Estimates how many prompt tokens of the grants to other VMs are not processed yet, from the time
 * that has passed. */
static double
granted_prompt_tokens(const struct comet_latency_model *latency_model,
	const struct comet_instance *instance, uint64_t now_us)
{
	double token_us = comet_latency_model_prompt_us(latency_model, 1000) / 1000 *
			  comet_instance_relative_latency(instance);
	double processed = (double)(now_us - instance->granted_us) / MAX(token_us, 1.0);

	return MAX(instance->granted_prompt_tokens - processed, 0.0);
}

void
comet_instance_slot_granted(
	struct comet_instance *instance, uint32_t prompt_tokens, uint64_t now_us)
{
	const struct comet_latency_model *latency_model = instance->latency_model;

	instance->granted_prompt_tokens =
		granted_prompt_tokens(latency_model, instance, now_us) + prompt_tokens;
	instance->granted_us = now_us;
	instance->remote_requests++;
	instance->reported_total++;
}

void
comet_instance_slot_released(struct comet_instance *instance)
{
	instance->remote_requests -= MIN(instance->remote_requests, 1);
	instance->reported_total -= MIN(instance->reported_total, 1);
}

uint32_t
comet_instance_prompt_tokens_ahead(const struct comet_instance *instance, uint64_t now_us)
{
	/* The maximum, since gossip includes granted tokens a little later. */
	double others = MAX((double)instance->remote_prompt_tokens,
		granted_prompt_tokens(instance->latency_model, instance, now_us));

	return instance->local_prompt_tokens + (uint32_t)others;
}

void
comet_instance_estimate(const struct comet_instance *instance,
	const struct comet_request_size *size, uint64_t now_us, uint64_t *first_us,
	uint64_t *total_us)
{
	const struct comet_latency_model *latency_model = instance->latency_model;
	double relative = comet_instance_relative_latency(instance) *
			  (instance->warm_until_us > now_us ? COLD_LATENCY_FACTOR : 1.0);

	if (!size->stream)
	{
		double plain_us =
			comet_latency_model_mean_us(latency_model, COMET_LATENCY_KIND_PLAIN);
		*first_us = (uint64_t)comet_current_speed_stretch(
			&instance->speed, plain_us * relative, now_us);
		*total_us = *first_us;
		return;
	}
	double token = comet_latency_model_mean_us(latency_model, COMET_LATENCY_KIND_TOKEN);
	double ahead = comet_latency_model_prompt_us(
		latency_model, comet_instance_prompt_tokens_ahead(instance, now_us));
	double first = comet_latency_model_first_us(latency_model, size->prompt_tokens) + ahead;
	*first_us =
		(uint64_t)comet_current_speed_stretch(&instance->speed, first * relative, now_us);
	*total_us = (uint64_t)comet_current_speed_stretch(
		&instance->speed, (first + token * size->output_tokens) * relative, now_us);
}

double
comet_instance_slot_us(const struct comet_instance *instance, uint64_t now_us)
{
	double usual_us = comet_latency_model_slot_us(instance->latency_model) *
			  comet_instance_relative_latency(instance);

	return comet_current_speed_stretch(&instance->speed, usual_us, now_us);
}

void
comet_instance_selected(struct comet_instance *instance, uint64_t now_us)
{
	instance->probe_in_flight = instance->ejected_until_us != 0;
	instance->probe_started_us = now_us;
	comet_slow_start_count(&instance->slow_start, instance->slow_start_config, now_us);
	comet_advertised_limit_count(&instance->limit);
	comet_brittleness_count(&instance->brittleness, now_us);
}

void
comet_instance_begin_slow_start(struct comet_instance *instance, uint64_t now_us)
{
	comet_slow_start_begin(&instance->slow_start, instance->slow_start_config, now_us);
}

void
comet_instance_presume_cold(struct comet_instance *instance, uint64_t now_us)
{
	comet_slow_start_presume(&instance->slow_start, instance->slow_start_config, now_us);
}

bool
comet_instance_is_probing(const struct comet_instance *instance, uint64_t now_us)
{
	return instance->probe_in_flight && now_us - instance->probe_started_us < PROBE_TIMEOUT_US;
}

void
comet_instance_dispatch_started(
	struct comet_instance *instance, const struct comet_request_size *size)
{
	instance->local_requests++;
	instance->local_prompt_tokens += size->prompt_tokens;
	g_hash_table_add(instance->busy, instance);
}

double
comet_instance_relative_latency(const struct comet_instance *instance)
{
	if (instance->samples > 0)
		return instance->relative_latency;
	return instance->relative_latency *
	       comet_latency_model_typical_relative(instance->latency_model);
}

double
comet_instance_relative_to_typical(const struct comet_instance *instance)
{
	return comet_instance_relative_latency(instance) /
	       comet_latency_model_typical_relative(instance->latency_model);
}

bool
comet_instance_wants_samples(const struct comet_instance *instance)
{
	return instance->samples < FEW_SAMPLES;
}

/* The first samples have equal weights, so that an endpoint that is far slower than others is known
 * from its first sample on.
 * @param prior weight of the latency before, in samples */
static void
learn_relative_latency(
	struct comet_instance *instance, double taken_us, double usual_us, uint32_t prior)
{
	struct comet_latency_model *latency_model = instance->latency_model;
	double typical = comet_latency_model_typical_relative(latency_model);
	double sample = CLAMP(taken_us / MAX(usual_us, 1.0), RELATIVE_LATENCY_MIN * typical,
		RELATIVE_LATENCY_MAX * typical);

	instance->samples++;
	double weight = MAX(RELATIVE_LATENCY_WEIGHT, 1.0 / (instance->samples + prior));
	instance->relative_latency += weight * (sample - instance->relative_latency);
	comet_latency_model_record_relative(
		latency_model, instance->recorded_latency, instance->relative_latency);
	instance->recorded_latency = instance->relative_latency;
}

void
comet_instance_first_event(struct comet_instance *instance, const struct comet_request_size *size,
	uint32_t tokens_ahead, uint64_t first_us, uint64_t now_us)
{
	struct comet_latency_model *latency_model = instance->latency_model;

	instance->local_prompt_tokens -= MIN(instance->local_prompt_tokens, size->prompt_tokens);
	uint64_t usual_us = comet_current_speed_usual_us(&instance->speed, first_us, now_us);
	if (!size->stream || usual_us == COMET_LATENCY_UNKNOWN)
		return;
	/* A sample includes queueing time, so it is only used while no request waits there. */
	if (instance->local_requests + instance->remote_requests <= instance->slots)
		comet_latency_model_learn_first(latency_model, size->prompt_tokens + tokens_ahead,
			(double)usual_us / comet_instance_relative_latency(instance));
}

/* Updates the relative latency and the latency model from a plain response. */
static void
learn_plain(struct comet_instance *instance, uint64_t taken_us)
{
	struct comet_latency_model *latency_model = instance->latency_model;
	bool known = comet_latency_model_known(latency_model, COMET_LATENCY_KIND_PLAIN);
	double usual_us =
		known ? comet_latency_model_mean_us(latency_model, COMET_LATENCY_KIND_PLAIN)
		      : (double)taken_us;

	learn_relative_latency(instance, (double)taken_us, usual_us, PLAIN_PRIOR_SAMPLES);
	comet_latency_model_learn(latency_model, COMET_LATENCY_KIND_PLAIN,
		(double)taken_us / instance->relative_latency);
}

void
comet_instance_add_sample(
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
	learn_relative_latency(instance, event_us, usual_us, 0);
	comet_latency_model_learn(
		latency_model, COMET_LATENCY_KIND_EVENT, event_us / instance->relative_latency);
}

/* Updates the relative latency and the latency model from a complete response. */
static void
learn_latency(struct comet_instance *instance, const struct comet_request_size *size,
	uint64_t stream_us, uint32_t events)
{
	struct comet_latency_model *latency_model = instance->latency_model;

	if (stream_us == COMET_LATENCY_UNKNOWN)
		return;
	if (!size->stream)
	{
		learn_plain(instance, stream_us);
		return;
	}
	double first = comet_latency_model_first_us(latency_model, size->prompt_tokens);
	comet_latency_model_learn(latency_model, COMET_LATENCY_KIND_SLOT,
		first + (double)stream_us / comet_instance_relative_latency(instance));
	if (events < 2 || size->output_tokens == 0)
		return;
	comet_instance_add_sample(instance, true, stream_us, events);
	comet_latency_model_learn(latency_model, COMET_LATENCY_KIND_TOKEN,
		(double)stream_us / size->output_tokens /
			comet_instance_relative_latency(instance));
}

/* Returns whether the attempt is a silent one that was sent before failures ejected the instance.
 * It shows the same silence as the others. When each of them counted, attempts that were open
 * together ejected an instance for the maximum at once, and again after it had recovered.
 * @param sent_us 0: not known; an attempt that ends during the ejection was sent before */
static bool
is_known_silence(const struct comet_instance *instance, enum comet_dispatch_result result,
	uint64_t sent_us, uint64_t now_us)
{
	if (result != COMET_DISPATCH_SILENT || instance->ejected_by_failure_us == 0)
		return false;
	if (sent_us != 0)
		return sent_us <= instance->ejected_by_failure_us;
	return now_us < instance->ejected_until_us && !instance->probe_in_flight;
}

/* Records a failed dispatch and ejects the instance after too many of them. @return whether the
 * instance is newly ejected. */
static bool
learn_failure(struct comet_instance *instance, enum comet_dispatch_result result, uint64_t now_us)
{
	bool newly_ejected = instance->ejected_until_us == 0;

	if (result != COMET_DISPATCH_ERROR)
		instance->failures++; /* an error response counts in the error rate alone */
	instance->error_rate += ERROR_WEIGHT * (1.0 - instance->error_rate);
	/* A failed connection attempt or a failed probe is sufficient on its own. */
	bool conclusive = result == COMET_DISPATCH_UNREACHABLE || instance->probe_in_flight;
	if (!conclusive && instance->failures < EJECTION_FAILURES &&
		instance->error_rate < EJECTION_ERROR_RATE)
		return false;
	uint64_t ejection_us = (uint64_t)EJECTION_BASE_US << MIN(instance->failures, 4);
	ejection_us = MIN(ejection_us / 2, EJECTION_MAX_US);
	instance->ejected_until_us = now_us + ejection_us;
	instance->ejected_by_failure_us = now_us;
	instance->probe_in_flight = false;
	return newly_ejected;
}

static bool
learn_success(struct comet_instance *instance)
{
	bool was_ejected = instance->ejected_until_us != 0;

	instance->failures = 0;
	instance->refusals = 0;
	instance->full_until_us = 0;
	instance->error_rate -= ERROR_WEIGHT * instance->error_rate;
	instance->ejected_until_us = 0;
	instance->probe_in_flight = false;
	return was_ejected;
}

/* Updates the health of an instance. @return true when it was ejected, readmitted or replaced. */
static bool
learn_result(struct comet_instance *instance, enum comet_dispatch_result result, uint64_t sent_us,
	uint64_t now_us)
{
	uint64_t backoff_us = (uint64_t)FULL_BACKOFF_BASE_US << MIN(instance->refusals, 8);
	uint64_t min_backoff_us = instance->brittleness.active ? BRITTLE_BACKOFF_US : 0;

	switch (result)
	{
	case COMET_DISPATCH_SERVED:
		if (instance->ejected_until_us != 0)
			comet_instance_begin_slow_start(instance, now_us);
		return learn_success(instance);
	case COMET_DISPATCH_CANCELLED:
		instance->probe_in_flight = false;
		return false;
	case COMET_DISPATCH_REFUSED:
		instance->probe_in_flight = false;
		instance->full_until_us =
			now_us + CLAMP(backoff_us, min_backoff_us, FULL_BACKOFF_MAX_US);
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
		/* All requests of a process end with it: if none remains, it may have restarted. */
		if (instance->local_requests + instance->remote_requests == 0)
			comet_instance_begin_slow_start(instance, now_us);
		return !is_known_silence(instance, result, sent_us, now_us) &&
		       learn_failure(instance, result, now_us);
	case COMET_DISPATCH_UNREACHABLE:
		/* Another process may soon listen on the address. */
		comet_instance_begin_slow_start(instance, now_us);
		return learn_failure(instance, result, now_us);
	}
	return false;
}

bool
comet_instance_dispatch_ended(struct comet_instance *instance,
	const struct comet_request_size *size, bool had_first, enum comet_dispatch_result result,
	uint64_t stream_us, uint32_t events, uint64_t sent_us, uint64_t now_us)
{
	instance->local_requests -= MIN(instance->local_requests, 1);
	if (instance->local_requests == 0)
		g_hash_table_remove(instance->busy, instance);
	if (!had_first)
		instance->local_prompt_tokens -=
			MIN(instance->local_prompt_tokens, size->prompt_tokens);
	if (result == COMET_DISPATCH_SERVED)
		learn_latency(instance, size,
			comet_current_speed_usual_us(&instance->speed, stream_us, now_us), events);
	return learn_result(instance, result, sent_us, now_us);
}

bool
comet_instance_remote_result(
	struct comet_instance *instance, enum comet_dispatch_result result, uint64_t now_us)
{
	return learn_result(instance, result, 0, now_us);
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
	instance->ejected_until_us = MAX(instance->ejected_until_us, now_us + EJECTION_BASE_US);
	return true;
}

bool
comet_instance_limit_advertised(struct comet_instance *instance, double max_per_s, uint64_t now_us)
{
	bool was_active = instance->limit.active;
	bool changed = comet_advertised_limit_observe(&instance->limit, max_per_s, now_us);

	if (was_active || instance->limit.active)
		g_hash_table_add(instance->limited, instance);
	return changed;
}

bool
comet_instance_is_leaving(const struct comet_instance *instance)
{
	return instance->draining || instance->leaving_us != 0;
}

bool
comet_instance_left(struct comet_instance *instance, uint64_t observed_us)
{
	if (instance->leaving_us != 0)
		return false;
	instance->leaving_us = MAX(observed_us, 1);
	g_hash_table_add(instance->leaving, instance);
	return true;
}

void
comet_instance_rest_requested(struct comet_instance *instance, uint64_t rest_us, uint64_t now_us)
{
	instance->rest_until_us = MAX(instance->rest_until_us, now_us + rest_us);
}

bool
comet_instance_is_resting(const struct comet_instance *instance, uint64_t now_us)
{
	return now_us < instance->rest_until_us;
}

void
comet_instance_load_reported(struct comet_instance *instance, uint32_t total, uint64_t now_us)
{
	instance->reported_total = total;
	instance->reported_own = instance->local_requests;
	instance->reported_us = now_us;
}

const char *
comet_dispatch_result_name(enum comet_dispatch_result result)
{
	static const char *const names[] = {"served", "error", "refused", "broken", "silent",
		"unreached", "cancelled", "wrong_instance"};

	return names[result];
}
