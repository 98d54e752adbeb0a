/*
 * node.h
 * Control state of one VM: bundle, member list, scheduler roles and held requests.
 *
 * The node is a state machine without sockets, threads or clocks. Input arrives through the
 * functions below, output leaves through struct comet_node_ops. Only one thread may use a node.
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

/** Replaces the VM list with the current one of the platform. */
void
comet_node_set_vms(
	struct comet_node *node, const struct comet_vm *vms, size_t count, struct comet_time now);

/** Runs timers. The caller calls this about every COMET_NODE_TICK_US. */
void
comet_node_tick(struct comet_node *node, struct comet_time now);

#define COMET_NODE_TICK_US 20000

/** Starts a planned stop: announces to all live peers that this VM is leaving. */
void
comet_node_stop(struct comet_node *node, struct comet_time now);

/** @return NULL if the VM is ready for requests, else the reason why it is not. */
const char *
comet_node_not_ready(const struct comet_node *node);

/** True if this VM is one of the few per availability zone that watch the bundle of the platform.
 */
bool
comet_node_is_reader(struct comet_node *node);

struct comet_membership *
comet_node_members(struct comet_node *node);

/** Copies the number of waiting requests held by this VM, by tier. */
void
comet_node_waiting(const struct comet_node *node, uint32_t waiting[COMET_TIERS_MAX]);

const struct comet_node_counts *
comet_node_counts(const struct comet_node *node);

#endif
