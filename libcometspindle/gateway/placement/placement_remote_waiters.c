/*
 * placement_remote_waiters.c
 * Manages requests of other VMs that wait here for slots of shards that this
 * VM owns.
 *
 * Remote waiters and the requests of this VM are served in one order. A slot
 * that becomes free thus goes at once to the most urgent of all requests that
 * wait here, and within a rank to those that can still be answered in time.
 */
#include <libcometspindle/gateway/placement/placement_state.h>

#include <string.h>

/* Maximum wait of a remote waiter, whatever its VM requested: about three times the wait that a VM
 * requests. */
#define REMOTE_WAIT_MAX_US 1000000

/* Maximum number of remote waiters of a service: four for each VM that may be known. */
#define REMOTE_WAITERS_MAX 8192

/* Picks an instance for a remote waiter at one level of capacity, or returns NULL. full: no
 * endpoint of the shard has capacity, whatever the request accepts. */
static struct comet_instance *
pick_at_level(struct comet_placement *placement,
	const struct comet_placement_remote_waiter *remote_waiter, const struct comet_shard *shard,
	uint32_t queue_limit, uint64_t now_us, bool *full)
{
	struct comet_placement_decision decision;
	struct comet_endpoint_picker_scope scope = {
		.instances = shard->members,
		.queue_limit = queue_limit,
		.owned = true,
		.decides_on_cold = true,
		.limit_share = placement->limit_owner_share,
		.excluded = remote_waiter->excluded,
		.n_excluded = (uint32_t)remote_waiter->request.n_excluded,
	};
	struct comet_instance *best = comet_endpoint_picker_pick(
		&placement->picker, &remote_waiter->item, &scope, now_us, &decision);

	*full = best == NULL && !decision.deferred && !decision.others_have_room;
	return best;
}

/* Picks an instance for a remote waiter, with free slots first. A full level is skipped for the
 * rest of the pass: during failures most requests exclude endpoints, and with hundreds of waiters
 * the owner had no time left to answer slot requests. */
static struct comet_instance *
pick(struct comet_placement *placement, const struct comet_placement_remote_waiter *remote_waiter,
	uint64_t now_us)
{
	struct comet_shard *shard =
		comet_shards_find(placement->shards, remote_waiter->request.shard);
	uint32_t max_queue_limit = MIN(MIN(remote_waiter->request.queue_limit,
					       comet_placement_queue_limit(&remote_waiter->item)),
		COMET_SHARD_LEVELS - 1);

	for (uint32_t queue_limit = 0; shard != NULL && queue_limit <= max_queue_limit;
		queue_limit++)
	{
		bool full = false;
		if (shard->full_pass[queue_limit] == placement->pass)
			continue;
		struct comet_instance *best =
			pick_at_level(placement, remote_waiter, shard, queue_limit, now_us, &full);
		if (best != NULL)
		{
			comet_instance_selected(best, now_us);
			return best;
		}
		if (full)
			shard->full_pass[queue_limit] = placement->pass;
	}
	return NULL;
}

/* Creates a remote waiter from the slot request. */
static struct comet_placement_remote_waiter *
create_remote_waiter(struct comet_placement *placement, const struct comet_slot_request *request,
	uint64_t now_us)
{
	struct comet_placement_remote_waiter *remote_waiter =
		g_new0(struct comet_placement_remote_waiter, 1);
	size_t n_excluded = MIN(request->n_excluded, G_N_ELEMENTS(remote_waiter->excluded));

	remote_waiter->request = *request;
	remote_waiter->request.n_excluded = n_excluded;
	if (n_excluded > 0)
		memcpy(remote_waiter->excluded, request->excluded,
			n_excluded * sizeof remote_waiter->excluded[0]);
	remote_waiter->request.excluded = remote_waiter->excluded;
	remote_waiter->item.for_other_vm = true;
	remote_waiter->item.version_id = request->version_id;
	remote_waiter->item.size = request->size;
	remote_waiter->item.team_rank = request->team_rank;
	remote_waiter->item.route_rank = request->route_rank;
	remote_waiter->item.answer_deadline_us = request->answer_deadline_us;
	remote_waiter->item.soft_deadline_us = request->soft_deadline_us;
	remote_waiter->item.late = request->late;
	remote_waiter->item.returned = request->returned;
	remote_waiter->item.dispatch_deadline_us =
		now_us + MIN(request->wait_us, REMOTE_WAIT_MAX_US);
	remote_waiter->item.submitted_us = now_us;
	remote_waiter->item.sequence = placement->next_sequence++;
	return remote_waiter;
}

