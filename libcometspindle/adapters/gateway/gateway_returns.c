/*
 * gateway_returns.c
 * records refused callers at other VMs, and recognizes them when they come back
 */
#include <libcometspindle/adapters/gateway/gateway_returns.h>

#include <libcometspindle/gateway/admission/returning_callers.h>
#include <libcometspindle/log.h>
#include <talloc.h>

/* Interval at which pending lookups are checked; a fraction of their timeout. */
#define LOOKUP_TICK_US 10000

struct comet_gateway_returns
{
	struct comet_gateway *gateway;
	struct comet_returning_callers *callers;
	struct comet_timer *timer;                     /* timeouts of pending lookups; NULL: none */
	uint64_t lookups[COMET_RETURN_UNANSWERED + 1]; /* of this VM, by result */
	uint64_t announced[COMET_RETRY_BOOKED + 1];    /* refusals, by source of the Retry-After */
};

static void
send_datagram(void *ctx, uint32_t address, const uint8_t *data, size_t length)
{
	const struct comet_gateway_returns *returns = ctx;

	comet_datagram_socket_send(returns->gateway->datagram_socket, address, data, length);
}

static void
log_lookup(const struct comet_proxy_request *proxy, uint32_t owner_vm,
	enum comet_return_lookup result, uint64_t age_us)
{
	char text[COMET_IPV4_TEXT_BYTES];
	const char *owner = comet_datagram_socket_format_address(owner_vm, text);

	if (result == COMET_RETURN_RETURNED)
		comet_log(COMET_LOG_INFO,
			"event=caller_returned request=%s fingerprint=%016" G_GINT64_MODIFIER
			"x owner=%s lookup_ms=%" G_GUINT64_FORMAT " age_ms=%" G_GUINT64_FORMAT
			" held=%d rank=%u",
			proxy->id, proxy->fingerprint.digest, owner, age_us / 1000,
			proxy->item.caller_age_us / 1000, proxy->item.held,
			comet_placement_rank(&proxy->item));
	else if (result == COMET_RETURN_UNANSWERED)
		comet_log_repeated(COMET_LOG_NOTICE,
			"event=return_lookup_unanswered request=%s owner=%s "
			"lookup_ms=%" G_GUINT64_FORMAT " held=%d",
			proxy->id, owner, age_us / 1000, proxy->item.held);
}

static void
on_lookup_ended(void *ctx, void *user_data, uint32_t owner_vm, enum comet_return_lookup result,
	uint64_t age_us, uint64_t caller_age_us)
{
	struct comet_gateway_returns *returns = ctx;
	struct comet_proxy_request *proxy = user_data;

	returns->lookups[result]++;
	proxy->item.caller_age_us = caller_age_us;
	log_lookup(proxy, owner_vm, result, age_us);
	comet_placement_set_caller(returns->gateway->placement, &proxy->item,
		result == COMET_RETURN_RETURNED, comet_timers_now_us());
}

static void
on_record_dropped(void *ctx, uint64_t digest)
{
	const struct comet_gateway_returns *returns = ctx;

	comet_log_repeated(COMET_LOG_WARNING,
		"event=refusal_record_dropped fingerprint=%016" G_GINT64_MODIFIER "x records=%u",
		digest, comet_returning_callers_count(returns->callers));
}

static const struct comet_returning_callers_ops callers_ops = {
	.send = send_datagram,
	.ended = on_lookup_ended,
	.dropped = on_record_dropped,
};

struct comet_gateway_returns *
comet_gateway_returns_create(struct comet_gateway *gateway, uint32_t address)
{
	struct comet_gateway_returns *returns = talloc_zero(gateway, struct comet_gateway_returns);

	returns->gateway = gateway;
	returns->callers = comet_returning_callers_create(returns, address, &callers_ops, returns);
	return returns;
}

static void
on_lookup_tick(void *ctx)
{
	struct comet_gateway_returns *returns = ctx;

	returns->timer = NULL;
	comet_gateway_returns_tick(returns, comet_timers_now_us());
}

