/*
 * test_speeds.cc
 * usual times of a service, from a few samples and from many
 */
#include <gtest/gtest.h>

extern "C"
{
#include <libcometspindle/gateway/endpoints/speeds.h>
}
#include <talloc.h>

namespace
{

/* Found in a log: of a few short prompts the line was flat, and one of 42,000 tokens expected to
 * begin in 36 ms was put before others. */
TEST(Speeds, AFewShortPromptsDoNotSayThatLengthIsFree)
{
	comet_speeds *speeds = comet_speeds_create(nullptr);
	for (uint32_t tokens : {500, 700, 600, 550, 650})
		comet_speeds_learn_first(speeds, tokens, 40000);
	EXPECT_GT(comet_speeds_first_us(speeds, 42000), 500000);
	EXPECT_LT(comet_speeds_first_us(speeds, 600), 120000);
	talloc_free(speeds);
}

TEST(Speeds, TheLineFollowsTheSamples)
{
	comet_speeds *speeds = comet_speeds_create(nullptr);
	for (uint32_t i = 0; i < 300; i++)
	{
		uint32_t tokens = 100 + 97 * i % 9000;
		comet_speeds_learn_first(speeds, tokens, 30000 + 10 * tokens);
	}
	EXPECT_NEAR(comet_speeds_first_us(speeds, 0), 30000, 3000);
	EXPECT_NEAR(comet_speeds_prompt_us(speeds, 1000), 10000, 1000);
	talloc_free(speeds);
}

TEST(Speeds, PromptsOfOneLengthTellNoSlope)
{
	comet_speeds *speeds = comet_speeds_create(nullptr);
	for (int i = 0; i < 100000; i++)
		comet_speeds_learn_first(speeds, 500, 40000);
	EXPECT_NEAR(comet_speeds_first_us(speeds, 500), 40000, 1);
	EXPECT_GE(comet_speeds_first_us(speeds, 5000), 40000);
	EXPECT_LE(comet_speeds_first_us(speeds, 5000), 40000 + 300 * 5000);
	talloc_free(speeds);
}

TEST(Speeds, TheFirstSampleDoesNotDecide)
{
	comet_speeds *speeds = comet_speeds_create(nullptr);
	EXPECT_FALSE(comet_speeds_known(speeds, COMET_SPEED_EVENT));
	comet_speeds_learn(speeds, COMET_SPEED_EVENT, 88000); /* a slow endpoint */
	for (int i = 0; i < 9; i++)
		comet_speeds_learn(speeds, COMET_SPEED_EVENT, 20000);
	EXPECT_TRUE(comet_speeds_known(speeds, COMET_SPEED_EVENT));
	EXPECT_NEAR(comet_speeds_mean_us(speeds, COMET_SPEED_EVENT), 26800, 1);
	for (int i = 0; i < 500; i++)
		comet_speeds_learn(speeds, COMET_SPEED_EVENT, 30000);
	EXPECT_NEAR(comet_speeds_mean_us(speeds, COMET_SPEED_EVENT), 30000, 100);
	talloc_free(speeds);
}

} // namespace
