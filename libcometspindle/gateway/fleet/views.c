/*
 * views.c
 * the other VMs, as their views tell: who is there, what they send where
 */
#include <libcometspindle/gateway/fleet/views_state.h>

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
	struct comet_views_peer *peer = data;

	g_array_free(peer->busy, TRUE);
	g_hash_table_destroy(peer->spent);
	g_free(peer);
}

static int
views_destroy(struct comet_views *views)
{
	g_hash_table_destroy(views->peers);
	g_hash_table_destroy(views->zones);
	return 0;
}

/* A VM as it is known, or NULL where too many are. */
static struct comet_views_peer *
peer_of(struct comet_views *views, uint32_t address)
{
	struct comet_views_peer *peer =
		g_hash_table_lookup(views->peers, GUINT_TO_POINTER(address));

	if (peer == NULL && g_hash_table_size(views->peers) < PEERS_MAX)
	{
		peer = g_new0(struct comet_views_peer, 1);
		peer->address = address;
		peer->busy = g_array_new(FALSE, FALSE, sizeof(comet_Busy));
		peer->spent = g_hash_table_new_full(NULL, NULL, NULL, g_free);
		g_hash_table_insert(views->peers, GUINT_TO_POINTER(address), peer);
	}
	return peer;
}

struct comet_views *
comet_views_create(void *parent, const struct comet_views_config *config,
	struct comet_instances *instances, struct comet_allowance *allowance,
	const struct comet_views_ops *ops, void *ctx)
{
	struct comet_views *views = talloc_zero(parent, struct comet_views);

	views->address = config->address;
	views->incarnation = config->incarnation;
	views->began_us = config->now_us;
	views->window_ms = config->window_ms;
	views->zone = comet_hash_name(config->zone);
	views->near_bytes_per_s = config->near_bytes_per_s;
	views->far_bytes_per_s = config->far_bytes_per_s;
	views->cpu_percent = config->cpu_percent;
	views->instances = instances;
	views->allowance = allowance;
	views->crashes = config->crashes;
	views->ops = ops;
	views->ctx = ctx;
	views->last_bytes = 100;
	views->peers_turn = views->address; /* VMs that know the same name others */
	views->peers = g_hash_table_new_full(NULL, NULL, NULL, free_peer);
	views->zones = g_hash_table_new_full(NULL, NULL, NULL, g_free);
	talloc_set_destructor(views, views_destroy);
	for (size_t i = 0; i < config->n_seeds; i++)
	{
		bool is_self = config->seeds[i] == views->address;
		struct comet_views_peer *seed = is_self ? NULL : peer_of(views, config->seeds[i]);
		views->is_seed = views->is_seed || is_self;
		if (seed != NULL)
			seed->seed = true;
	}
	return views;
}

/* What of a team's spending through a peer was not known, when it is first told of: what it spent
 * lately, or before that was told all of a process that began within the span. */
static uint64_t
first_spent(const struct comet_views_peer *peer, const comet_Spent *spent, bool young)
{
	if (spent->lately > 0)
		return MIN(spent->lately, spent->amount);
	return young || peer->followed ? spent->amount : 0;
}

/* Charges what a team has spent through a peer since it was told last. */
static void
take_spent(struct comet_views *views, struct comet_views_peer *peer, const comet_Spent *spent,
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
		comet_allowance_spent_elsewhere(views->allowance, peer->address, spent->team,
			spent->amount - *before, now_us);
	*before = spent->amount;
	if (spent->recent > 0)
		comet_allowance_told_recent(views->allowance, spent->team, spent->recent, now_us);
}

static void
take_peers(struct comet_views *views, const comet_View *view, uint64_t now_us)
{
	for (pb_size_t i = 0; i < view->peers_count; i++)
	{
		if (view->peers[i] == views->address || view->peers[i] == 0)
			continue;
		struct comet_views_peer *peer = peer_of(views, view->peers[i]);
		if (peer != NULL && peer->known_us == 0)
		{
			peer->known_us = now_us;
			peer->owed = true;
		}
	}
}

static void
take_view(struct comet_views *views, struct comet_views_peer *peer, const comet_View *view,
	uint64_t now_us)
{
	bool restarted = peer->heard_us != 0 && peer->incarnation != view->incarnation;

	if (peer->known_us == 0)
		peer->known_us = now_us;
	if (restarted)
	{
		g_hash_table_remove_all(peer->spent);
		comet_allowance_vm_restarted(views->allowance, peer->address);
		peer->followed = false;
	}
	peer->owed = peer->owed || peer->heard_us == 0 || restarted;
	peer->seeking = view->peers_count == 0;
	if (peer->heard_us == 0 || peer->silent || restarted)
		views->ops->changed(
			views->ctx, peer->address, true, restarted ? "restarted" : "heard");
	peer->incarnation = view->incarnation;
	peer->began_us = now_us - MIN((uint64_t)view->age_ms * 1000, now_us);
	peer->number = view->number;
	peer->heard_us = now_us;
	peer->silent = false;
	peer->leaving = view->leaving;
	peer->revision = view->revision;
	peer->zone = view->zone;
	peer->cpu_percent = view->cpu_percent;
	g_array_set_size(peer->busy, 0);
	g_array_append_vals(peer->busy, view->busy, view->busy_count);
	for (pb_size_t i = 0; i < view->spent_count; i++)
		take_spent(views, peer, &view->spent[i], view->age_ms < views->window_ms, now_us);
	for (pb_size_t i = 0; views->crashes != NULL && i < view->crashed_count; i++)
		comet_crashes_take(views->crashes, &view->crashed[i], now_us);
	peer->followed = true;
	views->stale = true;
}

