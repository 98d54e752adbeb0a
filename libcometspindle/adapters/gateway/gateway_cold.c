/*
 * gateway_cold.c
 * connects placement and gossip: the share of this VM in the requests to cold endpoints
 */
#include <libcometspindle/adapters/gateway/gateway_private.h>

#include <libcometspindle/log.h>

/* After a pause of this length, other VMs may have taken this one for dead (UNREACHABLE_MIN_US in
 * gossip.c), so that it uses the share of a process that has just started. */
#define LONG_PAUSE_US 1000000

uint32_t
comet_gateway_count_preferred(void *ctx, const struct comet_shard *shard)
{
	const struct comet_gateway *gateway = ctx;

	return comet_gossip_count_preferred(
		gateway->gossip, shard->id, shard->zone_id, comet_timers_now_us());
}

/* Logs the latest request that was not sent or granted to a cold endpoint, and the number of such
 * requests since the last log line. */
static void
log_refusal(struct comet_gateway *gateway, const struct comet_cold_vms *vms, uint64_t now_us)
{
	const struct comet_cold_refusal *refusal = comet_placement_cold_refusal(gateway->placement);
	const struct comet_instance *instance =
		comet_instances_find_key(gateway->instances, refusal->instance_key);
	const struct comet_shard *shard =
		instance != NULL ? comet_placement_find_shard(gateway->placement, instance->shard)
				 : NULL;

	if (refusal->count == gateway->cold_refusals_logged || shard == NULL)
		return;
	const struct comet_cold_position *position = &shard->cold_position;
	comet_log_repeated(COMET_LOG_INFO,
		"event=cold_endpoint_refused endpoint=%s times=%" G_GUINT64_FORMAT
		" last_ms=%" G_GUINT64_FORMAT
		" other_vm=%d recent=%u allowance=%u position=%u position_age_ms=%" G_GUINT64_FORMAT
		" fraction=%.3f heard=%u known=%u discovering=%d age_ms=%" G_GUINT64_FORMAT,
		instance->id, refusal->count - gateway->cold_refusals_logged,
		(now_us - refusal->at_us) / 1000, refusal->for_other_vm, refusal->recent,
		refusal->allowance, position->position, (now_us - position->checked_us) / 1000,
		comet_placement_cold_fraction(gateway->placement), vms->heard, vms->known,
		vms->discovering, vms->age_us / 1000);
	gateway->cold_refusals_logged = refusal->count;
}

void
comet_gateway_update_cold_shares(struct comet_gateway *gateway, uint64_t now_us)
{
	struct comet_cold_vms vms;

	comet_gossip_observe_vms(gateway->gossip, &vms, now_us);
	vms.discovering = vms.discovering || gateway->discovery.active;
	if (gateway->long_pause_us != 0)
	{
		vms.age_us = MIN(vms.age_us, now_us - gateway->long_pause_us);
		vms.is_younger = true;
	}
	comet_placement_update_cold_shares(gateway->placement, &vms, now_us);
	log_refusal(gateway, &vms, now_us);
}

void
comet_gateway_handle_cold_pause(struct comet_gateway *gateway, uint64_t paused_us, uint64_t now_us)
{
	if (paused_us < LONG_PAUSE_US)
		return;
	gateway->long_pause_us = now_us;
	comet_gateway_update_cold_shares(gateway, now_us);
}
