/*
 * test_order_by_size.cc
 * Tests of the order of requests by their expected slot time.
 */
#include "order_simulation.h"
#include "placement_fixture.h"

extern "C"
{
#include <libcometspindle/gateway/endpoints/latency_model.h>
}

namespace
{

using order_simulation::kind;
using order_simulation::large;
using order_simulation::simulation;
using order_simulation::small;

/* Guards against a large request that takes the slot time of twenty small ones. The bounds are the
 * target of docs/design/uneven-load.md. */
TEST(OrderBySize, SmallRequestsGoFirstWhenSlotsAreShort)
{
	simulation sim({small(9), large(1)});
	sim.measure(1.5);
	sim.print("target");
	EXPECT_GE(sim.outcomes[0].share(), 0.9);
	EXPECT_GE(sim.outcomes[1].share(), 0.35);
}

/* Guards against the starvation of large requests by small ones that alone exceed the capacity. */
TEST(OrderBySize, LargeRequestsAreNotStarved)
{
	simulation sim({small(9), large(1)});
	double of_small = 9 * small(9).slot_s() / (9 * small(9).slot_s() + large(1).slot_s());
	sim.measure(1.2 / of_small);
	sim.print("small alone at 1.2");
	double served = sim.outcomes[0].served + sim.outcomes[1].served;
	double submitted = sim.outcomes[0].submitted + sim.outcomes[1].submitted;
	EXPECT_GE(sim.outcomes[1].share(), 0.5 * served / submitted);
}

/* Guards against a team of large requests that is displaced by one of small requests: sizes are
 * relative to the mean of the team. Both teams request the same slot time. */
TEST(OrderBySize, TwoTeamsOfEqualDemandAreServedAlike)
{
	kind first = small(20);
	kind second = large(1);
	second.team_id = 2;
	simulation sim({first, second});
	sim.measure(1.5);
	sim.print("two teams");
	EXPECT_NEAR(sim.outcomes[0].share(), sim.outcomes[1].share(), 0.1);
}

/* Guards against a gain from leaving out the hint: a request of unknown size counts as one of usual
 * size among those of known sizes. */
TEST(OrderBySize, ATeamWithoutHintsGainsNothing)
{
	kind first = small(20);
	kind second = large(1);
	second.team_id = 2;
	second.hinted = false;
	simulation sim({first, second});
	sim.measure(1.5);
	sim.print("second team without hints");
	EXPECT_GE(sim.outcomes[0].share(), sim.outcomes[1].share() - 0.1);
}

/* Items of one VM with two slots, in the order in which they are sent. */
class OrderTest : public PlacementTest
{
      protected:
	std::vector<comet_placement_item> running;

	/* A request with a target latency of a second. */
	comet_placement_item
	sized(uint32_t hint, uint32_t rank = 2)
	{
		comet_placement_item one = item(rank);
		one.size.output_tokens = hint;
		one.output_hinted = hint > 0;
		one.dispatch_deadline_us = now_us + 3000000;
		one.soft_deadline_us = now_us + 1000000;
		return one;
	}

	void
	fill()
	{
		now_us += 1000000; /* the dequeue rates begin at the first request */
		add("a");
		running.assign(2, sized(100));
		for (auto &one : running)
			comet_placement_submit(placement, &one, now_us);
		ASSERT_EQ(dispatched.size(), 2U);
	}

	void
	submit(std::vector<comet_placement_item *> items)
	{
		for (auto *one : items)
		{
			comet_placement_submit(placement, one, now_us);
			now_us += 10000;
		}
	}

