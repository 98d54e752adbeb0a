/*
 * grants.c
 * requests slots at the VMs that own shards of endpoints, and answers such requests
 */
#include <libcometspindle/gateway/placement/grants.h>

#include <glib.h>
#include <libcometspindle/gateway/messages/pending_rpcs.h>
#include <libcometspindle/gateway/placement/placement_order.h>
#include <string.h>
#include <talloc.h>

/* A slot request that has no final answer yet. */
struct pending_slot_request
{
	/* Must be the first member. Its owner field is the placement item, its vm field the owner
	 * of the shard. */
	struct comet_pending_rpc rpc;
	uint32_t shard;
	uint32_t queue_limit;
	uint64_t max_wait_us; /* how long the request may wait in the owner's queue */
	bool queued;          /* the owner answered that the request waits in its queue */
};

struct comet_grants
{
	uint32_t address;
	const struct comet_grants_ops *ops;
	void *ctx;
	struct comet_pending_rpcs *rpcs; /* entries are struct pending_slot_request */
};

struct comet_grants *
comet_grants_create(void *parent, uint32_t address, const struct comet_grants_ops *ops, void *ctx)
{
	struct comet_grants *grants = talloc_zero(parent, struct comet_grants);

	grants->address = address;
	grants->ops = ops;
	grants->ctx = ctx;
	grants->rpcs = comet_pending_rpcs_create(grants, sizeof(struct pending_slot_request));
	return grants;
}

static void
send_datagram(struct comet_grants *grants, uint32_t address, const comet_Datagram *datagram)
{
	uint8_t data[COMET_DATAGRAM_BYTES_MAX];
	size_t length = comet_datagram_encode(datagram, data);

	grants->ops->send(grants->ctx, address, data, length);
}

/* Returns the milliseconds until time_us, at least 1. A time_us of 0 means no time limit and
 * returns 0. */
static uint32_t
remaining_ms(uint64_t time_us, uint64_t now_us)
{
	if (time_us == 0)
		return 0;
	return time_us > now_us + 1000 ? (uint32_t)((time_us - now_us) / 1000) : 1;
}

void
comet_grants_request(struct comet_grants *grants, struct comet_placement_item *item,
	uint32_t owner_vm, const struct comet_slot_request *request, uint64_t now_us)
{
	comet_Datagram datagram = {.which_body = comet_Datagram_ask_tag};
	comet_SlotAsk *message = &datagram.body.ask;
	struct pending_slot_request *pending =
		comet_pending_rpcs_add(grants->rpcs, item, owner_vm, now_us);

	pending->shard = request->shard;
	pending->queue_limit = request->queue_limit;
	pending->max_wait_us = request->wait_us;
	message->asker = grants->address;
	message->number = pending->rpc.number;
	message->shard = request->shard;
	message->prompt_tokens = request->size.prompt_tokens;
	message->output_tokens = request->size.output_tokens;
	message->plain = !request->size.stream;
	message->beyond = request->queue_limit;
	message->team_rank = request->team_rank;
	message->route_rank = request->route_rank;
	message->late = request->late;
	message->returned = request->returned;
	message->waited_ms = (uint32_t)MIN(request->waited_us / 1000, COMET_ORDER_MS_MAX);
	message->order_ms = (uint32_t)MIN(request->delay_us / 1000, COMET_ORDER_MS_MAX) + 1;
	message->version = request->version_id;
	message->wait_ms = (uint32_t)(request->wait_us / 1000);
	message->left_ms = remaining_ms(request->answer_deadline_us, now_us);
	message->aim_ms = remaining_ms(request->soft_deadline_us, now_us);
	message->except_count = (pb_size_t)MIN(request->n_excluded, G_N_ELEMENTS(message->except));
	if (message->except_count > 0)
		memcpy(message->except, request->excluded,
			message->except_count * sizeof message->except[0]);
	send_datagram(grants, owner_vm, &datagram);
}

void
comet_grants_cancel(struct comet_grants *grants, struct comet_placement_item *item)
{
	struct pending_slot_request *pending =
		comet_pending_rpcs_find_user_data(grants->rpcs, item);

	if (pending != NULL)
		comet_pending_rpcs_remove(grants->rpcs, pending);
}

/* The results as they are reported to the owner. WRONG_INSTANCE is not reported: an address that
 * now belongs to another process stays wrong, so each VM detects it on its own. */