bool
comet_views_receive(struct comet_views *views, const comet_View *view, uint64_t now_us)
{
	if (view->address == 0)
		return false;
	if (view->address == views->address)
		return true; /* our own address, or that of the VM we replaced */
	struct comet_views_peer *peer = peer_of(views, view->address);
	if (peer == NULL)
		return true;
	/* An older datagram of the same process came late. */
	if (peer->incarnation == view->incarnation && view->number <= peer->number)
		return true;
	take_view(views, peer, view, now_us);
	take_peers(views, view, now_us);
	if (view->pass_on != 0 && !comet_views_is_near(views, peer))
		comet_views_pass_on(views, view);
	return true;
}

/* Finds VMs that went silent, and forgets those that stayed so. */
static void
look_for_silent(struct comet_views *views, uint64_t now_us)
{
	uint64_t near_us = MAX(SILENT_ROUNDS * comet_views_round_us(views, true), SILENT_MIN_US);
	uint64_t far_us = MAX(SILENT_ROUNDS * comet_views_round_us(views, false), SILENT_MIN_US);
	GHashTableIter at;
	gpointer value = NULL;

	g_hash_table_iter_init(&at, views->peers);
	while (g_hash_table_iter_next(&at, NULL, &value))
	{
		struct comet_views_peer *peer = value;
		uint64_t last_us = MAX(peer->heard_us, peer->known_us);
		uint64_t bound_us = comet_views_is_near(views, peer) ? near_us : far_us;
		if (!peer->silent && peer->heard_us != 0 && now_us - peer->heard_us > bound_us)
		{
			peer->silent = true;
			g_array_set_size(peer->busy, 0);
			views->stale = true;
			views->ops->changed(views->ctx, peer->address, false,
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
	instance->others_prompt = 0;
}

static void
add_busy(struct comet_instance *instance, const comet_Busy *busy)
{
	uint64_t prompt = (uint64_t)instance->others_prompt + busy->prompt_tokens;

	instance->others += MIN(busy->running, OTHERS_MAX - MIN(instance->others, OTHERS_MAX));
	instance->others_prompt = (uint32_t)MIN(prompt, UINT32_MAX);
}

/* Sums what the other VMs have at each endpoint. */
static void
sum_others(struct comet_views *views)
{
	GHashTableIter at;
	gpointer value = NULL;

	comet_instances_each(views->instances, clear_others, NULL);
	g_hash_table_iter_init(&at, views->peers);
	while (g_hash_table_iter_next(&at, NULL, &value))
	{
		const struct comet_views_peer *peer = value;
		for (guint i = 0; i < peer->busy->len; i++)
		{
			const comet_Busy *busy = &g_array_index(peer->busy, comet_Busy, i);
			struct comet_instance *instance =
				comet_instances_find_key(views->instances, busy->instance);
			if (instance == NULL)
				continue;
			add_busy(instance, busy);
		}
	}
	views->stale = false;
}

struct mark
{
	uint64_t now_us;
};

static void
mark_viewed(void *ctx, struct comet_instance *instance)
{
	instance->others_us = ((struct mark *)ctx)->now_us;
}

void
comet_views_tick(struct comet_views *views, uint64_t now_us)
{
	comet_views_count_zones(views);
	look_for_silent(views, now_us);
	if (views->stale)
	{
		struct mark mark = {now_us};
		sum_others(views);
		comet_instances_each(views->instances, mark_viewed, &mark);
	}
	uint64_t far_us = comet_views_round_us(views, false);
	if (views->urgent)
		far_us = MIN(far_us, URGENT_US);
	bool far = now_us - views->far_sent_us >= far_us;
	bool near = now_us - views->near_sent_us >= comet_views_round_us(views, true);
	if (near || far)
		comet_views_send_round(views, far, now_us);
	comet_views_greet(views, now_us);
}

void
comet_views_tell_soon(struct comet_views *views)
{
	views->urgent = true;
}

void
comet_views_set_revision(struct comet_views *views, uint64_t revision)
{
	views->revision = revision;
}

void
comet_views_leave(struct comet_views *views, uint64_t now_us)
{
	views->leaving = true;
	comet_views_send_round(views, true, now_us);
}

void
comet_views_count(const struct comet_views *views, uint32_t *known, uint32_t *heard)
{
	GHashTableIter at;
	gpointer value = NULL;

	uint32_t seeds = 0;

	*known = 0;
	*heard = 0;
	g_hash_table_iter_init(&at, views->peers);
	while (g_hash_table_iter_next(&at, NULL, &value))
	{
		const struct comet_views_peer *peer = value;
		bool gone = peer->leaving && peer->silent;
		seeds += peer->seed ? 1 : 0;
		if (peer->heard_us == 0 || gone)
			continue;
		(*known)++;
		*heard += peer->silent ? 0 : 1;
	}
	if (*known == 0)
		*known = seeds; /* it may be cut off from all: it is not the only one for that */
}

uint64_t
comet_views_silent_since_us(const struct comet_views *views)
{
	uint64_t first_us = 0;
	GHashTableIter at;
	gpointer value = NULL;

	g_hash_table_iter_init(&at, views->peers);
	while (g_hash_table_iter_next(&at, NULL, &value))
	{
		const struct comet_views_peer *peer = value;
		if (peer->heard_us == 0 || !peer->silent || peer->leaving)
			continue;
		first_us = first_us == 0 ? peer->heard_us : MIN(first_us, peer->heard_us);
	}
	return first_us;
}

size_t
comet_views_remembered(const struct comet_views *views)
{
	size_t sum = g_hash_table_size(views->peers);
	GHashTableIter at;
	gpointer value = NULL;

	g_hash_table_iter_init(&at, views->peers);
	while (g_hash_table_iter_next(&at, NULL, &value))
		sum += g_hash_table_size(((const struct comet_views_peer *)value)->spent);
	return sum;
}

/* Has this VM read more of the directory? */
static bool
is_newer(const struct comet_views_peer *peer, uint64_t revision)
{
	return !peer->silent && peer->revision > revision;
}

/* The VM of that place among those that have read more, near or far; 0: there are fewer. */
static uint32_t
newer_at(const struct comet_views *views, uint64_t revision, bool near, uint32_t place)
{
	GHashTableIter at;
	gpointer value = NULL;

	g_hash_table_iter_init(&at, views->peers);
	while (g_hash_table_iter_next(&at, NULL, &value))
	{
		const struct comet_views_peer *peer = value;
		if (!is_newer(peer, revision) || comet_views_is_near(views, peer) != near)
			continue;
		if (place-- == 0)
			return peer->address;
	}
	return 0;
}

uint64_t
comet_views_newest(const struct comet_views *views)
{
	uint64_t newest = 0;
	GHashTableIter at;
	gpointer value = NULL;

	g_hash_table_iter_init(&at, views->peers);
	while (g_hash_table_iter_next(&at, NULL, &value))
	{
		const struct comet_views_peer *peer = value;
		if (!peer->silent)
			newest = MAX(newest, peer->revision);
	}
	return newest;
}

uint32_t
comet_views_newer(const struct comet_views *views, uint64_t revision, uint32_t draw)
{
	uint32_t near = 0;
	uint32_t far = 0;
	GHashTableIter at;
	gpointer value = NULL;

	g_hash_table_iter_init(&at, views->peers);
	while (g_hash_table_iter_next(&at, NULL, &value))
	{
		const struct comet_views_peer *peer = value;
		if (!is_newer(peer, revision))
			continue;
		near += comet_views_is_near(views, peer) ? 1 : 0;
		far += comet_views_is_near(views, peer) ? 0 : 1;
	}
	if (near > 0)
		return newer_at(views, revision, true, draw % near);
	return far > 0 ? newer_at(views, revision, false, draw % far) : 0;
}

/* What a peer is known to run at an endpoint, or NULL. */
static comet_Busy *
busy_at(const struct comet_views_peer *peer, uint32_t instance_key)
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
comet_views_granted(struct comet_views *views, uint32_t address, uint32_t instance_key,
	uint32_t prompt_tokens, uint64_t now_us)
{
	struct comet_views_peer *peer =
		g_hash_table_lookup(views->peers, GUINT_TO_POINTER(address));
	struct comet_instance *instance = comet_instances_find_key(views->instances, instance_key);

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
	comet_instance_granted(instance, prompt_tokens, now_us);
}

void
comet_views_freed(struct comet_views *views, uint32_t address, uint32_t instance_key)
{
	const struct comet_views_peer *peer =
		g_hash_table_lookup(views->peers, GUINT_TO_POINTER(address));
	struct comet_instance *instance = comet_instances_find_key(views->instances, instance_key);
	comet_Busy *busy = peer != NULL ? busy_at(peer, instance_key) : NULL;

	if (instance == NULL || busy == NULL || busy->running == 0)
		return; /* its view came first */
	busy->running--;
	comet_instance_freed(instance);
}

uint64_t
comet_views_interval_us(const struct comet_views *views)
{
	return comet_views_round_us(views, false);
}
