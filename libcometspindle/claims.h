/*
 * claims.h
 * the memory of idempotency keys: at most once without a shared store
 *
 * Each key has a group of VMs, chosen by rendezvous over the platform's list.
 * A request that must not be repeated runs only after enough of the group
 * have each recorded the key for it alone. A VM records a key only if it can
 * vouch for it: it ran, and was in the key's group, ever since the caller
 * first sent the request. Otherwise it is unsure, and the key does not run.
 */
#ifndef COMETSPINDLE_CLAIMS_H
#define COMETSPINDLE_CLAIMS_H

#include <stddef.h>
#include <stdint.h>

#define COMET_CLAIM_GROUP_MAX 5

enum comet_claim_answer
{
	COMET_CLAIM_GRANTED,
	COMET_CLAIM_SEEN,   /**< recorded for another request */
	COMET_CLAIM_UNSURE, /**< this VM cannot vouch for the time since the first sending */
};

struct comet_claims;

/** started_ms: wall clock at the start of this process. */
struct comet_claims *
comet_claims_create(void *parent, uint64_t self_id, uint64_t started_ms);

/** Limits come with the bundle. */
void
comet_claims_set_limits(struct comet_claims *claims, uint32_t lifetime_s, uint32_t skew_ms);

/** The platform's list changed (ids, this VM included if listed). */
void
comet_claims_set_list(
	struct comet_claims *claims, const uint64_t *ids, size_t count, uint64_t now_ms);

/** This process was paused: what it recorded holds, but it cannot vouch for the gap. */
void
comet_claims_paused(struct comet_claims *claims, uint64_t now_ms);

/** Records key for (holder, request) if this VM can vouch for it and it is free. */
enum comet_claim_answer
comet_claims_record(struct comet_claims *claims, uint64_t key, uint64_t first_sent_ms,
	uint64_t holder, uint64_t request, uint64_t now_ms);

/** The request was not run: forgets the key if it is recorded for just this request. */
void
comet_claims_release(struct comet_claims *claims, uint64_t key, uint64_t holder, uint64_t request);

/** Drops keys older than their lifetime. */
void
comet_claims_expire(struct comet_claims *claims, uint64_t now_ms);

/** The key's group within a list. @return its size. */
size_t
comet_claims_group(
	const uint64_t *ids, size_t count, uint64_t key, uint64_t group[COMET_CLAIM_GROUP_MAX]);

/**
 * How many of a group must record a key. Two quorums meet in at least one VM
 * even when the two lists they were drawn from differ in up to two VMs.
 */
size_t
comet_claims_quorum(size_t group_size);

#endif
