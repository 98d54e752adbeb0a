/*
 * gateway_admit.c
 * one request at a gateway: its admission, from its arrival to its place in a queue
 */
#include <libcometspindle/adapters/gateway/proxy_request.h>

#include <libcometspindle/log.h>
#include <string.h>
#include <strings.h>
#include <talloc.h>

/* A caller that waits for a stream leaves after the longest of a fixed time and some multiples of
 * what the route aims at; nothing is worth starting for it after that. */
#define PATIENCE_MIN_MS 2000
#define PATIENCE_AIMS 4
#define PATIENCE_GAPS 8

/* Part of a caller's patience that is kept for the endpoint's work. */
#define WORK_PART 0.25

/* Within this part of its aim a refusal costs the caller little: it can still be in time. */
#define EARLY_PART 4

/* A VM that knows no routes yet asks to come back after this time: a start takes about as long.
 * Once the directory has left a call unanswered, an outage goes on, which lasts for seconds:
 * callers that may try once more would be refused again. */
#define NOT_READY_RETRY_S "0.5"
#define OUTAGE_RETRY_S "4"

/* A VM that stops sends callers to the others, which are there. */
#define STOPPING_RETRY_S "0.05"

/* A request that may just have crashed a third endpoint comes back after this time: a process that
 * refuses connections is known to have crashed within a second, a silent one within four. */
#define DOUBT_RETRY_MS 2000

static int
call_destroy(struct comet_proxy_request *relay)
{
	relay->gateway->calls--;
	g_queue_delete_link(&relay->gateway->relays, relay->open);
	if (relay->attempt != NULL) /* the process ends */
		g_queue_delete_link(&relay->gateway->active_attempts, relay->attempt);
	comet_route_table_unref(relay->table);
	if (relay->answer != NULL)
		g_byte_array_free(relay->answer, TRUE);
	return 0;
}

static void
on_deadline(void *ctx)
{
	struct comet_proxy_request *relay = ctx;

	relay->deadline = NULL;
	if (relay->exchange != NULL)
	{
		relay->may_have_run = relay->may_have_run || comet_exchange_sent(relay->exchange);
		comet_proxy_request_end_attempt(relay, COMET_DISPATCH_CANCELLED);
	}
	comet_proxy_request_fail(relay, 504, "deadline");
}

/* The key of a request's team, or NULL. */
static const char *
key_of(const struct comet_gateway *gateway, const struct comet_http_head *head)
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

/* Sizes of the request, from what its caller tells. */
static void
read_job(struct comet_proxy_request *relay)
{
	const struct comet_header_names *names = relay->gateway->names;
	const struct comet_http_head *head = relay->request->head;
	const char *tokens = comet_http_head_get(head, names->tokens);
	const char *hint = comet_http_head_get(head, names->output_hint);
	struct comet_request_size *job = &relay->item.job;
	uint32_t expected = 0;

	job->stream = comet_proxy_request_is_stream(relay);
	relay->charge =
		relay->team != NULL && relay->team->in_tokens ? relay->team->default_tokens : 1;
	if (tokens == NULL ||
		!comet_header_parse_tokens(tokens, &job->prompt_tokens, &job->output_tokens))
		return;
	job->output_most = job->output_tokens;
	if (relay->team != NULL && relay->team->in_tokens)
		relay->charge = (uint64_t)job->prompt_tokens + job->output_tokens;
	if (hint != NULL && comet_header_parse_ms(hint, &expected) && expected > 0)
		job->output_tokens = MIN(expected, job->output_tokens);
}

/* Which request it is, whatever id this attempt of it has. */
static void
read_fingerprint(struct comet_proxy_request *relay)
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

