#include <argtable2.h>
#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <jansson.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/mem.h"
#include "core/text.h"
#include "fakes/store_state.h"
#include "io/addr.h"
#include "io/clock.h"

#define LAPSE_CHECK_MS 50

/*
 * Faults to simulate, set by /admin/fault. A write whose answer is lost still
 * takes effect.
 */
struct faults {
	uint64_t down_until_ns;
	uint64_t slow_ms;
	uint32_t lose_answers; /* next writes that get no answer */
};

struct store {
	struct event_base *base;
	struct store_state state;
	struct faults faults;
	struct list watches; /* of struct watch */
};

struct watch {
	struct list link;
	struct store *store;
	struct evhttp_request *req;
	struct evhttp_connection *conn;
	struct event *timer;
	char *prefix;
	revision_t since;
};

/* An answer that is to be sent after faults.slow_ms. */
struct delayed_answer {
	struct evhttp_request *req;
	struct evhttp_connection *conn;
	struct event *timer;
	char *text;
};

static void send_text(struct evhttp_request *req, const char *text)
{
	struct evbuffer *b = evbuffer_new();

	evbuffer_add(b, text, strlen(text));
	evhttp_send_reply(req, 200, "OK", b);
	evbuffer_free(b);
}

static void delayed_answer_delete(struct delayed_answer *d)
{
	event_free(d->timer);
	free(d->text);
	free(d);
}

static void on_delay_over(evutil_socket_t fd, short what, void *arg)
{
	struct delayed_answer *d = arg;

	(void)fd;
	(void)what;
	evhttp_connection_set_closecb(d->conn, NULL, NULL);
	send_text(d->req, d->text);
	delayed_answer_delete(d);
}

static void on_delayed_closed(struct evhttp_connection *conn, void *arg)
{
	(void)conn;
	delayed_answer_delete(arg);
}

static void send_json(struct store *s, struct evhttp_request *req, json_t *o)
{
	struct timeval tv = {
		.tv_sec = (time_t)(s->faults.slow_ms / 1000),
		.tv_usec = (suseconds_t)(s->faults.slow_ms % 1000 * 1000)};
	char *text = json_dumps(o, JSON_COMPACT);
	struct delayed_answer *d;

	json_decref(o);
	if (!s->faults.slow_ms) {
		send_text(req, text);
		free(text);
		return;
	}
	d = mem_new(struct delayed_answer);
	d->req = req;
	d->conn = evhttp_request_get_connection(req);
	d->text = text;
	d->timer = evtimer_new(s->base, on_delay_over, d);
	evhttp_connection_set_closecb(d->conn, on_delayed_closed, d);
	evtimer_add(d->timer, &tv);
}

static json_t *answer_new(const struct store *s, bool ok)
{
	return json_pack("{s:b,s:I,s:[]}", "ok", ok, "now",
			 (json_int_t)s->state.now, "items");
}

static void add_item(json_t *o, const struct store_item *it)
{
	json_array_append_new(json_object_get(o, "items"),
			      json_pack("{s:s,s:I,s:s?}", "key", it->key,
					"revision", (json_int_t)it->revision,
					"value", it->value));
}

static uint64_t lapse_at_ns(json_t *in)
{
	json_int_t ttl = json_integer_value(json_object_get(in, "ttl_ms"));

	return ttl > 0 ? clock_now_ns() + (uint64_t)ttl * NS_PER_MS : 0;
}

static void watch_delete(struct watch *w)
{
	list_remove(&w->link);
	event_free(w->timer);
	free(w->prefix);
	free(w);
}

/*
 * Items under @prefix that changed after @since. From revision 0 it lists what
 * exists, without removed items.
 */
static json_t *changes_since(struct store *s, const char *prefix,
			     revision_t since)
{
	json_t *o = answer_new(s, true);
	const struct store_item *it;

	list_for_each_entry(it, &s->state.items, link) {
		if (it->revision <= since ||
		    strncmp(it->key, prefix, strlen(prefix)) != 0)
			continue;
		if (since || it->value)
			add_item(o, it);
	}
	return o;
}

