#include "fakes/kv_server.h"

#include <event2/buffer.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "core/list.h"
#include "core/mem.h"
#include "core/text.h"
#include "core/types.h"
#include "io/addr.h"
#include "io/base64.h"
#include "io/clock.h"

#define KEY_CAP			 201
#define LAPSE_CHECK_MS		 50
#define PAGE_ITEMS_DEFAULT	 500
#define HTTP_GONE		 410
#define HTTP_PRECONDITION_FAILED 412
#define HTTP_TOO_MANY_REQUESTS	 429

struct kv_item {
	struct list link; /* by key */
	char key[KEY_CAP];
	char *value; /* base64; NULL: removed */
	uint64_t revision;
	uint64_t created; /* revision at which it was created */
	uint64_t lease;	  /* its id; 0: no lease */
};

struct kv_lease {
	struct list link;
	uint64_t id;
	uint64_t ttl_ns;
	uint64_t until_ns;
};

/** What the store can lose. */
struct kv_state {
	struct list items;  /* of struct kv_item, removed ones too */
	struct list leases; /* of struct kv_lease */
	uint64_t revision;
	uint64_t compacted; /* watches from before this revision get 410 */
	uint64_t next_lease;
};

/** The state at an earlier time. */
struct kv_copy {
	struct list link;
	uint64_t at_ns;
	struct kv_state state;
};

struct kv_watch {
	struct list link;
	struct kv_server *server;
	struct evhttp_request *req;
	struct event *timer;
	char prefix[KEY_CAP];
	uint64_t after; /* ends at a change after this revision */
};

struct kv_server {
	struct kv_server_opts opts;
	struct evhttp *http;
	struct event *lapse_timer;
	struct event *copy_timer; /* NULL: no copies are kept */
	struct kv_state now;
	struct list copies; /* of struct kv_copy, the newest first */
	uint32_t copy_count;
	uint64_t era;
	struct list operators; /* their last writes, as struct kv_item */
	struct list watches;   /* of struct kv_watch */
	enum kv_fault fault;
	bool away;
	uint64_t calls;
};

static void answer(const struct kv_server *s, struct evhttp_request *req,
		   int code, json_t *o)
{
	struct evbuffer *b = evbuffer_new();
	char *text = o ? json_dumps(o, JSON_COMPACT) : NULL;
	char era[32];

	text_format(era, sizeof(era), "%lu", (unsigned long)s->era);
	evhttp_add_header(evhttp_request_get_output_headers(req), "Store-Era",
			  era);
	if (text)
		evbuffer_add(b, text, strlen(text));
	free(text);
	json_decref(o);
	evhttp_send_reply(req, code, NULL, b);
	evbuffer_free(b);
}

static struct kv_item *find_in(const struct list *items, const char *key)
{
	struct kv_item *it;

	list_for_each_entry(it, items, link)
		if (!strcmp(it->key, key))
			return it;
	return NULL;
}

static struct kv_item *find_item(const struct kv_server *s, const char *key)
{
	return find_in(&s->now.items, key);
}

/* The items are in the order of their keys. */
static struct kv_item *find_or_add_in(struct list *items, const char *key)
{
	struct kv_item *it = find_in(items, key);
	struct kv_item *pos;

	if (it)
		return it;
	it = mem_new(struct kv_item);
	mem_copy_str(it->key, key, sizeof(it->key));
	list_for_each_entry(pos, items, link)
		if (strcmp(pos->key, key) > 0)
			break;
	list_insert_before(&pos->link, &it->link);
	return it;
}

static json_t *item_json(const struct kv_item *it)
{
	if (!it->value)
		return json_pack("{s:s,s:I,s:b}", "key", it->key, "revision",
				 (json_int_t)it->revision, "removed", 1);
	return json_pack("{s:s,s:s,s:I,s:I,s:I}", "key", it->key, "value",
			 it->value, "revision", (json_int_t)it->revision,
			 "created", (json_int_t)it->created, "lease",
			 (json_int_t)it->lease);
}

static json_t *events_after(const struct kv_server *s, const char *prefix,
			    uint64_t after)
{
	json_t *list = json_array();
	const struct kv_item *it;

	list_for_each_entry(it, &s->now.items, link)
		if (it->revision > after &&
		    !strncmp(it->key, prefix, strlen(prefix)))
			json_array_append_new(list, item_json(it));
	return list;
}

