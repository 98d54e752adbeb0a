/*
 * test_gateway_routes.cc
 * Tests of routes, team limits, the retry budget, header values and settings.
 */
#include <gtest/gtest.h>

extern "C"
{
#include <libcometspindle/gateway/admission/rate_limiter.h>
#include <libcometspindle/gateway/admission/retry_budget.h>
#include <libcometspindle/gateway/routing/routes.h>
#include <libcometspindle/gateway/settings.h>
#include <libcometspindle/gateway/header_names.h>
#include <libcometspindle/hash.h>
}
#include <algorithm>
#include <cstring>
#include <random>
#include <string>
#include <talloc.h>
#include <vector>

namespace
{

const comet_http_limits limits = {16384, 1048576, 3000, 15000};

struct table_builder
{
	comet_route_table *table;

	explicit table_builder(uint64_t version) : table(comet_route_table_create(version, &limits))
	{
	}

	table_builder &
	route(const char *name, const char *host, const char *prefix)
	{
		comet_route_share share = {const_cast<char *>("service"), 1};
		comet_route route = {};
		route.name = const_cast<char *>(name);
		route.host = const_cast<char *>(host);
		route.path_prefix = const_cast<char *>(prefix);
		route.shares = &share;
		route.n_shares = 1;
		comet_route_table_add(table, &route);
		return *this;
	}

	table_builder &
	team(const char *name, const char *key, uint64_t rate, uint64_t burst)
	{
		comet_route_team team = {};
		team.name = const_cast<char *>(name);
		team.rate_per_s = rate;
		team.burst = burst;
		team.in_tokens = true;
		comet_route_table_add_team(table, &team, &key, 1);
		return *this;
	}
};

/* Compares lookups with a linear search over random prefixes of any length, including
 * duplicates. */
TEST(Routes, LookupMatchesALinearSearch)
{
	std::mt19937 draw(7);
	auto random_path = [&draw](size_t max_length)
	{
		std::string text = "/";
		for (size_t i = draw() % (max_length + 1); i > 0; i--)
			text += "ab/"[draw() % 3];
		return text;
	};
	for (int round = 0; round < 50; round++)
	{
		comet_http_limits limits = {};
		comet_route_table *table = comet_route_table_create(1, &limits);
		std::vector<std::string> prefixes;
		for (int i = 0; i < 30; i++)
		{
			prefixes.push_back(random_path(5));
			comet_route route = {};
			comet_route_share share = {const_cast<char *>("svc"), 1};
			std::string name = std::to_string(i);
			route.name = const_cast<char *>(name.c_str());
			route.host = const_cast<char *>("h.example");
			route.path_prefix = const_cast<char *>(prefixes.back().c_str());
			route.shares = &share;
			route.n_shares = 1;
			comet_route_table_add(table, &route);
		}
		for (int i = 0; i < 100; i++)
		{
			std::string path = random_path(8);
			int best = -1;
			for (int at = 0; at < 30; at++)
			{
				bool begins =
					path.compare(0, prefixes[at].size(), prefixes[at]) == 0;
				if (begins &&
					(best < 0 || prefixes[at].size() > prefixes[best].size()))
					best = at;
			}
			const comet_route *found =
				comet_route_table_find(table, "H.example:80", path.c_str());
			ASSERT_EQ(found != nullptr, best >= 0) << path;
			EXPECT_EQ(found != nullptr ? found->name : "-1", std::to_string(best))
				<< path;
		}
		comet_route_table_unref(table);
	}
}

TEST(Routes, LongestPrefixOfTheHostWins)
{
	table_builder builder(1);
	builder.route("short", "a.example", "/x/").route("long", "a.example", "/x/y/");
	builder.route("other", "b.example", "/x/y/z/");

	EXPECT_STREQ(comet_route_table_find(builder.table, "a.example", "/x/1")->name, "short");
	EXPECT_STREQ(comet_route_table_find(builder.table, "a.example", "/x/y/z/1")->name, "long");
	EXPECT_STREQ(comet_route_table_find(builder.table, "A.Example:80", "/x/y/")->name, "long");
	EXPECT_EQ(comet_route_table_find(builder.table, "a.example", "/xy/"), nullptr);
	EXPECT_EQ(comet_route_table_find(builder.table, "c.example", "/x/"), nullptr);
	comet_route_table_unref(builder.table);
}

TEST(Routes, ServicesAreSelectedByWeight)
{
	comet_route_share shares[] = {
		{const_cast<char *>("big"), 90}, {const_cast<char *>("small"), 10}};
	comet_route route = {};
	route.shares = shares;
	route.n_shares = 2;

	EXPECT_STREQ(comet_route_pick_service(&route, 0), "big");
	EXPECT_STREQ(comet_route_pick_service(&route, UINT32_MAX), "small");
	unsigned int small = 0;
	for (uint32_t i = 0; i < 1000; i++)
		small += strcmp(comet_route_pick_service(&route, i * 4294967), "small") == 0;
	EXPECT_NEAR(small, 100, 1);
}

TEST(Routes, AKeyIdentifiesItsTeam)
{
	table_builder builder(1);
	EXPECT_FALSE(comet_route_table_needs_keys(builder.table));
	builder.team("one", "k1", 0, 0).team("two", "k2", 0, 0);
	EXPECT_TRUE(comet_route_table_needs_keys(builder.table));
	EXPECT_STREQ(comet_route_table_team_by_key(builder.table, "k2")->name, "two");
	EXPECT_EQ(comet_route_table_team_by_key(builder.table, "k"), nullptr);
	comet_route_table_unref(builder.table);
}

/* VMs that share the limit of one team, with more requests at all times than the limit allows. */
struct limited_vms
{
	static const uint64_t step_us = 10000;
	const uint64_t gossip_interval_us = 100000;
	table_builder builder;
	uint32_t id = comet_hash_name("t");
	std::vector<comet_rate_limiter *> all;
	std::vector<uint64_t> unreported;
	std::vector<uint64_t> by_step; /* spent in each step by all VMs */

