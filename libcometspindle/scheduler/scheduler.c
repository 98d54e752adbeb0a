/*
 * scheduler.c
 * scheduler of one pool shard: queues slot requests and grants endpoints in tier order
 */
#include <libcometspindle/scheduler/scheduler_private.h>

#include <string.h>

/* Slot requests evaluated per event and per tick; bounds the cost with any queue length. */
#define EVENT_EVALUATIONS 4
#define TICK_EVALUATIONS 96
/* Slot requests of one team evaluated in one round over the teams of a tier. */
#define EVALUATIONS_PER_TEAM 3
/* A slot request this close to its deadline is evaluated even if no endpoint has room. */
#define DEADLINE_MARGIN_US 1000000ULL
/* Prompts are grouped by this sample, which covers their first 128 tokens. */
#define AFFINITY_SAMPLE_INDEX 5
/* Number of the most recently used hashes of an endpoint that are looked up in the groups. */
#define AFFINITY_RECENT_HASHES 48
/* Consecutive affinity grants after which the most urgent request of a team goes first. */
#define AFFINITY_MAX_CONSECUTIVE 12
/* Teams searched for affinity, and their maximum lead (weighted tokens) over the first. */
#define AFFINITY_MAX_TEAMS 5
#define AFFINITY_MAX_LEAD_TOKENS 12000

static int
scheduler_destructor(struct comet_scheduler *scheduler)
{
	g_hash_table_destroy(scheduler->by_endpoint);
	g_hash_table_destroy(scheduler->slot_requests);
	g_hash_table_destroy(scheduler->grants);
	g_queue_clear(&scheduler->slot_request_leases);
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
	scheduler->slot_requests = g_hash_table_new_full(
		comet_scheduler_key_hash, comet_scheduler_key_equal, NULL, g_free);
	scheduler->grants = g_hash_table_new_full(
		comet_scheduler_key_hash, comet_scheduler_key_equal, NULL, g_free);
	g_queue_init(&scheduler->slot_request_leases);
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

/* Rebuilds the tables that refer to endpoints by their array index. */
static void
index_endpoints(struct comet_scheduler *scheduler)
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
	index_endpoints(scheduler);
	comet_bundle_ref(bundle);
	comet_bundle_unref(scheduler->bundle);
	scheduler->bundle = bundle;
	comet_scheduler_update_speeds(scheduler);
}

void
comet_scheduler_set_ctx(struct comet_scheduler *scheduler, void *ctx)
{
	scheduler->ctx = ctx;
}

static void
grant_slot(struct comet_scheduler *scheduler, struct slot_request *slot_request,
	const struct comet_work *work, const struct choice *choice, uint64_t now_us)
{
	uint64_t vm_id = slot_request->key.vm_id;
	comet_Grant message = {
		.request = slot_request->key.request,
		.endpoint = choice->available->id,
		.cached_tokens = choice->available_cost.cached_tokens,
		.cost_us = (uint32_t)MIN(choice->available_cost.total_us, UINT32_MAX),
	};

	if (choice->available->config->leaving)
		comet_violation("leaving_endpoint", "endpoint=%s request=%016" PRIx64,
			choice->available->config->name, slot_request->key.request);
	comet_scheduler_log_grant(scheduler, slot_request, choice, now_us);
	comet_endpoint_start(choice->available, work, choice->available_cost.cached_tokens, now_us);
	comet_scheduler_grant_add(scheduler, &slot_request->key, choice->available->id,
		slot_request->message.tier, now_us);
	comet_scheduler_charge(scheduler, slot_request,
		work->prompt_tokens - choice->available_cost.cached_tokens + work->output_tokens);
	comet_scheduler_dequeue(scheduler, slot_request);
	scheduler->granted++;
	scheduler->ops->grant(scheduler->ctx, vm_id, &message);
}

static void
decline_slot_request(struct comet_scheduler *scheduler, struct slot_request *slot_request,
	const struct choice *choice, uint64_t now_us)
{
	struct request_key key = slot_request->key;

	comet_log(COMET_LOG_INFO,
		"event=decline request=%08x.%012" PRIx64 " tier=%u slack_us=%" PRId64
		" fastest_us=%" PRIu64 " reason=cannot_finish_in_time",
		(uint32_t)key.vm_id, key.request, slot_request->message.tier,
		(int64_t)(slot_request->deadline_us - now_us), choice->fastest_us);
	comet_scheduler_dequeue(scheduler, slot_request);
	scheduler->declined++;
	scheduler->ops->decline(scheduler->ctx, key.vm_id, key.request);
}

