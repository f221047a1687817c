// Load answered: many entries that ask one keeper for more than there is.
#include "jd_test.hpp"

extern "C" {
#include "core/organisations/quota_bank.h"
}

struct QuotaBankTest : public ::testing::Test {
	struct quota_bank b;
	struct quota_rule rule;
	struct rng rng;
	uint64_t now = 100 * NS_PER_S;

	QuotaBankTest()
	{
		quota_bank_init(&b);
		rng_init(&rng, 1);
		limit(10, 20);
	}
	~QuotaBankTest() override
	{
		quota_bank_done(&b);
	}
	void limit(double rate, double burst)
	{
		struct quota_opts o = {rate, burst, 5 * NS_PER_S, 0.1, 20};

		quota_rule_init(&rule, &o);
	}
	struct quota_account *hold(uint64_t fence)
	{
		return quota_bank_hold(&b, "o", &rule, fence, now);
	}
	struct quota_answer ask(uint64_t fence, uint64_t requests)
	{
		return quota_bank_ask(&b, hold(fence), requests, now, &rng);
	}
};

TEST_F(QuotaBankTest, StartsEmptyAndFillsToTheBurst)
{
	EXPECT_EQ(ask(1, 1).requests, 0u);
	now += 400 * NS_PER_MS;
	EXPECT_EQ(ask(1, 100).requests, 2u); /* half, after a denial */
	now += 100 * NS_PER_S;
	EXPECT_EQ(ask(1, 100).requests, 20u);
}

TEST_F(QuotaBankTest, ANewFenceStartsEmpty)
{
	hold(1);
	now += 10 * NS_PER_S;
	EXPECT_EQ(ask(1, 3).requests, 3u);
	EXPECT_EQ(ask(2, 3).requests, 0u);
}

TEST_F(QuotaBankTest, TheSameFenceAfterAGapKeepsTheBucket)
{
	hold(1);
	now += 10 * NS_PER_S;
	EXPECT_EQ(ask(1, 20).requests, 20u);
	now += 200 * NS_PER_MS;
	EXPECT_EQ(ask(1, 20).requests, 2u);
}

TEST_F(QuotaBankTest, ALowerLimitCutsTheBucketAtOnce)
{
	hold(1);
	now += 10 * NS_PER_S;
	limit(10, 2);
	EXPECT_EQ(ask(1, 20).requests, 2u);
}

TEST_F(QuotaBankTest, NoAskerTakesAllUnderContention)
{
	uint64_t greedy = 0, modest = 0;

	hold(1);
	now += 10 * NS_PER_S;
	ask(1, 1000);
	for (int i = 0; i < 100; i++) {
		now += 400 * NS_PER_MS;
		greedy += ask(1, 1000).requests;
		modest += ask(1, 2).requests;
	}
	EXPECT_GE(modest, 100u);
	EXPECT_GE(greedy, modest);
}

TEST_F(QuotaBankTest, ADenialTellsWhenTheNextRequestsFit)
{
	struct quota_answer a;
	uint64_t first;

	hold(1);
	now += 10 * NS_PER_S;
	ask(1, 20);
	a = ask(1, 1);
	first = a.retry_after_ns;
	EXPECT_GE(first, 100 * NS_PER_MS);
	EXPECT_LE(first, 200 * NS_PER_MS);
	/* The next one is behind it. */
	a = ask(1, 1);
	EXPECT_GE(a.retry_after_ns, 200 * NS_PER_MS);
	now += first;
	EXPECT_EQ(ask(1, 1).requests, 1u);
}

TEST_F(QuotaBankTest, RetryTimesAreSpread)
{
	uint64_t least = UINT64_MAX, most = 0;

	for (int i = 0; i < 50; i++) {
		uint64_t r = ask(1, 1).retry_after_ns;

		if (i < 10)
			continue;
		least = r < least ? r : least;
		most = r > most ? r : most;
	}
	EXPECT_GE(most - least, least / 4);
}

/* What crosses a window's edge fits into half of the margin. */
TEST(QuotaRule, LifetimeOfSharesFitsTheMargin)
{
	for (double rate : {0.5, 5.0, 50.0, 200.0, 40000.0})
		for (double burst : {0.0, 1.0, rate})
			for (double slack : {0.0, 1.0, 20.0}) {
				struct quota_opts o = {
					rate, burst, 5 * NS_PER_S, 0.1, slack};
				struct quota_rule r;
				double valid_s, quota = 5 * rate + burst;

				quota_rule_init(&r, &o);
				valid_s = (double)r.valid_ns / NS_PER_S;
				EXPECT_GE(r.valid_ns, 250 * NS_PER_MS);
				EXPECT_LE(r.valid_ns, 2 * NS_PER_S);
				EXPECT_LE(r.capacity + r.refill_per_s *
							       (5 + valid_s),
					  quota + (0.1 * quota + slack) / 2 +
						  1e-6);
			}
}
