/*
 * crash_tracker.c
 * requests, or parts of prompts, that crash endpoint processes, as seen by this VM and by its peers
 */
#include <libcometspindle/gateway/admission/crash_tracker.h>

#include <glib.h>
#include <libcometspindle/gateway/admission/incarnation_set.h>
#include <libcometspindle/gateway/admission/crash_suspects.h>
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

/* A subject that was served within this time is not blamed for a crash: a subject that many callers
 * send is running on any endpoint that fails. An engine that starts to crash under a subject it
 * served before is detected this much later. */
#define RECENTLY_SERVED_US 30000000

/* Slots of the table of served subjects; a power of two. At 20 requests per second it covers three
 * minutes of them, and more of the parts that they share. */
#define SERVED_MAX 4096

/* Ratio of two intervals between trials of a quarantined subject: each trial of a subject that
 * crashes endpoints costs one of them. */
#define TRIAL_FACTOR 3

/* Records without a crash that counts are dropped after this time; until then they tell other VMs
 * of the excuse. Their sets may be full, and would hide new crashes. */
#define EXCUSED_LIFETIME_US 60000000

/* Time after the last crash for which a record is kept. A repaired engine is deployed by then, and
 * a subject that was quarantined by mistake can be served again. */
#define RECORD_LIFETIME_US 3600000000

/* Records of one team, and of all teams: 4096 records take 0.6 MB. No team evicts the records of
 * another before 64 teams have reached their limit. */
#define TEAM_RECORDS_MAX 64
#define RECORDS_MAX 4096

/* Interval of the search for expired entries; their lifetimes are seconds and longer. */
#define TICK_US 1000000

/* Messages that contain a crash which this VM has counted itself before others take their turn: one
 * may be lost. */
#define OWN_CHANGE_MESSAGES 2

/* Time after a change for which a record is sent first in each gossip message: messages are at most
 * two seconds apart, and one may be lost. */
#define NEW_RECORD_US 5000000

/* What is known of a subject. */
struct record
{
	struct comet_fingerprint subject;
	struct comet_incarnation_set crashed;
	struct comet_incarnation_set excused; /* crashes that the subject did not cause */
	struct comet_incarnation_set own;     /* crashes that this VM counted itself */
	uint64_t request_digest;              /* of the first request that crashed */
	uint64_t last_crash_us;
	uint64_t changed_us;
	uint32_t crashes; /* that are not excused; kept, since all records are compared */
	uint32_t sent;    /* messages that contained the record since it changed */
	bool own_change;  /* its last change was detected here */
	uint64_t quarantined_us;
	uint32_t trials;       /* intervals of trials that are over or used at this VM */
	bool several_requests; /* another request has crashed as well */
	bool quarantined;
};

/* A subject that was served. */
struct served
{
	struct comet_fingerprint subject;
	uint64_t at_us; /* 0: the slot is empty */
};

struct comet_crash_tracker
{
	const struct comet_crash_tracker_rules *rules;
	const struct comet_crash_tracker_ops *ops;
	void *ctx;
	GHashTable *records; /* fingerprint -> struct record */
	struct comet_crash_suspects *crash_suspects;
	uint64_t last_tick_us;
	uint32_t new_position; /* where the next message continues among the records that are new */
	uint32_t old_position; /* and among the others */
	struct served served[SERVED_MAX];
};

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

static struct record *
find_record(
	const struct comet_crash_tracker *crash_tracker, const struct comet_fingerprint *subject)
{
	return g_hash_table_lookup(crash_tracker->records, subject);
}

/* Crashes that are not excused, before those explained by other subjects are subtracted. */
static uint32_t
count_crashes(const struct record *record)
{
	return record->crashes;
}

static void
recount(struct record *record)
{
	record->crashes = 0;
	for (uint32_t i = 0; i < record->crashed.count; i++)
		record->crashes +=
			comet_incarnation_set_has(&record->excused, record->crashed.incarnations[i])
				? 0
				: 1;
}

