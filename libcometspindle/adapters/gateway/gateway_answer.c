/*
 * gateway_answer.c
 * forwards an endpoint's response to the caller
 */
#include <libcometspindle/adapters/gateway/forward_head.h>
#include <libcometspindle/adapters/gateway/gateway_crashes.h>
#include <libcometspindle/adapters/gateway/gateway_streams.h>
#include <libcometspindle/adapters/gateway/proxy_request.h>

#include <libcometspindle/adapters/http_hops.h>
#include <libcometspindle/log.h>
#include <string.h>
#include <strings.h>
#include <talloc.h>

/* Plain responses up to this size are buffered completely before any byte is forwarded, so that the
 * request can be retried if the endpoint breaks off. Larger ones are forwarded as they arrive. */
#define PLAIN_BUFFER_BYTES (256 * 1024)

/* Bytes of a body that is not forwarded, such as the text of a refusal, that are read so that the
 * connection can be used again. */
#define DISCARDED_BODY_BYTES (64 * 1024)

/* Reading from the endpoint is paused once this much is queued for a slow caller. */
#define PAUSE_THRESHOLD_BYTES (256 * 1024)

/* Starts the response to the caller with the endpoint's head. length is negative if unknown. */
static void
start_response(struct comet_proxy_request *proxy, int64_t length)
{
	const struct comet_http_head *head = proxy->attempt->head;
	struct comet_http_hops *hops = comet_http_hops_create(NULL, head);
	struct comet_http_header header = {0};
	GString *headers = g_string_sized_new(512);

	while (comet_http_head_next(head, &header))
	{
		if (!comet_http_hops_contain(hops, header.name) &&
			strcasecmp(header.name, COMET_HEADER_STREAM_VERSION) != 0)
			comet_http_write_header(headers, header.name, header.value);
	}
	if (proxy->from_peer && proxy->item.version_id != 0)
		g_string_append_printf(headers, "%s: %08x\r\n", COMET_HEADER_STREAM_VERSION,
			proxy->item.version_id);
	comet_http_server_start_response(
		proxy->request, head->status, head->reason, headers->str, length);
	g_string_free(headers, TRUE);
	talloc_free(hops);
	proxy->response_started = true;
	proxy->response_status = head->status;
	proxy->content_type = talloc_strdup(proxy, comet_http_head_get(head, "Content-Type"));
}

static void
on_response_head(void *ctx, const struct comet_http_head *head)
{
	struct comet_proxy_request *proxy = ctx;
	struct comet_attempt *attempt = proxy->attempt;
	uint64_t now_us = comet_timers_now_us();

	comet_proxy_request_cancel_replacement(proxy, "endpoint_sends");
	attempt->type->forward(attempt, head, now_us);
	attempt->not_executed = head->status == 421 ||
				comet_http_head_get(head, proxy->gateway->names->not_run) != NULL;
	talloc_free(attempt->head);
	attempt->head = comet_http_head_copy(attempt, head); /* the parser reuses its memory */
	attempt->last_byte_us = now_us;
}

static bool
is_success(const struct comet_proxy_request *proxy)
{
	return proxy->attempt->head->status >= 200 && proxy->attempt->head->status < 300;
}

static bool
has_server_stamp(const struct comet_proxy_request *proxy)
{
	return comet_http_head_get(proxy->attempt->head, proxy->gateway->names->server_stamp) !=
	       NULL;
}

/* Returns whether the head matches the stream that this attempt is to resume. A different status or
 * content type belongs to a different response: a 204 made a stream look complete that lacked half
 * of its events. */
static bool
is_continuation(const struct comet_proxy_request *proxy)
{
	const char *type = comet_http_head_get(proxy->attempt->head, "Content-Type");

	return proxy->attempt->head->status == proxy->response_status &&
	       g_strcmp0(type, proxy->content_type) == 0;
}

/* Returns whether the head is that of a successful response that may be forwarded. */
static bool
is_valid_success(const struct comet_proxy_request *proxy)
{
	return !proxy->attempt->not_executed && is_success(proxy) && has_server_stamp(proxy) &&
	       (!proxy->resuming || is_continuation(proxy));
}

