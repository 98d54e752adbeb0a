/*
 * gossip_rounds.c
 * builds the gossip messages of this VM and sends them in rounds
 *
 * VMs of the same zone receive every gossip message directly. A large zone receives them
 * through a few of its VMs, which forward them, because traffic between zones is
 * charged.
 */
#include <libcometspindle/gateway/fleet/gossip_state.h>

#include <libcometspindle/hash.h>
#include <string.h>

/* Minimum time between rounds: a tenth of the shortest latency target. */
#define ROUND_INTERVAL_MIN_US 100000

/* Maximum time between rounds: the window of team limits is only some seconds long. */
#define ROUND_INTERVAL_MAX_US 2000000

/* Interval of gossip messages to an unreachable VM, or to a seed without an answer: a partition or
 * a freeze lasts seconds. */
#define RETRY_INTERVAL_US 1000000

/* Shorter interval to seeds during the first seconds of a process: if all VMs start together, the
 * seeds may start last, and load and spending are only estimated until the VMs have found each
 * other. */
#define STARTUP_RETRY_INTERVAL_US 100000
#define STARTUP_US 3000000

/* A zone with at least this many VMs receives gossip messages through forwarders, because traffic
 * between zones is charged. */
#define FORWARDED_ZONE_MIN_VMS 8

/* Each gossip message reports a team for this time after it last spent something: several rounds,
 * since one may be lost. */
#define RECENT_SPENDING_US (4 * ROUND_INTERVAL_MAX_US)

/* Number of other teams that each gossip message reports in turn, for VMs that have just started
 * and to compensate for lost datagrams. */
#define OTHER_TEAMS_PER_VIEW 6

/* In a zone with at least this many VMs, each forwarder serves half of them: if both served all,
 * every VM would receive each gossip message twice. */
#define SPLIT_ZONE_MIN_VMS 24

/* Selects the VMs to which a forwarder sends a gossip message; values of View.pass_on. */
enum pass_on
{
	PASS_ON_NONE,
	PASS_ON_ALL,
	PASS_ON_EVEN, /* even addresses */
	PASS_ON_ODD,
};

/* IP and UDP headers, which the byte budgets include. */
#define IP_UDP_HEADER_BYTES 28

/* Counts a VM of another zone and considers it as a forwarder. The VMs with the highest scores of
 * this round are selected. */
static void
count_remote_peer(struct comet_gossip *gossip, const struct comet_gossip_peer *peer)
{
	gpointer id = GUINT_TO_POINTER(peer->zone);
	struct comet_gossip_zone *zone = g_hash_table_lookup(gossip->zones, id);
	uint64_t score = comet_hash_score(gossip->view_number ^ gossip->address, peer->address);
	uint32_t forwarder = peer->address;

	if (zone == NULL)
	{
		zone = g_new0(struct comet_gossip_zone, 1);
		g_hash_table_insert(gossip->zones, id, zone);
	}
	zone->count++;
	for (int i = 0; i < COMET_GOSSIP_FORWARDERS && !peer->leaving; i++)
	{
		if (score <= zone->scores[i])
			continue;
		uint64_t displaced_score = zone->scores[i];
		uint32_t displaced = zone->forwarders[i];
		zone->scores[i] = score;
		zone->forwarders[i] = forwarder;
		score = displaced_score;
		forwarder = displaced;
	}
}

void
comet_gossip_count_zones(struct comet_gossip *gossip)
{
	GHashTableIter at;
	gpointer value = NULL;

	g_hash_table_remove_all(gossip->zones);
	gossip->zone_peer_count = 0;
	gossip->remote_peer_count = 0;
	g_hash_table_iter_init(&at, gossip->peers);
	while (g_hash_table_iter_next(&at, NULL, &value))
	{
		const struct comet_gossip_peer *peer = value;
		gossip->zone_peer_count += comet_gossip_is_same_zone(gossip, peer) ? 1 : 0;
		gossip->remote_peer_count += comet_gossip_is_same_zone(gossip, peer) ? 0 : 1;
		if (comet_gossip_is_alive(peer) && !comet_gossip_is_same_zone(gossip, peer))
			count_remote_peer(gossip, peer);
	}
}

