#include "io/http_server.h"

#include <ctype.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <http_parser.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "core/mem.h"
#include "core/text.h"
#include "io/addr.h"
#include "io/clock.h"
#include "io/linger.h"
#include "io/log.h"
#include "io/socket_opts.h"

#define EXCHANGE_BUCKETS     1024
/* Unanswered requests of one connection; further ones are left unread. */
#define PIPELINE_MAX	     32
#define LISTEN_BACKLOG	     512
#define READ_BUFFER_BYTES    (256u << 10)
#define TIMEOUT_CHECK_MS     250
#define HEADER_DEFAULT_BYTES (32u << 10)
#define BODY_DEFAULT_BYTES   (1u << 20)
#define TIMEOUT_DEFAULT_MS   60000
#define LOGGED_TARGET_MAX    100
/* The parser counts separators, too: "a:\r\n" for each byte of a name. */
#define PARSER_HEADER_FACTOR 5

/* A request, until its answer is in the connection's output buffer. */
struct exchange {
	struct list link; /* in conn.exchanges, in order of arrival */
	struct list hash; /* in http_server.hash, by id */
	struct server_conn *conn;
	uint64_t id;		 /* given to the callbacks as @caller */
	bool delivered;		 /* passed to on_request */
	struct evbuffer *answer; /* NULL before the reply */
	bool close;		 /* the connection is closed after the answer */
	bool head;		 /* a HEAD request: its answer has no body */
};

struct server_conn {
	struct list link;
	struct http_server *server;
	struct bufferevent *bev;
	http_parser parser;
	struct list exchanges;
	uint32_t exchange_count;
	uint64_t idle_deadline_ns;
	uint64_t header_deadline_ns; /* 0: no headers are being read */
	size_t undelivered; /* bytes of answers at the last idle timeout */
	bool last_request;  /* nothing after the request read last is read */
	bool closing; /* nothing is read; closed once the output is written */
	/* The request being read. */
	struct http_request *request;
	struct http_server_limits begun_limits; /* when it began */
	char *url;
	size_t url_len;
	char *field;
	char *value;
	bool in_value;	   /* value belongs to the header named by field */
	bool in_body;	   /* the headers are complete */
	bool continue_due; /* its caller waits for "100 Continue" */
	size_t header_bytes;
	unsigned char *body;
	size_t body_len;
	uint64_t body_received; /* bytes, dropped ones too */
	bool oversized;
	enum http_reject reject_as; /* if the parser stops */
};

struct http_server {
	struct http_server_opts opts;
	struct evconnlistener *listener;
	struct event *timeout_check;
	struct list conns;
	struct linger_set *lingers; /* connections being closed */
	struct list hash[EXCHANGE_BUCKETS];
	uint64_t next_id;
	uint32_t pending;
	struct http_server_stats stats;
};

static const struct {
	const char *name;
	int code; /* HTTP status */
} rejects[HTTP_REJECT_COUNT] = {
	[HTTP_REJECT_SYNTAX] = {"syntax", 400},
	[HTTP_REJECT_METHOD] = {"method", 501},
	[HTTP_REJECT_HEADER_LIMIT] = {"header_limit", 431},
	[HTTP_REJECT_HEADER_TIMEOUT] = {"header_timeout", 408},
	[HTTP_REJECT_BODY_TIMEOUT] = {"body_timeout", 408},
	[HTTP_REJECT_OLD_LIMITS] = {"old_limits", 503},
};

const char *http_reject_name(enum http_reject r)
{
	return rejects[r].name;
}

static void exchange_delete(struct exchange *x)
{
	list_remove(&x->link);
	list_remove(&x->hash);
	x->conn->server->pending--;
	if (x->answer)
		evbuffer_free(x->answer);
	free(x);
}

static void request_reset(struct server_conn *c)
{
	http_request_unref(c->request);
	c->request = NULL;
	free(c->url);
	free(c->field);
	free(c->value);
	free(c->body);
	c->url = NULL;
	c->field = NULL;
	c->value = NULL;
	c->body = NULL;
	c->url_len = 0;
	c->body_len = 0;
	c->body_received = 0;
	c->header_bytes = 0;
	c->in_value = false;
	c->in_body = false;
	c->continue_due = false;
	c->oversized = false;
	c->reject_as = HTTP_REJECT_SYNTAX;
	c->header_deadline_ns = 0;
}

