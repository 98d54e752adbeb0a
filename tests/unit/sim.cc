/*
 * sim.cc
 * simulation of several nodes in one process with a virtual clock
 */
#include "sim.h"

#include <cstring>
#include <gtest/gtest.h>
#include <talloc.h>

extern "C"
{
#include <libcometspindle/hash.h>
}

#include "fixtures.h"

/* Delivers a message to an alive and connected VM; a paused VM receives it when it resumes. */
static void
deliver(Sim *sim, uint64_t from, uint64_t to, const comet_Packet &packet, GBytes *blob)
{
	for (auto &vm : sim->vms)
	{
		if (vm->id != to || vm->dead || sim->cuts.count({from, to}) != 0)
			continue;
		if (vm->paused_until > sim->now)
		{
			Vm *paused = vm.get();
			sim->after(vm->paused_until - sim->now,
				[=] {
					comet_node_receive(
						paused->node, from, &packet, nullptr, sim->time());
				});
			continue;
		}
		comet_node_receive(vm->node, from, &packet, blob, sim->time());
		comet_node_flush(vm->node, sim->time());
	}
}

void
sim_send(void *ctx, uint64_t to, const comet_Packet *packet, GBytes *blob)
{
	Vm *vm = static_cast<Vm *>(ctx);
	Sim *sim = vm->sim;
	uint64_t from = vm->id;
	int copies = !sim->calm && sim->draw() % 50 == 0 ? 2 : 1;

	if (!sim->calm && sim->draw() % 100 < sim->loss)
		return;
	for (int i = 0; i < copies; i++)
	{
		comet_Packet copy = *packet;
		std::shared_ptr<GBytes> blob_ref(blob != nullptr ? g_bytes_ref(blob) : nullptr,
			[](GBytes *bytes) { g_clear_pointer(&bytes, g_bytes_unref); });
		sim->after(sim->calm ? 1000 : 200 + sim->draw() % 3000,
			[=] { deliver(sim, from, to, copy, blob_ref.get()); });
	}
}

void
sim_dispatch(void *ctx, uint64_t request, const struct comet_endpoint *endpoint)
{
	Vm *vm = static_cast<Vm *>(ctx);
	Sim *sim = vm->sim;
	RequestOutcome &outcome_record = sim->fates[request];
	unsigned int percentile = sim->calm ? 99 : sim->draw() % 100;
	uint64_t service_time_us = sim->calm ? 100000 : 20000 + sim->draw() % 400000;

	if (sim->down.count(endpoint->name) != 0)
		percentile = 0;
	if (sim->service_time_us.count(endpoint->name) != 0)
		service_time_us = sim->service_time_us[endpoint->name];
	bool reached = percentile >= 4;
	if (reached)
	{
		outcome_record.runs++;
		if (outcome_record.key != 0)
			sim->runs_per_key[outcome_record.key]++;
	}
	enum comet_outcome outcome = percentile < 4   ? COMET_OUTCOME_UNREACHED
				     : percentile < 7 ? COMET_OUTCOME_FAILED
						      : COMET_OUTCOME_SERVED;
	sim->after(service_time_us,
		[=]
		{
			struct comet_sample sample = {20000, 10000, 100, 0, 10};
			if (vm->dead)
				return;
			if (outcome != COMET_OUTCOME_UNREACHED)
				sim->fates[request].answers++;
			comet_node_finished(vm->node, request, outcome, &sample, sim->time());
			comet_node_flush(vm->node, sim->time());
		});
}

/* Checks all VMs that run, including those that the shedding VM cannot reach. */
void
expect_no_less_urgent_waiting(Sim *sim, uint32_t tier)
{
	sim->sheds++;
	for (auto &vm : sim->vms)
	{
		uint32_t waiting[COMET_TIERS_MAX];
		if (vm->dead)
			continue;
		comet_node_waiting(vm->node, waiting);
		for (uint32_t lower = tier + 1; lower < COMET_TIERS_MAX; lower++)
			EXPECT_EQ(waiting[lower], 0u) << "tier " << tier << " shed while "
						      << vm->name << " still queues tier " << lower;
	}
}

void
sim_refuse(void *ctx, uint64_t request, enum comet_refusal refusal, enum comet_verdict verdict,
	uint32_t retry_after_ms)
{
	Vm *vm = static_cast<Vm *>(ctx);
	RequestOutcome &outcome_record = vm->sim->fates[request];

	(void)retry_after_ms;
	outcome_record.answers++;
	if (refusal == COMET_REFUSAL_SHED)
		expect_no_less_urgent_waiting(vm->sim, outcome_record.tier);
	outcome_record.told_not_run = verdict == COMET_VERDICT_NOT_RUN;
}

void
sim_adopted(void *ctx, struct comet_bundle *bundle)
{
	(void)ctx;
	(void)bundle;
}

void
sim_entries_changed(void *ctx)
{
	(void)ctx;
}

const struct comet_node_ops sim_ops = {
	sim_send, sim_dispatch, sim_refuse, sim_adopted, sim_entries_changed};

Vm *
Sim::add_vm(uint32_t max_waiting)
{
	auto vm = std::make_unique<Vm>();
	vm->sim = this;
	vm->name = "vm" + std::to_string(vms.size() + 1);
	vm->id = comet_hash_vm(vm->name.c_str());
	struct comet_node_config config = {
		vm->name.c_str(), "z1", "comet", pub, now, max_waiting, 1};
	vm->node = comet_node_create(nullptr, &config, &sim_ops, vm.get(), time());
	Vm *raw = vm.get();
	vms.push_back(std::move(vm));
	after(1, [=] { tick(raw); });
	return raw;
}

void
Sim::set_lists()
{
	std::vector<struct comet_vm> list;

	for (auto &vm : vms)
	{
		if (!vm->dead)
			list.push_back(
				{vm->id, vm->name.c_str(), "z1", "tcp://x", "http://x", false});
	}
	for (auto &vm : vms)
	{
		if (!vm->dead)
			comet_node_set_vms(vm->node, list.data(), list.size(), time());
	}
}

void
Sim::tick(Vm *vm)
{
	if (vm->dead)
		return;
	if (vm->paused_until <= now)
	{
		if (bundle != nullptr && (calm || draw() % 20 == 0))
		{
			/* The node rejects the bundle if it has this version already. */
			gboolean accepted =
				comet_node_offer_bundle(vm->node, bundle, time(), nullptr);
			(void)accepted;
		}
		comet_node_tick(vm->node, time());
	}
	after(vm->paused_until > now ? vm->paused_until - now + 1 : COMET_NODE_TICK_US,
		[=] { tick(vm); });
}

void
Sim::submit(Vm *vm, uint32_t tier, uint64_t key, uint64_t first_sent_ms, const char *team)
{
	struct comet_submission submission;

	if (vm->dead || vm->paused_until > now)
		return;
	memset(&submission, 0, sizeof submission);
	submission.request = next_request++;
	submission.pool_id = comet_hash_name("m");
	if (team == nullptr)
		team = draw() % 3 != 0 ? "a" : "b";
	submission.team_id = comet_hash_name(team);
	submission.tier = tier;
	submission.deadline_ms = calm ? 3000 : 500 + draw() % 4000;
	submission.prompt_tokens = 50;
	submission.max_output_tokens = 10;
	submission.once = key != 0;
	submission.key = key;
	submission.first_sent_ms = first_sent_ms;
	fates[submission.request].key = key;
	fates[submission.request].tier = tier;
	comet_node_submit(vm->node, &submission, time());
	comet_node_flush(vm->node, time());
}
