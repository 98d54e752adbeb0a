/*
 * test_limit_enforcement.cc
 * requests from all VMs together to endpoints that advertise a limit, in virtual time
 */
#include "grants_fleet.h"

#include <algorithm>
#include <map>
#include <random>

extern "C"
{
#include <libcometspindle/gateway/endpoints/advertised_limit.h>
}

namespace
{

using grants_fleet::fleet;

constexpr uint64_t second_us = 1000000;
constexpr uint64_t window_us = 4 * second_us;

/* Time from the first response with a limit until all VMs have to keep it. */
constexpr uint64_t settle_us = 3 * second_us;

/* The most requests that an endpoint may receive within a window. */
double
most_allowed(double limit_per_s)
{
	return 1.5 * limit_per_s * 4 + 5;
}

/* VMs that send short requests to a few endpoints, some of which state a limit in each response. */
struct limited_load
{
	fleet all;
	std::vector<std::pair<uint32_t, comet_placement_item *>> open;
	std::map<std::string, double> limits; /* endpoint -> advertised limit */
	std::set<uint32_t> unaware;           /* VMs that cannot read the limit */
	std::set<uint32_t> earlier_release;   /* VMs that neither send nor read limits */
	std::mt19937 draw{5};
	uint32_t vms;
	std::vector<uint32_t> senders; /* VMs that receive requests; empty: all */

	limited_load(uint32_t vms, int endpoints) : all(vms, endpoints), vms(vms)
	{
	}

	/* Lets these VMs run an earlier release, whose messages have no fields for limits. */
	void
	run_earlier_release(const std::set<uint32_t> &addresses)
	{
		earlier_release = addresses;
		unaware = addresses;
		all.on_mail = [this](grants_fleet::mail &one)
		{
			if (earlier_release.count(one.from) == 0 &&
				earlier_release.count(one.to) == 0)
				return;
			comet_Datagram datagram;
			uint8_t bytes[COMET_DATAGRAM_BYTES_MAX];
			ASSERT_TRUE(comet_datagram_decode(
				(const uint8_t *)one.bytes.data(), one.bytes.size(), &datagram));
			if (datagram.which_body == comet_Datagram_view_tag)
				datagram.body.view.limits_count = 0;
			if (datagram.which_body == comet_Datagram_answer_tag)
				datagram.body.answer.limit_applied = false;
			size_t length = comet_datagram_encode(&datagram, bytes);
			one.bytes = std::string((const char *)bytes, length);
		};
	}

	void
	respond(uint32_t address, comet_placement_item *item)
	{
		auto &vm = all.vms[address];
		std::string id = vm.sent[item];
		comet_instance *instance = comet_instances_find(vm.instances, id.c_str());
		double limit = limits.count(id) != 0 ? limits[id] : -1;
		if (unaware.count(address) == 0 &&
			comet_instance_limit_advertised(instance, limit, all.now_us))
			comet_gossip_schedule_broadcast(vm.gossip);
		all.end(address, item, 0, 0, COMET_DISPATCH_SERVED);
	}

	/* Submits a request every 20 ms, each of which runs for 60 ms. */
	void
	run(uint64_t us, uint32_t batch = 1)
	{
		std::uniform_int_distribution<uint32_t> any(1, vms);
		for (uint64_t end_us = all.now_us + us; all.now_us < end_us;)
		{
			for (uint32_t i = 0; i < batch; i++)
			{
				uint32_t vm = any(draw);
				if (!senders.empty())
					vm = senders[vm % senders.size()];
				open.emplace_back(vm, all.submit(vm));
			}
			all.pass(20000);
			for (auto &one : open)
			{
				auto &vm = all.vms[one.first];
				if (vm.sent.count(one.second) != 0 &&
					all.now_us - all.sent_us[one.second] >= 60000)
					respond(one.first, one.second);
			}
		}
	}

	/* Returns the largest number of requests to an endpoint within a window after since_us. */
	uint32_t
	most_in_a_window(const std::string &id, uint64_t since_us)
	{
		const std::vector<uint64_t> &at = all.sends[id];
		uint32_t most = 0;
		for (size_t first = 0; first < at.size(); first++)
		{
			size_t last = first;
			while (last < at.size() && at[last] - at[first] < window_us)
				last++;
			if (at[first] >= since_us)
				most = std::max(most, (uint32_t)(last - first));
		}
		return most;
	}

	uint32_t
	sent_since(const std::string &id, uint64_t since_us)
	{
		const std::vector<uint64_t> &at = all.sends[id];
		return (uint32_t)std::count_if(
			at.begin(), at.end(), [&](uint64_t one) { return one >= since_us; });
	}

