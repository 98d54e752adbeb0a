/*
 * flow.h
 * how fast requests of one rank leave a queue
 *
 * Slots that come free say little of it: more urgent requests and other VMs
 * take some of them.
 */
#ifndef COMETSPINDLE_GATEWAY_FLOW_H
#define COMETSPINDLE_GATEWAY_FLOW_H

#include <stdint.h>

/** Zeroed at first. */
struct comet_flow
{
	uint32_t waiting;
	uint64_t since_us;  /**< the last that had waited was dispatched, or the first began to wait
			     */
	double interval_us; /**< between two of them; 0: not known */
};

/** One more waits. */
void
comet_flow_enter(struct comet_flow *flow, uint64_t now_us);

/** One waits no more, for whatever reason. */
void
comet_flow_leave(struct comet_flow *flow);

/** One that had waited is dispatched. */
void
comet_flow_passed(struct comet_flow *flow, uint64_t now_us);

/** How long one more would wait by the pace of those before it; 0: nothing waits. */
double
comet_flow_wait_us(const struct comet_flow *flow, uint64_t now_us);

#endif
