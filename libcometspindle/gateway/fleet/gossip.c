/*
 * gossip.c
 * merges the gossip messages of other VMs and tracks which VMs are alive
 */
#include <libcometspindle/gateway/fleet/gossip_state.h>

#include <libcometspindle/hash.h>
#include <string.h>
#include <talloc.h>

/* A VM is unreachable after this many rounds without a gossip message, but not before the minimum
 * time. */
#define UNREACHABLE_ROUNDS 5
#define UNREACHABLE_MIN_US 1000000

/* A VM is removed after this time without a gossip message, because a replaced VM does not come
 * back. */
#define PEER_EXPIRY_US 20000000

/* Bounds on the known VMs, and on the teams stored for each of them: five times the VMs and three
 * times the teams of the largest deployment supported. Anyone who can reach the port may send
 * gossip messages with arbitrary entries. */
#define PEERS_MAX 2048
#define TEAMS_MAX 2048

/* Minimum time between early rounds to all VMs: a round to 380 VMs takes about 20 KB, and it
 * is enough if an update arrives within three seconds of its event. */
#define BROADCAST_INTERVAL_US 500000

static void
free_peer(gpointer data)
{
	struct comet_gossip_peer *peer = data;

	g_array_free(peer->loads, TRUE);
	g_array_free(peer->grants, TRUE);
	g_hash_table_destroy(peer->reported_spending);
	g_free(peer);
}

static int
gossip_destroy(struct comet_gossip *gossip)
{
	g_hash_table_destroy(gossip->peers);
	g_hash_table_destroy(gossip->zones);
	return 0;
}

/* @return the entry of a VM, which is added if needed; NULL if PEERS_MAX is reached. */
static struct comet_gossip_peer *
find_or_add_peer(struct comet_gossip *gossip, uint32_t address)
{
	struct comet_gossip_peer *peer =
		g_hash_table_lookup(gossip->peers, GUINT_TO_POINTER(address));

	if (peer == NULL && g_hash_table_size(gossip->peers) < PEERS_MAX)
	{
		peer = g_new0(struct comet_gossip_peer, 1);
		peer->address = address;
		peer->loads = g_array_new(FALSE, FALSE, sizeof(comet_Busy));
		peer->grants = g_array_new(FALSE, FALSE, sizeof(struct comet_gossip_grant));
		peer->reported_spending = g_hash_table_new_full(NULL, NULL, NULL, g_free);
		g_hash_table_insert(gossip->peers, GUINT_TO_POINTER(address), peer);
	}
	return peer;
}

struct comet_gossip *
comet_gossip_create(void *parent, const struct comet_gossip_config *config,
	struct comet_instances *instances, struct comet_rate_limiter *rate_limiter,
	const struct comet_gossip_ops *ops, void *ctx)
{
	struct comet_gossip *gossip = talloc_zero(parent, struct comet_gossip);

	gossip->address = config->address;
	gossip->incarnation = config->incarnation;
	gossip->started_us = config->now_us;
	gossip->window_ms = config->window_ms;
	gossip->zone = comet_hash_name(config->zone);
	gossip->near_bytes_per_s = config->near_bytes_per_s;
	gossip->far_bytes_per_s = config->far_bytes_per_s;
	gossip->cpu_percent = config->cpu_percent;
	gossip->instances = instances;
	gossip->rate_limiter = rate_limiter;
	gossip->crash_tracker = config->crash_tracker;
	gossip->crashing_parts = config->crashing_parts;
	gossip->ops = ops;
	gossip->ctx = ctx;
	gossip->view_bytes = 100;
	/* VMs with the same peers must not list the same ones. */
	gossip->next_peer = gossip->address;
	gossip->peers = g_hash_table_new_full(NULL, NULL, NULL, free_peer);
	gossip->zones = g_hash_table_new_full(NULL, NULL, NULL, g_free);
	talloc_set_destructor(gossip, gossip_destroy);
	for (size_t i = 0; i < config->n_seeds; i++)
	{
		bool is_self = config->seeds[i] == gossip->address;
		struct comet_gossip_peer *seed =
			is_self ? NULL : find_or_add_peer(gossip, config->seeds[i]);
		gossip->is_seed = gossip->is_seed || is_self;
		if (seed != NULL)
			seed->seed = true;
	}
	return gossip;
}

/* @return the part of the reported spending that is new if no earlier report for the team is
 * stored: what the peer spent within the window or, if the peer does not report that, the whole
 * amount if the peer is younger than the window or has reported before. */
static uint64_t
unreported_spending(
	const struct comet_gossip_peer *peer, const comet_Spent *spent, bool started_within_window)
{
	if (spent->lately > 0)
		return MIN(spent->lately, spent->amount);
	return started_within_window || peer->has_reported_spending ? spent->amount : 0;
}

