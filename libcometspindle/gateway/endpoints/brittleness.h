/*
 * brittleness.h
 * endpoints that fail if they have to reject too many requests within a second
 *
 * Such an endpoint states the number in its responses, until a response no longer does. Requests
 * are sent to it only for slots that are free, and one after the other, because each may be
 * rejected. This module uses no clock.
 */
#ifndef COMETSPINDLE_GATEWAY_BRITTLENESS_H
#define COMETSPINDLE_GATEWAY_BRITTLENESS_H

#include <stdbool.h>
#include <stdint.h>

/** The newest observation of an endpoint; all zero: it is not brittle. */
struct comet_brittleness
{
	bool active;
	uint32_t rejections_per_s; /**< that it bears */
	uint64_t observed_us;      /**< when the response arrived; 0: never */
	uint64_t sent_us;          /**< when this VM last sent or granted a request; 0: never */
};

/** Records what a response stated. An observation that is older than the recorded one is ignored.
 * @param active whether the response stated a number
 * @return whether the endpoint became brittle, or is no longer */
bool
comet_brittleness_observe(struct comet_brittleness *brittleness, bool active,
	uint32_t rejections_per_s, uint64_t observed_us);

/** @return whether this VM may send or grant one more request now. */
bool
comet_brittleness_admits(const struct comet_brittleness *brittleness, uint64_t now_us);

/** Counts a request that this VM sends or grants. */
void
comet_brittleness_count(struct comet_brittleness *brittleness, uint64_t now_us);

/** @return how many of its slots requests may occupy. */
uint32_t
comet_brittleness_usable_slots(const struct comet_brittleness *brittleness, uint32_t slots);

#endif
