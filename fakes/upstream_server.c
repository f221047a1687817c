#include "fakes/upstream_server.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>
#include <sys/random.h>

#include "core/mem.h"
#include "io/addr.h"
#include "io/clock.h"
#include "io/http_disconnect.h"

#define ANNOUNCE_EVERY_MS 500
#define CONN_BUCKETS	  64

/** A connection that has carried a request. */
struct conn {
	struct list link; /* in its bucket */
	struct upstream_server *server;
	struct evhttp_connection *http;
	struct running_request *request; /* NULL while idle */
};

struct running_request {
	struct list link; /* in upstream_server.requests */
	struct conn *conn;
	struct evhttp_request *req;
	struct event *timer;
	uint64_t instance; /* of the upstream when it started */
};

struct upstream_server {
	struct upstream_server_opts opts;
	struct upstream_state state;
	struct evhttp *http;
	struct event *timer;
	struct list requests; /* of struct running_request */
	struct list conns[CONN_BUCKETS];
};

static struct timeval timeval_until(uint64_t at_ns)
{
	uint64_t now = clock_now_ns();
	uint64_t left = at_ns > now ? at_ns - now : 0;

	return (struct timeval){
		.tv_sec = (time_t)(left / NS_PER_S),
		.tv_usec = (suseconds_t)(left % NS_PER_S / NS_PER_US)};
}

static const char *in_header(struct evhttp_request *req, const char *name)
{
	const char *v =
		evhttp_find_header(evhttp_request_get_input_headers(req), name);

	return v ? v : "-";
}

static void record(struct upstream_server *s, struct evhttp_request *req,
		   const char *what)
{
	if (!s->opts.record)
		return;
	fprintf(s->opts.record,
		"time_ns=%lu upstream=%s what=%s id=%s fence=%s uri=%s\n",
		(unsigned long)clock_now_ns(), s->opts.addr, what,
		in_header(req, "X-Request-Id"), in_header(req, "X-Fence"),
		evhttp_request_get_uri(req));
	fflush(s->opts.record);
}

static void request_delete(struct running_request *r)
{
	list_remove(&r->link);
	r->conn->request = NULL;
	event_free(r->timer);
	free(r);
}

static void on_caller_disconnected(struct evhttp_connection *http, void *arg)
{
	struct conn *c = arg;
	struct upstream_server *s = c->server;

	evhttp_connection_set_closecb(http, NULL, NULL);
	if (c->request) {
		record(s, c->request->req, "cancelled");
		if (c->request->instance == s->state.instance)
			upstream_state_end_request(&s->state, clock_now_ns());
		/* evhttp detaches an unanswered request and doesn't free it. */
		if (!evhttp_request_get_connection(c->request->req))
			evhttp_request_free(c->request->req);
		request_delete(c->request);
	}
	list_remove(&c->link);
	free(c);
}

static struct conn *conn_get(struct upstream_server *s,
			     struct evhttp_connection *http, bool *is_new)
{
	struct list *bucket = &s->conns[(uintptr_t)http / 64 % CONN_BUCKETS];
	struct conn *c;

	*is_new = false;
	list_for_each_entry(c, bucket, link)
		if (c->http == http)
			return c;
	*is_new = true;
	c = mem_new(struct conn);
	c->server = s;
	c->http = http;
	list_push_back(bucket, &c->link);
	evhttp_connection_set_closecb(http, on_caller_disconnected, c);
	return c;
}

static void reply(struct upstream_server *s, struct evhttp_request *req)
{
	struct evbuffer *b = evbuffer_new();
	struct evbuffer *in = evhttp_request_get_input_buffer(req);

	evbuffer_add_printf(b, "upstream=%s uri=%s fence=%s\n", s->opts.addr,
			    evhttp_request_get_uri(req),
			    in_header(req, "X-Fence"));
	evbuffer_add_buffer(b, in);
	/* evhttp would send a body after HEAD, which HTTP forbids. */
	if (evhttp_request_get_command(req) == EVHTTP_REQ_HEAD)
		evbuffer_drain(b, evbuffer_get_length(b));
	evhttp_send_reply(req, 200, "OK", b);
	evbuffer_free(b);
}

