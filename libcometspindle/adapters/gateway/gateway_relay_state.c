/*
 * gateway_relay_state.c
 * one request at a gateway: what can be told of it at any time
 */
#include <libcometspindle/adapters/gateway/gateway_relay.h>

bool
comet_relay_is_stream(const struct comet_relay *relay)
{
	return relay->route->kind == COMET_ROUTE_STREAM;
}

struct comet_instance *
comet_relay_instance(const struct comet_relay *relay)
{
	if (relay->instance == NULL)
		return NULL;
	struct comet_instance *instance =
		comet_instances_find(relay->gateway->instances, relay->instance);
	return instance != NULL && instance->born_ms == relay->born_ms ? instance : NULL;
}

bool
comet_relay_was_measured(const struct comet_relay *relay)
{
	return relay->gateway->away_us < relay->sent_us;
}

uint32_t
comet_relay_events(const struct comet_relay *relay)
{
	return relay->events != NULL ? comet_event_stream_count(relay->events) : 0;
}

uint64_t
comet_relay_since_ms(uint64_t then_us, uint64_t now_us)
{
	return (now_us - then_us) / 1000;
}

bool
comet_relay_is_barred(const struct comet_relay *relay)
{
	return relay->route != NULL &&
	       comet_crashes_bars(relay->gateway->crashes, &relay->fingerprint);
}

struct comet_charge
comet_relay_charge_of(const struct comet_relay *relay)
{
	return (struct comet_charge){relay->team->id, relay->route->priority, relay->charge};
}
