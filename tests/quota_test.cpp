// Load answered: an organisation's requests at 7, 60 and 710 entries, spread,
// skewed, moving and in clumps, below its quota and at many times of it.
#include "quota_sim.hpp"

#include <rapidcheck.h>

struct QuotaFleetTest : public ::testing::TestWithParam<int> {
};

INSTANTIATE_TEST_SUITE_P(Sizes, QuotaFleetTest, ::testing::Values(7, 60, 710));

TEST_P(QuotaFleetTest, SpreadDemandBelowTheQuotaIsServed)
{
	QuotaFleet f(GetParam());

	f.run_for(2 * NS_PER_S);
	f.load(20 * NS_PER_S, 30, [&] { return f.anywhere(); });
	f.run_for(NS_PER_S);
	EXPECT_BOUND(f);
	EXPECT_GE(f.served(), 0.995);
}

TEST_P(QuotaFleetTest, DemandAtOneNodeGetsTheWholeQuota)
{
	QuotaFleet f(GetParam(), {200, 200, 5 * NS_PER_S, 0.1, 20});

	f.run_for(2 * NS_PER_S);
	f.load(20 * NS_PER_S, 180, [&] { return 1; });
	f.run_for(NS_PER_S);
	EXPECT_BOUND(f);
	EXPECT_GE(f.served(), 0.99);
}

TEST_P(QuotaFleetTest, DemandThatMovesIsServed)
{
	QuotaFleet f(GetParam());

	f.run_for(2 * NS_PER_S);
	f.load(20 * NS_PER_S, 30,
	       [&] { return (int)(f.now / (500 * SIM_MS) % f.nodes.size()); });
	f.run_for(NS_PER_S);
	EXPECT_BOUND(f);
	EXPECT_GE(f.served(), 0.99);
}

TEST_P(QuotaFleetTest, ClumpsWithinTheBurstAreServed)
{
	QuotaFleet f(GetParam());

	f.run_for(2 * NS_PER_S);
	for (int i = 0; i < 20; i++) {
		for (int k = 0; k < 25; k++)
			f.offer(f.anywhere());
		f.run_for(NS_PER_S);
	}
	EXPECT_BOUND(f);
	EXPECT_GE(f.served(), 0.99);
}

/* hot_tenant: 7.5 times the usual 0.6 of the rate. */
TEST_P(QuotaFleetTest, AHotOrganisationGetsItsQuotaAndNoMore)
{
	QuotaFleet f(GetParam());

	f.run_for(2 * NS_PER_S);
	f.load(20 * NS_PER_S, 225, [&] { return f.anywhere(); });
	f.run_for(NS_PER_S);
	EXPECT_BOUND(f);
	EXPECT_GE((double)f.ran.size(), 0.9 * (20 * 50 + 50));
	EXPECT_EQ(f.no_share, 0u);
}

TEST_P(QuotaFleetTest, AHotOrganisationOfOneNodeAsksSeldom)
{
	QuotaFleet f(GetParam());

	f.run_for(2 * NS_PER_S);
	f.load(20 * NS_PER_S, 2000, [&] { return 1; });
	EXPECT_BOUND(f);
	EXPECT_GE((double)f.ran.size(), 0.9 * (20 * 50 + 50));
	EXPECT_LE(f.nodes[1]->share.asks, f.offered / 10);
	EXPECT_LE(f.late, f.offered / 50);
}

TEST(Quota, SmallQuotasAreServedInLargeFleets)
{
	QuotaFleet f(60, {5, 5, 5 * NS_PER_S, 0.1, 20});

	f.run_for(2 * NS_PER_S);
	f.load(60 * NS_PER_S, 3, [&] { return f.anywhere(); });
	f.run_for(NS_PER_S);
	EXPECT_BOUND(f);
	EXPECT_GE(f.served(), 0.99);
}

static void hot(QuotaFleet &f, uint64_t ns)
{
	f.load(ns, 300, [&] { return f.anywhere(); });
}

TEST(Quota, AKilledKeepersBucketIsNotGivenOutTwice)
{
	QuotaFleet f(7);

	f.run_for(2 * NS_PER_S);
	for (int i = 0; i < 6; i++) {
		hot(f, 400 * SIM_MS);
		f.nodes[f.keeper]->down = true;
		f.move((i + 1) % 7, 100 * SIM_MS);
		hot(f, 400 * SIM_MS);
		f.restart(i);
	}
	hot(f, 5 * NS_PER_S);
	EXPECT_BOUND(f);
}

