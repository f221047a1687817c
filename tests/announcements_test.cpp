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

static bool decode(const std::string &text, struct upstream_announcement *ann)
{
	return announcement_decode(text.data(), text.size(), "i-1", ann);
}

TEST(AnnouncementCodec, DecodesAllFields)
{
	struct upstream_announcement ann;

	ASSERT_TRUE(decode(valid_json, &ann));
	EXPECT_STREQ(ann.instance, "i-1");
	EXPECT_EQ(ann.born, 1700u);
	EXPECT_EQ(ann.sequence, 4u);
	EXPECT_EQ(ann.slots, 12u);
	EXPECT_TRUE(ann.draining);
	EXPECT_EQ(ann.cold_left_ns, 1500 * NS_PER_MS);
	struct held_row *r = list_entry(ann.held.next, struct held_row, link);

	EXPECT_EQ(r->to, 4095u);
	EXPECT_EQ(r->fence, 7u);
	r = list_entry(ann.released.next, struct held_row, link);
	EXPECT_STREQ(r->handover, "5c0e");
	held_rows_delete(&ann.held);
	held_rows_delete(&ann.released);
}

TEST(AnnouncementCodec, MalformedFieldsAreRejected)
{
	struct upstream_announcement ann;
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
		EXPECT_FALSE(decode(bad, &ann)) << w.second;
	}
	EXPECT_FALSE(decode("{", &ann));
	EXPECT_FALSE(decode("[]", &ann));
}

RC_GTEST_PROP(AnnouncementCodec, ArbitraryBytesNeverCrash,
	      (const std::string &bytes))
{
	struct upstream_announcement ann;

	if (decode(bytes, &ann)) {
		held_rows_delete(&ann.held);
		held_rows_delete(&ann.released);
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
