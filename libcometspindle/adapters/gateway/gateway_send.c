/*
 * gateway_send.c
 * attempts of a proxy request: sending, silence timeouts and retries
 */
#include <libcometspindle/adapters/gateway/proxy_request.h>

#include <libcometspindle/adapters/gateway/forward_head.h>
#include <libcometspindle/log.h>
#include <string.h>
#include <talloc.h>

/* An endpoint counts as silent after this multiple of the expected time to the first byte, and not
 * before the minimum below: a lost packet is retransmitted within a quarter of a second. */
#define SILENCE_FACTOR 4
#define SILENCE_MIN_US 600000

bool
comet_proxy_request_may_retry(struct comet_proxy_request *relay)
{
	struct comet_gateway *gateway = relay->gateway;
	uint64_t now_us = comet_timers_now_us();

	if (relay->may_have_run && !comet_route_is_retryable(relay->route))
		return false;
	/* The crash of a silent endpoint is confirmed only seconds later. The request must not be
	 * sent to further endpoints in that time. */
	if (comet_proxy_request_is_quarantined(relay) ||
		comet_crash_tracker_is_undecided(
			gateway->crash_tracker, &relay->fingerprint, now_us))
		return false;
	if (relay->attempts >= MAX(relay->route->max_attempts, 1) || now_us >= relay->deadline_us)
		return false;
	if (relay->attempts == 0)
		return true;
	return comet_retry_budget_take(gateway->retries, relay->service, now_us);
}

void
comet_proxy_request_retry(struct comet_proxy_request *relay, const char *reason)
{
	struct comet_gateway *gateway = relay->gateway;
	uint64_t now_us = comet_timers_now_us();

	gateway->counts.repeated++;
	comet_log(COMET_LOG_INFO,
		"event=retried request=%s reason=%s attempts=%u events=%u "
		"unfinished_bytes=%" G_GUINT64_FORMAT,
		relay->id, reason, relay->attempts, comet_proxy_request_events(relay),
		relay->unfinished_bytes);
	if (!comet_placement_has_untried(gateway->placement, &relay->item))
	{
		relay->item.n_tried = 0; /* all endpoints have been tried: allow them again */
		relay->retry_same_endpoint = true;
	}
	relay->item.dispatch_deadline_us =
		MAX(relay->item.dispatch_deadline_us, now_us + (relay->deadline_us - now_us) / 2);
	/* Once the response has started, the relevant latency is the gap that the caller sees. */
	if (relay->response_started)
		relay->item.soft_deadline_us = now_us + (uint64_t)relay->route->gap_ms * 1000;
	comet_placement_submit(gateway->placement, &relay->item, now_us);
}

/* Writes the request that is sent to the endpoint. */
static GString *
write_request(
	struct comet_proxy_request *relay, const struct comet_instance *instance, uint64_t now_us)
{
	const GByteArray *body = relay->request->body;
	struct comet_forward_params forward = {
		.left_ms = MAX((relay->deadline_us - now_us) / 1000, 1),
		.instance = instance->id,
		.team = relay->team != NULL ? relay->team->name : NULL,
		.last_event = relay->resuming ? comet_event_stream_last_id(relay->events) : NULL,
		.body_bytes = body->len,
	};
	GString *out = g_string_sized_new(1024 + body->len);

	comet_forward_write_head(out, relay->request->head, relay->gateway->names, &forward);
	g_string_append_len(out, (const char *)body->data, body->len);
	return out;
}

/* Returns whether the response may be completed by another attempt. A response that was started can
 * only be resumed if it is a stream whose events have ids. Otherwise the caller would receive the
 * output of two runs as one response. */
static bool
can_be_continued(const struct comet_proxy_request *relay)
{
	if (!relay->response_started)
		return true;
	return comet_proxy_request_is_stream(relay) &&
	       comet_event_stream_last_id(relay->events) != NULL;
}

/* Returns the time of the endpoint's last activity for the silence timeout. The endpoint is not
 * silent while reading is paused for a slow caller, nor while received data has not been read yet:
 * after this process had been stopped, healthy endpoints with unread data counted as silent. */
static uint64_t
last_activity_us(const struct comet_proxy_request *relay, uint64_t now_us)
{
	if (relay->upstream_paused || comet_exchange_has_pending_events(relay->exchange))
		return now_us;
	return MAX(relay->sent_us, relay->last_us);
}

