/*
 * http_reader.c
 * reads HTTP/1.1 messages from a byte stream, for either side of a connection
 */
#include <libcometspindle/adapters/http_reader.h>

#include <http_parser.h>
#include <string.h>
#include <strings.h>
#include <talloc.h>

/* Bytes counted for each header in addition to its name and value. Otherwise a head of empty
 * headers would count as less than a hundredth of its memory. */
#define HEADER_FRAME_BYTES 3

struct comet_http_reader
{
	http_parser parser;
	const struct comet_http_reader_events *events;
	void *ctx;
	size_t max_head_bytes;
	size_t head_bytes;
	struct comet_http_head *head; /* head being collected, or that of the message being read */
	GString *text;                /* target or reason being collected */
	GString *name;
	GString *value;
	bool in_value; /* the last header callback was for a value */
	bool inside;
	bool past_head; /* further headers are trailers, after the body */
	bool too_big;
	bool bad; /* an invalid header */
};

const char *
comet_http_head_get(const struct comet_http_head *head, const char *name)
{
	for (size_t i = 0; i < head->n_headers; i++)
	{
		if (strcasecmp(head->headers[i].name, name) == 0)
			return head->headers[i].value;
	}
	return NULL;
}

size_t
comet_http_head_count(const struct comet_http_head *head, const char *name)
{
	size_t count = 0;

	for (size_t i = 0; i < head->n_headers; i++)
		count += strcasecmp(head->headers[i].name, name) == 0 ? 1 : 0;
	return count;
}

/* @return whether name is one of the comma-separated words of list. */
static bool
list_names(const char *list, const char *name)
{
	char **words = g_strsplit(list, ",", -1);
	bool found = false;

	for (char **word = words; *word != NULL; word++)
		found = found || strcasecmp(g_strstrip(*word), name) == 0;
	g_strfreev(words);
	return found;
}

bool
comet_http_head_hop_by_hop(const struct comet_http_head *head, const char *name)
{
	static const char *const names[] = {"Connection", "Keep-Alive", "Proxy-Connection",
		"Proxy-Authenticate", "Proxy-Authorization", "TE", "Trailer", "Transfer-Encoding",
		"Upgrade", "Content-Length", "Expect"};

	for (size_t i = 0; i < G_N_ELEMENTS(names); i++)
	{
		if (strcasecmp(name, names[i]) == 0)
			return true;
	}
	for (size_t i = 0; i < head->n_headers; i++)
	{
		if (strcasecmp(head->headers[i].name, "Connection") == 0 &&
			list_names(head->headers[i].value, name))
			return true;
	}
	return false;
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

static int
on_begin(http_parser *parser)
{
	struct comet_http_reader *reader = parser->data;

	TALLOC_FREE(reader->head);
	reader->head = talloc_zero(reader, struct comet_http_head);
	g_string_truncate(reader->text, 0);
	g_string_truncate(reader->name, 0);
	g_string_truncate(reader->value, 0);
	reader->in_value = false;
	reader->inside = true;
	reader->past_head = false;
	reader->head_bytes = 0;
	return 0;
}

static int
on_text(http_parser *parser, const char *data, size_t length)
{
	struct comet_http_reader *reader = parser->data;

	g_string_append_len(reader->text, data, (gssize)length);
	return count_head(reader, length);
}

/* @return whether a name is a valid header name of RFC 9110. The parser also accepts blanks, with
 * which one side may see a length that the other ignores. */
static bool
is_token(const GString *name)
{
	for (gsize i = 0; i < name->len; i++)
	{
		char c = name->str[i];
		if (!g_ascii_isalnum(c) && strchr("!#$%&'*+-.^_`|~", c) == NULL)
			return false;
	}
	return name->len > 0;
}

static bool
is_clean(const GString *value)
{
	for (gsize i = 0; i < value->len; i++)
	{
		if (value->str[i] == '\r' || value->str[i] == '\n' || value->str[i] == '\0')
			return false;
	}
	return true;
}

/* Stores the header that is now complete. */
static void
finish_header(struct comet_http_reader *reader)
{
	struct comet_http_head *head = reader->head;

	if (reader->name->len == 0)
		return;
	reader->bad = reader->bad || !is_token(reader->name) || !is_clean(reader->value);
	head->headers =
		talloc_realloc(head, head->headers, struct comet_http_header, head->n_headers + 1);
	struct comet_http_header *header = &head->headers[head->n_headers++];
	header->name = talloc_strdup(head, reader->name->str);
	header->value = talloc_strdup(head, g_strchomp(reader->value->str));
	g_string_truncate(reader->name, 0);
	g_string_truncate(reader->value, 0);
	reader->in_value = false;
}

static int
on_header_field(http_parser *parser, const char *data, size_t length)
{
	struct comet_http_reader *reader = parser->data;

	/* Trailers are ignored: they arrive after the head was acted on. */
	if (reader->past_head)
		return count_head(reader, length);
	if (reader->in_value)
		finish_header(reader);
	size_t frame = reader->name->len == 0 ? HEADER_FRAME_BYTES : 0;
	g_string_append_len(reader->name, data, (gssize)length);
	return count_head(reader, length + frame);
}

static int
on_header_value(http_parser *parser, const char *data, size_t length)
{
	struct comet_http_reader *reader = parser->data;

	if (reader->past_head)
		return count_head(reader, length);
	reader->in_value = true;
	g_string_append_len(reader->value, data, (gssize)length);
	return count_head(reader, length);
}

static int
on_headers_complete(http_parser *parser)
{
	struct comet_http_reader *reader = parser->data;
	struct comet_http_head *head = reader->head;

	finish_header(reader);
	if (reader->bad)
		return -1;
	reader->past_head = true;
	head->http_1_0 = parser->http_major < 1 || parser->http_minor < 1;
	head->framed = (parser->flags & (F_CHUNKED | F_CONTENTLENGTH)) != 0;
	if (parser->type == HTTP_REQUEST)
	{
		head->method = http_method_str((enum http_method)parser->method);
		head->target = talloc_strdup(head, reader->text->str);
		head->has_body = head->framed;
	}
	else
	{
		head->status = (uint16_t)parser->status_code;
		head->reason = talloc_strdup(head, reader->text->str);
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
	g_string_free(reader->text, TRUE);
	g_string_free(reader->name, TRUE);
	g_string_free(reader->value, TRUE);
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
	reader->text = g_string_new(NULL);
	reader->name = g_string_new(NULL);
	reader->value = g_string_new(NULL);
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
