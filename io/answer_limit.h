/**
 * Bounds what evhttp reads as one answer. Its own limits don't count interim
 * answers and the framing of chunks, which may go on without end.
 */
#ifndef JD_IO_ANSWER_LIMIT_H
#define JD_IO_ANSWER_LIMIT_H

#include <event2/http.h>
#include <stdbool.h>
#include <stddef.h>

/** Limit of one connection; must outlive it. */
struct answer_limit {
	struct evhttp_connection *http;
	size_t max_bytes;
	size_t received; /* since the start of the current call */
};

/**
 * Limits the answers on the new connection @http to bodies of @body_max bytes.
 * A longer answer ends its request without one.
 */
void answer_limit_init(struct answer_limit *l, struct evhttp_connection *http,
		       size_t body_max);

/** Call this before each request. */
void answer_limit_start(struct answer_limit *l);

#endif
