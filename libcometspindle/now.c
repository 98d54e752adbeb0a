/*
 * now.c
 * the time on one of this machine's clocks
 */
#include <libcometspindle/now.h>

uint64_t
comet_now_us(clockid_t clock)
{
	struct timespec now;

	clock_gettime(clock, &now);
	return (uint64_t)now.tv_sec * 1000000 + (uint64_t)now.tv_nsec / 1000;
}
