/*
 * test_limits_fleet.cc
 * teams' limits over hundreds of VMs, under recorded patterns of load, in virtual time
 */
#include <gtest/gtest.h>

extern "C"
{
#include <libcometspindle/gateway/admission/rate_limiter.h>
#include <libcometspindle/gateway/admission/quota_requests.h>
#include <libcometspindle/hash.h>
}
#include <deque>
#include <functional>
#include <map>
#include <random>
#include <set>
#include <string>
#include <talloc.h>
#include <vector>

namespace
{

constexpr uint64_t step_us = 10000;
constexpr uint64_t second_us = 1000000;
constexpr uint64_t window_ms = 8000;
constexpr double overage = 0.25;
constexpr double slack = 72000;
constexpr uint64_t views_us = 2 * second_us; /* what a VM tells is up to so old */

/* A team, what it usually sends, and what became of it. */
struct team
{
	std::string name;
	uint64_t rate_per_s;
	double usual_per_s; /* tokens */
	uint32_t mean;      /* tokens of a request */
	uint32_t id = 0;
	std::vector<uint64_t> by_step = {}; /* spent over all VMs */
	uint32_t passed = 0;
	uint32_t refused = 0;

	double
	bound() const
	{
		return (double)rate_per_s * 9 * (1 + overage) + slack;
	}

	uint64_t
	most() const
	{
		size_t window = window_ms * 1000 / step_us;
		uint64_t most = 0;
		uint64_t sum = 0;
		for (size_t i = 0; i < by_step.size(); i++)
		{
			sum += by_step[i];
			if (i >= window)
				sum -= by_step[i - window];
			most = std::max(most, sum);
		}
		return most;
	}
};

struct fleet;

struct vm
{
	fleet *all = nullptr;
	uint32_t address = 0;
	comet_rate_limiter *rate_limiter = nullptr;
	comet_quota_requests *charges = nullptr;
	std::map<uint32_t, uint64_t> told; /* team -> spent, as the others know */
};

struct waiting
{
	vm *at;
	team *of;
	comet_quota_request charge;
	uint32_t asked = 0; /* keepers */
};

struct mail
{
	uint64_t due_us;
	uint32_t from;
	uint32_t to;
	std::string bytes;
};

struct fleet
{
	std::vector<vm> vms;
	std::vector<team> teams;
	comet_route_table *table = nullptr;
	std::deque<mail> post;
	std::set<waiting *> asked;
	std::set<uint32_t> cut;    /* VMs that no other VM reaches */
	uint32_t keeper = 1;       /* of all accounts */
	uint32_t heard_of_cut = 0; /* VMs that are known to be cut off */
	uint64_t silent_us = 0;
	uint64_t now_us = 20 * second_us;
	std::mt19937 draw{7};

	fleet(uint32_t count, std::vector<team> of) : vms(count), teams(std::move(of))
	{
		comet_http_limits limits = {};
		table = comet_route_table_create(1, &limits);
		for (auto &one : teams)
		{
			comet_route_team entry = {};
			entry.name = const_cast<char *>(one.name.c_str());
			entry.rate_per_s = one.rate_per_s;
			entry.burst = one.rate_per_s;
			entry.in_tokens = true;
			comet_route_table_add_team(table, &entry, nullptr, 0);
			one.id = comet_hash_name(one.name.c_str());
		}
		for (uint32_t i = 0; i < count; i++)
			start(vms[i], i + 1);
		now_us += 20 * second_us; /* nothing is assumed of the time before any more */
	}

	~fleet()
	{
		for (auto &one : vms)
			talloc_free(one.rate_limiter);
		for (auto *one : asked)
			delete one;
		comet_route_table_unref(table);
	}

	void
	start(vm &one, uint32_t address)
	{
		static const comet_quota_requests_ops ops = {
			on_send, on_decided, on_undecided, on_charge, on_returned};
		comet_rate_limiter_config bounds = {window_ms, overage, slack};

		one.all = this;
		one.address = address;
		one.told.clear();
		one.rate_limiter = comet_rate_limiter_create(nullptr, &bounds, now_us);
		comet_rate_limiter_set_teams(one.rate_limiter, table, now_us);
		one.charges = comet_quota_requests_create(one.rate_limiter, address, &ops, &one);
	}

