/*
 * tcp_probe.c
 * whether anything listens at an address: a connection is opened and closed again, nothing is sent
 */
#include <libcometspindle/adapters/endpoints/tcp_probe.h>

#include <errno.h>
#include <libcometspindle/adapters/socket.h>
#include <talloc.h>

/* As long as a request's connection may take (upstream.c). */
#define TIMEOUT_US 300000

struct comet_tcp_probe
{
	struct comet_socket *socket;
	struct comet_timer *timer;
	comet_tcp_probe_handler handler;
	void *ctx;
	enum comet_tcp_probe_result result; /* told once the timer is due */
};

static void
finish(struct comet_tcp_probe *reach, enum comet_tcp_probe_result result)
{
	comet_tcp_probe_handler handler = reach->handler;
	void *ctx = reach->ctx;

	talloc_free(reach);
	handler(ctx, result);
}

static void
on_timer(void *ctx)
{
	struct comet_tcp_probe *reach = ctx;

	finish(reach, reach->result);
}

static void
on_connected(void *ctx)
{
	finish(ctx, COMET_TCP_PROBE_OPEN);
}

static void
on_data(void *ctx, const char *data, size_t length)
{
	(void)ctx;
	(void)data;
	(void)length;
}

static void
on_closed(void *ctx, bool orderly)
{
	struct comet_tcp_probe *reach = ctx;
	bool refused = comet_socket_error(reach->socket) == ECONNREFUSED;

	(void)orderly;
	finish(reach, refused ? COMET_TCP_PROBE_REFUSED : COMET_TCP_PROBE_UNREACHABLE);
}

static const struct comet_socket_events socket_events = {
	.connected = on_connected, .data = on_data, .closed = on_closed};

struct comet_tcp_probe *
comet_tcp_probe_start(struct comet_timers *timers, struct tevent_context *ev, void *parent,
	const char *address, comet_tcp_probe_handler handler, void *ctx)
{
	struct comet_tcp_probe *reach = talloc_zero(parent, struct comet_tcp_probe);
	uint64_t timeout_us = TIMEOUT_US;
	struct sockaddr_in at;

	reach->handler = handler;
	reach->ctx = ctx;
	reach->result = COMET_TCP_PROBE_UNREACHABLE;
	if (comet_socket_parse_address(address, &at))
		reach->socket = comet_socket_connect(reach, ev, &at, &socket_events, reach);
	else
		errno = EINVAL;
	if (reach->socket == NULL)
	{
		/* A loopback address refuses at once. */
		reach->result = errno == ECONNREFUSED ? COMET_TCP_PROBE_REFUSED
						      : COMET_TCP_PROBE_UNREACHABLE;
		timeout_us = 0;
	}
	reach->timer = comet_timers_add(timers, reach, timeout_us, on_timer, reach);
	return reach;
}

const char *
comet_tcp_probe_result_name(enum comet_tcp_probe_result result)
{
	static const char *const names[] = {
		[COMET_TCP_PROBE_OPEN] = "there",
		[COMET_TCP_PROBE_REFUSED] = "refused",
		[COMET_TCP_PROBE_UNREACHABLE] = "no_word",
	};

	return names[result];
}
