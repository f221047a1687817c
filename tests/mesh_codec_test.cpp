#include "jd_test.hpp"

#include <rapidcheck/gtest.h>

extern "C" {
#include "core/directory.h"
#include "core/mem.h"
#include "core/text.h"
#include "wire/mesh_codec.h"
}

static struct keymap *keymap_with_two_rows()
{
	struct keymap *m = keymap_new("s");
	struct keyrow *r = keymap_append_row(m, 0, 9);

	m->fence = 5;
	r->fence = 5;
	mem_copy_str(r->owner.node, "n1", sizeof(r->owner.node));
	r->owner.born = 17;
	mem_copy_str(r->handover, "h", sizeof(r->handover));
	mem_copy_str(r->target, "n2", sizeof(r->target));
	r = keymap_append_row(m, 10, KEYMAP_KEYS - 1);
	r->fence = 4;
	return m;
}

TEST(MeshCodec, KeymapSurvivesRoundTrip)
{
	struct keymap *m = keymap_with_two_rows();
	struct keymap *decoded;
	struct wire_buf b;

	mesh_encode_keymap(m, &b);
	decoded = mesh_decode_keymap("s", b.data, b.len);
	ASSERT_NE(decoded, nullptr);
	EXPECT_EQ(decoded->fence, 5u);
	EXPECT_STREQ(keymap_find(decoded, 3)->owner.node, "n1");
	EXPECT_EQ(keymap_find(decoded, 3)->owner.born, 17u);
	EXPECT_STREQ(keymap_find(decoded, 3)->handover, "h");
	EXPECT_STREQ(keymap_find(decoded, 3)->target, "n2");
	EXPECT_EQ(keymap_find(decoded, 10)->fence, 4u);
	keymap_delete(decoded);
	keymap_delete(m);
	free(b.data);
}

TEST(MeshCodec, KeymapWithGapIsRejected)
{
	struct keymap *m = keymap_with_two_rows();
	struct wire_buf b;

	keymap_find(m, 3)->to = 8;
	mesh_encode_keymap(m, &b);
	EXPECT_EQ(mesh_decode_keymap("s", b.data, b.len), nullptr);
	keymap_delete(m);
	free(b.data);
}

TEST(MeshCodec, CardSurvivesRoundTrip)
{
	struct node_card c = {}, decoded = {};
	struct wire_buf b;

	mem_copy_str(c.node, "n", sizeof(c.node));
	mem_copy_str(c.upstream.instance, "i", sizeof(c.upstream.instance));
	c.upstream.born = 3;
	c.draining = true;
	c.slots = 18;
	mesh_encode_card(&c, &b);
	ASSERT_TRUE(mesh_decode_card(b.data, b.len, &decoded));
	EXPECT_STREQ(decoded.upstream.instance, "i");
	EXPECT_EQ(decoded.upstream.born, 3u);
	EXPECT_TRUE(decoded.draining);
	EXPECT_EQ(decoded.slots, 18u);
	free(b.data);
}

RC_GTEST_PROP(MeshCodec, ArbitraryBytesAreRejectedOrDecoded,
	      (const std::string &bytes))
{
	struct node_card c;
	struct keymap *m = mesh_decode_keymap("s", bytes.data(), bytes.size());

	mesh_decode_card(bytes.data(), bytes.size(), &c);
	keymap_delete(m);
}

