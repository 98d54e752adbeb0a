/*
 * gateway_call.c
 * the life of one request at a gateway: admitted, placed, sent, answered
 */
#include <libcometspindle/adapters/gateway_private.h>

#include <libcometspindle/gateway/event_stream.h>
#include <libcometspindle/log.h>
#include <string.h>
#include <strings.h>
#include <talloc.h>

/* Plain answers up to this size are read whole before the first byte goes on, so that an endpoint
 * that breaks off can be replaced; larger ones are passed on as they come. */
#define PLAIN_BUFFER_BYTES (256 * 1024)

/* An answer that a slow reader has not taken stops the endpoint's reading at this size. */
#define SLOW_READER_BYTES (256 * 1024)

/* A caller that waits for a stream leaves after the longest of a fixed time and some multiples of
 * what the route aims at; nothing is worth starting for it after that. */
#define PATIENCE_MIN_MS 2000
#define PATIENCE_AIMS 4
#define PATIENCE_GAPS 8

/* Part of a caller's patience that is kept for the endpoint's work. */
#define WORK_PART 0.25

/* An endpoint is silent after so many times its expected time, and at least the time below: a
 * lost packet is repeated within a quarter of a second. */
#define SILENT_FACTOR 4
#define SILENT_MIN_US 600000

/* Within this part of its aim a refusal costs the caller little: it can still be in time. */
#define EARLY_PART 4

/* A VM that knows no routes yet asks to come back after this time: a start takes about as long. */
#define NOT_READY_RETRY_S "0.5"

/* A VM that stops sends callers to the others, which are there. */
#define STOPPING_RETRY_S "0.05"

struct call
{
	struct comet_gateway *gateway;
	struct comet_front_request *request;
	struct comet_route_table *table;
	const struct comet_route *route;
	const struct comet_route_team *team; /* NULL: an open route */
	const char *id;
	char *service;
	struct comet_placement_item item;
	struct comet_exchange *exchange;
	struct comet_event_stream *events; /* streams */
	struct comet_timer *deadline;
	struct comet_timer *silence;
	char *instance; /* id of where it is now */
	GByteArray *answer;
	struct comet_http_head *head; /* copy of the answer's head, or NULL */
	uint64_t charge;
	uint64_t arrived_us;
	uint64_t end_us; /* the caller waits no longer */
	uint64_t sent_us;
	uint64_t first_us; /* first byte of a body; 0: none yet */
	uint64_t last_us;  /* last byte of a body */
	uint64_t silent_after_us;
	uint32_t attempts;    /* sendings that may have reached an endpoint */
	uint32_t first_count; /* events when this sending began */
	bool may_have_run;
	bool not_run;  /* the answer being read says that it was not run */
	bool started;  /* the answer's head is on its way to the caller */
	bool resuming; /* this sending goes on with a stream that was cut */
	bool paused;
};

static bool
is_stream(const struct call *call)
{
	return call->route->kind == COMET_ROUTE_STREAM;
}

static uint64_t
since_ms(uint64_t then_us, uint64_t now_us)
{
	return (now_us - then_us) / 1000;
}

static int
call_destroy(struct call *call)
{
	call->gateway->calls--;
	comet_route_table_unref(call->table);
	if (call->answer != NULL)
		g_byte_array_free(call->answer, TRUE);
	return 0;
}

/* Ends what is under way at an endpoint, and tells what became of it. */
static void
end_sending(struct call *call, enum comet_dispatch_result result)
{
	struct comet_gateway *gateway = call->gateway;
	struct comet_instance *instance =
		call->instance != NULL ? comet_instances_find(gateway->instances, call->instance)
				       : NULL;
	uint64_t now_us = comet_timers_now_us();

	comet_timer_cancel(&call->silence);
	if (instance != NULL)
	{
		uint32_t events = call->events != NULL ? comet_event_stream_count(call->events) -
								 call->first_count
						       : 0;
		uint64_t taken_us =
			is_stream(call) ? call->last_us - call->first_us : now_us - call->sent_us;
		if (comet_instance_ended(gateway->instances, instance, &call->item.job,
			    call->first_us != 0, result, taken_us, events, now_us))
			comet_log(COMET_LOG_NOTICE,
				"event=endpoint_%s endpoint=%s result=%s failures=%u "
				"error_rate=%.2f",
				instance->avoid_us != 0 ? "avoided" : "trusted", instance->id,
				comet_dispatch_result_name(result), instance->failures,
				instance->error_rate);
	}
	TALLOC_FREE(call->instance);
	TALLOC_FREE(call->exchange);
	TALLOC_FREE(call->head);
	call->first_us = 0;
}

