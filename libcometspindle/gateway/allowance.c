/*
 * allowance.c
 * what each team may still spend, summed over all VMs without shared state
 */
#include <libcometspindle/gateway/allowance.h>

#include <glib.h>
#include <talloc.h>

/* Part of the permitted excess that a bucket may hold: the rest covers what other VMs spend
 * between two views. */
#define EXCESS_PART 0.35

/* Part of a full bucket that a process starts with: others may have spent just before. */
#define START_PART 0.4

/* A refusal names at least this time to come back. */
#define RETRY_AFTER_MIN_MS 200

struct bucket
{
	double level;
	double rate_per_s; /* 0: no limit */
	double capacity;
	uint64_t filled_us;
	uint64_t spent; /* by this VM since its start */
	bool listed;
};

struct comet_allowance
{
	struct comet_allowance_bounds bounds;
	GHashTable *buckets; /* team id -> struct bucket */
	double heard;
};

static int
allowance_destroy(struct comet_allowance *allowance)
{
	g_hash_table_destroy(allowance->buckets);
	return 0;
}

struct comet_allowance *
comet_allowance_create(void *parent, const struct comet_allowance_bounds *bounds)
{
	struct comet_allowance *allowance = talloc_zero(parent, struct comet_allowance);

	allowance->bounds = *bounds;
	allowance->heard = 1.0;
	allowance->buckets = g_hash_table_new_full(NULL, NULL, NULL, g_free);
	talloc_set_destructor(allowance, allowance_destroy);
	return allowance;
}

static struct bucket *
find(const struct comet_allowance *allowance, uint32_t team_id)
{
	return g_hash_table_lookup(allowance->buckets, GUINT_TO_POINTER(team_id));
}

static void
fill(const struct comet_allowance *allowance, struct bucket *bucket, uint64_t now_us)
{
	double passed_s = (double)(now_us - bucket->filled_us) / 1e6;

	bucket->filled_us = now_us;
	bucket->level += bucket->rate_per_s * allowance->heard * passed_s;
	bucket->level = MIN(bucket->level, bucket->capacity);
}

struct set_teams
{
	struct comet_allowance *allowance;
	uint64_t now_us;
};

static void
set_team(void *ctx, const struct comet_route_team *team)
{
	struct set_teams *set = ctx;
	const struct comet_allowance_bounds *bounds = &set->allowance->bounds;
	struct bucket *bucket = find(set->allowance, team->id);
	double limit = (double)team->rate_per_s * bounds->window_ms / 1000 + (double)team->burst;
	/* The slack is told in tokens; for requests only the overage counts. */
	double excess = bounds->overage * limit + (team->in_tokens ? bounds->slack : 0);
	double capacity = (double)team->burst + EXCESS_PART * excess;
	bool is_new = bucket == NULL;

	if (is_new)
	{
		bucket = g_new0(struct bucket, 1);
		bucket->filled_us = set->now_us;
		bucket->capacity = capacity;
		bucket->level = START_PART * capacity;
		g_hash_table_insert(set->allowance->buckets, GUINT_TO_POINTER(team->id), bucket);
	}
	fill(set->allowance, bucket, set->now_us);
	if (!is_new && bucket->rate_per_s == 0)
		bucket->level = START_PART * capacity;
	bucket->rate_per_s = (double)team->rate_per_s;
	bucket->capacity = capacity;
	bucket->level = MIN(bucket->level, capacity);
	bucket->listed = true;
}

void
comet_allowance_set_teams(
	struct comet_allowance *allowance, const struct comet_route_table *table, uint64_t now_us)
{
	struct set_teams set = {allowance, now_us};

	comet_route_table_each_team(table, set_team, &set);
}

void
comet_allowance_set_heard(struct comet_allowance *allowance, double part, uint64_t now_us)
{
	GHashTableIter at;
	gpointer bucket = NULL;

	if (part == allowance->heard)
		return;
	g_hash_table_iter_init(&at, allowance->buckets);
	while (g_hash_table_iter_next(&at, NULL, &bucket))
		fill(allowance, bucket, now_us);
	allowance->heard = part;
}

uint32_t
comet_allowance_spend(
	struct comet_allowance *allowance, uint32_t team_id, uint64_t amount, uint64_t now_us)
{
	struct bucket *bucket = find(allowance, team_id);

	if (bucket == NULL)
		return 0;
	if (bucket->rate_per_s > 0)
	{
		fill(allowance, bucket, now_us);
		/* A request larger than the bucket goes out of a full one. */
		double needed = MIN((double)amount, bucket->capacity);
		if (bucket->level < needed)
		{
			double rate = bucket->rate_per_s * MAX(allowance->heard, 0.01);
			double wait_ms = (needed - bucket->level) / rate * 1000;
			return (uint32_t)MAX(wait_ms, RETRY_AFTER_MIN_MS);
		}
		bucket->level -= (double)amount;
	}
	bucket->spent += amount;
	return 0;
}

void
comet_allowance_spent_elsewhere(
	struct comet_allowance *allowance, uint32_t team_id, uint64_t amount, uint64_t now_us)
{
	struct bucket *bucket = find(allowance, team_id);

	if (bucket == NULL || bucket->rate_per_s == 0)
		return;
	fill(allowance, bucket, now_us);
	bucket->level -= (double)amount;
	/* Debt beyond a full bucket would outlast the window that the limit is about. */
	bucket->level = MAX(bucket->level, -bucket->capacity);
}

void
comet_allowance_give_back(struct comet_allowance *allowance, uint32_t team_id, uint64_t amount)
{
	struct bucket *bucket = find(allowance, team_id);

	if (bucket == NULL)
		return;
	bucket->level = MIN(bucket->level + (double)amount, bucket->capacity);
	bucket->spent -= MIN(bucket->spent, amount);
}

void
comet_allowance_each_spent(struct comet_allowance *allowance,
	void (*visit)(void *ctx, uint32_t team_id, uint64_t spent), void *ctx)
{
	GHashTableIter at;
	gpointer key = NULL;
	gpointer bucket = NULL;

	g_hash_table_iter_init(&at, allowance->buckets);
	while (g_hash_table_iter_next(&at, &key, &bucket))
	{
		if (((struct bucket *)bucket)->spent > 0)
			visit(ctx, GPOINTER_TO_UINT(key), ((struct bucket *)bucket)->spent);
	}
}

double
comet_allowance_left(const struct comet_allowance *allowance, uint32_t team_id)
{
	const struct bucket *bucket = find(allowance, team_id);

	return bucket != NULL ? bucket->level : 0;
}
