/*
 * timers.h
 * one-shot timers on a clock that counts suspension, for a tevent loop
 *
 * tevent's own timers follow the wall clock, which may be stepped while the
 * daemon runs; these sit on one timerfd and never notice a step.
 */
#ifndef COMETSPINDLE_ADAPTERS_TIMERS_H
#define COMETSPINDLE_ADAPTERS_TIMERS_H

#include <stdint.h>
#include <tevent.h>

struct comet_timers;
struct comet_timer;

/** Called once when the timer is due; the timer is freed already. */
typedef void (*comet_timer_handler)(void *ctx);

/** NULL, with errno set, when no timerfd is to be had. */
struct comet_timers *
comet_timers_create(void *parent, struct tevent_context *ev);

/** Starts a timer that is due after delay_us. Free with talloc_free to cancel it. */
struct comet_timer *
comet_timers_add(struct comet_timers *timers, void *parent, uint64_t delay_us,
	comet_timer_handler handler, void *ctx);

/** Cancels a timer and clears the variable that names it; NULL is fine. */
void
comet_timer_cancel(struct comet_timer **timer);

/** Calls no timer for so long: after this process was away, what arrived meanwhile is handled
 * before the timers that fell due. */
void
comet_timers_hold(struct comet_timers *timers, uint64_t for_us);

/** Microseconds of the clock that all control and traffic goes by: it is never set, and counts the
 * time in which the VM was suspended. */
uint64_t
comet_timers_now_us(void);

#endif
