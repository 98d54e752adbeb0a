/*
 * returning_callers_sim.h
 * simulates callers that come back once after a refusal, in virtual time
 */
#ifndef RETURNING_CALLERS_SIM_H
#define RETURNING_CALLERS_SIM_H

#include "grants_fleet.h"

#include <algorithm>
#include <random>

namespace returning_callers
{

using grants_fleet::fleet;

constexpr uint32_t vms = 12;
constexpr int endpoints = 8;
constexpr uint64_t step_us = 10000;

/* Time that a request takes at an endpoint. With 32 slots the capacity is 80 requests a second. */
constexpr double service_us = 400000;
constexpr double capacity_per_s = endpoints * grants_fleet::slots / (service_us / 1000000);

/* How long a caller waits in all, and how long for the first event of one attempt. */
constexpr uint64_t patience_us = 12000000;
constexpr uint64_t first_event_us = 2000000;

/* Target latency: an attempt that begins within this time after the first one arrived is in time.
 */
constexpr uint64_t target_us = 500000;

/* A caller that comes back once if it is refused. */
struct caller
{
	uint32_t address = 0;
	uint32_t rank = 0;
	uint64_t digest = 0;
	uint64_t arrived_us = 0;
	uint64_t due_us = 0; /* when it comes back */
	double takes_us = 0;
	bool came_back = false;
	comet_placement_item *item = nullptr;
};

struct run
{
	uint32_t address;
	comet_placement_item *item;
	double left_us;
	bool begun = false;
};

struct peak_simulation
{
	fleet all;
	std::map<std::string, std::deque<run>> runs;
	std::map<comet_placement_item *, caller> open;
	std::vector<caller> away;
	std::set<comet_placement_item *> started;
	std::mt19937 random;    /* of arrivals: the same whatever the VMs do */
	std::mt19937 choice{1}; /* of VMs */
	uint32_t submitted = 0;
	uint32_t served = 0;
	uint32_t returned = 0;
	uint32_t refused_again = 0;
	uint32_t served_at_once = 0; /* without a refusal */
	uint32_t in_time = 0;
	uint64_t next_digest = 1;
	bool callers_return = true;

	uint32_t ranks;

	static grants_fleet::fleet_shape
	shape_with(bool returning_callers)
	{
		grants_fleet::fleet_shape shape;
		shape.returning_callers = returning_callers;
		return shape;
	}

	peak_simulation(uint32_t n_ranks, uint32_t seed, bool returning_callers = true)
	    : all(vms, endpoints, shape_with(returning_callers)), random(seed), ranks(n_ranks)
	{
	}

	void
	submit(caller one)
	{
		std::uniform_int_distribution<uint32_t> any(1, vms);
		uint32_t before = one.address;
		while (one.address == before || all.vms.count(one.address) == 0)
			one.address = any(choice);
		auto item = std::make_unique<comet_placement_item>();
		one.item = item.get();
		one.item->service = "llm";
		one.item->size = {600, 40, 40, true};
		one.item->route_rank = one.rank;
		one.item->dispatch_deadline_us = all.now_us + first_event_us * 3 / 4;
		one.item->answer_deadline_us = one.arrived_us + patience_us;
		one.item->early_refusal_us = all.now_us + 125000;
		one.item->soft_deadline_us = all.now_us + target_us;
		open[one.item] = one;
		all.items.push_back(std::move(item));
		all.submit_item(one.address, one.item, one.digest);
	}

	void
	arrive(uint32_t rank)
	{
		std::uniform_real_distribution<double> spread(0.5, 1.5);
		caller one;
		one.rank = rank;
		one.digest = next_digest++;
		one.arrived_us = all.now_us;
		one.takes_us = service_us * spread(random);
		submitted++;
		submit(one);
	}

	/* Sorts by arrival, since the order of items in maps differs between runs. */
	static void
	sort(std::vector<caller> &callers)
	{
		std::sort(callers.begin(), callers.end(),
			[](const caller &a, const caller &b) { return a.digest < b.digest; });
	}

