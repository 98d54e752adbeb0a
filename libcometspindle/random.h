/*
 * random.h
 * draws that are spread, not secret: xorshift64*
 */
#ifndef COMETSPINDLE_RANDOM_H
#define COMETSPINDLE_RANDOM_H

#include <stdint.h>

struct comet_random
{
	uint64_t state; /**< never 0 */
};

/** Starts from a seed; the same seed gives the same draws. */
void
comet_random_init(struct comet_random *draw, uint64_t seed);

/** A draw in [0, 2^32). */
uint32_t
comet_random_u32(struct comet_random *draw);

/** A draw in [0, 1). */
double
comet_random_double(struct comet_random *draw);

#endif
