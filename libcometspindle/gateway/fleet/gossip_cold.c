/*
 * gossip_cold.c
 * answers what the share of this VM in limits and in the requests to cold endpoints depends on:
 * which VMs may be alive, which of them are preferred as owners, and which are older
 *
 * docs/design/cold-endpoints.md states why the shares of all VMs add up to one at most.
 */
#include <libcometspindle/gateway/fleet/discovery.h>
#include <libcometspindle/gateway/fleet/gossip_state.h>

#include <libcometspindle/hash.h>

/* A VM that another VM has listed within this time may be alive although this VM does not hear it.
 * Each round of gossip messages lists every VM about twelve times, and rounds are at most two
 * seconds apart. */
#define LISTED_US 1000000

/* Age up to which a VM that has sent no gossip yet means that discovery goes on: the maximum time
 * of discovery (discovery.c). Until then the fraction of the VMs that this VM hears limits its
 * share. */
#define DISCOVERY_MAX_US 4000000

/* Age from which VMs that have sent no gossip count as preferred ones. Positions are looked up
 * every 0.2 s (placement_cold.c), and the new one has to count before discovery ends. */
#define UNHEARD_PREFERRED_AGE_US 3500000

/* VMs that started within this time of each other started together: none of them has decided on a
 * request before the others were there (MIN_AGE_US in cold_share.c). */
#define OLDER_MIN_US 500000

/* VMs that expired without notice may be alive on the other side of a partition. They are counted
 * for one to two of these periods, in which a partition is repaired or the VMs are replaced. */
#define LOST_PERIOD_US 300000000

static bool
is_listed(const struct comet_gossip_peer *peer, uint64_t now_us)
{
	return peer->listed_us != 0 && now_us - peer->listed_us < LISTED_US;
}

/* @return whether a VM that may be alive is preferred over this one as the owner of a key. The
 * order is that of find_owner() in gossip_owners.c, without the age of a process, which differs
 * between VMs for a moment each time a VM grows old enough. */
static bool
is_preferred(const struct comet_gossip *gossip, const struct comet_gossip_peer *peer, uint32_t key,
	uint32_t zone)
{
	bool zone_differs = (peer->zone == zone) != (gossip->zone == zone);

	if (zone_differs)
		return peer->zone == zone;
	if (peer->cpu_percent != gossip->cpu_percent)
		return peer->cpu_percent > gossip->cpu_percent;
	return comet_hash_score(key, peer->address) > comet_hash_score(key, gossip->address);
}

uint32_t
comet_gossip_count_preferred(
	const struct comet_gossip *gossip, uint32_t key, uint32_t zone, uint64_t now_us)
{
	bool is_new = now_us - gossip->started_us < UNHEARD_PREFERRED_AGE_US;
	uint32_t count = 0;
	GHashTableIter at;
	gpointer value = NULL;

	if (gossip->leaving)
		return UINT32_MAX;
	g_hash_table_iter_init(&at, gossip->peers);
	while (g_hash_table_iter_next(&at, NULL, &value))
	{
		const struct comet_gossip_peer *peer = value;
		bool unheard = peer->last_seen_us == 0;
		if (peer->leaving || !(comet_gossip_is_alive(peer) || is_listed(peer, now_us)))
			continue;
		/* The zone and the processor share of a VM are not known before its gossip. */
		if (unheard ? !is_new : is_preferred(gossip, peer, key, zone))
			count++;
	}
	return count;
}

/* @return the number of VMs that expired without notice in this period or the one before. */
static uint32_t
count_lost(const struct comet_gossip *gossip, uint64_t now_us)
{
	uint64_t passed = now_us / LOST_PERIOD_US - gossip->lost_period;

	if (passed > 1)
		return 0;
	return gossip->lost_vms[0] + (passed == 0 ? gossip->lost_vms[1] : 0);
}

uint32_t
comet_gossip_count_spenders(const struct comet_gossip *gossip, uint64_t now_us)
{
	uint32_t known = 0;
	uint32_t alive = 0;

	comet_gossip_count_peers(gossip, &known, &alive);
	if (known > 0 && !gossip->has_found_peers)
		return MAX(known + 1, COMET_DISCOVERY_ASSUMED_VMS);
	return known + 1 + count_lost(gossip, now_us);
}

void
comet_gossip_observe_vms(
	const struct comet_gossip *gossip, struct comet_cold_vms *vms, uint64_t now_us)
{
	bool is_new = now_us - gossip->started_us < DISCOVERY_MAX_US;
	uint32_t seeds = 0;
	GHashTableIter at;
	gpointer value = NULL;

	*vms = (struct comet_cold_vms){
		.heard = 1, .known = 1, .age_us = now_us - gossip->started_us};
	g_hash_table_iter_init(&at, gossip->peers);
	while (g_hash_table_iter_next(&at, NULL, &value))
	{
		const struct comet_gossip_peer *peer = value;
		bool heard = peer->last_seen_us != 0 && !peer->unreachable && !peer->leaving;
		seeds += peer->seed ? 1 : 0;
		vms->heard += heard ? 1 : 0;
		vms->known += peer->first_known_us != 0 && !peer->leaving ? 1 : 0;
		if (peer->last_seen_us == 0 && peer->first_known_us != 0 && is_new)
			vms->discovering = true;
		if (heard && peer->started_us + OLDER_MIN_US < gossip->started_us)
			vms->is_younger = true;
	}
	/* This VM may be cut off from all others, so it must not assume that it is the only one. */
	if (vms->known == 1)
		vms->known += seeds;
	vms->known += count_lost(gossip, now_us);
}

void
comet_gossip_peer_found(struct comet_gossip *gossip)
{
	uint32_t *lost = &gossip->lost_vms[gossip->lost_vms[0] > 0 ? 0 : 1];

	gossip->has_found_peers = true;
	*lost -= MIN(*lost, 1);
}

void
comet_gossip_peer_lost(
	struct comet_gossip *gossip, const struct comet_gossip_peer *peer, uint64_t now_us)
{
	uint64_t period = now_us / LOST_PERIOD_US;

	if (peer->last_seen_us == 0 || peer->leaving)
		return;
	if (period != gossip->lost_period)
	{
		gossip->lost_vms[1] = period == gossip->lost_period + 1 ? gossip->lost_vms[0] : 0;
		gossip->lost_vms[0] = 0;
		gossip->lost_period = period;
	}
	gossip->lost_vms[0]++;
}
