/*
 * gateway_send.c
 * attempts of a proxy request: sending, silence timeouts and retries
 */
#include <libcometspindle/adapters/gateway/proxy_request.h>

#include <libcometspindle/adapters/gateway/forward_head.h>
#include <libcometspindle/adapters/gateway/gateway_returns.h>
#include <libcometspindle/adapters/gateway/gateway_reachability.h>
#include <libcometspindle/adapters/gateway/gateway_streams.h>
#include <libcometspindle/gateway/replacement.h>
#include <libcometspindle/log.h>
#include <string.h>
#include <talloc.h>

/* An endpoint counts as silent after this multiple of the expected time to the first byte, and not
 * before the minimum below: a lost packet is retransmitted within a quarter of a second. */
#define SILENCE_FACTOR 4
#define SILENCE_MIN_US 600000

/* Retry-After of a resumed stream if no endpoint of its version is left. None usually comes back.
 */
#define VERSION_GONE_RETRY_MS 5000

/* Returns whether the request may have crashed endpoints. The crash of a silent endpoint is
 * confirmed only seconds later, and the request must not be sent to further endpoints in that
 * time. */
static bool
is_held_back_as_suspect(const struct comet_proxy_request *proxy, uint64_t now_us)
{
	return comet_proxy_request_is_quarantined(proxy) ||
	       comet_proxy_request_is_undecided(proxy, now_us);
}

bool
comet_proxy_request_may_retry(struct comet_proxy_request *proxy)
{
	struct comet_gateway *gateway = proxy->gateway;
	uint64_t now_us = comet_timers_now_us();

	if (proxy->may_have_run && !comet_route_is_retryable(proxy->route))
		return false;
	if (is_held_back_as_suspect(proxy, now_us))
		return false;
	if (proxy->attempts >= MAX(proxy->route->max_attempts, 1) || now_us >= proxy->deadline_us)
		return false;
	if (proxy->attempts == 0)
		return true;
	if (!proxy->has_retry_token)
		proxy->has_retry_token =
			comet_retry_budget_take(gateway->retries, proxy->service, now_us);
	return proxy->has_retry_token;
}

/* Returns whether the quota of the request was left to another VM, so that this VM must not send it
 * to an endpoint. */
static bool
is_uncharged(const struct comet_proxy_request *proxy)
{
	return proxy->peer_attempts > 0 && !proxy->quota_charged && proxy->team != NULL &&
	       proxy->team->rate_per_s > 0;
}

/* Returns whether the version of a started stream is not known: the VM that it went through runs an
 * earlier release. */
static bool
needs_version(const struct comet_proxy_request *proxy)
{
	return proxy->resuming && comet_proxy_request_is_stream(proxy) &&
	       proxy->item.version_id == 0;
}

static void
send_retry(struct comet_proxy_request *proxy, const char *reason);

static void
on_version_known(struct comet_proxy_request *proxy, uint64_t now_us)
{
	(void)now_us;
	send_retry(proxy, proxy->retry_reason);
}

/* Sends the request through another VM if the links are lost, and otherwise queues it again. */
static void
send_retry(struct comet_proxy_request *proxy, const char *reason)
{
	struct comet_gateway *gateway = proxy->gateway;
	uint64_t now_us = comet_timers_now_us();

	if (needs_version(proxy))
	{
		proxy->retry_reason = reason;
		comet_gateway_streams_resolve(
			proxy, on_version_known, comet_proxy_request_version_unknown);
		return;
	}
	if (comet_proxy_request_send_through_peer(proxy))
		return;
	if (proxy->replacing &&
		(comet_gateway_links_are_lost(gateway->links) || is_uncharged(proxy) ||
			!comet_placement_has_unattempted(gateway->placement, &proxy->item)))
	{
		comet_proxy_request_cancel_replacement(proxy, "no_endpoint");
		return;
	}
	if (is_uncharged(proxy))
	{
		comet_proxy_request_fail(proxy, 502, reason);
		return;
	}
	if (!comet_placement_has_unattempted(gateway->placement, &proxy->item))
	{
		proxy->item.n_attempted = 0; /* all endpoints have been tried: allow them again */
		proxy->retry_same_endpoint = true;
	}
	proxy->item.dispatch_deadline_us = MAX(proxy->item.dispatch_deadline_us,
		now_us + comet_proxy_request_remaining_ms(proxy, now_us) * 1000 / 2);
	proxy->item.response_started = proxy->response_started;
	proxy->item.replaces_attempt = proxy->replacing;
	/* Once the response has started, the relevant latency is the gap that the caller sees. */
	if (proxy->response_started)
		proxy->item.soft_deadline_us =
			now_us + (uint64_t)proxy->route->target_gap_ms * 1000;
	comet_placement_submit(gateway->placement, &proxy->item, now_us);
}

