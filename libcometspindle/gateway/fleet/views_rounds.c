/*
 * views_rounds.c
 * what this VM tells the others of itself, to whom and how often
 *
 * VMs of the own zone are sent every view. A large zone beyond is sent them
 * through a few of its VMs, which pass them on, since bytes between zones cost.
 */
#include <libcometspindle/gateway/fleet/views_state.h>

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
count_far(struct comet_views *views, const struct comet_views_peer *peer)
{
	gpointer id = GUINT_TO_POINTER(peer->zone);
	struct comet_views_zone *zone = g_hash_table_lookup(views->zones, id);
	uint64_t score = comet_hash_score(views->number ^ views->address, peer->address);
	uint32_t relay = peer->address;

	if (zone == NULL)
	{
		zone = g_new0(struct comet_views_zone, 1);
		g_hash_table_insert(views->zones, id, zone);
	}
	zone->count++;
	for (int i = 0; i < COMET_VIEWS_RELAYS && !peer->leaving; i++)
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
comet_views_count_zones(struct comet_views *views)
{
	GHashTableIter at;
	gpointer value = NULL;

	g_hash_table_remove_all(views->zones);
	views->near_count = 0;
	views->far_count = 0;
	g_hash_table_iter_init(&at, views->peers);
	while (g_hash_table_iter_next(&at, NULL, &value))
	{
		const struct comet_views_peer *peer = value;
		views->near_count += comet_views_is_near(views, peer) ? 1 : 0;
		views->far_count += comet_views_is_near(views, peer) ? 0 : 1;
		if (comet_views_is_there(peer) && !comet_views_is_near(views, peer))
			count_far(views, peer);
	}
}

/* Is a VM sent views through relays of its zone? */
static bool
is_relayed(const struct comet_views *views, const struct comet_views_peer *peer)
{
	const struct comet_views_zone *zone =
		g_hash_table_lookup(views->zones, GUINT_TO_POINTER(peer->zone));

	return comet_views_is_there(peer) && !comet_views_is_near(views, peer) && zone != NULL &&
	       zone->count >= RELAYED_MIN;
}

/* Datagrams that a round sends to other zones. */
static uint32_t
far_datagrams(const struct comet_views *views)
{
	uint32_t sum = views->far_count;
	GHashTableIter at;
	gpointer value = NULL;

	g_hash_table_iter_init(&at, views->zones);
	while (g_hash_table_iter_next(&at, NULL, &value))
	{
		const struct comet_views_zone *zone = value;
		if (zone->count >= RELAYED_MIN)
			sum -= zone->count - COMET_VIEWS_RELAYS;
	}
	return sum;
}

/* Time in which so many views take no more than a budget. */
static uint64_t
spread_us(const struct comet_views *views, uint32_t count, uint32_t bytes_per_s)
{
	uint64_t bytes = (uint64_t)(views->last_bytes + HEADER_BYTES) * count;

	return bytes * 1000000 / MAX(bytes_per_s, 1);
}

/* What comes from other zones is passed on within the zone, which takes from the budget there. */
uint64_t
comet_views_round_us(const struct comet_views *views, bool near)
{
	uint64_t own_us = near ? spread_us(views, views->near_count, views->near_bytes_per_s)
			       : spread_us(views, far_datagrams(views), views->far_bytes_per_s);
	uint64_t passed_us = near ? 0 : spread_us(views, views->far_count, views->near_bytes_per_s);

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
		.prompt_tokens = instance->own_prompt,
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
put_spent(void *ctx, const struct comet_allowance_report *report)
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
is_named(const struct comet_views_peer *peer)
{
	return !peer->silent && !peer->leaving && peer->heard_us != 0;
}

/* Names VMs from a place on; zone: those of that zone alone, or 0. */
static void
name_peers(struct comet_views *views, comet_View *view, uint32_t from, uint32_t zone)
{
	GHashTableIter at;
	gpointer value = NULL;

	/* Two passes, so that all of them are named in turn. */
	for (int pass = 0; pass < 2; pass++)
	{
		uint32_t index = 0;
		g_hash_table_iter_init(&at, views->peers);
		while (g_hash_table_iter_next(&at, NULL, &value))
		{
			const struct comet_views_peer *peer = value;
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
put_peers(struct comet_views *views, comet_View *view, uint32_t zone)
{
	uint32_t count = g_hash_table_size(views->peers);

	if (count == 0)
		return;
	if (zone != 0)
		name_peers(views, view, views->peers_turn % count, zone);
	if (view->peers_count == 0)
		name_peers(views, view, views->peers_turn % count, 0);
	views->peers_turn += MAX(view->peers_count, 1);
}

/* Builds this VM's view. @return its length. */
static size_t
build(struct comet_views *views, uint8_t data[COMET_DATAGRAM_BYTES_MAX], bool far, uint32_t zone,
	uint64_t now_us)
{
	comet_Datagram *datagram = &views->scratch;
	comet_View *view = &datagram->body.view;
	struct put_spent put = {.view = view, .now_us = now_us, .skip = views->spent_turn};

	memset(datagram, 0, sizeof *datagram);
	datagram->which_body = comet_Datagram_view_tag;
	view->incarnation = views->incarnation;
	view->number = ++views->number;
	view->address = views->address;
	view->leaving = views->leaving;
	view->revision = views->revision;
	view->zone = views->zone;
	view->cpu_percent = views->cpu_percent;
	view->age_ms = (uint32_t)MIN((now_us - views->began_us) / 1000, UINT32_MAX);
	comet_instances_each(views->instances, put_busy, view);
	comet_allowance_each(views->allowance, now_us, put_spent, &put);
	if (far)
		comet_allowance_told(views->allowance);
	views->spent_turn += put.told;
	if (views->spent_turn >= put.seen)
		views->spent_turn = 0;
	put_peers(views, view, zone);
	if (views->crashes != NULL)
		view->crashed_count = (pb_size_t)comet_crashes_put(
			views->crashes, view->crashed, G_N_ELEMENTS(view->crashed), now_us);
	view->pass_on = PASS_ON_ALL; /* sized with the mark that relays get */
	while (comet_datagram_encode(datagram, data) == 0 && view->busy_count > 0)
		view->busy_count /= 2; /* too large for one frame: the rest stays untold */
	view->pass_on = PASS_ON_NONE;
	return comet_datagram_encode(datagram, data);
}

/* Is it time to send to this VM? Silent ones, and seeds never heard, are asked now and then. */
static bool
is_due(const struct comet_views *views, const struct comet_views_peer *peer, uint64_t now_us)
{
	bool there = peer->heard_us != 0 && !peer->silent;
	bool young = now_us - views->began_us < FIRST_RETRIES_FOR_US;
	uint64_t retry_us = young ? FIRST_RETRY_US : RETRY_US;

	return there || peer->asked_us == 0 || now_us - peer->asked_us >= retry_us;
}

/* Sends this VM's view to the relays of another zone. */
static void
send_to_relays_of(struct comet_views *views, const struct comet_views_zone *zone)
{
	uint8_t data[COMET_DATAGRAM_BYTES_MAX];

	for (int i = 0; i < COMET_VIEWS_RELAYS; i++)
	{
		if (zone->relays[i] == 0)
			continue;
		views->scratch.body.view.pass_on =
			zone->count >= HALVED_MIN ? PASS_ON_EVEN + (uint32_t)i : PASS_ON_ALL;
		size_t length = comet_datagram_encode(&views->scratch, data);
		if (length > 0)
			views->ops->send(views->ctx, zone->relays[i], data, length);
	}
}

/* Sends this VM's view to the relays of other zones. */
static void
send_to_relays(struct comet_views *views)
{
	GHashTableIter at;
	gpointer value = NULL;

	g_hash_table_iter_init(&at, views->zones);
	while (g_hash_table_iter_next(&at, NULL, &value))
	{
		const struct comet_views_zone *zone = value;
		if (zone->count >= RELAYED_MIN)
			send_to_relays_of(views, zone);
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
send_near(struct comet_views *views, uint32_t pass_on, const uint8_t *data, size_t length)
{
	GHashTableIter at;
	gpointer value = NULL;

	g_hash_table_iter_init(&at, views->peers);
	while (g_hash_table_iter_next(&at, NULL, &value))
	{
		const struct comet_views_peer *peer = value;
		if (comet_views_is_there(peer) && comet_views_is_near(views, peer) &&
			is_passed_on_to(pass_on, peer->address))
			views->ops->send(views->ctx, peer->address, data, length);
	}
}

void
comet_views_send_near(struct comet_views *views, const uint8_t *data, size_t length)
{
	send_near(views, PASS_ON_ALL, data, length);
}

void
comet_views_pass_on(struct comet_views *views, const comet_View *view)
{
	uint8_t data[COMET_DATAGRAM_BYTES_MAX];

	views->scratch.which_body = comet_Datagram_view_tag;
	views->scratch.body.view = *view;
	views->scratch.body.view.pass_on = PASS_ON_NONE;
	size_t length = comet_datagram_encode(&views->scratch, data);
	if (length > 0)
		send_near(views, view->pass_on, data, length);
}

void
comet_views_send_round(struct comet_views *views, bool far, uint64_t now_us)
{
	uint8_t data[COMET_DATAGRAM_BYTES_MAX];
	size_t length = build(views, data, far, 0, now_us);
	GHashTableIter at;
	gpointer value = NULL;

	views->last_bytes = length;
	views->near_sent_us = now_us;
	if (far)
	{
		views->far_sent_us = now_us;
		views->urgent = false;
	}
	g_hash_table_iter_init(&at, views->peers);
	while (g_hash_table_iter_next(&at, NULL, &value))
	{
		struct comet_views_peer *peer = value;
		if (!is_due(views, peer, now_us) || (!far && !comet_views_is_near(views, peer)) ||
			is_relayed(views, peer))
			continue;
		peer->asked_us = now_us;
		views->ops->send(views->ctx, peer->address, data, length);
	}
	if (far)
		send_to_relays(views);
}

/* A VM that hears nobody cannot wait for a round, which comes to large zones through VMs that may
 * not know of it. It is answered each time it asks, with others of its zone. */
static void
answer_seeking(struct comet_views *views, struct comet_views_peer *peer, uint64_t now_us)
{
	uint8_t data[COMET_DATAGRAM_BYTES_MAX];
	size_t length = build(views, data, false, peer->zone, now_us);

	peer->seeking = false;
	peer->owed = false;
	peer->asked_us = now_us;
	views->ops->send(views->ctx, peer->address, data, length);
}

void
comet_views_greet(struct comet_views *views, uint64_t now_us)
{
	uint8_t data[COMET_DATAGRAM_BYTES_MAX];
	size_t length = 0;
	GHashTableIter at;
	gpointer value = NULL;

	g_hash_table_iter_init(&at, views->peers);
	while (g_hash_table_iter_next(&at, NULL, &value))
	{
		struct comet_views_peer *peer = value;
		if (peer->seeking)
			answer_seeking(views, peer, now_us);
		if (!peer->owed)
			continue;
		if (is_relayed(views, peer))
		{
			peer->owed = false; /* the next round reaches it */
			continue;
		}
		if (length == 0)
			length = build(views, data, false, 0, now_us);
		peer->owed = false;
		peer->asked_us = now_us;
		views->ops->send(views->ctx, peer->address, data, length);
	}
}
