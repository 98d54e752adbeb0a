/*
 * gateway_peer_attempt.c
 * sends requests through another VM while this VM reaches no endpoint
 *
 * The other VM handles such a request like that of any caller: it checks the key, charges the team
 * and places the request. This VM forwards the response.
 */
#include <libcometspindle/adapters/gateway/proxy_request.h>

#include <libcometspindle/adapters/gateway/forward_head.h>
#include <libcometspindle/adapters/gateway/gateway_reachability.h>
#include <libcometspindle/gateway/header_names.h>
#include <libcometspindle/log.h>
#include <string.h>
#include <talloc.h>

/* Other VMs that one request may be sent to. */
#define PEER_ATTEMPTS_MAX 3

/* Retry-After if another VM refused a request and stated no time. */
#define RETRY_AFTER_MS 200

/* Returns whether a response without the stamp of an endpoint promises that the request has not run
 * and will not. */
static bool
promises_not_run(uint16_t status)
{
	return status == 408 || status == 421 || status == 429 || status == 503;
}

static char *
write_request(const struct comet_proxy_request *proxy, uint64_t now_us, size_t *length)
{
	const GByteArray *body = proxy->request->body;
	struct comet_forward_params forward = {
		.remaining_ms = MAX((proxy->deadline_us - now_us) / 1000, 1),
		.last_event = proxy->resuming ? comet_event_stream_last_id(proxy->events) : NULL,
		.body_bytes = body->len,
		.to_peer = true,
		.version_id = proxy->item.version_id,
	};
	GString *out = g_string_sized_new(1024 + body->len);

	comet_forward_write_head(out, proxy->request->head, proxy->gateway->names, &forward);
	g_string_append_len(out, (const char *)body->data, body->len);
	*length = out->len;
	return g_string_free(out, FALSE);
}

/* @return the address on which a VM accepts callers; its port is the same on all VMs. */
static char *
callers_address(void *parent, const struct comet_gateway *gateway, uint32_t vm)
{
	char ip[COMET_IPV4_TEXT_BYTES];

	return talloc_asprintf(parent, "%s%s", comet_datagram_socket_format_address(vm, ip),
		strrchr(gateway->settings->callers, ':'));
}

static void
send_to(struct comet_proxy_request *proxy, uint32_t vm, uint64_t now_us)
{
	struct comet_gateway *gateway = proxy->gateway;
	size_t length = 0;
	char *bytes = write_request(proxy, now_us, &length);

	comet_proxy_request_begin_attempt(proxy, now_us);
	proxy->peer_vm = vm;
	proxy->peer_attempts++;
	proxy->instance_id = callers_address(proxy, gateway, vm);
	gateway->counts.peer_attempts++;
	comet_log(COMET_LOG_INFO,
		"event=sent_through_vm request=%s vm=%s attempt=%u after_events=%u", proxy->id,
		proxy->instance_id, proxy->attempts, comet_proxy_request_events(proxy));
	const struct comet_exchange_request attempt = {
		.instance = proxy->instance_id,
		.address = proxy->instance_id,
		.bytes = bytes,
		.length = length,
		.head_only = strcmp(proxy->request->head->method, "HEAD") == 0,
		.probe = true,
		.new_connection = true,
		.counted = &gateway->bytes[COMET_GATEWAY_USE_PEERS],
	};
	proxy->exchange = comet_upstream_send(
		gateway->upstream, proxy, &attempt, &comet_proxy_request_response_events, proxy);
	g_free(bytes);
}

bool
comet_proxy_request_send_through_peer(struct comet_proxy_request *proxy)
{
	struct comet_gateway *gateway = proxy->gateway;
	uint64_t now_us = comet_timers_now_us();

	if (!comet_gateway_links_are_lost(gateway->links) || proxy->from_peer ||
		proxy->peer_attempts >= PEER_ATTEMPTS_MAX || now_us >= proxy->deadline_us)
		return false;
	uint32_t vm = comet_gossip_pick_endpoint_peer(gateway->gossip, proxy->last_peer_vm,
		proxy->item.version_id != 0, comet_random_u32(&gateway->random));
	if (vm == 0)
		return false;
	proxy->last_peer_vm = vm;
	/* The other VM charges the team. An earlier attempt that may have run stays charged. */
	if (!proxy->may_have_run)
		comet_proxy_request_refund_quota(proxy);
	send_to(proxy, vm, now_us);
	return true;
}

/* Handles a refusal by the other VM. It has no room or is stopping, while a third VM may have room;
 * other refusals apply to all VMs. */
static void
handle_refusal(struct comet_proxy_request *proxy)
{
	uint16_t status = proxy->head->status;
	const char *retry_after = comet_http_head_get(proxy->head, "Retry-After");
	uint32_t retry_after_ms = 0;

	if (retry_after == NULL || !comet_header_parse_seconds(retry_after, &retry_after_ms))
		retry_after_ms = RETRY_AFTER_MS;
	comet_log(COMET_LOG_INFO, "event=vm_refused request=%s vm=%s status=%u", proxy->id,
		proxy->instance_id, status);
	proxy->attempts--;
	comet_proxy_request_end_attempt(proxy, COMET_DISPATCH_CANCELLED);
	if (status == 503 && comet_proxy_request_send_through_peer(proxy))
		return;
	if (proxy->response_started)
	{
		comet_proxy_request_abort(proxy, "vm_refused");
		return;
	}
	if (status == 429 && !proxy->may_have_run)
	{
		proxy->gateway->counts.refused_team++;
		comet_proxy_request_respond_error(proxy, 429, "vm_refused", retry_after_ms);
		return;
	}
	comet_proxy_request_refuse(proxy, "vm_refused", retry_after_ms);
}

bool
comet_proxy_request_handle_peer_failure(struct comet_proxy_request *proxy, bool from_endpoint)
{
	uint16_t status = proxy->head->status;

	if (proxy->peer_vm == 0 || from_endpoint || status < 400)
		return false;
	if (promises_not_run(status))
	{
		handle_refusal(proxy);
		return true;
	}
	if (status < 500)
		return false;
	comet_proxy_request_attempt_failed(proxy, COMET_DISPATCH_BROKEN);
	return true;
}

/* Moves a request to another VM if it waits for a slot or a connection. */
static bool
move_to_peer(struct comet_proxy_request *proxy)
{
	struct comet_gateway *gateway = proxy->gateway;

	if (proxy->attempt_link == NULL)
	{
		if (!comet_placement_is_pending(&proxy->item))
			return false;
		comet_placement_cancel(gateway->placement, &proxy->item);
	}
	else
	{
		if (proxy->peer_vm != 0 || comet_exchange_sent(proxy->exchange))
			return false;
		proxy->attempts--;
		comet_proxy_request_end_attempt(proxy, COMET_DISPATCH_UNREACHABLE);
	}
	if (!comet_proxy_request_send_through_peer(proxy))
		comet_placement_submit(gateway->placement, &proxy->item, comet_timers_now_us());
	return true;
}

void
comet_gateway_move_requests_to_peers(struct comet_gateway *gateway)
{
	/* A copy, because a request may end in the meantime; ended requests are no longer listed.
	 */
	GList *all = g_list_copy(gateway->open_requests.head);

	for (GList *at = all; at != NULL; at = at->next)
	{
		if (g_queue_find(&gateway->open_requests, at->data) != NULL)
			move_to_peer(at->data);
	}
	g_list_free(all);
}
