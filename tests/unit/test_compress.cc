/*
 * test_compress.cc
 * compressed texts and changes: what comes out, and what is refused
 */
#include <gtest/gtest.h>

extern "C"
{
#include <libcometspindle/compress.h>
}
#include <string>

namespace
{

constexpr size_t MAX_BYTES = 4 * 1024 * 1024;

comet_byte_span
text_of(const std::string &text)
{
	return {text.data(), text.size()};
}

std::string
digest_of(const std::string &text)
{
	char digest[COMET_DIGEST_CHARS];
	comet_byte_span view = text_of(text);

	comet_digest(&view, digest);
	return digest;
}

std::string
packed(const std::string &text, const std::string *base)
{
	comet_byte_span view = text_of(text);
	comet_byte_span before = base != nullptr ? text_of(*base) : comet_byte_span{};
	GBytes *bytes = comet_compress(&view, base != nullptr ? &before : nullptr);
	std::string result(static_cast<const char *>(g_bytes_get_data(bytes, nullptr)),
		g_bytes_get_size(bytes));

	g_bytes_unref(bytes);
	return result;
}

/* What is unpacked; "(refused)" if nothing is. */
std::string
unpacked(const std::string &text, const std::string *base, const std::string &digest,
	size_t max_bytes = MAX_BYTES)
{
	comet_byte_span view = text_of(text);
	comet_byte_span before = base != nullptr ? text_of(*base) : comet_byte_span{};
	GError *error = nullptr;
	GBytes *bytes = comet_decompress(
		&view, base != nullptr ? &before : nullptr, max_bytes, digest.c_str(), &error);

	EXPECT_EQ(bytes == nullptr, error != nullptr);
	g_clear_error(&error);
	if (bytes == nullptr)
		return "(refused)";
	std::string result(static_cast<const char *>(g_bytes_get_data(bytes, nullptr)),
		g_bytes_get_size(bytes));
	g_bytes_unref(bytes);
	return result;
}

/* A text that hardly compresses. */
std::string
noise(size_t length, uint32_t seed)
{
	std::string text;

	for (size_t i = 0; i < length; i++)
	{
		seed = seed * 1664525 + 1013904223;
		text += static_cast<char>(seed >> 24);
	}
	return text;
}

TEST(Pack, WhatIsPackedComesOutAgain)
{
	for (const std::string &text : {std::string(), std::string("a"), noise(1000000, 1),
		     std::string(1000000, 'x'), std::string("a\0b", 3)})
		EXPECT_EQ(unpacked(packed(text, nullptr), nullptr, digest_of(text)), text);
}

TEST(Pack, AChangeIsAsLargeAsWhatHasChanged)
{
	std::string before = noise(1000000, 1);
	std::string after = before.substr(0, 300000) + "one route more" + before.substr(300000);

	EXPECT_LT(packed(after, &before).size(), 1000U);
	EXPECT_EQ(unpacked(packed(after, &before), &before, digest_of(after)), after);
}

TEST(Pack, WhatIsDamagedIsRefused)
{
	std::string before = noise(20000, 1);
	std::string after = before + "more" + noise(100, 2);
	std::string change = packed(after, &before);

	EXPECT_EQ(unpacked(change, &before, digest_of(before)), "(refused)") << "another digest";
	EXPECT_EQ(unpacked(change, nullptr, digest_of(after)), "(refused)") << "no base";
	std::string other = noise(20000, 3);
	EXPECT_EQ(unpacked(change, &other, digest_of(after)), "(refused)") << "another base";
	for (size_t i = 0; i < change.size(); i++)
	{
		std::string bad = change;
		bad[i] ^= 0x55;
		std::string result = unpacked(bad, &before, digest_of(after));
		EXPECT_TRUE(result == "(refused)" || result == after) << i;
		EXPECT_EQ(unpacked(change.substr(0, i), &before, digest_of(after)), "(refused)");
	}
}

TEST(Pack, WhatWouldGrowBeyondTheBoundIsRefused)
{
	std::string text(MAX_BYTES + 1, 'x');

	EXPECT_EQ(unpacked(packed(text, nullptr), nullptr, digest_of(text)), "(refused)");
	EXPECT_EQ(unpacked(packed(text, nullptr), nullptr, digest_of(text), text.size()), text);
}

} /* namespace */
