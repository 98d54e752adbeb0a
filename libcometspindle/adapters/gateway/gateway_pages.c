/*
 * gateway_pages.c
 * what a gateway answers on its readiness and control addresses
 */
#include <libcometspindle/adapters/gateway/gateway_private.h>

#include <string.h>

/* Copies that are handed out at a time: each may be a megabyte over a link of 10 Mbit/s, and
 * another VM can be asked. */
#define COPIES_MAX 3

/* The same for what has changed, if it is no larger than so many bytes: a VM that reads for its
 * zone is asked for it by all VMs there at once. */
#define CHANGES_MAX 256
#define CHANGES_BYTES_MAX (64 * 1024)

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
on_readiness(void *ctx, struct comet_front_request *request)
{
	const char *why = comet_gateway_not_ready(ctx);

	if (why == NULL)
		comet_front_answer(request, 200, NULL, "ready\n", 6);
	else
		comet_front_answer(request, 503, NULL, why, strlen(why));
}

static void
on_gone(void *ctx, struct comet_front_request *request)
{
	(void)ctx;
	(void)request;
}

/* What another VM asks for: what has changed after a position, or a copy of everything. */
static GBytes *
copy_for(struct comet_gateway *gateway, const char *after)
{
	const struct comet_directory_ops *ops = gateway->directory->ops;
	uint32_t open = (uint32_t)comet_front_counts(gateway->control)->connections;
	guint64 position = 0;
	GBytes *copy = NULL;

	if (after != NULL && open <= CHANGES_MAX &&
		g_ascii_string_to_unsigned(after, 10, 1, G_MAXUINT64, &position, NULL))
		copy = ops->changes(gateway->directory, position);
	if (copy == NULL && open <= COPIES_MAX)
		copy = ops->snapshot(gateway->directory);
	if (copy == NULL || open <= COPIES_MAX || g_bytes_get_size(copy) <= CHANGES_BYTES_MAX)
		return copy;
	g_bytes_unref(copy);
	return NULL;
}

static void
answer_copy(struct comet_gateway *gateway, struct comet_front_request *request, const char *after)
{
	GBytes *copy = copy_for(gateway, after);
	gsize length = 0;

	/* A connection kept by one that has its copy would count as a copy for four seconds, in
	 * which others are refused theirs. */
	comet_front_end_connection(request);
	if (copy == NULL)
	{
		comet_front_answer(request, 503, NULL, "", 0);
		return;
	}
	const char *data = g_bytes_get_data(copy, &length);
	comet_front_answer(request, 200, "Content-Type: application/json\r\n", data, length);
	g_bytes_unref(copy);
}

static void
on_control(void *ctx, struct comet_front_request *request)
{
	const char *target = request->head->target;

	if (strcmp(target, COMET_GATEWAY_COPY_PATH) == 0)
		answer_copy(ctx, request, NULL);
	else if (g_str_has_prefix(target, COMET_GATEWAY_CHANGES_PATH))
		answer_copy(ctx, request, target + strlen(COMET_GATEWAY_CHANGES_PATH));
	else if (strcmp(target, METRICS_PATH) == 0)
		comet_gateway_answer_metrics(ctx, request);
	else
		comet_front_answer(request, 404, NULL, "", 0);
}

const struct comet_front_events comet_gateway_readiness_events = {
	.request = on_readiness, .gone = on_gone};

const struct comet_front_events comet_gateway_control_events = {
	.request = on_control, .gone = on_gone};
