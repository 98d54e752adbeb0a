/*
 * gateway_endpoint_attempt.c
 * an attempt of a proxy request that goes to an endpoint directly
 */
#include <libcometspindle/adapters/gateway/gateway_crashes.h>

#include <libcometspindle/adapters/gateway/forward_head.h>
#include <libcometspindle/adapters/gateway/gateway_reachability.h>
#include <libcometspindle/log.h>
#include <string.h>
#include <talloc.h>

/* Writes the request that is sent to the endpoint. */
static GString *
write_request(const struct comet_proxy_request *proxy, const struct comet_instance *instance,
	uint64_t now_us)
{
	const GByteArray *body = proxy->request->body;
	struct comet_forward_params forward = {
		.remaining_ms = comet_proxy_request_remaining_ms(proxy, now_us),
		.instance = instance->id,
		.team = proxy->team != NULL ? proxy->team->name : NULL,
		.last_event = proxy->resuming ? comet_event_stream_last_id(proxy->events) : NULL,
		.body_bytes = body->len,
	};
	GString *out = g_string_sized_new(1024 + body->len);

	comet_forward_write_head(out, proxy->request->head, proxy->gateway->names, &forward);
	g_string_append_len(out, (const char *)body->data, body->len);
	return out;
}

static void
begin(struct comet_attempt *attempt, struct comet_instance *instance, uint64_t now_us)
{
	struct comet_proxy_request *proxy = attempt->proxy;
	struct comet_gateway *gateway = proxy->gateway;
	GString *bytes = write_request(proxy, instance, now_us);
	const struct comet_exchange_request request = {
		.instance = instance->id,
		.address = instance->address,
		.bytes = bytes->str,
		.length = bytes->len,
		.id_header = gateway->names->request_id,
		.id = proxy->id,
		.head_only = strcmp(proxy->request->head->method, "HEAD") == 0,
		.new_connection = proxy->retry_same_endpoint,
		.counted = instance->near ? &gateway->bytes[COMET_GATEWAY_USE_ENDPOINTS]
					  : &gateway->crossing[COMET_GATEWAY_USE_ENDPOINTS],
	};

	attempt->prompt_tokens_ahead =
		comet_instance_prompt_tokens_ahead(instance, attempt->sent_us);
	comet_instance_dispatch_started(instance, &proxy->item.size);
	attempt->exchange = comet_upstream_send(
		gateway->upstream, attempt, &request, gateway->response_events, proxy);
	g_string_free(bytes, TRUE);
}

static void
forward(struct comet_attempt *attempt, const struct comet_http_head *head, uint64_t now_us)
{
	struct comet_gateway *gateway = attempt->proxy->gateway;
	struct comet_instance *instance = comet_proxy_request_instance(attempt->proxy);
	const char *load_text = comet_http_head_get(head, gateway->names->load);

	if (instance == NULL)
		return;
	comet_instance_seen(instance, now_us);
	if (load_text != NULL)
		comet_proxy_request_load_stated(attempt->proxy, instance, load_text, now_us);
	/* A 421 is the response of another process. */
	if (head->status != 421)
		comet_gateway_apply_advertisement(gateway, instance, head, now_us);
}

static enum comet_dispatch_result
give_up(const struct comet_attempt *attempt)
{
	(void)attempt;
	return COMET_DISPATCH_SILENT;
}

/* Adds what this VM knows of the brittleness of the endpoint, which its owner may not know yet. */
static void
add_brittleness(struct comet_grants_completion *completion, const struct comet_instance *instance)
{
	if (instance == NULL || instance->brittleness.observed_us == 0)
		return;
	completion->brittle = instance->brittleness.active;
	completion->rejections_per_s = instance->brittleness.rejections_per_s;
	completion->brittle_age_us =
		MAX(comet_timers_now_us() - instance->brittleness.observed_us, 1);
}

