/*
 * gateway_admit.c
 * admission of a proxy request, from its arrival until it is queued for an endpoint
 */
#include <libcometspindle/adapters/gateway/proxy_request.h>

#include <libcometspindle/adapters/gateway/gateway_crashes.h>
#include <libcometspindle/adapters/gateway/gateway_reachability.h>
#include <libcometspindle/adapters/gateway/gateway_streams.h>
#include <libcometspindle/hash.h>
#include <libcometspindle/log.h>
#include <string.h>
#include <strings.h>
#include <talloc.h>

/* The caller of a stream disconnects if the first event does not arrive within the longest of a
 * fixed time and these multiples of the route's target latency and target gap. A request is not
 * sent to an endpoint after that. */
#define FIRST_EVENT_TIMEOUT_MIN_MS 2000
#define FIRST_EVENT_TIMEOUT_TARGETS 4
#define FIRST_EVENT_TIMEOUT_GAPS 8

/* Share of the caller's timeout that is reserved for the endpoint's processing. */
#define PROCESSING_SHARE 0.25

/* A caller that is refused within the target latency divided by this can retry and still be
 * answered in time. */
#define EARLY_REFUSAL_DIVISOR 4

/* Retry-After of a VM that has no routing table yet. A start takes about half a second. After the
 * directory has failed to answer a call, the outage usually lasts for seconds, and callers that
 * retry only once would be refused again. */
#define NOT_READY_RETRY_S "0.5"
#define OUTAGE_RETRY_S "4"

/* Retry-After of a request that is suspected of having just crashed a third endpoint. A crash is
 * detected within one second if the endpoint refuses connections, and within four if it is silent.
 */
#define SUSPECT_RETRY_AFTER_MS 2000

/* Retry-After of a request from another VM that took this one to reach endpoints. */
#define UNREACHABLE_RETRY_AFTER_MS 200

static int
proxy_request_destructor(struct comet_proxy_request *proxy)
{
	proxy->gateway->open_request_count--;
	g_queue_delete_link(&proxy->gateway->open_requests, proxy->open_link);
	if (proxy->held_link != NULL)
		g_queue_delete_link(&proxy->gateway->held_retries, proxy->held_link);
	comet_route_table_unref(proxy->table);
	if (proxy->buffered_body != NULL)
		g_byte_array_free(proxy->buffered_body, TRUE);
	return 0;
}

static void
on_deadline(void *ctx)
{
	struct comet_proxy_request *proxy = ctx;

	proxy->deadline_timer = NULL;
	if (proxy->attempt != NULL && proxy->attempt->exchange != NULL)
	{
		proxy->may_have_run =
			proxy->may_have_run || comet_exchange_sent(proxy->attempt->exchange);
		comet_proxy_request_end_attempt(proxy, COMET_DISPATCH_CANCELLED);
	}
	comet_proxy_request_fail(proxy, 504, "deadline");
}

/* Returns the API key of a request, or NULL. */
static const char *
get_api_key(const struct comet_gateway *gateway, const struct comet_http_head *head)
{
	const char *value = comet_http_head_get(head, gateway->names->authorization);
	size_t length = strlen(gateway->names->key_scheme);

	if (value == NULL || strncasecmp(value, gateway->names->key_scheme, length) != 0 ||
		value[length] != ' ')
		return NULL;
	while (value[length] == ' ')
		length++;
	return value + length;
}

/* Reads the caller's hint of the output length, in tokens. A hint that is malformed or exceeds
 * COMET_ORDER_OUTPUT_TOKENS_MAX is logged and ignored; 0 is ignored. */
