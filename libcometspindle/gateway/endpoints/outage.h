/*
 * outage.h
 * what failed calls tell of an outage of the directory
 *
 * While the directory is out, entries of living endpoints may lapse; what goes
 * otherwise has left. So it matters which failures show an outage. No sockets
 * and no clock in here.
 */
#ifndef COMETSPINDLE_GATEWAY_OUTAGE_H
#define COMETSPINDLE_GATEWAY_OUTAGE_H

#include <stdbool.h>
#include <stdint.h>

/** How a call to the directory failed. */
enum comet_call_failure
{
	COMET_CALL_ENDED,   /**< no whole answer came */
	COMET_CALL_REFUSED, /**< the directory said that it does not serve now */
	COMET_CALL_LIMITED, /**< too many calls were made: it serves others */
};

/** Zeroed: no outage. */
struct comet_outage
{
	bool failing;       /**< the last call failed */
	uint64_t outage_us; /**< when the directory was last known to be out, since it failed; or 0
			     */
};

/** A call that was made at asked_us has failed. @return whether the one before it had not. */
bool
comet_outage_failed(struct comet_outage *outage, enum comet_call_failure failure, uint64_t asked_us,
	uint64_t now_us);

/** A call has succeeded: there is no outage any more. @return as outage_us, of the one that is
 * over.
 */
uint64_t
comet_outage_answered(struct comet_outage *outage);

#endif
