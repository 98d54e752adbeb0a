/*
 * quota_requests.c
 * requests charged to their teams by the VMs that keep the teams' accounts
 */
#include <libcometspindle/gateway/admission/quota_requests.h>

#include <libcometspindle/gateway/messages/pending_rpcs.h>
#include <talloc.h>

/* A charge that is not answered yet. */
struct open_charge
{
	struct comet_pending_rpc ask; /* first member */
	struct comet_quota_request charge;
	bool forgotten; /* its owner is gone */
};

struct comet_quota_requests
{
	uint32_t address;
	const struct comet_quota_requests_ops *ops;
	void *ctx;
	struct comet_pending_rpcs *asks; /* of struct open_charge */
};

struct comet_quota_requests *
comet_quota_requests_create(
	void *parent, uint32_t address, const struct comet_quota_requests_ops *ops, void *ctx)
{
	struct comet_quota_requests *charges = talloc_zero(parent, struct comet_quota_requests);

	charges->address = address;
	charges->ops = ops;
	charges->ctx = ctx;
	charges->asks = comet_pending_rpcs_create(charges, sizeof(struct open_charge));
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
	const struct comet_quota_request *charge, uint64_t now_us)
{
	struct open_charge *open = comet_pending_rpcs_add(charges->asks, owner, keeper, now_us);
	comet_Datagram datagram = {
		.which_body = comet_Datagram_charge_tag,
		.body.charge =
			{
				.asker = charges->address,
				.number = open->ask.number,
				.team = charge->team,
				.amount = charge->amount,
				.rank = charge->rank,
			},
	};

	open->charge = *charge;
	send(charges, keeper, &datagram);
}

void
comet_quota_requests_cancel(struct comet_quota_requests *charges, const void *owner)
{
	struct open_charge *open = comet_pending_rpcs_find_owner(charges->asks, owner);

	if (open == NULL)
		return;
	open->ask.owner = NULL;
	open->forgotten = true;
}

void
comet_quota_requests_refund(struct comet_quota_requests *charges, uint32_t keeper,
	const struct comet_quota_request *charge)
{
	comet_Datagram datagram = {
		.which_body = comet_Datagram_returned_tag,
		.body.returned =
			{
				.asker = charges->address,
				.team = charge->team,
				.amount = charge->amount,
			},
	};

	send(charges, keeper, &datagram);
}

/* An answer that comes after the charge was given up changes nothing: it was decided without the
 * keeper, which hears of what was spent by views, as it does of all that it did not charge. */
static void
take_answer(struct comet_quota_requests *charges, const comet_ChargeAnswer *answer)
{
	struct open_charge *found =
		comet_pending_rpcs_find(charges->asks, answer->number, answer->keeper);

	comet_pending_rpcs_mark_responsive(charges->asks, answer->keeper);
	if (found == NULL)
		return;
	struct open_charge open = *found;
	comet_pending_rpcs_remove(charges->asks, found);
	if (open.forgotten)
	{
		if (answer->known && answer->wait_ms == 0)
			comet_quota_requests_refund(charges, open.ask.vm, &open.charge);
		return;
	}
	if (answer->known)
		charges->ops->decided(charges->ctx, open.ask.owner, open.ask.vm, answer->wait_ms);
	else
		charges->ops->undecided(charges->ctx, open.ask.owner, open.ask.vm);
}

static void
answer_ask(struct comet_quota_requests *charges, const comet_ChargeAsk *ask)
{
	const struct comet_quota_request charge = {ask->team, ask->rank, ask->amount};
	comet_Datagram datagram = {.which_body = comet_Datagram_charged_tag};
	comet_ChargeAnswer *answer = &datagram.body.charged;

	answer->keeper = charges->address;
	answer->number = ask->number;
	answer->known = charges->ops->charge(charges->ctx, ask->asker, &charge, &answer->wait_ms);
	send(charges, ask->asker, &datagram);
}

bool
comet_quota_requests_receive(struct comet_quota_requests *charges, const comet_Datagram *datagram)
{
	const comet_ChargeReturned *returned = &datagram->body.returned;
	struct comet_quota_request charge = {0};

	switch (datagram->which_body)
	{
	case comet_Datagram_charge_tag:
		answer_ask(charges, &datagram->body.charge);
		return true;
	case comet_Datagram_charged_tag:
		take_answer(charges, &datagram->body.charged);
		return true;
	case comet_Datagram_returned_tag:
		charge.team = returned->team;
		charge.amount = returned->amount;
		charges->ops->returned(charges->ctx, returned->asker, &charge);
		return true;
	default:
		return false;
	}
}

bool
comet_quota_requests_tick(struct comet_quota_requests *charges, uint64_t now_us)
{
	struct open_charge *overdue = NULL;

	while ((overdue = comet_pending_rpcs_find_expired(charges->asks, now_us)) != NULL)
	{
		struct open_charge open = *overdue;
		comet_pending_rpcs_remove(charges->asks, overdue);
		comet_pending_rpcs_mark_unresponsive(charges->asks, open.ask.vm, now_us);
		if (!open.forgotten)
			charges->ops->undecided(charges->ctx, open.ask.owner, open.ask.vm);
	}
	return comet_pending_rpcs_has_pending(charges->asks);
}

bool
comet_quota_requests_is_unresponsive(
	const struct comet_quota_requests *charges, uint32_t vm, uint64_t now_us)
{
	return comet_pending_rpcs_is_unresponsive(charges->asks, vm, now_us);
}
