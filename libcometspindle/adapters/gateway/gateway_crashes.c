/*
 * gateway_crashes.c
 * what a gateway sees of endpoints' processes that crash, and of the requests they ran
 */
#include <libcometspindle/adapters/gateway/gateway_crashes.h>

#include <libcometspindle/adapters/endpoints/tcp_probe.h>
#include <libcometspindle/log.h>
#include <string.h>
#include <talloc.h>

/* An endpoint whose connection broke is looked at again after this time: it counts as crashed if it
 * refused connections both times and said nothing between. A full one refuses them for moments. */
#define LOOK_AGAIN_US 300000

/* Endpoints that are looked at, at a time: some more than crash together in a zone. */
#define LOOKS_MAX 64

/* An endpoint with requests of ours that was not heard for this time may be gone: streams have an
 * event some times a second. */
#define UNHEARD_US 500000

/* A look at an endpoint on which a request's connection broke. */
struct look
{
	struct comet_gateway *gateway;
	struct comet_timer *again;
	char *id;
	uint64_t process_start_ms;
	uint64_t began_us;
	uint32_t refusals;
};

static const char *
news_name(enum comet_crash_tracker_event news)
{
	static const char *const names[] = {
		[COMET_CRASH_TRACKER_COUNTED] = "counted",
		[COMET_CRASH_TRACKER_QUARANTINED] = "barred",
		[COMET_CRASH_TRACKER_RELEASED] = "released",
		[COMET_CRASH_TRACKER_CLEARED] = "excused",
	};

	return names[news];
}

static void
on_news(void *ctx, const struct comet_fingerprint *request, enum comet_crash_tracker_event news,
	uint32_t lives, bool own)
{
	struct comet_gateway *gateway = ctx;

	comet_log_writer *write = own ? comet_log : comet_log_repeated;

	write(news == COMET_CRASH_TRACKER_COUNTED ? COMET_LOG_INFO : COMET_LOG_NOTICE,
		"event=request_%s fingerprint=%016" G_GINT64_MODIFIER
		"x team_hash=%08x crashes=%u told=%d",
		news_name(news), request->digest, request->team, lives, !own);
	if (own) /* what another VM has told is on its way to all */
		comet_gossip_schedule_broadcast(gateway->gossip);
	gateway->newly_quarantined =
		gateway->newly_quarantined || news == COMET_CRASH_TRACKER_QUARANTINED;
}

const struct comet_crash_tracker_ops comet_gateway_crashes_ops = {.news = on_news};

static int
look_destroy(struct look *look)
{
	look->gateway->crash_checks = g_list_remove(look->gateway->crash_checks, look);
	return 0;
}

/* The endpoint that is looked at, if that life of it is still used. */
static struct comet_instance *
looked_at(const struct look *look)
{
	struct comet_instance *instance = comet_instances_find(look->gateway->instances, look->id);

	return instance != NULL && instance->process_start_ms == look->process_start_ms ? instance
											: NULL;
}

static void
on_look(void *ctx);

static void
on_looked(void *ctx, enum comet_tcp_probe_result result)
{
	struct look *look = ctx;
	const struct comet_instance *instance = looked_at(look);

	if (instance == NULL || result != COMET_TCP_PROBE_REFUSED ||
		instance->last_seen_us > look->began_us)
	{
		comet_log(COMET_LOG_INFO, "event=endpoint_looked_at endpoint=%s found=%s", look->id,
			instance == NULL ? "gone" : comet_tcp_probe_result_name(result));
		talloc_free(look); /* what the directory tells will show it */
		return;
	}
	look->refusals++;
	if (look->refusals == 1)
	{
		look->again =
			comet_timers_add(look->gateway->timers, look, LOOK_AGAIN_US, on_look, look);
		return;
	}
	comet_gateway_process_crashed(look->gateway, instance, "refuses_connections");
	talloc_free(look);
}

static void
on_look(void *ctx)
{
	struct look *look = ctx;
	struct comet_gateway *gateway = look->gateway;
	const struct comet_instance *instance = looked_at(look);

	look->again = NULL;
	if (instance == NULL)
		talloc_free(look);
	else
		comet_tcp_probe_start(
			gateway->timers, gateway->ev, look, instance->address, on_looked, look);
}

static bool
is_looked_at(const struct comet_gateway *gateway, const struct comet_instance *instance)
{
	for (GList *at = gateway->crash_checks; at != NULL; at = at->next)
	{
		const struct look *look = at->data;
		if (look->process_start_ms == instance->process_start_ms &&
			strcmp(look->id, instance->id) == 0)
			return true;
	}
	return false;
}

/* Looks whether the endpoint's process is still there. The directory tells of a crash after two to
 * four seconds, in which the same request may come again and crash others. */
