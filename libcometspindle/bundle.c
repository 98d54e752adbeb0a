/*
 * bundle.c
 * the configuration bundle: one versioned, signed, immutable document
 */
#include <libcometspindle/bundle.h>

#include <libcometspindle/json_validator.h>
#include <libcometspindle/hash.h>
#include <sodium.h>
#include <string.h>
#include <talloc.h>

#define LIST_MAX 100000

/* What one pass over the document needs. */
struct reader
{
	struct comet_bundle *bundle;
	struct comet_json_validator *check;
};

typedef void (*item_reader)(
	struct reader *reader, struct comet_json_validator_object *object, size_t index);

void
comet_bundle_hash_key(const char *key, uint8_t hash[COMET_KEY_HASH_BYTES])
{
	crypto_generichash(hash, COMET_KEY_HASH_BYTES, (const uint8_t *)key, strlen(key), NULL, 0);
}

static void
read_list(struct reader *reader, struct json_object *array, const char *name, item_reader read)
{
	size_t length = array != NULL ? json_object_array_length(array) : 0;

	for (size_t i = 0; i < length; i++)
	{
		char *path = g_strdup_printf("%s[%zu]", name, i);
		struct comet_json_validator_object *object = comet_json_validator_object_begin(
			reader->check, json_object_array_get_idx(array, i), path);
		read(reader, object, i);
		comet_json_validator_object_end(object);
		g_free(path);
	}
}

static void
fault_key(struct reader *reader, struct comet_json_validator_object *object, const char *key,
	const char *rule, const char *value)
{
	char *path = g_strdup_printf("%s.%s", comet_json_validator_object_path(object), key);

	comet_json_validator_fault(reader->check, path, rule, value);
	g_free(path);
}

/* Reads the name, which must be new among those of its kind. */
static char *
read_name(struct reader *reader, struct comet_json_validator_object *object, GHashTable *taken,
	uint32_t *id, gpointer item)
{
	const char *name = comet_json_validator_string(object, "name", NULL);

	*id = comet_hash_name(name);
	if (name[0] != '\0' && g_hash_table_contains(taken, GUINT_TO_POINTER(*id)))
		fault_key(reader, object, "name", "\"%s\" stands twice, or collides with another",
			name);
	g_hash_table_insert(taken, GUINT_TO_POINTER(*id), item);
	return talloc_strdup(reader->bundle, name);
}

static void
read_tier(struct reader *reader, struct comet_json_validator_object *object, size_t index)
{
	struct comet_tier *tier = &reader->bundle->tiers[index];

	tier->name =
		talloc_strdup(reader->bundle, comet_json_validator_string(object, "name", NULL));
	tier->deadline_ms =
		(uint32_t)comet_json_validator_int(object, "deadline_ms", 1, 86400000, -1);
	tier->share_percent =
		(uint32_t)comet_json_validator_int(object, "share_percent", 1, 100, 100);
}

static uint32_t
read_team_tiers(struct reader *reader, struct comet_json_validator_object *object)
{
	struct json_object *names = comet_json_validator_array(object, "tiers", true);
	size_t length = names != NULL ? json_object_array_length(names) : 0;
	uint32_t tiers = 0;

	for (size_t i = 0; i < length; i++)
	{
		const char *name = json_object_get_string(json_object_array_get_idx(names, i));
		int tier = comet_bundle_tier(reader->bundle, name != NULL ? name : "");
		if (tier < 0)
			fault_key(reader, object, "tiers", "\"%s\" is no tier", name);
		else
			tiers |= 1U << tier;
	}
	return tiers;
}

static void
read_quota(
	struct reader *reader, struct comet_json_validator_object *object, struct comet_team *team)
{
	struct json_object *value = comet_json_validator_member(object, "quota", false);

	if (value == NULL)
		return;
	char *path = g_strdup_printf("%s.quota", comet_json_validator_object_path(object));
	struct comet_json_validator_object *quota =
		comet_json_validator_object_begin(reader->check, value, path);
	team->requests_per_s =
		(uint32_t)comet_json_validator_int(quota, "requests_per_s", 1, INT32_MAX, 0);
	team->tokens_per_s =
		(uint32_t)comet_json_validator_int(quota, "tokens_per_s", 1, INT32_MAX, 0);
	comet_json_validator_object_end(quota);
	g_free(path);
}

