/*
 * slow_start.c
 * how many requests an endpoint receives while it is cold
 */
#include <libcometspindle/gateway/endpoints/slow_start.h>

#include <glib.h>
#include <string.h>

/* Sends are counted over the last 1.1 to 1.2 s: those of more than a second may arrive within one,
 * since some reach the endpoint faster than others. */
#define SLICE_US 100000

/* An endpoint without a request for so long may have started again unnoticed. Longer than one that
 * is bounded waits for its next: it would never be warm. */
#define REST_US 2000000

static bool
is_bounded(const struct comet_slow_start_config *bounds)
{
	return bounds->cold_us > 0 && bounds->most_per_s > 0;
}

static bool
has_rested(const struct comet_slow_start *start, uint64_t now_us)
{
	return start->last_us == 0 || now_us - start->last_us >= REST_US;
}

void
comet_slow_start_begin(struct comet_slow_start *start, const struct comet_slow_start_config *bounds,
	uint64_t now_us)
{
	if (is_bounded(bounds))
		comet_slow_start_set_until(start, now_us + bounds->cold_us);
}

void
comet_slow_start_set_until(struct comet_slow_start *start, uint64_t until_us)
{
	start->until_us = MAX(start->until_us, until_us);
}

void
comet_slow_start_count(struct comet_slow_start *start, const struct comet_slow_start_config *bounds,
	uint64_t now_us)
{
	uint64_t slice = now_us / SLICE_US;

	if (has_rested(start, now_us))
		comet_slow_start_begin(start, bounds, now_us);
	if (slice - start->slice >= COMET_SLOW_START_SLICES)
		memset(start->counts, 0, sizeof start->counts);
	for (uint64_t at = start->slice + 1;
		at <= slice && slice - start->slice < COMET_SLOW_START_SLICES; at++)
		start->counts[at % COMET_SLOW_START_SLICES] = 0;
	start->slice = slice;
	start->counts[slice % COMET_SLOW_START_SLICES]++;
	start->last_us = now_us;
}

/* Sends in the slices that are recent enough. */
static uint32_t
recent(const struct comet_slow_start *start, uint64_t now_us)
{
	uint64_t slice = now_us / SLICE_US;
	uint64_t oldest = slice - MIN(slice, COMET_SLOW_START_SLICES - 1);
	uint32_t sum = 0;

	for (uint64_t at = oldest; at <= start->slice; at++)
		sum += start->counts[at % COMET_SLOW_START_SLICES];
	return sum;
}

bool
comet_slow_start_admits(const struct comet_slow_start *start,
	const struct comet_slow_start_config *bounds, double share, double draw, uint64_t now_us)
{
	bool cold = now_us < start->until_us || has_rested(start, now_us);
	double most = bounds->most_per_s * share;

	if (!is_bounded(bounds) || !cold)
		return true;
	if (most < 1)
		return draw < most && recent(start, now_us) == 0;
	return recent(start, now_us) < (uint32_t)most;
}
