#include "jd_test.hpp"

#include <memory>
#include <rapidcheck/gtest.h>

extern "C" {
#include "core/keymap_delta.h"
#include "core/mem.h"
#include "core/text.h"
}

using Map = std::unique_ptr<struct keymap, decltype(&keymap_delete)>;

static Map owned(struct keymap *m)
{
	return {m, keymap_delete};
}

static struct holder_id holder_of(int i)
{
	struct holder_id id = {};

	text_format(id.node, sizeof(id.node), "n%d", i);
	id.born = 1;
	return id;
}

static Map dealt_to(int count)
{
	Map m = owned(keymap_new("s"));
	struct list candidates;
	struct keymap_candidate *c, *tmp;

	list_init(&candidates);
	for (int i = 0; i < count; i++) {
		struct holder_id id = holder_of(i);

		list_push_back(&candidates, &keymap_candidate_new(&id)->link);
	}
	keymap_deal(m.get(), &candidates);
	list_for_each_entry_safe(c, tmp, &candidates, link)
		free(c);
	return m;
}

static size_t row_count(const struct keymap *m)
{
	const struct keyrow *r;
	size_t n = 0;

	list_for_each_entry(r, &m->rows, link)
		n++;
	return n;
}

static bool same(const struct keymap *a, const struct keymap *b)
{
	return a->fence == b->fence && row_count(a) == row_count(b) &&
	       row_count(owned(keymap_delta_between(a, b)).get()) == 0;
}

TEST(KeymapDelta, HasOnlyTheRowsThatChanged)
{
	Map before = dealt_to(76);
	Map after = owned(keymap_copy(before.get()));
	struct holder_id id = holder_of(3);

	keymap_move(after.get(), keymap_find(after.get(), 40000), &id, "proof");
	Map delta = owned(keymap_delta_between(before.get(), after.get()));
	EXPECT_EQ(row_count(delta.get()), 1u);
	Map result = owned(keymap_delta_apply(before.get(), delta.get(),
					      keymap_digest(after.get())));
	ASSERT_NE(result, nullptr);
	EXPECT_TRUE(same(result.get(), after.get()));
	EXPECT_STREQ(keymap_find(result.get(), 40000)->handover, "proof");
}

TEST(KeymapDelta, OfAnotherBaseIsNotApplied)
{
	Map before = dealt_to(2);
	Map after = owned(keymap_copy(before.get()));
	Map other = dealt_to(3);
	struct holder_id id = holder_of(1);

	keymap_move(after.get(), keymap_find(after.get(), 0), &id, "");
	Map delta = owned(keymap_delta_between(before.get(), after.get()));
	EXPECT_EQ(keymap_delta_apply(other.get(), delta.get(),
				     keymap_digest(after.get())),
		  nullptr);
}

/* Two watchers collect changes differently: what one sent, the other repeats.
 */
TEST(KeymapDelta, IsAppliedToAKeymapInBetween)
{
	Map before = dealt_to(9);
	Map between = owned(keymap_copy(before.get()));
	struct holder_id id = holder_of(1);

	keymap_move(between.get(), keymap_find(between.get(), 0), &id, "");
	Map after = owned(keymap_copy(between.get()));
	keymap_split(keymap_find(after.get(), 30000), 30000);
	keymap_move(after.get(), keymap_find(after.get(), 30000), &id, "h");
	Map delta = owned(keymap_delta_between(before.get(), after.get()));
	Map result = owned(keymap_delta_apply(between.get(), delta.get(),
					      keymap_digest(after.get())));
	ASSERT_NE(result, nullptr);
	EXPECT_TRUE(same(result.get(), after.get()));
}

TEST(KeymapDelta, RowsOutOfOrderAreNotValid)
{
	Map m = owned(keymap_new("s"));

	keymap_append_row(m.get(), 10, 20);
	keymap_append_row(m.get(), 40, 50);
	EXPECT_TRUE(keymap_delta_valid(m.get()));
	keymap_append_row(m.get(), 45, 60);
	EXPECT_FALSE(keymap_delta_valid(m.get()));
	Map beyond = owned(keymap_new("s"));
	keymap_append_row(beyond.get(), 65000, KEYMAP_KEYS);
	EXPECT_FALSE(keymap_delta_valid(beyond.get()));
}

/* After any moves, splits and merges. */
RC_GTEST_PROP(KeymapDelta, AppliedToItsBaseGivesTheNewMap, ())
{
	Map before = dealt_to(*rc::gen::inRange(1, 30));
	const auto keys = *rc::gen::container<std::vector<int>>(
		rc::gen::inRange(0, (int)KEYMAP_KEYS));
	Map after = owned(keymap_copy(before.get()));

	for (int key : keys) {
		struct keyrow *r = keymap_find(after.get(), (uint32_t)key);
		struct holder_id id = holder_of(key % 7);

		if ((uint32_t)key > r->from && key % 3)
			r = keymap_split(r, (uint32_t)key);
		keymap_move(after.get(), r, &id, key % 2 ? "h" : "");
		if (key % 5 == 0)
			keymap_merge_rows(after.get());
	}
	Map delta = owned(keymap_delta_between(before.get(), after.get()));
	RC_ASSERT(keymap_delta_valid(delta.get()));
	Map result = owned(keymap_delta_apply(before.get(), delta.get(),
					      keymap_digest(after.get())));
	RC_ASSERT(result != nullptr);
	RC_ASSERT(same(result.get(), after.get()));
}
