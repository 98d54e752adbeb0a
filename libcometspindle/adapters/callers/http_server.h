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
#include <libcometspindle/gateway/admission/caller_budget.h>
#include <libcometspindle/gateway/admission/link_share.h>
#include <libcometspindle/gateway/admission/receiving.h>
#include <libcometspindle/http_limits.h>
#include <stdbool.h>
#include <stdint.h>
#include <tevent.h>

/** A request that has been read completely. Owned by the server. */
struct comet_http_server_request
{
	const struct comet_http_head *head;
	const GByteArray *body;
	uint64_t received_us; /**< when its first byte arrived */
	void *user;           /**< for the handler; initially NULL */
};

struct comet_http_server_events
{
	/** A request arrived; respond with the functions below, now or later. */
	void (*request)(void *ctx, struct comet_http_server_request *request);
	/** The caller disconnected before the response was complete; the request is freed after
	 * this. */
	void (*gone)(void *ctx, struct comet_http_server_request *request);
	/** All queued bytes of the response were written; may be NULL. */
	void (*drained)(void *ctx, struct comet_http_server_request *request);
	/** Another request could be read; update the link that was set. May be NULL. */
	void (*update_link)(void *ctx);
};

/** Counts for metrics; all but connections only increase. */
struct comet_http_server_counts
{
	uint32_t connections; /**< open now */
	uint64_t accepted;
	uint64_t requests;
	uint64_t malformed;
	uint64_t left;              /**< callers that disconnected before their response */
	uint64_t displaced;         /**< idle connections closed for new ones */
	uint64_t late;              /**< connections on which a request arrived after their close */
	uint64_t waited;            /**< requests that waited unread, since the link was full */
	uint64_t refused_unread;    /**< new connections closed unread, since the link was full */
	uint64_t refused_memory;    /**< requests for which there was no memory */
	uint64_t closed_unfinished; /**< connections closed inside a request for new ones */
};

struct comet_http_server;

/** Starts listening on "a.b.c.d:port". @return NULL with error set on failure. */
struct comet_http_server *
comet_http_server_create(void *parent, struct tevent_context *ev, struct comet_timers *timers,
	const char *address, const struct comet_http_server_events *events, void *ctx,
	GError **error) G_GNUC_WARN_UNUSED_RESULT;

/** Sets the counters for the bytes of connections that are accepted from now on. */
void
comet_http_server_set_byte_counters(
	struct comet_http_server *http_server, struct comet_byte_counters *bytes);

void
comet_http_server_set_limits(
	struct comet_http_server *http_server, const struct comet_http_limits *limits);

/** Sets the number of connections beyond which a new one closes the longest idle one; 0: no limit.
 */
void
comet_http_server_set_max_connections(
	struct comet_http_server *http_server, uint32_t max_connections);

/** Sets how the VM's link is shared out; NULL: requests are read as they arrive. Call it before
 * connections are accepted. */
void
comet_http_server_set_link(struct comet_http_server *http_server, struct comet_link_share *link);

/** Sets the bound on what callers occupy, which servers may share; NULL: none. Call it before
 * connections are accepted. */
void
comet_http_server_set_budget(
	struct comet_http_server *http_server, struct comet_caller_budget *budget);

/** Starts draining: responses ask callers to close, and each connection ends with its next
 * response. */
void
comet_http_server_set_draining(struct comet_http_server *http_server);

/** Stops accepting connections. Open ones end with the response in progress. */
void
comet_http_server_stop_listening(struct comet_http_server *http_server);

/** Closes connections without a request. */
void
comet_http_server_close_idle(struct comet_http_server *http_server);

const struct comet_http_server_counts *
comet_http_server_counts(const struct comet_http_server *http_server);

/** @return the bytes of responses that are unsent, on all connections. */
size_t
comet_http_server_unsent_bytes(const struct comet_http_server *http_server);

/** Closes the connection after this response; call it before the response is started. */
void
comet_http_server_close_after_response(struct comet_http_server_request *request);

/** Sends a complete small response. headers: further header lines, each with CRLF, or NULL. */
void
comet_http_server_respond(struct comet_http_server_request *request, unsigned int status,
	const char *headers, const char *body, size_t length);

/** Starts a response. length < 0: unknown, so that the response is chunked. */
void
comet_http_server_start_response(struct comet_http_server_request *request, unsigned int status,
	const char *reason, const char *headers, int64_t length);

void
comet_http_server_send_body(
	struct comet_http_server_request *request, const char *data, size_t length);

/** Completes the response; the request is freed. */
void
comet_http_server_finish_response(struct comet_http_server_request *request);

/** Resets the connection of a response that cannot be completed; the request is freed. */
void
comet_http_server_abort_response(struct comet_http_server_request *request);

/** @return the unsent bytes of this response. */
size_t
comet_http_server_queued_bytes(const struct comet_http_server_request *request);

#endif
