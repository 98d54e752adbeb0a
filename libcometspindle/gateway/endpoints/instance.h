/*
 * instance.h
 * one life of an endpoint's process: what runs there, how fast, how healthy
 *
 * No sockets and no clock in here: times are passed in.
 */
#ifndef COMETSPINDLE_GATEWAY_INSTANCE_H
#define COMETSPINDLE_GATEWAY_INSTANCE_H

#include <libcometspindle/gateway/endpoints/slow_start.h>
#include <stdbool.h>
#include <stdint.h>

/** The size of a request, as far as it is known. */
struct comet_request_size
{
	uint32_t prompt_tokens;
	uint32_t output_tokens; /**< expected; 0 for plain requests */
	uint32_t output_most;   /**< most that it may generate; 0: not told */
	bool stream;
};

/** How a dispatch ended, for what is learned from it. */
enum comet_dispatch_result
{
	COMET_DISPATCH_SERVED,         /**< a whole answer */
	COMET_DISPATCH_ERROR,          /**< it ran and failed there */
	COMET_DISPATCH_REFUSED,        /**< full: not run */
	COMET_DISPATCH_BROKEN,         /**< the connection broke */
	COMET_DISPATCH_SILENT,         /**< no word in a time in which there should be one */
	COMET_DISPATCH_UNREACHED,      /**< no connection */
	COMET_DISPATCH_CANCELLED,      /**< the caller left: says nothing of the endpoint */
	COMET_DISPATCH_WRONG_INSTANCE, /**< another process has its address */
};

struct comet_latency_model;

/**
 * One life of an endpoint's process. A process that starts again under its id holds and knows
 * nothing of before, so that nothing here outlives it.
 */
struct comet_instance
{
	char *id;
	uint64_t process_start_ms; /**< when its process started, by its own clock; 0: not told */
	uint32_t key;              /**< of this life: comet_instance_key(id, process_start_ms) */
	uint32_t place;            /**< of all its lives: comet_hash_name(id) */
	char *service;
	struct comet_latency_model *latency_model; /**< of its service */
	char *address;
	char *zone;
	bool near; /**< it is in this VM's zone */
	uint32_t slots;
	uint32_t shard; /**< it belongs to (shards.h) */
	bool draining;
	bool evacuated;         /**< its zone is: it gets no new work */
	bool listed;            /**< the directory names it */
	uint64_t expire_us;     /**< unlisted during an outage: dropped then; 0: not so */
	uint64_t warm_until_us; /**< slow until then */
	struct comet_slow_start start;
	const struct comet_slow_start_config *start_bounds; /**< of its service */
	uint32_t own;                                       /**< our dispatches there */
	uint32_t local_prompt_tokens; /**< prompt tokens of ours whose first event is not there */
	uint32_t others;              /**< dispatches of other VMs, from their views */
	uint32_t remote_prompt_tokens;
	double granted_prompt_tokens; /**< prompt tokens granted to others and not read yet, at
				       * granted_us
				       */
	uint64_t granted_us;
	uint64_t gossip_us;      /**< age of the newest of these views */
	uint32_t reported_total; /**< running and waiting, as its last answer told */
	uint32_t reported_own;   /**< ours at that time */
	uint64_t reported_us;    /**< when; 0: never */
	double pace;             /**< time it takes, relative to its service's usual */
	uint32_t samples;
	uint64_t last_seen_us;     /**< when it last sent anything on any connection; 0: never */
	uint32_t failures;         /**< in a row */
	double error_rate;         /**< of late, 0 to 1 */
	uint64_t ejected_until_us; /**< no work but one trial before then; 0: trusted */
	bool probe_in_flight;
	uint64_t probe_started_us; /**< when the trial began */
	bool replaced;          /**< another process has its address: this one is gone for good */
	uint32_t refusals;      /**< in a row */
	uint64_t full_until_us; /**< it refused as full: no work before then */
};

/** 32-bit id of a life, the same on all VMs; 0 is never returned. */
uint32_t
comet_instance_key(const char *id, uint64_t process_start_ms);

/** Requests that are believed to be at an instance now, ours and others'. */
uint32_t
comet_instance_load(const struct comet_instance *instance, uint64_t now_us);

/**
 * Requests at an instance that this VM keeps count of: what it granted is known
 * at once, and what the instance told is only taken where it is more.
 */
uint32_t
comet_instance_owned_load(const struct comet_instance *instance, uint64_t now_us);

/** Another VM was granted a slot there, for a prompt of so many tokens. */
void
comet_instance_slot_granted(
	struct comet_instance *instance, uint32_t prompt_tokens, uint64_t now_us);

/** Another VM has left a slot there. */
void
comet_instance_slot_released(struct comet_instance *instance);

/** Learns the speed of an instance from a whole answer: a plain one within taken_us, or a stream
 * with so many events within that; 0: nothing is to be learned. */
void
comet_instance_learn(
	struct comet_instance *instance, bool stream, uint64_t taken_us, uint32_t events);

/** Expected time until the first event (or the whole plain answer) and until the end. */
void
comet_instance_estimate(const struct comet_instance *instance, const struct comet_request_size *job,
	uint64_t now_us, uint64_t *first_us, uint64_t *total_us);

/** How long a usual request of its service holds a slot of an instance. */
double
comet_instance_slot_us(const struct comet_instance *instance);

/** It was chosen, by this VM or for one that it grants a slot to: if it is doubted, this is its
 * trial. */
void
comet_instance_selected(struct comet_instance *instance, uint64_t now_us);

/** It may be cold: it has just started, or gets work again. */
void
comet_instance_may_be_cold(struct comet_instance *instance, uint64_t now_us);

/** @return whether the end of a trial is awaited. */
bool
comet_instance_is_probing(const struct comet_instance *instance, uint64_t now_us);

/** A dispatch starts. */
void
comet_instance_started(struct comet_instance *instance, const struct comet_request_size *job);

/** A time from which nothing is to be learned. */
#define COMET_INSTANCE_UNMEASURED 0

/** Its first event came after first_us. */
void
comet_instance_first_event(
	struct comet_instance *instance, const struct comet_request_size *job, uint64_t first_us);

/** A dispatch is over. @return true when trust in the instance changed. */
bool
comet_instance_ended(struct comet_instance *instance, const struct comet_request_size *job,
	bool had_first, enum comet_dispatch_result result, uint64_t stream_us, uint32_t events,
	uint64_t now_us);

/** Another VM tells how a dispatch of its own there ended. @return true when trust in it changed.
 */
bool
comet_instance_remote_result(
	struct comet_instance *instance, enum comet_dispatch_result result, uint64_t now_us);

/** It sent something, on whatever connection. */
void
comet_instance_seen(struct comet_instance *instance, uint64_t now_us);

/**
 * Nothing was heard of a dispatch since since_us. If nothing else was heard of
 * the instance either, it gets no more work until a trial; else the request is
 * slow, not the instance. @return whether it is doubted.
 */
bool
comet_instance_eject_if_silent(struct comet_instance *instance, uint64_t since_us, uint64_t now_us);

/** Its answer told how many requests run and wait there. */
void
comet_instance_load_reported(struct comet_instance *instance, uint32_t total, uint64_t now_us);

const char *
comet_dispatch_result_name(enum comet_dispatch_result result);

#endif
