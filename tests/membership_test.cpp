#include "core_fixture.hpp"

extern "C" {
#include "core/membership.h"
}

class MembershipTest : public CoreFixture
{
protected:
	void SetUp() override
	{
		CoreFixture::SetUp();
		membership_init(&m);
		membership_on_announcement(&m, "book", false);
	}

	void finish_call(struct action *a, bool answered = true)
	{
		struct ev_store ev;

		if (answered)
			serve(a, &ev);
		else
			leave_unanswered(a, &ev);
		struct call *call = ctx_remove_call(&c, ev.op);
		membership_on_store(&m, &c, call, &ev);
		docs_delete(&ev.docs);
		free(call);
		action_delete(a);
	}

	void run_to_idle()
	{
		membership_follow(&m, &c);
		membership_work(&m, &c);
		while (struct action *a = next_call()) {
			finish_call(a);
			membership_follow(&m, &c);
			membership_work(&m, &c);
		}
	}

	// A node that finds no planner delays its join by some seconds.
	void work()
	{
		run_to_idle();
		if (m.state != MEMBERSHIP_BOOT)
			return;
		c.now_ns += COLD_START_WAIT_NS;
		run_to_idle();
	}

	// Runs to the first write of the own entry; returns it unexecuted.
	struct action *first_write()
	{
		for (;;) {
			membership_work(&m, &c);
			struct action *a = next_call();
			if (a && a->u.store.kind == STORE_CAS)
				return a;
			if (a)
				finish_call(a);
			else
				c.now_ns += COLD_START_WAIT_NS;
		}
	}

	void revoke()
	{
		struct doc *d = doc_store_read(&store, DOC_ROSTER, "a");

		roster_find(d->u.roster, c.self)->state = MEMBER_REVOKED;
		put(d);
	}

	static const uint64_t COLD_START_WAIT_NS = 10 * NS_PER_S;
	struct membership m;
};

TEST_F(MembershipTest, JoinsUnderItsIncarnation)
{
	work();
	EXPECT_EQ(m.state, MEMBERSHIP_IN);
	EXPECT_EQ(entry("a", c.self).inc, c.self);
}

TEST_F(MembershipTest, DoesNotReuseAnIncarnationAfterAnUnansweredWrite)
{
	struct action *a = first_write();
	incarnation_t first = c.self;

	ASSERT_EQ(a->u.store.kind, STORE_CAS);
	finish_call(a, false);
	/* The read shows no entry: it may have been written and removed. */
	work();
	c.now_ns += NS_PER_S;
	work();
	EXPECT_EQ(m.state, MEMBERSHIP_IN);
	EXPECT_NE(c.self, first);
	EXPECT_EQ(entry("a", first).inc, 0u);
}

TEST_F(MembershipTest, DoesNotJoinAnEntryRevokedBeforeItWasRead)
{
	struct action *a = first_write();
	incarnation_t first = c.self;

	serve_lost(a);
	revoke();
	finish_call(a, false);
	work();
	c.now_ns += NS_PER_S;
	work();
	EXPECT_EQ(m.state, MEMBERSHIP_IN);
	EXPECT_NE(c.self, first);
	EXPECT_EQ(entry("a", first).state, MEMBER_REVOKED);
}

TEST_F(MembershipTest, ARevokedNodeRejoinsAsANewIncarnation)
{
	incarnation_t first;

	work();
	first = c.self;
	lease_confirm(&m.lease, c.now_ns, opts.timing.lease_ns);
	revoke();
	sync();
	membership_follow(&m, &c);
	EXPECT_FALSE(membership_may_serve(&m, &c));
	c.now_ns += NS_PER_S;
	work();
	EXPECT_EQ(m.state, MEMBERSHIP_IN);
	EXPECT_NE(c.self, first);
}

TEST_F(MembershipTest, AStoreReadExtendsTheLeaseFromItsSending)
{
	work();
	ASSERT_EQ(m.state, MEMBERSHIP_IN);
	c.now_ns += NS_PER_S;
	membership_work(&m, &c);
	struct action *a = next_call();
	ASSERT_NE(a, nullptr);
	ASSERT_EQ(a->u.store.kind, STORE_GET);
	uint64_t sent_ns = c.now_ns;
	c.now_ns += NS_PER_S;
	finish_call(a);
	EXPECT_EQ(m.lease.deadline_ns, sent_ns + opts.timing.lease_ns);
}

TEST_F(MembershipTest, IgnoresTheOldTermOnceAnotherKeeperIsAskedFor)
{
	struct doc *d = roster("b");

	add(d, "n2", 42, 0);
	add(d, "n3", 43, 0);
	put(d);
	work();
	ASSERT_EQ(m.state, MEMBERSHIP_IN);
	ASSERT_NE(m.keeper, 0u);
	for (int i = 0; i < 30; i++) {
		c.now_ns += 100 * NS_PER_MS;
		work();
	}
	ASSERT_GT(sent[MSG_ADOPT], 0);
	uint64_t before = m.lease.deadline_ns;
	struct message *ack = message_new(MSG_HEARTBEAT_ACK);
	ack->from = m.keeper;
	ack->u.heartbeat_ack.term = m.term;
	ack->u.heartbeat_ack.sent_ns = c.now_ns;
	membership_on_ack(&m, &c, ack);
	message_delete(ack);
	EXPECT_EQ(m.lease.deadline_ns, before);
}

TEST_F(MembershipTest, ARestartedNodeRevokesItsPredecessor)
{
	work();
	incarnation_t first = c.self;

	/* The process restarts and knows nothing of its former entry. */
	view_done(&c.view);
	view_init(&c.view);
	membership_init(&m);
	membership_on_announcement(&m, "book", false);
	c.self = first + 1;
	work();
	EXPECT_EQ(entry("a", c.self).state, MEMBER_UP);
	EXPECT_EQ(entry("a", first).state, MEMBER_REVOKED);
}

TEST_F(MembershipTest, IsLeavingWhileItsUpstreamDrainsAndUpAfterwards)
{
	work();
	EXPECT_EQ(entry("a", c.self).state, MEMBER_UP);
	membership_on_announcement(&m, "book", true);
	c.now_ns += NS_PER_S;
	work();
	EXPECT_EQ(entry("a", c.self).state, MEMBER_LEAVING);
	EXPECT_TRUE(m.leaving_for_upstream);
	membership_on_announcement(&m, "book", false);
	c.now_ns += NS_PER_S;
	work();
	EXPECT_EQ(entry("a", c.self).state, MEMBER_UP);
	work();
	EXPECT_FALSE(m.leaving_for_upstream);
}
