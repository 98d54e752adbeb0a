/*
 * state_snapshot.c
 * the immutable, reference-counted state that the control thread publishes to the worker threads
 */
#include <libcometspindle/adapters/daemon/state_snapshot.h>

#include <glib.h>
#include <pthread.h>
#include <talloc.h>

struct comet_snapshot_publisher
{
	pthread_mutex_t lock;
	struct comet_state_snapshot *newest;
};

static int
board_destructor(struct comet_snapshot_publisher *snapshot_publisher)
{
	comet_state_snapshot_release(snapshot_publisher->newest);
	pthread_mutex_destroy(&snapshot_publisher->lock);
	return 0;
}

struct comet_snapshot_publisher *
comet_snapshot_publisher_create(void *parent)
{
	struct comet_snapshot_publisher *snapshot_publisher =
		talloc_zero(parent, struct comet_snapshot_publisher);

	pthread_mutex_init(&snapshot_publisher->lock, NULL);
	talloc_set_destructor(snapshot_publisher, board_destructor);
	return snapshot_publisher;
}

void
comet_state_snapshot_publish(
	struct comet_snapshot_publisher *snapshot_publisher, struct comet_state_snapshot *view)
{
	view->refs = 1;
	pthread_mutex_lock(&snapshot_publisher->lock);
	struct comet_state_snapshot *old = snapshot_publisher->newest;
	snapshot_publisher->newest = view;
	pthread_mutex_unlock(&snapshot_publisher->lock);
	comet_state_snapshot_release(old);
}

struct comet_state_snapshot *
comet_state_snapshot_acquire(struct comet_snapshot_publisher *snapshot_publisher)
{
	pthread_mutex_lock(&snapshot_publisher->lock);
	struct comet_state_snapshot *view = snapshot_publisher->newest;
	if (view != NULL)
		g_atomic_int_inc(&view->refs);
	pthread_mutex_unlock(&snapshot_publisher->lock);
	return view;
}

void
comet_state_snapshot_release(struct comet_state_snapshot *view)
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
