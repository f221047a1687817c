#include "jd_test.hpp"

#include <random>
#include <vector>

#include "free_port.hpp"

extern "C" {
#include <event2/event.h>

#include "core/mem.h"
#include "io/clock.h"
#include "io/http_server.h"
#include "io/log.h"
#include "io/socket_opts.h"
}

struct ReceivedRequest {
	uint64_t caller;
	std::string method, target, body;
	bool oversized;
	std::string headers; /* "name=value;" for each */
};

struct HttpServerTest : public ::testing::Test {
	struct event_base *base = event_base_new();
	struct http_server *s;
	std::vector<ReceivedRequest> requests;
	std::vector<uint64_t> gone_callers;
	std::string addr = free_addr();
	uint64_t reply_on_caller_disconnected = 0;
	bool reply_at_once = false; /* from inside on_request */
	bool reply_closes = false;
	int fd = -1;

	HttpServerTest()
	{
		struct http_server_opts o = {};
		struct status st;

		o.base = base;
		o.addr = addr.c_str();
		o.limits.header_bytes = 1000;
		o.limits.body_bytes = 100;
		o.limits.header_timeout_ms = 300;
		o.limits.idle_timeout_ms = 700;
		o.on_request = on_request;
		o.on_caller_disconnected = on_caller_disconnected;
		o.arg = this;
		s = http_server_new(&o, &st);
		EXPECT_NE(s, nullptr);
		connect_to_server();
	}
	~HttpServerTest() override
	{
		if (fd >= 0)
			close(fd);
		http_server_delete(s);
		event_base_free(base);
	}
	static void on_request(void *arg, uint64_t caller,
			       struct http_request *r, bool oversized)
	{
		auto *t = (HttpServerTest *)arg;

		const struct header *h;
		std::string headers;

		list_for_each_entry(h, &r->payload.headers, link)
			headers += std::string(h->name) + "=" + h->value + ";";
		t->requests.push_back({caller, r->method, r->target,
				       std::string((char *)r->payload.body,
						   r->payload.body_len),
				       oversized, headers});
		http_request_unref(r);
		if (t->reply_at_once)
			t->reply(caller, 200, "ok", t->reply_closes);
	}
	static void on_caller_disconnected(void *arg, uint64_t caller)
	{
		auto *t = (HttpServerTest *)arg;

		t->gone_callers.push_back(caller);
		if (t->reply_on_caller_disconnected)
			t->reply(t->reply_on_caller_disconnected, 200, "late");
	}
	/* @receive_bytes: of the receive buffer; 0: the system's default. */
	void connect_to_server(int receive_bytes = 0)
	{
		struct sockaddr_in a = {};

		if (fd >= 0)
			close(fd);
		fd = socket(AF_INET, SOCK_STREAM, 0);
		socket_set_opts(fd); /* no delay between pieces */
		if (receive_bytes)
			setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receive_bytes,
				   sizeof(receive_bytes));
		a.sin_family = AF_INET;
		a.sin_port = htons((uint16_t)atoi(
			addr.substr(addr.find(':') + 1).c_str()));
		a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
		EXPECT_EQ(connect(fd, (struct sockaddr *)&a, sizeof(a)), 0);
	}
	void send_text(const std::string &text)
	{
		EXPECT_EQ(send(fd, text.data(), text.size(), MSG_NOSIGNAL),
			  (ssize_t)text.size());
		run_loop(50);
	}
	void set_limits(struct http_server_limits l)
	{
		http_server_set_limits(s, &l);
	}
	/* Sends @text and runs the loop until it has nothing more to do. */
	void send_now(const std::string &text)
	{
		EXPECT_EQ(send(fd, text.data(), text.size(), MSG_NOSIGNAL),
			  (ssize_t)text.size());
		for (int i = 0; i < 6; i++)
			event_base_loop(base, EVLOOP_NONBLOCK);
	}
	/* A busy machine reads a large head in several turns of the loop. */
	void run_until_requests(size_t count)
	{
		for (int i = 0; i < 100 && requests.size() < count; i++)
			run_loop(50);
	}
	void run_loop(int ms)
	{
		struct timeval tv = {0, ms * 1000};

		event_base_loopexit(base, &tv);
		event_base_dispatch(base);
	}
	void reply(uint64_t caller, int code, const char *body,
		   bool close_it = false)
	{
		struct http_answer *a = http_answer_new(code);

		payload_set_body(&a->payload, body, strlen(body));
		http_server_reply(s, caller, a, close_it);
		http_answer_delete(a);
	}
	/* The caller's kernel may acknowledge a little later. */
	bool nothing_pending()
	{
		for (int i = 0; i < 20 && http_server_pending(s); i++)
			run_loop(10);
		return http_server_pending(s) == 0;
	}
	std::string read_answers(bool *closed = nullptr)
	{
		std::string text;
		char buf[4096];
		ssize_t n;

		run_loop(50);
		while ((n = recv(fd, buf, sizeof(buf), MSG_DONTWAIT)) > 0)
			text.append(buf, (size_t)n);
		if (closed)
			*closed = n == 0;
		return text;
	}
};

