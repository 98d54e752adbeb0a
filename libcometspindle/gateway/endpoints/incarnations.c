/*
 * incarnations.c
 * which life of each endpoint's process is the latest, by what the directory has told
 */
#include <libcometspindle/gateway/endpoints/incarnations.h>

#include <glib.h>
#include <talloc.h>

/* The last word of an earlier life is late news if the later one writes anew: it does so each
 * second or so, and finds its entry changed. When nothing has followed for this time, the clock of
 * the process that runs was behind at its start, and without this it would never be used. */
#define EARLIER_BELIEVED_US 5000000

/* What was told under one id. */
struct told
{
	uint64_t process_start_ms; /* latest; 0: none was told */
	struct comet_instance_record
		*earlier;    /* word of an earlier life that came since, or NULL */
	uint64_t earlier_us; /* when it came */
	bool lapsed;         /* it is listed no more, but used on */
};

struct comet_incarnations
{
	GHashTable *by_id; /* id -> struct told */
};

static void
free_told(gpointer data)
{
	struct told *told = data;

	talloc_free(told->earlier);
	g_free(told);
}

static int
lives_destroy(struct comet_incarnations *lives)
{
	g_hash_table_destroy(lives->by_id);
	return 0;
}

struct comet_incarnations *
comet_incarnations_create(void *parent)
{
	struct comet_incarnations *lives = talloc_zero(parent, struct comet_incarnations);

	lives->by_id = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_told);
	talloc_set_destructor(lives, lives_destroy);
	return lives;
}

static struct told *
told_of(struct comet_incarnations *lives, const char *id)
{
	struct told *told = g_hash_table_lookup(lives->by_id, id);

	if (told == NULL)
	{
		told = g_new0(struct told, 1);
		g_hash_table_insert(lives->by_id, g_strdup(id), told);
	}
	return told;
}

/* Keeps the word of an earlier life, in case no other follows it. */
static void
keep_earlier(struct told *told, const struct comet_instance_record *record, uint64_t now_us)
{
	talloc_free(told->earlier);
	told->earlier = talloc_memdup(NULL, record, sizeof *record);
	told->earlier->id = talloc_strdup(told->earlier, record->id);
	told->earlier->service = talloc_strdup(told->earlier, record->service);
	told->earlier->address = talloc_strdup(told->earlier, record->address);
	told->earlier->zone = talloc_strdup(told->earlier, record->zone);
	told->earlier_us = now_us;
}

enum comet_incarnation_order
comet_incarnations_observe(struct comet_incarnations *lives,
	const struct comet_instance_record *record, uint64_t now_us)
{
	struct told *told = told_of(lives, record->id);

	told->lapsed = false;
	if (record->process_start_ms == 0 && told->process_start_ms != 0)
		return COMET_INCARNATION_UNSPECIFIED;
	if (record->process_start_ms < told->process_start_ms)
	{
		keep_earlier(told, record, now_us);
		return COMET_INCARNATION_EARLIER;
	}
	told->process_start_ms = record->process_start_ms;
	TALLOC_FREE(told->earlier);
	return COMET_INCARNATION_LATEST;
}

void
comet_incarnations_forget(struct comet_incarnations *lives, const char *id)
{
	g_hash_table_remove(lives->by_id, id);
}

void
comet_incarnations_schedule_expiry(struct comet_incarnations *lives, const char *id)
{
	struct told *told = told_of(lives, id);

	told->lapsed = true;
	TALLOC_FREE(told->earlier); /* no word of it stands any more */
}

void
comet_incarnations_expire(struct comet_incarnations *lives, const char *id)
{
	const struct told *told = g_hash_table_lookup(lives->by_id, id);

	if (told != NULL && told->lapsed)
		g_hash_table_remove(lives->by_id, id);
}

void
comet_incarnations_tick(struct comet_incarnations *lives, uint64_t now_us,
	void (*believed)(void *ctx, const struct comet_instance_record *record), void *ctx)
{
	GHashTableIter at;
	gpointer value = NULL;

	g_hash_table_iter_init(&at, lives->by_id);
	while (g_hash_table_iter_next(&at, NULL, &value))
	{
		struct told *told = value;
		if (told->earlier == NULL || now_us - told->earlier_us < EARLIER_BELIEVED_US)
			continue;
		struct comet_instance_record *record = told->earlier;
		told->earlier = NULL;
		told->process_start_ms = record->process_start_ms;
		believed(ctx, record);
		talloc_free(record);
	}
}

uint64_t
comet_incarnations_start_ms(const struct comet_incarnations *lives, const char *id)
{
	const struct told *told = g_hash_table_lookup(lives->by_id, id);

	return told != NULL ? told->process_start_ms : 0;
}
