#include "jd_test.hpp"

#include <string>
#include <vector>

extern "C" {
#include "core/gatekeeper.h"
#include "core/mem.h"
}

/* A gate whose upstream has four slots; the tests end its calls. */
struct GatekeeperTest : public ::testing::Test {
	struct mesh_opts opts = {};
	struct mesh_ctx c = {};
	struct mesh_actions out;
	struct holder h;
	struct gatekeeper g;
	uint64_t counter = 0;
	std::string organisation, instance; /* of the last call */
	bool as_call = false;		    /* entries say that it is a call */

	GatekeeperTest()
	{
		mem_copy_str(opts.node, "n", sizeof(opts.node));
		mem_copy_str(opts.dc, "dc", sizeof(opts.dc));
		mem_copy_str(opts.service, "s", sizeof(opts.service));
		opts.announce_interval_ns = NS_PER_S;
		opts.hold_max_ns = 10 * NS_PER_S;
		c.opts = &opts;
		c.now_ns = 100 * NS_PER_S;
		mesh_actions_init(&out);
		c.out = &out;
		directory_init(&c.dir, "r1");
		holder_init(&h, &opts, c.now_ns);
		h.known = true;
		h.slots = 4;
		gatekeeper_init(&g);
	}
	~GatekeeperTest() override
	{
		gatekeeper_done(&g);
		holder_done(&h);
		directory_done(&c.dir);
		mesh_actions_done(&out);
	}

	uint64_t offer(const char *route, uint32_t priority,
		       uint64_t objective_ms = 600,
		       const char *from_service = "s", bool keyed = false,
		       uint32_t shard = 0)
	{
		struct msg_forward f = {};

		f.id.node = 7;
		f.id.counter = ++counter;
		f.attempt = 1;
		f.time_left_ns = 2 * NS_PER_S;
		f.objective_ns = objective_ms * NS_PER_MS;
		f.priority = priority;
		f.keyed = keyed;
		f.call = as_call;
		f.shard = shard;
		mem_copy_str(f.route, route, sizeof(f.route));
		f.caller_service = mem_dup_str(from_service);
		f.organisation = mem_dup_str("museum");
		f.request = http_request_new("GET", "/");
		gatekeeper_offer(&g, &c, &h, &f, 7, 0);
		return counter;
	}
	/* Runs the gate; returns the calls that it has started. */
	std::vector<uint64_t> start_calls()
	{
		std::vector<uint64_t> calls;
		struct mesh_action *a;

		h.heard_ns = c.now_ns;
		gatekeeper_work(&g, &c, &h);
		while ((a = mesh_actions_pop(&out))) {
			if (a->kind == MA_UPSTREAM_CALL) {
				calls.push_back(a->u.call.call);
				organisation = a->u.call.organisation;
				instance = a->u.call.instance;
			}
			mesh_action_delete(a);
		}
		return calls;
	}
	void finish(uint64_t call)
	{
		struct ev_upstream_end e = {};

		e.call = call;
		e.outcome = OUTCOME_DONE;
		e.answer = http_answer_new(200);
		gatekeeper_on_upstream_end(&g, &c, &e);
	}
	/* Pops a result: its request and why it was refused. */
	bool pop_result(uint64_t *id, enum refusal *why)
	{
		struct attempt_result *e = gatekeeper_pop_result(&g);

		if (!e)
			return false;
		*id = e->answer.id.counter;
		*why = e->answer.refusal;
		http_answer_delete(e->answer.answer);
		free(e);
		return true;
	}
};

TEST_F(GatekeeperTest, RunsNoMoreRequestsThanSlots)
{
	for (int i = 0; i < 6; i++)
		offer("r", 1);
	EXPECT_EQ(start_calls().size(), 4u);
	EXPECT_EQ(g.waiting_count, 2u);
	finish(1);
	EXPECT_EQ(start_calls().size(), 1u);
}

TEST_F(GatekeeperTest, TheCallNamesTheOrganisation)
{
	offer("r", 1);
	EXPECT_EQ(start_calls().size(), 1u);
	EXPECT_EQ(organisation, "museum");
}

TEST_F(GatekeeperTest, TheCallNamesTheWholeInstance)
{
	const std::string id(300, 'i');

	h.long_instance = mem_dup_str(id.c_str());
	offer("r", 1);
	EXPECT_EQ(start_calls().size(), 1u);
	EXPECT_EQ(instance, id);
}

