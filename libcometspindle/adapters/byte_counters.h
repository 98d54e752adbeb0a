/*
 * byte_counters.h
 * bytes that one purpose has put through a VM's link
 */
#ifndef COMETSPINDLE_ADAPTERS_BYTE_COUNTERS_H
#define COMETSPINDLE_ADAPTERS_BYTE_COUNTERS_H

#include <stdint.h>

/** Without headers of the network. */
struct comet_byte_counters
{
	uint64_t received; /**< monotonic */
	uint64_t sent;     /**< monotonic */
	uint64_t queued;   /**< to be sent, not taken by the kernel yet */
};

#endif
