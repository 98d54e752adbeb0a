/*
 * views.c
 * the other VMs, as their views tell: who is there, what they send where
 */
#include <libcometspindle/gateway/views.h>

#include <libcometspindle/hash.h>
#include <string.h>
#include <talloc.h>

/* Rounds of views come no closer than this: a tenth of the shortest aims. */
#define INTERVAL_MIN_US 100000

/* And no further apart: the window of team limits is some seconds long. */
#define INTERVAL_MAX_US 2000000

/* A VM that was silent for so many rounds (and at least the time below) is not heard. */
#define SILENT_ROUNDS 5
#define SILENT_MIN_US 1000000

/* A silent VM is asked again this often, and forgotten after the second time: a cut or a frozen VM
 * lasts seconds, a replaced one never comes back. */
#define RETRY_US 1000000
#define FORGET_US 20000000

/* A VM keeps count of endpoints once its process has run this long: by then it has heard what the
 * others have running. */
#define KEEPER_AGE_US 3000000

/* Bytes on the wire beside the view itself: IP and UDP headers. */
#define HEADER_BYTES 28

struct peer
{
	uint32_t address;
	uint64_t incarnation;
	uint64_t number;
	uint64_t heard_us; /* 0: never */
	uint64_t known_us; /* first heard of */
	uint64_t began_us; /* its process, by its own word */
	uint64_t asked_us; /* last sent to */
	uint64_t revision;
	uint32_t zone; /* 0: not known */
	bool leaving;  /* it stops; until it is silent it may still spend */
	bool silent;
	bool owed;     /* it is new to us, so that we are to it: it gets our view at once */
	bool followed; /* its spending has been told before */
	bool seed;
	GArray *busy;      /* of comet_Busy */
	GHashTable *spent; /* team -> uint64_t, as last told */
};

struct comet_views
{
	uint32_t address;
	uint64_t incarnation;
	uint64_t number;
	uint64_t began_us;
	uint64_t revision;
	uint32_t window_ms;
	uint32_t zone;
	uint32_t near_bytes_per_s;
	uint32_t far_bytes_per_s;
	struct comet_instances *instances;
	struct comet_allowance *allowance;
	const struct comet_views_ops *ops;
	void *ctx;
	GHashTable *peers; /* address -> struct peer */
	size_t last_bytes; /* size of the last view */
	uint64_t near_sent_us;
	uint64_t far_sent_us;
	uint32_t spent_turn; /* where the list of teams goes on */
	bool leaving;
	bool stale;             /* others' dispatches are to be summed anew */
	comet_Datagram scratch; /* to be sent */
};

static void
free_peer(gpointer data)
{
	struct peer *peer = data;

	g_array_free(peer->busy, TRUE);
	g_hash_table_destroy(peer->spent);
	g_free(peer);
}

static int
views_destroy(struct comet_views *views)
{
	g_hash_table_destroy(views->peers);
	return 0;
}

static struct peer *
peer_of(struct comet_views *views, uint32_t address)
{
	struct peer *peer = g_hash_table_lookup(views->peers, GUINT_TO_POINTER(address));

	if (peer == NULL)
	{
		peer = g_new0(struct peer, 1);
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
	views->instances = instances;
	views->allowance = allowance;
	views->ops = ops;
	views->ctx = ctx;
	views->last_bytes = 100;
	views->peers = g_hash_table_new_full(NULL, NULL, NULL, free_peer);
	talloc_set_destructor(views, views_destroy);
	for (size_t i = 0; i < config->n_seeds; i++)
	{
		if (config->seeds[i] != views->address)
			peer_of(views, config->seeds[i])->seed = true;
	}
	return views;
}

/* Charges what a team has spent through a peer since its last view. */
static void
take_spent(struct comet_views *views, struct peer *peer, const comet_Spent *spent, bool young,
	uint64_t now_us)
{
	gpointer key = GUINT_TO_POINTER(spent->team);
	uint64_t *before = g_hash_table_lookup(peer->spent, key);

	if (before == NULL)
	{
		before = g_new0(uint64_t, 1);
		/* A process that began within the span spent all of it within the span. Of an older
		 * one that we did not know, what it spent until now is past. */
		*before = young || peer->followed ? 0 : spent->amount;
		g_hash_table_insert(peer->spent, key, before);
	}
	if (spent->amount > *before)
		comet_allowance_spent_elsewhere(
			views->allowance, spent->team, spent->amount - *before, now_us);
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
		struct peer *peer = peer_of(views, view->peers[i]);
		if (peer->known_us == 0)
		{
			peer->known_us = now_us;
			peer->owed = true;
		}
	}
}

