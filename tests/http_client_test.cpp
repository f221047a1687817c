#include "jd_test.hpp"

#include <vector>

#include "free_port.hpp"

extern "C" {
#include <event2/event.h>

#include "core/mem.h"
#include "io/clock.h"
#include "io/http_client.h"
}

/* The upstream is a socket of the test's own, driven by hand. */
struct HttpClientTest : public ::testing::Test {
	struct event_base *base = event_base_new();
	struct http_client *c;
	std::string addr = free_addr();
	int lfd = -1;
	struct End {
		uint64_t call;
		enum client_end end;
		std::string body;
	};
	std::vector<End> ends;

	HttpClientTest()
	{
		struct http_client_opts o = {};

		o.base = base;
		o.echo_header = "Id";
		o.on_end = on_end;
		o.arg = this;
		c = http_client_new(&o);
	}
	~HttpClientTest() override
	{
		http_client_delete(c);
		event_base_free(base);
		if (lfd >= 0)
			close(lfd);
	}
	static void on_end(void *arg, struct client_result *r)
	{
		auto *t = (HttpClientTest *)arg;

		t->ends.push_back(
			{r->call, r->end,
			 r->answer
				 ? std::string((char *)r->answer->payload.body,
					       r->answer->payload.body_len)
				 : ""});
	}
	void listen_now()
	{
		struct sockaddr_in a = {};
		int on = 1;

		lfd = socket(AF_INET, SOCK_STREAM, 0);
		setsockopt(lfd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
		a.sin_family = AF_INET;
		a.sin_port = htons((uint16_t)atoi(
			addr.substr(addr.find(':') + 1).c_str()));
		a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
		EXPECT_EQ(bind(lfd, (struct sockaddr *)&a, sizeof(a)), 0);
		EXPECT_EQ(listen(lfd, 8), 0);
	}
	void call(uint64_t n, const char *id, uint64_t ms = 2000,
		  uint64_t write_before_ms = 2000)
	{
		struct client_call call = {};

		call.call = n;
		call.addr = addr.c_str();
		call.deadline_ns = clock_now_ns() + ms * NS_PER_MS;
		call.write_before_ns =
			clock_now_ns() + write_before_ms * NS_PER_MS;
		call.request = http_request_new("GET", "/");
		payload_add_header(&call.request->payload, "Id", id);
		http_client_call(c, &call);
		http_request_delete(call.request);
		turn(30);
	}
	void turn(int ms)
	{
		struct timeval tv = {0, ms * 1000};

		event_base_loopexit(base, &tv);
		event_base_dispatch(base);
	}
	int take()
	{
		return accept(lfd, NULL, NULL);
	}
	std::string read_all(int fd)
	{
		char buf[4096];
		ssize_t n = recv(fd, buf, sizeof(buf), MSG_DONTWAIT);

		return n > 0 ? std::string(buf, (size_t)n) : "";
	}
	void say(int fd, const std::string &text)
	{
		EXPECT_EQ(write(fd, text.data(), text.size()),
			  (ssize_t)text.size());
		turn(30);
	}
};

static std::string ok(const char *id, const char *body)
{
	return "HTTP/1.1 200 OK\r\nId: " + std::string(id) +
	       "\r\nContent-Length: " + std::to_string(strlen(body)) +
	       "\r\n\r\n" + body;
}

TEST_F(HttpClientTest, KeepsItsConnection)
{
	listen_now();
	call(1, "a");
	int fd = take();

	EXPECT_NE(read_all(fd).find("GET / HTTP/1.1"), std::string::npos);
	say(fd, ok("a", "one"));
	call(2, "b");
	EXPECT_NE(read_all(fd).find("Id: b"), std::string::npos);
	say(fd, ok("b", "two"));
	ASSERT_EQ(ends.size(), 2u);
	EXPECT_EQ(ends[1].body, "two");
	EXPECT_EQ(http_client_connects(c), 1u);
	close(fd);
}

TEST_F(HttpClientTest, AnAnswerToAnotherRequestIsDropped)
{
	listen_now();
	call(1, "a");
	int fd = take();

	say(fd, ok("z", "stale") + ok("a", "mine"));
	ASSERT_EQ(ends.size(), 1u);
	EXPECT_EQ(ends[0].end, CLIENT_ANSWERED);
	EXPECT_EQ(ends[0].body, "mine");
	close(fd);
}

TEST_F(HttpClientTest, BytesBehindAnAnswerEndTheConnection)
{
	listen_now();
	call(1, "a");
	int fd = take();

	say(fd, ok("a", "mine") + "junk");
	ASSERT_EQ(ends.size(), 1u);
	EXPECT_EQ(ends[0].end, CLIENT_ANSWERED);
	call(2, "b");
	EXPECT_EQ(http_client_connects(c), 2u);
	close(fd);
}

TEST_F(HttpClientTest, BytesThatNoRequestWaitsForEndTheConnection)
{
	listen_now();
	call(1, "a");
	int fd = take();

	say(fd, ok("a", "mine"));
	say(fd, ok("a", "again"));
	call(2, "b");
	EXPECT_EQ(http_client_connects(c), 2u);
	int second = take();

	say(second, ok("b", "right"));
	ASSERT_EQ(ends.size(), 2u);
	EXPECT_EQ(ends[1].body, "right");
	close(fd);
	close(second);
}

TEST_F(HttpClientTest, ACutAnswerIsNone)
{
	listen_now();
	call(1, "a");
	int fd = take();

	say(fd, "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 9\r\n\r\nhal");
	close(fd);
	turn(50);
	ASSERT_EQ(ends.size(), 1u);
	EXPECT_EQ(ends[0].end, CLIENT_INCOMPLETE);
}

TEST_F(HttpClientTest, AnAnswerWithoutLengthEndsWithItsConnection)
{
	listen_now();
	call(1, "a");
	int fd = take();

	read_all(fd);
	say(fd, "HTTP/1.1 200 OK\r\nId: a\r\n\r\nall of it");
	EXPECT_TRUE(ends.empty());
	close(fd);
	turn(50);
	ASSERT_EQ(ends.size(), 1u);
	EXPECT_EQ(ends[0].end, CLIENT_ANSWERED);
	EXPECT_EQ(ends[0].body, "all of it");
}

TEST_F(HttpClientTest, AResetIsNoEndOfAnAnswerWithoutLength)
{
	struct linger l = {1, 0};

	listen_now();
	call(1, "a");
	int fd = take();

	say(fd, "HTTP/1.1 200 OK\r\nId: a\r\n\r\nall of it");
	setsockopt(fd, SOL_SOCKET, SO_LINGER, &l, sizeof(l));
	close(fd);
	turn(50);
	ASSERT_EQ(ends.size(), 1u);
	EXPECT_EQ(ends[0].end, CLIENT_INCOMPLETE);
}

TEST_F(HttpClientTest, NothingListeningIsRefused)
{
	call(1, "a");
	turn(50);
	ASSERT_EQ(ends.size(), 1u);
	EXPECT_EQ(ends[0].end, CLIENT_REFUSED);
}

TEST_F(HttpClientTest, NoAnswerIsLate)
{
	listen_now();
	call(1, "a", 80);
	turn(120);
	ASSERT_EQ(ends.size(), 1u);
	EXPECT_EQ(ends[0].end, CLIENT_TIMED_OUT);
}

TEST_F(HttpClientTest, NothingIsWrittenAfterTheGrantHasEnded)
{
	listen_now();
	call(1, "a", 2000, 0);
	turn(50);
	ASSERT_EQ(ends.size(), 1u);
	EXPECT_EQ(ends[0].end, CLIENT_NOT_SENT);
}

TEST_F(HttpClientTest, CancellingClosesTheConnection)
{
	char byte;

	listen_now();
	call(1, "a");
	int fd = take();

	read_all(fd);
	http_client_cancel(c, 1);
	turn(50);
	EXPECT_EQ(recv(fd, &byte, 1, MSG_DONTWAIT), 0);
	ASSERT_EQ(ends.size(), 1u);
	EXPECT_EQ(ends[0].end, CLIENT_INCOMPLETE);
	close(fd);
}

TEST_F(HttpClientTest, AHeadAnswerHasNoBodyAndThePostBehindItIsServed)
{
	struct client_call head = {};

	listen_now();
	head.call = 1;
	head.addr = addr.c_str();
	head.deadline_ns = clock_now_ns() + 2 * NS_PER_S;
	head.write_before_ns = head.deadline_ns;
	head.request = http_request_new("HEAD", "/");
	payload_add_header(&head.request->payload, "Id", "a");
	http_client_call(c, &head);
	http_request_delete(head.request);
	turn(30);
	int fd = take();

	say(fd, "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 5\r\n\r\n");
	ASSERT_EQ(ends.size(), 1u);
	EXPECT_EQ(ends[0].end, CLIENT_ANSWERED);
	/* A body after HEAD would belong to no request. */
	say(fd, "hello");
	call(2, "b");
	int second = take();

	say(second, ok("b", "posted"));
	ASSERT_EQ(ends.size(), 2u);
	EXPECT_EQ(ends[1].body, "posted");
	close(fd);
	close(second);
}
