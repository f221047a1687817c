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

/** An order of a test with its ticket; the fake upstream runs it. */
struct Order {
	struct ticket t;
	std::string org;
	uint64_t work_ns;
	uint64_t end_ns;
	enum request_end end;
};

/** What the small upstream of the tests bears. */
struct Model {
	uint32_t bears = 1000; /* orders at once; more are refused */
	uint64_t slow = 1;     /* factor on each order's work */
};

/** Drives the module with an upstream in virtual time. */
struct Bench {
	struct admission a;
	struct ev_announce word;
	Model model;
	uint64_t now = 1000 * MS;
	std::deque<Order> orders; /* stable addresses */
	std::vector<Order *> at_upstream;
	std::map<std::string, int> done, refused;
	std::map<int, int> why;
	uint32_t most = 0;
	int over = 0; /* orders sent beyond what the upstream bears */

	explicit Bench(uint32_t slots)
	{
		admission_init(&a);
		memset(&word, 0, sizeof(word));
		word.instance = 1;
		word.slots = slots;
		word.connections = 130;
		announce();
	}
	~Bench()
	{
		admission_done(&a);
	}

	void announce()
	{
		admission_on_announcement(&a, &word, now);
	}

	void refuse(Order *o, enum refusal r)
	{
		refused[o->org]++;
		why[r]++;
	}

	void pump()
	{
		enum refusal r;
		struct ticket *t;

		while ((t = admission_pop_dropped(&a, now, &r))) {
			Order *o = list_entry(t, Order, t);

			refuse(o, r);
			admission_end(&a, t, REQUEST_NOT_SENT, now);
		}
		while ((t = admission_start_next(&a, now)))
			send(list_entry(t, Order, t));
	}

	void send(Order *o)
	{
		bool shed = at_upstream.size() >= model.bears;

		over += shed;
		o->end = shed ? REQUEST_SHED : REQUEST_ANSWERED;
		o->end_ns = now + (shed ? MS / 4 : o->work_ns * model.slow);
		at_upstream.push_back(o);
		if (at_upstream.size() > most)
			most = at_upstream.size();
	}

	enum refusal offer(const char *org, uint64_t work_ns,
			   uint64_t timeout_ns, uint32_t weight = 1)
	{
		struct ticket_opts opts = {org, weight, now + timeout_ns, true};

		orders.push_back(Order{});
		Order *o = &orders.back();
		list_init(&o->t.link);
		o->org = org;
		o->work_ns = work_ns;
		enum refusal r = admission_enqueue(&a, &o->t, &opts, now);
		if (r != REFUSAL_NONE)
			refuse(o, r);
		pump();
		return r;
	}

	/** Ends what is due, in order of time, up to @until. */
	void run(uint64_t until)
	{
		for (;;) {
			Order *first = nullptr;

			for (Order *o : at_upstream)
				if (o->end_ns <= until &&
				    (!first || o->end_ns < first->end_ns))
					first = o;
			if (!first)
				break;
			now = first->end_ns;
			for (size_t i = 0; i < at_upstream.size(); i++)
				if (at_upstream[i] == first) {
					at_upstream.erase(at_upstream.begin() +
							  (long)i);
					break;
				}
			admission_end(&a, &first->t, first->end, now);
			if (first->end == REQUEST_ANSWERED)
				done[first->org]++;
			else
				refuse(first, REFUSAL_UPSTREAM_SHED);
			pump();
		}
		now = until;
		pump();
	}

	/** Load of @per_s orders a second for @seconds. */
	void load(const char *org, double per_s, double seconds,
		  uint64_t work_ns)
	{
		uint64_t step = (uint64_t)(1e9 / per_s);
		uint64_t end = now + (uint64_t)(seconds * 1e9);
		uint64_t next_word = now;

		while (now < end) {
			if (now >= next_word) {
				announce();
				next_word = now + 500 * MS;
			}
			offer(org, work_ns, 1000 * MS);
			run(now + step);
		}
	}
};

TEST(Admission, NeverMoreThanTheSlotsOrTheConnections)
{
	Bench b(20);

	b.load("", 8000, 3, 5 * MS);
	EXPECT_EQ(b.most, 20u);
	b.word.connections = 7;
	b.announce();
	b.run(b.now + NS_PER_S);
	b.most = 0;
	b.load("", 8000, 3, 5 * MS);
	EXPECT_EQ(b.most, 7u);
}

