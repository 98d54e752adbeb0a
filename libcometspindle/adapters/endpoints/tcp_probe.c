/*
 * tcp_probe.c
 * checks whether a process listens at an address by opening a connection and closing it again
 */
#include <libcometspindle/adapters/endpoints/tcp_probe.h>

#include <errno.h>
#include <libcometspindle/adapters/socket.h>
#include <talloc.h>

/* The same as the timeout of a request's connection (upstream.c). */
#define TIMEOUT_US 300000

struct comet_tcp_probe
{
	struct comet_timers *timers;
	struct comet_socket *socket;
	struct comet_timer *timer;
	comet_tcp_probe_handler handler;
	void *ctx;
	enum comet_tcp_probe_result result; /* reported when the timer fires */
};

static void
finish(struct comet_tcp_probe *probe, enum comet_tcp_probe_result result)
{
	comet_tcp_probe_handler handler = probe->handler;
	void *ctx = probe->ctx;

	talloc_free(probe);
	handler(ctx, result);
}

static void
on_timer(void *ctx)
{
	struct comet_tcp_probe *probe = ctx;

	/* The result has arrived, but this process was stopped before it could read it. */
	if (probe->socket != NULL && comet_socket_has_pending_events(probe->socket))
		probe->timer = comet_timers_add(probe->timers, probe, TIMEOUT_US, on_timer, probe);
	else
		finish(probe, probe->result);
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
	struct comet_tcp_probe *probe = ctx;
	bool refused = comet_socket_error(probe->socket) == ECONNREFUSED;

	(void)orderly;
	finish(probe, refused ? COMET_TCP_PROBE_REFUSED : COMET_TCP_PROBE_UNREACHABLE);
}

static const struct comet_socket_events socket_events = {
	.connected = on_connected, .data = on_data, .closed = on_closed};

struct comet_tcp_probe *
comet_tcp_probe_start(struct comet_timers *timers, struct tevent_context *ev, void *parent,
	const char *address, comet_tcp_probe_handler handler, void *ctx)
{
	struct comet_tcp_probe *probe = talloc_zero(parent, struct comet_tcp_probe);
	uint64_t timeout_us = TIMEOUT_US;
	struct sockaddr_in at;

	probe->timers = timers;
	probe->handler = handler;
	probe->ctx = ctx;
	probe->result = COMET_TCP_PROBE_UNREACHABLE;
	if (comet_socket_parse_address(address, &at))
		probe->socket = comet_socket_connect(probe, ev, &at, &socket_events, probe);
	else
		errno = EINVAL;
	if (probe->socket == NULL)
	{
		/* A loopback address refuses immediately. */
		probe->result = errno == ECONNREFUSED ? COMET_TCP_PROBE_REFUSED
						      : COMET_TCP_PROBE_UNREACHABLE;
		timeout_us = 0;
	}
	probe->timer = comet_timers_add(timers, probe, timeout_us, on_timer, probe);
	return probe;
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
