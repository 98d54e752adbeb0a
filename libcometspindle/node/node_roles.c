/*
 * node_roles.c
 * Assigns shards to scheduler VMs by rendezvous hashing over the live VMs, with bounded load.
 */
#include <libcometspindle/node/node_roles.h>

#include <libcometspindle/node/node_state.h>

#include <libcometspindle/hash.h>
#include <string.h>

/* A new scheduler sends no grant for this long, so that the other VMs can report their running
 * requests first. */
#define SCHEDULER_LISTEN_US 250000ULL

static void
send_grant(void *ctx, uint64_t holder, const comet_Grant *grant)
{
	struct comet_role *role = ctx;
	comet_Item item = {.which_body = comet_Item_grant_tag};

	item.body.grant = *grant;
	comet_node_post(role->node, holder, &item);
}

static void
send_decline(void *ctx, uint64_t holder, uint64_t request)
{
	struct comet_role *role = ctx;
	comet_Item item = {.which_body = comet_Item_decline_tag};

	item.body.decline.request = request;
	comet_node_post(role->node, holder, &item);
}

static const struct comet_scheduler_ops scheduler_ops = {send_grant, send_decline};

struct comet_role *
comet_node_role(struct comet_node *node, uint32_t pool_id, uint32_t shard)
{
	for (uint32_t i = 0; i < node->n_roles; i++)
	{
		if (node->roles[i].pool_id == pool_id && node->roles[i].shard == shard)
			return &node->roles[i];
	}
	return NULL;
}

/* The VM with the highest score among those with fewer roles than the bound. */
static size_t
pick_vm(uint64_t key, const uint64_t *live, const uint32_t *assigned, size_t count, uint32_t bound)
{
	size_t best = 0;
	uint64_t best_score = 0;

	for (size_t i = 0; i < count; i++)
	{
		uint64_t score = comet_hash_score(key, live[i]);
		if (assigned[i] < bound && score >= best_score)
		{
			best = i;
			best_score = score;
		}
	}
	return best;
}

static uint32_t
count_shards(const struct comet_bundle *bundle)
{
	uint32_t total = 0;

	for (uint32_t i = 0; i < bundle->n_pools; i++)
		total += comet_bundle_shards(bundle, bundle->pools[i].id);
	return total;
}

/* Assigns each shard of each pool to a VM. The bound is the mean number of roles, rounded up. */
static void
plan_roles(struct comet_node *node, struct comet_role *roles, uint32_t total)
{
	size_t n_live = 0;
	const uint64_t *live = comet_membership_live(node->members, &n_live);
	uint32_t *assigned = talloc_zero_array(node, uint32_t, (unsigned int)n_live);
	uint32_t bound = (uint32_t)((total + n_live - 1) / n_live);
	uint32_t at = 0;

	for (uint32_t i = 0; i < node->bundle->n_pools; i++)
	{
		uint32_t pool_id = node->bundle->pools[i].id;
		uint32_t shards = comet_bundle_shards(node->bundle, pool_id);
		for (uint32_t shard = 0; shard < shards; shard++)
		{
			uint64_t key = ((uint64_t)pool_id << 32) | shard;
			size_t vm = pick_vm(key, live, assigned, n_live, bound);
			assigned[vm]++;
			roles[at++] = (struct comet_role){
				.pool_id = pool_id, .shard = shard, .vm = live[vm], .node = node};
		}
	}
	talloc_free(assigned);
}

static void
attach_scheduler(struct comet_node *node, struct comet_role *role, const struct comet_role *old)
{
	if (role->vm != node->self_id)
		return;
	if (old != NULL && old->scheduler != NULL)
	{
		role->scheduler = old->scheduler;
		comet_scheduler_set_bundle(role->scheduler, node->bundle);
		return;
	}
	/* without a previous role, there are no running requests to be reported */
	uint64_t grant_after_us = node->now.mono_us + (old != NULL ? SCHEDULER_LISTEN_US : 0);
	role->scheduler = comet_scheduler_create(node, node->bundle, role->pool_id, role->shard,
		&scheduler_ops, role, grant_after_us);
}

