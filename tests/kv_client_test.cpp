#include "jd_test.hpp"

#include <functional>
#include <map>
#include <memory>
#include <vector>

#include "free_port.hpp"
#include "invalid_heads.hpp"
#include "raw_server.hpp"

extern "C" {
#include <event2/event.h>

#include "core/mem.h"
#include "fakes/kv_server.h"
#include "io/clock.h"
#include "platform/kv_client.h"
}

struct KvClientTest : public ::testing::Test {
	struct event_base *base = event_base_new();
	std::string addr = free_addr();
	struct kv_server *server;
	struct kv_client *client;
	struct End {
		enum store_end end;
		uint64_t era, revision, lease, ttl_ns;
		std::vector<std::string> names;
		std::vector<bool> removed;
	};
	std::map<uint64_t, End> ends;
	uint64_t next_op = 1;

	KvClientTest()
	{
		struct kv_server_opts o = {};

		o.base = base;
		o.addr = addr.c_str();
		o.page = 3;
		o.copies = 100;
		o.copy_ms = 20;
		server = kv_server_new(&o);
		EXPECT_NE(server, nullptr);
		client = kv_client_new(base, addr.c_str(), on_end, this);
	}
	~KvClientTest() override
	{
		kv_client_delete(client);
		kv_server_delete(server);
		event_base_free(base);
	}
	static void on_end(void *arg, struct ev_store_end *e)
	{
		End &end = ((KvClientTest *)arg)->ends[e->op];
		const struct record *r;

		end.end = e->end;
		end.era = e->era;
		end.revision = e->revision;
		end.lease = e->lease;
		end.ttl_ns = e->ttl_ns;
		list_for_each_entry(r, &e->records, link) {
			end.names.push_back(r->name);
			end.removed.push_back(r->removed);
		}
	}
	void run_loop(int ms)
	{
		struct timeval tv = {ms / 1000, ms % 1000 * 1000};

		event_base_loopexit(base, &tv);
		event_base_dispatch(base);
	}
	uint64_t start(enum store_call_kind kind,
		       const std::function<void(struct act_store_call &)> &set)
	{
		struct act_store_call a = {};

		a.op = next_op++;
		a.kind = kind;
		a.deadline_ns = clock_now_ns() + 200 * NS_PER_MS;
		list_init(&a.puts);
		set(a);
		kv_client_call(client, &a);
		return a.op;
	}
	const End &call(enum store_call_kind kind,
			const std::function<void(struct act_store_call &)> &set)
	{
		uint64_t op = start(kind, set);

		for (int i = 0; i < 60 && !ends.count(op); i++)
			run_loop(10);
		EXPECT_TRUE(ends.count(op));
		return ends[op];
	}
	const End &call(enum store_call_kind kind)
	{
		return call(kind, [](struct act_store_call &) {});
	}
	static void put_card(struct act_store_call &a, const char *name,
			     uint64_t expected)
	{
		struct record *r = record_new(RECORD_CARD, name);

		list_push_back(&a.puts, &r->link);
		a.expect[0].kind = RECORD_CARD;
		mem_copy_str(a.expect[0].name, name, sizeof(a.expect[0].name));
		a.expect[0].revision = expected;
		a.expect_count = 1;
	}
};

TEST_F(KvClientTest, ReadsAllPages)
{
	for (int i = 0; i < 8; i++)
		kv_server_put(server,
			      ("op/evacuate/z" + std::to_string(i)).c_str(),
			      "{}");
	kv_server_put(server, "servers/x", "{}");
	const End &e = call(CALL_READ_ALL);

	EXPECT_EQ(e.end, STORE_DONE);
	EXPECT_EQ(e.names.size(), 8u);
	EXPECT_EQ(kv_client_request_count(client), 3u);
}

/* The next page was asked for after a part of the key, and had it again. */
TEST_F(KvClientTest, APageMayEndWithTheLongestKeyInAnyAlphabet)
{
	std::string longest = "op/evacuate/";

	while (longest.size() < 199)
		longest += "\xc3\xa9";
	for (const std::string &key :
	     {std::string("op/evacuate/a"), std::string("op/evacuate/b"),
	      longest, longest.substr(0, 196) + "\xc3\xaa\xc3\xaa"})
		kv_server_put(server, key.c_str(), "{}");
	const End &e = call(CALL_READ_ALL);

	EXPECT_EQ(e.end, STORE_DONE);
	EXPECT_EQ(e.names.size(), 4u);
	EXPECT_EQ(kv_client_request_count(client), 2u);
}

