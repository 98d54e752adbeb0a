/*
 * body_budget.h
 * bounds the memory of request bodies and of responses, so that they never end the process
 */
#ifndef COMETSPINDLE_GATEWAY_BODY_BUDGET_H
#define COMETSPINDLE_GATEWAY_BODY_BUDGET_H

#include <stdbool.h>
#include <stdint.h>

struct comet_body_budget;

/** @param memory_bytes what the process may use in all; 0: unknown, so that nothing is bounded */
struct comet_body_budget *
comet_body_budget_create(void *parent, uint64_t memory_bytes);

/** Reserves memory for this many bytes of a body, which are kept for a further attempt and queued
 * for the endpoint. @return false if there is no room: the request is refused */
bool
comet_body_budget_reserve(struct comet_body_budget *budget, uint64_t body_bytes);

/** Releases what was reserved for this many bytes. */
void
comet_body_budget_release(struct comet_body_budget *budget, uint64_t body_bytes);

/** Returns how many bytes of one response may be kept, before more of it is read from the endpoint.
 * @param unsent_bytes what all callers have not read of their responses
 * @param most_bytes if there is enough memory */
uint64_t
comet_body_budget_response_bytes(
	const struct comet_body_budget *budget, uint64_t unsent_bytes, uint64_t most_bytes);

/** Returns the reserved bytes of memory. */
uint64_t
comet_body_budget_reserved(const struct comet_body_budget *budget);

#endif
