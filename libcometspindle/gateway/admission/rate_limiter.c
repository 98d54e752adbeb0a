/*
 * rate_limiter.c
 * limits on the spending of each team, summed over all VMs without shared state
 */
#include <libcometspindle/gateway/admission/rate_limiter.h>

#include <glib.h>
#include <libcometspindle/gateway/admission/spending_window.h>
#include <string.h>
#include <talloc.h>

/* Fraction of the permitted excess that is used. The rest covers what other VMs spend between two
 * reports, requests that are sent later than they were counted, and what a killed VM never
 * reported. */
#define EXCESS_USED_RATIO 0.4

/* Fraction of the limit that is assumed to be spent before this process started, if no peer knows.
 * A window around a restart of all VMs, or around two of them, then holds about the limit. */
#define ASSUMED_SPENT_RATIO 0.9

/* Other VMs are assumed to spend as much between two reports as this VM. A single request counts
 * for at most this multiple of the team's typical amount: amounts differ a hundredfold, and the
 * other VMs have not all admitted one as large. Without the cap, a large request would block the
 * team until all VMs have reported. */
#define UNREPORTED_MAX_MULTIPLE 2.0

/* Weight of the newest request in the moving average of a team's amounts; about the last twenty
 * requests count. */
#define TYPICAL_AMOUNT_WEIGHT 0.05

/* An isolated VM admits one request of the team's typical amount per window if the team had spent
 * no more than this fraction of its limit. With hundreds of VMs an equal share is less than one
 * request. */
#define ISOLATED_SPENT_RATIO_MAX 0.5

/* VMs whose charges are tracked separately per quota until they report them: five times the
 * designed number of VMs. A sender that reaches the port can claim any VM's address, so the table
 * needs a limit. */
#define CHARGED_VMS_MAX 2048

/* Fraction of the limit that a request leaves to the next more urgent rank. A request below the
 * team's typical amount leaves proportionally less, since rejecting it would free nothing. */
#define RESERVE_RATIO 0.06

/* Ranks that leave a reserve, each one more than the rank before. */
#define RESERVE_RANKS_MAX 2

/* Shortest delay that is returned with a rejection. */
#define RETRY_AFTER_MIN_MS 200

/* Minimum depth of a team's token bucket, as time at the team's rate. Rates are configured per
 * second, and requests arrive unevenly within a second. */
#define BUCKET_MIN_S 1.0

struct quota
{
	double limit;                        /* per window; 0: unlimited */
	struct comet_token_bucket bucket;    /* limit on the rate within the window */
	struct comet_spending_window window; /* what was spent */
	uint64_t own_spent_total;            /* by this VM since its process started */
	uint64_t last_us;                    /* when own_spent_total last increased */
	double typical_amount; /* moving average of the requests' amounts; 0: no request yet */
	double unreported;     /* by this VM since its last report, each request capped */
	bool reported;         /* the assumed spending is what another VM reported */
	GHashTable *charged;   /* owner: VM -> uint64_t, charged and not reported by that VM yet */
};

struct comet_rate_limiter
{
	struct comet_rate_limiter_config config;
	GHashTable *quotas; /* team id -> struct quota */
	uint64_t started_us;
	uint32_t alive_vms;
	uint32_t known_vms;
	/* When the first of the unreachable VMs was last seen; 0: all are alive. */
	uint64_t partitioned_since_us;
};

static int
rate_limiter_destroy(struct comet_rate_limiter *rate_limiter)
{
	g_hash_table_destroy(rate_limiter->quotas);
	return 0;
}

static void
free_quota(gpointer data)
{
	struct quota *quota = data;

	g_hash_table_destroy(quota->charged);
	g_free(quota);
}

struct comet_rate_limiter *
comet_rate_limiter_create(
	void *parent, const struct comet_rate_limiter_config *config, uint64_t now_us)
{
	struct comet_rate_limiter *rate_limiter = talloc_zero(parent, struct comet_rate_limiter);

	rate_limiter->config = *config;
	rate_limiter->alive_vms = 1;
	rate_limiter->known_vms = 1;
	rate_limiter->started_us = now_us;
	rate_limiter->quotas = g_hash_table_new_full(NULL, NULL, NULL, free_quota);
	talloc_set_destructor(rate_limiter, rate_limiter_destroy);
	return rate_limiter;
}

