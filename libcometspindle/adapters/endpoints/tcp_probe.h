/*
 * tcp_probe.h
 * whether anything listens at an address: a connection is opened and closed again, nothing is sent
 */
#ifndef COMETSPINDLE_ADAPTERS_TCP_PROBE_H
#define COMETSPINDLE_ADAPTERS_TCP_PROBE_H

#include <libcometspindle/adapters/timers.h>
#include <tevent.h>

enum comet_tcp_probe_result
{
	COMET_TCP_PROBE_OPEN,        /**< something listens */
	COMET_TCP_PROBE_REFUSED,     /**< the machine is there, and nothing listens */
	COMET_TCP_PROBE_UNREACHABLE, /**< no answer in time, or no way there */
};

struct comet_tcp_probe;

/** Called once, never from within comet_tcp_probe_start(); the check is freed after it. */
typedef void (*comet_tcp_probe_handler)(void *ctx, enum comet_tcp_probe_result result);

/** Starts a check of "a.b.c.d:port". Free to cancel. */
struct comet_tcp_probe *
comet_tcp_probe_start(struct comet_timers *timers, struct tevent_context *ev, void *parent,
	const char *address, comet_tcp_probe_handler handler, void *ctx);

const char *
comet_tcp_probe_result_name(enum comet_tcp_probe_result result);

#endif
