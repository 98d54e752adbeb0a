/*
 * policy.c
 * routing policies behind one vtable: the scheduler policy and the baselines for comparison
 */
#include <libcometspindle/scheduler/policy.h>

#include <libcometspindle/hash.h>
#include <string.h>
#include <talloc.h>

/* Upper bound on the load of an endpoint, as a percentage of the mean load. */
#define MAX_LOAD_PERCENT 125

static uint64_t
random_below(struct comet_policy *policy, uint64_t bound)
{
	policy->random_state =
		comet_hash_bytes(&policy->random_state, sizeof policy->random_state, 1);
	return policy->random_state % bound;
}

static size_t
choose_random(struct comet_policy *policy, const struct comet_candidate *candidates, size_t count,
	const struct comet_prefix *prefix)
{
	(void)candidates;
	(void)prefix;
	return random_below(policy, count);
}

static size_t
choose_round_robin(struct comet_policy *policy, const struct comet_candidate *candidates,
	size_t count, const struct comet_prefix *prefix)
{
	(void)candidates;
	(void)prefix;
	return policy->next++ % count;
}

static size_t
choose_least_reported(struct comet_policy *policy, const struct comet_candidate *candidates,
	size_t count, const struct comet_prefix *prefix)
{
	size_t best = random_below(policy, count);

	(void)prefix;
	for (size_t i = 0; i < count; i++)
	{
		if (candidates[i].reported_load < candidates[best].reported_load)
			best = i;
	}
	return best;
}

static uint32_t
estimated_load(const struct comet_candidate *candidate)
{
	return candidate->reported_load > candidate->own_load ? candidate->reported_load
							      : candidate->own_load;
}

static size_t
choose_two_random(struct comet_policy *policy, const struct comet_candidate *candidates,
	size_t count, const struct comet_prefix *prefix)
{
	size_t first = random_below(policy, count);
	size_t second = random_below(policy, count);

	(void)prefix;
	return estimated_load(&candidates[first]) <= estimated_load(&candidates[second]) ? first
											 : second;
}

/* Rendezvous hashing on the first prompt blocks, skipping endpoints at or above the load bound. */
static size_t
choose_prefix_hash(struct comet_policy *policy, const struct comet_candidate *candidates,
	size_t count, const struct comet_prefix *prefix)
{
	uint64_t key = random_below(policy, UINT64_MAX);
	uint64_t total = 0;
	size_t best = 0;
	uint64_t best_score = 0;

	if (prefix->count > 0)
		key = prefix->hash[prefix->count > 3 ? 3 : prefix->count - 1];
	for (size_t i = 0; i < count; i++)
		total += estimated_load(&candidates[i]);
	for (size_t i = 0; i < count; i++)
	{
		uint64_t score = comet_hash_score(key, candidates[i].endpoint_id);
		uint64_t bound = (total + 1) * MAX_LOAD_PERCENT / (100 * count) + 1;
		if (estimated_load(&candidates[i]) < bound && score >= best_score)
		{
			best = i;
			best_score = score;
		}
	}
	return best;
}

static const struct comet_policy_ops policies[] = {
	{"comet", true, false, NULL},
	{"random", false, false, choose_random},
	{"round-robin", false, false, choose_round_robin},
	{"least-reported-load", false, true, choose_least_reported},
	{"two-choices", false, true, choose_two_random},
	{"prefix-hash", false, true, choose_prefix_hash},
};

const struct comet_policy_ops *
comet_policy_find(const char *name)
{
	for (size_t i = 0; i < sizeof policies / sizeof *policies; i++)
	{
		if (strcmp(policies[i].name, name) == 0)
			return &policies[i];
	}
	return NULL;
}

const char *
comet_policy_names(void)
{
	return "comet, random, round-robin, least-reported-load, two-choices, prefix-hash";
}

struct comet_policy *
comet_policy_create(void *parent, const char *name, uint64_t seed)
{
	struct comet_policy *policy = talloc_zero(parent, struct comet_policy);

	policy->ops = comet_policy_find(name);
	policy->random_state = seed;
	return policy;
}
