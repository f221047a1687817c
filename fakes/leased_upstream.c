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

#define ID_MAX		  64
#define ADDR_TEXT_MAX	  64
#define ANNOUNCE_WAIT_S	  1
#define ANNOUNCE_AGAIN_MS 100
#define HTTP_MISDIRECTED  421

/** A row that it holds, or still works on. */
struct hold {
	struct list link;
	uint32_t from;
	uint32_t to;
	uint64_t fence;
	uint64_t until_ns;
	bool released; /* a request still runs on it */
};

struct gone_row {
	struct list link;
	uint32_t from;
	uint32_t to;
	char proof[KEYMAP_HANDOVER_MAX];
};

struct run {
	struct list link;
	struct leased_upstream *upstream;
	struct evhttp_request *req;
	struct event *timer;
	char id[ID_MAX];
	bool keyed;
	uint32_t key;
};

struct leased_upstream {
	struct leased_upstream_opts opts;
	char addr[ADDR_TEXT_MAX];
	char named[ADDR_TEXT_MAX];
	char control[ADDR_TEXT_MAX];
	char instance[ID_MAX];
	struct rng rng;
	struct evhttp *http;
	struct evhttp_connection *node;
	struct event *announce;
	struct event *lapse;
	struct list holds; /* of struct hold */
	struct list gone;  /* of struct gone_row, since the last answer */
	struct list runs;  /* of struct run */
	uint32_t running;
	uint64_t born_ms;
	uint64_t sequence;
	uint64_t sent_ns; /* of the announcement under way; 0: none */
	bool drains;
	uint64_t left_ns;
	bool frozen;
};

static void run_delete(struct run *r)
{
	r->upstream->running--;
	list_remove(&r->link);
	event_free(r->timer);
	free(r);
}

static void respond(const struct leased_upstream *u, struct evhttp_request *req,
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
	}
	text_format(text, sizeof(text), "%u,0,%u,100", u->running,
		    u->opts.slots);
	evhttp_add_header(h, HEADER_LOAD, text);
	evbuffer_add(b, body, strlen(body));
	evhttp_send_reply(req, code, NULL, b);
	evbuffer_free(b);
}

static void on_caller_closed(struct evhttp_connection *c, void *arg)
{
	struct run *r = arg;

	evhttp_connection_set_closecb(c, NULL, NULL);
	run_delete(r);
}

static void on_done(evutil_socket_t fd, short what, void *arg)
{
	struct run *r = arg;
	struct leased_upstream *u = r->upstream;
	char body[ID_MAX * 2];
	bool whole =
		!r->keyed || leased_upstream_holds(u, r->key, clock_now_ns());

	(void)fd;
	(void)what;
	evhttp_connection_set_closecb(evhttp_request_get_connection(r->req),
				      NULL, NULL);
	text_format(body, sizeof(body), "%s whole", r->id);
	respond(u, r->req, whole ? HTTP_OK : HTTP_INTERNAL, r->id, body);
	run_delete(r);
}

static void start_run(struct leased_upstream *u, struct evhttp_request *req,
		      const char *id, const char *key)
{
	struct run *r = mem_new(struct run);
	uint64_t ms = u->opts.work_ms / 2 + rng_below(&u->rng, u->opts.work_ms);
	struct timeval tv = {.tv_sec = (time_t)(ms / 1000),
			     .tv_usec = (suseconds_t)(ms % 1000) * 1000};
	struct leased_upstream_report rep = {
		.upstream = u, .request_id = id, .keyed = key != NULL};

	r->upstream = u;
	r->req = req;
	mem_copy_str(r->id, id, sizeof(r->id));
	r->keyed = key != NULL;
	r->key = key ? (uint32_t)strtoul(key, NULL, 10) : 0;
	rep.key = r->key;
	r->timer = evtimer_new(u->opts.base, on_done, r);
	evtimer_add(r->timer, &tv);
	list_push_back(&u->runs, &r->link);
	u->running++;
	evhttp_connection_set_closecb(evhttp_request_get_connection(req),
				      on_caller_closed, r);
	u->opts.report(u->opts.arg, &rep);
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
	} else {
		start_run(u, req, id, key);
	}
}

static bool runs_on(const struct leased_upstream *u, const struct hold *h)
{
	const struct run *r;

	list_for_each_entry(r, &u->runs, link)
		if (r->keyed && r->key >= h->from && r->key <= h->to)
			return true;
	return false;
}

static void hold_delete(struct hold *h)
{
	list_remove(&h->link);
	free(h);
}