static void
log_role(struct comet_node *node, const struct comet_role *role, const struct comet_role *old)
{
	const struct comet_pool *pool = comet_bundle_pool(node->bundle, role->pool_id);

	if (role->vm != node->self_id && (old == NULL || old->vm != node->self_id))
		return;
	comet_log(COMET_LOG_NOTICE, "event=role pool=%s shard=%u action=%s",
		pool != NULL ? pool->name : "?", role->shard,
		role->vm == node->self_id ? "taken" : "given_up");
}

void
comet_node_assign_roles(struct comet_node *node,
	void (*moved)(struct comet_node *node, const struct comet_role *role))
{
	struct comet_role *old_roles = node->roles;
	uint32_t n_old = node->n_roles;

	if (node->bundle == NULL)
		return;
	uint32_t total = count_shards(node->bundle);
	struct comet_role *roles = talloc_zero_array(node, struct comet_role, total);
	plan_roles(node, roles, total);
	for (uint32_t i = 0; i < total; i++)
	{
		struct comet_role *old = comet_node_role(node, roles[i].pool_id, roles[i].shard);
		attach_scheduler(node, &roles[i], old);
		if (old != NULL && old->vm == roles[i].vm)
			continue;
		node->counts.role_changes++;
		log_role(node, &roles[i], old);
	}
	node->roles = roles;
	node->n_roles = total;
	/* the callback context of each scheduler is its role, which is in a new array now */
	for (uint32_t i = 0; i < total; i++)
	{
		if (roles[i].scheduler != NULL)
			comet_scheduler_set_ctx(roles[i].scheduler, &roles[i]);
	}
	for (uint32_t i = 0; i < n_old; i++)
	{
		struct comet_role *now =
			comet_node_role(node, old_roles[i].pool_id, old_roles[i].shard);
		if (old_roles[i].scheduler != NULL &&
			(now == NULL || now->scheduler != old_roles[i].scheduler))
			talloc_free(old_roles[i].scheduler);
		if (now != NULL && now->vm != old_roles[i].vm)
			moved(node, now);
	}
	talloc_free(old_roles);
}

void
comet_node_drop_roles(struct comet_node *node)
{
	for (uint32_t i = 0; i < node->n_roles; i++)
	{
		TALLOC_FREE(node->roles[i].scheduler);
		node->roles[i].vm = 0;
	}
}

void
comet_node_each_reported(struct comet_node *node,
	void (*visit)(void *ctx, const struct comet_endpoint *endpoint), void *ctx)
{
	if (node->bundle == NULL)
		return;
	if (node->policy->ops->wants_reports)
	{
		for (uint32_t i = 0; i < node->bundle->n_endpoints; i++)
			visit(ctx, &node->bundle->endpoints[i]);
		return;
	}
	for (uint32_t i = 0; i < node->n_roles; i++)
	{
		uint32_t count = 0;
		struct comet_endpoint_state *endpoints = NULL;
		if (node->roles[i].scheduler == NULL)
			continue;
		endpoints = comet_scheduler_endpoints(node->roles[i].scheduler, &count);
		for (uint32_t k = 0; k < count; k++)
			visit(ctx, endpoints[k].config);
	}
}

void
comet_node_report(
	struct comet_node *node, uint32_t endpoint_id, uint32_t total, struct comet_time now)
{
	node->now = now;
	if (node->policy->ops->wants_reports)
		g_hash_table_insert(
			node->reported, GUINT_TO_POINTER(endpoint_id), GUINT_TO_POINTER(total));
	for (uint32_t i = 0; i < node->n_roles; i++)
	{
		if (node->roles[i].scheduler != NULL)
			comet_scheduler_report(
				node->roles[i].scheduler, endpoint_id, total, now.mono_us);
	}
}
