/*
 * gateway_crashes.c
 * detects crashed endpoint processes and reports the requests that they ran to the crash tracker
 */
#include <libcometspindle/adapters/gateway/gateway_crashes.h>

#include <libcometspindle/adapters/endpoints/tcp_probe.h>
#include <libcometspindle/adapters/gateway/gateway_reachability.h>
#include <libcometspindle/log.h>
#include <string.h>
#include <talloc.h>

/* Delay between the two probes of an endpoint whose connection broke. The endpoint counts as
 * crashed if it refused both and was not seen in between: an overloaded endpoint refuses
 * connections briefly. */
#define REPROBE_DELAY_US 300000

/* Concurrent crash checks: somewhat more than the endpoints of a zone that crash together. */
#define CRASH_CHECKS_MAX 64

/* An endpoint that runs requests of this VM and was not seen for this time may have crashed: a
 * stream has several events a second. */
#define UNSEEN_US 500000

/* Time after the first byte of a response within which an endpoint crashes that can't answer a part
 * of the prompt. It covers the detection of a broken connection. */
#define BEGIN_US 2000000

/* Checks whether an endpoint whose connection broke has crashed. */
struct crash_check
{
	struct comet_gateway *gateway;
	struct comet_timer *timer;
	char *id;
	uint64_t process_start_ms;
	uint64_t began_us;
	uint32_t refusals;
};

static const char *
event_name(enum comet_crash_tracker_event event)
{
	static const char *const names[] = {
		[COMET_CRASH_TRACKER_COUNTED] = "counted",
		[COMET_CRASH_TRACKER_QUARANTINED] = "quarantined",
		[COMET_CRASH_TRACKER_RELEASED] = "released",
		[COMET_CRASH_TRACKER_EXCUSED] = "excused",
	};

	return names[event];
}

static void
on_tracker_event(void *ctx, const struct comet_fingerprint *request,
	enum comet_crash_tracker_event event, uint32_t incarnations, bool own)
{
	struct comet_gateway *gateway = ctx;

	comet_log_writer *write = own ? comet_log : comet_log_repeated;

	write(event == COMET_CRASH_TRACKER_COUNTED ? COMET_LOG_INFO : COMET_LOG_NOTICE,
		"event=request_%s fingerprint=%016" G_GINT64_MODIFIER
		"x team_hash=%08x crashes=%u remote=%d",
		event_name(event), request->digest, request->team, incarnations, !own);
	if (own) /* findings of other VMs are already broadcast */
		comet_gossip_schedule_broadcast(gateway->gossip);
	gateway->newly_quarantined =
		gateway->newly_quarantined || event == COMET_CRASH_TRACKER_QUARANTINED;
}

static bool
is_explained_by_part(void *ctx, uint32_t incarnation_key)
{
	const struct comet_gateway *gateway = ctx;

	return comet_crash_tracker_explains(gateway->crashing_parts, incarnation_key);
}

static uint64_t
last_seen_us(void *ctx, uint32_t incarnation_key)
{
	const struct comet_gateway *gateway = ctx;
	const struct comet_instance *instance =
		comet_instances_find_key(gateway->instances, incarnation_key);

	return instance != NULL ? instance->last_seen_us : 0;
}

const struct comet_crash_tracker_ops comet_gateway_crashes_ops = {
	.on_change = on_tracker_event,
	.is_explained = is_explained_by_part,
	.last_seen_us = last_seen_us,
};

