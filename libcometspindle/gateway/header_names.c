/*
 * header_names.c
 * parsers for the values of headers that callers and endpoints use
 */
#include <libcometspindle/gateway/header_names.h>

#include <glib.h>
#include <stddef.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

/* No endpoint has more requests, and sums of several such numbers stay in range. */
#define LOAD_MAX 1000000

/* Slowdown of an endpoint that does not report one. */
#define SLOWDOWN_USUAL_PERCENT 100

/* Longest accepted duration in seconds. */
#define DURATION_MAX_S 3600.0

bool
comet_header_is_reserved(const struct comet_header_names *names, const char *header)
{
	for (const char *const *name = names->reserved; *name != NULL; name++)
	{
		if (strcasecmp(*name, header) == 0)
			return true;
	}
	return false;
}

/* Parses up to `max_count` numbers separated by commas. @return how many there are; 0: the text is
 * not such a list. */
static size_t
parse_number_list(const char *text, uint32_t *numbers, size_t max_count)
{
	for (size_t i = 0; i < max_count; i++)
	{
		char *end = NULL;
		if (*text < '0' || *text > '9')
			return 0;
		unsigned long long value = strtoull(text, &end, 10);
		if (value > UINT32_MAX)
			return 0;
		numbers[i] = (uint32_t)value;
		if (*end == '\0')
			return i + 1;
		if (*end != ',')
			return 0;
		text = end + 1;
	}
	return 0;
}

/* Parses numbers separated by commas. @return false unless there are exactly `count` numbers. */
static bool
parse_numbers(const char *text, uint32_t *numbers, size_t count)
{
	return parse_number_list(text, numbers, count) == count;
}

bool
comet_header_parse_tokens(const char *text, uint32_t *prompt, uint32_t *output)
{
	uint32_t numbers[2];

	if (!parse_numbers(text, numbers, 2))
		return false;
	*prompt = numbers[0];
	*output = numbers[1];
	return true;
}

/* Parses one "ID:TOKENS". @return the character after it, or NULL if it is malformed. */
static const char *
parse_part(const char *text, struct comet_header_part *part)
{
	part->id = text;
	while (g_ascii_isxdigit(*text))
		text++;
	part->length = (size_t)(text - part->id);
	if (part->length == 0 || *text++ != ':' || !g_ascii_isdigit(*text))
		return NULL;
	while (g_ascii_isdigit(*text))
		text++;
	return text;
}

size_t
comet_header_parse_parts(const char *text, struct comet_header_part parts[COMET_HEADER_PARTS_MAX])
{
	struct comet_header_part part;
	size_t count = 0;

	while ((text = parse_part(text, &part)) != NULL && *text == ',')
	{
		if (count < COMET_HEADER_PARTS_MAX)
			parts[count++] = part;
		text++;
	}
	return text != NULL && *text == '\0' ? count : 0;
}

bool
comet_header_parse_load(const char *text, struct comet_header_load *load)
{
	uint32_t numbers[4];
	size_t count = parse_number_list(text, numbers, G_N_ELEMENTS(numbers));

	if (count < 3 || numbers[0] > LOAD_MAX || numbers[1] > LOAD_MAX)
		return false;
	*load = (struct comet_header_load){
		.running = numbers[0],
		.waiting = numbers[1],
		.slots = numbers[2],
		.slowdown_percent = count > 3 ? numbers[3] : SLOWDOWN_USUAL_PERCENT,
		.slowdown_stated = count > 3,
	};
	return true;
}

uint32_t
comet_header_parse_stream_version(const char *text)
{
	guint64 version_id = 0;

	return g_ascii_string_to_unsigned(text, 16, 1, UINT32_MAX, &version_id, NULL)
		       ? (uint32_t)version_id
		       : 0;
}

bool
comet_header_parse_ms(const char *text, uint32_t *ms)
{
	return parse_numbers(text, ms, 1);
}

bool
comet_header_parse_seconds(const char *text, uint32_t *ms)
{
	char *end = NULL;

	if (!g_ascii_isdigit(*text))
		return false;
	double seconds = g_ascii_strtod(text, &end);
	if (*end != '\0' || !(seconds >= 0 && seconds <= DURATION_MAX_S))
		return false;
	*ms = (uint32_t)(seconds * 1000);
	return true;
}

/* Parses "NAME=NUMBER" with optional blanks around both. @return false if the name differs or the
 * number is invalid. */
static bool
parse_parameter(char *text, const char *name, uint32_t *number)
{
	char *separator = strchr(text, '=');

	if (separator == NULL)
		return false;
	*separator = '\0';
	return strcasecmp(g_strstrip(text), name) == 0 &&
	       parse_numbers(g_strstrip(separator + 1), number, 1);
}

bool
comet_header_parse_keep_alive(const char *text, uint32_t *seconds)
{
	char **parameters = g_strsplit(text, ",", -1);
	bool found = false;

	for (char **parameter = parameters; *parameter != NULL && !found; parameter++)
		found = parse_parameter(*parameter, "timeout", seconds);
	g_strfreev(parameters);
	return found;
}