static void watch_delete(struct kv_watch *w)
{
	list_remove(&w->link);
	event_free(w->timer);
	free(w);
}

static void watch_end(struct kv_watch *w, json_t *events)
{
	answer(w->server, w->req, HTTP_OK,
	       json_pack("{s:o,s:I}", "events", events, "asOf",
			 (json_int_t)w->server->now.revision));
	watch_delete(w);
}

static void end_ready_watches(struct kv_server *s)
{
	struct kv_watch *w, *tmp;

	list_for_each_entry_safe(w, tmp, &s->watches, link) {
		json_t *events = events_after(s, w->prefix, w->after);

		if (json_array_size(events))
			watch_end(w, events);
		else
			json_decref(events);
	}
}

static void set_value(struct kv_item *it, const char *value)
{
	free(it->value);
	it->value = value ? mem_dup(value, strlen(value)) : NULL;
}

static void put_value(struct kv_server *s, const char *key, const char *value,
		      uint64_t lease)
{
	struct kv_item *it = find_or_add_in(&s->now.items, key);

	if (!it->value)
		it->created = s->now.revision;
	set_value(it, value);
	it->revision = s->now.revision;
	it->lease = lease;
}

/* @value NULL: removes the key. */
static void put_by_operator(struct kv_server *s, const char *key,
			    const char *value)
{
	set_value(find_or_add_in(&s->operators, key), value);
	s->now.revision++;
	put_value(s, key, value, 0);
	end_ready_watches(s);
}

void kv_server_put_base64(struct kv_server *s, const char *key,
			  const char *value)
{
	put_by_operator(s, key, value);
}

void kv_server_put(struct kv_server *s, const char *key, const char *value)
{
	char *text = base64_encode(value, strlen(value));

	kv_server_put_base64(s, key, text);
	free(text);
}

void kv_server_remove(struct kv_server *s, const char *key)
{
	put_by_operator(s, key, NULL);
}

bool kv_server_has(const struct kv_server *s, const char *key)
{
	const struct kv_item *it = find_item(s, key);

	return it && it->value;
}

static struct kv_lease *lease_find(struct kv_server *s, uint64_t id)
{
	struct kv_lease *l;

	list_for_each_entry(l, &s->now.leases, link)
		if (l->id == id)
			return l;
	return NULL;
}

static void lease_end(struct kv_server *s, struct kv_lease *l)
{
	struct kv_item *it;

	list_for_each_entry(it, &s->now.items, link) {
		if (!it->value || it->lease != l->id)
			continue;
		s->now.revision++;
		put_value(s, it->key, NULL, 0);
	}
	list_remove(&l->link);
	free(l);
	end_ready_watches(s);
}

static void on_lapse(evutil_socket_t fd, short what, void *arg)
{
	struct kv_server *s = arg;
	uint64_t now = clock_now_ns();
	struct kv_lease *l, *tmp;

	(void)fd;
	(void)what;
	list_for_each_entry_safe(l, tmp, &s->now.leases, link)
		if (now >= l->until_ns)
			lease_end(s, l);
}

static void state_init(struct kv_state *st)
{
	memset(st, 0, sizeof(*st));
	list_init(&st->items);
	list_init(&st->leases);
	st->revision = 1;
	st->next_lease = 1;
}

static void items_delete(struct list *items)
{
	struct kv_item *it, *tmp;

	list_for_each_entry_safe(it, tmp, items, link) {
		list_remove(&it->link);
		free(it->value);
		free(it);
	}
}

static void state_done(struct kv_state *st)
{
	struct kv_lease *l, *tmp;

	items_delete(&st->items);
	list_for_each_entry_safe(l, tmp, &st->leases, link) {
		list_remove(&l->link);
		free(l);
	}
}

/* Copies @from to @to; each lease ends @later_ns later there. */
static void state_copy(struct kv_state *to, const struct kv_state *from,
		       uint64_t later_ns)
{
	const struct kv_item *it;
	const struct kv_lease *l;

	*to = *from;
	list_init(&to->items);
	list_init(&to->leases);
	list_for_each_entry(it, &from->items, link) {
		struct kv_item *n = mem_dup(it, sizeof(*it));

		n->value = NULL;
		set_value(n, it->value);
		list_push_back(&to->items, &n->link);
	}
	list_for_each_entry(l, &from->leases, link) {
		struct kv_lease *n = mem_dup(l, sizeof(*l));

		n->until_ns += later_ns;
		list_push_back(&to->leases, &n->link);
	}
}

