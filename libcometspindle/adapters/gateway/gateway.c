/*
 * gateway.c
 * a VM that relays plain HTTP: reads its routes and endpoints from a directory
 */
#include <libcometspindle/adapters/gateway/gateway_crashes.h>

#include <libcometspindle/adapters/socket.h>
#include <libcometspindle/error.h>
#include <libcometspindle/log.h>
#include <libcometspindle/now.h>
#include <netinet/in.h>
#include <signal.h>
#include <sodium.h>
#include <string.h>
#include <talloc.h>

/* How often waiting requests, views and silent VMs are looked at: half the shortest interval of
 * views. */
#define TICK_US 50000

/* A stop ends this long before the process would be killed. */
#define STOP_MARGIN_US 400000

/* Answers to other VMs and to the readiness check are small and quick. */
#define SMALL_TIMEOUT_MS 3000
#define SMALL_HEADER_BYTES (16 * 1024)
#define IDLE_TIMEOUT_MS 20000

/* What is asked on the internal addresses has no body. */
#define INTERNAL_BODY_BYTES 0

/* Bounds of what is asked on the internal addresses. */
static const struct comet_http_limits internal_limits = {
	.header_bytes = SMALL_HEADER_BYTES,
	.body_bytes = INTERNAL_BODY_BYTES,
	.header_timeout_ms = SMALL_TIMEOUT_MS,
	.idle_timeout_ms = IDLE_TIMEOUT_MS,
};

/* Bounds before the first routing document is read. */
static const struct comet_http_limits first_limits = {
	.header_bytes = SMALL_HEADER_BYTES,
	.body_bytes = 4 * 1024 * 1024,
	.header_timeout_ms = SMALL_TIMEOUT_MS,
	.idle_timeout_ms = IDLE_TIMEOUT_MS,
};

/* A process that starts has found the others once no new one has come up for some rounds of views,
 * and at the latest after the second time. Until then it shares sums with at least so many: all may
 * have started at once, and each knows only itself. */
#define FOUND_AFTER_US 200000
#define FOUND_AFTER_ROUNDS 2
#define FIND_LONGEST_US 4000000
#define VMS_ASSUMED 128

/* A turn of the loop takes milliseconds, and waits for a tick at most: one of this length shows
 * that the process did not run. */
#define AWAY_US 400000

/* What arrived while it was away is handled for so long before timers are: reading all connections
 * of a busy VM takes a few milliseconds. */
#define CATCH_UP_US 20000

/* Bounds of the time for which a reader of the directory is followed: some of its calls, and less
 * than a change may take to be in force. */
#define FOLLOWED_MIN_MS 500
#define FOLLOWED_MAX_MS 2000

/* Most seeds that a settings file names usefully. */
#define SEEDS_MAX 16

static void
on_datagram(void *ctx, const uint8_t *data, size_t length)
{
	struct comet_gateway *gateway = ctx;
	uint64_t now_us = comet_timers_now_us();
	comet_Datagram datagram;

	if (!comet_datagram_decode(data, length, &datagram))
		comet_log(COMET_LOG_WARNING, "event=datagram_malformed bytes=%zu", length);
	else if (datagram.which_body == comet_Datagram_news_tag)
		comet_gateway_handle_report(gateway, &datagram.body.news, now_us);
	else if (datagram.which_body != comet_Datagram_view_tag &&
		 !comet_quota_requests_receive(gateway->charges, &datagram))
		comet_grants_receive(gateway->grants, &datagram);
	else if (datagram.which_body == comet_Datagram_view_tag &&
		 !comet_gossip_receive(gateway->gossip, &datagram.body.view, now_us))
		comet_log(COMET_LOG_WARNING, "event=view_malformed bytes=%zu", length);
}

static void
send_view(void *ctx, uint32_t address, const uint8_t *data, size_t length)
{
	struct comet_gateway *gateway = ctx;

	comet_datagram_socket_send(gateway->link, address, data, length);
}

static void
on_vm_changed(void *ctx, uint32_t address, bool there, const char *why)
{
	char text[COMET_IPV4_TEXT_BYTES];

	(void)ctx;
	comet_log_repeated(COMET_LOG_NOTICE, "event=vm_%s vm=%s reason=%s",
		there ? "heard" : "lost", comet_datagram_socket_format_address(address, text), why);
}

static const struct comet_gossip_ops views_ops = {.send = send_view, .changed = on_vm_changed};

