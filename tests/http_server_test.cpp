#include "jd_test.hpp"

#include <vector>

#include "free_port.hpp"

extern "C" {
#include <event2/event.h>

#include "core/mem.h"
#include "io/clock.h"
#include "io/http_server.h"
#include "io/log.h"
}

struct ReceivedRequest {
	uint64_t caller;
	std::string method, target, body;
	bool oversized;
};

struct HttpServerTest : public ::testing::Test {
	struct event_base *base = event_base_new();
	struct http_server *s;
	std::vector<ReceivedRequest> requests;
	std::vector<uint64_t> gone_callers;
	std::string addr = free_addr();
	uint64_t reply_on_caller_disconnected = 0;
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

		t->requests.push_back({caller, r->method, r->target,
				       std::string((char *)r->payload.body,
						   r->payload.body_len),
				       oversized});
		http_request_unref(r);
	}
	static void on_caller_disconnected(void *arg, uint64_t caller)
	{
		auto *t = (HttpServerTest *)arg;

		t->gone_callers.push_back(caller);
		if (t->reply_on_caller_disconnected)
			t->reply(t->reply_on_caller_disconnected, 200, "late");
	}
	void connect_to_server()
	{
		struct sockaddr_in a = {};

		fd = socket(AF_INET, SOCK_STREAM, 0);
		a.sin_family = AF_INET;
		a.sin_port = htons((uint16_t)atoi(
			addr.substr(addr.find(':') + 1).c_str()));
		a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
		EXPECT_EQ(connect(fd, (struct sockaddr *)&a, sizeof(a)), 0);
	}
	void send_text(const std::string &text)
	{
		EXPECT_EQ(write(fd, text.data(), text.size()),
			  (ssize_t)text.size());
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
	EXPECT_EQ(http_server_pending(s), 0u);
}

TEST_F(HttpServerTest, ReplyDuringConnectionTeardownIsIgnored)
{
	send_text(std::string(GET_A) + GET_B);
	reply_on_caller_disconnected = requests[1].caller;
	close(fd);
	fd = -1;
	run_loop(50);
	EXPECT_EQ(gone_callers.size(), 2u);
	EXPECT_EQ(http_server_pending(s), 0u);
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
	close(fd);
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