	limited_vms(int vms, uint64_t now_us) : builder(1), unreported(vms, 0)
	{
		builder.team("t", "k", 1000, 500);
		for (int i = 0; i < vms; i++)
			all.push_back(create_rate_limiter(now_us));
	}

	~limited_vms()
	{
		for (comet_rate_limiter *one : all)
			talloc_free(one);
		comet_route_table_unref(builder.table);
	}

	comet_rate_limiter *
	create_rate_limiter(uint64_t now_us) const
	{
		comet_rate_limiter_config config = {8000, 0.25, 1000};
		comet_rate_limiter *one = comet_rate_limiter_create(nullptr, &config, now_us);
		comet_rate_limiter_set_teams(one, builder.table, now_us);
		return one;
	}

	void
	restart(size_t vm, uint64_t now_us)
	{
		talloc_free(all[vm]);
		all[vm] = create_rate_limiter(now_us);
	}

	void
	exchange_gossip(uint64_t now_us)
	{
		uint64_t recent = 0;
		auto visit = [](void *ctx, const comet_rate_limiter_report *report)
		{
			auto *most = static_cast<uint64_t *>(ctx);
			*most = std::max(*most, report->all_spent_in_window);
		};
		for (comet_rate_limiter *one : all)
			comet_rate_limiter_each(one, now_us, visit, &recent);
		for (size_t i = 0; i < all.size(); i++)
		{
			for (size_t j = 0; j < all.size(); j++)
			{
				if (i != j)
					comet_rate_limiter_merge_remote(
						all[j], 1, id, unreported[i], now_us);
			}
			if (recent > 0)
				comet_rate_limiter_merge_total(all[i], id, recent, now_us);
			comet_rate_limiter_mark_reported(all[i]);
			unreported[i] = 0;
		}
	}

	void
	run(uint64_t from_us, uint64_t to_us, bool connected = true)
	{
		for (uint64_t now = from_us; now < to_us; now += step_us)
		{
			by_step.push_back(0);
			for (size_t i = 0; i < all.size(); i++)
			{
				comet_rate_limiter_set_vms(all[i],
					connected ? (uint32_t)all.size() : 1, (uint32_t)all.size(),
					0);
				while (comet_rate_limiter_spend(all[i], id, 0, 20,
					       COMET_RATE_LIMITER_GOSSIP, now) == 0)
				{
					by_step.back() += 20;
					unreported[i] += 20;
				}
			}
			if (connected && now % gossip_interval_us == 0)
				exchange_gossip(now);
		}
	}

