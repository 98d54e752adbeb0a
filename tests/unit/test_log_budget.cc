/*
 * test_log_budget.cc
 * how many log lines are written, under virtual time
 */
#include <gtest/gtest.h>

extern "C"
{
#include <libcometspindle/log.h>
#include <libcometspindle/log_budget.h>
}
#include <string>

namespace
{

TEST(LogBudget, LinesStayWithinTheBoundAndWeightyOnesStopLast)
{
	comet_log_budget budget;
	unsigned int usual = 0;
	unsigned int important = 0;

	comet_log_budget_init(&budget, 100, 0);
	for (int i = 0; i < 1000; i++)
		usual += comet_log_budget_take(&budget, false, 0);
	for (int i = 0; i < 1000; i++)
		important += comet_log_budget_take(&budget, true, 0);
	EXPECT_EQ(usual, 67U);
	EXPECT_EQ(important, 33U);
	unsigned int later = 0;
	for (uint64_t now_us = 0; now_us < 10000000; now_us += 1000)
		later += comet_log_budget_take(&budget, true, now_us);
	EXPECT_NEAR(later, 1000, 2);
}

TEST(LogBudget, WhatIsLeftOutIsToldOnceASecond)
{
	comet_log_budget budget;
	char line[1024];

	comet_log_budget_init(&budget, 1, 0);
	EXPECT_FALSE(comet_log_budget_summary(&budget, line, sizeof line, 5000000));
	comet_log_budget_suppress(&budget, "event=refused request=r1 status=503");
	comet_log_budget_suppress(&budget, "event=refused request=r2 status=503");
	comet_log_budget_suppress(&budget, "event=vm_lost vm=1");
	EXPECT_FALSE(comet_log_budget_summary(&budget, line, sizeof line, 900000));
	EXPECT_TRUE(comet_log_budget_summary(&budget, line, sizeof line, 1000000));
	EXPECT_STREQ(line, "event=lines_left_out ms=1000 refused=2 refused_sample=r1 vm_lost=1");
	EXPECT_FALSE(comet_log_budget_summary(&budget, line, sizeof line, 9000000));
}

/* A start of 295 VMs had 295 lines of each of them about each other. */
TEST(LogBudget, RepeatedEventsHaveAFewLinesASecond)
{
	comet_log_budget budget;
	char line[1024];
	unsigned int heard = 0;
	unsigned int lost = 0;

	comet_log_budget_init(&budget, 0, 0);
	for (int i = 0; i < 300; i++)
	{
		if (comet_log_budget_take_repeated(&budget, "event=vm_heard vm=1", 1000000))
			heard++;
		else
			comet_log_budget_suppress(&budget, "event=vm_heard vm=1");
	}
	lost += comet_log_budget_take_repeated(&budget, "event=vm_lost vm=1", 1500000);
	EXPECT_EQ(heard, 8U);
	EXPECT_EQ(lost, 1U);
	EXPECT_TRUE(comet_log_budget_summary(&budget, line, sizeof line, 2000000));
	EXPECT_STREQ(line, "event=lines_left_out ms=2000 vm_heard=292");
	EXPECT_TRUE(comet_log_budget_take_repeated(&budget, "event=vm_heard vm=1", 2000000));
	for (int i = 0; i < 100; i++)
	{
		std::string text = "event=kind" + std::to_string(i);
		comet_log_budget_take_repeated(&budget, text.c_str(), 2000000);
	}
	EXPECT_FALSE(comet_log_budget_take_repeated(&budget, "event=one_more", 2000000));
}

/* A reload that sets the bound anew allowed the lines of a second twice in one second. */
TEST(LogBudget, AReloadDoesNotForgetTheLinesOfTheSecond)
{
	comet_log_budget budget;
	char line[1024];
	unsigned int repeated = 0;
	unsigned int important = 0;

	comet_log_budget_init(&budget, 100, 0);
	for (int reload = 0; reload < 4; reload++)
	{
		uint64_t now_us = 1000000 + 1000 * static_cast<uint64_t>(reload);
		for (int i = 0; i < 20; i++)
			repeated +=
				comet_log_budget_take_repeated(&budget, "event=vm_lost", now_us);
		for (int i = 0; i < 200; i++)
			important += comet_log_budget_take(&budget, true, now_us);
		comet_log_budget_suppress(&budget, "event=vm_lost vm=1");
		comet_log_budget_set_rate(&budget, 100, now_us);
	}
	EXPECT_EQ(repeated, 8U);
	EXPECT_EQ(important, 100U);
	EXPECT_TRUE(comet_log_budget_summary(&budget, line, sizeof line, 1100000));
	EXPECT_STREQ(line, "event=lines_left_out ms=1100 vm_lost=4");
}

TEST(LogBudget, ANewBoundCountsTheLinesOfTheSecond)
{
	comet_log_budget budget;
	unsigned int written = 0;

	comet_log_budget_init(&budget, 100, 0);
	for (int i = 0; i < 60; i++)
		written += comet_log_budget_take(&budget, true, 0);
	comet_log_budget_set_rate(&budget, 80, 0);
	for (int i = 0; i < 200; i++)
		written += comet_log_budget_take(&budget, true, 0);
	EXPECT_EQ(written, 80U);
	comet_log_budget_set_rate(&budget, 0, 0);
	EXPECT_TRUE(comet_log_budget_take(&budget, false, 0));
	comet_log_budget_set_rate(&budget, 10, 0);
	written = 0;
	for (int i = 0; i < 200; i++)
		written += comet_log_budget_take(&budget, true, 0);
	EXPECT_EQ(written, 10U);
}

TEST(LogBudget, ManyKindsAndLongLinesStayInBounds)
{
	comet_log_budget budget;
	char line[200];

	comet_log_budget_init(&budget, 1, 0);
	for (int i = 0; i < 100; i++)
	{
		std::string text = "event=kind" + std::to_string(i) + std::string(100, 'x') +
				   " request=" + std::string(300, 'y');
		comet_log_budget_suppress(&budget, text.c_str());
	}
	comet_log_budget_suppress(&budget, "no event at all");
	EXPECT_TRUE(comet_log_budget_summary(&budget, line, sizeof line, 2000000));
	EXPECT_LT(std::string(line).size(), sizeof line);
}

void
keep_line(void *ctx, comet_log_level, const char *line)
{
	*static_cast<std::string *>(ctx) = line;
}

TEST(Log, ALineBreakInForeignTextDoesNotBeginALine)
{
	std::string seen;
	comet_log_set_sink(keep_line, &seen);
	comet_log(COMET_LOG_ERR, "event=x key=%s", "a\nts=0 event=y\x7f\x01");
	comet_log_set_sink(nullptr, nullptr);
	EXPECT_EQ(seen, "event=x key=a?ts=0 event=y??");
}

} // namespace
