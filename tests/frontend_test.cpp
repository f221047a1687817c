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

static const uint64_t WAIT_LIMIT_NS = 20 * NS_PER_S;
static const size_t MAX_BODY_BYTES = 4 << 20;

// A caller's TCP connection, without an HTTP client.
struct RawConnection {
	RawConnection(struct event_base *base, const std::string &addr)
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
	~RawConnection()
	{
		disconnect();
	}

	void send(const std::string &text)
	{
		bufferevent_write(bev, text.data(), text.size());
	}
	void disconnect()
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
		struct RawConnection *conn = (struct RawConnection *)arg;
		struct evbuffer *e = bufferevent_get_input(b);
		size_t len = evbuffer_get_length(e);

		conn->in.append((char *)evbuffer_pullup(e, -1), len);
		evbuffer_drain(e, len);
	}
	static void on_event(struct bufferevent *b, short what, void *arg)
	{
		if (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR))
			((struct RawConnection *)arg)->closed = true;
	}

	struct bufferevent *bev;
	std::string in;
	bool closed = false;
};

class Frontend : public ::testing::Test
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
		o.max_body_bytes = MAX_BODY_BYTES;
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
		((Frontend *)arg)->events.push_back(*ev);
	}
	static char *page(void *arg, const char *path)
	{
		return strcmp(path, "/status") ? NULL
					       : (char *)mem_dup("page\n", 5);
	}

	void run_until(const std::function<bool()> &done)
	{
		uint64_t end_ns = clock_now_ns() + WAIT_LIMIT_NS;

		while (!done()) {
			struct timeval tv = {0, 2000};

			ASSERT_LT(clock_now_ns(), end_ns);
			event_base_loopexit(base, &tv);
			event_base_dispatch(base);
		}
	}

	// Sends @text and runs the loop until it is reported as an event.
	void send_and_wait(struct RawConnection *conn, const std::string &text)
	{
		size_t before = events.size();

		conn->send(text);
		run_until([&] { return events.size() > before; });
	}

	void reply(const struct act_reply &r)
	{
		frontend_reply(f, &r);
	}

	// Sends @text; expects @line in the answer and no event.
	void expect_direct_reply(const std::string &text,
				 const std::string &line)
	{
		struct RawConnection conn(base, addr);

		conn.send(text);
		run_until([&] { return conn.has("\r\n\r\n") || conn.closed; });
		EXPECT_TRUE(conn.has(line)) << text.substr(0, 80) << conn.in;
		EXPECT_TRUE(events.empty());
	}

	struct event_base *base;
	struct frontend *f;
	std::string addr;
	std::vector<struct event> events;
};

TEST_F(Frontend, RequestIsReportedCompletelyAndAnswered)
{
	struct RawConnection conn(base, addr);
	struct act_reply a = {};

	send_and_wait(&conn, "POST /x?k=v HTTP/1.1\r\nHost: h\r\nX-A: 1\r\n"
			     "Content-Length: 3\r\n\r\nabc");
	const struct http_request *request = events[0].u.request.request;
	EXPECT_STREQ(request->method, "POST");
	EXPECT_STREQ(request->target, "/x?k=v");
	EXPECT_STREQ(payload_header(&request->payload, "x-a"), "1");
	EXPECT_EQ(request->payload.body_len, 3u);
	EXPECT_EQ(frontend_pending(f), 1u);
	a.caller = events[0].u.request.caller;
	mem_copy_str(a.served_by, "n7", sizeof(a.served_by));
	a.answer = http_answer_new(201);
	payload_add_header(&a.answer->payload, "X-B", "2");
	payload_set_body(&a.answer->payload, "done", 4);
	reply(a);
	http_answer_delete(a.answer);
	run_until([&] { return conn.has("\r\n\r\ndone"); });
	EXPECT_TRUE(conn.has("HTTP/1.1 201"));
	EXPECT_TRUE(conn.has("X-Jackdaw-Outcome: done"));
	EXPECT_TRUE(conn.has("X-Jackdaw-Served-By: n7"));
	EXPECT_TRUE(conn.has("X-B: 2"));
	EXPECT_FALSE(conn.has("Connection: close"));
	run_until([&] { return frontend_pending(f) == 0; });
}

