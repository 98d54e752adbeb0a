/*
 * test_gateway_orders.cc
 * all orders of a few messages between VMs, with losses, pauses and callers that leave
 *
 * A run is repeated with every sequence of choices, depth first; each choice is
 * which datagram arrives next, which one is lost, or what else happens then.
 */
#include "grants_fleet.h"

#include <algorithm>
#include <cstdio>

namespace
{

using grants_fleet::fleet;
using grants_fleet::mail;
using grants_fleet::slots;

/* Walks through all sequences of choices. */
class walk
{
      public:
	uint64_t runs = 0;
	uint64_t choices = 0;

	/* One of count ways to go on from here. */
	size_t
	pick(size_t count)
	{
		choices++;
		if (depth == path.size())
			path.push_back({0, count});
		return path[depth++].first;
	}

	/* Starts the next run. @return false when all have been made */
	bool
	next()
	{
		if (runs++ == 0)
			return true;
		while (!path.empty() && path.back().first + 1 == path.back().second)
			path.pop_back();
		if (path.empty())
			return false;
		path.back().first++;
		depth = 0;
		return true;
	}

      private:
	std::vector<std::pair<size_t, size_t>> path;
	size_t depth = 0;
};

/* What may still happen beside the arrival of datagrams. */
struct events
{
	int losses;
	int pauses;
	int leaves;
};

/* Goes on by one choice. @return false when nothing is left to choose */
bool
step(walk &all, fleet &vms, events &left, uint32_t leaver, comet_placement_item *leaving)
{
	size_t arrivals = vms.post.size();
	size_t losses = left.losses > 0 ? arrivals : 0;
	size_t count = arrivals + losses + (left.pauses > 0 ? 1 : 0) + (left.leaves > 0 ? 1 : 0);

	if (count == 0)
		return false;
	size_t chosen = all.pick(count);
	if (chosen < arrivals + losses)
	{
		size_t at = chosen % arrivals;
		mail one = vms.post[at];
		vms.post.erase(vms.post.begin() + (long)at);
		if (chosen < arrivals)
			vms.arrive(one);
		else
			left.losses--;
		return true;
	}
	if (chosen == arrivals + losses && left.pauses > 0)
	{
		left.pauses--;
		vms.pass(50000); /* longer than an ask is waited for */
		return true;
	}
	left.leaves--;
	if (vms.vms[leaver].sent.count(leaving) > 0)
		vms.end(leaver, leaving);
	else
		comet_placement_cancel(vms.vms[leaver].placement, leaving);
	return true;
}

/* Two VMs ask for the last slot, one of the callers may leave, a datagram may be lost. */
TEST(Orders, AskedSlotsAreNeitherLostNorUsedTwice)
{
	walk all;
	uint64_t both = 0;

	while (all.next())
	{
		fleet vms(3, 1);
		uint32_t keeper = vms.keeper_of_all(1);
		uint32_t first = keeper == 1 ? 2 : 1;
		uint32_t second = keeper == 3 ? 2 : 3;
		std::vector<comet_placement_item *> before;
		for (uint32_t i = 0; i + 1 < slots; i++)
			before.push_back(vms.submit(keeper));
		comet_placement_item *one = vms.submit(first);
		comet_placement_item *other = vms.submit(second);
		events left = {1, 1, 1};
		while (step(all, vms, left, first, one))
			;
		both += vms.vms[first].sent.count(one) + vms.vms[second].sent.count(other) == 2;
		ASSERT_LE(vms.vms[first].dispatches[one], 1);
		ASSERT_LE(vms.vms[second].dispatches[other], 1);
		ASSERT_TRUE(vms.vms[second].refused.empty());
		vms.pass(700000); /* whatever was lost is made good by views */
		ASSERT_EQ(vms.vms[second].dispatches[other], 1) << "the other one is served";
		for (auto *item : before)
			vms.end(keeper, item);
		vms.end(second, other);
		vms.deliver();
		vms.pass(700000);
		ASSERT_EQ(vms.total(), 0U);
		const comet_instance *kept = comet_instances_find(vms.vms[keeper].instances, "i0");
		ASSERT_EQ(kept->own + kept->others, 0U) << "the keeper counts nothing any more";
	}
	printf("asks: %lu runs, %lu choices, %lu with both sent\n", (unsigned long)all.runs - 1,
		(unsigned long)all.choices, (unsigned long)both);
	EXPECT_GT(all.runs, 100U);
}

/* Lets every VM spend as much as it believes is left, in requests of so many tokens. */
double
spend_all(fleet &vms, uint64_t tokens, int at_once)
{
	uint32_t team = comet_hash_name("t");
	double spent = 0;

	for (auto &one : vms.vms)
	{
		for (int i = 0; i < at_once; i++)
		{
			if (comet_rate_limiter_spend(one.second.rate_limiter, team, 0, tokens,
				    COMET_RATE_LIMITER_GOSSIP, vms.now_us) == 0)
				spent += (double)tokens;
		}
	}
	return spent;
}

/* Three VMs spend what a team may, as fast as they believe they can, while views are lost. */
TEST(Orders, ATeamsLimitHoldsWhateverViewsAreLost)
{
	constexpr double limit = 9000; /* 1000 a second over 8 s, and a burst of 1000 */
	constexpr double overage = 0.25;
	walk all;
	double most = 0;

	while (all.next())
	{
		fleet vms(3, 1);
		double spent = 0;
		int losses = 2;
		vms.lost = [&](const mail &)
		{
			bool is_lost = losses > 0 && all.pick(2) == 1;
			losses -= is_lost ? 1 : 0;
			return is_lost;
		};
		int kept = losses;
		losses = 0;
		vms.pass(9000000); /* longer than a span: nothing is assumed of the time before */
		losses = kept;
		for (int round = 0; round < 4; round++)
		{
			spent += spend_all(vms, 300, 3);
			vms.now_us += 100000;
			for (auto &one : vms.vms)
				comet_gossip_tick(one.second.gossip, vms.now_us);
			vms.deliver();
		}
		most = std::max(most, spent);
		ASSERT_LE(spent, limit * (1 + overage));
	}
	printf("views: %lu runs, %lu choices, most spent %.0f of %.0f\n",
		(unsigned long)all.runs - 1, (unsigned long)all.choices, most, limit);
	EXPECT_GT(all.runs, 100U);
}

} // namespace
