/*
 * test_gateway_placement.cc
 * instances, placement, event streams and views, under virtual time
 */
#include <gtest/gtest.h>

extern "C"
{
#include <libcometspindle/gateway/event_stream.h>
#include <libcometspindle/gateway/placement.h>
#include <libcometspindle/gateway/views.h>
#include <libcometspindle/hash.h>
}
#include <cstring>
#include <map>
#include <memory>
#include <string>
#include <talloc.h>
#include <vector>

namespace
{

struct sent
{
	std::string instance;
	comet_placement_item *item;
};

/* A placement with one service of two-slot instances. */
class PlacementTest : public ::testing::Test
{
      public:
	comet_instances *instances = nullptr;
	comet_placement *placement = nullptr;
	std::vector<sent> dispatched;
	std::vector<std::pair<comet_placement_item *, uint32_t>> refused;
	uint64_t now_us = 1000000;
	std::vector<std::unique_ptr<comet_placement_item>> later;

      protected:
	static void
	on_dispatch(void *ctx, comet_placement_item *item, comet_instance *instance)
	{
		auto *test = static_cast<PlacementTest *>(ctx);
		comet_instance_started(instance, &item->job);
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
		static const comet_placement_ops ops = {
			on_dispatch, on_refuse, nullptr, nullptr, nullptr};
		instances = comet_instances_create(nullptr, "z1");
		placement = comet_placement_create(instances, instances, "z1", &ops, this, 1);
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
		comet_instance_record record = {id, "llm", "127.0.0.1:1", zone, 2, 0, draining};
		return comet_instances_put(instances, &record, now_us);
	}

	comet_placement_item
	item(uint32_t rank)
	{
		comet_placement_item item = {};
		item.service = "llm";
		item.job = {1000, 100, 100, true};
		item.route_rank = rank;
		item.latest_us = now_us + 2000000;
		item.early_us = now_us + 100000;
		return item;
	}

