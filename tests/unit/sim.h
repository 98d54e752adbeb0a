/*
 * sim.h
 * simulation of several nodes in one process with a virtual clock
 *
 * Messages are delayed, lost, duplicated and reordered. VMs can pause, stop and
 * lose their connections.
 */
#ifndef COMETSPINDLE_TESTS_SIM_H
#define COMETSPINDLE_TESTS_SIM_H

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <talloc.h>
#include <vector>

#include "fixtures.h"

extern "C"
{
#include <libcometspindle/node/node.h>
#include <libcometspindle/node/node_status.h>
#include <libcometspindle/sign.h>
}

struct Sim;

struct Vm
{
	Sim *sim;
	std::string name;
	uint64_t id;
	struct comet_node *node = nullptr;
	bool dead = false;
	uint64_t paused_until = 0;
};

struct Event
{
	uint64_t at;
	uint64_t order;
	std::function<void()> run;
	bool
	operator<(const Event &other) const
	{
		return at != other.at ? at > other.at : order > other.order;
	}
};

/* The outcome of a request and the number of times that an endpoint ran it. */
struct RequestOutcome
{
	uint64_t key;
	uint32_t tier = 0;
	int runs = 0;
	int answers = 0;
	bool told_not_run = false;
};

struct Sim
{
	std::mt19937 draw;
	uint64_t now = 1000000000;
	uint64_t order = 0;
	uint64_t next_request = 1;
	unsigned int loss = 0;
	std::priority_queue<Event> events;
	std::vector<std::unique_ptr<Vm>> vms;
	std::map<uint64_t, RequestOutcome> fates; /* by request id */
	std::map<uint64_t, int> runs_per_key;     /* by idempotency key */
	std::set<std::pair<uint64_t, uint64_t>> cuts;
	uint8_t pub[COMET_SIGN_PUBLIC_BYTES];
	uint8_t sec[COMET_SIGN_SECRET_BYTES];
	uint64_t version = 0;
	GBytes *bundle = nullptr;
	size_t sheds = 0;
	bool calm = false;          /* fixed delays, no loss, no random choices */
	std::set<std::string> down; /* names of unreachable endpoints */
	std::map<std::string, uint64_t>
		service_time_us; /* by endpoint name; set in calm runs only */

	explicit Sim(unsigned int seed) : draw(seed)
	{
		comet_sign_keypair(pub, sec);
	}

	~Sim()
	{
		for (auto &vm : vms)
			talloc_free(vm->node);
		if (bundle != nullptr)
			g_bytes_unref(bundle);
	}

	struct comet_time
	time() const
	{
		return {now, 1700000000000 + now / 1000};
	}

	void
	after(uint64_t delay, std::function<void()> run)
	{
		events.push({now + delay, order++, std::move(run)});
	}

	void
	publish(unsigned int endpoints = 4)
	{
		publish_text(fixture_bundle_text((unsigned int)++version, endpoints));
	}

	void
	publish_text(const std::string &text)
	{
		if (bundle != nullptr)
			g_bytes_unref(bundle);
		bundle = comet_sign_document(text.data(), text.size(), sec);
	}

	Vm *
	add_vm(uint32_t max_waiting = 40);
	void
	set_lists();
	void
	tick(Vm *vm);
	void
	submit(Vm *vm, uint32_t tier, uint64_t key, uint64_t first_sent_ms,
		const char *team = nullptr);

	void
	run_until(uint64_t end)
	{
		while (!events.empty() && events.top().at <= end)
		{
			Event event = events.top();
			events.pop();
			now = event.at;
			event.run();
		}
		now = end;
	}
};

#endif