/* The request is over; the caller has its answer, or is gone. */
static void
close_call(struct call *call)
{
	struct comet_gateway *gateway = call->gateway;

	comet_placement_withdraw(gateway->placement, &call->item);
	talloc_free(call);
	comet_placement_run(gateway->placement, comet_timers_now_us());
}

/* Answers with an error of our own. */
static void
answer_own(struct call *call, unsigned int status, const char *reason, uint32_t retry_after_ms)
{
	struct comet_front_request *request = call->request;
	char headers[64] = "";

	if (retry_after_ms > 0)
		g_snprintf(headers, sizeof headers, "Retry-After: %u.%03u\r\n",
			retry_after_ms / 1000, retry_after_ms % 1000);
	comet_log(COMET_LOG_NOTICE,
		"event=refused request=%s status=%u reason=%s retry_after_ms=%u "
		"held_ms=%" G_GUINT64_FORMAT " attempts=%u",
		call->id, status, reason, retry_after_ms,
		since_ms(call->arrived_us, comet_timers_now_us()), call->attempts);
	request->user = NULL;
	close_call(call);
	comet_front_answer(request, status, headers, "", 0);
}

/* It was not run and will not be: says so, and gives back what it was charged. */
static void
refuse(struct call *call, const char *reason, uint32_t retry_after_ms)
{
	struct comet_gateway *gateway = call->gateway;

	if (call->may_have_run)
	{
		gateway->counts.failed++;
		answer_own(call, 502, reason, 0);
		return;
	}
	gateway->counts.refused_early++;
	if (call->team != NULL)
		comet_allowance_give_back(
			gateway->allowance, call->team->id, call->charge, comet_timers_now_us());
	answer_own(call, 503, reason, retry_after_ms);
}

/* The answer cannot be finished: the caller must see that. */
static void
cut(struct call *call, const char *reason)
{
	struct comet_front_request *request = call->request;

	call->gateway->counts.cut++;
	comet_log(COMET_LOG_NOTICE,
		"event=cut request=%s reason=%s held_ms=%" G_GUINT64_FORMAT " events=%u", call->id,
		reason, since_ms(call->arrived_us, comet_timers_now_us()),
		call->events != NULL ? comet_event_stream_count(call->events) : 0);
	request->user = NULL;
	close_call(call);
	comet_front_abort(request);
}

/* Gives up with what is true: cut, may have run, or not run. */
static void
give_up(struct call *call, unsigned int status, const char *reason)
{
	if (call->started)
	{
		cut(call, reason);
		return;
	}
	if (!call->may_have_run)
	{
		refuse(call, reason,
			(uint32_t)(comet_placement_wait_us(call->gateway->placement, &call->item,
					   comet_timers_now_us()) /
				   1000));
		return;
	}
	call->gateway->counts.failed++;
	answer_own(call, status, reason, 0);
}

static void
on_deadline(void *ctx)
{
	struct call *call = ctx;

	call->deadline = NULL;
	if (call->exchange != NULL)
	{
		call->may_have_run = call->may_have_run || comet_exchange_sent(call->exchange);
		end_sending(call, COMET_DISPATCH_CANCELLED);
	}
	give_up(call, 504, "deadline");
}

/* May this request be sent once more, after it may have run? */
static bool
may_repeat(struct call *call)
{
	struct comet_gateway *gateway = call->gateway;
	uint64_t now_us = comet_timers_now_us();

	if (call->may_have_run && !comet_route_repeatable(call->route))
		return false;
	if (call->attempts >= MAX(call->route->max_attempts, 1) || now_us >= call->end_us)
		return false;
	if (call->attempts == 0)
		return true;
	return comet_retry_budget_take(gateway->retries, call->service, now_us);
}

