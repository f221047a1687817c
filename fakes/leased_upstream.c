#include "fakes/leased_upstream.h"

#include <event2/buffer.h>
#include <event2/http.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "core/mem.h"
#include "core/rng.h"
#include "core/text.h"
#include "io/addr.h"
#include "io/clock.h"
#include "platform/names.h"

#define ID_MAX		     64
#define ADDR_TEXT_MAX	     64
#define ANNOUNCE_TIMEOUT_S   1
#define ANNOUNCE_RELEASED_MS 100
#define LAPSE_CHECK_US	     10000
#define HTTP_MISDIRECTED     421
#define ENDLESS_INTERVAL_US  1000
/* While a fault is set, one in so many requests gets a faulty answer. */
#define FAULTY_ONE_IN	     3

/** A row that is held, or one to be released once its requests have ended. */
struct held_row {
	struct list link;
	uint32_t from;
	uint32_t to;
	uint64_t fence;
	uint64_t until_ns; /* end of the lease */
	bool released;	   /* not in the last grant; gets no new requests */
};

/** A row that was released, to be announced with its proof of handover. */
struct released_row {
	struct list link;
	uint32_t from;
	uint32_t to;
	char proof[KEYMAP_HANDOVER_MAX];
};

struct running_request {
	struct list link;
	struct leased_upstream *upstream;
	struct evhttp_request *req;
	struct event *timer;
	char id[ID_MAX];
	bool keyed;
	uint32_t key;
	bool endless; /* its answer goes on until the caller closes */
};

struct leased_upstream {
	struct leased_upstream_opts opts;
	char addr[ADDR_TEXT_MAX];
	char announced_addr[ADDR_TEXT_MAX];
	char control[ADDR_TEXT_MAX];
	char instance[ID_MAX];
	struct rng rng;
	struct evhttp *http;
	struct evhttp_connection *node; /* for announcements */
	struct event *announce;
	struct event *lapse;
	struct list held_rows;	   /* of struct held_row */
	struct list released_rows; /* of struct released_row, unacknowledged */
	struct list requests;	   /* of struct running_request */
	uint32_t running;
	uint64_t born_ms;  /* when the instance started */
	uint64_t sequence; /* of the last announcement */
	uint64_t sent_ns;  /* of the unanswered announcement; 0: none */
	bool draining;
	uint64_t left_ns; /* first acknowledgement while draining; 0: none */
	bool frozen;
	enum answer_fault fault;
	char refused_id[ID_MAX]; /* of the last refusal */
	uint16_t refused_port;	 /* the caller's port of its connection */
};

static void request_delete(struct running_request *r)
{
	r->upstream->running--;
	list_remove(&r->link);
	event_free(r->timer);
	free(r);
}

static uint16_t caller_port(struct evhttp_request *req)
{
	char *ip;
	uint16_t port = 0;

	evhttp_connection_get_peer(evhttp_request_get_connection(req), &ip,
				   &port);
	return port;
}

/* True for a part of the requests while the fault @f is set. */
static bool plays_fault(struct leased_upstream *u, enum answer_fault f)
{
	return u->fault == f && !rng_below(&u->rng, FAULTY_ONE_IN);
}

static void respond(struct leased_upstream *u, struct evhttp_request *req,
		    int code, const char *id, const char *body)
{
	struct evkeyvalq *h = evhttp_request_get_output_headers(req);
	struct evbuffer *b = evbuffer_new();
	char text[ID_MAX + 8];

	if (id)
		evhttp_add_header(h, HEADER_REQUEST_ID, id);
	if (code == HTTP_OK) {
		text_format(text, sizeof(text), "sig-%s", id);
		evhttp_add_header(h, HEADER_SIGNATURE, text);
	} else if (code != HTTP_INTERNAL) {
		evhttp_add_header(h, HEADER_NOT_RUN, "1");
		mem_copy_str(u->refused_id, id ? id : "",
			     sizeof(u->refused_id));
		u->refused_port = caller_port(req);
	}
	text_format(text, sizeof(text), "%u,0,%u,100", u->running,
		    u->opts.slots);
	evhttp_add_header(h, HEADER_LOAD, text);
	evbuffer_add(b, body, strlen(body));
	evhttp_send_reply(req, code, NULL, b);
	evbuffer_free(b);
}

