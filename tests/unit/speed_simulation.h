/*
 * speed_simulation.h
 * simulates endpoints of different and changing speed behind a fleet of VMs, in virtual time
 *
 * Engines process prompts one after another and generate the events of all their streams at the
 * same time. Plain endpoints process each request for a fixed time. Responses state the load and,
 * if the test says so, the slowdown, in the same way as the load header.
 */
#ifndef COMETSPINDLE_TESTS_SPEED_SIMULATION_H
#define COMETSPINDLE_TESTS_SPEED_SIMULATION_H

#include "grants_fleet.h"

#include <algorithm>
#include <random>

namespace speed_simulation
{

constexpr uint64_t step_us = 10000;
constexpr double prompt_tokens_per_ms = 16;
constexpr double token_ms = 9;

/* A kind of request, and how often it arrives over all VMs. */
struct load_kind
{
	const char *name;
	double requests_per_s;
	uint32_t prompt;
	uint32_t output; /* 0: plain requests, which take work_ms */
	uint64_t target_us;
	uint32_t rank;
	double work_ms = 0;
};

/* A request from its arrival until its end. */
struct open_request
{
	comet_placement_item *item;
	uint32_t vm;
	size_t kind;
	uint64_t arrived_us;
	uint32_t period;      /* of the measurement */
	std::string endpoint; /* empty: not sent yet */
	uint64_t sent_us = 0;
	uint32_t tokens_ahead = 0; /* of other prompts at the endpoint when it was sent */
	uint64_t first_us = 0;
	uint64_t last_us = 0; /* time of the last event that the VM received */
	uint32_t events = 0;
	double prompt_left = 0;
	double output_left = 0;
	double generated = 0; /* tokens, each of which is an event */
	bool sampled = false;
};

struct endpoint_state
{
	double relative = 1;              /* time that work takes, relative to the usual */
	double slowdown = 1;              /* changes during the test */
	uint64_t change_us = 0;           /* when the slowdown changes next */
	std::vector<open_request *> runs; /* in order of arrival */
};

struct result
{
	uint32_t submitted = 0;
	uint32_t refused = 0;
	std::vector<double> first_ms; /* time to the first event or to the plain response */
	uint32_t in_time = 0;

	/* Share of the requests that were answered or refused. */
	double
	share_in_time() const
	{
		size_t decided = first_ms.size() + refused;
		return decided > 0 ? (double)in_time / (double)decided : 0;
	}

	double
	mean() const
	{
		double sum = 0;
		for (double one : first_ms)
			sum += one;
		return first_ms.empty() ? 0 : sum / (double)first_ms.size();
	}

	/* Share of the answers that took longer than this. */
	double
	share_above(double ms) const
	{
		auto above = std::count_if(
			first_ms.begin(), first_ms.end(), [ms](double one) { return one > ms; });
		return first_ms.empty() ? 0 : (double)above / (double)first_ms.size();
	}

	double
	percentile(double part) const
	{
		std::vector<double> sorted = first_ms;
		std::sort(sorted.begin(), sorted.end());
		return sorted.empty() ? 0 : sorted[(size_t)((double)(sorted.size() - 1) * part)];
	}
};

struct simulation
{
	grants_fleet::fleet all;
	std::vector<load_kind> kinds;
	std::map<std::string, endpoint_state> endpoints;
	std::map<uint64_t, open_request> open; /* in order of arrival */
	uint64_t arrivals = 0;
	std::set<comet_placement_item *> ended;
	std::vector<result> results;        /* by kind */
	std::map<uint32_t, result> by_zone; /* by zone of the VM */
	std::vector<double> zone_weights;   /* demand by zone; empty: equal */
	double slow_share = 0;              /* fraction of the time in which an endpoint is slow */
	bool states_slowdown = false;
	uint64_t crossing = 0; /* requests sent to another zone */
	uint64_t sent = 0;
	double relative_error = 0; /* sum over dispatches of |log(assumed/true)| */
	std::mt19937 random;
	uint32_t period = 0;

