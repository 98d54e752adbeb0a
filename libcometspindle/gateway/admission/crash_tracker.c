/*
 * crash_tracker.c
 * requests, or parts of prompts, that crash endpoint processes, as seen by this VM and by its peers
 */
#include <libcometspindle/gateway/admission/crash_tracker_private.h>

#include <glib.h>
#include <string.h>
#include <talloc.h>

/* The requirement allows three crashes of a request. A lower limit would reject requests whose
 * endpoints failed twice in a row for unrelated reasons. */
const struct comet_crash_tracker_rules comet_crash_tracker_requests = {.crashes = 3};

/* The requirement allows five crashes of a part; one of them may go unnoticed, because the VM that
 * saw it has failed. A request that crashes endpoints with all its parts is no reason to blame
 * them. A part may be one that all prompts of a team share, so a mistake must not last: after the
 * trial time the endpoints that crashed run again. */
const struct comet_crash_tracker_rules comet_crash_tracker_parts = {
	.crashes = 4, .several_requests = true, .trial_us = 10000000};

/* A subject whose last service began within this time before its first crash was in service: it may
 * be one that many callers send, which runs on any endpoint that fails. */
#define IN_SERVICE_US 30000000

/* Time for which a subject that was in service is not quarantined yet: reports of the other VMs, on
 * a subject that explains its crashes, arrive within it. */
#define REPORT_DELAY_US 1000000

/* Tolerance for the times of crashes that different VMs have detected: a broken connection is known
 * at once, a silent endpoint after some probes. */
#define CRASH_TIME_MARGIN_US 2000000

/* Records of one team, and of all teams: 4096 records take 0.6 MB. No team evicts the records of
 * another before 64 teams have reached their limit. */
#define TEAM_RECORDS_MAX 64
#define RECORDS_MAX 4096

/* Interval of the search for expired entries; their lifetimes are seconds and longer. */
#define TICK_US 1000000

static guint
hash_fingerprint(gconstpointer key)
{
	const struct comet_fingerprint *subject = key;

	return (guint)(subject->digest ^ subject->team);
}

static gboolean
equal_fingerprints(gconstpointer a, gconstpointer b)
{
	return comet_fingerprint_equal(a, b);
}

static int
tracker_destroy(struct comet_crash_tracker *crash_tracker)
{
	g_hash_table_destroy(crash_tracker->records);
	return 0;
}

struct comet_crash_tracker *
comet_crash_tracker_create(void *parent, const struct comet_crash_tracker_rules *rules,
	const struct comet_crash_tracker_ops *ops, void *ctx)
{
	struct comet_crash_tracker *crash_tracker = talloc_zero(parent, struct comet_crash_tracker);

	crash_tracker->rules = rules;
	crash_tracker->ops = ops;
	crash_tracker->ctx = ctx;
	crash_tracker->records =
		g_hash_table_new_full(hash_fingerprint, equal_fingerprints, NULL, g_free);
	crash_tracker->crash_suspects = comet_crash_suspects_create(crash_tracker);
	talloc_set_destructor(crash_tracker, tracker_destroy);
	return crash_tracker;
}

struct comet_crash_record *
comet_crash_tracker_find(
	const struct comet_crash_tracker *crash_tracker, const struct comet_fingerprint *subject)
{
	return g_hash_table_lookup(crash_tracker->records, subject);
}

static void
recount(struct comet_crash_record *record)
{
	record->crashes = 0;
	for (uint32_t i = 0; i < record->crashed.count; i++)
		record->crashes +=
			comet_incarnation_set_has(&record->excused, record->crashed.incarnations[i])
				? 0
				: 1;
}

/* Returns whether the endpoint of a crash may also have crashed under another subject. A full set
 * has dropped the incarnations with the largest keys, so a crash with such a key is taken for one
 * of them as long as all crashes of the record are of the time in which the other had its own. */
