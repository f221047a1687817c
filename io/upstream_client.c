#include "io/upstream_client.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http.h>
#include <jansson.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include "core/mem.h"
#include "core/text.h"
#include "io/addr.h"
#include "io/answer_check.h"
#include "io/clock.h"
#include "io/http_convert.h"
#include "io/log.h"
#include "io/socket_opts.h"

#define HEADER_REQUEST_ID      "X-Request-Id"
#define REQUEST_ID_MAX	       64
/* Header of the upstream's answer to a request that it rejected unexecuted. */
#define HEADER_NOT_RUN	       "X-Not-Run"
/* Value of that header if the upstream holds no valid grant for the fence. */
#define NOT_RUN_FENCE	       "fence"
#define GRANT_TIMEOUT_S	       2
/* Of an answer to grants; only its status is read. */
#define GRANT_ANSWER_MAX_BYTES (64u << 10)

/* A connection to the upstream, reused by later calls. */
struct upstream_conn {
	struct list link; /* in idle or busy */
	struct upstream_client *client;
	char addr[JD_ADDR_MAX];
	struct evhttp_connection *http;
	struct answer_check check;
	struct pending_call *call; /* NULL while idle */
	bool echoes_ids;	   /* the upstream has echoed a request's id */
	/* evhttp's callback and argument, while on_connect() replaces them. */
	bufferevent_event_cb evhttp_event_cb;
	void *evhttp_arg;
};

struct pending_call {
	struct evhttp_request *req;
	struct event *timer;
	struct act_upstream_call act;
	bool written;	       /* at least one byte was written to the socket */
	enum refusal not_sent; /* why it was aborted before that */
	bool too_large;	       /* the answer exceeded a limit */
};

struct upstream_client {
	struct event_base *base;
	upstream_done_fn done;
	void *arg;
	struct list idle;   /* of struct upstream_conn */
	struct list busy;   /* of struct upstream_conn */
	struct list grants; /* of struct grant_call */
};

/* A request that delivers grants, on a connection of its own. */
struct grant_call {
	struct list link;
	struct upstream_client *client;
	struct evhttp_connection *http;
	struct answer_check check;
	struct event *delete_timer;
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
	list_init(&u->grants);
	return u;
}

static void grant_delete(struct grant_call *g)
{
	list_remove(&g->link);
	evhttp_connection_free(g->http);
	event_free(g->delete_timer);
	free(g);
}

static void pending_call_delete(struct pending_call *c)
{
	if (!c)
		return;
	if (c->timer)
		event_free(c->timer);
	http_request_unref(c->act.request);
	free(c);
}

static void conn_delete(struct upstream_conn *cn)
{
	list_remove(&cn->link);
	evhttp_connection_free(cn->http);
	pending_call_delete(cn->call);
	free(cn);
}

void upstream_client_delete(struct upstream_client *u)
{
	struct upstream_conn *cn, *tmp;
	struct grant_call *g, *gt;

	list_for_each_entry_safe(cn, tmp, &u->idle, link)
		conn_delete(cn);
	list_for_each_entry_safe(cn, tmp, &u->busy, link)
		conn_delete(cn);
	list_for_each_entry_safe(g, gt, &u->grants, link)
		grant_delete(g);
	free(u);
}

/* Once a byte is written, the upstream may have run the request. */
static void on_output_change(struct evbuffer *b,
			     const struct evbuffer_cb_info *info, void *arg)
{
	struct upstream_conn *cn = arg;

	(void)b;
	if (info->n_deleted && cn->call)
		cn->call->written = true;
}

static struct upstream_conn *conn_new(struct upstream_client *u,
				      const char *addr)
{
	struct upstream_conn *cn = mem_new(struct upstream_conn);
	char ip[JD_ADDR_MAX] = "127.0.0.1";
	uint16_t port = 0;

	cn->client = u;
	mem_copy_str(cn->addr, addr, sizeof(cn->addr));
	addr_split(addr, ip, sizeof(ip), &port);
	cn->http = evhttp_connection_base_new(u->base, NULL, ip, port);
	answer_check_init(&cn->check, cn->http, HTTP_ANSWER_MAX_BYTES);
	evbuffer_add_cb(bufferevent_get_output(
				evhttp_connection_get_bufferevent(cn->http)),
			on_output_change, cn);
	list_push_back(&u->idle, &cn->link);
	return cn;
}

