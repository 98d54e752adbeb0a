/*
 * crash_tracker.c
 * requests under which endpoints' processes crashed, as this VM and the others saw it
 */
#include <libcometspindle/gateway/admission/crash_tracker.h>

#include <glib.h>
#include <libcometspindle/gateway/admission/incarnation_set.h>
#include <libcometspindle/gateway/admission/crash_suspects.h>
#include <string.h>
#include <talloc.h>

/* A request is barred after so many crashes: the users allow it three. Fewer would shut out
 * requests that two endpoints in a row left for reasons of their own. */
#define CRASHES_MAX 3

/* A request that was served within this time does not crash what runs it: one that many callers
 * send is under way wherever an endpoint dies. An engine that begins to crash under a request it
 * served before is found this much later. */
#define SOUND_US 30000000

/* Served requests that are remembered; a power of two. At 20 a second, three minutes of them. */
#define SERVED_MAX 4096

/* A record is kept for this time after its last crash: a repaired engine is out by then, and a
 * request that was barred for no fault of its own can be served again. */
#define KEEP_US 3600000000

/* Records of a team, and of all: 4,096 take 0.6 MB. No team's records push out another's before
 * 64 teams have as many. */
#define TEAM_RECORDS_MAX 64
#define RECORDS_MAX 4096

/* What is old is looked for so often: its times are seconds and more. */
#define TICK_US 1000000

/* A record is told first in every view for this time after it has changed: views are at most two
 * seconds apart, and one may be lost. */
#define NEWS_US 5000000

/* What is known of a request. */
struct record
{
	struct comet_fingerprint request;
	struct comet_incarnation_set crashed;
	struct comet_incarnation_set excused; /* those of them that were not its doing */
	uint64_t last_us;                     /* the last crash */
	uint64_t changed_us;
	bool barred;
};

/* A request that was served. */
struct served
{
	struct comet_fingerprint request;
	uint64_t at_us; /* 0: none */
};

struct comet_crash_tracker
{
	const struct comet_crash_tracker_ops *ops;
	void *ctx;
	GHashTable *records; /* fingerprint -> struct record */
	struct comet_crash_suspects *crash_suspects;
	uint64_t ticked_us;
	uint32_t new_turn; /* where views go on with records that are new */
	uint32_t old_turn; /* and with the others */
	struct served served[SERVED_MAX];
};

static guint
hash_fingerprint(gconstpointer key)
{
	const struct comet_fingerprint *request = key;

	return (guint)(request->digest ^ request->team);
}

static gboolean
equal_fingerprints(gconstpointer a, gconstpointer b)
{
	return comet_fingerprint_equal(a, b);
}

static int
crashes_destroy(struct comet_crash_tracker *crash_tracker)
{
	g_hash_table_destroy(crash_tracker->records);
	return 0;
}

struct comet_crash_tracker *
comet_crash_tracker_create(void *parent, const struct comet_crash_tracker_ops *ops, void *ctx)
{
	struct comet_crash_tracker *crash_tracker = talloc_zero(parent, struct comet_crash_tracker);

	crash_tracker->ops = ops;
	crash_tracker->ctx = ctx;
	crash_tracker->records =
		g_hash_table_new_full(hash_fingerprint, equal_fingerprints, NULL, g_free);
	crash_tracker->crash_suspects = comet_crash_suspects_create(crash_tracker);
	talloc_set_destructor(crash_tracker, crashes_destroy);
	return crash_tracker;
}

static struct record *
find(const struct comet_crash_tracker *crash_tracker, const struct comet_fingerprint *request)
{
	return g_hash_table_lookup(crash_tracker->records, request);
}

/* Crashes that count against a request, as far as it alone tells. */
static uint32_t
counted(const struct record *record)
{
	uint32_t sum = 0;

	for (uint32_t i = 0; i < record->crashed.count; i++)
		sum += comet_incarnation_set_has(&record->excused, record->crashed.lives[i]) ? 0
											     : 1;
	return sum;
}

