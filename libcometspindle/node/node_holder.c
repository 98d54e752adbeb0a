/*
 * node_holder.c
 * Life cycle of the requests that this VM holds, from submission to the final answer.
 */
#include <libcometspindle/node/node_holder.h>

#include <libcometspindle/node/node_state.h>

#include <libcometspindle/hash.h>
#include <string.h>

#define RETRIES_MAX 2
/* Each submission adds this part of one retry to the budget, up to the maximum. */
#define RETRY_BUDGET_RATIO 0.1
#define RETRY_BUDGET_MAX 20.0

void
comet_node_submit(
	struct comet_node *node, const struct comet_submission *submission, struct comet_time now)
{
	struct comet_request *request = g_new0(struct comet_request, 1);

	node->now = now;
	request->submission = *submission;
	request->arrived_us = now.mono_us;
	request->deadline_us = now.mono_us + submission->deadline_ms * 1000ULL;
	request->state = COMET_REQUEST_WAITING;
	g_hash_table_insert(node->requests, &request->submission.request, request);
	comet_request_count(node, request, 1);
	node->counts.submitted++;
	node->retry_budget = MIN(node->retry_budget + RETRY_BUDGET_RATIO, RETRY_BUDGET_MAX);
	if (node->bundle == NULL || !node->shedding.joined)
	{
		comet_request_refuse(node, request, COMET_REFUSAL_NOT_READY, COMET_VERDICT_NOT_RUN);
		return;
	}
	double ratio = *comet_node_output_ratio(node, submission->team_id, submission->pool_id);
	request->output_tokens = 1 + (uint32_t)(submission->max_output_tokens * ratio);
	request->shard = comet_node_pick_shard(node, submission);
	if (submission->tier >= node->shedding.keep_below)
	{
		comet_request_shed(node, request);
		return;
	}
	uint64_t id = submission->request;
	comet_node_make_room(node);
	/* comet_node_make_room() may have shed this request */
	request = comet_request_find(node, id);
	if (request == NULL)
		return;
	if (submission->once)
		comet_request_enter_claiming(node, request);
	else
		comet_request_enter_quota(node, request);
}

static void
return_grant(struct comet_node *node, struct comet_request *request, uint64_t from,
	const comet_Grant *grant)
{
	comet_Item item = {.which_body = comet_Item_done_tag};

	item.body.done.request = grant->request;
	item.body.done.endpoint = grant->endpoint;
	item.body.done.model = request->submission.pool_id;
	item.body.done.shard = request->shard;
	item.body.done.outcome = COMET_OUTCOME_RETURNED;
	comet_node_post(node, from, &item);
}

void
comet_node_on_grant(struct comet_node *node, uint64_t from, const comet_Grant *grant)
{
	struct comet_request *request = comet_request_find(node, grant->request);
	const struct comet_endpoint *endpoint =
		node->bundle != NULL ? comet_bundle_endpoint(node->bundle, grant->endpoint) : NULL;

	if (request == NULL)
		return; /* the release already sent for this request also ends the grant */
	if (request->state != COMET_REQUEST_WAITING || request->scheduler != from)
	{
		if (request->state != COMET_REQUEST_RUNNING || request->scheduler != from)
			return_grant(node, request, from, grant);
		return;
	}
	if (endpoint == NULL || endpoint->leaving ||
		!comet_endpoint_serves(endpoint, request->submission.pool_id))
	{
		/* the scheduler and this VM have different bundle versions for a short time */
		return_grant(node, request, from, grant);
		comet_request_post_slot_request(node, request);
		return;
	}
	request->cached_tokens = grant->cached_tokens;
	comet_request_dispatch(node, request, endpoint);
}

void
comet_node_on_decline(struct comet_node *node, uint64_t from, uint64_t id)
{
	struct comet_request *request = comet_request_find(node, id);

	if (request == NULL || request->state != COMET_REQUEST_WAITING ||
		request->scheduler != from)
		return;
	comet_request_refuse(node, request, COMET_REFUSAL_DEADLINE, COMET_VERDICT_NOT_RUN);
}

static void
retry_or_refuse(struct comet_node *node, struct comet_request *request)
{
	request->dispatches = 0; /* the endpoint did not execute the request */
	request->failed_attempts++;
	request->state = COMET_REQUEST_WAITING;
	comet_request_count(node, request, 1);
	if (request->failed_attempts > RETRIES_MAX || node->retry_budget < 1)
	{
		comet_request_refuse(
			node, request, COMET_REFUSAL_ENDPOINT_FAILED, COMET_VERDICT_NOT_RUN);
		return;
	}
	node->retry_budget -= 1;
	node->counts.retries++;
	request->avoid = request->endpoint_id;
	comet_request_enter_waiting(node, request);
}

