/*
 * test_crash_tracker.cc
 * which requests are quarantined, from a VM's own attempts and from gossip in any order
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

/* A VM with a crash tracker. */
struct Vm
{
	Vm()
	{
		crash_tracker = comet_crash_tracker_create(
			nullptr, &comet_crash_tracker_requests, &ops, this);
	}

	~Vm()
	{
		talloc_free(crash_tracker);
	}

	Vm(const Vm &) = delete;

	static void
	on_event(void *ctx, const comet_fingerprint *, comet_crash_tracker_event event, uint32_t,
		bool)
	{
		((Vm *)ctx)->events[event]++;
	}

	static bool
	is_explained(void *ctx, uint32_t incarnation_key)
	{
		return incarnation_key <= ((Vm *)ctx)->explained_up_to;
	}

	static uint64_t
	last_seen(void *ctx, uint32_t)
	{
		return ((Vm *)ctx)->seen_us;
	}

	/* An attempt at that incarnation ends without a response. */
	void
	add_suspect(const comet_fingerprint &request, uint32_t incarnation_key,
		uint64_t last_seen_us, uint64_t now_us, bool cancelled = false,
		bool answered = false)
	{
		const comet_crash_attempt attempt = {request, incarnation_key, last_seen_us,
			cancelled, request.digest, answered, 1, now_us};

		comet_crash_tracker_add_suspect(crash_tracker, &attempt, now_us);
	}

	/* An endpoint's process crashes while it runs the request. */
	void
	crash(const comet_fingerprint &request, uint32_t incarnation_key, uint64_t now_us)
	{
		add_suspect(request, incarnation_key, now_us, now_us);
		comet_crash_tracker_process_crashed(
			crash_tracker, incarnation_key, now_us, now_us + SECOND_US / 2);
	}

	bool
	is_quarantined(const comet_fingerprint &request)
	{
		return comet_crash_tracker_is_quarantined(crash_tracker, &request);
	}

	/* Sends a gossip message to another VM. */
	void
	gossip_to(Vm &other, uint64_t now_us)
	{
		comet_Crashed records[4];
		size_t count = comet_crash_tracker_encode(crash_tracker, records, 4, now_us);

		ASSERT_LE(count, 4U);
		for (size_t i = 0; i < count; i++)
			comet_crash_tracker_merge(other.crash_tracker, &records[i], now_us);
	}

	static const comet_crash_tracker_ops ops;
	comet_crash_tracker *crash_tracker;
	int events[4] = {};
	uint64_t seen_us = 0;         /* when all incarnations were last seen alive */
	uint32_t explained_up_to = 0; /* incarnations whose crash a part of a prompt explains */
};

const comet_crash_tracker_ops Vm::ops = {on_event, is_explained, last_seen};

const comet_fingerprint REQUEST = {77, 1};

TEST(Crashes, ThirdCrashQuarantines)
{
	Vm vm;

	vm.crash(REQUEST, 1, MINUTE_US);
	vm.crash(REQUEST, 2, MINUTE_US);
	vm.crash(REQUEST, 2, MINUTE_US); /* a repeated crash of one incarnation counts once */
	EXPECT_FALSE(vm.is_quarantined(REQUEST));
	vm.crash(REQUEST, 3, MINUTE_US);
	EXPECT_TRUE(vm.is_quarantined(REQUEST));
	EXPECT_EQ(vm.events[COMET_CRASH_TRACKER_QUARANTINED], 1);
}

/* Two teams may send the same bytes, and a team may construct a body with the digest of another
 * team's request. */
/* A request that was repeated beside a part of other prompts that crashes endpoints. */
TEST(Crashes, RequestBesideACrashingPartIsNotBlamed)
{
	Vm vm;

	for (uint32_t incarnation_key = 1; incarnation_key <= 3; incarnation_key++)
		vm.crash(REQUEST, incarnation_key, MINUTE_US);
	EXPECT_TRUE(vm.is_quarantined(REQUEST));
	vm.explained_up_to = 1; /* found out only now */
	comet_crash_tracker_review(vm.crash_tracker, MINUTE_US);
	EXPECT_FALSE(vm.is_quarantined(REQUEST));
	vm.crash(REQUEST, 4, MINUTE_US);
	EXPECT_TRUE(vm.is_quarantined(REQUEST));
}

