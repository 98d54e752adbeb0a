/*
 * gateway_grants.c
 * connects placement, gossip and grants: slot requests to other VMs, and slots granted to them
 */
#include <libcometspindle/adapters/gateway/proxy_request.h>

#include <libcometspindle/adapters/gateway/gateway_reachability.h>
#include <libcometspindle/gateway/placement/return_schedule.h>
#include <libcometspindle/log.h>

/* Interval at which pending slot requests are checked; a fraction of their timeout. */
#define SLOT_REQUEST_TICK_US 10000

/* The owner of a shard is looked up again after this time, as often as the gateway checks for VMs
 * that have become unreachable. */
#define OWNER_RECHECK_US 50000

static void
on_grants_tick(void *ctx)
{
	struct comet_gateway *gateway = ctx;

	gateway->grants_timer = NULL;
	if (comet_grants_tick(gateway->grants, comet_timers_now_us()))
		gateway->grants_timer = comet_timers_add(
			gateway->timers, gateway, SLOT_REQUEST_TICK_US, on_grants_tick, gateway);
}

/* An endpoint from which this VM received data within this time has not failed, whatever other VMs
 * report: it is several times the interval between the events of a stream. */
#define SEEN_RECENTLY_US 1000000

/* Context of is_unresponsive(). */
struct responsiveness_query
{
	const struct comet_grants *grants;
	uint64_t now_us;
};

static bool
is_unresponsive(const void *ctx, uint32_t vm)
{
	const struct responsiveness_query *query = ctx;

	return comet_grants_is_unresponsive(query->grants, vm, query->now_us);
}

/* Returns the owner of a shard; 0 if there is none, or if the settings disable slot requests. A
 * VM that has died stays the owner for seconds, until its gossip expires; meanwhile the slot
 * requests are sent to the VM that ranks next. */
static uint32_t
get_shard_owner(const struct comet_gateway *gateway, struct comet_shard *shard, uint64_t now_us)
{
	const struct responsiveness_query query = {gateway->grants, now_us};

	if (!gateway->settings->ask_keepers)
		return 0;
	if (shard->owner_checked_us == 0 || now_us - shard->owner_checked_us >= OWNER_RECHECK_US ||
		is_unresponsive(&query, shard->owner_vm))
	{
		shard->owner_vm = comet_gossip_find_shard_owner(gateway->gossip, shard->id,
			shard->zone_id, is_unresponsive, &query, now_us);
		shard->owner_checked_us = now_us;
	}
	return shard->owner_vm;
}

enum comet_placement_owner
comet_gateway_find_shard_owner(void *ctx, struct comet_shard *shard)
{
	const struct comet_gateway *gateway = ctx;
	uint64_t now_us = comet_timers_now_us();
	uint32_t owner_vm = get_shard_owner(gateway, shard, now_us);

	if (owner_vm == comet_datagram_socket_address(gateway->datagram_socket))
		return COMET_PLACEMENT_OWNER_SELF;
	if (owner_vm == 0)
		return COMET_PLACEMENT_OWNER_NONE;
	return COMET_PLACEMENT_OWNER_OTHER;
}

void
comet_gateway_request_slot(void *ctx, struct comet_placement_item *item, struct comet_shard *shard,
	const struct comet_slot_request *ask)
{
	struct comet_gateway *gateway = ctx;
	uint64_t now_us = comet_timers_now_us();

	comet_grants_request(
		gateway->grants, item, get_shard_owner(gateway, shard, now_us), ask, now_us);
	if (gateway->grants_timer == NULL)
		gateway->grants_timer = comet_timers_add(
			gateway->timers, gateway, SLOT_REQUEST_TICK_US, on_grants_tick, gateway);
}

void
comet_gateway_cancel_slot_request(void *ctx, struct comet_placement_item *item)
{
	comet_grants_cancel(((struct comet_gateway *)ctx)->grants, item);
}

/* While this VM reaches no endpoint, it knows nothing of their load, and takes all of them for
 * failed. It leaves slot requests unanswered, so that they are sent to the VM that ranks next. */
void
comet_gateway_receive_grants(
	struct comet_gateway *gateway, const comet_Datagram *datagram, uint64_t now_us)
{
	if (datagram->which_body == comet_Datagram_ask_tag &&
		comet_gateway_links_are_lost(gateway->links))
		return;
	comet_grants_receive(gateway->grants, datagram, now_us);
}

static void
send_datagram(void *ctx, uint32_t address, const uint8_t *data, size_t length)
{
	struct comet_gateway *gateway = ctx;

	comet_datagram_socket_send(gateway->datagram_socket, address, data, length);
}

/* Logs a granted slot that is released unused because the endpoint has been evacuated, which its
 * owner did not know yet. */
static void
log_evacuated_grant(
	struct comet_gateway *gateway, const struct comet_placement_item *item, uint32_t key)
{
	const struct comet_instance *instance = comet_instances_find_key(gateway->instances, key);
	const struct comet_proxy_request *proxy = item->user_data;

