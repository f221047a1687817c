#include "jd_test.hpp"

#include <cmath>
#include <memory>

extern "C" {
#include "core/keyplan.h"
#include "core/mem.h"
#include "core/text.h"
}

/* A registered node in a fleet whose nodes "n1" and "n2" serve keys. */
struct KeyplanTest : public ::testing::Test {
	struct mesh_opts opts = {};
	struct mesh_ctx c = {};
	struct mesh_actions out;
	struct keyplan plan;
	struct session session;

	KeyplanTest()
	{
		mem_copy_str(opts.node, "n1", sizeof(opts.node));
		mem_copy_str(opts.service, "s", sizeof(opts.service));
		mesh_actions_init(&out);
		directory_init(&c.dir, "r0");
		c.opts = &opts;
		c.out = &out;
		c.now_ns = 100 * NS_PER_S;
		keyplan_init(&plan, c.now_ns - 10 * NS_PER_S);
		session_init(&session, &opts);
		session.registered = session.fresh = true;
		session.lease_deadline_ns = c.now_ns + 600 * NS_PER_S;
		directory_note_era(&c.dir, 1, 0);
	}
	~KeyplanTest() override
	{
		keyplan_done(&plan);
		directory_done(&c.dir);
		mesh_actions_done(&out);
	}
	struct list records = {&records, &records};

	struct record *add(enum record_kind kind, const char *name,
			   revision_t revision)
	{
		struct record *r = record_new(kind, name);

		r->revision = revision;
		list_push_back(&records, &r->link);
		return r;
	}
	void add_card(const char *name, revision_t revision)
	{
		struct node_card *card =
			&add(RECORD_CARD, name, revision)->u.card;

		mem_copy_str(card->service, "s", sizeof(card->service));
		mem_copy_str(card->upstream.node, name,
			     sizeof(card->upstream.node));
		mem_copy_str(card->upstream.instance, "i-1",
			     sizeof(card->upstream.instance));
		card->upstream.born = 5;
	}
	void add_map(const char *owner, uint64_t fence, revision_t revision)
	{
		struct keymap *map = keymap_new("s");
		struct keyrow *row = keymap_append_row(map, 0, KEYMAP_KEYS - 1);

		mem_copy_str(row->owner.node, owner, sizeof(row->owner.node));
		mem_copy_str(row->owner.instance, "i-1",
			     sizeof(row->owner.instance));
		row->owner.born = 5;
		row->fence = map->fence = fence;
		add(RECORD_KEYMAP, "s", revision)->u.keymap = map;
	}
	void add_manifest(revision_t revision)
	{
		struct manifest *m = manifest_new();
		struct service *s = manifest_add_service(m);

		m->version = 1;
		mem_copy_str(s->name, "s", sizeof(s->name));
		s->keyed = true;
		add(RECORD_MANIFEST, "", revision)->u.manifest = m;
	}
	void read(revision_t revision)
	{
		directory_apply(&c.dir, &records, true, revision, c.now_ns,
				&out);
		records_delete(&records);
	}
	/* The keymap that is written within @ns; NULL: none. */
	std::shared_ptr<struct keymap> written(uint64_t ns,
					       revision_t *expected)
	{
		std::shared_ptr<struct keymap> map;
		uint64_t end_ns = c.now_ns + ns;

		while (c.now_ns < end_ns && !map) {
			struct mesh_action *a;
			struct dir_node *n;

			c.now_ns += 50 * NS_PER_MS;
			list_for_each_entry(n, &c.dir.nodes, link) {
				n->heard_ns = n->revision ? c.now_ns : 0;
				n->load.open = true;
			}
			keyplan_work(&plan, &c, &session);
			while ((a = mesh_actions_pop(&out))) {
				if (a->kind == MA_STORE_CALL) {
					struct record *r =
						list_entry(a->u.store.puts.next,
							   struct record, link);

					*expected =
						a->u.store.expect[0].revision;
					map.reset(keymap_copy(r->u.keymap),
						  keymap_delete);
				}
				mesh_action_delete(a);
			}
		}
		plan.op = 0;
		return map;
	}
};

static const uint64_t BASE1 = keymap_fence_base(1);
static const uint64_t BASE2 = keymap_fence_base(2);

