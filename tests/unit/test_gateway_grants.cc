/*
 * test_gateway_grants.cc
 * shards, keepers and slots asked for, over several VMs under virtual time
 */
#include "grants_fleet.h"

namespace
{

using grants_fleet::fleet;
using grants_fleet::mail;
using grants_fleet::slots;

TEST(Shards, AreTheSameWhereverTheListIsRead)
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
				at % 2 == 0 ? "a" : "b", slots, 0, false, 0};
			comet_instances_put(lists[vm], &record, 0);
		}
	}
	const GPtrArray *first = comet_shards_for_service(shards[0], "llm");
	const GPtrArray *second = comet_shards_for_service(shards[1], "llm");
	ASSERT_EQ(first->len, 4U); /* 100 in each zone, at most 64 in a shard */
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

TEST(Keepers, AreAgreedOnAndNeitherYoungNorLeaving)
{
	fleet all(5, 4);
	uint32_t keeper = all.keeper_of_all(1);
	ASSERT_NE(keeper, 0U);
	for (uint32_t vm = 2; vm <= 5; vm++)
		EXPECT_EQ(all.keeper_of_all(vm), keeper);
	comet_gossip_leave(all.vms[keeper].gossip, all.now_us);
	all.deliver();
	uint32_t other = keeper == 1 ? 2 : 1;
	uint32_t next = all.keeper_of_all(other);
	EXPECT_NE(next, keeper);
	all.start(6, 4);
	all.pass(1000000);
	EXPECT_EQ(all.keeper_of_all(other), next) << "a young VM keeps nothing yet";

	fleet young(1, 4);
	young.now_us = 5000000;
	young.start(7, 4);
	EXPECT_EQ(young.keeper_of_all(7), 0U);
}

/* After all have restarted, VMs chose by old views for three seconds, and filled the same slots. */
TEST(Keepers, WhereAllAreYoungOneOfThemKeeps)
{
	fleet all(3, 4);
	for (uint32_t vm = 1; vm <= 3; vm++)
	{
		talloc_free(all.vms[vm].instances);
		all.start(vm, 4);
	}
	all.pass(300000);
	EXPECT_EQ(all.keeper_of_all(1), 0U);
	all.pass(300000);
	uint32_t keeper = all.keeper_of_all(1);
	EXPECT_NE(keeper, 0U);
	EXPECT_EQ(all.keeper_of_all(2), keeper);
	EXPECT_EQ(all.keeper_of_all(3), keeper);
}

TEST(Keepers, VmsWithMoreProcessorGoFirst)
{
	fleet all(4, 4);
	const uint32_t strong = 5;
	all.start(strong, 4, 400);
	all.pass(2000000);
	EXPECT_NE(all.keeper_of_all(1), strong) << "it is young still";
	all.pass(2000000);
	for (uint32_t vm = 1; vm <= strong; vm++)
		EXPECT_EQ(all.keeper_of_all(vm), strong);
	fleet equal(4, 4);
	equal.start(strong, 4);
	equal.pass(4000000);
	EXPECT_NE(equal.keeper_of_all(1), strong) << "drawn by score alone";
}

TEST(Grants, VmsThatAskDoNotFillTheSameSlots)
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
			EXPECT_GT(all.most_at_one(), slots) << "views alone cannot tell";
	}
}

/* Plain requests were placed by views that were two seconds old: of six endpoints some were sent
 * more than they take, and refused, while others had slots free. */
TEST(Grants, PlainRequestsOfManyVmsDoNotFillTheSameEndpoint)
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
			EXPECT_EQ(all.most_at_one(), 2 * slots) << "a round may wait there";
		else
			EXPECT_GT(all.most_at_one(), 2 * slots);
	}
}

TEST(Grants, WhatIsDeniedWaitsAndGetsTheNextFreeSlot)
{
	fleet all(4, 2);
	std::vector<comet_placement_item *> first;
	for (uint32_t i = 0; i < 2 * slots; i++)
		first.push_back(all.submit(1));
	all.deliver();
	ASSERT_EQ(all.vms[1].sent.size(), 2 * slots);
	comet_placement_item *late = all.submit(2);
	all.pass(300000);
	EXPECT_EQ(all.vms[2].sent.count(late), 0U);
	EXPECT_TRUE(all.vms[2].refused.empty());
	all.end(1, first[0]);
	all.pass(300000);
	EXPECT_EQ(all.vms[2].sent.count(late), 1U);
	EXPECT_EQ(all.most_at_one(), slots);
}

TEST(Grants, UrgentRequestsMayWaitAtAnEndpointOthersNot)
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

