/*
 * test_instances.cc
 * endpoints that the directory no longer names, and how long they are used on
 */
#include <gtest/gtest.h>

extern "C"
{
#include <libcometspindle/gateway/endpoints/instances.h>
}
#include <string>
#include <talloc.h>
#include <vector>

namespace
{

constexpr uint64_t second_us = 1000000;
constexpr uint64_t expire_us = 2200000;
constexpr comet_expiry_config bounds = {expire_us, 3 * second_us};

struct Lapses : ::testing::Test
{
	comet_instances *instances = comet_instances_create(nullptr, "z");

	void
	SetUp() override
	{
		comet_instance_record record = {"i", "llm", "127.0.0.1:1", "z", 4, 0, false, 0};
		comet_instances_put(instances, &record, 0);
	}

	~Lapses() override
	{
		talloc_free(instances);
	}

	/* Is it still used at a time? */
	bool
	used(uint64_t now_us)
	{
		comet_instances_tick(
			instances, now_us, [](void *, const char *) {}, nullptr);
		return comet_instances_find(instances, "i") != nullptr;
	}
};

TEST_F(Lapses, WhatIsUnlistedAfterAnOutageIsUsedOnForAWhile)
{
	uint64_t outage_us = 10 * second_us;
	ASSERT_TRUE(comet_instances_schedule_expiry(
		instances, "i", outage_us, &bounds, outage_us + 100000));
	EXPECT_TRUE(used(outage_us + 2 * second_us)); /* entries may be back by then */
	EXPECT_FALSE(used(outage_us + 100000 + expire_us));
}

/* Found in a hunt: a VM had its first answer 0.9 s after it had been cut off; what had left since
 * was used for 2.2 s more, and got work three seconds after the cut. */
TEST_F(Lapses, HoweverLateTheFirstAnswerNothingIsUsedThreeSecondsAfterAnOutage)
{
	uint64_t outage_us = 10 * second_us;
	ASSERT_TRUE(comet_instances_schedule_expiry(
		instances, "i", outage_us, &bounds, outage_us + 1600000));
	EXPECT_TRUE(used(outage_us + 2 * second_us));
	EXPECT_FALSE(used(outage_us + 3 * second_us));
}

TEST_F(Lapses, WhereTheDirectoryIsSoonWholeAgainTheyAreShorter)
{
	uint64_t outage_us = 10 * second_us;
	const comet_expiry_config soon = {expire_us, 2 * second_us};
	ASSERT_TRUE(comet_instances_schedule_expiry(
		instances, "i", outage_us, &soon, outage_us + 100000));
	EXPECT_TRUE(used(outage_us + second_us));
	EXPECT_FALSE(used(outage_us + 2 * second_us));
	const comet_expiry_config none = {expire_us, 0};
	EXPECT_FALSE(comet_instances_schedule_expiry(instances, "i", outage_us, &none, outage_us));
}

TEST_F(Lapses, WhatIsUnlistedLongAfterAnOutageIsGone)
{
	uint64_t outage_us = 10 * second_us;
	EXPECT_FALSE(comet_instances_schedule_expiry(
		instances, "i", outage_us, &bounds, outage_us + 5 * second_us));
}

TEST_F(Lapses, WhatIsListedAgainStays)
{
	uint64_t outage_us = 10 * second_us;
	ASSERT_TRUE(comet_instances_schedule_expiry(
		instances, "i", outage_us, &bounds, outage_us + 100000));
	comet_instance_record record = {"i", "llm", "127.0.0.1:1", "z", 4, 0, false, 0};
	comet_instances_put(instances, &record, outage_us + second_us);
	EXPECT_TRUE(used(outage_us + 9 * second_us));
}

/* Entries of services that nobody uses came and went, each with a name of its own, and something of
 * each stayed. What was learned of a service is kept while it has no endpoint. */
TEST_F(Lapses, AServiceThatNobodyUsedIsForgottenWithItsLastEndpoint)
{
	comet_instance *used = comet_instances_find(instances, "i");
	comet_request_size job = {0, 0, 0, false};
	comet_instance_started(used, &job);
	comet_instance_ended(used, &job, true, COMET_DISPATCH_SERVED, 700000, 0, second_us);
	uint64_t learned_us = comet_instances_typical_first_us(instances, "llm", &job);
	comet_instances_remove(instances, "i");
	for (int i = 0; i < 1000; i++)
	{
		std::string service = "s" + std::to_string(i);
		comet_instance_record record = {
			"j", service.c_str(), "127.0.0.1:1", "z", 4, 0, false, 0};
		comet_instances_put(instances, &record, second_us);
	}
	EXPECT_EQ(comet_instances_services(instances), 2U);
	EXPECT_NE(comet_instances_for_service(instances, "s999"), nullptr);
	EXPECT_EQ(comet_instances_for_service(instances, "llm"), nullptr);
	EXPECT_EQ(comet_instances_typical_first_us(instances, "llm", &job), learned_us);
}

struct LivesOfInstances : ::testing::Test
{
	comet_instances *instances = comet_instances_create(nullptr, "z");

	~LivesOfInstances() override
	{
		talloc_free(instances);
	}

	comet_instance *
	put(uint64_t process_start_ms, bool draining = false)
	{
		comet_instance_record record = {
			"i", "llm", "127.0.0.1:1", "z", 4, 0, draining, process_start_ms};
		return comet_instances_put(instances, &record, second_us);
	}
};

TEST_F(LivesOfInstances, ALaterLifeKnowsNothingOfTheEarlierOne)
{
	comet_instance *one = put(1000);
	uint64_t changes = comet_instances_changes(instances);
	uint32_t key = one->key;
	comet_request_size job = {600, 10, 10, true};
	comet_instance_started(one, &job);
	comet_instance_slot_granted(one, 600, second_us);
	comet_instance_load_reported(one, 3, second_us);
	comet_instance_seen(one, second_us);
	for (int i = 0; i < 5; i++)
		comet_instance_ended(one, &job, false, COMET_DISPATCH_BROKEN, 0, 0, 2 * second_us);
	one->pace = 3;
	comet_instance *two = put(2000);
	EXPECT_NE(two->key, key);
	EXPECT_EQ(two->place, comet_instance_key("i", 0)); /* it stays in its shard */
	EXPECT_EQ(comet_instances_find_key(instances, key), nullptr);
	EXPECT_EQ(comet_instances_find(instances, "i"), two);
	EXPECT_GT(comet_instances_changes(instances), changes);
	EXPECT_EQ(comet_instance_load(two, second_us), 0U);
	EXPECT_EQ(comet_instance_owned_load(two, second_us), 0U);
	EXPECT_EQ(two->local_prompt_tokens + two->failures + two->refusals, 0U);
	EXPECT_EQ(two->ejected_until_us + two->full_until_us + two->last_seen_us + two->reported_us,
		0U);
	EXPECT_EQ(two->pace, 1.0);
	EXPECT_EQ(comet_instances_for_service(instances, "llm")->len, 1U);
}

/* Ids of equal hash are two endpoints; the one that goes leaves the other to be found. */
TEST_F(LivesOfInstances, AnEndpointThatGoesTakesNoOtherWithIt)
{
	comet_instance *one = put(1000);
	comet_instance_record record = {"j", "llm", "127.0.0.1:2", "z", 4, 0, false, 5};
	comet_instance *other = comet_instances_put(instances, &record, second_us);
	other->key = one->key;
	comet_instances_remove(instances, "j");
	EXPECT_EQ(comet_instances_find_key(instances, one->key), one);
}

} // namespace
