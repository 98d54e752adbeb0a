/*
 * test_evacuations.cc
 * zones that get no new work: choices, grants, guests and queues, in virtual time
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

	std::string
	sent_to(comet_placement_item *item)
	{
		size_t before = dispatched.size();
		comet_placement_submit(placement, item, now_us);
		return dispatched.size() > before ? dispatched.back().instance : "";
	}
};

TEST_F(EvacuationTest, EndpointsOfTheZoneAreNotChosenUntilItIsRestored)
{
	add("a", "z1");
	add("b", "z2");
	EXPECT_TRUE(comet_evacuations_order(evacuations, "z1"));
	EXPECT_FALSE(comet_evacuations_order(evacuations, "z1"));
	add("c", "z1"); /* listed later */
	std::vector<comet_placement_item> items(3, item(2));
	EXPECT_EQ(sent_to(&items[0]), "b");
	EXPECT_EQ(sent_to(&items[1]), "b");
	EXPECT_EQ(sent_to(&items[2]), "") << "b is full, and the others are not used instead";
	comet_evacuations_end(evacuations, "z1", now_us);
	EXPECT_EQ(restored, std::vector<std::string>{"z1"});
	comet_placement_run(placement, now_us);
	EXPECT_NE(dispatched.back().instance, "b") << "what waited is served by the zone again";
	EXPECT_EQ(dispatched.size(), 3U);
}

TEST_F(EvacuationTest, AnOrderInDoubtHoldsUntilThenUnlessItIsGivenAgain)
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

/* Requests that wait learn at once that nobody will serve them. */
TEST_F(EvacuationTest, AServiceWithoutAnyOtherZoneRefusesAtOnceAlsoWhatWaits)
{
	comet_instance *only = add("a", "z1");
	add("gone", "z2", true);
	std::vector<comet_placement_item> items(4, item(0));
	only->slots = 1;
	for (auto &one : items)
		one.job.stream = false;
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
		EXPECT_GE(one.second, 1000U) << "an evacuation takes longer than a slot";
	EXPECT_TRUE(comet_placement_is_evacuated(placement, &late));
}

/* A trial of an avoided endpoint is a send as well. */
TEST_F(EvacuationTest, AvoidedEndpointsAreNotTried)
{
	comet_instance *only = add("a", "z1");
	comet_evacuations_order(evacuations, "z1");
	only->ejected_until_us = now_us - 1;
	comet_placement_item one = item(0);
	one.repeatable = true;
	EXPECT_EQ(sent_to(&one), "");
}

/* The keeper does not know of the order yet: the grant goes back, so that its count stays right. */
TEST(Evacuations, AGrantInAnEvacuatedZoneIsGivenBack)
{
	fleet all(3, 2);
	uint32_t keeper = all.keeper_of_all(1);
	uint32_t asker = keeper == 1 ? 2 : 1;
	all.submit(asker); /* the ask is on its way */
	comet_instances_evacuate(all.vms[asker].instances, "z");
	all.deliver();
	all.pass(50000);
	EXPECT_EQ(all.total(), 0U);
	for (const char *id : {"i0", "i1"})
		EXPECT_EQ(comet_instance_owned_load(
				  comet_instances_find(all.vms[keeper].instances, id), all.now_us),
			0U);
}

/* Guests that wait at a keeper get nothing of a zone that is evacuated meanwhile. */
TEST(Evacuations, GuestsAreNotGrantedEvacuatedEndpoints)
{
	fleet all(4, 2);
	uint32_t keeper = all.keeper_of_all(1);
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
	all.pass(100000); /* those of the others wait at the keeper */
	for (auto &one : all.vms)
		comet_instances_evacuate(one.second.instances, "z");
	for (auto &one : running)
		all.end(one.first, one.second);
	all.pass(500000);
	EXPECT_EQ(all.total(), 0U);
	EXPECT_NE(keeper, 0U);
}

} // namespace
