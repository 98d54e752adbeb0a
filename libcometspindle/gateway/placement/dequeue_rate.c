/*
 * dequeue_rate.c
 * Measures how fast requests of one rank leave a queue.
 */
#include <libcometspindle/gateway/placement/dequeue_rate.h>

#include <glib.h>

/* Weight of the newest interval in the moving average; the last three or four dispatches dominate
 * it. */
#define SMOOTHING_FACTOR 0.3

/* The measured rate is discarded when a request enters an empty queue this long after the last
 * dispatch, or after the queue was last empty if none followed. */
#define IDLE_RESET_US 1000000

void
comet_dequeue_rate_enqueued(struct comet_dequeue_rate *dequeue_rate, uint64_t now_us)
{
	if (dequeue_rate->n_waiting == 0)
	{
		if (now_us - dequeue_rate->measured_from_us > IDLE_RESET_US)
			dequeue_rate->interval_us = 0;
		dequeue_rate->measured_from_us = now_us;
	}
	dequeue_rate->n_waiting++;
}

void
comet_dequeue_rate_removed(struct comet_dequeue_rate *dequeue_rate)
{
	dequeue_rate->n_waiting--;
}

void
comet_dequeue_rate_dispatched(struct comet_dequeue_rate *dequeue_rate, uint64_t now_us)
{
	double sample_us = (double)(now_us - dequeue_rate->measured_from_us);

	if (dequeue_rate->interval_us == 0)
		dequeue_rate->interval_us = sample_us;
	dequeue_rate->interval_us += SMOOTHING_FACTOR * (sample_us - dequeue_rate->interval_us);
	dequeue_rate->measured_from_us = now_us;
}

double
comet_dequeue_rate_expected_wait_us(
	const struct comet_dequeue_rate *dequeue_rate, uint32_t n_ahead, uint64_t now_us)
{
	if (dequeue_rate->n_waiting == 0)
		return 0;
	return (MIN(dequeue_rate->n_waiting, n_ahead) + 1) *
	       MAX(dequeue_rate->interval_us, (double)(now_us - dequeue_rate->measured_from_us));
}