static struct bufferevent *conn_bev(const struct upstream_conn *cn)
{
	return evhttp_connection_get_bufferevent(cn->http);
}

/*
 * False if bytes were received that belong to no request: the next answer would
 * be parsed from them.
 */
static bool can_reuse(const struct upstream_conn *cn)
{
	int fd = bufferevent_getfd(conn_bev(cn));

	return !evbuffer_get_length(bufferevent_get_input(conn_bev(cn))) &&
	       (fd < 0 || socket_is_idle(fd));
}

/* The idle connection used last, else a new one. Deletes unusable ones. */
static struct upstream_conn *conn_get(struct upstream_client *u,
				      const char *addr)
{
	struct upstream_conn *cn, *tmp;

	list_for_each_entry_safe(cn, tmp, &u->idle, link) {
		if (!strcmp(cn->addr, addr) && can_reuse(cn))
			return cn;
		conn_delete(cn);
	}
	return conn_new(u, addr);
}

/* The connection becomes idle; evhttp reconnects it if it was closed. */
static void complete_call(struct upstream_conn *cn,
			  struct ev_upstream_answer *a)
{
	struct upstream_client *u = cn->client;
	struct pending_call *c = cn->call;

	a->call = c->act.call;
	cn->call = NULL;
	list_remove(&cn->link);
	list_push_front(&u->idle, &cn->link);
	pending_call_delete(c);
	u->done(u->arg, a);
}

static void fail_call(struct upstream_conn *cn, enum refusal why)
{
	const struct pending_call *c = cn->call;
	struct ev_upstream_answer a = {.outcome = OUTCOME_UNKNOWN,
				       .refusal = why};

	if (!c->written) {
		a.outcome = OUTCOME_NOT_RUN;
		a.refusal = c->not_sent != REFUSAL_NONE ? c->not_sent
							: REFUSAL_UPSTREAM_DOWN;
	}

	complete_call(cn, &a);
}

static void format_request_id(char *text, size_t cap,
			      const struct act_upstream_call *a)
{
	text_format(text, cap, "%016lx-%lu", (unsigned long)a->id.node,
		    (unsigned long)a->id.counter);
}

/*
 * True if the answer has the id of another request. An upstream that does not
 * echo ids may send ids of its own, except in a refusal.
 */
static bool has_other_id(struct upstream_conn *cn, const char *id,
			 bool is_refusal)
{
	char sent[REQUEST_ID_MAX];

	if (!id)
		return false;
	format_request_id(sent, sizeof(sent), &cn->call->act);
	if (strcmp(id, sent) != 0)
		return cn->echoes_ids || is_refusal;
	cn->echoes_ids = true;
	return false;
}

/* True if a 204 declares a body, which may follow as if it were an answer. */
static bool declares_undue_body(struct evhttp_request *req)
{
	const struct evkeyvalq *h = evhttp_request_get_input_headers(req);
	const char *length = evhttp_find_header(h, "Content-Length");

	return evhttp_request_get_response_code(req) == HTTP_NOCONTENT &&
	       (evhttp_find_header(h, "Transfer-Encoding") ||
		(length && strcmp(length, "0") != 0));
}

static bool is_valid_head(const struct upstream_conn *cn,
			  struct evhttp_request *req)
{
	if (!answer_check_ok(&cn->check))
		return false;
	if (http_check_answer_head(req))
		return true;
	log_event(LOG_WARN, "event=answer_invalid why=head code=%d addr=%s",
		  evhttp_request_get_response_code(req), cn->addr);
	return false;
}

/*
 * Makes evhttp close the connection after a refusal: a second copy of it, sent
 * on a kept connection, would be taken for the answer to the next request.
 */
