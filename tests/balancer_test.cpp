#include "jd_test.hpp"

#include <map>

extern "C" {
#include "core/balancer.h"
}

static const uint64_t MS = NS_PER_MS;

/** A balancer with endpoints of given latencies, one request at a time. */
struct Load {
	struct balancer b;
	struct rng rng;
	uint64_t now = 1000 * MS;
	std::map<incarnation_t, uint64_t> latency;
	std::map<incarnation_t, int> sent;

	explicit Load(enum balancer_policy p = BALANCER_LATENCY)
	{
		balancer_init(&b, "r", p);
		rng_init(&rng, 7);
	}
	~Load()
	{
		balancer_done(&b);
	}

	void endpoints(std::map<incarnation_t, enum distance> all)
	{
		balancer_sync_begin(&b);
		for (auto &e : all) {
			balancer_sync_add(&b, e.first, e.second);
			latency.emplace(e.first, 5 * MS);
		}
		balancer_sync_end(&b);
	}

	void run(int n)
	{
		sent.clear();
		for (int i = 0; i < n; i++) {
			incarnation_t inc = balancer_choose(&b, 0, &rng, now);

			balancer_on_start(&b, inc, now);
			now += latency[inc];
			balancer_on_end(&b, inc, ATTEMPT_ANSWERED, latency[inc],
					now);
			sent[inc]++;
		}
	}
};

static std::map<incarnation_t, enum distance> seven()
{
	std::map<incarnation_t, enum distance> all;

	for (incarnation_t i = 1; i <= 7; i++)
		all[i] = DISTANCE_SAME_DC;
	return all;
}

TEST(Balancer, NoEndpointsNoChoice)
{
	Load l;

	EXPECT_EQ(balancer_choose(&l.b, 0, &l.rng, l.now), 0u);
	l.endpoints({{1, DISTANCE_SAME_DC}});
	EXPECT_EQ(balancer_choose(&l.b, 1, &l.rng, l.now), 0u);
}

TEST(Balancer, EqualEndpointsShareEqually)
{
	Load l;

	l.endpoints(seven());
	l.run(7000);
	for (auto &s : l.sent)
		EXPECT_NEAR(s.second, 1000, 200) << s.first;
}

TEST(Balancer, ASlowOneGetsProbesAndComesBack)
{
	Load l;

	l.endpoints(seven());
	l.run(700);
	l.latency[3] = 50 * MS;
	l.run(200);
	l.run(4000);
	EXPECT_GT(l.sent[3], 0);
	EXPECT_LT(l.sent[3], 40);
	l.latency[3] = 5 * MS;
	l.run(4000);
	l.run(7000);
	EXPECT_GT(l.sent[3], 700);
}

TEST(Balancer, AStalledOneIsSeenBeforeItAnswers)
{
	Load l;

	l.endpoints(seven());
	l.run(700);
	for (int i = 0; i < 3; i++)
		balancer_on_start(&l.b, 3, l.now);
	l.run(2000);
	EXPECT_LT(l.sent[3], 10);
}

TEST(Balancer, TheOwnDataCentreFirstThenTheRegion)
{
	Load l;

	l.endpoints({{1, DISTANCE_SAME_DC},
		     {2, DISTANCE_SAME_REGION},
		     {3, DISTANCE_OTHER_REGION}});
	l.latency[2] = 8 * MS;
	l.latency[3] = 29 * MS;
	l.run(1000);
	EXPECT_GT(l.sent[1], 980);
	l.latency[1] = 15 * MS;
	l.run(100);
	l.run(1000);
	EXPECT_GT(l.sent[2], 950);
	l.latency[2] = 80 * MS;
	l.latency[1] = 80 * MS;
	l.run(100);
	l.run(1000);
	EXPECT_GT(l.sent[3], 900);
	l.latency[1] = 5 * MS;
	l.run(1000);
	l.run(1000);
	EXPECT_GT(l.sent[1], 950);
}

TEST(Balancer, ARefusalIsAvoidedForAMoment)
{
	Load l;

	l.endpoints({{1, DISTANCE_SAME_DC}, {2, DISTANCE_SAME_DC}});
	l.run(20);
	balancer_on_start(&l.b, 1, l.now);
	balancer_on_end(&l.b, 1, ATTEMPT_REFUSED, MS, l.now);
	for (int i = 0; i < 20; i++)
		EXPECT_EQ(balancer_choose(&l.b, 0, &l.rng, l.now), 2u);
	l.now += 20 * MS;
	l.run(40);
	EXPECT_GT(l.sent[1], 5);
}

TEST(Balancer, AFailingOneIsAvoidedLongerEachTime)
{
	Load l;

	l.endpoints({{1, DISTANCE_SAME_DC}, {2, DISTANCE_SAME_DC}});
	l.run(20);
	for (int i = 0; i < 3; i++) {
		balancer_on_start(&l.b, 1, l.now);
		balancer_on_end(&l.b, 1, ATTEMPT_FAILED, MS, l.now);
	}
	l.now += 350 * MS;
	for (int i = 0; i < 20; i++)
		EXPECT_EQ(balancer_choose(&l.b, 0, &l.rng, l.now), 2u);
	l.now += 100 * MS;
	l.run(200);
	EXPECT_GT(l.sent[1], 20);
}

TEST(Balancer, WhenAllAreAvoidedTheirGatesDecide)
{
	Load l;

	l.endpoints({{1, DISTANCE_SAME_DC}, {2, DISTANCE_SAME_DC}});
	for (incarnation_t i = 1; i <= 2; i++) {
		balancer_on_start(&l.b, i, l.now);
		balancer_on_end(&l.b, i, ATTEMPT_REFUSED, MS, l.now);
	}
	EXPECT_NE(balancer_choose(&l.b, 0, &l.rng, l.now), 0u);
}

TEST(Balancer, SyncKeepsWhatIsKnownAndForgetsTheGone)
{
	Load l;

	l.endpoints(seven());
	l.latency[3] = 50 * MS;
	l.run(700);
	auto six = seven();
	six.erase(1);
	l.endpoints(six);
	l.run(700);
	EXPECT_EQ(l.sent[1], 0);
	EXPECT_LT(l.sent[3], 20);
}

TEST(Balancer, HedgesWaitForTheObserved95thPercentile)
{
	Load l;

	l.endpoints(seven());
	EXPECT_EQ(balancer_hedge_after_ns(&l.b), UINT64_MAX);
	l.run(1000);
	EXPECT_NEAR((double)balancer_hedge_after_ns(&l.b), 5e6, 5e5);
}

TEST(Balancer, EachPolicyUsesAllEndpointsAndAvoidsTheNamedOne)
{
	for (int p = 0; p < BALANCER_POLICY_COUNT; p++) {
		Load l((enum balancer_policy)p);

		l.endpoints(seven());
		l.run(1400);
		EXPECT_EQ(l.sent.size(), 7u) << p;
		for (int i = 0; i < 100; i++)
			EXPECT_NE(balancer_choose(&l.b, 4, &l.rng, l.now), 4u);
	}
}

TEST(Balancer, WeightsFollowTheReportOnlyEachPeriod)
{
	Load l(BALANCER_DYNAMIC_WEIGHTS);

	l.endpoints(seven());
	l.run(10);
	balancer_on_load_report(&l.b, 3, 1000);
	l.run(1000);
	l.run(2000);
	EXPECT_LT(l.sent[3], 100);
}