/* Places the request again. */
static void
place_again(struct call *call, const char *reason)
{
	struct comet_gateway *gateway = call->gateway;
	uint64_t now_us = comet_timers_now_us();

	gateway->counts.repeated++;
	comet_log(COMET_LOG_INFO, "event=repeated request=%s reason=%s attempts=%u", call->id,
		reason, call->attempts);
	if (call->answer != NULL)
		g_byte_array_set_size(call->answer, 0);
	if (!comet_placement_has_other(gateway->placement, &call->item))
		call->item.n_tried = 0; /* the only one there is may take it again */
	call->item.latest_us = MAX(call->item.latest_us, now_us + (call->end_us - now_us) / 2);
	comet_placement_submit(gateway->placement, &call->item, now_us);
}

static bool
header_is_ours(const struct comet_wire_names *names, const char *name)
{
	return strcasecmp(name, names->deadline_ms) == 0 || strcasecmp(name, names->team) == 0 ||
	       strcasecmp(name, names->expect_instance) == 0;
}

/* Writes the request as the endpoint is to get it. */
static GString *
write_request(struct call *call, const struct comet_instance *instance, uint64_t now_us)
{
	const struct comet_wire_names *names = call->gateway->names;
	const struct comet_http_head *head = call->request->head;
	const GByteArray *body = call->request->body;
	const char *last_id = call->resuming ? comet_event_stream_last_id(call->events) : NULL;
	GString *out = g_string_sized_new(1024 + body->len);

	g_string_append_printf(out, "%s %s HTTP/1.1\r\n", head->method, head->target);
	for (size_t i = 0; i < head->n_headers; i++)
	{
		const char *name = head->headers[i].name;
		if (header_is_ours(names, name) || comet_http_head_hop_by_hop(head, name) ||
			(call->team != NULL && strcasecmp(name, names->authorization) == 0) ||
			(last_id != NULL && strcasecmp(name, names->last_event) == 0))
			continue;
		comet_http_write_header(out, name, head->headers[i].value);
	}
	g_string_append_printf(out, "%s: %" G_GUINT64_FORMAT "\r\n", names->deadline_ms,
		MAX((call->end_us - now_us) / 1000, 1));
	comet_http_write_header(out, names->expect_instance, instance->id);
	if (call->team != NULL)
		comet_http_write_header(out, names->team, call->team->name);
	if (last_id != NULL)
		comet_http_write_header(out, names->last_event, last_id);
	if (body->len > 0 || head->has_body)
		g_string_append_printf(out, "Content-Length: %u\r\n", body->len);
	g_string_append(out, "\r\n");
	g_string_append_len(out, (const char *)body->data, body->len);
	return out;
}

/* No word for longer than there should be. */
static void
on_silence(void *ctx)
{
	struct call *call = ctx;
	uint64_t now_us = comet_timers_now_us();
	uint64_t last_us = MAX(call->sent_us, call->last_us);

	call->silence = NULL;
	if (now_us - last_us < call->silent_after_us)
	{
		call->silence = comet_timers_add(call->gateway->timers, call,
			call->silent_after_us - (now_us - last_us), on_silence, call);
		return;
	}
	struct comet_instance *instance =
		comet_instances_find(call->gateway->instances, call->instance);
	bool doubted = instance != NULL && comet_instance_doubt(instance, last_us, now_us);
	comet_log(COMET_LOG_NOTICE,
		"event=silent request=%s endpoint=%s silent_ms=%" G_GUINT64_FORMAT " doubted=%d",
		call->id, call->instance, since_ms(last_us, now_us), doubted);
	if (call->paused || !comet_route_repeatable(call->route) || !may_repeat(call))
		return; /* all that is left is to wait */
	call->may_have_run = true;
	end_sending(call, COMET_DISPATCH_SILENT);
	call->resuming = call->started;
	place_again(call, "silent");
}