/* Goes on with a stop: closes what is idle, and ends once nothing is open. */
static void
continue_stop(struct comet_gateway *gateway, uint64_t now_us)
{
	uint64_t passed_us = now_us - gateway->stop_us;
	uint64_t grace_us = (uint64_t)gateway->settings->grace_ms * 1000;

	if (passed_us < (uint64_t)gateway->settings->leave_ms * 1000)
		return;
	gateway->refusing = true;
	comet_http_server_stop_listening(gateway->callers);
	comet_http_server_close_idle(gateway->callers);
	bool open =
		gateway->calls > 0 || comet_http_server_counts(gateway->callers)->connections > 0;
	if (open && passed_us + STOP_MARGIN_US < grace_us)
		return;
	comet_log(COMET_LOG_NOTICE, "event=stopped open=%u after_ms=%" G_GUINT64_FORMAT,
		gateway->calls, passed_us / 1000);
	gateway->over = true;
}

/* Is this process still finding out who else is there? One that has heard nobody is, as long as its
 * seeds may only be late: taken for the only VM, it spent all of each team's limit by itself. */
static bool
is_finding(struct comet_gateway *gateway, uint32_t heard, uint32_t known, uint64_t now_us)
{
	if (heard > gateway->peak_alive_vms)
	{
		gateway->peak_alive_vms = heard;
		gateway->discovered_us = heard > 1 ? now_us : 0;
	}
	uint64_t last_us = MAX(gateway->discovered_us, gateway->began_us);
	uint64_t quiet_us =
		MAX(FOUND_AFTER_US, FOUND_AFTER_ROUNDS * comet_gossip_interval_us(gateway->gossip));
	bool unheard = heard < known && gateway->discovered_us == 0;
	return (now_us - last_us < quiet_us || unheard) &&
	       now_us - gateway->began_us < FIND_LONGEST_US;
}

/* Shares sums with the VMs that there are, or must be taken to be there. */
static void
set_vms(struct comet_gateway *gateway, uint32_t heard, uint32_t known, uint64_t now_us)
{
	bool discovering = is_finding(gateway, heard, known, now_us);

	if (gateway->discovering && !discovering)
		comet_log(COMET_LOG_NOTICE, "event=vms_found vms=%u after_ms=%" G_GUINT64_FORMAT,
			known, (now_us - gateway->began_us) / 1000);
	gateway->discovering = discovering;
	if (discovering)
	{
		known = MAX(known, VMS_ASSUMED);
		heard = known;
	}
	comet_rate_limiter_set_vms(gateway->rate_limiter, heard, known,
		discovering ? 0 : comet_gossip_unreachable_since_us(gateway->gossip));
	comet_retry_budget_set_vms(gateway->retries, known);
	comet_placement_set_vms(gateway->placement, heard, known);
	gateway->directory->ops->set_vms(gateway->directory, heard);
}

static void
on_tick(void *ctx)
{
	struct comet_gateway *gateway = ctx;
	uint64_t now_us = comet_timers_now_us();
	uint32_t known = 0;
	uint32_t heard = 0;

	comet_timers_add(gateway->timers, gateway, TICK_US, on_tick, gateway);
	comet_log_tick();
	comet_gossip_tick(gateway->gossip, now_us);
	comet_gossip_count(gateway->gossip, &known, &heard);
	set_vms(gateway, heard + 1, known + 1, now_us);
	comet_gateway_tick_endpoints(gateway, now_us);
	comet_crash_tracker_tick(gateway->crash_tracker, now_us);
	comet_proxy_request_refuse_all_quarantined(gateway);
	comet_placement_run(gateway->placement, now_us);
	comet_gateway_tick_reader_election(gateway, now_us);
	comet_gateway_resync(gateway, now_us);
	if (gateway->stop_us != 0)
		continue_stop(gateway, now_us);
}

static void
on_stop(struct tevent_context *ev, struct tevent_signal *event, int number, int count, void *info,
	void *data)
{
	struct comet_gateway *gateway = data;

	(void)ev;
	(void)event;
	(void)count;
	(void)info;
	if (gateway->stop_us != 0)
		return;
	gateway->stop_us = comet_timers_now_us();
	comet_log(COMET_LOG_NOTICE, "event=stopping signal=%d open=%u", number, gateway->calls);
	comet_http_server_set_draining(gateway->callers);
	comet_gossip_leave(gateway->gossip, gateway->stop_us);
}

static void
on_reload(struct tevent_context *ev, struct tevent_signal *event, int number, int count, void *info,
	void *data)
{
	struct comet_gateway *gateway = data;
	GError *error = NULL;
	char *text = NULL;
	gsize length = 0;

	(void)ev;
	(void)event;
	(void)number;
	(void)count;
	(void)info;
	struct comet_gateway_settings *settings = NULL;
	if (g_file_get_contents(gateway->settings_path, &text, &length, &error))
		settings = comet_gateway_settings_parse(text, length, &error);
	g_free(text);
	if (settings == NULL)
	{
		comet_log(
			COMET_LOG_ERR, "event=reload_failed error=\"%s\" kept=old", error->message);
		g_clear_error(&error);
		return;
	}
	/* Addresses cannot change in a running process; the log's level and bounds can. */
	comet_log_set_level((enum comet_log_level)settings->log_level);
	comet_log_set_budget(settings->log_lines_per_s);
	comet_log(COMET_LOG_NOTICE, "event=reloaded path=%s", gateway->settings_path);
	talloc_free(settings);
}

