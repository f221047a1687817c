#include "jd_test.hpp"

#include <zmq.h>

#include <functional>
#include <memory>
#include <vector>

#include "free_port.hpp"

extern "C" {
#include "core/mem.h"
#include "io/clock.h"
#include "io/peers.h"
}

// A condition that does not hold by then fails the test.
static const uint64_t WAIT_MAX_NS = 20 * NS_PER_S;
static const incarnation_t SENDER = 3;

static void append_message(void *arg, struct message *m)
{
	((std::vector<struct message *> *)arg)->push_back(m);
}

// A node with its address and the messages that it received.
struct test_node {
	test_node(struct event_base *base, const struct peer_keys *keys,
		  const std::string &at = free_addr())
	    : addr(at)
	{
		struct peers_opts o = {};
		struct status st;

		o.base = base;
		o.addr = addr.c_str();
		if (keys)
			o.keys = *keys;
		o.fn = append_message;
		o.arg = &received;
		p = peers_new(&o, &st);
		EXPECT_NE(p, nullptr) << st.msg;
	}
	~test_node()
	{
		peers_delete(p);
		for (struct message *m : received)
			message_delete(m);
	}

	std::string addr;
	struct peers *p;
	std::vector<struct message *> received;
};

class Peers : public ::testing::Test
{
protected:
	void SetUp() override
	{
		base = event_base_new();
	}
	void TearDown() override
	{
		event_base_free(base);
	}

	// Runs the loop until @done holds.
	void run_until(const std::function<bool()> &done)
	{
		uint64_t end_ns = clock_now_ns() + WAIT_MAX_NS;

		while (!done()) {
			struct timeval tv = {0, 5000};

			ASSERT_LT(clock_now_ns(), end_ns);
			event_base_loopexit(base, &tv);
			event_base_dispatch(base);
		}
	}

	static bool send_cancel(test_node *from, test_node *to)
	{
		struct message *m = message_new(MSG_CANCEL);
		m->from = SENDER;
		bool ok = peers_send(from->p, to->addr.c_str(), m,
				     {.compress = true});

		message_delete(m);
		return ok;
	}

	static bool send_forward(test_node *from, test_node *to,
				 size_t body = 0)
	{
		return send_forward(from, to->addr, body);
	}

	static bool send_forward(test_node *from, const std::string &to,
				 size_t body = 0)
	{
		struct message *m = message_new(MSG_FORWARD);
		std::string bytes(body, 'b');

		m->from = SENDER;
		m->u.forward.request = http_request_new("POST", "/");
		payload_set_body(&m->u.forward.request->payload, bytes.data(),
				 body);
		bool ok =
			peers_send(from->p, to.c_str(), m, {.compress = true});

		message_delete(m);
		return ok;
	}

	struct event_base *base;
};

TEST_F(Peers, MessageIsKeptUntilConnected)
{
	test_node a(base, NULL), b(base, NULL);

	EXPECT_TRUE(send_cancel(&a, &b));
	run_until([&] { return b.received.size() == 1; });
	EXPECT_EQ(b.received[0]->kind, MSG_CANCEL);
	EXPECT_EQ(b.received[0]->from, SENDER);
	EXPECT_EQ(peers_get_stats(a.p)->open, 1u);
}

TEST_F(Peers, ForwardWithoutConnectionIsNotSent)
{
	test_node a(base, NULL);
	std::string addr = free_addr();

	/* Nothing listens there yet. */
	EXPECT_FALSE(send_forward(&a, addr));
	EXPECT_EQ(peers_get_stats(a.p)->dropped, 1u);
	test_node b(base, NULL, addr);
	run_until([&] { return send_forward(&a, &b); });
	run_until([&] { return b.received.size() == 1; });
	EXPECT_EQ(peers_get_stats(a.p)->sent, 1u);
}

TEST_F(Peers, ForwardToLostNodeIsNotSent)
{
	test_node a(base, NULL);
	auto b = std::make_unique<test_node>(base, nullptr);

	send_cancel(&a, b.get());
	run_until([&] { return b->received.size() == 1; });
	std::string addr = b->addr;
	b.reset();
	run_until([&] {
		struct message *m = message_new(MSG_FORWARD);

		m->u.forward.request = http_request_new("GET", "/");
		bool sent =
			peers_send(a.p, addr.c_str(), m, {.compress = true});
		message_delete(m);
		return !sent;
	});
}