static void
on_part_event(void *ctx, const struct comet_fingerprint *part, enum comet_crash_tracker_event event,
	uint32_t incarnations, bool own)
{
	struct comet_gateway *gateway = ctx;
	comet_log_writer *write = own ? comet_log : comet_log_repeated;

	write(event == COMET_CRASH_TRACKER_COUNTED ? COMET_LOG_INFO : COMET_LOG_NOTICE,
		"event=part_%s part=%016" G_GINT64_MODIFIER "x team_hash=%08x crashes=%u remote=%d",
		event_name(event), part->digest, part->team, incarnations, !own);
	if (own)
		comet_gossip_schedule_broadcast(gateway->gossip);
	gateway->newly_quarantined =
		gateway->newly_quarantined || event == COMET_CRASH_TRACKER_QUARANTINED;
	/* Requests that only ran beside the part are not blamed for its crashes. */
	if (event == COMET_CRASH_TRACKER_QUARANTINED || event == COMET_CRASH_TRACKER_RELEASED)
		comet_crash_tracker_review(gateway->crash_tracker, comet_timers_now_us());
}

const struct comet_crash_tracker_ops comet_gateway_crashing_parts_ops = {
	.on_change = on_part_event, .last_seen_us = last_seen_us};

bool
comet_gateway_take_part_trials(struct comet_proxy_request *proxy)
{
	struct comet_crash_tracker *tracker = proxy->gateway->crashing_parts;
	uint64_t now_us = comet_timers_now_us();

	if (comet_crash_tracker_is_quarantined(proxy->gateway->crash_tracker, &proxy->fingerprint))
		return false;
	for (uint32_t i = 0; i < proxy->n_parts; i++)
	{
		if (comet_crash_tracker_is_quarantined(tracker, &proxy->parts[i]) &&
			!comet_crash_tracker_has_trial(tracker, &proxy->parts[i], now_us))
			return false;
	}
	for (uint32_t i = 0; i < proxy->n_parts; i++)
		comet_crash_tracker_take_trial(tracker, &proxy->parts[i], now_us);
	proxy->part_trial = true;
	comet_log(COMET_LOG_NOTICE, "event=part_trial request=%s", proxy->id);
	return true;
}

void
comet_gateway_return_part_trials(struct comet_proxy_request *proxy)
{
	if (!proxy->part_trial)
		return;
	proxy->part_trial = false;
	for (uint32_t i = 0; i < proxy->n_parts; i++)
		comet_crash_tracker_return_trial(proxy->gateway->crashing_parts, &proxy->parts[i]);
}

static int
crash_check_destroy(struct crash_check *check)
{
	check->gateway->crash_checks = g_list_remove(check->gateway->crash_checks, check);
	return 0;
}

/* @return the endpoint under check; NULL if that incarnation is no longer in use. */
static struct comet_instance *
checked_instance(const struct crash_check *check)
{
	struct comet_instance *instance =
		comet_instances_find(check->gateway->instances, check->id);

	return instance != NULL && instance->process_start_ms == check->process_start_ms ? instance
											 : NULL;
}

static void
on_check_due(void *ctx);

static void
on_probed(void *ctx, enum comet_tcp_probe_result result)
{
	struct crash_check *check = ctx;
	const struct comet_instance *instance = checked_instance(check);

	bool links_lost = comet_gateway_links_are_lost(check->gateway->links);
	if (instance == NULL || links_lost || result != COMET_TCP_PROBE_REFUSED ||
		instance->last_seen_us > check->began_us)
	{
		comet_log(COMET_LOG_INFO,
			"event=crash_check_ended endpoint=%s result=%s links_lost=%d", check->id,
			instance == NULL ? "gone" : comet_tcp_probe_result_name(result),
			links_lost);
		talloc_free(check); /* the directory will report a crash */
		return;
	}
	check->refusals++;
	/* Links may fail one after the other: until a check of the links has ended, the refusal
	 * says nothing about the endpoint. */
	if (comet_gateway_links_are_in_doubt(check->gateway->links))
	{
		comet_gateway_links_hurry(check->gateway->links);
		check->refusals = 1;
	}
	if (check->refusals == 1)
	{
		check->timer = comet_timers_add(
			check->gateway->timers, check, REPROBE_DELAY_US, on_check_due, check);
		return;
	}
	comet_gateway_process_crashed(check->gateway, instance, "connection_refused");
	talloc_free(check);
}

