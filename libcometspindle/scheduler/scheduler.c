/*
 * scheduler.c
 * one shard of a pool: asks wait here in tier order and are granted endpoints
 */
#include <libcometspindle/scheduler/scheduler_private.h>

#include <string.h>

/* Asks tried after an event, and on a tick: bounds the cost of a decision whatever waits. */
#define EVENT_TRIES 4
#define TICK_TRIES 96
/* In one round over the teams of a tier, each may be tried so often. */
#define TRIES_PER_TEAM 3
/* An ask this near its deadline is looked at even where nothing has room. */
#define LATE_MARGIN_US 1000000ULL
/* The sample that groups prompts: their first 128 tokens. */
#define AFFINITY_SAMPLE 5
/* Hashes last used at an endpoint that are looked up in the groups. */
#define AFFINITY_RECENT 48
/* Grants by affinity in a row before the team's most urgent ask gets its turn. */
#define AFFINITY_STREAK 12
/* Teams looked at, and how far (tokens by weight) one may be ahead of the first. */
#define AFFINITY_TEAMS 5
#define AFFINITY_AHEAD 12000

static int
scheduler_destructor(struct comet_scheduler *scheduler)
{
	g_hash_table_destroy(scheduler->by_endpoint);
	g_hash_table_destroy(scheduler->asks);
	g_hash_table_destroy(scheduler->grants);
	g_queue_clear(&scheduler->ask_leases);
	g_queue_clear(&scheduler->grant_leases);
	for (size_t i = 0; i < COMET_TIERS_MAX; i++)
	{
		g_sequence_free(scheduler->tiers[i].order);
		g_hash_table_destroy(scheduler->tiers[i].teams);
	}
	comet_bundle_unref(scheduler->bundle);
	return 0;
}

struct comet_scheduler *
comet_scheduler_create(void *parent, struct comet_bundle *bundle, uint32_t pool_id, uint32_t shard,
	const struct comet_scheduler_ops *ops, void *ctx, uint64_t settle_until_us)
{
	struct comet_scheduler *scheduler = talloc_zero(parent, struct comet_scheduler);

	scheduler->pool_id = pool_id;
	scheduler->shard = shard;
	scheduler->ops = ops;
	scheduler->ctx = ctx;
	scheduler->settle_until_us = settle_until_us;
	scheduler->trust_health = true;
	scheduler->by_endpoint = g_hash_table_new(g_direct_hash, g_direct_equal);
	scheduler->asks = g_hash_table_new_full(
		comet_scheduler_key_hash, comet_scheduler_key_equal, NULL, g_free);
	scheduler->grants = g_hash_table_new_full(
		comet_scheduler_key_hash, comet_scheduler_key_equal, NULL, g_free);
	g_queue_init(&scheduler->ask_leases);
	g_queue_init(&scheduler->grant_leases);
	for (size_t i = 0; i < COMET_TIERS_MAX; i++)
	{
		scheduler->tiers[i].order = g_sequence_new(NULL);
		scheduler->tiers[i].teams = g_hash_table_new_full(
			g_direct_hash, g_direct_equal, NULL, comet_scheduler_team_destroy);
	}
	talloc_set_destructor(scheduler, scheduler_destructor);
	comet_scheduler_set_bundle(scheduler, bundle);
	return scheduler;
}

static bool
in_shard(const struct comet_scheduler *scheduler, const struct comet_bundle *bundle,
	const struct comet_endpoint *endpoint)
{
	return comet_endpoint_serves(endpoint, scheduler->pool_id) &&
	       comet_bundle_shard_of(bundle, scheduler->pool_id, endpoint->id) == scheduler->shard;
}

/* Endpoints got new places in the array: the tables that name them follow. */
static void
number_endpoints(struct comet_scheduler *scheduler)
{
	talloc_free(scheduler->prefixes);
	talloc_free(scheduler->cached);
	scheduler->prefixes = comet_prefix_map_create(scheduler, scheduler->n_endpoints);
	scheduler->cached = talloc_zero_array(scheduler, uint32_t, scheduler->n_endpoints);
	g_hash_table_remove_all(scheduler->by_endpoint);
	for (uint32_t i = 0; i < scheduler->n_endpoints; i++)
	{
		comet_prefix_index_attach(scheduler->endpoints[i].prefixes, scheduler->prefixes, i);
		g_hash_table_insert(scheduler->by_endpoint,
			GUINT_TO_POINTER(scheduler->endpoints[i].id), GUINT_TO_POINTER(i + 1));
	}
}

