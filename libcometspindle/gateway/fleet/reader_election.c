/*
 * reader_election.c
 * decides whether this VM reads the directory or follows the readers of its availability zone
 */
#include <libcometspindle/gateway/fleet/reader_election.h>

#include <glib.h>
#include <libcometspindle/random.h>
#include <talloc.h>

/* In smaller zones, readers would save too few calls. */
#define ZONE_VMS_MIN 8

/* Readers per zone: one may be frozen, partitioned or terminated. */
#define READERS_PER_ZONE 2

/* Stored reports: those of the readers before and after a change of readers. */
#define REPORTS_MAX 8

/* Spreads the directory calls of VMs that lose their readers at the same time. */
#define JITTER_US 300000

/* A reader provides the data that it reports within milliseconds. If a reader stays
 * ahead for this time, this VM reads the directory itself. */
#define STALE_GRACE_US 600000

/* After a failed request to a reader, a VM reads the directory itself for this time. */
#define FAILURE_FALLBACK_US 1000000

/* VMs that start together have found each other after this time, and are old enough to be compared
 * as readers. */
#define DISCOVERY_US 800000

/* A VM that has just started waits this long for the snapshot of a peer, and the jitter in
 * addition, before it reads the complete list itself. */
#define SNAPSHOT_WAIT_US 4000000
#define SNAPSHOT_WAIT_JITTER_US 2000000

/* Last report of a reader. */
struct report
{
	uint32_t vm;
	uint64_t position;
	uint64_t complete;
	uint64_t answered_us; /* when the directory last answered the reader */
};

struct comet_reader_election
{
	struct comet_random draw;
	uint64_t followed_us; /* time for which a report is fresh */
	struct report reports[REPORTS_MAX];
	uint64_t jitter_us;        /* random, new with each report */
	uint64_t answered_us;      /* newest of all reports */
	uint64_t stale_us;         /* since when a reader has been ahead; 0: none is */
	uint64_t failed_us;        /* when a request to a reader last failed; 0: never */
	uint64_t snapshot_wait_us; /* process age up to which it waits for a snapshot */
	bool wait_over;            /* it reads the complete list, or has a snapshot */
};

struct comet_reader_election *
comet_reader_election_create(void *parent, uint64_t followed_us, uint64_t seed)
{
	struct comet_reader_election *reader_election =
		talloc_zero(parent, struct comet_reader_election);
	struct comet_random snapshot_draw;

	reader_election->followed_us = followed_us;
	comet_random_init(&reader_election->draw, seed);
	comet_random_init(&snapshot_draw, ~seed);
	reader_election->snapshot_wait_us =
		SNAPSHOT_WAIT_US +
		(uint64_t)(SNAPSHOT_WAIT_JITTER_US * comet_random_double(&snapshot_draw));
	return reader_election;
}

bool
comet_reader_election_is_fresh(const struct comet_reader_election *reader_election, uint64_t age_us)
{
	return age_us < reader_election->followed_us;
}

/* @return the entry of the reader or, if it has none, the oldest entry. */
static struct report *
find_entry(struct comet_reader_election *reader_election, uint32_t vm)
{
	struct report *oldest = &reader_election->reports[0];

	for (size_t i = 0; i < REPORTS_MAX; i++)
	{
		struct report *entry = &reader_election->reports[i];
		if (entry->vm == vm)
			return entry;
		if (entry->answered_us < oldest->answered_us)
			oldest = entry;
	}
	return oldest;
}

void
comet_reader_election_report(struct comet_reader_election *reader_election,
	const struct comet_reader_report *report, uint64_t now_us)
{
	struct report *entry = find_entry(reader_election, report->vm);

	entry->vm = report->vm;
	entry->position = report->position;
	entry->complete = report->complete;
	entry->answered_us = now_us - MIN(report->age_us, now_us);
	reader_election->answered_us = MAX(reader_election->answered_us, entry->answered_us);
	reader_election->jitter_us =
		(uint64_t)(JITTER_US * comet_random_double(&reader_election->draw));
}

