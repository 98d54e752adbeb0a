/*
 * test_node.cc
 * Tests of several simulated nodes, with random faults and in fixed scenarios.
 */
#include <cstring>
#include <gtest/gtest.h>

extern "C"
{
#include <libcometspindle/hash.h>
}

#include "sim.h"

/* Runs one random simulation and returns the number of answered requests. */
static size_t
random_run(unsigned int seed, size_t *sheds)
{
	Sim sim(seed);
	sim.loss = seed % 4;
	sim.publish();
	for (int i = 0; i < 6; i++)
		sim.add_vm();
	sim.set_lists();
	sim.run_until(sim.now + 3000000);
	for (int step = 0; step < 250; step++)
	{
		unsigned int burst = step / 50 % 2 == 0 ? 3 : 25;
		for (unsigned int i = 0; i < burst; i++)
		{
			Vm *vm = sim.vms[sim.draw() % sim.vms.size()].get();
			sim.submit(vm, sim.draw() % 4, 0, 0);
		}
		if (sim.draw() % 2 == 0)
		{
			/* one once-only request, sent through several VMs, immediately and later */
			uint64_t key = 1000000 + (uint64_t)step;
			uint64_t sent_ms = sim.time().wall_ms;
			for (int copy = 0; copy < 3; copy++)
			{
				Vm *vm = sim.vms[sim.draw() % sim.vms.size()].get();
				sim.after(sim.draw() % (copy * 2000000 + 1),
					[&sim, vm, key, sent_ms]
					{ sim.submit(vm, 1, key, sent_ms); });
			}
		}
		unsigned int fault = sim.draw() % 40;
		Vm *vm = sim.vms[sim.draw() % sim.vms.size()].get();
		if (fault == 0)
			vm->paused_until = sim.now + sim.draw() % 4000000;
		if (fault == 1)
		{
			vm->dead = true;
			sim.add_vm();
			sim.after(sim.draw() % 2000000, [&sim] { sim.set_lists(); });
		}
		if (fault == 2)
		{
			for (auto &other : sim.vms)
			{
				sim.cuts.insert({vm->id, other->id});
				sim.cuts.insert({other->id, vm->id});
			}
			sim.after(sim.draw() % 5000000, [&sim] { sim.cuts.clear(); });
		}
		if (fault == 3)
			sim.publish(3 + sim.draw() % 3);
		sim.run_until(sim.now + 100000);
	}
	sim.run_until(sim.now + 12000000);
	size_t answered = 0;
	for (auto &entry : sim.fates)
	{
		EXPECT_LE(entry.second.runs, 1) << "seed " << seed << " request " << entry.first;
		EXPECT_LE(entry.second.answers, 1) << "seed " << seed << " request " << entry.first;
		EXPECT_FALSE(entry.second.told_not_run && entry.second.runs > 0)
			<< "seed " << seed << " request " << entry.first;
		answered += entry.second.answers == 1;
	}
	for (auto &entry : sim.runs_per_key)
		EXPECT_LE(entry.second, 1) << "seed " << seed << " key " << entry.first;
	/* every request held by a live VM is answered */
	for (auto &vm : sim.vms)
	{
		uint32_t waiting[COMET_TIERS_MAX];
		comet_node_waiting(vm->node, waiting);
		for (uint32_t tier = 0; !vm->dead && tier < 4; tier++)
			EXPECT_EQ(waiting[tier], 0u) << "seed " << seed << " " << vm->name;
		if (!vm->dead && vm->paused_until < sim.now)
		{
			EXPECT_EQ(comet_node_bundle(vm->node)->version, sim.version);
		}
	}
	*sheds += sim.sheds;
	return answered;
}

/* COMET_SEED=N runs only seed N. COMET_SEEDS=N sets the number of seeds. */
TEST(NodeRandom, InvariantsHold)
{
	unsigned int first = 1;
	unsigned int count = 25;
	size_t sheds = 0;

	if (getenv("COMET_SEEDS") != nullptr)
		count = (unsigned int)atoi(getenv("COMET_SEEDS"));
	if (getenv("COMET_SEED") != nullptr)
	{
		first = (unsigned int)atoi(getenv("COMET_SEED"));
		count = 1;
	}
	for (unsigned int seed = first; seed < first + count; seed++)
	{
		size_t answered = random_run(seed, &sheds);
		EXPECT_GT(answered, 1000u) << "seed " << seed;
		if (HasFailure())
		{
			printf("repeat: COMET_SEED=%u build/tests/unit "
			       "--gtest_filter=NodeRandom.*\n",
				seed);
			return;
		}
	}
	EXPECT_GT(sheds, 100u); /* the runs did reach the point of shedding */
}

TEST(Node, ServesAloneAndRefusesWithoutABundle)
{
	Sim sim(1);

	Vm *vm = sim.add_vm();
	sim.submit(vm, 0, 0, 0);
	EXPECT_TRUE(sim.fates[1].told_not_run);
	EXPECT_NE(comet_node_not_ready(vm->node), nullptr);
	sim.publish();
	sim.set_lists();
	sim.run_until(sim.now + 3000000);
	EXPECT_EQ(comet_node_not_ready(vm->node), nullptr);
	sim.submit(vm, 0, 0, 0);
	sim.run_until(sim.now + 3000000);
	EXPECT_EQ(sim.fates[2].answers, 1);
}