static void
parse_output_hint(struct comet_proxy_request *proxy, const char *hint)
{
	struct comet_request_size *size = &proxy->item.size;
	uint32_t expected = 0;
	bool valid = comet_header_parse_ms(hint, &expected);

	if (!valid || expected > COMET_ORDER_OUTPUT_TOKENS_MAX)
	{
		comet_log_repeated(COMET_LOG_WARNING,
			"event=output_hint_ignored request=%s team=%s value=%.32s", proxy->id,
			proxy->team != NULL ? proxy->team->name : "-", hint);
		return;
	}
	if (expected == 0)
		return;
	proxy->item.output_hinted = true;
	size->output_tokens = MIN(expected, size->output_tokens);
}

/* Reads the size of the request from the caller's headers. */
static void
parse_request_size(struct comet_proxy_request *proxy)
{
	const struct comet_header_names *names = proxy->gateway->names;
	const struct comet_http_head *head = proxy->request->head;
	const char *tokens = comet_http_head_get(head, names->tokens);
	const char *hint = comet_http_head_get(head, names->output_hint);
	struct comet_request_size *size = &proxy->item.size;

	size->stream = comet_proxy_request_is_stream(proxy);
	proxy->quota_amount =
		proxy->team != NULL && proxy->team->in_tokens ? proxy->team->default_tokens : 1;
	if (tokens == NULL ||
		!comet_header_parse_tokens(tokens, &size->prompt_tokens, &size->output_tokens))
		return;
	size->max_output_tokens = size->output_tokens;
	if (proxy->team != NULL && proxy->team->in_tokens)
		proxy->quota_amount = (uint64_t)size->prompt_tokens + size->output_tokens;
	if (hint != NULL)
		parse_output_hint(proxy, hint);
}

/* Computes a fingerprint that stays the same when a caller repeats the request under another id. */
static void
compute_fingerprint(struct comet_proxy_request *proxy)
{
	const struct comet_http_head *head = proxy->request->head;
	const GByteArray *body = proxy->request->body;
	const struct comet_fingerprint_parts parts = {
		.team = proxy->team != NULL ? proxy->team->name : NULL,
		.method = head->method,
		.host = comet_http_head_get(head, "Host"),
		.target = head->target,
		.body = body->data,
		.body_bytes = body->len,
	};

	proxy->fingerprint = comet_fingerprint_compute(&parts);
}

/* Computes the identities of the shared parts of the prompt. A header that is malformed is logged
 * and ignored. */
static void
compute_parts(struct comet_proxy_request *proxy)
{
	const char *text =
		comet_http_head_get(proxy->request->head, proxy->gateway->names->prompt_parts);
	const char *team = proxy->team != NULL ? proxy->team->name : NULL;
	struct comet_header_part parts[COMET_HEADER_PARTS_MAX];
	size_t count = text != NULL ? comet_header_parse_parts(text, parts) : 0;

	if (text != NULL && count == 0 && strchr(text, ',') != NULL)
		comet_log_repeated(COMET_LOG_WARNING,
			"event=prompt_parts_ignored request=%s team=%s value=%.32s", proxy->id,
			team != NULL ? team : "-", text);
	for (size_t i = 0; i < count; i++)
		proxy->parts[i] =
			comet_fingerprint_compute_part(team, parts[i].id, parts[i].length);
	proxy->n_parts = (uint32_t)count;
}

