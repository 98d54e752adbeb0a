/*
 * test_advertisements.cc
 * what endpoints state about their own condition: decoding and observation order
 */
#include "head_fields.h"
#include <gtest/gtest.h>

extern "C"
{
#include <libcometspindle/gateway/endpoints/advertised_limit.h>
#include <libcometspindle/gateway/endpoints/brittleness.h>
#include <platform/advertisement.h>
}
#include <string>
#include <vector>

namespace
{

/* Decodes a response with these headers. */
comet_advertisement
decode(std::vector<std::pair<std::string, std::string>> headers, uint16_t status = 200)
{
	head_fields fields(headers);
	comet_advertisement advertisement = {};

	fields.head.status = status;
	comet_platform_decode_advertisement(&fields.head, "i-1", &advertisement);
	return advertisement;
}

TEST(Advertisements, LimitIsADecimalNumber)
{
	EXPECT_EQ(decode({}).limit, COMET_ADVERTISED_ABSENT);
	for (auto &valid : std::vector<std::pair<std::string, double>>{
		     {"2", 2}, {"2.8", 2.8}, {"0.25", 0.25}, {"0", 0}, {"1000000", 1e6}})
	{
		comet_advertisement got = decode({{"server-limit", valid.first}});
		EXPECT_EQ(got.limit, COMET_ADVERTISED_VALID) << valid.first;
		EXPECT_DOUBLE_EQ(got.limit_per_s, valid.second);
	}
}

TEST(Advertisements, MalformedLimitsAreMarked)
{
	for (const char *invalid : {"", " ", "-1", "+1", ".5", "5.", "1.2.3", "1e3", "nan", "inf",
		     "0x10", "2 ", "2,3", "1000001", "two"})
		EXPECT_EQ(decode({{"Server-Limit", invalid}}).limit, COMET_ADVERTISED_MALFORMED)
			<< invalid;
	EXPECT_EQ(decode({{"Server-Limit", "2"}, {"Server-Limit", "3"}}).limit,
		COMET_ADVERTISED_MALFORMED);
}

TEST(AdvertisedLimit, OlderObservationsAreIgnored)
{
	comet_advertised_limit limit = {};

	EXPECT_FALSE(comet_advertised_limit_observe(&limit, -1, 100));
	EXPECT_TRUE(comet_advertised_limit_observe(&limit, 2, 200));
	EXPECT_FALSE(comet_advertised_limit_observe(&limit, -1, 150));
	EXPECT_TRUE(limit.active);
	EXPECT_FALSE(comet_advertised_limit_observe(&limit, 2.1, 300));
	EXPECT_DOUBLE_EQ(limit.max_per_s, 2.1);
	EXPECT_TRUE(comet_advertised_limit_observe(&limit, 4, 400));
	EXPECT_TRUE(comet_advertised_limit_observe(&limit, -1, 500));
	EXPECT_FALSE(limit.active);
}

TEST(Advertisements, RejectionsAreAWholeNumber)
{
	EXPECT_EQ(decode({}).brittle, COMET_ADVERTISED_ABSENT);
	comet_advertisement got = decode({{"server-brittle", "4"}});
	EXPECT_EQ(got.brittle, COMET_ADVERTISED_VALID);
	EXPECT_EQ(got.rejections_per_s, 4U);
	EXPECT_EQ(decode({{"Server-Brittle", "0"}}).brittle, COMET_ADVERTISED_VALID);
	for (const char *invalid : {"", "-1", "2.5", "1e3", "3 ", "many", "1000001"})
		EXPECT_EQ(decode({{"Server-Brittle", invalid}}).brittle, COMET_ADVERTISED_MALFORMED)
			<< invalid;
}

TEST(Brittleness, RequestsAreSentOneAfterTheOther)
{
	comet_brittleness state = {};

	EXPECT_TRUE(comet_brittleness_admits(&state, 1000000));
	EXPECT_TRUE(comet_brittleness_observe(&state, true, 4, 1000000));
	comet_brittleness_count(&state, 1000000);
	EXPECT_FALSE(comet_brittleness_admits(&state, 1020000));
	EXPECT_TRUE(comet_brittleness_admits(&state, 1025000));
	EXPECT_EQ(comet_brittleness_usable_slots(&state, 7), 7U);
	EXPECT_FALSE(comet_brittleness_observe(&state, false, 0, 900000)) << "older";
	EXPECT_FALSE(comet_brittleness_observe(&state, true, 0, 1100000));
	EXPECT_EQ(comet_brittleness_usable_slots(&state, 7), 6U);
	EXPECT_EQ(comet_brittleness_usable_slots(&state, 1), 1U);
	EXPECT_TRUE(comet_brittleness_observe(&state, false, 0, 1200000));
	EXPECT_TRUE(comet_brittleness_admits(&state, 1100001));
}

TEST(Advertisements, LeavingHasOneValue)
{
	EXPECT_EQ(decode({}).leaving, COMET_ADVERTISED_ABSENT);
	EXPECT_EQ(decode({{"server-leaving", "1"}}).leaving, COMET_ADVERTISED_VALID);
	EXPECT_EQ(decode({{"Server-Leaving", "1"}}, 503).leaving, COMET_ADVERTISED_VALID);
	for (const char *invalid : {"", "0", "2", "-1", "01", "1 ", "1.0", "true", "yes"})
		EXPECT_EQ(decode({{"Server-Leaving", invalid}}).leaving, COMET_ADVERTISED_MALFORMED)
			<< invalid;
	EXPECT_EQ(decode({{"Server-Leaving", "1"}, {"Server-Leaving", "1"}}).leaving,
		COMET_ADVERTISED_MALFORMED);
}

TEST(Advertisements, RestIsStatedWithARejection)
{
	EXPECT_EQ(decode({}, 503).rest, COMET_ADVERTISED_ABSENT);
	EXPECT_EQ(decode({{"Retry-After", "3"}}, 200).rest, COMET_ADVERTISED_ABSENT);
	EXPECT_EQ(decode({{"Retry-After", "3"}}, 429).rest, COMET_ADVERTISED_ABSENT);
	for (auto &valid : std::vector<std::pair<std::string, uint32_t>>{
		     {"3", 3000}, {"0", 0}, {"0.25", 250}, {"2.5", 2500}, {"600", 600000}})
	{
		comet_advertisement got = decode({{"retry-after", valid.first}}, 503);
		EXPECT_EQ(got.rest, COMET_ADVERTISED_VALID) << valid.first;
		EXPECT_EQ(got.rest_ms, valid.second);
	}
	for (const char *invalid : {"", "-1", "+3", "3s", "1e3", "0x3", "nan", "601", "1000000000",
		     "soon", "Fri, 31 Dec 1999 23:59:59 GMT"})
		EXPECT_EQ(decode({{"Retry-After", invalid}}, 503).rest, COMET_ADVERTISED_MALFORMED)
			<< invalid;
	EXPECT_EQ(decode({{"Retry-After", "1"}, {"Retry-After", "2"}}, 503).rest,
		COMET_ADVERTISED_MALFORMED);
}

} // namespace
