/* A node on its own event loop, called at its control address. */
#include "jd_test.hpp"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>

#include "free_port.hpp"
#include "invalid_heads.hpp"
#include "raw_server.hpp"

extern "C" {
#include "core/mem.h"
#include "core/name.h"
#include "fakes/kv_server.h"
#include "io/addr.h"
#include "io/clock.h"
#include "platform/names.h"
#include "platform/platform_node.h"
}

static const int ANSWER_WAIT_MAX_S = 20;

// Settings of a node with addresses of its own.
static struct platform_settings node_settings(const char *name,
					      const char *service)
{
	struct platform_settings s = {};

	mem_copy_str(s.node, name, sizeof(s.node));
	name_copy(s.service, service, sizeof(s.service));
	if (strcmp(s.service, service) != 0)
		s.long_service = mem_dup_str(service);
	mem_copy_str(s.dc, "dc1", sizeof(s.dc));
	mem_copy_str(s.region, "r1", sizeof(s.region));
	for (char *addr : {s.caller_addr, s.readiness_addr, s.control_addr,
			   s.peer_bind, s.store_addr, s.upstream_addr})
		mem_copy_str(addr, free_addr().c_str(), JD_ADDR_MAX);
	mem_copy_str(s.peer_addr, s.peer_bind, sizeof(s.peer_addr));
	s.announce_interval_s = 1;
	s.min_lease_ttl_s = 5;
	s.stop_max_s = 6;
	s.hold_max_s = 10;
	s.retry_window_s = 10;
	return s;
}

class PlatformNode : public ::testing::Test
{
protected:
	void SetUp() override
	{
		struct status st;

		signal(SIGPIPE, SIG_IGN);
		base = event_base_new();
		settings = node_settings("n1", service.c_str());
		node = platform_node_new(base, &settings, &st);
		ASSERT_NE(node, nullptr) << st.msg;
	}
	void TearDown() override
	{
		if (node)
			platform_node_delete(node);
		event_base_free(base);
		platform_settings_done(&settings);
	}

	void run_ms(int ms)
	{
		struct timeval tv = {0, ms * 1000};

		event_base_loopexit(base, &tv);
		event_base_dispatch(base);
	}

	// What is logged while the loop runs for @ms.
	std::string run_logged(int ms)
	{
		testing::internal::CaptureStderr();
		run_ms(ms);
		return testing::internal::GetCapturedStderr();
	}

	// The status code of the answer to an announcement; 0 for none.
	int announce(const std::string &query, const std::string &body)
	{
		struct Call {
			struct event_base *base;
			std::string answer;
		} call = {base, ""};
		struct timeval limit = {ANSWER_WAIT_MAX_S, 0};
		struct sockaddr_in sin;
		struct bufferevent *bev =
			bufferevent_socket_new(base, -1, BEV_OPT_CLOSE_ON_FREE);

		bufferevent_setcb(
			bev,
			[](struct bufferevent *b, void *arg) {
				Call *c = (Call *)arg;
				char buf[512];
				size_t n =
					bufferevent_read(b, buf, sizeof(buf));

				c->answer.append(buf, n);
				event_base_loopbreak(c->base);
			},
			nullptr,
			[](struct bufferevent *, short what, void *arg) {
				if (!(what & BEV_EVENT_CONNECTED))
					event_base_loopbreak(
						((Call *)arg)->base);
			},
			&call);
		EXPECT_TRUE(addr_to_sockaddr(settings.control_addr, &sin));
		EXPECT_EQ(bufferevent_socket_connect(
				  bev, (struct sockaddr *)&sin, sizeof(sin)),
			  0);
		bufferevent_enable(bev, EV_READ | EV_WRITE);
		evbuffer_add_printf(bufferevent_get_output(bev),
				    "POST /x?%s HTTP/1.1\r\nHost: h\r\n"
				    "Content-Length: %zu\r\n\r\n",
				    query.c_str(), body.size());
		bufferevent_write(bev, body.data(), body.size());
		event_base_loopexit(base, &limit);
		event_base_dispatch(base);
		bufferevent_free(bev);
		return call.answer.size() > 12 ? atoi(call.answer.c_str() + 9)
					       : 0;
	}

	int heartbeat(const std::string &body)
	{
		return announce("call=" RPC_HEARTBEAT "&of=" + instance, body);
	}

