/*
 * request.h
 * reads callers' request bodies (the shape that OpenAI clients send)
 */
#ifndef COMETSPINDLE_REQUEST_H
#define COMETSPINDLE_REQUEST_H

#include <glib.h>
#include <json-c/json.h>
#include <stdbool.h>
#include <stdint.h>

#define COMET_MAX_TOKENS_DEFAULT 256
#define COMET_MAX_TOKENS_LIMIT 1000000

/** What scheduling needs of a completion request. */
struct comet_completion
{
	struct json_object *document;
	const char *model; /**< points into document */
	uint32_t max_tokens;
	bool stream;
	GString *prompt; /**< all text that is computed, in order */
};

/** Parses a body; chat: messages instead of prompt. NULL and error naming the place. */
struct comet_completion *
comet_completion_parse(
	const char *body, size_t length, bool chat, GError **error) G_GNUC_WARN_UNUSED_RESULT;

void
comet_completion_destroy(struct comet_completion *completion);

/** The body to forward: the caller's, with priority, cache salt and run-to-end mark set. */
char *
comet_completion_forward(struct comet_completion *completion, uint32_t tier, const char *cache_salt,
	bool run_to_end);

#endif