static void on_caller_disconnected(struct evhttp_connection *c, void *arg)
{
	struct running_request *r = arg;

	evhttp_connection_set_closecb(c, NULL, NULL);
	request_delete(r);
}

static void close_connection(struct running_request *r)
{
	struct evhttp_connection *c = evhttp_request_get_connection(r->req);

	evhttp_connection_set_closecb(c, NULL, NULL);
	evhttp_connection_free(c);
	request_delete(r);
}

static void continue_endless_answer(struct running_request *r)
{
	struct timeval tv = {.tv_usec = ENDLESS_INTERVAL_US};

	if (!r->endless)
		faulty_answer_start(r->req, r->id, &r->upstream->rng);
	r->endless = true;
	if (faulty_answer_continue(r->req))
		evtimer_add(r->timer, &tv);
	else
		close_connection(r);
}

static void on_work_done(evutil_socket_t fd, short what, void *arg)
{
	struct running_request *r = arg;
	struct leased_upstream *u = r->upstream;
	char body[ID_MAX * 2];
	bool still_held =
		!r->keyed || leased_upstream_holds(u, r->key, clock_now_ns());

	(void)fd;
	(void)what;
	if (r->endless || plays_fault(u, ANSWER_ENDLESS)) {
		continue_endless_answer(r);
		return;
	}
	if (plays_fault(u, ANSWER_CUT)) {
		faulty_answer_cut(r->req, r->id, &u->rng);
		close_connection(r);
		return;
	}
	evhttp_connection_set_closecb(evhttp_request_get_connection(r->req),
				      NULL, NULL);
	text_format(body, sizeof(body), "%s whole", r->id);
	respond(u, r->req, still_held ? HTTP_OK : HTTP_INTERNAL, r->id, body);
	request_delete(r);
}

static void start_request(struct leased_upstream *u, struct evhttp_request *req,
			  const char *id, const char *key)
{
	struct running_request *r = mem_new(struct running_request);
	uint64_t ms = u->opts.work_ms / 2 + rng_below(&u->rng, u->opts.work_ms);
	struct timeval tv = {.tv_sec = (time_t)(ms / 1000),
			     .tv_usec = (suseconds_t)(ms % 1000) * 1000};
	struct leased_upstream_event ev = {
		.upstream = u, .request_id = id, .keyed = key != NULL};

	r->upstream = u;
	r->req = req;
	mem_copy_str(r->id, id, sizeof(r->id));
	r->keyed = key != NULL;
	r->key = key ? (uint32_t)strtoul(key, NULL, 10) : 0;
	ev.key = r->key;
	r->timer = evtimer_new(u->opts.base, on_work_done, r);
	evtimer_add(r->timer, &tv);
	list_push_back(&u->requests, &r->link);
	u->running++;
	evhttp_connection_set_closecb(evhttp_request_get_connection(req),
				      on_caller_disconnected, r);
	u->opts.on_event(u->opts.arg, &ev);
	if (u->fault == ANSWER_REPEATS_REFUSAL &&
	    u->refused_port == caller_port(req))
		faulty_answer_refuse(req, u->refused_id);
}

