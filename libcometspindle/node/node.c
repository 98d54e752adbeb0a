/*
 * node.c
 * Life cycle, member list and periodic work of the control state of one VM.
 */
#include <libcometspindle/node/node.h>

#include <libcometspindle/hash.h>
#include <libcometspindle/node/node_state.h>
#include <string.h>

/* After a longer gap between ticks, the process was paused and its leases may have expired. */
#define PAUSE_THRESHOLD_US 1000000ULL
/* Interval at which expired claims are removed. */
#define CLAIM_EXPIRY_INTERVAL_US 500000ULL
/* Longest time that a starting VM waits for its peers to report a newer bundle. After that, the
 * bundle of the platform is sufficient. */
#define PEER_WAIT_MAX_US 1500000ULL
/* VMs of an availability zone that watch the bundle of the platform. */
#define READERS_PER_ZONE 2

static void
send_ping(void *ctx, struct comet_member *member)
{
	struct comet_node *node = ctx;
	comet_Item item = {.which_body = comet_Item_ping_tag};
	comet_Ping *ping = &item.body.ping;

	ping->sent_us = node->now.mono_us;
	comet_node_fill_ping(node, ping);
	comet_node_post(node, member->id, &item);
}

static void
on_members_changed(void *ctx)
{
	struct comet_node *node = ctx;

	comet_node_assign_roles(node, comet_node_resend_requests);
	node->ops->entries_changed(node->ctx);
}

static void
on_member_unreachable(void *ctx, uint64_t id)
{
	struct comet_node *node = ctx;

	for (uint32_t i = 0; i < node->n_roles; i++)
	{
		if (node->roles[i].scheduler != NULL)
			comet_scheduler_holder_gone(
				node->roles[i].scheduler, id, node->now.mono_us);
	}
}

static const struct comet_membership_ops membership_ops = {
	send_ping, on_members_changed, on_member_unreachable};

static int
node_destructor(struct comet_node *node)
{
	g_hash_table_destroy(node->requests);
	g_hash_table_destroy(node->output_ratios);
	g_hash_table_destroy(node->reported);
	g_hash_table_destroy(node->own_load);
	g_hash_table_destroy(node->outboxes);
	g_array_free(node->local_items, TRUE);
	comet_bundle_unref(node->bundle);
	if (node->signed_bundle != NULL)
		g_bytes_unref(node->signed_bundle);
	return 0;
}

struct comet_node *
comet_node_create(void *parent, const struct comet_node_config *config,
	const struct comet_node_ops *ops, void *ctx, struct comet_time now)
{
	struct comet_node *node = talloc_zero(parent, struct comet_node);

	node->ops = ops;
	node->ctx = ctx;
	node->now = now;
	node->last_tick_us = now.mono_us;
	node->started_us = now.mono_us;
	node->name = talloc_strdup(node, config->name);
	node->zone = talloc_strdup(node, config->zone);
	node->self_id = comet_hash_vm(config->name);
	node->max_waiting = config->max_waiting;
	memcpy(node->bundle_key, config->bundle_key, sizeof node->bundle_key);
	node->policy = comet_policy_create(node, config->policy, config->seed);
	node->members = comet_membership_create(
		node, node->self_id, config->incarnation, &membership_ops, node);
	node->claims = comet_claims_create(node, node->self_id, now.wall_ms);
	node->quota = comet_quota_create(node);
	comet_load_shedding_init(&node->shedding, COMET_TIERS_MAX);
	node->requests = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
	node->output_ratios = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
	node->reported = g_hash_table_new(g_direct_hash, g_direct_equal);
	node->own_load = g_hash_table_new(g_direct_hash, g_direct_equal);
	node->outboxes = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
	node->local_items = g_array_new(FALSE, FALSE, sizeof(comet_Item));
	node->retry_budget = 10;
	talloc_set_destructor(node, node_destructor);
	return node;
}

void
comet_node_set_vms(
	struct comet_node *node, const struct comet_vm *vms, size_t count, struct comet_time now)
{
	node->now = now;
	node->listed = false;
	talloc_free(node->vm_ids);
	node->vm_ids = talloc_array(node, uint64_t, (unsigned int)count);
	node->n_vm_ids = count;
	for (size_t i = 0; i < count; i++)
	{
		node->vm_ids[i] = vms[i].id;
		if (vms[i].id == node->self_id)
			node->listed = true;
	}
	qsort(node->vm_ids, count, sizeof *node->vm_ids, comet_hash_compare_ids);
	comet_claims_set_list(node->claims, node->vm_ids, count, now.wall_ms);
	comet_membership_set_list(node->members, vms, count);
}