/*
 * Guards against two holders after a restore of the store: it has forgotten the
 * card and the lease of a node whose upstream still holds keys.
 */
TEST_F(KeyplanTest, KeysAreAdoptedOnlyWhenTheEraIsSettled)
{
	revision_t expected = 0;

	add_manifest(revision_make(1, 5));
	add_card("n1", revision_make(1, 7));
	add_card("n2", revision_make(1, 8));
	add_map("n2", BASE1 + 1, revision_make(1, 9));
	read(revision_make(1, 9));
	EXPECT_EQ(written(NS_PER_S, &expected), nullptr);
	directory_note_era(&c.dir, 2, c.now_ns + 7 * NS_PER_S);
	add_manifest(revision_make(2, 5));
	add_card("n1", revision_make(2, 7));
	add_map("n2", BASE1 + 1, revision_make(2, 6));
	read(revision_make(2, 7));
	EXPECT_EQ(written(6800 * NS_PER_MS, &expected), nullptr);
	auto map = written(3 * NS_PER_S, &expected);
	ASSERT_NE(map, nullptr);
	EXPECT_EQ(expected, revision_make(2, 6));
	EXPECT_STREQ(keymap_find(map.get(), 0)->owner.node, "n1");
	EXPECT_GT(keymap_find(map.get(), 0)->fence, BASE2);
}

/* The copy was taken before the first deal. */
TEST_F(KeyplanTest, AKeymapThatTheStoreLostIsWrittenAgainWhenTheEraIsSettled)
{
	revision_t expected = 1;

	add_manifest(revision_make(1, 5));
	add_card("n1", revision_make(1, 7));
	add_map("n1", BASE1 + 1, revision_make(1, 9));
	read(revision_make(1, 9));
	directory_note_era(&c.dir, 2, c.now_ns + 7 * NS_PER_S);
	add_manifest(revision_make(2, 5));
	add_card("n1", revision_make(2, 6));
	read(revision_make(2, 7));
	EXPECT_EQ(written(6800 * NS_PER_MS, &expected), nullptr);
	auto map = written(3 * NS_PER_S, &expected);
	ASSERT_NE(map, nullptr);
	EXPECT_EQ(expected, 0u);
	EXPECT_STREQ(keymap_find(map.get(), 0)->owner.node, "n1");
	EXPECT_GT(keymap_find(map.get(), 0)->fence, BASE2);
}

TEST_F(KeyplanTest, AFirstKeymapIsDealtWhenTheEraIsSettled)
{
	revision_t expected = 1;

	directory_note_era(&c.dir, 2, c.now_ns + 7 * NS_PER_S);
	add_manifest(revision_make(2, 5));
	add_card("n1", revision_make(2, 6));
	read(revision_make(2, 7));
	EXPECT_EQ(written(6800 * NS_PER_MS, &expected), nullptr);
	auto map = written(3 * NS_PER_S, &expected);
	ASSERT_NE(map, nullptr);
	EXPECT_EQ(expected, 0u);
	EXPECT_GT(keymap_find(map.get(), 0)->fence, BASE2);
}

/* All nodes were restarted in an era that is old. */
TEST_F(KeyplanTest, AfterARestartOfTheFleetNothingWaitsInASettledEra)
{
	revision_t expected = 0;

	directory_note_era(&c.dir, 2, c.now_ns + 7 * NS_PER_S);
	add_manifest(revision_make(2, 5));
	add_card("n1", revision_make(2, 6));
	add_map("n2", BASE2 + 1, revision_make(2, 7));
	read(revision_make(2, 7));
	auto map = written(NS_PER_S, &expected);
	ASSERT_NE(map, nullptr);
	EXPECT_EQ(expected, revision_make(2, 7));
	EXPECT_STREQ(keymap_find(map.get(), 0)->owner.node, "n1");
}

/*
 * Guards against a map written by a node that has not seen yet that the lost
 * owner's node is back: it grants its rows again, and a write that only depends
 * on the keymap's revision gives them to another one, too.
 */
