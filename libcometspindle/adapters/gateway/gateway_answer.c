/*
 * gateway_answer.c
 * one request at a gateway: an endpoint's answer on its way to the caller
 */
#include <libcometspindle/adapters/gateway/proxy_request.h>

#include <libcometspindle/log.h>
#include <string.h>
#include <talloc.h>

/* Plain answers up to this size are read whole before the first byte goes on, so that an endpoint
 * that breaks off can be replaced; larger ones are passed on as they come. */
#define PLAIN_BUFFER_BYTES (256 * 1024)

/* An answer that a slow reader has not taken stops the endpoint's reading at this size. */
#define SLOW_READER_BYTES (256 * 1024)

/* Copies what is needed of an answer's head after its reader has gone on. */
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

/* Starts the caller's answer with the endpoint's head. length < 0: not known. */
static void
start_answer(struct comet_proxy_request *relay, int64_t length)
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
	relay->started = true;
	relay->status = head->status;
	relay->type = talloc_strdup(relay, comet_http_head_get(head, "Content-Type"));
}

static void
on_answer_head(void *ctx, const struct comet_http_head *head)
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
is_stamped(const struct comet_proxy_request *relay)
{
	return comet_http_head_get(relay->head, relay->gateway->names->stamp) != NULL;
}

/* Is this head like that of the stream which the run is to go on with? Another status or type is
 * that of another answer: 204 made a stream look complete that lacked half of its events. */
static bool
is_rest(const struct comet_proxy_request *relay)
{
	const char *type = comet_http_head_get(relay->head, "Content-Type");

	return relay->head->status == relay->status && g_strcmp0(type, relay->type) == 0;
}

/* Is this head one of a success that may be passed on? */
static bool
is_good(const struct comet_proxy_request *relay)
{
	return !relay->not_run && is_success(relay) && is_stamped(relay) &&
	       (!relay->resuming || is_rest(relay));
}

/* What becomes of an answer's body. */
enum body_use
{
	BODY_EVENTS,  /* its whole events go on as they come */
	BODY_PLAIN,   /* it is held, and goes on as it comes once it is large */
	BODY_DROPPED, /* it is no part of what the caller gets */
};

/* A body goes on only if its answer may become the caller's. What a run that was to go on with a
 * stream says instead, such as a refusal's text, was read by the caller as one of its events. */
static enum body_use
use_of_body(const struct comet_proxy_request *relay)
{
	if (comet_proxy_request_is_stream(relay) && is_good(relay))
		return BODY_EVENTS;
	if (relay->not_run || relay->resuming || (is_success(relay) && !is_stamped(relay)))
		return BODY_DROPPED;
	return BODY_PLAIN;
}

static void
hold_back(struct comet_proxy_request *relay)
{
	if (relay->paused || comet_http_server_queued_bytes(relay->request) < SLOW_READER_BYTES)
		return;
	relay->paused = true;
	comet_exchange_pause(relay->exchange, true);
}

/* Passes on the events that are whole. */
static void
pass_events(struct comet_proxy_request *relay, const char *data, size_t length)
{
	size_t ready = comet_event_stream_add(relay->events, data, length);

	if (ready == 0)
		return;
	if (!relay->started)
		start_answer(relay, -1);
	comet_http_server_send_body(relay->request, comet_event_stream_ready(relay->events), ready);
	comet_event_stream_consume(relay->events);
	hold_back(relay);
}

static void
pass_plain(struct comet_proxy_request *relay, const char *data, size_t length)
{
	if (relay->started)
	{
		comet_http_server_send_body(relay->request, data, length);
		hold_back(relay);
		return;
	}
	g_byte_array_append(relay->answer, (const guint8 *)data, (guint)length);
	if (relay->answer->len < PLAIN_BUFFER_BYTES)
		return;
	const char *told = comet_http_head_get(relay->head, "Content-Length");
	start_answer(relay, told != NULL ? g_ascii_strtoll(told, NULL, 10) : -1);
	comet_http_server_send_body(
		relay->request, (const char *)relay->answer->data, relay->answer->len);
	g_byte_array_set_size(relay->answer, 0);
	hold_back(relay);
}

static void
on_answer_data(void *ctx, const char *data, size_t length)
{
	struct comet_proxy_request *relay = ctx;
	uint64_t now_us = comet_timers_now_us();

	struct comet_instance *instance = comet_proxy_request_instance(relay);

	if (relay->began_us == 0)
		relay->began_us = now_us;
	else
		relay->pause_us = MAX(relay->pause_us, now_us - relay->last_us);
	relay->last_us = now_us;
	relay->body_bytes += length;
	if (instance != NULL)
		comet_instance_seen(instance, now_us);
	if (relay->first_us == 0)
	{
		relay->first_us = now_us;
		if (instance != NULL)
			comet_instance_first_event(instance, &relay->item.job,
				comet_proxy_request_timing_is_valid(relay)
					? now_us - relay->sent_us
					: COMET_INSTANCE_UNMEASURED);
	}
	switch (use_of_body(relay))
	{
	case BODY_EVENTS:
		pass_events(relay, data, length);
		break;
	case BODY_PLAIN:
		pass_plain(relay, data, length);
		break;
	case BODY_DROPPED:
		break;
	}
}

