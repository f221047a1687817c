#include "io/frontend.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http.h>
#include <fcntl.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "core/mem.h"
#include "core/refusal.h"
#include "core/request_key.h"
#include "core/text.h"
#include "io/addr.h"
#include "io/clock.h"
#include "io/http_convert.h"
#include "io/http_disconnect.h"
#include "io/linger.h"

#define CALLER_BUCKETS	     1024
#define HEADERS_MAX_BYTES    (32 << 10)
#define CONNECTION_TIMEOUT_S 120
#define HTTP_BAD_GATEWAY     502
#define HTTP_GATEWAY_TIMEOUT 504

struct frontend {
	struct frontend_opts opts;
	struct evhttp *http;
	struct linger_set *lingers;	     /* connections being closed */
	struct list callers[CALLER_BUCKETS]; /* of struct caller */
	uint64_t next_caller;
	uint32_t pending;
	bool draining;
};

/* A caller's request, until its answer is written or the caller disconnects. */
struct caller {
	struct list link;
	struct frontend *frontend;
	uint64_t id;
	struct evhttp_request *req;
	struct evhttp_connection *conn;
	bool answering; /* the answer is being written */
};

static void caller_delete(struct caller *c)
{
	list_remove(&c->link);
	c->frontend->pending--;
	free(c);
}

static void on_connection_closed(struct evhttp_connection *conn, void *arg)
{
	struct caller *c = arg;
	struct frontend *f = c->frontend;
	struct event ev = {.kind = EV_CALLER_DISCONNECTED,
			   .now_ns = clock_now_ns(),
			   .u.caller_disconnected.caller = c->id};
	bool answering = c->answering;

	evhttp_connection_set_closecb(conn, NULL, NULL);
	/* evhttp does not free a request that it has detached unanswered. */
	if (!evhttp_request_get_connection(c->req))
		evhttp_request_free(c->req);
	caller_delete(c);
	if (!answering)
		f->opts.on_event(f->opts.arg, &ev);
}

/* evhttp is about to close @conn, whose answers are written. */
static void on_connection_unused(struct evhttp_connection *conn, void *arg)
{
	struct frontend *f = arg;
	struct bufferevent *bev = evhttp_connection_get_bufferevent(conn);
	int fd = fcntl(bufferevent_getfd(bev), F_DUPFD_CLOEXEC, 0);

	if (fd >= 0)
		linger_close(f->lingers, fd);
}

static void on_answer_written(struct evhttp_request *req, void *arg)
{
	struct caller *c = arg;

	(void)req;
	bufferevent_setwatermark(evhttp_connection_get_bufferevent(c->conn),
				 EV_READ, 0, 0);
	evhttp_connection_set_closecb(c->conn, on_connection_unused,
				      c->frontend);
	caller_delete(c);
}

static struct caller *caller_find(struct frontend *f, uint64_t id)
{
	struct caller *c;

	list_for_each_entry(c, &f->callers[id % CALLER_BUCKETS], link)
		if (c->id == id)
			return c;
	return NULL;
}

static struct caller *caller_new(struct frontend *f, struct evhttp_request *req)
{
	struct caller *c = mem_new(struct caller);

	c->frontend = f;
	c->id = f->next_caller++;
	c->req = req;
	c->conn = evhttp_request_get_connection(req);
	list_push_back(&f->callers[c->id % CALLER_BUCKETS], &c->link);
	f->pending++;
	evhttp_connection_set_closecb(c->conn, on_connection_closed, c);
	http_detect_disconnect(c->conn);
	return c;
}

static void reply_text(struct evhttp_request *req, int code, const char *text)
{
	struct evbuffer *b = evbuffer_new();

	evbuffer_add(b, text, strlen(text));
	evhttp_send_reply(req, code, NULL, b);
	evbuffer_free(b);
}

static void handle_request(struct frontend *f, struct evhttp_request *req)
{
	struct http_request *r = http_request_from_evhttp(req);
	struct event ev = {.kind = EV_REQUEST, .now_ns = clock_now_ns()};

	if (!r) {
		evhttp_add_header(evhttp_request_get_output_headers(req),
				  "X-Jackdaw-Outcome", "not_run");
		reply_text(req, 405, "outcome=not_run reason=bad_request\n");
		return;
	}
	ev.u.request.caller = caller_new(f, req)->id;
	ev.u.request.request = r;
	ev.u.request.oversized = r->payload.body_len > f->opts.max_body_bytes;
	if (ev.u.request.oversized)
		payload_set_body(&r->payload, NULL, 0);
	f->opts.on_event(f->opts.arg, &ev);
}

static uint32_t json_u32(json_t *o, const char *key)
{
	json_int_t v = json_integer_value(json_object_get(o, key));

	return v > 0 && v < UINT32_MAX ? (uint32_t)v : 0;
}

static bool parse_announcement(struct evhttp_request *req,
			       struct ev_announcement *a)
{
	struct evbuffer *in = evhttp_request_get_input_buffer(req);
	size_t len = evbuffer_get_length(in);
	json_t *o =
		len ? json_loadb((char *)evbuffer_pullup(in, -1), len, 0, NULL)
		    : NULL;
	const char *service = json_string_value(json_object_get(o, "service"));
	const char *addr = json_string_value(json_object_get(o, "addr"));
	bool ok = service && *service && addr;

	if (ok) {
		mem_copy_str(a->service, service, sizeof(a->service));
		mem_copy_str(a->addr, addr, sizeof(a->addr));
		a->instance = (uint64_t)json_integer_value(
			json_object_get(o, "instance"));
		a->slots = json_u32(o, "slots");
		a->connections = json_u32(o, "connections");
		a->checks_grants =
			json_is_true(json_object_get(o, "checks_grants"));
		a->cold = json_is_true(json_object_get(o, "cold"));
		a->draining = json_is_true(json_object_get(o, "draining"));
		a->load_permille = json_u32(o, "load_permille");
		ok = a->instance && a->slots;
	}
	json_decref(o);
	return ok;
}