static struct quota *
find_quota(const struct comet_rate_limiter *rate_limiter, uint32_t team_id)
{
	return g_hash_table_lookup(rate_limiter->quotas, GUINT_TO_POINTER(team_id));
}

static uint64_t
slice_us(const struct comet_rate_limiter *rate_limiter)
{
	return (uint64_t)rate_limiter->config.window_ms * 1000 / COMET_SPENDING_WINDOW_SLICES;
}

/* @return the quota of a team with its window advanced to now, or NULL if the team is not
 * configured */
static struct quota *
advance_quota(const struct comet_rate_limiter *rate_limiter, uint32_t team_id, uint64_t now_us)
{
	struct quota *quota = find_quota(rate_limiter, team_id);

	if (quota != NULL)
		comet_spending_window_advance(&quota->window, now_us);
	return quota;
}

struct team_update
{
	struct comet_rate_limiter *rate_limiter;
	uint64_t now_us;
};

/* Sets the token bucket so that it permits the team's rate at any time. Its depth is what the limit
 * leaves beyond that rate over a window, or BUCKET_MIN_S at that rate if this is more. */
static void
set_bucket(const struct comet_rate_limiter *rate_limiter, struct quota *quota, double rate_per_s)
{
	double slice_s = (double)slice_us(rate_limiter) / 1e6;

	quota->bucket.refill = rate_per_s * slice_s;
	quota->bucket.depth =
		MAX(quota->limit - COMET_SPENDING_WINDOW_SLICES * quota->bucket.refill,
			rate_per_s * BUCKET_MIN_S);
}

static void
set_team(void *ctx, const struct comet_route_team *team)
{
	struct team_update *update = ctx;
	struct comet_rate_limiter *rate_limiter = update->rate_limiter;
	const struct comet_rate_limiter_config *config = &rate_limiter->config;
	struct quota *quota = find_quota(rate_limiter, team->id);
	double limit = (double)team->rate_per_s * config->window_ms / 1000 + (double)team->burst;
	/* The slack is an amount of tokens, so a limit in requests is exceeded by the overage only.
	 */
	double excess = config->overage * limit + (team->in_tokens ? config->slack : 0);
	bool is_new = quota == NULL;

	if (is_new)
	{
		quota = g_new0(struct quota, 1);
		comet_spending_window_init(&quota->window, slice_us(rate_limiter), update->now_us);
		quota->charged = g_hash_table_new_full(NULL, NULL, NULL, g_free);
		g_hash_table_insert(rate_limiter->quotas, GUINT_TO_POINTER(team->id), quota);
	}
	double before = quota->limit;
	quota->limit = team->rate_per_s > 0 ? limit + EXCESS_USED_RATIO * excess : 0;
	set_bucket(rate_limiter, quota, (double)team->rate_per_s);
	/* Past spending was permitted under the higher limit; without scaling, the team would be
	 * blocked for a full window. */
	if (quota->limit > 0 && quota->limit < before)
		comet_spending_window_scale(&quota->window, quota->limit / before);
	if (is_new)
		comet_spending_window_assume(&quota->window, rate_limiter->started_us,
			ASSUMED_SPENT_RATIO * quota->limit);
}

void
comet_rate_limiter_set_teams(struct comet_rate_limiter *rate_limiter,
	const struct comet_route_table *table, uint64_t now_us)
{
	struct team_update update = {rate_limiter, now_us};

	comet_route_table_each_team(table, set_team, &update);
}

void
comet_rate_limiter_set_vms(struct comet_rate_limiter *rate_limiter, uint32_t alive, uint32_t known,
	uint64_t partitioned_since_us)
{
	rate_limiter->alive_vms = alive;
	rate_limiter->known_vms = MAX(known, 1);
	rate_limiter->partitioned_since_us = partitioned_since_us;
}

/* Fraction of a limit that belongs to the alive VMs. */
static double
alive_share(const struct comet_rate_limiter *rate_limiter)
{
	return (double)rate_limiter->alive_vms / rate_limiter->known_vms;
}

/* Whether this process has run for the whole window, so that nothing in it is assumed. */
static bool
is_window_known(const struct comet_rate_limiter *rate_limiter, const struct quota *quota)
{
	return comet_spending_window_slices_before(&quota->window, rate_limiter->started_us) == 0;
}

