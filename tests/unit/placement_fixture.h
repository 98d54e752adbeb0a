/*
 * placement_fixture.h
 * Test fixture with a placement over the endpoints of one service, under
 * virtual time.
 */
#ifndef COMETSPINDLE_TESTS_PLACEMENT_FIXTURE_H
#define COMETSPINDLE_TESTS_PLACEMENT_FIXTURE_H

#include <gtest/gtest.h>

extern "C"
{
#include <libcometspindle/gateway/placement/placement.h>
}
#include <map>
#include <memory>
#include <string>
#include <talloc.h>
#include <vector>

struct dispatch_record
{
	std::string instance;
	comet_placement_item *item;
};

/* Fixture with one service, "llm", whose instances have two slots each. */
class PlacementTest : public ::testing::Test
{
      public:
	comet_instances *instances = nullptr;
	comet_placement *placement = nullptr;
	std::vector<dispatch_record> dispatched;
	std::vector<std::pair<comet_placement_item *, uint32_t>> refused;
	uint64_t now_us = 1000000;
	std::vector<std::unique_ptr<comet_placement_item>> owned_items;

      protected:
	static void
	on_dispatch(void *ctx, comet_placement_item *item, comet_instance *instance)
	{
		auto *test = static_cast<PlacementTest *>(ctx);
		comet_instance_dispatch_started(instance, &item->size);
		test->dispatched.push_back({instance->id, item});
	}

	static void
	on_refuse(void *ctx, comet_placement_item *item, uint32_t retry_after_ms)
	{
		static_cast<PlacementTest *>(ctx)->refused.emplace_back(item, retry_after_ms);
	}

	void
	SetUp() override
	{
		static const comet_placement_ops ops = {on_dispatch, on_refuse, nullptr, nullptr,
			nullptr, nullptr, nullptr, nullptr};
		instances = comet_instances_create(nullptr, "z1");
		placement = comet_placement_create(instances, instances, &ops, this, 1);
	}

	void
	TearDown() override
	{
		talloc_free(instances);
	}

	uint32_t
	waiting(const std::string &service)
	{
		std::map<std::string, uint32_t> all;
		comet_placement_each_service(
			placement,
			[](void *ctx, const char *name, uint32_t count)
			{ (*static_cast<std::map<std::string, uint32_t> *>(ctx))[name] = count; },
			&all);
		return all[service];
	}

	comet_instance *
	add(const char *id, const char *zone = "z1", bool draining = false)
	{
		comet_instance_record record = {
			id, "llm", "127.0.0.1:1", zone, 2, 0, draining, 0, "v1"};
		return comet_instances_update(instances, &record, now_us);
	}

	comet_placement_item
	item(uint32_t rank)
	{
		comet_placement_item item = {};
		item.service = "llm";
		item.size = {1000, 100, 100, true};
		item.route_rank = rank;
		item.dispatch_deadline_us = now_us + 2000000;
		item.early_refusal_us = now_us + 100000;
		return item;
	}

	void
	end(const dispatch_record &one, comet_dispatch_result result)
	{
		comet_instance *instance = comet_instances_find(instances, one.instance.c_str());
		comet_instance_dispatch_ended(
			instance, &one.item->size, false, result, 0, 0, 0, now_us);
	}
};

#endif
