#include "jd_test.hpp"

#include <deque>
#include <map>
#include <rapidcheck.h>
#include <vector>

extern "C" {
#include "core/admission.h"
#include "core/mem.h"
}

static const uint64_t MS = NS_PER_MS;

/** A request with its ticket, run by the simulated upstream. */
struct TestRequest {
	struct ticket t;
	std::string org;
	uint64_t work_ns;
	uint64_t end_ns;
	enum request_end end;
};

/** Behaviour of the simulated upstream. */
struct Model {
	uint32_t capacity = 1000; /* requests at once; refuses more */
	uint64_t slowdown = 1;	  /* factor on the work of each request */
};

/** Runs admission with a simulated upstream in virtual time. */
struct Simulation {
	struct admission a;
	struct ev_announcement announcement;
	Model model;
	uint64_t now_ns = 1000 * MS;
	std::deque<TestRequest> requests; /* stable addresses */
	std::vector<TestRequest *> at_upstream;
	std::map<std::string, int> done, refused;
	std::map<int, int> refusals;
	uint32_t max_running = 0;
	int over_capacity = 0; /* requests sent above the capacity */

	explicit Simulation(uint32_t slots)
	{
		admission_init(&a);
		memset(&announcement, 0, sizeof(announcement));
		announcement.instance = 1;
		announcement.slots = slots;
		announcement.connections = 130;
		announce();
	}
	~Simulation()
	{
		admission_done(&a);
	}

	void announce()
	{
		admission_on_announcement(&a, &announcement, now_ns);
	}

	void record_refusal(TestRequest *req, enum refusal r)
	{
		refused[req->org]++;
		refusals[r]++;
	}

	void start_admitted()
	{
		enum refusal r;
		struct ticket *t;

		while ((t = admission_pop_dropped(&a, now_ns, &r))) {
			TestRequest *req = list_entry(t, TestRequest, t);

			record_refusal(req, r);
			admission_end(&a, t, REQUEST_NOT_SENT, now_ns);
		}
		while ((t = admission_start_next(&a, now_ns)))
			send(list_entry(t, TestRequest, t));
	}

	void send(TestRequest *req)
	{
		bool shed = at_upstream.size() >= model.capacity;

		over_capacity += shed;
		req->end = shed ? REQUEST_SHED : REQUEST_ANSWERED;
		req->end_ns = now_ns +
			      (shed ? MS / 4 : req->work_ns * model.slowdown);
		at_upstream.push_back(req);
		if (at_upstream.size() > max_running)
			max_running = at_upstream.size();
	}

	enum refusal submit(const char *org, uint64_t work_ns,
			    uint64_t timeout_ns, uint32_t weight = 1)
	{
		struct ticket_opts opts = {org, weight, now_ns + timeout_ns,
					   true};

		requests.push_back(TestRequest{});
		TestRequest *req = &requests.back();
		list_init(&req->t.link);
		req->org = org;
		req->work_ns = work_ns;
		enum refusal r = admission_enqueue(&a, &req->t, &opts, now_ns);
		if (r != REFUSAL_NONE)
			record_refusal(req, r);
		start_admitted();
		return r;
	}

	/** Ends requests in the order of their end, up to time @until_ns. */
	void run(uint64_t until_ns)
	{
		for (;;) {
			TestRequest *first = nullptr;

			for (TestRequest *req : at_upstream)
				if (req->end_ns <= until_ns &&
				    (!first || req->end_ns < first->end_ns))
					first = req;
			if (!first)
				break;
			now_ns = first->end_ns;
			for (size_t i = 0; i < at_upstream.size(); i++)
				if (at_upstream[i] == first) {
					at_upstream.erase(at_upstream.begin() +
							  (long)i);
					break;
				}
			admission_end(&a, &first->t, first->end, now_ns);
			if (first->end == REQUEST_ANSWERED)
				done[first->org]++;
			else
				record_refusal(first, REFUSAL_UPSTREAM_SHED);
			start_admitted();
		}
		now_ns = until_ns;
		start_admitted();
	}