static void
read_team(struct reader *reader, struct comet_json_validator_object *object, size_t index)
{
	struct comet_team *team = &reader->bundle->teams[index];
	size_t got = 0;

	team->name = read_name(reader, object, reader->bundle->team_by_id, &team->id, team);
	const char *hex = comet_json_validator_string(object, "key_hash", NULL);
	if (sodium_hex2bin(team->key_hash, sizeof team->key_hash, hex, strlen(hex), NULL, &got,
		    NULL) != 0 ||
		got != sizeof team->key_hash)
		fault_key(reader, object, "key_hash", "must be 64 hex digits%s", "");
	team->weight = (uint32_t)comet_json_validator_int(object, "weight", 1, 1000, 1);
	team->shared_prefix = comet_json_validator_bool(object, "shared_prefix", false);
	team->tiers = read_team_tiers(reader, object);
	read_quota(reader, object, team);
}

static struct comet_pool *
read_pool(struct reader *reader, struct comet_json_validator_object *object)
{
	struct comet_pool *pool = &reader->bundle->pools[reader->bundle->n_pools++];

	pool->name = read_name(reader, object, reader->bundle->pool_by_id, &pool->id, pool);
	return pool;
}

static void
read_model(struct reader *reader, struct comet_json_validator_object *object, size_t index)
{
	(void)index;
	read_pool(reader, object);
}

static void
read_service(struct reader *reader, struct comet_json_validator_object *object, size_t index)
{
	struct comet_pool *pool = read_pool(reader, object);
	struct json_object *paths = comet_json_validator_array(object, "once_paths", false);
	size_t length = paths != NULL ? json_object_array_length(paths) : 0;

	(void)index;
	pool->is_service = true;
	pool->once_paths = talloc_zero_array(reader->bundle, char *, (unsigned int)length + 1);
	for (size_t i = 0; i < length; i++)
	{
		const char *path = json_object_get_string(json_object_array_get_idx(paths, i));
		pool->once_paths[i] =
			talloc_strdup(reader->bundle->pools, path != NULL ? path : "");
	}
}

static void
read_endpoint_pools(struct reader *reader, struct comet_json_validator_object *object,
	struct comet_endpoint *endpoint)
{
	struct json_object *names = comet_json_validator_array(object, "serves", true);
	size_t length = names != NULL ? json_object_array_length(names) : 0;

	endpoint->pools = talloc_zero_array(reader->bundle, uint32_t, (unsigned int)length);
	for (size_t i = 0; i < length; i++)
	{
		const char *name = json_object_get_string(json_object_array_get_idx(names, i));
		const struct comet_pool *pool =
			comet_bundle_pool_by_name(reader->bundle, name != NULL ? name : "");
		if (pool == NULL)
			fault_key(reader, object, "serves", "\"%s\" is no model or service", name);
		else
			endpoint->pools[endpoint->n_pools++] = pool->id;
	}
}

static void
read_endpoint(struct reader *reader, struct comet_json_validator_object *object, size_t index)
{
	struct comet_endpoint *endpoint = &reader->bundle->endpoints[index];

	endpoint->name =
		read_name(reader, object, reader->bundle->endpoint_by_id, &endpoint->id, endpoint);
	endpoint->url =
		talloc_strdup(reader->bundle, comet_json_validator_string(object, "url", NULL));
	if (!g_str_has_prefix(endpoint->url, "http://") &&
		!g_str_has_prefix(endpoint->url, "https://"))
		fault_key(reader, object, "url", "must start with http:// or https://%s", "");
	endpoint->zone =
		talloc_strdup(reader->bundle, comet_json_validator_string(object, "zone", NULL));
	endpoint->batch = (uint32_t)comet_json_validator_int(object, "batch", 1, 4096, 8);
	endpoint->kv_tokens =
		(uint32_t)comet_json_validator_int(object, "kv_tokens", 0, INT32_MAX, 65536);
	endpoint->checks_orders = comet_json_validator_bool(object, "checks_orders", false);
	endpoint->leaving = comet_json_validator_bool(object, "leaving", false);
	read_endpoint_pools(reader, object, endpoint);
}

