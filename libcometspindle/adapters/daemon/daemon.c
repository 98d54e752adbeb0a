/*
 * daemon.c
 * the daemon: a control thread that runs a node, and worker threads
 */
#include <libcometspindle/adapters/daemon/daemon.h>

#include <errno.h>
#include <libcometspindle/adapters/clock.h>
#include <libcometspindle/adapters/daemon/daemon_private.h>
#include <libcometspindle/error.h>
#include <libcometspindle/hash.h>
#include <libcometspindle/log.h>
#include <libcometspindle/sign.h>
#include <signal.h>
#include <sodium.h>
#include <string.h>
#include <talloc.h>

/*
 * State snapshots are published this often, and at once when entries, bundle or readiness
 * change. A view lists every VM, so large fleets publish less often.
 */
#define PUBLISH_US 250000ULL
#define PUBLISH_FLEET 16
#define REPORT_PERIOD_US 500000ULL
#define CUT_PERIOD_US 200000ULL
/* Other VMs learn so late of a stop, by heartbeat or list, and may send callers here until then. */
#define STOP_MARGIN_US 3000000ULL
/* Request numbers begin at the start time, so that none is used twice. */
#define FIRST_REQUEST_SHIFT 20
#define FIRST_REQUEST_MASK 0xFFFFFULL

/* --- the node's outside --- */

static void
node_send(void *ctx, uint64_t vm, const comet_Packet *packet, GBytes *blob)
{
	struct comet_daemon *daemon = ctx;

	comet_peers_send(daemon->peers, vm, packet, blob);
}

static struct comet_worker *
traffic_of(struct comet_daemon *daemon, uint64_t request)
{
	return daemon->worker[(request - daemon->first_request) % daemon->n_workers];
}

static void
node_dispatch(void *ctx, uint64_t request, const struct comet_endpoint *endpoint)
{
	struct comet_daemon *daemon = ctx;
	struct comet_worker_message *message = g_new0(struct comet_worker_message, 1);

	message->kind = COMET_WORKER_DISPATCH;
	message->request = request;
	message->endpoint_id = endpoint->id;
	message->bundle = comet_bundle_ref(comet_node_bundle(daemon->node));
	comet_worker_send(traffic_of(daemon, request), message);
}

static void
node_refuse(void *ctx, uint64_t request, enum comet_refusal refusal, enum comet_verdict verdict,
	uint32_t retry_after_ms)
{
	struct comet_daemon *daemon = ctx;
	struct comet_worker_message *message = g_new0(struct comet_worker_message, 1);

	message->kind = COMET_WORKER_REFUSE;
	message->request = request;
	message->refusal = refusal;
	message->verdict = verdict;
	message->retry_after_ms = retry_after_ms;
	comet_worker_send(traffic_of(daemon, request), message);
}

static void
node_adopted(void *ctx, struct comet_bundle *bundle)
{
	struct comet_daemon *daemon = ctx;

	(void)bundle;
	daemon->publish_now = true;
}

static void
node_entries_changed(void *ctx)
{
	struct comet_daemon *daemon = ctx;

	daemon->publish_now = true;
}

static const struct comet_node_ops node_ops = {
	node_send, node_dispatch, node_refuse, node_adopted, node_entries_changed};

/* --- flushing what the node packed --- */

static void
publish_if_due(struct comet_daemon *daemon)
{
	if (!daemon->publish_now || daemon->node == NULL)
		return;
	daemon->publish_now = false;
	comet_daemon_publish(daemon);
}

static void
on_flush(struct tevent_context *ev, struct tevent_immediate *immediate, void *data)
{
	struct comet_daemon *daemon = data;

	(void)ev;
	(void)immediate;
	daemon->flush_scheduled = false;
	comet_node_flush(daemon->node, comet_clock_now());
	publish_if_due(daemon);
}

static void
schedule_flush(struct comet_daemon *daemon)
{
	if (daemon->flush_scheduled)
		return;
	daemon->flush_scheduled = true;
	tevent_schedule_immediate(daemon->flush, daemon->ev, on_flush, daemon);
}

/* --- inputs --- */

static void
on_control(void *ctx, void *data)
{
	struct comet_daemon *daemon = ctx;
	struct comet_control_message *message = data;
	struct comet_time now = comet_clock_now();

	if (message == NULL)
	{
		schedule_flush(daemon);
		return;
	}
	switch (message->kind)
	{
	case COMET_CONTROL_SUBMIT:
		comet_node_submit(daemon->node, &message->submission, now);
		break;
	case COMET_CONTROL_FINISHED:
		comet_node_finished(
			daemon->node, message->request, message->outcome, &message->sample, now);
		break;
	case COMET_CONTROL_ABANDONED:
		comet_node_abandoned(daemon->node, message->request, now);
		break;
	case COMET_CONTROL_SLOW:
		comet_node_slow(daemon->node, message->request, message->step_us, now);
		break;
	}
	g_free(message);
}