/* A response that ends with its connection is complete if the process is seen alive after it. */
TEST(Crashes, AnswerWithoutLengthExcusesOnceItsProcessIsSeen)
{
	Vm vm;

	for (uint32_t incarnation_key = 1; incarnation_key <= 3; incarnation_key++)
		vm.crash(REQUEST, incarnation_key, MINUTE_US);
	vm.add_suspect(REQUEST, 4, MINUTE_US, MINUTE_US, false, true);
	vm.seen_us = MINUTE_US + SECOND_US / 20; /* bytes that arrived before the end */
	comet_crash_tracker_tick(vm.crash_tracker, MINUTE_US + SECOND_US);
	EXPECT_TRUE(vm.is_quarantined(REQUEST));
	vm.seen_us = MINUTE_US + SECOND_US;
	comet_crash_tracker_tick(vm.crash_tracker, MINUTE_US + 2 * SECOND_US);
	EXPECT_FALSE(vm.is_quarantined(REQUEST));
	/* in a large fleet a VM seldom meets the same endpoint again */
	Vm other;
	for (uint32_t incarnation_key = 1; incarnation_key <= 3; incarnation_key++)
		other.crash(REQUEST, incarnation_key, MINUTE_US);
	other.add_suspect(REQUEST, 4, MINUTE_US, MINUTE_US, false, true);
	other.seen_us = MINUTE_US;
	comet_crash_tracker_tick(other.crash_tracker, MINUTE_US + 4 * SECOND_US);
	EXPECT_TRUE(other.is_quarantined(REQUEST));
	comet_crash_tracker_tick(other.crash_tracker, MINUTE_US + 6 * SECOND_US);
	EXPECT_FALSE(other.is_quarantined(REQUEST));
}

TEST(Crashes, RequestsOfTwoTeamsAreDistinct)
{
	Vm vm;

	for (uint32_t incarnation_key = 1; incarnation_key <= 5; incarnation_key++)
		vm.crash(REQUEST, incarnation_key, MINUTE_US);
	EXPECT_TRUE(vm.is_quarantined(REQUEST));
	EXPECT_FALSE(vm.is_quarantined({REQUEST.digest, 2}));
	EXPECT_FALSE(vm.is_quarantined({REQUEST.digest + 1, REQUEST.team}));
}

TEST(Crashes, CrashAfterTheProcessWasSeenAliveIsNotCounted)
{
	Vm vm;

	for (uint32_t incarnation_key = 1; incarnation_key <= 5; incarnation_key++)
	{
		/* The connection broke, but the process served other requests for a second and
		 * crashed afterwards. */
		vm.add_suspect(REQUEST, incarnation_key, MINUTE_US, MINUTE_US);
		comet_crash_tracker_process_crashed(vm.crash_tracker, incarnation_key,
			MINUTE_US + SECOND_US, MINUTE_US + 2 * SECOND_US);
	}
	EXPECT_EQ(comet_crash_tracker_count(vm.crash_tracker).records, 0U);
}

/* Bytes that the process sent on other connections may be read shortly after the attempt ended. */
TEST(Crashes, CrashWithinTheLastSeenMarginCounts)
{
	Vm vm;

	vm.add_suspect(REQUEST, 1, MINUTE_US, MINUTE_US);
	comet_crash_tracker_process_crashed(
		vm.crash_tracker, 1, MINUTE_US + 50000, MINUTE_US + SECOND_US);
	EXPECT_EQ(comet_crash_tracker_count(vm.crash_tracker).records, 1U);
}

TEST(Crashes, PlannedExitIsNotACrash)
{
	Vm vm;

	for (uint32_t incarnation_key = 1; incarnation_key <= 5; incarnation_key++)
	{
		vm.add_suspect(REQUEST, incarnation_key, MINUTE_US, MINUTE_US);
		comet_crash_tracker_process_exited(vm.crash_tracker, incarnation_key);
		comet_crash_tracker_process_crashed(
			vm.crash_tracker, incarnation_key, MINUTE_US, MINUTE_US + SECOND_US);
	}
	EXPECT_FALSE(vm.is_quarantined(REQUEST));
	EXPECT_EQ(comet_crash_tracker_count(vm.crash_tracker).crash_suspects, 0U);
}

