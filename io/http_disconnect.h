/** Detects that a caller disconnects while its request is handled. */
#ifndef JD_IO_HTTP_DISCONNECT_H
#define JD_IO_HTTP_DISCONNECT_H

#include <event2/http.h>

/** Limit of bytes that a connection buffers of pipelined requests. */
#define HTTP_PIPELINED_MAX_BYTES (64 << 10)

/**
 * Makes the close callback of @conn run as soon as the caller disconnects.
 * evhttp stops reading while a request is handled and would not notice, so
 * this enables reading without evhttp's read callback, which must not see a
 * pipelined request before the current one is answered. Pipelined bytes stay
 * in the input buffer, up to HTTP_PIPELINED_MAX_BYTES.
 */
void http_detect_disconnect(struct evhttp_connection *conn);

#endif