static void
watch_silence(struct call *call, const struct comet_instance *instance, uint64_t now_us)
{
	uint64_t first_us = 0;
	uint64_t whole_us = 0;

	comet_instance_expect(
		call->gateway->instances, instance, &call->item.job, now_us, &first_us, &whole_us);
	call->silent_after_us = MAX(SILENT_FACTOR * first_us, SILENT_MIN_US);
	call->silence = comet_timers_add(
		call->gateway->timers, call, call->silent_after_us, on_silence, call);
}

/* Copies what is needed of an answer's head after its reader has gone on. */
static struct comet_http_head *
copy_head(void *parent, const struct comet_http_head *head)
{
	struct comet_http_head *copy = talloc_memdup(parent, head, sizeof *head);

	copy->reason = talloc_strdup(copy, head->reason);
	copy->headers = talloc_array(copy, struct comet_http_header, head->n_headers);
	for (size_t i = 0; i < head->n_headers; i++)
	{
		copy->headers[i].name = talloc_strdup(copy, head->headers[i].name);
		copy->headers[i].value = talloc_strdup(copy, head->headers[i].value);
	}
	return copy;
}

/* Starts the caller's answer with the endpoint's head. length < 0: not known. */
static void
start_answer(struct call *call, int64_t length)
{
	const struct comet_http_head *head = call->head;
	GString *headers = g_string_sized_new(512);

	for (size_t i = 0; i < head->n_headers; i++)
	{
		if (!comet_http_head_hop_by_hop(head, head->headers[i].name))
			comet_http_write_header(
				headers, head->headers[i].name, head->headers[i].value);
	}
	comet_front_start(call->request, head->status, head->reason, headers->str, length);
	g_string_free(headers, TRUE);
	call->started = true;
}

static void
on_answer_head(void *ctx, const struct comet_http_head *head)
{
	struct call *call = ctx;
	const struct comet_wire_names *names = call->gateway->names;
	const char *load_text = comet_http_head_get(head, names->load);
	struct comet_wire_load load;
	uint64_t now_us = comet_timers_now_us();
	struct comet_instance *instance =
		comet_instances_find(call->gateway->instances, call->instance);

	if (instance != NULL)
		comet_instance_heard(instance, now_us);
	if (instance != NULL && load_text != NULL && comet_wire_parse_load(load_text, &load))
		comet_instance_told(instance, load.running + load.waiting, now_us);
	call->not_run = head->status == 421 || comet_http_head_get(head, names->not_run) != NULL;
	talloc_free(call->head);
	call->head = copy_head(call, head);
	call->last_us = now_us;
}

/* Is this head one of a success that may be passed on? */
static bool
is_good(const struct call *call)
{
	const struct comet_http_head *head = call->head;

	return !call->not_run && head->status >= 200 && head->status < 300 &&
	       comet_http_head_get(head, call->gateway->names->stamp) != NULL;
}

static void
hold_back(struct call *call)
{
	if (call->paused || comet_front_queued(call->request) < SLOW_READER_BYTES)
		return;
	call->paused = true;
	comet_exchange_pause(call->exchange, true);
}

/* Passes on the events that are whole. */
static void
pass_events(struct call *call, const char *data, size_t length)
{
	size_t ready = comet_event_stream_add(call->events, data, length);

	if (ready == 0)
		return;
	if (!call->started)
		start_answer(call, -1);
	comet_front_send(call->request, comet_event_stream_ready(call->events), ready);
	comet_event_stream_taken(call->events);
	hold_back(call);
}

static void
pass_plain(struct call *call, const char *data, size_t length)
{
	if (call->started)
	{
		comet_front_send(call->request, data, length);
		hold_back(call);
		return;
	}
	g_byte_array_append(call->answer, (const guint8 *)data, (guint)length);
	if (call->answer->len < PLAIN_BUFFER_BYTES || call->not_run)
		return;
	const char *told = comet_http_head_get(call->head, "Content-Length");
	start_answer(call, told != NULL ? g_ascii_strtoll(told, NULL, 10) : -1);
	comet_front_send(call->request, (const char *)call->answer->data, call->answer->len);
	g_byte_array_set_size(call->answer, 0);
	hold_back(call);
}

