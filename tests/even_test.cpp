/* Even load from old news; the load is played without a network. */
#include "jd_test.hpp"

#include "mesh_sim.hpp"

extern "C" {
#include "core/load/even.h"
#include "fakes/gate_fleet.h"
}

static const uint64_t T0 = 100 * NS_PER_S;
static const double OBJECTIVE_MS = 1200;
static const double SHORTEST_MS = 84;	    /* work of the shorter route */
static const double LONGEST_MS = 370 / 0.5; /* at the slowest upstream */

static struct gate_fleet_result play(uint32_t entries, double slots_used,
				     enum gate_fleet_way way)
{
	struct gate_fleet_opts o = {};

	o.way = way;
	o.entries = entries;
	o.gates = entries < 26 ? entries : 26;
	o.slots = 18;
	o.slots_used = slots_used;
	o.clump = 8;
	o.run_ns = 60 * NS_PER_S;
	o.seed = 3;
	return gate_fleet_run(&o);
}

/*
 * The load: clumps of up to eight requests, speeds of 0.5 to 1.7, a fifth of
 * the time three times as slow, news up to 2.6 s old, half of the slots used.
 * With room everywhere a wait costs callers at most a tenth of their objective,
 * and half a short request where the news is younger than a second.
 */
TEST(EvenLoad, HalfOfTheSlotsUsedLeaveNoGateBehind)
{
	for (uint32_t entries : {7, 65, 195, 710}) {
		struct gate_fleet_result r =
			play(entries, 0.55, GATE_FLEET_EVEN);

		EXPECT_LE(r.busiest_over_mean, 1.15) << entries;
		EXPECT_LE(r.wait_p99_ms,
			  entries <= 65 ? SHORTEST_MS / 2 : OBJECTIVE_MS / 10)
			<< entries;
	}
}

/*
 * The crest of a wave: the longer route's work at the slowest upstream, and the
 * wait for it, fit the objective.
 */
TEST(EvenLoad, FourFifthsOfTheSlotsUsedKeepTheObjective)
{
	for (uint32_t entries : {7, 65, 195, 710}) {
		struct gate_fleet_result r =
			play(entries, 0.8, GATE_FLEET_EVEN);

		EXPECT_LE(r.busiest_over_mean, 1.15) << entries;
		EXPECT_LE(r.wait_p99_ms, OBJECTIVE_MS - LONGEST_MS) << entries;
	}
}

/*
 * The load: many entries, clumps of sixteen and three gates. News that is older
 * than a service time must not send all to the same gate, by turns.
 */
TEST(EvenLoad, AFewGatesAreNotOverrunInTurns)
{
	struct gate_fleet_opts o = {};
	struct gate_fleet_result r;

	o.way = GATE_FLEET_EVEN;
	o.entries = 195;
	o.gates = 3;
	o.slots = 18;
	o.slots_used = 0.8;
	o.clump = 16;
	o.run_ns = 60 * NS_PER_S;
	o.seed = 5;
	r = gate_fleet_run(&o);
	EXPECT_LE(r.busiest_over_mean, 1.15);
	EXPECT_LE(r.wait_p99_ms, OBJECTIVE_MS - LONGEST_MS);
}

/*
 * News is as fresh as the traffic is dense: at most the work of one short
 * request more than in one queue that knows all.
 */
TEST(EvenLoad, AFewEntriesComeCloseToACentralQueue)
{
	double even_ms = play(7, 0.8, GATE_FLEET_EVEN).wait_p99_ms;
	double central_ms = play(7, 0.8, GATE_FLEET_CENTRAL).wait_p99_ms;

	EXPECT_LE(even_ms - central_ms, SHORTEST_MS);
}

static struct gate_load load_of(uint32_t busy)
{
	struct gate_load l = {};

	l.running = busy;
	l.limit = 18;
	l.service_ns = 300 * NS_PER_MS;
	l.open = true;
	return l;
}

/* Reports used to reset the count, also of requests that they did not show. */
TEST(Even, OwnRequestsCountUntilTheyAreAnswered)
{
	struct even_gate g = {};
	struct gate_load l = load_of(5);

	for (int i = 0; i < 8; i++)
		even_note_sent(&g);
	even_note_load(&g, &l, T0);
	EXPECT_NEAR(even_busy(&g, &l, T0), 8, 0.01);
	even_note_ended(&g);
	EXPECT_NEAR(even_busy(&g, &l, T0), 7, 0.01);
	/* Those of other entries come on top. */
	l = load_of(12);
	even_note_load(&g, &l, T0 + NS_PER_MS);
	EXPECT_NEAR(even_busy(&g, &l, T0 + NS_PER_MS), 12, 0.1);
}

TEST(Even, OldNewsReturnsToTheMean)
{
	struct even_gate g = {};
	struct gate_load usual = load_of(4);
	struct gate_load peak = load_of(16);
	uint64_t now_ns = T0;

	for (int i = 0; i < 60; i++, now_ns += 500 * NS_PER_MS)
		even_note_load(&g, &usual, now_ns);
	even_note_load(&g, &peak, now_ns);
	EXPECT_NEAR(even_busy(&g, &peak, now_ns), 16, 0.01);
	EXPECT_LT(even_busy(&g, &peak, now_ns + 2600 * NS_PER_MS), 7);
}

