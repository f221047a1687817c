#include "jd_test.hpp"

extern "C" {
#include "core/load/retries.h"
#include "core/mem.h"
}

struct RetriesTest : public ::testing::Test {
	struct mesh_opts opts = {};
	struct mesh_ctx c = {};
	struct retries r;

	RetriesTest()
	{
		opts.retry_window_ns = 10 * NS_PER_S;
		opts.retry_ratio = 0.2;
		opts.retry_slack = 100;
		opts.heavy_load = true;
		c.opts = &opts;
		c.now_ns = 100 * NS_PER_S;
		directory_init(&c.dir, "r0");
		retries_init(&r);
	}
	~RetriesTest() override
	{
		retries_done(&r);
		directory_done(&c.dir);
	}
	/* Takes as many as it gets, 1000 at most. */
	uint32_t take_all(const char *service, uint32_t rank, bool call)
	{
		struct retry_claim claim = {service, rank, call};
		uint32_t taken = 0;

		while (taken < 1000 && retries_take(&r, &c, &claim))
			taken++;
		return taken;
	}
};

/*
 * The load: a keyed service turns down half of what it gets for seconds, and
 * everyone who was turned down wants to try again.
 */
TEST_F(RetriesTest, TheLeastUrgentGetOnlyWhatOthersLeave)
{
	for (int i = 0; i < 1000; i++)
		retries_earn(&r, &c, "maps");
	uint32_t low = take_all("maps", 2, false);
	uint32_t high = take_all("maps", 0, false);
	uint32_t calls = take_all("maps", 0, true);

	EXPECT_GT(low, 0u);
	EXPECT_GT(high, low / 2);
	EXPECT_GT(calls, 40u);
	EXPECT_EQ(take_all("maps", 0, false), 0u);
	EXPECT_LE(low + high + calls, 0.2 * 1000 + 100);
}

/* A run that is tried again calls again: calls of others come first. */
TEST_F(RetriesTest, RunsLeaveTheBudgetOfWhatTheyCallToCalls)
{
	for (int i = 0; i < 1000; i++) {
		retries_earn(&r, &c, "records");
		retries_earn(&r, &c, "maps");
	}
	retries_note_called(&r, &c, "maps");
	EXPECT_GT(take_all("records", 0, false), 0u);
	EXPECT_GT(take_all("maps", 0, true), 40u);
	EXPECT_EQ(take_all("records", 0, false), 0u);
}

TEST_F(RetriesTest, WithoutHeavyLoadAllClaimsAreAlike)
{
	opts.heavy_load = false;
	EXPECT_EQ(take_all("maps", 2, false), 70u);
	EXPECT_EQ(take_all("maps", 0, true), 0u);
}
