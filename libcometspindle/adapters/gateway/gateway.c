/*
 * gateway.c
 * the gateway process: sockets, signals, the event loop and the shutdown of a plain HTTP proxy
 */
#include <libcometspindle/adapters/gateway/gateway_crashes.h>
#include <libcometspindle/adapters/gateway/gateway_reachability.h>
#include <libcometspindle/adapters/gateway/gateway_returns.h>
#include <libcometspindle/adapters/gateway/gateway_streams.h>

#include <libcometspindle/adapters/socket.h>
#include <libcometspindle/error.h>
#include <libcometspindle/log.h>
#include <libcometspindle/now.h>
#include <netinet/in.h>
#include <signal.h>
#include <sodium.h>
#include <string.h>
#include <sys/resource.h>
#include <talloc.h>

/* Interval of the periodic work on queued requests, gossip and unreachable VMs: half the shortest
 * gossip interval. */
#define TICK_US 50000

/* A shutdown ends this long before the end of the grace period, when the process would be killed.
 */
#define STOP_MARGIN_US 400000

/* Requests of other VMs and of the readiness check are small and arrive quickly. */
#define HEADER_TIMEOUT_MS 3000
#define HEADER_BYTES_MAX (16 * 1024)
#define IDLE_TIMEOUT_MS 20000

/* Requests on the internal addresses have no body. */
#define INTERNAL_BODY_BYTES_MAX 0

/* Limits for requests on the internal addresses. */
static const struct comet_http_limits internal_limits = {
	.header_bytes = HEADER_BYTES_MAX,
	.body_bytes = INTERNAL_BODY_BYTES_MAX,
	.header_timeout_ms = HEADER_TIMEOUT_MS,
	.idle_timeout_ms = IDLE_TIMEOUT_MS,
};

/* Limits for callers until the first routing document is in force. */
static const struct comet_http_limits initial_limits = {
	.header_bytes = HEADER_BYTES_MAX,
	.body_bytes = 4 * 1024 * 1024,
	.header_timeout_ms = HEADER_TIMEOUT_MS,
	.idle_timeout_ms = IDLE_TIMEOUT_MS,
};

/* An iteration of the event loop takes milliseconds and waits for a tick at most. A longer one
 * shows that the process did not run. */
#define PAUSE_MIN_US 400000

/* After a pause, input is handled for this time before timers fire, so that a response that has
 * arrived precedes its deadline. Reading all connections of a busy VM takes a few milliseconds. */
#define CATCH_UP_US 20000

/* Bounds of the time for which a directory reader is followed after its last response: it covers
 * several calls of the reader, and is shorter than a change may take to be in force. */
#define READER_TIMEOUT_MIN_MS 500
#define READER_TIMEOUT_MAX_MS 2000

/* More seeds than this are of no use: further ones in the settings are ignored. */
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
	else if (comet_gateway_streams_receive(gateway->streams, &datagram, now_us) ||
		 comet_gateway_returns_receive(gateway->returns, &datagram, now_us))
		return;
	else if (datagram.which_body != comet_Datagram_view_tag &&
		 !comet_quota_requests_receive(gateway->quota_requests, &datagram, now_us))
		comet_gateway_receive_grants(gateway, &datagram, now_us);
	else if (datagram.which_body == comet_Datagram_view_tag &&
		 !comet_gossip_receive(gateway->gossip, &datagram.body.view, now_us))
		comet_log(COMET_LOG_WARNING, "event=gossip_message_malformed bytes=%zu", length);
}

static void
send_gossip(void *ctx, uint32_t address, const uint8_t *data, size_t length)
{
	struct comet_gateway *gateway = ctx;

	comet_datagram_socket_send(gateway->datagram_socket, address, data, length);
}

static void
on_vm_changed(void *ctx, uint32_t address, bool alive, const char *why)
{
	char text[COMET_IPV4_TEXT_BYTES];

	struct comet_gateway *gateway = ctx;

	comet_gateway_forget_release(gateway, address);
	comet_gateway_streams_vm_changed(gateway->streams, address);
	comet_log_repeated(COMET_LOG_NOTICE, "event=vm_%s vm=%s reason=%s",
		alive ? "heard" : "lost", comet_datagram_socket_format_address(address, text), why);
}