/* The end of an attempt may be detected after the crash of its process, as happens with an
 * unresponsive endpoint. */
TEST(Crashes, AttemptThatEndsAfterTheCrashCounts)
{
	Vm vm;

	for (uint32_t incarnation_key = 1; incarnation_key <= 3; incarnation_key++)
	{
		comet_crash_tracker_process_crashed(
			vm.crash_tracker, incarnation_key, MINUTE_US, MINUTE_US + 1);
		vm.add_suspect(REQUEST, incarnation_key, MINUTE_US, MINUTE_US + SECOND_US);
	}
	EXPECT_TRUE(vm.is_quarantined(REQUEST));
}

/* Attempts whose processes may have crashed are taken into account before a request that has
 * crashed an endpoint is sent again. */
TEST(Crashes, RequestIsUndecidedBeforeItIsQuarantined)
{
	Vm vm;

	vm.add_suspect(REQUEST, 2, MINUTE_US, MINUTE_US);
	vm.add_suspect(REQUEST, 3, MINUTE_US, MINUTE_US);
	vm.add_suspect(REQUEST, 4, MINUTE_US, MINUTE_US, true);
	EXPECT_FALSE(comet_crash_tracker_is_undecided(
		vm.crash_tracker, &REQUEST, MINUTE_US)); /* no crash is known */
	vm.crash(REQUEST, 1, MINUTE_US);
	EXPECT_TRUE(comet_crash_tracker_is_undecided(
		vm.crash_tracker, &REQUEST, MINUTE_US + SECOND_US));
	EXPECT_FALSE(vm.is_quarantined(REQUEST));
	EXPECT_FALSE(comet_crash_tracker_is_undecided(
		vm.crash_tracker, &REQUEST, MINUTE_US + 6 * SECOND_US));
}

TEST(Crashes, CancelledAttemptsLeaveNothingUndecided)
{
	Vm vm;

	vm.crash(REQUEST, 1, MINUTE_US);
	for (uint32_t incarnation_key = 2; incarnation_key <= 9; incarnation_key++)
		vm.add_suspect(REQUEST, incarnation_key, MINUTE_US, MINUTE_US, true);
	EXPECT_FALSE(comet_crash_tracker_is_undecided(vm.crash_tracker, &REQUEST, MINUTE_US));
}

TEST(Crashes, CrashLongAfterTheAttemptIsNotCounted)
{
	Vm vm;

	vm.add_suspect(REQUEST, 1, MINUTE_US, MINUTE_US);
	comet_crash_tracker_tick(vm.crash_tracker, MINUTE_US + 20 * SECOND_US);
	comet_crash_tracker_process_crashed(
		vm.crash_tracker, 1, MINUTE_US, MINUTE_US + 21 * SECOND_US);
	EXPECT_EQ(comet_crash_tracker_count(vm.crash_tracker).records, 0U);
}

TEST(Crashes, ServedRequestIsExcused)
{
	Vm vm;

	for (uint32_t incarnation_key = 1; incarnation_key <= 4; incarnation_key++)
		vm.crash(REQUEST, incarnation_key, MINUTE_US);
	ASSERT_TRUE(vm.is_quarantined(REQUEST));
	comet_crash_tracker_mark_served(vm.crash_tracker, &REQUEST, 2 * MINUTE_US, 2 * MINUTE_US);
	EXPECT_FALSE(vm.is_quarantined(REQUEST));
	/* Later crashes count again once the request was not served for a while. */
	for (uint32_t incarnation_key = 11; incarnation_key <= 13; incarnation_key++)
		vm.crash(REQUEST, incarnation_key, 3 * MINUTE_US);
	EXPECT_TRUE(vm.is_quarantined(REQUEST));
}

/* A request that many callers send is running on any endpoint that fails, even on three that fail
 * at the same time. */
TEST(Crashes, RegularlyServedRequestIsNotQuarantined)
{
	Vm vm;

	for (uint32_t incarnation_key = 1; incarnation_key <= 200; incarnation_key++)
	{
		uint64_t now_us = MINUTE_US + incarnation_key * SECOND_US;
		if (incarnation_key % 10 == 1)
			comet_crash_tracker_mark_served(vm.crash_tracker, &REQUEST, now_us, now_us);
		vm.crash(REQUEST, incarnation_key, now_us);
		ASSERT_FALSE(vm.is_quarantined(REQUEST)) << incarnation_key;
	}
}