/* Reads the addresses of the seeds; their ports are those of another service. */
static size_t
read_seeds(const char *text, uint32_t seeds[SEEDS_MAX])
{
	char **words = g_strsplit(text, ",", -1);
	size_t count = 0;

	for (char **word = words; *word != NULL && count < SEEDS_MAX; word++)
	{
		struct sockaddr_in at;
		if (**word == '\0')
			continue;
		if (comet_socket_parse_address(*word, &at))
			seeds[count++] = ntohl(at.sin_addr.s_addr);
		else
			comet_log(COMET_LOG_WARNING, "event=seed_ignored seed=\"%s\"", *word);
	}
	g_strfreev(words);
	return count;
}

static void
create_views(struct comet_gateway *gateway)
{
	uint32_t seeds[SEEDS_MAX];
	struct comet_gossip_config config = {
		.address = comet_datagram_socket_address(gateway->link),
		.seeds = seeds,
		.n_seeds = read_seeds(gateway->settings->seeds, seeds),
		.now_us = gateway->began_us,
		.window_ms = gateway->settings->rate_limiter.window_ms,
		.zone = gateway->settings->zone,
		.near_bytes_per_s = gateway->settings->near_bytes_per_s,
		.far_bytes_per_s = gateway->settings->far_bytes_per_s,
		.cpu_percent = gateway->settings->cpu_percent,
		.crash_tracker = gateway->crash_tracker,
	};

	randombytes_buf(&config.incarnation, sizeof config.incarnation);
	gateway->gossip = comet_gossip_create(
		gateway, &config, gateway->instances, gateway->rate_limiter, &views_ops, gateway);
	gateway->grants =
		comet_grants_create(gateway, config.address, &comet_gateway_grants_ops, gateway);
	gateway->charges = comet_quota_requests_create(
		gateway, config.address, &comet_gateway_quota_ops, gateway);
}

/* Opens what the gateway listens on. @return false with error set. */
static bool
open_sockets(struct comet_gateway *gateway, GError **error)
{
	const struct comet_gateway_settings *settings = gateway->settings;

	gateway->callers = comet_http_server_create(gateway, gateway->ev, gateway->timers,
		settings->callers, &comet_gateway_caller_events, gateway, error);
	if (gateway->callers == NULL)
		return false;
	gateway->readiness = comet_http_server_create(gateway, gateway->ev, gateway->timers,
		settings->readiness, &comet_gateway_readiness_events, gateway, error);
	if (gateway->readiness == NULL)
		return false;
	gateway->control = comet_http_server_create(gateway, gateway->ev, gateway->timers,
		settings->control, &comet_gateway_control_events, gateway, error);
	if (gateway->control == NULL)
		return false;
	comet_http_server_set_byte_counters(
		gateway->callers, &gateway->bytes[COMET_GATEWAY_USE_CALLERS]);
	comet_http_server_set_byte_counters(
		gateway->control, &gateway->bytes[COMET_GATEWAY_USE_PEERS]);
	comet_http_server_set_limits(gateway->callers, &first_limits);
	comet_http_server_set_limits(gateway->readiness, &internal_limits);
	comet_http_server_set_limits(gateway->control, &internal_limits);
	gateway->link = comet_datagram_socket_create(
		gateway, gateway->ev, settings->peers, on_datagram, gateway, error);
	return gateway->link != NULL;
}

/* How long a VM that reads the directory for others is followed after the directory has answered
 * it: a quarter of the time in which the directory's word is whole again after trouble, so that who
 * loses its readers then has read for itself in half of that. */
static uint32_t
followed_ms(const struct comet_gateway_settings *settings)
{
	return CLAMP(settings->settled_ms / 4, FOLLOWED_MIN_MS, FOLLOWED_MAX_MS);
}

static void
create_decisions(struct comet_gateway *gateway)
{
	const struct comet_gateway_settings *settings = gateway->settings;

	gateway->instances = comet_instances_create(gateway, settings->zone);
	gateway->lives = comet_incarnations_create(gateway);
	gateway->evacuations = comet_evacuations_create(
		gateway, gateway->instances, comet_gateway_zone_restored, gateway);
	gateway->rate_limiter =
		comet_rate_limiter_create(gateway, &settings->rate_limiter, comet_timers_now_us());
	gateway->retries = comet_retry_budget_create(gateway, &settings->retries);
	gateway->reader_election = comet_reader_election_create(
		gateway, (uint64_t)followed_ms(settings) * 1000, comet_random_u32(&gateway->draw));
	gateway->crash_tracker =
		comet_crash_tracker_create(gateway, &comet_gateway_crashes_ops, gateway);
	gateway->placement = comet_placement_create(gateway, gateway->instances,
		&comet_gateway_placement_ops, gateway, comet_random_u32(&gateway->draw));
}