TEST(MeshCodec, ChangedRecordsSurviveRoundTrip)
{
	struct message *m = message_new(MSG_CHANGES);
	struct record *card = record_new(RECORD_CARD, "n1");
	struct record *map = record_new(RECORD_KEYMAP, "archive");
	struct record *removed = record_new(RECORD_EVACUATION, "dc1");
	struct record *config = record_new(RECORD_MANIFEST, "");
	struct wire_buf b;
	struct status st;
	struct message *decoded;
	struct record *r;

	m->u.changes.from = 4;
	m->u.changes.to = 9;
	mem_copy_str(card->u.card.peer_addr, "10.0.0.1:7",
		     sizeof(card->u.card.peer_addr));
	map->u.keymap = keymap_new("archive");
	map->u.keymap->fence = 12;
	keymap_append_row(map->u.keymap, 0, KEYMAP_KEYS - 1)->fence = 12;
	removed->removed = true;
	config->u.manifest = manifest_new();
	for (struct record *it : {card, map, removed, config}) {
		it->revision = revision_make(2, 8);
		list_push_back(&m->u.changes.records, &it->link);
	}
	wire_encode_message(m, &b);
	decoded = wire_decode_message(b.data, b.len, &st);
	ASSERT_NE(decoded, nullptr);
	EXPECT_EQ(decoded->u.changes.from, 4u);
	EXPECT_EQ(decoded->u.changes.to, 9u);
	r = list_entry(decoded->u.changes.records.next, struct record, link);
	EXPECT_STREQ(r->u.card.peer_addr, "10.0.0.1:7");
	EXPECT_EQ(r->revision, revision_make(2, 8));
	r = list_entry(r->link.next, struct record, link);
	EXPECT_EQ(keymap_find(r->u.keymap, 99)->fence, 12u);
	r = list_entry(r->link.next, struct record, link);
	EXPECT_TRUE(r->removed);
	r = list_entry(r->link.next, struct record, link);
	EXPECT_EQ(r->kind, RECORD_MANIFEST);
	EXPECT_EQ(r->u.manifest, nullptr);
	message_delete(decoded);
	/* Truncated input must not crash the decoder. */
	for (size_t len = 0; len < b.len; len++)
		message_delete(wire_decode_message(b.data, len, &st));
	free(b.data);
	message_delete(m);
}

/* The records of a build whose revisions have no era. */
TEST(MeshCodec, ARecordHeaderWithoutAnEraIsOfEraZero)
{
	static const struct pack_field fields[] = {
		PACK_ENUM_OF(struct record, kind, RECORD_KIND_COUNT),
		PACK_STR_OF(struct record, name),
		PACK_U64_OF(struct record, revision),
		PACK_BOOL_OF(struct record, removed),
		PACK_BOOL_OF(struct record, invalid),
	};
	static const struct pack_table old_table = PACK_TABLE(fields);
	struct record *r = record_new(RECORD_EVACUATION, "dc1");
	struct record old = {};
	struct list records;
	msgpack_sbuffer sb;
	msgpack_packer pk;
	msgpack_unpacked u;
	size_t off = 0;

	r->revision = revision_make(4, 8);
	list_init(&records);
	msgpack_sbuffer_init(&sb);
	msgpack_packer_init(&pk, &sb, msgpack_sbuffer_write);
	msgpack_pack_array(&pk, 1);
	msgpack_pack_array(&pk, 2);
	r->revision = 8;
	pack_struct(&pk, r, &old_table);
	msgpack_pack_nil(&pk);
	msgpack_unpacked_init(&u);
	ASSERT_EQ(msgpack_unpack_next(&u, sb.data, sb.size, &off),
		  MSGPACK_UNPACK_SUCCESS);
	EXPECT_TRUE(mesh_unpack_records(&u.data, &records));
	EXPECT_EQ(list_entry(records.next, struct record, link)->revision, 8u);
	records_delete(&records);
	msgpack_unpacked_destroy(&u);
	msgpack_sbuffer_clear(&sb);
	/* And the other way round. */
	r->revision = revision_make(4, 8);
	list_init(&records);
	list_push_back(&records, &r->link);
	mesh_pack_records(&pk, &records);
	msgpack_unpacked_init(&u);
	off = 0;
	ASSERT_EQ(msgpack_unpack_next(&u, sb.data, sb.size, &off),
		  MSGPACK_UNPACK_SUCCESS);
	EXPECT_TRUE(unpack_struct(unpack_at(unpack_at(&u.data, 0), 0), &old,
				  &old_table));
	EXPECT_EQ(old.revision, 8u);
	msgpack_unpacked_destroy(&u);
	msgpack_sbuffer_destroy(&sb);
	records_delete(&records);
}

/*
 * Guards against a process that ends because a record, which any writer may
 * leave in the store, declares an array of billions of items.
 */
