/*
 * socket.c
 * a non-blocking TCP connection on a tevent loop, with a queue of bytes to write
 */
#include <libcometspindle/adapters/socket.h>

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <talloc.h>
#include <unistd.h>

/* Bytes read at once; few events have more. */
#define READ_BYTES 16384

/* Allocation of its queue that a connection keeps: a usual request or response. */
#define QUEUE_KEPT_BYTES 4096

/* A connection breaks if the peer acknowledges nothing for this time. */
#define USER_TIMEOUT_MS 5000

/* Keep-alive of a probed connection: the kernel sends a probe after each second without data, and
 * the connection breaks after this time without an acknowledgement. A second is the shortest
 * interval that the kernel offers. Kernels that ignore the time limit use the number of probes. */
#define PROBE_IDLE_S 1
#define PROBE_INTERVAL_S 1
#define PROBE_COUNT 1
#define PROBE_TIMEOUT_MS 2000

/* Connections that wait to be accepted; a burst of callers opens dozens at once. */
#define LISTEN_BACKLOG 512

struct comet_socket
{
	struct tevent_fd *event;
	const struct comet_socket_events *events;
	void *ctx;
	struct comet_byte_counters *bytes; /* counters of its owner; NULL: not counted */
	GByteArray *queue;
	size_t written; /* part of the queue that is already written */
	int fd;
	int error; /* errno of a failed connection attempt; 0: none */
	bool connecting;
	bool paused;
	bool reading_stopped; /* further data is left unread */
	bool ended;           /* the peer has closed its direction */
	bool shutting;        /* close this direction once the queue is empty */
	bool write_failed;    /* bytes were lost: no more are written, and the end is not orderly */
	bool owes_drained;    /* the queue became empty within a write, and the event is still to be
				 sent */
	bool broken;
};

bool
comet_socket_parse_address(const char *text, struct sockaddr_in *address)
{
	char host[INET_ADDRSTRLEN];
	const char *colon = strrchr(text, ':');
	char *end = NULL;

	if (colon == NULL || (size_t)(colon - text) >= sizeof host)
		return false;
	memcpy(host, text, (size_t)(colon - text));
	host[colon - text] = '\0';
	long port = strtol(colon + 1, &end, 10);
	if (*end != '\0' || end == colon + 1 || port < 0 || port > UINT16_MAX)
		return false;
	memset(address, 0, sizeof *address);
	address->sin_family = AF_INET;
	address->sin_port = htons((uint16_t)port);
	return inet_pton(AF_INET, host, &address->sin_addr) == 1;
}

static void
update_flags(struct comet_socket *socket)
{
	uint16_t flags = 0;

	if (socket->broken)
	{
		tevent_fd_set_flags(socket->event, 0);
		return;
	}
	/* The loop reports errors, refused connections included, only while reads are enabled.
	 * Otherwise a request to a crashed endpoint would stay open until its caller leaves. */
	bool reads = !socket->paused || socket->write_failed || socket->connecting;
	if (reads && !socket->ended)
		flags |= TEVENT_FD_READ;
	if (socket->connecting || socket->owes_drained || socket->queue->len > socket->written)
		flags |= TEVENT_FD_WRITE;
	tevent_fd_set_flags(socket->event, flags);
}

/* Reports the end of the connection, at most once. */
static void
report_closed(struct comet_socket *socket, bool orderly)
{
	if (socket->ended || socket->broken)
		return;
	/* The kernel reports a reset once. After a write that failed with it, a read returns the
	 * end of the stream, and a response without a length would look complete. */
	orderly = orderly && !socket->write_failed;
	socket->ended = true;
	socket->broken = !orderly;
	update_flags(socket);
	socket->events->closed(socket->ctx, orderly);
}

/* Handles the result of a connection attempt. */
static void
finish_connect(struct comet_socket *socket, bool writable)
{
	socklen_t length = sizeof socket->error;

	if (getsockopt(socket->fd, SOL_SOCKET, SO_ERROR, &socket->error, &length) != 0)
		socket->error = errno;
	if (socket->error != 0)
	{
		report_closed(socket, false);
		return;
	}
	if (!writable)
		return; /* still in progress */
	socket->connecting = false;
	update_flags(socket);
	socket->events->connected(socket->ctx);
}