static const comet_SlotResult reported_results[] = {
	[COMET_DISPATCH_SERVED] = comet_SlotResult_SERVED,
	[COMET_DISPATCH_ERROR] = comet_SlotResult_ERROR,
	[COMET_DISPATCH_REFUSED] = comet_SlotResult_REFUSED,
	[COMET_DISPATCH_BROKEN] = comet_SlotResult_BROKEN,
	[COMET_DISPATCH_SILENT] = comet_SlotResult_SILENT,
	[COMET_DISPATCH_UNREACHABLE] = comet_SlotResult_UNREACHED,
	[COMET_DISPATCH_CANCELLED] = comet_SlotResult_NOTHING,
	[COMET_DISPATCH_WRONG_INSTANCE] = comet_SlotResult_NOTHING,
};

enum comet_dispatch_result
comet_grants_result(comet_SlotResult reported)
{
	for (size_t i = 0; i < G_N_ELEMENTS(reported_results); i++)
	{
		if (reported != comet_SlotResult_NOTHING && reported_results[i] == reported)
			return (enum comet_dispatch_result)i;
	}
	return COMET_DISPATCH_CANCELLED;
}

static void
send_freed(struct comet_grants *grants, uint32_t owner_vm, uint32_t instance_key,
	const struct comet_grants_completion *completion, bool still_running)
{
	comet_Datagram datagram = {.which_body = comet_Datagram_freed_tag};
	comet_SlotFreed *freed = &datagram.body.freed;

	freed->asker = grants->address;
	freed->instance = instance_key;
	freed->still_running = still_running;
	if (completion != NULL)
	{
		freed->events = completion->events;
		freed->plain = !completion->stream;
		freed->taken_us = (uint32_t)MIN(completion->taken_us, UINT32_MAX);
		freed->result = reported_results[completion->result];
		freed->brittle = completion->brittle ? completion->rejections_per_s + 1 : 0;
		freed->brittle_age_ms =
			completion->brittle_age_us > 0
				? (uint32_t)MIN(completion->brittle_age_us / 1000, UINT32_MAX - 1) +
					  1
				: 0;
		freed->slowdown_percent = completion->slowdown_percent;
		freed->slowdown_age_ms =
			(uint32_t)MIN(completion->slowdown_age_us / 1000, UINT32_MAX);
	}
	send_datagram(grants, owner_vm, &datagram);
}

void
comet_grants_release(struct comet_grants *grants, uint32_t owner_vm, uint32_t instance_key,
	const struct comet_grants_completion *completion)
{
	send_freed(grants, owner_vm, instance_key, completion, false);
}

void
comet_grants_send_sample(struct comet_grants *grants, uint32_t owner_vm, uint32_t instance_key,
	const struct comet_grants_completion *sample)
{
	send_freed(grants, owner_vm, instance_key, sample, true);
}

void
comet_grants_add_slowdown(struct comet_grants_completion *completion,
	const struct comet_instance *instance, uint64_t now_us)
{
	if (!comet_current_speed_is_fresh(&instance->speed, now_us))
		return;
	completion->slowdown_percent = instance->speed.percent;
	completion->slowdown_age_us = now_us - MIN(instance->speed.stated_us, now_us);
}

bool
comet_grants_learn_speed(
	struct comet_instance *instance, const comet_SlotFreed *freed, uint64_t now_us)
{
	uint64_t age_us = (uint64_t)freed->slowdown_age_ms * 1000;

	comet_instance_add_sample(instance, !freed->plain, freed->taken_us, freed->events);
	return freed->slowdown_percent == 0 ||
	       comet_current_speed_observe(
		       &instance->speed, freed->slowdown_percent, now_us - MIN(age_us, now_us));
}

