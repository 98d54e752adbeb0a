/*
 * node_admit.c
 * Admission of requests: idempotency claims, quota, and load shedding in tier order.
 */
#include <libcometspindle/node/node_state.h>

#include <libcometspindle/hash.h>
#include <string.h>

/* Longest wait for a quorum of claim replies. */
#define CLAIM_WAIT_US 1000000ULL
/* Each quota request asks for enough for this many requests, to save messages. */
#define QUOTA_REQUEST_BATCH 4

/* The lowest-priority tier (largest number) with a waiting request, or 0. */
static uint32_t
lowest_waiting_tier(const struct comet_node *node)
{
	for (uint32_t tier = COMET_TIERS_MAX; tier > 0; tier--)
	{
		if (node->waiting[tier - 1] > 0)
			return tier - 1;
	}
	return 0;
}

void
comet_request_shed(struct comet_node *node, struct comet_request *request)
{
	uint32_t tier = request->submission.tier;

	if (tier < node->shedding.shed_from)
		comet_violation(
			"shed_above_floor", "tier=%u shed_from=%u", tier, node->shedding.shed_from);
	if (lowest_waiting_tier(node) > tier)
		comet_violation("shed_inversion", "tier=%u lowest_waiting=%u", tier,
			lowest_waiting_tier(node));
	node->counts.shed_by_tier[tier]++;
	comet_request_refuse(node, request, COMET_REFUSAL_SHED, COMET_VERDICT_NOT_RUN);
}

/* The waiting request of this tier that arrived last. Equal arrival times are ordered by id. */
static struct comet_request *
newest_of_tier(struct comet_node *node, uint32_t tier)
{
	GHashTableIter iter;
	gpointer value = NULL;
	struct comet_request *newest = NULL;

	g_hash_table_iter_init(&iter, node->requests);
	while (g_hash_table_iter_next(&iter, NULL, &value))
	{
		struct comet_request *request = value;
		if (!comet_request_is_waiting(request) || request->submission.tier != tier)
			continue;
		if (newest == NULL || request->arrived_us > newest->arrived_us ||
			(request->arrived_us == newest->arrived_us &&
				request->submission.request > newest->submission.request))
			newest = request;
	}
	return newest;
}

/* Sheds the lowest tier while the queue is full. Keeps all requests if the shedding level agreed
 * with the other VMs does not allow that tier to be shed. */
void
comet_node_make_room(struct comet_node *node)
{
	while (node->waiting_total > node->max_waiting)
	{
		uint32_t lowest = lowest_waiting_tier(node);
		comet_load_shedding_request(&node->shedding, lowest, node->now.mono_us);
		if (lowest < node->shedding.shed_from)
			return;
		comet_request_shed(node, newest_of_tier(node, lowest));
	}
}

void
comet_request_post_quota_request(struct comet_node *node, const struct comet_request *request)
{
	comet_Item item = {.which_body = comet_Item_quota_ask_tag};
	size_t count = 0;
	const uint64_t *live = comet_membership_live(node->members, &count);
	uint64_t owner = live[0];

	for (size_t i = 1; i < count; i++)
	{
		uint64_t team = request->submission.team_id;
		if (comet_hash_score(team, live[i]) > comet_hash_score(team, owner))
			owner = live[i];
	}
	item.body.quota_ask.team = request->submission.team_id;
	item.body.quota_ask.tokens =
		QUOTA_REQUEST_BATCH * (request->submission.prompt_tokens + request->output_tokens);
	item.body.quota_ask.requests = QUOTA_REQUEST_BATCH;
	comet_node_post(node, owner, &item);
}

static bool
spend_quota(struct comet_node *node, const struct comet_request *request)
{
	const struct comet_team *team =
		comet_bundle_team(node->bundle, request->submission.team_id);
	struct comet_quota_amount amount = {
		.tokens = request->submission.prompt_tokens + request->output_tokens,
		.requests = 1,
	};

	return team == NULL || comet_quota_spend(node->quota, team, amount, node->now.mono_us);
}

void
comet_request_enter_quota(struct comet_node *node, struct comet_request *request)
{
	if (spend_quota(node, request))
	{
		comet_request_enter_waiting(node, request);
		return;
	}
	request->state = COMET_REQUEST_QUOTA;
	request->step_deadline_us = node->now.mono_us + COMET_QUOTA_WAIT_US;
	request->renew_at_us = node->now.mono_us + COMET_QUOTA_WAIT_US / 4;
	comet_request_post_quota_request(node, request);
}

void
comet_node_on_quota_grant(struct comet_node *node, const comet_QuotaGrant *grant)
{
	struct comet_quota_amount part = {grant->tokens, grant->requests};
	GHashTableIter iter;
	gpointer value = NULL;
	GPtrArray *ready = g_ptr_array_new();

	comet_quota_add(node->quota, grant->team, part, node->now.mono_us);
	g_hash_table_iter_init(&iter, node->requests);
	while (g_hash_table_iter_next(&iter, NULL, &value))
	{
		struct comet_request *request = value;
		if (request->state == COMET_REQUEST_QUOTA &&
			request->submission.team_id == grant->team && spend_quota(node, request))
			g_ptr_array_add(ready, request);
	}
	for (guint i = 0; i < ready->len; i++)
		comet_request_enter_waiting(node, g_ptr_array_index(ready, i));
	g_ptr_array_free(ready, TRUE);
}

void
comet_request_enter_claiming(struct comet_node *node, struct comet_request *request)
{
	comet_Item item = {.which_body = comet_Item_claim_tag};

	request->state = COMET_REQUEST_CLAIMING;
	request->step_deadline_us = node->now.mono_us + CLAIM_WAIT_US;
	request->group_size = (uint32_t)comet_claims_group(
		node->vm_ids, node->n_vm_ids, request->submission.key, request->group);
	item.body.claim.key = request->submission.key;
	item.body.claim.request = request->submission.request;
	item.body.claim.first_sent_ms = request->submission.first_sent_ms;
	for (uint32_t i = 0; i < request->group_size; i++)
		comet_node_post(node, request->group[i], &item);
}

void
comet_node_on_claim_reply(struct comet_node *node, const comet_ClaimReply *reply)
{
	struct comet_request *request = comet_request_find(node, reply->request);

	if (request == NULL || request->state != COMET_REQUEST_CLAIMING ||
		request->submission.key != reply->key)
		return;
	if (reply->answer == COMET_CLAIM_GRANTED)
		request->claims_granted++;
	else
		request->claims_refused++;
	if (reply->answer == COMET_CLAIM_SEEN)
		request->claim_seen = true;
	size_t quorum = comet_claims_quorum(request->group_size);
	if (request->claims_granted >= quorum)
	{
		comet_request_enter_quota(node, request);
		return;
	}
	if (request->group_size - request->claims_refused >= quorum)
		return; /* the remaining replies can still complete the quorum */
	comet_request_refuse(node, request,
		request->claim_seen ? COMET_REFUSAL_ALREADY_SEEN : COMET_REFUSAL_UNSURE,
		COMET_VERDICT_MAY_HAVE_RUN);
}