TEST(Quota, ARestartedKeeperStartsEmpty)
{
	QuotaFleet f(7);

	f.run_for(2 * NS_PER_S);
	for (int i = 0; i < 10; i++) {
		hot(f, 400 * SIM_MS);
		f.restart(0);
	}
	EXPECT_BOUND(f);
}

TEST(Quota, AKeyThatMovesToAndFroExceedsNothing)
{
	QuotaFleet f(7);

	f.run_for(2 * NS_PER_S);
	for (int i = 0; i < 10; i++) {
		hot(f, 400 * SIM_MS);
		f.move((i + 1) % 2, 0);
	}
	EXPECT_BOUND(f);
}

TEST(Quota, ANewKeeperServesDemandBelowTheQuota)
{
	QuotaFleet f(60);

	f.run_for(2 * NS_PER_S);
	f.move(1, 0);
	f.load(5 * NS_PER_S, 30, [&] { return f.anywhere(); });
	f.run_for(NS_PER_S);
	EXPECT_BOUND(f);
	EXPECT_GE(f.served(), 0.95);
}

/* The slack is shared out to the nodes, for when they reach no keeper. */
TEST(Quota, CutOffNodesStayWithinTheSlack)
{
	QuotaFleet f(7);

	f.run_for(11 * NS_PER_S);
	hot(f, 3 * NS_PER_S);
	for (int i = 1; i < 7; i++)
		f.nodes[i]->cut = true;
	hot(f, 10 * NS_PER_S);
	EXPECT_GT(f.nodes[1]->share.cut_off, 0u);
	EXPECT_GT(f.no_share, 0u);
	EXPECT_BOUND(f);
	for (int i = 1; i < 7; i++)
		f.nodes[i]->cut = false;
	hot(f, 10 * NS_PER_S);
	EXPECT_BOUND(f);
}

TEST(Quota, ANodeWithoutAKeeperInALargeFleetRunsNothing)
{
	QuotaFleet f(60, {5, 5, 5 * NS_PER_S, 0.1, 20});

	f.keeper = -1;
	f.run_for(11 * NS_PER_S);
	f.load(5 * NS_PER_S, 20, [&] { return f.anywhere(); });
	f.run_for(NS_PER_S);
	EXPECT_EQ(f.ran.size(), 0u);
	EXPECT_EQ(f.no_share, f.offered);
}

TEST(Quota, ANodeStoppedWithSharesLosesThemOnly)
{
	QuotaFleet f(7);

	f.run_for(2 * NS_PER_S);
	for (int i = 0; i < 10; i++) {
		f.load(500 * SIM_MS, 45, [&] { return 1; });
		f.restart(1);
	}
	EXPECT_BOUND(f);
	EXPECT_GE(f.served(), 0.9);
}

TEST(Quota, ANodeThatJoinsIsServed)
{
	QuotaFleet f(7);
	int joined;

	f.run_for(2 * NS_PER_S);
	hot(f, 2 * NS_PER_S);
	f.run_for(2 * NS_PER_S);
	joined = f.join();
	f.load(5 * NS_PER_S, 30, [&] { return joined; });
	EXPECT_BOUND(f);
	EXPECT_EQ(f.nodes[joined]->share.asks > 0, true);
	EXPECT_EQ(f.no_share, 0u);
}

TEST(Quota, LostMessagesCostLittle)
{
	QuotaFleet f(60);

	f.lost_permille = 20;
	f.run_for(2 * NS_PER_S);
	f.load(20 * NS_PER_S, 30, [&] { return f.anywhere(); });
	f.run_for(NS_PER_S);
	EXPECT_BOUND(f);
	EXPECT_GE(f.served(), 0.9);
}

TEST(Quota, DoubledAndLateMessagesExceedNothing)
{
	QuotaFleet f(7);

	f.doubled_permille = 500;
	f.late_ns = 800 * SIM_MS;
	f.run_for(2 * NS_PER_S);
	hot(f, 20 * NS_PER_S);
	EXPECT_BOUND(f);
}

TEST(Quota, ADoubledGrantIsUsedOnce)
{
	QuotaFleet f(7);

	f.doubled_permille = 1000;
	f.run_for(2 * NS_PER_S);
	hot(f, 20 * NS_PER_S);
	EXPECT_BOUND(f);
}

