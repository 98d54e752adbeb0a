/*
 * instance.h
 * one incarnation of an endpoint's process: its load, relative latency and health
 *
 * This module uses no sockets and no clock: the caller passes the time.
 */
#ifndef COMETSPINDLE_GATEWAY_INSTANCE_H
#define COMETSPINDLE_GATEWAY_INSTANCE_H

#include <glib.h>
#include <libcometspindle/gateway/endpoints/advertised_limit.h>
#include <libcometspindle/gateway/endpoints/brittleness.h>
#include <libcometspindle/gateway/endpoints/current_speed.h>
#include <libcometspindle/gateway/endpoints/slow_start.h>
#include <stdbool.h>
#include <stdint.h>

/** Size of a request, as far as it is known in advance. */
struct comet_request_size
{
	uint32_t prompt_tokens;
	uint32_t output_tokens;     /**< expected; 0 for plain requests */
	uint32_t max_output_tokens; /**< upper limit set by the client; 0: unknown */
	bool stream;
};

/** Result of a dispatch, from which load, latency and health are updated. */
enum comet_dispatch_result
{
	COMET_DISPATCH_SERVED,      /**< complete response */
	COMET_DISPATCH_ERROR,       /**< the endpoint ran the request and responded with an error */
	COMET_DISPATCH_REFUSED,     /**< the endpoint was full and did not run the request */
	COMET_DISPATCH_BROKEN,      /**< the connection failed before the end of the response */
	COMET_DISPATCH_SILENT,      /**< the endpoint sent nothing before the timeout */
	COMET_DISPATCH_UNREACHABLE, /**< no connection was established */
	COMET_DISPATCH_CANCELLED,   /**< the caller left; no effect on the endpoint's health */
	COMET_DISPATCH_WRONG_INSTANCE, /**< another process uses its address */
};

struct comet_latency_model;

/**
 * One incarnation of an endpoint's process. A restarted process has no requests and no cache of
 * its predecessor, so that no state is carried over to the next incarnation.
 */
struct comet_instance
{
	char *id;
	uint64_t process_start_ms; /**< process start by its own clock; 0: unknown */
	uint32_t key;     /**< of this incarnation: comet_instance_key(id, process_start_ms) */
	uint32_t id_hash; /**< the same for all incarnations: comet_hash_name(id) */
	char *service;
	struct comet_latency_model *latency_model; /**< shared by its service */
	char *address;
	char *zone;
	bool near;              /**< in this VM's availability zone */
	uint32_t region;        /**< of its zone; COMET_REGION_UNKNOWN if that is not configured */
	char *software_version; /**< empty if the directory does not state it */
	uint32_t version_id;    /**< comet_hash_name(software_version), never 0 */
	uint32_t slots;
	uint32_t shard;         /**< shard that it belongs to (shards.h) */
	bool draining;          /**< the directory says that it leaves */
	uint64_t leaving_us;    /**< when a response first said that it leaves, to whichever VM; 0:
				   none did */
	uint64_t rest_until_us; /**< it wants no requests from this VM before then */
	bool evacuated;         /**< its zone is evacuated: it receives no new requests */
	bool listed;            /**< the directory lists it */
	struct comet_slow_start_allowance cold_allowance; /**< of this VM while it is cold */
	uint64_t expire_us; /**< removed at this time, if unlisted after an outage; 0: no expiry */
	uint64_t warm_until_us; /**< end of its warm-up, during which it is slower */
	struct comet_slow_start slow_start;
	const struct comet_slow_start_config *slow_start_config; /**< shared by its service */
	struct comet_advertised_limit limit;                     /**< on its request rate */
	struct comet_brittleness brittleness;
	struct comet_current_speed speed; /**< at present, as it states */
	GHashTable *leaving;              /**< set of the instances that said that they leave */
	GHashTable *limited;              /**< set of the instances with a limit to report */
	GHashTable *busy;                 /**< set of the instances with dispatches of this VM */
	uint32_t local_requests;          /**< running dispatches of this VM */
	uint32_t local_prompt_tokens;     /**< of own dispatches without a first event */
	uint32_t remote_requests;         /**< running dispatches of other VMs, from gossip */
	uint32_t remote_prompt_tokens;    /**< of dispatches of other VMs without a first event */
	double granted_prompt_tokens;     /**< of grants to other VMs, not processed yet at
					   * granted_us
					   */
	uint64_t granted_us;
	const uint64_t *gossip_us; /**< time of the newest gossip about the load of any instance;
				      0: none */
	uint32_t reported_total;   /**< running and queued requests, from its last response */
	uint32_t reported_own;     /**< local_requests at that time */
	uint64_t reported_us;      /**< time of that response; 0: none */
	double relative_latency;   /**< learned; see comet_instance_relative_latency() */
	double recorded_latency;   /**< as recorded in the latency model; 0: no samples yet */
	uint64_t needed_us;        /**< when it was last picked, or waited for, for a request that a
				      slower instance would have served late; 0: never */
	uint32_t samples;          /**< number of samples of the relative latency */
	uint64_t last_seen_us;     /**< last time it sent data on any connection; 0: never */
	uint32_t failures;         /**< consecutive */
	double error_rate;         /**< moving average, 0 to 1 */
	uint64_t ejected_until_us; /**< no requests before then, then a probe; 0: not ejected */
	uint64_t ejected_by_failure_us; /**< when failures last ejected it; 0: never */
	bool probe_in_flight;
	uint64_t probe_started_us; /**< time at which the probe was sent or granted */
	bool replaced;             /**< another process uses its address: this one has ended */
	uint32_t refusals;         /**< consecutive */
	uint64_t full_until_us;    /**< end of the backoff after it refused a request as full */
};

