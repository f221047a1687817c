#include "jd_test.hpp"

#include <rapidcheck/gtest.h>

extern "C" {
#include "core/directory.h"
#include "core/keymap.h"
#include "core/mem.h"
}

struct KeymapTest : public ::testing::Test {
	struct list candidates;
	struct keymap *map = keymap_new("s");

	KeymapTest()
	{
		list_init(&candidates);
	}
	~KeymapTest() override
	{
		keymap_delete(map);
		candidates_delete(&candidates);
	}
	struct keymap_candidate *add_candidate(const std::string &name)
	{
		struct keymap_candidate *c = mem_new(struct keymap_candidate);

		mem_copy_str(c->id.node, name.c_str(), sizeof(c->id.node));
		c->id.born = 1;
		c->weight = 1;
		c->keys = keymap_keys_of(map, &c->id);
		list_push_back(&candidates, &c->link);
		return c;
	}
};

TEST_F(KeymapTest, DealDistributesAllKeysEvenly)
{
	for (int i = 0; i < 6; i++)
		add_candidate("n" + std::to_string(i));
	keymap_deal(map, &candidates);
	EXPECT_TRUE(keymap_valid(map));
	struct keymap_candidate *c;

	list_for_each_entry(c, &candidates, link) {
		EXPECT_NEAR(keymap_keys_of(map, &c->id), KEYMAP_KEYS / 6.0,
			    KEYMAP_KEYS / 6.0 / KEYMAP_ROWS_PER_UPSTREAM);
		EXPECT_EQ(keymap_rows_of(map, &c->id),
			  KEYMAP_ROWS_PER_UPSTREAM);
	}
}

TEST_F(KeymapTest, MoveAssignsAFenceAboveAllOthers)
{
	struct keymap_candidate *a = add_candidate("a");
	struct keymap_candidate *b = add_candidate("b");

	keymap_deal(map, &candidates);
	struct keyrow *row = keymap_find(map, 0);
	uint64_t before = map->fence;

	keymap_move(map, row,
		    holder_equal(&row->owner, &a->id) ? &b->id : &a->id,
		    "proof");
	EXPECT_GT(row->fence, before);
	EXPECT_STREQ(row->handover, "proof");
	EXPECT_TRUE(keymap_valid(map));
}

/* Also those that the store no longer knows of. */
TEST_F(KeymapTest, FencesOfAnEraAreAboveAllOfEarlierEras)
{
	struct keymap_candidate *a = add_candidate("a");
	struct keyrow *row;

	keymap_raise_fence(map, keymap_fence_base(1));
	keymap_deal(map, &candidates);
	row = keymap_find(map, 0);
	EXPECT_GT(row->fence, keymap_fence_base(1));
	EXPECT_LT(row->fence, keymap_fence_base(2));
	keymap_raise_fence(map, keymap_fence_base(2));
	keymap_move(map, row, &a->id, "");
	EXPECT_GT(row->fence, keymap_fence_base(2));
	keymap_raise_fence(map, keymap_fence_base(1));
	keymap_renew_fences(map);
	EXPECT_GT(keymap_find(map, KEYMAP_KEYS - 1)->fence,
		  keymap_fence_base(2));
	EXPECT_TRUE(keymap_valid(map));
	/* Fences are passed on as integers of a JSON document. */
	EXPECT_LT(keymap_fence_base(UINT64_C(1) << REVISION_ERA_BITS),
		  UINT64_C(1) << 53);
}

TEST_F(KeymapTest, MergedRowsStayShortEnoughToBalance)
{
	add_candidate("a");
	keymap_deal(map, &candidates);
	keymap_merge_rows(map);
	add_candidate("b");
	EXPECT_TRUE(keymap_valid(map));
	EXPECT_TRUE(keymap_balance(map, &candidates));
	uint32_t targeted = 0;
	struct keyrow *r;

	list_for_each_entry(r, &map->rows, link)
		if (!strcmp(r->target, "b"))
			targeted += r->to - r->from + 1;
	EXPECT_GT(targeted, KEYMAP_KEYS / 3);
	EXPECT_LT(targeted, KEYMAP_KEYS * 2 / 3);
}

TEST_F(KeymapTest, BalanceLeavesABalancedMapUnchanged)
{
	add_candidate("a");
	add_candidate("b");
	add_candidate("c");
	keymap_deal(map, &candidates);
	EXPECT_FALSE(keymap_balance(map, &candidates));
}

TEST_F(KeymapTest, SplitCoversAllKeys)
{
	add_candidate("a");
	keymap_deal(map, &candidates);
	keymap_split(keymap_find(map, 100), 50);
	EXPECT_TRUE(keymap_valid(map));
	EXPECT_EQ(keymap_find(map, 49)->to, 49u);
}

RC_GTEST_PROP(Keymap, MovesLeaveEveryKeyInOneRow, ())
{
	struct keymap *map = keymap_new("s");
	struct list candidates;
	const auto count = *rc::gen::inRange(1, 9);
	const auto moves = *rc::gen::container<std::vector<int>>(
		rc::gen::inRange(0, (int)KEYMAP_KEYS));

	list_init(&candidates);
	for (int i = 0; i < count; i++) {
		struct keymap_candidate *c = mem_new(struct keymap_candidate);

		c->id.born = (uint64_t)i + 1;
		c->weight = 1;
		list_push_back(&candidates, &c->link);
	}
	keymap_deal(map, &candidates);
	for (int key : moves) {
		struct keyrow *r = keymap_find(map, (uint32_t)key);

		if ((uint32_t)key > r->from)
			r = keymap_split(r, (uint32_t)key);
		keymap_move(map, r, &keymap_least_loaded(&candidates)->id, "");
		keymap_merge_rows(map);
		RC_ASSERT(keymap_valid(map));
	}
	keymap_delete(map);
	candidates_delete(&candidates);
}
