#include "jd_test.hpp"

extern "C" {
#include "core/holder.h"
#include "core/mem.h"
#include "platform/announcements.h"
}

/* The platform rejects longer answers to an announcement. */
static const size_t ANSWER_BYTES_MAX = 4096;

/* A node whose upstream owns all rows of a keymap. */
struct HolderTest : public ::testing::Test {
	struct mesh_opts opts = {};
	struct mesh_ctx c = {};
	struct mesh_actions out;
	struct holder holder;
	struct session session;
	uint64_t sequence = 0;

	HolderTest()
	{
		mem_copy_str(opts.node, "n1", sizeof(opts.node));
		mem_copy_str(opts.service, "s", sizeof(opts.service));
		opts.hold_max_ns = 10 * NS_PER_S;
		opts.announce_interval_ns = NS_PER_S;
		mesh_actions_init(&out);
		directory_init(&c.dir, "r0");
		c.opts = &opts;
		c.out = &out;
		c.now_ns = 100 * NS_PER_S;
		holder_init(&holder, &opts, c.now_ns);
		session_init(&session, &opts);
		session.registered = session.fresh = true;
		session.lease_deadline_ns = c.now_ns + 6 * NS_PER_S;
	}
	~HolderTest() override
	{
		holder_done(&holder);
		directory_done(&c.dir);
		mesh_actions_done(&out);
	}
	void set_owned_rows(uint32_t count)
	{
		struct record *r = record_new(RECORD_KEYMAP, "s");
		struct keymap *map = keymap_new("s");
		uint32_t keys_per_row = KEYMAP_KEYS / count;
		struct list records;

		for (uint32_t i = 0; i < count; i++) {
			struct keyrow *row = keymap_append_row(
				map, i * keys_per_row,
				i + 1 < count ? (i + 1) * keys_per_row - 1
					      : KEYMAP_KEYS - 1);

			mem_copy_str(row->owner.node, "n1",
				     sizeof(row->owner.node));
			mem_copy_str(row->owner.instance, "i-1",
				     sizeof(row->owner.instance));
			row->owner.born = 5;
			row->fence = 100000 + i;
			mem_copy_str(row->handover, "5c0e7a21d94b36f8",
				     sizeof(row->handover));
		}
		map->fence = 100000 + count;
		r->revision = 9;
		r->u.keymap = map;
		list_init(&records);
		list_push_back(&records, &r->link);
		directory_apply(&c.dir, &records, true, 9, c.now_ns, &out);
		records_delete(&records);
	}
	/* Sends an announcement with the last grant; returns the answer. */
	std::string announcement_answer()
	{
		struct upstream_announcement b = {};
		struct mesh_action *a;
		std::string text;

		list_init(&b.held);
		list_init(&b.released);
		mem_copy_str(b.instance, "i-1", sizeof(b.instance));
		b.born = 5;
		b.sequence = ++sequence;
		b.slots = 4;
		for (struct held_row *r = first_granted(); r;
		     r = next_granted(r)) {
			struct held_row *n = mem_new(struct held_row);

			n->from = r->from;
			n->to = r->to;
			n->fence = r->fence;
			list_push_back(&b.held, &n->link);
		}
		holder_on_announcement(&holder, &c, &session, &b);
		held_rows_delete(&b.held);
		while ((a = mesh_actions_pop(&out))) {
			if (a->kind == MA_ANNOUNCEMENT_REPLY) {
				char *s = announcement_reply_encode(
					&a->u.announcement_reply);

				text = s;
				free(s);
			}
			mesh_action_delete(a);
		}
		return text;
	}
	struct held_row *row_at(struct list *l)
	{
		return l == &holder.granted
			       ? nullptr
			       : list_entry(l, struct held_row, link);
	}
	struct held_row *first_granted()
	{
		return row_at(holder.granted.next);
	}
	struct held_row *next_granted(struct held_row *r)
	{
		return row_at(r->link.next);
	}
};

TEST_F(HolderTest, HandoverIsSentUntilTheUpstreamHoldsTheRow)
{
	set_owned_rows(2);
	EXPECT_NE(announcement_answer().find("5c0e7a21d94b36f8"),
		  std::string::npos);
	EXPECT_EQ(announcement_answer().find("5c0e7a21d94b36f8"),
		  std::string::npos);
}

/*
 * After the loss of most of a fleet, one upstream may own hundreds of rows. Its
 * grants must not make the answer too long.
 */
TEST_F(HolderTest, AnswerStaysWithinTheSizeLimit)
{
	set_owned_rows(400);
	for (int i = 0; i < 8; i++) {
		std::string text = announcement_answer();

		EXPECT_LE(text.size(), ANSWER_BYTES_MAX);
		EXPECT_NE(text.find("holds"), std::string::npos);
	}
	EXPECT_TRUE(holder_holds_key(&holder, 0, c.now_ns));
}

TEST_F(HolderTest, TenTimesTheUsualRowsAreGrantedInFull)
{
	/* About ten times the rows that an upstream gets in a new keymap. */
	set_owned_rows(10 * KEYMAP_ROWS_PER_UPSTREAM - 10);
	announcement_answer();
	for (int i = 0; i < 8; i++)
		EXPECT_LE(announcement_answer().size(), ANSWER_BYTES_MAX);
	for (uint32_t key = 0; key < KEYMAP_KEYS; key += 100)
		EXPECT_TRUE(holder_holds_key(&holder, key, c.now_ns)) << key;
}
