#include "jd_test.hpp"

#include <rapidcheck/gtest.h>

extern "C" {
#include "core/mem.h"
#include "core/name.h"
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

// valid_json with its part @from replaced by @to.
static std::string with(const std::string &from, const std::string &to)
{
	std::string text = valid_json;

	return text.replace(text.find(from), from.size(), to);
}

TEST(AnnouncementCodec, MalformedFieldsAreRefused)
{
	struct upstream_announcement b;
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

	for (auto &w : cases)
		EXPECT_FALSE(decode(with(w.first, w.second), &b)) << w.second;
	EXPECT_FALSE(decode("{", &b));
	EXPECT_FALSE(decode("[]", &b));
}

// One of a service whose name had 32 bytes or more was refused.
TEST(AnnouncementCodec, AServicesNameMayHaveAnyLength)
{
	for (size_t len : {31, 32, 300}) {
		const std::string name(len, 's');
		struct upstream_announcement a, b;
		char service[JD_NAME_MAX];

		ASSERT_TRUE(decode(with("\"s\"", "\"" + name + "\""), &a));
		ASSERT_TRUE(decode(with("\"s\"", "\"" + name + "2\""), &b));
		name_copy(service, name.c_str(), sizeof(service));
		EXPECT_STREQ(a.service, service);
		EXPECT_STRNE(a.service, b.service);
		for (struct upstream_announcement *x : {&a, &b}) {
			held_rows_delete(&x->held);
			held_rows_delete(&x->released);
		}
	}
}

// An odd announcement of another writer once passed as the upstream's own: a
// number out of range was cast, a row was cut, and an address without a usable
// port was called.
TEST(AnnouncementCodec, OddEntriesOfAnotherWriterAreRefused)
{
	const std::string deep(1 << 20, '[');
	const std::string deep_object = [] {
		std::string s;

		for (int i = 0; i < 100000; i++)
			s += "{\"a\":";
		return s;
	}();
	std::string many_rows = "[";
	struct upstream_announcement b;

	for (int i = 0; i < 100000; i++)
		many_rows += (i ? ",[1,1,7]" : "[1,1,7]");
	many_rows += "]";
	const std::pair<std::string, std::string> cases[] = {
		{"\"born\":1700", "\"born\":1e400"},
		{"\"born\":1700", "\"born\":1e308"},
		{"\"born\":1700", "\"born\":1700.5"},
		{"\"born\":1700", "\"born\":-1"},
		{"\"born\":1700", "\"born\":9223372036854775807"},
		{"\"born\":1700", "\"born\":9223372036854775808"},
		{"\"born\":1700", "\"born\":18446744073709551616"},
		{"\"born\":1700", "\"born\":1700,\"born\":1701"},
		{"\"born\":1700", "\"born\":1700,\"x\":" + deep},
		{"\"born\":1700", "\"born\":1700,\"x\":" + deep_object},
		{"\"born\":1700", "\"born\":1700,\"x\":\"\xff\""},
		{"\"sequence\":4", "\"sequence\":9223372036854775807"},
		{"\"sequence\":4", "\"sequence\":4.5"},
		{"\"sequence\":4", "\"sequence\":1e300"},
		{"\"slots\":12", "\"slots\":4294967295"},
		{"\"slots\":12", "\"slots\":65536"},
		{"\"slots\":12", "\"slots\":-1"},
		{"\"slots\":12", "\"slots\":1.5"},
		{"\"warmupLeftS\":1.5", "\"warmupLeftS\":1e308"},
		{"\"warmupLeftS\":1.5", "\"warmupLeftS\":1e11"},
		{"\"warmupLeftS\":1.5", "\"warmupLeftS\":9223372036854775807"},
		{"\"warmupLeftS\":1.5", "\"warmupLeftS\":\"1\""},
		{"10.0.0.1:80", "10.0.0.1"},
		{"10.0.0.1:80", "10.0.0.1:"},
		{"10.0.0.1:80", "10.0.0.1:0"},
		{"10.0.0.1:80", "10.0.0.1:65536"},
		{"10.0.0.1:80", "10.0.0.1:99999"},
		{"10.0.0.1:80", "10.0.0.1:-1"},
		{"10.0.0.1:80", "10.0.0.1: 80"},
		{"10.0.0.1:80", "10.0.0.1:80x"},
		{"10.0.0.1:80", "10.0.0.1:x"},
		{"10.0.0.1:80", "10.0.0.1:18446744073709551696"},
		{"10.0.0.1:80", "10.0.0.256:80"},
		{"10.0.0.1:80", "host:80"},
		{"10.0.0.1:80", ":80"},
		{"[[0,4095,7]]", "[[0,65536,7]]"},
		{"[[0,4095,7]]", "[[-1,4095,7]]"},
		{"[[0,4095,7]]", "[[0,4294967296,7]]"},
		{"[[0,4095,7]]", "[[0,4095,-7]]"},
		{"[[0,4095,7]]", "[[0,4095,7.5]]"},
		{"[[0,4095,7]]", "[[0,4095]]"},
		{"[[0,4095,7]]", "[[0,4095,\"5c0e\"]]"},
		{"[[0,4095,7]]", "[[0,4095,7],7]"},
		{"[[0,4095,7]]", "[{}]"},
		{"[[0,4095,7]]", many_rows},
		{"[[4096,8191,\"5c0e\"]]", "[[4096,8191]]"},
		{"[[4096,8191,\"5c0e\"]]", "[[4096,8191,7]]"},
		{"[[4096,8191,\"5c0e\"]]", many_rows},
	};

	for (auto &w : cases)
		EXPECT_FALSE(decode(with(w.first, w.second), &b))
			<< w.second.substr(0, 60);
}

TEST(AnnouncementCodec, NamesThatCantStandInAHeaderAreRefused)
{
	struct upstream_announcement b;

	for (const std::string &id :
	     {std::string(), std::string("i-1\r\nHost: x"),
	      std::string(64, 'i') + "\n", std::string("i 1"),
	      std::string("i-\xff")}) {
		EXPECT_FALSE(announcement_decode(valid_json, strlen(valid_json),
						 id.c_str(), &b))
			<< id;
		EXPECT_FALSE(announcement_decode_leave(id.c_str(), 1700, &b))
			<< id;
	}
	EXPECT_TRUE(announcement_decode_leave("i-1", 1700, &b));
	EXPECT_EQ(b.born, 1700u);
	EXPECT_TRUE(b.leaves);
	EXPECT_STREQ(b.instance, "i-1");
}

// One of 64 bytes or more was refused, its upstream got no requests and no
// answer to its leave.
TEST(AnnouncementCodec, AnInstanceMayHaveAnyLength)
{
	for (size_t len : {63, 64, 253, 4000}) {
		const std::string id(len, 'i');
		struct upstream_announcement a, b, leave;

		ASSERT_TRUE(announcement_decode(valid_json, strlen(valid_json),
						id.c_str(), &a));
		ASSERT_TRUE(announcement_decode(valid_json, strlen(valid_json),
						(id + "2").c_str(), &b));
		ASSERT_TRUE(
			announcement_decode_leave(id.c_str(), 1700, &leave));
		EXPECT_EQ(a.long_instance ? a.long_instance : a.instance, id);
		EXPECT_STRNE(a.instance, b.instance);
		EXPECT_STREQ(a.instance, leave.instance);
		for (struct upstream_announcement *x : {&a, &b, &leave})
			upstream_announcement_done(x);
	}
}

// The whole announcement was refused, and with it the upstream.
TEST(AnnouncementCodec, AHandoverThatDoesNotFitIsLeftOut)
{
	for (size_t len :
	     {KEYMAP_HANDOVER_MAX - 1, KEYMAP_HANDOVER_MAX, 4000}) {
		const std::string handover(len, 'h');
		struct upstream_announcement b;

		testing::internal::CaptureStderr();
		ASSERT_TRUE(
			decode(with("\"5c0e\"", "\"" + handover + "\""), &b));
		std::string log = testing::internal::GetCapturedStderr();
		bool fits = len < KEYMAP_HANDOVER_MAX;
		struct held_row *r =
			list_entry(b.released.next, struct held_row, link);

		EXPECT_EQ(r->from, 4096u);
		EXPECT_EQ(r->to, 8191u);
		EXPECT_EQ(r->handover, fits ? handover : "");
		EXPECT_EQ(log.find("event=handover_ignored why=length") ==
				  log.npos,
			  fits);
		upstream_announcement_done(&b);
	}
}

// Clocks may show the warm-up as over a moment before the upstream does.
TEST(AnnouncementCodec, ANegativeWarmupIsOver)
{
	struct upstream_announcement b;

	ASSERT_TRUE(decode(with(":1.5", ":-0.001"), &b));
	EXPECT_EQ(b.cold_left_ns, 0u);
	held_rows_delete(&b.held);
	held_rows_delete(&b.released);
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
