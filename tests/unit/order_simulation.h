/*
 * order_simulation.h
 * Feeds requests of unequal size to several VMs with a model of inference
 * engines behind them, in virtual time.
 */
#ifndef COMETSPINDLE_TESTS_ORDER_SIMULATION_H
#define COMETSPINDLE_TESTS_ORDER_SIMULATION_H

#include "grants_fleet.h"

#include <random>

namespace order_simulation
{

constexpr uint64_t step_us = 10000;
constexpr uint32_t vms = 10;
constexpr int endpoints = 16;
constexpr double prompt_us = 118000; /* the latency model's default for 600 tokens */
constexpr double token_us = 8000;
constexpr uint64_t target_us = 800000;

/* A kind of request: a source of a constant rate. */
struct kind
{
	double requests_per_s;
	uint32_t hint; /* median of the number of output tokens */
	uint32_t team_id = 1;
	bool hinted = true;
	double spread = 0.5; /* standard deviation of the logarithm of the output length */

	double
	slot_s() const
	{
		return (prompt_us + token_us * hint * std::exp(spread * spread / 2)) / 1000000;
	}
};

/* A small request occupies a slot for 0.2 s and a large one for 20 times as long. */
inline kind
small(double requests_per_s)
{
	return {requests_per_s, 9};
}

inline kind
large(double requests_per_s)
{
	return {requests_per_s, 429};
}

struct run
{
	uint32_t address;
	comet_placement_item *item;
	double left_us;
	double prompt_left_us;
	uint32_t tokens;
};

struct outcome
{
	uint32_t submitted = 0;
	uint32_t in_time = 0;
	uint32_t served = 0;
	uint32_t refused = 0;
	uint64_t refused_wait_us = 0;

	double
	share() const
	{
		return (double)served / submitted;
	}
};

struct open_request
{
	uint32_t address;
	size_t kind;
	uint64_t since_us;
	bool counted;
	uint32_t tokens;
	uint32_t number; /* of the arrival */
};

struct simulation
{
	grants_fleet::fleet all{vms, endpoints};
	std::vector<kind> kinds;
	std::vector<outcome> outcomes;
	std::map<std::string, std::deque<run>> engines;
	std::map<comet_placement_item *, open_request> open_requests;
	std::set<comet_placement_item *> started;
	bool counting = false;
	uint32_t arrivals = 0;
	std::mt19937 random{5};

	explicit simulation(std::vector<kind> of) : kinds(std::move(of)), outcomes(kinds.size())
	{
	}

	/* The demand relative to the capacity of the engines. */
	double
	load() const
	{
		double slots = 0;
		for (const kind &one : kinds)
			slots += one.requests_per_s * one.slot_s();
		return slots / (endpoints * grants_fleet::slots);
	}

	/* Scales the rates of all kinds. */
	void
	set_load(double relative)
	{
		double factor = relative / load();
		for (kind &one : kinds)
			one.requests_per_s *= factor;
	}

	void
	arrive(size_t number)
	{
		std::uniform_int_distribution<uint32_t> any(1, vms);
		const kind &of = kinds[number];
		auto item = std::make_unique<comet_placement_item>();
		uint32_t address = any(random);
		comet_placement_item *one = item.get();

		one->service = "llm";
		one->size = {600, of.hinted ? of.hint : 1000, 1000, true};
		one->route_rank = 2;
		one->team_id = of.team_id;
		one->output_hinted = of.hinted;
		one->dispatch_deadline_us = all.now_us + target_us * 3;
		one->answer_deadline_us = all.now_us + 60000000;
		one->early_refusal_us = all.now_us + target_us / 4;
		one->soft_deadline_us = all.now_us + target_us;
		std::lognormal_distribution<double> error(0, of.spread);
		auto tokens = (uint32_t)std::max(1.0, std::round(of.hint * error(random)));
		open_requests[one] = {address, number, all.now_us, counting, tokens, arrivals++};
		outcomes[number].submitted += counting;
		all.items.push_back(std::move(item));
		comet_placement_submit(all.vms[address].placement, one, all.now_us);
	}