static void
on_packet(void *ctx, uint64_t from, const comet_Packet *packet, GBytes *blob)
{
	struct comet_daemon *daemon = ctx;

	comet_node_receive(daemon->node, from, packet, blob, comet_clock_now());
	schedule_flush(daemon);
}

static void
on_report(void *ctx, uint32_t endpoint_id, uint32_t total)
{
	struct comet_daemon *daemon = ctx;

	comet_node_report(daemon->node, endpoint_id, total, comet_clock_now());
}

static void
on_platform_bundle(void *ctx, GBytes *signed_document)
{
	struct comet_daemon *daemon = ctx;
	GError *error = NULL;

	if (!comet_node_offer_bundle(daemon->node, signed_document, comet_clock_now(), &error))
	{
		/* a stale service returns an old version, which is no fault */
		comet_log(error->code == COMET_ERROR_STATE ? COMET_LOG_DEBUG : COMET_LOG_ERR,
			"event=bundle_refused source=platform reason=\"%s\"", error->message);
		g_clear_error(&error);
	}
	schedule_flush(daemon);
}

static void
on_platform_vms(void *ctx, const struct comet_vm *vms, size_t count)
{
	struct comet_daemon *daemon = ctx;
	uint64_t *ids = talloc_array(daemon->ev, uint64_t, (unsigned int)count + 1);

	for (size_t i = 0; i < count; i++)
	{
		ids[i] = vms[i].id;
		if (vms[i].id == daemon->self_id)
		{
			g_free(daemon->caller_address);
			daemon->caller_address = g_strdup(vms[i].caller);
		}
		else
			comet_peers_set_address(daemon->peers, vms[i].id, vms[i].peer);
	}
	comet_peers_retain(daemon->peers, ids, count);
	talloc_free(ids);
	comet_node_set_vms(daemon->node, vms, count, comet_clock_now());
	schedule_flush(daemon);
}

static uint64_t
platform_version(void *ctx)
{
	struct comet_daemon *daemon = ctx;
	const struct comet_bundle *bundle = comet_node_bundle(daemon->node);

	return bundle != NULL ? bundle->version : 0;
}

static bool
platform_is_reader(void *ctx)
{
	struct comet_daemon *daemon = ctx;

	return comet_node_bundle(daemon->node) == NULL || comet_node_is_reader(daemon->node);
}

static size_t
platform_fleet_size(void *ctx)
{
	struct comet_daemon *daemon = ctx;

	return comet_membership_listed(comet_node_members(daemon->node));
}

static const struct comet_platform_events platform_events = {on_platform_bundle, on_platform_vms,
	platform_version, platform_is_reader, platform_fleet_size};

/* --- timers --- */

static void
poll_report(void *ctx, const struct comet_endpoint *endpoint)
{
	struct comet_daemon *daemon = ctx;

	if (!comet_bundle_pool(comet_node_bundle(daemon->node), endpoint->pools[0])->is_service)
		comet_load_poller_poll(daemon->load_poller, endpoint);
}

/* For fault tests: the file names the VMs that this one is cut off from, one a line. */
static void
read_cut_file(struct comet_daemon *daemon)
{
	char *text = NULL;

	if (!g_file_get_contents(daemon->settings->test_cut_file, &text, NULL, NULL))
		return;
	char **names = g_strsplit_set(text, " \n", -1);
	GArray *ids = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	for (char **name = names; *name != NULL; name++)
	{
		uint64_t id = comet_hash_vm(*name);
		if ((*name)[0] != '\0')
			g_array_append_val(ids, id);
	}
	comet_peers_set_cut(daemon->peers, (const uint64_t *)(void *)ids->data, ids->len);
	g_array_free(ids, TRUE);
	g_strfreev(names);
	g_free(text);
}

static uint32_t
open_calls(const struct comet_daemon *daemon)
{
	uint32_t open = 0;

	for (uint32_t i = 0; i < daemon->n_workers; i++)
		open += comet_worker_open_calls(daemon->worker[i]);
	return open;
}

static void
tell_traffic(struct comet_daemon *daemon, enum comet_worker_message_kind kind)
{
	for (uint32_t i = 0; i < daemon->n_workers; i++)
	{
		struct comet_worker_message *message = g_new0(struct comet_worker_message, 1);
		message->kind = kind;
		comet_worker_send(daemon->worker[i], message);
	}
}

