/*
 * proxy_request.h
 * state of a proxy request, shared by its admission, its attempts and its response
 */
#ifndef COMETSPINDLE_ADAPTERS_PROXY_REQUEST_H
#define COMETSPINDLE_ADAPTERS_PROXY_REQUEST_H

#include <libcometspindle/adapters/gateway/attempt.h>
#include <libcometspindle/adapters/gateway/gateway_private.h>
#include <libcometspindle/gateway/event_stream.h>
#include <libcometspindle/gateway/header_names.h>
#include <libcometspindle/gateway/admission/fingerprint.h>

/** A caller's request, until it is answered or its caller disconnects. */
struct comet_proxy_request
{
	struct comet_gateway *gateway;
	struct comet_http_server_request *request;
	struct comet_route_table *table;
	const struct comet_route *route;
	const struct comet_route_team *team; /* NULL on an open route */
	const char *id;
	struct comet_fingerprint fingerprint;
	struct comet_fingerprint parts[COMET_HEADER_PARTS_MAX]; /* shared parts of its prompt */
	uint32_t n_parts;
	bool part_trial; /* to be sent once although its prompt has quarantined parts */
	char *service;
	struct comet_placement_item item;
	struct comet_attempt *attempt;         /* the current attempt, or NULL */
	struct comet_event_stream *events;     /* NULL unless the route is a streaming route */
	struct comet_timer *quota_retry_timer; /* repeats the quota check during discovery */
	struct comet_timer *deadline_timer;
	uint64_t stream_key; /* comet_stream_key() of its stream; 0: not known */
	/** Called once the version of its stream is known. */
	void (*on_version_known)(struct comet_proxy_request *proxy, uint64_t now_us);
	/** Called if it is not known. */
	void (*on_version_unknown)(struct comet_proxy_request *proxy, uint32_t retry_after_ms);
	uint32_t peer_version_id;  /* version stated by the VM that forwarded the request */
	bool resolving;            /* the version of its stream is being looked up */
	const char *retry_reason;  /* code of the reason of a held retry */
	GList *open_link;          /* link in gateway->open_requests */
	GList *held_link;          /* link in gateway->held_retries, or NULL */
	GByteArray *buffered_body; /* body of a plain response until it is forwarded */
	uint64_t quota_amount;     /* charged to the team, in the unit of its limit */
	/** Called once the request has been charged. */
	void (*on_admitted)(struct comet_proxy_request *proxy, uint64_t now_us);
	uint32_t owners_tried;   /* owners that were sent a quota request */
	uint32_t quota_owner_vm; /* VM that charged the request; 0 if this VM did */
	uint64_t arrived_us;
	uint64_t deadline_us;       /* the caller stops waiting */
	uint64_t response_start_us; /* first body byte of any attempt; 0 if none yet */
	uint64_t max_gap_us;        /* longest time between two parts of the response */
	uint64_t unfinished_bytes;  /* of an event that the previous attempt left incomplete */
	uint32_t last_peer_vm;      /* VM through which the last such attempt went; 0: none */
	uint32_t peer_attempts;
	uint32_t attempts;        /* attempts that may have reached an endpoint */
	uint16_t response_status; /* status that was sent to the caller */
	char *content_type;       /* content type that was sent to the caller, or NULL */
	bool from_peer;           /* received from another VM: not sent through a further one */
	bool quota_charged;       /* has to be refunded if the request is not run */
	bool may_have_run;
	bool response_started; /* the response head was sent to the caller */
	bool resuming;         /* this attempt resumes a stream that was interrupted */
	bool held_after_last;  /* held although its attempts are used up */
	bool has_retry_token;  /* the retry budget was charged for the next attempt */
	bool replacing; /* the next attempt is held or requests a slot while this one goes on */
	uint64_t replacement_requested_us;
	bool retry_same_endpoint; /* may be sent to an endpoint that was tried before */
};

bool
comet_proxy_request_is_stream(const struct comet_proxy_request *proxy);

/** Returns the endpoint of the current attempt. Returns NULL if there is none, or if the endpoint's
 * process has restarted since. */
struct comet_instance *
comet_proxy_request_instance(const struct comet_proxy_request *proxy);

/** Returns false if this process was paused since the attempt was sent. Times measured across such
 * a pause must not be used: a VM that had been suspended classified its endpoints as slow. */
bool
comet_proxy_request_timing_is_valid(const struct comet_proxy_request *proxy);

/** Returns the number of events that were forwarded to the caller. */
uint32_t
comet_proxy_request_events(const struct comet_proxy_request *proxy);

/** Returns the milliseconds between two times in microseconds. */
uint64_t
comet_proxy_request_elapsed_ms(uint64_t then_us, uint64_t now_us);

/** Returns the time until the caller's deadline in milliseconds, at least 1, as it is sent to an
 * endpoint. */
uint64_t
comet_proxy_request_remaining_ms(const struct comet_proxy_request *proxy, uint64_t now_us);

/** Counts the end of a request under reason, which is a stable code. */
void
comet_proxy_request_count_end(const struct comet_proxy_request *proxy, const char *reason);

/** Probes the connections of attempts that were sent to an earlier process of an endpoint. */
void
comet_proxy_request_probe_previous_incarnation(
	struct comet_gateway *gateway, const char *id, uint64_t process_start_ms);

/** Handles a caller's request: admits and queues it, or refuses it (gateway_admit.c). */
void
comet_proxy_request_handle(void *ctx, struct comet_http_server_request *request);

