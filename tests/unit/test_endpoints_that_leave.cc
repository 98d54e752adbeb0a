/*
 * test_endpoints_that_leave.cc
 * what VMs know of endpoints that leave or rest, under virtual time
 */
#include "grants_fleet.h"

using namespace grants_fleet;

namespace
{

constexpr uint64_t s = 1000000;

comet_instance *
endpoint(fleet &all, uint32_t vm, const char *id)
{
	return comet_instances_find(all.vms[vm].instances, id);
}

/* Requests of other VMs, and grants of the owner, reached an endpoint that had said that it leaves.
 */
TEST(EndpointsThatLeave, AllVmsKnowItAndNoneSelectsThem)
{
	fleet all(5, 3);
	EXPECT_TRUE(comet_instance_left(endpoint(all, 2, "i0"), all.now_us));
	EXPECT_FALSE(comet_instance_left(endpoint(all, 2, "i0"), all.now_us));
	comet_gossip_schedule_broadcast(all.vms[2].gossip);
	all.pass(s / 2);
	all.sends.clear();
	for (uint32_t i = 0; i < 10; i++)
		all.submit(1 + i % 5);
	all.deliver();
	EXPECT_EQ(all.sends["i0"].size(), 0U);
	EXPECT_EQ(all.total(), 2 * slots) << "the other endpoints are full";
}

TEST(EndpointsThatLeave, TheNextIncarnationStartsClean)
{
	fleet all(2, 2);
	comet_instance_left(endpoint(all, 1, "i0"), all.now_us);
	all.pass(3 * s);
	ASSERT_TRUE(comet_instance_is_leaving(endpoint(all, 2, "i0")));
	for (uint32_t vm = 1; vm <= 2; vm++)
	{
		comet_instance_record record = {
			"i0", "llm", "127.0.0.1:1", "z", slots, 0, false, 5000, "v1"};
		comet_instances_update(all.vms[vm].instances, &record, all.now_us);
	}
	all.pass(3 * s);
	EXPECT_FALSE(comet_instance_is_leaving(endpoint(all, 1, "i0")));
	EXPECT_FALSE(comet_instance_is_leaving(endpoint(all, 2, "i0")));
}

TEST(EndpointsThatLeave, AVmThatStartsLaterLearnsItFromAnyVm)
{
	fleet all(3, 2);
	comet_instance_left(endpoint(all, 1, "i1"), all.now_us);
	all.pass(3 * s);
	talloc_free(all.vms[1].instances);
	all.start(1, 2); /* the VM that got the response restarts */
	all.pass(3 * s);
	EXPECT_TRUE(comet_instance_is_leaving(endpoint(all, 1, "i1")));
	EXPECT_FALSE(comet_instance_is_leaving(endpoint(all, 1, "i0")));
}

/* The owner of a shard granted slots at an endpoint that had asked the requesting VM for a rest. */
TEST(EndpointsThatRest, ARestBindsOneVmWhicheverOwnsTheShard)
{
	for (uint32_t resting = 1; resting <= 3; resting++)
	{
		fleet all(3, 2);
		comet_instance_rest_requested(endpoint(all, resting, "i0"), 3 * s, all.now_us);
		for (uint32_t vm = 1; vm <= 3; vm++)
		{
			uint32_t free = vm == resting ? slots : 2 * slots;
			std::vector<comet_placement_item *> items;
			for (uint32_t i = 0; i < free; i++)
				items.push_back(all.submit(vm));
			all.deliver();
			uint32_t sent = 0;
			uint32_t at_i0 = 0;
			for (comet_placement_item *item : items)
			{
				auto found = all.vms[vm].sent.find(item);
				if (found == all.vms[vm].sent.end())
					continue;
				sent++;
				at_i0 += found->second == "i0" ? 1 : 0;
				all.end(vm, item);
			}
			all.deliver();
			EXPECT_EQ(sent, free) << "vm " << vm << " resting " << resting;
			EXPECT_EQ(at_i0, vm == resting ? 0 : slots);
		}
	}
}

TEST(EndpointsThatRest, RequestsWaitForTheEndOfARestOrAreRefusedAtOnce)
{
	fleet all(1, 2);
	comet_instance_rest_requested(endpoint(all, 1, "i0"), 3 * s, all.now_us);
	comet_instance_rest_requested(endpoint(all, 1, "i1"), 2 * s, all.now_us);
	comet_placement_item *patient = all.submit(1);
	comet_placement_item hasty = *patient;
	hasty.queue_position = nullptr;
	hasty.dispatch_deadline_us = all.now_us + s;
	comet_placement_submit(all.vms[1].placement, &hasty, all.now_us);
	EXPECT_EQ(all.vms[1].refused.count(&hasty), 1U);
	all.pass(s);
	EXPECT_EQ(all.vms[1].sent.count(patient), 0U);
	all.pass(s + s / 10);
	EXPECT_EQ(all.vms[1].sent.count(patient), 1U);
	EXPECT_EQ(all.vms[1].sent[patient], "i1");
}

/* An endpoint whose entry had expired in an outage of the directory was listed again as ready, and
 * got requests although it had said that it leaves. */
TEST(EndpointsThatLeave, WhatAnIncarnationStatedOutlivesItsEntry)
{
	fleet all(1, 2);
	comet_instances *instances = all.vms[1].instances;
	comet_instance_record record = {"i0", "llm", "127.0.0.1:1", "z", slots, 0, false, 0, "v1"};
	comet_instance_left(endpoint(all, 1, "i0"), all.now_us);
	comet_instance_rest_requested(endpoint(all, 1, "i1"), 5 * s, all.now_us);
	for (const char *id : {"i0", "i1"})
	{
		comet_instances_remove(instances, id);
		all.pass(s);
		record.id = id;
		comet_instances_update(instances, &record, all.now_us);
	}
	EXPECT_TRUE(comet_instance_is_leaving(endpoint(all, 1, "i0")));
	EXPECT_TRUE(comet_instance_is_resting(endpoint(all, 1, "i1"), all.now_us));
	EXPECT_FALSE(comet_instance_is_resting(endpoint(all, 1, "i1"), all.now_us + 5 * s));
	comet_instances_remove(instances, "i0");
	record = {"i0", "llm", "127.0.0.1:1", "z", slots, 0, false, 7000, "v1"};
	comet_instances_update(instances, &record, all.now_us);
	EXPECT_FALSE(comet_instance_is_leaving(endpoint(all, 1, "i0"))) << "another incarnation";
}

} // namespace