/* A stop: callers may hold an older answer of /v1/entries until it has run out. */
static void
advance_stop(struct comet_daemon *daemon, uint64_t now_us)
{
	const struct comet_bundle *bundle = comet_node_bundle(daemon->node);
	uint64_t valid_us = (bundle != NULL ? bundle->limits.entries_valid_s : 0) * 1000000ULL;

	if (!daemon->quiesced && now_us - daemon->stop_us >= valid_us + STOP_MARGIN_US)
	{
		daemon->quiesced = true;
		daemon->quiesce_us = now_us;
		tell_traffic(daemon, COMET_WORKER_QUIESCE);
		comet_log(
			COMET_LOG_NOTICE, "event=stop phase=quiesced open=%u", open_calls(daemon));
	}
	bool empty = daemon->quiesced && open_calls(daemon) == 0 &&
		     now_us - daemon->quiesce_us > PUBLISH_US;
	bool late = now_us - daemon->stop_us > daemon->settings->drain_max_s * 1000000ULL;
	if (empty || late)
	{
		comet_log(COMET_LOG_NOTICE, "event=stop phase=exit open=%u", open_calls(daemon));
		daemon->over = true;
	}
}

static bool
view_is_old(struct comet_daemon *daemon, uint64_t now_us)
{
	size_t listed = comet_membership_listed(comet_node_members(daemon->node));
	const char *not_ready = comet_node_not_ready(daemon->node);
	bool changed = not_ready != daemon->not_ready;

	daemon->not_ready = not_ready;
	return changed ||
	       now_us - daemon->published_us >= PUBLISH_US * (1 + listed / PUBLISH_FLEET);
}

static void
on_tick(struct tevent_context *ev, struct tevent_timer *timer, struct timeval at, void *data)
{
	struct comet_daemon *daemon = data;
	struct comet_time now = comet_clock_now();

	(void)timer;
	(void)at;
	comet_node_tick(daemon->node, now);
	if (now.mono_us - daemon->reported_us >= REPORT_PERIOD_US)
	{
		daemon->reported_us = now.mono_us;
		comet_node_each_reported(daemon->node, poll_report, daemon);
	}
	if (daemon->settings->test_cut_file[0] != '\0' &&
		now.mono_us - daemon->cut_us >= CUT_PERIOD_US)
	{
		daemon->cut_us = now.mono_us;
		read_cut_file(daemon);
	}
	if (view_is_old(daemon, now.mono_us))
		daemon->publish_now = true;
	if (daemon->publish_now)
		daemon->published_us = now.mono_us;
	publish_if_due(daemon);
	if (daemon->stop_us != 0)
		advance_stop(daemon, now.mono_us);
	tevent_add_timer(ev, ev, comet_clock_after(COMET_NODE_TICK_US), on_tick, daemon);
}

static void
on_signal(struct tevent_context *ev, struct tevent_signal *event, int number, int count,
	void *siginfo, void *data)
{
	struct comet_daemon *daemon = data;

	(void)ev;
	(void)event;
	(void)count;
	(void)siginfo;
	if (number == SIGHUP)
	{
		comet_log(COMET_LOG_NOTICE, "event=sighup action=none");
		return;
	}
	if (daemon->stop_us != 0)
		return;
	comet_log(COMET_LOG_NOTICE, "event=stop phase=begin signal=%d", number);
	daemon->stop_us = comet_clock_now().mono_us;
	comet_node_stop(daemon->node, comet_clock_now());
	comet_daemon_publish(daemon);
}

/* --- life cycle --- */

static bool
load_keys(struct comet_daemon *daemon, uint8_t *bundle_key, char **peer_key, GError **error)
{
	if (!comet_sign_key_load(
		    daemon->settings->bundle_key_file, bundle_key, COMET_SIGN_PUBLIC_BYTES, error))
		return false;
	if (!g_file_get_contents(daemon->settings->peer_key_file, peer_key, NULL, error))
		return false;
	g_strstrip(*peer_key);
	comet_token_key(*peer_key, daemon->token_key);
	return true;
}

