/*
 * test_gateway_remote_waiters.cc
 * Tests of requests of several VMs that wait at the owner of a shard for its
 * slots.
 */
#include "grants_fleet.h"
#include "placement_fixture.h"

namespace
{

using grants_fleet::fleet;
using grants_fleet::mail;
using grants_fleet::slots;

/* The owner of the shard and two VMs that request slots from it. */
struct requesters
{
	uint32_t owner_vm;
	uint32_t first;
	uint32_t second;

	explicit requesters(fleet &all) : owner_vm(all.owner_of(1))
	{
		first = owner_vm == 1 ? 2 : 1;
		second = owner_vm == 3 ? 2 : 3;
	}
};

std::vector<comet_placement_item *>
fill_slots(fleet &all, uint32_t vm, uint32_t count)
{
	std::vector<comet_placement_item *> items;
	for (uint32_t i = 0; i < count; i++)
		items.push_back(all.submit(vm));
	all.deliver();
	EXPECT_EQ(all.total(), count);
	return items;
}

/* If VMs repeated their slot requests instead of waiting at the owner, a slot would go to the VM
 * that asks first after it becomes free, whatever the rank. */
TEST(RemoteWaiters, AFreeSlotIsGrantedToTheMostUrgentRequestOfAllVms)
{
	fleet all(4, 1);
	requesters vms(all);
	auto running = fill_slots(all, vms.first, slots);
	comet_placement_item *own = all.submit(vms.owner_vm, 4);
	comet_placement_item *less_urgent = all.submit(vms.first, 3);
	all.pass(50000);
	comet_placement_item *urgent = all.submit(vms.second, 2);
	all.pass(50000);
	EXPECT_EQ(all.total(), slots);
	all.end(vms.first, running[0]);
	all.deliver();
	EXPECT_EQ(all.vms[vms.second].sent.count(urgent), 1U)
		<< "granted at once, without another slot request";
	EXPECT_EQ(all.total(), slots);
	all.end(vms.first, running[1]);
	all.deliver();
	EXPECT_EQ(all.vms[vms.first].sent.count(less_urgent), 1U);
	all.end(vms.first, running[2]);
	all.deliver();
	EXPECT_EQ(all.vms[vms.owner_vm].sent.count(own), 1U)
		<< "requests of the owner are served in the same order";
	EXPECT_EQ(all.most_at_one(), slots);
}

TEST(RemoteWaiters, RequestsInTimeAreGrantedFirstWithinARankOfAllVms)
{
	fleet all(4, 1);
	requesters vms(all);
	auto running = fill_slots(all, vms.first, slots);
	comet_placement_item *late = all.submit(vms.first, 2, 300000);
	all.pass(250000); /* the first event takes 130 ms */
	comet_placement_item *fresh = all.submit(vms.second, 2, 2000000);
	all.pass(50000);
	all.end(vms.first, running[0]);
	all.deliver();
	EXPECT_EQ(all.vms[vms.second].sent.count(fresh), 1U);
	EXPECT_EQ(all.vms[vms.first].sent.count(late), 0U);
	all.end(vms.first, running[1]);
	all.deliver();
	EXPECT_EQ(all.vms[vms.first].sent.count(late), 1U);
}

TEST(RemoteWaiters, ARequestIsPlacedByGossipAfterItsOwnerFails)
{
	fleet all(4, 1);
	requesters vms(all);
	auto running = fill_slots(all, vms.first, slots);
	comet_placement_item *item = all.submit(vms.second);
	all.pass(50000);
	EXPECT_TRUE(item->slot_requested);
	all.lost = [&](const mail &one)
	{ return one.to == vms.owner_vm || one.from == vms.owner_vm; };
	all.end(vms.first, running[0]);
	all.pass(500000);
	EXPECT_EQ(all.vms[vms.second].sent.count(item), 1U) << "placed by gossip";
	EXPECT_EQ(all.vms[vms.second].dispatches[item], 1);
}

TEST(RemoteWaiters, ACancelledRequestTakesNoSlot)
{
	fleet all(4, 1);
	requesters vms(all);
	auto running = fill_slots(all, vms.first, slots);
	comet_placement_item *cancelled = all.submit(vms.second);
	all.pass(50000);
	comet_placement_item *next = all.submit(vms.owner_vm);
	comet_placement_cancel(all.vms[vms.second].placement, cancelled);
	all.end(vms.first, running[0]);
	all.pass(20000);
	EXPECT_EQ(all.vms[vms.second].sent.size(), 0U);
	EXPECT_EQ(all.vms[vms.owner_vm].sent.count(next), 1U) << "the granted slot was released";
}

TEST(RemoteWaiters, AnExpiredRequestIsRefusedAndItsGrantReleased)
{
	fleet all(4, 1);
	requesters vms(all);
	auto running = fill_slots(all, vms.first, slots);
	comet_placement_item *item = all.submit(vms.second);
	item->dispatch_deadline_us = all.now_us + 100000;
	all.pass(150000);
	EXPECT_EQ(all.vms[vms.second].refused.count(item), 1U);
	EXPECT_FALSE(item->slot_requested);
	all.end(vms.first, running[0]);
	all.pass(50000);
	EXPECT_TRUE(all.vms[vms.second].sent.empty());
	const comet_instance *instance =
		comet_instances_find(all.vms[vms.owner_vm].instances, "i0");
	EXPECT_EQ(instance->local_requests + instance->remote_requests, slots - 1);
}

/* Guards against two pending slot requests of one request, which was then sent twice. The owner of
 * the shard changed between two lookups in one placement, so the request asked two owners. */
struct request_log
{
	uint32_t owner_lookups = 0;
	uint32_t open = 0;
	uint32_t max_open = 0;
	uint32_t dispatches = 0;
	comet_slot_request last = {};
};

TEST(RemoteWaiters, ARequestHasOneSlotRequestAtATime)
{
	static const comet_placement_ops ops = {
		[](void *ctx, comet_placement_item *, comet_instance *instance)
		{
			static_cast<request_log *>(ctx)->dispatches++;
			instance->local_requests++;
		},
		[](void *, comet_placement_item *, uint32_t) {},
		[](void *ctx, comet_shard *)
		{
			uint32_t lookup = static_cast<request_log *>(ctx)->owner_lookups++;
			return lookup % 3 == 0 ? COMET_PLACEMENT_OWNER_SELF
					       : COMET_PLACEMENT_OWNER_OTHER;
		},
		[](void *ctx, comet_placement_item *, comet_shard *,
			const comet_slot_request *request)
		{
			auto *one = static_cast<request_log *>(ctx);
			one->last = *request;
			one->max_open = std::max(one->max_open, ++one->open);
		},
		[](void *ctx, comet_placement_item *) { static_cast<request_log *>(ctx)->open--; },
		[](void *, const comet_slot_request *, comet_instance *) {},
		nullptr,
		nullptr,
	};
	request_log one;
	comet_instances *instances = comet_instances_create(nullptr, "a");
	for (const char *zone : {"a", "b", "c"})
	{
		comet_instance_record record = {
			zone, "llm", "127.0.0.1:1", zone, 1, 0, false, 0, "v1"};
		comet_instances_update(instances, &record, 0)->local_requests = 1;
	}
	comet_placement *placement = comet_placement_create(instances, instances, &ops, &one, 1);
	comet_placement_item item = {};
	item.service = "llm";
	item.size = {1000, 100, 100, true};
	item.route_rank = 2; /* this rank does not queue at endpoints */
	item.dispatch_deadline_us = 60000000;
	uint64_t now_us = 1000000;
	comet_placement_submit(placement, &item, now_us);
	for (int i = 0; i < 200; i++, now_us += 20000)
	{
		comet_placement_run(placement, now_us);
		ASSERT_LE(one.open, 1U);
		if (!item.slot_requested || i % 3 != 0)
			continue;
		one.open--;
		if (one.last.wait_us > 0)
			comet_placement_wait_expired(placement, &item, now_us);
		else
			comet_placement_denied(placement, &item, one.last.shard, 0, now_us);
	}
	EXPECT_EQ(one.max_open, 1U);
	EXPECT_EQ(one.dispatches, 0U);
	uint32_t key = comet_instances_find(instances, "a")->key;
	for (int i = 0; i < 200 && !item.slot_requested; i++)
		comet_placement_run(placement, now_us += 20000);
	ASSERT_TRUE(item.slot_requested);
	const comet_slot_grant grant = {7, key, false, false};
	EXPECT_TRUE(comet_placement_granted(placement, &item, &grant, now_us));
	EXPECT_FALSE(comet_placement_granted(placement, &item, &grant, now_us))
		<< "the second grant is not used";
	EXPECT_EQ(one.dispatches, 1U);
	talloc_free(instances);
}

/* A queued request whose slot request was denied asked the same owner again at once: 15,726
 * datagrams within a second. The owner is asked at most once per 50 ms for a slot, and as often for
 * a wait. */
TEST(RemoteWaiters, AnOwnerThatDeniesAWaiterIsNotAskedAgainAtOnce)
{
	fleet all(3, 1);
	requesters vms(all);
	for (uint32_t i = 0; i < slots; i++)
		all.submit(vms.first);
	all.deliver();
	uint32_t asked = 0;
	bool denies = true;
	all.lost = [&](const mail &one)
	{
		comet_Datagram datagram;
		if (!denies || asked >= 1000 || one.from != vms.second ||
			!comet_datagram_decode(
				(const uint8_t *)one.bytes.data(), one.bytes.size(), &datagram) ||
			datagram.which_body != comet_Datagram_ask_tag)
			return false;
		comet_Datagram answer = {};
		uint8_t data[COMET_DATAGRAM_BYTES_MAX];
		answer.which_body = comet_Datagram_answer_tag;
		answer.body.answer.keeper = one.to;
		answer.body.answer.number = datagram.body.ask.number;
		size_t length = comet_datagram_encode(&answer, data);
		all.in_flight.push_back({one.to, one.from, std::string((char *)data, length)});
		asked++;
		return true;
	};
	comet_placement_item *item = all.submit(vms.second);
	all.pass(1000000);
	EXPECT_GE(asked, 2U);
	EXPECT_LE(asked, 40U);
	EXPECT_EQ(all.vms[vms.second].refused.count(item), 0U);
	denies = false;
	all.end(vms.first, all.vms[vms.first].sent.begin()->first);
	all.pass(500000);
	EXPECT_EQ(all.vms[vms.second].sent.count(item), 1U);
}

} // namespace
