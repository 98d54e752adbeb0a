/*
 * http_server_settings.c
 * settings and counts of the HTTP server
 */
#include <libcometspindle/adapters/callers/http_server_private.h>

#include <talloc.h>

void
comet_http_server_set_byte_counters(
	struct comet_http_server *http_server, struct comet_byte_counters *bytes)
{
	http_server->bytes = bytes;
}

void
comet_http_server_set_limits(
	struct comet_http_server *http_server, const struct comet_http_limits *limits)
{
	GHashTableIter at;
	gpointer connection = NULL;

	http_server->limits = *limits;
	g_hash_table_iter_init(&at, http_server->connections);
	while (g_hash_table_iter_next(&at, &connection, NULL))
		comet_http_reader_set_max_head(
			((struct comet_http_connection *)connection)->reader, limits->header_bytes);
}

void
comet_http_server_set_draining(struct comet_http_server *http_server)
{
	http_server->closing = true;
}

const struct comet_http_server_counts *
comet_http_server_counts(const struct comet_http_server *http_server)
{
	return &http_server->counts;
}

void
comet_http_server_set_max_connections(
	struct comet_http_server *http_server, uint32_t max_connections)
{
	http_server->max_connections = max_connections;
}

void
comet_http_server_set_link(struct comet_http_server *http_server, struct comet_link_share *link)
{
	if (link == NULL)
		g_queue_clear(&http_server->waiting);
	TALLOC_FREE(http_server->receiving);
	if (link != NULL)
		http_server->receiving = comet_receiving_create(http_server, link);
	http_server->link = link;
}

void
comet_http_server_set_budget(
	struct comet_http_server *http_server, struct comet_caller_budget *budget)
{
	http_server->budget = budget;
}
