/*
 * quota_requests.h
 * requests charged to their teams by the VMs that keep the teams' accounts
 *
 * What hundreds of VMs tell each other of their spending is seconds old, in which a team that turns
 * hot spends all of its limit. So one VM keeps each team's account, and the others ask
 * it before they send: one round trip a request, however many VMs there are. A charge that is not
 * answered in time is decided by what the asker itself knows. No sockets and no clock in here.
 */
#ifndef COMETSPINDLE_GATEWAY_QUOTA_REQUESTS_H
#define COMETSPINDLE_GATEWAY_QUOTA_REQUESTS_H

#include <libcometspindle/gateway/messages/datagram.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** What is charged, and to whom. */
struct comet_quota_request
{
	uint32_t team; /**< id */
	uint32_t rank; /**< of the request, 0 is the most urgent */
	uint64_t amount;
};

struct comet_quota_requests_ops
{
	void (*send)(void *ctx, uint32_t address, const uint8_t *data, size_t length);
	/** Asker: the keeper has charged it (wait_ms 0), or tells when to ask again. */
	void (*decided)(void *ctx, void *owner, uint32_t keeper, uint32_t wait_ms);
	/** Asker: the keeper did not answer in time, or does not know the team's limit. */
	void (*undecided)(void *ctx, void *owner, uint32_t keeper);
	/** Keeper: charges another VM's request. @return false when the team's limit is not known
	 */
	bool (*charge)(void *ctx, uint32_t asker, const struct comet_quota_request *charge,
		uint32_t *wait_ms);
	/** Keeper: a request that another VM had charged has not run. */
	void (*returned)(void *ctx, uint32_t asker, const struct comet_quota_request *charge);
};

struct comet_quota_requests;

/** address: of this VM (IPv4, host order). */
struct comet_quota_requests *
comet_quota_requests_create(
	void *parent, uint32_t address, const struct comet_quota_requests_ops *ops, void *ctx);

/** Asks the keeper to charge a request; ends in decided or undecided, or by forget. */
void
comet_quota_requests_send(struct comet_quota_requests *charges, void *owner, uint32_t keeper,
	const struct comet_quota_request *charge, uint64_t now_us);

/** The owner is gone: what is still charged for it is given back. */
void
comet_quota_requests_cancel(struct comet_quota_requests *charges, const void *owner);

/** A request that the keeper charged has not run. */
void
comet_quota_requests_refund(struct comet_quota_requests *charges, uint32_t keeper,
	const struct comet_quota_request *charge);

/** A datagram arrived. @return whether it was one of these */
bool
comet_quota_requests_receive(struct comet_quota_requests *charges, const comet_Datagram *datagram);

/** Gives up charges that were not answered in time. @return whether any is still open */
bool
comet_quota_requests_tick(struct comet_quota_requests *charges, uint64_t now_us);

/** @return whether a VM left a charge unanswered of late. */
bool
comet_quota_requests_is_unresponsive(
	const struct comet_quota_requests *charges, uint32_t vm, uint64_t now_us);

#endif
