/* jackdaw platform against a fake store. */
#include "jd_test.hpp"

#include "process.hpp"

extern "C" {
#include "core/mem.h"
#include "fakes/kv_server.h"
#include "platform/records.h"
}

static const char CONFIG[] =
	"{\"version\":\"0000000c\",\"routes\":[{\"name\":\"r\",\"host\":\"h\","
	"\"pathPrefix\":\"/x/\",\"type\":\"idempotent\",\"timeoutS\":1,"
	"\"targetLatencyS\":0.5,\"priority\":1,\"service\":\"archive\","
	"\"maxAttempts\":2,\"allowedRegions\":[]}],\"services\":["
	"{\"name\":\"archive\",\"sharded\":true}],\"limits\":{}}";

static void put_record(struct kv_server *server, struct record *r)
{
	char key[256];
	char *value = record_value(r);

	record_key(r->kind, r->name, key, sizeof(key));
	kv_server_put_base64(server, key, value);
	free(value);
	record_delete(r);
}

/*
 * Starts a store in a child process. It has one node, which owns half of the
 * keys; the owner of the other half has no card.
 */
static pid_t start_store(const std::string &addr)
{
	pid_t pid = fork();

	if (pid)
		return pid;
	struct event_base *base = event_base_new();
	struct kv_server_opts o = {};

	o.base = base;
	o.addr = addr.c_str();
	struct kv_server *server = kv_server_new(&o);
	struct record *card = record_new(RECORD_CARD, "n1");
	struct record *map = record_new(RECORD_KEYMAP, "archive");

	kv_server_put(server, "op/config", CONFIG);
	kv_server_put(server, "op/evacuate/dc9", "{}");
	mem_copy_str(card->u.card.node, "n1", sizeof(card->u.card.node));
	mem_copy_str(card->u.card.dc, "dc1", sizeof(card->u.card.dc));
	mem_copy_str(card->u.card.service, "archive",
		     sizeof(card->u.card.service));
	mem_copy_str(card->u.card.upstream.node, "n1", JD_NODE_NAME_MAX);
	mem_copy_str(card->u.card.upstream.instance, "i-1", JD_INSTANCE_MAX);
	card->u.card.upstream.born = 7;
	map->u.keymap = keymap_new("archive");
	map->u.keymap->fence = 3;
	struct keyrow *a = keymap_append_row(map->u.keymap, 0, 32767);
	struct keyrow *b = keymap_append_row(map->u.keymap, 32768, 65535);

	a->owner = card->u.card.upstream;
	a->fence = 2;
	mem_copy_str(b->owner.node, "n2", JD_NODE_NAME_MAX);
	b->fence = 3;
	put_record(server, card);
	put_record(server, map);
	event_base_dispatch(base);
	_exit(0);
}

struct PlatformView : public ::testing::Test {
	int port = jd::free_port();
	pid_t pid = start_store(jd::loopback(port));

	PlatformView()
	{
		EXPECT_TRUE(
			jd::eventually([&] { return jd::is_listening(port); }));
	}
	~PlatformView() override
	{
		kill(pid, SIGKILL);
		waitpid(pid, nullptr, 0);
	}
	jd::Result jackdaw(const std::string &args) const
	{
		return jd::run(jd::binary("jackdaw") + " --store " +
			       jd::loopback(port) + " platform " + args);
	}
};

TEST_F(PlatformView, StatusShowsNodesAndKeysWithoutANode)
{
	jd::Result r = jackdaw("status");

	EXPECT_EQ(r.code, 2) << r.out;
	for (const char *part :
	     {"era=1 revision=5 config=12", "fence=3 revision=5 ",
	      "data_centre=dc9 out=1", "node=n1 data_centre=dc1",
	      "upstream=i-1 node=n1 keys=32768 rows=1",
	      "keys_without_node=32768"})
		EXPECT_NE(r.out.find(part), std::string::npos) << part;
}

TEST_F(PlatformView, WhereNamesTheOwnerOfAKey)
{
	jd::Result r = jackdaw("where archive 100");

	EXPECT_EQ(r.code, 0);
	EXPECT_NE(r.out.find("upstream=i-1 node=n1 fence=2 from=0 to=32767"),
		  std::string::npos)
		<< r.out;
	EXPECT_NE(jackdaw("where archive 65536").code, 0);
	EXPECT_NE(jackdaw("where other 1").code, 0);
}

TEST_F(PlatformView, CheckRejectsAnInvalidDocument)
{
	std::string path = jd::binary("config." + std::to_string(getpid()));
	FILE *f = fopen(path.c_str(), "w");

	fputs(CONFIG, f);
	fclose(f);
	EXPECT_EQ(jackdaw("check " + path).code, 0);
	f = fopen(path.c_str(), "w");
	fputs("{\"version\":\"0000000c\"", f);
	fclose(f);
	EXPECT_EQ(jackdaw("check " + path).code, 2);
	unlink(path.c_str());
}

TEST_F(PlatformView, CheckShowsWhatOperatorsCantHaveMeant)
{
	std::string path = jd::binary("config." + std::to_string(getpid()));
	std::string text = CONFIG;
	FILE *f = fopen(path.c_str(), "w");
	jd::Result r;

	text.replace(text.find("\"maxAttempts\":2"), 15, "\"maxAttempts\":0");
	fputs(text.c_str(), f);
	fclose(f);
	EXPECT_EQ(jackdaw("check " + path).code, 2);
	r = jackdaw("check " + path + " --json");
	EXPECT_EQ(r.code, 2);
	EXPECT_NE(r.out.find("route[0].max_attempts"), std::string::npos)
		<< r.out;
	f = fopen(path.c_str(), "w");
	fputs(CONFIG, f);
	fclose(f);
	r = jackdaw("check " + path + " --json");
	EXPECT_EQ(r.code, 0);
	EXPECT_EQ(r.out, "[]\n");
	unlink(path.c_str());
}

TEST(PlatformViewWithoutStore, StatusFails)
{
	jd::Result r =
		jd::run(jd::binary("jackdaw") + " --store " +
			jd::loopback(jd::free_port()) + " platform status");

	EXPECT_NE(r.code, 0);
}