enum pass_result
{
	PASS_DECIDED,  /* granted or declined, so the queues changed */
	PASS_DEFERRED, /* waiting for a full endpoint is better */
	PASS_NO_ROOM,  /* no endpoint has room, or no evaluations are left */
};

static enum pass_result
evaluate_slot_request(
	struct comet_scheduler *scheduler, struct slot_request *slot_request, uint64_t now_us)
{
	struct comet_work work;
	struct choice choice;

	comet_scheduler_fill_work(slot_request, &work);
	comet_scheduler_choose(scheduler, slot_request, &work, now_us, &choice);
	bool late = slot_request->deadline_us <= now_us;
	if (late || now_us + choice.fastest_us > slot_request->deadline_us)
	{
		decline_slot_request(scheduler, slot_request, &choice, now_us);
		return PASS_DECIDED;
	}
	if (!choice.has_room)
		return PASS_NO_ROOM;
	if (comet_scheduler_better_to_wait(&choice, slot_request, now_us))
		return PASS_DEFERRED;
	slot_request->team->affinity_grants = 0;
	grant_slot(scheduler, slot_request, &work, &choice, now_us);
	return PASS_DECIDED;
}

static enum pass_result
evaluate_team(struct comet_scheduler *scheduler, struct team_queue *team, uint64_t now_us)
{
	GSequenceIter *position = g_sequence_get_begin_iter(team->slot_requests);

	for (int i = 0; i < EVALUATIONS_PER_TEAM && !g_sequence_iter_is_end(position); i++)
	{
		GSequenceIter *next = g_sequence_iter_next(position);
		if (scheduler->evaluations_left == 0)
			return PASS_NO_ROOM;
		scheduler->evaluations_left--;
		enum pass_result result =
			evaluate_slot_request(scheduler, g_sequence_get(position), now_us);
		if (result != PASS_DEFERRED)
			return result;
		position = next;
	}
	return PASS_DEFERRED;
}

