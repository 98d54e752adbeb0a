/*
 * rate_limiter.h
 * what each team may still spend, summed over all VMs without shared state
 *
 * A limit holds over any span of a fixed length. One VM keeps each team's account and charges its
 * requests, so that it counts them as they come; what other VMs let pass without it, and what was
 * spent before it kept the account, it learns from views. A VM that no keeper answers decides by
 * views alone: what the others spend before they tell is then taken to be what it spends meanwhile.
 *
 * VMs that are not heard any more may be on the other side of a cut, where they spend on. Of what
 * was left when they were last heard, each VM has an equal part: those that hear each other use
 * theirs, so that sides which lost each other spend no more than the whole, and a side whose team
 * had spent little loses no more than the others' parts. A VM that starts asks the others what was
 * spent before; if nobody knows, it assumes that much of the limit is gone.
 */
#ifndef COMETSPINDLE_GATEWAY_RATE_LIMITER_H
#define COMETSPINDLE_GATEWAY_RATE_LIMITER_H

#include <glib.h>
#include <libcometspindle/gateway/routing/routes.h>
#include <stdbool.h>
#include <stdint.h>

/** How strictly limits are kept; from the settings. */
struct comet_rate_limiter_config
{
	uint32_t window_ms; /**< the limit holds over any span of this length */
	double overage;     /**< part of the limit that may be spent above it */
	double slack;       /**< and so much more in all, in the limit's unit */
};

struct comet_rate_limiter;

struct comet_rate_limiter *
comet_rate_limiter_create(
	void *parent, const struct comet_rate_limiter_config *bounds, uint64_t now_us);

/** Teams and limits as the document has them now. */
void
comet_rate_limiter_set_teams(struct comet_rate_limiter *rate_limiter,
	const struct comet_route_table *table, uint64_t now_us);

/**
 * VMs that can be heard, and that are known; this one included in both. since_us: when the first
 * of those that are not heard now was heard last; 0 where all are.
 */
void
comet_rate_limiter_set_vms(
	struct comet_rate_limiter *rate_limiter, uint32_t heard, uint32_t known, uint64_t since_us);

/** How the spending of the other VMs is known. */
enum comet_rate_limiter_source
{
	COMET_RATE_LIMITER_GOSSIP, /**< some seconds late */
	COMET_RATE_LIMITER_OWNER,  /**< at once: this VM keeps the account */
};

/**
 * Spends amount if the team may; rank: of the request, 0 is the most urgent. Less urgent ones leave
 * a part of the limit to those that are more so.
 * @return 0, or after how many ms it is worth asking again
 */
uint32_t
comet_rate_limiter_spend(struct comet_rate_limiter *rate_limiter, uint32_t team_id, uint32_t rank,
	uint64_t amount, enum comet_rate_limiter_source sight,
	uint64_t now_us) G_GNUC_WARN_UNUSED_RESULT;

/** The keeper of the account has charged amount to this VM's request. */
void
comet_rate_limiter_charged(struct comet_rate_limiter *rate_limiter, uint32_t team_id,
	uint64_t amount, uint64_t now_us);

/**
 * As keeper: charges a request of another VM.
 * @return false when the team's limit is not known here
 */
bool
comet_rate_limiter_charge_remote(struct comet_rate_limiter *rate_limiter, uint32_t vm,
	uint32_t team_id, uint32_t rank, uint64_t amount, uint64_t now_us,
	uint32_t *wait_ms) G_GNUC_WARN_UNUSED_RESULT;

/** As keeper: a request that was charged to another VM has not run. */
void
comet_rate_limiter_refund_remote(struct comet_rate_limiter *rate_limiter, uint32_t vm,
	uint32_t team_id, uint64_t amount, uint64_t now_us);

/** Another VM tells that it has spent amount; what this VM charged it is not counted twice. */
void
comet_rate_limiter_merge_remote(struct comet_rate_limiter *rate_limiter, uint32_t vm,
	uint32_t team_id, uint64_t amount, uint64_t now_us);

/** The process of another VM has started again: what it was charged before will not be told. */
void
comet_rate_limiter_vm_restarted(struct comet_rate_limiter *rate_limiter, uint32_t vm);

/** Another VM tells what all VMs have spent in the last span. */
void
comet_rate_limiter_merge_total(struct comet_rate_limiter *rate_limiter, uint32_t team_id,
	uint64_t recent, uint64_t now_us);

/** Gives back what was spent on a request that never ran. */
void
comet_rate_limiter_refund(struct comet_rate_limiter *rate_limiter, uint32_t team_id,
	uint64_t amount, uint64_t now_us);

/** What a VM tells of one team. */
struct comet_rate_limiter_report
{
	uint32_t team_id;
	uint64_t spent;   /**< by this VM since its start */
	uint64_t lately;  /**< of that, in the last span */
	uint64_t recent;  /**< by all VMs in the last span; 0: not known */
	uint64_t last_us; /**< when this VM last spent something; 0: it has not */
};

/** All VMs have been told what this one has spent until now. */
void
comet_rate_limiter_mark_reported(struct comet_rate_limiter *rate_limiter);

/** Calls visit for each team of which there is something to tell. */
void
comet_rate_limiter_each(struct comet_rate_limiter *rate_limiter, uint64_t now_us,
	void (*visit)(void *ctx, const struct comet_rate_limiter_report *report), void *ctx);

/** What the team may spend just now; for metrics and logs. */
double
comet_rate_limiter_remaining(
	struct comet_rate_limiter *rate_limiter, uint32_t team_id, uint64_t now_us);

#endif