static void
on_answer_data(void *ctx, const char *data, size_t length)
{
	struct call *call = ctx;
	uint64_t now_us = comet_timers_now_us();

	struct comet_instance *instance =
		comet_instances_find(call->gateway->instances, call->instance);

	call->last_us = now_us;
	if (instance != NULL)
		comet_instance_heard(instance, now_us);
	if (call->first_us == 0)
	{
		call->first_us = now_us;
		if (instance != NULL)
			comet_instance_first(call->gateway->instances, instance, &call->item.job,
				now_us - call->sent_us);
	}
	if (is_stream(call) && is_good(call))
		pass_events(call, data, length);
	else
		pass_plain(call, data, length);
}

static void
log_served(const struct call *call, unsigned int status)
{
	uint64_t now_us = comet_timers_now_us();

	comet_log(status < 400 ? COMET_LOG_INFO : COMET_LOG_NOTICE,
		"event=answered request=%s status=%u endpoint=%s total_ms=%" G_GUINT64_FORMAT
		" first_ms=%" G_GUINT64_FORMAT " events=%u attempts=%u",
		call->id, status, call->instance, since_ms(call->arrived_us, now_us),
		call->first_us != 0 ? since_ms(call->sent_us, call->first_us) : 0,
		call->events != NULL ? comet_event_stream_count(call->events) : 0, call->attempts);
}

static void
count_times(const struct call *call)
{
	struct comet_gateway_times *times = &call->gateway->times[call->route->kind];

	if (call->first_us != 0)
		comet_latency_add(&times->first, call->first_us - call->arrived_us);
	comet_latency_add(&times->whole, comet_timers_now_us() - call->arrived_us);
}

/* The whole answer is here and is passed on. */
static void
deliver(struct call *call, enum comet_dispatch_result result)
{
	struct comet_front_request *request = call->request;

	if (!call->started)
	{
		bool head_only = strcmp(request->head->method, "HEAD") == 0;
		const char *told = comet_http_head_get(call->head, "Content-Length");
		int64_t length = head_only && told != NULL ? g_ascii_strtoll(told, NULL, 10)
							   : (int64_t)call->answer->len;
		start_answer(call, length);
		comet_front_send(request, (const char *)call->answer->data, call->answer->len);
	}
	log_served(call, call->head->status);
	count_times(call);
	if (result == COMET_DISPATCH_SERVED)
		call->gateway->counts.served++;
	else
		call->gateway->counts.relayed_errors++;
	end_sending(call, result);
	request->user = NULL;
	close_call(call);
	comet_front_finish(request);
}

/* A sending failed in a way that may have run the request. */
static void
sending_broke(struct call *call, enum comet_dispatch_result result)
{
	call->may_have_run = true;
	comet_log(COMET_LOG_NOTICE,
		"event=sending_failed request=%s endpoint=%s result=%s events=%u", call->id,
		call->instance, comet_dispatch_result_name(result),
		call->events != NULL ? comet_event_stream_count(call->events) : 0);
	end_sending(call, result);
	if (call->started && (!is_stream(call) || comet_event_stream_last_id(call->events) == NULL))
	{
		cut(call, "endpoint_broke");
		return;
	}
	if (!may_repeat(call))
	{
		give_up(call, 502, "endpoint_broke");
		return;
	}
	call->resuming = call->started;
	if (call->events != NULL)
		comet_event_stream_restart(call->events);
	place_again(call, "endpoint_broke");
}

/* The endpoint said that it has not run it. */
static void
sending_refused(struct call *call)
{
	bool wrong = call->head->status == 421;
	const char *told = comet_http_head_get(call->head, "Retry-After");
	uint32_t retry_after_ms = told != NULL ? (uint32_t)(g_ascii_strtod(told, NULL) * 1000) : 0;

	comet_log(COMET_LOG_INFO, "event=endpoint_refused request=%s endpoint=%s status=%u",
		call->id, call->instance, call->head->status);
	end_sending(call, wrong ? COMET_DISPATCH_WRONG : COMET_DISPATCH_REFUSED);
	if (may_repeat(call))
		place_again(call, wrong ? "wrong_instance" : "endpoint_full");
	else if (call->started)
		cut(call, "endpoint_full");
	else
		refuse(call, "endpoint_full", MAX(retry_after_ms, 200));
}

