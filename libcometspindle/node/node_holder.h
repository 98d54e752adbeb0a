/*
 * node_holder.h
 * Life cycle of the requests that this VM holds.
 */
#ifndef COMETSPINDLE_NODE_HOLDER_H
#define COMETSPINDLE_NODE_HOLDER_H

#include <libcometspindle/node/node_types.h>

/** Submits a new request. The node calls dispatch or refuse, possibly before this returns. */
void
comet_node_submit(
	struct comet_node *node, const struct comet_submission *submission, struct comet_time now);

/** Reports the outcome of a dispatch. */
void
comet_node_finished(struct comet_node *node, uint64_t request, enum comet_outcome outcome,
	const struct comet_sample *sample, struct comet_time now);

/** Reports that the caller disconnected before the dispatch. */
void
comet_node_abandoned(struct comet_node *node, uint64_t request, struct comet_time now);

/** Reports a stream that is slower than expected of its endpoint (step_us) or silent (0). */
void
comet_node_slow(struct comet_node *node, uint64_t request, uint32_t step_us, struct comet_time now);

#endif
