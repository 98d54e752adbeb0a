/*
 * test_resumption.cc
 * how callers name the stream that a request resumes
 */
#include "head_fields.h"
#include <gtest/gtest.h>

extern "C"
{
#include <platform/resumption.h>
}
#include <string>
#include <vector>

namespace
{

/* Decodes a request with these values of the header. @return the stream; "": none */
std::string
decode(std::vector<std::string> values)
{
	std::vector<std::pair<std::string, std::string>> headers;
	comet_resumption resumption = {};

	for (std::string &value : values)
		headers.emplace_back("resumes", value);
	head_fields fields(headers);
	comet_platform_decode_resumption(&fields.head, "request", &resumption);
	return resumption.stream != nullptr ? resumption.stream : "";
}

TEST(Resumption, NamesARequest)
{
	EXPECT_EQ(decode({}), "");
	EXPECT_EQ(decode({"748465a1d2fa64ed"}), "748465a1d2fa64ed");
	EXPECT_EQ(decode({"Caller-1_a.b:7"}), "Caller-1_a.b:7");
	EXPECT_EQ(decode({std::string(128, 'a')}), std::string(128, 'a'));
}

TEST(Resumption, MalformedNamesAreIgnored)
{
	for (const char *value : {"", " ", "a b", "a,b", "a\"b", "a=b", "\xc3\xa4", "a\tb"})
		EXPECT_EQ(decode({value}), "") << value;
	EXPECT_EQ(decode({std::string(129, 'a')}), "");
	EXPECT_EQ(decode({"a", "a"}), "");
}

} // namespace
