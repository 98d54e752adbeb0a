/*
 * test_incarnations.cc
 * servers that restart under their ids, and entries of other writers, in any order of arrival
 */
#include <gtest/gtest.h>

extern "C"
{
#include <libcometspindle/gateway/endpoints/incarnations.h>
#include <platform/replica.h>
#include <platform/server_entry.h>
}
#include <algorithm>
#include <string>
#include <talloc.h>
#include <vector>

namespace
{

/* Returns a server's entry; process_start_ms 0: without a process start. */
std::string
entry(uint64_t process_start_ms, const char *state)
{
	return std::string("{\"service\":\"x\",\"address\":\"10.0.0.1:80\",\"zone\":\"a\","
			   "\"version\":\"v1\",\"slots\":4,\"warmup_left_ms\":0,\"sequence\":1,"
			   "\"state\":\"") +
	       state + "\"" +
	       (process_start_ms != 0 ? ",\"born\":" + std::to_string(process_start_ms) : "") + "}";
}

const std::string first_ready = entry(1000, "ready");
const std::string first_draining = entry(1000, "draining");
const std::string second_ready = entry(2000, "ready");
const std::string foreign = entry(2000, "somewhere");
const std::string without_start = entry(0, "ready");

/* A VM with its store replica and the endpoints that it knows from it. */
struct reader
{
	comet_instances *instances = comet_instances_create(nullptr, "a");
	comet_incarnations *incarnations = comet_incarnations_create(instances);
	comet_replica *replica;
	int start_regressions = 0;

	reader()
	{
		static const comet_replica_events events = {put, removed, nullptr, nullptr};
		replica = comet_replica_create(instances, &events, this);
	}

	~reader()
	{
		talloc_free(instances);
	}

	static void
	apply(void *ctx, const comet_instance_record *record)
	{
		auto *self = static_cast<reader *>(ctx);
		uint64_t before = comet_incarnations_start_ms(self->incarnations, "i");
		enum comet_incarnation_order order =
			comet_incarnations_observe(self->incarnations, record, 1);
		if (order == COMET_INCARNATION_LATEST)
			comet_instances_update(self->instances, record, 1);
		else if (order == COMET_INCARNATION_UNSPECIFIED)
			comet_instances_remove(self->instances, "i");
		/* the process start must never decrease */
		self->start_regressions +=
			comet_incarnations_start_ms(self->incarnations, "i") < before ? 1 : 0;
	}

	static void
	put(void *ctx, const comet_store_item *item)
	{
		if (!comet_platform_parse_server(
			    "i", item->value, item->length, apply, ctx, nullptr))
			comet_instances_remove(static_cast<reader *>(ctx)->instances, "i");
	}

	static void
	removed(void *ctx, const char *, bool)
	{
		comet_incarnations_forget(static_cast<reader *>(ctx)->incarnations, "i");
		comet_instances_remove(static_cast<reader *>(ctx)->instances, "i");
	}

	uint64_t
	process_start_ms() const
	{
		const comet_instance *instance = comet_instances_find(instances, "i");
		return instance != nullptr ? instance->process_start_ms : 0;
	}

	bool
	in_use() const
	{
		const comet_instance *instance = comet_instances_find(instances, "i");
		return instance != nullptr && !instance->draining;
	}

	void
	report_change(const comet_store_item &item)
	{
		comet_replica_merge(replica, &item, 1, false);
	}

	void
	report_list(const comet_store_item &item)
	{
		comet_replica_list_begin(replica);
		comet_replica_merge(replica, &item, 1, false);
		comet_replica_list_end(replica, item.revision, false);
	}

	/* Merges another VM's snapshot. @return whether it was newer and thus accepted. */
	bool
	merge_snapshot(const comet_store_item &item)
	{
		comet_store_response answer = {};
		answer.items = &item;
		answer.n_items = 1;
		answer.revision = item.revision;
		return comet_replica_merge_snapshot(replica, &answer, false);
	}
};

comet_store_item
item(const std::string &value, uint64_t revision)
{
	comet_store_item item = {};

	item.key = "servers/i";
	item.value = value.c_str();
	item.length = value.size();
	item.revision = revision;
	return item;
}

/* Successive entries in the store: a server drains and restarts, another writer overwrites its
 * entry twice, a delayed write of its earlier incarnation arrives, and the server writes again. */
const std::vector<comet_store_item> &
history()
{
	static const std::vector<comet_store_item> items = {item(first_draining, 1),
		item(second_ready, 2), item(foreign, 3), item(without_start, 4),
		item(first_ready, 5), item(second_ready, 6)};

	return items;
}

/* Six changes in every order, with one or none of them lost, and a list or another VM's snapshot as
 * of any of the changes at any position between them. */
TEST(IncarnationsInAnyOrder, TheNewestEntryOfTheLatestIncarnationIsUsed)
{
	int order[] = {0, 1, 2, 3, 4, 5};
	uint64_t runs = 0;

	do
	{
		for (int lost = 0; lost <= 6; lost++)
		{
			for (int at = 0; at < 2 * 6 * 7; at++)
			{
				int listed = at / 2;
				bool is_snapshot = at % 2 == 1;
				reader vm;
				uint64_t newest = 0;
				bool second_reported = false;
				auto after = [&](const comet_store_item &one)
				{
					second_reported = second_reported ||
							  (one.revision > newest &&
								  one.value == second_ready);
					newest = std::max(newest, one.revision);
					/* An invalid entry lists no endpoint, and the first
					 * incarnation is not used once the second was reported. */
					ASSERT_FALSE(newest == 3 && vm.in_use());
					ASSERT_FALSE(second_reported && vm.in_use() &&
						     vm.process_start_ms() != 2000);
				};
				for (int i = 0; i <= 6; i++)
				{
					if (i == listed / 6)
					{
						const comet_store_item &one = history()[listed % 6];
						if (!is_snapshot)
							vm.report_list(one);
						if (!is_snapshot || vm.merge_snapshot(one))
							after(one);
					}
					if (i < 6 && order[i] != lost)
					{
						vm.report_change(history()[order[i]]);
						after(history()[order[i]]);
					}
				}
				ASSERT_EQ(vm.start_regressions, 0);
				ASSERT_TRUE(newest >= 5);
				ASSERT_TRUE(newest == 5 ||
					    (vm.in_use() && vm.process_start_ms() == 2000));
				runs++;
			}
		}
	} while (std::next_permutation(order, order + 6));
	printf("incarnations: %lu runs\n", (unsigned long)runs);
	EXPECT_EQ(runs, 720U * 7 * 84);
}

constexpr uint64_t second_us = 1000000;

/* Records entries of one id. */
struct Incarnations : ::testing::Test
{
	comet_incarnations *incarnations = comet_incarnations_create(nullptr);
	std::string accepted;