	void
	end(const sent &one, comet_dispatch_result result)
	{
		comet_instance *instance = comet_instances_find(instances, one.instance.c_str());
		comet_instance_ended(
			instances, instance, &one.item->job, false, result, 0, 0, now_us);
	}
};

TEST_F(PlacementTest, SpreadsOverWhatHasRoomAndPrefersItsZone)
{
	add("far", "z2");
	add("near", "z1");
	std::vector<comet_placement_item> items(4, item(2));

	for (auto &one : items)
		comet_placement_submit(placement, &one, now_us);
	ASSERT_EQ(dispatched.size(), 4U);
	std::map<std::string, int> count;
	for (auto &one : dispatched)
		count[one.instance]++;
	EXPECT_EQ(count["near"], 2);
	EXPECT_EQ(count["far"], 2);
}

TEST_F(PlacementTest, ItsOwnZoneIsPreferredAndOthersAreNotIdle)
{
	std::map<std::string, int> count;

	add("far", "z2");
	add("near", "z1");
	for (int i = 0; i < 200; i++)
	{
		comet_placement_item one = item(2);
		comet_placement_submit(placement, &one, now_us);
		count[dispatched.back().instance]++;
		end(dispatched.back(), COMET_DISPATCH_CANCELLED);
	}
	EXPECT_GT(count["near"], count["far"]);
	EXPECT_GT(count["far"], 0);
}

TEST_F(PlacementTest, UrgentRanksGoFirstAndHaveHeadroom)
{
	add("a");
	std::vector<comet_placement_item> low(4, item(2));
	for (auto &one : low)
	{
		one.latest_us = now_us + 20000000;
		comet_placement_submit(placement, &one, now_us);
	}
	EXPECT_EQ(dispatched.size(), 2U);
	comet_placement_item urgent = item(0);
	comet_placement_submit(placement, &urgent, now_us);
	comet_placement_run(placement, now_us);
	ASSERT_EQ(dispatched.size(), 3U);
	EXPECT_EQ(dispatched[2].item, &urgent);
	/* a slot that comes free goes to the next in order, not to a newcomer */
	end(dispatched[0], COMET_DISPATCH_SERVED);
	end(dispatched[2], COMET_DISPATCH_SERVED);
	comet_placement_run(placement, now_us);
	ASSERT_EQ(dispatched.size(), 4U);
	EXPECT_EQ(dispatched[3].item, &low[2]);
}

TEST_F(PlacementTest, RefusesWhatCannotBeInTimeAndTellsWhenToComeBack)
{
	add("a");
	std::vector<comet_placement_item> items(12, item(2));

	for (auto &one : items)
		comet_placement_submit(placement, &one, now_us);
	/* two are placed; a queue that would outlast their callers' patience is not built up */
	EXPECT_EQ(dispatched.size(), 2U);
	EXPECT_GE(refused.size(), 1U);
	for (auto &one : refused)
		EXPECT_GE(one.second, 100U);
	size_t early = refused.size();
	now_us += 2000001;
	comet_placement_run(placement, now_us);
	EXPECT_EQ(refused.size(), 10U);
	EXPECT_GT(refused.size(), early);
	EXPECT_EQ(waiting("llm"), 0U);
}

/* Found by a score: waits reckoned from a request's own size refused most of the largest. */
/* Found in logs of pgi-tiles, trouble-3: captions waited 2 s in vain, one after the other. */
TEST_F(PlacementTest, WhatIsPassedOverIsRefusedEarlyWithATrueTime)
{
	add("i1");
	std::vector<comet_placement_item> running(2, item(0));
	for (auto &one : running)
		comet_placement_submit(placement, &one, now_us);
	comet_placement_item first = item(2);
	first.latest_us = now_us + 1800000;
	comet_placement_submit(placement, &first, now_us);
	EXPECT_EQ(waiting("llm"), 1U);
	now_us += 1000000; /* nothing of its rank got a slot in this time */
	comet_placement_item second = item(2);
	second.latest_us = now_us + 1800000;
	comet_placement_submit(placement, &second, now_us);
	ASSERT_EQ(refused.size(), 1U);
	EXPECT_EQ(refused[0].first, &second);
	EXPECT_GE(refused[0].second, 2000U) << "two intervals of a second";
	/* slots come free again, one in 100 ms: the next ones may wait */
	for (int i = 0; i < 20; i++)
	{
		comet_instance *instance = comet_instances_find(instances, "i1");
		comet_instance_ended(instances, instance, &running[0].job, false,
			COMET_DISPATCH_CANCELLED, 0, 0, now_us);
		comet_placement_run(placement, now_us);
		now_us += 100000;
		auto *next = new comet_placement_item(item(2));
		next->latest_us = now_us + 1800000;
		later.emplace_back(next);
		comet_placement_submit(placement, next, now_us);
	}
	EXPECT_LE(refused.size(), 8U) << "refused only until the pace is known";
}

TEST_F(PlacementTest, ALargeRequestIsNotRefusedForItsSize)
{
	add("a");
	std::vector<comet_placement_item> items(4, item(2));
	comet_placement_item small = item(2);
	comet_placement_item large = item(2);

	large.job.output_tokens = 20000;
	for (auto &one : items)
		comet_placement_submit(placement, &one, now_us);
	EXPECT_EQ(comet_placement_wait_us(placement, &small, now_us),
		comet_placement_wait_us(placement, &large, now_us));
}

TEST_F(PlacementTest, ALeavingInstanceGetsNothingNew)
{
	add("a");
	add("a", "z1", true);
	comet_placement_item one = item(0);

	comet_placement_submit(placement, &one, now_us);
	EXPECT_EQ(dispatched.size(), 0U);
	/* nobody serves it: it waits only while a refusal is still cheap */
	now_us += 100001;
	comet_placement_run(placement, now_us);
	EXPECT_EQ(refused.size(), 1U);
}

TEST_F(PlacementTest, IsNotSentTwiceToTheSameInstance)
{
	add("a");
	add("b");
	comet_placement_item one = item(0);

	comet_placement_submit(placement, &one, now_us);
	comet_placement_submit(placement, &one, now_us);
	ASSERT_EQ(dispatched.size(), 2U);
	EXPECT_NE(dispatched[0].instance, dispatched[1].instance);
	comet_placement_submit(placement, &one, now_us);
	EXPECT_EQ(refused.size(), 1U);
}

TEST_F(PlacementTest, AnUnreachableInstanceIsAvoidedAndTriedAgain)
{
	add("a");
	add("b");
	comet_placement_item one = item(0);
	comet_placement_submit(placement, &one, now_us);
	std::string bad = dispatched[0].instance;
	end(dispatched[0], COMET_DISPATCH_UNREACHED);

	std::vector<comet_placement_item> items(3, item(0));
	for (auto &next : items)
		comet_placement_submit(placement, &next, now_us);
	for (size_t i = 1; i < dispatched.size(); i++)
		EXPECT_NE(dispatched[i].instance, bad);
	/* later one request that may be repeated is its trial, and only one */
	now_us += 1500000;
	std::vector<comet_placement_item> trials(4, item(0));
	size_t before = dispatched.size();
	for (auto &next : trials)
	{
		next.repeatable = true;
		comet_placement_submit(placement, &next, now_us);
	}
	unsigned int tried = 0;
	for (size_t i = before; i < dispatched.size(); i++)
		tried += dispatched[i].instance == bad;
	EXPECT_EQ(tried, 1U);
}

/* Found on a day of the grown fleet: 844 of 2,265 refusals came from addresses that had long been
 * another process's, and most others from the same few full instances, tried again and again. */
TEST_F(PlacementTest, AReplacedInstanceIsNeverTriedAgainAndAFullOneLater)
{
	add("a");
	comet_placement_item one = item(0);
	comet_placement_submit(placement, &one, now_us);
	end(dispatched.back(), COMET_DISPATCH_REFUSED);
	comet_placement_item two = item(0);
	comet_placement_submit(placement, &two, now_us);
	EXPECT_EQ(dispatched.size(), 1U);
	now_us += 100001;
	comet_placement_run(placement, now_us);
	ASSERT_EQ(dispatched.size(), 2U);
	end(dispatched.back(), COMET_DISPATCH_WRONG);
	now_us += 10000000;
	comet_placement_item three = item(0);
	three.repeatable = true;
	comet_placement_submit(placement, &three, now_us);
	EXPECT_EQ(dispatched.size(), 2U);
}

/* Found in the logs of a recorded day: long requests made their endpoints doubted, which others
 * kept from, though they answered everything else. */
TEST_F(PlacementTest, ASlowRequestDoesNotCondemnItsEndpoint)
{
	comet_instance *instance = add("a");

	comet_instance_heard(instance, now_us + 300000);
	EXPECT_FALSE(comet_instance_doubt(instance, now_us, now_us + 600000));
	comet_placement_item one = item(0);
	comet_placement_submit(placement, &one, now_us + 600000);
	EXPECT_EQ(dispatched.size(), 1U);
	EXPECT_TRUE(comet_instance_doubt(instance, now_us + 400000, now_us + 1000000));
	comet_placement_item two = item(0);
	comet_placement_submit(placement, &two, now_us + 1000000);
	EXPECT_EQ(dispatched.size(), 1U);
}

TEST_F(PlacementTest, WhatOthersSendThereCounts)
{
	comet_instance *instance = add("a");
	instance->others = 2;
	instance->others_us = now_us;
	EXPECT_EQ(comet_instance_load(instance, now_us), 2U);
	/* fresh word from the endpoint itself goes before, and our own sends since are added */
	comet_instance_told(instance, 5, now_us);
	comet_job job = {10, 10, 10, true};
	comet_instance_started(instance, &job);
	EXPECT_EQ(comet_instance_load(instance, now_us + 1), 6U);
	/* it ages sooner than views do; and old views say nothing either */
	EXPECT_EQ(comet_instance_load(instance, now_us + 1000000), 3U);
	EXPECT_EQ(comet_instance_load(instance, now_us + 60000000), 1U);
}

TEST(EventStream, PassesOnlyWholeEvents)
{
	comet_event_stream *stream = comet_event_stream_create(nullptr);
	const char *text = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 3\nda";

	/* byte by byte: the ends of events must not depend on how they arrive */
	std::string passed;
	for (const char *at = text; *at != '\0'; at++)
	{
		size_t ready = comet_event_stream_add(stream, at, 1);
		passed.append(comet_event_stream_ready(stream), ready);
		if (ready > 0)
			comet_event_stream_taken(stream);
	}
	EXPECT_EQ(passed, "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n");
	EXPECT_STREQ(comet_event_stream_last_id(stream), "2");
	EXPECT_EQ(comet_event_stream_count(stream), 2U);
	EXPECT_TRUE(comet_event_stream_inside(stream));
	comet_event_stream_restart(stream);
	EXPECT_FALSE(comet_event_stream_inside(stream));
	EXPECT_STREQ(comet_event_stream_last_id(stream), "2");
	talloc_free(stream);
}

/* Some VMs whose datagrams are delivered by hand. */
struct vm
{
	comet_instances *instances;
	comet_allowance *allowance;
	comet_views *views;
	std::vector<std::pair<uint32_t, std::string>> outbox;
};

struct vms
{
	std::map<uint32_t, vm> all;
	comet_route_table *table;
	uint32_t zones;
	uint32_t between_zones = 0; /* datagrams */

