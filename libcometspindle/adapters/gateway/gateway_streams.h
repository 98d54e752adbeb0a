/*
 * gateway_streams.h
 * finds the software version at which a stream goes on, and shares it with other VMs
 */
#ifndef COMETSPINDLE_ADAPTERS_GATEWAY_STREAMS_H
#define COMETSPINDLE_ADAPTERS_GATEWAY_STREAMS_H

#include <libcometspindle/gateway/directory.h>
#include <libcometspindle/gateway/messages/datagram.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct comet_gateway;
struct comet_proxy_request;
struct comet_streams;

struct comet_streams *
comet_gateway_streams_create(struct comet_gateway *gateway, uint32_t address);

/** Determines which stream a request begins or resumes. @return whether it resumes one */
bool
comet_gateway_streams_identify(struct comet_proxy_request *proxy);

/** Finds the version that began the stream of a request, and makes it a condition on its endpoint.
 * Calls one of the functions, at once or later.
 * @param on_known called once the version is known
 * @param on_unknown called if no VM knows it; the request has to be refused or aborted */
void
comet_gateway_streams_resolve(struct comet_proxy_request *proxy,
	void (*on_known)(struct comet_proxy_request *proxy, uint64_t now_us),
	void (*on_unknown)(struct comet_proxy_request *proxy, uint32_t retry_after_ms));

/** Cancels the lookup of a request that has ended. */
void
comet_gateway_streams_cancel(
	struct comet_streams *streams, const struct comet_proxy_request *proxy);

/** Records an endpoint that a read of the directory's history has found. */
void
comet_gateway_streams_past_endpoint(
	struct comet_streams *streams, const struct comet_instance_record *record);

/** Decides on the requests that wait for the directory's history. */
void
comet_gateway_streams_history_read(
	struct comet_streams *streams, enum comet_directory_history result);

/** Records the version of the endpoint whose first event is about to be forwarded. */
void
comet_gateway_streams_began(struct comet_proxy_request *proxy);

/** Handles a datagram. @return whether it belongs to this module */
bool
comet_gateway_streams_receive(
	struct comet_streams *streams, const comet_Datagram *datagram, uint64_t now_us);

/** Replaces the copies that a VM kept, which has restarted or become unreachable. */
void
comet_gateway_streams_vm_changed(struct comet_streams *streams, uint32_t address);

/** Gives the records that this VM keeps for others to other VMs, because it stops. */
void
comet_gateway_streams_hand_over(struct comet_streams *streams, uint64_t now_us);

void
comet_gateway_streams_tick(struct comet_streams *streams, uint64_t now_us);

/** @return the number of records. */
size_t
comet_gateway_streams_count(const struct comet_streams *streams);

#endif
