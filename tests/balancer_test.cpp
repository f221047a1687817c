#include "jd_test.hpp"

#include <map>

extern "C" {
#include "core/balancer.h"
}

static const uint64_t MS = NS_PER_MS;

/**
 * A balancer whose endpoints answer after a given latency, with one request at
 * a time.
 */
struct Simulation {
	struct balancer b;
	struct rng rng;
	uint64_t now_ns = 1000 * MS;
	std::map<incarnation_t, uint64_t> latency_ns;
	std::map<incarnation_t, int> sent;

	explicit Simulation(enum balancer_policy p = BALANCER_LATENCY)
	{
		balancer_init(&b, "r", p);
		rng_init(&rng, 7);
	}
	~Simulation()
	{
		balancer_done(&b);
	}

	void sync(std::map<incarnation_t, enum distance> all)
	{
		balancer_sync_begin(&b);
		for (auto &e : all) {
			balancer_sync_add(&b, e.first, e.second);
			latency_ns.emplace(e.first, 5 * MS);
		}
		balancer_sync_end(&b);
	}

	void run(int n)
	{
		sent.clear();
		for (int i = 0; i < n; i++) {
			incarnation_t inc =
				balancer_choose(&b, 0, &rng, now_ns);

			balancer_on_start(&b, inc, now_ns);
			now_ns += latency_ns[inc];
			balancer_on_end(&b, inc, ATTEMPT_ANSWERED,
					latency_ns[inc], now_ns);
			sent[inc]++;
		}
	}
};

static std::map<incarnation_t, enum distance> seven_endpoints()
{
	std::map<incarnation_t, enum distance> all;

	for (incarnation_t i = 1; i <= 7; i++)
		all[i] = DISTANCE_SAME_DC;
	return all;
}

TEST(Balancer, ReturnsNoneWithoutAnEndpoint)
{
	Simulation sim;

	EXPECT_EQ(balancer_choose(&sim.b, 0, &sim.rng, sim.now_ns), 0u);
	sim.sync({{1, DISTANCE_SAME_DC}});
	EXPECT_EQ(balancer_choose(&sim.b, 1, &sim.rng, sim.now_ns), 0u);
}

TEST(Balancer, EqualEndpointsShareEqually)
{
	Simulation sim;

	sim.sync(seven_endpoints());
	sim.run(7000);
	for (auto &s : sim.sent)
		EXPECT_NEAR(s.second, 1000, 200) << s.first;
}

TEST(Balancer, ASlowEndpointIsProbedAndUsedAgainOnceFast)
{
	Simulation sim;

	sim.sync(seven_endpoints());
	sim.run(700);
	sim.latency_ns[3] = 50 * MS;
	sim.run(200);
	sim.run(4000);
	EXPECT_GT(sim.sent[3], 0);
	EXPECT_LT(sim.sent[3], 40);
	sim.latency_ns[3] = 5 * MS;
	sim.run(4000);
	sim.run(7000);
	EXPECT_GT(sim.sent[3], 700);
}

TEST(Balancer, AStalledEndpointIsDetectedBeforeItAnswers)
{
	Simulation sim;

	sim.sync(seven_endpoints());
	sim.run(700);
	for (int i = 0; i < 3; i++)
		balancer_on_start(&sim.b, 3, sim.now_ns);
	sim.run(2000);
	EXPECT_LT(sim.sent[3], 10);
}

TEST(Balancer, PrefersItsDataCentreThenItsRegion)
{
	Simulation sim;

	sim.sync({{1, DISTANCE_SAME_DC},
		  {2, DISTANCE_SAME_REGION},
		  {3, DISTANCE_OTHER_REGION}});
	sim.latency_ns[2] = 8 * MS;
	sim.latency_ns[3] = 29 * MS;
	sim.run(1000);
	EXPECT_GT(sim.sent[1], 980);
	sim.latency_ns[1] = 15 * MS;
	sim.run(100);
	sim.run(1000);
	EXPECT_GT(sim.sent[2], 950);
	sim.latency_ns[2] = 80 * MS;
	sim.latency_ns[1] = 80 * MS;
	sim.run(100);
	sim.run(1000);
	EXPECT_GT(sim.sent[3], 900);
	sim.latency_ns[1] = 5 * MS;
	sim.run(1000);
	sim.run(1000);
	EXPECT_GT(sim.sent[1], 950);
}