static const char GET_A[] = "GET /a HTTP/1.1\r\nHost: h\r\n\r\n";
static const char GET_B[] = "GET /b HTTP/1.1\r\nHost: h\r\n\r\n";

TEST_F(HttpServerTest, PipelinedRequestsAreDeliveredAtOnceAndAnsweredInOrder)
{
	send_text(std::string(GET_A) + GET_B);
	ASSERT_EQ(requests.size(), 2u);
	reply(requests[1].caller, 200, "second");
	EXPECT_EQ(read_answers(), "");
	reply(requests[0].caller, 200, "first");
	std::string text = read_answers();

	EXPECT_LT(text.find("first"), text.find("second"));
	EXPECT_NE(text.find("second"), std::string::npos);
}

TEST_F(HttpServerTest, ChunkedBodyIsAssembled)
{
	send_text("POST /c HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: "
		  "chunked\r\n\r\n"
		  "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n");
	ASSERT_EQ(requests.size(), 1u);
	EXPECT_EQ(requests[0].body, "abcde");
	EXPECT_EQ(requests[0].method, "POST");
}

TEST_F(HttpServerTest, ContentLengthWithChunkedEncodingIsRejected)
{
	bool closed;

	send_text("POST /c HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n"
		  "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /x "
		  "HTTP/1.1\r\n");
	EXPECT_TRUE(requests.empty());
	EXPECT_EQ(read_answers(&closed).substr(0, 12), "HTTP/1.1 400");
}

TEST_F(HttpServerTest, OversizedBodyIsFlaggedAndDropped)
{
	send_text("POST /c HTTP/1.1\r\nHost: h\r\nContent-Length: 101\r\n\r\n" +
		  std::string(101, 'x'));
	ASSERT_EQ(requests.size(), 1u);
	EXPECT_TRUE(requests[0].oversized);
	EXPECT_EQ(requests[0].body, "");
}

TEST_F(HttpServerTest, HeadersOverLimitAreRejected)
{
	send_text("GET /a HTTP/1.1\r\nX: " + std::string(2000, 'x') +
		  "\r\n\r\n");
	EXPECT_TRUE(requests.empty());
	EXPECT_EQ(read_answers().substr(0, 12), "HTTP/1.1 431");
}

TEST_F(HttpServerTest, CloseByCallerReportsUnansweredRequests)
{
	send_text(std::string(GET_A) + GET_B);
	close(fd);
	fd = -1;
	run_loop(50);
	ASSERT_EQ(gone_callers.size(), 2u);
	EXPECT_EQ(gone_callers[0], requests[0].caller);
}

/*
 * A process that reads late must not deliver a request whose caller has closed
 * the connection.
 */
TEST_F(HttpServerTest, RequestOnClosedConnectionIsNotDelivered)
{
	ASSERT_EQ(write(fd, GET_A, sizeof(GET_A) - 1),
		  (ssize_t)sizeof(GET_A) - 1);
	close(fd);
	fd = -1;
	run_loop(50);
	EXPECT_TRUE(requests.empty());
	EXPECT_TRUE(gone_callers.empty());
	EXPECT_TRUE(nothing_pending());
}

TEST_F(HttpServerTest, ReplyDuringConnectionTeardownIsIgnored)
{
	send_text(std::string(GET_A) + GET_B);
	reply_on_caller_disconnected = requests[1].caller;
	close(fd);
	fd = -1;
	run_loop(50);
	EXPECT_EQ(gone_callers.size(), 2u);
	EXPECT_TRUE(nothing_pending());
}

TEST_F(HttpServerTest, ReplyWithCloseClosesConnection)
{
	bool closed = false;

	send_text(GET_A);
	reply(requests[0].caller, 200, "x", true);
	EXPECT_NE(read_answers(&closed).find("Connection: close"),
		  std::string::npos);
	EXPECT_TRUE(closed);
}

TEST_F(HttpServerTest, SlowHeadersAreAnsweredWith408)
{
	bool closed = false;

	send_text("GET /a HTT");
	run_loop(700);
	EXPECT_EQ(read_answers(&closed).substr(0, 12), "HTTP/1.1 408");
}

TEST_F(HttpServerTest, IdleConnectionIsClosed)
{
	bool closed = false;

	run_loop(1100);
	read_answers(&closed);
	EXPECT_TRUE(closed);
}

/*
 * The idle timeout began with the answer, so a caller that took longer to read
 * it lost the rest.
 */