/* Holds a request until a check of the links has ended. */
static void
hold(struct comet_proxy_request *proxy, const char *reason)
{
	struct comet_gateway *gateway = proxy->gateway;

	proxy->retry_reason = reason;
	g_queue_push_tail(&gateway->held_retries, proxy);
	proxy->held_link = g_queue_peek_tail_link(&gateway->held_retries);
}

static void
send_or_hold(struct comet_proxy_request *proxy, const char *reason)
{
	const struct comet_gateway *gateway = proxy->gateway;

	if (comet_gateway_links_are_checked(gateway->links) &&
		!comet_gateway_links_are_lost(gateway->links))
		hold(proxy, reason);
	else
		send_retry(proxy, reason);
}

void
comet_proxy_request_retry(struct comet_proxy_request *proxy, const char *reason)
{
	struct comet_gateway *gateway = proxy->gateway;

	gateway->counts.retried++;
	comet_log(COMET_LOG_INFO,
		"event=retried request=%s reason=%s attempts=%u events=%u "
		"unfinished_bytes=%" G_GUINT64_FORMAT,
		proxy->id, reason, proxy->attempts, comet_proxy_request_events(proxy),
		proxy->unfinished_bytes);
	send_or_hold(proxy, reason);
}

/* Returns whether a request whose attempts are used up is held. If the next check finds that the
 * links are lost, the last attempt went to an endpoint that this VM was cut off from, and does not
 * count. Only a started response is worth the wait: other callers can repeat their request. */
static bool
hold_after_last_attempt(
	struct comet_proxy_request *proxy, enum comet_dispatch_result result, bool was_direct)
{
	struct comet_gateway *gateway = proxy->gateway;
	uint64_t now_us = comet_timers_now_us();

	if (!was_direct || proxy->from_peer || !proxy->response_started ||
		!comet_gateway_links_may_cause(result) || !comet_route_is_retryable(proxy->route) ||
		now_us >= proxy->deadline_us ||
		proxy->attempts < MAX(proxy->route->max_attempts, 1) ||
		is_held_back_as_suspect(proxy, now_us))
		return false;
	proxy->held_after_last = true;
	hold(proxy, "endpoint_broke");
	comet_gateway_links_hurry(gateway->links);
	return true;
}

/* Sends a held request whose attempts are used up through another VM, or ends it. The attempt
 * replaces the last one, and takes no further token of the retry budget. */
static void
end_hold_after_last_attempt(struct comet_proxy_request *proxy)
{
	struct comet_gateway *gateway = proxy->gateway;

	proxy->held_after_last = false;
	if (comet_gateway_links_are_lost(gateway->links))
	{
		proxy->attempts--;
		proxy->resuming = proxy->response_started;
		if (!needs_version(proxy) && comet_proxy_request_send_through_peer(proxy))
			return;
	}
	comet_proxy_request_fail(proxy, 502, proxy->retry_reason);
}

static void
send_held_retries(struct comet_gateway *gateway)
{
	GList *link = NULL;

	/* A new check may begin, and hold the remaining retries for its own result. */
	while (!comet_gateway_links_are_checked(gateway->links) &&
		(link = gateway->held_retries.head) != NULL)
	{
		struct comet_proxy_request *proxy = link->data;
		proxy->held_link = NULL;
		g_queue_delete_link(&gateway->held_retries, link);
		if (proxy->held_after_last)
			end_hold_after_last_attempt(proxy);
		else
			send_retry(proxy, proxy->retry_reason);
	}
}

