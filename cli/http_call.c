#include "cli/http_call.h"

#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <stdlib.h>
#include <string.h>

#include "core/list.h"
#include "core/mem.h"
#include "io/addr.h"

#define GATHER_AT_ONCE 64

struct gather {
	struct event_base *base;
	struct http_get *gets;
	size_t count;
	size_t next;
	size_t running;
	int timeout_ms;
	struct list calls; /* of struct call */
};

/*
 * One call; it ends in on_answer(), also after its timeout. Connections are
 * freed after the loop: one can't be from inside its own callback.
 */
struct call {
	struct list link;
	struct gather *gather;
	struct http_get *get;
	struct evhttp_connection *conn;
};

static void start_some(struct gather *g);

static char *answer_text(struct evhttp_request *req)
{
	struct evbuffer *b;
	size_t len;

	if (!req || evhttp_request_get_response_code(req) != HTTP_OK)
		return NULL;
	b = evhttp_request_get_input_buffer(req);
	len = evbuffer_get_length(b);
	return mem_dup(len ? evbuffer_pullup(b, -1) : NULL, len);
}

static void on_answer(struct evhttp_request *req, void *arg)
{
	struct call *c = arg;
	struct gather *g = c->gather;

	c->get->text = answer_text(req);
	g->running--;
	start_some(g);
}

static struct evhttp_connection *connect_to(struct event_base *base,
					    const char *addr, int timeout_ms)
{
	struct timeval tv = {.tv_sec = timeout_ms / 1000,
			     .tv_usec = timeout_ms % 1000 * 1000};
	struct evhttp_connection *conn;
	char ip[JD_ADDR_MAX];
	uint16_t port;

	if (!addr_split(addr, ip, sizeof(ip), &port))
		return NULL;
	conn = evhttp_connection_base_new(base, NULL, ip, port);
	evhttp_connection_set_timeout_tv(conn, &tv);
	return conn;
}

static void add_headers(struct evhttp_request *req, const char *addr)
{
	struct evkeyvalq *headers = evhttp_request_get_output_headers(req);

	evhttp_add_header(headers, "Host", addr);
	evhttp_add_header(headers, "Connection", "close");
}

static void start(struct gather *g, struct http_get *get, const char *body)
{
	struct evhttp_connection *conn =
		connect_to(g->base, get->addr, g->timeout_ms);
	struct evhttp_request *req;
	struct call *c;

	if (!conn)
		return;
	c = mem_new(struct call);
	c->gather = g;
	c->get = get;
	c->conn = conn;
	list_push_back(&g->calls, &c->link);
	req = evhttp_request_new(on_answer, c);
	add_headers(req, get->addr);
	if (body)
		evbuffer_add(evhttp_request_get_output_buffer(req), body,
			     strlen(body));
	g->running++;
	evhttp_make_request(conn, req, body ? EVHTTP_REQ_POST : EVHTTP_REQ_GET,
			    get->path);
}

static void start_some(struct gather *g)
{
	while (g->next < g->count && g->running < GATHER_AT_ONCE)
		start(g, &g->gets[g->next++], NULL);
}

static void gather_init(struct gather *g, int timeout_ms)
{
	memset(g, 0, sizeof(*g));
	g->base = event_base_new();
	g->timeout_ms = timeout_ms;
	list_init(&g->calls);
}

static void gather_done(struct gather *g)
{
	struct call *c, *tmp;

	list_for_each_entry_safe(c, tmp, &g->calls, link) {
		evhttp_connection_free(c->conn);
		free(c);
	}
	event_base_free(g->base);
}

void http_get_all(struct http_get *gets, size_t count, int timeout_ms)
{
	struct gather g;

	gather_init(&g, timeout_ms);
	g.gets = gets;
	g.count = count;
	start_some(&g);
	event_base_dispatch(g.base);
	gather_done(&g);
}

char *http_call(const char *addr, const char *path, const char *body,
		int timeout_ms, struct status *st)
{
	struct http_get get = {.path = path};
	struct gather g;

	gather_init(&g, timeout_ms);
	mem_copy_str(get.addr, addr, sizeof(get.addr));
	start(&g, &get, body);
	if (!g.running) {
		status_set(st, STATUS_UNAVAILABLE, "%s is no address", addr);
	} else {
		event_base_dispatch(g.base);
		if (!get.text)
			status_set(st, STATUS_UNKNOWN, "no answer from %s",
				   addr);
	}
	gather_done(&g);
	return get.text;
}