	/* Ends the running requests until the queue is empty. */
	std::vector<comet_placement_item *>
	order()
	{
		std::vector<comet_placement_item *> sent;
		for (size_t i = 0; i < dispatched.size(); i++)
		{
			if (i >= 2)
				sent.push_back(dispatched[i].item);
			end(dispatched[i], COMET_DISPATCH_CANCELLED);
			comet_placement_run(placement, now_us);
		}
		return sent;
	}
};

using items = std::vector<comet_placement_item *>;

TEST_F(OrderTest, SmallRequestsGoFirstWithinTheirRank)
{
	fill();
	comet_placement_item big = sized(2000);
	comet_placement_item tiny = sized(10);
	comet_placement_item urgent = sized(2000, 1);
	submit({&big, &tiny, &urgent});
	EXPECT_EQ(order(), items({&urgent, &tiny, &big}));
}

/* Guards against a change for callers that send no hints, whatever their limits are. */
TEST_F(OrderTest, WithoutHintsTheOrderIsThatOfArrival)
{
	add("a");
	std::vector<comet_placement_item> filling(2, sized(0));
	for (auto &one : filling)
		comet_placement_submit(placement, &one, now_us);
	comet_placement_item first = sized(0);
	comet_placement_item second = sized(0);
	first.size = {9000, 4000, 4000, true};
	second.soft_deadline_us = now_us + 400000;
	submit({&first, &second});
	EXPECT_EQ(order(), items({&first, &second}));
	EXPECT_EQ(comet_placement_order_counts(placement).sized, 0U);
}

/* Guards against a returned caller that goes behind smaller newcomers, or before a more urgent
 * rank. */
TEST_F(OrderTest, ReturnedCallersGoFirstWithinTheirRank)
{
	fill();
	comet_placement_item fresh = sized(10);
	comet_placement_item returned = sized(2000);
	comet_placement_item urgent = sized(100, 1);
	returned.returned = true;
	submit({&fresh, &returned, &urgent});
	EXPECT_EQ(order(), items({&urgent, &returned, &fresh}));
}

/* The VM that keeps the record of a refusal answers while the request waits already. */
TEST_F(OrderTest, ARequestMovesUpWhenItsCallerIsRecognised)
{
	fill();
	comet_placement_item first = sized(100);
	comet_placement_item second = sized(100);
	comet_placement_item third = sized(100);
	submit({&first, &second, &third});
	uint64_t newcomer_us = comet_placement_wait_us(placement, &third, now_us);
	comet_placement_set_caller(placement, &third, true, now_us);
	EXPECT_LT(comet_placement_wait_us(placement, &third, now_us), newcomer_us);
	EXPECT_EQ(order(), items({&third, &first, &second}));
}

/* Guards against a large request that waits in vain behind small ones that overtake it. */
TEST_F(OrderTest, ALargeRequestIsExpectedToWaitLonger)
{
	fill();
	std::vector<comet_placement_item> large(3, sized(2000));
	for (auto &one : large)
		comet_placement_submit(placement, &one, now_us);
	comet_placement_item next_small = sized(10);
	comet_placement_item next_large = sized(2000);
	now_us += 300000;
	comet_placement_submit(placement, &next_small, now_us);
	comet_placement_submit(placement, &next_large, now_us);
	uint64_t small_us = comet_placement_wait_us(placement, &next_small, now_us);
	EXPECT_GT(comet_placement_wait_us(placement, &next_large, now_us), small_us * 3 / 2);
}

/* Guards against hints that are absurd, which must not give any place outside the bounds or move
 * the mean of other requests. */
TEST_F(OrderTest, AbsurdHintsAreBounded)
{
	fill();
	for (uint32_t hint : {1000000U, 1000001U, UINT32_MAX})
	{
		comet_placement_item absurd = sized(hint);
		absurd.size.prompt_tokens = UINT32_MAX;
		comet_placement_submit(placement, &absurd, now_us);
		EXPECT_LE(absurd.order_us, now_us + 1500000);
		EXPECT_LE(absurd.slot_us, 600000000U);
		comet_placement_cancel(placement, &absurd);
	}
	EXPECT_EQ(comet_placement_order_counts(placement).unsized, 2U);
	comet_placement_item usual = sized(100);
	comet_placement_item large = sized(1600);
	submit({&usual, &large});
	EXPECT_LT(usual.order_us, large.order_us) << "sizes are still told apart";
	EXPECT_LE(usual.mean_slot_us, 70 * usual.slot_us);
}

/* Hints may be wrong by a constant factor, which differs between teams. */
TEST_F(OrderTest, HintsAreCorrectedForTheirTeam)
{
	fill();
	comet_placement_item before = sized(100);
	comet_placement_submit(placement, &before, now_us);
	for (int i = 0; i < 200; i++)
		comet_placement_learn_size(placement, &before, 400);
	comet_placement_item after = sized(100);
	comet_placement_item other = sized(100);
	other.team_id = 3;
	submit({&after, &other});
	uint64_t prompt_us = 130000;
	EXPECT_NEAR(
		(double)(after.slot_us - prompt_us), 4.0 * (before.slot_us - prompt_us), 200000);
	EXPECT_GT(other.slot_us, before.slot_us) << "the hints of all teams come first";
	for (int i = 0; i < 200; i++)
		comet_placement_learn_size(placement, &other, 100);
	comet_placement_item third = sized(100);
	third.team_id = 3;
	submit({&third});
	EXPECT_LT(third.slot_us, after.slot_us / 2);
}

/* Two VMs that request slots from the owner of the only shard, whose slots are taken. */
struct waiting_fleet
{
	grants_fleet::fleet all{4, 1};
	uint32_t owner = all.owner_of(1);
	uint32_t first = owner == 1 ? 2 : 1;
	uint32_t second = owner == 3 ? 2 : 3;
	items running;

	waiting_fleet()
	{
		for (uint32_t i = 0; i < grants_fleet::slots; i++)
			running.push_back(all.submit(first));
		all.deliver();
		EXPECT_EQ(all.total(), grants_fleet::slots);
	}

	comet_placement_item *
	submit(uint32_t vm, uint32_t hint)
	{
		auto item = std::make_unique<comet_placement_item>();
		comet_placement_item *one = item.get();
		one->service = "llm";
		one->size = {600, hint, 4000, true};
		one->output_hinted = true;
		one->route_rank = 2;
		one->dispatch_deadline_us = all.now_us + 3000000;
		one->soft_deadline_us = all.now_us + 1000000;
		all.items.push_back(std::move(item));
		comet_placement_submit(all.vms[vm].placement, one, all.now_us);
		return one;
	}

