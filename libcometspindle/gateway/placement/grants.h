/*
 * grants.h
 * slots asked for at the VMs that keep count of endpoints
 *
 * Views are some hundred milliseconds old: VMs that choose by them all fill the
 * same free slot. So one VM keeps exact count of each shard of endpoints, and
 * the others ask it before they send there. A grant is advice, not a lock: an
 * ask that is not answered in time is given up, and the request is placed by
 * views instead, so that a lost datagram or a dead VM costs a few milliseconds.
 * No sockets and no clock in here.
 */
#ifndef COMETSPINDLE_GATEWAY_GRANTS_H
#define COMETSPINDLE_GATEWAY_GRANTS_H

#include <libcometspindle/gateway/messages/datagram.h>
#include <libcometspindle/gateway/placement/placement.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct comet_grants_ops
{
	void (*send)(void *ctx, uint32_t address, const uint8_t *data, size_t length);
	/** Asker: the keeper granted a slot at an instance. */
	void (*granted)(void *ctx, struct comet_placement_item *item, uint32_t keeper,
		uint32_t instance_key);
	/** Asker: nothing in the shard has room at this level. */
	void (*denied)(
		void *ctx, struct comet_placement_item *item, uint32_t shard, uint32_t beyond);
	/** Asker: it waits at the keeper, as long as is told. */
	void (*waits)(void *ctx, struct comet_placement_item *item, uint64_t expected_us);
	/** Asker: it has waited at the keeper for as long as it was to. */
	void (*waited)(void *ctx, struct comet_placement_item *item);
	/** Asker: the keeper did not answer in time. */
	void (*unanswered)(void *ctx, struct comet_placement_item *item, uint32_t keeper);
	/** Keeper: chooses for another VM. @return the instance's key, or 0. */
	uint32_t (*choose)(
		void *ctx, const comet_SlotAsk *ask, struct comet_placement_wait_estimate *wait);
	/** Keeper: another VM has left a slot that it was granted. */
	void (*freed)(void *ctx, const comet_SlotFreed *freed);
};

struct comet_grants;

/** address: of this VM (IPv4, host order). */
struct comet_grants *
comet_grants_create(void *parent, uint32_t address, const struct comet_grants_ops *ops, void *ctx);

/** Asks a keeper for a slot; ends in one of granted, denied, waited, unanswered, or by forget. */
void
comet_grants_request(struct comet_grants *grants, struct comet_placement_item *item,
	uint32_t keeper, const struct comet_slot_request *ask, uint64_t now_us);

/** The item is not to be placed any more: a grant that still comes is given back. */
void
comet_grants_cancel(struct comet_grants *grants, struct comet_placement_item *item);

/** What a keeper is told of a request that has left its slot. */
struct comet_grants_completion
{
	enum comet_dispatch_result result;
	bool stream;
	uint32_t events;   /**< of a whole answer that was one; or 0 */
	uint64_t taken_us; /**< from its first event to its last, or for all of a plain one; or 0 */
};

/** Gives a granted slot back; end: NULL when the request was not sent there. */
void
comet_grants_release(struct comet_grants *grants, uint32_t keeper, uint32_t instance_key,
	const struct comet_grants_completion *end);

/** The result that a keeper is told, as a result of its own. */
enum comet_dispatch_result
comet_grants_result(comet_SlotResult told);

/** Keeper: a request that has waited here may have a slot. */
void
comet_grants_grant(
	struct comet_grants *grants, uint32_t asker, uint64_t number, uint32_t instance_key);

/** A datagram arrived that is no view. */
void
comet_grants_receive(struct comet_grants *grants, const comet_Datagram *datagram);

/** Gives up asks that were not answered in time. @return whether any is still open */
bool
comet_grants_tick(struct comet_grants *grants, uint64_t now_us);

/** @return whether a VM left an ask unanswered of late. */
bool
comet_grants_is_unresponsive(const struct comet_grants *grants, uint32_t keeper, uint64_t now_us);

#endif
