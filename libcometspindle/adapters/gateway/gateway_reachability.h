/*
 * gateway_reachability.h
 * checks whether this VM can reach any endpoint, after attempts have failed
 */
#ifndef COMETSPINDLE_ADAPTERS_GATEWAY_REACHABILITY_H
#define COMETSPINDLE_ADAPTERS_GATEWAY_REACHABILITY_H

#include <libcometspindle/gateway/endpoints/instance.h>
#include <libcometspindle/gateway/placement/grants.h>
#include <stdbool.h>
#include <stdint.h>

struct comet_gateway;
struct comet_links;

/** What the requests of a VM do when a check of its links ends. */
struct comet_links_ops
{
	/** The VM reaches no endpoint: requests that wait move to other VMs. */
	void (*lost)(struct comet_gateway *gateway);
	/** The check has ended: requests that were held until then go on. */
	void (*checked)(struct comet_gateway *gateway);
};

struct comet_links *
comet_gateway_links_create(struct comet_gateway *gateway, const struct comet_links_ops *ops);

/** Records the result of an attempt, and begins a check if lost links may have caused it. */
void
comet_gateway_links_attempt_ended(struct comet_links *links, enum comet_dispatch_result result);

/** @return whether lost links may cause an attempt to end with this result. */
bool
comet_gateway_links_may_cause(enum comet_dispatch_result result);

/** Releases a slot at its owner. While the links are under check, the release of a failed attempt
 * waits for the result; if the links are lost, the failure is not reported. */
void
comet_gateway_links_release(struct comet_links *links, uint32_t owner_vm, uint32_t instance_key,
	const struct comet_grants_completion *completion);

/** Begins a check if one is due; call it with each tick. */
void
comet_gateway_links_tick(struct comet_links *links, uint64_t now_us);

/** @return whether this VM reaches no endpoint. */
bool
comet_gateway_links_are_lost(const struct comet_links *links);

/** Begins the next check of the links soon, because a request waits for its result. */
void
comet_gateway_links_hurry(struct comet_links *links);

/** @return whether a check of the links is running, so that the cause of a failed attempt will be
 * known soon. */
bool
comet_gateway_links_are_checked(const struct comet_links *links);

/** @return whether the links are lost or under check. */
bool
comet_gateway_links_are_in_doubt(const struct comet_links *links);

#endif
