/*
 * gossip_streams.c
 * selects the VMs that keep the version of a stream
 *
 * The copies of a record are placed in two availability zones if there are several, so that one of
 * them stays reachable in a partition. The VM that needs the record does not know the zone in which
 * the stream began, and asks the best VMs of all zones.
 */
#include <libcometspindle/gateway/fleet/gossip_state.h>

#include <libcometspindle/hash.h>

/* VMs of each zone that are asked: two may keep copies, and a VM that started later, or the one
 * that served the stream and has failed, may rank before them. */
#define ASKED_IN_ZONE 3

/* The VMs of a zone with the highest rendezvous scores, the best first. */
struct zone_owners
{
	uint32_t zone;
	uint32_t addresses[ASKED_IN_ZONE]; /* 0: none */
	uint64_t scores[ASKED_IN_ZONE];
};

static void
insert_owner(struct zone_owners *zone, uint32_t address, uint64_t score)
{
	for (uint32_t i = 0; i < ASKED_IN_ZONE; i++)
	{
		if (zone->addresses[i] != 0 && zone->scores[i] >= score)
			continue;
		for (uint32_t j = ASKED_IN_ZONE - 1; j > i; j--)
		{
			zone->addresses[j] = zone->addresses[j - 1];
			zone->scores[j] = zone->scores[j - 1];
		}
		zone->addresses[i] = address;
		zone->scores[i] = score;
		return;
	}
}

static struct zone_owners *
find_or_add_zone(GArray *zones, uint32_t zone)
{
	for (guint i = 0; i < zones->len; i++)
	{
		struct zone_owners *known = &g_array_index(zones, struct zone_owners, i);
		if (known->zone == zone)
			return known;
	}
	const struct zone_owners added = {.zone = zone};
	g_array_append_val(zones, added);
	return &g_array_index(zones, struct zone_owners, zones->len - 1);
}

/* @return an array of struct zone_owners for a stream, without this VM. */
static GArray *
find_owners(const struct comet_gossip *gossip, uint64_t stream)
{
	GArray *zones = g_array_new(FALSE, FALSE, sizeof(struct zone_owners));
	GHashTableIter at;
	gpointer value = NULL;

	g_hash_table_iter_init(&at, gossip->peers);
	while (g_hash_table_iter_next(&at, NULL, &value))
	{
		const struct comet_gossip_peer *peer = value;
		if (comet_gossip_is_alive(peer) && !peer->leaving && peer->stores_streams)
			insert_owner(find_or_add_zone(zones, peer->zone), peer->address,
				comet_hash_score(stream, peer->address));
	}
	return zones;
}

/* @return the best VM of the zones whose being this VM's zone is as given; NULL: there is none */
static const struct zone_owners *
best_zone(const struct comet_gossip *gossip, const GArray *zones, bool own)
{
	const struct zone_owners *best = NULL;

	for (guint i = 0; i < zones->len; i++)
	{
		const struct zone_owners *zone = &g_array_index(zones, struct zone_owners, i);
		if ((zone->zone == gossip->zone) == own &&
			(best == NULL || zone->scores[0] > best->scores[0]))
			best = zone;
	}
	return best;
}

void
comet_gossip_pick_stream_owners(const struct comet_gossip *gossip, uint64_t stream,
	uint32_t owners[COMET_GOSSIP_STREAM_COPIES])
{
	GArray *zones = find_owners(gossip, stream);
	const struct zone_owners *near = best_zone(gossip, zones, true);
	const struct zone_owners *far = best_zone(gossip, zones, false);

	owners[0] = near != NULL ? near->addresses[0] : 0;
	owners[1] = far != NULL ? far->addresses[0] : 0;
	if (near == NULL && far != NULL)
		owners[0] = far->addresses[1];
	if (far == NULL && near != NULL)
		owners[1] = near->addresses[1];
	g_array_free(zones, TRUE);
}

uint32_t
comet_gossip_list_stream_owners(
	const struct comet_gossip *gossip, uint64_t stream, uint32_t *owners, uint32_t max)
{
	GArray *zones = find_owners(gossip, stream);
	uint32_t count = 0;

	/* The best VMs of all zones first, in case that there are more zones than max. */
	for (uint32_t rank = 0; rank < ASKED_IN_ZONE; rank++)
	{
		for (guint i = 0; i < zones->len && count < max; i++)
		{
			uint32_t address =
				g_array_index(zones, struct zone_owners, i).addresses[rank];
			if (address != 0)
				owners[count++] = address;
		}
	}
	g_array_free(zones, TRUE);
	return count;
}

bool
comet_gossip_stores_streams(const struct comet_gossip *gossip, uint32_t address)
{
	const struct comet_gossip_peer *peer =
		g_hash_table_lookup(gossip->peers, GUINT_TO_POINTER(address));

	return peer != NULL && peer->stores_streams;
}
