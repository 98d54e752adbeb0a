/*
 * node_peers.c
 * Sends queued packets to other VMs and dispatches received items to their handlers.
 */
#include <libcometspindle/node/node_peers.h>

#include <libcometspindle/node/node_bundle.h>
#include <libcometspindle/node/node_state.h>

#include <string.h>

static void
on_item(struct comet_node *node, uint64_t from, const comet_Item *item, GBytes *blob);

/* Handles items that this VM sent to itself, for roles that it holds. */
static void
handle_local_items(struct comet_node *node)
{
	for (guint i = 0; i < node->local_items->len; i++)
	{
		/* copied, because a handler may append items and reallocate the array */
		comet_Item item = g_array_index(node->local_items, comet_Item, i);
		on_item(node, node->self_id, &item, NULL);
	}
	g_array_set_size(node->local_items, 0);
}

void
comet_node_flush(struct comet_node *node, struct comet_time now)
{
	GHashTableIter iter;
	gpointer value = NULL;

	node->now = now;
	handle_local_items(node);
	node->pending = false;
	g_hash_table_iter_init(&iter, node->outboxes);
	while (g_hash_table_iter_next(&iter, NULL, &value))
	{
		struct comet_outbox *outbox = value;
		if (outbox->packet.items_count == 0)
			continue;
		if (comet_membership_find(node->members, outbox->vm) == NULL)
			outbox->packet.items_count = 0; /* the VM has left the VM list */
		else
			comet_node_send_outbox(node, outbox, NULL);
	}
}

bool
comet_node_pending(const struct comet_node *node)
{
	return node->pending;
}

static void
on_ping(struct comet_node *node, uint64_t from, const comet_Ping *ping)
{
	comet_membership_heard(node->members, from, ping, node->now.mono_us);
	if (ping->reply || comet_membership_find(node->members, from) == NULL)
		return;
	comet_Item item = {.which_body = comet_Item_ping_tag};
	comet_Ping *reply = &item.body.ping;
	reply->reply = true;
	reply->sent_us = ping->sent_us;
	comet_node_fill_ping(node, reply);
	comet_node_post(node, from, &item);
}

static void
on_bundle_request(struct comet_node *node, uint64_t from, const comet_BundleAsk *ask)
{
	if (node->bundle == NULL || node->bundle->version <= ask->newer_than)
		return;
	struct comet_outbox outbox = {.vm = from};
	outbox.packet.items_count = 1;
	outbox.packet.items[0].which_body = comet_Item_bundle_offer_tag;
	outbox.packet.items[0].body.bundle_offer.version = node->bundle->version;
	comet_node_send_outbox(node, &outbox, node->signed_bundle);
}

static void
on_bundle_offer(struct comet_node *node, uint64_t from, GBytes *blob)
{
	GError *error = NULL;

	if (blob == NULL || comet_node_offer_bundle(node, blob, node->now, &error))
		return;
	const struct comet_member *member = comet_membership_find(node->members, from);
	comet_log(COMET_LOG_NOTICE, "event=bundle_refused source=%s reason=\"%s\"",
		member != NULL ? member->name : "?", error->message);
	g_clear_error(&error);
}

static void
on_claim(struct comet_node *node, uint64_t from, const comet_Claim *claim)
{
	if (claim->release)
	{
		comet_claims_release(node->claims, claim->key, from, claim->request);
		return;
	}
	comet_Item item = {.which_body = comet_Item_claim_reply_tag};
	item.body.claim_reply.key = claim->key;
	item.body.claim_reply.request = claim->request;
	item.body.claim_reply.answer = comet_claims_record(node->claims, claim->key,
		claim->first_sent_ms, from, claim->request, node->now.wall_ms);
	comet_node_post(node, from, &item);
}

