#include "jd_test.hpp"

#include <rapidcheck/gtest.h>

#include <algorithm>
#include <vector>

extern "C" {
#include "core/doc_delta.h"
#include "core/mem.h"
#include "core/view.h"
#include "wire/codec.h"
}

namespace
{

std::string encoded(const struct doc *d)
{
	struct wire_buf b;

	wire_encode_doc(d, &b);
	std::string s((char *)b.data, b.len);
	free(b.data);
	return s;
}

struct doc *map(revision_t revision, uint32_t count)
{
	struct doc *d = doc_new(DOC_MAP, "r");

	d->revision = revision;
	d->u.map = shard_map_new("r", count);
	for (uint32_t i = 0; i < count; i++)
		d->u.map->shards[i] = {100 + i % 7, 0, 1};
	return d;
}

void pin(struct shard_map *m, const char *key, incarnation_t owner)
{
	struct pinned_key *p = mem_new(struct pinned_key);

	mem_copy_str(p->key, key, sizeof(p->key));
	p->shard = {owner, 0, 9};
	list_push_back(&m->pinned, &p->link);
}

/* Encodes @d, of which it takes ownership, in a message and decodes it. */
struct doc_delta *round_trip(struct doc_delta *d)
{
	struct message *m = message_new(MSG_SYNC);
	struct wire_buf b;
	struct status st;

	list_push_back(&m->u.sync.deltas, &d->link);
	wire_encode_message(m, &b);
	message_delete(m);
	m = wire_decode_message(b.data, b.len, &st);
	free(b.data);
	if (!m)
		return nullptr;
	d = list_entry(m->u.sync.deltas.next, struct doc_delta, link);
	list_remove(&d->link);
	message_delete(m);
	return d;
}

TEST(DocDelta, TurnsAMapIntoItsNextRevision)
{
	struct doc *a = map(5, 64);
	struct doc *b = doc_copy(a);

	b->revision = 8;
	b->u.map->shards[3] = {777, 0, 2};
	b->u.map->shards[63].target = 778;
	pin(b->u.map, "hot", 779);
	struct doc_delta *d = round_trip(doc_delta_between(a, b));
	ASSERT_NE(d, nullptr);
	EXPECT_EQ(d->u.map.count, 2u);
	EXPECT_TRUE(doc_delta_apply(d, a));
	EXPECT_EQ(a->revision, 8u);
	EXPECT_EQ(encoded(a), encoded(b));
	doc_delta_delete(d);
	doc_delete(a);
	doc_delete(b);
}

TEST(DocDelta, AppliesToItsExactBaseOnly)
{
	struct doc *a = map(5, 64);
	struct doc *b = doc_copy(a);

	b->revision = 8;
	b->u.map->shards[3] = {777, 0, 2};
	struct doc_delta *d = doc_delta_between(a, b);
	a->revision = 6;
	std::string before = encoded(a);
	EXPECT_FALSE(doc_delta_apply(d, a));
	EXPECT_EQ(encoded(a), before);
	EXPECT_EQ(a->revision, 6u);
	doc_delta_delete(d);
	doc_delete(a);
	doc_delete(b);
}

TEST(DocDelta, AShardOutsideTheMapIsRejected)
{
	struct doc *a = map(5, 64);
	struct doc *big = map(5, 128);
	struct doc *b = doc_copy(big);

	b->revision = 8;
	b->u.map->shards[100] = {777, 0, 2};
	struct doc_delta *d = doc_delta_between(big, b);
	EXPECT_FALSE(doc_delta_apply(d, a));
	EXPECT_EQ(a->revision, 5u);
	doc_delta_delete(d);
	doc_delete(a);
	doc_delete(b);
	doc_delete(big);
}

TEST(DocDelta, AMapThatChangedMuchHasNoDelta)
{
	struct doc *a = map(5, 64);
	struct doc *b = doc_copy(a);

	for (int i = 0; i < 32; i++)
		b->u.map->shards[i] = {777, 0, 2};
	EXPECT_EQ(doc_delta_between(a, b), nullptr);
	doc_delete(a);
	doc_delete(b);
}

struct doc *roster(revision_t revision, const std::vector<int> &incs)
{
	struct doc *d = doc_new(DOC_ROSTER, "dc");

