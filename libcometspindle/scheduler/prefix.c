/*
 * prefix.c
 * chained block hashes of prompts and an index of the endpoints that cache them
 */
#include <libcometspindle/scheduler/prefix.h>

#include <glib.h>
#include <libcometspindle/hash.h>
#include <string.h>
#include <talloc.h>

uint32_t
comet_prefix_depth(uint32_t sample)
{
	/* Two samples for each power of two: 1 2 3 4 6 8 12 16 24 ... */
	if (sample == 0)
		return 1;
	uint32_t power = 1U << ((sample + 1) / 2);
	return sample % 2 == 1 ? power : power + power / 2;
}

void
comet_prefix_sample(struct comet_prefix *prefix, const char *prompt, size_t length, uint64_t salt)
{
	uint64_t chain = salt;
	uint32_t blocks = (uint32_t)(length / COMET_PREFIX_BLOCK_BYTES);

	prefix->count = 0;
	for (uint32_t block = 0; block < blocks && prefix->count < COMET_PREFIX_SAMPLES; block++)
	{
		chain = comet_hash_bytes(prompt + (size_t)block * COMET_PREFIX_BLOCK_BYTES,
			COMET_PREFIX_BLOCK_BYTES, chain);
		if (block + 1 == comet_prefix_depth(prefix->count))
			prefix->hash[prefix->count++] = (uint32_t)chain;
	}
}

/* The endpoints that cache one hash, as a bitmap indexed by slot. */
struct endpoint_set
{
	uint32_t hash;
	uint32_t count;
	uint64_t bits[];
};

struct comet_prefix_map
{
	GHashTable *by_hash;
	uint32_t slots;
	uint32_t words;
};

static int
map_destructor(struct comet_prefix_map *map)
{
	g_hash_table_destroy(map->by_hash);
	return 0;
}

struct comet_prefix_map *
comet_prefix_map_create(void *parent, uint32_t slots)
{
	struct comet_prefix_map *map = talloc_zero(parent, struct comet_prefix_map);

	map->by_hash = g_hash_table_new_full(g_direct_hash, g_direct_equal, NULL, g_free);
	map->slots = slots;
	map->words = (slots + 63) / 64;
	talloc_set_destructor(map, map_destructor);
	return map;
}

static struct endpoint_set *
endpoint_set_find(const struct comet_prefix_map *map, uint32_t hash)
{
	return g_hash_table_lookup(map->by_hash, GUINT_TO_POINTER(hash));
}

static void
map_set(struct comet_prefix_map *map, uint32_t hash, uint32_t slot)
{
	struct endpoint_set *endpoint_set = endpoint_set_find(map, hash);

	if (endpoint_set == NULL)
	{
		endpoint_set = g_malloc0(sizeof *endpoint_set + map->words * sizeof(uint64_t));
		endpoint_set->hash = hash;
		g_hash_table_insert(map->by_hash, GUINT_TO_POINTER(hash), endpoint_set);
	}
	endpoint_set->bits[slot / 64] |= 1ULL << (slot % 64);
	endpoint_set->count++;
}

static void
map_unset(struct comet_prefix_map *map, uint32_t hash, uint32_t slot)
{
	struct endpoint_set *endpoint_set = endpoint_set_find(map, hash);

	if (endpoint_set == NULL)
		return;
	endpoint_set->bits[slot / 64] &= ~(1ULL << (slot % 64));
	if (--endpoint_set->count == 0)
		g_hash_table_remove(map->by_hash, GUINT_TO_POINTER(hash));
}

void
comet_prefix_map_match(
	const struct comet_prefix_map *map, const struct comet_prefix *prefix, uint32_t *cached)
{
	memset(cached, 0, map->slots * sizeof *cached);
	/* Shallow hashes first, so that the deepest cached hash determines the result. */
	for (uint32_t i = 0; i < prefix->count; i++)
	{
		const struct endpoint_set *endpoint_set = endpoint_set_find(map, prefix->hash[i]);
		uint32_t tokens = comet_prefix_depth(i) * COMET_PREFIX_BLOCK_TOKENS;
		for (uint32_t word = 0; endpoint_set != NULL && word < map->words; word++)
		{
			for (uint64_t bits = endpoint_set->bits[word]; bits != 0; bits &= bits - 1)
				cached[word * 64 + (uint32_t)__builtin_ctzll(bits)] = tokens;
		}
	}
}

