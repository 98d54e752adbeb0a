/*
 * gateway_grants.c
 * slots asked for at other VMs, and granted to them: what connects placement, views and grants
 */
#include <libcometspindle/adapters/gateway/proxy_request.h>

#include <libcometspindle/log.h>

/* How often open asks are looked at: a part of the time after which they are given up. */
#define ASKS_TICK_US 10000

/* Who keeps count is looked up again after this time: as often as silent VMs are looked for. */
#define KEEPER_FRESH_US 50000

static void
on_asks_tick(void *ctx)
{
	struct comet_gateway *gateway = ctx;

	gateway->grants_timer = NULL;
	if (comet_grants_tick(gateway->grants, comet_timers_now_us()))
		gateway->grants_timer = comet_timers_add(
			gateway->timers, gateway, ASKS_TICK_US, on_asks_tick, gateway);
}

/* Is a VM not to be asked just now? */
struct mute_query
{
	const struct comet_grants *grants;
	uint64_t now_us;
};

static bool
is_mute(const void *ctx, uint32_t vm)
{
	const struct mute_query *query = ctx;

	return comet_grants_is_unresponsive(query->grants, vm, query->now_us);
}

/* Who keeps count of a shard: 0 when nobody does, or none is to be asked. A VM that died goes on
 * being the one until its views are missed, for seconds; the next best is asked in its place. */
static uint32_t
keeper_of(const struct comet_gateway *gateway, struct comet_shard *shard, uint64_t now_us)
{
	const struct mute_query query = {gateway->grants, now_us};

	if (!gateway->settings->ask_keepers)
		return 0;
	if (shard->owner_checked_us == 0 || now_us - shard->owner_checked_us >= KEEPER_FRESH_US ||
		is_mute(&query, shard->keeper))
	{
		shard->keeper = comet_gossip_find_responsive_owner(
			gateway->gossip, shard->id, shard->zone_id, is_mute, &query, now_us);
		shard->owner_checked_us = now_us;
	}
	return shard->keeper;
}

enum comet_placement_owner
comet_gateway_find_shard_owner(void *ctx, struct comet_shard *shard)
{
	const struct comet_gateway *gateway = ctx;
	uint64_t now_us = comet_timers_now_us();
	uint32_t keeper = keeper_of(gateway, shard, now_us);

	if (keeper == comet_datagram_socket_address(gateway->link))
		return COMET_PLACEMENT_OWNER_SELF;
	if (keeper == 0)
		return COMET_PLACEMENT_OWNER_NONE;
	return COMET_PLACEMENT_OWNER_OTHER;
}

void
comet_gateway_request_slot(void *ctx, struct comet_placement_item *item, struct comet_shard *shard,
	const struct comet_slot_request *ask)
{
	struct comet_gateway *gateway = ctx;
	uint64_t now_us = comet_timers_now_us();

	comet_grants_request(gateway->grants, item, keeper_of(gateway, shard, now_us), ask, now_us);
	if (gateway->grants_timer == NULL)
		gateway->grants_timer = comet_timers_add(
			gateway->timers, gateway, ASKS_TICK_US, on_asks_tick, gateway);
}

void
comet_gateway_cancel_slot_request(void *ctx, struct comet_placement_item *item)
{
	comet_grants_cancel(((struct comet_gateway *)ctx)->grants, item);
}

static void
send_datagram(void *ctx, uint32_t address, const uint8_t *data, size_t length)
{
	struct comet_gateway *gateway = ctx;

	comet_datagram_socket_send(gateway->link, address, data, length);
}

/* A granted slot is not used: says so where the reason is an evacuation that its keeper did not
 * know of. */
static void
note_returned(struct comet_gateway *gateway, const struct comet_placement_item *item, uint32_t key)
{
	const struct comet_instance *instance = comet_instances_find_key(gateway->instances, key);
	const struct comet_proxy_request *relay = item->owner;

	if (instance == NULL || !instance->evacuated)
		return;
	gateway->counts.grants_evacuated++;
	comet_log(COMET_LOG_INFO, "event=grant_returned request=%s endpoint=%s reason=evacuated",
		relay->id, instance->id);
}

static void
on_granted(void *ctx, struct comet_placement_item *item, uint32_t keeper, uint32_t instance_key)
{
	struct comet_gateway *gateway = ctx;
	uint64_t now_us = comet_timers_now_us();

	gateway->counts.granted++;
	note_returned(gateway, item, instance_key); /* the item may be gone after the next call */
	if (!comet_placement_granted(gateway->placement, item, keeper, instance_key, now_us))
		comet_grants_release(gateway->grants, keeper, instance_key, NULL);
	comet_placement_run(gateway->placement, now_us);
}

static void
on_denied(void *ctx, struct comet_placement_item *item, uint32_t shard, uint32_t beyond)
{
	struct comet_gateway *gateway = ctx;
	uint64_t now_us = comet_timers_now_us();

	gateway->counts.denied++;
	comet_placement_denied(gateway->placement, item, shard, beyond, now_us);
	comet_placement_run(gateway->placement, now_us);
}