TEST_F(HttpServerTest, AConnectionIsNotIdleWhileItsCallerReceives)
{
	const std::string large(200000, 'x');
	std::string text;
	char part[2000];
	int steps = 0;
	ssize_t n;

	connect_to_server(4096);
	send_now(GET_A);
	ASSERT_EQ(requests.size(), 1u);
	reply(requests[0].caller, 200, large.c_str());
	for (; text.size() < large.size() && steps < 1000; steps++) {
		run_loop(20);
		/* The idle timeout has passed. */
		if (steps == 70)
			send_now(GET_B);
		n = recv(fd, part, sizeof(part), MSG_DONTWAIT);
		if (n == 0 || (n < 0 && errno != EAGAIN))
			break;
		text.append(part, n > 0 ? (size_t)n : 0);
	}
	EXPECT_GT(steps, 70);
	ASSERT_EQ(requests.size(), 2u);
	EXPECT_EQ(requests[1].target, "/b");
	reply(requests[1].caller, 200, "second");
	text += read_answers();
	EXPECT_NE(text.find(large + "HTTP/1.1 200"), std::string::npos);
	EXPECT_NE(text.find("second"), std::string::npos);
}

TEST_F(HttpServerTest, RequestsBeyondPipelineLimitAreReadLater)
{
	std::string text;

	for (int i = 0; i < 40; i++)
		text += GET_A;
	send_text(text);
	EXPECT_EQ(requests.size(), 32u);
	for (size_t i = 0; i < requests.size(); i++) {
		reply(requests[i].caller, 200, "x");
		run_loop(5);
	}
	run_loop(50);
	EXPECT_EQ(requests.size(), 40u);
}

/*
 * Requests that the server rejected by itself left neither a log line nor a
 * count, so refused callers could not be traced.
 */
TEST_F(HttpServerTest, RejectionIsLoggedAndCounted)
{
	char *text = NULL;
	size_t len = 0;
	FILE *out = open_memstream(&text, &len);
	const struct http_server_stats *st = http_server_get_stats(s);

	log_set_output(out);
	send_text("GET /a HTTP/1.1\r\nX: " + std::string(2000, 'x'));
	connect_to_server();
	send_text("GET /b HTTP/x.1\r\n");
	log_set_output(NULL);
	fclose(out);
	std::string log(text, len);

	free(text);
	EXPECT_EQ(st->rejected[HTTP_REJECT_HEADER_LIMIT], 1u);
	EXPECT_EQ(st->rejected[HTTP_REJECT_SYNTAX], 1u);
	EXPECT_NE(log.find("event=request_rejected code=431 why=header_limit"),
		  std::string::npos);
	EXPECT_NE(log.find("event=request_rejected code=400 why=syntax "
			   "parser=HPE_"),
		  std::string::npos);
	EXPECT_NE(log.find("target=\"/b\""), std::string::npos);
}

struct Shape {
	const char *text;
	const char *method, *target, *headers, *body;
};

static const Shape proper_shapes[] = {
	{"GET /a?b=c HTTP/1.1\r\nHost: h\r\n\r\n", "GET", "/a?b=c", "Host=h;",
	 ""},
	{"\r\n\r\nGET /a HTTP/1.1\r\nHost: h\r\n\r\n", "GET", "/a", "Host=h;",
	 ""},
	{"GET /a HTTP/1.1\r\nX:\r\nhOST:h\r\nY: \r\n\r\n", "GET", "/a",
	 "X=;hOST=h;Y=;", ""},
	{"GET /|{}\"^`[]%zz\xc3\xa9?x=|{}\"^\xff HTTP/1.1\r\nHost: h\r\n\r\n",
	 "GET", "/|{}\"^`[]%zz\xc3\xa9?x=|{}\"^\xff", "Host=h;", ""},
	{"GET /a HTTP/1.1\r\nHost: h\r\nX: \x80\xff\tq\r\n\r\n", "GET", "/a",
	 "Host=h;X=\x80\xff\tq;", ""},
	{"GET /a HTTP/1.0\r\nHost: h\r\nConnection: keep-alive\r\n\r\n", "GET",
	 "/a", "Host=h;Connection=keep-alive;", ""},
	{"M-SEARCH /a HTTP/1.1\r\nHost: h\r\n\r\n", "M-SEARCH", "/a", "Host=h;",
	 ""},
	{"POST /b HTTP/1.1\r\nHost: h\r\nContent-Length:  003 \r\n\r\nabc",
	 "POST", "/b", NULL, "abc"},
	{"PUT /b HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: Chunked\r\n\r\n"
	 "3;x=y;z=\"q\"\r\nabc\r\n0002 ; a\r\nde\r\n0;last\r\n\r\n",
	 "PUT", "/b", NULL, "abcde"},
};

/* Guards against 400 to requests that arrive in any number of pieces. */
TEST_F(HttpServerTest, ProperRequestsAreDeliveredHoweverTheyAreSplit)
{
	reply_at_once = true;
	for (const auto &shape : proper_shapes) {
		std::string text = shape.text;

		for (size_t at = 1; at <= text.size(); at++) {
			requests.clear();
			send_now(text.substr(0, at));
			if (at < text.size())
				send_now(text.substr(at));
			ASSERT_EQ(requests.size(), 1u) << text << " at " << at;
			EXPECT_EQ(requests[0].method, shape.method);
			EXPECT_EQ(requests[0].target, shape.target);
			EXPECT_EQ(requests[0].body, shape.body);
			if (shape.headers) {
				EXPECT_EQ(requests[0].headers, shape.headers);
			}
		}
	}
	EXPECT_EQ(http_server_get_stats(s)->rejected[HTTP_REJECT_SYNTAX], 0u);
}

