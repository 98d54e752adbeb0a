/*
 * test_evacuations.cc
 * evacuated zones: endpoint selection, grants, remote waiters and queues, in virtual time
 */
#include "grants_fleet.h"
#include "placement_fixture.h"

extern "C"
{
#include <libcometspindle/gateway/endpoints/evacuations.h>
}

namespace
{

using grants_fleet::fleet;

class EvacuationTest : public PlacementTest
{
      public:
	std::vector<std::string> restored;

      protected:
	comet_evacuations *evacuations = nullptr;

	static void
	on_restored(void *ctx, const char *zone)
	{
		static_cast<EvacuationTest *>(ctx)->restored.emplace_back(zone);
	}

	void
	SetUp() override
	{
		PlacementTest::SetUp();
		evacuations = comet_evacuations_create(instances, instances, on_restored, this);
	}

	/* Submits a request. @return the endpoint that receives it, or "" if it waits. */
	std::string
	submit(comet_placement_item *item)
	{
		size_t before = dispatched.size();
		comet_placement_submit(placement, item, now_us);
		return dispatched.size() > before ? dispatched.back().instance : "";
	}
};

TEST_F(EvacuationTest, EndpointsOfTheZoneAreNotSelectedUntilItIsRestored)
{
	add("a", "z1");
	add("b", "z2");
	EXPECT_TRUE(comet_evacuations_order(evacuations, "z1"));
	EXPECT_FALSE(comet_evacuations_order(evacuations, "z1"));
	add("c", "z1"); /* listed after the order */
	std::vector<comet_placement_item> items(3, item(2));
	EXPECT_EQ(submit(&items[0]), "b");
	EXPECT_EQ(submit(&items[1]), "b");
	EXPECT_EQ(submit(&items[2]), "")
		<< "b is full, and the evacuated endpoints are not used instead";
	comet_evacuations_end(evacuations, "z1", now_us);
	EXPECT_EQ(restored, std::vector<std::string>{"z1"});
	comet_placement_run(placement, now_us);
	EXPECT_NE(dispatched.back().instance, "b")
		<< "the waiting request is dispatched to the restored zone";
	EXPECT_EQ(dispatched.size(), 3U);
}

TEST_F(EvacuationTest, AnOrderExpiresUnlessItIsListedAgain)
{
	add("a", "z1");
	comet_evacuations_order(evacuations, "z1");
	comet_evacuations_schedule_expiry(evacuations, "z1", now_us + 1000);
	comet_evacuations_tick(evacuations, now_us + 999);
	EXPECT_TRUE(restored.empty());
	EXPECT_FALSE(comet_evacuations_order(evacuations, "z1"));
	comet_evacuations_tick(evacuations, now_us + 1000);
	EXPECT_TRUE(restored.empty());
	comet_evacuations_schedule_expiry(evacuations, "z1", now_us + 1000);
	comet_evacuations_tick(evacuations, now_us + 1000);
	EXPECT_EQ(restored.size(), 1U);
}

/* Requests that wait are refused as soon as no endpoint can serve them. */
TEST_F(EvacuationTest, AServiceWithoutAnotherZoneRefusesNewAndWaitingRequests)
{
	comet_instance *only = add("a", "z1");
	add("draining", "z2", true);
	std::vector<comet_placement_item> items(4, item(0));
	only->slots = 1;
	for (auto &one : items)
		one.size.stream = false;
	for (auto &one : items)
		comet_placement_submit(placement, &one, now_us);
	ASSERT_EQ(dispatched.size(), 2U);
	ASSERT_EQ(waiting("llm"), 2U);
	comet_evacuations_order(evacuations, "z1");
	now_us += 20000;
	comet_placement_run(placement, now_us);
	ASSERT_EQ(refused.size(), 2U);
	comet_placement_item late = item(0);
	comet_placement_submit(placement, &late, now_us);
	ASSERT_EQ(refused.size(), 3U);
	for (auto &one : refused)
		EXPECT_GE(one.second, 1000U)
			<< "an evacuation lasts longer than a request occupies a slot";
	EXPECT_TRUE(comet_placement_is_evacuated(placement, &late));
}

/* A probe of an ejected endpoint is a request, which an evacuated zone must not receive. */
TEST_F(EvacuationTest, EjectedEndpointsAreNotProbed)
{
	comet_instance *only = add("a", "z1");
	comet_evacuations_order(evacuations, "z1");
	only->ejected_until_us = now_us - 1;
	comet_placement_item one = item(0);
	one.retryable = true;
	EXPECT_EQ(submit(&one), "");
}

/* The owner does not know of the order yet. The requester releases the grant, so that the owner's
 * count of used slots stays right. */
TEST(Evacuations, AGrantInAnEvacuatedZoneIsReleased)
{
	fleet all(3, 2);
	uint32_t owner = all.owner_of(1);
	uint32_t requester = owner == 1 ? 2 : 1;
	all.submit(requester); /* the slot request is in transit */
	comet_instances_evacuate(all.vms[requester].instances, "z");
	all.deliver();
	all.pass(50000);
	EXPECT_EQ(all.total(), 0U);
	for (const char *id : {"i0", "i1"})
		EXPECT_EQ(comet_instance_owned_load(
				  comet_instances_find(all.vms[owner].instances, id), all.now_us),
			0U);
}

/* Remote waiters at an owner receive no grant for a zone that is evacuated while they wait. */
TEST(Evacuations, RemoteWaitersAreNotGrantedEvacuatedEndpoints)
{
	fleet all(4, 2);
	uint32_t owner = all.owner_of(1);
	std::vector<std::pair<uint32_t, comet_placement_item *>> running;
	for (uint32_t i = 0; i < 2 * grants_fleet::slots; i++)
	{
		uint32_t vm = 1 + i % 4;
		running.emplace_back(vm, all.submit(vm));
	}
	all.pass(100000);
	ASSERT_EQ(all.total(), 2 * grants_fleet::slots);
	for (uint32_t vm = 1; vm <= 4; vm++)
		all.submit(vm);
	all.pass(100000); /* the requests of the other VMs wait at the owner */
	for (auto &one : all.vms)
		comet_instances_evacuate(one.second.instances, "z");
	for (auto &one : running)
		all.end(one.first, one.second);
	all.pass(500000);
	EXPECT_EQ(all.total(), 0U);
	EXPECT_NE(owner, 0U);
}

} // namespace
