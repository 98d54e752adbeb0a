/*
 * node_dispatch.c
 * Sends slot requests to schedulers, dispatches each request once, and learns output lengths.
 */
#include <libcometspindle/node/node_state.h>

#include <libcometspindle/hash.h>
#include <string.h>

/* A lost slot request delays its request, so it is renewed often. A lost release only occupies a
 * slot, and the scheduler frees the slots of unreachable VMs, so grants are renewed rarely. */
#define SLOT_REQUEST_RENEW_US 2000000ULL
#define GRANT_RENEW_US 10000000ULL
#define OUTPUT_RATIO_INITIAL 0.8
#define OUTPUT_RATIO_WEIGHT 0.1
/* Prompts with equal prefix hashes up to this index go to the same shard. */
#define SHARD_PREFIX_INDEX 3

double *
comet_node_output_ratio(struct comet_node *node, uint32_t team_id, uint32_t pool_id)
{
	uint64_t key = ((uint64_t)team_id << 32) | pool_id;
	double *ratio = g_hash_table_lookup(node->output_ratios, &key);

	if (ratio == NULL)
	{
		ratio = g_new(double, 1);
		*ratio = OUTPUT_RATIO_INITIAL;
		g_hash_table_insert(node->output_ratios, g_memdup2(&key, sizeof key), ratio);
	}
	return ratio;
}

void
comet_request_learn_output(
	struct comet_node *node, const struct comet_request *request, uint32_t output_tokens)
{
	double *ratio = comet_node_output_ratio(
		node, request->submission.team_id, request->submission.pool_id);

	if (request->submission.max_output_tokens == 0)
		return;
	double sample = (double)output_tokens / request->submission.max_output_tokens;
	*ratio += OUTPUT_RATIO_WEIGHT * (sample - *ratio);
}

static void
log_dispatch(struct comet_node *node, const struct comet_request *request,
	const struct comet_endpoint *endpoint)
{
	comet_log(COMET_LOG_INFO,
		"event=dispatch request=%08x.%012" PRIx64
		" team=%s tier=%u endpoint=%s policy=%s waited_us=%" PRIu64 " slack_us=%" PRId64
		" try=%u",
		(uint32_t)node->self_id, request->submission.request,
		comet_node_team_name(node, request->submission.team_id), request->submission.tier,
		endpoint->name, node->policy->ops->name, node->now.mono_us - request->arrived_us,
		(int64_t)(request->deadline_us - node->now.mono_us), request->failed_attempts);
}

void
comet_request_dispatch(struct comet_node *node, struct comet_request *request,
	const struct comet_endpoint *endpoint)
{
	if (request->dispatches > 0)
		comet_violation("dispatched_twice", "request=%08x.%012" PRIx64,
			(uint32_t)node->self_id, request->submission.request);
	if (endpoint->leaving)
		comet_violation("leaving_endpoint", "request=%08x.%012" PRIx64 " endpoint=%s",
			(uint32_t)node->self_id, request->submission.request, endpoint->name);
	comet_request_count(node, request, -1);
	request->state = COMET_REQUEST_RUNNING;
	request->dispatches++;
	request->endpoint_id = endpoint->id;
	request->renew_at_us = node->now.mono_us + GRANT_RENEW_US;
	node->counts.dispatched++;
	log_dispatch(node, request, endpoint);
	node->ops->dispatch(node->ctx, request->submission.request, endpoint);
}

/* Dispatches immediately, using only load known to this VM. For baseline policies without a
 * scheduler. */
static void
dispatch_unscheduled(struct comet_node *node, struct comet_request *request)
{
	struct comet_candidate *candidates =
		talloc_array(node, struct comet_candidate, node->bundle->n_endpoints + 1);
	size_t count = 0;

	for (uint32_t i = 0; i < node->bundle->n_endpoints; i++)
	{
		const struct comet_endpoint *endpoint = &node->bundle->endpoints[i];
		gpointer id = GUINT_TO_POINTER(endpoint->id);
		if (endpoint->leaving || endpoint->id == request->avoid ||
			!comet_endpoint_serves(endpoint, request->submission.pool_id))
			continue;
		candidates[count].endpoint_id = endpoint->id;
		candidates[count].reported_load =
			GPOINTER_TO_UINT(g_hash_table_lookup(node->reported, id));
		candidates[count].own_load =
			GPOINTER_TO_UINT(g_hash_table_lookup(node->own_load, id));
		count++;
	}
	if (count == 0)
	{
		talloc_free(candidates);
		comet_request_refuse(
			node, request, COMET_REFUSAL_ENDPOINT_FAILED, COMET_VERDICT_NOT_RUN);
		return;
	}
	size_t chosen = node->policy->ops->choose(
		node->policy, candidates, count, &request->submission.prefix);
	uint32_t id = candidates[chosen].endpoint_id;
	g_hash_table_insert(node->own_load, GUINT_TO_POINTER(id),
		GUINT_TO_POINTER(candidates[chosen].own_load + 1));
	talloc_free(candidates);
	comet_request_dispatch(node, request, comet_bundle_endpoint(node->bundle, id));
}