static void conn_delete(struct server_conn *c)
{
	struct http_server *s = c->server;
	uint64_t disconnected_ids[PIPELINE_MAX + 1];
	struct exchange *x, *tmp;
	int count = 0;

	list_remove(&c->link);
	bufferevent_free(c->bev);
	/*
	 * The callbacks run last: on_caller_disconnected may reply to another
	 * request of this connection.
	 */
	list_for_each_entry_safe(x, tmp, &c->exchanges, link) {
		if (x->delivered && !x->answer && count <= PIPELINE_MAX)
			disconnected_ids[count++] = x->id;
		exchange_delete(x);
	}
	request_reset(c);
	free(c);
	for (int i = 0; i < count; i++)
		s->opts.on_caller_disconnected(s->opts.arg,
					       disconnected_ids[i]);
}

/* Closes a connection whose output is written; the caller may read on. */
static void conn_close(struct server_conn *c)
{
	int fd = bufferevent_getfd(c->bev);

	bufferevent_setfd(c->bev, -1);
	linger_close(c->server->lingers, fd);
	conn_delete(c);
}

static uint64_t ms_from_now(uint64_t ms)
{
	return clock_now_ns() + ms * NS_PER_MS;
}

static void restart_idle_timeout(struct server_conn *c)
{
	c->idle_deadline_ns =
		ms_from_now(c->server->opts.limits.idle_timeout_ms);
}

static void append(char **to, const char *at, size_t len)
{
	size_t old_len = *to ? strlen(*to) : 0;

	*to = mem_realloc(*to, old_len + len + 1, 1);
	memcpy(*to + old_len, at, len);
	(*to)[old_len + len] = '\0';
}

/* The parser leaves blanks behind a header's value. */
static void trim_end(char *text)
{
	size_t len = strlen(text);

	while (len && (text[len - 1] == ' ' || text[len - 1] == '\t'))
		text[--len] = '\0';
}

static void flush_header(struct server_conn *c)
{
	if (c->value)
		trim_end(c->value);
	if (c->field && c->request)
		payload_add_header(&c->request->payload, c->field,
				   c->value ? c->value : "");
	free(c->field);
	free(c->value);
	c->field = NULL;
	c->value = NULL;
	c->in_value = false;
}

static int on_begin(http_parser *p)
{
	struct server_conn *c = p->data;

	request_reset(c);
	c->header_deadline_ns =
		ms_from_now(c->server->opts.limits.header_timeout_ms);
	c->begun_limits = c->server->opts.limits;
	c->request = http_request_new("", "");
	return 0;
}

static uint64_t header_limit(const struct server_conn *c)
{
	uint64_t begun = c->begun_limits.header_bytes;
	uint64_t now = c->server->opts.limits.header_bytes;

	return begun > now ? begun : now;
}

static uint64_t body_limit(const struct server_conn *c)
{
	uint64_t begun = c->begun_limits.body_bytes;
	uint64_t now = c->server->opts.limits.body_bytes;

	return begun > now ? begun : now;
}

static bool exceeds_header_limit(struct server_conn *c, size_t len)
{
	c->header_bytes += len;
	if (c->header_bytes <= header_limit(c))
		return false;
	c->reject_as = HTTP_REJECT_HEADER_LIMIT;
	return true;
}

static int on_url(http_parser *p, const char *at, size_t len)
{
	struct server_conn *c = p->data;

	if (exceeds_header_limit(c, len))
		return 1;
	append(&c->url, at, len);
	return 0;
}

static int on_field(http_parser *p, const char *at, size_t len)
{
	struct server_conn *c = p->data;

	if (exceeds_header_limit(c, len))
		return 1;
	if (c->in_body) /* a trailer */
		return 0;
	if (c->in_value)
		flush_header(c);
	append(&c->field, at, len);
	return 0;
}

static int on_value(http_parser *p, const char *at, size_t len)
{
	struct server_conn *c = p->data;

	if (exceeds_header_limit(c, len))
		return 1;
	if (c->in_body)
		return 0;
	c->in_value = true;
	append(&c->value, at, len);
	return 0;
}

