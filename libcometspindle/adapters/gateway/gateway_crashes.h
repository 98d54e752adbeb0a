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

/** The same for parts of prompts. */
extern const struct comet_crash_tracker_ops comet_gateway_crashing_parts_ops;

/** Takes the trials of the quarantined parts of a request's prompt, if all of them are due.
 * @return whether the request may be sent once, although it has quarantined parts; false if the
 * request itself is quarantined */
bool
comet_gateway_take_part_trials(struct comet_proxy_request *proxy);

/** Returns the trials that a request has taken and not used. */
void
comet_gateway_return_part_trials(struct comet_proxy_request *proxy);

/** Handles bytes of a response: once it has gone on for some time, the parts of the prompt count as
 * served. */
void
comet_gateway_response_continues(struct comet_proxy_request *proxy, uint64_t now_us);

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
