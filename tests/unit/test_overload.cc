/*
 * test_overload.cc
 * tests how requests are queued, refused and placed under overload
 *
 * Arrivals that follow recorded patterns are fed to 40 VMs with a model of inference engines behind
 * them, in virtual time.
 */
#include "grants_fleet.h"

#include <algorithm>
#include <random>

namespace
{

using grants_fleet::fleet;

constexpr uint64_t step_us = 10000;
constexpr uint32_t vms = 40;
constexpr int endpoints = 16;
constexpr uint32_t ranks = 3;

/* The load of one rank. The three ranks follow three kinds of request of one deployment, from
 * urgent and short ones to long ones. */
struct load_profile
{
	double requests_per_s;
	uint32_t prompt;
	uint32_t output;
	uint64_t soft_deadline_us;
	uint64_t patience_us;
};

const load_profile profiles[ranks] = {{18, 2900, 52, 1000000, 4000000},
	{14, 1800, 24, 800000, 3200000}, {18, 540, 280, 600000, 4800000}};

/* A request at an engine, which processes prompts one after another and then generates tokens. */
struct engine_run
{
	uint32_t address;
	comet_placement_item *item;
	double prompt_left;
	double output_left;
	bool answer_counted = false;
	uint64_t first_us = 0;
};

struct engine
{
	double relative_latency = 1; /* of a step, relative to the usual time */
	bool down = false;
	std::deque<engine_run> runs;
};

struct outcome
{
	uint32_t submitted = 0;
	uint32_t in_time = 0;
	uint32_t late = 0;
	uint32_t refused = 0;
	uint64_t refused_wait_us = 0; /* total wait of refused requests */
	uint64_t refused_wait_max_us = 0;
};

struct open_request
{
	uint32_t address;
	uint32_t rank;
	uint64_t since_us;
	uint64_t soft_deadline_us;
};

struct overload_simulation
{
	fleet all{vms, endpoints};
	std::map<std::string, engine> engines;
	std::map<comet_placement_item *, open_request> open_requests;
	outcome outcomes[ranks];
	uint32_t unreached = 0;
	std::mt19937 random{11};

	overload_simulation()
	{
		for (int i = 0; i < endpoints; i++)
			engines["i" + std::to_string(i)].relative_latency = i % 3 == 0 ? 0.6 : 1.7;
	}

	void
	arrive(uint32_t rank)
	{
		std::uniform_int_distribution<uint32_t> any(1, vms);
		std::lognormal_distribution<double> size(-0.3, 0.8);
		const load_profile &profile = profiles[rank];
		auto item = std::make_unique<comet_placement_item>();
		uint32_t address = any(random);
		comet_placement_item *one = item.get();

		one->service = "llm";
		one->size = {(uint32_t)(profile.prompt * size(random)), profile.output,
			profile.output, true};
		one->route_rank = rank;
		one->dispatch_deadline_us = all.now_us + profile.patience_us * 3 / 4;
		one->early_refusal_us = all.now_us + profile.soft_deadline_us / 4;
		one->soft_deadline_us = all.now_us + profile.soft_deadline_us;
		open_requests[one] = {address, rank, all.now_us, one->soft_deadline_us};
		outcomes[rank].submitted++;
		all.items.push_back(std::move(item));
		comet_placement_submit(all.vms[address].placement, one, all.now_us);
	}

	/* Records refused requests, and starts newly dispatched ones at their engines. */
	void
	collect()
	{
		std::vector<comet_placement_item *> refused;
		for (auto &one : open_requests)
		{
			auto &vm = all.vms[one.second.address];
			if (vm.refused.count(one.first) != 0)
				refused.push_back(one.first);
		}
		for (auto *item : refused)
		{
			outcome &of = outcomes[open_requests[item].rank];
			uint64_t wait_us = all.now_us - open_requests[item].since_us;
			of.refused++;
			of.refused_wait_us += wait_us;
			of.refused_wait_max_us = std::max(of.refused_wait_max_us, wait_us);
			open_requests.erase(item);
		}
		for (auto &vm : all.vms)
		{
			for (auto &sent : vm.second.sent)
			{
				if (started.insert(sent.first).second)
					engines[sent.second].runs.push_back({vm.first, sent.first,
						(double)sent.first->size.prompt_tokens,
						(double)sent.first->size.output_tokens});
			}
		}
	}

