/*
 * gossip_rounds.c
 * what this VM tells the others of itself, to whom and how often
 *
 * VMs of the own zone are sent every view. A large zone beyond is sent them
 * through a few of its VMs, which pass them on, since bytes between zones cost.
 */
#include <libcometspindle/gateway/fleet/gossip_state.h>

#include <libcometspindle/hash.h>
#include <string.h>

/* Rounds of views come no closer than this: a tenth of the shortest aims. */
#define INTERVAL_MIN_US 100000

/* And no further apart: the window of team limits is some seconds long. */
#define INTERVAL_MAX_US 2000000

/* A silent VM, or a seed that was never heard, is asked again this often: a cut or a frozen VM
 * lasts seconds. */
#define RETRY_US 1000000

/* A process asks seeds more often for its first seconds: where all have started at once, the seeds
 * may have been the last, and until VMs have found each other their sums are guesses. */
#define FIRST_RETRY_US 100000
#define FIRST_RETRIES_FOR_US 3000000

/* A zone with at least so many VMs is sent views through some of them: bytes between zones cost. */
#define RELAYED_MIN 8

/* What a team has spent is told in each view for so long after it last spent something: some
 * rounds, of which one may be lost. */
#define SPENT_FRESH_US (4 * INTERVAL_MAX_US)

/* The other teams are told of in turn, so many in a view: for VMs that have just started, and for
 * what was lost. */
#define SPENT_IN_TURN 6

/* A zone with at least so many VMs is told by each of its relays in halves: twice the same would
 * double what all its VMs receive. */
#define HALVED_MIN 24

/* Whom a relay passes a view on to; as View.pass_on. */
enum pass_on
{
	PASS_ON_NONE,
	PASS_ON_ALL,
	PASS_ON_EVEN, /* addresses */
	PASS_ON_ODD,
};

/* Bytes on the wire beside the view itself: IP and UDP headers. */
#define HEADER_BYTES 28

/* Counts a VM of another zone, and considers it as relay: those with the highest scores of this
 * round are. */
static void
count_far(struct comet_gossip *gossip, const struct comet_gossip_peer *peer)
{
	gpointer id = GUINT_TO_POINTER(peer->zone);
	struct comet_gossip_zone *zone = g_hash_table_lookup(gossip->zones, id);
	uint64_t score = comet_hash_score(gossip->number ^ gossip->address, peer->address);
	uint32_t relay = peer->address;

	if (zone == NULL)
	{
		zone = g_new0(struct comet_gossip_zone, 1);
		g_hash_table_insert(gossip->zones, id, zone);
	}
	zone->count++;
	for (int i = 0; i < COMET_GOSSIP_RELAYS && !peer->leaving; i++)
	{
		if (score <= zone->scores[i])
			continue;
		uint64_t lower_score = zone->scores[i];
		uint32_t lower = zone->relays[i];
		zone->scores[i] = score;
		zone->relays[i] = relay;
		score = lower_score;
		relay = lower;
	}
}

void
comet_gossip_count_zones(struct comet_gossip *gossip)
{
	GHashTableIter at;
	gpointer value = NULL;

	g_hash_table_remove_all(gossip->zones);
	gossip->near_count = 0;
	gossip->far_count = 0;
	g_hash_table_iter_init(&at, gossip->peers);
	while (g_hash_table_iter_next(&at, NULL, &value))
	{
		const struct comet_gossip_peer *peer = value;
		gossip->near_count += comet_gossip_is_same_zone(gossip, peer) ? 1 : 0;
		gossip->far_count += comet_gossip_is_same_zone(gossip, peer) ? 0 : 1;
		if (comet_gossip_is_alive(peer) && !comet_gossip_is_same_zone(gossip, peer))
			count_far(gossip, peer);
	}
}

/* Is a VM sent views through relays of its zone? */
static bool
is_relayed(const struct comet_gossip *gossip, const struct comet_gossip_peer *peer)
{
	const struct comet_gossip_zone *zone =
		g_hash_table_lookup(gossip->zones, GUINT_TO_POINTER(peer->zone));

	return comet_gossip_is_alive(peer) && !comet_gossip_is_same_zone(gossip, peer) &&
	       zone != NULL && zone->count >= RELAYED_MIN;
}