static void on_work_done(evutil_socket_t fd, short what, void *arg)
{
	struct running_request *r = arg;
	struct upstream_server *s = r->conn->server;
	struct evhttp_request *req = r->req;

	(void)fd;
	(void)what;
	record(s, req, "end");
	bufferevent_setwatermark(
		evhttp_connection_get_bufferevent(r->conn->http), EV_READ, 0,
		0);
	upstream_state_end_request(&s->state, clock_now_ns());
	request_delete(r);
	reply(s, req);
}

static void refuse(struct evhttp_request *req, const char *why)
{
	struct evkeyvalq *h = evhttp_request_get_output_headers(req);

	evhttp_add_header(h, "X-Not-Run", why);
	evhttp_add_header(h, "Retry-After", "1");
	/* evhttp_send_error() would drop the headers. */
	evhttp_send_reply(req, 503, "Not Run", NULL);
}

static void on_close_connection(evutil_socket_t fd, short what, void *arg)
{
	(void)fd;
	(void)what;
	evhttp_connection_free(arg);
}

/* Closes from the loop: evhttp still uses the request in this callback. */
static void close_later(struct upstream_server *s, struct evhttp_request *req)
{
	struct evhttp_connection *http = evhttp_request_get_connection(req);
	struct timeval now = {0};

	event_base_once(s->opts.base, -1, EV_TIMEOUT, on_close_connection, http,
			&now);
}

/* Closes the connections of all running requests without an answer. */
static void fall_over(struct upstream_server *s)
{
	struct running_request *r, *tmp;

	list_for_each_entry_safe(r, tmp, &s->requests, link)
		evhttp_connection_free(r->conn->http);
}

static bool parse_fence(const char *text, struct fence *f)
{
	const char *epoch = strrchr(text, '/');
	const char *shard = epoch;

	while (shard && shard > text && *--shard != '/')
		;
	if (!shard || shard == text || shard - text >= JD_NAME_MAX)
		return false;
	memset(f, 0, sizeof(*f));
	memcpy(f->route, text, (size_t)(shard - text));
	f->shard = (uint32_t)strtoul(shard + 1, NULL, 10);
	f->epoch = strtoull(epoch + 1, NULL, 10);
	return true;
}

static void run_request(struct upstream_server *s, struct evhttp_request *req,
			uint64_t end_ns)
{
	struct running_request *r = mem_new(struct running_request);
	struct timeval tv;
	bool is_new;

	r->conn = conn_get(s, evhttp_request_get_connection(req), &is_new);
	r->conn->request = r;
	r->req = req;
	r->instance = s->state.instance;
	list_push_back(&s->requests, &r->link);
	record(s, req, "start");
	tv = timeval_until(end_ns + (is_new ? s->opts.conn_cost_ns : 0));
	r->timer = evtimer_new(s->opts.base, on_work_done, r);
	evtimer_add(r->timer, &tv);
	http_detect_disconnect(r->conn->http);
}

static void on_request(struct upstream_server *s, struct evhttp_request *req)
{
	const char *left = in_header(req, "X-Deadline-Ms");
	uint64_t now = clock_now_ns();
	struct upstream_request r = {.deadline_ns = UINT64_MAX};
	struct fence fence;
	uint64_t end_ns;

	if (parse_fence(in_header(req, "X-Fence"), &fence))
		r.fence = &fence;
	if (*left != '-')
		r.deadline_ns = now + strtoull(left, NULL, 10) * NS_PER_MS;
	switch (upstream_state_start_request(&s->state, &r, now, &end_ns)) {
	case UPSTREAM_RUNS:
		run_request(s, req, end_ns);
		break;
	case UPSTREAM_REFUSED:
		refuse(req, "shed");
		break;
	case UPSTREAM_FENCED:
		refuse(req, "fence");
		break;
	case UPSTREAM_FALLS_OVER:
		fall_over(s);
		close_later(s, req);
		break;
	case UPSTREAM_DOWN:
		close_later(s, req);
		break;
	}
}

