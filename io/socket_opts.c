#include "io/socket_opts.h"

#include <errno.h>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include "io/log.h"

/* A connection fails once sent data is unacknowledged for this long. */
#define UNACKED_MAX_MS	     2000
#define KEEPALIVE_IDLE_S     1
#define KEEPALIVE_INTERVAL_S 1
#define KEEPALIVE_PROBES     2

static void set_option(int fd, int level, int option, int value)
{
	if (setsockopt(fd, level, option, &value, sizeof(value)) != 0)
		log_event(LOG_WARN,
			  "event=socket_option_failed level=%d option=%d "
			  "why=\"%s\"",
			  level, option, strerror(errno));
}

void socket_set_opts(int fd)
{
	set_option(fd, IPPROTO_TCP, TCP_NODELAY, 1);
	set_option(fd, SOL_SOCKET, SO_KEEPALIVE, 1);
	set_option(fd, IPPROTO_TCP, TCP_KEEPIDLE, KEEPALIVE_IDLE_S);
	set_option(fd, IPPROTO_TCP, TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S);
	set_option(fd, IPPROTO_TCP, TCP_KEEPCNT, KEEPALIVE_PROBES);
	set_option(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, UNACKED_MAX_MS);
}

bool socket_is_closed(int fd)
{
	char byte;

	return recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
}

bool socket_is_idle(int fd)
{
	char byte;

	return recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) < 0 &&
	       (errno == EAGAIN || errno == EWOULDBLOCK);
}

size_t socket_undelivered(int fd)
{
	int bytes = 0;

	return ioctl(fd, SIOCOUTQ, &bytes) == 0 && bytes > 0 ? (size_t)bytes
							     : 0;
}