TEST_F(KvClientTest, WatchReportsARemovedRecord)
{
	kv_server_put(server, "op/evacuate/z1", "{}");
	uint64_t known = call(CALL_READ_ALL).revision;
	uint64_t op = start(CALL_WATCH_ALL, [&](struct act_store_call &a) {
		a.after = known;
		a.wait_ns = 5 * NS_PER_S;
		a.deadline_ns = clock_now_ns() + 5 * NS_PER_S;
	});

	run_loop(50);
	EXPECT_EQ(ends.count(op), 0u);
	kv_server_remove(server, "op/evacuate/z1");
	run_loop(50);
	ASSERT_EQ(ends.count(op), 1u);
	ASSERT_EQ(ends[op].names.size(), 1u);
	EXPECT_TRUE(ends[op].removed[0]);
	EXPECT_GT(ends[op].revision, known);
}

TEST_F(KvClientTest, WatchOfCompactedHistoryFails)
{
	kv_server_put(server, "op/evacuate/z1", "{}");
	kv_server_compact(server);
	EXPECT_EQ(call(CALL_WATCH_ALL,
		       [](struct act_store_call &a) {
			       a.after = revision_make(1, 1);
		       }).end,
		  STORE_NO_HISTORY);
}

TEST_F(KvClientTest, WriteNeedsTheExpectedRevision)
{
	const End &first = call(CALL_WRITE, [](struct act_store_call &a) {
		put_card(a, "n", 0);
	});

	EXPECT_EQ(first.end, STORE_DONE);
	EXPECT_EQ(call(CALL_WRITE,
		       [](struct act_store_call &a) {
			       put_card(a, "n", 0);
		       }).end,
		  STORE_CONFLICT);
	uint64_t revision = first.revision;

	EXPECT_EQ(call(CALL_WRITE,
		       [&](struct act_store_call &a) {
			       put_card(a, "n", revision);
		       }).end,
		  STORE_DONE);
}

TEST_F(KvClientTest, KeysAreRemovedWhenTheirLeaseExpires)
{
	const End lease = call(CALL_LEASE_NEW, [](struct act_store_call &a) {
		a.ttl_ns = NS_PER_S;
	});

	ASSERT_EQ(lease.end, STORE_DONE);
	EXPECT_EQ(lease.ttl_ns, NS_PER_S);
	call(CALL_WRITE, [&](struct act_store_call &a) {
		put_card(a, "n", 0);
		a.lease = lease.lease;
	});
	EXPECT_TRUE(kv_server_has(server, "own/node/n"));
	run_loop(700);
	EXPECT_EQ(call(CALL_LEASE_KEEP,
		       [&](struct act_store_call &a) {
			       a.lease = lease.lease;
		       }).end,
		  STORE_DONE);
	run_loop(700);
	EXPECT_TRUE(kv_server_has(server, "own/node/n"));
	run_loop(600);
	EXPECT_FALSE(kv_server_has(server, "own/node/n"));
	EXPECT_EQ(call(CALL_LEASE_KEEP,
		       [&](struct act_store_call &a) {
			       a.lease = lease.lease;
		       }).end,
		  STORE_NO_LEASE);
	EXPECT_EQ(call(CALL_WRITE,
		       [&](struct act_store_call &a) {
			       put_card(a, "m", 0);
			       a.lease = lease.lease;
		       }).end,
		  STORE_NO_LEASE);
}

TEST_F(KvClientTest, RefusedAndLostCallsAreToldApart)
{
	kv_server_set_fault(server, KV_FAULT_BUSY);
	EXPECT_EQ(call(CALL_READ_ALL).end, STORE_REFUSED);
	kv_server_set_fault(server, KV_FAULT_TOO_MANY);
	EXPECT_EQ(call(CALL_READ_ALL).end, STORE_REFUSED);
	kv_server_set_fault(server, KV_FAULT_SILENT);
	EXPECT_EQ(call(CALL_READ_ALL).end, STORE_NO_ANSWER);
	kv_server_set_fault(server, KV_FAULT_NONE);
	EXPECT_EQ(call(CALL_READ_ALL).end, STORE_DONE);
}

