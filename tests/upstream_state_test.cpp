#include "jd_test.hpp"

extern "C" {
#include "core/mem.h"
#include "fakes/upstream_state.h"
}

static const uint64_t MS = NS_PER_MS;

struct FakeUpstream {
	struct upstream_state s;
	uint64_t now = 1000 * MS;
	uint64_t end = 0;

	explicit FakeUpstream(struct upstream_opts o)
	{
		o.slots = 4;
		o.work_ns = 5 * MS;
		upstream_state_init(&s, &o, 1, now);
	}
	~FakeUpstream()
	{
		upstream_state_done(&s);
	}

	enum upstream_result start(const struct fence *f = nullptr)
	{
		struct upstream_request o = {f, now + NS_PER_S, 0};

		return upstream_state_start_request(&s, &o, now, &end);
	}
};

static struct fence fence_of(uint32_t shard, epoch_t epoch)
{
	struct fence f = {};

	mem_copy_str(f.route, "archive", sizeof(f.route));
	f.shard = shard;
	f.epoch = epoch;
	return f;
}

static void grant(FakeUpstream &u, uint32_t first, uint32_t last, epoch_t epoch)
{
	struct grant_range g = {};

	mem_copy_str(g.route, "archive", sizeof(g.route));
	g.first = first;
	g.last = last;
	g.epoch = epoch;
	upstream_state_grant(&u.s, &g, u.now + 500 * MS);
}

TEST(UpstreamState, RefusesRequestsBeyondItsSlots)
{
	FakeUpstream u({});

	for (int i = 0; i < 4; i++)
		EXPECT_EQ(u.start(), UPSTREAM_RUNS);
	EXPECT_EQ(u.start(), UPSTREAM_REFUSED);
	upstream_state_end_request(&u.s, u.now);
	EXPECT_EQ(u.start(), UPSTREAM_RUNS);
}

TEST(UpstreamState, StallsAndSlowdownsDelayTheEnd)
{
	FakeUpstream u({});

	u.start();
	EXPECT_EQ(u.end, u.now + 5 * MS);
	u.s.slow_permille = 10000;
	u.start();
	EXPECT_EQ(u.end, u.now + 50 * MS);
	u.s.stall_until_ns = u.now + 300 * MS;
	u.start();
	EXPECT_EQ(u.end, u.now + 350 * MS);
}

TEST(UpstreamState, ColdUpstreamFallsOverAndRestartsCold)
{
	struct upstream_opts o = {};

	o.cold_ns = NS_PER_S;
	o.cold_bears = 1;
	o.cold_mode = COLD_FALLS_OVER;
	o.restart_ns = 100 * MS;
	o.announces_cold = true;
	FakeUpstream u(o);
	EXPECT_TRUE(upstream_state_announces_cold(&u.s, u.now));
	EXPECT_EQ(u.start(), UPSTREAM_RUNS);
	EXPECT_EQ(u.start(), UPSTREAM_FALLS_OVER);
	EXPECT_EQ(u.s.instance, 2u);
	EXPECT_EQ(u.start(), UPSTREAM_DOWN);
	u.now += 100 * MS;
	EXPECT_EQ(u.start(), UPSTREAM_RUNS);
	u.now += NS_PER_S;
	EXPECT_FALSE(upstream_state_announces_cold(&u.s, u.now));
	EXPECT_EQ(u.start(), UPSTREAM_RUNS);
}

TEST(UpstreamState, RunsOnlyTheNewestFenceUnderAnUnexpiredGrant)
{
	struct upstream_opts o = {};

	o.checks_grants = true;
	FakeUpstream u(o);
	struct fence f3 = fence_of(7, 3), f4 = fence_of(7, 4),
		     other = fence_of(9, 3);

	EXPECT_EQ(u.start(&f3), UPSTREAM_FENCED);
	grant(u, 5, 8, 3);
	EXPECT_EQ(u.start(&f3), UPSTREAM_RUNS);
	EXPECT_EQ(u.start(&other), UPSTREAM_FENCED);
	EXPECT_EQ(u.start(&f4), UPSTREAM_FENCED);
	/* Epoch 4 was seen, so epoch 3 stays stale, even with a new grant. */
	EXPECT_EQ(u.start(&f3), UPSTREAM_FENCED);
	grant(u, 7, 7, 3);
	EXPECT_EQ(u.start(&f3), UPSTREAM_FENCED);
	grant(u, 7, 7, 4);
	EXPECT_EQ(u.start(&f4), UPSTREAM_RUNS);
	u.now += 500 * MS;
	EXPECT_EQ(u.start(&f4), UPSTREAM_FENCED);
	EXPECT_TRUE(upstream_state_extend(&u.s, 0, u.now + 500 * MS));
	EXPECT_EQ(u.start(&f4), UPSTREAM_RUNS);
}

TEST(UpstreamState, NewGrantsReplaceTheOldAndOlderOnesAreRefused)
{
	struct upstream_opts o = {};

	o.checks_grants = true;
	FakeUpstream u(o);
	struct fence a = fence_of(1, 3), b = fence_of(2, 3);

	EXPECT_TRUE(upstream_state_replace(&u.s, 10));
	grant(u, 1, 2, 3);
	EXPECT_EQ(u.start(&a), UPSTREAM_RUNS);
	EXPECT_TRUE(upstream_state_replace(&u.s, 20));
	grant(u, 2, 2, 3);
	EXPECT_EQ(u.start(&a), UPSTREAM_FENCED);
	EXPECT_EQ(u.start(&b), UPSTREAM_RUNS);
	EXPECT_FALSE(upstream_state_replace(&u.s, 10));
	EXPECT_FALSE(upstream_state_extend(&u.s, 10, u.now + NS_PER_S));
	EXPECT_EQ(u.start(&a), UPSTREAM_FENCED);
	EXPECT_TRUE(upstream_state_extend(&u.s, 20, u.now + NS_PER_S));
	EXPECT_EQ(u.start(&a), UPSTREAM_FENCED);
}

TEST(UpstreamState, RunsAnyFenceWhenItDoesNotCheckGrants)
{
	FakeUpstream u({});
	struct fence f = fence_of(7, 3);

	EXPECT_EQ(u.start(&f), UPSTREAM_RUNS);
}

TEST(UpstreamState, LoadReportIsDelayedOrFixed)
{
	struct upstream_opts o = {};

	o.report_lag_ns = NS_PER_S;
	FakeUpstream u(o);
	u.start();
	u.start();
	EXPECT_EQ(upstream_state_load(&u.s, u.now), 0u);
	u.now += NS_PER_S;
	EXPECT_EQ(upstream_state_load(&u.s, u.now), 250u);
	u.s.report = REPORT_LIES;
	u.s.lie_permille = 10;
	EXPECT_EQ(upstream_state_load(&u.s, u.now), 10u);
}

TEST(UpstreamState, RefusesWhileDrainingAndAfterTheDeadline)
{
	FakeUpstream u({});
	struct upstream_request late = {nullptr, u.now, 0};

	EXPECT_EQ(upstream_state_start_request(&u.s, &late, u.now, &u.end),
		  UPSTREAM_REFUSED);
	u.s.draining = true;
	EXPECT_EQ(u.start(), UPSTREAM_REFUSED);
}