/* Pace and present slowness travel under heavy load only. */
TEST_F(GatekeeperTest, AnswersTellThePaceWhereItIsAskedFor)
{
	for (bool heavy_load : {false, true}) {
		struct gate_load load = {};
		uint64_t pace_ns = 0;

		opts.heavy_load = heavy_load;
		for (int i = 0; i < 40; i++) {
			struct ev_upstream_end e = {};
			struct attempt_result *r;

			offer("r", 1);
			e.call = start_calls().at(0);
			c.now_ns += 300 * NS_PER_MS;
			e.outcome = OUTCOME_DONE;
			e.report.present = true;
			e.report.work_percent = 300;
			e.answer = http_answer_new(200);
			gatekeeper_on_upstream_end(&g, &c, &e);
			r = gatekeeper_pop_result(&g);
			pace_ns = r->answer.route_ns;
			http_answer_delete(r->answer.answer);
			free(r);
		}
		gatekeeper_fill_load(&g, &c, &h, &load);
		EXPECT_EQ(pace_ns, heavy_load ? 100 * NS_PER_MS : 0);
		EXPECT_EQ(load.work_percent, heavy_load ? 300u : 0u);
	}
}

TEST_F(GatekeeperTest, AHigherPriorityRunsFirst)
{
	uint64_t id;
	enum refusal why;

	for (int i = 0; i < 4; i++)
		offer("r", 1);
	start_calls();
	offer("low", 2);
	uint64_t high = offer("high", 1);

	finish(1);
	EXPECT_EQ(start_calls().size(), 1u);
	ASSERT_TRUE(pop_result(&id, &why));
	/* The request of the lower priority still waits. */
	struct gate_attempt *waiting =
		list_entry(g.waiting.next, struct gate_attempt, link);

	EXPECT_NE(waiting->id.counter, high);
}

TEST_F(GatekeeperTest, ARequestThatWouldMissItsObjectiveIsRefusedAtOnce)
{
	uint64_t id, last = 0;
	enum refusal why = REFUSAL_NONE;

	for (int i = 0; i < 40; i++) {
		last = offer("r", 1);
		start_calls();
	}
	ASSERT_TRUE(pop_result(&id, &why));
	EXPECT_EQ(why, REFUSAL_QUEUE_FULL);
	while (pop_result(&id, &why))
		;
	EXPECT_EQ(id, last);
	EXPECT_LT(g.waiting_count, 20u);
}

TEST_F(GatekeeperTest, ACallOnAnInternalRouteMayWaitUntilItsDeadline)
{
	uint64_t id;
	enum refusal why;

	/* Only VMs of another service send these, so the route is internal. */
	for (int i = 0; i < 60; i++) {
		offer("inner", 1, 600, "other");
		for (uint64_t call : start_calls()) {
			c.now_ns += 50 * NS_PER_MS;
			finish(call);
		}
	}
	while (pop_result(&id, &why))
		EXPECT_EQ(why, REFUSAL_NONE);
	for (int i = 0; i < 8; i++) {
		offer("inner", 1, 1, "other");
		start_calls();
	}
	EXPECT_FALSE(pop_result(&id, &why));
	/* With the same objective, a request on another route is refused. */
	offer("outer", 1, 1);
	ASSERT_TRUE(pop_result(&id, &why));
	EXPECT_EQ(why, REFUSAL_QUEUE_FULL);
}

TEST_F(GatekeeperTest, AColdUpstreamIsLimitedToItsRate)
{
	struct manifest *m = manifest_new();
	struct service *s = manifest_add_service(m);
	size_t most = 0;
	std::vector<uint64_t> starts;

	mem_copy_str(s->name, "s", sizeof(s->name));
	s->cold_per_s = 16;
	c.dir.manifest = m;
	h.slots = 100;
	h.cold_until_ns = c.now_ns + 10 * NS_PER_S;
	for (int ms = 0; ms < 3000; ms += 5) {
		c.now_ns += 5 * NS_PER_MS;
		offer("r", 1, 5000);
		for (uint64_t call : start_calls()) {
			starts.push_back(c.now_ns);
			finish(call);
		}
	}
	for (size_t i = 0; i < starts.size(); i++) {
		size_t n = 0;

		for (size_t j = i;
		     j < starts.size() && starts[j] < starts[i] + NS_PER_S; j++)
			n++;
		most = std::max(most, n);
	}
	EXPECT_LE(most, 16u + 5u);
	EXPECT_GE(starts.size(), 40u);
}

