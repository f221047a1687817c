#include "io/upstream_client.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "core/mem.h"
#include "core/text.h"
#include "io/addr.h"
#include "io/clock.h"
#include "io/http_convert.h"

/* An upstream says so when it did not run a request that it refuses. */
#define HEADER_NOT_RUN "X-Not-Run"

/* A connection to the upstream, kept for the next call. */
struct conn {
	struct list link; /* in idle or busy */
	struct upstream_client *client;
	char addr[JD_ADDR_MAX];
	struct evhttp_connection *http;
	struct call_out *call; /* NULL while idle */
};

struct call_out {
	struct evhttp_request *req;
	struct event *timer;
	struct act_upstream_call act;
	bool wrote; /* a byte left the process */
};

struct upstream_client {
	struct event_base *base;
	upstream_done_fn done;
	void *arg;
	struct list idle; /* of struct conn */
	struct list busy; /* of struct conn */
};

struct upstream_client *upstream_client_new(struct event_base *base,
					    upstream_done_fn done, void *arg)
{
	struct upstream_client *u = mem_new(struct upstream_client);

	u->base = base;
	u->done = done;
	u->arg = arg;
	list_init(&u->idle);
	list_init(&u->busy);
	return u;
}

static void call_out_delete(struct call_out *c)
{
	if (!c)
		return;
	if (c->timer)
		event_free(c->timer);
	http_request_delete(c->act.request);
	free(c);
}

static void conn_delete(struct conn *cn)
{
	list_remove(&cn->link);
	evhttp_connection_free(cn->http);
	call_out_delete(cn->call);
	free(cn);
}

void upstream_client_delete(struct upstream_client *u)
{
	struct conn *cn, *tmp;

	list_for_each_entry_safe(cn, tmp, &u->idle, link)
		conn_delete(cn);
	list_for_each_entry_safe(cn, tmp, &u->busy, link)
		conn_delete(cn);
	free(u);
}

/* Sees bytes leave for the upstream: from then on it may act on them. */
static void on_output(struct evbuffer *b, const struct evbuffer_cb_info *info,
		      void *arg)
{
	struct conn *cn = arg;

	(void)b;
	if (info->n_deleted && cn->call)
		cn->call->wrote = true;
}

static struct conn *conn_new(struct upstream_client *u, const char *addr)
{
	struct conn *cn = mem_new(struct conn);
	struct bufferevent *bev;
	char ip[JD_ADDR_MAX] = "127.0.0.1";
	uint16_t port = 0;

	cn->client = u;
	mem_copy_str(cn->addr, addr, sizeof(cn->addr));
	addr_split(addr, ip, sizeof(ip), &port);
	cn->http = evhttp_connection_base_new(u->base, NULL, ip, port);
	bev = evhttp_connection_get_bufferevent(cn->http);
	evbuffer_add_cb(bufferevent_get_output(bev), on_output, cn);
	list_push_back(&u->idle, &cn->link);
	return cn;
}

static struct conn *conn_get(struct upstream_client *u, const char *addr)
{
	struct conn *cn;

	list_for_each_entry(cn, &u->idle, link)
		if (!strcmp(cn->addr, addr))
			return cn;
	return conn_new(u, addr);
}

/* Ends the call; evhttp connects anew when the connection was closed. */
static void finish(struct conn *cn, struct ev_upstream_answer *a)
{
	struct upstream_client *u = cn->client;
	struct call_out *c = cn->call;

	a->call = c->act.call;
	cn->call = NULL;
	list_remove(&cn->link);
	list_push_front(&u->idle, &cn->link);
	call_out_delete(c);
	u->done(u->arg, a);
}

static void fail(struct conn *cn, enum refusal late)
{
	bool wrote = cn->call->wrote;
	struct ev_upstream_answer a = {
		.outcome = wrote ? OUTCOME_UNKNOWN : OUTCOME_NOT_RUN,
		.refusal = wrote ? late : REFUSAL_UPSTREAM_DOWN,
	};

	finish(cn, &a);
}

static void on_answer(struct evhttp_request *req, void *arg)
{
	struct conn *cn = arg;
	struct ev_upstream_answer a = {.outcome = OUTCOME_DONE};

	if (!cn->call)
		return;
	if (!req || !evhttp_request_get_response_code(req)) {
		fail(cn, REFUSAL_CONNECTION_LOST);
		return;
	}
	if (evhttp_find_header(evhttp_request_get_input_headers(req),
			       HEADER_NOT_RUN)) {
		a.outcome = OUTCOME_NOT_RUN;
		a.refusal = REFUSAL_UPSTREAM_SHED;
	} else {
		a.answer = http_answer_from_evhttp(req);
	}
	finish(cn, &a);
}

/* Nobody waits any more; closing the connection tells the upstream. */
static void abandon(struct conn *cn, enum refusal why)
{
	evhttp_cancel_request(cn->call->req);
	fail(cn, why);
}

static void on_late(evutil_socket_t fd, short what, void *arg)
{
	(void)fd;
	(void)what;
	abandon(arg, REFUSAL_NO_ANSWER);
}

