/*
 * test_instances.cc
 * expiry of endpoints that the directory no longer lists, and state across incarnations
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
constexpr uint64_t expiry_us = 2200000;
constexpr comet_expiry_config config = {expiry_us, 3 * second_us};

struct Expiry : ::testing::Test
{
	comet_instances *instances = comet_instances_create(nullptr, "z");

	void
	SetUp() override
	{
		comet_instance_record record = {
			"i", "llm", "127.0.0.1:1", "z", 4, 0, false, 0, "v1"};
		comet_instances_update(instances, &record, 0);
	}

	~Expiry() override
	{
		talloc_free(instances);
	}

	/* Returns whether the endpoint is still in use at a time. */
	bool
	in_use(uint64_t now_us)
	{
		comet_instances_tick(
			instances, now_us, [](void *, const char *) {}, nullptr);
		return comet_instances_find(instances, "i") != nullptr;
	}
};

TEST_F(Expiry, AnEndpointUnlistedAfterAnOutageStaysInUseUntilItExpires)
{
	uint64_t outage_us = 10 * second_us;
	ASSERT_TRUE(comet_instances_schedule_expiry(
		instances, "i", outage_us, &config, outage_us + 100000));
	EXPECT_TRUE(in_use(outage_us + 2 * second_us)); /* its entry may be listed again by then */
	EXPECT_FALSE(in_use(outage_us + 100000 + expiry_us));
}

/* A VM received its first answer 0.9 s after it was disconnected, and used endpoints that had left
 * in the meantime for 2.2 s more. They received requests 3 s after the disconnection. */
TEST_F(Expiry, ALateFirstAnswerDoesNotExtendUseBeyondThreeSecondsAfterAnOutage)
{
	uint64_t outage_us = 10 * second_us;
	ASSERT_TRUE(comet_instances_schedule_expiry(
		instances, "i", outage_us, &config, outage_us + 1600000));
	EXPECT_TRUE(in_use(outage_us + 2 * second_us));
	EXPECT_FALSE(in_use(outage_us + 3 * second_us));
}

TEST_F(Expiry, ExpiryIsEarlierIfTheDirectoryIsCompleteSooner)
{
	uint64_t outage_us = 10 * second_us;
	const comet_expiry_config soon = {expiry_us, 2 * second_us};
	ASSERT_TRUE(comet_instances_schedule_expiry(
		instances, "i", outage_us, &soon, outage_us + 100000));
	EXPECT_TRUE(in_use(outage_us + second_us));
	EXPECT_FALSE(in_use(outage_us + 2 * second_us));
	const comet_expiry_config none = {expiry_us, 0};
	EXPECT_FALSE(comet_instances_schedule_expiry(instances, "i", outage_us, &none, outage_us));
}

TEST_F(Expiry, AnEndpointUnlistedLongAfterAnOutageIsNotUsed)
{
	uint64_t outage_us = 10 * second_us;
	EXPECT_FALSE(comet_instances_schedule_expiry(
		instances, "i", outage_us, &config, outage_us + 5 * second_us));
}

TEST_F(Expiry, AnEndpointThatIsListedAgainDoesNotExpire)
{
	uint64_t outage_us = 10 * second_us;
	ASSERT_TRUE(comet_instances_schedule_expiry(
		instances, "i", outage_us, &config, outage_us + 100000));
	comet_instance_record record = {"i", "llm", "127.0.0.1:1", "z", 4, 0, false, 0, "v1"};
	comet_instances_update(instances, &record, outage_us + second_us);
	EXPECT_TRUE(in_use(outage_us + 9 * second_us));
}

/* State of unused services accumulated while entries with ever new service names were added and
 * removed. A service for which latency was learned is kept while it has no endpoint. */
TEST_F(Expiry, AnUnusedServiceIsDroppedWithItsLastEndpoint)
{
	comet_instance *only = comet_instances_find(instances, "i");
	comet_request_size size = {0, 0, 0, false};
	comet_instance_dispatch_started(only, &size);
	comet_instance_dispatch_ended(
		only, &size, true, COMET_DISPATCH_SERVED, 700000, 0, 0, second_us);
	uint64_t learned_us = comet_instances_typical_first_us(instances, "llm", &size);
	comet_instances_remove(instances, "i");
	for (int i = 0; i < 1000; i++)
	{
		std::string service = "s" + std::to_string(i);
		comet_instance_record record = {
			"j", service.c_str(), "127.0.0.1:1", "z", 4, 0, false, 0, "v1"};
		comet_instances_update(instances, &record, second_us);
	}
	EXPECT_EQ(comet_instances_service_count(instances), 2U);
	EXPECT_NE(comet_instances_for_service(instances, "s999"), nullptr);
	EXPECT_EQ(comet_instances_for_service(instances, "llm"), nullptr);
	EXPECT_EQ(comet_instances_typical_first_us(instances, "llm", &size), learned_us);
}

/* The time until the first event contains the prompts that are read before. Learned as the time for
 * the request's own prompt, to which the prompts ahead were added again, it made long prompts look
 * late at endpoints that served them in time. */
