/*
 * proxy_request.h
 * one request at a gateway: what its admission, its sendings and its answer share
 */
#ifndef COMETSPINDLE_ADAPTERS_PROXY_REQUEST_H
#define COMETSPINDLE_ADAPTERS_PROXY_REQUEST_H

#include <libcometspindle/adapters/gateway/gateway_private.h>
#include <libcometspindle/gateway/event_stream.h>
#include <libcometspindle/gateway/admission/fingerprint.h>

/** A request from its admission to its end. */
struct comet_proxy_request
{
	struct comet_gateway *gateway;
	struct comet_http_server_request *request;
	struct comet_route_table *table;
	const struct comet_route *route;
	const struct comet_route_team *team; /* NULL: an open route */
	const char *id;
	struct comet_fingerprint fingerprint;
	char *service;
	struct comet_placement_item item;
	struct comet_exchange *exchange;
	struct comet_event_stream *events; /* streams */
	struct comet_timer *undecided;     /* its team's limit is looked at again */
	struct comet_timer *deadline;
	struct comet_timer *silence;
	char *instance;            /* id of where it is now */
	uint64_t process_start_ms; /* life of that instance's process */
	uint32_t incarnation_key;  /* key of that life */
	GList *attempt;            /* its place among the gateway's sendings; NULL: it is nowhere */
	GList *open;               /* its place among the gateway's open requests */
	GByteArray *answer;
	struct comet_http_head *head; /* copy of the answer's head, or NULL */
	uint64_t charge;              /* to its team, in the unit of its limit */
	/** Goes on with it once it is charged. */
	void (*admitted)(struct comet_proxy_request *relay, uint64_t now_us);
	uint32_t owners_tried;   /* to charge it */
	uint32_t quota_owner_vm; /* VM that keeps the team's account; 0: this one charged it itself
				  */
	uint64_t arrived_us;
	uint64_t end_us; /* the caller waits no longer */
	uint64_t sent_us;
	uint64_t first_us; /* first byte of a body; 0: none yet */
	uint64_t last_us;  /* last byte of a body */
	uint64_t began_us; /* first byte of an answer that went on to the caller; 0: none yet */
	uint64_t pause_us; /* longest time between two parts of the answer */
	uint64_t silent_after_us;
	uint64_t unfinished_bytes; /* of an event that the last run left behind */
	uint64_t body_bytes;       /* of the answer to this sending */
	uint32_t attempts;         /* sendings that may have reached an endpoint */
	uint32_t first_count;      /* events when this sending began */
	uint16_t status;           /* of the answer whose head is on its way to the caller */
	char *type;                /* its content type, or NULL */
	bool charged;              /* what it was charged is counted */
	bool may_have_run;
	bool not_run;  /* the answer being read says that it was not run */
	bool started;  /* the answer's head is on its way to the caller */
	bool resuming; /* this sending goes on with a stream that was cut */
	bool paused;
	bool allow_tried; /* it may come to an endpoint that has had it before */
};

bool
comet_proxy_request_is_stream(const struct comet_proxy_request *relay);

/** Where the request is now; NULL when nowhere, or when that life of the endpoint is over. */
struct comet_instance *
comet_proxy_request_instance(const struct comet_proxy_request *relay);

/** Has this process run all the time since the sending? Else what passed is not the endpoint's
 * time: a VM that was suspended took its endpoints for slow. */
bool
comet_proxy_request_timing_is_valid(const struct comet_proxy_request *relay);

/** Events that have gone on to the caller. */
uint32_t
comet_proxy_request_events(const struct comet_proxy_request *relay);

/** Milliseconds between two times. */
uint64_t
comet_proxy_request_elapsed_ms(uint64_t then_us, uint64_t now_us);

/** Counts what became of a request; reason is a stable code. */
void
comet_proxy_request_count_end(const struct comet_proxy_request *relay, const char *reason);

/** Ends what is under way at an endpoint, and tells what became of it. */
void
comet_proxy_request_end_attempt(
	struct comet_proxy_request *relay, enum comet_dispatch_result result);

/** The process of an endpoint has started again: what the one before it had is lost. */
void
comet_proxy_request_probe_previous_incarnation(
	struct comet_gateway *gateway, const char *id, uint64_t process_start_ms);

/** Takes a caller's request: admits and places it, or answers it (gateway_admit.c). */
void
comet_proxy_request_handle(void *ctx, struct comet_http_server_request *request);

/** What it is to be charged, and to which team; not on an open route. */
struct comet_quota_request
comet_proxy_request_charge_amount(const struct comet_proxy_request *relay);

/** Charges it to its team, here or at the VM that keeps the team's account, and then goes on with
 * admitted, or refuses it (gateway_charges.c). */
void
comet_proxy_request_charge(struct comet_proxy_request *relay,
	void (*admitted)(struct comet_proxy_request *relay, uint64_t now_us));

/** Answers those that wait for an endpoint and may not be sent to any more, if some were barred. */
void
comet_proxy_request_refuse_all_quarantined(struct comet_gateway *gateway);

/** Answers with an error of our own; retry_after_ms: 0 for none. Frees it. */
void
comet_proxy_request_respond_error(struct comet_proxy_request *relay, unsigned int status,
	const char *reason, uint32_t retry_after_ms);

/** The request is over: frees it. The caller has its answer, or is gone. */
void
comet_proxy_request_close(struct comet_proxy_request *relay);

/** Is it known to crash endpoints, so that it must not be sent to any? */
bool
comet_proxy_request_is_quarantined(const struct comet_proxy_request *relay);

/** Answers that it is not to be tried again, since it crashes endpoints. Frees it. */
void
comet_proxy_request_refuse_quarantined(struct comet_proxy_request *relay);

/** Answers that it was not run, or, if it may have been, that nobody knows. Frees it. */
void
comet_proxy_request_refuse(
	struct comet_proxy_request *relay, const char *reason, uint32_t retry_after_ms);

/** The answer cannot be finished, which the caller must see. Frees it. */
void
comet_proxy_request_abort(struct comet_proxy_request *relay, const char *reason);

/** Ends it with what is true: cut, not run, or status if it may have run. Frees it. */
void
comet_proxy_request_fail(
	struct comet_proxy_request *relay, unsigned int status, const char *reason);

/** May it be sent once more? Takes from the retry budget. */
bool
comet_proxy_request_may_retry(struct comet_proxy_request *relay);

/** Places it again. */
void
comet_proxy_request_retry(struct comet_proxy_request *relay, const char *reason);

/** A sending failed in a way that may have run it: repeats, resumes or gives up. */
void
comet_proxy_request_attempt_failed(
	struct comet_proxy_request *relay, enum comet_dispatch_result result);

/** The endpoint said that it has not run it. */
void
comet_proxy_request_attempt_refused(struct comet_proxy_request *relay);

/** What an endpoint's answer is handed to (gateway_answer.c). */
extern const struct comet_exchange_events comet_proxy_request_response_events;

#endif