/* @return whether a VM receives gossip messages through forwarders of its zone. */
static bool
is_forwarded(const struct comet_gossip *gossip, const struct comet_gossip_peer *peer)
{
	const struct comet_gossip_zone *zone =
		g_hash_table_lookup(gossip->zones, GUINT_TO_POINTER(peer->zone));

	return comet_gossip_is_alive(peer) && !comet_gossip_is_same_zone(gossip, peer) &&
	       zone != NULL && zone->count >= FORWARDED_ZONE_MIN_VMS;
}

/* @return the number of datagrams that a round sends to other zones. */
static uint32_t
remote_datagram_count(const struct comet_gossip *gossip)
{
	uint32_t sum = gossip->remote_peer_count;
	GHashTableIter at;
	gpointer value = NULL;

	g_hash_table_iter_init(&at, gossip->zones);
	while (g_hash_table_iter_next(&at, NULL, &value))
	{
		const struct comet_gossip_zone *zone = value;
		if (zone->count >= FORWARDED_ZONE_MIN_VMS)
			sum -= zone->count - COMET_GOSSIP_FORWARDERS;
	}
	return sum;
}

/* @return the time over which sending this many gossip messages stays within a byte budget. */
static uint64_t
send_time_us(const struct comet_gossip *gossip, uint32_t count, uint32_t bytes_per_s)
{
	uint64_t bytes = (uint64_t)(gossip->view_bytes + IP_UDP_HEADER_BYTES) * count;

	return bytes * 1000000 / MAX(bytes_per_s, 1);
}

/* Forwarded gossip messages from other zones also count against the budget within the zone. */
uint64_t
comet_gossip_round_interval_us(const struct comet_gossip *gossip, bool same_zone)
{
	uint64_t own_us =
		same_zone ? send_time_us(gossip, gossip->zone_peer_count, gossip->near_bytes_per_s)
			  : send_time_us(
				    gossip, remote_datagram_count(gossip), gossip->far_bytes_per_s);
	uint64_t forward_us = same_zone ? 0
					: send_time_us(gossip, gossip->remote_peer_count,
						  gossip->near_bytes_per_s);

	return CLAMP(MAX(own_us, forward_us), ROUND_INTERVAL_MIN_US, ROUND_INTERVAL_MAX_US);
}

static void
add_load(void *ctx, struct comet_instance *instance)
{
	comet_View *view = ctx;

	if (view->busy_count >= G_N_ELEMENTS(view->busy))
		return;
	view->busy[view->busy_count++] = (comet_Busy){
		.instance = instance->key,
		.running = instance->local_requests,
		.prompt_tokens = instance->local_prompt_tokens,
	};
}

static void
collect_report(void *ctx, const struct comet_rate_limiter_report *report)
{
	g_array_append_vals(ctx, report, 1);
}

/* Orders teams by the part of their limit that they spent through this VM, the largest first, and
 * teams without recent spending last. The next owner of a quota must know most of all of the teams
 * that are near their limits. */
static int
compare_reports(const void *one, const void *other)
{
	const struct comet_rate_limiter_report *a = one;
	const struct comet_rate_limiter_report *b = other;

	if (a->limit_part != b->limit_part)
		return a->limit_part > b->limit_part ? -1 : 1;
	if (a->last_us != b->last_us)
		return a->last_us > b->last_us ? -1 : 1;
	return a->team_id < b->team_id ? -1 : a->team_id > b->team_id;
}

static int
compare_teams(const void *one, const void *other)
{
	uint32_t a = ((const struct comet_rate_limiter_report *)one)->team_id;
	uint32_t b = ((const struct comet_rate_limiter_report *)other)->team_id;

	return a < b ? -1 : a > b;
}

static void
add_spent(comet_View *view, const struct comet_rate_limiter_report *report)
{
	view->spent[view->spent_count++] = (comet_Spent){
		.team = report->team_id,
		.amount = report->spent,
		.recent = report->all_spent_in_window,
		.lately = report->own_spent_in_window,
	};
}

/* Adds the teams with recent spending, as far as they leave room for some of the others, which take
 * turns. When teams were added in a fixed order, those behind the first ones were never reported.
 */