static void copy_delete(struct kv_server *s, struct kv_copy *c)
{
	list_remove(&c->link);
	s->copy_count--;
	state_done(&c->state);
	free(c);
}

static void on_copy(evutil_socket_t fd, short what, void *arg)
{
	struct kv_server *s = arg;
	struct kv_copy *c = mem_new(struct kv_copy);

	(void)fd;
	(void)what;
	c->at_ns = clock_now_ns();
	state_copy(&c->state, &s->now, 0);
	list_push_front(&s->copies, &c->link);
	if (++s->copy_count > s->opts.copies)
		copy_delete(s,
			    list_entry(s->copies.prev, struct kv_copy, link));
}

/* Ends the connection, as a store that goes away does. */
static void watch_cut(struct kv_watch *w)
{
	struct evhttp_connection *conn = evhttp_request_get_connection(w->req);

	if (conn)
		evhttp_connection_free(conn);
	watch_delete(w);
}

bool kv_server_restore(struct kv_server *s, uint64_t age_ns)
{
	uint64_t now = clock_now_ns();
	struct kv_copy *c, *tmp;
	struct kv_watch *w, *wt;

	/* Those that are passed over are of a history that is no more. */
	list_for_each_entry_safe(c, tmp, &s->copies, link)
		if (c->at_ns + age_ns > now && s->copy_count > 1)
			copy_delete(s, c);
	if (list_empty(&s->copies))
		return false;
	c = list_entry(s->copies.next, struct kv_copy, link);
	state_done(&s->now);
	state_copy(&s->now, &c->state, now - c->at_ns);
	s->era++;
	list_for_each_entry_safe(w, wt, &s->watches, link)
		watch_cut(w);
	return true;
}

static bool same_value(const struct kv_item *a, const struct kv_item *b)
{
	if (!a || !a->value || !b->value)
		return (!a || !a->value) && !b->value;
	return !strcmp(a->value, b->value);
}

void kv_server_write_again(struct kv_server *s)
{
	const struct kv_item *it;

	list_for_each_entry(it, &s->operators, link) {
		if (same_value(find_item(s, it->key), it))
			continue;
		s->now.revision++;
		put_value(s, it->key, it->value, 0);
	}
	end_ready_watches(s);
}

static void do_range(struct kv_server *s, struct evhttp_request *req,
		     const struct evkeyvalq *q)
{
	const char *prefix = evhttp_find_header(q, "pathPrefix");
	const char *after = evhttp_find_header(q, "after");
	json_t *items = json_array();
	const struct kv_item *it;
	bool truncated = false;

	list_for_each_entry(it, &s->now.items, link) {
		if (!it->value || !prefix ||
		    strncmp(it->key, prefix, strlen(prefix)) != 0 ||
		    (after && strcmp(it->key, after) <= 0))
			continue;
		if (json_array_size(items) == s->opts.page) {
			truncated = true;
			break;
		}
		json_array_append_new(items, item_json(it));
	}
	answer(s, req, HTTP_OK,
	       json_pack("{s:o,s:b,s:I}", "items", items, "truncated",
			 truncated, "asOf", (json_int_t)s->now.revision));
}

static void on_watch_timeout(evutil_socket_t fd, short what, void *arg)
{
	(void)fd;
	(void)what;
	watch_end(arg, json_array());
}

static uint64_t query_u64(const struct evkeyvalq *q, const char *name)
{
	const char *v = evhttp_find_header(q, name);

	return v ? strtoull(v, NULL, 10) : 0;
}

