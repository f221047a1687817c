#include "jd_test.hpp"

#include <cmath>
#include <vector>

extern "C" {
#include "core/load/gate_order.h"
#include "core/rng.h"
}

static const uint64_t START_NS = 100 * NS_PER_S;

static struct order_terms terms(uint32_t rank, uint64_t objective_ms,
				uint64_t deadline_ms)
{
	struct order_terms t = {};

	t.rank = rank;
	t.objective_at_ns = START_NS + objective_ms * NS_PER_MS;
	t.deadline_ns = START_NS + deadline_ms * NS_PER_MS;
	return t;
}

static struct order_pace pace(uint64_t now_ns, uint32_t running)
{
	struct order_pace p = {};

	p.now_ns = now_ns;
	p.running = running;
	p.limit = 10;
	p.mean_ns = 200.0 * NS_PER_MS;
	return p;
}

static const struct order_run RUN = {200.0 * NS_PER_MS, 100.0 * NS_PER_MS};

TEST(GateOrder, RankThenCallsOfRunsThenWhatIsDueFirst)
{
	struct order_terms urgent = terms(0, 900, 3000);
	struct order_terms lesser = terms(1, 500, 3000);
	struct order_terms call = terms(1, 800, 3000);
	struct order_terms older = terms(1, 400, 3000);

	call.call = true;
	EXPECT_TRUE(order_before(&urgent, &call));
	EXPECT_TRUE(order_before(&call, &lesser));
	EXPECT_TRUE(order_before(&older, &lesser));
	urgent.late = true;
	EXPECT_TRUE(order_before(&lesser, &urgent))
		<< "what misses its objective yields to what can meet it";
}

/* A call of a rank 2 run must not go before the requests of rank 0. */
TEST(GateOrder, ACallGoesByTheRankOfItsRun)
{
	struct order_terms call = terms(2, 100, 500);
	struct order_terms request = terms(0, 900, 3000);

	call.call = true;
	EXPECT_TRUE(order_before(&request, &call));
	EXPECT_FALSE(order_before(&call, &request));
}

TEST(GateOrder, AQueueOnTheBrinkAdmitsNothingMore)
{
	struct order_terms t = terms(0, 400, 3000);
	struct order_pace p = pace(START_NS, 10);

	EXPECT_TRUE(order_admits(&t, &p, &RUN, 4)); /* 100 + 200 + 100 ms */
	EXPECT_FALSE(order_admits(&t, &p, &RUN, 5));
	p.running = 9;
	EXPECT_TRUE(order_admits(&t, &p, &RUN, 5)) << "a slot is free";
}

TEST(GateOrder, ACallMayWaitUntilItsDeadline)
{
	struct order_terms t = terms(0, 200, 500);
	struct order_pace p = pace(START_NS, 10);

	t.call = true;
	EXPECT_TRUE(order_admits(&t, &p, &RUN, 14));
	EXPECT_FALSE(order_admits(&t, &p, &RUN, 15));
}

/* Guards against callers sent away twice while later ones get in. */
TEST(GateOrder, ACallerThatComesBackIsNotRefusedForItsObjective)
{
	struct order_terms t = terms(0, 400, 3000);
	struct order_pace p = pace(START_NS, 10);

	EXPECT_FALSE(order_admits(&t, &p, &RUN, 10));
	t.again = true;
	EXPECT_TRUE(order_admits(&t, &p, &RUN, 10));
}

/*
 * Guards against requests that were admitted in time, pushed back by more
 * urgent ones and refused only at their deadline, seconds later.
 */
