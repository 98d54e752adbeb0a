/*
 * quota_requests.h
 * requests of VMs to the owners of the teams' quotas
 *
 * Spending that hundreds of VMs exchange by gossip is seconds old, and a team whose load rises
 * suddenly spends its whole limit in that time. Therefore one VM owns the quota of each team, and
 * the other VMs send it a quota request before they dispatch: one round trip per request, whatever
 * the number of VMs. If the owner does not respond in time, the requesting VM decides by what it
 * knows. This module uses no sockets and no clock.
 */
#ifndef COMETSPINDLE_GATEWAY_QUOTA_REQUESTS_H
#define COMETSPINDLE_GATEWAY_QUOTA_REQUESTS_H

#include <libcometspindle/gateway/messages/datagram.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** The team and the amount that a quota request charges. */
struct comet_quota_request
{
	uint32_t team; /**< id of the team */
	uint32_t rank; /**< priority of the request; 0 is the most urgent */
	uint64_t amount;
};

struct comet_quota_requests_ops
{
	void (*send)(void *ctx, uint32_t address, const uint8_t *data, size_t length);
	/** Requesting VM: the owner has charged the request (wait_ms is 0), or names the delay
	 * before the next attempt. */
	void (*decided)(void *ctx, void *user_data, uint32_t owner_vm, uint32_t wait_ms);
	/** Requesting VM: the owner did not respond in time, or does not know the team's limit. */
	void (*failed)(void *ctx, void *user_data, uint32_t owner_vm);
	/** Owner: charges a request of another VM. @return false if the team's limit is not known
	 */
	bool (*remote_charge)(void *ctx, uint32_t vm, const struct comet_quota_request *request,
		uint32_t *wait_ms);
	/** Owner: a request that was charged to another VM did not run. */
	void (*remote_refund)(void *ctx, uint32_t vm, const struct comet_quota_request *request);
};

struct comet_quota_requests;

/** address: this VM's IPv4 address in host order. */
struct comet_quota_requests *
comet_quota_requests_create(
	void *parent, uint32_t address, const struct comet_quota_requests_ops *ops, void *ctx);

/** Sends a quota request to the owner. It ends with a call of decided or failed, or with
 * comet_quota_requests_cancel. */
void
comet_quota_requests_send(struct comet_quota_requests *quota_requests, void *user_data,
	uint32_t owner_vm, const struct comet_quota_request *request, uint64_t now_us);

/** Cancels the quota request of a caller that has disconnected. If the owner charges it later, the
 * amount is refunded. */
void
comet_quota_requests_cancel(struct comet_quota_requests *quota_requests, const void *user_data);

/** Tells the owner that a request it charged did not run. */
void
comet_quota_requests_refund(struct comet_quota_requests *quota_requests, uint32_t owner_vm,
	const struct comet_quota_request *request);

/** Handles a datagram. @return whether it belongs to this module */
bool
comet_quota_requests_receive(struct comet_quota_requests *quota_requests,
	const comet_Datagram *datagram, uint64_t now_us);

/** Ends quota requests that have expired. @return whether any is still pending */
bool
comet_quota_requests_tick(struct comet_quota_requests *quota_requests, uint64_t now_us);

/** @return whether a VM recently left a quota request without a response. */
bool
comet_quota_requests_is_unresponsive(
	const struct comet_quota_requests *quota_requests, uint32_t vm, uint64_t now_us);

#endif
