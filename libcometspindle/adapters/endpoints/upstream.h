/*
 * upstream.h
 * the endpoint side: sends requests over kept HTTP/1.1 connections
 *
 * A request is written to one connection once; nothing here sends it again.
 * An answer is taken only if it names the request it belongs to; one that
 * belongs to an earlier request of the connection is read past.
 */
#ifndef COMETSPINDLE_ADAPTERS_UPSTREAM_H
#define COMETSPINDLE_ADAPTERS_UPSTREAM_H

#include <libcometspindle/adapters/byte_counters.h>
#include <libcometspindle/adapters/http_reader.h>
#include <libcometspindle/adapters/timers.h>
#include <stdbool.h>
#include <stdint.h>
#include <tevent.h>

/** How an exchange ended. */
enum comet_exchange_end
{
	COMET_EXCHANGE_COMPLETE,  /**< the whole answer was read */
	COMET_EXCHANGE_BROKEN,    /**< the connection ended, or sent what is not an answer */
	COMET_EXCHANGE_UNREACHED, /**< no connection: not a byte of the request left */
};

struct comet_exchange_events
{
	void (*head)(void *ctx, const struct comet_http_head *head);
	void (*data)(void *ctx, const char *data, size_t length);
	/** It is over; the exchange is freed after this. */
	void (*end)(void *ctx, enum comet_exchange_end end);
};

/** Where and what to send; copied. */
struct comet_exchange_request
{
	const char *instance; /**< id of the endpoint's process: connections are kept by it */
	const char *address;  /**< "a.b.c.d:port" */
	const char *bytes;    /**< the whole request */
	size_t length;
	const char *id_header; /**< header that an answer repeats; NULL: not looked at */
	const char *id;
	bool head_only; /**< HEAD: the answer has no body */
	bool probe;     /**< the answer may take long: a dead connection is to be noticed sooner */
	/** No kept connection: one may have carried this request before, and a surplus answer to
	 * that sending, which names the same id, may still come there. */
	bool new_connection;
	struct comet_byte_counters
		*counted; /**< where a new connection counts its bytes; NULL: nowhere */
};

/** Counts for metrics; monotonic but for the first two. */
struct comet_upstream_counts
{
	uint32_t open;
	uint32_t idle;
	uint64_t opened;
	uint64_t reused;
	uint64_t connect_failures;
	uint64_t foreign_answers; /**< answers of other requests that were read past */
	uint64_t malformed;
	uint64_t abandoned; /**< answers that had begun to arrive and were given up, or broke off */
};

struct comet_upstream;
struct comet_exchange;

struct comet_upstream *
comet_upstream_create(void *parent, struct tevent_context *ev, struct comet_timers *timers);

/** Starts an exchange; events come later, never from within. Free to cancel: closes. */
struct comet_exchange *
comet_upstream_send(struct comet_upstream *upstream, void *parent,
	const struct comet_exchange_request *request, const struct comet_exchange_events *events,
	void *ctx);

/** @return whether any byte of the request may have left. */
bool
comet_exchange_sent(const struct comet_exchange *exchange);

/** @return whether something of it has arrived that was not handled yet: after this process was
 * stopped, timers come before what arrived meanwhile. */
bool
comet_exchange_has_pending_events(const struct comet_exchange *exchange);

/** Looks whether the other side still holds the connection, which breaks if it does not. */
void
comet_exchange_probe(struct comet_exchange *exchange);

/** Stops or goes on reading the answer. */
void
comet_exchange_pause(struct comet_exchange *exchange, bool paused);

/** Closes the idle connections to an endpoint's process; what is in use now is not kept after. */
void
comet_upstream_close_instance(struct comet_upstream *upstream, const char *instance);

/** Counts an answer that was given up. */
void
comet_upstream_abandoned(struct comet_upstream *upstream);

const struct comet_upstream_counts *
comet_upstream_counts(const struct comet_upstream *upstream);

#endif
