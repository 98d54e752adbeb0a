/*
 * placement_remote_waiters.c
 * requests of other VMs that wait here for slots this VM keeps count of
 *
 * They are served in one order with this VM's own, so that a slot goes to the
 * most urgent request in time of all VMs that wait here, as soon as it is free.
 */
#include <libcometspindle/gateway/placement/placement_state.h>

#include <string.h>

/* A guest waits no longer than this, whatever its VM tells: three times as long as any VM asks for.
 */
#define GUEST_WAIT_MAX_US 1000000

/* So many guests wait for a service at a time: four of each of the VMs that may be known. */
#define GUESTS_MAX 8192

/* The slot for a guest at one level of room, or NULL; held: there is room where it would be late.
 */
static struct comet_instance *
choose_at(struct comet_placement *placement,
	const struct comet_placement_remote_waiter *remote_waiter, const struct comet_shard *shard,
	uint32_t beyond, uint64_t now_us, bool *held)
{
	struct comet_placement_decision reason;
	struct comet_endpoint_picker_scope scope = {
		.among = shard->members,
		.beyond = beyond,
		.kept = true,
		.cold_share = placement->owner_share,
		.except = remote_waiter->except,
		.n_except = (uint32_t)remote_waiter->ask.n_except,
	};
	struct comet_instance *best = comet_endpoint_picker_pick(
		&placement->choice, &remote_waiter->item, &scope, now_us, &reason);

	*held = reason.held;
	return best;
}

/* The slot for a guest, free ones first. What is full for one that takes any endpoint is so for all
 * in this pass. */
static struct comet_instance *
choose(struct comet_placement *placement, const struct comet_placement_remote_waiter *remote_waiter,
	uint64_t now_us)
{
	struct comet_shard *shard = comet_shards_find(placement->shards, remote_waiter->ask.shard);
	uint32_t most = MIN(remote_waiter->ask.beyond, COMET_SHARD_LEVELS - 1);

	for (uint32_t beyond = 0; shard != NULL && beyond <= most; beyond++)
	{
		bool held = false;
		if (shard->full_pass[beyond] == placement->pass)
			continue;
		struct comet_instance *best =
			choose_at(placement, remote_waiter, shard, beyond, now_us, &held);
		if (best != NULL)
		{
			comet_instance_selected(best, now_us);
			return best;
		}
		if (!held && remote_waiter->ask.n_except == 0)
			shard->full_pass[beyond] = placement->pass;
	}
	return NULL;
}

/* The request behind an ask, as the asker told of it. */
static struct comet_placement_remote_waiter *
create_guest(
	struct comet_placement *placement, const struct comet_slot_request *ask, uint64_t now_us)
{
	struct comet_placement_remote_waiter *remote_waiter =
		g_new0(struct comet_placement_remote_waiter, 1);
	size_t n_except = MIN(ask->n_except, G_N_ELEMENTS(remote_waiter->except));

	remote_waiter->ask = *ask;
	remote_waiter->ask.n_except = n_except;
	if (n_except > 0)
		memcpy(remote_waiter->except, ask->except,
			n_except * sizeof remote_waiter->except[0]);
	remote_waiter->ask.except = remote_waiter->except;
	remote_waiter->item.job = ask->job;
	remote_waiter->item.team_rank = ask->team_rank;
	remote_waiter->item.route_rank = ask->route_rank;
	remote_waiter->item.end_us = ask->end_us;
	remote_waiter->item.soft_deadline_us = ask->soft_deadline_us;
	remote_waiter->item.late = ask->late;
	remote_waiter->item.dispatch_deadline_us = now_us + MIN(ask->wait_us, GUEST_WAIT_MAX_US);
	remote_waiter->item.since_us = now_us;
	remote_waiter->item.order = placement->next_order++;
	return remote_waiter;
}