	/* Runs an engine for one step: prompts are processed in order with 90 % of the step, and
	 * runs whose prompt is done generate tokens, more slowly while prompts are processed. */
	void
	run_step(engine &one)
	{
		double ms = (double)step_us / 1000 / one.relative_latency;
		uint32_t admitted = 0;
		double prompt_ms = ms * 0.9;
		bool processes_prompt = false;

		for (auto &run : one.runs)
		{
			if (admitted++ >= grants_fleet::slots)
				break;
			if (run.prompt_left <= 0)
				continue;
			double processed = std::min(run.prompt_left, prompt_ms * 32);
			run.prompt_left -= processed;
			prompt_ms -= processed / 32;
			processes_prompt = true;
			if (run.prompt_left <= 0)
				run.first_us = all.now_us;
		}
		admitted = 0;
		for (auto &run : one.runs)
		{
			if (admitted++ >= grants_fleet::slots)
				break;
			if (run.prompt_left <= 0)
				run.output_left -= ms / 6.3 * (processes_prompt ? 0.3 : 1);
		}
	}

	void
	finish(engine &one)
	{
		for (size_t i = 0; i < one.runs.size();)
		{
			engine_run done = one.runs[i];
			auto found = open_requests.find(done.item);
			if (done.first_us != 0 && !done.answer_counted &&
				found != open_requests.end())
			{
				one.runs[i].answer_counted = true;
				outcome &of = outcomes[found->second.rank];
				(done.first_us <= found->second.soft_deadline_us ? of.in_time
										 : of.late)++;
			}
			if (done.output_left > 0)
			{
				i++;
				continue;
			}
			one.runs.erase(one.runs.begin() + (long)i);
			open_requests.erase(done.item);
			all.end(done.address, done.item, 10,
				10 * 40000 * (uint64_t)(one.relative_latency * 10) / 10,
				COMET_DISPATCH_SERVED);
		}
	}

	/* Ends the runs of an engine that is down as unreachable; their VMs place them again. */
	void
	fail(engine &one)
	{
		std::deque<engine_run> lost;
		lost.swap(one.runs);
		for (auto &run : lost)
		{
			unreached++;
			all.end(run.address, run.item, 0, 0, COMET_DISPATCH_UNREACHABLE);
			started.erase(run.item);
			if (open_requests.count(run.item) != 0)
				comet_placement_submit(
					all.vms[run.address].placement, run.item, all.now_us);
		}
	}

	void
	pass(uint64_t us, double load_factor)
	{
		for (uint64_t end_us = all.now_us + us; all.now_us < end_us;)
		{
			for (uint32_t rank = 0; rank < ranks; rank++)
			{
				double mean = profiles[rank].requests_per_s * load_factor *
					      step_us / 1000000;
				std::poisson_distribution<int> count(mean);
				for (int i = count(random); i > 0; i--)
					arrive(rank);
			}
			all.deliver();
			collect();
			for (auto &one : engines)
			{
				if (one.second.down)
					fail(one.second);
				run_step(one.second);
				finish(one.second);
			}
			all.pass(step_us);
			collect();
		}
	}

	double
	in_time(uint32_t rank) const
	{
		return (double)outcomes[rank].in_time / outcomes[rank].submitted;
	}

	double
	served(uint32_t rank) const
	{
		const outcome &of = outcomes[rank];
		return (double)(of.in_time + of.late) / of.submitted;
	}