/* Datagrams that a round sends to other zones. */
static uint32_t
far_datagrams(const struct comet_gossip *gossip)
{
	uint32_t sum = gossip->far_count;
	GHashTableIter at;
	gpointer value = NULL;

	g_hash_table_iter_init(&at, gossip->zones);
	while (g_hash_table_iter_next(&at, NULL, &value))
	{
		const struct comet_gossip_zone *zone = value;
		if (zone->count >= RELAYED_MIN)
			sum -= zone->count - COMET_GOSSIP_RELAYS;
	}
	return sum;
}

/* Time in which so many views take no more than a budget. */
static uint64_t
spread_us(const struct comet_gossip *gossip, uint32_t count, uint32_t bytes_per_s)
{
	uint64_t bytes = (uint64_t)(gossip->last_bytes + HEADER_BYTES) * count;

	return bytes * 1000000 / MAX(bytes_per_s, 1);
}

/* What comes from other zones is passed on within the zone, which takes from the budget there. */
uint64_t
comet_gossip_round_interval_us(const struct comet_gossip *gossip, bool near)
{
	uint64_t own_us = near ? spread_us(gossip, gossip->near_count, gossip->near_bytes_per_s)
			       : spread_us(gossip, far_datagrams(gossip), gossip->far_bytes_per_s);
	uint64_t passed_us =
		near ? 0 : spread_us(gossip, gossip->far_count, gossip->near_bytes_per_s);

	return CLAMP(MAX(own_us, passed_us), INTERVAL_MIN_US, INTERVAL_MAX_US);
}

static void
put_busy(void *ctx, struct comet_instance *instance)
{
	comet_View *view = ctx;

	if (instance->own == 0 || view->busy_count >= G_N_ELEMENTS(view->busy))
		return;
	view->busy[view->busy_count++] = (comet_Busy){
		.instance = instance->key,
		.running = instance->own,
		.prompt_tokens = instance->local_prompt_tokens,
	};
}

struct put_spent
{
	comet_View *view;
	uint64_t now_us;
	uint32_t skip; /* teams that have not spent of late, before those whose turn it is */
	uint32_t seen; /* of these */
	uint32_t told; /* of these */
};

/* Puts teams that have spent something of late, and of the others some in turn. */
static void
put_spent(void *ctx, const struct comet_rate_limiter_report *report)
{
	struct put_spent *put = ctx;
	comet_View *view = put->view;
	bool fresh = report->last_us != 0 && put->now_us - report->last_us < SPENT_FRESH_US;

	if (!fresh && (put->seen++ < put->skip || put->told >= SPENT_IN_TURN))
		return;
	if (view->spent_count >= G_N_ELEMENTS(view->spent))
		return;
	put->told += fresh ? 0 : 1;
	view->spent[view->spent_count++] = (comet_Spent){
		.team = report->team_id,
		.amount = report->spent,
		.recent = report->recent,
		.lately = report->lately,
	};
}

/* May a VM be named to others? */
static bool
is_named(const struct comet_gossip_peer *peer)
{
	return !peer->silent && !peer->leaving && peer->last_seen_us != 0;
}

/* Names VMs from a place on; zone: those of that zone alone, or 0. */
static void
name_peers(struct comet_gossip *gossip, comet_View *view, uint32_t from, uint32_t zone)
{
	GHashTableIter at;
	gpointer value = NULL;

	/* Two passes, so that all of them are named in turn. */
	for (int pass = 0; pass < 2; pass++)
	{
		uint32_t index = 0;
		g_hash_table_iter_init(&at, gossip->peers);
		while (g_hash_table_iter_next(&at, NULL, &value))
		{
			const struct comet_gossip_peer *peer = value;
			bool mine = (index++ >= from) == (pass == 0);
			if (mine && is_named(peer) && (zone == 0 || peer->zone == zone) &&
				view->peers_count < G_N_ELEMENTS(view->peers))
				view->peers[view->peers_count++] = peer->address;
		}
	}
}

/* Names some VMs, others each time. zone: of a VM that seeks others, which those of its zone must
 * hear of; 0: for all. */
