/** Takes a request's key, organisation and deadline out of it. */
#ifndef JD_CORE_REQUEST_KEY_H
#define JD_CORE_REQUEST_KEY_H

#include "core/http.h"
#include "core/manifest.h"

#define HEADER_ORGANISATION "X-Jackdaw-Organisation"
#define HEADER_DEADLINE_MS  "X-Jackdaw-Deadline-Ms"

/**
 * Copies the key that @rule names into @key of @cap bytes; false when the
 * request has none or one that is too long.
 */
bool request_key(const struct http_request *r, const struct key_rule *rule,
		 char *key, size_t cap);

/** True for methods that may run twice without harm. */
bool request_idempotent(const struct http_request *r);

#endif
