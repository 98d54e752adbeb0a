/*
 * allowance.h
 * what each team may still spend, summed over all VMs without shared state
 *
 * A limit holds over any span of a fixed length. Every VM keeps what it has
 * spent in the last such span and what the views of the others tell. While some
 * of them cannot be heard, the part of the limit that belongs to those heard is
 * kept, so that parts which lost each other spend no more than the whole. What
 * the others spend before they tell is taken to be what we spend meanwhile. A VM
 * that starts asks the others what was spent before; if nobody knows, it
 * assumes that much of the limit is gone.
 */
#ifndef COMETSPINDLE_GATEWAY_ALLOWANCE_H
#define COMETSPINDLE_GATEWAY_ALLOWANCE_H

#include <glib.h>
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
comet_allowance_create(void *parent, const struct comet_allowance_bounds *bounds, uint64_t now_us);

/** Teams and limits as the document has them now. */
void
comet_allowance_set_teams(
	struct comet_allowance *allowance, const struct comet_route_table *table, uint64_t now_us);

/** VMs that can be heard, and that are known; this one included in both. */
void
comet_allowance_set_vms(struct comet_allowance *allowance, uint32_t heard, uint32_t known);

/**
 * Spends amount if the team may; rank: of the request, 0 is the most urgent. Less urgent ones leave
 * a part of the limit to those that are more so.
 * @return 0, or after how many ms it is worth asking again
 */
uint32_t
comet_allowance_spend(struct comet_allowance *allowance, uint32_t team_id, uint32_t rank,
	uint64_t amount, uint64_t now_us) G_GNUC_WARN_UNUSED_RESULT;

/** Another VM has spent amount. */
void
comet_allowance_spent_elsewhere(
	struct comet_allowance *allowance, uint32_t team_id, uint64_t amount, uint64_t now_us);

/** Another VM tells what all VMs have spent in the last span. */
void
comet_allowance_told_recent(
	struct comet_allowance *allowance, uint32_t team_id, uint64_t recent, uint64_t now_us);

/** Gives back what was spent on a request that never ran. */
void
comet_allowance_give_back(
	struct comet_allowance *allowance, uint32_t team_id, uint64_t amount, uint64_t now_us);

/** What a VM tells of one team. */
struct comet_allowance_report
{
	uint32_t team_id;
	uint64_t spent;  /**< by this VM since its start */
	uint64_t recent; /**< by all VMs in the last span; 0: not known */
};

/** All VMs have been told what this one has spent until now. */
void
comet_allowance_told(struct comet_allowance *allowance);

/** Calls visit for each team of which there is something to tell. */
void
comet_allowance_each(struct comet_allowance *allowance, uint64_t now_us,
	void (*visit)(void *ctx, const struct comet_allowance_report *report), void *ctx);

/** What the team may spend just now; for metrics and logs. */
double
comet_allowance_left(struct comet_allowance *allowance, uint32_t team_id, uint64_t now_us);

#endif