static void
on_quota_request(struct comet_node *node, uint64_t from, const comet_QuotaAsk *ask)
{
	const struct comet_team *team =
		node->bundle != NULL ? comet_bundle_team(node->bundle, ask->team) : NULL;
	size_t live = 0;

	if (team == NULL)
		return;
	comet_membership_live(node->members, &live);
	struct comet_quota_amount asked = {ask->tokens, ask->requests};
	struct comet_quota_amount given =
		comet_quota_lease(node->quota, team, asked, (uint32_t)live,
			(uint32_t)comet_membership_listed(node->members), node->now.mono_us);
	comet_Item item = {.which_body = comet_Item_quota_grant_tag};
	item.body.quota_grant.team = ask->team;
	item.body.quota_grant.tokens = given.tokens;
	item.body.quota_grant.requests = given.requests;
	item.body.quota_grant.valid_ms = COMET_QUOTA_LEASE_MS;
	comet_node_post(node, from, &item);
}

static void
on_slot_request(struct comet_node *node, uint64_t from, const comet_Ask *ask)
{
	/* only the scheduler of the requested shard handles the slot request */
	for (uint32_t i = 0; i < node->n_roles; i++)
	{
		struct comet_role *role = &node->roles[i];
		if (role->pool_id == ask->model && role->shard == ask->shard &&
			role->scheduler != NULL)
			comet_scheduler_ask(role->scheduler, from, ask, node->now.mono_us);
	}
}

static struct comet_scheduler *
scheduler_for(struct comet_node *node, uint32_t pool_id, uint32_t shard)
{
	struct comet_role *role = comet_node_role(node, pool_id, shard);

	return role != NULL ? role->scheduler : NULL;
}

static struct comet_scheduler *
scheduler_of_endpoint(struct comet_node *node, uint32_t pool_id, uint32_t endpoint_id)
{
	if (node->bundle == NULL)
		return NULL;
	return scheduler_for(
		node, pool_id, comet_bundle_shard_of(node->bundle, pool_id, endpoint_id));
}

static void
on_done(struct comet_node *node, uint64_t from, const comet_Done *done)
{
	struct comet_scheduler *scheduler = scheduler_for(node, done->model, done->shard);

	if (scheduler != NULL)
		comet_scheduler_done(scheduler, from, done, node->now.mono_us);
}

static void
on_item(struct comet_node *node, uint64_t from, const comet_Item *item, GBytes *blob)
{
	struct comet_scheduler *scheduler = NULL;

	switch (item->which_body)
	{
	case comet_Item_ask_tag:
		on_slot_request(node, from, &item->body.ask);
		break;
	case comet_Item_grant_tag:
		comet_node_on_grant(node, from, &item->body.grant);
		break;
	case comet_Item_decline_tag:
		comet_node_on_decline(node, from, item->body.decline.request);
		break;
	case comet_Item_running_tag:
		scheduler = scheduler_of_endpoint(
			node, item->body.running.model, item->body.running.endpoint);
		if (scheduler != NULL)
			comet_scheduler_running(
				scheduler, from, &item->body.running, node->now.mono_us);
		break;
	case comet_Item_done_tag:
		on_done(node, from, &item->body.done);
		break;
	case comet_Item_slow_tag:
		scheduler = scheduler_of_endpoint(
			node, item->body.slow.model, item->body.slow.endpoint);
		if (scheduler != NULL)
			comet_scheduler_slow(scheduler, item->body.slow.endpoint,
				item->body.slow.step_us, node->now.mono_us);
		break;
	case comet_Item_ping_tag:
		on_ping(node, from, &item->body.ping);
		break;
	case comet_Item_claim_tag:
		on_claim(node, from, &item->body.claim);
		break;
	case comet_Item_claim_reply_tag:
		comet_node_on_claim_reply(node, &item->body.claim_reply);
		break;
	case comet_Item_quota_ask_tag:
		on_quota_request(node, from, &item->body.quota_ask);
		break;
	case comet_Item_quota_grant_tag:
		comet_node_on_quota_grant(node, &item->body.quota_grant);
		break;
	case comet_Item_bundle_ask_tag:
		on_bundle_request(node, from, &item->body.bundle_ask);
		break;
	case comet_Item_bundle_offer_tag:
		on_bundle_offer(node, from, blob);
		break;
	default:
		break; /* unknown item type of a newer release */
	}
}

void
comet_node_receive(struct comet_node *node, uint64_t from, const comet_Packet *packet, GBytes *blob,
	struct comet_time now)
{
	node->now = now;
	for (pb_size_t i = 0; i < packet->items_count; i++)
		on_item(node, from, &packet->items[i], blob);
}