/* A whole answer was read. */
static void
answer_whole(struct call *call)
{
	if (call->not_run)
	{
		sending_refused(call);
		return;
	}
	if (is_good(call))
	{
		bool torn = is_stream(call) && comet_event_stream_inside(call->events);
		if (torn)
			sending_broke(call, COMET_DISPATCH_BROKEN);
		else
			deliver(call, COMET_DISPATCH_SERVED);
		return;
	}
	bool stamped = comet_http_head_get(call->head, call->gateway->names->stamp) != NULL;
	bool server_error = call->head->status >= 500;
	if (call->started || (call->head->status < 300 && !stamped))
	{
		sending_broke(call, COMET_DISPATCH_BROKEN);
		return;
	}
	call->may_have_run = true;
	/* The same endpoint would only fail again: then its answer is the best there is. */
	if (server_error && comet_route_repeatable(call->route) &&
		comet_placement_has_other(call->gateway->placement, &call->item) &&
		may_repeat(call))
	{
		end_sending(call, COMET_DISPATCH_ERROR);
		place_again(call, "endpoint_error");
		return;
	}
	deliver(call, server_error ? COMET_DISPATCH_ERROR : COMET_DISPATCH_SERVED);
}

static void
on_answer_end(void *ctx, enum comet_exchange_end end)
{
	struct call *call = ctx;

	call->exchange = NULL; /* frees itself */
	switch (end)
	{
	case COMET_EXCHANGE_WHOLE:
		answer_whole(call);
		break;
	case COMET_EXCHANGE_BROKEN:
		sending_broke(call, COMET_DISPATCH_BROKEN);
		break;
	case COMET_EXCHANGE_UNREACHED:
		comet_log(COMET_LOG_NOTICE, "event=unreached request=%s endpoint=%s", call->id,
			call->instance);
		call->attempts--;
		end_sending(call, COMET_DISPATCH_UNREACHED);
		if (comet_timers_now_us() < call->end_us &&
			call->item.n_tried < COMET_PLACEMENT_TRIED_MAX)
			place_again(call, "unreached");
		else
			give_up(call, 502, "unreached");
		break;
	}
}

static const struct comet_exchange_events exchange_events = {
	.head = on_answer_head, .data = on_answer_data, .end = on_answer_end};

/* Placement has chosen: sends the request. */
static void
on_dispatch(void *ctx, struct comet_placement_item *item, struct comet_instance *instance)
{
	struct comet_gateway *gateway = ctx;
	struct call *call = item->owner;
	const struct comet_placement_reason *reason = comet_placement_reason(gateway->placement);
	uint64_t now_us = comet_timers_now_us();
	GString *bytes = write_request(call, instance, now_us);
	struct comet_exchange_request sending = {
		.instance = instance->id,
		.address = instance->address,
		.bytes = bytes->str,
		.length = bytes->len,
		.id_header = gateway->names->request_id,
		.id = call->id,
		.head_only = strcmp(call->request->head->method, "HEAD") == 0,
	};

	comet_log(COMET_LOG_INFO,
		"event=sent request=%s endpoint=%s load=%u slots=%u candidates=%u with_room=%u "
		"waited_ms=%" G_GUINT64_FORMAT " expect_first_ms=%" G_GUINT64_FORMAT
		" view_age_ms=%" G_GUINT64_FORMAT " pace=%.2f attempt=%u",
		call->id, instance->id, reason->load, reason->slots, reason->candidates,
		reason->with_room, reason->waited_us / 1000, reason->first_us / 1000,
		reason->view_age_us / 1000, instance->pace, call->attempts + 1);
	if (call->attempts == 0)
		comet_latency_add(
			&gateway->times[call->route->kind].waited, now_us - call->arrived_us);
	if (call->attempts == 0)
		comet_retry_budget_first(gateway->retries, call->service, now_us);
	if (call->resuming)
		gateway->counts.resumed++;
	gateway->counts.dispatched++;
	call->attempts++;
	call->not_run = false;
	call->paused = false;
	call->sent_us = now_us;
	call->first_us = 0;
	call->last_us = 0;
	call->first_count = call->events != NULL ? comet_event_stream_count(call->events) : 0;
	call->instance = talloc_strdup(call, instance->id);
	comet_instance_started(instance, &item->job);
	call->exchange =
		comet_upstream_send(gateway->upstream, call, &sending, &exchange_events, call);
	watch_silence(call, instance, now_us);
	g_string_free(bytes, TRUE);
}

