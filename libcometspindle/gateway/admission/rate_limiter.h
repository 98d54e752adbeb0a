/*
 * rate_limiter.h
 * limits on the spending of each team, summed over all VMs without shared state
 *
 * A limit holds over any window of a fixed length. One VM owns the quota of each team and charges
 * the team's requests as they arrive. It learns from gossip what other VMs admitted without it, and
 * what was spent before it became the owner. A VM that gets no response from an owner decides by
 * gossip alone, and assumes that each of the other VMs spends as much between two reports as it
 * does itself.
 *
 * Unreachable VMs may be on the other side of a network partition and go on spending. Each VM has
 * an equal share of what remained when those VMs were last seen; the VMs that reach each other use
 * their shares together. So the sides of a partition spend no more than the limit in total, and a
 * side loses no more than the shares of the others if the team had spent little. A VM that starts
 * asks its peers for the earlier spending; if none of them knows, it assumes that most of the limit
 * is spent.
 */
#ifndef COMETSPINDLE_GATEWAY_RATE_LIMITER_H
#define COMETSPINDLE_GATEWAY_RATE_LIMITER_H

#include <glib.h>
#include <libcometspindle/gateway/routing/routes.h>
#include <stdbool.h>
#include <stdint.h>

/** Tolerance of the limits; from the settings. */
struct comet_rate_limiter_config
{
	uint32_t window_ms; /**< the limit holds over any window of this length */
	double overage;     /**< fraction of the limit that may be spent in excess of it */
	double slack;       /**< further excess in tokens, for limits in tokens */
};

struct comet_rate_limiter;

struct comet_rate_limiter *
comet_rate_limiter_create(
	void *parent, const struct comet_rate_limiter_config *config, uint64_t now_us);

/** Sets the teams and their limits from the current document. */
void
comet_rate_limiter_set_teams(struct comet_rate_limiter *rate_limiter,
	const struct comet_route_table *table, uint64_t now_us);

/** Sets the number of alive VMs and of known VMs, each including this one. partitioned_since_us:
 * when the first of the VMs that are unreachable now was last seen; 0 if all are alive. */
void
comet_rate_limiter_set_vms(struct comet_rate_limiter *rate_limiter, uint32_t alive, uint32_t known,
	uint64_t partitioned_since_us);

/** Source of what is known of the spending of other VMs. */
enum comet_rate_limiter_source
{
	COMET_RATE_LIMITER_GOSSIP, /**< seconds old */
	COMET_RATE_LIMITER_OWNER,  /**< current: this VM owns the quota */
};

/**
 * Spends amount if the team's limit allows it. rank is the priority of the request; 0 is the most
 * urgent. Less urgent requests leave a reserve to more urgent ones.
 * @return 0, or the delay in ms before another attempt may succeed
 */
uint32_t
comet_rate_limiter_spend(struct comet_rate_limiter *rate_limiter, uint32_t team_id, uint32_t rank,
	uint64_t amount, enum comet_rate_limiter_source source,
	uint64_t now_us) G_GNUC_WARN_UNUSED_RESULT;

/** Records that the owner has charged amount to a request of this VM. */
void
comet_rate_limiter_add_own(struct comet_rate_limiter *rate_limiter, uint32_t team_id,
	uint64_t amount, uint64_t now_us);

/**
 * Owner: charges a request of another VM.
 * @return false if the team's limit is not known here
 */
bool
comet_rate_limiter_charge_remote(struct comet_rate_limiter *rate_limiter, uint32_t vm,
	uint32_t team_id, uint32_t rank, uint64_t amount, uint64_t now_us,
	uint32_t *wait_ms) G_GNUC_WARN_UNUSED_RESULT;

/** Owner: refunds a request of another VM that was charged and did not run. */
void
comet_rate_limiter_refund_remote(struct comet_rate_limiter *rate_limiter, uint32_t vm,
	uint32_t team_id, uint64_t amount, uint64_t now_us);

/** Merges the amount that another VM reports as spent; what this VM charged to it is not counted
 * twice. */
void
comet_rate_limiter_merge_remote(struct comet_rate_limiter *rate_limiter, uint32_t vm,
	uint32_t team_id, uint64_t amount, uint64_t now_us);

/** Handles a restart of another VM's process, which will not report what it was charged before. */
void
comet_rate_limiter_vm_restarted(struct comet_rate_limiter *rate_limiter, uint32_t vm);

/** Merges another VM's report of what all VMs spent in the last window. */
void
comet_rate_limiter_merge_total(struct comet_rate_limiter *rate_limiter, uint32_t team_id,
	uint64_t recent, uint64_t now_us);

/** Refunds the amount of a request that never ran. */
void
comet_rate_limiter_refund(struct comet_rate_limiter *rate_limiter, uint32_t team_id,
	uint64_t amount, uint64_t now_us);

/** What a VM reports of one team. */
struct comet_rate_limiter_report
{
	uint32_t team_id;
	uint64_t spent;               /**< by this VM since its process started */
	uint64_t own_spent_in_window; /**< by this VM in the last window */
	uint64_t all_spent_in_window; /**< by all VMs in the last window; 0: not known */
	uint64_t last_us;             /**< when this VM last spent something; 0: never */
	double limit_part; /**< own_spent_in_window as a part of the limit; 0: no limit */
};

/** Records that all other VMs have received what this VM has spent so far. */
void
comet_rate_limiter_mark_reported(struct comet_rate_limiter *rate_limiter);

/** Calls visit for each team that has something to report. */
void
comet_rate_limiter_each(struct comet_rate_limiter *rate_limiter, uint64_t now_us,
	void (*visit)(void *ctx, const struct comet_rate_limiter_report *report), void *ctx);

/** @return what the team may still spend; for metrics and logs. */
double
comet_rate_limiter_remaining(
	struct comet_rate_limiter *rate_limiter, uint32_t team_id, uint64_t now_us);

#endif