	explicit vms(int count, uint32_t n_zones = 1) : zones(n_zones)
	{
		comet_http_limits limits = {};
		comet_route_team team = {};
		team.name = const_cast<char *>("t");
		team.rate_per_s = 1000;
		team.burst = 1000;
		team.in_tokens = true;
		table = comet_route_table_create(1, &limits);
		comet_route_table_add_team(table, &team, nullptr, 0);
		for (int i = 1; i <= count; i++)
			start((uint32_t)i, (uint64_t)i);
	}

	~vms()
	{
		for (auto &one : all)
			talloc_free(one.second.instances);
		comet_route_table_unref(table);
	}

	std::string
	zone_of(uint32_t address) const
	{
		return "z" + std::to_string(address % zones);
	}

	void
	start(uint32_t address, uint64_t incarnation)
	{
		static const comet_views_ops ops = {on_send, on_changed};
		static const uint32_t seeds[] = {1};
		comet_allowance_bounds bounds = {8000, 0, 0};
		vm &one = all[address];
		std::string zone = zone_of(address);
		one.instances = comet_instances_create(nullptr, zone.c_str());
		one.allowance = comet_allowance_create(one.instances, &bounds, 0);
		comet_allowance_set_teams(one.allowance, table, 0);
		comet_instance_record record = {"i", "llm", "127.0.0.1:1", "z", 4, 0, false};
		comet_instances_put(one.instances, &record, 0);
		comet_views_config config = {
			address, incarnation, 0, 8000, seeds, 1, zone.c_str(), 1000000, 1000000};
		one.views = comet_views_create(
			one.instances, &config, one.instances, one.allowance, &ops, &one);
	}

