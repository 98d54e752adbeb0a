/*
 * instances.c
 * the endpoints that this VM knows, as listed by the directory
 */
#include <libcometspindle/gateway/endpoints/instances.h>

#include <libcometspindle/gateway/endpoints/latency_model.h>
#include <libcometspindle/gateway/endpoints/statements.h>
#include <libcometspindle/hash.h>
#include <string.h>
#include <talloc.h>

/* An endpoint that is missing from the directory after an outage receives no requests from this
 * long before the directory is complete again, however late the first response of the directory
 * arrived. The endpoint may have left, and must then receive nothing once the directory is
 * complete. */
#define SETTLED_MARGIN_US 200000

/* How long the withdrawal of a limit is reported to other VMs: several rounds of gossip messages.
 */
#define WITHDRAWAL_REPORT_US 10000000

/* How long after the first response VMs report to each other that an instance leaves. A report that
 * VMs echo to each other must end. */
#define LEAVING_REPORT_US 600000000

struct comet_instances
{
	char *own_zone;
	GHashTable *by_id;                   /* id -> comet_instance */
	GHashTable *by_key;                  /* key -> comet_instance */
	GHashTable *services;                /* service -> GPtrArray of comet_instance */
	GHashTable *latency_models;          /* service -> struct comet_latency_model */
	GHashTable *version_histories;       /* service -> struct comet_version_history */
	GHashTable *slow_start_configs;      /* service -> struct comet_slow_start_config */
	GHashTable *evacuated_zones;         /* set of zone names */
	GHashTable *regions;                 /* zone name -> hash of the region's name */
	GHashTable *busy;                    /* set of the instances with dispatches of this VM */
	struct comet_statements *statements; /* of incarnations that are not listed */
	GHashTable *leaving;                 /* set of the instances that said that they leave */
	GHashTable *limited;                 /* set of the instances with a limit to report */
	uint32_t expiring_count;             /* instances with an expiry */
	bool version_removed;                /* an instance was removed since the last tick */
	uint64_t changes;
	uint64_t gossip_us; /* shared by all instances */
	uint64_t visits;
};

static void
free_array(gpointer array)
{
	g_ptr_array_free(array, TRUE);
}

static int
instances_destroy(struct comet_instances *instances)
{
	g_hash_table_destroy(instances->by_id);
	g_hash_table_destroy(instances->by_key);
	g_hash_table_destroy(instances->services);
	g_hash_table_destroy(instances->latency_models);
	g_hash_table_destroy(instances->version_histories);
	g_hash_table_destroy(instances->slow_start_configs);
	g_hash_table_destroy(instances->evacuated_zones);
	g_hash_table_destroy(instances->regions);
	g_hash_table_destroy(instances->busy);
	g_hash_table_destroy(instances->leaving);
	g_hash_table_destroy(instances->limited);
	return 0;
}

struct comet_instances *
comet_instances_create(void *parent, const char *own_zone)
{
	struct comet_instances *instances = talloc_zero(parent, struct comet_instances);

	instances->own_zone = talloc_strdup(instances, own_zone);
	instances->by_id = g_hash_table_new(g_str_hash, g_str_equal);
	instances->by_key = g_hash_table_new(NULL, NULL);
	instances->services = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_array);
	instances->latency_models = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	instances->version_histories = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	instances->slow_start_configs =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	instances->evacuated_zones = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	instances->busy = g_hash_table_new(NULL, NULL);
	instances->statements = comet_statements_create(instances);
	instances->leaving = g_hash_table_new(NULL, NULL);
	instances->limited = g_hash_table_new(NULL, NULL);
	instances->regions = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	talloc_set_destructor(instances, instances_destroy);
	return instances;
}

void
comet_instances_set_region(struct comet_instances *instances, const char *zone, const char *region)
{
	g_hash_table_insert(
		instances->regions, g_strdup(zone), GUINT_TO_POINTER(comet_hash_name(region)));
}

static struct comet_latency_model *
latency_model_of(struct comet_instances *instances, const char *service)
{
	struct comet_latency_model *latency_model =
		g_hash_table_lookup(instances->latency_models, service);

	if (latency_model == NULL)
	{
		latency_model = comet_latency_model_create(instances);
		g_hash_table_insert(instances->latency_models, g_strdup(service), latency_model);
	}
	return latency_model;
}

