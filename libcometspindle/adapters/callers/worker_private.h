/*
 * worker_private.h
 * what the traffic thread's files share
 */
#ifndef COMETSPINDLE_ADAPTERS_WORKER_PRIVATE_H
#define COMETSPINDLE_ADAPTERS_WORKER_PRIVATE_H

#include <glib.h>
#include <libcometspindle/adapters/endpoints/curl_loop.h>
#include <libcometspindle/adapters/endpoints/endpoint_call.h>
#include <libcometspindle/adapters/callers/http_loop.h>
#include <libcometspindle/adapters/callers/worker.h>
#include <libcometspindle/request.h>
#include <stdbool.h>

/* A stream of the product's own interface is resumed under this path and its request's id. */
#define STREAMS_PATH "/v1/streams/"

struct comet_worker
{
	struct comet_worker_config config;
	GThread *thread;
	struct tevent_context *ev;
	struct comet_mailbox *mailbox;
	struct comet_http_loop *http;
	struct comet_curl_loop *curl;
	struct tevent_timer *sweep;
	GHashTable *calls;    /**< request -> comet_call, submitted or resumed and not over */
	GHashTable *per_team; /**< team id -> open calls */
	uint64_t next_request;
	uint32_t open;   /**< atomic */
	gint64 buffered; /**< atomic */
	bool exiting;
	bool quiesced; /**< new calls are refused */
};

/** State of a call. */
enum comet_call_state
{
	COMET_CALL_READING,    /**< the body is being read */
	COMET_CALL_WAITING,    /**< submitted; the connection is suspended */
	COMET_CALL_RESPONDING, /**< the endpoint's head has arrived; the response is to be queued */
	COMET_CALL_REFUSED,    /**< the control thread refused it; the refusal is to be queued */
	COMET_CALL_STREAMING,  /**< the response is queued, data flows */
};

/** A request of a caller. */
struct comet_call
{
	struct comet_worker *worker;
	struct MHD_Connection *connection; /**< NULL: the caller disconnected */
	enum comet_call_state state;
	bool suspended;
	bool counted;                      /**< in per_team */
	bool listed;                       /**< in calls */
	struct comet_state_snapshot *view; /**< the world this request began in */
	GString *body;
	bool too_large;
	uint64_t request;
	char id[COMET_REQUEST_ID_MAX];
	uint32_t team_id;
	uint32_t pool_id;
	bool is_service;
	bool once;
	bool streaming;
	char *path;    /**< at the endpoint */
	char *forward; /**< body for the endpoint */
	size_t forward_length;
	uint32_t deadline_ms;
	struct comet_endpoint_call *upstream;
	uint32_t endpoint_id;
	unsigned int status;
	char content_type[96];
	GByteArray *out; /**< data for the caller, from out_start on */
	size_t out_start;
	bool upstream_over;
	bool whole;
	bool answered; /**< one answer per request */
	bool closed;   /**< the caller disconnected while it waited */
	enum comet_refusal refusal;
	enum comet_verdict verdict;
	uint32_t retry_after_ms;
	bool resumed;   /**< a caller's resume: not known to the node */
	size_t overlap; /**< of its answer's first bytes: the caller has them already */
};

/* worker_call.c and worker_refuse.c */

/** Parses, checks and submits a call whose body is complete. */
enum MHD_Result
comet_call_begin(struct comet_call *call, const char *url);

/** Suspends the connection until comet_call_wake(). */
void
comet_call_suspend(struct comet_call *call);

/** Resumes the connection. */
void
comet_call_wake(struct comet_call *call);

/** Queues a refusal as JSON with its verdict. */
enum MHD_Result
comet_call_refuse(struct comet_call *call, enum comet_refusal refusal, enum comet_verdict verdict,
	const char *detail, uint32_t retry_after_ms);

/** Sends a message about the call to the control thread. */
void
comet_call_notify_control(struct comet_call *call, struct comet_control_message *message);

/* worker_response.c */

/** Queues the endpoint's response. */
enum MHD_Result
comet_call_respond(struct comet_call *call);

/** Starts the dispatch that the control thread permitted. */
void
comet_call_dispatch(struct comet_call *call, const struct comet_endpoint *endpoint);

/** Reports to the control thread that the caller has disconnected. */
void
comet_call_withdraw(struct comet_call *call);

/** Frees a call whose connection and dispatch have both ended. */
void
comet_call_free_if_over(struct comet_call *call);

/* worker_pages.c */

/** Responds to GET requests that need no call: entries, status, metrics, health. */
enum MHD_Result
comet_worker_respond_page(
	struct comet_worker *worker, struct MHD_Connection *connection, const char *url);

#endif
