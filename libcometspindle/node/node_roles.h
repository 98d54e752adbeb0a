/*
 * node_roles.h
 * Scheduler roles and the load reports that they need.
 */
#ifndef COMETSPINDLE_NODE_ROLES_H
#define COMETSPINDLE_NODE_ROLES_H

#include <libcometspindle/node/node_types.h>

/** Handles a load report of an endpoint; total is its reported load. */
void
comet_node_report(
	struct comet_node *node, uint32_t endpoint_id, uint32_t total, struct comet_time now);

/** Calls visit once for each endpoint whose load reports this VM needs. */
void
comet_node_each_reported(struct comet_node *node,
	void (*visit)(void *ctx, const struct comet_endpoint *endpoint), void *ctx);

#endif