/* Until when the request is worth sending, and until when its caller waits. */
static void
read_times(struct comet_proxy_request *relay)
{
	const struct comet_route *route = relay->route;
	const char *told =
		comet_http_head_get(relay->request->head, relay->gateway->names->deadline_ms);
	uint64_t patience_ms = UINT32_MAX;
	uint32_t deadline_ms = 0;

	if (told != NULL && comet_header_parse_ms(told, &deadline_ms))
		patience_ms = deadline_ms;
	if (route->timeout_ms > 0)
		patience_ms = MIN(patience_ms, route->timeout_ms);
	relay->end_us = relay->arrived_us + patience_ms * 1000;
	if (comet_proxy_request_is_stream(relay))
	{
		uint64_t first_ms = MAX(PATIENCE_MIN_MS, (uint64_t)PATIENCE_AIMS * route->aim_ms);
		first_ms = MAX(first_ms, (uint64_t)PATIENCE_GAPS * route->gap_ms);
		patience_ms = MIN(patience_ms, first_ms);
	}
	relay->item.dispatch_deadline_us =
		relay->arrived_us + (uint64_t)((double)patience_ms * 1000 * (1 - WORK_PART));
	relay->item.end_us = relay->end_us;
	relay->item.soft_deadline_us =
		route->aim_ms > 0 ? relay->arrived_us + (uint64_t)route->aim_ms * 1000 : 0;
	relay->item.early_us = relay->arrived_us + (uint64_t)route->aim_ms * 1000 / EARLY_PART;
}

/* Hands the request to placement. */
static void
place(struct comet_proxy_request *relay, uint64_t now_us)
{
	struct comet_gateway *gateway = relay->gateway;
	struct comet_placement_item *item = &relay->item;

	item->owner = relay;
	item->service = relay->service;
	item->team_rank =
		relay->team != NULL && relay->team->has_priority ? relay->team->priority : 0;
	item->route_rank = relay->route->priority;
	item->repeatable = comet_route_is_retryable(relay->route) && relay->route->max_attempts > 1;
	relay->answer = g_byte_array_new();
	if (comet_proxy_request_is_stream(relay))
		relay->events = comet_event_stream_create(relay);
	if (relay->end_us > now_us)
		relay->deadline = comet_timers_add(
			gateway->timers, relay, relay->end_us - now_us, on_deadline, relay);
	gateway->counts.admitted++;
	comet_placement_submit(gateway->placement, item, now_us);
}

/* Finds the team of a request's key. @return false when it was answered. */
static bool
find_team(struct comet_proxy_request *relay)
{
	struct comet_gateway *gateway = relay->gateway;

	if (relay->route->open || !comet_route_table_needs_keys(relay->table))
		return true;
	const char *key = key_of(gateway, relay->request->head);
	relay->team = key != NULL ? comet_route_table_team_by_key(relay->table, key) : NULL;
	if (relay->team != NULL)
		return true;
	gateway->counts.refused_other++;
	comet_proxy_request_respond_error(relay, 401, "unknown_key", 0);
	return false;
}

/* Finds the route of a request. @return false when it was answered. */
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

/* It is charged: places it. */
static void
admit(struct comet_proxy_request *relay, uint64_t now_us)
{
	struct comet_gateway *gateway = relay->gateway;

	read_times(relay);
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
	place(relay, now_us);
}

/* Nothing can be admitted before the routes are known. */
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
		/* Too late to be finished before this process ends: others take it at once. */
		gateway->counts.refused_early++;
		comet_http_server_respond(
			request, 503, "Retry-After: " STOPPING_RETRY_S "\r\n", "", 0);
		return;
	}
	struct comet_proxy_request *relay = talloc_zero(gateway, struct comet_proxy_request);
	gateway->calls++;
	g_queue_push_tail(&gateway->relays, relay);
	relay->open = g_queue_peek_tail_link(&gateway->relays);
	talloc_set_destructor(relay, call_destroy);
	relay->gateway = gateway;
	relay->request = request;
	relay->table = comet_route_table_ref(gateway->table);
	relay->id = comet_http_head_get(request->head, gateway->names->request_id);
	relay->arrived_us = request->received_us;
	request->user = relay;
	if (!find_route(relay) || !find_team(relay))
		return;
	read_fingerprint(relay);
	if (comet_proxy_request_is_quarantined(relay))
	{
		comet_proxy_request_refuse_quarantined(relay);
		return;
	}
	if (comet_crash_tracker_is_undecided(
		    gateway->crash_tracker, &relay->fingerprint, comet_timers_now_us()))
	{
		comet_proxy_request_refuse(relay, "may_crash_endpoints", DOUBT_RETRY_MS);
		return;
	}
	read_job(relay);
	comet_proxy_request_charge(relay, admit);
}
