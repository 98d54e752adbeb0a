/*
 * caller_budget.c
 * bounds the memory that callers occupy, so that they never end the process
 */
#include <libcometspindle/gateway/admission/caller_budget.h>

#include <glib.h>
#include <talloc.h>

/* Copies of a body: one for a further attempt, one in the queue of its endpoint. */
#define COPIES 2

/* Part of the memory of the process that callers may occupy. The directory, the connections to
 * endpoints and the code use the rest. */
#define CALLERS_PART 4

/* Bodies up to this size still find room when larger ones have used all of theirs. */
#define SMALL_BODY_BYTES (16 * 1024)

/* Room for small bodies alone, as a part of that for all. */
#define SMALL_PART 4

/* Unread responses of slow callers may use this part of the whole. Beyond it, or if the rest is
 * full, each further response is read from its endpoint in small steps. */
#define RESPONSES_PART 2
#define RESPONSE_STEP_BYTES (16 * 1024)

/* Requests are read ahead while less than this part of the whole is occupied. */
#define AHEAD_PART 2

struct comet_caller_budget
{
	uint64_t max_bytes; /* 0: not bounded */
	uint64_t bodies;    /* reserved for bodies */
	uint64_t others;    /* occupied by connections, heads and what is read ahead */
	uint64_t responses; /* that callers have not read, when last reported */
	GQueue unfinished;  /* owners of requests that are arriving, longest first */
};

static int
budget_destroy(struct comet_caller_budget *budget)
{
	g_queue_clear(&budget->unfinished);
	return 0;
}

struct comet_caller_budget *
comet_caller_budget_create(void *parent, uint64_t memory_bytes)
{
	struct comet_caller_budget *budget = talloc_zero(parent, struct comet_caller_budget);

	budget->max_bytes = memory_bytes / CALLERS_PART;
	talloc_set_destructor(budget, budget_destroy);
	return budget;
}

/* Responses beyond their part do not keep requests out. */
static uint64_t
occupied_bytes(const struct comet_caller_budget *budget)
{
	return budget->bodies + budget->others +
	       MIN(budget->responses, budget->max_bytes / RESPONSES_PART);
}

bool
comet_caller_budget_is_small(uint64_t body_bytes)
{
	return body_bytes <= SMALL_BODY_BYTES;
}

bool
comet_caller_budget_reserve_body(struct comet_caller_budget *budget, uint64_t body_bytes)
{
	uint64_t bytes = body_bytes * COPIES;
	uint64_t max_bytes = budget->max_bytes;

	if (!comet_caller_budget_is_small(body_bytes))
		max_bytes -= max_bytes / SMALL_PART;
	if (budget->max_bytes != 0 && occupied_bytes(budget) + bytes > max_bytes)
		return false;
	budget->bodies += bytes;
	return true;
}

void
comet_caller_budget_release_body(struct comet_caller_budget *budget, uint64_t body_bytes)
{
	budget->bodies -= body_bytes * COPIES;
}

void
comet_caller_budget_change(
	struct comet_caller_budget *budget, uint64_t before_bytes, uint64_t bytes)
{
	budget->others += bytes - before_bytes;
}

bool
comet_caller_budget_is_exceeded(const struct comet_caller_budget *budget)
{
	return budget->max_bytes != 0 && occupied_bytes(budget) > budget->max_bytes;
}

GList *
comet_caller_budget_add_unfinished(struct comet_caller_budget *budget, void *owner)
{
	g_queue_push_tail(&budget->unfinished, owner);
	return g_queue_peek_tail_link(&budget->unfinished);
}

void
comet_caller_budget_remove_unfinished(struct comet_caller_budget *budget, GList *unfinished)
{
	g_queue_delete_link(&budget->unfinished, unfinished);
}

void *
comet_caller_budget_oldest_unfinished(const struct comet_caller_budget *budget)
{
	const GList *first = budget->unfinished.head;

	return first != NULL ? first->data : NULL;
}

bool
comet_caller_budget_may_read_ahead(const struct comet_caller_budget *budget)
{
	return budget->max_bytes == 0 || occupied_bytes(budget) < budget->max_bytes / AHEAD_PART;
}

void
comet_caller_budget_set_responses(struct comet_caller_budget *budget, uint64_t unread_bytes)
{
	budget->responses = unread_bytes;
}

uint64_t
comet_caller_budget_response_bytes(const struct comet_caller_budget *budget, uint64_t most_bytes)
{
	return budget->max_bytes == 0 || (budget->responses < budget->max_bytes / RESPONSES_PART &&
						 occupied_bytes(budget) < budget->max_bytes)
		       ? most_bytes
		       : RESPONSE_STEP_BYTES;
}

uint64_t
comet_caller_budget_body_bytes(const struct comet_caller_budget *budget)
{
	return budget->bodies;
}

uint64_t
comet_caller_budget_occupied_bytes(const struct comet_caller_budget *budget)
{
	return occupied_bytes(budget);
}