static void
add_spending(struct comet_gossip *gossip, comet_View *view, uint64_t now_us)
{
	GArray *reports = g_array_new(FALSE, FALSE, sizeof(struct comet_rate_limiter_report));
	guint most = G_N_ELEMENTS(view->spent) - OTHER_TEAMS_PER_VIEW;
	guint first = 0;

	comet_rate_limiter_each(gossip->rate_limiter, now_us, collect_report, reports);
	g_array_sort(reports, compare_reports);
	for (; first < reports->len && first < most; first++)
	{
		const struct comet_rate_limiter_report *report =
			&g_array_index(reports, struct comet_rate_limiter_report, first);
		if (report->last_us == 0 || now_us - report->last_us >= RECENT_SPENDING_US)
			break;
		add_spent(view, report);
	}
	g_array_remove_range(reports, 0, first);
	g_array_sort(reports, compare_teams);
	guint next = 0;
	while (next < reports->len &&
		g_array_index(reports, struct comet_rate_limiter_report, next).team_id <=
			gossip->last_team)
		next++;
	for (guint i = 0; i < MIN(reports->len, OTHER_TEAMS_PER_VIEW); i++)
	{
		const struct comet_rate_limiter_report *report = &g_array_index(
			reports, struct comet_rate_limiter_report, (next + i) % reports->len);
		add_spent(view, report);
		gossip->last_team = report->team_id;
	}
	g_array_free(reports, TRUE);
}

struct add_limits
{
	comet_View *view;
	uint64_t now_us;
	uint32_t first; /* index of the first limit that this gossip message reports */
	uint32_t count; /* limits so far */
};

/* Adds the limits that endpoints advertised to this VM, some of them in turn. */
static void
add_limit(void *ctx, const struct comet_instance *instance)
{
	struct add_limits *context = ctx;
	comet_View *view = context->view;
	const struct comet_advertised_limit *limit = &instance->limit;

	if (context->count++ < context->first || view->limits_count >= G_N_ELEMENTS(view->limits))
		return;
	view->limits[view->limits_count++] = (comet_AdvertisedLimit){
		.instance = instance->key,
		.active = limit->active,
		.milli_per_s = (uint32_t)(limit->max_per_s * 1000),
		.age_ms = (uint32_t)MIN((context->now_us - limit->observed_us) / 1000, UINT32_MAX),
	};
}

static void
add_limits(struct comet_gossip *gossip, comet_View *view, uint64_t now_us)
{
	struct add_limits context = {.view = view, .now_us = now_us, .first = gossip->next_limit};

	comet_instances_each_limited(gossip->instances, now_us, add_limit, &context);
	gossip->next_limit += view->limits_count;
	if (gossip->next_limit >= context.count)
		gossip->next_limit = 0;
}

struct add_leaving
{
	comet_View *view;
	uint64_t now_us;
	uint32_t first; /* index of the first endpoint that this gossip message reports */
	uint32_t count; /* endpoints so far */
};

static void
add_leaving_endpoint(void *ctx, const struct comet_instance *instance)
{
	struct add_leaving *context = ctx;
	comet_View *view = context->view;
	uint64_t age_us = context->now_us - MIN(instance->leaving_us, context->now_us);

	if (context->count++ < context->first ||
		view->leaving_endpoints_count >= G_N_ELEMENTS(view->leaving_endpoints))
		return;
	view->leaving_endpoints[view->leaving_endpoints_count++] = (comet_LeavingEndpoint){
		.instance = instance->key, .age_ms = (uint32_t)(age_us / 1000)};
}

/* Adds the endpoints that leave, some of them in turn. */
static void
add_leaving_endpoints(struct comet_gossip *gossip, comet_View *view, uint64_t now_us)
{
	struct add_leaving context = {
		.view = view, .now_us = now_us, .first = gossip->next_leaving};

	comet_instances_each_leaving(gossip->instances, now_us, add_leaving_endpoint, &context);
	gossip->next_leaving += view->leaving_endpoints_count;
	if (gossip->next_leaving >= context.count)
		gossip->next_leaving = 0;
}

/* @return whether gossip messages may list a VM. */
static bool
can_be_listed(const struct comet_gossip_peer *peer)
{
	return !peer->unreachable && !peer->leaving && peer->last_seen_us != 0;
}

/* Lists VMs from an index on; zone: only VMs of that zone, 0: all. */
static void
list_peers(struct comet_gossip *gossip, comet_View *view, uint32_t from, uint32_t zone)
{
	GHashTableIter at;
	gpointer value = NULL;

	/* The second pass wraps around, so that all VMs are listed in turn. */
	for (int pass = 0; pass < 2; pass++)
	{
		uint32_t index = 0;
		g_hash_table_iter_init(&at, gossip->peers);
		while (g_hash_table_iter_next(&at, NULL, &value))
		{
			const struct comet_gossip_peer *peer = value;
			bool in_pass = (index++ >= from) == (pass == 0);
			if (in_pass && can_be_listed(peer) && (zone == 0 || peer->zone == zone) &&
				view->peers_count < G_N_ELEMENTS(view->peers))
				view->peers[view->peers_count++] = peer->address;
		}
	}
}