static void
set_reset(struct comet_socket *socket, bool reset)
{
	struct linger at_once = {.l_onoff = reset ? 1 : 0, .l_linger = 0};

	setsockopt(socket->fd, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
}

/* Handles an empty queue: closes this direction if that was requested. */
static void
end_in_order(struct comet_socket *socket)
{
	set_reset(socket, false);
	shutdown(socket->fd, SHUT_WR);
}

/* An emptied array keeps its allocation: one that was large is freed. */
static void
empty_queue(struct comet_socket *socket)
{
	bool large = socket->queue->len > QUEUE_KEPT_BYTES;

	g_byte_array_set_size(socket->queue, 0);
	socket->written = 0;
	if (!large)
		return;
	g_byte_array_free(socket->queue, TRUE);
	socket->queue = g_byte_array_new();
}

/* Writes as much as the kernel accepts. @return false if the connection broke. */
static bool
flush(struct comet_socket *socket)
{
	while (socket->queue->len > socket->written)
	{
		ssize_t done = send(socket->fd, socket->queue->data + socket->written,
			socket->queue->len - socket->written, MSG_NOSIGNAL);
		if (done < 0 && errno == EINTR)
			continue;
		if (done < 0 && (errno == EAGAIN || errno == EWOULDBLOCK))
			return true;
		if (done < 0)
			return false;
		socket->written += (size_t)done;
		if (socket->bytes != NULL)
			socket->bytes->sent += (uint64_t)done;
	}
	empty_queue(socket);
	if (socket->shutting)
		end_in_order(socket);
	return true;
}

/* Reads report the end, after the bytes that have arrived; a write does not. */
static void
fail_writes(struct comet_socket *socket)
{
	socket->write_failed = true;
	socket->owes_drained = false;
	empty_queue(socket);
	shutdown(socket->fd, SHUT_RDWR); /* some failures leave the connection as it is */
	update_flags(socket);
}

static void
on_writable(struct comet_socket *socket)
{
	if (!flush(socket))
	{
		fail_writes(socket);
		return;
	}
	socket->owes_drained = false;
	update_flags(socket);
	if (socket->queue->len == 0 && socket->events->drained != NULL)
		socket->events->drained(socket->ctx);
}

/* Handles the end of the connection, or data that is left unread. */
static void
watch_end(struct comet_socket *socket)
{
	char byte = 0;
	ssize_t got = recv(socket->fd, &byte, 1, MSG_PEEK);

	if (got == 0)
		report_closed(socket, true);
	else if (got < 0 && errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR)
		report_closed(socket, false);
	else if (got > 0)
	{
		comet_socket_pause(socket, true); /* the loop would report the data again */
		if (socket->events->unread != NULL)
			socket->events->unread(socket->ctx);
	}
}

static void
on_readable(struct comet_socket *socket)
{
	char buffer[READ_BYTES];

	if (socket->paused)
	{
		if (socket->write_failed) /* reads are stopped: report only the end */
			report_closed(socket, false);
		return;
	}
	if (socket->reading_stopped)
	{
		watch_end(socket);
		return;
	}
	if (socket->events->may_read != NULL && !socket->events->may_read(socket->ctx))
		return;
	ssize_t got = recv(socket->fd, buffer, sizeof buffer, 0);

	if (got > 0 && socket->bytes != NULL)
		socket->bytes->received += (uint64_t)got;
	if (got > 0)
		socket->events->data(socket->ctx, buffer, (size_t)got);
	else if (got == 0)
		report_closed(socket, true);
	else if (errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR)
		report_closed(socket, false);
}

static void
on_ready(struct tevent_context *ev, struct tevent_fd *event, uint16_t flags, void *data)
{
	struct comet_socket *socket = data;

	(void)ev;
	(void)event;
	/* Handles one kind of event per call, since a callback may free the socket; tevent calls
	 * again for the other kind. */
	if (socket->connecting)
		finish_connect(socket, (flags & TEVENT_FD_WRITE) != 0);
	else if ((flags & TEVENT_FD_WRITE) != 0)
		on_writable(socket);
	else if ((flags & TEVENT_FD_READ) != 0)
		on_readable(socket);
}

static int
socket_destroy(struct comet_socket *socket)
{
	talloc_free(socket->event);
	close(socket->fd);
	g_byte_array_free(socket->queue, TRUE);
	return 0;
}

static struct comet_socket *
wrap(void *parent, struct tevent_context *ev, int fd, bool connecting,
	const struct comet_socket_events *events, void *ctx)
{
	struct comet_socket *socket = talloc_zero(parent, struct comet_socket);
	int on = 1;
	unsigned int timeout_ms = USER_TIMEOUT_MS;

	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
	setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout_ms, sizeof timeout_ms);
	socket->fd = fd;
	socket->connecting = connecting;
	socket->events = events;
	socket->ctx = ctx;
	socket->queue = g_byte_array_new();
	socket->event = tevent_add_fd(ev, socket, fd, 0, on_ready, socket);
	talloc_set_destructor(socket, socket_destroy);
	update_flags(socket);
	return socket;
}

