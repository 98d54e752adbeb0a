/*
 * test_scheduler.cc
 * tests of one scheduler: tier order, fairness, limits, health and leases
 */
#include <cstring>
#include <gtest/gtest.h>
#include <map>
#include <talloc.h>
#include <vector>

extern "C"
{
#include <libcometspindle/hash.h>
#include <libcometspindle/scheduler/scheduler.h>
}

#include "fixtures.h"

struct RecordedGrant
{
	uint64_t vm_id;
	comet_Grant grant;
};

struct Scheduler : public ::testing::Test
{
	std::vector<RecordedGrant> granted;
	std::vector<uint64_t> declined;
	struct comet_bundle *bundle = nullptr;
	struct comet_scheduler *scheduler = nullptr;
	uint64_t now = 1000000;
	std::map<uint64_t, uint32_t> tiers;
	std::map<uint64_t, std::string> teams;

	void
	start(unsigned int endpoints)
	{
		static const struct comet_scheduler_ops ops = {
			[](void *ctx, uint64_t vm_id, const comet_Grant *grant) {
				static_cast<Scheduler *>(ctx)->granted.push_back({vm_id, *grant});
			},
			[](void *ctx, uint64_t, uint64_t request)
			{ static_cast<Scheduler *>(ctx)->declined.push_back(request); }};
		bundle = fixture_bundle(1, endpoints);
		scheduler = comet_scheduler_create(
			nullptr, bundle, comet_hash_name("m"), 0, &ops, this, 0);
	}

	~Scheduler() override
	{
		talloc_free(scheduler);
		comet_bundle_unref(bundle);
	}

	void
	request_slot(uint64_t request, uint32_t tier, const char *team = "a",
		uint32_t slack_ms = 60000, uint32_t prefix = 0, uint32_t output = 10)
	{
		comet_Ask message = comet_Ask_init_zero;
		message.request = request;
		message.model = comet_hash_name("m");
		message.team = comet_hash_name(team);
		message.tier = tier;
		message.slack_ms = slack_ms;
		message.prompt_tokens = 200;
		message.output_tokens = output;
		message.prefix_count = prefix != 0 ? 6 : 0;
		for (uint32_t i = 0; i < message.prefix_count; i++)
			message.prefix[i] = prefix * 100 + i;
		tiers[request] = tier;
		teams[request] = team;
		comet_scheduler_ask(scheduler, 9, &message, now);
	}

	void
	finish(const comet_Grant &grant, enum comet_outcome outcome = COMET_OUTCOME_SERVED)
	{
		comet_Done done = comet_Done_init_zero;
		done.request = grant.request;
		done.endpoint = grant.endpoint;
		done.outcome = outcome;
		done.first_token_us = 20000;
		done.step_us = 10000;
		done.prompt_tokens = 200;
		done.output_tokens = 10;
		comet_scheduler_done(scheduler, 9, &done, now);
	}

	struct comet_scheduler_counts
	counts() const
	{
		struct comet_scheduler_counts out;
		comet_scheduler_count(scheduler, &out);
		return out;
	}

	void
	tick(uint64_t us)
	{
		now += us;
		comet_scheduler_tick(scheduler, now);
	}
};

TEST_F(Scheduler, LimitsGrantsToBatchSize)
{
	start(2);
	for (uint64_t i = 1; i <= 12; i++)
		request_slot(i, 0);
	EXPECT_EQ(granted.size(), 8u);
	EXPECT_EQ(counts().waiting[0], 4u);
	finish(granted[0].grant);
	EXPECT_EQ(granted.size(), 9u);
}

TEST_F(Scheduler, GrantsInTierOrder)
{
	start(1);
	for (uint64_t i = 1; i <= 4; i++)
		request_slot(i, 0);
	for (uint64_t i = 5; i <= 16; i++)
		request_slot(
			i, (uint32_t)(3 - (i - 5) / 3)); /* the least urgent tier arrives first */
	uint32_t last = 0;
	for (size_t i = 0; i < granted.size(); i++)
	{
		finish(granted[i].grant);
		EXPECT_GE(tiers[granted[i].grant.request], last);
		last = tiers[granted[i].grant.request];
	}
	EXPECT_EQ(granted.size(), 16u);
}

TEST_F(Scheduler, BurstOfOneTeamDoesNotReduceShareOfAnother)
{
	start(1);
	for (uint64_t i = 1; i <= 100; i++)
		request_slot(i, 1, "a");
	for (uint64_t i = 101; i <= 110; i++)
		request_slot(i, 1, "b");
	size_t before = granted.size();
	size_t granted_to_b = 0;
	for (size_t i = 0; granted.size() < before + 20; i++)
		finish(granted[i].grant);
	for (size_t i = before; i < granted.size(); i++)
		granted_to_b += teams[granted[i].grant.request] == "b";
	EXPECT_GE(granted_to_b, 9u); /* every other grant until team b has no waiting request */
}

