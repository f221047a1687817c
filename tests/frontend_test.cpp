#include "jd_test.hpp"

#include <event2/buffer.h>
#include <event2/bufferevent.h>

#include <functional>
#include <vector>

#include "free_port.hpp"

extern "C" {
#include "core/mem.h"
#include "io/addr.h"
#include "io/clock.h"
#include "io/frontend.h"
}

static const uint64_t GIVE_UP_NS = 20 * NS_PER_S;
static const size_t MAX_BODY = 4 << 20;

// A raw connection of a caller.
struct raw {
	raw(struct event_base *base, const std::string &addr)
	{
		struct sockaddr_in a = {};
		char ip[JD_ADDR_MAX];
		uint16_t port;

		addr_split(addr.c_str(), ip, sizeof(ip), &port);
		a.sin_family = AF_INET;
		a.sin_port = htons(port);
		a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
		bev = bufferevent_socket_new(base, -1, BEV_OPT_CLOSE_ON_FREE);
		bufferevent_setcb(bev, on_read, NULL, on_event, this);
		bufferevent_enable(bev, EV_READ | EV_WRITE);
		bufferevent_socket_connect(bev, (struct sockaddr *)&a,
					   sizeof(a));
	}
	~raw()
	{
		hang_up();
	}

	void say(const std::string &text)
	{
		bufferevent_write(bev, text.data(), text.size());
	}
	void hang_up()
	{
		if (bev)
			bufferevent_free(bev);
		bev = NULL;
	}
	bool has(const std::string &text) const
	{
		return in.find(text) != std::string::npos;
	}

	static void on_read(struct bufferevent *b, void *arg)
	{
		struct raw *r = (struct raw *)arg;
		struct evbuffer *e = bufferevent_get_input(b);
		size_t len = evbuffer_get_length(e);

		r->in.append((char *)evbuffer_pullup(e, -1), len);
		evbuffer_drain(e, len);
	}
	static void on_event(struct bufferevent *b, short what, void *arg)
	{
		if (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR))
			((struct raw *)arg)->closed = true;
	}

	struct bufferevent *bev;
	std::string in;
	bool closed = false;
};

class Front : public ::testing::Test
{
protected:
	void SetUp() override
	{
		struct frontend_opts o = {};
		struct status st;

		base = event_base_new();
		addr = free_addr();
		o.base = base;
		o.addr = addr.c_str();
		o.max_body_bytes = MAX_BODY;
		o.on_event = on_event;
		o.page = page;
		o.arg = this;
		f = frontend_new(&o, &st);
		ASSERT_NE(f, nullptr) << st.msg;
	}
	void TearDown() override
	{
		frontend_delete(f);
		for (struct event &ev : events)
			if (ev.kind == EV_REQUEST)
				http_request_unref(ev.u.request.request);
		event_base_free(base);
	}

	static void on_event(void *arg, struct event *ev)
	{
		((Front *)arg)->events.push_back(*ev);
	}
	static char *page(void *arg, const char *path)
	{
		return strcmp(path, "/status") ? NULL
					       : (char *)mem_dup("page\n", 5);
	}

	void until(const std::function<bool()> &done)
	{
		uint64_t end_ns = clock_now_ns() + GIVE_UP_NS;

		while (!done()) {
			struct timeval tv = {0, 2000};

			ASSERT_LT(clock_now_ns(), end_ns);
			event_base_loopexit(base, &tv);
			event_base_dispatch(base);
		}
	}

	// Sends @text and waits until it has come in as an event.
	void ask(struct raw *r, const std::string &text)
	{
		size_t before = events.size();

		r->say(text);
		until([&] { return events.size() > before; });
	}

	void reply(const struct act_reply &r)
	{
		frontend_reply(f, &r);
	}

	// Sends @text, expects @line in the answer and no request.
	void expect_refused(const std::string &text, const std::string &line)
	{
		struct raw r(base, addr);

		r.say(text);
		until([&] { return r.has("\r\n\r\n") || r.closed; });
		EXPECT_TRUE(r.has(line)) << text.substr(0, 80) << r.in;
		EXPECT_TRUE(events.empty());
	}

	struct event_base *base;
	struct front *f;
	std::string addr;
	std::vector<struct event> events;
};

