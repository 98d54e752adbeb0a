/*
 * clock.c
 * the clocks of this machine
 */
#include <libcometspindle/adapters/clock.h>

#include <libcometspindle/adapters/timers.h>
#include <libcometspindle/now.h>
#include <tevent.h>

struct comet_time
comet_clock_now(void)
{
	struct comet_time now = {
		.mono_us = comet_timers_now_us(),
		.wall_ms = comet_now_us(CLOCK_REALTIME) / 1000,
	};

	return now;
}

struct timeval
comet_clock_after(uint64_t delay_us)
{
	return tevent_timeval_current_ofs(
		(uint32_t)(delay_us / 1000000), (uint32_t)(delay_us % 1000000));
}
