/* The client of the store, against one that answers with any bytes. */
#include "jd_test.hpp"

#include <memory>
#include <vector>

#include "invalid_heads.hpp"
#include "raw_server.hpp"

extern "C" {
#include <event2/event.h>

#include "io/clock.h"
#include "io/store_client.h"
}

struct StoreClient : public ::testing::Test {
	std::unique_ptr<struct event_base, void (*)(struct event_base *)>
		owned_base{event_base_new(), event_base_free};
	struct event_base *base = owned_base.get();
	RawServer server{base};
	struct store_client *client =
		store_client_new(base, server.addr.c_str(), on_done, this);
	std::vector<enum status_code> ends;

	~StoreClient() override
	{
		store_client_delete(client);
	}
	static void on_done(void *arg, struct ev_store *ev)
	{
		((StoreClient *)arg)->ends.push_back(ev->status);
	}
	/** Calls the store, which answers with @text; waits for up to 10 s. */
	enum status_code call(enum store_op kind, const std::string &text)
	{
		uint64_t limit = clock_now_ns() + 10 * NS_PER_S;
		struct act_store a = {};
		size_t n = ends.size() + 1;

		server.on_request = [&](RawServer &s, struct bufferevent *bev,
					size_t) { s.write(bev, text); };
		a.kind = kind;
		a.key.kind = DOC_MANIFEST;
		a.deadline_ns = clock_now_ns() + 60 * NS_PER_S;
		store_client_call(client, &a);
		while (ends.size() < n && clock_now_ns() < limit)
			event_base_loop(base, EVLOOP_ONCE | EVLOOP_NONBLOCK);
		EXPECT_EQ(ends.size(), n);
		return ends.size() == n ? ends.back() : STATUS_OK;
	}
	static std::string answer(const std::string &body)
	{
		return "HTTP/1.1 200 OK\r\nContent-Length: " +
		       std::to_string(body.size()) + "\r\n\r\n" + body;
	}
};

static const char WRITTEN[] =
	"{\"ok\":true,\"now\":7,\"revision\":7,\"items\":[]}";

/* An answer that ends early says nothing about the call. */
TEST_F(StoreClient, AnswerCutAnywhereIsUnknown)
{
	const std::string whole = answer(WRITTEN);

	EXPECT_EQ(call(STORE_CAS, whole), STATUS_OK);
	server.closes = true;
	for (size_t len = 1; len < whole.size(); len++)
		EXPECT_EQ(call(STORE_CAS, whole.substr(0, len)), STATUS_UNKNOWN)
			<< whole.substr(0, len);
}

/*
 * A write without a statement that it took effect is not taken for done, nor an
 * answer without items for an empty store.
 */
TEST_F(StoreClient, AnswerWithoutItsFieldsIsUnknown)
{
	for (const char *body :
	     {"{}", "[]", "{\"now\":7,\"items\":[]}",
	      "{\"ok\":true,\"items\":[]}", "{\"ok\":true,\"now\":7}"})
		for (enum store_op kind : {STORE_CAS, STORE_LIST})
			EXPECT_EQ(call(kind, answer(body)), STATUS_UNKNOWN)
				<< body;
	EXPECT_EQ(call(STORE_CAS,
		       answer("{\"ok\":true,\"now\":7,\"items\":[]}")),
		  STATUS_UNKNOWN);
}

/* Only a status of three digits says what became of a call. */
TEST_F(StoreClient, InvalidStatusIsUnknown)
{
	for (const char *status : {"000", "099", "101", "600", "20", "2x0",
				   "200x", "0200", "+200", "4294967496", ""})
		EXPECT_EQ(call(STORE_CAS, "HTTP/1.1 " + std::string(status) +
						  " X\r\n" +
						  answer(WRITTEN).substr(17)),
			  STATUS_UNKNOWN)
			<< status;
}

/* Nor does one without a length that a reset cuts, whatever is missing. */
TEST_F(StoreClient, AnswerCutByAResetIsUnknown)
{
	server.closes = true;
	server.resets = true;
	EXPECT_EQ(call(STORE_CAS,
		       "HTTP/1.1 200 OK\r\n\r\n" + std::string(WRITTEN)),
		  STATUS_UNKNOWN);
	server.resets = false;
	EXPECT_EQ(call(STORE_CAS,
		       "HTTP/1.1 200 OK\r\n\r\n" + std::string(WRITTEN)),
		  STATUS_OK);
}

/* A head with an invalid field line says nothing of the call. */
TEST_F(StoreClient, InvalidFieldLineIsUnknown)
{
	for (const std::string &line : invalid_field_lines())
		EXPECT_EQ(call(STORE_CAS, "HTTP/1.1 200 OK\r\n" + line +
						  "\r\n" +
						  answer(WRITTEN).substr(17)),
			  STATUS_UNKNOWN)
			<< line;
}

/* Bytes without end neither fill the memory nor last until the deadline. */
TEST_F(StoreClient, AnswerWithoutEndFailsEarlyAndBounded)
{
	static const struct {
		const char *start, *repeated;
	} streams[] = {
		{"HTTP/1.1 200", "x"},
		{"HTTP/1.1 200 OK\r\n", "X-More: x\r\n"},
		{"HTTP/1.1 100 Continue\r\n\r\n",
		 "HTTP/1.1 100 Continue\r\n\r\n"},
		{"HTTP/1.1 200 OK\r\n\r\n", "x"},
	};

	for (const auto &s : streams) {
		server.repeated = s.repeated;
		server.written = 0;
		EXPECT_EQ(call(STORE_LIST, s.start), STATUS_UNKNOWN)
			<< s.start << s.repeated;
		EXPECT_LT(server.written, 64u << 20) << s.start << s.repeated;
	}
}
