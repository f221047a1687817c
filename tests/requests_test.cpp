#include "jd_test.hpp"

#include <string>

extern "C" {
#include "core/mem.h"
#include "platform/requests.h"
}

static const char ID[] = "Jackdawpaddle-Request-Id";
static const char DEADLINE[] = "Jackdawpaddle-Request-Deadline";
static const char CALLER[] = "Jackdawpaddle-Caller-Service";
static const char INSTANCE[] = "Jackdawpaddle-Expected-Instance";
static const char SHARD[] = "Jackdawpaddle-Shard-Key";
static const char SIGNATURE[] = "Jackdawpaddle-Response-Signature";
static const char NOT_RUN[] = "Jackdawpaddle-Not-Executed";

static struct http_request *
request(std::initializer_list<std::pair<const char *, const char *>> headers)
{
	struct http_request *r = http_request_new("GET", "/a/b?c");

	for (auto &h : headers)
		payload_add_header(&r->payload, h.first, h.second);
	return r;
}

TEST(Requests, RequestIsDecodedAndStripped)
{
	struct caller_request out;

	request_decode(request({{"Host", "a.example"},
				{ID, "77"},
				{DEADLINE, "1500"},
				{SHARD, "65535"},
				{CALLER, "forged"},
				{INSTANCE, "forged"},
				{"Connection", "close, X-Hop"},
				{"X-Hop", "1"},
				{"X-Other", "2"}}),
		       5, false, NS_PER_S, &out);
	EXPECT_EQ(out.caller, 5u);
	EXPECT_STREQ(out.id, "77");
	EXPECT_STREQ(out.host, "a.example");
	EXPECT_EQ(out.deadline_ns, NS_PER_S + 1500 * NS_PER_MS);
	EXPECT_TRUE(out.keyed);
	EXPECT_EQ(out.shard, 65535u);
	const struct payload *p = &out.request->payload;

	EXPECT_EQ(payload_header(p, CALLER), nullptr);
	EXPECT_EQ(payload_header(p, INSTANCE), nullptr);
	EXPECT_EQ(payload_header(p, "X-Hop"), nullptr);
	EXPECT_EQ(payload_header(p, "Connection"), nullptr);
	EXPECT_STREQ(payload_header(p, "X-Other"), "2");
	EXPECT_STREQ(payload_header(p, SHARD), "65535");
	caller_request_done(&out);
}

static const char TENANT[] = "Jackdawpaddle-Tenant-Id";

/* The key that @values of Authorization headers carry; "bad" if it can't be. */
static std::string key_of(std::initializer_list<const char *> values)
{
	struct http_request *r = http_request_new("GET", "/");
	struct caller_request out;

	for (const char *v : values)
		payload_add_header(&r->payload, "authorization", v);
	request_decode(r, 1, false, 0, &out);
	EXPECT_STREQ(out.organisation_header, TENANT);
	std::string key = out.bad_api_key ? "bad"
			  : out.api_key	  ? out.api_key
					  : "";

	caller_request_done(&out);
	return key;
}

TEST(Requests, TheApiKeyIsDecoded)
{
	EXPECT_EQ(key_of({"Bearer k1"}), "k1");
	EXPECT_EQ(key_of({" bEARER \t k1 "}), "k1");
	EXPECT_EQ(key_of({}), "");
	EXPECT_EQ(key_of({"Basic k1"}), "");
	EXPECT_EQ(key_of({"Bearerk1"}), "");
	EXPECT_EQ(key_of({"Bearer"}), "bad");
	EXPECT_EQ(key_of({"Bearer k1 k2"}), "bad");
	EXPECT_EQ(key_of({"Bearer k1", "Bearer k1"}), "bad");
	EXPECT_EQ(key_of({"Bearer k1", "Basic x"}), "bad");
	EXPECT_EQ(key_of({"Basic x", "Bearer k1"}), "bad");
}

/* One of 128 bytes or more was refused. */
TEST(Requests, AnApiKeyMayHaveAnyLength)
{
	for (size_t len : {127, 128, 2000, 15000}) {
		const std::string key(len, 'k');

		EXPECT_EQ(key_of({("Bearer " + key).c_str()}), key) << len;
	}
}

