// Free loopback addresses for servers under test.
#ifndef JD_TESTS_FREE_PORT_HPP
#define JD_TESTS_FREE_PORT_HPP

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <string>

static const int FREE_PORT_FIRST = 23000;
static const int FREE_PORT_COUNT = 1000;

static inline bool port_is_free(int port)
{
	int fd = socket(AF_INET, SOCK_STREAM, 0);
	struct sockaddr_in a = {};

	a.sin_family = AF_INET;
	a.sin_port = htons((uint16_t)port);
	a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	bool ok = bind(fd, (struct sockaddr *)&a, sizeof(a)) == 0;
	close(fd);
	return ok;
}

// An address of 127.0.0.1 whose port can be bound now. Calls in one process
// return different ports; concurrent test processes begin at different ones.
static inline std::string free_addr()
{
	static int next = (int)getpid() * 13;

	for (;;) {
		int port = FREE_PORT_FIRST + next++ % FREE_PORT_COUNT;

		if (port_is_free(port))
			return "127.0.0.1:" + std::to_string(port);
	}
}

#endif