static void
on_waits(void *ctx, struct comet_placement_item *item, uint64_t expected_us)
{
	struct comet_gateway *gateway = ctx;

	comet_placement_set_expected_wait(
		gateway->placement, item, expected_us, comet_timers_now_us());
}

static void
on_waited(void *ctx, struct comet_placement_item *item)
{
	struct comet_gateway *gateway = ctx;
	uint64_t now_us = comet_timers_now_us();

	gateway->counts.waited++;
	comet_placement_wait_expired(gateway->placement, item, now_us);
	comet_placement_run(gateway->placement, now_us);
}

static void
on_unanswered(void *ctx, struct comet_placement_item *item, uint32_t keeper)
{
	struct comet_gateway *gateway = ctx;
	const struct comet_proxy_request *relay = item->owner;
	char text[COMET_IPV4_TEXT_BYTES];
	uint64_t now_us = comet_timers_now_us();

	gateway->counts.unanswered++;
	comet_log(COMET_LOG_NOTICE, "event=keeper_mute request=%s vm=%s", relay->id,
		comet_datagram_socket_format_address(keeper, text));
	comet_placement_unanswered(gateway->placement, item, now_us);
	comet_placement_run(gateway->placement, now_us);
}

/* Another VM's request has a slot. */
static void
count_grant(struct comet_gateway *gateway, uint32_t asker, const struct comet_instance *instance,
	uint32_t prompt_tokens)
{
	comet_gossip_slot_granted(
		gateway->gossip, asker, instance->key, prompt_tokens, comet_timers_now_us());
}

/* Milliseconds that a datagram tells, as a time; 0 stays 0. */
static uint64_t
time_of(uint32_t left_ms, uint64_t now_us)
{
	return left_ms > 0 ? now_us + (uint64_t)left_ms * 1000 : 0;
}

/* Chooses an endpoint for another VM's request, now or when a slot comes free. */
static uint32_t
choose_for(void *ctx, const comet_SlotAsk *ask, struct comet_placement_wait_estimate *wait)
{
	struct comet_gateway *gateway = ctx;
	uint64_t now_us = comet_timers_now_us();
	struct comet_slot_request wanted = {
		.asker = ask->asker,
		.number = ask->number,
		.shard = ask->shard,
		.beyond = ask->beyond,
		.except = ask->except,
		.n_except = ask->except_count,
		.job =
			{
				.prompt_tokens = ask->prompt_tokens,
				.output_tokens = ask->output_tokens,
				.stream = !ask->plain,
			},
		.team_rank = ask->team_rank,
		.route_rank = ask->route_rank,
		.late = ask->late,
		.end_us = time_of(ask->left_ms, now_us),
		.soft_deadline_us = time_of(ask->aim_ms, now_us),
		.wait_us = (uint64_t)ask->wait_ms * 1000,
	};
	const struct comet_instance *instance =
		comet_placement_choose_remote(gateway->placement, &wanted, now_us, wait);

	gateway->counts.answered++;
	if (instance == NULL)
		return 0;
	count_grant(gateway, ask->asker, instance, ask->prompt_tokens);
	return instance->key;
}

void
comet_gateway_grant_slot(
	void *ctx, const struct comet_slot_request *ask, struct comet_instance *instance)
{
	struct comet_gateway *gateway = ctx;

	count_grant(gateway, ask->asker, instance, ask->job.prompt_tokens);
	comet_grants_grant(gateway->grants, ask->asker, ask->number, instance->key);
}

/* Takes another VM's word for how a slot's request ended. A keeper that did not know of crashed
 * endpoints would go on granting their slots, which look free, to one VM after the other. */
static void
learn_result(struct comet_instance *instance, enum comet_dispatch_result result, uint64_t now_us)
{
	if (comet_instance_remote_result(instance, result, now_us))
		comet_log(COMET_LOG_INFO, "event=endpoint_%s endpoint=%s result=%s told=1",
			instance->ejected_until_us != 0 ? "avoided" : "trusted", instance->id,
			comet_dispatch_result_name(result));
}

static void
on_freed(void *ctx, const comet_SlotFreed *freed)
{
	struct comet_gateway *gateway = ctx;
	struct comet_instance *instance =
		comet_instances_find_key(gateway->instances, freed->instance);

	uint64_t now_us = comet_timers_now_us();

	comet_gossip_slot_released(gateway->gossip, freed->asker, freed->instance);
	if (instance != NULL)
	{
		comet_instance_learn(instance, !freed->plain, freed->taken_us, freed->events);
		learn_result(instance, comet_grants_result(freed->result), now_us);
	}
	comet_placement_run(gateway->placement, now_us);
}

const struct comet_grants_ops comet_gateway_grants_ops = {
	.send = send_datagram,
	.granted = on_granted,
	.denied = on_denied,
	.waits = on_waits,
	.waited = on_waited,
	.unanswered = on_unanswered,
	.choose = choose_for,
	.freed = on_freed,
};
