/*
 * retry_budget.c
 * limit on the requests that are sent to a second endpoint, per service
 */
#include <libcometspindle/gateway/admission/retry_budget.h>

#include <glib.h>
#include <talloc.h>

/* Fraction of the limit that is used. While VMs join and leave, their shares overlap for a short
 * time. */
#define USED_RATIO 0.6

struct bucket
{
	double level;
	uint64_t refilled_us;
};

struct comet_retry_budget
{
	struct comet_retry_budget_config config;
	GHashTable *buckets; /* service -> struct bucket */
	uint32_t vms;
};

static int
budget_destroy(struct comet_retry_budget *budget)
{
	g_hash_table_destroy(budget->buckets);
	return 0;
}

struct comet_retry_budget *
comet_retry_budget_create(void *parent, const struct comet_retry_budget_config *config)
{
	struct comet_retry_budget *budget = talloc_zero(parent, struct comet_retry_budget);

	budget->config = *config;
	budget->vms = 1;
	budget->buckets = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	talloc_set_destructor(budget, budget_destroy);
	return budget;
}

void
comet_retry_budget_set_vms(struct comet_retry_budget *budget, uint32_t vms)
{
	budget->vms = MAX(vms, 1);
}

/* This VM's share of the slack per window. */
static double
own_slack(const struct comet_retry_budget *budget)
{
	return USED_RATIO * budget->config.slack / budget->vms;
}

/* Refills a service's bucket for the elapsed time. Half of the slack may be spent at once, the
 * other half is refilled over a window. */
static struct bucket *
refill(struct comet_retry_budget *budget, const char *service, uint64_t now_us)
{
	struct bucket *bucket = g_hash_table_lookup(budget->buckets, service);
	double capacity = own_slack(budget) / 2;

	if (bucket == NULL)
	{
		bucket = g_new0(struct bucket, 1);
		bucket->refilled_us = now_us;
		bucket->level = MAX(capacity, 1.0);
		g_hash_table_insert(budget->buckets, g_strdup(service), bucket);
	}
	double windows = (double)(now_us - bucket->refilled_us) / 1000 / budget->config.window_ms;
	bucket->refilled_us = now_us;
	bucket->level = MIN(bucket->level + capacity * windows, MAX(capacity, 1.0));
	return bucket;
}

void
comet_retry_budget_record_first_attempt(
	struct comet_retry_budget *budget, const char *service, uint64_t now_us)
{
	struct bucket *bucket = refill(budget, service, now_us);

	bucket->level += USED_RATIO * budget->config.ratio;
}

bool
comet_retry_budget_take(struct comet_retry_budget *budget, const char *service, uint64_t now_us)
{
	struct bucket *bucket = refill(budget, service, now_us);

	if (bucket->level < 1.0)
		return false;
	bucket->level -= 1.0;
	return true;
}

double
comet_retry_budget_remaining(
	struct comet_retry_budget *budget, const char *service, uint64_t now_us)
{
	return refill(budget, service, now_us)->level;
}