/* How the body of a response is handled. */
enum body_mode
{
	BODY_EVENTS,    /* complete events are forwarded as they arrive */
	BODY_PLAIN,     /* buffered; forwarded as it arrives once it is large */
	BODY_DISCARDED, /* not forwarded */
};

/* A body is forwarded only if its response can become the caller's. If an attempt that was to
 * resume a stream is answered with something else, such as the text of a refusal, the caller would
 * read that text as an event. */
static enum body_mode
select_body_mode(const struct comet_proxy_request *proxy)
{
	if (comet_proxy_request_is_stream(proxy) && is_valid_success(proxy))
		return BODY_EVENTS;
	if (proxy->attempt->not_executed || proxy->resuming ||
		(is_success(proxy) && !has_server_stamp(proxy)))
		return BODY_DISCARDED;
	return BODY_PLAIN;
}

/* Returns how many bytes of the response may be kept. */
static uint64_t
max_kept_bytes(const struct comet_proxy_request *proxy, uint64_t most_bytes)
{
	return comet_caller_budget_response_bytes(proxy->gateway->caller_budget, most_bytes);
}

static void
pause_for_slow_caller(struct comet_proxy_request *proxy)
{
	if (proxy->attempt->upstream_paused || comet_http_server_queued_bytes(proxy->request) <
						       max_kept_bytes(proxy, PAUSE_THRESHOLD_BYTES))
		return;
	proxy->attempt->upstream_paused = true;
	comet_exchange_pause(proxy->attempt->exchange, true);
}

/* Forwards the complete events. */
static void
forward_events(struct comet_proxy_request *proxy, const char *data, size_t length)
{
	size_t ready = comet_event_stream_add(proxy->events, data, length);

	if (ready == 0)
		return;
	if (!proxy->response_started)
	{
		if (proxy->item.version_id == 0)
			proxy->item.version_id = proxy->attempt->version_id;
		comet_gateway_streams_began(proxy);
		start_response(proxy, -1);
	}
	comet_http_server_send_body(proxy->request, comet_event_stream_ready(proxy->events), ready);
	comet_event_stream_consume(proxy->events);
	pause_for_slow_caller(proxy);
}

static void
forward_plain_body(struct comet_proxy_request *proxy, const char *data, size_t length)
{
	if (proxy->response_started)
	{
		comet_http_server_send_body(proxy->request, data, length);
		pause_for_slow_caller(proxy);
		return;
	}
	g_byte_array_append(proxy->buffered_body, (const guint8 *)data, (guint)length);
	if (proxy->buffered_body->len < max_kept_bytes(proxy, PLAIN_BUFFER_BYTES))
		return;
	const char *length_text = comet_http_head_get(proxy->attempt->head, "Content-Length");
	start_response(proxy, length_text != NULL ? g_ascii_strtoll(length_text, NULL, 10) : -1);
	comet_http_server_send_body(proxy->request, (const char *)proxy->buffered_body->data,
		proxy->buffered_body->len);
	/* An emptied array keeps its allocation, for as long as the caller takes to read. */
	g_byte_array_free(proxy->buffered_body, TRUE);
	proxy->buffered_body = g_byte_array_new();
	pause_for_slow_caller(proxy);
}

/* Ends an attempt whose response is not forwarded and may never end. */
static void
end_discarded(struct comet_proxy_request *proxy)
{
	comet_log(COMET_LOG_NOTICE,
		"event=answer_given_up request=%s endpoint=%s status=%u "
		"body_bytes=%" G_GUINT64_FORMAT,
		proxy->id, proxy->attempt->instance_id, proxy->attempt->head->status,
		proxy->attempt->body_bytes);
	if (proxy->attempt->not_executed && proxy->attempt->peer_vm == 0)
		comet_proxy_request_attempt_refused(proxy);
	else
		comet_proxy_request_attempt_failed(proxy, COMET_DISPATCH_BROKEN);
}

