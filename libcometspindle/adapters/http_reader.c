/*
 * http_reader.c
 * reads HTTP/1.1 messages from a byte stream, for either side of a connection
 */
#include <libcometspindle/adapters/http_reader.h>

#include <http_parser.h>
#include <string.h>
#include <strings.h>
#include <talloc.h>

/* Bytes counted for each header in addition to its name and value: at least what its line has
 * besides them. Their memory has two NULs instead. */
#define HEADER_FRAME_BYTES 3

/* Free memory behind a head that is being read: a part of its length, and this for a short one. */
#define SPARE_PART 4
#define SPARE_MIN_BYTES 256

/* What of a head is being collected. */
enum head_part
{
	HEAD_PART_FIRST_LINE, /* target or reason */
	HEAD_PART_NAME,
	HEAD_PART_VALUE,
};

struct comet_http_reader
{
	http_parser parser;
	const struct comet_http_reader_events *events;
	void *ctx;
	size_t max_head_bytes;
	size_t head_bytes;
	struct comet_http_head head; /* head being collected, or that of the message being read */
	char *text; /* target or reason, then the names and values of the head, each with its NUL */
	size_t text_bytes;
	size_t text_size; /* allocated */
	size_t part_at;   /* where the part that is being collected begins */
	size_t fields_at; /* where the first name begins */
	enum head_part part;
	bool inside;
	bool past_head; /* further headers are trailers, after the body */
	bool too_big;
	bool bad; /* an invalid header */
};

bool
comet_http_head_next(const struct comet_http_head *head, struct comet_http_header *header)
{
	const char *at =
		header->name == NULL ? head->fields : header->value + strlen(header->value) + 1;

	if (head->fields == NULL || at >= head->fields + head->fields_bytes)
		return false;
	header->name = at;
	header->value = at + strlen(at) + 1;
	return true;
}

const char *
comet_http_head_get(const struct comet_http_head *head, const char *name)
{
	struct comet_http_header header = {0};

	while (comet_http_head_next(head, &header))
	{
		if (strcasecmp(header.name, name) == 0)
			return header.value;
	}
	return NULL;
}

size_t
comet_http_head_count(const struct comet_http_head *head, const char *name)
{
	struct comet_http_header header = {0};
	size_t count = 0;

	while (comet_http_head_next(head, &header))
		count += strcasecmp(header.name, name) == 0 ? 1 : 0;
	return count;
}

struct comet_http_head *
comet_http_head_copy(void *parent, const struct comet_http_head *head)
{
	struct comet_http_head *copy = talloc_memdup(parent, head, sizeof *head);

	copy->target = talloc_strdup(copy, head->target);
	copy->reason = talloc_strdup(copy, head->reason);
	copy->fields = talloc_memdup(copy, head->fields, head->fields_bytes);
	return copy;
}

void
comet_http_write_header(GString *out, const char *name, const char *value)
{
	g_string_append(out, name);
	g_string_append(out, ": ");
	g_string_append(out, value);
	g_string_append(out, "\r\n");
}

const char *
comet_http_reason(unsigned int status)
{
	return http_status_str((enum http_status)status);
}

static int
count_head(struct comet_http_reader *reader, size_t length)
{
	reader->head_bytes += length;
	reader->too_big = reader->head_bytes > reader->max_head_bytes;
	return reader->too_big ? 1 : 0;
}

void
comet_http_reader_release(struct comet_http_reader *reader)
{
	g_free(reader->text);
	reader->text = NULL;
	reader->text_bytes = 0;
	reader->text_size = 0;
	reader->head = (struct comet_http_head){0};
}

size_t
comet_http_reader_head_bytes(const struct comet_http_reader *reader)
{
	return reader->text_size;
}

/* Appends to the part that is being collected. */
static void
append(struct comet_http_reader *reader, const char *data, size_t length)
{
	size_t bytes = reader->text_bytes + length;

	if (bytes > reader->text_size)
	{
		reader->text_size = bytes + MAX(bytes / SPARE_PART, SPARE_MIN_BYTES);
		reader->text = g_realloc(reader->text, reader->text_size);
	}
	memcpy(reader->text + reader->text_bytes, data, length);
	reader->text_bytes = bytes;
}

static int
on_begin(http_parser *parser)
{
	struct comet_http_reader *reader = parser->data;

	reader->head = (struct comet_http_head){0};
	reader->text_bytes = 0;
	reader->part_at = 0;
	reader->part = HEAD_PART_FIRST_LINE;
	reader->inside = true;
	reader->past_head = false;
	reader->head_bytes = 0;
	return 0;
}

static int
on_text(http_parser *parser, const char *data, size_t length)
{
	struct comet_http_reader *reader = parser->data;

	append(reader, data, length);
	return count_head(reader, length);
}

/* @return whether a name is a valid header name of RFC 9110. The parser also accepts blanks, with
 * which one side may see a length that the other ignores. */
static bool
is_token(const char *name, size_t length)
{
	for (size_t i = 0; i < length; i++)
	{
		if (!g_ascii_isalnum(name[i]) &&
			(name[i] == '\0' || strchr("!#$%&'*+-.^_`|~", name[i]) == NULL))
			return false;
	}
	return length > 0;
}

static bool
is_clean(const char *value, size_t length)
{
	for (size_t i = 0; i < length; i++)
	{
		if (value[i] == '\r' || value[i] == '\n' || value[i] == '\0')
			return false;
	}
	return true;
}

