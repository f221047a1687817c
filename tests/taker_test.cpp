#include "core_rig.hpp"

extern "C" {
#include "core/taker.h"
}

static const incarnation_t NODE = 42;
static const incarnation_t KEEPER = 77;

static const uint64_t AUTHORITY_NS = 15 * NS_PER_S;

class TakerTest : public CoreRig
{
protected:
	void SetUp() override
	{
		CoreRig::SetUp();
		opts.timing.authority_ns = AUTHORITY_NS;
		taker_init(&t);
	}

	void TearDown() override
	{
		taker_done(&t);
		CoreRig::TearDown();
	}

	void add_node(incarnation_t keeper, enum member_state state)
	{
		struct doc *d = roster("b");

		add(d, "n2", NODE, keeper)->state = state;
		put(d);
		sync();
	}

	void contact(uint64_t count)
	{
		struct doc *d = doc_new(DOC_CONTACT, "4d");

		d->u.contact.node = KEEPER;
		d->u.contact.count = count;
		put(d);
	}

	void give(struct action *a)
	{
		struct ev_store ev;

		serve(a, &ev);
		struct call *call = ctx_take_call(&c, ev.op);
		taker_on_store(&t, &c, call, &ev);
		docs_delete(&ev.docs);
		free(call);
		action_delete(a);
	}

	void work()
	{
		taker_work(&t, &c, true);
		while (struct action *a = next_call()) {
			give(a);
			taker_work(&t, &c, true);
		}
	}

	void run_for(uint64_t ns)
	{
		for (uint64_t end = c.now_ns + ns; c.now_ns < end;
		     c.now_ns += 100 * NS_PER_MS)
			work();
	}

	struct taker t;
};

static const uint64_t SILENCE_NS = AUTHORITY_NS + timing_default.lease_ns;

TEST_F(TakerTest, ANodeWithoutAKeeperGetsOneAtOnce)
{
	add_node(0, MEMBER_UP);
	run_for(NS_PER_S);
	EXPECT_EQ(entry("b", NODE).keeper, c.self);
	EXPECT_EQ(entry("b", NODE).term, 2u);
	EXPECT_EQ(entry("b", NODE).former_keeper, 0u);
}

TEST_F(TakerTest, ARevokedNodeOfAKeeperThatIsGoneStaysRevoked)
{
	add_node(KEEPER, MEMBER_REVOKED);
	run_for(NS_PER_S);
	EXPECT_EQ(entry("b", NODE).keeper, c.self);
	EXPECT_EQ(entry("b", NODE).state, MEMBER_REVOKED);
}

TEST_F(TakerTest, ASilentKeeperKeepsItsNodesForItsAuthorityAndTheirLease)
{
	contact(1);
	add_node(KEEPER, MEMBER_UP);
	run_for(SILENCE_NS);
	EXPECT_EQ(entry("b", NODE).keeper, KEEPER);
	run_for(8 * NS_PER_S);
	EXPECT_EQ(entry("b", NODE).keeper, c.self);
	EXPECT_EQ(entry("b", NODE).term, 2u);
}

TEST_F(TakerTest, AKeeperInContactKeepsItsNodes)
{
	add_node(KEEPER, MEMBER_UP);
	for (uint64_t i = 1; i < 40; i++) {
		contact(i);
		run_for(2 * NS_PER_S);
	}
	EXPECT_EQ(entry("b", NODE).keeper, KEEPER);
}

TEST_F(TakerTest, TheOustedKeeperIsNamedUntilItIsSeenSilentAfterwards)
{
	bool taken = false;

	contact(1);
	add_node(KEEPER, MEMBER_UP);
	for (int i = 0; i < 300 && !taken; i++) {
		taker_work(&t, &c, true);
		while (struct action *a = next_call())
			give(a);
		taken = entry("b", NODE).keeper == c.self;
		c.now_ns += 100 * NS_PER_MS;
	}
	ASSERT_TRUE(taken);
	EXPECT_EQ(entry("b", NODE).former_keeper, KEEPER);
	/* It came back just before the take: it may answer for a while. */
	contact(2);
	run_for(SILENCE_NS - NS_PER_S);
	EXPECT_EQ(entry("b", NODE).former_keeper, KEEPER);
	run_for(8 * NS_PER_S);
	EXPECT_EQ(entry("b", NODE).former_keeper, 0u);
}

TEST_F(TakerTest, ItNeverTakesItsOwnEntry)
{
	struct doc *d = roster("a");

	add(d, "n1", c.self, KEEPER);
	put(d);
	sync();
	run_for(60 * NS_PER_S);
	EXPECT_EQ(entry("a", c.self).keeper, KEEPER);
}

TEST_F(TakerTest, ContactsOfNodesThatAreGoneAreRemoved)
{
	struct doc *d;

	contact(1);
	run_for(6 * NS_PER_S);
	d = doc_store_read(&store, DOC_CONTACT, "4d");
	EXPECT_TRUE(doc_absent(d));
	doc_delete(d);
}