/** Returns the 32-bit key of an incarnation, which is the same on all VMs and never 0. */
uint32_t
comet_instance_key(const char *id, uint64_t process_start_ms);

/** Estimates the number of requests at an instance, of this VM and of the others. */
uint32_t
comet_instance_load(const struct comet_instance *instance, uint64_t now_us);

/**
 * Estimates the number of requests at an instance whose owner is this VM. Its
 * own grants count at once; the load that the instance reported counts only
 * where it is higher.
 */
uint32_t
comet_instance_owned_load(const struct comet_instance *instance, uint64_t now_us);

/** Records that this VM granted a slot to another VM, for a prompt of prompt_tokens. */
void
comet_instance_slot_granted(
	struct comet_instance *instance, uint32_t prompt_tokens, uint64_t now_us);

/** Records that another VM released a slot. */
void
comet_instance_slot_released(struct comet_instance *instance);

/** Returns the latency relative to the latency model of its service; that of a typical endpoint as
 * long as there are no samples. */
double
comet_instance_relative_latency(const struct comet_instance *instance);

/** Returns the latency relative to that of a typical endpoint of its service, for logs. */
double
comet_instance_relative_to_typical(const struct comet_instance *instance);

/** Events of a stream after which it is a sample of the endpoint's speed although it has not ended:
 * enough that single pauses for the prompts of other requests do not decide, and no more than short
 * responses have. */
#define COMET_INSTANCE_SAMPLE_EVENTS 8

/** @return whether there are too few samples to rely on, so that samples of streams that have not
 * ended are of use. */
bool
comet_instance_wants_samples(const struct comet_instance *instance);

/** Updates the relative latency and the latency model from a response. A plain response with
 * taken_us 0 and a stream of fewer than two events are ignored.
 * @param taken_us time of a plain response, or from the first to the last event, without the stated
 * slowdown (comet_current_speed_usual_us()) */
void
comet_instance_add_sample(
	struct comet_instance *instance, bool stream, uint64_t taken_us, uint32_t events);

/** Estimates the time until the first event (or the complete plain response) and until the end. */
void
comet_instance_estimate(const struct comet_instance *instance,
	const struct comet_request_size *size, uint64_t now_us, uint64_t *first_us,
	uint64_t *total_us);

