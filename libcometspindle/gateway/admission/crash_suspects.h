/*
 * crash_suspects.h
 * attempts that ended without a response, kept until it is known whether the process crashed
 *
 * The end of an attempt may be detected before or after the crash of the process, so both are
 * remembered for a while. This module uses no sockets and no clock.
 */
#ifndef COMETSPINDLE_GATEWAY_CRASH_SUSPECTS_H
#define COMETSPINDLE_GATEWAY_CRASH_SUSPECTS_H

#include <glib.h>
#include <libcometspindle/gateway/admission/crash_tracker.h>
#include <libcometspindle/gateway/admission/fingerprint.h>
#include <stdbool.h>
#include <stdint.h>

struct comet_crash_suspects;

struct comet_crash_suspects *
comet_crash_suspects_create(void *parent);

/** Records an attempt that ended without a response. */
void
comet_crash_suspects_add(struct comet_crash_suspects *crash_suspects,
	const struct comet_crash_attempt *attempt, uint64_t now_us);

/** @return whether a crash of the incarnation was recorded at or after last_seen_us. */
bool
comet_crash_suspects_has_crashed(const struct comet_crash_suspects *crash_suspects,
	uint32_t incarnation_key, uint64_t last_seen_us);

/** A subject that an incarnation ran when it crashed. */
struct comet_crash_suspect
{
	struct comet_fingerprint subject;
	uint64_t request_digest; /**< of the request of the attempt */
	uint64_t sent_us;        /**< when the request was sent to the endpoint */
	uint64_t began_us;       /**< when the response began; 0: it did not */
	uint64_t ended_us;       /**< when the attempt ended */
};

/**
 * Records that an incarnation has crashed; last_seen_us is when it was last seen alive.
 * @return the struct comet_crash_suspect of each attempt that ended with the process, oldest first.
 * The caller frees the list with g_list_free_full(list, g_free).
 */
GList *
comet_crash_suspects_process_crashed(struct comet_crash_suspects *crash_suspects,
	uint32_t incarnation_key, uint64_t last_seen_us, uint64_t now_us);

/**
 * Removes the attempts whose response turned out to be complete, because their process was seen
 * alive after it, or its incarnation is still in use when a crash would be known.
 * @param last_seen_us as in struct comet_crash_tracker_ops
 * @return their struct comet_crash_suspect; the caller frees the list
 */
GList *
comet_crash_suspects_take_proven(struct comet_crash_suspects *crash_suspects,
	uint64_t (*last_seen_us)(void *ctx, uint32_t incarnation_key), void *ctx, uint64_t now_us);

/** Drops the suspects of an incarnation that exited as planned. */
void
comet_crash_suspects_forget(struct comet_crash_suspects *crash_suspects, uint32_t incarnation_key);

/** @return the end of the earliest recent attempt of a subject which ended after ended_after_us and
 * whose process may have crashed; 0: there is none */
uint64_t
comet_crash_suspects_first_us(const struct comet_crash_suspects *crash_suspects,
	const struct comet_fingerprint *subject, uint64_t ended_after_us, uint64_t now_us);

/** @return the number of recent attempts of a subject which were sent after sent_after_us, ended
 * after ended_after_us, and whose process may have crashed. */
uint32_t
comet_crash_suspects_count_subject(const struct comet_crash_suspects *crash_suspects,
	const struct comet_fingerprint *subject, uint64_t sent_after_us, uint64_t ended_after_us,
	uint64_t now_us);

/** Drops expired suspects. */
void
comet_crash_suspects_tick(struct comet_crash_suspects *crash_suspects, uint64_t now_us);

uint32_t
comet_crash_suspects_count(const struct comet_crash_suspects *crash_suspects);

#endif
