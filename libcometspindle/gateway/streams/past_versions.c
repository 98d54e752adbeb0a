/*
 * past_versions.c
 * the software versions that the endpoints of each service have ever had, from the directory's
 * history
 */
#include <libcometspindle/gateway/streams/past_versions.h>

#include <glib.h>
#include <stdbool.h>
#include <talloc.h>

struct comet_past_versions
{
	GHashTable *only; /* service id -> only version id; 0: several */
};

static int
versions_destroy(struct comet_past_versions *versions)
{
	g_hash_table_destroy(versions->only);
	return 0;
}

struct comet_past_versions *
comet_past_versions_create(void *parent)
{
	struct comet_past_versions *versions = talloc_zero(parent, struct comet_past_versions);

	versions->only = g_hash_table_new(NULL, NULL);
	talloc_set_destructor(versions, versions_destroy);
	return versions;
}

void
comet_past_versions_add(
	struct comet_past_versions *versions, uint32_t service_id, uint32_t version_id)
{
	gpointer service = GUINT_TO_POINTER(service_id);
	gpointer before = NULL;
	bool known = g_hash_table_lookup_extended(versions->only, service, NULL, &before);

	if (known && GPOINTER_TO_UINT(before) != version_id)
		version_id = 0;
	g_hash_table_insert(versions->only, service, GUINT_TO_POINTER(version_id));
}

uint32_t
comet_past_versions_only(const struct comet_past_versions *versions, uint32_t service_id)
{
	return GPOINTER_TO_UINT(g_hash_table_lookup(versions->only, GUINT_TO_POINTER(service_id)));
}
