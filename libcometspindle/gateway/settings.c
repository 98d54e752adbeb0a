/*
 * settings.c
 * settings of a gateway, read from JSON with comments
 */
#include <libcometspindle/gateway/settings.h>

#include <libcometspindle/json_validator.h>
#include <libcometspindle/log.h>
#include <string.h>
#include <talloc.h>

#define HOUR_S 3600.0
#define HOUR_MS 3600000

/* Five lines for each of 100 requests per second, which is about five times the usual load of an
 * entry VM. */
#define LOG_LINES_PER_S_DEFAULT 500
#define LOG_LINES_PER_S_MAX 1000000

/* More than any link of an entry VM carries per second. */
#define BYTES_PER_S_MAX 1000000000

/* More than any entry VM has. */
#define MEMORY_MB_MAX 16777216
#define BYTES_IN_MB 1048576

/* More than any link of an entry VM carries. */
#define LINK_MBPS_MAX 1000000
#define BYTES_PER_S_IN_MBPS 125000

/* No entry VM has more cores. */
#define CORES_MAX 1024

/* Defaults of the durations below. The deployment file sets those that the platform defines. */
#define GRACE_DEFAULT_S 8.0
#define TEAM_WINDOW_DEFAULT_S 8.0
#define RETRY_WINDOW_DEFAULT_S 10.0
#define SETTLED_DEFAULT_MS 3000

static char *
read_string(struct comet_gateway_settings *settings, struct comet_json_validator_object *object,
	const char *key, const char *default_value)
{
	return talloc_strdup(settings, comet_json_validator_string(object, key, default_value));
}

static uint32_t
read_seconds(struct comet_json_validator_object *object, const char *key, double default_s)
{
	return (uint32_t)(comet_json_validator_number(object, key, 0.1, HOUR_S, default_s) * 1000);
}

static int
settings_destroy(struct comet_gateway_settings *settings)
{
	g_hash_table_destroy(settings->zone_regions);
	return 0;
}

/* Reads the optional object "zone_regions", whose keys are names of zones. */
static void
read_zone_regions(struct comet_gateway_settings *settings, struct comet_json_validator *validator,
	struct comet_json_validator_object *object)
{
	struct json_object *member = comet_json_validator_member(object, "zone_regions", false);

	settings->zone_regions = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	if (member == NULL)
		return;
	struct comet_json_validator_object *zones =
		comet_json_validator_object_begin(validator, member, "gateway.zone_regions");
	json_object_object_foreach(member, zone, region)
	{
		(void)region;
		const char *name = comet_json_validator_string(zones, zone, NULL);
		if (name != NULL)
			g_hash_table_insert(settings->zone_regions, g_strdup(zone), g_strdup(name));
	}
	comet_json_validator_object_end(zones);
}

static void
read_durations(struct comet_gateway_settings *settings, struct comet_json_validator_object *object)
{
	settings->grace_ms = read_seconds(object, "grace_s", GRACE_DEFAULT_S);
	settings->leave_ms =
		(uint32_t)comet_json_validator_int(object, "leave_ms", 0, HOUR_MS, 2700);
	settings->lapse_ms =
		(uint32_t)comet_json_validator_int(object, "lapse_ms", 0, HOUR_MS, 2200);
	settings->settled_ms = (uint32_t)comet_json_validator_int(
		object, "settled_ms", 0, HOUR_MS, SETTLED_DEFAULT_MS);
}

static void
read_limits(struct comet_gateway_settings *settings, struct comet_json_validator_object *object)
{
	struct comet_rate_limiter_config *rate_limiter = &settings->rate_limiter;
	struct comet_retry_budget_config *retries = &settings->retries;

	rate_limiter->window_ms = read_seconds(object, "team_window_s", TEAM_WINDOW_DEFAULT_S);
	rate_limiter->overage = comet_json_validator_number(object, "team_overage", 0, 100, 0.1);
	rate_limiter->slack = comet_json_validator_number(object, "team_slack", 0, 1e12, 0);
	retries->window_ms = read_seconds(object, "retry_window_s", RETRY_WINDOW_DEFAULT_S);
	retries->ratio = comet_json_validator_number(object, "retry_ratio", 0, 100, 0.1);
	retries->slack = (uint32_t)comet_json_validator_number(object, "retry_slack", 0, 1e9, 20);
	settings->cold_overage = comet_json_validator_number(object, "cold_overage", 0, 1000, 0);
	settings->cold_slack = comet_json_validator_number(object, "cold_slack", 0, 1e9, 0);
}