/* Returns whether the response may be completed by another attempt. A response that was started can
 * only be resumed if it is a stream whose events have ids. Otherwise the caller would receive the
 * output of two runs as one response. */
static bool
can_be_continued(const struct comet_proxy_request *proxy)
{
	if (!proxy->response_started)
		return true;
	return comet_proxy_request_is_stream(proxy) &&
	       comet_event_stream_last_id(proxy->events) != NULL;
}

/* Returns the time of the endpoint's last activity for the silence timeout. The endpoint is not
 * silent while reading is paused for a slow caller, nor while received data has not been read yet:
 * after this process had been stopped, healthy endpoints with unread data counted as silent. */
static uint64_t
last_activity_us(const struct comet_proxy_request *proxy, uint64_t now_us)
{
	if (proxy->attempt->upstream_paused ||
		comet_exchange_has_pending_events(proxy->attempt->exchange))
		return now_us;
	return MAX(proxy->attempt->sent_us, proxy->attempt->last_byte_us);
}

/* Gives up a silent attempt whose caller has received nothing, if the request may be sent again. */
static void
give_up_unstarted(struct comet_proxy_request *proxy)
{
	if (!comet_proxy_request_may_retry(proxy))
		return;
	proxy->may_have_run = true;
	comet_proxy_request_end_attempt(proxy, proxy->attempt->type->give_up(proxy->attempt));
	comet_proxy_request_retry(proxy, "silent");
}

/* Requests a slot for the next attempt of a started response, whose endpoint is silent. The current
 * attempt goes on until the next one is sent: given up before, the response would be cut off if the
 * owner denied the slot. */
static void
request_replacement(struct comet_proxy_request *proxy, uint64_t now_us)
{
	struct comet_gateway *gateway = proxy->gateway;

	if (!comet_proxy_request_may_retry(proxy))
	{
		comet_attempt_check_silence_after(proxy->attempt, COMET_SILENCE_RECHECK_US);
		return;
	}
	gateway->counts.replacements_requested++;
	proxy->replacing = true;
	proxy->replacement_requested_us = now_us;
	comet_log(COMET_LOG_INFO,
		"event=replacement_requested request=%s endpoint=%s attempts=%u max_attempts=%u "
		"events=%u silent_ms=%" G_GUINT64_FORMAT,
		proxy->id, proxy->attempt->instance_id, proxy->attempts, proxy->route->max_attempts,
		comet_proxy_request_events(proxy),
		comet_proxy_request_elapsed_ms(last_activity_us(proxy, now_us), now_us));
	if (!proxy->attempt->silence_reported)
		comet_gateway_links_attempt_ended(gateway->links, COMET_DISPATCH_SILENT);
	proxy->attempt->silence_reported = true;
	send_or_hold(proxy, "silent");
}

