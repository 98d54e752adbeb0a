/*
 * test_crowded_vm.cc
 * tests a fleet of which one VM suddenly gets nine tenths of all requests, in virtual time
 */
#include "grants_fleet.h"

#include <list>
#include <random>

namespace
{

using grants_fleet::fleet;

constexpr uint64_t step_us = 10000;
constexpr uint64_t second_us = 1000000;
constexpr uint64_t contact_us = 3 * second_us; /* from then on the load has to be served again */
constexpr uint64_t patience_us = 3 * second_us;
constexpr uint64_t soft_deadline_us = 800000;
constexpr double served_share_min = 0.75; /* of the share that was served before */
constexpr double before_min = 0.95;       /* the load has to be served before the change */
constexpr double crowd_share = 0.9;
constexpr double opening_factor = 1.25; /* callers open connections more often meanwhile */

/* A fleet, its load and what happens to the crowded VM. */
struct shape
{
	uint32_t vms;
	int endpoints;
	uint32_t zones;
	double load;           /* requests for each slot, before the crowd */
	double mean_s;         /* mean time of a request at its endpoint */
	uint64_t delay_us = 0; /* until the crowded VM reads a datagram */
	bool cut = false;      /* the crowded VM and one owner of a shard cannot reach each other */
};

struct count
{
	uint32_t submitted = 0;
	uint32_t refused = 0;

	double
	served() const
	{
		return submitted > 0 ? 1 - (double)refused / submitted : 0;
	}
};

struct open_request
{
	comet_placement_item *item;
	uint32_t address;
	count *counted;
	uint64_t due_us;
};

struct crowd
{
	shape of;
	fleet all;
	std::list<open_request> open; /* in the order of arrival */
	std::mt19937 random{5};
	count before;
	count after;
	std::deque<std::pair<uint64_t, grants_fleet::mail>> delayed; /* with the time of arrival */

	explicit crowd(const shape &wanted)
	    : of(wanted),
	      all(wanted.vms, wanted.endpoints, {wanted.zones, grants_fleet::slots, false, false})
	{
	}

	void
	arrive(uint32_t crowded, count *counted)
	{
		std::uniform_int_distribution<uint32_t> any(1, of.vms);
		std::uniform_real_distribution<double> part(0, 1);
		std::lognormal_distribution<double> relative(-0.32, 0.8); /* its mean is 1 */
		uint32_t address =
			crowded != 0 && part(random) < crowd_share ? crowded : any(random);
		auto item = std::make_unique<comet_placement_item>();
		comet_placement_item *one = item.get();

		one->service = "llm";
		one->size = {1000, 100, 100, true};
		one->route_rank = 2;
		one->answer_deadline_us = all.now_us + 4 * patience_us / 3;
		one->dispatch_deadline_us = all.now_us + patience_us;
		one->early_refusal_us = all.now_us + soft_deadline_us / 4;
		one->soft_deadline_us = all.now_us + soft_deadline_us;
		open.push_back(
			{one, address, counted, (uint64_t)(of.mean_s * relative(random) * 1e6)});
		counted->submitted++;
		all.items.push_back(std::move(item));
		comet_placement_submit(all.vms[address].placement, one, all.now_us);
	}

	/* Ends requests that were refused, and those that their endpoints have answered. */
	void
	collect()
	{
		for (auto at = open.begin(); at != open.end();)
		{
			auto one = at++;
			auto &vm = all.vms[one->address];
			if (vm.refused.count(one->item) != 0)
			{
				one->counted->refused++;
				open.erase(one);
			}
			else if (vm.sent.count(one->item) != 0 &&
				 all.now_us >= all.sent_us[one->item] + one->due_us)
			{
				open_request ended = *one;
				open.erase(one);
				all.end(ended.address, ended.item, 100, ended.due_us,
					COMET_DISPATCH_SERVED);
			}
		}
	}

	/* Lets time pass. crowded: the VM that gets most requests; 0: none. */
	void
	pass(uint64_t us, double factor, uint32_t crowded, count *counted)
	{
		double per_step = factor * of.load * of.endpoints * grants_fleet::slots /
				  of.mean_s * step_us / 1e6;
		std::poisson_distribution<int> arriving(per_step);
		for (uint64_t end_us = all.now_us + us; all.now_us < end_us;)
		{
			for (int i = arriving(random); i > 0; i--)
				arrive(crowded, counted);
			while (!delayed.empty() && delayed.front().first <= all.now_us)
			{
				all.receive(delayed.front().second);
				delayed.pop_front();
			}
			all.deliver();
			collect();
			all.pass(step_us);
			collect();
		}
	}

	/* Compares the share that is served with most requests at one VM with the share before. */
	void
	run()
	{
		count others;
		pass(2 * second_us, 1, 0, &others);
		pass(4 * second_us, 1, 0, &before);
		uint32_t owner = all.owner_of(1);
		uint32_t crowded = owner % of.vms + 1;
		if (of.cut)
			all.lost = [owner, crowded](const grants_fleet::mail &one) {
				return (one.from == owner && one.to == crowded) ||
				       (one.from == crowded && one.to == owner);
			};
		if (of.delay_us != 0)
			all.lost = [this, crowded](const grants_fleet::mail &one)
			{
				if (one.to != crowded)
					return false;
				delayed.emplace_back(all.now_us + of.delay_us, one);
				return true;
			};
		pass(contact_us, opening_factor, crowded, &others);
		pass(4 * second_us, opening_factor, crowded, &after);
		pass(patience_us, 0, 0, &others); /* until all have been decided */
		SCOPED_TRACE(std::to_string(of.vms) + " VMs, " + std::to_string(of.zones) +
			     " zones, " + std::to_string(of.delay_us / 1000) + " ms");
		EXPECT_GE(before.served(), before_min);
		EXPECT_GE(after.served(), served_share_min * before.served());
	}
};

TEST(CrowdedVm, IsServedAsBeforeInASmallFleet)
{
	crowd({9, 16, 1, 0.7, 0.6}).run();
}

TEST(CrowdedVm, IsServedAsBeforeInALargeFleet)
{
	crowd({60, 40, 1, 0.7, 0.6}).run();
	crowd({60, 40, 1, 0.7, 2.5}).run();
}

/* Eleven shards in as many availability zones, each with its own owner. */
TEST(CrowdedVm, IsServedAsBeforeInManyZones)
{
	crowd({60, 44, 11, 0.7, 0.6}).run();
}

/* More load than slots, at many VMs before and at one of them after the change. */
TEST(CrowdedVm, IsServedAsBeforeWhenSlotsAreShort)
{
	crowd({60, 40, 1, 1.0, 0.6}).run();
}

TEST(CrowdedVm, ReachesNotAllOwners)
{
	crowd({9, 16, 1, 0.7, 0.6, 0, true}).run();
	crowd({60, 44, 11, 0.7, 0.6, 0, true}).run();
}

/* Guards against a number of pending slot requests for each VM that bounds how many requests it can
 * serve. A VM that had one request queued sent four slot requests in each round trip. With a
 * quarter of a core it reads the answers late when it is busy, so that it served a third of the
 * requests, while most slots were free. */
TEST(CrowdedVm, IsServedAsBeforeWhileItReadsAnswersLate)
{
	crowd({60, 40, 1, 0.7, 0.6, 30000}).run();
	crowd({60, 40, 1, 0.7, 0.6, 60000}).run();
	crowd({9, 16, 1, 0.7, 0.6, 150000}).run();
}

} // namespace
