/*
 * clock.h
 * the clocks of this machine
 */
#ifndef COMETSPINDLE_ADAPTERS_CLOCK_H
#define COMETSPINDLE_ADAPTERS_CLOCK_H

#include <libcometspindle/node/node.h>
#include <sys/time.h>

/** Both clocks: CLOCK_BOOTTIME, which counts suspension, and the wall clock. */
struct comet_time
comet_clock_now(void);

/** A tevent time that lies delay_us ahead. */
struct timeval
comet_clock_after(uint64_t delay_us);

#endif
