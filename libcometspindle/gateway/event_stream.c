/*
 * event_stream.c
 * splits a stream of server-sent events into complete events
 */
#include <libcometspindle/gateway/event_stream.h>

#include <string.h>
#include <talloc.h>

/* A larger event is passed on in parts as they arrive. An event holds a few tokens, or a complete
 * response as text, and an endpoint that never ends an event must not fill the 64 MB of a VM. */
#define EVENT_MAX_BYTES (512 * 1024)

/* Bytes of a partly passed event that stay buffered, so that its end can be detected. */
#define EVENT_END_BYTES 2

/* Longest event id with which a stream can be resumed. The id is sent in a header, and all headers
 * together are usually limited to 8 KB. */
#define ID_MAX_BYTES 1024

struct comet_event_stream
{
	GByteArray *bytes;
	size_t whole_bytes;   /* length of the complete events at the start of the buffer */
	size_t ready_bytes;   /* length that can be passed on */
	size_t scanned_bytes; /* bytes already searched for the end of an event */
	char *last_id;
	uint32_t count;
	bool has_data; /* the current event has a line that is neither a comment nor an id */
	bool has_id;
	bool in_parts; /* the start of an unfinished event was passed on */
};

static int
stream_destroy(struct comet_event_stream *stream)
{
	g_byte_array_free(stream->bytes, TRUE);
	return 0;
}

struct comet_event_stream *
comet_event_stream_create(void *parent)
{
	struct comet_event_stream *stream = talloc_zero(parent, struct comet_event_stream);

	stream->bytes = g_byte_array_new();
	talloc_set_destructor(stream, stream_destroy);
	return stream;
}

/* @return whether the line break at this offset ends an event, because it ends an empty line. */
static bool
is_event_end(const guint8 *bytes, size_t at)
{
	if (bytes[at] != '\n' || at == 0)
		return false;
	if (bytes[at - 1] == '\n')
		return true;
	return at >= 2 && bytes[at - 1] == '\r' && bytes[at - 2] == '\n';
}

/* @return whether a blank line without an event before it ends here. It is passed on separately:
 * joined to the next event, it would count as an unfinished event at the end of a stream. */
static bool
is_blank_line(const struct comet_event_stream *stream)
{
	const guint8 *line = stream->bytes->data + stream->whole_bytes;
	size_t length = stream->scanned_bytes + 1 - stream->whole_bytes;

	if (stream->in_parts && stream->whole_bytes == 0)
		return false;
	return (length == 1 && line[0] == '\n') ||
	       (length == 2 && line[0] == '\r' && line[1] == '\n');
}

size_t
comet_event_stream_add(struct comet_event_stream *stream, const char *data, size_t length)
{
	g_byte_array_append(stream->bytes, (const guint8 *)data, (guint)length);
	for (; stream->scanned_bytes < stream->bytes->len; stream->scanned_bytes++)
	{
		bool blank = is_blank_line(stream);
		if (!blank && !is_event_end(stream->bytes->data, stream->scanned_bytes))
			continue;
		stream->whole_bytes = stream->scanned_bytes + 1;
		stream->count += blank ? 0 : 1;
	}
	size_t rest = stream->bytes->len - stream->whole_bytes;
	bool within_event = stream->in_parts && stream->whole_bytes == 0;
	stream->ready_bytes = stream->whole_bytes;
	if (rest > (within_event ? EVENT_END_BYTES : EVENT_MAX_BYTES))
		stream->ready_bytes += rest - EVENT_END_BYTES;
	return stream->ready_bytes;
}

const char *
comet_event_stream_ready(const struct comet_event_stream *stream)
{
	return (const char *)stream->bytes->data;
}

/* @return whether an event id is valid as the value of a header. */
static bool
is_header_value(const char *id, size_t length)
{
	for (size_t i = 0; i < length; i++)
	{
		unsigned char byte = (unsigned char)id[i];
		if (byte < ' ' || byte == 0x7f)
			return false;
	}
	return length > 0 && length <= ID_MAX_BYTES;
}

/* Records the id of a line "id: TEXT". If the id cannot be sent in a header, the stream cannot be
 * resumed. */
static void
record_id(struct comet_event_stream *stream, const char *line, size_t length)
{
	line += 3;
	length -= 3;
	if (length > 0 && *line == ' ')
	{
		line++;
		length--;
	}
	if (length > 0 && line[length - 1] == '\r')
		length--;
	TALLOC_FREE(stream->last_id);
	stream->has_id = is_header_value(line, length);
	if (stream->has_id)
		stream->last_id = talloc_strndup(stream, line, length);
}

/* A stream cannot be resumed after an event without an id or with an empty one: resumed after the
 * previous id, it would repeat the event. A comment is not an event. */
static void
end_event(struct comet_event_stream *stream)
{
	if (stream->has_data && !stream->has_id)
		TALLOC_FREE(stream->last_id);
	stream->has_data = false;
	stream->has_id = false;
}

static void
parse_line(struct comet_event_stream *stream, const char *line, size_t length)
{
	bool blank = length == 0 || (length == 1 && line[0] == '\r');

	if (blank)
		end_event(stream);
	else if (length >= 3 && strncmp(line, "id:", 3) == 0)
		record_id(stream, line, length);
	else if (line[0] != ':')
		stream->has_data = true;
}

/* Records the ids of the complete events. The first line is skipped if its start has already been
 * removed. */
static void
record_ids(struct comet_event_stream *stream)
{
	const char *at = (const char *)stream->bytes->data;
	const char *end = at + stream->whole_bytes;

	while (at < end)
	{
		const char *line_end = memchr(at, '\n', (size_t)(end - at));
		if (stream->in_parts)
			stream->has_data = true;
		else
			parse_line(stream, at, (size_t)(line_end - at));
		stream->in_parts = false;
		at = line_end + 1;
	}
}

void
comet_event_stream_consume(struct comet_event_stream *stream)
{
	record_ids(stream);
	if (stream->ready_bytes > stream->whole_bytes)
	{
		/* Only the rest of a partly passed event can follow it. */
		stream->in_parts = true;
		TALLOC_FREE(stream->last_id);
	}
	g_byte_array_remove_range(stream->bytes, 0, (guint)stream->ready_bytes);
	stream->scanned_bytes -= stream->ready_bytes;
	stream->whole_bytes = 0;
	stream->ready_bytes = 0;
}

size_t
comet_event_stream_unfinished(const struct comet_event_stream *stream)
{
	return stream->bytes->len - stream->ready_bytes;
}

size_t
comet_event_stream_restart(struct comet_event_stream *stream)
{
	size_t unfinished = comet_event_stream_unfinished(stream);

	g_byte_array_set_size(stream->bytes, 0);
	stream->scanned_bytes = 0;
	stream->whole_bytes = 0;
	stream->ready_bytes = 0;
	return unfinished;
}

const char *
comet_event_stream_last_id(const struct comet_event_stream *stream)
{
	return stream->last_id;
}

uint32_t
comet_event_stream_count(const struct comet_event_stream *stream)
{
	return stream->count;
}