	std::string body(const std::string &extra = "", unsigned sequence = 1)
	{
		return std::string("{\"address\":\"") + settings.upstream_addr +
		       "\",\"born\":1700,\"info\":{\"service\":\"" + service +
		       "\",\"slots\":4},\"status\":{\"state\":\"ready\","
		       "\"sequence\":" +
		       std::to_string(sequence) + "}" + extra + "}";
	}

	struct event_base *base = nullptr;
	struct platform_node *node = nullptr;
	struct platform_settings settings = {};
	std::string service = "svc";  // of the upstream
	std::string instance = "i-1"; // its lifetime
};

// Odd announcements of another writer once cost the memory that they asked for
// or passed as the upstream's own.
TEST_F(PlatformNode, OddAnnouncementsAreRefusedAndTheOthersHold)
{
	std::string rows = ",\"holds\":[";

	for (int i = 0; i < 100000; i++)
		rows += i ? ",[]" : "[]";
	rows += "]";
	EXPECT_EQ(heartbeat(body()), 200);
	EXPECT_EQ(heartbeat(std::string(8 << 20, '[')), 413);
	EXPECT_EQ(
		heartbeat(body(",\"x\":\"" + std::string(8 << 20, 'x') + "\"")),
		413);
	EXPECT_EQ(heartbeat(body(rows)), 413);
	EXPECT_EQ(heartbeat(std::string(100000, '[')), 400);
	EXPECT_EQ(heartbeat(""), 400);
	EXPECT_EQ(heartbeat("\xff\xfe"), 400);
	EXPECT_EQ(heartbeat(body(",\"released\":[[0,9,7]]")), 400);
	EXPECT_EQ(announce("call=" RPC_HEARTBEAT "&of=i%0d%0aHost:x", body()),
		  400);
	EXPECT_EQ(announce("call=" RPC_DEREGISTER "&of=", ""), 400);
	EXPECT_EQ(announce("call=" RPC_DEREGISTER "&of=" +
				   std::string(64, 'i') + "%0a",
			   ""),
		  400);
	EXPECT_EQ(announce("call=" RPC_DEREGISTER "&of=" + std::string(64, 'i'),
			   ""),
		  200);
	EXPECT_EQ(announce("call=other&of=i-1", body()), 400);
	EXPECT_EQ(announce("", body()), 400);
	EXPECT_EQ(heartbeat(body("", 2)), 200);
}

// Out of memory: evhttp keeps the head of a chunk, its extensions included,
// until it ends, and it does not count it.
TEST_F(PlatformNode, BytesWithoutEndAtTheControlAddressAreNotKept)
{
	const size_t bytes_max = 8 << 20;
	std::string head = "POST /x?call=" RPC_HEARTBEAT "&of=i-1 HTTP/1.1\r\n"
			   "Host: h\r\nTransfer-Encoding: chunked\r\n\r\n";

	for (std::string start : {"", "1;x=", "1\r\nx\r\n0\r\nT: "}) {
		std::string piece(64 << 10, '0');
		struct sockaddr_in sin;
		int fd = socket(AF_INET, SOCK_STREAM, 0);
		size_t sent = 0;

		SCOPED_TRACE(start);
		ASSERT_TRUE(addr_to_sockaddr(settings.control_addr, &sin));
		ASSERT_EQ(connect(fd, (struct sockaddr *)&sin, sizeof(sin)), 0);
		head += start;
		ASSERT_EQ(send(fd, head.data(), head.size(), MSG_NOSIGNAL),
			  (ssize_t)head.size());
		for (int idle = 0; sent < 4 * bytes_max && idle < 200;) {
			ssize_t n = send(fd, piece.data(), piece.size(),
					 MSG_DONTWAIT | MSG_NOSIGNAL);

			sent += n > 0 ? (size_t)n : 0;
			idle = n > 0 ? 0 : idle + 1;
			event_base_loop(base, EVLOOP_ONCE | EVLOOP_NONBLOCK);
		}
		close(fd);
		EXPECT_LT(sent, bytes_max);
		head.resize(head.size() - start.size());
	}
	EXPECT_EQ(heartbeat(body()), 200);
}