TEST_F(Expiry, PromptsAheadAreNotCountedTwice)
{
	constexpr double token_us = 100;
	comet_instance *instance = comet_instances_find(instances, "i");
	comet_request_size size = {6000, 100, 100, true};
	uint64_t now_us = second_us;

	for (int i = 0; i < 400; i++)
	{
		comet_request_size other = {i % 2 == 0 ? 6000U : 2000U, 100, 100, true};
		comet_instance_dispatch_started(instance, &other);
		uint32_t ahead = comet_instance_prompt_tokens_ahead(instance, now_us);
		EXPECT_EQ(ahead, other.prompt_tokens);
		comet_instance_dispatch_started(instance, &size);
		uint64_t first_us = (uint64_t)((ahead + size.prompt_tokens) * token_us);
		now_us += first_us;
		comet_instance_first_event(instance, &size, ahead, first_us, now_us);
		comet_instance_first_event(
			instance, &other, size.prompt_tokens, COMET_LATENCY_UNKNOWN, now_us);
		for (const auto &ended : {size, other})
			comet_instance_dispatch_ended(
				instance, &ended, true, COMET_DISPATCH_CANCELLED, 0, 0, 0, now_us);
	}
	uint64_t first_us = 0;
	uint64_t total_us = 0;
	comet_instance_estimate(instance, &size, now_us, &first_us, &total_us);
	EXPECT_LT((double)first_us, 1.2 * size.prompt_tokens * token_us);
	EXPECT_GT((double)first_us, 0.8 * size.prompt_tokens * token_us);
}

struct InstanceIncarnations : ::testing::Test
{
	comet_instances *instances = comet_instances_create(nullptr, "z");

	~InstanceIncarnations() override
	{
		talloc_free(instances);
	}

	comet_instance *
	put(uint64_t process_start_ms, bool draining = false)
	{
		comet_instance_record record = {
			"i", "llm", "127.0.0.1:1", "z", 4, 0, draining, process_start_ms, "v1"};
		return comet_instances_update(instances, &record, second_us);
	}
};

TEST_F(InstanceIncarnations, ALaterIncarnationStartsWithoutStateOfTheEarlierOne)
{
	comet_instance *earlier = put(1000);
	uint64_t changes = comet_instances_change_count(instances);
	uint32_t key = earlier->key;
	comet_request_size size = {600, 10, 10, true};
	comet_instance_dispatch_started(earlier, &size);
	comet_instance_slot_granted(earlier, 600, second_us);
	comet_instance_load_reported(earlier, 3, second_us);
	comet_instance_seen(earlier, second_us);
	for (int i = 0; i < 5; i++)
		comet_instance_dispatch_ended(
			earlier, &size, false, COMET_DISPATCH_BROKEN, 0, 0, 0, 2 * second_us);
	earlier->relative_latency = 3;
	comet_instance *later = put(2000);
	EXPECT_NE(later->key, key);
	EXPECT_EQ(later->id_hash, comet_instance_key("i", 0)); /* the endpoint stays in its shard */
	EXPECT_EQ(comet_instances_find_key(instances, key), nullptr);
	EXPECT_EQ(comet_instances_find(instances, "i"), later);
	EXPECT_GT(comet_instances_change_count(instances), changes);
	EXPECT_EQ(comet_instance_load(later, second_us), 0U);
	EXPECT_EQ(comet_instance_owned_load(later, second_us), 0U);
	EXPECT_EQ(later->local_prompt_tokens + later->failures + later->refusals, 0U);
	EXPECT_EQ(later->ejected_until_us + later->full_until_us + later->last_seen_us +
			  later->reported_us,
		0U);
	EXPECT_EQ(later->relative_latency, 1.0);
	EXPECT_EQ(comet_instances_for_service(instances, "llm")->len, 1U);
}

/* An endpoint with silent attempts. */
struct SilentAttempts : InstanceIncarnations
{
	comet_instance *instance = put(1000);
	comet_request_size size = {600, 10, 10, true};

	void
	end(enum comet_dispatch_result result, uint64_t sent_us, uint64_t now_us)
	{
		comet_instance_dispatch_started(instance, &size);
		if (result == COMET_DISPATCH_SILENT)
			comet_instance_eject_if_silent(instance, sent_us, now_us);
		comet_instance_dispatch_ended(
			instance, &size, false, result, 0, 0, sent_us, now_us);
	}

	void
	end_together(uint64_t now_us, int n)
	{
		for (int i = 0; i < n; i++)
			end(COMET_DISPATCH_SILENT, second_us, now_us + (uint64_t)i * 1000);
	}

	void
	end_probe(enum comet_dispatch_result result, uint64_t sent_us, uint64_t now_us)
	{
		comet_instance_selected(instance, sent_us);
		end(result, sent_us, now_us);
	}
};

/* Streams that became silent together extended the ejection up to its maximum: of two endpoints
 * with twelve silent streams each, none was used again before the callers' deadlines. */