/* Rows that were left out go once nothing runs on them. */
static void drop_released(struct leased_upstream *u)
{
	struct hold *h, *tmp;

	list_for_each_entry_safe(h, tmp, &u->holds, link) {
		struct gone_row *g;

		if (!h->released || runs_on(u, h))
			continue;
		g = mem_new(struct gone_row);
		g->from = h->from;
		g->to = h->to;
		text_format(g->proof, sizeof(g->proof), "%s-%lu", u->instance,
			    (unsigned long)h->fence);
		list_push_back(&u->gone, &g->link);
		hold_delete(h);
	}
}

static void on_lapse(evutil_socket_t fd, short what, void *arg)
{
	struct leased_upstream *u = arg;
	uint64_t now = clock_now_ns();
	struct hold *h, *tmp;

	(void)fd;
	(void)what;
	list_for_each_entry_safe(h, tmp, &u->holds, link)
		if (now >= h->until_ns)
			hold_delete(h);
}

static json_t *holds_json(const struct leased_upstream *u)
{
	json_t *list = json_array();
	const struct hold *h;

	list_for_each_entry(h, &u->holds, link)
		json_array_append_new(list, json_pack("[i,i,I]", (int)h->from,
						      (int)h->to,
						      (json_int_t)h->fence));
	return list;
}

static json_t *gone_json(struct leased_upstream *u)
{
	json_t *list = json_array();
	const struct gone_row *g;

	list_for_each_entry(g, &u->gone, link)
		json_array_append_new(list, json_pack("[i,i,s]", (int)g->from,
						      (int)g->to, g->proof));
	return list;
}

static void gone_clear(struct leased_upstream *u)
{
	struct gone_row *g, *tmp;

	list_for_each_entry_safe(g, tmp, &u->gone, link) {
		list_remove(&g->link);
		free(g);
	}
}

/* A row with a fence below that of a row it overlaps is not taken. */
static bool is_older(const struct leased_upstream *u, const struct hold *n)
{
	const struct hold *h;

	list_for_each_entry(h, &u->holds, link)
		if (h->from <= n->to && n->from <= h->to && h->fence > n->fence)
			return true;
	return false;
}

static bool had(const struct leased_upstream *u, const struct hold *n)
{
	const struct hold *h;

	list_for_each_entry(h, &u->holds, link)
		if (h->from <= n->from && n->to <= h->to &&
		    h->fence == n->fence)
			return true;
	return false;
}

static void report_row(struct leased_upstream *u, const struct hold *h)
{
	struct leased_upstream_report rep = {
		.upstream = u, .from = h->from, .to = h->to, .fence = h->fence};

	u->opts.report(u->opts.arg, &rep);
}

static void take_grants(struct leased_upstream *u, const json_t *rows,
			uint64_t until_ns)
{
	struct list fresh;
	struct hold *h, *tmp;
	const json_t *row;
	size_t i;

	list_init(&fresh);
	json_array_foreach(rows, i, row)
	{
		struct hold *n = mem_new(struct hold);

		n->from = (uint32_t)json_integer_value(json_array_get(row, 0));
		n->to = (uint32_t)json_integer_value(json_array_get(row, 1));
		n->fence = (uint64_t)json_integer_value(json_array_get(row, 2));
		n->until_ns = until_ns;
		if (is_older(u, n))
			free(n);
		else
			list_push_back(&fresh, &n->link);
	}
	list_for_each_entry(h, &fresh, link)
		if (!had(u, h))
			report_row(u, h);
	list_for_each_entry_safe(h, tmp, &u->holds, link) {
		const struct hold *n;
		bool kept = false;

		list_for_each_entry(n, &fresh, link)
			kept |= n->from <= h->from && h->to <= n->to;
		if (kept)
			hold_delete(h);
		else
			h->released = true;
	}
	list_splice_back(&u->holds, &fresh);
}

static void announce_in(struct leased_upstream *u, uint32_t ms)
{
	struct timeval tv = {.tv_sec = (time_t)(ms / 1000),
			     .tv_usec = (suseconds_t)(ms % 1000) * 1000};

	evtimer_add(u->announce, &tv);
}

static void on_answer(struct evhttp_request *req, void *arg)
{
	struct leased_upstream *u = arg;
	uint64_t sent = u->sent_ns;
	struct evbuffer *in;
	json_t *o, *rows;
	double hold_s;
	bool more;

	u->sent_ns = 0;
	if (!req || evhttp_request_get_response_code(req) != HTTP_OK) {
		announce_in(u, u->opts.announce_ms);
		return;
	}
	in = evhttp_request_get_input_buffer(req);
	o = json_loadb((char *)evbuffer_pullup(in, -1), evbuffer_get_length(in),
		       0, NULL);
	rows = json_object_get(o, "holds");
	hold_s = json_number_value(json_object_get(o, "holdS"));
	gone_clear(u);
	if (u->drains && !u->left_ns)
		u->left_ns = clock_now_ns();
	if (json_is_array(rows) && hold_s > 0)
		take_grants(u, rows,
			    sent + (uint64_t)(hold_s * (double)NS_PER_S) *
					    (100 + u->opts.clock_slow_percent) /
					    100);
	json_decref(o);
	drop_released(u);
	more = !list_empty(&u->gone);
	announce_in(u, more ? ANNOUNCE_AGAIN_MS : u->opts.announce_ms);
}