static struct comet_version_history *
version_history_of(struct comet_instances *instances, const char *service)
{
	struct comet_version_history *history =
		g_hash_table_lookup(instances->version_histories, service);

	if (history == NULL)
	{
		history = comet_version_history_create(instances);
		g_hash_table_insert(instances->version_histories, g_strdup(service), history);
	}
	return history;
}

const char *
comet_instances_service_name(struct comet_instances *instances, uint32_t service_id)
{
	GHashTableIter at;
	gpointer name = NULL;

	g_hash_table_iter_init(&at, instances->services);
	while (g_hash_table_iter_next(&at, &name, NULL))
	{
		if (comet_hash_name(name) == service_id)
			return name;
	}
	return NULL;
}

struct comet_only_version
comet_instances_only_version(
	struct comet_instances *instances, const char *service, uint64_t now_us)
{
	struct comet_version_history *history =
		g_hash_table_lookup(instances->version_histories, service);

	return history != NULL ? comet_version_history_only(history, now_us)
			       : (struct comet_only_version){0};
}

void
comet_instances_restart_versions(struct comet_instances *instances, uint64_t now_us)
{
	GHashTableIter at;
	gpointer history = NULL;

	g_hash_table_iter_init(&at, instances->version_histories);
	while (g_hash_table_iter_next(&at, NULL, &history))
	{
		comet_version_history_restart(history);
		comet_version_history_only(history, now_us); /* records the time of the restart */
	}
}

/* Returns the slow start settings of a service. Instances hold pointers to them, so that they are
 * updated in place. */
static struct comet_slow_start_config *
slow_start_config_of(struct comet_instances *instances, const char *service)
{
	struct comet_slow_start_config *config =
		g_hash_table_lookup(instances->slow_start_configs, service);

	if (config == NULL)
	{
		config = g_new0(struct comet_slow_start_config, 1);
		g_hash_table_insert(instances->slow_start_configs, g_strdup(service), config);
	}
	return config;
}

void
comet_instances_set_slow_start(struct comet_instances *instances, const char *service,
	const struct comet_slow_start_config *config)
{
	*slow_start_config_of(instances, service) = *config;
}

static struct comet_instance *
add_instance(struct comet_instances *instances, const struct comet_instance_record *record)
{
	struct comet_instance *instance = talloc_zero(instances, struct comet_instance);

	instance->id = talloc_strdup(instance, record->id);
	instance->process_start_ms = record->process_start_ms;
	instance->key = comet_instance_key(record->id, record->process_start_ms);
	instance->id_hash = comet_hash_name(record->id);
	instance->service = talloc_strdup(instance, record->service);
	instance->latency_model = latency_model_of(instances, record->service);
	instance->slow_start_config = slow_start_config_of(instances, record->service);
	instance->relative_latency = 1.0;
	instance->gossip_us = &instances->gossip_us;
	instance->busy = instances->busy;
	instance->leaving = instances->leaving;
	instance->limited = instances->limited;
	instances->changes++;
	g_hash_table_insert(instances->by_id, instance->id, instance);
	g_hash_table_insert(instances->by_key, GUINT_TO_POINTER(instance->key), instance);
	GPtrArray *array = g_hash_table_lookup(instances->services, record->service);
	if (array == NULL)
	{
		array = g_ptr_array_new();
		g_hash_table_insert(instances->services, g_strdup(record->service), array);
	}
	g_ptr_array_add(array, instance);
	comet_statements_apply(instances->statements, instance);
	return instance;
}

static void
set_expiry(struct comet_instances *instances, struct comet_instance *instance, uint64_t expire_us)
{
	instances->expiring_count -= instance->expire_us != 0 ? 1 : 0;
	instances->expiring_count += expire_us != 0 ? 1 : 0;
	instance->expire_us = expire_us;
}

/* Replaces a string of an instance. @return whether it differed. */
static bool
set_string(struct comet_instance *instance, char **string, const char *value)
{
	if (*string != NULL && strcmp(*string, value) == 0)
		return false;
	talloc_free(*string);
	*string = talloc_strdup(instance, value);
	return true;
}

