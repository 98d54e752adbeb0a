/*
 * prefix.h
 * chained block hashes of prompts, and which endpoint holds which
 *
 * A prompt is cut into blocks of COMET_PREFIX_BLOCK_BYTES; each block's hash
 * covers all blocks before it, under a salt per team. A request carries only
 * a sample of its chain, at depths that grow by about a quarter, so a message
 * stays small whatever the prompt.
 */
#ifndef COMETSPINDLE_PREFIX_H
#define COMETSPINDLE_PREFIX_H

#include <stddef.h>
#include <stdint.h>

#define COMET_PREFIX_BLOCK_BYTES 64
#define COMET_PREFIX_TOKEN_BYTES 4
#define COMET_PREFIX_BLOCK_TOKENS (COMET_PREFIX_BLOCK_BYTES / COMET_PREFIX_TOKEN_BYTES)
#define COMET_PREFIX_SAMPLES 14

/** Sampled chain of one prompt; depth of sample i is comet_prefix_depth(i). */
struct comet_prefix
{
	uint32_t count;
	uint32_t hash[COMET_PREFIX_SAMPLES];
};

/** Blocks covered by sample i: 1, 2, 3, 4, 6, 8, 12, 16, 24, ... */
uint32_t
comet_prefix_depth(uint32_t sample);

/** Fills prefix from a prompt. */
void
comet_prefix_sample(struct comet_prefix *prefix, const char *prompt, size_t length, uint64_t salt);

/** Which endpoints of a scheduler hold which sampled hash: one look-up for all of them. */
struct comet_prefix_map;

/** A map over endpoints numbered from 0 (their slots). */
struct comet_prefix_map *
comet_prefix_map_create(void *parent, uint32_t slots);

/** Sets cached[slot] to the tokens of the prompt believed cached at each endpoint. */
void
comet_prefix_map_match(
	const struct comet_prefix_map *map, const struct comet_prefix *prefix, uint32_t *cached);

/** Which prompt prefixes one endpoint is believed to hold, least recently used out first. */
struct comet_prefix_index;

struct comet_prefix_index *
comet_prefix_index_create(void *parent, uint32_t capacity_tokens);

/** From now on the index keeps the map right for this slot; what it holds is entered. */
void
comet_prefix_index_attach(
	struct comet_prefix_index *index, struct comet_prefix_map *map, uint32_t slot);

/** @return the hash used nth-last there (0: the last), or 0 when there are fewer. */
uint32_t
comet_prefix_index_recent(const struct comet_prefix_index *index, uint32_t nth);

/** Notes that the endpoint computed this prompt just now. */
void
comet_prefix_index_add(struct comet_prefix_index *index, const struct comet_prefix *prefix);

/** Forgets everything (gap in the cache events, or a restart). */
void
comet_prefix_index_clear(struct comet_prefix_index *index);

#endif