// A node whose card another writer has written may state any address. Names
// would be looked up on ZeroMQ's thread, which serves all nodes.
TEST_F(Peers, AnAddressThatCantBeConnectedToIsNotTried)
{
	const std::string addrs[] = {
		"",
		"10.0.0.1",
		"10.0.0.1:",
		"10.0.0.1:0",
		":7100",
		"10.0.0.1:-1",
		"10.0.0.1:99999",
		"10.0.0.1:7100x",
		"*:7100",
		"node-2:7100",
		"10.0.0.256:7100",
		"\xff:7100",
		"[::1]:1",
		"10.0.0.1:7100;10.0.0.2:7100",
		std::string(JD_ADDR_MAX - 1, ':'),
	};
	test_node a(base, NULL), b(base, NULL);
	struct message *m = message_new(MSG_CANCEL);

	for (const std::string &addr : addrs)
		EXPECT_FALSE(
			peers_send(a.p, addr.c_str(), m, {.compress = true}))
			<< addr;
	message_delete(m);
	EXPECT_EQ(peers_get_stats(a.p)->open, 0u);
	EXPECT_EQ(peers_get_stats(a.p)->dropped, std::size(addrs));
	EXPECT_TRUE(send_cancel(&a, &b));
	run_until([&] { return b.received.size() == 1; });
}

// The first bulk forward to a node waits for the connection of its own.
TEST_F(Peers, ABulkForwardIsKeptUntilConnected)
{
	test_node a(base, NULL), b(base, NULL);
	struct message *m = message_new(MSG_FORWARD);

	m->from = SENDER;
	/* Not the one that the cancellation below is for. */
	m->u.forward.id.counter = 5;
	m->u.forward.request = http_request_new("POST", "/");
	EXPECT_TRUE(peers_send(a.p, b.addr.c_str(), m, {.bulk = true}));
	message_delete(m);
	EXPECT_TRUE(send_cancel(&a, &b));
	run_until([&] { return b.received.size() == 2; });
	EXPECT_EQ(peers_get_stats(a.p)->open, 2u);
}

static int unsent_forwards;

static void count_unsent(void *arg, struct message *m)
{
	(void)arg;
	unsent_forwards += m->kind == MSG_FORWARD;
	message_delete(m);
}

// Its entry has to learn that it did not run, to choose another gate at once.
TEST_F(Peers, ABulkForwardThatCantBeSentIsReported)
{
	struct peers_opts o = {};
	struct status st;
	std::string addr = free_addr();
	std::string nobody = free_addr();
	struct message *m = message_new(MSG_FORWARD);
	struct peers *p;

	o.base = base;
	o.addr = addr.c_str();
	o.fn = count_unsent;
	o.on_unsent = count_unsent;
	p = peers_new(&o, &st);
	ASSERT_NE(p, nullptr) << st.msg;
	unsent_forwards = 0;
	m->from = SENDER;
	m->u.forward.request = http_request_new("POST", "/");
	EXPECT_TRUE(peers_send(p, nobody.c_str(), m, {.bulk = true}));
	message_delete(m);
	run_until([&] { return unsent_forwards == 1; });
	peers_delete(p);
}

static std::vector<uint64_t> unsent_order;

static void record_unsent(void *arg, struct message *m)
{
	(void)arg;
	if (m->kind == MSG_FORWARD)
		unsent_order.push_back(m->u.forward.id.counter);
	message_delete(m);
}

// And before its entry has to reply, while others wait longer.
TEST_F(Peers, AForwardThatCantBeSentIsReportedInTime)
{
	struct peers_opts o = {};
	struct status st;
	std::string addr = free_addr();
	std::string nobody = free_addr();
	struct peers *p;

	o.base = base;
	o.addr = addr.c_str();
	o.fn = record_unsent;
	o.on_unsent = record_unsent;
	p = peers_new(&o, &st);
	ASSERT_NE(p, nullptr) << st.msg;
	/* Again if the loop has stood still until both were due. */
	for (int i = 0; i < 20; i++) {
		unsent_order.clear();
		for (uint64_t id : {1, 2}) {
			struct message *m = message_new(MSG_FORWARD);

			m->from = SENDER;
			m->u.forward.id.counter = id;
			m->u.forward.time_left_ns =
				id == 1 ? 60 * NS_PER_S : 20 * NS_PER_MS;
			m->u.forward.request = http_request_new("POST", "/");
			EXPECT_TRUE(peers_send(p, nobody.c_str(), m,
					       {.bulk = true}));
			message_delete(m);
		}
		run_until([&] { return unsent_order.size() == 2; });
		if (unsent_order[0] == 2)
			break;
	}
	EXPECT_EQ(unsent_order[0], 2u);
	peers_delete(p);
}