	static void
	on_send(void *ctx, uint32_t address, const uint8_t *data, size_t length)
	{
		static_cast<vm *>(ctx)->outbox.emplace_back(
			address, std::string((const char *)data, length));
	}

	static void
	on_changed(void *, uint32_t, bool, const char *)
	{
	}

	/* One step: everybody ticks, then what was sent arrives, but for those cut off. */
	void
	step(uint64_t now_us, uint32_t cut = 0)
	{
		for (auto &one : all)
			comet_views_tick(one.second.views, now_us);
		for (auto &one : all)
		{
			for (size_t i = 0; i < one.second.outbox.size(); i++)
			{
				auto mail = one.second.outbox[i];
				if (zone_of(one.first) != zone_of(mail.first))
					between_zones++;
				if (one.first == cut || mail.first == cut ||
					all.count(mail.first) == 0)
					continue;
				comet_Datagram datagram;
				ASSERT_TRUE(
					comet_datagram_decode((const uint8_t *)mail.second.data(),
						mail.second.size(), &datagram));
				EXPECT_TRUE(comet_views_receive(
					all[mail.first].views, &datagram.body.view, now_us));
			}
			one.second.outbox.clear();
		}
	}
};

TEST(Views, VmsFindEachOtherFromOneSeed)
{
	vms fleet(9);
	uint64_t now_us = 1000000;

	for (int i = 0; i < 40; i++, now_us += 50000)
		fleet.step(now_us);
	for (auto &one : fleet.all)
	{
		uint32_t known = 0;
		uint32_t heard = 0;
		comet_views_count(one.second.views, &known, &heard);
		EXPECT_EQ(known, 8U);
		EXPECT_EQ(heard, 8U);
	}
}

TEST(Views, DispatchesAndSpendingAreTold)
{
	vms fleet(3);
	uint64_t now_us = 1000000;
	uint32_t team = comet_hash_name("t");
	comet_job job = {500, 10, 10, true};
	/* longer than a span, so that nothing is assumed of the time before */
	for (int i = 0; i < 400; i++, now_us += 50000)
		fleet.step(now_us);
	EXPECT_EQ(comet_allowance_left(fleet.all[3].allowance, team, now_us), 9000);
	comet_instance_started(comet_instances_find(fleet.all[2].instances, "i"), &job);
	EXPECT_EQ(comet_allowance_spend(fleet.all[2].allowance, team, 100, now_us), 0U);
	for (int i = 0; i < 8; i++, now_us += 50000)
		fleet.step(now_us);
	comet_instance *instance = comet_instances_find(fleet.all[3].instances, "i");
	EXPECT_EQ(instance->others, 1U);
	EXPECT_EQ(instance->others_prompt, 500U);
	EXPECT_EQ(comet_allowance_left(fleet.all[3].allowance, team, now_us), 8900);
}

/* Found by a day in which all VMs were killed twice: what each had spent before the others heard of
 * it was not counted by anybody. */
TEST(Views, WhatWasSpentBeforeTheFirstWordIsCounted)
{
	vms fleet(3);
	vms untouched(1);
	uint64_t now_us = 1000000;
	uint32_t team = comet_hash_name("t");
	EXPECT_EQ(comet_allowance_spend(fleet.all[2].allowance, team, 100, now_us), 0U);
	for (int i = 0; i < 20; i++, now_us += 50000)
		fleet.step(now_us);
	EXPECT_EQ(comet_allowance_left(fleet.all[3].allowance, team, now_us),
		comet_allowance_left(untouched.all[1].allowance, team, now_us) - 100);
}

TEST(Views, ASilentVmIsNoticedAndItsDispatchesForgotten)
{
	vms fleet(3);
	uint64_t now_us = 1000000;
	comet_job job = {500, 10, 10, true};
	comet_instance_started(comet_instances_find(fleet.all[2].instances, "i"), &job);
	for (int i = 0; i < 40; i++, now_us += 50000)
		fleet.step(now_us);
	EXPECT_EQ(comet_instances_find(fleet.all[3].instances, "i")->others, 1U);
	for (int i = 0; i < 40; i++, now_us += 50000)
		fleet.step(now_us, 2);
	uint32_t known = 0;
	uint32_t heard = 0;
	comet_views_count(fleet.all[3].views, &known, &heard);
	EXPECT_EQ(known, 2U);
	EXPECT_EQ(heard, 1U);
	EXPECT_EQ(comet_instances_find(fleet.all[3].instances, "i")->others, 0U);
	/* it comes back by itself once the cut heals */
	for (int i = 0; i < 60; i++, now_us += 50000)
		fleet.step(now_us);
	comet_views_count(fleet.all[3].views, &known, &heard);
	EXPECT_EQ(heard, 2U);
}

/* Found by a hunt (QUOTA: all VMs stopped in turn while a team was hot): a stopping VM serves on
 * for seconds, but told nobody what it spent, and nobody told it. */
TEST(Views, AStoppingVmIsPartOfTheSumsUntilItIsGone)
{
	vms fleet(3);
	uint64_t now_us = 1000000;
	uint32_t team = comet_hash_name("t");
	uint32_t known = 0;
	uint32_t heard = 0;
	for (int i = 0; i < 400; i++, now_us += 50000)
		fleet.step(now_us);
	comet_views_leave(fleet.all[2].views, now_us);
	for (int i = 0; i < 10; i++, now_us += 50000)
		fleet.step(now_us);
	EXPECT_EQ(comet_allowance_spend(fleet.all[2].allowance, team, 100, now_us), 0U);
	EXPECT_EQ(comet_allowance_spend(fleet.all[1].allowance, team, 1000, now_us), 0U);
	for (int i = 0; i < 8; i++, now_us += 50000)
		fleet.step(now_us);
	EXPECT_EQ(comet_allowance_left(fleet.all[3].allowance, team, now_us), 7900);
	EXPECT_EQ(comet_allowance_left(fleet.all[2].allowance, team, now_us), 7900);
	comet_views_count(fleet.all[3].views, &known, &heard);
	EXPECT_EQ(known, 2U);
	EXPECT_EQ(heard, 2U);
	/* its process ends: it is not a VM that was cut off and may still spend */
	for (int i = 0; i < 30; i++, now_us += 50000)
		fleet.step(now_us, 2);
	comet_views_count(fleet.all[3].views, &known, &heard);
	EXPECT_EQ(known, 1U);
	EXPECT_EQ(heard, 1U);
}

/* Found by a sweep of 300 VMs: views between zones took 0.68 of worth. */
TEST(Views, ALargeZoneIsToldThroughAFewOfItsVms)
{
	vms fleet(40, 2);
	uint64_t now_us = 1000000;
	uint32_t team = comet_hash_name("t");
	uint32_t known = 0;
	uint32_t heard = 0;
	for (int i = 0; i < 400; i++, now_us += 50000)
		fleet.step(now_us);
	for (auto &one : fleet.all)
	{
		comet_views_count(one.second.views, &known, &heard);
		EXPECT_EQ(heard, 39U);
	}
	fleet.between_zones = 0;
	EXPECT_EQ(comet_allowance_spend(fleet.all[2].allowance, team, 100, now_us), 0U);
	for (int i = 0; i < 20; i++, now_us += 50000)
		fleet.step(now_us);
	for (auto &one : fleet.all)
		EXPECT_EQ(comet_allowance_left(one.second.allowance, team, now_us), 8900);
	/* a second is ten rounds at most; each round of each VM goes to two of the other zone */
	EXPECT_LE(fleet.between_zones, 40U * 10 * 2);
	/* with a VM of the other zone cut off, others pass views on */
	EXPECT_EQ(comet_allowance_spend(fleet.all[2].allowance, team, 100, now_us), 0U);
	for (int i = 0; i < 20; i++, now_us += 50000)
		fleet.step(now_us, 3);
	EXPECT_EQ(comet_allowance_left(fleet.all[5].allowance, team, now_us), 8800);
}

/* Found by a sweep of 300 VMs: after a start of all, each asked the same one for a copy. */
TEST(Views, VmsThatKnowMoreAreChosenInTurn)
{
	vms fleet(4);
	uint64_t now_us = 1000000;
	std::map<uint32_t, int> chosen;

	for (uint32_t vm = 2; vm <= 4; vm++)
		comet_views_set_revision(fleet.all[vm].views, vm);
	for (int i = 0; i < 40; i++, now_us += 50000)
		fleet.step(now_us);
	for (uint32_t draw = 0; draw < 300; draw++)
		chosen[comet_views_newer(fleet.all[1].views, 2, draw)]++;
	EXPECT_EQ(chosen[3], 150);
	EXPECT_EQ(chosen[4], 150);
	EXPECT_EQ(comet_views_newer(fleet.all[1].views, 4, 1), 0U);
}

/* A copy of the directory is large, and bytes between zones cost. */
TEST(Views, VmsThatKnowMoreAreChosenInTheOwnZoneFirst)
{
	vms fleet(6, 2);
	uint64_t now_us = 1000000;
	for (uint32_t vm = 2; vm <= 6; vm++)
		comet_views_set_revision(fleet.all[vm].views, vm);
	for (int i = 0; i < 40; i++, now_us += 50000)
		fleet.step(now_us);
	for (uint32_t draw = 0; draw < 10; draw++)
	{
		EXPECT_EQ(comet_views_newer(fleet.all[1].views, 0, draw) % 2, 1U);
		EXPECT_EQ(comet_views_newer(fleet.all[1].views, 4, draw), 5U);
		EXPECT_EQ(comet_views_newer(fleet.all[1].views, 5, draw), 6U);
	}
}

TEST(Views, GarbageIsRefused)
{
	vms fleet(1);
	const uint8_t junk[] = {0xff, 0x01, 0x02, 0x80};
	comet_Datagram datagram;
	comet_View nobody = {};

	EXPECT_FALSE(comet_datagram_decode(junk, sizeof junk, &datagram));
	EXPECT_FALSE(comet_datagram_decode(junk, 0, &datagram));
	EXPECT_FALSE(comet_views_receive(fleet.all[1].views, &nobody, 1));
}

} // namespace
