/*
 * placement_state.h
 * what the files of placement share
 */
#ifndef COMETSPINDLE_GATEWAY_PLACEMENT_STATE_H
#define COMETSPINDLE_GATEWAY_PLACEMENT_STATE_H

#include <libcometspindle/gateway/placement/endpoint_picker.h>
#include <libcometspindle/gateway/placement/dequeue_rate.h>
#include <libcometspindle/gateway/placement/placement_queue.h>

/** Ranks whose pace in the queue is told apart; those below share the last. */
#define COMET_PLACEMENT_RANKS 8

/** What waits for one service. */
struct comet_placement_queue
{
	char *service;
	GSequence *items; /**< of struct comet_placement_item, in order of rank */
	GSequence
		*remote_waiters; /**< of struct comet_placement_remote_waiter, in the same order */
	uint64_t aged_us;        /**< when it was last looked at what is late */
	/** Of those that can be in time, and of the late. */
	struct comet_dequeue_rate dequeue_rates[COMET_PLACEMENT_RANKS][2];
	/** Of guests, by rank. */
	struct comet_dequeue_rate remote_dequeue_rates[COMET_PLACEMENT_RANKS];
};

/** A request of another VM that waits here for a slot this VM keeps count of. */
struct comet_placement_remote_waiter
{
	struct comet_placement_item item; /**< first member: guests are ordered like items */
	struct comet_slot_request ask;
	uint32_t except[COMET_SLOT_REQUEST_EXCEPT_MAX]; /**< what ask.except points at */
};

struct comet_placement
{
	struct comet_instances *instances;
	struct comet_shards *shards;
	struct comet_endpoint_picker choice;
	double owner_share;     /* of what a cold endpoint bears: where this VM keeps count of it */
	double ownerless_share; /* and where none does, or none answers */
	const struct comet_placement_ops *ops;
	void *ctx;
	GHashTable *queues; /* service -> struct comet_placement_queue */
	struct comet_placement_decision reason;
	uint32_t asking; /* requests that await a keeper's answer */
	uint64_t next_order;
	uint64_t pass; /* number of the last pass over a queue */
	bool running;
	bool again;
};

/* placement_queue.c */

struct comet_placement_queue *
comet_placement_queue_of(struct comet_placement *placement, const char *service);

GHashTable *
comet_placement_queues_create(void);

/** Does anything wait there, of this VM or of others? */
bool
comet_placement_has_waiting(const struct comet_placement_queue *queue);

/** The order in which items are served; either may be the item of a guest. */
gint
comet_placement_compare(gconstpointer left, gconstpointer right, gpointer ctx);

/** Puts an item into its queue. */
void
comet_placement_enqueue(
	struct comet_placement_queue *queue, struct comet_placement_item *item, uint64_t now_us);

/** Takes an item out of its queue. */
void
comet_placement_dequeue(struct comet_placement *placement, struct comet_placement_item *item);

struct comet_dequeue_rate *
comet_placement_dequeue_rate(
	struct comet_placement_queue *queue, const struct comet_placement_item *item);

/** Can an answer that is begun after wait_us not be in time any more? */
bool
comet_placement_is_late(const struct comet_placement *placement,
	const struct comet_placement_item *item, uint64_t wait_us, uint64_t now_us);

/* placement_find.c */

/** Chooses by views among all of a service's endpoints. */
struct comet_instance *
comet_placement_choose_by_gossip(struct comet_placement *placement,
	const struct comet_placement_item *item, uint64_t now_us);

/**
 * Looks for a slot: free ones anywhere first, then those where the item would wait a little. When
 * there is none, it is left with a keeper to wait there.
 * @return an instance; NULL: none, or a keeper was asked and item->asking is set
 */
struct comet_instance *
comet_placement_find(
	struct comet_placement *placement, struct comet_placement_item *item, uint64_t now_us);

/** The same among the shards that this VM may choose in by itself. */
struct comet_instance *
comet_placement_find_local(
	struct comet_placement *placement, struct comet_placement_item *item, uint64_t now_us);

/* placement_guests.c */

/**
 * Chooses, as keeper, for a request of another VM.
 * @return NULL when nothing has room; wait: whether it is a guest from now on, so that the queue is
 * to be run
 */
struct comet_instance *
comet_placement_admit_remote_waiter(struct comet_placement *placement,
	const struct comet_slot_request *ask, uint64_t now_us,
	struct comet_placement_wait_estimate *wait);

/** Drops guests whose time is over, and puts late ones behind. */
void
comet_placement_expire_remote_waiters(
	struct comet_placement *placement, struct comet_placement_queue *queue, uint64_t now_us);

/** Grants a guest a slot if there is one, and lets it go. */
void
comet_placement_grant_remote_waiter(struct comet_placement *placement,
	struct comet_placement_remote_waiter *remote_waiter, uint64_t now_us);

#endif
