/** Decoded HTTP requests and answers. */
#ifndef JD_CORE_HTTP_H
#define JD_CORE_HTTP_H

#include "core/list.h"
#include "core/types.h"

/* Limit of an answer's body; that of a request's body is set per route. */
#define HTTP_ANSWER_MAX_BYTES (4u << 20)

struct header {
	struct list link;
	char *name;
	char *value;
};

/** Headers and body of a request or answer. */
struct payload {
	struct list headers; /* of struct header, in order */
	size_t body_len;     /* bytes */
	unsigned char *body;
};

/** Reference counted, so immutable once it is shared. */
struct http_request {
	uint32_t refs;
	char method[16]; /* upper case */
	char *target;	 /* path and query */
	struct payload payload;
};

struct http_answer {
	int code; /* HTTP status */
	struct payload payload;
};

void payload_init(struct payload *p);
void payload_done(struct payload *p);
void payload_add_header(struct payload *p, const char *name, const char *value);
/** Value of the first header @name, in any case; NULL if there is none. */
const char *payload_header(const struct payload *p, const char *name);
/** Removes all headers whose name starts with @prefix, in any case. */
void payload_remove_headers(struct payload *p, const char *prefix);
/** Removes all headers @name, in any case. */
void payload_drop_header(struct payload *p, const char *name);
/** Replaces the body by a copy of @len bytes. */
void payload_set_body(struct payload *p, const void *body, size_t len);
/** Adds the headers of @from to @to and replaces its body. */
void payload_copy(struct payload *to, const struct payload *from);

/**
 * What follows the scheme of a target in absolute form ("http://host/path");
 * NULL for a target in origin form ("/path").
 */
const char *http_target_authority(const char *target);
/** Path and query of a target in either form; free() it. */
char *http_target_path(const char *target);

/** A request with one reference. */
struct http_request *http_request_new(const char *method, const char *target);
/** Drops a reference; the last one frees @r. NULL is ignored. */
void http_request_unref(struct http_request *r);
/** Adds a reference to @r and returns it. */
struct http_request *http_request_ref(struct http_request *r);

/** True if @c may stand in the name of a header (RFC 9110, 5.6.2). */
bool http_is_token_char(char c);
/** True if @name may be the name of a header. */
bool http_is_token(const char *name);

/** True for the status of an answer, after which no other one follows. */
bool http_status_is_final(int code);
/**
 * True for the status of an interim answer, which a final one follows. None is
 * 101: no request that is sent asks for it.
 */
bool http_status_is_interim(int code);

struct http_answer *http_answer_new(int code);
void http_answer_delete(struct http_answer *a);
/** False if no HTTP answer has such a status, or such a header. */
bool http_answer_is_valid(const struct http_answer *a);
struct http_answer *http_answer_copy(const struct http_answer *a);

#endif
