/*
 * test_readers.cc
 * who reads the directory for a zone and who follows, in virtual time
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

struct ReadersTest : ::testing::Test
{
	comet_reader_election *reader_election = nullptr;
	comet_reader_election_state sight = {true, false, 60, 5, 100};
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
	tell(uint32_t vm, uint64_t position, uint64_t age_us = 0)
	{
		comet_reader_report report = {vm, position, position, age_us};
		comet_reader_election_report(reader_election, &report, now_us);
	}

	comet_directory_mode
	decide()
	{
		return comet_reader_election_decide(reader_election, &sight, now_us);
	}
};

TEST_F(ReadersTest, ASmallZoneReadsForItself)
{
	tell(1, 100);
	sight.zone_vms = 7;
	EXPECT_EQ(decide(), COMET_DIRECTORY_MODE_DIRECT);
	sight.better = 0;
	EXPECT_EQ(decide(), COMET_DIRECTORY_MODE_DIRECT);
	sight.zone_vms = 8;
	EXPECT_EQ(decide(), COMET_DIRECTORY_MODE_READER);
}

TEST_F(ReadersTest, OnlyTwoReadAndWhoStopsDoesNot)
{
	sight.better = 1;
	EXPECT_EQ(decide(), COMET_DIRECTORY_MODE_READER);
	sight.leaving = true;
	EXPECT_EQ(decide(), COMET_DIRECTORY_MODE_FALLBACK) << "it hears no other reader";
	sight.leaving = false;
	sight.better = 2;
	EXPECT_EQ(decide(), COMET_DIRECTORY_MODE_FALLBACK);
	tell(1, 100);
	EXPECT_EQ(decide(), COMET_DIRECTORY_MODE_FOLLOWER);
	sight.listed = false;
	EXPECT_EQ(decide(), COMET_DIRECTORY_MODE_DIRECT) << "the first list is its own";
}

/* Readers that are killed, frozen, or cut off say nothing; those that only the directory is cut off
 * from say that it has not answered. */
TEST_F(ReadersTest, WhoHearsNoFreshReaderReadsWithinASecondAndAPart)
{
	tell(1, 100);
	for (int i = 0; i < 20; i++, now_us += 100 * ms)
	{
		tell(1, 100);
		EXPECT_EQ(decide(), COMET_DIRECTORY_MODE_FOLLOWER);
	}
	uint64_t last_us = now_us - 100 * ms;
	while (decide() == COMET_DIRECTORY_MODE_FOLLOWER && now_us < last_us + 5000 * ms)
		now_us += 10 * ms;
	EXPECT_GE(now_us - last_us, 1000 * ms);
	EXPECT_LE(now_us - last_us, 1300 * ms);
	tell(1, 100, 1500 * ms);
	EXPECT_EQ(decide(), COMET_DIRECTORY_MODE_FALLBACK)
		<< "the directory has not answered it of late";
	tell(2, 100, 200 * ms);
	EXPECT_EQ(decide(), COMET_DIRECTORY_MODE_FOLLOWER);
}

TEST(Readers, HundredsThatLoseTheirReadersAreDrawnApart)
{
	std::set<uint64_t> times;
	for (uint64_t vm = 1; vm <= 100; vm++)
	{
		comet_reader_election *reader_election =
			comet_reader_election_create(nullptr, 1000 * ms, vm);
		comet_reader_report report = {1, 100, 100, 0};
		comet_reader_election_state sight = {true, false, 60, 5, 100};
		uint64_t now_us = 50000000;
		comet_reader_election_report(reader_election, &report, now_us);
		while (comet_reader_election_decide(reader_election, &sight, now_us) ==
			COMET_DIRECTORY_MODE_FOLLOWER)
			now_us += 10 * ms;
		times.insert(now_us);
		talloc_free(reader_election);
	}
	EXPECT_GE(times.size(), 20U);
}

/* A reader that tells of what it does not hand out, or that nobody wrote. */
TEST_F(ReadersTest, WhoIsLeftBehindReadsForItself)
{
	tell(1, 200);
	EXPECT_EQ(decide(), COMET_DIRECTORY_MODE_FOLLOWER);
	EXPECT_EQ(comet_reader_election_ahead(reader_election, 100, now_us), 1U);
	for (int i = 0; i < 6; i++, now_us += 100 * ms)
	{
		tell(1, 200);
		EXPECT_EQ(decide(), COMET_DIRECTORY_MODE_FOLLOWER);
	}
	tell(1, 200);
	EXPECT_EQ(decide(), COMET_DIRECTORY_MODE_FALLBACK);
	sight.position = 200;
	EXPECT_EQ(decide(), COMET_DIRECTORY_MODE_FOLLOWER);
	EXPECT_EQ(comet_reader_election_ahead(reader_election, 200, now_us), 0U);
	comet_reader_election_failed(reader_election, now_us);
	EXPECT_EQ(decide(), COMET_DIRECTORY_MODE_FALLBACK);
	now_us += 1000 * ms;
	tell(1, 200);
	EXPECT_EQ(decide(), COMET_DIRECTORY_MODE_FOLLOWER);
}

TEST_F(ReadersTest, TheOneThatHasReadMostIsAskedAndOldOnesAreForgotten)
{
	for (uint32_t vm = 1; vm <= 20; vm++)
	{
		tell(vm, 100 + vm);
		now_us += 10 * ms;
	}
	EXPECT_EQ(comet_reader_election_ahead(reader_election, 100, now_us), 20U);
	tell(3, 300);
	EXPECT_EQ(comet_reader_election_ahead(reader_election, 100, now_us), 3U);
	now_us += 1000 * ms;
	EXPECT_EQ(comet_reader_election_ahead(reader_election, 100, now_us), 0U);
}

/* Followers asked any reader for a document, half of them the one that had not read it, and then
 * read the directory themselves. */
TEST_F(ReadersTest, WhoHasNotReadThatFarIsNotPicked)
{
	tell(1, 200);
	tell(2, 100);
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

/* A reader told of endpoints while an older document was on its way to it. */
TEST_F(ReadersTest, AReaderIsAheadByADocumentAlone)
{
	comet_reader_report report = {1, 200, 150, 0};
	comet_reader_election_report(reader_election, &report, now_us);
	EXPECT_EQ(comet_reader_election_ahead(reader_election, 200, now_us), 0U);
	EXPECT_EQ(comet_reader_election_ahead_complete(reader_election, 150, now_us), 0U);
	report.complete = 200;
	comet_reader_election_report(reader_election, &report, now_us);
	EXPECT_EQ(comet_reader_election_ahead(reader_election, 200, now_us), 0U);
	EXPECT_EQ(comet_reader_election_ahead_complete(reader_election, 150, now_us), 1U);
	sight.position = 200;
	for (int i = 0; i < 20; i++, now_us += 100 * ms)
	{
		comet_reader_election_report(reader_election, &report, now_us);
		EXPECT_EQ(decide(), COMET_DIRECTORY_MODE_FOLLOWER) << "a document may take long";
	}
}

} // namespace
