/*
 * proxy_request.c
 * the end of a proxy request: response, refusal, failure or disconnected caller
 */
#include <libcometspindle/adapters/gateway/gateway_crashes.h>
#include <libcometspindle/adapters/gateway/gateway_reachability.h>
#include <libcometspindle/adapters/gateway/gateway_streams.h>

#include <libcometspindle/log.h>
#include <string.h>
#include <talloc.h>

/* Adds what this VM knows of the brittleness of the endpoint, which its owner may not know yet. */
static void
add_brittleness(struct comet_grants_completion *completion, const struct comet_instance *instance)
{
	if (instance == NULL || instance->brittleness.observed_us == 0)
		return;
	completion->brittle = instance->brittleness.active;
	completion->rejections_per_s = instance->brittleness.rejections_per_s;
	completion->brittle_age_us =
		MAX(comet_timers_now_us() - instance->brittleness.observed_us, 1);
}

/* Releases the slot at its owner, and reports the service time of a complete response. */
static void
release_slot(struct comet_proxy_request *proxy, enum comet_dispatch_result result, uint32_t events)
{
	bool whole = result == COMET_DISPATCH_SERVED && proxy->first_byte_us != 0 &&
		     comet_proxy_request_timing_is_valid(proxy);
	bool stream = comet_proxy_request_is_stream(proxy);
	uint64_t begun_us = stream ? proxy->first_byte_us : proxy->sent_us;
	struct comet_grants_completion end = {
		.result = result,
		.stream = stream,
		.events = whole ? events : 0,
		.taken_us = whole ? proxy->last_byte_us - begun_us : 0,
	};

	if (proxy->item.owner_vm == 0)
		return;
	add_brittleness(&end, comet_proxy_request_instance(proxy));
	comet_gateway_links_release(
		proxy->gateway->links, proxy->item.owner_vm, proxy->incarnation_key, &end);
	proxy->item.owner_vm = 0;
}

/* Discards the output of this attempt that was not forwarded. Otherwise the bytes of the next
 * attempt would be appended to an incomplete event, and the caller would receive both as one event.
 */
static void
discard_unsent_output(struct comet_proxy_request *proxy)
{
	proxy->unfinished_bytes = 0;
	if (proxy->events != NULL)
		proxy->unfinished_bytes = comet_event_stream_restart(proxy->events);
	g_byte_array_set_size(proxy->buffered_body, 0);
}

void
comet_proxy_request_end_attempt(
	struct comet_proxy_request *proxy, enum comet_dispatch_result result)
{
	struct comet_gateway *gateway = proxy->gateway;
	struct comet_instance *instance = comet_proxy_request_instance(proxy);
	uint64_t now_us = comet_timers_now_us();
	uint32_t events = comet_proxy_request_events(proxy) - proxy->prior_events;

	comet_timer_cancel(&proxy->silence_timer);
	if (proxy->peer_vm == 0)
	{
		comet_gateway_links_attempt_ended(gateway->links, result);
		comet_gateway_attempt_ending(proxy, result);
	}
	if (instance != NULL)
	{
		uint64_t taken_us = comet_proxy_request_is_stream(proxy)
					    ? proxy->last_byte_us - proxy->first_byte_us
					    : now_us - proxy->sent_us;
		if (!comet_proxy_request_timing_is_valid(proxy))
			taken_us = COMET_LATENCY_UNKNOWN;
		if (comet_instance_dispatch_ended(instance, &proxy->item.size,
			    proxy->first_byte_us != 0, result, taken_us, events, now_us))
			comet_log(COMET_LOG_NOTICE,
				"event=endpoint_%s endpoint=%s result=%s failures=%u "
				"error_rate=%.2f",
				instance->ejected_until_us != 0 ? "avoided" : "trusted",
				instance->id, comet_dispatch_result_name(result),
				instance->failures, instance->error_rate);
		comet_placement_slot_released(gateway->placement, instance);
	}
	release_slot(proxy, result, events);
	discard_unsent_output(proxy);
	g_queue_delete_link(&gateway->active_attempts, proxy->attempt_link);
	proxy->attempt_link = NULL;
	proxy->peer_vm = 0;
	TALLOC_FREE(proxy->instance_id);
	TALLOC_FREE(proxy->exchange);
	TALLOC_FREE(proxy->head);
	proxy->first_byte_us = 0;
}

