/*
 * event_stream.c
 * cuts a stream of server-sent events into whole events
 */
#include <libcometspindle/gateway/event_stream.h>

#include <string.h>
#include <talloc.h>

/* An event that is larger than this is passed on in parts as they come: one holds some tokens, or a
 * whole answer in text, and an endpoint that never ends one must not fill a VM's 64 MB. */
#define EVENT_MAX_BYTES (512 * 1024)

/* Bytes that are kept of an event in parts, by which its end is known. */
#define END_BYTES 2

/* Longest id with which a stream is taken up: it goes into a header, whose usual bound for all is
 * 8 KB. */
#define ID_MAX_BYTES 1024

struct comet_event_stream
{
	GByteArray *bytes;
	size_t whole;   /* length of the whole events at the beginning */
	size_t ready;   /* what may be passed on of the beginning */
	size_t scanned; /* bytes looked at for an event's end */
	char *last_id;
	uint32_t count;
	bool has_data; /* the event whose lines are read has one that is no comment and no id */
	bool has_id;
	bool in_parts; /* the beginning of an event that is not whole was passed on */
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

/* Does an event end with the line break at this place? An empty line ends it. */
static bool
ends_at(const guint8 *bytes, size_t at)
{
	if (bytes[at] != '\n' || at == 0)
		return false;
	if (bytes[at - 1] == '\n')
		return true;
	return at >= 2 && bytes[at - 1] == '\r' && bytes[at - 2] == '\n';
}

/* Does a blank line end here that no event is before? It goes on by itself: left with the next
 * event, it would be an unfinished one at the end of a stream. */
static bool
is_blank_line(const struct comet_event_stream *stream)
{
	const guint8 *line = stream->bytes->data + stream->whole;
	size_t length = stream->scanned + 1 - stream->whole;

	if (stream->in_parts && stream->whole == 0)
		return false;
	return (length == 1 && line[0] == '\n') ||
	       (length == 2 && line[0] == '\r' && line[1] == '\n');
}

size_t
comet_event_stream_add(struct comet_event_stream *stream, const char *data, size_t length)
{
	g_byte_array_append(stream->bytes, (const guint8 *)data, (guint)length);
	for (; stream->scanned < stream->bytes->len; stream->scanned++)
	{
		bool blank = is_blank_line(stream);
		if (!blank && !ends_at(stream->bytes->data, stream->scanned))
			continue;
		stream->whole = stream->scanned + 1;
		stream->count += blank ? 0 : 1;
	}
	size_t rest = stream->bytes->len - stream->whole;
	bool goes_on = stream->in_parts && stream->whole == 0;
	stream->ready = stream->whole;
	if (rest > (goes_on ? END_BYTES : EVENT_MAX_BYTES))
		stream->ready += rest - END_BYTES;
	return stream->ready;
}

const char *
comet_event_stream_ready(const struct comet_event_stream *stream)
{
	return (const char *)stream->bytes->data;
}

/* Can an id go into a header as it is? */
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

/* Remembers the id of a line "id: TEXT"; after one that cannot be told an endpoint, the stream
 * cannot be taken up. */
static void
take_id(struct comet_event_stream *stream, const char *line, size_t length)
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

/* An event that has no id, or an empty one, cannot be gone on after: taken up after the id before
 * it, a stream would have that event twice. A comment is no event. */
static void
end_event(struct comet_event_stream *stream)
{
	if (stream->has_data && !stream->has_id)
		TALLOC_FREE(stream->last_id);
	stream->has_data = false;
	stream->has_id = false;
}

static void
take_line(struct comet_event_stream *stream, const char *line, size_t length)
{
	bool blank = length == 0 || (length == 1 && line[0] == '\r');

	if (blank)
		end_event(stream);
	else if (length >= 3 && strncmp(line, "id:", 3) == 0)
		take_id(stream, line, length);
	else if (line[0] != ':')
		stream->has_data = true;
}

/* Takes the ids of the whole events; of a line whose beginning has gone nothing is known. */
static void
take_ids(struct comet_event_stream *stream)
{
	const char *at = (const char *)stream->bytes->data;
	const char *end = at + stream->whole;

	while (at < end)
	{
		const char *line_end = memchr(at, '\n', (size_t)(end - at));
		if (stream->in_parts)
			stream->has_data = true;
		else
			take_line(stream, at, (size_t)(line_end - at));
		stream->in_parts = false;
		at = line_end + 1;
	}
}

void
comet_event_stream_consume(struct comet_event_stream *stream)
{
	take_ids(stream);
	if (stream->ready > stream->whole)
	{
		/* Nothing can follow on half an event but its rest. */
		stream->in_parts = true;
		TALLOC_FREE(stream->last_id);
	}
	g_byte_array_remove_range(stream->bytes, 0, (guint)stream->ready);
	stream->scanned -= stream->ready;
	stream->whole = 0;
	stream->ready = 0;
}

size_t
comet_event_stream_unfinished(const struct comet_event_stream *stream)
{
	return stream->bytes->len - stream->ready;
}

size_t
comet_event_stream_restart(struct comet_event_stream *stream)
{
	size_t unfinished = comet_event_stream_unfinished(stream);

	g_byte_array_set_size(stream->bytes, 0);
	stream->scanned = 0;
	stream->whole = 0;
	stream->ready = 0;
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
