/*
 * timers.c
 * one-shot timers on a clock that counts suspension, for a tevent loop
 */
#include <libcometspindle/adapters/timers.h>

#include <glib.h>
#include <libcometspindle/now.h>
#include <sys/timerfd.h>
#include <talloc.h>
#include <time.h>
#include <unistd.h>

/* A VM may be suspended for seconds, which CLOCK_MONOTONIC does not count: deadlines then passed
 * unnoticed, and a request with 2.5 s was sent after 3 s. */
#define COMET_CLOCK CLOCK_BOOTTIME

struct comet_timers
{
	struct tevent_fd *event;
	GSequence *queue;  /* of comet_timer, earliest first */
	uint64_t armed_us; /* what the timerfd is set to; 0: not set */
	uint64_t hold_us;  /* no timer is called before then */
	int fd;
};

struct comet_timer
{
	struct comet_timers *timers;
	GSequenceIter *place; /* NULL once it is due */
	uint64_t due_us;
	comet_timer_handler handler;
	void *ctx;
};

uint64_t
comet_timers_now_us(void)
{
	return comet_now_us(COMET_CLOCK);
}

static gint
compare_due(gconstpointer left, gconstpointer right, gpointer ctx)
{
	const struct comet_timer *a = left;
	const struct comet_timer *b = right;

	(void)ctx;
	if (a->due_us == b->due_us)
		return 0;
	return a->due_us < b->due_us ? -1 : 1;
}

/* Sets the timerfd to the earliest timer, if that is earlier than what it is set to. */
static void
arm(struct comet_timers *timers)
{
	GSequenceIter *first = g_sequence_get_begin_iter(timers->queue);

	if (g_sequence_iter_is_end(first))
		return;
	const struct comet_timer *timer = g_sequence_get(first);
	uint64_t due_us = MAX(timer->due_us, timers->hold_us);
	if (timers->armed_us != 0 && timers->armed_us <= due_us)
		return;
	struct itimerspec when = {
		.it_value = {(time_t)(due_us / 1000000), (long)(due_us % 1000000) * 1000},
	};
	timers->armed_us = due_us;
	timerfd_settime(timers->fd, TFD_TIMER_ABSTIME, &when, NULL);
}

static void
on_ready(struct tevent_context *ev, struct tevent_fd *event, uint16_t flags, void *data)
{
	struct comet_timers *timers = data;
	uint64_t expirations = 0;

	(void)ev;
	(void)event;
	(void)flags;
	if (read(timers->fd, &expirations, sizeof expirations) < 0)
		return; /* not due yet: woken for nothing */
	timers->armed_us = 0;
	uint64_t now_us = comet_timers_now_us();
	while (now_us >= timers->hold_us)
	{
		GSequenceIter *first = g_sequence_get_begin_iter(timers->queue);
		if (g_sequence_iter_is_end(first))
			break;
		struct comet_timer *timer = g_sequence_get(first);
		if (timer->due_us > now_us)
			break;
		comet_timer_handler handler = timer->handler;
		void *ctx = timer->ctx;
		talloc_free(timer);
		handler(ctx);
	}
	arm(timers);
}

void
comet_timers_hold(struct comet_timers *timers, uint64_t for_us)
{
	timers->hold_us = comet_timers_now_us() + for_us;
	timers->armed_us = 0;
	arm(timers);
}

static int
timer_destroy(struct comet_timer *timer)
{
	if (timer->place != NULL)
		g_sequence_remove(timer->place);
	return 0;
}

static int
timers_destroy(struct comet_timers *timers)
{
	GSequenceIter *at = g_sequence_get_begin_iter(timers->queue);

	for (; !g_sequence_iter_is_end(at); at = g_sequence_iter_next(at))
	{
		struct comet_timer *timer = g_sequence_get(at);
		timer->place = NULL;
	}
	g_sequence_free(timers->queue);
	talloc_free(timers->event);
	close(timers->fd);
	return 0;
}

struct comet_timers *
comet_timers_create(void *parent, struct tevent_context *ev)
{
	int fd = timerfd_create(COMET_CLOCK, TFD_NONBLOCK | TFD_CLOEXEC);

	if (fd < 0)
		return NULL;
	struct comet_timers *timers = talloc_zero(parent, struct comet_timers);
	timers->fd = fd;
	timers->queue = g_sequence_new(NULL);
	timers->event = tevent_add_fd(ev, timers, fd, TEVENT_FD_READ, on_ready, timers);
	talloc_set_destructor(timers, timers_destroy);
	return timers;
}

struct comet_timer *
comet_timers_add(struct comet_timers *timers, void *parent, uint64_t delay_us,
	comet_timer_handler handler, void *ctx)
{
	struct comet_timer *timer = talloc_zero(parent, struct comet_timer);

	timer->timers = timers;
	timer->due_us = comet_timers_now_us() + delay_us;
	timer->handler = handler;
	timer->ctx = ctx;
	timer->place = g_sequence_insert_sorted(timers->queue, timer, compare_due, NULL);
	talloc_set_destructor(timer, timer_destroy);
	arm(timers);
	return timer;
}

void
comet_timer_cancel(struct comet_timer **timer)
{
	talloc_free(*timer);
	*timer = NULL;
}
