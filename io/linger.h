/**
 * Closes connections without losing what their peers have yet to receive (RFC
 * 9112, 9.6): the kernel resets a closed connection when more input arrives,
 * and drops what it has not sent. So only the sending side is closed at first,
 * and input is read and dropped until the peer closes.
 */
#ifndef JD_IO_LINGER_H
#define JD_IO_LINGER_H

#include <event2/event.h>
#include <stdint.h>

/** The connections that are being closed. */
struct linger_set;

struct linger_opts {
	struct event_base *base;
	uint64_t stall_ms; /* 0: the default, some seconds */
};

struct linger_set *linger_set_new(const struct linger_opts *o);
/** Closes the connections that are left at once. */
void linger_set_delete(struct linger_set *s);

/**
 * Takes over the socket @fd, to which all output has been written. It is closed
 * once the peer has closed, or has not received anything for @stall_ms.
 */
void linger_close(struct linger_set *s, int fd);

/** Connections whose peer has not received everything yet. */
uint32_t linger_undelivered(const struct linger_set *s);

#endif
