/*
 * current_speed.c
 * how long work takes at an endpoint at present, compared with its usual time, as the endpoint
 * states
 */
#include <libcometspindle/gateway/endpoints/current_speed.h>

#include <glib.h>

/* Bounds of a statement, in percent, the same as those of the relative latency: faults slow an
 * endpoint down by a factor of 10, and hardware generations differ by a factor of 3. */
#define PERCENT_MIN 20
#define PERCENT_MAX 2000

/* Time after which a statement says nothing. Endpoints that share hardware with others are slow for
 * about 600 ms at a time. */
#define FRESH_US 600000

/* Statements that differ by no more than this many percentage points are taken for the same, since
 * endpoints measure the figure that they state. */
#define SAME_PERCENT 15

static bool
is_about(uint32_t percent, uint32_t other)
{
	return MAX(percent, other) - MIN(percent, other) <= SAME_PERCENT;
}

bool
comet_current_speed_observe(struct comet_current_speed *speed, uint32_t percent, uint64_t stated_us)
{
	if (percent < PERCENT_MIN || percent > PERCENT_MAX)
		return false;
	if (stated_us < speed->stated_us)
		return true;
	bool same = speed->stated_us != 0 && stated_us - speed->stated_us < FRESH_US &&
		    is_about(percent, speed->percent);
	if (!same)
		speed->since_us = stated_us;
	if (!is_about(percent, COMET_SLOWDOWN_USUAL_PERCENT))
		speed->changed_us = stated_us;
	speed->percent = percent;
	speed->stated_us = stated_us;
	return true;
}

bool
comet_current_speed_is_fresh(const struct comet_current_speed *speed, uint64_t now_us)
{
	return speed->stated_us != 0 && now_us - MIN(speed->stated_us, now_us) < FRESH_US;
}

/* Returns the probability that the endpoint still works as it stated: phases of another speed last
 * for about FRESH_US, of which an unknown part had passed at the time of the statement. */
static double
weight(const struct comet_current_speed *speed, uint64_t now_us)
{
	if (!comet_current_speed_is_fresh(speed, now_us))
		return 0;
	return 1 - (double)(now_us - MIN(speed->stated_us, now_us)) / FRESH_US;
}

double
comet_current_speed_factor(const struct comet_current_speed *speed, uint64_t now_us)
{
	double stated = (double)speed->percent / COMET_SLOWDOWN_USUAL_PERCENT;

	return 1 + (stated - 1) * weight(speed, now_us);
}

/* A speed that has lasted for long is expected to last as long again. The part of the work beyond
 * that is done at the usual speed. */
double
comet_current_speed_stretch(
	const struct comet_current_speed *speed, double usual_us, uint64_t now_us)
{
	double factor = comet_current_speed_factor(speed, now_us);
	double lasted_us = (double)(speed->stated_us - speed->since_us);
	double lasts_us = MAX(lasted_us, FRESH_US) * weight(speed, now_us);

	if (usual_us * factor <= lasts_us)
		return usual_us * factor;
	return usual_us + lasts_us * (1 - 1 / factor);
}

uint64_t
comet_current_speed_usual_us(
	const struct comet_current_speed *speed, uint64_t taken_us, uint64_t end_us)
{
	uint64_t begin_us = end_us - MIN(taken_us, end_us);
	bool other_speed = speed->changed_us != 0 && speed->changed_us + FRESH_US > begin_us;
	bool throughout = taken_us < FRESH_US || speed->since_us <= begin_us;

	if (!other_speed)
		return taken_us;
	if (is_about(speed->percent, COMET_SLOWDOWN_USUAL_PERCENT))
		return speed->changed_us > begin_us ? 0 : taken_us;
	if (!throughout || speed->stated_us + FRESH_US / 2 < begin_us)
		return 0;
	return taken_us * COMET_SLOWDOWN_USUAL_PERCENT / speed->percent;
}
