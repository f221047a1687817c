#include "jd_test.hpp"

extern "C" {
#include "core/limiter.h"
}

static const uint64_t MS = NS_PER_MS;

/** Simulates answers while as many requests run as the limit allows. */
struct Simulation {
	struct limiter l;
	uint64_t now_ns = 1000 * MS;

	explicit Simulation(uint32_t slots)
	{
		limiter_init(&l);
		limiter_reset(&l, slots, now_ns);
	}

	void answers(int n, uint64_t latency_ns)
	{
		for (int i = 0; i < n; i++) {
			uint32_t limit = limiter_limit(&l, now_ns);

			limiter_on_start(&l, limit);
			now_ns += latency_ns / limit;
			limiter_on_end(&l, REQUEST_ANSWERED, latency_ns,
				       now_ns);
		}
	}

	uint32_t limit()
	{
		return limiter_limit(&l, now_ns);
	}
};

TEST(Limiter, StartsLowAndGrowsToTheSlotsByGoodAnswers)
{
	Simulation sim(20);

	EXPECT_EQ(sim.limit(), 2u);
	sim.answers(2000, 5 * MS);
	EXPECT_EQ(sim.limit(), 20u);
}

TEST(Limiter, DoesNotGrowWhileTheLimitIsNotReached)
{
	Simulation sim(20);

	for (int i = 0; i < 1000; i++) {
		limiter_on_start(&sim.l, 1);
		sim.now_ns += 5 * MS;
		limiter_on_end(&sim.l, REQUEST_ANSWERED, 5 * MS, sim.now_ns);
	}
	EXPECT_EQ(sim.limit(), 2u);
}

TEST(Limiter, ARefusalCutsTheLimitAndSetsACeiling)
{
	Simulation sim(20);

	sim.answers(2000, 5 * MS);
	limiter_on_end(&sim.l, REQUEST_SHED, 0, sim.now_ns);
	EXPECT_EQ(sim.limit(), 14u);
	sim.answers(1000, 5 * MS);
	EXPECT_EQ(sim.limit(), 19u);
}

TEST(Limiter, RefusalsAtTheSameTimeCutTheLimitOnce)
{
	Simulation sim(20);

	sim.answers(2000, 5 * MS);
	for (int i = 0; i < 20; i++)
		limiter_on_end(&sim.l, REQUEST_SHED, 0, sim.now_ns);
	EXPECT_EQ(sim.limit(), 14u);
}

TEST(Limiter, SeveralLostConnectionsCountAsAColdStart)
{
	Simulation sim(20);

	sim.answers(2000, 5 * MS);
	limiter_on_end(&sim.l, REQUEST_FAILED, 0, sim.now_ns);
	EXPECT_EQ(sim.limit(), 20u);
	limiter_on_end(&sim.l, REQUEST_FAILED, 0, sim.now_ns);
	EXPECT_EQ(sim.limit(), 2u);
}

TEST(Limiter, AfterACrashTheLimitStaysBelowTheOneThatCausedIt)
{
	Simulation sim(20);
	uint64_t crashed_ns;

	while (sim.limit() < 6)
		sim.answers(20, 5 * MS);
	crashed_ns = sim.now_ns;
	limiter_on_end(&sim.l, REQUEST_FAILED, 0, sim.now_ns);
	limiter_on_end(&sim.l, REQUEST_FAILED, 0, sim.now_ns);
	limiter_reset(&sim.l, 20, sim.now_ns);
	limiter_set_cold(&sim.l, false, sim.now_ns);
	while (sim.now_ns < crashed_ns + 9 * NS_PER_S) {
		sim.answers(1, 5 * MS);
		ASSERT_LT(sim.limit(), 6u);
	}
	sim.answers(4000, 5 * MS);
	EXPECT_EQ(sim.limit(), 20u);
}

TEST(Limiter, AfterACrashTheLimitGrowsOnlyAfterAnAnnouncement)
{
	Simulation sim(20);

	sim.answers(2000, 5 * MS);
	limiter_on_end(&sim.l, REQUEST_FAILED, 0, sim.now_ns);
	limiter_on_end(&sim.l, REQUEST_FAILED, 0, sim.now_ns);
	sim.answers(500, 5 * MS);
	EXPECT_EQ(sim.limit(), 2u);
	limiter_set_cold(&sim.l, false, sim.now_ns);
	sim.answers(500, 5 * MS);
	EXPECT_GT(sim.limit(), 2u);
}

TEST(Limiter, AnAnnouncedColdStartHoldsTheLimitDespiteGoodAnswers)
{
	Simulation sim(20);

	sim.answers(2000, 5 * MS);
	limiter_set_cold(&sim.l, true, sim.now_ns);
	sim.answers(500, 5 * MS);
	EXPECT_EQ(sim.limit(), 2u);
	limiter_set_cold(&sim.l, false, sim.now_ns);
	sim.answers(3000, 5 * MS);
	EXPECT_EQ(sim.limit(), 20u);
}

TEST(Limiter, AnAnnouncedColdStartExpires)
{
	Simulation sim(20);

	limiter_set_cold(&sim.l, true, sim.now_ns);
	sim.now_ns += 61 * NS_PER_S;
	limiter_set_cold(&sim.l, true, sim.now_ns);
	sim.answers(2000, 5 * MS);
	EXPECT_EQ(sim.limit(), 20u);
}

/* Latency is proportional to the requests at once when they exceed 4. */
TEST(Limiter, AnUnannouncedColdStartIsDetectedByLatency)
{
	Simulation sim(20);

	sim.answers(2000, 5 * MS);
	for (int i = 0; i < 3000; i++) {
		uint32_t n = sim.limit();

		sim.answers(1, n > 4 ? 5 * MS * n : 5 * MS);
	}
	EXPECT_LE(sim.limit(), 10u);
	EXPECT_GE(sim.limit(), 2u);
}

TEST(Limiter, ACutThatDoesNotLowerTheLatencyIsUndone)
{
	Simulation sim(20);

	sim.answers(2000, 5 * MS);
	sim.answers(200, 50 * MS);
	EXPECT_EQ(sim.limit(), 20u);
	sim.answers(2000, 5 * MS);
	EXPECT_EQ(sim.limit(), 20u);
}