/* Lists some VMs in turn. zone: the zone of an isolated VM, which gets VMs of its zone or, if none
 * is known, others; 0: all. */
static void
add_peers(struct comet_gossip *gossip, comet_View *view, uint32_t zone)
{
	uint32_t count = g_hash_table_size(gossip->peers);

	if (count == 0)
		return;
	if (zone != 0)
		list_peers(gossip, view, gossip->next_peer % count, zone);
	if (view->peers_count == 0)
		list_peers(gossip, view, gossip->next_peer % count, 0);
	gossip->next_peer += MAX(view->peers_count, 1);
}

/* Builds this VM's gossip message. @return its encoded length. */
static size_t
build_view(struct comet_gossip *gossip, uint8_t data[COMET_DATAGRAM_BYTES_MAX], bool all_zones,
	uint32_t zone, uint64_t now_us)
{
	comet_Datagram *datagram = &gossip->outgoing;
	comet_View *view = &datagram->body.view;
	uint32_t known = 0;
	uint32_t alive = 0;

	memset(datagram, 0, sizeof *datagram);
	datagram->which_body = comet_Datagram_view_tag;
	view->incarnation = gossip->incarnation;
	view->number = ++gossip->view_number;
	view->address = gossip->address;
	view->leaving = gossip->leaving;
	view->endpoints_unreachable = gossip->endpoints_unreachable;
	view->stores_streams = true;
	view->revision = gossip->revision;
	view->zone = gossip->zone;
	view->cpu_percent = gossip->cpu_percent;
	view->age_ms = (uint32_t)MIN((now_us - gossip->started_us) / 1000, UINT32_MAX);
	comet_instances_each_busy(gossip->instances, add_load, view);
	add_spending(gossip, view, now_us);
	/* Without a VM that receives it, nothing is reported. */
	comet_gossip_count_peers(gossip, &known, &alive);
	if (all_zones && alive > 0)
		comet_rate_limiter_mark_reported(gossip->rate_limiter);
	add_peers(gossip, view, zone);
	add_limits(gossip, view, now_us);
	add_leaving_endpoints(gossip, view, now_us);
	if (gossip->crash_tracker != NULL)
		view->crashed_count = (pb_size_t)comet_crash_tracker_encode(
			gossip->crash_tracker, view->crashed, G_N_ELEMENTS(view->crashed), now_us);
	if (gossip->crashing_parts != NULL)
		view->crashed_parts_count =
			(pb_size_t)comet_crash_tracker_encode(gossip->crashing_parts,
				view->crashed_parts, G_N_ELEMENTS(view->crashed_parts), now_us);
	view->pass_on = PASS_ON_ALL; /* the size must include the field that forwarders receive */
	if (comet_datagram_encode_view(datagram, data) == 0)
		return 0;
	view->pass_on = PASS_ON_NONE;
	return comet_datagram_encode(datagram, data);
}

/* @return whether to send a gossip message to a VM now. Unreachable VMs, and seeds without an
 * answer, are due at the retry interval. */
static bool
is_due(const struct comet_gossip *gossip, const struct comet_gossip_peer *peer, uint64_t now_us)
{
	bool reachable = peer->last_seen_us != 0 && !peer->unreachable;
	bool starting = now_us - gossip->started_us < STARTUP_US;
	uint64_t retry_us = starting ? STARTUP_RETRY_INTERVAL_US : RETRY_INTERVAL_US;

	return reachable || peer->last_sent_us == 0 || now_us - peer->last_sent_us >= retry_us;
}

/* Sends this VM's gossip message to the forwarders of another zone. */
static void
send_to_zone_forwarders(struct comet_gossip *gossip, const struct comet_gossip_zone *zone)
{
	uint8_t data[COMET_DATAGRAM_BYTES_MAX];

	for (int i = 0; i < COMET_GOSSIP_FORWARDERS; i++)
	{
		if (zone->forwarders[i] == 0)
			continue;
		gossip->outgoing.body.view.pass_on = zone->count >= SPLIT_ZONE_MIN_VMS
							     ? PASS_ON_EVEN + (uint32_t)i
							     : PASS_ON_ALL;
		size_t length = comet_datagram_encode(&gossip->outgoing, data);
		if (length > 0)
			gossip->ops->send(gossip->ctx, zone->forwarders[i], data, length);
	}
}

