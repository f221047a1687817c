/* The calls of the command line, to a server that answers with any bytes. */
#include "jd_test.hpp"

#include <atomic>
#include <memory>
#include <thread>

#include "invalid_heads.hpp"
#include "raw_server.hpp"

extern "C" {
#include <event2/event.h>

#include "cli/http_call.h"
#include "io/clock.h"
}

static const int TIMEOUT_MS = 1500;

/** Runs a server on a thread, as the calls block. */
struct HttpCall : public ::testing::Test {
	std::unique_ptr<struct event_base, void (*)(struct event_base *)> base{
		event_base_new(), event_base_free};
	RawServer server{base.get()};
	std::thread thread;
	std::atomic<bool> stopped{false};
	bool drips = false; // writes single bytes to each connection

	void serve(const std::string &text, const std::string &repeated)
	{
		server.repeated = repeated;
		server.on_request = [text](RawServer &s,
					   struct bufferevent *bev,
					   size_t) { s.write(bev, text); };
		run_server();
	}
	/** Answers each request with the next of @lines in the head. */
	void serve(const std::vector<std::string> &lines)
	{
		server.on_request = [lines](RawServer &s,
					    struct bufferevent *bev, size_t n) {
			s.write(bev, "HTTP/1.1 200 OK\r\n" + lines.at(n - 1) +
					     "\r\nContent-Length: 2\r\n\r\nok");
		};
		run_server();
	}
	void run_server()
	{
		thread = std::thread([this] {
			while (!stopped) {
				struct timeval tv = {0, 1000};

				event_base_loopexit(base.get(), &tv);
				event_base_dispatch(base.get());
				if (drips)
					server.write_others(nullptr, "x");
			}
		});
	}
	~HttpCall() override
	{
		stopped = true;
		if (thread.joinable())
			thread.join();
	}
	/** Calls the server; the text of the answer, or "none". */
	std::string call(enum status_code *code)
	{
		struct status st = {};
		char *text = http_call(server.addr.c_str(), "/x", nullptr,
				       TIMEOUT_MS, &st);
		std::string s = text ? text : "none";

		*code = st.code;
		free(text);
		return s;
	}
	void expect_unknown_in_time()
	{
		uint64_t start_ns = clock_now_ns();
		enum status_code code;

		EXPECT_EQ(call(&code), "none");
		EXPECT_EQ(code, STATUS_UNKNOWN);
		EXPECT_LT(clock_now_ns() - start_ns,
			  (TIMEOUT_MS + 1000) * NS_PER_MS);
	}
};

TEST_F(HttpCall, CompleteAnswerIsReturned)
{
	enum status_code code;

	serve("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", "");
	EXPECT_EQ(call(&code), "ok");
}

/* Each byte of an answer once started the timeout anew. */
TEST_F(HttpCall, SlowAnswerWithoutEndIsEndedByTheTimeout)
{
	drips = true;
	serve("HTTP/1.1 200 OK\r\n\r\n", "");
	expect_unknown_in_time();
}

TEST_F(HttpCall, HeadWithoutEndIsEnded)
{
	serve("HTTP/1.1 200 OK\r\n", "X-More: x\r\n");
	expect_unknown_in_time();
}

TEST_F(HttpCall, BodyWithoutEndIsEnded)
{
	serve("HTTP/1.1 200 OK\r\n\r\n", "x");
	expect_unknown_in_time();
}

TEST_F(HttpCall, BodyCutShortIsNoAnswer)
{
	server.closes = true;
	serve("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nok", "");
	expect_unknown_in_time();
}

TEST_F(HttpCall, AnswerCutByAResetIsNoAnswer)
{
	server.closes = true;
	server.resets = true;
	serve("HTTP/1.1 200 OK\r\n\r\nok", "");
	expect_unknown_in_time();
}

TEST_F(HttpCall, AnswerWithoutLengthEndsAtClose)
{
	enum status_code code;

	server.closes = true;
	serve("HTTP/1.1 200 OK\r\n\r\nok", "");
	EXPECT_EQ(call(&code), "ok");
}

TEST_F(HttpCall, InvalidStatusIsNoAnswer)
{
	serve("HTTP/1.1 200x OK\r\nContent-Length: 2\r\n\r\nok", "");
	expect_unknown_in_time();
}

TEST_F(HttpCall, InvalidFieldLineIsNoAnswer)
{
	std::vector<std::string> lines = invalid_field_lines();
	enum status_code code;

	serve(lines);
	for (const std::string &line : lines) {
		EXPECT_EQ(call(&code), "none") << line;
		EXPECT_EQ(code, STATUS_UNKNOWN) << line;
	}
}