static void
on_response_data(void *ctx, const char *data, size_t length)
{
	struct comet_proxy_request *proxy = ctx;
	uint64_t now_us = comet_timers_now_us();

	struct comet_instance *instance = comet_proxy_request_instance(proxy);

	comet_proxy_request_cancel_replacement(proxy, "endpoint_sends");
	if (proxy->response_start_us == 0)
		proxy->response_start_us = now_us;
	else
		proxy->max_gap_us = MAX(proxy->max_gap_us, now_us - proxy->attempt->last_byte_us);
	proxy->attempt->last_byte_us = now_us;
	proxy->attempt->body_bytes += length;
	if (instance != NULL)
		comet_instance_seen(instance, now_us);
	if (proxy->attempt->first_byte_us == 0)
	{
		proxy->attempt->first_byte_us = now_us;
		if (instance != NULL)
			comet_instance_first_event(instance, &proxy->item.size,
				proxy->attempt->prompt_tokens_ahead,
				comet_proxy_request_timing_is_valid(proxy)
					? now_us - proxy->attempt->sent_us
					: COMET_LATENCY_UNKNOWN,
				now_us);
	}
	comet_gateway_response_continues(proxy, now_us);
	switch (select_body_mode(proxy))
	{
	case BODY_EVENTS:
		forward_events(proxy, data, length);
		comet_proxy_request_sample(proxy, now_us);
		break;
	case BODY_PLAIN:
		forward_plain_body(proxy, data, length);
		break;
	case BODY_DISCARDED:
		if (proxy->attempt->body_bytes > DISCARDED_BODY_BYTES)
			end_discarded(proxy);
		break;
	}
}

static void
log_answered(const struct comet_proxy_request *proxy, unsigned int status)
{
	uint64_t now_us = comet_timers_now_us();

	comet_log(status < 400 ? COMET_LOG_INFO : COMET_LOG_NOTICE,
		"event=answered request=%s status=%u endpoint=%s total_ms=%" G_GUINT64_FORMAT
		" attempt_first_byte_ms=%" G_GUINT64_FORMAT " first_byte_ms=%" G_GUINT64_FORMAT
		" max_gap_ms=%" G_GUINT64_FORMAT " events=%u attempts=%u",
		proxy->id, status, proxy->attempt->instance_id,
		comet_proxy_request_elapsed_ms(proxy->arrived_us, now_us),
		proxy->attempt->first_byte_us != 0
			? comet_proxy_request_elapsed_ms(
				  proxy->attempt->sent_us, proxy->attempt->first_byte_us)
			: 0,
		proxy->response_start_us != 0 ? comet_proxy_request_elapsed_ms(
							proxy->arrived_us, proxy->response_start_us)
					      : 0,
		proxy->max_gap_us / 1000, comet_proxy_request_events(proxy), proxy->attempts);
}

static void
record_latency(const struct comet_proxy_request *proxy)
{
	struct comet_gateway_times *times = &proxy->gateway->times[proxy->route->kind];

	if (proxy->attempt->first_byte_us != 0)
		comet_latency_histogram_add(
			&times->first, proxy->attempt->first_byte_us - proxy->arrived_us);
	comet_latency_histogram_add(&times->whole, comet_timers_now_us() - proxy->arrived_us);
}

/* Completes the response to the caller with a response that was read completely. */
static void
complete_response(struct comet_proxy_request *proxy, enum comet_dispatch_result result)
{
	struct comet_http_server_request *request = proxy->request;

	if (!proxy->response_started)
	{
		bool head_only = strcmp(request->head->method, "HEAD") == 0;
		const char *length_text =
			comet_http_head_get(proxy->attempt->head, "Content-Length");
		int64_t length = head_only && length_text != NULL
					 ? g_ascii_strtoll(length_text, NULL, 10)
					 : (int64_t)proxy->buffered_body->len;
		start_response(proxy, length);
		comet_http_server_send_body(request, (const char *)proxy->buffered_body->data,
			proxy->buffered_body->len);
	}
	log_answered(proxy, proxy->attempt->head->status);
	record_latency(proxy);
	if (result == COMET_DISPATCH_SERVED)
		proxy->gateway->counts.served++;
	else
		proxy->gateway->counts.relayed_errors++;
	comet_proxy_request_end_attempt(proxy, result);
	comet_proxy_request_count_end(
		proxy, result == COMET_DISPATCH_SERVED ? "served" : "relayed_error");
	request->user = NULL;
	comet_proxy_request_close(proxy);
	comet_http_server_finish_response(request);
}

