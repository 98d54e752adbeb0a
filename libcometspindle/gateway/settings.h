/*
 * settings.h
 * settings of a gateway, read from JSON with comments
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
	char *name;               /**< name of this VM in logs */
	char *zone;               /**< its availability zone */
	GHashTable *zone_regions; /**< zone name -> name of its region; zones that are missing are
				     in no region */
	char *callers;            /**< IP:PORT for connections of callers */
	char *readiness;          /**< IP:PORT that reports whether this VM accepts requests */
	char *control;            /**< IP:PORT for other VMs and for metrics */
	char *peers;              /**< IP:PORT for gossip by UDP; the port is the same on all VMs */
	char *seeds;              /**< control IP:PORT of some VMs, separated by commas */
	char *directory;          /**< IP:PORT of the platform's store */
	uint32_t grace_ms;        /**< maximum time of a stop before the process is killed */
	uint32_t leave_ms;        /**< time for which a stopping VM still accepts requests */
	uint32_t lapse_ms; /**< time for which endpoints that disappeared from the list in an outage
			      remain in use */
	uint32_t settled_ms; /**< time after an outage until the directory is complete again */
	uint32_t near_bytes_per_s; /**< byte budget of gossip to VMs of the same zone */
	uint32_t far_bytes_per_s;  /**< byte budget of gossip to VMs of other zones */
	uint32_t cpu_percent;      /**< CPU allowance of this VM, in percent of a core */
	uint64_t memory_bytes;     /**< what this process may use; 0: unknown */
	uint64_t link_bytes_per_s; /**< rate of this VM's link in each direction; 0: unknown */
	bool ask_keepers;     /**< request slots from the owner of a shard; otherwise only gossip is
				 used */
	bool prefer_own_zone; /**< prefer free slots in the own zone to cheaper ones in others */
	bool returning_callers; /**< recognize callers that come back after a refusal, serve them
				   first, and spread the times at which they come back */
	struct comet_rate_limiter_config rate_limiter;
	struct comet_retry_budget_config retries;
	double cold_overage;      /**< bound on the rate that a cold endpoint receives from all VMs
				     together, as a multiple of the rate that it can handle; 0: no bound
				   */
	double cold_slack;        /**< requests per second allowed in addition to cold_overage */
	uint32_t log_lines_per_s; /**< maximum log lines per second; 0: no bound */
	int log_level;            /**< enum comet_log_level */
};

/** @return whether the text contains the settings of a gateway. */
bool
comet_gateway_settings_match(const char *text, size_t length);

/** Parses and validates the settings. @return NULL with an error that lists every fault; otherwise
 * free with talloc_free(). */
struct comet_gateway_settings *
comet_gateway_settings_parse(
	const char *text, size_t length, GError **error) G_GNUC_WARN_UNUSED_RESULT;

#endif
