/*
 * settings.h
 * the settings of a gateway, from JSON with comments
 */
#ifndef COMETSPINDLE_GATEWAY_SETTINGS_H
#define COMETSPINDLE_GATEWAY_SETTINGS_H

#include <glib.h>
#include <libcometspindle/gateway/admission/rate_limiter.h>
#include <libcometspindle/gateway/admission/retry_budget.h>
#include <stdbool.h>
#include <stdint.h>

struct comet_gateway_settings
{
	char *name;          /**< this VM's name, for logs */
	char *zone;          /**< its availability zone */
	char *callers;       /**< IP:PORT that callers connect to */
	char *readiness;     /**< IP:PORT that answers whether this VM takes requests */
	char *control;       /**< IP:PORT for other VMs and for metrics */
	char *peers;         /**< IP:PORT for views, by UDP; the port is the same on all VMs */
	char *seeds;         /**< IP:PORT of some VMs' control, separated by commas */
	char *directory;     /**< IP:PORT of the platform's store */
	uint32_t grace_ms;   /**< a stop may take so long before the process is killed */
	uint32_t leave_ms;   /**< a stopping VM still takes requests for this time */
	uint32_t lapse_ms;   /**< endpoints unlisted in an outage are used on for so long */
	uint32_t settled_ms; /**< so long after an outage the directory's word is whole again */
	uint32_t near_bytes_per_s; /**< most that is sent to VMs of the own zone */
	uint32_t far_bytes_per_s;  /**< most that is sent to VMs of other zones */
	uint32_t cpu_percent;      /**< of a core that this VM may use */
	bool ask_keepers; /**< slots are asked for at the VM that counts; else views have to do */
	struct comet_rate_limiter_config rate_limiter;
	struct comet_retry_budget_config retries;
	double cold_overage; /**< times what a cold endpoint bears that it may receive, of all VMs
			      * together; 0: not bounded */
	double cold_slack;   /**< and so many requests a second more */
	uint32_t log_lines_per_s; /**< most lines written; 0: no bound */
	int log_level;            /**< enum comet_log_level */
};

/** @return whether the settings in this text are a gateway's. */
bool
comet_gateway_settings_match(const char *text, size_t length);

/** Parses and checks; NULL and error with every fault. Free with talloc_free. */
struct comet_gateway_settings *
comet_gateway_settings_parse(
	const char *text, size_t length, GError **error) G_GNUC_WARN_UNUSED_RESULT;

#endif