// The probe only connects: what an upstream answers to it says nothing.
TEST_F(PlatformNode, ABrokenAnswerToAProbeIsNotRead)
{
	struct sockaddr_in sin;
	struct linger no_linger = {1, 0};
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
	uint64_t end_ns = clock_now_ns() + 30 * NS_PER_S;
	int reuse = 1;
	int probes = 0;
	std::string log;

	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &reuse, sizeof(reuse));
	ASSERT_TRUE(addr_to_sockaddr(settings.upstream_addr, &sin));
	ASSERT_EQ(bind(fd, (struct sockaddr *)&sin, sizeof(sin)), 0);
	ASSERT_EQ(listen(fd, 8), 0);
	EXPECT_EQ(heartbeat(body()), 200);
	while (probes < 3 && clock_now_ns() < end_ns) {
		static const char text[] =
			"HTTP/1.1 000 X\r\nBad Name: x\r\n\r\n";
		int probe = accept(fd, nullptr, nullptr);

		log += run_logged(5);
		if (probe < 0)
			continue;
		(void)!send(probe, text, strlen(text), MSG_NOSIGNAL);
		setsockopt(probe, SOL_SOCKET, SO_LINGER, &no_linger,
			   sizeof(no_linger));
		close(probe);
		probes++;
	}
	log += run_logged(50);
	EXPECT_EQ(probes, 3);
	EXPECT_EQ(log.find("event=upstream_gone"), log.npos) << log;
	/* A refused connection is the sign that it looks for. */
	close(fd);
	while (log.find("event=upstream_gone") == log.npos &&
	       clock_now_ns() < end_ns)
		log += run_logged(50);
	EXPECT_NE(log.find("event=upstream_gone"), log.npos);
}

static const char CONFIG[] =
	"{\"version\":\"00000001\",\"routes\":[{\"name\":\"up\","
	"\"host\":\"a.example\",\"pathPrefix\":\"/up/\","
	"\"type\":\"non_idempotent\",\"timeoutS\":20,"
	"\"targetLatencyS\":1,\"priority\":1,\"service\":\"SVC\","
	"\"maxAttempts\":2,\"allowedRegions\":[]}],"
	"\"services\":[{\"name\":\"SVC\"},{\"name\":\"OTHER\"}],"
	"\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":67108864,"
	"\"headerTimeoutS\":10,\"idleTimeoutS\":15}}";

static const size_t UPLOAD_SHORT = 9;
static const size_t UPLOAD_LONG = 2 << 20; // more than sockets buffer
static const int RECEIVE_BUFFER = 4096;
static const int ANSWER_READ_MS = 10; // after this, a node has read an answer
static const char CONNECTION_LOST[] = "reason=connection_lost\n";

// What the upstream does once its answer was received.
enum AnswerEnd {
	END_OPEN,
	END_BY_FIN,
	END_BY_RESET,
};

struct UpstreamAnswer {
	std::string text; // after the status line and the request's id
	enum AnswerEnd end;
	const char *status_line = "HTTP/1.1 200 OK";
};

static const UpstreamAnswer SOUND = {"Content-Length: 5\r\n\r\nsound",
				     END_OPEN};

// Two nodes on one event loop. The upstream of the first is the test's own; the
// second forwards to the first.
class TwoNodes : public PlatformNode
{
protected:
	void SetUp() override
	{
		struct kv_server_opts store_opts = {};
		struct status st;

		base = event_base_new();
		upstream = new RawServer(base);
		upstream->limit_receive_buffer(RECEIVE_BUFFER);
		settings = node_settings("n1", service.c_str());
		mem_copy_str(settings.upstream_addr, upstream->addr.c_str(),
			     JD_ADDR_MAX);
		store_opts.base = base;
		store_opts.addr = settings.store_addr;
		store = kv_server_new(&store_opts);
		kv_server_put(store, KEY_CONFIG, config().c_str());
		other = node_settings("n2", other_service.c_str());
		mem_copy_str(other.store_addr, settings.store_addr,
			     JD_ADDR_MAX);
		node = platform_node_new(base, &settings, &st);
		second = platform_node_new(base, &other, &st);
		ASSERT_TRUE(node && second) << st.msg;
		own_addr = settings.caller_addr;
		other_addr = other.caller_addr;
		upstream->on_request = [this](RawServer &,
					      struct bufferevent *bev,
					      size_t) { on_upload(bev); };
		answer = SOUND;
		wait_until_registered("n1");
		wait_until_registered("n2");
		/* A large forward fails until its own connection is open. */
		for (size_t bytes : {UPLOAD_SHORT, UPLOAD_LONG})
			for (const std::string &addr : {own_addr, other_addr})
				wait_until_served(addr, bytes);
	}
	void TearDown() override
	{
		platform_node_delete(second);
		end_node();
		kv_server_delete(store);
		delete upstream;
		platform_settings_done(&other);
		PlatformNode::TearDown();
	}

