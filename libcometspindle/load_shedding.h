/*
 * load_shedding.h
 * shedding in tier order across VMs, by promises that ride on heartbeats
 *
 * Two numbers per VM. keep_below: it keeps no waiting request of this tier
 * or a lower one. shed_from: it sheds no request of a tier above this one.
 * (Tier 0 is the most urgent, so "lower" means a larger number.) A VM
 * announces a change, holds the old promise for COMET_LOAD_SHEDDING_PROMISE_US more, and
 * acts only if every listed VM's fresh promise allows it. Hence no VM sheds a
 * tier while another keeps a lower one; a VM that cannot be heard blocks the
 * change, and requests wait. A VM that starts keeps only tier 0 until every
 * listed VM has answered it, and takes no requests before.
 */
#ifndef COMETSPINDLE_LOAD_SHEDDING_H
#define COMETSPINDLE_LOAD_SHEDDING_H

#include <libcometspindle/membership.h>
#include <stdbool.h>
#include <stdint.h>

/** How long a promise is kept after it was last sent. */
#define COMET_LOAD_SHEDDING_PROMISE_US 1000000ULL

struct comet_load_shedding
{
	uint32_t n_tiers;
	uint32_t keep_below;    /**< in force */
	uint32_t shed_from;     /**< in force */
	uint32_t keep_promised; /**< sent to others; >= keep_below */
	uint32_t shed_promised; /**< sent to others; <= shed_from */
	uint32_t want;          /**< tiers from here on should go; n_tiers: none */
	uint64_t announced_us;  /**< when the pending change was announced */
	uint64_t pressure_us;   /**< last time there was pressure */
	uint64_t started_us;    /**< first tick */
	bool joined;            /**< has caught up with the others; takes no requests before */
};

void
comet_load_shedding_init(struct comet_load_shedding *load_shedding, uint32_t n_tiers);

/** This VM is full, and tier is the lowest it holds: asks the fleet to let it go. */
void
comet_load_shedding_request(
	struct comet_load_shedding *load_shedding, uint32_t tier, uint64_t now_us);

/** Moves the floor where the promises of all other listed VMs allow it. */
void
comet_load_shedding_tick(struct comet_load_shedding *load_shedding,
	struct comet_member *const *members, size_t count, uint64_t now_us);

#endif
