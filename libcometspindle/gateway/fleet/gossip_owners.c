/*
 * gossip_owners.c
 * selects the owner of a key by rendezvous hashing
 *
 * VMs with the same set of alive peers select the same owner.
 */
#include <libcometspindle/gateway/fleet/gossip_state.h>

#include <libcometspindle/hash.h>

/* Minimum process age of an owner: by then it has received the load reports of the other VMs. */
#define OWNER_MIN_AGE_US 3000000

/* Minimum process age if all VMs have just started: no VM knows the earlier load then, and one that
 * has found the others is good enough. */
#define STARTUP_OWNER_MIN_AGE_US 500000

/* A VM that may own a key, with the properties that decide. */
struct candidate
{
	uint32_t address;    /* 0: not eligible */
	bool has_peer_state; /* it has run long enough to know the load of the other VMs */
	bool same_zone;      /* it is in the zone of the key */
	uint32_t cpu_percent;
	uint64_t score;
};

static struct candidate
make_candidate(uint32_t address, uint64_t started_us, bool same_zone, uint32_t cpu_percent,
	uint32_t key, uint64_t now_us)
{
	uint64_t age_us = now_us - started_us;

	return (struct candidate){
		.address = age_us >= STARTUP_OWNER_MIN_AGE_US ? address : 0,
		.has_peer_state = age_us >= OWNER_MIN_AGE_US,
		.same_zone = same_zone,
		.cpu_percent = cpu_percent,
		.score = comet_hash_score(key, address),
	};
}

/* @return whether a candidate is preferred over the best one so far. */
static bool
is_preferred(const struct candidate *candidate, const struct candidate *best)
{
	if (candidate->address == 0 || best->address == 0)
		return candidate->address != 0;
	if (candidate->has_peer_state != best->has_peer_state)
		return candidate->has_peer_state;
	if (candidate->same_zone != best->same_zone)
		return candidate->same_zone;
	/* An owner that is short of CPU leaves slot requests unanswered in a burst, and the
	 * requests behind them then overload endpoints. */
	if (candidate->cpu_percent != best->cpu_percent)
		return candidate->cpu_percent > best->cpu_percent;
	return candidate->score > best->score;
}

uint32_t
comet_gossip_find_owner(
	const struct comet_gossip *gossip, uint32_t key, uint32_t zone, uint64_t now_us)
{
	return comet_gossip_find_responsive_owner(gossip, key, zone, NULL, NULL, now_us);
}

/* Conditions on an owner. */
struct owner_query
{
	uint32_t key;
	uint32_t zone;
	bool reaches_endpoints;                       /* it must have links to endpoints */
	comet_gossip_is_unresponsive is_unresponsive; /* NULL: any VM that is alive */
	const void *ctx;
};

/* @return the best VM that meets the conditions; 0: there is none. */
static uint32_t
find_owner(const struct comet_gossip *gossip, const struct owner_query *query, uint64_t now_us)
{
	struct candidate best = {0};
	GHashTableIter at;
	gpointer value = NULL;

	if (!gossip->leaving && !(query->reaches_endpoints && gossip->endpoints_unreachable))
		best = make_candidate(gossip->address, gossip->started_us,
			gossip->zone == query->zone, gossip->cpu_percent, query->key, now_us);
	g_hash_table_iter_init(&at, gossip->peers);
	while (g_hash_table_iter_next(&at, NULL, &value))
	{
		const struct comet_gossip_peer *peer = value;
		if (peer->last_seen_us == 0 || peer->unreachable || peer->leaving ||
			(query->reaches_endpoints && peer->endpoints_unreachable))
			continue;
		struct candidate candidate = make_candidate(peer->address, peer->started_us,
			peer->zone == query->zone, peer->cpu_percent, query->key, now_us);
		if (is_preferred(&candidate, &best) &&
			(query->is_unresponsive == NULL ||
				!query->is_unresponsive(query->ctx, candidate.address)))
			best = candidate;
	}
	return best.address;
}

uint32_t
comet_gossip_find_responsive_owner(const struct comet_gossip *gossip, uint32_t key, uint32_t zone,
	comet_gossip_is_unresponsive is_unresponsive, const void *ctx, uint64_t now_us)
{
	const struct owner_query query = {key, zone, false, is_unresponsive, ctx};

	return find_owner(gossip, &query, now_us);
}

uint32_t
comet_gossip_find_shard_owner(const struct comet_gossip *gossip, uint32_t key, uint32_t zone,
	comet_gossip_is_unresponsive is_unresponsive, const void *ctx, uint64_t now_us)
{
	const struct owner_query query = {key, zone, true, is_unresponsive, ctx};
	uint32_t owner = find_owner(gossip, &query, now_us);

	return owner != 0 ? owner
			  : comet_gossip_find_responsive_owner(
				    gossip, key, zone, is_unresponsive, ctx, now_us);
}

