/*
 * fetch.h
 * one small document read from another process: a GET, bounded in size and time
 */
#ifndef COMETSPINDLE_ADAPTERS_FETCH_H
#define COMETSPINDLE_ADAPTERS_FETCH_H

#include <libcometspindle/adapters/timers.h>
#include <libcometspindle/adapters/endpoints/upstream.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** Where to ask and for what; copied. */
struct comet_fetch_request
{
	const char *address; /**< "a.b.c.d:port" */
	const char *target;  /**< path and query */
	uint64_t timeout_us; /**< until its answer begins, which then has to progress */
	uint32_t most_bytes; /**< of its body; 0: any proper size */
	struct comet_byte_counters
		*counted;   /**< where a new connection counts its bytes; NULL: nowhere */
	const char *header; /**< a header of the answer that is wanted; NULL: none */
};

/** What came of it. */
struct comet_fetch_response
{
	const char *failure; /**< NULL: there is a whole answer; else a stable code */
	bool too_large;      /**< that it has more bytes than were wanted is the failure */
	unsigned int status;
	const char *header; /**< that was wanted; NULL: the answer has none */
	const char *body;
	size_t length;
};

/** Called once, later, never from within the call that starts it. */
typedef void (*comet_fetch_handler)(void *ctx, const struct comet_fetch_response *answer);

struct comet_fetch;

/** Starts reading; freed after the handler was called. Free to cancel. */
struct comet_fetch *
comet_fetch_start(void *parent, struct comet_upstream *upstream, struct comet_timers *timers,
	const struct comet_fetch_request *request, comet_fetch_handler handler, void *ctx);

/** @return whether its answer has begun to arrive. */
bool
comet_fetch_has_begun(const struct comet_fetch *fetch);

#endif
