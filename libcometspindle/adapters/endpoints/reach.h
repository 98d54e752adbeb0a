/*
 * reach.h
 * whether anything listens at an address: a connection is opened and closed again, nothing is sent
 */
#ifndef COMETSPINDLE_ADAPTERS_REACH_H
#define COMETSPINDLE_ADAPTERS_REACH_H

#include <libcometspindle/adapters/timers.h>
#include <tevent.h>

enum comet_reach_result
{
	COMET_REACH_THERE,   /**< something listens */
	COMET_REACH_REFUSED, /**< the machine is there, and nothing listens */
	COMET_REACH_NO_WORD, /**< no answer in time, or no way there */
};

struct comet_reach;

/** Called once, never from within comet_reach_start(); the check is freed after it. */
typedef void (*comet_reach_handler)(void *ctx, enum comet_reach_result result);

/** Starts a check of "a.b.c.d:port". Free to cancel. */
struct comet_reach *
comet_reach_start(struct comet_timers *timers, struct tevent_context *ev, void *parent,
	const char *address, comet_reach_handler handler, void *ctx);

const char *
comet_reach_result_name(enum comet_reach_result result);

#endif
