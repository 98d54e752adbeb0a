/*
 * gateway_quota.c
 * one request at a gateway: its charge to its team, and charges of other VMs' requests
 */
#include <libcometspindle/adapters/gateway/proxy_request.h>

#include <libcometspindle/log.h>

/* How often open charges are looked at: a part of the time after which they are given up. */
#define CHARGES_TICK_US 10000

/* A VM that has just started, and does not know yet how many others spend a team's limit, does not
 * refuse for that limit for this time, in which VMs usually find each other, but looks again so
 * often: after a restart of all, callers would be sent away for what nobody has decided. */
#define UNDECIDED_US 400000
#define DECIDE_AGAIN_US 50000

/* VMs that are asked to charge one request: a keeper that is gone, and the next best in its place.
 */
#define KEEPERS_ASKED_MAX 2

static void
on_charges_tick(void *ctx)
{
	struct comet_gateway *gateway = ctx;

	gateway->quota_timer = NULL;
	if (comet_quota_requests_tick(gateway->charges, comet_timers_now_us()))
		gateway->quota_timer = comet_timers_add(
			gateway->timers, gateway, CHARGES_TICK_US, on_charges_tick, gateway);
}

/* Is a VM not to be asked just now? */
struct mute_query
{
	const struct comet_quota_requests *charges;
	uint64_t now_us;
};

static bool
is_mute(const void *ctx, uint32_t vm)
{
	const struct mute_query *query = ctx;

	return comet_quota_requests_is_unresponsive(query->charges, vm, query->now_us);
}

/* The VM that keeps a team's account, this one or another; 0: nobody that answers. */
static uint32_t
keeper_of(const struct comet_gateway *gateway, uint32_t team_id, uint64_t now_us)
{
	const struct mute_query query = {gateway->charges, now_us};

	if (!gateway->settings->ask_keepers)
		return 0;
	if (gateway->discovering)
		return comet_gossip_find_seed_owner(gateway->gossip, team_id, is_mute, &query);
	return comet_gossip_find_responsive_owner(
		gateway->gossip, team_id, 0, is_mute, &query, now_us);
}

static void
refuse_over_limit(struct comet_proxy_request *relay, uint32_t keeper, uint32_t wait_ms)
{
	struct comet_gateway *gateway = relay->gateway;
	char text[COMET_IPV4_TEXT_BYTES];

	gateway->counts.refused_team++;
	comet_log(COMET_LOG_INFO,
		"event=over_limit request=%s team=%s charge=%" G_GUINT64_FORMAT
		" left=%.0f keeper=%s",
		relay->id, relay->team->name, relay->charge,
		comet_rate_limiter_remaining(
			gateway->rate_limiter, relay->team->id, comet_timers_now_us()),
		keeper != 0 ? comet_datagram_socket_format_address(keeper, text) : "-");
	comet_proxy_request_respond_error(relay, 429, "team_limit", wait_ms);
}

static void
charge(struct comet_proxy_request *relay);

static void
on_decide_again(void *ctx)
{
	struct comet_proxy_request *relay = ctx;

	relay->undecided = NULL;
	relay->owners_tried = 0;
	charge(relay);
}

/* Decides by what this VM itself knows: as keeper of the account, or by views. */
static void
decide_here(
	struct comet_proxy_request *relay, enum comet_rate_limiter_source sight, uint64_t now_us)
{
	struct comet_gateway *gateway = relay->gateway;
	bool wait = gateway->discovering && sight == COMET_RATE_LIMITER_GOSSIP &&
		    now_us < relay->arrived_us + UNDECIDED_US;
	uint32_t wait_ms = comet_rate_limiter_spend(gateway->rate_limiter, relay->team->id,
		relay->route->priority, relay->charge, sight, now_us);

	if (wait_ms == 0)
	{
		relay->charged = true;
		relay->admitted(relay, now_us);
	}
	else if (wait)
		relay->undecided = comet_timers_add(
			gateway->timers, relay, DECIDE_AGAIN_US, on_decide_again, relay);
	else
		refuse_over_limit(relay, 0, wait_ms);
}

static void
charge(struct comet_proxy_request *relay)
{
	struct comet_gateway *gateway = relay->gateway;
	uint64_t now_us = comet_timers_now_us();

	if (relay->team == NULL || relay->team->rate_per_s == 0)
	{
		relay->admitted(relay, now_us);
		return;
	}
	uint32_t keeper = keeper_of(gateway, relay->team->id, now_us);
	if (keeper == 0 || relay->owners_tried >= KEEPERS_ASKED_MAX)
	{
		decide_here(relay, COMET_RATE_LIMITER_GOSSIP, now_us);
		return;
	}
	if (keeper == comet_datagram_socket_address(gateway->link))
	{
		decide_here(relay, COMET_RATE_LIMITER_OWNER, now_us);
		return;
	}
	const struct comet_quota_request wanted = comet_proxy_request_charge_amount(relay);
	relay->owners_tried++;
	gateway->counts.charges_asked++;
	comet_quota_requests_send(gateway->charges, relay, keeper, &wanted, now_us);
	if (gateway->quota_timer == NULL)
		gateway->quota_timer = comet_timers_add(
			gateway->timers, gateway, CHARGES_TICK_US, on_charges_tick, gateway);
}

void
comet_proxy_request_charge(struct comet_proxy_request *relay,
	void (*admitted)(struct comet_proxy_request *relay, uint64_t now_us))
{
	relay->admitted = admitted;
	charge(relay);
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
		refuse_over_limit(relay, keeper, wait_ms);
		return;
	}
	comet_rate_limiter_charged(gateway->rate_limiter, relay->team->id, relay->charge, now_us);
	relay->charged = true;
	relay->quota_owner_vm = keeper;
	relay->admitted(relay, now_us);
}

static void
on_undecided(void *ctx, void *owner, uint32_t keeper)
{
	struct comet_gateway *gateway = ctx;
	struct comet_proxy_request *relay = owner;
	char text[COMET_IPV4_TEXT_BYTES];

	gateway->counts.charges_undecided++;
	comet_log(COMET_LOG_INFO, "event=charge_undecided request=%s team=%s vm=%s", relay->id,
		relay->team->name, comet_datagram_socket_format_address(keeper, text));
	charge(relay);
}

static bool
on_charge(void *ctx, uint32_t asker, const struct comet_quota_request *charge, uint32_t *wait_ms)
{
	struct comet_gateway *gateway = ctx;

	gateway->counts.charges_answered++;
	return comet_rate_limiter_charge_remote(gateway->rate_limiter, asker, charge->team,
		charge->rank, charge->amount, comet_timers_now_us(), wait_ms);
}

static void
on_returned(void *ctx, uint32_t asker, const struct comet_quota_request *charge)
{
	struct comet_gateway *gateway = ctx;

	comet_rate_limiter_refund_remote(
		gateway->rate_limiter, asker, charge->team, charge->amount, comet_timers_now_us());
}

const struct comet_quota_requests_ops comet_gateway_quota_ops = {
	.send = send_datagram,
	.decided = on_decided,
	.undecided = on_undecided,
	.charge = on_charge,
	.returned = on_returned,
};