/* A burst of answers states one moment many times. */
TEST(Even, TheMeanIsOverTimeNotOverAnswers)
{
	struct even_gate g = {};
	struct gate_load usual = load_of(4);
	struct gate_load peak = load_of(16);
	uint64_t now_ns = T0;

	for (int i = 0; i < 60; i++, now_ns += 500 * NS_PER_MS)
		even_note_load(&g, &usual, now_ns);
	for (int i = 0; i < 100; i++, now_ns += NS_PER_MS / 2)
		even_note_load(&g, &peak, now_ns);
	/* 0.55 s of the time constant, from the last usual news on. */
	EXPECT_LT(g.mean_others, 4 + 12 * 0.55 / 3);
}

/* An upstream that got more short calls looked faster, and got more of all. */
TEST(Even, CapacityIsTheSameWhateverTheMixOfRoutes)
{
	struct even e;
	struct even_gate calls = {}, both = {};
	struct gate_load l = load_of(4);
	uint64_t call_ns = 84 * NS_PER_MS, sale_ns = 370 * NS_PER_MS;

	even_init(&e);
	struct even_answer call = {"s", "call", call_ns, call_ns};
	struct even_answer sale = {"s", "sale", sale_ns, sale_ns};

	for (int i = 0; i < 100; i++) {
		even_note_pace(&e, &calls, &call);
		even_note_pace(&e, &both, &call);
		even_note_pace(&e, &both, &sale);
	}
	struct even_service *s = even_service_for(&e, "s");

	l.service_ns = call_ns;
	double fast = even_capacity_per_s(s, &calls, &l, T0);
	l.service_ns = sale_ns;
	EXPECT_NEAR(even_capacity_per_s(s, &both, &l, T0) / fast, 1, 0.05);
	even_done(&e);
}

TEST(Even, AGateWithoutAnswersCountsByItsReports)
{
	struct even e;
	struct even_gate g = {};
	struct gate_load l = load_of(4);

	even_init(&e);
	EXPECT_NEAR(even_capacity_per_s(even_service_for(&e, "s"), &g, &l, T0),
		    18 / 0.3, 0.01);
	even_done(&e);
}

TEST(Even, ASlowMachineCountsLessWhileTheNewsIsFresh)
{
	struct even e;
	struct even_gate g = {};
	struct gate_load l = load_of(4);
	double usual;

	even_init(&e);
	even_note_load(&g, &l, T0);
	usual = even_capacity_per_s(even_service_for(&e, "s"), &g, &l, T0);
	l.work_percent = 300;
	EXPECT_NEAR(even_capacity_per_s(even_service_for(&e, "s"), &g, &l, T0),
		    usual / 3, 0.01);
	EXPECT_GT(even_capacity_per_s(even_service_for(&e, "s"), &g, &l,
				      T0 + NS_PER_S),
		  0.95 * usual);
	even_done(&e);
}

TEST(Even, APaceIsWithoutTheNoiseOfTheMachine)
{
	struct even_pace p = {};

	for (int i = 0; i < 50; i++) {
		even_pace_add(&p, 1e8, 100);
		even_pace_add(&p, 3e8, 300);
	}
	EXPECT_NEAR(p.mean_ns, 1e8, 1);
}

TEST(Even, TheSpreadShowsTheBusiestGate)
{
	struct even_spread s = {};
	struct even_gate g = {};

	EXPECT_EQ(even_spread_busiest_over_mean(&s), 0);
	for (uint32_t busy : {3, 3, 9}) {
		struct gate_load l = load_of(busy);

		g = {};
		even_note_load(&g, &l, T0);
		even_spread_add(&s, &g, &l, T0);
	}
	EXPECT_NEAR(even_spread_busiest_over_mean(&s), 9 / 5.0, 0.01);
}

struct Counts {
	uint64_t reports, forwards, answers, store_calls;
};

/* A fleet with callers at all nodes, its messages counted. */
static Counts count_messages(bool heavy_load)
{
	MeshSimOpts o;

	o.nodes = 12;
	o.work_ns = 100 * NS_PER_MS;
	o.heavy_load_every = heavy_load;
	MeshSim sim(o);
	sim.run_for(6 * NS_PER_S);
	memset(sim.sent_by_kind, 0, sizeof(sim.sent_by_kind));
	sim.store_calls = 0;
	for (uint32_t i = 0; i < 2000; i++) {
		sim.send_request((int)(i % 12), i % 2 ? "keys" : "read", i);
		sim.run_for(5 * NS_PER_MS);
	}
	return {sim.sent_by_kind[MSG_LOAD], sim.sent_by_kind[MSG_FORWARD],
		sim.sent_by_kind[MSG_ANSWER], sim.store_calls};
}

/*
 * The operators' condition: nobody is asked more often than without it. Which
 * requests stay on their own node is by chance, so a forward more than before
 * is none that was added: each has its one forward and its one answer.
 */
TEST(Even, NoMessageAndNoCallIsAdded)
{
	Counts before = count_messages(false);
	Counts after = count_messages(true);

	printf("reports %lu %lu forwards %lu %lu answers %lu %lu calls %lu "
	       "%lu\n",
	       (unsigned long)before.reports, (unsigned long)after.reports,
	       (unsigned long)before.forwards, (unsigned long)after.forwards,
	       (unsigned long)before.answers, (unsigned long)after.answers,
	       (unsigned long)before.store_calls,
	       (unsigned long)after.store_calls);
	EXPECT_LE(after.reports, before.reports);
	EXPECT_LE(after.forwards, 2000u);
	EXPECT_LE(after.answers, after.forwards);
	EXPECT_LE(after.store_calls, before.store_calls);
}