void
comet_node_own_load_ended(struct comet_node *node, uint32_t endpoint_id)
{
	gpointer id = GUINT_TO_POINTER(endpoint_id);
	uint32_t load = GPOINTER_TO_UINT(g_hash_table_lookup(node->own_load, id));

	if (load > 0)
		g_hash_table_insert(node->own_load, id, GUINT_TO_POINTER(load - 1));
}

/* Maps requests with a common prompt prefix to the same shard, and spreads all others by id. */
uint32_t
comet_node_pick_shard(const struct comet_node *node, const struct comet_submission *submission)
{
	uint32_t shards = comet_bundle_shards(node->bundle, submission->pool_id);
	const struct comet_prefix *prefix = &submission->prefix;
	uint64_t key = submission->request;

	if (prefix->count > 0)
		key = prefix->hash[prefix->count > SHARD_PREFIX_INDEX ? SHARD_PREFIX_INDEX
								      : prefix->count - 1];
	return (uint32_t)(comet_hash_bytes(&key, sizeof key, 0) % shards);
}

void
comet_request_post_slot_request(struct comet_node *node, struct comet_request *request)
{
	const struct comet_submission *submission = &request->submission;
	comet_Item item = {.which_body = comet_Item_ask_tag};
	comet_Ask *ask = &item.body.ask;
	struct comet_role *role = comet_node_role(node, submission->pool_id, request->shard);

	request->renew_at_us = node->now.mono_us + SLOT_REQUEST_RENEW_US;
	if (role == NULL)
	{
		request->shard = comet_node_pick_shard(node, submission);
		role = comet_node_role(node, submission->pool_id, request->shard);
	}
	request->scheduler = role != NULL ? role->vm : 0;
	if (request->scheduler == 0)
		return; /* renewed later, when the VM that holds the role is known */
	uint64_t slack_us = request->deadline_us > node->now.mono_us
				    ? request->deadline_us - node->now.mono_us
				    : 0;
	ask->request = submission->request;
	ask->model = submission->pool_id;
	ask->shard = request->shard;
	ask->team = submission->team_id;
	ask->tier = submission->tier;
	ask->slack_ms = (uint32_t)(slack_us / 1000);
	ask->prompt_tokens = submission->prompt_tokens;
	ask->output_tokens = request->output_tokens;
	ask->avoid = request->avoid;
	ask->prefix_count = (pb_size_t)submission->prefix.count;
	memcpy(ask->prefix, submission->prefix.hash, sizeof ask->prefix);
	comet_node_post(node, request->scheduler, &item);
}

void
comet_request_post_running(struct comet_node *node, struct comet_request *request)
{
	comet_Item item = {.which_body = comet_Item_running_tag};
	const struct comet_role *role =
		comet_node_role(node, request->submission.pool_id, request->shard);

	request->renew_at_us = node->now.mono_us + GRANT_RENEW_US;
	if (role == NULL || role->vm == 0 || !node->policy->ops->scheduled)
		return;
	item.body.running.request = request->submission.request;
	item.body.running.endpoint = request->endpoint_id;
	item.body.running.model = request->submission.pool_id;
	item.body.running.tier = request->submission.tier;
	comet_node_post(node, role->vm, &item);
}

void
comet_request_enter_waiting(struct comet_node *node, struct comet_request *request)
{
	request->state = COMET_REQUEST_WAITING;
	if (node->policy->ops->scheduled)
		comet_request_post_slot_request(node, request);
	else
		dispatch_unscheduled(node, request);
}
