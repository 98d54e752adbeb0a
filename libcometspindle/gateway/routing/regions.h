/*
 * regions.h
 * The regions in which requests may be served, and the region of each
 * availability zone.
 */
#ifndef COMETSPINDLE_GATEWAY_REGIONS_H
#define COMETSPINDLE_GATEWAY_REGIONS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/** Region of an availability zone that is not configured. No restricted set contains it. */
#define COMET_REGION_UNKNOWN 0

/** Regions to which a route or a team is restricted. */
struct comet_region_set
{
	uint32_t *ids;  /**< comet_hash_name() of the names; NULL: not restricted */
	uint32_t count; /**< 0: not restricted */
};

/** Creates a set from names. No names: not restricted. */
struct comet_region_set
comet_region_set_create(void *parent, const char *const *names, uint32_t count);

/** Returns a copy whose memory belongs to parent. */
struct comet_region_set
comet_region_set_copy(void *parent, const struct comet_region_set *set);

/** @return whether requests may be served in a region. NULL: not restricted. */
bool
comet_region_set_allows(const struct comet_region_set *set, uint32_t region);

#endif