TEST(Grants, ADeadKeeperCostsMillisecondsOnly)
{
	fleet all(5, 4);
	uint32_t keeper = all.keeper_of_all(1);
	uint32_t asker = keeper == 1 ? 2 : 1;
	all.lost = [keeper](const mail &one) { return one.to == keeper || one.from == keeper; };
	comet_placement_item *item = all.submit(asker);
	all.deliver();
	EXPECT_EQ(all.vms[asker].sent.count(item), 0U);
	all.pass(50000);
	EXPECT_EQ(all.vms[asker].sent.count(item), 1U);
	EXPECT_NE(item->keeper, 0U) << "the next best was asked in its place";
	EXPECT_NE(item->keeper, keeper);
	comet_placement_item *second = all.submit(asker);
	all.deliver();
	EXPECT_EQ(all.vms[asker].sent.count(second), 1U) << "it is not asked again at once";
	EXPECT_NE(second->keeper, keeper);
	all.pass(2000000);
	EXPECT_NE(all.keeper_of_all(asker), keeper) << "another one keeps count by now";
}

/* Found in a log: a VM that one keeper had not answered took all others for mute in the same
 * moment. */
struct late_asker
{
	comet_grants *grants = nullptr;
	comet_placement_item item = {};
	std::vector<uint32_t> unanswered;
};

TEST(Grants, AnAskBegunWhileOthersAreGivenUpIsAwaited)
{
	static const comet_grants_ops ops = {
		[](void *, uint32_t, const uint8_t *, size_t) {},
		[](void *, comet_placement_item *, uint32_t, uint32_t) {},
		[](void *, comet_placement_item *, uint32_t, uint32_t) {},
		[](void *, comet_placement_item *, uint64_t) {},
		[](void *, comet_placement_item *) {},
		[](void *ctx, comet_placement_item *item, uint32_t keeper)
		{
			auto *one = static_cast<late_asker *>(ctx);
			comet_slot_request ask = {};
			one->unanswered.push_back(keeper);
			if (keeper < 4) /* some time has passed meanwhile */
				comet_grants_request(one->grants, item, keeper + 1, &ask, 1040100);
		},
		[](void *, const comet_SlotAsk *, comet_placement_wait_estimate *) { return 0U; },
		[](void *, const comet_SlotFreed *) {},
	};
	late_asker one;
	comet_slot_request ask = {};
	one.grants = comet_grants_create(nullptr, 9, &ops, &one);
	comet_grants_request(one.grants, &one.item, 1, &ask, 1000000);
	EXPECT_TRUE(comet_grants_tick(one.grants, 1040000));
	EXPECT_EQ(one.unanswered, std::vector<uint32_t>{1});
	EXPECT_TRUE(comet_grants_is_unresponsive(one.grants, 1, 1040000));
	EXPECT_FALSE(comet_grants_is_unresponsive(one.grants, 2, 1040000));
	talloc_free(one.grants);
}

/* A keeper that answers late, since it has used up its share of a core, is no dead one: for a
 * second all that one VM sent went by views. */
TEST(Grants, AKeeperThatAnswersLateIsAskedAgain)
{
	fleet all(5, 4);
	uint32_t keeper = all.keeper_of_all(1);
	uint32_t asker = keeper == 1 ? 2 : 1;
	std::deque<mail> held;
	all.lost = [&](const mail &one)
	{
		if (one.from != keeper || one.to != asker)
			return false;
		held.push_back(one);
		return true;
	};
	all.submit(asker);
	all.pass(50000);
	EXPECT_TRUE(comet_grants_is_unresponsive(all.vms[asker].grants, keeper, all.now_us));
	all.lost = [](const mail &) { return false; };
	for (const mail &one : held)
		all.arrive(one);
	EXPECT_FALSE(comet_grants_is_unresponsive(all.vms[asker].grants, keeper, all.now_us));
	comet_placement_item *next = all.submit(asker);
	all.deliver();
	EXPECT_EQ(next->keeper, keeper);
}

TEST(Grants, AGrantThatNobodyWaitsForIsGivenBack)
{
	fleet all(5, 1);
	uint32_t keeper = all.keeper_of_all(1);
	uint32_t asker = keeper == 1 ? 2 : 1;
	comet_placement_item *item = all.submit(asker);
	EXPECT_TRUE(item->asking);
	comet_placement_cancel(all.vms[asker].placement, item); /* its caller left */
	all.deliver();
	EXPECT_TRUE(all.vms[asker].sent.empty());
	const comet_instance *kept = comet_instances_find(all.vms[keeper].instances, "i0");
	EXPECT_EQ(kept->others, 0U);
	for (uint32_t i = 0; i < slots; i++)
		all.submit(asker);
	all.deliver();
	EXPECT_EQ(all.vms[asker].sent.size(), slots) << "all slots can be had";
}

/* Whoever reaches the internal port can answer: a request must not leave its service for that. */
TEST(Grants, AGrantOfAnotherServicesEndpointIsNotUsed)
{
	fleet all(5, 2);
	uint32_t keeper = all.keeper_of_all(1);
	uint32_t asker = keeper == 1 ? 2 : 1;
	comet_instance_record record = {"p0", "app", "127.0.0.1:2", "z", slots, 0, false, 0};
	const comet_instance *other =
		comet_instances_put(all.vms[asker].instances, &record, all.now_us);
	comet_placement_item *item = all.submit(asker);
	comet_Datagram forged = {};
	forged.which_body = comet_Datagram_answer_tag;
	forged.body.answer = {keeper, 1, other->key, false, 0};
	comet_grants_receive(all.vms[asker].grants, &forged);
	all.deliver();
	ASSERT_EQ(all.vms[asker].sent.count(item), 1U);
	EXPECT_EQ(all.vms[asker].sent[item][0], 'i') << "one of its own service";
}

