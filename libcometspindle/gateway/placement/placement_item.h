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

/** Where the Retry-After of a refused request comes from. */
enum comet_retry_source
{
	COMET_RETRY_OTHER,  /**< Not a shortage of slots (endpoints evacuated, leaving or resting),
			       or no room is booked: no endpoint is usable, or returned callers
			       are not recognized. */
	COMET_RETRY_QUEUE,  /**< The expected wait at this VM. */
	COMET_RETRY_OWNER,  /**< The estimate of the owner of a shard. */
	COMET_RETRY_BOOKED, /**< The end of the room that was announced to earlier callers. */
};

/** Why no slot was expected for a refused request in time. */
enum comet_wait_source
{
	COMET_WAIT_NONE,    /**< Not refused for its expected wait. */
	COMET_WAIT_QUEUE,   /**< The expected wait at this VM. */
	COMET_WAIT_OWNER,   /**< The expected wait at the owner of a shard. */
	COMET_WAIT_EXPIRED, /**< Its dispatch deadline passed while it was queued. */
};

/** What is known of the caller of a request that has to wait. */
enum comet_placement_caller
{
	COMET_PLACEMENT_CALLER_NEW,
	COMET_PLACEMENT_CALLER_RETURNED, /**< It was refused before and has come back. */
	COMET_PLACEMENT_CALLER_PENDING,  /**< comet_placement_set_caller() follows. */
};

/** A request to be placed; embedded in the structure of its user. */
struct comet_placement_item
{
	const char *service;
	struct comet_request_size size;
	uint32_t team_rank;  /**< Compared first; 0 is the most urgent. */
	uint32_t route_rank; /**< Compared among equal team_rank; 0 is the most urgent. */
	bool returned;       /**< The caller was refused before and came back after its Retry-After.
				Within a rank, such requests go before newcomers among those in
				time, and among late ones. */
	bool output_hinted;  /**< size.output_tokens is a hint of the caller, not just a limit. */
	uint32_t team_id;    /**< comet_hash_name() of the team's name; 0: none. */
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
	uint64_t soft_deadline_us;     /**< A response should begin by then; 0: no such deadline.
					  Moved to an earlier time if the caller returned. */
	uint64_t early_refusal_us;     /**< Until then a refusal costs the caller little. */
	uint64_t caller_age_us; /**< Set by the user before it says that the caller returned: time
				   since the first attempt arrived; 0: not known. */
	uint64_t expected_wait_us; /**< Set with wait_source: the further wait for a slot. */
	uint32_t attempted[COMET_PLACEMENT_ATTEMPTED_MAX]; /**< Keys of the instances of earlier
							  attempts. */
	uint32_t n_attempted;
	bool response_started; /**< The caller has received a part of the response, which a refusal
				  cuts off: the request is not refused for its expected wait. */
	bool replaces_attempt; /**< The current attempt goes on until this one has a slot: the
				  request is refused instead of queued. */
	void *user_data;
	uint32_t owner_vm; /**< Address of the owner that granted the slot; 0: no grant was used. */
	bool sample_wanted; /**< That owner wants a sample of the stream before its end. */
	enum comet_retry_source retry_source; /**< Set when the request is refused. */
	enum comet_wait_source wait_source;   /**< Set when the request is refused. */
	bool return_expected; /**< Set when the request is refused: the overload is expected to end
				 while its caller waits. */
	/* The members below are private to placement. */
	bool slot_requested;  /* a slot request is pending at an owner */
	bool waits_at_owner;  /* the last slot request may wait at the owner */
	bool queued_at_owner; /* the owner has answered that it waits there */
	bool was_queued;      /* has been in the queue since it was submitted */
	bool late;            /* a response can no longer begin by soft_deadline_us */
	bool deferred;        /* endpoints with capacity would miss the soft deadline */
	bool caller_checked;  /* find_caller was called */
	bool caller_pending;  /* the answer to find_caller is pending */
	bool held;            /* neither queued nor refused until that answer arrives */
	uint32_t queue_bound; /* maximum of its queue limit because of more urgent teams, see
				 comet_placement_set_queue_bound() */
	uint64_t room_us; /* while that answer is pending: when a slot is expected, if that is too
			     late for the request; 0: no such estimate */
	GSequenceIter *queue_position;
	uint64_t submitted_us;
	uint64_t arrived_us;   /* first submission at its VM, by this clock; 0: none yet */
	uint64_t order_us;     /* arrived_us plus the delay for the size */
	uint64_t slot_us;      /* expected slot time; 0: unknown */
	uint64_t mean_slot_us; /* of the team's requests; 0: unknown */
	uint64_t sequence;
	uint32_t size_class;                /* as in struct comet_order_place */
	enum comet_wait_source room_source; /* where room_us comes from */
	bool large;                         /* comet_order_is_large() */
	bool counted;                       /* whether it was served has been counted */
	bool advanced;                      /* as in struct comet_order_place */
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
	bool returned;               /**< As in struct comet_placement_item. */
	bool late;                   /**< The response can no longer begin by soft_deadline_us. */
	uint64_t waited_us;          /**< Time since the request arrived at its VM. */
	bool delay_known;            /**< false: the requesting VM runs an earlier release. */
	uint64_t delay_us;           /**< Added to its time of arrival for its size. */
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
	bool sample_wanted; /**< The owner wants a sample of the stream before its end. */
};

