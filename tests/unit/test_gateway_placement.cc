/*
 * test_gateway_placement.cc
 * Tests of instances and of placement, under virtual time.
 */
#include "placement_fixture.h"

#include <map>
#include <string>
#include <vector>

namespace
{

TEST_F(PlacementTest, UsesAllEndpointsWithRoomInBothZones)
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

TEST_F(PlacementTest, TheLocalZoneIsPreferredAndOthersAreUsed)
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

/* Traffic between zones is charged: if the own zone is preferred, another one is used only when
 * this one has no free slot. */
TEST_F(PlacementTest, ThePreferredOwnZoneIsUsedUntilItIsFull)
{
	std::map<std::string, int> count;

	comet_placement_prefer_own_zone(placement);

	add("far", "z2");
	add("near", "z1");
	for (int i = 0; i < 200; i++)
	{
		comet_placement_item one = item(2);
		comet_placement_submit(placement, &one, now_us);
		count[dispatched.back().instance]++;
		end(dispatched.back(), COMET_DISPATCH_CANCELLED);
	}
	EXPECT_EQ(count["near"], 200);
	std::vector<comet_placement_item> running(4, item(2));
	for (auto &one : running)
	{
		comet_placement_submit(placement, &one, now_us);
		count[dispatched.back().instance]++;
	}
	EXPECT_EQ(count["near"], 202);
	EXPECT_EQ(count["far"], 2);
}

TEST_F(PlacementTest, UrgentRanksAreServedFirstAndMayQueueAtEndpoints)
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
	/* a free slot goes to the next request in order, not to a new one */
	end(dispatched[0], COMET_DISPATCH_SERVED);
	end(dispatched[2], COMET_DISPATCH_SERVED);
	comet_placement_run(placement, now_us);
	ASSERT_EQ(dispatched.size(), 4U);
	EXPECT_EQ(dispatched[3].item, &low[2]);
}

