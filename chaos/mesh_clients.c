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

#define DEADLINE_MS 2500
#define WAIT_S	    4

struct mesh_client {
	struct list link;
	struct mesh_clients *all;
	const struct mesh_node *node;
	struct evhttp_connection *conn;
	struct event *timer;
	char id[MESH_CHECKER_ID_MAX];
};

struct kind {
	const char *path;
	enum evhttp_cmd_type method;
	bool idempotent;
	bool keyed;
};

static const struct kind kinds[] = {
	{"/status/", EVHTTP_REQ_GET, true, false},
	{"/pay/", EVHTTP_REQ_POST, false, false},
	{"/view/", EVHTTP_REQ_GET, true, true},
	{"/proof/", EVHTTP_REQ_POST, false, true},
};

static void next_in(struct mesh_client *c, uint32_t ms)
{
	struct timeval tv = {.tv_sec = (time_t)(ms / 1000),
			     .tv_usec = (suseconds_t)(ms % 1000) * 1000};

	evtimer_add(c->timer, &tv);
}

/* True for the whole answer of an upstream to this very request. */
static bool is_own(const struct mesh_client *c, struct evhttp_request *req)
{
	struct evkeyvalq *h = evhttp_request_get_input_headers(req);
	const char *id = evhttp_find_header(h, HEADER_REQUEST_ID);
	const char *signature = evhttp_find_header(h, HEADER_SIGNATURE);
	struct evbuffer *in = evhttp_request_get_input_buffer(req);
	size_t len = evbuffer_get_length(in);
	char want[MESH_CHECKER_ID_MAX + 16], wrote[MESH_CHECKER_ID_MAX + 16];

	text_format(want, sizeof(want), "%s whole", c->id);
	text_format(wrote, sizeof(wrote), "sig-%s", c->id);
	return id && signature && !strcmp(id, c->id) &&
	       !strcmp(signature, wrote) && len == strlen(want) &&
	       !memcmp(evbuffer_pullup(in, -1), want, len);
}

static void on_answer(struct evhttp_request *req, void *arg)
{
	struct mesh_client *c = arg;
	int code = req ? evhttp_request_get_response_code(req) : 0;

	mesh_checker_ended(c->all->opts.mesh_checker, c->id, code,
			   code == HTTP_OK && is_own(c, req), clock_now_ns());
	next_in(c, c->all->opts.pause_ms);
}

static void send_request(struct mesh_client *c)
{
	struct mesh_clients *all = c->all;
	const struct kind *k =
		&kinds[rng_below(&all->rng, sizeof(kinds) / sizeof(*kinds))];
	struct evhttp_request *req = evhttp_request_new(on_answer, c);
	struct evkeyvalq *h = evhttp_request_get_output_headers(req);
	char text[32], path[MESH_CHECKER_ID_MAX + 16];

	text_format(c->id, sizeof(c->id), "q-%lu",
		    (unsigned long)++all->next_id);
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
	mesh_checker_sent(all->opts.mesh_checker, c->id, k->idempotent,
			  clock_now_ns());
	/* evhttp frees the request when this fails. */
	if (evhttp_make_request(c->conn, req, k->method, path) != 0)
		next_in(c, all->opts.pause_ms);
}

static void on_timer(evutil_socket_t fd, short what, void *arg)
{
	struct mesh_client *c = arg;

	(void)fd;
	(void)what;
	if (c->all->paused)
		next_in(c, c->all->opts.pause_ms);
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
	evhttp_connection_set_timeout(c->conn, WAIT_S);
	c->timer = evtimer_new(all->opts.base, on_timer, c);
	list_push_back(&all->list, &c->link);
	next_in(c, (uint32_t)rng_below(&all->rng, all->opts.pause_ms + 1));
}

void mesh_clients_start(struct mesh_clients *c,
			const struct mesh_clients_opts *o)
{
	memset(c, 0, sizeof(*c));
	c->opts = *o;
	rng_init(&c->rng, o->seed);
	list_init(&c->list);
	for (uint32_t i = 0; i < o->fleet->opts.nodes; i++)
		for (uint32_t k = 0; k < o->each; k++)
			client_new(c, &o->fleet->nodes[i]);
}

void mesh_clients_stop(struct mesh_clients *c)
{
	struct mesh_client *it, *tmp;

	list_for_each_entry_safe(it, tmp, &c->list, link) {
		event_free(it->timer);
		evhttp_connection_free(it->conn);
		free(it);
	}
}
