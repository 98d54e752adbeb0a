/*
 * incarnations.h
 * which life of each endpoint's process is the latest, by what the directory has told
 *
 * A process may start again under its id; its entries then tell a later birth.
 * Entries of the life before may still come, and others may write under an id.
 * No sockets and no clock in here: times are passed in.
 */
#ifndef COMETSPINDLE_GATEWAY_INCARNATIONS_H
#define COMETSPINDLE_GATEWAY_INCARNATIONS_H

#include <libcometspindle/gateway/endpoints/instances.h>
#include <stdint.h>

/** Which life of an endpoint's process an entry is of. */
enum comet_incarnation_order
{
	COMET_INCARNATION_LATEST,  /**< this entry is to be used */
	COMET_INCARNATION_EARLIER, /**< late news: changes nothing, unless it stays the last word */
	COMET_INCARNATION_UNSPECIFIED, /**< it names none, though its process tells: nobody knows
					* who wrote it
					*/
};

struct comet_incarnations;

struct comet_incarnations *
comet_incarnations_create(void *parent);

/** An entry that could be read was told. @return which life it is of */
enum comet_incarnation_order
comet_incarnations_observe(struct comet_incarnations *lives,
	const struct comet_instance_record *record, uint64_t now_us);

/** The directory has no entry under this id any more. */
void
comet_incarnations_forget(struct comet_incarnations *lives, const char *id);

/** The same, but the process is used on for a while: its life is still known. */
void
comet_incarnations_schedule_expiry(struct comet_incarnations *lives, const char *id);

/** That while is over: forgets the life unless an entry has come since. */
void
comet_incarnations_expire(struct comet_incarnations *lives, const char *id);

/** Calls believed for each earlier life whose word has stood for long: it is the one that runs. */
void
comet_incarnations_tick(struct comet_incarnations *lives, uint64_t now_us,
	void (*believed)(void *ctx, const struct comet_instance_record *record), void *ctx);

/** The latest birth that was told under an id; 0: none. */
uint64_t
comet_incarnations_start_ms(const struct comet_incarnations *lives, const char *id);

#endif
