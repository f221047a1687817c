#include "io/http_client.h"

#include <errno.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <http_parser.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <xxhash.h>

#include "core/mem.h"
#include "core/text.h"
#include "io/addr.h"
#include "io/answer_head.h"
#include "io/clock.h"
#include "io/log.h"
#include "io/socket_opts.h"

#define CONNECT_TIMEOUT_NS	(400 * NS_PER_MS)
/* Idle connections are closed before the upstream closes them. */
#define IDLE_TIMEOUT_DEFAULT_NS (4 * NS_PER_S)
#define KEEP_ALIVE_FRACTION	0.8
/* Answers to earlier requests that are dropped before the call fails. */
#define STALE_ANSWERS_MAX	4
/*
 * Bytes of a call's answers that are no body: heads, 1xx and stale ones
 * included, chunk headers and trailers. Short chunks need more than this.
 */
#define FRAMING_MAX_BYTES	(64u << 10)
#define FRAMING_PER_BODY_BYTE	8
/* A connection that has carried this many requests is not reused. */
#define CONN_REQUESTS_MAX	1024

/* Bytes received in parts, closed by a NUL that is not counted. */
struct byte_buf {
	char *data; /* NULL until the first bytes */
	size_t len;
	size_t cap;
};

struct client_conn {
	struct list link; /* in idle or busy */
	struct http_client *client;
	struct bufferevent *bev;
	char addr[JD_ADDR_MAX];
	bool connected;
	bool wrote;	 /* the current request was passed to bev */
	bool sent;	 /* bytes have left since; the request may run */
	bool reusable;	 /* the answer allows another request */
	int write_error; /* errno of a failed write; 0 for none */
	uint32_t stale_answers;
	uint64_t received_bytes; /* since the request was written */
	uint64_t body_bytes;	 /* the part of them that is body */
	/* hashes of the identifying values that were written */
	uint32_t sent_ids[CONN_REQUESTS_MAX];
	uint32_t sent_count;
	uint64_t idle_deadline_ns;
	uint64_t idle_timeout_ns;
	struct event *timer;
	struct client_call call; /* its request is NULL while idle */
	http_parser parser;
	struct answer_head head;
	struct http_answer *answer;
	struct byte_buf field;
	struct byte_buf value;
	bool in_value;	 /* value belongs to the header named by field */
	bool head_ended; /* later fields are trailers and are dropped */
	struct byte_buf body;
	bool complete; /* the answer was received to its end */
	bool given_up; /* its body was dropped; the call ends next */
};

struct http_client {
	struct http_client_opts opts;
	struct list idle;
	struct list busy;
	size_t body_bytes; /* of all connections, spare capacity included */
	uint64_t connects;
};

static void buf_add(struct byte_buf *b, const char *at, size_t len)
{
	if (b->len + len >= b->cap) {
		b->cap = 2 * (b->len + len) + 1;
		b->data = mem_realloc(b->data, b->cap, 1);
	}
	memcpy(b->data + b->len, at, len);
	b->len += len;
	b->data[b->len] = '\0';
}

static void buf_done(struct byte_buf *b)
{
	free(b->data);
	memset(b, 0, sizeof(*b));
}

static void answer_reset(struct client_conn *cn)
{
	http_answer_delete(cn->answer);
	buf_done(&cn->field);
	buf_done(&cn->value);
	cn->client->body_bytes -= cn->body.cap;
	buf_done(&cn->body);
	cn->answer = NULL;
	cn->in_value = false;
	cn->head_ended = false;
	cn->complete = false;
}

static void on_output_change(struct evbuffer *b,
			     const struct evbuffer_cb_info *info, void *arg)
{
	struct client_conn *cn = arg;

	(void)b;
	cn->sent |= info->n_deleted > 0;
}

static void conn_delete(struct client_conn *cn)
{
	list_remove(&cn->link);
	/* A callback that is due would keep it open, and it would write on. */
	bufferevent_disable(cn->bev, EV_READ | EV_WRITE);
	evbuffer_remove_cb(bufferevent_get_output(cn->bev), on_output_change,
			   cn);
	bufferevent_free(cn->bev);
	event_free(cn->timer);
	answer_reset(cn);
	http_request_unref(cn->call.request);
	free(cn);
}

struct http_client *http_client_new(const struct http_client_opts *o)
{
	struct http_client *c = mem_new(struct http_client);

