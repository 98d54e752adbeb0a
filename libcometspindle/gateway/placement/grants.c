/*
 * grants.c
 * slots asked for at the VMs that keep count of endpoints
 */
#include <libcometspindle/gateway/placement/grants.h>

#include <glib.h>
#include <libcometspindle/gateway/messages/pending_rpcs.h>
#include <string.h>
#include <talloc.h>

/* An ask for a slot that is not answered yet. */
struct open_ask
{
	struct comet_pending_rpc ask; /* first member; its owner is the item, its VM the keeper */
	uint32_t shard;
	uint32_t beyond;
	uint64_t wait_us; /* it may wait at the keeper so long */
	bool waits;       /* the keeper said that it does */
};

struct comet_grants
{
	uint32_t address;
	const struct comet_grants_ops *ops;
	void *ctx;
	struct comet_pending_rpcs *asks; /* of struct open_ask */
};

struct comet_grants *
comet_grants_create(void *parent, uint32_t address, const struct comet_grants_ops *ops, void *ctx)
{
	struct comet_grants *grants = talloc_zero(parent, struct comet_grants);

	grants->address = address;
	grants->ops = ops;
	grants->ctx = ctx;
	grants->asks = comet_pending_rpcs_create(grants, sizeof(struct open_ask));
	return grants;
}

static void
send(struct comet_grants *grants, uint32_t address, const comet_Datagram *datagram)
{
	uint8_t data[COMET_DATAGRAM_BYTES_MAX];
	size_t length = comet_datagram_encode(datagram, data);

	grants->ops->send(grants->ctx, address, data, length);
}

/* Milliseconds until a time, at least one; 0: there is no such time. */
static uint32_t
left_ms(uint64_t time_us, uint64_t now_us)
{
	if (time_us == 0)
		return 0;
	return time_us > now_us + 1000 ? (uint32_t)((time_us - now_us) / 1000) : 1;
}

void
comet_grants_request(struct comet_grants *grants, struct comet_placement_item *item,
	uint32_t keeper, const struct comet_slot_request *ask, uint64_t now_us)
{
	comet_Datagram datagram = {.which_body = comet_Datagram_ask_tag};
	comet_SlotAsk *message = &datagram.body.ask;
	struct open_ask *open = comet_pending_rpcs_add(grants->asks, item, keeper, now_us);

	open->shard = ask->shard;
	open->beyond = ask->beyond;
	open->wait_us = ask->wait_us;
	message->asker = grants->address;
	message->number = open->ask.number;
	message->shard = ask->shard;
	message->prompt_tokens = ask->job.prompt_tokens;
	message->output_tokens = ask->job.output_tokens;
	message->plain = !ask->job.stream;
	message->beyond = ask->beyond;
	message->team_rank = ask->team_rank;
	message->route_rank = ask->route_rank;
	message->late = ask->late;
	message->wait_ms = (uint32_t)(ask->wait_us / 1000);
	message->left_ms = left_ms(ask->end_us, now_us);
	message->aim_ms = left_ms(ask->soft_deadline_us, now_us);
	message->except_count = (pb_size_t)MIN(ask->n_except, G_N_ELEMENTS(message->except));
	if (message->except_count > 0)
		memcpy(message->except, ask->except,
			message->except_count * sizeof message->except[0]);
	send(grants, keeper, &datagram);
}

void
comet_grants_cancel(struct comet_grants *grants, struct comet_placement_item *item)
{
	struct open_ask *open = comet_pending_rpcs_find_owner(grants->asks, item);

	if (open != NULL)
		comet_pending_rpcs_remove(grants->asks, open);
}

/* What is told of a result: that an address is another process's now is seen by each VM for itself,
 * since nothing mends it. */
static const comet_SlotResult told_results[] = {
	[COMET_DISPATCH_SERVED] = comet_SlotResult_SERVED,
	[COMET_DISPATCH_ERROR] = comet_SlotResult_ERROR,
	[COMET_DISPATCH_REFUSED] = comet_SlotResult_REFUSED,
	[COMET_DISPATCH_BROKEN] = comet_SlotResult_BROKEN,
	[COMET_DISPATCH_SILENT] = comet_SlotResult_SILENT,
	[COMET_DISPATCH_UNREACHED] = comet_SlotResult_UNREACHED,
	[COMET_DISPATCH_CANCELLED] = comet_SlotResult_NOTHING,
	[COMET_DISPATCH_WRONG_INSTANCE] = comet_SlotResult_NOTHING,
};

enum comet_dispatch_result
comet_grants_result(comet_SlotResult told)
{
	for (size_t i = 0; i < G_N_ELEMENTS(told_results); i++)
	{
		if (told != comet_SlotResult_NOTHING && told_results[i] == told)
			return (enum comet_dispatch_result)i;
	}
	return COMET_DISPATCH_CANCELLED;
}

