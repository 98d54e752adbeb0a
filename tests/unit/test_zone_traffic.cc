/*
 * test_zone_traffic.cc
 * tests that requests stay in the availability zone of their VM while it has room for them
 */
#include "placement_fixture.h"
#include "speed_simulation.h"

namespace
{

using speed_simulation::simulation;

/* Six engines of six slots in each of three zones, of which two are slow, and more demand in two of
 * the zones. */
struct zoned_engines : simulation
{
	explicit zoned_engines(uint32_t seed)
	    : simulation(18, 18, {3, 6},
		      {{"long", 9, 6610, 400, 1000000, 1}, {"short", 14, 628, 290, 600000, 0},
			      {"brief", 12, 1800, 25, 1500000, 2}},
		      seed)
	{
		for (int i = 0; i < 18; i++)
			endpoints["i" + std::to_string(i)].relative = i / 3 % 3 == 0 ? 3.0 : 0.68;
		zone_weights = {221, 281, 278};
	}
};

/* Two thirds of the requests went to other zones, whose traffic is charged. No zone's callers may
 * be served worse for staying: in time were 0.998 of each zone at loads up to 1, and 0.951 at 1.4.
 */
TEST(ZoneTraffic, UnequalDemandBetweenZones)
{
	const struct
	{
		double load, crossing_max, in_time_min;
	} rows[] = {{0.6, 0.01, 0.998}, {1.0, 0.03, 0.998}, {1.4, 0.35, 0.95}};
	for (auto &row : rows)
	{
		zoned_engines sum(0);
		for (uint32_t seed = 1; seed <= 4; seed++)
		{
			zoned_engines sim(seed);
			sim.pass(4000000, row.load);
			sim.reset();
			sim.pass(20000000, row.load);
			sum.add(sim);
		}
		std::string name = "zones, load " + std::to_string(row.load).substr(0, 3);
		sum.print(name.c_str());
		EXPECT_LE((double)sum.crossing / (double)sum.sent, row.crossing_max) << name;
		for (auto &one : sum.by_zone)
			EXPECT_GE(one.second.share_in_time(), row.in_time_min)
				<< name << " zone " << one.first;
	}
}

/* Three times the usual demand in one zone must use the endpoints of the others, instead of waiting
 * for its own. */
TEST(ZoneTraffic, DemandOfOneZoneUsesTheOthers)
{
	zoned_engines sim(1);
	sim.zone_weights = {1, 0, 0};
	sim.pass(4000000, 0.9);
	sim.reset();
	sim.pass(20000000, 0.9);
	sim.print("one zone");
	EXPECT_GE(sim.by_zone[0].share_in_time(), 0.98);
	EXPECT_EQ(sim.by_zone[0].refused, 0U);
	EXPECT_GE((double)sim.crossing / (double)sim.sent, 0.3);
}

/* A VM whose zone has no endpoints must be served from the others at once. */
TEST(ZoneTraffic, AZoneWithoutEndpointsIsServedAtOnce)
{
	grants_fleet::fleet all(6, 2, {3, 4});
	for (uint32_t vm : {2U, 5U}) /* zone 2; the endpoints are in zones 0 and 1 */
	{
		comet_placement_item *item = all.submit(vm);
		all.deliver();
		EXPECT_EQ(all.vms[vm].sent.count(item), 1U) << vm;
	}
}

class ZonePlacement : public PlacementTest
{
      protected:
	void
	SetUp() override
	{
		PlacementTest::SetUp();
		comet_placement_prefer_own_zone(placement);
	}

	std::string
	place(comet_placement_item one)
	{
		owned_items.push_back(std::make_unique<comet_placement_item>(one));
		size_t before = dispatched.size();
		comet_placement_submit(placement, owned_items.back().get(), now_us);
		return dispatched.size() > before ? dispatched.back().instance : "";
	}
};

/* Plain requests may queue at an endpoint. They must not do so in the own zone while endpoints of
 * other zones are idle. */
TEST_F(ZonePlacement, PlainRequestsDoNotQueueWhileAnotherZoneIsIdle)
{
	add("near");
	add("far", "z2");
	comet_placement_item plain = item(0);
	plain.size = {0, 0, 0, false};
	const char *expected[] = {"near", "near", "far", "far"};
	for (const char *one : expected)
		EXPECT_EQ(place(plain), one);
	EXPECT_NE(place(plain), "") << "all slots are used, and plain requests may queue";
}

/* A slow endpoint of the own zone must not hold back a request that another zone serves in time. */
TEST_F(ZonePlacement, ARequestThatTheOwnZoneWouldServeLateGoesToAnother)
{
	add("near")->relative_latency = 8;
	add("far", "z2");
	comet_placement_item tight = item(2);
	tight.soft_deadline_us = now_us + 600000; /* 130 ms at far, 1,040 ms at near */
	EXPECT_EQ(place(tight), "far");
	EXPECT_EQ(place(item(2)), "near") << "no target";
}

/* Streams of urgent ranks may queue, but only when no zone has a free slot. */
TEST_F(ZonePlacement, StreamsUseFreeSlotsOfOtherZonesBeforeTheyQueue)
{
	add("near");
	add("far", "z2");
	const char *expected[] = {"near", "near", "far", "far"};
	for (const char *one : expected)
		EXPECT_EQ(place(item(0)), one);
}

} // namespace