static void
read_limits(struct reader *reader, struct comet_json_validator_object *root)
{
	struct comet_limits *limits = &reader->bundle->limits;
	struct json_object *value = comet_json_validator_member(root, "limits", false);
	struct json_object *empty = json_object_new_object();
	struct comet_json_validator_object *object = comet_json_validator_object_begin(
		reader->check, value != NULL ? value : empty, "limits");

	limits->entries_valid_s =
		(uint32_t)comet_json_validator_int(object, "entries_valid_s", 1, 3600, 5);
	limits->shard_endpoints =
		(uint32_t)comet_json_validator_int(object, "shard_endpoints", 1, 100000, 64);
	limits->gap_target_ms =
		(uint32_t)comet_json_validator_int(object, "gap_target_ms", 1, 10000, 42);
	limits->out_percent = (uint32_t)comet_json_validator_int(object, "out_percent", 1, 100, 50);
	limits->reuse_weight =
		(uint32_t)comet_json_validator_int(object, "reuse_weight", 1, 100, 30);
	limits->key_lifetime_s =
		(uint32_t)comet_json_validator_int(object, "key_lifetime_s", 1, 86400, 600);
	limits->clock_skew_ms =
		(uint32_t)comet_json_validator_int(object, "clock_skew_ms", 1, 60000, 1000);
	comet_json_validator_object_end(object);
	json_object_put(empty);
}

static size_t
list_length(struct reader *reader, struct json_object *array, const char *name)
{
	size_t length = array != NULL ? json_object_array_length(array) : 0;

	if (length <= LIST_MAX)
		return length;
	comet_json_validator_fault(reader->check, name, "must have at most %d entries", LIST_MAX);
	return 0;
}

static void
count_endpoints(struct comet_bundle *bundle)
{
	for (uint32_t i = 0; i < bundle->n_pools; i++)
	{
		struct comet_pool *pool = &bundle->pools[i];
		for (uint32_t k = 0; k < bundle->n_endpoints; k++)
			pool->n_endpoints +=
				comet_endpoint_serves(&bundle->endpoints[k], pool->id) ? 1 : 0;
	}
}

static void
bundle_read(struct reader *reader, struct json_object *document)
{
	struct comet_bundle *bundle = reader->bundle;
	struct comet_json_validator_object *root =
		comet_json_validator_object_begin(reader->check, document, "");
	struct json_object *tiers = comet_json_validator_array(root, "tiers", true);
	struct json_object *teams = comet_json_validator_array(root, "teams", true);
	struct json_object *models = comet_json_validator_array(root, "models", true);
	struct json_object *services = comet_json_validator_array(root, "services", false);
	struct json_object *endpoints = comet_json_validator_array(root, "endpoints", true);

	bundle->version = (uint64_t)comet_json_validator_int(root, "version", 1, INT64_MAX, -1);
	bundle->n_tiers = (uint32_t)list_length(reader, tiers, "tiers");
	if (bundle->n_tiers < 1 || bundle->n_tiers > COMET_TIERS_MAX)
	{
		comet_json_validator_fault(
			reader->check, "tiers", "must have 1 to %d entries", COMET_TIERS_MAX);
		bundle->n_tiers = 0;
		tiers = NULL;
	}
	bundle->n_teams = (uint32_t)list_length(reader, teams, "teams");
	bundle->n_endpoints = (uint32_t)list_length(reader, endpoints, "endpoints");
	uint32_t n_pools = (uint32_t)(list_length(reader, models, "models") +
				      list_length(reader, services, "services"));
	bundle->tiers = talloc_zero_array(bundle, struct comet_tier, bundle->n_tiers);
	bundle->teams = talloc_zero_array(bundle, struct comet_team, bundle->n_teams);
	bundle->pools = talloc_zero_array(bundle, struct comet_pool, n_pools);
	bundle->endpoints = talloc_zero_array(bundle, struct comet_endpoint, bundle->n_endpoints);
	read_list(reader, tiers, "tiers", read_tier);
	read_list(reader, bundle->n_teams > 0 ? teams : NULL, "teams", read_team);
	read_list(reader, n_pools > 0 ? models : NULL, "models", read_model);
	read_list(reader, n_pools > 0 ? services : NULL, "services", read_service);
	read_list(reader, bundle->n_endpoints > 0 ? endpoints : NULL, "endpoints", read_endpoint);
	count_endpoints(bundle);
	read_limits(reader, root);
	comet_json_validator_object_end(root);
}

static int
bundle_destructor(struct comet_bundle *bundle)
{
	g_hash_table_destroy(bundle->endpoint_by_id);
	g_hash_table_destroy(bundle->pool_by_id);
	g_hash_table_destroy(bundle->team_by_id);
	return 0;
}