TEST_F(SilentAttempts, EjectOnceIfTheyBecameSilentTogether)
{
	end_together(2 * second_us, 12);
	EXPECT_GE(instance->ejected_until_us, 3 * second_us);
	EXPECT_LE(instance->ejected_until_us, 3 * second_us + 100000);
	/* Some end only when their replacements get slots. */
	end(COMET_DISPATCH_SILENT, second_us, 4 * second_us);
	EXPECT_EQ(instance->failures, 2U);
	EXPECT_LE(instance->ejected_until_us, 4 * second_us + 500000);
}

/* An endpoint that stays silent must not be probed again and again at the shortest interval, also
 * if another attempt ends while a probe is under way. */
TEST_F(SilentAttempts, OfProbesExtendTheEjection)
{
	end_together(2 * second_us, 12);
	comet_instance_selected(instance, 4 * second_us);
	end(COMET_DISPATCH_CANCELLED, second_us, 4 * second_us + 100000);
	end(COMET_DISPATCH_SILENT, 4 * second_us, 5 * second_us);
	EXPECT_EQ(instance->ejected_until_us, 7 * second_us);
	end_probe(COMET_DISPATCH_SILENT, 8 * second_us, 9 * second_us);
	EXPECT_EQ(instance->ejected_until_us, 13 * second_us);
}

/* A silent attempt that was sent before the ejection must not count as the probe, nor eject an
 * endpoint that has recovered since. */
TEST_F(SilentAttempts, FromBeforeTheEjectionDoNotCountDuringOrAfterAProbe)
{
	end_together(2 * second_us, 12);
	comet_instance_selected(instance, 4 * second_us);
	comet_instance_seen(instance, 4 * second_us + 50000);
	end(COMET_DISPATCH_SILENT, second_us, 4 * second_us + 100000);
	EXPECT_TRUE(instance->probe_in_flight);
	end(COMET_DISPATCH_SERVED, 4 * second_us, 4 * second_us + 200000);
	EXPECT_EQ(instance->ejected_until_us, 0U);
	end_together(5 * second_us, 3);
	EXPECT_EQ(instance->ejected_until_us, 0U);
}

/* The owner of a shard is told of silent attempts by other VMs, without the time of sending. */
TEST_F(SilentAttempts, OfOtherVmsEjectOnce)
{
	for (uint64_t i = 0; i < 12; i++)
		comet_instance_remote_result(
			instance, COMET_DISPATCH_SILENT, 2 * second_us + i * 1000);
	EXPECT_EQ(instance->ejected_until_us, 3 * second_us + 1000);
	comet_instance_remote_result(instance, COMET_DISPATCH_BROKEN, 2 * second_us + 100000);
	EXPECT_EQ(instance->failures, 3U);
}

/* Two endpoints may have the same key: after one is removed, the other must still be found. */
TEST_F(InstanceIncarnations, RemovingAnEndpointKeepsAnotherWithTheSameKey)
{
	comet_instance *remaining = put(1000);
	comet_instance_record record = {"j", "llm", "127.0.0.1:2", "z", 4, 0, false, 5, "v1"};
	comet_instance *removed = comet_instances_update(instances, &record, second_us);
	removed->key = remaining->key;
	comet_instances_remove(instances, "j");
	EXPECT_EQ(comet_instances_find_key(instances, remaining->key), remaining);
}

/* Each VM ticks twenty times per second before thousands of endpoints. */
TEST_F(Expiry, ATickVisitsNoEndpointUnlessOneExpires)
{
	for (int i = 0; i < 3000; i++)
	{
		std::string id = "e" + std::to_string(i);
		comet_instance_record record = {
			id.c_str(), "llm", "127.0.0.1:1", "z", 4, 0, false, 0, "v1"};
		comet_instances_update(instances, &record, 0);
	}
	uint64_t visits = comet_instances_visit_count(instances);
	EXPECT_TRUE(in_use(second_us));
	EXPECT_EQ(comet_instances_visit_count(instances), visits);
	ASSERT_TRUE(comet_instances_schedule_expiry(
		instances, "i", 2 * second_us, &config, 2 * second_us));
	EXPECT_TRUE(in_use(3 * second_us));
	EXPECT_GT(comet_instances_visit_count(instances), visits);
	EXPECT_FALSE(in_use(2 * second_us + expiry_us));
	/* an entry that is listed again, and one that is removed, expire no longer */
	for (const char *id : {"e1", "e2"})
		ASSERT_TRUE(comet_instances_schedule_expiry(
			instances, id, 5 * second_us, &config, 5 * second_us));
	comet_instance_record again = {"e1", "llm", "127.0.0.1:1", "z", 4, 0, false, 0, "v1"};
	comet_instances_update(instances, &again, 6 * second_us);
	comet_instances_remove(instances, "e2");
	visits = comet_instances_visit_count(instances);
	in_use(60 * second_us);
	EXPECT_EQ(comet_instances_visit_count(instances), visits);
	EXPECT_NE(comet_instances_find(instances, "e1"), nullptr);
}

} // namespace
