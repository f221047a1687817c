#include "jd_test.hpp"

extern "C" {
#include "core/log_limit.h"
#include "io/log.h"
}

static std::string written(const char *line, enum log_level level = LOG_INFO)
{
	testing::internal::CaptureStderr();
	log_write(level, line);
	return testing::internal::GetCapturedStderr();
}

TEST(Log, OneLineAnEventWhateverIsInIt)
{
	log_init(LOG_INFO, "n1");
	std::string line = written("event=odd key=a\nevent=forged\x1b[0m");

	EXPECT_EQ(line.find('\n'), line.size() - 1) << line;
	EXPECT_NE(line.find("key=a?event=forged?[0m"), std::string::npos);
	EXPECT_NE(line.find(" level=info node=n1 event=odd"),
		  std::string::npos);
}

TEST(Log, LevelsBelowTheLowestAreLeftOut)
{
	log_init(LOG_WARN, "n1");
	EXPECT_EQ(written("event=quiet", LOG_INFO), "");
	EXPECT_NE(written("event=loud", LOG_ERROR), "");
	enum log_level level;
	EXPECT_TRUE(log_level_parse("debug", &level));
	EXPECT_EQ(level, LOG_DEBUG);
	EXPECT_FALSE(log_level_parse("chatty", &level));
}

TEST(Log, RepeatsOfOneEventAreLimited)
{
	int lines = 0;

	log_init(LOG_INFO, "n1");
	for (int i = 0; i < 3 * LOG_LIMIT_BURST; i++)
		lines += !written("event=again").empty();
	EXPECT_GE(lines, LOG_LIMIT_BURST);
	EXPECT_LT(lines, 3 * LOG_LIMIT_BURST);
	EXPECT_NE(written("event=other"), "");
}