static void apply_grant(struct upstream_server *s, json_t *item,
			uint64_t deadline_ns)
{
	struct grant_range g = {0};
	const char *route = json_string_value(json_array_get(item, 0));

	if (!route)
		return;
	mem_copy_str(g.route, route, sizeof(g.route));
	g.first = (uint32_t)json_integer_value(json_array_get(item, 1));
	g.last = (uint32_t)json_integer_value(json_array_get(item, 2));
	g.epoch = (epoch_t)json_integer_value(json_array_get(item, 3));
	upstream_state_grant(&s->state, &g, deadline_ns);
}

static bool apply_grants(struct upstream_server *s, json_t *o)
{
	uint64_t version =
		(uint64_t)json_integer_value(json_object_get(o, "version"));
	uint64_t left = (uint64_t)json_integer_value(
		json_object_get(o, "time_left_ms"));
	uint64_t deadline = clock_now_ns() + left * NS_PER_MS;
	json_t *list = json_object_get(o, "grants");

	if (!list)
		return upstream_state_extend(&s->state, version, deadline);
	if (!upstream_state_replace(&s->state, version))
		return false;
	for (size_t i = 0; i < json_array_size(list); i++)
		apply_grant(s, json_array_get(list, i), deadline);
	return true;
}

/*
 * {"version": v, "grants": [[route, first, last, epoch]...],
 * "time_left_ms": n} replaces the grants held; without "grants" it extends
 * them. The answer is 409 if a replacement has an older version than the grants
 * held, or an extension another version.
 */
static void on_grants(struct upstream_server *s, struct evhttp_request *req)
{
	struct evbuffer *in = evhttp_request_get_input_buffer(req);
	size_t len = evbuffer_get_length(in);
	json_t *o =
		len ? json_loadb((char *)evbuffer_pullup(in, -1), len, 0, NULL)
		    : NULL;
	int code = 400;

	if (o)
		code = apply_grants(s, o) ? 200 : 409;
	json_decref(o);
	evhttp_send_reply(req, code, NULL, NULL);
}

static uint64_t query_u64(const struct evkeyvalq *query, const char *name,
			  uint64_t default_value)
{
	const char *v = evhttp_find_header(query, name);

	return v ? strtoull(v, NULL, 10) : default_value;
}

static bool run_command(struct upstream_server *s, const char *path,
			const struct evkeyvalq *q)
{
	struct upstream_state *u = &s->state;
	uint64_t now = clock_now_ns();

	if (!strcmp(path, "/admin/stall")) {
		u->stall_until_ns = now + query_u64(q, "ms", 1000) * NS_PER_MS;
	} else if (!strcmp(path, "/admin/slow")) {
		u->slow_permille = (uint32_t)query_u64(q, "permille", 10000);
	} else if (!strcmp(path, "/admin/cold")) {
		u->cold_until_ns = now + query_u64(q, "ms", 5000) * NS_PER_MS;
		u->opts.cold_bears =
			(uint32_t)query_u64(q, "bears", u->opts.cold_bears);
	} else if (!strcmp(path, "/admin/drain")) {
		u->draining = query_u64(q, "on", 1) != 0;
	} else if (!strcmp(path, "/admin/lie")) {
		u->report = query_u64(q, "on", 1) ? REPORT_LIES : REPORT_LAGS;
		u->lie_permille = (uint32_t)query_u64(q, "permille", 0);
	} else {
		return false;
	}
	return true;
}

static void on_admin(struct upstream_server *s, struct evhttp_request *req)
{
	const struct evhttp_uri *uri = evhttp_request_get_evhttp_uri(req);
	const char *text = evhttp_uri_get_query(uri);
	struct evkeyvalq query;
	struct evbuffer *b = evbuffer_new();
	bool known;

	evhttp_parse_query_str(text ? text : "", &query);
	known = run_command(s, evhttp_uri_get_path(uri), &query);
	evhttp_clear_headers(&query);
	evbuffer_add_printf(b, "ran=%lu refused=%lu fenced=%lu falls=%lu\n",
			    (unsigned long)s->state.ran,
			    (unsigned long)s->state.refused,
			    (unsigned long)s->state.fenced,
			    (unsigned long)s->state.falls);
	evhttp_send_reply(req, known ? 200 : 404, NULL, b);
	evbuffer_free(b);
}

