/*
 * slow_start.h
 * how many requests an endpoint receives while it is cold
 *
 * An endpoint is cold after its start, and news of that takes longer than a
 * burst. So one that begins to get work after a rest is taken for cold as well.
 * All VMs together must stay within the bound in any second; each decides on a
 * share of it. No clock in here.
 */
#ifndef COMETSPINDLE_GATEWAY_SLOW_START_H
#define COMETSPINDLE_GATEWAY_SLOW_START_H

#include <stdbool.h>
#include <stdint.h>

/** Slices of time in which sends are counted. */
#define COMET_SLOW_START_SLICES 12

/** What the endpoints of a service bear while they are cold. */
struct comet_slow_start_config
{
	uint64_t cold_us;  /**< how long one is cold after its start; 0: none ever is */
	double most_per_s; /**< requests that it may receive in a second, of all VMs; 0: any */
};

/** What is known of one endpoint; all zero: nothing yet. */
struct comet_slow_start
{
	uint64_t until_us;                        /**< cold until then */
	uint64_t last_us;                         /**< when it was last sent to; 0: never */
	uint64_t slice;                           /**< the newest */
	uint32_t counts[COMET_SLOW_START_SLICES]; /**< sends, by slice modulo their number */
};

/** It has just started, as far as is known. */
void
comet_slow_start_begin(struct comet_slow_start *start, const struct comet_slow_start_config *bounds,
	uint64_t now_us);

/** It is cold until that time, by its own word. */
void
comet_slow_start_set_until(struct comet_slow_start *start, uint64_t until_us);

/** A request is sent there by this VM, or by one that it granted a slot to. */
void
comet_slow_start_count(struct comet_slow_start *start, const struct comet_slow_start_config *bounds,
	uint64_t now_us);

/**
 * Whether this VM may decide to send one more request there.
 * @param share part of the bound that it decides on
 * @param draw fixed for the endpoint and this VM, 0 to 1: of a share below one request, this part
 * of the VMs may send one
 */
bool
comet_slow_start_admits(const struct comet_slow_start *start,
	const struct comet_slow_start_config *bounds, double share, double draw, uint64_t now_us);

#endif
