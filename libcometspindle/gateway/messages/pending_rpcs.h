/*
 * pending_rpcs.h
 * tracks RPCs to other VMs until they are answered, and VMs that left one unanswered
 *
 * Any datagram may be lost and any VM may be down, so each RPC has a timeout. A VM that left an RPC
 * unanswered is unresponsive for a while. The timeout grows with the round trip to the VM, which is
 * learned from its answers, late ones included. This module uses no sockets and no clock.
 */
#ifndef COMETSPINDLE_GATEWAY_PENDING_RPCS_H
#define COMETSPINDLE_GATEWAY_PENDING_RPCS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** An RPC that is not answered yet. It is the first member of the caller's entry for the RPC. */
struct comet_pending_rpc
{
	void *user_data; /**< object of the caller that the RPC belongs to */
	uint64_t number; /**< the answer repeats it */
	uint64_t sent_us;
	uint64_t timeout_us; /**< the RPC expires this long after sent_us */
	uint32_t vm;         /**< address of the VM that was called (IPv4, host order) */
	bool answered;       /**< a first answer has arrived; a final one may follow */
};

struct comet_pending_rpcs;

/** @param entry_bytes size of the caller's entry for an RPC, struct comet_pending_rpc included */
struct comet_pending_rpcs *
comet_pending_rpcs_create(void *parent, size_t entry_bytes);

/**
 * Adds an RPC with a new number.
 * @return its entry; everything after struct comet_pending_rpc is zeroed.
 */
void *
comet_pending_rpcs_add(
	struct comet_pending_rpcs *rpcs, void *user_data, uint32_t vm, uint64_t now_us);

/** @return the entry of the RPC with this number to this VM, or NULL. */
void *
comet_pending_rpcs_find(const struct comet_pending_rpcs *rpcs, uint64_t number, uint32_t vm);

/** Removes and frees the entry of an RPC that is answered, expired or cancelled. */
void
comet_pending_rpcs_remove(struct comet_pending_rpcs *rpcs, void *entry);

/** @return the entry of the oldest RPC that belongs to an object of the caller, or NULL. */
void *
comet_pending_rpcs_find_user_data(const struct comet_pending_rpcs *rpcs, const void *user_data);

/** @return the entry of an expired RPC, or NULL. */
void *
comet_pending_rpcs_find_expired(const struct comet_pending_rpcs *rpcs, uint64_t now_us);

/** @return whether any RPC is pending. */
bool
comet_pending_rpcs_has_pending(const struct comet_pending_rpcs *rpcs);

/** Marks the VM that left an RPC unanswered as unresponsive for a while. */
void
comet_pending_rpcs_expired(
	struct comet_pending_rpcs *rpcs, const struct comet_pending_rpc *rpc, uint64_t now_us);

/** Marks a VM as responsive again, and learns the round trip to it if this is the first answer to
 * the RPC with this number. Call it for every answer, even a late one. */
void
comet_pending_rpcs_answered(
	struct comet_pending_rpcs *rpcs, uint64_t number, uint32_t vm, uint64_t now_us);

/** @return the learned round trip to a VM, or 0 if there was no answer yet. */
uint64_t
comet_pending_rpcs_round_trip_us(const struct comet_pending_rpcs *rpcs, uint32_t vm);

/** @return whether a VM recently left an RPC unanswered. */
bool
comet_pending_rpcs_is_unresponsive(
	const struct comet_pending_rpcs *rpcs, uint32_t vm, uint64_t now_us);

#endif
