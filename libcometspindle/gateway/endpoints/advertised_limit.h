/*
 * advertised_limit.h
 * the request rate that an endpoint advertises as its maximum in its responses
 *
 * The limit holds for the requests of all VMs together, until a response no longer states it. This
 * module uses no clock.
 */
#ifndef COMETSPINDLE_GATEWAY_ADVERTISED_LIMIT_H
#define COMETSPINDLE_GATEWAY_ADVERTISED_LIMIT_H

#include <stdbool.h>
#include <stdint.h>

/** The newest observation of an endpoint's limit; all zero: no response yet. */
struct comet_advertised_limit
{
	bool active;          /**< the endpoint advertises a limit */
	double max_per_s;     /**< requests per second from all VMs together */
	uint64_t observed_us; /**< when the response arrived; 0: never */
};

/**
 * Records what a response stated. An observation that is older than the recorded one is ignored.
 * @param max_per_s negative if the response stated no limit
 * @return whether a limit appeared, was withdrawn or changed considerably
 */
bool
comet_advertised_limit_observe(
	struct comet_advertised_limit *limit, double max_per_s, uint64_t observed_us);

#endif
