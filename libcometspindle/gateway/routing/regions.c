/*
 * regions.c
 * The regions in which requests may be served, and the region of each
 * availability zone.
 */
#include <libcometspindle/gateway/routing/regions.h>

#include <libcometspindle/hash.h>
#include <talloc.h>

struct comet_region_set
comet_region_set_create(void *parent, const char *const *names, uint32_t count)
{
	struct comet_region_set set = {.count = count};

	if (count > 0)
		set.ids = talloc_array(parent, uint32_t, count);
	for (uint32_t i = 0; i < count; i++)
		set.ids[i] = comet_hash_name(names[i]);
	return set;
}

struct comet_region_set
comet_region_set_copy(void *parent, const struct comet_region_set *set)
{
	struct comet_region_set copy = {.count = set->count};

	if (set->count > 0)
		copy.ids = talloc_memdup(parent, set->ids, set->count * sizeof *set->ids);
	return copy;
}

bool
comet_region_set_allows(const struct comet_region_set *set, uint32_t region)
{
	if (set == NULL || set->count == 0)
		return true;
	for (uint32_t i = 0; i < set->count; i++)
	{
		if (region != COMET_REGION_UNKNOWN && set->ids[i] == region)
			return true;
	}
	return false;
}
