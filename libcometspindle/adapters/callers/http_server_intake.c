/*
 * http_server_intake.c
 * which requests of callers are read while the VM's link is full
 *
 * A connection whose request is not read yet waits paused, in the order of arrival.
 */
#include <libcometspindle/adapters/callers/http_server_private.h>

#include <talloc.h>

/* Interval at which waiting connections are reconsidered besides the end of each request. */
#define RECHECK_US 10000

/* A caller that has sent nothing for this time does not use the link: the others are not kept
 * waiting for it. */
#define STALLED_US 100000

/* Counted for a body that announces no length. */
#define UNKNOWN_BODY_BYTES (16 * 1024)

static void
set_counted(struct comet_http_connection *connection, uint64_t bytes)
{
	connection->http_server->counted_bytes += bytes - connection->counted_bytes;
	connection->counted_bytes = bytes;
}

static void
unlink_receiving(struct comet_http_connection *connection)
{
	if (connection->receiving_link != NULL)
		g_queue_delete_link(
			&connection->http_server->receiving, connection->receiving_link);
	connection->receiving_link = NULL;
	set_counted(connection, 0);
}

/* Counts what is still expected of the request that is being read. */
static void
count(struct comet_http_connection *connection)
{
	struct comet_http_server *http_server = connection->http_server;
	const struct comet_http_head *head = connection->request.head;
	uint64_t received = connection->body->len;
	uint64_t missing = COMET_LINK_HEAD_BYTES;

	if (connection->got_head)
	{
		const char *length = comet_http_head_get(head, "Content-Length");
		uint64_t announced = length != NULL ? g_ascii_strtoull(length, NULL, 10)
						    : received + UNKNOWN_BODY_BYTES;
		missing = announced - MIN(received, announced);
	}
	unlink_receiving(connection);
	connection->data_us = comet_timers_now_us();
	g_queue_push_tail(&http_server->receiving, connection);
	connection->receiving_link = g_queue_peek_tail_link(&http_server->receiving);
	set_counted(connection, comet_link_share_count(http_server->link, received, missing));
}

/* Stops counting callers that have stalled. They are counted again when they send. */
static void
discount_stalled(struct comet_http_server *http_server)
{
	struct comet_http_connection *oldest = NULL;
	uint64_t now_us = comet_timers_now_us();

	while ((oldest = g_queue_peek_head(&http_server->receiving)) != NULL &&
		now_us - oldest->data_us >= STALLED_US)
		unlink_receiving(oldest);
}

static bool
has_room(struct comet_http_server *http_server)
{
	discount_stalled(http_server);
	if (http_server->events->update_link != NULL)
		http_server->events->update_link(http_server->ctx);
	return comet_link_share_may_read(http_server->link, http_server->counted_bytes);
}

static void
unlink_waiting(struct comet_http_connection *connection)
{
	if (connection->waiting_link != NULL)
		g_queue_delete_link(&connection->http_server->waiting, connection->waiting_link);
	connection->waiting_link = NULL;
}

static void
admit_waiting(struct comet_http_server *http_server);

static void
on_recheck(void *ctx)
{
	struct comet_http_server *http_server = ctx;

	http_server->intake_timer = NULL;
	admit_waiting(http_server);
}

/* Reads the requests that have waited for the longest time, as far as there is room. */
static void
admit_waiting(struct comet_http_server *http_server)
{
	struct comet_http_connection *connection = NULL;

	while ((connection = g_queue_peek_head(&http_server->waiting)) != NULL &&
		has_room(http_server))
	{
		unlink_waiting(connection);
		connection->admitted = true;
		count(connection);
		comet_socket_pause(connection->socket, false);
	}
	if (connection != NULL && http_server->intake_timer == NULL)
		http_server->intake_timer = comet_timers_add(
			http_server->timers, http_server, RECHECK_US, on_recheck, http_server);
}

bool
comet_http_intake_may_read(void *ctx)
{
	struct comet_http_connection *connection = ctx;
	struct comet_http_server *http_server = connection->http_server;

	if (http_server->link == NULL || connection->state != CONNECTION_READING ||
		connection->admitted || connection->got_byte)
		return true;
	if (connection->waiting_link != NULL)
		return false;
	g_queue_push_tail(&http_server->waiting, connection);
	connection->waiting_link = g_queue_peek_tail_link(&http_server->waiting);
	http_server->counts.waited += http_server->waiting.length > 1 ? 1 : 0;
	admit_waiting(http_server);
	return connection->admitted;
}

void
comet_http_intake_progress(struct comet_http_connection *connection)
{
	if (connection->http_server->link != NULL)
		count(connection);
}

void
comet_http_intake_done(struct comet_http_connection *connection)
{
	if (connection->http_server->link == NULL)
		return;
	connection->admitted = false;
	unlink_waiting(connection);
	unlink_receiving(connection);
	admit_waiting(connection->http_server);
}

void
comet_http_server_set_link(struct comet_http_server *http_server, struct comet_link_share *link)
{
	http_server->link = link;
}

void
comet_http_server_set_max_connections(
	struct comet_http_server *http_server, uint32_t max_connections)
{
	http_server->max_connections = max_connections;
}