static void
read_gateway(struct comet_gateway_settings *settings, struct comet_json_validator *validator,
	struct json_object *root)
{
	struct comet_json_validator_object *object =
		comet_json_validator_object_begin(validator, root, "gateway");

	settings->name = read_string(settings, object, "name", NULL);
	settings->zone = read_string(settings, object, "zone", NULL);
	read_zone_regions(settings, validator, object);
	settings->callers = read_string(settings, object, "callers", NULL);
	settings->readiness = read_string(settings, object, "readiness", NULL);
	settings->control = read_string(settings, object, "control", NULL);
	settings->peers = read_string(settings, object, "peers", NULL);
	settings->seeds = read_string(settings, object, "seeds", "");
	settings->directory = read_string(settings, object, "directory", NULL);
	settings->near_bytes_per_s = (uint32_t)comet_json_validator_int(
		object, "near_bytes_per_s", 256, BYTES_PER_S_MAX, 16384);
	settings->far_bytes_per_s = (uint32_t)comet_json_validator_int(
		object, "far_bytes_per_s", 256, BYTES_PER_S_MAX, 8192);
	settings->cpu_percent =
		(uint32_t)(comet_json_validator_number(object, "cpu_share", 0, CORES_MAX, 1) * 100);
	settings->link_bytes_per_s =
		(uint64_t)(comet_json_validator_number(object, "link_mbps", 0, LINK_MBPS_MAX, 0) *
			   BYTES_PER_S_IN_MBPS);
	settings->memory_bytes =
		(uint64_t)(comet_json_validator_number(object, "memory_mb", 0, MEMORY_MB_MAX, 0) *
			   BYTES_IN_MB);
	settings->ask_keepers = comet_json_validator_bool(object, "ask_keepers", true);
	settings->prefer_own_zone = comet_json_validator_bool(object, "prefer_own_zone", false);
	settings->returning_callers = comet_json_validator_bool(object, "returning_callers", false);
	read_durations(settings, object);
	settings->log_lines_per_s = (uint32_t)comet_json_validator_int(
		object, "log_lines_per_s", 0, LOG_LINES_PER_S_MAX, LOG_LINES_PER_S_DEFAULT);
	settings->log_level =
		comet_log_level_parse(comet_json_validator_string(object, "log_level", "info"));
	if (settings->log_level < 0)
		comet_json_validator_fault(validator, "gateway.log_level",
			"must be one of err, warning, notice, info, debug");
	read_limits(settings, object);
	comet_json_validator_object_end(object);
}

bool
comet_gateway_settings_match(const char *text, size_t length)
{
	struct json_object *root = comet_json_validator_parse(text, length, NULL);
	bool found = root != NULL && json_object_object_get_ex(root, "gateway", NULL);

	json_object_put(root);
	return found;
}

struct comet_gateway_settings *
comet_gateway_settings_parse(const char *text, size_t length, GError **error)
{
	struct json_object *root = comet_json_validator_parse(text, length, error);

	if (root == NULL)
		return NULL;
	struct comet_gateway_settings *settings = talloc_zero(NULL, struct comet_gateway_settings);
	talloc_set_destructor(settings, settings_destroy);
	struct comet_json_validator *validator = comet_json_validator_create();
	struct comet_json_validator_object *object =
		comet_json_validator_object_begin(validator, root, "");
	read_gateway(settings, validator, comet_json_validator_member(object, "gateway", true));
	comet_json_validator_object_end(object);
	if (!comet_json_validator_finish(validator, error))
		TALLOC_FREE(settings);
	comet_json_validator_destroy(validator);
	json_object_put(root);
	return settings;
}