static bool
start_traffic(struct comet_daemon *daemon, GError **error)
{
	const struct comet_settings *settings = daemon->settings;
	struct comet_worker_config config = {
		.address = settings->listen_address,
		.port = settings->listen_port,
		.max_body_bytes = settings->max_body_bytes,
		.max_connections = settings->max_connections,
		.vm_id = daemon->self_id,
		.stride = settings->traffic_threads,
		.token_key = daemon->token_key,
		.control = daemon->mailbox,
		.snapshot_publisher = daemon->snapshot_publisher,
	};

	daemon->worker =
		talloc_zero_array(daemon->ev, struct comet_worker *, settings->traffic_threads);
	for (uint32_t i = 0; i < settings->traffic_threads; i++)
	{
		config.first_request = daemon->first_request + i;
		daemon->worker[i] = comet_worker_create(&config);
		if (daemon->worker[i] == NULL)
		{
			g_set_error(error, COMET_ERROR, COMET_ERROR_IO,
				"listen_address: %s port %u: %s", config.address, config.port,
				strerror(errno));
			return false;
		}
		daemon->n_workers = i + 1;
		config.port = comet_worker_port(daemon->worker[i]);
	}
	comet_log(COMET_LOG_NOTICE, "event=start vm=%s id=%08x zone=%s listen=%s:%u version=%s",
		settings->name, (uint32_t)daemon->self_id, settings->zone, config.address,
		config.port, COMET_VERSION);
	return true;
}

static void
create_node(struct comet_daemon *daemon, const uint8_t *bundle_key)
{
	struct comet_time now = comet_clock_now();
	struct comet_node_config config = {
		.name = daemon->settings->name,
		.zone = daemon->settings->zone,
		.policy = daemon->settings->policy,
		.bundle_key = bundle_key,
		.incarnation = now.wall_ms,
		.max_waiting = daemon->settings->max_waiting,
		.seed = daemon->self_id,
	};

	daemon->node = comet_node_create(daemon->ev, &config, &node_ops, daemon, now);
}

static void
watch_signals(struct comet_daemon *daemon)
{
	static const int numbers[] = {SIGTERM, SIGINT, SIGHUP};

	signal(SIGPIPE, SIG_IGN);
	for (size_t i = 0; i < G_N_ELEMENTS(numbers); i++)
		tevent_add_signal(daemon->ev, daemon->ev, numbers[i], 0, on_signal, daemon);
}

static bool
start(struct comet_daemon *daemon, GError **error)
{
	uint8_t bundle_key[COMET_SIGN_PUBLIC_BYTES];
	char *peer_key = NULL;

	if (!load_keys(daemon, bundle_key, &peer_key, error))
		return false;
	daemon->first_request = ((comet_clock_now().wall_ms / 1000) & FIRST_REQUEST_MASK)
				<< FIRST_REQUEST_SHIFT;
	create_node(daemon, bundle_key);
	daemon->flush = tevent_create_immediate(daemon->ev);
	daemon->snapshot_publisher = comet_snapshot_publisher_create(daemon->ev);
	daemon->mailbox = comet_mailbox_create(daemon->ev, daemon->ev, on_control, daemon);
	daemon->curl = comet_curl_loop_create(daemon->ev, daemon->ev);
	daemon->load_poller = comet_load_poller_create(daemon->ev, daemon->curl, on_report, daemon);
	daemon->peers = comet_peers_create(daemon->ev, daemon->ev, daemon->self_id,
		daemon->settings->peer_endpoint, peer_key, on_packet, daemon, error);
	sodium_memzero(peer_key, strlen(peer_key));
	g_free(peer_key);
	if (daemon->peers == NULL)
		return false;
	watch_signals(daemon);
	if (!start_traffic(daemon, error))
		return false;
	daemon->platform = comet_platform_http_create(daemon->ev, daemon->ev, daemon->curl,
		daemon->settings->platform_url, &platform_events, daemon);
	daemon->platform->ops->start(daemon->platform);
	tevent_add_timer(daemon->ev, daemon->ev, comet_clock_after(0), on_tick, daemon);
	return true;
}

struct comet_daemon *
comet_daemon_create(const struct comet_settings *settings, GError **error)
{
	struct comet_daemon *daemon = g_new0(struct comet_daemon, 1);

	daemon->settings = settings;
	daemon->self_id = comet_hash_vm(settings->name);
	daemon->ev = tevent_context_init(NULL);
	if (start(daemon, error))
		return daemon;
	comet_daemon_destroy(daemon);
	return NULL;
}

void
comet_daemon_run(struct comet_daemon *daemon)
{
	while (!daemon->over && tevent_loop_once(daemon->ev) == 0)
		continue;
}

void
comet_daemon_destroy(struct comet_daemon *daemon)
{
	tell_traffic(daemon, COMET_WORKER_EXIT);
	for (uint32_t i = 0; i < daemon->n_workers; i++)
		comet_worker_destroy(daemon->worker[i]);
	/* polls and watches end before their loop */
	TALLOC_FREE(daemon->load_poller);
	TALLOC_FREE(daemon->curl);
	TALLOC_FREE(daemon->platform);
	talloc_free(daemon->ev);
	g_free(daemon->caller_address);
	g_free(daemon);
}
