#include "chaos/load.h"

#include <event2/buffer.h>
#include <event2/http.h>
#include <stdlib.h>
#include <string.h>

#include "core/mem.h"
#include "core/text.h"
#include "io/addr.h"
#include "io/clock.h"

#define CALLER_TIMEOUT_S 15
#define BODY_MAX_BYTES	 20000
#define URI_MAX_BYTES	 128
#define GET_PERCENT	 50
#define BODY_LETTERS	 26

/** A request in flight, on a connection of its own. */
struct sent {
	struct load *load;
	struct op *op;
	struct evhttp_connection *conn;
	struct event *release;
	char uri[URI_MAX_BYTES];
	size_t body_len;
};

/* Runs after on_answer(): evhttp still uses the connection in the callback. */
static void on_release(evutil_socket_t fd, short what, void *arg)
{
	struct sent *s = arg;

	(void)fd;
	(void)what;
	evhttp_connection_free(s->conn);
	event_free(s->release);
	free(s);
}

static enum op_outcome outcome_of(struct evhttp_request *req)
{
	const char *text;

	if (!req || !evhttp_request_get_response_code(req))
		return OP_NO_ANSWER;
	text = evhttp_find_header(evhttp_request_get_input_headers(req),
				  "X-Jackdaw-Outcome");
	if (!text)
		return OP_NO_ANSWER;
	if (!strcmp(text, "done"))
		return OP_DONE;
	return strcmp(text, "not_run") ? OP_UNKNOWN : OP_NOT_RUN;
}

/* True when the answer names the URI of the request and echoes its body. */
static bool answer_matches(const struct sent *s, struct evhttp_request *req)
{
	struct evbuffer *in = evhttp_request_get_input_buffer(req);
	size_t len = evbuffer_get_length(in);
	char *text = mem_dup(len ? evbuffer_pullup(in, -1) : NULL, len);
	char *line_end = strchr(text, '\n');
	char *uri = strstr(text, "uri=");
	size_t uri_len = strlen(s->uri);
	bool matches = line_end && uri && !strncmp(uri + 4, s->uri, uri_len) &&
		       uri[4 + uri_len] == ' ' &&
		       len - (size_t)(line_end + 1 - text) == s->body_len;

	for (char *p = matches ? line_end + 1 : text + len; p < text + len; p++)
		matches &= *p == (char)('a' + s->op->id % BODY_LETTERS);
	free(text);
	return matches;
}

static void on_answer(struct evhttp_request *req, void *arg)
{
	struct timeval immediately = {0, 0};
	struct sent *s = arg;

	s->op->outcome = outcome_of(req);
	s->op->end_ns = clock_now_ns();
	if (s->op->outcome == OP_DONE)
		s->op->crossed = !answer_matches(s, req);
	s->load->in_flight--;
	s->release = evtimer_new(s->load->opts.base, on_release, s);
	evtimer_add(s->release, &immediately);
}

static struct op *op_new(struct load *l)
{
	struct op *op = mem_new(struct op);

	op->id = ++l->count;
	op->key = (uint32_t)rng_below(&l->rng, l->opts.keys);
	op->idempotent = rng_below(&l->rng, 100) < GET_PERCENT;
	op->start_ns = clock_now_ns();
	list_push_back(&l->ops, &op->link);
	return op;
}

static void add_body(struct load *l, struct sent *s, struct evhttp_request *req)
{
	char *body;

	if (s->op->idempotent)
		return;
	s->body_len = rng_below(&l->rng, BODY_MAX_BYTES);
	body = mem_zalloc(s->body_len, 1);
	memset(body, 'a' + (int)(s->op->id % BODY_LETTERS), s->body_len);
	evbuffer_add(evhttp_request_get_output_buffer(req), body, s->body_len);
	free(body);
}

