/*
 * http_server.c
 * the caller side: an HTTP/1.1 server that hands over whole requests
 */
#include <libcometspindle/adapters/callers/http_server_private.h>

#include <errno.h>
#include <libcometspindle/adapters/socket.h>
#include <libcometspindle/error.h>
#include <libcometspindle/log.h>
#include <netinet/in.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <talloc.h>
#include <unistd.h>

/* Bytes of the next request that are read while one is open: a usual head and body. */
#define READ_AHEAD_BYTES (64 * 1024)

/* While this many bytes of responses are unsent, the next request of the caller is not parsed. A
 * caller that requested metrics and read nothing made the VM buffer 100 MB per second. */
#define ANSWERS_WAITING_BYTES (64 * 1024)

/* Time for which the rest of a request is read and discarded after an early response, so that a
 * reset does not destroy the response. It covers any round trip between caller and VM. */
#define LINGER_US 1000000

/* A caller that reads nothing of its last response for this time is considered gone. */
#define STALLED_US 5000000

/* Connections accepted in one iteration of the event loop. */
#define ACCEPTS_PER_TURN 32

/* Time after a lack of descriptors for which fewer connections are kept: as long as callers may
 * open them in a burst. */
#define SHORTAGE_US 10000000

/* Delay before accepting again after the descriptors ran out. */
#define ACCEPT_RETRY_US 50000

static void
drop(struct comet_http_connection *connection)
{
	talloc_free(connection);
}

void
comet_http_connection_set_idle(struct comet_http_connection *connection)
{
	g_queue_push_tail(&connection->http_server->idle, connection);
	connection->idle_link = g_queue_peek_tail_link(&connection->http_server->idle);
}

static void
unset_idle(struct comet_http_connection *connection)
{
	if (connection->idle_link != NULL)
		g_queue_delete_link(&connection->http_server->idle, connection->idle_link);
	connection->idle_link = NULL;
}

static int
connection_destroy(struct comet_http_connection *connection)
{
	unset_idle(connection);
	comet_http_intake_done(connection);
	g_hash_table_remove(connection->http_server->connections, connection);
	connection->http_server->counts.connections--;
	comet_http_memory_closed(connection);
	g_byte_array_free(connection->ahead, TRUE);
	g_byte_array_free(connection->body, TRUE);
	return 0;
}

static void
on_linger_over(void *ctx)
{
	struct comet_http_connection *connection = ctx;

	connection->timer = NULL;
	drop(connection);
}

/* Handles the end of the last response of a connection. */
static void
linger(struct comet_http_connection *connection)
{
	connection->state = CONNECTION_LINGERING;
	comet_timer_cancel(&connection->timer);
	connection->timer = comet_timers_add(
		connection->http_server->timers, connection, LINGER_US, on_linger_over, connection);
}

static void
watch_progress(struct comet_http_connection *connection);

static void
on_progress_due(void *ctx)
{
	struct comet_http_connection *connection = ctx;
	size_t unsent_bytes = comet_socket_queued(connection->socket);

	connection->timer = NULL;
	if (unsent_bytes < connection->unsent_bytes)
	{
		watch_progress(connection);
		return;
	}
	comet_log(COMET_LOG_NOTICE, "event=answer_cut_off unsent_bytes=%zu", unsent_bytes);
	drop(connection);
}

/* A slow caller receives its complete last response, however long that takes. */
static void
watch_progress(struct comet_http_connection *connection)
{
	connection->unsent_bytes = comet_socket_queued(connection->socket);
	comet_timer_cancel(&connection->timer);
	connection->timer = comet_timers_add(connection->http_server->timers, connection,
		STALLED_US, on_progress_due, connection);
}

/* @return whether the rest of a request is still due, whose response was early. */
static bool
is_within_request(const struct comet_http_connection *connection)
{
	return connection->got_byte && !connection->complete;
}

/* Accepts no further request on this connection. A request that arrives now is left unread, so that
 * its caller learns by a reset that it may send it again. */
