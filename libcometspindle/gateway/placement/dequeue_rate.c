/*
 * dequeue_rate.c
 * how fast requests of one rank leave a queue
 */
#include <libcometspindle/gateway/placement/dequeue_rate.h>

#include <glib.h>

/* Weight of the newest dispatch in the pace: the last three or four count. */
#define WEIGHT 0.3

/* The pace is forgotten after this time without anything waiting. */
#define FORGET_US 1000000

void
comet_dequeue_rate_enqueued(struct comet_dequeue_rate *dequeue_rate, uint64_t now_us)
{
	if (dequeue_rate->waiting == 0 && now_us - dequeue_rate->since_us > FORGET_US)
	{
		dequeue_rate->since_us = now_us;
		dequeue_rate->interval_us = 0;
	}
	dequeue_rate->waiting++;
}

void
comet_dequeue_rate_removed(struct comet_dequeue_rate *dequeue_rate)
{
	dequeue_rate->waiting--;
}

void
comet_dequeue_rate_dispatched(struct comet_dequeue_rate *dequeue_rate, uint64_t now_us)
{
	double sample = (double)(now_us - dequeue_rate->since_us);

	if (dequeue_rate->interval_us == 0)
		dequeue_rate->interval_us = sample;
	dequeue_rate->interval_us += WEIGHT * (sample - dequeue_rate->interval_us);
	dequeue_rate->since_us = now_us;
}

double
comet_dequeue_rate_expected_wait_us(const struct comet_dequeue_rate *dequeue_rate, uint64_t now_us)
{
	if (dequeue_rate->waiting == 0)
		return 0;
	return (dequeue_rate->waiting + 1) *
	       MAX(dequeue_rate->interval_us, (double)(now_us - dequeue_rate->since_us));
}