static void send_one(struct load *l, uint32_t target)
{
	struct sent *s = mem_new(struct sent);
	struct evhttp_request *req = evhttp_request_new(on_answer, s);
	char ip[JD_ADDR_MAX];
	uint16_t port = 0;

	s->load = l;
	s->op = op_new(l);
	text_format(s->uri, sizeof(s->uri), "%skey-%u/op-%lu", l->opts.path,
		    s->op->key, (unsigned long)s->op->id);
	addr_split(l->addr[target], ip, sizeof(ip), &port);
	s->conn = evhttp_connection_base_new(l->opts.base, NULL, ip, port);
	evhttp_connection_set_timeout(s->conn, CALLER_TIMEOUT_S);
	evhttp_add_header(evhttp_request_get_output_headers(req), "Host", ip);
	evhttp_add_header(evhttp_request_get_output_headers(req), "Connection",
			  "close");
	add_body(l, s, req);
	l->in_flight++;
	evhttp_make_request(
		s->conn, req,
		s->op->idempotent ? EVHTTP_REQ_GET : EVHTTP_REQ_POST, s->uri);
}

static void on_timer(evutil_socket_t fd, short what, void *arg)
{
	struct load *l = arg;
	uint32_t target = (uint32_t)rng_below(&l->rng, l->targets);

	(void)fd;
	(void)what;
	if (l->paused || !l->targets || l->in_flight >= l->opts.in_flight_max)
		return;
	for (uint32_t i = 0; i < l->targets && !l->up[target]; i++)
		target = (target + 1) % l->targets;
	if (l->up[target])
		send_one(l, target);
}

void load_init(struct load *l, const struct load_opts *o)
{
	struct timeval interval = {.tv_usec = 1000000 / (long)o->per_second};

	memset(l, 0, sizeof(*l));
	l->opts = *o;
	rng_init(&l->rng, o->seed);
	list_init(&l->ops);
	l->timer = event_new(o->base, -1, EV_PERSIST, on_timer, l);
	event_add(l->timer, &interval);
}

void load_done(struct load *l)
{
	struct op *op, *tmp;

	event_free(l->timer);
	list_for_each_entry_safe(op, tmp, &l->ops, link)
		free(op);
}

void load_add_target(struct load *l, const char *addr)
{
	mem_copy_str(l->addr[l->targets], addr, JD_ADDR_MAX);
	l->up[l->targets++] = true;
}

/** A time at which a request of the key was done. */
struct served {
	uint32_t key;
	uint64_t end_ns;
};

static int served_cmp(const void *a, const void *b)
{
	const struct served *x = a;
	const struct served *y = b;

	if (x->key != y->key)
		return x->key < y->key ? -1 : 1;
	return (x->end_ns > y->end_ns) - (x->end_ns < y->end_ns);
}

static size_t collect_served(const struct load *l, struct served *out)
{
	const struct op *op;
	size_t n = 0;

	list_for_each_entry(op, &l->ops, link) {
		if (op->outcome != OP_DONE)
			continue;
		out[n].key = op->key;
		out[n++].end_ns = op->end_ns;
	}
	qsort(out, n, sizeof(*out), served_cmp);
	return n;
}

/* The first time at or after @at_ns that @key was served, or UINT64_MAX. */
static uint64_t next_served(const struct served *s, size_t n, uint32_t key,
			    uint64_t at_ns)
{
	struct served bound = {.key = key, .end_ns = at_ns};
	size_t lo = 0, hi = n;

	while (lo < hi) {
		size_t mid = lo + (hi - lo) / 2;

		if (served_cmp(&s[mid], &bound) < 0)
			lo = mid + 1;
		else
			hi = mid;
	}
	return lo < n && s[lo].key == key ? s[lo].end_ns : UINT64_MAX;
}

uint64_t load_unavailable_ms(const struct load *l, uint64_t from_ns)
{
	struct served *s = mem_zalloc(l->count, sizeof(*s));
	size_t n = collect_served(l, s);
	uint64_t now = clock_now_ns();
	uint64_t longest = 0;
	const struct op *op;

	list_for_each_entry(op, &l->ops, link) {
		uint64_t end = next_served(s, n, op->key, op->start_ns);

		if (op->start_ns < from_ns)
			continue;
		if (end == UINT64_MAX)
			end = now;
		if (end - op->start_ns > longest)
			longest = end - op->start_ns;
	}
	free(s);
	return longest / NS_PER_MS;
}

uint64_t load_count(const struct load *l, enum op_outcome outcome)
{
	const struct op *op;
	uint64_t n = 0;

	list_for_each_entry(op, &l->ops, link)
		n += op->outcome == outcome;
	return n;
}
