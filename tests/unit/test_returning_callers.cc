/*
 * test_returning_callers.cc
 * tests that callers which were refused during a peak of load are served when they come back
 */
#include "returning_callers_sim.h"

namespace
{

using grants_fleet::fleet;
using namespace returning_callers;

/* A peak of twice the capacity for 3 s. Without records, a third of the returned callers was
 * refused again (738 of 2,238), because they were served after all requests that had arrived
 * meanwhile, and 0.90 of all callers were served. */
TEST(ReturningCallers, AreServedAfterAPeak)
{
	uint32_t returned = 0;
	uint32_t refused_again = 0;

	for (uint32_t ranks : {1, 2, 3})
		for (uint32_t seed : {5, 6, 7})
		{
			peak_simulation sim(ranks, seed);
			sim.replay_peak();
			EXPECT_GE(sim.share_served(), 0.95) << ranks << " ranks, seed " << seed;
			returned += sim.returned;
			refused_again += sim.refused_again;
		}
	EXPECT_LE((double)refused_again / returned, 0.1);
}

/* Under a lasting overload newcomers must not all be refused first and served late, behind callers
 * that were refused before. Measured without the rule for lasting overloads: 0 of 1,198 are served
 * at once. */
TEST(ReturningCallers, NewcomersAreServedUnderALastingOverload)
{
	peak_simulation sim(1, 5);
	sim.pass(3000000, 0.6);
	/* Records are made for 12 s, the time that callers wait, and are used until 18 s. */
	sim.pass(20000000, 2);
	uint32_t served = sim.served;
	uint32_t at_once = sim.served_at_once;
	sim.pass(15000000, 2);
	printf("%u served, %u of them at once\n", sim.served - served,
		sim.served_at_once - at_once);
	EXPECT_GE(sim.served_at_once - at_once, 0.5 * (sim.served - served));
}

/* Room that was announced to callers which stay away must not be kept from others: newcomers would
 * be refused although they could be served. */
TEST(ReturningCallers, RoomOfCallersThatStayAwayIsUsed)
{
	peak_simulation sim(2, 5);
	sim.callers_return = false;
	sim.pass(3000000, 0.6);
	sim.pass(3000000, 2);
	uint32_t submitted = sim.submitted;
	uint32_t served = sim.served;
	uint32_t open = (uint32_t)sim.open.size();
	sim.pass(4000000, 0.6);
	printf("after the peak: %u open, %u submitted, %u served\n", open,
		sim.submitted - submitted, sim.served - served);
	/* Some requests still run at the end. */
	EXPECT_GE(sim.served - served - open, 0.85 * (sim.submitted - submitted));
}

bool
concerns_returns(const grants_fleet::mail &one)
{
	uint32_t kind = comet_datagram_kind((const uint8_t *)one.bytes.data(), one.bytes.size());
	return kind == comet_Datagram_refused_tag || kind == comet_Datagram_refused_ask_tag ||
	       kind == comet_Datagram_refused_answer_tag;
}

/* If all datagrams about refused callers are lost, or the other VMs run an earlier release that
 * does not know them, requests are served as those of newcomers. */
TEST(ReturningCallers, AreNewcomersIfDatagramsAreLost)
{
	peak_simulation sim(2, 5);
	sim.all.lost = concerns_returns;
	sim.replay_peak();
	EXPECT_GE(sim.share_served(), 0.85);
	EXPECT_EQ(sim.submitted, sim.served + sim.refused_again + sim.open.size());
}

/* Every second VM runs an earlier release: it drops the datagrams that it does not know, ignores
 * that a caller returned, and states no time to return. */
TEST(ReturningCallers, AnEarlierReleaseAsPeer)
{
	peak_simulation sim(2, 5);
	sim.all.lost = [](const grants_fleet::mail &one)
	{ return concerns_returns(one) && (one.to % 2 == 0 || one.from % 2 == 0); };
	sim.all.on_mail = [](grants_fleet::mail &one)
	{
		comet_Datagram datagram;
		uint8_t data[COMET_DATAGRAM_BYTES_MAX];
		if (!comet_datagram_decode(
			    (const uint8_t *)one.bytes.data(), one.bytes.size(), &datagram))
			return;
		if (datagram.which_body == comet_Datagram_ask_tag && one.to % 2 == 0)
			datagram.body.ask.returned = false;
		else if (datagram.which_body == comet_Datagram_answer_tag && one.from % 2 == 0)
			datagram.body.answer.return_ms = 0;
		else
			return;
		size_t length = comet_datagram_encode(&datagram, data);
		one.bytes.assign((const char *)data, length);
	};
	sim.replay_peak();
	EXPECT_GE(sim.share_served(), 0.9);
	EXPECT_EQ(sim.submitted, sim.served + sim.refused_again + sim.open.size());
}

/* The first VMs stop storing and answering in the middle of the peak: their records are lost, and
 * later refusals are recorded at other VMs. */
void
pass_with_dead_owners(peak_simulation &sim, uint32_t dead)
{
	sim.pass(3000000, 0.6);
	sim.pass(1500000, 2);
	sim.all.lost = [dead](const grants_fleet::mail &one)
	{ return concerns_returns(one) && (one.to <= dead || one.from <= dead); };
	sim.pass(1500000, 2);
	sim.pass(4000000, 0.6);
	sim.pass(12000000, 0);
	printf("%u of %u owners die: %.3f served, %.2f refused again\n", dead, vms,
		sim.share_served(), sim.share_refused_again());
}

/* The loss of one VM of twelve costs the callers that it had records of their place, and no more.
 */
TEST(ReturningCallers, AnOwnerOfRecordsDies)
{
	peak_simulation sim(2, 5);
	pass_with_dead_owners(sim, 1);
	EXPECT_GE(sim.share_served(), 0.95);
	EXPECT_LE(sim.share_refused_again(), 0.15);
}

/* Without a third of the VMs, no fewer callers are served than by arrival alone (0.90). */
TEST(ReturningCallers, AThirdOfTheOwnersDies)
{
	peak_simulation sim(2, 5);
	pass_with_dead_owners(sim, 4);
	EXPECT_GE(sim.share_served(), 0.9);
	EXPECT_LE(sim.share_refused_again(), 0.3);
}

/* Two VMs; one endpoint, whose shard one of them owns. */
struct two_vms
{
	fleet all{2, 1};
	uint32_t owner;
	uint32_t asker;
	uint64_t digest = 1; /* owned by the same VM as the shard */
	comet_placement_item first = {};
	comet_placement_item second = {};