static void
on_refuse(void *ctx, struct comet_placement_item *item, uint32_t retry_after_ms)
{
	struct call *call = item->owner;

	(void)ctx;
	if (call->started)
		cut(call, "no_endpoint");
	else
		refuse(call, "no_room", retry_after_ms);
}

const struct comet_placement_ops comet_gateway_placement_ops = {
	.dispatch = on_dispatch, .refuse = on_refuse};

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
read_job(struct call *call)
{
	const struct comet_wire_names *names = call->gateway->names;
	const struct comet_http_head *head = call->request->head;
	const char *tokens = comet_http_head_get(head, names->tokens);
	const char *hint = comet_http_head_get(head, names->output_hint);
	struct comet_job *job = &call->item.job;
	uint32_t expected = 0;

	job->stream = is_stream(call);
	call->charge = call->team != NULL && call->team->in_tokens ? call->team->default_tokens : 1;
	if (tokens == NULL ||
		!comet_wire_parse_tokens(tokens, &job->prompt_tokens, &job->output_tokens))
		return;
	job->output_most = job->output_tokens;
	if (call->team != NULL && call->team->in_tokens)
		call->charge = (uint64_t)job->prompt_tokens + job->output_tokens;
	if (hint != NULL && comet_wire_parse_ms(hint, &expected) && expected > 0)
		job->output_tokens = MIN(expected, job->output_tokens);
}

/* Until when the request is worth sending, and until when its caller waits. */
static void
read_times(struct call *call)
{
	const struct comet_route *route = call->route;
	const char *told =
		comet_http_head_get(call->request->head, call->gateway->names->deadline_ms);
	uint64_t patience_ms = UINT32_MAX;
	uint32_t deadline_ms = 0;

	if (told != NULL && comet_wire_parse_ms(told, &deadline_ms))
		patience_ms = deadline_ms;
	if (route->timeout_ms > 0)
		patience_ms = MIN(patience_ms, route->timeout_ms);
	call->end_us = call->arrived_us + patience_ms * 1000;
	if (is_stream(call))
	{
		uint64_t first_ms = MAX(PATIENCE_MIN_MS, (uint64_t)PATIENCE_AIMS * route->aim_ms);
		first_ms = MAX(first_ms, (uint64_t)PATIENCE_GAPS * route->gap_ms);
		patience_ms = MIN(patience_ms, first_ms);
	}
	call->item.latest_us =
		call->arrived_us + (uint64_t)((double)patience_ms * 1000 * (1 - WORK_PART));
	call->item.end_us = call->end_us;
	call->item.early_us = call->arrived_us + (uint64_t)route->aim_ms * 1000 / EARLY_PART;
}

/* Hands the call to placement. */
static void
place(struct call *call, uint64_t now_us)
{
	struct comet_gateway *gateway = call->gateway;
	struct comet_placement_item *item = &call->item;

	item->owner = call;
	item->service = call->service;
	item->team_rank = call->team != NULL && call->team->has_priority ? call->team->priority : 0;
	item->route_rank = call->route->priority;
	item->repeatable = comet_route_repeatable(call->route) && call->route->max_attempts > 1;
	call->answer = g_byte_array_new();
	if (is_stream(call))
		call->events = comet_event_stream_create(call);
	if (call->end_us > now_us)
		call->deadline = comet_timers_add(
			gateway->timers, call, call->end_us - now_us, on_deadline, call);
	gateway->counts.admitted++;
	comet_placement_submit(gateway->placement, item, now_us);
}

