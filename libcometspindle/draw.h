/*
 * draw.h
 * draws that are spread, not secret: xorshift64*
 */
#ifndef COMETSPINDLE_DRAW_H
#define COMETSPINDLE_DRAW_H

#include <stdint.h>

struct comet_draw
{
	uint64_t state; /**< never 0 */
};

/** Starts from a seed; the same seed gives the same draws. */
void
comet_draw_init(struct comet_draw *draw, uint64_t seed);

/** A draw in [0, 2^32). */
uint32_t
comet_draw_u32(struct comet_draw *draw);

/** A draw in [0, 1). */
double
comet_draw_unit(struct comet_draw *draw);

#endif