struct comet_socket *
comet_socket_accepted(void *parent, struct tevent_context *ev, int fd,
	const struct comet_socket_events *events, void *ctx)
{
	return wrap(parent, ev, fd, false, events, ctx);
}

struct comet_socket *
comet_socket_connect(void *parent, struct tevent_context *ev, const struct sockaddr_in *address,
	const struct comet_socket_events *events, void *ctx)
{
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

	if (fd < 0)
		return NULL;
	if (connect(fd, (const struct sockaddr *)address, sizeof *address) != 0 &&
		errno != EINPROGRESS)
	{
		int code = errno;
		close(fd);
		errno = code;
		return NULL;
	}
	return wrap(parent, ev, fd, true, events, ctx);
}

void
comet_socket_write(struct comet_socket *socket, const char *data, size_t length)
{
	if (socket->broken || socket->write_failed)
		return;
	bool waited = socket->queue->len > socket->written;
	g_byte_array_append(socket->queue, (const guint8 *)data, (guint)length);
	if (!socket->connecting && !flush(socket))
	{
		fail_writes(socket);
		return;
	}
	/* A caller that stopped because of a full queue continues on this event. */
	socket->owes_drained = socket->owes_drained || (waited && socket->queue->len == 0);
	update_flags(socket);
}

size_t
comet_socket_queued(const struct comet_socket *socket)
{
	return socket->queue->len - socket->written;
}

void
comet_socket_count(struct comet_socket *socket, struct comet_byte_counters *bytes)
{
	socket->bytes = bytes;
}

void
comet_socket_pause(struct comet_socket *socket, bool paused)
{
	socket->paused = paused;
	update_flags(socket);
}

void
comet_socket_stop_reading(struct comet_socket *socket)
{
	socket->reading_stopped = true;
}

void
comet_socket_shutdown(struct comet_socket *socket)
{
	socket->shutting = true;
	if (socket->queue->len == socket->written)
		end_in_order(socket);
}

int
comet_socket_error(const struct comet_socket *socket)
{
	return socket->error;
}

bool
comet_socket_is_quiet(const struct comet_socket *socket)
{
	char byte = 0;

	if (socket->broken || socket->ended)
		return false;
	ssize_t got = recv(socket->fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
	return got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

bool
comet_socket_has_data(const struct comet_socket *socket)
{
	char byte = 0;

	return recv(socket->fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
}

bool
comet_socket_has_pending_events(const struct comet_socket *socket)
{
	struct pollfd look = {.fd = socket->fd, .events = socket->connecting ? POLLOUT : POLLIN};

	return poll(&look, 1, 0) == 1;
}

void
comet_socket_probe(struct comet_socket *socket)
{
	int on = 1;
	int idle_s = PROBE_IDLE_S;
	int interval_s = PROBE_INTERVAL_S;
	int count = PROBE_COUNT;
	unsigned int timeout_ms = PROBE_TIMEOUT_MS;

	setsockopt(socket->fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof on);
	setsockopt(socket->fd, IPPROTO_TCP, TCP_KEEPIDLE, &idle_s, sizeof idle_s);
	setsockopt(socket->fd, IPPROTO_TCP, TCP_KEEPINTVL, &interval_s, sizeof interval_s);
	setsockopt(socket->fd, IPPROTO_TCP, TCP_KEEPCNT, &count, sizeof count);
	setsockopt(socket->fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout_ms, sizeof timeout_ms);
}

void
comet_socket_set_reset(struct comet_socket *socket)
{
	set_reset(socket, true);
}

int
comet_socket_listen(const struct sockaddr_in *address)
{
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	int on = 1;

	if (fd < 0)
		return -1;
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
	if (bind(fd, (const struct sockaddr *)address, sizeof *address) != 0 ||
		listen(fd, LISTEN_BACKLOG) != 0)
	{
		int code = errno;
		close(fd);
		errno = code;
		return -1;
	}
	return fd;
}
