/*
 * test_dequeue_rate.cc
 * the expected wait of a rank of which a VM queues few requests
 */
#include "grants_fleet.h"

#include <random>

extern "C"
{
#include <libcometspindle/gateway/placement/dequeue_rate.h>
}

namespace
{

using grants_fleet::fleet;

/* One request every 800 ms had to wait, for 10 ms. The time between their dispatches counted as the
 * wait, and a request that came while another one waited was refused. */
TEST(DequeueRate, TimeWithoutWaitersDoesNotCount)
{
	comet_dequeue_rate rate = {};
	uint64_t now_us = 1000000;

	for (int i = 0; i < 20; i++)
	{
		comet_dequeue_rate_enqueued(&rate, now_us);
		comet_dequeue_rate_dispatched(&rate, now_us + 10000);
		comet_dequeue_rate_removed(&rate);
		now_us += 800000;
	}
	comet_dequeue_rate_enqueued(&rate, now_us);
	EXPECT_LE(comet_dequeue_rate_expected_wait_us(&rate, 1, now_us), 2 * 10000.0);
	EXPECT_GE(comet_dequeue_rate_expected_wait_us(&rate, 1, now_us + 500000), 2 * 500000.0)
		<< "a waiting request shows a longer interval";
}

/* Guards against a refusal for the rate of an earlier shortage. */
TEST(DequeueRate, IsForgottenAfterAnIdleSecond)
{
	comet_dequeue_rate rate = {};

	comet_dequeue_rate_enqueued(&rate, 1000000);
	comet_dequeue_rate_dispatched(&rate, 1700000);
	comet_dequeue_rate_removed(&rate);
	comet_dequeue_rate_enqueued(&rate, 2500000);
	EXPECT_GE(comet_dequeue_rate_expected_wait_us(&rate, 1, 2500000), 2 * 700000.0);
	comet_dequeue_rate_removed(&rate);
	comet_dequeue_rate_enqueued(&rate, 3600000);
	EXPECT_EQ(comet_dequeue_rate_expected_wait_us(&rate, 1, 3600000), 0.0);
}

/* 24 VMs with 1.7 times as much demand as slots; the urgent rank needs two thirds of the slots.
 * Guards against urgent requests that are refused for their expected wait while less urgent ones
 * are served. */
TEST(DequeueRate, UrgentRequestsOfManyVmsAreNotRefused)
{
	constexpr uint32_t vms = 24;
	constexpr uint64_t slot_us = 400000;
	constexpr uint64_t step_us = 10000;
	fleet all(vms, 6);
	std::mt19937 draw{7};
	std::uniform_int_distribution<uint32_t> any_vm(1, vms);
	std::bernoulli_distribution urgent_arrives(40 * step_us / 1e6);
	std::bernoulli_distribution other_arrives(60 * step_us / 1e6);
	std::vector<std::pair<uint32_t, comet_placement_item *>> urgent;
	std::vector<std::pair<uint32_t, comet_placement_item *>> open;
	uint32_t others_served = 0;

	auto submit = [&](uint32_t rank)
	{
		uint32_t vm = any_vm(draw);
		auto item = std::make_unique<comet_placement_item>();
		item->service = "llm";
		item->size = {1000, 100, 100, true};
		item->route_rank = rank;
		item->dispatch_deadline_us = all.now_us + 3600000;
		item->early_refusal_us = all.now_us + 125000;
		item->soft_deadline_us = all.now_us + 1000000;
		comet_placement_submit(all.vms[vm].placement, item.get(), all.now_us);
		open.emplace_back(vm, item.get());
		if (rank == 0)
			urgent.emplace_back(vm, item.get());
		all.items.push_back(std::move(item));
	};
	while (all.now_us < 14000000)
	{
		if (urgent_arrives(draw))
			submit(0);
		if (other_arrives(draw))
			submit(2);
		all.pass(step_us);
		for (auto &one : open)
		{
			auto &vm = all.vms[one.first];
			if (vm.sent.count(one.second) == 0 ||
				all.now_us - all.sent_us[one.second] < slot_us)
				continue;
			others_served += one.second->route_rank == 2 ? 1 : 0;
			all.end(one.first, one.second, 0, 0, COMET_DISPATCH_SERVED);
		}
	}
	uint32_t refused = 0;
	for (auto &one : urgent)
		refused += all.vms[one.first].refused.count(one.second);
	EXPECT_GE(urgent.size(), 300U);
	EXPECT_EQ(refused, 0U);
	EXPECT_GE(others_served, 200U);
}

} // namespace
