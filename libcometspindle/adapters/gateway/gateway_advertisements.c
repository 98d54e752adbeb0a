/*
 * gateway_advertisements.c
 * applies what endpoints state about their own condition in their responses
 */
#include <libcometspindle/adapters/gateway/gateway_private.h>

#include <libcometspindle/log.h>

/* Applies the limit on the request rate. A malformed value changes nothing. */
static void
apply_limit(struct comet_gateway *gateway, struct comet_instance *instance,
	const struct comet_advertisement *advertisement, uint64_t now_us)
{
	double per_s =
		advertisement->limit == COMET_ADVERTISED_VALID ? advertisement->limit_per_s : -1;

	if (advertisement->limit == COMET_ADVERTISED_MALFORMED ||
		!comet_instance_limit_advertised(instance, per_s, now_us))
		return;
	comet_gossip_schedule_broadcast(gateway->gossip);
	if (instance->limit.active)
		comet_log(COMET_LOG_NOTICE, "event=limit_advertised endpoint=%s per_s=%.3f",
			instance->id, instance->limit.max_per_s);
	else
		comet_log(COMET_LOG_NOTICE, "event=limit_withdrawn endpoint=%s", instance->id);
}

/* Applies the number of rejections that the endpoint bears. A malformed value changes nothing. */
static void
apply_brittleness(struct comet_instance *instance, const struct comet_advertisement *advertisement,
	uint64_t now_us)
{
	bool active = advertisement->brittle == COMET_ADVERTISED_VALID;

	if (advertisement->brittle == COMET_ADVERTISED_MALFORMED ||
		!comet_brittleness_observe(
			&instance->brittleness, active, advertisement->rejections_per_s, now_us))
		return;
	if (active)
		comet_log(COMET_LOG_NOTICE,
			"event=endpoint_brittle endpoint=%s rejections_per_s=%u", instance->id,
			advertisement->rejections_per_s);
	else
		comet_log(COMET_LOG_NOTICE, "event=endpoint_not_brittle endpoint=%s", instance->id);
}

/* Excludes the endpoint from new requests of all VMs. Responses that were sent before may arrive
 * later; they change nothing. */
static void
apply_leaving(struct comet_gateway *gateway, struct comet_instance *instance, uint64_t now_us)
{
	if (!comet_instance_left(instance, now_us))
		return;
	comet_log(COMET_LOG_NOTICE, "event=endpoint_leaves endpoint=%s listed_draining=%d",
		instance->id, instance->draining);
	comet_upstream_close_instance(gateway->upstream, instance->id);
	comet_gossip_schedule_broadcast(gateway->gossip);
}

/* Sends no requests of this VM to the endpoint for the time that it states. The time binds this VM
 * only, since the endpoint states another one to each VM. */
static void
apply_rest(struct comet_instance *instance, uint32_t rest_ms, uint64_t now_us)
{
	comet_log_writer *write =
		comet_instance_is_resting(instance, now_us) ? comet_log_repeated : comet_log;

	comet_instance_rest_requested(instance, (uint64_t)rest_ms * 1000, now_us);
	write(COMET_LOG_NOTICE, "event=endpoint_rests endpoint=%s rest_ms=%u", instance->id,
		rest_ms);
}

void
comet_gateway_apply_advertisement(struct comet_gateway *gateway, struct comet_instance *instance,
	const struct comet_http_head *head, uint64_t now_us)
{
	struct comet_advertisement advertisement;

	gateway->decode_advertisement(head, instance->id, &advertisement);
	apply_limit(gateway, instance, &advertisement, now_us);
	apply_brittleness(instance, &advertisement, now_us);
	if (advertisement.leaving == COMET_ADVERTISED_VALID)
		apply_leaving(gateway, instance, now_us);
	if (advertisement.rest == COMET_ADVERTISED_VALID)
		apply_rest(instance, advertisement.rest_ms, now_us);
}
