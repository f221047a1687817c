/**
 * Connections to the node's own upstream, one request at a time on each, and
 * every answer checked before it counts: that it is whole, and that it is
 * the answer to this request.
 */
#ifndef JD_IO_HTTP_CLIENT_H
#define JD_IO_HTTP_CLIENT_H

#include <event2/event.h>

#include "core/http.h"
#include "core/types.h"

struct http_client;

enum client_end {
	CLIENT_ANSWERED,
	CLIENT_REFUSED,	   /* nothing listens there; no byte was written */
	CLIENT_NOT_SENT,   /* no byte was written */
	CLIENT_INCOMPLETE, /* bytes were written, no whole answer came */
	CLIENT_TIMED_OUT,  /* no answer by the deadline */
};

struct client_result {
	uint64_t call;
	enum client_end end;
	struct http_answer *answer; /* to be taken; NULL unless answered */
};

struct http_client_opts {
	struct event_base *base;
	/**
	 * Header that an answer must echo from its request; an answer with
	 * another value belongs to an earlier request and is dropped.
	 */
	const char *echo_header;
	void (*on_end)(void *arg, struct client_result *r);
	void *arg;
};

struct client_call {
	uint64_t call;
	const char *addr;
	uint64_t deadline_ns;
	uint64_t write_before_ns;     /* no byte is written at or after it */
	struct http_request *request; /* with all headers; a reference */
};

struct http_client *http_client_new(const struct http_client_opts *o);
void http_client_delete(struct http_client *c);

/** Starts a call; its end is told later, never from inside this. */
void http_client_call(struct http_client *c, const struct client_call *call);

/** Nobody waits: closes its connection, which stops the work. */
void http_client_cancel(struct http_client *c, uint64_t call);

/** Connections made so far. */
uint64_t http_client_connects(const struct http_client *c);

#endif