void
comet_http_connection_end(struct comet_http_connection *connection)
{
	unset_idle(connection);
	comet_http_intake_done(connection);
	connection->state = CONNECTION_ENDING;       /* no longer counted as an open request */
	g_byte_array_set_size(connection->ahead, 0); /* it is not parsed any more */
	comet_http_memory_release(connection);
	connection->ended_us = comet_timers_now_us();
	if (!is_within_request(connection))
		comet_socket_stop_reading(connection->socket);
	comet_socket_shutdown(connection->socket);
	if (comet_socket_queued(connection->socket) == 0)
	{
		linger(connection);
		return;
	}
	watch_progress(connection);
}

/* @return whether the caller reads its responses. */
static bool
is_read(const struct comet_http_connection *connection)
{
	return comet_socket_queued(connection->socket) < ANSWERS_WAITING_BYTES;
}

bool
comet_http_connection_is_held(const struct comet_http_connection *connection)
{
	return connection->state == CONNECTION_OPEN ||
	       (connection->state == CONNECTION_READING && !is_read(connection));
}

/* @return whether a request has arrived that is not parsed yet. After a pause of this process,
 * timers and signals are handled before requests that have arrived are read. */
bool
comet_http_connection_has_waiting_request(const struct comet_http_connection *connection)
{
	return connection->ahead->len > 0 || comet_socket_has_pending_events(connection->socket);
}

static void
on_timeout(void *ctx)
{
	struct comet_http_connection *connection = ctx;

	connection->timer = NULL;
	if (is_read(connection) && comet_http_connection_has_waiting_request(connection))
	{
		comet_http_connection_set_timer(
			connection, connection->http_server->limits.header_timeout_ms);
		return;
	}
	if (connection->got_byte && !connection->complete)
	{
		connection->keep_alive = false;
		comet_http_server_respond(&connection->request, 408, NULL, "", 0);
		return;
	}
	comet_http_connection_end(connection);
}

void
comet_http_connection_set_timer(struct comet_http_connection *connection, uint64_t delay_ms)
{
	comet_timer_cancel(&connection->timer);
	if (delay_ms > 0)
		connection->timer = comet_timers_add(connection->http_server->timers, connection,
			delay_ms * 1000, on_timeout, connection);
}

static bool
on_head(void *ctx, struct comet_http_head *head)
{
	struct comet_http_connection *connection = ctx;

	connection->got_head = true;
	connection->request.head = head;
	comet_http_memory_announced(connection, head);
	const char *expect = comet_http_head_get(head, "Expect");
	if (!connection->no_room && expect != NULL && strcasecmp(expect, "100-continue") == 0)
		comet_socket_write(connection->socket, "HTTP/1.1 100 Continue\r\n\r\n", 25);
	return false;
}

static void
on_body(void *ctx, const char *data, size_t length)
{
	struct comet_http_connection *connection = ctx;

	connection->too_large =
		connection->too_large ||
		connection->body->len + length > connection->http_server->limits.body_bytes;
	if (!connection->too_large)
		comet_http_memory_growing(connection, connection->body->len + length);
	if (!connection->too_large && !connection->no_room)
		g_byte_array_append(connection->body, (const guint8 *)data, (guint)length);
}

static void
on_end(void *ctx, bool keep_alive)
{
	struct comet_http_connection *connection = ctx;

	connection->complete = true;
	connection->keep_alive = keep_alive;
}

static const struct comet_http_reader_events reader_events = {
	.head = on_head, .body = on_body, .end = on_end};

/* Refuses a malformed request; the connection is closed after that. */
static void
refuse_malformed(struct comet_http_connection *connection, unsigned int status)
{
	connection->http_server->counts.malformed++;
	comet_http_intake_done(connection);
	connection->keep_alive = false;
	connection->state = CONNECTION_OPEN;
	comet_http_server_respond(&connection->request, status, NULL, "", 0);
}

