/*
 * cold_share.h
 * how many of the requests that a cold endpoint may receive in a second one VM decides on
 *
 * The limit applies to all VMs together, and VMs may disagree about the owner of a shard. So the
 * share of a VM does not depend on which requests reach it, but on what it knows itself: its
 * position among the VMs that may own the shard, the fraction of the VMs that it hears, and the
 * age of its process. docs/design/cold-endpoints.md states the assumptions under which the shares
 * add up to one at most. This module uses no clock.
 */
#ifndef COMETSPINDLE_GATEWAY_COLD_SHARE_H
#define COMETSPINDLE_GATEWAY_COLD_SHARE_H

#include <stdbool.h>
#include <stdint.h>

/** Slices of time for which the worst position and fraction are kept, and their length. A better
 * one thus counts after a hold time of 1.5 to 2 s: this covers the second of the limit, the delay
 * of requests, and the time by which VMs learn of a change later than others (0.3 s). */
#define COMET_COLD_SHARE_SLICES 4
#define COMET_COLD_SHARE_SLICE_US 500000

/** Position of a VM among those that may own a shard, as it is used; all zero at first. */
struct comet_cold_position
{
	uint32_t position;    /**< number of VMs that are preferred over this one */
	uint64_t checked_us;  /**< time of the last update; 0: none */
	uint64_t reformed_us; /**< when the shard was formed anew from others; 0: never */
	uint64_t slice;       /**< index of the newest slice */
	uint32_t worst[COMET_COLD_SHARE_SLICES]; /**< by slice, a ring buffer */
};

/** Fraction of the VMs from which this VM receives gossip, as it is used; all zero at first. */
struct comet_cold_fraction
{
	double fraction;
	bool discovered;                        /**< discovery was complete at the last update */
	uint64_t slice;                         /**< index of the newest slice */
	double lowest[COMET_COLD_SHARE_SLICES]; /**< by slice, a ring buffer */
};

/** The VMs, as far as this one knows them. */
struct comet_cold_vms
{
	uint32_t heard;   /**< VMs from which gossip is received, including this one */
	uint32_t known;   /**< VMs that may be alive, including this one; at least heard */
	bool discovering; /**< this VM still discovers other VMs */
	uint64_t age_us;  /**< time since the start of this process, or since a long pause of it */
	bool is_younger;  /**< another VM started noticeably earlier, or this process paused */
};

/** Ages of a process, by what it may assume about the second before. */
enum comet_cold_age
{
	COMET_COLD_AGE_STARTED, /**< it decides on nothing */
	COMET_COLD_AGE_YOUNG,   /**< requests that others sent before it started still count */
	COMET_COLD_AGE_GROWN,   /**< such requests no longer count */
};

/** What a VM knows that decides on its share. */
struct comet_cold_claim
{
	uint32_t position;
	double fraction;
	enum comet_cold_age age;
};

/** Updates the position: a worse one counts at once, a better one after the hold time. The first
 * position counts at once. */
void
comet_cold_position_update(
	struct comet_cold_position *position, uint32_t observed, uint64_t now_us);

/** Records that the shard was formed anew from others, whose owners may have been other VMs. */
void
comet_cold_position_reformed(struct comet_cold_position *position, uint64_t now_us);

/** Returns whether requests that VMs decided on before the shard was formed may still count. */
bool
comet_cold_position_is_new(const struct comet_cold_position *position, uint64_t now_us);

/**
 * Updates the fraction: a lower one counts at once, a higher one after the hold time. While this
 * VM discovers the others, any fraction counts at once, an assumed number of VMs is known, and a VM
 * that hears fewer than half of the VMs that it knows decides on nothing.
 */
void
comet_cold_fraction_update(
	struct comet_cold_fraction *fraction, const struct comet_cold_vms *vms, uint64_t now_us);

/** @param is_younger whether another VM started noticeably earlier */
enum comet_cold_age
comet_cold_share_age(uint64_t age_us, bool is_younger);

/**
 * Returns how many requests the VM may send or grant to a cold endpoint in any second.
 * @param max_per_s requests per second that the endpoint may receive from all VMs
 */
uint32_t
comet_cold_share_allowance(const struct comet_cold_claim *claim, double max_per_s);

#endif
