/*
 * incarnation_set.h
 * a small, bounded set of incarnations of endpoint processes, which VMs merge
 */
#ifndef COMETSPINDLE_GATEWAY_INCARNATION_SET_H
#define COMETSPINDLE_GATEWAY_INCARNATION_SET_H

#include <libcometspindle/proto/view.pb.h>
#include <stdbool.h>
#include <stdint.h>

/** Capacity of a set: as many incarnations as a record in a gossip message holds. */
#define COMET_INCARNATION_SET_MAX (sizeof(((comet_Crashed *)0)->lives) / sizeof(uint32_t))

struct comet_incarnation_set
{
	uint32_t incarnations[COMET_INCARNATION_SET_MAX]; /**< keys: comet_instance_key() */
	uint32_t count;
};

bool
comet_incarnation_set_has(const struct comet_incarnation_set *set, uint32_t incarnation_key);

/** @return whether the set may have dropped an incarnation because it is full */
bool
comet_incarnation_set_has_dropped(
	const struct comet_incarnation_set *set, uint32_t incarnation_key);

/** Adds an incarnation. A full set keeps the smallest keys, so that VMs which receive the same
 * incarnations in different orders end with the same set. @return whether the set has changed */
bool
comet_incarnation_set_add(struct comet_incarnation_set *set, uint32_t incarnation_key);

#endif
