#include <argtable2.h>
#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <jansson.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/random.h>

#include "core/mem.h"
#include "core/types.h"
#include "io/addr.h"
#include "io/clock.h"

#define ANNOUNCE_EVERY_MS 500

struct upstream {
	struct event_base *base;
	const char *service;
	const char *addr;
	const char *node;
	uint64_t instance;
	uint32_t slots;
	uint32_t running;
	uint64_t work_ms;
	uint64_t served;
	FILE *record; /* what ran under which grant; NULL for none */
};

/* One order that runs. */
struct order {
	struct upstream *up;
	struct evhttp_request *req;
	struct evhttp_connection *conn;
	struct event *timer;
};

static void order_delete(struct order *o)
{
	o->up->running--;
	event_free(o->timer);
	free(o);
}

static const char *in_header(struct evhttp_request *req, const char *name)
{
	const char *v =
		evhttp_find_header(evhttp_request_get_input_headers(req), name);

	return v ? v : "-";
}

static void record(struct upstream *up, struct evhttp_request *req,
		   const char *what)
{
	if (!up->record)
		return;
	fprintf(up->record,
		"time_ns=%lu upstream=%s what=%s id=%s fence=%s uri=%s\n",
		(unsigned long)clock_now_ns(), up->addr, what,
		in_header(req, "X-Request-Id"), in_header(req, "X-Fence"),
		evhttp_request_get_uri(req));
	fflush(up->record);
}

static void reply(struct upstream *up, struct evhttp_request *req)
{
	struct evbuffer *b = evbuffer_new();
	struct evbuffer *in = evhttp_request_get_input_buffer(req);

	evbuffer_add_printf(b, "upstream=%s uri=%s fence=%s\n", up->addr,
			    evhttp_request_get_uri(req),
			    in_header(req, "X-Fence"));
	evbuffer_add_buffer(b, in);
	evhttp_send_reply(req, 200, "OK", b);
	evbuffer_free(b);
}

static void on_done(evutil_socket_t fd, short what, void *arg)
{
	struct order *o = arg;

	(void)fd;
	(void)what;
	evhttp_connection_set_closecb(o->conn, NULL, NULL);
	record(o->up, o->req, "end");
	o->up->served++;
	reply(o->up, o->req);
	order_delete(o);
}

static void on_closed(struct evhttp_connection *conn, void *arg)
{
	struct order *o = arg;

	(void)conn;
	record(o->up, o->req, "cancelled");
	order_delete(o);
}

static void on_order(struct upstream *up, struct evhttp_request *req)
{
	struct timeval tv = {.tv_sec = (time_t)(up->work_ms / 1000),
			     .tv_usec =
				     (suseconds_t)(up->work_ms % 1000 * 1000)};
	struct order *o;

	if (up->running >= up->slots) {
		evhttp_add_header(evhttp_request_get_output_headers(req),
				  "X-Not-Run", "1");
		evhttp_send_error(req, 503, NULL);
		return;
	}
	o = mem_new(struct order);
	o->up = up;
	o->req = req;
	o->conn = evhttp_request_get_connection(req);
	up->running++;
	record(up, req, "start");
	o->timer = evtimer_new(up->base, on_done, o);
	evhttp_connection_set_closecb(o->conn, on_closed, o);
	evtimer_add(o->timer, &tv);
}

static void on_http(struct evhttp_request *req, void *arg)
{
	if (!strncmp(evhttp_request_get_uri(req), "/-/", 3))
		evhttp_send_reply(req, 200, "OK", NULL);
	else
		on_order(arg, req);
}

static void on_announced(struct evhttp_request *req, void *arg)
{
	(void)req;
	(void)arg;
}

static void announce(struct upstream *up)
{
	char ip[JD_ADDR_MAX] = "127.0.0.1";
	uint16_t port = 0;
	struct evhttp_connection *conn;
	struct evhttp_request *req;
	json_t *o;
	char *body;

	addr_split(up->node, ip, sizeof(ip), &port);
	conn = evhttp_connection_base_new(up->base, NULL, ip, port);
	evhttp_connection_free_on_completion(conn);
	evhttp_connection_set_timeout(conn, 1);
	req = evhttp_request_new(on_announced, NULL);
	o = json_pack("{s:s,s:s,s:I,s:i,s:i,s:b,s:i}", "service", up->service,
		      "addr", up->addr, "instance", (json_int_t)up->instance,
		      "slots", (int)up->slots, "connections", 130,
		      "checks_grants", 0, "load_permille",
		      (int)(up->running * 1000 / up->slots));
	body = json_dumps(o, JSON_COMPACT);
	json_decref(o);
	evbuffer_add(evhttp_request_get_output_buffer(req), body, strlen(body));
	free(body);
	evhttp_add_header(evhttp_request_get_output_headers(req), "Host", ip);
	evhttp_add_header(evhttp_request_get_output_headers(req), "Connection",
			  "close");
	evhttp_make_request(conn, req, EVHTTP_REQ_POST, "/-/announce");
}

static void on_announce_timer(evutil_socket_t fd, short what, void *arg)
{
	(void)fd;
	(void)what;
	announce(arg);
}

static int run(struct upstream *up)
{
	struct timeval every = {.tv_usec = ANNOUNCE_EVERY_MS * 1000};
	struct evhttp *http;
	struct event *timer;
	char ip[JD_ADDR_MAX];
	uint16_t port;

	up->base = event_base_new();
	http = evhttp_new(up->base);
	evhttp_set_gencb(http, on_http, up);
	if (!addr_split(up->addr, ip, sizeof(ip), &port) ||
	    evhttp_bind_socket(http, ip, port) != 0) {
		fprintf(stderr, "event=start_failed addr=%s\n", up->addr);
		return EXIT_FAILURE;
	}
	if (getrandom(&up->instance, sizeof(up->instance), 0) < 0)
		return EXIT_FAILURE;
	up->instance >>= 8;
	timer = event_new(up->base, -1, EV_PERSIST, on_announce_timer, up);
	event_add(timer, &every);
	announce(up);
	event_base_dispatch(up->base);
	return EXIT_SUCCESS;
}

int main(int argc, char **argv)
{
	struct arg_str *addr = arg_str1(NULL, "addr", "IP:PORT", "listen here");
	struct arg_str *node =
		arg_str1(NULL, "node", "IP:PORT", "the jackdawd beside it");
	struct arg_str *service = arg_str1(NULL, "service", "NAME", "service");
	struct arg_int *slots = arg_int0(NULL, "slots", "N", "slots (20)");
	struct arg_int *work = arg_int0(NULL, "work-ms", "N", "work a request");
	struct arg_file *rec = arg_file0(NULL, "record", "FILE", "what ran");
	struct arg_end *end = arg_end(8);
	void *table[] = {addr, node, service, slots, work, rec, end};
	struct upstream up = {0};

	signal(SIGPIPE, SIG_IGN);
	if (arg_parse(argc, argv, table)) {
		arg_print_errors(stderr, end, "fake-upstream");
		return EXIT_FAILURE;
	}
	up.addr = addr->sval[0];
	up.node = node->sval[0];
	up.service = service->sval[0];
	up.slots = slots->count ? (uint32_t)slots->ival[0] : 20;
	up.work_ms = work->count ? (uint64_t)work->ival[0] : 1;
	up.record = rec->count ? fopen(rec->filename[0], "a") : NULL;
	return run(&up);
}