/** Returns the team, rank and amount to charge. Must not be called on an open route. */
struct comet_quota_request
comet_proxy_request_charge_amount(const struct comet_proxy_request *proxy);

/** Charges the request to its team, on this VM or on the owner of the team's quota, and then calls
 * on_admitted or refuses the request (gateway_quota.c). */
void
comet_proxy_request_charge(struct comet_proxy_request *proxy,
	void (*on_admitted)(struct comet_proxy_request *proxy, uint64_t now_us));

/** Refuses the waiting requests that have been quarantined since the last call. */
void
comet_proxy_request_refuse_all_quarantined(struct comet_gateway *gateway);

/** Retry-After of a VM that is stopping, in milliseconds: the other VMs can take the request
 * immediately. */
#define COMET_STOPPING_RETRY_MS 50

/** Gives all open requests their final answers because this process ends. */
void
comet_proxy_request_end_all(struct comet_gateway *gateway);

/** Answers with an error of the gateway and frees the request. No Retry-After header is sent if
 * retry_after_ms is 0. */
void
comet_proxy_request_respond_error(struct comet_proxy_request *proxy, unsigned int status,
	const char *reason, uint32_t retry_after_ms);

/** Frees a request whose caller has been answered or has disconnected. */
void
comet_proxy_request_close(struct comet_proxy_request *proxy);

/** Returns whether the request is known to crash endpoints and must not be sent to any. */
bool
comet_proxy_request_is_quarantined(const struct comet_proxy_request *proxy);

/** Returns whether the request, or a part of its prompt, is suspected of having just crashed as
 * many endpoints as would quarantine it. It must not be sent until that is known. */
bool
comet_proxy_request_is_undecided(const struct comet_proxy_request *proxy, uint64_t now_us);

/** Returns whether a part of the prompt is known to crash endpoints, and this is not its trial. */
bool
comet_proxy_request_has_quarantined_part(const struct comet_proxy_request *proxy);

/** Refuses a request that crashes endpoints, with a status that callers do not retry, or one with
 * such a part, with a time to retry after: a part is inferred from several requests. Frees it. */
void
comet_proxy_request_refuse_quarantined(struct comet_proxy_request *proxy);

/** Answers 503 if the request was not run, or 502 if it may have been run. Frees it. */
void
comet_proxy_request_refuse(
	struct comet_proxy_request *proxy, const char *reason, uint32_t retry_after_ms);

/** Aborts a response that cannot be completed, so that the caller sees it as incomplete. Frees the
 * request. */
void
comet_proxy_request_abort(struct comet_proxy_request *proxy, const char *reason);

/** Ends a request that has failed: aborts a response that was started, refuses a request that was
 * not run, and answers any other with status. Frees it. */
void
comet_proxy_request_fail(
	struct comet_proxy_request *proxy, unsigned int status, const char *reason);

/** Ends a resumed request whose stream's version is not known. Frees it. */
void
comet_proxy_request_version_unknown(struct comet_proxy_request *proxy, uint32_t retry_after_ms);

/** Returns whether the request may be sent again, and if so takes a token of the retry budget, once
 * for each attempt. */
bool
comet_proxy_request_may_retry(struct comet_proxy_request *proxy);

/** Sends the request through another VM if this VM reaches no endpoint (gateway_peer_attempt.c).
 * @return false if this VM reaches endpoints, or if there is no further VM to send it through */
bool
comet_proxy_request_send_through_peer(struct comet_proxy_request *proxy);

/** How a complete response of another VM is handled. */
enum comet_peer_response
{
	COMET_PEER_RESPONSE_FORWARDED, /**< like the response of an endpoint */
	COMET_PEER_RESPONSE_HANDLED,   /**< a refusal, which has been handled */
	COMET_PEER_RESPONSE_BROKEN,    /**< the attempt has failed */
};

/** Handles a refusal by another VM, and tells what to do with another response.
 * @param from_endpoint the response has the stamp of an endpoint */
enum comet_peer_response
comet_proxy_request_handle_peer_response(struct comet_proxy_request *proxy, bool from_endpoint);

/** Returns whether a response with this status that is not an endpoint's own promises that the
 * request has not run and will not. */
bool
comet_proxy_request_promises_not_run(uint16_t status);

/** Refunds the team's quota for a request that was not run. */
void
comet_proxy_request_refund_quota(struct comet_proxy_request *proxy);

/** Queues the request for a further attempt, after a check of the links that is running. */
void
comet_proxy_request_retry(struct comet_proxy_request *proxy, const char *reason);

/** Handles a failed attempt that may have run the request: retries, resumes or gives up. */
void
comet_proxy_request_attempt_failed(
	struct comet_proxy_request *proxy, enum comet_dispatch_result result);

/** Handles a response that says that the endpoint did not run the request. */
void
comet_proxy_request_attempt_refused(struct comet_proxy_request *proxy);

/** Applies the load header of a response of the current attempt (gateway_speed.c). */
void
comet_proxy_request_load_stated(struct comet_proxy_request *proxy, struct comet_instance *instance,
	const char *load_text, uint64_t now_us);

/** Takes a sample of the endpoint's speed once the current attempt has enough events, for this VM
 * and for an owner that wants it (gateway_speed.c). */
void
comet_proxy_request_sample(struct comet_proxy_request *proxy, uint64_t now_us);

/** Handlers of an endpoint's response (gateway_answer.c). */
extern const struct comet_exchange_events comet_proxy_request_response_events;

#endif
