/*
 * slow_start.h
 * limits the request rate of cold endpoints
 *
 * An endpoint is cold after its start, and a burst may arrive before the news of
 * the start. An endpoint that receives requests after an idle period therefore
 * counts as cold as well. All VMs together must stay within the limit in any
 * second; each VM decides on a share of it (cold_share.h). This module uses no clock.
 */
#ifndef COMETSPINDLE_GATEWAY_SLOW_START_H
#define COMETSPINDLE_GATEWAY_SLOW_START_H

#include <stdbool.h>
#include <stdint.h>

/** Number of time slices in which requests are counted. */
#define COMET_SLOW_START_SLICES 12

/** Slow start limits for the endpoints of a service. */
struct comet_slow_start_config
{
	uint64_t cold_us; /**< how long an endpoint is cold after its start; 0: never */
	double max_per_s; /**< requests per second that it may receive from all VMs; 0: no limit */
};

/** Slow start state of one endpoint; all zero: no requests yet. */
struct comet_slow_start
{
	uint64_t until_us;          /**< end of the cold period */
	uint64_t presumed_until_us; /**< end of a cold period that is presumed, see below */
	uint64_t last_us;           /**< time of the last request; 0: none */
	uint64_t slice;             /**< index of the newest slice */
	uint32_t counts[COMET_SLOW_START_SLICES]; /**< requests per slice, a ring buffer */
};

/** Starts a cold period, for an endpoint that may have just started. */
void
comet_slow_start_begin(struct comet_slow_start *start, const struct comet_slow_start_config *config,
	uint64_t now_us);

/** Starts a cold period that is only presumed: the endpoint is new to this process or got no
 * request for some time, but no warm-up is stated and no failure was seen. */
void
comet_slow_start_presume(struct comet_slow_start *start,
	const struct comet_slow_start_config *config, uint64_t now_us);

/** Extends the cold period to a time that the endpoint itself reported. */
void
comet_slow_start_set_until(struct comet_slow_start *start, uint64_t until_us);

/** Counts a request that this VM sends, or that another VM sends on a grant of this VM. */
void
comet_slow_start_count(struct comet_slow_start *start, const struct comet_slow_start_config *config,
	uint64_t now_us);

/** Requests per second to a cold endpoint that this VM may send or grant (cold_share.h). */
struct comet_slow_start_allowance
{
	uint32_t known;    /**< if the endpoint is known to be cold */
	uint32_t presumed; /**< if that is only presumed */
};

/** @return the allowance that applies now; UINT32_MAX: the endpoint is not limited. */
uint32_t
comet_slow_start_limit(const struct comet_slow_start *start,
	const struct comet_slow_start_config *config,
	const struct comet_slow_start_allowance *allowance, uint64_t now_us);

/** Returns whether this VM may send or grant one more request. */
bool
comet_slow_start_admits(const struct comet_slow_start *start,
	const struct comet_slow_start_config *config,
	const struct comet_slow_start_allowance *allowance, uint64_t now_us);

/** Returns the number of requests that this VM has counted in the last 1.1 to 1.2 s. */
uint32_t
comet_slow_start_recent(const struct comet_slow_start *start, uint64_t now_us);

#endif
