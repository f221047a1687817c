#include "jd_test.hpp"

extern "C" {
#include "core/mem.h"
#include "core/request_key.h"
}

class RequestKey : public ::testing::Test
{
protected:
	void SetUp() override
	{
		r = http_request_new("GET", "/a/b?x=1&k=v");
	}
	void TearDown() override
	{
		http_request_unref(r);
	}

	void header(const char *name, const char *value)
	{
		payload_add_header(&r->payload, name, value);
	}

	bool find(enum key_source source, const char *name, uint32_t segment,
		  size_t cap = JD_KEY_MAX)
	{
		struct key_rule rule = {};

		rule.source = source;
		mem_copy_str(rule.name, name, sizeof(rule.name));
		rule.segment = segment;
		return request_key(r, &rule, key, cap);
	}

	struct http_request *r;
	char key[JD_KEY_MAX];
	uint64_t ms;
};

TEST_F(RequestKey, ComesFromPathQueryOrHeader)
{
	EXPECT_TRUE(find(KEY_PATH, "", 1));
	EXPECT_STREQ(key, "b");
	EXPECT_TRUE(find(KEY_QUERY, "k", 0));
	EXPECT_STREQ(key, "v");
	header("x-key", "h");
	EXPECT_TRUE(find(KEY_HEADER, "X-Key", 0));
	EXPECT_STREQ(key, "h");
}

TEST_F(RequestKey, AMissingOrTooLongKeyIsRejected)
{
	EXPECT_FALSE(find(KEY_PATH, "", 2));
	EXPECT_FALSE(find(KEY_QUERY, "y", 0));
	EXPECT_FALSE(find(KEY_HEADER, "X-Key", 0));
	header("X-Key", "12345678");
	EXPECT_FALSE(find(KEY_HEADER, "X-Key", 0, 8));
	EXPECT_TRUE(find(KEY_HEADER, "X-Key", 0, 9));
}

TEST_F(RequestKey, ADeadlineThatIsNoNumberInRangeIsRejected)
{
	EXPECT_TRUE(request_deadline(r, &ms));
	EXPECT_EQ(ms, 0u);
	for (const char *bad : {"", "0", "-1", "12x", " 5", "1e3", "600001",
				"99999999999999999999999"}) {
		struct http_request *b = http_request_new("GET", "/");

		payload_add_header(&b->payload, HEADER_DEADLINE_MS, bad);
		EXPECT_FALSE(request_deadline(b, &ms)) << bad;
		http_request_unref(b);
	}
	header(HEADER_DEADLINE_MS, "250");
	EXPECT_TRUE(request_deadline(r, &ms));
	EXPECT_EQ(ms, 250u);
}

TEST_F(RequestKey, ACallerCannotSetReservedHeaders)
{
	header("X-Request-Id", "forged");
	header("x-fence", "keyed/1/99");
	header("X-Deadline-Ms", "1");
	header("X-JACKDAW-Outcome", "done");
	header("X-Other", "kept");
	request_strip_reserved_headers(r);
	EXPECT_EQ(payload_header(&r->payload, "X-Request-Id"), nullptr);
	EXPECT_EQ(payload_header(&r->payload, "X-Fence"), nullptr);
	EXPECT_EQ(payload_header(&r->payload, "X-Deadline-Ms"), nullptr);
	EXPECT_EQ(payload_header(&r->payload, "X-Jackdaw-Outcome"), nullptr);
	EXPECT_STREQ(payload_header(&r->payload, "X-Other"), "kept");
}

TEST_F(RequestKey, OnlyMethodsThatMayRunTwiceAreIdempotentByDefault)
{
	struct manifest *m = manifest_new();
	const struct route *route = manifest_add_route(m);

	for (const char *name : {"GET", "HEAD", "OPTIONS", "PUT", "DELETE"})
		EXPECT_TRUE(route_idempotent(route, name)) << name;
	for (const char *name : {"POST", "PATCH"})
		EXPECT_FALSE(route_idempotent(route, name)) << name;
	manifest_delete(m);
}
