/** TCP options for HTTP connections, and checks of their state. */
#ifndef JD_IO_SOCKET_OPTS_H
#define JD_IO_SOCKET_OPTS_H

#include <stdbool.h>
#include <stddef.h>

/**
 * Turns off Nagle's algorithm and turns on keepalive and a limit on
 * unacknowledged data, so that a dead peer is noticed within seconds. An
 * option that can't be set is logged; the socket stays usable.
 */
void socket_set_opts(int fd);

/** True while no data waits to be read and the peer has not closed. */
bool socket_is_idle(int fd);

/** True when the peer has closed and all its data has been read. */
bool socket_is_closed(int fd);

/** Bytes written that the peer has not acknowledged; a close counts as one. */
size_t socket_undelivered(int fd);

#endif
