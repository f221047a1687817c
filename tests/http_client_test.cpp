#include "jd_test.hpp"

#include <vector>

#include "free_port.hpp"

extern "C" {
#include <event2/event.h>

#include "core/mem.h"
#include "io/clock.h"
#include "io/http_client.h"
}

/* The test plays the upstream on a listening socket. */
struct HttpClientTest : public ::testing::Test {
	struct event_base *base = event_base_new();
	struct http_client *c;
	std::string addr = free_addr();
	int listen_fd = -1;
	struct Result {
		uint64_t call;
		enum client_end end;
		std::string body;
	};
	std::vector<Result> results;

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
		if (listen_fd >= 0)
			close(listen_fd);
	}
	static void on_end(void *arg, struct client_result *r)
	{
		auto *t = (HttpClientTest *)arg;

		t->results.push_back(
			{r->call, r->end,
			 r->answer
				 ? std::string((char *)r->answer->payload.body,
					       r->answer->payload.body_len)
				 : ""});
	}
	void start_listening()
	{
		struct sockaddr_in a = {};
		int on = 1;

		listen_fd = socket(AF_INET, SOCK_STREAM, 0);
		setsockopt(listen_fd, SOL_SOCKET, SO_REUSEADDR, &on,
			   sizeof(on));
		a.sin_family = AF_INET;
		a.sin_port = htons((uint16_t)atoi(
			addr.substr(addr.find(':') + 1).c_str()));
		a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
		EXPECT_EQ(bind(listen_fd, (struct sockaddr *)&a, sizeof(a)), 0);
		EXPECT_EQ(listen(listen_fd, 8), 0);
	}
	void call(uint64_t number, const char *id, uint64_t ms = 2000,
		  uint64_t write_before_ms = 2000)
	{
		struct client_call call = {};

		call.call = number;
		call.addr = addr.c_str();
		call.deadline_ns = clock_now_ns() + ms * NS_PER_MS;
		call.write_before_ns =
			clock_now_ns() + write_before_ms * NS_PER_MS;
		call.request = http_request_new("GET", "/");
		payload_add_header(&call.request->payload, "Id", id);
		http_client_call(c, &call);
		http_request_unref(call.request);
		run_loop(30);
	}
	void run_loop(int ms)
	{
		struct timeval tv = {0, ms * 1000};

		event_base_loopexit(base, &tv);
		event_base_dispatch(base);
	}
	int accept_connection()
	{
		return accept(listen_fd, NULL, NULL);
	}
	std::string read_all(int fd)
	{
		char buf[4096];
		ssize_t n = recv(fd, buf, sizeof(buf), MSG_DONTWAIT);

		return n > 0 ? std::string(buf, (size_t)n) : "";
	}
	void send_text(int fd, const std::string &text)
	{
		EXPECT_EQ(write(fd, text.data(), text.size()),
			  (ssize_t)text.size());
		run_loop(30);
	}
};

static std::string answer_text(const char *id, const char *body)
{
	return "HTTP/1.1 200 OK\r\nId: " + std::string(id) +
	       "\r\nContent-Length: " + std::to_string(strlen(body)) +
	       "\r\n\r\n" + body;
}

TEST_F(HttpClientTest, SecondCallReusesConnection)
{
	start_listening();
	call(1, "a");
	int fd = accept_connection();

	EXPECT_NE(read_all(fd).find("GET / HTTP/1.1"), std::string::npos);
	send_text(fd, answer_text("a", "one"));
	call(2, "b");
	EXPECT_NE(read_all(fd).find("Id: b"), std::string::npos);
	send_text(fd, answer_text("b", "two"));
	ASSERT_EQ(results.size(), 2u);
	EXPECT_EQ(results[1].body, "two");
	EXPECT_EQ(http_client_connects(c), 1u);
	close(fd);
}

TEST_F(HttpClientTest, AnswerToOtherRequestIsDropped)
{
	start_listening();
	call(1, "a");
	int fd = accept_connection();

	send_text(fd, answer_text("z", "stale") + answer_text("a", "mine"));
	ASSERT_EQ(results.size(), 1u);
	EXPECT_EQ(results[0].end, CLIENT_ANSWERED);
	EXPECT_EQ(results[0].body, "mine");
	close(fd);
}

TEST_F(HttpClientTest, BytesAfterAnswerCloseConnection)
{
	start_listening();
	call(1, "a");
	int fd = accept_connection();

	send_text(fd, answer_text("a", "mine") + "junk");
	ASSERT_EQ(results.size(), 1u);
	EXPECT_EQ(results[0].end, CLIENT_ANSWERED);
	call(2, "b");
	EXPECT_EQ(http_client_connects(c), 2u);
	close(fd);
}

