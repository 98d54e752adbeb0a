/*
 * request.c
 * reads callers' request bodies (the shape that OpenAI clients send)
 */
#include <libcometspindle/request.h>

#include <libcometspindle/json_validator.h>
#include <libcometspindle/error.h>
#include <string.h>

static struct json_object *
member(struct json_object *object, const char *key)
{
	struct json_object *value = NULL;

	json_object_object_get_ex(object, key, &value);
	return value;
}

static bool
fault(GError **error, const char *place, const char *rule)
{
	g_set_error(error, COMET_ERROR, COMET_ERROR_INVALID, "%s: %s", place, rule);
	return false;
}

static bool
read_model(struct comet_completion *completion, GError **error)
{
	struct json_object *model = member(completion->document, "model");

	if (!json_object_is_type(model, json_type_string))
		return fault(error, "model", "must be a string");
	completion->model = json_object_get_string(model);
	return true;
}

static bool
read_max_tokens(struct comet_completion *completion, GError **error)
{
	struct json_object *value = member(completion->document, "max_tokens");

	if (value == NULL)
		value = member(completion->document, "max_completion_tokens");
	completion->max_tokens = COMET_MAX_TOKENS_DEFAULT;
	if (value == NULL)
		return true;
	int64_t number = json_object_get_int64(value);
	if (!json_object_is_type(value, json_type_int) || number < 1 ||
		number > COMET_MAX_TOKENS_LIMIT)
		return fault(error, "max_tokens", "must be a whole number from 1 to 1000000");
	completion->max_tokens = (uint32_t)number;
	return true;
}

static bool
read_stream(struct comet_completion *completion, GError **error)
{
	struct json_object *value = member(completion->document, "stream");

	if (value != NULL && !json_object_is_type(value, json_type_boolean))
		return fault(error, "stream", "must be true or false");
	completion->stream = value != NULL && json_object_get_boolean(value);
	return true;
}

/* Content is a string, or an array of parts of which those with text count. */
static void
append_content(GString *prompt, struct json_object *content)
{
	if (json_object_is_type(content, json_type_string))
	{
		g_string_append_len(prompt, json_object_get_string(content),
			json_object_get_string_len(content));
		return;
	}
	if (!json_object_is_type(content, json_type_array))
		return;
	for (size_t i = 0; i < json_object_array_length(content); i++)
	{
		struct json_object *text = member(json_object_array_get_idx(content, i), "text");
		if (json_object_is_type(text, json_type_string))
			g_string_append(prompt, json_object_get_string(text));
	}
}

static bool
read_messages(struct comet_completion *completion, GError **error)
{
	struct json_object *messages = member(completion->document, "messages");

	if (!json_object_is_type(messages, json_type_array) ||
		json_object_array_length(messages) == 0)
		return fault(error, "messages", "must be an array with at least one message");
	for (size_t i = 0; i < json_object_array_length(messages); i++)
	{
		struct json_object *message = json_object_array_get_idx(messages, i);
		if (!json_object_is_type(message, json_type_object))
		{
			char place[48];
			g_snprintf(place, sizeof place, "messages[%zu]", i);
			return fault(error, place, "must be an object");
		}
		append_content(completion->prompt, member(message, "role"));
		g_string_append_c(completion->prompt, '\n');
		append_content(completion->prompt, member(message, "content"));
		g_string_append_c(completion->prompt, '\n');
	}
	return true;
}

static bool
read_prompt(struct comet_completion *completion, GError **error)
{
	struct json_object *prompt = member(completion->document, "prompt");

	if (!json_object_is_type(prompt, json_type_string))
		return fault(error, "prompt", "must be a string");
	append_content(completion->prompt, prompt);
	return true;
}

struct comet_completion *
comet_completion_parse(const char *body, size_t length, bool chat, GError **error)
{
	struct json_object *document = comet_json_validator_parse(body, length, error);

	if (document == NULL)
		return NULL;
	struct comet_completion *completion = g_new0(struct comet_completion, 1);
	completion->document = document;
	completion->prompt = g_string_new(NULL);
	bool good = read_model(completion, error) && read_max_tokens(completion, error) &&
		    read_stream(completion, error) &&
		    (chat ? read_messages(completion, error) : read_prompt(completion, error));
	if (good)
		return completion;
	comet_completion_destroy(completion);
	return NULL;
}

void
comet_completion_destroy(struct comet_completion *completion)
{
	if (completion == NULL)
		return;
	json_object_put(completion->document);
	g_string_free(completion->prompt, TRUE);
	g_free(completion);
}

char *
comet_completion_forward(
	struct comet_completion *completion, uint32_t tier, const char *cache_salt, bool run_to_end)
{
	struct json_object *document = completion->document;

	json_object_object_add(document, "priority", json_object_new_int64(tier));
	json_object_object_add(document, "cache_salt", json_object_new_string(cache_salt));
	if (run_to_end)
		json_object_object_add(document, "run_to_end", json_object_new_boolean(1));
	return g_strdup(json_object_to_json_string_ext(
		document, JSON_C_TO_STRING_PLAIN | JSON_C_TO_STRING_NOSLASHESCAPE));
}