	if (instance == NULL || !instance->evacuated)
		return;
	gateway->counts.grants_evacuated++;
	comet_log(COMET_LOG_INFO, "event=grant_returned request=%s endpoint=%s reason=evacuated",
		proxy->id, instance->id);
}

static void
on_granted(void *ctx, struct comet_placement_item *item, const struct comet_slot_grant *grant)
{
	struct comet_gateway *gateway = ctx;
	uint64_t now_us = comet_timers_now_us();

	gateway->counts.granted++;
	/* the next call may free the item */
	log_evacuated_grant(gateway, item, grant->instance_key);
	if (!comet_placement_granted(gateway->placement, item, grant, now_us))
		comet_grants_release(gateway->grants, grant->owner_vm, grant->instance_key, NULL);
	comet_placement_run(gateway->placement, now_us);
}

/* Logs some of the denials, so that a refusal can be traced to the owner that caused it. */
static void
log_denied(
	struct comet_gateway *gateway, const struct comet_proxy_request *proxy, uint32_t shard_id)
{
	const struct comet_shard *shard = comet_placement_find_shard(gateway->placement, shard_id);
	char text[COMET_IPV4_TEXT_BYTES];

	comet_log_repeated(COMET_LOG_INFO, "event=slot_denied request=%s shard=%08x owner=%s",
		proxy->id, shard_id,
		shard != NULL ? comet_datagram_socket_format_address(shard->owner_vm, text) : "-");
}

static void
on_denied(void *ctx, struct comet_placement_item *item, uint32_t shard, uint32_t queue_limit)
{
	struct comet_gateway *gateway = ctx;
	uint64_t now_us = comet_timers_now_us();

	gateway->counts.denied++;
	log_denied(gateway, item->user_data, shard);
	comet_placement_denied(gateway->placement, item, shard, queue_limit, now_us);
	comet_placement_run(gateway->placement, now_us);
}

static void
on_expected_wait(void *ctx, struct comet_placement_item *item, uint64_t expected_us)
{
	struct comet_gateway *gateway = ctx;

	comet_placement_set_expected_wait(
		gateway->placement, item, expected_us, comet_timers_now_us());
}

static void
on_return_time(void *ctx, struct comet_placement_item *item, uint64_t return_us)
{
	struct comet_gateway *gateway = ctx;
	const struct comet_proxy_request *proxy = item->user_data;

	if (return_us > COMET_RETURN_MAX_US)
		comet_log_repeated(COMET_LOG_WARNING,
			"event=return_time_bounded request=%s return_ms=%" G_GUINT64_FORMAT,
			proxy->id, return_us / 1000);
	comet_placement_set_return_time(gateway->placement, item, return_us, comet_timers_now_us());
}

static void
on_wait_expired(void *ctx, struct comet_placement_item *item)
{
	struct comet_gateway *gateway = ctx;
	uint64_t now_us = comet_timers_now_us();

	gateway->counts.slot_waits_expired++;
	comet_placement_wait_expired(gateway->placement, item, now_us);
	comet_placement_run(gateway->placement, now_us);
}

static void
on_owner_unresponsive(void *ctx, struct comet_placement_item *item, uint32_t owner_vm)
{
	struct comet_gateway *gateway = ctx;
	const struct comet_proxy_request *proxy = item->user_data;
	char text[COMET_IPV4_TEXT_BYTES];
	uint64_t now_us = comet_timers_now_us();

	gateway->counts.slot_requests_unanswered++;
	comet_log(COMET_LOG_NOTICE, "event=owner_unresponsive request=%s owner=%s", proxy->id,
		comet_datagram_socket_format_address(owner_vm, text));
	comet_placement_unanswered(gateway->placement, item, now_us);
	comet_placement_run(gateway->placement, now_us);
}

/* Records a slot that was granted to a request of another VM. */
static void
record_grant(struct comet_gateway *gateway, uint32_t requester,
	const struct comet_instance *instance, uint32_t prompt_tokens)
{
	comet_gossip_slot_granted(
		gateway->gossip, requester, instance->key, prompt_tokens, comet_timers_now_us());
}

/* Converts the remaining milliseconds in a datagram to a point in time; 0 stays 0. */
static uint64_t
time_from_remaining(uint32_t left_ms, uint64_t now_us)
{
	return left_ms > 0 ? now_us + (uint64_t)left_ms * 1000 : 0;
}

/* Logs times of a slot request that exceed their bound, by which placement replaces them. order_ms
 * is the delay plus 1; 0: not known. */
static void
log_if_out_of_bounds(const comet_SlotAsk *ask)
{
	char text[COMET_IPV4_TEXT_BYTES];

	if (ask->waited_ms > COMET_ORDER_MS_MAX || ask->order_ms > COMET_ORDER_MS_MAX + 1)
		comet_log_repeated(COMET_LOG_WARNING,
			"event=slot_order_out_of_bounds requester=%s waited_ms=%u order_ms=%u",
			comet_datagram_socket_format_address(ask->asker, text), ask->waited_ms,
			ask->order_ms);
}