static void
look_at(struct comet_gateway *gateway, const struct comet_instance *instance)
{
	if (is_looked_at(gateway, instance) || g_list_length(gateway->crash_checks) >= LOOKS_MAX)
		return;
	struct look *look = talloc_zero(gateway, struct look);
	look->gateway = gateway;
	look->id = talloc_strdup(look, instance->id);
	look->process_start_ms = instance->process_start_ms;
	look->began_us = comet_timers_now_us();
	gateway->crash_checks = g_list_prepend(gateway->crash_checks, look);
	talloc_set_destructor(look, look_destroy);
	look->again = comet_timers_add(gateway->timers, look, 0, on_look, look);
}

/* Does the answer itself tell where it ends? 204 and 304 have no body. */
static bool
is_framed(const struct comet_http_head *head)
{
	return head->status == 204 || head->status == 304 ||
	       comet_http_head_get(head, "Content-Length") != NULL ||
	       comet_http_head_get(head, "Transfer-Encoding") != NULL;
}

/* Does this answer show that its endpoint ran the request to its end? One that ends with its
 * connection may have ended with its process. */
static bool
is_proof(const struct comet_http_head *head)
{
	return head->status >= 200 && head->status < 300 && is_framed(head);
}

/* May this run have ended because the process crashed? */
static bool
is_suspect(const struct comet_proxy_request *relay, enum comet_dispatch_result result)
{
	if (relay->not_run)
		return false;
	if (result == COMET_DISPATCH_BROKEN || result == COMET_DISPATCH_SILENT)
		return true;
	if (result == COMET_DISPATCH_SERVED)
		return !is_framed(relay->head);
	/* A caller may leave before its request's crash is seen: all attempts of one that always
	 * did went uncounted. */
	return result == COMET_DISPATCH_CANCELLED && relay->exchange != NULL &&
	       comet_exchange_sent(relay->exchange);
}

void
comet_gateway_attempt_ending(struct comet_proxy_request *relay, enum comet_dispatch_result result)
{
	struct comet_gateway *gateway = relay->gateway;
	const struct comet_instance *instance = comet_proxy_request_instance(relay);
	uint64_t now_us = comet_timers_now_us();

	if (result == COMET_DISPATCH_SERVED && is_proof(relay->head))
		comet_crash_tracker_served(gateway->crash_tracker, &relay->fingerprint, now_us);
	if (instance != NULL && result == COMET_DISPATCH_WRONG_INSTANCE)
		comet_gateway_process_crashed(gateway, instance, "address_taken");
	if (!is_suspect(relay, result))
		return;
	uint64_t last_seen_us = instance != NULL ? instance->last_seen_us : relay->last_us;
	struct comet_crash_tracker_run run = {
		.request = relay->fingerprint,
		.incarnation_key = relay->incarnation_key,
		.last_seen_us = last_seen_us,
		.cancelled = result == COMET_DISPATCH_CANCELLED &&
			     now_us - MAX(last_seen_us, relay->sent_us) < UNHEARD_US,
	};
	comet_crash_tracker_add_suspect(gateway->crash_tracker, &run, now_us);
	if (instance != NULL && !run.cancelled && result != COMET_DISPATCH_SERVED)
		look_at(gateway, instance);
}

/* What is under way at a process that has not been heard for a while ended with it. */
static void
suspect_unheard(
	struct comet_gateway *gateway, const struct comet_instance *instance, uint64_t now_us)
{
	for (GList *at = gateway->active_attempts.head; at != NULL; at = at->next)
	{
		const struct comet_proxy_request *relay = at->data;
		uint64_t last_seen_us = MAX(instance->last_seen_us, relay->sent_us);
		if (relay->incarnation_key != instance->key || now_us - last_seen_us < UNHEARD_US)
			continue;
		struct comet_crash_tracker_run run = {
			.request = relay->fingerprint,
			.incarnation_key = relay->incarnation_key,
			.last_seen_us = instance->last_seen_us,
		};
		comet_crash_tracker_add_suspect(gateway->crash_tracker, &run, now_us);
	}
}

void
comet_gateway_process_crashed(
	struct comet_gateway *gateway, const struct comet_instance *instance, const char *why)
{
	uint64_t now_us = comet_timers_now_us();

	if (instance->draining)
	{
		comet_crash_tracker_process_exited(gateway->crash_tracker, instance->key);
		return;
	}
	suspect_unheard(gateway, instance, now_us);
	comet_log(COMET_LOG_INFO,
		"event=endpoint_ended endpoint=%s reason=%s open=%u "
		"heard_ms_ago=%" G_GUINT64_FORMAT,
		instance->id, why, instance->own,
		instance->last_seen_us != 0 ? (now_us - instance->last_seen_us) / 1000 : 0);
	comet_crash_tracker_process_crashed(
		gateway->crash_tracker, instance->key, instance->last_seen_us, now_us);
}