TEST(Admission, ANewInstanceStartsLow)
{
	Bench b(20);

	b.load("", 8000, 3, 5 * MS);
	b.run(b.now + NS_PER_S);
	b.word.instance = 2;
	b.announce();
	b.most = 0;
	for (int i = 0; i < 30; i++)
		b.offer("", 5 * MS, NS_PER_S);
	EXPECT_EQ(b.most, 2u);
}

TEST(Admission, TheWordColdHoldsTheLimitDown)
{
	Bench b(20);

	b.word.cold = true;
	b.model.bears = 2;
	b.load("", 4000, 5, 5 * MS);
	EXPECT_EQ(b.over, 0);
	EXPECT_EQ(b.most, 2u);
	b.word.cold = false;
	b.model.bears = 1000;
	b.load("", 4000, 3, 5 * MS);
	EXPECT_EQ(b.most, 20u);
}

TEST(Admission, TurningColdUnannouncedIsNoticedByRefusals)
{
	Bench b(20);

	b.load("", 4000, 3, 5 * MS);
	EXPECT_EQ(admission_limit(&b.a, b.now), 20u);
	b.model.bears = 3;
	b.load("", 4000, 1, 5 * MS);
	b.over = 0;
	b.done[""] = 0;
	b.load("", 4000, 10, 5 * MS);
	/* It bears 600 a second: most of it is used, little runs over. */
	EXPECT_GT(b.done[""], 3000);
	EXPECT_LT(b.over, b.done[""] / 50);
	b.model.bears = 1000;
	b.load("", 4000, 20, 5 * MS);
	EXPECT_EQ(admission_limit(&b.a, b.now), 20u);
}

TEST(Admission, TenTimesTheLoadKeepsTheGoodputAndTheQueueBounded)
{
	Bench b(20);

	b.load("", 4000, 2, 5 * MS);
	b.done[""] = 0;
	for (int i = 0; i < 4000; i++) {
		for (int j = 0; j < 10; j++) {
			b.offer("", 5 * MS, 30 * MS);
			ASSERT_LE(b.a.waiting, 80u);
		}
		b.run(b.now + MS / 4);
		if (i % 1000 == 0)
			b.announce();
	}
	/* 20 slots of 5 ms for one second. */
	EXPECT_GE(b.done[""], 3800);
}

TEST(Admission, WhatCannotMakeItsDeadlineIsRefusedAtOnce)
{
	Bench b(10);

	b.load("", 2000, 3, 20 * MS);
	b.run(b.now + NS_PER_S);
	b.announce();
	for (int i = 0; i < 30; i++)
		b.offer("", 20 * MS, NS_PER_S);
	EXPECT_EQ(b.offer("", 20 * MS, 30 * MS), REFUSAL_QUEUE_FULL);
	EXPECT_EQ(b.offer("", 20 * MS, 200 * MS), REFUSAL_NONE);
}

TEST(Admission, AStallWithALyingReportFillsTheQueueAndNoMore)
{
	Bench b(20);

	b.load("", 4000, 3, 5 * MS);
	b.word.load_permille = 0;
	b.model.slow = 400;
	b.load("", 4000, 1.9, 5 * MS);
	EXPECT_LE(b.most, 20u);
	EXPECT_LE(b.a.waiting, 80u);
	EXPECT_GT(b.why[REFUSAL_QUEUE_FULL], 0);
	b.model.slow = 1;
	b.load("", 4000, 5, 5 * MS);
	b.done[""] = 0;
	b.load("", 4000, 1, 5 * MS);
	EXPECT_GT(b.done[""], 3500);
}

TEST(Admission, TheReportOnlyLowers)
{
	Bench b(20);

	b.load("", 8000, 3, 5 * MS);
	b.run(b.now + NS_PER_S);
	b.word.load_permille = 950;
	b.announce();
	EXPECT_EQ(admission_limit(&b.a, b.now), 2u);
	b.word.load_permille = 0;
	b.announce();
	EXPECT_EQ(admission_limit(&b.a, b.now), 20u);
	b.word.instance = 2;
	b.announce();
	EXPECT_EQ(admission_limit(&b.a, b.now), 2u);
}

TEST(Admission, OneOrganisationCannotStarveAnother)
{
	Bench b(20);

	b.load("", 4000, 2, 5 * MS);
	b.run(b.now + NS_PER_S);
	for (int i = 0; i < 8000; i++) {
		for (int j = 0; j < 10; j++)
			b.offer("greedy", 5 * MS, NS_PER_S);
		if (i % 4 == 0)
			b.offer("small", 5 * MS, NS_PER_S);
		b.run(b.now + MS / 4);
		if (i % 1000 == 0)
			b.announce();
	}
	EXPECT_EQ(b.refused["small"], 0);
	EXPECT_GT(b.done["greedy"], 4000);
}