TEST_F(Scheduler, FreedEndpointPrefersCachedPrefix)
{
	start(1);
	request_slot(1, 1, "a", 60000, 5);
	for (uint64_t i = 2; i <= 4; i++)
		request_slot(i, 1, "a", 60000, 6);
	request_slot(10, 1, "a", 20000, 7); /* the most urgent request, with another prefix */
	request_slot(11, 1, "a", 30000, 5);
	request_slot(12, 1, "a", 40000, 5);
	finish(granted[0].grant);
	ASSERT_EQ(granted.size(), 5u);
	EXPECT_EQ(granted[4].grant.request, 11u);
	EXPECT_GT(granted[4].grant.cached_tokens, 0u);
	/* After twelve consecutive affinity grants, the most urgent request must be next. */
	for (uint64_t i = 13; i <= 40; i++)
		request_slot(i, 1, "a", 41000, 5);
	size_t by_affinity = 1;
	for (size_t i = 1; granted.back().grant.request != 10 && i < granted.size(); i++)
	{
		size_t before = granted.size();
		finish(granted[i].grant);
		by_affinity += granted.size() > before && granted.back().grant.request != 10;
	}
	EXPECT_EQ(granted.back().grant.request, 10u);
	EXPECT_EQ(by_affinity, 12u);
}

TEST_F(Scheduler, DeclinesRequestsThatCannotMeetDeadline)
{
	start(1);
	request_slot(1, 0, "a", 50, 0, 10000);
	EXPECT_EQ(declined, std::vector<uint64_t>{1});
	for (uint64_t i = 2; i <= 6; i++)
		request_slot(i, 0, "a", 500);
	EXPECT_EQ(counts().waiting[0], 1u);
	for (int i = 0; i < 30; i++)
		tick(20000);
	EXPECT_EQ(declined.size(), 2u);
	EXPECT_EQ(counts().waiting[0], 0u);
}

TEST_F(Scheduler, LeasesExpireWithoutRenewal)
{
	start(1);
	for (uint64_t i = 1; i <= 6; i++)
		request_slot(i, 0);
	EXPECT_EQ(counts().running, 4u);
	EXPECT_EQ(counts().waiting[0], 2u);
	tick(5900000);
	EXPECT_EQ(counts().waiting[0], 2u);
	tick(200000);
	EXPECT_EQ(counts().waiting[0], 0u); /* slot requests expire after 6 s */
	EXPECT_EQ(counts().running, 4u);
	comet_Running running = comet_Running_init_zero;
	running.request = granted[0].grant.request;
	running.endpoint = granted[0].grant.endpoint;
	comet_scheduler_running(scheduler, 9, &running, now);
	tick(23800000);
	EXPECT_EQ(counts().running, 4u);
	tick(200000);
	EXPECT_EQ(counts().running, 1u); /* grants expire after 30 s, except the renewed one */
}

TEST_F(Scheduler, DropsStateOfUnreachableVm)
{
	start(1);
	for (uint64_t i = 1; i <= 6; i++)
		request_slot(i, 0);
	comet_scheduler_holder_gone(scheduler, 9, now);
	EXPECT_EQ(counts().running, 0u);
	EXPECT_EQ(counts().waiting[0], 0u);
}

TEST_F(Scheduler, FailingEndpointGetsNoRegularRequests)
{
	start(4);
	uint64_t request = 1;
	for (int i = 0; i < 3; i++)
	{
		request_slot(request++, 0);
		finish(granted.back().grant, COMET_OUTCOME_UNREACHED);
		tick(1000);
	}
	uint32_t unhealthy = 0;
	uint32_t count = 0;
	struct comet_endpoint_state *endpoints = comet_scheduler_endpoints(scheduler, &count);
	for (uint32_t i = 0; i < count; i++)
	{
		if (endpoints[i].health != COMET_HEALTH_OK)
			unhealthy = endpoints[i].id;
	}
	ASSERT_NE(unhealthy, 0u);
	size_t before = granted.size();
	for (int i = 0; i < 12; i++)
		request_slot(request++, 0);
	for (size_t i = before; i < granted.size(); i++)
		EXPECT_NE(granted[i].grant.endpoint, unhealthy);
}

TEST_F(Scheduler, IgnoresHealthWhenMostEndpointsAreUnhealthy)
{
	start(3);
	uint32_t count = 0;
	struct comet_endpoint_state *endpoints = comet_scheduler_endpoints(scheduler, &count);
	for (uint32_t i = 0; i < count; i++)
	{
		comet_scheduler_slow(scheduler, endpoints[i].id, 0, now);
		comet_scheduler_slow(scheduler, endpoints[i].id, 0, now);
	}
	EXPECT_EQ(counts().healthy, 0u);
	tick(1000);
	for (uint64_t i = 1; i <= 12; i++)
		request_slot(i, 0);
	EXPECT_EQ(granted.size(), 12u);
}

TEST_F(Scheduler, SlowEndpointGetsFewerRequests)
{
	start(2);
	request_slot(1, 0);
	uint32_t slow = granted[0].grant.endpoint;
	comet_scheduler_slow(scheduler, slow, 200000, now);
	for (uint64_t i = 2; i <= 4; i++)
		request_slot(i, 0);
	for (size_t i = 1; i < 4; i++)
		EXPECT_NE(granted[i].grant.endpoint, slow);
}
