/*
 * placement.h
 * Decides which endpoint a request is sent to and when, and refuses requests
 * that would expire in the queue.
 *
 * Requests that find no capacity wait in order of rank. Each is dispatched as soon
 * as an endpoint has capacity for its rank. A request is refused early if it could
 * not be answered while its caller still waits.
 */
#ifndef COMETSPINDLE_GATEWAY_PLACEMENT_H
#define COMETSPINDLE_GATEWAY_PLACEMENT_H

#include <glib.h>
#include <libcometspindle/gateway/endpoints/instances.h>
#include <libcometspindle/gateway/endpoints/cold_share.h>
#include <libcometspindle/gateway/placement/endpoint_picker.h>
#include <libcometspindle/gateway/placement/placement_item.h>
#include <libcometspindle/gateway/placement/placement_queue.h>
#include <stdbool.h>
#include <stdint.h>

struct comet_placement;

/** Creates a placement. seed: differs between VMs, so that their random choices differ. */
struct comet_placement *
comet_placement_create(void *parent, struct comet_instances *instances,
	const struct comet_placement_ops *ops, void *ctx, uint64_t seed);

/** Prefers free slots in this VM's availability zone to cheaper ones in others; off at first. */
void
comet_placement_prefer_own_zone(struct comet_placement *placement);

/**
 * Sets the number of VMs from which gossip is received, and of all known VMs; both include this
 * one. The VMs share the limits that endpoints advertise.
 */
void
comet_placement_set_vms(struct comet_placement *placement, uint32_t alive, uint32_t known);

/** Updates the share of this VM in the requests to cold endpoints (placement_cold.c); call this
 * several times a second. */
void
comet_placement_update_cold_shares(
	struct comet_placement *placement, const struct comet_cold_vms *vms, uint64_t now_us);

/** @return the last refusal of a request to a cold endpoint, and the number of them. */
const struct comet_cold_refusal *
comet_placement_cold_refusal(const struct comet_placement *placement);

/** @return the fraction of the VMs on which the share of this VM in cold endpoints is based. */
double
comet_placement_cold_fraction(const struct comet_placement *placement);

/** Submits a request. It is dispatched or refused later, or before this call returns. */
void
comet_placement_submit(
	struct comet_placement *placement, struct comet_placement_item *item, uint64_t now_us);

/**
 * Cancels a request; does nothing if the request is neither queued nor has a slot request pending.
 */
void
comet_placement_cancel(struct comet_placement *placement, struct comet_placement_item *item);

/** @return whether no endpoint of the software version that the item needs accepts requests. */
bool
comet_placement_version_is_gone(
	const struct comet_placement *placement, const struct comet_placement_item *item);

/** @return whether an endpoint to which the item was not sent yet has room for it, as far as this
 * VM knows, and no request waits for one. */
bool
comet_placement_has_room(struct comet_placement *placement, const struct comet_placement_item *item,
	uint64_t now_us);

/** @return whether a request waits in the queue or for the answer to a slot request. */
bool
comet_placement_is_pending(const struct comet_placement_item *item);

/** Serves the queues. Called when a slot may have become free and at regular intervals. */
void
comet_placement_run(struct comet_placement *placement, uint64_t now_us);

/**
 * Handles a slot granted by an owner.
 * @return false if the slot cannot be used and has to be released
 */
bool
comet_placement_granted(struct comet_placement *placement, struct comet_placement_item *item,
	const struct comet_slot_grant *grant, uint64_t now_us) G_GNUC_WARN_UNUSED_RESULT;

/** Handles the denial of a slot request: no endpoint of the shard has capacity at that level. */
void
comet_placement_denied(struct comet_placement *placement, struct comet_placement_item *item,
	uint32_t shard, uint32_t queue_limit, uint64_t now_us);

/** Handles the reply that the request waits at the owner, with the expected wait. */
void
comet_placement_set_expected_wait(struct comet_placement *placement,
	struct comet_placement_item *item, uint64_t expected_us, uint64_t now_us);

/** Handles an owner's estimate of when it has room for the request if its caller is refused now.
 * return_us: time from now. */
void
comet_placement_set_return_time(struct comet_placement *placement,
	const struct comet_placement_item *item, uint64_t return_us, uint64_t now_us);

/**
 * Handles the answer to a find_caller that was pending. An item that waits and whose caller
 * returned moves up within its rank, also at the owner where it waits. The item may be dispatched
 * or refused before this call returns.
 */
void
comet_placement_set_caller(struct comet_placement *placement, struct comet_placement_item *item,
	bool returned, uint64_t now_us);

/** Handles the expiry of a slot request that has waited at the owner without a grant. */
void
comet_placement_wait_expired(
	struct comet_placement *placement, struct comet_placement_item *item, uint64_t now_us);

/** Handles a slot request that the owner left unanswered. */
void
comet_placement_unanswered(
	struct comet_placement *placement, struct comet_placement_item *item, uint64_t now_us);

/** @return the shard with this id, or NULL. */
struct comet_shard *
comet_placement_find_shard(struct comet_placement *placement, uint32_t id);

/** Counts a connection other than a request against the limit that an instance advertises.
 * @return false if the share of this VM does not admit it */
bool
comet_placement_limit_admits(
	struct comet_placement *placement, struct comet_instance *instance, uint64_t now_us);

/** Records that a request of this VM has left a slot of the instance. */
void
comet_placement_slot_released(
	struct comet_placement *placement, const struct comet_instance *instance);

/**
 * Picks an instance, as the owner, for a request of another VM.
 * @return the instance, or NULL if none has capacity; wait says whether the request now waits here
 */
struct comet_instance *
comet_placement_pick_remote(struct comet_placement *placement,
	const struct comet_slot_request *request, uint64_t now_us,
	struct comet_placement_wait_estimate *wait);

/** @return whether the service has an instance that the item has not been sent to. */
bool
comet_placement_has_unattempted(
	const struct comet_placement *placement, const struct comet_placement_item *item);

/** @return whether all endpoints of the item's service are in evacuated availability zones. */
bool
comet_placement_is_evacuated(
	const struct comet_placement *placement, const struct comet_placement_item *item);

const struct comet_placement_announcement *
comet_placement_announcement(const struct comet_placement *placement);

const struct comet_placement_decision *
comet_placement_decision(const struct comet_placement *placement);

/** @return how many requests this VM, as owner, sent to slow endpoints to spare fast ones. */
uint64_t
comet_placement_spared_fast(const struct comet_placement *placement);

#endif
