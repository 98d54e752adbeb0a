/*
 * test_gateway_grants.cc
 * tests of shards, their owners and slot requests, with several VMs in virtual time
 */
#include "grants_fleet.h"

namespace
{

using grants_fleet::fleet;
using grants_fleet::mail;
using grants_fleet::slots;

TEST(Shards, AllVmsFormTheSameShards)
{
	comet_instances *lists[2];
	comet_shards *shards[2];
	for (int vm = 0; vm < 2; vm++)
	{
		lists[vm] = comet_instances_create(nullptr, vm == 0 ? "a" : "b");
		shards[vm] = comet_shards_create(lists[vm], lists[vm]);
		for (int i = 0; i < 200; i++)
		{
			int at = vm == 0 ? i : 199 - i;
			std::string id = "i" + std::to_string(at);
			comet_instance_record record = {id.c_str(), "llm", "127.0.0.1:1",
				at % 2 == 0 ? "a" : "b", slots, 0, false, 0, "v1"};
			comet_instances_update(lists[vm], &record, 0);
		}
	}
	const GPtrArray *first = comet_shards_for_service(shards[0], "llm");
	const GPtrArray *second = comet_shards_for_service(shards[1], "llm");
	ASSERT_EQ(first->len, 4U); /* 100 endpoints per availability zone, at most 64 per shard */
	ASSERT_EQ(second->len, 4U);
	guint members = 0;
	for (guint i = 0; i < 4; i++)
	{
		auto *shard = static_cast<comet_shard *>(first->pdata[i]);
		comet_shard *other = comet_shards_find(shards[1], shard->id);
		ASSERT_NE(other, nullptr);
		EXPECT_EQ(other->members->len, shard->members->len);
		EXPECT_EQ(other->zone_id, shard->zone_id);
		members += shard->members->len;
	}
	EXPECT_EQ(members, 200U);
	EXPECT_EQ(comet_shards_for_service(shards[0], "other"), nullptr);
	comet_instances_remove(lists[0], "i0");
	members = 0;
	first = comet_shards_for_service(shards[0], "llm");
	for (guint i = 0; i < first->len; i++)
		members += static_cast<comet_shard *>(first->pdata[i])->members->len;
	EXPECT_EQ(members, 199U);
	talloc_free(lists[0]);
	talloc_free(lists[1]);
}

TEST(ShardOwners, AllVmsAgreeAndSkipNewAndLeavingVms)
{
	fleet all(5, 4);
	uint32_t owner = all.owner_of(1);
	ASSERT_NE(owner, 0U);
	for (uint32_t vm = 2; vm <= 5; vm++)
		EXPECT_EQ(all.owner_of(vm), owner);
	comet_gossip_leave(all.vms[owner].gossip, all.now_us);
	all.deliver();
	uint32_t other = owner == 1 ? 2 : 1;
	uint32_t next = all.owner_of(other);
	EXPECT_NE(next, owner);
	all.start(6, 4);
	all.pass(1000000);
	EXPECT_EQ(all.owner_of(other), next) << "a new VM must not own shards yet";

	fleet single(1, 4);
	single.now_us = 5000000;
	single.start(7, 4);
	EXPECT_EQ(single.owner_of(7), 0U);
}

/* When all VMs had restarted, no VM was old enough to own shards for three seconds. All VMs placed
 * requests by outdated gossip and filled the same slots. */
TEST(ShardOwners, OneNewVmIsSelectedWhenAllVmsAreNew)
{
	fleet all(3, 4);
	for (uint32_t vm = 1; vm <= 3; vm++)
	{
		talloc_free(all.vms[vm].instances);
		all.start(vm, 4);
	}
	all.pass(300000);
	EXPECT_EQ(all.owner_of(1), 0U);
	all.pass(300000);
	uint32_t owner = all.owner_of(1);
	EXPECT_NE(owner, 0U);
	EXPECT_EQ(all.owner_of(2), owner);
	EXPECT_EQ(all.owner_of(3), owner);
}

TEST(ShardOwners, VmsWithMoreCpuArePreferred)
{
	fleet all(4, 4);
	const uint32_t strong = 5;
	all.start(strong, 4, 400);
	all.pass(2000000);
	EXPECT_NE(all.owner_of(1), strong) << "the VM is still too new";
	all.pass(2000000);
	for (uint32_t vm = 1; vm <= strong; vm++)
		EXPECT_EQ(all.owner_of(vm), strong);
	fleet equal(4, 4);
	equal.start(strong, 4);
	equal.pass(4000000);
	EXPECT_NE(equal.owner_of(1), strong) << "with equal CPU only the hash score decides";
}

TEST(Grants, SlotRequestsPreventOverfilledEndpoints)
{
	for (bool asks : {true, false})
	{
		fleet all(6, 8);
		all.asks = asks;
		for (uint32_t i = 0; i < 8 * slots; i++)
			all.submit(1 + i % 6);
		all.deliver();
		EXPECT_EQ(all.total(), 8 * slots);
		if (asks)
			EXPECT_EQ(all.most_at_one(), slots);
		else
			EXPECT_GT(all.most_at_one(), slots) << "gossip alone cannot prevent it";
	}
}

/* Requests without streaming were placed by gossip that was two seconds old. Some of six endpoints
 * received more than they accept and refused requests, while others had free slots. */
TEST(Grants, PlainRequestsOfManyVmsDoNotOverfillAnEndpoint)
{
	for (bool asks : {true, false})
	{
		fleet all(60, 6);
		all.asks = asks;
		for (uint32_t i = 0; i < 6 * 2 * slots; i++)
			all.submit(1 + i % 60, 2, 0, true);
		all.deliver();
		EXPECT_EQ(all.total(), 6 * 2 * slots);
		if (asks)
			EXPECT_EQ(all.most_at_one(), 2 * slots)
				<< "as many requests as slots may queue there";
		else
			EXPECT_GT(all.most_at_one(), 2 * slots);
	}
}

TEST(Grants, DeniedRequestGetsTheNextReleasedSlot)
{
	fleet all(4, 2);
	std::vector<comet_placement_item *> first;
	for (uint32_t i = 0; i < 2 * slots; i++)
		first.push_back(all.submit(1));
	all.deliver();
	ASSERT_EQ(all.vms[1].sent.size(), 2 * slots);
	comet_placement_item *waiting = all.submit(2);
	all.pass(300000);
	EXPECT_EQ(all.vms[2].sent.count(waiting), 0U);
	EXPECT_TRUE(all.vms[2].refused.empty());
	all.end(1, first[0]);
	all.pass(300000);
	EXPECT_EQ(all.vms[2].sent.count(waiting), 1U);
	EXPECT_EQ(all.most_at_one(), slots);
}

TEST(Grants, OnlyUrgentRequestsMayQueueAtAnEndpoint)
{
	fleet all(4, 2);
	for (uint32_t i = 0; i < 2 * slots; i++)
		all.submit(1);
	all.deliver();
	comet_placement_item *urgent = all.submit(3, 0);
	comet_placement_item *other = all.submit(4, 2);
	all.deliver();
	EXPECT_EQ(all.vms[3].sent.count(urgent), 1U);
	EXPECT_EQ(all.vms[4].sent.count(other), 0U);
}

TEST(Grants, UnreachableOwnerIsReplacedWithinMilliseconds)
{
	fleet all(5, 4);
	uint32_t owner = all.owner_of(1);
	uint32_t requester = owner == 1 ? 2 : 1;
	all.lost = [owner](const mail &one) { return one.to == owner || one.from == owner; };
	comet_placement_item *item = all.submit(requester);
	all.deliver();
	EXPECT_EQ(all.vms[requester].sent.count(item), 0U);
	all.pass(50000);
	EXPECT_EQ(all.vms[requester].sent.count(item), 1U);
	EXPECT_NE(item->owner_vm, 0U) << "the slot was requested from the next VM in order";
	EXPECT_NE(item->owner_vm, owner);
	comet_placement_item *second = all.submit(requester);
	all.deliver();
	EXPECT_EQ(all.vms[requester].sent.count(second), 1U)
		<< "the unresponsive owner must not be asked again";
	EXPECT_NE(second->owner_vm, owner);
	all.pass(2000000);
	EXPECT_NE(all.owner_of(requester), owner) << "another VM must own the shard by now";
}

/* A slot request that was sent while expired ones were handled has a later time than the clock
 * value of that pass. It expired at once, so that after one missing answer a VM took all owners for
 * unresponsive. */
struct retrying_vm
{
	comet_grants *grants = nullptr;
	comet_placement_item item = {};
	std::vector<uint32_t> unanswered;
};

TEST(Grants, RequestSentDuringExpiryDoesNotExpireAtOnce)
{
	static const comet_grants_ops ops = {
		[](void *, uint32_t, const uint8_t *, size_t) {},
		[](void *, comet_placement_item *, const comet_slot_grant *) {},
		[](void *, comet_placement_item *, uint32_t, uint32_t) {},
		[](void *, comet_placement_item *, uint64_t) {},
		[](void *, comet_placement_item *) {},
		[](void *ctx, comet_placement_item *item, uint32_t owner)
		{
			auto *one = static_cast<retrying_vm *>(ctx);
			comet_slot_request request = {};
			one->unanswered.push_back(owner);
			if (owner < 4) /* 100 us later than the time of the tick */
				comet_grants_request(
					one->grants, item, owner + 1, &request, 1040100);
		},
		[](void *, const comet_SlotAsk *, comet_placement_wait_estimate *)
		{ return static_cast<const comet_instance *>(nullptr); },
		[](void *, const comet_SlotFreed *) {},
		nullptr,
	};
	retrying_vm one;
	comet_slot_request request = {};
	one.grants = comet_grants_create(nullptr, 9, &ops, &one);
	comet_grants_request(one.grants, &one.item, 1, &request, 1000000);
	EXPECT_TRUE(comet_grants_tick(one.grants, 1040000));
	EXPECT_EQ(one.unanswered, std::vector<uint32_t>{1});
	EXPECT_TRUE(comet_grants_is_unresponsive(one.grants, 1, 1040000));
	EXPECT_FALSE(comet_grants_is_unresponsive(one.grants, 2, 1040000));
	talloc_free(one.grants);
}

/* An owner that has used up its CPU share answers late but is alive. It was treated as
 * unresponsive, and for a second the requesting VM placed everything by gossip. */
TEST(Grants, LateAnswerMarksTheOwnerResponsive)
{
	fleet all(5, 4);
	uint32_t owner = all.owner_of(1);
	uint32_t requester = owner == 1 ? 2 : 1;
	std::deque<mail> delayed;
	all.lost = [&](const mail &one)
	{
		if (one.from != owner || one.to != requester)
			return false;
		delayed.push_back(one);
		return true;
	};
	all.submit(requester);
	all.pass(50000);
	EXPECT_TRUE(comet_grants_is_unresponsive(all.vms[requester].grants, owner, all.now_us));
	all.lost = [](const mail &) { return false; };
	for (const mail &one : delayed)
		all.receive(one);
	EXPECT_FALSE(comet_grants_is_unresponsive(all.vms[requester].grants, owner, all.now_us));
	comet_placement_item *next = all.submit(requester);
	all.deliver();
	EXPECT_EQ(next->owner_vm, owner);
}

TEST(Grants, GrantForACancelledRequestIsReleased)
{
	fleet all(5, 1);
	uint32_t owner = all.owner_of(1);
	uint32_t requester = owner == 1 ? 2 : 1;
	comet_placement_item *item = all.submit(requester);
	EXPECT_TRUE(item->slot_requested);
	comet_placement_cancel(
		all.vms[requester].placement, item); /* the caller has disconnected */
	all.deliver();
	EXPECT_TRUE(all.vms[requester].sent.empty());
	const comet_instance *instance = comet_instances_find(all.vms[owner].instances, "i0");
	EXPECT_EQ(instance->remote_requests, 0U);
	for (uint32_t i = 0; i < slots; i++)
		all.submit(requester);
	all.deliver();
	EXPECT_EQ(all.vms[requester].sent.size(), slots) << "all slots must be available";
}

/* Any host that reaches the internal port can send a forged answer. It must not move a request to
 * an endpoint of another service. */
TEST(Grants, GrantForAnotherServiceIsRejected)
{
	fleet all(5, 2);
	uint32_t owner = all.owner_of(1);
	uint32_t requester = owner == 1 ? 2 : 1;
	comet_instance_record record = {"p0", "app", "127.0.0.1:2", "z", slots, 0, false, 0, "v1"};
	const comet_instance *other =
		comet_instances_update(all.vms[requester].instances, &record, all.now_us);
	comet_placement_item *item = all.submit(requester);
	comet_Datagram forged = {};
	forged.which_body = comet_Datagram_answer_tag;
	forged.body.answer = {owner, 1, other->key, false, 0, false, 0, false};
	comet_grants_receive(all.vms[requester].grants, &forged, all.now_us);
	all.deliver();
	ASSERT_EQ(all.vms[requester].sent.count(item), 1U);
	EXPECT_EQ(all.vms[requester].sent[item][0], 'i')
		<< "the endpoint must belong to the service of the request";
}

/* An owner that does not know of the restart of an endpoint grants slots of its earlier
 * incarnation, and later receives releases of these slots. Neither may count for the new
 * incarnation. */
TEST(Grants, GrantForAnEarlierIncarnationDoesNotCount)
{
	fleet all(5, 1);
	uint32_t owner = all.owner_of(1);
	uint32_t requester = owner == 1 ? 2 : 1;
	comet_instance_record later = {
		"i0", "llm", "127.0.0.1:1", "z", slots, 0, false, 2000, "v1"};
	comet_placement_item *before = all.submit(requester);
	all.deliver();
	ASSERT_EQ(all.vms[requester].sent.count(before), 1U);
	const comet_instance *known = comet_instances_find(all.vms[owner].instances, "i0");
	EXPECT_EQ(known->remote_requests, 1U);
	uint32_t earlier = known->key;

	/* The requesting VM knows of the restart. */
	const comet_instance *now =
		comet_instances_update(all.vms[requester].instances, &later, all.now_us);
	comet_placement_item *item = all.submit(requester);
	all.deliver();
	EXPECT_EQ(all.vms[requester].sent.count(item), 1U);
	EXPECT_EQ(item->owner_vm, 0U) << "the grant must be released";
	EXPECT_EQ(known->remote_requests, 1U);
	EXPECT_EQ(now->local_requests, 1U);

	/* The owner learns of the restart, and then receives a release of the earlier incarnation.
	 */
	known = comet_instances_update(all.vms[owner].instances, &later, all.now_us);
	EXPECT_EQ(comet_instance_owned_load(known, all.now_us), 0U);
	comet_gossip_slot_granted(all.vms[owner].gossip, requester, known->key, 100, all.now_us);
	comet_grants_release(all.vms[requester].grants, owner, earlier, nullptr);
	all.deliver();
	EXPECT_EQ(comet_instance_owned_load(known, all.now_us), 1U);
	comet_grants_release(all.vms[requester].grants, owner, known->key, nullptr);
	all.deliver();
	EXPECT_EQ(comet_instance_owned_load(known, all.now_us), 0U);
}

TEST(Grants, GossipCorrectsLostReleases)
{
	fleet all(5, 1);
	uint32_t owner = all.owner_of(1);
	uint32_t requester = owner == 1 ? 2 : 1;
	std::vector<comet_placement_item *> first;
	for (uint32_t i = 0; i < slots; i++)
		first.push_back(all.submit(requester));
	all.deliver();
	all.lost = [](const mail &) { return true; };
	for (auto *item : first)
		all.end(requester, item);
	all.deliver();
	all.lost = [](const mail &) { return false; };
	all.pass(500000);
	comet_placement_item *next = all.submit(requester);
	all.deliver();
	EXPECT_EQ(all.vms[requester].sent.count(next), 1U);
}

/* A gossip message that was sent before a grant and arrived after it replaced the owner's count,
 * and the owner granted the same slots again. */
TEST(Grants, GossipSentBeforeAGrantDoesNotFreeItsSlot)
{
	fleet all(3, 1);
	uint32_t owner = all.owner_of(1);
	uint32_t requester = owner == 1 ? 2 : 1;
	uint32_t third = 6 - owner - requester;
	std::vector<mail> delayed;
	all.lost = [&](const mail &one)
	{
		comet_Datagram datagram;
		if (one.from != requester || one.to != owner ||
			!comet_datagram_decode(
				(const uint8_t *)one.bytes.data(), one.bytes.size(), &datagram) ||
			datagram.which_body != comet_Datagram_view_tag)
			return false;
		delayed.push_back(one);
		return true;
	};
	while (delayed.empty())
		all.pass(10000);
	for (uint32_t i = 0; i < slots; i++)
		all.submit(requester);
	all.deliver();
	ASSERT_EQ(all.total(), slots);
	all.receive(delayed.back());
	for (uint32_t i = 0; i < slots; i++)
		all.submit(third);
	all.deliver();
	EXPECT_EQ(all.most_at_one(), slots);
}

/* A quarter of the endpoints had crashed. The owner had dispatched nothing there itself and went on
 * granting their slots, which seemed free. Each VM had to detect the crashes itself, and requests
 * that reached four crashed endpoints were refused. */
TEST(Grants, OwnerEjectsEndpointsThatOthersReportUnreachable)
{
	constexpr int endpoints = 8;
	fleet all(20, endpoints);
	uint32_t unreached = 0;
	auto is_down = [](const std::string &id) { return id == "i0" || id == "i1"; };

	for (int round = 0; round < 30; round++)
	{
		std::vector<std::pair<uint32_t, comet_placement_item *>> sent;
		for (uint32_t vm = 1; vm <= 20; vm++)
			sent.emplace_back(vm, all.submit(vm));
		all.deliver();
		for (auto &one : sent)
		{
			if (all.vms[one.first].sent.count(one.second) == 0)
				continue;
			bool down = is_down(all.vms[one.first].sent[one.second]);
			unreached += down ? 1 : 0;
			all.end(one.first, one.second, 0, 0,
				down ? COMET_DISPATCH_UNREACHABLE : COMET_DISPATCH_SERVED);
		}
		all.deliver();
		all.pass(100000);
	}
	/* The requests of one round, and a few probes of each endpoint in three seconds. */
	EXPECT_LE(unreached, 2 * slots + 2 * 3);
	/* The endpoints are up again, which a probe detects. */
	all.pass(6000000);
	std::set<std::string> used;
	for (int round = 0; round < 20; round++)
	{
		std::vector<std::pair<uint32_t, comet_placement_item *>> sent;
		for (uint32_t vm = 1; vm <= 20; vm++)
			sent.emplace_back(vm, all.submit(vm));
		all.deliver();
		for (auto &one : sent)
		{
			if (all.vms[one.first].sent.count(one.second) == 0)
				continue;
			used.insert(all.vms[one.first].sent[one.second]);
			all.end(one.first, one.second, 0, 0, COMET_DISPATCH_SERVED);
		}
		all.deliver();
		all.pass(100000);
	}
	EXPECT_EQ(used.size(), (size_t)endpoints);
}

TEST(Grants, OwnerLearnsLatencyFromReleases)
{
	fleet all(5, 2);
	uint32_t owner = all.owner_of(1);
	uint32_t requester = owner == 1 ? 2 : 1;
	for (int round = 0; round < 40; round++)
	{
		for (int i = 0; i < 2; i++)
		{
			comet_placement_item *item = all.submit(requester);
			all.deliver();
			ASSERT_EQ(all.vms[requester].sent.count(item), 1U);
			/* i1 takes three times as long as i0 */
			bool slow = all.vms[requester].sent[item] == "i1";
			all.end(requester, item, 11, slow ? 300000 : 100000);
			all.deliver();
		}
		all.pass(50000);
	}
	const comet_instance *slow = comet_instances_find(all.vms[owner].instances, "i1");
	const comet_instance *fast = comet_instances_find(all.vms[owner].instances, "i0");
	EXPECT_GT(slow->relative_latency, 1.5 * fast->relative_latency);
	comet_placement_item *next = all.submit(requester);
	all.deliver();
	EXPECT_EQ(all.vms[requester].sent[next], "i0");
}

/* A VM without links takes all endpoints for failed and would deny every slot. */
TEST(Grants, AVmThatReachesNoEndpointOwnsNoShard)
{
	fleet all(5, 2);
	uint32_t cut_off = all.owner_of(1);
	uint32_t requester = cut_off == 1 ? 2 : 1;
	auto find_owner = [&](uint32_t observer)
	{
		all.owner_of(observer); /* forms the shards */
		comet_instance *any = comet_instances_find(all.vms[observer].instances, "i0");
		return comet_gossip_find_shard_owner(all.vms[observer].gossip, any->shard,
			comet_hash_name("z"), nullptr, nullptr, all.now_us);
	};
	EXPECT_EQ(find_owner(requester), cut_off);
	comet_gossip_set_endpoints_unreachable(all.vms[cut_off].gossip, true);
	all.pass(600000);
	EXPECT_FALSE(comet_gossip_reaches_endpoints(all.vms[requester].gossip, cut_off));
	uint32_t successor = find_owner(requester);
	EXPECT_NE(successor, cut_off);
	EXPECT_EQ(find_owner(cut_off), successor);
	for (auto &one : all.vms)
		comet_gossip_set_endpoints_unreachable(one.second.gossip, true);
	all.pass(600000);
	EXPECT_EQ(find_owner(requester), cut_off) << "all VMs are equally cut off";
}

/* Selects the endpoints of one version on all VMs. */
void
set_version(fleet *all, const char *id, const char *version)
{
	for (auto &one : all->vms)
	{
		comet_instance_record record = {
			id, "llm", "127.0.0.1:1", "z", slots, 0, false, 0, version};
		comet_instances_update(one.second.instances, &record, all->now_us);
	}
}

/* Owners granted slots at endpoints of another version than the one that began the stream. */
TEST(Grants, AStreamGetsSlotsAtItsVersionOnly)
{
	for (bool earlier_release : {false, true})
	{
		fleet all(4, 20);
		set_version(&all, "i7", "v2");
		if (earlier_release)
			all.on_mail = [](mail &one)
			{
				comet_Datagram datagram;
				uint8_t data[COMET_DATAGRAM_BYTES_MAX];
				ASSERT_TRUE(comet_datagram_decode((const uint8_t *)one.bytes.data(),
					one.bytes.size(), &datagram));
				if (datagram.which_body != comet_Datagram_ask_tag)
					return;
				datagram.body.ask.version = 0;
				size_t length = comet_datagram_encode(&datagram, data);
				one.bytes.assign((const char *)data, length);
			};
		for (uint32_t vm = 1; vm <= 4; vm++)
		{
			comet_placement_item *item =
				all.submit(vm, 0, 0, false, comet_hash_name("v2"));
			all.deliver();
			all.pass(50000);
			auto sent = all.vms[vm].sent.find(item);
			ASSERT_NE(sent, all.vms[vm].sent.end()) << "release " << earlier_release;
			EXPECT_EQ(sent->second, "i7") << "release " << earlier_release;
		}
	}
}

/* A version without capacity must not make its VM believe that the shard is full. */
TEST(Grants, AFullVersionDoesNotDelayOtherRequests)
{
	fleet all(2, 4);
	set_version(&all, "i0", "v2");
	for (uint32_t i = 0; i < slots + 2; i++)
		all.submit(1 + i % 2, 2, 0, false, comet_hash_name("v2"));
	all.deliver();
	comet_placement_item *other = all.submit(1);
	comet_placement_item *another = all.submit(2);
	all.deliver();
	EXPECT_EQ(all.vms[1].sent.count(other) + all.vms[2].sent.count(another), 2U);
	EXPECT_EQ(all.total(), slots + 2);
}

} // namespace