static const struct comet_gossip_ops gossip_ops = {
	.send = send_gossip, .peer_state_changed = on_vm_changed};

/* Continues a shutdown: closes idle connections, and ends the loop once nothing is open or the
 * grace period is nearly over. */
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
	bool open = gateway->open_request_count > 0 ||
		    comet_http_server_counts(gateway->callers)->connections > 0;
	if (open && passed_us + STOP_MARGIN_US < grace_us)
		return;
	comet_log(COMET_LOG_NOTICE, "event=stopped open=%u after_ms=%" G_GUINT64_FORMAT,
		gateway->open_request_count, passed_us / 1000);
	comet_proxy_request_end_all(gateway);
	gateway->stopped = true;
}

/* Sets the numbers of VMs among which shared limits are divided; during discovery, assumed ones. */
static void
set_vms(struct comet_gateway *gateway, uint32_t alive, uint32_t known, uint64_t now_us)
{
	bool was_discovering = gateway->discovery.active;

	comet_discovery_update(&gateway->discovery, alive, known,
		comet_gossip_interval_us(gateway->gossip), now_us);
	bool discovering = gateway->discovery.active;
	if (was_discovering && !discovering)
		comet_log(COMET_LOG_NOTICE,
			"event=discovery_complete vms=%u after_ms=%" G_GUINT64_FORMAT, known,
			(now_us - gateway->began_us) / 1000);
	if (discovering)
	{
		known = MAX(known, COMET_DISCOVERY_ASSUMED_VMS);
		alive = known;
	}
	uint32_t spenders =
		discovering ? known : comet_gossip_count_spenders(gateway->gossip, now_us);
	comet_rate_limiter_set_vms(gateway->rate_limiter, alive, spenders,
		discovering ? 0 : comet_gossip_unreachable_since_us(gateway->gossip));
	comet_retry_budget_set_vms(gateway->retries, spenders);
	comet_placement_set_vms(gateway->placement, alive, known);
	comet_gateway_update_cold_shares(gateway, now_us);
	gateway->directory->ops->set_vms(gateway->directory, alive);
}

static void
on_tick(void *ctx)
{
	struct comet_gateway *gateway = ctx;
	uint64_t now_us = comet_timers_now_us();
	uint32_t known = 0;
	uint32_t alive = 0;

	comet_timers_add(gateway->timers, gateway, TICK_US, on_tick, gateway);
	comet_log_tick();
	comet_gossip_tick(gateway->gossip, now_us);
	comet_gossip_count_peers(gateway->gossip, &known, &alive);
	set_vms(gateway, alive + 1, known + 1, now_us);
	comet_link_share_set_alternatives(gateway->link, alive > 0);
	comet_gateway_tick_endpoints(gateway, now_us);
	comet_gateway_links_tick(gateway->links, now_us);
	comet_caller_budget_set_responses(
		gateway->caller_budget, comet_http_server_unsent_bytes(gateway->callers));
	comet_gateway_streams_tick(gateway->streams, now_us);
	comet_gateway_returns_tick(gateway->returns, now_us);
	comet_crash_tracker_tick(gateway->crash_tracker, now_us);
	comet_crash_tracker_tick(gateway->crashing_parts, now_us);
	comet_proxy_request_refuse_all_quarantined(gateway);
	comet_placement_run(gateway->placement, now_us);
	comet_gateway_tick_reader_election(gateway, now_us);
	comet_gateway_resync(gateway, now_us);
	comet_resync_cache_tick(gateway->resync_cache, now_us);
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
	comet_log(COMET_LOG_NOTICE, "event=stopping signal=%d open=%u", number,
		gateway->open_request_count);
	comet_http_server_set_draining(gateway->callers);
	comet_gossip_leave(gateway->gossip, gateway->stop_us);
	comet_gateway_streams_hand_over(gateway->streams, gateway->stop_us);
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
		comet_log(COMET_LOG_ERR, "event=reload_failed error=\"%s\" settings=unchanged",
			error->message);
		g_clear_error(&error);
		return;
	}
	/* Addresses cannot change in a running process; the log level and the log budget can. */
	comet_log_set_level((enum comet_log_level)settings->log_level);
	comet_log_set_budget(settings->log_lines_per_s);
	comet_log(COMET_LOG_NOTICE, "event=reloaded path=%s", gateway->settings_path);
	talloc_free(settings);
}

