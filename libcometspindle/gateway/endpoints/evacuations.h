/*
 * evacuations.h
 * orders to evacuate availability zones, as the directory tells them
 *
 * Endpoints of an evacuated zone get no new work; what runs there goes on. An
 * order holds until the directory says that it has ended, also while the
 * directory is not answering.
 */
#ifndef COMETSPINDLE_GATEWAY_EVACUATIONS_H
#define COMETSPINDLE_GATEWAY_EVACUATIONS_H

#include <libcometspindle/gateway/endpoints/instances.h>
#include <stdbool.h>
#include <stdint.h>

struct comet_evacuations;

/** restored: called when an order has ended, after its endpoints may be used again. */
struct comet_evacuations *
comet_evacuations_create(void *parent, struct comet_instances *instances,
	void (*restored)(void *ctx, const char *zone), void *ctx);

/** A zone is to be evacuated. @return whether that is new. */
bool
comet_evacuations_order(struct comet_evacuations *evacuations, const char *zone);

/** The order has ended. */
void
comet_evacuations_end(struct comet_evacuations *evacuations, const char *zone, uint64_t now_us);

/** The order may have ended: it holds until that time, unless it is given again. */
void
comet_evacuations_schedule_expiry(
	struct comet_evacuations *evacuations, const char *zone, uint64_t until_us);

/** Ends the orders that were doubted for long enough. */
void
comet_evacuations_tick(struct comet_evacuations *evacuations, uint64_t now_us);

/** Calls visit for each evacuated zone. */
void
comet_evacuations_each(const struct comet_evacuations *evacuations,
	void (*visit)(void *ctx, const char *zone), void *ctx);

#endif
