/*
 * crash_tracker_private.h
 * records of the crash tracker, shared by its source files
 */
#ifndef COMETSPINDLE_GATEWAY_CRASH_TRACKER_PRIVATE_H
#define COMETSPINDLE_GATEWAY_CRASH_TRACKER_PRIVATE_H

#include <glib.h>
#include <libcometspindle/gateway/admission/crash_suspects.h>
#include <libcometspindle/gateway/admission/crash_tracker.h>
#include <libcometspindle/gateway/admission/incarnation_set.h>

/* Slots of the table of served subjects; a power of two. At 20 requests per second it covers three
 * minutes of them, and more of the parts that they share. */
#define SERVED_MAX 4096

/* Time after the last crash for which a record is kept. A repaired engine is deployed by then, and
 * a subject that was quarantined by mistake can be served again. */
#define COMET_CRASH_RECORD_LIFETIME_US 3600000000

/* Time after which records without a crash that counts are dropped; until then they report the
 * excuse to other VMs. Their sets may be full, and would hide new crashes. */
#define COMET_CRASH_EXCUSED_LIFETIME_US 60000000

/* Bound on the delay of most reports of other VMs, which makes the times that they state later. */
#define COMET_CRASH_REPORT_MARGIN_US 500000

/* A crash that counts only if its attempt was sent after the first crash of the subject. */
struct comet_early_crash
{
	uint32_t incarnation_key; /* 0: there is none */
	uint64_t sent_us;
	uint64_t request_digest;
};

/* What is known of a subject. */
struct comet_crash_record
{
	struct comet_fingerprint subject;
	struct comet_incarnation_set crashed;
	struct comet_incarnation_set excused; /* crashes that the subject did not cause */
	struct comet_incarnation_set own;     /* crashes that this VM counted itself */
	uint64_t request_digest;              /* of the first request that crashed */
	uint64_t last_served_us; /* when its newest known successful response began; 0: none */
	uint64_t served_us;      /* a lower bound of it, less the delay of reports */
	uint64_t first_crash_us; /* since that response; 0: none */
	uint64_t last_crash_us;
	uint64_t candidate_us; /* since when it has enough crashes to be quarantined; 0: it has not
				*/
	uint64_t changed_us;
	struct comet_early_crash early; /* the last own one that does not count */
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
	uint64_t began_us; /* when the newest response began; 0: the slot is empty */
};

struct comet_crash_tracker
{
	const struct comet_crash_tracker_rules *rules;
	const struct comet_crash_tracker_ops *ops;
	void *ctx;
	GHashTable *records; /* fingerprint -> struct comet_crash_record */
	struct comet_crash_suspects *crash_suspects;
	uint64_t last_tick_us;
	bool awaits_reports;   /* a subject may be quarantined once reports of other VMs are in */
	uint32_t new_position; /* where the next message continues among the records that are new */
	uint32_t old_position; /* and among the others */
	struct served served[SERVED_MAX];
};

/* Crashes that are not excused, before those explained by other subjects are subtracted. */
static inline uint32_t
comet_crash_record_count(const struct comet_crash_record *record)
{
	return record->crashes;
}

/** @return the record of a subject, or NULL */
struct comet_crash_record *
comet_crash_tracker_find(
	const struct comet_crash_tracker *crash_tracker, const struct comet_fingerprint *subject);

/** Adds a record if there is none; another one may be evicted for it. */
struct comet_crash_record *
comet_crash_tracker_find_or_add(
	struct comet_crash_tracker *crash_tracker, const struct comet_fingerprint *subject);

/** Merges when the newest response of a subject began and when its first process crashed; 0: not
 * known. A response that began after the crash excuses all crashes. @return whether that has
 * changed what the record says about crashes */
bool
comet_crash_tracker_merge_times(
	struct comet_crash_record *record, uint64_t served_us, uint64_t first_crash_us);

/** @return when the newest successful response of a subject at this VM began; 0: not known */
uint64_t
comet_crash_tracker_served_us(
	const struct comet_crash_tracker *crash_tracker, const struct comet_fingerprint *subject);

/** Reports a changed record and decides again which subjects are quarantined. */
void
comet_crash_tracker_apply_change(struct comet_crash_tracker *crash_tracker,
	struct comet_crash_record *record, bool detected_here, uint64_t now_us);

/** Notes a request whose attempt crashed with the subject. @return whether that is new */
bool
comet_crash_record_add_request(
	struct comet_crash_record *record, uint64_t request_digest, bool several_requests);

#endif
