/*
 * gateway_pages.c
 * answers requests on the readiness and control addresses: readiness, metrics, directory copies
 */
#include <libcometspindle/adapters/gateway/gateway_private.h>

#include <string.h>

/* Limit of connections up to which snapshots, of up to a megabyte each, are sent. */
#define SNAPSHOT_CONNECTIONS_MAX 3

/* Limit of connections up to which small deltas are sent: all VMs of a zone request one from the
 * zone's readers at once. */
#define DELTA_CONNECTIONS_MAX 256
#define DELTA_BYTES_MAX (64 * 1024)

/* Limit of queued documents and packed responses: one second of a 10 Mbit/s link. A peer that is
 * rejected tries again, and then reads the directory. */
#define QUEUED_BYTES_MAX (1250 * 1000)

#define METRICS_PATH "/metrics"

const char *
comet_gateway_not_ready(const struct comet_gateway *gateway)
{
	if (gateway->stop_us != 0)
		return "stopping";
	if (gateway->table == NULL)
		return "no_routes";
	if (!gateway->listed)
		return "no_endpoints";
	return NULL;
}

static void
on_readiness(void *ctx, struct comet_http_server_request *request)
{
	const char *why = comet_gateway_not_ready(ctx);

	if (why == NULL)
		comet_http_server_respond(request, 200, NULL, "ready\n", 6);
	else
		comet_http_server_respond(request, 503, NULL, why, strlen(why));
}

static void
on_gone(void *ctx, struct comet_http_server_request *request)
{
	(void)ctx;
	(void)request;
}

/* Returns the delta after a position given as text, or NULL if it is not a position. */
static GBytes *
delta_after(struct comet_gateway *gateway, const char *after,
	GBytes *(*delta)(struct comet_directory *directory, uint64_t after))
{
	guint64 position = 0;

	if (!g_ascii_string_to_unsigned(after, 10, 1, G_MAXUINT64, &position, NULL))
		return NULL;
	return delta(gateway->directory, position);
}

/* Returns the delta that a peer requests, or a snapshot. @return NULL if too many connections are
 * open. */
static GBytes *
resync_for(struct comet_gateway *gateway, const char *target)
{
	const struct comet_directory_ops *ops = gateway->directory->ops;
	uint32_t open = (uint32_t)comet_http_server_counts(gateway->control)->connections;
	GBytes *data = NULL;

	if (open <= DELTA_CONNECTIONS_MAX && g_str_has_prefix(target, COMET_GATEWAY_ENDPOINTS_PATH))
		data = delta_after(gateway, target + strlen(COMET_GATEWAY_ENDPOINTS_PATH),
			ops->endpoints_delta);
	else if (open <= DELTA_CONNECTIONS_MAX &&
		 g_str_has_prefix(target, COMET_GATEWAY_DELTA_PATH))
		data = delta_after(gateway, target + strlen(COMET_GATEWAY_DELTA_PATH), ops->delta);
	if (data == NULL && open <= SNAPSHOT_CONNECTIONS_MAX)
		data = ops->snapshot(gateway->directory);
	if (data == NULL || open <= SNAPSHOT_CONNECTIONS_MAX ||
		g_bytes_get_size(data) <= DELTA_BYTES_MAX)
		return data;
	g_bytes_unref(data);
	return NULL;
}

/* Builds the packed delta of endpoints or snapshot that a target names. @return NULL if data is
 * missing. */
static GBytes *
build_packed(struct comet_gateway *gateway, const char *target)
{
	const struct comet_directory_ops *ops = gateway->directory->ops;
	GBytes *text = NULL;

	if (g_str_has_prefix(target, COMET_GATEWAY_PACKED_ENDPOINTS_PATH))
		text = delta_after(gateway, target + strlen(COMET_GATEWAY_PACKED_ENDPOINTS_PATH),
			ops->endpoints_delta);
	if (text == NULL)
		text = ops->snapshot(gateway->directory);
	if (text == NULL)
		return NULL;
	GBytes *packed = comet_resync_pack(text);
	g_bytes_unref(text);
	return packed;
}

/* Returns what build_packed() has built for the same target, or builds it. @return NULL if data is
 * missing or the queue is full. */
static GBytes *
packed_for(struct comet_gateway *gateway, const char *target)
{
	size_t unsent = comet_http_server_unsent_bytes(gateway->control);
	GBytes *response = comet_resync_cache_find(gateway->resync_cache, target);

	if (response == NULL)
	{
		response = build_packed(gateway, target);
		if (response == NULL)
			return NULL;
		comet_resync_cache_add(
			gateway->resync_cache, target, response, comet_timers_now_us());
	}
	if (unsent == 0 || unsent + g_bytes_get_size(response) <= QUEUED_BYTES_MAX)
		return response;
	g_bytes_unref(response);
	return NULL;
}

/* Returns the routing document for a peer. @return NULL if it is unknown or the queue is full. */
static GBytes *
document_for(struct comet_gateway *gateway, const char *query)
{
	const struct comet_directory_ops *ops = gateway->directory->ops;
	size_t unsent = comet_http_server_unsent_bytes(gateway->control);
	GBytes *document = ops->documents(gateway->directory, query);

	if (document == NULL || unsent == 0 ||
		unsent + g_bytes_get_size(document) <= QUEUED_BYTES_MAX)
		return document;
	g_bytes_unref(document);
	return NULL;
}

static void
respond_resync(struct comet_http_server_request *request, GBytes *bytes)
{
	gsize length = 0;

	/* An idle connection would count as a transfer. */
	comet_http_server_close_after_response(request);
	if (bytes == NULL)
	{
		comet_http_server_respond(request, 503, NULL, "", 0);
		return;
	}
	const char *data = g_bytes_get_data(bytes, &length);
	comet_http_server_respond(request, 200, "Content-Type: application/json\r\n", data, length);
	g_bytes_unref(bytes);
}

static void
on_control(void *ctx, struct comet_http_server_request *request)
{
	const char *target = request->head->target;

	if (g_str_has_prefix(target, COMET_GATEWAY_DOCUMENT_PATH))
		respond_resync(
			request, document_for(ctx, target + strlen(COMET_GATEWAY_DOCUMENT_PATH)));
	else if (strcmp(target, COMET_GATEWAY_PACKED_PATH) == 0 ||
		 g_str_has_prefix(target, COMET_GATEWAY_PACKED_ENDPOINTS_PATH))
		respond_resync(request, packed_for(ctx, target));
	else if (strcmp(target, COMET_GATEWAY_SNAPSHOT_PATH) == 0 ||
		 g_str_has_prefix(target, COMET_GATEWAY_DELTA_PATH) ||
		 g_str_has_prefix(target, COMET_GATEWAY_ENDPOINTS_PATH))
		respond_resync(request, resync_for(ctx, target));
	else if (strcmp(target, METRICS_PATH) == 0)
		comet_gateway_respond_metrics(ctx, request);
	else
		comet_http_server_respond(request, 404, NULL, "", 0);
}

const struct comet_http_server_events comet_gateway_readiness_events = {
	.request = on_readiness, .gone = on_gone};

const struct comet_http_server_events comet_gateway_control_events = {
	.request = on_control, .gone = on_gone};