/* Computes the caller's deadline, and the time after which the request is not sent any more. */
static void
compute_deadlines(struct comet_proxy_request *proxy)
{
	const struct comet_route *route = proxy->route;
	const char *deadline_text =
		comet_http_head_get(proxy->request->head, proxy->gateway->names->deadline_ms);
	uint64_t timeout_ms = UINT32_MAX;
	uint32_t deadline_ms = 0;

	if (deadline_text != NULL && comet_header_parse_ms(deadline_text, &deadline_ms))
		timeout_ms = deadline_ms;
	if (route->timeout_ms > 0)
		timeout_ms = MIN(timeout_ms, route->timeout_ms);
	proxy->deadline_us = proxy->arrived_us + timeout_ms * 1000;
	if (comet_proxy_request_is_stream(proxy))
	{
		uint64_t first_event_ms = MAX(FIRST_EVENT_TIMEOUT_MIN_MS,
			(uint64_t)FIRST_EVENT_TIMEOUT_TARGETS * route->target_latency_ms);
		first_event_ms = MAX(
			first_event_ms, (uint64_t)FIRST_EVENT_TIMEOUT_GAPS * route->target_gap_ms);
		timeout_ms = MIN(timeout_ms, first_event_ms);
	}
	proxy->item.dispatch_deadline_us =
		proxy->arrived_us + (uint64_t)((double)timeout_ms * 1000 * (1 - PROCESSING_SHARE));
	proxy->item.answer_deadline_us = proxy->deadline_us;
	proxy->item.soft_deadline_us =
		route->target_latency_ms > 0
			? proxy->arrived_us + (uint64_t)route->target_latency_ms * 1000
			: 0;
	proxy->item.early_refusal_us = proxy->arrived_us + (uint64_t)route->target_latency_ms *
								   1000 / EARLY_REFUSAL_DIVISOR;
}

/* Queues the request for an endpoint. */
static void
queue_request(struct comet_proxy_request *proxy, uint64_t now_us)
{
	struct comet_gateway *gateway = proxy->gateway;
	struct comet_placement_item *item = &proxy->item;

	item->user_data = proxy;
	item->service = proxy->service;
	item->team_rank =
		proxy->team != NULL && proxy->team->has_priority ? proxy->team->priority : 0;
	item->route_rank = proxy->route->priority;
	item->team_id = proxy->team != NULL ? comet_hash_name(proxy->team->name) : 0;
	item->route_regions = &proxy->route->regions;
	item->team_regions = proxy->team != NULL ? &proxy->team->regions : NULL;
	item->retryable = comet_route_is_retryable(proxy->route) && proxy->route->max_attempts > 1;
	proxy->buffered_body = g_byte_array_new();
	if (comet_proxy_request_is_stream(proxy))
		proxy->events = comet_event_stream_create(proxy);
	gateway->counts.admitted++;
	/* A slow caller, a pause of this process, or a wait for the quota may have used it up. */
	if (now_us >= proxy->deadline_us)
	{
		comet_proxy_request_refuse(proxy, "deadline", 0);
		return;
	}
	proxy->deadline_timer = comet_timers_add(
		gateway->timers, proxy, proxy->deadline_us - now_us, on_deadline, proxy);
	if (comet_proxy_request_send_through_peer(proxy))
		return;
	if (proxy->from_peer && comet_gateway_links_are_lost(gateway->links))
		comet_proxy_request_refuse(
			proxy, "endpoints_unreachable", UNREACHABLE_RETRY_AFTER_MS);
	else
		comet_placement_submit(gateway->placement, item, now_us);
}

/* Finds the team of the request's API key. @return false if the request was refused. */
static bool
find_team(struct comet_proxy_request *proxy)
{
	struct comet_gateway *gateway = proxy->gateway;

	if (proxy->route->open || !comet_route_table_needs_keys(proxy->table))
		return true;
	const char *key = get_api_key(gateway, proxy->request->head);
	proxy->team = key != NULL ? comet_route_table_team_by_key(proxy->table, key) : NULL;
	if (proxy->team != NULL)
		return true;
	gateway->counts.refused_other++;
	comet_proxy_request_respond_error(proxy, 401, "unknown_key", 0);
	return false;
}

/* Finds the route of a request. @return false if the request was refused. */
static bool
find_route(struct comet_proxy_request *proxy)
{
	struct comet_gateway *gateway = proxy->gateway;
	const struct comet_http_head *head = proxy->request->head;
	const char *host = comet_http_head_get(head, "Host");

	if (proxy->id == NULL || host == NULL || head->target[0] != '/' ||
		comet_http_head_count(head, "Host") != 1)
	{
		gateway->counts.refused_other++;
		comet_proxy_request_respond_error(proxy, 400, "malformed", 0);
		return false;
	}
	proxy->route = comet_route_table_find(proxy->table, host, head->target);
	if (proxy->route == NULL)
	{
		gateway->counts.refused_other++;
		comet_proxy_request_respond_error(proxy, 404, "no_route", 0);
		return false;
	}
	return true;
}