static void
on_silence_timeout(void *ctx)
{
	struct comet_proxy_request *relay = ctx;
	uint64_t now_us = comet_timers_now_us();
	uint64_t last_us = last_activity_us(relay, now_us);

	relay->silence_timer = NULL;
	if (now_us - last_us < relay->silence_timeout_us)
	{
		relay->silence_timer = comet_timers_add(relay->gateway->timers, relay,
			relay->silence_timeout_us - (now_us - last_us), on_silence_timeout, relay);
		return;
	}
	struct comet_instance *instance = comet_proxy_request_instance(relay);
	bool ejected =
		instance != NULL && comet_instance_eject_if_silent(instance, last_us, now_us);
	comet_log(COMET_LOG_NOTICE,
		"event=silent request=%s endpoint=%s silent_ms=%" G_GUINT64_FORMAT
		" ejected=%d events=%u body_bytes=%" G_GUINT64_FORMAT,
		relay->id, relay->instance_id, comet_proxy_request_elapsed_ms(last_us, now_us),
		ejected, comet_proxy_request_events(relay), relay->attempt_body_bytes);
	if (!comet_route_is_retryable(relay->route) || !can_be_continued(relay) ||
		!comet_proxy_request_may_retry(relay))
		return; /* keep waiting for this endpoint */
	relay->may_have_run = true;
	comet_proxy_request_end_attempt(relay, COMET_DISPATCH_SILENT);
	relay->resuming = relay->response_started;
	comet_proxy_request_retry(relay, "silent");
}

static void
start_silence_timer(
	struct comet_proxy_request *relay, const struct comet_instance *instance, uint64_t now_us)
{
	uint64_t first_us = 0;
	uint64_t total_us = 0;

	comet_instance_estimate(instance, &relay->item.job, now_us, &first_us, &total_us);
	relay->silence_timeout_us = MAX(SILENCE_FACTOR * first_us, SILENCE_MIN_US);
	relay->silence_timer = comet_timers_add(relay->gateway->timers, relay,
		relay->silence_timeout_us, on_silence_timeout, relay);
}

/* A process that has ended does not answer. Probing breaks the connection within two seconds;
 * otherwise a request that may not be retried would wait until its deadline. An attempt that the
 * new process accepted before this VM knew of the restart continues, since its connection is
 * intact. */
void
comet_proxy_request_probe_previous_incarnation(
	struct comet_gateway *gateway, const char *id, uint64_t process_start_ms)
{
	for (GList *at = gateway->active_attempts.head; at != NULL; at = at->next)
	{
		const struct comet_proxy_request *relay = at->data;
		if (relay->process_start_ms == process_start_ms ||
			strcmp(relay->instance_id, id) != 0)
			continue;
		comet_log(COMET_LOG_INFO,
			"event=probed request=%s endpoint=%s born=%" G_GUINT64_FORMAT, relay->id,
			id, relay->process_start_ms);
		comet_exchange_probe(relay->exchange);
	}
}

void
comet_proxy_request_attempt_failed(
	struct comet_proxy_request *relay, enum comet_dispatch_result result)
{
	relay->may_have_run = true;
	comet_log(COMET_LOG_NOTICE,
		"event=attempt_failed request=%s endpoint=%s result=%s status=%u events=%u "
		"body_bytes=%" G_GUINT64_FORMAT,
		relay->id, relay->instance_id, comet_dispatch_result_name(result),
		relay->head != NULL ? relay->head->status : 0, comet_proxy_request_events(relay),
		relay->attempt_body_bytes);
	comet_proxy_request_end_attempt(relay, result);
	if (!can_be_continued(relay))
	{
		comet_proxy_request_abort(relay, "endpoint_broke");
		return;
	}
	if (!comet_proxy_request_may_retry(relay))
	{
		comet_proxy_request_fail(relay, 502, "endpoint_broke");
		return;
	}
	relay->resuming = relay->response_started;
	comet_proxy_request_retry(relay, "endpoint_broke");
}

void
comet_proxy_request_attempt_refused(struct comet_proxy_request *relay)
{
	bool wrong_instance = relay->head->status == 421;
	const char *retry_after = comet_http_head_get(relay->head, "Retry-After");
	uint32_t retry_after_ms = 0;

	if (retry_after != NULL && !comet_header_parse_seconds(retry_after, &retry_after_ms))
		comet_log(COMET_LOG_NOTICE,
			"event=header_ignored request=%s endpoint=%s header=Retry-After", relay->id,
			relay->instance_id);
	comet_log(COMET_LOG_INFO,
		"event=endpoint_refused request=%s endpoint=%s status=%u "
		"body_bytes=%" G_GUINT64_FORMAT,
		relay->id, relay->instance_id, relay->head->status, relay->attempt_body_bytes);
	comet_proxy_request_end_attempt(
		relay, wrong_instance ? COMET_DISPATCH_WRONG_INSTANCE : COMET_DISPATCH_REFUSED);
	if (comet_proxy_request_may_retry(relay))
		comet_proxy_request_retry(
			relay, wrong_instance ? "wrong_instance" : "endpoint_full");
	else if (relay->response_started)
		comet_proxy_request_abort(relay, "endpoint_full");
	else
		comet_proxy_request_refuse(relay, "endpoint_full", MAX(retry_after_ms, 200));
}