static bool
is_shared_crash(const struct comet_crash_record *other, const struct comet_crash_record *record,
	uint32_t incarnation_key)
{
	if (comet_incarnation_set_has(&other->crashed, incarnation_key))
		return !comet_incarnation_set_has(&other->excused, incarnation_key);
	return comet_incarnation_set_has_dropped(&other->crashed, incarnation_key) &&
	       other->first_crash_us != 0 &&
	       record->first_crash_us + CRASH_TIME_MARGIN_US >= other->first_crash_us &&
	       record->last_crash_us <= other->last_crash_us + CRASH_TIME_MARGIN_US;
}

/* Returns whether another subject explains a crash: one with more crashes than this one, or with as
 * many which was served less recently. Requests share the first parts of their prompts more than
 * the later ones, so that of two parts with the same crashes, the innocent one is also served
 * without the other. */
static bool
is_explained_by_other(const GPtrArray *candidates, const struct comet_crash_record *record,
	uint32_t incarnation_key)
{
	uint32_t crashes = comet_crash_record_count(record);

	for (guint i = 0; i < candidates->len; i++)
	{
		const struct comet_crash_record *other = candidates->pdata[i];
		uint32_t other_crashes = comet_crash_record_count(other);
		if (other == record || other_crashes < crashes ||
			(other_crashes == crashes &&
				other->last_served_us >= record->last_served_us))
			continue;
		if (is_shared_crash(other, record, incarnation_key))
			return true;
	}
	return false;
}

static bool
is_explained_elsewhere(const struct comet_crash_tracker *crash_tracker, uint32_t incarnation_key)
{
	return crash_tracker->ops->is_explained != NULL &&
	       crash_tracker->ops->is_explained(crash_tracker->ctx, incarnation_key);
}

static uint32_t
count_unexplained_crashes(const struct comet_crash_tracker *crash_tracker,
	const GPtrArray *candidates, const struct comet_crash_record *record)
{
	uint32_t count = 0;

	for (uint32_t i = 0; i < record->crashed.count; i++)
	{
		uint32_t incarnation_key = record->crashed.incarnations[i];
		if (!comet_incarnation_set_has(&record->excused, incarnation_key) &&
			!is_explained_by_other(candidates, record, incarnation_key) &&
			!is_explained_elsewhere(crash_tracker, incarnation_key))
			count++;
	}
	return count;
}

/* Returns whether a subject has enough crashes to be quarantined if no other one explains them. */
static bool
is_candidate(
	const struct comet_crash_tracker *crash_tracker, const struct comet_crash_record *record)
{
	return comet_crash_record_count(record) >= crash_tracker->rules->crashes &&
	       (record->several_requests || !crash_tracker->rules->several_requests);
}

/* Returns whether a subject was in service when its first process crashed. */
static bool
was_in_service(uint64_t served_us, uint64_t first_crash_us)
{
	return served_us != 0 && first_crash_us < served_us + IN_SERVICE_US;
}

/* Returns whether reports that explain the crashes of a candidate may still be on their way. */
static bool
awaits_reports(const struct comet_crash_record *record, uint64_t now_us)
{
	return was_in_service(record->last_served_us, record->first_crash_us) &&
	       now_us - record->candidate_us < REPORT_DELAY_US;
}

/* Excuses all crashes of a record. @return whether any of them was not excused before */
static bool
excuse_all(struct comet_crash_record *record)
{
	bool changed = false;

	record->first_crash_us = 0;
	record->early = (struct comet_early_crash){0};
	for (uint32_t i = 0; i < record->crashed.count; i++)
		changed = comet_incarnation_set_add(
				  &record->excused, record->crashed.incarnations[i]) ||
			  changed;
	recount(record);
	return changed;
}