	/* Records refused requests, and starts newly dispatched ones at their engines. */
	void
	collect()
	{
		for (auto iter = open_requests.begin(); iter != open_requests.end();)
		{
			const open_request &one = iter->second;
			bool refused = all.vms[one.address].refused.count(iter->first) != 0;
			if (refused && one.counted)
			{
				outcomes[one.kind].refused++;
				outcomes[one.kind].refused_wait_us += all.now_us - one.since_us;
			}
			iter = refused ? open_requests.erase(iter) : std::next(iter);
		}
		/* By arrival, as the addresses of the items differ between runs. */
		std::map<uint32_t, std::pair<comet_placement_item *, std::string>> fresh;
		for (auto &vm : all.vms)
			for (auto &sent : vm.second.sent)
				if (started.insert(sent.first).second)
					fresh[open_requests[sent.first].number] = sent;
		for (auto &one : fresh)
			begin(one.second.first, one.second.second);
	}

	void
	begin(comet_placement_item *item, const std::string &endpoint)
	{
		const open_request &of = open_requests[item];
		engines[endpoint].push_back(
			{of.address, item, prompt_us + token_us * of.tokens, prompt_us, of.tokens});
	}

	void
	run_engine(std::deque<run> &runs)
	{
		for (size_t i = 0, running = 0; i < runs.size() && running < grants_fleet::slots;
			running++)
		{
			run &one = runs[i];
			double before_us = one.prompt_left_us;
			one.prompt_left_us -= step_us;
			one.left_us -= step_us;
			if (before_us > 0 && one.prompt_left_us <= 0)
				answered(one.item);
			if (one.left_us > 0)
			{
				i++;
				continue;
			}
			run done = one;
			runs.erase(runs.begin() + (long)i);
			open_requests.erase(done.item);
			comet_placement_learn_size(
				all.vms[done.address].placement, done.item, done.tokens);
			all.end(done.address, done.item, done.tokens,
				(uint64_t)(done.tokens * token_us), COMET_DISPATCH_SERVED);
		}
	}

	void
	answered(comet_placement_item *item)
	{
		const open_request &one = open_requests[item];
		if (!one.counted)
			return;
		outcomes[one.kind].served++;
		outcomes[one.kind].in_time += all.now_us <= one.since_us + target_us;
	}

	void
	pass(uint64_t us)
	{
		for (uint64_t end_us = all.now_us + us; all.now_us < end_us;)
		{
			for (size_t i = 0; i < kinds.size(); i++)
			{
				std::poisson_distribution<int> count(
					kinds[i].requests_per_s * step_us / 1000000);
				for (int n = count(random); n > 0; n--)
					arrive(i);
			}
			all.deliver();
			collect();
			for (auto &one : engines)
				run_engine(one.second);
			all.pass(step_us);
			collect();
		}
	}

	/* Learns at a moderate load, and then measures at another one. */
	void
	measure(double load, uint64_t us = 20000000)
	{
		set_load(0.7);
		pass(10000000);
		set_load(load);
		pass(4000000);
		counting = true;
		pass(us);
		counting = false;
		set_load(0.01);
		pass(4000000);
	}

	void
	print(const char *name) const
	{
		for (size_t i = 0; i < kinds.size(); i++)
			printf("%s, output %u, team %u: %u submitted, %.3f served, %.3f in time, "
			       "%u refused after %.0f ms\n",
				name, kinds[i].hint, kinds[i].team_id, outcomes[i].submitted,
				outcomes[i].share(),
				(double)outcomes[i].in_time / outcomes[i].submitted,
				outcomes[i].refused,
				outcomes[i].refused > 0 ? (double)outcomes[i].refused_wait_us /
								  outcomes[i].refused / 1000
							: 0);
	}
};

} // namespace order_simulation

#endif
