/*
 * reports.h
 * polls the load reports of endpoints
 */
#ifndef COMETSPINDLE_ADAPTERS_REPORTS_H
#define COMETSPINDLE_ADAPTERS_REPORTS_H

#include <libcometspindle/adapters/endpoints/curl_loop.h>
#include <libcometspindle/bundle.h>
#include <stdint.h>

struct comet_reports;

/** total: requests running and queued on the endpoint, some time ago. */
typedef void (*comet_reports_handler)(void *ctx, uint32_t endpoint_id, uint32_t total);

struct comet_reports *
comet_reports_create(
	void *parent, struct comet_curl_loop *loop, comet_reports_handler handler, void *ctx);

/** Asks one endpoint, unless an answer from it is still awaited. */
void
comet_reports_poll(struct comet_reports *reports, const struct comet_endpoint *endpoint);

#endif