	// The answer to a POST of @bytes, sent at once or @slowly, to the node
	// at @addr.
	std::string upload(const std::string &addr, size_t bytes, bool slowly)
	{
		const std::string piece(slowly ? 64 << 10 : bytes, 'x');
		uint64_t end_ns = clock_now_ns() + 20 * NS_PER_S;
		std::string id = "id-" + std::to_string(++requests);
		std::string out = "POST /up/x HTTP/1.1\r\nHost: a.example\r\n"
				  "" HEADER_REQUEST_ID ": " +
				  id +
				  "\r\n" HEADER_DEADLINE
				  ": 15000\r\nContent-Length: " +
				  std::to_string(bytes) + "\r\n\r\n";
		std::string in;
		struct sockaddr_in sin;
		int fd = socket(AF_INET, SOCK_STREAM, 0);

		EXPECT_EQ(heartbeat(body("", ++sequence)), 200);
		EXPECT_TRUE(addr_to_sockaddr(addr.c_str(), &sin));
		EXPECT_EQ(connect(fd, (struct sockaddr *)&sin, sizeof(sin)), 0);
		while (!is_whole(in) && clock_now_ns() < end_ns) {
			char buf[4096];
			ssize_t n;

			if (out.empty() && bytes) {
				out = piece.substr(0, bytes);
				bytes -= out.size();
			}
			n = send(fd, out.data(), out.size(),
				 MSG_DONTWAIT | MSG_NOSIGNAL);
			out.erase(0, n > 0 ? (size_t)n : 0);
			n = recv(fd, buf, sizeof(buf), MSG_DONTWAIT);
			if (n == 0 || (n < 0 && errno != EAGAIN))
				break;
			in.append(buf, n > 0 ? (size_t)n : 0);
			run_ms(1);
		}
		close(fd);
		return in;
	}

	// Expects an answer of @code to an upload by each path and each way, on
	// a kept connection, and another connection for the next upload.
	void expect_answer(const UpstreamAnswer &a, int code,
			   const std::string &answer_body)
	{
		for (const std::string &addr : {own_addr, other_addr})
			for (size_t bytes : {UPLOAD_SHORT, UPLOAD_LONG})
				for (bool slowly : {false, true}) {
					SCOPED_TRACE(testing::Message()
						     << a.status_line << " "
						     << a.text << " end "
						     << a.end << " own "
						     << (addr == own_addr)
						     << " bytes " << bytes
						     << " slowly " << slowly);
					expect_one(addr, a, bytes, slowly, code,
						   answer_body);
				}
	}

	// As the end of its process does, closes the connections that are left.
	void end_node()
	{
		if (node)
			platform_node_delete(node);
		node = nullptr;
	}

	// Runs the loop for @ms; true if the node has ended it.
	bool run_until_exit(int ms)
	{
		bool timed_out = false;
		struct timeval tv = {0, ms * 1000};
		struct event *timer = event_new(
			base, -1, 0,
			[](evutil_socket_t, short, void *arg) {
				*(bool *)arg = true;
			},
			&timed_out);

		event_add(timer, &tv);
		do
			event_base_loop(base, EVLOOP_ONCE);
		while (!timed_out && !event_base_got_exit(base));
		event_free(timer);
		return !timed_out;
	}

	void expect_lost(const UpstreamAnswer &a)
	{
		expect_answer(a, 502, CONNECTION_LOST);
	}

	// The same for a short upload to the upstream's own node only.
	void expect_short_lost(const UpstreamAnswer &a)
	{
		SCOPED_TRACE(a.text);
		expect_one(own_addr, a, UPLOAD_SHORT, false, 502,
			   CONNECTION_LOST);
	}

	static int status_of(const std::string &in)
	{
		return in.size() > 12 ? atoi(in.c_str() + 9) : 0;
	}

	static bool is_whole(const std::string &in)
	{
		size_t head = in.find("\r\n\r\n");
		size_t at = in.find("Content-Length: ");

		return head != in.npos && at < head &&
		       in.size() >=
			       head + 4 + (size_t)atoi(in.c_str() + at + 16);
	}