TEST_F(Front, ARequestComesWholeAndItsAnswerGoesBack)
{
	struct raw r(base, addr);
	struct act_reply a = {};

	ask(&r, "POST /x?k=v HTTP/1.1\r\nHost: h\r\nX-A: 1\r\n"
		"Content-Length: 3\r\n\r\nabc");
	const struct http_request *q = events[0].u.request.request;
	EXPECT_STREQ(q->method, "POST");
	EXPECT_STREQ(q->target, "/x?k=v");
	EXPECT_STREQ(payload_header(&q->payload, "x-a"), "1");
	EXPECT_EQ(q->payload.body_len, 3u);
	EXPECT_EQ(frontend_pending(f), 1u);
	a.caller = events[0].u.request.caller;
	mem_copy_str(a.served_by, "n7", sizeof(a.served_by));
	a.answer = http_answer_new(201);
	payload_add_header(&a.answer->payload, "X-B", "2");
	payload_set_body(&a.answer->payload, "done", 4);
	reply(a);
	http_answer_delete(a.answer);
	until([&] { return r.has("\r\n\r\ndone"); });
	EXPECT_TRUE(r.has("HTTP/1.1 201"));
	EXPECT_TRUE(r.has("X-Jackdaw-Outcome: done"));
	EXPECT_TRUE(r.has("X-Jackdaw-Served-By: n7"));
	EXPECT_TRUE(r.has("X-B: 2"));
	EXPECT_FALSE(r.has("Connection: close"));
	until([&] { return frontend_pending(f) == 0; });
}

TEST_F(Front, HeadersOfOneHopStayBehind)
{
	struct raw r(base, addr);

	ask(&r,
	    "GET /x HTTP/1.1\r\nHost: h\r\nTE: trailers\r\n"
	    "Connection: keep-alive, X-Hop\r\nX-Hop: 1\r\nX-End: 2\r\n\r\n");
	const struct payload *p = &events[0].u.request.request->payload;
	EXPECT_EQ(payload_header(p, "Connection"), nullptr);
	EXPECT_EQ(payload_header(p, "TE"), nullptr);
	EXPECT_EQ(payload_header(p, "X-Hop"), nullptr);
	EXPECT_STREQ(payload_header(p, "X-End"), "2");
}

TEST_F(Front, ARefusalSaysOutcomeReasonAndWhereElse)
{
	struct raw r(base, addr);
	struct act_reply a = {};

	ask(&r, "GET /x HTTP/1.1\r\nHost: h\r\n\r\n");
	a.caller = events[0].u.request.caller;
	a.outcome = OUTCOME_NOT_RUN;
	a.refusal = REFUSAL_HOME_REGION;
	a.retry_after_s = 3;
	mem_copy_str(a.region, "b", sizeof(a.region));
	mem_copy_str(a.entry_addr, "10.0.0.1:1", sizeof(a.entry_addr));
	reply(a);
	until([&] { return r.has("reason=home_region"); });
	EXPECT_TRUE(r.has("HTTP/1.1 421"));
	EXPECT_TRUE(r.has("X-Jackdaw-Outcome: not_run"));
	EXPECT_TRUE(r.has("X-Jackdaw-Reason: home_region"));
	EXPECT_TRUE(r.has("X-Jackdaw-Region: b"));
	EXPECT_TRUE(r.has("X-Jackdaw-Entry: 10.0.0.1:1"));
	EXPECT_TRUE(r.has("Retry-After: 3"));
}

// A 503 invites callers and their libraries to send the request again.
TEST_F(Front, UnknownIsNeverA503)
{
	struct raw r(base, addr);
	struct act_reply a = {};

	ask(&r, "GET /x HTTP/1.1\r\nHost: h\r\n\r\n");
	a.caller = events[0].u.request.caller;
	a.outcome = OUTCOME_UNKNOWN;
	a.refusal = REFUSAL_NO_OWNER;
	reply(a);
	until([&] { return r.has("reason=no_owner"); });
	EXPECT_TRUE(r.has("HTTP/1.1 504"));
	EXPECT_TRUE(r.has("X-Jackdaw-Outcome: unknown"));
}

TEST_F(Front, ABodyOverTheLimitComesMarkedAndWithoutIt)
{
	struct raw r(base, addr);

	for (size_t len : {MAX_BODY, MAX_BODY + 1}) {
		ask(&r, "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: " +
				std::to_string(len) + "\r\n\r\n" +
				std::string(len, 'x'));
		const struct ev_request &q = events.back().u.request;
		struct act_reply a = {};

		EXPECT_EQ(q.oversized, len > MAX_BODY);
		EXPECT_EQ(q.request->payload.body_len, q.oversized ? 0 : len);
		a.caller = q.caller;
		a.outcome = OUTCOME_NOT_RUN;
		a.refusal = REFUSAL_TOO_LARGE;
		reply(a);
		until([&] { return r.has("reason=too_large"); });
		EXPECT_TRUE(r.has("HTTP/1.1 413"));
		r.in.clear();
	}
}

