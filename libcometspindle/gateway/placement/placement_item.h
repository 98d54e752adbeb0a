/*
 * placement_item.h
 * Defines a request to be placed, a slot request, and the operations that
 * placement needs from its user.
 */
#ifndef COMETSPINDLE_GATEWAY_PLACEMENT_ITEM_H
#define COMETSPINDLE_GATEWAY_PLACEMENT_ITEM_H

#include <glib.h>
#include <libcometspindle/gateway/endpoints/instance.h>
#include <libcometspindle/gateway/placement/shards.h>
#include <libcometspindle/gateway/routing/regions.h>
#include <stdbool.h>
#include <stdint.h>

/** Maximum number of endpoints excluded for one request because of an earlier attempt. */
#define COMET_PLACEMENT_ATTEMPTED_MAX 4

/** Maximum number of endpoints that one slot request may exclude. */
#define COMET_SLOT_REQUEST_EXCLUDED_MAX 16

/** A request to be placed; embedded in the structure of its user. */
struct comet_placement_item
{
	const char *service;
	struct comet_request_size size;
	uint32_t team_rank;  /**< Compared first; 0 is the most urgent. */
	uint32_t route_rank; /**< Compared among equal team_rank; 0 is the most urgent. */
	const struct comet_region_set *route_regions; /**< Regions that the route allows; NULL:
							 all. */
	const struct comet_region_set *team_regions;  /**< Regions that the team allows; NULL: all.
						       */
	uint32_t version_id; /**< Software version that the endpoint must have
				(comet_hash_name()), because it began the stream; 0: any. */
	bool for_other_vm;   /**< The request is that of another VM, which waits here for a slot. */
	bool retryable; /**< A failed attempt may be retried, so the request may probe an ejected
			    endpoint. */
	uint64_t answer_deadline_us;   /**< A response must be complete by then to be of use; 0: no
					  deadline. */
	uint64_t dispatch_deadline_us; /**< The request is refused if it has not been dispatched by
					  then. */
	uint64_t soft_deadline_us;     /**< A response should begin by then; 0: no such deadline. */
	uint64_t early_refusal_us;     /**< Until then a refusal costs the caller little. */
	uint32_t attempted[COMET_PLACEMENT_ATTEMPTED_MAX]; /**< Keys of the instances of earlier
							  attempts. */
	uint32_t n_attempted;
	void *user_data;
	uint32_t owner_vm; /**< Address of the owner that granted the slot; 0: no grant was used. */
	/* The members below are private to placement. */
	bool slot_requested; /* a slot request is pending at an owner */
	bool was_queued;     /* has been in the queue since it was submitted */
	bool late;           /* a response can no longer begin by soft_deadline_us */
	bool deferred;       /* endpoints with capacity would miss the soft deadline */
	GSequenceIter *queue_position;
	uint64_t submitted_us;
	uint64_t sequence;
};

/** A request to an owner for a slot. */
struct comet_slot_request
{
	uint32_t requester; /**< At the owner: address of the requesting VM. */
	uint64_t number; /**< At the owner: number that the requesting VM gave this slot request. */
	uint32_t shard;  /**< Id of the shard. */
	uint32_t queue_limit;     /**< Requests allowed at an endpoint in excess of its slots. */
	const uint32_t *excluded; /**< Keys of instances that must not be granted. */
	size_t n_excluded;
	uint32_t version_id; /**< Software version that the endpoint must have; 0: any. */
	struct comet_request_size size;
	uint32_t team_rank;
	uint32_t route_rank;
	bool late;                   /**< The response can no longer begin by soft_deadline_us. */
	uint64_t answer_deadline_us; /**< The response must be complete by then; 0: no deadline. */
	uint64_t soft_deadline_us;   /**< The response should begin by then; 0: no such deadline. */
	uint64_t wait_us; /**< Time that the request may wait at the owner; 0: the owner replies at
			     once. */
};

/** A slot that an owner granted. */
struct comet_slot_grant
{
	uint32_t owner_vm;     /**< Address of the owner. */
	uint32_t instance_key; /**< Key of the instance. */
	bool limit_applied; /**< The owner counted the request against the limit that the instance
			       advertises. */
};

/** An owner's reply to a slot request that it cannot grant at once. */
struct comet_placement_wait_estimate
{
	bool waits; /**< The request is a remote waiter: it is granted a slot later or expires after
		       wait_us. */
	uint64_t expected_us; /**< Expected wait, from the dequeue rate of its rank at the owner. */
};

/** Which VM owns a shard. */
enum comet_placement_owner
{
	COMET_PLACEMENT_OWNER_NONE,  /**< No VM that responds; requests are placed by gossip. */
	COMET_PLACEMENT_OWNER_SELF,  /**< This VM. */
	COMET_PLACEMENT_OWNER_OTHER, /**< Another VM, which grants slots on request. */
};

struct comet_placement_ops
{
	/** Sends the request to the instance now. */
	void (*dispatch)(
		void *ctx, struct comet_placement_item *item, struct comet_instance *instance);
	/** Refuses the request, which has not run; the caller may retry after retry_after_ms. */
	void (*refuse)(void *ctx, struct comet_placement_item *item, uint32_t retry_after_ms);
	/** Finds the owner of a shard. NULL: shards have no owners. */
	enum comet_placement_owner (*find_owner)(void *ctx, struct comet_shard *shard);
	/**
	 * Sends a slot request to the owner of a shard. It ends in comet_placement_granted,
	 * _denied, _wait_expired or _unanswered, or by cancel_slot_request.
	 */
	void (*request_slot)(void *ctx, struct comet_placement_item *item,
		struct comet_shard *shard, const struct comet_slot_request *request);
	/** Cancels the pending slot request of an item. */
	void (*cancel_slot_request)(void *ctx, struct comet_placement_item *item);
	/** At the owner: grants a slot to a remote waiter. */
	void (*grant)(void *ctx, const struct comet_slot_request *request,
		struct comet_instance *instance);
};

/** Inputs and result of the last pick, for the log. */
struct comet_placement_decision
{
	uint32_t load;
	uint32_t slots;
	uint32_t candidates;
	uint32_t with_room;
	uint64_t first_us;
	uint64_t total_us;
	uint64_t waited_us;
	uint64_t gossip_age_us; /**< Age of the load information. */
	double cost;            /**< Estimated cost of the picked instance, in microseconds. */
	/** No instance was picked: the instances with capacity would miss the soft deadline, and an
	 * instance without capacity would meet it. */
	bool deferred;
};

#endif