TEST_F(KeyplanTest, KeysAreAdoptedOnlyWhileTheOwnersCardIsAbsent)
{
	struct mesh_action *a;
	bool card_absent = false, any = false;

	add_manifest(revision_make(1, 5));
	add_card("n1", revision_make(1, 7));
	add_map("n2", BASE1 + 1, revision_make(1, 9));
	read(revision_make(1, 9));
	for (int i = 0; i < 40 && !any; i++) {
		c.now_ns += 50 * NS_PER_MS;
		directory_node(&c.dir, "n1")->heard_ns = c.now_ns;
		directory_node(&c.dir, "n1")->load.open = true;
		keyplan_work(&plan, &c, &session);
		while ((a = mesh_actions_pop(&out))) {
			any |= a->kind == MA_STORE_CALL;
			for (uint32_t k = 0; a->kind == MA_STORE_CALL &&
					     k < a->u.store.expect_count;
			     k++) {
				auto &e = a->u.store.expect[k];

				card_absent |= e.kind == RECORD_CARD &&
					       !strcmp(e.name, "n2") &&
					       !e.revision;
			}
			mesh_action_delete(a);
		}
	}
	EXPECT_TRUE(any);
	EXPECT_TRUE(card_absent);
}

/*
 * Guards against keys taken from nodes whose cards have lapsed while the store
 * was away: they write them again within two seconds of its return.
 */
TEST_F(KeyplanTest, AfterAnOutageOfTheStoreNodesGetTimeToComeBack)
{
	revision_t expected = 0;

	add_manifest(revision_make(1, 5));
	add_card("n1", revision_make(1, 7));
	add_card("n2", revision_make(1, 8));
	add_map("n2", BASE1 + 1, revision_make(1, 9));
	read(revision_make(1, 9));
	/* The card of n2 has lapsed. */
	add_manifest(revision_make(1, 5));
	add_card("n1", revision_make(1, 7));
	read(revision_make(1, 12));
	session.last_failure_ns = c.now_ns;
	EXPECT_EQ(written(2 * NS_PER_S, &expected), nullptr);
	auto map = written(2 * NS_PER_S, &expected);
	ASSERT_NE(map, nullptr);
	EXPECT_STREQ(keymap_find(map.get(), 0)->owner.node, "n1");
}

/*
 * Guards against a loop that stood still: the upstreams that registered
 * meanwhile are in its sockets, not in its directory.
 */
TEST_F(KeyplanTest, ALoopThatStoodStillDealsNoKeysYet)
{
	revision_t expected = 1;

	keyplan_init(&plan, c.now_ns);
	add_manifest(revision_make(1, 5));
	add_card("n1", revision_make(1, 6));
	read(revision_make(1, 7));
	EXPECT_EQ(written(1500 * NS_PER_MS, &expected), nullptr);
	c.now_ns += 600 * NS_PER_MS;
	EXPECT_EQ(written(1500 * NS_PER_MS, &expected), nullptr);
	EXPECT_NE(written(NS_PER_S, &expected), nullptr);
}

TEST_F(KeyplanTest, SkewIsLoggedOnceAndMeasured)
{
	revision_t expected = 0;
	const struct keyplan_service *s;

	add_manifest(revision_make(1, 5));
	add_card("n1", revision_make(1, 7));
	add_card("n2", revision_make(1, 8));
	add_map("n2", BASE1 + 1, revision_make(1, 9));
	read(revision_make(1, 9));
	EXPECT_NE(written(3 * NS_PER_S, &expected), nullptr) << "a balance";
	s = list_entry(plan.services.next, struct keyplan_service, link);
	EXPECT_TRUE(s->uneven);
	EXPECT_EQ(s->spread.without_keys, 1u);
	EXPECT_EQ(s->spread.busiest_over_mean, 2);
}

/* Under heavy load, with an upstream that is three times as fast. */
struct KeySharePlanTest : public KeyplanTest {
	KeySharePlanTest()
	{
		opts.heavy_load = true;
		add_manifest(revision_make(1, 5));
		add_card("n1", revision_make(1, 7));
		add_card("n2", revision_make(1, 8));
		add_split_map(KEYMAP_KEYS / 2, 9);
		measure("n1", 0.5);
		measure("n2", 1.5);
	}
	/* The keys below @from are of n1, the others of n2. */
	void add_split_map(uint32_t from, uint64_t number)
	{
		struct keymap *map;
		struct keyrow *row;

		add_map("n1", BASE1 + number, revision_make(1, number));
		map = list_entry(records.prev, struct record, link)->u.keymap;
		row = list_entry(map->rows.next, struct keyrow, link);
		mem_copy_str(keymap_split(row, from)->owner.node, "n2",
			     JD_NODE_NAME_MAX);
		directory_apply(&c.dir, &records, !c.dir.loaded,
				revision_make(1, number), c.now_ns, &out);
		records_delete(&records);
	}
	void measure(const char *name, double speed)
	{
		struct dir_node *n = directory_node(&c.dir, name);

		n->heard_ns = c.now_ns;
		n->load.limit = 18;
		n->even.paces = 1;
		n->even.log_pace = -std::log(speed);
	}
};