/* It is not known here whether the configuration has organisations. */
TEST(Requests, DecodingKeepsWhatOtherFleetsPassOn)
{
	struct caller_request out;

	request_decode(request({{"Authorization", "Bearer k"}, {TENANT, "x"}}),
		       1, false, 0, &out);
	EXPECT_STREQ(payload_header(&out.request->payload, "Authorization"),
		     "Bearer k");
	EXPECT_STREQ(payload_header(&out.request->payload, TENANT), "x");
	caller_request_done(&out);
}

TEST(Requests, TheUpstreamLearnsTheOrganisation)
{
	struct act_mesh_upstream_call a = {};
	struct http_request *r;

	a.request = request({{"Host", "a.example"}});
	r = request_for_upstream(&a, 0);
	EXPECT_EQ(payload_header(&r->payload, TENANT), nullptr);
	http_request_unref(r);
	for (const std::string &name :
	     {std::string("museum"), std::string(300, 'm')}) {
		a.organisation = mem_dup_str(name.c_str());
		r = request_for_upstream(&a, 0);
		EXPECT_EQ(payload_header(&r->payload, TENANT), name);
		http_request_unref(r);
		free(a.organisation);
	}
	http_request_unref(a.request);
}

TEST(Requests, InvalidNumbersAreNotUsed)
{
	struct caller_request out;

	for (const char *bad : {"65536", "-1", "1x", "", " 1"}) {
		request_decode(request({{SHARD, bad}, {DEADLINE, "soon"}}), 1,
			       false, 0, &out);
		EXPECT_FALSE(out.keyed) << bad;
		EXPECT_TRUE(out.bad_deadline);
		caller_request_done(&out);
	}
}

TEST(Requests, UpstreamRequestCarriesTheRoutersHeaders)
{
	const std::string mine(300, 's'), instance(253, 'i'), id(4000, '7');
	struct act_mesh_upstream_call a = {};
	struct http_request *r;

	a.request = request({{"Host", "a.example"}, {"X-Other", "2"}});
	a.deadline_ns = 2 * NS_PER_S;
	a.instance = mem_dup_str(instance.c_str());
	a.caller_id = mem_dup_str(id.c_str());
	a.caller_service = mem_dup_str(mine.c_str());
	r = request_for_upstream(&a, NS_PER_S);
	EXPECT_STREQ(payload_header(&r->payload, DEADLINE), "1000");
	EXPECT_EQ(payload_header(&r->payload, INSTANCE), instance);
	EXPECT_STREQ(payload_header(&r->payload, CALLER), mine.c_str());
	EXPECT_EQ(payload_header(&r->payload, ID), id);
	EXPECT_STREQ(payload_header(&r->payload, "X-Other"), "2");
	EXPECT_STREQ(r->target, "/a/b?c");
	http_request_unref(r);
	http_request_unref(a.request);
	free(a.caller_id);
	free(a.caller_service);
	free(a.instance);
}

/*
 * An upstream that ends a request at its deadline says so; the node's own time
 * was over at the same moment and gave an answer of the node instead.
 */
TEST(Requests, UpstreamMayAnswerAtItsDeadline)
{
	struct act_mesh_upstream_call a = {};
	struct client_call call;

	a.request = request({});
	a.deadline_ns = 2 * NS_PER_S;
	a.write_before_ns = 3 * NS_PER_S;
	call_for_upstream(&a, NS_PER_S, &call);
	EXPECT_STREQ(payload_header(&call.request->payload, DEADLINE), "1000");
	EXPECT_GE(call.deadline_ns, a.deadline_ns + 5 * NS_PER_MS);
	EXPECT_LE(call.deadline_ns, a.deadline_ns + 20 * NS_PER_MS);
	EXPECT_EQ(call.write_before_ns, a.deadline_ns);
	http_request_unref(call.request);
	a.write_before_ns = NS_PER_S;
	call_for_upstream(&a, NS_PER_S, &call);
	EXPECT_EQ(call.write_before_ns, a.write_before_ns);
	http_request_unref(call.request);
	http_request_unref(a.request);
}

struct AnswerCase {
	int code;
	std::initializer_list<std::pair<const char *, const char *>> headers;
	enum outcome outcome;
};

