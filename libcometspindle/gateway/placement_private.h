/*
 * placement_private.h
 * what the files of placement share
 */
#ifndef COMETSPINDLE_GATEWAY_PLACEMENT_PRIVATE_H
#define COMETSPINDLE_GATEWAY_PLACEMENT_PRIVATE_H

#include <libcometspindle/gateway/choice.h>
#include <libcometspindle/gateway/placement.h>

struct comet_placement
{
	struct comet_instances *instances;
	struct comet_shards *shards;
	struct comet_choice choice;
	const struct comet_placement_ops *ops;
	void *ctx;
	GHashTable *queues; /* service -> struct queue */
	struct comet_placement_reason reason;
	uint32_t asking; /* requests that await a keeper's answer */
	uint64_t next_order;
	bool running;
	bool again;
};

/** Chooses by views among all of a service's endpoints (placement_find.c). */
struct comet_instance *
comet_placement_choose_by_views(struct comet_placement *placement,
	const struct comet_placement_item *item, uint64_t now_us);

/**
 * Looks for a slot: free ones anywhere first, then those where the item would wait a little.
 * @return an instance; NULL: none, or a keeper was asked and item->asking is set
 */
struct comet_instance *
comet_placement_find(
	struct comet_placement *placement, struct comet_placement_item *item, uint64_t now_us);

#endif
