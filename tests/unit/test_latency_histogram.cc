/*
 * test_latency_histogram.cc
 * histograms of times and their text
 */
#include <gtest/gtest.h>

extern "C"
{
#include <libcometspindle/latency_histogram.h>
}

namespace
{

TEST(Latency, BucketsAreCumulativeAndBoundsBelongToTheirBucket)
{
	comet_latency_histogram latency = {};
	GString *out = g_string_new(nullptr);

	for (uint64_t us : {0UL, 5000UL, 5001UL, 400000UL, 20000000UL})
		comet_latency_histogram_add(&latency, us);
	comet_latency_histogram_print(&latency, out, "t", "kind=\"safe\"");
	std::string text = out->str;
	EXPECT_NE(text.find("t_bucket{kind=\"safe\",le=\"0.005\"} 2\n"), std::string::npos) << text;
	EXPECT_NE(text.find("t_bucket{kind=\"safe\",le=\"0.01\"} 3\n"), std::string::npos);
	EXPECT_NE(text.find("t_bucket{kind=\"safe\",le=\"0.4\"} 4\n"), std::string::npos);
	EXPECT_NE(text.find("t_bucket{kind=\"safe\",le=\"15\"} 4\n"), std::string::npos);
	EXPECT_NE(text.find("t_bucket{kind=\"safe\",le=\"+Inf\"} 5\n"), std::string::npos);
	EXPECT_NE(text.find("t_count{kind=\"safe\"} 5\n"), std::string::npos);
	g_string_free(out, TRUE);
}

} // namespace
