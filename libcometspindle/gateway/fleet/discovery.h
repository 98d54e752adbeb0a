/*
 * discovery.h
 * decides whether a VM that has started is still discovering the other VMs
 *
 * All VMs may have started at once, and each would then count only itself. Until a VM
 * has discovered the others, it divides shared limits among an assumed number of VMs.
 * This module uses no sockets and no clock.
 */
#ifndef COMETSPINDLE_GATEWAY_DISCOVERY_H
#define COMETSPINDLE_GATEWAY_DISCOVERY_H

#include <stdbool.h>
#include <stdint.h>

/** Minimum number of VMs that a VM assumes during discovery. */
#define COMET_DISCOVERY_ASSUMED_VMS 128

/** Discovery of one process; all other fields are zero at first. */
struct comet_discovery
{
	uint64_t began_us;      /**< start of the process */
	uint64_t discovered_us; /**< when the last new VM was discovered; 0: none */
	uint32_t peak_alive;    /**< most VMs alive at a time, including this one */
	bool active;            /**< this VM still discovers other VMs */
};

/**
 * Updates discovery; call this several times a second.
 * @param alive VMs from which gossip is received, including this one
 * @param known VMs that are known, including this one
 * @param interval_us time between two rounds of gossip messages to all VMs
 */
void
comet_discovery_update(struct comet_discovery *discovery, uint32_t alive, uint32_t known,
	uint64_t interval_us, uint64_t now_us);

#endif