	c->opts = *o;
	list_init(&c->idle);
	list_init(&c->busy);
	return c;
}

void http_client_delete(struct http_client *c)
{
	struct client_conn *cn, *tmp;

	list_for_each_entry_safe(cn, tmp, &c->idle, link)
		conn_delete(cn);
	list_for_each_entry_safe(cn, tmp, &c->busy, link)
		conn_delete(cn);
	free(c);
}

uint64_t http_client_connects(const struct http_client *c)
{
	return c->connects;
}

/* Moves the body to the answer, without its spare capacity. */
static void move_body(struct client_conn *cn)
{
	struct payload *p = &cn->answer->payload;

	if (!cn->body.len)
		return;
	p->body = mem_realloc(cn->body.data, cn->body.len + 1, 1);
	p->body_len = cn->body.len;
	cn->client->body_bytes -= cn->body.cap;
	memset(&cn->body, 0, sizeof(cn->body));
}

/* Reports the end of the call; the connection is freed unless @keep. */
static void finish_call(struct client_conn *cn, enum client_end end, bool keep)
{
	struct http_client *c = cn->client;
	struct client_result r = {.call = cn->call.call, .end = end};

	if (end == CLIENT_ANSWERED) {
		move_body(cn);
		r.answer = cn->answer;
		cn->answer = NULL;
	}
	answer_reset(cn);
	http_request_unref(cn->call.request);
	memset(&cn->call, 0, sizeof(cn->call));
	if (keep) {
		evtimer_del(cn->timer);
		cn->idle_deadline_ns = clock_now_ns() + cn->idle_timeout_ns;
		list_remove(&cn->link);
		list_push_front(&c->idle, &cn->link);
	} else {
		conn_delete(cn);
	}
	c->opts.on_end(c->opts.arg, &r);
	http_answer_delete(r.answer);
}

static void flush_header(struct client_conn *cn)
{
	if (cn->field.len)
		payload_add_header(&cn->answer->payload, cn->field.data,
				   cn->value.len ? cn->value.data : "");
	cn->field.len = 0;
	cn->value.len = 0;
	cn->in_value = false;
}

static int on_begin(http_parser *p)
{
	struct client_conn *cn = p->data;

	answer_reset(cn);
	cn->answer = http_answer_new(0);
	return 0;
}

static int on_field(http_parser *p, const char *at, size_t len)
{
	struct client_conn *cn = p->data;

	if (cn->head_ended)
		return 0;
	if (cn->in_value)
		flush_header(cn);
	buf_add(&cn->field, at, len);
	return 0;
}

static int on_value(http_parser *p, const char *at, size_t len)
{
	struct client_conn *cn = p->data;

	if (cn->head_ended)
		return 0;
	cn->in_value = true;
	buf_add(&cn->value, at, len);
	return 0;
}

/* The parser would wait for the body that their length states. */
static bool has_no_body(const struct client_conn *cn, int code)
{
	return !strcmp(cn->call.request->method, "HEAD") || code / 100 == 1 ||
	       code == 204 || code == 304;
}

/* True if the body is in a transfer coding that the parser does not undo. */
static bool has_unknown_coding(const struct payload *p)
{
	const struct header *h;

	list_for_each_entry(h, &p->headers, link)
		if (!strcasecmp(h->name, "Transfer-Encoding") &&
		    strcasecmp(h->value, "chunked") != 0)
			return true;
	return false;
}

/* Returning 1 tells the parser that no body follows, -1 makes it fail. */
static int on_headers(http_parser *p)
{
	struct client_conn *cn = p->data;

	flush_header(cn);
	cn->head_ended = true;
	cn->answer->code = (int)p->status_code;
	if (has_no_body(cn, cn->answer->code))
		return 1;
	if (p->content_length != UINT64_MAX &&
	    p->content_length > HTTP_ANSWER_MAX_BYTES)
		return -1;
	if (has_unknown_coding(&cn->answer->payload))
		return -1;
	return 0;
}

static int on_body(http_parser *p, const char *at, size_t len)
{
	struct client_conn *cn = p->data;

	if (cn->body.len + len > HTTP_ANSWER_MAX_BYTES)
		return 1;
	cn->client->body_bytes -= cn->body.cap;
	buf_add(&cn->body, at, len);
	cn->client->body_bytes += cn->body.cap;
	cn->body_bytes += len;
	return 0;
}