	bool
	is_sent(uint32_t vm, comet_placement_item *item)
	{
		return all.vms[vm].sent.count(item) != 0;
	}

	void
	free_slot()
	{
		all.end(first, running.back());
		running.pop_back();
		all.deliver();
	}
};

/* Guards against the loss of the time of arrival when a request has waited for 300 ms at an owner
 * and asks another, or the same one again. */
TEST(OrderOfAllVms, ARequestThatAsksAnOwnerAgainKeepsItsArrival)
{
	waiting_fleet fleet;
	comet_placement_item *early = fleet.submit(fleet.first, 100);
	fleet.all.pass(200000);
	comet_placement_item *later = fleet.submit(fleet.second, 100);
	fleet.all.pass(200000);
	fleet.free_slot();
	EXPECT_TRUE(fleet.is_sent(fleet.first, early));
	EXPECT_FALSE(fleet.is_sent(fleet.second, later));
}

/* Guards against a slot request that was sent before its caller was recognized and keeps its place
 * at the owner. */
TEST(OrderOfAllVms, AReturnedCallerGoesFirstAtTheOwner)
{
	waiting_fleet fleet;
	comet_placement_item *early = fleet.submit(fleet.first, 100);
	comet_placement_item *returned = fleet.submit(fleet.second, 100);
	fleet.all.pass(50000);
	comet_placement_set_caller(
		fleet.all.vms[fleet.second].placement, returned, true, fleet.all.now_us);
	fleet.all.pass(50000);
	fleet.free_slot();
	EXPECT_TRUE(fleet.is_sent(fleet.second, returned));
	EXPECT_FALSE(fleet.is_sent(fleet.first, early));
}

/* Guards against an owner that sorts remote waiters of different VMs by arrival alone. */
TEST(OrderOfAllVms, ASmallRequestOfAnotherVmGoesFirst)
{
	waiting_fleet fleet;
	fleet.submit(fleet.second, 100); /* so that both VMs know the usual size */
	fleet.submit(fleet.first, 100);
	fleet.all.pass(10000);
	fleet.free_slot();
	fleet.free_slot();
	comet_placement_item *big = fleet.submit(fleet.first, 2000);
	fleet.all.pass(50000);
	comet_placement_item *tiny = fleet.submit(fleet.second, 5);
	fleet.all.pass(50000);
	fleet.free_slot();
	EXPECT_TRUE(fleet.is_sent(fleet.second, tiny));
	EXPECT_FALSE(fleet.is_sent(fleet.first, big));
}

/* Guards against VMs of an earlier release that would go before all others, or behind them, since
 * they state neither the delay nor the time waited. */
TEST(OrderOfAllVms, TheOwnerComputesTheDelayForAnEarlierRelease)
{
	waiting_fleet fleet;
	fleet.submit(fleet.owner, 100); /* the owner learns the usual size */
	fleet.all.pass(10000);
	fleet.free_slot();
	fleet.all.on_mail = [](grants_fleet::mail &mail)
	{
		comet_Datagram datagram;
		ASSERT_TRUE(comet_datagram_decode(
			(const uint8_t *)mail.bytes.data(), mail.bytes.size(), &datagram));
		if (datagram.which_body != comet_Datagram_ask_tag)
			return;
		datagram.body.ask.order_ms = 0;
		datagram.body.ask.waited_ms = 0;
		uint8_t data[COMET_DATAGRAM_BYTES_MAX];
		mail.bytes.assign((const char *)data, comet_datagram_encode(&datagram, data));
	};
	comet_placement_item *big = fleet.submit(fleet.first, 2000);
	fleet.all.pass(50000);
	comet_placement_item *tiny = fleet.submit(fleet.second, 5);
	fleet.all.pass(50000);
	fleet.free_slot();
	EXPECT_TRUE(fleet.is_sent(fleet.second, tiny));
	EXPECT_FALSE(fleet.is_sent(fleet.first, big));
}

/* Guards against a VM whose slot requests state absurd times: it must not be served before all
 * others for ever, nor must its requests be lost. */
TEST(OrderOfAllVms, AbsurdTimesInSlotRequestsAreBounded)
{
	waiting_fleet fleet;
	fleet.all.on_mail = [](grants_fleet::mail &mail)
	{
		comet_Datagram datagram;
		ASSERT_TRUE(comet_datagram_decode(
			(const uint8_t *)mail.bytes.data(), mail.bytes.size(), &datagram));
		if (datagram.which_body != comet_Datagram_ask_tag)
			return;
		datagram.body.ask.order_ms = UINT32_MAX;
		datagram.body.ask.waited_ms = UINT32_MAX;
		uint8_t data[COMET_DATAGRAM_BYTES_MAX];
		mail.bytes.assign((const char *)data, comet_datagram_encode(&datagram, data));
	};
	comet_placement_item *one = fleet.submit(fleet.second, 100);
	fleet.all.pass(50000);
	fleet.free_slot();
	EXPECT_TRUE(fleet.is_sent(fleet.second, one));
}

} // namespace