/* Guards against 400 to requests of deep pipelines. */
TEST_F(HttpServerTest, PipelinesOfAnyDepthAreAnsweredInFull)
{
	for (bool at_once : {false, true})
		for (const auto &shape : proper_shapes)
			for (size_t depth : {1, 31, 32, 33, 64, 65, 100}) {
				std::string text;

				for (size_t i = 0; i < depth; i++)
					text += shape.text;
				requests.clear();
				reply_at_once = at_once;
				send_now(text);
				for (size_t i = 0; i < requests.size(); i++) {
					reply(requests[i].caller, 200, "x");
					send_now("");
				}
				EXPECT_EQ(requests.size(), depth) << shape.text;
			}
	EXPECT_EQ(http_server_get_stats(s)->rejected[HTTP_REJECT_SYNTAX], 0u);
	read_answers();
	EXPECT_TRUE(nothing_pending());
}

/* Requests whose framing is ambiguous or broken stay rejected. */
TEST_F(HttpServerTest, BrokenRequestsAreRejected)
{
	const char *const broken[] = {
		"POST /c HTTP/1.1\r\nContent-Length: 4\r\n"
		"Transfer-Encoding: chunked\r\n\r\n",
		"POST /c HTTP/1.1\r\nTransfer-Encoding: chunked\r\n"
		"Content-Length: 4\r\n\r\n",
		"POST /c HTTP/1.1\r\nTransfer-Encoding: identity\r\n\r\n",
		"POST /c HTTP/1.1\r\nTransfer-Encoding: chunked, gzip\r\n\r\n",
		"POST /c HTTP/1.1\r\nTransfer-Encoding: xchunked\r\n\r\n",
		"POST /c HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
		"POST /c HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n-1\r\n",
		"POST /c HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
		"11111111111111111\r\n",
		"POST /c HTTP/1.1\r\nContent-Length: 3\r\n"
		"Content-Length: 4\r\n\r\nabcd",
		"POST /c HTTP/1.1\r\nContent-Length: 3x\r\n\r\nabc",
		"POST /c HTTP/1.1\r\nContent-Length: -3\r\n\r\nabc",
		"POST /c HTTP/1.1\r\nContent-Length: 3 3\r\n\r\nabc",
		"POST /c HTTP/1.1\r\nContent-Length:\r\n\r\n",
		"GET ?x HTTP/1.1\r\n\r\n",
		"\x16\x03\x01",
	};

	for (const char *text : broken) {
		bool closed = false;

		connect_to_server();
		send_now(text);
		EXPECT_EQ(read_answers(&closed).substr(0, 12), "HTTP/1.1 400")
			<< text;
		EXPECT_TRUE(closed);
	}
	EXPECT_TRUE(requests.empty());
}

/*
 * Blanks behind a value became part of it, so the host matched no route (404)
 * and numbers were refused (400).
 */
TEST_F(HttpServerTest, BlanksAroundHeaderValuesAreRemoved)
{
	send_now("GET /a HTTP/1.1\r\nHost: \t h \t \r\nX:a b\t\r\nY: \t "
		 "\r\nConnection: close\t\r\n\r\n");
	ASSERT_EQ(requests.size(), 1u);
	EXPECT_EQ(requests[0].headers, "Host=h;X=a b;Y=;Connection=close;");
}

/*
 * A request that offered another protocol was delivered and then followed by a
 * 400 and a close, although its caller would have gone on with HTTP/1.1.
 */
TEST_F(HttpServerTest, OfferToUpgradeIsIgnored)
{
	const char *const offers[] = {
		"GET /u HTTP/1.1\r\nConnection: Upgrade, HTTP2-Settings\r\n"
		"Upgrade: h2c\r\nHTTP2-Settings: AAMAAABk\r\n\r\n",
		"GET /u HTTP/1.1\r\nConnection: keep-alive, Upgrade\r\n"
		"Upgrade: websocket\r\n\r\n",
		"POST /u HTTP/1.1\r\nConnection: Upgrade\r\nUpgrade: h2c\r\n"
		"Content-Length: 3\r\n\r\nabc",
	};

	for (const char *offer : offers) {
		bool closed = true;

		requests.clear();
		send_now(std::string(offer) + GET_B);
		ASSERT_EQ(requests.size(), 2u);
		EXPECT_EQ(requests[0].target, "/u");
		EXPECT_EQ(requests[1].target, "/b");
		reply(requests[0].caller, 200, "x");
		reply(requests[1].caller, 200, "x");
		EXPECT_EQ(read_answers(&closed).find("HTTP/1.1 400"),
			  std::string::npos);
		EXPECT_FALSE(closed);
	}
}