	std::string own_addr;	// of the node beside the upstream
	std::string other_addr; // of the other one
	UpstreamAnswer answer;
	std::string other_service = "other"; // of the second node's upstream
	RawServer *upstream = nullptr;

private:
	std::string config() const
	{
		std::string text = CONFIG;

		for (size_t at; (at = text.find("SVC")) != text.npos;)
			text.replace(at, 3, service);
		return text.replace(text.find("OTHER"), 5, other_service);
	}
	// Nodes report their load only to those that are in the store.
	void wait_until_registered(const std::string &name)
	{
		std::string key = KEY_PREFIX_CARD + name;
		uint64_t end_ns = clock_now_ns() + 20 * NS_PER_S;

		while (!kv_server_has(store, key.c_str()) &&
		       clock_now_ns() < end_ns) {
			EXPECT_EQ(heartbeat(body("", ++sequence)), 200);
			run_ms(50);
		}
		ASSERT_TRUE(kv_server_has(store, key.c_str())) << name;
	}
	void wait_until_served(const std::string &addr, size_t bytes)
	{
		uint64_t end_ns = clock_now_ns() + 20 * NS_PER_S;
		int code = 0;

		while (code != 200 && clock_now_ns() < end_ns) {
			code = status_of(upload(addr, bytes, false));
			run_ms(50);
		}
		ASSERT_EQ(code, 200);
	}
	void expect_one(const std::string &addr, const UpstreamAnswer &a,
			size_t bytes, bool slowly, int code,
			const std::string &answer_body)
	{
		answer = SOUND;
		EXPECT_EQ(status_of(upload(addr, UPLOAD_SHORT, false)), 200);
		size_t kept = upstream->connections;

		answer = a;
		std::string got = upload(addr, bytes, slowly);

		EXPECT_EQ(status_of(got), code);
		EXPECT_EQ(got.substr(got.find("\r\n\r\n") + 4), answer_body);
		EXPECT_EQ(upstream->connections, kept);
		/* Until the upstream has ended the connection, too. */
		run_ms(2 * ANSWER_READ_MS);
		answer = SOUND;
		EXPECT_EQ(status_of(upload(addr, UPLOAD_SHORT, false)), 200);
		EXPECT_EQ(upstream->connections, kept + 1);
	}
	// Answers at the first bytes of an upload and reads no more of it.
	void on_upload(struct bufferevent *bev)
	{
		const std::string &got = upstream->last_request;
		size_t at = got.find(HEADER_REQUEST_ID);
		struct timeval later = {0, ANSWER_READ_MS * 1000};

		if (at == got.npos)
			return;
		RawServer::write(
			bev,
			std::string(answer.status_line) + "\r\n" +
				got.substr(at, got.find("\r\n", at) + 2 - at) +
				HEADER_SIGNATURE ": s\r\n" + answer.text);
		if (answer.end == END_OPEN)
			return;
		ending = bev;
		bufferevent_disable(bev, EV_READ);
		event_base_once(base, -1, EV_TIMEOUT, on_answer_received, this,
				&later);
	}
	static void on_answer_received(evutil_socket_t, short, void *arg)
	{
		TwoNodes *t = (TwoNodes *)arg;

		if (t->answer.end == END_BY_RESET) {
			t->upstream->reset(t->ending);
			return;
		}
		shutdown(bufferevent_getfd(t->ending), SHUT_WR);
		bufferevent_enable(t->ending, EV_READ);
	}

	struct kv_server *store = nullptr;
	struct platform_settings other = {};
	struct platform_node *second = nullptr;
	struct bufferevent *ending = nullptr; // the connection that ends next
	unsigned requests = 0;
	unsigned sequence = 0;
};

class LongNames : public TwoNodes
{
protected:
	LongNames()
	{
		service = std::string(300, 's');
		other_service = service + "2";
		instance = std::string(253, 'i');
	}
};

// Requests for a service whose name had 32 bytes or more were refused. One that
// differs late is another service, and upstreams get callers' services in full.
// So was an upstream whose instance had 64 bytes or more.
TEST_F(LongNames, AServiceIsServedUnderItsWholeName)
{
	const std::pair<std::string, std::string> callers[] = {
		{own_addr, service}, {other_addr, other_service}};

	for (const auto &[addr, caller] : callers) {
		EXPECT_EQ(status_of(upload(addr, UPLOAD_SHORT, false)), 200);
		EXPECT_NE(upstream->last_request.find(HEADER_CALLER ": " +
						      caller + "\r\n"),
			  std::string::npos)
			<< upstream->last_request;
		EXPECT_NE(upstream->last_request.find(HEADER_INSTANCE ": " +
						      instance + "\r\n"),
			  std::string::npos)
			<< upstream->last_request;
	}
}

// Clients got the part of an answer that had arrived before the reset of its
// connection as a whole one.
TEST_F(TwoNodes, AnAnswerCutByAResetIsNotPassedOn)
{
	for (const char *text :
	     {"\r\nall o", "Content-Length: 9\r\n\r\nall o",
	      "Transfer-Encoding: chunked\r\n\r\n9\r\nall o"})
		expect_lost({text, END_BY_RESET});
}

