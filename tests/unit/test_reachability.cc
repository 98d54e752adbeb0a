/*
 * test_reachability.cc
 * whether a VM can reach any endpoint
 */
#include <gtest/gtest.h>

extern "C"
{
#include <libcometspindle/gateway/endpoints/reachability.h>
}

namespace
{

constexpr uint64_t ms = 1000;

/* Runs a check in which all probes have this result. */
comet_reachability_change
check(comet_reachability *state, bool connected, uint64_t now_us)
{
	comet_reachability_change change = COMET_REACHABILITY_UNCHANGED;

	EXPECT_TRUE(comet_reachability_needs_check(state, now_us));
	comet_reachability_begin_check(state, COMET_REACHABILITY_PROBES, now_us);
	for (int i = 0; i < COMET_REACHABILITY_PROBES; i++)
	{
		comet_reachability_change one = comet_reachability_probed(state, connected, now_us);
		change = one != COMET_REACHABILITY_UNCHANGED ? one : change;
	}
	return change;
}

TEST(Reachability, LinksAreLostIfNoProbeConnects)
{
	comet_reachability state = {};

	EXPECT_FALSE(comet_reachability_needs_check(&state, 1000 * ms));
	comet_reachability_suspect(&state);
	EXPECT_TRUE(comet_reachability_is_in_doubt(&state));
	EXPECT_EQ(check(&state, false, 1000 * ms), COMET_REACHABILITY_LOST);
	EXPECT_TRUE(state.lost);
	EXPECT_FALSE(comet_reachability_needs_check(&state, 1200 * ms));
	EXPECT_EQ(check(&state, false, 1300 * ms), COMET_REACHABILITY_UNCHANGED);
	EXPECT_EQ(check(&state, true, 1600 * ms), COMET_REACHABILITY_RESTORED);
	EXPECT_FALSE(comet_reachability_is_in_doubt(&state));
	EXPECT_FALSE(comet_reachability_needs_check(&state, 9000 * ms));
}

TEST(Reachability, OneConnectionShowsThatTheLinksAreSound)
{
	comet_reachability state = {};

	comet_reachability_suspect(&state);
	comet_reachability_begin_check(&state, COMET_REACHABILITY_PROBES, 1000 * ms);
	EXPECT_EQ(
		comet_reachability_probed(&state, false, 1001 * ms), COMET_REACHABILITY_UNCHANGED);
	EXPECT_EQ(comet_reachability_probed(&state, true, 1002 * ms), COMET_REACHABILITY_UNCHANGED);
	EXPECT_FALSE(comet_reachability_is_in_doubt(&state));
	EXPECT_EQ(comet_reachability_probed(&state, false, 1300 * ms), COMET_REACHABILITY_UNCHANGED)
		<< "a late result changes nothing";
	EXPECT_FALSE(state.lost);
}

TEST(Reachability, AFailureDuringTheIntervalIsCheckedAfterIt)
{
	comet_reachability state = {};

	comet_reachability_suspect(&state);
	check(&state, true, 1000 * ms);
	comet_reachability_suspect(&state);
	EXPECT_FALSE(comet_reachability_needs_check(&state, 1100 * ms));
	EXPECT_TRUE(comet_reachability_needs_check(&state, 1500 * ms));
	comet_reachability_begin_check(&state, 0, 1500 * ms);
	EXPECT_FALSE(comet_reachability_is_in_doubt(&state)) << "there is no endpoint";
}

TEST(Reachability, ARequestThatWaitsShortensTheInterval)
{
	comet_reachability state = {};

	comet_reachability_suspect(&state);
	check(&state, true, 1000 * ms);
	comet_reachability_suspect(&state);
	comet_reachability_hurry(&state);
	EXPECT_FALSE(comet_reachability_needs_check(&state, 1040 * ms));
	EXPECT_TRUE(comet_reachability_needs_check(&state, 1050 * ms));
	EXPECT_EQ(check(&state, false, 1050 * ms), COMET_REACHABILITY_LOST);
	EXPECT_FALSE(comet_reachability_needs_check(&state, 1200 * ms)) << "nothing waits now";
}

} // namespace