TEST(Balancer, AnEndpointThatRefusedIsAvoidedBriefly)
{
	Simulation sim;

	sim.sync({{1, DISTANCE_SAME_DC}, {2, DISTANCE_SAME_DC}});
	sim.run(20);
	balancer_on_start(&sim.b, 1, sim.now_ns);
	balancer_on_end(&sim.b, 1, ATTEMPT_REFUSED, MS, sim.now_ns);
	for (int i = 0; i < 20; i++)
		EXPECT_EQ(balancer_choose(&sim.b, 0, &sim.rng, sim.now_ns), 2u);
	sim.now_ns += 20 * MS;
	sim.run(40);
	EXPECT_GT(sim.sent[1], 5);
}

TEST(Balancer, AFailingEndpointIsAvoidedLongerEachTime)
{
	Simulation sim;

	sim.sync({{1, DISTANCE_SAME_DC}, {2, DISTANCE_SAME_DC}});
	sim.run(20);
	for (int i = 0; i < 3; i++) {
		balancer_on_start(&sim.b, 1, sim.now_ns);
		balancer_on_end(&sim.b, 1, ATTEMPT_FAILED, MS, sim.now_ns);
	}
	sim.now_ns += 350 * MS;
	for (int i = 0; i < 20; i++)
		EXPECT_EQ(balancer_choose(&sim.b, 0, &sim.rng, sim.now_ns), 2u);
	sim.now_ns += 100 * MS;
	sim.run(200);
	EXPECT_GT(sim.sent[1], 20);
}

TEST(Balancer, ChoosesAnEndpointWhenAllAreAvoided)
{
	Simulation sim;

	sim.sync({{1, DISTANCE_SAME_DC}, {2, DISTANCE_SAME_DC}});
	for (incarnation_t i = 1; i <= 2; i++) {
		balancer_on_start(&sim.b, i, sim.now_ns);
		balancer_on_end(&sim.b, i, ATTEMPT_REFUSED, MS, sim.now_ns);
	}
	EXPECT_NE(balancer_choose(&sim.b, 0, &sim.rng, sim.now_ns), 0u);
}

TEST(Balancer, SyncKeepsStateAndRemovesMissingEndpoints)
{
	Simulation sim;

	sim.sync(seven_endpoints());
	sim.latency_ns[3] = 50 * MS;
	sim.run(700);
	auto remaining = seven_endpoints();
	remaining.erase(1);
	sim.sync(remaining);
	sim.run(700);
	EXPECT_EQ(sim.sent[1], 0);
	EXPECT_LT(sim.sent[3], 20);
}

TEST(Balancer, HedgesWaitForTheObserved95thPercentile)
{
	Simulation sim;

	sim.sync(seven_endpoints());
	EXPECT_EQ(balancer_hedge_after_ns(&sim.b), UINT64_MAX);
	sim.run(1000);
	EXPECT_NEAR((double)balancer_hedge_after_ns(&sim.b), 5e6, 5e5);
}

TEST(Balancer, EachPolicyUsesAllEndpointsButTheExcludedOne)
{
	for (int p = 0; p < BALANCER_POLICY_COUNT; p++) {
		Simulation sim((enum balancer_policy)p);

		sim.sync(seven_endpoints());
		sim.run(1400);
		EXPECT_EQ(sim.sent.size(), 7u) << p;
		for (int i = 0; i < 100; i++)
			EXPECT_NE(balancer_choose(&sim.b, 4, &sim.rng,
						  sim.now_ns),
				  4u);
	}
}

TEST(Balancer, DynamicWeightsFollowTheLoadReport)
{
	Simulation sim(BALANCER_DYNAMIC_WEIGHTS);

	sim.sync(seven_endpoints());
	sim.run(10);
	balancer_on_load_report(&sim.b, 3, 1000);
	sim.run(1000);
	sim.run(2000);
	EXPECT_LT(sim.sent[3], 100);
}