TEST_F(TwoNodes, AnAnswerWithoutLengthEndsWithItsConnection)
{
	expect_answer({"\r\nall of it", END_BY_FIN}, 200, "all of it");
}

// It counts though the rest of the upload is not read.
TEST_F(TwoNodes, AWholeAnswerBeforeTheEndOfItsConnectionIsPassedOn)
{
	for (const char *text : {"Content-Length: 9\r\n\r\nall of it",
				 "Transfer-Encoding: chunked\r\n\r\n"
				 "9\r\nall of it\r\n0\r\n\r\n"})
		for (enum AnswerEnd end : {END_BY_FIN, END_BY_RESET})
			expect_answer({text, end}, 200, "all of it");
}

// Not an answer, however its body would end.
TEST_F(TwoNodes, AnAnswerOfStatusZeroIsNotPassedOn)
{
	for (const char *text :
	     {"\r\nall of it", "Content-Length: 9\r\n\r\nall of it",
	      "Transfer-Encoding: chunked\r\n\r\n"
	      "9\r\nall of it\r\n0\r\n\r\n"})
		for (enum AnswerEnd end : {END_OPEN, END_BY_FIN, END_BY_RESET})
			expect_lost({text, end, "HTTP/1.1 000 None"});
}

// Clients got the answer with that line, or with a body of another length.
TEST_F(TwoNodes, AnAnswerWithAnInvalidFieldLineIsNotPassedOn)
{
	for (const char *line : {"Bad Name: x", "Content-Length : 3"}) {
		for (const char *text :
		     {"\r\nall of it", "Content-Length: 9\r\n\r\nall of it",
		      "Transfer-Encoding: chunked\r\n\r\n"
		      "9\r\nall of it\r\n0\r\n\r\n"})
			for (enum AnswerEnd end :
			     {END_OPEN, END_BY_FIN, END_BY_RESET})
				expect_lost(
					{line + ("\r\n" + std::string(text)),
					 end});
	}
	for (const std::string &line : invalid_field_lines())
		expect_short_lost({line + "\r\nContent-Length: 5\r\n\r\nwrong",
				   END_OPEN});
}

// Answers that a slow caller had not received when the process ended were lost
// with its next request.
TEST_F(TwoNodes, AStopWaitsForCallersThatReadSlowly)
{
	const size_t bytes = 1800000, read_per_ms = 400;
	const int receive_buffer = 256 << 10;
	const std::string request =
		"POST /up/x HTTP/1.1\r\nHost: a.example\r\n" HEADER_REQUEST_ID
		": id\r\nContent-Length: 0\r\n\r\n";
	std::string part, in;
	uint64_t start_ns, end_ns = clock_now_ns() + 20 * NS_PER_S;
	char first;
	struct sockaddr_in sin;
	int fd = socket(AF_INET, SOCK_STREAM, 0);
	ssize_t n;

	answer = {"Content-Length: " + std::to_string(bytes) + "\r\n\r\n" +
			  std::string(bytes, 'x'),
		  END_OPEN};
	setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receive_buffer,
		   sizeof(receive_buffer));
	ASSERT_TRUE(addr_to_sockaddr(own_addr.c_str(), &sin));
	ASSERT_EQ(connect(fd, (struct sockaddr *)&sin, sizeof(sin)), 0);
	EXPECT_EQ(send(fd, request.data(), request.size(), 0),
		  (ssize_t)request.size());
	while (recv(fd, &first, 1, MSG_PEEK | MSG_DONTWAIT) < 0 &&
	       clock_now_ns() < end_ns)
		run_ms(1);
	start_ns = clock_now_ns();
	platform_node_stop(node);
	while (!is_whole(in) && clock_now_ns() < end_ns) {
		if (run_until_exit(20))
			end_node();
		if (!node)
			(void)!send(fd, request.data(), request.size(),
				    MSG_DONTWAIT | MSG_NOSIGNAL);
		part.resize((clock_now_ns() - start_ns) / NS_PER_MS *
				    read_per_ms -
			    in.size() + 1);
		n = recv(fd, &part[0], part.size(), MSG_DONTWAIT);
		if (n == 0 || (n < 0 && errno != EAGAIN))
			break;
		in.append(part, 0, n > 0 ? (size_t)n : 0);
	}
	EXPECT_TRUE(is_whole(in)) << in.size();
	close(fd);
}