/* Is this crash the doing of a request that crashed more than the record's? */
static bool
is_explained(const GPtrArray *heavy, const struct record *record, uint32_t incarnation_key)
{
	uint32_t own = counted(record);

	for (guint i = 0; i < heavy->len; i++)
	{
		const struct record *other = heavy->pdata[i];
		if (other != record && counted(other) > own &&
			comet_incarnation_set_has(&other->crashed, incarnation_key) &&
			!comet_incarnation_set_has(&other->excused, incarnation_key))
			return true;
	}
	return false;
}

static uint32_t
counted_and_unexplained(const GPtrArray *heavy, const struct record *record)
{
	uint32_t sum = 0;

	for (uint32_t i = 0; i < record->crashed.count; i++)
	{
		uint32_t incarnation_key = record->crashed.lives[i];
		if (!comet_incarnation_set_has(&record->excused, incarnation_key) &&
			!is_explained(heavy, record, incarnation_key))
			sum++;
	}
	return sum;
}

/* Decides anew who is barred. It follows from the records alone, so that VMs which know the same
 * decide the same: were the first to reach the bound the one to blame, a VM that heard of another
 * first would blame that one, and both would go free once they told each other. */
static void
decide(struct comet_crash_tracker *crash_tracker, bool own)
{
	GPtrArray *heavy = g_ptr_array_new();
	GHashTableIter at;
	gpointer value = NULL;

	g_hash_table_iter_init(&at, crash_tracker->records);
	while (g_hash_table_iter_next(&at, NULL, &value))
	{
		if (counted(value) >= CRASHES_MAX)
			g_ptr_array_add(heavy, value);
	}
	g_hash_table_iter_init(&at, crash_tracker->records);
	while (g_hash_table_iter_next(&at, NULL, &value))
	{
		struct record *record = value;
		bool barred = counted(record) >= CRASHES_MAX &&
			      counted_and_unexplained(heavy, record) >= CRASHES_MAX;
		if (barred == record->barred)
			continue;
		record->barred = barred;
		crash_tracker->ops->news(crash_tracker->ctx, &record->request,
			barred ? COMET_CRASH_TRACKER_QUARANTINED : COMET_CRASH_TRACKER_RELEASED,
			counted(record), own);
	}
	g_ptr_array_free(heavy, TRUE);
}

/* Is this record worth less than the other? Fewer crashes, then an earlier last one. */
static bool
is_weaker(const struct record *one, const struct record *other)
{
	if (counted(one) != counted(other))
		return counted(one) < counted(other);
	return one->last_us < other->last_us;
}

/* Makes room for a record: a team that has many gives one of its own. */
static void
make_room(struct comet_crash_tracker *crash_tracker, uint32_t team)
{
	struct record *weakest = NULL;
	struct record *weakest_of_team = NULL;
	uint32_t of_team = 0;
	GHashTableIter at;
	gpointer value = NULL;

	g_hash_table_iter_init(&at, crash_tracker->records);
	while (g_hash_table_iter_next(&at, NULL, &value))
	{
		struct record *record = value;
		if (weakest == NULL || is_weaker(record, weakest))
			weakest = record;
		if (record->request.team != team)
			continue;
		of_team++;
		if (weakest_of_team == NULL || is_weaker(record, weakest_of_team))
			weakest_of_team = record;
	}
	if (of_team >= TEAM_RECORDS_MAX)
		g_hash_table_remove(crash_tracker->records, &weakest_of_team->request);
	else if (g_hash_table_size(crash_tracker->records) >= RECORDS_MAX)
		g_hash_table_remove(crash_tracker->records, &weakest->request);
}

static struct record *
find_or_add(struct comet_crash_tracker *crash_tracker, const struct comet_fingerprint *request)
{
	struct record *record = find(crash_tracker, request);

	if (record == NULL)
	{
		make_room(crash_tracker, request->team);
		record = g_new0(struct record, 1);
		record->request = *request;
		g_hash_table_insert(crash_tracker->records, &record->request, record);
	}
	return record;
}

/* Excuses all crashes of a record. @return whether any was not excused before */
static bool
excuse(struct record *record)
{
	bool changed = false;

	for (uint32_t i = 0; i < record->crashed.count; i++)
		changed = comet_incarnation_set_add(&record->excused, record->crashed.lives[i]) ||
			  changed;
	return changed;
}

