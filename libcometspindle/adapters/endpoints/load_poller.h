/*
 * load_poller.h
 * polls the load reports of endpoints
 */
#ifndef COMETSPINDLE_ADAPTERS_LOAD_POLLER_H
#define COMETSPINDLE_ADAPTERS_LOAD_POLLER_H

#include <libcometspindle/adapters/endpoints/curl_loop.h>
#include <libcometspindle/bundle.h>
#include <stdint.h>

struct comet_load_poller;

/** total: requests that ran and were queued at the endpoint when it built the report. */
typedef void (*comet_load_poller_handler)(void *ctx, uint32_t endpoint_id, uint32_t total);

struct comet_load_poller *
comet_load_poller_create(
	void *parent, struct comet_curl_loop *loop, comet_load_poller_handler handler, void *ctx);

/** Polls one endpoint, unless a poll of it is pending. */
void
comet_load_poller_poll(
	struct comet_load_poller *load_poller, const struct comet_endpoint *endpoint);

#endif
