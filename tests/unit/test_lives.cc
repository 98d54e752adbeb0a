/*
 * test_lives.cc
 * servers that start again under their ids, and entries that others have written, in any order
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

/* A server's entry; process_start_ms 0: it names no life. */
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
const std::string first_leaves = entry(1000, "draining");
const std::string second_ready = entry(2000, "ready");
const std::string foreign = entry(2000, "somewhere");
const std::string without_birth = entry(0, "ready");

/* A VM: its catalog, and the endpoints that it knows by it. */
struct reader
{
	comet_instances *instances = comet_instances_create(nullptr, "a");
	comet_incarnations *lives = comet_incarnations_create(instances);
	comet_replica *replica;
	int faults = 0;

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
	take(void *ctx, const comet_instance_record *record)
	{
		auto *self = static_cast<reader *>(ctx);
		uint64_t before = comet_incarnations_start_ms(self->lives, "i");
		enum comet_incarnation_order incarnation_key =
			comet_incarnations_observe(self->lives, record, 1);
		if (incarnation_key == COMET_INCARNATION_LATEST)
			comet_instances_put(self->instances, record, 1);
		else if (incarnation_key == COMET_INCARNATION_UNSPECIFIED)
			comet_instances_remove(self->instances, "i");
		/* never back to an earlier life */
		self->faults += comet_incarnations_start_ms(self->lives, "i") < before ? 1 : 0;
	}

	static void
	put(void *ctx, const comet_store_item *item)
	{
		if (!comet_platform_parse_server(
			    "i", item->value, item->length, take, ctx, nullptr))
			comet_instances_remove(static_cast<reader *>(ctx)->instances, "i");
	}

	static void
	removed(void *ctx, const char *, bool)
	{
		comet_incarnations_forget(static_cast<reader *>(ctx)->lives, "i");
		comet_instances_remove(static_cast<reader *>(ctx)->instances, "i");
	}

	uint64_t
	born() const
	{
		const comet_instance *instance = comet_instances_find(instances, "i");
		return instance != nullptr ? instance->process_start_ms : 0;
	}

	bool
	used() const
	{
		const comet_instance *instance = comet_instances_find(instances, "i");
		return instance != nullptr && !instance->draining;
	}

	void
	tell(const comet_store_item &item)
	{
		comet_replica_merge(replica, &item, 1, false);
	}

	void
	list(const comet_store_item &item)
	{
		comet_replica_list_begin(replica);
		comet_replica_merge(replica, &item, 1, false);
		comet_replica_list_end(replica, item.revision, false);
	}

	/* Another VM's copy, which is taken only if that VM knows more. */
	bool
	copy(const comet_store_item &item)
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

/* What the store held one after the other: a server leaves and starts again, somebody else
 * overwrites its entry twice, its earlier life's last word comes late, and it writes anew. */
const std::vector<comet_store_item> &
history()
{
	static const std::vector<comet_store_item> items = {item(first_leaves, 1),
		item(second_ready, 2), item(foreign, 3), item(without_birth, 4),
		item(first_ready, 5), item(second_ready, 6)};

	return items;
}

/* Six changes in every order, each of them lost once or none, and a list or another VM's copy of
 * any of their times at any place between them. */
TEST(LivesInAnyOrder, TheNewestWordOfTheLatestLifeCounts)
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
				bool copied = at % 2 == 1;
				reader vm;
				uint64_t newest = 0;
				bool second_told = false;
				auto after = [&](const comet_store_item &one)
				{
					second_told =
						second_told || (one.revision > newest &&
								       one.value == second_ready);
					newest = std::max(newest, one.revision);
					/* what cannot be read names nothing to use, and once
					 * the second life was told, the first is used no more */
					ASSERT_FALSE(newest == 3 && vm.used());
					ASSERT_FALSE(second_told && vm.used() && vm.born() != 2000);
				};
				for (int i = 0; i <= 6; i++)
				{
					if (i == listed / 6)
					{
						const comet_store_item &one = history()[listed % 6];
						if (!copied)
							vm.list(one);
						if (!copied || vm.copy(one))
							after(one);
					}
					if (i < 6 && order[i] != lost)
					{
						vm.tell(history()[order[i]]);
						after(history()[order[i]]);
					}
				}
				ASSERT_EQ(vm.faults, 0);
				ASSERT_TRUE(newest >= 5);
				ASSERT_TRUE(newest == 5 || (vm.used() && vm.born() == 2000));
				runs++;
			}
		}
	} while (std::next_permutation(order, order + 6));
	printf("lives: %lu runs\n", (unsigned long)runs);
	EXPECT_EQ(runs, 720U * 7 * 84);
}