TEST_F(Peers, LargeBodyArrivesComplete)
{
	const size_t size = 4 << 20;
	test_node a(base, NULL), b(base, NULL);

	run_until([&] { return send_forward(&a, &b, size); });
	run_until([&] { return b.received.size() == 1; });
	const struct payload *p = &b.received[0]->u.forward.request->payload;
	ASSERT_EQ(p->body_len, size);
	EXPECT_EQ(p->body[size - 1], 'b');
}

TEST_F(Peers, InvalidMessagesAreCounted)
{
	test_node a(base, NULL);
	void *zmq = zmq_ctx_new();
	void *push = zmq_socket(zmq, ZMQ_PUSH);

	zmq_connect(push, ("tcp://" + a.addr).c_str());
	zmq_send(push, "junk", 4, 0);
	zmq_send(push, "", 0, 0);
	zmq_send(push, "\x93\x93\x06\x01\x02\x90\xc0", 7, 0);
	run_until([&] { return peers_get_stats(a.p)->broken == 3; });
	EXPECT_TRUE(a.received.empty());
	zmq_close(push);
	zmq_ctx_term(zmq);
}

TEST_F(Peers, NodesWithTheFleetsKeysConnect)
{
	struct peer_keys keys;

	ASSERT_TRUE(peer_keys_make(&keys));
	ASSERT_EQ(peer_keys_check(&keys), nullptr);
	test_node a(base, &keys), b(base, &keys);
	run_until([&] { return send_forward(&a, &b); });
	run_until([&] { return b.received.size() == 1; });
	EXPECT_EQ(peers_get_stats(b.p)->refused, 0u);
}

// The client knows the fleet's public key, but uses another key pair.
TEST_F(Peers, WrongKeyIsRefusedAndCounted)
{
	struct peer_keys fleet_keys, other_keys;
	void *zmq = zmq_ctx_new();
	void *push = zmq_socket(zmq, ZMQ_PUSH);
	int linger = 0;

	peer_keys_make(&fleet_keys);
	peer_keys_make(&other_keys);
	test_node a(base, &fleet_keys);
	zmq_setsockopt(push, ZMQ_CURVE_SERVERKEY, fleet_keys.public_key,
		       PEER_KEY_MAX);
	zmq_setsockopt(push, ZMQ_CURVE_PUBLICKEY, other_keys.public_key,
		       PEER_KEY_MAX);
	zmq_setsockopt(push, ZMQ_CURVE_SECRETKEY, other_keys.secret_key,
		       PEER_KEY_MAX);
	zmq_setsockopt(push, ZMQ_LINGER, &linger, sizeof(linger));
	zmq_connect(push, ("tcp://" + a.addr).c_str());
	zmq_send(push, "junk", 4, ZMQ_DONTWAIT);
	run_until([&] { return peers_get_stats(a.p)->refused > 0; });
	EXPECT_EQ(peers_get_stats(a.p)->received, 0u);
	zmq_close(push);
	zmq_ctx_term(zmq);
}

TEST_F(Peers, ClientWithoutKeyIsRefusedAndCounted)
{
	struct peer_keys fleet_keys;

	peer_keys_make(&fleet_keys);
	test_node a(base, &fleet_keys), b(base, NULL);
	send_cancel(&b, &a);
	run_until([&] { return peers_get_stats(a.p)->refused > 0; });
	EXPECT_EQ(peers_get_stats(a.p)->received, 0u);
}

TEST_F(Peers, KeysMustBeAPairOrEmpty)
{
	struct peer_keys k = {}, other;

	EXPECT_EQ(peer_keys_check(&k), nullptr);
	ASSERT_TRUE(peer_keys_make(&k));
	ASSERT_TRUE(peer_keys_make(&other));
	EXPECT_EQ(peer_keys_check(&k), nullptr);
	memcpy(k.public_key, other.public_key, sizeof(k.public_key));
	EXPECT_NE(peer_keys_check(&k), nullptr);
	k.public_key[0] = '\0';
	EXPECT_NE(peer_keys_check(&k), nullptr);
	mem_copy_str(k.public_key, "short", sizeof(k.public_key));
	EXPECT_NE(peer_keys_check(&k), nullptr);
}
