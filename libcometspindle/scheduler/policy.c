/*
 * policy.c
 * routing policies behind one vtable: ours and the baselines it is measured against
 */
#include <libcometspindle/scheduler/policy.h>

#include <libcometspindle/hash.h>
#include <string.h>
#include <talloc.h>

/* Bounded load: no endpoint may hold more than this part of the mean. */
#define BOUND_PERCENT 125

static uint64_t
draw(struct comet_policy *policy, uint64_t bound)
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
	return draw(policy, count);
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
	size_t best = draw(policy, count);

	(void)prefix;
	for (size_t i = 0; i < count; i++)
	{
		if (candidates[i].reported_load < candidates[best].reported_load)
			best = i;
	}
	return best;
}

static uint32_t
known_load(const struct comet_candidate *candidate)
{
	return candidate->reported_load > candidate->own_load ? candidate->reported_load
							      : candidate->own_load;
}

static size_t
choose_two(struct comet_policy *policy, const struct comet_candidate *candidates, size_t count,
	const struct comet_prefix *prefix)
{
	size_t first = draw(policy, count);
	size_t second = draw(policy, count);

	(void)prefix;
	return known_load(&candidates[first]) <= known_load(&candidates[second]) ? first : second;
}

/* Rendezvous on the prompt's first blocks; endpoints above the bound are passed over. */
static size_t
choose_prefix_hash(struct comet_policy *policy, const struct comet_candidate *candidates,
	size_t count, const struct comet_prefix *prefix)
{
	uint64_t key = draw(policy, UINT64_MAX);
	uint64_t total = 0;
	size_t best = 0;
	uint64_t best_score = 0;

	if (prefix->count > 0)
		key = prefix->hash[prefix->count > 3 ? 3 : prefix->count - 1];
	for (size_t i = 0; i < count; i++)
		total += known_load(&candidates[i]);
	for (size_t i = 0; i < count; i++)
	{
		uint64_t score = comet_hash_score(key, candidates[i].endpoint_id);
		uint64_t bound = (total + 1) * BOUND_PERCENT / (100 * count) + 1;
		if (known_load(&candidates[i]) < bound && score >= best_score)
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
	{"two-choices", false, true, choose_two},
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