/* Returns the team's most urgent slot request whose prompt prefix the endpoint has cached. */
static struct slot_request *
find_by_affinity(struct team_queue *team, const struct comet_endpoint_state *endpoint)
{
	struct slot_request *best = NULL;

	for (uint32_t i = 0; i < AFFINITY_RECENT_HASHES; i++)
	{
		uint32_t hash = comet_prefix_index_recent(endpoint->prefixes, i);
		GSequence *group =
			hash != 0 ? g_hash_table_lookup(team->groups, GUINT_TO_POINTER(hash))
				  : NULL;
		if (hash == 0)
			break;
		if (group == NULL)
			continue;
		struct slot_request *slot_request =
			g_sequence_get(g_sequence_get_begin_iter(group));
		if (best == NULL || slot_request->deadline_us < best->deadline_us)
			best = slot_request;
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

/* Searches the least served teams, up to AFFINITY_MAX_LEAD_TOKENS ahead of the first team. */
static struct slot_request *
find_in_tier(struct tier_queue *queue, const struct comet_endpoint_state *endpoint)
{
	GSequenceIter *position = g_sequence_get_begin_iter(queue->order);
	double first = ((struct team_queue *)g_sequence_get(position))->weighted_tokens;

	for (int i = 0; i < AFFINITY_MAX_TEAMS && !g_sequence_iter_is_end(position); i++)
	{
		struct team_queue *team = g_sequence_get(position);
		struct slot_request *slot_request = NULL;
		if (team->weighted_tokens > first + AFFINITY_MAX_LEAD_TOKENS)
			return NULL;
		if (team->affinity_grants < AFFINITY_MAX_CONSECUTIVE)
			slot_request = find_by_affinity(team, endpoint);
		if (slot_request != NULL)
			return slot_request;
		position = g_sequence_iter_next(position);
	}
	return NULL;
}

/*
 * Gives a freed slot to a request whose prompt prefix the endpoint has cached, in
 * preference to the most urgent one. AFFINITY_MAX_CONSECUTIVE limits the preference.
 */
static void
grant_by_affinity(
	struct comet_scheduler *scheduler, struct comet_endpoint_state *endpoint, uint64_t now_us)
{
	uint32_t tier = first_waiting_tier(scheduler);
	struct choice choice = {.available = endpoint, .has_room = true, .by_affinity = true};
	struct comet_work work;

	if (now_us < scheduler->settle_until_us || endpoint->health != COMET_HEALTH_OK)
		return;
	if (tier == 0 || tier == scheduler->bundle->n_tiers)
		return; /* the top tier is served strictly by deadline */
	if (!comet_endpoint_has_room(
		    endpoint, scheduler->bundle->tiers[tier].share_percent, true, now_us))
		return;
	struct slot_request *slot_request = find_in_tier(&scheduler->tiers[tier], endpoint);
	if (slot_request == NULL || slot_request->message.avoid == endpoint->id)
		return;
	comet_scheduler_fill_work(slot_request, &work);
	comet_prefix_map_match(scheduler->prefixes, work.prefix, scheduler->cached);
	comet_endpoint_cost(endpoint, &work, scheduler->cached[endpoint - scheduler->endpoints],
		scheduler->bundle->limits.reuse_weight, &choice.available_cost);
	if (now_us + choice.available_cost.finish_us > slot_request->deadline_us)
		return;
	slot_request->team->affinity_grants++;
	grant_slot(scheduler, slot_request, &work, &choice, now_us);
}

/* Evaluates the teams of a tier once each, least served team first. */
static enum pass_result
evaluate_tier(struct comet_scheduler *scheduler, struct tier_queue *queue, uint64_t now_us)
{
	GSequenceIter *position = g_sequence_get_begin_iter(queue->order);

	while (!g_sequence_iter_is_end(position))
	{
		GSequenceIter *next = g_sequence_iter_next(position);
		enum pass_result result =
			evaluate_team(scheduler, g_sequence_get(position), now_us);
		if (result != PASS_DEFERRED)
			return result;
		position = next;
	}
	return PASS_DEFERRED;
}

static bool
any_endpoint_has_room(const struct comet_scheduler *scheduler, uint32_t tier, uint64_t now_us)
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

/* Grants waiting slot requests while there is room, most urgent tier first. */
static void
grant_waiting(struct comet_scheduler *scheduler, uint32_t evaluations, uint64_t now_us)
{
	if (now_us < scheduler->settle_until_us)
		return;
	scheduler->evaluations_left = evaluations;
	for (uint32_t tier = 0; tier < scheduler->bundle->n_tiers; tier++)
	{
		enum pass_result result = PASS_DECIDED;
		while (result == PASS_DECIDED && scheduler->tiers[tier].waiting > 0)
		{
			if (!any_endpoint_has_room(scheduler, tier, now_us))
				return; /* less urgent tiers have smaller shares */
			result = evaluate_tier(scheduler, &scheduler->tiers[tier], now_us);
		}
		if (result == PASS_NO_ROOM)
			return;
	}
}

/* Evaluates the first slot request of each team if its deadline is near. */
static void
decline_overdue(struct comet_scheduler *scheduler, uint64_t now_us)
{
	struct slot_request *slot_request = NULL;

	for (uint32_t tier = 0; tier < scheduler->bundle->n_tiers; tier++)
	{
		GSequenceIter *position = g_sequence_get_begin_iter(scheduler->tiers[tier].order);
		while (!g_sequence_iter_is_end(position))
		{
			struct team_queue *team = g_sequence_get(position);
			position = g_sequence_iter_next(position);
			slot_request =
				g_sequence_get(g_sequence_get_begin_iter(team->slot_requests));
			if (slot_request->deadline_us <= now_us + DEADLINE_MARGIN_US)
				evaluate_slot_request(scheduler, slot_request, now_us);
		}
	}
}

void
comet_scheduler_ask(struct comet_scheduler *scheduler, uint64_t vm_id, const comet_Ask *message,
	uint64_t now_us)
{
	struct request_key key = {vm_id, message->request};
	struct slot_request *slot_request = g_hash_table_lookup(scheduler->slot_requests, &key);

	if (message->tier >= scheduler->bundle->n_tiers)
		return;
	if (slot_request != NULL)
	{
		comet_scheduler_lease_renew(&scheduler->slot_request_leases, slot_request->lease,
			&slot_request->lease_until_us, now_us + SLOT_REQUEST_LEASE_US);
		return;
	}
	if (g_hash_table_contains(scheduler->grants, &key))
	{
		/* The grant crossed this renewal or was lost; later messages of the VM show which.
		 */
		return;
	}
	slot_request = g_new0(struct slot_request, 1);
	slot_request->key = key;
	slot_request->message = *message;
	slot_request->prefix.count = message->prefix_count;
	memcpy(slot_request->prefix.hash, message->prefix, sizeof slot_request->prefix.hash);
	if (slot_request->prefix.count > 0)
		slot_request->affinity =
			slot_request->prefix
				.hash[MIN(slot_request->prefix.count - 1, AFFINITY_SAMPLE_INDEX)];
	slot_request->arrived_us = now_us;
	slot_request->deadline_us = now_us + message->slack_ms * 1000ULL;
	slot_request->lease_until_us = now_us + SLOT_REQUEST_LEASE_US;
	g_queue_push_tail(&scheduler->slot_request_leases, slot_request);
	slot_request->lease = scheduler->slot_request_leases.tail;
	slot_request->team = comet_scheduler_team(scheduler, message->tier, message->team);
	g_hash_table_insert(scheduler->slot_requests, &slot_request->key, slot_request);
	comet_scheduler_enqueue(scheduler, slot_request);
	grant_waiting(scheduler, EVENT_EVALUATIONS, now_us);
}

void
comet_scheduler_running(struct comet_scheduler *scheduler, uint64_t vm_id,
	const comet_Running *message, uint64_t now_us)
{
	struct request_key key = {vm_id, message->request};
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
	struct comet_scheduler *scheduler, uint64_t vm_id, const comet_Done *done, uint64_t now_us)
{
	struct request_key key = {vm_id, done->request};
	struct slot_request *slot_request = g_hash_table_lookup(scheduler->slot_requests, &key);
	struct grant *grant = g_hash_table_lookup(scheduler->grants, &key);
	struct comet_sample sample = {
		.first_token_us = done->first_token_us,
		.step_us = done->step_us,
		.prompt_tokens = done->prompt_tokens,
		.cached_tokens = done->cached_tokens,
		.output_tokens = done->output_tokens,
	};

	if (slot_request != NULL)
		comet_scheduler_dequeue(scheduler, slot_request);
	if (grant != NULL)
	{
		struct comet_endpoint_state *endpoint =
			comet_scheduler_endpoint(scheduler, grant->endpoint_id);
		comet_scheduler_grant_end(
			scheduler, grant, (enum comet_outcome)done->outcome, &sample, now_us);
		if (endpoint != NULL)
			grant_by_affinity(scheduler, endpoint, now_us);
	}
	grant_waiting(scheduler, EVENT_EVALUATIONS, now_us);
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
comet_scheduler_holder_gone(struct comet_scheduler *scheduler, uint64_t vm_id, uint64_t now_us)
{
	GList *link = scheduler->slot_request_leases.head;

	while (link != NULL)
	{
		struct slot_request *slot_request = link->data;
		link = link->next;
		if (slot_request->key.vm_id == vm_id)
			comet_scheduler_dequeue(scheduler, slot_request);
	}
	link = scheduler->grant_leases.head;
	while (link != NULL)
	{
		struct grant *grant = link->data;
		link = link->next;
		if (grant->key.vm_id == vm_id)
			comet_scheduler_grant_end(
				scheduler, grant, COMET_OUTCOME_RETURNED, &no_sample, now_us);
	}
	grant_waiting(scheduler, EVENT_EVALUATIONS, now_us);
}

void
comet_scheduler_tick(struct comet_scheduler *scheduler, uint64_t now_us)
{
	struct slot_request *slot_request = g_queue_peek_head(&scheduler->slot_request_leases);
	struct grant *grant = g_queue_peek_head(&scheduler->grant_leases);

	while (slot_request != NULL && slot_request->lease_until_us <= now_us)
	{
		comet_scheduler_dequeue(scheduler, slot_request);
		slot_request = g_queue_peek_head(&scheduler->slot_request_leases);
	}
	while (grant != NULL && grant->lease_until_us <= now_us)
	{
		comet_scheduler_grant_end(
			scheduler, grant, COMET_OUTCOME_RETURNED, &no_sample, now_us);
		grant = g_queue_peek_head(&scheduler->grant_leases);
	}
	comet_scheduler_update_speeds(scheduler);
	decline_overdue(scheduler, now_us);
	grant_waiting(scheduler, TICK_EVALUATIONS, now_us);
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