static void
take_view(struct comet_views *views, struct peer *peer, const comet_View *view, uint64_t now_us)
{
	bool restarted = peer->heard_us != 0 && peer->incarnation != view->incarnation;

	if (peer->known_us == 0)
		peer->known_us = now_us;
	if (restarted)
	{
		g_hash_table_remove_all(peer->spent);
		peer->followed = false;
	}
	peer->owed = peer->owed || peer->heard_us == 0 || restarted;
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
	g_array_set_size(peer->busy, 0);
	g_array_append_vals(peer->busy, view->busy, view->busy_count);
	for (pb_size_t i = 0; i < view->spent_count; i++)
		take_spent(views, peer, &view->spent[i], view->age_ms < views->window_ms, now_us);
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
	struct peer *peer = peer_of(views, view->address);
	/* An older datagram of the same process came late. */
	if (peer->incarnation == view->incarnation && view->number <= peer->number)
		return true;
	take_view(views, peer, view, now_us);
	take_peers(views, view, now_us);
	return true;
}

static bool
is_near(const struct comet_views *views, const struct peer *peer)
{
	return peer->zone == views->zone;
}

/* Time between two rounds of views to near or to far VMs, as their number and the budget allow. */
static uint64_t
interval_us(const struct comet_views *views, bool near)
{
	uint64_t bytes_per_s = near ? views->near_bytes_per_s : views->far_bytes_per_s;
	uint64_t count = 0;
	GHashTableIter at;
	gpointer peer = NULL;

	g_hash_table_iter_init(&at, views->peers);
	while (g_hash_table_iter_next(&at, NULL, &peer))
		count += is_near(views, peer) == near ? 1 : 0;
	uint64_t round_bytes = (views->last_bytes + HEADER_BYTES) * count;
	return CLAMP(round_bytes * 1000000 / MAX(bytes_per_s, 1), INTERVAL_MIN_US, INTERVAL_MAX_US);
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
	uint32_t skip;
	uint32_t seen;
};

/* Puts teams in turn: those that do not fit are told in the next views. */
static void
put_spent(void *ctx, const struct comet_allowance_report *report)
{
	struct put_spent *put = ctx;
	comet_View *view = put->view;

	if (put->seen++ < put->skip || view->spent_count >= G_N_ELEMENTS(view->spent))
		return;
	view->spent[view->spent_count++] = (comet_Spent){
		.team = report->team_id,
		.amount = report->spent,
		.recent = report->recent,
	};
}

static void
put_peers(struct comet_views *views, comet_View *view)
{
	GHashTableIter at;
	gpointer value = NULL;
	uint32_t skip = g_hash_table_size(views->peers) > G_N_ELEMENTS(view->peers)
				? (uint32_t)(views->number % g_hash_table_size(views->peers))
				: 0;

	/* Two passes from a turning start, so that all of them are named in time. */
	for (int pass = 0; pass < 2; pass++)
	{
		uint32_t index = 0;
		g_hash_table_iter_init(&at, views->peers);
		while (g_hash_table_iter_next(&at, NULL, &value))
		{
			const struct peer *peer = value;
			bool mine = pass == 0 ? index >= skip : index < skip;
			index++;
			if (mine && !peer->silent && !peer->leaving && peer->heard_us != 0 &&
				view->peers_count < G_N_ELEMENTS(view->peers))
				view->peers[view->peers_count++] = peer->address;
		}
	}
}

