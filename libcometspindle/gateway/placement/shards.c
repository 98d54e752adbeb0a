/*
 * shards.c
 * splits the endpoints of a service into shards, each of which is owned by one VM
 */
#include <libcometspindle/gateway/placement/shards.h>

#include <libcometspindle/hash.h>
#include <string.h>
#include <talloc.h>

/* Large enough that a slot request seldom finds the whole shard full, and small enough that the
 * slot requests (a few per second and endpoint) take about a hundredth of a core on the owner. */
#define SHARD_ENDPOINTS_MAX 64

struct comet_shards
{
	struct comet_instances *instances;
	uint64_t changes;     /* change counter of the instances when the shards were formed */
	GHashTable *counts;   /* group (service and zone) -> number of endpoints */
	GHashTable *by_id;    /* id -> struct comet_shard */
	GHashTable *services; /* service -> GPtrArray of struct comet_shard */
};

static void
free_shard(gpointer data)
{
	struct comet_shard *shard = data;

	g_ptr_array_free(shard->members, TRUE);
	g_free(shard->service);
	g_free(shard);
}

static void
free_array(gpointer array)
{
	g_ptr_array_free(array, TRUE);
}

static int
shards_destroy(struct comet_shards *shards)
{
	g_hash_table_destroy(shards->services);
	g_hash_table_destroy(shards->by_id);
	g_hash_table_destroy(shards->counts);
	return 0;
}

struct comet_shards *
comet_shards_create(void *parent, struct comet_instances *instances)
{
	struct comet_shards *shards = talloc_zero(parent, struct comet_shards);

	shards->instances = instances;
	shards->changes = UINT64_MAX;
	shards->counts = g_hash_table_new(NULL, NULL);
	shards->by_id = g_hash_table_new_full(NULL, NULL, NULL, free_shard);
	shards->services = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_array);
	talloc_set_destructor(shards, shards_destroy);
	return shards;
}

/* Returns the hash that identifies the endpoints of one service in one availability zone. */
static uint32_t
group_hash(const struct comet_instance *instance)
{
	uint32_t names[] = {comet_hash_name(instance->service), comet_hash_name(instance->zone)};

	return (uint32_t)comet_hash_bytes(names, sizeof names, 0);
}

static void
count_in_group(void *ctx, struct comet_instance *instance)
{
	GHashTable *counts = ctx;
	gpointer group = GUINT_TO_POINTER(group_hash(instance));
	guint previous = GPOINTER_TO_UINT(g_hash_table_lookup(counts, group));

	g_hash_table_insert(counts, group, GUINT_TO_POINTER(previous + 1));
}

static struct comet_shard *
lookup(const struct comet_shards *shards, uint32_t id)
{
	return g_hash_table_lookup(shards->by_id, GUINT_TO_POINTER(id));
}

/* Returns the shard of an instance whose group has in_group endpoints; creates it if necessary. */
static struct comet_shard *
find_or_create_shard(
	struct comet_shards *shards, const struct comet_instance *instance, uint32_t in_group)
{
	uint32_t n_shards = (in_group + SHARD_ENDPOINTS_MAX - 1) / SHARD_ENDPOINTS_MAX;
	uint32_t names[] = {group_hash(instance), n_shards, instance->id_hash % n_shards};
	uint32_t id = (uint32_t)comet_hash_bytes(names, sizeof names, 0);
	struct comet_shard *shard = lookup(shards, id);

	if (shard != NULL)
		return shard;
	shard = g_new0(struct comet_shard, 1);
	shard->id = id;
	shard->service = g_strdup(instance->service);
	shard->zone_id = comet_hash_name(instance->zone);
	shard->members = g_ptr_array_new();
	g_hash_table_insert(shards->by_id, GUINT_TO_POINTER(id), shard);
	return shard;
}

