/*
 * dequeue_rate.h
 * how fast requests of one rank leave a queue
 *
 * Slots that come free say little of it: more urgent requests and other VMs
 * take some of them.
 */
#ifndef COMETSPINDLE_GATEWAY_DEQUEUE_RATE_H
#define COMETSPINDLE_GATEWAY_DEQUEUE_RATE_H

#include <stdint.h>

/** Zeroed at first. */
struct comet_dequeue_rate
{
	uint32_t waiting;
	uint64_t since_us;  /**< the last that had waited was dispatched, or the first began to wait
			     */
	double interval_us; /**< between two of them; 0: not known */
};

/** One more waits. */
void
comet_dequeue_rate_enqueued(struct comet_dequeue_rate *dequeue_rate, uint64_t now_us);

/** One waits no more, for whatever reason. */
void
comet_dequeue_rate_removed(struct comet_dequeue_rate *dequeue_rate);

/** One that had waited is dispatched. */
void
comet_dequeue_rate_dispatched(struct comet_dequeue_rate *dequeue_rate, uint64_t now_us);

/** How long one more would wait by the pace of those before it; 0: nothing waits. */
double
comet_dequeue_rate_expected_wait_us(const struct comet_dequeue_rate *dequeue_rate, uint64_t now_us);

#endif
