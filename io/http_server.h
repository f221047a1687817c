/**
 * HTTP/1.1 server for callers, with pipelining: the requests of a connection
 * are handed over as soon as they are read, and answered in their order.
 * evhttp reads the next request of a connection only after the answer to the
 * previous one, so this server uses bufferevents and http_parser instead.
 */
#ifndef JD_IO_HTTP_SERVER_H
#define JD_IO_HTTP_SERVER_H

#include <event2/event.h>

#include "core/http.h"
#include "core/status.h"

struct http_server;

/** Limits on callers; 0 means the default. */
struct http_server_limits {
	uint64_t header_bytes;
	uint64_t body_bytes;
	uint64_t header_timeout_ms; /* from first byte to end of headers */
	uint64_t idle_timeout_ms;   /* without a request, or a byte of a body */
};

/** Why a request was rejected by the server itself. */
enum http_reject {
	HTTP_REJECT_SYNTAX,	    /* the parser stopped: 400 */
	HTTP_REJECT_METHOD,	    /* CONNECT or unknown: 501 */
	HTTP_REJECT_HEADER_LIMIT,   /* 431 */
	HTTP_REJECT_HEADER_TIMEOUT, /* 408 */
	HTTP_REJECT_BODY_TIMEOUT,   /* 408 */
	HTTP_REJECT_OLD_LIMITS,	    /* over limits since raised: 503 */
	HTTP_REJECT_COUNT,
};

struct http_server_stats {
	uint64_t rejected[HTTP_REJECT_COUNT];
	uint64_t delivered;   /* requests passed to on_request */
	uint64_t oversized;   /* those of them whose body was dropped */
	uint64_t idle_closed; /* connections closed at the idle timeout */
};

struct http_server_opts {
	struct event_base *base;
	const char *addr;
	struct http_server_limits limits;
	/**
	 * Called for each complete request; takes ownership of @r. @caller
	 * identifies the request in http_server_reply(). @oversized: its body
	 * exceeded the limit and was dropped.
	 */
	void (*on_request)(void *arg, uint64_t caller, struct http_request *r,
			   bool oversized);
	/** The connection of @caller was closed before the answer. */
	void (*on_caller_disconnected)(void *arg, uint64_t caller);
	void *arg;
};

/** NULL with a status when the address can't be bound. */
struct http_server *http_server_new(const struct http_server_opts *o,
				    struct status *st);
void http_server_delete(struct http_server *s);

/**
 * A request that has begun may use the old or the new limit, whichever is
 * larger; deadlines are moved if a timeout grows.
 */
void http_server_set_limits(struct http_server *s,
			    const struct http_server_limits *l);

/**
 * Answers the request @caller with the headers and body of @a, unchanged, and
 * a Content-Length. @close: no further request of the connection is read, and
 * it is closed after the answers to those delivered. Ignored if the caller's
 * connection has been closed.
 */
void http_server_reply(struct http_server *s, uint64_t caller,
		       const struct http_answer *a, bool close);

/**
 * Unanswered requests, and connections whose caller has not received all of its
 * answers.
 */
uint32_t http_server_pending(const struct http_server *s);

const struct http_server_stats *
http_server_get_stats(const struct http_server *s);

/** Name of @r as in logs and metrics. */
const char *http_reject_name(enum http_reject r);

#endif
