/*
 * test_gateway_in_time.cc
 * requests whose answer should begin by some time: where they go, and in which order
 */
#include "grants_fleet.h"
#include "placement_fixture.h"

namespace
{

class InTimeTest : public PlacementTest
{
      protected:
	/* Its answer should begin by then. */
	comet_placement_item
	aimed(uint32_t rank, uint64_t soft_deadline_us)
	{
		comet_placement_item one = item(rank);
		one.dispatch_deadline_us = now_us + 20000000;
		one.soft_deadline_us = now_us + soft_deadline_us;
		return one;
	}

	/* An endpoint that takes so many times the usual time. */
	comet_instance *
	add_paced(const char *id, double pace)
	{
		comet_instance *instance = add(id);
		instance->pace = pace;
		return instance;
	}

	void
	fill(std::vector<comet_placement_item> &items)
	{
		for (auto &one : items)
			comet_placement_submit(placement, &one, now_us);
	}
};

/* In a queue in order of arrival alone, all are late as soon as one is. */
TEST_F(InTimeTest, WhoCanStillBeInTimeGoesFirstWithinARank)
{
	add("a");
	std::vector<comet_placement_item> running(2, item(2));
	fill(running);
	comet_placement_item old = aimed(2, 300000);
	comet_placement_submit(placement, &old, now_us);
	now_us += 250000; /* a first event takes 130 ms where nothing waits */
	comet_placement_item fresh = aimed(2, 300000);
	comet_placement_submit(placement, &fresh, now_us);
	end(dispatched[0], COMET_DISPATCH_CANCELLED);
	comet_placement_run(placement, now_us);
	ASSERT_EQ(dispatched.size(), 3U);
	EXPECT_EQ(dispatched[2].item, &fresh);
	end(dispatched[1], COMET_DISPATCH_CANCELLED);
	comet_placement_run(placement, now_us);
	ASSERT_EQ(dispatched.size(), 4U);
	EXPECT_EQ(dispatched[3].item, &old) << "late, and served all the same";
}

TEST_F(InTimeTest, ALateRequestStillGoesBeforeLessUrgentOnes)
{
	add("a");
	std::vector<comet_placement_item> running(4, item(0));
	fill(running);
	comet_placement_item urgent = aimed(0, 300000);
	comet_placement_submit(placement, &urgent, now_us);
	now_us += 250000;
	comet_placement_item fresh = aimed(2, 300000);
	comet_placement_submit(placement, &fresh, now_us);
	for (int i = 0; i < 3; i++)
		end(dispatched[i], COMET_DISPATCH_CANCELLED);
	comet_placement_run(placement, now_us);
	ASSERT_GE(dispatched.size(), 5U);
	EXPECT_EQ(dispatched[4].item, &urgent);
}

/* Engines of one service differ fivefold: a long prompt is late on a slow one for sure. */
TEST_F(InTimeTest, ASlowEndpointIsLeftAloneWhileAFastOneWouldBeInTime)
{
	add_paced("fast", 1);
	add_paced("slow", 5);
	std::vector<comet_placement_item> running(2, aimed(2, 600000));
	fill(running);
	ASSERT_EQ(dispatched.size(), 2U);
	EXPECT_EQ(dispatched[0].instance, "fast");
	EXPECT_EQ(dispatched[1].instance, "fast");
	comet_placement_item one = aimed(2, 600000);
	comet_placement_submit(placement, &one, now_us);
	EXPECT_EQ(dispatched.size(), 2U) << "250 ms for a slot and 130 ms there: worth the wait";
	EXPECT_EQ(waiting("llm"), 1U);
	now_us += 480000;
	comet_placement_run(placement, now_us);
	ASSERT_EQ(dispatched.size(), 3U) << "late wherever it goes: the slow one will do";
	EXPECT_EQ(dispatched[2].instance, "slow");
}

TEST_F(InTimeTest, WhatWaitsForAFastEndpointHoldsUpNobodyElse)
{
	add_paced("fast", 1);
	add_paced("slow", 5);
	std::vector<comet_placement_item> running(2, aimed(2, 600000));
	fill(running);
	comet_placement_item large = aimed(1, 1500000);
	large.job.prompt_tokens = 10000; /* 400 ms until it begins, 2,000 on the slow one */
	comet_placement_submit(placement, &large, now_us);
	EXPECT_EQ(dispatched.size(), 3U) << "a more urgent rank may wait at the fast one";
	comet_placement_item larger = aimed(1, 1500000);
	larger.job.prompt_tokens = 10000;
	comet_placement_submit(placement, &larger, now_us);
	comet_placement_item small = aimed(2, 700000);
	comet_placement_submit(placement, &small, now_us);
	ASSERT_EQ(dispatched.size(), 4U);
	EXPECT_EQ(dispatched[3].item, &small);
	EXPECT_EQ(dispatched[3].instance, "slow");
	EXPECT_EQ(waiting("llm"), 1U);
}

TEST_F(InTimeTest, WhereNobodyIsFastEnoughNothingWaits)
{
	add_paced("a", 5);
	add_paced("b", 5);
	comet_placement_item one = aimed(2, 300000);
	comet_placement_submit(placement, &one, now_us);
	EXPECT_EQ(dispatched.size(), 1U);
}

/* A keeper knows how fast its endpoints are, and an asker how late its request is. */
TEST(InTime, AKeeperHoldsBackASlowSlotUntilTheRequestIsLateAnyway)
{
	grants_fleet::fleet all(5, 2);
	uint32_t keeper = all.keeper_of_all(1);
	uint32_t asker = keeper == 1 ? 2 : 1;
	for (auto &one : all.vms)
		comet_instances_find(one.second.instances, "i1")->pace = 8;
	for (uint32_t i = 0; i < grants_fleet::slots; i++)
		all.submit(asker);
	all.pass(20000);
	ASSERT_EQ(all.running()["i0"], grants_fleet::slots);
	comet_placement_item *item = all.submit(asker, 2, 600000);
	all.pass(100000);
	EXPECT_EQ(all.vms[asker].sent.count(item), 0U);
	comet_placement_item *other = all.submit(asker, 2);
	all.pass(20000);
	EXPECT_EQ(all.vms[asker].sent[other], "i1") << "no matter when it begins";
	all.pass(500000);
	EXPECT_EQ(all.vms[asker].sent[item], "i1");
}

} // namespace