TEST_F(Frontend, HopByHopHeadersAreRemoved)
{
	struct RawConnection conn(base, addr);

	send_and_wait(&conn, "GET /x HTTP/1.1\r\nHost: h\r\nTE: trailers\r\n"
			     "Connection: keep-alive, X-Hop\r\n"
			     "X-Hop: 1\r\nX-End: 2\r\n\r\n");
	const struct payload *p = &events[0].u.request.request->payload;
	EXPECT_EQ(payload_header(p, "Connection"), nullptr);
	EXPECT_EQ(payload_header(p, "TE"), nullptr);
	EXPECT_EQ(payload_header(p, "X-Hop"), nullptr);
	EXPECT_STREQ(payload_header(p, "X-End"), "2");
}

// A target in absolute form once matched no route: the caller got 404.
TEST_F(Frontend, TargetInAbsoluteFormIsReducedToItsPath)
{
	const char *const targets[][2] = {
		{"http://h/x?k=v", "/x?k=v"},
		{"HTTPS://H:80/x", "/x"},
		{"http://h", "/"},
		{"http://h?k=v", "/?k=v"},
		{"/x?u=http://h/y", "/x?u=http://h/y"},
	};

	for (const auto &t : targets) {
		struct RawConnection conn(base, addr);

		send_and_wait(&conn, std::string("GET ") + t[0] +
					     " HTTP/1.1\r\nHost: h\r\n\r\n");
		EXPECT_STREQ(events.back().u.request.request->target, t[1]);
	}
}

// Internal paths are not passed on to an upstream in any form.
TEST_F(Frontend, InternalPathInAbsoluteFormIsNotReportedAsRequest)
{
	expect_direct_reply("GET http://h/-/status HTTP/1.1\r\nHost: h\r\n\r\n",
			    "HTTP/1.1 200");
	expect_direct_reply("POST http://h/-/grants HTTP/1.1\r\nHost: h\r\n"
			    "Content-Length: 2\r\n\r\n{}",
			    "HTTP/1.1 404");
}

// A tab before a value once stayed in it: a deadline then was no number (400)
// and an organisation unknown (403).
TEST_F(Frontend, BlanksAroundHeaderValuesAreRemoved)
{
	struct RawConnection conn(base, addr);

	send_and_wait(&conn, "GET /x HTTP/1.1\r\nHost: h\r\nX-A:\t500 \t\r\n"
			     "X-B: \t 7\r\nX-C:8\r\n\r\n");
	const struct payload *p = &events[0].u.request.request->payload;
	EXPECT_STREQ(payload_header(p, "X-A"), "500");
	EXPECT_STREQ(payload_header(p, "X-B"), "7");
	EXPECT_STREQ(payload_header(p, "X-C"), "8");
}

TEST_F(Frontend, RefusalCarriesOutcomeReasonAndOtherEntry)
{
	struct RawConnection conn(base, addr);
	struct act_reply a = {};

	send_and_wait(&conn, "GET /x HTTP/1.1\r\nHost: h\r\n\r\n");
	a.caller = events[0].u.request.caller;
	a.outcome = OUTCOME_NOT_RUN;
	a.refusal = REFUSAL_HOME_REGION;
	a.retry_after_s = 3;
	mem_copy_str(a.region, "b", sizeof(a.region));
	mem_copy_str(a.entry_addr, "10.0.0.1:1", sizeof(a.entry_addr));
	reply(a);
	run_until([&] { return conn.has("reason=home_region"); });
	EXPECT_TRUE(conn.has("HTTP/1.1 421"));
	EXPECT_TRUE(conn.has("X-Jackdaw-Outcome: not_run"));
	EXPECT_TRUE(conn.has("X-Jackdaw-Reason: home_region"));
	EXPECT_TRUE(conn.has("X-Jackdaw-Region: b"));
	EXPECT_TRUE(conn.has("X-Jackdaw-Entry: 10.0.0.1:1"));
	EXPECT_TRUE(conn.has("Retry-After: 3"));
}

// A 503 invites callers and their libraries to send the request again.
TEST_F(Frontend, UnknownOutcomeIsNeverA503)
{
	struct RawConnection conn(base, addr);
	struct act_reply a = {};

	send_and_wait(&conn, "GET /x HTTP/1.1\r\nHost: h\r\n\r\n");
	a.caller = events[0].u.request.caller;
	a.outcome = OUTCOME_UNKNOWN;
	a.refusal = REFUSAL_NO_OWNER;
	reply(a);
	run_until([&] { return conn.has("reason=no_owner"); });
	EXPECT_TRUE(conn.has("HTTP/1.1 504"));
	EXPECT_TRUE(conn.has("X-Jackdaw-Outcome: unknown"));
}