/* Releases the slot at its owner, and reports the service time of a complete response. */
static void
release_slot(struct comet_attempt *attempt, enum comet_dispatch_result result, uint32_t events)
{
	const struct comet_proxy_request *proxy = attempt->proxy;
	bool whole = result == COMET_DISPATCH_SERVED && attempt->first_byte_us != 0 &&
		     comet_proxy_request_timing_is_valid(proxy);
	bool stream = comet_proxy_request_is_stream(proxy);
	const struct comet_instance *instance = comet_proxy_request_instance(proxy);
	uint64_t begun_us = stream ? attempt->first_byte_us : attempt->sent_us;
	uint64_t taken_us = whole ? attempt->last_byte_us - begun_us : 0;
	struct comet_grants_completion end = {
		.result = result,
		.stream = stream,
	};

	if (attempt->owner_vm == 0)
		return;
	if (instance != NULL)
	{
		end.taken_us = comet_current_speed_usual_us(
			&instance->speed, taken_us, attempt->last_byte_us);
		comet_grants_add_slowdown(&end, instance, comet_timers_now_us());
	}
	else
		end.taken_us = taken_us;
	end.events = end.taken_us > 0 ? events : 0;
	add_brittleness(&end, instance);
	comet_gateway_links_release(
		proxy->gateway->links, attempt->owner_vm, attempt->incarnation_key, &end);
	attempt->owner_vm = 0;
}

static void
record_result(struct comet_attempt *attempt, struct comet_instance *instance,
	enum comet_dispatch_result result, uint32_t events, uint64_t now_us)
{
	const struct comet_proxy_request *proxy = attempt->proxy;
	uint64_t taken_us = comet_proxy_request_is_stream(proxy)
				    ? attempt->last_byte_us - attempt->first_byte_us
				    : now_us - attempt->sent_us;

	if (!comet_proxy_request_timing_is_valid(proxy))
		taken_us = COMET_LATENCY_UNKNOWN;
	if (comet_instance_dispatch_ended(instance, &proxy->item.size, attempt->first_byte_us != 0,
		    result, taken_us, events, attempt->sent_us, now_us))
		comet_log(COMET_LOG_NOTICE,
			"event=endpoint_%s endpoint=%s result=%s failures=%u "
			"error_rate=%.2f",
			instance->ejected_until_us != 0 ? "avoided" : "trusted", instance->id,
			comet_dispatch_result_name(result), instance->failures,
			instance->error_rate);
	comet_placement_slot_released(proxy->gateway->placement, instance);
	/* The hint states the length of the whole stream, not of the rest after a broken attempt.
	 */
	if (result == COMET_DISPATCH_SERVED && attempt->prior_events == 0)
		comet_placement_learn_size(proxy->gateway->placement, &proxy->item, events);
}

static void
end(struct comet_attempt *attempt, enum comet_dispatch_result result, uint64_t now_us)
{
	struct comet_proxy_request *proxy = attempt->proxy;
	struct comet_instance *instance = comet_proxy_request_instance(proxy);
	uint32_t events = comet_proxy_request_events(proxy) - attempt->prior_events;

	comet_gateway_links_attempt_ended(proxy->gateway->links, result);
	comet_gateway_attempt_ending(proxy, result);
	proxy->part_trial = attempt->part_trial &&
			    (attempt->not_executed || result == COMET_DISPATCH_UNREACHABLE);
	if (instance != NULL)
		record_result(attempt, instance, result, events, now_us);
	release_slot(attempt, result, events);
}

static const struct comet_attempt_type endpoint_attempt = {
	.begin = begin, .forward = forward, .give_up = give_up, .end = end};

void
comet_attempt_begin_at_endpoint(
	struct comet_proxy_request *proxy, struct comet_instance *instance, uint64_t now_us)
{
	struct comet_attempt *attempt = comet_attempt_create(proxy, &endpoint_attempt, now_us);

	proxy->gateway->counts.dispatched++;
	attempt->part_trial = proxy->part_trial;
	proxy->part_trial = false; /* no further attempt: the endpoint may run the request */
	attempt->instance_id = talloc_strdup(attempt, instance->id);
	attempt->process_start_ms = instance->process_start_ms;
	attempt->incarnation_key = instance->key;
	attempt->version_id = instance->version_id;
	attempt->owner_vm = proxy->item.owner_vm;
	attempt->sample_wanted = proxy->item.sample_wanted;
	attempt->type->begin(attempt, instance, now_us);
}
