#include "cli/http_call.h"

#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <stdlib.h>
#include <string.h>

#include "core/list.h"
#include "core/mem.h"
#include "io/addr.h"
#include "io/answer_check.h"

#define CONCURRENT_CALLS_MAX 64
#define ANSWER_MAX_BYTES     (16u << 20)

struct http_batch {
	struct event_base *base;
	struct http_get *gets;
	size_t count;
	size_t next;
	size_t running;
	int timeout_ms;
	struct list calls; /* of struct call */
};

/*
 * One call; it ends in on_answer() or on_timeout(). Its connection is
 * freed after the loop, because libevent does not allow that inside the
 * connection's own callback.
 */
struct call {
	struct list link;
	struct http_batch *batch;
	struct http_get *get;
	struct evhttp_connection *conn;
	struct answer_check check;
	struct evhttp_request *req;
	struct event *timer;
};

static void start_pending(struct http_batch *b);

static char *answer_text(const struct call *c, struct evhttp_request *req)
{
	struct evbuffer *b;
	size_t len;

	if (!req || !answer_check_ok(&c->check) ||
	    evhttp_request_get_response_code(req) != HTTP_OK)
		return NULL;
	b = evhttp_request_get_input_buffer(req);
	len = evbuffer_get_length(b);
	return mem_dup(len ? evbuffer_pullup(b, -1) : NULL, len);
}

static void on_answer(struct evhttp_request *req, void *arg)
{
	struct call *c = arg;
	struct http_batch *b = c->batch;

	event_del(c->timer);
	c->get->text = answer_text(c, req);
	b->running--;
	start_pending(b);
}

/* A timeout of evhttp would start anew with each byte of an answer. */
static void on_timeout(evutil_socket_t fd, short what, void *arg)
{
	struct call *c = arg;
	struct http_batch *b = c->batch;

	(void)fd;
	(void)what;
	evhttp_cancel_request(c->req);
	b->running--;
	start_pending(b);
}

static struct evhttp_connection *connect_to(struct event_base *base,
					    const char *addr)
{
	char ip[JD_ADDR_MAX];
	uint16_t port;

	if (!addr_split(addr, ip, sizeof(ip), &port))
		return NULL;
	return evhttp_connection_base_new(base, NULL, ip, port);
}

static void add_headers(struct evhttp_request *req, const char *addr)
{
	struct evkeyvalq *headers = evhttp_request_get_output_headers(req);

	evhttp_add_header(headers, "Host", addr);
	evhttp_add_header(headers, "Connection", "close");
}

static void start_call(struct http_batch *b, struct http_get *get,
		       const char *body)
{
	struct evhttp_connection *conn = connect_to(b->base, get->addr);
	struct timeval tv = {.tv_sec = b->timeout_ms / 1000,
			     .tv_usec = b->timeout_ms % 1000 * 1000};
	struct call *c;

	if (!conn)
		return;
	c = mem_new(struct call);
	c->batch = b;
	c->get = get;
	c->conn = conn;
	answer_check_init(&c->check, conn, ANSWER_MAX_BYTES);
	c->timer = evtimer_new(b->base, on_timeout, c);
	evtimer_add(c->timer, &tv);
	list_push_back(&b->calls, &c->link);
	c->req = evhttp_request_new(on_answer, c);
	add_headers(c->req, get->addr);
	if (body)
		evbuffer_add(evhttp_request_get_output_buffer(c->req), body,
			     strlen(body));
	b->running++;
	/* On failure evhttp frees the request without a callback. */
	if (evhttp_make_request(conn, c->req,
				body ? EVHTTP_REQ_POST : EVHTTP_REQ_GET,
				get->path) != 0) {
		event_del(c->timer);
		b->running--;
	}
}

static void start_pending(struct http_batch *b)
{
	while (b->next < b->count && b->running < CONCURRENT_CALLS_MAX)
		start_call(b, &b->gets[b->next++], NULL);
}

static void http_batch_init(struct http_batch *b, int timeout_ms)
{
	memset(b, 0, sizeof(*b));
	b->base = event_base_new();
	b->timeout_ms = timeout_ms;
	list_init(&b->calls);
}

static void http_batch_done(struct http_batch *b)
{
	struct call *c, *tmp;

	list_for_each_entry_safe(c, tmp, &b->calls, link) {
		evhttp_connection_free(c->conn);
		event_free(c->timer);
		free(c);
	}
	event_base_free(b->base);
}

void http_get_all(struct http_get *gets, size_t count, int timeout_ms)
{
	struct http_batch b;

	http_batch_init(&b, timeout_ms);
	b.gets = gets;
	b.count = count;
	start_pending(&b);
	event_base_dispatch(b.base);
	http_batch_done(&b);
}

char *http_call(const char *addr, const char *path, const char *body,
		int timeout_ms, struct status *st)
{
	struct http_get get = {.path = path};
	struct http_batch b;

	http_batch_init(&b, timeout_ms);
	mem_copy_str(get.addr, addr, sizeof(get.addr));
	start_call(&b, &get, body);
	if (!b.running) {
		status_set(st, STATUS_UNAVAILABLE, "%s is not a valid address",
			   addr);
	} else {
		event_base_dispatch(b.base);
		if (!get.text)
			status_set(st, STATUS_UNKNOWN, "no answer from %s",
				   addr);
	}
	http_batch_done(&b);
	return get.text;
}
