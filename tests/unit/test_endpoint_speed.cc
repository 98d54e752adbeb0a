/*
 * test_endpoint_speed.cc
 * tests placement before endpoints whose speed differs and changes
 */
#include "speed_simulation.h"

namespace
{

using speed_simulation::load_kind;
using speed_simulation::simulation;

/* Twelve engines of five slots, of which a third takes 4.4 times as long as the others. */
struct mixed_engines : simulation
{
	explicit mixed_engines(uint32_t seed)
	    : simulation(12, 12, {1, 5},
		      {{"long", 5, 6610, 400, 1000000, 1}, {"short", 8, 628, 290, 600000, 0},
			      {"brief", 6, 1800, 25, 1500000, 2}},
		      seed)
	{
		for (int i = 0; i < 12; i++)
			endpoints["i" + std::to_string(i)].relative = i % 3 == 0 ? 3.0 : 0.68;
	}
};

/* After a restart of all VMs, owners took slow engines for usual ones until the streams there
 * ended, and long prompts missed their target there. */
TEST(EndpointSpeed, LongPromptsAfterARestartOfAllVms)
{
	mixed_engines early(0);
	mixed_engines later(0);
	mixed_engines loaded(0);
	for (uint32_t seed = 1; seed <= 12; seed++)
	{
		mixed_engines sim(seed);
		sim.pass(3000000);
		early.add(sim);
		sim.reset();
		sim.pass(8000000);
		later.add(sim);
		sim.reset();
		sim.pass(8000000, 1.5);
		loaded.add(sim);
	}
	early.print("restart, 0-3 s");
	later.print("restart, 3-11 s");
	loaded.print("restart, 11-19 s, load 1.5");
	EXPECT_GE(early.results[0].share_in_time(), 0.9);
	EXPECT_GE(later.results[0].share_in_time(), 0.995);
	EXPECT_GE(later.results[1].share_in_time(), 0.995);
}

/* Four endpoints of six slots, which take 2.5 times as long for 600 ms at a time. */
struct changing_endpoints : simulation
{
	changing_endpoints(std::vector<load_kind> load, bool states)
	    : simulation(4, 4, {1, 6}, std::move(load))
	{
		slow_share = 0.15;
		states_slowdown = states;
		pass(2000000);
		reset();
	}
};

/* Without the statement, plain requests go to endpoints that have just become slow. */
TEST(EndpointSpeed, PlainRequestsAvoidEndpointsThatStateASlowdown)
{
	for (double load : {0.6, 0.75})
	{
		std::vector<load_kind> plain = {{"plain", 400 * load, 0, 0, 300000, 0, 60}};
		changing_endpoints silent(plain, false);
		changing_endpoints stating(plain, true);
		silent.pass(60000000);
		stating.pass(60000000);
		silent.print("plain, not stated");
		stating.print("plain, stated");
		const speed_simulation::result &before = silent.results[0];
		const speed_simulation::result &after = stating.results[0];
		printf("plain, load %.2f: above 100 ms %.4f, stated %.4f; above 150 ms %.4f, "
		       "stated "
		       "%.4f\n",
			load, before.share_above(100), after.share_above(100),
			before.share_above(150), after.share_above(150));
		EXPECT_GE(after.share_in_time(), before.share_in_time() - 0.002);
		/* At 0.75, the endpoints that are not slow are full, so all have to be used. */
		if (load > 0.7)
			continue;
		EXPECT_LT(after.mean(), 0.97 * before.mean());
		EXPECT_LT(after.share_above(100), 0.8 * before.share_above(100));
		EXPECT_LT(after.share_above(150), 0.6 * before.share_above(150));
	}
}

/* The statement reaches the owner with the head of a stream's response. Learning it into the
 * relative latency would make all engines look slower in turn. */
TEST(EndpointSpeed, StreamsWithSlowPhases)
{
	std::vector<load_kind> streams = {
		{"long", 1.6, 6610, 400, 1000000, 1}, {"short", 2.4, 628, 290, 300000, 0}};
	changing_endpoints silent(streams, false);
	changing_endpoints stating(streams, true);
	silent.pass(120000000);
	stating.pass(120000000);
	silent.print("streams, not stated");
	stating.print("streams, stated");
	for (size_t kind = 0; kind < streams.size(); kind++)
		EXPECT_GE(stating.results[kind].share_in_time(), 0.985) << streams[kind].name;
}

/* Values from outside must not reach the estimates: a slowdown of 0 would make an endpoint look
 * infinitely fast. */
TEST(CurrentSpeed, AStatementOutOfBoundsIsIgnored)
{
	comet_current_speed speed = {};
	EXPECT_TRUE(comet_current_speed_observe(&speed, 250, 1000000));
	for (uint32_t percent : {0U, 19U, 2001U, 1000000000U, UINT32_MAX})
		EXPECT_FALSE(comet_current_speed_observe(&speed, percent, 1000001)) << percent;
	EXPECT_DOUBLE_EQ(comet_current_speed_factor(&speed, 1000000), 2.5);
}

/* An endpoint that was slow once must not be avoided for longer than it is slow, and an older
 * statement that another VM reports later must not replace a newer one. */
TEST(CurrentSpeed, AStatementLosesWeightWithItsAge)
{
	comet_current_speed speed = {};
	EXPECT_DOUBLE_EQ(comet_current_speed_factor(&speed, 5000000), 1);
	comet_current_speed_observe(&speed, 300, 5000000);
	EXPECT_DOUBLE_EQ(comet_current_speed_factor(&speed, 5300000), 2);
	EXPECT_DOUBLE_EQ(comet_current_speed_factor(&speed, 5600000), 1);
	EXPECT_NEAR(comet_current_speed_stretch(&speed, 100000, 5000000), 300000, 1);
	EXPECT_NEAR(comet_current_speed_stretch(&speed, 3000000, 5000000), 3400000, 1)
		<< "the rest of a long stream runs at the usual speed";
	EXPECT_TRUE(comet_current_speed_observe(&speed, 100, 4900000));
	EXPECT_EQ(speed.percent, 300U);
}

/* A stated slowdown that was learned into the relative latency would count twice, and would remain
 * when the endpoint is as fast as usual again. */
TEST(CurrentSpeed, SamplesDoNotContainTheStatedSlowdown)
{
	comet_current_speed speed = {};
	EXPECT_EQ(comet_current_speed_usual_us(&speed, 60000, 1000000), 60000U);
	comet_current_speed_observe(&speed, 250, 1000000);
	EXPECT_EQ(comet_current_speed_usual_us(&speed, 150000, 1000000), 60000U);
	EXPECT_EQ(comet_current_speed_usual_us(&speed, 3000000, 3900000), 0U)
		<< "of a long stream, it is not known how much of it was slow";
	comet_current_speed_observe(&speed, 100, 1050000);
	EXPECT_EQ(comet_current_speed_usual_us(&speed, 100000, 1060000), 0U)
		<< "the speed changed meanwhile";
	EXPECT_EQ(comet_current_speed_usual_us(&speed, 60000, 1120000), 60000U);
}

/* An endpoint that always states a slowdown is slow for the whole of a stream. */
TEST(CurrentSpeed, ASlowdownThatLastsCountsForTheWholeStream)
{
	comet_current_speed speed = {};
	for (uint64_t at_us = 1000000; at_us <= 9000000; at_us += 100000)
		comet_current_speed_observe(&speed, 200, at_us);
	EXPECT_NEAR(comet_current_speed_stretch(&speed, 3000000, 9000000), 6000000, 1);
	EXPECT_EQ(comet_current_speed_usual_us(&speed, 4000000, 9000000), 2000000U);
}

/* An earlier release would take a sample for the release of the slot, and grant it twice. */
TEST(EndpointSpeed, ASampleIsSentOnlyIfItIsWantedAndReleasesNothing)
{
	grants_fleet::fleet all(5, 1);
	uint32_t owner = all.owner_of(1);
	uint32_t requester = owner == 1 ? 2 : 1;
	comet_placement_item *item = all.submit(requester);
	all.deliver();
	ASSERT_EQ(item->owner_vm, owner);
	EXPECT_TRUE(item->sample_wanted);
	comet_instance *known = comet_instances_find(all.vms[owner].instances, "i0");
	uint32_t used = comet_instance_owned_load(known, all.now_us);
	comet_grants_completion sample = {};
	sample.result = COMET_DISPATCH_CANCELLED;
	sample.stream = true;
	sample.events = 8;
	sample.taken_us = 70000;
	const auto send = [&all, &sample, known, owner, requester]()
	{
		comet_grants_send_sample(all.vms[requester].grants, owner, known->key, &sample);
		size_t bytes = all.in_flight.back().bytes.size();
		all.deliver();
		return bytes;
	};
	for (int i = 0; i < 3; i++)
		EXPECT_EQ(send(), 20U) << "see docs/CAPACITY.md";
	EXPECT_EQ(comet_instance_owned_load(known, all.now_us), used);
	EXPECT_EQ(known->samples, 3U);
	comet_placement_item *next = all.submit(requester);
	all.deliver();
	EXPECT_FALSE(next->sample_wanted) << "the owner has enough samples";
	sample.slowdown_percent = 250;
	sample.slowdown_age_us = 90000;
	EXPECT_EQ(send(), 25U) << "see docs/CAPACITY.md";
	EXPECT_GT(comet_current_speed_factor(&known->speed, all.now_us), 2);
	next = all.submit(requester);
	all.deliver();
	EXPECT_TRUE(next->sample_wanted) << "the endpoint states slowdowns";
}

/* The mean over samples was that of the endpoints that respond most often, which are the fast ones.
 */
TEST(EndpointSpeed, TheTypicalEndpointDoesNotDependOnWhoRespondsFirst)
{
	for (bool slow_first : {false, true})
	{
		comet_instances *instances = comet_instances_create(nullptr, "z");
		comet_instance *at[3];
		for (int i = 0; i < 3; i++)
		{
			std::string id = "i" + std::to_string(i);
			comet_instance_record record = {
				id.c_str(), "llm", "127.0.0.1:1", "z", 4, 0, false, 0, "v1"};
			at[i] = comet_instances_update(instances, &record, 1);
		}
		for (int i = 0; i < 20; i++)
		{
			bool slow = (i == 0) == slow_first && (i == 0 || i == 19);
			comet_instance_add_sample(
				at[slow ? 0 : 1], true, slow ? 400000 : 100000, 11);
		}
		EXPECT_NEAR(comet_instance_relative_to_typical(at[0]), 2.5, 0.01);
		EXPECT_NEAR(comet_instance_relative_to_typical(at[1]), 0.625, 0.01);
		EXPECT_NEAR(comet_instance_relative_to_typical(at[2]), 1, 0.01) << "no samples";
		talloc_free(instances);
	}
}

} // namespace
