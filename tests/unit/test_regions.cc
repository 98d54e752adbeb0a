/*
 * test_regions.cc
 * Tests that requests are served only in the regions that their route and
 * team allow.
 */
#include "placement_fixture.h"

extern "C"
{
#include <libcometspindle/gateway/routing/routes.h>
#include <libcometspindle/gateway/settings.h>
#include <libcometspindle/hash.h>
#include <platform/document_parser.h>
}
#include <cstring>

namespace
{

comet_region_set
set_of(void *parent, std::vector<const char *> names)
{
	return comet_region_set_create(parent, names.data(), (uint32_t)names.size());
}

TEST(Regions, OnlyNamedRegionsAreAllowed)
{
	void *memory = talloc_new(nullptr);
	comet_region_set none = set_of(memory, {});
	comet_region_set two = set_of(memory, {"north", "south"});

	EXPECT_TRUE(comet_region_set_allows(nullptr, comet_hash_name("east")));
	EXPECT_TRUE(comet_region_set_allows(&none, comet_hash_name("east")));
	EXPECT_TRUE(comet_region_set_allows(&none, COMET_REGION_UNKNOWN));
	EXPECT_TRUE(comet_region_set_allows(&two, comet_hash_name("north")));
	EXPECT_TRUE(comet_region_set_allows(&two, comet_hash_name("south")));
	EXPECT_FALSE(comet_region_set_allows(&two, comet_hash_name("east")));
	EXPECT_FALSE(comet_region_set_allows(&two, COMET_REGION_UNKNOWN));
	talloc_free(memory);
}

const char document[] = R"({"version": 1, "routes": [
	{"name": "r", "hostname": "h", "path_prefix": "/", "service": "s",
	 "allowed_regions": ["north"]}],
	"tenants": [{"name": "t", "api_keys": ["k"], "allowed_regions": ["north", "south"]}]})";

TEST(Regions, AreReadFromTheDocument)
{
	GError *error = nullptr;
	comet_route_table *table = comet_platform_parse_routes(document, strlen(document), &error);

	ASSERT_NE(table, nullptr) << error->message;
	const comet_route *route = comet_route_table_find(table, "h", "/x");
	const comet_route_team *team = comet_route_table_team_by_key(table, "k");
	EXPECT_TRUE(comet_region_set_allows(&route->regions, comet_hash_name("north")));
	EXPECT_FALSE(comet_region_set_allows(&route->regions, comet_hash_name("south")));
	EXPECT_TRUE(comet_region_set_allows(&team->regions, comet_hash_name("south")));
	EXPECT_FALSE(comet_region_set_allows(&team->regions, comet_hash_name("east")));
	comet_route_table_unref(table);
}

TEST(Regions, AnInvalidListRefusesTheDocument)
{
	for (const char *list : {"\"north\"", "[1]", "[\"\"]", "[null]"})
	{
		GError *error = nullptr;
		std::string text = std::string(document);
		text.replace(text.find("[\"north\"]"), strlen("[\"north\"]"), list);
		EXPECT_EQ(comet_platform_parse_routes(text.data(), text.size(), &error), nullptr);
		ASSERT_NE(error, nullptr) << list;
		EXPECT_NE(strstr(error->message, "routes[0].allowed_regions"), nullptr)
			<< error->message;
		g_clear_error(&error);
	}
}

TEST(Regions, ZonesAreReadFromTheSettings)
{
	GError *error = nullptr;
	std::string text = R"({"gateway": {"name": "n", "zone": "z1", "callers": "127.0.0.1:1",
		"readiness": "127.0.0.1:2", "control": "127.0.0.1:3", "peers": "127.0.0.1:4",
		"directory": "127.0.0.1:5", "zone_regions": {"z1": "north", "z2": "south"}}})";
	comet_gateway_settings *settings =
		comet_gateway_settings_parse(text.data(), text.size(), &error);

	ASSERT_NE(settings, nullptr) << error->message;
	EXPECT_STREQ((char *)g_hash_table_lookup(settings->zone_regions, "z2"), "south");
	EXPECT_EQ(g_hash_table_size(settings->zone_regions), 2U);
	talloc_free(settings);
	text.replace(text.find("\"south\""), strlen("\"south\""), "7");
	EXPECT_EQ(comet_gateway_settings_parse(text.data(), text.size(), &error), nullptr);
	EXPECT_NE(strstr(error->message, "gateway.zone_regions.z2"), nullptr) << error->message;
	g_clear_error(&error);
}

/* Zone z1 is in the north and z2 in the south; z3 is in no region. */
class RegionPlacementTest : public PlacementTest
{
      protected:
	void
	SetUp() override
	{
		PlacementTest::SetUp();
		comet_instances_set_region(instances, "z1", "north");
		comet_instances_set_region(instances, "z2", "south");
		south = set_of(instances, {"south"});
		both = set_of(instances, {"north", "south"});
	}

	comet_region_set south;
	comet_region_set both;
};

TEST_F(RegionPlacementTest, ARestrictedRequestGoesToNoOtherRegion)
{
	comet_placement_item one = item(0);
	comet_placement_item two = item(0);
	comet_placement_item three = item(0);

	add("near", "z1");
	add("unknown", "z3");
	add("far", "z2");
	one.route_regions = &south;
	two.route_regions = &both;
	two.team_regions = &south;
	three.route_regions = &south;
	for (comet_placement_item *each : {&one, &two, &three})
		comet_placement_submit(placement, each, now_us);
	for (const dispatch_record &record : dispatched)
		EXPECT_EQ(record.instance, "far");
	EXPECT_EQ(dispatched.size() + waiting("llm"), 3U);
	EXPECT_GE(dispatched.size(), 2U);
}

TEST_F(RegionPlacementTest, ARequestWithoutAnAllowedEndpointIsRefusedSoon)
{
	comet_placement_item one = item(0);

	add("near", "z1");
	one.team_regions = &south;
	comet_placement_submit(placement, &one, now_us);
	now_us += 200000;
	comet_placement_run(placement, now_us);
	EXPECT_TRUE(dispatched.empty());
	EXPECT_EQ(refused.size(), 1U);
}

} // namespace