TEST_F(KvClientTest, WriteMayTakeEffectThoughItsAnswerIsLost)
{
	kv_server_set_fault(server, KV_FAULT_LOSES_ANSWERS);
	EXPECT_EQ(call(CALL_WRITE,
		       [](struct act_store_call &a) {
			       put_card(a, "n", 0);
		       }).end,
		  STORE_NO_ANSWER);
	EXPECT_TRUE(kv_server_has(server, "own/node/n"));
	kv_server_set_fault(server, KV_FAULT_NONE);
	EXPECT_EQ(call(CALL_READ_ALL).names.size(), 1u);
}

/*
 * The store comes back from a copy: what was written since is gone, revisions
 * and ids of leases are given out again, and a watch of before is cut.
 */
TEST_F(KvClientTest, ARestoredStoreIsOfALaterEra)
{
	run_loop(50);
	const End before = call(CALL_WRITE, [](struct act_store_call &a) {
		put_card(a, "n", 0);
	});
	run_loop(150);
	const uint64_t between_ns = clock_now_ns();
	run_loop(150);
	const End lease = call(CALL_LEASE_NEW, [](struct act_store_call &a) {
		a.ttl_ns = 10 * NS_PER_S;
	});
	const End lost = call(CALL_WRITE, [&](struct act_store_call &a) {
		put_card(a, "m", 0);
		a.lease = lease.lease;
	});
	kv_server_put(server, "op/evacuate/z1", "{}");
	const uint64_t known = call(CALL_READ_ALL).revision;
	uint64_t op = start(CALL_WATCH_ALL, [&](struct act_store_call &a) {
		a.after = known;
		a.wait_ns = 5 * NS_PER_S;
		a.deadline_ns = clock_now_ns() + 5 * NS_PER_S;
	});
	run_loop(100);
	ASSERT_TRUE(kv_server_restore(server, clock_now_ns() - between_ns));
	run_loop(50);
	ASSERT_EQ(ends.count(op), 1u);
	EXPECT_EQ(ends[op].end, STORE_NO_ANSWER);
	EXPECT_TRUE(kv_server_has(server, "own/node/n"));
	EXPECT_FALSE(kv_server_has(server, "own/node/m"));
	EXPECT_FALSE(kv_server_has(server, "op/evacuate/z1"));
	/* A watch from a revision that the store does not have. */
	const End &gone = call(CALL_WATCH_ALL, [&](struct act_store_call &a) {
		a.after = known;
	});

	EXPECT_EQ(gone.end, STORE_NO_HISTORY);
	EXPECT_EQ(gone.era, 2u);
	EXPECT_EQ(call(CALL_LEASE_KEEP,
		       [&](struct act_store_call &a) {
			       a.lease = lease.lease;
		       }).end,
		  STORE_NO_LEASE);
	EXPECT_EQ(call(CALL_LEASE_NEW,
		       [](struct act_store_call &a) {
			       a.ttl_ns = 10 * NS_PER_S;
		       }).lease,
		  lease.lease);
	kv_server_write_again(server);
	EXPECT_TRUE(kv_server_has(server, "op/evacuate/z1"));
	const End &after = call(CALL_WRITE, [](struct act_store_call &a) {
		put_card(a, "k", 0);
	});

	EXPECT_EQ(after.end, STORE_DONE);
	EXPECT_GT(after.revision, lost.revision);
	EXPECT_LE(revision_number(after.revision),
		  revision_number(lost.revision) + 1);
	EXPECT_EQ(revision_era(before.revision), 1u);
	EXPECT_EQ(revision_era(after.revision), 2u);
}

