#include "jd_test.hpp"

#include <algorithm>
#include <cmath>
#include <rapidcheck/gtest.h>
#include <set>

extern "C" {
#include "core/directory.h"
#include "core/keymap.h"
#include "core/mem.h"
#include "core/text.h"
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

/* Keys that have to move until nobody has too many or too few. */
static double keys_to_move(const struct keymap *map, struct list *candidates)
{
	struct keymap_candidate *c;
	double keys = 0, weight = 0, excess = 0, lack = 0;

	keymap_count_keys(map, candidates);
	list_for_each_entry(c, candidates, link) {
		keys += c->keys;
		weight += c->weight;
	}
	list_for_each_entry(c, candidates, link) {
		double share = keys * c->weight / weight;

		excess += std::max(0.0, c->keys - std::floor(1.25 * share));
		lack += std::max(0.0, std::max(1.0, std::floor(0.6 * share)) -
					      c->keys);
	}
	return std::max(excess, lack);
}

/* Carries the moves out as their owners would; returns the keys moved. */
static double carry_out_moves(struct keymap *map, struct list *candidates)
{
	struct keymap_candidate *c;
	struct keyrow *r;
	double moved = 0;

	list_for_each_entry(r, &map->rows, link) {
		if (!r->target[0])
			continue;
		list_for_each_entry(c, candidates, link)
			if (!strcmp(c->id.node, r->target))
				break;
		moved += r->to - r->from + 1;
		keymap_move(map, r, &c->id, "");
	}
	keymap_count_keys(map, candidates);
	return moved;
}

static void expect_balanced(struct keymap *map, struct list *candidates)
{
	struct keymap_spread s;
	double needed = keys_to_move(map, candidates);
	double moved = 0;
	int rounds = 0;

	while (keymap_balance(map, candidates)) {
		RC_ASSERT(keymap_valid(map));
		moved += carry_out_moves(map, candidates);
		/* A quarter of the upstreams give keys up in each. */
		RC_ASSERT(++rounds <= 6);
	}
	RC_ASSERT((rounds > 0) == (needed > 0));
	RC_ASSERT(moved <= 1.3 * needed);
	RC_ASSERT(keys_to_move(map, candidates) == 0);
	keymap_measure_spread(candidates, &s);
	RC_ASSERT(s.without_keys == 0u);
}

static struct keymap_candidate *new_candidate(int i, uint32_t weight)
{
	struct holder_id id = {};
	struct keymap_candidate *c;

	text_format(id.node, sizeof(id.node), "n%d", i);
	id.born = 1;
	c = keymap_candidate_new(&id);
	c->weight = weight;
	return c;
}

/* Dealt to some of the upstreams, in rows of any sizes. */
RC_GTEST_PROP(Keymap, AnyMapBecomesEven, ())
{
	struct keymap *map = keymap_new("s");
	const int count = *rc::gen::inRange(2, 711);
	const int dealt_to = *rc::gen::inRange(1, count + 1);
	const auto sizes = *rc::gen::container<std::vector<int>>(
		*rc::gen::inRange(1, 400), rc::gen::inRange(1, 2000));
	std::vector<struct keymap_candidate *> all;
	struct list candidates;
	uint32_t from = 0;

	list_init(&candidates);
	for (int i = 0; i < count; i++) {
		all.push_back(
			new_candidate(i, (uint32_t)*rc::gen::inRange(1, 5)));
		list_push_back(&candidates, &all.back()->link);
	}
	for (size_t i = 0; from < KEYMAP_KEYS; i++) {
		uint32_t end = std::min<uint32_t>(
			KEYMAP_KEYS, from + (uint32_t)sizes[i % sizes.size()]);
		struct keyrow *r = keymap_append_row(map, from, end - 1);

		r->owner = all[i * 7919 % (size_t)dealt_to]->id;
		r->fence = ++map->fence;
		from = end;
	}
	expect_balanced(map, &candidates);
	keymap_delete(map);
	candidates_delete(&candidates);
}

/*
 * Guards against balancing by whole rows only: a keymap dealt to one or two of
 * 76 upstreams has rows longer than any one's share, and none of them moved.
 */
TEST_F(KeymapTest, AMapDealtToAFewUpstreamsBecomesEven)
{
	for (int dealt_to : {1, 2, 5, 9, 19, 40, 76}) {
		struct keymap *m = keymap_new("s");
		struct keymap_spread s;
		struct list few, all;

		list_init(&few);
		list_init(&all);
		for (int i = 0; i < 76; i++)
			list_push_back(i < dealt_to ? &few : &all,
				       &new_candidate(i, 1)->link);
		keymap_deal(m, &few);
		list_splice_back(&all, &few);
		for (int i = 0; i < 6 && keymap_balance(m, &all); i++)
			carry_out_moves(m, &all);
		keymap_measure_spread(&all, &s);
		EXPECT_EQ(s.without_keys, 0u) << dealt_to;
		EXPECT_LE(s.busiest_over_mean, 1.25) << dealt_to;
		keymap_delete(m);
		candidates_delete(&all);
	}
}

/* Guards against keys taken from all upstreams, a few from each. */
TEST_F(KeymapTest, AFewUpstreamsGiveKeysToANewOne)
{
	std::set<std::string> givers;
	struct keyrow *r;

	for (int i = 0; i < 76; i++)
		add_candidate("n" + std::to_string(i));
	keymap_deal(map, &candidates);
	add_candidate("new");
	EXPECT_TRUE(keymap_balance(map, &candidates));
	list_for_each_entry(r, &map->rows, link)
		if (r->target[0])
			givers.insert(r->owner.node);
	EXPECT_LE(givers.size(), 6u);
}

TEST_F(KeymapTest, TheIndexFindsTheSameRows)
{
	for (int i = 0; i < 7; i++)
		add_candidate("n" + std::to_string(i));
	keymap_deal(map, &candidates);
	keymap_split(keymap_find(map, 100), 77);
	struct keymap *plain = keymap_copy(map);

	keymap_build_index(map);
	ASSERT_TRUE(map->indexed);
	for (uint32_t key = 0; key < KEYMAP_KEYS; key++)
		ASSERT_EQ(keymap_find(map, key)->from,
			  keymap_find(plain, key)->from)
			<< key;
	keymap_delete(plain);
}
