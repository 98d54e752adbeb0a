/*
 * gateway_admit.c
 * admission of a proxy request, from its arrival until it is queued for an endpoint
 */
#include <libcometspindle/adapters/gateway/proxy_request.h>

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

/* Retry-After of a VM that is stopping: the other VMs can take the request immediately. */
#define STOPPING_RETRY_S "0.05"

/* Retry-After of a request that is suspected of having just crashed a third endpoint. A crash is
 * detected within one second if the endpoint refuses connections, and within four if it is silent.
 */
#define SUSPECT_RETRY_AFTER_MS 2000

static int
proxy_request_destructor(struct comet_proxy_request *relay)
{
	relay->gateway->calls--;
	g_queue_delete_link(&relay->gateway->relays, relay->open_link);
	if (relay->attempt_link != NULL) /* only when the gateway itself is freed */
		g_queue_delete_link(&relay->gateway->active_attempts, relay->attempt_link);
	comet_route_table_unref(relay->table);
	if (relay->buffered_body != NULL)
		g_byte_array_free(relay->buffered_body, TRUE);
	return 0;
}

static void
on_deadline(void *ctx)
{
	struct comet_proxy_request *relay = ctx;

	relay->deadline_timer = NULL;
	if (relay->exchange != NULL)
	{
		relay->may_have_run = relay->may_have_run || comet_exchange_sent(relay->exchange);
		comet_proxy_request_end_attempt(relay, COMET_DISPATCH_CANCELLED);
	}
	comet_proxy_request_fail(relay, 504, "deadline");
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

/* Reads the size of the request from the caller's headers. */
static void
parse_request_size(struct comet_proxy_request *relay)
{
	const struct comet_header_names *names = relay->gateway->names;
	const struct comet_http_head *head = relay->request->head;
	const char *tokens = comet_http_head_get(head, names->tokens);
	const char *hint = comet_http_head_get(head, names->output_hint);
	struct comet_request_size *job = &relay->item.job;
	uint32_t expected = 0;

	job->stream = comet_proxy_request_is_stream(relay);
	relay->quota_amount =
		relay->team != NULL && relay->team->in_tokens ? relay->team->default_tokens : 1;
	if (tokens == NULL ||
		!comet_header_parse_tokens(tokens, &job->prompt_tokens, &job->output_tokens))
		return;
	job->output_most = job->output_tokens;
	if (relay->team != NULL && relay->team->in_tokens)
		relay->quota_amount = (uint64_t)job->prompt_tokens + job->output_tokens;
	if (hint != NULL && comet_header_parse_ms(hint, &expected) && expected > 0)
		job->output_tokens = MIN(expected, job->output_tokens);
}

/* Computes a fingerprint that stays the same when a caller repeats the request under another id. */
static void
compute_fingerprint(struct comet_proxy_request *relay)
{
	const struct comet_http_head *head = relay->request->head;
	const GByteArray *body = relay->request->body;
	const struct comet_fingerprint_parts parts = {
		.team = relay->team != NULL ? relay->team->name : NULL,
		.method = head->method,
		.host = comet_http_head_get(head, "Host"),
		.target = head->target,
		.body = body->data,
		.body_bytes = body->len,
	};

	relay->fingerprint = comet_fingerprint_of(&parts);
}

/* Computes the caller's deadline, and the time after which the request is not sent any more. */
static void
compute_deadlines(struct comet_proxy_request *relay)
{
	const struct comet_route *route = relay->route;
	const char *deadline_text =
		comet_http_head_get(relay->request->head, relay->gateway->names->deadline_ms);
	uint64_t timeout_ms = UINT32_MAX;
	uint32_t deadline_ms = 0;

	if (deadline_text != NULL && comet_header_parse_ms(deadline_text, &deadline_ms))
		timeout_ms = deadline_ms;
	if (route->timeout_ms > 0)
		timeout_ms = MIN(timeout_ms, route->timeout_ms);
	relay->deadline_us = relay->arrived_us + timeout_ms * 1000;
	if (comet_proxy_request_is_stream(relay))
	{
		uint64_t first_event_ms = MAX(FIRST_EVENT_TIMEOUT_MIN_MS,
			(uint64_t)FIRST_EVENT_TIMEOUT_TARGETS * route->aim_ms);
		first_event_ms =
			MAX(first_event_ms, (uint64_t)FIRST_EVENT_TIMEOUT_GAPS * route->gap_ms);
		timeout_ms = MIN(timeout_ms, first_event_ms);
	}
	relay->item.dispatch_deadline_us =
		relay->arrived_us + (uint64_t)((double)timeout_ms * 1000 * (1 - PROCESSING_SHARE));
	relay->item.end_us = relay->deadline_us;
	relay->item.soft_deadline_us =
		route->aim_ms > 0 ? relay->arrived_us + (uint64_t)route->aim_ms * 1000 : 0;
	relay->item.early_us =
		relay->arrived_us + (uint64_t)route->aim_ms * 1000 / EARLY_REFUSAL_DIVISOR;
}

/* Queues the request for an endpoint. */
static void
queue_request(struct comet_proxy_request *relay, uint64_t now_us)
{
	struct comet_gateway *gateway = relay->gateway;
	struct comet_placement_item *item = &relay->item;

	item->owner = relay;
	item->service = relay->service;
	item->team_rank =
		relay->team != NULL && relay->team->has_priority ? relay->team->priority : 0;
	item->route_rank = relay->route->priority;
	item->repeatable = comet_route_is_retryable(relay->route) && relay->route->max_attempts > 1;
	relay->buffered_body = g_byte_array_new();
	if (comet_proxy_request_is_stream(relay))
		relay->events = comet_event_stream_create(relay);
	if (relay->deadline_us > now_us)
		relay->deadline_timer = comet_timers_add(
			gateway->timers, relay, relay->deadline_us - now_us, on_deadline, relay);
	gateway->counts.admitted++;
	comet_placement_submit(gateway->placement, item, now_us);
}

/* Finds the team of the request's API key. @return false if the request was refused. */
static bool
find_team(struct comet_proxy_request *relay)
{
	struct comet_gateway *gateway = relay->gateway;

	if (relay->route->open || !comet_route_table_needs_keys(relay->table))
		return true;
	const char *key = get_api_key(gateway, relay->request->head);
	relay->team = key != NULL ? comet_route_table_team_by_key(relay->table, key) : NULL;
	if (relay->team != NULL)
		return true;
	gateway->counts.refused_other++;
	comet_proxy_request_respond_error(relay, 401, "unknown_key", 0);
	return false;
}

/* Finds the route of a request. @return false if the request was refused. */
static bool
find_route(struct comet_proxy_request *relay)
{
	struct comet_gateway *gateway = relay->gateway;
	const struct comet_http_head *head = relay->request->head;
	const char *host = comet_http_head_get(head, "Host");

	if (relay->id == NULL || host == NULL || head->target[0] != '/' ||
		comet_http_head_count(head, "Host") != 1)
	{
		gateway->counts.refused_other++;
		comet_proxy_request_respond_error(relay, 400, "malformed", 0);
		return false;
	}
	relay->route = comet_route_table_find(relay->table, host, head->target);
	if (relay->route == NULL)
	{
		gateway->counts.refused_other++;
		comet_proxy_request_respond_error(relay, 404, "no_route", 0);
		return false;
	}
	return true;
}

/* Called once the request has been charged: selects a service and queues the request. */
static void
admit(struct comet_proxy_request *relay, uint64_t now_us)
{
	struct comet_gateway *gateway = relay->gateway;

	compute_deadlines(relay);
	relay->service = talloc_strdup(
		relay, comet_route_pick_service(relay->route, comet_random_u32(&gateway->draw)));
	comet_log(COMET_LOG_INFO,
		"event=admitted request=%s fingerprint=%016" G_GINT64_MODIFIER
		"x route=%s service=%s team=%s prompt=%u output=%u most=%u "
		"version=%" G_GUINT64_FORMAT,
		relay->id, relay->fingerprint.digest, relay->route->name, relay->service,
		relay->team != NULL ? relay->team->name : "-", relay->item.job.prompt_tokens,
		relay->item.job.output_tokens, relay->item.job.output_most,
		comet_route_table_version(relay->table));
	queue_request(relay, now_us);
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
		comet_http_server_respond(
			request, 503, "Retry-After: " STOPPING_RETRY_S "\r\n", "", 0);
		return;
	}
	struct comet_proxy_request *relay = talloc_zero(gateway, struct comet_proxy_request);
	gateway->calls++;
	g_queue_push_tail(&gateway->relays, relay);
	relay->open_link = g_queue_peek_tail_link(&gateway->relays);
	talloc_set_destructor(relay, proxy_request_destructor);
	relay->gateway = gateway;
	relay->request = request;
	relay->table = comet_route_table_ref(gateway->table);
	relay->id = comet_http_head_get(request->head, gateway->names->request_id);
	relay->arrived_us = request->received_us;
	request->user = relay;
	if (!find_route(relay) || !find_team(relay))
		return;
	compute_fingerprint(relay);
	if (comet_proxy_request_is_quarantined(relay))
	{
		comet_proxy_request_refuse_quarantined(relay);
		return;
	}
	if (comet_crash_tracker_is_undecided(
		    gateway->crash_tracker, &relay->fingerprint, comet_timers_now_us()))
	{
		comet_proxy_request_refuse(relay, "may_crash_endpoints", SUSPECT_RETRY_AFTER_MS);
		return;
	}
	parse_request_size(relay);
	comet_proxy_request_charge(relay, admit);
}
