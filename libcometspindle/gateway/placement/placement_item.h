/*
 * placement_item.h
 * a request that is to be placed, an ask for a slot, and what placement needs of its owner
 */
#ifndef COMETSPINDLE_GATEWAY_PLACEMENT_ITEM_H
#define COMETSPINDLE_GATEWAY_PLACEMENT_ITEM_H

#include <glib.h>
#include <libcometspindle/gateway/endpoints/instance.h>
#include <libcometspindle/gateway/placement/shards.h>
#include <stdbool.h>
#include <stdint.h>

/** Endpoints that one request may be kept from: it was there already. */
#define COMET_PLACEMENT_TRIED_MAX 4

/** Endpoints that one ask may except. */
#define COMET_SLOT_REQUEST_EXCEPT_MAX 16

/** A request that is to be placed; embedded in its owner. */
struct comet_placement_item
{
	const char *service;
	struct comet_request_size job;
	uint32_t team_rank;  /**< goes first: 0 is the most urgent */
	uint32_t route_rank; /**< among equal team_rank */
	bool repeatable;     /**< a failure on an endpoint of doubtful health can be made good */
	uint64_t end_us;     /**< an answer that is not whole by then is lost; 0: no bound */
	uint64_t dispatch_deadline_us; /**< to be dispatched by then or not at all */
	uint64_t soft_deadline_us;     /**< an answer that begins later is of little use; 0: no such
					  time */
	uint64_t early_us;             /**< a refusal before then costs its caller little */
	uint32_t tried[COMET_PLACEMENT_TRIED_MAX]; /**< keys of instances it was sent to */
	uint32_t n_tried;
	void *owner;
	uint32_t keeper; /**< VM that granted the slot it was sent to; 0: none did */
	/* placement's own */
	bool asking; /* a keeper's answer is awaited */
	bool queued; /* it has waited */
	bool late;   /* it cannot begin by soft_deadline_us any more */
	bool held;   /* there is room, but only where it would be late */
	GSequenceIter *place;
	uint64_t since_us;
	uint64_t order;
};

/** Which slot a keeper is asked for, and for what request. */
struct comet_slot_request
{
	uint32_t asker;         /**< keeper's side: address of the VM that asks */
	uint64_t number;        /**< keeper's side: of the ask, for its VM */
	uint32_t shard;         /**< id */
	uint32_t beyond;        /**< requests that may be at an endpoint beyond its slots */
	const uint32_t *except; /**< keys of endpoints that are not wanted */
	size_t n_except;
	struct comet_request_size job;
	uint32_t team_rank;
	uint32_t route_rank;
	bool late;                 /**< it cannot be in time any more */
	uint64_t end_us;           /**< the answer must be whole by then; 0: no bound */
	uint64_t soft_deadline_us; /**< it should begin by then; 0: no matter */
	uint64_t wait_us; /**< it may wait so long for a slot; 0: an answer is wanted at once */
};

/** What a keeper that has no slot for a request says of its wait. */
struct comet_placement_wait_estimate
{
	bool waits;           /**< it is granted a slot later, or forgotten after its wait_us */
	uint64_t expected_us; /**< by the pace at which its rank gets slots there */
};

/** Who keeps count of a shard. */
enum comet_placement_owner
{
	COMET_PLACEMENT_OWNER_NONE,  /**< nobody that answers: views have to do */
	COMET_PLACEMENT_OWNER_SELF,  /**< this VM */
	COMET_PLACEMENT_OWNER_OTHER, /**< another VM, which must be asked */
};

struct comet_placement_ops
{
	/** Send it there now. */
	void (*dispatch)(
		void *ctx, struct comet_placement_item *item, struct comet_instance *instance);
	/** It has not run; come back after retry_after_ms. */
	void (*refuse)(void *ctx, struct comet_placement_item *item, uint32_t retry_after_ms);
	/** Who keeps count of it; NULL: nobody ever does. */
	enum comet_placement_owner (*keeper)(void *ctx, struct comet_shard *shard);
	/** Asks its keeper; ends in comet_placement_granted, _denied or _unanswered. */
	void (*ask)(void *ctx, struct comet_placement_item *item, struct comet_shard *shard,
		const struct comet_slot_request *ask);
	/** The answer to an ask is not awaited any more. */
	void (*forget)(void *ctx, struct comet_placement_item *item);
	/** Keeper's side: a request that has waited here may have a slot. */
	void (*grant)(
		void *ctx, const struct comet_slot_request *ask, struct comet_instance *instance);
};

/** Why the last choice fell on an instance, for the log. */
struct comet_placement_decision
{
	uint32_t load;
	uint32_t slots;
	uint32_t candidates;
	uint32_t with_room;
	uint64_t first_us;
	uint64_t total_us;
	uint64_t waited_us;
	uint64_t view_age_us; /**< of what is known of its load */
	double cost;          /**< by which it was the cheapest, in microseconds */
	bool held; /**< none was chosen: those with room would make it late, a full one would not */
};

#endif