TEST_F(PlacementTest, RefusesRequestsThatWouldExpireWithARetryTime)
{
	add("a");
	std::vector<comet_placement_item> items(12, item(2));

	for (auto &one : items)
		comet_placement_submit(placement, &one, now_us);
	/* two are dispatched; no queue builds up in which requests would expire */
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

/* Guards against requests of a rank that gets no slots waiting 2 s each, one after the other,
 * before they are refused. Their expected wait must follow from the dequeue rate of their rank. */
TEST_F(PlacementTest, RequestsOfARankWithoutSlotsAreRefusedEarly)
{
	add("i1");
	std::vector<comet_placement_item> running(2, item(0));
	for (auto &one : running)
		comet_placement_submit(placement, &one, now_us);
	comet_placement_item first = item(2);
	first.dispatch_deadline_us = now_us + 1800000;
	comet_placement_submit(placement, &first, now_us);
	EXPECT_EQ(waiting("llm"), 1U);
	now_us += 1000000; /* no request of this rank got a slot in this time */
	comet_placement_item second = item(2);
	second.dispatch_deadline_us = now_us + 1800000;
	comet_placement_submit(placement, &second, now_us);
	ASSERT_EQ(refused.size(), 1U);
	EXPECT_EQ(refused[0].first, &second);
	EXPECT_GE(refused[0].second, 1500U) << "two intervals of one second, less the jitter";
	EXPECT_LE(refused[0].second, 2500U) << "and not more than with the jitter";
	/* slots become free again, one every 100 ms, so that later requests may wait */
	for (int i = 0; i < 20; i++)
	{
		comet_instance *instance = comet_instances_find(instances, "i1");
		comet_instance_dispatch_ended(instance, &running[0].size, false,
			COMET_DISPATCH_CANCELLED, 0, 0, 0, now_us);
		comet_placement_run(placement, now_us);
		now_us += 100000;
		auto *next = new comet_placement_item(item(2));
		next->dispatch_deadline_us = now_us + 1800000;
		owned_items.emplace_back(next);
		comet_placement_submit(placement, next, now_us);
	}
	EXPECT_LE(refused.size(), 8U) << "refused only until the dequeue rate is known";
}

/* Guards against refusals of most of the largest requests, whose expected wait was computed from
 * their own size. */
TEST_F(PlacementTest, ALargeRequestIsNotRefusedForItsSize)
{
	add("a");
	std::vector<comet_placement_item> items(4, item(2));
	comet_placement_item small = item(2);
	comet_placement_item large = item(2);

	large.size.output_tokens = 20000;
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
	/* no endpoint accepts it: it waits only while a refusal costs its caller little */
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

TEST_F(PlacementTest, AnUnreachableInstanceIsEjectedAndProbed)
{
	add("a");
	add("b");
	comet_placement_item one = item(0);
	comet_placement_submit(placement, &one, now_us);
	std::string unreachable = dispatched[0].instance;
	end(dispatched[0], COMET_DISPATCH_UNREACHABLE);

	std::vector<comet_placement_item> items(3, item(0));
	for (auto &next : items)
		comet_placement_submit(placement, &next, now_us);
	for (size_t i = 1; i < dispatched.size(); i++)
		EXPECT_NE(dispatched[i].instance, unreachable);
	/* after the ejection exactly one request that may be retried probes the instance */
	now_us += 1500000;
	std::vector<comet_placement_item> probes(4, item(0));
	size_t before = dispatched.size();
	for (auto &next : probes)
	{
		next.retryable = true;
		comet_placement_submit(placement, &next, now_us);
	}
	unsigned int n_probes = 0;
	for (size_t i = before; i < dispatched.size(); i++)
		n_probes += dispatched[i].instance == unreachable;
	EXPECT_EQ(n_probes, 1U);
}

/* Guards against repeated attempts at instances that cannot accept requests: 844 of 2,265 refusals
 * came from addresses that another process had taken over, and most others from the same few full
 * instances. */
TEST_F(PlacementTest, AReplacedInstanceIsNeverRetriedAndAFullOneLater)
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
	three.retryable = true;
	comet_placement_submit(placement, &three, now_us);
	EXPECT_EQ(dispatched.size(), 2U);
}

/* Guards against the ejection of an endpoint because of one long request. The endpoint was then
 * excluded although it answered all other requests. */
TEST_F(PlacementTest, ASlowRequestDoesNotEjectItsEndpoint)
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

TEST_F(PlacementTest, LoadIncludesRequestsOfOtherVms)
{
	comet_instance *instance = add("a");
	instance->remote_requests = 2;
	comet_instances_set_gossip_time(instances, now_us);
	EXPECT_EQ(comet_instance_load(instance, now_us), 2U);
	/* a newer report of the endpoint replaces gossip, and requests that this VM sent after it
	 * are added */
	comet_instance_load_reported(instance, 5, now_us);
	comet_request_size size = {10, 10, 10, true};
	comet_instance_dispatch_started(instance, &size);
	EXPECT_EQ(comet_instance_load(instance, now_us + 1), 6U);
	/* a report expires before gossip does, and stale gossip is ignored as well */
	EXPECT_EQ(comet_instance_load(instance, now_us + 1000000), 3U);
	EXPECT_EQ(comet_instance_load(instance, now_us + 60000000), 1U);
}

/* Guards against unbounded remote waiters: a slot request with a wait time of 49 days was accepted,
 * and so would a million more from anyone who can reach the port. A remote waiter waits at most one
 * second, and their number is bounded by that of all VMs that may be known. */
TEST_F(PlacementTest, RemoteWaitersAreBoundedInTimeAndNumber)
{
	static int grants;
	comet_placement_ops ops = {};
	ops.grant = [](void *, const comet_slot_request *, comet_instance *instance)
	{
		instance->local_requests++;
		grants++;
	};
	comet_placement *owner = comet_placement_create(instances, instances, &ops, this, 1);
	comet_instance *one = add("i-1");
	comet_slot_request request = {};
	comet_placement_wait_estimate wait = {};
	int waiting = 0;

	grants = 0;
	request.size = {1000, 100, 100, true};
	request.wait_us = 1000ULL * UINT32_MAX;
	comet_placement_pick_remote(owner, &request, now_us, &wait); /* creates the shards */
	EXPECT_FALSE(wait.waits);
	request.shard = one->shard;
	one->local_requests = 2;
	for (uint64_t number = 1; number <= 10000; number++)
	{
		request.number = number;
		EXPECT_EQ(comet_placement_pick_remote(owner, &request, now_us, &wait), nullptr);
		waiting += wait.waits ? 1 : 0;
	}
	EXPECT_EQ(waiting, 8192);
	now_us += 900000;
	one->local_requests = 1;
	comet_placement_run(owner, now_us);
	EXPECT_EQ(grants, 1);
	now_us += 200000;
	one->local_requests = 1;
	grants = 0;
	comet_placement_run(owner, now_us);
	EXPECT_EQ(grants, 0);
}

} // namespace