static struct comet_bundle *
bundle_create(void)
{
	struct comet_bundle *bundle = talloc_zero(NULL, struct comet_bundle);

	bundle->refs = 1;
	bundle->endpoint_by_id = g_hash_table_new(g_direct_hash, g_direct_equal);
	bundle->pool_by_id = g_hash_table_new(g_direct_hash, g_direct_equal);
	bundle->team_by_id = g_hash_table_new(g_direct_hash, g_direct_equal);
	talloc_set_destructor(bundle, bundle_destructor);
	return bundle;
}

struct comet_bundle *
comet_bundle_parse(const char *text, size_t length, GError **error)
{
	struct json_object *document = comet_json_validator_parse(text, length, error);

	if (document == NULL)
		return NULL;
	struct reader reader = {bundle_create(), comet_json_validator_create()};
	bundle_read(&reader, document);
	if (!comet_json_validator_finish(reader.check, error))
	{
		comet_bundle_unref(reader.bundle);
		reader.bundle = NULL;
	}
	comet_json_validator_destroy(reader.check);
	json_object_put(document);
	return reader.bundle;
}

struct comet_bundle *
comet_bundle_ref(struct comet_bundle *bundle)
{
	g_atomic_int_inc(&bundle->refs);
	return bundle;
}

void
comet_bundle_unref(struct comet_bundle *bundle)
{
	if (bundle != NULL && g_atomic_int_dec_and_test(&bundle->refs))
		talloc_free(bundle);
}

const struct comet_team *
comet_bundle_team_by_key(const struct comet_bundle *bundle, const char *key)
{
	const struct comet_team *found = NULL;
	uint8_t hash[COMET_KEY_HASH_BYTES];

	comet_bundle_hash_key(key, hash);
	for (uint32_t i = 0; i < bundle->n_teams; i++)
	{
		if (sodium_memcmp(bundle->teams[i].key_hash, hash, sizeof hash) == 0)
			found = &bundle->teams[i];
	}
	return found;
}

const struct comet_team *
comet_bundle_team(const struct comet_bundle *bundle, uint32_t id)
{
	return g_hash_table_lookup(bundle->team_by_id, GUINT_TO_POINTER(id));
}

const struct comet_pool *
comet_bundle_pool(const struct comet_bundle *bundle, uint32_t id)
{
	return g_hash_table_lookup(bundle->pool_by_id, GUINT_TO_POINTER(id));
}

const struct comet_pool *
comet_bundle_pool_by_name(const struct comet_bundle *bundle, const char *name)
{
	const struct comet_pool *pool = comet_bundle_pool(bundle, comet_hash_name(name));

	return pool != NULL && strcmp(pool->name, name) == 0 ? pool : NULL;
}

const struct comet_endpoint *
comet_bundle_endpoint(const struct comet_bundle *bundle, uint32_t id)
{
	return g_hash_table_lookup(bundle->endpoint_by_id, GUINT_TO_POINTER(id));
}

bool
comet_endpoint_serves(const struct comet_endpoint *endpoint, uint32_t pool_id)
{
	for (uint32_t i = 0; i < endpoint->n_pools; i++)
	{
		if (endpoint->pools[i] == pool_id)
			return true;
	}
	return false;
}

int
comet_bundle_tier(const struct comet_bundle *bundle, const char *name)
{
	for (uint32_t i = 0; i < bundle->n_tiers; i++)
	{
		if (bundle->tiers[i].name != NULL && strcmp(bundle->tiers[i].name, name) == 0)
			return (int)i;
	}
	return -1;
}

uint32_t
comet_bundle_shards(const struct comet_bundle *bundle, uint32_t pool_id)
{
	const struct comet_pool *pool = comet_bundle_pool(bundle, pool_id);
	uint32_t count = pool != NULL ? pool->n_endpoints : 0;
	uint32_t size = bundle->limits.shard_endpoints;

	return size > 0 && count > size ? (count + size - 1) / size : 1;
}

uint32_t
comet_bundle_shard_of(const struct comet_bundle *bundle, uint32_t pool_id, uint32_t endpoint_id)
{
	uint64_t pair[2] = {pool_id, endpoint_id};

	uint32_t shards = comet_bundle_shards(bundle, pool_id);

	return shards > 1 ? (uint32_t)(comet_hash_bytes(pair, sizeof pair, 0) % shards) : 0;
}
