/*
 * quota.c
 * team quotas across VMs: a home VM leases a team's budget out in parts
 */
#include <libcometspindle/quota.h>

#include <glib.h>
#include <talloc.h>

/* A bucket holds at most this much of the rate. */
#define BURST_S 1.0

struct bucket
{
	double tokens;
	double requests;
	uint64_t filled_us;
	bool started;
};

struct wallet
{
	struct comet_quota_amount left;
	uint64_t until_us;
};

struct comet_quota
{
	GHashTable *buckets; /* team id -> bucket, while this VM is its home */
	GHashTable *wallets; /* team id -> leased part not spent */
};

static int
quota_destructor(struct comet_quota *quota)
{
	g_hash_table_destroy(quota->buckets);
	g_hash_table_destroy(quota->wallets);
	return 0;
}

struct comet_quota *
comet_quota_create(void *parent)
{
	struct comet_quota *quota = talloc_zero(parent, struct comet_quota);

	quota->buckets = g_hash_table_new_full(g_direct_hash, g_direct_equal, NULL, g_free);
	quota->wallets = g_hash_table_new_full(g_direct_hash, g_direct_equal, NULL, g_free);
	talloc_set_destructor(quota, quota_destructor);
	return quota;
}

static void *
entry_of(GHashTable *table, uint32_t team_id, size_t size)
{
	void *entry = g_hash_table_lookup(table, GUINT_TO_POINTER(team_id));

	if (entry == NULL)
	{
		entry = g_malloc0(size);
		g_hash_table_insert(table, GUINT_TO_POINTER(team_id), entry);
	}
	return entry;
}

static void
fill(double *level, double rate, double seconds)
{
	*level += rate * seconds;
	if (*level > rate * BURST_S)
		*level = rate * BURST_S;
}

static uint32_t
take(double *level, uint32_t rate, uint32_t asked)
{
	if (rate == 0)
		return asked; /* no such quota */
	double part = *level < asked ? *level : asked;
	uint32_t whole = part > 0 ? (uint32_t)part : 0;
	*level -= whole;
	return whole;
}

struct comet_quota_amount
comet_quota_lease(struct comet_quota *quota, const struct comet_team *team,
	struct comet_quota_amount asked, uint32_t alive_vms, uint32_t listed_vms, uint64_t now_us)
{
	struct bucket *bucket = entry_of(quota->buckets, team->id, sizeof *bucket);
	double part = listed_vms > 0 ? (double)alive_vms / listed_vms : 1;

	if (!bucket->started)
	{
		bucket->started = true;
		bucket->filled_us = now_us;
	}
	double seconds = (double)(now_us - bucket->filled_us) / 1e6;
	bucket->filled_us = now_us;
	fill(&bucket->tokens, team->tokens_per_s * part, seconds);
	fill(&bucket->requests, team->requests_per_s * part, seconds);
	struct comet_quota_amount given = {
		.tokens = take(&bucket->tokens, team->tokens_per_s, asked.tokens),
		.requests = take(&bucket->requests, team->requests_per_s, asked.requests),
	};
	return given;
}

void
comet_quota_add(struct comet_quota *quota, uint32_t team_id, struct comet_quota_amount part,
	uint64_t now_us)
{
	struct wallet *wallet = entry_of(quota->wallets, team_id, sizeof *wallet);

	if (wallet->until_us <= now_us)
		wallet->left = (struct comet_quota_amount){0, 0};
	wallet->left.tokens += part.tokens;
	wallet->left.requests += part.requests;
	wallet->until_us = now_us + COMET_QUOTA_LEASE_MS * 1000ULL;
}

bool
comet_quota_spend(struct comet_quota *quota, const struct comet_team *team,
	struct comet_quota_amount amount, uint64_t now_us)
{
	if (team->tokens_per_s == 0 && team->requests_per_s == 0)
		return true;
	struct wallet *wallet = entry_of(quota->wallets, team->id, sizeof *wallet);
	if (wallet->until_us <= now_us)
		wallet->left = (struct comet_quota_amount){0, 0};
	bool tokens = team->tokens_per_s == 0 || wallet->left.tokens >= amount.tokens;
	bool requests = team->requests_per_s == 0 || wallet->left.requests >= amount.requests;
	if (!tokens || !requests)
		return false;
	if (team->tokens_per_s != 0)
		wallet->left.tokens -= amount.tokens;
	if (team->requests_per_s != 0)
		wallet->left.requests -= amount.requests;
	return true;
}

void
comet_quota_reset(struct comet_quota *quota)
{
	g_hash_table_remove_all(quota->buckets);
	g_hash_table_remove_all(quota->wallets);
}
