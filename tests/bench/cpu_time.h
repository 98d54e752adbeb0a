/*
 * cpu_time.h
 * processor time of this process, for measurements
 */
#ifndef COMETSPINDLE_TESTS_CPU_TIME_H
#define COMETSPINDLE_TESTS_CPU_TIME_H

#include <stdint.h>
#include <time.h>

static inline uint64_t
cpu_ns(void)
{
	struct timespec now;

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &now);
	return (uint64_t)now.tv_sec * 1000000000 + (uint64_t)now.tv_nsec;
}

#endif
