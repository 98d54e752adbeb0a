/*
 * latency_model.c
 * usual latency of the requests of one service, learned from its responses
 */
#include <libcometspindle/gateway/endpoints/latency_model.h>

#include <glib.h>
#include <talloc.h>

/* Weight of a new sample in a moving average, which covers about the last fifty samples. The first
 * samples have equal weights, since the very first may come from an endpoint that is far slower
 * than most. */
#define MEAN_SAMPLE_WEIGHT 0.02

/* Decay of the sums of the linear fit per sample: about the last 200 samples count. */
#define FIT_DECAY 0.995

/* Latency before anything is learned: plausible values of a current inference engine, and of a
 * service with plain responses. */
#define DEFAULT_FIRST_EVENT_US 100000.0
#define DEFAULT_PROMPT_TOKEN_US 30.0
static const double default_mean_us[COMET_LATENCY_KINDS] = {
	[COMET_LATENCY_KIND_PLAIN] = 50000.0,
	[COMET_LATENCY_KIND_TOKEN] = 8000.0,
	[COMET_LATENCY_KIND_EVENT] = 25000.0,
	[COMET_LATENCY_KIND_SLOT] = 500000.0,
};

/* Upper bound of the time per prompt token, as a multiple of the default: no engine is slower. */
#define MAX_PROMPT_SLOWDOWN 10.0

/* Lower bound of the intercept of the linear fit: no first event arrives sooner. */
#define MIN_FIRST_EVENT_US 1000.0

/* Weight of the initial fit in samples, half of them of empty prompts and half of prompts of
 * PRIOR_PROMPT_TOKENS. Without it, a few samples of short prompts yield a slope of zero, and a very
 * long prompt is sent to an endpoint where it delays all other requests. */
#define PRIOR_SAMPLES 4.0
#define PRIOR_PROMPT_TOKENS 8000.0

struct mean
{
	double us;
	uint32_t samples;
};

struct comet_latency_model
{
	struct mean means[COMET_LATENCY_KINDS];
	double inverse_sum; /* of the relative latencies of endpoints with samples */
	uint32_t endpoints; /* number of these endpoints */
	double typical;     /* their harmonic mean, also after they were removed */
	double n; /* decayed sums of the linear fit of first event time (y) to prompt tokens (x) */
	double x;
	double y;
	double xx;
	double xy;
};

static void
add_point(struct comet_latency_model *latency_model, double weight, double x, double y)
{
	latency_model->n += weight;
	latency_model->x += weight * x;
	latency_model->y += weight * y;
	latency_model->xx += weight * x * x;
	latency_model->xy += weight * x * y;
}

struct comet_latency_model *
comet_latency_model_create(void *parent)
{
	struct comet_latency_model *latency_model = talloc_zero(parent, struct comet_latency_model);
	double long_prompt_us =
		DEFAULT_FIRST_EVENT_US + DEFAULT_PROMPT_TOKEN_US * PRIOR_PROMPT_TOKENS;

	latency_model->typical = 1;
	add_point(latency_model, PRIOR_SAMPLES / 2, 0, DEFAULT_FIRST_EVENT_US);
	add_point(latency_model, PRIOR_SAMPLES / 2, PRIOR_PROMPT_TOKENS, long_prompt_us);
	return latency_model;
}

bool
comet_latency_model_known(
	const struct comet_latency_model *latency_model, enum comet_latency_kind kind)
{
	return latency_model->means[kind].samples > 0;
}

bool
comet_latency_model_learned(const struct comet_latency_model *latency_model)
{
	for (int kind = 0; kind < COMET_LATENCY_KINDS; kind++)
	{
		if (comet_latency_model_known(latency_model, (enum comet_latency_kind)kind))
			return true;
	}
	return false;
}

double
comet_latency_model_mean_us(
	const struct comet_latency_model *latency_model, enum comet_latency_kind kind)
{
	return comet_latency_model_known(latency_model, kind) ? latency_model->means[kind].us
							      : default_mean_us[kind];
}

double
comet_latency_model_slot_us(const struct comet_latency_model *latency_model)
{
	bool plain = comet_latency_model_known(latency_model, COMET_LATENCY_KIND_PLAIN);

	return comet_latency_model_mean_us(
		latency_model, plain ? COMET_LATENCY_KIND_PLAIN : COMET_LATENCY_KIND_SLOT);
}

void
comet_latency_model_record_relative(
	struct comet_latency_model *latency_model, double recorded, double current)
{
	if (recorded > 0)
	{
		latency_model->inverse_sum -= 1 / recorded;
		latency_model->endpoints--;
	}
	if (current > 0)
	{
		latency_model->inverse_sum += 1 / current;
		latency_model->endpoints++;
	}
	if (latency_model->endpoints > 0)
		latency_model->typical = latency_model->endpoints / latency_model->inverse_sum;
	else
		latency_model->inverse_sum = 0; /* removes rounding errors */
}

double
comet_latency_model_typical_relative(const struct comet_latency_model *latency_model)
{
	return latency_model->typical;
}

void
comet_latency_model_learn(
	struct comet_latency_model *latency_model, enum comet_latency_kind kind, double sample_us)
{
	struct mean *mean = &latency_model->means[kind];

	mean->samples++;
	mean->us += MAX(MEAN_SAMPLE_WEIGHT, 1.0 / mean->samples) * (sample_us - mean->us);
}

/* Returns the slope of the linear fit in microseconds per prompt token. */
static double
prompt_token_us(const struct comet_latency_model *latency_model)
{
	double spread = latency_model->n * latency_model->xx - latency_model->x * latency_model->x;

	/* The slope is undefined if all recent prompts had the same length. */
	if (spread <= 1.0)
		return 0;
	double slope =
		(latency_model->n * latency_model->xy - latency_model->x * latency_model->y) /
		spread;
	return CLAMP(slope, 0.0, MAX_PROMPT_SLOWDOWN * DEFAULT_PROMPT_TOKEN_US);
}

double
comet_latency_model_first_us(
	const struct comet_latency_model *latency_model, uint32_t prompt_tokens)
{
	double slope = prompt_token_us(latency_model);
	double base = (latency_model->y - slope * latency_model->x) / latency_model->n;

	return MAX(base, MIN_FIRST_EVENT_US) + slope * prompt_tokens;
}

double
comet_latency_model_prompt_us(
	const struct comet_latency_model *latency_model, uint32_t prompt_tokens)
{
	return prompt_token_us(latency_model) * prompt_tokens;
}

void
comet_latency_model_learn_first(
	struct comet_latency_model *latency_model, uint32_t prompt_tokens, double first_us)
{
	latency_model->n *= FIT_DECAY;
	latency_model->x *= FIT_DECAY;
	latency_model->y *= FIT_DECAY;
	latency_model->xx *= FIT_DECAY;
	latency_model->xy *= FIT_DECAY;
	add_point(latency_model, 1, prompt_tokens, first_us);
}
