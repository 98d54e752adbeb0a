/*
 * quota_requests.c
 * requests of VMs to the owners of the teams' quotas
 */
#include <libcometspindle/gateway/admission/quota_requests.h>

#include <libcometspindle/gateway/messages/pending_rpcs.h>
#include <talloc.h>

/* A quota request that waits for the owner's response. */
struct pending_request
{
	struct comet_pending_rpc rpc; /* first member */
	struct comet_quota_request request;
	bool cancelled;
};

struct comet_quota_requests
{
	uint32_t address;
	const struct comet_quota_requests_ops *ops;
	void *ctx;
	struct comet_pending_rpcs *pending; /* of struct pending_request */
};

struct comet_quota_requests *
comet_quota_requests_create(
	void *parent, uint32_t address, const struct comet_quota_requests_ops *ops, void *ctx)
{
	struct comet_quota_requests *quota_requests =
		talloc_zero(parent, struct comet_quota_requests);

	quota_requests->address = address;
	quota_requests->ops = ops;
	quota_requests->ctx = ctx;
	quota_requests->pending =
		comet_pending_rpcs_create(quota_requests, sizeof(struct pending_request));
	return quota_requests;
}

static void
send(struct comet_quota_requests *quota_requests, uint32_t address, const comet_Datagram *datagram)
{
	uint8_t data[COMET_DATAGRAM_BYTES_MAX];
	size_t length = comet_datagram_encode(datagram, data);

	quota_requests->ops->send(quota_requests->ctx, address, data, length);
}

void
comet_quota_requests_send(struct comet_quota_requests *quota_requests, void *user_data,
	uint32_t owner_vm, const struct comet_quota_request *request, uint64_t now_us)
{
	struct pending_request *pending =
		comet_pending_rpcs_add(quota_requests->pending, user_data, owner_vm, now_us);
	comet_Datagram datagram = {
		.which_body = comet_Datagram_charge_tag,
		.body.charge =
			{
				.asker = quota_requests->address,
				.number = pending->rpc.number,
				.team = request->team,
				.amount = request->amount,
				.rank = request->rank,
			},
	};

	pending->request = *request;
	send(quota_requests, owner_vm, &datagram);
}

void
comet_quota_requests_cancel(struct comet_quota_requests *quota_requests, const void *user_data)
{
	struct pending_request *pending =
		comet_pending_rpcs_find_user_data(quota_requests->pending, user_data);

	if (pending == NULL)
		return;
	pending->rpc.user_data = NULL;
	pending->cancelled = true;
}

void
comet_quota_requests_refund(struct comet_quota_requests *quota_requests, uint32_t owner_vm,
	const struct comet_quota_request *request)
{
	comet_Datagram datagram = {
		.which_body = comet_Datagram_returned_tag,
		.body.returned =
			{
				.asker = quota_requests->address,
				.team = request->team,
				.amount = request->amount,
			},
	};

	send(quota_requests, owner_vm, &datagram);
}

/* A response that arrives after the request has expired changes nothing: this VM has decided
 * without the owner. The owner learns from gossip what was spent, as it does of everything that it
 * did not charge. */
static void
handle_response(struct comet_quota_requests *quota_requests, const comet_ChargeAnswer *response,
	uint64_t now_us)
{
	comet_pending_rpcs_answered(
		quota_requests->pending, response->number, response->keeper, now_us);
	struct pending_request *found = comet_pending_rpcs_find(
		quota_requests->pending, response->number, response->keeper);

	if (found == NULL)
		return;
	struct pending_request pending = *found;
	comet_pending_rpcs_remove(quota_requests->pending, found);
	if (pending.cancelled)
	{
		if (response->known && response->wait_ms == 0)
			comet_quota_requests_refund(
				quota_requests, pending.rpc.vm, &pending.request);
		return;
	}
	if (response->known)
		quota_requests->ops->decided(quota_requests->ctx, pending.rpc.user_data,
			pending.rpc.vm, response->wait_ms);
	else
		quota_requests->ops->failed(
			quota_requests->ctx, pending.rpc.user_data, pending.rpc.vm);
}

static void
handle_request(struct comet_quota_requests *quota_requests, const comet_ChargeAsk *message)
{
	const struct comet_quota_request request = {message->team, message->rank, message->amount};
	comet_Datagram datagram = {.which_body = comet_Datagram_charged_tag};
	comet_ChargeAnswer *response = &datagram.body.charged;

	response->keeper = quota_requests->address;
	response->number = message->number;
	response->known = quota_requests->ops->remote_charge(
		quota_requests->ctx, message->asker, &request, &response->wait_ms);
	send(quota_requests, message->asker, &datagram);
}

bool
comet_quota_requests_receive(struct comet_quota_requests *quota_requests,
	const comet_Datagram *datagram, uint64_t now_us)
{
	const comet_ChargeReturned *returned = &datagram->body.returned;
	struct comet_quota_request request = {0};

	switch (datagram->which_body)
	{
	case comet_Datagram_charge_tag:
		handle_request(quota_requests, &datagram->body.charge);
		return true;
	case comet_Datagram_charged_tag:
		handle_response(quota_requests, &datagram->body.charged, now_us);
		return true;
	case comet_Datagram_returned_tag:
		request.team = returned->team;
		request.amount = returned->amount;
		quota_requests->ops->remote_refund(quota_requests->ctx, returned->asker, &request);
		return true;
	default:
		return false;
	}
}

bool
comet_quota_requests_tick(struct comet_quota_requests *quota_requests, uint64_t now_us)
{
	struct pending_request *expired = NULL;

	while ((expired = comet_pending_rpcs_find_expired(quota_requests->pending, now_us)) != NULL)
	{
		struct pending_request pending = *expired;
		comet_pending_rpcs_remove(quota_requests->pending, expired);
		comet_pending_rpcs_expired(quota_requests->pending, &pending.rpc, now_us);
		if (!pending.cancelled)
			quota_requests->ops->failed(
				quota_requests->ctx, pending.rpc.user_data, pending.rpc.vm);
	}
	return comet_pending_rpcs_has_pending(quota_requests->pending);
}

bool
comet_quota_requests_is_unresponsive(
	const struct comet_quota_requests *quota_requests, uint32_t vm, uint64_t now_us)
{
	return comet_pending_rpcs_is_unresponsive(quota_requests->pending, vm, now_us);
}