	/** Submits @per_s requests a second for @seconds. */
	void run_load(const char *org, double per_s, double seconds,
		      uint64_t work_ns)
	{
		uint64_t step_ns = (uint64_t)(1e9 / per_s);
		uint64_t end = now_ns + (uint64_t)(seconds * 1e9);
		uint64_t next_announcement = now_ns;

		while (now_ns < end) {
			if (now_ns >= next_announcement) {
				announce();
				next_announcement = now_ns + 500 * MS;
			}
			submit(org, work_ns, 1000 * MS);
			run(now_ns + step_ns);
		}
	}
};

TEST(Admission, NeverRunsMoreThanTheSlotsOrTheConnections)
{
	Simulation sim(20);

	sim.run_load("", 8000, 3, 5 * MS);
	EXPECT_EQ(sim.max_running, 20u);
	sim.announcement.connections = 7;
	sim.announce();
	sim.run(sim.now_ns + NS_PER_S);
	sim.max_running = 0;
	sim.run_load("", 8000, 3, 5 * MS);
	EXPECT_EQ(sim.max_running, 7u);
}

TEST(Admission, ANewInstanceStartsAtTheColdLimit)
{
	Simulation sim(20);

	sim.run_load("", 8000, 3, 5 * MS);
	sim.run(sim.now_ns + NS_PER_S);
	sim.announcement.instance = 2;
	sim.announce();
	sim.max_running = 0;
	for (int i = 0; i < 30; i++)
		sim.submit("", 5 * MS, NS_PER_S);
	EXPECT_EQ(sim.max_running, 2u);
}

TEST(Admission, AnAnnouncedColdStartHoldsTheLimitDown)
{
	Simulation sim(20);

	sim.announcement.cold = true;
	sim.model.capacity = 2;
	sim.run_load("", 4000, 5, 5 * MS);
	EXPECT_EQ(sim.over_capacity, 0);
	EXPECT_EQ(sim.max_running, 2u);
	sim.announcement.cold = false;
	sim.model.capacity = 1000;
	sim.run_load("", 4000, 3, 5 * MS);
	EXPECT_EQ(sim.max_running, 20u);
}

TEST(Admission, AnUnannouncedColdStartIsDetectedByRefusals)
{
	Simulation sim(20);

	sim.run_load("", 4000, 3, 5 * MS);
	EXPECT_EQ(admission_limit(&sim.a, sim.now_ns), 20u);
	sim.model.capacity = 3;
	sim.run_load("", 4000, 1, 5 * MS);
	sim.over_capacity = 0;
	sim.done[""] = 0;
	sim.run_load("", 4000, 10, 5 * MS);
	/*
	 * The capacity is 600 requests a second: more than half of it is used,
	 * and few requests are sent above it.
	 */
	EXPECT_GT(sim.done[""], 3000);
	EXPECT_LT(sim.over_capacity, sim.done[""] / 50);
	sim.model.capacity = 1000;
	sim.run_load("", 4000, 20, 5 * MS);
	EXPECT_EQ(admission_limit(&sim.a, sim.now_ns), 20u);
}

TEST(Admission, TenfoldLoadKeepsTheGoodputAndABoundedQueue)
{
	Simulation sim(20);

	sim.run_load("", 4000, 2, 5 * MS);
	sim.done[""] = 0;
	for (int i = 0; i < 4000; i++) {
		for (int j = 0; j < 10; j++) {
			sim.submit("", 5 * MS, 30 * MS);
			ASSERT_LE(sim.a.waiting, 80u);
		}
		sim.run(sim.now_ns + MS / 4);
		if (i % 1000 == 0)
			sim.announce();
	}
	/* 20 slots with requests of 5 ms serve 4000 in one second. */
	EXPECT_GE(sim.done[""], 3800);
}

