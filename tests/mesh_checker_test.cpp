/* The checker of the soak finds each kind of violation. */
#include "jd_test.hpp"

extern "C" {
#include "chaos/mesh_checker.h"
}

struct MeshCheckerTest : public ::testing::Test {
	struct mesh_checker *checker = mesh_checker_new();

	~MeshCheckerTest() override
	{
		mesh_checker_delete(checker);
	}
};

TEST_F(MeshCheckerTest, AcceptsARunWithoutViolations)
{
	mesh_checker_sent(checker, "a", false, 1);
	mesh_checker_executed(checker, "a");
	mesh_checker_ended(checker, "a", 200, true, 2);
	mesh_checker_sent(checker, "b", true, 3);
	mesh_checker_executed(checker, "b");
	mesh_checker_executed(checker, "b");
	mesh_checker_ended(checker, "b", 200, true, 4);
	mesh_checker_sent(checker, "c", false, 5);
	mesh_checker_ended(checker, "c", 503, false, 6);
	mesh_checker_sent(checker, "d", false, 5);
	mesh_checker_executed(checker, "d");
	mesh_checker_ended(checker, "d", 504, false, 6);
	mesh_checker_row_acquired(checker, "u1", 0, 99, 4);
	mesh_checker_row_acquired(checker, "u1", 0, 99, 4);
	mesh_checker_row_acquired(checker, "u2", 50, 99, 5);
	EXPECT_EQ(mesh_checker_violations(checker), 0u);
	EXPECT_EQ(checker->served, 2u);
	EXPECT_EQ(checker->refused, 1u);
	EXPECT_EQ(checker->unknown, 1u);
	EXPECT_EQ(mesh_checker_unserved(checker, 5, 9), 2u);
}

TEST_F(MeshCheckerTest, FindsANonIdempotentRequestThatRanTwice)
{
	mesh_checker_sent(checker, "a", false, 1);
	mesh_checker_executed(checker, "a");
	mesh_checker_executed(checker, "a");
	EXPECT_EQ(checker->doubled, 1u);
}

TEST_F(MeshCheckerTest, FindsAProperRequestThatWasDenied)
{
	uint64_t denied = 0;

	for (int code : {301, 400, 401, 403, 404, 405, 408, 413, 421, 429, 431,
			 499, 500, 503}) {
		std::string id = std::to_string(code);

		mesh_checker_sent(checker, id.c_str(), true, 1);
		mesh_checker_ended(checker, id.c_str(), code, false, 2);
		denied +=
			code < 500 && code != 408 && code != 421 && code != 429;
		EXPECT_EQ(checker->denied, denied) << code;
	}
	EXPECT_EQ(mesh_checker_violations(checker), denied);
}

TEST_F(MeshCheckerTest, FindsARefusedRequestThatRanBeforeOrAfterTheRefusal)
{
	mesh_checker_sent(checker, "a", false, 1);
	mesh_checker_executed(checker, "a");
	mesh_checker_ended(checker, "a", 503, false, 2);
	mesh_checker_sent(checker, "b", false, 1);
	mesh_checker_ended(checker, "b", 421, false, 2);
	mesh_checker_executed(checker, "b");
	EXPECT_EQ(mesh_checker_violations(checker), 2u);
	EXPECT_EQ(checker->false_not_run, 2u);
}

TEST_F(MeshCheckerTest, FindsAnAnswerOfAnotherRequest)
{
	mesh_checker_sent(checker, "a", true, 1);
	mesh_checker_ended(checker, "a", 200, false, 2);
	EXPECT_EQ(checker->crossed, 1u);
}

TEST_F(MeshCheckerTest, FindsAnExecutionOfAnUnknownRequest)
{
	mesh_checker_executed(checker, "x");
	EXPECT_EQ(checker->unasked, 1u);
}

TEST_F(MeshCheckerTest, FindsAFenceThatIsNotAboveThePreviousHolders)
{
	mesh_checker_row_acquired(checker, "u1", 0, 99, 4);
	mesh_checker_row_acquired(checker, "u2", 99, 120, 4);
	EXPECT_EQ(checker->fence_not_above, 1u);
}