static void on_request(struct evhttp_request *req, void *arg)
{
	struct leased_upstream *u = arg;
	struct evkeyvalq *h = evhttp_request_get_input_headers(req);
	const char *id = evhttp_find_header(h, HEADER_REQUEST_ID);
	const char *wanted = evhttp_find_header(h, HEADER_INSTANCE);
	const char *key =
		u->opts.keyed ? evhttp_find_header(h, HEADER_SHARD) : NULL;

	if (!id) {
		respond(u, req, HTTP_BADREQUEST, NULL, "no id");
	} else if (wanted && strcmp(wanted, u->instance) != 0) {
		respond(u, req, HTTP_MISDIRECTED, id, "another instance");
	} else if (u->opts.keyed &&
		   (!key ||
		    !leased_upstream_holds(u, (uint32_t)strtoul(key, NULL, 10),
					   clock_now_ns()))) {
		respond(u, req, HTTP_MISDIRECTED, id, "not held");
	} else if (u->running >= u->opts.slots) {
		respond(u, req, HTTP_SERVUNAVAIL, id, "full");
	} else if (plays_fault(u, ANSWER_REPEATS_REFUSAL)) {
		if (rng_below(&u->rng, 2))
			faulty_answer_refuse(req, id);
		respond(u, req, HTTP_SERVUNAVAIL, id, "full");
	} else {
		start_request(u, req, id, key);
	}
}

static bool has_requests_on(const struct leased_upstream *u,
			    const struct held_row *h)
{
	const struct running_request *r;

	list_for_each_entry(r, &u->requests, link)
		if (r->keyed && r->key >= h->from && r->key <= h->to)
			return true;
	return false;
}

static void held_row_delete(struct held_row *h)
{
	list_remove(&h->link);
	free(h);
}

/* Releases rows missing from the last grant once no request runs on them. */
static void release_idle_rows(struct leased_upstream *u)
{
	struct held_row *h, *tmp;

	list_for_each_entry_safe(h, tmp, &u->held_rows, link) {
		struct released_row *g;

		if (!h->released || has_requests_on(u, h))
			continue;
		g = mem_new(struct released_row);
		g->from = h->from;
		g->to = h->to;
		text_format(g->proof, sizeof(g->proof), "%s-%lu", u->instance,
			    (unsigned long)h->fence);
		list_push_back(&u->released_rows, &g->link);
		held_row_delete(h);
	}
}

static void on_lapse(evutil_socket_t fd, short what, void *arg)
{
	struct leased_upstream *u = arg;
	uint64_t now = clock_now_ns();
	struct held_row *h, *tmp;

	(void)fd;
	(void)what;
	list_for_each_entry_safe(h, tmp, &u->held_rows, link)
		if (now >= h->until_ns)
			held_row_delete(h);
}

static json_t *held_rows_json(const struct leased_upstream *u)
{
	json_t *list = json_array();
	const struct held_row *h;

	list_for_each_entry(h, &u->held_rows, link)
		json_array_append_new(list, json_pack("[i,i,I]", (int)h->from,
						      (int)h->to,
						      (json_int_t)h->fence));
	return list;
}

static json_t *released_rows_json(struct leased_upstream *u)
{
	json_t *list = json_array();
	const struct released_row *g;

	list_for_each_entry(g, &u->released_rows, link)
		json_array_append_new(list, json_pack("[i,i,s]", (int)g->from,
						      (int)g->to, g->proof));
	return list;
}

static void released_rows_clear(struct leased_upstream *u)
{
	struct released_row *g, *tmp;

	list_for_each_entry_safe(g, tmp, &u->released_rows, link) {
		list_remove(&g->link);
		free(g);
	}
}

/* True if the grant @n overlaps a held row with a higher fence. */
static bool is_stale(const struct leased_upstream *u, const struct held_row *n)
{
	const struct held_row *h;

	list_for_each_entry(h, &u->held_rows, link)
		if (h->from <= n->to && n->from <= h->to && h->fence > n->fence)
			return true;
	return false;
}

static bool already_held(const struct leased_upstream *u,
			 const struct held_row *n)
{
	const struct held_row *h;

	list_for_each_entry(h, &u->held_rows, link)
		if (h->from <= n->from && n->to <= h->to &&
		    h->fence == n->fence)
			return true;
	return false;
}

static void report_acquired_row(struct leased_upstream *u,
				const struct held_row *h)
{
	struct leased_upstream_event ev = {
		.upstream = u, .from = h->from, .to = h->to, .fence = h->fence};

	u->opts.on_event(u->opts.arg, &ev);
}