/* Parses the seed addresses. Their ports are ignored: they belong to another service. */
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

static bool
is_zone_peer(const void *ctx, uint32_t address)
{
	return comet_gossip_is_zone_peer_alive(ctx, address);
}

static void
create_gossip(struct comet_gateway *gateway)
{
	uint32_t seeds[SEEDS_MAX];
	struct comet_gossip_config config = {
		.address = comet_datagram_socket_address(gateway->datagram_socket),
		.seeds = seeds,
		.n_seeds = read_seeds(gateway->settings->seeds, seeds),
		.now_us = gateway->began_us,
		.window_ms = gateway->settings->rate_limiter.window_ms,
		.zone = gateway->settings->zone,
		.near_bytes_per_s = gateway->settings->near_bytes_per_s,
		.far_bytes_per_s = gateway->settings->far_bytes_per_s,
		.cpu_percent = gateway->settings->cpu_percent,
		.crash_tracker = gateway->crash_tracker,
		.crashing_parts = gateway->crashing_parts,
	};

	randombytes_buf(&config.incarnation, sizeof config.incarnation);
	gateway->gossip = comet_gossip_create(
		gateway, &config, gateway->instances, gateway->rate_limiter, &gossip_ops, gateway);
	gateway->grants =
		comet_grants_create(gateway, config.address, &comet_gateway_grants_ops, gateway);
	gateway->streams = comet_gateway_streams_create(gateway, config.address);
	gateway->returns = comet_gateway_returns_create(gateway, config.address);
	gateway->quota_requests = comet_quota_requests_create(
		gateway, config.address, &comet_gateway_quota_ops, gateway);
}

/* Returns how many connections of callers this process keeps: a quarter of its descriptors is left
 * for endpoints, other VMs and files. 0: no limit is known. */
static uint32_t
caller_connections_max(void)
{
	struct rlimit limit;

	if (getrlimit(RLIMIT_NOFILE, &limit) != 0 || limit.rlim_cur == RLIM_INFINITY)
		return 0;
	return (uint32_t)MIN(limit.rlim_cur / 4 * 3, UINT32_MAX);
}

/* Opens the listening sockets. @return false with error set. */
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
	gateway->link = comet_link_share_create(gateway, settings->link_bytes_per_s);
	comet_http_server_set_link(gateway->callers, gateway->link);
	gateway->caller_budget = comet_caller_budget_create(gateway, settings->memory_bytes);
	comet_http_server_set_budget(gateway->callers, gateway->caller_budget);
	comet_http_server_set_budget(gateway->readiness, gateway->caller_budget);
	comet_http_server_set_budget(gateway->control, gateway->caller_budget);
	comet_http_server_set_limits(gateway->callers, &initial_limits);
	comet_http_server_set_max_connections(gateway->callers, caller_connections_max());
	comet_http_server_set_limits(gateway->readiness, &internal_limits);
	comet_http_server_set_limits(gateway->control, &internal_limits);
	gateway->datagram_socket = comet_datagram_socket_create(
		gateway, gateway->ev, settings->peers, on_datagram, gateway, error);
	return gateway->datagram_socket != NULL;
}

/* Returns how long a directory reader is followed after the directory last answered it. This is a
 * quarter of the time in which the directory is complete again after an outage, so that a follower
 * that loses its readers has read the directory itself within half of that time. */
static uint32_t
followed_ms(const struct comet_gateway_settings *settings)
{
	return CLAMP(settings->settled_ms / 4, READER_TIMEOUT_MIN_MS, READER_TIMEOUT_MAX_MS);
}

static void
set_regions(struct comet_instances *instances, const struct comet_gateway_settings *settings)
{
	GHashTableIter at;
	gpointer zone = NULL;
	gpointer region = NULL;

	g_hash_table_iter_init(&at, settings->zone_regions);
	while (g_hash_table_iter_next(&at, &zone, &region))
		comet_instances_set_region(instances, zone, region);
}

