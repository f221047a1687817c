#include "jd_test.hpp"

#include <cmath>
#include <string>
#include <vector>

extern "C" {
#include "core/load/key_share.h"
#include "core/mem.h"
}

static const int UPSTREAMS = 37;

/* Upstreams of speeds 0.5 to 1.7 that share the keys of one service. */
struct KeyShareTest : public ::testing::Test {
	struct directory d;
	uint64_t now_ns = 100 * NS_PER_S;
	struct keymap *map = keymap_new("s");
	std::vector<struct dir_node *> nodes;

	KeyShareTest()
	{
		struct mesh_actions out;
		struct list records;

		mesh_actions_init(&out);
		list_init(&records);
		directory_init(&d, "r");
		for (int i = 0; i < UPSTREAMS; i++)
			add_card(&records, "n" + std::to_string(i));
		directory_apply(&d, &records, true, 1, now_ns, &out);
		records_delete(&records);
		mesh_actions_done(&out);
		for (int i = 0; i < UPSTREAMS; i++)
			nodes.push_back(directory_node(
				&d, ("n" + std::to_string(i)).c_str()));
		for (auto *n : nodes) {
			n->heard_ns = now_ns;
			n->load.open = true;
		}
		with_candidates(
			[this](struct list *l) { keymap_deal(map, l); });
	}
	~KeyShareTest() override
	{
		keymap_delete(map);
		directory_done(&d);
	}
	static void add_card(struct list *records, const std::string &name)
	{
		struct record *r = record_new(RECORD_CARD, name.c_str());
		struct node_card *card = &r->u.card;

		r->revision = 1;
		mem_copy_str(card->service, "s", sizeof(card->service));
		mem_copy_str(card->upstream.node, name.c_str(),
			     sizeof(card->upstream.node));
		mem_copy_str(card->upstream.instance, name.c_str(),
			     sizeof(card->upstream.instance));
		card->slots = 18;
		list_push_back(records, &r->link);
	}
	template <typename Fn> void with_candidates(Fn fn)
	{
		struct list candidates;

		list_init(&candidates);
		directory_candidates(&d, "s", now_ns, &candidates);
		fn(&candidates);
		candidates_delete(&candidates);
	}
	static double speed(int i)
	{
		return 0.5 + 1.2 * i / (UPSTREAMS - 1);
	}
	/* @error: of the measurement, as a share; its sign alternates. */
	void measure(int from, int to, double error = 0)
	{
		for (int i = from; i < to; i++) {
			double sign = i % 2 ? 1 : -1;

			nodes[i]->even.paces = 10;
			nodes[i]->even.log_pace =
				-std::log(speed(i) * (1 + sign * error));
		}
	}
	/* Keys that a balance moves; those with a target are then owned. */
	uint32_t balance()
	{
		uint32_t moved = 0;
		struct keyrow *r;

		with_candidates(
			[this](struct list *l) { keymap_balance(map, l); });
		list_for_each_entry(r, &map->rows, link) {
			if (!r->target[0])
				continue;
			moved += r->to - r->from + 1;
			keymap_move(
				map, r,
				&directory_node(&d, r->target)->card.upstream,
				"");
		}
		return moved;
	}
	/* Work of the busiest upstream over the mean, for its speed. */
	double busiest()
	{
		double most = 0, speeds = 0;

		for (int i = 0; i < UPSTREAMS; i++) {
			uint32_t keys =
				keymap_keys_of(map, &nodes[i]->card.upstream);

			most = std::max(most, keys / speed(i));
			speeds += speed(i);
		}
		return most * speeds / KEYMAP_KEYS;
	}
};

/*
 * The load: keys asked for alike, at upstreams of which the slowest needs more
 * than three times the time of the fastest. Evenly dealt keys keep it twice as
 * busy as the mean.
 */
TEST_F(KeyShareTest, AFewMovesRelieveSlowUpstreams)
{
	uint32_t moved = 0;

	EXPECT_GT(busiest(), 2);
	measure(0, UPSTREAMS);
	EXPECT_GT(key_share_update(&d, "s", now_ns).changed, 0u);
	for (int i = 0; i < 3; i++)
		moved += balance();
	/* The balance's own limit, and what whole rows leave. */
	EXPECT_LE(busiest(), KEYMAP_BALANCE_HIGH * 1.05);
	EXPECT_LE(moved, KEYMAP_KEYS / 5);
}

/* A move costs callers a hand-over: noise of a measurement causes none. */
TEST_F(KeyShareTest, NoiseMovesNothing)
{
	measure(0, UPSTREAMS);
	key_share_update(&d, "s", now_ns);
	while (balance())
		;
	for (double error : {0.1, -0.1, 0.1, -0.1}) {
		measure(0, UPSTREAMS, error);
		EXPECT_EQ(key_share_update(&d, "s", now_ns).changed, 0u);
		EXPECT_EQ(balance(), 0u);
	}
}

TEST_F(KeyShareTest, UntilMostSpeedsAreKnownSharesStay)
{
	measure(0, UPSTREAMS / 2);
	EXPECT_EQ(key_share_update(&d, "s", now_ns).changed, 0u);
	EXPECT_EQ(balance(), 0u);
}

/* A cold upstream's slots are no measure of what it will serve. */
TEST_F(KeyShareTest, AColdUpstreamKeepsItsShare)
{
	measure(0, UPSTREAMS);
	nodes[0]->load.cold = true;
	nodes[0]->load.limit = 1;
	key_share_update(&d, "s", now_ns);
	EXPECT_EQ(nodes[0]->key_share, KEY_SHARE_UNIT);
}

TEST_F(KeyShareTest, AnotherUpstreamAtTheNodeStartsWithAMeanShare)
{
	struct mesh_actions out;
	struct list records;
	struct record *r;

	measure(0, UPSTREAMS);
	key_share_update(&d, "s", now_ns);
	ASSERT_NE(nodes[0]->key_share, KEY_SHARE_UNIT);
	mesh_actions_init(&out);
	list_init(&records);
	add_card(&records, "n0");
	r = list_entry(records.next, struct record, link);
	r->revision = 2;
	mem_copy_str(r->u.card.upstream.instance, "other",
		     sizeof(r->u.card.upstream.instance));
	directory_apply(&d, &records, false, 2, now_ns, &out);
	records_delete(&records);
	mesh_actions_done(&out);
	EXPECT_EQ(nodes[0]->key_share, KEY_SHARE_UNIT);
	EXPECT_EQ(nodes[0]->even.paces, 0u);
}
