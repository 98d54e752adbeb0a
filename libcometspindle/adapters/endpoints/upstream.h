/*
 * upstream.h
 * sends requests to endpoints over persistent HTTP/1.1 connections
 *
 * A request is written to one connection once; this module never retries. A
 * response is accepted only if it has the id of the request; a response to an
 * earlier request on the connection is discarded.
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
	COMET_EXCHANGE_COMPLETE,  /**< the complete response was read */
	COMET_EXCHANGE_BROKEN,    /**< the connection ended, or its data is not a response */
	COMET_EXCHANGE_UNREACHED, /**< no connection; no byte of the request was sent */
};

struct comet_exchange_events
{
	void (*head)(void *ctx, const struct comet_http_head *head);
	void (*data)(void *ctx, const char *data, size_t length);
	/** The exchange has ended; it is freed after this call. */
	void (*end)(void *ctx, enum comet_exchange_end end);
};

/** A request and its destination; copied. */
struct comet_exchange_request
{
	const char *instance; /**< id of the endpoint's process, by which connections are pooled */
	const char *address;  /**< "a.b.c.d:port" */
	const char *bytes;    /**< the whole request */
	size_t length;
	const char *id_header; /**< header that a response repeats; NULL: not checked */
	const char *id;
	bool head_only; /**< a HEAD request: the response has no body */
	bool probe;     /**< enable keep-alive probes, because the response may take long */
	/** Use a new connection. A pooled one may have carried an earlier attempt of this request,
	 * whose surplus response has the same id. */
	bool new_connection;
	struct comet_byte_counters
		*counted; /**< counters for the bytes of a new connection; NULL: none */
};

/** Counts for metrics; all but the first two only increase. */
struct comet_upstream_counts
{
	uint32_t open;
	uint32_t idle;
	uint64_t opened;
	uint64_t reused;
	uint64_t connect_failures;
	uint64_t foreign_answers; /**< responses to other requests that were discarded */
	uint64_t malformed;
	uint64_t abandoned; /**< responses that were cancelled or broke off after they had begun */
};

struct comet_upstream;
struct comet_exchange;

struct comet_upstream *
comet_upstream_create(void *parent, struct tevent_context *ev, struct comet_timers *timers);

/** Starts an exchange. No event is called before this returns. talloc_free() cancels the exchange
 * and closes its connection. */
struct comet_exchange *
comet_upstream_send(struct comet_upstream *upstream, void *parent,
	const struct comet_exchange_request *request, const struct comet_exchange_events *events,
	void *ctx);

/** @return whether any byte of the request may have been sent. */
bool
comet_exchange_sent(const struct comet_exchange *exchange);

/** @return whether data of the response has arrived but was not handled yet. After a pause of the
 * process, timers may fire before that data is handled. */
bool
comet_exchange_has_pending_events(const struct comet_exchange *exchange);

/** Probes whether the endpoint still has the connection, which breaks otherwise. */
void
comet_exchange_probe(struct comet_exchange *exchange);

/** Stops or resumes reading the response. */
void
comet_exchange_pause(struct comet_exchange *exchange, bool paused);

/** Closes the idle connections to an endpoint's process. Those in use are closed after use. */
void
comet_upstream_close_instance(struct comet_upstream *upstream, const char *instance);

/** Counts a response that was cancelled. */
void
comet_upstream_abandoned(struct comet_upstream *upstream);

const struct comet_upstream_counts *
comet_upstream_counts(const struct comet_upstream *upstream);

#endif