/* CONNECT was delivered and then followed by a 400. */
TEST_F(HttpServerTest, ConnectIsRejectedOnce)
{
	std::string text;

	send_now("CONNECT h:80 HTTP/1.1\r\nHost: h:80\r\n\r\n");
	EXPECT_TRUE(requests.empty());
	text = read_answers();
	EXPECT_EQ(text.substr(0, 12), "HTTP/1.1 501");
	EXPECT_EQ(text.find("HTTP/1.1", 12), std::string::npos);
}

/*
 * Requests behind one that closes the connection were run although their
 * callers never got an answer and sent them again.
 */
TEST_F(HttpServerTest, NothingIsDeliveredBehindTheLastRequest)
{
	const char *const last[] = {
		"GET /l HTTP/1.1\r\nConnection: close\r\n\r\n",
		"GET /l HTTP/1.0\r\n\r\n",
		"POST /l HTTP/1.1\r\nConnection: close\r\n"
		"Content-Length: 3\r\n\r\nabc",
		"POST /l HTTP/1.1\r\nConnection: close\r\n"
		"Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
	};

	for (const char *text : last) {
		bool closed = false;
		std::string answers;

		connect_to_server();
		requests.clear();
		send_now(std::string(text) + GET_A + GET_B);
		ASSERT_EQ(requests.size(), 1u);
		EXPECT_EQ(requests[0].target, "/l");
		reply(requests[0].caller, 200, "x");
		answers = read_answers(&closed);
		EXPECT_EQ(answers.find("HTTP/1.1 200"), 0u);
		EXPECT_EQ(answers.find("HTTP/1.1", 1), std::string::npos);
		EXPECT_TRUE(closed);
	}
}

/* The same where the answer closes the connection, as in a planned stop. */
TEST_F(HttpServerTest, NothingIsDeliveredBehindAnAnswerThatCloses)
{
	bool closed = false;

	reply_at_once = true;
	reply_closes = true;
	send_now(std::string(GET_A) + GET_B + GET_B);
	EXPECT_EQ(requests.size(), 1u);
	read_answers(&closed);
	EXPECT_TRUE(closed);
}

/*
 * A trailer was read as a header, so one named like the deadline or the host
 * took effect and was passed on.
 */
TEST_F(HttpServerTest, TrailersAreNotHeaders)
{
	send_now("POST /t HTTP/1.1\r\nTransfer-Encoding: chunked\r\n"
		 "Trailer: Host, X\r\n\r\n3\r\nabc\r\n0\r\nHost: evil\r\n"
		 "X-Deadline: 1\r\nX: y\r\n\r\n" +
		 std::string(GET_A));
	ASSERT_EQ(requests.size(), 2u);
	EXPECT_EQ(requests[0].headers,
		  "Transfer-Encoding=chunked;Trailer=Host, X;");
	EXPECT_EQ(requests[0].body, "abc");
	EXPECT_EQ(requests[1].headers, "Host=h;");
}

/*
 * The header timeout counted to the end of the body, so a caller that took
 * longer to send one got 408.
 */
TEST_F(HttpServerTest, HeaderTimeoutEndsWithTheHeaders)
{
	set_limits({1000, 100, 300, 3000});
	send_text("POST /s HTTP/1.1\r\nContent-Length: 3\r\n\r\na");
	run_loop(450);
	send_text("b");
	run_loop(450);
	send_text("c");
	ASSERT_EQ(requests.size(), 1u);
	EXPECT_EQ(requests[0].body, "abc");
}

TEST_F(HttpServerTest, BodyThatStopsIsAnsweredWith408)
{
	bool closed = false;

	send_text("POST /s HTTP/1.1\r\nContent-Length: 3\r\n\r\na");
	run_loop(1300);
	EXPECT_EQ(read_answers(&closed).substr(0, 12), "HTTP/1.1 408");
	EXPECT_TRUE(closed);
}

/*
 * The idle timeout closed a connection without an answer although a request
 * had begun to arrive.
 */
TEST_F(HttpServerTest, IdleTimeoutEndsWithARequestsFirstByte)
{
	set_limits({1000, 100, 5000, 1200});
	connect_to_server();
	run_loop(500);
	send_text("GET /i HTTP/1.1\r\n");
	run_loop(999);
	send_text("\r\n");
	ASSERT_EQ(requests.size(), 1u);
	EXPECT_EQ(requests[0].target, "/i");
}

/*
 * Headers that had arrived during a pause of the process were answered with
 * 408 when they took more than one read.
 */
TEST_F(HttpServerTest, HeadersThatArrivedDuringAPauseAreRead)
{
	std::string long_header = "X: " + std::string(40000, 'x') + "\r\n\r\n";

	set_limits({50000, 100, 300, 700});
	send_now("GET /p HTTP/1.1\r\n");
	usleep(600000);
	send_now(long_header);
	ASSERT_EQ(requests.size(), 1u);
	EXPECT_EQ(requests[0].target, "/p");
}

/*
 * A config with smaller limits that arrived in the middle of a request ended it
 * with 431 or 413, though it was within those in force when it was sent.
 */