/* A keeper that has not heard of an endpoint's new start grants a slot of its earlier life, and is
 * told of slots of that life when it has: neither counts for the later one. */
TEST(Grants, AGrantOfAnEarlierLifeIsOfNoLaterOne)
{
	fleet all(5, 1);
	uint32_t keeper = all.keeper_of_all(1);
	uint32_t asker = keeper == 1 ? 2 : 1;
	comet_instance_record later = {"i0", "llm", "127.0.0.1:1", "z", slots, 0, false, 2000};
	comet_placement_item *before = all.submit(asker);
	all.deliver();
	ASSERT_EQ(all.vms[asker].sent.count(before), 1U);
	const comet_instance *known = comet_instances_find(all.vms[keeper].instances, "i0");
	EXPECT_EQ(known->others, 1U);
	uint32_t earlier = known->key;

	/* the asker has heard of the new start */
	const comet_instance *now =
		comet_instances_put(all.vms[asker].instances, &later, all.now_us);
	comet_placement_item *item = all.submit(asker);
	all.deliver();
	EXPECT_EQ(all.vms[asker].sent.count(item), 1U);
	EXPECT_EQ(item->keeper, 0U) << "the grant was given back";
	EXPECT_EQ(known->others, 1U);
	EXPECT_EQ(now->own, 1U);

	/* and now the keeper, which is then told that a slot of the earlier life is free */
	known = comet_instances_put(all.vms[keeper].instances, &later, all.now_us);
	EXPECT_EQ(comet_instance_owned_load(known, all.now_us), 0U);
	comet_gossip_slot_granted(all.vms[keeper].gossip, asker, known->key, 100, all.now_us);
	comet_grants_release(all.vms[asker].grants, keeper, earlier, nullptr);
	all.deliver();
	EXPECT_EQ(comet_instance_owned_load(known, all.now_us), 1U);
	comet_grants_release(all.vms[asker].grants, keeper, known->key, nullptr);
	all.deliver();
	EXPECT_EQ(comet_instance_owned_load(known, all.now_us), 0U);
}

TEST(Grants, LostWordsOfFreedSlotsAreMadeGoodByViews)
{
	fleet all(5, 1);
	uint32_t keeper = all.keeper_of_all(1);
	uint32_t asker = keeper == 1 ? 2 : 1;
	std::vector<comet_placement_item *> first;
	for (uint32_t i = 0; i < slots; i++)
		first.push_back(all.submit(asker));
	all.deliver();
	all.lost = [](const mail &) { return true; };
	for (auto *item : first)
		all.end(asker, item);
	all.deliver();
	all.lost = [](const mail &) { return false; };
	all.pass(500000);
	comet_placement_item *next = all.submit(asker);
	all.deliver();
	EXPECT_EQ(all.vms[asker].sent.count(next), 1U);
}

/* A quarter of the endpoints crashed, and the keeper, which had sent nothing there itself, went on
 * granting their slots, which looked free: each VM found out for itself, and requests that met four
 * of them were refused. */
TEST(Grants, AKeeperHearsOfCrashedEndpointsFromWhoeverWasSentThere)
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
				down ? COMET_DISPATCH_UNREACHED : COMET_DISPATCH_SERVED);
		}
		all.deliver();
		all.pass(100000);
	}
	/* one round, and a trial of each some times in three seconds */
	EXPECT_LE(unreached, 2 * slots + 2 * 3);
	/* they are up again: a trial shows it */
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

TEST(Grants, AKeeperLearnsSpeedsFromWhatOthersTell)
{
	fleet all(5, 2);
	uint32_t keeper = all.keeper_of_all(1);
	uint32_t asker = keeper == 1 ? 2 : 1;
	for (int round = 0; round < 40; round++)
	{
		for (int i = 0; i < 2; i++)
		{
			comet_placement_item *item = all.submit(asker);
			all.deliver();
			ASSERT_EQ(all.vms[asker].sent.count(item), 1U);
			/* i1 takes three times as long as i0 */
			bool slow = all.vms[asker].sent[item] == "i1";
			all.end(asker, item, 11, slow ? 300000 : 100000);
			all.deliver();
		}
		all.pass(50000);
	}
	const comet_instance *slow = comet_instances_find(all.vms[keeper].instances, "i1");
	const comet_instance *fast = comet_instances_find(all.vms[keeper].instances, "i0");
	EXPECT_GT(slow->pace, 1.5 * fast->pace);
	comet_placement_item *next = all.submit(asker);
	all.deliver();
	EXPECT_EQ(all.vms[asker].sent[next], "i0");
}

} // namespace
