/*
 * bytes.h
 * bytes that one purpose has put through a VM's link
 */
#ifndef COMETSPINDLE_ADAPTERS_BYTES_H
#define COMETSPINDLE_ADAPTERS_BYTES_H

#include <stdint.h>

/** Monotonic, without headers of the network. */
struct comet_bytes
{
	uint64_t received;
	uint64_t sent;
};

#endif
