/*
 * test_caller_budget.cc
 * the bound on the memory that callers occupy
 */
#include <gtest/gtest.h>

extern "C"
{
#include <libcometspindle/gateway/admission/caller_budget.h>
}
#include <talloc.h>

namespace
{

const uint64_t MB = 1024 * 1024;

TEST(CallerBudget, LargeBodiesLeaveRoomForSmallOnes)
{
	struct comet_caller_budget *budget = comet_caller_budget_create(nullptr, 110 * MB);
	int large = 0;
	int small = 0;

	while (comet_caller_budget_reserve_body(budget, 4 * MB))
		large++;
	EXPECT_EQ(large, 2);
	while (comet_caller_budget_reserve_body(budget, 16 * 1024))
		small++;
	EXPECT_GT(small, 100);
	EXPECT_LE(comet_caller_budget_body_bytes(budget), 110 * MB / 4);
	comet_caller_budget_release_body(budget, 4 * MB);
	EXPECT_TRUE(comet_caller_budget_reserve_body(budget, 16 * 1024));
	talloc_free(budget);
}

TEST(CallerBudget, UnknownMemoryIsNotBounded)
{
	struct comet_caller_budget *budget = comet_caller_budget_create(nullptr, 0);

	EXPECT_TRUE(comet_caller_budget_reserve_body(budget, 1000 * MB));
	comet_caller_budget_release_body(budget, 1000 * MB);
	EXPECT_EQ(comet_caller_budget_body_bytes(budget), 0U);
	talloc_free(budget);
}

/* Guards against heads and read-ahead bytes that were in no budget. */
TEST(CallerBudget, AllThatCallersOccupyHasOneBound)
{
	struct comet_caller_budget *budget = comet_caller_budget_create(nullptr, 88 * MB);
	uint64_t half = 11 * MB;

	EXPECT_TRUE(comet_caller_budget_may_read_ahead(budget));
	comet_caller_budget_change(budget, 0, half);
	EXPECT_FALSE(comet_caller_budget_may_read_ahead(budget));
	EXPECT_FALSE(comet_caller_budget_is_exceeded(budget));
	EXPECT_FALSE(comet_caller_budget_reserve_body(budget, 4 * MB));
	EXPECT_EQ(comet_caller_budget_response_bytes(budget, MB), MB);
	/* unread responses do not take more than half, so that requests find room */
	comet_caller_budget_set_responses(budget, 100 * MB);
	EXPECT_EQ(comet_caller_budget_occupied_bytes(budget), 2 * half);
	EXPECT_LT(comet_caller_budget_response_bytes(budget, MB), MB);
	EXPECT_FALSE(comet_caller_budget_is_exceeded(budget));
	comet_caller_budget_change(budget, half, half + 1);
	EXPECT_TRUE(comet_caller_budget_is_exceeded(budget));
	comet_caller_budget_change(budget, half + 1, 0);
	EXPECT_TRUE(comet_caller_budget_reserve_body(budget, 16 * 1024));
	talloc_free(budget);
}

TEST(CallerBudget, OldestUnfinishedRequestIsGivenUpFirst)
{
	struct comet_caller_budget *budget = comet_caller_budget_create(nullptr, 88 * MB);
	int owners[3] = {};
	GList *links[3] = {};

	EXPECT_EQ(comet_caller_budget_oldest_unfinished(budget), nullptr);
	for (int i = 0; i < 3; i++)
		links[i] = comet_caller_budget_add_unfinished(budget, &owners[i]);
	EXPECT_EQ(comet_caller_budget_oldest_unfinished(budget), &owners[0]);
	comet_caller_budget_remove_unfinished(budget, links[0]);
	EXPECT_EQ(comet_caller_budget_oldest_unfinished(budget), &owners[1]);
	talloc_free(budget);
}

} // namespace