static void
set_version(struct comet_instances *instances, struct comet_instance *instance, const char *version,
	uint64_t now_us)
{
	struct comet_version_history *history = version_history_of(instances, instance->service);

	if (!set_string(instance, &instance->software_version, version != NULL ? version : ""))
		return;
	if (instance->version_id != 0)
		comet_version_history_remove(history, instance->version_id);
	instance->version_id = comet_hash_name(instance->software_version);
	comet_version_history_add(history, instance->version_id);
	comet_version_history_only(history, now_us); /* records the time of the change */
}

struct comet_instance *
comet_instances_update(struct comet_instances *instances,
	const struct comet_instance_record *record, uint64_t now_us)
{
	struct comet_instance *instance = comet_instances_find(instances, record->id);

	if (instance != NULL && (instance->process_start_ms != record->process_start_ms ||
					strcmp(instance->service, record->service) != 0))
	{
		comet_instances_remove(instances, record->id);
		instance = NULL;
	}
	bool is_new = instance == NULL;
	if (is_new)
		instance = add_instance(instances, record);
	if (set_string(instance, &instance->address, record->address))
		instance->replaced = false;
	if (set_string(instance, &instance->zone, record->zone))
		instances->changes++;
	set_version(instances, instance, record->software_version, now_us);
	instance->near = strcmp(instance->zone, instances->own_zone) == 0;
	instance->region =
		GPOINTER_TO_UINT(g_hash_table_lookup(instances->regions, instance->zone));
	instance->slots = record->slots > 0 ? record->slots : 1;
	instance->draining = record->draining;
	instance->evacuated = g_hash_table_contains(instances->evacuated_zones, instance->zone);
	instance->warm_until_us =
		record->warm_up_ms > 0 ? now_us + (uint64_t)record->warm_up_ms * 1000 : 0;
	/* An endpoint that disappeared from the directory and is listed again may have been cold
	 * for some time, so it counts as known to be cold. A new one is only presumed to be cold,
	 * since its entry states its warm-up. */
	if (is_new)
		comet_instance_presume_cold(instance, now_us);
	else if (!instance->listed)
		comet_instance_begin_slow_start(instance, now_us);
	comet_slow_start_set_until(&instance->slow_start, instance->warm_until_us);
	instance->listed = true;
	set_expiry(instances, instance, 0);
	return instance;
}

/* Drops the state of a service that has no instances, unless something was learned or configured
 * for it. Entries may name any service, and their state would accumulate. */
static void
drop_unused_service(struct comet_instances *instances, const char *service)
{
	struct comet_latency_model *latency_model =
		g_hash_table_lookup(instances->latency_models, service);

	if (comet_instances_for_service(instances, service) != NULL)
		return;
	if (latency_model != NULL && !comet_latency_model_learned(latency_model))
	{
		g_hash_table_remove(instances->latency_models, service);
		talloc_free(latency_model);
	}
	talloc_free(g_hash_table_lookup(instances->version_histories, service));
	g_hash_table_remove(instances->version_histories, service);
	const struct comet_slow_start_config *config =
		g_hash_table_lookup(instances->slow_start_configs, service);
	if (config != NULL && config->cold_us == 0)
		g_hash_table_remove(instances->slow_start_configs, service);
	g_hash_table_remove(instances->services, service);
}

void
comet_instances_remove(struct comet_instances *instances, const char *id)
{
	struct comet_instance *instance = comet_instances_find(instances, id);

	if (instance == NULL)
		return;
	instances->changes++;
	comet_statements_keep(instances->statements, instance);
	comet_latency_model_record_relative(instance->latency_model, instance->recorded_latency, 0);
	set_expiry(instances, instance, 0);
	g_hash_table_remove(instances->busy, instance);
	g_hash_table_remove(instances->leaving, instance);
	g_hash_table_remove(instances->limited, instance);
	GPtrArray *array = g_hash_table_lookup(instances->services, instance->service);
	g_ptr_array_remove(array, instance);
	comet_version_history_remove(
		version_history_of(instances, instance->service), instance->version_id);
	instances->version_removed = true;
	g_hash_table_remove(instances->by_id, instance->id);
	/* Another instance may have the same key and stays in the table. */
	if (comet_instances_find_key(instances, instance->key) == instance)
		g_hash_table_remove(instances->by_key, GUINT_TO_POINTER(instance->key));
	drop_unused_service(instances, instance->service);
	talloc_free(instance);
}