	/* Runs the load with these limits and checks that they are kept and used. */
	void
	expect_kept(uint64_t us)
	{
		uint64_t from_us = all.now_us + settle_us;
		run(us);
		for (auto &one : limits)
		{
			EXPECT_LE(most_in_a_window(one.first, from_us), most_allowed(one.second))
				<< one.first;
			EXPECT_GE(sent_since(one.first, from_us),
				0.5 * one.second * (double)(us - settle_us) / second_us - 1)
				<< one.first << " is used";
		}
	}
};

TEST(LimitEnforcement, AllVmsTogetherStayWithinTheLimitOfAnEndpoint)
{
	limited_load load(9, 4);
	load.run(second_us);
	load.limits = {{"i0", 2}};
	load.expect_kept(15 * second_us);
}

TEST(LimitEnforcement, AllEndpointsOfAServiceStateALimit)
{
	limited_load load(9, 4);
	load.run(second_us);
	load.limits = {{"i0", 2}, {"i1", 1}, {"i2", 2.8}, {"i3", 5}};
	load.expect_kept(15 * second_us);
}

TEST(LimitEnforcement, ALimitBelowOneRequestPerSecond)
{
	limited_load load(9, 4);
	load.run(second_us);
	load.limits = {{"i0", 0.3}, {"i1", 0}};
	load.expect_kept(30 * second_us);
	EXPECT_GE(load.sent_since("i1", load.all.now_us - 28 * second_us), 1U)
		<< "the end of the limit is noticed";
}

/* Responses that only one VM can read must limit all VMs. */
TEST(LimitEnforcement, ALimitThatOnlyOneVmReads)
{
	limited_load load(9, 4);
	load.run(second_us);
	for (uint32_t vm = 2; vm <= 9; vm++)
		load.unaware.insert(vm);
	load.limits = {{"i0", 2}};
	load.expect_kept(15 * second_us);
}

TEST(LimitEnforcement, AVmThatHasJustStarted)
{
	limited_load load(9, 4);
	load.run(second_us);
	load.limits = {{"i0", 2}, {"i1", 2}, {"i2", 2}, {"i3", 2}};
	load.run(5 * second_us);
	load.all.start(10, 4);
	load.vms = 10;
	load.expect_kept(10 * second_us);
}

/* The owner fails, and its successor does not know how many requests were sent. */
TEST(LimitEnforcement, TheOwnerFails)
{
	limited_load load(9, 4);
	load.run(second_us);
	load.limits = {{"i0", 2}, {"i1", 5}};
	load.run(5 * second_us);
	uint64_t from_us = load.all.now_us;
	uint32_t owner = load.all.owner_of(1);
	load.all.lost = [owner](const grants_fleet::mail &one)
	{ return one.from == owner || one.to == owner; };
	load.run(10 * second_us);
	EXPECT_LE(load.most_in_a_window("i0", from_us), most_allowed(2));
	EXPECT_LE(load.most_in_a_window("i1", from_us), most_allowed(5));
}

TEST(LimitEnforcement, BothSidesOfAPartition)
{
	limited_load load(8, 4);
	load.run(second_us);
	load.limits = {{"i0", 2}, {"i1", 4}};
	load.run(5 * second_us);
	uint64_t from_us = load.all.now_us;
	load.all.lost = [](const grants_fleet::mail &one)
	{ return (one.from <= 4) != (one.to <= 4); };
	load.run(10 * second_us);
	EXPECT_LE(load.most_in_a_window("i0", from_us), most_allowed(2));
	EXPECT_LE(load.most_in_a_window("i1", from_us), most_allowed(4));
}

/* An owner of an earlier release grants slots without regard to limits. Only the requests of the
 * other VMs can be limited. */
TEST(LimitEnforcement, AnOwnerThatRunsAnEarlierRelease)
{
	limited_load load(9, 4);
	uint32_t owner = load.all.owner_of(1);
	load.run_earlier_release({owner});
	load.run(second_us);
	load.limits = {{"i0", 2}, {"i1", 1}};
	load.run(settle_us);
	for (uint32_t vm = 1; vm <= 9; vm++)
		if (vm != owner)
			load.senders.push_back(vm);
	load.run(window_us);
	uint64_t from_us = load.all.now_us;
	load.run(8 * second_us);
	EXPECT_LE(load.most_in_a_window("i0", from_us), most_allowed(2));
	EXPECT_LE(load.most_in_a_window("i1", from_us), most_allowed(1));
}

TEST(LimitEnforcement, WithdrawnLimitsNoLongerBind)
{
	limited_load load(9, 4);
	load.run(second_us);
	load.limits = {{"i0", 2}, {"i1", 2}, {"i2", 2}, {"i3", 2}};
	load.run(6 * second_us);
	load.limits.clear();
	load.run(3 * second_us);
	uint64_t from_us = load.all.now_us;
	load.run(4 * second_us);
	for (const char *id : {"i0", "i1", "i2", "i3"})
		EXPECT_GE(load.sent_since(id, from_us), 20U) << id;
}

} // namespace