static int on_head(struct evhttp_request *req, void *arg)
{
	struct upstream_conn *cn = arg;
	struct evkeyvalq *h = evhttp_request_get_input_headers(req);
	bool is_refusal = evhttp_find_header(h, HEADER_NOT_RUN) != NULL;

	if (!cn->call)
		return -1;
	if (!is_valid_head(cn, req))
		return -1;
	if (has_other_id(cn, evhttp_find_header(h, HEADER_REQUEST_ID),
			 is_refusal)) {
		log_event(LOG_WARN,
			  "event=answer_dropped why=other_request addr=%s",
			  cn->addr);
		return -1;
	}
	if (!is_refusal && !declares_undue_body(req))
		return 0;
	while (evhttp_remove_header(h, "Connection") == 0)
		;
	evhttp_add_header(h, "Connection", "close");
	return 0;
}

/* Called before on_answer(), which then gets no request. */
static void on_error(enum evhttp_request_error error, void *arg)
{
	struct upstream_conn *cn = arg;

	if (cn->call)
		cn->call->too_large = error == EVREQ_HTTP_DATA_TOO_LONG;
}

static void on_answer(struct evhttp_request *req, void *arg)
{
	struct upstream_conn *cn = arg;
	struct ev_upstream_answer a = {.outcome = OUTCOME_DONE};
	const char *not_run;

	if (!cn->call)
		return;
	if (!req || !evhttp_request_get_response_code(req)) {
		fail_call(cn, cn->call->too_large ? REFUSAL_ANSWER_TOO_LARGE
						  : REFUSAL_CONNECTION_LOST);
		return;
	}
	not_run = evhttp_find_header(evhttp_request_get_input_headers(req),
				     HEADER_NOT_RUN);
	if (not_run) {
		a.outcome = OUTCOME_NOT_RUN;
		a.refusal = !strcmp(not_run, NOT_RUN_FENCE)
				    ? REFUSAL_NOT_OWNER
				    : REFUSAL_UPSTREAM_SHED;
	} else {
		a.answer = http_answer_from_evhttp(req);
	}
	complete_call(cn, &a);
}

/* Closes the connection, so that the upstream can stop the work. */
static void abort_call(struct upstream_conn *cn, enum refusal why)
{
	evhttp_cancel_request(cn->call->req);
	fail_call(cn, why);
}

static bool has_unsent_bytes(const struct upstream_conn *cn)
{
	return evbuffer_get_length(bufferevent_get_output(conn_bev(cn))) > 0;
}

static void set_timer(struct upstream_conn *cn, uint64_t at_ns, uint64_t now_ns)
{
	uint64_t left_ns = at_ns > now_ns ? at_ns - now_ns : 0;
	struct timeval tv = {
		.tv_sec = (time_t)(left_ns / NS_PER_S),
		.tv_usec = (suseconds_t)(left_ns % NS_PER_S / NS_PER_US)};

	evtimer_add(cn->call->timer, &tv);
}

/*
 * Fires at the deadline, or earlier at the end of the lease: the rest of a
 * request that is still being written then must not be sent.
 */
static void on_timer(evutil_socket_t fd, short what, void *arg)
{
	struct upstream_conn *cn = arg;
	const struct act_upstream_call *act = &cn->call->act;
	uint64_t now = clock_now_ns();

	(void)fd;
	(void)what;
	if (now >= act->deadline_ns)
		abort_call(cn, REFUSAL_NO_ANSWER);
	else if (now >= act->write_before_ns && has_unsent_bytes(cn))
		abort_call(cn, REFUSAL_NO_LEASE);
	else
		set_timer(cn, act->deadline_ns, now);
}

