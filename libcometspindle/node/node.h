/*
 * node.h
 * the control state of one VM: bundle, members, roles and the requests it holds
 *
 * A state machine without sockets, threads or clocks: everything comes in by
 * the calls below and goes out by struct comet_node_ops. One thread owns it.
 */
#ifndef COMETSPINDLE_NODE_H
#define COMETSPINDLE_NODE_H

#include <libcometspindle/node/node_bundle.h>
#include <libcometspindle/node/node_holder.h>
#include <libcometspindle/node/node_peers.h>
#include <libcometspindle/node/node_roles.h>
#include <libcometspindle/node/node_types.h>
#include <stdint.h>

struct comet_node *
comet_node_create(void *parent, const struct comet_node_config *config,
	const struct comet_node_ops *ops, void *ctx, struct comet_time now);

/** The platform's list of VMs. */
void
comet_node_set_vms(
	struct comet_node *node, const struct comet_vm *vms, size_t count, struct comet_time now);

/** To be called every COMET_NODE_TICK_US or so. */
void
comet_node_tick(struct comet_node *node, struct comet_time now);

#define COMET_NODE_TICK_US 20000

/** This VM stops: gives up its roles, tells peers. */
void
comet_node_stop(struct comet_node *node, struct comet_time now);

/** @return NULL when it may take requests, else why not. */
const char *
comet_node_not_ready(const struct comet_node *node);

/** Should this VM watch the platform's bundle (a few per zone do)? */
bool
comet_node_is_reader(struct comet_node *node);

struct comet_membership *
comet_node_members(struct comet_node *node);

/** Requests held by this VM that wait, by tier. */
void
comet_node_waiting(const struct comet_node *node, uint32_t waiting[COMET_TIERS_MAX]);

const struct comet_node_counts *
comet_node_counts(const struct comet_node *node);

#endif