void
comet_gateway_returns_tick(struct comet_gateway_returns *returns, uint64_t now_us)
{
	if (comet_returning_callers_tick(returns->callers, now_us) && returns->timer == NULL)
		returns->timer = comet_timers_add(
			returns->gateway->timers, returns, LOOKUP_TICK_US, on_lookup_tick, returns);
}

/* Context of is_unresponsive(). */
struct responsiveness_query
{
	const struct comet_returning_callers *callers;
	uint64_t now_us;
};

static bool
is_unresponsive(const void *ctx, uint32_t vm)
{
	const struct responsiveness_query *query = ctx;

	return comet_returning_callers_is_unresponsive(query->callers, vm, query->now_us);
}

/* Returns the VM that stores the refusals of a digest, which may be this VM; 0 if the settings
 * disable requests to owners or no VM is responsive. */
static uint32_t
find_owner(const struct comet_gateway_returns *returns, uint64_t digest, uint64_t now_us)
{
	const struct responsiveness_query query = {returns->callers, now_us};

	if (!returns->gateway->settings->ask_keepers)
		return 0;
	return comet_gossip_find_responsive_owner(returns->gateway->gossip,
		comet_returning_callers_owner_key(digest), 0, is_unresponsive, &query, now_us);
}

enum comet_placement_caller
comet_gateway_returns_find_caller(void *ctx, struct comet_placement_item *item)
{
	const struct comet_gateway *gateway = ctx;
	struct comet_gateway_returns *returns = gateway->returns;
	struct comet_proxy_request *proxy = item->user_data;
	uint64_t now_us = comet_timers_now_us();
	uint32_t owner_vm = find_owner(returns, proxy->fingerprint.digest, now_us);
	enum comet_return_lookup result = comet_returning_callers_look_up(returns->callers, proxy,
		owner_vm, proxy->fingerprint.digest, now_us, &item->caller_age_us);

	if (result == COMET_RETURN_PENDING)
	{
		if (returns->timer == NULL)
			returns->timer = comet_timers_add(returns->gateway->timers, returns,
				LOOKUP_TICK_US, on_lookup_tick, returns);
		return COMET_PLACEMENT_CALLER_PENDING;
	}
	returns->lookups[result]++;
	log_lookup(proxy, owner_vm, result, 0);
	return result == COMET_RETURN_RETURNED ? COMET_PLACEMENT_CALLER_RETURNED
					       : COMET_PLACEMENT_CALLER_NEW;
}

const char *
comet_gateway_returns_source_name(enum comet_retry_source source)
{
	static const char *const names[] = {
		[COMET_RETRY_OTHER] = "other",
		[COMET_RETRY_QUEUE] = "queue",
		[COMET_RETRY_OWNER] = "owner",
		[COMET_RETRY_BOOKED] = "booked",
	};

	return names[source];
}

void
comet_gateway_returns_refusing(struct comet_proxy_request *proxy, uint32_t retry_after_ms)
{
	struct comet_gateway_returns *returns = proxy->gateway->returns;
	const struct comet_placement_announcement *made =
		comet_placement_announcement(proxy->gateway->placement);
	uint64_t now_us = comet_timers_now_us();
	uint64_t left_us = proxy->deadline_us - MIN(now_us, proxy->deadline_us);
	const struct comet_refused_caller refused = {
		.digest = proxy->fingerprint.digest,
		.due_us = made->due_us,
		.left_us = left_us,
		.age_us = now_us - proxy->arrived_us,
	};
	uint32_t owner_vm =
		proxy->item.return_expected ? find_owner(returns, refused.digest, now_us) : 0;
	char text[COMET_IPV4_TEXT_BYTES];

	returns->announced[proxy->item.retry_source]++;
	comet_log(COMET_LOG_INFO,
		"event=return_announced request=%s fingerprint=%016" G_GINT64_MODIFIER
		"x rank=%u returned=%d wait_ms=%" G_GUINT64_FORMAT " owner_ms=%" G_GUINT64_FORMAT
		" owner_age_ms=%" G_GUINT64_FORMAT " booked_ms=%" G_GUINT64_FORMAT
		" interval_us=%" G_GUINT64_FORMAT " source=%s retry_after_ms=%u"
		" due_ms=%" G_GUINT64_FORMAT " left_ms=%" G_GUINT64_FORMAT " recorded_at=%s",
		proxy->id, refused.digest, comet_placement_rank(&proxy->item), proxy->item.returned,
		made->wait_us / 1000, made->owner_us / 1000, made->owner_age_us / 1000,
		made->booked_us / 1000, made->interval_us,
		comet_gateway_returns_source_name(proxy->item.retry_source), retry_after_ms,
		refused.due_us / 1000, left_us / 1000,
		owner_vm != 0 ? comet_datagram_socket_format_address(owner_vm, text) : "-");
	/* Only if the overload is expected to end in time. Under a lasting one, returned callers
	 * would go before all newcomers, which would then be refused first and served late. */
	if (proxy->item.return_expected)
		comet_returning_callers_record(returns->callers, owner_vm, &refused, now_us);
}