TEST_F(KeySharePlanTest, KeysGoToTheFasterUpstream)
{
	revision_t expected = 0;
	std::shared_ptr<struct keymap> map = written(3 * NS_PER_S, &expected);
	struct keyrow *r;
	uint32_t moved = 0;

	ASSERT_NE(map, nullptr);
	list_for_each_entry(r, &map->rows, link)
		if (!strcmp(r->target, "n2"))
			moved += r->to - r->from + 1;
	EXPECT_GT(moved, KEYMAP_KEYS / 8);
	EXPECT_LT(moved, KEYMAP_KEYS / 3);
}

/* Nodes that each measure for themselves would move keys to and fro. */
TEST_F(KeySharePlanTest, OnlyTheFirstNodeBalances)
{
	revision_t expected = 0;

	mem_copy_str(opts.node, "n2", sizeof(opts.node));
	EXPECT_EQ(written(10 * NS_PER_S, &expected), nullptr);
}

TEST_F(KeySharePlanTest, WithoutHeavyLoadSpeedsMoveNothing)
{
	revision_t expected = 0;

	opts.heavy_load = false;
	EXPECT_EQ(written(10 * NS_PER_S, &expected), nullptr);
}

/* A first node that has measured nothing yet would move the keys back. */
TEST_F(KeySharePlanTest, AFirstNodeThatKnowsNoSpeedsMovesNothing)
{
	revision_t expected = 0;

	for (const char *name : {"n1", "n2"})
		directory_node(&c.dir, name)->even.paces = 0;
	add_split_map(KEYMAP_KEYS / 4, 12);
	EXPECT_EQ(written(10 * NS_PER_S, &expected), nullptr);
}

/*
 * Guards against a grant that is cut because it has too many rows for one
 * answer: three of 76 upstreams were left with 405 rows each, 139 fit.
 */
TEST_F(KeyplanTest, TheFewThatAreLeftGetFewRows)
{
	revision_t expected = 0;
	std::shared_ptr<struct keymap> map;
	struct list candidates;
	uint64_t revision = 10;

	list_init(&candidates);
	for (int i = 1; i <= 76; i++) {
		struct holder_id id = {};

		text_format(id.node, sizeof(id.node), "n%d", i);
		mem_copy_str(id.instance, "i-1", sizeof(id.instance));
		id.born = 5;
		list_push_back(&candidates, &keymap_candidate_new(&id)->link);
	}
	map.reset(keymap_new("s"), keymap_delete);
	keymap_raise_fence(map.get(), BASE1);
	keymap_deal(map.get(), &candidates);
	candidates_delete(&candidates);
	for (int writes = 0; writes < 6; writes++) {
		struct record *r;

		add_manifest(revision_make(1, 5));
		for (const char *left : {"n1", "n2", "n3"})
			add_card(left, revision_make(1, 7));
		r = add(RECORD_KEYMAP, "s", revision_make(1, ++revision));
		r->u.keymap = keymap_copy(map.get());
		read(revision_make(1, revision));
		auto next = written(2 * NS_PER_S, &expected);
		if (!next)
			break;
		map = next;
	}
	for (const char *left : {"n1", "n2", "n3"}) {
		struct holder_id id = {};

		mem_copy_str(id.node, left, sizeof(id.node));
		mem_copy_str(id.instance, "i-1", sizeof(id.instance));
		id.born = 5;
		EXPECT_NEAR(keymap_keys_of(map.get(), &id), KEYMAP_KEYS / 3,
			    KEYMAP_KEYS / 12);
		EXPECT_LE(keymap_rows_of(map.get(), &id), 100u);
	}
}
