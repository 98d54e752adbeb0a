/*
 * node_request.c
 * Lookup, counting, refusal and removal of the requests that this VM holds.
 */
#include <libcometspindle/node/node_state.h>

#include <libcometspindle/hash.h>

/* Refused callers are told to retry after 0.5 to 2 s, spread to avoid synchronized retries. */
#define RETRY_AFTER_MIN_MS 500
#define RETRY_AFTER_SPREAD_MS 1500

struct comet_request *
comet_request_find(struct comet_node *node, uint64_t id)
{
	return g_hash_table_lookup(node->requests, &id);
}

bool
comet_request_is_waiting(const struct comet_request *request)
{
	return request->state != COMET_REQUEST_RUNNING;
}

/* Derives the delay from the request id, so that callers do not retry at the same time. */
static uint32_t
retry_after_ms(const struct comet_request *request)
{
	uint64_t id = request->submission.request;

	return RETRY_AFTER_MIN_MS +
	       (uint32_t)(comet_hash_bytes(&id, sizeof id, 0) % RETRY_AFTER_SPREAD_MS);
}

void
comet_request_count(struct comet_node *node, const struct comet_request *request, int change)
{
	node->waiting[request->submission.tier] += (uint32_t)change;
	node->waiting_total += (uint32_t)change;
}

void
comet_request_remove(struct comet_node *node, struct comet_request *request)
{
	if (comet_request_is_waiting(request))
		comet_request_count(node, request, -1);
	g_hash_table_remove(node->requests, &request->submission.request);
}

const char *
comet_node_team_name(const struct comet_node *node, uint32_t id)
{
	const struct comet_team *team =
		node->bundle != NULL ? comet_bundle_team(node->bundle, id) : NULL;

	return team != NULL ? team->name : "?";
}

void
comet_request_post_done(struct comet_node *node, const struct comet_request *request,
	enum comet_outcome outcome, const struct comet_sample *sample)
{
	comet_Item item = {.which_body = comet_Item_done_tag};
	comet_Done *done = &item.body.done;
	const struct comet_role *role =
		comet_node_role(node, request->submission.pool_id, request->shard);

	if (!node->policy->ops->scheduled || role == NULL || role->vm == 0)
		return;
	done->request = request->submission.request;
	done->endpoint = request->endpoint_id;
	done->model = request->submission.pool_id;
	done->shard = request->shard;
	done->outcome = outcome;
	if (sample != NULL)
	{
		done->first_token_us = sample->first_token_us;
		done->step_us = sample->step_us;
		done->output_tokens = sample->output_tokens;
	}
	done->prompt_tokens = request->submission.prompt_tokens;
	done->cached_tokens = request->cached_tokens;
	comet_node_post(node, role->vm, &item);
}

void
comet_request_release_claims(struct comet_node *node, const struct comet_request *request)
{
	comet_Item item = {.which_body = comet_Item_claim_tag};

	item.body.claim.key = request->submission.key;
	item.body.claim.request = request->submission.request;
	item.body.claim.release = true;
	for (uint32_t i = 0; i < request->group_size; i++)
		comet_node_post(node, request->group[i], &item);
}

/* Refuses a request. Releases its claims if no dispatch may have reached an endpoint. */
void
comet_request_refuse(struct comet_node *node, struct comet_request *request,
	enum comet_refusal refusal, enum comet_verdict verdict)
{
	uint64_t id = request->submission.request;
	uint32_t retry_ms = retry_after_ms(request);

	if (verdict == COMET_VERDICT_NOT_RUN && request->dispatches > 0)
		comet_violation("not_run_but_sent", "request=%08x.%012" PRIx64,
			(uint32_t)node->self_id, id);
	comet_log(COMET_LOG_INFO,
		"event=refuse request=%08x.%012" PRIx64
		" team=%s tier=%u code=%s verdict=%s waited_us=%" PRIu64 " tries=%u",
		(uint32_t)node->self_id, id,
		comet_node_team_name(node, request->submission.team_id), request->submission.tier,
		comet_refusal_name(refusal), comet_verdict_name(verdict),
		node->now.mono_us - request->arrived_us, request->failed_attempts);
	node->counts.refused[refusal]++;
	if (request->submission.once && request->dispatches == 0)
		comet_request_release_claims(node, request);
	if (request->state == COMET_REQUEST_WAITING)
	{
		request->endpoint_id = 0;
		comet_request_post_done(node, request, COMET_OUTCOME_WITHDRAWN, NULL);
	}
	comet_request_remove(node, request);
	node->ops->refuse(node->ctx, id, refusal, verdict, retry_ms);
}
