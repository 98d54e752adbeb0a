/*
 * latency_model.h
 * how long the requests of one service usually take, learned from its answers
 *
 * All times are those of an endpoint of usual pace; an endpoint's own pace
 * multiplies them (instances.h). No clock in here.
 */
#ifndef COMETSPINDLE_GATEWAY_LATENCY_MODEL_H
#define COMETSPINDLE_GATEWAY_LATENCY_MODEL_H

#include <stdbool.h>
#include <stdint.h>

/** Times of which a mean is kept. */
enum comet_latency_kind
{
	COMET_LATENCY_KIND_PLAIN, /**< a whole plain answer */
	COMET_LATENCY_KIND_TOKEN, /**< of a stream, per token expected of it */
	COMET_LATENCY_KIND_EVENT, /**< between two events */
	COMET_LATENCY_KIND_SLOT,  /**< that a stream holds a slot, of whatever size */
};

#define COMET_LATENCY_KINDS (COMET_LATENCY_KIND_SLOT + 1)

struct comet_latency_model;

/** Freed with its parent. */
struct comet_latency_model *
comet_latency_model_create(void *parent);

/** @return the mean in microseconds; a plausible time until one was learned */
double
comet_latency_model_mean_us(
	const struct comet_latency_model *latency_model, enum comet_latency_kind speed);

/** @return whether a time was learned. */
bool
comet_latency_model_known(
	const struct comet_latency_model *latency_model, enum comet_latency_kind speed);

/** @return whether any was. */
bool
comet_latency_model_learned(const struct comet_latency_model *latency_model);

/** How long a usual request holds a slot, plain or a stream. */
double
comet_latency_model_slot_us(const struct comet_latency_model *latency_model);

void
comet_latency_model_learn(
	struct comet_latency_model *latency_model, enum comet_latency_kind speed, double sample_us);

/** Time until a stream's first event, where nothing else is to be read before. */
double
comet_latency_model_first_us(
	const struct comet_latency_model *latency_model, uint32_t prompt_tokens);

/** The part of that time that its prompt's length takes. */
double
comet_latency_model_prompt_us(
	const struct comet_latency_model *latency_model, uint32_t prompt_tokens);

/** A first event came after first_us. */
void
comet_latency_model_learn_first(
	struct comet_latency_model *latency_model, uint32_t prompt_tokens, double first_us);

#endif
