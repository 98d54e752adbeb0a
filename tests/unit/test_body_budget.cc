/*
 * test_body_budget.cc
 * the bound on the memory of request bodies
 */
#include <gtest/gtest.h>

extern "C"
{
#include <libcometspindle/gateway/admission/body_budget.h>
}
#include <talloc.h>

namespace
{

const uint64_t MB = 1024 * 1024;

TEST(BodyBudget, LargeBodiesLeaveRoomForSmallOnes)
{
	struct comet_body_budget *budget = comet_body_budget_create(nullptr, 110 * MB);
	int large = 0;
	int small = 0;

	while (comet_body_budget_reserve(budget, 4 * MB))
		large++;
	EXPECT_EQ(large, 2);
	while (comet_body_budget_reserve(budget, 16 * 1024))
		small++;
	EXPECT_GT(small, 100);
	EXPECT_LE(comet_body_budget_reserved(budget), 110 * MB / 4);
	comet_body_budget_release(budget, 4 * MB);
	EXPECT_TRUE(comet_body_budget_reserve(budget, 16 * 1024));
	talloc_free(budget);
}

TEST(BodyBudget, UnknownMemoryIsNotBounded)
{
	struct comet_body_budget *budget = comet_body_budget_create(nullptr, 0);

	EXPECT_TRUE(comet_body_budget_reserve(budget, 1000 * MB));
	comet_body_budget_release(budget, 1000 * MB);
	EXPECT_EQ(comet_body_budget_reserved(budget), 0U);
	talloc_free(budget);
}

} // namespace