TEST(Requests, OutcomeFollowsFromTheUpstreamsHeaders)
{
	const AnswerCase cases[] = {
		{200, {{SIGNATURE, "s"}}, OUTCOME_DONE},
		{200, {}, OUTCOME_UNKNOWN},
		{200,
		 {{SIGNATURE, "s"}, {"Content-Encoding", "gzip"}},
		 OUTCOME_UNKNOWN},
		{500, {{SIGNATURE, "s"}}, OUTCOME_DONE},
		{503, {{NOT_RUN, "1"}}, OUTCOME_NOT_RUN},
		{400, {{NOT_RUN, "1"}}, OUTCOME_NOT_RUN},
		{503, {}, OUTCOME_UNKNOWN},
		{429, {{SIGNATURE, "s"}}, OUTCOME_UNKNOWN},
		{421, {}, OUTCOME_NOT_RUN},
		{408, {}, OUTCOME_UNKNOWN},
		{0, {{SIGNATURE, "s"}}, OUTCOME_UNKNOWN},
		{99, {{SIGNATURE, "s"}}, OUTCOME_UNKNOWN},
		{101, {{SIGNATURE, "s"}}, OUTCOME_UNKNOWN},
		{600, {{SIGNATURE, "s"}}, OUTCOME_UNKNOWN},
		{999, {{SIGNATURE, "s"}}, OUTCOME_UNKNOWN},
	};

	for (auto &c : cases) {
		struct client_result r = {};
		struct ev_upstream_end e;

		r.end = CLIENT_ANSWERED;
		r.answer = http_answer_new(c.code);
		for (auto &h : c.headers)
			payload_add_header(&r.answer->payload, h.first,
					   h.second);
		result_decode(&r, &e);
		EXPECT_EQ(e.outcome, c.outcome) << c.code;
		EXPECT_EQ(e.answer != NULL, c.outcome == OUTCOME_DONE);
		http_answer_delete(e.answer);
		http_answer_delete(r.answer);
	}
}

/*
 * A success that claims not to have run contradicts itself; taken for a
 * refusal it made the request run at a second upstream.
 */
TEST(Requests, SuccessThatClaimsNotToHaveRunIsUnknown)
{
	for (int code : {200, 204, 304}) {
		struct client_result r = {};
		struct ev_upstream_end e;

		r.end = CLIENT_ANSWERED;
		r.answer = http_answer_new(code);
		payload_add_header(&r.answer->payload, SIGNATURE, "s");
		payload_add_header(&r.answer->payload, NOT_RUN, "1");
		result_decode(&r, &e);
		EXPECT_EQ(e.outcome, OUTCOME_UNKNOWN) << code;
		EXPECT_EQ(e.answer, nullptr);
		http_answer_delete(r.answer);
	}
}

/* A success with an empty signature was passed on as a signed one. */
TEST(Requests, EmptySignatureDoesNotSignASuccess)
{
	struct client_result r = {};
	struct ev_upstream_end e;

	r.end = CLIENT_ANSWERED;
	r.answer = http_answer_new(200);
	payload_add_header(&r.answer->payload, SIGNATURE, "");
	result_decode(&r, &e);
	EXPECT_EQ(e.outcome, OUTCOME_UNKNOWN);
	EXPECT_EQ(e.answer, nullptr);
	http_answer_delete(r.answer);
}

/*
 * The upstream's own 3xx and 4xx are passed on, signed or not: a failure need
 * not be signed.
 */
TEST(Requests, FailureOfTheUpstreamIsPassedOnUnchanged)
{
	for (int code : {300, 302, 304, 400, 401, 404, 409, 413, 499}) {
		for (bool is_signed : {false, true}) {
			struct client_result r = {};
			struct ev_upstream_end e;

			r.end = CLIENT_ANSWERED;
			r.answer = http_answer_new(code);
			if (is_signed)
				payload_add_header(&r.answer->payload,
						   SIGNATURE, "s");
			payload_set_body(&r.answer->payload, "why", 3);
			result_decode(&r, &e);
			EXPECT_EQ(e.outcome, OUTCOME_DONE) << code;
			ASSERT_NE(e.answer, nullptr) << code;
			EXPECT_EQ(e.answer->code, code);
			EXPECT_EQ(e.answer->payload.body_len, 3u);
			EXPECT_EQ(payload_header(&e.answer->payload,
						 SIGNATURE) != nullptr,
				  is_signed);
			http_answer_delete(e.answer);
		}
	}
}