void
comet_gateway_returns_cancel(
	struct comet_gateway_returns *returns, const struct comet_proxy_request *proxy)
{
	comet_returning_callers_cancel(returns->callers, proxy);
}

bool
comet_gateway_returns_receive(
	struct comet_gateway_returns *returns, const comet_Datagram *datagram, uint64_t now_us)
{
	const comet_RefusedRequest *refused = &datagram->body.refused;

	if (datagram->which_body == comet_Datagram_refused_tag &&
		MAX(MAX(refused->left_ms, refused->due_ms), refused->age_ms) >
			COMET_RETURNING_CALLERS_LIFETIME_MAX_US / 1000)
		comet_log_repeated(COMET_LOG_WARNING,
			"event=refusal_record_bounded fingerprint=%016" G_GINT64_MODIFIER
			"x due_ms=%u left_ms=%u age_ms=%u",
			refused->digest, refused->due_ms, refused->left_ms, refused->age_ms);
	return comet_returning_callers_receive(returns->callers, datagram, now_us);
}

void
comet_gateway_returns_put_metrics(const struct comet_gateway_returns *returns, GString *out)
{
	const struct comet_returning_callers_counts *counts =
		comet_returning_callers_counts(returns->callers);

	g_string_append_printf(out,
		"# TYPE comet_return_lookups_total counter\n"
		"comet_return_lookups_total{outcome=\"returned\"} %" G_GUINT64_FORMAT "\n"
		"comet_return_lookups_total{outcome=\"newcomer\"} %" G_GUINT64_FORMAT "\n"
		"comet_return_lookups_total{outcome=\"unanswered\"} %" G_GUINT64_FORMAT "\n"
		"comet_return_lookups_total{outcome=\"answered_others\"} %" G_GUINT64_FORMAT "\n"
		"# TYPE comet_returns_announced_total counter\n"
		"comet_returns_announced_total{source=\"queue\"} %" G_GUINT64_FORMAT "\n"
		"comet_returns_announced_total{source=\"owner\"} %" G_GUINT64_FORMAT "\n"
		"comet_returns_announced_total{source=\"booked\"} %" G_GUINT64_FORMAT "\n",
		returns->lookups[COMET_RETURN_RETURNED], returns->lookups[COMET_RETURN_NEWCOMER],
		returns->lookups[COMET_RETURN_UNANSWERED], counts->answered,
		returns->announced[COMET_RETRY_QUEUE], returns->announced[COMET_RETRY_OWNER],
		returns->announced[COMET_RETRY_BOOKED]);
	g_string_append_printf(out,
		"# TYPE comet_refusal_records_total counter\n"
		"comet_refusal_records_total{outcome=\"stored\"} %" G_GUINT64_FORMAT "\n"
		"comet_refusal_records_total{outcome=\"used\"} %" G_GUINT64_FORMAT "\n"
		"comet_refusal_records_total{outcome=\"expired\"} %" G_GUINT64_FORMAT "\n"
		"comet_refusal_records_total{outcome=\"dropped\"} %" G_GUINT64_FORMAT "\n"
		"# TYPE comet_refusal_records gauge\n"
		"comet_refusal_records %u\n",
		counts->recorded, counts->used, counts->expired, counts->dropped,
		comet_returning_callers_count(returns->callers));
}