TEST(Node, AVmCutOffFromThePlatformGetsTheBundleFromAPeer)
{
	Sim sim(1);

	Vm *first = sim.add_vm();
	Vm *second = sim.add_vm();
	sim.publish();
	GBytes *bundle = g_bytes_ref(sim.bundle);
	g_bytes_unref(sim.bundle);
	sim.bundle = nullptr; /* the simulated platform offers no bundle, so only the peer can
				 provide it */
	sim.set_lists();
	ASSERT_TRUE(comet_node_offer_bundle(first->node, bundle, sim.time(), nullptr));
	sim.run_until(sim.now + 3000000);
	ASSERT_NE(comet_node_bundle(second->node), nullptr);
	EXPECT_EQ(comet_node_bundle(second->node)->version, 1u);
	g_bytes_unref(bundle);
}

TEST(Node, AnOlderBundleIsNeverAdopted)
{
	Sim sim(1);

	Vm *vm = sim.add_vm();
	sim.publish();
	GBytes *old = g_bytes_ref(sim.bundle);
	sim.publish();
	EXPECT_TRUE(comet_node_offer_bundle(vm->node, sim.bundle, sim.time(), nullptr));
	GError *error = nullptr;
	EXPECT_FALSE(comet_node_offer_bundle(vm->node, old, sim.time(), &error));
	ASSERT_NE(error, nullptr);
	EXPECT_NE(strstr(error->message, "not newer"), nullptr);
	g_clear_error(&error);
	g_bytes_unref(old);
}

TEST(Node, WaitingRequestsSurviveTheFailureOfTheirScheduler)
{
	Sim sim(3);

	sim.publish(1);
	for (int i = 0; i < 4; i++)
		sim.add_vm();
	sim.set_lists();
	sim.run_until(sim.now + 3000000);
	/* the VM that schedules the pool fails while requests of all VMs wait */
	for (auto &vm : sim.vms)
		for (int i = 0; i < 8; i++)
			sim.submit(vm.get(), 1, 0, 0);
	Vm *victim = nullptr;
	for (auto &vm : sim.vms)
	{
		char *status = comet_node_status(vm->node);
		if (strstr(status, "\"pool\":\"m\"") != nullptr)
			victim = vm.get();
		g_free(status);
	}
	ASSERT_NE(victim, nullptr);
	victim->dead = true;
	sim.run_until(sim.now + 10000000);
	size_t lost = 0;
	for (auto &entry : sim.fates)
		lost += entry.second.answers == 0;
	EXPECT_LE(lost, 8u); /* only requests held by the failed VM */
}

TEST(Node, APausedVmRefusesKeysFromBeforeItsResumption)
{
	Sim sim(1);

	Vm *vm = sim.add_vm();
	sim.publish();
	sim.set_lists();
	sim.run_until(sim.now + 4000000);
	vm->paused_until = sim.now + 3000000;
	sim.run_until(sim.now + 1000000);
	uint64_t sent_ms = sim.time().wall_ms; /* in the middle of the pause */
	sim.run_until(sim.now + 4000000);
	EXPECT_EQ(comet_node_counts(vm->node)->pauses, 1u);
	sim.submit(vm, 1, 5, sent_ms);
	sim.run_until(sim.now + 3000000);
	EXPECT_EQ(sim.runs_per_key[5], 0);
	EXPECT_FALSE(sim.fates[1].told_not_run);
	sim.submit(vm, 1, 6, sim.time().wall_ms);
	sim.run_until(sim.now + 3000000);
	EXPECT_EQ(sim.fates[2].answers, 1);
}

TEST(Node, ALeavingEndpointGetsNothingNew)
{
	Sim sim(1);

	sim.calm = true;
	Vm *vm = sim.add_vm();
	std::string text = fixture_bundle_text((unsigned int)++sim.version, 2);
	text.replace(text.find("\"batch\":4"), 9, "\"batch\":4,\"leaving\":true");
	sim.publish_text(text);
	sim.set_lists();
	sim.run_until(sim.now + 3000000);
	for (int i = 0; i < 8; i++)
		sim.submit(vm, 1, 0, 0);
	EXPECT_EQ(comet_node_counts(vm->node)->dispatched,
		4u); /* batch size of the endpoint that stays */
	sim.run_until(sim.now + 3000000);
	EXPECT_EQ(comet_node_counts(vm->node)->dispatched, 8u);
}

/* Regression: a fleet of 15 VMs never became ready, because the shedding promises of all peers did
 * not arrive within one second. */
TEST(Node, ALargeFleetBecomesReady)
{
	Sim sim(1);

	sim.calm = true;
	sim.publish();
	for (int i = 0; i < 40; i++)
		sim.add_vm();
	sim.set_lists();
	sim.run_until(sim.now + 4000000);
	for (auto &vm : sim.vms)
		EXPECT_EQ(comet_node_not_ready(vm->node), nullptr) << vm->name;
}

/* Regression (soak seed 8): a VM without connection to its peers gave callers only its own address.
 */
TEST(Node, AnIsolatedVmStillListsItsPeersForCallers)
{
	Sim sim(1);

	sim.calm = true;
	sim.publish();
	for (int i = 0; i < 4; i++)
		sim.add_vm();
	sim.set_lists();
	sim.run_until(sim.now + 3000000);
	for (size_t i = 1; i < 4; i++)
	{
		sim.cuts.insert({sim.vms[0]->id, sim.vms[i]->id});
		sim.cuts.insert({sim.vms[i]->id, sim.vms[0]->id});
	}
	sim.run_until(sim.now + 5000000);
	for (auto &vm : sim.vms)
	{
		size_t count = 0;
		struct comet_membership *members = comet_node_members(vm->node);
		struct comet_member *const *all = comet_membership_all(members, &count);
		size_t usable = 0;
		for (size_t i = 0; i < count; i++)
			usable += comet_membership_usable(members, all[i]);
		EXPECT_EQ(usable, vm.get() == sim.vms[0].get() ? 3u : 2u) << vm->name;
	}
}
