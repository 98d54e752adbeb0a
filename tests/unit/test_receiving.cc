/*
 * test_receiving.cc
 * which requests that are being read count on the link
 */
#include <gtest/gtest.h>

extern "C"
{
#include <libcometspindle/gateway/admission/receiving.h>
}
#include <talloc.h>
#include <vector>

namespace
{

const uint64_t LINK_BYTES_PER_S = 1250000;
const uint64_t STEP_BYTES = 12500; /* in 10 ms at the rate of the link */
const uint64_t BODY_BYTES = 4000000;
const uint64_t START_US = 50000000;

/* Callers whose bodies are read over a link of this rate. */
class Receiving : public ::testing::Test
{
      protected:
	void
	start(uint64_t bytes_per_s, size_t callers)
	{
		talloc_free(context);
		context = talloc_new(nullptr);
		link = comet_link_share_create(context, bytes_per_s);
		receiving = comet_receiving_create(context, link);
		requests.assign(callers, comet_receiving_request{});
		received.assign(callers, 0);
	}

	void
	TearDown() override
	{
		talloc_free(context);
	}

	void
	progress(size_t caller, uint64_t bytes, uint64_t now_us)
	{
		received[caller] += bytes;
		comet_receiving_progress(receiving, &requests[caller], received[caller],
			BODY_BYTES - received[caller], now_us);
	}

	void *context = nullptr;
	comet_link_share *link = nullptr;
	comet_receiving *receiving = nullptr;
	std::vector<comet_receiving_request> requests;
	std::vector<uint64_t> received;
};

/* Guards against an endless loop: without a known rate no caller is slow, and the check took each
 * of them again and again. */
TEST_F(Receiving, PausedCallersAreCheckedOnce)
{
	for (uint64_t rate : {uint64_t{0}, LINK_BYTES_PER_S})
	{
		start(rate, 8);
		for (size_t caller = 0; caller < requests.size(); caller++)
			progress(caller, 0, START_US + caller);
		for (uint64_t now_us = START_US; now_us < START_US + 2000000; now_us += 50000)
			comet_receiving_check(receiving, now_us);
		EXPECT_EQ(comet_receiving_length(receiving), rate == 0 ? 8U : 0U);
	}
}

/* Guards against an underflow: a caller that had just been checked counted as slow, so that more
 * was read at once than the link carries. */
TEST_F(Receiving, SteadyCallersStayCounted)
{
	const std::vector<std::vector<uint64_t>> clocks = {
		{10000},                         /* even */
		{0, 0, 0, 250000},               /* stands still between jumps */
		{10000, 10000, 10000, 90000000}, /* suspended for 90 s */
		{1, 99999, 100000, 100001},
	};
	for (const std::vector<uint64_t> &clock : clocks)
	{
		for (size_t first = 0; first < 5; first++)
		{
			start(LINK_BYTES_PER_S, 5);
			uint64_t now_us = START_US;
			for (size_t step = 0; step < 200; step++)
			{
				now_us += clock[step % clock.size()];
				for (size_t i = 0; i < requests.size(); i++)
					progress((first + i * 2) % requests.size(),
						STEP_BYTES / requests.size(), now_us + i);
				/* a time that was taken before the last progress */
				comet_receiving_check(receiving, now_us);
				ASSERT_EQ(comet_receiving_length(receiving), requests.size())
					<< "step " << step << " first " << first;
				ASSERT_GT(comet_receiving_counted_bytes(receiving), 0U);
			}
		}
	}
}

TEST_F(Receiving, SlowCallersAreCountedAgainOnceTheyGoOn)
{
	start(LINK_BYTES_PER_S, 2);
	progress(0, 100, START_US);
	progress(1, 100, START_US);
	progress(1, STEP_BYTES, START_US + 50000);
	comet_receiving_check(receiving, START_US + 150000);
	EXPECT_EQ(comet_receiving_length(receiving), 1U);
	progress(0, 100, START_US + 160000);
	EXPECT_EQ(comet_receiving_length(receiving), 1U);
	progress(0, STEP_BYTES, START_US + 170000);
	EXPECT_EQ(comet_receiving_length(receiving), 2U);
	comet_receiving_remove(receiving, &requests[0]);
	comet_receiving_remove(receiving, &requests[1]);
	EXPECT_EQ(comet_receiving_counted_bytes(receiving), 0U);
	EXPECT_EQ(comet_receiving_length(receiving), 0U);
}

} // namespace