/* True if a 204 declares a body, which may follow as if it were an answer. */
static bool declares_undue_body(const http_parser *p)
{
	return p->status_code == 204 &&
	       ((p->flags & F_CHUNKED) ||
		(p->content_length && p->content_length != UINT64_MAX));
}

static int on_complete(http_parser *p)
{
	struct client_conn *cn = p->data;

	cn->complete = true;
	cn->reusable = http_should_keep_alive(p) && !declares_undue_body(p);
	http_parser_pause(p, 1);
	return 0;
}

static const http_parser_settings parser_settings = {
	.on_message_begin = on_begin,
	.on_header_field = on_field,
	.on_header_value = on_value,
	.on_headers_complete = on_headers,
	.on_body = on_body,
	.on_message_complete = on_complete,
};

static void parser_reset(struct client_conn *cn)
{
	http_parser_init(&cn->parser, HTTP_RESPONSE);
	cn->parser.data = cn;
}

/* The value that an answer to @r echoes; NULL if nothing identifies it. */
static const char *identifying_value(const struct http_client *c,
				     const struct http_request *r)
{
	const char *id = payload_header(&r->payload, c->opts.echo_header);

	return id && *id ? id : NULL;
}

/* True if the answer echoes the request's identifying header, if any. */
static bool answers_request(const struct client_conn *cn)
{
	const struct http_client *c = cn->client;
	const char *sent = identifying_value(c, cn->call.request);
	const char *got =
		payload_header(&cn->answer->payload, c->opts.echo_header);

	return !sent || (got && !strcmp(sent, got));
}

static uint32_t id_hash(const char *id)
{
	return (uint32_t)XXH3_64bits(id, strlen(id));
}

/* Records that the current request is written to the connection. */
static void record_sent(struct client_conn *cn)
{
	const char *id = identifying_value(cn->client, cn->call.request);

	cn->sent_ids[cn->sent_count++] = id ? id_hash(id) : 0;
}

/*
 * An upstream may write an answer once more, so @r must be told apart from all
 * requests that the connection has carried. Equal hashes of two values only
 * cost a new connection.
 */
static bool may_carry(const struct client_conn *cn,
		      const struct http_request *r)
{
	const char *id = identifying_value(cn->client, r);
	uint32_t hash;

	if (!id)
		return !cn->sent_count;
	hash = id_hash(id);
	for (uint32_t i = 0; i < cn->sent_count; i++)
		if (cn->sent_ids[i] == hash)
			return false;
	return true;
}

/* True if another request may follow the answered one on its connection. */
static bool may_reuse(const struct client_conn *cn)
{
	size_t unread_bytes =
		evbuffer_get_length(bufferevent_get_input(cn->bev));

	/*
	 * Surplus bytes and stale answers could be mistaken for the answer to
	 * the next request, and so could answers that identify no request.
	 */
	return cn->reusable && !cn->write_error && !unread_bytes &&
	       !cn->stale_answers &&
	       identifying_value(cn->client, cn->call.request) &&
	       cn->sent_count < CONN_REQUESTS_MAX;
}

/* Sets the idle timeout from the upstream's Keep-Alive header. */
static void update_idle_timeout(struct client_conn *cn)
{
	const char *v = payload_header(&cn->answer->payload, "Keep-Alive");
	const char *t = v ? strstr(v, "timeout=") : NULL;
	long s = t ? strtol(t + strlen("timeout="), NULL, 10) : 0;

	if (s > 0 && s < 3600)
		cn->idle_timeout_ns =
			(uint64_t)((double)s * KEEP_ALIVE_FRACTION *
				   (double)NS_PER_S);
}

/* Ends the call and its connection because of what the upstream sent. */
static void abandon_answer(struct client_conn *cn, const char *why)
{
	log_event(LOG_WARN, "event=answer_invalid why=%s addr=%s", why,
		  cn->addr);
	finish_call(cn, CLIENT_INCOMPLETE, false);
}

/* True if more was received than any proper answer needs for its body. */
static bool exceeds_framing(const struct client_conn *cn)
{
	return cn->received_bytes - cn->body_bytes >
	       FRAMING_MAX_BYTES + FRAMING_PER_BODY_BYTE * cn->body_bytes;
}