static void
on_check_due(void *ctx)
{
	struct crash_check *check = ctx;
	struct comet_gateway *gateway = check->gateway;
	struct comet_instance *instance = checked_instance(check);

	check->timer = NULL;
	uint64_t now_us = comet_timers_now_us();
	/* Without the check, the directory reports a crash some seconds later. */
	if (instance == NULL || comet_instance_is_resting(instance, now_us) ||
		!comet_placement_limit_admits(gateway->placement, instance, now_us))
		talloc_free(check);
	else
		comet_tcp_probe_start(
			gateway->timers, gateway->ev, check, instance->address, on_probed, check);
}

static bool
is_checked(const struct comet_gateway *gateway, const struct comet_instance *instance)
{
	for (GList *at = gateway->crash_checks; at != NULL; at = at->next)
	{
		const struct crash_check *check = at->data;
		if (check->process_start_ms == instance->process_start_ms &&
			strcmp(check->id, instance->id) == 0)
			return true;
	}
	return false;
}

/* Checks whether the endpoint's process still runs. The directory reports a crash only after two to
 * four seconds, in which a retry of the same request may crash other endpoints. */
static void
start_crash_check(struct comet_gateway *gateway, const struct comet_instance *instance)
{
	if (is_checked(gateway, instance) ||
		g_list_length(gateway->crash_checks) >= CRASH_CHECKS_MAX)
		return;
	struct crash_check *check = talloc_zero(gateway, struct crash_check);
	check->gateway = gateway;
	check->id = talloc_strdup(check, instance->id);
	check->process_start_ms = instance->process_start_ms;
	check->began_us = comet_timers_now_us();
	gateway->crash_checks = g_list_prepend(gateway->crash_checks, check);
	talloc_set_destructor(check, crash_check_destroy);
	check->timer = comet_timers_add(gateway->timers, check, 0, on_check_due, check);
}

/* Returns whether the response's head delimits its body; 204 and 304 have none. */
static bool
is_framed(const struct comet_http_head *head)
{
	return head->status == 204 || head->status == 304 ||
	       comet_http_head_get(head, "Content-Length") != NULL ||
	       comet_http_head_get(head, "Transfer-Encoding") != NULL;
}

/* Returns whether the response proves that the endpoint completed the request. A response that is
 * delimited by the end of its connection may have ended because the process crashed. */
static bool
proves_completion(const struct comet_http_head *head)
{
	return head->status >= 200 && head->status < 300 && is_framed(head);
}

static bool
is_success(const struct comet_proxy_request *proxy)
{
	const struct comet_http_head *head = proxy->attempt->head;

	return head != NULL && head->status >= 200 && head->status < 300;
}

/* Returns whether the attempt may have ended because the process crashed. */
static bool
is_suspect(const struct comet_proxy_request *proxy, enum comet_dispatch_result result)
{
	if (proxy->attempt->not_executed)
		return false;
	if (result == COMET_DISPATCH_BROKEN || result == COMET_DISPATCH_SILENT)
		return true;
	if (result == COMET_DISPATCH_SERVED)
		return !is_framed(proxy->attempt->head);
	/* A caller may disconnect before the crash is detected. Without this rule, no attempt of a
	 * caller that always did so was counted. */
	return result == COMET_DISPATCH_CANCELLED && proxy->attempt->exchange != NULL &&
	       comet_exchange_sent(proxy->attempt->exchange);
}

/* Logs an attempt that ended without a response, with the digests of the parts of its prompt, so
 * that what is common to the attempts at crashed endpoints can be found. */
