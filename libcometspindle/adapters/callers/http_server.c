/*
 * http_server.c
 * the caller side: an HTTP/1.1 server that hands over whole requests
 */
#include <libcometspindle/adapters/callers/http_server.h>

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

enum connection_state
{
	CONNECTION_READING,   /* reading a request, or idle */
	CONNECTION_OPEN,      /* a request is open: its response is not complete */
	CONNECTION_ENDING,    /* the last response is being written */
	CONNECTION_LINGERING, /* the last response is written: waiting until the caller closes */
};

struct comet_http_server
{
	struct tevent_context *ev;
	struct comet_timers *timers;
	struct tevent_fd *listener;
	struct comet_timer *accept_again;
	const struct comet_http_server_events *events;
	void *ctx;
	struct comet_http_limits limits;
	struct comet_http_server_counts counts;
	struct comet_byte_counters *bytes; /* counters for connections; NULL: none */
	GHashTable *connections;
	GQueue idle; /* of struct connection without a request, the longest idle one first */
	uint32_t max_connections; /* 0: no limit */
	uint32_t max_while_short; /* the limit after descriptors ran out */
	uint64_t short_us;        /* when they last ran out; 0: never */
	int fd;
	bool closing;
};

struct connection
{
	struct comet_http_server_request request; /* first member: a request is its connection */
	struct comet_http_server *http_server;
	struct comet_socket *socket;
	struct comet_http_reader *reader;
	struct comet_timer *timer;
	GList *idle_link;  /* link in http_server->idle, or NULL */
	GByteArray *ahead; /* read and not yet parsed */
	GByteArray *body;
	size_t unsent_bytes;   /* unsent bytes of the last response at the last check */
	uint64_t responded_us; /* when its last response was completed; 0: never */
	uint64_t ended_us;     /* when it stopped accepting requests; 0: it accepts them */
	enum connection_state state;
	bool got_byte;   /* a request has begun to arrive */
	bool got_head;   /* its head is complete */
	bool complete;   /* it is complete */
	bool keep_alive; /* the caller allows another request */
	bool too_large;  /* its body is over the limit */
	bool chunked;    /* the response is chunked */
	bool no_body;    /* the response has no body: HEAD, 204, 304 */
	bool started;    /* the head of the response is sent */
	bool parsing;    /* inside read_on() */
};

static void
read_on(struct connection *connection);

static struct connection *
connection_of(const struct comet_http_server_request *request)
{
	return (struct connection *)request;
}

static void
drop(struct connection *connection)
{
	talloc_free(connection);
}

static void
set_idle(struct connection *connection)
{
	g_queue_push_tail(&connection->http_server->idle, connection);
	connection->idle_link = g_queue_peek_tail_link(&connection->http_server->idle);
}

static void
unset_idle(struct connection *connection)
{
	if (connection->idle_link != NULL)
		g_queue_delete_link(&connection->http_server->idle, connection->idle_link);
	connection->idle_link = NULL;
}

static int
connection_destroy(struct connection *connection)
{
	unset_idle(connection);
	g_hash_table_remove(connection->http_server->connections, connection);
	connection->http_server->counts.connections--;
	g_byte_array_free(connection->ahead, TRUE);
	g_byte_array_free(connection->body, TRUE);
	return 0;
}

static void
on_linger_over(void *ctx)
{
	struct connection *connection = ctx;

	connection->timer = NULL;
	drop(connection);
}

/* Handles the end of the last response of a connection. */
static void
linger(struct connection *connection)
{
	connection->state = CONNECTION_LINGERING;
	comet_timer_cancel(&connection->timer);
	connection->timer = comet_timers_add(
		connection->http_server->timers, connection, LINGER_US, on_linger_over, connection);
}

static void
watch_progress(struct connection *connection);