/** Estimates how many prompt tokens the instance reads before those of a request that is sent now.
 */
uint32_t
comet_instance_prompt_tokens_ahead(const struct comet_instance *instance, uint64_t now_us);

/** Estimates how long a typical request of its service occupies a slot of this instance. */
double
comet_instance_slot_us(const struct comet_instance *instance, uint64_t now_us);

/** Records that this VM selected the instance, for its own request or for a grant to another VM. If
 * the instance is ejected, this request is its probe. */
void
comet_instance_selected(struct comet_instance *instance, uint64_t now_us);

/** Starts slow start for an instance that may be cold: after a start, or after a time without
 * requests. */
void
comet_instance_begin_slow_start(struct comet_instance *instance, uint64_t now_us);

/** Starts a cold period that is only presumed (comet_slow_start_presume()). */
void
comet_instance_presume_cold(struct comet_instance *instance, uint64_t now_us);

/** @return whether a probe is in flight and has not timed out. */
bool
comet_instance_is_probing(const struct comet_instance *instance, uint64_t now_us);

/** Records the start of a dispatch. */
void
comet_instance_dispatch_started(
	struct comet_instance *instance, const struct comet_request_size *size);

/** Marks a time that is excluded from learning. */
#define COMET_LATENCY_UNKNOWN 0

/** Records that the first event of a dispatch arrived after first_us, and that the endpoint read
 * tokens_ahead prompt tokens of other requests before. */
void
comet_instance_first_event(struct comet_instance *instance, const struct comet_request_size *size,
	uint32_t tokens_ahead, uint64_t first_us, uint64_t now_us);

/** Records the end of a dispatch. @param sent_us when it was sent; 0: not known. @return true when
 * the instance was ejected, readmitted or found to be replaced. */
bool
comet_instance_dispatch_ended(struct comet_instance *instance,
	const struct comet_request_size *size, bool had_first, enum comet_dispatch_result result,
	uint64_t stream_us, uint32_t events, uint64_t sent_us, uint64_t now_us);

/** Records the result of a dispatch of another VM. @return as comet_instance_dispatch_ended. */
bool
comet_instance_remote_result(
	struct comet_instance *instance, enum comet_dispatch_result result, uint64_t now_us);

/** Records that the instance sent data on any connection. */
void
comet_instance_seen(struct comet_instance *instance, uint64_t now_us);

/**
 * Ejects an instance if it has sent nothing on any connection since since_us.
 * One dispatch has received no data since then; if other connections have, the
 * request is slow, not the instance. @return whether the instance is ejected.
 */
bool
comet_instance_eject_if_silent(struct comet_instance *instance, uint64_t since_us, uint64_t now_us);

/** Records what a response of the instance to this VM stated about a limit on its request rate.
 * @param max_per_s negative: no limit
 * @return whether a limit appeared, was withdrawn or changed considerably */
bool
comet_instance_limit_advertised(struct comet_instance *instance, double max_per_s, uint64_t now_us);

/** @return whether the instance accepts no new requests, whichever VM they come from, because it
 * leaves. This is final for an incarnation: the directory may list it as ready until it ends. */
bool
comet_instance_is_leaving(const struct comet_instance *instance);

/** Records that a response of the instance to any VM said that it leaves.
 * @param observed_us when the response arrived
 * @return whether this VM did not know it */
bool
comet_instance_left(struct comet_instance *instance, uint64_t observed_us);

/** Records that the instance wants no requests from this VM for rest_us. Other VMs may go on. */
void
comet_instance_rest_requested(struct comet_instance *instance, uint64_t rest_us, uint64_t now_us);

/** @return whether the instance wants no requests from this VM now. */
bool
comet_instance_is_resting(const struct comet_instance *instance, uint64_t now_us);

/** Records the number of running and queued requests that a response of the instance reported. */
void
comet_instance_load_reported(struct comet_instance *instance, uint32_t total, uint64_t now_us);

const char *
comet_dispatch_result_name(enum comet_dispatch_result result);

#endif
