/*
 * dequeue_rate.h
 * Measures how fast requests of one rank leave a queue.
 *
 * The rate is measured at dispatches and not derived from the slots that
 * become free, because more urgent requests and other VMs take some of those
 * slots.
 */
#ifndef COMETSPINDLE_GATEWAY_DEQUEUE_RATE_H
#define COMETSPINDLE_GATEWAY_DEQUEUE_RATE_H

#include <stdint.h>

/** Must be zero-initialized. */
struct comet_dequeue_rate
{
	uint32_t n_waiting;
	uint64_t measured_from_us; /**< Time of the last dispatch of a queued request, or of the
				      last enqueue into an empty queue if that is later. */
	double interval_us;        /**< Smoothed time between two dispatches; 0: unknown. */
};

/** Records that a request has been enqueued. */
void
comet_dequeue_rate_enqueued(struct comet_dequeue_rate *dequeue_rate, uint64_t now_us);

/** Records that a request has left the queue, whether dispatched, refused or cancelled. */
void
comet_dequeue_rate_removed(struct comet_dequeue_rate *dequeue_rate);

/** Records that a queued request has been dispatched. */
void
comet_dequeue_rate_dispatched(struct comet_dequeue_rate *dequeue_rate, uint64_t now_us);

/**
 * @param n_ahead number of requests that would be served before; no more of them count than wait
 * here, because the others have rates of their own
 * @return the time that one more request would wait at the measured rate; 0: the queue is empty.
 */
double
comet_dequeue_rate_expected_wait_us(
	const struct comet_dequeue_rate *dequeue_rate, uint32_t n_ahead, uint64_t now_us);

#endif
