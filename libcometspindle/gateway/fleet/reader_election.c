/*
 * reader_election.c
 * whether this VM reads the directory, or follows the readers of its availability zone
 */
#include <libcometspindle/gateway/fleet/reader_election.h>

#include <glib.h>
#include <libcometspindle/random.h>
#include <talloc.h>

/* In smaller zones readers would save too few calls. */
#define ZONE_MIN 8

/* Readers of a zone: one may be frozen, partitioned or gone. */
#define READERS 2

/* Remembered readers: those before and after a change. */
#define REPORTS_MAX 8

/* Jitter of VMs that lose their readers together. */
#define JITTER_US 300000

/* A reader provides what it reports within milliseconds; after this time it does not. */
#define STALE_GRACE_US 600000

/* A VM whose request failed reads for itself for this time. */
#define FAILED_US 1000000

/* The last report of a reader. */
struct report
{
	uint32_t vm;
	uint64_t position;
	uint64_t complete;
	uint64_t answered_us; /* when the directory answered the reader */
};

struct comet_reader_election
{
	struct comet_random draw;
	uint64_t followed_us; /* how long a report is fresh */
	struct report reports[REPORTS_MAX];
	uint64_t jitter_us;   /* drawn with each report */
	uint64_t answered_us; /* newest of all reports */
	uint64_t stale_us;    /* since when a reader is ahead; 0: not */
	uint64_t failed_us;   /* when a request last failed; 0: never */
};

struct comet_reader_election *
comet_reader_election_create(void *parent, uint64_t followed_us, uint64_t seed)
{
	struct comet_reader_election *reader_election =
		talloc_zero(parent, struct comet_reader_election);

	reader_election->followed_us = followed_us;
	comet_random_init(&reader_election->draw, seed);
	return reader_election;
}

bool
comet_reader_election_is_fresh(const struct comet_reader_election *reader_election, uint64_t age_us)
{
	return age_us < reader_election->followed_us;
}

/* @return the reader's slot, or the oldest one. */
static struct report *
slot_of(struct comet_reader_election *reader_election, uint32_t vm)
{
	struct report *oldest = &reader_election->reports[0];

	for (size_t i = 0; i < REPORTS_MAX; i++)
	{
		struct report *one = &reader_election->reports[i];
		if (one->vm == vm)
			return one;
		if (one->answered_us < oldest->answered_us)
			oldest = one;
	}
	return oldest;
}

void
comet_reader_election_report(struct comet_reader_election *reader_election,
	const struct comet_reader_report *report, uint64_t now_us)
{
	struct report *kept = slot_of(reader_election, report->vm);

	kept->vm = report->vm;
	kept->position = report->position;
	kept->complete = report->complete;
	kept->answered_us = now_us - MIN(report->age_us, now_us);
	reader_election->answered_us = MAX(reader_election->answered_us, kept->answered_us);
	reader_election->jitter_us =
		(uint64_t)(JITTER_US * comet_random_double(&reader_election->draw));
}

static bool
is_fresh(const struct comet_reader_election *reader_election, const struct report *kept,
	uint64_t now_us)
{
	uint64_t age_us = now_us - MIN(kept->answered_us, now_us);

	return kept->vm != 0 && comet_reader_election_is_fresh(reader_election, age_us);
}

uint32_t
comet_reader_election_ahead(
	const struct comet_reader_election *reader_election, uint64_t position, uint64_t now_us)
{
	const struct report *best = NULL;

	for (size_t i = 0; i < REPORTS_MAX; i++)
	{
		const struct report *one = &reader_election->reports[i];
		if (is_fresh(reader_election, one, now_us) && one->position > position &&
			(best == NULL || one->position > best->position))
			best = one;
	}
	return best != NULL ? best->vm : 0;
}

uint32_t
comet_reader_election_ahead_complete(
	const struct comet_reader_election *reader_election, uint64_t position, uint64_t now_us)
{
	for (size_t i = 0; i < REPORTS_MAX; i++)
	{
		const struct report *one = &reader_election->reports[i];
		if (is_fresh(reader_election, one, now_us) && one->complete > position)
			return one->vm;
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
		const struct report *one = &reader_election->reports[i];
		if (is_fresh(reader_election, one, now_us) && one->position >= position)
			fresh[count++] = one->vm;
	}
	return count > 0 ? fresh[comet_random_u32(&reader_election->draw) % count] : 0;
}

/* Has a reader been ahead for too long? Its reports are false, or its link is too slow. */
static bool
is_stale(struct comet_reader_election *reader_election, uint64_t position, uint64_t now_us)
{
	if (comet_reader_election_ahead(reader_election, position, now_us) == 0)
		reader_election->stale_us = 0;
	else if (reader_election->stale_us == 0)
		reader_election->stale_us = now_us;
	return reader_election->stale_us != 0 &&
	       now_us - reader_election->stale_us >= STALE_GRACE_US;
}

void
comet_reader_election_failed(struct comet_reader_election *reader_election, uint64_t now_us)
{
	reader_election->failed_us = now_us;
}

enum comet_directory_mode
comet_reader_election_decide(struct comet_reader_election *reader_election,
	const struct comet_reader_election_state *sight, uint64_t now_us)
{
	bool failed =
		reader_election->failed_us != 0 && now_us - reader_election->failed_us < FAILED_US;
	bool stale = is_stale(reader_election, sight->position, now_us) || failed;
	uint64_t until_us = reader_election->answered_us + reader_election->followed_us +
			    reader_election->jitter_us;

	if (!sight->listed || sight->zone_vms < ZONE_MIN)
		return COMET_DIRECTORY_MODE_DIRECT;
	if (!sight->leaving && sight->better < READERS)
		return COMET_DIRECTORY_MODE_READER;
	if (stale || reader_election->answered_us == 0 || now_us >= until_us)
		return COMET_DIRECTORY_MODE_FALLBACK;
	return COMET_DIRECTORY_MODE_FOLLOWER;
}
