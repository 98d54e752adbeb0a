/*
 * pending_rpcs.c
 * tracks RPCs to other VMs until they are answered, and VMs that left one unanswered
 */
#include <libcometspindle/gateway/messages/pending_rpcs.h>

#include <glib.h>
#include <talloc.h>

/* Timeout in addition to the round trip. A VM with an eighth of a core may be busy for 10 ms. The
 * timeout is a small part of the time in which the answer of any stream should begin. */
#define ANSWER_TIMEOUT_US 40000

/* Bound of a learned round trip, which an overloaded VM could otherwise extend without limit. No
 * two regions are farther apart. */
#define ROUND_TRIP_MAX_US 200000

/* Weight of a sample that is longer than the learned round trip. A shorter one replaces it, because
 * the longer ones include the time for which the VM was busy. */
#define LONGER_SAMPLE_WEIGHT 0.125

/* VMs whose round trip is stored: as many as gossip may know. */
#define ROUND_TRIPS_MAX 2048

/* Expired RPCs whose late answers are still recognized. */
#define EXPIRED_MAX 64

/* How long a VM that left an RPC unanswered gets no further ones. This is the shortest time in
 * which the VM is found unreachable because its gossip stays away. */
#define UNRESPONSIVE_US 1000000

/* An RPC that expired without an answer. */
struct expired_rpc
{
	uint64_t number; /* 0: none */
	uint64_t sent_us;
	uint32_t vm;
};

struct comet_pending_rpcs
{
	size_t entry_bytes;
	uint64_t number;
	GQueue pending;           /* entries are struct comet_pending_rpc, oldest first */
	GHashTable *unresponsive; /* address -> uint64_t, end of the unresponsive period */
	GHashTable *round_trips;  /* address -> learned round trip in microseconds */
	struct expired_rpc expired[EXPIRED_MAX];
	uint32_t next_expired; /* entry to use next */
};

static int
pending_rpcs_destroy(struct comet_pending_rpcs *rpcs)
{
	g_queue_clear_full(&rpcs->pending, g_free);
	g_hash_table_destroy(rpcs->unresponsive);
	g_hash_table_destroy(rpcs->round_trips);
	return 0;
}

struct comet_pending_rpcs *
comet_pending_rpcs_create(void *parent, size_t entry_bytes)
{
	struct comet_pending_rpcs *rpcs = talloc_zero(parent, struct comet_pending_rpcs);

	rpcs->entry_bytes = entry_bytes;
	g_queue_init(&rpcs->pending);
	rpcs->unresponsive = g_hash_table_new_full(NULL, NULL, NULL, g_free);
	rpcs->round_trips = g_hash_table_new(NULL, NULL);
	talloc_set_destructor(rpcs, pending_rpcs_destroy);
	return rpcs;
}

void *
comet_pending_rpcs_add(
	struct comet_pending_rpcs *rpcs, void *user_data, uint32_t vm, uint64_t now_us)
{
	struct comet_pending_rpc *rpc = g_malloc0(rpcs->entry_bytes);

	rpc->user_data = user_data;
	rpc->number = ++rpcs->number;
	rpc->sent_us = now_us;
	rpc->timeout_us = ANSWER_TIMEOUT_US + comet_pending_rpcs_round_trip_us(rpcs, vm);
	rpc->vm = vm;
	g_queue_push_tail(&rpcs->pending, rpc);
	return rpc;
}

void *
comet_pending_rpcs_find(const struct comet_pending_rpcs *rpcs, uint64_t number, uint32_t vm)
{
	for (GList *link = rpcs->pending.head; link != NULL; link = link->next)
	{
		const struct comet_pending_rpc *rpc = link->data;
		if (rpc->number == number && rpc->vm == vm)
			return link->data;
	}
	return NULL;
}

void
comet_pending_rpcs_remove(struct comet_pending_rpcs *rpcs, void *entry)
{
	g_queue_remove(&rpcs->pending, entry);
	g_free(entry);
}

void *
comet_pending_rpcs_find_user_data(const struct comet_pending_rpcs *rpcs, const void *user_data)
{
	for (GList *link = rpcs->pending.head; link != NULL; link = link->next)
	{
		const struct comet_pending_rpc *rpc = link->data;
		if (rpc->user_data == user_data)
			return link->data;
	}
	return NULL;
}