static void apply_grants(struct leased_upstream *u, const json_t *rows,
			 uint64_t until_ns)
{
	struct list granted;
	struct held_row *h, *tmp;
	const json_t *row;
	size_t i;

	list_init(&granted);
	json_array_foreach(rows, i, row)
	{
		struct held_row *n = mem_new(struct held_row);

		n->from = (uint32_t)json_integer_value(json_array_get(row, 0));
		n->to = (uint32_t)json_integer_value(json_array_get(row, 1));
		n->fence = (uint64_t)json_integer_value(json_array_get(row, 2));
		n->until_ns = until_ns;
		if (is_stale(u, n))
			free(n);
		else
			list_push_back(&granted, &n->link);
	}
	list_for_each_entry(h, &granted, link)
		if (!already_held(u, h))
			report_acquired_row(u, h);
	list_for_each_entry_safe(h, tmp, &u->held_rows, link) {
		const struct held_row *n;
		bool covered = false;

		list_for_each_entry(n, &granted, link)
			covered |= n->from <= h->from && h->to <= n->to;
		if (covered)
			held_row_delete(h);
		else
			h->released = true;
	}
	list_splice_back(&u->held_rows, &granted);
}

static void announce_after(struct leased_upstream *u, uint32_t ms)
{
	struct timeval tv = {.tv_sec = (time_t)(ms / 1000),
			     .tv_usec = (suseconds_t)(ms % 1000) * 1000};

	evtimer_add(u->announce, &tv);
}

static void on_announce_answer(struct evhttp_request *req, void *arg)
{
	struct leased_upstream *u = arg;
	uint64_t sent = u->sent_ns;
	struct evbuffer *in;
	json_t *o, *rows;
	double hold_s;
	bool more;

	u->sent_ns = 0;
	if (!req || evhttp_request_get_response_code(req) != HTTP_OK) {
		announce_after(u, u->opts.announce_ms);
		return;
	}
	in = evhttp_request_get_input_buffer(req);
	o = json_loadb((char *)evbuffer_pullup(in, -1), evbuffer_get_length(in),
		       0, NULL);
	rows = json_object_get(o, "holds");
	hold_s = json_number_value(json_object_get(o, "holdS"));
	released_rows_clear(u);
	if (u->draining && !u->left_ns)
		u->left_ns = clock_now_ns();
	if (json_is_array(rows) && hold_s > 0)
		apply_grants(
			u, rows,
			sent + (uint64_t)(hold_s * (double)NS_PER_S) *
					(100 + u->opts.clock_slow_percent) /
					100);
	json_decref(o);
	release_idle_rows(u);
	more = !list_empty(&u->released_rows);
	announce_after(u, more ? ANNOUNCE_RELEASED_MS : u->opts.announce_ms);
}

static char *announcement(struct leased_upstream *u)
{
	json_t *o = json_pack(
		"{s:s,s:I,s:{s:s,s:s,s:s,s:i},s:{s:s,s:I,s:f},s:o,s:o}",
		"address", u->announced_addr, "born", (json_int_t)u->born_ms,
		"info", "service", u->opts.service, "version", "v1", "zone",
		u->opts.dc, "slots", (int)u->opts.slots, "status", "state",
		u->draining ? "draining" : "ready", "sequence",
		(json_int_t)++u->sequence, "warmupLeftS", 0.0, "holds",
		held_rows_json(u), "released", released_rows_json(u));
	char *text = json_dumps(o, JSON_COMPACT);

	json_decref(o);
	return text;
}

static void on_announce(evutil_socket_t fd, short what, void *arg)
{
	struct leased_upstream *u = arg;
	struct evhttp_request *req;
	char uri[ID_MAX * 2 + 64];
	char *text;

	(void)fd;
	(void)what;
	if (u->frozen || u->sent_ns) {
		announce_after(u, u->opts.announce_ms);
		return;
	}
	release_idle_rows(u);
	text = announcement(u);
	req = evhttp_request_new(on_announce_answer, u);
	evhttp_add_header(evhttp_request_get_output_headers(req), "Host",
			  u->control);
	evbuffer_add(evhttp_request_get_output_buffer(req), text, strlen(text));
	free(text);
	text_format(uri, sizeof(uri), "/jackdawpaddle/rpc?call=%s&of=%s",
		    RPC_HEARTBEAT, u->instance);
	u->sent_ns = clock_now_ns();
	/* On failure evhttp frees the request without a callback. */
	if (evhttp_make_request(u->node, req, EVHTTP_REQ_POST, uri) != 0) {
		u->sent_ns = 0;
		announce_after(u, u->opts.announce_ms);
	}
}