	~Incarnations() override
	{
		talloc_free(incarnations);
	}

	comet_incarnation_order
	observe(uint64_t process_start_ms, uint64_t now_us = 0)
	{
		comet_instance_record record = {
			"i", "llm", "127.0.0.1:1", "z", 4, 0, false, process_start_ms, "v1"};
		return comet_incarnations_observe(incarnations, &record, now_us);
	}

	/* Returns the earlier incarnation that is accepted at a time, or "". */
	std::string
	accepted_at(uint64_t now_us)
	{
		accepted.clear();
		comet_incarnations_tick(
			incarnations, now_us,
			[](void *ctx, const comet_instance_record *record)
			{
				*static_cast<std::string *>(ctx) =
					std::string(record->address) + " " +
					std::to_string(record->process_start_ms);
			},
			&accepted);
		return accepted;
	}
};

TEST_F(Incarnations, TheLatestProcessStartIsUsed)
{
	EXPECT_EQ(observe(0), COMET_INCARNATION_LATEST); /* a server without a process start */
	EXPECT_EQ(observe(0), COMET_INCARNATION_LATEST);
	EXPECT_EQ(observe(1000), COMET_INCARNATION_LATEST);
	EXPECT_EQ(observe(1000), COMET_INCARNATION_LATEST);
	EXPECT_EQ(observe(2000), COMET_INCARNATION_LATEST);
	EXPECT_EQ(observe(1000), COMET_INCARNATION_EARLIER);
	EXPECT_EQ(observe(0), COMET_INCARNATION_UNSPECIFIED);
	EXPECT_EQ(comet_incarnations_start_ms(incarnations, "i"), 2000U);
}

/* If a machine's clock was set back before a server restarted there, all entries of the new process
 * contain an earlier process start. */
TEST_F(Incarnations, AnEarlierIncarnationThatRemainsTheLastEntryIsAccepted)
{
	observe(2000);
	observe(1000, second_us);
	EXPECT_EQ(accepted_at(5 * second_us), "");
	/* the later incarnation writes again: the previous entry was a delayed one */
	observe(2000, 5 * second_us);
	EXPECT_EQ(accepted_at(20 * second_us), "");
	observe(1000, 20 * second_us);
	EXPECT_EQ(accepted_at(25 * second_us), "127.0.0.1:1 1000");
	EXPECT_EQ(accepted_at(40 * second_us), "");
	EXPECT_EQ(observe(1000), COMET_INCARNATION_LATEST);
}

/* An unlisted endpoint may stay in use until it expires. Until then, a delayed entry of an earlier
 * incarnation is recognised as such; afterwards no state is left. */
TEST_F(Incarnations, AnExpiringEndpointKeepsItsProcessStart)
{
	observe(2000);
	comet_incarnations_schedule_expiry(incarnations, "i");
	EXPECT_EQ(observe(1000, second_us), COMET_INCARNATION_EARLIER);
	comet_incarnations_expire(incarnations, "i"); /* an entry was recorded since: no effect */
	EXPECT_EQ(accepted_at(7 * second_us), "127.0.0.1:1 1000");
	comet_incarnations_schedule_expiry(incarnations, "i");
	comet_incarnations_expire(incarnations, "i");
	EXPECT_EQ(comet_incarnations_start_ms(incarnations, "i"), 0U);
	observe(1000);
	observe(500, second_us);
	comet_incarnations_schedule_expiry(incarnations, "i"); /* drops the earlier entry as well */
	EXPECT_EQ(accepted_at(20 * second_us), "");
}

TEST_F(Incarnations, AnUnlistedEndpointKeepsNoState)
{
	observe(2000);
	observe(1000);
	comet_incarnations_forget(incarnations, "i");
	EXPECT_EQ(accepted_at(20 * second_us), "");
	EXPECT_EQ(observe(1000), COMET_INCARNATION_LATEST);
}

} // namespace
