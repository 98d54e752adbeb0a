/*
 * view.h
 * what the control thread publishes to the traffic threads: immutable, counted
 */
#ifndef COMETSPINDLE_ADAPTERS_VIEW_H
#define COMETSPINDLE_ADAPTERS_VIEW_H

#include <libcometspindle/bundle.h>

/** One state of the world; replaced whole, never changed. */
struct comet_view
{
	int refs;
	struct comet_bundle *bundle; /**< NULL: none yet */
	char *entries;               /**< body of GET /v1/entries */
	char *status;                /**< body of GET /status */
	char *metrics;               /**< body of GET /metrics */
	char *not_ready;             /**< NULL: ready */
};

/** Where the newest view is found. */
struct comet_view_board;

struct comet_view_board *
comet_view_board_create(void *parent);

/** Takes over the view and makes it the newest. */
void
comet_view_publish(struct comet_view_board *board, struct comet_view *view);

/** @return the newest view with a reference, or NULL before the first. */
struct comet_view *
comet_view_get(struct comet_view_board *board);

void
comet_view_put(struct comet_view *view);

#endif
