#include "jd_test.hpp"

#include <fstream>
#include <map>
#include <set>

#include "process.hpp"

extern "C" {
#include "cli/exit_code.h"
}

namespace
{

// Writes a manifest with @timeout_ms to a file; returns its path.
std::string manifest(int timeout_ms)
{
	std::string path = jd::binary("rollout_test." +
				      std::to_string(getpid()) + ".toml");
	std::ofstream(path)
		<< "[[data_centre]]\nname = \"a\"\nregion = \"r\"\n"
		   "[[data_centre]]\nname = \"b\"\nregion = \"r\"\n"
		   "[[route]]\nname = \"archive\"\nservice = \"archive\"\n"
		   "path = \"/archive/\"\nkind = \"keyed\"\n"
		   "key_source = \"path\"\nkey_segment = 1\nshards = 64\n"
		   "timeout_ms = "
		<< timeout_ms << "\n";
	return path;
}

class Rollout : public testing::Test
{
protected:
	Rollout()
	    : n1("r1", "a", "r", store.addr()),
	      n2("r2", "b", "r", store.addr()), n3("r3", "b", "r", store.addr())
	{
	}

	bool all_serve()
	{
		return n1.serves() && n2.serves() && n3.serves();
	}

	// A restarted process has no manifest until its first read.
	void restart(jd::Node *n)
	{
		booting.insert(n);
		n->start();
	}

	// A node's manifest revision must never fall, even over a restart.
	void check_revisions()
	{
		for (jd::Node *n : {&n1, &n2, &n3}) {
			long now = n->number("manifest_revision");

			if (now < 0 || (!now && booting.count(n)))
				continue;
			booting.erase(n);
			EXPECT_GE(now, newest_seen[n]) << n->name;
			newest_seen[n] = std::max(newest_seen[n], now);
		}
	}

	jd::Store store;
	jd::Node n1, n2, n3;
	std::map<jd::Node *, long> newest_seen;
	std::set<jd::Node *> booting;
};

} // namespace

TEST_F(Rollout, WaitsUntilEveryNodeHasTheManifest)
{
	ASSERT_EQ(store.jackdaw("apply " + manifest(1000)).code, CLI_OK);
	ASSERT_TRUE(jd::eventually([&] { return all_serve(); }));
	jd::Result r =
		store.jackdaw("--wait --timeout-s 60 apply " + manifest(1001));
	EXPECT_EQ(r.code, CLI_OK) << r.out;
	EXPECT_NE(r.out.find("in force on 3 nodes"), std::string::npos)
		<< r.out;
	long revision = n1.number("manifest_revision");
	EXPECT_EQ(n2.number("manifest_revision"), revision);
	EXPECT_EQ(n3.number("manifest_revision"), revision);
}

TEST_F(Rollout, ALaggingNodeIsPrintedAndCatchesUp)
{
	ASSERT_EQ(store.jackdaw("apply " + manifest(1000)).code, CLI_OK);
	ASSERT_TRUE(jd::eventually([&] { return all_serve(); }));
	check_revisions();
	kill(n3.daemon->pid, SIGSTOP);
	jd::Result r =
		store.jackdaw("--wait --timeout-s 0 apply " + manifest(1001));
	EXPECT_EQ(r.code, CLI_TIMED_OUT) << r.out;
	EXPECT_NE(r.out.find("lags: r3 in b"), std::string::npos) << r.out;
	kill(n3.daemon->pid, SIGCONT);
	r = store.jackdaw("--wait --timeout-s 60 apply " + manifest(1001));
	EXPECT_EQ(r.code, CLI_OK) << r.out;
	EXPECT_NE(r.out.find("already in force"), std::string::npos) << r.out;
	check_revisions();
}

TEST_F(Rollout, NoRevisionFallsOverAStoreOutageAndARestartOfAllNodes)
{
	ASSERT_EQ(store.jackdaw("apply " + manifest(1000)).code, CLI_OK);
	ASSERT_TRUE(jd::eventually([&] { return all_serve(); }));
	check_revisions();
	store.fault("{\"down_ms\":600000}");
	EXPECT_EQ(store.jackdaw("apply " + manifest(1001)).code, CLI_FAILED);
	check_revisions();
	store.fault("{}");
	ASSERT_EQ(store.jackdaw("--wait --timeout-s 60 apply " + manifest(1002))
			  .code,
		  CLI_OK);
	check_revisions();
	for (jd::Node *n : {&n1, &n2, &n3})
		restart(n);
	EXPECT_TRUE(jd::eventually([&] {
		check_revisions();
		return all_serve();
	}));
	jd::Result r = store.jackdaw("diff " + manifest(1002));
	EXPECT_NE(r.out.find("no change"), std::string::npos) << r.out;
}

// A node that is paused during a change and resumes while the store is down
// must not restore the older manifest once the store answers again.
TEST_F(Rollout, APausedNodeDoesNotRestoreAnOlderManifest)
{
	ASSERT_EQ(store.jackdaw("apply " + manifest(1000)).code, CLI_OK);
	ASSERT_TRUE(jd::eventually([&] { return all_serve(); }));
	kill(n2.daemon->pid, SIGSTOP);
	ASSERT_EQ(store.jackdaw("apply " + manifest(1001)).code, CLI_OK);
	long wanted = 0;
	ASSERT_TRUE(jd::eventually([&] {
		wanted = n1.number("manifest_revision");
		return wanted == n3.number("manifest_revision") &&
		       store.jackdaw("diff " + manifest(1001))
				       .out.find("revision " +
						 std::to_string(wanted)) !=
			       std::string::npos;
	}));
	check_revisions();
	store.fault("{\"down_ms\":1500}");
	kill(n2.daemon->pid, SIGCONT);
	EXPECT_TRUE(jd::eventually([&] {
		check_revisions();
		return n2.number("manifest_revision") == wanted && all_serve();
	}));
	EXPECT_EQ(n1.number("manifest_revision"), wanted);
}

// Kills each node in turn, so that keepers of other nodes are lost too; the
// rollout must wait only for the remaining nodes.
TEST_F(Rollout, ALostNodeDoesNotBlockTheRollout)
{
	ASSERT_EQ(store.jackdaw("apply " + manifest(1000)).code, CLI_OK);
	ASSERT_TRUE(jd::eventually([&] { return all_serve(); }));
	for (jd::Node *n : {&n1, &n2, &n3}) {
		n->stop(SIGKILL);
		jd::Result r = store.jackdaw("--wait --timeout-s 60 apply " +
					     manifest(1001 + n->http));
		EXPECT_EQ(r.code, CLI_OK) << r.out;
		EXPECT_NE(r.out.find("in force on 2 nodes"), std::string::npos)
			<< r.out;
		restart(n);
		ASSERT_TRUE(jd::eventually([&] { return all_serve(); }));
		check_revisions();
	}
}