static void
set_quarantined(struct comet_crash_tracker *crash_tracker, struct comet_crash_record *record,
	bool quarantined, bool detected_here, uint64_t now_us)
{
	record->quarantined = quarantined;
	record->quarantined_us = now_us;
	record->trials = 0;
	crash_tracker->ops->on_change(crash_tracker->ctx, &record->subject,
		quarantined ? COMET_CRASH_TRACKER_QUARANTINED : COMET_CRASH_TRACKER_RELEASED,
		comet_crash_record_count(record), detected_here);
}

/* Decides again which subjects are quarantined. The result depends on the records alone, so VMs
 * with the same records agree. If the first subject to reach the limit were blamed, a VM that
 * learned of another subject first would blame that one, and both would be released once the VMs
 * exchanged their records. */
static void
update_quarantine(struct comet_crash_tracker *crash_tracker, bool detected_here, uint64_t now_us)
{
	GPtrArray *candidates = g_ptr_array_new();
	GHashTableIter iter;
	gpointer value = NULL;

	crash_tracker->awaits_reports = false;
	g_hash_table_iter_init(&iter, crash_tracker->records);
	while (g_hash_table_iter_next(&iter, NULL, &value))
	{
		struct comet_crash_record *record = value;
		if (!is_candidate(crash_tracker, record))
		{
			record->candidate_us = 0;
			continue;
		}
		if (record->candidate_us == 0)
			record->candidate_us = now_us;
		g_ptr_array_add(candidates, record);
	}
	g_hash_table_iter_init(&iter, crash_tracker->records);
	while (g_hash_table_iter_next(&iter, NULL, &value))
	{
		struct comet_crash_record *record = value;
		bool awaited = record->candidate_us != 0 && !record->quarantined &&
			       awaits_reports(record, now_us);
		crash_tracker->awaits_reports = crash_tracker->awaits_reports || awaited;
		bool quarantined = is_candidate(crash_tracker, record) && !awaited &&
				   count_unexplained_crashes(crash_tracker, candidates, record) >=
					   crash_tracker->rules->crashes;
		if (quarantined == record->quarantined)
			continue;
		set_quarantined(crash_tracker, record, quarantined, detected_here, now_us);
	}
	g_ptr_array_free(candidates, TRUE);
}

/* Returns whether a record is evicted before the other: the one with fewer crashes, then the one
 * whose last crash is older. */
static bool
is_evicted_before(const struct comet_crash_record *one, const struct comet_crash_record *other)
{
	if (comet_crash_record_count(one) != comet_crash_record_count(other))
		return comet_crash_record_count(one) < comet_crash_record_count(other);
	return one->last_crash_us < other->last_crash_us;
}

/* Evicts a record if there is no space for another: one of the same team if that team has reached
 * its limit, else one of any team. */
static void
evict_if_full(struct comet_crash_tracker *crash_tracker, uint32_t team)
{
	struct comet_crash_record *victim = NULL;
	struct comet_crash_record *team_victim = NULL;
	uint32_t team_count = 0;
	GHashTableIter iter;
	gpointer value = NULL;

	g_hash_table_iter_init(&iter, crash_tracker->records);
	while (g_hash_table_iter_next(&iter, NULL, &value))
	{
		struct comet_crash_record *record = value;
		if (victim == NULL || is_evicted_before(record, victim))
			victim = record;
		if (record->subject.team != team)
			continue;
		team_count++;
		if (team_victim == NULL || is_evicted_before(record, team_victim))
			team_victim = record;
	}
	if (team_count >= TEAM_RECORDS_MAX)
		g_hash_table_remove(crash_tracker->records, &team_victim->subject);
	else if (g_hash_table_size(crash_tracker->records) >= RECORDS_MAX)
		g_hash_table_remove(crash_tracker->records, &victim->subject);
}

struct comet_crash_record *
comet_crash_tracker_find_or_add(
	struct comet_crash_tracker *crash_tracker, const struct comet_fingerprint *subject)
{
	struct comet_crash_record *record = comet_crash_tracker_find(crash_tracker, subject);