static void add_headers(struct evhttp_request *req,
			const struct act_upstream_call *a, uint64_t now_ns)
{
	struct evkeyvalq *h = evhttp_request_get_output_headers(req);
	char text[REQUEST_ID_MAX];

	evhttp_add_header(h, "Host", a->addr);
	format_request_id(text, sizeof(text), a);
	evhttp_add_header(h, HEADER_REQUEST_ID, text);
	text_format(text, sizeof(text), "%lu",
		    (unsigned long)((a->deadline_ns - now_ns) / NS_PER_MS));
	evhttp_add_header(h, "X-Deadline-Ms", text);
	if (!a->fence.epoch)
		return;
	text_format(text, sizeof(text), "%s/%u/%lu", a->fence.route,
		    a->fence.shard, (unsigned long)a->fence.epoch);
	evhttp_add_header(h, "X-Fence", text);
}

static void refuse_call(struct upstream_client *u,
			struct act_upstream_call *call, enum refusal why)
{
	struct ev_upstream_answer a = {
		.call = call->call, .outcome = OUTCOME_NOT_RUN, .refusal = why};

	http_request_unref(call->request);
	call->request = NULL;
	u->done(u->arg, &a);
}

static void start_timer(struct upstream_conn *cn, uint64_t now_ns)
{
	const struct act_upstream_call *act = &cn->call->act;
	uint64_t first = act->deadline_ns < act->write_before_ns
				 ? act->deadline_ns
				 : act->write_before_ns;

	cn->call->timer = evtimer_new(cn->client->base, on_timer, cn);
	set_timer(cn, first, now_ns);
}

/* The reason why the request may no longer be written; else REFUSAL_NONE. */
static enum refusal refusal_to_write(const struct act_upstream_call *act,
				     uint64_t now_ns)
{
	if (now_ns >= act->deadline_ns)
		return REFUSAL_DEADLINE;
	return now_ns >= act->write_before_ns ? REFUSAL_NO_LEASE : REFUSAL_NONE;
}

/*
 * Writes evhttp's output buffer to the socket. The event loop would write it
 * only after all other events of this loop iteration, long after the check of
 * the lease.
 */
static void flush_output(struct upstream_conn *cn)
{
	struct evbuffer *out = bufferevent_get_output(conn_bev(cn));

	evbuffer_unfreeze(out, 1);
	evbuffer_write(out, bufferevent_getfd(conn_bev(cn)));
	evbuffer_freeze(out, 1);
	/* The bufferevent reports only its own writes to evhttp. */
	if (!evbuffer_get_length(out))
		bufferevent_trigger(conn_bev(cn), EV_WRITE, 0);
}

/* Checks the lease and the deadline again before evhttp writes the request. */
static void on_connect(struct bufferevent *bev, short what, void *arg)
{
	struct upstream_conn *cn = arg;
	enum refusal refusal;
	int enable = 1;

	bufferevent_setcb(bev, NULL, NULL, cn->evhttp_event_cb, cn->evhttp_arg);
	cn->echoes_ids = false;
	if (!(what & BEV_EVENT_CONNECTED) || !cn->call) {
		cn->evhttp_event_cb(bev, what, cn->evhttp_arg);
		return;
	}
	setsockopt(bufferevent_getfd(bev), IPPROTO_TCP, TCP_NODELAY, &enable,
		   sizeof(enable));
	refusal = refusal_to_write(&cn->call->act, clock_now_ns());
	if (refusal != REFUSAL_NONE) {
		cn->call->not_sent = refusal;
		abort_call(cn, refusal);
		return;
	}
	/* The bufferevent writes the request before it returns to the loop. */
	cn->evhttp_event_cb(bev, what, cn->evhttp_arg);
}

/* Makes on_connect() run before evhttp's own event callback. */
static void intercept_connect(struct upstream_conn *cn)
{
	bufferevent_data_cb on_read, on_write;

	bufferevent_getcb(conn_bev(cn), &on_read, &on_write,
			  &cn->evhttp_event_cb, &cn->evhttp_arg);
	bufferevent_setcb(conn_bev(cn), on_read, on_write, on_connect, cn);
}