TEST_F(Frontend, OversizedBodyIsFlaggedAndDropped)
{
	struct RawConnection conn(base, addr);

	for (size_t len : {MAX_BODY_BYTES, MAX_BODY_BYTES + 1}) {
		send_and_wait(
			&conn,
			"POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: " +
				std::to_string(len) + "\r\n\r\n" +
				std::string(len, 'x'));
		const struct ev_request &ev = events.back().u.request;
		struct act_reply a = {};

		EXPECT_EQ(ev.oversized, len > MAX_BODY_BYTES);
		EXPECT_EQ(ev.request->payload.body_len, ev.oversized ? 0 : len);
		a.caller = ev.caller;
		a.outcome = OUTCOME_NOT_RUN;
		a.refusal = REFUSAL_TOO_LARGE;
		reply(a);
		run_until([&] { return conn.has("reason=too_large"); });
		EXPECT_TRUE(conn.has("HTTP/1.1 413"));
		conn.in.clear();
	}
}

TEST_F(Frontend, InvalidAndTooLargeRequestsAreRejected)
{
	expect_direct_reply("GARBAGE\r\n\r\n", "HTTP/1.1 400");
	expect_direct_reply("GET /x HTTP/9.9 x\r\n\r\n", "HTTP/1.1 400");
	expect_direct_reply("BREW /x HTTP/1.1\r\nHost: h\r\n\r\n",
			    "HTTP/1.1 501");
	expect_direct_reply("POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: -5"
			    "\r\n\r\n",
			    "HTTP/1.1 400");
	expect_direct_reply("POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: " +
				    std::to_string(MAX_BODY_BYTES +
						   FRONTEND_BODY_SLACK_BYTES +
						   1) +
				    "\r\n\r\n",
			    "HTTP/1.1 413");
	expect_direct_reply("GET /x HTTP/1.1\r\nHost: h\r\nX-Big: " +
				    std::string(64 << 10, 'x') + "\r\n\r\n",
			    "HTTP/1.1 400");
	EXPECT_EQ(frontend_pending(f), 0u);
}

TEST_F(Frontend, InvalidAnnouncementsAndUnknownPagesAreRejected)
{
	for (const char *body :
	     {"", "{", "[]", "{\"service\":\"s\"}",
	      "{\"service\":\"s\",\"addr\":\"a\",\"instance\":0,\"slots\":1}"})
		expect_direct_reply("POST /-/announce HTTP/1.1\r\nHost: h\r\n"
				    "Content-Length: " +
					    std::to_string(strlen(body)) +
					    "\r\n\r\n" + body,
				    "HTTP/1.1 400");
	expect_direct_reply("GET /-/nothing HTTP/1.1\r\nHost: h\r\n\r\n",
			    "HTTP/1.1 404");
	expect_direct_reply("GET /-/status HTTP/1.1\r\nHost: h\r\n\r\n",
			    "HTTP/1.1 200");
}

TEST_F(Frontend, DisconnectedCallerIsReportedOnce)
{
	struct RawConnection conn(base, addr);
	struct act_reply a = {};

	send_and_wait(&conn, "GET /x HTTP/1.1\r\nHost: h\r\n\r\n");
	conn.disconnect();
	run_until([&] { return events.size() == 2; });
	EXPECT_EQ(events[1].kind, EV_CALLER_DISCONNECTED);
	EXPECT_EQ(events[1].u.caller_disconnected.caller,
		  events[0].u.request.caller);
	a.caller = events[0].u.request.caller;
	reply(a);
	EXPECT_EQ(frontend_pending(f), 0u);
}

TEST_F(Frontend, PipelinedRequestWaitsForPreviousAnswer)
{
	const std::string second =
		"PUT /2 HTTP/1.1\r\nHost: h\r\nContent-Length: 300000\r\n\r\n" +
		std::string(300000, 'p');
	struct RawConnection conn(base, addr);
	struct act_reply a = {};

	send_and_wait(&conn, "GET /1 HTTP/1.1\r\nHost: h\r\n\r\n");
	conn.send(second);
	struct timeval tv = {0, 20000};
	event_base_loopexit(base, &tv);
	event_base_dispatch(base);
	ASSERT_EQ(events.size(), 1u);
	a.caller = events[0].u.request.caller;
	a.outcome = OUTCOME_NOT_RUN;
	a.refusal = REFUSAL_NO_OWNER;
	reply(a);
	run_until([&] { return events.size() == 2; });
	EXPECT_STREQ(events[1].u.request.request->target, "/2");
	EXPECT_EQ(events[1].u.request.request->payload.body_len, 300000u);
	a.caller = events[1].u.request.caller;
	a.refusal = REFUSAL_NO_KEY;
	reply(a);
	run_until([&] { return conn.has("reason=no_key"); });
}