/*
 * Handles a complete answer. True if the call still waits for its own answer;
 * otherwise the call has ended and @cn may be freed.
 */
static bool handle_answer(struct client_conn *cn)
{
	/* A 1xx answer is followed by the final one. */
	if (cn->answer->code / 100 == 1) {
		answer_reset(cn);
		parser_reset(cn);
		return true;
	}
	if (!answers_request(cn)) {
		log_event(LOG_WARN,
			  "event=answer_dropped why=other_request addr=%s",
			  cn->addr);
		if (!cn->reusable || ++cn->stale_answers > STALE_ANSWERS_MAX) {
			abandon_answer(cn, "too_many_stale");
			return false;
		}
		answer_reset(cn);
		parser_reset(cn);
		answer_head_reset(&cn->head);
		return true;
	}
	update_idle_timeout(cn);
	finish_call(cn, CLIENT_ANSWERED, may_reuse(cn));
	return false;
}

/*
 * Drops the body of another connection. Its call ends from the loop, as its end
 * may have further calls cancelled.
 */
static void give_up_body(struct client_conn *cn)
{
	cn->given_up = true;
	cn->client->body_bytes -= cn->body.cap;
	buf_done(&cn->body);
	bufferevent_trigger_event(cn->bev, BEV_EVENT_ERROR,
				  BEV_TRIG_DEFER_CALLBACKS);
}

/* Gives up the longest bodies over the limit; false if @cn's was one. */
static bool limit_bodies(struct client_conn *cn)
{
	struct http_client *c = cn->client;
	struct client_conn *it, *longest;

	while (c->body_bytes > HTTP_CLIENT_BODIES_MAX_BYTES) {
		longest = cn;
		list_for_each_entry(it, &c->busy, link)
			if (it->body.cap > longest->body.cap)
				longest = it;
		if (longest == cn) {
			abandon_answer(cn, "too_many_bytes");
			return false;
		}
		give_up_body(longest);
	}
	return true;
}

static void on_read(struct bufferevent *bev, void *arg)
{
	struct client_conn *cn = arg;
	struct evbuffer *in = bufferevent_get_input(bev);
	size_t len;

	/* Bytes on an idle connection answer no request. */
	if (!cn->call.request) {
		conn_delete(cn);
		return;
	}
	if (cn->given_up) {
		abandon_answer(cn, "too_many_bytes");
		return;
	}
	while ((len = evbuffer_get_contiguous_space(in)) > 0) {
		const char *data =
			(const char *)evbuffer_pullup(in, (ssize_t)len);
		enum http_errno err;
		size_t parsed;

		parsed = http_parser_execute(&cn->parser, &parser_settings,
					     data, len);
		err = HTTP_PARSER_ERRNO(&cn->parser);
		answer_head_read(&cn->head, data, parsed);
		evbuffer_drain(in, parsed);
		cn->received_bytes += parsed;
		if (cn->head.state == ANSWER_HEAD_INVALID) {
			abandon_answer(cn, cn->head.why);
			return;
		}
		if (exceeds_framing(cn)) {
			abandon_answer(cn, "head_too_long");
			return;
		}
		if (cn->complete) {
			if (!handle_answer(cn))
				return;
			continue;
		}
		if (!limit_bodies(cn))
			return;
		if (err != HPE_OK || cn->parser.upgrade) {
			abandon_answer(cn, http_errno_name(err));
			return;
		}
	}
}

static enum client_end end_without_answer(const struct client_conn *cn)
{
	return cn->sent ? CLIENT_INCOMPLETE : CLIENT_NOT_SENT;
}

/* Ends a call whose connection ended before its answer did. */
static void on_answer_cut(struct client_conn *cn, const char *why)
{
	if (cn->received_bytes)
		log_event(LOG_WARN, "event=answer_cut why=\"%s\" addr=%s", why,
			  cn->addr);
	finish_call(cn, end_without_answer(cn), false);
}

/*
 * True if the end of the received bytes is not a FIN. The socket reports a
 * reset only once, so that after a failed write its end looks like one. EPIPE
 * means that the FIN came before the reset.
 */
static bool was_reset(const struct client_conn *cn)
{
	return cn->write_error && cn->write_error != EPIPE;
}

/*
 * An answer without a length is complete when the upstream closes the
 * connection; a reset does not complete it.
 */
