/*
 * gateway_quota.c
 * charges proxy requests to their teams' quotas, and answers quota requests of other VMs
 */
#include <libcometspindle/adapters/gateway/proxy_request.h>

#include <libcometspindle/log.h>

/* Interval at which pending quota requests are checked; a fraction of their timeout. */
#define QUOTA_TICK_US 10000

/* A VM that has just started does not know yet how many others share a team's limit. During this
 * time, in which VMs usually discover each other, it repeats the check at the interval below rather
 * than refuse a request. Otherwise requests would be refused after a restart of all VMs although no
 * owner has decided that the team is over its limit. */
#define DISCOVERY_WAIT_US 400000
#define DISCOVERY_RETRY_US 50000

/* Number of VMs that receive a quota request for one proxy request: an owner that may be down, and
 * the VM that ranks next. */
#define QUOTA_OWNERS_MAX 2

static void
on_quota_tick(void *ctx)
{
	struct comet_gateway *gateway = ctx;

	gateway->quota_timer = NULL;
	if (comet_quota_requests_tick(gateway->charges, comet_timers_now_us()))
		gateway->quota_timer = comet_timers_add(
			gateway->timers, gateway, QUOTA_TICK_US, on_quota_tick, gateway);
}

/* Context of is_unresponsive(). */
struct responsiveness_query
{
	const struct comet_quota_requests *charges;
	uint64_t now_us;
};

static bool
is_unresponsive(const void *ctx, uint32_t vm)
{
	const struct responsiveness_query *query = ctx;

	return comet_quota_requests_is_unresponsive(query->charges, vm, query->now_us);
}

/* Returns the owner of a team's quota, which may be this VM; 0 if the settings disable quota
 * requests or no VM is responsive. */
static uint32_t
get_quota_owner(const struct comet_gateway *gateway, uint32_t team_id, uint64_t now_us)
{
	const struct responsiveness_query query = {gateway->charges, now_us};

	if (!gateway->settings->ask_keepers)
		return 0;
	if (gateway->discovering)
		return comet_gossip_find_seed_owner(
			gateway->gossip, team_id, is_unresponsive, &query);
	return comet_gossip_find_responsive_owner(
		gateway->gossip, team_id, 0, is_unresponsive, &query, now_us);
}

static void
refuse_rate_limited(struct comet_proxy_request *relay, uint32_t keeper, uint32_t wait_ms)
{
	struct comet_gateway *gateway = relay->gateway;
	char text[COMET_IPV4_TEXT_BYTES];

	gateway->counts.refused_team++;
	comet_log(COMET_LOG_INFO,
		"event=rate_limited request=%s team=%s charge=%" G_GUINT64_FORMAT
		" remaining=%.0f owner=%s",
		relay->id, relay->team->name, relay->quota_amount,
		comet_rate_limiter_remaining(
			gateway->rate_limiter, relay->team->id, comet_timers_now_us()),
		keeper != 0 ? comet_datagram_socket_format_address(keeper, text) : "-");
	comet_proxy_request_respond_error(relay, 429, "team_limit", wait_ms);
}

static void
charge_quota(struct comet_proxy_request *relay);

static void
on_quota_retry(void *ctx)
{
	struct comet_proxy_request *relay = ctx;

	relay->quota_retry_timer = NULL;
	relay->owners_tried = 0;
	charge_quota(relay);
}

/* Decides on this VM, either as the owner of the quota or from the usage that gossip reports. */
static void
decide_locally(
	struct comet_proxy_request *relay, enum comet_rate_limiter_source source, uint64_t now_us)
{
	struct comet_gateway *gateway = relay->gateway;
	bool wait = gateway->discovering && source == COMET_RATE_LIMITER_GOSSIP &&
		    now_us < relay->arrived_us + DISCOVERY_WAIT_US;
	uint32_t wait_ms = comet_rate_limiter_spend(gateway->rate_limiter, relay->team->id,
		relay->route->priority, relay->quota_amount, source, now_us);

