/*
 * routes.c
 * the routing document in force: routes, services, teams and their limits
 */
#include <libcometspindle/gateway/routes.h>

#include <libcometspindle/hash.h>
#include <string.h>
#include <strings.h>
#include <talloc.h>

struct comet_route_table
{
	int refs;
	uint64_t version;
	struct comet_http_limits limits;
	GHashTable *hosts; /* host -> GPtrArray of comet_route */
	GHashTable *keys;  /* key -> comet_route_team */
	GHashTable *teams; /* id -> comet_route_team */
};

static void
free_array(gpointer array)
{
	g_ptr_array_free(array, TRUE);
}

static int
table_destroy(struct comet_route_table *table)
{
	g_hash_table_destroy(table->hosts);
	g_hash_table_destroy(table->keys);
	g_hash_table_destroy(table->teams);
	return 0;
}

struct comet_route_table *
comet_route_table_create(uint64_t version, const struct comet_http_limits *limits)
{
	struct comet_route_table *table = talloc_zero(NULL, struct comet_route_table);

	table->refs = 1;
	table->version = version;
	table->limits = *limits;
	table->hosts = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_array);
	table->keys = g_hash_table_new(g_str_hash, g_str_equal);
	table->teams = g_hash_table_new(NULL, NULL);
	talloc_set_destructor(table, table_destroy);
	return table;
}

void
comet_route_table_add(struct comet_route_table *table, const struct comet_route *route)
{
	struct comet_route *copy = talloc_memdup(table, route, sizeof *route);

	copy->name = talloc_strdup(copy, route->name);
	copy->host = g_ascii_strdown(route->host, -1);
	char *host = talloc_strdup(copy, copy->host);
	g_free(copy->host);
	copy->host = host;
	copy->path_prefix = talloc_strdup(copy, route->path_prefix);
	copy->shares = talloc_array(copy, struct comet_route_share, route->n_shares);
	for (uint32_t i = 0; i < route->n_shares; i++)
	{
		copy->shares[i].service = talloc_strdup(copy->shares, route->shares[i].service);
		copy->shares[i].weight = route->shares[i].weight;
	}
	GPtrArray *routes = g_hash_table_lookup(table->hosts, copy->host);
	if (routes == NULL)
	{
		routes = g_ptr_array_new();
		g_hash_table_insert(table->hosts, copy->host, routes);
	}
	g_ptr_array_add(routes, copy);
}

void
comet_route_table_add_team(struct comet_route_table *table, const struct comet_route_team *team,
	const char *const *keys, size_t n_keys)
{
	struct comet_route_team *copy = talloc_memdup(table, team, sizeof *team);

	copy->name = talloc_strdup(copy, team->name);
	copy->id = comet_hash_name(team->name);
	g_hash_table_insert(table->teams, GUINT_TO_POINTER(copy->id), copy);
	for (size_t i = 0; i < n_keys; i++)
		g_hash_table_insert(table->keys, talloc_strdup(copy, keys[i]), copy);
}

struct comet_route_table *
comet_route_table_ref(struct comet_route_table *table)
{
	table->refs++;
	return table;
}

void
comet_route_table_unref(struct comet_route_table *table)
{
	if (table != NULL && --table->refs == 0)
		talloc_free(table);
}

uint64_t
comet_route_table_version(const struct comet_route_table *table)
{
	return table->version;
}

const struct comet_http_limits *
comet_route_table_limits(const struct comet_route_table *table)
{
	return &table->limits;
}

bool
comet_route_table_needs_keys(const struct comet_route_table *table)
{
	return g_hash_table_size(table->teams) > 0;
}

const struct comet_route *
comet_route_table_find(const struct comet_route_table *table, const char *host, const char *path)
{
	const struct comet_route *best = NULL;
	size_t best_length = 0;
	size_t host_length = strcspn(host, ":");
	char *name = g_ascii_strdown(host, (gssize)host_length);
	GPtrArray *routes = g_hash_table_lookup(table->hosts, name);

	g_free(name);
	for (guint i = 0; routes != NULL && i < routes->len; i++)
	{
		const struct comet_route *route = routes->pdata[i];
		size_t length = strlen(route->path_prefix);
		if (length > best_length && strncmp(path, route->path_prefix, length) == 0)
		{
			best = route;
			best_length = length;
		}
	}
	return best;
}

const struct comet_route_team *
comet_route_table_team_by_key(const struct comet_route_table *table, const char *key)
{
	return g_hash_table_lookup(table->keys, key);
}

const struct comet_route_team *
comet_route_table_team(const struct comet_route_table *table, uint32_t id)
{
	return g_hash_table_lookup(table->teams, GUINT_TO_POINTER(id));
}

void
comet_route_table_each_team(const struct comet_route_table *table,
	void (*visit)(void *ctx, const struct comet_route_team *team), void *ctx)
{
	GHashTableIter at;
	gpointer team = NULL;

	g_hash_table_iter_init(&at, table->teams);
	while (g_hash_table_iter_next(&at, NULL, &team))
		visit(ctx, team);
}

const char *
comet_route_pick_service(const struct comet_route *route, uint32_t draw)
{
	uint64_t sum = 0;

	for (uint32_t i = 0; i < route->n_shares; i++)
		sum += route->shares[i].weight;
	uint64_t mark = (uint64_t)draw * sum >> 32;
	for (uint32_t i = 0; i < route->n_shares; i++)
	{
		if (mark < route->shares[i].weight)
			return route->shares[i].service;
		mark -= route->shares[i].weight;
	}
	return route->n_shares > 0 ? route->shares[0].service : NULL;
}

bool
comet_route_repeatable(const struct comet_route *route)
{
	return route->kind == COMET_ROUTE_SAFE ||
	       (route->kind == COMET_ROUTE_STREAM && route->resumable);
}

const char *
comet_route_kind_name(enum comet_route_kind kind)
{
	static const char *const names[] = {"safe", "unsafe", "stream"};

	return names[kind];
}
