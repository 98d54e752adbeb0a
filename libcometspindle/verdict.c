/*
 * verdict.c
 * names, statuses and sentences for verdicts, outcomes and refusals
 */
#include <libcometspindle/verdict.h>

#include <stddef.h>

struct refusal_row
{
	const char *name;
	unsigned int status;
	const char *message;
};

static const struct refusal_row refusals[] = {
	[COMET_REFUSAL_NONE] = {"none", 200, ""},
	[COMET_REFUSAL_BAD_REQUEST] = {"bad_request", 400, "the request is not well formed"},
	[COMET_REFUSAL_UNAUTHORIZED] = {"unauthorized", 401, "no team has this key"},
	[COMET_REFUSAL_FORBIDDEN_TIER] = {"tier_not_allowed", 403,
		"the team may not use this tier"},
	[COMET_REFUSAL_NOT_FOUND] = {"not_found", 404, "there is nothing at this path"},
	[COMET_REFUSAL_UNKNOWN_MODEL] = {"unknown_model", 404, "no such model or service"},
	[COMET_REFUSAL_TOO_LARGE] = {"too_large", 413, "the body is larger than allowed"},
	[COMET_REFUSAL_QUOTA] = {"quota_exceeded", 429, "the team's quota is used up"},
	[COMET_REFUSAL_SHED] = {"shed", 503, "refused under pressure, lowest tier first"},
	[COMET_REFUSAL_DEADLINE] = {"deadline_exceeded", 504,
		"it could not have finished before its deadline"},
	[COMET_REFUSAL_ALREADY_SEEN] = {"already_seen", 409,
		"a request with this idempotency key was seen before and may have run"},
	[COMET_REFUSAL_UNSURE] = {"unsure", 503,
		"the VMs that remember this idempotency key cannot be heard, or are newer than it"},
	[COMET_REFUSAL_STOPPING] = {"stopping", 503, "this VM is stopping: use another address"},
	[COMET_REFUSAL_NOT_READY] = {"not_ready", 503, "this VM has no bundle yet"},
	[COMET_REFUSAL_ENDPOINT_FAILED] = {"endpoint_failed", 502,
		"the endpoint failed after the request was sent"},
	[COMET_REFUSAL_INTERNAL] = {"internal", 500, "internal error"},
};

const char *
comet_verdict_name(enum comet_verdict verdict)
{
	static const char *const names[] = {"not_run", "may_have_run", "ran"};

	return names[verdict];
}

const char *
comet_outcome_name(enum comet_outcome outcome)
{
	static const char *const names[] = {
		"served", "failed", "refused", "unreached", "returned", "withdrawn"};

	if ((size_t)outcome >= sizeof names / sizeof *names)
		return "unknown";
	return names[outcome];
}

const char *
comet_refusal_name(enum comet_refusal refusal)
{
	return refusals[refusal].name;
}

unsigned int
comet_refusal_status(enum comet_refusal refusal)
{
	return refusals[refusal].status;
}

const char *
comet_refusal_message(enum comet_refusal refusal)
{
	return refusals[refusal].message;
}
