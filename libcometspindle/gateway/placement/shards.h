/*
 * shards.h
 * the endpoints of a service in parts, each of which one VM keeps count of
 *
 * A shard holds endpoints of one service in one availability zone. VMs that
 * have read the same list form the same shards; while their lists differ, two
 * VMs may keep count of the same endpoint, which only makes the counts less
 * exact.
 */
#ifndef COMETSPINDLE_GATEWAY_SHARDS_H
#define COMETSPINDLE_GATEWAY_SHARDS_H

#include <libcometspindle/gateway/endpoints/instances.h>
#include <stdbool.h>
#include <stdint.h>

/** Levels of room: requests that may be at an endpoint beyond its slots are fewer than this. */
#define COMET_SHARD_LEVELS 3

struct comet_shard
{
	uint32_t id; /**< the same on all VMs */
	char *service;
	uint32_t zone_id;   /**< comet_hash_name() of its zone */
	GPtrArray *members; /**< of struct comet_instance */
	uint32_t keeper; /**< address of the VM that keeps count, as found at owner_checked_us; 0:
			    none */
	uint64_t owner_checked_us;
	/** By level: until then its keeper has no room; 0: not known. */
	uint64_t denied_us[COMET_SHARD_LEVELS];
	/** By level: pass over a queue in which it was found full, for its keeper. */
	uint64_t full_pass[COMET_SHARD_LEVELS];
};

struct comet_shards;

struct comet_shards *
comet_shards_create(void *parent, struct comet_instances *instances);

/** The shards of a service; NULL when it has no endpoints. */
const GPtrArray *
comet_shards_for_service(struct comet_shards *shards, const char *service);

/** @return the shard of an id, or NULL. */
struct comet_shard *
comet_shards_find(struct comet_shards *shards, uint32_t id);

/** Its keeper has no room at this level, hence at none below, until then. */
void
comet_shard_denied(struct comet_shard *shard, uint32_t level, uint64_t until_us);

/** A slot has come free in it. */
void
comet_shard_slot_released(struct comet_shard *shard);

#endif
