/*
 * body_budget.c
 * bounds the memory of request bodies and of responses, so that they never end the process
 */
#include <libcometspindle/gateway/admission/body_budget.h>

#include <talloc.h>

/* Copies of a body: one for a further attempt, one in the queue of its endpoint. */
#define COPIES 2

/* Part of the memory of the process that bodies may use. The directory, connections and responses
 * use the rest. */
#define BODIES_PART 4

/* Bodies up to this size still find room when larger ones have used all of theirs. */
#define SMALL_BODY_BYTES (16 * 1024)

/* Room for small bodies alone, as a part of that for all. */
#define SMALL_PART 4

/* Unread responses of slow callers may use this part of what bodies may use. Beyond it each further
 * response is read from its endpoint in small steps. */
#define RESPONSES_PART 2
#define RESPONSE_STEP_BYTES (16 * 1024)

struct comet_body_budget
{
	uint64_t max_bytes; /* 0: not bounded */
	uint64_t reserved;
};

struct comet_body_budget *
comet_body_budget_create(void *parent, uint64_t memory_bytes)
{
	struct comet_body_budget *budget = talloc_zero(parent, struct comet_body_budget);

	budget->max_bytes = memory_bytes / BODIES_PART;
	return budget;
}

bool
comet_body_budget_reserve(struct comet_body_budget *budget, uint64_t body_bytes)
{
	uint64_t bytes = body_bytes * COPIES;
	uint64_t max_bytes = budget->max_bytes;

	if (body_bytes > SMALL_BODY_BYTES)
		max_bytes -= max_bytes / SMALL_PART;
	if (budget->max_bytes != 0 && budget->reserved + bytes > max_bytes)
		return false;
	budget->reserved += bytes;
	return true;
}

void
comet_body_budget_release(struct comet_body_budget *budget, uint64_t body_bytes)
{
	budget->reserved -= body_bytes * COPIES;
}

uint64_t
comet_body_budget_response_bytes(
	const struct comet_body_budget *budget, uint64_t unsent_bytes, uint64_t most_bytes)
{
	return budget->max_bytes == 0 || unsent_bytes < budget->max_bytes / RESPONSES_PART
		       ? most_bytes
		       : RESPONSE_STEP_BYTES;
}

uint64_t
comet_body_budget_reserved(const struct comet_body_budget *budget)
{
	return budget->reserved;
}
