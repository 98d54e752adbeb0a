/*
 * placement_state.h
 * State and functions that the source files of placement share.
 */
#ifndef COMETSPINDLE_GATEWAY_PLACEMENT_STATE_H
#define COMETSPINDLE_GATEWAY_PLACEMENT_STATE_H

#include <libcometspindle/gateway/placement/endpoint_picker.h>
#include <libcometspindle/gateway/placement/dequeue_rate.h>
#include <libcometspindle/gateway/placement/placement_order.h>
#include <libcometspindle/gateway/placement/placement_queue.h>
#include <libcometspindle/gateway/placement/return_schedule.h>

/** Fraction by which Retry-After times vary at random. */
#define COMET_PLACEMENT_RETRY_JITTER 0.25

/** Number of values of comet_placement_rank(), each with dequeue rates of its own. */
#define COMET_PLACEMENT_RANKS COMET_ORDER_RANKS

/** Requests that wait for one service. */
struct comet_placement_queue
{
	char *service;
	GSequence *items;           /**< struct comet_placement_item, in the order of
				       comet_placement_compare() */
	GSequence *remote_waiters;  /**< struct comet_placement_remote_waiter, in the same order */
	uint64_t expiry_checked_us; /**< time of the last check for late and expired requests */
	struct comet_size_order *order; /**< sizes of the requests of this VM */
	/** By rank, by whether the request is late, and by whether it is large, because smaller
	 * ones overtake large ones. Returned callers have no rate of their own: their dispatches
	 * show the rate at which the late ones of a rank are served. */
	struct comet_dequeue_rate dequeue_rates[COMET_PLACEMENT_RANKS][2][2];
	/** For remote waiters of newcomers, by rank and by whether they are large. */
	struct comet_dequeue_rate remote_dequeue_rates[COMET_PLACEMENT_RANKS][2];
	/** By rank, for remote waiters of returned callers. */
	struct comet_dequeue_rate remote_returned_dequeue_rates[COMET_PLACEMENT_RANKS];
	struct comet_return_schedule returns; /**< room announced to refused callers */
	/** By rank, the last estimate of an owner of when it has room. */
	struct
	{
		uint64_t room_us; /**< 0: none */
		uint64_t learned_us;
	} owner_estimates[COMET_PLACEMENT_RANKS];
};

/** A request of another VM that waits here for a slot of a shard that this VM owns. */
struct comet_placement_remote_waiter
{
	struct comet_placement_item item; /**< first member: remote waiters are compared as items */
	struct comet_slot_request request;
	uint32_t excluded[COMET_SLOT_REQUEST_EXCLUDED_MAX]; /**< storage of request.excluded */
};

struct comet_placement
{
	struct comet_instances *instances;
	struct comet_shards *shards;
	struct comet_endpoint_picker picker;
	struct comet_cold_fraction cold_fraction;
	enum comet_cold_age cold_age;
	/* Shares of the limit that an endpoint advertises: if this VM owns its shard, and if the
	 * shard has no owner that responds. */
	double limit_owner_share;
	double limit_ownerless_share;
	const struct comet_placement_ops *ops;
	void *ctx;
	GHashTable *queues; /* service name -> struct comet_placement_queue */
	struct comet_placement_decision decision;
	struct comet_placement_announcement announcement;
	uint32_t n_slot_requests;   /* pending at owners, for queued and for new requests */
	uint32_t max_slot_requests; /* while this many are pending, queued requests send no more */
	uint64_t next_sequence;
	uint64_t pass; /* number of the current pass over a queue */
	bool running;
	bool run_again;
};

/* placement_queue.c */

struct comet_placement_queue *
comet_placement_queue_of(struct comet_placement *placement, const char *service);

GHashTable *
comet_placement_queues_create(void);

/** Returns whether requests of this VM or of other VMs wait in the queue. */
bool
comet_placement_has_waiting(const struct comet_placement_queue *queue);

/** Decides the place of an item in the queue when it is submitted first. */
void
comet_placement_set_place(struct comet_placement *placement, struct comet_placement_queue *queue,
	struct comet_placement_item *item, uint64_t now_us);

/** Decides the place of a remote waiter from what its VM has stated. */
void
comet_placement_set_remote_place(struct comet_placement *placement,
	struct comet_placement_queue *queue, struct comet_placement_item *item,
	const struct comet_slot_request *request, uint64_t now_us);

