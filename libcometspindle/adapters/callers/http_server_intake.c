/*
 * http_server_intake.c
 * which requests of callers are read while the VM's link is full
 *
 * A connection whose request is not read yet waits paused, in the order of arrival. A new one is
 * closed unread once others have waited for too long: its caller may send any request again.
 */
#include <libcometspindle/adapters/callers/http_server_private.h>

#include <libcometspindle/log.h>
#include <talloc.h>

/* Interval at which waiting connections are reconsidered besides the end of each request. */
#define RECHECK_US 10000

/* Counts the request that is being read, unless its caller is slow. */
static void
count(struct comet_http_connection *connection)
{
	uint64_t received = connection->body->len;
	uint64_t missing = COMET_LINK_UNKNOWN_BODY_BYTES;

	if (connection->got_head)
	{
		uint64_t announced = connection->has_length
					     ? connection->announced_bytes
					     : received + COMET_LINK_UNKNOWN_BODY_BYTES;
		missing = announced - MIN(received, announced);
		received++; /* a complete head is progress */
	}
	comet_receiving_progress(connection->http_server->receiving, &connection->receiving,
		received, missing, comet_timers_now_us());
}

static bool
has_room(struct comet_http_server *http_server)
{
	comet_receiving_check(http_server->receiving, comet_timers_now_us());
	if (http_server->events->update_link != NULL)
		http_server->events->update_link(http_server->ctx);
	return comet_link_share_may_read(
		http_server->link, comet_receiving_counted_bytes(http_server->receiving));
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

static uint64_t
longest_wait_us(struct comet_http_server *http_server)
{
	const struct comet_http_connection *first = g_queue_peek_head(&http_server->waiting);

	return first != NULL ? comet_timers_now_us() - first->waiting_since_us : 0;
}

/* Closes a connection whose request has not been read, which resets it. */
static void
refuse_unread(struct comet_http_connection *connection)
{
	struct comet_http_server *http_server = connection->http_server;

	http_server->counts.refused_unread++;
	comet_log_repeated(COMET_LOG_NOTICE,
		"event=connection_refused reason=link_full waiting=%u longest_ms=%" G_GUINT64_FORMAT
		" receiving=%u counted_bytes=%" G_GUINT64_FORMAT,
		http_server->waiting.length, longest_wait_us(http_server) / 1000,
		comet_receiving_length(http_server->receiving),
		comet_receiving_counted_bytes(http_server->receiving));
	talloc_free(connection);
}

bool
comet_http_intake_may_read(void *ctx)
{
	struct comet_http_connection *connection = ctx;
	struct comet_http_server *http_server = connection->http_server;

	if (!comet_http_memory_may_read(connection))
	{
		comet_socket_pause(connection->socket, true);
		return false;
	}
	if (http_server->link == NULL || connection->state != CONNECTION_READING ||
		connection->admitted || connection->got_byte)
		return true;
	if (connection->waiting_link != NULL)
	{
		comet_socket_pause(connection->socket, true);
		return false;
	}
	if (connection->responded_us == 0 &&
		comet_link_share_refuses(http_server->link, http_server->waiting.length,
			longest_wait_us(http_server)))
	{
		refuse_unread(connection);
		return false;
	}
	g_queue_push_tail(&http_server->waiting, connection);
	connection->waiting_link = g_queue_peek_tail_link(&http_server->waiting);
	http_server->counts.waited += http_server->waiting.length > 1 ? 1 : 0;
	connection->waiting_since_us = comet_timers_now_us();
	comet_socket_pause(connection->socket, true);
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
	comet_receiving_remove(connection->http_server->receiving, &connection->receiving);
	admit_waiting(connection->http_server);
}
