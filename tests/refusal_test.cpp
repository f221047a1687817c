#include "jd_test.hpp"

#include <fstream>
#include <sstream>

extern "C" {
#include "core/refusal.h"
}

static std::string read_interface_page()
{
	std::ifstream f(JD_SOURCE_DIR "/docs/INTERFACE.md");
	std::stringstream s;

	s << f.rdbuf();
	return s.str();
}

TEST(Refusal, EachIsInTheInterfacePageWithItsHttpStatus)
{
	const std::string text = read_interface_page();

	for (int i = REFUSAL_NONE + 1; i < REFUSAL_COUNT; i++) {
		const struct refusal_info *r = refusal_find((enum refusal)i);
		ASSERT_NE(r->name, nullptr);
		std::string row = std::string("| `") + r->name + "` | ";
		size_t at = text.find(row);

		ASSERT_NE(at, std::string::npos) << row;
		std::string line = text.substr(at, text.find('\n', at) - at);
		EXPECT_NE(line.find(std::to_string(r->http_code)),
			  std::string::npos)
			<< line;
	}
}

// A 503 would make callers send a request again that may have run.
TEST(Refusal, RequestsThatMayHaveRunNeverGetA503)
{
	for (enum refusal r : {REFUSAL_CONNECTION_LOST, REFUSAL_NO_ANSWER,
			       REFUSAL_ANSWER_TOO_LARGE}) {
		EXPECT_NE(refusal_find(r)->http_code, 503);
		EXPECT_FALSE(refusal_find(r)->retry);
	}
}
