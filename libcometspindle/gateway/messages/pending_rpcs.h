/*
 * pending_rpcs.h
 * questions to other VMs that wait for their answers, and VMs that left one unanswered
 *
 * Any datagram may be lost, and any VM may be gone: a question is given up after a time, and its VM
 * is left alone for a while. No sockets and no clock in here.
 */
#ifndef COMETSPINDLE_GATEWAY_PENDING_RPCS_H
#define COMETSPINDLE_GATEWAY_PENDING_RPCS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** A question that is not answered yet; the first member of what is kept of it. */
struct comet_pending_rpc
{
	void *owner; /**< for whom it is asked */
	uint64_t number;
	uint64_t since_us;
	uint64_t most_us; /**< it is given up after this time */
	uint32_t vm;      /**< that was asked (IPv4, host order) */
};

struct comet_pending_rpcs;

/** entry_bytes: of what is kept of a question, struct comet_pending_rpc included. */
struct comet_pending_rpcs *
comet_pending_rpcs_create(void *parent, size_t entry_bytes);

/** Keeps a new question, with a number of its own; what follows the ask is zeroed. */
void *
comet_pending_rpcs_add(struct comet_pending_rpcs *asks, void *owner, uint32_t vm, uint64_t now_us);

/** @return the question of that number to that VM, or NULL. */
void *
comet_pending_rpcs_find(const struct comet_pending_rpcs *asks, uint64_t number, uint32_t vm);

/** It is answered, or given up: frees it. */
void
comet_pending_rpcs_remove(struct comet_pending_rpcs *asks, void *entry);

/** @return the oldest question of an owner, or NULL. */
void *
comet_pending_rpcs_find_owner(const struct comet_pending_rpcs *asks, const void *owner);

/** @return a question whose time is over, or NULL. */
void *
comet_pending_rpcs_find_expired(const struct comet_pending_rpcs *asks, uint64_t now_us);

/** @return whether any question is open. */
bool
comet_pending_rpcs_has_pending(const struct comet_pending_rpcs *asks);

/** A VM left a question unanswered. */
void
comet_pending_rpcs_mark_unresponsive(struct comet_pending_rpcs *asks, uint32_t vm, uint64_t now_us);

/** A VM has answered something, be it late: it is there, and is asked again. */
void
comet_pending_rpcs_mark_responsive(struct comet_pending_rpcs *asks, uint32_t vm);

/** @return whether a VM left a question unanswered of late. */
bool
comet_pending_rpcs_is_unresponsive(
	const struct comet_pending_rpcs *asks, uint32_t vm, uint64_t now_us);

#endif
