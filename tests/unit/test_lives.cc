/*
 * test_lives.cc
 * servers that start again under their ids, and entries that others have written, in any order
 */
#include <gtest/gtest.h>

extern "C"
{
#include <libcometspindle/gateway/instances.h>
#include <platform/catalog.h>
#include <platform/server_entry.h>
}
#include <algorithm>
#include <string>
#include <talloc.h>
#include <vector>

namespace
{

/* A server's entry; born_ms 0: it names no life. */
std::string
entry(uint64_t born_ms, const char *state)
{
	return std::string("{\"service\":\"x\",\"address\":\"10.0.0.1:80\",\"zone\":\"a\","
			   "\"version\":\"v1\",\"slots\":4,\"warmup_left_ms\":0,\"sequence\":1,"
			   "\"state\":\"") +
	       state + "\"" + (born_ms != 0 ? ",\"born\":" + std::to_string(born_ms) : "") + "}";
}

const std::string first_ready = entry(1000, "ready");
const std::string first_leaves = entry(1000, "draining");
const std::string second_ready = entry(2000, "ready");
const std::string foreign = entry(2000, "somewhere");

/* A VM: its catalog, and the endpoints that it knows by it. */
struct reader
{
	comet_instances *instances = comet_instances_create(nullptr, "a");
	comet_catalog *catalog;
	int faults = 0;

	reader()
	{
		static const comet_catalog_events events = {put, removed};
		catalog = comet_catalog_create(instances, &events, this);
	}

	~reader()
	{
		talloc_free(instances);
	}

	static void
	take(void *ctx, const comet_instance_record *record)
	{
		auto *self = static_cast<reader *>(ctx);
		uint64_t before = self->born();
		comet_instances_put(self->instances, record, 1);
		self->faults += self->born() < before ? 1 : 0; /* never back to an earlier life */
	}

	static void
	put(void *ctx, const comet_store_item *item)
	{
		if (!comet_platform_parse_server(
			    "i", item->value, item->length, take, ctx, nullptr))
			removed(ctx, item->key, false);
	}

	static void
	removed(void *ctx, const char *, bool)
	{
		comet_instances_remove(static_cast<reader *>(ctx)->instances, "i");
	}

	uint64_t
	born() const
	{
		const comet_instance *instance = comet_instances_find(instances, "i");
		return instance != nullptr ? instance->born_ms : 0;
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
		comet_catalog_take(catalog, &item, 1, false);
	}

	void
	list(const comet_store_item &item)
	{
		comet_catalog_list_begin(catalog);
		comet_catalog_take(catalog, &item, 1, false);
		comet_catalog_list_end(catalog, item.revision, false);
	}
};

comet_store_item
item(const std::string &value, uint64_t revision)
{
	return {"servers/i", value.c_str(), value.size(), revision};
}

/* What the store held one after the other: a server leaves and starts again, its earlier life's
 * last word comes late, somebody else overwrites its entry, and it writes anew. */
const std::vector<comet_store_item> &
history()
{
	static const std::vector<comet_store_item> items = {item(first_ready, 1),
		item(first_leaves, 2), item(second_ready, 3), item(first_leaves, 4),
		item(foreign, 5), item(second_ready, 6)};

	return items;
}

/* Six changes in every order, each of them lost once or none, and a list of any of their times at
 * any place between them. */
TEST(LivesInAnyOrder, TheNewestWordOfTheLatestLifeCounts)
{
	int order[] = {0, 1, 2, 3, 4, 5};
	uint64_t runs = 0;

	do
	{
		for (int lost = 0; lost <= 6; lost++)
		{
			for (int listed = 0; listed < 6 * 7; listed++)
			{
				reader vm;
				uint64_t newest = 0;
				for (int i = 0; i <= 6; i++)
				{
					if (i == listed / 6)
					{
						vm.list(history()[listed % 6]);
						newest = std::max(
							newest, history()[listed % 6].revision);
					}
					if (i < 6 && order[i] != lost)
					{
						vm.tell(history()[order[i]]);
						newest = std::max(
							newest, history()[order[i]].revision);
					}
					/* an entry that cannot be read names nothing to use */
					ASSERT_FALSE(newest == 5 && vm.used());
				}
				ASSERT_EQ(vm.faults, 0);
				ASSERT_EQ(vm.used(), newest == 6);
				ASSERT_EQ(vm.born(), newest == 6 ? 2000U : 0U);
				runs++;
			}
		}
	} while (std::next_permutation(order, order + 6));
	printf("lives: %lu runs\n", (unsigned long)runs);
	EXPECT_EQ(runs, 720U * 7 * 42);
}

TEST(LivesInAnyOrder, LateNewsOfTheEarlierLifeDoesNotStopTheLater)
{
	reader vm;
	vm.tell(history()[2]);
	EXPECT_TRUE(vm.used());
	vm.tell(history()[3]);
	EXPECT_TRUE(vm.used());
	EXPECT_EQ(vm.born(), 2000U);
}

} // namespace
