#include "core_fixture.hpp"

extern "C" {
#include "core/takeover.h"
}

static const incarnation_t NODE = 42;
static const incarnation_t KEEPER = 77;

static const uint64_t AUTHORITY_NS = 15 * NS_PER_S;

class TakeoverTest : public CoreFixture
{
protected:
	void SetUp() override
	{
		CoreFixture::SetUp();
		opts.timing.authority_ns = AUTHORITY_NS;
		takeover_init(&t);
	}

	void TearDown() override
	{
		takeover_done(&t);
		CoreFixture::TearDown();
	}

	void put_node(incarnation_t keeper, enum member_state state)
	{
		struct doc *d = roster("b");

		add(d, "n2", NODE, keeper)->state = state;
		put(d);
		sync();
	}

	void put_contact(uint64_t count)
	{
		struct doc *d = doc_new(DOC_CONTACT, "4d");

		d->u.contact.node = KEEPER;
		d->u.contact.count = count;
		put(d);
	}

	void finish_call(struct action *a)
	{
		struct ev_store ev;

		serve(a, &ev);
		struct call *call = ctx_remove_call(&c, ev.op);
		takeover_on_store(&t, &c, call, &ev);
		docs_delete(&ev.docs);
		free(call);
		action_delete(a);
	}

	void work()
	{
		takeover_work(&t, &c, true);
		while (struct action *a = next_call()) {
			finish_call(a);
			takeover_work(&t, &c, true);
		}
	}

	void run_for(uint64_t ns)
	{
		for (uint64_t end = c.now_ns + ns; c.now_ns < end;
		     c.now_ns += 100 * NS_PER_MS)
			work();
	}

	struct takeover t;
};

static const uint64_t LAPSE_NS = AUTHORITY_NS + timing_default.lease_ns;

TEST_F(TakeoverTest, ANodeWithoutAKeeperGetsOneAtOnce)
{
	put_node(0, MEMBER_UP);
	run_for(NS_PER_S);
	EXPECT_EQ(entry("b", NODE).keeper, c.self);
	EXPECT_EQ(entry("b", NODE).term, 2u);
	EXPECT_EQ(entry("b", NODE).former_keeper, 0u);
}

TEST_F(TakeoverTest, ARevokedNodeWhoseKeeperIsGoneStaysRevoked)
{
	put_node(KEEPER, MEMBER_REVOKED);
	run_for(NS_PER_S);
	EXPECT_EQ(entry("b", NODE).keeper, c.self);
	EXPECT_EQ(entry("b", NODE).state, MEMBER_REVOKED);
}

TEST_F(TakeoverTest, ASilentKeeperLosesItsNodesAfterItsAuthorityAndTheirLeases)
{
	put_contact(1);
	put_node(KEEPER, MEMBER_UP);
	run_for(LAPSE_NS);
	EXPECT_EQ(entry("b", NODE).keeper, KEEPER);
	run_for(8 * NS_PER_S);
	EXPECT_EQ(entry("b", NODE).keeper, c.self);
	EXPECT_EQ(entry("b", NODE).term, 2u);
}

TEST_F(TakeoverTest, AKeeperThatRenewsItsContactKeepsItsNodes)
{
	put_node(KEEPER, MEMBER_UP);
	for (uint64_t i = 1; i < 40; i++) {
		put_contact(i);
		run_for(2 * NS_PER_S);
	}
	EXPECT_EQ(entry("b", NODE).keeper, KEEPER);
}

TEST_F(TakeoverTest, AnEntryNamesTheFormerKeeperUntilALaterListShowsItSilent)
{
	bool taken_over = false;

	put_contact(1);
	put_node(KEEPER, MEMBER_UP);
	for (int i = 0; i < 300 && !taken_over; i++) {
		takeover_work(&t, &c, true);
		while (struct action *a = next_call())
			finish_call(a);
		taken_over = entry("b", NODE).keeper == c.self;
		c.now_ns += 100 * NS_PER_MS;
	}
	ASSERT_TRUE(taken_over);
	EXPECT_EQ(entry("b", NODE).former_keeper, KEEPER);
	/*
	 * The former keeper may have renewed its contact before the takeover
	 * and answer for a while.
	 */
	put_contact(2);
	run_for(LAPSE_NS - NS_PER_S);
	EXPECT_EQ(entry("b", NODE).former_keeper, KEEPER);
	run_for(8 * NS_PER_S);
	EXPECT_EQ(entry("b", NODE).former_keeper, 0u);
}

TEST_F(TakeoverTest, ItDoesNotTakeOverItsOwnEntry)
{
	struct doc *d = roster("a");

	add(d, "n1", c.self, KEEPER);
	put(d);
	sync();
	run_for(60 * NS_PER_S);
	EXPECT_EQ(entry("a", c.self).keeper, KEEPER);
}

TEST_F(TakeoverTest, RemovesContactsOfFormerNodes)
{
	struct doc *d;

	put_contact(1);
	run_for(6 * NS_PER_S);
	d = doc_store_read(&store, DOC_CONTACT, "4d");
	EXPECT_TRUE(doc_absent(d));
	doc_delete(d);
}
