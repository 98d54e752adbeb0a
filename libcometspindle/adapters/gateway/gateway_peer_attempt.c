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

bool
comet_proxy_request_promises_not_run(uint16_t status)
{
	return status == 408 || status == 421 || status == 429 || status == 503;
}

static char *
write_request(const struct comet_proxy_request *proxy, uint64_t now_us, size_t *length)
{
	const GByteArray *body = proxy->request->body;
	struct comet_forward_params forward = {
		.remaining_ms = comet_proxy_request_remaining_ms(proxy, now_us),
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
begin(struct comet_attempt *attempt, struct comet_instance *instance, uint64_t now_us)
{
	struct comet_proxy_request *proxy = attempt->proxy;
	struct comet_gateway *gateway = proxy->gateway;
	size_t length = 0;
	char *bytes = write_request(proxy, now_us, &length);

	(void)instance;
	const struct comet_exchange_request request = {
		.instance = attempt->instance_id,
		.address = attempt->instance_id,
		.bytes = bytes,
		.length = length,
		.head_only = strcmp(proxy->request->head->method, "HEAD") == 0,
		.probe = true,
		.new_connection = true,
		.counted = comet_gateway_peer_bytes(gateway, attempt->peer_vm),
	};

	attempt->exchange = comet_upstream_send(
		gateway->upstream, attempt, &request, gateway->response_events, proxy);
	g_free(bytes);
}

static void
forward(struct comet_attempt *attempt, const struct comet_http_head *head, uint64_t now_us)
{
	(void)now_us;
	attempt->version_id = comet_forward_read_version(head);
}

/* The other VM watches the endpoint itself, so a silence says nothing about the VM. */
static enum comet_dispatch_result
give_up(const struct comet_attempt *attempt)
{
	(void)attempt;
	return COMET_DISPATCH_CANCELLED;
}

/* The other VM records the result and releases the slot. */
static void
end(struct comet_attempt *attempt, enum comet_dispatch_result result, uint64_t now_us)
{
	(void)attempt;
	(void)result;
	(void)now_us;
}

static const struct comet_attempt_type peer_attempt = {
	.begin = begin, .forward = forward, .give_up = give_up, .end = end};

static void
send_to(struct comet_proxy_request *proxy, uint32_t vm, uint64_t now_us)
{
	struct comet_gateway *gateway = proxy->gateway;

	comet_proxy_request_give_up_replaced(proxy);
	struct comet_attempt *attempt = comet_attempt_create(proxy, &peer_attempt, now_us);

	attempt->peer_vm = vm;
	attempt->instance_id = callers_address(attempt, gateway, vm);
	proxy->part_trial = false; /* the other VM decides whether it has a trial */
	proxy->peer_attempts++;
	gateway->counts.peer_attempts++;
	comet_log(COMET_LOG_INFO,
		"event=sent_through_vm request=%s vm=%s attempt=%u after_events=%u", proxy->id,
		attempt->instance_id, proxy->attempts, comet_proxy_request_events(proxy));
	attempt->type->begin(attempt, NULL, now_us);
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
	uint16_t status = proxy->attempt->head->status;
	const char *retry_after = comet_http_head_get(proxy->attempt->head, "Retry-After");
	uint32_t retry_after_ms = 0;

	if (retry_after == NULL || !comet_header_parse_seconds(retry_after, &retry_after_ms))
		retry_after_ms = RETRY_AFTER_MS;
	comet_log(COMET_LOG_INFO, "event=vm_refused request=%s vm=%s status=%u", proxy->id,
		proxy->attempt->instance_id, status);
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

enum comet_peer_response
comet_proxy_request_handle_peer_response(struct comet_proxy_request *proxy, bool from_endpoint)
{
	uint16_t status = proxy->attempt->head->status;

	if (proxy->attempt->peer_vm == 0 || from_endpoint || status < 400)
		return COMET_PEER_RESPONSE_FORWARDED;
	if (comet_proxy_request_promises_not_run(status))
	{
		handle_refusal(proxy);
		return COMET_PEER_RESPONSE_HANDLED;
	}
	return status < 500 ? COMET_PEER_RESPONSE_FORWARDED : COMET_PEER_RESPONSE_BROKEN;
}

/* Moves a request to another VM if it waits for a slot or a connection. */
static bool
move_to_peer(struct comet_proxy_request *proxy)
{
	struct comet_gateway *gateway = proxy->gateway;

	if (proxy->replacing)
	{
		comet_placement_cancel(gateway->placement, &proxy->item);
		if (!comet_proxy_request_send_through_peer(proxy))
			comet_proxy_request_cancel_replacement(proxy, "no_vm");
		return true;
	}
	if (proxy->attempt == NULL)
	{
		if (!comet_placement_is_pending(&proxy->item))
			return false;
		comet_placement_cancel(gateway->placement, &proxy->item);
	}
	else
	{
		if (proxy->attempt->peer_vm != 0 || comet_exchange_sent(proxy->attempt->exchange))
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