static void watch_end(struct watch *w)
{
	struct evhttp_request *req = w->req;
	json_t *o = changes_since(w->store, w->prefix, w->since);
	struct store *s = w->store;

	evhttp_connection_set_closecb(w->conn, NULL, NULL);
	watch_delete(w);
	send_json(s, req, o);
}

static void on_watch_timer(evutil_socket_t fd, short what, void *arg)
{
	(void)fd;
	(void)what;
	watch_end(arg);
}

static void on_watch_closed(struct evhttp_connection *conn, void *arg)
{
	(void)conn;
	watch_delete(arg);
}

static void end_watches(struct store *s, const char *key)
{
	struct watch *w, *tmp;

	list_for_each_entry_safe(w, tmp, &s->watches, link)
		if (!strncmp(key, w->prefix, strlen(w->prefix)))
			watch_end(w);
}

static void on_get(struct store *s, struct evhttp_request *req, json_t *in)
{
	const char *key = json_string_value(json_object_get(in, "key"));
	const struct store_item *it = store_state_find(&s->state, key);
	json_t *o = answer_new(s, true);

	s->state.reads++;
	if (it)
		add_item(o, it);
	send_json(s, req, o);
}

static void on_list(struct store *s, struct evhttp_request *req, json_t *in)
{
	const char *prefix = json_string_value(json_object_get(in, "key"));

	s->state.reads++;
	send_json(s, req, changes_since(s, prefix, 0));
}

static void on_cas(struct store *s, struct evhttp_request *req, json_t *in)
{
	const char *key = json_string_value(json_object_get(in, "key"));
	enum store_result r = store_state_cas(
		&s->state, key,
		(revision_t)json_integer_value(json_object_get(in, "revision")),
		json_string_value(json_object_get(in, "value")),
		lapse_at_ns(in));
	const struct store_item *it = store_state_find(&s->state, key);
	json_t *o = answer_new(s, r == STORE_WRITTEN);

	s->state.writes++;
	if (it && r == STORE_WRITTEN)
		json_object_set_new(o, "revision",
				    json_integer((json_int_t)it->revision));
	else if (it)
		add_item(o, it);
	if (s->faults.lose_answers) {
		s->faults.lose_answers--;
		json_decref(o);
		evhttp_connection_free(evhttp_request_get_connection(req));
	} else {
		send_json(s, req, o);
	}
	if (r == STORE_WRITTEN)
		end_watches(s, key);
}

static void on_renew(struct store *s, struct evhttp_request *req, json_t *in)
{
	const char *key = json_string_value(json_object_get(in, "key"));
	enum store_result r = store_state_renew(
		&s->state, key,
		(revision_t)json_integer_value(json_object_get(in, "revision")),
		lapse_at_ns(in));
	const struct store_item *it = store_state_find(&s->state, key);
	json_t *o = answer_new(s, r == STORE_WRITTEN);

	s->state.writes++;
	if (it && r == STORE_REVISION_MISMATCH)
		add_item(o, it);
	send_json(s, req, o);
}

static void on_watch(struct store *s, struct evhttp_request *req, json_t *in)
{
	json_int_t wait = json_integer_value(json_object_get(in, "wait_ms"));
	struct timeval tv = {.tv_sec = wait / 1000,
			     .tv_usec = wait % 1000 * 1000};
	const char *prefix = json_string_value(json_object_get(in, "key"));
	revision_t since =
		(revision_t)json_integer_value(json_object_get(in, "revision"));
	json_t *o = changes_since(s, prefix, since);
	struct watch *w;

	s->state.watches++;
	if (!since || json_array_size(json_object_get(o, "items"))) {
		send_json(s, req, o);
		return;
	}
	json_decref(o);
	w = mem_new(struct watch);
	w->store = s;
	w->req = req;
	w->conn = evhttp_request_get_connection(req);
	w->prefix = mem_dup(prefix, strlen(prefix));
	w->since = since;
	w->timer = evtimer_new(s->base, on_watch_timer, w);
	evtimer_add(w->timer, &tv);
	evhttp_connection_set_closecb(w->conn, on_watch_closed, w);
	list_push_back(&s->watches, &w->link);
}