/* How fast guests of a rank get slots here. */
static struct comet_dequeue_rate *
flow_of(struct comet_placement_queue *queue,
	const struct comet_placement_remote_waiter *remote_waiter)
{
	uint32_t rank = MIN(comet_placement_rank(&remote_waiter->item), COMET_PLACEMENT_RANKS - 1);

	return &queue->remote_dequeue_rates[rank];
}

/* It waits here no more. */
static void
let_go(struct comet_placement_queue *queue, struct comet_placement_remote_waiter *remote_waiter)
{
	comet_dequeue_rate_removed(flow_of(queue, remote_waiter));
	g_sequence_remove(remote_waiter->item.place);
}

struct comet_instance *
comet_placement_admit_remote_waiter(struct comet_placement *placement,
	const struct comet_slot_request *ask, uint64_t now_us,
	struct comet_placement_wait_estimate *wait)
{
	const struct comet_shard *shard = comet_shards_find(placement->shards, ask->shard);
	struct comet_instance *best = NULL;

	memset(wait, 0, sizeof *wait);
	if (shard == NULL)
		return NULL;
	struct comet_placement_queue *queue = comet_placement_queue_of(placement, shard->service);
	struct comet_placement_remote_waiter *remote_waiter = create_guest(placement, ask, now_us);
	remote_waiter->item.service = queue->service;
	if (!comet_placement_has_waiting(queue) || ask->wait_us == 0)
	{
		placement->pass++;
		best = choose(placement, remote_waiter, now_us);
	}
	bool full = g_sequence_get_length(queue->remote_waiters) >= GUESTS_MAX;
	if (best != NULL || ask->wait_us == 0 || full)
	{
		g_free(remote_waiter);
		return best;
	}
	wait->waits = true;
	wait->expected_us = (uint64_t)comet_dequeue_rate_expected_wait_us(
		flow_of(queue, remote_waiter), now_us);
	comet_dequeue_rate_enqueued(flow_of(queue, remote_waiter), now_us);
	remote_waiter->item.place = g_sequence_insert_sorted(
		queue->remote_waiters, remote_waiter, comet_placement_compare, NULL);
	return NULL;
}

void
comet_placement_grant_remote_waiter(struct comet_placement *placement,
	struct comet_placement_remote_waiter *remote_waiter, uint64_t now_us)
{
	struct comet_instance *best = choose(placement, remote_waiter, now_us);

	if (best == NULL)
		return;
	struct comet_placement_queue *queue =
		comet_placement_queue_of(placement, remote_waiter->item.service);
	placement->ops->grant(placement->ctx, &remote_waiter->ask, best);
	comet_dequeue_rate_dispatched(flow_of(queue, remote_waiter), now_us);
	let_go(queue, remote_waiter);
}

/* Its request cannot be in time any more: it goes behind those of its rank that can. */
static void
demote(struct comet_placement_queue *queue, struct comet_placement_remote_waiter *remote_waiter)
{
	struct comet_placement_remote_waiter *copy =
		g_memdup2(remote_waiter, sizeof *remote_waiter);

	copy->ask.except = copy->except;
	copy->item.late = true;
	g_sequence_remove(remote_waiter->item.place);
	copy->item.place = g_sequence_insert_sorted(
		queue->remote_waiters, copy, comet_placement_compare, NULL);
}

void
comet_placement_expire_remote_waiters(
	struct comet_placement *placement, struct comet_placement_queue *queue, uint64_t now_us)
{
	GSequenceIter *at = g_sequence_get_begin_iter(queue->remote_waiters);

	while (!g_sequence_iter_is_end(at))
	{
		struct comet_placement_remote_waiter *remote_waiter = g_sequence_get(at);
		at = g_sequence_iter_next(at);
		if (remote_waiter->item.dispatch_deadline_us <= now_us)
			let_go(queue, remote_waiter); /* its VM asks elsewhere by now */
		else if (!remote_waiter->item.late &&
			 comet_placement_is_late(placement, &remote_waiter->item, 0, now_us))
			demote(queue, remote_waiter);
	}
}
