#include "jd_test.hpp"

#include <rapidcheck/gtest.h>

extern "C" {
#include "core/mem.h"
#include "wire/codec.h"
}

static struct message *round_trip(const struct message *m)
{
	struct wire_buf b;
	struct status st;

	wire_encode_message(m, &b);
	struct message *decoded = wire_decode_message(b.data, b.len, &st);
	free(b.data);
	return decoded;
}

TEST(Codec, ForwardSurvivesRoundTrip)
{
	struct message *m = message_new(MSG_FORWARD);
	struct msg_forward *f = &m->u.forward;

	m->from = 1;
	m->to = UINT64_MAX;
	f->id = {9, 8};
	f->attempt = 2;
	f->time_left_ns = 77;
	f->idempotent = true;
	mem_copy_str(f->key, "order-1", sizeof(f->key));
	f->request = http_request_new("POST", "/a?b=c");
	payload_add_header(&f->request->payload, "X-A", "1");
	payload_set_body(&f->request->payload, "a\0b", 3);
	struct message *decoded = round_trip(m);
	ASSERT_NE(decoded, nullptr);
	EXPECT_EQ(decoded->to, UINT64_MAX);
	EXPECT_TRUE(request_id_equal(decoded->u.forward.id, f->id));
	EXPECT_STREQ(decoded->u.forward.request->target, "/a?b=c");
	EXPECT_EQ(decoded->u.forward.request->payload.body_len, 3u);
	EXPECT_STREQ(payload_header(&decoded->u.forward.request->payload,
				    "x-a"),
		     "1");
	message_delete(decoded);
	message_delete(m);
}

TEST(Codec, MapRoundTripKeepsOwnersTargetsAndPinnedKeys)
{
	struct doc *d = doc_new(DOC_MAP, "r");
	struct wire_buf b;
	struct status st;

	d->u.map = shard_map_new("r", 64);
	for (uint32_t i = 0; i < 64; i++)
		d->u.map->shards[i] = {1000 + i % 5, i % 7 ? 0 : 3u, i * 100};
	struct pinned_key *p = mem_new(struct pinned_key);
	mem_copy_str(p->key, "hot", sizeof(p->key));
	p->shard = {1001, 0, 4};
	list_push_back(&d->u.map->pinned, &p->link);
	wire_encode_doc(d, &b);
	struct doc *decoded = wire_decode_doc(&d->key, b.data, b.len, &st);
	ASSERT_NE(decoded, nullptr) << st.msg;
	EXPECT_EQ(memcmp(decoded->u.map->shards, d->u.map->shards,
			 64 * sizeof(struct shard)),
		  0);
	EXPECT_EQ(shard_map_find(decoded->u.map, "hot")->owner, 1001u);
	free(b.data);
	doc_delete(decoded);
	doc_delete(d);
}

TEST(Codec, HotKeysSurviveRoundTripAndExcessCountIsRejected)
{
	struct message *m = message_new(MSG_HOT_KEYS);

	m->u.hot_keys.count = HOT_KEYS_REPORT_MAX;
	for (uint32_t i = 0; i < HOT_KEYS_REPORT_MAX; i++)
		m->u.hot_keys.items[i] = {"r", i, 100 * i};
	struct message *decoded = round_trip(m);
	ASSERT_NE(decoded, nullptr);
	EXPECT_EQ(decoded->u.hot_keys.count, (uint32_t)HOT_KEYS_REPORT_MAX);
	EXPECT_EQ(decoded->u.hot_keys.items[7].shard, 7u);
	EXPECT_EQ(decoded->u.hot_keys.items[7].rate, 700u);
	EXPECT_STREQ(decoded->u.hot_keys.items[7].route, "r");
	message_delete(decoded);
	m->u.hot_keys.count = 0;
	struct wire_buf b;
	struct status st;
	wire_encode_message(m, &b);
	/* The count is the last number before the empty array. */
	b.data[b.len - 2] = HOT_KEYS_REPORT_MAX + 1;
	EXPECT_EQ(wire_decode_message(b.data, b.len, &st), nullptr);
	free(b.data);
	message_delete(m);
}

RC_GTEST_PROP(Codec, ArbitraryBytesAreRejectedOrDecoded,
	      (const std::string &bytes))
{
	struct status st;
	struct message *m =
		wire_decode_message(bytes.data(), bytes.size(), &st);

	message_delete(m);
}

RC_GTEST_PROP(Codec, CorruptMessageDoesNotCrashDecoder, ())
{
	struct message *m = message_new(MSG_SYNC);
	struct doc *d = doc_new(DOC_ROSTER, "dc");
	struct wire_buf b;
	struct status st;

	d->u.roster = roster_new("dc", "region");
	roster_add(d->u.roster, "n1", 5)->term = 3;
	list_push_back(&m->u.sync.docs, &d->link);
	wire_encode_message(m, &b);
	size_t at = *rc::gen::inRange<size_t>(0, b.len);
	b.data[at] = *rc::gen::arbitrary<unsigned char>();
	size_t len = *rc::gen::inRange<size_t>(0, b.len + 1);
	message_delete(wire_decode_message(b.data, len, &st));
	free(b.data);
	message_delete(m);
}
