/*
 * platform.c
 * a stand-in for the platform's service: a bundle and a list of VMs, read from files
 *
 * The control file says how it fares: ok, down (503), slow (2 s late) or stale
 * (what was read last goes on being served).
 */
#include "standin.h"

#include <glib.h>
#include <libcometspindle/adapters/clock.h>
#include <libcometspindle/adapters/callers/http_loop.h>
#include <string.h>

#define LOOK_US 50000ULL
#define WATCH_US 10000000ULL
#define SLOW_US 2000000ULL

enum mode
{
	MODE_OK,
	MODE_DOWN,
	MODE_SLOW,
	MODE_STALE,
};

struct platform
{
	struct tevent_context *ev;
	struct comet_http_loop *http;
	char *bundle_file;
	char *vms_file;
	char *control_file;
	enum mode mode;
	char *bundle;
	gsize bundle_length;
	uint64_t version;
	char *vms;
	gsize vms_length;
	uint64_t reads;
	GQueue watchers;
};

struct visit
{
	struct platform *platform;
	struct MHD_Connection *connection;
	uint64_t after;
	uint64_t give_up_us;
	uint64_t not_before_us;
	bool started;
	bool suspended;
};

static enum mode
read_mode(const struct platform *platform)
{
	static const char *const names[] = {"ok", "down", "slow", "stale"};
	char *text = NULL;
	enum mode mode = MODE_OK;

	if (!g_file_get_contents(platform->control_file, &text, NULL, NULL))
		return MODE_OK;
	g_strstrip(text);
	for (int i = 0; i < 4; i++)
	{
		if (strcmp(text, names[i]) == 0)
			mode = (enum mode)i;
	}
	g_free(text);
	return mode;
}

static uint64_t
version_of(const char *bundle)
{
	const char *body = strchr(bundle, '\n');
	struct json_object *root = body != NULL ? json_tokener_parse(body + 1) : NULL;
	uint64_t version = (uint64_t)standin_int(root, "version", 0);

	json_object_put(root);
	return version;
}

static void
reload(struct platform *platform)
{
	char *text = NULL;
	gsize length = 0;

	if (g_file_get_contents(platform->bundle_file, &text, &length, NULL))
	{
		if (platform->bundle == NULL || platform->bundle_length != length ||
			memcmp(text, platform->bundle, length) != 0)
			platform->version = version_of(text);
		g_free(platform->bundle);
		platform->bundle = text;
		platform->bundle_length = length;
	}
	if (g_file_get_contents(platform->vms_file, &text, &length, NULL))
	{
		g_free(platform->vms);
		platform->vms = text;
		platform->vms_length = length;
	}
}

static void
on_look(struct tevent_context *ev, struct tevent_timer *timer, struct timeval now, void *data)
{
	struct platform *platform = data;
	uint64_t at = standin_now_us();

	(void)timer;
	(void)now;
	platform->mode = read_mode(platform);
	if (platform->mode != MODE_STALE)
		reload(platform);
	for (GList *link = platform->watchers.head; link != NULL;)
	{
		struct visit *visit = link->data;
		GList *next = link->next;
		bool due = platform->version > visit->after || at >= visit->give_up_us ||
			   platform->mode == MODE_DOWN;
		if (due && at >= visit->not_before_us)
		{
			visit->suspended = false;
			comet_http_loop_resume(platform->http, visit->connection);
			g_queue_delete_link(&platform->watchers, link);
		}
		link = next;
	}
	tevent_add_timer(ev, ev, comet_clock_after(LOOK_US), on_look, platform);
}

static enum MHD_Result
answer(struct platform *platform, struct visit *visit, const char *url)
{
	if (strcmp(url, "/stats") == 0)
	{
		char text[64];
		g_snprintf(text, sizeof text, "{\"reads\":%" G_GUINT64_FORMAT "}", platform->reads);
		return comet_http_respond(
			visit->connection, 200, "application/json", text, strlen(text));
	}
	if (platform->mode == MODE_DOWN)
		return comet_http_respond(visit->connection, 503, "text/plain", "down", 4);
	if (strcmp(url, "/v1/vms") == 0 && platform->vms != NULL)
		return comet_http_respond(visit->connection, 200, "application/json", platform->vms,
			platform->vms_length);
	if (strcmp(url, "/v1/bundle") == 0 && platform->version > visit->after)
		return comet_http_respond(visit->connection, 200, "application/octet-stream",
			platform->bundle, platform->bundle_length);
	return comet_http_respond(visit->connection, 204, "text/plain", "", 0);
}

static void
wait_for_news(struct platform *platform, struct visit *visit)
{
	visit->suspended = true;
	g_queue_push_tail(&platform->watchers, visit);
	MHD_suspend_connection(visit->connection);
}

static enum MHD_Result
on_request(void *ctx, struct MHD_Connection *connection, const char *url, const char *method,
	const char *version, const char *data, size_t *length, void **request_ctx)
{
	struct platform *platform = ctx;
	struct visit *visit = *request_ctx;
	uint64_t now = standin_now_us();

	(void)method;
	(void)version;
	(void)data;
	*length = 0;
	if (visit == NULL)
	{
		visit = g_new0(struct visit, 1);
		visit->platform = platform;
		visit->connection = connection;
		*request_ctx = visit;
		return MHD_YES;
	}
	if (!visit->started)
	{
		const char *after =
			MHD_lookup_connection_value(connection, MHD_GET_ARGUMENT_KIND, "after");
		bool watch = strcmp(url, "/v1/bundle") == 0;
		bool stats = strcmp(url, "/stats") == 0;
		visit->started = true;
		platform->reads += stats ? 0 : 1;
		visit->after = after != NULL ? g_ascii_strtoull(after, NULL, 10) : 0;
		visit->give_up_us = now + (watch ? WATCH_US : 0);
		visit->not_before_us = now + (platform->mode == MODE_SLOW ? SLOW_US : 0);
		bool news =
			!watch || platform->version > visit->after || platform->mode == MODE_DOWN;
		if (!stats && (!news || platform->mode == MODE_SLOW))
		{
			wait_for_news(platform, visit);
			return MHD_YES;
		}
	}
	return answer(platform, visit, url);
}

static void
on_completed(void *ctx, struct MHD_Connection *connection, void **request_ctx,
	enum MHD_RequestTerminationCode code)
{
	struct platform *platform = ctx;

	(void)connection;
	(void)code;
	if (*request_ctx != NULL)
		g_queue_remove(&platform->watchers, *request_ctx);
	g_free(*request_ctx);
	*request_ctx = NULL;
}

bool
standin_platform_start(struct tevent_context *ev, struct json_object *config)
{
	struct platform *platform = g_new0(struct platform, 1);
	struct comet_http_config http = {
		.address = standin_string(config, "address", "127.0.0.1"),
		.port = (uint16_t)standin_int(config, "port", 0),
		.max_connections = 4000,
		.on_request = on_request,
		.on_completed = on_completed,
		.ctx = platform,
	};

	platform->ev = ev;
	platform->bundle_file = g_strdup(standin_string(config, "bundle_file", ""));
	platform->vms_file = g_strdup(standin_string(config, "vms_file", ""));
	platform->control_file = g_strdup(standin_string(config, "control_file", ""));
	g_queue_init(&platform->watchers);
	platform->http = comet_http_loop_create(ev, ev, &http);
	if (platform->http == NULL)
	{
		g_printerr("platform: port %u cannot be listened on\n", http.port);
		return false;
	}
	reload(platform);
	tevent_add_timer(ev, ev, comet_clock_after(0), on_look, platform);
	return true;
}