TEST(Requests, OutcomeOfACallWithoutAnAnswer)
{
	const std::pair<enum client_end, enum outcome> cases[] = {
		{CLIENT_REFUSED, OUTCOME_NOT_RUN},
		{CLIENT_NOT_SENT, OUTCOME_NOT_RUN},
		{CLIENT_INCOMPLETE, OUTCOME_UNKNOWN},
		{CLIENT_TIMED_OUT, OUTCOME_UNKNOWN},
	};

	for (auto &c : cases) {
		struct client_result r = {};
		struct ev_upstream_end e;

		r.end = c.first;
		result_decode(&r, &e);
		EXPECT_EQ(e.outcome, c.second);
		EXPECT_EQ(e.refused_connection, c.first == CLIENT_REFUSED);
	}
}

TEST(Requests, RefusalCarriesRetryAfter)
{
	struct act_caller_reply a = {};
	char id[] = "77";
	struct http_answer *out;

	a.code = 503;
	a.refusal = REFUSAL_NO_OWNER;
	a.retry_after_ns = 250 * NS_PER_MS;
	a.id = id;
	out = reply_encode(&a);
	EXPECT_STREQ(payload_header(&out->payload, "Retry-After"), "0.250");
	EXPECT_STREQ(payload_header(&out->payload, ID), "77");
	http_answer_delete(out);
}

/* A figure of 2^32 was 0: a full upstream seemed idle. */
TEST(Requests, AFigureOfTheLoadThatDoesNotFitIsTheLargest)
{
	const std::pair<const char *, bool> cases[] = {
		{"4294967296,18446744073709551616,8,4294967295", true},
		{"4294967295, 4294967295, 8", true},
		{"3,0", false},
		{"-1,0,8", false},
		{"x", false},
	};

	for (const auto &[text, present] : cases) {
		struct client_result r = {};
		struct ev_upstream_end e;

		r.end = CLIENT_ANSWERED;
		r.answer = http_answer_new(404);
		payload_add_header(&r.answer->payload,
				   "Jackdawpaddle-Server-Load", text);
		result_decode(&r, &e);
		EXPECT_EQ(e.report.present, present) << text;
		if (present) {
			EXPECT_EQ(e.report.running, UINT32_MAX) << text;
			EXPECT_EQ(e.report.waiting, UINT32_MAX) << text;
			EXPECT_EQ(e.report.slots, 8u) << text;
		}
		http_answer_delete(e.answer);
	}
}

/*
 * Traffic between regions is paid for by the byte, so the gate must not send
 * the entry headers that the entry adds itself or does not need.
 */
TEST(Requests, GateRemovesHeadersThatTheEntryAdds)
{
	struct client_result r = {};
	struct ev_upstream_end e;
	struct act_caller_reply a = {};
	char id[] = "77";
	struct http_answer *out;

	r.end = CLIENT_ANSWERED;
	r.answer = http_answer_new(200);
	payload_add_header(&r.answer->payload, SIGNATURE, "s");
	payload_add_header(&r.answer->payload, ID, "77");
	payload_add_header(&r.answer->payload, "Jackdawpaddle-Server-Load",
			   "3,0,8,100");
	payload_add_header(&r.answer->payload, "ETag", "x");
	result_decode(&r, &e);
	ASSERT_EQ(e.outcome, OUTCOME_DONE);
	EXPECT_EQ(e.report.running, 3u);
	EXPECT_EQ(payload_header(&e.answer->payload, ID), nullptr);
	EXPECT_EQ(payload_header(&e.answer->payload,
				 "Jackdawpaddle-Server-Load"),
		  nullptr);
	a.answer = e.answer;
	a.code = 200;
	a.id = id;
	out = reply_encode(&a);
	EXPECT_STREQ(payload_header(&out->payload, ID), "77");
	EXPECT_STREQ(payload_header(&out->payload, SIGNATURE), "s");
	EXPECT_STREQ(payload_header(&out->payload, "ETag"), "x");
	http_answer_delete(out);
	http_answer_delete(e.answer);
}