	two_vms()
	{
		owner = all.owner_of(1);
		asker = 3 - owner;
		while (all.vms[asker].find_digest_owner(digest, all.now_us) != owner)
			digest++;
		for (uint32_t i = 0; i < grants_fleet::slots; i++)
			all.submit(owner);
		all.deliver();
	}

	void
	submit(comet_placement_item &item, uint64_t item_digest, uint64_t wait_us)
	{
		item.service = "llm";
		item.size = {1000, 100, 100, true};
		item.route_rank = 2;
		item.dispatch_deadline_us = all.now_us + wait_us;
		item.answer_deadline_us = all.now_us + 9000000;
		all.submit_item(asker, &item, item_digest);
	}

	void
	record(uint64_t age_us = 0)
	{
		comet_refused_caller refused = {digest, 0, 9000000, age_us};
		comet_returning_callers_record(all.vms[asker].callers, owner, &refused, all.now_us);
		all.deliver();
	}

	void
	end_one()
	{
		all.end(owner, all.vms[owner].sent.begin()->first);
		all.deliver();
	}
};

/* The answer of a lookup arrives while the request waits: it is served before a newcomer that came
 * first, and the owner of the shard learns that the caller returned. */
TEST(ReturningCallers, MoveUpWhileTheyWait)
{
	two_vms pair;
	bool asked = false;
	pair.all.on_mail = [&asked](grants_fleet::mail &one)
	{
		comet_Datagram datagram;
		if (comet_datagram_decode(
			    (const uint8_t *)one.bytes.data(), one.bytes.size(), &datagram) &&
			datagram.which_body == comet_Datagram_ask_tag)
			asked = asked || datagram.body.ask.returned;
	};
	pair.record();
	pair.submit(pair.first, pair.digest + 1000, 5000000);
	pair.all.deliver();
	pair.submit(pair.second, pair.digest, 5000000);
	EXPECT_TRUE(comet_placement_is_pending(&pair.second));
	pair.all.deliver();
	EXPECT_TRUE(pair.second.returned);
	EXPECT_FALSE(pair.first.returned);
	EXPECT_TRUE(asked);
	pair.end_one();
	EXPECT_EQ(pair.all.vms[pair.asker].sent.count(&pair.second), 1U);
	EXPECT_EQ(pair.all.vms[pair.asker].sent.count(&pair.first), 0U);
}

/* A returned caller whose target, counted from its first attempt, has passed must not go before a
 * newcomer that can still be in time, at its VM and at the owner of the shard. One that can still
 * be in time goes first. */
TEST(ReturningCallers, GoBehindNewcomersInTimeIfLate)
{
	for (uint64_t age_us : {100000, 1500000})
	{
		bool is_late = age_us > 1000000;
		two_vms pair;
		bool asked_late = false;
		pair.all.on_mail = [&asked_late](grants_fleet::mail &one)
		{
			comet_Datagram datagram;
			if (comet_datagram_decode((const uint8_t *)one.bytes.data(),
				    one.bytes.size(), &datagram) &&
				datagram.which_body == comet_Datagram_ask_tag)
				asked_late = asked_late ||
					     (datagram.body.ask.returned && datagram.body.ask.late);
		};
		pair.record(age_us);
		for (auto *item : {&pair.first, &pair.second})
			item->soft_deadline_us = pair.all.now_us + 1000000;
		pair.submit(pair.first, pair.digest + 1000, 5000000);
		pair.all.deliver();
		pair.submit(pair.second, pair.digest, 5000000);
		pair.all.deliver();
		EXPECT_TRUE(pair.second.returned);
		EXPECT_EQ(pair.second.late, is_late);
		EXPECT_EQ(asked_late, is_late);
		pair.end_one();
		auto &sent = pair.all.vms[pair.asker].sent;
		EXPECT_EQ(sent.count(&pair.second), is_late ? 0U : 1U);
		EXPECT_EQ(sent.count(&pair.first), is_late ? 1U : 0U);
	}
}

/* The second refusal is final for its caller. A record or booked room for it would only be kept
 * from others. */
TEST(ReturningCallers, ASecondRefusalLeavesNoRecord)
{
	two_vms pair;
	pair.record(300000);
	pair.submit(pair.second, pair.digest, 500000);
	pair.all.deliver();
	ASSERT_TRUE(pair.second.returned);
	pair.all.pass(1000000);
	auto &asker = pair.all.vms[pair.asker];
	ASSERT_EQ(asker.refused.count(&pair.second), 1U);
	EXPECT_FALSE(pair.second.return_expected);
	EXPECT_EQ(comet_returning_callers_count(asker.callers), 0U);
	EXPECT_EQ(comet_returning_callers_count(pair.all.vms[pair.owner].callers), 0U);
}

/* A returned caller must not wait for its dispatch deadline in vain if the overload has lasted much
 * longer than its caller waits, and must not be refused early otherwise. */
TEST(ReturningCallers, AreRefusedEarlyInALastingOverloadOnly)
{
	for (uint64_t lasts_us : {3000000, 20000000})
	{
		bool is_lasting = lasts_us > 2 * 9000000;
		two_vms pair;
		std::deque<comet_placement_item> refused;
		pair.submit(pair.first, pair.digest + 1000, 30000000);
		for (uint64_t end_us = pair.all.now_us + lasts_us; pair.all.now_us < end_us;)
		{
			pair.all.pass(500000);
			refused.emplace_back();
			pair.submit(refused.back(), pair.digest + 1000 + refused.size(), 0);
			pair.all.deliver();
		}
		pair.record(300000);
		pair.submit(pair.second, pair.digest, 1500000);
		pair.all.pass(100000);
		auto &asker = pair.all.vms[pair.asker];
		EXPECT_TRUE(pair.second.returned);
		EXPECT_EQ(asker.refused.count(&pair.second), is_lasting ? 1U : 0U);
		pair.all.pass(1500000);
		EXPECT_EQ(asker.refused.count(&pair.second), 1U);
		EXPECT_EQ(pair.second.wait_source == COMET_WAIT_EXPIRED, !is_lasting);
	}
}

/* Ranks are strict: a returned caller goes before newcomers of its own rank only. */
TEST(ReturningCallers, DoNotGoBeforeMoreUrgentRanks)
{
	two_vms pair;
	pair.record();
	pair.second.team_rank = 1;
	pair.submit(pair.second, pair.digest, 5000000);
	pair.all.deliver();
	EXPECT_TRUE(pair.second.returned);
	pair.submit(pair.first, pair.digest + 1000, 5000000);
	pair.all.deliver();
	pair.end_one();
	EXPECT_EQ(pair.all.vms[pair.asker].sent.count(&pair.first), 1U);
	EXPECT_EQ(pair.all.vms[pair.asker].sent.count(&pair.second), 0U);
}

/* A lookup must not delay a request. One that can wait is queued before the answer, and one that is
 * to be refused is held until the time-out for datagrams at most. */
TEST(ReturningCallers, ALookupDelaysOnlyRefusals)
{
	two_vms pair;
	pair.all.lost = concerns_returns;
	pair.submit(pair.first, pair.digest, 5000000);
	pair.all.deliver();
	EXPECT_NE(pair.first.queue_position, nullptr);
	pair.submit(pair.second, pair.digest, 0);
	pair.all.deliver();
	auto &refused = pair.all.vms[pair.asker].refused;
	EXPECT_EQ(refused.count(&pair.second), 0U);
	EXPECT_TRUE(comet_placement_is_pending(&pair.second));
	pair.all.pass(100000);
	EXPECT_EQ(refused.count(&pair.second), 1U);
	EXPECT_EQ(refused.count(&pair.first), 0U);
	EXPECT_GE(pair.all.vms[pair.asker].lookups[COMET_RETURN_UNANSWERED], 1U);
}

/* While no endpoint is listed there is no room to announce: bookings would tell callers later and
 * later times, and keep refusing newcomers after the endpoints have started again. */
TEST(ReturningCallers, NoRoomIsBookedWithoutEndpoints)
{
	fleet all{2, 0};
	comet_placement_item items[20] = {};

	for (auto &item : items)
	{
		item.service = "llm";
		item.dispatch_deadline_us = all.now_us;
		item.early_refusal_us = all.now_us;
		item.answer_deadline_us = all.now_us + 60000000;
		all.submit_item(1, &item, 1);
		ASSERT_EQ(all.vms[1].refused.count(&item), 1U) << "not held for a lookup";
		EXPECT_EQ(item.retry_source, COMET_RETRY_OTHER);
		EXPECT_LE(all.vms[1].retry_after_ms[&item], 1250U);
	}
	EXPECT_EQ(comet_returning_callers_count(all.vms[1].callers), 0U);
	EXPECT_EQ(comet_returning_callers_count(all.vms[2].callers), 0U);
}

/* A request whose caller leaves while it is held must not be placed later. */
TEST(ReturningCallers, AHeldRequestIsCancelled)
{
	two_vms pair;
	pair.submit(pair.first, 1, 5000000);
	pair.all.deliver();
	pair.all.lost = concerns_returns;
	pair.submit(pair.second, pair.digest, 0);
	ASSERT_TRUE(pair.second.held);
	comet_placement_cancel(pair.all.vms[pair.asker].placement, &pair.second);
	EXPECT_FALSE(comet_placement_is_pending(&pair.second));
	pair.all.pass(100000);
	EXPECT_EQ(pair.all.vms[pair.asker].refused.count(&pair.second), 0U);
	EXPECT_EQ(pair.all.vms[pair.asker].sent.count(&pair.second), 0U);
}

} // namespace
