/** Options of TCP sockets: no delay, and silence ends a connection. */
#ifndef JD_IO_SOCKET_OPTS_H
#define JD_IO_SOCKET_OPTS_H

#include <stdbool.h>

/** Sets them on @fd; a failure is logged, the socket works without. */
void socket_set_opts(int fd);

/** True when the other end has neither sent anything nor closed. */
bool socket_is_idle(int fd);

/** True when the other side has closed and all that it sent was read. */
bool socket_is_closed(int fd);

#endif
