/* The soak's checker sees each kind of broken promise. */
#include "jd_test.hpp"

extern "C" {
#include "chaos/mesh_checker.h"
}

struct MeshCheckerTest : public ::testing::Test {
	struct mesh_checker *p = mesh_checker_new();

	~MeshCheckerTest() override
	{
		mesh_checker_delete(p);
	}
};

TEST_F(MeshCheckerTest, AnHonestRunBreaksNone)
{
	mesh_checker_sent(p, "a", false, 1);
	mesh_checker_executed(p, "a");
	mesh_checker_ended(p, "a", 200, true, 2);
	mesh_checker_sent(p, "b", true, 3);
	mesh_checker_executed(p, "b");
	mesh_checker_executed(p, "b");
	mesh_checker_ended(p, "b", 200, true, 4);
	mesh_checker_sent(p, "c", false, 5);
	mesh_checker_ended(p, "c", 503, false, 6);
	mesh_checker_sent(p, "d", false, 5);
	mesh_checker_executed(p, "d");
	mesh_checker_ended(p, "d", 504, false, 6);
	mesh_checker_row_acquired(p, "u1", 0, 99, 4);
	mesh_checker_row_acquired(p, "u1", 0, 99, 4);
	mesh_checker_row_acquired(p, "u2", 50, 99, 5);
	EXPECT_EQ(mesh_checker_violations(p), 0u);
	EXPECT_EQ(p->served, 2u);
	EXPECT_EQ(p->refused, 1u);
	EXPECT_EQ(p->unknown, 1u);
	EXPECT_EQ(mesh_checker_unserved(p, 5, 9), 2u);
}

TEST_F(MeshCheckerTest, ANonIdempotentRequestThatRanTwice)
{
	mesh_checker_sent(p, "a", false, 1);
	mesh_checker_executed(p, "a");
	mesh_checker_executed(p, "a");
	EXPECT_EQ(p->doubled, 1u);
}

TEST_F(MeshCheckerTest, ARefusalOfWhatRanBeforeOrAfterIt)
{
	mesh_checker_sent(p, "a", false, 1);
	mesh_checker_executed(p, "a");
	mesh_checker_ended(p, "a", 503, false, 2);
	mesh_checker_sent(p, "b", false, 1);
	mesh_checker_ended(p, "b", 421, false, 2);
	mesh_checker_executed(p, "b");
	EXPECT_EQ(mesh_checker_violations(p), 2u);
	EXPECT_EQ(p->false_not_run, 2u);
}

TEST_F(MeshCheckerTest, AnAnswerThatIsAnothers)
{
	mesh_checker_sent(p, "a", true, 1);
	mesh_checker_ended(p, "a", 200, false, 2);
	EXPECT_EQ(p->crossed, 1u);
}

TEST_F(MeshCheckerTest, ARunThatNobodyAskedFor)
{
	mesh_checker_executed(p, "x");
	EXPECT_EQ(p->unasked, 1u);
}

TEST_F(MeshCheckerTest, AFenceThatIsNotAboveTheLast)
{
	mesh_checker_row_acquired(p, "u1", 0, 99, 4);
	mesh_checker_row_acquired(p, "u2", 99, 120, 4);
	EXPECT_EQ(p->fence_not_above, 1u);
}