/* One cached sample; it accounts for the blocks after the previous sample. */
struct index_entry
{
	uint32_t hash;
	uint32_t tokens;
	GList *lru_link; /* link in the LRU queue */
};

struct comet_prefix_index
{
	GHashTable *entries; /* hash -> index_entry */
	GQueue lru;          /* most recently used first */
	uint64_t cached_tokens;
	uint32_t capacity_tokens;
	struct comet_prefix_map *map; /* NULL if not attached */
	uint32_t slot;
};

static int
index_destructor(struct comet_prefix_index *index)
{
	g_hash_table_destroy(index->entries);
	g_queue_clear(&index->lru);
	return 0;
}

struct comet_prefix_index *
comet_prefix_index_create(void *parent, uint32_t capacity_tokens)
{
	struct comet_prefix_index *index = talloc_zero(parent, struct comet_prefix_index);

	index->entries = g_hash_table_new_full(g_direct_hash, g_direct_equal, NULL, g_free);
	g_queue_init(&index->lru);
	index->capacity_tokens = capacity_tokens;
	talloc_set_destructor(index, index_destructor);
	return index;
}

static struct index_entry *
index_find(const struct comet_prefix_index *index, uint32_t hash)
{
	return g_hash_table_lookup(index->entries, GUINT_TO_POINTER(hash));
}

void
comet_prefix_index_attach(
	struct comet_prefix_index *index, struct comet_prefix_map *map, uint32_t slot)
{
	index->map = map;
	index->slot = slot;
	for (GList *link = index->lru.head; link != NULL; link = link->next)
		map_set(map, ((struct index_entry *)link->data)->hash, slot);
}

uint32_t
comet_prefix_index_recent(const struct comet_prefix_index *index, uint32_t nth)
{
	const struct index_entry *entry = g_queue_peek_nth((GQueue *)&index->lru, nth);

	return entry != NULL ? entry->hash : 0;
}

static void
index_remove(struct comet_prefix_index *index, struct index_entry *entry)
{
	if (index->map != NULL)
		map_unset(index->map, entry->hash, index->slot);
	g_queue_delete_link(&index->lru, entry->lru_link);
	index->cached_tokens -= entry->tokens;
	g_hash_table_remove(index->entries, GUINT_TO_POINTER(entry->hash));
}

static void
index_touch(struct comet_prefix_index *index, uint32_t hash, uint32_t tokens)
{
	struct index_entry *entry = index_find(index, hash);

	if (entry != NULL)
	{
		g_queue_unlink(&index->lru, entry->lru_link);
		g_queue_push_head_link(&index->lru, entry->lru_link);
		return;
	}
	entry = g_new(struct index_entry, 1);
	entry->hash = hash;
	entry->tokens = tokens;
	g_queue_push_head(&index->lru, entry);
	entry->lru_link = index->lru.head;
	g_hash_table_insert(index->entries, GUINT_TO_POINTER(hash), entry);
	index->cached_tokens += tokens;
	if (index->map != NULL)
		map_set(index->map, hash, index->slot);
}

void
comet_prefix_index_add(struct comet_prefix_index *index, const struct comet_prefix *prefix)
{
	/* Deepest first, so that shallow hashes are the last to be evicted. */
	for (uint32_t i = prefix->count; i > 0; i--)
	{
		uint32_t previous_depth = i > 1 ? comet_prefix_depth(i - 2) : 0;
		uint32_t blocks = comet_prefix_depth(i - 1) - previous_depth;
		index_touch(index, prefix->hash[i - 1], blocks * COMET_PREFIX_BLOCK_TOKENS);
	}
	while (index->cached_tokens > index->capacity_tokens && !g_queue_is_empty(&index->lru))
		index_remove(index, g_queue_peek_tail(&index->lru));
}

void
comet_prefix_index_clear(struct comet_prefix_index *index)
{
	while (!g_queue_is_empty(&index->lru))
		index_remove(index, g_queue_peek_tail(&index->lru));
}
