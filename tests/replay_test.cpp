#include "jd_test.hpp"

#include <rapidcheck/gtest.h>

#include <set>

extern "C" {
#include "core/replay.h"
}

class Replay : public ::testing::Test
{
protected:
	void SetUp() override
	{
		replay_init(&r);
	}
	void TearDown() override
	{
		replay_done(&r);
	}

	struct replay r;
};

TEST_F(Replay, AcceptsEachNumberOnce)
{
	EXPECT_TRUE(replay_accept(&r, 7, 1, 0));
	EXPECT_FALSE(replay_accept(&r, 7, 1, 0));
	EXPECT_TRUE(replay_accept(&r, 7, 3, 0));
	EXPECT_TRUE(replay_accept(&r, 7, 2, 0));
	EXPECT_FALSE(replay_accept(&r, 7, 2, 0));
}

TEST_F(Replay, SendersDoNotShareNumbers)
{
	EXPECT_TRUE(replay_accept(&r, 7, 1, 0));
	EXPECT_TRUE(replay_accept(&r, 7 + REPLAY_BUCKETS, 1, 0));
}

TEST_F(Replay, RejectsNumbersOlderThanTheWindow)
{
	EXPECT_TRUE(replay_accept(&r, 7, 1 + REPLAY_WINDOW, 0));
	EXPECT_FALSE(replay_accept(&r, 7, 1, 0));
	EXPECT_TRUE(replay_accept(&r, 7, 2, 0));
}

TEST_F(Replay, ForgetsOnlySilentSenders)
{
	replay_accept(&r, 7, 5, 0);
	replay_accept(&r, 8, 5, 0);
	replay_accept(&r, 8, 6, REPLAY_FORGET_NS / 2);
	replay_accept(&r, 9, 1, REPLAY_FORGET_NS + 1);
	EXPECT_EQ(r.senders, 2u);
	EXPECT_FALSE(replay_accept(&r, 8, 5, REPLAY_FORGET_NS + 2));
}

RC_GTEST_PROP(ReplayProperty, AcceptsEachNumberInsideTheWindowExactlyOnce,
	      (std::vector<uint16_t> steps))
{
	struct replay r;
	std::set<uint64_t> seen;
	uint64_t highest = 0;

	replay_init(&r);
	for (uint16_t s : steps) {
		uint64_t q = 1 + s % (3 * REPLAY_WINDOW);
		bool expected = !seen.count(q) && (q + REPLAY_WINDOW > highest);

		RC_ASSERT(replay_accept(&r, 1, q, 0) == expected);
		seen.insert(q);
		highest = q > highest ? q : highest;
	}
	replay_done(&r);
}
