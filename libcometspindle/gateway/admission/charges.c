/*
 * charges.c
 * requests charged to their teams by the VMs that keep the teams' accounts
 */
#include <libcometspindle/gateway/admission/charges.h>

#include <libcometspindle/gateway/messages/asks.h>
#include <talloc.h>

/* A charge that is not answered yet. */
struct open_charge
{
	struct comet_ask ask; /* first member */
	struct comet_charge charge;
	bool forgotten; /* its owner is gone */
};

struct comet_charges
{
	uint32_t address;
	const struct comet_charges_ops *ops;
	void *ctx;
	struct comet_asks *asks; /* of struct open_charge */
};

struct comet_charges *
comet_charges_create(void *parent, uint32_t address, const struct comet_charges_ops *ops, void *ctx)
{
	struct comet_charges *charges = talloc_zero(parent, struct comet_charges);

	charges->address = address;
	charges->ops = ops;
	charges->ctx = ctx;
	charges->asks = comet_asks_create(charges, sizeof(struct open_charge));
	return charges;
}

static void
send(struct comet_charges *charges, uint32_t address, const comet_Datagram *datagram)
{
	uint8_t data[COMET_DATAGRAM_BYTES_MAX];
	size_t length = comet_datagram_encode(datagram, data);

	charges->ops->send(charges->ctx, address, data, length);
}

void
comet_charges_ask(struct comet_charges *charges, void *owner, uint32_t keeper,
	const struct comet_charge *charge, uint64_t now_us)
{
	struct open_charge *open = comet_asks_add(charges->asks, owner, keeper, now_us);
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
comet_charges_forget(struct comet_charges *charges, const void *owner)
{
	struct open_charge *open = comet_asks_of(charges->asks, owner);

	if (open == NULL)
		return;
	open->ask.owner = NULL;
	open->forgotten = true;
}

void
comet_charges_return(
	struct comet_charges *charges, uint32_t keeper, const struct comet_charge *charge)
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
take_answer(struct comet_charges *charges, const comet_ChargeAnswer *answer)
{
	struct open_charge *found = comet_asks_find(charges->asks, answer->number, answer->keeper);

	comet_asks_heard(charges->asks, answer->keeper);
	if (found == NULL)
		return;
	struct open_charge open = *found;
	comet_asks_remove(charges->asks, found);
	if (open.forgotten)
	{
		if (answer->known && answer->wait_ms == 0)
			comet_charges_return(charges, open.ask.vm, &open.charge);
		return;
	}
	if (answer->known)
		charges->ops->decided(charges->ctx, open.ask.owner, open.ask.vm, answer->wait_ms);
	else
		charges->ops->undecided(charges->ctx, open.ask.owner, open.ask.vm);
}

static void
answer_ask(struct comet_charges *charges, const comet_ChargeAsk *ask)
{
	const struct comet_charge charge = {ask->team, ask->rank, ask->amount};
	comet_Datagram datagram = {.which_body = comet_Datagram_charged_tag};
	comet_ChargeAnswer *answer = &datagram.body.charged;

	answer->keeper = charges->address;
	answer->number = ask->number;
	answer->known = charges->ops->charge(charges->ctx, ask->asker, &charge, &answer->wait_ms);
	send(charges, ask->asker, &datagram);
}

bool
comet_charges_receive(struct comet_charges *charges, const comet_Datagram *datagram)
{
	const comet_ChargeReturned *returned = &datagram->body.returned;
	struct comet_charge charge = {0};

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
comet_charges_tick(struct comet_charges *charges, uint64_t now_us)
{
	struct open_charge *overdue = NULL;

	while ((overdue = comet_asks_overdue(charges->asks, now_us)) != NULL)
	{
		struct open_charge open = *overdue;
		comet_asks_remove(charges->asks, overdue);
		comet_asks_mute(charges->asks, open.ask.vm, now_us);
		if (!open.forgotten)
			charges->ops->undecided(charges->ctx, open.ask.owner, open.ask.vm);
	}
	return comet_asks_any(charges->asks);
}

bool
comet_charges_is_mute(const struct comet_charges *charges, uint32_t vm, uint64_t now_us)
{
	return comet_asks_is_mute(charges->asks, vm, now_us);
}