/** Counts whether an item of this VM was served, for the shares of sizes. */
void
comet_placement_count_served(
	struct comet_placement *placement, struct comet_placement_item *item, bool served);

/** Refuses an item that is not queued. It may be freed. */
void
comet_placement_refuse(struct comet_placement *placement, struct comet_placement_item *item,
	uint32_t retry_after_ms);

/** @return the number of requests of its rank in the sequence that go before the item, which is not
 * in it. */
uint32_t
comet_placement_n_ahead(GSequence *sequence, const struct comet_placement_item *item);

/** No request of a more urgent team bounds the queue beyond the slots. */
#define COMET_PLACEMENT_UNBOUND UINT32_MAX

/** Bounds how many requests may queue at an endpoint beyond its slots for the item to be sent
 * there: to the lowest limit of the streams of more urgent teams that wait here. With a higher
 * bound, items of its team keep endpoints above their slots, and no slot ever looks free to those
 * streams. */
void
comet_placement_set_queue_bound(
	struct comet_placement *placement, struct comet_placement_item *item);

/** @return the bound that an item which waits puts on items of less urgent teams. */
uint32_t
comet_placement_bound_of(const struct comet_placement_item *item);

/** @return how many requests may queue at an endpoint beyond its slots for the item to be sent
 * there. */
uint32_t
comet_placement_queue_limit(const struct comet_placement_item *item);

/** Inserts an item into the queue. */
void
comet_placement_enqueue(
	struct comet_placement_queue *queue, struct comet_placement_item *item, uint64_t now_us);

/** Removes an item from its queue. */
void
comet_placement_dequeue(struct comet_placement *placement, struct comet_placement_item *item);

struct comet_dequeue_rate *
comet_placement_dequeue_rate(
	struct comet_placement_queue *queue, const struct comet_placement_item *item);

/** Estimates the interval between two slots that become free for this VM; 0: no endpoint is usable.
 */
double
comet_placement_slot_interval_us(
	struct comet_placement *placement, const char *service, uint64_t now_us);

/**
 * Returns whether a response would miss the soft deadline of the item if its service began after
 * wait_us.
 */
bool
comet_placement_is_late(const struct comet_placement *placement,
	const struct comet_placement_item *item, uint64_t wait_us, uint64_t now_us);

/* placement.c */

/** Cancels the pending slot request of the item, if any. */
void
comet_placement_cancel_slot_request(
	struct comet_placement *placement, struct comet_placement_item *item);

/** Dispatches, enqueues or refuses an item that is not queued, or sends a slot request for it. */
void
comet_placement_place(
	struct comet_placement *placement, struct comet_placement_item *item, uint64_t now_us);

/** Refuses a queued request whose expected wait is wait_us. */
void
comet_placement_refuse_queued(struct comet_placement *placement, struct comet_placement_item *item,
	enum comet_wait_source source, uint64_t wait_us, uint64_t now_us);

/** Refuses an item that is not queued, for its expected wait. It may be freed. */
void
comet_placement_refuse_waiting(struct comet_placement *placement, struct comet_placement_item *item,
	enum comet_wait_source source, uint64_t wait_us, uint64_t now_us);

/** Refuses an item that is not queued and that no endpoint accepts. It may be freed. */
void
comet_placement_refuse_unaccepted(
	struct comet_placement *placement, struct comet_placement_item *item, uint64_t wait_us);

/** Refuses an item that is not queued, because all zones of its service are evacuated. It may be
 * freed. */
void
comet_placement_refuse_evacuated(
	struct comet_placement *placement, struct comet_placement_item *item);

/** Refuses an item, queued or not, that can be dispatched only after its deadline, because all
 * endpoints rest. Its caller comes back when the first of them has ended its rest. It may be freed.
 * @return false if it is not refused */
bool
comet_placement_refuse_if_resting(
	struct comet_placement *placement, struct comet_placement_item *item, uint64_t now_us);

/** Refuses the queued items that would get no slot in time, and moves those that can no longer meet
 * their soft deadline behind the others of their rank. */
void
comet_placement_check_waits(
	struct comet_placement *placement, struct comet_placement_queue *queue, uint64_t now_us);

/* placement_returns.c */

/**
 * Returns the Retry-After time of a request that is refused because no endpoint accepts it, in
 * milliseconds. wait_us: expected wait of the request.
 */
uint32_t
comet_placement_unbooked_return_ms(struct comet_placement *placement, uint64_t wait_us);

