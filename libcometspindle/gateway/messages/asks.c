/*
 * asks.c
 * questions to other VMs that wait for their answers, and VMs that left one unanswered
 */
#include <libcometspindle/gateway/messages/asks.h>

#include <glib.h>
#include <talloc.h>

/* A question is given up after this time: a round trip takes one to three milliseconds, and a VM
 * with an eighth of a core may be busy for ten. It is a small part of any stream's aim. */
#define ANSWER_TIMEOUT_US 40000

/* A VM that did not answer is not asked for this time: as long as it takes at least until its
 * silence is noticed by its missing views. */
#define MUTE_US 1000000

struct comet_asks
{
	size_t entry_bytes;
	uint64_t number;
	GQueue open;      /* of struct comet_ask, oldest first */
	GHashTable *mute; /* address -> uint64_t, until when */
};

static int
asks_destroy(struct comet_asks *asks)
{
	g_queue_clear_full(&asks->open, g_free);
	g_hash_table_destroy(asks->mute);
	return 0;
}

struct comet_asks *
comet_asks_create(void *parent, size_t entry_bytes)
{
	struct comet_asks *asks = talloc_zero(parent, struct comet_asks);

	asks->entry_bytes = entry_bytes;
	g_queue_init(&asks->open);
	asks->mute = g_hash_table_new_full(NULL, NULL, NULL, g_free);
	talloc_set_destructor(asks, asks_destroy);
	return asks;
}

void *
comet_asks_add(struct comet_asks *asks, void *owner, uint32_t vm, uint64_t now_us)
{
	struct comet_ask *ask = g_malloc0(asks->entry_bytes);

	ask->owner = owner;
	ask->number = ++asks->number;
	ask->since_us = now_us;
	ask->most_us = ANSWER_TIMEOUT_US;
	ask->vm = vm;
	g_queue_push_tail(&asks->open, ask);
	return ask;
}

void *
comet_asks_find(const struct comet_asks *asks, uint64_t number, uint32_t vm)
{
	for (GList *at = asks->open.head; at != NULL; at = at->next)
	{
		const struct comet_ask *ask = at->data;
		if (ask->number == number && ask->vm == vm)
			return at->data;
	}
	return NULL;
}

void
comet_asks_remove(struct comet_asks *asks, void *entry)
{
	g_queue_remove(&asks->open, entry);
	g_free(entry);
}

void *
comet_asks_of(const struct comet_asks *asks, const void *owner)
{
	for (GList *at = asks->open.head; at != NULL; at = at->next)
	{
		const struct comet_ask *ask = at->data;
		if (ask->owner == owner)
			return at->data;
	}
	return NULL;
}

void *
comet_asks_overdue(const struct comet_asks *asks, uint64_t now_us)
{
	for (GList *at = asks->open.head; at != NULL; at = at->next)
	{
		const struct comet_ask *ask = at->data;
		/* One that was begun meanwhile may be younger than now_us. */
		if (ask->since_us + ask->most_us <= now_us)
			return at->data;
	}
	return NULL;
}

bool
comet_asks_any(const struct comet_asks *asks)
{
	return !g_queue_is_empty((GQueue *)&asks->open);
}

void
comet_asks_mute(struct comet_asks *asks, uint32_t vm, uint64_t now_us)
{
	uint64_t *until = g_new(uint64_t, 1);

	*until = now_us + MUTE_US;
	g_hash_table_insert(asks->mute, GUINT_TO_POINTER(vm), until);
}

void
comet_asks_heard(struct comet_asks *asks, uint32_t vm)
{
	g_hash_table_remove(asks->mute, GUINT_TO_POINTER(vm));
}

bool
comet_asks_is_mute(const struct comet_asks *asks, uint32_t vm, uint64_t now_us)
{
	const uint64_t *until = g_hash_table_lookup(asks->mute, GUINT_TO_POINTER(vm));

	return until != NULL && now_us < *until;
}
