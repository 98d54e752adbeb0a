/*
 * crash_suspects.c
 * attempts that ended without a response, kept until it is known whether the process crashed
 */
#include <libcometspindle/gateway/admission/crash_suspects.h>

#include <talloc.h>

/* Time for which a suspect is matched against a crash of its process. The directory removes an
 * unresponsive process within four seconds, and an outage of the directory adds to that. */
#define SUSPECT_LIFETIME_US 15000000

/* Time within which a crash of an attempt's process is detected: three missed heartbeats and one
 * second for the propagation of the change. */
#define CRASH_DETECTION_US 5000000

/* Ten times the number of attempts that fail with one endpoint that serves a thousand requests per
 * second. */
#define SUSPECTS_MAX 1024

/* Limit of one team, so that a team with hundreds of cancelled requests does not evict the suspects
 * of other teams. */
#define TEAM_SUSPECTS_MAX 256

/* Bytes that a process sent before its crash may be read this long after the first of its
 * connections was seen to close. */
#define LAST_SEEN_MARGIN_US 100000

/* Crashed processes that are remembered for attempts whose end is detected later: as many as can
 * crash in an availability zone within SUSPECT_LIFETIME_US. */
#define CRASHED_PROCESSES_MAX 256

/* An attempt that ended without a response. */
struct suspect
{
	struct comet_fingerprint subject;
	uint64_t request_digest;
	uint32_t incarnation_key;
	uint64_t sent_us;
	uint64_t began_us; /* 0: no response began */
	uint64_t at_us;
	bool cancelled; /* the caller disconnected while the process was running the request */
	bool answered;  /* its response is complete unless the process has crashed */
};

/* An incarnation that crashed. */
struct crashed_process
{
	uint32_t incarnation_key;
	uint64_t at_us;
};

struct comet_crash_suspects
{
	GQueue suspects; /* of struct suspect, oldest first */
	struct crashed_process crashed[CRASHED_PROCESSES_MAX];
	uint32_t next_crashed;
};

static int
suspects_destroy(struct comet_crash_suspects *crash_suspects)
{
	g_queue_clear_full(&crash_suspects->suspects, g_free);
	return 0;
}

struct comet_crash_suspects *
comet_crash_suspects_create(void *parent)
{
	struct comet_crash_suspects *crash_suspects =
		talloc_zero(parent, struct comet_crash_suspects);

	g_queue_init(&crash_suspects->suspects);
	talloc_set_destructor(crash_suspects, suspects_destroy);
	return crash_suspects;
}

bool
comet_crash_suspects_has_crashed(const struct comet_crash_suspects *crash_suspects,
	uint32_t incarnation_key, uint64_t last_seen_us)
{
	for (size_t i = 0; i < CRASHED_PROCESSES_MAX; i++)
	{
		const struct crashed_process *crashed = &crash_suspects->crashed[i];
		if (crashed->incarnation_key == incarnation_key && last_seen_us <= crashed->at_us)
			return true;
	}
	return false;
}

/* Evicts a suspect if there is no space for another: the oldest one of the same team if that team
 * has reached its limit, else the oldest one of all. */
static void
evict_if_full(struct comet_crash_suspects *crash_suspects, uint32_t team)
{
	GList *oldest_of_team = NULL;
	uint32_t team_count = 0;

	for (GList *link = crash_suspects->suspects.tail; link != NULL; link = link->prev)
	{
		if (((const struct suspect *)link->data)->subject.team != team)
			continue;
		oldest_of_team = link;
		team_count++;
	}
	GList *victim = NULL;
	if (team_count >= TEAM_SUSPECTS_MAX)
		victim = oldest_of_team;
	else if (crash_suspects->suspects.length >= SUSPECTS_MAX)
		victim = crash_suspects->suspects.head;
	if (victim == NULL)
		return;
	g_free(victim->data);
	g_queue_delete_link(&crash_suspects->suspects, victim);
}

void
comet_crash_suspects_add(struct comet_crash_suspects *crash_suspects,
	const struct comet_crash_attempt *attempt, uint64_t now_us)
{
	evict_if_full(crash_suspects, attempt->subject.team);
	struct suspect *suspect = g_new0(struct suspect, 1);
	suspect->subject = attempt->subject;
	suspect->request_digest = attempt->request_digest;
	suspect->incarnation_key = attempt->incarnation_key;
	suspect->sent_us = attempt->sent_us;
	suspect->began_us = attempt->began_us;
	suspect->at_us = now_us;
	suspect->cancelled = attempt->cancelled;
	suspect->answered = attempt->answered;
	g_queue_push_tail(&crash_suspects->suspects, suspect);
}

/* Removes the suspects of an incarnation from the queue. @return the removed suspects, oldest first
 */
