#include "jd_test.hpp"

#include <rapidcheck/gtest.h>

extern "C" {
#include "core/mem.h"
#include "platform/announcements.h"
}

static const char valid_json[] =
	"{\"address\":\"10.0.0.1:80\",\"born\":1700,"
	"\"info\":{\"service\":\"s\",\"version\":\"v1\",\"zone\":\"z\","
	"\"slots\":12},"
	"\"status\":{\"state\":\"draining\",\"sequence\":4,"
	"\"warmupLeftS\":1.5},"
	"\"holds\":[[0,4095,7]],\"released\":[[4096,8191,\"5c0e\"]]}";

static bool decode(const std::string &text, struct upstream_announcement *b)
{
	return announcement_decode(text.data(), text.size(), "i-1", b);
}

TEST(AnnouncementCodec, DecodesAllFields)
{
	struct upstream_announcement b;

	ASSERT_TRUE(decode(valid_json, &b));
	EXPECT_STREQ(b.instance, "i-1");
	EXPECT_EQ(b.born, 1700u);
	EXPECT_EQ(b.sequence, 4u);
	EXPECT_EQ(b.slots, 12u);
	EXPECT_TRUE(b.draining);
	EXPECT_EQ(b.cold_left_ns, 1500 * NS_PER_MS);
	struct held_row *r = list_entry(b.held.next, struct held_row, link);

	EXPECT_EQ(r->to, 4095u);
	EXPECT_EQ(r->fence, 7u);
	r = list_entry(b.released.next, struct held_row, link);
	EXPECT_STREQ(r->handover, "5c0e");
	held_rows_delete(&b.held);
	held_rows_delete(&b.released);
}

TEST(AnnouncementCodec, MalformedFieldsAreRefused)
{
	struct upstream_announcement b;
	const std::string text = valid_json;
	const std::pair<const char *, const char *> cases[] = {
		{"\"draining\"", "\"resting\""},
		{"\"slots\":12", "\"slots\":0"},
		{"\"born\":1700", "\"born\":\"x\""},
		{"\"sequence\":4", "\"sequence\":-1"},
		{"[[0,4095,7]]", "[[9,3,7]]"},
		{"[[0,4095,7]]", "7"},
		{"[[0,4095,7]]", "[[0,70000,7]]"},
		{"\"service\":\"s\"", "\"service\":4"},
	};

	for (auto &w : cases) {
		std::string bad = text;

		bad.replace(bad.find(w.first), strlen(w.first), w.second);
		EXPECT_FALSE(decode(bad, &b)) << w.second;
	}
	EXPECT_FALSE(decode("{", &b));
	EXPECT_FALSE(decode("[]", &b));
}

RC_GTEST_PROP(AnnouncementCodec, ArbitraryBytesNeverCrash,
	      (const std::string &bytes))
{
	struct upstream_announcement b;

	if (decode(bytes, &b)) {
		held_rows_delete(&b.held);
		held_rows_delete(&b.released);
	}
}

TEST(AnnouncementCodec, ReplyWithoutGrantsHasNoHoldTime)
{
	struct act_announcement_reply a = {};
	char *text;

	list_init(&a.rows);
	text = announcement_reply_encode(&a);
	EXPECT_STREQ(text, "{}");
	free(text);
	a.grants = true;
	a.hold_ns = 4 * NS_PER_S;
	text = announcement_reply_encode(&a);
	EXPECT_STREQ(text, "{\"holds\":[],\"holdS\":4.0}");
	free(text);
}
