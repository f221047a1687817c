/** HTTP calls for the command line: blocking, several at once. */
#ifndef JD_CLI_HTTP_CALL_H
#define JD_CLI_HTTP_CALL_H

#include <stddef.h>

#include "core/status.h"
#include "core/types.h"

/** One GET of a gathering. */
struct http_get {
	char addr[JD_ADDR_MAX];
	const char *path;
	char *text; /* the answer, free() it; NULL for none */
};

/**
 * POSTs @body (GETs when NULL) to @path at @addr within @timeout_ms. The
 * answer's text, free() it; NULL with a status: UNAVAILABLE when nothing
 * can have taken effect, else UNKNOWN.
 */
char *http_call(const char *addr, const char *path, const char *body,
		int timeout_ms, struct status *st);

/** Runs all @count GETs, some dozens at a time, each within @timeout_ms. */
void http_get_all(struct http_get *gets, size_t count, int timeout_ms);

#endif
