/**
 * HTTP/1.1 client for the node's own upstream, with one request at a time on
 * each connection. Only complete answers are reported, and only those that
 * echo the request's identifying header.
 */
#ifndef JD_IO_HTTP_CLIENT_H
#define JD_IO_HTTP_CLIENT_H

#include <event2/event.h>

#include "core/http.h"
#include "core/types.h"

/**
 * Limit of the bodies that are being received on all connections together.
 * Beyond it the longest one is given up, which ends its call.
 */
#define HTTP_CLIENT_BODIES_MAX_BYTES (48u << 20)

struct http_client;

/** How a call ended. */
enum client_end {
	CLIENT_ANSWERED,
	CLIENT_REFUSED,	   /* nothing listens there; no byte was written */
	CLIENT_NOT_SENT,   /* no byte was written */
	CLIENT_INCOMPLETE, /* bytes were written, no complete answer came */
	CLIENT_TIMED_OUT,  /* no answer by the deadline */
};

/**
 * Result of a call. The callback may keep the answer by setting it to NULL;
 * otherwise it is freed.
 */
struct client_result {
	uint64_t call;
	enum client_end end;
	struct http_answer *answer; /* NULL unless answered */
};

struct http_client_opts {
	struct event_base *base;
	/**
	 * Header that an answer must echo from its request; an answer without
	 * it or with another value belongs to an earlier request and is
	 * dropped. A connection carries each value once, and a request without
	 * the header has a connection of its own.
	 */
	const char *echo_header;
	/** Called once for each call. */
	void (*on_end)(void *arg, struct client_result *r);
	void *arg;
};

struct client_call {
	uint64_t call; /* number chosen by the caller, for the result */
	const char *addr;
	uint64_t deadline_ns;
	uint64_t write_before_ns;     /* no byte is written at or after it */
	struct http_request *request; /* with all headers */
};

struct http_client *http_client_new(const struct http_client_opts *o);
void http_client_delete(struct http_client *c);

/**
 * Starts a call and takes a reference to its request. on_end is called later,
 * never from inside this function.
 */
void http_client_call(struct http_client *c, const struct client_call *call);

/**
 * Closes the connection of @call, so that the upstream stops working on it;
 * on_end is called from inside this function. Ignores a call that has ended.
 */
void http_client_cancel(struct http_client *c, uint64_t call);

/** Connection attempts since the start. */
uint64_t http_client_connects(const struct http_client *c);

#endif
