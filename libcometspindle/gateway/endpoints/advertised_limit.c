/*
 * advertised_limit.c
 * the request rate that an endpoint advertises as its maximum in its responses
 */
#include <libcometspindle/gateway/endpoints/advertised_limit.h>

#include <math.h>

/* A relative change of a limit that is worth reporting to other VMs before the next round. */
#define CONSIDERABLE_CHANGE 0.1

bool
comet_advertised_limit_observe(
	struct comet_advertised_limit *limit, double max_per_s, uint64_t observed_us)
{
	bool active = max_per_s >= 0;

	if (observed_us < limit->observed_us)
		return false;
	bool changed = active != limit->active ||
		       (active && fabs(max_per_s - limit->max_per_s) >
					  CONSIDERABLE_CHANGE * limit->max_per_s);
	limit->observed_us = observed_us;
	limit->active = active;
	limit->max_per_s = active ? max_per_s : 0;
	return changed;
}
