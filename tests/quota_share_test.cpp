// Load answered: requests at one entry while the keeper answers, denies, is
// slow or is silent.
#include "jd_test.hpp"

extern "C" {
#include "core/organisations/quota_share.h"
}

struct QuotaShareTest : public ::testing::Test {
	struct quota_share s;
	struct quota_pool *p;
	struct quota_rule rule;
	struct rng rng;
	uint64_t now = 100 * NS_PER_S;
	struct quota_waiter w[32] = {};

	QuotaShareTest()
	{
		struct quota_opts o = {20, 20, 5 * NS_PER_S, 0.1, 20};

		quota_rule_init(&rule, &o);
		quota_share_init(&s, 0);
		s.nodes = 100;
		p = quota_share_set(&s, "o", &rule);
		rng_init(&rng, 1);
		for (auto &x : w)
			list_init(&x.link);
	}
	~QuotaShareTest() override
	{
		quota_share_done(&s);
	}
	enum quota_verdict admit(int i)
	{
		w[i].hold_until_ns = now + 100 * NS_PER_MS;
		return quota_share_admit(&s, p, &w[i], now, &rng);
	}
	void grant(uint64_t requests, uint64_t retry_ns = 0)
	{
		struct quota_grant g = {p->ask_sent_ns, requests, rule.valid_ns,
					retry_ns, false};

		quota_share_on_grant(&s, p, &g, now, &rng);
	}
	int decided()
	{
		int n = 0;

		while (quota_share_pop_decided(&s))
			n++;
		return n;
	}
	/* A share in the pool, granted to a request that has passed. */
	void pass(int i)
	{
		ASSERT_EQ(admit(i), QUOTA_WAITS);
		ASSERT_EQ(quota_share_next_ask(&s, now), p);
		grant(1);
		ASSERT_EQ(quota_share_pop_decided(&s), &w[i]);
		ASSERT_EQ(w[i].verdict, QUOTA_PASSES);
	}
};

TEST_F(QuotaShareTest, OneAskInFlightServesAllThatWait)
{
	for (int i = 0; i < 3; i++)
		EXPECT_EQ(admit(i), QUOTA_WAITS);
	ASSERT_EQ(quota_share_next_ask(&s, now), p);
	EXPECT_EQ(p->asked, 3u);
	EXPECT_EQ(quota_share_next_ask(&s, now), nullptr);
	now += 24 * NS_PER_MS;
	grant(3);
	EXPECT_EQ(decided(), 3);
	EXPECT_EQ(w[2].verdict, QUOTA_PASSES);
}

TEST_F(QuotaShareTest, ALostAskIsRepeatedAndItsLateAnswerDropped)
{
	struct quota_grant old = {};

	admit(0);
	quota_share_next_ask(&s, now);
	old.sent_ns = p->ask_sent_ns;
	old.requests = 1;
	old.valid_ns = rule.valid_ns;
	now += 100 * NS_PER_MS;
	ASSERT_EQ(quota_share_next_ask(&s, now), p);
	quota_share_on_grant(&s, p, &old, now, &rng);
	EXPECT_EQ(decided(), 0);
	grant(1);
	EXPECT_EQ(decided(), 1);
	/* Doubled. */
	grant(1);
	EXPECT_EQ(p->available, 0u);
	EXPECT_EQ(s.stale, 2u);
}

TEST_F(QuotaShareTest, AnExpiredGrantIsDropped)
{
	admit(0);
	quota_share_next_ask(&s, now);
	now += rule.valid_ns;
	grant(5);
	EXPECT_EQ(p->available, 0u);
}

TEST_F(QuotaShareTest, SharesExpireFromTheTimeOfTheAsk)
{
	admit(0);
	quota_share_next_ask(&s, now);
	now += 20 * NS_PER_MS;
	grant(3);
	EXPECT_EQ(admit(1), QUOTA_PASSES);
	now += rule.valid_ns - 20 * NS_PER_MS;
	EXPECT_EQ(admit(2), QUOTA_WAITS);
	EXPECT_EQ(s.unused, 1u);
}

