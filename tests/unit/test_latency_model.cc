/*
 * test_latency_model.cc
 * latency model of a service, from a few samples and from many
 */
#include <gtest/gtest.h>

extern "C"
{
#include <libcometspindle/gateway/endpoints/latency_model.h>
}
#include <talloc.h>

namespace
{

/* After a few short prompts, the linear fit was flat: the first event of a prompt of 42,000 tokens
 * was expected within 36 ms, and the request was placed ahead of others. */
TEST(LatencyModel, AFewShortPromptsDoNotYieldAFlatFit)
{
	comet_latency_model *latency_model = comet_latency_model_create(nullptr);
	for (uint32_t tokens : {500, 700, 600, 550, 650})
		comet_latency_model_learn_first(latency_model, tokens, 40000);
	EXPECT_GT(comet_latency_model_first_us(latency_model, 42000), 500000);
	EXPECT_LT(comet_latency_model_first_us(latency_model, 600), 120000);
	talloc_free(latency_model);
}

TEST(LatencyModel, TheFitFollowsTheSamples)
{
	comet_latency_model *latency_model = comet_latency_model_create(nullptr);
	for (uint32_t i = 0; i < 300; i++)
	{
		uint32_t tokens = 100 + 97 * i % 9000;
		comet_latency_model_learn_first(latency_model, tokens, 30000 + 10 * tokens);
	}
	EXPECT_NEAR(comet_latency_model_first_us(latency_model, 0), 30000, 3000);
	EXPECT_NEAR(comet_latency_model_prompt_us(latency_model, 1000), 10000, 1000);
	talloc_free(latency_model);
}

TEST(LatencyModel, PromptsOfOneLengthKeepTheSlopeBounded)
{
	comet_latency_model *latency_model = comet_latency_model_create(nullptr);
	for (int i = 0; i < 100000; i++)
		comet_latency_model_learn_first(latency_model, 500, 40000);
	EXPECT_NEAR(comet_latency_model_first_us(latency_model, 500), 40000, 1);
	EXPECT_GE(comet_latency_model_first_us(latency_model, 5000), 40000);
	EXPECT_LE(comet_latency_model_first_us(latency_model, 5000), 40000 + 300 * 5000);
	talloc_free(latency_model);
}

TEST(LatencyModel, TheFirstSampleDoesNotDominate)
{
	comet_latency_model *latency_model = comet_latency_model_create(nullptr);
	EXPECT_FALSE(comet_latency_model_known(latency_model, COMET_LATENCY_KIND_EVENT));
	comet_latency_model_learn(
		latency_model, COMET_LATENCY_KIND_EVENT, 88000); /* a slow endpoint */
	for (int i = 0; i < 9; i++)
		comet_latency_model_learn(latency_model, COMET_LATENCY_KIND_EVENT, 20000);
	EXPECT_TRUE(comet_latency_model_known(latency_model, COMET_LATENCY_KIND_EVENT));
	EXPECT_NEAR(comet_latency_model_mean_us(latency_model, COMET_LATENCY_KIND_EVENT), 26800, 1);
	for (int i = 0; i < 500; i++)
		comet_latency_model_learn(latency_model, COMET_LATENCY_KIND_EVENT, 30000);
	EXPECT_NEAR(
		comet_latency_model_mean_us(latency_model, COMET_LATENCY_KIND_EVENT), 30000, 100);
	talloc_free(latency_model);
}

} // namespace