void
comet_grants_release(struct comet_grants *grants, uint32_t keeper, uint32_t instance_key,
	const struct comet_grants_completion *end)
{
	comet_Datagram datagram = {.which_body = comet_Datagram_freed_tag};
	comet_SlotFreed *freed = &datagram.body.freed;

	freed->asker = grants->address;
	freed->instance = instance_key;
	if (end != NULL)
	{
		freed->events = end->events;
		freed->plain = !end->stream;
		freed->taken_us = (uint32_t)MIN(end->taken_us, UINT32_MAX);
		freed->result = told_results[end->result];
	}
	send(grants, keeper, &datagram);
}

static void
take_answer(struct comet_grants *grants, const comet_SlotAnswer *answer)
{
	struct open_ask *found =
		comet_pending_rpcs_find(grants->asks, answer->number, answer->keeper);

	comet_pending_rpcs_mark_responsive(grants->asks, answer->keeper);
	if (found == NULL)
	{
		/* It came too late, or its request is gone. */
		if (answer->instance != 0)
			comet_grants_release(grants, answer->keeper, answer->instance, NULL);
		return;
	}
	if (answer->instance == 0 && answer->waits)
	{
		found->waits = true;
		found->ask.most_us += found->wait_us;
		grants->ops->waits(
			grants->ctx, found->ask.owner, (uint64_t)answer->expected_ms * 1000);
		return;
	}
	struct open_ask open = *found;
	comet_pending_rpcs_remove(grants->asks, found);
	if (answer->instance != 0)
		grants->ops->granted(grants->ctx, open.ask.owner, open.ask.vm, answer->instance);
	else
		grants->ops->denied(grants->ctx, open.ask.owner, open.shard, open.beyond);
}

static void
send_answer(struct comet_grants *grants, uint32_t asker, uint64_t number, uint32_t instance_key,
	const struct comet_placement_wait_estimate *wait)
{
	comet_Datagram datagram = {
		.which_body = comet_Datagram_answer_tag,
		.body.answer =
			{
				.keeper = grants->address,
				.number = number,
				.instance = instance_key,
				.waits = wait->waits,
				.expected_ms = (uint32_t)MIN(wait->expected_us / 1000, UINT32_MAX),
			},
	};

	send(grants, asker, &datagram);
}

void
comet_grants_grant(
	struct comet_grants *grants, uint32_t asker, uint64_t number, uint32_t instance_key)
{
	static const struct comet_placement_wait_estimate no_wait = {0};

	send_answer(grants, asker, number, instance_key, &no_wait);
}

static void
answer_ask(struct comet_grants *grants, const comet_SlotAsk *ask)
{
	struct comet_placement_wait_estimate wait = {0};
	uint32_t instance_key = grants->ops->choose(grants->ctx, ask, &wait);

	send_answer(grants, ask->asker, ask->number, instance_key, &wait);
}

void
comet_grants_receive(struct comet_grants *grants, const comet_Datagram *datagram)
{
	switch (datagram->which_body)
	{
	case comet_Datagram_ask_tag:
		answer_ask(grants, &datagram->body.ask);
		break;
	case comet_Datagram_answer_tag:
		take_answer(grants, &datagram->body.answer);
		break;
	case comet_Datagram_freed_tag:
		grants->ops->freed(grants->ctx, &datagram->body.freed);
		break;
	default:
		break; /* a view is handed to the views */
	}
}

/* No answer, or no slot in the time for which it was to wait. */
static void
give_up(struct comet_grants *grants, const struct open_ask *open, uint64_t now_us)
{
	if (open->waits)
	{
		grants->ops->waited(grants->ctx, open->ask.owner);
		return;
	}
	comet_pending_rpcs_mark_unresponsive(grants->asks, open->ask.vm, now_us);
	grants->ops->unanswered(grants->ctx, open->ask.owner, open->ask.vm);
}

bool
comet_grants_tick(struct comet_grants *grants, uint64_t now_us)
{
	struct open_ask *overdue = NULL;

	while ((overdue = comet_pending_rpcs_find_expired(grants->asks, now_us)) != NULL)
	{
		struct open_ask open = *overdue;
		comet_pending_rpcs_remove(grants->asks, overdue);
		give_up(grants, &open, now_us);
	}
	return comet_pending_rpcs_has_pending(grants->asks);
}

bool
comet_grants_is_unresponsive(const struct comet_grants *grants, uint32_t keeper, uint64_t now_us)
{
	return comet_pending_rpcs_is_unresponsive(grants->asks, keeper, now_us);
}