constexpr uint64_t second_us = 1000000;

/* One id's entries, as the lives are told of them. */
struct Lives : ::testing::Test
{
	comet_incarnations *lives = comet_incarnations_create(nullptr);
	std::string believed;

	~Lives() override
	{
		talloc_free(lives);
	}

	comet_incarnation_order
	tell(uint64_t process_start_ms, uint64_t now_us = 0)
	{
		comet_instance_record record = {
			"i", "llm", "127.0.0.1:1", "z", 4, 0, false, process_start_ms};
		return comet_incarnations_observe(lives, &record, now_us);
	}

	/* What is believed by then. */
	std::string
	at(uint64_t now_us)
	{
		believed.clear();
		comet_incarnations_tick(
			lives, now_us,
			[](void *ctx, const comet_instance_record *record)
			{
				*static_cast<std::string *>(ctx) =
					std::string(record->address) + " " +
					std::to_string(record->process_start_ms);
			},
			&believed);
		return believed;
	}
};

TEST_F(Lives, TheLatestBirthCounts)
{
	EXPECT_EQ(tell(0), COMET_INCARNATION_LATEST); /* a server that tells none */
	EXPECT_EQ(tell(0), COMET_INCARNATION_LATEST);
	EXPECT_EQ(tell(1000), COMET_INCARNATION_LATEST);
	EXPECT_EQ(tell(1000), COMET_INCARNATION_LATEST);
	EXPECT_EQ(tell(2000), COMET_INCARNATION_LATEST);
	EXPECT_EQ(tell(1000), COMET_INCARNATION_EARLIER);
	EXPECT_EQ(tell(0), COMET_INCARNATION_UNSPECIFIED);
	EXPECT_EQ(comet_incarnations_start_ms(lives, "i"), 2000U);
}

/* The clock of a server's machine may have been set back before it started again: its entry names
 * an earlier birth, and goes on doing so. */
TEST_F(Lives, AnEarlierLifeThatStaysTheLastWordIsBelieved)
{
	tell(2000);
	tell(1000, second_us);
	EXPECT_EQ(at(5 * second_us), "");
	tell(2000, 5 * second_us); /* the later one has written since: the earlier was late news */
	EXPECT_EQ(at(20 * second_us), "");
	tell(1000, 20 * second_us);
	EXPECT_EQ(at(25 * second_us), "127.0.0.1:1 1000");
	EXPECT_EQ(at(40 * second_us), "");
	EXPECT_EQ(tell(1000), COMET_INCARNATION_LATEST);
}

/* What is listed no more may be used on for a while, in which a late word of its earlier life is as
 * late as ever; after that nothing is known of it. */
TEST_F(Lives, WhatIsUsedOnStillHasItsLife)
{
	tell(2000);
	comet_incarnations_schedule_expiry(lives, "i");
	EXPECT_EQ(tell(1000, second_us), COMET_INCARNATION_EARLIER);
	comet_incarnations_expire(lives, "i"); /* an entry came: its word still counts */
	EXPECT_EQ(at(7 * second_us), "127.0.0.1:1 1000");
	comet_incarnations_schedule_expiry(lives, "i");
	comet_incarnations_expire(lives, "i");
	EXPECT_EQ(comet_incarnations_start_ms(lives, "i"), 0U);
	tell(1000);
	tell(500, second_us);
	comet_incarnations_schedule_expiry(lives, "i"); /* the entry that told it is gone as well */
	EXPECT_EQ(at(20 * second_us), "");
}

TEST_F(Lives, WhatIsListedNoMoreHasEnded)
{
	tell(2000);
	tell(1000);
	comet_incarnations_forget(lives, "i");
	EXPECT_EQ(at(20 * second_us), "");
	EXPECT_EQ(tell(1000), COMET_INCARNATION_LATEST);
}

} // namespace