/* Checks key and limit. @return false when the call was answered. */
static bool
admit_team(struct call *call, uint64_t now_us)
{
	struct comet_gateway *gateway = call->gateway;

	if (!call->route->open && comet_route_table_needs_keys(call->table))
	{
		const char *key = key_of(gateway, call->request->head);
		call->team = key != NULL ? comet_route_table_team_by_key(call->table, key) : NULL;
		if (call->team == NULL)
		{
			gateway->counts.refused_other++;
			answer_own(call, 401, "unknown_key", 0);
			return false;
		}
	}
	read_job(call);
	if (call->team == NULL)
		return true;
	uint32_t wait_ms =
		comet_allowance_spend(gateway->allowance, call->team->id, call->charge, now_us);
	if (wait_ms == 0)
		return true;
	gateway->counts.refused_team++;
	answer_own(call, 429, "team_limit", wait_ms);
	return false;
}

/* Finds the route of a request. @return false when the call was answered. */
static bool
find_route(struct call *call)
{
	struct comet_gateway *gateway = call->gateway;
	const struct comet_http_head *head = call->request->head;
	const char *host = comet_http_head_get(head, "Host");

	if (call->id == NULL || host == NULL || head->target[0] != '/' ||
		comet_http_head_count(head, "Host") != 1)
	{
		gateway->counts.refused_other++;
		answer_own(call, 400, "malformed", 0);
		return false;
	}
	call->route = comet_route_table_find(call->table, host, head->target);
	if (call->route == NULL)
	{
		gateway->counts.refused_other++;
		answer_own(call, 404, "no_route", 0);
		return false;
	}
	return true;
}

static void
on_request(void *ctx, struct comet_front_request *request)
{
	struct comet_gateway *gateway = ctx;
	uint64_t now_us = comet_timers_now_us();

	if (gateway->table == NULL)
	{
		gateway->counts.refused_other++;
		comet_front_answer(request, 503, "Retry-After: " NOT_READY_RETRY_S "\r\n", "", 0);
		return;
	}
	if (gateway->refusing)
	{
		/* Too late to be finished before this process ends: others take it at once. */
		gateway->counts.refused_early++;
		comet_front_answer(request, 503, "Retry-After: " STOPPING_RETRY_S "\r\n", "", 0);
		return;
	}
	struct call *call = talloc_zero(gateway, struct call);
	gateway->calls++;
	talloc_set_destructor(call, call_destroy);
	call->gateway = gateway;
	call->request = request;
	call->table = comet_route_table_ref(gateway->table);
	call->id = comet_http_head_get(request->head, gateway->names->request_id);
	call->arrived_us = request->received_us;
	request->user = call;
	if (!find_route(call) || !admit_team(call, now_us))
		return;
	read_times(call);
	call->service = talloc_strdup(
		call, comet_route_pick_service(call->route, comet_gateway_draw(gateway)));
	comet_log(COMET_LOG_INFO,
		"event=admitted request=%s route=%s service=%s team=%s prompt=%u output=%u most=%u "
		"version=%" G_GUINT64_FORMAT,
		call->id, call->route->name, call->service,
		call->team != NULL ? call->team->name : "-", call->item.job.prompt_tokens,
		call->item.job.output_tokens, call->item.job.output_most,
		comet_route_table_version(call->table));
	place(call, now_us);
}

static void
on_gone(void *ctx, struct comet_front_request *request)
{
	struct comet_gateway *gateway = ctx;
	struct call *call = request->user;

	if (call == NULL)
		return;
	gateway->counts.left++;
	comet_log(COMET_LOG_INFO,
		"event=caller_left request=%s endpoint=%s held_ms=%" G_GUINT64_FORMAT " started=%d",
		call->id, call->instance != NULL ? call->instance : "-",
		since_ms(call->arrived_us, comet_timers_now_us()), call->started);
	if (call->instance != NULL)
		end_sending(call, COMET_DISPATCH_CANCELLED);
	close_call(call);
}

static void
on_drained(void *ctx, struct comet_front_request *request)
{
	struct call *call = request->user;

	(void)ctx;
	if (call == NULL || !call->paused || call->exchange == NULL)
		return;
	call->paused = false;
	comet_exchange_pause(call->exchange, false);
}

const struct comet_front_events comet_gateway_call_events = {
	.request = on_request, .gone = on_gone, .drained = on_drained};