static void handle_announcement(struct frontend *f, struct evhttp_request *req)
{
	struct event ev = {.kind = EV_ANNOUNCEMENT, .now_ns = clock_now_ns()};

	if (!parse_announcement(req, &ev.u.announce)) {
		reply_text(req, 400, "announcement is broken\n");
		return;
	}
	reply_text(req, 200, "ok\n");
	f->opts.on_event(f->opts.arg, &ev);
}

static void handle_internal(struct frontend *f, struct evhttp_request *req,
			    const char *path)
{
	char *page;

	if (!strcmp(path, "/announce")) {
		handle_announcement(f, req);
		return;
	}
	page = f->opts.page(f->opts.arg, path);
	reply_text(req, page ? 200 : 404, page ? page : "no such page\n");
	free(page);
}

static void on_http_request(struct evhttp_request *req, void *arg)
{
	char *target = http_target_path(evhttp_request_get_uri(req));

	if (!strncmp(target, "/-/", 3))
		handle_internal(arg, req, target + 2);
	else
		handle_request(arg, req);
	free(target);
}

struct frontend *frontend_new(const struct frontend_opts *o, struct status *st)
{
	struct frontend *f = mem_new(struct frontend);
	char ip[JD_ADDR_MAX];
	uint16_t port;

	f->opts = *o;
	f->next_caller = 1;
	for (int i = 0; i < CALLER_BUCKETS; i++)
		list_init(&f->callers[i]);
	f->lingers = linger_set_new(&(struct linger_opts){.base = o->base});
	f->http = evhttp_new(o->base);
	evhttp_set_max_body_size(
		f->http,
		(ev_ssize_t)(o->max_body_bytes + FRONTEND_BODY_SLACK_BYTES));
	evhttp_set_max_headers_size(f->http, HEADERS_MAX_BYTES);
	evhttp_set_timeout(f->http, CONNECTION_TIMEOUT_S);
	evhttp_set_allowed_methods(
		f->http, EVHTTP_REQ_GET | EVHTTP_REQ_HEAD | EVHTTP_REQ_POST |
				 EVHTTP_REQ_PUT | EVHTTP_REQ_DELETE |
				 EVHTTP_REQ_PATCH | EVHTTP_REQ_OPTIONS);
	evhttp_set_gencb(f->http, on_http_request, f);
	if (addr_split(o->addr, ip, sizeof(ip), &port) &&
	    evhttp_bind_socket(f->http, ip, port) == 0)
		return f;
	status_set(st, STATUS_IO, "%s can't be bound", o->addr);
	frontend_delete(f);
	return NULL;
}

void frontend_delete(struct frontend *f)
{
	for (int i = 0; i < CALLER_BUCKETS; i++) {
		struct caller *c, *tmp;

		list_for_each_entry_safe(c, tmp, &f->callers[i], link) {
			evhttp_connection_set_closecb(c->conn, NULL, NULL);
			caller_delete(c);
		}
	}
	evhttp_free(f->http);
	linger_set_delete(f->lingers);
	free(f);
}

uint32_t frontend_pending(const struct frontend *f)
{
	return f->pending + linger_undelivered(f->lingers);
}

/*
 * Some codes, such as 503, make callers send the request again. A request that
 * may have run gets 502 or 504 instead.
 */
static int reply_http_code(const struct act_reply *r)
{
	int code = refusal_find(r->refusal)->http_code;

	return r->outcome == OUTCOME_NOT_RUN || code == HTTP_BAD_GATEWAY
		       ? code
		       : HTTP_GATEWAY_TIMEOUT;
}

static void send_refusal(struct evhttp_request *req, const struct act_reply *r)
{
	const char *reason = refusal_find(r->refusal)->name;
	char text[128];

	text_format(text, sizeof(text), "outcome=%s reason=%s\n",
		    outcome_name(r->outcome), reason);
	evhttp_add_header(evhttp_request_get_output_headers(req),
			  "X-Jackdaw-Reason", reason);
	reply_text(req, reply_http_code(r), text);
}

static void add_headers(const struct frontend *f, struct evkeyvalq *headers,
			const struct act_reply *r)
{
	char number[16];

	evhttp_add_header(headers, "X-Jackdaw-Outcome",
			  outcome_name(r->outcome));
	if (r->served_by[0])
		evhttp_add_header(headers, "X-Jackdaw-Served-By", r->served_by);
	if (r->region[0])
		evhttp_add_header(headers, "X-Jackdaw-Region", r->region);
	if (r->entry_addr[0])
		evhttp_add_header(headers, "X-Jackdaw-Entry", r->entry_addr);
	if (r->retry_after_s) {
		text_format(number, sizeof(number), "%u", r->retry_after_s);
		evhttp_add_header(headers, "Retry-After", number);
	}
	if (f->draining)
		evhttp_add_header(headers, "Connection", "close");
}

void frontend_reply(struct frontend *f, const struct act_reply *r)
{
	struct caller *c = caller_find(f, r->caller);

	if (!c || c->answering)
		return;
	c->answering = true;
	evhttp_request_set_on_complete_cb(c->req, on_answer_written, c);
	add_headers(f, evhttp_request_get_output_headers(c->req), r);
	if (!r->answer) {
		send_refusal(c->req, r);
		return;
	}
	payload_to_evhttp(&r->answer->payload, c->req);
	evhttp_send_reply(c->req, r->answer->code, NULL, NULL);
}

void frontend_drain(struct frontend *f)
{
	f->draining = true;
}
