#include "io/store_client.h"

#include <event2/buffer.h>
#include <event2/http.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "core/mem.h"
#include "core/text.h"
#include "io/addr.h"
#include "io/answer_check.h"
#include "io/base64.h"
#include "io/clock.h"
#include "io/log.h"
#include "wire/codec.h"

#define KEY_MAX_BYTES	 96
#define ANSWER_MAX_BYTES (16u << 20)

static const char *const key_prefixes[DOC_KIND_COUNT] = {
	[DOC_MANIFEST] = "d/manifest/", [DOC_ROSTER] = "d/roster/",
	[DOC_MAP] = "d/map/",		[DOC_CONTACT] = "c/contact/",
	[DOC_PLANNER] = "d/planner/",
};

static const char *const op_paths[] = {
	[STORE_GET] = "/v1/get",     [STORE_LIST] = "/v1/list",
	[STORE_CAS] = "/v1/cas",     [STORE_RENEW] = "/v1/renew",
	[STORE_WATCH] = "/v1/watch",
};

struct store_client {
	struct event_base *base;
	char ip[JD_ADDR_MAX];
	uint16_t port;
	store_done_fn done;
	void *arg;
	struct list calls; /* of struct store_call */
};

/* A call in flight, on a connection of its own. */
struct store_call {
	struct list link;
	struct store_client *client;
	struct evhttp_connection *conn;
	struct answer_check check;
	struct event *timer;
	struct act_store act; /* owns act.doc */
};

void store_key(const struct doc_key *dk, char *key, size_t cap)
{
	text_format(key, cap, "%s%s", key_prefixes[dk->kind], dk->name);
}

bool store_key_parse(const char *key, struct doc_key *dk)
{
	for (int i = 0; i < DOC_KIND_COUNT; i++) {
		size_t len = strlen(key_prefixes[i]);

		if (strncmp(key, key_prefixes[i], len) != 0)
			continue;
		dk->kind = i;
		mem_copy_str(dk->name, key + len, sizeof(dk->name));
		return true;
	}
	return false;
}

struct store_client *store_client_new(struct event_base *base, const char *addr,
				      store_done_fn done, void *arg)
{
	struct store_client *s = mem_new(struct store_client);

	s->base = base;
	if (!addr_split(addr, s->ip, sizeof(s->ip), &s->port))
		mem_copy_str(s->ip, "127.0.0.1", sizeof(s->ip));
	s->done = done;
	s->arg = arg;
	list_init(&s->calls);
	return s;
}

static void call_delete(struct store_call *c)
{
	list_remove(&c->link);
	if (c->timer)
		event_free(c->timer);
	if (c->conn)
		evhttp_connection_free(c->conn);
	doc_delete(c->act.doc);
	free(c);
}

void store_client_delete(struct store_client *s)
{
	struct store_call *c, *tmp;

	list_for_each_entry_safe(c, tmp, &s->calls, link)
		call_delete(c);
	free(s);
}

static void complete_call(struct store_call *c, struct ev_store *ev)
{
	ev->op = c->act.op;
	c->client->done(c->client->arg, ev);
	docs_delete(&ev->docs);
}

static void on_delete_timer(evutil_socket_t fd, short what, void *arg)
{
	(void)fd;
	(void)what;
	call_delete(arg);
}

/* evhttp can't free a connection inside its own callback. */
static void delete_call_later(struct store_call *c)
{
	struct timeval now = {0, 0};

	event_free(c->timer);
	c->timer = evtimer_new(c->client->base, on_delete_timer, c);
	evtimer_add(c->timer, &now);
}

static struct doc *doc_from_json(json_t *item)
{
	const char *key = json_string_value(json_object_get(item, "key"));
	const char *value = json_string_value(json_object_get(item, "value"));
	json_int_t revision =
		json_integer_value(json_object_get(item, "revision"));
	struct doc_key dk = {0};
	struct status st;
	unsigned char *data;
	struct doc *d;
	size_t len = 0;

	if (!key || !store_key_parse(key, &dk))
		return NULL;
	if (!value) {
		d = doc_new(dk.kind, dk.name);
	} else {
		data = base64_decode(value, &len);
		d = data ? wire_decode_doc(&dk, data, len, &st) : NULL;
		free(data);
	}
	if (!d) {
		log_event(LOG_ERROR, "event=invalid_document key=%s", key);
		return NULL;
	}
	d->revision = (revision_t)revision;
	return d;
}

/* Returns the written document to the core with its new revision. */
static void add_written_doc(struct store_call *c, json_t *root,
			    struct ev_store *ev)
{
	struct doc *d = c->act.doc;

	if (!d)
		d = doc_new(c->act.key.kind, c->act.key.name);
	c->act.doc = NULL;
	d->revision = (revision_t)json_integer_value(
		json_object_get(root, "revision"));
	list_push_back(&ev->docs, &d->link);
}

