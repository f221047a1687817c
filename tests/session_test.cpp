#include "jd_test.hpp"

#include <map>

extern "C" {
#include "core/mem.h"
#include "core/mesh.h"
}

/* A call of another module. */
static const uint64_t OTHER_OP = 1000;

/* One node of a small fleet, and the store as its answers show it. */
struct SessionTest : public ::testing::Test {
	struct mesh_opts opts = {};
	struct mesh_ctx c = {};
	struct mesh_actions out;
	struct session session;

	SessionTest()
	{
		mesh_actions_init(&out);
		mem_copy_str(opts.node, "n1", sizeof(opts.node));
		opts.boot = 7;
		opts.lease_ns = 6 * NS_PER_S;
		c.opts = &opts;
		c.out = &out;
		c.now_ns = 100 * NS_PER_S;
		directory_init(&c.dir, "r0");
		rng_init(&c.rng, 1);
		session_init(&session, &opts);
	}
	~SessionTest() override
	{
		directory_done(&c.dir);
		mesh_actions_done(&out);
	}
	/* Runs what is due; returns the calls that were started. */
	std::map<enum store_call_kind, struct act_store_call> work()
	{
		std::map<enum store_call_kind, struct act_store_call> calls;
		struct mesh_action *a;

		session_work(&session, &c);
		while ((a = mesh_actions_pop(&out))) {
			if (a->kind == MA_STORE_CALL)
				calls[a->u.store.kind] = a->u.store;
			mesh_action_delete(a);
		}
		return calls;
	}
	/* True if the era has risen; takes the records of @e. */
	bool end(struct ev_store_end *e)
	{
		bool risen;

		session_note_call_end(&session, &c, e->end);
		risen = session_note_era(&session, &c, e);
		session_on_end(&session, &c, e);
		records_delete(&e->records);
		return risen;
	}
	struct ev_store_end answer(uint64_t op, uint64_t era, uint64_t number)
	{
		struct ev_store_end e = {};

		e.op = op;
		e.end = STORE_DONE;
		e.era = era;
		e.revision = revision_make(era, number);
		e.lease = 5;
		e.ttl_ns = opts.lease_ns;
		return e;
	}
	bool end(uint64_t op, uint64_t era, uint64_t number)
	{
		struct ev_store_end e = answer(op, era, number);

		list_init(&e.records);
		return end(&e);
	}
	/* Answers what the node asks for until it may grant keys. */
	void register_in(uint64_t era, uint64_t number)
	{
		for (int i = 0; i < 10 && !session_authority_ns(&session);
		     i++) {
			for (auto &it : work())
				if (it.first != CALL_WATCH_ALL)
					end(it.second.op, era, number);
			c.now_ns += 500 * NS_PER_MS;
		}
		ASSERT_NE(session_authority_ns(&session), 0u);
	}
};

/*
 * Guards against OWNER after a restore of the store: lease ids are given out
 * again, so that a renewal may be confirmed for another node's lease.
 */
TEST_F(SessionTest, ARenewalConfirmedInALaterEraEndsTheLease)
{
	uint64_t op;

	register_in(1, 19);
	c.now_ns += 2 * NS_PER_S;
	op = work()[CALL_LEASE_KEEP].op;
	EXPECT_TRUE(end(op, 2, 15));
	EXPECT_EQ(session_authority_ns(&session), 0u);
	EXPECT_EQ(session.lease, 0u);
	register_in(2, 15);
	EXPECT_EQ(session.lease_era, 2u);
	EXPECT_EQ(c.dir.revision, revision_make(2, 15));
}

TEST_F(SessionTest, NoWriteDependsOnARevisionOfAnEarlierEra)
{
	struct act_store_call put;
	uint64_t op;

	register_in(1, 19);
	EXPECT_EQ(session.card_revision, revision_make(1, 19));
	c.now_ns += 2 * NS_PER_S;
	op = work()[CALL_LEASE_KEEP].op;
	end(op, 2, 15);
	for (int i = 0; i < 6; i++) {
		auto calls = work();

		if (calls.count(CALL_WRITE)) {
			put = calls[CALL_WRITE];
			ASSERT_EQ(put.expect_count, 1u);
			EXPECT_EQ(put.expect[0].revision, 0u);
			return;
		}
		for (auto &it : calls)
			end(it.second.op, 2, 15);
		c.now_ns += 500 * NS_PER_MS;
	}
	FAIL() << "the card was not written again";
}

/* The watch's answer begins at a number that the new history has passed. */
TEST_F(SessionTest, AWatchAnsweredInALaterEraIsFollowedByARead)
{
	struct ev_store_end e;
	struct record *r = record_new(RECORD_EVACUATION, "dc1");
	uint64_t op;

	register_in(1, 19);
	op = session.watch.op;
	ASSERT_NE(op, 0u);
	e = answer(op, 2, 25);
	list_init(&e.records);
	r->revision = revision_make(2, 24);
	list_push_back(&e.records, &r->link);
	EXPECT_TRUE(end(&e));
	EXPECT_EQ(c.dir.revision, revision_make(1, 19));
	EXPECT_FALSE(directory_dc_evacuated(&c.dir, "dc1"));
	c.now_ns += NS_PER_S;
	EXPECT_EQ(work().count(CALL_READ_ALL), 1u);
}