static bool
is_fresh(const struct comet_reader_election *reader_election, const struct report *entry,
	uint64_t now_us)
{
	uint64_t age_us = now_us - MIN(entry->answered_us, now_us);

	return entry->vm != 0 && comet_reader_election_is_fresh(reader_election, age_us);
}

uint32_t
comet_reader_election_find_ahead(
	const struct comet_reader_election *reader_election, uint64_t position, uint64_t now_us)
{
	const struct report *best = NULL;

	for (size_t i = 0; i < REPORTS_MAX; i++)
	{
		const struct report *entry = &reader_election->reports[i];
		if (is_fresh(reader_election, entry, now_us) && entry->position > position &&
			(best == NULL || entry->position > best->position))
			best = entry;
	}
	return best != NULL ? best->vm : 0;
}

uint32_t
comet_reader_election_find_complete(
	const struct comet_reader_election *reader_election, uint64_t position, uint64_t now_us)
{
	for (size_t i = 0; i < REPORTS_MAX; i++)
	{
		const struct report *entry = &reader_election->reports[i];
		if (is_fresh(reader_election, entry, now_us) && entry->complete > position)
			return entry->vm;
	}
	return 0;
}

uint32_t
comet_reader_election_pick(
	struct comet_reader_election *reader_election, uint64_t position, uint64_t now_us)
{
	uint32_t fresh[REPORTS_MAX];
	uint32_t count = 0;

	for (size_t i = 0; i < REPORTS_MAX; i++)
	{
		const struct report *entry = &reader_election->reports[i];
		if (is_fresh(reader_election, entry, now_us) && entry->position >= position)
			fresh[count++] = entry->vm;
	}
	return count > 0 ? fresh[comet_random_u32(&reader_election->draw) % count] : 0;
}

/* @return whether a reader has been ahead for too long: its reports are false or its link is too
 * slow. */
static bool
is_stale(struct comet_reader_election *reader_election, uint64_t position, uint64_t now_us)
{
	if (comet_reader_election_find_ahead(reader_election, position, now_us) == 0)
		reader_election->stale_us = 0;
	else if (reader_election->stale_us == 0)
		reader_election->stale_us = now_us;
	return reader_election->stale_us != 0 &&
	       now_us - reader_election->stale_us >= STALE_GRACE_US;
}

void
comet_reader_election_report_failure(struct comet_reader_election *reader_election, uint64_t now_us)
{
	reader_election->failed_us = now_us;
}

/* @return whether a VM that has just started leaves the list to others. Hundreds of VMs that start
 * together would otherwise read each page of it once each. */
static bool
waits_for_snapshot(struct comet_reader_election *reader_election,
	const struct comet_reader_election_state *state)
{
	bool discovering = state->age_us < DISCOVERY_US && !state->alone;
	bool others_read = state->zone_vms >= ZONE_VMS_MIN && state->preferred >= READERS_PER_ZONE;

	if (state->has_list || state->age_us >= reader_election->snapshot_wait_us ||
		!(discovering || others_read))
		reader_election->wait_over = true;
	return !reader_election->wait_over;
}

enum comet_directory_mode
comet_reader_election_decide(struct comet_reader_election *reader_election,
	const struct comet_reader_election_state *state, uint64_t now_us)
{
	bool failed = reader_election->failed_us != 0 &&
		      now_us - reader_election->failed_us < FAILURE_FALLBACK_US;
	bool stale = is_stale(reader_election, state->position, now_us) || failed;
	uint64_t expiry_us = reader_election->answered_us + reader_election->followed_us +
			     reader_election->jitter_us;

	if (waits_for_snapshot(reader_election, state))
		return COMET_DIRECTORY_MODE_WAITING;
	if (!state->has_list || state->zone_vms < ZONE_VMS_MIN)
		return COMET_DIRECTORY_MODE_DIRECT;
	if (!state->leaving && state->preferred < READERS_PER_ZONE)
		return COMET_DIRECTORY_MODE_READER;
	if (stale || reader_election->answered_us == 0 || now_us >= expiry_us)
		return COMET_DIRECTORY_MODE_FALLBACK;
	return COMET_DIRECTORY_MODE_FOLLOWER;
}
