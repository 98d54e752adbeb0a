/*
 * random.c
 * draws that are spread, not secret: xorshift64*
 */
#include <libcometspindle/random.h>

void
comet_random_init(struct comet_random *draw, uint64_t seed)
{
	draw->state = seed != 0 ? seed : 1;
}

uint32_t
comet_random_u32(struct comet_random *draw)
{
	draw->state ^= draw->state >> 12;
	draw->state ^= draw->state << 25;
	draw->state ^= draw->state >> 27;
	return (uint32_t)(draw->state * 0x2545F4914F6CDD1DULL >> 32);
}

double
comet_random_double(struct comet_random *draw)
{
	return (double)comet_random_u32(draw) / 4294967296.0;
}