static void
hand_over(struct comet_http_connection *connection)
{
	struct comet_http_server *http_server = connection->http_server;

	comet_timer_cancel(&connection->timer);
	comet_http_intake_done(connection);
	connection->state = CONNECTION_OPEN;
	connection->request.body = connection->body;
	connection->request.user = NULL;
	http_server->counts.requests++;
	http_server->events->request(http_server->ctx, &connection->request);
}

/* Waits for the rest of an incomplete request. */
static void
expect_more(struct comet_http_connection *connection)
{
	comet_http_intake_progress(connection);
	if (connection->got_head)
		comet_http_connection_set_timer(
			connection, connection->http_server->limits.idle_timeout_ms);
}

/* Parses buffered bytes. @return false if nothing more can be done now. */
static bool
parse_some(struct comet_http_connection *connection)
{
	size_t taken = 0;
	enum comet_http_reader_result result = COMET_HTTP_READER_MORE;

	if (connection->state != CONNECTION_READING || connection->ahead->len == 0 ||
		!is_read(connection))
		return false;
	if (!connection->got_byte)
	{
		unset_idle(connection);
		connection->got_byte = true;
		comet_http_memory_begun(connection);
		connection->request.received_us = comet_timers_now_us();
		comet_http_connection_set_timer(
			connection, connection->http_server->limits.header_timeout_ms);
	}
	result = comet_http_reader_feed(connection->reader, (const char *)connection->ahead->data,
		connection->ahead->len, &taken);
	if (result == COMET_HTTP_READER_MORE || result == COMET_HTTP_READER_END)
		g_byte_array_remove_range(connection->ahead, 0, (guint)taken);
	comet_http_memory_parsed(connection);
	if (result == COMET_HTTP_READER_BAD)
		refuse_malformed(connection, 400);
	else if (result == COMET_HTTP_READER_TOO_BIG)
		refuse_malformed(connection, 431);
	else if (connection->too_large)
		refuse_malformed(connection, 413);
	else if (connection->no_room)
		comet_http_memory_refuse(connection);
	else if (connection->complete)
		hand_over(connection);
	else
		expect_more(connection);
	return true;
}

/* Parses until a request is open or all bytes are consumed. */
void
comet_http_connection_read_on(struct comet_http_connection *connection)
{
	if (connection->parsing)
		return; /* a handler responded during the call: the loop below continues */
	connection->parsing = true;
	while (parse_some(connection))
		;
	connection->parsing = false;
	comet_http_memory_trim_ahead(connection);
	comet_http_memory_recount(connection);
	comet_socket_pause(connection->socket, comet_http_connection_is_held(connection) &&
						       connection->ahead->len >= READ_AHEAD_BYTES);
}

static void
on_data(void *ctx, const char *data, size_t length)
{
	struct comet_http_connection *connection = ctx;

	if (connection->state == CONNECTION_ENDING || connection->state == CONNECTION_LINGERING)
		return;
	g_byte_array_append(connection->ahead, (const guint8 *)data, (guint)length);
	comet_http_connection_read_on(connection);
}

/* Handles a request that arrives on a connection that has been closed. The reset must not overtake
 * the last response. */
static void
on_unread(void *ctx)
{
	struct comet_http_connection *connection = ctx;

	connection->http_server->counts.late++;
	comet_log(COMET_LOG_NOTICE,
		"event=data_after_close idle=%d closed_ms_ago=%" G_GUINT64_FORMAT,
		!connection->got_byte, (comet_timers_now_us() - connection->ended_us) / 1000);
	if (connection->state == CONNECTION_LINGERING &&
		comet_timers_now_us() - connection->responded_us >= LINGER_US)
		drop(connection);
}

static void
on_closed(void *ctx, bool orderly)
{
	struct comet_http_connection *connection = ctx;
	struct comet_http_server *http_server = connection->http_server;

	(void)orderly;
	if (connection->state == CONNECTION_OPEN)
	{
		http_server->counts.left++;
		http_server->events->gone(http_server->ctx, &connection->request);
	}
	drop(connection);
}

