/*
 * test_gateway_routes.cc
 * routes, team limits, the retry budget and header values
 */
#include <gtest/gtest.h>

extern "C"
{
#include <libcometspindle/gateway/allowance.h>
#include <libcometspindle/gateway/retry_budget.h>
#include <libcometspindle/gateway/routes.h>
#include <libcometspindle/gateway/settings.h>
#include <libcometspindle/gateway/wire_names.h>
#include <libcometspindle/hash.h>
}
#include <cstring>
#include <string>
#include <talloc.h>

namespace
{

const comet_route_limits limits = {16384, 1048576, 3000, 15000};

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

TEST(Routes, SharesAreDrawnByWeight)
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

TEST(Routes, KeysNameTheirTeam)
{
	table_builder builder(1);
	EXPECT_FALSE(comet_route_table_needs_keys(builder.table));
	builder.team("one", "k1", 0, 0).team("two", "k2", 0, 0);
	EXPECT_TRUE(comet_route_table_needs_keys(builder.table));
	EXPECT_STREQ(comet_route_table_team_by_key(builder.table, "k2")->name, "two");
	EXPECT_EQ(comet_route_table_team_by_key(builder.table, "k"), nullptr);
	comet_route_table_unref(builder.table);
}

/* Nine VMs that share what they spend: how much is spent in a window, whatever is asked? */
double
spent_in_window(int vms, int hearing, uint64_t lag_us)
{
	comet_allowance_bounds bounds = {8000, 0.25, 1000};
	table_builder builder(1);
	builder.team("t", "k", 1000, 500);
	uint32_t id = comet_hash_name("t");
	std::vector<comet_allowance *> all;
	std::vector<uint64_t> untold(vms, 0);
	for (int i = 0; i < vms; i++)
	{
		all.push_back(comet_allowance_create(nullptr, &bounds));
		comet_allowance_set_teams(all[i], builder.table, 0);
		comet_allowance_set_heard(all[i], (double)hearing / vms, 0);
	}
	uint64_t spent = 0;
	for (uint64_t now = 0; now < 8000000; now += 10000)
	{
		for (int i = 0; i < vms; i++)
		{
			while (comet_allowance_spend(all[i], id, 20, now) == 0)
			{
				spent += 20;
				untold[i] += 20;
			}
		}
		if (now % lag_us != 0 || hearing != vms)
			continue;
		for (int i = 0; i < vms; i++)
		{
			for (int j = 0; j < vms; j++)
			{
				if (i != j)
					comet_allowance_spent_elsewhere(all[j], id, untold[i], now);
			}
			untold[i] = 0;
		}
	}
	for (comet_allowance *one : all)
		talloc_free(one);
	comet_route_table_unref(builder.table);
	return (double)spent;
}

TEST(Allowance, VmsThatHearEachOtherKeepTheSum)
{
	double bound = (1000 * 8 + 500) * 1.25 + 1000;

	EXPECT_LE(spent_in_window(1, 1, 100000), bound);
	EXPECT_GE(spent_in_window(1, 1, 100000), 8000);
	EXPECT_LE(spent_in_window(9, 9, 100000), bound * 1.5);
	/* nine start at once, each with a bucket of its own: the first round is an overshoot */
	EXPECT_GE(spent_in_window(9, 9, 100000), 8000);
}

TEST(Allowance, VmsCutOffFromEachOtherRefillByTheirPart)
{
	/* each starts with a part of a bucket, then gets a ninth of the rate */
	double start = 9 * 0.4 * (500 + 0.35 * (0.25 * 8500 + 1000));

	EXPECT_LE(spent_in_window(9, 1, 100000), 8000 + start + 9 * 20);
}

TEST(Allowance, ARefusalTellsWhenToComeBack)
{
	comet_allowance_bounds bounds = {8000, 0, 0};
	table_builder builder(1);
	builder.team("t", "k", 100, 100);
	comet_allowance *allowance = comet_allowance_create(nullptr, &bounds);
	uint32_t id = comet_hash_name("t");
	comet_allowance_set_teams(allowance, builder.table, 0);

	EXPECT_EQ(comet_allowance_spend(allowance, id, 40, 0), 0U);
	uint32_t wait_ms = comet_allowance_spend(allowance, id, 50, 0);
	EXPECT_EQ(wait_ms, 500U);
	EXPECT_EQ(comet_allowance_spend(allowance, id, 50, wait_ms * 1000), 0U);
	/* more than a full bucket goes out of a full one, and leaves a debt */
	EXPECT_EQ(comet_allowance_spend(allowance, id, 300, 10000000), 0U);
	EXPECT_GT(comet_allowance_spend(allowance, id, 1, 10000000), 1900U);
	talloc_free(allowance);
	comet_route_table_unref(builder.table);
}

TEST(Allowance, WhatWasNotRunIsGivenBack)
{
	comet_allowance_bounds bounds = {8000, 0, 0};
	table_builder builder(1);
	builder.team("t", "k", 100, 100);
	comet_allowance *allowance = comet_allowance_create(nullptr, &bounds);
	uint32_t id = comet_hash_name("t");
	comet_allowance_set_teams(allowance, builder.table, 0);

	EXPECT_EQ(comet_allowance_spend(allowance, id, 40, 0), 0U);
	comet_allowance_give_back(allowance, id, 40);
	EXPECT_EQ(comet_allowance_spend(allowance, id, 40, 0), 0U);
	talloc_free(allowance);
	comet_route_table_unref(builder.table);
}

TEST(RetryBudget, KeepsItsPartOfTheSum)
{
	comet_retry_bounds bounds = {0.2, 10000, 90};
	const int vms = 9;
	const int firsts = 1000;
	unsigned int repeats = 0;

	for (int vm = 0; vm < vms; vm++)
	{
		comet_retry_budget *budget = comet_retry_budget_create(nullptr, &bounds);
		comet_retry_budget_set_vms(budget, vms);
		for (int i = 0; i < firsts; i++)
		{
			uint64_t now_us = (uint64_t)i * 10000;
			comet_retry_budget_first(budget, "s", now_us);
			while (comet_retry_budget_take(budget, "s", now_us))
				repeats++;
		}
		talloc_free(budget);
	}
	EXPECT_LE(repeats, vms * firsts * 0.2 + 90);
	EXPECT_GE(repeats, vms * firsts * 0.1);
}

TEST(RetryBudget, AFreshVmHasFew)
{
	comet_retry_bounds bounds = {0.2, 10000, 58};
	comet_retry_budget *budget = comet_retry_budget_create(nullptr, &bounds);
	unsigned int repeats = 0;

	while (comet_retry_budget_take(budget, "s", 1000))
		repeats++;
	EXPECT_LE(repeats, 2U);
	talloc_free(budget);
}

TEST(WireNames, ValuesAreWholeNumbersOrRefused)
{
	comet_wire_load load = {};
	uint32_t prompt = 0;
	uint32_t output = 0;
	uint32_t ms = 0;

	EXPECT_TRUE(comet_wire_parse_tokens("1460,80", &prompt, &output));
	EXPECT_EQ(prompt, 1460U);
	EXPECT_EQ(output, 80U);
	EXPECT_TRUE(comet_wire_parse_load("3,0,8", &load));
	EXPECT_EQ(load.slots, 8U);
	EXPECT_TRUE(comet_wire_parse_ms("6000", &ms));
	for (const char *bad : {"", "1", "1,", ",1", "1,2,3", "-1,2", "1,x", "99999999999,1"})
		EXPECT_FALSE(comet_wire_parse_tokens(bad, &prompt, &output)) << bad;
	for (const char *bad : {"", "-5", "1.5", "x", "4294967296"})
		EXPECT_FALSE(comet_wire_parse_ms(bad, &ms)) << bad;
}

TEST(GatewaySettings, AreCheckedWithEveryFault)
{
	GError *error = nullptr;
	std::string bad =
		"{\"gateway\":{\"name\":\"\",\"grace_s\":-1,\"log_level\":\"loud\",\"x\":1}}";

	EXPECT_TRUE(comet_gateway_settings_match(bad.data(), bad.size()));
	EXPECT_EQ(comet_gateway_settings_parse(bad.data(), bad.size(), &error), nullptr);
	for (const char *part : {"gateway.name", "gateway.zone", "gateway.grace_s",
		     "gateway.log_level", "unknown key \"x\""})
		EXPECT_NE(strstr(error->message, part), nullptr) << part << "\n" << error->message;
	g_clear_error(&error);
	std::string good = "{\"gateway\":{ // ours\n\"name\":\"n\",\"zone\":\"z\","
			   "\"callers\":\"127.0.0.1:0\",\"readiness\":\"127.0.0.1:0\","
			   "\"control\":\"127.0.0.1:0\",\"peers\":\"127.0.0.1:0\",\"seeds\":\"\","
			   "\"directory\":\"127.0.0.1:1\",\"team_slack\":72000.5}}";
	comet_gateway_settings *settings =
		comet_gateway_settings_parse(good.data(), good.size(), &error);
	ASSERT_NE(settings, nullptr) << error->message;
	EXPECT_EQ(settings->grace_ms, 8000U);
	EXPECT_EQ(settings->allowance.slack, 72000.5);
	talloc_free(settings);
	EXPECT_FALSE(comet_gateway_settings_match("{}", 2));
	EXPECT_FALSE(comet_gateway_settings_match("no", 2));
}

} // namespace
