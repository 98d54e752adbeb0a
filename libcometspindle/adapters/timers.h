/*
 * timers.h
 * one-shot timers on a clock that counts suspension, for a tevent loop
 *
 * tevent's own timers follow the wall clock, which may be stepped while the
 * daemon runs; these use one timerfd and are not affected by a step.
 */
#ifndef COMETSPINDLE_ADAPTERS_TIMERS_H
#define COMETSPINDLE_ADAPTERS_TIMERS_H

#include <stdint.h>
#include <tevent.h>

struct comet_timers;
struct comet_timer;

/** Called once when the timer is due; the timer is freed already. */
typedef void (*comet_timer_handler)(void *ctx);

/** @return NULL and sets errno if no timerfd can be created. */
struct comet_timers *
comet_timers_create(void *parent, struct tevent_context *ev);

/** Starts a timer that is due after delay_us. Free with talloc_free to cancel it. */
struct comet_timer *
comet_timers_add(struct comet_timers *timers, void *parent, uint64_t delay_us,
	comet_timer_handler handler, void *ctx);

/** Cancels a timer and clears the variable that names it; NULL is fine. */
void
comet_timer_cancel(struct comet_timer **timer);

/** Delays all timers by this time. After a pause of the process, input that has arrived is then
 * handled before the timers that are due. */
void
comet_timers_hold(struct comet_timers *timers, uint64_t for_us);

/** @return microseconds of the clock that all modules use. It is never set, and it counts the time
 * for which the VM was suspended. */
uint64_t
comet_timers_now_us(void);

#endif
