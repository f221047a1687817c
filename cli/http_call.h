/** One blocking HTTP call, for the command line. */
#ifndef JD_CLI_HTTP_CALL_H
#define JD_CLI_HTTP_CALL_H

#include <jansson.h>

#include "core/status.h"

/**
 * POSTs @body (GETs when NULL) to @path at @addr within @timeout_ms. The
 * answer's text, free() it; NULL with a status: UNAVAILABLE when nothing
 * can have taken effect, else UNKNOWN.
 */
char *http_call(const char *addr, const char *path, const char *body,
		int timeout_ms, struct status *st);

#endif
