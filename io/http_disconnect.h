/** Lets a server see callers go away while their request runs. */
#ifndef JD_IO_HTTP_DISCONNECT_H
#define JD_IO_HTTP_DISCONNECT_H

#include <event2/http.h>

/** Bytes of next requests that may wait in a connection's buffer. */
#define HTTP_PIPELINED_MAX_BYTES (64 << 10)

/**
 * While a request runs evhttp does not read, and would not see the caller go.
 * From here on the connection's close callback comes at once. Bytes of a next
 * request wait in the buffer, up to the mark: evhttp's own callback must not
 * see them before it is ready for them.
 */
void http_detect_disconnect(struct evhttp_connection *conn);

#endif
