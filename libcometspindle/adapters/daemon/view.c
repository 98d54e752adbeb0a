/*
 * view.c
 * what the control thread publishes to the traffic threads: immutable, counted
 */
#include <libcometspindle/adapters/daemon/view.h>

#include <glib.h>
#include <pthread.h>
#include <talloc.h>

struct comet_view_board
{
	pthread_mutex_t lock;
	struct comet_view *newest;
};

static int
board_destructor(struct comet_view_board *board)
{
	comet_view_put(board->newest);
	pthread_mutex_destroy(&board->lock);
	return 0;
}

struct comet_view_board *
comet_view_board_create(void *parent)
{
	struct comet_view_board *board = talloc_zero(parent, struct comet_view_board);

	pthread_mutex_init(&board->lock, NULL);
	talloc_set_destructor(board, board_destructor);
	return board;
}

void
comet_view_publish(struct comet_view_board *board, struct comet_view *view)
{
	view->refs = 1;
	pthread_mutex_lock(&board->lock);
	struct comet_view *old = board->newest;
	board->newest = view;
	pthread_mutex_unlock(&board->lock);
	comet_view_put(old);
}

struct comet_view *
comet_view_get(struct comet_view_board *board)
{
	pthread_mutex_lock(&board->lock);
	struct comet_view *view = board->newest;
	if (view != NULL)
		g_atomic_int_inc(&view->refs);
	pthread_mutex_unlock(&board->lock);
	return view;
}

void
comet_view_put(struct comet_view *view)
{
	if (view == NULL || !g_atomic_int_dec_and_test(&view->refs))
		return;
	comet_bundle_unref(view->bundle);
	g_free(view->entries);
	g_free(view->status);
	g_free(view->metrics);
	g_free(view->not_ready);
	g_free(view);
}
