#include "jd_test.hpp"

extern "C" {
#include "core/mem.h"
#include "core/planner.h"
}

namespace
{

const uint64_t SETTLE_NS = 500 * NS_PER_MS;
const uint32_t SHARDS = 64;

/* A planner that holds the role; no store answers its calls. */
class Planner : public ::testing::Test
{
protected:
	void SetUp() override
	{
		mem_copy_str(opts.name, "n", sizeof(opts.name));
		opts.timing = timing_default;
		opts.seed = 1;
		ctx_init(&c, &opts);
		planner_init(&p);
		sweep_init(&s);
		actions_init(&out);
		c.out = &out;
		c.now_ns = NS_PER_S;
		p.is_planner = true;
		p.next_renew_ns = DEADLINE_NEVER;
		apply_manifest();
	}

	void TearDown() override
	{
		actions_done(&out);
		sweep_done(&s);
		planner_done(&p);
		ctx_done(&c);
	}

	void apply_manifest()
	{
		struct doc *d = doc_new(DOC_MANIFEST, "");
		struct route *r;

		d->revision = ++revision;
		d->u.manifest = manifest_new();
		r = manifest_add_route(d->u.manifest);
		mem_copy_str(r->name, "r", sizeof(r->name));
		mem_copy_str(r->service, "live", sizeof(r->service));
		r->kind = ROUTE_KEYED;
		r->shards = SHARDS;
		view_apply(&c.view, d);
		c.view.revision = revision;
	}

	/* Nodes 1..n; node @leaving is leaving, 0 for none. */
	void apply_roster(incarnation_t n, incarnation_t leaving = 0)
	{
		struct doc *d = doc_new(DOC_ROSTER, "dc");

		d->revision = ++revision;
		d->u.roster = roster_new("dc", "region");
		for (incarnation_t i = 1; i <= n; i++) {
			struct member *m = roster_add(d->u.roster, "node", i);

			mem_copy_str(m->service, "live", sizeof(m->service));
			m->state = i == leaving ? MEMBER_LEAVING : MEMBER_UP;
		}
		view_apply(&c.view, d);
		c.view.revision = revision;
	}

	/* Node 1 owns all shards at epoch 5; @target is that of shard 0. */
	void apply_map(incarnation_t target = 0)
	{
		struct doc *d = doc_new(DOC_MAP, "r");

		d->revision = ++revision;
		d->u.map = shard_map_new("r", SHARDS);
		for (uint32_t i = 0; i < SHARDS; i++)
			d->u.map->shards[i] = {1, 0, 5};
		d->u.map->shards[0].target = target;
		view_apply(&c.view, d);
		c.view.revision = revision;
	}

	void release(incarnation_t from, uint32_t shard, epoch_t epoch)
	{
		struct message *m = message_new(MSG_RELEASE);
		struct msg_release *r = &m->u.release;

		m->from = from;
		mem_copy_str(r->route, "r", sizeof(r->route));
		r->count = 1;
		r->shards = (uint32_t *)mem_zalloc(1, sizeof(uint32_t));
		r->epochs = (epoch_t *)mem_zalloc(1, sizeof(epoch_t));
		r->shards[0] = shard;
		r->epochs[0] = epoch;
		planner_on_release(&p, &c, m);
		message_delete(m);
	}

	/*
	 * Runs the planner once. Returns the map that it writes, owned by the
	 * caller, or nullptr for none.
	 */
	struct doc *work()
	{
		struct doc *d = nullptr;
		struct action *a;

		planner_work(&p, &c, &s, true);
		while ((a = actions_pop(&out))) {
			if (a->kind == ACT_STORE && !d &&
			    a->u.store.key.kind == DOC_MAP) {
				d = a->u.store.doc;
				a->u.store.doc = nullptr;
			}
			action_delete(a);
		}
		return d;
	}

	struct node_opts opts = {};
	struct ctx c;
	struct planner p;
	struct sweep s;
	struct actions out;
	revision_t revision = 0;
};

TEST_F(Planner, BalancesOnceTheRostersHaveSettled)
{
	apply_roster(2);
	apply_map();
	EXPECT_EQ(work(), nullptr);
	EXPECT_EQ(planner_next_ns(&p), c.now_ns + SETTLE_NS);
	c.now_ns += SETTLE_NS;
	struct doc *d = work();
	ASSERT_NE(d, nullptr);
	uint32_t to = 0;
	for (uint32_t i = 0; i < SHARDS; i++)
		to += d->u.map->shards[i].target == 2;
	EXPECT_NEAR(to, SHARDS / 2, 4);
	doc_delete(d);
}

TEST_F(Planner, BalancesAlthoughTheRostersKeepChanging)
{
	apply_roster(2);
	apply_map();
	for (int i = 0; i < 10; i++) {
		EXPECT_EQ(work(), nullptr) << i;
		c.now_ns += 300 * NS_PER_MS;
		apply_roster(2);
	}
	struct doc *d = work();
	EXPECT_NE(d, nullptr);
	doc_delete(d);
}

TEST_F(Planner, MovesShardsOffALeavingNodeAtOnce)
{
	apply_roster(2, 1);
	apply_map();
	struct doc *d = work();
	ASSERT_NE(d, nullptr);
	for (uint32_t i = 0; i < SHARDS; i++) {
		EXPECT_EQ(d->u.map->shards[i].owner, 1u);
		EXPECT_EQ(d->u.map->shards[i].epoch, 5u);
		EXPECT_EQ(d->u.map->shards[i].target, 2u);
	}
	doc_delete(d);
}

TEST_F(Planner, FinishesAMoveWhenTheOwnerReleasedThatEpoch)
{
	apply_roster(2);
	apply_map(2);
	work();
	release(1, 0, 5);
	c.now_ns += 200 * NS_PER_MS;
	struct doc *d = work();
	ASSERT_NE(d, nullptr);
	EXPECT_EQ(d->u.map->shards[0].owner, 2u);
	EXPECT_EQ(d->u.map->shards[0].epoch, 6u);
	EXPECT_EQ(d->u.map->shards[0].target, 0u);
	doc_delete(d);
}

TEST_F(Planner, IgnoresAReleaseOfAnotherEpochOrByAnotherNode)
{
	apply_roster(2);
	apply_map(2);
	work();
	release(1, 0, 4);
	release(2, 0, 5);
	release(1, SHARDS, 5);
	release(1, 1, 5); /* no move was planned */
	c.now_ns += 200 * NS_PER_MS;
	EXPECT_EQ(work(), nullptr);
}

TEST_F(Planner, WithoutTheRoleIgnoresReleases)
{
	p.is_planner = false;
	release(1, 0, 5);
	EXPECT_TRUE(list_empty(&p.releases));
}

TEST_F(Planner, RequestsASweepOfOrphanedShardsAtOnce)
{
	apply_roster(2);
	apply_map();
	apply_roster(0);
	apply_roster(1);
	/* Node 1 is back: nothing is orphaned. */
	EXPECT_EQ(work(), nullptr);
	EXPECT_FALSE(s.wanted);
	struct doc *d = doc_new(DOC_ROSTER, "dc");
	d->revision = ++revision;
	d->u.roster = roster_new("dc", "region");
	struct member *m = roster_add(d->u.roster, "node", 9);
	mem_copy_str(m->service, "live", sizeof(m->service));
	view_apply(&c.view, d);
	c.view.revision = revision;
	c.now_ns += 200 * NS_PER_MS;
	EXPECT_EQ(work(), nullptr);
	EXPECT_TRUE(s.wanted);
}

} // namespace
