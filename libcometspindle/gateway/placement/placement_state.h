/*
 * placement_state.h
 * State and functions that the source files of placement share.
 */
#ifndef COMETSPINDLE_GATEWAY_PLACEMENT_STATE_H
#define COMETSPINDLE_GATEWAY_PLACEMENT_STATE_H

#include <libcometspindle/gateway/placement/endpoint_picker.h>
#include <libcometspindle/gateway/placement/dequeue_rate.h>
#include <libcometspindle/gateway/placement/placement_queue.h>

/** Ranks with separate dequeue rates; less urgent ranks share the last one. */
#define COMET_PLACEMENT_RANKS 8

/** Requests that wait for one service. */
struct comet_placement_queue
{
	char *service;
	GSequence *items;           /**< struct comet_placement_item, in the order of
				       comet_placement_compare() */
	GSequence *remote_waiters;  /**< struct comet_placement_remote_waiter, in the same order */
	uint64_t expiry_checked_us; /**< time of the last check for late and expired requests */
	/** By rank, for requests that can meet their soft deadline [0] and for late ones [1]. */
	struct comet_dequeue_rate dequeue_rates[COMET_PLACEMENT_RANKS][2];
	/** By rank, for remote waiters. */
	struct comet_dequeue_rate remote_dequeue_rates[COMET_PLACEMENT_RANKS];
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
	/* Shares of the slow start capacity of an endpoint: if this VM owns its shard, and if the
	 * shard has no owner that responds. */
	double owner_share;
	double ownerless_share;
	/* The same for the limit that an endpoint advertises. */
	double limit_owner_share;
	double limit_ownerless_share;
	const struct comet_placement_ops *ops;
	void *ctx;
	GHashTable *queues; /* service name -> struct comet_placement_queue */
	struct comet_placement_decision decision;
	uint32_t n_slot_requests; /* pending at owners, for queued and for new requests */
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

/** Compares items in the order of service; either may belong to a remote waiter. */
gint
comet_placement_compare(gconstpointer left, gconstpointer right, gpointer ctx);

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

/**
 * Returns whether a response would miss the soft deadline of the item if its service began after
 * wait_us.
 */
bool
comet_placement_is_late(const struct comet_placement *placement,
	const struct comet_placement_item *item, uint64_t wait_us, uint64_t now_us);

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

/** Grants a slot to a remote waiter and removes it, if an instance has capacity. */
void
comet_placement_grant_remote_waiter(struct comet_placement *placement,
	struct comet_placement_remote_waiter *remote_waiter, uint64_t now_us);

#endif
