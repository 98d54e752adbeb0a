/*
 * byte_counters.h
 * bytes that one purpose has put through a VM's link
 */
#ifndef COMETSPINDLE_ADAPTERS_BYTE_COUNTERS_H
#define COMETSPINDLE_ADAPTERS_BYTE_COUNTERS_H

#include <stdint.h>

/** Monotonic, without headers of the network. */
struct comet_byte_counters
{
	uint64_t received;
	uint64_t sent;
};

#endif
