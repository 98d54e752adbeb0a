/*
 * test_slow_start.cc
 * cold endpoints: requests from all VMs to one endpoint within a second, in virtual time
 */
#include "grants_fleet.h"

#include <algorithm>
#include <random>

extern "C"
{
#include <libcometspindle/gateway/endpoints/slow_start.h>
}

namespace
{

using grants_fleet::fleet;

constexpr uint64_t second_us = 1000000;
constexpr comet_slow_start_config config = {3 * second_us, 15.35};

/* Returns the maximum number of requests to one endpoint within any second after since_us. */
uint32_t
max_within_a_second(const fleet &all, uint64_t since_us = 0)
{
	uint32_t highest = 0;
	for (auto &endpoint : all.sends)
	{
		const std::vector<uint64_t> &at = endpoint.second;
		for (size_t first = 0; first < at.size(); first++)
		{
			if (at[first] < since_us)
				continue;
			size_t last = first;
			while (last < at.size() && at[last] - at[first] < second_us)
				last++;
			highest = std::max(highest, (uint32_t)(last - first));
		}
	}
	return highest;
}

/* VMs that send short requests to a few endpoints, so that the slots alone would admit many more
 * requests than the limit for cold endpoints. */
struct short_requests
{
	fleet all;
	std::vector<std::pair<uint32_t, comet_placement_item *>> open;
	std::mt19937 draw{5};
	uint32_t vms;

	short_requests(uint32_t vms, int endpoints) : all(vms, endpoints), vms(vms)
	{
		for (auto &one : all.vms)
			comet_instances_set_slow_start(one.second.instances, "llm", &config);
		all.sends.clear();
	}

	/* Submits batch requests every 20 ms, each of which runs for 60 ms. */
	void
	run(uint64_t us, uint32_t batch, comet_dispatch_result result = COMET_DISPATCH_SERVED)
	{
		std::uniform_int_distribution<uint32_t> any(1, vms);
		for (uint64_t end_us = all.now_us + us; all.now_us < end_us;)
		{
			for (uint32_t i = 0; i < batch; i++)
			{
				uint32_t vm = any(draw);
				open.emplace_back(vm, all.submit(vm));
			}
			all.pass(20000);
			for (auto &one : open)
			{
				auto &vm = all.vms[one.first];
				if (vm.sent.count(one.second) != 0 &&
					all.now_us - all.sent_us[one.second] >= 60000)
					all.end(one.first, one.second, 0, 0, result);
			}
		}
	}
};

TEST(SlowStart, ABurstAfterAnIdlePeriodStaysWithinTheLimit)
{
	short_requests load(6, 4);
	load.run(5 * second_us / 2, 20); /* the endpoints become warm half a second later */
	EXPECT_LE(max_within_a_second(load.all), 15U);
	EXPECT_GE(max_within_a_second(load.all), 4U) << "the endpoints are used";
}

TEST(SlowStart, WarmEndpointsAreNotLimited)
{
	short_requests load(6, 4);
	load.run(3 * second_us, 2);
	uint64_t warm_until_us = load.all.now_us;
	load.run(3 * second_us, 20);
	EXPECT_GT(max_within_a_second(load.all, warm_until_us + second_us), 15U);
	short_requests unlimited(6, 4);
	comet_slow_start_config none = {3 * second_us, 0};
	for (auto &one : unlimited.all.vms)
		comet_instances_set_slow_start(one.second.instances, "llm", &none);
	unlimited.run(second_us, 20);
	EXPECT_GT(max_within_a_second(unlimited.all), 15U);
}

TEST(SlowStart, AnEndpointWhoseEntryReportsAWarmUpIsCold)
{
	short_requests load(6, 4);
	load.run(4 * second_us, 3);
	uint64_t cold_us = load.all.now_us;
	for (auto &one : load.all.vms)
		for (int i = 0; i < 4; i++)
		{
			std::string id = "i" + std::to_string(i);
			comet_instance_record record = {id.c_str(), "llm", "127.0.0.1:1", "z",
				grants_fleet::slots, 3000, false, 0, "v1"};
			comet_instances_update(one.second.instances, &record, cold_us);
		}
	load.run(3 * second_us, 20);
	EXPECT_LE(max_within_a_second(load.all, cold_us + second_us), 15U);
}

/* Endpoints of a restored zone may be cold before their entries report it. */
TEST(SlowStart, EndpointsOfARestoredZoneAreColdAtOnce)
{
	short_requests load(6, 4);
	load.run(4 * second_us, 3);
	for (auto &one : load.all.vms)
		comet_instances_evacuate(one.second.instances, "z");
	load.run(second_us / 2, 3);
	uint64_t restored_us = load.all.now_us;
	for (auto &one : load.all.vms)
		comet_instances_restore(one.second.instances, "z", restored_us);
	load.run(2 * second_us, 20);
	EXPECT_LE(max_within_a_second(load.all, restored_us), 15U);
}

/* A process that has restarted under the same id does not report a warm-up at first. */
TEST(SlowStart, AnEndpointIsColdAfterFailedConnections)
{
	short_requests load(6, 4);
	load.run(4 * second_us, 3);
	load.run(second_us / 2, 20, COMET_DISPATCH_UNREACHABLE);
	uint64_t back_us = load.all.now_us;
	load.run(2 * second_us, 20);
	EXPECT_LE(max_within_a_second(load.all, back_us), 15U);
}

/* During a network partition, each side has an owner of its own that counts requests. */
TEST(SlowStart, BothSidesOfAPartitionTogetherStayWithinTheLimit)
{
	short_requests load(8, 4);
	load.all.lost = [](const grants_fleet::mail &one)
	{ return (one.from <= 4) != (one.to <= 4); };
	load.all.pass(4 * second_us);
	load.all.sends.clear();
	load.run(5 * second_us / 2, 20);
	EXPECT_LE(max_within_a_second(load.all), 15U);
	EXPECT_GE(max_within_a_second(load.all), 4U);
}

/* The owner fails, and its successor does not know how many requests were sent. */
TEST(SlowStart, AnOwnerThatFailsDuringABurst)
{
	short_requests load(6, 4);
	uint32_t owner = load.all.owner_of(1);
	bool owner_failed = false;
	load.all.lost = [&](const grants_fleet::mail &one)
	{ return owner_failed && (one.from == owner || one.to == owner); };
	load.run(300000, 20);
	owner_failed = true;
	load.run(2 * second_us, 20);
	EXPECT_LE(max_within_a_second(load.all), 15U);
}

/* After a restart of all VMs there is no owner for half a second. */
TEST(SlowStart, WithoutAnOwnerVmsShareTheLimit)
{
	short_requests load(40, 4);
	load.all.asks = false;
	load.run(2 * second_us, 40);
	EXPECT_LE(max_within_a_second(load.all), 15U);
	EXPECT_GE(max_within_a_second(load.all), 1U);
}

} // namespace
