#include "jd_test.hpp"

extern "C" {
#include "core/load/throttle.h"
}

struct ThrottleTest : public ::testing::Test {
	struct throttle classes[THROTTLE_CLASSES] = {};
	struct rng rng;
	uint64_t now_ns = 100 * NS_PER_S;

	ThrottleTest()
	{
		rng_init(&rng, 1);
	}
	/* Sends @count requests 5 ms apart; returns how many were dropped. */
	uint32_t drops(uint32_t rank, bool call, bool taken, int count)
	{
		struct throttle *t = &classes[throttle_class(rank, call)];
		uint32_t dropped = 0;

		for (int i = 0; i < count; i++) {
			now_ns += 5 * NS_PER_MS;
			bool drops = throttle_drops(t, &rng, now_ns);

			dropped += drops;
			throttle_note_asked(t);
			if (taken && !drops)
				throttle_note_taken(t);
		}
		return dropped;
	}
};

/*
 * The load: a burst of rank 2 for one owner of keys, which refuses most of it,
 * while the calls of rank 0 runs go there too.
 */
TEST_F(ThrottleTest, AFullQueueForALesserRankDropsNoUrgentCall)
{
	EXPECT_GT(drops(2, false, false, 400), 200u);
	EXPECT_EQ(drops(0, true, true, 400), 0u);
	EXPECT_EQ(drops(0, false, true, 400), 0u);
}

TEST_F(ThrottleTest, WhatAGateRefusedSecondsAgoIsForgotten)
{
	drops(2, false, false, 400);
	now_ns += 30 * NS_PER_S;
	EXPECT_FALSE(throttle_drops(&classes[throttle_class(2, false)], &rng,
				    now_ns));
}

TEST_F(ThrottleTest, RanksBeyondTheLastShareAClass)
{
	EXPECT_EQ(throttle_class(3, false), throttle_class(9, false));
	EXPECT_LT(throttle_class(UINT32_MAX, true), (uint32_t)THROTTLE_CLASSES);
	EXPECT_NE(throttle_class(0, true), throttle_class(0, false));
}
