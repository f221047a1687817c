/** Takes a request's key, organisation and deadline out of it. */
#ifndef JD_CORE_REQUEST_KEY_H
#define JD_CORE_REQUEST_KEY_H

#include "core/http.h"
#include "core/manifest.h"

#define HEADER_ORGANISATION "X-Jackdaw-Organisation"
#define HEADER_DEADLINE_MS  "X-Jackdaw-Deadline-Ms"
#define DEADLINE_MAX_MS	    600000

/**
 * Copies the key that @rule names into @key of @cap bytes; false when the
 * request has none or one that is too long.
 */
bool request_key(const struct http_request *r, const struct key_rule *rule,
		 char *key, size_t cap);

/**
 * The time that the caller gives, 0 when it names none; false for a header
 * that is no number from 1 to DEADLINE_MAX_MS.
 */
bool request_deadline(const struct http_request *r, uint64_t *ms);

/** Removes headers that only jackdawd itself may set towards an upstream. */
void request_strip_reserved_headers(struct http_request *r);

/** Removes headers of an answer that only jackdawd may set. */
void answer_strip_reserved_headers(struct http_answer *a);

#endif
