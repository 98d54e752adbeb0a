/*
 * return_schedule.c
 * Spreads the Retry-After times of refused requests over the slots that become
 * free.
 */
#include <libcometspindle/gateway/placement/return_schedule.h>

#include <glib.h>

/* Room is booked for a caller if it comes back after this many times the time that the overload has
 * lasted: the overload is expected to last as long again, and its refused callers take about as
 * long to be served. Bookings keep newcomers out that could be in time, so with a smaller factor
 * fewer requests are in time in a sustained overload, and with a larger one more callers are
 * refused again after a peak. */
#define RECOVERY_FACTOR 2

/* A returned caller is refused early, which is final for it, only if the overload has lasted this
 * many times the time that it still waits. With 1, many of those refused would have got a slot:
 * 1,732 instead of 1,358 were refused twice in overloads of 9 s (trials, returning-callers.md). */
#define FINAL_REFUSAL_FACTOR 2

/* Books an interval. It may be before the end of the bookings of the rank if the caller comes back
 * before others. */
static void
book(struct comet_return_schedule *schedule, uint32_t rank, uint64_t at_us, uint64_t interval_us,
	uint64_t now_us)
{
	if (schedule->booked[rank].end_us <= now_us)
	{
		schedule->booked[rank].first_us = at_us;
		schedule->booked[rank].total_us = 0;
	}
	schedule->booked[rank].first_us = MIN(schedule->booked[rank].first_us, at_us);
	schedule->booked[rank].end_us = MAX(schedule->booked[rank].end_us, at_us + interval_us);
	schedule->booked[rank].total_us += interval_us;
}

uint64_t
comet_return_schedule_room_us(
	const struct comet_return_schedule *schedule, uint32_t rank, uint64_t room_us)
{
	return MAX(room_us, schedule->booked[MIN(rank, COMET_RETURN_SCHEDULE_RANKS - 1)].end_us);
}

/* Returns how long the overload of a rank has lasted; 0: there is none. It has ended if nothing was
 * refused for pause_us, because a caller that came back in this time would have been served. */
static uint64_t
lasted_us_of(const struct comet_return_schedule *schedule, uint32_t rank, uint64_t pause_us,
	uint64_t now_us)
{
	uint64_t last_us = schedule->refusals[rank].last_us;

	if (last_us == 0 || now_us - last_us > pause_us)
		return 0;
	return now_us - schedule->refusals[rank].from_us;
}

/* Counts a refusal. Returns how long the overload of the rank has lasted. */
static uint64_t
count_refusal(
	struct comet_return_schedule *schedule, uint32_t rank, uint64_t pause_us, uint64_t now_us)
{
	uint64_t lasted_us = lasted_us_of(schedule, rank, pause_us, now_us);

	schedule->refusals[rank].from_us = now_us - lasted_us;
	schedule->refusals[rank].last_us = now_us;
	return lasted_us;
}

struct comet_return_announcement
comet_return_schedule_announce(struct comet_return_schedule *schedule,
	const struct comet_return_inputs *inputs, uint64_t now_us)
{
	uint32_t rank = MIN(inputs->rank, COMET_RETURN_SCHEDULE_RANKS - 1);
	uint64_t at_us = comet_return_schedule_room_us(schedule, rank, inputs->room_us);
	uint64_t away_us = inputs->latest_us - MIN(now_us, inputs->latest_us);
	uint64_t lasted_us = count_refusal(schedule, rank, away_us, now_us);
	struct comet_return_announcement announcement = {
		.at_us = at_us,
		.is_expected = now_us + lasted_us <= inputs->until_us,
	};

	if (!announcement.is_expected || RECOVERY_FACTOR * lasted_us > away_us)
		return announcement;
	/* A caller that comes back before there is room competes with newcomers from then on.
	 * Without a booking, newcomers take the slots and it waits in vain. */
	at_us = MIN(at_us, inputs->latest_us);
	book(schedule, rank, at_us, inputs->interval_us, now_us);
	/* A caller of this rank is served before those of less urgent ranks. */
	for (uint32_t other = rank + 1; other < COMET_RETURN_SCHEDULE_RANKS; other++)
	{
		if (schedule->booked[other].end_us <= at_us)
			continue;
		schedule->booked[other].end_us += inputs->interval_us;
		schedule->booked[other].total_us += inputs->interval_us;
	}
	return announcement;
}

bool
comet_return_schedule_is_refusal_final(const struct comet_return_schedule *schedule, uint32_t rank,
	uint64_t latest_us, uint64_t until_us, uint64_t now_us)
{
	uint64_t lasted_us = lasted_us_of(schedule, MIN(rank, COMET_RETURN_SCHEDULE_RANKS - 1),
		latest_us - MIN(now_us, latest_us), now_us);

	return lasted_us > FINAL_REFUSAL_FACTOR * (until_us - MIN(now_us, until_us));
}

uint64_t
comet_return_schedule_wait_us(const struct comet_return_schedule *schedule, uint32_t rank,
	uint64_t wait_us, uint64_t now_us)
{
	uint32_t index = MIN(rank, COMET_RETURN_SCHEDULE_RANKS - 1);
	uint64_t first_us = MAX(schedule->booked[index].first_us, now_us);
	uint64_t end_us = schedule->booked[index].end_us;

	if (end_us <= first_us || now_us + wait_us < first_us)
		return wait_us;
	double share = (double)schedule->booked[index].total_us /
		       (double)(end_us - schedule->booked[index].first_us);
	/* The share may exceed 1, because bookings overlap: callers that come back before there is
	 * room are booked at the time of their return, which may be that of others. */
	return wait_us + (uint64_t)(MIN(share, 1.0) * (double)(end_us - first_us));
}