/* Shares granted ahead, a pause in which the bucket fills, then a flood. */
TEST(Quota, SharesKeptOverAPauseFitTheMargin)
{
	for (uint64_t pause_ms : {50, 200, 400, 800, 1200, 1600, 2000}) {
		QuotaFleet f(7, {50, 50, 5 * NS_PER_S, 0.02, 0});

		f.run_for(2 * NS_PER_S);
		f.load(3 * NS_PER_S, 45, [&] { return 1; });
		f.run_for(pause_ms * SIM_MS);
		f.load(6 * NS_PER_S, 1000, [&] { return f.anywhere(); });
		EXPECT_BOUND(f) << pause_ms;
	}
}

TEST(Quota, ALowerLimitBindsAfterAWindow)
{
	QuotaFleet f(7);
	uint64_t at;

	f.run_for(3 * NS_PER_S);
	hot(f, 5 * NS_PER_S);
	f.run_for(3 * NS_PER_S);
	at = f.now;
	f.set_limit(10, 10);
	hot(f, 20 * NS_PER_S);
	EXPECT_LE((double)f.busiest(at + f.opts.window_ns), f.bound());
	/* The bucket was full at the change: it was cut at once. */
	EXPECT_LE((double)f.busiest(at), f.bound());
}

TEST(Quota, ARaisedLimitIsServed)
{
	QuotaFleet f(7);

	f.run_for(2 * NS_PER_S);
	hot(f, 2 * NS_PER_S);
	f.set_limit(200, 200);
	f.run_for(2 * NS_PER_S);
	f.ran.clear();
	f.offered = 0;
	f.load(10 * NS_PER_S, 150, [&] { return f.anywhere(); });
	f.run_for(NS_PER_S);
	EXPECT_BOUND(f);
	EXPECT_GE(f.served(), 0.98);
}

TEST(Quota, WithoutKeepersFixedSharesStayWithinTheBound)
{
	QuotaFleet f(7);

	for (auto &n : f.nodes)
		n->share.fixed = true;
	f.run_for(11 * NS_PER_S);
	hot(f, 12 * NS_PER_S);
	EXPECT_BOUND(f);
	EXPECT_GE((double)f.ran.size(), 10 * 50.0);
}

/* One step of a random history. */
static void random_step(QuotaFleet &f, int kind, int i)
{
	int n = (int)f.nodes.size();
	int at = i % n;

	switch (kind) {
	case 0:
	case 1:
	case 2:
		for (int k = 0; k < 60; k++)
			f.offer((at + k) % n);
		break;
	case 3:
		for (int k = 0; k < 150; k++)
			f.offer(at);
		break;
	case 4:
		f.run_for(((uint64_t)i % 1500 + 1) * SIM_MS);
		break;
	case 5:
		f.move(at, (uint64_t)(i % 3) * 100 * SIM_MS);
		break;
	case 6:
		f.restart(at);
		break;
	case 7:
		f.nodes[at]->cut = !f.nodes[at]->cut;
		break;
	case 8:
		f.lost_permille = (uint64_t)(i % 400);
		f.doubled_permille = (uint64_t)(i % 300);
		f.late_ns = (uint64_t)(i % 500) * SIM_MS;
		break;
	default:
		f.load(300 * SIM_MS, 400, [&] { return f.anywhere(); });
		break;
	}
	f.run_for((uint64_t)(i % 60) * SIM_MS);
}

TEST(Quota, NoOrderOfFaultsExceedsTheBound)
{
	EXPECT_TRUE(
		rc::check("no order of grants, losses, moves and restarts", [] {
			double rate = *rc::gen::element(0.5, 5.0, 20.0, 60.0);
			double burst =
				*rc::gen::element(0.0, 1.0, rate, 4 * rate);
			double slack = *rc::gen::element(0.0, 2.0, 20.0);
			QuotaFleet f(5,
				     {rate, burst, 5 * NS_PER_S, 0.1, slack});
			auto steps = *rc::gen::container<
				std::vector<std::pair<int, int>>>(
				40, rc::gen::pair(rc::gen::inRange(0, 10),
						  rc::gen::inRange(0, 3000)));

			f.run_for(11 * NS_PER_S);
			for (auto &s : steps)
				random_step(f, s.first, s.second);
			f.load(2 * NS_PER_S, 400, [&] { return f.anywhere(); });
			RC_ASSERT((double)f.busiest() <= f.bound());
		}));
}
