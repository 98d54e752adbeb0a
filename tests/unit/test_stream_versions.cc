/*
 * test_stream_versions.cc
 * records of the versions of streams, lookups at other VMs, and the history of a service's versions
 */
#include "grants_fleet.h"

extern "C"
{
#include <libcometspindle/gateway/endpoints/version_history.h>
#include <libcometspindle/gateway/streams/stream_lookups.h>
#include <libcometspindle/gateway/streams/stream_versions.h>
}

using namespace grants_fleet;

namespace
{

constexpr uint64_t ms = 1000;

TEST(StreamVersions, ARecordKeepsItsVersionUntilItExpires)
{
	comet_stream_versions *versions = comet_stream_versions_create(nullptr);
	comet_stream_version begun = {comet_stream_key("a"), 1, 7, 100 * ms};

	ASSERT_NE(comet_stream_versions_add(versions, &begun), nullptr);
	comet_stream_version later = {begun.stream, 2, 8, 200 * ms};
	ASSERT_NE(comet_stream_versions_add(versions, &later), nullptr);
	EXPECT_EQ(comet_stream_versions_find(versions, comet_stream_key("b"), 0), nullptr);
	const comet_stream_version *found =
		comet_stream_versions_find(versions, begun.stream, 150 * ms);
	ASSERT_NE(found, nullptr) << "a resume extends the time";
	EXPECT_EQ(found->version_id, 1U);
	EXPECT_EQ(comet_stream_versions_find(versions, begun.stream, 200 * ms), nullptr);
	comet_stream_versions_expire(versions, 200 * ms);
	EXPECT_EQ(comet_stream_versions_count(versions), 0U);
	talloc_free(versions);
}

TEST(StreamVersions, TheNumberOfRecordsIsBounded)
{
	comet_stream_versions *versions = comet_stream_versions_create(nullptr);

	for (uint64_t stream = 1; stream <= COMET_STREAM_VERSIONS_MAX; stream++)
	{
		comet_stream_version begun = {stream, 1, 7, 100 * ms};
		ASSERT_NE(comet_stream_versions_add(versions, &begun), nullptr);
	}
	comet_stream_version one_more = {COMET_STREAM_VERSIONS_MAX + 1, 1, 7, 100 * ms};
	EXPECT_EQ(comet_stream_versions_add(versions, &one_more), nullptr);
	comet_stream_versions_expire(versions, 100 * ms);
	EXPECT_NE(comet_stream_versions_add(versions, &one_more), nullptr);
	talloc_free(versions);
}

TEST(VersionHistory, StartsAgainWithEachChange)
{
	comet_version_history *history = comet_version_history_create(nullptr);

	EXPECT_EQ(comet_version_history_only(history, 1).version_id, 0U);
	comet_version_history_add(history, 10);
	comet_version_history_add(history, 10);
	EXPECT_EQ(comet_version_history_only(history, 2).version_id, 10U);
	EXPECT_EQ(comet_version_history_only(history, 9).since_us, 2U);
	comet_version_history_add(history, 20);
	EXPECT_TRUE(comet_version_history_only(history, 10).several);
	comet_version_history_remove(history, 20);
	EXPECT_EQ(comet_version_history_only(history, 11).since_us, 11U);
	comet_version_history_remove(history, 10);
	comet_version_history_remove(history, 10);
	EXPECT_FALSE(comet_version_history_only(history, 12).several);
	comet_version_history_add(history, 10);
	EXPECT_EQ(comet_version_history_only(history, 13).since_us, 11U)
		<< "no other version was known in between";
	comet_version_history_remove(history, 10);
	comet_version_history_add(history, 20);
	EXPECT_EQ(comet_version_history_only(history, 14).since_us, 14U);
	talloc_free(history);
}

/* VMs that look up streams at each other. */
struct lookup_vm
{
	std::map<uint32_t, lookup_vm> *all = nullptr;
	uint32_t address = 0;
	bool reachable = true;
	uint32_t version_id = 0; /* of every stream; 0: not known */
	uint32_t only_version_id = 0;
	bool several = false;
	int requests = 0;
	int ended = 0;
	comet_stream_lookup_result result = {};
	comet_stream_lookups *lookups = nullptr;

	static void
	on_send(void *ctx, uint32_t address, const uint8_t *data, size_t length)
	{
		auto *one = static_cast<lookup_vm *>(ctx);
		comet_Datagram datagram;
		ASSERT_TRUE(comet_datagram_decode(data, length, &datagram));
		lookup_vm &to = (*one->all)[address];
		if (to.reachable && to.lookups != nullptr)
		{
			EXPECT_TRUE(comet_stream_lookups_receive(to.lookups, &datagram));
		}
	}

	static void
	on_ended(void *ctx, void *, const comet_stream_lookup_result *result)
	{
		auto *one = static_cast<lookup_vm *>(ctx);
		one->ended++;
		one->result = *result;
	}

	static void
	on_answer(void *ctx, const comet_StreamAsk *, comet_StreamAnswer *answer)
	{
		auto *one = static_cast<lookup_vm *>(ctx);
		one->requests++;
		answer->version = one->version_id;
		answer->only_version = one->only_version_id;
		answer->only_ms = 1000 * one->address;
		answer->several = one->several;
	}
};

class StreamLookups : public ::testing::Test
{
      protected:
	std::map<uint32_t, lookup_vm> vms;
	const uint32_t asked[3] = {2, 3, 4};

