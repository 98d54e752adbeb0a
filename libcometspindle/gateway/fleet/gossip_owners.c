/*
 * gossip_owners.c
 * which VM keeps count for a key: the same one on all VMs that hear the same
 */
#include <libcometspindle/gateway/fleet/gossip_state.h>

#include <libcometspindle/hash.h>

/* A VM keeps count of endpoints once its process has run this long: by then it has heard what the
 * others have running. */
#define KEEPER_AGE_US 3000000

/* Where all have just started, nobody knows what ran before, and one that has found the others
 * serves as well. */
#define YOUNG_KEEPER_AGE_US 500000

/* How well a VM is suited to keep count for a key. */
struct suitability
{
	uint32_t address; /* 0: nobody */
	bool old;         /* it has run long enough to know what the others have running */
	bool near;        /* it is in the zone of what is counted */
	uint32_t cpu_percent;
	uint64_t score;
};

static struct suitability
suitability_of(uint32_t address, uint64_t began_us, bool near, uint32_t cpu_percent, uint32_t key,
	uint64_t now_us)
{
	uint64_t age_us = now_us - began_us;

	return (struct suitability){
		.address = age_us >= YOUNG_KEEPER_AGE_US ? address : 0,
		.old = age_us >= KEEPER_AGE_US,
		.near = near,
		.cpu_percent = cpu_percent,
		.score = comet_hash_score(key, address),
	};
}

/* Is it better suited than the best so far? */
static bool
is_better(const struct suitability *one, const struct suitability *best)
{
	if (one->address == 0 || best->address == 0)
		return one->address != 0;
	if (one->old != best->old)
		return one->old;
	if (one->near != best->near)
		return one->near;
	/* A keeper that starves leaves asks unanswered in a burst, and their requests overfill
	 * endpoints. */
	if (one->cpu_percent != best->cpu_percent)
		return one->cpu_percent > best->cpu_percent;
	return one->score > best->score;
}

uint32_t
comet_gossip_find_owner(
	const struct comet_gossip *gossip, uint32_t key, uint32_t zone, uint64_t now_us)
{
	return comet_gossip_find_responsive_owner(gossip, key, zone, NULL, NULL, now_us);
}

uint32_t
comet_gossip_find_responsive_owner(const struct comet_gossip *gossip, uint32_t key, uint32_t zone,
	comet_gossip_is_unresponsive is_mute, const void *ctx, uint64_t now_us)
{
	struct suitability best = {0};
	GHashTableIter at;
	gpointer value = NULL;

	if (!gossip->leaving)
		best = suitability_of(gossip->address, gossip->began_us, gossip->zone == zone,
			gossip->cpu_percent, key, now_us);
	g_hash_table_iter_init(&at, gossip->peers);
	while (g_hash_table_iter_next(&at, NULL, &value))
	{
		const struct comet_gossip_peer *peer = value;
		if (peer->last_seen_us == 0 || peer->silent || peer->leaving)
			continue;
		struct suitability one = suitability_of(peer->address, peer->began_us,
			peer->zone == zone, peer->cpu_percent, key, now_us);
		if (is_better(&one, &best) && (is_mute == NULL || !is_mute(ctx, one.address)))
			best = one;
	}
	return best.address;
}

/* The better of two VMs by score alone; addresses, 0: none. */
static uint32_t
higher(uint32_t key, uint32_t one, uint32_t other)
{
	if (one == 0 || other == 0)
		return one != 0 ? one : other;
	return comet_hash_score(key, one) > comet_hash_score(key, other) ? one : other;
}

uint32_t
comet_gossip_find_seed_owner(const struct comet_gossip *gossip, uint32_t key,
	comet_gossip_is_unresponsive is_mute, const void *ctx)
{
	uint32_t best = gossip->is_seed && !gossip->leaving ? gossip->address : 0;
	GHashTableIter at;
	gpointer value = NULL;

	g_hash_table_iter_init(&at, gossip->peers);
	while (g_hash_table_iter_next(&at, NULL, &value))
	{
		const struct comet_gossip_peer *peer = value;
		if (peer->seed && !peer->leaving && !is_mute(ctx, peer->address))
			best = higher(key, best, peer->address);
	}
	return best;
}

void
comet_gossip_count_zone_peers(
	const struct comet_gossip *gossip, uint64_t now_us, uint32_t *heard, uint32_t *better)
{
	struct suitability self = suitability_of(
		gossip->address, gossip->began_us, true, gossip->cpu_percent, gossip->zone, now_us);
	GHashTableIter at;
	gpointer value = NULL;

	*heard = 1;
	*better = 0;
	g_hash_table_iter_init(&at, gossip->peers);
	while (g_hash_table_iter_next(&at, NULL, &value))
	{
		const struct comet_gossip_peer *peer = value;
		if (!comet_gossip_is_alive(peer) || !comet_gossip_is_same_zone(gossip, peer) ||
			peer->leaving)
			continue;
		struct suitability one = suitability_of(peer->address, peer->began_us, true,
			peer->cpu_percent, gossip->zone, now_us);
		(*heard)++;
		*better += is_better(&one, &self) ? 1 : 0;
	}
}

bool
comet_gossip_is_zone_peer_alive(const struct comet_gossip *gossip, uint32_t address)
{
	const struct comet_gossip_peer *peer =
		g_hash_table_lookup(gossip->peers, GUINT_TO_POINTER(address));

	return peer != NULL && comet_gossip_is_alive(peer) &&
	       comet_gossip_is_same_zone(gossip, peer);
}