TEST_F(GatekeeperTest, AColdUpstreamsQueueIsRefusedEarly)
{
	uint64_t id;
	enum refusal why = REFUSAL_NONE;

	/* Its slots are free, but its rate is 10 a second. */
	h.slots = 100;
	h.cold_until_ns = c.now_ns + 3 * NS_PER_S;
	for (int i = 0; i < 30; i++) {
		offer("r", 1);
		start_calls();
	}
	ASSERT_TRUE(pop_result(&id, &why));
	EXPECT_EQ(why, REFUSAL_QUEUE_FULL);
	/* An objective of 600 ms leaves room for six at most. */
	EXPECT_LE(g.waiting_count, 6u);
}

TEST_F(GatekeeperTest, ARequestForAKeyNotHeldHereIsRefused)
{
	uint64_t id;
	enum refusal why;

	offer("r", 1, 600, "s", true, 9);
	ASSERT_TRUE(pop_result(&id, &why));
	EXPECT_EQ(why, REFUSAL_MOVING);
}

TEST_F(GatekeeperTest, ALeavingUpstreamGetsNoNewRequests)
{
	uint64_t id;
	enum refusal why;

	for (int i = 0; i < 5; i++)
		offer("r", 1);
	EXPECT_EQ(start_calls().size(), 4u);
	h.draining = true;
	EXPECT_TRUE(start_calls().empty());
	ASSERT_TRUE(pop_result(&id, &why));
	EXPECT_EQ(why, REFUSAL_LEAVING);
	EXPECT_EQ(g.running_count, 4u);
}

TEST_F(GatekeeperTest, NoAttemptIsStartedThatMayOutlastTheProcess)
{
	uint64_t id;
	enum refusal why;

	for (int i = 0; i < 5; i++)
		offer("r", 1);
	EXPECT_EQ(start_calls().size(), 4u);
	g.end_ns = c.now_ns + 300 * NS_PER_MS;
	finish(1);
	EXPECT_TRUE(start_calls().empty());
	ASSERT_TRUE(pop_result(&id, &why));
	ASSERT_TRUE(pop_result(&id, &why));
	EXPECT_EQ(why, REFUSAL_LEAVING);
	EXPECT_EQ(g.running_count, 3u);
}

TEST_F(GatekeeperTest, ACancelledRequestIsCancelledAtTheUpstream)
{
	struct msg_cancel m = {};
	struct mesh_action *a;
	uint64_t id;
	enum refusal why;

	m.id.node = 7;
	m.id.counter = offer("r", 1);
	m.attempt = 1;
	start_calls();
	EXPECT_FALSE(gatekeeper_cancel(&g, &c, 7, &m)) << "it may have run";
	a = mesh_actions_pop(&out);
	ASSERT_NE(a, nullptr);
	EXPECT_EQ(a->kind, MA_CANCEL_UPSTREAM_CALL);
	mesh_action_delete(a);
	m.id.counter = offer("r", 1);
	EXPECT_TRUE(gatekeeper_cancel(&g, &c, 7, &m)) << "it has not";
	ASSERT_TRUE(pop_result(&id, &why));
	EXPECT_EQ(id, m.id.counter);
	EXPECT_FALSE(gatekeeper_cancel(&g, &c, 7, &m)) << "not known any more";
}

TEST_F(GatekeeperTest, TransitTimeCountsAgainstTheDeadline)
{
	struct msg_forward f = {};
	uint64_t id;
	enum refusal why;

	f.id.counter = 1;
	f.time_left_ns = 500 * NS_PER_MS;
	f.request = http_request_new("GET", "/");
	gatekeeper_offer(&g, &c, &h, &f, 7, 600 * NS_PER_MS);
	ASSERT_TRUE(pop_result(&id, &why));
	EXPECT_EQ(why, REFUSAL_DEADLINE);
}

/* A gate of a deployment whose load exceeds its room at times. */
struct LoadedGateTest : public GatekeeperTest {
	LoadedGateTest()
	{
		opts.heavy_load = true;
	}
	/* Ends all running calls, @ms after they began. */
	void run_for(uint64_t ms)
	{
		std::vector<uint64_t> calls = start_calls();

		c.now_ns += ms * NS_PER_MS;
		for (uint64_t call : calls)
			finish(call);
	}
	void learn(const char *route, const char *from_service, uint64_t ms)
	{
		for (int i = 0; i < 200; i++) {
			offer(route, 1, 600, from_service);
			run_for(ms);
		}
	}
};

