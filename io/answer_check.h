/**
 * Bounds what evhttp reads as one answer, and checks its heads. Its own limits
 * don't count interim answers and the framing of chunks, which may go on
 * without end; it reads "200x" and 4294967496 as 200, and any bytes as the name
 * of a field.
 */
#ifndef JD_IO_ANSWER_CHECK_H
#define JD_IO_ANSWER_CHECK_H

#include <event2/http.h>
#include <stdbool.h>
#include <stddef.h>

#include "io/answer_head.h"

/** Checks of one connection; must outlive it. */
struct answer_check {
	struct evhttp_connection *http;
	size_t max_bytes;
	size_t received; /* since the start of the current call */
	struct answer_head head;
	bool failed;
};

/**
 * Checks the answers on the new connection @http, with bodies of @body_max
 * bytes at most. One that fails closes the connection.
 */
void answer_check_init(struct answer_check *k, struct evhttp_connection *http,
		       size_t body_max);

/** Call this before each request. */
void answer_check_start(struct answer_check *k);

/**
 * False if the bytes since the start are no answer, whatever evhttp has read
 * from them. The reason is in the log.
 */
bool answer_check_ok(const struct answer_check *k);

#endif
