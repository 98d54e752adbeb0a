/*
 * outage.h
 * detects outages of the directory from failed calls
 *
 * During an outage, entries of running endpoints may expire; an entry that
 * disappears at any other time belongs to an endpoint that has left. Not every
 * failed call indicates an outage. This module uses no sockets and no clock.
 */
#ifndef COMETSPINDLE_GATEWAY_OUTAGE_H
#define COMETSPINDLE_GATEWAY_OUTAGE_H

#include <stdbool.h>
#include <stdint.h>

/** How a call to the directory failed. */
enum comet_directory_failure
{
	COMET_DIRECTORY_FAILURE_INCOMPLETE,   /**< no complete response arrived */
	COMET_DIRECTORY_FAILURE_REFUSED,      /**< the directory responded that it is unavailable */
	COMET_DIRECTORY_FAILURE_RATE_LIMITED, /**< rejected by its rate limit */
};

/** State of the detection; all zero: no outage. */
struct comet_outage
{
	bool failing;       /**< the last call failed */
	uint64_t outage_us; /**< last time at which it was known to be unavailable, since the last
			     * successful call; 0: none
			     */
};

/** Records the failure of a call that was made at sent_us. @return whether it is the first failure
 * since the last successful call. */
bool
comet_outage_failed(struct comet_outage *outage, enum comet_directory_failure failure,
	uint64_t sent_us, uint64_t now_us);

/** Records a successful call, which ends an outage. @return outage_us of the outage that ended; 0:
 * there was none.
 */
uint64_t
comet_outage_succeeded(struct comet_outage *outage);

#endif
