/*
 * speeds.h
 * how long the requests of one service usually take, learned from its answers
 *
 * All times are those of an endpoint of usual pace; an endpoint's own pace
 * multiplies them (instances.h). No clock in here.
 */
#ifndef COMETSPINDLE_GATEWAY_SPEEDS_H
#define COMETSPINDLE_GATEWAY_SPEEDS_H

#include <stdbool.h>
#include <stdint.h>

/** Times of which a mean is kept. */
enum comet_speed
{
	COMET_SPEED_PLAIN, /**< a whole plain answer */
	COMET_SPEED_TOKEN, /**< of a stream, per token expected of it */
	COMET_SPEED_EVENT, /**< between two events */
	COMET_SPEED_SLOT,  /**< that a stream holds a slot, of whatever size */
};

#define COMET_SPEEDS (COMET_SPEED_SLOT + 1)

struct comet_speeds;

/** Freed with its parent. */
struct comet_speeds *
comet_speeds_create(void *parent);

/** @return the mean in microseconds; a plausible time until one was learned */
double
comet_speeds_mean_us(const struct comet_speeds *speeds, enum comet_speed speed);

/** @return whether a time was learned. */
bool
comet_speeds_known(const struct comet_speeds *speeds, enum comet_speed speed);

/** @return whether any was. */
bool
comet_speeds_learned(const struct comet_speeds *speeds);

/** How long a usual request holds a slot, plain or a stream. */
double
comet_speeds_slot_us(const struct comet_speeds *speeds);

void
comet_speeds_learn(struct comet_speeds *speeds, enum comet_speed speed, double sample_us);

/** Time until a stream's first event, where nothing else is to be read before. */
double
comet_speeds_first_us(const struct comet_speeds *speeds, uint32_t prompt_tokens);

/** The part of that time that its prompt's length takes. */
double
comet_speeds_prompt_us(const struct comet_speeds *speeds, uint32_t prompt_tokens);

/** A first event came after first_us. */
void
comet_speeds_learn_first(struct comet_speeds *speeds, uint32_t prompt_tokens, double first_us);

#endif
