/*
 * test_outage.cc
 * which failed calls show an outage of the directory
 */
#include <gtest/gtest.h>

extern "C"
{
#include <libcometspindle/gateway/endpoints/outage.h>
}

namespace
{

constexpr uint64_t second_us = 1000000;

TEST(Outage, AConnectionThatEndsIsNone)
{
	comet_outage outage = {};
	EXPECT_TRUE(comet_outage_failed(&outage, COMET_CALL_ENDED, 10 * second_us, 19 * second_us));
	EXPECT_TRUE(outage.failing);
	EXPECT_EQ(comet_outage_answered(&outage), 0U);
	EXPECT_FALSE(outage.failing);
}

TEST(Outage, ASecondCallInVainShowsOneFromWhenItWasMade)
{
	comet_outage outage = {};
	comet_outage_failed(&outage, COMET_CALL_ENDED, 10 * second_us, 19 * second_us);
	EXPECT_FALSE(comet_outage_failed(
		&outage, COMET_CALL_ENDED, 19 * second_us + 50, 19 * second_us + 800000));
	EXPECT_EQ(comet_outage_answered(&outage), 19 * second_us + 50);
	/* it is over: the next connection that ends shows none */
	comet_outage_failed(&outage, COMET_CALL_ENDED, 20 * second_us, 25 * second_us);
	EXPECT_EQ(comet_outage_answered(&outage), 0U);
}

TEST(Outage, ARefusalShowsOneAtOnce)
{
	comet_outage outage = {};
	comet_outage_failed(&outage, COMET_CALL_REFUSED, 10 * second_us, 19 * second_us);
	EXPECT_EQ(comet_outage_answered(&outage), 18 * second_us);
}

TEST(Outage, TooManyCallsAreNone)
{
	comet_outage outage = {};
	comet_outage_failed(&outage, COMET_CALL_LIMITED, 10 * second_us, 10 * second_us);
	comet_outage_failed(&outage, COMET_CALL_LIMITED, 11 * second_us, 11 * second_us);
	EXPECT_EQ(comet_outage_answered(&outage), 0U);
}

/* What was known of an outage stays known while calls go on failing in other ways. */
TEST(Outage, ItLastsUntilACallSucceeds)
{
	comet_outage outage = {};
	comet_outage_failed(&outage, COMET_CALL_REFUSED, 10 * second_us, 10 * second_us);
	comet_outage_failed(&outage, COMET_CALL_LIMITED, 11 * second_us, 11 * second_us);
	EXPECT_EQ(comet_outage_answered(&outage), 10 * second_us);
}

} // namespace
