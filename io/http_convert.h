/** Between evhttp's requests and the core's payloads. */
#ifndef JD_IO_HTTP_CONVERT_H
#define JD_IO_HTTP_CONVERT_H

#include <event2/http.h>

#include "core/http.h"

/** The caller's request; NULL for a method that is not routed. */
struct http_request *http_request_from_evhttp(struct evhttp_request *req);

/** The upstream's answer. */
struct http_answer *http_answer_from_evhttp(struct evhttp_request *req);

/** Copies end-to-end headers and the body into an outgoing message. */
void payload_to_evhttp(const struct payload *p, struct evhttp_request *req);

/** False for a method that is not routed. */
bool http_method_to_evhttp(const char *name, enum evhttp_cmd_type *type);

#endif
