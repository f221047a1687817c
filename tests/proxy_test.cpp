/* The proxy of the fault soaks ends a connection when one of its ends does. */
#include "jd_test.hpp"

#include <memory>

#include "raw_server.hpp"

extern "C" {
#include "chaos/proxy.h"
#include "core/types.h"
#include "io/clock.h"
}

struct ProxyTest : public ::testing::Test {
	std::unique_ptr<struct event_base, void (*)(struct event_base *)> base{
		event_base_new(), event_base_free};
	RawServer target{base.get()};
	std::string addr = free_addr();
	struct proxy *proxy = nullptr;
	int fd = -1;

	void SetUp() override
	{
		struct proxy_opts o = {base.get(), addr.c_str(),
				       target.addr.c_str()};
		struct sockaddr_in a = {};

		proxy = proxy_new(&o);
		ASSERT_NE(proxy, nullptr);
		proxy_set_mode(proxy, PROXY_DELAYS, 100);
		a.sin_family = AF_INET;
		a.sin_port = htons(
			(uint16_t)std::stoi(addr.substr(addr.find(':') + 1)));
		a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
		fd = socket(AF_INET, SOCK_STREAM, 0);
		ASSERT_EQ(connect(fd, (struct sockaddr *)&a, sizeof(a)), 0);
	}
	~ProxyTest() override
	{
		close(fd);
		proxy_delete(proxy);
	}

	/* The caller sends all the time; true once it is closed, within 3 s. */
	bool is_closed()
	{
		uint64_t end_ns = clock_now_ns() + 3 * NS_PER_S, next_ns = 0;

		while (clock_now_ns() < end_ns) {
			char buf[64];
			ssize_t n;

			if (clock_now_ns() >= next_ns) {
				next_ns = clock_now_ns() + 20 * NS_PER_MS;
				if (send(fd, "request", 7, MSG_NOSIGNAL) < 0)
					return true;
			}
			event_base_loop(base.get(),
					EVLOOP_ONCE | EVLOOP_NONBLOCK);
			n = recv(fd, buf, sizeof(buf), MSG_DONTWAIT);
			if (!n || (n < 0 && errno != EAGAIN))
				return true;
		}
		return false;
	}
};

/*
 * A connection whose target was gone once swallowed what its caller sent, for
 * ever: bytes that the target's end had not taken when it failed.
 */
TEST_F(ProxyTest, CallerIsClosedAfterTheTargetHasClosed)
{
	target.closes = true;
	target.on_request = [](RawServer &, struct bufferevent *, size_t) {};
	EXPECT_TRUE(is_closed());
}

/* The same while an answer still waits in the proxy. */
TEST_F(ProxyTest, CallerIsClosedAfterTheTargetResetDuringADelay)
{
	target.on_request = [](RawServer &s, struct bufferevent *bev,
			       size_t n) {
		struct linger reset = {1, 0};

		if (n == 1) {
			s.write(bev, "answer");
			return;
		}
		setsockopt(bufferevent_getfd(bev), SOL_SOCKET, SO_LINGER,
			   &reset, sizeof(reset));
		s.closes = true;
	};
	EXPECT_TRUE(is_closed());
}
