/*
 * gateway_crashes.h
 * detects crashed endpoint processes and reports the requests that they ran to the crash tracker
 */
#ifndef COMETSPINDLE_ADAPTERS_GATEWAY_CRASHES_H
#define COMETSPINDLE_ADAPTERS_GATEWAY_CRASHES_H

#include <libcometspindle/adapters/gateway/proxy_request.h>
#include <libcometspindle/gateway/admission/crash_tracker.h>

/** Logs and broadcasts the crash tracker's findings about requests (crash_tracker.h). */
extern const struct comet_crash_tracker_ops comet_gateway_crashes_ops;

/** Handles the end of an attempt: the request is a suspect if the endpoint may have crashed. */
void
comet_gateway_attempt_ending(struct comet_proxy_request *proxy, enum comet_dispatch_result result);

/** Handles the end of an incarnation of an endpoint. @param why a stable code for the log. */
void
comet_gateway_process_crashed(
	struct comet_gateway *gateway, const struct comet_instance *instance, const char *why);

/** Appends the metrics of the crash tracker. */
void
comet_gateway_crashes_put_metrics(const struct comet_gateway *gateway, GString *out);

#endif