static void on_http(struct evhttp_request *req, void *arg)
{
	const char *uri = evhttp_request_get_uri(req);

	if (!strcmp(uri, "/-/grants"))
		on_grants(arg, req);
	else if (!strncmp(uri, "/-/", 3))
		evhttp_send_reply(req, 200, "OK", NULL);
	else if (!strncmp(uri, "/admin/", 7))
		on_admin(arg, req);
	else
		on_request(arg, req);
}

static void on_announced(struct evhttp_request *req, void *arg)
{
	(void)req;
	(void)arg;
}

static char *announcement(const struct upstream_server *s)
{
	const struct upstream_state *u = &s->state;
	uint64_t now = clock_now_ns();
	json_t *o =
		json_pack("{s:s,s:s,s:I,s:i,s:i,s:b,s:b,s:b,s:i}", "service",
			  s->opts.service, "addr", s->opts.addr, "instance",
			  (json_int_t)u->instance, "slots", (int)u->opts.slots,
			  "connections", (int)s->opts.connections,
			  "checks_grants", (int)u->opts.checks_grants, "cold",
			  (int)upstream_state_announces_cold(u, now),
			  "draining", (int)u->draining, "load_permille",
			  (int)upstream_state_load(u, now));
	char *text = json_dumps(o, JSON_COMPACT);

	json_decref(o);
	return text;
}

static void announce(struct upstream_server *s)
{
	char ip[JD_ADDR_MAX] = "127.0.0.1";
	uint16_t port = 0;
	struct evhttp_connection *conn;
	struct evhttp_request *req;
	char *body;

	if (!s->opts.node || clock_now_ns() < s->state.down_until_ns)
		return;
	addr_split(s->opts.node, ip, sizeof(ip), &port);
	conn = evhttp_connection_base_new(s->opts.base, NULL, ip, port);
	evhttp_connection_free_on_completion(conn);
	evhttp_connection_set_timeout(conn, 1);
	req = evhttp_request_new(on_announced, NULL);
	body = announcement(s);
	evbuffer_add(evhttp_request_get_output_buffer(req), body, strlen(body));
	free(body);
	evhttp_add_header(evhttp_request_get_output_headers(req), "Host", ip);
	evhttp_add_header(evhttp_request_get_output_headers(req), "Connection",
			  "close");
	evhttp_make_request(conn, req, EVHTTP_REQ_POST, "/-/announce");
}

static void on_announce_timer(evutil_socket_t fd, short what, void *arg)
{
	(void)fd;
	(void)what;
	announce(arg);
}

struct upstream_server *
upstream_server_new(const struct upstream_server_opts *o)
{
	struct timeval interval = {.tv_usec = ANNOUNCE_EVERY_MS * 1000};
	struct upstream_server *s = mem_new(struct upstream_server);
	char ip[JD_ADDR_MAX];
	uint64_t instance;
	uint16_t port;

	if (getrandom(&instance, sizeof(instance), 0) < 0)
		abort();
	s->opts = *o;
	list_init(&s->requests);
	for (int i = 0; i < CONN_BUCKETS; i++)
		list_init(&s->conns[i]);
	upstream_state_init(&s->state, &o->upstream, instance >> 8,
			    clock_now_ns());
	s->http = evhttp_new(o->base);
	evhttp_set_gencb(s->http, on_http, s);
	s->timer = event_new(o->base, -1, EV_PERSIST, on_announce_timer, s);
	if (!addr_split(o->addr, ip, sizeof(ip), &port) ||
	    evhttp_bind_socket(s->http, ip, port) != 0) {
		upstream_server_delete(s);
		return NULL;
	}
	event_add(s->timer, &interval);
	announce(s);
	return s;
}

void upstream_server_delete(struct upstream_server *s)
{
	evhttp_free(s->http);
	event_free(s->timer);
	upstream_state_done(&s->state);
	free(s);
}