	/* All processes are killed, and run again. */
	void
	restart_all()
	{
		post.clear();
		for (auto *one : asked)
			delete one;
		asked.clear();
		for (auto &one : vms)
		{
			talloc_free(one.rate_limiter);
			start(one, one.address);
		}
	}

	static void
	on_send(void *ctx, uint32_t address, const uint8_t *data, size_t length)
	{
		auto *one = static_cast<vm *>(ctx);
		one->all->post.push_back({one->all->now_us + step_us, one->address, address,
			std::string((const char *)data, length)});
	}

	static void
	on_decided(void *ctx, void *owner, uint32_t, uint32_t wait_ms)
	{
		auto *one = static_cast<vm *>(ctx);
		auto *request = static_cast<waiting *>(owner);
		if (wait_ms == 0)
			comet_rate_limiter_charged(one->rate_limiter, request->charge.team,
				request->charge.amount, one->all->now_us);
		one->all->end(request, wait_ms == 0);
	}

	static void
	on_undecided(void *ctx, void *owner, uint32_t)
	{
		static_cast<vm *>(ctx)->all->charge(static_cast<waiting *>(owner));
	}

	static bool
	on_charge(void *ctx, uint32_t asker, const comet_quota_request *charge, uint32_t *wait_ms)
	{
		auto *one = static_cast<vm *>(ctx);
		return comet_rate_limiter_charge_remote(one->rate_limiter, asker, charge->team,
			charge->rank, charge->amount, one->all->now_us, wait_ms);
	}

	static void
	on_returned(void *ctx, uint32_t asker, const comet_quota_request *charge)
	{
		auto *one = static_cast<vm *>(ctx);
		comet_rate_limiter_refund_remote(
			one->rate_limiter, asker, charge->team, charge->amount, one->all->now_us);
	}

	void
	end(waiting *request, bool passed)
	{
		team &of = *request->of;
		(passed ? of.passed : of.refused)++;
		if (passed)
			of.by_step.back() += request->charge.amount;
		asked.erase(request);
		delete request;
	}

	void
	decide(waiting *request, comet_rate_limiter_source sight)
	{
		uint32_t wait_ms =
			comet_rate_limiter_spend(request->at->rate_limiter, request->charge.team,
				request->charge.rank, request->charge.amount, sight, now_us);
		end(request, wait_ms == 0);
	}

	/* A request arrives, as the gateway's adapter takes it. */
	void
	arrive(vm &at, team &of, uint32_t amount)
	{
		auto *request = new waiting{&at, &of, {of.id, 0, amount}};
		asked.insert(request);
		charge(request);
	}

	/* Charges it where the account is kept, or at the next VM if that one is mute. */
	void
	charge(waiting *request)
	{
		vm &at = *request->at;
		uint32_t asked_of = keeper;
		while (comet_quota_requests_is_unresponsive(at.charges, asked_of, now_us))
			asked_of++;
		if (at.address == asked_of)
			decide(request, COMET_RATE_LIMITER_OWNER);
		else if (request->asked++ >= 2)
			decide(request, COMET_RATE_LIMITER_GOSSIP);
		else
			comet_quota_requests_send(
				at.charges, request, asked_of, &request->charge, now_us);
	}

	void
	deliver()
	{
		while (!post.empty() && post.front().due_us <= now_us)
		{
			mail one = post.front();
			comet_Datagram datagram;
			post.pop_front();
			if (cut.count(one.from) != 0 || cut.count(one.to) != 0)
				continue;
			ASSERT_TRUE(comet_datagram_decode(
				(const uint8_t *)one.bytes.data(), one.bytes.size(), &datagram));
			EXPECT_TRUE(
				comet_quota_requests_receive(vms[one.to - 1].charges, &datagram));
		}
	}

	/* A VM's view reaches the others that it reaches. */
	void
	tell(vm &from)
	{
		struct told
		{
			std::map<uint32_t, uint64_t> spent;
		} report;
		comet_rate_limiter_each(
			from.rate_limiter, now_us,
			[](void *ctx, const comet_rate_limiter_report *one)
			{ static_cast<told *>(ctx)->spent[one->team_id] = one->spent; },
			&report);
		comet_rate_limiter_mark_reported(from.rate_limiter);
		if (cut.count(from.address) != 0)
			return;
		for (auto &one : report.spent)
		{
			uint64_t before = from.told[one.first];
			from.told[one.first] = one.second;
			if (one.second <= before)
				continue;
			for (auto &to : vms)
			{
				if (to.address != from.address && cut.count(to.address) == 0)
					comet_rate_limiter_merge_remote(to.rate_limiter,
						from.address, one.first, one.second - before,
						now_us);
			}
		}
	}