static void
on_progress_due(void *ctx)
{
	struct connection *connection = ctx;
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
watch_progress(struct connection *connection)
{
	connection->unsent_bytes = comet_socket_queued(connection->socket);
	comet_timer_cancel(&connection->timer);
	connection->timer = comet_timers_add(connection->http_server->timers, connection,
		STALLED_US, on_progress_due, connection);
}

/* @return whether the rest of a request is still due, whose response was early. */
static bool
is_within_request(const struct connection *connection)
{
	return connection->got_byte && !connection->complete;
}

/* Accepts no further request on this connection. A request that arrives now is left unread, so that
 * its caller learns by a reset that it may send it again. */
static void
end_connection(struct connection *connection)
{
	unset_idle(connection);
	connection->ended_us = comet_timers_now_us();
	if (!is_within_request(connection))
		comet_socket_stop_reading(connection->socket);
	comet_socket_shutdown(connection->socket);
	if (comet_socket_queued(connection->socket) == 0)
	{
		linger(connection);
		return;
	}
	connection->state = CONNECTION_ENDING;
	watch_progress(connection);
}

/* @return whether the caller reads its responses. */
static bool
is_read(const struct connection *connection)
{
	return comet_socket_queued(connection->socket) < ANSWERS_WAITING_BYTES;
}

/* @return whether a request has arrived that is not parsed yet. After a pause of this process,
 * timers and signals are handled before requests that have arrived are read. */
static bool
has_waiting_request(const struct connection *connection)
{
	return connection->ahead->len > 0 || comet_socket_has_pending_events(connection->socket);
}

static void
set_timer(struct connection *connection, uint64_t delay_ms);

static void
on_timeout(void *ctx)
{
	struct connection *connection = ctx;

	connection->timer = NULL;
	if (is_read(connection) && has_waiting_request(connection))
	{
		set_timer(connection, connection->http_server->limits.header_timeout_ms);
		return;
	}
	if (connection->got_byte && !connection->complete)
	{
		connection->keep_alive = false;
		comet_http_server_respond(&connection->request, 408, NULL, "", 0);
		return;
	}
	end_connection(connection);
}

static void
set_timer(struct connection *connection, uint64_t delay_ms)
{
	comet_timer_cancel(&connection->timer);
	if (delay_ms > 0)
		connection->timer = comet_timers_add(connection->http_server->timers, connection,
			delay_ms * 1000, on_timeout, connection);
}

static bool
on_head(void *ctx, struct comet_http_head *head)
{
	struct connection *connection = ctx;

	connection->got_head = true;
	connection->request.head = head;
	const char *expect = comet_http_head_get(head, "Expect");
	if (expect != NULL && strcasecmp(expect, "100-continue") == 0)
		comet_socket_write(connection->socket, "HTTP/1.1 100 Continue\r\n\r\n", 25);
	return false;
}

static void
on_body(void *ctx, const char *data, size_t length)
{
	struct connection *connection = ctx;

	connection->too_large =
		connection->too_large ||
		connection->body->len + length > connection->http_server->limits.body_bytes;
	if (!connection->too_large)
		g_byte_array_append(connection->body, (const guint8 *)data, (guint)length);
}

static void
on_end(void *ctx, bool keep_alive)
{
	struct connection *connection = ctx;

	connection->complete = true;
	connection->keep_alive = keep_alive;
}

static const struct comet_http_reader_events reader_events = {
	.head = on_head, .body = on_body, .end = on_end};

/* Refuses a malformed request; the connection is closed after that. */
static void
refuse_malformed(struct connection *connection, unsigned int status)
{
	connection->http_server->counts.malformed++;
	connection->keep_alive = false;
	connection->state = CONNECTION_OPEN;
	comet_http_server_respond(&connection->request, status, NULL, "", 0);
}

static void
hand_over(struct connection *connection)
{
	struct comet_http_server *http_server = connection->http_server;

	comet_timer_cancel(&connection->timer);
	connection->state = CONNECTION_OPEN;
	connection->request.body = connection->body;
	connection->request.user = NULL;
	http_server->counts.requests++;
	http_server->events->request(http_server->ctx, &connection->request);
}

/* Parses buffered bytes. @return false if nothing more can be done now. */
static bool
parse_some(struct connection *connection)
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
		connection->request.received_us = comet_timers_now_us();
		set_timer(connection, connection->http_server->limits.header_timeout_ms);
	}
	result = comet_http_reader_feed(connection->reader, (const char *)connection->ahead->data,
		connection->ahead->len, &taken);
	if (result == COMET_HTTP_READER_BAD)
		refuse_malformed(connection, 400);
	else if (result == COMET_HTTP_READER_TOO_BIG)
		refuse_malformed(connection, 431);
	else if (connection->too_large)
		refuse_malformed(connection, 413);
	else
	{
		g_byte_array_remove_range(connection->ahead, 0, (guint)taken);
		if (connection->complete)
			hand_over(connection);
		else if (connection->got_head)
			set_timer(connection, connection->http_server->limits.idle_timeout_ms);
	}
	return true;
}