/* A lease that is in the copy has what it had left then. */
TEST_F(KvClientTest, ALeaseOfTheCopyHasWhatItHadLeft)
{
	const End lease = call(CALL_LEASE_NEW, [](struct act_store_call &a) {
		a.ttl_ns = 1500 * NS_PER_MS;
	});

	call(CALL_WRITE, [&](struct act_store_call &a) {
		put_card(a, "n", 0);
		a.lease = lease.lease;
	});
	run_loop(1400);
	ASSERT_TRUE(kv_server_restore(server, 1200 * NS_PER_MS));
	run_loop(600);
	EXPECT_TRUE(kv_server_has(server, "own/node/n"));
	run_loop(1400);
	EXPECT_FALSE(kv_server_has(server, "own/node/n"));
}

TEST(KvClient, CallToAnUnreachableStoreIsLost)
{
	struct event_base *base = event_base_new();
	static enum store_end got;
	struct kv_client *client = kv_client_new(
		base, free_addr().c_str(),
		[](void *, struct ev_store_end *e) { got = e->end; }, NULL);
	struct act_store_call a = {};
	struct timeval tv = {0, 300000};

	got = STORE_DONE;
	a.kind = CALL_READ_ALL;
	a.deadline_ns = clock_now_ns() + 200 * NS_PER_MS;
	list_init(&a.puts);
	kv_client_call(client, &a);
	event_base_loopexit(base, &tv);
	event_base_dispatch(base);
	EXPECT_EQ(got, STORE_NO_ANSWER);
	kv_client_delete(client);
	event_base_free(base);
}

/** A client of a store that answers with any bytes. */
struct RawStore : public ::testing::Test {
	std::unique_ptr<struct event_base, void (*)(struct event_base *)>
		owned_base{event_base_new(), event_base_free};
	struct event_base *base = owned_base.get();
	RawServer server{base};
	struct kv_client *client =
		kv_client_new(base, server.addr.c_str(), on_end, this);
	std::vector<enum store_end> ends;
	std::vector<uint64_t> eras, revisions;
	std::vector<uint64_t> record_revisions;
	size_t record_count = 0;
	uint64_t patience_ns = 120 * NS_PER_S; /* a call's deadline is then */
	struct Part {
		struct bufferevent *bev;
		std::string text;
	};
	std::vector<std::unique_ptr<Part>> parts; /* to be written */

	~RawStore() override
	{
		kv_client_delete(client);
	}
	static void on_end(void *arg, struct ev_store_end *e)
	{
		auto *s = (RawStore *)arg;
		const struct record *r;

		s->ends.push_back(e->end);
		s->eras.push_back(e->era);
		s->revisions.push_back(e->revision);
		list_for_each_entry(r, &e->records, link) {
			s->record_count++;
			s->record_revisions.push_back(r->revision);
		}
	}
	static void write_part(evutil_socket_t, short, void *arg)
	{
		RawServer::write(((Part *)arg)->bev, ((Part *)arg)->text);
	}
	/** Writes @text after @ms. */
	void write_later(struct bufferevent *bev, const std::string &text,
			 int ms)
	{
		struct timeval tv = {ms / 1000, ms % 1000 * 1000};

		parts.push_back(std::make_unique<Part>(Part{bev, text}));
		event_base_once(base, -1, EV_TIMEOUT, write_part,
				parts.back().get(), &tv);
	}
	/** Writes one record over @ms, without the last @missing bytes. */
	void write_record_over(struct bufferevent *bev, int ms, size_t missing)
	{
		const std::string body =
			"{\"items\":[{\"key\":\"op/evacuate/z1\","
			"\"value\":\"e30=\",\"revision\":7}],\"asOf\":9}";

		RawServer::write(bev, "HTTP/1.1 200 OK\r\nContent-Length: " +
					      std::to_string(body.size()) +
					      "\r\n\r\n");
		for (size_t i = 0; i + missing < body.size(); i++)
			write_later(bev, body.substr(i, 1),
				    (int)(i * (size_t)ms / body.size()));
	}
	void start(enum store_call_kind kind, revision_t revision = 0)
	{
		struct act_store_call a = {};

		a.kind = kind;
		a.deadline_ns = clock_now_ns() + patience_ns;
		a.after = revision;
		if (kind == CALL_WRITE) {
			a.expect_count = 2;
			a.expect[0].kind = RECORD_KEYMAP;
			a.expect[0].revision = revision;
			a.expect[1].kind = RECORD_CARD;
		}
		list_init(&a.puts);
		kv_client_call(client, &a);
	}
	/** Runs the loop, once at least, until @done, or for 30 s. */
	void run_loop(const std::function<bool()> &done)
	{
		uint64_t limit = clock_now_ns() + 30 * NS_PER_S;

		do
			event_base_loop(base, EVLOOP_ONCE | EVLOOP_NONBLOCK);
		while (!done() && clock_now_ns() < limit);
	}
	/** Runs the loop until @n calls have ended, or for 30 s. */
	void wait(size_t n)
	{
		run_loop([&] { return ends.size() >= n; });
		ASSERT_EQ(ends.size(), n);
	}
	enum store_end call(enum store_call_kind kind, revision_t revision = 0)
	{
		size_t n = ends.size() + 1;

