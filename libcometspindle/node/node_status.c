/*
 * node_status.c
 * Status of one VM as JSON, for operators.
 */
#include <libcometspindle/node/node_status.h>

#include <libcometspindle/node/node_state.h>

#include <json-c/json.h>

static void
add_u64(struct json_object *object, const char *key, uint64_t value)
{
	json_object_object_add(object, key, json_object_new_int64((int64_t)value));
}

static struct json_object *
members_json(struct comet_node *node)
{
	struct json_object *array = json_object_new_array();
	size_t count = 0;
	struct comet_member *const *members = comet_membership_all(node->members, &count);

	for (size_t i = 0; i < count; i++)
	{
		struct json_object *member = json_object_new_object();
		json_object_object_add(member, "name", json_object_new_string(members[i]->name));
		json_object_object_add(member, "state",
			json_object_new_string(comet_member_state_name(members[i]->state)));
		json_object_object_add(
			member, "leaving", json_object_new_boolean(members[i]->leaving));
		add_u64(member, "version", members[i]->bundle_version);
		json_object_array_add(array, member);
	}
	return array;
}

static struct json_object *
endpoints_json(struct comet_scheduler *scheduler)
{
	struct json_object *array = json_object_new_array();
	uint32_t count = 0;
	struct comet_endpoint_state *endpoints = comet_scheduler_endpoints(scheduler, &count);

	for (uint32_t i = 0; i < count; i++)
	{
		struct json_object *endpoint = json_object_new_object();
		json_object_object_add(
			endpoint, "name", json_object_new_string(endpoints[i].config->name));
		json_object_object_add(endpoint, "health",
			json_object_new_string(comet_health_name(endpoints[i].health)));
		add_u64(endpoint, "running", endpoints[i].running);
		add_u64(endpoint, "foreign", endpoints[i].foreign);
		json_object_object_add(
			endpoint, "limit", json_object_new_double(endpoints[i].limit));
		add_u64(endpoint, "step_us", (uint64_t)endpoints[i].step_us);
		json_object_array_add(array, endpoint);
	}
	return array;
}

static struct json_object *
roles_json(struct comet_node *node)
{
	struct json_object *array = json_object_new_array();

	for (uint32_t i = 0; node->bundle != NULL && i < node->n_roles; i++)
	{
		const struct comet_role *role = &node->roles[i];
		const struct comet_pool *pool = comet_bundle_pool(node->bundle, role->pool_id);
		if (role->scheduler == NULL || pool == NULL)
			continue;
		struct comet_scheduler_counts counts;
		comet_scheduler_count(role->scheduler, &counts);
		struct json_object *object = json_object_new_object();
		json_object_object_add(object, "pool", json_object_new_string(pool->name));
		add_u64(object, "shard", role->shard);
		add_u64(object, "running", counts.running);
		struct json_object *waiting = json_object_new_array();
		for (uint32_t tier = 0; tier < node->bundle->n_tiers; tier++)
			json_object_array_add(waiting, json_object_new_int64(counts.waiting[tier]));
		json_object_object_add(object, "waiting", waiting);
		json_object_object_add(object, "endpoints", endpoints_json(role->scheduler));
		json_object_array_add(array, object);
	}
	return array;
}

char *
comet_node_status(struct comet_node *node)
{
	struct json_object *root = json_object_new_object();
	const char *not_ready = comet_node_not_ready(node);

	json_object_object_add(root, "vm", json_object_new_string(node->name));
	json_object_object_add(root, "zone", json_object_new_string(node->zone));
	add_u64(root, "version", node->bundle != NULL ? node->bundle->version : 0);
	json_object_object_add(root, "ready", json_object_new_boolean(not_ready == NULL));
	if (not_ready != NULL)
		json_object_object_add(root, "not_ready", json_object_new_string(not_ready));
	add_u64(root, "violations", comet_violation_count());
	add_u64(root, "keep_below", node->shedding.keep_below);
	add_u64(root, "shed_from", node->shedding.shed_from);
	add_u64(root, "held", g_hash_table_size(node->requests));
	struct json_object *waiting = json_object_new_array();
	for (uint32_t tier = 0; node->bundle != NULL && tier < node->bundle->n_tiers; tier++)
		json_object_array_add(waiting, json_object_new_int64(node->waiting[tier]));
	json_object_object_add(root, "waiting", waiting);
	json_object_object_add(root, "members", members_json(node));
	json_object_object_add(root, "roles", roles_json(node));
	char *text = g_strdup(json_object_to_json_string_ext(root, JSON_C_TO_STRING_PLAIN));
	json_object_put(root);
	return text;
}