/* Another VM has served the request, learns of the crashes by gossip, and reports back that they
 * are excused. */
TEST(Crashes, RequestServedByAnotherVmIsExcused)
{
	Vm one;
	Vm two;

	for (uint32_t incarnation_key = 1; incarnation_key <= 3; incarnation_key++)
		one.crash(REQUEST, incarnation_key, MINUTE_US + SECOND_US);
	ASSERT_TRUE(one.is_quarantined(REQUEST));
	comet_crash_tracker_mark_served(two.crash_tracker, &REQUEST,
		MINUTE_US + SECOND_US + SECOND_US / 2, MINUTE_US + 2 * SECOND_US);
	one.gossip_to(two, MINUTE_US + 2 * SECOND_US);
	two.gossip_to(one, MINUTE_US + 3 * SECOND_US);
	EXPECT_FALSE(one.is_quarantined(REQUEST));
	EXPECT_FALSE(two.is_quarantined(REQUEST));
}

/* Requests that run beside the crashing one lose their attempts with the same processes. */
TEST(Crashes, ConcurrentRequestIsNotQuarantined)
{
	Vm vm;
	const comet_fingerprint concurrent = {88, 2};

	for (uint32_t incarnation_key = 1; incarnation_key <= 4; incarnation_key++)
	{
		vm.add_suspect(REQUEST, incarnation_key, MINUTE_US, MINUTE_US);
		if (incarnation_key > 2)
			vm.add_suspect(concurrent, incarnation_key, MINUTE_US, MINUTE_US);
		comet_crash_tracker_process_crashed(
			vm.crash_tracker, incarnation_key, MINUTE_US, MINUTE_US + SECOND_US);
	}
	EXPECT_TRUE(vm.is_quarantined(REQUEST));
	EXPECT_FALSE(vm.is_quarantined(concurrent));
	vm.crash(concurrent, 9, MINUTE_US); /* a third crash with another cause */
	EXPECT_FALSE(vm.is_quarantined(concurrent));
}

/* Each of five VMs has seen some of the crashes. All must reach the same decisions, in whatever
 * order they gossip and however often a message is lost or repeated. */
TEST(Crashes, VmsAgreeInAnyOrderOfGossip)
{
	for (unsigned seed = 1; seed <= 300; seed++)
	{
		std::mt19937 rng(seed);
		std::vector<Vm> vms(5);
		std::vector<comet_fingerprint> requests;
		uint64_t now_us = MINUTE_US;

		for (uint64_t i = 0; i < 8; i++)
			requests.push_back({100 + i, (uint32_t)(i % 3)});
		for (int step = 0; step < 400; step++)
		{
			now_us += 20000;
			Vm &vm = vms[rng() % 5];
			if (rng() % 8 == 0)
				vm.crash(requests[rng() % 8], 1 + rng() % 12, now_us);
			else if (rng() % 60 == 0)
				comet_crash_tracker_mark_served(
					vm.crash_tracker, &requests[rng() % 4], now_us, now_us);
			else
				vm.gossip_to(vms[rng() % 5], now_us);
		}
		for (int round = 0; round < 12; round++)
		{
			now_us += SECOND_US;
			for (Vm &from : vms)
				for (Vm &to : vms)
					from.gossip_to(to, now_us);
		}
		for (const comet_fingerprint &request : requests)
			for (Vm &vm : vms)
				ASSERT_EQ(
					vm.is_quarantined(request), vms[0].is_quarantined(request))
					<< seed << " " << request.digest;
	}
}

/* A VM that starts receives all records, a few in each gossip message. */
TEST(Crashes, StartingVmReceivesAllRecords)
{
	Vm old;
	Vm started;

	for (uint32_t i = 0; i < 300; i++)
		for (uint32_t incarnation_key = 1; incarnation_key <= 3; incarnation_key++)
			old.crash({1000 + i, i % 20}, 10 * i + incarnation_key, MINUTE_US);
	for (uint64_t view = 0; view < 200; view++)
		old.gossip_to(started, 2 * MINUTE_US + view * SECOND_US / 10);
	EXPECT_EQ(comet_crash_tracker_count(started.crash_tracker).quarantined, 300U);
}

