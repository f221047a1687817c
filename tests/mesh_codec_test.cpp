#include "jd_test.hpp"

#include <rapidcheck/gtest.h>

extern "C" {
#include "core/mem.h"
#include "wire/mesh_codec.h"
}

static struct keymap *two_rows()
{
	struct keymap *m = keymap_new("s");
	struct keyrow *r = keymap_add(m, 0, 9);

	m->fence = 5;
	r->fence = 5;
	mem_copy_str(r->owner.node, "n1", sizeof(r->owner.node));
	r->owner.born = 17;
	mem_copy_str(r->handover, "h", sizeof(r->handover));
	mem_copy_str(r->target, "n2", sizeof(r->target));
	r = keymap_add(m, 10, KEYMAP_KEYS - 1);
	r->fence = 4;
	return m;
}

TEST(MeshCodec, AKeymapComesBackWhole)
{
	struct keymap *m = two_rows();
	struct keymap *back;
	struct wire_buf b;

	mesh_encode_keymap(m, &b);
	back = mesh_decode_keymap("s", b.data, b.len);
	ASSERT_NE(back, nullptr);
	EXPECT_EQ(back->fence, 5u);
	EXPECT_STREQ(keymap_find(back, 3)->owner.node, "n1");
	EXPECT_EQ(keymap_find(back, 3)->owner.born, 17u);
	EXPECT_STREQ(keymap_find(back, 3)->handover, "h");
	EXPECT_STREQ(keymap_find(back, 3)->target, "n2");
	EXPECT_EQ(keymap_find(back, 10)->fence, 4u);
	keymap_delete(back);
	keymap_delete(m);
	free(b.data);
}

TEST(MeshCodec, AKeymapWithAGapIsRefused)
{
	struct keymap *m = two_rows();
	struct wire_buf b;

	keymap_find(m, 3)->to = 8;
	mesh_encode_keymap(m, &b);
	EXPECT_EQ(mesh_decode_keymap("s", b.data, b.len), nullptr);
	keymap_delete(m);
	free(b.data);
}

TEST(MeshCodec, ACardComesBackWhole)
{
	struct node_card c = {}, back = {};
	struct wire_buf b;

	mem_copy_str(c.node, "n", sizeof(c.node));
	mem_copy_str(c.upstream.instance, "i", sizeof(c.upstream.instance));
	c.upstream.born = 3;
	c.draining = true;
	c.slots = 18;
	mesh_encode_card(&c, &b);
	ASSERT_TRUE(mesh_decode_card(b.data, b.len, &back));
	EXPECT_STREQ(back.upstream.instance, "i");
	EXPECT_EQ(back.upstream.born, 3u);
	EXPECT_TRUE(back.draining);
	EXPECT_EQ(back.slots, 18u);
	free(b.data);
}

RC_GTEST_PROP(MeshCodec, AnyBytesAreRefusedOrTaken, (const std::string &bytes))
{
	struct node_card c;
	struct keymap *m = mesh_decode_keymap("s", bytes.data(), bytes.size());

	mesh_decode_card(bytes.data(), bytes.size(), &c);
	keymap_delete(m);
}