static void
create_components(struct comet_gateway *gateway)
{
	const struct comet_gateway_settings *settings = gateway->settings;

	gateway->instances = comet_instances_create(gateway, settings->zone);
	set_regions(gateway->instances, settings);
	gateway->incarnations = comet_incarnations_create(gateway);
	gateway->evacuations = comet_evacuations_create(
		gateway, gateway->instances, comet_gateway_zone_restored, gateway);
	gateway->rate_limiter =
		comet_rate_limiter_create(gateway, &settings->rate_limiter, comet_timers_now_us());
	gateway->retries = comet_retry_budget_create(gateway, &settings->retries);
	gateway->reader_election = comet_reader_election_create(gateway,
		(uint64_t)followed_ms(settings) * 1000, comet_random_u32(&gateway->random));
	gateway->resync_cache = comet_resync_cache_create(gateway);
	gateway->links = comet_gateway_links_create(gateway, &comet_gateway_links_ops);
	gateway->response_events = &comet_proxy_request_response_events;
	gateway->older_peers = g_hash_table_new(NULL, NULL);
	gateway->crash_tracker = comet_crash_tracker_create(
		gateway, &comet_crash_tracker_requests, &comet_gateway_crashes_ops, gateway);
	gateway->crashing_parts = comet_crash_tracker_create(
		gateway, &comet_crash_tracker_parts, &comet_gateway_crashing_parts_ops, gateway);
	gateway->placement_ops = comet_gateway_placement_ops;
	if (!settings->returning_callers)
		gateway->placement_ops.find_caller = NULL;
	gateway->placement = comet_placement_create(gateway, gateway->instances,
		&gateway->placement_ops, gateway, comet_random_u32(&gateway->random));
	if (settings->prefer_own_zone)
		comet_placement_prefer_own_zone(gateway->placement);
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
	gateway->decode_advertisement = port->decode_advertisement;
	gateway->decode_resumption = port->decode_resumption;
	gateway->ends = comet_counter_set_create(gateway);
	gateway->began_us = comet_timers_now_us();
	gateway->discovery.began_us = gateway->began_us;
	randombytes_buf(&seed, sizeof seed);
	comet_random_init(&gateway->random, seed);
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
	create_components(gateway);
	create_gossip(gateway);
	comet_datagram_socket_set_zone_check(
		gateway->datagram_socket, is_zone_peer, gateway->gossip);
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

/* Returns how long the VM has been suspended since it booted: CLOCK_MONOTONIC does not count that
 * time. */
static uint64_t
suspended_us(uint64_t now_us)
{
	return now_us - MIN(comet_now_us(CLOCK_MONOTONIC), now_us);
}

/* Handles a pause: the process was stopped or its VM suspended. */
static void
handle_pause(struct comet_gateway *gateway, uint64_t now_us)
{
	uint64_t all_us = suspended_us(now_us);

	comet_log(COMET_LOG_WARNING,
		"event=process_paused paused_ms=%" G_GUINT64_FORMAT
		" suspended_ms=%" G_GUINT64_FORMAT " clock=boottime",
		(now_us - gateway->last_loop_us) / 1000,
		(all_us - MIN(gateway->suspended_us, all_us)) / 1000);
	gateway->suspended_us = all_us;
	gateway->pause_detected_us = now_us;
	comet_timers_hold(gateway->timers, CATCH_UP_US);
	comet_gateway_handle_cold_pause(gateway, now_us - gateway->last_loop_us, now_us);
}

/* Detects a pause of the process each time the event loop has waited. */
static void
on_loop_event(enum tevent_trace_point point, void *data)
{
	struct comet_gateway *gateway = data;

	if (point != TEVENT_TRACE_AFTER_WAIT)
		return;
	uint64_t now_us = comet_timers_now_us();
	if (gateway->last_loop_us != 0 && now_us - gateway->last_loop_us >= PAUSE_MIN_US)
		handle_pause(gateway, now_us);
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
	tevent_set_trace_callback(gateway->ev, on_loop_event, gateway);
	while (!gateway->stopped && tevent_loop_once(gateway->ev) == 0)
		;
}

void
comet_gateway_destroy(struct comet_gateway *gateway)
{
	comet_route_table_unref(gateway->table);
	if (gateway->older_peers != NULL) /* not created if a socket could not be opened */
		g_hash_table_destroy(gateway->older_peers);
	talloc_free(gateway);
}
