/*
 * readers.c
 * whether this VM reads the directory itself, or follows VMs of its zone that read it for others
 */
#include <libcometspindle/gateway/readers.h>

#include <glib.h>
#include <libcometspindle/draw.h>
#include <talloc.h>

/* A zone of fewer VMs reads for itself: each of them would wait for two others to save six calls.
 */
#define ZONE_MIN 8

/* VMs that read for their zone: one may be frozen, cut off or gone. */
#define READERS 2

/* Readers are remembered up to this number: two, and those before and after a change of them. */
#define HEARD_MAX 8

/* Those who lose their readers together read for themselves within this time, drawn apart. */
#define SPREAD_US 300000

/* A reader is ahead for so long at most: what it has read is had from it in milliseconds. */
#define BEHIND_US 600000

/* A VM that could not have from a reader what it had read reads for itself for this time: a reader
 * of little bandwidth hands a large change out to a few only. */
#define FAILED_US 1000000

/* What one reader told last. */
struct heard
{
	uint32_t vm;
	uint64_t position;
	uint64_t whole;
	uint64_t answered_us; /* when the directory had answered it */
};

struct comet_readers
{
	struct comet_draw draw;
	uint64_t followed_us; /* a reader is followed so long after it was answered */
	struct heard heard[HEARD_MAX];
	uint64_t spread_us;   /* drawn each time a reader is fresh */
	uint64_t answered_us; /* newest of those heard */
	uint64_t behind_us;   /* since when a reader is ahead; 0: none is */
	uint64_t failed_us;   /* when one did not hand out what it had read; 0: never */
};

struct comet_readers *
comet_readers_create(void *parent, uint64_t followed_us, uint64_t seed)
{
	struct comet_readers *readers = talloc_zero(parent, struct comet_readers);

	readers->followed_us = followed_us;
	comet_draw_init(&readers->draw, seed);
	return readers;
}

bool
comet_readers_is_fresh(const struct comet_readers *readers, uint64_t age_us)
{
	return age_us < readers->followed_us;
}

/* Where a reader's word is kept: its own place, or that of the one that was answered longest ago.
 */
static struct heard *
place_of(struct comet_readers *readers, uint32_t vm)
{
	struct heard *oldest = &readers->heard[0];

	for (size_t i = 0; i < HEARD_MAX; i++)
	{
		struct heard *one = &readers->heard[i];
		if (one->vm == vm)
			return one;
		if (one->answered_us < oldest->answered_us)
			oldest = one;
	}
	return oldest;
}

void
comet_readers_told(
	struct comet_readers *readers, const struct comet_readers_news *news, uint64_t now_us)
{
	struct heard *heard = place_of(readers, news->vm);

	heard->vm = news->vm;
	heard->position = news->position;
	heard->whole = news->whole;
	heard->answered_us = now_us - MIN(news->age_us, now_us);
	readers->answered_us = MAX(readers->answered_us, heard->answered_us);
	readers->spread_us = (uint64_t)(SPREAD_US * comet_draw_unit(&readers->draw));
}

static bool
is_fresh(const struct comet_readers *readers, const struct heard *heard, uint64_t now_us)
{
	uint64_t age_us = now_us - MIN(heard->answered_us, now_us);

	return heard->vm != 0 && comet_readers_is_fresh(readers, age_us);
}

uint32_t
comet_readers_ahead(const struct comet_readers *readers, uint64_t position, uint64_t now_us)
{
	const struct heard *best = NULL;

	for (size_t i = 0; i < HEARD_MAX; i++)
	{
		const struct heard *one = &readers->heard[i];
		if (is_fresh(readers, one, now_us) && one->position > position &&
			(best == NULL || one->position > best->position))
			best = one;
	}
	return best != NULL ? best->vm : 0;
}

uint32_t
comet_readers_ahead_whole(const struct comet_readers *readers, uint64_t position, uint64_t now_us)
{
	for (size_t i = 0; i < HEARD_MAX; i++)
	{
		const struct heard *one = &readers->heard[i];
		if (is_fresh(readers, one, now_us) && one->whole > position)
			return one->vm;
	}
	return 0;
}

uint32_t
comet_readers_pick(struct comet_readers *readers, uint64_t position, uint64_t now_us)
{
	uint32_t fresh[HEARD_MAX];
	uint32_t count = 0;

	for (size_t i = 0; i < HEARD_MAX; i++)
	{
		const struct heard *one = &readers->heard[i];
		if (is_fresh(readers, one, now_us) && one->position >= position)
			fresh[count++] = one->vm;
	}
	return count > 0 ? fresh[comet_draw_u32(&readers->draw) % count] : 0;
}

/* Has a reader been ahead for too long? Then what it tells cannot be had from it, or is made up. */
static bool
is_left_behind(struct comet_readers *readers, uint64_t position, uint64_t now_us)
{
	if (comet_readers_ahead(readers, position, now_us) == 0)
		readers->behind_us = 0;
	else if (readers->behind_us == 0)
		readers->behind_us = now_us;
	return readers->behind_us != 0 && now_us - readers->behind_us >= BEHIND_US;
}

void
comet_readers_failed(struct comet_readers *readers, uint64_t now_us)
{
	readers->failed_us = now_us;
}

enum comet_directory_reading
comet_readers_decide(
	struct comet_readers *readers, const struct comet_readers_sight *sight, uint64_t now_us)
{
	bool failed = readers->failed_us != 0 && now_us - readers->failed_us < FAILED_US;
	bool left_behind = is_left_behind(readers, sight->position, now_us) || failed;
	uint64_t until_us = readers->answered_us + readers->followed_us + readers->spread_us;

	if (!sight->listed || sight->zone_vms < ZONE_MIN)
		return COMET_DIRECTORY_READS;
	if (!sight->leaving && sight->better < READERS)
		return COMET_DIRECTORY_READS_FOR_OTHERS;
	if (left_behind || readers->answered_us == 0 || now_us >= until_us)
		return COMET_DIRECTORY_READS_MEANWHILE;
	return COMET_DIRECTORY_FOLLOWS;
}
