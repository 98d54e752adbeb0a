/*
 * test_cold_endpoints.cc
 * the bound on requests to a cold endpoint (rule FAILBACK), summed over all VMs, while owners die
 * and while VMs disagree about the owner, in virtual time
 */
#include "grants_fleet.h"

#include <algorithm>
#include <random>

namespace
{

using grants_fleet::fleet;
using grants_fleet::mail;

constexpr uint64_t ms = 1000;
constexpr uint64_t second_us = 1000 * ms;
constexpr comet_slow_start_config config = {60 * second_us, 24.5}; /* cold to the end of a test */
constexpr uint32_t bound = 24;
constexpr int endpoints = 3;
constexpr uint32_t vm_count = 40;

bool
is_view(const mail &one)
{
	comet_Datagram datagram;

	return comet_datagram_decode(
		       (const uint8_t *)one.bytes.data(), one.bytes.size(), &datagram) &&
	       datagram.which_body == comet_Datagram_view_tag;
}

/* VMs with short requests, which the slots alone would admit at 60 per second and endpoint. */
struct cold_fleet
{
	fleet all{0, endpoints};
	std::vector<std::pair<uint32_t, comet_placement_item *>> open;
	std::mt19937 draw{7};

	explicit cold_fleet(uint32_t vms = vm_count)
	{
		for (uint32_t i = 1; i <= vms; i++)
			start(i);
		all.pass(4 * second_us);
	}

	/* VMs 2 and 3 have the largest share of a core, so that they are the first two owners. */
	void
	start(uint32_t address)
	{
		all.start(address, endpoints, address == 2 || address == 3 ? 50 : 12);
		comet_instances_set_slow_start(all.vms[address].instances, "llm", &config);
		for (int i = 0; i < endpoints; i++)
		{
			std::string id = "i" + std::to_string(i);
			comet_instance_record record = {id.c_str(), "llm", "127.0.0.1:1", "z",
				grants_fleet::slots, 60000, false, 0, "v1"};
			comet_instances_update(all.vms[address].instances, &record, all.now_us);
		}
	}

	void
	kill(uint32_t address)
	{
		open.erase(std::remove_if(open.begin(), open.end(),
				   [&](auto &one) { return one.first == address; }),
			open.end());
		all.kill(address);
	}

	/* Kills the owner to which VM 1 sends its slot requests at present. */
	void
	kill_owner()
	{
		auto &observer = all.vms[1];
		comet_shards *shards = comet_shards_create(nullptr, observer.instances);
		auto *shard = static_cast<const comet_shard *>(
			comet_shards_for_service(shards, "llm")->pdata[0]);
		uint32_t owner = observer.find_owner(shard, all.now_us);
		talloc_free(shards);
		ASSERT_GT(owner, 1U);
		kill(owner);
	}

	/* Kills all VMs and starts them anew after_us later, within 50 ms. */
	void
	restart_all(uint64_t after_us)
	{
		for (uint32_t i = 1; i <= vm_count; i++)
			kill(i);
		all.in_flight.clear();
		all.pass(after_us);
		for (uint32_t i = 1; i <= vm_count; i++)
		{
			start(i);
			if (i % 8 == 0)
				all.pass(10 * ms);
		}
	}

	/* Submits batch requests every 20 ms at VMs that are alive; each runs for 60 ms. */
	void
	run(uint64_t us, uint32_t batch = 20)
	{
		for (uint64_t end_us = all.now_us + us; all.now_us < end_us;)
		{
			for (uint32_t i = 0; i < batch; i++)
			{
				auto at = std::next(all.vms.begin(), draw() % all.vms.size());
				open.emplace_back(at->first, all.submit(at->first));
			}
			all.pass(20 * ms);
			for (auto &one : open)
				if (all.vms[one.first].sent.count(one.second) != 0 &&
					all.now_us - all.sent_us[one.second] >= 60 * ms)
					all.end(one.first, one.second, 0, 0, COMET_DISPATCH_SERVED);
		}
	}

	/* Returns the maximum number of requests to one endpoint within any second. */
	uint32_t
	most_within_a_second() const
	{
		size_t most = 0;
		for (auto &endpoint : all.sends)
			for (auto at = endpoint.second.begin(); at != endpoint.second.end(); ++at)
				most = std::max<size_t>(
					most, std::lower_bound(
						      at, endpoint.second.end(), *at + second_us) -
						      at);
		return (uint32_t)most;
	}

