/*
 * test_returns_in_overload.cc
 * tests that returned callers do not cost others their target in a sustained overload
 */
#include "returning_callers_sim.h"

namespace
{

using returning_callers::peak_simulation;

/* Sums over three seeds of a sustained overload: 1.35 times the capacity for 9 s, three ranks. */
struct sustained_overload
{
	uint32_t in_time = 0;
	uint32_t refused_again = 0;

	explicit sustained_overload(bool returning_callers)
	{
		for (uint32_t seed : {5, 6, 7})
		{
			peak_simulation sim(3, seed, returning_callers);
			sim.pass(3000000, 0.6);
			sim.pass(9000000, 1.35);
			sim.pass(4000000, 0.6);
			sim.pass(12000000, 0);
			printf("%s: %u submitted, %u in time, %u served, %u returned, "
			       "%u refused again\n",
				returning_callers ? "on" : "off", sim.submitted, sim.in_time,
				sim.served, sim.returned, sim.refused_again);
			in_time += sim.in_time;
			refused_again += sim.refused_again;
		}
	}
};

/* Returned callers, which are late already, must not take the slots of newcomers that can still be
 * in time: fewer requests would be served in time than without the setting. */
TEST(ReturningCallers, LeaveOthersTheirTargetInASustainedOverload)
{
	EXPECT_GE(sustained_overload(true).in_time, sustained_overload(false).in_time);
}

/* Guards against a setting that refuses more callers a second time in a sustained overload. */
TEST(ReturningCallers, AreRefusedTwiceLessOftenInASustainedOverload)
{
	EXPECT_LT(sustained_overload(true).refused_again, sustained_overload(false).refused_again);
}

} // namespace
