/*
 * routes.c
 * The routing table built from the routing document: routes, services, teams
 * and their limits.
 */
#include <libcometspindle/gateway/routing/routes.h>

#include <libcometspindle/hash.h>
#include <string.h>
#include <strings.h>
#include <talloc.h>

struct comet_route_table
{
	int refs;
	uint64_t version;
	struct comet_http_limits limits;
	GHashTable *hosts;   /* host name -> struct host_routes */
	GHashTable *keys;    /* API key -> struct comet_route_team */
	GHashTable *teams;   /* id -> struct comet_route_team */
	GPtrArray *services; /* struct comet_route_service */
};

/* The routes of one host. Prefixes are looked up by length, so that the time of a lookup depends on
 * the number of distinct lengths and not on the number of routes. */
struct host_routes
{
	GHashTable *prefixes;   /* path prefix -> struct comet_route */
	GArray *prefix_lengths; /* distinct lengths of the prefixes, size_t, longest first */
};

static void
free_host(gpointer data)
{
	struct host_routes *host = data;

	g_hash_table_destroy(host->prefixes);
	g_array_free(host->prefix_lengths, TRUE);
	g_free(host);
}

static struct host_routes *
find_or_add_host(struct comet_route_table *table, const char *name)
{
	struct host_routes *host = g_hash_table_lookup(table->hosts, name);

	if (host != NULL)
		return host;
	host = g_new0(struct host_routes, 1);
	host->prefixes = g_hash_table_new(g_str_hash, g_str_equal);
	host->prefix_lengths = g_array_new(FALSE, FALSE, sizeof(size_t));
	g_hash_table_insert(table->hosts, (gpointer)name, host);
	return host;
}

static void
add_prefix_length(struct host_routes *host, size_t length)
{
	guint i = 0;

	while (i < host->prefix_lengths->len &&
		g_array_index(host->prefix_lengths, size_t, i) > length)
		i++;
	if (i == host->prefix_lengths->len ||
		g_array_index(host->prefix_lengths, size_t, i) != length)
		g_array_insert_val(host->prefix_lengths, i, length);
}

static int
table_destroy(struct comet_route_table *table)
{
	g_hash_table_destroy(table->hosts);
	g_hash_table_destroy(table->keys);
	g_hash_table_destroy(table->teams);
	g_ptr_array_free(table->services, TRUE);
	return 0;
}

struct comet_route_table *
comet_route_table_create(uint64_t version, const struct comet_http_limits *limits)
{
	struct comet_route_table *table = talloc_zero(NULL, struct comet_route_table);

	table->refs = 1;
	table->version = version;
	table->limits = *limits;
	table->hosts = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_host);
	table->keys = g_hash_table_new(g_str_hash, g_str_equal);
	table->teams = g_hash_table_new(NULL, NULL);
	table->services = g_ptr_array_new();
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
	copy->regions = comet_region_set_copy(copy, &route->regions);
	copy->shares = talloc_array(copy, struct comet_route_share, route->n_shares);
	for (uint32_t i = 0; i < route->n_shares; i++)
	{
		copy->shares[i].service = talloc_strdup(copy->shares, route->shares[i].service);
		copy->shares[i].weight = route->shares[i].weight;
	}
	struct host_routes *entry = find_or_add_host(table, copy->host);
	if (g_hash_table_contains(entry->prefixes, copy->path_prefix))
		return; /* the first route with this prefix takes precedence */
	g_hash_table_insert(entry->prefixes, copy->path_prefix, copy);
	add_prefix_length(entry, strlen(copy->path_prefix));
}

void
comet_route_table_add_team(struct comet_route_table *table, const struct comet_route_team *team,
	const char *const *keys, size_t n_keys)
{
	struct comet_route_team *copy = talloc_memdup(table, team, sizeof *team);

	copy->name = talloc_strdup(copy, team->name);
	copy->id = comet_hash_name(team->name);
	copy->regions = comet_region_set_copy(copy, &team->regions);
	g_hash_table_insert(table->teams, GUINT_TO_POINTER(copy->id), copy);
	for (size_t i = 0; i < n_keys; i++)
		g_hash_table_insert(table->keys, talloc_strdup(copy, keys[i]), copy);
}

void
comet_route_table_add_service(
	struct comet_route_table *table, const struct comet_route_service *service)
{
	struct comet_route_service *copy = talloc_memdup(table, service, sizeof *service);

	copy->name = talloc_strdup(copy, service->name);
	g_ptr_array_add(table->services, copy);
}

void
comet_route_table_each_service(const struct comet_route_table *table,
	void (*visit)(void *ctx, const struct comet_route_service *service), void *ctx)
{
	for (guint i = 0; i < table->services->len; i++)
		visit(ctx, table->services->pdata[i]);
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

/* Finds the route with the longest prefix of the path. */
static const struct comet_route *
find_longest_prefix(const struct host_routes *host, const char *path)
{
	size_t length = strlen(path);
	char *prefix = g_strndup(path, length);
	const struct comet_route *route = NULL;

	for (guint i = 0; i < host->prefix_lengths->len && route == NULL; i++)
	{
		size_t prefix_length = g_array_index(host->prefix_lengths, size_t, i);
		if (prefix_length > length)
			continue;
		prefix[prefix_length] = '\0';
		route = g_hash_table_lookup(host->prefixes, prefix);
	}
	g_free(prefix);
	return route;
}

const struct comet_route *
comet_route_table_find(const struct comet_route_table *table, const char *host, const char *path)
{
	char *name = g_ascii_strdown(host, (gssize)strcspn(host, ":"));
	const struct host_routes *entry = g_hash_table_lookup(table->hosts, name);

	g_free(name);
	return entry != NULL ? find_longest_prefix(entry, path) : NULL;
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
	GHashTableIter iter;
	gpointer team = NULL;

	g_hash_table_iter_init(&iter, table->teams);
	while (g_hash_table_iter_next(&iter, NULL, &team))
		visit(ctx, team);
}

const char *
comet_route_pick_service(const struct comet_route *route, uint32_t draw)
{
	uint64_t total_weight = 0;

	for (uint32_t i = 0; i < route->n_shares; i++)
		total_weight += route->shares[i].weight;
	uint64_t offset = (uint64_t)draw * total_weight >> 32;
	for (uint32_t i = 0; i < route->n_shares; i++)
	{
		if (offset < route->shares[i].weight)
			return route->shares[i].service;
		offset -= route->shares[i].weight;
	}
	return route->n_shares > 0 ? route->shares[0].service : NULL;
}

bool
comet_route_is_retryable(const struct comet_route *route)
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
