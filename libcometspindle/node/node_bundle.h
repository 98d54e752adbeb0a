/*
 * node_bundle.h
 * Verification and installation of configuration bundles.
 */
#ifndef COMETSPINDLE_NODE_BUNDLE_H
#define COMETSPINDLE_NODE_BUNDLE_H

#include <libcometspindle/node/node_types.h>

/**
 * Offers a signed bundle from the platform or a peer. The node adopts the bundle only if its
 * signature and content are valid and it is newer than the current one; else error is set.
 */
gboolean
comet_node_offer_bundle(struct comet_node *node, GBytes *signed_document, struct comet_time now,
	GError **error) G_GNUC_WARN_UNUSED_RESULT;

/** The current bundle, or NULL. */
struct comet_bundle *
comet_node_bundle(const struct comet_node *node);

#endif
