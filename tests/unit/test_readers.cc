/*
 * test_readers.cc
 * who reads the directory for a zone and who follows, in virtual time
 */
#include <gtest/gtest.h>

extern "C"
{
#include <libcometspindle/gateway/fleet/readers.h>
}
#include <set>
#include <talloc.h>
#include <vector>

namespace
{

constexpr uint64_t ms = 1000;

struct ReadersTest : ::testing::Test
{
	comet_readers *readers = nullptr;
	comet_readers_sight sight = {true, false, 60, 5, 100};
	uint64_t now_us = 50000000;

	void
	SetUp() override
	{
		readers = comet_readers_create(nullptr, 1000 * ms, 7);
	}

	void
	TearDown() override
	{
		talloc_free(readers);
	}

	void
	tell(uint32_t vm, uint64_t position, uint64_t age_us = 0)
	{
		comet_reader_report report = {vm, position, position, age_us};
		comet_readers_report(readers, &report, now_us);
	}

	comet_directory_reading
	decide()
	{
		return comet_readers_decide(readers, &sight, now_us);
	}
};

TEST_F(ReadersTest, ASmallZoneReadsForItself)
{
	tell(1, 100);
	sight.zone_vms = 7;
	EXPECT_EQ(decide(), COMET_DIRECTORY_READS);
	sight.better = 0;
	EXPECT_EQ(decide(), COMET_DIRECTORY_READS);
	sight.zone_vms = 8;
	EXPECT_EQ(decide(), COMET_DIRECTORY_READS_FOR_OTHERS);
}

TEST_F(ReadersTest, OnlyTwoReadAndWhoStopsDoesNot)
{
	sight.better = 1;
	EXPECT_EQ(decide(), COMET_DIRECTORY_READS_FOR_OTHERS);
	sight.leaving = true;
	EXPECT_EQ(decide(), COMET_DIRECTORY_READS_MEANWHILE) << "it hears no other reader";
	sight.leaving = false;
	sight.better = 2;
	EXPECT_EQ(decide(), COMET_DIRECTORY_READS_MEANWHILE);
	tell(1, 100);
	EXPECT_EQ(decide(), COMET_DIRECTORY_FOLLOWS);
	sight.listed = false;
	EXPECT_EQ(decide(), COMET_DIRECTORY_READS) << "the first list is its own";
}

/* Readers that are killed, frozen, or cut off say nothing; those that only the directory is cut off
 * from say that it has not answered. */
TEST_F(ReadersTest, WhoHearsNoFreshReaderReadsWithinASecondAndAPart)
{
	tell(1, 100);
	for (int i = 0; i < 20; i++, now_us += 100 * ms)
	{
		tell(1, 100);
		EXPECT_EQ(decide(), COMET_DIRECTORY_FOLLOWS);
	}
	uint64_t last_us = now_us - 100 * ms;
	while (decide() == COMET_DIRECTORY_FOLLOWS && now_us < last_us + 5000 * ms)
		now_us += 10 * ms;
	EXPECT_GE(now_us - last_us, 1000 * ms);
	EXPECT_LE(now_us - last_us, 1300 * ms);
	tell(1, 100, 1500 * ms);
	EXPECT_EQ(decide(), COMET_DIRECTORY_READS_MEANWHILE)
		<< "the directory has not answered it of late";
	tell(2, 100, 200 * ms);
	EXPECT_EQ(decide(), COMET_DIRECTORY_FOLLOWS);
}

TEST(Readers, HundredsThatLoseTheirReadersAreDrawnApart)
{
	std::set<uint64_t> times;
	for (uint64_t vm = 1; vm <= 100; vm++)
	{
		comet_readers *readers = comet_readers_create(nullptr, 1000 * ms, vm);
		comet_reader_report report = {1, 100, 100, 0};
		comet_readers_sight sight = {true, false, 60, 5, 100};
		uint64_t now_us = 50000000;
		comet_readers_report(readers, &report, now_us);
		while (comet_readers_decide(readers, &sight, now_us) == COMET_DIRECTORY_FOLLOWS)
			now_us += 10 * ms;
		times.insert(now_us);
		talloc_free(readers);
	}
	EXPECT_GE(times.size(), 20U);
}

/* A reader that tells of what it does not hand out, or that nobody wrote. */
TEST_F(ReadersTest, WhoIsLeftBehindReadsForItself)
{
	tell(1, 200);
	EXPECT_EQ(decide(), COMET_DIRECTORY_FOLLOWS);
	EXPECT_EQ(comet_readers_ahead(readers, 100, now_us), 1U);
	for (int i = 0; i < 6; i++, now_us += 100 * ms)
	{
		tell(1, 200);
		EXPECT_EQ(decide(), COMET_DIRECTORY_FOLLOWS);
	}
	tell(1, 200);
	EXPECT_EQ(decide(), COMET_DIRECTORY_READS_MEANWHILE);
	sight.position = 200;
	EXPECT_EQ(decide(), COMET_DIRECTORY_FOLLOWS);
	EXPECT_EQ(comet_readers_ahead(readers, 200, now_us), 0U);
	comet_readers_failed(readers, now_us);
	EXPECT_EQ(decide(), COMET_DIRECTORY_READS_MEANWHILE);
	now_us += 1000 * ms;
	tell(1, 200);
	EXPECT_EQ(decide(), COMET_DIRECTORY_FOLLOWS);
}

TEST_F(ReadersTest, TheOneThatHasReadMostIsAskedAndOldOnesAreForgotten)
{
	for (uint32_t vm = 1; vm <= 20; vm++)
	{
		tell(vm, 100 + vm);
		now_us += 10 * ms;
	}
	EXPECT_EQ(comet_readers_ahead(readers, 100, now_us), 20U);
	tell(3, 300);
	EXPECT_EQ(comet_readers_ahead(readers, 100, now_us), 3U);
	now_us += 1000 * ms;
	EXPECT_EQ(comet_readers_ahead(readers, 100, now_us), 0U);
}

/* Followers asked any reader for a document, half of them the one that had not read it, and then
 * read the directory themselves. */
TEST_F(ReadersTest, WhoHasNotReadThatFarIsNotPicked)
{
	tell(1, 200);
	tell(2, 100);
	std::set<uint32_t> picked;
	for (int i = 0; i < 50; i++)
		picked.insert(comet_readers_pick(readers, 150, now_us));
	EXPECT_EQ(picked, std::set<uint32_t>{1U});
	picked.clear();
	for (int i = 0; i < 50; i++)
		picked.insert(comet_readers_pick(readers, 100, now_us));
	EXPECT_EQ(picked, (std::set<uint32_t>{1U, 2U}));
	EXPECT_EQ(comet_readers_pick(readers, 201, now_us), 0U);
	now_us += 1000 * ms;
	EXPECT_EQ(comet_readers_pick(readers, 100, now_us), 0U);
}

/* A reader told of endpoints while an older document was on its way to it. */
TEST_F(ReadersTest, AReaderIsAheadByADocumentAlone)
{
	comet_reader_report report = {1, 200, 150, 0};
	comet_readers_report(readers, &report, now_us);
	EXPECT_EQ(comet_readers_ahead(readers, 200, now_us), 0U);
	EXPECT_EQ(comet_readers_ahead_complete(readers, 150, now_us), 0U);
	report.complete = 200;
	comet_readers_report(readers, &report, now_us);
	EXPECT_EQ(comet_readers_ahead(readers, 200, now_us), 0U);
	EXPECT_EQ(comet_readers_ahead_complete(readers, 150, now_us), 1U);
	sight.position = 200;
	for (int i = 0; i < 20; i++, now_us += 100 * ms)
	{
		comet_readers_report(readers, &report, now_us);
		EXPECT_EQ(decide(), COMET_DIRECTORY_FOLLOWS) << "a document may take long";
	}
}

} // namespace
