/*
 * json_validator.c
 * reads JSON objects field by field and collects every fault with its path
 */
#include <libcometspindle/json_validator.h>

#include <libcometspindle/error.h>
#include <stdarg.h>
#include <string.h>

/* Deeper documents are refused by the tokener. */
#define NESTING_MAX 16

struct comet_json_validator
{
	GString *faults;
	unsigned int count;
};

struct comet_json_validator_object
{
	struct comet_json_validator *check;
	struct json_object *value; /* NULL when it was not an object */
	char *path;
	GHashTable *known;
};

struct comet_json_validator *
comet_json_validator_create(void)
{
	struct comet_json_validator *check = g_new0(struct comet_json_validator, 1);

	check->faults = g_string_new(NULL);
	return check;
}

void
comet_json_validator_destroy(struct comet_json_validator *check)
{
	g_string_free(check->faults, TRUE);
	g_free(check);
}

void
comet_json_validator_fault(
	struct comet_json_validator *check, const char *path, const char *format, ...)
{
	va_list args;

	if (check->count++ > 0)
		g_string_append_c(check->faults, '\n');
	g_string_append_printf(check->faults, "%s: ", path);
	va_start(args, format);
	g_string_append_vprintf(check->faults, format, args);
	va_end(args);
}

bool
comet_json_validator_finish(struct comet_json_validator *check, GError **error)
{
	if (check->count == 0)
		return true;
	g_set_error_literal(error, COMET_ERROR, COMET_ERROR_INVALID, check->faults->str);
	return false;
}

struct json_object *
comet_json_validator_parse(const char *text, size_t length, GError **error)
{
	struct json_tokener *tokener = json_tokener_new_ex(NESTING_MAX);
	struct json_object *root = NULL;

	if (length > INT32_MAX)
	{
		g_set_error(error, COMET_ERROR, COMET_ERROR_SYNTAX, "document too large");
		json_tokener_free(tokener);
		return NULL;
	}
	root = json_tokener_parse_ex(tokener, text, (int)length);
	enum json_tokener_error state = json_tokener_get_error(tokener);
	if (state != json_tokener_success)
	{
		g_set_error(error, COMET_ERROR, COMET_ERROR_SYNTAX, "byte %zu: %s",
			json_tokener_get_parse_end(tokener), json_tokener_error_desc(state));
		json_object_put(root);
		root = NULL;
	}
	else if (!json_object_is_type(root, json_type_object))
	{
		g_set_error(
			error, COMET_ERROR, COMET_ERROR_SYNTAX, "the document must be an object");
		json_object_put(root);
		root = NULL;
	}
	json_tokener_free(tokener);
	return root;
}

struct comet_json_validator_object *
comet_json_validator_object_begin(
	struct comet_json_validator *check, struct json_object *value, const char *path)
{
	struct comet_json_validator_object *object = g_new0(struct comet_json_validator_object, 1);

	object->check = check;
	object->path = g_strdup(path);
	object->known = g_hash_table_new(g_str_hash, g_str_equal);
	if (json_object_is_type(value, json_type_object))
		object->value = value;
	else
		comet_json_validator_fault(check, path, "must be an object");
	return object;
}

void
comet_json_validator_object_end(struct comet_json_validator_object *object)
{
	if (object->value != NULL)
	{
		json_object_object_foreach(object->value, key, unused)
		{
			(void)unused;
			if (!g_hash_table_contains(object->known, key))
				comet_json_validator_fault(
					object->check, object->path, "unknown key \"%s\"", key);
		}
	}
	g_hash_table_destroy(object->known);
	g_free(object->path);
	g_free(object);
}

const char *
comet_json_validator_object_path(const struct comet_json_validator_object *object)
{
	return object->path;
}

static void
fault_at(struct comet_json_validator_object *object, const char *key, const char *rule)
{
	char *path = object->path[0] != '\0' ? g_strdup_printf("%s.%s", object->path, key)
					     : g_strdup(key);

	comet_json_validator_fault(object->check, path, "%s", rule);
	g_free(path);
}

static struct json_object *
find(struct comet_json_validator_object *object, const char *key, enum json_type type,
	bool required, const char *rule)
{
	struct json_object *value = NULL;

	if (object->value == NULL)
		return NULL;
	g_hash_table_add(object->known, (gpointer)key);
	if (!json_object_object_get_ex(object->value, key, &value))
	{
		if (required)
			fault_at(object, key, "is required");
		return NULL;
	}
	if (!json_object_is_type(value, type))
	{
		fault_at(object, key, rule);
		return NULL;
	}
	return value;
}

const char *
comet_json_validator_string(
	struct comet_json_validator_object *object, const char *key, const char *fallback)
{
	struct json_object *value =
		find(object, key, json_type_string, fallback == NULL, "must be a string");

	if (value == NULL)
		return fallback != NULL ? fallback : "";
	if (json_object_get_string_len(value) == 0 && fallback == NULL)
		fault_at(object, key, "must not be empty");
	return json_object_get_string(value);
}

int64_t
comet_json_validator_int(struct comet_json_validator_object *object, const char *key, int64_t min,
	int64_t max, int64_t fallback)
{
	struct json_object *value =
		find(object, key, json_type_int, fallback < 0, "must be a whole number");

	if (value == NULL)
		return fallback < 0 ? min : fallback;
	int64_t number = json_object_get_int64(value);
	if (number < min || number > max)
	{
		char rule[96];
		if (min == 1 && number < 1)
			g_snprintf(rule, sizeof rule, "must be > 0");
		else
			g_snprintf(rule, sizeof rule,
				"must be from %" G_GINT64_FORMAT " to %" G_GINT64_FORMAT, min, max);
		fault_at(object, key, rule);
		return min;
	}
	return number;
}

double
comet_json_validator_number(struct comet_json_validator_object *object, const char *key, double min,
	double max, double fallback)
{
	struct json_object *value = NULL;
	char rule[96];

	if (object->value == NULL)
		return fallback;
	g_hash_table_add(object->known, (gpointer)key);
	if (!json_object_object_get_ex(object->value, key, &value))
		return fallback;
	bool numeric = json_object_is_type(value, json_type_int) ||
		       json_object_is_type(value, json_type_double);
	double number = numeric ? json_object_get_double(value) : min - 1;
	if (number >= min && number <= max)
		return number;
	g_snprintf(rule, sizeof rule, "must be a number from %g to %g", min, max);
	fault_at(object, key, rule);
	return fallback;
}

bool
comet_json_validator_bool(
	struct comet_json_validator_object *object, const char *key, bool fallback)
{
	struct json_object *value =
		find(object, key, json_type_boolean, false, "must be true or false");

	return value == NULL ? fallback : json_object_get_boolean(value);
}

struct json_object *
comet_json_validator_array(
	struct comet_json_validator_object *object, const char *key, bool required)
{
	return find(object, key, json_type_array, required, "must be an array");
}

struct json_object *
comet_json_validator_member(
	struct comet_json_validator_object *object, const char *key, bool required)
{
	return find(object, key, json_type_object, required, "must be an object");
}
