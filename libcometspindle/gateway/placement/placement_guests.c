/*
 * placement_guests.c
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
choose_at(struct comet_placement *placement, const struct comet_placement_guest *guest,
	const struct comet_shard *shard, uint32_t beyond, uint64_t now_us, bool *held)
{
	struct comet_placement_reason reason;
	struct comet_choice_scope scope = {
		.among = shard->members,
		.beyond = beyond,
		.kept = true,
		.cold_share = placement->owner_share,
		.except = guest->except,
		.n_except = (uint32_t)guest->ask.n_except,
	};
	struct comet_instance *best =
		comet_choice_best(&placement->choice, &guest->item, &scope, now_us, &reason);

	*held = reason.held;
	return best;
}

/* The slot for a guest, free ones first. What is full for one that takes any endpoint is so for all
 * in this pass. */
static struct comet_instance *
choose(struct comet_placement *placement, const struct comet_placement_guest *guest,
	uint64_t now_us)
{
	struct comet_shard *shard = comet_shards_find(placement->shards, guest->ask.shard);
	uint32_t most = MIN(guest->ask.beyond, COMET_SHARD_LEVELS - 1);

	for (uint32_t beyond = 0; shard != NULL && beyond <= most; beyond++)
	{
		bool held = false;
		if (shard->full_pass[beyond] == placement->pass)
			continue;
		struct comet_instance *best =
			choose_at(placement, guest, shard, beyond, now_us, &held);
		if (best != NULL)
		{
			comet_instance_try(best, now_us);
			return best;
		}
		if (!held && guest->ask.n_except == 0)
			shard->full_pass[beyond] = placement->pass;
	}
	return NULL;
}

/* The request behind an ask, as the asker told of it. */
static struct comet_placement_guest *
create_guest(
	struct comet_placement *placement, const struct comet_placement_ask *ask, uint64_t now_us)
{
	struct comet_placement_guest *guest = g_new0(struct comet_placement_guest, 1);
	size_t n_except = MIN(ask->n_except, G_N_ELEMENTS(guest->except));

	guest->ask = *ask;
	guest->ask.n_except = n_except;
	if (n_except > 0)
		memcpy(guest->except, ask->except, n_except * sizeof guest->except[0]);
	guest->ask.except = guest->except;
	guest->item.job = ask->job;
	guest->item.team_rank = ask->team_rank;
	guest->item.route_rank = ask->route_rank;
	guest->item.end_us = ask->end_us;
	guest->item.aim_us = ask->aim_us;
	guest->item.late = ask->late;
	guest->item.latest_us = now_us + MIN(ask->wait_us, GUEST_WAIT_MAX_US);
	guest->item.since_us = now_us;
	guest->item.order = placement->next_order++;
	return guest;
}

/* How fast guests of a rank get slots here. */
static struct comet_flow *
flow_of(struct comet_placement_queue *queue, const struct comet_placement_guest *guest)
{
	uint32_t rank = MIN(comet_placement_rank(&guest->item), COMET_PLACEMENT_RANKS - 1);

	return &queue->guest_flows[rank];
}

/* It waits here no more. */
static void
let_go(struct comet_placement_queue *queue, struct comet_placement_guest *guest)
{
	comet_flow_leave(flow_of(queue, guest));
	g_sequence_remove(guest->item.place);
}

struct comet_instance *
comet_placement_admit_guest(struct comet_placement *placement,
	const struct comet_placement_ask *ask, uint64_t now_us, struct comet_placement_wait *wait)
{
	const struct comet_shard *shard = comet_shards_find(placement->shards, ask->shard);
	struct comet_instance *best = NULL;

	memset(wait, 0, sizeof *wait);
	if (shard == NULL)
		return NULL;
	struct comet_placement_queue *queue = comet_placement_queue_of(placement, shard->service);
	struct comet_placement_guest *guest = create_guest(placement, ask, now_us);
	guest->item.service = queue->service;
	if (!comet_placement_anything_waits(queue) || ask->wait_us == 0)
	{
		placement->pass++;
		best = choose(placement, guest, now_us);
	}
	bool full = g_sequence_get_length(queue->guests) >= GUESTS_MAX;
	if (best != NULL || ask->wait_us == 0 || full)
	{
		g_free(guest);
		return best;
	}
	wait->waits = true;
	wait->expected_us = (uint64_t)comet_flow_wait_us(flow_of(queue, guest), now_us);
	comet_flow_enter(flow_of(queue, guest), now_us);
	guest->item.place =
		g_sequence_insert_sorted(queue->guests, guest, comet_placement_compare, NULL);
	return NULL;
}

void
comet_placement_offer(
	struct comet_placement *placement, struct comet_placement_guest *guest, uint64_t now_us)
{
	struct comet_instance *best = choose(placement, guest, now_us);

	if (best == NULL)
		return;
	struct comet_placement_queue *queue =
		comet_placement_queue_of(placement, guest->item.service);
	placement->ops->grant(placement->ctx, &guest->ask, best);
	comet_flow_passed(flow_of(queue, guest), now_us);
	let_go(queue, guest);
}

/* Its request cannot be in time any more: it goes behind those of its rank that can. */
static void
demote(struct comet_placement_queue *queue, struct comet_placement_guest *guest)
{
	struct comet_placement_guest *copy = g_memdup2(guest, sizeof *guest);

	copy->ask.except = copy->except;
	copy->item.late = true;
	g_sequence_remove(guest->item.place);
	copy->item.place =
		g_sequence_insert_sorted(queue->guests, copy, comet_placement_compare, NULL);
}

void
comet_placement_age_guests(
	struct comet_placement *placement, struct comet_placement_queue *queue, uint64_t now_us)
{
	GSequenceIter *at = g_sequence_get_begin_iter(queue->guests);

	while (!g_sequence_iter_is_end(at))
	{
		struct comet_placement_guest *guest = g_sequence_get(at);
		at = g_sequence_iter_next(at);
		if (guest->item.latest_us <= now_us)
			let_go(queue, guest); /* its VM asks elsewhere by now */
		else if (!guest->item.late &&
			 comet_placement_is_late(placement, &guest->item, 0, now_us))
			demote(queue, guest);
	}
}
