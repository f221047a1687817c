#include "jd_test.hpp"

extern "C" {
#include "core/lease.h"
}

static const uint64_t LEASE_NS = 1200 * NS_PER_MS;

static struct lease_answer answer(uint64_t sent_ns, incarnation_t from,
				  uint64_t term)
{
	return {sent_ns, from, term, 7, 3};
}

TEST(Lease, RunsFromTheSendingOfTheHeartbeat)
{
	struct lease l;
	struct lease_answer a = answer(1000, 7, 3);

	lease_init(&l);
	EXPECT_TRUE(lease_on_answer(&l, &a, LEASE_NS));
	EXPECT_TRUE(lease_valid(&l, 1000 + LEASE_NS - 1));
	EXPECT_FALSE(lease_valid(&l, 1000 + LEASE_NS));
}

TEST(Lease, ALateAnswerDoesNotShortenIt)
{
	struct lease l;
	struct lease_answer late = answer(10, 7, 3);

	lease_init(&l);
	lease_confirm(&l, 5000, LEASE_NS);
	EXPECT_TRUE(lease_on_answer(&l, &late, LEASE_NS));
	EXPECT_EQ(l.deadline_ns, 5000 + LEASE_NS);
}

TEST(Lease, IgnoresOtherKeepersAndTerms)
{
	struct lease l;
	struct lease_answer other_keeper = answer(10, 8, 3);
	struct lease_answer old_term = answer(10, 7, 2);

	lease_init(&l);
	EXPECT_FALSE(lease_on_answer(&l, &other_keeper, LEASE_NS));
	EXPECT_FALSE(lease_on_answer(&l, &old_term, LEASE_NS));
	EXPECT_FALSE(lease_valid(&l, 11));
}

TEST(Lease, IgnoresTheOldTermOnceAnotherKeeperIsAskedFor)
{
	struct lease l;
	struct lease_answer a = answer(10, 7, 3);

	lease_init(&l);
	lease_leave_keeper(&l, 3);
	EXPECT_FALSE(lease_on_answer(&l, &a, LEASE_NS));
	EXPECT_EQ(l.deadline_ns, 0u);
}
