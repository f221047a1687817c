#include "jd_test.hpp"

#include <rapidcheck/gtest.h>

#include <map>
#include <set>

extern "C" {
#include "core/mem.h"
#include "core/placement.h"
}

namespace
{

/* Six data centres in three regions, each with the same number of nodes. */
class Fleet
{
public:
	Fleet()
	{
		view_init(&v);
		manifest = manifest_new();
		for (int i = 0; i < 6; i++) {
			struct data_centre *d =
				manifest_add_data_centre(manifest);

			mem_copy_str(d->name, dc(i).c_str(), JD_NAME_MAX);
			mem_copy_str(d->region, region(i).c_str(), JD_NAME_MAX);
		}
		route = {};
		mem_copy_str(route.name, "r", JD_NAME_MAX);
		mem_copy_str(route.service, "live", JD_NAME_MAX);
		route.kind = ROUTE_KEYED;
	}

	~Fleet()
	{
		view_done(&v);
	}

	static std::string dc(int i)
	{
		return "dc" + std::to_string(i);
	}

	static std::string region(int i)
	{
		return "region" + std::to_string(i % 3);
	}

	/* Gives the manifest to the view, which takes ownership; call once. */
	void apply_manifest()
	{
		struct doc *d = doc_new(DOC_MANIFEST, "");

		d->revision = ++revision;
		d->u.manifest = manifest;
		view_apply(&v, d);
	}

	void apply_roster(int i,
			  const std::map<incarnation_t, member_state> &members)
	{
		struct doc *d = doc_new(DOC_ROSTER, dc(i).c_str());

		d->revision = ++revision;
		d->u.roster = roster_new(dc(i).c_str(), region(i).c_str());
		for (const auto &[inc, state] : members) {
			struct member *m = roster_add(d->u.roster, "node", inc);

			m->state = state;
			mem_copy_str(m->service, "live", JD_NAME_MAX);
		}
		view_apply(&v, d);
	}

	/* Nodes 1000 * (i + 1) + k, k < n, in each data centre i. */
	void apply_rosters(int n)
	{
		for (int i = 0; i < 6; i++) {
			std::map<incarnation_t, member_state> m;

			for (int k = 0; k < n; k++)
				m[1000 * (i + 1) + k] = MEMBER_UP;
			apply_roster(i, m);
		}
	}