static void do_watch(struct kv_server *s, struct evhttp_request *req,
		     const struct evkeyvalq *q)
{
	const char *prefix = evhttp_find_header(q, "pathPrefix");
	uint64_t after = query_u64(q, "after");
	uint64_t wait_ms = query_u64(q, "waitMs");
	struct timeval tv = {.tv_sec = (time_t)(wait_ms / 1000),
			     .tv_usec = (suseconds_t)(wait_ms % 1000) * 1000};
	struct kv_watch *w;

	if (after < s->now.compacted || after > s->now.revision) {
		answer(s, req, HTTP_GONE, NULL);
		return;
	}
	w = mem_new(struct kv_watch);
	w->server = s;
	w->req = req;
	w->after = after;
	mem_copy_str(w->prefix, prefix ? prefix : "", sizeof(w->prefix));
	w->timer = evtimer_new(s->opts.base, on_watch_timeout, w);
	evtimer_add(w->timer, &tv);
	list_push_back(&s->watches, &w->link);
	end_ready_watches(s);
}

static bool revisions_match(const struct kv_server *s, const json_t *expected)
{
	const json_t *row;
	size_t i;

	json_array_foreach(expected, i, row)
	{
		const char *key =
			json_string_value(json_object_get(row, "key"));
		const struct kv_item *it = key ? find_item(s, key) : NULL;
		uint64_t revision = it && it->value ? it->revision : 0;

		if (revision != (uint64_t)json_integer_value(
					json_object_get(row, "revision")))
			return false;
	}
	return true;
}

static bool leases_exist(struct kv_server *s, const json_t *puts)
{
	const json_t *row;
	size_t i;

	json_array_foreach(puts, i, row)
	{
		uint64_t lease = (uint64_t)json_integer_value(
			json_object_get(row, "lease"));

		if (lease && !lease_find(s, lease))
			return false;
	}
	return true;
}

static int do_txn(struct kv_server *s, const json_t *o, json_t **out)
{
	const json_t *puts = json_object_get(o, "puts");
	const json_t *row;
	size_t i;

	if (!leases_exist(s, puts))
		return HTTP_NOTFOUND;
	if (!revisions_match(s, json_object_get(o, "expected")))
		return HTTP_PRECONDITION_FAILED;
	s->now.revision++;
	json_array_foreach(puts, i, row) put_value(
		s, json_string_value(json_object_get(row, "key")),
		json_string_value(json_object_get(row, "value")),
		(uint64_t)json_integer_value(json_object_get(row, "lease")));
	json_array_foreach(json_object_get(o, "remove"), i, row)
		put_value(s, json_string_value(row), NULL, 0);
	*out = json_pack("{s:I}", "revision", (json_int_t)s->now.revision);
	end_ready_watches(s);
	return HTTP_OK;
}

static int do_lease(struct kv_server *s, const json_t *o, json_t **out)
{
	struct kv_lease *l = mem_new(struct kv_lease);
	double ttl = json_number_value(json_object_get(o, "ttlS"));

	l->id = s->now.next_lease++;
	l->ttl_ns = (uint64_t)(ttl * (double)NS_PER_S);
	l->until_ns = clock_now_ns() + l->ttl_ns;
	list_push_back(&s->now.leases, &l->link);
	*out = json_pack("{s:I,s:f}", "lease", (json_int_t)l->id, "ttlS", ttl);
	return HTTP_OK;
}

static int do_keep(struct kv_server *s, uint64_t id, json_t **out)
{
	struct kv_lease *l = lease_find(s, id);

	if (!l)
		return HTTP_NOTFOUND;
	l->until_ns = clock_now_ns() + l->ttl_ns;
	*out = json_pack("{s:f}", "ttlS", (double)l->ttl_ns / (double)NS_PER_S);
	return HTTP_OK;
}

static int do_post(struct kv_server *s, const char *path, const json_t *o,
		   json_t **out)
{
	static const char keep[] = "/jackdawpaddle/kv-keep/";
	static const char end[] = "/jackdawpaddle/kv-lease-end/";
	struct kv_lease *l;

	if (!strcmp(path, "/jackdawpaddle/kv-txn"))
		return do_txn(s, o, out);
	if (!strcmp(path, "/jackdawpaddle/kv-lease"))
		return do_lease(s, o, out);
	if (!strncmp(path, keep, strlen(keep)))
		return do_keep(s, strtoull(path + strlen(keep), NULL, 10), out);
	if (strncmp(path, end, strlen(end)) != 0)
		return HTTP_BADREQUEST;
	l = lease_find(s, strtoull(path + strlen(end), NULL, 10));
	if (l)
		lease_end(s, l);
	return l ? HTTP_OK : HTTP_NOTFOUND;
}