static void
on_drained(void *ctx)
{
	struct comet_http_connection *connection = ctx;
	struct comet_http_server *http_server = connection->http_server;

	if (connection->state == CONNECTION_OPEN && http_server->events->drained != NULL)
		http_server->events->drained(http_server->ctx, &connection->request);
	else if (connection->state == CONNECTION_READING)
		comet_http_connection_read_on(connection);
	else if (connection->state == CONNECTION_ENDING)
		linger(connection);
}

static const struct comet_socket_events socket_events = {.may_read = comet_http_intake_may_read,
	.data = on_data,
	.closed = on_closed,
	.drained = on_drained,
	.unread = on_unread};

static struct comet_http_connection *
take_connection(struct comet_http_server *http_server, int fd)
{
	struct comet_http_connection *connection =
		talloc_zero(http_server, struct comet_http_connection);

	connection->http_server = http_server;
	connection->ahead = g_byte_array_new();
	connection->body = g_byte_array_new();
	connection->reader = comet_http_reader_create(
		connection, true, http_server->limits.header_bytes, &reader_events, connection);
	connection->socket =
		comet_socket_accepted(connection, http_server->ev, fd, &socket_events, connection);
	comet_socket_count(connection->socket, http_server->bytes);
	http_server->counts.accepted++;
	http_server->counts.connections++;
	g_hash_table_add(http_server->connections, connection);
	talloc_set_destructor(connection, connection_destroy);
	comet_http_connection_set_idle(connection);
	comet_http_connection_set_timer(connection, http_server->limits.idle_timeout_ms);
	comet_http_memory_recount(connection);
	return connection;
}

static void
on_accept_again(void *ctx)
{
	struct comet_http_server *http_server = ctx;

	http_server->accept_again = NULL;
	if (http_server->listener != NULL)
		tevent_fd_set_flags(http_server->listener, TEVENT_FD_READ);
}

/* Closes the connection that has been idle for the longest time, so that another caller can be
 * served. A response that has just been sent is not followed by a reset.
 * @param except a connection that has just been accepted, or NULL
 * @return false if there is none */
static bool
close_longest_idle(
	struct comet_http_server *http_server, const struct comet_http_connection *except)
{
	for (GList *link = http_server->idle.head; link != NULL; link = link->next)
	{
		struct comet_http_connection *connection = link->data;
		if (connection == except || comet_http_connection_has_waiting_request(connection) ||
			comet_socket_queued(connection->socket) > 0)
			continue;
		http_server->counts.displaced++;
		if (comet_timers_now_us() - connection->responded_us >= LINGER_US)
			drop(connection);
		else
			comet_http_connection_end(connection);
		return true;
	}
	return false;
}

/* Handles a lack of descriptors: leaves a quarter of those that connections take now for
 * connections to endpoints and other VMs. If no connection is idle, those whose requests have been
 * arriving for the longest time are closed: a caller that pauses inside a request keeps its
 * connection as long as it likes. @return whether any has become free */
static bool
free_descriptors(struct comet_http_server *http_server)
{
	uint32_t open = http_server->counts.connections;
	uint32_t closed = 0;
	bool freed = false;

	http_server->short_us = comet_timers_now_us();
	http_server->max_while_short = MAX(open / 4 * 3, 1);
	/* Connections of another server may have taken them: at least one is closed. */
	while (closed == 0 || open > http_server->max_while_short + closed)
	{
		if (!close_longest_idle(http_server, NULL))
		{
			if (!comet_http_memory_close_oldest(http_server))
				break;
			freed = true;
		}
		closed++;
	}
	comet_log(COMET_LOG_WARNING, "event=descriptors_short open=%u closed=%u", open, closed);
	return freed || http_server->counts.connections < open;
}

static bool
is_short(const struct comet_http_server *http_server)
{
	return http_server->short_us != 0 &&
	       comet_timers_now_us() - http_server->short_us < SHORTAGE_US;
}