void
comet_scheduler_set_bundle(struct comet_scheduler *scheduler, struct comet_bundle *bundle)
{
	struct comet_endpoint_state *endpoints =
		talloc_zero_array(scheduler, struct comet_endpoint_state, bundle->n_endpoints);
	uint32_t count = 0;

	for (uint32_t i = 0; i < bundle->n_endpoints; i++)
	{
		const struct comet_endpoint *config = &bundle->endpoints[i];
		if (!in_shard(scheduler, bundle, config))
			continue;
		struct comet_endpoint_state *old = comet_scheduler_endpoint(scheduler, config->id);
		if (old != NULL)
		{
			endpoints[count] = *old;
			endpoints[count].config = config;
			talloc_steal(endpoints, old->prefixes);
		}
		else
			comet_endpoint_init(&endpoints[count], endpoints, config);
		count++;
	}
	talloc_free(scheduler->endpoints);
	scheduler->endpoints = endpoints;
	scheduler->n_endpoints = count;
	number_endpoints(scheduler);
	comet_bundle_ref(bundle);
	comet_bundle_unref(scheduler->bundle);
	scheduler->bundle = bundle;
	comet_scheduler_note_speeds(scheduler);
}

void
comet_scheduler_set_ctx(struct comet_scheduler *scheduler, void *ctx)
{
	scheduler->ctx = ctx;
}

static void
grant_ask(struct comet_scheduler *scheduler, struct ask *ask, const struct comet_work *work,
	const struct choice *choice, uint64_t now_us)
{
	uint64_t holder = ask->key.holder;
	comet_Grant message = {
		.request = ask->key.request,
		.endpoint = choice->free->id,
		.cached_tokens = choice->free_cost.cached_tokens,
		.cost_us = (uint32_t)MIN(choice->free_cost.total_us, UINT32_MAX),
	};

	if (choice->free->config->leaving)
		comet_violation("leaving_endpoint", "endpoint=%s request=%016" PRIx64,
			choice->free->config->name, ask->key.request);
	comet_scheduler_log_grant(scheduler, ask, choice, now_us);
	comet_endpoint_start(choice->free, work, choice->free_cost.cached_tokens, now_us);
	comet_scheduler_grant_add(
		scheduler, &ask->key, choice->free->id, ask->message.tier, now_us);
	comet_scheduler_charge(scheduler, ask,
		work->prompt_tokens - choice->free_cost.cached_tokens + work->output_tokens);
	comet_scheduler_dequeue(scheduler, ask);
	scheduler->granted++;
	scheduler->ops->grant(scheduler->ctx, holder, &message);
}

static void
decline_ask(struct comet_scheduler *scheduler, struct ask *ask, const struct choice *choice,
	uint64_t now_us)
{
	struct request_key key = ask->key;

	comet_log(COMET_LOG_INFO,
		"event=decline request=%08x.%012" PRIx64 " tier=%u slack_us=%" PRId64
		" fastest_us=%" PRIu64 " reason=cannot_finish_in_time",
		(uint32_t)key.holder, key.request, ask->message.tier,
		(int64_t)(ask->deadline_us - now_us), choice->fastest_us);
	comet_scheduler_dequeue(scheduler, ask);
	scheduler->declined++;
	scheduler->ops->decline(scheduler->ctx, key.holder, key.request);
}

enum tried
{
	TRIED_GRANTED, /* or declined: the queues changed */
	TRIED_WAITS,   /* better to wait for another endpoint */
	TRIED_NO_ROOM, /* nothing has room for this tier */
};

static enum tried
try_ask(struct comet_scheduler *scheduler, struct ask *ask, uint64_t now_us)
{
	struct comet_work work;
	struct choice choice;

	comet_scheduler_work(ask, &work);
	comet_scheduler_choose(scheduler, ask, &work, now_us, &choice);
	bool late = ask->deadline_us <= now_us;
	if (late || now_us + choice.fastest_us > ask->deadline_us)
	{
		decline_ask(scheduler, ask, &choice, now_us);
		return TRIED_GRANTED;
	}
	if (!choice.room)
		return TRIED_NO_ROOM;
	if (comet_scheduler_better_to_wait(&choice, ask, now_us))
		return TRIED_WAITS;
	ask->team->streak = 0;
	grant_ask(scheduler, ask, &work, &choice, now_us);
	return TRIED_GRANTED;
}

