/*
 * settings.c
 * the settings of one daemon, from JSON with comments
 */
#include <libcometspindle/settings.h>

#include <libcometspindle/json_validator.h>
#include <libcometspindle/error.h>
#include <libcometspindle/log.h>
#include <libcometspindle/scheduler/policy.h>
#include <string.h>
#include <talloc.h>

#define MIB (1024 * 1024)

static void
settings_read(struct comet_settings *settings, struct comet_json_validator *check,
	struct json_object *root)
{
	struct comet_json_validator_object *object =
		comet_json_validator_object_begin(check, root, "");

	settings->name = talloc_strdup(settings, comet_json_validator_string(object, "name", NULL));
	settings->zone = talloc_strdup(settings, comet_json_validator_string(object, "zone", NULL));
	settings->listen_address = talloc_strdup(
		settings, comet_json_validator_string(object, "listen_address", NULL));
	settings->listen_port =
		(uint16_t)comet_json_validator_int(object, "listen_port", 0, UINT16_MAX, 0);
	settings->peer_endpoint =
		talloc_strdup(settings, comet_json_validator_string(object, "peer_endpoint", NULL));
	settings->platform_url =
		talloc_strdup(settings, comet_json_validator_string(object, "platform_url", NULL));
	settings->peer_key_file =
		talloc_strdup(settings, comet_json_validator_string(object, "peer_key_file", NULL));
	settings->bundle_key_file = talloc_strdup(
		settings, comet_json_validator_string(object, "bundle_key_file", NULL));
	settings->policy =
		talloc_strdup(settings, comet_json_validator_string(object, "policy", "comet"));
	settings->traffic_threads =
		(uint32_t)comet_json_validator_int(object, "traffic_threads", 1, 64, 1);
	settings->max_waiting =
		(uint32_t)comet_json_validator_int(object, "max_waiting", 16, 1000000, 4096);
	settings->max_body_bytes = (uint32_t)comet_json_validator_int(
		object, "max_body_bytes", 1024, 64 * MIB, 2 * MIB);
	settings->max_connections =
		(uint32_t)comet_json_validator_int(object, "max_connections", 16, 65536, 8192);
	settings->drain_max_s =
		(uint32_t)comet_json_validator_int(object, "drain_max_s", 1, 86400, 300);
	settings->test_cut_file =
		talloc_strdup(settings, comet_json_validator_string(object, "test_cut_file", ""));
	settings->log_level =
		comet_log_level_parse(comet_json_validator_string(object, "log_level", "info"));
	if (settings->log_level < 0)
		comet_json_validator_fault(
			check, "log_level", "must be one of err, warning, notice, info, debug");
	if (comet_policy_find(settings->policy) == NULL)
		comet_json_validator_fault(
			check, "policy", "must be one of %s", comet_policy_names());
	comet_json_validator_object_end(object);
}

struct comet_settings *
comet_settings_parse(const char *text, size_t length, GError **error)
{
	struct json_object *root = comet_json_validator_parse(text, length, error);

	if (root == NULL)
		return NULL;
	struct comet_settings *settings = talloc_zero(NULL, struct comet_settings);
	struct comet_json_validator *check = comet_json_validator_create();
	settings_read(settings, check, root);
	if (!comet_json_validator_finish(check, error))
		TALLOC_FREE(settings);
	comet_json_validator_destroy(check);
	json_object_put(root);
	return settings;
}

struct comet_settings *
comet_settings_load(const char *path, GError **error)
{
	char *text = NULL;
	gsize length = 0;

	if (!g_file_get_contents(path, &text, &length, error))
		return NULL;
	struct comet_settings *settings = comet_settings_parse(text, length, error);
	g_free(text);
	return settings;
}