static void
put_peers(struct comet_gossip *gossip, comet_View *view, uint32_t zone)
{
	uint32_t count = g_hash_table_size(gossip->peers);

	if (count == 0)
		return;
	if (zone != 0)
		name_peers(gossip, view, gossip->peers_turn % count, zone);
	if (view->peers_count == 0)
		name_peers(gossip, view, gossip->peers_turn % count, 0);
	gossip->peers_turn += MAX(view->peers_count, 1);
}

/* Builds this VM's view. @return its length. */
static size_t
build(struct comet_gossip *gossip, uint8_t data[COMET_DATAGRAM_BYTES_MAX], bool far, uint32_t zone,
	uint64_t now_us)
{
	comet_Datagram *datagram = &gossip->scratch;
	comet_View *view = &datagram->body.view;
	struct put_spent put = {.view = view, .now_us = now_us, .skip = gossip->spent_turn};

	memset(datagram, 0, sizeof *datagram);
	datagram->which_body = comet_Datagram_view_tag;
	view->incarnation = gossip->incarnation;
	view->number = ++gossip->number;
	view->address = gossip->address;
	view->leaving = gossip->leaving;
	view->revision = gossip->revision;
	view->zone = gossip->zone;
	view->cpu_percent = gossip->cpu_percent;
	view->age_ms = (uint32_t)MIN((now_us - gossip->began_us) / 1000, UINT32_MAX);
	comet_instances_each(gossip->instances, put_busy, view);
	comet_rate_limiter_each(gossip->rate_limiter, now_us, put_spent, &put);
	if (far)
		comet_rate_limiter_mark_reported(gossip->rate_limiter);
	gossip->spent_turn += put.told;
	if (gossip->spent_turn >= put.seen)
		gossip->spent_turn = 0;
	put_peers(gossip, view, zone);
	if (gossip->crash_tracker != NULL)
		view->crashed_count = (pb_size_t)comet_crash_tracker_encode(
			gossip->crash_tracker, view->crashed, G_N_ELEMENTS(view->crashed), now_us);
	view->pass_on = PASS_ON_ALL; /* sized with the mark that relays get */
	while (comet_datagram_encode(datagram, data) == 0 && view->busy_count > 0)
		view->busy_count /= 2; /* too large for one frame: the rest stays untold */
	view->pass_on = PASS_ON_NONE;
	return comet_datagram_encode(datagram, data);
}

/* Is it time to send to this VM? Silent ones, and seeds never heard, are asked now and then. */
static bool
is_due(const struct comet_gossip *gossip, const struct comet_gossip_peer *peer, uint64_t now_us)
{
	bool there = peer->last_seen_us != 0 && !peer->silent;
	bool young = now_us - gossip->began_us < FIRST_RETRIES_FOR_US;
	uint64_t retry_us = young ? FIRST_RETRY_US : RETRY_US;

	return there || peer->asked_us == 0 || now_us - peer->asked_us >= retry_us;
}

/* Sends this VM's view to the relays of another zone. */
static void
send_to_relays_of(struct comet_gossip *gossip, const struct comet_gossip_zone *zone)
{
	uint8_t data[COMET_DATAGRAM_BYTES_MAX];

	for (int i = 0; i < COMET_GOSSIP_RELAYS; i++)
	{
		if (zone->relays[i] == 0)
			continue;
		gossip->scratch.body.view.pass_on =
			zone->count >= HALVED_MIN ? PASS_ON_EVEN + (uint32_t)i : PASS_ON_ALL;
		size_t length = comet_datagram_encode(&gossip->scratch, data);
		if (length > 0)
			gossip->ops->send(gossip->ctx, zone->relays[i], data, length);
	}
}

/* Sends this VM's view to the relays of other zones. */
static void
send_to_relays(struct comet_gossip *gossip)
{
	GHashTableIter at;
	gpointer value = NULL;

	g_hash_table_iter_init(&at, gossip->zones);
	while (g_hash_table_iter_next(&at, NULL, &value))
	{
		const struct comet_gossip_zone *zone = value;
		if (zone->count >= RELAYED_MIN)
			send_to_relays_of(gossip, zone);
	}
}

