/*
 * policy.h
 * routing policies behind one vtable: ours and the baselines it is measured against
 */
#ifndef COMETSPINDLE_POLICY_H
#define COMETSPINDLE_POLICY_H

#include <libcometspindle/scheduler/prefix.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** What a baseline may know of one endpoint. */
struct comet_candidate
{
	uint32_t endpoint_id;
	uint32_t reported_load; /**< running and queued, as last reported */
	uint32_t own_load;      /**< dispatched by this VM and not finished */
};

struct comet_policy;

struct comet_policy_ops
{
	const char *name;
	/** True: requests wait for a grant of a scheduler. False: choose is called at once. */
	bool scheduled;
	/** True: reads reported_load, so reports of every endpoint are polled. */
	bool wants_reports;
	/** @return index into candidates; count > 0. */
	size_t (*choose)(struct comet_policy *policy, const struct comet_candidate *candidates,
		size_t count, const struct comet_prefix *prefix);
};

/** Vtable first, then the little state that the baselines share. */
struct comet_policy
{
	const struct comet_policy_ops *ops;
	uint64_t random_state;
	uint64_t next;
};

/** @return the policy's vtable, or NULL. */
const struct comet_policy_ops *
comet_policy_find(const char *name);

/** All names, comma separated, for messages. */
const char *
comet_policy_names(void);

/** Creates a policy; seed makes its draws repeatable. Free with talloc_free. */
struct comet_policy *
comet_policy_create(void *parent, const char *name, uint64_t seed);

#endif