static bool expects_continue(const struct server_conn *c)
{
	const char *v = payload_header(&c->request->payload, "Expect");

	return v && !strcasecmp(v, "100-continue") && c->parser.http_minor;
}

/* Sends nothing while answers to earlier requests are outstanding. */
static void send_continue(struct server_conn *c)
{
	if (!c->continue_due || !list_empty(&c->exchanges))
		return;
	c->continue_due = false;
	evbuffer_add_printf(bufferevent_get_output(c->bev),
			    "HTTP/1.1 100 Continue\r\n\r\n");
}

static int on_headers(http_parser *p)
{
	struct server_conn *c = p->data;

	flush_header(c);
	c->in_body = true;
	c->header_deadline_ns = 0;
	restart_idle_timeout(c);
	if (p->method == HTTP_CONNECT) {
		c->reject_as = HTTP_REJECT_METHOD;
		return -1;
	}
	/* A server may ignore the offer; HTTP/1.1 goes on. */
	p->upgrade = 0;
	if (p->content_length != UINT64_MAX &&
	    p->content_length > body_limit(c))
		c->oversized = true;
	c->continue_due = expects_continue(c);
	send_continue(c);
	return 0;
}

static int on_body(http_parser *p, const char *at, size_t len)
{
	struct server_conn *c = p->data;

	restart_idle_timeout(c);
	c->continue_due = false;
	c->body_received += len;
	if (c->oversized)
		return 0;
	if (c->body_received > body_limit(c)) {
		c->oversized = true;
		free(c->body);
		c->body = NULL;
		c->body_len = 0;
		return 0;
	}
	c->body = mem_realloc(c->body, c->body_len + len, 1);
	memcpy(c->body + c->body_len, at, len);
	c->body_len += len;
	return 0;
}

static struct exchange *exchange_new(struct server_conn *c)
{
	struct http_server *s = c->server;
	struct exchange *x = mem_new(struct exchange);

	x->conn = c;
	x->id = s->next_id++;
	list_push_back(&c->exchanges, &x->link);
	list_push_back(&s->hash[x->id % EXCHANGE_BUCKETS], &x->hash);
	s->pending++;
	c->exchange_count++;
	return x;
}

static const char *reason_phrase(int code)
{
	switch (code) {
#define REASON(num, name, string)                                              \
	case num:                                                              \
		return #string;
		HTTP_STATUS_MAP(REASON)
#undef REASON
	}
	return "Unknown";
}

static struct evbuffer *encode_answer(const struct http_answer *a, bool head,
				      bool close)
{
	struct evbuffer *out = evbuffer_new();
	const struct header *h;

	evbuffer_add_printf(out, "HTTP/1.1 %d %s\r\n", a->code,
			    reason_phrase(a->code));
	list_for_each_entry(h, &a->payload.headers, link)
		evbuffer_add_printf(out, "%s: %s\r\n", h->name, h->value);
	if (a->code != 204 && a->code != 304)
		evbuffer_add_printf(out, "Content-Length: %zu\r\n",
				    a->payload.body_len);
	if (close)
		evbuffer_add_printf(out, "Connection: close\r\n");
	evbuffer_add(out, "\r\n", 2);
	if (!head && a->payload.body_len)
		evbuffer_add(out, a->payload.body, a->payload.body_len);
	return out;
}

/* Writes answers in order, up to the first request without one. */
static void flush_answers(struct server_conn *c)
{
	struct exchange *x, *tmp;

	if (c->closing)
		return;
	list_for_each_entry_safe(x, tmp, &c->exchanges, link) {
		if (!x->answer)
			return;
		bufferevent_write_buffer(c->bev, x->answer);
		c->closing = x->close;
		c->exchange_count--;
		exchange_delete(x);
		if (c->closing)
			break;
	}
	if (c->closing)
		bufferevent_disable(c->bev, EV_READ);
	else
		send_continue(c);
}

static void log_reject(const struct server_conn *c, enum http_reject why)
{
	log_event(LOG_WARN,
		  "event=request_rejected code=%d why=%s parser=%s "
		  "header_bytes=%zu header_limit=%lu body_bytes=%lu "
		  "body_limit=%lu pending=%u target=\"%.*s\"",
		  rejects[why].code, rejects[why].name,
		  http_errno_name(HTTP_PARSER_ERRNO(&c->parser)),
		  c->header_bytes, (unsigned long)header_limit(c),
		  (unsigned long)c->body_received, (unsigned long)body_limit(c),
		  c->exchange_count - 1, LOGGED_TARGET_MAX,
		  c->url ? c->url : "");
}

