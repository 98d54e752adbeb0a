/*
 * test_reader_election.cc
 * tests of the reader election of a zone, in virtual time
 */
#include <gtest/gtest.h>

extern "C"
{
#include <libcometspindle/gateway/fleet/reader_election.h>
}
#include <set>
#include <talloc.h>
#include <vector>

namespace
{

constexpr uint64_t ms = 1000;

struct ReaderElectionTest : ::testing::Test
{
	comet_reader_election *reader_election = nullptr;
	comet_reader_election_state state = {true, false, 60, 5, 100, 50000 * ms, false};
	uint64_t now_us = 50000000;

	void
	SetUp() override
	{
		reader_election = comet_reader_election_create(nullptr, 1000 * ms, 7);
	}

	void
	TearDown() override
	{
		talloc_free(reader_election);
	}

	void
	add_report(uint32_t vm, uint64_t position, uint64_t age_us = 0)
	{
		comet_reader_report report = {vm, position, position, age_us};
		comet_reader_election_report(reader_election, &report, now_us);
	}

	comet_directory_mode
	decide()
	{
		return comet_reader_election_decide(reader_election, &state, now_us);
	}
};

TEST_F(ReaderElectionTest, VmsOfASmallZoneReadDirectly)
{
	add_report(1, 100);
	state.zone_vms = 7;
	EXPECT_EQ(decide(), COMET_DIRECTORY_MODE_DIRECT);
	state.preferred = 0;
	EXPECT_EQ(decide(), COMET_DIRECTORY_MODE_DIRECT);
	state.zone_vms = 8;
	EXPECT_EQ(decide(), COMET_DIRECTORY_MODE_READER);
}

TEST_F(ReaderElectionTest, TwoVmsAreReadersUnlessTheyStop)
{
	state.preferred = 1;
	EXPECT_EQ(decide(), COMET_DIRECTORY_MODE_READER);
	state.leaving = true;
	EXPECT_EQ(decide(), COMET_DIRECTORY_MODE_FALLBACK) << "it has no report of another reader";
	state.leaving = false;
	state.preferred = 2;
	EXPECT_EQ(decide(), COMET_DIRECTORY_MODE_FALLBACK);
	add_report(1, 100);
	EXPECT_EQ(decide(), COMET_DIRECTORY_MODE_FOLLOWER);
	state.has_list = false;
	EXPECT_EQ(decide(), COMET_DIRECTORY_MODE_DIRECT) << "a VM reads the first list itself";
}

/* Readers that are killed, frozen or partitioned send no reports. Readers that are partitioned only
 * from the directory report that it has not answered. */
TEST_F(ReaderElectionTest, FallsBackWithinJitterWithoutAFreshReport)
{
	add_report(1, 100);
	for (int i = 0; i < 20; i++, now_us += 100 * ms)
	{
		add_report(1, 100);
		EXPECT_EQ(decide(), COMET_DIRECTORY_MODE_FOLLOWER);
	}
	uint64_t last_us = now_us - 100 * ms;
	while (decide() == COMET_DIRECTORY_MODE_FOLLOWER && now_us < last_us + 5000 * ms)
		now_us += 10 * ms;
	EXPECT_GE(now_us - last_us, 1000 * ms);
	EXPECT_LE(now_us - last_us, 1300 * ms);
	add_report(1, 100, 1500 * ms);
	EXPECT_EQ(decide(), COMET_DIRECTORY_MODE_FALLBACK)
		<< "the directory has not answered the reader recently";
	add_report(2, 100, 200 * ms);
	EXPECT_EQ(decide(), COMET_DIRECTORY_MODE_FOLLOWER);
}

TEST(ReaderElection, JitterSpreadsTheFallbackOfManyVms)
{
	std::set<uint64_t> times;
	for (uint64_t vm = 1; vm <= 100; vm++)
	{
		comet_reader_election *reader_election =
			comet_reader_election_create(nullptr, 1000 * ms, vm);
		comet_reader_report report = {1, 100, 100, 0};
		comet_reader_election_state state = {true, false, 60, 5, 100, 50000 * ms, false};
		uint64_t now_us = 50000000;
		comet_reader_election_report(reader_election, &report, now_us);
		while (comet_reader_election_decide(reader_election, &state, now_us) ==
			COMET_DIRECTORY_MODE_FOLLOWER)
			now_us += 10 * ms;
		times.insert(now_us);
		talloc_free(reader_election);
	}
	EXPECT_GE(times.size(), 20U);
}

/* A reader reports positions that it does not provide, or that do not exist. */
TEST_F(ReaderElectionTest, FallsBackIfAReaderStaysAhead)
{
	add_report(1, 200);
	EXPECT_EQ(decide(), COMET_DIRECTORY_MODE_FOLLOWER);
	EXPECT_EQ(comet_reader_election_find_ahead(reader_election, 100, now_us), 1U);
	for (int i = 0; i < 6; i++, now_us += 100 * ms)
	{
		add_report(1, 200);
		EXPECT_EQ(decide(), COMET_DIRECTORY_MODE_FOLLOWER);
	}
	add_report(1, 200);
	EXPECT_EQ(decide(), COMET_DIRECTORY_MODE_FALLBACK);
	state.position = 200;
	EXPECT_EQ(decide(), COMET_DIRECTORY_MODE_FOLLOWER);
	EXPECT_EQ(comet_reader_election_find_ahead(reader_election, 200, now_us), 0U);
	comet_reader_election_report_failure(reader_election, now_us);
	EXPECT_EQ(decide(), COMET_DIRECTORY_MODE_FALLBACK);
	now_us += 1000 * ms;
	add_report(1, 200);
	EXPECT_EQ(decide(), COMET_DIRECTORY_MODE_FOLLOWER);
}

TEST_F(ReaderElectionTest, TheFurthestReaderIsAheadAndStaleReportsExpire)
{
	for (uint32_t vm = 1; vm <= 20; vm++)
	{
		add_report(vm, 100 + vm);
		now_us += 10 * ms;
	}
	EXPECT_EQ(comet_reader_election_find_ahead(reader_election, 100, now_us), 20U);
	add_report(3, 300);
	EXPECT_EQ(comet_reader_election_find_ahead(reader_election, 100, now_us), 3U);
	now_us += 1000 * ms;
	EXPECT_EQ(comet_reader_election_find_ahead(reader_election, 100, now_us), 0U);
}

/* Followers requested a document from any reader, in half of the cases from one that had not read
 * it, and then read the directory themselves. */
TEST_F(ReaderElectionTest, ReadersBehindThePositionAreNotPicked)
{
	add_report(1, 200);
	add_report(2, 100);
	std::set<uint32_t> picked;
	for (int i = 0; i < 50; i++)
		picked.insert(comet_reader_election_pick(reader_election, 150, now_us));
	EXPECT_EQ(picked, std::set<uint32_t>{1U});
	picked.clear();
	for (int i = 0; i < 50; i++)
		picked.insert(comet_reader_election_pick(reader_election, 100, now_us));
	EXPECT_EQ(picked, (std::set<uint32_t>{1U, 2U}));
	EXPECT_EQ(comet_reader_election_pick(reader_election, 201, now_us), 0U);
	now_us += 1000 * ms;
	EXPECT_EQ(comet_reader_election_pick(reader_election, 100, now_us), 0U);
}

/* A reader reported its endpoints while it only had an older routing document. */
TEST_F(ReaderElectionTest, AReaderMayBeAheadByADocumentOnly)
{
	comet_reader_report report = {1, 200, 150, 0};
	comet_reader_election_report(reader_election, &report, now_us);
	EXPECT_EQ(comet_reader_election_find_ahead(reader_election, 200, now_us), 0U);
	EXPECT_EQ(comet_reader_election_find_complete(reader_election, 150, now_us), 0U);
	report.complete = 200;
	comet_reader_election_report(reader_election, &report, now_us);
	EXPECT_EQ(comet_reader_election_find_ahead(reader_election, 200, now_us), 0U);
	EXPECT_EQ(comet_reader_election_find_complete(reader_election, 150, now_us), 1U);
	state.position = 200;
	for (int i = 0; i < 20; i++, now_us += 100 * ms)
	{
		comet_reader_election_report(reader_election, &report, now_us);
		EXPECT_EQ(decide(), COMET_DIRECTORY_MODE_FOLLOWER)
			<< "a document may take a long time to arrive";
	}
}

/* 585 VMs that started together read each of 15 pages once each. */
TEST_F(ReaderElectionTest, AVmThatStartsWaitsForASnapshotUnlessItIsAReader)
{
	state.has_list = false;
	state.zone_vms = 1;
	state.preferred = 0;
	state.age_us = 0;
	EXPECT_EQ(decide(), COMET_DIRECTORY_MODE_WAITING) << "other VMs may be found";
	state.age_us = 1000 * ms;
	state.zone_vms = 60;
	state.preferred = 2;
	EXPECT_EQ(decide(), COMET_DIRECTORY_MODE_WAITING);
	state.has_list = true;
	add_report(1, 100);
	EXPECT_EQ(decide(), COMET_DIRECTORY_MODE_FOLLOWER);
	state.has_list = false;
	EXPECT_EQ(decide(), COMET_DIRECTORY_MODE_DIRECT)
		<< "a wait that is over does not begin again";
}

TEST_F(ReaderElectionTest, AReaderThatStartsReadsOnceOtherVmsAreFound)
{
	state.has_list = false;
	state.preferred = 1;
	state.age_us = 700 * ms;
	EXPECT_EQ(decide(), COMET_DIRECTORY_MODE_WAITING);
	state.age_us = 900 * ms;
	EXPECT_EQ(decide(), COMET_DIRECTORY_MODE_DIRECT);
}

TEST_F(ReaderElectionTest, AVmWithoutOtherVmsReadsAtOnce)
{
	state = {false, false, 1, 0, 0, 0, true};
	EXPECT_EQ(decide(), COMET_DIRECTORY_MODE_DIRECT);
}

TEST_F(ReaderElectionTest, AVmOfASmallZoneReadsOnceOtherVmsAreFound)
{
	state.has_list = false;
	state.zone_vms = 7;
	state.age_us = 900 * ms;
	EXPECT_EQ(decide(), COMET_DIRECTORY_MODE_DIRECT);
}

TEST(ReaderElection, AVmThatGetsNoSnapshotReadsByItself)
{
	std::set<uint64_t> ends_ms;

	for (uint64_t seed = 0; seed < 40; seed++)
	{
		comet_reader_election *election =
			comet_reader_election_create(nullptr, 1000 * ms, seed);
		comet_reader_election_state state = {false, false, 60, 5, 0, 0, false};
		while (comet_reader_election_decide(election, &state, state.age_us) ==
			COMET_DIRECTORY_MODE_WAITING)
			state.age_us += 10 * ms;
		ends_ms.insert(state.age_us / ms);
		EXPECT_GE(state.age_us, 4000 * ms);
		EXPECT_LE(state.age_us, 6010 * ms);
		talloc_free(election);
	}
	EXPECT_GT(ends_ms.size(), 20U) << "not all at the same time";
}

} // namespace