static void
log_suspect(const struct comet_proxy_request *proxy, enum comet_dispatch_result result)
{
	GString *parts = g_string_new(NULL);

	for (uint32_t i = 0; i < proxy->n_parts; i++)
		g_string_append_printf(parts, "%s%016" G_GINT64_MODIFIER "x", i > 0 ? "," : "",
			proxy->parts[i].digest);
	comet_log(COMET_LOG_INFO,
		"event=crash_suspect request=%s endpoint=%s result=%s status=%u events=%u "
		"sent_ms_ago=%" G_GUINT64_FORMAT " parts=%s",
		proxy->id, proxy->attempt->instance_id, comet_dispatch_result_name(result),
		proxy->attempt->head != NULL ? proxy->attempt->head->status : 0,
		comet_proxy_request_events(proxy) - proxy->attempt->prior_events,
		(comet_timers_now_us() - proxy->attempt->sent_us) / 1000, parts->str);
	g_string_free(parts, TRUE);
}

/* Returns when the response of the attempt began. One that has no body may have begun at once. */
static uint64_t
response_begin_us(const struct comet_attempt *attempt)
{
	return attempt->first_byte_us != 0 ? attempt->first_byte_us : attempt->sent_us;
}

static void
mark_parts_served(const struct comet_proxy_request *proxy, uint64_t now_us)
{
	for (uint32_t i = 0; i < proxy->n_parts; i++)
		comet_crash_tracker_mark_served(proxy->gateway->crashing_parts, &proxy->parts[i],
			response_begin_us(proxy->attempt), now_us);
}

static void
mark_served(const struct comet_proxy_request *proxy, uint64_t now_us)
{
	comet_crash_tracker_mark_served(proxy->gateway->crash_tracker, &proxy->fingerprint,
		response_begin_us(proxy->attempt), now_us);
	mark_parts_served(proxy, now_us);
}

void
comet_gateway_response_continues(struct comet_proxy_request *proxy, uint64_t now_us)
{
	struct comet_attempt *attempt = proxy->attempt;

	if (attempt->parts_served || proxy->n_parts == 0 || attempt->first_byte_us == 0 ||
		now_us - attempt->first_byte_us < BEGIN_US || !is_success(proxy))
		return;
	attempt->parts_served = true;
	mark_parts_served(proxy, now_us);
}

/* Returns whether the endpoint may have crashed because it began to answer the attempt. Otherwise a
 * crash would be counted against the parts of all prompts that the endpoint was answering. */
static bool
may_have_crashed_at_begin(const struct comet_proxy_request *proxy, uint64_t now_us)
{
	const struct comet_attempt *attempt = proxy->attempt;

	return attempt->first_byte_us == 0 || now_us - attempt->first_byte_us < BEGIN_US;
}

/* Records the request of an attempt, and the parts of its prompt, as suspects. */
static void
add_suspect(const struct comet_proxy_request *proxy, const struct comet_crash_attempt *attempt,
	uint64_t now_us)
{
	struct comet_gateway *gateway = proxy->gateway;
	struct comet_crash_attempt suspect = *attempt;

	suspect.request_digest = proxy->fingerprint.digest;
	suspect.subject = proxy->fingerprint;
	comet_crash_tracker_add_suspect(gateway->crash_tracker, &suspect, now_us);
	for (uint32_t i = 0; i < proxy->n_parts && may_have_crashed_at_begin(proxy, now_us); i++)
	{
		suspect.subject = proxy->parts[i];
		comet_crash_tracker_add_suspect(gateway->crashing_parts, &suspect, now_us);
	}
}

