/*
 * gossip.c
 * the other VMs, as their views tell: who is there, what they send where
 */
#include <libcometspindle/gateway/fleet/gossip_state.h>

#include <libcometspindle/hash.h>
#include <string.h>
#include <talloc.h>

/* A VM that was silent for so many rounds (and at least the time below) is not heard. */
#define SILENT_ROUNDS 5
#define SILENT_MIN_US 1000000

/* A VM that was silent for this time is forgotten: a replaced one never comes back. */
#define FORGET_US 20000000

/* Views name no more VMs than this, and each of them no more teams: five times the VMs and three
 * times the teams of the largest deployment that is designed for. Whoever reaches the port can name
 * any. */
#define PEERS_MAX 2048
#define TEAMS_MAX 2048

/* News for all is told at most this often: a round to 380 VMs is some 20 KB, and what is known
 * three seconds after it happened is known in time. */
#define URGENT_US 500000

/* Others' requests at an endpoint count as no more than this, so that sums stay in range. */
#define OTHERS_MAX 1000000

static void
free_peer(gpointer data)
{
	struct comet_gossip_peer *peer = data;

	g_array_free(peer->busy, TRUE);
	g_hash_table_destroy(peer->spent);
	g_free(peer);
}

static int
views_destroy(struct comet_gossip *gossip)
{
	g_hash_table_destroy(gossip->peers);
	g_hash_table_destroy(gossip->zones);
	return 0;
}

