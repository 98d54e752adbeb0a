/*
 * crash_tracker_trials.c
 * trials of quarantined subjects: single attempts that show whether a subject was blamed by mistake
 */
#include <libcometspindle/gateway/admission/crash_tracker_private.h>

/* Ratio of two intervals between trials of a quarantined subject: each trial of a subject that
 * crashes endpoints costs one of them. */
#define TRIAL_FACTOR 3

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
is_own_trial(const struct comet_crash_record *record, uint32_t interval)
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
	const struct comet_crash_record *record = comet_crash_tracker_find(crash_tracker, subject);

	if (record == NULL || !record->quarantined)
		return false;
	uint32_t interval = trial_interval(crash_tracker, now_us - record->quarantined_us);
	return interval > record->trials && is_own_trial(record, interval);
}

void
comet_crash_tracker_take_trial(struct comet_crash_tracker *crash_tracker,
	const struct comet_fingerprint *subject, uint64_t now_us)
{
	struct comet_crash_record *record = comet_crash_tracker_find(crash_tracker, subject);

	if (record != NULL && record->quarantined)
		record->trials = trial_interval(crash_tracker, now_us - record->quarantined_us);
}

void
comet_crash_tracker_return_trial(
	struct comet_crash_tracker *crash_tracker, const struct comet_fingerprint *subject)
{
	struct comet_crash_record *record = comet_crash_tracker_find(crash_tracker, subject);

	if (record != NULL && record->trials > 0)
		record->trials--;
}