void
comet_gateway_attempt_ending(struct comet_proxy_request *proxy, enum comet_dispatch_result result)
{
	struct comet_gateway *gateway = proxy->gateway;
	const struct comet_instance *instance = comet_proxy_request_instance(proxy);
	uint64_t now_us = comet_timers_now_us();

	if (result == COMET_DISPATCH_SERVED && proves_completion(proxy->attempt->head))
		mark_served(proxy, now_us);
	if (instance != NULL && result == COMET_DISPATCH_WRONG_INSTANCE)
		comet_gateway_process_crashed(gateway, instance, "address_reused");
	if (!is_suspect(proxy, result))
		return;
	log_suspect(proxy, result);
	uint64_t seen_us = instance != NULL ? instance->last_seen_us : proxy->attempt->last_byte_us;
	struct comet_crash_attempt attempt = {
		.incarnation_key = proxy->attempt->incarnation_key,
		.sent_us = proxy->attempt->sent_us,
		.began_us = response_begin_us(proxy->attempt),
		.last_seen_us = seen_us,
		.cancelled = result == COMET_DISPATCH_CANCELLED &&
			     now_us - MAX(seen_us, proxy->attempt->sent_us) < UNSEEN_US,
		.answered = result == COMET_DISPATCH_SERVED && is_success(proxy),
	};
	add_suspect(proxy, &attempt, now_us);
	if (instance != NULL && !attempt.cancelled && result != COMET_DISPATCH_SERVED)
		start_crash_check(gateway, instance);
}

/* Records the requests in progress at a crashed process as suspects if it was not seen recently. */
static void
suspect_unseen(
	struct comet_gateway *gateway, const struct comet_instance *instance, uint64_t now_us)
{
	for (GList *at = gateway->active_attempts.head; at != NULL; at = at->next)
	{
		const struct comet_proxy_request *proxy = at->data;
		uint64_t last_seen_us = MAX(instance->last_seen_us, proxy->attempt->sent_us);
		if (proxy->attempt->incarnation_key != instance->key ||
			now_us - last_seen_us < UNSEEN_US)
			continue;
		const struct comet_crash_attempt attempt = {
			.incarnation_key = proxy->attempt->incarnation_key,
			.sent_us = proxy->attempt->sent_us,
			.began_us = proxy->attempt->first_byte_us,
			.last_seen_us = instance->last_seen_us,
		};
		add_suspect(proxy, &attempt, now_us);
	}
}

void
comet_gateway_process_crashed(
	struct comet_gateway *gateway, const struct comet_instance *instance, const char *why)
{
	uint64_t now_us = comet_timers_now_us();

	if (comet_instance_is_leaving(instance))
	{
		comet_crash_tracker_process_exited(gateway->crash_tracker, instance->key);
		comet_crash_tracker_process_exited(gateway->crashing_parts, instance->key);
		return;
	}
	suspect_unseen(gateway, instance, now_us);
	comet_log(COMET_LOG_INFO,
		"event=endpoint_crashed endpoint=%s reason=%s open=%u "
		"last_seen_ms_ago=%" G_GUINT64_FORMAT,
		instance->id, why, instance->local_requests,
		instance->last_seen_us != 0 ? (now_us - instance->last_seen_us) / 1000 : 0);
	/* Parts first: they explain the crashes of requests that only ran beside them. */
	comet_crash_tracker_process_crashed(
		gateway->crashing_parts, instance->key, instance->last_seen_us, now_us);
	comet_crash_tracker_process_crashed(
		gateway->crash_tracker, instance->key, instance->last_seen_us, now_us);
}

void
comet_gateway_crashes_put_metrics(const struct comet_gateway *gateway, GString *out)
{
	const struct comet_crash_tracker_counts counts =
		comet_crash_tracker_count(gateway->crash_tracker);
	const struct comet_crash_tracker_counts parts =
		comet_crash_tracker_count(gateway->crashing_parts);

	g_string_append_printf(out,
		"# TYPE comet_crash_records gauge\n"
		"comet_crash_records %u\n"
		"# TYPE comet_crash_suspects gauge\n"
		"comet_crash_suspects %u\n"
		"# TYPE comet_requests_barred gauge\n"
		"comet_requests_barred %u\n"
		"# TYPE comet_crash_part_records gauge\n"
		"comet_crash_part_records %u\n"
		"# TYPE comet_parts_quarantined gauge\n"
		"comet_parts_quarantined %u\n",
		counts.records, counts.crash_suspects, counts.quarantined, parts.records,
		parts.quarantined);
}
