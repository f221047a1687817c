#include "jd_test.hpp"

extern "C" {
#include "core/load/rank_demand.h"
}

static const uint64_t START_NS = 100 * NS_PER_S;

/*
 * The load: a wave of rank 0 takes seven slots in ten. What rank 1 finds in the
 * queue is then worked off at three tenths of the pace.
 */
TEST(RankDemand, AWaveOfUrgentWorkSlowsDownWhatIsLessUrgent)
{
	struct rank_demand d = {};
	uint64_t now_ns = START_NS;

	for (int i = 0; i < 350; i++) {
		now_ns += 1000 * NS_PER_MS / 35;
		rank_demand_note(&d, 0, 200.0 * NS_PER_MS, now_ns);
	}
	EXPECT_NEAR(rank_demand_share_left(&d, 1, 10, now_ns), 0.3, 0.03);
	EXPECT_EQ(rank_demand_share_left(&d, 0, 10, now_ns), 1);
	EXPECT_NEAR(rank_demand_share_left(&d, 1, 10, now_ns + 3 * NS_PER_S), 1,
		    0.05);
}

TEST(RankDemand, AGateThatHasJustStartedAssumesNone)
{
	struct rank_demand d = {};

	EXPECT_EQ(rank_demand_share_left(&d, 2, 10, START_NS), 1);
	EXPECT_EQ(rank_demand_share_left(&d, 2, 0, START_NS), 1);
}

TEST(RankDemand, AnOverloadOfUrgentWorkLeavesATenth)
{
	struct rank_demand d = {};

	for (int i = 0; i < 1000; i++)
		rank_demand_note(&d, 9, 200.0 * NS_PER_MS, START_NS);
	EXPECT_EQ(rank_demand_share_left(&d, 8, 10, START_NS), 1)
		<< "the last classes count as one";
	for (int i = 0; i < 1000; i++)
		rank_demand_note(&d, 2, 200.0 * NS_PER_MS, START_NS);
	EXPECT_EQ(rank_demand_share_left(&d, 8, 10, START_NS), 0.1);
}
