/*
 * test_counter_set.cc
 * counters by label text
 */
#include <gtest/gtest.h>

extern "C"
{
#include <libcometspindle/counter_set.h>
}
#include <algorithm>
#include <string>
#include <talloc.h>

TEST(Tally, CountsByLabelsAndStaysBounded)
{
	comet_counter_set *counter_set = comet_counter_set_create(nullptr);
	GString *out = g_string_new(nullptr);

	comet_counter_set_add(counter_set, "end=\"served\"");
	comet_counter_set_add(counter_set, "end=\"served\"");
	for (int i = 0; i < 2 * COMET_COUNTER_SET_LABELS_MAX; i++)
		comet_counter_set_add(counter_set, ("end=\"" + std::to_string(i) + "\"").c_str());
	comet_counter_set_print(counter_set, out, "comet_ends_total");
	std::string text(out->str);
	EXPECT_EQ(text.find("# TYPE comet_ends_total counter\n"), 0U);
	EXPECT_NE(text.find("comet_ends_total{end=\"served\"} 2\n"), std::string::npos);
	EXPECT_NE(text.find("comet_ends_total{other=\"true\"} 129\n"), std::string::npos);
	EXPECT_EQ(
		(int)std::count(text.begin(), text.end(), '\n'), COMET_COUNTER_SET_LABELS_MAX + 2);
	g_string_free(out, TRUE);
	talloc_free(counter_set);
}
