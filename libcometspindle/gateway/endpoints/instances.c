/*
 * instances.c
 * the endpoints that this VM knows of, as the directory tells of them
 */
#include <libcometspindle/gateway/endpoints/instances.h>

#include <libcometspindle/gateway/endpoints/latency_model.h>
#include <libcometspindle/hash.h>
#include <string.h>
#include <talloc.h>

/* What is unlisted after an outage gets no more work so long before the directory's word is whole
 * again, however late the first answer came: it may have left since, and what leaves must get
 * nothing from then on. */
#define SETTLED_MARGIN_US 200000

struct comet_instances
{
	char *own_zone;
	GHashTable *by_id;         /* id -> comet_instance */
	GHashTable *by_key;        /* key -> comet_instance */
	GHashTable *services;      /* service -> GPtrArray of comet_instance */
	GHashTable *latency_model; /* service -> struct comet_latency_model */
	GHashTable *starts;        /* service -> struct comet_slow_start_config */
	GHashTable *evacuated;     /* zones, as a set */
	uint64_t changes;
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
	g_hash_table_destroy(instances->latency_model);
	g_hash_table_destroy(instances->starts);
	g_hash_table_destroy(instances->evacuated);
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
	instances->latency_model = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	instances->starts = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	instances->evacuated = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	talloc_set_destructor(instances, instances_destroy);
	return instances;
}

static struct comet_latency_model *
speeds_of(struct comet_instances *instances, const char *service)
{
	struct comet_latency_model *latency_model =
		g_hash_table_lookup(instances->latency_model, service);

	if (latency_model == NULL)
	{
		latency_model = comet_latency_model_create(instances);
		g_hash_table_insert(instances->latency_model, g_strdup(service), latency_model);
	}
	return latency_model;
}

/* The bounds of a service; they stay where they are, since instances point there. */
static struct comet_slow_start_config *
start_bounds_of(struct comet_instances *instances, const char *service)
{
	struct comet_slow_start_config *bounds = g_hash_table_lookup(instances->starts, service);

	if (bounds == NULL)
	{
		bounds = g_new0(struct comet_slow_start_config, 1);
		g_hash_table_insert(instances->starts, g_strdup(service), bounds);
	}
	return bounds;
}

void
comet_instances_set_slow_start(struct comet_instances *instances, const char *service,
	const struct comet_slow_start_config *bounds)
{
	*start_bounds_of(instances, service) = *bounds;
}

static struct comet_instance *
add(struct comet_instances *instances, const struct comet_instance_record *record)
{
	struct comet_instance *instance = talloc_zero(instances, struct comet_instance);

	instance->id = talloc_strdup(instance, record->id);
	instance->process_start_ms = record->process_start_ms;
	instance->key = comet_instance_key(record->id, record->process_start_ms);
	instance->place = comet_hash_name(record->id);
	instance->service = talloc_strdup(instance, record->service);
	instance->latency_model = speeds_of(instances, record->service);
	instance->start_bounds = start_bounds_of(instances, record->service);
	instance->pace = 1.0;
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
	return instance;
}

/* Replaces a text of an instance. @return whether it was another one */
static bool
set_text(struct comet_instance *instance, char **text, const char *now)
{
	if (*text != NULL && strcmp(*text, now) == 0)
		return false;
	talloc_free(*text);
	*text = talloc_strdup(instance, now);
	return true;
}

struct comet_instance *
comet_instances_put(struct comet_instances *instances, const struct comet_instance_record *record,
	uint64_t now_us)
{
	struct comet_instance *instance = comet_instances_find(instances, record->id);

	if (instance != NULL && (instance->process_start_ms != record->process_start_ms ||
					strcmp(instance->service, record->service) != 0))
	{
		comet_instances_remove(instances, record->id);
		instance = NULL;
	}
	if (instance == NULL)
		instance = add(instances, record);
	if (set_text(instance, &instance->address, record->address))
		instance->replaced = false;
	if (set_text(instance, &instance->zone, record->zone))
		instances->changes++;
	instance->near = strcmp(instance->zone, instances->own_zone) == 0;
	instance->slots = record->slots > 0 ? record->slots : 1;
	instance->draining = record->draining;
	instance->evacuated = g_hash_table_contains(instances->evacuated, instance->zone);
	instance->warm_until_us =
		record->warm_up_ms > 0 ? now_us + (uint64_t)record->warm_up_ms * 1000 : 0;
	if (!instance->listed)
		comet_instance_may_be_cold(instance, now_us);
	comet_slow_start_set_until(&instance->start, instance->warm_until_us);
	instance->listed = true;
	instance->expire_us = 0;
	return instance;
}