void *
comet_pending_rpcs_find_expired(const struct comet_pending_rpcs *rpcs, uint64_t now_us)
{
	for (GList *link = rpcs->pending.head; link != NULL; link = link->next)
	{
		const struct comet_pending_rpc *rpc = link->data;
		/* The sum avoids an underflow: an RPC that the caller sent after it read the clock
		 * has a sent_us later than now_us. */
		if (rpc->sent_us + rpc->timeout_us <= now_us)
			return link->data;
	}
	return NULL;
}

bool
comet_pending_rpcs_has_pending(const struct comet_pending_rpcs *rpcs)
{
	return !g_queue_is_empty((GQueue *)&rpcs->pending);
}

void
comet_pending_rpcs_expired(
	struct comet_pending_rpcs *rpcs, const struct comet_pending_rpc *rpc, uint64_t now_us)
{
	uint64_t *until_us = g_new(uint64_t, 1);

	*until_us = now_us + UNRESPONSIVE_US;
	g_hash_table_insert(rpcs->unresponsive, GUINT_TO_POINTER(rpc->vm), until_us);
	if (rpc->answered)
		return;
	rpcs->expired[rpcs->next_expired] =
		(struct expired_rpc){rpc->number, rpc->sent_us, rpc->vm};
	rpcs->next_expired = (rpcs->next_expired + 1) % EXPIRED_MAX;
}

uint64_t
comet_pending_rpcs_round_trip_us(const struct comet_pending_rpcs *rpcs, uint32_t vm)
{
	return GPOINTER_TO_UINT(g_hash_table_lookup(rpcs->round_trips, GUINT_TO_POINTER(vm)));
}

static void
learn_round_trip(struct comet_pending_rpcs *rpcs, uint32_t vm, uint64_t sample_us)
{
	uint64_t known_us = comet_pending_rpcs_round_trip_us(rpcs, vm);
	uint64_t learned_us = MAX(MIN(sample_us, ROUND_TRIP_MAX_US), 1);

	if (known_us == 0 && g_hash_table_size(rpcs->round_trips) >= ROUND_TRIPS_MAX)
		return;
	if (known_us != 0 && learned_us > known_us)
		learned_us = known_us +
			     (uint64_t)(LONGER_SAMPLE_WEIGHT * (double)(learned_us - known_us));
	g_hash_table_insert(
		rpcs->round_trips, GUINT_TO_POINTER(vm), GUINT_TO_POINTER((guint)learned_us));
}

/* @return when an RPC was sent that has expired, which is forgotten; 0: it is not known. */
static uint64_t
take_expired_sent_us(struct comet_pending_rpcs *rpcs, uint64_t number, uint32_t vm)
{
	for (uint32_t i = 0; i < EXPIRED_MAX; i++)
	{
		struct expired_rpc *expired = &rpcs->expired[i];
		if (expired->number != number || expired->vm != vm)
			continue;
		expired->number = 0;
		return expired->sent_us;
	}
	return 0;
}

void
comet_pending_rpcs_answered(
	struct comet_pending_rpcs *rpcs, uint64_t number, uint32_t vm, uint64_t now_us)
{
	struct comet_pending_rpc *rpc = comet_pending_rpcs_find(rpcs, number, vm);
	uint64_t sent_us = 0;

	g_hash_table_remove(rpcs->unresponsive, GUINT_TO_POINTER(vm));
	if (rpc != NULL && !rpc->answered)
		sent_us = rpc->sent_us;
	else if (rpc == NULL && number != 0)
		sent_us = take_expired_sent_us(rpcs, number, vm);
	if (rpc != NULL)
		rpc->answered = true;
	if (sent_us != 0 && now_us > sent_us)
		learn_round_trip(rpcs, vm, now_us - sent_us);
}

bool
comet_pending_rpcs_is_unresponsive(
	const struct comet_pending_rpcs *rpcs, uint32_t vm, uint64_t now_us)
{
	const uint64_t *until_us = g_hash_table_lookup(rpcs->unresponsive, GUINT_TO_POINTER(vm));

	return until_us != NULL && now_us < *until_us;
}
