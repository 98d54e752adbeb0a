/*
 * test_load_shedding.cc
 * no VM sheds a tier while another keeps a lower one, whatever is late or lost
 */
#include <gtest/gtest.h>
#include <random>
#include <vector>

extern "C"
{
#include <libcometspindle/load_shedding.h>
}

struct Message
{
	uint64_t at_us;
	size_t from, to;
	bool reply;
	uint64_t sent_us;
	uint32_t keep, shed, want;
};

struct Fleet
{
	static constexpr size_t n = 4;
	static constexpr uint32_t tiers = 4;
	struct comet_load_shedding load_shedding[n];
	struct comet_member member[n][n];
	uint64_t now = 1000000;
	std::vector<Message> wire;
	std::mt19937 draw;
	unsigned int loss_percent;
	bool cut = false;
	uint64_t paused_until[n] = {};

	Fleet(unsigned int seed, unsigned int loss) : draw(seed), loss_percent(loss)
	{
		memset(member, 0, sizeof member);
		for (auto &one : load_shedding)
			comet_load_shedding_init(&one, tiers);
		for (int i = 0; i < 200; i++)
			step();
	}

	void
	send(size_t from, size_t to, bool reply, uint64_t sent_us)
	{
		bool split = cut && (from < 2) != (to < 2);
		if (split || draw() % 100 < loss_percent)
			return;
		wire.push_back({now + 1000 + draw() % 300000, from, to, reply, sent_us,
			load_shedding[from].keep_promised, load_shedding[from].shed_promised,
			load_shedding[from].want});
	}

	void
	receive(const Message &message)
	{
		struct comet_member &known = member[message.to][message.from];
		known.want_floor = message.want;
		if (!message.reply)
			send(message.to, message.from, true, message.sent_us);
		if (!message.reply || message.sent_us < known.promise_us)
			return;
		known.keep_below = message.keep;
		known.shed_from = message.shed;
		known.promise_us = message.sent_us;
	}

	void
	step()
	{
		now += 20000;
		for (size_t i = 0; i < n; i++)
		{
			struct comet_member *others[n];
			size_t count = 0;
			if (paused_until[i] > now)
				continue;
			for (size_t k = 0; k < n; k++)
			{
				if (k != i)
					others[count++] = &member[i][k];
			}
			for (size_t m = 0; m < wire.size();)
			{
				if (wire[m].to != i || wire[m].at_us > now)
				{
					m++;
					continue;
				}
				Message message = wire[m];
				wire.erase(wire.begin() + (long)m);
				receive(message);
			}
			comet_load_shedding_tick(&load_shedding[i], others, count, now);
			for (size_t k = 0; k < n; k++)
			{
				if (k != i && now / 20000 % 5 == i)
					send(i, k, false, now);
			}
		}
	}

	void
	check(unsigned int seed)
	{
		for (const auto &shedding : load_shedding)
			for (const auto &keeping : load_shedding)
				ASSERT_LE(keeping.keep_below, shedding.shed_from + 1)
					<< "seed " << seed << " at " << now;
	}
};

TEST(Floor, FallsAllTheWayAndComesBack)
{
	Fleet fleet(1, 0);

	for (int i = 0; i < 1000; i++)
	{
		comet_load_shedding_request(&fleet.load_shedding[0], 1, fleet.now);
		fleet.step();
		fleet.check(1);
	}
	EXPECT_EQ(fleet.load_shedding[0].shed_from, 1u);
	for (auto &one : fleet.load_shedding)
		EXPECT_LE(one.keep_below, 2u);
	for (int i = 0; i < 2000; i++)
	{
		fleet.step();
		fleet.check(1);
	}
	for (auto &one : fleet.load_shedding)
		EXPECT_EQ(one.keep_below, 4u);
}

TEST(Floor, StaysUpWhileOneCannotBeHeard)
{
	Fleet fleet(1, 0);

	fleet.cut = true;
	for (int i = 0; i < 1000; i++)
	{
		comet_load_shedding_request(&fleet.load_shedding[0], 1, fleet.now);
		fleet.step();
		fleet.check(1);
	}
	EXPECT_EQ(fleet.load_shedding[0].shed_from, 3u);
}

TEST(Floor, NoInversionInRandomRuns)
{
	for (unsigned int seed = 1; seed <= 300; seed++)
	{
		Fleet fleet(seed, seed % 30);
		for (int i = 0; i < 1500; i++)
		{
			size_t who = fleet.draw() % Fleet::n;
			if (fleet.draw() % 3 == 0 && i / 300 % 2 == 0)
				comet_load_shedding_request(
					&fleet.load_shedding[who], 1 + fleet.draw() % 3, fleet.now);
			if (fleet.draw() % 200 == 0)
				fleet.cut = !fleet.cut;
			if (fleet.draw() % 150 == 0)
				fleet.paused_until[who] = fleet.now + fleet.draw() % 5000000;
			fleet.step();
			fleet.check(seed);
			if (HasFatalFailure())
				return;
		}
	}
}
