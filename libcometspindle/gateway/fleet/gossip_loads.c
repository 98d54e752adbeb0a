/*
 * gossip_loads.c
 * counts the requests of other VMs at each endpoint, from their gossip messages and from the slots
 * that this VM grants to them
 */
#include <libcometspindle/gateway/fleet/gossip_state.h>

/* Bounds on what one VM may report at an endpoint, so that the 32-bit sums over all VMs do not
 * overflow. */
#define REPORTED_REQUESTS_MAX 1000000
#define REPORTED_PROMPT_TOKENS_MAX 1000000

/* A gossip message that arrives up to this time after a grant may have been sent before the grant
 * reached its VM: the VM waits up to 40 ms and a round trip for the grant, and the message takes a
 * round trip more if it is forwarded. */
#define GRANT_IN_FLIGHT_US 150000

static void
clear_remote_load(void *ctx, struct comet_instance *instance)
{
	(void)ctx;
	instance->remote_requests = 0;
	instance->remote_prompt_tokens = 0;
}

/* Adds the load that a VM reports at each endpoint. */
static void
add_loads(struct comet_gossip *gossip, const struct comet_gossip_peer *peer)
{
	for (guint i = 0; i < peer->loads->len; i++)
	{
		const comet_Busy *busy = &g_array_index(peer->loads, comet_Busy, i);
		struct comet_instance *instance =
			comet_instances_find_key(gossip->instances, busy->instance);
		if (instance == NULL)
			continue;
		instance->remote_requests += busy->running;
		instance->remote_prompt_tokens += busy->prompt_tokens;
	}
}

/* Takes back what add_loads() has added. */
static void
subtract_loads(struct comet_gossip *gossip, const struct comet_gossip_peer *peer)
{
	for (guint i = 0; i < peer->loads->len; i++)
	{
		const comet_Busy *busy = &g_array_index(peer->loads, comet_Busy, i);
		struct comet_instance *instance =
			comet_instances_find_key(gossip->instances, busy->instance);
		if (instance == NULL)
			continue;
		instance->remote_requests -= busy->running;
		instance->remote_prompt_tokens -= busy->prompt_tokens;
	}
}

/* Sums all loads only after endpoints were added or removed. Otherwise each gossip message changes
 * the sums of the endpoints that it reports, and no others. */
void
comet_gossip_refresh_loads(struct comet_gossip *gossip)
{
	uint64_t changes = comet_instances_change_count(gossip->instances);
	GHashTableIter at;
	gpointer value = NULL;

	if (changes == gossip->summed_changes)
		return;
	gossip->summed_changes = changes;
	comet_instances_each(gossip->instances, clear_remote_load, NULL);
	g_hash_table_iter_init(&at, gossip->peers);
	while (g_hash_table_iter_next(&at, NULL, &value))
		add_loads(gossip, value);
}

/* @return the load of a VM at an endpoint in an array of comet_Busy, or NULL. */
static comet_Busy *
find_load(const GArray *loads, uint32_t instance_key)
{
	for (guint i = 0; i < loads->len; i++)
	{
		comet_Busy *busy = &g_array_index(loads, comet_Busy, i);
		if (busy->instance == instance_key)
			return busy;
	}
	return NULL;
}

static void
remove_delivered_grants(struct comet_gossip_peer *peer, uint64_t now_us)
{
	guint delivered = 0;

	while (delivered < peer->grants->len &&
		now_us - g_array_index(peer->grants, struct comet_gossip_grant, delivered)
					.granted_us >=
			GRANT_IN_FLIGHT_US)
		delivered++;
	if (delivered > 0)
		g_array_remove_range(peer->grants, 0, delivered);
}

/* Adds back a recent grant that the new report of a VM lacks, but no more than were counted
 * before. Without it, the owner grants the same slot twice. */
static void
restore_grant(GArray *loads, const GArray *counted, uint32_t instance_key)
{
	const comet_Busy *before = find_load(counted, instance_key);
	comet_Busy *reported = find_load(loads, instance_key);

	if (before == NULL || before->running <= (reported != NULL ? reported->running : 0))
		return;
	if (reported != NULL)
		reported->running++;
	else
	{
		comet_Busy added = {.instance = instance_key, .running = 1};
		g_array_append_val(loads, added);
	}
}

void
comet_gossip_set_loads(struct comet_gossip *gossip, struct comet_gossip_peer *peer,
	const comet_Busy *busy, pb_size_t count, uint64_t now_us)
{
	comet_gossip_refresh_loads(gossip);
	subtract_loads(gossip, peer);
	GArray *counted = peer->loads;
	peer->loads = g_array_sized_new(FALSE, FALSE, sizeof(comet_Busy), count);
	for (pb_size_t i = 0; i < count; i++)
	{
		comet_Busy reported = busy[i];
		reported.running = MIN(reported.running, REPORTED_REQUESTS_MAX);
		reported.prompt_tokens = MIN(reported.prompt_tokens, REPORTED_PROMPT_TOKENS_MAX);
		g_array_append_val(peer->loads, reported);
	}
	remove_delivered_grants(peer, now_us);
	for (guint i = 0; i < peer->grants->len; i++)
		restore_grant(peer->loads, counted,
			g_array_index(peer->grants, struct comet_gossip_grant, i).instance_key);
	g_array_free(counted, TRUE);
	add_loads(gossip, peer);
}

void
comet_gossip_slot_granted(struct comet_gossip *gossip, uint32_t address, uint32_t instance_key,
	uint32_t prompt_tokens, uint64_t now_us)
{
	struct comet_gossip_peer *peer =
		g_hash_table_lookup(gossip->peers, GUINT_TO_POINTER(address));
	struct comet_instance *instance = comet_instances_find_key(gossip->instances, instance_key);

	if (peer == NULL || instance == NULL)
		return; /* an unknown VM: its first gossip message will include the slot */
	const struct comet_gossip_grant grant = {instance_key, now_us};
	comet_Busy *busy = find_load(peer->loads, instance_key);
	if (busy != NULL)
		busy->running++;
	else
	{
		comet_Busy added = {.instance = instance_key, .running = 1};
		g_array_append_val(peer->loads, added);
	}
	remove_delivered_grants(peer, now_us);
	g_array_append_val(peer->grants, grant);
	comet_instance_slot_granted(instance, prompt_tokens, now_us);
}

void
comet_gossip_slot_released(struct comet_gossip *gossip, uint32_t address, uint32_t instance_key)
{
	const struct comet_gossip_peer *peer =
		g_hash_table_lookup(gossip->peers, GUINT_TO_POINTER(address));
	struct comet_instance *instance = comet_instances_find_key(gossip->instances, instance_key);
	comet_Busy *busy = peer != NULL ? find_load(peer->loads, instance_key) : NULL;

	if (instance == NULL || busy == NULL || busy->running == 0)
		return; /* the next gossip message of the VM has already removed it */
	busy->running--;
	comet_instance_slot_released(instance);
}
