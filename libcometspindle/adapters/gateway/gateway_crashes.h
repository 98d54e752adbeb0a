/*
 * gateway_crashes.h
 * what a gateway sees of endpoints' processes that crash, and of the requests they ran
 */
#ifndef COMETSPINDLE_ADAPTERS_GATEWAY_CRASHES_H
#define COMETSPINDLE_ADAPTERS_GATEWAY_CRASHES_H

#include <libcometspindle/adapters/gateway/proxy_request.h>
#include <libcometspindle/gateway/admission/crash_tracker.h>

/** What becomes known of requests (crashes.h). */
extern const struct comet_crash_tracker_ops comet_gateway_crashes_ops;

/** A request's run is about to end with this result: it is suspected if it has no answer. */
void
comet_gateway_attempt_ending(struct comet_proxy_request *relay, enum comet_dispatch_result result);

/** A life of an endpoint's process is over; why: a stable code for the log. */
void
comet_gateway_process_crashed(
	struct comet_gateway *gateway, const struct comet_instance *instance, const char *why);

#endif