/* Parses until a request is open or all bytes are consumed. */
static void
read_on(struct connection *connection)
{
	if (connection->parsing)
		return; /* a handler responded during the call: the loop below continues */
	connection->parsing = true;
	while (parse_some(connection))
		;
	connection->parsing = false;
	bool held = connection->state == CONNECTION_OPEN || !is_read(connection);
	comet_socket_pause(connection->socket, held && connection->ahead->len >= READ_AHEAD_BYTES);
}

static void
on_data(void *ctx, const char *data, size_t length)
{
	struct connection *connection = ctx;

	if (connection->state == CONNECTION_ENDING || connection->state == CONNECTION_LINGERING)
		return;
	g_byte_array_append(connection->ahead, (const guint8 *)data, (guint)length);
	read_on(connection);
}

/* Handles a request that arrives on a connection that has been closed. The reset must not overtake
 * the last response. */
static void
on_unread(void *ctx)
{
	struct connection *connection = ctx;

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
	struct connection *connection = ctx;
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
	struct connection *connection = ctx;
	struct comet_http_server *http_server = connection->http_server;

	if (connection->state == CONNECTION_OPEN && http_server->events->drained != NULL)
		http_server->events->drained(http_server->ctx, &connection->request);
	else if (connection->state == CONNECTION_READING)
		read_on(connection);
	else if (connection->state == CONNECTION_ENDING)
		linger(connection);
}

static const struct comet_socket_events socket_events = {
	.data = on_data, .closed = on_closed, .drained = on_drained, .unread = on_unread};

static struct connection *
take_connection(struct comet_http_server *http_server, int fd)
{
	struct connection *connection = talloc_zero(http_server, struct connection);

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
	set_idle(connection);
	set_timer(connection, http_server->limits.idle_timeout_ms);
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
close_longest_idle(struct comet_http_server *http_server, const struct connection *except)
{
	for (GList *link = http_server->idle.head; link != NULL; link = link->next)
	{
		struct connection *connection = link->data;
		if (connection == except || has_waiting_request(connection) ||
			comet_socket_queued(connection->socket) > 0)
			continue;
		http_server->counts.displaced++;
		if (comet_timers_now_us() - connection->responded_us >= LINGER_US)
			drop(connection);
		else
			end_connection(connection);
		return true;
	}
	return false;
}

/* Handles a lack of descriptors: leaves a quarter of those that connections take now for
 * connections to endpoints and other VMs. @return whether any has become free */
static bool
free_descriptors(struct comet_http_server *http_server)
{
	uint32_t open = http_server->counts.connections;
	uint32_t closed = 0;

	http_server->short_us = comet_timers_now_us();
	http_server->max_while_short = MAX(open / 4 * 3, 1);
	while (open - closed > http_server->max_while_short &&
		close_longest_idle(http_server, NULL))
		closed++;
	comet_log(COMET_LOG_WARNING, "event=descriptors_short open=%u closed=%u", open, closed);
	return http_server->counts.connections < open;
}

/* @return the number of connections beyond which a new one closes another; 0: no limit */
static uint32_t
max_connections(const struct comet_http_server *http_server)
{
	bool is_short = http_server->short_us != 0 &&
			comet_timers_now_us() - http_server->short_us < SHORTAGE_US;

	return is_short ? http_server->max_while_short : http_server->max_connections;
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
			const struct connection *accepted = take_connection(http_server, fd);
			uint32_t max = max_connections(http_server);
			if (max > 0 && http_server->counts.connections > max)
				close_longest_idle(http_server, accepted);
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
			((struct connection *)connection)->reader, limits->header_bytes);
}

void
comet_http_server_set_max_connections(
	struct comet_http_server *http_server, uint32_t max_connections)
{
	http_server->max_connections = max_connections;
}

void
comet_http_server_set_draining(struct comet_http_server *http_server)
{
	http_server->closing = true;
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
		struct connection *connection = at->data;
		if (connection->state == CONNECTION_READING && !connection->got_byte &&
			!has_waiting_request(connection))
			end_connection(connection);
	}
	g_list_free(all);
}

const struct comet_http_server_counts *
comet_http_server_counts(const struct comet_http_server *http_server)
{
	return &http_server->counts;
}