/* Answers the request being read, whose exchange is @x. */
static void set_reject_answer(struct exchange *x, enum http_reject why)
{
	struct http_answer *a = http_answer_new(rejects[why].code);

	x->conn->server->stats.rejected[why]++;
	log_reject(x->conn, why);
	x->answer = encode_answer(a, x->head, x->close);
	http_answer_delete(a);
}

static void deliver(struct exchange *x, struct http_request *r, bool oversized)
{
	struct http_server *s = x->conn->server;

	/* The caller has closed already; the EOF event follows. */
	if (socket_is_closed(bufferevent_getfd(x->conn->bev))) {
		http_request_unref(r);
		return;
	}
	x->delivered = true;
	s->stats.delivered++;
	s->stats.oversized += oversized;
	s->opts.on_request(s->opts.arg, x->id, r, oversized);
}

/* Takes the request that has been read completely out of @c. */
static struct http_request *take_request(struct server_conn *c)
{
	struct http_request *r = c->request;

	mem_copy_str(r->method, http_method_str(c->parser.method),
		     sizeof(r->method));
	free(r->target);
	r->target = c->url;
	c->url = NULL;
	if (c->body_len) {
		r->payload.body = c->body;
		r->payload.body_len = c->body_len;
		c->body = NULL;
	}
	c->request = NULL;
	request_reset(c);
	return r;
}

static int on_complete(http_parser *p)
{
	struct server_conn *c = p->data;
	struct exchange *x = exchange_new(c);
	bool oversized = c->oversized;

	x->head = p->method == HTTP_HEAD;
	x->close = !http_should_keep_alive(p);
	c->last_request = x->close;
	restart_idle_timeout(c);
	if (oversized && c->body_received <= body_limit(c)) {
		set_reject_answer(x, HTTP_REJECT_OLD_LIMITS);
		request_reset(c);
		flush_answers(c);
	} else {
		deliver(x, take_request(c), oversized);
	}
	if (c->last_request || c->closing || c->exchange_count >= PIPELINE_MAX)
		http_parser_pause(p, 1);
	return 0;
}

static const http_parser_settings parser_settings = {
	.on_message_begin = on_begin,
	.on_url = on_url,
	.on_header_field = on_field,
	.on_header_value = on_value,
	.on_headers_complete = on_headers,
	.on_body = on_body,
	.on_message_complete = on_complete,
};

/* Answers with an error and closes, after earlier requests. */
static void reject(struct server_conn *c, enum http_reject why)
{
	struct exchange *x = exchange_new(c);

	x->close = true;
	c->last_request = true;
	set_reject_answer(x, why);
	request_reset(c);
	flush_answers(c);
}

/* The reason for which the parser stopped at the byte @at. */
static enum http_reject parser_reject(const struct server_conn *c,
				      enum http_errno err, char at)
{
	switch (err) {
	case HPE_HEADER_OVERFLOW:
		return HTTP_REJECT_HEADER_LIMIT;
	case HPE_INVALID_METHOD:
		return isalnum((unsigned char)at) || at == '-'
			       ? HTTP_REJECT_METHOD
			       : HTTP_REJECT_SYNTAX;
	default:
		return c->reject_as;
	}
}

static void parse_input(struct server_conn *c)
{
	struct evbuffer *in = bufferevent_get_input(c->bev);
	size_t len;

	while (!c->closing && !c->last_request &&
	       c->exchange_count < PIPELINE_MAX &&
	       (len = evbuffer_get_contiguous_space(in)) > 0) {
		const char *data =
			(const char *)evbuffer_pullup(in, (ssize_t)len);
		size_t parsed = http_parser_execute(
			&c->parser, &parser_settings, data, len);
		enum http_errno err = HTTP_PARSER_ERRNO(&c->parser);
		char stopped_at = parsed < len ? data[parsed] : '\0';

		evbuffer_drain(in, parsed);
		if (err == HPE_PAUSED) {
			http_parser_pause(&c->parser, 0);
			continue;
		}
		if (err != HPE_OK) {
			reject(c, parser_reject(c, err, stopped_at));
			return;
		}
	}
}

