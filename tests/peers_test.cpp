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

// The end of a wait that should have ended long before.
static const uint64_t GIVE_UP_NS = 20 * NS_PER_S;
static const incarnation_t SENDER = 3;

static void keep(void *arg, struct message *m)
{
	((std::vector<struct message *> *)arg)->push_back(m);
}

// One node's side of the connections.
struct side {
	side(struct event_base *base, const struct peer_keys *keys)
	    : addr(free_addr())
	{
		struct peers_opts o = {};
		struct status st;

		o.base = base;
		o.addr = addr.c_str();
		if (keys)
			o.keys = *keys;
		o.fn = keep;
		o.arg = &got;
		p = peers_new(&o, &st);
		EXPECT_NE(p, nullptr) << st.msg;
	}
	~side()
	{
		peers_delete(p);
		for (struct message *m : got)
			message_delete(m);
	}

	std::string addr;
	struct peers *p;
	std::vector<struct message *> got;
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

	// Turns the loop until @done holds.
	void until(const std::function<bool()> &done)
	{
		uint64_t end_ns = clock_now_ns() + GIVE_UP_NS;

		while (!done()) {
			struct timeval tv = {0, 5000};

			ASSERT_LT(clock_now_ns(), end_ns);
			event_base_loopexit(base, &tv);
			event_base_dispatch(base);
		}
	}

	static bool send_cancel(side *from, side *to)
	{
		struct message *m = message_new(MSG_CANCEL);
		m->from = SENDER;
		bool ok = peers_send(from->p, to->addr.c_str(), m, true);

		message_delete(m);
		return ok;
	}

	static bool send_forward(side *from, side *to, size_t body = 0)
	{
		struct message *m = message_new(MSG_FORWARD);
		std::string bytes(body, 'b');

		m->from = SENDER;
		m->u.forward.request = http_request_new("POST", "/");
		payload_set_body(&m->u.forward.request->payload, bytes.data(),
				 body);
		bool ok = peers_send(from->p, to->addr.c_str(), m, true);

		message_delete(m);
		return ok;
	}

	struct event_base *base;
};

TEST_F(Peers, AMessageWaitsForTheConnection)
{
	side a(base, NULL), b(base, NULL);

	EXPECT_TRUE(send_cancel(&a, &b));
	until([&] { return b.got.size() == 1; });
	EXPECT_EQ(b.got[0]->kind, MSG_CANCEL);
	EXPECT_EQ(b.got[0]->from, SENDER);
	EXPECT_EQ(peers_get_stats(a.p)->open, 1u);
}

TEST_F(Peers, AForwardWithoutAConnectionIsNotSent)
{
	side a(base, NULL);
	auto b = std::make_unique<side>(base, nullptr);

	EXPECT_FALSE(send_forward(&a, b.get()));
	EXPECT_EQ(peers_get_stats(a.p)->dropped, 1u);
	until([&] { return send_forward(&a, b.get()); });
	until([&] { return b->got.size() == 1; });
	EXPECT_EQ(peers_get_stats(a.p)->sent, 1u);
}

TEST_F(Peers, AForwardToALostNodeIsNotSent)
{
	side a(base, NULL);
	auto b = std::make_unique<side>(base, nullptr);

	send_cancel(&a, b.get());
	until([&] { return b->got.size() == 1; });
	std::string addr = b->addr;
	b.reset();
	until([&] {
		struct message *m = message_new(MSG_FORWARD);

		m->u.forward.request = http_request_new("GET", "/");
		bool sent = peers_send(a.p, addr.c_str(), m, true);
		message_delete(m);
		return !sent;
	});
}

TEST_F(Peers, ALargeBodyArrivesWhole)
{
	const size_t size = 4 << 20;
	side a(base, NULL), b(base, NULL);

	until([&] { return send_forward(&a, &b, size); });
	until([&] { return b.got.size() == 1; });
	const struct payload *p = &b.got[0]->u.forward.request->payload;
	ASSERT_EQ(p->body_len, size);
	EXPECT_EQ(p->body[size - 1], 'b');
}

TEST_F(Peers, BrokenMessagesAreCounted)
{
	side a(base, NULL);
	void *zmq = zmq_ctx_new();
	void *push = zmq_socket(zmq, ZMQ_PUSH);

	zmq_connect(push, ("tcp://" + a.addr).c_str());
	zmq_send(push, "junk", 4, 0);
	zmq_send(push, "", 0, 0);
	zmq_send(push, "\x93\x93\x06\x01\x02\x90\xc0", 7, 0);
	until([&] { return peers_get_stats(a.p)->broken == 3; });
	EXPECT_TRUE(a.got.empty());
	zmq_close(push);
	zmq_ctx_term(zmq);
}

TEST_F(Peers, NodesOfOneFleetTalkEncrypted)
{
	struct peer_keys keys;

	ASSERT_TRUE(peer_keys_make(&keys));
	ASSERT_EQ(peer_keys_check(&keys), nullptr);
	side a(base, &keys), b(base, &keys);
	until([&] { return send_forward(&a, &b); });
	until([&] { return b.got.size() == 1; });
	EXPECT_EQ(peers_get_stats(b.p)->refused, 0u);
}

// Knows the fleet's public key, but has a pair of its own.
TEST_F(Peers, AStrangersKeyIsRefusedAndCounted)
{
	struct peer_keys fleet, stranger;
	void *zmq = zmq_ctx_new();
	void *push = zmq_socket(zmq, ZMQ_PUSH);
	int linger = 0;

	peer_keys_make(&fleet);
	peer_keys_make(&stranger);
	side a(base, &fleet);
	zmq_setsockopt(push, ZMQ_CURVE_SERVERKEY, fleet.public_key,
		       PEER_KEY_MAX);
	zmq_setsockopt(push, ZMQ_CURVE_PUBLICKEY, stranger.public_key,
		       PEER_KEY_MAX);
	zmq_setsockopt(push, ZMQ_CURVE_SECRETKEY, stranger.secret_key,
		       PEER_KEY_MAX);
	zmq_setsockopt(push, ZMQ_LINGER, &linger, sizeof(linger));
	zmq_connect(push, ("tcp://" + a.addr).c_str());
	zmq_send(push, "junk", 4, ZMQ_DONTWAIT);
	until([&] { return peers_get_stats(a.p)->refused > 0; });
	EXPECT_EQ(peers_get_stats(a.p)->received, 0u);
	zmq_close(push);
	zmq_ctx_term(zmq);
}

TEST_F(Peers, AStrangerWithoutAKeyIsRefusedAndCounted)
{
	struct peer_keys fleet;

	peer_keys_make(&fleet);
	side a(base, &fleet), b(base, NULL);
	send_cancel(&b, &a);
	until([&] { return peers_get_stats(a.p)->refused > 0; });
	EXPECT_EQ(peers_get_stats(a.p)->received, 0u);
}

TEST_F(Peers, KeysAreAPairOrNone)
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
