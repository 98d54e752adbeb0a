/*
 * now.h
 * the time on one of this machine's clocks
 */
#ifndef COMETSPINDLE_NOW_H
#define COMETSPINDLE_NOW_H

#include <stdint.h>
#include <time.h>

/** @return microseconds on a clock of clock_gettime(). */
uint64_t
comet_now_us(clockid_t clock);

#endif
