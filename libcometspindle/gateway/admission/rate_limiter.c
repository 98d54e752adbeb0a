/*
 * rate_limiter.c
 * what each team may still spend, summed over all VMs without shared state
 */
#include <libcometspindle/gateway/admission/rate_limiter.h>

#include <glib.h>
#include <string.h>
#include <talloc.h>

/* A span is kept in so many parts, and one more: the newest has only begun, and what was spent in a
 * part comes free at once, so that fewer would cover less than a span. */
#define SPAN_PARTS 16
#define PARTS (SPAN_PARTS + 1)

/* Part of the permitted excess that is used. The rest covers what other VMs spend between two
 * views, what waits and is sent later than it was counted, and what a killed VM never told. */
#define EXCESS_PART 0.4

/* Part of the limit that is taken for spent before this process began, if nobody can tell. When
 * all VMs restart at once, a span around that moment, or around two of them, then holds about the
 * limit. */
#define ASSUMED_PART 0.9

/* What others spend unseen is taken to be what this VM spends meanwhile, but of one request only so
 * many times its team's usual amount: sizes differ a hundredfold, and the others have not all just
 * sent as large a one, which would shut the team out until all have been told. */
#define UNSEEN_TIMES_USUAL 2.0

/* Weight of the newest request in a team's usual amount: about the last twenty count. */
#define USUAL_WEIGHT 0.05

/* A VM that hears nobody still lets pass one request of its team's usual size in a span, if the
 * team had spent no more than this part of its limit: an equal part for each of hundreds of VMs is
 * less than one request. */
#define QUIET_PART 0.5

/* VMs whose charges are told apart in one account, for those that have not been told yet: five
 * times as many as are designed for. Whoever reaches the port can name any. */
#define CHARGED_VMS_MAX 2048

/* Part of the limit that requests leave to those of the next more urgent rank, if they are of their
 * team's usual size or more; small ones leave as much less, since to refuse them frees nothing. */
#define RESERVE_PART 0.06

/* Ranks that leave a part, each one more than the rank before. */
#define RESERVING_RANKS 2

/* A refusal names at least this time to come back. */
#define RETRY_AFTER_MIN_MS 200

struct account
{
	double limit;          /* over a span; 0: none */
	double counted[PARTS]; /* what we know to be spent, by part of the span */
	double own[PARTS];     /* this VM's part of it */
	double assumed[PARTS]; /* spent before this process began */
	uint64_t part;         /* number of the newest part */
	uint64_t spent;        /* by this VM since its start */
	uint64_t last_us;      /* when it last changed */
	double usual;          /* amount of a request; 0: none was seen */
	double untold;       /* by this VM since it last told all others, large requests cut down */
	bool told;           /* assumed is what another VM told */
	GHashTable *charged; /* as keeper: VM -> uint64_t, charged and not told by it yet */
};

struct comet_rate_limiter
{
	struct comet_rate_limiter_config bounds;
	GHashTable *accounts; /* team id -> struct account */
	uint64_t began_us;
	uint32_t peak_alive_vms;
	uint32_t known_vms;
	uint64_t since_us; /* the first of those that are not heard was heard last then; 0: all are
			    */
};

static int
allowance_destroy(struct comet_rate_limiter *rate_limiter)
{
	g_hash_table_destroy(rate_limiter->accounts);
	return 0;
}

static void
free_account(gpointer data)
{
	struct account *account = data;

	g_hash_table_destroy(account->charged);
	g_free(account);
}

struct comet_rate_limiter *
comet_rate_limiter_create(
	void *parent, const struct comet_rate_limiter_config *bounds, uint64_t now_us)
{
	struct comet_rate_limiter *rate_limiter = talloc_zero(parent, struct comet_rate_limiter);

	rate_limiter->bounds = *bounds;
	rate_limiter->peak_alive_vms = 1;
	rate_limiter->known_vms = 1;
	rate_limiter->began_us = now_us;
	rate_limiter->accounts = g_hash_table_new_full(NULL, NULL, NULL, free_account);
	talloc_set_destructor(rate_limiter, allowance_destroy);
	return rate_limiter;
}