TEST(GateOrder, WhatWasPushedBackEndsLongBeforeItsDeadline)
{
	struct order_terms t = terms(2, 1000, 4000);
	struct order_pace p = pace(START_NS, 10);

	EXPECT_EQ(order_review(&t, &p, &RUN, 39), ORDER_STAYS);
	EXPECT_EQ(order_review(&t, &p, &RUN, 40), ORDER_BECOMES_LATE);
	p.now_ns += 850 * NS_PER_MS;
	EXPECT_EQ(order_review(&t, &p, &RUN, 0), ORDER_BECOMES_LATE);
	order_note_late(&t, &RUN, p.now_ns);
	ASSERT_TRUE(t.late);
	EXPECT_EQ(order_review(&t, &p, &RUN, 0), ORDER_STAYS);
	p.now_ns += 800 * NS_PER_MS;
	EXPECT_EQ(order_review(&t, &p, &RUN, 0), ORDER_HOPELESS);
	EXPECT_LT(p.now_ns, START_NS + 2000 * NS_PER_MS);
}

TEST(GateOrder, AColdUpstreamsRateCountsAsWait)
{
	struct order_pace p = pace(START_NS, 0);

	EXPECT_EQ(order_wait_ns(&p, 6), 0u);
	p.cold_per_s = 12;
	EXPECT_EQ(order_wait_ns(&p, 6), 500 * NS_PER_MS);
}

/*
 * One gate of ten slots in steps of 1 ms: a burst of 1.7 times what it can run,
 * for three seconds, then 0.9 times. Run times are exponential, so that those
 * admitted on the brink would be late as often as not.
 */
struct Burst {
	struct item {
		struct order_terms t;
		uint64_t end_ns;
	};
	std::vector<item> waiting, running;
	struct rng rng;
	uint32_t in_time = 0, late = 0;
	uint32_t asked_after = 0, in_time_after = 0;

	double uniform()
	{
		return (double)(rng_next(&rng) >> 11) / 9.1e15;
	}
	void arrive(uint64_t now, bool after)
	{
		struct order_pace p = pace(now, (uint32_t)running.size());
		item i = {};
		auto at = waiting.begin();

		i.t.objective_at_ns = now + 600 * NS_PER_MS;
		i.t.deadline_ns = now + 2 * NS_PER_S;
		asked_after += after;
		while (at != waiting.end() && !order_before(&i.t, &at->t))
			++at;
		if (order_admits(&i.t, &p, &RUN,
				 (uint32_t)(at - waiting.begin())))
			waiting.insert(at, i);
	}
	void step(uint64_t now, bool after)
	{
		struct order_pace p = pace(now, (uint32_t)running.size());

		for (size_t i = 0; i < running.size();) {
			if (running[i].end_ns > now) {
				i++;
				continue;
			}
			bool good = now <= running[i].t.objective_at_ns;

			in_time += good;
			late += !good;
			in_time_after += good && after;
			running.erase(running.begin() + (long)i);
		}
		for (size_t i = 0; i < waiting.size(); i++) {
			enum order_verdict v = order_review(&waiting[i].t, &p,
							    &RUN, (uint32_t)i);

			if (v == ORDER_STAYS)
				continue;
			waiting.erase(waiting.begin() + (long)i--);
		}
		while (running.size() < 10 && !waiting.empty()) {
			item i = waiting.front();

			waiting.erase(waiting.begin());
			i.end_ns = now + (uint64_t)(-std::log(1 - uniform()) *
						    RUN.mean_ns);
			running.push_back(i);
		}
	}
	void play()
	{
		rng_init(&rng, 1);
		for (uint64_t ms = 0; ms < 10000; ms++) {
			uint64_t now = START_NS + ms * NS_PER_MS;
			bool burst = ms >= 2000 && ms < 5000;
			bool after = ms >= 7000 && ms < 9000;

			if (uniform() < (burst ? 1.7 : 0.9) * 10 / 200)
				arrive(now, after);
			step(now, after);
		}
	}
};

TEST(GateOrder, ABurstOfThreeSecondsIsOverTwoSecondsLater)
{
	Burst b;

	b.play();
	EXPECT_GT(b.in_time_after, 0.85 * b.asked_after);
	EXPECT_LT(b.late, 0.1 * b.in_time)
		<< "what is run in a burst is run in time";
}
