#include "jd_test.hpp"

extern "C" {
#include "platform/requests.h"
}

static const char ID[] = "Jackdawpaddle-Request-Id";
static const char DEADLINE[] = "Jackdawpaddle-Request-Deadline";
static const char SHARD[] = "Jackdawpaddle-Shard-Key";

struct RequestDecodeTest : public ::testing::Test {
	struct caller_request out = {};

	~RequestDecodeTest() override
	{
		caller_request_done(&out);
	}
	void
	decode(const char *target,
	       std::initializer_list<std::pair<const char *, const char *>> in)
	{
		struct http_request *r = http_request_new("GET", target);

		caller_request_done(&out);
		for (auto &h : in)
			payload_add_header(&r->payload, h.first, h.second);
		request_decode(r, 1, false, NS_PER_S, &out);
	}
	const char *header(const char *name)
	{
		return payload_header(&out.request->payload, name);
	}
};

/*
 * An id of more than 63 bytes was cut, so the upstream ran a request with an
 * id that no caller had sent, and the answer bore that id. Later one of 256 and
 * more was dropped, and upstreams refused the request.
 */
TEST_F(RequestDecodeTest, AnIdIsKeptWhole)
{
	for (size_t len : {1, 63, 64, 200, 255, 256, 4000, 16000}) {
		std::string id(len, 'i');

		decode("/a", {{ID, id.c_str()}});
		ASSERT_NE(out.id, nullptr) << len;
		EXPECT_EQ(out.id, id) << len;
		EXPECT_EQ(header(ID), nullptr);
	}
	decode("/a", {});
	EXPECT_EQ(out.id, nullptr);
}

/*
 * A host with a port or a final dot matched no route, so the request was
 * answered with 404.
 */
TEST_F(RequestDecodeTest, HostIsReadWithoutPortAndFinalDot)
{
	const std::pair<const char *, const char *> cases[] = {
		{"a.example", "a.example"},
		{"a.example:8080", "a.example"},
		{"a.example:", "a.example"},
		{"a.example.", "a.example"},
		{"a.example.:80", "a.example"},
		{"[::1]", "[::1]"},
		{"[::1]:80", "[::1]"},
		{"10.0.0.1:80", "10.0.0.1"},
		{"", ""},
		{".", ""},
		/* No proper host: matches no route that has one. */
		{"a.example:x", ""},
		{"a.example:80:80", ""},
		{"[::1", ""},
		{"[::1]x", ""},
	};

	for (auto &c : cases) {
		decode("/a", {{"Host", c.first}});
		EXPECT_STREQ(out.host, c.second) << c.first;
		EXPECT_STREQ(header("Host"), c.first);
	}
}

/*
 * A host of 128 bytes or more matched no route. Cut short, it would match that
 * of another one.
 */
TEST_F(RequestDecodeTest, ALongHostIsKeptWhole)
{
	for (size_t len : {63, 127, 128, 300, 5000}) {
		const std::string host(len, 'h');

		decode("/a", {{"Host", (host + ".:80").c_str()}});
		EXPECT_EQ(out.host, host);
	}
}

/*
 * A request with an absolute target, which every server must accept, was
 * answered with 404.
 */
TEST_F(RequestDecodeTest, AbsoluteTargetGivesHostAndPath)
{
	const struct {
		const char *target, *path, *host_header, *host;
	} cases[] = {
		{"http://a.example/p/q?r", "/p/q?r", "a.example", "a.example"},
		{"HTTP://A.example:80/", "/", "A.example:80", "A.example"},
		{"https://a.example", "/", "a.example", "a.example"},
		{"http://a.example?r=/x", "/?r=/x", "a.example", "a.example"},
		{"http://u:p@a.example/p", "/p", "a.example", "a.example"},
		{"http://[::1]:80/p@q", "/p@q", "[::1]:80", "[::1]"},
		{"/p/http://x/", "/p/http://x/", "other", "other"},
	};

	for (auto &c : cases) {
		decode(c.target, {{"X", "y"}, {"hOst", "other"}});
		EXPECT_STREQ(out.request->target, c.path) << c.target;
		EXPECT_STREQ(header("Host"), c.host_header) << c.target;
		EXPECT_STREQ(out.host, c.host) << c.target;
		EXPECT_STREQ(header("X"), "y");
	}
	decode("http://a.example/p", {});
	EXPECT_STREQ(header("Host"), "a.example");
}

TEST_F(RequestDecodeTest, HeaderNamesAreReadInAnyCase)
{
	decode("/a", {{"HOST", "h"},
		      {"jackdawpaddle-request-id", "77"},
		      {"JACKDAWPADDLE-REQUEST-DEADLINE", "10"},
		      {"jackdawpaddle-SHARD-key", "007"}});
	EXPECT_STREQ(out.host, "h");
	EXPECT_STREQ(out.id, "77");
	EXPECT_EQ(out.deadline_ns, NS_PER_S + 10 * NS_PER_MS);
	EXPECT_TRUE(out.keyed);
	EXPECT_EQ(out.shard, 7u);
	EXPECT_EQ(header(ID), nullptr);
	EXPECT_EQ(header(DEADLINE), nullptr);
	EXPECT_STREQ(header(SHARD), "007");
}

/*
 * A deadline that was no whole number of up to one day in milliseconds was
 * answered with 400, after which callers don't try again.
 */
TEST_F(RequestDecodeTest, DeadlineIsReadAsCallersComputeIt)
{
	const uint64_t day_ns = 86400 * NS_PER_S;
	const std::pair<const char *, uint64_t> cases[] = {
		{"4000", 4 * NS_PER_S},
		{"0", 0},
		{"4000.5", 4 * NS_PER_S},
		{"0.9", 0},
		{"7.", 7 * NS_PER_MS},
		{"-1", 0},
		{"-12.5", 0},
		{"86400000", day_ns},
		{"86400001", day_ns},
		{"99999999999999999999999999", day_ns},
	};

	for (auto &c : cases) {
		decode("/a", {{DEADLINE, c.first}});
		EXPECT_FALSE(out.bad_deadline) << c.first;
		EXPECT_EQ(out.deadline_ns, NS_PER_S + c.second) << c.first;
	}
	decode("/a", {{DEADLINE, ""}});
	EXPECT_FALSE(out.bad_deadline);
	EXPECT_EQ(out.deadline_ns, 0u);
}

TEST_F(RequestDecodeTest, DeadlineThatIsNoNumberIsBad)
{
	for (const char *bad : {"soon", "4 s", "1e3", "+4", "--4", "-", ".",
				".5", "4,5", "4.5.6", "0x10", "4000 5000"}) {
		decode("/a", {{DEADLINE, bad}});
		EXPECT_TRUE(out.bad_deadline) << bad;
		EXPECT_EQ(out.deadline_ns, 0u);
	}
}
