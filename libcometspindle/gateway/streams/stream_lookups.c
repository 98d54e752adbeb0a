/*
 * stream_lookups.c
 * asks other VMs for the version of a stream that a caller resumes
 */
#include <libcometspindle/gateway/streams/stream_lookups.h>

#include <glib.h>
#include <talloc.h>

/* Requests to VMs that have not answered are repeated at this interval: a round trip between
 * regions, with a margin. */
#define REPEAT_INTERVAL_US 100000

/* A lookup ends after this time, with what the VMs that did answer know. */
#define LOOKUP_TIMEOUT_US 400000

struct lookup
{
	void *user_data;
	uint64_t number;
	uint64_t stream;
	uint32_t service_id;
	uint64_t started_us;
	uint64_t sent_us;
	uint32_t waiting[COMET_STREAM_LOOKUP_VMS_MAX]; /* VMs without an answer; 0: answered */
	struct comet_stream_lookup_result result;
};

struct comet_stream_lookups
{
	uint32_t address;
	const struct comet_stream_lookups_ops *ops;
	void *ctx;
	uint64_t number;
	GQueue pending; /* of struct lookup, the oldest first */
};

static int
lookups_destroy(struct comet_stream_lookups *lookups)
{
	g_queue_clear_full(&lookups->pending, g_free);
	return 0;
}

struct comet_stream_lookups *
comet_stream_lookups_create(
	void *parent, uint32_t address, const struct comet_stream_lookups_ops *ops, void *ctx)
{
	struct comet_stream_lookups *lookups = talloc_zero(parent, struct comet_stream_lookups);

	lookups->address = address;
	lookups->ops = ops;
	lookups->ctx = ctx;
	g_queue_init(&lookups->pending);
	talloc_set_destructor(lookups, lookups_destroy);
	return lookups;
}

static void
send(struct comet_stream_lookups *lookups, uint32_t address, const comet_Datagram *datagram)
{
	uint8_t data[COMET_DATAGRAM_BYTES_MAX];
	size_t length = comet_datagram_encode(datagram, data);

	lookups->ops->send(lookups->ctx, address, data, length);
}

/* Asks the VMs that have not answered. The lookup may end while they are asked, if send delivers
 * answers at once. */
static void
ask(struct comet_stream_lookups *lookups, struct lookup *lookup, uint64_t now_us)
{
	const struct lookup asked = *lookup;
	const comet_Datagram datagram = {
		.which_body = comet_Datagram_stream_ask_tag,
		.body.stream_ask =
			{
				.asker = lookups->address,
				.number = lookup->number,
				.stream = lookup->stream,
				.service = lookup->service_id,
			},
	};

	lookup->sent_us = now_us;
	for (uint32_t i = 0; i < asked.result.asked; i++)
	{
		if (asked.waiting[i] != 0)
			send(lookups, asked.waiting[i], &datagram);
	}
}

void
comet_stream_lookups_start(struct comet_stream_lookups *lookups, void *user_data, uint64_t stream,
	uint32_t service_id, const uint32_t *vms, uint32_t n_vms, uint64_t now_us)
{
	struct lookup *lookup = g_new0(struct lookup, 1);

	lookup->user_data = user_data;
	lookup->number = ++lookups->number;
	lookup->stream = stream;
	lookup->service_id = service_id;
	lookup->started_us = now_us;
	lookup->result.asked = MIN(n_vms, COMET_STREAM_LOOKUP_VMS_MAX);
	for (uint32_t i = 0; i < lookup->result.asked; i++)
		lookup->waiting[i] = vms[i];
	g_queue_push_tail(&lookups->pending, lookup);
	ask(lookups, lookup, now_us);
}

void
comet_stream_lookups_cancel(struct comet_stream_lookups *lookups, const void *user_data)
{
	for (GList *at = lookups->pending.head; at != NULL; at = at->next)
	{
		struct lookup *lookup = at->data;
		if (lookup->user_data != user_data)
			continue;
		g_queue_delete_link(&lookups->pending, at);
		g_free(lookup);
		return;
	}
}

static void
end(struct comet_stream_lookups *lookups, struct lookup *lookup)
{
	struct comet_stream_lookup_result result = lookup->result;
	void *user_data = lookup->user_data;

	g_queue_remove(&lookups->pending, lookup);
	g_free(lookup);
	lookups->ops->ended(lookups->ctx, user_data, &result);
}

/* Merges what a VM knows of the service if it does not know the stream. */
static void
merge_only_version(struct comet_stream_lookup_result *result, const comet_StreamAnswer *answer)
{
	uint64_t only_us = (uint64_t)answer->only_ms * 1000;

	result->several = result->several || answer->several;
	if (answer->only_version == 0)
		return;
	if (result->only_version_id != 0 && result->only_version_id != answer->only_version)
		result->several = true;
	result->only_version_id = answer->only_version;
	result->only_us = MAX(result->only_us, only_us);
}

/* @return whether the VM had not answered yet */
static bool
mark_answered(struct lookup *lookup, uint32_t vm)
{
	for (uint32_t i = 0; i < lookup->result.asked; i++)
	{
		if (lookup->waiting[i] != vm || vm == 0)
			continue;
		lookup->waiting[i] = 0;
		lookup->result.answered++;
		return true;
	}
	return false;
}

static void
handle_answer(struct comet_stream_lookups *lookups, const comet_StreamAnswer *answer)
{
	for (GList *at = lookups->pending.head; at != NULL; at = at->next)
	{
		struct lookup *lookup = at->data;
		struct comet_stream_lookup_result *result = &lookup->result;
		if (lookup->number != answer->number)
			continue;
		if (!mark_answered(lookup, answer->owner))
			return;
		result->version_id = answer->version;
		result->service_id = answer->service;
		merge_only_version(result, answer);
		if (result->version_id != 0 || result->answered == result->asked)
			end(lookups, lookup);
		return;
	}
}

static void
handle_request(struct comet_stream_lookups *lookups, const comet_StreamAsk *request)
{
	comet_Datagram datagram = {
		.which_body = comet_Datagram_stream_answer_tag,
		.body.stream_answer = {.owner = lookups->address, .number = request->number},
	};

	lookups->ops->answer(lookups->ctx, request, &datagram.body.stream_answer);
	send(lookups, request->asker, &datagram);
}

bool
comet_stream_lookups_receive(struct comet_stream_lookups *lookups, const comet_Datagram *datagram)
{
	switch (datagram->which_body)
	{
	case comet_Datagram_stream_ask_tag:
		handle_request(lookups, &datagram->body.stream_ask);
		return true;
	case comet_Datagram_stream_answer_tag:
		handle_answer(lookups, &datagram->body.stream_answer);
		return true;
	default:
		return false;
	}
}

bool
comet_stream_lookups_tick(struct comet_stream_lookups *lookups, uint64_t now_us)
{
	struct lookup *oldest = NULL;

	while ((oldest = g_queue_peek_head(&lookups->pending)) != NULL &&
		oldest->started_us + LOOKUP_TIMEOUT_US <= now_us)
		end(lookups, oldest);
	GList *next = NULL;
	for (GList *at = lookups->pending.head; at != NULL; at = next)
	{
		struct lookup *lookup = at->data;
		next = at->next;
		if (lookup->sent_us + REPEAT_INTERVAL_US <= now_us)
			ask(lookups, lookup, now_us);
	}
	return !g_queue_is_empty(&lookups->pending);
}
