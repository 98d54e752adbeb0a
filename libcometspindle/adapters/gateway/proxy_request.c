/*
 * proxy_request.c
 * the end of a proxy request: response, refusal, failure or disconnected caller
 */
#include <libcometspindle/adapters/gateway/gateway_crashes.h>

#include <libcometspindle/log.h>
#include <string.h>
#include <talloc.h>

/* Releases the slot at its owner, and reports the service time of a complete response. */
static void
release_slot(struct comet_proxy_request *relay, enum comet_dispatch_result result, uint32_t events)
{
	bool whole = result == COMET_DISPATCH_SERVED && relay->first_byte_us != 0 &&
		     comet_proxy_request_timing_is_valid(relay);
	bool stream = comet_proxy_request_is_stream(relay);
	uint64_t begun_us = stream ? relay->first_byte_us : relay->sent_us;
	const struct comet_grants_completion end = {
		.result = result,
		.stream = stream,
		.events = whole ? events : 0,
		.taken_us = whole ? relay->last_us - begun_us : 0,
	};

	if (relay->item.keeper == 0)
		return;
	comet_grants_release(
		relay->gateway->grants, relay->item.keeper, relay->incarnation_key, &end);
	relay->item.keeper = 0;
}

/* Discards the output of this attempt that was not forwarded. Otherwise the bytes of the next
 * attempt would be appended to an incomplete event, and the caller would receive both as one event.
 */
static void
discard_unsent_output(struct comet_proxy_request *relay)
{
	relay->unfinished_bytes = 0;
	if (relay->events != NULL)
		relay->unfinished_bytes = comet_event_stream_restart(relay->events);
	g_byte_array_set_size(relay->buffered_body, 0);
}

void
comet_proxy_request_end_attempt(
	struct comet_proxy_request *relay, enum comet_dispatch_result result)
{
	struct comet_gateway *gateway = relay->gateway;
	struct comet_instance *instance = comet_proxy_request_instance(relay);
	uint64_t now_us = comet_timers_now_us();
	uint32_t events = comet_proxy_request_events(relay) - relay->prior_events;

	comet_timer_cancel(&relay->silence_timer);
	comet_gateway_attempt_ending(relay, result);
	if (instance != NULL)
	{
		uint64_t taken_us = comet_proxy_request_is_stream(relay)
					    ? relay->last_us - relay->first_byte_us
					    : now_us - relay->sent_us;
		if (!comet_proxy_request_timing_is_valid(relay))
			taken_us = COMET_INSTANCE_UNMEASURED;
		if (comet_instance_ended(instance, &relay->item.job, relay->first_byte_us != 0,
			    result, taken_us, events, now_us))
			comet_log(COMET_LOG_NOTICE,
				"event=endpoint_%s endpoint=%s result=%s failures=%u "
				"error_rate=%.2f",
				instance->ejected_until_us != 0 ? "avoided" : "trusted",
				instance->id, comet_dispatch_result_name(result),
				instance->failures, instance->error_rate);
		comet_placement_slot_released(gateway->placement, instance);
	}
	release_slot(relay, result, events);
	discard_unsent_output(relay);
	g_queue_delete_link(&gateway->active_attempts, relay->attempt_link);
	relay->attempt_link = NULL;
	TALLOC_FREE(relay->instance_id);
	TALLOC_FREE(relay->exchange);
	TALLOC_FREE(relay->head);
	relay->first_byte_us = 0;
}

void
comet_proxy_request_close(struct comet_proxy_request *relay)
{
	struct comet_gateway *gateway = relay->gateway;

	comet_placement_cancel(gateway->placement, &relay->item);
	comet_quota_requests_cancel(gateway->charges, relay);
	talloc_free(relay);
	comet_placement_run(gateway->placement, comet_timers_now_us());
}

void
comet_proxy_request_count_end(const struct comet_proxy_request *relay, const char *reason)
{
	char labels[128];

	if (relay->route == NULL)
		g_snprintf(labels, sizeof labels, "end=\"%s\"", reason);
	else
		g_snprintf(labels, sizeof labels, "end=\"%s\",kind=\"%s\",rank=\"%u\"", reason,
			comet_route_kind_name(relay->route->kind),
			comet_placement_rank(&relay->item));
	comet_counter_set_add(relay->gateway->ends, labels);
}

/* Answers with an error of the gateway, with these headers and text, and frees the request. */
static void
respond_error(struct comet_proxy_request *relay, unsigned int status, const char *reason,
	uint32_t retry_after_ms, const char *headers, const char *text)
{
	struct comet_http_server_request *request = relay->request;

	comet_log(COMET_LOG_NOTICE,
		"event=refused request=%s status=%u reason=%s retry_after_ms=%u "
		"elapsed_ms=%" G_GUINT64_FORMAT " attempts=%u",
		relay->id, status, reason, retry_after_ms,
		comet_proxy_request_elapsed_ms(relay->arrived_us, comet_timers_now_us()),
		relay->attempts);
	comet_proxy_request_count_end(relay, reason);
	request->user = NULL;
	comet_proxy_request_close(relay);
	comet_http_server_respond(request, status, headers, text, strlen(text));
}

void
comet_proxy_request_respond_error(struct comet_proxy_request *relay, unsigned int status,
	const char *reason, uint32_t retry_after_ms)
{
	char headers[64] = "";

	if (retry_after_ms > 0)
		g_snprintf(headers, sizeof headers, "Retry-After: %u.%03u\r\n",
			retry_after_ms / 1000, retry_after_ms % 1000);
	respond_error(relay, status, reason, retry_after_ms, headers, "");
}

