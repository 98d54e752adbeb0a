/*
 * stream_versions.c
 * the software version that began each stream, for the time in which its caller may resume it
 */
#include <libcometspindle/gateway/streams/stream_versions.h>

#include <glib.h>
#include <libcometspindle/hash.h>
#include <string.h>
#include <talloc.h>

struct comet_stream_versions
{
	GHashTable *entries; /* stream -> struct comet_stream_version_entry */
};

static int
versions_destroy(struct comet_stream_versions *versions)
{
	g_hash_table_destroy(versions->entries);
	return 0;
}

struct comet_stream_versions *
comet_stream_versions_create(void *parent)
{
	struct comet_stream_versions *versions = talloc_zero(parent, struct comet_stream_versions);

	/* The key is the first member of the entry. */
	versions->entries = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
	talloc_set_destructor(versions, versions_destroy);
	return versions;
}

uint64_t
comet_stream_key(const char *request_id)
{
	uint64_t key = comet_hash_bytes(request_id, strlen(request_id), 0);

	return key != 0 ? key : 1;
}

struct comet_stream_version_entry *
comet_stream_versions_add(
	struct comet_stream_versions *versions, const struct comet_stream_version *begun)
{
	struct comet_stream_version_entry *entry =
		g_hash_table_lookup(versions->entries, &begun->stream);

	if (entry != NULL)
	{
		entry->begun.until_us = MAX(entry->begun.until_us, begun->until_us);
		return entry;
	}
	if (g_hash_table_size(versions->entries) >= COMET_STREAM_VERSIONS_MAX)
		return NULL;
	entry = g_new0(struct comet_stream_version_entry, 1);
	entry->begun = *begun;
	g_hash_table_insert(versions->entries, &entry->begun.stream, entry);
	return entry;
}

const struct comet_stream_version *
comet_stream_versions_find(
	const struct comet_stream_versions *versions, uint64_t stream, uint64_t now_us)
{
	const struct comet_stream_version_entry *entry =
		g_hash_table_lookup(versions->entries, &stream);

	return entry != NULL && now_us < entry->begun.until_us ? &entry->begun : NULL;
}

void
comet_stream_versions_each(struct comet_stream_versions *versions,
	void (*visit)(void *ctx, struct comet_stream_version_entry *entry), void *ctx)
{
	GHashTableIter at;
	gpointer entry = NULL;

	g_hash_table_iter_init(&at, versions->entries);
	while (g_hash_table_iter_next(&at, NULL, &entry))
		visit(ctx, entry);
}

static gboolean
is_expired(gpointer key, gpointer value, gpointer ctx)
{
	const struct comet_stream_version_entry *entry = value;
	const uint64_t *now_us = ctx;

	(void)key;
	return *now_us >= entry->begun.until_us;
}

void
comet_stream_versions_expire(struct comet_stream_versions *versions, uint64_t now_us)
{
	g_hash_table_foreach_remove(versions->entries, is_expired, &now_us);
}

size_t
comet_stream_versions_count(const struct comet_stream_versions *versions)
{
	return g_hash_table_size(versions->entries);
}
