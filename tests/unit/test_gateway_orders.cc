/*
 * test_gateway_orders.cc
 * tests all orders of a few messages between VMs, with losses, delays and callers that disconnect
 *
 * A scenario is run once for every sequence of choices, in depth-first order. Each choice selects
 * the datagram that arrives next, the one that is lost, or another event.
 */
#include "grants_fleet.h"

#include <algorithm>
#include <cstdio>

namespace
{

using grants_fleet::fleet;
using grants_fleet::mail;
using grants_fleet::slots;

/* Enumerates all sequences of choices in depth-first order. */
class choice_explorer
{
      public:
	uint64_t runs = 0;
	uint64_t choices = 0;

	/* Returns the choice of this run among count alternatives. */
	size_t
	choose(size_t count)
	{
		choices++;
		if (depth == path.size())
			path.push_back({0, count});
		return path[depth++].first;
	}

	/* Starts the next run. @return false when all sequences have been run */
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
	/* The choice and the number of alternatives at each depth. */
	std::vector<std::pair<size_t, size_t>> path;
	size_t depth = 0;
};

/* How many events may still happen besides the arrival of datagrams. */
struct event_budget
{
	int losses;
	int pauses;
	int disconnects;
};

/* Executes one event that the explorer selects. @return false when no event is possible */
bool
step(choice_explorer &explorer, fleet &vms, event_budget &budget, uint32_t leaving_vm,
	comet_placement_item *leaving_item)
{
	size_t arrivals = vms.in_flight.size();
	size_t losses = budget.losses > 0 ? arrivals : 0;
	size_t count =
		arrivals + losses + (budget.pauses > 0 ? 1 : 0) + (budget.disconnects > 0 ? 1 : 0);

	if (count == 0)
		return false;
	size_t chosen = explorer.choose(count);
	if (chosen < arrivals + losses)
	{
		size_t at = chosen % arrivals;
		mail one = vms.in_flight[at];
		vms.in_flight.erase(vms.in_flight.begin() + (long)at);
		if (chosen < arrivals)
			vms.receive(one);
		else
			budget.losses--;
		return true;
	}
	if (chosen == arrivals + losses && budget.pauses > 0)
	{
		budget.pauses--;
		vms.pass(50000); /* longer than the timeout of a slot request */
		return true;
	}
	budget.disconnects--;
	if (vms.vms[leaving_vm].sent.count(leaving_item) > 0)
		vms.end(leaving_vm, leaving_item);
	else
		comet_placement_cancel(vms.vms[leaving_vm].placement, leaving_item);
	return true;
}

/* Two VMs request the last slot. One of the callers may disconnect and a datagram may be lost. */
TEST(MessageOrders, SlotsAreNeitherLostNorGrantedTwice)
{
	choice_explorer explorer;
	uint64_t both_dispatched = 0;

	while (explorer.next())
	{
		fleet vms(3, 1);
		uint32_t owner = vms.owner_of(1);
		uint32_t first = owner == 1 ? 2 : 1;
		uint32_t second = owner == 3 ? 2 : 3;
		std::vector<comet_placement_item *> before;
		for (uint32_t i = 0; i + 1 < slots; i++)
			before.push_back(vms.submit(owner));
		comet_placement_item *one = vms.submit(first);
		comet_placement_item *other = vms.submit(second);
		event_budget budget = {1, 1, 1};
		while (step(explorer, vms, budget, first, one))
			;
		both_dispatched +=
			vms.vms[first].sent.count(one) + vms.vms[second].sent.count(other) == 2;
		ASSERT_LE(vms.vms[first].dispatches[one], 1);
		ASSERT_LE(vms.vms[second].dispatches[other], 1);
		ASSERT_TRUE(vms.vms[second].refused.empty());
		vms.pass(700000); /* gossip corrects the effects of lost datagrams */
		ASSERT_EQ(vms.vms[second].dispatches[other], 1)
			<< "the request of the other VM must be served";
		for (auto *item : before)
			vms.end(owner, item);
		vms.end(second, other);
		vms.deliver();
		vms.pass(700000);
		ASSERT_EQ(vms.total(), 0U);
		const comet_instance *instance =
			comet_instances_find(vms.vms[owner].instances, "i0");
		ASSERT_EQ(instance->local_requests + instance->remote_requests, 0U)
			<< "the owner must count no used slots";
	}
	printf("slot requests: %lu runs, %lu choices, %lu with both requests dispatched\n",
		(unsigned long)explorer.runs - 1, (unsigned long)explorer.choices,
		(unsigned long)both_dispatched);
	EXPECT_GT(explorer.runs, 100U);
}

/* Every VM spends what it takes for the remaining quota, in up to n_requests requests. */
double
spend_all(fleet &vms, uint64_t tokens, int n_requests)
{
	uint32_t team = comet_hash_name("t");
	double spent = 0;

	for (auto &one : vms.vms)
	{
		for (int i = 0; i < n_requests; i++)
		{
			if (comet_rate_limiter_spend(one.second.rate_limiter, team, 0, tokens,
				    COMET_RATE_LIMITER_GOSSIP, vms.now_us) == 0)
				spent += (double)tokens;
		}
	}
	return spent;
}

/* Three VMs spend the quota of a team as fast as their rate limiters allow, while gossip messages
 * are lost.
 */
TEST(MessageOrders, TeamLimitHoldsWhenViewsAreLost)
{
	constexpr double limit = 9000; /* 1000 tokens/s over 8 s, and a burst of 1000 */
	constexpr double overage = 0.25;
	choice_explorer explorer;
	double most_spent = 0;

	while (explorer.next())
	{
		fleet vms(3, 1);
		double spent = 0;
		int losses = 2;
		vms.lost = [&](const mail &)
		{
			bool is_lost = losses > 0 && explorer.choose(2) == 1;
			losses -= is_lost ? 1 : 0;
			return is_lost;
		};
		int saved_losses = losses;
		losses = 0;
		vms.pass(9000000); /* longer than the window, so that no spending before the start
				      is assumed */
		losses = saved_losses;
		for (int round = 0; round < 4; round++)
		{
			spent += spend_all(vms, 300, 3);
			vms.now_us += 100000;
			for (auto &one : vms.vms)
				comet_gossip_tick(one.second.gossip, vms.now_us);
			vms.deliver();
		}
		most_spent = std::max(most_spent, spent);
		ASSERT_LE(spent, limit * (1 + overage));
	}
	printf("views: %lu runs, %lu choices, at most %.0f of %.0f tokens spent\n",
		(unsigned long)explorer.runs - 1, (unsigned long)explorer.choices, most_spent,
		limit);
	EXPECT_GT(explorer.runs, 100U);
}

} // namespace