struct comet_gateway *
comet_gateway_create(const struct comet_gateway_settings *settings, const char *settings_path,
	const struct comet_platform_adapter *port, GError **error)
{
	struct comet_gateway *gateway = talloc_zero(NULL, struct comet_gateway);
	uint64_t seed = 0;

	gateway->settings = settings;
	gateway->settings_path = settings_path;
	gateway->names = port->names;
	gateway->ends = comet_counter_set_create(gateway);
	gateway->began_us = comet_timers_now_us();
	randombytes_buf(&seed, sizeof seed);
	comet_random_init(&gateway->draw, seed);
	gateway->ev = tevent_context_init(gateway);
	gateway->timers = comet_timers_create(gateway, gateway->ev);
	if (gateway->timers == NULL)
	{
		g_set_error(error, COMET_ERROR, COMET_ERROR_IO, "cannot create a timerfd");
		comet_gateway_destroy(gateway);
		return NULL;
	}
	gateway->upstream = comet_upstream_create(gateway, gateway->ev, gateway->timers);
	if (!open_sockets(gateway, error))
	{
		comet_gateway_destroy(gateway);
		return NULL;
	}
	create_decisions(gateway);
	create_views(gateway);
	struct comet_directory_context context = {
		.ev = gateway->ev,
		.timers = gateway->timers,
		.upstream = gateway->upstream,
		.address = settings->directory,
		.counted = &gateway->bytes[COMET_GATEWAY_USE_DIRECTORY],
		.followed_ms = followed_ms(settings),
		.events = &comet_gateway_directory_events,
		.ctx = gateway,
	};
	gateway->directory = port->create_directory(gateway, &context);
	tevent_add_signal(gateway->ev, gateway, SIGTERM, 0, on_stop, gateway);
	tevent_add_signal(gateway->ev, gateway, SIGINT, 0, on_stop, gateway);
	tevent_add_signal(gateway->ev, gateway, SIGHUP, 0, on_reload, gateway);
	return gateway;
}

/* For how long the VM was suspended since it started: CLOCK_MONOTONIC does not count that. */
static uint64_t
suspended_us(uint64_t now_us)
{
	return now_us - MIN(comet_now_us(CLOCK_MONOTONIC), now_us);
}

/* The process did not run, whether it was stopped or its VM suspended. */
static void
was_away(struct comet_gateway *gateway, uint64_t now_us)
{
	uint64_t all_us = suspended_us(now_us);

	comet_log(COMET_LOG_WARNING,
		"event=was_away away_ms=%" G_GUINT64_FORMAT " suspended_ms=%" G_GUINT64_FORMAT
		" clock=boottime",
		(now_us - gateway->last_loop_us) / 1000,
		(all_us - MIN(gateway->suspended_us, all_us)) / 1000);
	gateway->suspended_us = all_us;
	gateway->pause_detected_us = now_us;
	comet_timers_hold(gateway->timers, CATCH_UP_US);
}

/* Looks, each time the loop has waited, whether the process was away since it did so last. */
static void
on_turn(enum tevent_trace_point point, void *data)
{
	struct comet_gateway *gateway = data;

	if (point != TEVENT_TRACE_AFTER_WAIT)
		return;
	uint64_t now_us = comet_timers_now_us();
	if (gateway->last_loop_us != 0 && now_us - gateway->last_loop_us >= AWAY_US)
		was_away(gateway, now_us);
	gateway->last_loop_us = now_us;
}

void
comet_gateway_run(struct comet_gateway *gateway)
{
	comet_log(COMET_LOG_NOTICE,
		"event=started version=" COMET_VERSION " vm=%s zone=%s callers=%s",
		gateway->settings->name, gateway->settings->zone, gateway->settings->callers);
	gateway->directory->ops->start(gateway->directory);
	comet_timers_add(gateway->timers, gateway, 0, on_tick, gateway);
	gateway->suspended_us = suspended_us(comet_timers_now_us());
	tevent_set_trace_callback(gateway->ev, on_turn, gateway);
	while (!gateway->over && tevent_loop_once(gateway->ev) == 0)
		;
}

void
comet_gateway_destroy(struct comet_gateway *gateway)
{
	comet_route_table_unref(gateway->table);
	talloc_free(gateway);
}
