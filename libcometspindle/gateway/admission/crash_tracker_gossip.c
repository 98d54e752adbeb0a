/*
 * crash_tracker_gossip.c
 * encodes the records of the crash tracker for other VMs, and merges theirs
 */
#include <libcometspindle/gateway/admission/crash_tracker_private.h>

#include <string.h>

/* Messages that contain a crash which this VM has counted itself before others take their turn: one
 * may be lost. */
#define OWN_CHANGE_MESSAGES 2

/* Time after a change for which a record is sent first in each gossip message: messages are at most
 * two seconds apart, and one may be lost. */
#define NEW_RECORD_US 5000000

static void
encode_set(const struct comet_incarnation_set *set, uint32_t *lives, pb_size_t *count)
{
	memcpy(lives, set->incarnations, set->count * sizeof set->incarnations[0]);
	*count = (pb_size_t)set->count;
}

/* Encodes a time as its age in milliseconds, plus one; 0: not known. */
static uint32_t
encode_time(uint64_t at_us, uint64_t now_us)
{
	return at_us == 0 ? 0 : (uint32_t)MIN((now_us - at_us) / 1000 + 1, UINT32_MAX);
}

static uint64_t
decode_time(uint32_t age_ms, uint64_t now_us)
{
	uint64_t age_us = ((uint64_t)age_ms - 1) * 1000;

	return age_ms == 0 || age_us >= now_us ? 0 : now_us - age_us;
}

static void
encode_record(const struct comet_crash_tracker *crash_tracker,
	const struct comet_crash_record *record, comet_Crashed *out, uint64_t now_us)
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
	/* Only the VM's own responses: with each VM that passes a time on, it would become later.
	 */
	out->served_ms =
		encode_time(comet_crash_tracker_served_us(crash_tracker, &record->subject), now_us);
	out->first_crash_ms = encode_time(record->first_crash_us, now_us);
}

static bool
is_new(const struct comet_crash_record *record, uint64_t now_us)
{
	return now_us - record->changed_us < NEW_RECORD_US;
}

/* Returns the next record that is new, or not, after those that the last messages contained; NULL
 * if all were sent. */
static const struct comet_crash_record *
find_next(const struct comet_crash_tracker *crash_tracker, uint32_t position,
	struct comet_crash_record *const except[2], bool only_new, uint64_t now_us)
{
	uint32_t index = 0;
	GHashTableIter iter;
	gpointer value = NULL;

	g_hash_table_iter_init(&iter, crash_tracker->records);
	while (g_hash_table_iter_next(&iter, NULL, &value))
	{
		const struct comet_crash_record *record = value;
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
	struct comet_crash_record *const except[2], bool only_new, uint64_t now_us)
{
	uint32_t *position = only_new ? &crash_tracker->new_position : &crash_tracker->old_position;
	size_t count = 0;

	while (count < max_records)
	{
		const struct comet_crash_record *record =
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
static struct comet_crash_record *
find_urgent(const struct comet_crash_tracker *crash_tracker,
	const struct comet_crash_record *except, bool own_change, uint64_t now_us)
{
	struct comet_crash_record *found = NULL;
	uint32_t found_crashes = 0;
	GHashTableIter iter;
	gpointer value = NULL;

	g_hash_table_iter_init(&iter, crash_tracker->records);
	while (g_hash_table_iter_next(&iter, NULL, &value))
	{
		struct comet_crash_record *record = value;
		if (record == except || !is_new(record, now_us) ||
			(own_change &&
				(!record->own_change || record->sent >= OWN_CHANGE_MESSAGES)))
			continue;
		uint32_t crashes = comet_crash_record_count(record);
		if ((own_change ? record->first_crash_us == 0 : crashes < 2) ||
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
	struct comet_crash_record *urgent[2] = {NULL, NULL};
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
	uint64_t first_crash_us = decode_time(reported->first_crash_ms, now_us);
	uint64_t reported_us = decode_time(reported->served_ms, now_us);
	/* A delayed message makes the response appear to be later than the first crash. */
	uint64_t served_us = reported_us - MIN(reported_us, COMET_CRASH_REPORT_MARGIN_US);
	bool changed = false;

	/* VMs of earlier releases do not report the first crash. */
	if (first_crash_us == 0 && !is_excused(reported))
		first_crash_us = now_us - MIN(age_us, now_us);
	if (age_us > COMET_CRASH_RECORD_LIFETIME_US ||
		(comet_crash_tracker_find(crash_tracker, &subject) == NULL &&
			is_excused(reported) &&
			(first_crash_us == 0 ||
				now_us - first_crash_us > COMET_CRASH_EXCUSED_LIFETIME_US)))
		return;
	struct comet_crash_record *record =
		comet_crash_tracker_find_or_add(crash_tracker, &subject);
	changed = comet_crash_record_add_request(
		record, reported->request, reported->several_requests);
	uint64_t own_served_us = comet_crash_tracker_served_us(crash_tracker, &subject);
	/* The sender does not know yet that the subject was served after its first crash. Crashes
	 * that only such a report names are excused; those known here are of a later time. */
	bool superseded = first_crash_us != 0 &&
			  first_crash_us <= MAX(MAX(record->served_us, served_us), own_served_us);
	bool excused_here = false;
	for (pb_size_t i = 0; i < reported->lives_count; i++)
	{
		if (!comet_incarnation_set_add(&record->crashed, reported->lives[i]))
			continue;
		changed = true;
		if (superseded)
			excused_here =
				comet_incarnation_set_add(&record->excused, reported->lives[i]) ||
				excused_here;
	}
	for (pb_size_t i = 0; i < reported->excused_count; i++)
		changed = comet_incarnation_set_add(&record->excused, reported->excused[i]) ||
			  changed;
	record->last_served_us = MAX(record->last_served_us, reported_us);
	changed = comet_crash_tracker_merge_times(
			  record, served_us, superseded ? 0 : first_crash_us) ||
		  changed;
	excused_here = comet_crash_tracker_merge_times(record, own_served_us, 0) || excused_here;
	/* The time of the last crash stays unchanged as well: peers that report the record to each
	 * other would make it younger each time. */
	if (!changed && !excused_here)
		return;
	record->last_crash_us = MAX(record->last_crash_us, now_us - MIN(age_us, now_us));
	comet_crash_tracker_apply_change(crash_tracker, record, excused_here, now_us);
}
