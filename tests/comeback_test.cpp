#include "jd_test.hpp"

#include <set>

extern "C" {
#include "core/load/comeback.h"
}

/* Callers of one route start with 2.55 s to 3 s. */
struct ComebackTest : public ::testing::Test {
	struct comebacks cb;
	struct rng rng;

	ComebackTest()
	{
		comebacks_init(&cb);
		rng_init(&rng, 1);
	}
	~ComebackTest() override
	{
		comebacks_done(&cb);
	}
	uint64_t start_ns()
	{
		return (2550 + rng_below(&rng, 451)) * NS_PER_MS;
	}
	uint64_t waited(uint64_t left_ns)
	{
		return comeback_waited_ns(&cb, "r", left_ns);
	}
};

TEST_F(ComebackTest, AFirstAttemptHasNotWaited)
{
	uint32_t wrong = 0;

	for (int i = 0; i < 1000; i++)
		wrong += waited(start_ns()) != 0;
	EXPECT_LT(wrong, 20u);
}

/* The load: half of the callers were refused 0.9 s ago and come back. */
TEST_F(ComebackTest, ThoseThatComeBackInABurstAreRecognised)
{
	uint32_t recognised = 0;
	uint32_t wrong = 0;

	for (int i = 0; i < 1000; i++) {
		wrong += waited(start_ns()) != 0;
		uint64_t ns = waited(start_ns() - 900 * NS_PER_MS);

		recognised += ns > 300 * NS_PER_MS && ns < 1500 * NS_PER_MS;
	}
	EXPECT_GT(recognised, 600u);
	EXPECT_LT(wrong, 20u);
}

/* The operators give callers a third of the time from now on. */
TEST_F(ComebackTest, NewStartTimesAreLearned)
{
	uint32_t wrong = 0;

	for (int i = 0; i < 1000; i++)
		waited(start_ns());
	for (int i = 0; i < 1000; i++)
		wrong += waited(start_ns() / 3) != 0 && i > 500;
	EXPECT_LT(wrong, 20u);
}

TEST_F(ComebackTest, AnEntryThatHasJustStartedKnowsNothing)
{
	waited(start_ns());
	EXPECT_EQ(waited(100 * NS_PER_MS), 0u);
}

TEST_F(ComebackTest, CallersOfManyDeadlinesAreNotTakenForThoseThatComeBack)
{
	uint32_t wrong = 0;

	for (int i = 0; i < 1000; i++)
		wrong += waited((200 + rng_below(&rng, 4000)) * NS_PER_MS) != 0;
	EXPECT_LT(wrong, 60u);
}

/* The load: 200 callers refused in one instant. */
TEST_F(ComebackTest, ThoseRefusedTogetherComeBackApart)
{
	struct retry_after_opts o = {};
	std::set<uint64_t> tenths;

	o.room_ns = 400 * NS_PER_MS;
	o.left_ns = 3 * NS_PER_S;
	o.min_ns = 100 * NS_PER_MS;
	o.rng = &rng;
	for (int i = 0; i < 200; i++) {
		uint64_t ns = comeback_retry_after_ns(&o);

		EXPECT_GE(ns, 200 * NS_PER_MS);
		EXPECT_LE(ns, 601 * NS_PER_MS);
		tenths.insert(ns / (40 * NS_PER_MS));
	}
	EXPECT_GE(tenths.size(), 9u);
}

TEST_F(ComebackTest, NoOneIsToldToWaitLongerThanCallersDo)
{
	struct retry_after_opts o = {};

	o.room_ns = 5 * NS_PER_S;
	o.left_ns = 900 * NS_PER_MS;
	o.min_ns = 100 * NS_PER_MS;
	o.rng = &rng;
	for (int i = 0; i < 200; i++)
		EXPECT_LE(comeback_retry_after_ns(&o), 300 * NS_PER_MS);
	o.left_ns = 0;
	EXPECT_EQ(comeback_retry_after_ns(&o), 0u);
}
