/*
 * test_pending_rpcs.cc
 * tests of the timeouts of RPCs between VMs that are near and far
 */
#include <gtest/gtest.h>

extern "C"
{
#include <libcometspindle/gateway/messages/pending_rpcs.h>
}
#include <talloc.h>

namespace
{

constexpr uint64_t ms = 1000;
constexpr uint32_t near_vm = 1;
constexpr uint32_t far_vm = 2;
constexpr uint64_t near_round_trip_us = 2 * ms;
constexpr uint64_t far_round_trip_us = 42 * ms; /* longer than the timeout for near VMs */

struct PendingRpcs : ::testing::Test
{
	comet_pending_rpcs *rpcs = comet_pending_rpcs_create(nullptr, sizeof(comet_pending_rpc));
	uint64_t now_us = 1000 * ms;

	~PendingRpcs() override
	{
		talloc_free(rpcs);
	}

	/* Sends an RPC that is answered after some time. @return whether it expired before. */
	bool
	expires(uint32_t vm, uint64_t answered_after_us)
	{
		auto *rpc = static_cast<comet_pending_rpc *>(
			comet_pending_rpcs_add(rpcs, this, vm, now_us));
		uint64_t number = rpc->number;
		bool expired = false;

		for (uint64_t end_us = now_us + answered_after_us; now_us < end_us; now_us += ms)
		{
			auto *found = static_cast<comet_pending_rpc *>(
				comet_pending_rpcs_find_expired(rpcs, now_us));
			if (found == nullptr)
				continue;
			expired = true;
			comet_pending_rpcs_expired(rpcs, found, now_us);
			comet_pending_rpcs_remove(rpcs, found);
		}
		comet_pending_rpcs_answered(rpcs, number, vm, now_us);
		if (!expired)
			comet_pending_rpcs_remove(rpcs, comet_pending_rpcs_find(rpcs, number, vm));
		return expired;
	}
};

/* With regions 20 ms apart, every RPC to another region expired after 40 ms: four or five for each
 * request, whose endpoints were then selected by gossip. */
TEST_F(PendingRpcs, TheTimeoutIncludesTheRoundTrip)
{
	EXPECT_TRUE(expires(far_vm, far_round_trip_us)) << "the distance is not known yet";
	EXPECT_FALSE(comet_pending_rpcs_is_unresponsive(rpcs, far_vm, now_us))
		<< "its answer was late, but it has answered";
	for (int i = 0; i < 20; i++)
		EXPECT_FALSE(expires(far_vm, far_round_trip_us));
	EXPECT_EQ(comet_pending_rpcs_round_trip_us(rpcs, far_vm), far_round_trip_us);
	EXPECT_FALSE(expires(near_vm, near_round_trip_us));
	EXPECT_TRUE(expires(near_vm, far_round_trip_us + ms))
		<< "a near VM has the shorter timeout";
}

TEST_F(PendingRpcs, ABusyVmDoesNotExtendItsTimeout)
{
	EXPECT_FALSE(expires(near_vm, near_round_trip_us));
	for (int i = 0; i < 50; i++)
	{
		expires(near_vm, 60 * ms);
		expires(near_vm, near_round_trip_us);
	}
	EXPECT_EQ(comet_pending_rpcs_round_trip_us(rpcs, near_vm), near_round_trip_us);
	for (int i = 0; i < 100; i++)
		expires(far_vm, 5000 * ms);
	EXPECT_LE(comet_pending_rpcs_round_trip_us(rpcs, far_vm), 200 * ms);
}

/* The first answer to a slot request may say that it waits, and the final one follows. */
TEST_F(PendingRpcs, OnlyTheFirstAnswerShowsTheRoundTrip)
{
	auto *rpc = static_cast<comet_pending_rpc *>(
		comet_pending_rpcs_add(rpcs, this, near_vm, now_us));
	uint64_t number = rpc->number;

	comet_pending_rpcs_answered(rpcs, number, near_vm, now_us + near_round_trip_us);
	comet_pending_rpcs_answered(rpcs, number, near_vm, now_us + 300 * ms);
	EXPECT_EQ(comet_pending_rpcs_round_trip_us(rpcs, near_vm), near_round_trip_us);
	comet_pending_rpcs_answered(rpcs, number, far_vm, now_us + 300 * ms);
	comet_pending_rpcs_answered(rpcs, 0, far_vm, now_us + 300 * ms);
	EXPECT_EQ(comet_pending_rpcs_round_trip_us(rpcs, far_vm), 0U) << "it was not called";
}

} // namespace