static struct served *
place_of(struct comet_crash_tracker *crash_tracker, const struct comet_fingerprint *request)
{
	return &crash_tracker->served[hash_fingerprint(request) % SERVED_MAX];
}

/* Was it served of late? */
static bool
is_sound(struct comet_crash_tracker *crash_tracker, const struct comet_fingerprint *request,
	uint64_t now_us)
{
	const struct served *served = place_of(crash_tracker, request);

	return served->at_us != 0 && now_us - served->at_us < SOUND_US &&
	       comet_fingerprint_equal(&served->request, request);
}

/* A record has changed: what follows from it. */
static void
record_changed(
	struct comet_crash_tracker *crash_tracker, struct record *record, bool own, uint64_t now_us)
{
	record->changed_us = now_us;
	if (is_sound(crash_tracker, &record->request, now_us) && excuse(record))
		crash_tracker->ops->news(
			crash_tracker->ctx, &record->request, COMET_CRASH_TRACKER_CLEARED, 0, true);
	else
		crash_tracker->ops->news(crash_tracker->ctx, &record->request,
			COMET_CRASH_TRACKER_COUNTED, counted(record), own);
	decide(crash_tracker, own);
}

/* An endpoint's process crashed under the request. */
static void
blame(struct comet_crash_tracker *crash_tracker, const struct comet_fingerprint *request,
	uint32_t incarnation_key, uint64_t now_us)
{
	struct record *record = find_or_add(crash_tracker, request);

	if (!comet_incarnation_set_add(&record->crashed, incarnation_key))
		return;
	record->last_us = now_us;
	record_changed(crash_tracker, record, true, now_us);
}

bool
comet_crash_tracker_is_quarantined(
	struct comet_crash_tracker *crash_tracker, const struct comet_fingerprint *request)
{
	const struct record *record = find(crash_tracker, request);

	return record != NULL && record->barred;
}

bool
comet_crash_tracker_is_undecided(struct comet_crash_tracker *crash_tracker,
	const struct comet_fingerprint *request, uint64_t now_us)
{
	const struct record *record = find(crash_tracker, request);
	uint32_t sum = record != NULL ? counted(record) : 0;

	if (sum == 0)
		return false;
	return sum + comet_crash_suspects_count_request(
			     crash_tracker->crash_suspects, request, now_us) >=
	       CRASHES_MAX;
}

void
comet_crash_tracker_add_suspect(struct comet_crash_tracker *crash_tracker,
	const struct comet_crash_tracker_run *run, uint64_t now_us)
{
	if (comet_crash_suspects_has_ended(
		    crash_tracker->crash_suspects, run->incarnation_key, run->last_seen_us))
		blame(crash_tracker, &run->request, run->incarnation_key, now_us);
	else
		comet_crash_suspects_add(crash_tracker->crash_suspects, run, now_us);
}

void
comet_crash_tracker_process_crashed(struct comet_crash_tracker *crash_tracker,
	uint32_t incarnation_key, uint64_t last_seen_us, uint64_t now_us)
{
	GList *requests = comet_crash_suspects_process_crashed(
		crash_tracker->crash_suspects, incarnation_key, last_seen_us, now_us);

	for (GList *at = requests; at != NULL; at = at->next)
		blame(crash_tracker, at->data, incarnation_key, now_us);
	g_list_free_full(requests, g_free);
}

void
comet_crash_tracker_process_exited(
	struct comet_crash_tracker *crash_tracker, uint32_t incarnation_key)
{
	comet_crash_suspects_forget(crash_tracker->crash_suspects, incarnation_key);
}

void
comet_crash_tracker_served(struct comet_crash_tracker *crash_tracker,
	const struct comet_fingerprint *request, uint64_t now_us)
{
	struct record *record = find(crash_tracker, request);

	*place_of(crash_tracker, request) = (struct served){.request = *request, .at_us = now_us};
	if (record == NULL || !excuse(record))
		return;
	record->changed_us = now_us;
	crash_tracker->ops->news(crash_tracker->ctx, request, COMET_CRASH_TRACKER_CLEARED, 0, true);
	decide(crash_tracker, true);
}