	void
	start_runs()
	{
		std::vector<caller> sent;
		for (auto &one : open)
			if (started.count(one.first) == 0 &&
				all.vms[one.second.address].sent.count(one.first) != 0)
				sent.push_back(one.second);
		sort(sent);
		for (auto &one : sent)
		{
			started.insert(one.item);
			runs[all.vms[one.address].sent[one.item]].push_back(
				{one.address, one.item, one.takes_us, false});
		}
	}

	void
	take_refusals()
	{
		std::vector<caller> refused;
		for (auto &one : open)
			if (all.vms[one.second.address].refused.count(one.first) != 0)
				refused.push_back(one.second);
		sort(refused);
		for (auto &one : refused)
		{
			uint64_t retry_us =
				(uint64_t)all.vms[one.address].retry_after_ms[one.item] * 1000;
			uint64_t left_us = one.arrived_us + patience_us - all.now_us;
			open.erase(one.item);
			if (one.came_back)
			{
				refused_again++;
				continue;
			}
			if (!callers_return)
				continue;
			one.came_back = true;
			one.due_us = all.now_us + std::min(retry_us, left_us / 3);
			away.push_back(one);
		}
	}

	void
	come_back()
	{
		std::vector<caller> due;
		auto is_due = [this](const caller &one) { return one.due_us <= all.now_us; };
		std::copy_if(away.begin(), away.end(), std::back_inserter(due), is_due);
		away.erase(std::remove_if(away.begin(), away.end(), is_due), away.end());
		for (auto &one : due)
		{
			returned++;
			submit(one);
		}
	}

	void
	count_begun(run &at)
	{
		auto one = open.find(at.item);
		at.begun = true;
		if (one != open.end() && all.now_us <= one->second.arrived_us + target_us)
			in_time++;
	}

	void
	run_endpoints()
	{
		start_runs();
		std::vector<run> done;
		for (auto &one : runs)
		{
			auto &list = one.second;
			for (size_t i = 0; i < list.size() && i < grants_fleet::slots; i++)
			{
				if (!list[i].begun)
					count_begun(list[i]);
				list[i].left_us -= (double)step_us;
			}
			for (auto &at : list)
				if (at.left_us <= 0)
					done.push_back(at);
			list.erase(std::remove_if(list.begin(), list.end(),
					   [](const run &at) { return at.left_us <= 0; }),
				list.end());
		}
		for (auto &one : done)
		{
			auto at = open.find(one.item);
			if (at != open.end())
			{
				served++;
				served_at_once += at->second.came_back ? 0 : 1;
				open.erase(at);
			}
			if (all.vms.count(one.address) != 0)
				all.end(one.address, one.item, 40, (uint64_t)service_us,
					COMET_DISPATCH_SERVED);
		}
	}

	void
	pass(uint64_t us, double load_factor)
	{
		std::poisson_distribution<int> count(
			capacity_per_s * load_factor * (double)step_us / 1000000);
		std::uniform_int_distribution<uint32_t> rank(0, ranks - 1);
		for (uint64_t end_us = all.now_us + us; all.now_us < end_us;)
		{
			for (int i = load_factor > 0 ? count(random) : 0; i > 0; i--)
				arrive(rank(random));
			come_back();
			all.deliver();
			run_endpoints();
			all.pass(step_us);
			take_refusals();
		}
	}

	double
	share_served() const
	{
		return (double)served / submitted;
	}

	double
	share_refused_again() const
	{
		return returned > 0 ? (double)refused_again / returned : 0;
	}

	void
	replay_peak()
	{
		pass(3000000, 0.6);
		pass(3000000, 2);
		pass(4000000, 0.6);
		pass(12000000, 0);
		printf("%u submitted, %.3f served, %u returned, %u refused again (%.2f)\n",
			submitted, share_served(), returned, refused_again, share_refused_again());
	}
};

} // namespace returning_callers

#endif