	/* Returns the number of requests per endpoint in a period. */
	double
	per_endpoint(uint64_t since_us, uint64_t us) const
	{
		size_t sum = 0;
		for (auto &endpoint : all.sends)
			sum += std::count_if(endpoint.second.begin(), endpoint.second.end(),
				[&](uint64_t at) { return at >= since_us && at < since_us + us; });
		return (double)sum / endpoints;
	}
};

/* Young and grown processes at all positions on both sides of a partition: the sum of what they
 * decide on. While links fail, up to position + 1 VMs of a side may be at one position. */
TEST(ColdEndpoints, SharesAddUpToTheBoundAtMost)
{
	for (double limit = 2; limit < 200; limit += 0.7)
		for (double side : {0.1, 0.5, 0.7, 1.0})
		{
			uint32_t sum = 0;
			for (double fraction : {side, 1 - side})
				for (uint32_t position = 0; position < 10; position++)
					for (auto age : {COMET_COLD_AGE_STARTED,
						     COMET_COLD_AGE_YOUNG, COMET_COLD_AGE_GROWN})
					{
						comet_cold_claim claim = {position, fraction, age};
						sum += (position + 1) *
						       comet_cold_share_allowance(&claim, limit);
					}
			EXPECT_LE(sum, (uint32_t)limit) << limit << " " << side;
			EXPECT_GE(sum, limit / 2 - 2) << limit << " " << side;
		}
}

/* An endpoint with a limit of about one request per second would otherwise stay cold. */
TEST(ColdEndpoints, ASmallLimitAdmitsARequest)
{
	comet_cold_claim claim = {0, 0.9, COMET_COLD_AGE_GROWN};
	EXPECT_EQ(comet_cold_share_allowance(&claim, 1.2), 1U);
	claim.position = 1;
	EXPECT_EQ(comet_cold_share_allowance(&claim, 1.2), 0U);
}

/* A VM that takes over as owner waits until the requests of its predecessor no longer count; one
 * that is displaced gives way at once. */
TEST(ColdEndpoints, ABetterPositionCountsLater)
{
	comet_cold_position position = {};
	comet_cold_position_update(&position, 1, second_us);
	EXPECT_EQ(position.position, 1U) << "the first one counts at once";
	uint64_t at = second_us;
	for (; position.position != 0 && at < 10 * second_us; at += 100 * ms)
		comet_cold_position_update(&position, 0, at);
	EXPECT_GE(at - second_us, 1500 * ms);
	EXPECT_LE(at - second_us, 2100 * ms);
	comet_cold_position_update(&position, 2, at);
	EXPECT_EQ(position.position, 2U);
}

/* The successor does not know what the dead owner has granted. */
TEST(ColdEndpoints, AnOwnerThatDies)
{
	cold_fleet load;
	load.run(300 * ms);
	load.kill_owner();
	load.run(2 * second_us);
	EXPECT_LE(load.most_within_a_second(), bound);
	EXPECT_GE(load.per_endpoint(0, load.all.now_us), 10) << "the endpoints are used";
}

/* Each successor grants from a share of its own within the same second. */
TEST(ColdEndpoints, OwnersThatDieOneAfterTheOther)
{
	cold_fleet load;
	for (int i = 0; i < 4; i++)
	{
		load.run(220 * ms);
		load.kill_owner();
	}
	load.run(2 * second_us);
	EXPECT_LE(load.most_within_a_second(), bound);
}

/* The owner's grants arrive late, after the successor has begun to grant. */
TEST(ColdEndpoints, GrantsOfAnOwnerThatHasDied)
{
	cold_fleet load;
	uint32_t owner = load.all.owner_of(1);
	std::vector<std::pair<uint64_t, mail>> delayed;
	load.all.lost = [&](const mail &one)
	{
		if (one.from != owner || is_view(one))
			return false;
		delayed.emplace_back(load.all.now_us + 30 * ms, one);
		return true;
	};
	for (int i = 0; i < 100; i++)
	{
		if (i == 15)
			load.kill(owner);
		load.run(20 * ms);
		while (!delayed.empty() && delayed.front().first <= load.all.now_us)
		{
			load.all.receive(delayed.front().second);
			delayed.erase(delayed.begin());
		}
	}
	EXPECT_LE(load.most_within_a_second(), bound);
}

/* Both VMs with the largest share of a core take themselves for the owner, and so do the VMs that
 * hear only one of them. The seed, VM 1, hears one of them or both: if it hears one, the other one
 * hears nobody. */
class TwoOwners : public testing::TestWithParam<uint32_t>
{
};

TEST_P(TwoOwners, ThatDoNotHearEachOther)
{
	cold_fleet load(1);
	load.all.lost = [](const mail &one)
	{
		return one.to >= GetParam() &&
		       ((one.from == 2 && one.to % 2 == 1) || (one.from == 3 && one.to % 2 == 0));
	};
	for (uint32_t i = 2; i <= vm_count; i++)
		load.start(i);
	load.all.pass(4 * second_us);
	load.run(2 * second_us);
	EXPECT_LE(load.most_within_a_second(), bound);
	EXPECT_GE(load.per_endpoint(0, load.all.now_us), 6) << "the endpoints are used";
}

INSTANTIATE_TEST_SUITE_P(ColdEndpoints, TwoOwners, testing::Values(1U, 2U));

/* After 20 s without gossip a VM forgets the others, but those on the other side of a partition may
 * still send. */
TEST(ColdEndpoints, BothSidesOfALongPartition)
{
	cold_fleet load;
	load.all.lost = [](const mail &one) { return (one.from <= 12) != (one.to <= 12); };
	load.all.pass(30 * second_us);
	load.run(2 * second_us);
	EXPECT_LE(load.most_within_a_second(), bound);
	uint64_t healed_us = load.all.now_us;
	load.all.lost = [](const mail &) { return false; };
	load.run(6 * second_us);
	EXPECT_LE(load.most_within_a_second(), bound);
	EXPECT_GE(load.per_endpoint(healed_us + 4 * second_us, 2 * second_us), 12)
		<< "the owner has its full share again";
}

/* The VMs that have started anew know nothing of the second before, and hear of each other slowly:
 * gossip messages are lost for up to two seconds. */
class AllRestart : public testing::TestWithParam<std::pair<uint64_t, uint32_t>>
{
};

TEST_P(AllRestart, DuringAColdStart)
{
	cold_fleet load;
	std::mt19937 draw{11};
	load.run(700 * ms);
	load.restart_all(GetParam().first);
	uint64_t started_us = load.all.now_us;
	load.all.lost = [&](const mail &one)
	{
		return load.all.now_us < started_us + 2 * second_us && is_view(one) &&
		       draw() % 100 < GetParam().second;
	};
	load.run(6 * second_us);
	RecordProperty("first_three_seconds",
		std::to_string(load.per_endpoint(started_us, 3 * second_us)));
	EXPECT_LE(load.most_within_a_second(), bound);
}

/* VMs die and start anew, and links between VMs fail, in an order that no other test has. */
class Failures : public testing::TestWithParam<uint32_t>
{
};

TEST_P(Failures, InRandomOrder)
{
	cold_fleet load;
	std::mt19937 draw{GetParam()};
	std::map<uint32_t, uint64_t> dead; /* VM -> time of its next start */
	std::set<std::pair<uint32_t, uint32_t>> cut;
	load.all.lost = [&](const mail &one) {
		return cut.count({std::min(one.from, one.to), std::max(one.from, one.to)}) != 0;
	};
	for (int i = 0; i < 100; i++)
	{
		/* Half of the failures concern the two VMs that are preferred as owners. */
		uint32_t vm = draw() % 2 == 0 ? 2 + draw() % 2 : 2 + draw() % (vm_count - 1);
		uint32_t other = 1 + draw() % vm_count;
		if (draw() % 2 == 0 && dead.count(vm) == 0)
		{
			load.kill(vm);
			dead[vm] = load.all.now_us + draw() % 3000 * ms;
		}
		else if (draw() % 3 == 0)
			cut.clear();
		else
			cut.insert({std::min(vm, other), std::max(vm, other)});
		load.run(200 * ms);
		for (auto at = dead.begin(); at != dead.end();)
		{
			bool due = at->second <= load.all.now_us;
			if (due)
				load.start(at->first);
			at = due ? dead.erase(at) : std::next(at);
		}
	}
	EXPECT_LE(load.most_within_a_second(), bound);
	EXPECT_GE(load.per_endpoint(0, load.all.now_us), 10) << "the endpoints are used";
}

INSTANTIATE_TEST_SUITE_P(ColdEndpoints, Failures, testing::Values(1U, 4U, 7U));

INSTANTIATE_TEST_SUITE_P(ColdEndpoints, AllRestart,
	testing::Values(std::make_pair(540 * ms, 0U), std::make_pair(540 * ms, 90U),
		std::make_pair(100 * ms, 0U), std::make_pair(100 * ms, 90U),
		std::make_pair(100 * ms, 98U)));

} // namespace
