/*
 * test_link_share.cc
 * how many requests are read at once, so that a link is shared out
 */
#include <gtest/gtest.h>

extern "C"
{
#include <libcometspindle/gateway/admission/link_share.h>
}
#include <talloc.h>

namespace
{

const uint64_t RATE = 1250000; /* bytes/s: 10 Mbit/s */
const uint64_t MS = 1000;

class LinkShare : public testing::Test
{
      protected:
	LinkShare() : link(comet_link_share_create(nullptr, RATE))
	{
	}
	~LinkShare() override
	{
		talloc_free(link);
	}

	/* Returns how many bodies of this size are read at once. */
	uint64_t
	count_bodies(uint64_t bytes)
	{
		uint64_t counted = 0;
		uint64_t bodies = 0;

		for (; comet_link_share_may_read(link, counted) && bodies < 1000; bodies++)
			counted += comet_link_share_count(link, 0, bytes);
		return bodies;
	}

	struct comet_link_share *link;
};

TEST_F(LinkShare, AHundredBodiesAreNotReadAtOnce)
{
	EXPECT_LT(count_bodies(12000), 10U);
	EXPECT_GT(count_bodies(600), 100U);
}

TEST_F(LinkShare, ALongBodyLeavesRoomForOthers)
{
	EXPECT_GE(count_bodies(4000000), 4U);
	EXPECT_LT(comet_link_share_count(link, 100000, 4000000),
		comet_link_share_count(link, 0, 4000000));
}

TEST_F(LinkShare, OneBodyIsReadBesideControlData)
{
	comet_link_share_set_control(link, true);
	EXPECT_EQ(count_bodies(12000), 1U);
	comet_link_share_set_control(link, false);
	EXPECT_GT(count_bodies(12000), 1U);
}

TEST_F(LinkShare, ADocumentGetsMostOfTheLink)
{
	comet_link_share_set_control(link, true);
	comet_link_share_update(link, 0, 0, MS);
	comet_link_share_update(link, 0, 12000, 10 * MS);
	EXPECT_EQ(count_bodies(12000), 0U);
	comet_link_share_update(link, 0, 12000, 50 * MS);
	EXPECT_EQ(count_bodies(12000), 1U);
}

TEST_F(LinkShare, NothingIsReadWhileTheLinkHasToSendMore)
{
	comet_link_share_update(link, 0, 0, MS);
	comet_link_share_update(link, RATE / 10, 0, MS); /* the kernel has taken it at once */
	EXPECT_EQ(count_bodies(600), 0U);
	comet_link_share_update(link, RATE / 10, 0, 100 * MS);
	EXPECT_GT(count_bodies(600), 0U);
}

TEST_F(LinkShare, AReportAfterALongTimeIsNoOverload)
{
	comet_link_share_update(link, 0, 0, MS);
	comet_link_share_update(link, 5 * RATE, 0, 10000 * MS);
	EXPECT_GT(count_bodies(600), 0U);
}

TEST_F(LinkShare, ALongOverloadIsForgotten)
{
	comet_link_share_update(link, 0, 0, MS);
	comet_link_share_update(link, 100 * RATE, 0, MS);
	comet_link_share_update(link, 100 * RATE, 0, 300 * MS);
	EXPECT_GT(count_bodies(600), 0U);
}

TEST_F(LinkShare, NewConnectionsAreRefusedOnlyIfAnotherVmCanTakeThem)
{
	EXPECT_FALSE(comet_link_share_refuses(link, 100, 1000 * MS));
	comet_link_share_set_alternatives(link, true);
	EXPECT_TRUE(comet_link_share_refuses(link, 100, 1000 * MS));
	EXPECT_FALSE(comet_link_share_refuses(link, 100, 0));
	/* a few that wait for a document are read soon after it */
	EXPECT_FALSE(comet_link_share_refuses(link, 5, 1000 * MS));
}

TEST_F(LinkShare, AnUnknownLinkIsNotLimited)
{
	struct comet_link_share *unknown = comet_link_share_create(link, 0);

	comet_link_share_update(unknown, 0, 0, MS);
	comet_link_share_update(unknown, RATE, 0, 2 * MS);
	comet_link_share_set_control(unknown, true);
	EXPECT_TRUE(comet_link_share_may_read(unknown, RATE));
}

} // namespace
