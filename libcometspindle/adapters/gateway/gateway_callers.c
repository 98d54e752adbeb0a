/*
 * gateway_callers.c
 * what the gateway does when callers send requests, disconnect, or have read what was queued
 */
#include <libcometspindle/adapters/gateway/proxy_request.h>

#include <libcometspindle/log.h>

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
		proxy->id, proxy->attempt != NULL ? proxy->attempt->instance_id : "-",
		comet_proxy_request_elapsed_ms(proxy->arrived_us, comet_timers_now_us()),
		proxy->response_started);
	if (proxy->attempt != NULL)
		comet_proxy_request_end_attempt(proxy, COMET_DISPATCH_CANCELLED);
	comet_proxy_request_count_end(proxy, "caller_left");
	comet_proxy_request_close(proxy);
}

static void
on_caller_drained(void *ctx, struct comet_http_server_request *request)
{
	struct comet_proxy_request *proxy = request->user;

	(void)ctx;
	if (proxy == NULL || proxy->attempt == NULL || !proxy->attempt->upstream_paused ||
		proxy->attempt->exchange == NULL)
		return;
	proxy->attempt->upstream_paused = false;
	proxy->attempt->last_byte_us =
		comet_timers_now_us(); /* the pause does not count as silence */
	comet_exchange_pause(proxy->attempt->exchange, false);
}

static void
on_update_link(void *ctx)
{
	struct comet_gateway *gateway = ctx;
	const struct comet_byte_counters *const traffic[] = {
		&gateway->bytes[COMET_GATEWAY_USE_CALLERS],
		&gateway->bytes[COMET_GATEWAY_USE_ENDPOINTS],
		&gateway->crossing[COMET_GATEWAY_USE_ENDPOINTS],
	};
	uint64_t sent = 0;

	for (size_t i = 0; i < G_N_ELEMENTS(traffic); i++)
	{
		sent += traffic[i]->sent;
	}
	comet_link_share_update(gateway->link, sent,
		gateway->bytes[COMET_GATEWAY_USE_CALLERS].received, comet_timers_now_us());
	comet_link_share_set_control(
		gateway->link, gateway->resyncing != NULL || gateway->fetching_document != NULL ||
				       gateway->directory->ops->is_receiving(gateway->directory));
}

const struct comet_http_server_events comet_gateway_caller_events = {
	.request = comet_proxy_request_handle,
	.gone = on_caller_disconnected,
	.update_link = on_update_link,
	.drained = on_caller_drained};

void
comet_gateway_callers_put_metrics(const struct comet_gateway *gateway, GString *out)
{
	const struct comet_http_server_counts *counts = comet_http_server_counts(gateway->callers);
	const struct
	{
		const char *name;
		uint64_t count;
	} counters[] = {
		{"connections_closed_unfinished_total", counts->closed_unfinished},
		{"connections_displaced_total", counts->displaced},
		{"connections_refused_unread_total", counts->refused_unread},
		{"data_after_close_total", counts->late},
		{"requests_refused_memory_total", counts->refused_memory},
		{"requests_waited_unread_total", counts->waited},
	};

	for (size_t i = 0; i < G_N_ELEMENTS(counters); i++)
		g_string_append_printf(out,
			"# TYPE comet_%s counter\ncomet_%s %" G_GUINT64_FORMAT "\n",
			counters[i].name, counters[i].name, counters[i].count);
	g_string_append_printf(out,
		"# TYPE comet_body_bytes_reserved gauge\n"
		"comet_body_bytes_reserved %" G_GUINT64_FORMAT "\n",
		comet_caller_budget_body_bytes(gateway->caller_budget));
	g_string_append_printf(out,
		"# TYPE comet_caller_bytes gauge\ncomet_caller_bytes %" G_GUINT64_FORMAT "\n",
		comet_caller_budget_occupied_bytes(gateway->caller_budget));
}