	simulation(uint32_t vms, int count, const grants_fleet::fleet_shape &shape,
		std::vector<load_kind> load, uint32_t seed = 7)
	    : all(vms, count, shape), kinds(std::move(load)), random(seed)
	{
		for (int i = 0; i < count; i++)
			endpoints["i" + std::to_string(i)] = {};
		reset();
	}

	/* Begins a new measurement, without the requests that are open. */
	void
	reset()
	{
		period++;
		results.assign(kinds.size(), {});
		by_zone.clear();
		crossing = sent = 0;
		relative_error = 0;
	}

	uint32_t
	draw_vm()
	{
		uint32_t count = (uint32_t)all.vms.size();
		std::uniform_int_distribution<uint32_t> any(1, count);
		if (zone_weights.empty())
			return any(random);
		std::discrete_distribution<uint32_t> zone(zone_weights.begin(), zone_weights.end());
		uint32_t wanted = zone(random);
		uint32_t vm = any(random);
		while (vm % all.shape.zones != wanted)
			vm = any(random);
		return vm;
	}

	void
	arrive(size_t kind)
	{
		const load_kind &load = kinds[kind];
		std::lognormal_distribution<double> size(-0.18, 0.6);
		auto item = std::make_unique<comet_placement_item>();
		comet_placement_item *one = item.get();
		uint32_t vm = draw_vm();

		one->service = "llm";
		one->size = {load.prompt, load.output, load.output, load.output > 0};
		one->route_rank = load.rank;
		one->dispatch_deadline_us = all.now_us + 3 * load.target_us;
		one->early_refusal_us = all.now_us + load.target_us / 4;
		one->soft_deadline_us = all.now_us + load.target_us;
		open_request &request = open[arrivals++];
		request.item = one;
		request.vm = vm;
		request.kind = kind;
		request.arrived_us = all.now_us;
		request.period = period;
		request.prompt_left = load.prompt;
		request.output_left =
			load.output > 0 ? std::max(2.0, load.output * size(random)) : load.work_ms;
		results[kind].submitted++;
		by_zone[vm % all.shape.zones].submitted++;
		all.items.push_back(std::move(item));
		comet_placement_submit(all.vms[vm].placement, one, all.now_us);
	}

	comet_instance *
	instance_at(uint32_t vm, const std::string &endpoint)
	{
		return comet_instances_find(all.vms[vm].instances, endpoint.c_str());
	}

	/* Takes over what VMs dispatched and refused. */
	void
	collect()
	{
		for (auto at = open.begin(); at != open.end();)
		{
			auto &vm = all.vms[at->second.vm];
			if (vm.refused.count(at->second.item) != 0)
			{
				for (result *one : {&results[at->second.kind],
					     &by_zone[at->second.vm % all.shape.zones]})
					one->refused += at->second.period == period ? 1 : 0;
				at = open.erase(at);
				continue;
			}
			auto found = vm.sent.find(at->second.item);
			if (at->second.endpoint.empty() && found != vm.sent.end())
				start(at->second, found->second);
			++at;
		}
	}

	void
	start(open_request &request, const std::string &endpoint)
	{
		request.endpoint = endpoint;
		request.sent_us = all.now_us;
		request.tokens_ahead =
			comet_instance_prompt_tokens_ahead(
				instance_at(request.vm, request.endpoint), all.now_us) -
			request.item->size.prompt_tokens;
		endpoints[endpoint].runs.push_back(&request);
		sent++;
		uint32_t number = (uint32_t)std::stoul(endpoint.substr(1));
		crossing += number % all.shape.zones != request.vm % all.shape.zones ? 1 : 0;
	}

	/* Changes the slowdowns that are due. An endpoint is slow for 600 ms at a time, and its
	 * usual speed lasts so long on average that slow_share of the time is slow. */
	void
	change_slowdowns()
	{
		for (auto &one : endpoints)
		{
			endpoint_state &state = one.second;
			if (slow_share <= 0 || all.now_us < state.change_us)
				continue;
			bool slow = state.change_us != 0 && state.slowdown == 1;
			state.slowdown = slow ? 2.5 : 1;
			std::exponential_distribution<double> usual_s(
				slow_share / (1 - slow_share) / 0.6);
			state.change_us =
				all.now_us + (slow ? 600000 : (uint64_t)(1e6 * usual_s(random)));
		}
	}

