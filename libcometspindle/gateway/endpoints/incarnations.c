/*
 * incarnations.c
 * tracks the latest incarnation of each endpoint's process, from the directory's entries
 */
#include <libcometspindle/gateway/endpoints/incarnations.h>

#include <glib.h>
#include <talloc.h>

/* An entry of an earlier incarnation is accepted after this time unless the later incarnation
 * writes again. A running process rewrites its entry about once a second, so that a delayed entry
 * is soon replaced. If nothing follows, the process that wrote the entry is the one that runs, and
 * its clock was behind when it started; without this rule it would never be used. */
#define EARLIER_ACCEPT_US 5000000

/* What the directory has reported under one id. */
struct endpoint_state
{
	uint64_t process_start_ms; /* the latest process start; 0: none was reported */
	struct comet_instance_record
		*earlier;    /* entry of an earlier incarnation that was read since, or NULL */
	uint64_t earlier_us; /* when that entry was read */
	bool expiring;       /* the directory no longer lists the endpoint, but it is still used */
};

struct comet_incarnations
{
	GHashTable *by_id;      /* id -> struct endpoint_state */
	uint32_t earlier_count; /* endpoints with an entry of an earlier incarnation */
};

static void
free_state(gpointer data)
{
	struct endpoint_state *state = data;

	talloc_free(state->earlier);
	g_free(state);
}

static int
incarnations_destroy(struct comet_incarnations *incarnations)
{
	g_hash_table_destroy(incarnations->by_id);
	return 0;
}

struct comet_incarnations *
comet_incarnations_create(void *parent)
{
	struct comet_incarnations *incarnations = talloc_zero(parent, struct comet_incarnations);

	incarnations->by_id = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_state);
	talloc_set_destructor(incarnations, incarnations_destroy);
	return incarnations;
}

static struct endpoint_state *
find_or_add_state(struct comet_incarnations *incarnations, const char *id)
{
	struct endpoint_state *state = g_hash_table_lookup(incarnations->by_id, id);

	if (state == NULL)
	{
		state = g_new0(struct endpoint_state, 1);
		g_hash_table_insert(incarnations->by_id, g_strdup(id), state);
	}
	return state;
}

static void
drop_earlier(struct comet_incarnations *incarnations, struct endpoint_state *state)
{
	incarnations->earlier_count -= state->earlier != NULL ? 1 : 0;
	TALLOC_FREE(state->earlier);
}

static void
remove_state(struct comet_incarnations *incarnations, const char *id, struct endpoint_state *state)
{
	drop_earlier(incarnations, state);
	g_hash_table_remove(incarnations->by_id, id);
}

/* Stores an entry of an earlier incarnation, in case that no other entry follows. */
static void
store_earlier(struct comet_incarnations *incarnations, struct endpoint_state *state,
	const struct comet_instance_record *record, uint64_t now_us)
{
	drop_earlier(incarnations, state);
	incarnations->earlier_count++;
	state->earlier = talloc_memdup(NULL, record, sizeof *record);
	state->earlier->id = talloc_strdup(state->earlier, record->id);
	state->earlier->service = talloc_strdup(state->earlier, record->service);
	state->earlier->address = talloc_strdup(state->earlier, record->address);
	state->earlier->zone = talloc_strdup(state->earlier, record->zone);
	state->earlier->software_version = talloc_strdup(state->earlier, record->software_version);
	state->earlier_us = now_us;
}

enum comet_incarnation_order
comet_incarnations_observe(struct comet_incarnations *incarnations,
	const struct comet_instance_record *record, uint64_t now_us)
{
	struct endpoint_state *state = find_or_add_state(incarnations, record->id);

	state->expiring = false;
	if (record->process_start_ms == 0 && state->process_start_ms != 0)
		return COMET_INCARNATION_UNSPECIFIED;
	if (record->process_start_ms < state->process_start_ms)
	{
		store_earlier(incarnations, state, record, now_us);
		return COMET_INCARNATION_EARLIER;
	}
	state->process_start_ms = record->process_start_ms;
	drop_earlier(incarnations, state);
	return COMET_INCARNATION_LATEST;
}

void
comet_incarnations_forget(struct comet_incarnations *incarnations, const char *id)
{
	struct endpoint_state *state = g_hash_table_lookup(incarnations->by_id, id);

	if (state != NULL)
		remove_state(incarnations, id, state);
}

void
comet_incarnations_schedule_expiry(struct comet_incarnations *incarnations, const char *id)
{
	struct endpoint_state *state = find_or_add_state(incarnations, id);

	state->expiring = true;
	drop_earlier(incarnations, state); /* the directory has no entry of it */
}

void
comet_incarnations_expire(struct comet_incarnations *incarnations, const char *id)
{
	struct endpoint_state *state = g_hash_table_lookup(incarnations->by_id, id);

	if (state != NULL && state->expiring)
		remove_state(incarnations, id, state);
}

void
comet_incarnations_tick(struct comet_incarnations *incarnations, uint64_t now_us,
	void (*accepted)(void *ctx, const struct comet_instance_record *record), void *ctx)
{
	GHashTableIter iter;
	gpointer value = NULL;

	if (incarnations->earlier_count == 0)
		return;
	g_hash_table_iter_init(&iter, incarnations->by_id);
	while (g_hash_table_iter_next(&iter, NULL, &value))
	{
		struct endpoint_state *state = value;
		if (state->earlier == NULL || now_us - state->earlier_us < EARLIER_ACCEPT_US)
			continue;
		struct comet_instance_record *record = state->earlier;
		state->earlier = NULL;
		incarnations->earlier_count--;
		state->process_start_ms = record->process_start_ms;
		accepted(ctx, record);
		talloc_free(record);
	}
}

uint64_t
comet_incarnations_start_ms(const struct comet_incarnations *incarnations, const char *id)
{
	const struct endpoint_state *state = g_hash_table_lookup(incarnations->by_id, id);

	return state != NULL ? state->process_start_ms : 0;
}
