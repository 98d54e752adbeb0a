/*
 * proxy_request.c
 * the end of a proxy request: response, refusal, failure or disconnected caller
 */
#include <libcometspindle/adapters/gateway/proxy_request.h>

#include <libcometspindle/adapters/gateway/gateway_crashes.h>
#include <libcometspindle/adapters/gateway/gateway_returns.h>
#include <libcometspindle/adapters/gateway/gateway_streams.h>

#include <libcometspindle/log.h>
#include <string.h>
#include <talloc.h>

void
comet_proxy_request_close(struct comet_proxy_request *proxy)
{
	struct comet_gateway *gateway = proxy->gateway;

	if (proxy->replacing)
		gateway->counts.replacements_cancelled++;
	comet_placement_cancel(gateway->placement, &proxy->item);
	comet_quota_requests_cancel(gateway->quota_requests, proxy);
	comet_gateway_streams_cancel(gateway->streams, proxy);
	comet_gateway_returns_cancel(gateway->returns, proxy);
	comet_gateway_return_part_trials(proxy);
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

static const char *
wait_source_name(enum comet_wait_source source)
{
	static const char *const names[] = {
		[COMET_WAIT_NONE] = "none",
		[COMET_WAIT_QUEUE] = "queue",
		[COMET_WAIT_OWNER] = "owner",
		[COMET_WAIT_EXPIRED] = "expired",
	};

	return names[source];
}

/* Answers with an error of the gateway, with these headers and text, and frees the request. */
static void
respond_error(struct comet_proxy_request *proxy, unsigned int status, const char *reason,
	uint32_t retry_after_ms, const char *headers, const char *text)
{
	struct comet_http_server_request *request = proxy->request;

	comet_log(COMET_LOG_NOTICE,
		"event=refused request=%s status=%u reason=%s retry_after_ms=%u retry_from=%s "
		"wait_from=%s expected_wait_ms=%" G_GUINT64_FORMAT
		" rank=%u late=%d elapsed_ms=%" G_GUINT64_FORMAT " attempts=%u",
		proxy->id, status, reason, retry_after_ms,
		comet_gateway_returns_source_name(proxy->item.retry_source),
		wait_source_name(proxy->item.wait_source), proxy->item.expected_wait_us / 1000,
		comet_placement_rank(&proxy->item), proxy->item.late,
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

/* The status is 503, or 502 if the request may have run: a part may be blamed by mistake, and is
 * tried again after the time that the caller is asked to wait. */
static void
refuse_quarantined_part(struct comet_proxy_request *proxy)
{
	static const char reason[] = "part_crashes_endpoints";

	proxy->gateway->counts.refused_parts++;
	if (proxy->may_have_run)
	{
		comet_proxy_request_respond_error(proxy, 502, reason, 0);
		return;
	}
	comet_proxy_request_refund_quota(proxy);
	comet_proxy_request_respond_error(
		proxy, 503, reason, (uint32_t)(comet_crash_tracker_parts.trial_us / 1000));
}

/* The status is 400 because callers do not retry it. 503 asks callers to retry later, and some
 * callers retry immediately after 502. */
void
comet_proxy_request_refuse_quarantined(struct comet_proxy_request *proxy)
{
	if (!comet_crash_tracker_is_quarantined(proxy->gateway->crash_tracker, &proxy->fingerprint))
	{
		refuse_quarantined_part(proxy);
		return;
	}
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
		uint64_t wait_us = 0;
		/* A request that waits for its quota or for the version of its stream has no queue
		 * yet. */
		if (proxy->item.service != NULL)
		{
			proxy->item.retry_source = COMET_RETRY_QUEUE;
			wait_us = comet_placement_wait_us(
				proxy->gateway->placement, &proxy->item, comet_timers_now_us());
		}
		comet_proxy_request_refuse(proxy, reason, (uint32_t)(wait_us / 1000));
		return;
	}
	proxy->gateway->counts.failed++;
	comet_proxy_request_respond_error(proxy, status, reason, 0);
}

/* Gives a request its final answer because this process ends. */
static void
end_stopping(struct comet_proxy_request *proxy)
{
	if (proxy->attempt != NULL)
	{
		proxy->may_have_run = proxy->may_have_run || proxy->attempt->exchange == NULL ||
				      comet_exchange_sent(proxy->attempt->exchange);
		comet_proxy_request_end_attempt(proxy, COMET_DISPATCH_CANCELLED);
	}
	if (proxy->response_started || proxy->may_have_run)
		comet_proxy_request_fail(proxy, 502, "stopping");
	else
		comet_proxy_request_refuse(proxy, "stopping", COMET_STOPPING_RETRY_MS);
}

void
comet_proxy_request_end_all(struct comet_gateway *gateway)
{
	GList *link = gateway->open_requests.head;

	/* Waiting requests first: the slots of the others would be given to them. */
	while (link != NULL)
	{
		struct comet_proxy_request *proxy = link->data;
		link = link->next;
		if (proxy->attempt != NULL)
			continue;
		end_stopping(proxy);
		link = gateway->open_requests.head; /* the call may have ended other requests too */
	}
	while ((link = gateway->open_requests.head) != NULL)
		end_stopping(link->data);
}

void
comet_proxy_request_version_unknown(struct comet_proxy_request *proxy, uint32_t retry_after_ms)
{
	if (proxy->response_started)
		comet_proxy_request_abort(proxy, "stream_version_unknown");
	else
		comet_proxy_request_refuse(proxy, "stream_version_unknown", retry_after_ms);
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
		if (!comet_proxy_request_is_quarantined(proxy))
			continue;
		comet_proxy_request_cancel_replacement(proxy, "quarantined");
		if (proxy->attempt != NULL)
			continue;
		comet_proxy_request_fail(proxy, 502, "crashes_endpoints");
		at = gateway->open_requests.head; /* the call may have ended other requests too */
	}
}
