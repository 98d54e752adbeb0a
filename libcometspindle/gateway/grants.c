/*
 * grants.c
 * slots asked for at the VMs that keep count of endpoints
 */
#include <libcometspindle/gateway/grants.h>

#include <glib.h>
#include <string.h>
#include <talloc.h>

/* An ask is given up after this time: a round trip takes one to three milliseconds, and a VM with
 * an eighth of a core may be busy for ten. It is a small part of any stream's aim. */
#define ANSWER_TIMEOUT_US 40000

/* A VM that did not answer is not asked for this time: as long as it takes at least until its
 * silence is noticed by its missing views. */
#define MUTE_US 1000000

/* An ask that is not answered yet. */
struct open_ask
{
	struct comet_placement_item *item;
	uint64_t number;
	uint64_t since_us;
	uint32_t keeper;
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
	uint64_t number;
	GQueue open;      /* of struct open_ask, oldest first */
	GHashTable *mute; /* address -> uint64_t, until when */
};

static int
grants_destroy(struct comet_grants *grants)
{
	g_queue_clear_full(&grants->open, g_free);
	g_hash_table_destroy(grants->mute);
	return 0;
}

struct comet_grants *
comet_grants_create(void *parent, uint32_t address, const struct comet_grants_ops *ops, void *ctx)
{
	struct comet_grants *grants = talloc_zero(parent, struct comet_grants);

	grants->address = address;
	grants->ops = ops;
	grants->ctx = ctx;
	g_queue_init(&grants->open);
	grants->mute = g_hash_table_new_full(NULL, NULL, NULL, g_free);
	talloc_set_destructor(grants, grants_destroy);
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
comet_grants_ask(struct comet_grants *grants, struct comet_placement_item *item, uint32_t keeper,
	const struct comet_placement_ask *ask, uint64_t now_us)
{
	comet_Datagram datagram = {.which_body = comet_Datagram_ask_tag};
	comet_SlotAsk *message = &datagram.body.ask;
	struct open_ask *open = g_new0(struct open_ask, 1);

	open->item = item;
	open->number = ++grants->number;
	open->since_us = now_us;
	open->keeper = keeper;
	open->shard = ask->shard;
	open->beyond = ask->beyond;
	open->wait_us = ask->wait_us;
	g_queue_push_tail(&grants->open, open);
	message->asker = grants->address;
	message->number = open->number;
	message->shard = ask->shard;
	message->prompt_tokens = ask->job.prompt_tokens;
	message->output_tokens = ask->job.output_tokens;
	message->beyond = ask->beyond;
	message->team_rank = ask->team_rank;
	message->route_rank = ask->route_rank;
	message->late = ask->late;
	message->wait_ms = (uint32_t)(ask->wait_us / 1000);
	message->left_ms = left_ms(ask->end_us, now_us);
	message->aim_ms = left_ms(ask->aim_us, now_us);
	message->except_count = (pb_size_t)MIN(ask->n_except, G_N_ELEMENTS(message->except));
	if (message->except_count > 0)
		memcpy(message->except, ask->except,
			message->except_count * sizeof message->except[0]);
	send(grants, keeper, &datagram);
}

void
comet_grants_forget(struct comet_grants *grants, struct comet_placement_item *item)
{
	for (GList *at = grants->open.head; at != NULL; at = at->next)
	{
		struct open_ask *open = at->data;
		if (open->item != item)
			continue;
		g_queue_delete_link(&grants->open, at);
		g_free(open);
		return;
	}
}

void
comet_grants_release(struct comet_grants *grants, uint32_t keeper, uint32_t instance_key,
	uint32_t events, uint64_t stream_us)
{
	comet_Datagram datagram = {
		.which_body = comet_Datagram_freed_tag,
		.body.freed =
			{
				.asker = grants->address,
				.instance = instance_key,
				.events = events,
				.stream_us = (uint32_t)MIN(stream_us, UINT32_MAX),
			},
	};

	send(grants, keeper, &datagram);
}

static GList *
find_open(struct comet_grants *grants, uint64_t number, uint32_t keeper)
{
	for (GList *at = grants->open.head; at != NULL; at = at->next)
	{
		const struct open_ask *open = at->data;
		if (open->number == number && open->keeper == keeper)
			return at;
	}
	return NULL;
}

static void
take_answer(struct comet_grants *grants, const comet_SlotAnswer *answer)
{
	GList *at = find_open(grants, answer->number, answer->keeper);

	if (at == NULL)
	{
		/* It came too late, or its request is gone. */
		if (answer->instance != 0)
			comet_grants_release(grants, answer->keeper, answer->instance, 0, 0);
		return;
	}
	struct open_ask *open = at->data;
	if (answer->instance == 0 && answer->waits)
	{
		open->waits = true;
		return;
	}
	g_queue_delete_link(&grants->open, at);
	if (answer->instance != 0)
		grants->ops->granted(grants->ctx, open->item, open->keeper, answer->instance);
	else
		grants->ops->denied(grants->ctx, open->item, open->shard, open->beyond);
	g_free(open);
}

static void
send_answer(struct comet_grants *grants, uint32_t asker, uint64_t number, uint32_t instance_key,
	bool waits)
{
	comet_Datagram datagram = {
		.which_body = comet_Datagram_answer_tag,
		.body.answer =
			{
				.keeper = grants->address,
				.number = number,
				.instance = instance_key,
				.waits = waits,
			},
	};

	send(grants, asker, &datagram);
}

void
comet_grants_grant(
	struct comet_grants *grants, uint32_t asker, uint64_t number, uint32_t instance_key)
{
	send_answer(grants, asker, number, instance_key, false);
}

static void
answer_ask(struct comet_grants *grants, const comet_SlotAsk *ask)
{
	bool waits = false;
	uint32_t instance_key = grants->ops->choose(grants->ctx, ask, &waits);

	send_answer(grants, ask->asker, ask->number, instance_key, waits);
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

static void
mute(struct comet_grants *grants, uint32_t keeper, uint64_t until_us)
{
	uint64_t *until = g_new(uint64_t, 1);

	*until = until_us;
	g_hash_table_insert(grants->mute, GUINT_TO_POINTER(keeper), until);
}

/* An ask was not granted in its time. */
static void
give_up(struct comet_grants *grants, struct open_ask *open, uint64_t now_us)
{
	if (open->waits)
	{
		grants->ops->waited(grants->ctx, open->item);
		return;
	}
	mute(grants, open->keeper, now_us + MUTE_US);
	grants->ops->unanswered(grants->ctx, open->item, open->keeper);
}

bool
comet_grants_tick(struct comet_grants *grants, uint64_t now_us)
{
	GList *at = grants->open.head;

	while (at != NULL)
	{
		struct open_ask *open = at->data;
		uint64_t most_us = ANSWER_TIMEOUT_US + (open->waits ? open->wait_us : 0);
		GList *next = at->next;
		/* An ask that was begun from within this may be younger than now_us. */
		if (open->since_us + most_us <= now_us)
		{
			g_queue_delete_link(&grants->open, at);
			give_up(grants, open, now_us);
			g_free(open);
			next = grants->open.head; /* others may have gone or come meanwhile */
		}
		at = next;
	}
	return !g_queue_is_empty(&grants->open);
}

bool
comet_grants_is_mute(const struct comet_grants *grants, uint32_t keeper, uint64_t now_us)
{
	const uint64_t *until = g_hash_table_lookup(grants->mute, GUINT_TO_POINTER(keeper));

	return until != NULL && now_us < *until;
}
