/*
 * reachability.c
 * decides whether this VM can reach any endpoint
 */
#include <libcometspindle/gateway/endpoints/reachability.h>

/* Minimum time between two checks that failed attempts cause. */
#define CHECK_INTERVAL_US 500000

/* The same if a request waits for the result: links that fail one after the other have failed by
 * then. */
#define URGENT_INTERVAL_US 50000

/* Time between two checks while the links are lost. */
#define LOST_INTERVAL_US 250000

void
comet_reachability_suspect(struct comet_reachability *reachability)
{
	reachability->suspected = true;
}

void
comet_reachability_hurry(struct comet_reachability *reachability)
{
	reachability->urgent = true;
}

bool
comet_reachability_needs_check(const struct comet_reachability *reachability, uint64_t now_us)
{
	uint64_t interval_us = reachability->lost ? LOST_INTERVAL_US : CHECK_INTERVAL_US;

	if (reachability->urgent)
		interval_us = URGENT_INTERVAL_US;

	if (reachability->pending > 0 || (!reachability->lost && !reachability->suspected))
		return false;
	return reachability->checked_us == 0 || now_us - reachability->checked_us >= interval_us;
}

static void
end_check(struct comet_reachability *reachability, bool lost, uint64_t now_us)
{
	reachability->pending = 0;
	reachability->lost = lost;
	reachability->checked_us = now_us;
}

void
comet_reachability_begin_check(
	struct comet_reachability *reachability, uint32_t probes, uint64_t now_us)
{
	reachability->suspected = false;
	reachability->urgent = false;
	reachability->pending = probes;
	if (probes == 0)
		end_check(reachability, reachability->lost, now_us);
}

enum comet_reachability_change
comet_reachability_probed(struct comet_reachability *reachability, bool connected, uint64_t now_us)
{
	bool was_lost = reachability->lost;

	if (reachability->pending == 0)
		return COMET_REACHABILITY_UNCHANGED;
	reachability->pending--;
	if (!connected && reachability->pending > 0)
		return COMET_REACHABILITY_UNCHANGED;
	end_check(reachability, !connected, now_us);
	if (reachability->lost == was_lost)
		return COMET_REACHABILITY_UNCHANGED;
	return reachability->lost ? COMET_REACHABILITY_LOST : COMET_REACHABILITY_RESTORED;
}

bool
comet_reachability_is_in_doubt(const struct comet_reachability *reachability)
{
	return reachability->lost || reachability->suspected || reachability->pending > 0;
}