static void
on_silence_timeout(void *ctx)
{
	struct comet_proxy_request *proxy = ctx;
	struct comet_gateway *gateway = proxy->gateway;
	uint64_t now_us = comet_timers_now_us();
	uint64_t last_us = last_activity_us(proxy, now_us);

	proxy->attempt->silence_timer = NULL;
	if (now_us - last_us < proxy->attempt->silence_timeout_us)
	{
		comet_attempt_check_silence_after(
			proxy->attempt, proxy->attempt->silence_timeout_us - (now_us - last_us));
		return;
	}
	struct comet_instance *instance = comet_proxy_request_instance(proxy);
	/* Each silence ejects the endpoint only once. When every check ejected it again, it was
	 * closed to the streams of other silent endpoints until their deadlines. */
	bool ejected = instance != NULL && proxy->attempt->ejected_for_us != last_us &&
		       comet_instance_eject_if_silent(instance, last_us, now_us);
	proxy->attempt->ejected_for_us = last_us;
	comet_log(COMET_LOG_NOTICE,
		"event=silent request=%s endpoint=%s silent_ms=%" G_GUINT64_FORMAT
		" ejected=%d events=%u body_bytes=%" G_GUINT64_FORMAT,
		proxy->id, proxy->attempt->instance_id,
		comet_proxy_request_elapsed_ms(last_us, now_us), ejected,
		comet_proxy_request_events(proxy), proxy->attempt->body_bytes);
	const struct comet_replacement_input input = {
		.retryable = comet_route_is_retryable(proxy->route),
		.can_be_continued = can_be_continued(proxy),
		.started = proxy->response_started,
		.version_known =
			!comet_proxy_request_is_stream(proxy) || proxy->item.version_id != 0,
		.suspect = is_held_back_as_suspect(proxy, now_us),
		.has_room = proxy->response_started &&
			    comet_placement_has_room(gateway->placement, &proxy->item, now_us),
		.attempts = proxy->attempts,
		.max_attempts = proxy->route->max_attempts,
		.now_us = now_us,
		.deadline_us = proxy->deadline_us,
	};
	switch (comet_replacement_decide(&input))
	{
	case COMET_REPLACEMENT_KEEP:
		break;
	case COMET_REPLACEMENT_RECHECK:
		comet_attempt_check_silence_after(proxy->attempt, COMET_SILENCE_RECHECK_US);
		break;
	case COMET_REPLACEMENT_REQUEST_SLOT:
		request_replacement(proxy, now_us);
		break;
	case COMET_REPLACEMENT_GIVE_UP:
		give_up_unstarted(proxy);
		break;
	}
}

static void
start_silence_timer(
	struct comet_proxy_request *proxy, const struct comet_instance *instance, uint64_t now_us)
{
	uint64_t first_us = 0;
	uint64_t total_us = 0;

	comet_instance_estimate(instance, &proxy->item.size, now_us, &first_us, &total_us);
	proxy->attempt->silence_timeout_us = MAX(SILENCE_FACTOR * first_us, SILENCE_MIN_US);
	proxy->attempt->on_silence = on_silence_timeout;
	comet_attempt_check_silence_after(proxy->attempt, proxy->attempt->silence_timeout_us);
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
		const struct comet_proxy_request *proxy = at->data;
		if (proxy->attempt->process_start_ms == process_start_ms ||
			strcmp(proxy->attempt->instance_id, id) != 0)
			continue;
		comet_log(COMET_LOG_INFO,
			"event=probed request=%s endpoint=%s born=%" G_GUINT64_FORMAT, proxy->id,
			id, proxy->attempt->process_start_ms);
		comet_exchange_probe(proxy->attempt->exchange);
	}
}

/* Goes on with the replacement of an attempt that has ended by itself: as after a broken attempt,
 * with the same slot request. @return false if nothing is held or requested any more, or if the
 * request must not be sent again, so that the replacement was cancelled */
static bool
continue_replacement(struct comet_proxy_request *proxy)
{
	struct comet_gateway *gateway = proxy->gateway;

	if (proxy->held_link == NULL && !comet_placement_is_pending(&proxy->item))
		return false;
	if (comet_proxy_request_may_retry(proxy))
	{
		proxy->resuming = proxy->response_started;
		comet_proxy_request_log_replaced(proxy, "endpoint_broke");
		return true;
	}
	gateway->counts.replacements_cancelled++;
	comet_placement_cancel(gateway->placement, &proxy->item);
	comet_proxy_request_unhold(proxy);
	return false;
}

void
comet_proxy_request_attempt_failed(
	struct comet_proxy_request *proxy, enum comet_dispatch_result result)
{
	bool was_direct = proxy->attempt->peer_vm == 0;
	bool replacing = proxy->replacing;