TEST_F(HttpServerTest, LimitsOfARequestsBeginningStayAllowed)
{
	std::string body(90, 'x');

	send_now("POST /l HTTP/1.1\r\nX: " + std::string(300, 'x'));
	set_limits({100, 10, 5000, 5000});
	send_now(std::string(300, 'x') + "\r\nContent-Length: 90\r\n\r\n" +
		 body);
	ASSERT_EQ(requests.size(), 1u);
	EXPECT_FALSE(requests[0].oversized);
	EXPECT_EQ(requests[0].body, body);
	reply(requests[0].caller, 200, "x");
	read_answers();
	send_now("POST /l HTTP/1.1\r\nContent-Length: 11\r\n\r\n" +
		 std::string(11, 'x'));
	ASSERT_EQ(requests.size(), 2u);
	EXPECT_TRUE(requests[1].oversized);
}

/*
 * A body over the old limit that was complete only after a larger one had come
 * into force was answered with 413, after which callers don't try again.
 */
TEST_F(HttpServerTest, BodyDroppedUnderASmallerLimitIsAnsweredWith503)
{
	bool closed = true;

	for (const char *head : {"Content-Length: 150\r\n\r\n",
				 "Transfer-Encoding: chunked\r\n\r\n96\r\n"}) {
		bool chunked = *head == 'T';

		set_limits({1000, 100, 5000, 5000});
		send_now(std::string("POST /l HTTP/1.1\r\n") + head +
			 std::string(120, 'x'));
		set_limits({1000, 200, 5000, 5000});
		send_now(std::string(30, 'x') +
			 (chunked ? "\r\n0\r\n\r\n" : ""));
		EXPECT_TRUE(requests.empty());
		EXPECT_EQ(read_answers(&closed).substr(0, 12), "HTTP/1.1 503");
		EXPECT_FALSE(closed);
	}
	send_now(GET_A);
	EXPECT_EQ(requests.size(), 1u);
}

/* Connections were closed by the idle timeout in force before. */
TEST_F(HttpServerTest, LongerIdleTimeoutHoldsForOpenConnections)
{
	bool closed = true;

	send_now(GET_A);
	reply(requests[0].caller, 200, "x");
	set_limits({1000, 100, 300, 5000});
	run_loop(999);
	run_loop(200);
	read_answers(&closed);
	EXPECT_FALSE(closed);
}

TEST_F(HttpServerTest, HeadersUpToTheLimitAreAccepted)
{
	for (size_t over : {0, 1}) {
		connect_to_server();
		send_now("GET /a HTTP/1.1\r\nX: " +
			 std::string(997 + over, 'x') + "\r\n\r\n");
		EXPECT_EQ(requests.size(), 1u);
	}
	EXPECT_EQ(read_answers().substr(0, 12), "HTTP/1.1 431");
}

/*
 * The parser has a limit of its own, 80 KiB for all headers, and answered 400
 * to requests within a larger limit of the config.
 */
TEST_F(HttpServerTest, LargeHeaderLimitHolds)
{
	set_limits({300000, 100, 5000, 5000});
	send_text("GET /a HTTP/1.1\r\nX: " + std::string(250000, 'x') +
		  "\r\n\r\n");
	run_until_requests(1);
	EXPECT_EQ(requests.size(), 1u);
	send_text(GET_B);
	run_until_requests(2);
	EXPECT_EQ(requests.size(), 2u);
}

/* Many short headers take more bytes on the wire than names and values do. */
TEST_F(HttpServerTest, LargeHeaderLimitHoldsForShortHeaders)
{
	std::string headers;

	for (int i = 0; i < 60000; i++)
		headers += "a:b\r\n";
	set_limits({130000, 100, 5000, 5000});
	for (size_t at = 0; at < headers.size(); at += 60000)
		send_text((at ? "" : "GET /a HTTP/1.1\r\n") +
			  headers.substr(at, 60000));
	send_text("\r\n");
	for (int i = 0; i < 100 && requests.empty(); i++)
		run_loop(50);
	EXPECT_EQ(requests.size(), 1u);
}

/* A method that the parser doesn't know is no reason to call it malformed. */
TEST_F(HttpServerTest, UnknownMethodIsAnsweredWith501)
{
	for (const char *method :
	     {"QUERY", "BREW", "get", "UPDATE", "GETS", "VERSION-CONTROL"}) {
		connect_to_server();
		send_now(std::string(method) +
			 " /a HTTP/1.1\r\nHost: h\r\n\r\n");
		EXPECT_EQ(read_answers().substr(0, 12), "HTTP/1.1 501")
			<< method;
	}
	EXPECT_TRUE(requests.empty());
}

/* Each answer to an earlier request made the server reject it once more. */
TEST_F(HttpServerTest, RequestBehindPendingOnesIsRejectedOnce)
{
	bool closed = false;
	std::string answers;

	send_now(std::string(GET_A) + GET_B + "GET ?x HTTP/1.1\r\n\r\n" +
		 GET_B);
	ASSERT_EQ(requests.size(), 2u);
	reply(requests[0].caller, 200, "x");
	send_now("");
	reply(requests[1].caller, 200, "x");
	answers = read_answers(&closed);
	EXPECT_NE(answers.find("HTTP/1.1 400"), std::string::npos);
	EXPECT_TRUE(closed);
	EXPECT_EQ(requests.size(), 2u);
	EXPECT_EQ(http_server_get_stats(s)->rejected[HTTP_REJECT_SYNTAX], 1u);
}

