/*
 * engine_http.c
 * the stand-in engines' HTTP: completions, streams and their resuming, load, counts
 */
#include "engine.h"

#include <libcometspindle/hash.h>
#include <libcometspindle/scheduler/prefix.h>
#include <libcometspindle/request.h>
#include <string.h>

struct reader
{
	struct sequence *sequence; /* NULL until the body is read */
	GString *body;
};

struct resumed
{
	struct sequence *sequence;
	struct MHD_Connection *connection;
	uint64_t offset;
};

static ssize_t
read_stream(void *ctx, uint64_t position, char *buffer, size_t max)
{
	struct sequence *sequence = ctx;
	size_t have = sequence->out->len;

	if (position < have)
	{
		size_t part = MIN(max, have - position);
		memcpy(buffer, sequence->out->str + position, part);
		return (ssize_t)part;
	}
	if (sequence->done)
		return MHD_CONTENT_READER_END_OF_STREAM;
	sequence->suspended = true;
	MHD_suspend_connection(sequence->connection);
	return 0;
}

static ssize_t
read_resumed(void *ctx, uint64_t position, char *buffer, size_t max)
{
	struct resumed *resumed = ctx;

	if (resumed->connection != resumed->sequence->connection)
		return MHD_CONTENT_READER_END_WITH_ERROR; /* a later reader took over */
	return read_stream(resumed->sequence, position + resumed->offset, buffer, max);
}

static enum MHD_Result
answer_stream(struct MHD_Connection *connection, struct sequence *sequence, uint64_t offset)
{
	struct resumed *resumed = g_new0(struct resumed, 1);

	resumed->sequence = sequence;
	resumed->offset = offset;
	resumed->connection = connection;
	struct MHD_Response *response = MHD_create_response_from_callback(
		MHD_SIZE_UNKNOWN, 8192, read_resumed, resumed, g_free);
	MHD_add_response_header(response, MHD_HTTP_HEADER_CONTENT_TYPE, "text/event-stream");
	sequence->queued_answer = true;
	enum MHD_Result result = MHD_queue_response(connection, MHD_HTTP_OK, response);
	MHD_destroy_response(response);
	return result;
}

static enum MHD_Result
answer_whole(struct MHD_Connection *connection, struct sequence *sequence)
{
	char *body =
		sequence->chat
			? g_strdup_printf(
				  "{\"object\":\"chat.completion\",\"choices\":[{\"index\":0,"
				  "\"message\":{\"role\":\"assistant\",\"content\":\"%s\"},"
				  "\"finish_reason\":\"length\"}],\"usage\":{\"prompt_tokens\":%u,"
				  "\"completion_tokens\":%u}}",
				  sequence->out->str, sequence->prompt_tokens, sequence->emitted)
			: g_strdup_printf(
				  "{\"object\":\"text_completion\",\"choices\":[{\"index\":0,"
				  "\"text\":\"%s\",\"finish_reason\":\"length\"}],"
				  "\"usage\":{\"prompt_tokens\":%u,\"completion_tokens\":%u}}",
				  sequence->out->str, sequence->prompt_tokens, sequence->emitted);
	sequence->queued_answer = true;
	enum MHD_Result result =
		comet_http_respond(connection, MHD_HTTP_OK, "application/json", body, strlen(body));
	g_free(body);
	return result;
}

static enum MHD_Result
answer_text(struct MHD_Connection *connection, unsigned int status, const char *text)
{
	return comet_http_respond(connection, status, "application/json", text, strlen(text));
}

static enum MHD_Result
begin(struct engine *engine, struct MHD_Connection *connection, struct reader *reader, bool chat)
{
	const char *id = MHD_lookup_connection_value(connection, MHD_HEADER_KIND, "Request-Id");
	struct comet_completion *completion =
		comet_completion_parse(reader->body->str, reader->body->len, chat, NULL);

	if (completion == NULL || id == NULL)
	{
		comet_completion_destroy(completion);
		return answer_text(connection, MHD_HTTP_BAD_REQUEST, "{\"error\":\"bad body\"}");
	}
	if (engine->waiting->len >= engine->queue_max)
	{
		engine->all->refused++;
		comet_completion_destroy(completion);
		return answer_text(connection, 429, "{\"error\":\"queue full, not run\"}");
	}
	struct sequence *sequence = g_new0(struct sequence, 1);
	sequence->engine = engine;
	g_strlcpy(sequence->id, id, sizeof sequence->id);
	sequence->connection = connection;
	sequence->streaming = completion->stream;
	sequence->chat = chat;
	sequence->run_to_end = standin_int(completion->document, "run_to_end", 0) != 0;
	sequence->priority = (uint32_t)standin_int(completion->document, "priority", 0);
	sequence->max_tokens = completion->max_tokens;
	sequence->prompt_tokens =
		1 + (uint32_t)(completion->prompt->len / COMET_PREFIX_TOKEN_BYTES);
	sequence->prompt_hash =
		comet_hash_bytes(completion->prompt->str, completion->prompt->len, 0);
	sequence->blocks = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	sequence->out = g_string_new(NULL);
	engine_hash_blocks(sequence, completion->prompt,
		standin_string(completion->document, "cache_salt", ""));
	comet_completion_destroy(completion);
	engine->all->requests++;
	standin_note_run(id, engine->name);
	g_hash_table_insert(engine->sequences, sequence->id, sequence);
	g_ptr_array_add(engine->waiting, sequence);
	reader->sequence = sequence;
	engine_schedule_step(engine);
	if (sequence->streaming)
		return answer_stream(connection, sequence, 0);
	sequence->suspended = true;
	MHD_suspend_connection(connection);
	return MHD_YES;
}