TEST_F(HttpClientTest, BytesOnIdleConnectionCloseIt)
{
	start_listening();
	call(1, "a");
	int fd = accept_connection();

	send_text(fd, answer_text("a", "mine"));
	send_text(fd, answer_text("a", "again"));
	call(2, "b");
	EXPECT_EQ(http_client_connects(c), 2u);
	int second = accept_connection();

	send_text(second, answer_text("b", "right"));
	ASSERT_EQ(results.size(), 2u);
	EXPECT_EQ(results[1].body, "right");
	close(fd);
	close(second);
}

TEST_F(HttpClientTest, TruncatedAnswerIsIncomplete)
{
	start_listening();
	call(1, "a");
	int fd = accept_connection();

	send_text(fd,
		  "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 9\r\n\r\nhal");
	close(fd);
	run_loop(50);
	ASSERT_EQ(results.size(), 1u);
	EXPECT_EQ(results[0].end, CLIENT_INCOMPLETE);
}

TEST_F(HttpClientTest, AnswerWithoutLengthEndsAtClose)
{
	start_listening();
	call(1, "a");
	int fd = accept_connection();

	read_all(fd);
	send_text(fd, "HTTP/1.1 200 OK\r\nId: a\r\n\r\nall of it");
	EXPECT_TRUE(results.empty());
	close(fd);
	run_loop(50);
	ASSERT_EQ(results.size(), 1u);
	EXPECT_EQ(results[0].end, CLIENT_ANSWERED);
	EXPECT_EQ(results[0].body, "all of it");
}

TEST_F(HttpClientTest, ResetLeavesAnswerWithoutLengthIncomplete)
{
	struct linger l = {1, 0};

	start_listening();
	call(1, "a");
	int fd = accept_connection();

	send_text(fd, "HTTP/1.1 200 OK\r\nId: a\r\n\r\nall of it");
	setsockopt(fd, SOL_SOCKET, SO_LINGER, &l, sizeof(l));
	close(fd);
	run_loop(50);
	ASSERT_EQ(results.size(), 1u);
	EXPECT_EQ(results[0].end, CLIENT_INCOMPLETE);
}

TEST_F(HttpClientTest, UnusedPortIsRefused)
{
	call(1, "a");
	run_loop(50);
	ASSERT_EQ(results.size(), 1u);
	EXPECT_EQ(results[0].end, CLIENT_REFUSED);
}

TEST_F(HttpClientTest, CallWithoutAnswerTimesOut)
{
	start_listening();
	call(1, "a", 80);
	run_loop(120);
	ASSERT_EQ(results.size(), 1u);
	EXPECT_EQ(results[0].end, CLIENT_TIMED_OUT);
}

TEST_F(HttpClientTest, NothingIsWrittenAfterWriteBeforeTime)
{
	start_listening();
	call(1, "a", 2000, 0);
	run_loop(50);
	ASSERT_EQ(results.size(), 1u);
	EXPECT_EQ(results[0].end, CLIENT_NOT_SENT);
}

TEST_F(HttpClientTest, CancelClosesConnection)
{
	char byte;

	start_listening();
	call(1, "a");
	int fd = accept_connection();

	read_all(fd);
	http_client_cancel(c, 1);
	run_loop(50);
	EXPECT_EQ(recv(fd, &byte, 1, MSG_DONTWAIT), 0);
	ASSERT_EQ(results.size(), 1u);
	EXPECT_EQ(results[0].end, CLIENT_INCOMPLETE);
	close(fd);
}

TEST_F(HttpClientTest, BodyAfterHeadAnswerIsNotTakenForNextAnswer)
{
	struct client_call head = {};

	start_listening();
	head.call = 1;
	head.addr = addr.c_str();
	head.deadline_ns = clock_now_ns() + 2 * NS_PER_S;
	head.write_before_ns = head.deadline_ns;
	head.request = http_request_new("HEAD", "/");
	payload_add_header(&head.request->payload, "Id", "a");
	http_client_call(c, &head);
	http_request_unref(head.request);
	run_loop(30);
	int fd = accept_connection();

	send_text(fd, "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 5\r\n\r\n");
	ASSERT_EQ(results.size(), 1u);
	EXPECT_EQ(results[0].end, CLIENT_ANSWERED);
	/* A HEAD answer has no body, so these bytes belong to no request. */
	send_text(fd, "hello");
	call(2, "b");
	int second = accept_connection();

	send_text(second, answer_text("b", "posted"));
	ASSERT_EQ(results.size(), 2u);
	EXPECT_EQ(results[1].body, "posted");
	close(fd);
	close(second);
}
