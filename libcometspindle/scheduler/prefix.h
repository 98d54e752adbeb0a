/*
 * prefix.h
 * chained block hashes of prompts and an index of the endpoints that cache them
 *
 * A prompt is split into blocks of COMET_PREFIX_BLOCK_BYTES. The hash of a block
 * also covers all previous blocks and starts from a salt for each team. A request
 * carries hashes only at exponentially growing depths (two for each power of two),
 * which bounds the message size for prompts of any length.
 */
#ifndef COMETSPINDLE_PREFIX_H
#define COMETSPINDLE_PREFIX_H

#include <stddef.h>
#include <stdint.h>

#define COMET_PREFIX_BLOCK_BYTES 64
#define COMET_PREFIX_TOKEN_BYTES 4
#define COMET_PREFIX_BLOCK_TOKENS (COMET_PREFIX_BLOCK_BYTES / COMET_PREFIX_TOKEN_BYTES)
#define COMET_PREFIX_SAMPLES 14

/** Sampled hash chain of one prompt; sample i is at depth comet_prefix_depth(i). */
struct comet_prefix
{
	uint32_t count;
	uint32_t hash[COMET_PREFIX_SAMPLES];
};

/** @return the number of blocks that a sample covers: 1, 2, 3, 4, 6, 8, 12, 16, 24, ... */
uint32_t
comet_prefix_depth(uint32_t sample);

/** Computes the sampled hash chain of a prompt. */
void
comet_prefix_sample(struct comet_prefix *prefix, const char *prompt, size_t length, uint64_t salt);

/** Maps each sampled hash to all endpoints of a scheduler that are believed to cache it. */
struct comet_prefix_map;

/** Creates a map for endpoints that are numbered from 0 (their slots). */
struct comet_prefix_map *
comet_prefix_map_create(void *parent, uint32_t slots);

/** Sets cached[slot] to the number of prompt tokens believed cached at each endpoint. */
void
comet_prefix_map_match(
	const struct comet_prefix_map *map, const struct comet_prefix *prefix, uint32_t *cached);

/** LRU index of the prompt prefixes that one endpoint is believed to cache. */
struct comet_prefix_index;

struct comet_prefix_index *
comet_prefix_index_create(void *parent, uint32_t capacity_tokens);

/** Adds the content of the index to the map at this slot and applies later changes to it. */
void
comet_prefix_index_attach(
	struct comet_prefix_index *index, struct comet_prefix_map *map, uint32_t slot);

/** @return the nth most recently used hash, counted from 0, or 0 if there are fewer. */
uint32_t
comet_prefix_index_recent(const struct comet_prefix_index *index, uint32_t nth);

/** Records that the endpoint has just computed this prompt. */
void
comet_prefix_index_add(struct comet_prefix_index *index, const struct comet_prefix *prefix);

/** Removes all entries, after a gap in the cache events or an endpoint restart. */
void
comet_prefix_index_clear(struct comet_prefix_index *index);

#endif