/* Closes a connection for one that has been accepted, if there are too many. */
static void
displace(struct comet_http_server *http_server, const struct comet_http_connection *accepted)
{
	bool shortage = is_short(http_server);
	uint32_t max = shortage ? http_server->max_while_short : http_server->max_connections;

	if (max == 0 || http_server->counts.connections <= max)
		return;
	if (!close_longest_idle(http_server, accepted) && shortage)
		comet_http_memory_close_oldest(http_server);
}

static void
on_acceptable(struct tevent_context *ev, struct tevent_fd *event, uint16_t flags, void *data)
{
	struct comet_http_server *http_server = data;

	(void)ev;
	(void)flags;
	for (int i = 0; i < ACCEPTS_PER_TURN; i++)
	{
		int fd = accept4(http_server->fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
		if (fd >= 0)
		{
			displace(http_server, take_connection(http_server, fd));
			continue;
		}
		if (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR ||
			errno == ECONNABORTED)
			return;
		if ((errno == EMFILE || errno == ENFILE) && free_descriptors(http_server))
			continue;
		comet_log(COMET_LOG_WARNING, "event=accept_failed error=\"%s\" open=%u",
			g_strerror(errno), http_server->counts.connections);
		tevent_fd_set_flags(event, 0);
		http_server->accept_again = comet_timers_add(http_server->timers, http_server,
			ACCEPT_RETRY_US, on_accept_again, http_server);
		return;
	}
}

static int
http_server_destroy(struct comet_http_server *http_server)
{
	GList *all = g_hash_table_get_keys(http_server->connections);

	comet_http_server_set_link(http_server, NULL); /* its owner may have freed them */
	comet_http_server_set_budget(http_server, NULL);
	for (GList *at = all; at != NULL; at = at->next)
		talloc_free(at->data); /* it removes itself from the table */
	g_list_free(all);
	g_hash_table_destroy(http_server->connections);
	comet_http_server_stop_listening(http_server);
	return 0;
}

struct comet_http_server *
comet_http_server_create(void *parent, struct tevent_context *ev, struct comet_timers *timers,
	const char *address, const struct comet_http_server_events *events, void *ctx,
	GError **error)
{
	struct sockaddr_in at;

	if (!comet_socket_parse_address(address, &at))
	{
		g_set_error(error, COMET_ERROR, COMET_ERROR_INVALID,
			"%s: not an address of the form IP:PORT", address);
		return NULL;
	}
	int fd = comet_socket_listen(&at);
	if (fd < 0)
	{
		g_set_error(error, COMET_ERROR, COMET_ERROR_IO, "cannot listen on %s: %s", address,
			g_strerror(errno));
		return NULL;
	}
	struct comet_http_server *http_server = talloc_zero(parent, struct comet_http_server);
	http_server->ev = ev;
	http_server->timers = timers;
	http_server->events = events;
	http_server->ctx = ctx;
	http_server->fd = fd;
	http_server->connections = g_hash_table_new(NULL, NULL);
	http_server->listener =
		tevent_add_fd(ev, http_server, fd, TEVENT_FD_READ, on_acceptable, http_server);
	talloc_set_destructor(http_server, http_server_destroy);
	return http_server;
}

void
comet_http_server_stop_listening(struct comet_http_server *http_server)
{
	if (http_server->listener == NULL)
		return;
	comet_timer_cancel(&http_server->accept_again);
	TALLOC_FREE(http_server->listener);
	close(http_server->fd);
}

void
comet_http_server_close_idle(struct comet_http_server *http_server)
{
	GList *all = g_hash_table_get_keys(http_server->connections);

	for (GList *at = all; at != NULL; at = at->next)
	{
		struct comet_http_connection *connection = at->data;
		if (connection->state == CONNECTION_READING && !connection->got_byte &&
			!comet_http_connection_has_waiting_request(connection))
			comet_http_connection_end(connection);
	}
	g_list_free(all);
}