		start(kind, revision);
		wait(n);
		return ends.size() == n ? ends.back() : STORE_DONE;
	}
	/** Answers all calls with @body and, unless empty, @era. */
	void answer_in_era(const std::string &era, const std::string &body,
			   const std::string &status = "200 OK")
	{
		server.on_request = [=](RawServer &s, struct bufferevent *bev,
					size_t) {
			s.write(bev, answer_of(era, body, status));
		};
	}
	static std::string answer_of(const std::string &era,
				     const std::string &body,
				     const std::string &status = "200 OK")
	{
		return "HTTP/1.1 " + status + "\r\n" +
		       (era.empty() ? "" : "Store-Era: " + era + "\r\n") +
		       "Content-Length: " + std::to_string(body.size()) +
		       "\r\n\r\n" + body;
	}
};

static const char BUSY[] = "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n";
static const char WRITTEN[] = "HTTP/1.1 200 OK\r\nContent-Length: 14\r\n\r\n"
			      "{\"revision\":7}";

/*
 * A refusal that is written once more on a kept connection must not be taken
 * for the answer to the next call, which takes effect.
 */
TEST_F(RawStore, RepeatedRefusalIsNotTheNextAnswer)
{
	struct bufferevent *refused = nullptr;

	server.on_request = [&](RawServer &s, struct bufferevent *bev, size_t) {
		if (!refused || bev == refused) {
			s.write(bev, BUSY);
			refused = bev;
			return;
		}
		s.write_others(bev, BUSY);
		s.write(bev, WRITTEN);
	};
	EXPECT_EQ(call(CALL_WRITE), STORE_REFUSED);
	EXPECT_EQ(call(CALL_WRITE), STORE_DONE);
}

/* Bytes after a whole answer belong to no call. */
TEST_F(RawStore, SurplusBytesAreNotTheNextAnswer)
{
	server.on_request = [](RawServer &s, struct bufferevent *bev,
			       size_t n) {
		s.write(bev, n == 1 ? std::string(WRITTEN) + BUSY : WRITTEN);
	};
	EXPECT_EQ(call(CALL_WRITE), STORE_DONE);
	EXPECT_EQ(call(CALL_WRITE), STORE_DONE);
}

/* Nor are they the next page of a read. */
TEST_F(RawStore, SurplusBytesAreNotTheNextPage)
{
	const std::string page = "{\"items\":[{\"key\":\"op/"
				 "a\",\"revision\":5}],\"truncated\":true,"
				 "\"asOf\":7}";
	const std::string last = "{\"items\":[],\"asOf\":7}";

	server.on_request = [&](RawServer &s, struct bufferevent *bev, size_t) {
		std::string text;

		for (const std::string &body : {page, last})
			text += "HTTP/1.1 200 OK\r\nContent-Length: " +
				std::to_string(body.size()) + "\r\n\r\n" + body;
		s.write(bev, text);
	};
	EXPECT_EQ(call(CALL_READ_ALL), STORE_NO_ANSWER);
}

