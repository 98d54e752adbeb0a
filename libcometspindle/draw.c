/*
 * draw.c
 * draws that are spread, not secret: xorshift64*
 */
#include <libcometspindle/draw.h>

void
comet_draw_init(struct comet_draw *draw, uint64_t seed)
{
	draw->state = seed != 0 ? seed : 1;
}

uint32_t
comet_draw_u32(struct comet_draw *draw)
{
	draw->state ^= draw->state >> 12;
	draw->state ^= draw->state << 25;
	draw->state ^= draw->state >> 27;
	return (uint32_t)(draw->state * 0x2545F4914F6CDD1DULL >> 32);
}

double
comet_draw_unit(struct comet_draw *draw)
{
	return (double)comet_draw_u32(draw) / 4294967296.0;
}
