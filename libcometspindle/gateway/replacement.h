/*
 * replacement.h
 * decides what happens to an attempt whose endpoint is silent
 */
#ifndef COMETSPINDLE_GATEWAY_REPLACEMENT_H
#define COMETSPINDLE_GATEWAY_REPLACEMENT_H

#include <stdbool.h>
#include <stdint.h>

enum comet_replacement
{
	/** Wait for the endpoint, and do not check again: no attempt follows this silent one. */
	COMET_REPLACEMENT_KEEP,
	/** Wait for the endpoint, and check again later. */
	COMET_REPLACEMENT_RECHECK,
	/** Request a slot for the next attempt, and keep this one until it is granted. */
	COMET_REPLACEMENT_REQUEST_SLOT,
	/** Give up the attempt, and send the request again: its caller has received nothing. */
	COMET_REPLACEMENT_GIVE_UP,
};

/** What is known about a request whose endpoint is silent. */
struct comet_replacement_input
{
	bool retryable;        /**< the route allows the request to run again */
	bool can_be_continued; /**< another attempt can complete the response */
	bool started;          /**< the caller has received a part of the response */
	bool version_known;    /**< the software version that began the stream is known */
	bool suspect;          /**< the request may have crashed endpoints */
	bool has_room; /**< as far as this VM knows, another endpoint has room, and nothing waits */
	uint32_t attempts;     /**< attempts that may have reached an endpoint */
	uint32_t max_attempts; /**< that the route allows; 0 counts as 1 */
	uint64_t now_us;
	uint64_t deadline_us; /**< the caller stops waiting */
};

/** Decides about a silent attempt. Whether the retry budget allows the next attempt is for the
 * caller to check. */
enum comet_replacement
comet_replacement_decide(const struct comet_replacement_input *input);

#endif
