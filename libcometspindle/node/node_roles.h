/*
 * node_roles.h
 * who schedules which shard, and which load reports it reads for that
 */
#ifndef COMETSPINDLE_NODE_ROLES_H
#define COMETSPINDLE_NODE_ROLES_H

#include <libcometspindle/node/node_types.h>

/** A load report of an endpoint. */
void
comet_node_report(
	struct comet_node *node, uint32_t endpoint_id, uint32_t total, struct comet_time now);

/** Endpoints whose load reports this VM should read. Calls back once each. */
void
comet_node_each_reported(struct comet_node *node,
	void (*visit)(void *ctx, const struct comet_endpoint *endpoint), void *ctx);

#endif