/* Ends the part that has been collected, and begins the next one. */
static void
begin_part(struct comet_http_reader *reader, enum head_part next)
{
	const char *part = reader->text + reader->part_at;
	size_t length = reader->text_bytes - reader->part_at;

	if (reader->part == HEAD_PART_NAME)
		reader->bad = reader->bad || !is_token(part, length);
	else if (reader->part == HEAD_PART_VALUE)
	{
		while (length > 0 && g_ascii_isspace(part[length - 1]))
			length--;
		reader->bad = reader->bad || !is_clean(part, length);
		reader->text_bytes = reader->part_at + length;
		reader->head.n_headers++;
	}
	append(reader, "", 1);
	if (reader->part == HEAD_PART_FIRST_LINE)
		reader->fields_at = reader->text_bytes;
	reader->part = next;
	reader->part_at = reader->text_bytes;
}

static int
on_header_field(http_parser *parser, const char *data, size_t length)
{
	struct comet_http_reader *reader = parser->data;

	/* Trailers are ignored: they arrive after the head was acted on. */
	if (reader->past_head)
		return count_head(reader, length);
	size_t frame = 0;
	if (reader->part != HEAD_PART_NAME)
	{
		begin_part(reader, HEAD_PART_NAME);
		frame = HEADER_FRAME_BYTES;
	}
	append(reader, data, length);
	return count_head(reader, length + frame);
}

static int
on_header_value(http_parser *parser, const char *data, size_t length)
{
	struct comet_http_reader *reader = parser->data;

	if (reader->past_head)
		return count_head(reader, length);
	if (reader->part != HEAD_PART_VALUE)
		begin_part(reader, HEAD_PART_VALUE);
	append(reader, data, length);
	return count_head(reader, length);
}

static int
on_headers_complete(http_parser *parser)
{
	struct comet_http_reader *reader = parser->data;
	struct comet_http_head *head = &reader->head;

	if (reader->part == HEAD_PART_NAME)
		begin_part(reader, HEAD_PART_VALUE);
	begin_part(reader, HEAD_PART_NAME);
	if (reader->bad)
		return -1;
	reader->past_head = true;
	reader->text_size = reader->text_bytes;
	reader->text = g_realloc(reader->text, reader->text_size);
	head->fields = reader->text + reader->fields_at;
	head->fields_bytes = reader->text_bytes - reader->fields_at;
	head->http_1_0 = parser->http_major < 1 || parser->http_minor < 1;
	head->framed = (parser->flags & (F_CHUNKED | F_CONTENTLENGTH)) != 0;
	if (parser->type == HTTP_REQUEST)
	{
		head->method = http_method_str((enum http_method)parser->method);
		head->target = reader->text;
		head->has_body = head->framed;
	}
	else
	{
		head->status = (uint16_t)parser->status_code;
		head->reason = reader->text;
	}
	return reader->events->head(reader->ctx, head) ? 1 : 0;
}

static int
on_body(http_parser *parser, const char *data, size_t length)
{
	struct comet_http_reader *reader = parser->data;

	reader->events->body(reader->ctx, data, length);
	return 0;
}

static int
on_end(http_parser *parser)
{
	struct comet_http_reader *reader = parser->data;

	reader->inside = false;
	http_parser_pause(parser, 1);
	reader->events->end(reader->ctx, http_should_keep_alive(parser) != 0);
	return 0;
}

static const http_parser_settings parser_settings = {
	.on_message_begin = on_begin,
	.on_url = on_text,
	.on_status = on_text,
	.on_header_field = on_header_field,
	.on_header_value = on_header_value,
	.on_headers_complete = on_headers_complete,
	.on_body = on_body,
	.on_message_complete = on_end,
};

static int
reader_destroy(struct comet_http_reader *reader)
{
	g_free(reader->text);
	return 0;
}

struct comet_http_reader *
comet_http_reader_create(void *parent, bool requests, size_t max_head_bytes,
	const struct comet_http_reader_events *events, void *ctx)
{
	struct comet_http_reader *reader = talloc_zero(parent, struct comet_http_reader);

	http_parser_init(&reader->parser, requests ? HTTP_REQUEST : HTTP_RESPONSE);
	reader->parser.data = reader;
	reader->events = events;
	reader->ctx = ctx;
	reader->max_head_bytes = max_head_bytes;
	talloc_set_destructor(reader, reader_destroy);
	return reader;
}

void
comet_http_reader_set_max_head(struct comet_http_reader *reader, size_t max_head_bytes)
{
	reader->max_head_bytes = max_head_bytes;
}

/* Result of a call of the parser. */
static enum comet_http_reader_result
result_of(struct comet_http_reader *reader)
{
	enum http_errno code = HTTP_PARSER_ERRNO(&reader->parser);

	if (code == HPE_PAUSED)
	{
		http_parser_pause(&reader->parser, 0);
		return COMET_HTTP_READER_END;
	}
	if (reader->too_big || code == HPE_HEADER_OVERFLOW)
		return COMET_HTTP_READER_TOO_BIG;
	if (code != HPE_OK || reader->parser.upgrade != 0)
		return COMET_HTTP_READER_BAD;
	return COMET_HTTP_READER_MORE;
}

enum comet_http_reader_result
comet_http_reader_feed(
	struct comet_http_reader *reader, const char *data, size_t length, size_t *taken)
{
	*taken = http_parser_execute(&reader->parser, &parser_settings, data, length);
	return result_of(reader);
}

enum comet_http_reader_result
comet_http_reader_feed_eof(struct comet_http_reader *reader)
{
	http_parser_execute(&reader->parser, &parser_settings, "", 0);
	return result_of(reader);
}

bool
comet_http_reader_inside(const struct comet_http_reader *reader)
{
	return reader->inside;
}
