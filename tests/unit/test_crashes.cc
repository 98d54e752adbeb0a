/*
 * test_crashes.cc
 * which requests are barred, by what one VM saw and others told, in whatever order
 */
#include <gtest/gtest.h>

extern "C"
{
#include <libcometspindle/gateway/admission/crash_tracker.h>
}
#include <algorithm>
#include <random>
#include <string>
#include <talloc.h>
#include <vector>

namespace
{

const uint64_t SECOND_US = 1000000;
const uint64_t MINUTE_US = 60 * SECOND_US;

/* A VM that knows of crashes. */
struct Vm
{
	Vm()
	{
		crash_tracker = comet_crash_tracker_create(nullptr, &ops, this);
	}

	~Vm()
	{
		talloc_free(crash_tracker);
	}

	Vm(const Vm &) = delete;

	static void
	on_news(void *ctx, const comet_fingerprint *, comet_crash_tracker_event news, uint32_t,
		bool)
	{
		((Vm *)ctx)->news[news]++;
	}

	/* Its run at that life breaks off. */
	void
	suspect(const comet_fingerprint &request, uint32_t incarnation_key, uint64_t last_seen_us,
		uint64_t now_us, bool cancelled = false)
	{
		const comet_crash_tracker_run run = {
			request, incarnation_key, last_seen_us, cancelled};

		comet_crash_tracker_add_suspect(crash_tracker, &run, now_us);
	}

	/* An endpoint's process crashes while it runs the request. */
	void
	crash(const comet_fingerprint &request, uint32_t incarnation_key, uint64_t now_us)
	{
		suspect(request, incarnation_key, now_us, now_us);
		comet_crash_tracker_process_crashed(
			crash_tracker, incarnation_key, now_us, now_us + SECOND_US / 2);
	}

	bool
	bars(const comet_fingerprint &request)
	{
		return comet_crash_tracker_is_quarantined(crash_tracker, &request);
	}

	/* Sends a view to another VM. */
	void
	tell(Vm &other, uint64_t now_us)
	{
		comet_Crashed records[4];
		size_t count = comet_crash_tracker_encode(crash_tracker, records, 4, now_us);

		ASSERT_LE(count, 4U);
		for (size_t i = 0; i < count; i++)
			comet_crash_tracker_merge(other.crash_tracker, &records[i], now_us);
	}