TEST_F(Frontend, LargeBodiesArriveCompleteInBothDirections)
{
	struct RawConnection conn(base, addr);
	std::string body(MAX_BODY_BYTES, 'q');
	struct act_reply a = {};

	send_and_wait(&conn, "PUT /x HTTP/1.1\r\nHost: h\r\nContent-Length: " +
				     std::to_string(body.size()) + "\r\n\r\n" +
				     body);
	EXPECT_EQ(events[0].u.request.request->payload.body_len,
		  MAX_BODY_BYTES);
	a.caller = events[0].u.request.caller;
	a.answer = http_answer_new(200);
	payload_set_body(&a.answer->payload, body.data(), body.size());
	reply(a);
	http_answer_delete(a.answer);
	EXPECT_EQ(frontend_pending(f), 1u);
	run_until([&] {
		size_t head = conn.in.find("\r\n\r\n");
		return head != std::string::npos &&
		       conn.in.size() == head + 4 + MAX_BODY_BYTES;
	});
	run_until([&] { return frontend_pending(f) == 0; });
}

TEST_F(Frontend, DrainingNodeAnswersAndClosesConnection)
{
	struct RawConnection conn(base, addr);
	struct act_reply a = {};

	send_and_wait(&conn, "GET /x HTTP/1.1\r\nHost: h\r\n\r\n");
	frontend_drain(f);
	a.caller = events[0].u.request.caller;
	a.answer = http_answer_new(200);
	payload_set_body(&a.answer->payload, "last", 4);
	reply(a);
	http_answer_delete(a.answer);
	run_until([&] { return conn.closed; });
	EXPECT_TRUE(conn.has("Connection: close"));
	EXPECT_TRUE(conn.has("\r\n\r\nlast"));
}

// Of an answer that closes its connection, a caller that read slowly lost what
// it had not received when its next request arrived.
TEST_F(Frontend, AClosingAnswerReachesACallerThatSendsOn)
{
	const std::string request = "GET /x HTTP/1.1\r\nHost: h\r\n\r\n";
	const std::string body(200000, 'x');

	for (bool before_the_answer : {false, true}) {
		struct act_reply a = {};
		struct sockaddr_in sin;
		std::string in, part(2000, '\0');
		int small = 4096;
		int fd = socket(AF_INET, SOCK_STREAM, 0);
		ssize_t n = -1;

		SCOPED_TRACE(before_the_answer);
		setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &small, sizeof(small));
		ASSERT_TRUE(addr_to_sockaddr(addr.c_str(), &sin));
		ASSERT_EQ(connect(fd, (struct sockaddr *)&sin, sizeof(sin)), 0);
		ASSERT_GT(::send(fd, request.data(), request.size(), 0), 0);
		run_until([&] { return !events.empty(); });
		frontend_drain(f);
		if (before_the_answer) {
			ASSERT_GT(::send(fd, request.data(), request.size(), 0),
				  0);
		}
		a.caller = events[0].u.request.caller;
		a.answer = http_answer_new(200);
		payload_set_body(&a.answer->payload, body.data(), body.size());
		reply(a);
		http_answer_delete(a.answer);
		run_until([&] {
			(void)!::send(fd, request.data(), request.size(),
				      MSG_DONTWAIT | MSG_NOSIGNAL);
			n = recv(fd, &part[0], part.size(), MSG_DONTWAIT);
			in.append(part, 0, n > 0 ? (size_t)n : 0);
			return n == 0 || (n < 0 && errno != EAGAIN);
		});
		EXPECT_EQ(n, 0) << strerror(errno);
		EXPECT_NE(in.find("\r\n\r\n" + body), in.npos) << in.size();
		close(fd);
		run_until([&] { return frontend_pending(f) == 0; });
		http_request_unref(events[0].u.request.request);
		events.clear();
	}
}