	if (record == NULL)
	{
		evict_if_full(crash_tracker, subject->team);
		record = g_new0(struct comet_crash_record, 1);
		record->subject = *subject;
		g_hash_table_insert(crash_tracker->records, &record->subject, record);
	}
	return record;
}

static guint
served_index(const struct comet_fingerprint *subject)
{
	return hash_fingerprint(subject) % SERVED_MAX;
}

uint64_t
comet_crash_tracker_served_us(
	const struct comet_crash_tracker *crash_tracker, const struct comet_fingerprint *subject)
{
	const struct served *served = &crash_tracker->served[served_index(subject)];

	return comet_fingerprint_equal(&served->subject, subject) ? served->began_us : 0;
}

/* Counts the crash of a process at this VM. @return whether the record has changed */
static bool
count_crash(struct comet_crash_record *record, uint32_t incarnation_key, uint64_t request_digest)
{
	bool changed = comet_crash_record_add_request(record, request_digest, false);

	comet_incarnation_set_add(&record->own, incarnation_key);
	return comet_incarnation_set_add(&record->crashed, incarnation_key) || changed;
}

/* Counts the early crash of a record if another VM has reported a crash before its attempt was
 * sent. @return whether the record has changed */
static bool
count_early_crash(struct comet_crash_record *record)
{
	const struct comet_early_crash early = record->early;

	if (early.incarnation_key == 0 || early.sent_us <= record->first_crash_us)
		return false;
	record->early = (struct comet_early_crash){0};
	return count_crash(record, early.incarnation_key, early.request_digest);
}

bool
comet_crash_tracker_merge_times(
	struct comet_crash_record *record, uint64_t served_us, uint64_t first_crash_us)
{
	uint64_t before_us = record->first_crash_us;

	record->served_us = MAX(record->served_us, served_us);
	record->last_served_us = MAX(record->last_served_us, served_us);
	if (first_crash_us != 0 && (before_us == 0 || first_crash_us < before_us))
		record->first_crash_us = first_crash_us;
	if (record->first_crash_us != 0 && record->served_us >= record->first_crash_us)
		return excuse_all(record) || before_us != 0;
	bool changed = count_early_crash(record);
	return changed || (record->first_crash_us != 0 && before_us == 0) ||
	       record->first_crash_us + COMET_CRASH_REPORT_MARGIN_US < before_us;
}

/* Reports a changed record and updates the quarantine. */
void
comet_crash_tracker_apply_change(struct comet_crash_tracker *crash_tracker,
	struct comet_crash_record *record, bool detected_here, uint64_t now_us)
{
	recount(record);
	record->changed_us = now_us;
	record->sent = 0;
	record->own_change = detected_here;
	crash_tracker->ops->on_change(crash_tracker->ctx, &record->subject,
		record->first_crash_us == 0 ? COMET_CRASH_TRACKER_EXCUSED
					    : COMET_CRASH_TRACKER_COUNTED,
		comet_crash_record_count(record), detected_here);
	update_quarantine(crash_tracker, detected_here, now_us);
}

/* Notes a request whose attempt crashed with the subject. @return whether that is new */
bool
comet_crash_record_add_request(
	struct comet_crash_record *record, uint64_t request_digest, bool several_requests)
{
	bool known = record->several_requests;

	if (record->request_digest == 0)
		record->request_digest = request_digest;
	record->several_requests =
		known || several_requests ||
		(request_digest != 0 && request_digest != record->request_digest);
	return record->several_requests != known;
}

/* Records the crash of a process against a subject. A subject that was served since gets no record:
 * one that is served all the time runs on every endpoint that crashes, and its records would delay
 * those of others in gossip. */
