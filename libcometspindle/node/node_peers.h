/*
 * node_peers.h
 * Messages between VMs.
 */
#ifndef COMETSPINDLE_NODE_PEERS_H
#define COMETSPINDLE_NODE_PEERS_H

#include <libcometspindle/node/node_types.h>

/** Handles a packet from a peer. blob is a signed bundle or NULL. */
void
comet_node_receive(struct comet_node *node, uint64_t from, const comet_Packet *packet, GBytes *blob,
	struct comet_time now);

/** Sends all queued items. The caller calls this after each batch of inputs. */
void
comet_node_flush(struct comet_node *node, struct comet_time now);

/** @return true if items wait for comet_node_flush(). */
bool
comet_node_pending(const struct comet_node *node);

#endif