/* Builds this VM's view. @return its length. */
static size_t
build(struct comet_views *views, uint8_t data[COMET_DATAGRAM_BYTES_MAX], bool far, uint64_t now_us)
{
	comet_Datagram *datagram = &views->scratch;
	comet_View *view = &datagram->body.view;
	struct put_spent put = {.view = view, .skip = views->spent_turn};

	memset(datagram, 0, sizeof *datagram);
	datagram->which_body = comet_Datagram_view_tag;
	view->incarnation = views->incarnation;
	view->number = ++views->number;
	view->address = views->address;
	view->leaving = views->leaving;
	view->revision = views->revision;
	view->zone = views->zone;
	view->age_ms = (uint32_t)MIN((now_us - views->began_us) / 1000, UINT32_MAX);
	comet_instances_each(views->instances, put_busy, view);
	comet_allowance_each(views->allowance, now_us, put_spent, &put);
	if (far)
		comet_allowance_told(views->allowance);
	views->spent_turn += view->spent_count;
	if (views->spent_turn >= put.seen)
		views->spent_turn = 0;
	put_peers(views, view);
	size_t length = comet_datagram_encode(datagram, data);
	while (length == 0 && view->busy_count > 0)
	{
		view->busy_count /= 2; /* too large for one frame: the rest stays untold */
		length = comet_datagram_encode(datagram, data);
	}
	return length;
}

/* Is it time to send to this VM? Silent ones, and seeds never heard, are asked now and then. */
static bool
is_due(const struct peer *peer, uint64_t now_us)
{
	bool there = peer->heard_us != 0 && !peer->silent;

	return there || peer->asked_us == 0 || now_us - peer->asked_us >= RETRY_US;
}

/* Sends this VM's view to the near VMs, and with far to all. */
static void
send_round(struct comet_views *views, bool far, uint64_t now_us)
{
	uint8_t data[COMET_DATAGRAM_BYTES_MAX];
	size_t length = build(views, data, far, now_us);
	GHashTableIter at;
	gpointer value = NULL;

	views->last_bytes = length;
	views->near_sent_us = now_us;
	if (far)
		views->far_sent_us = now_us;
	g_hash_table_iter_init(&at, views->peers);
	while (g_hash_table_iter_next(&at, NULL, &value))
	{
		struct peer *peer = value;
		if (!is_due(peer, now_us) || (!far && !is_near(views, peer)))
			continue;
		peer->asked_us = now_us;
		views->ops->send(views->ctx, peer->address, data, length);
	}
}

/* Sends this VM's view to those that it is new to, without waiting for a round. */
static void
greet(struct comet_views *views, uint64_t now_us)
{
	uint8_t data[COMET_DATAGRAM_BYTES_MAX];
	size_t length = 0;
	GHashTableIter at;
	gpointer value = NULL;

	g_hash_table_iter_init(&at, views->peers);
	while (g_hash_table_iter_next(&at, NULL, &value))
	{
		struct peer *peer = value;
		if (!peer->owed)
			continue;
		if (length == 0)
			length = build(views, data, false, now_us);
		peer->owed = false;
		peer->asked_us = now_us;
		views->ops->send(views->ctx, peer->address, data, length);
	}
}

