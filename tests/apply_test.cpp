#include "jd_test.hpp"

#include <fstream>
#include <thread>

#include "process.hpp"

extern "C" {
#include "cli/exit_code.h"
}

namespace
{

const std::string demo = std::string(JD_SOURCE_DIR) + "/examples/demo.toml";

// Writes the demo's manifest with @timeout_ms to a file; returns its path.
std::string demo_with_timeout(int timeout_ms)
{
	std::string path = std::string(JD_BINARY_DIR) + "/apply_test." +
			   std::to_string(getpid()) + "." +
			   std::to_string(timeout_ms) + ".toml";
	std::ifstream in(demo);
	std::ofstream out(path);
	std::string line;

	while (std::getline(in, line))
		out << (line.rfind("timeout_ms", 0) == 0
				? "timeout_ms = " + std::to_string(timeout_ms)
				: line)
		    << "\n";
	return path;
}

std::string timeout_in_force(const jd::Store &store)
{
	jd::Result r = store.jackdaw("diff " + demo);
	size_t at = r.out.find("timeout_ms: ");

	return at == std::string::npos
		       ? r.out
		       : r.out.substr(at + 12, r.out.find(" ->", at) - at - 12);
}

} // namespace

TEST(Apply, ARepeatedApplyChangesNothing)
{
	jd::Store store;
	jd::Result first = store.jackdaw("apply " + demo);
	jd::Result again = store.jackdaw("apply " + demo);

	EXPECT_EQ(first.code, CLI_OK) << first.out;
	EXPECT_NE(first.out.find("applied: revision"), std::string::npos);
	EXPECT_EQ(again.code, CLI_OK) << again.out;
	EXPECT_NE(again.out.find("already in force"), std::string::npos)
		<< again.out;
}

TEST(Apply, JsonOutputIsOneObjectPerLine)
{
	jd::Store store;
	jd::Result r = store.jackdaw("--json --wait apply " + demo);

	EXPECT_NE(r.out.find("{\"result\":\"applied\",\"revision\":2}\n"
			     "{\"result\":\"in_force\",\"nodes\":0,"),
		  std::string::npos)
		<< r.out;
	r = store.jackdaw("--json apply " + demo);
	EXPECT_EQ(r.out, "{\"result\":\"already\",\"revision\":2}\n");
}

TEST(Apply, AfterALostAnswerTheManifestIsReadBack)
{
	jd::Store store;

	store.fault("{\"lose_answers\":1}");
	jd::Result r = store.jackdaw("apply " + demo);
	EXPECT_EQ(r.code, CLI_OK) << r.out;
	EXPECT_NE(r.out.find("reading back"), std::string::npos) << r.out;
	EXPECT_NE(r.out.find("applied: revision"), std::string::npos) << r.out;
	r = store.jackdaw("apply " + demo);
	EXPECT_NE(r.out.find("already in force"), std::string::npos) << r.out;
}

TEST(Apply, FailsWhileTheStoreIsDown)
{
	jd::Store store;

	store.fault("{\"down_ms\":60000}");
	EXPECT_EQ(store.jackdaw("apply " + demo).code, CLI_FAILED);
	store.fault("{}");
	EXPECT_EQ(store.jackdaw("apply " + demo).code, CLI_OK);
}

// Concurrent applies over one revision on a slow store must not overwrite each
// other: one succeeds and its manifest is in force, each other reports a
// conflict.
TEST(Apply, OnlyOneOfConcurrentAppliesSucceeds)
{
	const int operators = 4;
	jd::Store store;
	jd::Result results[operators];
	std::vector<std::thread> threads;

	ASSERT_EQ(store.jackdaw("apply " + demo).code, CLI_OK);
	ASSERT_NE(
		store.jackdaw("diff " + demo).out.find("revision in force: 2"),
		std::string::npos);
	store.fault("{\"slow_ms\":300}");
	for (int i = 0; i < operators; i++)
		threads.emplace_back([&, i] {
			results[i] = store.jackdaw("--on 2 apply " +
						   demo_with_timeout(1000 + i));
		});
	for (std::thread &t : threads)
		t.join();
	store.fault("{}");
	int succeeded = 0;
	std::string output;
	for (int i = 0; i < operators; i++) {
		output += results[i].out;
		if (results[i].code == CLI_OK) {
			succeeded++;
			EXPECT_EQ(timeout_in_force(store),
				  std::to_string(1000 + i));
		} else {
			EXPECT_EQ(results[i].code, CLI_CONFLICT);
			EXPECT_NE(results[i].out.find("conflict"),
				  std::string::npos);
		}
	}
	EXPECT_EQ(succeeded, 1) << output;
}

TEST(Apply, OnReplacesOnlyTheGivenRevision)
{
	jd::Store store;

	ASSERT_EQ(store.jackdaw("--on 0 apply " + demo).code, CLI_OK);
	for (const char *on : {"1", "3", "x", "2x"})
		EXPECT_EQ(store.jackdaw("--on '" + std::string(on) +
					"' apply " + demo_with_timeout(999))
				  .code,
			  CLI_CONFLICT)
			<< on;
	EXPECT_EQ(store.jackdaw("--on '' apply " + demo).code, CLI_FINDINGS);
	EXPECT_EQ(store.jackdaw("--on 1 apply " + demo).code, CLI_OK);
	EXPECT_EQ(store.jackdaw("--on 2 apply " + demo_with_timeout(999)).code,
		  CLI_OK);
}

TEST(Apply, AChangeOfTheShardCountIsRejected)
{
	jd::Store store;
	std::string path = demo_with_timeout(1);

	ASSERT_EQ(store.jackdaw("apply " + demo).code, CLI_OK);
	jd::run("sed -i 's/shards = 256/shards = 128/; "
		"s/timeout_ms = 1/timeout_ms = 900/' " +
		path);
	jd::Result r = store.jackdaw("apply " + path);
	EXPECT_EQ(r.code, CLI_FINDINGS);
	EXPECT_NE(r.out.find("route[0].shards"), std::string::npos) << r.out;
	EXPECT_EQ(store.jackdaw("check " + path).code, CLI_OK);
}

TEST(Apply, WaitSucceedsWithoutNodes)
{
	jd::Store store;
	jd::Result r = store.jackdaw("--wait --timeout-s 5 apply " + demo);

	EXPECT_EQ(r.code, CLI_OK);
	EXPECT_NE(r.out.find("in force on 0 nodes"), std::string::npos)
		<< r.out;
}