/* Charges the team for what the peer has spent since its last report. */
static void
merge_spending(struct comet_gossip *gossip, struct comet_gossip_peer *peer,
	const comet_Spent *spent, bool started_within_window, uint64_t now_us)
{
	gpointer key = GUINT_TO_POINTER(spent->team);
	uint64_t *reported = g_hash_table_lookup(peer->reported_spending, key);

	if (reported == NULL && g_hash_table_size(peer->reported_spending) >= TEAMS_MAX)
		return;
	if (reported == NULL)
	{
		reported = g_new0(uint64_t, 1);
		*reported = spent->amount - unreported_spending(peer, spent, started_within_window);
		g_hash_table_insert(peer->reported_spending, key, reported);
	}
	if (spent->amount > *reported)
		comet_rate_limiter_merge_remote(gossip->rate_limiter, peer->address, spent->team,
			spent->amount - *reported, now_us);
	*reported = spent->amount;
	if (spent->recent > 0)
		comet_rate_limiter_merge_total(
			gossip->rate_limiter, spent->team, spent->recent, now_us);
}

static void
merge_peers(struct comet_gossip *gossip, const comet_View *view, uint64_t now_us)
{
	for (pb_size_t i = 0; i < view->peers_count; i++)
	{
		if (view->peers[i] == gossip->address || view->peers[i] == 0)
			continue;
		struct comet_gossip_peer *peer = find_or_add_peer(gossip, view->peers[i]);
		if (peer != NULL)
			peer->listed_us = now_us;
		if (peer != NULL && peer->first_known_us == 0)
		{
			peer->first_known_us = now_us;
			peer->needs_view = true;
		}
	}
}

/* Merges a limit that an endpoint advertised to another VM. */
static void
merge_limit(struct comet_gossip *gossip, const comet_AdvertisedLimit *reported, uint64_t now_us)
{
	struct comet_instance *instance =
		comet_instances_find_key(gossip->instances, reported->instance);
	uint64_t observed_us = now_us - MIN((uint64_t)reported->age_ms * 1000, now_us);

	if (instance != NULL)
		comet_advertised_limit_merge(&instance->limit,
			reported->active ? (double)reported->milli_per_s / 1000 : -1, observed_us);
}

/* Merges the report of another VM that an endpoint leaves. */
static void
merge_leaving(struct comet_gossip *gossip, const comet_LeavingEndpoint *reported, uint64_t now_us)
{
	struct comet_instance *instance =
		comet_instances_find_key(gossip->instances, reported->instance);

	if (instance != NULL)
		comet_instance_left(
			instance, now_us - MIN((uint64_t)reported->age_ms * 1000, now_us));
}

static void
merge_view(struct comet_gossip *gossip, struct comet_gossip_peer *peer, const comet_View *view,
	uint64_t now_us)
{
	bool restarted = peer->last_seen_us != 0 && peer->incarnation != view->incarnation;

	if (peer->first_known_us == 0)
		peer->first_known_us = now_us;
	if (restarted)
	{
		g_hash_table_remove_all(peer->reported_spending);
		comet_rate_limiter_vm_restarted(gossip->rate_limiter, peer->address);
		peer->has_reported_spending = false;
		g_array_set_size(peer->grants, 0);
	}
	if (peer->last_seen_us == 0)
		comet_gossip_peer_found(gossip);
	peer->needs_view = peer->needs_view || peer->last_seen_us == 0 || restarted;
	peer->isolated = view->peers_count == 0;
	if (peer->last_seen_us == 0 || peer->unreachable || restarted)
		gossip->ops->peer_state_changed(
			gossip->ctx, peer->address, true, restarted ? "restarted" : "heard");
	peer->incarnation = view->incarnation;
	peer->started_us = now_us - MIN((uint64_t)view->age_ms * 1000, now_us);
	peer->view_number = view->number;
	peer->last_seen_us = now_us;
	peer->unreachable = false;
	peer->leaving = view->leaving;
	peer->endpoints_unreachable = view->endpoints_unreachable;
	peer->stores_streams = view->stores_streams;
	peer->revision = view->revision;
	peer->zone = view->zone;
	peer->cpu_percent = view->cpu_percent;
	comet_gossip_set_loads(gossip, peer, view->busy, view->busy_count, now_us);
	for (pb_size_t i = 0; i < view->spent_count; i++)
		merge_spending(
			gossip, peer, &view->spent[i], view->age_ms < gossip->window_ms, now_us);
	for (pb_size_t i = 0; gossip->crash_tracker != NULL && i < view->crashed_count; i++)
		comet_crash_tracker_merge(gossip->crash_tracker, &view->crashed[i], now_us);
	for (pb_size_t i = 0; gossip->crashing_parts != NULL && i < view->crashed_parts_count; i++)
		comet_crash_tracker_merge(gossip->crashing_parts, &view->crashed_parts[i], now_us);
	for (pb_size_t i = 0; i < view->limits_count; i++)
		merge_limit(gossip, &view->limits[i], now_us);
	for (pb_size_t i = 0; i < view->leaving_endpoints_count; i++)
		merge_leaving(gossip, &view->leaving_endpoints[i], now_us);
	peer->has_reported_spending = true;
	comet_instances_set_gossip_time(gossip->instances, now_us);
}