TEST_F(SessionTest, AnAnswerOfAnEarlierEraTellsNothing)
{
	uint64_t lease_new, read;

	register_in(1, 19);
	session.want_read_all = true;
	c.now_ns += NS_PER_S;
	read = work()[CALL_READ_ALL].op;
	ASSERT_NE(read, 0u);
	EXPECT_TRUE(end(OTHER_OP, 2, 15));
	c.now_ns += NS_PER_S;
	lease_new = work()[CALL_LEASE_NEW].op;
	ASSERT_NE(lease_new, 0u);
	EXPECT_FALSE(end(read, 1, 20));
	EXPECT_TRUE(session.want_read_all);
	EXPECT_EQ(c.dir.revision, revision_make(1, 19));
	EXPECT_FALSE(end(lease_new, 1, 20));
	EXPECT_EQ(session.lease, 0u);
	register_in(2, 15);
	EXPECT_EQ(c.dir.revision, revision_make(2, 15));
}

TEST_F(SessionTest, ChangesOfALaterEraOnlyCauseARead)
{
	struct message *m = message_new(MSG_CHANGES);

	register_in(1, 19);
	m->u.changes.from = revision_make(2, 14);
	m->u.changes.to = revision_make(2, 15);
	list_push_back(&m->u.changes.records,
		       &record_new(RECORD_EVACUATION, "dc1")->link);
	session_on_changes(&session, &c, &m->u.changes);
	EXPECT_EQ(c.dir.revision, revision_make(1, 19));
	m->u.changes.from = revision_make(1, 19);
	session_on_changes(&session, &c, &m->u.changes);
	message_delete(m);
	EXPECT_EQ(c.dir.revision, revision_make(1, 19));
	EXPECT_EQ(c.dir.era, 1u);
	EXPECT_NE(session_authority_ns(&session), 0u);
	c.now_ns += NS_PER_S;
	EXPECT_EQ(work().count(CALL_READ_ALL), 1u);
}

/* Nodes of an older build state no era. */
TEST_F(SessionTest, ChangesWithoutAnEraAreOfThePresentOne)
{
	struct message *m = message_new(MSG_CHANGES);
	struct record *r = record_new(RECORD_EVACUATION, "dc1");

	register_in(2, 15);
	m->u.changes.from = 15;
	m->u.changes.to = 16;
	r->revision = 16;
	list_push_back(&m->u.changes.records, &r->link);
	r = record_new(RECORD_CARD, "n2");
	r->revision = 16;
	list_push_back(&m->u.changes.records, &r->link);
	session_on_changes(&session, &c, &m->u.changes);
	message_delete(m);
	EXPECT_EQ(c.dir.revision, revision_make(2, 16));
	EXPECT_TRUE(directory_dc_evacuated(&c.dir, "dc1"));
	ASSERT_NE(directory_node(&c.dir, "n2"), nullptr);
	EXPECT_EQ(directory_node(&c.dir, "n2")->revision, revision_make(2, 16));
}

TEST_F(SessionTest, AnotherNodesRenewalCountsOnlyInTheEraOfTheLease)
{
	struct msg_renewed m = {};
	uint64_t deadline_ns;

	register_in(1, 19);
	deadline_ns = session_authority_ns(&session);
	m.lease = session.lease;
	m.sent_ns = c.now_ns;
	m.era = 2;
	session_on_renewed(&session, &c, &m);
	EXPECT_EQ(session_authority_ns(&session), deadline_ns);
	m.era = 1;
	session_on_renewed(&session, &c, &m);
	EXPECT_GT(session_authority_ns(&session), deadline_ns);
}

TEST_F(SessionTest, ASecondRestoreEndsTheLeaseAgain)
{
	register_in(1, 19);
	end(OTHER_OP, 2, 15);
	register_in(2, 15);
	EXPECT_TRUE(end(OTHER_OP, 3, 12));
	EXPECT_EQ(session_authority_ns(&session), 0u);
	register_in(3, 12);
	EXPECT_EQ(c.dir.revision, revision_make(3, 12));
}

/* A fleet that never ran before must not wait a lease time for its first keys.
 */
TEST_F(SessionTest, OnlyAtTheFirstStartOfAFleetIsItsEraSettledAtOnce)
{
	end(OTHER_OP, 1, 12);
	EXPECT_FALSE(directory_settled(&c.dir, c.now_ns));
	EXPECT_TRUE(directory_settled(&c.dir, c.now_ns + 7 * NS_PER_S));

	directory_done(&c.dir);
	directory_init(&c.dir, "r0");
	opts.bootstrap = true;
	end(OTHER_OP, 1, 12);
	EXPECT_TRUE(directory_settled(&c.dir, c.now_ns));
	EXPECT_TRUE(end(OTHER_OP, 2, 12));
	EXPECT_FALSE(directory_settled(&c.dir, c.now_ns));
}
