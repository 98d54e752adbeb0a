/*
 * reachability.h
 * decides whether this VM can reach any endpoint
 *
 * A failed attempt does not show whether the endpoint or this VM's links failed. A check probes
 * several endpoints: links are lost if none accepts a connection. This module uses no sockets and
 * no clock.
 */
#ifndef COMETSPINDLE_GATEWAY_REACHABILITY_H
#define COMETSPINDLE_GATEWAY_REACHABILITY_H

#include <stdbool.h>
#include <stdint.h>

/** Number of endpoints that a check probes. */
#define COMET_REACHABILITY_PROBES 4

/** All zero: the links are sound. */
struct comet_reachability
{
	bool suspected;      /**< an attempt has failed since the last check began */
	bool urgent;         /**< a request waits for the next check */
	bool lost;           /**< the last check reached no endpoint */
	uint32_t pending;    /**< probes of the current check without a result; 0: no check */
	uint64_t checked_us; /**< when the last check ended; 0: never */
};

/** Effect of the result of a probe. */
enum comet_reachability_change
{
	COMET_REACHABILITY_UNCHANGED, /**< the check continues, or confirmed the earlier state */
	COMET_REACHABILITY_LOST,
	COMET_REACHABILITY_RESTORED,
};

/** Records that an attempt failed in a way that lost links also cause. */
void
comet_reachability_suspect(struct comet_reachability *reachability);

/** Shortens the time until the next check, because a request waits for its result. */
void
comet_reachability_hurry(struct comet_reachability *reachability);

/** @return whether a check has to begin now. */
bool
comet_reachability_needs_check(const struct comet_reachability *reachability, uint64_t now_us);

/** Begins a check. @param probes number of endpoints that are probed; 0: there is none to probe */
void
comet_reachability_begin_check(
	struct comet_reachability *reachability, uint32_t probes, uint64_t now_us);

/** Records the result of a probe. One connection shows that the links are sound, and ends the
 * check. */
enum comet_reachability_change
comet_reachability_probed(struct comet_reachability *reachability, bool connected, uint64_t now_us);

/** @return whether a failed attempt says nothing about its endpoint at present, because the links
 * are lost or under check. */
bool
comet_reachability_is_in_doubt(const struct comet_reachability *reachability);

#endif