/* True if the request must not be run because of the simulated fault. */
static bool handle_fault(const struct kv_server *s, struct evhttp_request *req)
{
	if (s->away)
		return true;
	switch (s->fault) {
	case KV_FAULT_BUSY:
		answer(s, req, HTTP_SERVUNAVAIL, NULL);
		return true;
	case KV_FAULT_TOO_MANY:
		answer(s, req, HTTP_TOO_MANY_REQUESTS, NULL);
		return true;
	case KV_FAULT_SILENT:
		return true;
	case KV_FAULT_NONE:
	case KV_FAULT_LOSES_ANSWERS:
		break;
	}
	return false;
}

static void on_http(struct evhttp_request *req, void *arg)
{
	struct kv_server *s = arg;
	struct evbuffer *in = evhttp_request_get_input_buffer(req);
	size_t len = evbuffer_get_length(in);
	const struct evhttp_uri *uri = evhttp_request_get_evhttp_uri(req);
	const char *path = evhttp_uri_get_path(uri);
	const char *query = evhttp_uri_get_query(uri);
	struct evkeyvalq q;
	json_t *out = NULL;
	json_t *o;
	int code;

	s->calls++;
	if (handle_fault(s, req))
		return;
	evhttp_parse_query_str(query ? query : "", &q);
	if (!strcmp(path, "/jackdawpaddle/kv-range")) {
		do_range(s, req, &q);
	} else if (!strcmp(path, "/jackdawpaddle/kv-watch")) {
		do_watch(s, req, &q);
	} else {
		o = len ? json_loadb((char *)evbuffer_pullup(in, -1), len, 0,
				     NULL)
			: NULL;
		code = do_post(s, path, o, &out);
		json_decref(o);
		if (s->fault == KV_FAULT_LOSES_ANSWERS)
			json_decref(out);
		else
			answer(s, req, code, out);
	}
	evhttp_clear_headers(&q);
}

struct kv_server *kv_server_new(const struct kv_server_opts *o)
{
	struct kv_server *s = mem_new(struct kv_server);
	struct timeval tv = {.tv_usec = LAPSE_CHECK_MS * 1000};
	struct timeval copy = {.tv_sec = o->copy_ms / 1000,
			       .tv_usec = o->copy_ms % 1000 * 1000};
	char ip[JD_ADDR_MAX];
	uint16_t port;

	s->opts = *o;
	if (!s->opts.page)
		s->opts.page = PAGE_ITEMS_DEFAULT;
	state_init(&s->now);
	list_init(&s->copies);
	list_init(&s->operators);
	list_init(&s->watches);
	s->era = 1;
	if (o->copies) {
		s->copy_timer = event_new(o->base, -1, EV_PERSIST, on_copy, s);
		event_add(s->copy_timer, &copy);
	}
	s->lapse_timer = event_new(o->base, -1, EV_PERSIST, on_lapse, s);
	event_add(s->lapse_timer, &tv);
	s->http = evhttp_new(o->base);
	evhttp_set_gencb(s->http, on_http, s);
	if (addr_split(o->addr, ip, sizeof(ip), &port) &&
	    evhttp_bind_socket(s->http, ip, port) == 0)
		return s;
	kv_server_delete(s);
	return NULL;
}

void kv_server_delete(struct kv_server *s)
{
	struct kv_watch *w, *wt;
	struct kv_copy *c, *ct;

	list_for_each_entry_safe(w, wt, &s->watches, link)
		watch_delete(w);
	evhttp_free(s->http);
	event_free(s->lapse_timer);
	if (s->copy_timer)
		event_free(s->copy_timer);
	list_for_each_entry_safe(c, ct, &s->copies, link)
		copy_delete(s, c);
	items_delete(&s->operators);
	state_done(&s->now);
	free(s);
}

void kv_server_set_fault(struct kv_server *s, enum kv_fault fault)
{
	s->fault = fault;
}

void kv_server_set_away(struct kv_server *s, bool away)
{
	s->away = away;
}

void kv_server_compact(struct kv_server *s)
{
	s->now.compacted = s->now.revision;
}

uint64_t kv_server_era(const struct kv_server *s)
{
	return s->era;
}

uint64_t kv_server_calls(const struct kv_server *s)
{
	return s->calls;
}
