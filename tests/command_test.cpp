#include "jd_test.hpp"

#include <fstream>
#include <regex>
#include <set>
#include <sstream>

#include "process.hpp"

extern "C" {
#include "cli/exit_code.h"
}

namespace
{

std::string read_source(const std::string &name)
{
	std::ifstream in(std::string(JD_SOURCE_DIR) + "/" + name);
	std::stringstream s;

	s << in.rdbuf();
	return s.str();
}

// The long options in @text without their dashes; troff writes \- for -.
std::set<std::string> options(std::string text)
{
	std::set<std::string> all;
	std::regex option("(^|[^-a-z])--([a-z][a-z-]*)");

	text = std::regex_replace(text, std::regex("\\\\-"), "-");
	for (std::sregex_iterator it(text.begin(), text.end(), option), end;
	     it != end; ++it)
		all.insert((*it)[2]);
	return all;
}

} // namespace

TEST(Command, ManualPagesListTheOptionsOfTheProgram)
{
	EXPECT_EQ(options(read_source("docs/jackdaw.1")),
		  options(jd::run(jd::binary("jackdaw") + " --help").out));
	EXPECT_EQ(options(read_source("docs/jackdawd.1")),
		  options(jd::run(jd::binary("jackdawd") + " --help").out));
}

TEST(Command, TheManualPageHasTheTableOfCommands)
{
	jd::Result r = jd::run(jd::binary("jackdaw") + " reference commands");

	EXPECT_EQ(r.code, CLI_OK);
	EXPECT_NE(read_source("docs/jackdaw.1").find(r.out), std::string::npos)
		<< "docs/jackdaw.1 should have:\n"
		<< r.out;
}

TEST(Command, ReferencePagesMatchTheTables)
{
	EXPECT_EQ(read_source("docs/SETTINGS.md"),
		  jd::run(jd::binary("jackdaw") + " reference settings").out);
	EXPECT_EQ(read_source("docs/MANIFEST.md"),
		  jd::run(jd::binary("jackdaw") + " reference manifest").out);
}

TEST(Command, InvalidArgumentsAreRejected)
{
	for (const char *args : {"", "sing", "check", "check a b", "where a",
				 "--wait", "--timeout-s x status"})
		EXPECT_EQ(jd::run(jd::binary("jackdaw") + " " + args).code,
			  CLI_FINDINGS)
			<< args;
}

TEST(Command, CheckPrintsAllFindings)
{
	std::string path = std::string(JD_BINARY_DIR) + "/command_test." +
			   std::to_string(getpid()) + ".toml";
	std::ofstream(path) << "[[route]]\nname = 3\ncolour = 1\n";
	jd::Result r = jd::run(jd::binary("jackdaw") + " check " + path);

	EXPECT_EQ(r.code, CLI_FINDINGS);
	EXPECT_NE(r.out.find(":2:8: route[0].name"), std::string::npos);
	EXPECT_NE(r.out.find(":3:10: route[0].colour"), std::string::npos);
	r = jd::run(jd::binary("jackdaw") + " --json check " + path);
	EXPECT_EQ(r.code, CLI_FINDINGS);
	EXPECT_NE(r.out.find("\"field\": \"route[0].colour\""),
		  std::string::npos)
		<< r.out;
}

TEST(Command, FailsWithoutAStore)
{
	std::string store = " --store " + jd::loopback(jd::free_port()) + " ";

	for (const char *args : {"status", "where a b", "drain n",
				 "confirm-lost n", "diff /dev/null"})
		EXPECT_EQ(jd::run(jd::binary("jackdaw") + store + args).code,
			  CLI_FAILED)
			<< args;
}
