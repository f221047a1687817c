#include "jd_test.hpp"

#include <cstdio>
#include <unistd.h>

extern "C" {
#include "platform/platform_settings.h"
}

static const char valid_file[] =
	"node=n1\nrole=x\n\nzone=z1\nregion=r1\nip=10.1.0.38\n"
	"listen.inbound=10.1.0.38:1\nlisten.outbound=10.1.0.38:2\n"
	"listen.readinessAddress=10.1.0.38:3\nlisten.control=10.1.0.38:4\n"
	"internalPorts=7380,7395\nseeds=\nheartbeatS=0.87\n"
	"bounds=graceS=6,drainS=2,maxHoldS=10,retryBudgetRatio=0.2,"
	"budgetWindowS=10,retryBudgetSlack=64,unknown=1\n"
	"appAddr=10.1.0.38:5\nservice=s1\nplatform.address=10.2.0.1:6\n"
	"platform.minTtlS=1\nnew.field=7";

static int read_settings(const std::string &text, struct platform_settings *s,
			 std::string *findings)
{
	char path[] = "/tmp/platform-settings-XXXXXX";
	int fd = mkstemp(path);
	struct findings f;
	const struct finding *it;
	int count;

	EXPECT_EQ(write(fd, text.data(), text.size()), (ssize_t)text.size());
	close(fd);
	findings_init(&f);
	platform_settings_read(s, path, &f);
	list_for_each_entry(it, &f.items, link)
		*findings += std::string(it->field) + " ";
	count = f.count;
	findings_done(&f);
	unlink(path);
	return count;
}

TEST(PlatformSettings, KnownFieldsAreReadAndOthersIgnored)
{
	struct platform_settings s;
	std::string findings;
	struct mesh_opts o;

	EXPECT_EQ(read_settings(valid_file, &s, &findings), 0) << findings;
	EXPECT_STREQ(s.caller_addr, "10.1.0.38:2");
	EXPECT_STREQ(s.peer_addr, "10.1.0.38:7380");
	EXPECT_DOUBLE_EQ(s.announce_interval_s, 0.87);
	EXPECT_DOUBLE_EQ(s.hold_max_s, 10);
	platform_settings_mesh_opts(&s, 9, 8, &o);
	EXPECT_EQ(o.stop_ns, 6 * NS_PER_S);
	EXPECT_EQ(o.boot, 9u);
	EXPECT_STREQ(o.dc, "z1");
}

TEST(PlatformSettings, TheFirstStartIsOptionalAndTrueOrFalse)
{
	std::string text = valid_file;
	struct platform_settings s;
	std::string findings;
	struct mesh_opts o;

	EXPECT_EQ(read_settings(text, &s, &findings), 0) << findings;
	EXPECT_FALSE(s.bootstrap);
	EXPECT_EQ(read_settings(text + "\nbootstrap=true", &s, &findings), 0);
	platform_settings_mesh_opts(&s, 9, 8, &o);
	EXPECT_TRUE(o.bootstrap);
	EXPECT_EQ(read_settings(text + "\nbootstrap=maybe", &s, &findings), 1);
	EXPECT_EQ(findings, "bootstrap ");
}

TEST(PlatformSettings, AllFindingsAreReportedTogether)
{
	struct platform_settings s;
	std::string findings;
	std::string bad = valid_file;

	bad.replace(bad.find("heartbeatS=0.87"), 15, "heartbeatS=soon");
	bad.replace(bad.find("appAddr=10.1.0.38:5"), 19, "appAddr=10.1.0.38");
	bad.replace(bad.find("service=s1"), 10, "sorvice=s1");
	EXPECT_EQ(read_settings(bad, &s, &findings), 3) << findings;
	EXPECT_NE(findings.find("heartbeatS"), std::string::npos);
	EXPECT_NE(findings.find("appAddr"), std::string::npos);
	EXPECT_NE(findings.find("service"), std::string::npos);
}

/* A process did not start with a name of 32 bytes, or a node's of 64. */
TEST(PlatformSettings, NamesMayHaveAnyLength)
{
	const std::string service(300, 's'), zone(40, 'z'), region(32, 'r');
	const std::string node(64, 'n');
	std::string text = valid_file, findings;
	struct platform_settings a, b;
	struct mesh_opts o;

	for (const auto &[from, to] :
	     {std::pair<std::string, std::string>("service=s1", service),
	      {"zone=z1", zone},
	      {"region=r1", region},
	      {"node=n1", node}})
		text.replace(text.find(from), from.size(),
			     from.substr(0, from.find('=') + 1) + to);
	EXPECT_EQ(read_settings(text, &a, &findings), 0) << findings;
	platform_settings_mesh_opts(&a, 9, 8, &o);
	EXPECT_EQ(mesh_service_name(&o), service);
	text.replace(text.find(service), service.size(), service + "2");
	text.replace(text.find(node), node.size(), node + "2");
	EXPECT_EQ(read_settings(text, &b, &findings), 0) << findings;
	EXPECT_STRNE(a.service, b.service);
	EXPECT_STRNE(a.node, b.node);
	EXPECT_STREQ(a.dc, b.dc);
	EXPECT_STREQ(a.region, b.region);
	platform_settings_done(&a);
	platform_settings_done(&b);
	EXPECT_EQ(read_settings(text + "\nservice=", &a, &findings), 1);
	EXPECT_EQ(findings, "service ");
	platform_settings_done(&a);
}

/* A number that its type could not hold had any value. */
TEST(PlatformSettings, ANumberThatDoesNotFitIsTheLargest)
{
	for (const char *n : {"1e9", "4294967296e9", "1e300", "inf"}) {
		std::string text = valid_file, findings;
		struct platform_settings s;
		struct mesh_opts o;

		text.replace(text.find("=64"), 3, std::string("=") + n);
		text.replace(text.find("drainS=2"), 8,
			     std::string("drainS=") + n);
		EXPECT_EQ(read_settings(text, &s, &findings), 0) << findings;
		platform_settings_mesh_opts(&s, 9, 8, &o);
		EXPECT_EQ(o.retry_slack, 1000000000u) << n;
		EXPECT_EQ(o.drain_ns, 1000000000 * NS_PER_S) << n;
	}
	std::string text = valid_file, findings;
	struct platform_settings s;

	text.replace(text.find("=64"), 3, "=nan");
	EXPECT_EQ(read_settings(text, &s, &findings), 1);
	EXPECT_EQ(findings, "retryBudgetSlack ");
}

TEST(PlatformSettings, MissingFileIsAFinding)
{
	struct platform_settings s;
	struct findings f;

	findings_init(&f);
	platform_settings_read(&s, "/nonexistent/settings", &f);
	EXPECT_EQ(f.count, 1);
	findings_done(&f);
}
