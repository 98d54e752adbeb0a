/*
 * latency_model.c
 * how long the requests of one service usually take, learned from its answers
 */
#include <libcometspindle/gateway/endpoints/latency_model.h>

#include <glib.h>
#include <talloc.h>

/* Weight of a new sample of a mean, once there are many: about the last fifty count. The first few
 * are weighed alike, since the very first may come from an endpoint that is far slower than most.
 */
#define MEAN_WEIGHT 0.02

/* Sums of the line are faded by this factor a sample, so that about 200 samples count. */
#define FIT_FADE 0.995

/* Until something is learned: plausible times of a current engine, and of a plain service. */
#define FIRST_DEFAULT_US 100000.0
#define PROMPT_DEFAULT_US 30.0
static const double default_us[COMET_LATENCY_KINDS] = {
	[COMET_LATENCY_KIND_PLAIN] = 50000.0,
	[COMET_LATENCY_KIND_TOKEN] = 8000.0,
	[COMET_LATENCY_KIND_EVENT] = 25000.0,
	[COMET_LATENCY_KIND_SLOT] = 500000.0,
};

/* No engine reads prompts slower than so many times the default. */
#define PROMPT_SLOWEST 10.0

/* No first event comes sooner, however the line lies. */
#define FIRST_LEAST_US 1000.0

/* The first line counts like so many samples, half of them of short prompts and half of prompts of
 * this size: without it, the first few samples, of short prompts alone, say that length is free,
 * and a very long prompt is sent where it delays all others. */
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
	double n; /* faded sums of a line through (prompt tokens, first event) */
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
	double long_us = FIRST_DEFAULT_US + PROMPT_DEFAULT_US * PRIOR_PROMPT_TOKENS;

	add_point(latency_model, PRIOR_SAMPLES / 2, 0, FIRST_DEFAULT_US);
	add_point(latency_model, PRIOR_SAMPLES / 2, PRIOR_PROMPT_TOKENS, long_us);
	return latency_model;
}

bool
comet_latency_model_known(
	const struct comet_latency_model *latency_model, enum comet_latency_kind speed)
{
	return latency_model->means[speed].samples > 0;
}

bool
comet_latency_model_learned(const struct comet_latency_model *latency_model)
{
	for (int speed = 0; speed < COMET_LATENCY_KINDS; speed++)
	{
		if (comet_latency_model_known(latency_model, (enum comet_latency_kind)speed))
			return true;
	}
	return false;
}

double
comet_latency_model_mean_us(
	const struct comet_latency_model *latency_model, enum comet_latency_kind speed)
{
	return comet_latency_model_known(latency_model, speed) ? latency_model->means[speed].us
							       : default_us[speed];
}

double
comet_latency_model_slot_us(const struct comet_latency_model *latency_model)
{
	bool plain = comet_latency_model_known(latency_model, COMET_LATENCY_KIND_PLAIN);

	return comet_latency_model_mean_us(
		latency_model, plain ? COMET_LATENCY_KIND_PLAIN : COMET_LATENCY_KIND_SLOT);
}

void
comet_latency_model_learn(
	struct comet_latency_model *latency_model, enum comet_latency_kind speed, double sample_us)
{
	struct mean *mean = &latency_model->means[speed];

	mean->samples++;
	mean->us += MAX(MEAN_WEIGHT, 1.0 / mean->samples) * (sample_us - mean->us);
}

/* Microseconds per prompt token. */
static double
slope_of(const struct comet_latency_model *latency_model)
{
	double spread = latency_model->n * latency_model->xx - latency_model->x * latency_model->x;

	/* Prompts of one length only, for long: they tell no slope. */
	if (spread <= 1.0)
		return 0;
	double slope =
		(latency_model->n * latency_model->xy - latency_model->x * latency_model->y) /
		spread;
	return CLAMP(slope, 0.0, PROMPT_SLOWEST * PROMPT_DEFAULT_US);
}

double
comet_latency_model_first_us(
	const struct comet_latency_model *latency_model, uint32_t prompt_tokens)
{
	double slope = slope_of(latency_model);
	double base = (latency_model->y - slope * latency_model->x) / latency_model->n;

	return MAX(base, FIRST_LEAST_US) + slope * prompt_tokens;
}

double
comet_latency_model_prompt_us(
	const struct comet_latency_model *latency_model, uint32_t prompt_tokens)
{
	return slope_of(latency_model) * prompt_tokens;
}

void
comet_latency_model_learn_first(
	struct comet_latency_model *latency_model, uint32_t prompt_tokens, double first_us)
{
	latency_model->n *= FIT_FADE;
	latency_model->x *= FIT_FADE;
	latency_model->y *= FIT_FADE;
	latency_model->xx *= FIT_FADE;
	latency_model->xy *= FIT_FADE;
	add_point(latency_model, 1, prompt_tokens, first_us);
}