static void
add_to_shard(void *ctx, struct comet_instance *instance)
{
	struct comet_shards *shards = ctx;
	gpointer group = GUINT_TO_POINTER(group_hash(instance));
	guint in_group = GPOINTER_TO_UINT(g_hash_table_lookup(shards->counts, group));
	struct comet_shard *shard = find_or_create_shard(shards, instance, in_group);

	if (instance->shard != 0 && instance->shard != shard->id)
		shard->reformed = true;
	instance->shard = shard->id;
	g_ptr_array_add(shard->members, instance);
}

static gboolean
is_empty(gpointer key, gpointer value, gpointer ctx)
{
	const struct comet_shard *shard = value;

	(void)key;
	(void)ctx;
	return shard->members->len == 0;
}

static void
add_to_service(struct comet_shards *shards, struct comet_shard *shard)
{
	GPtrArray *array = g_hash_table_lookup(shards->services, shard->service);

	if (array == NULL)
	{
		array = g_ptr_array_new();
		g_hash_table_insert(shards->services, g_strdup(shard->service), array);
	}
	g_ptr_array_add(array, shard);
}

/* Rebuilds the shards if endpoints were added or removed. Shards that remain keep their denials. */
static void
refresh(struct comet_shards *shards)
{
	uint64_t changes = comet_instances_change_count(shards->instances);
	GHashTableIter iter;
	gpointer shard = NULL;

	if (changes == shards->changes)
		return;
	shards->changes = changes;
	g_hash_table_remove_all(shards->services);
	g_hash_table_iter_init(&iter, shards->by_id);
	while (g_hash_table_iter_next(&iter, NULL, &shard))
		g_ptr_array_set_size(((struct comet_shard *)shard)->members, 0);
	g_hash_table_remove_all(shards->counts);
	comet_instances_each(shards->instances, count_in_group, shards->counts);
	comet_instances_each(shards->instances, add_to_shard, shards);
	g_hash_table_foreach_remove(shards->by_id, is_empty, NULL);
	g_hash_table_iter_init(&iter, shards->by_id);
	while (g_hash_table_iter_next(&iter, NULL, &shard))
		add_to_service(shards, shard);
}

const GPtrArray *
comet_shards_for_service(struct comet_shards *shards, const char *service)
{
	refresh(shards);
	return g_hash_table_lookup(shards->services, service);
}

struct comet_shard *
comet_shards_find(struct comet_shards *shards, uint32_t id)
{
	refresh(shards);
	return lookup(shards, id);
}

void
comet_shards_each(
	struct comet_shards *shards, void (*visit)(void *ctx, struct comet_shard *shard), void *ctx)
{
	GHashTableIter iter;
	gpointer shard = NULL;

	refresh(shards);
	g_hash_table_iter_init(&iter, shards->by_id);
	while (g_hash_table_iter_next(&iter, NULL, &shard))
		visit(ctx, shard);
}

void
comet_shard_denied(struct comet_shard *shard, const struct comet_shard_denial *denial,
	uint64_t until_us, uint64_t now_us)
{
	uint64_t *denied_us = shard->denied_us[denial->version_id != 0];
	uint32_t *team_rank = shard->denied_team_rank[denial->version_id != 0];

	if (denial->waited)
		shard->wait_denied_until_us = until_us;
	for (uint32_t i = 0; i <= denial->level && i < COMET_SHARD_LEVELS; i++)
	{
		team_rank[i] = now_us < denied_us[i] ? MIN(team_rank[i], denial->team_rank)
						     : denial->team_rank;
		denied_us[i] = MAX(denied_us[i], until_us);
	}
}

uint64_t
comet_shard_denied_until_us(
	const struct comet_shard *shard, uint32_t version_id, uint32_t team_rank, uint32_t level)
{
	/* A free slot is denied to all teams alike. */
	if (level > 0 && team_rank < shard->denied_team_rank[version_id != 0][level])
		return 0;
	return shard->denied_us[version_id != 0][level];
}

void
comet_shard_slot_released(struct comet_shard *shard)
{
	memset(shard->denied_us, 0, sizeof shard->denied_us);
}
