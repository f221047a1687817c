#include "chaos/mesh_clients.h"

#include <event2/buffer.h>
#include <event2/http.h>
#include <stdlib.h>
#include <string.h>

#include "core/mem.h"
#include "core/text.h"
#include "io/addr.h"
#include "io/clock.h"
#include "platform/names.h"

#define DEADLINE_MS	 2500
#define CALLER_TIMEOUT_S 4

struct mesh_client {
	struct list link;
	struct mesh_clients *all;
	const struct mesh_node *node;
	struct evhttp_connection *conn;
	struct event *timer;
	char id[MESH_CHECKER_ID_MAX];
};

/** A route of the configuration and how requests to it are made. */
struct request_kind {
	const char *path;
	enum evhttp_cmd_type method;
	bool idempotent;
	bool keyed;
};

static const struct request_kind request_kinds[] = {
	{"/status/", EVHTTP_REQ_GET, true, false},
	{"/pay/", EVHTTP_REQ_POST, false, false},
	{"/view/", EVHTTP_REQ_GET, true, true},
	{"/proof/", EVHTTP_REQ_POST, false, true},
};

static void schedule_next(struct mesh_client *c, uint32_t ms)
{
	struct timeval tv = {.tv_sec = (time_t)(ms / 1000),
			     .tv_usec = (suseconds_t)(ms % 1000) * 1000};

	evtimer_add(c->timer, &tv);
}

/* True for a complete answer of an upstream to the request of @c. */
static bool answer_matches(const struct mesh_client *c,
			   struct evhttp_request *req)
{
	struct evkeyvalq *h = evhttp_request_get_input_headers(req);
	const char *id = evhttp_find_header(h, HEADER_REQUEST_ID);
	const char *signature = evhttp_find_header(h, HEADER_SIGNATURE);
	struct evbuffer *in = evhttp_request_get_input_buffer(req);
	size_t len = evbuffer_get_length(in);
	char body[MESH_CHECKER_ID_MAX + 16];
	char expected_signature[MESH_CHECKER_ID_MAX + 16];

	text_format(body, sizeof(body), "%s whole", c->id);
	text_format(expected_signature, sizeof(expected_signature), "sig-%s",
		    c->id);
	return id && signature && !strcmp(id, c->id) &&
	       !strcmp(signature, expected_signature) && len == strlen(body) &&
	       !memcmp(evbuffer_pullup(in, -1), body, len);
}

static void on_answer(struct evhttp_request *req, void *arg)
{
	struct mesh_client *c = arg;
	int code = req ? evhttp_request_get_response_code(req) : 0;

	mesh_checker_ended(c->all->opts.checker, c->id, code,
			   code == HTTP_OK && answer_matches(c, req),
			   clock_now_ns());
	schedule_next(c, c->all->opts.pause_ms);
}

static void send_request(struct mesh_client *c)
{
	struct mesh_clients *all = c->all;
	const struct request_kind *k = &request_kinds[rng_below(
		&all->rng, sizeof(request_kinds) / sizeof(*request_kinds))];
	struct evhttp_request *req = evhttp_request_new(on_answer, c);
	struct evkeyvalq *h = evhttp_request_get_output_headers(req);
	char text[32], path[MESH_CHECKER_ID_MAX + 16];

	text_format(c->id, sizeof(c->id), "q-%lu",
		    (unsigned long)++all->last_id);
	evhttp_add_header(h, "Host", "a.example");
	evhttp_add_header(h, HEADER_REQUEST_ID, c->id);
	text_format(text, sizeof(text), "%d", DEADLINE_MS);
	evhttp_add_header(h, HEADER_DEADLINE, text);
	text_format(text, sizeof(text), "%lu",
		    (unsigned long)rng_below(&all->rng, KEYMAP_KEYS));
	if (k->keyed)
		evhttp_add_header(h, HEADER_SHARD, text);
	if (k->method == EVHTTP_REQ_POST)
		evbuffer_add(evhttp_request_get_output_buffer(req), "pay", 3);
	text_format(path, sizeof(path), "%s%s", k->path, c->id);
	mesh_checker_sent(all->opts.checker, c->id, k->idempotent,
			  clock_now_ns());
	/* evhttp has freed the request if this fails. */
	if (evhttp_make_request(c->conn, req, k->method, path) != 0)
		schedule_next(c, all->opts.pause_ms);
}

static void on_timer(evutil_socket_t fd, short what, void *arg)
{
	struct mesh_client *c = arg;

	(void)fd;
	(void)what;
	if (c->all->paused)
		schedule_next(c, c->all->opts.pause_ms);
	else
		send_request(c);
}

static void client_new(struct mesh_clients *all, const struct mesh_node *n)
{
	struct mesh_client *c = mem_new(struct mesh_client);
	char ip[JD_ADDR_MAX];
	uint16_t port;

	c->all = all;
	c->node = n;
	addr_split(n->front, ip, sizeof(ip), &port);
	c->conn = evhttp_connection_base_new(all->opts.base, NULL, ip, port);
	evhttp_connection_set_timeout(c->conn, CALLER_TIMEOUT_S);
	c->timer = evtimer_new(all->opts.base, on_timer, c);
	list_push_back(&all->clients, &c->link);
	schedule_next(c,
		      (uint32_t)rng_below(&all->rng, all->opts.pause_ms + 1));
}

void mesh_clients_start(struct mesh_clients *c,
			const struct mesh_clients_opts *o)
{
	memset(c, 0, sizeof(*c));
	c->opts = *o;
	rng_init(&c->rng, o->seed);
	list_init(&c->clients);
	for (uint32_t i = 0; i < o->fleet->opts.nodes; i++)
		for (uint32_t k = 0; k < o->per_node; k++)
			client_new(c, &o->fleet->nodes[i]);
}

void mesh_clients_stop(struct mesh_clients *c)
{
	struct mesh_client *it, *tmp;

	list_for_each_entry_safe(it, tmp, &c->clients, link) {
		event_free(it->timer);
		evhttp_connection_free(it->conn);
		free(it);
	}
}