static void on_read(struct bufferevent *bev, void *arg)
{
	struct server_conn *c = arg;
	struct evbuffer *in = bufferevent_get_input(bev);

	parse_input(c);
	/* Read on, as only that shows when the caller closes. */
	if (c->last_request)
		evbuffer_drain(in, evbuffer_get_length(in));
}

static void on_event(struct bufferevent *bev, short what, void *arg)
{
	(void)bev;
	if (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR | BEV_EVENT_TIMEOUT))
		conn_delete(arg);
}

static void on_write(struct bufferevent *bev, void *arg)
{
	struct server_conn *c = arg;

	if (c->closing && !evbuffer_get_length(bufferevent_get_output(bev)))
		conn_close(c);
}

static void on_accept(struct evconnlistener *l, evutil_socket_t fd,
		      struct sockaddr *sa, int len, void *arg)
{
	struct http_server *s = arg;
	struct server_conn *c = mem_new(struct server_conn);

	(void)l;
	(void)sa;
	(void)len;
	socket_set_opts(fd);
	c->server = s;
	c->bev =
		bufferevent_socket_new(s->opts.base, fd, BEV_OPT_CLOSE_ON_FREE);
	list_init(&c->exchanges);
	list_push_back(&s->conns, &c->link);
	http_parser_init(&c->parser, HTTP_REQUEST);
	c->parser.data = c;
	restart_idle_timeout(c);
	bufferevent_setcb(c->bev, on_read, on_write, on_event, c);
	bufferevent_setwatermark(c->bev, EV_READ, 0, READ_BUFFER_BYTES);
	bufferevent_enable(c->bev, EV_READ | EV_WRITE);
}

/* Bytes of answers that the caller has not received yet. */
static size_t undelivered(const struct server_conn *c)
{
	return evbuffer_get_length(bufferevent_get_output(c->bev)) +
	       socket_undelivered(bufferevent_getfd(c->bev));
}

/* True if the caller has received part of its answers since the last call. */
static bool caller_receives(struct server_conn *c)
{
	size_t before = c->undelivered;

	c->undelivered = undelivered(c);
	return c->undelivered && c->undelivered != before;
}

/* Enforces the timeouts of @c, which may be freed. */
static void check_timeouts(struct server_conn *c, uint64_t now)
{
	uint64_t deadline_ns = c->header_deadline_ns ? c->header_deadline_ns
						     : c->idle_deadline_ns;

	if (now <= deadline_ns || !list_empty(&c->exchanges))
		return;
	/* Bytes that arrived in time may wait after a pause of the process. */
	if (!c->closing && !socket_is_idle(bufferevent_getfd(c->bev)))
		return;
	if (c->request && !c->closing) {
		reject(c, c->in_body ? HTTP_REJECT_BODY_TIMEOUT
				     : HTTP_REJECT_HEADER_TIMEOUT);
	} else if (caller_receives(c)) {
		restart_idle_timeout(c);
	} else {
		c->server->stats.idle_closed++;
		if (c->undelivered) /* the caller has stopped reading */
			conn_delete(c);
		else
			conn_close(c);
	}
}

static void on_timeout_check(evutil_socket_t fd, short what, void *arg)
{
	struct http_server *s = arg;
	uint64_t now = clock_now_ns();
	struct server_conn *c, *tmp;

	(void)fd;
	(void)what;
	list_for_each_entry_safe(c, tmp, &s->conns, link)
		check_timeouts(c, now);
}

struct http_server *http_server_new(const struct http_server_opts *o,
				    struct status *st)
{
	struct http_server *s = mem_new(struct http_server);
	struct timeval tv = {.tv_usec = TIMEOUT_CHECK_MS * 1000};
	struct sockaddr_in sin;

	s->opts = *o;
	s->next_id = 1;
	s->lingers = linger_set_new(&(struct linger_opts){.base = o->base});
	list_init(&s->conns);
	for (int i = 0; i < EXCHANGE_BUCKETS; i++)
		list_init(&s->hash[i]);
	http_server_set_limits(s, &o->limits);
	s->timeout_check =
		event_new(o->base, -1, EV_PERSIST, on_timeout_check, s);
	event_add(s->timeout_check, &tv);
	if (addr_to_sockaddr(o->addr, &sin))
		s->listener = evconnlistener_new_bind(
			o->base, on_accept, s,
			LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE,
			LISTEN_BACKLOG, (struct sockaddr *)&sin, sizeof(sin));
	if (s->listener)
		return s;
	status_set(st, STATUS_IO, "%s can't be bound", o->addr);
	http_server_delete(s);
	return NULL;
}

