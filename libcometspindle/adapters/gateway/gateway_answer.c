/*
 * gateway_answer.c
 * forwards an endpoint's response to the caller
 */
#include <libcometspindle/adapters/gateway/proxy_request.h>

#include <libcometspindle/log.h>
#include <string.h>
#include <talloc.h>

/* Plain responses up to this size are buffered completely before any byte is forwarded, so that the
 * request can be retried if the endpoint breaks off. Larger ones are forwarded as they arrive. */
#define PLAIN_BUFFER_BYTES (256 * 1024)

/* Reading from the endpoint is paused once this much is queued for a slow caller. */
#define PAUSE_THRESHOLD_BYTES (256 * 1024)

/* Copies a response head, since the parser reuses its memory. */
static struct comet_http_head *
copy_head(void *parent, const struct comet_http_head *head)
{
	struct comet_http_head *copy = talloc_memdup(parent, head, sizeof *head);

	copy->reason = talloc_strdup(copy, head->reason);
	copy->headers = talloc_array(copy, struct comet_http_header, head->n_headers);
	for (size_t i = 0; i < head->n_headers; i++)
	{
		copy->headers[i].name = talloc_strdup(copy, head->headers[i].name);
		copy->headers[i].value = talloc_strdup(copy, head->headers[i].value);
	}
	return copy;
}

/* Starts the response to the caller with the endpoint's head. length is negative if unknown. */
static void
start_response(struct comet_proxy_request *relay, int64_t length)
{
	const struct comet_http_head *head = relay->head;
	GString *headers = g_string_sized_new(512);

	for (size_t i = 0; i < head->n_headers; i++)
	{
		if (!comet_http_head_hop_by_hop(head, head->headers[i].name))
			comet_http_write_header(
				headers, head->headers[i].name, head->headers[i].value);
	}
	comet_http_server_start_response(
		relay->request, head->status, head->reason, headers->str, length);
	g_string_free(headers, TRUE);
	relay->response_started = true;
	relay->response_status = head->status;
	relay->content_type = talloc_strdup(relay, comet_http_head_get(head, "Content-Type"));
}

static void
on_response_head(void *ctx, const struct comet_http_head *head)
{
	struct comet_proxy_request *relay = ctx;
	const struct comet_header_names *names = relay->gateway->names;
	const char *load_text = comet_http_head_get(head, names->load);
	struct comet_header_load load;
	uint64_t now_us = comet_timers_now_us();
	struct comet_instance *instance = comet_proxy_request_instance(relay);

	if (instance != NULL)
		comet_instance_seen(instance, now_us);
	if (instance != NULL && load_text != NULL && comet_header_parse_load(load_text, &load))
		comet_instance_load_reported(instance, load.running + load.waiting, now_us);
	relay->not_run = head->status == 421 || comet_http_head_get(head, names->not_run) != NULL;
	talloc_free(relay->head);
	relay->head = copy_head(relay, head);
	relay->last_us = now_us;
}

static bool
is_success(const struct comet_proxy_request *relay)
{
	return relay->head->status >= 200 && relay->head->status < 300;
}

static bool
has_server_stamp(const struct comet_proxy_request *relay)
{
	return comet_http_head_get(relay->head, relay->gateway->names->stamp) != NULL;
}

/* Returns whether the head matches the stream that this attempt is to resume. A different status or
 * content type belongs to a different response: a 204 made a stream look complete that lacked half
 * of its events. */
static bool
is_continuation(const struct comet_proxy_request *relay)
{
	const char *type = comet_http_head_get(relay->head, "Content-Type");

	return relay->head->status == relay->response_status &&
	       g_strcmp0(type, relay->content_type) == 0;
}

