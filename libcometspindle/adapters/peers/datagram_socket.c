/*
 * datagram_socket.c
 * sends and receives datagrams between VMs by UDP
 */
#include <libcometspindle/adapters/peers/datagram_socket.h>

#include <arpa/inet.h>
#include <errno.h>
#include <libcometspindle/adapters/socket.h>
#include <libcometspindle/error.h>
#include <libcometspindle/gateway/messages/datagram.h>
#include <sys/socket.h>
#include <talloc.h>
#include <unistd.h>

/* Datagrams handled in one iteration of the event loop. */
#define DATAGRAMS_PER_TURN 64

struct comet_datagram_socket
{
	struct tevent_fd *event;
	comet_datagram_socket_handler handler;
	void *ctx;
	bool (*is_near)(const void *ctx, uint32_t address); /* NULL: not known */
	const void *is_near_ctx;
	struct comet_byte_counters bytes;
	struct comet_datagram_counts counts[COMET_DATAGRAM_KINDS];
	uint64_t unsent;
	uint32_t address;
	uint16_t port;
	int fd;
};

/* Returns whether a VM is in another availability zone. VMs that are not known yet count as such.
 */
static bool
is_far(const struct comet_datagram_socket *datagram_socket, uint32_t address)
{
	return datagram_socket->is_near != NULL &&
	       !datagram_socket->is_near(datagram_socket->is_near_ctx, address);
}

static void
count_received(struct comet_datagram_socket *datagram_socket, uint32_t from, const uint8_t *data,
	size_t length)
{
	struct comet_datagram_counts *counts =
		&datagram_socket->counts[comet_datagram_kind(data, length)];

	counts->received++;
	counts->bytes.received += length;
	if (is_far(datagram_socket, from))
		counts->crossing.received += length;
}

static void
count_sent(struct comet_datagram_socket *datagram_socket, uint32_t to, const uint8_t *data,
	size_t length)
{
	struct comet_datagram_counts *counts =
		&datagram_socket->counts[comet_datagram_kind(data, length)];

	datagram_socket->bytes.sent += length;
	counts->sent++;
	counts->bytes.sent += length;
	if (is_far(datagram_socket, to))
		counts->crossing.sent += length;
}

static void
on_ready(struct tevent_context *ev, struct tevent_fd *event, uint16_t flags, void *data)
{
	struct comet_datagram_socket *datagram_socket = data;
	uint8_t buffer[COMET_DATAGRAM_BYTES_MAX + 1];

	(void)ev;
	(void)event;
	(void)flags;
	for (int i = 0; i < DATAGRAMS_PER_TURN; i++)
	{
		struct sockaddr_in from = {0};
		socklen_t from_length = sizeof from;
		ssize_t length = recvfrom(datagram_socket->fd, buffer, sizeof buffer, 0,
			(struct sockaddr *)&from, &from_length);
		if (length < 0)
			return; /* no more datagrams, or the error of an earlier send */
		datagram_socket->bytes.received += (uint64_t)length;
		count_received(
			datagram_socket, ntohl(from.sin_addr.s_addr), buffer, (size_t)length);
		datagram_socket->handler(datagram_socket->ctx, buffer, (size_t)length);
	}
}

static int
link_destroy(struct comet_datagram_socket *datagram_socket)
{
	talloc_free(datagram_socket->event);
	close(datagram_socket->fd);
	return 0;
}

struct comet_datagram_socket *
comet_datagram_socket_create(void *parent, struct tevent_context *ev, const char *address,
	comet_datagram_socket_handler handler, void *ctx, GError **error)
{
	struct sockaddr_in at;

	if (!comet_socket_parse_address(address, &at))
	{
		g_set_error(error, COMET_ERROR, COMET_ERROR_INVALID,
			"%s: not an address of the form IP:PORT", address);
		return NULL;
	}
	int fd = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (fd < 0 || bind(fd, (const struct sockaddr *)&at, sizeof at) != 0)
	{
		g_set_error(error, COMET_ERROR, COMET_ERROR_IO, "cannot bind %s: %s", address,
			g_strerror(errno));
		if (fd >= 0)
			close(fd);
		return NULL;
	}
	struct comet_datagram_socket *datagram_socket =
		talloc_zero(parent, struct comet_datagram_socket);
	datagram_socket->fd = fd;
	datagram_socket->address = ntohl(at.sin_addr.s_addr);
	datagram_socket->port = ntohs(at.sin_port);
	datagram_socket->handler = handler;
	datagram_socket->ctx = ctx;
	datagram_socket->event =
		tevent_add_fd(ev, datagram_socket, fd, TEVENT_FD_READ, on_ready, datagram_socket);
	talloc_set_destructor(datagram_socket, link_destroy);
	return datagram_socket;
}

void
comet_datagram_socket_send(struct comet_datagram_socket *datagram_socket, uint32_t address,
	const uint8_t *data, size_t length)
{
	struct sockaddr_in to = {
		.sin_family = AF_INET,
		.sin_port = htons(datagram_socket->port),
		.sin_addr.s_addr = htonl(address),
	};

	/* Datagrams may be lost anyway, so a failed send is only counted. */
	if (sendto(datagram_socket->fd, data, length, 0, (const struct sockaddr *)&to, sizeof to) <
		0)
		datagram_socket->unsent++;
	else
		count_sent(datagram_socket, address, data, length);
}

void
comet_datagram_socket_set_zone_check(struct comet_datagram_socket *datagram_socket,
	bool (*is_near)(const void *ctx, uint32_t address), const void *ctx)
{
	datagram_socket->is_near = is_near;
	datagram_socket->is_near_ctx = ctx;
}

const struct comet_datagram_counts *
comet_datagram_socket_counts(const struct comet_datagram_socket *datagram_socket, uint32_t kind)
{
	return &datagram_socket->counts[kind];
}

const struct comet_byte_counters *
comet_datagram_socket_bytes(const struct comet_datagram_socket *datagram_socket)
{
	return &datagram_socket->bytes;
}

uint32_t
comet_datagram_socket_address(const struct comet_datagram_socket *datagram_socket)
{
	return datagram_socket->address;
}

const char *
comet_datagram_socket_format_address(uint32_t address, char text[COMET_IPV4_TEXT_BYTES])
{
	struct in_addr at = {.s_addr = htonl(address)};

	inet_ntop(AF_INET, &at, text, COMET_IPV4_TEXT_BYTES); /* cannot fail: the room suffices */
	return text;
}
