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
	all.start(1, 2); /* the VM that got the response restarts */
	all.pass(3 * s);
	EXPECT_TRUE(comet_instance_is_leaving(endpoint(all, 1, "i1")));
	EXPECT_FALSE(comet_instance_is_leaving(endpoint(all, 1, "i0")));
}

} // namespace
