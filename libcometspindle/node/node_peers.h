/*
 * node_peers.h
 * messages between VMs: packing what goes out, handing on what comes in
 */
#ifndef COMETSPINDLE_NODE_PEERS_H
#define COMETSPINDLE_NODE_PEERS_H

#include <libcometspindle/node/node_types.h>

/** Messages from a peer. */
void
comet_node_receive(struct comet_node *node, uint64_t from, const comet_Packet *packet, GBytes *blob,
	struct comet_time now);

/** Sends what is packed for peers; call when a batch of inputs is done. */
void
comet_node_flush(struct comet_node *node, struct comet_time now);

/** @return true while messages wait to be flushed. */
bool
comet_node_pending(const struct comet_node *node);

#endif
