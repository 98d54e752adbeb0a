/*
 * retry_budget.h
 * how many requests may be sent to a second endpoint, per service
 *
 * The bound holds over all VMs: each takes its part of the fixed allowance and
 * a ratio of the requests it has itself sent for the first time.
 */
#ifndef COMETSPINDLE_GATEWAY_RETRY_BUDGET_H
#define COMETSPINDLE_GATEWAY_RETRY_BUDGET_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/** The bound over all VMs; from the settings. */
struct comet_retry_budget_config
{
	double ratio;       /**< repeats per first sending */
	uint32_t window_ms; /**< over any span of this length */
	uint32_t slack;     /**< repeats in a span beside the ratio */
};

struct comet_retry_budget;

struct comet_retry_budget *
comet_retry_budget_create(void *parent, const struct comet_retry_budget_config *bounds);

/** VMs that share the bound, this one included. */
void
comet_retry_budget_set_vms(struct comet_retry_budget *budget, uint32_t vms);

/** A request was sent for the first time. */
void
comet_retry_budget_first(struct comet_retry_budget *budget, const char *service, uint64_t now_us);

/** Takes one repeat. @return false when the budget has none left. */
bool
comet_retry_budget_take(struct comet_retry_budget *budget, const char *service,
	uint64_t now_us) G_GNUC_WARN_UNUSED_RESULT;

/** Repeats that this VM may send at once. */
double
comet_retry_budget_remaining(
	struct comet_retry_budget *budget, const char *service, uint64_t now_us);

#endif