static void send_request(struct upstream_conn *cn, uint64_t now_ns)
{
	struct act_upstream_call *act = &cn->call->act;
	enum evhttp_cmd_type type = EVHTTP_REQ_GET;

	http_method_to_evhttp(act->request->method, &type);
	cn->call->req = evhttp_request_new(on_answer, cn);
	evhttp_request_set_header_cb(cn->call->req, on_head);
	evhttp_request_set_error_cb(cn->call->req, on_error);
	answer_check_start(&cn->check);
	payload_to_evhttp(&act->request->payload, cn->call->req);
	add_headers(cn->call->req, act, now_ns);
	start_timer(cn, now_ns);
	if (evhttp_make_request(cn->http, cn->call->req, type,
				act->request->target) != 0 ||
	    !cn->call)
		return;
	if (has_unsent_bytes(cn))
		flush_output(cn);
	else
		intercept_connect(cn);
}

void upstream_client_call(struct upstream_client *u,
			  struct act_upstream_call *call)
{
	uint64_t now = clock_now_ns();
	enum refusal refusal = refusal_to_write(call, now);
	struct upstream_conn *cn;

	if (refusal != REFUSAL_NONE) {
		refuse_call(u, call, refusal);
		return;
	}
	cn = conn_get(u, call->addr);
	list_remove(&cn->link);
	list_push_back(&u->busy, &cn->link);
	cn->call = mem_new(struct pending_call);
	cn->call->act = *call;
	call->request = NULL;
	send_request(cn, now);
}

void upstream_client_cancel(struct upstream_client *u, uint64_t call)
{
	struct upstream_conn *cn, *tmp;

	list_for_each_entry_safe(cn, tmp, &u->busy, link) {
		if (!cn->call || cn->call->act.call != call)
			continue;
		abort_call(cn, REFUSAL_CONNECTION_LOST);
		return;
	}
}

/* Reports grants that were not accepted; the core then sends the full set. */
static void on_grant_answer(struct evhttp_request *req, void *arg)
{
	struct grant_call *g = arg;
	struct upstream_client *u = g->client;
	struct ev_upstream_answer a = {.outcome = OUTCOME_NOT_RUN};
	struct timeval now = {0, 0};

	/* evhttp can't free a connection inside its own callback. */
	evtimer_add(g->delete_timer, &now);
	if (!req || !answer_check_ok(&g->check) ||
	    evhttp_request_get_response_code(req) / 100 != 2)
		u->done(u->arg, &a);
}

static void on_delete_timer(evutil_socket_t fd, short what, void *arg)
{
	(void)fd;
	(void)what;
	grant_delete(arg);
}

static char *grant_json(const struct act_grant *g)
{
	const struct grant_range *r;
	json_t *o = json_object();
	json_t *list = json_array();
	uint64_t now = clock_now_ns();
	char *text;

	json_object_set_new(o, "version", json_integer((json_int_t)g->version));
	list_for_each_entry(r, &g->ranges, link)
		json_array_append_new(
			list, json_pack("[s,i,i,I]", r->route, (int)r->first,
					(int)r->last, (json_int_t)r->epoch));
	if (g->replaces_all)
		json_object_set(o, "grants", list);
	json_decref(list);
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
	struct grant_call *call = mem_new(struct grant_call);
	struct evhttp_request *req;
	uint16_t port = 0;
	char *body = grant_json(g);

	addr_split(g->addr, ip, sizeof(ip), &port);
	call->client = u;
	call->http = evhttp_connection_base_new(u->base, NULL, ip, port);
	answer_check_init(&call->check, call->http, GRANT_ANSWER_MAX_BYTES);
	call->delete_timer = evtimer_new(u->base, on_delete_timer, call);
	list_push_back(&u->grants, &call->link);
	evhttp_connection_set_timeout(call->http, GRANT_TIMEOUT_S);
	req = evhttp_request_new(on_grant_answer, call);
	evhttp_add_header(evhttp_request_get_output_headers(req), "Host",
			  g->addr);
	evhttp_add_header(evhttp_request_get_output_headers(req), "Connection",
			  "close");
	evbuffer_add(evhttp_request_get_output_buffer(req), body, strlen(body));
	free(body);
	evhttp_make_request(call->http, req, EVHTTP_REQ_POST, "/-/grants");
}