static enum tried
try_team(struct comet_scheduler *scheduler, struct team_queue *team, uint64_t now_us)
{
	GSequenceIter *spot = g_sequence_get_begin_iter(team->asks);

	for (int i = 0; i < TRIES_PER_TEAM && !g_sequence_iter_is_end(spot); i++)
	{
		GSequenceIter *next = g_sequence_iter_next(spot);
		if (scheduler->tries_left == 0)
			return TRIED_NO_ROOM;
		scheduler->tries_left--;
		enum tried tried = try_ask(scheduler, g_sequence_get(spot), now_us);
		if (tried != TRIED_WAITS)
			return tried;
		spot = next;
	}
	return TRIED_WAITS;
}

/* The most urgent of the team's asks whose prompts begin with what the endpoint holds. */
static struct ask *
find_by_affinity(struct team_queue *team, const struct comet_endpoint_state *endpoint)
{
	struct ask *best = NULL;

	for (uint32_t i = 0; i < AFFINITY_RECENT; i++)
	{
		uint32_t hash = comet_prefix_index_recent(endpoint->prefixes, i);
		GSequence *group =
			hash != 0 ? g_hash_table_lookup(team->groups, GUINT_TO_POINTER(hash))
				  : NULL;
		if (hash == 0)
			break;
		if (group == NULL)
			continue;
		struct ask *ask = g_sequence_get(g_sequence_get_begin_iter(group));
		if (best == NULL || ask->deadline_us < best->deadline_us)
			best = ask;
	}
	return best;
}

static uint32_t
first_waiting_tier(const struct comet_scheduler *scheduler)
{
	uint32_t tier = 0;

	while (tier < scheduler->bundle->n_tiers && scheduler->tiers[tier].waiting == 0)
		tier++;
	return tier;
}

/* Looks at the teams in turn, as far as they are not ahead of the first by more than a little. */
static struct ask *
find_in_tier(struct tier_queue *queue, const struct comet_endpoint_state *endpoint)
{
	GSequenceIter *spot = g_sequence_get_begin_iter(queue->order);
	double first = ((struct team_queue *)g_sequence_get(spot))->served;

	for (int i = 0; i < AFFINITY_TEAMS && !g_sequence_iter_is_end(spot); i++)
	{
		struct team_queue *team = g_sequence_get(spot);
		struct ask *ask = NULL;
		if (team->served > first + AFFINITY_AHEAD)
			return NULL;
		if (team->streak < AFFINITY_STREAK)
			ask = find_by_affinity(team, endpoint);
		if (ask != NULL)
			return ask;
		spot = g_sequence_iter_next(spot);
	}
	return NULL;
}

/*
 * An endpoint became free: under pressure it had better take a prompt that it
 * holds the beginning of than the most urgent one, now and then at least.
 */
static void
try_affinity(
	struct comet_scheduler *scheduler, struct comet_endpoint_state *endpoint, uint64_t now_us)
{
	uint32_t tier = first_waiting_tier(scheduler);
	struct choice choice = {.free = endpoint, .room = true, .by_affinity = true};
	struct comet_work work;

	if (now_us < scheduler->settle_until_us || endpoint->health != COMET_HEALTH_OK)
		return;
	if (tier == 0 || tier == scheduler->bundle->n_tiers)
		return; /* the top tier goes strictly by deadline */
	if (!comet_endpoint_has_room(
		    endpoint, scheduler->bundle->tiers[tier].share_percent, true, now_us))
		return;
	struct ask *ask = find_in_tier(&scheduler->tiers[tier], endpoint);
	if (ask == NULL || ask->message.avoid == endpoint->id)
		return;
	comet_scheduler_work(ask, &work);
	comet_prefix_map_match(scheduler->prefixes, work.prefix, scheduler->cached);
	comet_endpoint_cost(endpoint, &work, scheduler->cached[endpoint - scheduler->endpoints],
		scheduler->bundle->limits.reuse_weight, &choice.free_cost);
	if (now_us + choice.free_cost.finish_us > ask->deadline_us)
		return;
	ask->team->streak++;
	grant_ask(scheduler, ask, &work, &choice, now_us);
}

/* One round over the teams of a tier, least served first. */
static enum tried
try_tier(struct comet_scheduler *scheduler, struct tier_queue *queue, uint64_t now_us)
{
	GSequenceIter *spot = g_sequence_get_begin_iter(queue->order);

	while (!g_sequence_iter_is_end(spot))
	{
		GSequenceIter *next = g_sequence_iter_next(spot);
		enum tried tried = try_team(scheduler, g_sequence_get(spot), now_us);
		if (tried != TRIED_WAITS)
			return tried;
		spot = next;
	}
	return TRIED_WAITS;
}