static void on_fault(struct store *s, struct evhttp_request *req, json_t *in)
{
	json_int_t down = json_integer_value(json_object_get(in, "down_ms"));
	const char *lapse = json_string_value(json_object_get(in, "lapse"));

	s->faults.down_until_ns = clock_now_ns() + (uint64_t)down * NS_PER_MS;
	s->faults.slow_ms =
		(uint64_t)json_integer_value(json_object_get(in, "slow_ms"));
	s->faults.lose_answers = (uint32_t)json_integer_value(
		json_object_get(in, "lose_answers"));
	if (lapse)
		store_state_lapse_all(&s->state, lapse);
	send_text(req, "{}");
}

static void on_stats(struct store *s, struct evhttp_request *req, json_t *in)
{
	char text[160];

	(void)in;
	text_format(text, sizeof(text),
		    "{\"reads\":%lu,\"writes\":%lu,\"watches\":%lu,"
		    "\"now\":%lu}\n",
		    (unsigned long)s->state.reads,
		    (unsigned long)s->state.writes,
		    (unsigned long)s->state.watches,
		    (unsigned long)s->state.now);
	send_text(req, text);
}

static const struct {
	const char *path;
	void (*run)(struct store *s, struct evhttp_request *req, json_t *in);
	bool admin; /* works while the store is down; needs no key */
} calls[] = {
	{"/v1/get", on_get, false},	  {"/v1/list", on_list, false},
	{"/v1/cas", on_cas, false},	  {"/v1/renew", on_renew, false},
	{"/v1/watch", on_watch, false},	  {"/admin/fault", on_fault, true},
	{"/admin/stats", on_stats, true},
};

static void on_http(struct evhttp_request *req, void *arg)
{
	struct evbuffer *b = evhttp_request_get_input_buffer(req);
	size_t len = evbuffer_get_length(b);
	json_t *in =
		len ? json_loadb((char *)evbuffer_pullup(b, -1), len, 0, NULL)
		    : NULL;
	bool has_key = json_is_string(json_object_get(in, "key"));
	struct store *s = arg;

	for (size_t i = 0; i < sizeof(calls) / sizeof(*calls); i++) {
		if (strcmp(evhttp_request_get_uri(req), calls[i].path) != 0)
			continue;
		if (!calls[i].admin && !has_key)
			break;
		if (!calls[i].admin && clock_now_ns() < s->faults.down_until_ns)
			evhttp_send_error(req, 503, NULL);
		else
			calls[i].run(s, req, in);
		json_decref(in);
		return;
	}
	json_decref(in);
	evhttp_send_error(req, 400, NULL);
}

static void on_lapse(evutil_socket_t fd, short what, void *arg)
{
	struct store *s = arg;

	(void)fd;
	(void)what;
	if (store_state_lapse(&s->state, clock_now_ns()))
		end_watches(s, "d/");
}

static int run(const char *addr)
{
	struct timeval interval = {.tv_usec = LAPSE_CHECK_MS * 1000};
	struct store s = {.base = event_base_new()};
	struct evhttp *http = evhttp_new(s.base);
	struct event *lapse;
	char ip[JD_ADDR_MAX];
	uint16_t port;

	store_state_init(&s.state);
	list_init(&s.watches);
	evhttp_set_gencb(http, on_http, &s);
	if (!addr_split(addr, ip, sizeof(ip), &port) ||
	    evhttp_bind_socket(http, ip, port) != 0) {
		fprintf(stderr, "event=start_failed addr=%s\n", addr);
		return EXIT_FAILURE;
	}
	lapse = event_new(s.base, -1, EV_PERSIST, on_lapse, &s);
	event_add(lapse, &interval);
	event_base_dispatch(s.base);
	return EXIT_SUCCESS;
}

int main(int argc, char **argv)
{
	struct arg_str *addr =
		arg_str0(NULL, "addr", "IP:PORT", "address to listen on");
	struct arg_end *end = arg_end(4);
	void *table[] = {addr, end};

	signal(SIGPIPE, SIG_IGN);
	if (arg_parse(argc, argv, table)) {
		arg_print_errors(stderr, end, "fake-store");
		return EXIT_FAILURE;
	}
	return run(addr->count ? addr->sval[0] : "127.0.0.1:7000");
}