struct leased_upstream *
leased_upstream_new(const struct leased_upstream_opts *o)
{
	struct leased_upstream *u = mem_new(struct leased_upstream);
	struct timeval lapse = {.tv_usec = LAPSE_CHECK_US};
	char ip[ADDR_TEXT_MAX];
	uint16_t port;

	u->opts = *o;
	mem_copy_str(u->addr, o->addr, sizeof(u->addr));
	mem_copy_str(u->announced_addr, o->announced_addr,
		     sizeof(u->announced_addr));
	mem_copy_str(u->control, o->control, sizeof(u->control));
	mem_copy_str(u->instance, o->instance, sizeof(u->instance));
	rng_init(&u->rng, o->seed);
	list_init(&u->held_rows);
	list_init(&u->released_rows);
	list_init(&u->requests);
	u->born_ms = clock_now_ns() / NS_PER_MS;
	addr_split(o->control, ip, sizeof(ip), &port);
	u->node = evhttp_connection_base_new(o->base, NULL, ip, port);
	evhttp_connection_set_timeout(u->node, ANNOUNCE_TIMEOUT_S);
	u->announce = evtimer_new(o->base, on_announce, u);
	u->lapse = event_new(o->base, -1, EV_PERSIST, on_lapse, u);
	event_add(u->lapse, &lapse);
	announce_after(u, 1);
	u->http = evhttp_new(o->base);
	evhttp_set_gencb(u->http, on_request, u);
	if (addr_split(o->addr, ip, sizeof(ip), &port) &&
	    evhttp_bind_socket(u->http, ip, port) == 0)
		return u;
	leased_upstream_delete(u);
	return NULL;
}

void leased_upstream_delete(struct leased_upstream *u)
{
	struct running_request *r, *rt;
	struct held_row *h, *ht;

	list_for_each_entry_safe(r, rt, &u->requests, link) {
		evhttp_connection_set_closecb(
			evhttp_request_get_connection(r->req), NULL, NULL);
		request_delete(r);
	}
	evhttp_connection_free(u->node);
	evhttp_free(u->http);
	event_free(u->announce);
	event_free(u->lapse);
	list_for_each_entry_safe(h, ht, &u->held_rows, link)
		held_row_delete(h);
	released_rows_clear(u);
	free(u);
}

void leased_upstream_drain(struct leased_upstream *u)
{
	u->draining = true;
}

void leased_upstream_freeze(struct leased_upstream *u, bool frozen)
{
	u->frozen = frozen;
}

void leased_upstream_set_fault(struct leased_upstream *u,
			       enum answer_fault fault)
{
	u->fault = fault;
}

const char *leased_upstream_instance(const struct leased_upstream *u)
{
	return u->instance;
}

uint64_t leased_upstream_left_ns(const struct leased_upstream *u)
{
	return u->left_ns;
}

bool leased_upstream_holds(const struct leased_upstream *u, uint32_t key,
			   uint64_t now_ns)
{
	const struct held_row *h;

	list_for_each_entry(h, &u->held_rows, link)
		if (key >= h->from && key <= h->to && now_ns < h->until_ns &&
		    !h->released)
			return true;
	return false;
}

void leased_upstream_for_each_row(
	const struct leased_upstream *u, uint64_t now_ns,
	void (*fn)(void *arg, uint32_t from, uint32_t to), void *arg)
{
	const struct held_row *h;

	list_for_each_entry(h, &u->held_rows, link)
		if (now_ns < h->until_ns)
			fn(arg, h->from, h->to);
}