/* Sends the request to the endpoint that placement has selected. */
static void
on_dispatch(void *ctx, struct comet_placement_item *item, struct comet_instance *instance)
{
	struct comet_gateway *gateway = ctx;
	struct comet_proxy_request *relay = item->owner;
	const struct comet_placement_decision *reason =
		comet_placement_decision(gateway->placement);
	uint64_t now_us = comet_timers_now_us();
	GString *bytes = write_request(relay, instance, now_us);
	char keeper[COMET_IPV4_TEXT_BYTES];
	struct comet_exchange_request attempt = {
		.instance = instance->id,
		.address = instance->address,
		.bytes = bytes->str,
		.length = bytes->len,
		.id_header = gateway->names->request_id,
		.id = relay->id,
		.head_only = strcmp(relay->request->head->method, "HEAD") == 0,
		.new_connection = relay->retry_same_endpoint,
		.counted = &gateway->bytes[COMET_GATEWAY_USE_ENDPOINTS],
	};

	comet_log(COMET_LOG_INFO,
		"event=sent request=%s endpoint=%s load=%u slots=%u candidates=%u with_room=%u "
		"waited_ms=%" G_GUINT64_FORMAT " expect_first_ms=%" G_GUINT64_FORMAT
		" view_age_ms=%" G_GUINT64_FORMAT
		" relative_latency=%.2f attempt=%u after_events=%u owner=%s",
		relay->id, instance->id, reason->load, reason->slots, reason->candidates,
		reason->with_room, reason->waited_us / 1000, reason->first_us / 1000,
		reason->view_age_us / 1000, instance->pace, relay->attempts + 1,
		comet_proxy_request_events(relay),
		item->keeper != 0 ? comet_datagram_socket_format_address(item->keeper, keeper)
				  : "-");
	if (relay->attempts == 0)
		comet_latency_histogram_add(
			&gateway->times[relay->route->kind].waited, now_us - relay->arrived_us);
	if (relay->attempts == 0)
		comet_retry_budget_first(gateway->retries, relay->service, now_us);
	if (relay->resuming)
		gateway->counts.resumed++;
	gateway->counts.dispatched++;
	relay->attempts++;
	relay->not_run = false;
	relay->upstream_paused = false;
	relay->sent_us = now_us;
	relay->first_byte_us = 0;
	relay->last_us = 0;
	relay->attempt_body_bytes = 0;
	relay->prior_events = comet_proxy_request_events(relay);
	relay->instance_id = talloc_strdup(relay, instance->id);
	relay->process_start_ms = instance->process_start_ms;
	relay->incarnation_key = instance->key;
	g_queue_push_tail(&gateway->active_attempts, relay);
	relay->attempt_link = g_queue_peek_tail_link(&gateway->active_attempts);
	comet_instance_started(instance, &item->job);
	relay->exchange = comet_upstream_send(
		gateway->upstream, relay, &attempt, &comet_proxy_request_response_events, relay);
	start_silence_timer(relay, instance, now_us);
	g_string_free(bytes, TRUE);
}

static void
on_refuse(void *ctx, struct comet_placement_item *item, uint32_t retry_after_ms)
{
	const struct comet_gateway *gateway = ctx;
	struct comet_proxy_request *relay = item->owner;
	bool evacuated = comet_placement_is_evacuated(gateway->placement, item);

	if (relay->response_started)
		comet_proxy_request_abort(relay, "no_endpoint");
	else
		comet_proxy_request_refuse(
			relay, evacuated ? "evacuated" : "no_room", retry_after_ms);
}

const struct comet_placement_ops comet_gateway_placement_ops = {
	.dispatch = on_dispatch,
	.refuse = on_refuse,
	.keeper = comet_gateway_find_shard_owner,
	.ask = comet_gateway_request_slot,
	.forget = comet_gateway_cancel_slot_request,
	.grant = comet_gateway_grant_slot,
};