static struct account *
find(const struct comet_rate_limiter *rate_limiter, uint32_t team_id)
{
	return g_hash_table_lookup(rate_limiter->accounts, GUINT_TO_POINTER(team_id));
}

static uint64_t
part_us(const struct comet_rate_limiter *rate_limiter)
{
	return (uint64_t)rate_limiter->bounds.window_ms * 1000 / SPAN_PARTS;
}

/* Forgets the parts that have left the span. */
static void
advance(const struct comet_rate_limiter *rate_limiter, struct account *account, uint64_t now_us)
{
	uint64_t part = now_us / part_us(rate_limiter);

	if (part <= account->part)
		return;
	if (part - account->part >= PARTS)
	{
		memset(account->counted, 0, sizeof account->counted);
		memset(account->own, 0, sizeof account->own);
		memset(account->assumed, 0, sizeof account->assumed);
		account->part = part;
	}
	while (account->part < part)
	{
		account->part++;
		account->counted[account->part % PARTS] = 0;
		account->own[account->part % PARTS] = 0;
		account->assumed[account->part % PARTS] = 0;
	}
}

/* A team's account as of now, or NULL for a team that is not listed. */
static struct account *
account_now(const struct comet_rate_limiter *rate_limiter, uint32_t team_id, uint64_t now_us)
{
	struct account *account = find(rate_limiter, team_id);

	if (account != NULL)
		advance(rate_limiter, account, now_us);
	return account;
}

static double
sum_of(const double parts[PARTS])
{
	double sum = 0;

	for (int i = 0; i < PARTS; i++)
		sum += parts[i];
	return sum;
}

/* Parts of the current span that lie before this process began. */
static uint64_t
parts_before(const struct comet_rate_limiter *rate_limiter, const struct account *account)
{
	uint64_t passed = account->part - rate_limiter->began_us / part_us(rate_limiter);

	return passed >= PARTS ? 0 : PARTS - passed;
}

/* Spreads an amount over the parts before this process began. */
static void
assume(const struct comet_rate_limiter *rate_limiter, struct account *account, double amount)
{
	uint64_t parts = parts_before(rate_limiter, account);

	memset(account->assumed, 0, sizeof account->assumed);
	for (uint64_t i = 0; i < parts; i++)
	{
		uint64_t part = account->part + 1 + i; /* the oldest of the span comes first */
		account->assumed[part % PARTS] = amount / (double)parts;
	}
}

struct set_teams
{
	struct comet_rate_limiter *rate_limiter;
	uint64_t now_us;
};

/* What was spent under a higher limit was permitted: under a lower one it counts for as much of the
 * limit as before, or the team would be shut out for a whole span. */
static void
scale_past(struct account *account, double factor)
{
	for (int i = 0; i < PARTS; i++)
	{
		account->counted[i] *= factor;
		account->own[i] *= factor;
		account->assumed[i] *= factor;
	}
}

static void
set_team(void *ctx, const struct comet_route_team *team)
{
	struct set_teams *set = ctx;
	struct comet_rate_limiter *rate_limiter = set->rate_limiter;
	const struct comet_rate_limiter_config *bounds = &rate_limiter->bounds;
	struct account *account = find(rate_limiter, team->id);
	double limit = (double)team->rate_per_s * bounds->window_ms / 1000 + (double)team->burst;
	/* The slack is told in tokens; for requests only the overage counts. */
	double excess = bounds->overage * limit + (team->in_tokens ? bounds->slack : 0);
	bool is_new = account == NULL;

	if (is_new)
	{
		account = g_new0(struct account, 1);
		account->part = set->now_us / part_us(rate_limiter);
		account->charged = g_hash_table_new_full(NULL, NULL, NULL, g_free);
		g_hash_table_insert(rate_limiter->accounts, GUINT_TO_POINTER(team->id), account);
	}
	double before = account->limit;
	account->limit = team->rate_per_s > 0 ? limit + EXCESS_PART * excess : 0;
	if (account->limit > 0 && account->limit < before)
		scale_past(account, account->limit / before);
	if (is_new)
		assume(rate_limiter, account, ASSUMED_PART * account->limit);
}