static void on_eof(struct client_conn *cn)
{
	if (was_reset(cn)) {
		on_answer_cut(cn, strerror(cn->write_error));
		return;
	}
	http_parser_execute(&cn->parser, &parser_settings, NULL, 0);
	if (cn->complete && cn->answer && cn->answer->code / 100 != 1 &&
	    answers_request(cn))
		finish_call(cn, CLIENT_ANSWERED, false);
	else
		on_answer_cut(cn, "closed");
}

static void write_request(struct client_conn *cn)
{
	const struct http_request *r = cn->call.request;
	struct evbuffer *out = evbuffer_new();
	const struct header *h;

	evbuffer_add_printf(out, "%s %s HTTP/1.1\r\n", r->method, r->target);
	list_for_each_entry(h, &r->payload.headers, link)
		evbuffer_add_printf(out, "%s: %s\r\n", h->name, h->value);
	if (r->payload.body_len ||
	    (strcmp(r->method, "GET") != 0 && strcmp(r->method, "HEAD") != 0))
		evbuffer_add_printf(out, "Content-Length: %zu\r\n",
				    r->payload.body_len);
	evbuffer_add(out, "\r\n", 2);
	if (r->payload.body_len)
		evbuffer_add(out, r->payload.body, r->payload.body_len);
	record_sent(cn);
	cn->wrote = true;
	cn->sent = false;
	cn->stale_answers = 0;
	cn->received_bytes = 0;
	cn->body_bytes = 0;
	parser_reset(cn);
	answer_head_reset(&cn->head);
	answer_reset(cn);
	bufferevent_write_buffer(cn->bev, out);
	evbuffer_free(out);
}

static void set_timer(struct client_conn *cn, uint64_t at_ns)
{
	uint64_t now = clock_now_ns();
	uint64_t left = at_ns > now ? at_ns - now : 0;
	struct timeval tv = {
		.tv_sec = (time_t)(left / NS_PER_S),
		.tv_usec = (suseconds_t)(left % NS_PER_S / NS_PER_US)};

	evtimer_add(cn->timer, &tv);
}

/* True if the connection is open and nothing was received on it. */
static bool is_quiet(const struct client_conn *cn)
{
	return !evbuffer_get_length(bufferevent_get_input(cn->bev)) &&
	       socket_is_idle(bufferevent_getfd(cn->bev));
}

/* Writes the request unless its deadline or write_before_ns has passed. */
static void send_call(struct client_conn *cn)
{
	uint64_t now = clock_now_ns();

	if (now >= cn->call.write_before_ns || now >= cn->call.deadline_ns) {
		log_event(LOG_WARN,
			  "event=request_not_sent why=too_late addr=%s",
			  cn->addr);
		finish_call(cn, CLIENT_NOT_SENT, true);
		return;
	}
	/* Bytes before the first request answer none. */
	if (!is_quiet(cn)) {
		log_event(LOG_WARN,
			  "event=request_not_sent why=connection_not_idle "
			  "addr=%s",
			  cn->addr);
		finish_call(cn, CLIENT_NOT_SENT, false);
		return;
	}
	set_timer(cn, cn->call.deadline_ns);
	write_request(cn);
}

static void on_event(struct bufferevent *bev, short what, void *arg)
{
	struct client_conn *cn = arg;

	if (what & BEV_EVENT_CONNECTED) {
		cn->connected = true;
		socket_set_opts(bufferevent_getfd(bev));
		send_call(cn);
		return;
	}
	if (!cn->call.request) {
		conn_delete(cn);
		return;
	}
	if (cn->given_up) {
		abandon_answer(cn, "too_many_bytes");
		return;
	}
	if (!cn->connected) {
		bool refused = EVUTIL_SOCKET_ERROR() == ECONNREFUSED;

		log_event(LOG_WARN, "event=request_not_sent why=\"%s\" addr=%s",
			  strerror(EVUTIL_SOCKET_ERROR()), cn->addr);
		finish_call(cn, refused ? CLIENT_REFUSED : CLIENT_NOT_SENT,
			    false);
		return;
	}
	/* An answer that came before a failed write is read to its end. */
	if (what & BEV_EVENT_WRITING)
		cn->write_error = EVUTIL_SOCKET_ERROR();
	else if (what & BEV_EVENT_EOF)
		on_eof(cn);
	else
		on_answer_cut(cn, strerror(EVUTIL_SOCKET_ERROR()));
}

