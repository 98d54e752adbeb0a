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
	struct comet_pending_rpcs *asks; /* of struct pending_request */
};

struct comet_quota_requests *
comet_quota_requests_create(
	void *parent, uint32_t address, const struct comet_quota_requests_ops *ops, void *ctx)
{
	struct comet_quota_requests *charges = talloc_zero(parent, struct comet_quota_requests);

	charges->address = address;
	charges->ops = ops;
	charges->ctx = ctx;
	charges->asks = comet_pending_rpcs_create(charges, sizeof(struct pending_request));
	return charges;
}

static void
send(struct comet_quota_requests *charges, uint32_t address, const comet_Datagram *datagram)
{
	uint8_t data[COMET_DATAGRAM_BYTES_MAX];
	size_t length = comet_datagram_encode(datagram, data);

	charges->ops->send(charges->ctx, address, data, length);
}

void
comet_quota_requests_send(struct comet_quota_requests *charges, void *owner, uint32_t keeper,
	const struct comet_quota_request *request, uint64_t now_us)
{
	struct pending_request *pending =
		comet_pending_rpcs_add(charges->asks, owner, keeper, now_us);
	comet_Datagram datagram = {
		.which_body = comet_Datagram_charge_tag,
		.body.charge =
			{
				.asker = charges->address,
				.number = pending->rpc.number,
				.team = request->team,
				.amount = request->amount,
				.rank = request->rank,
			},
	};

	pending->request = *request;
	send(charges, keeper, &datagram);
}

void
comet_quota_requests_cancel(struct comet_quota_requests *charges, const void *owner)
{
	struct pending_request *pending = comet_pending_rpcs_find_owner(charges->asks, owner);

	if (pending == NULL)
		return;
	pending->rpc.owner = NULL;
	pending->cancelled = true;
}

void
comet_quota_requests_refund(struct comet_quota_requests *charges, uint32_t keeper,
	const struct comet_quota_request *request)
{
	comet_Datagram datagram = {
		.which_body = comet_Datagram_returned_tag,
		.body.returned =
			{
				.asker = charges->address,
				.team = request->team,
				.amount = request->amount,
			},
	};

	send(charges, keeper, &datagram);
}

/* A response that arrives after the request has expired changes nothing: this VM has decided
 * without the owner. The owner learns from gossip what was spent, as it does of everything that it
 * did not charge. */
static void
handle_response(struct comet_quota_requests *charges, const comet_ChargeAnswer *response)
{
	struct pending_request *found =
		comet_pending_rpcs_find(charges->asks, response->number, response->keeper);

	comet_pending_rpcs_mark_responsive(charges->asks, response->keeper);
	if (found == NULL)
		return;
	struct pending_request pending = *found;
	comet_pending_rpcs_remove(charges->asks, found);
	if (pending.cancelled)
	{
		if (response->known && response->wait_ms == 0)
			comet_quota_requests_refund(charges, pending.rpc.vm, &pending.request);
		return;
	}
	if (response->known)
		charges->ops->decided(
			charges->ctx, pending.rpc.owner, pending.rpc.vm, response->wait_ms);
	else
		charges->ops->undecided(charges->ctx, pending.rpc.owner, pending.rpc.vm);
}

static void
handle_request(struct comet_quota_requests *charges, const comet_ChargeAsk *message)
{
	const struct comet_quota_request request = {message->team, message->rank, message->amount};
	comet_Datagram datagram = {.which_body = comet_Datagram_charged_tag};
	comet_ChargeAnswer *response = &datagram.body.charged;

	response->keeper = charges->address;
	response->number = message->number;
	response->known =
		charges->ops->charge(charges->ctx, message->asker, &request, &response->wait_ms);
	send(charges, message->asker, &datagram);
}

bool
comet_quota_requests_receive(struct comet_quota_requests *charges, const comet_Datagram *datagram)
{
	const comet_ChargeReturned *returned = &datagram->body.returned;
	struct comet_quota_request request = {0};

	switch (datagram->which_body)
	{
	case comet_Datagram_charge_tag:
		handle_request(charges, &datagram->body.charge);
		return true;
	case comet_Datagram_charged_tag:
		handle_response(charges, &datagram->body.charged);
		return true;
	case comet_Datagram_returned_tag:
		request.team = returned->team;
		request.amount = returned->amount;
		charges->ops->returned(charges->ctx, returned->asker, &request);
		return true;
	default:
		return false;
	}
}

bool
comet_quota_requests_tick(struct comet_quota_requests *charges, uint64_t now_us)
{
	struct pending_request *expired = NULL;

	while ((expired = comet_pending_rpcs_find_expired(charges->asks, now_us)) != NULL)
	{
		struct pending_request pending = *expired;
		comet_pending_rpcs_remove(charges->asks, expired);
		comet_pending_rpcs_mark_unresponsive(charges->asks, pending.rpc.vm, now_us);
		if (!pending.cancelled)
			charges->ops->undecided(charges->ctx, pending.rpc.owner, pending.rpc.vm);
	}
	return comet_pending_rpcs_has_pending(charges->asks);
}

bool
comet_quota_requests_is_unresponsive(
	const struct comet_quota_requests *charges, uint32_t vm, uint64_t now_us)
{
	return comet_pending_rpcs_is_unresponsive(charges->asks, vm, now_us);
}
