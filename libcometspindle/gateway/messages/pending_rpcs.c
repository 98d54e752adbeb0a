/*
 * pending_rpcs.c
 * tracks RPCs to other VMs until they are answered, and VMs that left one unanswered
 */
#include <libcometspindle/gateway/messages/pending_rpcs.h>

#include <glib.h>
#include <talloc.h>

/* A round trip takes 1 to 3 ms, and a VM with an eighth of a core may be busy for 10 ms. The
 * timeout is a small part of the time in which the answer of any stream should begin. */
#define ANSWER_TIMEOUT_US 40000

/* How long a VM that left an RPC unanswered gets no further ones. This is the shortest time in
 * which the VM is found unreachable because its gossip stays away. */
#define UNRESPONSIVE_US 1000000

struct comet_pending_rpcs
{
	size_t entry_bytes;
	uint64_t number;
	GQueue pending;           /* entries are struct comet_pending_rpc, oldest first */
	GHashTable *unresponsive; /* address -> uint64_t, end of the unresponsive period */
};

static int
pending_rpcs_destroy(struct comet_pending_rpcs *rpcs)
{
	g_queue_clear_full(&rpcs->pending, g_free);
	g_hash_table_destroy(rpcs->unresponsive);
	return 0;
}

struct comet_pending_rpcs *
comet_pending_rpcs_create(void *parent, size_t entry_bytes)
{
	struct comet_pending_rpcs *rpcs = talloc_zero(parent, struct comet_pending_rpcs);

	rpcs->entry_bytes = entry_bytes;
	g_queue_init(&rpcs->pending);
	rpcs->unresponsive = g_hash_table_new_full(NULL, NULL, NULL, g_free);
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
	rpc->timeout_us = ANSWER_TIMEOUT_US;
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
comet_pending_rpcs_mark_unresponsive(struct comet_pending_rpcs *rpcs, uint32_t vm, uint64_t now_us)
{
	uint64_t *until_us = g_new(uint64_t, 1);

	*until_us = now_us + UNRESPONSIVE_US;
	g_hash_table_insert(rpcs->unresponsive, GUINT_TO_POINTER(vm), until_us);
}

void
comet_pending_rpcs_mark_responsive(struct comet_pending_rpcs *rpcs, uint32_t vm)
{
	g_hash_table_remove(rpcs->unresponsive, GUINT_TO_POINTER(vm));
}

bool
comet_pending_rpcs_is_unresponsive(
	const struct comet_pending_rpcs *rpcs, uint32_t vm, uint64_t now_us)
{
	const uint64_t *until_us = g_hash_table_lookup(rpcs->unresponsive, GUINT_TO_POINTER(vm));

	return until_us != NULL && now_us < *until_us;
}