void http_server_delete(struct http_server *s)
{
	struct server_conn *c, *tmp;

	list_for_each_entry_safe(c, tmp, &s->conns, link)
		conn_delete(c);
	linger_set_delete(s->lingers);
	if (s->listener)
		evconnlistener_free(s->listener);
	event_free(s->timeout_check);
	free(s);
}

/*
 * Keeps the parser's own limit, which holds for the process and is never
 * lowered, above that on callers' headers.
 */
static void raise_parser_limit(uint64_t header_bytes)
{
	static uint64_t limit = HTTP_MAX_HEADER_SIZE;
	uint64_t needed = header_bytes < UINT32_MAX / PARSER_HEADER_FACTOR
				  ? header_bytes * PARSER_HEADER_FACTOR
				  : UINT32_MAX;

	if (needed <= limit)
		return;
	limit = needed;
	http_parser_set_max_header_size((uint32_t)limit);
}

/* Moves a deadline of a connection if its timeout has grown. */
static void extend_deadline(uint64_t *deadline_ns, uint64_t old_ms,
			    uint64_t new_ms)
{
	if (*deadline_ns && new_ms > old_ms)
		*deadline_ns += (new_ms - old_ms) * NS_PER_MS;
}

void http_server_set_limits(struct http_server *s,
			    const struct http_server_limits *l)
{
	struct http_server_limits old = s->opts.limits;
	struct http_server_limits *to = &s->opts.limits;
	struct server_conn *c;

	*to = *l;
	if (!to->header_bytes)
		to->header_bytes = HEADER_DEFAULT_BYTES;
	if (!to->body_bytes)
		to->body_bytes = BODY_DEFAULT_BYTES;
	if (!to->header_timeout_ms)
		to->header_timeout_ms = TIMEOUT_DEFAULT_MS;
	if (!to->idle_timeout_ms)
		to->idle_timeout_ms = TIMEOUT_DEFAULT_MS;
	raise_parser_limit(to->header_bytes);
	list_for_each_entry(c, &s->conns, link) {
		extend_deadline(&c->header_deadline_ns, old.header_timeout_ms,
				to->header_timeout_ms);
		extend_deadline(&c->idle_deadline_ns, old.idle_timeout_ms,
				to->idle_timeout_ms);
	}
}

static struct exchange *exchange_find(struct http_server *s, uint64_t id)
{
	struct exchange *x;

	list_for_each_entry(x, &s->hash[id % EXCHANGE_BUCKETS], hash)
		if (x->id == id)
			return x;
	return NULL;
}

/* Reads no further request; closes after the answer to the last one. */
static void close_after_pending(struct server_conn *c)
{
	c->last_request = true;
	list_entry(c->exchanges.prev, struct exchange, link)->close = true;
}

void http_server_reply(struct http_server *s, uint64_t caller,
		       const struct http_answer *a, bool close)
{
	struct exchange *x = exchange_find(s, caller);
	struct server_conn *c;

	if (!x || x->answer)
		return;
	c = x->conn;
	if (close)
		close_after_pending(c);
	x->answer = encode_answer(a, x->head, x->close);
	restart_idle_timeout(c);
	flush_answers(c);
	/* Deferred: the parser must not run inside its own callbacks. */
	if (!c->closing && evbuffer_get_length(bufferevent_get_input(c->bev)))
		bufferevent_trigger(c->bev, EV_READ, BEV_TRIG_DEFER_CALLBACKS);
}

uint32_t http_server_pending(const struct http_server *s)
{
	const struct server_conn *c;
	uint32_t receiving = linger_undelivered(s->lingers);

	list_for_each_entry(c, &s->conns, link)
		receiving += undelivered(c) > 0;
	return s->pending + receiving;
}

const struct http_server_stats *
http_server_get_stats(const struct http_server *s)
{
	return &s->stats;
}