/* An answer that ends early is none, whatever the call needs of it. */
TEST_F(RawStore, AnswerCutAnywhereIsNoAnswer)
{
	const std::string whole = WRITTEN;

	server.closes = true;
	for (enum store_call_kind kind : {CALL_WRITE, CALL_LEASE_KEEP})
		for (size_t len = 1; len < whole.size(); len++) {
			server.on_request = [&](RawServer &s,
						struct bufferevent *bev,
						size_t) {
				s.write(bev, whole.substr(0, len));
			};
			EXPECT_EQ(call(kind), STORE_NO_ANSWER)
				<< whole.substr(0, len);
		}
}

/* Only a final status says what became of a call. */
TEST_F(RawStore, InvalidStatusIsNoAnswer)
{
	for (const char *status :
	     {"1", "101", "103", "600", "000", "099", "999", "1000", "20",
	      "2x0", "200x", "0200", "+200", "4294967496", "404x", "0404",
	      "503x", "412x", ""}) {
		server.on_request = [&](RawServer &s, struct bufferevent *bev,
					size_t) {
			s.write(bev, std::string("HTTP/1.1 ") + status +
					     " X\r\nContent-Length: 0\r\n\r\n");
		};
		EXPECT_EQ(call(CALL_LEASE_KEEP), STORE_NO_ANSWER) << status;
	}
}

/* Nor is one without a length that a reset cuts, whatever is missing. */
TEST_F(RawStore, AnswerCutByAResetIsNoAnswer)
{
	const std::string text = "HTTP/1.1 200 OK\r\n\r\n{\"revision\":7}";
	struct bufferevent *answered = nullptr;

	server.on_request = [&](RawServer &s, struct bufferevent *bev, size_t) {
		s.write(bev, text);
		answered = bev;
	};
	for (enum store_call_kind kind : {CALL_WRITE, CALL_LEASE_KEEP})
		for (bool at_once : {true, false}) {
			answered = nullptr;
			start(kind);
			run_loop([&] { return answered != nullptr; });
			uint64_t later_ns =
				clock_now_ns() + (at_once ? 0 : 20 * NS_PER_MS);

			run_loop([&] { return clock_now_ns() >= later_ns; });
			server.reset(answered);
			wait(ends.size() + 1);
			EXPECT_EQ(ends.back(), STORE_NO_ANSWER);
		}
}

/* A head with an invalid field line says nothing of the call. */
TEST_F(RawStore, InvalidFieldLineIsNoAnswer)
{
	for (const std::string &line : invalid_field_lines()) {
		server.on_request = [&](RawServer &s, struct bufferevent *bev,
					size_t) {
			s.write(bev, "HTTP/1.1 200 OK\r\n" + line +
					     "\r\nContent-Length: 14\r\n\r\n"
					     "{\"revision\":7}");
		};
		for (enum store_call_kind kind :
		     {CALL_WRITE, CALL_LEASE_KEEP}) {
			size_t connections = server.connections;

			EXPECT_EQ(call(kind), STORE_NO_ANSWER) << line;
			EXPECT_EQ(server.connections, connections + 1);
		}
	}
}

/* Bytes without end neither fill the memory nor last until the deadline. */
TEST_F(RawStore, AnswerWithoutEndFailsEarlyAndBounded)
{
	static const struct {
		const char *start, *repeated;
	} streams[] = {
		{"HTTP/1.1 200", "x"},
		{"HTTP/1.1 200 OK\r\n", "X-More: x\r\n"},
		{"HTTP/1.1 100 Continue\r\n\r\n",
		 "HTTP/1.1 100 Continue\r\n\r\n"},
		{"HTTP/1.1 200 OK\r\n\r\n", "x"},
		{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "0"},
	};

	for (const auto &s : streams) {
		server.on_request = [&](RawServer &raw, struct bufferevent *bev,
					size_t) { raw.write(bev, s.start); };
		server.repeated = s.repeated;
		server.written = 0;
		EXPECT_EQ(call(CALL_WRITE), STORE_NO_ANSWER)
			<< s.start << s.repeated;
		EXPECT_LT(server.written, 32u << 20) << s.start << s.repeated;
	}
}

/*
 * Guards against reads of a large configuration over a slow link that never
 * succeed: each was given up at its deadline and begun anew.
 */