/* Called once the request has been charged: selects a service and queues the request. */
static void
admit(struct comet_proxy_request *proxy, uint64_t now_us)
{
	struct comet_gateway *gateway = proxy->gateway;

	compute_deadlines(proxy);
	proxy->service = talloc_strdup(
		proxy, comet_route_pick_service(proxy->route, comet_random_u32(&gateway->random)));
	comet_log(COMET_LOG_INFO,
		"event=admitted request=%s fingerprint=%016" G_GINT64_MODIFIER
		"x route=%s service=%s team=%s prompt=%u output=%u most=%u hinted=%d "
		"version=%" G_GUINT64_FORMAT,
		proxy->id, proxy->fingerprint.digest, proxy->route->name, proxy->service,
		proxy->team != NULL ? proxy->team->name : "-", proxy->item.size.prompt_tokens,
		proxy->item.size.output_tokens, proxy->item.size.max_output_tokens,
		proxy->item.output_hinted, comet_route_table_version(proxy->table));
	if (comet_gateway_streams_identify(proxy))
		comet_gateway_streams_resolve(
			proxy, queue_request, comet_proxy_request_version_unknown);
	else
		queue_request(proxy, now_us);
}

/* Refuses a request that arrived before the first routing table. */
static void
refuse_not_ready(struct comet_gateway *gateway, struct comet_http_server_request *request)
{
	const char *headers = gateway->directory_lost ? "Retry-After: " OUTAGE_RETRY_S "\r\n"
						      : "Retry-After: " NOT_READY_RETRY_S "\r\n";

	gateway->counts.refused_other++;
	comet_http_server_respond(request, 503, headers, "", 0);
}

void
comet_proxy_request_handle(void *ctx, struct comet_http_server_request *request)
{
	struct comet_gateway *gateway = ctx;

	if (gateway->table == NULL)
	{
		refuse_not_ready(gateway, request);
		return;
	}
	if (gateway->refusing)
	{
		/* The request might not finish before this process exits. */
		gateway->counts.refused_early++;
		char headers[64];
		g_snprintf(headers, sizeof headers, "Retry-After: %u.%03u\r\n",
			COMET_STOPPING_RETRY_MS / 1000, COMET_STOPPING_RETRY_MS % 1000);
		comet_http_server_respond(request, 503, headers, "", 0);
		return;
	}
	struct comet_proxy_request *proxy = talloc_zero(gateway, struct comet_proxy_request);
	gateway->open_request_count++;
	g_queue_push_tail(&gateway->open_requests, proxy);
	proxy->open_link = g_queue_peek_tail_link(&gateway->open_requests);
	talloc_set_destructor(proxy, proxy_request_destructor);
	proxy->gateway = gateway;
	proxy->request = request;
	proxy->table = comet_route_table_ref(gateway->table);
	proxy->id = comet_http_head_get(request->head, gateway->names->request_id);
	proxy->from_peer = comet_http_head_get(request->head, COMET_HEADER_THROUGH_VM) != NULL;
	proxy->arrived_us = request->received_us;
	request->user = proxy;
	if (!find_route(proxy) || !find_team(proxy))
		return;
	compute_fingerprint(proxy);
	compute_parts(proxy);
	if (comet_proxy_request_is_quarantined(proxy) && !comet_gateway_take_part_trials(proxy))
	{
		comet_proxy_request_refuse_quarantined(proxy);
		return;
	}
	if (comet_proxy_request_is_undecided(proxy, comet_timers_now_us()))
	{
		comet_proxy_request_refuse(proxy, "may_crash_endpoints", SUSPECT_RETRY_AFTER_MS);
		return;
	}
	parse_request_size(proxy);
	comet_proxy_request_charge(proxy, admit);
}
