/*
 * incarnations.h
 * tracks the latest incarnation of each endpoint's process, from the directory's entries
 *
 * A process may restart under its id; its entries then contain a later process
 * start. Entries of the earlier incarnation may still arrive, and other writers
 * may write under the id. This module uses no sockets and no clock: the caller
 * passes the time.
 */
#ifndef COMETSPINDLE_GATEWAY_INCARNATIONS_H
#define COMETSPINDLE_GATEWAY_INCARNATIONS_H

#include <libcometspindle/gateway/endpoints/instances.h>
#include <stdint.h>

/** The incarnation that wrote an entry, relative to the latest one that is known. */
enum comet_incarnation_order
{
	COMET_INCARNATION_LATEST,  /**< the caller applies this entry */
	COMET_INCARNATION_EARLIER, /**< a delayed entry: ignored unless it remains the last one */
	COMET_INCARNATION_UNSPECIFIED, /**< without a process start, though earlier entries had
					* one: the writer is unknown
					*/
};

struct comet_incarnations;

struct comet_incarnations *
comet_incarnations_create(void *parent);

/** Records a valid entry of the directory. @return the incarnation that wrote it. */
enum comet_incarnation_order
comet_incarnations_observe(struct comet_incarnations *incarnations,
	const struct comet_instance_record *record, uint64_t now_us);

/** Drops the state of an endpoint that the directory no longer lists. */
void
comet_incarnations_forget(struct comet_incarnations *incarnations, const char *id);

/** Marks an endpoint that the directory no longer lists but that stays in use until it expires. Its
 * latest process start is kept. */
void
comet_incarnations_schedule_expiry(struct comet_incarnations *incarnations, const char *id);

/** Drops the state of an expired endpoint unless an entry has been recorded since. */
void
comet_incarnations_expire(struct comet_incarnations *incarnations, const char *id);

/** Accepts each entry of an earlier incarnation that has been the last one for several seconds, and
 * calls accepted for it: that incarnation is the running one. */
void
comet_incarnations_tick(struct comet_incarnations *incarnations, uint64_t now_us,
	void (*accepted)(void *ctx, const struct comet_instance_record *record), void *ctx);

/** Returns the latest process start reported under an id; 0: none. */
uint64_t
comet_incarnations_start_ms(const struct comet_incarnations *incarnations, const char *id);

#endif
