#include "jd_test.hpp"

extern "C" {
#include "core/load/run_rank.h"
#include "core/mem.h"
}

struct RunRankTest : public ::testing::Test {
	struct gatekeeper g;
	uint64_t now_ns = 100 * NS_PER_S;

	RunRankTest()
	{
		gatekeeper_init(&g);
	}
	~RunRankTest() override
	{
		gatekeeper_done(&g);
	}
	void run(uint32_t rank, uint64_t left_ms)
	{
		struct gate_attempt *a = mem_new(struct gate_attempt);

		a->priority = rank;
		a->upstream_deadline_ns = now_ns + left_ms * NS_PER_MS;
		list_push_back(&g.running, &a->link);
	}
	/* -1: of no run */
	int rank_of_call(uint64_t left_ms)
	{
		const struct gate_attempt *a =
			run_rank_find(&g, now_ns + left_ms * NS_PER_MS);

		return a ? (int)a->priority : -1;
	}
};

TEST_F(RunRankTest, ACallThatExpiresWithARunIsThatRuns)
{
	run(0, 1400);
	run(2, 700);
	run(1, 500);
	EXPECT_EQ(rank_of_call(698), 2);
	EXPECT_EQ(rank_of_call(502), 1);
}

/* In a chain, the run is itself a call and has its run's rank. */
TEST_F(RunRankTest, ACallWithAShorterDeadlineIsOfTheMostUrgentThatMayMakeIt)
{
	run(1, 1400);
	run(0, 300);
	EXPECT_EQ(rank_of_call(450), 1) << "the other one ends before it";
	run(0, 900);
	EXPECT_EQ(rank_of_call(450), 0);
}

/* After a restart of the gate's process its upstream's runs are unknown. */
TEST_F(RunRankTest, WithoutARunThereIsNoRank)
{
	EXPECT_EQ(rank_of_call(450), -1);
	run(0, 100);
	EXPECT_EQ(rank_of_call(450), -1);
}
