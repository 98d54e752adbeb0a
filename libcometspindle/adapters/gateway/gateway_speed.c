/*
 * gateway_speed.c
 * learns how fast endpoints are from responses and from other VMs, and tells owners
 */
#include <libcometspindle/adapters/gateway/proxy_request.h>

#include <libcometspindle/log.h>

static void
log_ignored_slowdown(
	struct comet_gateway *gateway, const struct comet_instance *instance, uint32_t percent)
{
	gateway->counts.slowdowns_ignored++;
	comet_log_repeated(COMET_LOG_NOTICE,
		"event=slowdown_ignored endpoint=%s slowdown_percent=%u", instance->id, percent);
}

static bool
is_usual(uint32_t percent)
{
	return percent == COMET_SLOWDOWN_USUAL_PERCENT;
}

/* Sends the owner a sample of an unfinished stream, if the grant asked for it.
 * @param taken_us time from the first to the last of the events, without the stated slowdown
 * @param events 0: only the slowdown is sent */
static void
send_sample(struct comet_proxy_request *proxy, const struct comet_instance *instance,
	uint64_t taken_us, uint32_t events, uint64_t now_us)
{
	struct comet_grants_completion sample = {
		.result = COMET_DISPATCH_CANCELLED,
		.stream = true,
		.events = events,
		.taken_us = taken_us,
	};

	const struct comet_attempt *attempt = proxy->attempt;

	if (attempt->owner_vm == 0 || !attempt->sample_wanted)
		return;
	comet_grants_add_slowdown(&sample, instance, now_us);
	comet_grants_send_sample(
		proxy->gateway->grants, attempt->owner_vm, attempt->incarnation_key, &sample);
	proxy->gateway->counts.samples_sent++;
}

void
comet_proxy_request_load_stated(struct comet_proxy_request *proxy, struct comet_instance *instance,
	const char *load_text, uint64_t now_us)
{
	struct comet_gateway *gateway = proxy->gateway;
	struct comet_header_load load;

	if (!comet_header_parse_load(load_text, &load))
	{
		comet_log_repeated(COMET_LOG_NOTICE,
			"event=header_ignored request=%s endpoint=%s header=%s", proxy->id,
			instance->id, gateway->names->load);
		return;
	}
	comet_instance_load_reported(instance, load.running + load.waiting, now_us);
	if (!load.slowdown_stated)
		return;
	if (!comet_current_speed_observe(&instance->speed, load.slowdown_percent, now_us))
	{
		log_ignored_slowdown(gateway, instance, load.slowdown_percent);
		return;
	}
	if (is_usual(load.slowdown_percent))
		return;
	gateway->counts.slowdowns_stated++;
	/* The release of a plain request follows at once and tells the owner. */
	if (comet_proxy_request_is_stream(proxy))
		send_sample(proxy, instance, 0, 0, now_us);
}

void
comet_proxy_request_sample(struct comet_proxy_request *proxy, uint64_t now_us)
{
	struct comet_instance *instance = comet_proxy_request_instance(proxy);
	struct comet_attempt *attempt = proxy->attempt;
	uint32_t events = comet_proxy_request_events(proxy) - attempt->prior_events;

	if (attempt->sampled || instance == NULL)
		return;
	if (attempt->first_events == 0)
	{
		attempt->first_events = events;
		return;
	}
	/* Events that arrived together with the first one took no time. */
	uint32_t timed = events - attempt->first_events + 1;
	if (timed < COMET_INSTANCE_SAMPLE_EVENTS || !comet_proxy_request_timing_is_valid(proxy))
		return;
	attempt->sampled = true;
	uint64_t taken_us = comet_current_speed_usual_us(
		&instance->speed, now_us - attempt->first_byte_us, now_us);
	if (taken_us == 0)
		return;
	if (comet_instance_wants_samples(instance))
		comet_instance_add_sample(instance, true, taken_us, timed);
	send_sample(proxy, instance, taken_us, timed, now_us);
}

void
comet_gateway_learn_speed(struct comet_gateway *gateway, struct comet_instance *instance,
	const comet_SlotFreed *freed, uint64_t now_us)
{
	gateway->counts.samples_received += freed->still_running ? 1 : 0;
	if (!comet_grants_learn_speed(instance, freed, now_us))
		log_ignored_slowdown(gateway, instance, freed->slowdown_percent);
}
