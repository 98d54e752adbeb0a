/*
 * pending_rpcs.c
 * questions to other VMs that wait for their answers, and VMs that left one unanswered
 */
#include <libcometspindle/gateway/messages/pending_rpcs.h>

#include <glib.h>
#include <talloc.h>

/* A question is given up after this time: a round trip takes one to three milliseconds, and a VM
 * with an eighth of a core may be busy for ten. It is a small part of any stream's aim. */
#define ANSWER_TIMEOUT_US 40000

/* A VM that did not answer is not asked for this time: as long as it takes at least until its
 * silence is noticed by its missing views. */
#define MUTE_US 1000000

struct comet_pending_rpcs
{
	size_t entry_bytes;
	uint64_t number;
	GQueue open;      /* of struct comet_pending_rpc, oldest first */
	GHashTable *mute; /* address -> uint64_t, until when */
};

static int
asks_destroy(struct comet_pending_rpcs *asks)
{
	g_queue_clear_full(&asks->open, g_free);
	g_hash_table_destroy(asks->mute);
	return 0;
}

struct comet_pending_rpcs *
comet_pending_rpcs_create(void *parent, size_t entry_bytes)
{
	struct comet_pending_rpcs *asks = talloc_zero(parent, struct comet_pending_rpcs);

	asks->entry_bytes = entry_bytes;
	g_queue_init(&asks->open);
	asks->mute = g_hash_table_new_full(NULL, NULL, NULL, g_free);
	talloc_set_destructor(asks, asks_destroy);
	return asks;
}

void *
comet_pending_rpcs_add(struct comet_pending_rpcs *asks, void *owner, uint32_t vm, uint64_t now_us)
{
	struct comet_pending_rpc *ask = g_malloc0(asks->entry_bytes);

	ask->owner = owner;
	ask->number = ++asks->number;
	ask->since_us = now_us;
	ask->most_us = ANSWER_TIMEOUT_US;
	ask->vm = vm;
	g_queue_push_tail(&asks->open, ask);
	return ask;
}

void *
comet_pending_rpcs_find(const struct comet_pending_rpcs *asks, uint64_t number, uint32_t vm)
{
	for (GList *at = asks->open.head; at != NULL; at = at->next)
	{
		const struct comet_pending_rpc *ask = at->data;
		if (ask->number == number && ask->vm == vm)
			return at->data;
	}
	return NULL;
}

void
comet_pending_rpcs_remove(struct comet_pending_rpcs *asks, void *entry)
{
	g_queue_remove(&asks->open, entry);
	g_free(entry);
}

void *
comet_pending_rpcs_find_owner(const struct comet_pending_rpcs *asks, const void *owner)
{
	for (GList *at = asks->open.head; at != NULL; at = at->next)
	{
		const struct comet_pending_rpc *ask = at->data;
		if (ask->owner == owner)
			return at->data;
	}
	return NULL;
}

void *
comet_pending_rpcs_find_expired(const struct comet_pending_rpcs *asks, uint64_t now_us)
{
	for (GList *at = asks->open.head; at != NULL; at = at->next)
	{
		const struct comet_pending_rpc *ask = at->data;
		/* One that was begun meanwhile may be younger than now_us. */
		if (ask->since_us + ask->most_us <= now_us)
			return at->data;
	}
	return NULL;
}

bool
comet_pending_rpcs_has_pending(const struct comet_pending_rpcs *asks)
{
	return !g_queue_is_empty((GQueue *)&asks->open);
}

void
comet_pending_rpcs_mark_unresponsive(struct comet_pending_rpcs *asks, uint32_t vm, uint64_t now_us)
{
	uint64_t *until = g_new(uint64_t, 1);

	*until = now_us + MUTE_US;
	g_hash_table_insert(asks->mute, GUINT_TO_POINTER(vm), until);
}

void
comet_pending_rpcs_mark_responsive(struct comet_pending_rpcs *asks, uint32_t vm)
{
	g_hash_table_remove(asks->mute, GUINT_TO_POINTER(vm));
}

bool
comet_pending_rpcs_is_unresponsive(
	const struct comet_pending_rpcs *asks, uint32_t vm, uint64_t now_us)
{
	const uint64_t *until = g_hash_table_lookup(asks->mute, GUINT_TO_POINTER(vm));

	return until != NULL && now_us < *until;
}