static bool
is_passed_on_to(uint32_t pass_on, uint32_t address)
{
	bool odd = address % 2 == 1;

	return pass_on == PASS_ON_ALL || pass_on == (odd ? PASS_ON_ODD : PASS_ON_EVEN);
}

/* Sends a datagram to VMs of the own zone. */
static void
send_near(struct comet_gossip *gossip, uint32_t pass_on, const uint8_t *data, size_t length)
{
	GHashTableIter at;
	gpointer value = NULL;

	g_hash_table_iter_init(&at, gossip->peers);
	while (g_hash_table_iter_next(&at, NULL, &value))
	{
		const struct comet_gossip_peer *peer = value;
		if (comet_gossip_is_alive(peer) && comet_gossip_is_same_zone(gossip, peer) &&
			is_passed_on_to(pass_on, peer->address))
			gossip->ops->send(gossip->ctx, peer->address, data, length);
	}
}

void
comet_gossip_broadcast_zone(struct comet_gossip *gossip, const uint8_t *data, size_t length)
{
	send_near(gossip, PASS_ON_ALL, data, length);
}

void
comet_gossip_forward_to_zone(struct comet_gossip *gossip, const comet_View *view)
{
	uint8_t data[COMET_DATAGRAM_BYTES_MAX];

	gossip->scratch.which_body = comet_Datagram_view_tag;
	gossip->scratch.body.view = *view;
	gossip->scratch.body.view.pass_on = PASS_ON_NONE;
	size_t length = comet_datagram_encode(&gossip->scratch, data);
	if (length > 0)
		send_near(gossip, view->pass_on, data, length);
}

void
comet_gossip_send_round(struct comet_gossip *gossip, bool far, uint64_t now_us)
{
	uint8_t data[COMET_DATAGRAM_BYTES_MAX];
	size_t length = build(gossip, data, far, 0, now_us);
	GHashTableIter at;
	gpointer value = NULL;

	gossip->last_bytes = length;
	gossip->near_sent_us = now_us;
	if (far)
	{
		gossip->far_sent_us = now_us;
		gossip->urgent = false;
	}
	g_hash_table_iter_init(&at, gossip->peers);
	while (g_hash_table_iter_next(&at, NULL, &value))
	{
		struct comet_gossip_peer *peer = value;
		if (!is_due(gossip, peer, now_us) ||
			(!far && !comet_gossip_is_same_zone(gossip, peer)) ||
			is_relayed(gossip, peer))
			continue;
		peer->asked_us = now_us;
		gossip->ops->send(gossip->ctx, peer->address, data, length);
	}
	if (far)
		send_to_relays(gossip);
}

/* A VM that hears nobody cannot wait for a round, which comes to large zones through VMs that may
 * not know of it. It is answered each time it asks, with others of its zone. */
static void
answer_seeking(struct comet_gossip *gossip, struct comet_gossip_peer *peer, uint64_t now_us)
{
	uint8_t data[COMET_DATAGRAM_BYTES_MAX];
	size_t length = build(gossip, data, false, peer->zone, now_us);

	peer->seeking = false;
	peer->owed = false;
	peer->asked_us = now_us;
	gossip->ops->send(gossip->ctx, peer->address, data, length);
}

void
comet_gossip_send_to_new_peers(struct comet_gossip *gossip, uint64_t now_us)
{
	uint8_t data[COMET_DATAGRAM_BYTES_MAX];
	size_t length = 0;
	GHashTableIter at;
	gpointer value = NULL;

	g_hash_table_iter_init(&at, gossip->peers);
	while (g_hash_table_iter_next(&at, NULL, &value))
	{
		struct comet_gossip_peer *peer = value;
		if (peer->seeking)
			answer_seeking(gossip, peer, now_us);
		if (!peer->owed)
			continue;
		if (is_relayed(gossip, peer))
		{
			peer->owed = false; /* the next round reaches it */
			continue;
		}
		if (length == 0)
			length = build(gossip, data, false, 0, now_us);
		peer->owed = false;
		peer->asked_us = now_us;
		gossip->ops->send(gossip->ctx, peer->address, data, length);
	}
}