static void
log_served(const struct comet_proxy_request *relay, unsigned int status)
{
	uint64_t now_us = comet_timers_now_us();

	comet_log(status < 400 ? COMET_LOG_INFO : COMET_LOG_NOTICE,
		"event=answered request=%s status=%u endpoint=%s total_ms=%" G_GUINT64_FORMAT
		" first_ms=%" G_GUINT64_FORMAT " began_ms=%" G_GUINT64_FORMAT
		" pause_ms=%" G_GUINT64_FORMAT " events=%u attempts=%u",
		relay->id, status, relay->instance,
		comet_proxy_request_elapsed_ms(relay->arrived_us, now_us),
		relay->first_us != 0
			? comet_proxy_request_elapsed_ms(relay->sent_us, relay->first_us)
			: 0,
		relay->began_us != 0
			? comet_proxy_request_elapsed_ms(relay->arrived_us, relay->began_us)
			: 0,
		relay->pause_us / 1000, comet_proxy_request_events(relay), relay->attempts);
}

static void
count_times(const struct comet_proxy_request *relay)
{
	struct comet_gateway_times *times = &relay->gateway->times[relay->route->kind];

	if (relay->first_us != 0)
		comet_latency_histogram_add(&times->first, relay->first_us - relay->arrived_us);
	comet_latency_histogram_add(&times->whole, comet_timers_now_us() - relay->arrived_us);
}

/* The whole answer is here and is passed on. */
static void
deliver(struct comet_proxy_request *relay, enum comet_dispatch_result result)
{
	struct comet_http_server_request *request = relay->request;

	if (!relay->started)
	{
		bool head_only = strcmp(request->head->method, "HEAD") == 0;
		const char *told = comet_http_head_get(relay->head, "Content-Length");
		int64_t length = head_only && told != NULL ? g_ascii_strtoll(told, NULL, 10)
							   : (int64_t)relay->answer->len;
		start_answer(relay, length);
		comet_http_server_send_body(
			request, (const char *)relay->answer->data, relay->answer->len);
	}
	log_served(relay, relay->head->status);
	count_times(relay);
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

/* A whole answer was read. */
static void
answer_whole(struct comet_proxy_request *relay)
{
	if (relay->not_run)
	{
		comet_proxy_request_attempt_refused(relay);
		return;
	}
	if (is_good(relay))
	{
		bool torn = comet_proxy_request_is_stream(relay) &&
			    comet_event_stream_unfinished(relay->events) > 0;
		if (torn)
			comet_proxy_request_attempt_failed(relay, COMET_DISPATCH_BROKEN);
		else
			deliver(relay, COMET_DISPATCH_SERVED);
		return;
	}
	bool server_error = relay->head->status >= 500;
	if (relay->resuming || (is_success(relay) && !is_stamped(relay)))
	{
		comet_proxy_request_attempt_failed(relay, COMET_DISPATCH_BROKEN);
		return;
	}
	relay->may_have_run = true;
	/* The same endpoint would only fail again: then its answer is the best there is. */
	if (server_error && !relay->started && comet_route_is_retryable(relay->route) &&
		comet_placement_has_untried(relay->gateway->placement, &relay->item) &&
		comet_proxy_request_may_retry(relay))
	{
		comet_proxy_request_end_attempt(relay, COMET_DISPATCH_ERROR);
		comet_proxy_request_retry(relay, "endpoint_error");
		return;
	}
	deliver(relay, server_error ? COMET_DISPATCH_ERROR : COMET_DISPATCH_SERVED);
}

static void
on_answer_end(void *ctx, enum comet_exchange_end end)
{
	struct comet_proxy_request *relay = ctx;

	relay->exchange = NULL; /* frees itself */
	switch (end)
	{
	case COMET_EXCHANGE_COMPLETE:
		answer_whole(relay);
		break;
	case COMET_EXCHANGE_BROKEN:
		comet_proxy_request_attempt_failed(relay, COMET_DISPATCH_BROKEN);
		break;
	case COMET_EXCHANGE_UNREACHED:
		comet_log(COMET_LOG_NOTICE, "event=unreached request=%s endpoint=%s", relay->id,
			relay->instance);
		relay->attempts--;
		comet_proxy_request_end_attempt(relay, COMET_DISPATCH_UNREACHED);
		if (comet_timers_now_us() < relay->end_us &&
			!comet_proxy_request_is_quarantined(relay) &&
			relay->item.n_tried < COMET_PLACEMENT_TRIED_MAX)
			comet_proxy_request_retry(relay, "unreached");
		else
			comet_proxy_request_fail(relay, 502, "unreached");
		break;
	}
}

const struct comet_exchange_events comet_proxy_request_response_events = {
	.head = on_answer_head, .data = on_answer_data, .end = on_answer_end};
