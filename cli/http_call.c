#include "cli/http_call.h"

#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <stdlib.h>
#include <string.h>

#include "core/mem.h"
#include "core/types.h"
#include "io/addr.h"

struct http_call {
	struct event_base *base;
	char *text;
};

static void on_answer(struct evhttp_request *req, void *arg)
{
	struct http_call *c = arg;

	if (req && evhttp_request_get_response_code(req) == HTTP_OK) {
		struct evbuffer *b = evhttp_request_get_input_buffer(req);
		size_t len = evbuffer_get_length(b);

		c->text = mem_dup(len ? evbuffer_pullup(b, -1) : NULL, len);
	}
	event_base_loopbreak(c->base);
}

char *http_call(const char *addr, const char *path, const char *body,
		int timeout_ms, struct status *st)
{
	struct timeval tv = {.tv_sec = timeout_ms / 1000,
			     .tv_usec = timeout_ms % 1000 * 1000};
	struct http_call c = {0};
	struct evhttp_connection *conn;
	struct evhttp_request *req;
	char ip[JD_ADDR_MAX];
	uint16_t port;

	if (!addr_split(addr, ip, sizeof(ip), &port)) {
		status_set(st, STATUS_UNAVAILABLE, "%s is no address", addr);
		return NULL;
	}
	c.base = event_base_new();
	conn = evhttp_connection_base_new(c.base, NULL, ip, port);
	req = evhttp_request_new(on_answer, &c);
	evhttp_add_header(evhttp_request_get_output_headers(req), "Host", addr);
	evhttp_add_header(evhttp_request_get_output_headers(req), "Connection",
			  "close");
	if (body)
		evbuffer_add(evhttp_request_get_output_buffer(req), body,
			     strlen(body));
	evhttp_make_request(conn, req, body ? EVHTTP_REQ_POST : EVHTTP_REQ_GET,
			    path);
	event_base_loopexit(c.base, &tv);
	event_base_dispatch(c.base);
	evhttp_connection_free(conn);
	event_base_free(c.base);
	if (!c.text)
		status_set(st, STATUS_UNKNOWN, "no answer from %s", addr);
	return c.text;
}
