/*
 * resync_cache.h
 * packed snapshots and deltas that this VM has lately built for its peers
 *
 * Hundreds of followers request the same delta after each change, and hundreds
 * of VMs that start together the same snapshot.
 */
#ifndef COMETSPINDLE_ADAPTERS_RESYNC_CACHE_H
#define COMETSPINDLE_ADAPTERS_RESYNC_CACHE_H

#include <glib.h>
#include <stdint.h>

struct comet_resync_cache;

struct comet_resync_cache *
comet_resync_cache_create(void *parent);

/** @return a reference to the response for a target, or NULL. */
GBytes *
comet_resync_cache_find(struct comet_resync_cache *cache, const char *target);

/** Stores the response for a target. */
void
comet_resync_cache_add(
	struct comet_resync_cache *cache, const char *target, GBytes *response, uint64_t now_us);

/** Drops all responses; call this when the directory has changed. */
void
comet_resync_cache_clear(struct comet_resync_cache *cache);

/** Drops all responses once the oldest is a second old. */
void
comet_resync_cache_tick(struct comet_resync_cache *cache, uint64_t now_us);

/** Packs a text for a peer: its digest in hexadecimal, then the compressed text. A short text is
 * returned as it is. */
GBytes *
comet_resync_pack(GBytes *text);

/** Unpacks a text of a peer. @return NULL with error set if it is damaged. */
GBytes *
comet_resync_unpack(const char *body, size_t length, GError **error) G_GNUC_WARN_UNUSED_RESULT;

#endif