/* Sets the evacuated flag of all instances of a zone. */
static void
set_zone_evacuated(
	struct comet_instances *instances, const char *zone, bool evacuated, uint64_t now_us)
{
	GHashTableIter at;
	gpointer value = NULL;

	g_hash_table_iter_init(&at, instances->by_id);
	while (g_hash_table_iter_next(&at, NULL, &value))
	{
		struct comet_instance *instance = value;
		if (strcmp(instance->zone, zone) != 0)
			continue;
		instance->evacuated = evacuated;
		if (!evacuated)
			comet_instance_begin_slow_start(instance, now_us);
	}
}

void
comet_instances_evacuate(struct comet_instances *instances, const char *zone)
{
	g_hash_table_add(instances->evacuated_zones, g_strdup(zone));
	set_zone_evacuated(instances, zone, true, 0);
}

void
comet_instances_restore(struct comet_instances *instances, const char *zone, uint64_t now_us)
{
	set_zone_evacuated(instances, zone, false, now_us);
	g_hash_table_remove(instances->evacuated_zones, zone);
}

bool
comet_instances_all_evacuated(struct comet_instances *instances, const char *service)
{
	const GPtrArray *all = comet_instances_for_service(instances, service);
	bool any_usable = false;

	for (guint i = 0; all != NULL && i < all->len; i++)
	{
		const struct comet_instance *instance = all->pdata[i];
		if (comet_instance_is_leaving(instance) || instance->replaced)
			continue;
		if (!instance->evacuated)
			return false;
		any_usable = true;
	}
	return any_usable;
}

bool
comet_instances_all_leaving(struct comet_instances *instances, const char *service)
{
	const GPtrArray *all = comet_instances_for_service(instances, service);

	for (guint i = 0; all != NULL && i < all->len; i++)
	{
		const struct comet_instance *instance = all->pdata[i];
		if (!comet_instance_is_leaving(instance) && !instance->replaced)
			return false;
	}
	return all != NULL;
}

bool
comet_instances_schedule_expiry(struct comet_instances *instances, const char *id,
	uint64_t outage_us, const struct comet_expiry_config *config, uint64_t now_us)
{
	struct comet_instance *instance = comet_instances_find(instances, id);
	uint64_t last_us =
		outage_us + config->settled_us - MIN(config->settled_us, SETTLED_MARGIN_US);
	uint64_t until_us = MIN(now_us + config->expiry_us, last_us);

	if (instance == NULL || until_us <= now_us)
		return false;
	instance->listed = false;
	set_expiry(instances, instance, until_us);
	return true;
}

/* Records the time at which the last instance of a version was removed. */
static void
record_version_changes(struct comet_instances *instances, uint64_t now_us)
{
	GHashTableIter at;
	gpointer history = NULL;

	if (!instances->version_removed)
		return;
	instances->version_removed = false;
	g_hash_table_iter_init(&at, instances->version_histories);
	while (g_hash_table_iter_next(&at, NULL, &history))
		comet_version_history_only(history, now_us);
}

void
comet_instances_tick(struct comet_instances *instances, uint64_t now_us,
	void (*dropped)(void *ctx, const char *id), void *ctx)
{
	record_version_changes(instances, now_us);
	comet_statements_expire(instances->statements, LEAVING_REPORT_US, now_us);
	if (instances->expiring_count == 0)
		return;
	GList *all = g_hash_table_get_values(instances->by_id);

	instances->visits += g_hash_table_size(instances->by_id);
	for (GList *at = all; at != NULL; at = at->next)
	{
		struct comet_instance *instance = at->data;
		if (instance->expire_us == 0 || instance->expire_us > now_us)
			continue;
		dropped(ctx, instance->id);
		comet_instances_remove(instances, instance->id);
	}
	g_list_free(all);
}

struct comet_instance *
comet_instances_find(struct comet_instances *instances, const char *id)
{
	return g_hash_table_lookup(instances->by_id, id);
}

struct comet_instance *
comet_instances_find_key(struct comet_instances *instances, uint32_t key)
{
	return g_hash_table_lookup(instances->by_key, GUINT_TO_POINTER(key));
}