static enum MHD_Result
resume(struct engine *engine, struct MHD_Connection *connection, struct reader *reader,
	const char *id)
{
	struct sequence *sequence = g_hash_table_lookup(engine->sequences, id);
	const char *offset =
		MHD_lookup_connection_value(connection, MHD_GET_ARGUMENT_KIND, "offset");

	if (sequence == NULL || !sequence->streaming)
		return answer_text(
			connection, MHD_HTTP_NOT_FOUND, "{\"error\":\"no such stream\"}");
	engine_wake(sequence); /* the reader before, if its end was not noticed yet */
	sequence->connection = connection;
	sequence->suspended = false;
	sequence->orphan_us = 0;
	reader->sequence = sequence;
	return answer_stream(
		connection, sequence, offset != NULL ? g_ascii_strtoull(offset, NULL, 10) : 0);
}

/* The load as it was some time ago. */
static enum MHD_Result
answer_load(struct engine *engine, struct MHD_Connection *connection)
{
	uint64_t then = standin_now_us() - engine->all->report_lag_us;
	struct sample best = {0, 0, 0};
	char text[96];

	for (size_t i = 0; i < SAMPLES; i++)
	{
		if (engine->samples[i].at_us <= then && engine->samples[i].at_us >= best.at_us)
			best = engine->samples[i];
	}
	g_snprintf(text, sizeof text, "{\"running\":%u,\"queued\":%u}", best.running, best.queued);
	return answer_text(connection, MHD_HTTP_OK, text);
}

static enum MHD_Result
answer_stats(struct engines *all, struct MHD_Connection *connection)
{
	char text[400];

	g_snprintf(text, sizeof text,
		"{\"requests\":%" G_GUINT64_FORMAT ",\"refused\":%" G_GUINT64_FORMAT
		",\"cancelled\":%" G_GUINT64_FORMAT ",\"tokens_computed\":%" G_GUINT64_FORMAT
		",\"tokens_wasted\":%" G_GUINT64_FORMAT ",\"wasted_by\":[%" G_GUINT64_FORMAT
		",%" G_GUINT64_FORMAT ",%" G_GUINT64_FORMAT ",%" G_GUINT64_FORMAT "]}",
		all->requests, all->refused, all->cancelled, all->tokens_computed,
		all->tokens_wasted, all->wasted_by[0], all->wasted_by[1], all->wasted_by[2],
		all->wasted_by[3]);
	return answer_text(connection, MHD_HTTP_OK, text);
}

enum MHD_Result
engine_on_request(void *ctx, struct MHD_Connection *connection, const char *url, const char *method,
	const char *version, const char *data, size_t *length, void **request_ctx)
{
	struct engine *engine = ctx;
	struct reader *reader = *request_ctx;

	(void)version;
	if (reader == NULL)
	{
		reader = g_new0(struct reader, 1);
		reader->body = g_string_new(NULL);
		*request_ctx = reader;
		return MHD_YES;
	}
	if (*length > 0)
	{
		g_string_append_len(reader->body, data, (gssize)*length);
		*length = 0;
		return MHD_YES;
	}
	if (reader->sequence != NULL)
	{
		if (reader->sequence->done && !reader->sequence->queued_answer)
			return answer_whole(connection, reader->sequence);
		return MHD_YES;
	}
	if (strcmp(url, "/load") == 0)
		return answer_load(engine, connection);
	if (strcmp(url, "/stats") == 0)
		return answer_stats(engine->all, connection);
	if (g_str_has_prefix(url, "/v1/streams/"))
		return resume(engine, connection, reader, url + strlen("/v1/streams/"));
	if (strcmp(method, "POST") == 0)
		return begin(engine, connection, reader, strstr(url, "/chat/") != NULL);
	return answer_text(connection, MHD_HTTP_NOT_FOUND, "{}");
}

void
engine_on_completed(void *ctx, struct MHD_Connection *connection, void **request_ctx,
	enum MHD_RequestTerminationCode code)
{
	struct reader *reader = *request_ctx;

	(void)ctx;
	(void)code;
	if (reader == NULL)
		return;
	if (reader->sequence != NULL && reader->sequence->connection == connection)
	{
		reader->sequence->connection = NULL;
		reader->sequence->suspended = false;
		reader->sequence->orphan_us = standin_now_us();
	}
	g_string_free(reader->body, TRUE);
	g_free(reader);
	*request_ctx = NULL;
}
