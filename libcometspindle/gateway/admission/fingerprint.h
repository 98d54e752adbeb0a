/*
 * fingerprint.h
 * what makes two requests the same one: their team, method, host, target and body
 *
 * A caller that tries again gives each attempt an id of its own, so that ids do not tell.
 */
#ifndef COMETSPINDLE_GATEWAY_FINGERPRINT_H
#define COMETSPINDLE_GATEWAY_FINGERPRINT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** The same on all VMs. Its team stands beside the digest: requests of two teams are never taken
 * for the same, whatever a team may have found that hashes alike. */
struct comet_fingerprint
{
	uint64_t digest;
	uint32_t team; /**< hash of the team's name; 0: a request of an open route */
};

/** What a fingerprint is made of. */
struct comet_fingerprint_parts
{
	const char *team; /**< NULL: an open route */
	const char *method;
	const char *host; /**< its case does not matter */
	const char *target;
	const uint8_t *body;
	size_t body_bytes;
};

struct comet_fingerprint
comet_fingerprint_of(const struct comet_fingerprint_parts *parts);

static inline bool
comet_fingerprint_equal(const struct comet_fingerprint *a, const struct comet_fingerprint *b)
{
	return a->digest == b->digest && a->team == b->team;
}

#endif
