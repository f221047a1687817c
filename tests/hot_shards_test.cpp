#include "jd_test.hpp"

#include <set>

extern "C" {
#include "core/hot_shards.h"
#include "core/mem.h"
}

namespace
{

const uint32_t SHARDS = 64;
const uint64_t NOW_NS = 100 * NS_PER_S;

class HotShards : public ::testing::Test
{
protected:
	void SetUp() override
	{
		struct doc *d = doc_new(DOC_ROSTER, "dc");

		view_init(&v);
		hot_shards_init(&h);
		mem_copy_str(route.name, "r", sizeof(route.name));
		mem_copy_str(route.service, "live", sizeof(route.service));
		d->revision = 1;
		d->u.roster = roster_new("dc", "region");
		for (incarnation_t i = 1; i <= 4; i++)
			mem_copy_str(roster_add(d->u.roster, "n", i)->service,
				     "live", JD_NAME_MAX);
		roster_find(d->u.roster, 4)->state = MEMBER_LEAVING;
		view_apply(&v, d);
		map = shard_map_new("r", SHARDS);
		for (uint32_t i = 0; i < SHARDS; i++)
			map->shards[i] = {1 + i % 3, 0, 1};
	}

	void TearDown() override
	{
		shard_map_delete(map);
		hot_shards_done(&h);
		view_done(&v);
	}

	void report(uint32_t shard, uint32_t rate, uint64_t now_ns = NOW_NS)
	{
		struct hot_report r = {};

		mem_copy_str(r.route, "r", sizeof(r.route));
		r.shard = shard;
		r.rate = rate;
		hot_shards_add(&h, &r, now_ns);
	}

	uint32_t plan(uint64_t now_ns = NOW_NS)
	{
		return hot_shards_plan(&h, map, &v, &route, now_ns);
	}

	struct view v;
	struct hot_shards h;
	struct route route = {};
	struct shard_map *map;
};

TEST_F(HotShards, ShardsOfOneOwnerMoveToDifferentNodes)
{
	report(0, 100); /* node 1 owns all three */
	report(3, 90);
	report(6, 80);
	EXPECT_EQ(plan(), 2u);
	std::set<incarnation_t> owners;
	for (uint32_t i : {0, 3, 6}) {
		const struct shard *s = &map->shards[i];

		owners.insert(s->target ? s->target : s->owner);
		EXPECT_EQ(s->owner, 1u);
		EXPECT_EQ(s->epoch, 1u);
		EXPECT_NE(s->target, 4u); /* is leaving */
	}
	EXPECT_EQ(owners.size(), 3u);
}

TEST_F(HotShards, TheOnlyHotShardOfAnOwnerStays)
{
	report(0, 100000);
	report(1, 10);
	EXPECT_EQ(plan(), 0u);
}

TEST_F(HotShards, ASmallGainIsNotWorthAMove)
{
	report(0, 100);
	report(3, 20); /* node 1 has 120; a move gives another 110 */
	report(1, 90);
	report(2, 90);
	EXPECT_EQ(plan(), 0u);
}

TEST_F(HotShards, AShardThatHasJustMovedStays)
{
	report(0, 100);
	report(3, 90);
	ASSERT_EQ(plan(), 1u);
	uint32_t moved = map->shards[0].target ? 0 : 3;
	shard_assign(&map->shards[moved], 2);
	/* Its new owner has two hot shards, but it has just moved. */
	report(1, 95, NOW_NS + 5 * NS_PER_S);
	report(moved, 90, NOW_NS + 5 * NS_PER_S);
	plan(NOW_NS + 5 * NS_PER_S);
	EXPECT_EQ(map->shards[moved].target, 0u);
}

TEST_F(HotShards, AShardNoLongerReportedIsRemoved)
{
	report(0, 100);
	report(3, 90);
	EXPECT_EQ(plan(NOW_NS + 31 * NS_PER_S), 0u);
	EXPECT_EQ(h.count, 0u);
}

TEST_F(HotShards, TheirNumberIsBounded)
{
	for (uint32_t i = 0; i < 1000; i++)
		report(i, i);
	EXPECT_EQ(h.count, (uint32_t)HOT_SHARDS_MAX);
	plan(); /* shards that the map does not have are ignored */
}

} // namespace