	proxy->may_have_run = true;
	comet_log(COMET_LOG_NOTICE,
		"event=attempt_failed request=%s endpoint=%s result=%s status=%u events=%u "
		"body_bytes=%" G_GUINT64_FORMAT,
		proxy->id, proxy->attempt->instance_id, comet_dispatch_result_name(result),
		proxy->attempt->head != NULL ? proxy->attempt->head->status : 0,
		comet_proxy_request_events(proxy), proxy->attempt->body_bytes);
	proxy->replacing = false;
	proxy->item.replaces_attempt = false;
	comet_proxy_request_end_attempt(proxy, result);
	if (replacing && continue_replacement(proxy))
		return;
	if (!can_be_continued(proxy))
	{
		comet_proxy_request_abort(proxy, "endpoint_broke");
		return;
	}
	if (comet_proxy_request_may_retry(proxy))
	{
		proxy->resuming = proxy->response_started;
		comet_proxy_request_retry(proxy, "endpoint_broke");
	}
	else if (!hold_after_last_attempt(proxy, result, was_direct))
		comet_proxy_request_fail(proxy, 502, "endpoint_broke");
}

static void
retry_later(struct comet_proxy_request *proxy);

static void
on_retry_due(void *ctx)
{
	struct comet_proxy_request *proxy = ctx;

	if (comet_proxy_request_may_retry(proxy))
		comet_proxy_request_retry(proxy, "endpoint_full");
	else
		retry_later(proxy);
}

/* Tries a started response again once the retry budget allows it. Its deadline ends the wait. */
static void
retry_later(struct comet_proxy_request *proxy)
{
	comet_timers_add(
		proxy->gateway->timers, proxy, COMET_SILENCE_RECHECK_US, on_retry_due, proxy);
}

void
comet_proxy_request_attempt_refused(struct comet_proxy_request *proxy)
{
	bool wrong_instance = proxy->attempt->head->status == 421;
	const char *retry_after = comet_http_head_get(proxy->attempt->head, "Retry-After");
	uint32_t retry_after_ms = 0;

	if (retry_after != NULL && !comet_header_parse_seconds(retry_after, &retry_after_ms))
		comet_log(COMET_LOG_NOTICE,
			"event=header_ignored request=%s endpoint=%s header=Retry-After", proxy->id,
			proxy->attempt->instance_id);
	comet_log(COMET_LOG_INFO,
		"event=endpoint_refused request=%s endpoint=%s status=%u "
		"body_bytes=%" G_GUINT64_FORMAT,
		proxy->id, proxy->attempt->instance_id, proxy->attempt->head->status,
		proxy->attempt->body_bytes);
	comet_proxy_request_end_attempt(
		proxy, wrong_instance ? COMET_DISPATCH_WRONG_INSTANCE : COMET_DISPATCH_REFUSED);
	/* A started response must not end because an endpoint did not run the request: the attempt
	 * before it, which was given up for this one, could still have finished it. */
	if (proxy->response_started)
		proxy->attempts--;
	if (comet_proxy_request_may_retry(proxy))
		comet_proxy_request_retry(
			proxy, wrong_instance ? "wrong_instance" : "endpoint_full");
	else if (proxy->response_started && comet_timers_now_us() < proxy->deadline_us)
		retry_later(proxy);
	else if (proxy->response_started)
		comet_proxy_request_abort(proxy, "endpoint_full");
	else
		comet_proxy_request_refuse(proxy, "endpoint_full", MAX(retry_after_ms, 200));
}

/* Returns the age of the slowdown that the endpoint stated, for the log; -1 if it stated none. */
static int64_t
slowdown_age_ms(const struct comet_instance *instance, uint64_t now_us)
{
	return instance->speed.stated_us != 0
		       ? (int64_t)((now_us - MIN(instance->speed.stated_us, now_us)) / 1000)
		       : -1;
}