	/* The maximum that was spent in any 8 s. */
	uint64_t
	max_in_window() const
	{
		uint64_t most = 0;
		uint64_t sum = 0;
		for (size_t i = 0; i < by_step.size(); i++)
		{
			sum += by_step[i];
			if (i >= 800)
				sum -= by_step[i - 800];
			most = std::max(most, sum);
		}
		return most;
	}
};

const double team_limit = 1000 * 8 + 500;
const double team_bound = team_limit * 1.25 + 1000;

TEST(Allowance, OneVmAdmitsTheWholeLimitAndNoMore)
{
	limited_vms one(1, 0);
	one.run(0, 40000000);
	EXPECT_LE(one.max_in_window(), team_bound);
	EXPECT_GE(one.max_in_window(), team_limit);
}

TEST(Allowance, ConnectedVmsKeepTheLimitTogether)
{
	limited_vms nine(9, 0);
	nine.run(0, 60000000);
	EXPECT_LE(nine.max_in_window(), team_bound);
	EXPECT_GE(nine.max_in_window(), team_limit * 0.9);
}

TEST(Allowance, PartitionedVmsKeepTheirShares)
{
	limited_vms nine(9, 0);
	nine.run(0, 40000000, false);
	EXPECT_LE(nine.max_in_window(), team_bound);
}

TEST(Allowance, ARestartedVmLearnsTheUsageFromGossip)
{
	limited_vms two(2, 0);
	two.run(0, 21000000);
	two.restart(0, 21000000);
	two.exchange_gossip(21000000);
	two.run(21000000, 40000000);
	/* a restart neither frees what is used up nor blocks what is free */
	EXPECT_LE(two.max_in_window(), team_bound);
	two.by_step.erase(two.by_step.begin(), two.by_step.begin() + 2200);
	EXPECT_GE(two.max_in_window(), team_limit * 0.9);
}

TEST(Allowance, TheLimitHoldsWhenAllVmsRestart)
{
	limited_vms one(1, 0);
	one.run(0, 20000000);
	one.restart(0, 20000000);
	one.run(20000000, 40000000);
	EXPECT_LE(one.max_in_window(), team_bound * 1.15);
}

TEST(Allowance, ARefusalCarriesTheRetryTime)
{
	comet_rate_limiter_config config = {8000, 0, 0};
	table_builder builder(1);
	builder.team("t", "k", 100, 200);
	comet_rate_limiter *rate_limiter = comet_rate_limiter_create(nullptr, &config, 0);
	uint32_t id = comet_hash_name("t");
	comet_rate_limiter_set_teams(rate_limiter, builder.table, 0);

	uint64_t now_us = 20000000; /* one window after its start, no usage before the start is
				       assumed any more */
	EXPECT_EQ(comet_rate_limiter_spend(
			  rate_limiter, id, 0, 900, COMET_RATE_LIMITER_GOSSIP, now_us),
		0U);
	EXPECT_EQ(comet_rate_limiter_spend(
			  rate_limiter, id, 0, 100, COMET_RATE_LIMITER_GOSSIP, now_us + 4000000),
		0U);
	uint32_t wait_ms = comet_rate_limiter_spend(
		rate_limiter, id, 0, 50, COMET_RATE_LIMITER_GOSSIP, now_us + 4000000);
	EXPECT_GE(wait_ms, 3500U);
	EXPECT_LE(wait_ms, 4500U);
	EXPECT_EQ(comet_rate_limiter_spend(rate_limiter, id, 0, 50, COMET_RATE_LIMITER_GOSSIP,
			  now_us + 4000000 + wait_ms * 1000),
		0U);
	/* a request larger than the limit is admitted if none of the limit is used */
	EXPECT_EQ(comet_rate_limiter_spend(
			  rate_limiter, id, 0, 5000, COMET_RATE_LIMITER_GOSSIP, now_us + 60000000),
		0U);
	EXPECT_GT(comet_rate_limiter_spend(
			  rate_limiter, id, 0, 1, COMET_RATE_LIMITER_GOSSIP, now_us + 60000000),
		7000U);
	talloc_free(rate_limiter);
	comet_route_table_unref(builder.table);
}

/* Guards against a team without admissions for the rest of the window after its limit fell to a
 * quarter. */
TEST(Allowance, UsageIsScaledWhenTheLimitIsLowered)
{
	comet_rate_limiter_config config = {8000, 0, 0};
	table_builder high(1);
	table_builder low(2);
	high.team("t", "k", 1000, 0);
	low.team("t", "k", 250, 0);
	comet_rate_limiter *rate_limiter = comet_rate_limiter_create(nullptr, &config, 0);
	uint32_t id = comet_hash_name("t");
	comet_rate_limiter_set_teams(rate_limiter, high.table, 0);
	EXPECT_EQ(comet_rate_limiter_spend(
			  rate_limiter, id, 0, 4000, COMET_RATE_LIMITER_GOSSIP, 20000000),
		0U);
	comet_rate_limiter_set_teams(rate_limiter, low.table, 20000000);
	EXPECT_EQ(comet_rate_limiter_remaining(rate_limiter, id, 20000000), 1000);
	EXPECT_EQ(comet_rate_limiter_spend(
			  rate_limiter, id, 0, 1000, COMET_RATE_LIMITER_GOSSIP, 20000000),
		0U);
	EXPECT_NE(comet_rate_limiter_spend(
			  rate_limiter, id, 0, 1, COMET_RATE_LIMITER_GOSSIP, 20000000),
		0U);
	comet_rate_limiter_set_teams(rate_limiter, high.table, 20000000);
	EXPECT_EQ(comet_rate_limiter_remaining(rate_limiter, id, 20000000), 6000)
		<< "raising the limit does not reduce the recorded usage";
	talloc_free(rate_limiter);
	comet_route_table_unref(high.table);
	comet_route_table_unref(low.table);
}

/* Guards against a team without admissions after one large request. A VM estimates the unreported
 * usage of other VMs from its own, and after a start there may be many others. */
TEST(Allowance, TheEstimateForOtherVmsBoundsOneLargeRequest)
{
	comet_rate_limiter_config config = {8000, 0, 0};
	table_builder builder(1);
	builder.team("t", "k", 1000, 1000);
	comet_rate_limiter *rate_limiter = comet_rate_limiter_create(nullptr, &config, 0);
	uint32_t id = comet_hash_name("t");
	comet_rate_limiter_set_teams(rate_limiter, builder.table, 0);
	comet_rate_limiter_set_vms(rate_limiter, 6, 6, 0);

	for (int i = 0; i < 20; i++)
	{
		EXPECT_EQ(comet_rate_limiter_spend(
				  rate_limiter, id, 0, 20, COMET_RATE_LIMITER_GOSSIP, 20000000),
			0U);
		comet_rate_limiter_mark_reported(rate_limiter);
	}
	EXPECT_EQ(comet_rate_limiter_spend(
			  rate_limiter, id, 0, 2000, COMET_RATE_LIMITER_GOSSIP, 20000000),
		0U);
	EXPECT_EQ(comet_rate_limiter_spend(
			  rate_limiter, id, 0, 20, COMET_RATE_LIMITER_GOSSIP, 20000000),
		0U);
	EXPECT_EQ(comet_rate_limiter_remaining(rate_limiter, id, 20000000),
		9000 - 2420 - 5 * (238 + 20))
		<< "each of the five other VMs counts with twice the typical amount of a request";
	talloc_free(rate_limiter);
	comet_route_table_unref(builder.table);
}

/* Guards against small requests of low urgency using up a limit, so that long urgent requests no
 * longer fit. */
TEST(Allowance, APartOfTheLimitIsReservedForUrgentRequests)
{
	comet_rate_limiter_config config = {8000, 0, 0};
	table_builder builder(1);
	builder.team("t", "k", 1000, 2000);
	comet_rate_limiter *rate_limiter = comet_rate_limiter_create(nullptr, &config, 0);
	uint32_t id = comet_hash_name("t");
	comet_rate_limiter_set_teams(rate_limiter, builder.table, 0);
	uint64_t now_us = 20000000;

	for (int i = 0; i < 88; i++)
		ASSERT_EQ(comet_rate_limiter_spend(
				  rate_limiter, id, 0, 100, COMET_RATE_LIMITER_GOSSIP, now_us),
			0U);
	EXPECT_NE(comet_rate_limiter_spend(
			  rate_limiter, id, 2, 100, COMET_RATE_LIMITER_GOSSIP, now_us),
		0U)
		<< "12% of the limit are left";
	EXPECT_NE(comet_rate_limiter_spend(
			  rate_limiter, id, 7, 100, COMET_RATE_LIMITER_GOSSIP, now_us),
		0U);
	EXPECT_EQ(comet_rate_limiter_spend(
			  rate_limiter, id, 2, 10, COMET_RATE_LIMITER_GOSSIP, now_us),
		0U)
		<< "a small request fits";
	for (int i = 0; i < 5; i++)
		EXPECT_EQ(comet_rate_limiter_spend(
				  rate_limiter, id, 1, 100, COMET_RATE_LIMITER_GOSSIP, now_us),
			0U);
	EXPECT_NE(comet_rate_limiter_spend(
			  rate_limiter, id, 1, 100, COMET_RATE_LIMITER_GOSSIP, now_us),
		0U)
		<< "6% of the limit are left";
	for (int i = 0; i < 6; i++)
		EXPECT_EQ(comet_rate_limiter_spend(
				  rate_limiter, id, 0, 100, COMET_RATE_LIMITER_GOSSIP, now_us),
			0U);
	EXPECT_NE(comet_rate_limiter_spend(
			  rate_limiter, id, 0, 100, COMET_RATE_LIMITER_GOSSIP, now_us),
		0U);
	talloc_free(rate_limiter);
	comet_route_table_unref(builder.table);
}

/* Guards against refusing all of the least urgent requests for one window after a restart. Nine
 * tenths of the limit are then assumed to be used, and the rest was smaller than the part that
 * these requests leave to others. */
TEST(Allowance, LessUrgentRequestsAreAdmittedAfterAStart)
{
	comet_rate_limiter_config config = {8000, 0, 0};
	table_builder builder(1);
	builder.team("t", "k", 1000, 2000);
	comet_rate_limiter *rate_limiter = comet_rate_limiter_create(nullptr, &config, 20000000);
	uint32_t id = comet_hash_name("t");
	comet_rate_limiter_set_teams(rate_limiter, builder.table, 20000000);
	EXPECT_EQ(comet_rate_limiter_spend(
			  rate_limiter, id, 2, 100, COMET_RATE_LIMITER_GOSSIP, 20000000),
		0U);
	EXPECT_EQ(comet_rate_limiter_spend(
			  rate_limiter, id, 2, 800, COMET_RATE_LIMITER_GOSSIP, 20000000),
		0U);
	EXPECT_NE(comet_rate_limiter_spend(
			  rate_limiter, id, 2, 200, COMET_RATE_LIMITER_GOSSIP, 20000000),
		0U)
		<< "the limit still applies";
	talloc_free(rate_limiter);
	comet_route_table_unref(builder.table);
}

TEST(Allowance, ARefundRestoresTheLimit)
{
	comet_rate_limiter_config config = {8000, 0, 0};
	table_builder builder(1);
	builder.team("t", "k", 100, 200);
	comet_rate_limiter *rate_limiter = comet_rate_limiter_create(nullptr, &config, 0);
	uint32_t id = comet_hash_name("t");
	comet_rate_limiter_set_teams(rate_limiter, builder.table, 0);

	EXPECT_EQ(comet_rate_limiter_spend(
			  rate_limiter, id, 0, 1000, COMET_RATE_LIMITER_GOSSIP, 20000000),
		0U);
	comet_rate_limiter_refund(rate_limiter, id, 1000, 20000000);
	EXPECT_EQ(comet_rate_limiter_spend(
			  rate_limiter, id, 0, 1000, COMET_RATE_LIMITER_GOSSIP, 20000000),
		0U);
	EXPECT_NE(comet_rate_limiter_spend(
			  rate_limiter, id, 0, 1000, COMET_RATE_LIMITER_GOSSIP, 20000000),
		0U);
	talloc_free(rate_limiter);
	comet_route_table_unref(builder.table);
}

TEST(RetryBudget, RetriesStayWithinTheirRatio)
{
	comet_retry_budget_config config = {0.2, 10000, 90};
	const int vms = 9;
	const int first_attempts = 1000;
	unsigned int retries = 0;

	for (int vm = 0; vm < vms; vm++)
	{
		comet_retry_budget *budget = comet_retry_budget_create(nullptr, &config);
		comet_retry_budget_set_vms(budget, vms);
		for (int i = 0; i < first_attempts; i++)
		{
			uint64_t now_us = (uint64_t)i * 10000;
			comet_retry_budget_record_first_attempt(budget, "s", now_us);
			while (comet_retry_budget_take(budget, "s", now_us))
				retries++;
		}
		talloc_free(budget);
	}
	EXPECT_LE(retries, vms * first_attempts * 0.2 + 90);
	EXPECT_GE(retries, vms * first_attempts * 0.1);
}

TEST(RetryBudget, ANewVmAllowsFewRetries)
{
	comet_retry_budget_config config = {0.2, 10000, 58};
	comet_retry_budget *budget = comet_retry_budget_create(nullptr, &config);
	unsigned int retries = 0;

	comet_retry_budget_set_vms(budget, 32);
	while (comet_retry_budget_take(budget, "s", 1000))
		retries++;
	EXPECT_LE(retries, 2U);
	talloc_free(budget);
}

TEST(HeaderValues, MalformedValuesAreRejected)
{
	comet_header_load load = {};
	uint32_t prompt = 0;
	uint32_t output = 0;
	uint32_t ms = 0;

	EXPECT_TRUE(comet_header_parse_tokens("1460,80", &prompt, &output));
	EXPECT_EQ(prompt, 1460U);
	EXPECT_EQ(output, 80U);
	EXPECT_TRUE(comet_header_parse_load("3,0,8", &load));
	EXPECT_EQ(load.slots, 8U);
	EXPECT_EQ(load.slowdown_percent, 100U);
	EXPECT_TRUE(comet_header_parse_load("3,0,8,250", &load));
	EXPECT_EQ(load.running, 3U);
	EXPECT_EQ(load.slots, 8U);
	EXPECT_EQ(load.slowdown_percent, 250U);
	EXPECT_TRUE(comet_header_parse_ms("6000", &ms));
	for (const char *invalid : {"", "1", "1,", ",1", "1,2,3", "-1,2", "1,x", "99999999999,1"})
		EXPECT_FALSE(comet_header_parse_tokens(invalid, &prompt, &output)) << invalid;
	for (const char *invalid : {"", "-5", "1.5", "x", "4294967296"})
		EXPECT_FALSE(comet_header_parse_ms(invalid, &ms)) << invalid;
	for (const char *invalid : {"4294967295,1,8", "1,1000001,8", "3,0", "3,0,8,", "3,0,8,x",
		     "3,0,8,4294967296", "3,0,8,100,1", "3;0;8"})
		EXPECT_FALSE(comet_header_parse_load(invalid, &load)) << invalid;
	for (const char *valid : {"timeout=5", "max=9, Timeout = 5", "timeout=5,max=1"})
	{
		EXPECT_TRUE(comet_header_parse_keep_alive(valid, &ms)) << valid;
		EXPECT_EQ(ms, 5U);
	}
	for (const char *invalid : {"", "max=5", "x-timeout=5", "timeout", "timeout=", "timeout=-5",
		     "timeout=5s", "timeout=1.5", "timeout=99999999999", "timeout=\"5\""})
		EXPECT_FALSE(comet_header_parse_keep_alive(invalid, &ms)) << invalid;
	EXPECT_TRUE(comet_header_parse_seconds("1.25", &ms));
	EXPECT_EQ(ms, 1250U);
	for (const char *invalid : {"", "-1", " 1", "1s", "nan", "inf", "1e99", "3601"})
		EXPECT_FALSE(comet_header_parse_seconds(invalid, &ms)) << invalid;
}

TEST(GatewaySettings, AllErrorsAreReported)
{
	GError *error = nullptr;
	std::string invalid =
		"{\"gateway\":{\"name\":\"\",\"grace_s\":-1,\"log_level\":\"loud\",\"x\":1}}";

	EXPECT_TRUE(comet_gateway_settings_match(invalid.data(), invalid.size()));
	EXPECT_EQ(comet_gateway_settings_parse(invalid.data(), invalid.size(), &error), nullptr);
	for (const char *part : {"gateway.name", "gateway.zone", "gateway.grace_s",
		     "gateway.log_level", "unknown key \"x\""})
		EXPECT_NE(strstr(error->message, part), nullptr) << part << "\n" << error->message;
	g_clear_error(&error);
	std::string valid = "{\"gateway\":{ // ours\n\"name\":\"n\",\"zone\":\"z\","
			    "\"callers\":\"127.0.0.1:0\",\"readiness\":\"127.0.0.1:0\","
			    "\"control\":\"127.0.0.1:0\",\"peers\":\"127.0.0.1:0\",\"seeds\":\"\","
			    "\"directory\":\"127.0.0.1:1\",\"team_slack\":72000.5}}";
	comet_gateway_settings *settings =
		comet_gateway_settings_parse(valid.data(), valid.size(), &error);
	ASSERT_NE(settings, nullptr) << error->message;
	EXPECT_EQ(settings->grace_ms, 8000U);
	EXPECT_EQ(settings->rate_limiter.slack, 72000.5);
	talloc_free(settings);
	EXPECT_FALSE(comet_gateway_settings_match("{}", 2));
	EXPECT_FALSE(comet_gateway_settings_match("no", 2));
}

} // namespace