void
comet_proxy_request_close(struct comet_proxy_request *proxy)
{
	struct comet_gateway *gateway = proxy->gateway;

	comet_placement_cancel(gateway->placement, &proxy->item);
	comet_quota_requests_cancel(gateway->quota_requests, proxy);
	comet_gateway_streams_cancel(gateway->streams, proxy);
	talloc_free(proxy);
	comet_placement_run(gateway->placement, comet_timers_now_us());
}

void
comet_proxy_request_count_end(const struct comet_proxy_request *proxy, const char *reason)
{
	char labels[128];

	if (proxy->route == NULL)
		g_snprintf(labels, sizeof labels, "end=\"%s\"", reason);
	else
		g_snprintf(labels, sizeof labels, "end=\"%s\",kind=\"%s\",rank=\"%u\"", reason,
			comet_route_kind_name(proxy->route->kind),
			comet_placement_rank(&proxy->item));
	comet_counter_set_add(proxy->gateway->ends, labels);
}

/* Answers with an error of the gateway, with these headers and text, and frees the request. */
static void
respond_error(struct comet_proxy_request *proxy, unsigned int status, const char *reason,
	uint32_t retry_after_ms, const char *headers, const char *text)
{
	struct comet_http_server_request *request = proxy->request;

	comet_log(COMET_LOG_NOTICE,
		"event=refused request=%s status=%u reason=%s retry_after_ms=%u "
		"elapsed_ms=%" G_GUINT64_FORMAT " attempts=%u",
		proxy->id, status, reason, retry_after_ms,
		comet_proxy_request_elapsed_ms(proxy->arrived_us, comet_timers_now_us()),
		proxy->attempts);
	comet_proxy_request_count_end(proxy, reason);
	request->user = NULL;
	comet_proxy_request_close(proxy);
	comet_http_server_respond(request, status, headers, text, strlen(text));
}

void
comet_proxy_request_respond_error(struct comet_proxy_request *proxy, unsigned int status,
	const char *reason, uint32_t retry_after_ms)
{
	char headers[64] = "";

	if (retry_after_ms > 0)
		g_snprintf(headers, sizeof headers, "Retry-After: %u.%03u\r\n",
			retry_after_ms / 1000, retry_after_ms % 1000);
	respond_error(proxy, status, reason, retry_after_ms, headers, "");
}

void
comet_proxy_request_refund_quota(struct comet_proxy_request *proxy)
{
	struct comet_gateway *gateway = proxy->gateway;

	if (!proxy->quota_charged)
		return;
	proxy->quota_charged = false;
	comet_rate_limiter_refund(
		gateway->rate_limiter, proxy->team->id, proxy->quota_amount, comet_timers_now_us());
	if (proxy->quota_owner_vm == 0)
		return;
	const struct comet_quota_request quota_request = comet_proxy_request_charge_amount(proxy);
	comet_quota_requests_refund(gateway->quota_requests, proxy->quota_owner_vm, &quota_request);
}

/* The status is 400 because callers do not retry it. 503 asks callers to retry later, and some
 * callers retry immediately after 502. */
void
comet_proxy_request_refuse_quarantined(struct comet_proxy_request *proxy)
{
	comet_log(COMET_LOG_INFO,
		"event=quarantined_request_refused request=%s fingerprint=%016" G_GINT64_MODIFIER
		"x",
		proxy->id, proxy->fingerprint.digest);
	proxy->gateway->counts.refused_quarantined++;
	if (!proxy->may_have_run)
		comet_proxy_request_refund_quota(proxy);
	respond_error(proxy, 400, "crashes_endpoints", 0, "Content-Type: text/plain\r\n",
		"Endpoints crashed when they ran this request. It is not sent to any more.\n");
}

void
comet_proxy_request_refuse(
	struct comet_proxy_request *proxy, const char *reason, uint32_t retry_after_ms)
{
	struct comet_gateway *gateway = proxy->gateway;

