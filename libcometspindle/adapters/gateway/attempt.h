/*
 * attempt.h
 * an attempt of a proxy request: one exchange with an endpoint, or with another VM
 */
#ifndef COMETSPINDLE_ADAPTERS_ATTEMPT_H
#define COMETSPINDLE_ADAPTERS_ATTEMPT_H

#include <libcometspindle/adapters/endpoints/upstream.h>
#include <libcometspindle/gateway/endpoints/instance.h>
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/** Time, in microseconds, after which a silent attempt of a started response is checked again if it
 * cannot be replaced yet: a part of the shortest silence (600 ms), and longer than an owner takes
 * to answer a slot request (40 ms). */
#define COMET_SILENCE_RECHECK_US 200000

struct comet_attempt;
struct comet_proxy_request;

/** What differs between attempts at endpoints and attempts through other VMs. */
struct comet_attempt_type
{
	/** Sends the request. @param instance the endpoint; NULL if it goes through another VM */
	void (*begin)(
		struct comet_attempt *attempt, struct comet_instance *instance, uint64_t now_us);
	/** Applies what the head of the response states, before the response is forwarded. */
	void (*forward)(
		struct comet_attempt *attempt, const struct comet_http_head *head, uint64_t now_us);
	/** Returns the result of an attempt that is given up because its endpoint is silent, or
	 * because the VM that it goes through is to be replaced. */
	enum comet_dispatch_result (*give_up)(const struct comet_attempt *attempt);
	/** Records the result and releases the slot. */
	void (*end)(
		struct comet_attempt *attempt, enum comet_dispatch_result result, uint64_t now_us);
};

struct comet_attempt
{
	const struct comet_attempt_type *type;
	struct comet_proxy_request *proxy;
	struct comet_exchange *exchange; /* NULL once it has ended */
	struct comet_timer *silence_timer;
	void (*on_silence)(void *proxy); /* checks whether the endpoint is silent; NULL: never */
	uint64_t silence_timeout_us;
	char *instance_id;            /* id of the endpoint, or address of the VM */
	uint64_t process_start_ms;    /* process start of the endpoint */
	uint32_t incarnation_key;     /* key of that incarnation */
	uint32_t version_id;          /* software version when the request was sent; through a VM:
					 as stated in the response, 0 before */
	uint32_t owner_vm;            /* VM that granted the slot; 0: none */
	bool sample_wanted;           /* that VM wants a sample before the end */
	uint32_t peer_vm;             /* VM through which the attempt goes; 0: none */
	GList *link;                  /* link in gateway->active_attempts */
	struct comet_http_head *head; /* copy of the response head, or NULL */
	uint64_t sent_us;
	uint64_t first_byte_us; /* first body byte; 0 if none yet */
	uint64_t last_byte_us;  /* last bytes of the response; 0 if none yet */
	uint64_t body_bytes;    /* body bytes received */
	uint32_t prior_events;  /* events forwarded before this attempt */
	uint32_t first_events;  /* events that arrived with the first one; 0: none yet */
	bool part_trial;        /* the trial of quarantined parts of the prompt */
	bool parts_served;      /* the parts of the prompt count as served */
	bool sampled;           /* a sample of the endpoint's speed is done */
	bool not_executed;      /* the response says that the endpoint did not run the request */
	bool silence_reported;  /* its silence has been reported to the check of the links */
	bool upstream_paused;   /* reading is paused for a slow caller */
	/* Prompt tokens of other requests that the endpoint was to read first. */
	uint32_t prompt_tokens_ahead;
	/* Time of the last activity before the silence that was checked last; 0: none. A silence
	 * ejects the endpoint at its first check only. */
	uint64_t ejected_for_us;
};

/** Creates an attempt, which becomes the current one of the request, and counts the request as sent
 * at now_us. There must be no current attempt. The caller then calls the type's begin(). */
struct comet_attempt *
comet_attempt_create(
	struct comet_proxy_request *proxy, const struct comet_attempt_type *type, uint64_t now_us);

/** Sends the request to an endpoint, whose slot the placement item holds. */
void
comet_attempt_begin_at_endpoint(
	struct comet_proxy_request *proxy, struct comet_instance *instance, uint64_t now_us);

/** Sets the silence timer of the attempt anew, to delay_us. An attempt without on_silence() gets
 * none. */
void
comet_attempt_check_silence_after(struct comet_attempt *attempt, uint64_t delay_us);

/** Removes the request from those that are held until a check of the links ends, if it is held. */
void
comet_proxy_request_unhold(struct comet_proxy_request *proxy);

/** Logs and counts that an attempt, which has ended, is replaced. @param reason a stable code */
void
comet_proxy_request_log_replaced(struct comet_proxy_request *proxy, const char *reason);

/** Ends the silent attempt right before the next one is sent, which resumes the response if it has
 * started. Does nothing if there is no current attempt. */
void
comet_proxy_request_give_up_replaced(struct comet_proxy_request *proxy);

/** Cancels the replacement of the current attempt, which goes on and is checked again later. Does
 * nothing if it is not being replaced. @param reason a stable code for the log */
void
comet_proxy_request_cancel_replacement(struct comet_proxy_request *proxy, const char *reason);

/** Ends the current attempt of a request: records its result and releases the slot. */
void
comet_proxy_request_end_attempt(
	struct comet_proxy_request *proxy, enum comet_dispatch_result result);

#endif
