/*
 * bundle.h
 * the configuration bundle: one versioned, signed, immutable document
 */
#ifndef COMETSPINDLE_BUNDLE_H
#define COMETSPINDLE_BUNDLE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#define COMET_TIERS_MAX 8
#define COMET_KEY_HASH_BYTES 32
#define COMET_BUNDLE_BYTES_MAX (1024 * 1024)

struct comet_team
{
	char *name;
	uint32_t id;                            /**< comet_hash_name(name) */
	uint8_t key_hash[COMET_KEY_HASH_BYTES]; /**< BLAKE2b of the bearer key */
	uint32_t weight;                        /**< share against other teams of a tier */
	uint32_t tiers;                         /**< bit i: tier i is allowed */
	uint32_t requests_per_s;                /**< quota; 0: none */
	uint32_t tokens_per_s;                  /**< quota, prompt and output; 0: none */
	bool shared_prefix;                     /**< its prompts may share cache with others' */
};

struct comet_tier
{
	char *name;
	uint32_t deadline_ms;   /**< used when the request names none */
	uint32_t share_percent; /**< part of an endpoint's limit this tier may fill */
};

/** What requests are routed to: the endpoints of a model or of a plain service. */
struct comet_pool
{
	char *name;
	uint32_t id;
	bool is_service;
	uint32_t n_endpoints; /**< that serve it */
	char **once_paths;    /**< service calls that may not be repeated; NULL-terminated */
};

struct comet_endpoint
{
	char *name;
	uint32_t id;
	char *url;
	char *zone;
	uint32_t *pools; /**< ids of the models or services it serves */
	uint32_t n_pools;
	uint32_t batch;     /**< most requests it runs at once */
	uint32_t kv_tokens; /**< size of its prefix cache */
	bool checks_orders;
	bool leaving;
};

struct comet_limits
{
	uint32_t entries_valid_s; /**< how long callers may keep the answer of /v1/entries */
	uint32_t shard_endpoints; /**< endpoints of a pool under one scheduler */
	uint32_t gap_target_ms;   /**< between tokens, for 95 in 100 */
	uint32_t out_percent;     /**< most of a pool that may be taken out as failed */
	uint32_t reuse_weight;    /**< prefill work avoided counts so many times its time */
	uint32_t key_lifetime_s;  /**< how long idempotency keys are remembered */
	uint32_t clock_skew_ms;   /**< most that clocks of callers and VMs differ */
};

/** Immutable once parsed; shared between threads by reference count. */
struct comet_bundle
{
	int refs;
	uint64_t version;
	struct comet_team *teams;
	uint32_t n_teams;
	struct comet_tier *tiers;
	uint32_t n_tiers;
	struct comet_pool *pools;
	uint32_t n_pools;
	struct comet_endpoint *endpoints;
	uint32_t n_endpoints;
	struct comet_limits limits;
	GHashTable *endpoint_by_id;
	GHashTable *pool_by_id;
	GHashTable *team_by_id;
};

/** Parses and checks a document; NULL and error with every fault and its path. */
struct comet_bundle *
comet_bundle_parse(const char *text, size_t length, GError **error) G_GNUC_WARN_UNUSED_RESULT;

struct comet_bundle *
comet_bundle_ref(struct comet_bundle *bundle);

void
comet_bundle_unref(struct comet_bundle *bundle);

/** @return the team with this bearer key; compares every hash in constant time. */
const struct comet_team *
comet_bundle_team_by_key(const struct comet_bundle *bundle, const char *key);

const struct comet_team *
comet_bundle_team(const struct comet_bundle *bundle, uint32_t id);

const struct comet_pool *
comet_bundle_pool(const struct comet_bundle *bundle, uint32_t id);

const struct comet_pool *
comet_bundle_pool_by_name(const struct comet_bundle *bundle, const char *name);

const struct comet_endpoint *
comet_bundle_endpoint(const struct comet_bundle *bundle, uint32_t id);

/** @return whether the endpoint serves the pool. */
bool
comet_endpoint_serves(const struct comet_endpoint *endpoint, uint32_t pool_id);

/** @return the tier's index, or -1. */
int
comet_bundle_tier(const struct comet_bundle *bundle, const char *name);

/** Schedulers a pool is split over: ceil(endpoints / limits.shard_endpoints), at least 1. */
uint32_t
comet_bundle_shards(const struct comet_bundle *bundle, uint32_t pool_id);

/** Shard of an endpoint within a pool. */
uint32_t
comet_bundle_shard_of(const struct comet_bundle *bundle, uint32_t pool_id, uint32_t endpoint_id);

/** BLAKE2b hash of a bearer key, as the bundle holds it. */
void
comet_bundle_hash_key(const char *key, uint8_t hash[COMET_KEY_HASH_BYTES]);

#endif
