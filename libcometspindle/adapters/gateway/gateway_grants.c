/*
 * gateway_grants.c
 * slots asked for at other VMs, and granted to them: what connects placement, views and grants
 */
#include <libcometspindle/adapters/gateway/gateway_relay.h>

#include <libcometspindle/log.h>

/* How often open asks are looked at: a part of the time after which they are given up. */
#define ASKS_TICK_US 10000

/* Who keeps count is looked up again after this time: as often as silent VMs are looked for. */
#define KEEPER_FRESH_US 50000

static void
on_asks_tick(void *ctx)
{
	struct comet_gateway *gateway = ctx;

	gateway->asks_timer = NULL;
	if (comet_grants_tick(gateway->grants, comet_timers_now_us()))
		gateway->asks_timer = comet_timers_add(
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

	return comet_grants_is_mute(query->grants, vm, query->now_us);
}

/* Who keeps count of a shard: 0 when nobody does, or none is to be asked. A VM that died goes on
 * being the one until its views are missed, for seconds; the next best is asked in its place. */
static uint32_t
keeper_of(const struct comet_gateway *gateway, struct comet_shard *shard, uint64_t now_us)
{
	const struct mute_query query = {gateway->grants, now_us};

	if (!gateway->settings->ask_keepers)
		return 0;
	if (shard->keeper_us == 0 || now_us - shard->keeper_us >= KEEPER_FRESH_US ||
		is_mute(&query, shard->keeper))
	{
		shard->keeper = comet_views_keeper_but(
			gateway->views, shard->id, shard->zone_id, is_mute, &query, now_us);
		shard->keeper_us = now_us;
	}
	return shard->keeper;
}

enum comet_placement_keeper
comet_gateway_keeper(void *ctx, struct comet_shard *shard)
{
	const struct comet_gateway *gateway = ctx;
	uint64_t now_us = comet_timers_now_us();
	uint32_t keeper = keeper_of(gateway, shard, now_us);

	if (keeper == comet_view_link_address(gateway->link))
		return COMET_PLACEMENT_KEEPER_SELF;
	if (keeper == 0)
		return COMET_PLACEMENT_KEEPER_NONE;
	return COMET_PLACEMENT_KEEPER_OTHER;
}

void
comet_gateway_ask(void *ctx, struct comet_placement_item *item, struct comet_shard *shard,
	const struct comet_placement_ask *ask)
{
	struct comet_gateway *gateway = ctx;
	uint64_t now_us = comet_timers_now_us();

	comet_grants_ask(gateway->grants, item, keeper_of(gateway, shard, now_us), ask, now_us);
	if (gateway->asks_timer == NULL)
		gateway->asks_timer = comet_timers_add(
			gateway->timers, gateway, ASKS_TICK_US, on_asks_tick, gateway);
}

void
comet_gateway_forget_ask(void *ctx, struct comet_placement_item *item)
{
	comet_grants_forget(((struct comet_gateway *)ctx)->grants, item);
}

static void
send_datagram(void *ctx, uint32_t address, const uint8_t *data, size_t length)
{
	struct comet_gateway *gateway = ctx;

	comet_view_link_send(gateway->link, address, data, length);
}

/* A granted slot is not used: says so where the reason is an evacuation that its keeper did not
 * know of. */
static void
note_returned(struct comet_gateway *gateway, const struct comet_placement_item *item, uint32_t key)
{
	const struct comet_instance *instance = comet_instances_find_key(gateway->instances, key);
	const struct comet_relay *relay = item->owner;

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

	comet_placement_expected(gateway->placement, item, expected_us, comet_timers_now_us());
}

static void
on_waited(void *ctx, struct comet_placement_item *item)
{
	struct comet_gateway *gateway = ctx;
	uint64_t now_us = comet_timers_now_us();

	gateway->counts.waited++;
	comet_placement_waited(gateway->placement, item, now_us);
	comet_placement_run(gateway->placement, now_us);
}

static void
on_unanswered(void *ctx, struct comet_placement_item *item, uint32_t keeper)
{
	struct comet_gateway *gateway = ctx;
	const struct comet_relay *relay = item->owner;
	char text[COMET_VIEW_ADDRESS_MAX];
	uint64_t now_us = comet_timers_now_us();

	gateway->counts.unanswered++;
	comet_log(COMET_LOG_NOTICE, "event=keeper_mute request=%s vm=%s", relay->id,
		comet_view_link_text(keeper, text));
	comet_placement_unanswered(gateway->placement, item, now_us);
	comet_placement_run(gateway->placement, now_us);
}

/* Another VM's request has a slot. */
static void
count_grant(struct comet_gateway *gateway, uint32_t asker, const struct comet_instance *instance,
	uint32_t prompt_tokens)
{
	comet_views_granted(
		gateway->views, asker, instance->key, prompt_tokens, comet_timers_now_us());
}

/* Milliseconds that a datagram tells, as a time; 0 stays 0. */
static uint64_t
time_of(uint32_t left_ms, uint64_t now_us)
{
	return left_ms > 0 ? now_us + (uint64_t)left_ms * 1000 : 0;
}

/* Chooses an endpoint for another VM's request, now or when a slot comes free. */
static uint32_t
choose_for(void *ctx, const comet_SlotAsk *ask, struct comet_placement_wait *wait)
{
	struct comet_gateway *gateway = ctx;
	uint64_t now_us = comet_timers_now_us();
	struct comet_placement_ask wanted = {
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
		.aim_us = time_of(ask->aim_ms, now_us),
		.wait_us = (uint64_t)ask->wait_ms * 1000,
	};
	const struct comet_instance *instance =
		comet_placement_choose_for(gateway->placement, &wanted, now_us, wait);

	gateway->counts.answered++;
	if (instance == NULL)
		return 0;
	count_grant(gateway, ask->asker, instance, ask->prompt_tokens);
	return instance->key;
}

void
comet_gateway_grant(
	void *ctx, const struct comet_placement_ask *ask, struct comet_instance *instance)
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
	if (comet_instance_told_result(instance, result, now_us))
		comet_log(COMET_LOG_INFO, "event=endpoint_%s endpoint=%s result=%s told=1",
			instance->avoid_us != 0 ? "avoided" : "trusted", instance->id,
			comet_dispatch_result_name(result));
}

static void
on_freed(void *ctx, const comet_SlotFreed *freed)
{
	struct comet_gateway *gateway = ctx;
	struct comet_instance *instance =
		comet_instances_find_key(gateway->instances, freed->instance);

	uint64_t now_us = comet_timers_now_us();

	comet_views_freed(gateway->views, freed->asker, freed->instance);
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