	if (wait_ms == 0)
	{
		relay->quota_charged = true;
		relay->on_admitted(relay, now_us);
	}
	else if (wait)
		relay->quota_retry_timer = comet_timers_add(
			gateway->timers, relay, DISCOVERY_RETRY_US, on_quota_retry, relay);
	else
		refuse_rate_limited(relay, 0, wait_ms);
}

static void
charge_quota(struct comet_proxy_request *relay)
{
	struct comet_gateway *gateway = relay->gateway;
	uint64_t now_us = comet_timers_now_us();

	if (relay->team == NULL || relay->team->rate_per_s == 0)
	{
		relay->on_admitted(relay, now_us);
		return;
	}
	uint32_t keeper = get_quota_owner(gateway, relay->team->id, now_us);
	if (keeper == 0 || relay->owners_tried >= QUOTA_OWNERS_MAX)
	{
		decide_locally(relay, COMET_RATE_LIMITER_GOSSIP, now_us);
		return;
	}
	if (keeper == comet_datagram_socket_address(gateway->link))
	{
		decide_locally(relay, COMET_RATE_LIMITER_OWNER, now_us);
		return;
	}
	const struct comet_quota_request wanted = comet_proxy_request_charge_amount(relay);
	relay->owners_tried++;
	gateway->counts.charges_asked++;
	comet_quota_requests_send(gateway->charges, relay, keeper, &wanted, now_us);
	if (gateway->quota_timer == NULL)
		gateway->quota_timer = comet_timers_add(
			gateway->timers, gateway, QUOTA_TICK_US, on_quota_tick, gateway);
}

void
comet_proxy_request_charge(struct comet_proxy_request *relay,
	void (*on_admitted)(struct comet_proxy_request *relay, uint64_t now_us))
{
	relay->on_admitted = on_admitted;
	charge_quota(relay);
}

static void
send_datagram(void *ctx, uint32_t address, const uint8_t *data, size_t length)
{
	struct comet_gateway *gateway = ctx;

	comet_datagram_socket_send(gateway->link, address, data, length);
}

static void
on_decided(void *ctx, void *owner, uint32_t keeper, uint32_t wait_ms)
{
	struct comet_gateway *gateway = ctx;
	struct comet_proxy_request *relay = owner;
	uint64_t now_us = comet_timers_now_us();

	if (wait_ms != 0)
	{
		refuse_rate_limited(relay, keeper, wait_ms);
		return;
	}
	comet_rate_limiter_charged(
		gateway->rate_limiter, relay->team->id, relay->quota_amount, now_us);
	relay->quota_charged = true;
	relay->quota_owner_vm = keeper;
	relay->on_admitted(relay, now_us);
}

static void
on_quota_request_failed(void *ctx, void *owner, uint32_t keeper)
{
	struct comet_gateway *gateway = ctx;
	struct comet_proxy_request *relay = owner;
	char text[COMET_IPV4_TEXT_BYTES];

	gateway->counts.charges_undecided++;
	comet_log(COMET_LOG_INFO, "event=quota_request_failed request=%s team=%s owner=%s",
		relay->id, relay->team->name, comet_datagram_socket_format_address(keeper, text));
	charge_quota(relay);
}

static bool
on_remote_charge(
	void *ctx, uint32_t asker, const struct comet_quota_request *charge, uint32_t *wait_ms)
{
	struct comet_gateway *gateway = ctx;

	gateway->counts.charges_answered++;
	return comet_rate_limiter_charge_remote(gateway->rate_limiter, asker, charge->team,
		charge->rank, charge->amount, comet_timers_now_us(), wait_ms);
}

static void
on_remote_refund(void *ctx, uint32_t asker, const struct comet_quota_request *charge)
{
	struct comet_gateway *gateway = ctx;

	comet_rate_limiter_refund_remote(
		gateway->rate_limiter, asker, charge->team, charge->amount, comet_timers_now_us());
}

const struct comet_quota_requests_ops comet_gateway_quota_ops = {
	.send = send_datagram,
	.decided = on_decided,
	.undecided = on_quota_request_failed,
	.charge = on_remote_charge,
	.returned = on_remote_refund,
};