static void
add_crash(struct comet_crash_tracker *crash_tracker, const struct comet_crash_suspect *suspect,
	uint32_t incarnation_key, uint64_t now_us)
{
	uint64_t served_us = comet_crash_tracker_served_us(crash_tracker, &suspect->subject);

	if (served_us >= suspect->ended_us)
		return;
	struct comet_crash_record *record =
		comet_crash_tracker_find_or_add(crash_tracker, &suspect->subject);
	if (record->served_us >= suspect->ended_us)
		return;
	bool changed = comet_crash_tracker_merge_times(record, served_us, suspect->ended_us);
	if (!was_in_service(record->last_served_us, record->first_crash_us) ||
		suspect->sent_us > record->first_crash_us)
		changed = count_crash(record, incarnation_key, suspect->request_digest) || changed;
	else
		record->early = (struct comet_early_crash){
			incarnation_key, suspect->sent_us, suspect->request_digest};
	record->last_crash_us = now_us;
	if (changed)
		comet_crash_tracker_apply_change(crash_tracker, record, true, now_us);
}

bool
comet_crash_tracker_is_quarantined(
	struct comet_crash_tracker *crash_tracker, const struct comet_fingerprint *subject)
{
	const struct comet_crash_record *record = comet_crash_tracker_find(crash_tracker, subject);

	return record != NULL && record->quarantined;
}

bool
comet_crash_tracker_is_undecided(struct comet_crash_tracker *crash_tracker,
	const struct comet_fingerprint *subject, uint64_t now_us)
{
	const struct comet_crash_record *record = comet_crash_tracker_find(crash_tracker, subject);
	const struct comet_crash_suspects *suspects = crash_tracker->crash_suspects;
	uint32_t count = record != NULL ? comet_crash_record_count(record) : 0;

	/* A part whose requests all end without a response is held back before the first crash is
	 * known: endpoints that turn silent stay listed for seconds. */
	if (!crash_tracker->rules->several_requests && count == 0)
		return false;
	uint64_t served_us = MAX(comet_crash_tracker_served_us(crash_tracker, subject),
		record != NULL ? record->served_us : 0);
	uint64_t first_us = comet_crash_suspects_first_us(suspects, subject, served_us, now_us);
	if (record != NULL && record->first_crash_us != 0)
		first_us = first_us != 0 ? MIN(first_us, record->first_crash_us)
					 : record->first_crash_us;
	uint64_t sent_after_us = was_in_service(served_us, first_us) ? first_us : 0;
	return count + comet_crash_suspects_count_subject(
			       suspects, subject, sent_after_us, served_us, now_us) >=
	       crash_tracker->rules->crashes;
}

bool
comet_crash_tracker_explains(
	const struct comet_crash_tracker *crash_tracker, uint32_t incarnation_key)
{
	GHashTableIter iter;
	gpointer value = NULL;

	g_hash_table_iter_init(&iter, crash_tracker->records);
	while (g_hash_table_iter_next(&iter, NULL, &value))
	{
		const struct comet_crash_record *record = value;
		if (record->quarantined &&
			comet_incarnation_set_has(&record->crashed, incarnation_key) &&
			!comet_incarnation_set_has(&record->excused, incarnation_key))
			return true;
	}
	return false;
}

void
comet_crash_tracker_review(struct comet_crash_tracker *crash_tracker, uint64_t now_us)
{
	update_quarantine(crash_tracker, false, now_us);
}

void
comet_crash_tracker_add_suspect(struct comet_crash_tracker *crash_tracker,
	const struct comet_crash_attempt *attempt, uint64_t now_us)
{
	const struct comet_crash_suspect suspect = {attempt->subject, attempt->request_digest,
		attempt->sent_us, attempt->began_us, now_us};

	if (comet_crash_suspects_has_crashed(
		    crash_tracker->crash_suspects, attempt->incarnation_key, attempt->last_seen_us))
		add_crash(crash_tracker, &suspect, attempt->incarnation_key, now_us);
	else
		comet_crash_suspects_add(crash_tracker->crash_suspects, attempt, now_us);
}

