/** Reads the key and the deadline of a request; strips reserved headers. */
#ifndef JD_CORE_REQUEST_KEY_H
#define JD_CORE_REQUEST_KEY_H

#include "core/http.h"
#include "core/manifest.h"

#define HEADER_ORGANISATION "X-Jackdaw-Organisation"
#define HEADER_DEADLINE_MS  "X-Jackdaw-Deadline-Ms"
#define DEADLINE_MAX_MS	    600000

/**
 * Copies the key that @rule selects into @key, a buffer of @cap bytes; false
 * when the request has no key or the key doesn't fit.
 */
bool request_key(const struct http_request *r, const struct key_rule *rule,
		 char *key, size_t cap);

/**
 * Sets @ms to the time left that the caller states in HEADER_DEADLINE_MS, 0
 * without the header; false when its value isn't a number from 1 to
 * DEADLINE_MAX_MS.
 */
bool request_deadline(const struct http_request *r, uint64_t *ms);

/** Removes headers that only jackdawd may set on requests to an upstream. */
void request_strip_reserved_headers(struct http_request *r);

/** Removes headers that only jackdawd may set on answers to a caller. */
void answer_strip_reserved_headers(struct http_answer *a);

#endif