	if (comet_proxy_request_is_quarantined(proxy))
	{
		comet_proxy_request_refuse_quarantined(proxy);
		return;
	}
	if (proxy->may_have_run)
	{
		gateway->counts.failed++;
		comet_proxy_request_respond_error(proxy, 502, reason, 0);
		return;
	}
	gateway->counts.refused_early++;
	comet_proxy_request_refund_quota(proxy);
	comet_proxy_request_respond_error(proxy, 503, reason, retry_after_ms);
}

void
comet_proxy_request_abort(struct comet_proxy_request *proxy, const char *reason)
{
	struct comet_http_server_request *request = proxy->request;

	proxy->gateway->counts.aborted++;
	comet_log(COMET_LOG_NOTICE,
		"event=cut request=%s reason=%s elapsed_ms=%" G_GUINT64_FORMAT
		" events=%u attempts=%u unsent_bytes=%zu",
		proxy->id, reason,
		comet_proxy_request_elapsed_ms(proxy->arrived_us, comet_timers_now_us()),
		comet_proxy_request_events(proxy), proxy->attempts,
		comet_http_server_queued_bytes(request));
	comet_proxy_request_count_end(proxy, reason);
	request->user = NULL;
	comet_proxy_request_close(proxy);
	comet_http_server_abort_response(request);
}

void
comet_proxy_request_fail(struct comet_proxy_request *proxy, unsigned int status, const char *reason)
{
	if (proxy->response_started)
	{
		comet_proxy_request_abort(proxy, reason);
		return;
	}
	if (!proxy->may_have_run || comet_proxy_request_is_quarantined(proxy))
	{
		comet_proxy_request_refuse(proxy, reason,
			(uint32_t)(comet_placement_wait_us(proxy->gateway->placement, &proxy->item,
					   comet_timers_now_us()) /
				   1000));
		return;
	}
	proxy->gateway->counts.failed++;
	comet_proxy_request_respond_error(proxy, status, reason, 0);
}

void
comet_proxy_request_refuse_all_quarantined(struct comet_gateway *gateway)
{
	GList *at = gateway->newly_quarantined ? gateway->open_requests.head : NULL;

	gateway->newly_quarantined = false;
	while (at != NULL)
	{
		struct comet_proxy_request *proxy = at->data;
		at = at->next;
		if (proxy->attempt_link != NULL || !comet_proxy_request_is_quarantined(proxy))
			continue;
		comet_proxy_request_fail(proxy, 502, "crashes_endpoints");
		at = gateway->open_requests.head; /* the call may have ended other requests too */
	}
}

static void
on_caller_disconnected(void *ctx, struct comet_http_server_request *request)
{
	struct comet_gateway *gateway = ctx;
	struct comet_proxy_request *proxy = request->user;

	if (proxy == NULL)
		return;
	gateway->counts.callers_disconnected++;
	comet_log(COMET_LOG_INFO,
		"event=caller_left request=%s endpoint=%s elapsed_ms=%" G_GUINT64_FORMAT
		" started=%d",
		proxy->id, proxy->instance_id != NULL ? proxy->instance_id : "-",
		comet_proxy_request_elapsed_ms(proxy->arrived_us, comet_timers_now_us()),
		proxy->response_started);
	if (proxy->instance_id != NULL)
		comet_proxy_request_end_attempt(proxy, COMET_DISPATCH_CANCELLED);
	comet_proxy_request_count_end(proxy, "caller_left");
	comet_proxy_request_close(proxy);
}

static void
on_caller_drained(void *ctx, struct comet_http_server_request *request)
{
	struct comet_proxy_request *proxy = request->user;

	(void)ctx;
	if (proxy == NULL || !proxy->upstream_paused || proxy->exchange == NULL)
		return;
	proxy->upstream_paused = false;
	proxy->last_byte_us = comet_timers_now_us(); /* the pause does not count as silence */
	comet_exchange_pause(proxy->exchange, false);
}

const struct comet_http_server_events comet_gateway_caller_events = {
	.request = comet_proxy_request_handle,
	.gone = on_caller_disconnected,
	.drained = on_caller_drained};