/* Entries may name any service: of one that nobody used nothing stays with its last instance. */
static void
forget_if_unused(struct comet_instances *instances, const char *service)
{
	struct comet_latency_model *latency_model =
		g_hash_table_lookup(instances->latency_model, service);

	if (comet_instances_for_service(instances, service) != NULL)
		return;
	if (latency_model != NULL && !comet_latency_model_learned(latency_model))
	{
		g_hash_table_remove(instances->latency_model, service);
		talloc_free(latency_model);
	}
	const struct comet_slow_start_config *bounds =
		g_hash_table_lookup(instances->starts, service);
	if (bounds != NULL && bounds->cold_us == 0)
		g_hash_table_remove(instances->starts, service);
	g_hash_table_remove(instances->services, service);
}

void
comet_instances_remove(struct comet_instances *instances, const char *id)
{
	struct comet_instance *instance = comet_instances_find(instances, id);

	if (instance == NULL)
		return;
	instances->changes++;
	GPtrArray *array = g_hash_table_lookup(instances->services, instance->service);
	g_ptr_array_remove(array, instance);
	g_hash_table_remove(instances->by_id, instance->id);
	/* another of equal hash stays */
	if (comet_instances_find_key(instances, instance->key) == instance)
		g_hash_table_remove(instances->by_key, GUINT_TO_POINTER(instance->key));
	forget_if_unused(instances, instance->service);
	talloc_free(instance);
}

/* Marks the instances of a zone. */
static void
mark_evacuated(struct comet_instances *instances, const char *zone, bool evacuated, uint64_t now_us)
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
			comet_instance_may_be_cold(instance, now_us);
	}
}

void
comet_instances_evacuate(struct comet_instances *instances, const char *zone)
{
	g_hash_table_add(instances->evacuated, g_strdup(zone));
	mark_evacuated(instances, zone, true, 0);
}

void
comet_instances_restore(struct comet_instances *instances, const char *zone, uint64_t now_us)
{
	mark_evacuated(instances, zone, false, now_us);
	g_hash_table_remove(instances->evacuated, zone);
}

bool
comet_instances_all_evacuated(struct comet_instances *instances, const char *service)
{
	const GPtrArray *all = comet_instances_for_service(instances, service);
	bool any = false;

	for (guint i = 0; all != NULL && i < all->len; i++)
	{
		const struct comet_instance *instance = all->pdata[i];
		if (instance->draining || instance->replaced)
			continue;
		if (!instance->evacuated)
			return false;
		any = true;
	}
	return any;
}

bool
comet_instances_schedule_expiry(struct comet_instances *instances, const char *id,
	uint64_t outage_us, const struct comet_expiry_config *bounds, uint64_t now_us)
{
	struct comet_instance *instance = comet_instances_find(instances, id);
	uint64_t last_us =
		outage_us + bounds->settled_us - MIN(bounds->settled_us, SETTLED_MARGIN_US);
	uint64_t until_us = MIN(now_us + bounds->usual_us, last_us);

	if (instance == NULL || until_us <= now_us)
		return false;
	instance->listed = false;
	instance->expire_us = until_us;
	return true;
}

void
comet_instances_tick(struct comet_instances *instances, uint64_t now_us,
	void (*dropped)(void *ctx, const char *id), void *ctx)
{
	GList *all = g_hash_table_get_values(instances->by_id);

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

	g_hash_table_iter_init(&at, instances->by_id);
	while (g_hash_table_iter_next(&at, NULL, &instance))
		visit(ctx, instance);
}

size_t
comet_instances_services(const struct comet_instances *instances)
{
	return MAX(g_hash_table_size(instances->services),
		g_hash_table_size(instances->latency_model));
}

uint64_t
comet_instances_changes(const struct comet_instances *instances)
{
	return instances->changes;
}

uint64_t
comet_instances_typical_first_us(struct comet_instances *instances, const char *service,
	const struct comet_request_size *job)
{
	const struct comet_latency_model *latency_model = speeds_of(instances, service);

	if (!job->stream)
		return (uint64_t)comet_latency_model_mean_us(
			latency_model, COMET_LATENCY_KIND_PLAIN);
	return (uint64_t)comet_latency_model_first_us(latency_model, job->prompt_tokens);
}

uint64_t
comet_instances_typical_slot_us(struct comet_instances *instances, const char *service)
{
	return (uint64_t)comet_latency_model_slot_us(speeds_of(instances, service));
}