/* True if the connection is open, even if its callback has not run yet. */
static bool is_established(const struct client_conn *cn)
{
	struct sockaddr_storage peer;
	socklen_t len = sizeof(peer);

	return getpeername(bufferevent_getfd(cn->bev), (struct sockaddr *)&peer,
			   &len) == 0;
}

static void on_timer(evutil_socket_t fd, short what, void *arg)
{
	struct client_conn *cn = arg;

	(void)fd;
	(void)what;
	if (!cn->call.request)
		return;
	/* After a stall of the process, the timer comes before the callback. */
	if (!cn->connected && clock_now_ns() < cn->call.deadline_ns &&
	    is_established(cn)) {
		set_timer(cn, cn->call.deadline_ns);
		return;
	}
	if (!cn->sent)
		log_event(LOG_WARN, "event=request_not_sent why=%s addr=%s",
			  cn->connected ? "too_late" : "connect_timeout",
			  cn->addr);
	finish_call(cn, cn->sent ? CLIENT_TIMED_OUT : CLIENT_NOT_SENT, false);
}

static struct client_conn *conn_new(struct http_client *c, const char *addr)
{
	struct client_conn *cn = mem_new(struct client_conn);

	cn->client = c;
	cn->idle_timeout_ns = IDLE_TIMEOUT_DEFAULT_NS;
	mem_copy_str(cn->addr, addr, sizeof(cn->addr));
	/* Deferred callbacks would merge the error of a write with an EOF. */
	cn->bev =
		bufferevent_socket_new(c->opts.base, -1, BEV_OPT_CLOSE_ON_FREE);
	cn->timer = evtimer_new(c->opts.base, on_timer, cn);
	evbuffer_add_cb(bufferevent_get_output(cn->bev), on_output_change, cn);
	bufferevent_setcb(cn->bev, on_read, NULL, on_event, cn);
	bufferevent_enable(cn->bev, EV_READ | EV_WRITE);
	list_init(&cn->link);
	return cn;
}

/*
 * Returns an idle connection that may carry @call; NULL for none. Closes those
 * that have timed out, lead elsewhere or have unread bytes.
 */
static struct client_conn *find_idle_conn(struct http_client *c,
					  const struct client_call *call)
{
	uint64_t now = clock_now_ns();
	struct client_conn *cn, *tmp, *unfit = NULL;

	list_for_each_entry_safe(cn, tmp, &c->idle, link) {
		if (now >= cn->idle_deadline_ns ||
		    strcmp(cn->addr, call->addr) != 0 || !is_quiet(cn))
			conn_delete(cn);
		else if (may_carry(cn, call->request))
			return cn;
		else
			unfit = cn;
	}
	/* The upstream limits its connections, so a new one replaces it. */
	if (unfit)
		conn_delete(unfit);
	return NULL;
}

void http_client_call(struct http_client *c, const struct client_call *call)
{
	struct client_conn *cn = find_idle_conn(c, call);
	struct sockaddr_in sin;
	bool reused = cn != NULL;

	if (!reused)
		cn = conn_new(c, call->addr);
	list_remove(&cn->link);
	list_push_back(&c->busy, &cn->link);
	cn->call = *call;
	cn->call.request = http_request_ref(call->request);
	cn->wrote = false;
	cn->sent = false;
	if (reused && clock_now_ns() < call->write_before_ns) {
		set_timer(cn, call->deadline_ns);
		write_request(cn);
		return;
	}
	if (reused) {
		/* on_end must not be called from inside this function. */
		set_timer(cn, 0);
		return;
	}
	c->connects++;
	set_timer(cn, clock_now_ns() + CONNECT_TIMEOUT_NS);
	if (!addr_to_sockaddr(call->addr, &sin) ||
	    bufferevent_socket_connect(cn->bev, (struct sockaddr *)&sin,
				       sizeof(sin)) != 0)
		set_timer(cn, 0);
}

void http_client_cancel(struct http_client *c, uint64_t call)
{
	struct client_conn *cn, *tmp;

	list_for_each_entry_safe(cn, tmp, &c->busy, link) {
		if (cn->call.call != call)
			continue;
		finish_call(cn, end_without_answer(cn), false);
		return;
	}
}
