/*
 * test_outage.cc
 * which failed calls indicate an outage of the directory
 */
#include <gtest/gtest.h>

extern "C"
{
#include <libcometspindle/gateway/endpoints/outage.h>
}

namespace
{

constexpr uint64_t second_us = 1000000;

TEST(Outage, OneClosedConnectionIsNoOutage)
{
	comet_outage outage = {};
	EXPECT_TRUE(comet_outage_failed(
		&outage, COMET_DIRECTORY_FAILURE_INCOMPLETE, 10 * second_us, 19 * second_us));
	EXPECT_TRUE(outage.failing);
	EXPECT_EQ(comet_outage_succeeded(&outage), 0U);
	EXPECT_FALSE(outage.failing);
}

TEST(Outage, ASecondFailedCallIsAnOutageFromTheTimeItWasSent)
{
	comet_outage outage = {};
	comet_outage_failed(
		&outage, COMET_DIRECTORY_FAILURE_INCOMPLETE, 10 * second_us, 19 * second_us);
	EXPECT_FALSE(comet_outage_failed(&outage, COMET_DIRECTORY_FAILURE_INCOMPLETE,
		19 * second_us + 50, 19 * second_us + 800000));
	EXPECT_EQ(comet_outage_succeeded(&outage), 19 * second_us + 50);
	/* the outage has ended: the next closed connection indicates none */
	comet_outage_failed(
		&outage, COMET_DIRECTORY_FAILURE_INCOMPLETE, 20 * second_us, 25 * second_us);
	EXPECT_EQ(comet_outage_succeeded(&outage), 0U);
}

TEST(Outage, ARefusalIsAnOutageAtOnce)
{
	comet_outage outage = {};
	comet_outage_failed(
		&outage, COMET_DIRECTORY_FAILURE_REFUSED, 10 * second_us, 19 * second_us);
	EXPECT_EQ(comet_outage_succeeded(&outage), 18 * second_us);
}

TEST(Outage, ARateLimitedCallIsNoOutage)
{
	comet_outage outage = {};
	comet_outage_failed(
		&outage, COMET_DIRECTORY_FAILURE_RATE_LIMITED, 10 * second_us, 10 * second_us);
	comet_outage_failed(
		&outage, COMET_DIRECTORY_FAILURE_RATE_LIMITED, 11 * second_us, 11 * second_us);
	EXPECT_EQ(comet_outage_succeeded(&outage), 0U);
}

/* Calls that fail for another reason do not end an outage. */
TEST(Outage, AnOutageLastsUntilACallSucceeds)
{
	comet_outage outage = {};
	comet_outage_failed(
		&outage, COMET_DIRECTORY_FAILURE_REFUSED, 10 * second_us, 10 * second_us);
	comet_outage_failed(
		&outage, COMET_DIRECTORY_FAILURE_RATE_LIMITED, 11 * second_us, 11 * second_us);
	EXPECT_EQ(comet_outage_succeeded(&outage), 10 * second_us);
}

} // namespace