	void
	print(const char *name) const
	{
		for (uint32_t rank = 0; rank < ranks; rank++)
		{
			const outcome &of = outcomes[rank];
			printf("%s rank %u: %u submitted, %.3f in time, %.3f served, refused %u "
			       "after "
			       "%.0f ms\n",
				name, rank, of.submitted, in_time(rank), served(rank), of.refused,
				of.refused > 0 ? (double)of.refused_wait_us / of.refused / 1000
					       : 0);
		}
	}

	void
	expect_order_of_ranks() const
	{
		for (uint32_t rank = 0; rank + 1 < ranks; rank++)
			EXPECT_GE(served(rank) + 0.05, served(rank + 1)) << "rank " << rank;
	}

	std::set<comet_placement_item *> started;
};

TEST(Overload, UsualLoadIsAnsweredInTime)
{
	overload_simulation sim;
	sim.pass(8000000, 1);
	for (uint32_t rank = 0; rank < ranks; rank++)
		EXPECT_GE(sim.in_time(rank), 0.9) << "rank " << rank;
	EXPECT_EQ(sim.outcomes[0].refused + sim.outcomes[1].refused, 0U);
}

/* In bursts of 1.7 and 2.1 times the usual load, the least urgent requests must be refused first.
 */
TEST(Overload, LeastUrgentRequestsAreRefusedInABurst)
{
	overload_simulation sim;
	sim.pass(3000000, 1);
	sim.pass(5000000, 1.7);
	sim.pass(2500000, 2.1);
	sim.pass(3000000, 1);
	sim.print("burst");
	sim.expect_order_of_ranks();
	EXPECT_GE(sim.served(0), 0.95);
	EXPECT_GE(sim.served(1), 0.9);
}

/* A quarter of the engines is down for four seconds during a burst. */
TEST(Overload, AQuarterOfTheEnginesIsDown)
{
	overload_simulation sim;
	sim.pass(4000000, 1);
	for (int i = 0; i < endpoints; i += 4)
		sim.engines["i" + std::to_string(i)].down = true;
	sim.pass(4000000, 1.5);
	for (auto &one : sim.engines)
		one.second.down = false;
	sim.pass(6000000, 1);
	sim.print("a quarter down");
	sim.expect_order_of_ranks();
	/* Each failure is detected once for all VMs, and probed a few times in four seconds. */
	EXPECT_LE(sim.unreached, (uint32_t)endpoints / 4 * (grants_fleet::slots + 2 + 4));
	EXPECT_GE(sim.served(0), 0.9);
}

/* Engines that become 3.5 times slower receive fewer requests, and urgent requests stay in time. */
TEST(Overload, SlowEnginesReceiveFewerRequests)
{
	overload_simulation sim;
	sim.pass(4000000, 0.8);
	for (int i = 0; i < endpoints; i += 6)
		sim.engines["i" + std::to_string(i)].relative_latency *= 3.5;
	sim.pass(6500000, 0.8);
	sim.print("slow");
	sim.expect_order_of_ranks();
	EXPECT_GE(sim.served(0), 0.97);
	EXPECT_GE(sim.in_time(0), 0.75);
}

/* When callers move over from another availability zone, the VMs of this one get the whole load
 * while its engines serve no more than before. Requests that are refused must not have waited long.
 */
TEST(Overload, RefusedRequestsDoNotWaitLong)
{
	overload_simulation sim;
	sim.pass(2000000, 1);
	sim.pass(6000000, 2.1);
	sim.print("refused wait");
	uint32_t refused = 0;
	uint64_t wait_us = 0;
	for (auto &of : sim.outcomes)
	{
		refused += of.refused;
		wait_us += of.refused_wait_us;
		EXPECT_LE(of.refused_wait_max_us, 3600000U) << "longer than the caller waits";
	}
	ASSERT_GT(refused, 0U);
	EXPECT_LE(wait_us / refused, 600000U);
}

} // namespace