/*
 * Guards against requests that were admitted, pushed back by more urgent ones
 * and refused only at their deadline.
 */
TEST_F(LoadedGateTest, WhatUrgentWorkPushesBackIsRefusedWhenThatIsKnown)
{
	uint64_t begin_ns = c.now_ns, id, low;
	enum refusal why = REFUSAL_NONE;
	std::vector<uint64_t> calls;

	for (int i = 0; i < 4; i++)
		offer("r", 0);
	calls = start_calls();
	low = offer("low", 2, 700);
	for (int i = 0; !pop_result(&id, &why) && i < 100; i++) {
		offer("r", 0, 5000);
		c.now_ns += 20 * NS_PER_MS;
		start_calls();
	}
	EXPECT_EQ(id, low);
	EXPECT_EQ(why, REFUSAL_NO_ROOM);
	EXPECT_LT(c.now_ns, begin_ns + 1000 * NS_PER_MS);
	EXPECT_EQ(g.hopeless, 1u);
	EXPECT_EQ(g.put_back, 1u);
}

/* The load: long requests fill the slots beside short calls of runs. */
TEST_F(LoadedGateTest, LongRequestsLeaveASlotToCalls)
{
	learn("call", "other", 50);
	for (int i = 0; i < 8; i++)
		offer("long", 1, 4000);
	EXPECT_EQ(start_calls().size(), 3u) << "of four slots";
	offer("call", 1, 200, "other");
	EXPECT_EQ(start_calls().size(), 1u);
}

/* The load: a wave of rank 0 takes three slots of four. */
TEST_F(LoadedGateTest, LesserWorkIsRefusedOnArrivalDuringAWaveOfUrgentWork)
{
	uint64_t id;
	enum refusal why = REFUSAL_NONE;

	for (int i = 0; i < 60; i++) {
		for (int k = 0; k < 3; k++)
			offer("r", 0, 5000);
		std::vector<uint64_t> calls = start_calls();

		c.now_ns += 70 * NS_PER_MS;
		for (uint64_t call : calls)
			finish(call);
	}
	while (pop_result(&id, &why))
		;
	for (int i = 0; i < 4; i++)
		offer("r", 0, 5000);
	start_calls();
	why = REFUSAL_NONE;
	offer("r", 0, 300);
	EXPECT_FALSE(pop_result(&id, &why));
	offer("low", 1, 180);
	ASSERT_TRUE(pop_result(&id, &why));
	EXPECT_EQ(why, REFUSAL_QUEUE_FULL);
}

/* The load: most runs fail early, as a service that they call is short. */
TEST_F(LoadedGateTest, RunsThatFailEarlyMakeTheQueueFaster)
{
	uint64_t id;
	enum refusal why = REFUSAL_NONE;

	learn("r", "s", 200);
	for (int i = 0; i < 100; i++) {
		struct ev_upstream_end e = {};

		offer("r", 1);
		e.call = start_calls().at(0);
		c.now_ns += 20 * NS_PER_MS;
		e.outcome = OUTCOME_DONE;
		e.answer = http_answer_new(500);
		gatekeeper_on_upstream_end(&g, &c, &e);
	}
	while (pop_result(&id, &why))
		;
	for (int i = 0; i < 24; i++)
		offer("r", 1, 600);
	start_calls();
	start_calls();
	EXPECT_FALSE(pop_result(&id, &why));
	EXPECT_EQ(g.put_back, 0u) << "20 wait for 100 ms at most";
}

/* Entries tell calls apart before a gate that has just started can. */
TEST_F(LoadedGateTest, ACallGoesBeforeRequestsOfItsRunsRankOnly)
{
	struct gate_attempt *first;
	uint64_t urgent, call;

	for (int i = 0; i < 4; i++)
		offer("r", 1);
	start_calls();
	offer("new", 1);
	as_call = true;
	call = offer("call", 1, 900);
	as_call = false;
	first = list_entry(g.waiting.next, struct gate_attempt, link);
	EXPECT_EQ(first->id.counter, call);
	urgent = offer("urgent", 0);
	first = list_entry(g.waiting.next, struct gate_attempt, link);
	EXPECT_EQ(first->id.counter, urgent);
}
