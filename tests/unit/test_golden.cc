/*
 * test_golden.cc
 * Compares the complete log of simulated sessions with golden files, byte for byte.
 *
 * COMET_GOLDEN_UPDATE=1 rewrites the files. Review the differences before committing them.
 */
#include <cinttypes>
#include <cstring>
#include <fstream>
#include <gtest/gtest.h>
#include <sstream>

extern "C"
{
#include <libcometspindle/log.h>
}

#include "fixtures.h"
#include "sim.h"

namespace
{

struct Session
{
	Sim sim{1};
	std::string text;

	Session()
	{
		sim.calm = true;
		comet_log_set_sink(
			[](void *ctx, enum comet_log_level, const char *line)
			{
				Session *session = static_cast<Session *>(ctx);
				char at[32];
				snprintf(at, sizeof at, "%010" PRIu64 " ",
					session->sim.now - 1000000000);
				session->text += std::string(at) + line + "\n";
			},
			this);
	}

	~Session()
	{
		comet_log_set_sink([](void *, enum comet_log_level, const char *) {}, nullptr);
	}

	void
	start(int vms, unsigned int endpoints)
	{
		sim.publish(endpoints);
		for (int i = 0; i < vms; i++)
			sim.add_vm();
		sim.set_lists();
		run(3000);
	}

	void
	run(uint64_t ms)
	{
		sim.run_until(sim.now + ms * 1000);
	}

	void
	expect(const char *name)
	{
		std::string path = std::string(COMET_GOLDEN_DIR) + "/" + name + ".log";
		if (getenv("COMET_GOLDEN_UPDATE") != nullptr)
			std::ofstream(path) << text;
		std::ifstream file(path);
		std::stringstream want;
		want << file.rdbuf();
		EXPECT_FALSE(text.empty());
		EXPECT_EQ(text, want.str()) << name;
	}
};

} // namespace

TEST(Golden, ServesOnTwoEndpoints)
{
	Session session;

	session.start(1, 2);
	for (int i = 0; i < 6; i++)
		session.sim.submit(session.sim.vms[0].get(), i % 4, 0, 0, "a");
	session.run(1000);
	session.expect("serves_in_turn");
}

TEST(Golden, TiersAreShedInOrderUnderOverload)
{
	Session session;

	session.start(2, 1);
	for (int i = 0; i < 16; i++)
		session.sim.submit(session.sim.vms[i % 2].get(), 3 - i / 4, 0, 0, "a");
	session.run(4000);
	session.expect("tiers_in_order");
}

TEST(Golden, AnEjectedEndpointIsProbedAndReturns)
{
	Session session;

	session.start(1, 2);
	session.sim.down.insert("e1");
	for (int i = 0; i < 8; i++)
	{
		session.sim.submit(session.sim.vms[0].get(), 1, 0, 0, "a");
		session.run(300);
	}
	session.sim.down.clear();
	for (int i = 0; i < 20; i++)
	{
		session.sim.submit(session.sim.vms[0].get(), 1, 0, 0, "a");
		session.run(300);
	}
	session.expect("endpoint_probed_back");
}

TEST(Golden, TheSchedulerFailsWhileRequestsWait)
{
	Session session;

	session.start(3, 1);
	Vm *victim = nullptr;
	for (auto &vm : session.sim.vms)
	{
		char *status = comet_node_status(vm->node);
		if (strstr(status, "\"pool\":\"m\"") != nullptr)
			victim = vm.get();
		g_free(status);
	}
	for (auto &vm : session.sim.vms)
		for (int i = 0; i < 3 && vm.get() != victim; i++)
			session.sim.submit(vm.get(), 1, 0, 0, "a");
	victim->dead = true;
	session.run(6000);
	session.expect("scheduler_dies");
}

TEST(Golden, AOnceOnlyRequestIsSentThroughEveryVm)
{
	Session session;

	session.start(5, 1);
	uint64_t sent_ms = session.sim.time().wall_ms;
	for (auto &vm : session.sim.vms)
		session.sim.submit(vm.get(), 2, 77, sent_ms, "a");
	session.run(500);
	session.sim.submit(session.sim.vms[2].get(), 2, 77, sent_ms, "a");
	session.run(500);
	session.expect("claim_through_every_vm");
}

TEST(Golden, AnEndpointLeavesByANewBundle)
{
	Session session;

	session.start(2, 2);
	session.sim.submit(session.sim.vms[0].get(), 1, 0, 0, "a");
	session.run(50);
	std::string text = fixture_bundle_text((unsigned int)++session.sim.version, 2);
	text.replace(text.find("\"batch\":4"), 9, "\"batch\":4,\"leaving\":true");
	session.sim.publish_text(text);
	session.run(100);
	for (int i = 0; i < 4; i++)
		session.sim.submit(session.sim.vms[i % 2].get(), 1, 0, 0, "a");
	session.run(1000);
	session.expect("endpoint_leaves");
}

TEST(Golden, AQuotaIsSpentAndRefilled)
{
	Session session;

	session.start(2, 2);
	for (int i = 0; i < 30; i++)
	{
		session.sim.submit(session.sim.vms[i % 2].get(), 1, 0, 0, "b");
		session.run(20);
	}
	session.run(3000);
	for (int i = 0; i < 4; i++)
		session.sim.submit(session.sim.vms[i % 2].get(), 1, 0, 0, "b");
	session.run(1000);
	session.expect("quota");
}
