/*
 * advertised_limit.c
 * the request rate that an endpoint advertises as its maximum in its responses
 */
#include <libcometspindle/gateway/endpoints/advertised_limit.h>

#include <glib.h>
#include <math.h>

/* A relative change of a limit that is worth reporting to other VMs before the next round. */
#define CONSIDERABLE_CHANGE 0.1

/* Capacity of the bucket, as the time in which it fills; at least one request. */
#define BURST_S 0.25

/* Lower bound of a limit: without any request, its end would not be noticed. */
#define MIN_PER_S 0.05

/* Time without requests after a rejected grant. By then the owner has learned of the limit from
 * gossip, if its release applies limits. */
#define BLOCK_US 500000

static bool
record(struct comet_advertised_limit *limit, double max_per_s, uint64_t observed_us)
{
	bool active = max_per_s >= 0;
	bool appeared = active && !limit->active;
	bool changed = active != limit->active ||
		       (active && fabs(max_per_s - limit->max_per_s) >
					  CONSIDERABLE_CHANGE * limit->max_per_s);

	if (appeared)
	{
		limit->tokens = 0;
		limit->refilled_us = observed_us;
	}
	limit->observed_us = observed_us;
	limit->active = active;
	limit->max_per_s = active ? max_per_s : 0;
	return changed;
}

bool
comet_advertised_limit_observe(
	struct comet_advertised_limit *limit, double max_per_s, uint64_t observed_us)
{
	if (observed_us < limit->observed_us)
		return false;
	limit->own = true;
	return record(limit, max_per_s, observed_us);
}

bool
comet_advertised_limit_merge(
	struct comet_advertised_limit *limit, double max_per_s, uint64_t observed_us)
{
	if (observed_us <= limit->observed_us)
		return false;
	limit->own = false;
	return record(limit, max_per_s, observed_us);
}

bool
comet_advertised_limit_admits(struct comet_advertised_limit *limit, double share, uint64_t now_us)
{
	if (!limit->active)
		return true;
	double per_s = MAX(limit->max_per_s, MIN_PER_S) * share;
	double passed_s = (double)(now_us - MIN(limit->refilled_us, now_us)) / 1e6;
	limit->tokens = MIN(limit->tokens + per_s * passed_s, MAX(per_s * BURST_S, 1.0));
	limit->refilled_us = now_us;
	return limit->tokens >= 1;
}

void
comet_advertised_limit_count(struct comet_advertised_limit *limit)
{
	limit->tokens = MAX(limit->tokens - 1, 0);
}

void
comet_advertised_limit_block(struct comet_advertised_limit *limit, uint64_t now_us)
{
	limit->blocked_until_us = now_us + BLOCK_US;
}