bool
comet_gossip_receive(struct comet_gossip *gossip, const comet_View *view, uint64_t now_us)
{
	if (view->address == 0)
		return false;
	if (view->address == gossip->address)
		return true; /* sent by this VM, or by the VM that it replaced at this address */
	struct comet_gossip_peer *peer = find_or_add_peer(gossip, view->address);
	if (peer == NULL)
		return true;
	/* A datagram that arrived out of order. */
	if (peer->incarnation == view->incarnation && view->number <= peer->view_number)
		return true;
	merge_view(gossip, peer, view, now_us);
	merge_peers(gossip, view, now_us);
	if (view->pass_on != 0 && !comet_gossip_is_same_zone(gossip, peer))
		comet_gossip_forward_to_zone(gossip, view);
	return true;
}

/* Marks VMs as unreachable, and removes those without a gossip message for PEER_EXPIRY_US. Seeds
 * are kept. */
static void
expire_peers(struct comet_gossip *gossip, uint64_t now_us)
{
	uint64_t zone_timeout_us =
		MAX(UNREACHABLE_ROUNDS * comet_gossip_round_interval_us(gossip, true),
			UNREACHABLE_MIN_US);
	uint64_t other_timeout_us =
		MAX(UNREACHABLE_ROUNDS * comet_gossip_round_interval_us(gossip, false),
			UNREACHABLE_MIN_US);
	GHashTableIter at;
	gpointer value = NULL;

	g_hash_table_iter_init(&at, gossip->peers);
	while (g_hash_table_iter_next(&at, NULL, &value))
	{
		struct comet_gossip_peer *peer = value;
		uint64_t last_us = MAX(peer->last_seen_us, peer->first_known_us);
		uint64_t timeout_us = comet_gossip_is_same_zone(gossip, peer) ? zone_timeout_us
									      : other_timeout_us;
		if (!peer->unreachable && peer->last_seen_us != 0 &&
			now_us - peer->last_seen_us > timeout_us)
		{
			peer->unreachable = true;
			g_array_set_size(peer->grants, 0);
			comet_gossip_set_loads(gossip, peer, NULL, 0, now_us);
			gossip->ops->peer_state_changed(gossip->ctx, peer->address, false,
				peer->leaving ? "stopped" : "silent");
		}
		if (!peer->seed && last_us != 0 && now_us - last_us > PEER_EXPIRY_US)
		{
			comet_gossip_peer_lost(gossip, peer, now_us);
			g_hash_table_iter_remove(&at);
		}
	}
}

void
comet_gossip_tick(struct comet_gossip *gossip, uint64_t now_us)
{
	comet_gossip_count_zones(gossip);
	expire_peers(gossip, now_us);
	comet_gossip_refresh_loads(gossip);
	uint64_t all_interval_us = comet_gossip_round_interval_us(gossip, false);
	if (gossip->broadcast_pending)
		all_interval_us = MIN(all_interval_us, BROADCAST_INTERVAL_US);
	bool all_zones = now_us - gossip->all_sent_us >= all_interval_us;
	bool same_zone =
		now_us - gossip->zone_sent_us >= comet_gossip_round_interval_us(gossip, true);
	if (same_zone || all_zones)
		comet_gossip_send_round(gossip, all_zones, now_us);
	comet_gossip_send_to_new_peers(gossip, now_us);
}

void
comet_gossip_schedule_broadcast(struct comet_gossip *gossip)
{
	gossip->broadcast_pending = true;
}

void
comet_gossip_set_revision(struct comet_gossip *gossip, uint64_t revision)
{
	gossip->revision = revision;
}

void
comet_gossip_set_endpoints_unreachable(struct comet_gossip *gossip, bool unreachable)
{
	gossip->endpoints_unreachable = unreachable;
	comet_gossip_schedule_broadcast(gossip);
}

bool
comet_gossip_reaches_endpoints(const struct comet_gossip *gossip, uint32_t address)
{
	const struct comet_gossip_peer *peer =
		g_hash_table_lookup(gossip->peers, GUINT_TO_POINTER(address));

	return peer == NULL || !peer->endpoints_unreachable;
}