/** Varies a time at random, so that callers that were refused together do not retry together. */
uint32_t
comet_placement_with_jitter(struct comet_placement *placement, double wait_ms);

/**
 * Returns the Retry-After of a refused request in milliseconds, and books the slot time that the
 * caller needs when it returns.
 * wait_us: expected wait of the request.
 */
uint32_t
comet_placement_announce_return_ms(struct comet_placement *placement,
	struct comet_placement_item *item, uint64_t wait_us, uint64_t now_us);

/** Finds out once for each request whether its caller was refused before. */
void
comet_placement_find_caller(
	struct comet_placement *placement, struct comet_placement_item *item, uint64_t now_us);

/**
 * Returns whether a request is refused because its expected wait is too long. A refusal would cut
 * off a response that has started. A caller comes back once, so that one that has come back is
 * refused early only in a lasting overload; otherwise it waits until its dispatch deadline.
 */
bool
comet_placement_waits_in_vain(struct comet_placement *placement,
	const struct comet_placement_item *item, uint64_t wait_us, uint64_t now_us);

/**
 * Returns the expected wait of a request that is not queued. For a newcomer it includes the slot
 * time that is booked for returning callers.
 */
uint64_t
comet_placement_newcomer_wait_us(struct comet_placement *placement,
	const struct comet_placement_item *item, uint64_t now_us);

/* placement_find.c */

/** Picks among all instances of the service by gossip. */
struct comet_instance *
comet_placement_pick_by_gossip(struct comet_placement *placement,
	const struct comet_placement_item *item, uint64_t now_us);

/**
 * Finds a slot: free slots in any shard first, then places in the queues of endpoints. A queued
 * item for which there is neither waits at one of the owners.
 * @return the instance; NULL: no capacity, or a slot request was sent and
 * item->slot_requested is set
 */
struct comet_instance *
comet_placement_find(
	struct comet_placement *placement, struct comet_placement_item *item, uint64_t now_us);

/** Finds a slot in the shards for which this VM needs no grant. */
struct comet_instance *
comet_placement_find_local(
	struct comet_placement *placement, struct comet_placement_item *item, uint64_t now_us);

/** Minimum and initial value of max_slot_requests. While slots are short, any more of a VM's
 * requests would rank behind these at any owner. */
#define COMET_PLACEMENT_SLOT_REQUESTS_MIN 4

/** Raises max_slot_requests after a queued request was granted a slot at once. */
void
comet_placement_slot_granted_at_once(struct comet_placement *placement);

/** Lowers max_slot_requests after an owner denied a slot or lets a request wait for one. */
void
comet_placement_slots_are_short(struct comet_placement *placement);

/** @return whether a queued item may send a slot request. While max_slot_requests are
 * pending, only the first items of a queue may do so, and only if items that they have overtaken
 * have pending ones; otherwise a small request would wait until those of large ones end.
 * @param position number of items ahead of it in the queue */
bool
comet_placement_may_request_slot(const struct comet_placement *placement,
	const struct comet_placement_item *item, uint32_t position);

/** @return when the first endpoint for the item ends its rest; 0: one does not rest, or there is
 * none
 */
uint64_t
comet_placement_rest_end_us(const struct comet_placement *placement,
	const struct comet_placement_item *item, uint64_t now_us);

/** Returns whether an endpoint of a service wants no requests from this VM now. */
bool
comet_placement_any_resting(
	const struct comet_placement *placement, const char *service, uint64_t now_us);

/* placement_remote_waiters.c */

/**
 * Picks an instance, as the owner, for a request of another VM.
 * @return the instance, or NULL if none has capacity; if wait->waits is set, the request now waits
 * here and the caller has to run the queue
 */
struct comet_instance *
comet_placement_admit_remote_waiter(struct comet_placement *placement,
	const struct comet_slot_request *request, uint64_t now_us,
	struct comet_placement_wait_estimate *wait);

/**
 * Removes expired remote waiters and moves late ones behind those of their rank that are in time.
 */
void
comet_placement_expire_remote_waiters(
	struct comet_placement *placement, struct comet_placement_queue *queue, uint64_t now_us);

/** Grants a slot to a remote waiter and removes it, if an instance has capacity.
 * @return whether it did */
bool
comet_placement_grant_remote_waiter(struct comet_placement *placement,
	struct comet_placement_remote_waiter *remote_waiter, uint64_t now_us);

#endif
