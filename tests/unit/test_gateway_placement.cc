/*
 * test_gateway_placement.cc
 * instances and placement, under virtual time
 */
#include "placement_fixture.h"

#include <map>
#include <string>
#include <vector>

namespace
{

TEST_F(PlacementTest, SpreadsOverWhatHasRoomAndPrefersItsZone)
{
	add("far", "z2");
	add("near", "z1");
	std::vector<comet_placement_item> items(4, item(2));

	for (auto &one : items)
		comet_placement_submit(placement, &one, now_us);
	ASSERT_EQ(dispatched.size(), 4U);
	std::map<std::string, int> count;
	for (auto &one : dispatched)
		count[one.instance]++;
	EXPECT_EQ(count["near"], 2);
	EXPECT_EQ(count["far"], 2);
}

TEST_F(PlacementTest, ItsOwnZoneIsPreferredAndOthersAreNotIdle)
{
	std::map<std::string, int> count;

	add("far", "z2");
	add("near", "z1");
	for (int i = 0; i < 200; i++)
	{
		comet_placement_item one = item(2);
		comet_placement_submit(placement, &one, now_us);
		count[dispatched.back().instance]++;
		end(dispatched.back(), COMET_DISPATCH_CANCELLED);
	}
	EXPECT_GT(count["near"], count["far"]);
	EXPECT_GT(count["far"], 0);
}

TEST_F(PlacementTest, UrgentRanksGoFirstAndHaveHeadroom)
{
	add("a");
	std::vector<comet_placement_item> low(4, item(2));
	for (auto &one : low)
	{
		one.dispatch_deadline_us = now_us + 20000000;
		comet_placement_submit(placement, &one, now_us);
	}
	EXPECT_EQ(dispatched.size(), 2U);
	comet_placement_item urgent = item(0);
	comet_placement_submit(placement, &urgent, now_us);
	comet_placement_run(placement, now_us);
	ASSERT_EQ(dispatched.size(), 3U);
	EXPECT_EQ(dispatched[2].item, &urgent);
	/* a slot that comes free goes to the next in order, not to a newcomer */
	end(dispatched[0], COMET_DISPATCH_SERVED);
	end(dispatched[2], COMET_DISPATCH_SERVED);
	comet_placement_run(placement, now_us);
	ASSERT_EQ(dispatched.size(), 4U);
	EXPECT_EQ(dispatched[3].item, &low[2]);
}

TEST_F(PlacementTest, RefusesWhatCannotBeInTimeAndTellsWhenToComeBack)
{
	add("a");
	std::vector<comet_placement_item> items(12, item(2));

	for (auto &one : items)
		comet_placement_submit(placement, &one, now_us);
	/* two are placed; a queue that would outlast their callers' patience is not built up */
	EXPECT_EQ(dispatched.size(), 2U);
	EXPECT_GE(refused.size(), 1U);
	for (auto &one : refused)
		EXPECT_GE(one.second, 100U);
	size_t early = refused.size();
	now_us += 2000001;
	comet_placement_run(placement, now_us);
	EXPECT_EQ(refused.size(), 10U);
	EXPECT_GT(refused.size(), early);
	EXPECT_EQ(waiting("llm"), 0U);
}

/* Found by a score: waits reckoned from a request's own size refused most of the largest. */
/* Found in logs of pgi-tiles, trouble-3: captions waited 2 s in vain, one after the other. */
TEST_F(PlacementTest, WhatIsPassedOverIsRefusedEarlyWithATrueTime)
{
	add("i1");
	std::vector<comet_placement_item> running(2, item(0));
	for (auto &one : running)
		comet_placement_submit(placement, &one, now_us);
	comet_placement_item first = item(2);
	first.dispatch_deadline_us = now_us + 1800000;
	comet_placement_submit(placement, &first, now_us);
	EXPECT_EQ(waiting("llm"), 1U);
	now_us += 1000000; /* nothing of its rank got a slot in this time */
	comet_placement_item second = item(2);
	second.dispatch_deadline_us = now_us + 1800000;
	comet_placement_submit(placement, &second, now_us);
	ASSERT_EQ(refused.size(), 1U);
	EXPECT_EQ(refused[0].first, &second);
	EXPECT_GE(refused[0].second, 2000U) << "two intervals of a second";
	/* slots come free again, one in 100 ms: the next ones may wait */
	for (int i = 0; i < 20; i++)
	{
		comet_instance *instance = comet_instances_find(instances, "i1");
		comet_instance_ended(
			instance, &running[0].job, false, COMET_DISPATCH_CANCELLED, 0, 0, now_us);
		comet_placement_run(placement, now_us);
		now_us += 100000;
		auto *next = new comet_placement_item(item(2));
		next->dispatch_deadline_us = now_us + 1800000;
		later.emplace_back(next);
		comet_placement_submit(placement, next, now_us);
	}
	EXPECT_LE(refused.size(), 8U) << "refused only until the pace is known";
}

TEST_F(PlacementTest, ALargeRequestIsNotRefusedForItsSize)
{
	add("a");
	std::vector<comet_placement_item> items(4, item(2));
	comet_placement_item small = item(2);
	comet_placement_item large = item(2);

	large.job.output_tokens = 20000;
	for (auto &one : items)
		comet_placement_submit(placement, &one, now_us);
	EXPECT_EQ(comet_placement_wait_us(placement, &small, now_us),
		comet_placement_wait_us(placement, &large, now_us));
}

TEST_F(PlacementTest, ALeavingInstanceGetsNothingNew)
{
	add("a");
	add("a", "z1", true);
	comet_placement_item one = item(0);

	comet_placement_submit(placement, &one, now_us);
	EXPECT_EQ(dispatched.size(), 0U);
	/* nobody serves it: it waits only while a refusal is still cheap */
	now_us += 100001;
	comet_placement_run(placement, now_us);
	EXPECT_EQ(refused.size(), 1U);
}

TEST_F(PlacementTest, IsNotSentTwiceToTheSameInstance)
{
	add("a");
	add("b");
	comet_placement_item one = item(0);

	comet_placement_submit(placement, &one, now_us);
	comet_placement_submit(placement, &one, now_us);
	ASSERT_EQ(dispatched.size(), 2U);
	EXPECT_NE(dispatched[0].instance, dispatched[1].instance);
	comet_placement_submit(placement, &one, now_us);
	EXPECT_EQ(refused.size(), 1U);
}

TEST_F(PlacementTest, AnUnreachableInstanceIsAvoidedAndTriedAgain)
{
	add("a");
	add("b");
	comet_placement_item one = item(0);
	comet_placement_submit(placement, &one, now_us);
	std::string bad = dispatched[0].instance;
	end(dispatched[0], COMET_DISPATCH_UNREACHED);

	std::vector<comet_placement_item> items(3, item(0));
	for (auto &next : items)
		comet_placement_submit(placement, &next, now_us);
	for (size_t i = 1; i < dispatched.size(); i++)
		EXPECT_NE(dispatched[i].instance, bad);
	/* later one request that may be repeated is its trial, and only one */
	now_us += 1500000;
	std::vector<comet_placement_item> trials(4, item(0));
	size_t before = dispatched.size();
	for (auto &next : trials)
	{
		next.repeatable = true;
		comet_placement_submit(placement, &next, now_us);
	}
	unsigned int tried = 0;
	for (size_t i = before; i < dispatched.size(); i++)
		tried += dispatched[i].instance == bad;
	EXPECT_EQ(tried, 1U);
}

/* Found on a day of the grown fleet: 844 of 2,265 refusals came from addresses that had long been
 * another process's, and most others from the same few full instances, tried again and again. */
TEST_F(PlacementTest, AReplacedInstanceIsNeverTriedAgainAndAFullOneLater)
{
	add("a");
	comet_placement_item one = item(0);
	comet_placement_submit(placement, &one, now_us);
	end(dispatched.back(), COMET_DISPATCH_REFUSED);
	comet_placement_item two = item(0);
	comet_placement_submit(placement, &two, now_us);
	EXPECT_EQ(dispatched.size(), 1U);
	now_us += 100001;
	comet_placement_run(placement, now_us);
	ASSERT_EQ(dispatched.size(), 2U);
	end(dispatched.back(), COMET_DISPATCH_WRONG_INSTANCE);
	now_us += 10000000;
	comet_placement_item three = item(0);
	three.repeatable = true;
	comet_placement_submit(placement, &three, now_us);
	EXPECT_EQ(dispatched.size(), 2U);
}

/* Found in the logs of a recorded day: long requests made their endpoints doubted, which others
 * kept from, though they answered everything else. */
TEST_F(PlacementTest, ASlowRequestDoesNotCondemnItsEndpoint)
{
	comet_instance *instance = add("a");

	comet_instance_seen(instance, now_us + 300000);
	EXPECT_FALSE(comet_instance_eject_if_silent(instance, now_us, now_us + 600000));
	comet_placement_item one = item(0);
	comet_placement_submit(placement, &one, now_us + 600000);
	EXPECT_EQ(dispatched.size(), 1U);
	EXPECT_TRUE(comet_instance_eject_if_silent(instance, now_us + 400000, now_us + 1000000));
	comet_placement_item two = item(0);
	comet_placement_submit(placement, &two, now_us + 1000000);
	EXPECT_EQ(dispatched.size(), 1U);
}

TEST_F(PlacementTest, WhatOthersSendThereCounts)
{
	comet_instance *instance = add("a");
	instance->others = 2;
	instance->gossip_us = now_us;
	EXPECT_EQ(comet_instance_load(instance, now_us), 2U);
	/* fresh word from the endpoint itself goes before, and our own sends since are added */
	comet_instance_load_reported(instance, 5, now_us);
	comet_request_size job = {10, 10, 10, true};
	comet_instance_started(instance, &job);
	EXPECT_EQ(comet_instance_load(instance, now_us + 1), 6U);
	/* it ages sooner than views do; and old views say nothing either */
	EXPECT_EQ(comet_instance_load(instance, now_us + 1000000), 3U);
	EXPECT_EQ(comet_instance_load(instance, now_us + 60000000), 1U);
}

/* Another VM's ask told that it may wait for 49 days, and did; so would a million more. Whoever
 * reaches the port can ask. A guest waits no longer than a second, and as many as all VMs that are
 * known may have waiting. */
TEST_F(PlacementTest, GuestsWaitWithinBounds)
{
	static int grants;
	comet_placement_ops ops = {};
	ops.grant = [](void *, const comet_slot_request *, comet_instance *instance)
	{
		instance->own++;
		grants++;
	};
	comet_placement *keeper = comet_placement_create(instances, instances, &ops, this, 1);
	comet_instance *one = add("i-1");
	comet_slot_request ask = {};
	comet_placement_wait_estimate wait = {};
	int waiting = 0;

	grants = 0;
	ask.job = {1000, 100, 100, true};
	ask.wait_us = 1000ULL * UINT32_MAX;
	comet_placement_choose_remote(keeper, &ask, now_us, &wait); /* shards are formed */
	EXPECT_FALSE(wait.waits);
	ask.shard = one->shard;
	one->own = 2;
	for (uint64_t number = 1; number <= 10000; number++)
	{
		ask.number = number;
		EXPECT_EQ(comet_placement_choose_remote(keeper, &ask, now_us, &wait), nullptr);
		waiting += wait.waits ? 1 : 0;
	}
	EXPECT_EQ(waiting, 8192);
	now_us += 900000;
	one->own = 1;
	comet_placement_run(keeper, now_us);
	EXPECT_EQ(grants, 1);
	now_us += 200000;
	one->own = 1;
	grants = 0;
	comet_placement_run(keeper, now_us);
	EXPECT_EQ(grants, 0);
}

} // namespace