/* Finds VMs that went silent, and forgets those that stayed so. */
static void
look_for_silent(struct comet_views *views, uint64_t now_us)
{
	uint64_t near_us = MAX(SILENT_ROUNDS * interval_us(views, true), SILENT_MIN_US);
	uint64_t far_us = MAX(SILENT_ROUNDS * interval_us(views, false), SILENT_MIN_US);
	GHashTableIter at;
	gpointer value = NULL;

	g_hash_table_iter_init(&at, views->peers);
	while (g_hash_table_iter_next(&at, NULL, &value))
	{
		struct peer *peer = value;
		uint64_t last_us = MAX(peer->heard_us, peer->known_us);
		uint64_t bound_us = is_near(views, peer) ? near_us : far_us;
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
		const struct peer *peer = value;
		for (guint i = 0; i < peer->busy->len; i++)
		{
			const comet_Busy *busy = &g_array_index(peer->busy, comet_Busy, i);
			struct comet_instance *instance =
				comet_instances_find_key(views->instances, busy->instance);
			if (instance == NULL)
				continue;
			instance->others += busy->running;
			instance->others_prompt += busy->prompt_tokens;
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
	look_for_silent(views, now_us);
	if (views->stale)
	{
		struct mark mark = {now_us};
		sum_others(views);
		comet_instances_each(views->instances, mark_viewed, &mark);
	}
	bool far = now_us - views->far_sent_us >= interval_us(views, false);
	bool near = now_us - views->near_sent_us >= interval_us(views, true);
	if (near || far)
		send_round(views, far, now_us);
	greet(views, now_us);
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
	send_round(views, true, now_us);
}

void
comet_views_count(const struct comet_views *views, uint32_t *known, uint32_t *heard)
{
	GHashTableIter at;
	gpointer value = NULL;

	*known = 0;
	*heard = 0;
	g_hash_table_iter_init(&at, views->peers);
	while (g_hash_table_iter_next(&at, NULL, &value))
	{
		const struct peer *peer = value;
		bool gone = peer->leaving && peer->silent;
		if (peer->heard_us == 0 || gone)
			continue;
		(*known)++;
		*heard += peer->silent ? 0 : 1;
	}
}

uint64_t
comet_views_interval_us(const struct comet_views *views)
{
	return interval_us(views, false);
}

uint32_t
comet_views_newer(const struct comet_views *views, uint64_t revision, uint32_t draw)
{
	GHashTableIter at;
	gpointer value = NULL;
	uint32_t newer = 0;
	uint32_t chosen = 0;

	g_hash_table_iter_init(&at, views->peers);
	while (g_hash_table_iter_next(&at, NULL, &value))
	{
		const struct peer *peer = value;
		newer += !peer->silent && peer->revision > revision ? 1 : 0;
	}
	uint32_t skip = newer > 0 ? draw % newer : 0;
	g_hash_table_iter_init(&at, views->peers);
	while (newer > 0 && chosen == 0 && g_hash_table_iter_next(&at, NULL, &value))
	{
		const struct peer *peer = value;
		if (peer->silent || peer->revision <= revision)
			continue;
		if (skip == 0)
			chosen = peer->address;
		skip--;
	}
	return chosen;
}

/* May a process that began then and was heard so keep count? */
static bool
can_keep(uint64_t began_us, uint64_t now_us)
{
	return now_us - began_us >= KEEPER_AGE_US;
}

uint32_t
comet_views_keeper(const struct comet_views *views, uint32_t key, uint32_t zone, uint64_t now_us)
{
	bool self = !views->leaving && can_keep(views->began_us, now_us);
	uint32_t chosen = self ? views->address : 0;
	bool chosen_near = self && views->zone == zone;
	uint64_t best = self ? comet_hash_score(key, views->address) : 0;
	GHashTableIter at;
	gpointer value = NULL;

	g_hash_table_iter_init(&at, views->peers);
	while (g_hash_table_iter_next(&at, NULL, &value))
	{
		const struct peer *peer = value;
		if (peer->heard_us == 0 || peer->silent || peer->leaving ||
			!can_keep(peer->began_us, now_us))
			continue;
		bool near = peer->zone == zone;
		uint64_t score = comet_hash_score(key, peer->address);
		if (chosen != 0 && (near != chosen_near ? !near : score <= best))
			continue;
		chosen = peer->address;
		chosen_near = near;
		best = score;
	}
	return chosen;
}

/* What a peer is known to run at an endpoint, or NULL. */
static comet_Busy *
busy_at(const struct peer *peer, uint32_t instance_key)
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
	struct peer *peer = g_hash_table_lookup(views->peers, GUINT_TO_POINTER(address));
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
	comet_instance_granted(views->instances, instance, prompt_tokens, now_us);
}

void
comet_views_freed(struct comet_views *views, uint32_t address, uint32_t instance_key)
{
	const struct peer *peer = g_hash_table_lookup(views->peers, GUINT_TO_POINTER(address));
	struct comet_instance *instance = comet_instances_find_key(views->instances, instance_key);
	comet_Busy *busy = peer != NULL ? busy_at(peer, instance_key) : NULL;

	if (instance == NULL || busy == NULL || busy->running == 0)
		return; /* its view came first */
	busy->running--;
	comet_instance_freed(instance);
}
