/*
 * speeds.c
 * how long the requests of one service usually take, learned from its answers
 */
#include <libcometspindle/gateway/endpoints/speeds.h>

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
static const double default_us[COMET_SPEEDS] = {
	[COMET_SPEED_PLAIN] = 50000.0,
	[COMET_SPEED_TOKEN] = 8000.0,
	[COMET_SPEED_EVENT] = 25000.0,
	[COMET_SPEED_SLOT] = 500000.0,
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

struct comet_speeds
{
	struct mean means[COMET_SPEEDS];
	double n; /* faded sums of a line through (prompt tokens, first event) */
	double x;
	double y;
	double xx;
	double xy;
};

static void
add_point(struct comet_speeds *speeds, double weight, double x, double y)
{
	speeds->n += weight;
	speeds->x += weight * x;
	speeds->y += weight * y;
	speeds->xx += weight * x * x;
	speeds->xy += weight * x * y;
}

struct comet_speeds *
comet_speeds_create(void *parent)
{
	struct comet_speeds *speeds = talloc_zero(parent, struct comet_speeds);
	double long_us = FIRST_DEFAULT_US + PROMPT_DEFAULT_US * PRIOR_PROMPT_TOKENS;

	add_point(speeds, PRIOR_SAMPLES / 2, 0, FIRST_DEFAULT_US);
	add_point(speeds, PRIOR_SAMPLES / 2, PRIOR_PROMPT_TOKENS, long_us);
	return speeds;
}

bool
comet_speeds_known(const struct comet_speeds *speeds, enum comet_speed speed)
{
	return speeds->means[speed].samples > 0;
}

bool
comet_speeds_learned(const struct comet_speeds *speeds)
{
	for (int speed = 0; speed < COMET_SPEEDS; speed++)
	{
		if (comet_speeds_known(speeds, (enum comet_speed)speed))
			return true;
	}
	return false;
}

double
comet_speeds_mean_us(const struct comet_speeds *speeds, enum comet_speed speed)
{
	return comet_speeds_known(speeds, speed) ? speeds->means[speed].us : default_us[speed];
}

double
comet_speeds_slot_us(const struct comet_speeds *speeds)
{
	bool plain = comet_speeds_known(speeds, COMET_SPEED_PLAIN);

	return comet_speeds_mean_us(speeds, plain ? COMET_SPEED_PLAIN : COMET_SPEED_SLOT);
}

void
comet_speeds_learn(struct comet_speeds *speeds, enum comet_speed speed, double sample_us)
{
	struct mean *mean = &speeds->means[speed];

	mean->samples++;
	mean->us += MAX(MEAN_WEIGHT, 1.0 / mean->samples) * (sample_us - mean->us);
}

/* Microseconds per prompt token. */
static double
slope_of(const struct comet_speeds *speeds)
{
	double spread = speeds->n * speeds->xx - speeds->x * speeds->x;

	/* Prompts of one length only, for long: they tell no slope. */
	if (spread <= 1.0)
		return 0;
	double slope = (speeds->n * speeds->xy - speeds->x * speeds->y) / spread;
	return CLAMP(slope, 0.0, PROMPT_SLOWEST * PROMPT_DEFAULT_US);
}

double
comet_speeds_first_us(const struct comet_speeds *speeds, uint32_t prompt_tokens)
{
	double slope = slope_of(speeds);
	double base = (speeds->y - slope * speeds->x) / speeds->n;

	return MAX(base, FIRST_LEAST_US) + slope * prompt_tokens;
}

double
comet_speeds_prompt_us(const struct comet_speeds *speeds, uint32_t prompt_tokens)
{
	return slope_of(speeds) * prompt_tokens;
}

void
comet_speeds_learn_first(struct comet_speeds *speeds, uint32_t prompt_tokens, double first_us)
{
	speeds->n *= FIT_FADE;
	speeds->x *= FIT_FADE;
	speeds->y *= FIT_FADE;
	speeds->xx *= FIT_FADE;
	speeds->xy *= FIT_FADE;
	add_point(speeds, 1, prompt_tokens, first_us);
}
