/*
 * crash_suspects.h
 * runs that ended without an answer, until it is known whether their endpoint's process crashed
 *
 * A run may be seen to end before or after its process's life, so that both are kept for a while.
 * No sockets and no clock in here.
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

/** A run ended without an answer. */
void
comet_crash_suspects_add(struct comet_crash_suspects *crash_suspects,
	const struct comet_crash_tracker_run *run, uint64_t now_us);

/** @return whether a life has ended unplanned, without a word since last_seen_us. */
bool
comet_crash_suspects_has_ended(const struct comet_crash_suspects *crash_suspects,
	uint32_t incarnation_key, uint64_t last_seen_us);

/**
 * A life has ended unplanned, which was heard last at last_seen_us.
 * @return struct comet_fingerprint of the requests whose runs ended with it, oldest first, to be
 * freed with g_list_free_full(list, g_free)
 */
GList *
comet_crash_suspects_process_crashed(struct comet_crash_suspects *crash_suspects,
	uint32_t incarnation_key, uint64_t last_seen_us, uint64_t now_us);

/** A life has ended as planned. */
void
comet_crash_suspects_forget(struct comet_crash_suspects *crash_suspects, uint32_t incarnation_key);

/** @return runs of a request whose process may just have crashed. */
uint32_t
comet_crash_suspects_count_request(const struct comet_crash_suspects *crash_suspects,
	const struct comet_fingerprint *request, uint64_t now_us);

/** Forgets what is old. */
void
comet_crash_suspects_tick(struct comet_crash_suspects *crash_suspects, uint64_t now_us);

uint32_t
comet_crash_suspects_count(const struct comet_crash_suspects *crash_suspects);

#endif
