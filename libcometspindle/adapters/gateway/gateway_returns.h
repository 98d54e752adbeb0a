/*
 * gateway_returns.h
 * records refused callers at other VMs, and recognizes them when they come back
 */
#ifndef COMETSPINDLE_ADAPTERS_GATEWAY_RETURNS_H
#define COMETSPINDLE_ADAPTERS_GATEWAY_RETURNS_H

#include <libcometspindle/adapters/gateway/proxy_request.h>

struct comet_gateway_returns;

/** @param address the address of this VM (IPv4, host order) */
struct comet_gateway_returns *
comet_gateway_returns_create(struct comet_gateway *gateway, uint32_t address);

/** Finds out whether the caller of a request was refused before, for placement's operations. */
enum comet_placement_caller
comet_gateway_returns_find_caller(void *ctx, struct comet_placement_item *item);

/** Records that a request is refused for a shortage of slots; called before it is answered. */
void
comet_gateway_returns_refusing(struct comet_proxy_request *proxy, uint32_t retry_after_ms);

/** Ends the pending lookup of a request that ends. */
void
comet_gateway_returns_cancel(
	struct comet_gateway_returns *returns, const struct comet_proxy_request *proxy);

/** @return whether the datagram belongs to this module. */
bool
comet_gateway_returns_receive(
	struct comet_gateway_returns *returns, const comet_Datagram *datagram, uint64_t now_us);

/** Ends lookups whose time is over, and removes expired records. */
void
comet_gateway_returns_tick(struct comet_gateway_returns *returns, uint64_t now_us);

/** @return the name of the source of a Retry-After, for the log. */
const char *
comet_gateway_returns_source_name(enum comet_retry_source source);

/** Appends the metrics of returned callers in the Prometheus text format. */
void
comet_gateway_returns_put_metrics(const struct comet_gateway_returns *returns, GString *out);

#endif
