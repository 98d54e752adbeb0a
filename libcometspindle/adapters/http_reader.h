/*
 * http_reader.h
 * reads HTTP/1.1 messages from a byte stream, for either side of a connection
 *
 * The parsing is http-parser's; this collects a whole head into a typed value
 * and stops after each message, so that bytes after it are never taken for it.
 */
#ifndef COMETSPINDLE_ADAPTERS_HTTP_READER_H
#define COMETSPINDLE_ADAPTERS_HTTP_READER_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct comet_http_header
{
	const char *name;
	const char *value;
};

/** The first line and headers of a request or an answer. The headers are kept as one text, since a
 * head may consist of thousands of short ones. */
struct comet_http_head
{
	const char *method; /**< requests; a constant text */
	const char *target; /**< requests: path and query as sent */
	const char *reason; /**< answers: the text after the status */
	uint16_t status;    /**< answers */
	bool http_1_0;
	bool framed;        /**< its body has a length or is chunked */
	bool has_body;      /**< requests: a length or chunks were announced */
	const char *fields; /**< name and value of each header, each with its NUL */
	size_t fields_bytes;
	size_t n_headers;
};

/** Moves on to the next header, or to the first one if header is zeroed. @return false if there is
 * none */
bool
comet_http_head_next(const struct comet_http_head *head, struct comet_http_header *header);

/** @return a copy that belongs to parent */
struct comet_http_head *
comet_http_head_copy(void *parent, const struct comet_http_head *head);

/** @return the value of the first header of this name, in any case; NULL when absent. */
const char *
comet_http_head_get(const struct comet_http_head *head, const char *name);

/** @return how many headers of this name there are. */
size_t
comet_http_head_count(const struct comet_http_head *head, const char *name);

/** Appends "name: value" and a line's end. */
void
comet_http_write_header(GString *out, const char *name, const char *value);

/** @return the standard reason text of a status. */
const char *
comet_http_reason(unsigned int status);

/** Callbacks for the parts of a message. */
struct comet_http_reader_events
{
	/** A head is complete. @return true when no body follows (an answer to HEAD). */
	bool (*head)(void *ctx, struct comet_http_head *head);
	void (*body)(void *ctx, const char *data, size_t length);
	/** The message is complete; keep_alive: the connection may carry another. */
	void (*end)(void *ctx, bool keep_alive);
};

enum comet_http_reader_result
{
	COMET_HTTP_READER_MORE,    /**< all data was consumed; the message continues */
	COMET_HTTP_READER_END,     /**< a message ended; what was not taken is after it */
	COMET_HTTP_READER_BAD,     /**< not HTTP, or framed in two ways */
	COMET_HTTP_READER_TOO_BIG, /**< the head is larger than allowed */
};

struct comet_http_reader;

/** Freed with its parent. requests: reads requests, else answers. */
struct comet_http_reader *
comet_http_reader_create(void *parent, bool requests, size_t max_head_bytes,
	const struct comet_http_reader_events *events, void *ctx);

/** Changes the bound on heads, from the next head on. */
void
comet_http_reader_set_max_head(struct comet_http_reader *reader, size_t max_head_bytes);

/** Frees the head of the last message, which must not be used any more. Without this the reader
 * keeps it until the next message begins. Inside a message, no more bytes may be fed after this. */
void
comet_http_reader_release(struct comet_http_reader *reader);

/** @return the bytes of memory that the head takes which is being read or kept */
size_t
comet_http_reader_head_bytes(const struct comet_http_reader *reader);

/** Feeds bytes; taken tells how many were used. */
enum comet_http_reader_result
comet_http_reader_feed(
	struct comet_http_reader *reader, const char *data, size_t length, size_t *taken);

/** The stream ended in order. @return END when that completes a message, else MORE or BAD. */
enum comet_http_reader_result
comet_http_reader_feed_eof(struct comet_http_reader *reader);

/** @return whether a message has begun and not ended. */
bool
comet_http_reader_inside(const struct comet_http_reader *reader);

#endif