/** An owner's reply to a slot request that it cannot grant at once. */
struct comet_placement_wait_estimate
{
	bool waits; /**< The request is a remote waiter: it is granted a slot later or expires after
		       wait_us. */
	uint64_t expected_us; /**< Expected wait, from the dequeue rate of its rank at the owner. */
	uint64_t return_us;   /**< Time until the owner has room for the request if its caller is
				 refused now; 0: not known. */
};

/** Which VM owns a shard. */
enum comet_placement_owner
{
	COMET_PLACEMENT_OWNER_NONE,  /**< No VM that responds; requests are placed by gossip. */
	COMET_PLACEMENT_OWNER_SELF,  /**< This VM. */
	COMET_PLACEMENT_OWNER_OTHER, /**< Another VM, which grants slots on request. */
};

/** Inputs and result of the last Retry-After for a shortage of slots, for the log. */
struct comet_placement_announcement
{
	uint64_t wait_us;      /**< Expected wait at this VM, or at an owner. */
	uint64_t owner_us;     /**< Time until the owner expects room; 0: not known. */
	uint64_t owner_age_us; /**< Age of the owner's estimate. */
	uint64_t booked_us;    /**< Time until the end of the room announced before; 0: none. */
	uint64_t interval_us;  /**< Time between two slots that become free for this VM. */
	uint64_t return_us;    /**< The announced time. */
	uint64_t due_us;       /**< Time until the caller is expected. */
};

struct comet_placement_ops
{
	/** Sends the request to the instance now. */
	void (*dispatch)(
		void *ctx, struct comet_placement_item *item, struct comet_instance *instance);
	/** Refuses the item: the caller may retry after retry_after_ms if the request has not run.
	 * If the item replaces an attempt, that attempt goes on. */
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
	/** Counts the VMs that are preferred over this one as the owner of a shard. NULL: there are
	 * no other VMs. */
	uint32_t (*count_preferred)(void *ctx, const struct comet_shard *shard);
	/** Finds out whether the caller of a request that has to wait was refused before. Called
	 * once for each request. NULL: callers are not recognized. */
	enum comet_placement_caller (*find_caller)(void *ctx, struct comet_placement_item *item);
};

/** How well a picked instance suits a request, the best first. Among equal ones the cost decides.
 */
enum comet_placement_preference
{
	COMET_PLACEMENT_NEAR,       /**< A free slot in this VM's availability zone, in time. */
	COMET_PLACEMENT_FAR,        /**< A free slot in another availability zone, in time. */
	COMET_PLACEMENT_NEAR_QUEUE, /**< For a stream: beyond the slots of an endpoint in this VM's
				       availability zone, in time. */
	COMET_PLACEMENT_QUEUE, /**< In time, but beyond the slots or at a speed that is not known.
				*/
	COMET_PLACEMENT_LATE,  /**< The soft deadline would be missed. */
};

/** Inputs and result of the last pick, for the log. */
struct comet_placement_decision
{
	enum comet_placement_preference preference;
	uint32_t load;
	uint32_t slots;
	uint32_t candidates;
	uint32_t with_room;
	bool others_have_room; /**< An owned instance that this request must not use has room. */
	uint64_t first_us;
	uint64_t total_us;
	uint64_t waited_us;
	uint64_t gossip_age_us; /**< Age of the load information. */
	uint64_t slot_us;       /**< Expected slot time of the request; 0: unknown. */
	uint64_t mean_slot_us;  /**< Mean expected slot time of its team's requests; 0: unknown. */
	uint64_t delay_us;      /**< Added to its time of arrival for its size. */
	bool advanced;          /**< As in struct comet_order_place. */
	double cost;            /**< Estimated cost of the picked instance, in microseconds. */
	/** No instance was picked: the instances with capacity would miss the soft deadline, and an
	 * instance without capacity would meet it. */
	bool deferred;
	/** A slow instance was picked, since it serves the request in time and others need the fast
	 * ones. */
	bool spared_fast;
};

#endif
