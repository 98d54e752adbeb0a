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
	if (comet_quota_requests_tick(gateway->quota_requests, comet_timers_now_us()))
		gateway->quota_timer = comet_timers_add(
			gateway->timers, gateway, QUOTA_TICK_US, on_quota_tick, gateway);
}

/* Context of is_unresponsive(). */
struct responsiveness_query
{
	const struct comet_quota_requests *quota_requests;
	uint64_t now_us;
};

static bool
is_unresponsive(const void *ctx, uint32_t vm)
{
	const struct responsiveness_query *query = ctx;

	return comet_quota_requests_is_unresponsive(query->quota_requests, vm, query->now_us);
}

/* Returns the owner of a team's quota, which may be this VM; 0 if the settings disable quota
 * requests or no VM is responsive. */
static uint32_t
get_quota_owner(const struct comet_gateway *gateway, uint32_t team_id, uint64_t now_us)
{
	const struct responsiveness_query query = {gateway->quota_requests, now_us};

	if (!gateway->settings->ask_keepers)
		return 0;
	if (gateway->discovery.active)
		return comet_gossip_find_seed_owner(
			gateway->gossip, team_id, is_unresponsive, &query);
	return comet_gossip_find_responsive_owner(
		gateway->gossip, team_id, 0, is_unresponsive, &query, now_us);
}

static void
refuse_rate_limited(struct comet_proxy_request *proxy, uint32_t owner_vm, uint32_t wait_ms)
{
	struct comet_gateway *gateway = proxy->gateway;
	char text[COMET_IPV4_TEXT_BYTES];

	gateway->counts.refused_team++;
	comet_log(COMET_LOG_INFO,
		"event=rate_limited request=%s team=%s charge=%" G_GUINT64_FORMAT
		" remaining=%.0f owner=%s",
		proxy->id, proxy->team->name, proxy->quota_amount,
		comet_rate_limiter_remaining(
			gateway->rate_limiter, proxy->team->id, comet_timers_now_us()),
		owner_vm != 0 ? comet_datagram_socket_format_address(owner_vm, text) : "-");
	comet_proxy_request_respond_error(proxy, 429, "team_limit", wait_ms);
}

static void
charge_quota(struct comet_proxy_request *proxy);

static void
on_quota_retry(void *ctx)
{
	struct comet_proxy_request *proxy = ctx;

	proxy->quota_retry_timer = NULL;
	proxy->owners_tried = 0;
	charge_quota(proxy);
}

/* Decides on this VM, either as the owner of the quota or from the usage that gossip reports. */
static void
decide_locally(
	struct comet_proxy_request *proxy, enum comet_rate_limiter_source source, uint64_t now_us)
{
	struct comet_gateway *gateway = proxy->gateway;
	bool wait = gateway->discovery.active && source == COMET_RATE_LIMITER_GOSSIP &&
		    now_us < proxy->arrived_us + DISCOVERY_WAIT_US;
	uint32_t wait_ms = comet_rate_limiter_spend(gateway->rate_limiter, proxy->team->id,
		proxy->route->priority, proxy->quota_amount, source, now_us);

	if (wait_ms == 0)
	{
		proxy->quota_charged = true;
		proxy->on_admitted(proxy, now_us);
	}
	else if (wait)
		proxy->quota_retry_timer = comet_timers_add(
			gateway->timers, proxy, DISCOVERY_RETRY_US, on_quota_retry, proxy);
	else
		refuse_rate_limited(proxy, 0, wait_ms);
}

static void
charge_quota(struct comet_proxy_request *proxy)
{
	struct comet_gateway *gateway = proxy->gateway;
	uint64_t now_us = comet_timers_now_us();

	if (proxy->team == NULL || proxy->team->rate_per_s == 0)
	{
		proxy->on_admitted(proxy, now_us);
		return;
	}
	uint32_t owner_vm = get_quota_owner(gateway, proxy->team->id, now_us);
	if (owner_vm == 0 || proxy->owners_tried >= QUOTA_OWNERS_MAX)
	{
		decide_locally(proxy, COMET_RATE_LIMITER_GOSSIP, now_us);
		return;
	}
	if (owner_vm == comet_datagram_socket_address(gateway->datagram_socket))
	{
		decide_locally(proxy, COMET_RATE_LIMITER_OWNER, now_us);
		return;
	}
	const struct comet_quota_request wanted = comet_proxy_request_charge_amount(proxy);
	proxy->owners_tried++;
	gateway->counts.quota_requests_sent++;
	comet_quota_requests_send(gateway->quota_requests, proxy, owner_vm, &wanted, now_us);
	if (gateway->quota_timer == NULL)
		gateway->quota_timer = comet_timers_add(
			gateway->timers, gateway, QUOTA_TICK_US, on_quota_tick, gateway);
}

void
comet_proxy_request_charge(struct comet_proxy_request *proxy,
	void (*on_admitted)(struct comet_proxy_request *proxy, uint64_t now_us))
{
	proxy->on_admitted = on_admitted;
	charge_quota(proxy);
}

static void
send_datagram(void *ctx, uint32_t address, const uint8_t *data, size_t length)
{
	struct comet_gateway *gateway = ctx;

	comet_datagram_socket_send(gateway->datagram_socket, address, data, length);
}

static void
on_decided(void *ctx, void *user_data, uint32_t owner_vm, uint32_t wait_ms)
{
	struct comet_gateway *gateway = ctx;
	struct comet_proxy_request *proxy = user_data;
	uint64_t now_us = comet_timers_now_us();

	if (wait_ms != 0)
	{
		refuse_rate_limited(proxy, owner_vm, wait_ms);
		return;
	}
	comet_rate_limiter_add_own(
		gateway->rate_limiter, proxy->team->id, proxy->quota_amount, now_us);
	proxy->quota_charged = true;
	proxy->quota_owner_vm = owner_vm;
	proxy->on_admitted(proxy, now_us);
}

static void
on_quota_request_failed(void *ctx, void *user_data, uint32_t owner_vm)
{
	struct comet_gateway *gateway = ctx;
	struct comet_proxy_request *proxy = user_data;
	char text[COMET_IPV4_TEXT_BYTES];

	gateway->counts.quota_requests_failed++;
	comet_log(COMET_LOG_INFO, "event=quota_request_failed request=%s team=%s owner=%s",
		proxy->id, proxy->team->name, comet_datagram_socket_format_address(owner_vm, text));
	charge_quota(proxy);
}

static bool
on_remote_charge(void *ctx, uint32_t requester, const struct comet_quota_request *quota_request,
	uint32_t *wait_ms)
{
	struct comet_gateway *gateway = ctx;

	gateway->counts.quota_requests_answered++;
	return comet_rate_limiter_charge_remote(gateway->rate_limiter, requester,
		quota_request->team, quota_request->rank, quota_request->amount,
		comet_timers_now_us(), wait_ms);
}

static void
on_remote_refund(void *ctx, uint32_t requester, const struct comet_quota_request *quota_request)
{
	struct comet_gateway *gateway = ctx;

	comet_rate_limiter_refund_remote(gateway->rate_limiter, requester, quota_request->team,
		quota_request->amount, comet_timers_now_us());
}

const struct comet_quota_requests_ops comet_gateway_quota_ops = {
	.send = send_datagram,
	.decided = on_decided,
	.failed = on_quota_request_failed,
	.remote_charge = on_remote_charge,
	.remote_refund = on_remote_refund,
};
