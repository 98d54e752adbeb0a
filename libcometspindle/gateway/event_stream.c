/*
 * event_stream.c
 * cuts a stream of server-sent events into whole events
 */
#include <libcometspindle/gateway/event_stream.h>

#include <string.h>
#include <talloc.h>

struct comet_event_stream
{
	GByteArray *bytes;
	size_t ready;   /* length of the whole events at the beginning */
	size_t scanned; /* bytes looked at for an event's end */
	char *last_id;
	uint32_t count;
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

size_t
comet_event_stream_add(struct comet_event_stream *stream, const char *data, size_t length)
{
	g_byte_array_append(stream->bytes, (const guint8 *)data, (guint)length);
	for (; stream->scanned < stream->bytes->len; stream->scanned++)
	{
		if (!ends_at(stream->bytes->data, stream->scanned))
			continue;
		stream->ready = stream->scanned + 1;
		stream->count++;
	}
	return stream->ready;
}

const char *
comet_event_stream_ready(const struct comet_event_stream *stream)
{
	return (const char *)stream->bytes->data;
}

/* Remembers the id of a line "id: TEXT". */
static void
take_id(struct comet_event_stream *stream, const char *line, size_t length)
{
	if (length < 3 || strncmp(line, "id:", 3) != 0)
		return;
	line += 3;
	length -= 3;
	if (length > 0 && *line == ' ')
	{
		line++;
		length--;
	}
	if (length > 0 && line[length - 1] == '\r')
		length--;
	talloc_free(stream->last_id);
	stream->last_id = talloc_strndup(stream, line, length);
}

void
comet_event_stream_taken(struct comet_event_stream *stream)
{
	const char *at = (const char *)stream->bytes->data;
	const char *end = at + stream->ready;

	while (at < end)
	{
		const char *line_end = memchr(at, '\n', (size_t)(end - at));
		take_id(stream, at, (size_t)(line_end - at));
		at = line_end + 1;
	}
	g_byte_array_remove_range(stream->bytes, 0, (guint)stream->ready);
	stream->scanned -= stream->ready;
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
