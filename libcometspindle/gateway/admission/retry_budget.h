/*
 * retry_budget.h
 * limit on the requests that are sent to a second endpoint, per service
 *
 * The limit holds over all VMs: each VM uses its share of the fixed allowance, and a ratio of the
 * first attempts that it has sent itself.
 */
#ifndef COMETSPINDLE_GATEWAY_RETRY_BUDGET_H
#define COMETSPINDLE_GATEWAY_RETRY_BUDGET_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/** The limit over all VMs; from the settings. */
struct comet_retry_budget_config
{
	double ratio;       /**< retries per first attempt */
	uint32_t window_ms; /**< the limit holds over any window of this length */
	uint32_t slack;     /**< retries per window in addition to the ratio */
};

struct comet_retry_budget;

struct comet_retry_budget *
comet_retry_budget_create(void *parent, const struct comet_retry_budget_config *config);

/** Sets the number of VMs that share the limit, this one included. */
void
comet_retry_budget_set_vms(struct comet_retry_budget *budget, uint32_t vms);

/** Records the first attempt of a request. */
void
comet_retry_budget_record_first_attempt(
	struct comet_retry_budget *budget, const char *service, uint64_t now_us);

/** Takes one retry. @return false if the budget is exhausted. */
bool
comet_retry_budget_take(struct comet_retry_budget *budget, const char *service,
	uint64_t now_us) G_GNUC_WARN_UNUSED_RESULT;

/** @return the number of retries that this VM may send at once. */
double
comet_retry_budget_remaining(
	struct comet_retry_budget *budget, const char *service, uint64_t now_us);

#endif
