/*
 * endpoint_picker.h
 * Picks the cheapest endpoint that has capacity for a request.
 *
 * An endpoint that would miss the soft deadline of the request is not picked
 * while a full endpoint would still meet it; the decision is then marked as
 * deferred.
 */
#ifndef COMETSPINDLE_GATEWAY_ENDPOINT_PICKER_H
#define COMETSPINDLE_GATEWAY_ENDPOINT_PICKER_H

#include <libcometspindle/random.h>
#include <libcometspindle/gateway/endpoints/instances.h>
#include <libcometspindle/gateway/placement/placement_item.h>
#include <stdbool.h>
#include <stdint.h>

/** The last cold endpoint that had a free slot and was not picked, for the log. */
struct comet_cold_refusal
{
	uint64_t count;        /**< of all refusals since the start of the process */
	uint32_t instance_key; /**< of the last one, like the fields below; 0: none yet */
	uint32_t recent;       /**< requests in the last second or a little more */
	uint32_t allowance;
	bool for_other_vm; /**< it was a slot request of another VM */
	uint64_t at_us;
};

/** State that one VM uses for all its picks. */
struct comet_endpoint_picker
{
	struct comet_random rng; /**< Adds jitter to costs, so that VMs with equal gossip pick
				    different endpoints. */
	bool prefer_own_zone; /**< Prefer free slots in this VM's availability zone to cheaper ones
				 in others. */
	struct comet_cold_refusal cold_refusal;
	uint64_t spared_fast; /**< Requests for which this VM, as owner, picked a slow endpoint
				 since others need the fast ones. */
};

/** The endpoints to pick from, and how their load is counted. */
struct comet_endpoint_picker_scope
{
	const GPtrArray *instances; /**< Candidates, struct comet_instance; NULL: none. */
	uint32_t queue_limit; /**< Streams only: requests allowed beyond an endpoint's slots. */
	bool owned;           /**< Whether this VM is the owner, which has the exact load. */
	bool decides_on_cold; /**< Whether this VM decides on requests to cold endpoints. */
	bool owner_decides;   /**< Another VM, the owner, applies the limits that endpoints
				 advertise. */
	double limit_share; /**< Otherwise: share of such a limit that this VM may use; 0: none. */
	const uint32_t *excluded; /**< Keys of instances that must not be picked. */
	uint32_t n_excluded;
};

/** @return the number of requests of this rank that may queue at an endpoint. */
uint32_t
comet_endpoint_picker_queue_limit(const struct comet_placement_item *item);

/** @return whether the item may be sent to the instance if the instance has capacity. */
bool
comet_endpoint_picker_is_usable(const struct comet_placement_item *item,
	const struct comet_instance *instance, uint64_t now_us);

/** @return whether the instance accepts new requests and the item has not been sent to it yet. */
bool
comet_endpoint_picker_is_candidate(
	const struct comet_placement_item *item, const struct comet_instance *instance);

/**
 * Picks the cheapest instance with capacity and stores the inputs of the pick in decision.
 * @return the instance, or NULL if none was picked.
 */
struct comet_instance *
comet_endpoint_picker_pick(struct comet_endpoint_picker *picker,
	const struct comet_placement_item *item, const struct comet_endpoint_picker_scope *scope,
	uint64_t now_us, struct comet_placement_decision *decision);

#endif
