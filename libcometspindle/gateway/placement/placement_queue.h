/*
 * placement_queue.h
 * Queues of requests that wait for a service: their order and their expected
 * waits.
 */
#ifndef COMETSPINDLE_GATEWAY_PLACEMENT_QUEUE_H
#define COMETSPINDLE_GATEWAY_PLACEMENT_QUEUE_H

#include <libcometspindle/gateway/placement/placement_item.h>
#include <libcometspindle/gateway/placement/placement_order.h>

struct comet_placement;

/** Calls visit for each service that was requested, with the number of its queued requests. */
void
comet_placement_each_service(const struct comet_placement *placement,
	void (*visit)(void *ctx, const char *service, uint32_t waiting), void *ctx);

/** @return the time that one more request of the item's rank is expected to wait. */
uint64_t
comet_placement_wait_us(struct comet_placement *placement, const struct comet_placement_item *item,
	uint64_t now_us);

/** Learns the number of events for each hinted token, from the complete stream of an item. */
void
comet_placement_learn_size(struct comet_placement *placement,
	const struct comet_placement_item *item, uint32_t events);

/** Adds up the counters of the order of all services. */
struct comet_order_counts
comet_placement_order_counts(const struct comet_placement *placement);

/** @return both ranks as one number below COMET_ORDER_RANKS, in the order of
 * comet_placement_compare(); 0 is the most urgent. It is the route rank if there are no team ranks.
 */
uint32_t
comet_placement_rank(const struct comet_placement_item *item);

#endif
