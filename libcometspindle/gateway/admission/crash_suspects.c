/*
 * crash_suspects.c
 * runs that ended without an answer, until it is known whether their endpoint's process crashed
 */
#include <libcometspindle/gateway/admission/crash_suspects.h>

#include <talloc.h>

/* A run that ended without an answer is held against the end of its endpoint's life for this time:
 * a silent process is unlisted within four seconds, and an outage of the directory takes some more.
 */
#define SUSPECT_US 15000000

/* Within this time it is known whether the process of a run that broke off has crashed: three
 * missed heartbeats and a second for the news. */
#define DOUBT_US 5000000

/* Suspects at a time: ten times what breaks with one endpoint of a thousand requests a second. */
#define SUSPECTS_MAX 1024

/* And of one team: one whose callers leave by the hundred does not push out the others'. */
#define TEAM_SUSPECTS_MAX 256

/* Bytes that a process sent before it crashed may be read this long after the first of its
 * connections is seen to end. */
#define HEARD_MARGIN_US 100000

/* Lives that ended unplanned and are remembered, for runs whose end is noticed later: as many as
 * can crash within SUSPECT_US in a zone. */
#define ENDED_MAX 256

/* A run that ended without an answer. */
struct suspect
{
	struct comet_fingerprint request;
	uint32_t incarnation_key;
	uint64_t at_us;
	bool cancelled; /* its caller left, while the process worked */
};

/* A life that ended unplanned. */
struct ended
{
	uint32_t incarnation_key;
	uint64_t at_us;
};

struct comet_crash_suspects
{
	GQueue open; /* of struct suspect, oldest first */
	struct ended ended[ENDED_MAX];
	uint32_t next_ended;
};

static int
suspects_destroy(struct comet_crash_suspects *crash_suspects)
{
	g_queue_clear_full(&crash_suspects->open, g_free);
	return 0;
}

struct comet_crash_suspects *
comet_crash_suspects_create(void *parent)
{
	struct comet_crash_suspects *crash_suspects =
		talloc_zero(parent, struct comet_crash_suspects);

	g_queue_init(&crash_suspects->open);
	talloc_set_destructor(crash_suspects, suspects_destroy);
	return crash_suspects;
}

bool
comet_crash_suspects_has_ended(const struct comet_crash_suspects *crash_suspects,
	uint32_t incarnation_key, uint64_t last_seen_us)
{
	for (size_t i = 0; i < ENDED_MAX; i++)
	{
		const struct ended *ended = &crash_suspects->ended[i];
		if (ended->incarnation_key == incarnation_key && last_seen_us <= ended->at_us)
			return true;
	}
	return false;
}

/* Makes room for one more: the oldest goes, of the team itself if it has many. */
static void
make_room(struct comet_crash_suspects *crash_suspects, uint32_t team)
{
	GList *oldest_of_team = NULL;
	uint32_t of_team = 0;

	for (GList *at = crash_suspects->open.tail; at != NULL; at = at->prev)
	{
		if (((const struct suspect *)at->data)->request.team != team)
			continue;
		oldest_of_team = at;
		of_team++;
	}
	GList *out = NULL;
	if (of_team >= TEAM_SUSPECTS_MAX)
		out = oldest_of_team;
	else if (crash_suspects->open.length >= SUSPECTS_MAX)
		out = crash_suspects->open.head;
	if (out == NULL)
		return;
	g_free(out->data);
	g_queue_delete_link(&crash_suspects->open, out);
}

void
comet_crash_suspects_add(struct comet_crash_suspects *crash_suspects,
	const struct comet_crash_tracker_run *run, uint64_t now_us)
{
	make_room(crash_suspects, run->request.team);
	struct suspect *suspect = g_new0(struct suspect, 1);
	suspect->request = run->request;
	suspect->incarnation_key = run->incarnation_key;
	suspect->at_us = now_us;
	suspect->cancelled = run->cancelled;
	g_queue_push_tail(&crash_suspects->open, suspect);
}

/* Takes the suspects of a life out. @return them, oldest first */
static GList *
take(struct comet_crash_suspects *crash_suspects, uint32_t incarnation_key)
{
	GList *taken = NULL;
	GList *next = NULL;

	for (GList *at = crash_suspects->open.head; at != NULL; at = next)
	{
		struct suspect *suspect = at->data;
		next = at->next;
		if (suspect->incarnation_key != incarnation_key)
			continue;
		taken = g_list_prepend(taken, suspect);
		g_queue_delete_link(&crash_suspects->open, at);
	}
	return g_list_reverse(taken);
}

GList *
comet_crash_suspects_process_crashed(struct comet_crash_suspects *crash_suspects,
	uint32_t incarnation_key, uint64_t last_seen_us, uint64_t now_us)
{
	GList *taken = take(crash_suspects, incarnation_key);
	GList *requests = NULL;

	crash_suspects->ended[crash_suspects->next_ended++ % ENDED_MAX] =
		(struct ended){.incarnation_key = incarnation_key, .at_us = now_us};
	for (GList *at = taken; at != NULL; at = at->next)
	{
		const struct suspect *suspect = at->data;
		if (last_seen_us <= suspect->at_us + HEARD_MARGIN_US)
			requests = g_list_prepend(
				requests, g_memdup2(&suspect->request, sizeof suspect->request));
	}
	g_list_free_full(taken, g_free);
	return g_list_reverse(requests);
}

void
comet_crash_suspects_forget(struct comet_crash_suspects *crash_suspects, uint32_t incarnation_key)
{
	g_list_free_full(take(crash_suspects, incarnation_key), g_free);
}

uint32_t
comet_crash_suspects_count_request(const struct comet_crash_suspects *crash_suspects,
	const struct comet_fingerprint *request, uint64_t now_us)
{
	uint32_t sum = 0;

	for (GList *at = crash_suspects->open.tail; at != NULL; at = at->prev)
	{
		const struct suspect *suspect = at->data;
		if (now_us - suspect->at_us > DOUBT_US)
			break;
		if (!suspect->cancelled && comet_fingerprint_equal(&suspect->request, request))
			sum++;
	}
	return sum;
}

void
comet_crash_suspects_tick(struct comet_crash_suspects *crash_suspects, uint64_t now_us)
{
	const struct suspect *suspect = NULL;

	while ((suspect = g_queue_peek_head(&crash_suspects->open)) != NULL &&
		now_us - suspect->at_us > SUSPECT_US)
		g_free(g_queue_pop_head(&crash_suspects->open));
}

uint32_t
comet_crash_suspects_count(const struct comet_crash_suspects *crash_suspects)
{
	return crash_suspects->open.length;
}