static bool is_complete(const struct store_call *c, const json_t *root)
{
	const json_t *ok = json_object_get(root, "ok");

	if (!json_is_boolean(ok) ||
	    !json_is_integer(json_object_get(root, "now")) ||
	    !json_is_array(json_object_get(root, "items")))
		return false;
	return c->act.kind != STORE_CAS || json_is_false(ok) ||
	       json_is_integer(json_object_get(root, "revision"));
}

static void read_answer(struct store_call *c, json_t *root, struct ev_store *ev)
{
	json_t *items = json_object_get(root, "items");
	json_t *item;
	size_t i;

	ev->revision =
		(revision_t)json_integer_value(json_object_get(root, "now"));
	ev->status = json_is_false(json_object_get(root, "ok"))
			     ? STATUS_CONFLICT
			     : STATUS_OK;
	if (c->act.kind == STORE_CAS && ev->status == STATUS_OK)
		add_written_doc(c, root, ev);
	json_array_foreach(items, i, item)
	{
		struct doc *d = doc_from_json(item);

		if (d)
			list_push_back(&ev->docs, &d->link);
	}
}

static void on_answer(struct evhttp_request *req, void *arg)
{
	struct store_call *c = arg;
	struct ev_store ev = {.status = STATUS_UNKNOWN};
	json_t *root = NULL;

	list_init(&ev.docs);
	if (req && answer_check_ok(&c->check) &&
	    evhttp_request_get_response_code(req) == HTTP_OK) {
		struct evbuffer *in = evhttp_request_get_input_buffer(req);
		size_t len = evbuffer_get_length(in);

		root = json_loadb((char *)evbuffer_pullup(in, -1), len, 0,
				  NULL);
	}
	if (is_complete(c, root))
		read_answer(c, root, &ev);
	json_decref(root);
	complete_call(c, &ev);
	delete_call_later(c);
}

static void on_timeout(evutil_socket_t fd, short what, void *arg)
{
	struct store_call *c = arg;
	struct ev_store ev = {.status = STATUS_UNKNOWN};

	(void)fd;
	(void)what;
	list_init(&ev.docs);
	/* Frees the connection first, so that on_answer() is not called. */
	evhttp_connection_free(c->conn);
	c->conn = NULL;
	complete_call(c, &ev);
	call_delete(c);
}

static json_t *call_json(const struct act_store *a, uint64_t now_ns)
{
	char key[KEY_MAX_BYTES];
	json_t *o = json_object();
	uint64_t left_ms = a->deadline_ns > now_ns
				   ? (a->deadline_ns - now_ns) / NS_PER_MS
				   : 0;

	store_key(&a->key, key, sizeof(key));
	json_object_set_new(o, "key", json_string(key));
	json_object_set_new(o, "revision",
			    json_integer((json_int_t)a->revision));
	json_object_set_new(o, "ttl_ms", json_integer((json_int_t)a->ttl_ms));
	if (a->kind == STORE_WATCH) {
		json_object_set_new(o, "key", json_string(STORE_WATCH_PREFIX));
		/* Half of the time left, so that the answer is not late. */
		json_object_set_new(o, "wait_ms",
				    json_integer((json_int_t)(left_ms / 2)));
	}
	if (a->doc && !doc_absent(a->doc)) {
		struct wire_buf b;
		char *text;

		wire_encode_doc(a->doc, &b);
		text = base64_encode(b.data, b.len);
		json_object_set_new(o, "value", json_string(text));
		free(text);
		free(b.data);
	}
	return o;
}

void store_client_call(struct store_client *s, struct act_store *call)
{
	struct store_call *c = mem_new(struct store_call);
	uint64_t now = clock_now_ns();
	uint64_t left = call->deadline_ns > now ? call->deadline_ns - now : 0;
	struct timeval tv = {
		.tv_sec = (time_t)(left / NS_PER_S),
		.tv_usec = (suseconds_t)(left % NS_PER_S / NS_PER_US)};
	struct evhttp_request *req;
	json_t *o;
	char *body;

	c->client = s;
	c->act = *call;
	call->doc = NULL;
	list_push_back(&s->calls, &c->link);
	c->timer = evtimer_new(s->base, on_timeout, c);
	evtimer_add(c->timer, &tv);
	c->conn = evhttp_connection_base_new(s->base, NULL, s->ip, s->port);
	answer_check_init(&c->check, c->conn, ANSWER_MAX_BYTES);
	req = evhttp_request_new(on_answer, c);
	o = call_json(&c->act, now);
	body = json_dumps(o, JSON_COMPACT);
	json_decref(o);
	evbuffer_add(evhttp_request_get_output_buffer(req), body, strlen(body));
	free(body);
	evhttp_add_header(evhttp_request_get_output_headers(req), "Host",
			  s->ip);
	evhttp_add_header(evhttp_request_get_output_headers(req), "Connection",
			  "close");
	evhttp_make_request(c->conn, req, EVHTTP_REQ_POST,
			    op_paths[c->act.kind]);
}