void
comet_rate_limiter_set_teams(struct comet_rate_limiter *rate_limiter,
	const struct comet_route_table *table, uint64_t now_us)
{
	struct set_teams set = {rate_limiter, now_us};

	comet_route_table_each_team(table, set_team, &set);
}

void
comet_rate_limiter_set_vms(
	struct comet_rate_limiter *rate_limiter, uint32_t heard, uint32_t known, uint64_t since_us)
{
	rate_limiter->peak_alive_vms = heard;
	rate_limiter->known_vms = MAX(known, 1);
	rate_limiter->since_us = since_us;
}

/* The part of what is left that belongs to the VMs that we hear. */
static double
heard_part(const struct comet_rate_limiter *rate_limiter)
{
	return (double)rate_limiter->peak_alive_vms / rate_limiter->known_vms;
}

/* What is spent in the current span, as far as we know. */
static double
spent_of(const struct account *account)
{
	return sum_of(account->counted) + sum_of(account->assumed);
}

/* What of it was spent while all VMs were heard: both sides of a cut know of it. */
static double
spent_together(const struct comet_rate_limiter *rate_limiter, const struct account *account)
{
	uint64_t first = account->part - MIN(account->part, SPAN_PARTS);
	uint64_t cut = rate_limiter->since_us / part_us(rate_limiter);
	double sum = 0;

	for (uint64_t part = first; part <= account->part; part++)
	{
		if (part < cut)
			sum += account->counted[part % PARTS] + account->assumed[part % PARTS];
	}
	return sum;
}

/* What may still be spent: of what was left when some VMs were last heard, the part of the others,
 * less what these have spent since. */
static double
left_of(const struct comet_rate_limiter *rate_limiter, const struct account *account,
	enum comet_rate_limiter_source sight)
{
	double part = heard_part(rate_limiter);
	double left = part * account->limit - spent_of(account);

	if (part < 1)
		left += (1 - part) * spent_together(rate_limiter, account);
	if (sight == COMET_RATE_LIMITER_GOSSIP)
		left -= account->untold * (rate_limiter->peak_alive_vms - 1);
	return left;
}

/* How long until needed is free again, as the parts of the span go by. */
static uint32_t
wait_ms_for(const struct comet_rate_limiter *rate_limiter, const struct account *account,
	enum comet_rate_limiter_source sight, double needed)
{
	double left = left_of(rate_limiter, account, sight);
	uint64_t parts = 0;

	for (; parts < PARTS && left < needed; parts++)
	{
		uint64_t part = account->part + 1 + parts;
		left += account->counted[part % PARTS] + account->assumed[part % PARTS];
	}
	uint64_t ms = parts * part_us(rate_limiter) / 1000;
	return (uint32_t)MAX(ms, RETRY_AFTER_MIN_MS);
}

/* Part of a request's amount that stands for what the others spend meanwhile. */
static double
typical_part(const struct account *account, double amount)
{
	return MIN(amount, UNSEEN_TIMES_USUAL * account->usual);
}

static void
learn_usual(struct account *account, double amount)
{
	if (account->usual == 0)
		account->usual = amount;
	account->usual += USUAL_WEIGHT * (amount - account->usual);
}

/* What a request leaves to more urgent ones. What is only assumed to be spent counts as left to
 * them, or after a start nothing else would be served while the assumption lasts. */
static double
reserve_of(const struct comet_rate_limiter *rate_limiter, const struct account *account,
	uint32_t rank, double amount)
{
	double size = account->usual > 0 ? MIN(amount / account->usual, 1.0) : 1.0;
	double part = RESERVE_PART * MIN(rank, RESERVING_RANKS) * size;

	part *= heard_part(rate_limiter);
	return MAX(part * account->limit - sum_of(account->assumed), 0);
}

/* Is it the only request in a span of a VM that hears nobody, for a team that was far from its
 * limit? */
