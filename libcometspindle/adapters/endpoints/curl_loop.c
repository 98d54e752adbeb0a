/*
 * curl_loop.c
 * runs libcurl's multi interface on a tevent loop
 */
#include <libcometspindle/adapters/endpoints/curl_loop.h>

#include <glib.h>
#include <libcometspindle/adapters/clock.h>
#include <talloc.h>

/* Connections kept open and idle, for polls; dispatches open their own. */
#define IDLE_CONNECTIONS 64L

struct comet_curl_loop
{
	struct tevent_context *ev;
	CURLM *multi;
	struct tevent_timer *timer;
	GHashTable *transfers; /* easy -> transfer */
	bool destroying;
};

struct transfer
{
	comet_curl_done done;
	void *ctx;
};

struct watched
{
	struct comet_curl_loop *loop;
	curl_socket_t fd;
	struct tevent_fd *event;
};

static void
collect_done(struct comet_curl_loop *loop)
{
	int left = 0;
	CURLMsg *message = NULL;

	while ((message = curl_multi_info_read(loop->multi, &left)) != NULL)
	{
		CURL *easy = message->easy_handle;
		CURLcode result = message->data.result;
		struct transfer *transfer = g_hash_table_lookup(loop->transfers, easy);
		if (message->msg != CURLMSG_DONE || transfer == NULL)
			continue;
		struct transfer copy = *transfer;
		comet_curl_loop_remove(loop, easy);
		copy.done(copy.ctx, easy, result);
	}
}

static void
on_ready(struct tevent_context *ev, struct tevent_fd *fde, uint16_t flags, void *data)
{
	struct watched *watched = data;
	struct comet_curl_loop *loop = watched->loop;
	int running = 0;
	int mask = ((flags & TEVENT_FD_READ) != 0 ? CURL_CSELECT_IN : 0) |
		   ((flags & TEVENT_FD_WRITE) != 0 ? CURL_CSELECT_OUT : 0);

	(void)ev;
	(void)fde;
	curl_multi_socket_action(loop->multi, watched->fd, mask, &running);
	collect_done(loop);
}

static int
on_socket(CURL *easy, curl_socket_t fd, int what, void *ctx, void *socket_ctx)
{
	struct comet_curl_loop *loop = ctx;
	struct watched *watched = socket_ctx;
	uint16_t flags = 0;

	(void)easy;
	if (what == CURL_POLL_REMOVE)
	{
		talloc_free(watched);
		if (!loop->destroying)
			curl_multi_assign(loop->multi, fd, NULL);
		return 0;
	}
	if ((what & CURL_POLL_IN) != 0)
		flags |= TEVENT_FD_READ;
	if ((what & CURL_POLL_OUT) != 0)
		flags |= TEVENT_FD_WRITE;
	if (watched == NULL)
	{
		watched = talloc_zero(loop, struct watched);
		watched->loop = loop;
		watched->fd = fd;
		watched->event = tevent_add_fd(loop->ev, watched, fd, flags, on_ready, watched);
		curl_multi_assign(loop->multi, fd, watched);
		return 0;
	}
	tevent_fd_set_flags(watched->event, flags);
	return 0;
}

static void
on_timeout(struct tevent_context *ev, struct tevent_timer *timer, struct timeval now, void *data)
{
	struct comet_curl_loop *loop = data;
	int running = 0;

	(void)ev;
	(void)timer;
	(void)now;
	loop->timer = NULL;
	curl_multi_socket_action(loop->multi, CURL_SOCKET_TIMEOUT, 0, &running);
	collect_done(loop);
}

static int
on_timer_change(CURLM *multi, long timeout_ms, void *ctx)
{
	struct comet_curl_loop *loop = ctx;

	(void)multi;
	TALLOC_FREE(loop->timer);
	if (timeout_ms >= 0 && !loop->destroying)
		loop->timer = tevent_add_timer(loop->ev, loop,
			comet_clock_after((uint64_t)timeout_ms * 1000), on_timeout, loop);
	return 0;
}

static int
loop_destructor(struct comet_curl_loop *loop)
{
	GHashTableIter iter;
	gpointer easy = NULL;

	loop->destroying = true;
	g_hash_table_iter_init(&iter, loop->transfers);
	while (g_hash_table_iter_next(&iter, &easy, NULL))
		curl_multi_remove_handle(loop->multi, easy);
	curl_multi_cleanup(loop->multi);
	g_hash_table_destroy(loop->transfers);
	return 0;
}

struct comet_curl_loop *
comet_curl_loop_create(void *parent, struct tevent_context *ev)
{
	struct comet_curl_loop *loop = talloc_zero(parent, struct comet_curl_loop);

	loop->ev = ev;
	loop->multi = curl_multi_init();
	loop->transfers = g_hash_table_new_full(g_direct_hash, g_direct_equal, NULL, g_free);
	curl_multi_setopt(loop->multi, CURLMOPT_SOCKETFUNCTION, on_socket);
	curl_multi_setopt(loop->multi, CURLMOPT_SOCKETDATA, loop);
	curl_multi_setopt(loop->multi, CURLMOPT_TIMERFUNCTION, on_timer_change);
	curl_multi_setopt(loop->multi, CURLMOPT_TIMERDATA, loop);
	curl_multi_setopt(loop->multi, CURLMOPT_MAXCONNECTS, IDLE_CONNECTIONS);
	talloc_set_destructor(loop, loop_destructor);
	return loop;
}

void
comet_curl_loop_add(struct comet_curl_loop *loop, CURL *easy, comet_curl_done done, void *ctx)
{
	struct transfer *transfer = g_new0(struct transfer, 1);

	transfer->done = done;
	transfer->ctx = ctx;
	g_hash_table_insert(loop->transfers, easy, transfer);
	curl_multi_add_handle(loop->multi, easy);
}

void
comet_curl_loop_remove(struct comet_curl_loop *loop, CURL *easy)
{
	curl_multi_remove_handle(loop->multi, easy);
	g_hash_table_remove(loop->transfers, easy);
}