/* Returns whether another subject, with more crashes than this one, explains a crash. */
static bool
is_explained_by_other(
	const GPtrArray *candidates, const struct record *record, uint32_t incarnation_key)
{
	uint32_t crashes = count_crashes(record);

	for (guint i = 0; i < candidates->len; i++)
	{
		const struct record *other = candidates->pdata[i];
		if (other != record && count_crashes(other) > crashes &&
			comet_incarnation_set_has(&other->crashed, incarnation_key) &&
			!comet_incarnation_set_has(&other->excused, incarnation_key))
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
	const GPtrArray *candidates, const struct record *record)
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
is_candidate(const struct comet_crash_tracker *crash_tracker, const struct record *record)
{
	return count_crashes(record) >= crash_tracker->rules->crashes &&
	       (record->several_requests || !crash_tracker->rules->several_requests);
}

static void
set_quarantined(struct comet_crash_tracker *crash_tracker, struct record *record, bool quarantined,
	bool detected_here, uint64_t now_us)
{
	record->quarantined = quarantined;
	record->quarantined_us = now_us;
	record->trials = 0;
	crash_tracker->ops->on_change(crash_tracker->ctx, &record->subject,
		quarantined ? COMET_CRASH_TRACKER_QUARANTINED : COMET_CRASH_TRACKER_RELEASED,
		count_crashes(record), detected_here);
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

	g_hash_table_iter_init(&iter, crash_tracker->records);
	while (g_hash_table_iter_next(&iter, NULL, &value))
	{
		if (is_candidate(crash_tracker, value))
			g_ptr_array_add(candidates, value);
	}
	g_hash_table_iter_init(&iter, crash_tracker->records);
	while (g_hash_table_iter_next(&iter, NULL, &value))
	{
		struct record *record = value;
		bool quarantined = is_candidate(crash_tracker, record) &&
				   count_unexplained_crashes(crash_tracker, candidates, record) >=
					   crash_tracker->rules->crashes;
		if (quarantined != record->quarantined)
			set_quarantined(crash_tracker, record, quarantined, detected_here, now_us);
	}
	g_ptr_array_free(candidates, TRUE);
}

/* Returns whether a record is evicted before the other: the one with fewer crashes, then the one
 * whose last crash is older. */
static bool
is_evicted_before(const struct record *one, const struct record *other)
{
	if (count_crashes(one) != count_crashes(other))
		return count_crashes(one) < count_crashes(other);
	return one->last_crash_us < other->last_crash_us;
}

/* Evicts a record if there is no space for another: one of the same team if that team has reached
 * its limit, else one of any team. */
static void
evict_if_full(struct comet_crash_tracker *crash_tracker, uint32_t team)
{
	struct record *victim = NULL;
	struct record *team_victim = NULL;
	uint32_t team_count = 0;
	GHashTableIter iter;
	gpointer value = NULL;

	g_hash_table_iter_init(&iter, crash_tracker->records);
	while (g_hash_table_iter_next(&iter, NULL, &value))
	{
		struct record *record = value;
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

static struct record *
find_or_add_record(
	struct comet_crash_tracker *crash_tracker, const struct comet_fingerprint *subject)
{
	struct record *record = find_record(crash_tracker, subject);

	if (record == NULL)
	{
		evict_if_full(crash_tracker, subject->team);
		record = g_new0(struct record, 1);
		record->subject = *subject;
		g_hash_table_insert(crash_tracker->records, &record->subject, record);
	}
	return record;
}

/* Excuses all crashes of a record. @return whether any of them was not excused before */
static bool
excuse_all(struct record *record)
{
	bool changed = false;

	for (uint32_t i = 0; i < record->crashed.count; i++)
		changed = comet_incarnation_set_add(
				  &record->excused, record->crashed.incarnations[i]) ||
			  changed;
	recount(record);
	return changed;
}

static struct served *
served_slot(struct comet_crash_tracker *crash_tracker, const struct comet_fingerprint *subject)
{
	return &crash_tracker->served[hash_fingerprint(subject) % SERVED_MAX];
}

static bool
was_recently_served(struct comet_crash_tracker *crash_tracker,
	const struct comet_fingerprint *subject, uint64_t now_us)
{
	const struct served *served = served_slot(crash_tracker, subject);

	return served->at_us != 0 && now_us - served->at_us < RECENTLY_SERVED_US &&
	       comet_fingerprint_equal(&served->subject, subject);
}

/* Reports a changed record and updates the quarantine. */
static void
apply_change(struct comet_crash_tracker *crash_tracker, struct record *record, bool detected_here,
	uint64_t now_us)
{
	recount(record);
	record->changed_us = now_us;
	record->sent = 0;
	record->own_change = detected_here;
	if (was_recently_served(crash_tracker, &record->subject, now_us) && excuse_all(record))
		crash_tracker->ops->on_change(
			crash_tracker->ctx, &record->subject, COMET_CRASH_TRACKER_EXCUSED, 0, true);
	else
		crash_tracker->ops->on_change(crash_tracker->ctx, &record->subject,
			COMET_CRASH_TRACKER_COUNTED, count_crashes(record), detected_here);
	update_quarantine(crash_tracker, detected_here, now_us);
}

/* Notes a request whose attempt crashed with the subject. @return whether that is news */
static bool
add_request(struct record *record, uint64_t request_digest, bool several_requests)
{
	bool known = record->several_requests;

	if (record->request_digest == 0)
		record->request_digest = request_digest;
	record->several_requests =
		known || several_requests ||
		(request_digest != 0 && request_digest != record->request_digest);
	return record->several_requests != known;
}

/* Returns whether no crash is recorded for a subject. A part that is served all the time runs on
 * every endpoint that crashes; its records would delay those of others in gossip. */
static bool
is_beyond_suspicion(struct comet_crash_tracker *crash_tracker,
	const struct comet_fingerprint *subject, uint64_t now_us)
{
	return crash_tracker->rules->several_requests &&
	       was_recently_served(crash_tracker, subject, now_us);
}

/* Counts the crash of a process against a subject. */
static void
add_crash(struct comet_crash_tracker *crash_tracker, const struct comet_crash_suspect *suspect,
	uint32_t incarnation_key, uint64_t now_us)
{
	if (is_beyond_suspicion(crash_tracker, &suspect->subject, now_us))
		return;
	struct record *record = find_or_add_record(crash_tracker, &suspect->subject);
	bool changed = add_request(record, suspect->request_digest, false);
	comet_incarnation_set_add(&record->own, incarnation_key);
	if (!comet_incarnation_set_add(&record->crashed, incarnation_key) && !changed)
		return;
	record->last_crash_us = now_us;
	apply_change(crash_tracker, record, true, now_us);
}

bool
comet_crash_tracker_is_quarantined(
	struct comet_crash_tracker *crash_tracker, const struct comet_fingerprint *subject)
{
	const struct record *record = find_record(crash_tracker, subject);

	return record != NULL && record->quarantined;
}

bool
comet_crash_tracker_is_undecided(struct comet_crash_tracker *crash_tracker,
	const struct comet_fingerprint *subject, uint64_t now_us)
{
	const struct record *record = find_record(crash_tracker, subject);
	uint32_t count = record != NULL ? count_crashes(record) : 0;

	/* A part whose requests all end without a response is held back before the first crash is
	 * known: endpoints that turn silent stay listed for seconds. */
	if (crash_tracker->rules->several_requests
			? was_recently_served(crash_tracker, subject, now_us)
			: count == 0)
		return false;
	return count + comet_crash_suspects_count_subject(
			       crash_tracker->crash_suspects, subject, now_us) >=
	       crash_tracker->rules->crashes;
}

/* Returns the interval of trials that a time in quarantine falls into; 0: it is too early. Each one
 * is TRIAL_FACTOR times as long as the one before. */
static uint32_t
trial_interval(const struct comet_crash_tracker *crash_tracker, uint64_t quarantine_us)
{
	uint32_t interval = 0;
	uint64_t begin_us = crash_tracker->rules->trial_us;

	while (begin_us > 0 && quarantine_us >= begin_us)
	{
		begin_us *= TRIAL_FACTOR;
		interval++;
	}
	return interval;
}

/* Returns whether this VM has the trial of an interval. It belongs to the VM that counted one of
 * the crashes itself, in the order of incarnations, on which all VMs agree: so the fleet has one
 * trial in each interval, at a VM that gets such requests. If that VM has failed, the trial of the
 * next interval is another's. */
static bool
is_own_trial(const struct record *record, uint32_t interval)
{
	struct comet_incarnation_set left = record->crashed;
	uint32_t place = (interval - 1) % MAX(left.count, 1);
	uint32_t smallest = 0;

	for (uint32_t i = 0; i <= place && left.count > 0; i++)
	{
		uint32_t at = 0;
		for (uint32_t j = 1; j < left.count; j++)
			at = left.incarnations[j] < left.incarnations[at] ? j : at;
		smallest = left.incarnations[at];
		left.incarnations[at] = left.incarnations[--left.count];
	}
	return comet_incarnation_set_has(&record->own, smallest);
}

bool
comet_crash_tracker_has_trial(struct comet_crash_tracker *crash_tracker,
	const struct comet_fingerprint *subject, uint64_t now_us)
{
	const struct record *record = find_record(crash_tracker, subject);

	if (record == NULL || !record->quarantined)
		return false;
	uint32_t interval = trial_interval(crash_tracker, now_us - record->quarantined_us);
	return interval > record->trials && is_own_trial(record, interval);
}

void
comet_crash_tracker_take_trial(struct comet_crash_tracker *crash_tracker,
	const struct comet_fingerprint *subject, uint64_t now_us)
{
	struct record *record = find_record(crash_tracker, subject);

	if (record != NULL && record->quarantined)
		record->trials = trial_interval(crash_tracker, now_us - record->quarantined_us);
}

void
comet_crash_tracker_return_trial(
	struct comet_crash_tracker *crash_tracker, const struct comet_fingerprint *subject)
{
	struct record *record = find_record(crash_tracker, subject);

	if (record != NULL && record->trials > 0)
		record->trials--;
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
		const struct record *record = value;
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
	const struct comet_crash_suspect suspect = {attempt->subject, attempt->request_digest};

	if (is_beyond_suspicion(crash_tracker, &attempt->subject, now_us))
		return;
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
	const struct comet_fingerprint *subject, uint64_t now_us)
{
	struct record *record = find_record(crash_tracker, subject);

	*served_slot(crash_tracker, subject) =
		(struct served){.subject = *subject, .at_us = now_us};
	if (record == NULL || !excuse_all(record))
		return;
	record->changed_us = now_us;
	record->sent = 0;
	crash_tracker->ops->on_change(
		crash_tracker->ctx, subject, COMET_CRASH_TRACKER_EXCUSED, 0, true);
	update_quarantine(crash_tracker, true, now_us);
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
		comet_crash_tracker_mark_served(crash_tracker,
			&((const struct comet_crash_suspect *)link->data)->subject, now_us);
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
	g_hash_table_iter_init(&iter, crash_tracker->records);
	while (g_hash_table_iter_next(&iter, NULL, &value))
	{
		const struct record *record = value;
		if (now_us - record->last_crash_us > RECORD_LIFETIME_US ||
			(count_crashes(record) == 0 &&
				now_us - record->changed_us > EXCUSED_LIFETIME_US))
			g_hash_table_iter_remove(&iter);
	}
}

static void
encode_set(const struct comet_incarnation_set *set, uint32_t *lives, pb_size_t *count)
{
	memcpy(lives, set->incarnations, set->count * sizeof set->incarnations[0]);
	*count = (pb_size_t)set->count;
}

static void
encode_record(const struct comet_crash_tracker *crash_tracker, const struct record *record,
	comet_Crashed *out, uint64_t now_us)
{
	memset(out, 0, sizeof *out);
	out->digest = record->subject.digest;
	out->team = record->subject.team;
	if (crash_tracker->rules->several_requests)
	{
		out->request = record->request_digest;
		out->several_requests = record->several_requests;
	}
	encode_set(&record->crashed, out->lives, &out->lives_count);
	encode_set(&record->excused, out->excused, &out->excused_count);
	out->age_ms = (uint32_t)((now_us - record->last_crash_us) / 1000);
}

static bool
is_new(const struct record *record, uint64_t now_us)
{
	return now_us - record->changed_us < NEW_RECORD_US;
}

/* Returns the next record that is new, or not, after those that the last messages contained; NULL
 * if all were sent. */
static const struct record *
find_next(const struct comet_crash_tracker *crash_tracker, uint32_t position,
	struct record *const except[2], bool only_new, uint64_t now_us)
{
	uint32_t index = 0;
	GHashTableIter iter;
	gpointer value = NULL;

	g_hash_table_iter_init(&iter, crash_tracker->records);
	while (g_hash_table_iter_next(&iter, NULL, &value))
	{
		const struct record *record = value;
		if (record != except[0] && record != except[1] &&
			is_new(record, now_us) == only_new && index++ >= position)
			return record;
	}
	return NULL;
}

/* Encodes records that are new, or the others. Each call continues where the last one stopped, so
 * that a team whose requests crash many endpoints does not delay the records of other teams. */
static size_t
encode_some(struct comet_crash_tracker *crash_tracker, comet_Crashed *records, size_t max_records,
	struct record *const except[2], bool only_new, uint64_t now_us)
{
	uint32_t *position = only_new ? &crash_tracker->new_position : &crash_tracker->old_position;
	size_t count = 0;

	while (count < max_records)
	{
		const struct record *record =
			find_next(crash_tracker, *position, except, only_new, now_us);
		if (record == NULL && (*position == 0 || count > 0))
			break;
		if (record == NULL)
		{
			*position = 0; /* from the first one on again */
			continue;
		}
		encode_record(crash_tracker, record, &records[count++], now_us);
		++*position;
	}
	if (count < max_records)
		*position = 0;
	return count;
}

/* Returns the new record to send before the others, or NULL. Two kinds must reach the other VMs
 * before the subject crashes more endpoints: records with several crashes, and crashes that only
 * this VM has counted, of which each VM may have one. Of either kind the one that was sent least
 * since it changed goes first, then the one with the most crashes, so that several such subjects
 * take turns. */
static struct record *
find_urgent(const struct comet_crash_tracker *crash_tracker, const struct record *except,
	bool own_change, uint64_t now_us)
{
	struct record *found = NULL;
	uint32_t found_crashes = 0;
	GHashTableIter iter;
	gpointer value = NULL;

	g_hash_table_iter_init(&iter, crash_tracker->records);
	while (g_hash_table_iter_next(&iter, NULL, &value))
	{
		struct record *record = value;
		if (record == except || !is_new(record, now_us) ||
			(own_change &&
				(!record->own_change || record->sent >= OWN_CHANGE_MESSAGES)))
			continue;
		uint32_t crashes = count_crashes(record);
		if (crashes < (own_change ? 1 : 2) ||
			(found != NULL &&
				(record->sent > found->sent ||
					(record->sent == found->sent && crashes <= found_crashes))))
			continue;
		found = record;
		found_crashes = crashes;
	}
	return found;
}

size_t
comet_crash_tracker_encode(struct comet_crash_tracker *crash_tracker, comet_Crashed *records,
	size_t max_records, uint64_t now_us)
{
	struct record *urgent[2] = {NULL, NULL};
	size_t count = 0;

	urgent[0] = find_urgent(crash_tracker, NULL, false, now_us);
	urgent[1] = find_urgent(crash_tracker, urgent[0], true, now_us);
	for (size_t i = 0; i < G_N_ELEMENTS(urgent) && count + 1 < max_records; i++)
	{
		if (urgent[i] == NULL)
			continue;
		urgent[i]->sent++;
		encode_record(crash_tracker, urgent[i], &records[count++], now_us);
	}
	count += encode_some(
		crash_tracker, records + count, max_records - 1 - count, urgent, true, now_us);
	return count + encode_some(crash_tracker, records + count, max_records - count, urgent,
			       false, now_us);
}

/* Returns whether all crashes of a reported record are excused. */
static bool
is_excused(const comet_Crashed *reported)
{
	struct comet_incarnation_set excused = {.count = reported->excused_count};

	memcpy(excused.incarnations, reported->excused,
		reported->excused_count * sizeof reported->excused[0]);
	for (pb_size_t i = 0; i < reported->lives_count; i++)
	{
		if (!comet_incarnation_set_has(&excused, reported->lives[i]))
			return false;
	}
	return true;
}

void
comet_crash_tracker_merge(
	struct comet_crash_tracker *crash_tracker, const comet_Crashed *reported, uint64_t now_us)
{
	const struct comet_fingerprint subject = {
		.digest = reported->digest, .team = reported->team};
	uint64_t age_us = (uint64_t)reported->age_ms * 1000;
	bool changed = false;

	if (reported->lives_count == 0 || age_us > RECORD_LIFETIME_US ||
		(find_record(crash_tracker, &subject) == NULL && is_excused(reported)))
		return;
	struct record *record = find_or_add_record(crash_tracker, &subject);
	changed = add_request(record, reported->request, reported->several_requests);
	for (pb_size_t i = 0; i < reported->lives_count; i++)
		changed =
			comet_incarnation_set_add(&record->crashed, reported->lives[i]) || changed;
	for (pb_size_t i = 0; i < reported->excused_count; i++)
		changed = comet_incarnation_set_add(&record->excused, reported->excused[i]) ||
			  changed;
	/* The time of the last crash stays unchanged as well: peers that report the record to each
	 * other would make it younger each time. */
	if (!changed)
		return;
	record->last_crash_us = MAX(record->last_crash_us, now_us - MIN(age_us, now_us));
	apply_change(crash_tracker, record, false, now_us);
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
		counts.quarantined += ((const struct record *)value)->quarantined ? 1 : 0;
	return counts;
}