void
comet_node_finished(struct comet_node *node, uint64_t id, enum comet_outcome outcome,
	const struct comet_sample *sample, struct comet_time now)
{
	struct comet_request *request = comet_request_find(node, id);

	node->now = now;
	if (request == NULL || request->state != COMET_REQUEST_RUNNING)
		return;
	comet_log(COMET_LOG_INFO,
		"event=finish request=%08x.%012" PRIx64
		" outcome=%s first_token_us=%u step_us=%u output_tokens=%u"
		" took_us=%" PRIu64,
		(uint32_t)node->self_id, id, comet_outcome_name(outcome), sample->first_token_us,
		sample->step_us, sample->output_tokens, now.mono_us - request->arrived_us);
	comet_request_post_done(node, request, outcome, sample);
	comet_node_own_load_ended(node, request->endpoint_id);
	if (outcome == COMET_OUTCOME_REFUSED || outcome == COMET_OUTCOME_UNREACHED)
	{
		retry_or_refuse(node, request);
		return;
	}
	if (outcome == COMET_OUTCOME_SERVED)
	{
		node->counts.served++;
		comet_request_learn_output(node, request, sample->output_tokens);
	}
	else
		node->counts.failed++;
	comet_request_remove(node, request);
}

void
comet_node_abandoned(struct comet_node *node, uint64_t id, struct comet_time now)
{
	struct comet_request *request = comet_request_find(node, id);

	node->now = now;
	if (request == NULL || !comet_request_is_waiting(request))
		return;
	if (request->submission.once)
		comet_request_release_claims(node, request);
	if (request->state == COMET_REQUEST_WAITING)
		comet_request_post_done(node, request, COMET_OUTCOME_WITHDRAWN, NULL);
	comet_request_remove(node, request);
}

void
comet_node_slow(struct comet_node *node, uint64_t id, uint32_t step_us, struct comet_time now)
{
	struct comet_request *request = comet_request_find(node, id);
	comet_Item item = {.which_body = comet_Item_slow_tag};

	node->now = now;
	if (request == NULL || request->state != COMET_REQUEST_RUNNING)
		return;
	const struct comet_role *role =
		comet_node_role(node, request->submission.pool_id, request->shard);
	if (role == NULL || role->vm == 0 || !node->policy->ops->scheduled)
		return;
	item.body.slow.endpoint = request->endpoint_id;
	item.body.slow.model = request->submission.pool_id;
	item.body.slow.step_us = step_us;
	comet_node_post(node, role->vm, &item);
}

void
comet_node_resend_requests(struct comet_node *node, const struct comet_role *role)
{
	GHashTableIter iter;
	gpointer value = NULL;

	if (!node->policy->ops->scheduled)
		return;
	g_hash_table_iter_init(&iter, node->requests);
	while (g_hash_table_iter_next(&iter, NULL, &value))
	{
		struct comet_request *request = value;
		if (request->submission.pool_id != role->pool_id || request->shard != role->shard)
			continue;
		if (request->state == COMET_REQUEST_WAITING)
			comet_request_post_slot_request(node, request);
		else if (request->state == COMET_REQUEST_RUNNING)
			comet_request_post_running(node, request);
	}
}

/* Applies deadlines, load shedding and renewals to a waiting request. May free the request. */
static void
tick_waiting(struct comet_node *node, struct comet_request *request)
{
	uint64_t now_us = node->now.mono_us;

	if (now_us >= request->deadline_us)
		comet_request_refuse(node, request, COMET_REFUSAL_DEADLINE,
			request->state == COMET_REQUEST_CLAIMING ? COMET_VERDICT_MAY_HAVE_RUN
								 : COMET_VERDICT_NOT_RUN);
	else if (request->submission.tier >= node->shedding.keep_below)
		comet_request_shed(node, request);
	else if (request->state == COMET_REQUEST_CLAIMING && now_us >= request->step_deadline_us)
		comet_request_refuse(
			node, request, COMET_REFUSAL_UNSURE, COMET_VERDICT_MAY_HAVE_RUN);
	else if (request->state == COMET_REQUEST_QUOTA && now_us >= request->step_deadline_us)
		comet_request_refuse(node, request, COMET_REFUSAL_QUOTA, COMET_VERDICT_NOT_RUN);
	else if (now_us >= request->renew_at_us && request->state == COMET_REQUEST_QUOTA)
	{
		request->renew_at_us = now_us + COMET_QUOTA_WAIT_US / 4;
		comet_request_post_quota_request(node, request);
	}
	else if (now_us >= request->renew_at_us && request->state == COMET_REQUEST_WAITING)
		comet_request_post_slot_request(node, request);
}

static gint
lower_tier_first(gconstpointer a, gconstpointer b)
{
	const struct comet_request *left = *(struct comet_request *const *)a;
	const struct comet_request *right = *(struct comet_request *const *)b;

	return (gint)right->submission.tier - (gint)left->submission.tier;
}

void
comet_node_tick_requests(struct comet_node *node)
{
	GHashTableIter iter;
	gpointer value = NULL;
	GPtrArray *waiting = g_ptr_array_new();

	g_hash_table_iter_init(&iter, node->requests);
	while (g_hash_table_iter_next(&iter, NULL, &value))
	{
		struct comet_request *request = value;
		if (comet_request_is_waiting(request))
			g_ptr_array_add(waiting, request);
		else if (node->now.mono_us >= request->renew_at_us)
			comet_request_post_running(node, request);
	}
	g_ptr_array_sort(waiting, lower_tier_first);
	for (guint i = 0; i < waiting->len; i++)
		tick_waiting(node, g_ptr_array_index(waiting, i));
	g_ptr_array_free(waiting, TRUE);
}
