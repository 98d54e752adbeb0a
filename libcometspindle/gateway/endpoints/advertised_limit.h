/*
 * advertised_limit.h
 * the request rate that an endpoint advertises as its maximum in its responses
 *
 * The limit holds for the requests of all VMs together, until a response no longer states it. Each
 * VM decides on a share of it. This module uses no clock.
 */
#ifndef COMETSPINDLE_GATEWAY_ADVERTISED_LIMIT_H
#define COMETSPINDLE_GATEWAY_ADVERTISED_LIMIT_H

#include <stdbool.h>
#include <stdint.h>

/** The newest observation of an endpoint's limit, and a token bucket for it; all zero: no response
 * yet. */
struct comet_advertised_limit
{
	bool active;               /**< the endpoint advertises a limit */
	bool own;                  /**< this VM received the response, not another VM */
	double max_per_s;          /**< requests per second from all VMs together */
	uint64_t observed_us;      /**< when the response arrived; 0: never */
	double tokens;             /**< requests that this VM may send or grant at once */
	uint64_t refilled_us;      /**< when tokens were last added */
	uint64_t blocked_until_us; /**< the owner of its shard grants slots without applying the
				      limit, and this VM has used up its share */
};

/**
 * Records what a response to this VM stated. An observation that is older than the recorded one is
 * ignored.
 * @param max_per_s negative if the response stated no limit
 * @return whether a limit appeared, was withdrawn or changed considerably
 */
bool
comet_advertised_limit_observe(
	struct comet_advertised_limit *limit, double max_per_s, uint64_t observed_us);

/** Records what another VM reports, if it is newer. Parameters and return value as above. */
bool
comet_advertised_limit_merge(
	struct comet_advertised_limit *limit, double max_per_s, uint64_t observed_us);

/** @return whether this VM may send or grant one more request.
 * @param share fraction of the limit that this VM decides on */
bool
comet_advertised_limit_admits(struct comet_advertised_limit *limit, double share, uint64_t now_us);

/** Counts a request that this VM sends or grants. */
void
comet_advertised_limit_count(struct comet_advertised_limit *limit);

/** Blocks the endpoint for a short time, after a grant that did not apply the limit was rejected.
 */
void
comet_advertised_limit_block(struct comet_advertised_limit *limit, uint64_t now_us);

#endif
