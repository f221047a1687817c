/* The soak's checker sees each kind of broken promise. */
#include "jd_test.hpp"

extern "C" {
#include "chaos/promises.h"
}

struct PromisesTest : public ::testing::Test {
	struct promises *p = promises_new();

	~PromisesTest() override
	{
		promises_delete(p);
	}
};

TEST_F(PromisesTest, AnHonestRunBreaksNone)
{
	promises_sent(p, "a", false, 1);
	promises_ran(p, "a");
	promises_ended(p, "a", 200, true, 2);
	promises_sent(p, "b", true, 3);
	promises_ran(p, "b");
	promises_ran(p, "b");
	promises_ended(p, "b", 200, true, 4);
	promises_sent(p, "c", false, 5);
	promises_ended(p, "c", 503, false, 6);
	promises_sent(p, "d", false, 5);
	promises_ran(p, "d");
	promises_ended(p, "d", 504, false, 6);
	promises_row(p, "u1", 0, 99, 4);
	promises_row(p, "u1", 0, 99, 4);
	promises_row(p, "u2", 50, 99, 5);
	EXPECT_EQ(promises_broken(p), 0u);
	EXPECT_EQ(p->served, 2u);
	EXPECT_EQ(p->refused, 1u);
	EXPECT_EQ(p->unknown, 1u);
	EXPECT_EQ(promises_unserved(p, 5, 9), 2u);
}

TEST_F(PromisesTest, ANonIdempotentRequestThatRanTwice)
{
	promises_sent(p, "a", false, 1);
	promises_ran(p, "a");
	promises_ran(p, "a");
	EXPECT_EQ(p->doubled, 1u);
}

TEST_F(PromisesTest, ARefusalOfWhatRanBeforeOrAfterIt)
{
	promises_sent(p, "a", false, 1);
	promises_ran(p, "a");
	promises_ended(p, "a", 503, false, 2);
	promises_sent(p, "b", false, 1);
	promises_ended(p, "b", 421, false, 2);
	promises_ran(p, "b");
	EXPECT_EQ(promises_broken(p), 2u);
	EXPECT_EQ(p->false_not_run, 2u);
}

TEST_F(PromisesTest, AnAnswerThatIsAnothers)
{
	promises_sent(p, "a", true, 1);
	promises_ended(p, "a", 200, false, 2);
	EXPECT_EQ(p->crossed, 1u);
}

TEST_F(PromisesTest, ARunThatNobodyAskedFor)
{
	promises_ran(p, "x");
	EXPECT_EQ(p->unasked, 1u);
}

TEST_F(PromisesTest, AFenceThatIsNotAboveTheLast)
{
	promises_row(p, "u1", 0, 99, 4);
	promises_row(p, "u2", 99, 120, 4);
	EXPECT_EQ(p->fence_not_above, 1u);
}