TEST_F(QuotaShareTest, ADenialRefusesAtOnceUntilItsRetryTime)
{
	admit(0);
	quota_share_next_ask(&s, now);
	grant(0, 400 * NS_PER_MS);
	ASSERT_EQ(quota_share_pop_decided(&s), &w[0]);
	EXPECT_EQ(w[0].verdict, QUOTA_OVER);
	EXPECT_GE(w[0].retry_after_ns, 400 * NS_PER_MS);
	EXPECT_LE(w[0].retry_after_ns, 600 * NS_PER_MS);
	EXPECT_EQ(admit(1), QUOTA_OVER);
	EXPECT_EQ(quota_share_next_ask(&s, now), nullptr);
	now += 400 * NS_PER_MS;
	EXPECT_EQ(admit(2), QUOTA_WAITS);
	EXPECT_EQ(quota_share_next_ask(&s, now), p);
}

TEST_F(QuotaShareTest, AShortDenialIsWaitedFor)
{
	admit(0);
	quota_share_next_ask(&s, now);
	grant(0, 40 * NS_PER_MS);
	EXPECT_EQ(decided(), 0);
	now += 40 * NS_PER_MS;
	ASSERT_EQ(quota_share_next_ask(&s, now), p);
	grant(1);
	EXPECT_EQ(decided(), 1);
	EXPECT_EQ(w[0].verdict, QUOTA_PASSES);
}

TEST_F(QuotaShareTest, ASilentKeeperEndsTheWaitWithNoShare)
{
	admit(0);
	quota_share_next_ask(&s, now);
	now += 100 * NS_PER_MS;
	quota_share_next_ask(&s, now);
	quota_share_work(&s, now, &rng);
	ASSERT_EQ(quota_share_pop_decided(&s), &w[0]);
	EXPECT_EQ(w[0].verdict, QUOTA_NO_SHARE);
	EXPECT_GT(w[0].retry_after_ns, 0u);
}

TEST_F(QuotaShareTest, TheShareOfARequestThatDidNotRunIsUsedAgain)
{
	pass(0);
	quota_share_give_back(&s, p, &w[0], now);
	EXPECT_EQ(admit(1), QUOTA_PASSES);
	EXPECT_EQ(w[1].expires_ns > now, true);
	/* Not twice. */
	quota_share_give_back(&s, p, &w[0], now);
	EXPECT_EQ(p->available, 0u);
	now += rule.valid_ns;
	quota_share_give_back(&s, p, &w[1], now);
	EXPECT_EQ(p->available, 0u);
}

TEST_F(QuotaShareTest, DenseDemandIsAskedForAhead)
{
	for (int i = 0; i < 20; i++) {
		pass(0);
		now += 10 * NS_PER_MS;
	}
	admit(0);
	ASSERT_EQ(quota_share_next_ask(&s, now), p);
	EXPECT_GT(p->asked, 3u);
	grant(p->asked);
	decided();
	EXPECT_EQ(admit(1), QUOTA_PASSES);
}

TEST_F(QuotaShareTest, WithoutALimitAnyMoreWaitersPass)
{
	admit(0);
	quota_share_begin(&s);
	while ((p = quota_share_outdated(&s)))
		quota_share_drop(&s, p);
	ASSERT_EQ(quota_share_pop_decided(&s), &w[0]);
	EXPECT_EQ(w[0].verdict, QUOTA_PASSES);
	EXPECT_EQ(quota_share_find(&s, "o"), nullptr);
}

TEST_F(QuotaShareTest, AnEndedRequestWaitsNoMore)
{
	admit(0);
	quota_share_forget(p, &w[0]);
	EXPECT_EQ(p->waiting_count, 0u);
	EXPECT_EQ(quota_share_next_ask(&s, now), nullptr);
}