static bool
is_single(
	const struct comet_rate_limiter *rate_limiter, const struct account *account, double amount)
{
	double most = MAX(account->usual, 1);

	return rate_limiter->peak_alive_vms == 1 && rate_limiter->known_vms > 1 &&
	       sum_of(account->own) + MIN(amount, most) <= most &&
	       spent_of(account) <= QUIET_PART * account->limit;
}

/* Counts what was spent through this VM. */
static void
count_own(struct account *account, uint64_t amount, uint64_t now_us)
{
	learn_usual(account, (double)amount);
	account->counted[account->part % PARTS] += (double)amount;
	account->own[account->part % PARTS] += (double)amount;
	account->untold += typical_part(account, (double)amount);
	account->spent += amount;
	account->last_us = now_us;
}

/* @return 0 if the team may spend amount, or after how many ms it is worth asking again */
static uint32_t
decide(const struct comet_rate_limiter *rate_limiter, const struct account *account, uint32_t rank,
	uint64_t amount, enum comet_rate_limiter_source sight)
{
	if (account->limit <= 0)
		return 0;
	/* A request larger than the limit goes out of an untouched one. */
	double needed = (double)amount + reserve_of(rate_limiter, account, rank, (double)amount);
	needed = MIN(needed, heard_part(rate_limiter) * account->limit);
	if (left_of(rate_limiter, account, sight) >= needed ||
		is_single(rate_limiter, account, (double)amount))
		return 0;
	return wait_ms_for(rate_limiter, account, sight, needed);
}

uint32_t
comet_rate_limiter_spend(struct comet_rate_limiter *rate_limiter, uint32_t team_id, uint32_t rank,
	uint64_t amount, enum comet_rate_limiter_source sight, uint64_t now_us)
{
	struct account *account = account_now(rate_limiter, team_id, now_us);

	if (account == NULL)
		return 0;
	uint32_t wait_ms = decide(rate_limiter, account, rank, amount, sight);
	if (wait_ms == 0)
		count_own(account, amount, now_us);
	return wait_ms;
}

void
comet_rate_limiter_charged(
	struct comet_rate_limiter *rate_limiter, uint32_t team_id, uint64_t amount, uint64_t now_us)
{
	struct account *account = account_now(rate_limiter, team_id, now_us);

	if (account != NULL)
		count_own(account, amount, now_us);
}

/* What a VM was charged here and has not told yet; NULL: too many VMs are told apart. */
static uint64_t *
charged_of(struct account *account, uint32_t vm)
{
	uint64_t *charged = g_hash_table_lookup(account->charged, GUINT_TO_POINTER(vm));

	if (charged == NULL && g_hash_table_size(account->charged) < CHARGED_VMS_MAX)
	{
		charged = g_new0(uint64_t, 1);
		g_hash_table_insert(account->charged, GUINT_TO_POINTER(vm), charged);
	}
	return charged;
}

bool
comet_rate_limiter_charge_remote(struct comet_rate_limiter *rate_limiter, uint32_t vm,
	uint32_t team_id, uint32_t rank, uint64_t amount, uint64_t now_us, uint32_t *wait_ms)
{
	struct account *account = account_now(rate_limiter, team_id, now_us);

	if (account == NULL)
		return false;
	*wait_ms = decide(rate_limiter, account, rank, amount, COMET_RATE_LIMITER_OWNER);
	if (*wait_ms != 0)
		return true;
	learn_usual(account, (double)amount);
	account->counted[account->part % PARTS] += (double)amount;
	uint64_t *charged = charged_of(account, vm);
	if (charged != NULL)
		*charged += amount;
	return true;
}

/* Takes what is not counted any more out of the newest part of the span. */
static void
uncount(struct account *account, uint64_t amount)
{
	double *newest = &account->counted[account->part % PARTS];

	*newest = MAX(*newest - (double)amount, 0);
}

void
comet_rate_limiter_refund_remote(struct comet_rate_limiter *rate_limiter, uint32_t vm,
	uint32_t team_id, uint64_t amount, uint64_t now_us)
{
	struct account *account = account_now(rate_limiter, team_id, now_us);
	uint64_t *charged = account != NULL ? charged_of(account, vm) : NULL;

	if (charged == NULL || *charged < amount)
		return; /* its view has told of it as spent, and tells that it was given back */
	*charged -= amount;
	uncount(account, amount);
}