/* Selects an endpoint for a slot request of another VM. Returns NULL if the request has to wait or
 * is denied. */
static const struct comet_instance *
pick_for_remote(void *ctx, const comet_SlotAsk *ask, struct comet_placement_wait_estimate *wait)
{
	struct comet_gateway *gateway = ctx;
	uint64_t now_us = comet_timers_now_us();
	struct comet_slot_request wanted = {
		.requester = ask->asker,
		.number = ask->number,
		.shard = ask->shard,
		.queue_limit = ask->beyond,
		.excluded = ask->except,
		.n_excluded = ask->except_count,
		.version_id = ask->version,
		.size =
			{
				.prompt_tokens = ask->prompt_tokens,
				.output_tokens = ask->output_tokens,
				.stream = !ask->plain,
			},
		.team_rank = ask->team_rank,
		.route_rank = ask->route_rank,
		.returned = ask->returned,
		.late = ask->late,
		.waited_us = (uint64_t)ask->waited_ms * 1000,
		.delay_known = ask->order_ms > 0,
		.delay_us = ask->order_ms > 0 ? (uint64_t)(ask->order_ms - 1) * 1000 : 0,
		.answer_deadline_us = time_from_remaining(ask->left_ms, now_us),
		.soft_deadline_us = time_from_remaining(ask->aim_ms, now_us),
		.wait_us = (uint64_t)ask->wait_ms * 1000,
	};
	log_if_out_of_bounds(ask);
	const struct comet_instance *instance =
		comet_placement_pick_remote(gateway->placement, &wanted, now_us, wait);

	gateway->counts.slot_requests_answered++;
	if (instance != NULL)
		record_grant(gateway, ask->asker, instance, ask->prompt_tokens);
	return instance;
}

void
comet_gateway_grant_slot(
	void *ctx, const struct comet_slot_request *ask, struct comet_instance *instance)
{
	struct comet_gateway *gateway = ctx;

	record_grant(gateway, ask->requester, instance, ask->size.prompt_tokens);
	comet_grants_grant(gateway->grants, ask->requester, ask->number, instance);
}

/* Applies the result that another VM reported for a slot. Without it, the owner would go on
 * granting the slots of a crashed endpoint, which look free, to one VM after another. */
static void
apply_remote_result(
	struct comet_instance *instance, enum comet_dispatch_result result, uint64_t now_us)
{
	if (comet_instance_remote_result(instance, result, now_us))
		comet_log(COMET_LOG_INFO, "event=endpoint_%s endpoint=%s result=%s remote=1",
			instance->ejected_until_us != 0 ? "avoided" : "trusted", instance->id,
			comet_dispatch_result_name(result));
}

/* Whether the result that another VM reported says something about the endpoint. The links of that
 * VM may have failed instead: it then reports so, or this VM has received data from the endpoint in
 * the last moments. */
static bool
is_credible(const struct comet_gateway *gateway, uint32_t reporter,
	const struct comet_instance *instance, enum comet_dispatch_result result, uint64_t now_us)
{
	bool seen =
		instance->last_seen_us != 0 && now_us - instance->last_seen_us < SEEN_RECENTLY_US;

	return !comet_gateway_links_may_cause(result) ||
	       (!seen && comet_gossip_reaches_endpoints(gateway->gossip, reporter));
}

static void
merge_brittleness(struct comet_instance *instance, const comet_SlotFreed *freed, uint64_t now_us)
{
	uint64_t age_us = (uint64_t)freed->brittle_age_ms * 1000;

	if (freed->brittle_age_ms > 0)
		comet_brittleness_observe(&instance->brittleness, freed->brittle > 0,
			freed->brittle - MIN(freed->brittle, 1), now_us - MIN(age_us, now_us));
}

static void
on_remote_release(void *ctx, const comet_SlotFreed *freed)
{
	struct comet_gateway *gateway = ctx;
	struct comet_instance *instance =
		comet_instances_find_key(gateway->instances, freed->instance);

	uint64_t now_us = comet_timers_now_us();

	if (instance != NULL)
		comet_gateway_learn_speed(gateway, instance, freed, now_us);
	if (freed->still_running)
		return;
	comet_gossip_slot_released(gateway->gossip, freed->asker, freed->instance);
	if (instance != NULL)
	{
		merge_brittleness(instance, freed, now_us);
		enum comet_dispatch_result result = comet_grants_result(freed->result);
		if (!is_credible(gateway, freed->asker, instance, result, now_us))
			result = COMET_DISPATCH_CANCELLED;
		apply_remote_result(instance, result, now_us);
	}
	comet_placement_run(gateway->placement, now_us);
}

const struct comet_grants_ops comet_gateway_grants_ops = {
	.send = send_datagram,
	.granted = on_granted,
	.denied = on_denied,
	.expected_wait = on_expected_wait,
	.wait_expired = on_wait_expired,
	.unanswered = on_owner_unresponsive,
	.pick = pick_for_remote,
	.remote_release = on_remote_release,
	.return_time = on_return_time,
};
