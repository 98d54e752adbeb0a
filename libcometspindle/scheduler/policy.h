/*
 * policy.h
 * routing policies behind one vtable: the scheduler policy and the baselines for comparison
 */
#ifndef COMETSPINDLE_POLICY_H
#define COMETSPINDLE_POLICY_H

#include <libcometspindle/scheduler/prefix.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** Information about one endpoint that a baseline policy may use. */
struct comet_candidate
{
	uint32_t endpoint_id;
	uint32_t reported_load; /**< running and queued requests in the last load report */
	uint32_t own_load;      /**< requests that this VM dispatched and that are unfinished */
};

struct comet_policy;

struct comet_policy_ops
{
	const char *name;
	/** True: requests wait for a grant from a scheduler. False: choose() runs on arrival. */
	bool scheduled;
	/** True: the policy reads reported_load, so all endpoints are polled for load reports. */
	bool wants_reports;
	/** @return an index into candidates; count must be greater than 0. */
	size_t (*choose)(struct comet_policy *policy, const struct comet_candidate *candidates,
		size_t count, const struct comet_prefix *prefix);
};

/** A policy instance; the state after the vtable is shared by the baselines. */
struct comet_policy
{
	const struct comet_policy_ops *ops;
	uint64_t random_state;
	uint64_t next;
};

/** @return the vtable of the named policy, or NULL if there is none. */
const struct comet_policy_ops *
comet_policy_find(const char *name);

/** @return all policy names, separated by commas, for error messages. */
const char *
comet_policy_names(void);

/** Creates a policy; equal seeds give equal random choices. Free with talloc_free. */
struct comet_policy *
comet_policy_create(void *parent, const char *name, uint64_t seed);

#endif