const GPtrArray *
comet_instances_for_service(struct comet_instances *instances, const char *service)
{
	const GPtrArray *array = g_hash_table_lookup(instances->services, service);

	return array != NULL && array->len > 0 ? array : NULL;
}

void
comet_instances_each(struct comet_instances *instances,
	void (*visit)(void *ctx, struct comet_instance *instance), void *ctx)
{
	GHashTableIter at;
	gpointer instance = NULL;

	instances->visits += g_hash_table_size(instances->by_id);
	g_hash_table_iter_init(&at, instances->by_id);
	while (g_hash_table_iter_next(&at, NULL, &instance))
		visit(ctx, instance);
}

static void
forgive_failures(void *ctx, struct comet_instance *instance)
{
	(void)ctx;
	instance->failures = 0;
	instance->error_rate = 0;
	instance->ejected_until_us = 0;
	instance->probe_in_flight = false;
}

void
comet_instances_forgive_failures(struct comet_instances *instances)
{
	comet_instances_each(instances, forgive_failures, NULL);
}

size_t
comet_instances_service_count(const struct comet_instances *instances)
{
	return MAX(g_hash_table_size(instances->services),
		g_hash_table_size(instances->latency_models));
}

uint64_t
comet_instances_change_count(const struct comet_instances *instances)
{
	return instances->changes;
}

void
comet_instances_each_busy(struct comet_instances *instances,
	void (*visit)(void *ctx, struct comet_instance *instance), void *ctx)
{
	GHashTableIter at;
	gpointer instance = NULL;

	g_hash_table_iter_init(&at, instances->busy);
	while (g_hash_table_iter_next(&at, &instance, NULL))
		visit(ctx, instance);
}

/* Whether a limit is still reported to other VMs. A withdrawal is reported for some time, because
 * gossip messages may be lost. */
static bool
is_limit_reported(const struct comet_advertised_limit *limit, uint64_t now_us)
{
	return limit->own && (limit->active || now_us - limit->observed_us < WITHDRAWAL_REPORT_US);
}

void
comet_instances_each_limited(struct comet_instances *instances, uint64_t now_us,
	void (*visit)(void *ctx, const struct comet_instance *instance), void *ctx)
{
	GHashTableIter at;
	gpointer key = NULL;

	g_hash_table_iter_init(&at, instances->limited);
	while (g_hash_table_iter_next(&at, &key, NULL))
	{
		const struct comet_instance *instance = key;
		if (is_limit_reported(&instance->limit, now_us))
			visit(ctx, instance);
		else
			g_hash_table_iter_remove(&at);
	}
}

void
comet_instances_each_leaving(struct comet_instances *instances, uint64_t now_us,
	void (*visit)(void *ctx, const struct comet_instance *instance), void *ctx)
{
	GHashTableIter at;
	gpointer key = NULL;

	g_hash_table_iter_init(&at, instances->leaving);
	while (g_hash_table_iter_next(&at, &key, NULL))
	{
		const struct comet_instance *instance = key;
		if (now_us - MIN(instance->leaving_us, now_us) < LEAVING_REPORT_US)
			visit(ctx, instance);
	}
}

void
comet_instances_set_gossip_time(struct comet_instances *instances, uint64_t now_us)
{
	instances->gossip_us = now_us;
}

uint64_t
comet_instances_visit_count(const struct comet_instances *instances)
{
	return instances->visits;
}

uint64_t
comet_instances_typical_first_us(struct comet_instances *instances, const char *service,
	const struct comet_request_size *size)
{
	const struct comet_latency_model *latency_model = latency_model_of(instances, service);

	double relative = comet_latency_model_typical_relative(latency_model);

	if (!size->stream)
		return (uint64_t)(relative * comet_latency_model_mean_us(
						     latency_model, COMET_LATENCY_KIND_PLAIN));
	return (uint64_t)(relative *
			  comet_latency_model_first_us(latency_model, size->prompt_tokens));
}

uint64_t
comet_instances_typical_slot_us(struct comet_instances *instances, const char *service)
{
	return (uint64_t)comet_latency_model_slot_us(latency_model_of(instances, service));
}