static bool
any_room(const struct comet_scheduler *scheduler, uint32_t tier, uint64_t now_us)
{
	uint32_t share = scheduler->bundle->tiers[tier].share_percent;

	for (uint32_t i = 0; i < scheduler->n_endpoints; i++)
	{
		if (comet_endpoint_has_room(
			    &scheduler->endpoints[i], share, scheduler->trust_health, now_us))
			return true;
	}
	return false;
}

/* Grants what can be granted, most urgent tier first. */
static void
run_pass(struct comet_scheduler *scheduler, uint32_t tries, uint64_t now_us)
{
	if (now_us < scheduler->settle_until_us)
		return;
	scheduler->tries_left = tries;
	for (uint32_t tier = 0; tier < scheduler->bundle->n_tiers; tier++)
	{
		enum tried tried = TRIED_GRANTED;
		while (tried == TRIED_GRANTED && scheduler->tiers[tier].waiting > 0)
		{
			if (!any_room(scheduler, tier, now_us))
				return; /* lower tiers have smaller shares */
			tried = try_tier(scheduler, &scheduler->tiers[tier], now_us);
		}
		if (tried == TRIED_NO_ROOM)
			return;
	}
}

/* Ends asks at the front of each queue that can no longer be done in time. */
static void
decline_late(struct comet_scheduler *scheduler, uint64_t now_us)
{
	struct ask *ask = NULL;

	for (uint32_t tier = 0; tier < scheduler->bundle->n_tiers; tier++)
	{
		GSequenceIter *spot = g_sequence_get_begin_iter(scheduler->tiers[tier].order);
		while (!g_sequence_iter_is_end(spot))
		{
			struct team_queue *team = g_sequence_get(spot);
			spot = g_sequence_iter_next(spot);
			ask = g_sequence_get(g_sequence_get_begin_iter(team->asks));
			if (ask->deadline_us <= now_us + LATE_MARGIN_US)
				try_ask(scheduler, ask, now_us);
		}
	}
}

void
comet_scheduler_ask(struct comet_scheduler *scheduler, uint64_t holder, const comet_Ask *message,
	uint64_t now_us)
{
	struct request_key key = {holder, message->request};
	struct ask *ask = g_hash_table_lookup(scheduler->asks, &key);

	if (message->tier >= scheduler->bundle->n_tiers)
		return;
	if (ask != NULL)
	{
		comet_scheduler_lease_renew(&scheduler->ask_leases, ask->lease,
			&ask->lease_until_us, now_us + ASK_LEASE_US);
		return;
	}
	if (g_hash_table_contains(scheduler->grants, &key))
	{
		/* the grant crossed with this renewal, or was lost: the holder says which */
		return;
	}
	ask = g_new0(struct ask, 1);
	ask->key = key;
	ask->message = *message;
	ask->prefix.count = message->prefix_count;
	memcpy(ask->prefix.hash, message->prefix, sizeof ask->prefix.hash);
	if (ask->prefix.count > 0)
		ask->affinity = ask->prefix.hash[MIN(ask->prefix.count - 1, AFFINITY_SAMPLE)];
	ask->arrived_us = now_us;
	ask->deadline_us = now_us + message->slack_ms * 1000ULL;
	ask->lease_until_us = now_us + ASK_LEASE_US;
	g_queue_push_tail(&scheduler->ask_leases, ask);
	ask->lease = scheduler->ask_leases.tail;
	ask->team = comet_scheduler_team(scheduler, message->tier, message->team);
	g_hash_table_insert(scheduler->asks, &ask->key, ask);
	comet_scheduler_enqueue(scheduler, ask);
	run_pass(scheduler, EVENT_TRIES, now_us);
}

void
comet_scheduler_running(struct comet_scheduler *scheduler, uint64_t holder,
	const comet_Running *message, uint64_t now_us)
{
	struct request_key key = {holder, message->request};
	struct grant *grant = g_hash_table_lookup(scheduler->grants, &key);
	struct comet_endpoint_state *endpoint =
		comet_scheduler_endpoint(scheduler, message->endpoint);
	static const struct comet_prefix no_prefix;
	struct comet_work work = {.tier = message->tier, .prefix = &no_prefix};

	if (grant != NULL)
	{
		comet_scheduler_lease_renew(&scheduler->grant_leases, grant->lease,
			&grant->lease_until_us, now_us + GRANT_LEASE_US);
		return;
	}
	if (endpoint == NULL)
		return;
	comet_scheduler_grant_add(scheduler, &key, message->endpoint, message->tier, now_us);
	comet_endpoint_start(endpoint, &work, 0, now_us);
}