	/* The VM receives the head of the response. */
	void
	receive_head(const open_request &request, const endpoint_state &state)
	{
		comet_instance *instance = instance_at(request.vm, request.endpoint);
		comet_instance_seen(instance, all.now_us);
		comet_instance_load_reported(instance, (uint32_t)state.runs.size(), all.now_us);
		if (states_slowdown)
			comet_current_speed_observe(
				&instance->speed, (uint32_t)(100 * state.slowdown), all.now_us);
	}

	void
	receive_first(open_request &request)
	{
		const comet_placement_item *item = request.item;
		uint64_t taken_us = all.now_us - request.arrived_us;
		bool in_time = all.now_us <= item->soft_deadline_us;
		for (result *one : {&results[request.kind], &by_zone[request.vm % all.shape.zones]})
		{
			if (request.period != period)
				continue;
			one->first_ms.push_back((double)taken_us / 1000);
			one->in_time += in_time ? 1 : 0;
		}
		request.first_us = all.now_us;
		request.last_us = all.now_us;
		request.events = 1;
		if (item->size.stream)
			comet_instance_first_event(instance_at(request.vm, request.endpoint),
				&item->size, request.tokens_ahead, all.now_us - request.sent_us,
				all.now_us);
	}

	void
	run_stream(open_request &request, endpoint_state &state, double &prompt_ms, double ms)
	{
		if (request.prompt_left > 0)
		{
			double processed =
				std::min(request.prompt_left, prompt_ms * prompt_tokens_per_ms);
			request.prompt_left -= processed;
			prompt_ms -= processed / prompt_tokens_per_ms;
			if (request.prompt_left > 0)
				return;
			receive_head(request, state);
			receive_first(request);
			return;
		}
		double generated = std::min(
			request.output_left, ms / token_ms * (prompt_ms < 0.5 * ms ? 0.3 : 1));
		request.output_left -= generated;
		request.generated += generated;
		request.events = 1 + (uint32_t)request.generated;
		request.last_us = all.now_us;
		if (!request.sampled && request.events >= COMET_INSTANCE_SAMPLE_EVENTS)
			sample(request);
	}

	/* The VM takes a sample of a stream that goes on. */
	void
	sample(open_request &request)
	{
		const comet_placement_item *item = request.item;
		auto &vm = all.vms[request.vm];
		comet_instance *instance = instance_at(request.vm, request.endpoint);
		uint64_t taken_us = comet_current_speed_usual_us(
			&instance->speed, request.last_us - request.first_us, all.now_us);
		comet_grants_completion completion = {};

		request.sampled = true;
		if (comet_instance_wants_samples(instance))
			comet_instance_add_sample(
				instance, true, taken_us, taken_us > 0 ? request.events : 0);
		completion.result = COMET_DISPATCH_CANCELLED;
		completion.stream = true;
		completion.events = taken_us > 0 ? request.events : 0;
		completion.taken_us = taken_us;
		comet_grants_add_slowdown(&completion, instance, all.now_us);
		if (item->owner_vm != 0 && item->sample_wanted)
			comet_grants_send_sample(
				vm.grants, item->owner_vm, instance->key, &completion);
	}

	void
	end(const open_request &request)
	{
		comet_placement_item *item = request.item;
		auto &vm = all.vms[request.vm];
		comet_instance *instance = instance_at(request.vm, request.endpoint);
		uint64_t taken_us = item->size.stream ? request.last_us - request.first_us
						      : all.now_us - request.sent_us;
		uint64_t usual_us =
			comet_current_speed_usual_us(&instance->speed, taken_us, all.now_us);
		uint32_t events = item->size.stream && usual_us > 0 ? request.events : 0;

		comet_instance_dispatch_ended(instance, &item->size, true, COMET_DISPATCH_SERVED,
			taken_us, events, 0, all.now_us);
		comet_placement_slot_released(vm.placement, instance);
		if (item->owner_vm != 0)
		{
			comet_grants_completion completion = {};
			completion.result = COMET_DISPATCH_SERVED;
			completion.stream = item->size.stream;
			completion.events = events;
			completion.taken_us = usual_us;
			comet_grants_add_slowdown(&completion, instance, all.now_us);
			comet_grants_release(vm.grants, item->owner_vm, instance->key, &completion);
		}
		item->owner_vm = 0;
		vm.sent.erase(item);
		comet_placement_run(vm.placement, all.now_us);
	}

