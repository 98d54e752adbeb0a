/*
 * test_claims.cc
 * Tests that each key runs at most once, and that claims fail closed without knowledge of the key.
 */
#include <gtest/gtest.h>
#include <set>
#include <talloc.h>
#include <vector>

extern "C"
{
#include <libcometspindle/claims.h>
}

struct Claims : public ::testing::Test
{
	static constexpr uint64_t start = 1000000;
	std::vector<uint64_t> list{1, 2, 3, 4, 5};
	void *root = talloc_new(nullptr);

	~Claims() override
	{
		talloc_free(root);
	}

	struct comet_claims *
	vm(uint64_t id, uint64_t started = start)
	{
		struct comet_claims *claims = comet_claims_create(root, id, started);
		comet_claims_set_limits(claims, 600, 1000);
		comet_claims_set_list(claims, list.data(), list.size(), started);
		return claims;
	}
};

TEST_F(Claims, OneRequestPerKey)
{
	struct comet_claims *claims = vm(1);
	uint64_t sent = start + 5000;

	EXPECT_EQ(comet_claims_record(claims, 7, sent, 9, 1, sent), COMET_CLAIM_GRANTED);
	EXPECT_EQ(comet_claims_record(claims, 7, sent, 9, 1, sent), COMET_CLAIM_GRANTED);
	EXPECT_EQ(comet_claims_record(claims, 7, sent, 9, 2, sent), COMET_CLAIM_SEEN);
	EXPECT_EQ(comet_claims_record(claims, 7, sent, 8, 1, sent), COMET_CLAIM_SEEN);
	comet_claims_release(claims, 7, 8, 1);
	EXPECT_EQ(comet_claims_record(claims, 7, sent, 8, 1, sent), COMET_CLAIM_SEEN);
	comet_claims_release(claims, 7, 9, 1);
	EXPECT_EQ(comet_claims_record(claims, 7, sent, 8, 1, sent), COMET_CLAIM_GRANTED);
}

TEST_F(Claims, AVmYoungerThanTheKeyIsUnsure)
{
	struct comet_claims *claims = vm(1);

	EXPECT_EQ(comet_claims_record(claims, 7, start - 1, 9, 1, start + 10), COMET_CLAIM_UNSURE);
	EXPECT_EQ(comet_claims_record(claims, 7, start + 999, 9, 1, start + 1000),
		COMET_CLAIM_UNSURE);
	EXPECT_EQ(comet_claims_record(claims, 7, start + 1000, 9, 1, start + 1000),
		COMET_CLAIM_GRANTED);
}

TEST_F(Claims, KeysOlderThanAPauseAreUnsure)
{
	struct comet_claims *claims = vm(1);

	comet_claims_paused(claims, start + 60000);
	EXPECT_EQ(comet_claims_record(claims, 7, start + 50000, 9, 1, start + 60000),
		COMET_CLAIM_UNSURE);
}

TEST_F(Claims, ANewGroupMemberIsUnsureOfOlderKeys)
{
	list = {1, 2, 3, 4, 5, 6};
	struct comet_claims *claims = vm(6);
	uint64_t key = 0;
	uint64_t group[COMET_CLAIM_GROUP_MAX];

	/* finds a key whose claim group contains VM 6 only after VM 1 leaves */
	for (bool in = true; in;)
	{
		in = false;
		size_t size = comet_claims_group(list.data(), list.size(), ++key, group);
		for (size_t i = 0; i < size; i++)
			in = in || group[i] == 6;
	}
	std::vector<uint64_t> shorter{2, 3, 4, 5, 6};
	comet_claims_set_list(claims, shorter.data(), shorter.size(), start + 20000);
	EXPECT_EQ(comet_claims_record(claims, key, start + 10000, 9, 1, start + 22000),
		COMET_CLAIM_UNSURE);
	EXPECT_EQ(comet_claims_record(claims, key, start + 21000, 9, 1, start + 22000),
		COMET_CLAIM_GRANTED);
}

TEST_F(Claims, OldAndFutureKeysAreUnsure)
{
	struct comet_claims *claims = vm(1);
	uint64_t now = start + 700000;

	EXPECT_EQ(comet_claims_record(claims, 7, now - 600001, 9, 1, now), COMET_CLAIM_UNSURE);
	EXPECT_EQ(comet_claims_record(claims, 7, now + 1001, 9, 1, now), COMET_CLAIM_UNSURE);
}

TEST(ClaimQuorum, QuorumsOverlapAlthoughListsDiffer)
{
	/* two lists of n VMs that differ in up to two entries, as an outdated list may */
	for (size_t n = 1; n <= 9; n++)
	{
		size_t group = n < COMET_CLAIM_GROUP_MAX ? n : COMET_CLAIM_GROUP_MAX;
		size_t differ = group <= 2 ? group - 1 : 2;
		size_t together = group + differ;
		EXPECT_GT(2 * comet_claims_quorum(group), together) << n;
	}
}