	void
	SetUp() override
	{
		static const comet_stream_lookups_ops ops = {
			lookup_vm::on_send, lookup_vm::on_ended, lookup_vm::on_answer};
		for (uint32_t i = 1; i <= 4; i++)
		{
			vms[i].all = &vms;
			vms[i].address = i;
			vms[i].lookups = comet_stream_lookups_create(nullptr, i, &ops, &vms[i]);
		}
	}

	void
	TearDown() override
	{
		for (auto &one : vms)
			talloc_free(one.second.lookups);
	}

	const comet_stream_lookup_result &
	look_up()
	{
		comet_stream_lookups_start(vms[1].lookups, this, 77, 5, asked, 3, 1000 * ms);
		return vms[1].result;
	}
};

TEST_F(StreamLookups, OneVmThatKnowsTheVersionIsEnough)
{
	vms[4].version_id = 9;
	vms[2].reachable = false;
	const comet_stream_lookup_result &result = look_up();
	EXPECT_EQ(vms[1].ended, 1);
	EXPECT_EQ(result.version_id, 9U);
	EXPECT_FALSE(comet_stream_lookups_tick(vms[1].lookups, 1050 * ms));
}

TEST_F(StreamLookups, VmsThatDoNotAnswerAreAskedAgainAndThenGivenUp)
{
	vms[3].reachable = false;
	const comet_stream_lookup_result &result = look_up();
	EXPECT_EQ(vms[1].ended, 0);
	EXPECT_TRUE(comet_stream_lookups_tick(vms[1].lookups, 1100 * ms));
	EXPECT_EQ(vms[2].requests, 1) << "it has answered";
	EXPECT_FALSE(comet_stream_lookups_tick(vms[1].lookups, 1400 * ms));
	EXPECT_EQ(vms[1].ended, 1);
	EXPECT_EQ(result.version_id, 0U);
	EXPECT_EQ(result.answered, 2U);
}

TEST_F(StreamLookups, ALostAnswerIsRepeated)
{
	vms[1].reachable = false;
	vms[3].version_id = 9;
	look_up();
	vms[1].reachable = true;
	EXPECT_TRUE(comet_stream_lookups_tick(vms[1].lookups, 1050 * ms));
	EXPECT_FALSE(comet_stream_lookups_tick(vms[1].lookups, 1100 * ms));
	EXPECT_EQ(vms[1].result.version_id, 9U);
}

TEST_F(StreamLookups, VmsReportWhatTheyKnowOfTheService)
{
	for (uint32_t vm : asked)
		vms[vm].only_version_id = 9;
	EXPECT_EQ(look_up().only_version_id, 9U);
	EXPECT_EQ(vms[1].result.only_us, 4000 * ms) << "the longest time counts";
	EXPECT_FALSE(vms[1].result.several);
	vms[3].only_version_id = 8;
	EXPECT_TRUE(look_up().several);
	vms[3].only_version_id = 0;
	vms[3].several = true;
	EXPECT_TRUE(look_up().several);
}

TEST_F(StreamLookups, ACancelledLookupIsNotEnded)
{
	vms[2].reachable = false;
	look_up();
	comet_stream_lookups_cancel(vms[1].lookups, this);
	EXPECT_FALSE(comet_stream_lookups_tick(vms[1].lookups, 5000 * ms));
	EXPECT_EQ(vms[1].ended, 0);
}

/* Whichever VM the caller returns to, it asks a VM that keeps a copy, as long as one of them is
 * left. */
TEST(StreamOwners, AnyVmAsksAVmThatKeepsACopy)
{
	fleet all(9, 1);
	for (uint64_t stream = 1; stream <= 200; stream++)
	{
		uint32_t owners[COMET_GOSSIP_STREAM_COPIES];
		comet_gossip_pick_stream_owners(all.vms[1].gossip, stream, owners);
		EXPECT_NE(owners[0], owners[1]);
		for (uint32_t vm = 2; vm <= 9; vm++)
		{
			uint32_t list[COMET_STREAM_LOOKUP_VMS_MAX];
			uint32_t count = comet_gossip_list_stream_owners(
				all.vms[vm].gossip, stream, list, COMET_STREAM_LOOKUP_VMS_MAX);
			std::set<uint32_t> holders(list, list + count);
			holders.insert(vm);
			EXPECT_EQ(count, 3U) << "in each zone";
			EXPECT_TRUE(holders.count(owners[0]) || holders.count(owners[1]));
		}
	}
}

TEST(StreamOwners, VmsOfEarlierReleasesKeepNoStreams)
{
	fleet all(1, 1);
	all.on_mail = [](mail &one)
	{
		comet_Datagram datagram;
		uint8_t data[COMET_DATAGRAM_BYTES_MAX];
		ASSERT_TRUE(comet_datagram_decode(
			(const uint8_t *)one.bytes.data(), one.bytes.size(), &datagram));
		if (datagram.which_body == comet_Datagram_view_tag)
			datagram.body.view.stores_streams = one.from != 2;
		size_t length = comet_datagram_encode(&datagram, data);
		one.bytes.assign((const char *)data, length);
	};
	all.start(2, 1);
	all.start(3, 1);
	all.pass(2000000);
	for (uint64_t stream = 1; stream <= 50; stream++)
	{
		uint32_t owners[COMET_GOSSIP_STREAM_COPIES];
		comet_gossip_pick_stream_owners(all.vms[1].gossip, stream, owners);
		EXPECT_EQ(owners[0], 3U);
		EXPECT_EQ(owners[1], 0U);
	}
	EXPECT_FALSE(comet_gossip_stores_streams(all.vms[1].gossip, 2));
}

} // namespace
