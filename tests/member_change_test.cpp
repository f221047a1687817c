#include "jd_test.hpp"

#include <fstream>

#include "process.hpp"

extern "C" {
#include "cli/exit_code.h"
}

namespace
{

class MemberChange : public testing::Test
{
protected:
	MemberChange()
	    : n1("m1", "south-1", "hu-south", store.addr()),
	      n2("m2", "south-2", "hu-south", store.addr()),
	      n3("m3", "south-2", "hu-south", store.addr())
	{
	}

	void SetUp() override
	{
		ASSERT_EQ(store.jackdaw("apply " JD_SOURCE_DIR
					"/examples/demo.toml")
				  .code,
			  CLI_OK);
		ASSERT_TRUE(jd::eventually([&] {
			return n1.number("shards") > 0 &&
			       n2.number("shards") > 0 &&
			       n3.number("shards") > 0;
		}));
	}

	jd::Store store;
	jd::Node n1, n2, n3;
};

} // namespace

TEST_F(MemberChange, StatusWhereAndMetricsShowTheFleet)
{
	jd::Result r = store.jackdaw("status");

	EXPECT_EQ(r.code, CLI_OK);
	for (const char *text :
	     {"data centre south-1 (hu-south): in, 1 nodes",
	      "route archive: 256 shards", "m1 ", "m2 ", "m3 "})
		EXPECT_NE(r.out.find(text), std::string::npos) << r.out;
	r = store.jackdaw("--json status");
	EXPECT_NE(r.out.find("\"manifest_revision\""), std::string::npos);
	r = store.jackdaw("where archive order-1");
	EXPECT_EQ(r.code, CLI_OK) << r.out;
	EXPECT_NE(r.out.find("owner m"), std::string::npos) << r.out;
	EXPECT_NE(r.out.find(" of 256"), std::string::npos) << r.out;
	EXPECT_EQ(store.jackdaw("where nowhere order-1").code, CLI_NOT_FOUND);
	EXPECT_EQ(store.jackdaw("drain nobody").code, CLI_NOT_FOUND);
	r = store.jackdaw("metrics m1");
	EXPECT_NE(r.out.find("jackdaw_requests_total"), std::string::npos);
}

TEST_F(MemberChange, ADrainedNodeHandsOverItsKeysAndEnds)
{
	jd::Result r = store.jackdaw("--wait --timeout-s 60 drain m2");

	EXPECT_EQ(r.code, CLI_OK) << r.out;
	EXPECT_NE(r.out.find("m2 has left"), std::string::npos) << r.out;
	int status = 0;
	ASSERT_EQ(waitpid(n2.daemon->pid, &status, 0), n2.daemon->pid);
	n2.daemon->pid = 0;
	EXPECT_TRUE(WIFEXITED(status) && WEXITSTATUS(status) == 0);
	EXPECT_TRUE(jd::eventually([&] {
		return n1.number("shards") + n3.number("shards") == 256;
	}));
}

TEST_F(MemberChange, ConfirmLostIsRefusedForANodeThatAnswers)
{
	jd::Result r = store.jackdaw("confirm-lost m2");

	EXPECT_EQ(r.code, CLI_FAILED);
	EXPECT_NE(r.out.find("drain it instead"), std::string::npos) << r.out;
	EXPECT_TRUE(n2.serves());
}

TEST_F(MemberChange, ConfirmLostReassignsTheKeys)
{
	n2.stop(SIGKILL);
	jd::Result r = store.jackdaw("confirm-lost m2");

	EXPECT_TRUE(r.code == CLI_OK || r.code == CLI_NOT_FOUND) << r.out;
	EXPECT_TRUE(jd::eventually([&] {
		return n1.number("shards") + n3.number("shards") == 256;
	}));
}
