/*
 * placement_queue.h
 * Queues of requests that wait for a service: their order and their expected
 * waits.
 */
#ifndef COMETSPINDLE_GATEWAY_PLACEMENT_QUEUE_H
#define COMETSPINDLE_GATEWAY_PLACEMENT_QUEUE_H

#include <libcometspindle/gateway/placement/placement_item.h>

struct comet_placement;

/** Calls visit for each service that was requested, with the number of its queued requests. */
void
comet_placement_each_service(const struct comet_placement *placement,
	void (*visit)(void *ctx, const char *service, uint32_t waiting), void *ctx);

/** @return the time that one more request of the item's rank is expected to wait. */
uint64_t
comet_placement_wait_us(struct comet_placement *placement, const struct comet_placement_item *item,
	uint64_t now_us);

/** @return the rank as one number, for metrics and dequeue rates; 0 is the most urgent. */
uint32_t
comet_placement_rank(const struct comet_placement_item *item);

#endif
