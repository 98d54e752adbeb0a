/*
 * endpoint_picker.h
 * the cheapest endpoint with room for a request
 */
#ifndef COMETSPINDLE_GATEWAY_ENDPOINT_PICKER_H
#define COMETSPINDLE_GATEWAY_ENDPOINT_PICKER_H

#include <libcometspindle/random.h>
#include <libcometspindle/gateway/endpoints/instances.h>
#include <libcometspindle/gateway/placement/placement_item.h>
#include <stdbool.h>
#include <stdint.h>

/** What a choice is made from. */
struct comet_endpoint_picker
{
	struct comet_random draw; /**< spreads VMs that know the same */
	uint32_t seed;            /**< of this VM */
};

/** Among which endpoints, and by which count. */
struct comet_endpoint_picker_scope
{
	const GPtrArray *among; /**< of struct comet_instance; NULL: none */
	uint32_t beyond;        /**< streams: requests that may be there beyond its slots */
	bool kept;              /**< this VM keeps count of them */
	double cold_share;      /**< of what a cold one bears, decided here; 0: elsewhere */
	const uint32_t *except; /**< keys of those that are not wanted */
	uint32_t n_except;
};

/** Requests that one of the item's rank may have waiting at an endpoint. */
uint32_t
comet_endpoint_picker_queue_limit(const struct comet_placement_item *item);

/** @return whether the item could be sent there, if there is room. */
bool
comet_endpoint_picker_is_usable(const struct comet_placement_item *item,
	const struct comet_instance *instance, uint64_t now_us);

/** @return whether the instance is there and the item was not sent to it yet. */
bool
comet_endpoint_picker_is_candidate(
	const struct comet_placement_item *item, const struct comet_instance *instance);

/** @return the cheapest instance with room, or NULL; reason tells why. */
struct comet_instance *
comet_endpoint_picker_pick(struct comet_endpoint_picker *choice,
	const struct comet_placement_item *item, const struct comet_endpoint_picker_scope *scope,
	uint64_t now_us, struct comet_placement_decision *reason);

#endif
