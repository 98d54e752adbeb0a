/*
 * caller_budget.h
 * bounds the memory that callers occupy, so that they never end the process
 *
 * One bound for connections, heads, bodies, what is read ahead and unread responses: a bound for
 * each of them would have to be met by all at the same time.
 */
#ifndef COMETSPINDLE_GATEWAY_CALLER_BUDGET_H
#define COMETSPINDLE_GATEWAY_CALLER_BUDGET_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

struct comet_caller_budget;

/** @param memory_bytes what the process may use in all; 0: unknown, so that nothing is bounded */
struct comet_caller_budget *
comet_caller_budget_create(void *parent, uint64_t memory_bytes);

/** Returns whether a body finds room when larger ones have used all of theirs. */
bool
comet_caller_budget_is_small(uint64_t body_bytes);

/** Reserves memory for this many bytes of a body, which are kept for a further attempt and queued
 * for the endpoint. @return false if there is no room: the request is refused */
bool
comet_caller_budget_reserve_body(struct comet_caller_budget *budget, uint64_t body_bytes);

/** Releases what was reserved for this many bytes. */
void
comet_caller_budget_release_body(struct comet_caller_budget *budget, uint64_t body_bytes);

/** Changes what a connection occupies besides its body, from `before_bytes` to `bytes`. */
void
comet_caller_budget_change(
	struct comet_caller_budget *budget, uint64_t before_bytes, uint64_t bytes);

/** Returns whether callers occupy more than they may, so that a request has to be refused. */
bool
comet_caller_budget_is_exceeded(const struct comet_caller_budget *budget);

/** Adds a request that has begun to arrive; its owner can be asked to give it up.
 * @return what removes it */
GList *
comet_caller_budget_add_unfinished(struct comet_caller_budget *budget, void *owner);

/** Removes a request that is complete or not read any further. */
void
comet_caller_budget_remove_unfinished(struct comet_caller_budget *budget, GList *unfinished);

/** Returns the owner of the request that has been arriving for the longest time. Requests of
 * ordinary callers arrive quickly, so that this one is the first to be given up.
 * @return NULL if there is none */
void *
comet_caller_budget_oldest_unfinished(const struct comet_caller_budget *budget);

/** Returns whether a further request may be read while one is open on the connection. */
bool
comet_caller_budget_may_read_ahead(const struct comet_caller_budget *budget);

/** Reports what all callers have not read of their responses. */
void
comet_caller_budget_set_responses(struct comet_caller_budget *budget, uint64_t unread_bytes);

/** Returns how many bytes of one response may be kept, before more of it is read from the endpoint.
 * @param most_bytes if there is enough memory */
uint64_t
comet_caller_budget_response_bytes(const struct comet_caller_budget *budget, uint64_t most_bytes);

/** Returns the bytes of memory that are reserved for bodies. */
uint64_t
comet_caller_budget_body_bytes(const struct comet_caller_budget *budget);

/** Returns the bytes of memory that callers occupy in all. */
uint64_t
comet_caller_budget_occupied_bytes(const struct comet_caller_budget *budget);

#endif
