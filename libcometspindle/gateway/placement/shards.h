/*
 * shards.h
 * splits the endpoints of a service into shards, each of which is owned by one VM
 *
 * A shard holds endpoints of one service in one availability zone. VMs that
 * have read the same list of endpoints form the same shards. While their lists
 * differ, two VMs may own the same endpoint, which only makes their counts of
 * used slots less exact.
 */
#ifndef COMETSPINDLE_GATEWAY_SHARDS_H
#define COMETSPINDLE_GATEWAY_SHARDS_H

#include <libcometspindle/gateway/endpoints/cold_share.h>
#include <libcometspindle/gateway/endpoints/instances.h>
#include <stdbool.h>
#include <stdint.h>

/** Number of queue limits. A queue limit is how many requests an endpoint may have beyond its
 * slots, from 0 to COMET_SHARD_LEVELS - 1. */
#define COMET_SHARD_LEVELS 3

struct comet_shard
{
	uint32_t id; /**< hash that is the same on all VMs */
	char *service;
	uint32_t zone_id;   /**< comet_hash_name() of the availability zone */
	GPtrArray *members; /**< entries are struct comet_instance */
	/** Address of the owner as of owner_checked_us; 0 when there is none. */
	uint32_t owner_vm;
	uint64_t owner_checked_us;
	/** By queue limit, for requests that accept any software version [0] and for others [1]:
	 * the time until which the owner is taken to have no capacity; 0 when it is not known to be
	 * full. */
	uint64_t denied_us[2][COMET_SHARD_LEVELS];
	/** The most urgent team rank that was denied so. An owner denies less urgent teams a place
	 * beyond the slots that it grants to more urgent ones. */
	uint32_t denied_team_rank[2][COMET_SHARD_LEVELS];
	/** Until then no slot request with a wait time is sent to the owner, which denied one. */
	uint64_t wait_denied_until_us;
	struct comet_cold_position cold_position;
	bool reformed; /**< a member came from another shard; cold_position does not reflect that
			  yet */
	/** On the owner, by queue limit: the last pass over the queue that found the shard full. */
	uint64_t full_pass[COMET_SHARD_LEVELS];
};

struct comet_shards;

struct comet_shards *
comet_shards_create(void *parent, struct comet_instances *instances);

/** @return the shards of a service (struct comet_shard), or NULL when it has no endpoints. */
const GPtrArray *
comet_shards_for_service(struct comet_shards *shards, const char *service);

/** @return the shard with this id, or NULL. */
struct comet_shard *
comet_shards_find(struct comet_shards *shards, uint32_t id);

/** Calls visit for each shard. */
void
comet_shards_each(struct comet_shards *shards, void (*visit)(void *ctx, struct comet_shard *shard),
	void *ctx);

/** A slot request that the owner denied. */
struct comet_shard_denial
{
	uint32_t version_id; /**< software version that the request needs; 0: any */
	uint32_t team_rank;
	uint32_t level; /**< its queue limit */
	bool waited;    /**< it was to wait at the owner */
};

/** Records that the owner has no capacity with this queue limit, and hence with no smaller one,
 * until until_us. */
void
comet_shard_denied(struct comet_shard *shard, const struct comet_shard_denial *denial,
	uint64_t until_us, uint64_t now_us);

/** @return the time until which the owner is taken to have no capacity for such a request. */
uint64_t
comet_shard_denied_until_us(
	const struct comet_shard *shard, uint32_t version_id, uint32_t team_rank, uint32_t level);

/** Forgets the recorded denials, because a slot of the shard was released. */
void
comet_shard_slot_released(struct comet_shard *shard);

#endif