TEST_F(RawStore, AnswerIsAwaitedWhileItsPartsKeepComing)
{
	patience_ns = 200 * NS_PER_MS;
	server.on_request = [&](RawServer &, struct bufferevent *bev, size_t) {
		write_record_over(bev, 1500, 0);
	};
	EXPECT_EQ(call(CALL_READ_ALL), STORE_DONE);
	EXPECT_EQ(record_count, 1u);
	EXPECT_EQ(server.requests, 1u);
}

/* An answer that stops midway is not awaited for long. */
TEST_F(RawStore, AnswerThatStopsMidwayIsGivenUp)
{
	uint64_t before = clock_now_ns();

	patience_ns = 200 * NS_PER_MS;
	server.on_request = [&](RawServer &, struct bufferevent *bev, size_t) {
		write_record_over(bev, 300, 20);
	};
	EXPECT_EQ(call(CALL_READ_ALL), STORE_NO_ANSWER);
	EXPECT_EQ(record_count, 0u);
	EXPECT_LT(clock_now_ns() - before, 3 * NS_PER_S);
}

/* The answer to a renewal that takes too long is of no use for the lease. */
TEST_F(RawStore, OnlyAnswersWithRecordsAreAwaitedPastTheDeadline)
{
	uint64_t before = clock_now_ns();

	patience_ns = 200 * NS_PER_MS;
	server.on_request = [&](RawServer &, struct bufferevent *bev, size_t) {
		write_record_over(bev, 3000, 0);
	};
	EXPECT_EQ(call(CALL_LEASE_KEEP), STORE_NO_ANSWER);
	EXPECT_LT(clock_now_ns() - before, NS_PER_S);
}

static const std::string ONE_ITEM =
	"{\"items\":[{\"key\":\"op/evacuate/z1\",\"value\":\"e30=\","
	"\"revision\":7}],\"asOf\":9}";
static const std::string ONE_EVENT =
	"{\"events\":[{\"key\":\"op/evacuate/z1\",\"value\":\"e30=\","
	"\"revision\":7}],\"asOf\":9}";

/*
 * A store that has come back from an older copy gives revisions out again: each
 * one is taken together with the era of its answer.
 */
TEST_F(RawStore, RevisionsCarryTheEraOfTheAnswer)
{
	answer_in_era("3", ONE_ITEM);
	EXPECT_EQ(call(CALL_READ_ALL), STORE_DONE);
	EXPECT_EQ(revisions.back(), revision_make(3, 9));
	ASSERT_EQ(record_revisions.size(), 1u);
	EXPECT_EQ(record_revisions.back(), revision_make(3, 7));
	answer_in_era("3", ONE_EVENT);
	EXPECT_EQ(call(CALL_WATCH_ALL, revision_make(3, 6)), STORE_DONE);
	EXPECT_EQ(revisions.back(), revision_make(3, 9));
	EXPECT_EQ(record_revisions.back(), revision_make(3, 7));
	answer_in_era("4", "{\"revision\":5}");
	EXPECT_EQ(call(CALL_WRITE), STORE_DONE);
	EXPECT_EQ(revisions.back(), revision_make(4, 5));
}

TEST_F(RawStore, EveryAnswerStatesItsEra)
{
	for (const char *status :
	     {"200 OK", "404 No Lease", "410 Gone", "412 Changed", "429 Busy",
	      "503 Busy", "403 Forbidden"}) {
		answer_in_era("6", "{}", status);
		call(CALL_LEASE_KEEP);
		EXPECT_EQ(eras.back(), 6u) << status;
	}
}

TEST_F(RawStore, AnAnswerWithoutAnEraIsOfEraZero)
{
	for (const char *era : {"", "x", "-1", "1x", "1.5"}) {
		answer_in_era(era, ONE_ITEM);
		EXPECT_EQ(call(CALL_READ_ALL), STORE_DONE) << era;
		EXPECT_EQ(eras.back(), 0u) << era;
		EXPECT_EQ(revisions.back(), 9u) << era;
	}
}