void
comet_rate_limiter_merge_remote(struct comet_rate_limiter *rate_limiter, uint32_t vm,
	uint32_t team_id, uint64_t amount, uint64_t now_us)
{
	struct account *account = account_now(rate_limiter, team_id, now_us);

	if (account == NULL)
		return;
	uint64_t *charged = g_hash_table_lookup(account->charged, GUINT_TO_POINTER(vm));
	uint64_t counted = charged != NULL ? MIN(*charged, amount) : 0;
	if (charged != NULL)
		*charged -= counted;
	account->counted[account->part % PARTS] += (double)(amount - counted);
}

void
comet_rate_limiter_vm_restarted(struct comet_rate_limiter *rate_limiter, uint32_t vm)
{
	GHashTableIter at;
	gpointer account = NULL;

	g_hash_table_iter_init(&at, rate_limiter->accounts);
	while (g_hash_table_iter_next(&at, NULL, &account))
		g_hash_table_remove(((struct account *)account)->charged, GUINT_TO_POINTER(vm));
}

void
comet_rate_limiter_merge_total(
	struct comet_rate_limiter *rate_limiter, uint32_t team_id, uint64_t recent, uint64_t now_us)
{
	struct account *account = account_now(rate_limiter, team_id, now_us);

	if (account == NULL)
		return;
	if (account->told || parts_before(rate_limiter, account) == 0)
		return;
	account->told = true;
	double before = (double)recent - sum_of(account->counted);
	assume(rate_limiter, account, MAX(before, 0));
}

void
comet_rate_limiter_refund(
	struct comet_rate_limiter *rate_limiter, uint32_t team_id, uint64_t amount, uint64_t now_us)
{
	struct account *account = account_now(rate_limiter, team_id, now_us);

	if (account == NULL)
		return;
	double *newest = &account->own[account->part % PARTS];
	uncount(account, amount);
	*newest = MAX(*newest - (double)amount, 0);
	account->untold = MAX(account->untold - typical_part(account, (double)amount), 0);
	account->spent -= MIN(account->spent, amount);
}

void
comet_rate_limiter_mark_reported(struct comet_rate_limiter *rate_limiter)
{
	GHashTableIter at;
	gpointer account = NULL;

	g_hash_table_iter_init(&at, rate_limiter->accounts);
	while (g_hash_table_iter_next(&at, NULL, &account))
		((struct account *)account)->untold = 0;
}

void
comet_rate_limiter_each(struct comet_rate_limiter *rate_limiter, uint64_t now_us,
	void (*visit)(void *ctx, const struct comet_rate_limiter_report *report), void *ctx)
{
	GHashTableIter at;
	gpointer key = NULL;
	gpointer value = NULL;

	g_hash_table_iter_init(&at, rate_limiter->accounts);
	while (g_hash_table_iter_next(&at, &key, &value))
	{
		struct account *account = value;
		struct comet_rate_limiter_report report = {
			.team_id = GPOINTER_TO_UINT(key),
			.spent = account->spent,
			.last_us = account->last_us,
		};
		advance(rate_limiter, account, now_us);
		report.lately = (uint64_t)sum_of(account->own);
		/* What we only guess is not to be passed on as knowledge. */
		if (account->told || parts_before(rate_limiter, account) == 0)
			report.recent =
				(uint64_t)(sum_of(account->counted) + sum_of(account->assumed));
		if (report.spent > 0 || report.recent > 0)
			visit(ctx, &report);
	}
}

double
comet_rate_limiter_remaining(
	struct comet_rate_limiter *rate_limiter, uint32_t team_id, uint64_t now_us)
{
	struct account *account = account_now(rate_limiter, team_id, now_us);

	if (account == NULL)
		return 0;
	return left_of(rate_limiter, account, COMET_RATE_LIMITER_GOSSIP);
}
