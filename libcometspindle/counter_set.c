/*
 * counter_set.c
 * counters by label text, for metrics whose labels are only known when they occur
 */
#include <libcometspindle/counter_set.h>

#include <stdint.h>
#include <talloc.h>

struct comet_counter_set
{
	GHashTable *counts; /* labels -> uint64_t */
};

static int
tally_destroy(struct comet_counter_set *counter_set)
{
	g_hash_table_destroy(counter_set->counts);
	return 0;
}

struct comet_counter_set *
comet_counter_set_create(void *parent)
{
	struct comet_counter_set *counter_set = talloc_zero(parent, struct comet_counter_set);

	counter_set->counts = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	talloc_set_destructor(counter_set, tally_destroy);
	return counter_set;
}

void
comet_counter_set_add(struct comet_counter_set *counter_set, const char *labels)
{
	uint64_t *count = g_hash_table_lookup(counter_set->counts, labels);

	if (count == NULL && g_hash_table_size(counter_set->counts) >= COMET_COUNTER_SET_LABELS_MAX)
	{
		labels = "other=\"true\"";
		count = g_hash_table_lookup(counter_set->counts, labels);
	}
	if (count == NULL)
	{
		count = g_new0(uint64_t, 1);
		g_hash_table_insert(counter_set->counts, g_strdup(labels), count);
	}
	(*count)++;
}

void
comet_counter_set_print(const struct comet_counter_set *counter_set, GString *out, const char *name)
{
	GHashTableIter at;
	gpointer labels = NULL;
	gpointer count = NULL;

	g_string_append_printf(out, "# TYPE %s counter\n", name);
	g_hash_table_iter_init(&at, counter_set->counts);
	while (g_hash_table_iter_next(&at, &labels, &count))
		g_string_append_printf(out, "%s{%s} %" G_GUINT64_FORMAT "\n", name,
			(const char *)labels, *(const uint64_t *)count);
}