size_t
comet_http_server_unsent_bytes(const struct comet_http_server *http_server)
{
	GHashTableIter at;
	gpointer connection = NULL;
	size_t bytes = 0;

	g_hash_table_iter_init(&at, http_server->connections);
	while (g_hash_table_iter_next(&at, &connection, NULL))
		bytes += comet_socket_queued(((struct connection *)connection)->socket);
	return bytes;
}

void
comet_http_server_close_after_response(struct comet_http_server_request *request)
{
	connection_of(request)->keep_alive = false;
}

void
comet_http_server_start_response(struct comet_http_server_request *request, unsigned int status,
	const char *reason, const char *headers, int64_t length)
{
	struct connection *connection = connection_of(request);
	const struct comet_http_head *head = request->head;
	GString *out = g_string_sized_new(512);
	bool head_only =
		head != NULL && strcmp(head->method != NULL ? head->method : "", "HEAD") == 0;

	/* A further request that has arrived is answered on this connection first. */
	if (connection->http_server->closing && !has_waiting_request(connection))
		connection->keep_alive = false;
	connection->started = true;
	connection->no_body = head_only || status == 204 || status == 304;
	bool unknown = length < 0 && !connection->no_body;
	connection->chunked = unknown && !head->http_1_0;
	if (unknown && head->http_1_0)
	{
		connection->keep_alive = false;
		/* If the process is killed, the kernel's close must not look like the end of the
		 * response. */
		comet_socket_set_reset(connection->socket);
	}
	g_string_append_printf(out, "HTTP/1.1 %u %s\r\n", status,
		reason != NULL && *reason != '\0' ? reason : comet_http_reason(status));
	if (headers != NULL)
		g_string_append(out, headers);
	if (connection->chunked)
		comet_http_write_header(out, "Transfer-Encoding", "chunked");
	else if (length >= 0 && status != 204)
		g_string_append_printf(out, "Content-Length: %" G_GINT64_FORMAT "\r\n", length);
	if (!connection->keep_alive)
		comet_http_write_header(out, "Connection", "close");
	g_string_append(out, "\r\n");
	comet_socket_write(connection->socket, out->str, out->len);
	g_string_free(out, TRUE);
}

void
comet_http_server_send_body(
	struct comet_http_server_request *request, const char *data, size_t length)
{
	struct connection *connection = connection_of(request);

	if (length == 0 || connection->no_body)
		return;
	if (!connection->chunked)
	{
		comet_socket_write(connection->socket, data, length);
		return;
	}
	GString *chunk = g_string_sized_new(length + 16);
	g_string_append_printf(chunk, "%zx\r\n", length);
	g_string_append_len(chunk, data, (gssize)length);
	g_string_append(chunk, "\r\n");
	comet_socket_write(connection->socket, chunk->str, chunk->len);
	g_string_free(chunk, TRUE);
}

void
comet_http_server_finish_response(struct comet_http_server_request *request)
{
	struct connection *connection = connection_of(request);

	if (connection->chunked)
		comet_socket_write(connection->socket, "0\r\n\r\n", 5);
	connection->responded_us = comet_timers_now_us();
	/* Once nothing more is accepted, a connection is closed even if its caller may keep it: a
	 * further request would reach a process that is about to end. One that has arrived is
	 * answered before. */
	if (!connection->keep_alive ||
		(connection->http_server->listener == NULL && !has_waiting_request(connection)))
	{
		end_connection(connection);
		return;
	}
	connection->state = CONNECTION_READING;
	set_idle(connection);
	connection->got_byte = false;
	connection->got_head = false;
	connection->complete = false;
	connection->started = false;
	connection->too_large = false;
	connection->request.head = NULL;
	g_byte_array_set_size(connection->body, 0);
	set_timer(connection, connection->http_server->limits.idle_timeout_ms);
	read_on(connection);
}

void
comet_http_server_respond(struct comet_http_server_request *request, unsigned int status,
	const char *headers, const char *body, size_t length)
{
	comet_http_server_start_response(request, status, NULL, headers, (int64_t)length);
	comet_http_server_send_body(request, body, length);
	comet_http_server_finish_response(request);
}

void
comet_http_server_abort_response(struct comet_http_server_request *request)
{
	/* The missing last chunk, the length or the reset shows that the response is incomplete. */
	drop(connection_of(request));
}

size_t
comet_http_server_queued_bytes(const struct comet_http_server_request *request)
{
	return comet_socket_queued(connection_of(request)->socket);
}
