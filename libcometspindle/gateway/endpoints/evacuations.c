/*
 * evacuations.c
 * evacuation orders for availability zones, as published in the directory
 */
#include <libcometspindle/gateway/endpoints/evacuations.h>

#include <talloc.h>

/* An evacuation order in force. */
struct order
{
	uint64_t expire_us; /* the order ends then unless the directory lists it again; 0: no expiry
			     */
};

struct comet_evacuations
{
	struct comet_instances *instances;
	GHashTable *orders; /* zone -> struct order */
	void (*restored)(void *ctx, const char *zone);
	void *ctx;
};

static int
evacuations_destroy(struct comet_evacuations *evacuations)
{
	g_hash_table_destroy(evacuations->orders);
	return 0;
}

struct comet_evacuations *
comet_evacuations_create(void *parent, struct comet_instances *instances,
	void (*restored)(void *ctx, const char *zone), void *ctx)
{
	struct comet_evacuations *evacuations = talloc_zero(parent, struct comet_evacuations);

	evacuations->instances = instances;
	evacuations->orders = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	evacuations->restored = restored;
	evacuations->ctx = ctx;
	talloc_set_destructor(evacuations, evacuations_destroy);
	return evacuations;
}

bool
comet_evacuations_order(struct comet_evacuations *evacuations, const char *zone)
{
	struct order *order = g_hash_table_lookup(evacuations->orders, zone);
	bool is_new = order == NULL;

	if (is_new)
	{
		order = g_new0(struct order, 1);
		g_hash_table_insert(evacuations->orders, g_strdup(zone), order);
		comet_instances_evacuate(evacuations->instances, zone);
	}
	order->expire_us = 0;
	return is_new;
}

void
comet_evacuations_end(struct comet_evacuations *evacuations, const char *zone, uint64_t now_us)
{
	gpointer key = NULL;
	gpointer order = NULL;

	if (!g_hash_table_steal_extended(evacuations->orders, zone, &key, &order))
		return;
	comet_instances_restore(evacuations->instances, key, now_us);
	evacuations->restored(evacuations->ctx, key);
	g_free(key);
	g_free(order);
}

void
comet_evacuations_schedule_expiry(
	struct comet_evacuations *evacuations, const char *zone, uint64_t expire_us)
{
	struct order *order = g_hash_table_lookup(evacuations->orders, zone);

	if (order != NULL)
		order->expire_us = expire_us;
}

void
comet_evacuations_tick(struct comet_evacuations *evacuations, uint64_t now_us)
{
	GList *zones = g_hash_table_get_keys(evacuations->orders);

	for (GList *at = zones; at != NULL; at = at->next)
	{
		const struct order *order = g_hash_table_lookup(evacuations->orders, at->data);
		if (order->expire_us != 0 && order->expire_us <= now_us)
			comet_evacuations_end(evacuations, at->data, now_us);
	}
	g_list_free(zones);
}

void
comet_evacuations_each(const struct comet_evacuations *evacuations,
	void (*visit)(void *ctx, const char *zone), void *ctx)
{
	GHashTableIter iter;
	gpointer zone = NULL;

	g_hash_table_iter_init(&iter, evacuations->orders);
	while (g_hash_table_iter_next(&iter, &zone, NULL))
		visit(ctx, zone);
}