static void
handle_answer(struct comet_grants *grants, const comet_SlotAnswer *answer, uint64_t now_us)
{
	comet_pending_rpcs_answered(grants->rpcs, answer->number, answer->keeper, now_us);
	struct pending_slot_request *found =
		comet_pending_rpcs_find(grants->rpcs, answer->number, answer->keeper);

	if (found == NULL)
	{
		/* The RPC has timed out, or its request was cancelled. */
		if (answer->instance != 0)
			comet_grants_release(grants, answer->keeper, answer->instance, NULL);
		return;
	}
	if (answer->instance == 0 && answer->return_ms > 0)
		grants->ops->return_time(
			grants->ctx, found->rpc.user_data, (uint64_t)answer->return_ms * 1000);
	if (answer->instance == 0 && answer->waits)
	{
		found->queued = true;
		found->rpc.timeout_us += found->max_wait_us;
		grants->ops->expected_wait(
			grants->ctx, found->rpc.user_data, (uint64_t)answer->expected_ms * 1000);
		return;
	}
	struct pending_slot_request request = *found;
	const struct comet_slot_grant grant = {
		.owner_vm = request.rpc.vm,
		.instance_key = answer->instance,
		.limit_applied = answer->limit_applied,
		.sample_wanted = answer->sample_wanted,
	};
	comet_pending_rpcs_remove(grants->rpcs, found);
	if (answer->instance != 0)
		grants->ops->granted(grants->ctx, request.rpc.user_data, &grant);
	else
		grants->ops->denied(
			grants->ctx, request.rpc.user_data, request.shard, request.queue_limit);
}

/* Also asks for samples of endpoints that have stated another speed than the usual: the statement
 * of a stream's response would otherwise reach the owner at the end of the stream, when it is too
 * old.
 */
static void
send_answer(struct comet_grants *grants, uint32_t requester, uint64_t number,
	const struct comet_instance *instance, const struct comet_placement_wait_estimate *wait)
{
	comet_Datagram datagram = {
		.which_body = comet_Datagram_answer_tag,
		.body.answer =
			{
				.keeper = grants->address,
				.number = number,
				.instance = instance != NULL ? instance->key : 0,
				.waits = wait->waits,
				.expected_ms = (uint32_t)MIN(wait->expected_us / 1000, UINT32_MAX),
				.limit_applied = instance != NULL && instance->limit.active,
				.sample_wanted = instance != NULL &&
						 (comet_instance_wants_samples(instance) ||
							 instance->speed.changed_us != 0),
				.return_ms =
					instance == NULL
						? (uint32_t)MIN(wait->return_us / 1000, UINT32_MAX)
						: 0,
			},
	};

	send_datagram(grants, requester, &datagram);
}

void
comet_grants_grant(struct comet_grants *grants, uint32_t requester, uint64_t number,
	const struct comet_instance *instance)
{
	static const struct comet_placement_wait_estimate no_wait = {0};

	send_answer(grants, requester, number, instance, &no_wait);
}

static void
handle_slot_request(struct comet_grants *grants, const comet_SlotAsk *request)
{
	struct comet_placement_wait_estimate wait = {0};
	const struct comet_instance *instance = grants->ops->pick(grants->ctx, request, &wait);

	send_answer(grants, request->asker, request->number, instance, &wait);
}

void
comet_grants_receive(struct comet_grants *grants, const comet_Datagram *datagram, uint64_t now_us)
{
	switch (datagram->which_body)
	{
	case comet_Datagram_ask_tag:
		handle_slot_request(grants, &datagram->body.ask);
		break;
	case comet_Datagram_answer_tag:
		handle_answer(grants, &datagram->body.answer, now_us);
		break;
	case comet_Datagram_freed_tag:
		grants->ops->remote_release(grants->ctx, &datagram->body.freed);
		break;
	default:
		break; /* other modules handle the other kinds of datagram */
	}
}

/* Ends a slot request that the owner did not answer in time, or whose wait time at the owner has
 * expired. */
static void
handle_timeout(
	struct comet_grants *grants, const struct pending_slot_request *request, uint64_t now_us)
{
	if (request->queued)
	{
		grants->ops->wait_expired(grants->ctx, request->rpc.user_data);
		return;
	}
	comet_pending_rpcs_expired(grants->rpcs, &request->rpc, now_us);
	grants->ops->unanswered(grants->ctx, request->rpc.user_data, request->rpc.vm);
}

bool
comet_grants_tick(struct comet_grants *grants, uint64_t now_us)
{
	struct pending_slot_request *expired = NULL;

	while ((expired = comet_pending_rpcs_find_expired(grants->rpcs, now_us)) != NULL)
	{
		struct pending_slot_request request = *expired;
		comet_pending_rpcs_remove(grants->rpcs, expired);
		handle_timeout(grants, &request, now_us);
	}
	return comet_pending_rpcs_has_pending(grants->rpcs);
}

bool
comet_grants_is_unresponsive(const struct comet_grants *grants, uint32_t owner_vm, uint64_t now_us)
{
	return comet_pending_rpcs_is_unresponsive(grants->rpcs, owner_vm, now_us);
}
