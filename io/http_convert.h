/** Converts between evhttp's requests and the core's HTTP types. */
#ifndef JD_IO_HTTP_CONVERT_H
#define JD_IO_HTTP_CONVERT_H

#include <event2/http.h>

#include "core/http.h"

/**
 * Returns the caller's request, freed with http_request_unref(); NULL for an
 * unsupported method. Empties the body of @req.
 */
struct http_request *http_request_from_evhttp(struct evhttp_request *req);

/**
 * Returns the upstream's answer, freed with http_answer_delete(). Empties the
 * body of @req.
 */
struct http_answer *http_answer_from_evhttp(struct evhttp_request *req);

/**
 * For the callback of an answer's head. False if the head is none of a final
 * answer, or evhttp would read its body by another length than HTTP's. Drops
 * the headers of an interim answer, which evhttp would add to the final one's.
 */
bool http_check_answer_head(struct evhttp_request *req);

/** Copies the end-to-end headers and the body into the outgoing @req. */
void payload_to_evhttp(const struct payload *p, struct evhttp_request *req);

/** Sets @type; false for an unsupported method. */
bool http_method_to_evhttp(const char *name, enum evhttp_cmd_type *type);

#endif
