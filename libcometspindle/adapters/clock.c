/*
 * clock.c
 * the clocks of this machine
 */
#include <libcometspindle/adapters/clock.h>

#include <libcometspindle/adapters/timers.h>
#include <tevent.h>
#include <time.h>

static uint64_t
read_wall_ms(void)
{
	struct timespec now;

	clock_gettime(CLOCK_REALTIME, &now);
	return (uint64_t)now.tv_sec * 1000 + (uint64_t)now.tv_nsec / 1000000;
}

struct comet_time
comet_clock_now(void)
{
	struct comet_time now = {
		.mono_us = comet_timers_now_us(),
		.wall_ms = read_wall_ms(),
	};

	return now;
}

struct timeval
comet_clock_after(uint64_t delay_us)
{
	return tevent_timeval_current_ofs(
		(uint32_t)(delay_us / 1000000), (uint32_t)(delay_us % 1000000));
}
