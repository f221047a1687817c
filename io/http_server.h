/**
 * HTTP/1.1 for callers: requests that arrive behind one another on a
 * connection are all handed over at once, and answered in their order.
 * evhttp takes the next request of a connection only after the answer to the
 * one before; so this is libevent's buffers with a parser library.
 */
#ifndef JD_IO_HTTP_SERVER_H
#define JD_IO_HTTP_SERVER_H

#include <event2/event.h>

#include "core/http.h"
#include "core/status.h"

struct http_server;

struct http_server_limits {
	uint64_t header_bytes;
	uint64_t body_bytes;
	uint64_t header_timeout_ms; /* from a request's first byte */
	uint64_t idle_timeout_ms;   /* without a request */
};

struct http_server_opts {
	struct event_base *base;
	const char *addr;
	struct http_server_limits limits;
	/**
	 * A whole request, which is taken; @oversized: its body was over the
	 * limit and is not there.
	 */
	void (*on_request)(void *arg, uint64_t caller, struct http_request *r,
			   bool oversized);
	/** The caller has left before its answer. */
	void (*on_caller_gone)(void *arg, uint64_t caller);
	void *arg;
};

/** NULL with a status when the address can't be bound. */
struct http_server *http_server_new(const struct http_server_opts *o,
				    struct status *st);
void http_server_delete(struct http_server *s);

void http_server_set_limits(struct http_server *s,
			    const struct http_server_limits *l);

/**
 * Answers the request @caller: the headers and body of @a are written as
 * they are, with a length. @close: the connection ends after it.
 */
void http_server_reply(struct http_server *s, uint64_t caller,
		       const struct http_answer *a, bool close);

/** Requests that wait for their answer, or whose answer is being written. */
uint32_t http_server_pending(const struct http_server *s);

#endif
