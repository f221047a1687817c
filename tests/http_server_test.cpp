#include "jd_test.hpp"

#include <vector>

#include "free_port.hpp"

extern "C" {
#include <event2/event.h>

#include "core/mem.h"
#include "io/clock.h"
#include "io/http_server.h"
}

struct Got {
	uint64_t caller;
	std::string method, target, body;
	bool oversized;
};

struct HttpServerTest : public ::testing::Test {
	struct event_base *base = event_base_new();
	struct http_server *s;
	std::vector<Got> got;
	std::vector<uint64_t> gone;
	std::string addr = free_addr();
	uint64_t answer_on_gone = 0;
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
		o.on_caller_gone = on_caller_gone;
		o.arg = this;
		s = http_server_new(&o, &st);
		EXPECT_NE(s, nullptr);
		dial();
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

		t->got.push_back({caller, r->method, r->target,
				  std::string((char *)r->payload.body,
					      r->payload.body_len),
				  oversized});
		http_request_delete(r);
	}
	static void on_caller_gone(void *arg, uint64_t caller)
	{
		auto *t = (HttpServerTest *)arg;

		t->gone.push_back(caller);
		if (t->answer_on_gone)
			t->reply(t->answer_on_gone, 200, "late");
	}
	void dial()
	{
		struct sockaddr_in a = {};

		fd = socket(AF_INET, SOCK_STREAM, 0);
		a.sin_family = AF_INET;
		a.sin_port = htons((uint16_t)atoi(
			addr.substr(addr.find(':') + 1).c_str()));
		a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
		EXPECT_EQ(connect(fd, (struct sockaddr *)&a, sizeof(a)), 0);
	}
	void say(const std::string &text)
	{
		EXPECT_EQ(write(fd, text.data(), text.size()),
			  (ssize_t)text.size());
		turn(50);
	}
	void turn(int ms)
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
	std::string heard(bool *closed = nullptr)
	{
		std::string all;
		char buf[4096];
		ssize_t n;

		turn(50);
		while ((n = recv(fd, buf, sizeof(buf), MSG_DONTWAIT)) > 0)
			all.append(buf, (size_t)n);
		if (closed)
			*closed = n == 0;
		return all;
	}
};

static const char GET_A[] = "GET /a HTTP/1.1\r\nHost: h\r\n\r\n";
static const char GET_B[] = "GET /b HTTP/1.1\r\nHost: h\r\n\r\n";

TEST_F(HttpServerTest, PipelinedRequestsComeAtOnceAndAreAnsweredInOrder)
{
	say(std::string(GET_A) + GET_B);
	ASSERT_EQ(got.size(), 2u);
	reply(got[1].caller, 200, "second");
	EXPECT_EQ(heard(), "");
	reply(got[0].caller, 200, "first");
	std::string all = heard();

	EXPECT_LT(all.find("first"), all.find("second"));
	EXPECT_NE(all.find("second"), std::string::npos);
}

TEST_F(HttpServerTest, ChunkedBodiesAreWhole)
{
	say("POST /c HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
	    "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n");
	ASSERT_EQ(got.size(), 1u);
	EXPECT_EQ(got[0].body, "abcde");
	EXPECT_EQ(got[0].method, "POST");
}

TEST_F(HttpServerTest, ALengthAndChunksTogetherAreRefused)
{
	bool closed;

	say("POST /c HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n"
	    "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /x HTTP/1.1\r\n");
	EXPECT_TRUE(got.empty());
	EXPECT_EQ(heard(&closed).substr(0, 12), "HTTP/1.1 400");
}

TEST_F(HttpServerTest, AnOversizedBodyIsToldAndDropped)
{
	say("POST /c HTTP/1.1\r\nHost: h\r\nContent-Length: 101\r\n\r\n" +
	    std::string(101, 'x'));
	ASSERT_EQ(got.size(), 1u);
	EXPECT_TRUE(got[0].oversized);
	EXPECT_EQ(got[0].body, "");
}

TEST_F(HttpServerTest, LongHeadersAreRefused)
{
	say("GET /a HTTP/1.1\r\nX: " + std::string(2000, 'x') + "\r\n\r\n");
	EXPECT_TRUE(got.empty());
	EXPECT_EQ(heard().substr(0, 12), "HTTP/1.1 431");
}

TEST_F(HttpServerTest, ACallerThatLeavesIsTold)
{
	say(std::string(GET_A) + GET_B);
	close(fd);
	fd = -1;
	turn(50);
	ASSERT_EQ(gone.size(), 2u);
	EXPECT_EQ(gone[0], got[0].caller);
}

/* A process that reads late must not pass on what nobody waits for. */
TEST_F(HttpServerTest, ARequestWhoseCallerHasLeftAlreadyIsNotHandedOver)
{
	ASSERT_EQ(write(fd, GET_A, sizeof(GET_A) - 1),
		  (ssize_t)sizeof(GET_A) - 1);
	close(fd);
	fd = -1;
	turn(50);
	EXPECT_TRUE(got.empty());
	EXPECT_TRUE(gone.empty());
	EXPECT_EQ(http_server_pending(s), 0u);
}

TEST_F(HttpServerTest, AnAnswerWhileTheConnectionGoesIsHarmless)
{
	say(std::string(GET_A) + GET_B);
	answer_on_gone = got[1].caller;
	close(fd);
	fd = -1;
	turn(50);
	EXPECT_EQ(gone.size(), 2u);
	EXPECT_EQ(http_server_pending(s), 0u);
}

TEST_F(HttpServerTest, ClosesAfterTheAnswerThatSaysSo)
{
	bool closed = false;

	say(GET_A);
	reply(got[0].caller, 200, "x", true);
	EXPECT_NE(heard(&closed).find("Connection: close"), std::string::npos);
	EXPECT_TRUE(closed);
}

TEST_F(HttpServerTest, SlowHeadersEndInATimeout)
{
	bool closed = false;

	say("GET /a HTT");
	turn(700);
	EXPECT_EQ(heard(&closed).substr(0, 12), "HTTP/1.1 408");
}

TEST_F(HttpServerTest, AnIdleConnectionIsClosed)
{
	bool closed = false;

	turn(1100);
	heard(&closed);
	EXPECT_TRUE(closed);
}

TEST_F(HttpServerTest, MoreThanThePipelineWaitsUnread)
{
	std::string all;

	for (int i = 0; i < 40; i++)
		all += GET_A;
	say(all);
	EXPECT_EQ(got.size(), 32u);
	for (size_t i = 0; i < got.size(); i++) {
		reply(got[i].caller, 200, "x");
		turn(5);
	}
	turn(50);
	EXPECT_EQ(got.size(), 40u);
}