/* Sends the request to the endpoint that placement has selected. */
static void
on_dispatch(void *ctx, struct comet_placement_item *item, struct comet_instance *instance)
{
	struct comet_gateway *gateway = ctx;
	struct comet_proxy_request *proxy = item->user_data;
	/* A copy, since the end of the replaced attempt may lead to other decisions, which
	 * overwrite this one. */
	const struct comet_placement_decision decision =
		*comet_placement_decision(gateway->placement);
	const struct comet_placement_decision *reason = &decision;
	uint64_t now_us = comet_timers_now_us();
	char owner_vm[COMET_IPV4_TEXT_BYTES];

	comet_proxy_request_give_up_replaced(proxy);
	comet_log(COMET_LOG_INFO,
		"event=sent request=%s endpoint=%s load=%u slots=%u candidates=%u with_room=%u "
		"waited_ms=%" G_GUINT64_FORMAT " expect_first_ms=%" G_GUINT64_FORMAT
		" view_age_ms=%" G_GUINT64_FORMAT
		" relative_latency=%.2f slowdown=%.2f slowdown_age_ms=%" G_GINT64_FORMAT
		" attempt=%u after_events=%u owner=%s limit_per_s=%.3f software=%s"
		" slot_ms=%" G_GUINT64_FORMAT " mean_slot_ms=%" G_GUINT64_FORMAT
		" delay_ms=%" G_GUINT64_FORMAT " advanced=%d returned=%d spared_fast=%d near=%d",
		proxy->id, instance->id, reason->load, reason->slots, reason->candidates,
		reason->with_room, reason->waited_us / 1000, reason->first_us / 1000,
		reason->gossip_age_us / 1000, comet_instance_relative_to_typical(instance),
		comet_current_speed_factor(&instance->speed, now_us),
		slowdown_age_ms(instance, now_us), proxy->attempts + 1,
		comet_proxy_request_events(proxy),
		item->owner_vm != 0 ? comet_datagram_socket_format_address(item->owner_vm, owner_vm)
				    : "-",
		instance->limit.active ? instance->limit.max_per_s : -1.0,
		instance->software_version, reason->slot_us / 1000, reason->mean_slot_us / 1000,
		reason->delay_us / 1000, reason->advanced, item->returned, reason->spared_fast,
		instance->near);
	if (proxy->attempts == 0)
		comet_latency_histogram_add(
			&gateway->times[proxy->route->kind].waited, now_us - proxy->arrived_us);
	if (proxy->attempts == 0)
		comet_retry_budget_record_first_attempt(gateway->retries, proxy->service, now_us);
	comet_attempt_begin_at_endpoint(proxy, instance, now_us);
	start_silence_timer(proxy, instance, now_us);
}

static void
on_refuse(void *ctx, struct comet_placement_item *item, uint32_t retry_after_ms)
{
	const struct comet_gateway *gateway = ctx;
	struct comet_proxy_request *proxy = item->user_data;
	const char *reason = "no_room";

	if (proxy->replacing)
	{
		comet_proxy_request_cancel_replacement(proxy, "no_slot");
		return;
	}
	if (comet_placement_is_evacuated(gateway->placement, item))
		reason = "evacuated";
	else if (comet_placement_version_is_gone(gateway->placement, item))
	{
		reason = "stream_version_gone";
		retry_after_ms = MAX(retry_after_ms, VERSION_GONE_RETRY_MS);
		item->retry_source = COMET_RETRY_OTHER;
	}
	if (proxy->response_started)
		comet_proxy_request_abort(proxy, "no_endpoint");
	else
	{
		if (item->retry_source != COMET_RETRY_OTHER && !proxy->may_have_run &&
			!comet_proxy_request_is_quarantined(proxy))
			comet_gateway_returns_refusing(proxy, retry_after_ms);
		comet_proxy_request_refuse(proxy, reason, retry_after_ms);
	}
}

const struct comet_placement_ops comet_gateway_placement_ops = {
	.dispatch = on_dispatch,
	.refuse = on_refuse,
	.find_owner = comet_gateway_find_shard_owner,
	.request_slot = comet_gateway_request_slot,
	.cancel_slot_request = comet_gateway_cancel_slot_request,
	.grant = comet_gateway_grant_slot,
	.count_preferred = comet_gateway_count_preferred,
	.find_caller = comet_gateway_returns_find_caller,
};

const struct comet_links_ops comet_gateway_links_ops = {
	.lost = comet_gateway_move_requests_to_peers, .checked = send_held_retries};
