/*
 * slow_start.c
 * limits the request rate of cold endpoints
 */
#include <libcometspindle/gateway/endpoints/slow_start.h>

#include <glib.h>
#include <string.h>

/* Length of a time slice. Requests are counted over the last 1.1 to 1.2 s, since network delays
 * differ and requests that were sent over more than a second may arrive within one. */
#define SLICE_US 100000

/* An endpoint without a request for this long may have restarted unnoticed and counts as cold. The
 * time is longer than the interval between requests to a limited endpoint, which would otherwise
 * never become warm. */
#define IDLE_RESTART_US 2000000

static bool
is_limited(const struct comet_slow_start_config *config)
{
	return config->cold_us > 0 && config->max_per_s > 0;
}

static bool
has_been_idle(const struct comet_slow_start *start, uint64_t now_us)
{
	return start->last_us == 0 || now_us - start->last_us >= IDLE_RESTART_US;
}

void
comet_slow_start_begin(struct comet_slow_start *start, const struct comet_slow_start_config *config,
	uint64_t now_us)
{
	if (is_limited(config))
		comet_slow_start_set_until(start, now_us + config->cold_us);
}

void
comet_slow_start_presume(struct comet_slow_start *start,
	const struct comet_slow_start_config *config, uint64_t now_us)
{
	if (is_limited(config))
		start->presumed_until_us = MAX(start->presumed_until_us, now_us + config->cold_us);
}

void
comet_slow_start_set_until(struct comet_slow_start *start, uint64_t until_us)
{
	start->until_us = MAX(start->until_us, until_us);
}

void
comet_slow_start_count(struct comet_slow_start *start, const struct comet_slow_start_config *config,
	uint64_t now_us)
{
	uint64_t slice = now_us / SLICE_US;

	if (has_been_idle(start, now_us))
		comet_slow_start_presume(start, config, now_us);
	if (slice - start->slice >= COMET_SLOW_START_SLICES)
		memset(start->counts, 0, sizeof start->counts);
	for (uint64_t at = start->slice + 1;
		at <= slice && slice - start->slice < COMET_SLOW_START_SLICES; at++)
		start->counts[at % COMET_SLOW_START_SLICES] = 0;
	start->slice = slice;
	start->counts[slice % COMET_SLOW_START_SLICES]++;
	start->last_us = now_us;
}

uint32_t
comet_slow_start_recent(const struct comet_slow_start *start, uint64_t now_us)
{
	uint64_t slice = now_us / SLICE_US;
	uint64_t oldest = slice - MIN(slice, COMET_SLOW_START_SLICES - 1);
	uint32_t sum = 0;

	for (uint64_t at = oldest; at <= start->slice; at++)
		sum += start->counts[at % COMET_SLOW_START_SLICES];
	return sum;
}

uint32_t
comet_slow_start_limit(const struct comet_slow_start *start,
	const struct comet_slow_start_config *config,
	const struct comet_slow_start_allowance *allowance, uint64_t now_us)
{
	if (!is_limited(config))
		return UINT32_MAX;
	if (now_us < start->until_us)
		return allowance->known;
	if (now_us < start->presumed_until_us || has_been_idle(start, now_us))
		return allowance->presumed;
	return UINT32_MAX;
}

bool
comet_slow_start_admits(const struct comet_slow_start *start,
	const struct comet_slow_start_config *config,
	const struct comet_slow_start_allowance *allowance, uint64_t now_us)
{
	return comet_slow_start_recent(start, now_us) <
	       comet_slow_start_limit(start, config, allowance, now_us);
}
