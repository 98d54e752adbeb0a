/*
 * proxy_request_state.c
 * queries on a proxy request that do not change its state
 */
#include <libcometspindle/adapters/gateway/proxy_request.h>

bool
comet_proxy_request_is_stream(const struct comet_proxy_request *proxy)
{
	return proxy->route->kind == COMET_ROUTE_STREAM;
}

struct comet_instance *
comet_proxy_request_instance(const struct comet_proxy_request *proxy)
{
	if (proxy->attempt == NULL || proxy->attempt->instance_id == NULL)
		return NULL;
	struct comet_instance *instance =
		comet_instances_find(proxy->gateway->instances, proxy->attempt->instance_id);
	return instance != NULL && instance->process_start_ms == proxy->attempt->process_start_ms
		       ? instance
		       : NULL;
}

bool
comet_proxy_request_timing_is_valid(const struct comet_proxy_request *proxy)
{
	return proxy->gateway->pause_detected_us < proxy->attempt->sent_us;
}

uint32_t
comet_proxy_request_events(const struct comet_proxy_request *proxy)
{
	return proxy->events != NULL ? comet_event_stream_count(proxy->events) : 0;
}

uint64_t
comet_proxy_request_elapsed_ms(uint64_t then_us, uint64_t now_us)
{
	return (now_us - then_us) / 1000;
}

uint64_t
comet_proxy_request_remaining_ms(const struct comet_proxy_request *proxy, uint64_t now_us)
{
	return MAX((proxy->deadline_us - MIN(now_us, proxy->deadline_us)) / 1000, 1);
}

bool
comet_proxy_request_has_quarantined_part(const struct comet_proxy_request *proxy)
{
	for (uint32_t i = 0; i < proxy->n_parts && !proxy->part_trial; i++)
	{
		if (comet_crash_tracker_is_quarantined(
			    proxy->gateway->crashing_parts, &proxy->parts[i]))
			return true;
	}
	return false;
}

bool
comet_proxy_request_is_undecided(const struct comet_proxy_request *proxy, uint64_t now_us)
{
	const struct comet_gateway *gateway = proxy->gateway;
	bool undecided = comet_crash_tracker_is_undecided(
		gateway->crash_tracker, &proxy->fingerprint, now_us);

	for (uint32_t i = 0; i < proxy->n_parts && !proxy->part_trial && !undecided; i++)
		undecided = comet_crash_tracker_is_undecided(
			gateway->crashing_parts, &proxy->parts[i], now_us);
	return undecided;
}

bool
comet_proxy_request_is_quarantined(const struct comet_proxy_request *proxy)
{
	return proxy->route != NULL &&
	       (comet_crash_tracker_is_quarantined(
			proxy->gateway->crash_tracker, &proxy->fingerprint) ||
		       comet_proxy_request_has_quarantined_part(proxy));
}

struct comet_quota_request
comet_proxy_request_charge_amount(const struct comet_proxy_request *proxy)
{
	return (struct comet_quota_request){
		proxy->team->id, proxy->route->priority, proxy->quota_amount};
}