TEST(Admission, ARequestThatCannotMeetItsDeadlineIsRefusedAtOnce)
{
	Simulation sim(10);

	sim.run_load("", 2000, 3, 20 * MS);
	sim.run(sim.now_ns + NS_PER_S);
	sim.announce();
	for (int i = 0; i < 30; i++)
		sim.submit("", 20 * MS, NS_PER_S);
	EXPECT_EQ(sim.submit("", 20 * MS, 30 * MS), REFUSAL_QUEUE_FULL);
	EXPECT_EQ(sim.submit("", 20 * MS, 200 * MS), REFUSAL_NONE);
}

TEST(Admission, AStallWithAWrongLoadReportKeepsTheQueueBounded)
{
	Simulation sim(20);

	sim.run_load("", 4000, 3, 5 * MS);
	sim.announcement.load_permille = 0;
	sim.model.slowdown = 400;
	sim.run_load("", 4000, 1.9, 5 * MS);
	EXPECT_LE(sim.max_running, 20u);
	EXPECT_LE(sim.a.waiting, 80u);
	EXPECT_GT(sim.refusals[REFUSAL_QUEUE_FULL], 0);
	sim.model.slowdown = 1;
	sim.run_load("", 4000, 5, 5 * MS);
	sim.done[""] = 0;
	sim.run_load("", 4000, 1, 5 * MS);
	EXPECT_GT(sim.done[""], 3500);
}

TEST(Admission, ALoadReportOnlyLowersTheLimit)
{
	Simulation sim(20);

	sim.run_load("", 8000, 3, 5 * MS);
	sim.run(sim.now_ns + NS_PER_S);
	sim.announcement.load_permille = 950;
	sim.announce();
	EXPECT_EQ(admission_limit(&sim.a, sim.now_ns), 2u);
	sim.announcement.load_permille = 0;
	sim.announce();
	EXPECT_EQ(admission_limit(&sim.a, sim.now_ns), 20u);
	sim.announcement.instance = 2;
	sim.announce();
	EXPECT_EQ(admission_limit(&sim.a, sim.now_ns), 2u);
}

TEST(Admission, OneOrganisationCannotStarveAnother)
{
	Simulation sim(20);

	sim.run_load("", 4000, 2, 5 * MS);
	sim.run(sim.now_ns + NS_PER_S);
	for (int i = 0; i < 8000; i++) {
		for (int j = 0; j < 10; j++)
			sim.submit("greedy", 5 * MS, NS_PER_S);
		if (i % 4 == 0)
			sim.submit("small", 5 * MS, NS_PER_S);
		sim.run(sim.now_ns + MS / 4);
		if (i % 1000 == 0)
			sim.announce();
	}
	EXPECT_EQ(sim.refused["small"], 0);
	EXPECT_GT(sim.done["greedy"], 4000);
}

TEST(Admission, AFullQueueAdmitsAnOrganisationWithNoneWaiting)
{
	Simulation sim(20);

	sim.run_load("", 4000, 2, 5 * MS);
	sim.run(sim.now_ns + NS_PER_S);
	for (int i = 0; i < 200; i++)
		sim.submit("greedy", 5 * MS, NS_PER_S);
	EXPECT_EQ(sim.a.waiting, 80u);
	EXPECT_EQ(sim.submit("small", 5 * MS, NS_PER_S), REFUSAL_NONE);
	EXPECT_EQ(sim.a.waiting, 80u);
}

TEST(Admission, LongRequestsCannotHoldAllSlots)
{
	Simulation sim(20);

	sim.run_load("", 4000, 2, 5 * MS);
	sim.run(sim.now_ns + NS_PER_S);
	for (int i = 0; i < 4000; i++) {
		if (i % 8 == 0)
			sim.submit("long", 500 * MS, 2 * NS_PER_S);
		sim.submit("short", 5 * MS, NS_PER_S);
		sim.run(sim.now_ns + MS);
		if (i % 400 == 0)
			sim.announce();
	}
	EXPECT_LE(sim.refused["short"], 40);
	EXPECT_GT(sim.done["short"], 3800);
}