TEST_F(Front, BrokenAndOversizedRequestsAreRefused)
{
	expect_refused("GARBAGE\r\n\r\n", "HTTP/1.1 400");
	expect_refused("GET /x HTTP/9.9 x\r\n\r\n", "HTTP/1.1 400");
	expect_refused("BREW /x HTTP/1.1\r\nHost: h\r\n\r\n", "HTTP/1.1 501");
	expect_refused("POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: -5"
		       "\r\n\r\n",
		       "HTTP/1.1 400");
	expect_refused("POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: " +
			       std::to_string(MAX_BODY +
					      FRONTEND_BODY_SLACK_BYTES + 1) +
			       "\r\n\r\n",
		       "HTTP/1.1 413");
	expect_refused("GET /x HTTP/1.1\r\nHost: h\r\nX-Big: " +
			       std::string(64 << 10, 'x') + "\r\n\r\n",
		       "HTTP/1.1 400");
	EXPECT_EQ(frontend_pending(f), 0u);
}

TEST_F(Front, BrokenAnnouncementsAndUnknownPagesAreRefused)
{
	for (const char *body :
	     {"", "{", "[]", "{\"service\":\"s\"}",
	      "{\"service\":\"s\",\"addr\":\"a\",\"instance\":0,\"slots\":1}"})
		expect_refused("POST /-/announce HTTP/1.1\r\nHost: h\r\n"
			       "Content-Length: " +
				       std::to_string(strlen(body)) +
				       "\r\n\r\n" + body,
			       "HTTP/1.1 400");
	expect_refused("GET /-/nothing HTTP/1.1\r\nHost: h\r\n\r\n",
		       "HTTP/1.1 404");
	expect_refused("GET /-/status HTTP/1.1\r\nHost: h\r\n\r\n",
		       "HTTP/1.1 200");
}

TEST_F(Front, ACallerThatGoesAwayIsReportedOnce)
{
	struct raw r(base, addr);
	struct act_reply a = {};

	ask(&r, "GET /x HTTP/1.1\r\nHost: h\r\n\r\n");
	r.hang_up();
	until([&] { return events.size() == 2; });
	EXPECT_EQ(events[1].kind, EV_CALLER_GONE);
	EXPECT_EQ(events[1].u.caller_gone.caller, events[0].u.request.caller);
	a.caller = events[0].u.request.caller;
	reply(a);
	EXPECT_EQ(frontend_pending(f), 0u);
}

TEST_F(Front, APipelinedRequestWaitsForTheAnswerBeforeIt)
{
	const std::string second =
		"PUT /2 HTTP/1.1\r\nHost: h\r\nContent-Length: 300000\r\n\r\n" +
		std::string(300000, 'p');
	struct raw r(base, addr);
	struct act_reply a = {};

	ask(&r, "GET /1 HTTP/1.1\r\nHost: h\r\n\r\n");
	r.say(second);
	struct timeval tv = {0, 20000};
	event_base_loopexit(base, &tv);
	event_base_dispatch(base);
	ASSERT_EQ(events.size(), 1u);
	a.caller = events[0].u.request.caller;
	a.outcome = OUTCOME_NOT_RUN;
	a.refusal = REFUSAL_NO_OWNER;
	reply(a);
	until([&] { return events.size() == 2; });
	EXPECT_STREQ(events[1].u.request.request->target, "/2");
	EXPECT_EQ(events[1].u.request.request->payload.body_len, 300000u);
	a.caller = events[1].u.request.caller;
	a.refusal = REFUSAL_NO_KEY;
	reply(a);
	until([&] { return r.has("reason=no_key"); });
}

TEST_F(Front, LargeBodiesPassWholeBothWays)
{
	struct raw r(base, addr);
	std::string body(MAX_BODY, 'q');
	struct act_reply a = {};

	ask(&r, "PUT /x HTTP/1.1\r\nHost: h\r\nContent-Length: " +
			std::to_string(body.size()) + "\r\n\r\n" + body);
	EXPECT_EQ(events[0].u.request.request->payload.body_len, MAX_BODY);
	a.caller = events[0].u.request.caller;
	a.answer = http_answer_new(200);
	payload_set_body(&a.answer->payload, body.data(), body.size());
	reply(a);
	http_answer_delete(a.answer);
	EXPECT_EQ(frontend_pending(f), 1u);
	until([&] {
		size_t head = r.in.find("\r\n\r\n");
		return head != std::string::npos &&
		       r.in.size() == head + 4 + MAX_BODY;
	});
	until([&] { return frontend_pending(f) == 0; });
}

TEST_F(Front, ADrainingNodeAnswersAndClosesTheConnection)
{
	struct raw r(base, addr);
	struct act_reply a = {};

	ask(&r, "GET /x HTTP/1.1\r\nHost: h\r\n\r\n");
	frontend_drain(f);
	a.caller = events[0].u.request.caller;
	a.answer = http_answer_new(200);
	payload_set_body(&a.answer->payload, "last", 4);
	reply(a);
	http_answer_delete(a.answer);
	until([&] { return r.closed; });
	EXPECT_TRUE(r.has("Connection: close"));
	EXPECT_TRUE(r.has("\r\n\r\nlast"));
}