void
comet_crash_tracker_tick(struct comet_crash_tracker *crash_tracker, uint64_t now_us)
{
	GHashTableIter at;
	gpointer value = NULL;

	if (now_us - crash_tracker->ticked_us < TICK_US)
		return;
	crash_tracker->ticked_us = now_us;
	comet_crash_suspects_tick(crash_tracker->crash_suspects, now_us);
	g_hash_table_iter_init(&at, crash_tracker->records);
	while (g_hash_table_iter_next(&at, NULL, &value))
	{
		const struct record *record = value;
		if (now_us - record->last_us > KEEP_US)
			g_hash_table_iter_remove(&at);
	}
}

static void
put_set(const struct comet_incarnation_set *set, uint32_t *lives, pb_size_t *count)
{
	memcpy(lives, set->lives, set->count * sizeof set->lives[0]);
	*count = (pb_size_t)set->count;
}

static void
put_record(const struct record *record, comet_Crashed *out, uint64_t now_us)
{
	memset(out, 0, sizeof *out);
	out->digest = record->request.digest;
	out->team = record->request.team;
	put_set(&record->crashed, out->lives, &out->lives_count);
	put_set(&record->excused, out->excused, &out->excused_count);
	out->age_ms = (uint32_t)((now_us - record->last_us) / 1000);
}

static bool
is_new(const struct record *record, uint64_t now_us)
{
	return now_us - record->changed_us < NEWS_US;
}

/* Those that are new, or the others: from the turn on, so that a team whose requests crash many
 * endpoints does not keep others' records from being told. */
static size_t
put_some(struct comet_crash_tracker *crash_tracker, comet_Crashed *records, size_t most,
	bool new_ones, uint64_t now_us)
{
	uint32_t *turn = new_ones ? &crash_tracker->new_turn : &crash_tracker->old_turn;
	size_t count = 0;
	uint32_t index = 0;
	GHashTableIter at;
	gpointer value = NULL;

	g_hash_table_iter_init(&at, crash_tracker->records);
	while (count < most && g_hash_table_iter_next(&at, NULL, &value))
	{
		const struct record *record = value;
		if (is_new(record, now_us) == new_ones && index++ >= *turn)
			put_record(record, &records[count++], now_us);
	}
	*turn = count < most ? 0 : index;
	return count;
}

size_t
comet_crash_tracker_encode(struct comet_crash_tracker *crash_tracker, comet_Crashed *records,
	size_t most, uint64_t now_us)
{
	size_t count = put_some(crash_tracker, records, most - 1, true, now_us);

	return count + put_some(crash_tracker, records + count, most - count, false, now_us);
}

void
comet_crash_tracker_merge(
	struct comet_crash_tracker *crash_tracker, const comet_Crashed *told, uint64_t now_us)
{
	const struct comet_fingerprint request = {.digest = told->digest, .team = told->team};
	uint64_t age_us = (uint64_t)told->age_ms * 1000;
	bool changed = false;

	if (told->lives_count == 0 || age_us > KEEP_US)
		return;
	struct record *record = find_or_add(crash_tracker, &request);
	for (pb_size_t i = 0; i < told->lives_count; i++)
		changed = comet_incarnation_set_add(&record->crashed, told->lives[i]) || changed;
	for (pb_size_t i = 0; i < told->excused_count; i++)
		changed = comet_incarnation_set_add(&record->excused, told->excused[i]) || changed;
	if (!changed)
		return; /* nor a later crash: told back and forth its age would shrink */
	record->last_us = MAX(record->last_us, now_us - MIN(age_us, now_us));
	record_changed(crash_tracker, record, false, now_us);
}

struct comet_crash_tracker_counts
comet_crash_tracker_count(const struct comet_crash_tracker *crash_tracker)
{
	struct comet_crash_tracker_counts counts = {
		.records = g_hash_table_size(crash_tracker->records),
		.crash_suspects = comet_crash_suspects_count(crash_tracker->crash_suspects),
	};
	GHashTableIter at;
	gpointer value = NULL;

	g_hash_table_iter_init(&at, crash_tracker->records);
	while (g_hash_table_iter_next(&at, NULL, &value))
		counts.barred += ((const struct record *)value)->barred ? 1 : 0;
	return counts;
}