/* Handles a response that was read completely. */
static void
handle_complete_response(struct comet_proxy_request *proxy)
{
	switch (comet_proxy_request_handle_peer_response(proxy, has_server_stamp(proxy)))
	{
	case COMET_PEER_RESPONSE_HANDLED:
		return;
	case COMET_PEER_RESPONSE_BROKEN:
		comet_proxy_request_attempt_failed(proxy, COMET_DISPATCH_BROKEN);
		return;
	case COMET_PEER_RESPONSE_FORWARDED:
		break;
	}
	if (proxy->attempt->not_executed)
	{
		comet_proxy_request_attempt_refused(proxy);
		return;
	}
	if (is_valid_success(proxy))
	{
		bool truncated = comet_proxy_request_is_stream(proxy) &&
				 comet_event_stream_unfinished(proxy->events) > 0;
		if (truncated)
			comet_proxy_request_attempt_failed(proxy, COMET_DISPATCH_BROKEN);
		else
			complete_response(proxy, COMET_DISPATCH_SERVED);
		return;
	}
	bool server_error = proxy->attempt->head->status >= 500;
	if (proxy->resuming || (is_success(proxy) && !has_server_stamp(proxy)))
	{
		comet_proxy_request_attempt_failed(proxy, COMET_DISPATCH_BROKEN);
		return;
	}
	proxy->may_have_run = true;
	/* Forwarded, the status would promise that the request has not run. The endpoint's own
	 * responses are forwarded as they are. */
	if (comet_proxy_request_promises_not_run(proxy->attempt->head->status) &&
		!has_server_stamp(proxy))
	{
		comet_proxy_request_attempt_failed(proxy, COMET_DISPATCH_BROKEN);
		return;
	}
	/* An endpoint that was already tried would fail again, so the error response is forwarded
	 * if no untried endpoint is left. */
	if (server_error && proxy->attempt->peer_vm == 0 && !proxy->response_started &&
		comet_route_is_retryable(proxy->route) &&
		comet_placement_has_unattempted(proxy->gateway->placement, &proxy->item) &&
		comet_proxy_request_may_retry(proxy))
	{
		comet_proxy_request_end_attempt(proxy, COMET_DISPATCH_ERROR);
		comet_proxy_request_retry(proxy, "endpoint_error");
		return;
	}
	complete_response(proxy, server_error ? COMET_DISPATCH_ERROR : COMET_DISPATCH_SERVED);
}

static void
on_response_end(void *ctx, enum comet_exchange_end end)
{
	struct comet_proxy_request *proxy = ctx;

	proxy->attempt->exchange = NULL; /* the exchange frees itself */
	switch (end)
	{
	case COMET_EXCHANGE_COMPLETE:
		handle_complete_response(proxy);
		break;
	case COMET_EXCHANGE_BROKEN:
		comet_proxy_request_attempt_failed(proxy, COMET_DISPATCH_BROKEN);
		break;
	case COMET_EXCHANGE_UNREACHED:
		comet_log(COMET_LOG_NOTICE, "event=unreached request=%s endpoint=%s", proxy->id,
			proxy->attempt->instance_id);
		proxy->attempts--;
		comet_proxy_request_end_attempt(proxy, COMET_DISPATCH_UNREACHABLE);
		if (comet_proxy_request_send_through_peer(proxy))
			break;
		if (comet_timers_now_us() < proxy->deadline_us &&
			!comet_proxy_request_is_quarantined(proxy) &&
			proxy->item.n_attempted < COMET_PLACEMENT_ATTEMPTED_MAX)
			comet_proxy_request_retry(proxy, "unreached");
		else
			comet_proxy_request_fail(proxy, 502, "unreached");
		break;
	}
}

const struct comet_exchange_events comet_proxy_request_response_events = {
	.head = on_response_head, .data = on_response_data, .end = on_response_end};
