/*
 * version_history.c
 * since when all endpoints of a service have had the same software version
 */
#include <libcometspindle/gateway/endpoints/version_history.h>

#include <glib.h>
#include <talloc.h>

struct comet_version_history
{
	GHashTable *counts;  /* version id -> number of endpoints */
	uint32_t version_id; /* the only version as of since_us */
	uint64_t since_us;
	bool changed; /* another version has been known since then */
};

static int
history_destroy(struct comet_version_history *history)
{
	g_hash_table_destroy(history->counts);
	return 0;
}

struct comet_version_history *
comet_version_history_create(void *parent)
{
	struct comet_version_history *history = talloc_zero(parent, struct comet_version_history);

	history->counts = g_hash_table_new(NULL, NULL);
	history->changed = true;
	talloc_set_destructor(history, history_destroy);
	return history;
}

static guint
count_of(const struct comet_version_history *history, uint32_t version_id)
{
	return GPOINTER_TO_UINT(g_hash_table_lookup(history->counts, GUINT_TO_POINTER(version_id)));
}

void
comet_version_history_add(struct comet_version_history *history, uint32_t version_id)
{
	g_hash_table_insert(history->counts, GUINT_TO_POINTER(version_id),
		GUINT_TO_POINTER(count_of(history, version_id) + 1));
	history->changed = history->changed || version_id != history->version_id;
}

void
comet_version_history_remove(struct comet_version_history *history, uint32_t version_id)
{
	guint count = count_of(history, version_id);

	if (count > 1)
		g_hash_table_insert(
			history->counts, GUINT_TO_POINTER(version_id), GUINT_TO_POINTER(count - 1));
	else
		g_hash_table_remove(history->counts, GUINT_TO_POINTER(version_id));
}

void
comet_version_history_restart(struct comet_version_history *history)
{
	history->changed = true;
}

struct comet_only_version
comet_version_history_only(struct comet_version_history *history, uint64_t now_us)
{
	guint versions = g_hash_table_size(history->counts);
	GHashTableIter at;
	gpointer version = NULL;

	if (versions != 1)
	{
		history->changed = history->changed || versions > 1;
		return (struct comet_only_version){.several = versions > 1};
	}
	if (history->changed)
	{
		g_hash_table_iter_init(&at, history->counts);
		g_hash_table_iter_next(&at, &version, NULL);
		history->version_id = GPOINTER_TO_UINT(version);
		history->since_us = now_us;
		history->changed = false;
	}
	return (struct comet_only_version){
		.version_id = history->version_id, .since_us = history->since_us};
}
