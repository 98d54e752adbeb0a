/*
 * tally.c
 * counters by label text, for metrics whose labels are only known when they occur
 */
#include <libcometspindle/tally.h>

#include <stdint.h>
#include <talloc.h>

struct comet_tally
{
	GHashTable *counts; /* labels -> uint64_t */
};

static int
tally_destroy(struct comet_tally *tally)
{
	g_hash_table_destroy(tally->counts);
	return 0;
}

struct comet_tally *
comet_tally_create(void *parent)
{
	struct comet_tally *tally = talloc_zero(parent, struct comet_tally);

	tally->counts = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	talloc_set_destructor(tally, tally_destroy);
	return tally;
}

void
comet_tally_add(struct comet_tally *tally, const char *labels)
{
	uint64_t *count = g_hash_table_lookup(tally->counts, labels);

	if (count == NULL && g_hash_table_size(tally->counts) >= COMET_TALLY_LABELS_MAX)
	{
		labels = "other=\"true\"";
		count = g_hash_table_lookup(tally->counts, labels);
	}
	if (count == NULL)
	{
		count = g_new0(uint64_t, 1);
		g_hash_table_insert(tally->counts, g_strdup(labels), count);
	}
	(*count)++;
}

void
comet_tally_print(const struct comet_tally *tally, GString *out, const char *name)
{
	GHashTableIter at;
	gpointer labels = NULL;
	gpointer count = NULL;

	g_string_append_printf(out, "# TYPE %s counter\n", name);
	g_hash_table_iter_init(&at, tally->counts);
	while (g_hash_table_iter_next(&at, &labels, &count))
		g_string_append_printf(out, "%s{%s} %" G_GUINT64_FORMAT "\n", name,
			(const char *)labels, *(const uint64_t *)count);
}