void
comet_crash_tracker_process_crashed(struct comet_crash_tracker *crash_tracker,
	uint32_t incarnation_key, uint64_t last_seen_us, uint64_t now_us)
{
	GList *suspects = comet_crash_suspects_process_crashed(
		crash_tracker->crash_suspects, incarnation_key, last_seen_us, now_us);

	for (GList *link = suspects; link != NULL; link = link->next)
		add_crash(crash_tracker, link->data, incarnation_key, now_us);
	g_list_free_full(suspects, g_free);
}

void
comet_crash_tracker_process_exited(
	struct comet_crash_tracker *crash_tracker, uint32_t incarnation_key)
{
	comet_crash_suspects_forget(crash_tracker->crash_suspects, incarnation_key);
}

void
comet_crash_tracker_mark_served(struct comet_crash_tracker *crash_tracker,
	const struct comet_fingerprint *subject, uint64_t began_us, uint64_t now_us)
{
	struct comet_crash_record *record = comet_crash_tracker_find(crash_tracker, subject);
	struct served *served = &crash_tracker->served[served_index(subject)];

	if (!comet_fingerprint_equal(&served->subject, subject))
		*served = (struct served){.subject = *subject};
	served->began_us = MAX(served->began_us, began_us);
	if (record != NULL && comet_crash_tracker_merge_times(record, began_us, 0))
		comet_crash_tracker_apply_change(crash_tracker, record, true, now_us);
}

/* Without this, a subject whose responses all end with their connections would count as never
 * served, and be blamed for endpoints that crash by themselves. */
static void
mark_proven_served(struct comet_crash_tracker *crash_tracker, uint64_t now_us)
{
	if (crash_tracker->ops->last_seen_us == NULL)
		return;
	GList *proven = comet_crash_suspects_take_proven(crash_tracker->crash_suspects,
		crash_tracker->ops->last_seen_us, crash_tracker->ctx, now_us);
	for (GList *link = proven; link != NULL; link = link->next)
	{
		const struct comet_crash_suspect *suspect = link->data;
		comet_crash_tracker_mark_served(
			crash_tracker, &suspect->subject, suspect->began_us, now_us);
	}
	g_list_free_full(proven, g_free);
}

void
comet_crash_tracker_tick(struct comet_crash_tracker *crash_tracker, uint64_t now_us)
{
	GHashTableIter iter;
	gpointer value = NULL;

	if (now_us - crash_tracker->last_tick_us < TICK_US)
		return;
	crash_tracker->last_tick_us = now_us;
	mark_proven_served(crash_tracker, now_us);
	comet_crash_suspects_tick(crash_tracker->crash_suspects, now_us);
	if (crash_tracker->awaits_reports)
		update_quarantine(crash_tracker, false, now_us);
	g_hash_table_iter_init(&iter, crash_tracker->records);
	while (g_hash_table_iter_next(&iter, NULL, &value))
	{
		const struct comet_crash_record *record = value;
		if (now_us - record->last_crash_us > COMET_CRASH_RECORD_LIFETIME_US ||
			(comet_crash_record_count(record) == 0 &&
				now_us - record->changed_us > COMET_CRASH_EXCUSED_LIFETIME_US))
			g_hash_table_iter_remove(&iter);
	}
}

struct comet_crash_tracker_counts
comet_crash_tracker_count(const struct comet_crash_tracker *crash_tracker)
{
	struct comet_crash_tracker_counts counts = {
		.records = g_hash_table_size(crash_tracker->records),
		.crash_suspects = comet_crash_suspects_count(crash_tracker->crash_suspects),
	};
	GHashTableIter iter;
	gpointer value = NULL;

	g_hash_table_iter_init(&iter, crash_tracker->records);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		counts.quarantined +=
			((const struct comet_crash_record *)value)->quarantined ? 1 : 0;
	return counts;
}