/* Returns the dequeue rate of remote waiters of this rank. */
static struct comet_dequeue_rate *
dequeue_rate_of(struct comet_placement_queue *queue,
	const struct comet_placement_remote_waiter *remote_waiter)
{
	uint32_t rank = comet_placement_rank(&remote_waiter->item);

	if (remote_waiter->item.returned)
		return &queue->remote_returned_dequeue_rates[rank];
	return &queue->remote_dequeue_rates[rank][remote_waiter->item.large ? 1 : 0];
}

/* Removes and frees a remote waiter. */
static void
remove_remote_waiter(
	struct comet_placement_queue *queue, struct comet_placement_remote_waiter *remote_waiter)
{
	comet_dequeue_rate_removed(dequeue_rate_of(queue, remote_waiter));
	g_sequence_remove(remote_waiter->item.queue_position);
}

struct comet_instance *
comet_placement_admit_remote_waiter(struct comet_placement *placement,
	const struct comet_slot_request *request, uint64_t now_us,
	struct comet_placement_wait_estimate *wait)
{
	const struct comet_shard *shard = comet_shards_find(placement->shards, request->shard);
	struct comet_instance *best = NULL;

	memset(wait, 0, sizeof *wait);
	if (shard == NULL)
		return NULL;
	struct comet_placement_queue *queue = comet_placement_queue_of(placement, shard->service);
	struct comet_placement_remote_waiter *remote_waiter =
		create_remote_waiter(placement, request, now_us);
	remote_waiter->item.service = queue->service;
	comet_placement_set_remote_place(placement, queue, &remote_waiter->item, request, now_us);
	comet_placement_set_queue_bound(placement, &remote_waiter->item);
	if (!comet_placement_has_waiting(queue) || request->wait_us == 0)
	{
		placement->pass++;
		best = pick(placement, remote_waiter, now_us);
	}
	wait->expected_us = (uint64_t)comet_dequeue_rate_expected_wait_us(
		dequeue_rate_of(queue, remote_waiter),
		comet_placement_n_ahead(queue->remote_waiters, &remote_waiter->item), now_us);
	uint64_t room_us = comet_return_schedule_room_us(&queue->returns,
		comet_placement_rank(&remote_waiter->item), now_us + wait->expected_us);
	wait->return_us = MIN(room_us - now_us, COMET_RETURN_MAX_US);
	bool full = g_sequence_get_length(queue->remote_waiters) >= REMOTE_WAITERS_MAX;
	if (best != NULL || request->wait_us == 0 || full)
	{
		g_free(remote_waiter);
		return best;
	}
	wait->waits = true;
	comet_dequeue_rate_enqueued(dequeue_rate_of(queue, remote_waiter), now_us);
	remote_waiter->item.queue_position = g_sequence_insert_sorted(
		queue->remote_waiters, remote_waiter, comet_placement_compare, NULL);
	return NULL;
}

bool
comet_placement_grant_remote_waiter(struct comet_placement *placement,
	struct comet_placement_remote_waiter *remote_waiter, uint64_t now_us)
{
	struct comet_instance *best = pick(placement, remote_waiter, now_us);

	if (best == NULL)
		return false;
	struct comet_placement_queue *queue =
		comet_placement_queue_of(placement, remote_waiter->item.service);
	placement->ops->grant(placement->ctx, &remote_waiter->request, best);
	comet_dequeue_rate_dispatched(dequeue_rate_of(queue, remote_waiter), now_us);
	remove_remote_waiter(queue, remote_waiter);
	return true;
}

/* Moves a late remote waiter behind those of its rank that are in time. */
static void
demote_late_waiter(
	struct comet_placement_queue *queue, struct comet_placement_remote_waiter *remote_waiter)
{
	struct comet_placement_remote_waiter *copy =
		g_memdup2(remote_waiter, sizeof *remote_waiter);

	copy->request.excluded = copy->excluded;
	copy->item.late = true;
	g_sequence_remove(remote_waiter->item.queue_position);
	copy->item.queue_position = g_sequence_insert_sorted(
		queue->remote_waiters, copy, comet_placement_compare, NULL);
}

void
comet_placement_expire_remote_waiters(
	struct comet_placement *placement, struct comet_placement_queue *queue, uint64_t now_us)
{
	GSequenceIter *iter = g_sequence_get_begin_iter(queue->remote_waiters);

	while (!g_sequence_iter_is_end(iter))
	{
		struct comet_placement_remote_waiter *remote_waiter = g_sequence_get(iter);
		iter = g_sequence_iter_next(iter);
		/* The VM of an expired waiter has sent its request to another owner by now. */
		if (remote_waiter->item.dispatch_deadline_us <= now_us)
			remove_remote_waiter(queue, remote_waiter);
		else if (!remote_waiter->item.late &&
			 comet_placement_is_late(placement, &remote_waiter->item, 0, now_us))
			demote_late_waiter(queue, remote_waiter);
	}
}
