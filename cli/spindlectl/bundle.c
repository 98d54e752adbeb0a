/*
 * bundle.c
 * spindlectl bundle, key and settings: what is done before a rollout
 */
#include "spindlectl.h"

#include <libcometspindle/bundle.h>
#include <libcometspindle/json_validator.h>
#include <libcometspindle/error.h>
#include <libcometspindle/settings.h>
#include <libcometspindle/sign.h>
#include <sodium.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>
#include <zmq.h>

#define Z85_KEY 41

/* Reads and checks a document. */
static struct comet_bundle *
load_document(const char *path, char **text, gsize *length, GError **error)
{
	if (!g_file_get_contents(path, text, length, error))
		return NULL;
	return comet_bundle_parse(*text, *length, error);
}

static void
print_summary(const char *path, const struct comet_bundle *bundle, gboolean json)
{
	if (json)
		printf("{\"file\":\"%s\",\"good\":true,\"version\":%" G_GUINT64_FORMAT
		       ",\"teams\":%u,\"tiers\":%u,\"pools\":%u,\"endpoints\":%u}\n",
			path, bundle->version, bundle->n_teams, bundle->n_tiers, bundle->n_pools,
			bundle->n_endpoints);
	else
		printf("%s: good: version %" G_GUINT64_FORMAT
		       ", %u teams, %u tiers, %u models and services, %u endpoints\n",
			path, bundle->version, bundle->n_teams, bundle->n_tiers, bundle->n_pools,
			bundle->n_endpoints);
}

int
spindlectl_bundle_check(int argc, char **argv)
{
	gboolean json = FALSE;
	char **operands = NULL;
	char *text = NULL;
	gsize length = 0;
	GError *error = NULL;
	int result = SPINDLECTL_OK;

	if (!spindlectl_arguments(argc, argv, "FILE", 1, 1, &json, &operands, &result))
		return result;
	struct comet_bundle *bundle = load_document(operands[0], &text, &length, &error);
	if (bundle == NULL)
		result = spindlectl_fail(operands[0], error);
	else
		print_summary(operands[0], bundle, json);
	comet_bundle_unref(bundle);
	g_free(text);
	g_strfreev(operands);
	return result;
}

int
spindlectl_bundle_sign(int argc, char **argv)
{
	gboolean json = FALSE;
	char **operands = NULL;
	char *text = NULL;
	gsize length = 0;
	GError *error = NULL;
	uint8_t key[COMET_SIGN_SECRET_BYTES];
	int result = SPINDLECTL_OK;

	if (!spindlectl_arguments(
		    argc, argv, "FILE SECRET-KEY OUT", 3, 3, &json, &operands, &result))
		return result;
	struct comet_bundle *bundle = load_document(operands[0], &text, &length, &error);
	if (bundle == NULL)
		result = spindlectl_fail(operands[0], error);
	else if (!comet_sign_key_load(operands[1], key, sizeof key, &error))
		result = spindlectl_fail(operands[1], error);
	else
	{
		GBytes *bytes = comet_sign_document(text, length, key);
		gsize size = 0;
		const char *data = g_bytes_get_data(bytes, &size);
		if (!g_file_set_contents(operands[2], data, (gssize)size, &error))
			result = spindlectl_fail(operands[2], error);
		else
			print_summary(operands[2], bundle, json);
		g_bytes_unref(bytes);
	}
	sodium_memzero(key, sizeof key);
	comet_bundle_unref(bundle);
	g_free(text);
	g_strfreev(operands);
	return result;
}

int
spindlectl_bundle_verify(int argc, char **argv)
{
	gboolean json = FALSE;
	char **operands = NULL;
	char *data = NULL;
	gsize size = 0;
	const char *text = NULL;
	size_t length = 0;
	GError *error = NULL;
	uint8_t key[COMET_SIGN_PUBLIC_BYTES];
	int result = SPINDLECTL_OK;

	if (!spindlectl_arguments(argc, argv, "SIGNED PUBLIC-KEY", 2, 2, &json, &operands, &result))
		return result;
	if (!g_file_get_contents(operands[0], &data, &size, &error))
		result = spindlectl_fail(operands[0], error);
	else if (!comet_sign_key_load(operands[1], key, sizeof key, &error))
		result = spindlectl_fail(operands[1], error);
	else
	{
		GBytes *bytes = g_bytes_new_static(data, size);
		struct comet_bundle *bundle = NULL;
		if (!comet_sign_open(bytes, key, &text, &length, &error) ||
			(bundle = comet_bundle_parse(text, length, &error)) == NULL)
			result = spindlectl_fail(operands[0], error);
		else
			print_summary(operands[0], bundle, json);
		comet_bundle_unref(bundle);
		g_bytes_unref(bytes);
	}
	g_free(data);
	g_strfreev(operands);
	return result;
}