	void
	run_endpoint(endpoint_state &state)
	{
		double ms = (double)step_us / 1000 / state.relative / state.slowdown;
		double prompt_ms = ms * 0.9;
		std::vector<open_request *> runs = state.runs;
		uint32_t running = 0;

		for (open_request *run : runs)
		{
			open_request &request = *run;
			comet_placement_item *item = request.item;
			if (running++ >= all.shape.slots)
				break;
			if (item->size.stream)
				run_stream(request, state, prompt_ms, ms);
			else
				request.output_left -= ms;
			if (request.output_left > 0)
				continue;
			if (!item->size.stream)
			{
				receive_head(request, state);
				receive_first(request);
			}
			state.runs.erase(std::find(state.runs.begin(), state.runs.end(), run));
			end(request);
			ended.insert(item);
		}
	}

	void
	pass(uint64_t us, double factor = 1)
	{
		for (uint64_t end_us = all.now_us + us; all.now_us < end_us;)
		{
			change_slowdowns();
			for (size_t kind = 0; kind < kinds.size(); kind++)
			{
				std::poisson_distribution<int> count(
					kinds[kind].requests_per_s * factor * step_us / 1e6);
				for (int i = count(random); i > 0; i--)
					arrive(kind);
			}
			all.deliver();
			collect();
			for (auto &one : endpoints)
				run_endpoint(one.second);
			for (auto at = open.begin(); at != open.end();)
				at = ended.count(at->second.item) != 0 ? open.erase(at)
								       : std::next(at);
			ended.clear();
			all.pass(step_us);
			collect();
		}
	}

	/* Adds the results of another run. */
	void
	add(const simulation &other)
	{
		for (size_t kind = 0; kind < kinds.size(); kind++)
		{
			result &sum = results[kind];
			const result &one = other.results[kind];
			sum.submitted += one.submitted;
			sum.refused += one.refused;
			sum.in_time += one.in_time;
			sum.first_ms.insert(
				sum.first_ms.end(), one.first_ms.begin(), one.first_ms.end());
		}
		for (const auto &zone : other.by_zone)
		{
			result &zsum = by_zone[zone.first];
			const result &one = zone.second;
			zsum.submitted += one.submitted;
			zsum.refused += one.refused;
			zsum.in_time += one.in_time;
			zsum.first_ms.insert(
				zsum.first_ms.end(), one.first_ms.begin(), one.first_ms.end());
		}
		sent += other.sent;
		crossing += other.crossing;
	}

	void
	print(const char *name) const
	{
		for (size_t kind = 0; kind < kinds.size(); kind++)
		{
			const result &one = results[kind];
			printf("%s %s: %u submitted, %u refused, %.3f in time, first mean %.0f p50 "
			       "%.0f p95 %.0f p99 %.0f ms\n",
				name, kinds[kind].name, one.submitted, one.refused,
				one.share_in_time(), one.mean(), one.percentile(0.5),
				one.percentile(0.95), one.percentile(0.99));
		}
		for (const auto &one : by_zone)
			if (all.shape.zones > 1)
				printf("%s zone %u: %u submitted, %u refused, %.3f in time, mean "
				       "%.0f p95 %.0f\n",
					name, one.first, one.second.submitted, one.second.refused,
					one.second.share_in_time(), one.second.mean(),
					one.second.percentile(0.95));
		if (all.shape.zones > 1)
			printf("%s: %.3f of %lu sent to another zone\n", name,
				(double)crossing / (double)sent, (unsigned long)sent);
	}
};

} // namespace speed_simulation

#endif
