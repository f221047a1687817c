#include "jd_test.hpp"

extern "C" {
#include "core/finding.h"
}
#include "io/toml_reader.h"

extern "C" {
#include "io/manifest_reader.h"
}

// Number of findings in the manifest @text; their lines are appended to @all.
static int count_findings(const char *text, std::string *all = nullptr)
{
	struct findings f;
	struct finding *it;

	findings_init(&f);
	struct manifest *m = manifest_read("m.toml", text, &f);
	EXPECT_EQ(m == nullptr, f.count > 0);
	manifest_delete(m);
	findings_sort(&f);
	list_for_each_entry(it, &f.items, link) {
		char *line = finding_line(it);

		if (all)
			*all += std::string(line) + "\n";
		free(line);
	}
	int n = f.count;
	findings_done(&f);
	return n;
}

TEST(Findings, AllErrorsAreReportedWithTheirPositions)
{
	std::string all;

	EXPECT_EQ(count_findings("[[route]]\n"
				 "name = \"a b\"\n"
				 "service = \"s\"\n"
				 "path = \"/a\"\n"
				 "kind = \"round\"\n"
				 "shards = 0\n",
				 &all),
		  3);
	EXPECT_NE(all.find("m.toml:2:8: route[0].name"), std::string::npos)
		<< all;
	EXPECT_NE(all.find("m.toml:5:8: route[0].kind: expected one of keyed "
			   "any, found round"),
		  std::string::npos)
		<< all;
}

TEST(Findings, ASyntaxErrorIsOneFindingWithItsLine)
{
	std::string all;

	EXPECT_EQ(count_findings("[[route]\nname = 1\n", &all), 1);
	EXPECT_NE(all.find("m.toml:1:"), std::string::npos) << all;
}

TEST(Finding, ALineWithoutAPositionStatesNone)
{
	struct findings f;
	struct finding_opts o = {};
	char *line;

	o.file = "config";
	o.field = "route[0].path";
	o.expected = "a";
	o.found = "b";
	findings_init(&f);
	findings_add(&f, &o);
	line = finding_line(list_entry(f.items.next, struct finding, link));
	EXPECT_STREQ(line, "config: route[0].path: expected a, found b");
	free(line);
	findings_done(&f);
}
