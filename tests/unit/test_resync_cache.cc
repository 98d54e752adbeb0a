/*
 * test_resync_cache.cc
 * tests of the packed snapshots and deltas that VMs send each other
 */
#include <gtest/gtest.h>

extern "C"
{
#include <libcometspindle/adapters/gateway/resync_cache.h>
}
#include <string>
#include <talloc.h>

namespace
{

GBytes *
bytes_of(const std::string &text)
{
	return g_bytes_new(text.data(), text.size());
}

std::string
text_of(GBytes *bytes)
{
	gsize length = 0;
	const char *data = static_cast<const char *>(g_bytes_get_data(bytes, &length));
	std::string text(data, length);

	g_bytes_unref(bytes);
	return text;
}

std::string
pack(const std::string &text)
{
	GBytes *bytes = bytes_of(text);
	std::string packed = text_of(comet_resync_pack(bytes));

	g_bytes_unref(bytes);
	return packed;
}

std::string
long_text()
{
	std::string text = "{\"entries\":[";
	for (int i = 0; i < 500; i++)
		text += "{\"private_key\":\"servers/i-" + std::to_string(i) + "\"},";
	return text + "{}]}";
}

TEST(ResyncPacking, ALongTextIsPackedAndAShortOneIsNot)
{
	std::string packed = pack(long_text());

	EXPECT_LT(packed.size(), long_text().size() / 4);
	EXPECT_EQ(pack("{}"), "{}");
	for (const std::string &body : {packed, std::string("{}"), long_text()})
	{
		GError *error = nullptr;
		GBytes *text = comet_resync_unpack(body.data(), body.size(), &error);
		ASSERT_NE(text, nullptr) << error->message;
		std::string expected = body == "{}" ? "{}" : long_text();
		EXPECT_EQ(text_of(text), expected);
	}
}

TEST(ResyncPacking, ADamagedTextIsRejected)
{
	std::string packed = pack(long_text());

	for (size_t at : {(size_t)0, (size_t)40, packed.size() - 1})
	{
		GError *error = nullptr;
		std::string damaged = packed;
		damaged[at] = (char)(damaged[at] ^ 1);
		EXPECT_EQ(comet_resync_unpack(damaged.data(), damaged.size(), &error), nullptr);
		g_clear_error(&error);
	}
	for (size_t length : {(size_t)0, (size_t)31, (size_t)32, packed.size() / 2})
	{
		GError *error = nullptr;
		EXPECT_EQ(comet_resync_unpack(packed.data(), length, &error), nullptr);
		g_clear_error(&error);
	}
}

TEST(ResyncCache, AResponseIsKeptForASecondOrUntilAChange)
{
	comet_resync_cache *cache = comet_resync_cache_create(nullptr);
	GBytes *first = bytes_of("first");
	GBytes *second = bytes_of("second");

	EXPECT_EQ(comet_resync_cache_find(cache, "/a"), nullptr);
	comet_resync_cache_add(cache, "/a", first, 1000000);
	comet_resync_cache_add(cache, "/b", second, 1900000);
	EXPECT_EQ(text_of(comet_resync_cache_find(cache, "/a")), "first");
	EXPECT_EQ(text_of(comet_resync_cache_find(cache, "/b")), "second");
	comet_resync_cache_tick(cache, 1999999);
	EXPECT_EQ(text_of(comet_resync_cache_find(cache, "/a")), "first");
	comet_resync_cache_tick(cache, 2000000);
	EXPECT_EQ(comet_resync_cache_find(cache, "/a"), nullptr);
	comet_resync_cache_add(cache, "/a", first, 3000000);
	comet_resync_cache_clear(cache);
	EXPECT_EQ(comet_resync_cache_find(cache, "/a"), nullptr);
	g_bytes_unref(first);
	g_bytes_unref(second);
	talloc_free(cache);
}

/* Peers choose the positions in their targets. */
TEST(ResyncCache, ResponsesAreBounded)
{
	comet_resync_cache *cache = comet_resync_cache_create(nullptr);
	GBytes *response = bytes_of("response");
	int found = 0;

	for (int i = 0; i < 1000; i++)
		comet_resync_cache_add(cache, std::to_string(i).c_str(), response, 1000000);
	for (int i = 0; i < 1000; i++)
	{
		GBytes *one = comet_resync_cache_find(cache, std::to_string(i).c_str());
		found += one != nullptr ? 1 : 0;
		g_clear_pointer(&one, g_bytes_unref);
	}
	EXPECT_LE(found, 64);
	g_bytes_unref(response);
	talloc_free(cache);
}

} // namespace