/* What may still be spent: the limit's share of the alive VMs, less what was spent. Spending from
 * before the partition counts only for that share. */
static double
remaining(const struct comet_rate_limiter *rate_limiter, const struct quota *quota,
	enum comet_rate_limiter_source source)
{
	double share = alive_share(rate_limiter);
	double available = share * quota->limit - comet_spending_window_total(&quota->window);

	if (share < 1)
		available += (1 - share) * comet_spending_window_before(&quota->window,
						   rate_limiter->partitioned_since_us);
	if (source == COMET_RATE_LIMITER_GOSSIP)
		available -= quota->unreported * (rate_limiter->alive_vms - 1);
	return available;
}

/* Delay until enough slices have expired for the needed amount. */
static uint32_t
compute_wait_ms(const struct comet_rate_limiter *rate_limiter, const struct quota *quota,
	enum comet_rate_limiter_source source, double needed)
{
	double available = remaining(rate_limiter, quota, source);
	uint64_t slices = 0;

	for (; slices < COMET_SPENDING_SLICES && available < needed; slices++)
		available += comet_spending_window_expiring(&quota->window, slices);
	uint64_t ms = slices * slice_us(rate_limiter) / 1000;
	return (uint32_t)MAX(ms, RETRY_AFTER_MIN_MS);
}

/* The amount of a request that is assumed for each of the other VMs as well. */
static double
capped_amount(const struct quota *quota, double amount)
{
	return MIN(amount, UNREPORTED_MAX_MULTIPLE * quota->typical_amount);
}

static void
update_typical_amount(struct quota *quota, double amount)
{
	if (quota->typical_amount == 0)
		quota->typical_amount = amount;
	quota->typical_amount += TYPICAL_AMOUNT_WEIGHT * (amount - quota->typical_amount);
}

/* Reserve that a request leaves to more urgent ones. Assumed spending counts as part of the
 * reserve, since after a start only the most urgent requests would be served until the assumption
 * expires. */
static double
compute_reserve(const struct comet_rate_limiter *rate_limiter, const struct quota *quota,
	uint32_t rank, double amount)
{
	double relative_amount =
		quota->typical_amount > 0 ? MIN(amount / quota->typical_amount, 1.0) : 1.0;
	double ratio = RESERVE_RATIO * MIN(rank, RESERVE_RANKS_MAX) * relative_amount;

	ratio *= alive_share(rate_limiter);
	return MAX(ratio * quota->limit - comet_spending_window_assumed(&quota->window), 0);
}

/* Returns whether an isolated VM may admit this request as its only one in a window. The team must
 * have been far from its limit. */
static bool
is_allowed_isolated(
	const struct comet_rate_limiter *rate_limiter, const struct quota *quota, double amount)
{
	double max_amount = MAX(quota->typical_amount, 1);

	return rate_limiter->alive_vms == 1 && rate_limiter->known_vms > 1 &&
	       comet_spending_window_own(&quota->window) + MIN(amount, max_amount) <= max_amount &&
	       comet_spending_window_total(&quota->window) <=
		       ISOLATED_SPENT_RATIO_MAX * quota->limit;
}

/* Counts what was spent through this VM. */
static void
add_own_spent(struct quota *quota, uint64_t amount, uint64_t now_us)
{
	update_typical_amount(quota, (double)amount);
	comet_spending_window_add_own(&quota->window, (double)amount);
	quota->unreported += capped_amount(quota, (double)amount);
	quota->own_spent_total += amount;
	quota->last_us = now_us;
}

/* Checks the token bucket. The limit over the window alone would let a team with excess demand
 * spend all of it at once and then reject its requests until the window has passed, although the
 * team is entitled to its rate at any time. Only the owner can check it: gossip delivers the
 * spending of other VMs in batches, which would look like bursts. @return as check_limit() */
