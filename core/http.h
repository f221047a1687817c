/** A request or answer between its decoding and its encoding. */
#ifndef JD_CORE_HTTP_H
#define JD_CORE_HTTP_H

#include "core/list.h"
#include "core/types.h"

/* The largest body of an answer; a request has its route's limit. */
#define HTTP_ANSWER_MAX_BYTES (4u << 20)

struct header {
	struct list link;
	char *name;
	char *value;
};

struct payload {
	struct list headers; /* of struct header */
	size_t body_len;     /* bytes */
	unsigned char *body;
};

/**
 * What a caller asks for; the method is upper case. Shared by reference: it
 * does not change once it is.
 */
struct http_request {
	uint32_t refs;
	char method[16];
	char *target; /* path and query */
	struct payload payload;
};

struct http_answer {
	int code;
	struct payload payload;
};

void payload_init(struct payload *p);
void payload_done(struct payload *p);
void payload_add_header(struct payload *p, const char *name, const char *value);
/** Value of header @name, any case; NULL for none. */
const char *payload_header(const struct payload *p, const char *name);
/** Removes the headers whose name starts with @prefix, any case. */
void payload_remove_headers(struct payload *p, const char *prefix);
/** Copies @len bytes in as the body. */
void payload_set_body(struct payload *p, const void *body, size_t len);
void payload_copy(struct payload *to, const struct payload *from);

struct http_request *http_request_new(const char *method, const char *target);
void http_request_unref(struct http_request *r);
/** Another reference to @r; http_request_unref() each. */
struct http_request *http_request_ref(struct http_request *r);

struct http_answer *http_answer_new(int code);
void http_answer_delete(struct http_answer *a);
struct http_answer *http_answer_copy(const struct http_answer *a);

#endif
