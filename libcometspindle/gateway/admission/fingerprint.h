/*
 * fingerprint.h
 * identity of a request: its team, method, host, target and body
 *
 * Request ids don't identify a repeated request, since a caller that retries gives each attempt a
 * new id.
 */
#ifndef COMETSPINDLE_GATEWAY_FINGERPRINT_H
#define COMETSPINDLE_GATEWAY_FINGERPRINT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** Equal on all VMs for the same request. The team is compared beside the digest, so requests of
 * two teams never match, even if a team constructs a body with the same digest. */
struct comet_fingerprint
{
	uint64_t digest;
	uint32_t team; /**< hash of the team's name; 0: a request of an open route */
};

/** The parts of a request that its fingerprint covers. */
struct comet_fingerprint_parts
{
	const char *team; /**< NULL for an open route */
	const char *method;
	const char *host; /**< case-insensitive */
	const char *target;
	const uint8_t *body;
	size_t body_bytes;
};

struct comet_fingerprint
comet_fingerprint_compute(const struct comet_fingerprint_parts *parts);

/** The identity of a part of a team's prompts. @param team NULL for an open route
 * @param id hexadecimal, in any case; not terminated */
struct comet_fingerprint
comet_fingerprint_compute_part(const char *team, const char *id, size_t length);

static inline bool
comet_fingerprint_equal(const struct comet_fingerprint *a, const struct comet_fingerprint *b)
{
	return a->digest == b->digest && a->team == b->team;
}

#endif
