#include "jd_test.hpp"

extern "C" {
#include "core/keeper.h"
#include "core/mem.h"
}

// A keeper with one kept node "n2"; work() answers store calls at once.
class KeeperTest : public ::testing::Test
{
protected:
	void SetUp() override
	{
		mem_copy_str(opts.name, "n1", sizeof(opts.name));
		mem_copy_str(opts.dc, "a", sizeof(opts.dc));
		opts.timing = timing_default;
		opts.seed = 7;
		ctx_init(&c, &opts);
		keeper_init(&k);
		actions_init(&out);
		c.out = &out;
		c.now_ns = NS_PER_S;
		roster = doc_new(DOC_ROSTER, "b");
		roster->revision = 5;
		roster->u.roster = roster_new("b", "r");
		struct member *m = roster_add(roster->u.roster, "n2", 42);
		m->keeper = c.self;
		m->term = 1;
		heartbeat(1);
		work();
	}

	void TearDown() override
	{
		actions_done(&out);
		keeper_done(&k);
		ctx_done(&c);
		doc_delete(roster);
	}

	void heartbeat(uint64_t term)
	{
		struct message *m = message_new(MSG_HEARTBEAT);

		m->from = 42;
		mem_copy_str(m->u.heartbeat.dc, "b", sizeof(m->u.heartbeat.dc));
		m->u.heartbeat.term = term;
		m->u.heartbeat.sent_ns = c.now_ns;
		keeper_on_heartbeat(&k, &c, m);
		message_delete(m);
	}

	void answer(const struct act_store &s)
	{
		struct ev_store ev = {};
		struct call *call = ctx_remove_call(&c, s.op);

		list_init(&ev.docs);
		ev.op = s.op;
		if (s.kind == STORE_CAS && s.key.kind == DOC_ROSTER) {
			doc_delete(roster);
			roster = doc_copy(s.doc);
			roster->revision = s.revision + 1;
		}
		struct doc *d = s.key.kind == DOC_ROSTER
					? doc_copy(roster)
					: doc_new(s.key.kind, s.key.name);
		list_push_back(&ev.docs, &d->link);
		keeper_on_store(&k, &c, call, &ev);
		docs_delete(&ev.docs);
		free(call);
	}

	// Runs the keeper until nothing is left to do; returns the acks sent.
	int work()
	{
		struct action *a;
		int acks = 0;

		keeper_work(&k, &c);
		while ((a = actions_pop(&out))) {
			if (a->kind == ACT_STORE)
				answer(a->u.store);
			if (a->kind == ACT_SEND &&
			    a->u.send.message->kind == MSG_HEARTBEAT_ACK)
				acks++;
			action_delete(a);
			keeper_work(&k, &c);
		}
		return acks;
	}

	// Applies the roster to the view, as from another node.
	void apply_roster()
	{
		view_apply(&c.view, doc_copy(roster));
	}

	// This keeper has taken the entry over from keeper 99.
	void take_over()
	{
		struct member *m = roster_find(roster->u.roster, 42);

		m->term = 2;
		m->former_keeper = 99;
		roster->revision++;
		apply_roster();
		c.now_ns += 300 * NS_PER_MS;
		work();
	}

	enum member_state state()
	{
		struct member *m = roster_find(roster->u.roster, 42);

		return m ? m->state : MEMBER_LEAVING;
	}

	struct node_opts opts = {};
	struct ctx c;
	struct keeper k;
	struct actions out;
	struct doc *roster;
};

TEST_F(KeeperTest, AnswersAfterTheEntryWasReadFromTheStore)
{
	heartbeat(1);
	EXPECT_EQ(work(), 1);
}

TEST_F(KeeperTest, RevokesASilentNodeWaitsTheLeaseAndRemovesIt)
{
	for (int i = 0; i < 4; i++) {
		c.now_ns += 200 * NS_PER_MS;
		work();
	}
	EXPECT_EQ(state(), MEMBER_REVOKED);
	heartbeat(1);
	EXPECT_EQ(work(), 0) << "a revoked node is answered";
	for (int i = 0; i < 6; i++) {
		c.now_ns += 200 * NS_PER_MS;
		work();
		EXPECT_EQ(state(), MEMBER_REVOKED) << "removed too early";
	}
	c.now_ns += 200 * NS_PER_MS;
	work();
	EXPECT_EQ(roster_find(roster->u.roster, 42), nullptr);
}

TEST_F(KeeperTest, AHeartbeatAfterAPauseIsNotMovedIntoTheFuture)
{
	c.now_ns += 60 * NS_PER_S;
	heartbeat(1);
	work();
	for (int i = 0; i < 5; i++) {
		c.now_ns += 200 * NS_PER_MS;
		work();
	}
	EXPECT_EQ(state(), MEMBER_REVOKED);
}

TEST_F(KeeperTest,
       ASilentNodeTakenOverIsRevokedOnlyOnceItsFormerKeeperCannotAnswer)
{
	take_over();
	for (int i = 0; i < 10; i++) {
		c.now_ns += 200 * NS_PER_MS;
		work();
	}
	EXPECT_EQ(state(), MEMBER_UP);
	roster_find(roster->u.roster, 42)->former_keeper = 0;
	roster->revision++;
	apply_roster();
	for (int i = 0; i < 6; i++) {
		c.now_ns += 200 * NS_PER_MS;
		work();
	}
	EXPECT_EQ(state(), MEMBER_REVOKED);
}

TEST_F(KeeperTest, AHeartbeatUnderTheNewTermCompletesATakeover)
{
	take_over();
	heartbeat(2);
	EXPECT_EQ(work(), 1);
	for (int i = 0; i < 5; i++) {
		c.now_ns += 200 * NS_PER_MS;
		work();
	}
	EXPECT_EQ(state(), MEMBER_REVOKED);
	EXPECT_EQ(roster_find(roster->u.roster, 42)->former_keeper, 0u);
}

TEST_F(KeeperTest, AFormerKeeperStopsAnsweringAndClearsItsName)
{
	struct member *m = roster_find(roster->u.roster, 42);

	m->keeper = 99;
	m->term = 2;
	m->former_keeper = c.self;
	roster->revision++;
	apply_roster();
	c.now_ns += 300 * NS_PER_MS;
	work();
	EXPECT_EQ(roster_find(roster->u.roster, 42)->former_keeper, 0u);
	heartbeat(1);
	EXPECT_EQ(work(), 0);
}

TEST_F(KeeperTest, ItsOwnPauseDoesNotCountAsSilenceOfItsNodes)
{
	c.now_ns += 5 * NS_PER_S;
	work();
	EXPECT_EQ(state(), MEMBER_UP);
	heartbeat(1);
	EXPECT_EQ(work(), 1);
}

TEST_F(KeeperTest, WithoutAuthorityItSendsNothingUntilTheStoreAnswers)
{
	c.now_ns += timing_default.authority_ns + NS_PER_S;
	heartbeat(1);
	keeper_work(&k, &c);
	for (struct action *a; (a = actions_pop(&out));) {
		EXPECT_NE(a->kind, ACT_SEND);
		action_delete(a);
	}
}
