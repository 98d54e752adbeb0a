/*
 * placement.h
 * which endpoint a request goes to, when, and what is refused early
 *
 * Requests that find no room wait in order of rank; each is offered as soon as
 * an endpoint has room for its rank, or refused once it could not be answered
 * in a time in which its caller still waits.
 */
#ifndef COMETSPINDLE_GATEWAY_PLACEMENT_H
#define COMETSPINDLE_GATEWAY_PLACEMENT_H

#include <glib.h>
#include <libcometspindle/gateway/endpoints/instances.h>
#include <libcometspindle/gateway/placement/placement_item.h>
#include <libcometspindle/gateway/placement/placement_queue.h>
#include <stdbool.h>
#include <stdint.h>

struct comet_placement;

/** seed: for draws that must differ between VMs. */
struct comet_placement *
comet_placement_create(void *parent, struct comet_instances *instances,
	const struct comet_placement_ops *ops, void *ctx, uint64_t seed);

/** So many VMs are known to be there, and heard; with this one. Cold endpoints are shared by them.
 */
void
comet_placement_set_vms(struct comet_placement *placement, uint32_t heard, uint32_t known);

/** A request is to be placed; answered by dispatch or refuse, perhaps before this returns. */
void
comet_placement_submit(
	struct comet_placement *placement, struct comet_placement_item *item, uint64_t now_us);

/** It is not to be placed any more; nothing happens if it does not wait. */
void
comet_placement_cancel(struct comet_placement *placement, struct comet_placement_item *item);

/** Room may have come up, or time has passed. */
void
comet_placement_run(struct comet_placement *placement, uint64_t now_us);

/** A keeper granted a slot. @return false when it cannot be used and is to be given back. */
bool
comet_placement_granted(struct comet_placement *placement, struct comet_placement_item *item,
	uint32_t keeper, uint32_t instance_key, uint64_t now_us) G_GNUC_WARN_UNUSED_RESULT;

/** Nothing in the shard has room at that level. */
void
comet_placement_denied(struct comet_placement *placement, struct comet_placement_item *item,
	uint32_t shard, uint32_t beyond, uint64_t now_us);

/** It waits at the keeper, and would do so for about that time. */
void
comet_placement_set_expected_wait(struct comet_placement *placement,
	struct comet_placement_item *item, uint64_t expected_us, uint64_t now_us);

/** It has waited at the keeper for as long as it was to, and no slot came free for it. */
void
comet_placement_wait_expired(
	struct comet_placement *placement, struct comet_placement_item *item, uint64_t now_us);

/** The keeper did not answer. */
void
comet_placement_unanswered(
	struct comet_placement *placement, struct comet_placement_item *item, uint64_t now_us);

/** A request of ours has left a slot. */
void
comet_placement_slot_released(
	struct comet_placement *placement, const struct comet_instance *instance);

/**
 * Chooses, as keeper, for a request of another VM.
 * @return NULL when nothing has room
 */
struct comet_instance *
comet_placement_choose_remote(struct comet_placement *placement,
	const struct comet_slot_request *ask, uint64_t now_us,
	struct comet_placement_wait_estimate *wait);

/** @return whether there is an instance that the item was not sent to yet. */
bool
comet_placement_has_untried(
	const struct comet_placement *placement, const struct comet_placement_item *item);

/** @return whether the endpoints of the item's service are all in evacuated zones. */
bool
comet_placement_is_evacuated(
	const struct comet_placement *placement, const struct comet_placement_item *item);

const struct comet_placement_decision *
comet_placement_decision(const struct comet_placement *placement);

#endif
