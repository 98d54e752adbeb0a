/*
 * test_event_stream.cc
 * tests of splitting a stream of server-sent events into complete events
 */
#include <gtest/gtest.h>

extern "C"
{
#include <libcometspindle/gateway/event_stream.h>
}
#include <algorithm>
#include <cstring>
#include <string>
#include <talloc.h>

namespace
{

TEST(EventStream, PassesOnlyWholeEvents)
{
	comet_event_stream *stream = comet_event_stream_create(nullptr);
	const char *text = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 3\nda";

	/* byte by byte, because event boundaries must not depend on how the bytes arrive */
	std::string passed;
	for (const char *at = text; *at != '\0'; at++)
	{
		size_t ready = comet_event_stream_add(stream, at, 1);
		passed.append(comet_event_stream_ready(stream), ready);
		if (ready > 0)
			comet_event_stream_consume(stream);
	}
	EXPECT_EQ(passed, "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n");
	EXPECT_STREQ(comet_event_stream_last_id(stream), "2");
	EXPECT_EQ(comet_event_stream_count(stream), 2U);
	EXPECT_EQ(comet_event_stream_unfinished(stream), strlen("id: 3\nda"));
	EXPECT_EQ(comet_event_stream_restart(stream), strlen("id: 3\nda"));
	EXPECT_EQ(comet_event_stream_unfinished(stream), 0U);
	EXPECT_STREQ(comet_event_stream_last_id(stream), "2");
	talloc_free(stream);
}

/* Feeds a text in parts of `step` bytes. @return what is passed on. held: maximum number of bytes
 * buffered. */
std::string
feed(comet_event_stream *stream, const std::string &text, size_t step, size_t *held)
{
	std::string passed;

	for (size_t at = 0; at < text.size(); at += step)
	{
		size_t length = std::min(step, text.size() - at);
		size_t ready = comet_event_stream_add(stream, text.data() + at, length);
		passed.append(comet_event_stream_ready(stream), ready);
		if (ready > 0)
			comet_event_stream_consume(stream);
		*held = std::max(*held, at + length - passed.size());
	}
	return passed;
}

/* An endpoint sent an event that never ended, and all of it was buffered. An event above the size
 * limit must be passed on in parts, and the stream cannot be resumed within it. */
TEST(EventStream, AnOversizedEventIsNotBuffered)
{
	std::string large = "id: 2\ndata: " + std::string(5 << 20, 'x') + "\r\n\r\n";

	for (size_t step : {1000UL, 16384UL, 16385UL, large.size() - 2, large.size() - 1})
	{
		comet_event_stream *stream = comet_event_stream_create(nullptr);
		size_t held = 0;
		size_t held_max = step < 100000 ? (1U << 20) + step : 1U << 20;
		EXPECT_EQ(feed(stream, "id: 1\n\n", 3, &held), "id: 1\n\n");
		std::string passed = feed(stream, large.substr(0, large.size() - 1), step, &held);
		EXPECT_GT(passed.size(), large.size() - 10);
		EXPECT_LE(held, held_max);
		EXPECT_GT(comet_event_stream_unfinished(stream), 0U);
		EXPECT_EQ(comet_event_stream_last_id(stream), nullptr);
		EXPECT_EQ(comet_event_stream_count(stream), 1U);
		passed += feed(stream, "\nid: 3\n\n", 1, &held);
		EXPECT_EQ(passed, large + "id: 3\n\n");
		EXPECT_EQ(comet_event_stream_unfinished(stream), 0U);
		EXPECT_STREQ(comet_event_stream_last_id(stream), "3");
		EXPECT_EQ(comet_event_stream_count(stream), 3U);
		talloc_free(stream);
	}
}

/* When a stream is resumed, its last event id is sent in a header to the next endpoint, so an id
 * that is not a valid header value must be ignored. */
TEST(EventStream, AnIdThatIsNotAHeaderValueIsIgnored)
{
	for (const std::string &id :
		{std::string("a\rX-Cometspindle-Tenant: b"), std::string("a\0b", 3),
			std::string("a\x7f"), std::string(2000, 'a'), std::string()})
	{
		comet_event_stream *stream = comet_event_stream_create(nullptr);
		size_t held = 0;
		feed(stream, "id: 1\n\nid: " + id + "\n\n", 4096, &held);
		EXPECT_EQ(comet_event_stream_last_id(stream), nullptr) << id;
		feed(stream, "id: \xc3\xbc 2\n\n", 4096, &held);
		EXPECT_STREQ(comet_event_stream_last_id(stream), "\xc3\xbc 2");
		talloc_free(stream);
	}
}

} // namespace
