/*
 * placement_queue.h
 * what waits for a service: in which order, and for how long
 */
#ifndef COMETSPINDLE_GATEWAY_PLACEMENT_QUEUE_H
#define COMETSPINDLE_GATEWAY_PLACEMENT_QUEUE_H

#include <libcometspindle/gateway/placement/placement_item.h>

struct comet_placement;

/** Calls visit for each service that was asked for, with the requests that wait for it. */
void
comet_placement_each_service(const struct comet_placement *placement,
	void (*visit)(void *ctx, const char *service, uint32_t waiting), void *ctx);

/** How long one more request of the item's rank would wait, as things stand. */
uint64_t
comet_placement_wait_us(struct comet_placement *placement, const struct comet_placement_item *item,
	uint64_t now_us);

/** One number for a rank, for metrics and paces: 0 is the most urgent. */
uint32_t
comet_placement_rank(const struct comet_placement_item *item);

#endif
