#include "core_fixture.hpp"

extern "C" {
#include "core/sweep.h"
}

class SweepTest : public CoreFixture
{
protected:
	void SetUp() override
	{
		struct doc *d = doc_new(DOC_MANIFEST, "");
		struct route *r;

		CoreFixture::SetUp();
		sweep_init(&s);
		d->u.manifest = manifest_new();
		r = manifest_add_route(d->u.manifest);
		mem_copy_str(r->name, "orders", sizeof(r->name));
		mem_copy_str(r->service, "book", sizeof(r->service));
		r->shards = 4;
		put(d);
		d = roster("b");
		add(d, "n2", 42, 0);
		put(d);
		put_map(1, 99);
		sync();
	}

	void TearDown() override
	{
		sweep_done(&s);
		CoreFixture::TearDown();
	}

	void put_map(epoch_t epoch, incarnation_t owner)
	{
		struct doc *d = doc_new(DOC_MAP, "orders");

		d->u.map = shard_map_new("orders", 4);
		for (int i = 0; i < 4; i++) {
			d->u.map->shards[i].owner = owner;
			d->u.map->shards[i].epoch = epoch;
		}
		put(d);
	}

	struct action *start_sweep()
	{
		sweep_request(&s);
		sweep_work(&s, &c);
		return next_call();
	}

	void answer(struct action *a)
	{
		struct ev_store ev;

		serve(a, &ev);
		struct call *call = ctx_remove_call(&c, ev.op);
		sweep_on_store(&s, &c, call, &ev);
		docs_delete(&ev.docs);
		free(call);
		action_delete(a);
	}

	struct shard shard(uint32_t i)
	{
		struct doc *d = doc_store_read(&store, DOC_MAP, "orders");
		struct shard sh = d->u.map->shards[i];

		doc_delete(d);
		return sh;
	}

	struct sweep s;
};

TEST_F(SweepTest, ReassignsOrphanedShardsUnderTheNextEpoch)
{
	for (struct action *a = start_sweep(); a; a = next_call())
		answer(a);
	EXPECT_EQ(shard(0).owner, 42u);
	EXPECT_EQ(shard(0).epoch, 2u);
}

TEST_F(SweepTest, ReadsTheMapsBeforeTheRosters)
{
	struct action *a = start_sweep();

	EXPECT_EQ(a->u.store.kind, STORE_LIST);
	EXPECT_EQ(a->u.store.key.kind, DOC_MAP);
	answer(a);
	a = next_call();
	EXPECT_EQ(a->u.store.kind, STORE_LIST);
	EXPECT_EQ(a->u.store.key.kind, DOC_ROSTER);
	answer(a);
}

TEST_F(SweepTest, AMapWrittenSinceItWasReadIsNotOverwritten)
{
	struct action *a = start_sweep();

	answer(a);
	a = next_call();
	answer(a);
	/* Another sweep wrote the map, and this node's view has it already. */
	put_map(2, 43);
	sync();
	a = next_call();
	ASSERT_EQ(a->u.store.kind, STORE_CAS);
	answer(a);
	EXPECT_EQ(shard(0).owner, 43u);
	EXPECT_EQ(shard(0).epoch, 2u);
}

TEST_F(SweepTest, AnOwnerThatIsRevokedButNotRemovedKeepsItsShards)
{
	struct doc *d = roster("c");

	add(d, "n9", 99, 0)->state = MEMBER_REVOKED;
	put(d);
	for (struct action *a = start_sweep(); a; a = next_call())
		answer(a);
	EXPECT_EQ(shard(0).owner, 99u);
	EXPECT_EQ(shard(0).epoch, 1u);
}