TEST(MeshCodec, DeclaredLengthsAreBoundedByTheBytesThatFollow)
{
	static const std::string heads[] = {
		std::string("\xdd\xff\xff\xff\xff", 5),	    /* array */
		std::string("\xdf\xff\xff\xff\xff", 5),	    /* map */
		std::string("\xdb\x7f\xff\xff\xff", 5),	    /* string */
		std::string("\xc6\xff\xff\xff\xff", 5),	    /* bytes */
		std::string("\xc9\xff\xff\xff\xff\x01", 6), /* extension */
		std::string("\xdc\xff\xff", 3),
	};

	for (const std::string &head : heads)
		for (const char *before : {"", "\x93\x05\x90", "\x91"}) {
			std::string bytes = before + head + "\x01\x02";
			struct node_card c = {};
			struct status st;

			EXPECT_FALSE(mesh_decode_card(bytes.data(),
						      bytes.size(), &c));
			EXPECT_EQ(mesh_decode_keymap("s", bytes.data(),
						     bytes.size()),
				  nullptr);
			EXPECT_EQ(wire_decode_message(bytes.data(),
						      bytes.size(), &st),
				  nullptr);
		}
}

TEST(MeshCodec, VeryDeepNestingIsRejected)
{
	for (const char *head : {"\x91", "\x81\x01", "\xdc", "\xdd"}) {
		std::string bytes;
		struct node_card c = {};
		struct status st;

		while (bytes.size() < 300000) {
			bytes += head;
			if (*head == '\xdc')
				bytes += std::string("\x00\x01", 2);
			if (*head == '\xdd')
				bytes += std::string("\x00\x00\x00\x01", 4);
		}
		bytes += '\x01';
		EXPECT_FALSE(mesh_decode_card(bytes.data(), bytes.size(), &c));
		EXPECT_EQ(mesh_decode_keymap("s", bytes.data(), bytes.size()),
			  nullptr);
		EXPECT_EQ(wire_decode_message(bytes.data(), bytes.size(), &st),
			  nullptr);
	}
}

/* Card fields of a later build are ignored, but not at any length. */
TEST(MeshCodec, ACardMayBeLongerButNotByMuch)
{
	struct node_card c = {}, decoded = {};
	struct wire_buf b;

	mem_copy_str(c.node, "n", sizeof(c.node));
	mesh_encode_card(&c, &b);
	ASSERT_EQ(b.data[0] & 0xf0, 0x90);
	std::string longer((char *)b.data, b.len);

	longer[0]++;
	longer += '\x05';
	EXPECT_TRUE(mesh_decode_card(longer.data(), longer.size(), &decoded));
	longer.pop_back();
	longer += std::string("\xda\x20\x00", 3) + std::string(0x2000, 'x');
	EXPECT_FALSE(mesh_decode_card(longer.data(), longer.size(), &decoded));
	free(b.data);
}

/* The next fence would wrap, and be below those that upstreams have seen. */
TEST(MeshCodec, AFenceThatLeavesNoneAboveIsRejected)
{
	for (uint64_t fence : {UINT64_C(1) << 62, UINT64_MAX}) {
		struct keymap *m = keymap_with_two_rows();
		struct wire_buf b;

		m->fence = fence;
		mesh_encode_keymap(m, &b);
		EXPECT_EQ(mesh_decode_keymap("s", b.data, b.len), nullptr);
		keymap_delete(m);
		free(b.data);
	}
}

/* A keymap is one value of the store, sent as base64 text. */
TEST(MeshCodec, AKeymapOf710UpstreamsFitsTheStore)
{
	const size_t value_max = 1 << 20;

	for (int upstreams : {76, 284, 710}) {
		struct keymap *m = keymap_new("s");
		struct list candidates;
		struct keyrow *r;
		struct wire_buf b;

		list_init(&candidates);
		for (int i = 0; i < upstreams; i++) {
			struct holder_id id = {};

			text_format(id.node, sizeof(id.node),
				    "sidecar-hu-central-c-%d", i);
			text_format(id.instance, sizeof(id.instance), "i-%010d",
				    i);
			id.born = 1789000000000;
			list_push_back(&candidates,
				       &keymap_candidate_new(&id)->link);
		}
		keymap_raise_fence(m, keymap_fence_base(7));
		keymap_deal(m, &candidates);
		candidates_delete(&candidates);
		/* At worst each row is about to move, or has just moved. */
		list_for_each_entry(r, &m->rows, link) {
			mem_copy_str(r->handover, "5c0e7a21d94b36f8",
				     sizeof(r->handover));
			mem_copy_str(r->target, "sidecar-hu-central-c-100",
				     sizeof(r->target));
		}
		mesh_encode_keymap(m, &b);
		printf("upstreams=%d keymap_bytes=%zu\n", upstreams, b.len);
		EXPECT_LE(b.len * 4 / 3, value_max / 2) << upstreams;
		free(b.data);
		keymap_delete(m);
	}
}
