/*
 * test_rank_order.cc
 * team ranks and route ranks under overload: slots and refusals follow one order
 */
#include "grants_fleet.h"

#include <array>
#include <random>

extern "C"
{
#include <libcometspindle/gateway/placement/placement_queue.h>
}

namespace
{

using grants_fleet::fleet;

constexpr uint32_t team_ranks = 2;
constexpr uint32_t route_ranks = 3;

struct counts
{
	uint32_t submitted = 0;
	uint32_t sent = 0;
	uint32_t
	percent() const
	{
		return submitted == 0 ? 0 : 100 * sent / submitted;
	}
};

/* Plays an overload of 1.6 times the capacity over 12 VMs, with equal demand of all ranks of two
 * teams, whose team ranks are first_team_rank and the next. Returns the counts of each rank in the
 * order in which they should be served. */
std::array<counts, team_ranks * route_ranks>
play_overload(uint32_t seed, uint32_t first_team_rank)
{
	constexpr uint32_t vms = 12;
	constexpr uint32_t endpoints = 4;
	constexpr uint64_t slot_us = 400000;
	constexpr uint64_t step_us = 10000;
	constexpr double capacity_per_s = endpoints * grants_fleet::slots * 1e6 / slot_us;
	constexpr double rank_per_s = 1.6 * capacity_per_s / (team_ranks * route_ranks);
	constexpr uint64_t length_us = 12000000;
	/* Arrivals are not counted at the start, until the queues are long, nor at the end, because
	 * the last requests are not served yet. */
	constexpr uint64_t settle_us = 2000000;
	fleet all(vms, endpoints);
	std::mt19937 draw{seed};
	std::uniform_int_distribution<uint32_t> any_vm(1, vms);
	std::bernoulli_distribution arrives(rank_per_s * step_us / 1e6);
	std::vector<std::pair<uint32_t, comet_placement_item *>> open;
	std::array<counts, team_ranks * route_ranks> found;
	uint64_t start_us = all.now_us;

	while (all.now_us < start_us + length_us)
	{
		for (uint32_t rank = 0; rank < team_ranks * route_ranks; rank++)
		{
			if (!arrives(draw))
				continue;
			uint32_t vm = any_vm(draw);
			auto item = std::make_unique<comet_placement_item>();
			item->service = "llm";
			item->size = {1000, 100, 100, true};
			item->team_rank = first_team_rank + rank / route_ranks;
			item->route_rank = rank % route_ranks;
			item->dispatch_deadline_us = all.now_us + 3000000;
			item->early_refusal_us = all.now_us + 125000;
			item->soft_deadline_us = all.now_us + 1000000;
			bool counts = all.now_us >= start_us + settle_us &&
				      all.now_us < start_us + length_us - settle_us;
			item->user_data = counts ? &found[rank] : nullptr;
			comet_placement_submit(all.vms[vm].placement, item.get(), all.now_us);
			open.emplace_back(vm, item.get());
			all.items.push_back(std::move(item));
		}
		all.pass(step_us);
		for (auto &one : open)
		{
			auto &vm = all.vms[one.first];
			if (vm.sent.count(one.second) > 0 &&
				all.now_us - all.sent_us[one.second] >= slot_us)
				all.end(one.first, one.second, 0, 0, COMET_DISPATCH_SERVED);
		}
	}
	for (auto &one : open)
	{
		auto *count = static_cast<counts *>(one.second->user_data);
		if (count == nullptr)
			continue;
		count->submitted++;
		count->sent += all.vms[one.first].dispatches.count(one.second) > 0 ? 1 : 0;
	}
	return found;
}

/* The capacity suffices for the three ranks of the first team and a part of the others. Requests of
 * the first team's last rank were refused for the wait of the other team's second rank, and could
 * not get a slot while the other team's first rank queued at the endpoints: 92, 52 and 79% of them
 * were served (one figure for each seed). */
TEST(RankOrder, NoRankIsRefusedWhileALessUrgentOneIsServed)
{
	for (uint32_t seed : {1, 2, 3})
	{
		auto found = play_overload(seed, seed == 3 ? 4 : 0);
		for (uint32_t rank = 0; rank < route_ranks; rank++)
			EXPECT_GE(found[rank].percent(), 98U)
				<< "rank " << rank << " seed " << seed;
		for (uint32_t rank = 1; rank < found.size(); rank++)
			EXPECT_LE(found[rank].percent(), found[rank - 1].percent() + 2)
				<< "rank " << rank << " seed " << seed;
		EXPECT_LE(found.back().percent(), 25U) << "no overload, seed " << seed;
	}
}

/* Guards against ranks that share a row in the tables by rank although others are served between
 * them. With the sum of both ranks, team rank 0 with route rank 2 shared a dequeue rate with team
 * rank 1 and route rank 1, and was refused for its wait. */
TEST(RankOrder, OneNumberFollowsTheOrderOfTheQueue)
{
	comet_placement_item item = {};
	uint32_t last = 0;

	for (item.team_rank = 0; item.team_rank < COMET_ORDER_TEAM_RANKS; item.team_rank++)
	{
		for (item.route_rank = 0; item.route_rank < COMET_ORDER_ROUTE_RANKS;
			item.route_rank++)
		{
			uint32_t rank = comet_placement_rank(&item);
			bool first = item.team_rank + item.route_rank == 0;
			EXPECT_EQ(rank, first ? 0 : last + 1);
			last = rank;
		}
	}
	item.team_rank = 0;
	item.route_rank = 3;
	EXPECT_EQ(comet_placement_rank(&item), 3U) << "the route rank if there are no team ranks";
	item.team_rank = UINT32_MAX;
	EXPECT_LT(comet_placement_rank(&item), (uint32_t)COMET_ORDER_RANKS);
	uint32_t urgent_route = comet_placement_rank(&item);
	item.route_rank = 4;
	EXPECT_GT(comet_placement_rank(&item), urgent_route) << "route ranks stay apart";
}

/* Submits a stream with these ranks that may wait for wait_us. */
comet_placement_item *
submit(fleet &all, uint32_t vm, uint32_t team_rank, uint32_t route_rank,
	uint64_t wait_us = 30000000, bool replaces_attempt = false)
{
	auto item = std::make_unique<comet_placement_item>();

	item->service = "llm";
	item->size = {1000, 100, 100, true};
	item->team_rank = team_rank;
	item->route_rank = route_rank;
	item->dispatch_deadline_us = all.now_us + wait_us;
	item->early_refusal_us = all.now_us + 100000;
	item->replaces_attempt = replaces_attempt;
	comet_placement_submit(all.vms[vm].placement, item.get(), all.now_us);
	all.items.push_back(std::move(item));
	return all.items.back().get();
}

/* Guards against a dequeue rate that ranks share: a request was refused for the wait of a less
 * urgent one that had not been served for seconds. */
TEST(RankOrder, TheWaitOfALessUrgentRankDoesNotCount)
{
	fleet all(1, 1);

	for (uint32_t i = 0; i < grants_fleet::slots + 2; i++)
		submit(all, 1, 0, 0);
	auto *other = submit(all, 1, 1, 1);
	all.pass(4000000);
	ASSERT_EQ(all.vms[1].sent.count(other), 0U);
	auto *urgent = submit(all, 1, 0, 2, 3000000);
	EXPECT_EQ(all.vms[1].refused.count(urgent), 0U);
}

/* Guards against a bound that counts the waiting requests of other VMs only. */
TEST(RankOrder, AWaitingRequestOfTheSameVmBoundsLessUrgentTeams)
{
	fleet all(1, 1);

	for (uint32_t i = 0; i < grants_fleet::slots; i++)
		submit(all, 1, 1, 0);
	auto *urgent = submit(all, 1, 0, 2);
	auto *other = submit(all, 1, 1, 0);
	all.pass(100000);
	EXPECT_EQ(all.vms[1].sent.count(urgent), 0U) << "no slot is free";
	EXPECT_EQ(all.vms[1].sent.count(other), 0U) << "it may not queue at the endpoint";
	all.end(1, all.items.front().get());
	EXPECT_EQ(all.vms[1].sent.count(urgent), 1U);
	EXPECT_EQ(all.vms[1].sent.count(other), 1U) << "nothing more urgent waits";
}

/* Guards against a denial that an owner makes for the sake of a more urgent team, and that the
 * denied VM takes for a shard without capacity for anyone. */
TEST(RankOrder, ADenialForAMoreUrgentTeamDoesNotStopOthers)
{
	fleet all(3, 1);
	uint32_t owner = all.owner_of(1);
	uint32_t one = owner == 1 ? 2 : 1;
	uint32_t other = 6 - owner - one;

	for (uint32_t i = 0; i < grants_fleet::slots; i++)
		submit(all, owner, 0, 0);
	submit(all, other, 0, 2);
	all.pass(100000);
	auto *bound = submit(all, one, 1, 0, 30000000, true);
	all.deliver();
	EXPECT_EQ(all.vms[one].refused.count(bound), 1U);
	auto *urgent = submit(all, one, 0, 0, 30000000, true);
	all.deliver();
	EXPECT_EQ(all.vms[one].sent.count(urgent), 1U);
}

} // namespace
