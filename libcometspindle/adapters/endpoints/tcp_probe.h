/*
 * tcp_probe.h
 * checks whether a process listens at an address by opening a connection and closing it again
 */
#ifndef COMETSPINDLE_ADAPTERS_TCP_PROBE_H
#define COMETSPINDLE_ADAPTERS_TCP_PROBE_H

#include <libcometspindle/adapters/timers.h>
#include <tevent.h>

enum comet_tcp_probe_result
{
	COMET_TCP_PROBE_OPEN,        /**< a process listens */
	COMET_TCP_PROBE_REFUSED,     /**< the machine refused: no process listens */
	COMET_TCP_PROBE_UNREACHABLE, /**< no response in time, or no route */
};

struct comet_tcp_probe;

/** Called once, never before comet_tcp_probe_start() has returned; the probe is freed after it. */
typedef void (*comet_tcp_probe_handler)(void *ctx, enum comet_tcp_probe_result result);

/** Starts to probe "a.b.c.d:port". talloc_free() cancels it. */
struct comet_tcp_probe *
comet_tcp_probe_start(struct comet_timers *timers, struct tevent_context *ev, void *parent,
	const char *address, comet_tcp_probe_handler handler, void *ctx);

const char *
comet_tcp_probe_result_name(enum comet_tcp_probe_result result);

#endif
