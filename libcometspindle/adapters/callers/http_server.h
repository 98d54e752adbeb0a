/*
 * http_server.h
 * the caller side: an HTTP/1.1 server that hands over whole requests
 *
 * One request at a time on a connection; what follows it waits unread. While a
 * request is open the connection is watched, so that a caller that leaves is
 * noticed at once. An answer that cannot be finished ends in a reset, so that
 * it never looks complete.
 */
#ifndef COMETSPINDLE_ADAPTERS_HTTP_SERVER_H
#define COMETSPINDLE_ADAPTERS_HTTP_SERVER_H

#include <libcometspindle/adapters/byte_counters.h>
#include <libcometspindle/adapters/http_reader.h>
#include <libcometspindle/adapters/timers.h>
#include <libcometspindle/http_limits.h>
#include <stdbool.h>
#include <stdint.h>
#include <tevent.h>

/** A request that has been read in full. Owned by the front. */
struct comet_http_server_request
{
	const struct comet_http_head *head;
	const GByteArray *body;
	uint64_t received_us; /**< when its first byte came */
	void *user;           /**< for the handler; NULL at first */
};

struct comet_http_server_events
{
	/** Answer it by the calls below, now or later. */
	void (*request)(void *ctx, struct comet_http_server_request *request);
	/** The caller left before its answer was complete; request is gone after this. */
	void (*gone)(void *ctx, struct comet_http_server_request *request);
	/** The last byte that was queued for it is on its way; may be NULL. */
	void (*drained)(void *ctx, struct comet_http_server_request *request);
};

/** Counts for metrics; monotonic but for connections. */
struct comet_http_server_counts
{
	uint32_t connections; /**< open now */
	uint64_t accepted;
	uint64_t requests;
	uint64_t malformed;
	uint64_t left; /**< callers that left before their answer */
};

struct comet_http_server;

/** Starts listening on "a.b.c.d:port"; NULL and error when that fails. */
struct comet_http_server *
comet_http_server_create(void *parent, struct tevent_context *ev, struct comet_timers *timers,
	const char *address, const struct comet_http_server_events *events, void *ctx,
	GError **error) G_GNUC_WARN_UNUSED_RESULT;

/** Counts the bytes of connections that are accepted from now on. */
void
comet_http_server_set_byte_counters(
	struct comet_http_server *http_server, struct comet_byte_counters *bytes);

void
comet_http_server_set_limits(
	struct comet_http_server *http_server, const struct comet_http_limits *limits);

/** From now on answers ask callers to close, and idle connections end with their next answer. */
void
comet_http_server_set_draining(struct comet_http_server *http_server);

/** Stops accepting connections; those that are open end with the answer under way. */
void
comet_http_server_stop_listening(struct comet_http_server *http_server);

/** Closes connections that carry no request. */
void
comet_http_server_close_idle(struct comet_http_server *http_server);

const struct comet_http_server_counts *
comet_http_server_counts(const struct comet_http_server *http_server);

/** Bytes of answers that wait for slow readers, on all connections. */
size_t
comet_http_server_unsent_bytes(const struct comet_http_server *http_server);

/** Its connection ends with this answer; to be called before it is started. */
void
comet_http_server_close_after_response(struct comet_http_server_request *request);

/** A whole small answer. headers: further header lines, each with its line's end, or NULL. */
void
comet_http_server_respond(struct comet_http_server_request *request, unsigned int status,
	const char *headers, const char *body, size_t length);

/** Starts an answer; length < 0: unknown, it is sent in chunks. */
void
comet_http_server_start_response(struct comet_http_server_request *request, unsigned int status,
	const char *reason, const char *headers, int64_t length);

void
comet_http_server_send_body(
	struct comet_http_server_request *request, const char *data, size_t length);

/** The answer is complete; request is gone after this. */
void
comet_http_server_finish_response(struct comet_http_server_request *request);

/** The answer cannot be completed: resets the connection; request is gone after this. */
void
comet_http_server_abort_response(struct comet_http_server_request *request);

/** Bytes of this answer that wait for a slow reader. */
size_t
comet_http_server_queued_bytes(const struct comet_http_server_request *request);

#endif