	static const comet_crash_tracker_ops ops;
	comet_crash_tracker *crash_tracker;
	int news[4] = {};
};

const comet_crash_tracker_ops Vm::ops = {on_news};

const comet_fingerprint REQUEST = {77, 1};

TEST(Crashes, TheThirdBars)
{
	Vm vm;

	vm.crash(REQUEST, 1, MINUTE_US);
	vm.crash(REQUEST, 2, MINUTE_US);
	vm.crash(REQUEST, 2, MINUTE_US); /* the same life tells nothing new */
	EXPECT_FALSE(vm.bars(REQUEST));
	vm.crash(REQUEST, 3, MINUTE_US);
	EXPECT_TRUE(vm.bars(REQUEST));
	EXPECT_EQ(vm.news[COMET_CRASH_TRACKER_QUARANTINED], 1);
}

/* Two teams may send the same bytes, and one team may have found bytes that hash like another's. */
TEST(Crashes, AnotherTeamsRequestIsAnother)
{
	Vm vm;

	for (uint32_t incarnation_key = 1; incarnation_key <= 5; incarnation_key++)
		vm.crash(REQUEST, incarnation_key, MINUTE_US);
	EXPECT_TRUE(vm.bars(REQUEST));
	EXPECT_FALSE(vm.bars({REQUEST.digest, 2}));
	EXPECT_FALSE(vm.bars({REQUEST.digest + 1, REQUEST.team}));
}

TEST(Crashes, WhatIsHeardLaterWasNotCrashed)
{
	Vm vm;

	for (uint32_t incarnation_key = 1; incarnation_key <= 5; incarnation_key++)
	{
		/* its connection broke; the process answered others for a second, and crashed later
		 */
		vm.suspect(REQUEST, incarnation_key, MINUTE_US, MINUTE_US);
		comet_crash_tracker_process_crashed(vm.crash_tracker, incarnation_key,
			MINUTE_US + SECOND_US, MINUTE_US + 2 * SECOND_US);
	}
	EXPECT_EQ(comet_crash_tracker_count(vm.crash_tracker).records, 0U);
}

/* The bytes that the process had sent to others may be read a little later. */
TEST(Crashes, WhatWasUnderWayIsHeardALittleLater)
{
	Vm vm;

	vm.suspect(REQUEST, 1, MINUTE_US, MINUTE_US);
	comet_crash_tracker_process_crashed(
		vm.crash_tracker, 1, MINUTE_US + 50000, MINUTE_US + SECOND_US);
	EXPECT_EQ(comet_crash_tracker_count(vm.crash_tracker).records, 1U);
}

TEST(Crashes, APlannedEndIsNoCrash)
{
	Vm vm;

	for (uint32_t incarnation_key = 1; incarnation_key <= 5; incarnation_key++)
	{
		vm.suspect(REQUEST, incarnation_key, MINUTE_US, MINUTE_US);
		comet_crash_tracker_process_exited(vm.crash_tracker, incarnation_key);
		comet_crash_tracker_process_crashed(
			vm.crash_tracker, incarnation_key, MINUTE_US, MINUTE_US + SECOND_US);
	}
	EXPECT_FALSE(vm.bars(REQUEST));
	EXPECT_EQ(comet_crash_tracker_count(vm.crash_tracker).crash_suspects, 0U);
}

/* A run whose end is noticed after that of its process, as in silence. */
TEST(Crashes, ARunThatEndsAfterItsProcessCounts)
{
	Vm vm;

	for (uint32_t incarnation_key = 1; incarnation_key <= 3; incarnation_key++)
	{
		comet_crash_tracker_process_crashed(
			vm.crash_tracker, incarnation_key, MINUTE_US, MINUTE_US + 1);
		vm.suspect(REQUEST, incarnation_key, MINUTE_US, MINUTE_US + SECOND_US);
	}
	EXPECT_TRUE(vm.bars(REQUEST));
}

/* What is not known yet is taken into account before a request that has crashed an endpoint is sent
 * again. */
TEST(Crashes, ARequestIsDoubtedBeforeItIsBarred)
{
	Vm vm;

	vm.suspect(REQUEST, 2, MINUTE_US, MINUTE_US);
	vm.suspect(REQUEST, 3, MINUTE_US, MINUTE_US);
	vm.suspect(REQUEST, 4, MINUTE_US, MINUTE_US, true);
	EXPECT_FALSE(comet_crash_tracker_is_undecided(
		vm.crash_tracker, &REQUEST, MINUTE_US)); /* nothing has crashed */
	vm.crash(REQUEST, 1, MINUTE_US);
	EXPECT_TRUE(comet_crash_tracker_is_undecided(
		vm.crash_tracker, &REQUEST, MINUTE_US + SECOND_US));
	EXPECT_FALSE(vm.bars(REQUEST));
	EXPECT_FALSE(comet_crash_tracker_is_undecided(
		vm.crash_tracker, &REQUEST, MINUTE_US + 6 * SECOND_US));
}

TEST(Crashes, ACancelledRunRaisesNoDoubt)
{
	Vm vm;

	vm.crash(REQUEST, 1, MINUTE_US);
	for (uint32_t incarnation_key = 2; incarnation_key <= 9; incarnation_key++)
		vm.suspect(REQUEST, incarnation_key, MINUTE_US, MINUTE_US, true);
	EXPECT_FALSE(comet_crash_tracker_is_undecided(vm.crash_tracker, &REQUEST, MINUTE_US));
}

TEST(Crashes, AnEndLongAfterTheRunIsNotItsDoing)
{
	Vm vm;

	vm.suspect(REQUEST, 1, MINUTE_US, MINUTE_US);
	comet_crash_tracker_tick(vm.crash_tracker, MINUTE_US + 20 * SECOND_US);
	comet_crash_tracker_process_crashed(
		vm.crash_tracker, 1, MINUTE_US, MINUTE_US + 21 * SECOND_US);
	EXPECT_EQ(comet_crash_tracker_count(vm.crash_tracker).records, 0U);
}

TEST(Crashes, WhatIsServedIsExcused)
{
	Vm vm;

	for (uint32_t incarnation_key = 1; incarnation_key <= 4; incarnation_key++)
		vm.crash(REQUEST, incarnation_key, MINUTE_US);
	ASSERT_TRUE(vm.bars(REQUEST));
	comet_crash_tracker_served(vm.crash_tracker, &REQUEST, 2 * MINUTE_US);
	EXPECT_FALSE(vm.bars(REQUEST));
	/* crashes after that count anew, once it was not served for a while */
	for (uint32_t incarnation_key = 11; incarnation_key <= 13; incarnation_key++)
		vm.crash(REQUEST, incarnation_key, 3 * MINUTE_US);
	EXPECT_TRUE(vm.bars(REQUEST));
}

/* A request that many callers send is under way wherever an endpoint dies: also three at a time. */
TEST(Crashes, WhatIsServedAllTheTimeIsNotBarred)
{
	Vm vm;

	for (uint32_t incarnation_key = 1; incarnation_key <= 200; incarnation_key++)
	{
		uint64_t now_us = MINUTE_US + incarnation_key * SECOND_US;
		if (incarnation_key % 10 == 1)
			comet_crash_tracker_served(vm.crash_tracker, &REQUEST, now_us);
		vm.crash(REQUEST, incarnation_key, now_us);
		ASSERT_FALSE(vm.bars(REQUEST)) << incarnation_key;
	}
}

/* Another VM has served it and learns of the crashes: it tells the first. */
TEST(Crashes, WhatIsServedElsewhereIsExcusedHere)
{
	Vm one;
	Vm two;

	comet_crash_tracker_served(two.crash_tracker, &REQUEST, MINUTE_US);
	for (uint32_t incarnation_key = 1; incarnation_key <= 3; incarnation_key++)
		one.crash(REQUEST, incarnation_key, MINUTE_US + SECOND_US);
	ASSERT_TRUE(one.bars(REQUEST));
	one.tell(two, MINUTE_US + 2 * SECOND_US);
	two.tell(one, MINUTE_US + 3 * SECOND_US);
	EXPECT_FALSE(one.bars(REQUEST));
	EXPECT_FALSE(two.bars(REQUEST));
}

/* Neighbours lose their runs with the same processes. */
TEST(Crashes, WhatRanBesideIsNotBarred)
{
	Vm vm;
	const comet_fingerprint beside = {88, 2};

	for (uint32_t incarnation_key = 1; incarnation_key <= 4; incarnation_key++)
	{
		vm.suspect(REQUEST, incarnation_key, MINUTE_US, MINUTE_US);
		if (incarnation_key > 2)
			vm.suspect(beside, incarnation_key, MINUTE_US, MINUTE_US);
		comet_crash_tracker_process_crashed(
			vm.crash_tracker, incarnation_key, MINUTE_US, MINUTE_US + SECOND_US);
	}
	EXPECT_TRUE(vm.bars(REQUEST));
	EXPECT_FALSE(vm.bars(beside));
	vm.crash(beside, 9, MINUTE_US); /* one more, of whatever else */
	EXPECT_FALSE(vm.bars(beside));
}

/* Each of five VMs has seen some of the crashes. Whoever told whom in which order, and whatever was
 * lost and told again, all decide the same in the end. */
TEST(Crashes, AllDecideTheSameInAnyOrder)
{
	for (unsigned seed = 1; seed <= 300; seed++)
	{
		std::mt19937 draw(seed);
		std::vector<Vm> vms(5);
		std::vector<comet_fingerprint> requests;
		uint64_t now_us = MINUTE_US;

		for (uint64_t i = 0; i < 8; i++)
			requests.push_back({100 + i, (uint32_t)(i % 3)});
		for (int step = 0; step < 400; step++)
		{
			now_us += 20000;
			Vm &vm = vms[draw() % 5];
			if (draw() % 8 == 0)
				vm.crash(requests[draw() % 8], 1 + draw() % 12, now_us);
			else if (draw() % 60 == 0)
				comet_crash_tracker_served(
					vm.crash_tracker, &requests[draw() % 4], now_us);
			else
				vm.tell(vms[draw() % 5], now_us);
		}
		for (int round = 0; round < 12; round++)
		{
			now_us += SECOND_US;
			for (Vm &from : vms)
				for (Vm &to : vms)
					from.tell(to, now_us);
		}
		for (const comet_fingerprint &request : requests)
			for (Vm &vm : vms)
				ASSERT_EQ(vm.bars(request), vms[0].bars(request))
					<< seed << " " << request.digest;
	}
}

/* A VM that starts is told all of them, a few in each view. */
TEST(Crashes, AVmThatStartsIsToldAll)
{
	Vm old;
	Vm started;

	for (uint32_t i = 0; i < 300; i++)
		for (uint32_t incarnation_key = 1; incarnation_key <= 3; incarnation_key++)
			old.crash({1000 + i, i % 20}, 10 * i + incarnation_key, MINUTE_US);
	for (uint64_t view = 0; view < 200; view++)
		old.tell(started, 2 * MINUTE_US + view * SECOND_US / 10);
	EXPECT_EQ(comet_crash_tracker_count(started.crash_tracker).barred, 300U);
}

/* What is told back and forth for hours ends. */
TEST(Crashes, ARecordEnds)
{
	Vm one;
	Vm two;
	uint64_t now_us = MINUTE_US;

	for (uint32_t incarnation_key = 1; incarnation_key <= 3; incarnation_key++)
		one.crash(REQUEST, incarnation_key, now_us);
	for (int i = 0; i < 3590; i++)
	{
		now_us += SECOND_US;
		one.tell(two, now_us);
		two.tell(one, now_us + 900000); /* it was slow on its way */
	}
	EXPECT_TRUE(one.bars(REQUEST));
	for (int i = 0; i < 30; i++)
	{
		now_us += SECOND_US;
		one.tell(two, now_us);
		two.tell(one, now_us);
		comet_crash_tracker_tick(one.crash_tracker, now_us);
		comet_crash_tracker_tick(two.crash_tracker, now_us);
	}
	EXPECT_FALSE(one.bars(REQUEST));
	EXPECT_FALSE(two.bars(REQUEST));
}

/* A team with many records has its own replaced, weakest first, and nobody else's. */
TEST(Crashes, ATeamPushesOutNoOthers)
{
	Vm vm;

	for (uint32_t incarnation_key = 1; incarnation_key <= 3; incarnation_key++)
		vm.crash(REQUEST, incarnation_key, MINUTE_US);
	for (uint32_t i = 0; i < 5000; i++)
		vm.crash({1000 + i, 9}, 100 + i, 2 * MINUTE_US);
	EXPECT_TRUE(vm.bars(REQUEST));
	EXPECT_LE(comet_crash_tracker_count(vm.crash_tracker).records, 65U);
	for (uint32_t team = 10; team < 90; team++)
		for (uint32_t i = 0; i < 64; i++)
			vm.crash({10000 + i, team}, 100000 + team * 64 + i, 2 * MINUTE_US);
	EXPECT_LE(comet_crash_tracker_count(vm.crash_tracker).records, 4096U);
	EXPECT_TRUE(vm.bars(REQUEST)); /* weaker ones went first */
}

TEST(Crashes, SuspectsAreBounded)
{
	Vm vm;

	vm.suspect(REQUEST, 1, MINUTE_US, MINUTE_US);
	for (uint32_t i = 0; i < 10000; i++)
	{
		const comet_fingerprint other = {i, 9};
		vm.suspect(other, 2, MINUTE_US, MINUTE_US);
	}
	EXPECT_LE(comet_crash_tracker_count(vm.crash_tracker).crash_suspects, 257U);
	comet_crash_tracker_process_crashed(vm.crash_tracker, 1, MINUTE_US, MINUTE_US + SECOND_US);
	EXPECT_EQ(comet_crash_tracker_count(vm.crash_tracker).records,
		1U); /* one team's pushed out no other's */
	for (uint32_t i = 0; i < 10000; i++)
	{
		const comet_fingerprint other = {i, i % 50};
		vm.suspect(other, 2, MINUTE_US, MINUTE_US);
	}
	EXPECT_LE(comet_crash_tracker_count(vm.crash_tracker).crash_suspects, 1024U);
}

/* One team's news does not keep another's from being told. */
TEST(Crashes, NewsTakesTurns)
{
	Vm one;
	Vm two;

	for (uint32_t i = 0; i < 60; i++)
		one.crash({1000 + i, 9}, 100 + i, MINUTE_US);
	for (uint32_t incarnation_key = 1; incarnation_key <= 3; incarnation_key++)
		one.crash(REQUEST, incarnation_key, MINUTE_US);
	for (uint64_t view = 0; view < 30; view++)
		one.tell(two, MINUTE_US + view * SECOND_US / 10);
	EXPECT_TRUE(two.bars(REQUEST));
}

} // namespace
