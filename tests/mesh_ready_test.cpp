#include "jd_test.hpp"

#include <map>

extern "C" {
#include "core/mem.h"
#include "core/mesh.h"
}

/* A node that starts beside "n2", and a store that was restored. */
struct MeshReadyTest : public ::testing::Test {
	struct mesh *mesh;
	uint64_t now = 100 * NS_PER_S;
	std::map<enum store_call_kind, uint64_t> calls; /* kind -> op */
	int probes = 0;

	MeshReadyTest()
	{
		struct mesh_opts opts = {};

		mem_copy_str(opts.node, "n1", sizeof(opts.node));
		mem_copy_str(opts.region, "r", sizeof(opts.region));
		opts.boot = 1;
		opts.lease_ns = 6 * NS_PER_S;
		opts.hold_max_ns = 10 * NS_PER_S;
		opts.announce_interval_ns = NS_PER_S;
		mesh = mesh_new(&opts, now);
		tick(0);
	}
	~MeshReadyTest() override
	{
		mesh_delete(mesh);
	}
	void handle(struct mesh_event *ev)
	{
		struct mesh_actions out;
		struct mesh_action *a;

		mesh_actions_init(&out);
		ev->now_ns = now;
		mesh_handle(mesh, ev, &out);
		while ((a = mesh_actions_pop(&out))) {
			if (a->kind == MA_STORE_CALL)
				calls[a->u.store.kind] = a->u.store.op;
			if (a->kind == MA_SEND &&
			    a->u.send.message->kind == MSG_LOAD)
				probes +=
					a->u.send.message->u.load.wants_report;
			mesh_action_delete(a);
		}
	}
	void tick(uint64_t ns)
	{
		struct mesh_event ev = {};

		now += ns;
		ev.kind = ME_TICK;
		handle(&ev);
	}
	/* Answers the call of @kind with a manifest and the card of @node. */
	void answer(enum store_call_kind kind, uint64_t version,
		    revision_t revision, const char *node)
	{
		struct mesh_event ev = {};
		struct record *r = record_new(RECORD_MANIFEST, "");

		ev.kind = ME_STORE_END;
		ev.u.store.op = calls[kind];
		ev.u.store.end = STORE_DONE;
		ev.u.store.era = revision_era(revision);
		ev.u.store.revision = revision;
		list_init(&ev.u.store.records);
		r->u.manifest = manifest_new();
		r->u.manifest->version = version;
		r->revision = revision;
		list_push_back(&ev.u.store.records, &r->link);
		if (node) {
			r = record_new(RECORD_CARD, node);
			r->revision = revision;
			r->u.card.boot = 2;
			mem_copy_str(r->u.card.peer_addr, node,
				     sizeof(r->u.card.peer_addr));
			mem_copy_str(r->u.card.region, "r",
				     sizeof(r->u.card.region));
			list_push_back(&ev.u.store.records, &r->link);
		}
		handle(&ev);
	}
	void report(uint64_t version)
	{
		struct mesh_event ev = {};

		now += NS_PER_MS;
		ev.kind = ME_MESSAGE;
		ev.u.message = message_new(MSG_LOAD);
		ev.u.message->from = 2;
		ev.u.message->to = 1;
		ev.u.message->u.load.manifest_version = version;
		handle(&ev);
	}
};

/*
 * Guards against a version that comes back: a node started after the store came
 * back from an older copy must not serve by the older manifest.
 */
TEST_F(MeshReadyTest, ANewProcessIsNotReadyWithAnOlderVersionThanOthersHave)
{
	answer(CALL_READ_ALL, 4, revision_make(2, 15), "n2");
	EXPECT_EQ(probes, 1);
	EXPECT_FALSE(mesh_ready(mesh));
	report(11);
	EXPECT_FALSE(mesh_ready(mesh));
	tick(5 * NS_PER_S);
	EXPECT_FALSE(mesh_ready(mesh));
	ASSERT_NE(calls[CALL_WATCH_ALL], 0u);
	answer(CALL_WATCH_ALL, 12, revision_make(2, 17), nullptr);
	EXPECT_TRUE(mesh_ready(mesh));
	/* Once ready it stays so. */
	report(13);
	EXPECT_TRUE(mesh_ready(mesh));
}

/* Nobody has the newer version any more: the older one is better than none. */
TEST_F(MeshReadyTest, ANewProcessIsReadyWhenNoNodeHasTheNewerVersion)
{
	answer(CALL_READ_ALL, 4, revision_make(2, 15), "n2");
	report(11);
	for (int i = 0; i < 29; i++) {
		report(4);
		tick(NS_PER_S);
		EXPECT_FALSE(mesh_ready(mesh)) << i;
	}
	tick(2 * NS_PER_S);
	EXPECT_TRUE(mesh_ready(mesh));
}

TEST_F(MeshReadyTest, ANewProcessIsReadyWhenAnotherNodeHasTheSameVersion)
{
	answer(CALL_READ_ALL, 11, revision_make(2, 15), "n2");
	EXPECT_FALSE(mesh_ready(mesh));
	report(11);
	EXPECT_TRUE(mesh_ready(mesh));
}

TEST_F(MeshReadyTest, ANewProcessDoesNotWaitForLostNodes)
{
	answer(CALL_READ_ALL, 11, revision_make(2, 15), "n2");
	EXPECT_LE(mesh_next_ns(mesh), now + 400 * NS_PER_MS);
	tick(400 * NS_PER_MS);
	EXPECT_TRUE(mesh_ready(mesh));
}

TEST_F(MeshReadyTest, AFirstNodeIsReadyAtOnce)
{
	answer(CALL_READ_ALL, 11, revision_make(2, 15), "n1");
	EXPECT_TRUE(mesh_ready(mesh));
}