/* A number that a revision can't hold must not wrap to a lower one. */
TEST_F(RawStore, NumbersOutOfRangeAreNoAnswer)
{
	for (const char *era : {"65536", "99999999999999999999999"}) {
		answer_in_era(era, ONE_ITEM);
		EXPECT_EQ(call(CALL_READ_ALL), STORE_NO_ANSWER) << era;
	}
	for (const char *n :
	     {"-1", "0", "281474976710656", "9223372036854775807", "1e99",
	      "\"7\"", "null", "99999999999999999999"}) {
		const std::string value = n;

		answer_in_era("1", "{\"revision\":" + value + "}");
		EXPECT_EQ(call(CALL_WRITE), STORE_NO_ANSWER) << n;
		answer_in_era("1", "{\"items\":[],\"asOf\":" + value + "}");
		EXPECT_EQ(call(CALL_READ_ALL), STORE_NO_ANSWER) << n;
		answer_in_era("1", "{\"events\":[{\"key\":\"op/evacuate/z\","
				   "\"revision\":" +
					   value + "}],\"asOf\":9}");
		EXPECT_EQ(call(CALL_WATCH_ALL, revision_make(1, 1)),
			  STORE_NO_ANSWER)
			<< n;
	}
	EXPECT_EQ(record_count, 0u);
}

/*
 * Guards against a write whose condition holds by chance, as the revision was
 * given out again, and against a watch that skips what the new era has up to
 * the revision of the old one.
 */
TEST_F(RawStore, ACallWithARevisionOfAnEarlierEraIsNotSent)
{
	answer_in_era("2", ONE_ITEM);
	EXPECT_EQ(call(CALL_READ_ALL), STORE_DONE);
	answer_in_era("2", "{\"revision\":12}");
	size_t requests = server.requests;

	EXPECT_EQ(call(CALL_WRITE, revision_make(1, 7)), STORE_CONFLICT);
	EXPECT_EQ(eras.back(), 2u);
	EXPECT_EQ(call(CALL_WATCH_ALL, revision_make(1, 7)), STORE_NO_HISTORY);
	EXPECT_EQ(server.requests, requests);
	EXPECT_EQ(call(CALL_WRITE, revision_make(2, 7)), STORE_DONE);
	EXPECT_EQ(call(CALL_WRITE, 0), STORE_DONE) << "the key is absent";
	EXPECT_EQ(server.requests, requests + 2);
}

/* The store went back after the watch was sent: it lacks earlier changes. */
TEST_F(RawStore, AWatchAnsweredInALaterEraHasNoHistory)
{
	answer_in_era("2", ONE_EVENT);
	EXPECT_EQ(call(CALL_WATCH_ALL, revision_make(1, 6)), STORE_NO_HISTORY);
	EXPECT_EQ(record_count, 0u);
}

/* The first page may show what the store has forgotten by the second. */
TEST_F(RawStore, PagesOfTwoErasAreNoAnswer)
{
	server.on_request = [&](RawServer &s, struct bufferevent *bev,
				size_t n) {
		s.write(bev, answer_of(std::to_string(n),
				       n == 1 ? "{\"items\":[{\"key\":\"op/"
						"evacuate/z1\",\"revision\":"
						"5}],\"truncated\":true,"
						"\"asOf\":7}"
					      : ONE_ITEM));
	};
	EXPECT_EQ(call(CALL_READ_ALL), STORE_NO_ANSWER);
	EXPECT_EQ(server.requests, 2u);
}

TEST_F(RawStore, OnlyTheNumberOfARevisionIsSent)
{
	std::string seen;

	server.on_request = [&](RawServer &s, struct bufferevent *bev, size_t) {
		seen = s.last_request;
		s.write(bev, answer_of("5", "{\"revision\":12}"));
	};
	EXPECT_EQ(call(CALL_WRITE, revision_make(5, 77)), STORE_DONE);
	EXPECT_NE(seen.find("\"revision\":77}"), std::string::npos) << seen;
	server.on_request = [&](RawServer &s, struct bufferevent *bev, size_t) {
		seen = s.last_request;
		s.write(bev, answer_of("5", ONE_EVENT));
	};
	EXPECT_EQ(call(CALL_WATCH_ALL, revision_make(5, 77)), STORE_DONE);
	EXPECT_NE(seen.find("after=77&"), std::string::npos) << seen;
}
