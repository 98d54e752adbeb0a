/*
 * node_bundle.h
 * the bundle in force: offered, checked, installed, and fetched from peers
 */
#ifndef COMETSPINDLE_NODE_BUNDLE_H
#define COMETSPINDLE_NODE_BUNDLE_H

#include <libcometspindle/node/node_types.h>

/**
 * A signed bundle from the platform or a peer. Adopted only if it is signed,
 * checked and newer than the one in force; else error says why.
 */
gboolean
comet_node_offer_bundle(struct comet_node *node, GBytes *signed_document, struct comet_time now,
	GError **error) G_GNUC_WARN_UNUSED_RESULT;

/** The bundle in force, or NULL. */
struct comet_bundle *
comet_node_bundle(const struct comet_node *node);

#endif