static uint32_t
bucket_wait_ms(const struct comet_rate_limiter *rate_limiter, const struct quota *quota,
	uint32_t rank, double amount, uint64_t now_us)
{
	double share = alive_share(rate_limiter);
	const struct comet_token_bucket bucket = {
		share * quota->bucket.refill, share * quota->bucket.depth};
	double reserve = RESERVE_RATIO * MIN(rank, RESERVE_RANKS_MAX) * bucket.depth;
	double missing = MIN(amount + reserve, bucket.depth) -
			 comet_spending_window_bucket_level(&quota->window, &bucket,
				 rate_limiter->partitioned_since_us, share, now_us);

	if (missing <= 0)
		return 0;
	double wait_ms = missing / bucket.refill * (double)slice_us(rate_limiter) / 1000;
	return (uint32_t)CLAMP(wait_ms, RETRY_AFTER_MIN_MS, rate_limiter->config.window_ms);
}

/* @return 0 if the team may spend amount, or the delay in ms before another attempt may succeed */
static uint32_t
check_limit(const struct comet_rate_limiter *rate_limiter, const struct quota *quota, uint32_t rank,
	uint64_t amount, enum comet_rate_limiter_source source, uint64_t now_us)
{
	if (quota->limit <= 0)
		return 0;
	/* A request larger than the limit is admitted when nothing of the limit is spent. */
	double needed = (double)amount + compute_reserve(rate_limiter, quota, rank, (double)amount);
	needed = MIN(needed, alive_share(rate_limiter) * quota->limit);
	if (remaining(rate_limiter, quota, source) < needed &&
		!is_allowed_isolated(rate_limiter, quota, (double)amount))
		return compute_wait_ms(rate_limiter, quota, source, needed);
	return source == COMET_RATE_LIMITER_OWNER
		       ? bucket_wait_ms(rate_limiter, quota, rank, (double)amount, now_us)
		       : 0;
}

uint32_t
comet_rate_limiter_spend(struct comet_rate_limiter *rate_limiter, uint32_t team_id, uint32_t rank,
	uint64_t amount, enum comet_rate_limiter_source source, uint64_t now_us)
{
	struct quota *quota = advance_quota(rate_limiter, team_id, now_us);

	if (quota == NULL)
		return 0;
	uint32_t wait_ms = check_limit(rate_limiter, quota, rank, amount, source, now_us);
	if (wait_ms == 0)
		add_own_spent(quota, amount, now_us);
	return wait_ms;
}

void
comet_rate_limiter_add_own(
	struct comet_rate_limiter *rate_limiter, uint32_t team_id, uint64_t amount, uint64_t now_us)
{
	struct quota *quota = advance_quota(rate_limiter, team_id, now_us);

	if (quota != NULL)
		add_own_spent(quota, amount, now_us);
}

/* What a VM was charged here and has not reported yet; NULL if too many VMs are tracked. */
static uint64_t *
find_or_add_charged(struct quota *quota, uint32_t vm)
{
	uint64_t *charged = g_hash_table_lookup(quota->charged, GUINT_TO_POINTER(vm));

	if (charged == NULL && g_hash_table_size(quota->charged) < CHARGED_VMS_MAX)
	{
		charged = g_new0(uint64_t, 1);
		g_hash_table_insert(quota->charged, GUINT_TO_POINTER(vm), charged);
	}
	return charged;
}

bool
comet_rate_limiter_charge_remote(struct comet_rate_limiter *rate_limiter, uint32_t vm,
	uint32_t team_id, uint32_t rank, uint64_t amount, uint64_t now_us, uint32_t *wait_ms)
{
	struct quota *quota = advance_quota(rate_limiter, team_id, now_us);

	if (quota == NULL)
		return false;
	*wait_ms = check_limit(rate_limiter, quota, rank, amount, COMET_RATE_LIMITER_OWNER, now_us);
	if (*wait_ms != 0)
		return true;
	update_typical_amount(quota, (double)amount);
	comet_spending_window_add_remote(&quota->window, (double)amount);
	uint64_t *charged = find_or_add_charged(quota, vm);
	if (charged != NULL)
		*charged += amount;
	return true;
}

void
comet_rate_limiter_refund_remote(struct comet_rate_limiter *rate_limiter, uint32_t vm,
	uint32_t team_id, uint64_t amount, uint64_t now_us)
{
	struct quota *quota = advance_quota(rate_limiter, team_id, now_us);
	uint64_t *charged = quota != NULL ? find_or_add_charged(quota, vm) : NULL;

	/* A VM that has already reported the amount as spent will report the refund itself. */
	if (charged == NULL || *charged < amount)
		return;
	*charged -= amount;
	comet_spending_window_refund(&quota->window, (double)amount);
}

