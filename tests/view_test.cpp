#include "jd_test.hpp"

#include <cstdio>

extern "C" {
#include "core/invariant.h"
#include "core/mem.h"
#include "core/view.h"
}

namespace
{

class View : public ::testing::Test
{
protected:
	void SetUp() override
	{
		view_init(&v);
	}

	void TearDown() override
	{
		view_done(&v);
	}

	static struct doc *roster(const char *dc, revision_t revision)
	{
		struct doc *d = doc_new(DOC_ROSTER, dc);

		d->revision = revision;
		d->u.roster = roster_new(dc, "region");
		return d;
	}

	static struct doc *map(revision_t revision, epoch_t epoch)
	{
		struct doc *d = doc_new(DOC_MAP, "r");

		d->revision = revision;
		d->u.map = shard_map_new("r", 8);
		for (int i = 0; i < 8; i++)
			d->u.map->shards[i] = {epoch, 0, epoch};
		return d;
	}

	struct view v;
};

TEST_F(View, FindsMembersByIncarnationWithTheirRoster)
{
	const struct roster *r = nullptr;
	struct doc *d = roster("dc1", 2);

	/* Two members in the same bucket. */
	roster_add(d->u.roster, "a", 7);
	roster_add(d->u.roster, "b", 7 + VIEW_BUCKETS);
	view_apply(&v, d);
	EXPECT_STREQ(view_member(&v, 7 + VIEW_BUCKETS, &r)->name, "b");
	EXPECT_STREQ(r->dc, "dc1");
	EXPECT_EQ(view_member(&v, 8, nullptr), nullptr);
}

TEST_F(View, ADocumentThatASnapshotLacksIsRemovedForGood)
{
	struct doc *d = doc_new(DOC_PLANNER, "");
	struct list docs;

	d->revision = 5;
	d->u.planner.holder = 7;
	view_apply(&v, d);
	list_init(&docs);
	list_push_back(&docs, &roster("dc1", 8)->link);
	view_snapshot(&v, 9, &docs);
	EXPECT_EQ(view_planner(&v).holder, 0u);
	EXPECT_NE(view_roster(&v, "dc1"), nullptr);
	EXPECT_EQ(v.revision, 9u);
	d = doc_new(DOC_PLANNER, "");
	d->revision = 6;
	d->u.planner.holder = 7;
	EXPECT_FALSE(view_apply(&v, d));
	EXPECT_EQ(view_planner(&v).holder, 0u);
}

/*
 * A snapshot does not name removed documents, so a node that lags may still
 * send one afterwards.
 */
TEST_F(View, ARemovedDocumentFromALaggingNodeIsDropped)
{
	struct doc *d = doc_new(DOC_PLANNER, "");
	struct list docs;

	list_init(&docs);
	view_snapshot(&v, 9, &docs);
	d->revision = 5;
	d->u.planner.holder = 7;
	EXPECT_FALSE(view_apply(&v, d));
	EXPECT_EQ(view_planner(&v).holder, 0u);
}

TEST_F(View, DropsMembersOfAReplacedRoster)
{
	struct doc *d = roster("dc1", 2);

	roster_add(d->u.roster, "a", 7);
	view_apply(&v, d);
	d = roster("dc1", 3);
	roster_add(d->u.roster, "b", 9);
	view_apply(&v, d);
	EXPECT_EQ(view_member(&v, 7, nullptr), nullptr);
	ASSERT_NE(view_member(&v, 9, nullptr), nullptr);
	d = doc_new(DOC_ROSTER, "dc1");
	d->revision = 4;
	view_apply(&v, d);
	EXPECT_EQ(view_member(&v, 9, nullptr), nullptr);
}

TEST_F(View, CountsTheNodesOfAKeeperOverAllRosters)
{
	struct doc *d = roster("dc1", 2);

	roster_add(d->u.roster, "a", 7);
	roster_add(d->u.roster, "b", 8)->keeper = 7;
	view_apply(&v, d);
	d = roster("dc2", 3);
	roster_add(d->u.roster, "c", 9)->keeper = 7;
	view_apply(&v, d);
	EXPECT_EQ(view_member(&v, 7, nullptr)->kept_count, 2u);
	view_apply(&v, roster("dc2", 4));
	EXPECT_EQ(view_member(&v, 7, nullptr)->kept_count, 1u);
}

TEST_F(View, IgnoresDocumentsThatAreNotNewer)
{
	EXPECT_TRUE(view_apply(&v, map(5, 2)));
	EXPECT_FALSE(view_apply(&v, map(5, 1)));
	EXPECT_FALSE(view_apply(&v, map(4, 1)));
	EXPECT_EQ(view_map(&v, "r")->shards[0].epoch, 2u);
}

TEST_F(View, AbortsWhenAnEpochFalls)
{
	invariant_set_sink([](const char *line) { fputs(line, stderr); });
	view_apply(&v, map(5, 2));
	EXPECT_DEATH(view_apply(&v, map(6, 1)), "epoch=2->1");
}

TEST_F(View, ASyncWithAGapDoesNotRaiseTheRevision)
{
	struct list docs;

	list_init(&docs);
	v.revision = 4;
	view_sync(&v, 5, 9, &docs);
	EXPECT_EQ(v.revision, 4u);
	view_sync(&v, 3, 9, &docs);
	EXPECT_EQ(v.revision, 9u);
}

TEST_F(View, CopiesNewerDocumentsByRisingRevision)
{
	struct list docs;
	revision_t last = 0;
	struct doc *d;
	int n = 0;

	list_init(&docs);
	view_apply(&v, roster("dc1", 7));
	view_apply(&v, map(5, 1));
	view_apply(&v, roster("dc2", 6));
	view_copy_newer(&v, 5, &docs);
	list_for_each_entry(d, &docs, link) {
		EXPECT_GT(d->revision, last);
		last = d->revision;
		n++;
	}
	EXPECT_EQ(n, 2);
	docs_delete(&docs);
}

} // namespace