/* Refunds the team's quota for a request that was not run. */
static void
refund_quota(struct comet_proxy_request *relay)
{
	struct comet_gateway *gateway = relay->gateway;

	if (!relay->quota_charged)
		return;
	relay->quota_charged = false;
	comet_rate_limiter_refund(
		gateway->rate_limiter, relay->team->id, relay->quota_amount, comet_timers_now_us());
	if (relay->quota_owner_vm == 0)
		return;
	const struct comet_quota_request charge = comet_proxy_request_charge_amount(relay);
	comet_quota_requests_refund(gateway->charges, relay->quota_owner_vm, &charge);
}

/* The status is 400 because callers do not retry it. 503 asks callers to retry later, and some
 * callers retry immediately after 502. */
void
comet_proxy_request_refuse_quarantined(struct comet_proxy_request *relay)
{
	comet_log(COMET_LOG_INFO,
		"event=quarantined_request_refused request=%s fingerprint=%016" G_GINT64_MODIFIER
		"x",
		relay->id, relay->fingerprint.digest);
	relay->gateway->counts.refused_crashing++;
	if (!relay->may_have_run)
		refund_quota(relay);
	respond_error(relay, 400, "crashes_endpoints", 0, "Content-Type: text/plain\r\n",
		"Endpoints crashed when they ran this request. It is not sent to any more.\n");
}

void
comet_proxy_request_refuse(
	struct comet_proxy_request *relay, const char *reason, uint32_t retry_after_ms)
{
	struct comet_gateway *gateway = relay->gateway;

	if (comet_proxy_request_is_quarantined(relay))
	{
		comet_proxy_request_refuse_quarantined(relay);
		return;
	}
	if (relay->may_have_run)
	{
		gateway->counts.failed++;
		comet_proxy_request_respond_error(relay, 502, reason, 0);
		return;
	}
	gateway->counts.refused_early++;
	refund_quota(relay);
	comet_proxy_request_respond_error(relay, 503, reason, retry_after_ms);
}

void
comet_proxy_request_abort(struct comet_proxy_request *relay, const char *reason)
{
	struct comet_http_server_request *request = relay->request;

	relay->gateway->counts.cut++;
	comet_log(COMET_LOG_NOTICE,
		"event=cut request=%s reason=%s elapsed_ms=%" G_GUINT64_FORMAT
		" events=%u attempts=%u unsent_bytes=%zu",
		relay->id, reason,
		comet_proxy_request_elapsed_ms(relay->arrived_us, comet_timers_now_us()),
		comet_proxy_request_events(relay), relay->attempts,
		comet_http_server_queued_bytes(request));
	comet_proxy_request_count_end(relay, reason);
	request->user = NULL;
	comet_proxy_request_close(relay);
	comet_http_server_abort_response(request);
}

void
comet_proxy_request_fail(struct comet_proxy_request *relay, unsigned int status, const char *reason)
{
	if (relay->response_started)
	{
		comet_proxy_request_abort(relay, reason);
		return;
	}
	if (!relay->may_have_run || comet_proxy_request_is_quarantined(relay))
	{
		comet_proxy_request_refuse(relay, reason,
			(uint32_t)(comet_placement_wait_us(relay->gateway->placement, &relay->item,
					   comet_timers_now_us()) /
				   1000));
		return;
	}
	relay->gateway->counts.failed++;
	comet_proxy_request_respond_error(relay, status, reason, 0);
}

void
comet_proxy_request_refuse_all_quarantined(struct comet_gateway *gateway)
{
	GList *at = gateway->newly_quarantined ? gateway->relays.head : NULL;

	gateway->newly_quarantined = false;
	while (at != NULL)
	{
		struct comet_proxy_request *relay = at->data;
		at = at->next;
		if (relay->attempt_link != NULL || !comet_proxy_request_is_quarantined(relay))
			continue;
		comet_proxy_request_fail(relay, 502, "crashes_endpoints");
		at = gateway->relays.head; /* the call may have ended other requests too */
	}
}

static void
on_caller_disconnected(void *ctx, struct comet_http_server_request *request)
{
	struct comet_gateway *gateway = ctx;
	struct comet_proxy_request *relay = request->user;

	if (relay == NULL)
		return;
	gateway->counts.left++;
	comet_log(COMET_LOG_INFO,
		"event=caller_left request=%s endpoint=%s elapsed_ms=%" G_GUINT64_FORMAT
		" started=%d",
		relay->id, relay->instance_id != NULL ? relay->instance_id : "-",
		comet_proxy_request_elapsed_ms(relay->arrived_us, comet_timers_now_us()),
		relay->response_started);
	if (relay->instance_id != NULL)
		comet_proxy_request_end_attempt(relay, COMET_DISPATCH_CANCELLED);
	comet_proxy_request_count_end(relay, "caller_left");
	comet_proxy_request_close(relay);
}

static void
on_caller_drained(void *ctx, struct comet_http_server_request *request)
{
	struct comet_proxy_request *relay = request->user;

	(void)ctx;
	if (relay == NULL || !relay->upstream_paused || relay->exchange == NULL)
		return;
	relay->upstream_paused = false;
	relay->last_us = comet_timers_now_us(); /* the pause does not count as silence */
	comet_exchange_pause(relay->exchange, false);
}

const struct comet_http_server_events comet_gateway_caller_events = {
	.request = comet_proxy_request_handle,
	.gone = on_caller_disconnected,
	.drained = on_caller_drained};
