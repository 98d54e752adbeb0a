/*
 * http_server_memory.c
 * the memory that callers occupy: counted while it is used, and given up or refused beyond a bound
 */
#include <libcometspindle/adapters/callers/http_server_private.h>

#include <libcometspindle/log.h>
#include <talloc.h>

/* A body without a length is reserved in steps of this size. */
#define STEP_BYTES (16 * 1024)

/* An idle connection, with its socket, reader and timer. */
#define CONNECTION_BYTES 2048

/* What a request that is being answered needs besides its head and body: its state in the queue,
 * its attempt and the connection to an endpoint. */
#define REQUEST_BYTES 4096

/* A head is kept for further attempts and queued for an endpoint; the request's id is copied for
 * the attempt, and may be as long as the head. */
#define HEAD_COPIES 3

/* Retry-After of a request that finds no room: another VM has room at once, and this one when its
 * endpoints have read the bodies that wait for them. */
#define NO_ROOM_HEADERS "Retry-After: 0.5\r\n"

void
comet_http_memory_recount(struct comet_http_connection *connection)
{
	uint64_t bytes = CONNECTION_BYTES + connection->ahead->len +
			 HEAD_COPIES * comet_http_reader_head_bytes(connection->reader);

	if (connection->http_server->budget == NULL)
		return;
	if (connection->state == CONNECTION_OPEN)
		bytes += REQUEST_BYTES;
	comet_caller_budget_change(
		connection->http_server->budget, connection->occupied_bytes, bytes);
	connection->occupied_bytes = bytes;
}

/* Refuses the requests that have been arriving for the longest time, until there is room.
 * @param body_bytes to reserve for a body; 0: none
 * @return whether there is room */
static bool
make_room(struct comet_http_connection *connection, uint64_t body_bytes)
{
	struct comet_caller_budget *budget = connection->http_server->budget;
	struct comet_http_connection *oldest = NULL;

	for (;;)
	{
		if (body_bytes > 0 ? comet_caller_budget_reserve_body(budget, body_bytes)
				   : !comet_caller_budget_is_exceeded(budget))
			return true;
		oldest = comet_caller_budget_oldest_unfinished(budget);
		if (oldest == NULL || oldest == connection ||
			!comet_caller_budget_is_small(body_bytes))
			return false;
		comet_http_memory_refuse(oldest);
	}
}

/* Reserves room up to this length of the body. */
static void
reserve(struct comet_http_connection *connection, uint64_t body_bytes)
{
	if (connection->http_server->budget == NULL || connection->no_room ||
		body_bytes <= connection->reserved_bytes)
		return;
	if (make_room(connection, body_bytes - connection->reserved_bytes))
		connection->reserved_bytes = body_bytes;
	else
		connection->no_room = true;
}

void
comet_http_memory_begun(struct comet_http_connection *connection)
{
	if (connection->http_server->budget != NULL)
		connection->unfinished_link = comet_caller_budget_add_unfinished(
			connection->http_server->budget, connection);
}

static void
remove_unfinished(struct comet_http_connection *connection)
{
	if (connection->unfinished_link != NULL && connection->http_server->budget != NULL)
		comet_caller_budget_remove_unfinished(
			connection->http_server->budget, connection->unfinished_link);
	connection->unfinished_link = NULL;
}

void
comet_http_memory_parsed(struct comet_http_connection *connection)
{
	comet_http_memory_recount(connection);
	if (connection->complete)
		remove_unfinished(connection);
	if (connection->http_server->budget != NULL && !make_room(connection, 0))
		connection->no_room = true;
}

bool
comet_http_memory_may_read(const struct comet_http_connection *connection)
{
	const struct comet_caller_budget *budget = connection->http_server->budget;

	return budget == NULL || !comet_http_connection_is_held(connection) ||
	       comet_caller_budget_may_read_ahead(budget) ||
	       !comet_socket_has_data(connection->socket);
}

bool
comet_http_memory_close_oldest(struct comet_http_server *http_server)
{
	struct comet_http_connection *oldest =
		http_server->budget != NULL
			? comet_caller_budget_oldest_unfinished(http_server->budget)
			: NULL;

	if (oldest == NULL)
		return false;
	oldest->http_server->counts.closed_unfinished++;
	talloc_free(oldest);
	return true;
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
	remove_unfinished(connection);
	comet_log_repeated(COMET_LOG_NOTICE,
		"event=refused_memory reserved_bytes=%" G_GUINT64_FORMAT
		" occupied_bytes=%" G_GUINT64_FORMAT " body_bytes=%u head_bytes=%zu",
		comet_caller_budget_body_bytes(http_server->budget),
		comet_caller_budget_occupied_bytes(http_server->budget), connection->body->len,
		comet_http_reader_head_bytes(connection->reader));
	comet_http_intake_done(connection);
	connection->keep_alive = false;
	connection->state = CONNECTION_OPEN;
	comet_http_server_respond(&connection->request, 503, NO_ROOM_HEADERS, "", 0);
}

void
comet_http_memory_release(struct comet_http_connection *connection)
{
	struct comet_caller_budget *budget = connection->http_server->budget;

	if (budget != NULL)
		comet_caller_budget_release_body(budget, connection->reserved_bytes);
	connection->reserved_bytes = 0;
	connection->no_room = false;
	remove_unfinished(connection);
	comet_http_reader_release(connection->reader);
	/* An emptied array keeps its allocation, as long as the caller keeps its connection. */
	g_byte_array_free(connection->body, TRUE);
	connection->body = g_byte_array_new();
	comet_http_memory_trim_ahead(connection);
	comet_http_memory_recount(connection);
}

void
comet_http_memory_trim_ahead(struct comet_http_connection *connection)
{
	if (connection->ahead->len > 0)
		return;
	g_byte_array_free(connection->ahead, TRUE);
	connection->ahead = g_byte_array_new();
}

void
comet_http_memory_closed(struct comet_http_connection *connection)
{
	comet_http_memory_release(connection);
	if (connection->http_server->budget != NULL)
		comet_caller_budget_change(
			connection->http_server->budget, connection->occupied_bytes, 0);
	connection->occupied_bytes = 0;
}