/* Sends this VM's gossip message to the forwarders of all large zones. */
static void
send_to_forwarders(struct comet_gossip *gossip)
{
	GHashTableIter at;
	gpointer value = NULL;

	g_hash_table_iter_init(&at, gossip->zones);
	while (g_hash_table_iter_next(&at, NULL, &value))
	{
		const struct comet_gossip_zone *zone = value;
		if (zone->count >= FORWARDED_ZONE_MIN_VMS)
			send_to_zone_forwarders(gossip, zone);
	}
}

static bool
is_selected(uint32_t pass_on, uint32_t address)
{
	bool odd = address % 2 == 1;

	return pass_on == PASS_ON_ALL || pass_on == (odd ? PASS_ON_ODD : PASS_ON_EVEN);
}

/* Sends a datagram to the alive VMs of this zone that pass_on selects. */
static void
send_to_zone(struct comet_gossip *gossip, uint32_t pass_on, const uint8_t *data, size_t length)
{
	GHashTableIter at;
	gpointer value = NULL;

	g_hash_table_iter_init(&at, gossip->peers);
	while (g_hash_table_iter_next(&at, NULL, &value))
	{
		const struct comet_gossip_peer *peer = value;
		if (comet_gossip_is_alive(peer) && comet_gossip_is_same_zone(gossip, peer) &&
			is_selected(pass_on, peer->address))
			gossip->ops->send(gossip->ctx, peer->address, data, length);
	}
}

void
comet_gossip_broadcast_zone(struct comet_gossip *gossip, const uint8_t *data, size_t length)
{
	send_to_zone(gossip, PASS_ON_ALL, data, length);
}

void
comet_gossip_forward_to_zone(struct comet_gossip *gossip, const comet_View *view)
{
	uint8_t data[COMET_DATAGRAM_BYTES_MAX];

	gossip->outgoing.which_body = comet_Datagram_view_tag;
	gossip->outgoing.body.view = *view;
	gossip->outgoing.body.view.pass_on = PASS_ON_NONE;
	size_t length = comet_datagram_encode(&gossip->outgoing, data);
	if (length > 0)
		send_to_zone(gossip, view->pass_on, data, length);
}

void
comet_gossip_send_round(struct comet_gossip *gossip, bool all_zones, uint64_t now_us)
{
	uint8_t data[COMET_DATAGRAM_BYTES_MAX];
	size_t length = build_view(gossip, data, all_zones, 0, now_us);
	GHashTableIter at;
	gpointer value = NULL;

	gossip->view_bytes = length;
	gossip->zone_sent_us = now_us;
	if (all_zones)
	{
		gossip->all_sent_us = now_us;
		gossip->broadcast_pending = false;
	}
	g_hash_table_iter_init(&at, gossip->peers);
	while (g_hash_table_iter_next(&at, NULL, &value))
	{
		struct comet_gossip_peer *peer = value;
		if (!is_due(gossip, peer, now_us) ||
			(!all_zones && !comet_gossip_is_same_zone(gossip, peer)) ||
			is_forwarded(gossip, peer))
			continue;
		peer->last_sent_us = now_us;
		gossip->ops->send(gossip->ctx, peer->address, data, length);
	}
	if (all_zones)
		send_to_forwarders(gossip);
}

/* Answers each gossip message of a VM that has no peers, with VMs of its zone. Such a VM cannot
 * wait for a round, because the forwarders of a large zone may not know it. */
static void
answer_isolated_peer(struct comet_gossip *gossip, struct comet_gossip_peer *peer, uint64_t now_us)
{
	uint8_t data[COMET_DATAGRAM_BYTES_MAX];
	size_t length = build_view(gossip, data, false, peer->zone, now_us);

	peer->isolated = false;
	peer->needs_view = false;
	peer->last_sent_us = now_us;
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
		if (peer->isolated)
			answer_isolated_peer(gossip, peer, now_us);
		if (!peer->needs_view)
			continue;
		if (is_forwarded(gossip, peer))
		{
			peer->needs_view = false; /* the next round reaches it through forwarders */
			continue;
		}
		if (length == 0)
			length = build_view(gossip, data, false, 0, now_us);
		peer->needs_view = false;
		peer->last_sent_us = now_us;
		gossip->ops->send(gossip->ctx, peer->address, data, length);
	}
}
