/*
 * http_hops.c
 * the headers of a head that concern one connection only
 */
#include <libcometspindle/adapters/http_hops.h>

#include <sodium.h>
#include <string.h>
#include <strings.h>
#include <talloc.h>

struct comet_http_hops
{
	GHashTable *named; /* in lower case, of the Connection headers; NULL: they name none */
};

/* A keyed hash: with a known one a caller can choose names that all collide. */
static guint
hash_name(gconstpointer name)
{
	static unsigned char key[crypto_shorthash_KEYBYTES];
	static gsize ready = 0;
	unsigned char hash[crypto_shorthash_BYTES];
	guint result = 0;

	if (g_once_init_enter(&ready))
	{
		crypto_shorthash_keygen(key);
		g_once_init_leave(&ready, 1);
	}
	crypto_shorthash(hash, name, strlen(name), key);
	memcpy(&result, hash, sizeof result);
	return result;
}

/* Adds the comma-separated names of a list. */
static void
add_names(struct comet_http_hops *hops, const char *list)
{
	char *names = g_ascii_strdown(list, -1);
	char *rest = names;
	char *name = NULL;

	while ((name = strsep(&rest, ",")) != NULL)
	{
		g_strstrip(name);
		if (*name != '\0' && !g_hash_table_contains(hops->named, name))
			g_hash_table_add(hops->named, g_strdup(name));
	}
	g_free(names);
}

static int
hops_destroy(struct comet_http_hops *hops)
{
	if (hops->named != NULL)
		g_hash_table_destroy(hops->named);
	return 0;
}

struct comet_http_hops *
comet_http_hops_create(void *parent, const struct comet_http_head *head)
{
	struct comet_http_hops *hops = talloc_zero(parent, struct comet_http_hops);
	struct comet_http_header header = {0};

	talloc_set_destructor(hops, hops_destroy);
	while (comet_http_head_next(head, &header))
	{
		if (strcasecmp(header.name, "Connection") != 0)
			continue;
		if (hops->named == NULL)
			hops->named = g_hash_table_new_full(hash_name, g_str_equal, g_free, NULL);
		add_names(hops, header.value);
	}
	return hops;
}

static bool
is_named(const struct comet_http_hops *hops, const char *name)
{
	char *lower = g_ascii_strdown(name, -1);
	bool named = g_hash_table_contains(hops->named, lower);

	g_free(lower);
	return named;
}

bool
comet_http_hops_contain(const struct comet_http_hops *hops, const char *name)
{
	static const char *const names[] = {"Connection", "Keep-Alive", "Proxy-Connection",
		"Proxy-Authenticate", "Proxy-Authorization", "TE", "Trailer", "Transfer-Encoding",
		"Upgrade", "Content-Length", "Expect"};

	for (size_t i = 0; i < G_N_ELEMENTS(names); i++)
	{
		if (strcasecmp(name, names[i]) == 0)
			return true;
	}
	return hops->named != NULL && is_named(hops, name);
}
