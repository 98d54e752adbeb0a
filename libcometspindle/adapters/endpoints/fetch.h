/*
 * fetch.h
 * reads one document from another process with a GET, bounded in size and time
 */
#ifndef COMETSPINDLE_ADAPTERS_FETCH_H
#define COMETSPINDLE_ADAPTERS_FETCH_H

#include <libcometspindle/adapters/timers.h>
#include <libcometspindle/adapters/endpoints/upstream.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** The request; copied. */
struct comet_fetch_request
{
	const char *address; /**< "a.b.c.d:port" */
	const char *target;  /**< path and query */
	uint64_t timeout_us; /**< until the response begins, which then has to progress */
	uint32_t most_bytes; /**< bound on the body; 0: the default bound */
	struct comet_byte_counters
		*counted;   /**< counters for the bytes of a new connection; NULL: none */
	const char *header; /**< name of a response header to return; NULL: none */
};

/** The result. */
struct comet_fetch_response
{
	const char *failure; /**< NULL: the response is complete; otherwise a stable code */
	bool too_large;      /**< the failure is that the body exceeds the bound */
	unsigned int status;
	const char *header; /**< value of that header; NULL: the response lacks it */
	const char *body;
	size_t length;
};

/** Called once, never before comet_fetch_start() has returned. */
typedef void (*comet_fetch_handler)(void *ctx, const struct comet_fetch_response *answer);

struct comet_fetch;

/** Starts a fetch, which is freed after its handler was called. talloc_free() cancels it. */
struct comet_fetch *
comet_fetch_start(void *parent, struct comet_upstream *upstream, struct comet_timers *timers,
	const struct comet_fetch_request *request, comet_fetch_handler handler, void *ctx);

/** @return whether its response has begun to arrive. */
bool
comet_fetch_has_begun(const struct comet_fetch *fetch);

#endif