/*
 * A caller that waited for 100 Continue behind an unanswered request never got
 * it, and 408 in the end.
 */
TEST_F(HttpServerTest, ContinueFollowsTheAnswersToEarlierRequests)
{
	std::string text;

	send_now(std::string(GET_A) +
		 "POST /e HTTP/1.1\r\nExpect: 100-Continue \r\n"
		 "Content-Length: 3\r\n\r\n");
	EXPECT_EQ(read_answers(), "");
	reply(requests[0].caller, 200, "first");
	text = read_answers();
	EXPECT_EQ(text.find("HTTP/1.1 200"), 0u);
	EXPECT_GT(text.find("HTTP/1.1 100"), text.find("first"));
	EXPECT_NE(text.find("HTTP/1.1 100"), std::string::npos);
	send_now("abc");
	ASSERT_EQ(requests.size(), 2u);
	EXPECT_EQ(requests[1].body, "abc");
	reply(requests[1].caller, 200, "second");
	EXPECT_EQ(read_answers().find("HTTP/1.1 200"), 0u);
}

/*
 * An answer that closes the connection, as in a planned stop, discarded the
 * answers to requests behind it that were being run.
 */
TEST_F(HttpServerTest, CloseWaitsForAnswersToDeliveredRequests)
{
	bool closed = true;
	std::string text;

	send_now(std::string(GET_A) + GET_A + GET_A);
	ASSERT_EQ(requests.size(), 3u);
	reply(requests[1].caller, 200, "second", true);
	reply(requests[0].caller, 200, "first", true);
	text = read_answers(&closed);
	EXPECT_NE(text.find("first"), std::string::npos);
	EXPECT_NE(text.find("second"), std::string::npos);
	EXPECT_EQ(text.find("Connection: close"), std::string::npos);
	EXPECT_FALSE(closed);
	EXPECT_TRUE(gone_callers.empty());
	send_now(GET_B);
	EXPECT_EQ(requests.size(), 3u);
	reply(requests[2].caller, 200, "third");
	text = read_answers(&closed);
	EXPECT_NE(text.find("third"), std::string::npos);
	EXPECT_NE(text.find("Connection: close"), std::string::npos);
	EXPECT_TRUE(closed);
}

TEST_F(HttpServerTest, CloseFollowsAnswersGivenOutOfOrder)
{
	bool closed = false;
	std::string text;

	send_now(std::string(GET_A) + GET_B);
	reply(requests[1].caller, 200, "second");
	reply(requests[0].caller, 200, "first", true);
	text = read_answers(&closed);
	EXPECT_NE(text.find("second"), std::string::npos);
	EXPECT_TRUE(closed);
}

/*
 * A half-closed connection can't be told from a closed one, so its request is
 * not run: callers that left must not cost an upstream its time.
 */
TEST_F(HttpServerTest, RequestOnHalfClosedConnectionIsNotDelivered)
{
	bool closed = false;

	ASSERT_EQ(write(fd, GET_A, sizeof(GET_A) - 1),
		  (ssize_t)sizeof(GET_A) - 1);
	shutdown(fd, SHUT_WR);
	EXPECT_EQ(read_answers(&closed), "");
	EXPECT_TRUE(closed);
	EXPECT_TRUE(requests.empty());
}

static size_t count_text(const std::string &text, const char *what)
{
	size_t n = 0;

	for (size_t at = text.find(what); at != std::string::npos;
	     at = text.find(what, at + 1))
		n++;
	return n;
}

/* Guards against rejections that depend on the order of reads and answers. */
TEST_F(HttpServerTest, RandomPipelinesAreAnsweredInOrder)
{
	const size_t shape_count = sizeof(proper_shapes) / sizeof(Shape);
	std::mt19937 rng(20261204);

	for (int run = 0; run < 40; run++) {
		std::vector<const Shape *> sent;
		std::vector<size_t> unanswered;
		std::string text, answers;
		size_t delivered = 0;

		requests.clear();
		for (size_t n = rng() % 80 + 1; n; n--) {
			sent.push_back(&proper_shapes[rng() % shape_count]);
			text += sent.back()->text;
		}
		while (!text.empty() || !unanswered.empty()) {
			size_t len = rng() % (rng() % 8 ? 40 : 4000);

			len = std::min(len, text.size());
			send_now(text.substr(0, len));
			text.erase(0, len);
			for (; delivered < requests.size(); delivered++)
				unanswered.push_back(delivered);
			for (size_t n = rng() % 4; n && !unanswered.empty();
			     n--) {
				size_t i = rng() % unanswered.size();
				std::string body =
					"<" + std::to_string(unanswered[i]) +
					">";

				reply(requests[unanswered[i]].caller, 200,
				      body.c_str());
				unanswered.erase(unanswered.begin() + (long)i);
			}
			send_now("");
			for (; delivered < requests.size(); delivered++)
				unanswered.push_back(delivered);
		}
		answers = read_answers();
		ASSERT_EQ(requests.size(), sent.size());
		ASSERT_EQ(count_text(answers, "HTTP/1.1 200"), sent.size());
		for (size_t i = 0, at = 0; i < sent.size(); i++) {
			EXPECT_EQ(requests[i].target, sent[i]->target);
			EXPECT_EQ(requests[i].body, sent[i]->body);
			at = answers.find("<" + std::to_string(i) + ">", at);
			ASSERT_NE(at, std::string::npos) << run << " " << i;
		}
	}
	EXPECT_TRUE(nothing_pending());
}