/* --- diff --- */

static const char *
name_of(struct json_object *value)
{
	struct json_object *name = NULL;

	if (json_object_is_type(value, json_type_object) &&
		json_object_object_get_ex(value, "name", &name))
		return json_object_get_string(name);
	return NULL;
}

static struct json_object *
find_named(struct json_object *array, const char *name)
{
	for (size_t i = 0; i < json_object_array_length(array); i++)
	{
		struct json_object *value = json_object_array_get_idx(array, i);
		const char *other = name_of(value);
		if (other != NULL && strcmp(other, name) == 0)
			return value;
	}
	return NULL;
}

static void
note(GPtrArray *lines, char sign, const char *path, struct json_object *value)
{
	g_ptr_array_add(
		lines, g_strdup_printf("%c %s: %s", sign, path,
			       json_object_to_json_string_ext(value, JSON_C_TO_STRING_PLAIN)));
}

static void
compare(GPtrArray *lines, const char *path, struct json_object *old, struct json_object *new);

static void
compare_objects(
	GPtrArray *lines, const char *path, struct json_object *old, struct json_object *new)
{
	json_object_object_foreach(old, key, value)
	{
		char *at = path[0] != '\0' ? g_strdup_printf("%s.%s", path, key) : g_strdup(key);
		compare(lines, at, value, json_object_object_get(new, key));
		g_free(at);
	}
	json_object_object_foreach(new, new_key, new_value)
	{
		char *at = path[0] != '\0' ? g_strdup_printf("%s.%s", path, new_key)
					   : g_strdup(new_key);
		if (!json_object_object_get_ex(old, new_key, NULL))
			note(lines, '+', at, new_value);
		g_free(at);
	}
}

/* Entries of an array are matched by name, so that order does not matter. */
static void
compare_named(GPtrArray *lines, const char *path, struct json_object *old, struct json_object *new)
{
	for (size_t i = 0; i < json_object_array_length(old); i++)
	{
		struct json_object *value = json_object_array_get_idx(old, i);
		char *at = g_strdup_printf("%s[%s]", path, name_of(value));
		compare(lines, at, value, find_named(new, name_of(value)));
		g_free(at);
	}
	for (size_t i = 0; i < json_object_array_length(new); i++)
	{
		struct json_object *value = json_object_array_get_idx(new, i);
		char *at = g_strdup_printf("%s[%s]", path, name_of(value));
		if (name_of(value) != NULL && find_named(old, name_of(value)) == NULL)
			note(lines, '+', at, value);
		g_free(at);
	}
}

static gboolean
all_named(struct json_object *array)
{
	for (size_t i = 0; i < json_object_array_length(array); i++)
	{
		if (name_of(json_object_array_get_idx(array, i)) == NULL)
			return FALSE;
	}
	return json_object_array_length(array) > 0;
}

static void
compare(GPtrArray *lines, const char *path, struct json_object *old, struct json_object *new)
{
	if (new == NULL)
		note(lines, '-', path, old);
	else if (json_object_is_type(old, json_type_object) &&
		 json_object_is_type(new, json_type_object))
		compare_objects(lines, path, old, new);
	else if (json_object_is_type(old, json_type_array) &&
		 json_object_is_type(new, json_type_array) && all_named(old) && all_named(new))
		compare_named(lines, path, old, new);
	else if (!json_object_equal(old, new))
	{
		note(lines, '-', path, old);
		note(lines, '+', path, new);
	}
}

static void
print_lines(GPtrArray *lines, gboolean json)
{
	struct json_object *array = json_object_new_array();

	for (guint i = 0; i < lines->len; i++)
	{
		if (!json)
			printf("%s\n", (const char *)g_ptr_array_index(lines, i));
		json_object_array_add(array, json_object_new_string(g_ptr_array_index(lines, i)));
	}
	if (json)
		printf("%s\n", json_object_to_json_string_ext(array, JSON_C_TO_STRING_PLAIN));
	json_object_put(array);
}

/* A signed bundle is compared by the document in it. */
static struct json_object *
load_any(const char *path, GError **error)
{
	char *text = NULL;
	gsize length = 0;

	if (!g_file_get_contents(path, &text, &length, error))
		return NULL;
	const char *start = text;
	if (g_str_has_prefix(text, "comet-bundle-1 ") && strchr(text, '\n') != NULL)
		start = strchr(text, '\n') + 1;
	struct json_object *root =
		comet_json_validator_parse(start, length - (gsize)(start - text), error);
	g_free(text);
	return root;
}