	void
	set_vms(vm &one) const
	{
		auto count = (uint32_t)vms.size();
		uint32_t heard = cut.count(one.address) != 0 ? 1 : count - heard_of_cut;
		comet_rate_limiter_set_vms(one.rate_limiter, heard_of_cut != 0 ? heard : count,
			count, heard_of_cut != 0 ? silent_us : 0);
	}

	/* Time passes; factor: of what a team usually sends. */
	void
	pass(uint64_t us, const std::function<double(const team &)> &factor)
	{
		std::lognormal_distribution<double> size(0, 0.8);
		std::uniform_int_distribution<size_t> any(0, vms.size() - 1);
		for (uint64_t end_us = now_us + us; now_us < end_us; now_us += step_us)
		{
			for (auto &one : teams)
				one.by_step.push_back(0);
			deliver();
			for (size_t i = 0; i < vms.size(); i++)
			{
				set_vms(vms[i]);
				comet_quota_requests_tick(vms[i].charges, now_us);
				if ((now_us / step_us + i) % (views_us / step_us) == 0)
					tell(vms[i]);
			}
			for (auto &one : teams)
			{
				double per_step = factor(one) * one.usual_per_s / one.mean *
						  ((double)step_us / second_us);
				std::poisson_distribution<int> count(per_step);
				for (int i = count(draw); i > 0; i--)
					arrive(vms[any(draw)], one,
						(uint32_t)(one.mean * size(draw)) + 1);
			}
		}
	}
};

/* A team of a usual load, a small one, and one that turns hot; each usually sends 0.55 of its rate,
 * a little more than half of its limit. */
std::vector<team>
three_teams()
{
	return {{"usual", 180000, 100000, 3000}, {"small", 18000, 10000, 1200},
		{"hot", 500000, 280000, 3000}};
}

std::function<double(const team &)>
hot_times(double hot, double all = 1)
{
	return [hot, all](const team &one) { return one.name == "hot" ? hot : all; };
}

uint32_t
refused(const fleet &all, const char *name)
{
	for (const auto &one : all.teams)
	{
		if (one.name == name)
			return one.refused;
	}
	return UINT32_MAX;
}

void
expect_bounds(const fleet &all)
{
	for (const auto &one : all.teams)
		EXPECT_LE((double)one.most(), one.bound()) << one.name;
}

/* Of 295 VMs each knew the others' spending two seconds late: a team at six times its rate
 * overspent its limit, and single requests, taken for what 294 others send meanwhile, refused teams
 * that were far below theirs. */
TEST(LimitsFleet, AHotTeamSpendsItsLimitAndOthersAreNotRefused)
{
	fleet all(295, three_teams());
	all.pass(3 * second_us, hot_times(1.7, 1.7));
	all.pass(8 * second_us, hot_times(6));
	all.pass(3 * second_us, hot_times(6, 1.7));
	expect_bounds(all);
	EXPECT_EQ(refused(all, "usual"), 0U);
	EXPECT_EQ(refused(all, "small"), 0U);
	EXPECT_GE((double)all.teams[2].most(), all.teams[2].rate_per_s * 9 * 0.95);
}

/* All are killed while a team is hot: nobody knows what was spent. */
TEST(LimitsFleet, WhenAllRestartTheLimitHolds)
{
	fleet all(295, three_teams());
	all.pass(9 * second_us, hot_times(6));
	all.restart_all();
	all.pass(4 * second_us, hot_times(6));
	all.restart_all();
	all.pass(9 * second_us, hot_times(6));
	expect_bounds(all);
	EXPECT_LE(refused(all, "usual"), all.teams[0].passed / 20) << "it is far from its limit";
}

/* The keeper is gone, until it is noticed and another VM keeps the accounts. */
TEST(LimitsFleet, AKeeperThatDiesLosesNoCount)
{
	fleet all(295, three_teams());
	all.pass(9 * second_us, hot_times(2));
	all.cut.insert(1);
	all.pass(2 * second_us, hot_times(2));
	all.keeper = 2;
	all.pass(9 * second_us, hot_times(6));
	expect_bounds(all);
	EXPECT_EQ(refused(all, "usual"), 0U);
	EXPECT_EQ(refused(all, "small"), 0U);
}

/* A third of the VMs hear nobody for ten seconds, of which five pass before that is noticed. */
TEST(LimitsFleet, VmsThatAreCutOffSpendTheirPartsOnly)
{
	fleet all(295, three_teams());
	all.pass(9 * second_us, hot_times(1.5));
	for (uint32_t address = 200; address <= 295; address++)
		all.cut.insert(address);
	all.silent_us = all.now_us;
	all.pass(5 * second_us, hot_times(1.5));
	all.heard_of_cut = 96;
	all.pass(5 * second_us, hot_times(1.5));
	expect_bounds(all);
}

/* Three of four VMs were killed, and the fourth, two seconds old, refused a team that had spent
 * next to nothing: its part of the limit was a quarter, of which it took nine tenths of the whole
 * for spent. */
TEST(LimitsFleet, AVmThatIsLeftAloneServesItsPart)
{
	std::vector<team> one = {{"t", 1000000, 10, 10}};
	fleet all(4, one);
	talloc_free(all.vms[3].rate_limiter);
	all.start(all.vms[3], 4);
	uint64_t began_us = all.now_us;
	uint32_t id = all.teams[0].id;
	comet_rate_limiter *rate_limiter = all.vms[3].rate_limiter;

	for (uint64_t ms = 0; ms < 9000; ms += 10)
	{
		uint64_t now_us = began_us + ms * 1000;
		bool alone = ms >= 3000; /* they were heard last at 2 s */
		comet_rate_limiter_set_vms(
			rate_limiter, alone ? 1 : 4, 4, alone ? began_us + 2000000 : 0);
		EXPECT_EQ(comet_rate_limiter_spend(
				  rate_limiter, id, 0, 10, COMET_RATE_LIMITER_OWNER, now_us),
			0U)
			<< ms;
		EXPECT_EQ(comet_rate_limiter_spend(
				  rate_limiter, id, 0, 10, COMET_RATE_LIMITER_GOSSIP, now_us),
			0U)
			<< ms;
		comet_rate_limiter_mark_reported(rate_limiter);
	}
}

/* What a keeper charged is told again by the asker's views, and counts once. */
TEST(LimitsFleet, WhatWasChargedIsNotCountedAgainWhenItIsTold)
{
	std::vector<team> one = {{"t", 1000, 10, 10}};
	fleet all(2, one);
	uint32_t id = all.teams[0].id;
	comet_rate_limiter *keeper = all.vms[0].rate_limiter;
	uint32_t wait_ms = 1;
	double before = comet_rate_limiter_remaining(keeper, id, all.now_us);

	EXPECT_TRUE(comet_rate_limiter_charge_remote(keeper, 2, id, 0, 500, all.now_us, &wait_ms));
	EXPECT_EQ(wait_ms, 0U);
	EXPECT_EQ(comet_rate_limiter_remaining(keeper, id, all.now_us), before - 500);
	comet_rate_limiter_merge_remote(keeper, 2, id, 700, all.now_us);
	EXPECT_EQ(comet_rate_limiter_remaining(keeper, id, all.now_us), before - 700);
	EXPECT_TRUE(comet_rate_limiter_charge_remote(keeper, 2, id, 0, 300, all.now_us, &wait_ms));
	comet_rate_limiter_refund_remote(keeper, 2, id, 300, all.now_us);
	EXPECT_EQ(comet_rate_limiter_remaining(keeper, id, all.now_us), before - 700);
	EXPECT_TRUE(comet_rate_limiter_charge_remote(keeper, 2, id, 0, 300, all.now_us, &wait_ms));
	comet_rate_limiter_vm_restarted(keeper, 2); /* what it was charged before is told no more */
	comet_rate_limiter_merge_remote(keeper, 2, id, 100, all.now_us);
	EXPECT_EQ(comet_rate_limiter_remaining(keeper, id, all.now_us), before - 1100);
	EXPECT_FALSE(
		comet_rate_limiter_charge_remote(keeper, 2, id + 1, 0, 1, all.now_us, &wait_ms));
}

} // namespace
