/** Blocking HTTP calls for the command line, one or many in parallel. */
#ifndef JD_CLI_HTTP_CALL_H
#define JD_CLI_HTTP_CALL_H

#include <stddef.h>

#include "core/status.h"
#include "core/types.h"

/** One of the GETs of http_get_all(). */
struct http_get {
	char addr[JD_ADDR_MAX];
	const char *path;
	char *text; /* body of the answer, free() it; NULL without one */
};

/**
 * POSTs @body to @path at @addr, or GETs @path if @body is NULL. Returns the
 * body of the answer, free() it. Returns NULL without a 200 answer within
 * @timeout_ms; then @st is UNAVAILABLE if @addr is invalid and nothing was
 * sent, else UNKNOWN: the call may have taken effect.
 */
char *http_call(const char *addr, const char *path, const char *body,
		int timeout_ms, struct status *st);

/** Runs @count GETs, some dozens in parallel, each within @timeout_ms. */
void http_get_all(struct http_get *gets, size_t count, int timeout_ms);

#endif
