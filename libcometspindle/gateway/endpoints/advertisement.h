/*
 * advertisement.h
 * port: what an endpoint states about its own condition in a response
 */
#ifndef COMETSPINDLE_GATEWAY_ADVERTISEMENT_H
#define COMETSPINDLE_GATEWAY_ADVERTISEMENT_H

#include <stdbool.h>

/** How a response states one property. */
enum comet_advertised
{
	COMET_ADVERTISED_ABSENT,    /**< the response does not state it */
	COMET_ADVERTISED_VALID,     /**< the value is valid */
	COMET_ADVERTISED_MALFORMED, /**< the value cannot be read: the earlier one stays in force */
};

/** The properties that a response states, decoded by the platform adapter. */
struct comet_advertisement
{
	enum comet_advertised limit;
	enum comet_advertised brittle;
	enum comet_advertised leaving; /**< valid: the endpoint leaves */
	enum comet_advertised rest;    /**< valid: it wants no requests from this VM for rest_ms */
	uint32_t rest_ms;
	uint32_t rejections_per_s; /**< rejections within a second that the endpoint bears */
	double limit_per_s; /**< requests per second that the endpoint takes from all VMs together
			     */
};

#endif
