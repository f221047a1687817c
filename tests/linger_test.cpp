#include "jd_test.hpp"

#include <fcntl.h>
#include <netinet/in.h>
#include <string>
#include <sys/socket.h>
#include <unistd.h>

extern "C" {
#include "core/types.h"
#include "io/clock.h"
#include "io/linger.h"
#include "io/socket_opts.h"
}

#define STALL_MS 300

/* A connection over loopback; its end @fd is closed through a linger_set. */
struct LingerTest : public ::testing::Test {
	struct event_base *base = event_base_new();
	struct linger_opts opts = {base, STALL_MS};
	struct linger_set *set = linger_set_new(&opts);
	int fd = -1;
	int peer = -1;

	LingerTest()
	{
		struct sockaddr_in a = {};
		socklen_t len = sizeof(a);
		int l = socket(AF_INET, SOCK_STREAM, 0);
		int small = 4096;

		a.sin_family = AF_INET;
		a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
		EXPECT_EQ(bind(l, (struct sockaddr *)&a, len), 0);
		EXPECT_EQ(listen(l, 1), 0);
		EXPECT_EQ(getsockname(l, (struct sockaddr *)&a, &len), 0);
		peer = socket(AF_INET, SOCK_STREAM, 0);
		setsockopt(peer, SOL_SOCKET, SO_RCVBUF, &small, sizeof(small));
		EXPECT_EQ(connect(peer, (struct sockaddr *)&a, sizeof(a)), 0);
		fd = accept(l, nullptr, nullptr);
		EXPECT_GE(fd, 0);
		close(l);
	}
	~LingerTest() override
	{
		if (set)
			linger_set_delete(set);
		if (peer >= 0)
			close(peer);
		event_base_free(base);
	}
	void run_loop(int ms)
	{
		struct timeval tv = {0, ms * 1000};

		event_base_loopexit(base, &tv);
		event_base_dispatch(base);
	}
	bool is_closed()
	{
		return fcntl(fd, F_GETFD) < 0;
	}
	void run_until_closed(int ms)
	{
		uint64_t end_ns = clock_now_ns() + (uint64_t)ms * NS_PER_MS;

		while (!is_closed() && clock_now_ns() < end_ns)
			run_loop(10);
	}
	/* Writes @len bytes and closes. */
	void write_and_close(size_t len)
	{
		std::string text(len, 'x');

		ASSERT_EQ(send(fd, text.data(), len, MSG_NOSIGNAL),
			  (ssize_t)len);
		linger_close(set, fd);
	}
	/* Reads what has arrived, @max bytes at most; -1 at a reset. */
	ssize_t read_some(size_t max)
	{
		std::string part(max, '\0');
		ssize_t n = recv(peer, &part[0], max, MSG_DONTWAIT);

		return n < 0 && errno == EAGAIN ? 0 : n;
	}
};

TEST_F(LingerTest, ClosesOnceThePeerHasClosed)
{
	write_and_close(10);
	run_loop(50);
	EXPECT_FALSE(is_closed());
	shutdown(peer, SHUT_WR);
	run_until_closed(STALL_MS / 2);
	EXPECT_TRUE(is_closed());
}

TEST_F(LingerTest, ClosesOnceThePeerHasReset)
{
	struct linger reset = {1, 0};

	write_and_close(10);
	setsockopt(peer, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
	close(peer);
	peer = -1;
	run_until_closed(STALL_MS / 2);
	EXPECT_TRUE(is_closed());
}

/* Holds no socket for good. */
TEST_F(LingerTest, APeerThatStaysIsLeft)
{
	uint64_t start_ns = clock_now_ns();

	write_and_close(10);
	run_until_closed(5 * STALL_MS);
	EXPECT_TRUE(is_closed());
	EXPECT_GE(clock_now_ns(), start_ns + STALL_MS * NS_PER_MS);
}

TEST_F(LingerTest, APeerThatSendsWithoutEndIsLeft)
{
	uint64_t end_ns = clock_now_ns() + 5 * STALL_MS * NS_PER_MS;

	write_and_close(10);
	while (!is_closed() && clock_now_ns() < end_ns) {
		(void)!send(peer, "more", 4, MSG_DONTWAIT | MSG_NOSIGNAL);
		run_loop(5);
	}
	EXPECT_TRUE(is_closed());
}

/* A slow peer once lost what it had not received; all of it counts. */
TEST_F(LingerTest, APeerThatReadsSlowlyReceivesEverything)
{
	const size_t len = 200000;
	uint64_t start_ns = clock_now_ns();
	size_t received = 0;
	ssize_t n = 0;

	write_and_close(len);
	run_loop(10);
	EXPECT_EQ(linger_undelivered(set), 1u);
	while (n >= 0 && received < len) {
		(void)!send(peer, "more", 4, MSG_DONTWAIT | MSG_NOSIGNAL);
		run_loop(20);
		n = read_some(3000);
		received += n > 0 ? (size_t)n : 0;
	}
	EXPECT_EQ(received, len);
	EXPECT_GT(clock_now_ns(), start_ns + 2 * STALL_MS * NS_PER_MS);
	run_loop(50);
	EXPECT_EQ(linger_undelivered(set), 0u);
}

TEST_F(LingerTest, APeerThatStopsReadingIsLeft)
{
	write_and_close(200000);
	run_until_closed(5 * STALL_MS);
	EXPECT_TRUE(is_closed());
	EXPECT_EQ(linger_undelivered(set), 0u);
}

TEST_F(LingerTest, DeletingTheSetClosesWhatIsLeft)
{
	write_and_close(10);
	linger_set_delete(set);
	set = nullptr;
	EXPECT_TRUE(is_closed());
}