	struct view v;
	struct manifest *manifest;
	struct route route;
	revision_t revision = 0;
};

std::map<incarnation_t, uint32_t> loads(const struct shard_map *m)
{
	std::map<incarnation_t, uint32_t> l;

	for (uint32_t i = 0; i < m->count; i++)
		l[m->shards[i].target ? m->shards[i].target
				      : m->shards[i].owner]++;
	return l;
}

/* Finishes all moves, as the planner does when the owners have released. */
void finish_moves(struct shard_map *m)
{
	for (uint32_t i = 0; i < m->count; i++)
		if (m->shards[i].target)
			shard_assign(&m->shards[i], m->shards[i].target);
}

TEST(Placement, AssignsOrphansEvenly)
{
	Fleet f;
	struct shard_map *m = shard_map_new("r", 1024);

	f.apply_manifest();
	f.apply_rosters(2);
	EXPECT_EQ(placement_count_orphans(m, &f.v, &f.route), 1024u);
	EXPECT_EQ(placement_assign_orphans(m, &f.v, &f.route), 1024u);
	EXPECT_EQ(placement_count_orphans(m, &f.v, &f.route), 0u);
	for (const auto &[inc, load] : loads(m)) {
		EXPECT_GE(load, 1024u / 12) << inc;
		EXPECT_LE(load, 1024u / 12 + 1) << inc;
	}
	shard_map_delete(m);
}

TEST(Placement, LosingANodeMovesItsShardsOnly)
{
	Fleet f;
	struct shard_map *m = shard_map_new("r", 1024);

	f.apply_manifest();
	f.apply_rosters(2);
	placement_assign_orphans(m, &f.v, &f.route);
	uint32_t lost = loads(m)[1000];
	struct shard_map *before = shard_map_copy(m);
	f.apply_roster(0, {{1001, MEMBER_UP}});
	EXPECT_EQ(placement_assign_orphans(m, &f.v, &f.route), lost);
	for (uint32_t i = 0; i < m->count; i++) {
		if (before->shards[i].owner == 1000) {
			EXPECT_GT(m->shards[i].epoch, before->shards[i].epoch);
		} else {
			EXPECT_EQ(m->shards[i].owner, before->shards[i].owner);
		}
	}
	EXPECT_EQ(placement_plan_forced(m, &f.v, &f.route), 0u);
	EXPECT_EQ(placement_plan_balance(m, &f.v, &f.route), 0u);
	shard_map_delete(before);
	shard_map_delete(m);
}

/* All shards move to one node when their owner is lost. */
TEST(Placement, AShardOfALostOwnerGoesToTheTargetOfItsMove)
{
	Fleet f;
	struct shard_map *map = shard_map_new("r", 16);

	f.apply_manifest();
	f.apply_roster(0, {{1, MEMBER_UP}});
	f.apply_roster(1, {{2, MEMBER_UP}});
	for (uint32_t i = 0; i < map->count; i++)
		map->shards[i] = {9, 1, 4};
	EXPECT_EQ(placement_assign_orphans(map, &f.v, &f.route), 16u);
	for (uint32_t i = 0; i < map->count; i++) {
		EXPECT_EQ(map->shards[i].owner, 1u);
		EXPECT_EQ(map->shards[i].target, 0u);
		EXPECT_EQ(map->shards[i].epoch, 5u);
	}
	shard_map_delete(map);
}

/* The target is not eligible any more: the eligible node gets the shards. */
TEST(Placement, AShardOfALostOwnerDoesNotGoToALeavingTarget)
{
	Fleet f;
	struct shard_map *map = shard_map_new("r", 16);

	f.apply_manifest();
	f.apply_roster(0, {{1, MEMBER_LEAVING}});
	f.apply_roster(1, {{2, MEMBER_UP}});
	for (uint32_t i = 0; i < map->count; i++)
		map->shards[i] = {9, 1, 4};
	EXPECT_EQ(placement_assign_orphans(map, &f.v, &f.route), 16u);
	for (uint32_t i = 0; i < map->count; i++)
		EXPECT_EQ(map->shards[i].owner, 2u);
	shard_map_delete(map);
}

TEST(Placement, ARevokedOwnerKeepsItsShardsUntilItsEntryIsRemoved)
{
	Fleet f;
	struct shard_map *m = shard_map_new("r", 64);

	f.apply_manifest();
	f.apply_rosters(1);
	placement_assign_orphans(m, &f.v, &f.route);
	f.apply_roster(0, {{1000, MEMBER_REVOKED}});
	EXPECT_EQ(placement_assign_orphans(m, &f.v, &f.route), 0u);
	shard_map_delete(m);
}

TEST(Placement, ANewNodeGetsItsShareOfTheShards)
{
	Fleet f;
	struct shard_map *m = shard_map_new("r", 1024);

	f.apply_manifest();
	f.apply_rosters(2);
	placement_assign_orphans(m, &f.v, &f.route);
	f.apply_roster(
		0, {{1000, MEMBER_UP}, {1001, MEMBER_UP}, {1002, MEMBER_UP}});
	EXPECT_EQ(placement_plan_forced(m, &f.v, &f.route), 0u);
	uint32_t moved = placement_plan_balance(m, &f.v, &f.route);
	EXPECT_LE(moved, 1024u / 13 + 13);
	EXPECT_GE(moved, 1024u / 13 - 13);
	for (uint32_t i = 0; i < m->count; i++) {
		if (m->shards[i].target) {
			EXPECT_EQ(m->shards[i].target, 1002u);
		}
	}
	finish_moves(m);
	EXPECT_EQ(placement_plan_forced(m, &f.v, &f.route), 0u);
	EXPECT_EQ(placement_plan_balance(m, &f.v, &f.route), 0u);
	shard_map_delete(m);
}

/* A pinned key in a planned move counts for its target, as a shard does. */
TEST(Placement, APinnedKeyOfALostOwnerGetsANewOwner)
{
	Fleet f;
	struct shard_map *m = shard_map_new("r", 16);
	struct pinned_key *p = mem_new(struct pinned_key);

	mem_copy_str(p->key, "hot", sizeof(p->key));
	p->shard = {9, 1, 4};
	list_push_back(&m->pinned, &p->link);
	f.apply_manifest();
	f.apply_roster(0, {{1, MEMBER_LEAVING}});
	f.apply_roster(1, {{2, MEMBER_UP}});
	EXPECT_EQ(placement_assign_orphans(m, &f.v, &f.route), 17u);
	EXPECT_EQ(p->shard.owner, 2u);
	EXPECT_EQ(p->shard.epoch, 5u);
	shard_map_delete(m);
}

TEST(Placement, WithoutAnEligibleNodeNothingMoves)
{
	Fleet f;
	struct shard_map *m = shard_map_new("r", 64);

	f.apply_manifest();
	f.apply_roster(0, {{1000, MEMBER_LEAVING}});
	EXPECT_EQ(placement_assign_orphans(m, &f.v, &f.route), 0u);
	EXPECT_EQ(placement_plan_forced(m, &f.v, &f.route), 0u);
	shard_map_delete(m);
}

struct placed_member {
	incarnation_t inc;
	int dc;
	member_state state;
};

bool is_eligible(const Fleet &f, const placed_member &m)
{
	const struct data_centre *d = manifest_data_centre(
		view_manifest(&f.v), Fleet::dc(m.dc).c_str());

	return m.state == MEMBER_UP && d->state == DC_IN &&
	       region_set_allows(&f.route.home_regions,
				 Fleet::region(m.dc).c_str());
}

/*
 * For any states of nodes and data centres: a shard moves only to a node that
 * is up, in a data centre that is in, inside the home regions; a shard whose
 * owner is in a roster changes its owner only by a planned move; and once all
 * moves are finished, no more are planned.
 */
RC_GTEST_PROP(Placement, ShardsMoveOnlyToEligibleNodes, ())
{
	Fleet f;
	struct shard_map *m = shard_map_new("r", 256);
	std::map<incarnation_t, placed_member> members;
	incarnation_t next = 1;
	struct data_centre *d;

	list_for_each_entry(d, &f.manifest->data_centres, link)
		d->state = *rc::gen::element(DC_IN, DC_IN, DC_LEAVING, DC_OUT);
	f.apply_manifest();
	if (*rc::gen::arbitrary<bool>()) {
		f.route.home_regions.count = 1;
		mem_copy_str(f.route.home_regions.names[0], "region1",
			     JD_NAME_MAX);
	}
	for (int step = 0; step < 6; step++) {
		int dc = *rc::gen::inRange(0, 6);
		std::map<incarnation_t, member_state> list;

		for (auto it = members.begin(); it != members.end();)
			it = it->second.dc == dc ? members.erase(it)
						 : std::next(it);
		int n = *rc::gen::inRange(0, 5);
		for (int k = 0; k < n; k++) {
			auto s = *rc::gen::element(MEMBER_UP, MEMBER_UP,
						   MEMBER_LEAVING,
						   MEMBER_REVOKED);
			list[next] = s;
			members[next] = {next, dc, s};
			next++;
		}
		f.apply_roster(dc, list);

		struct shard_map *before = shard_map_copy(m);
		placement_assign_orphans(m, &f.v, &f.route);
		for (uint32_t i = 0; i < m->count; i++) {
			const struct shard *a = &before->shards[i];
			const struct shard *b = &m->shards[i];

			if (a->owner == b->owner && a->epoch == b->epoch)
				continue;
			RC_ASSERT(!members.count(a->owner));
			RC_ASSERT(b->epoch > a->epoch);
			RC_ASSERT(is_eligible(f, members.at(b->owner)));
		}
		shard_map_delete(before);

		before = shard_map_copy(m);
		placement_plan_forced(m, &f.v, &f.route);
		placement_plan_balance(m, &f.v, &f.route);
		for (uint32_t i = 0; i < m->count; i++) {
			const struct shard *b = &m->shards[i];

			RC_ASSERT(b->owner == before->shards[i].owner);
			RC_ASSERT(b->epoch == before->shards[i].epoch);
			if (b->target != before->shards[i].target) {
				RC_ASSERT(
					is_eligible(f, members.at(b->target)));
			}
		}
		shard_map_delete(before);
		finish_moves(m);
		RC_ASSERT(placement_plan_forced(m, &f.v, &f.route) == 0u);
		RC_ASSERT(placement_plan_balance(m, &f.v, &f.route) == 0u);
	}
	shard_map_delete(m);
}

} // namespace