/*
 * The server no longer noticed that a caller had left once it had rejected or
 * not read what lay behind requests of that caller that were still being run.
 */
TEST_F(HttpServerTest, CloseIsNoticedBehindTheLastRequest)
{
	const std::string behind[] = {
		"GET ?x HTTP/1.1\r\n\r\n",
		"GET /l HTTP/1.1\r\nConnection: close\r\n\r\n",
	};
	const std::string more(50000, 'x');

	for (const auto &text : behind) {
		requests.clear();
		gone_callers.clear();
		connect_to_server();
		send_now(std::string(GET_A) + text);
		ASSERT_FALSE(requests.empty());
		for (int i = 0; i < 10; i++) {
			(void)!send(fd, more.data(), more.size(),
				    MSG_DONTWAIT | MSG_NOSIGNAL);
			run_loop(5);
		}
		close(fd);
		fd = -1;
		run_loop(50);
		EXPECT_EQ(gone_callers.size(), requests.size());
		EXPECT_TRUE(nothing_pending());
	}
}

/* What a caller sends on a connection that the server is about to close. */
enum class Behind { NOTHING, UNREAD, LATER, WITHOUT_END };

struct CloseTest : public HttpServerTest,
		   public ::testing::WithParamInterface<Behind> {
	static constexpr size_t ANSWERS = 8;
	const std::string large = std::string(30000, 'x');

	CloseTest()
	{
		connect_to_server(4096);
	}
	void send_behind(Behind when)
	{
		if (GetParam() == when || GetParam() == Behind::WITHOUT_END)
			(void)!send(fd, GET_B, sizeof(GET_B) - 1,
				    MSG_DONTWAIT | MSG_NOSIGNAL);
	}
	/* Reads slowly until the connection ends; true if it ends in order. */
	bool read_slowly(std::string *text)
	{
		char part[16000];
		ssize_t n;

		for (int i = 0; i < 1000; i++) {
			run_loop(1);
			send_behind(Behind::WITHOUT_END);
			n = recv(fd, part, sizeof(part), MSG_DONTWAIT);
			if (n > 0)
				text->append(part, (size_t)n);
			else if (n == 0 || errno != EAGAIN)
				return n == 0;
		}
		return false;
	}
};

/*
 * Answers that a slow caller had not received yet were lost when the server
 * closed the connection and the caller's next request arrived.
 */
TEST_P(CloseTest, AnswersReachACallerThatReadsSlowly)
{
	std::string text;

	for (size_t i = 0; i < ANSWERS; i++)
		send_now(GET_A);
	ASSERT_EQ(requests.size(), ANSWERS);
	send_behind(Behind::UNREAD);
	for (size_t i = 0; i < ANSWERS; i++)
		reply(requests[i].caller, 200, large.c_str(), i + 1 == ANSWERS);
	run_loop(50);
	send_behind(Behind::LATER);
	run_loop(50);
	EXPECT_TRUE(read_slowly(&text));
	EXPECT_EQ(count_text(text, "HTTP/1.1 200"), ANSWERS);
	EXPECT_EQ(count_text(text, large.c_str()), ANSWERS);
	EXPECT_EQ(count_text(text, "Connection: close"), 1u);
	EXPECT_EQ(requests.size(), ANSWERS);
}

/* The same where the caller is still sending a request that is rejected. */
TEST_P(CloseTest, ARejectionReachesACallerThatSendsOn)
{
	std::string text;

	send_now(std::string(GET_A) +
		 "GET /b HTTP/1.1\r\nX: " + std::string(1200, 'x'));
	ASSERT_EQ(requests.size(), 1u);
	send_behind(Behind::UNREAD);
	reply(requests[0].caller, 200, large.c_str());
	run_loop(50);
	send_behind(Behind::LATER);
	run_loop(50);
	EXPECT_TRUE(read_slowly(&text));
	EXPECT_EQ(count_text(text, large.c_str()), 1u);
	EXPECT_EQ(count_text(text, "HTTP/1.1 431"), 1u);
}

INSTANTIATE_TEST_SUITE_P(Behind, CloseTest,
			 ::testing::Values(Behind::NOTHING, Behind::UNREAD,
					   Behind::LATER, Behind::WITHOUT_END));
