/*
 * test_replacement.cc
 * tests of the replacement of attempts at silent endpoints, and of the wait of started responses
 */
#include "grants_fleet.h"
#include "placement_fixture.h"

extern "C"
{
#include <libcometspindle/gateway/replacement.h>
}

namespace
{

using grants_fleet::fleet;
using grants_fleet::slots;

/* A started stream with one attempt of two, for which another endpoint has room. */
const comet_replacement_input silent_stream = {
	true, true, true, true, false, true, 1, 2, 1000, 2000};

comet_replacement
decide(const std::function<void(comet_replacement_input &)> &change)
{
	comet_replacement_input input = silent_stream;
	change(input);
	return comet_replacement_decide(&input);
}

TEST(Replacement, AStartedResponseKeepsItsAttemptWhileASlotIsRequested)
{
	using input = comet_replacement_input;

	EXPECT_EQ(decide([](input &) {}), COMET_REPLACEMENT_REQUEST_SLOT);
	EXPECT_EQ(decide([](input &in) { in.has_room = false; }), COMET_REPLACEMENT_RECHECK);
	EXPECT_EQ(decide([](input &in) { in.suspect = true; }), COMET_REPLACEMENT_RECHECK);
	EXPECT_EQ(decide([](input &in) { in.version_known = false; }), COMET_REPLACEMENT_KEEP);
	/* the caller has received nothing: no response can be cut off */
	EXPECT_EQ(decide([](input &in) { in.started = in.has_room = false; }),
		COMET_REPLACEMENT_GIVE_UP);
	EXPECT_EQ(decide([](input &in) { in.started = false, in.suspect = true; }),
		COMET_REPLACEMENT_KEEP);
}

/* Guards against more endpoints than the route allows, and against two runs of a request that must
 * run once. */
TEST(Replacement, NoAttemptFollowsTheLastOne)
{
	using input = comet_replacement_input;

	for (bool started : {false, true})
	{
		EXPECT_EQ(decide([=](input &in) { in.started = started, in.attempts = 2; }),
			COMET_REPLACEMENT_KEEP);
		EXPECT_EQ(decide([=](input &in) { in.started = started, in.max_attempts = 0; }),
			COMET_REPLACEMENT_KEEP);
		EXPECT_EQ(decide([=](input &in) { in.started = started, in.now_us = 2000; }),
			COMET_REPLACEMENT_KEEP);
		EXPECT_EQ(decide([=](input &in) { in.started = started, in.retryable = false; }),
			COMET_REPLACEMENT_KEEP);
		EXPECT_EQ(decide([=](input &in)
				  { in.started = started, in.can_be_continued = false; }),
			COMET_REPLACEMENT_KEEP);
	}
}

/* Submits an item that replaces an open attempt of the request. */
comet_placement_item *
submit_replacement(fleet &all, uint32_t address)
{
	comet_placement_item model = {};
	model.service = "llm";
	model.size = {1000, 100, 100, true};
	model.route_rank = 2;
	model.dispatch_deadline_us = all.now_us + 30000000;
	model.early_refusal_us = all.now_us + 100000;
	model.response_started = true;
	model.replaces_attempt = true;
	all.items.push_back(std::make_unique<comet_placement_item>(model));
	comet_placement_submit(all.vms[address].placement, all.items.back().get(), all.now_us);
	return all.items.back().get();
}

/* The current attempt goes on, so that the next one must not wait in a queue, nor get a slot when
 * it is no longer wanted. */
TEST(Replacement, IsRefusedInsteadOfQueuedIfItsSlotIsDenied)
{
	fleet all(4, 2);
	for (uint32_t i = 0; i < 2 * slots; i++)
		all.submit(1);
	all.deliver();
	uint32_t asker = all.owner_of(1) == 2 ? 3 : 2;
	comet_placement_item *item = submit_replacement(all, asker);
	ASSERT_TRUE(comet_placement_is_pending(item)); /* it has requested a slot */
	all.pass(300000);
	EXPECT_EQ(all.vms[asker].refused.count(item), 1U);
	EXPECT_FALSE(comet_placement_is_pending(item));
	EXPECT_EQ(all.vms[asker].dispatches[item], 0);
	EXPECT_EQ(all.most_at_one(), slots);
}

/* The attempt that it replaces ended by itself while the slot was requested: the request then waits
 * like one whose endpoint broke off, with the same slot request. */
TEST(Replacement, WaitsIfItsAttemptEndedWhileTheSlotWasRequested)
{
	fleet all(4, 2);
	std::vector<comet_placement_item *> running;
	for (uint32_t i = 0; i < 2 * slots; i++)
		running.push_back(all.submit(1));
	all.deliver();
	uint32_t asker = all.owner_of(1) == 2 ? 3 : 2;
	comet_placement_item *item = submit_replacement(all, asker);
	ASSERT_TRUE(comet_placement_is_pending(item));
	item->replaces_attempt = false;
	all.pass(300000);
	EXPECT_EQ(all.vms[asker].refused.count(item), 0U);
	EXPECT_EQ(all.vms[asker].dispatches[item], 0);
	all.end(1, running[0]);
	all.pass(300000);
	EXPECT_EQ(all.vms[asker].dispatches[item], 1);
}

TEST(Replacement, IsPlacedByGossipIfTheOwnerDoesNotAnswer)
{
	fleet all(4, 2);
	uint32_t owner = all.owner_of(1);
	uint32_t asker = owner == 2 ? 3 : 2;
	all.lost = [owner](const grants_fleet::mail &mail) { return mail.to == owner; };
	comet_placement_item *item = submit_replacement(all, asker);
	all.pass(300000);
	EXPECT_EQ(all.vms[asker].dispatches[item], 1);
	EXPECT_EQ(all.vms[asker].refused.count(item), 0U);
}

/* A refusal cuts off a response that has started. Guards against refusals of such a request because
 * others of its rank have waited long. */
TEST_F(PlacementTest, AStartedResponseIsNotRefusedForItsExpectedWait)
{
	add("i1");
	std::vector<comet_placement_item> running(2, item(0));
	for (auto &one : running)
		comet_placement_submit(placement, &one, now_us);
	comet_placement_item first = item(2);
	first.dispatch_deadline_us = now_us + 1800000;
	comet_placement_submit(placement, &first, now_us);
	now_us += 1000000; /* no request of this rank got a slot in this time */
	comet_placement_item started = item(2);
	started.dispatch_deadline_us = now_us + 1800000;
	started.soft_deadline_us = now_us + 400000;
	started.response_started = true;
	comet_placement_item fresh = started;
	fresh.response_started = false;
	comet_placement_submit(placement, &fresh, now_us);
	ASSERT_EQ(refused.size(), 1U);
	EXPECT_EQ(refused[0].first, &fresh);
	comet_placement_submit(placement, &started, now_us);
	now_us += 1799999; /* late meanwhile */
	comet_placement_run(placement, now_us);
	EXPECT_TRUE(comet_placement_is_pending(&started));
	now_us += 20000;
	comet_placement_run(placement, now_us);
	EXPECT_EQ(refused.back().first, &started);
	EXPECT_EQ(waiting("llm"), 0U);
}

} // namespace
