#include "jd_test.hpp"

extern "C" {
#include "core/log_limit.h"
#include "io/log.h"
}

static std::string log_output(const char *line, enum log_level level = LOG_INFO)
{
	testing::internal::CaptureStderr();
	log_write(level, line);
	return testing::internal::GetCapturedStderr();
}

TEST(Log, ControlCharactersCannotForgeALine)
{
	log_init(LOG_INFO, "n1");
	std::string line = log_output("event=odd key=a\nevent=forged\x1b[0m");

	EXPECT_EQ(line.find('\n'), line.size() - 1) << line;
	EXPECT_NE(line.find("key=a?event=forged?[0m"), std::string::npos);
	EXPECT_NE(line.find(" level=info node=n1 event=odd"),
		  std::string::npos);
}

/* Lines of nodes whose names differ after 31 bytes could not be told apart. */
TEST(Log, ALineNamesItsNodeWholeOrAbbreviated)
{
	for (size_t len : {31, 32, 63, 64, 300}) {
		const std::string name(len, 'n');
		std::string a, b;

		log_init(LOG_INFO, (name + "1").c_str());
		a = log_output("event=x");
		log_init(LOG_INFO, (name + "2").c_str());
		b = log_output("event=x");
		EXPECT_NE(a.substr(a.find("node=")), b.substr(b.find("node=")))
			<< len;
		if (len < 63) {
			EXPECT_NE(a.find("node=" + name + "1 "), a.npos) << a;
		}
	}
}

TEST(Log, LinesBelowTheMinimumLevelAreDropped)
{
	log_init(LOG_WARN, "n1");
	EXPECT_EQ(log_output("event=quiet", LOG_INFO), "");
	EXPECT_NE(log_output("event=loud", LOG_ERROR), "");
	enum log_level level;
	EXPECT_TRUE(log_level_parse("debug", &level));
	EXPECT_EQ(level, LOG_DEBUG);
	EXPECT_FALSE(log_level_parse("chatty", &level));
}

TEST(Log, RepeatsOfOneEventAreRateLimited)
{
	int lines = 0;

	log_init(LOG_INFO, "n1");
	for (int i = 0; i < 3 * LOG_LIMIT_BURST; i++)
		lines += !log_output("event=again").empty();
	EXPECT_GE(lines, LOG_LIMIT_BURST);
	EXPECT_LT(lines, 3 * LOG_LIMIT_BURST);
	EXPECT_NE(log_output("event=other"), "");
}
