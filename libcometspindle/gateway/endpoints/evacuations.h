/*
 * evacuations.h
 * evacuation orders for availability zones, as published in the directory
 *
 * Endpoints of an evacuated zone receive no new requests; running requests
 * complete. An order stays in force until the directory reports its end, also
 * while the directory is unreachable.
 */
#ifndef COMETSPINDLE_GATEWAY_EVACUATIONS_H
#define COMETSPINDLE_GATEWAY_EVACUATIONS_H

#include <libcometspindle/gateway/endpoints/instances.h>
#include <stdbool.h>
#include <stdint.h>

struct comet_evacuations;

/** @param restored called after an order has ended and its endpoints may be used again */
struct comet_evacuations *
comet_evacuations_create(void *parent, struct comet_instances *instances,
	void (*restored)(void *ctx, const char *zone), void *ctx);

/** Evacuates a zone. @return whether the order is new. */
bool
comet_evacuations_order(struct comet_evacuations *evacuations, const char *zone);

/** Ends an order; does nothing if the zone is not evacuated. */
void
comet_evacuations_end(struct comet_evacuations *evacuations, const char *zone, uint64_t now_us);

/** Ends an order at expire_us unless the directory lists it again before then. */
void
comet_evacuations_schedule_expiry(
	struct comet_evacuations *evacuations, const char *zone, uint64_t expire_us);

/** Ends the orders whose expiry time has passed. */
void
comet_evacuations_tick(struct comet_evacuations *evacuations, uint64_t now_us);

/** Calls visit for each evacuated zone. */
void
comet_evacuations_each(const struct comet_evacuations *evacuations,
	void (*visit)(void *ctx, const char *zone), void *ctx);

#endif
