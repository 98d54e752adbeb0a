/*
 * http_server_memory.c
 * the memory of request bodies: reserved when they are announced, freed with their response
 */
#include <libcometspindle/adapters/callers/http_server_private.h>

#include <libcometspindle/log.h>

/* A body without a length is reserved in steps of this size. */
#define STEP_BYTES (16 * 1024)

/* Retry-After of a request whose body finds no room: another VM has room at once, and this one when
 * its endpoints have read the bodies that wait for them. */
#define NO_ROOM_HEADERS "Retry-After: 0.5\r\n"

/* Reserves room up to this length of the body. */
static void
reserve(struct comet_http_connection *connection, uint64_t body_bytes)
{
	struct comet_body_budget *bodies = connection->http_server->bodies;

	if (bodies == NULL || connection->no_room || body_bytes <= connection->reserved_bytes)
		return;
	if (comet_body_budget_reserve(bodies, body_bytes - connection->reserved_bytes))
		connection->reserved_bytes = body_bytes;
	else
		connection->no_room = true;
}

void
comet_http_memory_announced(
	struct comet_http_connection *connection, const struct comet_http_head *head)
{
	const char *length = comet_http_head_get(head, "Content-Length");

	connection->has_length = length != NULL;
	connection->announced_bytes = length != NULL ? g_ascii_strtoull(length, NULL, 10) : 0;
	/* A larger one is refused for its size. */
	if (connection->announced_bytes <= connection->http_server->limits.body_bytes)
		reserve(connection, connection->announced_bytes);
}

void
comet_http_memory_growing(struct comet_http_connection *connection, uint64_t body_bytes)
{
	if (body_bytes > connection->reserved_bytes)
		reserve(connection, body_bytes + STEP_BYTES);
}

void
comet_http_memory_refuse(struct comet_http_connection *connection)
{
	struct comet_http_server *http_server = connection->http_server;

	http_server->counts.refused_memory++;
	comet_log_repeated(COMET_LOG_NOTICE,
		"event=refused_memory reserved_bytes=%" G_GUINT64_FORMAT " body_bytes=%u",
		comet_body_budget_reserved(http_server->bodies), connection->body->len);
	comet_http_intake_done(connection);
	connection->keep_alive = false;
	connection->state = CONNECTION_OPEN;
	comet_http_server_respond(&connection->request, 503, NO_ROOM_HEADERS, "", 0);
}

void
comet_http_memory_release(struct comet_http_connection *connection)
{
	if (connection->http_server->bodies != NULL)
		comet_body_budget_release(
			connection->http_server->bodies, connection->reserved_bytes);
	connection->reserved_bytes = 0;
	connection->no_room = false;
	/* An emptied array keeps its allocation, as long as the caller keeps its connection. */
	g_byte_array_free(connection->body, TRUE);
	connection->body = g_byte_array_new();
	if (connection->ahead->len > 0)
		return;
	g_byte_array_free(connection->ahead, TRUE);
	connection->ahead = g_byte_array_new();
}