void
comet_scheduler_done(
	struct comet_scheduler *scheduler, uint64_t holder, const comet_Done *done, uint64_t now_us)
{
	struct request_key key = {holder, done->request};
	struct ask *ask = g_hash_table_lookup(scheduler->asks, &key);
	struct grant *grant = g_hash_table_lookup(scheduler->grants, &key);
	struct comet_sample sample = {
		.first_token_us = done->first_token_us,
		.step_us = done->step_us,
		.prompt_tokens = done->prompt_tokens,
		.cached_tokens = done->cached_tokens,
		.output_tokens = done->output_tokens,
	};

	if (ask != NULL)
		comet_scheduler_dequeue(scheduler, ask);
	if (grant != NULL)
	{
		struct comet_endpoint_state *endpoint =
			comet_scheduler_endpoint(scheduler, grant->endpoint_id);
		comet_scheduler_grant_end(
			scheduler, grant, (enum comet_outcome)done->outcome, &sample, now_us);
		if (endpoint != NULL)
			try_affinity(scheduler, endpoint, now_us);
	}
	run_pass(scheduler, EVENT_TRIES, now_us);
}

void
comet_scheduler_slow(
	struct comet_scheduler *scheduler, uint32_t endpoint_id, uint32_t step_us, uint64_t now_us)
{
	struct comet_endpoint_state *endpoint = comet_scheduler_endpoint(scheduler, endpoint_id);

	if (endpoint == NULL)
		return;
	if (comet_endpoint_slow(endpoint, step_us, now_us))
		comet_log(COMET_LOG_NOTICE,
			"event=health endpoint=%s health=%s evidence=silent_stream",
			endpoint->config->name, comet_health_name(endpoint->health));
}

void
comet_scheduler_report(
	struct comet_scheduler *scheduler, uint32_t endpoint_id, uint32_t total, uint64_t now_us)
{
	struct comet_endpoint_state *endpoint = comet_scheduler_endpoint(scheduler, endpoint_id);

	if (endpoint != NULL)
		comet_endpoint_report(endpoint, total, now_us);
}

static const struct comet_sample no_sample;

void
comet_scheduler_holder_gone(struct comet_scheduler *scheduler, uint64_t holder, uint64_t now_us)
{
	GList *link = scheduler->ask_leases.head;

	while (link != NULL)
	{
		struct ask *ask = link->data;
		link = link->next;
		if (ask->key.holder == holder)
			comet_scheduler_dequeue(scheduler, ask);
	}
	link = scheduler->grant_leases.head;
	while (link != NULL)
	{
		struct grant *grant = link->data;
		link = link->next;
		if (grant->key.holder == holder)
			comet_scheduler_grant_end(
				scheduler, grant, COMET_OUTCOME_RETURNED, &no_sample, now_us);
	}
	run_pass(scheduler, EVENT_TRIES, now_us);
}

void
comet_scheduler_tick(struct comet_scheduler *scheduler, uint64_t now_us)
{
	struct ask *ask = g_queue_peek_head(&scheduler->ask_leases);
	struct grant *grant = g_queue_peek_head(&scheduler->grant_leases);

	while (ask != NULL && ask->lease_until_us <= now_us)
	{
		comet_scheduler_dequeue(scheduler, ask);
		ask = g_queue_peek_head(&scheduler->ask_leases);
	}
	while (grant != NULL && grant->lease_until_us <= now_us)
	{
		comet_scheduler_grant_end(
			scheduler, grant, COMET_OUTCOME_RETURNED, &no_sample, now_us);
		grant = g_queue_peek_head(&scheduler->grant_leases);
	}
	comet_scheduler_note_speeds(scheduler);
	decline_late(scheduler, now_us);
	run_pass(scheduler, TICK_TRIES, now_us);
}

void
comet_scheduler_count(
	const struct comet_scheduler *scheduler, struct comet_scheduler_counts *counts)
{
	memset(counts, 0, sizeof *counts);
	for (size_t i = 0; i < COMET_TIERS_MAX; i++)
		counts->waiting[i] = scheduler->tiers[i].waiting;
	counts->running = g_hash_table_size(scheduler->grants);
	counts->endpoints = scheduler->n_endpoints;
	for (uint32_t i = 0; i < scheduler->n_endpoints; i++)
	{
		if (scheduler->endpoints[i].health == COMET_HEALTH_OK)
			counts->healthy++;
	}
	counts->granted = scheduler->granted;
	counts->declined = scheduler->declined;
}

struct comet_endpoint_state *
comet_scheduler_endpoints(struct comet_scheduler *scheduler, uint32_t *count)
{
	*count = scheduler->n_endpoints;
	return scheduler->endpoints;
}
