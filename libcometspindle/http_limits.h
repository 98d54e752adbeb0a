/*
 * http_limits.h
 * bounds of what a caller may send and how long it may take
 */
#ifndef COMETSPINDLE_HTTP_LIMITS_H
#define COMETSPINDLE_HTTP_LIMITS_H

#include <stdint.h>

struct comet_http_limits
{
	uint32_t header_bytes;
	uint32_t body_bytes;
	uint32_t header_timeout_ms; /**< from a request's first byte to the end of its head */
	uint32_t idle_timeout_ms;   /**< without a byte, between and inside requests */
};

#endif
