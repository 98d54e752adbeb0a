/*
 * return_schedule.h
 * Spreads the Retry-After times of refused requests over the slots that become
 * free.
 *
 * Each booking takes the interval between two slots that become free for this
 * VM, so that the next caller gets a later time. A newcomer that would be served
 * within the bookings is expected to wait until their end.
 *
 * An overload is expected to last as long again as it has lasted. Nothing is booked once twice the
 * time that it has lasted is longer than the time until the caller comes back at the latest. No
 * return is expected once the time that it has lasted is longer than the caller still waits:
 * callers that were refused before would take all slots, and all newcomers would be refused first
 * and served late.
 */
#ifndef COMETSPINDLE_GATEWAY_RETURN_SCHEDULE_H
#define COMETSPINDLE_GATEWAY_RETURN_SCHEDULE_H

#include <libcometspindle/gateway/placement/placement_order.h>
#include <stdbool.h>
#include <stdint.h>

/** Ranks with bookings of their own; less urgent ranks share the last one. As many as the numbers
 * of comet_placement_rank(). */
#define COMET_RETURN_SCHEDULE_RANKS COMET_ORDER_RANKS

/** Bound of announced times: no longer than the recovery from a peak takes. After twice the
 * capacity for 3 s, that is 10 s at 0.7 of the capacity. Later room is not booked, since demand has
 * changed by then. */
#define COMET_RETURN_MAX_US 10000000ULL

/** Bookings of one service. Must be zero-initialized. */
struct comet_return_schedule
{
	/** By rank; all 0 without bookings. */
	struct
	{
		uint64_t first_us; /**< Begin of the first booking. */
		uint64_t end_us;   /**< End of the last one. */
		uint64_t total_us; /**< Sum of the bookings, which may overlap or have gaps. */
	} booked[COMET_RETURN_SCHEDULE_RANKS];
	/** By rank, the current overload: refusals without a pause in which a caller comes back. */
	struct
	{
		uint64_t from_us; /**< Time of its first refusal. */
		uint64_t last_us; /**< Time of its last refusal; 0: none. */
	} refusals[COMET_RETURN_SCHEDULE_RANKS];
};

/** What is known when a request is refused. */
struct comet_return_inputs
{
	uint32_t rank;
	uint64_t room_us;     /**< When the requests that wait now are served. */
	uint64_t interval_us; /**< Time between two slots that become free for this VM. */
	uint64_t latest_us;   /**< When the caller comes back at the latest. */
	uint64_t until_us;    /**< When a response is of no more use to the caller. */
};

/** The result of an announcement to a refused caller. */
struct comet_return_announcement
{
	uint64_t at_us;   /**< When room is expected, as far as this VM knows. */
	bool is_expected; /**< The overload is expected to end while the caller waits. at_us is not
			     compared: for less urgent ranks it is extrapolated from a rate of
			     almost no dispatches, and is too late in a peak. */
};

/**
 * Announces a time to a caller that is refused now.
 * Room is booked for it at the announced time, or at latest_us if that is earlier, unless the
 * overload has lasted too long to be over when the caller comes back.
 */
struct comet_return_announcement
comet_return_schedule_announce(struct comet_return_schedule *schedule,
	const struct comet_return_inputs *inputs, uint64_t now_us);

/**
 * Decides whether a returned caller for which no slot is expected in time is refused early. It does
 * not come back again, and expected waits are too long in a peak, so the overload must have lasted.
 * latest_us: when a caller that is refused now would come back at the latest
 * until_us: when a response is of no more use to the caller
 */
bool
comet_return_schedule_is_refusal_final(const struct comet_return_schedule *schedule, uint32_t rank,
	uint64_t latest_us, uint64_t until_us, uint64_t now_us);

/** @return the return time that the next refused caller of a rank gets, if the requests that wait
 * now are served at room_us. */
uint64_t
comet_return_schedule_room_us(
	const struct comet_return_schedule *schedule, uint32_t rank, uint64_t room_us);

/** @return the expected wait of a newcomer that would wait for wait_us without bookings. */
uint64_t
comet_return_schedule_wait_us(const struct comet_return_schedule *schedule, uint32_t rank,
	uint64_t wait_us, uint64_t now_us);

#endif
