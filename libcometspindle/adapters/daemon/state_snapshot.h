/*
 * state_snapshot.h
 * the immutable, reference-counted state that the control thread publishes to the worker threads
 */
#ifndef COMETSPINDLE_ADAPTERS_STATE_SNAPSHOT_H
#define COMETSPINDLE_ADAPTERS_STATE_SNAPSHOT_H

#include <libcometspindle/bundle.h>

/** One state of the world; replaced whole, never changed. */
struct comet_state_snapshot
{
	int refs;
	struct comet_bundle *bundle; /**< NULL: none yet */
	char *entries;               /**< body of GET /v1/entries */
	char *status;                /**< body of GET /status */
	char *metrics;               /**< body of GET /metrics */
	char *not_ready;             /**< NULL: ready */
};

/** Where the newest view is found. */
struct comet_snapshot_publisher;

struct comet_snapshot_publisher *
comet_snapshot_publisher_create(void *parent);

/** Takes over the view and makes it the newest. */
void
comet_state_snapshot_publish(
	struct comet_snapshot_publisher *snapshot_publisher, struct comet_state_snapshot *view);

/** @return the newest view with a reference, or NULL before the first. */
struct comet_state_snapshot *
comet_state_snapshot_acquire(struct comet_snapshot_publisher *snapshot_publisher);

void
comet_state_snapshot_release(struct comet_state_snapshot *view);

#endif