static char *announcement(struct leased_upstream *u)
{
	json_t *o = json_pack(
		"{s:s,s:I,s:{s:s,s:s,s:s,s:i},s:{s:s,s:I,s:f},s:o,s:o}",
		"address", u->named, "born", (json_int_t)u->born_ms, "info",
		"service", u->opts.service, "version", "v1", "zone", u->opts.dc,
		"slots", (int)u->opts.slots, "status", "state",
		u->drains ? "draining" : "ready", "sequence",
		(json_int_t)++u->sequence, "warmupLeftS", 0.0, "holds",
		holds_json(u), "released", gone_json(u));
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
		announce_in(u, u->opts.announce_ms);
		return;
	}
	drop_released(u);
	text = announcement(u);
	req = evhttp_request_new(on_answer, u);
	evhttp_add_header(evhttp_request_get_output_headers(req), "Host",
			  u->control);
	evbuffer_add(evhttp_request_get_output_buffer(req), text, strlen(text));
	free(text);
	text_format(uri, sizeof(uri), "/jackdawpaddle/rpc?call=%s&of=%s",
		    RPC_HEARTBEAT, u->instance);
	u->sent_ns = clock_now_ns();
	/* evhttp frees the request and calls nothing back when this fails. */
	if (evhttp_make_request(u->node, req, EVHTTP_REQ_POST, uri) != 0) {
		u->sent_ns = 0;
		announce_in(u, u->opts.announce_ms);
	}
}

struct leased_upstream *
leased_upstream_new(const struct leased_upstream_opts *o)
{
	struct leased_upstream *u = mem_new(struct leased_upstream);
	struct timeval lapse = {.tv_usec = 10000};
	char ip[ADDR_TEXT_MAX];
	uint16_t port;

	u->opts = *o;
	mem_copy_str(u->addr, o->addr, sizeof(u->addr));
	mem_copy_str(u->named, o->named, sizeof(u->named));
	mem_copy_str(u->control, o->control, sizeof(u->control));
	mem_copy_str(u->instance, o->instance, sizeof(u->instance));
	rng_init(&u->rng, o->seed);
	list_init(&u->holds);
	list_init(&u->gone);
	list_init(&u->runs);
	u->born_ms = clock_now_ns() / NS_PER_MS;
	addr_split(o->control, ip, sizeof(ip), &port);
	u->node = evhttp_connection_base_new(o->base, NULL, ip, port);
	evhttp_connection_set_timeout(u->node, ANNOUNCE_WAIT_S);
	u->announce = evtimer_new(o->base, on_announce, u);
	u->lapse = event_new(o->base, -1, EV_PERSIST, on_lapse, u);
	event_add(u->lapse, &lapse);
	announce_in(u, 1);
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
	struct run *r, *rt;
	struct hold *h, *ht;

	list_for_each_entry_safe(r, rt, &u->runs, link) {
		evhttp_connection_set_closecb(
			evhttp_request_get_connection(r->req), NULL, NULL);
		run_delete(r);
	}
	evhttp_connection_free(u->node);
	evhttp_free(u->http);
	event_free(u->announce);
	event_free(u->lapse);
	list_for_each_entry_safe(h, ht, &u->holds, link)
		hold_delete(h);
	gone_clear(u);
	free(u);
}

void leased_upstream_drain(struct leased_upstream *u)
{
	u->drains = true;
}

void leased_upstream_freeze(struct leased_upstream *u, bool frozen)
{
	u->frozen = frozen;
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
	const struct hold *h;

	list_for_each_entry(h, &u->holds, link)
		if (key >= h->from && key <= h->to && now_ns < h->until_ns &&
		    !h->released)
			return true;
	return false;
}

void leased_upstream_for_each_row(
	const struct leased_upstream *u, uint64_t now_ns,
	void (*fn)(void *arg, uint32_t from, uint32_t to), void *arg)
{
	const struct hold *h;

	list_for_each_entry(h, &u->holds, link)
		if (now_ns < h->until_ns)
			fn(arg, h->from, h->to);
}