/* VMs that report a record to each other for hours must not keep it from expiring. */
TEST(Crashes, RecordExpiresDespiteGossip)
{
	Vm one;
	Vm two;
	uint64_t now_us = MINUTE_US;

	for (uint32_t incarnation_key = 1; incarnation_key <= 3; incarnation_key++)
		one.crash(REQUEST, incarnation_key, now_us);
	for (int i = 0; i < 3590; i++)
	{
		now_us += SECOND_US;
		one.gossip_to(two, now_us);
		two.gossip_to(one, now_us + 900000); /* the message was delayed */
	}
	EXPECT_TRUE(one.is_quarantined(REQUEST));
	for (int i = 0; i < 30; i++)
	{
		now_us += SECOND_US;
		one.gossip_to(two, now_us);
		two.gossip_to(one, now_us);
		comet_crash_tracker_tick(one.crash_tracker, now_us);
		comet_crash_tracker_tick(two.crash_tracker, now_us);
	}
	EXPECT_FALSE(one.is_quarantined(REQUEST));
	EXPECT_FALSE(two.is_quarantined(REQUEST));
}

/* A team at its limit of records has its own evicted, those with the fewest crashes first, and
 * never another team's. */
TEST(Crashes, TeamEvictsOnlyItsOwnRecords)
{
	Vm vm;

	for (uint32_t incarnation_key = 1; incarnation_key <= 3; incarnation_key++)
		vm.crash(REQUEST, incarnation_key, MINUTE_US);
	for (uint32_t i = 0; i < 5000; i++)
		vm.crash({1000 + i, 9}, 100 + i, 2 * MINUTE_US);
	EXPECT_TRUE(vm.is_quarantined(REQUEST));
	EXPECT_LE(comet_crash_tracker_count(vm.crash_tracker).records, 65U);
	for (uint32_t team = 10; team < 90; team++)
		for (uint32_t i = 0; i < 64; i++)
			vm.crash({10000 + i, team}, 100000 + team * 64 + i, 2 * MINUTE_US);
	EXPECT_LE(comet_crash_tracker_count(vm.crash_tracker).records, 4096U);
	EXPECT_TRUE(vm.is_quarantined(REQUEST)); /* records with fewer crashes are evicted first */
}

TEST(Crashes, SuspectsAreBounded)
{
	Vm vm;

	vm.add_suspect(REQUEST, 1, MINUTE_US, MINUTE_US);
	for (uint32_t i = 0; i < 10000; i++)
	{
		const comet_fingerprint other = {i, 9};
		vm.add_suspect(other, 2, MINUTE_US, MINUTE_US);
	}
	EXPECT_LE(comet_crash_tracker_count(vm.crash_tracker).crash_suspects, 257U);
	comet_crash_tracker_process_crashed(vm.crash_tracker, 1, MINUTE_US, MINUTE_US + SECOND_US);
	EXPECT_EQ(comet_crash_tracker_count(vm.crash_tracker).records,
		1U); /* no suspect of another team was evicted */
	for (uint32_t i = 0; i < 10000; i++)
	{
		const comet_fingerprint other = {i, i % 50};
		vm.add_suspect(other, 2, MINUTE_US, MINUTE_US);
	}
	EXPECT_LE(comet_crash_tracker_count(vm.crash_tracker).crash_suspects, 1024U);
}

/* New records of one team do not delay those of another. */
TEST(Crashes, NewRecordsAreSentInTurn)
{
	Vm one;
	Vm two;

	for (uint32_t i = 0; i < 60; i++)
		one.crash({1000 + i, 9}, 100 + i, MINUTE_US);
	for (uint32_t incarnation_key = 1; incarnation_key <= 3; incarnation_key++)
		one.crash(REQUEST, incarnation_key, MINUTE_US);
	for (uint64_t view = 0; view < 30; view++)
		one.gossip_to(two, MINUTE_US + view * SECOND_US / 10);
	EXPECT_TRUE(two.is_quarantined(REQUEST));
}

} // namespace
