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

/* Documents that are queued for other VMs at a time: what a link of 10 Mbit/s carries in a second.
 * Who is refused reads the directory itself. */
#define DOCUMENTS_BYTES_MAX (1250 * 1000)

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

/* How endpoints have changed, or everything has, after a position that is read from text. */
static GBytes *
changes_after(struct comet_gateway *gateway, const char *after,
	GBytes *(*changes)(struct comet_directory *directory, uint64_t after))
{
	guint64 position = 0;

	if (!g_ascii_string_to_unsigned(after, 10, 1, G_MAXUINT64, &position, NULL))
		return NULL;
	return changes(gateway->directory, position);
}

/* What another VM asks for: what has changed after a position, or a copy of everything. */
static GBytes *
copy_for(struct comet_gateway *gateway, const char *target)
{
	const struct comet_directory_ops *ops = gateway->directory->ops;
	uint32_t open = (uint32_t)comet_front_counts(gateway->control)->connections;
	GBytes *copy = NULL;

	if (open <= CHANGES_MAX && g_str_has_prefix(target, COMET_GATEWAY_ENTRIES_PATH))
		copy = changes_after(
			gateway, target + strlen(COMET_GATEWAY_ENTRIES_PATH), ops->entries);
	else if (open <= CHANGES_MAX && g_str_has_prefix(target, COMET_GATEWAY_CHANGES_PATH))
		copy = changes_after(
			gateway, target + strlen(COMET_GATEWAY_CHANGES_PATH), ops->changes);
	if (copy == NULL && open <= COPIES_MAX)
		copy = ops->snapshot(gateway->directory);
	if (copy == NULL || open <= COPIES_MAX || g_bytes_get_size(copy) <= CHANGES_BYTES_MAX)
		return copy;
	g_bytes_unref(copy);
	return NULL;
}

/* The routing document for another VM; NULL: it is not known, or others are still being given it.
 */
static GBytes *
document_for(struct comet_gateway *gateway, const char *query)
{
	const struct comet_directory_ops *ops = gateway->directory->ops;
	size_t unsent = comet_front_unsent(gateway->control);
	GBytes *document = ops->documents(gateway->directory, query);

	if (document == NULL || unsent == 0 ||
		unsent + g_bytes_get_size(document) <= DOCUMENTS_BYTES_MAX)
		return document;
	g_bytes_unref(document);
	return NULL;
}

static void
answer_copy(struct comet_front_request *request, GBytes *copy)
{
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

	if (g_str_has_prefix(target, COMET_GATEWAY_DOCUMENT_PATH))
		answer_copy(
			request, document_for(ctx, target + strlen(COMET_GATEWAY_DOCUMENT_PATH)));
	else if (strcmp(target, COMET_GATEWAY_COPY_PATH) == 0 ||
		 g_str_has_prefix(target, COMET_GATEWAY_CHANGES_PATH) ||
		 g_str_has_prefix(target, COMET_GATEWAY_ENTRIES_PATH))
		answer_copy(request, copy_for(ctx, target));
	else if (strcmp(target, METRICS_PATH) == 0)
		comet_gateway_answer_metrics(ctx, request);
	else
		comet_front_answer(request, 404, NULL, "", 0);
}

const struct comet_front_events comet_gateway_readiness_events = {
	.request = on_readiness, .gone = on_gone};

const struct comet_front_events comet_gateway_control_events = {
	.request = on_control, .gone = on_gone};