/* Returns whether the head is that of a successful response that may be forwarded. */
static bool
is_valid_success(const struct comet_proxy_request *relay)
{
	return !relay->not_run && is_success(relay) && has_server_stamp(relay) &&
	       (!relay->resuming || is_continuation(relay));
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
select_body_mode(const struct comet_proxy_request *relay)
{
	if (comet_proxy_request_is_stream(relay) && is_valid_success(relay))
		return BODY_EVENTS;
	if (relay->not_run || relay->resuming || (is_success(relay) && !has_server_stamp(relay)))
		return BODY_DISCARDED;
	return BODY_PLAIN;
}

static void
pause_for_slow_caller(struct comet_proxy_request *relay)
{
	if (relay->upstream_paused ||
		comet_http_server_queued_bytes(relay->request) < PAUSE_THRESHOLD_BYTES)
		return;
	relay->upstream_paused = true;
	comet_exchange_pause(relay->exchange, true);
}

/* Forwards the complete events. */
static void
forward_events(struct comet_proxy_request *relay, const char *data, size_t length)
{
	size_t ready = comet_event_stream_add(relay->events, data, length);

	if (ready == 0)
		return;
	if (!relay->response_started)
		start_response(relay, -1);
	comet_http_server_send_body(relay->request, comet_event_stream_ready(relay->events), ready);
	comet_event_stream_consume(relay->events);
	pause_for_slow_caller(relay);
}

static void
forward_plain_body(struct comet_proxy_request *relay, const char *data, size_t length)
{
	if (relay->response_started)
	{
		comet_http_server_send_body(relay->request, data, length);
		pause_for_slow_caller(relay);
		return;
	}
	g_byte_array_append(relay->buffered_body, (const guint8 *)data, (guint)length);
	if (relay->buffered_body->len < PLAIN_BUFFER_BYTES)
		return;
	const char *length_text = comet_http_head_get(relay->head, "Content-Length");
	start_response(relay, length_text != NULL ? g_ascii_strtoll(length_text, NULL, 10) : -1);
	comet_http_server_send_body(relay->request, (const char *)relay->buffered_body->data,
		relay->buffered_body->len);
	g_byte_array_set_size(relay->buffered_body, 0);
	pause_for_slow_caller(relay);
}

static void
on_response_data(void *ctx, const char *data, size_t length)
{
	struct comet_proxy_request *relay = ctx;
	uint64_t now_us = comet_timers_now_us();

	struct comet_instance *instance = comet_proxy_request_instance(relay);

	if (relay->response_start_us == 0)
		relay->response_start_us = now_us;
	else
		relay->max_gap_us = MAX(relay->max_gap_us, now_us - relay->last_us);
	relay->last_us = now_us;
	relay->attempt_body_bytes += length;
	if (instance != NULL)
		comet_instance_seen(instance, now_us);
	if (relay->first_byte_us == 0)
	{
		relay->first_byte_us = now_us;
		if (instance != NULL)
			comet_instance_first_event(instance, &relay->item.job,
				comet_proxy_request_timing_is_valid(relay)
					? now_us - relay->sent_us
					: COMET_INSTANCE_UNMEASURED);
	}
	switch (select_body_mode(relay))
	{
	case BODY_EVENTS:
		forward_events(relay, data, length);
		break;
	case BODY_PLAIN:
		forward_plain_body(relay, data, length);
		break;
	case BODY_DISCARDED:
		break;
	}
}

static void
log_answered(const struct comet_proxy_request *relay, unsigned int status)
{
	uint64_t now_us = comet_timers_now_us();

	comet_log(status < 400 ? COMET_LOG_INFO : COMET_LOG_NOTICE,
		"event=answered request=%s status=%u endpoint=%s total_ms=%" G_GUINT64_FORMAT
		" attempt_first_byte_ms=%" G_GUINT64_FORMAT " first_byte_ms=%" G_GUINT64_FORMAT
		" max_gap_ms=%" G_GUINT64_FORMAT " events=%u attempts=%u",
		relay->id, status, relay->instance_id,
		comet_proxy_request_elapsed_ms(relay->arrived_us, now_us),
		relay->first_byte_us != 0
			? comet_proxy_request_elapsed_ms(relay->sent_us, relay->first_byte_us)
			: 0,
		relay->response_start_us != 0 ? comet_proxy_request_elapsed_ms(
							relay->arrived_us, relay->response_start_us)
					      : 0,
		relay->max_gap_us / 1000, comet_proxy_request_events(relay), relay->attempts);
}

static void
record_latency(const struct comet_proxy_request *relay)
{
	struct comet_gateway_times *times = &relay->gateway->times[relay->route->kind];

	if (relay->first_byte_us != 0)
		comet_latency_histogram_add(
			&times->first, relay->first_byte_us - relay->arrived_us);
	comet_latency_histogram_add(&times->whole, comet_timers_now_us() - relay->arrived_us);
}

/* Completes the response to the caller with a response that was read completely. */
static void
complete_response(struct comet_proxy_request *relay, enum comet_dispatch_result result)
{
	struct comet_http_server_request *request = relay->request;

	if (!relay->response_started)
	{
		bool head_only = strcmp(request->head->method, "HEAD") == 0;
		const char *length_text = comet_http_head_get(relay->head, "Content-Length");
		int64_t length = head_only && length_text != NULL
					 ? g_ascii_strtoll(length_text, NULL, 10)
					 : (int64_t)relay->buffered_body->len;
		start_response(relay, length);
		comet_http_server_send_body(request, (const char *)relay->buffered_body->data,
			relay->buffered_body->len);
	}
	log_answered(relay, relay->head->status);
	record_latency(relay);
	if (result == COMET_DISPATCH_SERVED)
		relay->gateway->counts.served++;
	else
		relay->gateway->counts.relayed_errors++;
	comet_proxy_request_end_attempt(relay, result);
	comet_proxy_request_count_end(
		relay, result == COMET_DISPATCH_SERVED ? "served" : "relayed_error");
	request->user = NULL;
	comet_proxy_request_close(relay);
	comet_http_server_finish_response(request);
}

/* Handles a response that was read completely. */
static void
handle_complete_response(struct comet_proxy_request *relay)
{
	if (relay->not_run)
	{
		comet_proxy_request_attempt_refused(relay);
		return;
	}
	if (is_valid_success(relay))
	{
		bool truncated = comet_proxy_request_is_stream(relay) &&
				 comet_event_stream_unfinished(relay->events) > 0;
		if (truncated)
			comet_proxy_request_attempt_failed(relay, COMET_DISPATCH_BROKEN);
		else
			complete_response(relay, COMET_DISPATCH_SERVED);
		return;
	}
	bool server_error = relay->head->status >= 500;
	if (relay->resuming || (is_success(relay) && !has_server_stamp(relay)))
	{
		comet_proxy_request_attempt_failed(relay, COMET_DISPATCH_BROKEN);
		return;
	}
	relay->may_have_run = true;
	/* An endpoint that was already tried would fail again, so the error response is forwarded
	 * if no untried endpoint is left. */
	if (server_error && !relay->response_started && comet_route_is_retryable(relay->route) &&
		comet_placement_has_untried(relay->gateway->placement, &relay->item) &&
		comet_proxy_request_may_retry(relay))
	{
		comet_proxy_request_end_attempt(relay, COMET_DISPATCH_ERROR);
		comet_proxy_request_retry(relay, "endpoint_error");
		return;
	}
	complete_response(relay, server_error ? COMET_DISPATCH_ERROR : COMET_DISPATCH_SERVED);
}

static void
on_response_end(void *ctx, enum comet_exchange_end end)
{
	struct comet_proxy_request *relay = ctx;

	relay->exchange = NULL; /* the exchange frees itself */
	switch (end)
	{
	case COMET_EXCHANGE_COMPLETE:
		handle_complete_response(relay);
		break;
	case COMET_EXCHANGE_BROKEN:
		comet_proxy_request_attempt_failed(relay, COMET_DISPATCH_BROKEN);
		break;
	case COMET_EXCHANGE_UNREACHED:
		comet_log(COMET_LOG_NOTICE, "event=unreached request=%s endpoint=%s", relay->id,
			relay->instance_id);
		relay->attempts--;
		comet_proxy_request_end_attempt(relay, COMET_DISPATCH_UNREACHED);
		if (comet_timers_now_us() < relay->deadline_us &&
			!comet_proxy_request_is_quarantined(relay) &&
			relay->item.n_tried < COMET_PLACEMENT_TRIED_MAX)
			comet_proxy_request_retry(relay, "unreached");
		else
			comet_proxy_request_fail(relay, 502, "unreached");
		break;
	}
}

const struct comet_exchange_events comet_proxy_request_response_events = {
	.head = on_response_head, .data = on_response_data, .end = on_response_end};
