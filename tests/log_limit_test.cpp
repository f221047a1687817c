#include "jd_test.hpp"

#include <rapidcheck/gtest.h>

extern "C" {
#include "core/log_limit.h"
}

static bool admit(struct log_limit *l, const char *line, uint64_t now_ns,
		  uint64_t *suppressed)
{
	return log_limit_admit(l, line, now_ns, suppressed);
}

TEST(LogLimit, LinesBeyondTheBurstAreSuppressedAndCounted)
{
	struct log_limit l = {};
	uint64_t suppressed;

	for (int i = 0; i < LOG_LIMIT_BURST; i++)
		EXPECT_TRUE(admit(&l, "event=a x=1", 5, &suppressed));
	for (int i = 0; i < 7; i++)
		EXPECT_FALSE(admit(&l, "event=a x=2", 6, &suppressed));
	EXPECT_TRUE(admit(&l, "event=b", 6, &suppressed));
	EXPECT_EQ(suppressed, 0u);
	EXPECT_TRUE(
		admit(&l, "event=a", 5 + LOG_LIMIT_INTERVAL_NS, &suppressed));
	EXPECT_EQ(suppressed, 7u);
	EXPECT_TRUE(
		admit(&l, "event=a", 6 + LOG_LIMIT_INTERVAL_NS, &suppressed));
	EXPECT_EQ(suppressed, 0u);
}

// Each line is either admitted or counted as suppressed, whatever its text.
RC_GTEST_PROP(LogLimit, EachLineIsAdmittedOrCounted,
	      (const std::vector<std::string> &lines))
{
	struct log_limit l = {};
	uint64_t admitted = 0, reported = 0, unreported = 0, now = 0;

	for (const std::string &line : lines) {
		for (int i = 0; i < 30; i++) {
			uint64_t suppressed;

			admitted += admit(&l, line.c_str(), now, &suppressed);
			reported += suppressed;
		}
		now += LOG_LIMIT_INTERVAL_NS / 3;
	}
	for (const struct log_limit_slot &s : l.slots)
		unreported += s.suppressed;
	RC_ASSERT(admitted + reported + unreported == 30 * lines.size());
}
