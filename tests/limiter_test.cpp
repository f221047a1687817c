#include "jd_test.hpp"

extern "C" {
#include "core/limiter.h"
}

static const uint64_t MS = NS_PER_MS;

/** Feeds answers of one latency with the limit in full use. */
struct Feed {
	struct limiter l;
	uint64_t now = 1000 * MS;

	explicit Feed(uint32_t slots)
	{
		limiter_init(&l);
		limiter_reset(&l, slots, now);
	}

	void answers(int n, uint64_t latency_ns)
	{
		for (int i = 0; i < n; i++) {
			uint32_t limit = limiter_limit(&l, now);

			limiter_on_start(&l, limit);
			now += latency_ns / limit;
			limiter_on_end(&l, REQUEST_ANSWERED, latency_ns, now);
		}
	}

	uint32_t limit()
	{
		return limiter_limit(&l, now);
	}
};

TEST(Limiter, StartsLowAndGrowsToTheSlotsByGoodAnswers)
{
	Feed f(20);

	EXPECT_EQ(f.limit(), 2u);
	f.answers(2000, 5 * MS);
	EXPECT_EQ(f.limit(), 20u);
}

TEST(Limiter, DoesNotGrowWhileTheLimitIsNotReached)
{
	Feed f(20);

	for (int i = 0; i < 1000; i++) {
		limiter_on_start(&f.l, 1);
		f.now += 5 * MS;
		limiter_on_end(&f.l, REQUEST_ANSWERED, 5 * MS, f.now);
	}
	EXPECT_EQ(f.limit(), 2u);
}

TEST(Limiter, RefusalsCutItAndTheCeilingIsNotTriedAgainAtOnce)
{
	Feed f(20);

	f.answers(2000, 5 * MS);
	limiter_on_end(&f.l, REQUEST_SHED, 0, f.now);
	EXPECT_EQ(f.limit(), 14u);
	f.answers(1000, 5 * MS);
	EXPECT_EQ(f.limit(), 19u);
}

TEST(Limiter, OneWaveOfRefusalsCutsOnce)
{
	Feed f(20);

	f.answers(2000, 5 * MS);
	for (int i = 0; i < 20; i++)
		limiter_on_end(&f.l, REQUEST_SHED, 0, f.now);
	EXPECT_EQ(f.limit(), 14u);
}

TEST(Limiter, LostConnectionsMeanAColdStart)
{
	Feed f(20);

	f.answers(2000, 5 * MS);
	limiter_on_end(&f.l, REQUEST_FAILED, 0, f.now);
	EXPECT_EQ(f.limit(), 20u);
	limiter_on_end(&f.l, REQUEST_FAILED, 0, f.now);
	EXPECT_EQ(f.limit(), 2u);
}

TEST(Limiter, AfterAFallTheLimitThatCausedItIsNotTriedAgainSoon)
{
	Feed f(20);
	uint64_t fell;

	while (f.limit() < 6)
		f.answers(20, 5 * MS);
	fell = f.now;
	limiter_on_end(&f.l, REQUEST_FAILED, 0, f.now);
	limiter_on_end(&f.l, REQUEST_FAILED, 0, f.now);
	limiter_reset(&f.l, 20, f.now);
	limiter_set_cold(&f.l, false, f.now);
	while (f.now < fell + 9 * NS_PER_S) {
		f.answers(1, 5 * MS);
		ASSERT_LT(f.limit(), 6u);
	}
	f.answers(4000, 5 * MS);
	EXPECT_EQ(f.limit(), 20u);
}

TEST(Limiter, AfterAFallNothingGrowsBeforeItAnnouncesItself)
{
	Feed f(20);

	f.answers(2000, 5 * MS);
	limiter_on_end(&f.l, REQUEST_FAILED, 0, f.now);
	limiter_on_end(&f.l, REQUEST_FAILED, 0, f.now);
	f.answers(500, 5 * MS);
	EXPECT_EQ(f.limit(), 2u);
	limiter_set_cold(&f.l, false, f.now);
	f.answers(500, 5 * MS);
	EXPECT_GT(f.limit(), 2u);
}

TEST(Limiter, TheUpstreamsWordKeepsItColdWhateverTheAnswers)
{
	Feed f(20);

	f.answers(2000, 5 * MS);
	limiter_set_cold(&f.l, true, f.now);
	f.answers(500, 5 * MS);
	EXPECT_EQ(f.limit(), 2u);
	limiter_set_cold(&f.l, false, f.now);
	f.answers(3000, 5 * MS);
	EXPECT_EQ(f.limit(), 20u);
}

TEST(Limiter, AWordThatStaysColdForeverIsNotBelievedForever)
{
	Feed f(20);

	limiter_set_cold(&f.l, true, f.now);
	f.now += 61 * NS_PER_S;
	limiter_set_cold(&f.l, true, f.now);
	f.answers(2000, 5 * MS);
	EXPECT_EQ(f.limit(), 20u);
}

/* Latency in proportion to what is above @bears. */
TEST(Limiter, TurningColdUnannouncedShowsInLatency)
{
	Feed f(20);

	f.answers(2000, 5 * MS);
	for (int i = 0; i < 3000; i++) {
		uint32_t n = f.limit();

		f.answers(1, n > 4 ? 5 * MS * n : 5 * MS);
	}
	EXPECT_LE(f.limit(), 10u);
	EXPECT_GE(f.limit(), 2u);
}

TEST(Limiter, ASlowdownThatFewerOrdersDoNotCureTakesTheCutBack)
{
	Feed f(20);

	f.answers(2000, 5 * MS);
	f.answers(200, 50 * MS);
	EXPECT_EQ(f.limit(), 20u);
	f.answers(2000, 5 * MS);
	EXPECT_EQ(f.limit(), 20u);
}