/* Discards state that may be outdated after a pause: roles and quota leases. From now on, the VM
 * answers "unsure" to claims on keys from before the end of the pause. */
static void
handle_pause(struct comet_node *node, uint64_t gap_us)
{
	comet_log(COMET_LOG_WARNING, "event=process_paused gap_ms=%" PRIu64 " action=drop_roles",
		gap_us / 1000);
	node->counts.pauses++;
	comet_node_drop_roles(node);
	comet_quota_reset(node->quota);
	comet_claims_paused(node->claims, node->now.wall_ms);
	comet_membership_renew(node->members);
	comet_node_assign_roles(node, comet_node_resend_requests);
}

static void
tick_schedulers(struct comet_node *node)
{
	for (uint32_t i = 0; i < node->n_roles; i++)
	{
		if (node->roles[i].scheduler != NULL)
			comet_scheduler_tick(node->roles[i].scheduler, node->now.mono_us);
	}
}

void
comet_node_tick(struct comet_node *node, struct comet_time now)
{
	uint64_t gap_us = now.mono_us - node->last_tick_us;
	size_t count = 0;
	struct comet_member *const *members = NULL;

	node->now = now;
	node->last_tick_us = now.mono_us;
	if (gap_us > PAUSE_THRESHOLD_US)
		handle_pause(node, gap_us);
	comet_membership_set_eager(node->members, node->bundle != NULL && !node->shedding.joined);
	comet_membership_tick(node->members, now.mono_us);
	members = comet_membership_all(node->members, &count);
	if (node->bundle != NULL && node->n_vm_ids > 0)
		comet_load_shedding_tick(&node->shedding, members, count, now.mono_us);
	comet_node_tick_requests(node);
	tick_schedulers(node);
	comet_node_fetch_bundle(node);
	if (now.mono_us >= node->next_claim_expiry_us)
	{
		node->next_claim_expiry_us = now.mono_us + CLAIM_EXPIRY_INTERVAL_US;
		comet_claims_expire(node->claims, now.wall_ms);
	}
	comet_node_flush(node, now);
}

void
comet_node_stop(struct comet_node *node, struct comet_time now)
{
	size_t count = 0;
	struct comet_member *const *members = comet_membership_all(node->members, &count);

	node->now = now;
	node->stopping = true;
	comet_membership_set_leaving(node->members);
	for (size_t i = 0; i < count; i++)
	{
		if (members[i]->state == COMET_MEMBER_ALIVE)
			send_ping(node, members[i]);
	}
	comet_node_flush(node, now);
}

/* True if every peer has been seen. A VM without peers does not have to wait. */
static bool
all_peers_seen(const struct comet_node *node)
{
	size_t count = 0;
	struct comet_member *const *members = comet_membership_all(node->members, &count);
	size_t seen_count = 0;

	for (size_t i = 0; i < count; i++)
	{
		if (members[i]->last_seen_us != 0)
			seen_count++;
	}
	return seen_count == count;
}

const char *
comet_node_not_ready(const struct comet_node *node)
{
	if (node->bundle == NULL)
		return "no bundle yet: neither the platform's service nor a peer gave one";
	if (node->n_vm_ids == 0)
		return "no list of VMs yet: the platform's service did not give one";
	if (!node->listed)
		return "this VM is not in the platform's list";
	if (!all_peers_seen(node) && node->last_tick_us - node->started_us < PEER_WAIT_MAX_US)
		return "asking peers whether a newer bundle is in force";
	if (!node->shedding.joined)
		return "asking peers which tiers are being shed";
	if (node->stopping)
		return "stopping";
	return NULL;
}

bool
comet_node_is_reader(struct comet_node *node)
{
	size_t count = 0;
	struct comet_member *const *members = comet_membership_all(node->members, &count);
	uint64_t own = comet_hash_score(0, node->self_id);
	size_t higher_ranked = 0;

	for (size_t i = 0; i < count; i++)
	{
		if (members[i]->state == COMET_MEMBER_ALIVE &&
			strcmp(members[i]->zone, node->zone) == 0 &&
			comet_hash_score(0, members[i]->id) > own)
			higher_ranked++;
	}
	return higher_ranked < READERS_PER_ZONE;
}

struct comet_membership *
comet_node_members(struct comet_node *node)
{
	return node->members;
}

void
comet_node_waiting(const struct comet_node *node, uint32_t waiting[COMET_TIERS_MAX])
{
	memcpy(waiting, node->waiting, sizeof node->waiting);
}

const struct comet_node_counts *
comet_node_counts(const struct comet_node *node)
{
	return &node->counts;
}