int
spindlectl_bundle_diff(int argc, char **argv)
{
	gboolean json = FALSE;
	char **operands = NULL;
	GError *error = NULL;
	int result = SPINDLECTL_OK;

	if (!spindlectl_arguments(argc, argv, "OLD NEW", 2, 2, &json, &operands, &result))
		return result;
	struct json_object *old = load_any(operands[0], &error);
	struct json_object *new = old != NULL ? load_any(operands[1], &error) : NULL;
	if (old == NULL || new == NULL)
		result = spindlectl_fail(operands[old == NULL ? 0 : 1], error);
	else
	{
		GPtrArray *lines = g_ptr_array_new_with_free_func(g_free);
		compare(lines, "", old, new);
		print_lines(lines, json);
		result = lines->len > 0 ? SPINDLECTL_DIFFERS : SPINDLECTL_OK;
		g_ptr_array_free(lines, TRUE);
	}
	json_object_put(old);
	json_object_put(new);
	g_strfreev(operands);
	return result;
}

/* --- keys and settings --- */

static int
write_secret(const char *path, const char *text)
{
	GError *error = NULL;

	if (!g_file_set_contents_full(path, text, -1, G_FILE_SET_CONTENTS_CONSISTENT, 0600, &error))
		return spindlectl_fail(path, error);
	return SPINDLECTL_OK;
}

int
spindlectl_key_bundle(int argc, char **argv)
{
	uint8_t public_key[COMET_SIGN_PUBLIC_BYTES];
	uint8_t secret_key[COMET_SIGN_SECRET_BYTES];
	char hex[2 * COMET_SIGN_SECRET_BYTES + 1];
	gboolean json = FALSE;
	char **operands = NULL;
	int result = SPINDLECTL_OK;

	if (!spindlectl_arguments(
		    argc, argv, "SECRET-OUT PUBLIC-OUT", 2, 2, &json, &operands, &result))
		return result;
	comet_sign_keypair(public_key, secret_key);
	sodium_bin2hex(hex, sizeof hex, secret_key, sizeof secret_key);
	result = write_secret(operands[0], hex);
	sodium_bin2hex(hex, sizeof hex, public_key, sizeof public_key);
	if (result == SPINDLECTL_OK)
		result = write_secret(operands[1], hex);
	sodium_memzero(secret_key, sizeof secret_key);
	g_strfreev(operands);
	return result;
}

int
spindlectl_key_peer(int argc, char **argv)
{
	char public_key[Z85_KEY];
	char secret_key[Z85_KEY];
	gboolean json = FALSE;
	char **operands = NULL;
	int result = SPINDLECTL_OK;

	if (!spindlectl_arguments(argc, argv, "SECRET-OUT", 1, 1, &json, &operands, &result))
		return result;
	zmq_curve_keypair(public_key, secret_key);
	result = write_secret(operands[0], secret_key);
	sodium_memzero(secret_key, sizeof secret_key);
	g_strfreev(operands);
	return result;
}

int
spindlectl_key_hash(int argc, char **argv)
{
	uint8_t hash[COMET_KEY_HASH_BYTES];
	char hex[2 * COMET_KEY_HASH_BYTES + 1];
	gboolean json = FALSE;
	char **operands = NULL;
	char *key = NULL;
	GError *error = NULL;
	int result = SPINDLECTL_OK;

	if (!spindlectl_arguments(argc, argv, "KEY-FILE", 1, 1, &json, &operands, &result))
		return result;
	if (!g_file_get_contents(operands[0], &key, NULL, &error))
		result = spindlectl_fail(operands[0], error);
	else
	{
		comet_bundle_hash_key(g_strstrip(key), hash);
		printf("%s\n", sodium_bin2hex(hex, sizeof hex, hash, sizeof hash));
		sodium_memzero(key, strlen(key));
	}
	g_free(key);
	g_strfreev(operands);
	return result;
}

int
spindlectl_settings_check(int argc, char **argv)
{
	gboolean json = FALSE;
	char **operands = NULL;
	GError *error = NULL;
	int result = SPINDLECTL_OK;

	if (!spindlectl_arguments(argc, argv, "FILE", 1, 1, &json, &operands, &result))
		return result;
	struct comet_settings *settings = comet_settings_load(operands[0], &error);
	if (settings == NULL)
		result = spindlectl_fail(operands[0], error);
	else
		printf("%s: settings are good\n", operands[0]);
	talloc_free(settings);
	g_strfreev(operands);
	return result;
}
