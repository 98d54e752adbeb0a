/*
 * test_gateway_soft_deadlines.cc
 * Tests of placement with soft deadlines: the choice of endpoints and the
 * order of service.
 */
#include "grants_fleet.h"
#include "placement_fixture.h"

extern "C"
{
#include <libcometspindle/gateway/endpoints/latency_model.h>
}

namespace
{

class SoftDeadlineTest : public PlacementTest
{
      protected:
	/* An item whose answer should begin soft_deadline_us from now. */
	comet_placement_item
	item_with_soft_deadline(uint32_t rank, uint64_t soft_deadline_us)
	{
		comet_placement_item one = item(rank);
		one.dispatch_deadline_us = now_us + 20000000;
		one.soft_deadline_us = now_us + soft_deadline_us;
		return one;
	}

	/* Adds an endpoint with a latency relative to the typical one. */
	comet_instance *
	add_with_latency(const char *id, double pace)
	{
		comet_instance *instance = add(id);
		instance->relative_latency = pace;
		return instance;
	}

	void
	submit_all(std::vector<comet_placement_item> &items)
	{
		for (auto &one : items)
			comet_placement_submit(placement, &one, now_us);
	}
};

/* If requests were served in order of arrival only, one late request would make all later ones
 * late. */
TEST_F(SoftDeadlineTest, RequestsInTimeAreServedFirstWithinARank)
{
	add("a");
	std::vector<comet_placement_item> running(2, item(2));
	submit_all(running);
	comet_placement_item late = item_with_soft_deadline(2, 300000);
	comet_placement_submit(placement, &late, now_us);
	now_us += 250000; /* the first event takes 130 ms without waiting */
	comet_placement_item fresh = item_with_soft_deadline(2, 300000);
	comet_placement_submit(placement, &fresh, now_us);
	end(dispatched[0], COMET_DISPATCH_CANCELLED);
	comet_placement_run(placement, now_us);
	ASSERT_EQ(dispatched.size(), 3U);
	EXPECT_EQ(dispatched[2].item, &fresh);
	end(dispatched[1], COMET_DISPATCH_CANCELLED);
	comet_placement_run(placement, now_us);
	ASSERT_EQ(dispatched.size(), 4U);
	EXPECT_EQ(dispatched[3].item, &late) << "a late request is still served";
}

TEST_F(SoftDeadlineTest, ALateRequestIsServedBeforeLessUrgentOnes)
{
	add("a");
	std::vector<comet_placement_item> running(4, item(0));
	submit_all(running);
	comet_placement_item urgent = item_with_soft_deadline(0, 300000);
	comet_placement_submit(placement, &urgent, now_us);
	now_us += 250000;
	comet_placement_item fresh = item_with_soft_deadline(2, 300000);
	comet_placement_submit(placement, &fresh, now_us);
	for (int i = 0; i < 3; i++)
		end(dispatched[i], COMET_DISPATCH_CANCELLED);
	comet_placement_run(placement, now_us);
	ASSERT_GE(dispatched.size(), 5U);
	EXPECT_EQ(dispatched[4].item, &urgent);
}

/* The engines of one service differ in speed by up to a factor of five, so an answer to a long
 * prompt is always late on a slow one. */
TEST_F(SoftDeadlineTest, ASlowEndpointIsNotUsedWhileAFullFastOneMeetsTheDeadline)
{
	add_with_latency("fast", 1);
	add_with_latency("slow", 5);
	std::vector<comet_placement_item> running(2, item_with_soft_deadline(2, 600000));
	submit_all(running);
	ASSERT_EQ(dispatched.size(), 2U);
	EXPECT_EQ(dispatched[0].instance, "fast");
	EXPECT_EQ(dispatched[1].instance, "fast");
	comet_placement_item one = item_with_soft_deadline(2, 600000);
	comet_placement_submit(placement, &one, now_us);
	EXPECT_EQ(dispatched.size(), 2U)
		<< "250 ms for a slot and 130 ms to the first event meet the deadline";
	EXPECT_EQ(waiting("llm"), 1U);
	now_us += 480000;
	comet_placement_run(placement, now_us);
	ASSERT_EQ(dispatched.size(), 3U) << "late on either endpoint, so the slow one is used";
	EXPECT_EQ(dispatched[2].instance, "slow");
}

TEST_F(SoftDeadlineTest, ARequestDeferredToAFastEndpointDoesNotBlockOthers)
{
	add_with_latency("fast", 1);
	add_with_latency("slow", 5);
	std::vector<comet_placement_item> running(2, item_with_soft_deadline(2, 600000));
	submit_all(running);
	comet_placement_item large = item_with_soft_deadline(1, 1500000);
	large.size.prompt_tokens = 10000; /* the first event takes 400 ms on the fast endpoint and
					    2,000 ms on the slow one */
	comet_placement_submit(placement, &large, now_us);
	EXPECT_EQ(dispatched.size(), 3U) << "a more urgent rank may queue at the fast endpoint";
	comet_placement_item larger = item_with_soft_deadline(1, 1500000);
	larger.size.prompt_tokens = 10000;
	comet_placement_submit(placement, &larger, now_us);
	comet_placement_item small = item_with_soft_deadline(2, 700000);
	comet_placement_submit(placement, &small, now_us);
	ASSERT_EQ(dispatched.size(), 4U);
	EXPECT_EQ(dispatched[3].item, &small);
	EXPECT_EQ(dispatched[3].instance, "slow");
	EXPECT_EQ(waiting("llm"), 1U);
}

TEST_F(SoftDeadlineTest, ARequestIsNotDeferredIfNoEndpointMeetsTheDeadline)
{
	add_with_latency("a", 5);
	add_with_latency("b", 5);
	comet_placement_item one = item_with_soft_deadline(2, 300000);
	comet_placement_submit(placement, &one, now_us);
	EXPECT_EQ(dispatched.size(), 1U);
}

/* Short requests filled the fast endpoints while long ones, which only those serve in time, waited.
 */
TEST_F(SoftDeadlineTest, AShortRequestLeavesScarceFastSlotsToOthers)
{
	for (int round = 0; round < 2; round++)
	{
		bool needed = round == 1;
		std::string fast_id = "fast" + std::to_string(round);
		std::string slow_id = "slow" + std::to_string(round);
		add_with_latency(fast_id.c_str(), 1)->slots = 20;
		comet_instance *fast = comet_instances_find(instances, fast_id.c_str());
		comet_instance *slow = add_with_latency(slow_id.c_str(), 3);
		slow->samples = fast->samples = 10;
		comet_latency_model_record_relative(slow->latency_model, 0, 3);
		comet_latency_model_record_relative(fast->latency_model, 0, 1);
		fast->needed_us = needed ? now_us : 0;
		const comet_request_size size = item(2).size;
		for (int i = 0; i < 19; i++)
			comet_instance_dispatch_started(fast, &size);
		slow->local_prompt_tokens = fast->local_prompt_tokens = 0;
		comet_placement_item tiny = item_with_soft_deadline(2, 2000000);
		tiny.size = {10, 1, 1, true};
		comet_placement_submit(placement, &tiny, now_us);
		ASSERT_FALSE(dispatched.empty());
		EXPECT_EQ(dispatched.back().instance, needed ? slow_id : fast_id);
		EXPECT_EQ(comet_placement_decision(placement)->spared_fast, needed);
		comet_instances_remove(instances, fast_id.c_str());
		comet_instances_remove(instances, slow_id.c_str());
	}
}

/* The owner knows the latency of its endpoints, and the slot request carries the soft deadline. */
TEST(SoftDeadline, AnOwnerDefersASlowSlotUntilTheRequestIsLate)
{
	grants_fleet::fleet all(5, 2);
	uint32_t owner_vm = all.owner_of(1);
	uint32_t requester = owner_vm == 1 ? 2 : 1;
	for (auto &one : all.vms)
		comet_instances_find(one.second.instances, "i1")->relative_latency = 8;
	for (uint32_t i = 0; i < grants_fleet::slots; i++)
		all.submit(requester);
	all.pass(20000);
	ASSERT_EQ(all.running()["i0"], grants_fleet::slots);
	comet_placement_item *item = all.submit(requester, 2, 600000);
	all.pass(100000);
	EXPECT_EQ(all.vms[requester].sent.count(item), 0U);
	comet_placement_item *other = all.submit(requester, 2);
	all.pass(20000);
	EXPECT_EQ(all.vms[requester].sent[other], "i1")
		<< "a request without a soft deadline takes the slow slot";
	all.pass(500000);
	EXPECT_EQ(all.vms[requester].sent[item], "i1");
}

} // namespace