	d->revision = revision;
	d->u.roster = roster_new("dc", "region");
	for (int inc : incs) {
		struct member *m = roster_add(d->u.roster,
					      std::to_string(inc).c_str(), inc);

		m->term = *rc::gen::inRange(1, 3);
		m->state = *rc::gen::element(MEMBER_UP, MEMBER_REVOKED);
	}
	return d;
}

/* Distinct incarnations below 40, in any order. */
std::vector<int> some_incs()
{
	std::vector<int> incs;

	for (int i :
	     *rc::gen::container<std::vector<int>>(rc::gen::inRange(1, 40)))
		if (std::find(incs.begin(), incs.end(), i) == incs.end())
			incs.push_back(i);
	return incs;
}

RC_GTEST_PROP(DocDelta, TurnsAnyRosterIntoAnyOther, ())
{
	struct doc *a = roster(1, some_incs());
	struct doc *b = roster(2, some_incs());
	struct doc_delta *d = round_trip(doc_delta_between(a, b));

	RC_ASSERT(d != nullptr);
	RC_ASSERT(doc_delta_apply(d, a));
	RC_ASSERT(encoded(a) == encoded(b));
	doc_delta_delete(d);
	doc_delete(a);
	doc_delete(b);
}

/*
 * A node misses some of its keeper's deltas. Its view must not go back to an
 * older revision, and must equal the keeper's once the node has been sent the
 * documents that it lacks.
 */
RC_GTEST_PROP(DocDelta, ANodeThatMissedADeltaCatchesUpAndNeverGoesBack, ())
{
	struct view keeper, node;
	revision_t sent_revision = 1;
	revision_t revision = 1;

	view_init(&keeper);
	view_init(&node);
	view_apply(&keeper, map(1, 64));
	view_apply(&node, map(1, 64));
	keeper.revision = node.revision = 1;
	int steps = *rc::gen::inRange(1, 30);
	for (int i = 0; i < steps; i++) {
		struct doc *d = doc_copy(view_doc(&keeper, DOC_MAP, "r"));
		int changes = *rc::gen::inRange(1, 40);

		d->revision = ++revision;
		for (int k = 0; k < changes; k++)
			shard_assign(
				&d->u.map->shards[*rc::gen::inRange(0, 64)],
				200 + i);
		view_apply(&keeper, d);
		keeper.revision = revision;
		struct message *m = message_new(MSG_SYNC);
		view_fill_sync(&keeper, sent_revision, &m->u.sync);
		sent_revision = keeper.revision;
		if (*rc::gen::inRange(0, 3)) {
			revision_t before = node.revision;
			view_apply_sync(&node, &m->u.sync);
			RC_ASSERT(node.revision >= before);
		}
		message_delete(m);
	}
	/* The keeper's reply to the node's next heartbeat. */
	struct message *m = message_new(MSG_SYNC);
	m->u.sync.from = node.revision;
	m->u.sync.to = keeper.revision;
	view_copy_newer(&keeper, node.revision, &m->u.sync.docs);
	view_apply_sync(&node, &m->u.sync);
	message_delete(m);
	RC_ASSERT(node.revision == keeper.revision);
	RC_ASSERT(encoded(view_doc(&node, DOC_MAP, "r")) ==
		  encoded(view_doc(&keeper, DOC_MAP, "r")));
	view_done(&keeper);
	view_done(&node);
}

RC_GTEST_PROP(DocDelta, DecodingADamagedMessageNeverCrashes, ())
{
	struct doc *a = map(5, 64);
	struct doc *b = doc_copy(a);
	struct message *m = message_new(MSG_SYNC);
	struct wire_buf buf;
	struct status st;

	b->revision = 8;
	b->u.map->shards[3] = {777, 0, 2};
	pin(b->u.map, "hot", 779);
	struct doc_delta *d = doc_delta_between(a, b);
	list_push_back(&m->u.sync.deltas, &d->link);
	wire_encode_message(m, &buf);
	message_delete(m);
	buf.data[*rc::gen::inRange<size_t>(0, buf.len)] =
		*rc::gen::arbitrary<unsigned char>();
	message_delete(wire_decode_message(buf.data, buf.len, &st));
	free(buf.data);
	doc_delete(a);
	doc_delete(b);
}

} // namespace
