/*
 * test_event_stream.cc
 * how a stream of events is cut into whole ones
 */
#include <gtest/gtest.h>

extern "C"
{
#include <libcometspindle/gateway/event_stream.h>
}
#include <cstring>
#include <string>
#include <talloc.h>

namespace
{

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
	EXPECT_EQ(comet_event_stream_unfinished(stream), strlen("id: 3\nda"));
	EXPECT_EQ(comet_event_stream_restart(stream), strlen("id: 3\nda"));
	EXPECT_EQ(comet_event_stream_unfinished(stream), 0U);
	EXPECT_STREQ(comet_event_stream_last_id(stream), "2");
	talloc_free(stream);
}

} // namespace
