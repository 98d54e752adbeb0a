/*
 * returning_callers.h
 * recognizes callers that come back after a refusal, at whichever VM
 *
 * A caller that retries after the stated time gives its request a new id and often connects to
 * another VM. The VM that refuses sends a record with the digest of the request to the VM that owns
 * the digest. A VM that cannot place a request at once looks the digest up there; a record is used
 * once. Several equal requests have several records. A record that is lost costs its caller the
 * better place in the queue and nothing else. This module uses no sockets and no clock.
 */
#ifndef COMETSPINDLE_GATEWAY_RETURNING_CALLERS_H
#define COMETSPINDLE_GATEWAY_RETURNING_CALLERS_H

#include <libcometspindle/gateway/messages/datagram.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** Maximum number of records that one VM stores, which take at most 2.1 MB. */
#define COMET_RETURNING_CALLERS_MAX 16384

/** Bound of the lifetime of a record, and of the time until its caller is expected. A record of a
 * caller without a deadline lasts as long as a peak and the return from it. A longer one would
 * serve callers that send equal requests for other reasons. */
#define COMET_RETURNING_CALLERS_LIFETIME_MAX_US 60000000

/** Result of a lookup. */
enum comet_return_lookup
{
	COMET_RETURN_PENDING,    /**< The owner was asked; ended is called. */
	COMET_RETURN_NEWCOMER,   /**< There is no such record. */
	COMET_RETURN_RETURNED,   /**< There was one, which is used up. */
	COMET_RETURN_UNANSWERED, /**< The owner did not answer in time. */
};

/** A refusal with a Retry-After. */
struct comet_refused_caller
{
	uint64_t digest;
	uint64_t due_us;  /**< time until the caller is expected */
	uint64_t left_us; /**< time for which the record is of use */
	uint64_t age_us;  /**< time since the first attempt of the caller arrived */
};

struct comet_returning_callers_ops
{
	void (*send)(void *ctx, uint32_t address, const uint8_t *data, size_t length);
	/** A pending lookup has ended. age_us: time since it was sent. caller_age_us: time since
	 * the first attempt of a returned caller arrived; 0: not known. */
	void (*ended)(void *ctx, void *user_data, uint32_t owner_vm,
		enum comet_return_lookup result, uint64_t age_us, uint64_t caller_age_us);
	/** A record is dropped because the store, or its part for this digest, is full. */
	void (*dropped)(void *ctx, uint64_t digest);
};

/** Monotonic counters. */
struct comet_returning_callers_counts
{
	uint64_t recorded; /**< records stored for any VM */
	uint64_t dropped;  /**< records for which ops.dropped was called */
	uint64_t expired;  /**< records that were not used */
	uint64_t answered; /**< lookups answered for other VMs */
	uint64_t used;     /**< records found, by any VM */
};

struct comet_returning_callers;

/** @param address the address of this VM (IPv4, host order) */
struct comet_returning_callers *
comet_returning_callers_create(
	void *parent, uint32_t address, const struct comet_returning_callers_ops *ops, void *ctx);

/** Records a refusal at the owner of its digest, which may be this VM. */
void
comet_returning_callers_record(struct comet_returning_callers *callers, uint32_t owner_vm,
	const struct comet_refused_caller *refused, uint64_t now_us);

/**
 * Looks a digest up at its owner, which may be this VM.
 * caller_age_us: set if the result is COMET_RETURN_RETURNED, as that of ended
 * @return the result, or COMET_RETURN_PENDING; then ended is called, unless
 * comet_returning_callers_cancel() is called before
 */
enum comet_return_lookup
comet_returning_callers_look_up(struct comet_returning_callers *callers, void *user_data,
	uint32_t owner_vm, uint64_t digest, uint64_t now_us, uint64_t *caller_age_us);

/** Cancels the pending lookup that belongs to user_data, if any. */
void
comet_returning_callers_cancel(struct comet_returning_callers *callers, const void *user_data);

/** Handles a datagram. @return whether it belongs to this module */
bool
comet_returning_callers_receive(
	struct comet_returning_callers *callers, const comet_Datagram *datagram, uint64_t now_us);

/** Ends lookups whose time is over, and removes expired records.
 * @return whether a lookup is pending */
bool
comet_returning_callers_tick(struct comet_returning_callers *callers, uint64_t now_us);

/** @return whether a VM recently left a lookup unanswered. */
bool
comet_returning_callers_is_unresponsive(
	const struct comet_returning_callers *callers, uint32_t vm, uint64_t now_us);

/** @return the key for rendezvous hashing that selects the owner of a digest. */
uint32_t
comet_returning_callers_owner_key(uint64_t digest);

/** @return the number of records stored here. */
uint32_t
comet_returning_callers_count(const struct comet_returning_callers *callers);

const struct comet_returning_callers_counts *
comet_returning_callers_counts(const struct comet_returning_callers *callers);

#endif
