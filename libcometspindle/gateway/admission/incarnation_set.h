/*
 * incarnation_set.h
 * a small set of lives of endpoints' processes, which VMs join
 */
#ifndef COMETSPINDLE_GATEWAY_INCARNATION_SET_H
#define COMETSPINDLE_GATEWAY_INCARNATION_SET_H

#include <libcometspindle/proto/view.pb.h>
#include <stdbool.h>
#include <stdint.h>

/** Lives that a set names: as many as a view tells. */
#define COMET_INCARNATION_SET_MAX (sizeof(((comet_Crashed *)0)->lives) / sizeof(uint32_t))

struct comet_incarnation_set
{
	uint32_t lives[COMET_INCARNATION_SET_MAX]; /**< keys: comet_instance_key() */
	uint32_t count;
};

bool
comet_incarnation_set_has(const struct comet_incarnation_set *set, uint32_t incarnation_key);

/** Adds a life; a full set keeps the smallest, so that VMs which were told the same lives in
 * another order keep the same. @return whether the set has changed */
bool
comet_incarnation_set_add(struct comet_incarnation_set *set, uint32_t incarnation_key);

#endif