/* A VM as it is known, or NULL where too many are. */
static struct comet_gossip_peer *
peer_of(struct comet_gossip *gossip, uint32_t address)
{
	struct comet_gossip_peer *peer =
		g_hash_table_lookup(gossip->peers, GUINT_TO_POINTER(address));

	if (peer == NULL && g_hash_table_size(gossip->peers) < PEERS_MAX)
	{
		peer = g_new0(struct comet_gossip_peer, 1);
		peer->address = address;
		peer->busy = g_array_new(FALSE, FALSE, sizeof(comet_Busy));
		peer->spent = g_hash_table_new_full(NULL, NULL, NULL, g_free);
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
	gossip->began_us = config->now_us;
	gossip->window_ms = config->window_ms;
	gossip->zone = comet_hash_name(config->zone);
	gossip->near_bytes_per_s = config->near_bytes_per_s;
	gossip->far_bytes_per_s = config->far_bytes_per_s;
	gossip->cpu_percent = config->cpu_percent;
	gossip->instances = instances;
	gossip->rate_limiter = rate_limiter;
	gossip->crash_tracker = config->crash_tracker;
	gossip->ops = ops;
	gossip->ctx = ctx;
	gossip->last_bytes = 100;
	gossip->peers_turn = gossip->address; /* VMs that know the same name others */
	gossip->peers = g_hash_table_new_full(NULL, NULL, NULL, free_peer);
	gossip->zones = g_hash_table_new_full(NULL, NULL, NULL, g_free);
	talloc_set_destructor(gossip, views_destroy);
	for (size_t i = 0; i < config->n_seeds; i++)
	{
		bool is_self = config->seeds[i] == gossip->address;
		struct comet_gossip_peer *seed = is_self ? NULL : peer_of(gossip, config->seeds[i]);
		gossip->is_seed = gossip->is_seed || is_self;
		if (seed != NULL)
			seed->seed = true;
	}
	return gossip;
}

/* What of a team's spending through a peer was not known, when it is first told of: what it spent
 * lately, or before that was told all of a process that began within the span. */
static uint64_t
first_spent(const struct comet_gossip_peer *peer, const comet_Spent *spent, bool young)
{
	if (spent->lately > 0)
		return MIN(spent->lately, spent->amount);
	return young || peer->followed ? spent->amount : 0;
}

/* Charges what a team has spent through a peer since it was told last. */
static void
take_spent(struct comet_gossip *gossip, struct comet_gossip_peer *peer, const comet_Spent *spent,
	bool young, uint64_t now_us)
{
	gpointer key = GUINT_TO_POINTER(spent->team);
	uint64_t *before = g_hash_table_lookup(peer->spent, key);

	if (before == NULL && g_hash_table_size(peer->spent) >= TEAMS_MAX)
		return;
	if (before == NULL)
	{
		before = g_new0(uint64_t, 1);
		*before = spent->amount - first_spent(peer, spent, young);
		g_hash_table_insert(peer->spent, key, before);
	}
	if (spent->amount > *before)
		comet_rate_limiter_merge_remote(gossip->rate_limiter, peer->address, spent->team,
			spent->amount - *before, now_us);
	*before = spent->amount;
	if (spent->recent > 0)
		comet_rate_limiter_merge_total(
			gossip->rate_limiter, spent->team, spent->recent, now_us);
}

static void
take_peers(struct comet_gossip *gossip, const comet_View *view, uint64_t now_us)
{
	for (pb_size_t i = 0; i < view->peers_count; i++)
	{
		if (view->peers[i] == gossip->address || view->peers[i] == 0)
			continue;
		struct comet_gossip_peer *peer = peer_of(gossip, view->peers[i]);
		if (peer != NULL && peer->known_us == 0)
		{
			peer->known_us = now_us;
			peer->owed = true;
		}
	}
}

static void
take_view(struct comet_gossip *gossip, struct comet_gossip_peer *peer, const comet_View *view,
	uint64_t now_us)
{
	bool restarted = peer->last_seen_us != 0 && peer->incarnation != view->incarnation;

	if (peer->known_us == 0)
		peer->known_us = now_us;
	if (restarted)
	{
		g_hash_table_remove_all(peer->spent);
		comet_rate_limiter_vm_restarted(gossip->rate_limiter, peer->address);
		peer->followed = false;
	}
	peer->owed = peer->owed || peer->last_seen_us == 0 || restarted;
	peer->seeking = view->peers_count == 0;
	if (peer->last_seen_us == 0 || peer->silent || restarted)
		gossip->ops->changed(
			gossip->ctx, peer->address, true, restarted ? "restarted" : "heard");
	peer->incarnation = view->incarnation;
	peer->began_us = now_us - MIN((uint64_t)view->age_ms * 1000, now_us);
	peer->number = view->number;
	peer->last_seen_us = now_us;
	peer->silent = false;
	peer->leaving = view->leaving;
	peer->revision = view->revision;
	peer->zone = view->zone;
	peer->cpu_percent = view->cpu_percent;
	g_array_set_size(peer->busy, 0);
	g_array_append_vals(peer->busy, view->busy, view->busy_count);
	for (pb_size_t i = 0; i < view->spent_count; i++)
		take_spent(gossip, peer, &view->spent[i], view->age_ms < gossip->window_ms, now_us);
	for (pb_size_t i = 0; gossip->crash_tracker != NULL && i < view->crashed_count; i++)
		comet_crash_tracker_merge(gossip->crash_tracker, &view->crashed[i], now_us);
	peer->followed = true;
	gossip->stale = true;
}

bool
comet_gossip_receive(struct comet_gossip *gossip, const comet_View *view, uint64_t now_us)
{
	if (view->address == 0)
		return false;
	if (view->address == gossip->address)
		return true; /* our own address, or that of the VM we replaced */
	struct comet_gossip_peer *peer = peer_of(gossip, view->address);
	if (peer == NULL)
		return true;
	/* An older datagram of the same process came late. */
	if (peer->incarnation == view->incarnation && view->number <= peer->number)
		return true;
	take_view(gossip, peer, view, now_us);
	take_peers(gossip, view, now_us);
	if (view->pass_on != 0 && !comet_gossip_is_same_zone(gossip, peer))
		comet_gossip_forward_to_zone(gossip, view);
	return true;
}

/* Finds VMs that went silent, and forgets those that stayed so. */
static void
look_for_silent(struct comet_gossip *gossip, uint64_t now_us)
{
	uint64_t near_us =
		MAX(SILENT_ROUNDS * comet_gossip_round_interval_us(gossip, true), SILENT_MIN_US);
	uint64_t far_us =
		MAX(SILENT_ROUNDS * comet_gossip_round_interval_us(gossip, false), SILENT_MIN_US);
	GHashTableIter at;
	gpointer value = NULL;

	g_hash_table_iter_init(&at, gossip->peers);
	while (g_hash_table_iter_next(&at, NULL, &value))
	{
		struct comet_gossip_peer *peer = value;
		uint64_t last_us = MAX(peer->last_seen_us, peer->known_us);
		uint64_t bound_us = comet_gossip_is_same_zone(gossip, peer) ? near_us : far_us;
		if (!peer->silent && peer->last_seen_us != 0 &&
			now_us - peer->last_seen_us > bound_us)
		{
			peer->silent = true;
			g_array_set_size(peer->busy, 0);
			gossip->stale = true;
			gossip->ops->changed(gossip->ctx, peer->address, false,
				peer->leaving ? "stopped" : "silent");
		}
		if (!peer->seed && last_us != 0 && now_us - last_us > FORGET_US)
			g_hash_table_iter_remove(&at);
	}
}

static void
clear_others(void *ctx, struct comet_instance *instance)
{
	(void)ctx;
	instance->others = 0;
	instance->remote_prompt_tokens = 0;
}

static void
add_busy(struct comet_instance *instance, const comet_Busy *busy)
{
	uint64_t prompt = (uint64_t)instance->remote_prompt_tokens + busy->prompt_tokens;

	instance->others += MIN(busy->running, OTHERS_MAX - MIN(instance->others, OTHERS_MAX));
	instance->remote_prompt_tokens = (uint32_t)MIN(prompt, UINT32_MAX);
}

/* Sums what the other VMs have at each endpoint. */
static void
sum_others(struct comet_gossip *gossip)
{
	GHashTableIter at;
	gpointer value = NULL;

	comet_instances_each(gossip->instances, clear_others, NULL);
	g_hash_table_iter_init(&at, gossip->peers);
	while (g_hash_table_iter_next(&at, NULL, &value))
	{
		const struct comet_gossip_peer *peer = value;
		for (guint i = 0; i < peer->busy->len; i++)
		{
			const comet_Busy *busy = &g_array_index(peer->busy, comet_Busy, i);
			struct comet_instance *instance =
				comet_instances_find_key(gossip->instances, busy->instance);
			if (instance == NULL)
				continue;
			add_busy(instance, busy);
		}
	}
	gossip->stale = false;
}

struct mark
{
	uint64_t now_us;
};

static void
mark_viewed(void *ctx, struct comet_instance *instance)
{
	instance->gossip_us = ((struct mark *)ctx)->now_us;
}

void
comet_gossip_tick(struct comet_gossip *gossip, uint64_t now_us)
{
	comet_gossip_count_zones(gossip);
	look_for_silent(gossip, now_us);
	if (gossip->stale)
	{
		struct mark mark = {now_us};
		sum_others(gossip);
		comet_instances_each(gossip->instances, mark_viewed, &mark);
	}
	uint64_t far_us = comet_gossip_round_interval_us(gossip, false);
	if (gossip->urgent)
		far_us = MIN(far_us, URGENT_US);
	bool far = now_us - gossip->far_sent_us >= far_us;
	bool near = now_us - gossip->near_sent_us >= comet_gossip_round_interval_us(gossip, true);
	if (near || far)
		comet_gossip_send_round(gossip, far, now_us);
	comet_gossip_send_to_new_peers(gossip, now_us);
}

void
comet_gossip_schedule_broadcast(struct comet_gossip *gossip)
{
	gossip->urgent = true;
}

void
comet_gossip_set_revision(struct comet_gossip *gossip, uint64_t revision)
{
	gossip->revision = revision;
}

void
comet_gossip_leave(struct comet_gossip *gossip, uint64_t now_us)
{
	gossip->leaving = true;
	comet_gossip_send_round(gossip, true, now_us);
}

void
comet_gossip_count(const struct comet_gossip *gossip, uint32_t *known, uint32_t *heard)
{
	GHashTableIter at;
	gpointer value = NULL;

	uint32_t seeds = 0;

	*known = 0;
	*heard = 0;
	g_hash_table_iter_init(&at, gossip->peers);
	while (g_hash_table_iter_next(&at, NULL, &value))
	{
		const struct comet_gossip_peer *peer = value;
		bool gone = peer->leaving && peer->silent;
		seeds += peer->seed ? 1 : 0;
		if (peer->last_seen_us == 0 || gone)
			continue;
		(*known)++;
		*heard += peer->silent ? 0 : 1;
	}
	if (*known == 0)
		*known = seeds; /* it may be cut off from all: it is not the only one for that */
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
		if (peer->last_seen_us == 0 || !peer->silent || peer->leaving)
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
		sum += g_hash_table_size(((const struct comet_gossip_peer *)value)->spent);
	return sum;
}

/* Has this VM read more of the directory? */
static bool
is_newer(const struct comet_gossip_peer *peer, uint64_t revision)
{
	return !peer->silent && peer->revision > revision;
}

/* The VM of that place among those that have read more, near or far; 0: there are fewer. */
static uint32_t
newer_at(const struct comet_gossip *gossip, uint64_t revision, bool near, uint32_t place)
{
	GHashTableIter at;
	gpointer value = NULL;

	g_hash_table_iter_init(&at, gossip->peers);
	while (g_hash_table_iter_next(&at, NULL, &value))
	{
		const struct comet_gossip_peer *peer = value;
		if (!is_newer(peer, revision) || comet_gossip_is_same_zone(gossip, peer) != near)
			continue;
		if (place-- == 0)
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
		if (!peer->silent)
			newest = MAX(newest, peer->revision);
	}
	return newest;
}

uint32_t
comet_gossip_pick_newer_peer(const struct comet_gossip *gossip, uint64_t revision, uint32_t draw)
{
	uint32_t near = 0;
	uint32_t far = 0;
	GHashTableIter at;
	gpointer value = NULL;

	g_hash_table_iter_init(&at, gossip->peers);
	while (g_hash_table_iter_next(&at, NULL, &value))
	{
		const struct comet_gossip_peer *peer = value;
		if (!is_newer(peer, revision))
			continue;
		near += comet_gossip_is_same_zone(gossip, peer) ? 1 : 0;
		far += comet_gossip_is_same_zone(gossip, peer) ? 0 : 1;
	}
	if (near > 0)
		return newer_at(gossip, revision, true, draw % near);
	return far > 0 ? newer_at(gossip, revision, false, draw % far) : 0;
}

/* What a peer is known to run at an endpoint, or NULL. */
static comet_Busy *
busy_at(const struct comet_gossip_peer *peer, uint32_t instance_key)
{
	for (guint i = 0; i < peer->busy->len; i++)
	{
		comet_Busy *busy = &g_array_index(peer->busy, comet_Busy, i);
		if (busy->instance == instance_key)
			return busy;
	}
	return NULL;
}

void
comet_gossip_slot_granted(struct comet_gossip *gossip, uint32_t address, uint32_t instance_key,
	uint32_t prompt_tokens, uint64_t now_us)
{
	struct comet_gossip_peer *peer =
		g_hash_table_lookup(gossip->peers, GUINT_TO_POINTER(address));
	struct comet_instance *instance = comet_instances_find_key(gossip->instances, instance_key);

	if (peer == NULL || instance == NULL)
		return; /* a VM that nobody has heard of: its first view will tell */
	comet_Busy *busy = busy_at(peer, instance_key);
	if (busy != NULL)
		busy->running++;
	else
	{
		comet_Busy added = {.instance = instance_key, .running = 1};
		g_array_append_val(peer->busy, added);
	}
	comet_instance_slot_granted(instance, prompt_tokens, now_us);
}

void
comet_gossip_slot_released(struct comet_gossip *gossip, uint32_t address, uint32_t instance_key)
{
	const struct comet_gossip_peer *peer =
		g_hash_table_lookup(gossip->peers, GUINT_TO_POINTER(address));
	struct comet_instance *instance = comet_instances_find_key(gossip->instances, instance_key);
	comet_Busy *busy = peer != NULL ? busy_at(peer, instance_key) : NULL;

	if (instance == NULL || busy == NULL || busy->running == 0)
		return; /* its view came first */
	busy->running--;
	comet_instance_slot_released(instance);
}

uint64_t
comet_gossip_interval_us(const struct comet_gossip *gossip)
{
	return comet_gossip_round_interval_us(gossip, false);
}
