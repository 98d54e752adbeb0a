/*
 * flow.c
 * how fast requests of one rank leave a queue
 */
#include <libcometspindle/gateway/placement/flow.h>

#include <glib.h>

/* Weight of the newest dispatch in the pace: the last three or four count. */
#define WEIGHT 0.3

/* The pace is forgotten after this time without anything waiting. */
#define FORGET_US 1000000

void
comet_flow_enter(struct comet_flow *flow, uint64_t now_us)
{
	if (flow->waiting == 0 && now_us - flow->since_us > FORGET_US)
	{
		flow->since_us = now_us;
		flow->interval_us = 0;
	}
	flow->waiting++;
}

void
comet_flow_leave(struct comet_flow *flow)
{
	flow->waiting--;
}

void
comet_flow_passed(struct comet_flow *flow, uint64_t now_us)
{
	double sample = (double)(now_us - flow->since_us);

	if (flow->interval_us == 0)
		flow->interval_us = sample;
	flow->interval_us += WEIGHT * (sample - flow->interval_us);
	flow->since_us = now_us;
}

double
comet_flow_wait_us(const struct comet_flow *flow, uint64_t now_us)
{
	if (flow->waiting == 0)
		return 0;
	return (flow->waiting + 1) * MAX(flow->interval_us, (double)(now_us - flow->since_us));
}
