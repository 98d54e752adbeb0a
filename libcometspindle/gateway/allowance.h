/*
 * allowance.h
 * what each team may still spend, summed over all VMs without shared state
 *
 * Every VM keeps a bucket of the whole allowance and takes from it what it
 * spends itself and what the views of the others tell. While some of them
 * cannot be heard it refills with the part of the VMs that it hears only, so
 * that parts which lost each other spend no more than the whole.
 */
#ifndef COMETSPINDLE_GATEWAY_ALLOWANCE_H
#define COMETSPINDLE_GATEWAY_ALLOWANCE_H

#include <libcometspindle/gateway/routes.h>
#include <stdbool.h>
#include <stdint.h>

/** How strictly limits are kept; from the settings. */
struct comet_allowance_bounds
{
	uint32_t window_ms; /**< the limit holds over any span of this length */
	double overage;     /**< part of the limit that may be spent above it */
	double slack;       /**< and so much more in all, in the limit's unit */
};

struct comet_allowance;

struct comet_allowance *
comet_allowance_create(void *parent, const struct comet_allowance_bounds *bounds);

/** Teams and limits as the document has them now. */
void
comet_allowance_set_teams(
	struct comet_allowance *allowance, const struct comet_route_table *table, uint64_t now_us);

/** Part of the VMs that can be heard, this one included: 0 to 1. */
void
comet_allowance_set_heard(struct comet_allowance *allowance, double part, uint64_t now_us);

/** Spends amount if the team may. @return 0, or after how many ms it is worth asking again. */
uint32_t
comet_allowance_spend(
	struct comet_allowance *allowance, uint32_t team_id, uint64_t amount, uint64_t now_us);

/** Another VM has spent amount. */
void
comet_allowance_spent_elsewhere(
	struct comet_allowance *allowance, uint32_t team_id, uint64_t amount, uint64_t now_us);

/** Gives back what was spent on a request that never ran. */
void
comet_allowance_give_back(struct comet_allowance *allowance, uint32_t team_id, uint64_t amount);

/** Calls visit for each team with what this VM has spent since its start. */
void
comet_allowance_each_spent(struct comet_allowance *allowance,
	void (*visit)(void *ctx, uint32_t team_id, uint64_t spent), void *ctx);

/** What is left in a team's bucket; may be below zero. For metrics and logs. */
double
comet_allowance_left(const struct comet_allowance *allowance, uint32_t team_id);

#endif