static GList *
remove_suspects(struct comet_crash_suspects *crash_suspects, uint32_t incarnation_key)
{
	GList *removed = NULL;
	GList *next = NULL;

	for (GList *link = crash_suspects->suspects.head; link != NULL; link = next)
	{
		struct suspect *suspect = link->data;
		next = link->next;
		if (suspect->incarnation_key != incarnation_key)
			continue;
		removed = g_list_prepend(removed, suspect);
		g_queue_delete_link(&crash_suspects->suspects, link);
	}
	return g_list_reverse(removed);
}

static struct comet_crash_suspect *
copy_suspect(const struct suspect *suspect)
{
	struct comet_crash_suspect *copy = g_new(struct comet_crash_suspect, 1);

	copy->subject = suspect->subject;
	copy->request_digest = suspect->request_digest;
	copy->sent_us = suspect->sent_us;
	copy->began_us = suspect->began_us;
	copy->ended_us = suspect->at_us;
	return copy;
}

GList *
comet_crash_suspects_take_proven(struct comet_crash_suspects *crash_suspects,
	uint64_t (*last_seen_us)(void *ctx, uint32_t incarnation_key), void *ctx, uint64_t now_us)
{
	GList *proven = NULL;
	GList *next = NULL;

	for (GList *link = crash_suspects->suspects.head; link != NULL; link = next)
	{
		struct suspect *suspect = link->data;
		next = link->next;
		uint64_t seen_us =
			suspect->answered ? last_seen_us(ctx, suspect->incarnation_key) : 0;
		bool outlived = now_us - suspect->at_us > CRASH_DETECTION_US;
		if (seen_us == 0 || (seen_us <= suspect->at_us + LAST_SEEN_MARGIN_US && !outlived))
			continue;
		proven = g_list_prepend(proven, copy_suspect(suspect));
		g_free(suspect);
		g_queue_delete_link(&crash_suspects->suspects, link);
	}
	return proven;
}

GList *
comet_crash_suspects_process_crashed(struct comet_crash_suspects *crash_suspects,
	uint32_t incarnation_key, uint64_t last_seen_us, uint64_t now_us)
{
	GList *removed = remove_suspects(crash_suspects, incarnation_key);
	GList *subjects = NULL;

	crash_suspects->crashed[crash_suspects->next_crashed++ % CRASHED_PROCESSES_MAX] =
		(struct crashed_process){.incarnation_key = incarnation_key, .at_us = now_us};
	for (GList *link = removed; link != NULL; link = link->next)
	{
		const struct suspect *suspect = link->data;
		if (last_seen_us > suspect->at_us + LAST_SEEN_MARGIN_US)
			continue;
		subjects = g_list_prepend(subjects, copy_suspect(suspect));
	}
	g_list_free_full(removed, g_free);
	return g_list_reverse(subjects);
}

void
comet_crash_suspects_forget(struct comet_crash_suspects *crash_suspects, uint32_t incarnation_key)
{
	g_list_free_full(remove_suspects(crash_suspects, incarnation_key), g_free);
}

/* Returns whether the process of an attempt of the subject, which ended after ended_after_us, may
 * have crashed. */
static bool
may_have_crashed(const struct suspect *suspect, const struct comet_fingerprint *subject,
	uint64_t ended_after_us)
{
	return suspect->at_us > ended_after_us && !suspect->cancelled && !suspect->answered &&
	       comet_fingerprint_equal(&suspect->subject, subject);
}

uint64_t
comet_crash_suspects_first_us(const struct comet_crash_suspects *crash_suspects,
	const struct comet_fingerprint *subject, uint64_t ended_after_us, uint64_t now_us)
{
	uint64_t first_us = 0;

	for (GList *link = crash_suspects->suspects.tail; link != NULL; link = link->prev)
	{
		const struct suspect *suspect = link->data;
		if (now_us - suspect->at_us > CRASH_DETECTION_US)
			break;
		if (may_have_crashed(suspect, subject, ended_after_us))
			first_us = suspect->at_us;
	}
	return first_us;
}

uint32_t
comet_crash_suspects_count_subject(const struct comet_crash_suspects *crash_suspects,
	const struct comet_fingerprint *subject, uint64_t sent_after_us, uint64_t ended_after_us,
	uint64_t now_us)
{
	uint32_t sum = 0;

	for (GList *link = crash_suspects->suspects.tail; link != NULL; link = link->prev)
	{
		const struct suspect *suspect = link->data;
		if (now_us - suspect->at_us > CRASH_DETECTION_US)
			break;
		if (suspect->sent_us > sent_after_us &&
			may_have_crashed(suspect, subject, ended_after_us))
			sum++;
	}
	return sum;
}

void
comet_crash_suspects_tick(struct comet_crash_suspects *crash_suspects, uint64_t now_us)
{
	const struct suspect *suspect = NULL;

	while ((suspect = g_queue_peek_head(&crash_suspects->suspects)) != NULL &&
		now_us - suspect->at_us > SUSPECT_LIFETIME_US)
		g_free(g_queue_pop_head(&crash_suspects->suspects));
}

uint32_t
comet_crash_suspects_count(const struct comet_crash_suspects *crash_suspects)
{
	return crash_suspects->suspects.length;
}