/* VMs that may take requests of a VM without links to endpoints. */
struct endpoint_peers
{
	uint32_t excluded;
	bool stores_streams; /* its release has to know the versions of streams */
	uint32_t near;       /* VMs of this zone with links */
	uint32_t near_lost;  /* VMs of this zone without links, other than this one */
	uint32_t all;        /* VMs of all zones with links */
};

static bool
is_endpoint_peer(const struct endpoint_peers *peers, const struct comet_gossip_peer *peer)
{
	return comet_gossip_is_alive(peer) && !peer->leaving && !peer->endpoints_unreachable &&
	       peer->address != peers->excluded && (peer->stores_streams || !peers->stores_streams);
}

static struct endpoint_peers
count_endpoint_peers(const struct comet_gossip *gossip, uint32_t excluded, bool stores_streams)
{
	struct endpoint_peers peers = {.excluded = excluded, .stores_streams = stores_streams};
	GHashTableIter at;
	gpointer value = NULL;

	g_hash_table_iter_init(&at, gossip->peers);
	while (g_hash_table_iter_next(&at, NULL, &value))
	{
		const struct comet_gossip_peer *peer = value;
		bool near = comet_gossip_is_same_zone(gossip, peer);
		bool usable = is_endpoint_peer(&peers, peer);
		peers.all += usable ? 1 : 0;
		peers.near += usable && near ? 1 : 0;
		peers.near_lost +=
			near && comet_gossip_is_alive(peer) && peer->endpoints_unreachable ? 1 : 0;
	}
	return peers;
}

uint32_t
comet_gossip_pick_endpoint_peer(
	const struct comet_gossip *gossip, uint32_t excluded, bool stores_streams, uint32_t draw)
{
	const struct endpoint_peers peers = count_endpoint_peers(gossip, excluded, stores_streams);
	bool near_only = peers.near > peers.near_lost;
	uint32_t count = near_only ? peers.near : peers.all;
	GHashTableIter at;
	gpointer value = NULL;

	if (count == 0)
		return 0;
	uint32_t skipped = draw % count;
	g_hash_table_iter_init(&at, gossip->peers);
	while (g_hash_table_iter_next(&at, NULL, &value))
	{
		const struct comet_gossip_peer *peer = value;
		if (!is_endpoint_peer(&peers, peer) ||
			(near_only && !comet_gossip_is_same_zone(gossip, peer)))
			continue;
		if (skipped-- == 0)
			return peer->address;
	}
	return 0;
}

/* @return the address with the higher rendezvous score; 0: none. */
static uint32_t
higher_score(uint32_t key, uint32_t first, uint32_t second)
{
	if (first == 0 || second == 0)
		return first != 0 ? first : second;
	return comet_hash_score(key, first) > comet_hash_score(key, second) ? first : second;
}

uint32_t
comet_gossip_find_seed_owner(const struct comet_gossip *gossip, uint32_t key,
	comet_gossip_is_unresponsive is_unresponsive, const void *ctx)
{
	uint32_t best = gossip->is_seed && !gossip->leaving ? gossip->address : 0;
	GHashTableIter at;
	gpointer value = NULL;

	g_hash_table_iter_init(&at, gossip->peers);
	while (g_hash_table_iter_next(&at, NULL, &value))
	{
		const struct comet_gossip_peer *peer = value;
		if (peer->seed && !peer->leaving && !is_unresponsive(ctx, peer->address))
			best = higher_score(key, best, peer->address);
	}
	return best;
}

void
comet_gossip_count_zone_peers(
	const struct comet_gossip *gossip, uint64_t now_us, uint32_t *alive, uint32_t *better)
{
	struct candidate self = make_candidate(gossip->address, gossip->started_us, true,
		gossip->cpu_percent, gossip->zone, now_us);
	GHashTableIter at;
	gpointer value = NULL;

	*alive = 1;
	*better = 0;
	g_hash_table_iter_init(&at, gossip->peers);
	while (g_hash_table_iter_next(&at, NULL, &value))
	{
		const struct comet_gossip_peer *peer = value;
		if (!comet_gossip_is_alive(peer) || !comet_gossip_is_same_zone(gossip, peer) ||
			peer->leaving)
			continue;
		struct candidate candidate = make_candidate(peer->address, peer->started_us, true,
			peer->cpu_percent, gossip->zone, now_us);
		(*alive)++;
		*better += is_preferred(&candidate, &self) ? 1 : 0;
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
