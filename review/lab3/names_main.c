/*
 * A service whose name has 34 characters: its machines' daemons, and a route
 * to it that a later version adds.
 */
#include <event2/buffer.h>
#include <stdlib.h>
#include <string.h>

#include "review/lab3/lab.h"

#define NODES	   4
#define EVERY_MS   20
#define SHORT_NAME "previews"
#define LONG_NAME  "photo-restoration-archive-previews"
#define ROUTE_FORMAT                                                           \
	"{\"name\":\"%s\",\"host\":\"a.example\",\"pathPrefix\":\"/%s/\","     \
	"\"type\":\"idempotent\",\"timeoutS\":2,\"targetLatencyS\":0.6,"       \
	"\"priority\":2,\"service\":\"%s\",\"maxAttempts\":2,"                 \
	"\"allowedRegions\":[]}"
#define SERVICE_FORMAT                                                         \
	"{\"name\":\"%s\",\"healthPath\":\"/healthz\",\"warmupPerS\":50.0}"
#define LIMITS                                                                 \
	"\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":67108864,"      \
	"\"headerTimeoutS\":3,\"idleTimeoutS\":15}"

struct names_lab {
	struct lab lab;
	const char *name; /* of the second service */
	uint32_t sent[2]; /* on the first route, and on the one added later */
	uint32_t served[2];
	uint32_t number;
	struct event *load;
};

struct call {
	struct names_lab *m;
	uint32_t number;
	int route;
};

static void on_answer(struct evhttp_request *req, void *arg)
{
	struct call *k = arg;
	int code = req ? evhttp_request_get_response_code(req) : 0;

	k->m->served[k->route] += code == 200;
	if (code != 200)
		lab_note(&k->m->lab, "event=answer id=r%u route=%d code=%d",
			 k->number, k->route, code);
	free(k);
}

/* All requests begin at the machines of the first service. */
static void on_load(evutil_socket_t fd, short what, void *arg)
{
	struct names_lab *m = arg;
	const struct lab_node *n = &m->lab.nodes[m->number / 2 % 2 * 2];
	struct evhttp_connection *c = evhttp_connection_base_new(
		m->lab.base, NULL, n->ip,
		(uint16_t)atoi(strchr(n->outbound, ':') + 1));
	struct call *k = calloc(1, sizeof(*k));
	struct evhttp_request *req = evhttp_request_new(on_answer, k);
	struct evkeyvalq *h = evhttp_request_get_output_headers(req);
	char text[32];

	(void)fd;
	(void)what;
	k->m = m;
	k->number = ++m->number;
	k->route = (int)(k->number % 2);
	m->sent[k->route]++;
	evhttp_connection_set_timeout(c, 4);
	evhttp_connection_free_on_completion(c);
	snprintf(text, sizeof(text), "r%u", k->number);
	evhttp_add_header(h, "Jackdawpaddle-Request-Id", text);
	evhttp_add_header(h, "Jackdawpaddle-Request-Deadline", "1500");
	evhttp_add_header(h, "Host", "a.example");
	evhttp_add_header(h, "Connection", "close");
	evhttp_make_request(c, req, EVHTTP_REQ_GET,
			    k->route ? "/later/1" : "/first/1");
}

static void put_config(struct names_lab *m, unsigned version, bool later)
{
	char first[512], added[512], services[512], text[2048];

	snprintf(first, sizeof(first), ROUTE_FORMAT, "first", "first",
		 "intake");
	snprintf(added, sizeof(added), "," ROUTE_FORMAT, "later", "later",
		 m->name);
	snprintf(services, sizeof(services), SERVICE_FORMAT "," SERVICE_FORMAT,
		 "intake", m->name);
	snprintf(
		text, sizeof(text),
		"{\"version\":\"%08x\",\"routes\":[%s%s],\"services\":[%s],%s}",
		version, first, later ? added : "", services, LIMITS);
	kv_server_put(m->lab.store, "op/config", text);
	lab_note(&m->lab, "event=config version=%u", version);
}

int main(int argc, char **argv)
{
	static struct names_lab m;
	struct timeval every = {.tv_usec = EVERY_MS * 1000};
	struct lab *l = &m.lab;
	struct lab_endpoint *e[NODES];
	enum lab_verdict verdict = LAB_HELD;
	uint32_t ended = 0;
	char *instances[NODES] = {"i-1", "i-2", "i-3", "i-4"};

	lab_init(l, argc > 1 ? argv[1] : ".");
	m.name = l->trouble ? LONG_NAME : SHORT_NAME;
	put_config(&m, 3, false);
	for (int i = 0; i < NODES; i++) {
		struct lab_node *n = lab_add_node(l, i % 2 ? m.name : "intake");
		struct lab_endpoint_opts o = {.lab = l,
					      .node = n,
					      .slots = 18,
					      .work_ms = 20,
					      .answer_bytes = 500,
					      .instance = instances[i]};

		lab_node_start(l, n, true);
		e[i] = lab_endpoint_new(&o);
	}
	lab_run(l, 4000);
	put_config(&m, 7, true);
	lab_run(l, 4000);
	m.load = event_new(l->base, -1, EV_PERSIST, on_load, &m);
	event_add(m.load, &every);
	lab_run(l, 8000);
	event_del(m.load);
	lab_run(l, 3000);
	for (int i = 0; i < NODES; i++)
		ended += !lab_node_runs(l, &l->nodes[i]);
	if (m.served[0] < m.sent[0] / 2)
		verdict = LAB_NOT_RUN;
	else if (m.sent[1] >= 20 && (uint64_t)m.served[1] * m.sent[0] * 4 <
					    (uint64_t)m.served[0] * m.sent[1])
		verdict = LAB_BROKEN;
	lab_note(l,
		 "event=result rule=CONFIG first_sent=%u first_served=%u "
		 "later_sent=%u later_served=%u daemons_ended=%u verdict=%d",
		 m.sent[0], m.served[0], m.sent[1], m.served[1], ended,
		 verdict);
	for (int i = 0; i < NODES; i++)
		lab_endpoint_delete(e[i]);
	lab_done(l);
	return verdict;
}