void
comet_rate_limiter_merge_remote(struct comet_rate_limiter *rate_limiter, uint32_t vm,
	uint32_t team_id, uint64_t amount, uint64_t now_us)
{
	struct quota *quota = advance_quota(rate_limiter, team_id, now_us);

	if (quota == NULL)
		return;
	uint64_t *charged = g_hash_table_lookup(quota->charged, GUINT_TO_POINTER(vm));
	uint64_t already_charged = charged != NULL ? MIN(*charged, amount) : 0;
	if (charged != NULL)
		*charged -= already_charged;
	comet_spending_window_add_remote(&quota->window, (double)(amount - already_charged));
}

void
comet_rate_limiter_vm_restarted(struct comet_rate_limiter *rate_limiter, uint32_t vm)
{
	GHashTableIter iter;
	gpointer quota = NULL;

	g_hash_table_iter_init(&iter, rate_limiter->quotas);
	while (g_hash_table_iter_next(&iter, NULL, &quota))
		g_hash_table_remove(((struct quota *)quota)->charged, GUINT_TO_POINTER(vm));
}

void
comet_rate_limiter_merge_total(
	struct comet_rate_limiter *rate_limiter, uint32_t team_id, uint64_t recent, uint64_t now_us)
{
	struct quota *quota = advance_quota(rate_limiter, team_id, now_us);

	if (quota == NULL)
		return;
	if (quota->reported || is_window_known(rate_limiter, quota))
		return;
	quota->reported = true;
	double before = (double)recent - (comet_spending_window_total(&quota->window) -
						 comet_spending_window_assumed(&quota->window));
	comet_spending_window_assume(&quota->window, rate_limiter->started_us, MAX(before, 0));
}

void
comet_rate_limiter_refund(
	struct comet_rate_limiter *rate_limiter, uint32_t team_id, uint64_t amount, uint64_t now_us)
{
	struct quota *quota = advance_quota(rate_limiter, team_id, now_us);

	if (quota == NULL)
		return;
	comet_spending_window_refund_own(&quota->window, (double)amount);
	quota->unreported = MAX(quota->unreported - capped_amount(quota, (double)amount), 0);
	quota->own_spent_total -= MIN(quota->own_spent_total, amount);
}

void
comet_rate_limiter_mark_reported(struct comet_rate_limiter *rate_limiter)
{
	GHashTableIter iter;
	gpointer quota = NULL;

	g_hash_table_iter_init(&iter, rate_limiter->quotas);
	while (g_hash_table_iter_next(&iter, NULL, &quota))
		((struct quota *)quota)->unreported = 0;
}

void
comet_rate_limiter_each(struct comet_rate_limiter *rate_limiter, uint64_t now_us,
	void (*visit)(void *ctx, const struct comet_rate_limiter_report *report), void *ctx)
{
	GHashTableIter iter;
	gpointer key = NULL;
	gpointer value = NULL;

	g_hash_table_iter_init(&iter, rate_limiter->quotas);
	while (g_hash_table_iter_next(&iter, &key, &value))
	{
		struct quota *quota = value;
		struct comet_rate_limiter_report report = {
			.team_id = GPOINTER_TO_UINT(key),
			.spent = quota->own_spent_total,
			.last_us = quota->last_us,
		};
		comet_spending_window_advance(&quota->window, now_us);
		report.own_spent_in_window = (uint64_t)comet_spending_window_own(&quota->window);
		if (quota->limit > 0)
			report.limit_part = (double)report.own_spent_in_window / quota->limit;
		/* An assumption is not reported as knowledge. */
		if (quota->reported || is_window_known(rate_limiter, quota))
			report.all_spent_in_window =
				(uint64_t)comet_spending_window_total(&quota->window);
		if (report.spent > 0 || report.all_spent_in_window > 0)
			visit(ctx, &report);
	}
}

double
comet_rate_limiter_remaining(
	struct comet_rate_limiter *rate_limiter, uint32_t team_id, uint64_t now_us)
{
	struct quota *quota = advance_quota(rate_limiter, team_id, now_us);

	if (quota == NULL)
		return 0;
	return remaining(rate_limiter, quota, COMET_RATE_LIMITER_GOSSIP);
}