TEST(Admission, WeightsDivideAContendedUpstream)
{
	Simulation sim(20);

	for (int i = 0; i < 40000; i++) {
		sim.submit("heavy", 5 * MS, NS_PER_S, 3);
		sim.submit("light", 5 * MS, NS_PER_S, 1);
		sim.run(sim.now_ns + MS / 8);
		if (i % 1000 == 0)
			sim.announce();
	}
	double ratio = (double)sim.done["heavy"] / sim.done["light"];
	EXPECT_GT(ratio, 2.6);
	EXPECT_LT(ratio, 3.4);
}

TEST(Admission, ASilentUpstreamGetsNoNewRequests)
{
	Simulation sim(20);

	EXPECT_EQ(sim.submit("", 5 * MS, NS_PER_S), REFUSAL_NONE);
	sim.now_ns += 3 * NS_PER_S;
	EXPECT_EQ(sim.submit("", 5 * MS, NS_PER_S), REFUSAL_UPSTREAM_DOWN);
	sim.announce();
	EXPECT_EQ(sim.submit("", 5 * MS, NS_PER_S), REFUSAL_NONE);
}

TEST(Admission, ADrainingUpstreamGetsNoNewRequestsAfterTheGracePeriod)
{
	Simulation sim(20);
	struct ticket t = {};
	struct ticket_opts keyed = {"", 1, sim.now_ns + NS_PER_S, false};

	sim.announcement.draining = true;
	sim.announce();
	list_init(&t.link);
	EXPECT_EQ(sim.submit("", 5 * MS, NS_PER_S), REFUSAL_LEAVING);
	EXPECT_EQ(admission_enqueue(&sim.a, &t, &keyed, sim.now_ns),
		  REFUSAL_NONE);
	admission_end(&sim.a, &t, REQUEST_NOT_SENT, sim.now_ns);
	for (int i = 0; i < 5; i++) {
		sim.now_ns += 500 * MS;
		sim.announce();
	}
	keyed.deadline_ns = sim.now_ns + NS_PER_S;
	EXPECT_EQ(admission_enqueue(&sim.a, &t, &keyed, sim.now_ns),
		  REFUSAL_LEAVING);
}

/* Under any load the bounds hold and every request ends exactly once. */
TEST(Admission, RandomLoadKeepsTheBoundsAndEndsEachRequestOnce)
{
	EXPECT_TRUE(rc::check("bounds", [](const std::vector<uint16_t> &steps) {
		static const char *const orgs[] = {"a", "b", "c"};
		Simulation sim(5);

		for (uint16_t s : steps) {
			sim.model.capacity = s % 7 + 1;
			sim.model.slowdown = s % 11 == 0 ? 50 : 1;
			sim.announcement.cold = s % 13 == 0;
			sim.announcement.load_permille = s % 1500;
			sim.announcement.instance += s % 29 == 0;
			if (s % 3 == 0)
				sim.announce();
			sim.submit(orgs[s % 3], (s % 40 + 1) * MS,
				   (s % 60 + 1) * MS, s % 4);
			sim.run(sim.now_ns + s % 5 * MS);
			RC_ASSERT(sim.a.running <= 5u);
			RC_ASSERT(sim.a.waiting <= 20u);
			RC_ASSERT(sim.a.running == sim.at_upstream.size());
		}
		sim.run(sim.now_ns + 100 * NS_PER_S);
		int ends = 0;
		for (auto &d : sim.done)
			ends += d.second;
		for (auto &d : sim.refused)
			ends += d.second;
		RC_ASSERT(ends == (int)sim.requests.size());
		RC_ASSERT(sim.a.running + sim.a.waiting == 0u);
	}));
}
