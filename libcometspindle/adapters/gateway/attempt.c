/*
 * attempt.c
 * an attempt of a proxy request: what attempts at endpoints and through other VMs have in common
 */
#include <libcometspindle/adapters/gateway/proxy_request.h>

#include <libcometspindle/log.h>
#include <talloc.h>

static int
attempt_destroy(struct comet_attempt *attempt)
{
	g_queue_delete_link(&attempt->proxy->gateway->active_attempts, attempt->link);
	return 0;
}

struct comet_attempt *
comet_attempt_create(
	struct comet_proxy_request *proxy, const struct comet_attempt_type *type, uint64_t now_us)
{
	struct comet_gateway *gateway = proxy->gateway;
	struct comet_attempt *attempt = talloc_zero(proxy, struct comet_attempt);

	if (proxy->resuming)
		gateway->counts.resumed++;
	proxy->attempts++;
	proxy->has_retry_token = false;
	proxy->attempt = attempt;
	attempt->type = type;
	attempt->proxy = proxy;
	attempt->sent_us = now_us;
	attempt->prior_events = comet_proxy_request_events(proxy);
	g_queue_push_tail(&gateway->active_attempts, proxy);
	attempt->link = g_queue_peek_tail_link(&gateway->active_attempts);
	talloc_set_destructor(attempt, attempt_destroy);
	return attempt;
}

void
comet_attempt_check_silence_after(struct comet_attempt *attempt, uint64_t delay_us)
{
	struct comet_proxy_request *proxy = attempt->proxy;

	comet_timer_cancel(&attempt->silence_timer);
	if (attempt->on_silence != NULL)
		attempt->silence_timer = comet_timers_add(
			proxy->gateway->timers, proxy, delay_us, attempt->on_silence, proxy);
}

void
comet_proxy_request_unhold(struct comet_proxy_request *proxy)
{
	if (proxy->held_link != NULL)
		g_queue_delete_link(&proxy->gateway->held_retries, proxy->held_link);
	proxy->held_link = NULL;
}

void
comet_proxy_request_log_replaced(struct comet_proxy_request *proxy, const char *reason)
{
	proxy->gateway->counts.retried++;
	proxy->gateway->counts.replaced++;
	comet_log(COMET_LOG_INFO,
		"event=retried request=%s reason=%s attempts=%u events=%u "
		"unfinished_bytes=%" G_GUINT64_FORMAT " requested_ms_ago=%" G_GUINT64_FORMAT,
		proxy->id, reason, proxy->attempts, comet_proxy_request_events(proxy),
		proxy->unfinished_bytes,
		comet_proxy_request_elapsed_ms(
			proxy->replacement_requested_us, comet_timers_now_us()));
}

void
comet_proxy_request_give_up_replaced(struct comet_proxy_request *proxy)
{
	struct comet_attempt *attempt = proxy->attempt;

	if (attempt == NULL)
		return;
	proxy->may_have_run = true;
	proxy->replacing = false;
	proxy->item.replaces_attempt = false;
	comet_proxy_request_unhold(proxy);
	comet_proxy_request_end_attempt(proxy, attempt->type->give_up(attempt));
	comet_proxy_request_log_replaced(proxy, "silent");
	proxy->resuming = proxy->response_started;
}

void
comet_proxy_request_cancel_replacement(struct comet_proxy_request *proxy, const char *reason)
{
	struct comet_gateway *gateway = proxy->gateway;

	if (!proxy->replacing)
		return;
	gateway->counts.replacements_cancelled++;
	comet_log(COMET_LOG_INFO,
		"event=replacement_cancelled request=%s endpoint=%s reason=%s attempts=%u "
		"events=%u requested_ms_ago=%" G_GUINT64_FORMAT,
		proxy->id, proxy->attempt->instance_id, reason, proxy->attempts,
		comet_proxy_request_events(proxy),
		comet_proxy_request_elapsed_ms(
			proxy->replacement_requested_us, comet_timers_now_us()));
	proxy->replacing = false;
	proxy->item.replaces_attempt = false;
	comet_placement_cancel(gateway->placement, &proxy->item);
	comet_proxy_request_unhold(proxy);
	comet_attempt_check_silence_after(proxy->attempt, COMET_SILENCE_RECHECK_US);
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
	struct comet_attempt *attempt = proxy->attempt;

	comet_timer_cancel(&attempt->silence_timer);
	attempt->type->end(attempt, result, comet_timers_now_us());
	discard_unsent_output(proxy);
	proxy->attempt = NULL;
	talloc_free(attempt);
}