void
comet_gossip_leave(struct comet_gossip *gossip, uint64_t now_us)
{
	gossip->leaving = true;
	comet_gossip_send_round(gossip, true, now_us);
}

void
comet_gossip_count_peers(const struct comet_gossip *gossip, uint32_t *known, uint32_t *alive)
{
	GHashTableIter at;
	gpointer value = NULL;

	uint32_t seeds = 0;

	*known = 0;
	*alive = 0;
	g_hash_table_iter_init(&at, gossip->peers);
	while (g_hash_table_iter_next(&at, NULL, &value))
	{
		const struct comet_gossip_peer *peer = value;
		bool gone = peer->leaving && peer->unreachable;
		seeds += peer->seed ? 1 : 0;
		if (peer->last_seen_us == 0 || gone)
			continue;
		(*known)++;
		*alive += peer->unreachable ? 0 : 1;
	}
	if (*known == 0)
	{
		/* This VM may be partitioned from all others, so it must not assume that it is
		 * the only one. */
		*known = seeds;
	}
}

uint64_t
comet_gossip_unreachable_since_us(const struct comet_gossip *gossip)
{
	uint64_t first_us = 0;
	GHashTableIter at;
	gpointer value = NULL;

	g_hash_table_iter_init(&at, gossip->peers);
	while (g_hash_table_iter_next(&at, NULL, &value))
	{
		const struct comet_gossip_peer *peer = value;
		if (peer->last_seen_us == 0 || !peer->unreachable || peer->leaving)
			continue;
		first_us = first_us == 0 ? peer->last_seen_us : MIN(first_us, peer->last_seen_us);
	}
	return first_us;
}

size_t
comet_gossip_entry_count(const struct comet_gossip *gossip)
{
	size_t sum = g_hash_table_size(gossip->peers);
	GHashTableIter at;
	gpointer value = NULL;

	g_hash_table_iter_init(&at, gossip->peers);
	while (g_hash_table_iter_next(&at, NULL, &value))
		sum += g_hash_table_size(
			((const struct comet_gossip_peer *)value)->reported_spending);
	return sum;
}

/* @return whether a VM is reachable and has read more of the directory. */
static bool
has_newer_revision(const struct comet_gossip_peer *peer, uint64_t revision)
{
	return !peer->unreachable && peer->revision > revision;
}

/* @return the VM at an index among those with a newer revision, in this zone or in others; 0: none.
 */
static uint32_t
nth_newer_peer(const struct comet_gossip *gossip, uint64_t revision, bool same_zone, uint32_t index)
{
	GHashTableIter at;
	gpointer value = NULL;

	g_hash_table_iter_init(&at, gossip->peers);
	while (g_hash_table_iter_next(&at, NULL, &value))
	{
		const struct comet_gossip_peer *peer = value;
		if (!has_newer_revision(peer, revision) ||
			comet_gossip_is_same_zone(gossip, peer) != same_zone)
			continue;
		if (index-- == 0)
			return peer->address;
	}
	return 0;
}

uint64_t
comet_gossip_newest_revision(const struct comet_gossip *gossip)
{
	uint64_t newest = 0;
	GHashTableIter at;
	gpointer value = NULL;

	g_hash_table_iter_init(&at, gossip->peers);
	while (g_hash_table_iter_next(&at, NULL, &value))
	{
		const struct comet_gossip_peer *peer = value;
		if (!peer->unreachable)
			newest = MAX(newest, peer->revision);
	}
	return newest;
}

uint32_t
comet_gossip_pick_newer_peer(const struct comet_gossip *gossip, uint64_t revision, uint32_t draw)
{
	uint32_t zone_count = 0;
	uint32_t other_count = 0;
	GHashTableIter at;
	gpointer value = NULL;

	g_hash_table_iter_init(&at, gossip->peers);
	while (g_hash_table_iter_next(&at, NULL, &value))
	{
		const struct comet_gossip_peer *peer = value;
		if (!has_newer_revision(peer, revision))
			continue;
		zone_count += comet_gossip_is_same_zone(gossip, peer) ? 1 : 0;
		other_count += comet_gossip_is_same_zone(gossip, peer) ? 0 : 1;
	}
	if (zone_count > 0)
		return nth_newer_peer(gossip, revision, true, draw % zone_count);
	return other_count > 0 ? nth_newer_peer(gossip, revision, false, draw % other_count) : 0;
}

uint64_t
comet_gossip_interval_us(const struct comet_gossip *gossip)
{
	return comet_gossip_round_interval_us(gossip, false);
}