TEST(Admission, AFullQueueHasRoomForAnOrganisationThatHadNone)
{
	Bench b(20);

	b.load("", 4000, 2, 5 * MS);
	b.run(b.now + NS_PER_S);
	for (int i = 0; i < 200; i++)
		b.offer("greedy", 5 * MS, NS_PER_S);
	EXPECT_EQ(b.a.waiting, 80u);
	EXPECT_EQ(b.offer("small", 5 * MS, NS_PER_S), REFUSAL_NONE);
	EXPECT_EQ(b.a.waiting, 80u);
}

TEST(Admission, LongOrdersCannotHoldAllSlots)
{
	Bench b(20);

	b.load("", 4000, 2, 5 * MS);
	b.run(b.now + NS_PER_S);
	for (int i = 0; i < 4000; i++) {
		if (i % 8 == 0)
			b.offer("long", 500 * MS, 2 * NS_PER_S);
		b.offer("short", 5 * MS, NS_PER_S);
		b.run(b.now + MS);
		if (i % 400 == 0)
			b.announce();
	}
	EXPECT_LE(b.refused["short"], 40);
	EXPECT_GT(b.done["short"], 3800);
}

TEST(Admission, WeightsDivideAContendedUpstream)
{
	Bench b(20);

	for (int i = 0; i < 40000; i++) {
		b.offer("heavy", 5 * MS, NS_PER_S, 3);
		b.offer("light", 5 * MS, NS_PER_S, 1);
		b.run(b.now + MS / 8);
		if (i % 1000 == 0)
			b.announce();
	}
	double ratio = (double)b.done["heavy"] / b.done["light"];
	EXPECT_GT(ratio, 2.6);
	EXPECT_LT(ratio, 3.4);
}

TEST(Admission, NothingNewForASilentUpstream)
{
	Bench b(20);

	EXPECT_EQ(b.offer("", 5 * MS, NS_PER_S), REFUSAL_NONE);
	b.now += 3 * NS_PER_S;
	EXPECT_EQ(b.offer("", 5 * MS, NS_PER_S), REFUSAL_UPSTREAM_DOWN);
	b.announce();
	EXPECT_EQ(b.offer("", 5 * MS, NS_PER_S), REFUSAL_NONE);
}

TEST(Admission, ADrainingUpstreamGetsNothingNewAfterTheGrace)
{
	Bench b(20);
	struct ticket t = {};
	struct ticket_opts keyed = {"", 1, b.now + NS_PER_S, false};

	b.word.draining = true;
	b.announce();
	list_init(&t.link);
	EXPECT_EQ(b.offer("", 5 * MS, NS_PER_S), REFUSAL_LEAVING);
	EXPECT_EQ(admission_enqueue(&b.a, &t, &keyed, b.now), REFUSAL_NONE);
	admission_end(&b.a, &t, REQUEST_NOT_SENT, b.now);
	for (int i = 0; i < 5; i++) {
		b.now += 500 * MS;
		b.announce();
	}
	keyed.deadline_ns = b.now + NS_PER_S;
	EXPECT_EQ(admission_enqueue(&b.a, &t, &keyed, b.now), REFUSAL_LEAVING);
}

/* Whatever comes: bounds hold, every order ends exactly once. */
TEST(Admission, RandomRunsKeepTheBounds)
{
	EXPECT_TRUE(rc::check("bounds", [](const std::vector<uint16_t> &steps) {
		static const char *const orgs[] = {"a", "b", "c"};
		Bench b(5);

		for (uint16_t s : steps) {
			b.model.bears = s % 7 + 1;
			b.model.slow = s % 11 == 0 ? 50 : 1;
			b.word.cold = s % 13 == 0;
			b.word.load_permille = s % 1500;
			b.word.instance += s % 29 == 0;
			if (s % 3 == 0)
				b.announce();
			b.offer(orgs[s % 3], (s % 40 + 1) * MS,
				(s % 60 + 1) * MS, s % 4);
			b.run(b.now + s % 5 * MS);
			RC_ASSERT(b.a.running <= 5u);
			RC_ASSERT(b.a.waiting <= 20u);
			RC_ASSERT(b.a.running == b.at_upstream.size());
		}
		b.run(b.now + 100 * NS_PER_S);
		int ends = 0;
		for (auto &d : b.done)
			ends += d.second;
		for (auto &d : b.refused)
			ends += d.second;
		RC_ASSERT(ends == (int)b.orders.size());
		RC_ASSERT(b.a.running + b.a.waiting == 0u);
	}));
}