static void add_headers(struct evhttp_request *req,
			const struct act_upstream_call *a, uint64_t now_ns)
{
	struct evkeyvalq *h = evhttp_request_get_output_headers(req);
	char text[64];

	evhttp_add_header(h, "Host", a->addr);
	text_format(text, sizeof(text), "%016lx-%lu", (unsigned long)a->id.node,
		    (unsigned long)a->id.counter);
	evhttp_add_header(h, "X-Request-Id", text);
	text_format(text, sizeof(text), "%lu",
		    (unsigned long)((a->deadline_ns - now_ns) / NS_PER_MS));
	evhttp_add_header(h, "X-Deadline-Ms", text);
	if (!a->fence.epoch)
		return;
	text_format(text, sizeof(text), "%s/%u/%lu", a->fence.route,
		    a->fence.shard, (unsigned long)a->fence.epoch);
	evhttp_add_header(h, "X-Fence", text);
}

static void refuse(struct upstream_client *u, struct act_upstream_call *call,
		   enum refusal why)
{
	struct ev_upstream_answer a = {
		.call = call->call, .outcome = OUTCOME_NOT_RUN, .refusal = why};

	http_request_delete(call->request);
	call->request = NULL;
	u->done(u->arg, &a);
}

static void start_timer(struct conn *cn, uint64_t now_ns)
{
	uint64_t left = cn->call->act.deadline_ns - now_ns;
	struct timeval tv = {
		.tv_sec = (time_t)(left / NS_PER_S),
		.tv_usec = (suseconds_t)(left % NS_PER_S / NS_PER_US)};

	cn->call->timer = evtimer_new(cn->client->base, on_late, cn);
	evtimer_add(cn->call->timer, &tv);
}

void upstream_client_call(struct upstream_client *u,
			  struct act_upstream_call *call)
{
	struct conn *cn = conn_get(u, call->addr);
	enum evhttp_cmd_type type = EVHTTP_REQ_GET;
	struct evhttp_request *req;
	uint64_t now;

	cn->call = mem_new(struct call_out);
	list_remove(&cn->link);
	list_push_back(&u->busy, &cn->link);
	http_method(call->request->method, &type);
	req = evhttp_request_new(on_answer, cn);
	cn->call->req = req;
	http_to_evhttp(&call->request->payload, req);
	now = clock_now_ns();
	if (now >= call->write_before_ns || now >= call->deadline_ns) {
		evhttp_request_free(req);
		free(cn->call);
		cn->call = NULL;
		list_remove(&cn->link);
		list_push_front(&u->idle, &cn->link);
		refuse(u, call,
		       now >= call->deadline_ns ? REFUSAL_DEADLINE
						: REFUSAL_NO_LEASE);
		return;
	}
	cn->call->act = *call;
	call->request = NULL;
	add_headers(req, &cn->call->act, now);
	start_timer(cn, now);
	evhttp_make_request(cn->http, req, type, cn->call->act.request->target);
}

void upstream_client_cancel(struct upstream_client *u, uint64_t call)
{
	struct conn *cn, *tmp;

	list_for_each_entry_safe(cn, tmp, &u->busy, link) {
		if (!cn->call || cn->call->act.call != call)
			continue;
		abandon(cn, REFUSAL_CONNECTION_LOST);
		return;
	}
}

static void on_granted(struct evhttp_request *req, void *arg)
{
	(void)req;
	(void)arg;
}

static char *grant_json(const struct act_grant *g)
{
	const struct grant_range *r;
	json_t *o = json_object();
	json_t *list = json_array();
	uint64_t now = clock_now_ns();
	char *text;

	list_for_each_entry(r, &g->ranges, link)
		json_array_append_new(
			list, json_pack("[s,i,i,I]", r->route, (int)r->first,
					(int)r->last, (json_int_t)r->epoch));
	json_object_set_new(o, "grants", list);
	json_object_set_new(
		o, "time_left_ms",
		json_integer(g->deadline_ns > now
				     ? (json_int_t)((g->deadline_ns - now) /
						    NS_PER_MS)
				     : 0));
	text = json_dumps(o, JSON_COMPACT);
	json_decref(o);
	return text;
}

void upstream_client_grant(struct upstream_client *u, const struct act_grant *g)
{
	char ip[JD_ADDR_MAX] = "127.0.0.1";
	struct evhttp_connection *conn;
	struct evhttp_request *req;
	uint16_t port = 0;
	char *body = grant_json(g);

	addr_split(g->addr, ip, sizeof(ip), &port);
	conn = evhttp_connection_base_new(u->base, NULL, ip, port);
	evhttp_connection_free_on_completion(conn);
	evhttp_connection_set_timeout(conn, 2);
	req = evhttp_request_new(on_granted, NULL);
	evhttp_add_header(evhttp_request_get_output_headers(req), "Host",
			  g->addr);
	evhttp_add_header(evhttp_request_get_output_headers(req), "Connection",
			  "close");
	evbuffer_add(evhttp_request_get_output_buffer(req), body, strlen(body));
	free(body);
	evhttp_make_request(conn, req, EVHTTP_REQ_POST, "/-/grants");
}
