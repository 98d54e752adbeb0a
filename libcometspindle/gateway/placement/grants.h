/*
 * grants.h
 * requests slots at the VMs that own shards of endpoints, and answers such requests
 *
 * The state that VMs exchange by gossip is some hundred milliseconds old, so VMs
 * that place requests by gossip alone all fill the same free slot. Therefore one
 * VM, the owner of a shard, counts the used slots of its endpoints exactly, and
 * the other VMs request a slot from the owner before they dispatch.
 *
 * A grant is advisory, not a lock. A slot request that is not answered in time
 * expires, and the request is placed by gossip instead, so a lost datagram or an
 * unreachable owner costs a few milliseconds. This module uses no sockets and no clock.
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
	/** Requesting VM: the owner granted a slot at an instance. */
	void (*granted)(
		void *ctx, struct comet_placement_item *item, const struct comet_slot_grant *grant);
	/** Requesting VM: no endpoint of the shard has capacity with this queue limit. */
	void (*denied)(
		void *ctx, struct comet_placement_item *item, uint32_t shard, uint32_t queue_limit);
	/** Requesting VM: the request waits at the owner, which expects the wait to take
	 * expected_us. */
	void (*expected_wait)(void *ctx, struct comet_placement_item *item, uint64_t expected_us);
	/** Requesting VM: the request has waited at the owner for its maximum time without a
	 * grant. */
	void (*wait_expired)(void *ctx, struct comet_placement_item *item);
	/** Requesting VM: the owner did not answer in time. */
	void (*unanswered)(void *ctx, struct comet_placement_item *item, uint32_t owner_vm);
	/**
	 * Owner: selects an instance for the slot request of another VM.
	 * @return the instance; NULL when none has capacity, and then *wait says whether the
	 * request waits here.
	 */
	const struct comet_instance *(*pick)(void *ctx, const comet_SlotAsk *request,
		struct comet_placement_wait_estimate *wait);
	/** Owner: another VM has released a slot that it had been granted. */
	void (*remote_release)(void *ctx, const comet_SlotFreed *freed);
	/** Requesting VM: the owner denies the slot or lets the request wait, and expects to have
	 * room in return_us for the request if its caller is refused now. Called before denied and
	 * expected_wait. */
	void (*return_time)(void *ctx, struct comet_placement_item *item, uint64_t return_us);
};

struct comet_grants;

/** @param address the address of this VM (IPv4, host order) */
struct comet_grants *
comet_grants_create(void *parent, uint32_t address, const struct comet_grants_ops *ops, void *ctx);

/**
 * Requests a slot from the owner of a shard. Exactly one of granted, denied, wait_expired and
 * unanswered is called at the end, or none after comet_grants_cancel().
 */
void
comet_grants_request(struct comet_grants *grants, struct comet_placement_item *item,
	uint32_t owner_vm, const struct comet_slot_request *request, uint64_t now_us);

/** Cancels the slot request of an item. A grant that still arrives for it is released. */
void
comet_grants_cancel(struct comet_grants *grants, struct comet_placement_item *item);

/** What is reported to the owner about a request that has released its slot. */
struct comet_grants_completion
{
	enum comet_dispatch_result result;
	bool stream;
	uint32_t events; /**< number of events of a complete streamed response, otherwise 0 */
	/** Time from the first event to the last, or of the complete response when it is not
	 * streamed; 0 when unknown. */
	uint64_t taken_us;
	bool brittle; /**< the endpoint is brittle, as far as this VM knows */
	uint32_t rejections_per_s;
	uint64_t brittle_age_us;   /**< time since this VM learned that; 0: never */
	uint32_t slowdown_percent; /**< that the endpoint states; 0: none */
	uint64_t slowdown_age_us;  /**< time since it stated that */
};

/**
 * Releases a granted slot.
 * @param completion NULL when the request was not dispatched to the endpoint
 */
void
comet_grants_release(struct comet_grants *grants, uint32_t owner_vm, uint32_t instance_key,
	const struct comet_grants_completion *completion);

/** Sends a sample of a stream that goes on, which releases nothing. Must only be sent to an owner
 * that wants one (struct comet_slot_grant), since an earlier release takes it for the release of a
 * slot.
 */
void
comet_grants_send_sample(struct comet_grants *grants, uint32_t owner_vm, uint32_t instance_key,
	const struct comet_grants_completion *sample);

/** Adds what this VM knows of the slowdown that the endpoint states. The time taken must be given
 * without it (comet_current_speed_usual_us()). */
void
comet_grants_add_slowdown(struct comet_grants_completion *completion,
	const struct comet_instance *instance, uint64_t now_us);

/** Owner: learns the speed of an endpoint from a release or a sample of another VM.
 * @return false if the stated slowdown is out of bounds; it is ignored then */
bool
comet_grants_learn_speed(
	struct comet_instance *instance, const comet_SlotFreed *freed, uint64_t now_us);

/** @return the dispatch result for a result that another VM reported to this owner. */
enum comet_dispatch_result
comet_grants_result(comet_SlotResult reported);

/** Owner: grants a slot to a remote waiter. */
void
comet_grants_grant(struct comet_grants *grants, uint32_t requester, uint64_t number,
	const struct comet_instance *instance);

/** Handles a received slot request, answer or release; other datagrams are ignored. */
void
comet_grants_receive(struct comet_grants *grants, const comet_Datagram *datagram, uint64_t now_us);

/** Ends slot requests whose time is over. @return whether any slot request is still pending. */
bool
comet_grants_tick(struct comet_grants *grants, uint64_t now_us);

/** @return whether a VM recently left a slot request unanswered. */
bool
comet_grants_is_unresponsive(const struct comet_grants *grants, uint32_t owner_vm, uint64_t now_us);

#endif
