/*
 * latency_model.h
 * usual latency of the requests of one service, learned from its responses
 *
 * All times are those of an endpoint with a relative latency of 1 (instance.h), which multiplies
 * them. The first sample decides which one that is. The relative latency of a typical endpoint
 * follows from those of all endpoints with samples, so that the order in which endpoints respond
 * does not matter. This module uses no clock.
 */
#ifndef COMETSPINDLE_GATEWAY_LATENCY_MODEL_H
#define COMETSPINDLE_GATEWAY_LATENCY_MODEL_H

#include <stdbool.h>
#include <stdint.h>

/** Times for which a moving average is kept. */
enum comet_latency_kind
{
	COMET_LATENCY_KIND_PLAIN, /**< complete plain response */
	COMET_LATENCY_KIND_TOKEN, /**< duration of a stream per expected output token */
	COMET_LATENCY_KIND_EVENT, /**< interval between two events of a stream */
	COMET_LATENCY_KIND_SLOT,  /**< time that a stream of any size occupies a slot */
};

#define COMET_LATENCY_KINDS (COMET_LATENCY_KIND_SLOT + 1)

struct comet_latency_model;

/** Creates a model without samples, which is freed with its parent. */
struct comet_latency_model *
comet_latency_model_create(void *parent);

/** @return the average in microseconds; a default until a sample was learned. */
double
comet_latency_model_mean_us(
	const struct comet_latency_model *latency_model, enum comet_latency_kind kind);

/** @return whether a sample of this kind was learned. */
bool
comet_latency_model_known(
	const struct comet_latency_model *latency_model, enum comet_latency_kind kind);

/** @return whether a sample of any kind was learned. */
bool
comet_latency_model_learned(const struct comet_latency_model *latency_model);

/** Estimates how long a typical request, plain or a stream, occupies a slot. */
double
comet_latency_model_slot_us(const struct comet_latency_model *latency_model);

/**
 * Records the relative latency of an endpoint, of which samples were learned.
 * @param recorded what is recorded of the endpoint so far; 0: nothing
 * @param current the present value; 0: the endpoint is removed
 */
void
comet_latency_model_record_relative(
	struct comet_latency_model *latency_model, double recorded, double current);

/** @return the relative latency of a typical endpoint: the harmonic mean, which weights endpoints
 * by how much work they do in the same time; 1 until one is recorded. */
double
comet_latency_model_typical_relative(const struct comet_latency_model *latency_model);

/** Adds a sample to the average of a kind. */
void
comet_latency_model_learn(
	struct comet_latency_model *latency_model, enum comet_latency_kind kind, double sample_us);

/** Estimates the time until the first event of a stream if no other prompt is processed before. */
double
comet_latency_model_first_us(
	const struct comet_latency_model *latency_model, uint32_t prompt_tokens);

/** Returns the part of that time that is proportional to the prompt's length. */
double
comet_latency_model_prompt_us(
	const struct comet_latency_model *latency_model, uint32_t prompt_tokens);

/** Adds a sample of the time until the first event. */
void
comet_latency_model_learn_first(
	struct comet_latency_model *latency_model, uint32_t prompt_tokens, double first_us);

#endif
