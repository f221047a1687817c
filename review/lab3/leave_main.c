/*
 * An endpoint starts again under the id that it had, leaves at once, and its
 * first report arrives after the acknowledgement of its leave.
 */
#include <event2/buffer.h>
#include <stdlib.h>
#include <string.h>

#include "review/lab3/lab.h"

#define NODES		7 /* one endpoint of seven leaves */
#define DRAIN_MS	2000
#define LATE_MS		3200 /* from the first report to its arrival */
#define LEAVE_AFTER_MS	400
#define SERVES_MS	12000 /* after the leave: "at times many seconds" */
#define EVERY_MS	20
#define SECOND_LIFETIME 1
#define CONFIG                                                                 \
	"{\"version\":\"00000003\",\"routes\":[{\"name\":\"arm-sched\","       \
	"\"host\":\"a.example\",\"pathPrefix\":\"/arm/\","                     \
	"\"type\":\"non_idempotent\",\"timeoutS\":5,\"targetLatencyS\":0.8,"   \
	"\"priority\":1,\"service\":\"farol-book\",\"maxAttempts\":2,"         \
	"\"allowedRegions\":[]}],\"services\":[{\"name\":\"farol-book\","      \
	"\"healthPath\":\"/healthz\",\"maxConnections\":130,"                  \
	"\"warmupS\":3.0,\"warmupPerS\":11.0}],\"limits\":{"                   \
	"\"maxHeaderBytes\":16384,\"maxBodyBytes\":67108864,"                  \
	"\"headerTimeoutS\":3,\"idleTimeoutS\":15}}"

struct leave_lab {
	struct lab lab;
	uint64_t left_ns; /* the acknowledgement of the second lifetime */
	uint32_t after_drain;
	uint32_t requests;
	uint32_t served;
	struct event *load;
	struct event *late;
	int code; /* of the call in progress; -1: none yet */
	char late_body[400];
};

struct endpoint_arg {
	struct leave_lab *v;
	int lifetime;
};

static void on_run(void *arg, const char *id)
{
	struct endpoint_arg *a = arg;
	struct leave_lab *v = a->v;
	uint64_t late_ms;

	if (a->lifetime != SECOND_LIFETIME || !v->left_ns)
		return;
	late_ms = (lab_now_ns() - v->left_ns) / 1000000;
	lab_note(&v->lab, "event=run_after_leave id=%s ms=%lu", id,
		 (unsigned long)late_ms);
	v->after_drain += late_ms > DRAIN_MS;
}

static void on_answer(struct evhttp_request *req, void *arg)
{
	struct leave_lab *v = arg;

	v->served += req && evhttp_request_get_response_code(req) == 200;
}

/* All requests begin at the second machine, which is in touch all the time. */
static void on_load(evutil_socket_t fd, short what, void *arg)
{
	struct leave_lab *v = arg;
	const struct lab_node *n = &v->lab.nodes[1];
	struct evhttp_connection *c = evhttp_connection_base_new(
		v->lab.base, NULL, n->ip,
		(uint16_t)atoi(strchr(n->outbound, ':') + 1));
	struct evhttp_request *req = evhttp_request_new(on_answer, v);
	struct evkeyvalq *h = evhttp_request_get_output_headers(req);
	char text[32];

	(void)fd;
	(void)what;
	evhttp_connection_set_timeout(c, 6);
	evhttp_connection_free_on_completion(c);
	snprintf(text, sizeof(text), "r%u", ++v->requests);
	evhttp_add_header(h, "Jackdawpaddle-Request-Id", text);
	evhttp_add_header(h, "Jackdawpaddle-Request-Deadline", "5000");
	evhttp_add_header(h, "Host", "a.example");
	evhttp_add_header(h, "Connection", "close");
	evhttp_make_request(c, req, EVHTTP_REQ_POST, "/arm/1");
}

static void on_control_answer(struct evhttp_request *req, void *arg)
{
	struct leave_lab *v = arg;

	v->code = req ? evhttp_request_get_response_code(req) : 0;
}

/* Sends a call of the endpoint; its answer sets @v->code. */
static void control_call(struct leave_lab *v, const char *call,
			 const char *body)
{
	const struct lab_node *n = &v->lab.nodes[0];
	struct evhttp_connection *c = evhttp_connection_base_new(
		v->lab.base, NULL, n->ip,
		(uint16_t)atoi(strchr(n->control, ':') + 1));
	struct evhttp_request *req = evhttp_request_new(on_control_answer, v);
	char uri[120];

	evhttp_connection_set_timeout(c, 5);
	evhttp_connection_free_on_completion(c);
	evhttp_add_header(evhttp_request_get_output_headers(req), "Host",
			  n->control);
	evbuffer_add(evhttp_request_get_output_buffer(req), body, strlen(body));
	snprintf(uri, sizeof(uri), "/jackdawpaddle/rpc?call=%s&of=i-7f3a",
		 call);
	v->code = -1;
	evhttp_make_request(c, req, EVHTTP_REQ_POST, uri);
}

/* True once the leave is acknowledged. */
static bool deregister(struct leave_lab *v)
{
	control_call(v, "instances.deregister", "");
	for (int i = 0; i < 100 && v->code < 0; i++)
		lab_run(&v->lab, 10);
	lab_note(&v->lab, "event=deregistered code=%d", v->code);
	return v->code == 200;
}

static void on_late(evutil_socket_t fd, short what, void *arg)
{
	struct leave_lab *v = arg;

	(void)fd;
	(void)what;
	lab_note(&v->lab, "event=first_report_arrives");
	control_call(v, "instances.heartbeat", v->late_body);
}

static struct lab_endpoint *start(struct leave_lab *v, struct endpoint_arg *a,
				  int node, const char *instance, bool silent)
{
	struct lab_endpoint_opts o = {.lab = &v->lab,
				      .node = &v->lab.nodes[node],
				      .slots = 12,
				      .work_ms = 29,
				      .answer_bytes = 400,
				      .instance = instance,
				      .silent = silent,
				      .on_run = on_run,
				      .arg = a};

	lab_note(&v->lab, "event=endpoint_started instance=%s lifetime=%d",
		 instance, a->lifetime + 1);
	return lab_endpoint_new(&o);
}

int main(int argc, char **argv)
{
	static struct leave_lab v;
	struct endpoint_arg other = {.v = &v, .lifetime = -1};
	struct endpoint_arg first = {.v = &v, .lifetime = 0};
	struct endpoint_arg second = {.v = &v, .lifetime = SECOND_LIFETIME};
	struct timeval every = {.tv_usec = EVERY_MS * 1000};
	struct timeval late = {.tv_sec = LATE_MS / 1000,
			       .tv_usec = LATE_MS % 1000 * 1000};
	struct lab *l = &v.lab;
	enum lab_verdict verdict = LAB_HELD;
	struct lab_endpoint *e, *rest[NODES];
	char instances[NODES][8];
	bool acks = true;

	lab_init(l, argc > 1 ? argv[1] : ".");
	l->heartbeat_s = 1.5;
	kv_server_put(l->store, "op/config", CONFIG);
	for (int i = 0; i < NODES; i++)
		lab_node_start(l, lab_add_node(l, "farol-book"), true);
	for (int i = 1; i < NODES; i++) {
		snprintf(instances[i], sizeof(instances[i]), "i-%d", i);
		rest[i] = start(&v, &other, i, instances[i], false);
	}
	e = start(&v, &first, 0, "i-7f3a", false);
	if (!lab_wait_ready(l, 20000))
		verdict = LAB_NOT_RUN;
	lab_run(l, 2000);
	v.load = event_new(l->base, -1, EV_PERSIST, on_load, &v);
	event_add(v.load, &every);
	lab_run(l, 4000);
	/* The first lifetime leaves in good order. */
	lab_endpoint_silence(e);
	acks &= deregister(&v);
	lab_run(l, DRAIN_MS + 500);
	lab_endpoint_delete(e);
	lab_run(l, 500);
	/* The second one leaves before its first report was answered. */
	e = start(&v, &second, 0, "i-7f3a", true);
	snprintf(v.late_body, sizeof(v.late_body),
		 "{\"address\":\"%s\",\"born\":%lu,\"info\":{\"service\":"
		 "\"farol-book\",\"version\":\"v1\",\"zone\":\"zone-a\","
		 "\"slots\":12},\"status\":{\"state\":\"ready\",\"sequence\":1,"
		 "\"warmupLeftS\":0},\"holds\":[],\"released\":[]}",
		 l->nodes[0].app, (unsigned long)lab_endpoint_born_ms(e));
	v.late = evtimer_new(l->base, on_late, &v);
	if (l->trouble)
		evtimer_add(v.late, &late);
	else
		on_late(-1, 0, &v);
	lab_run(l, LEAVE_AFTER_MS);
	acks &= deregister(&v);
	v.left_ns = lab_now_ns();
	lab_run(l, SERVES_MS);
	event_del(v.load);
	lab_run(l, 1000);
	if (!acks || v.served < v.requests / 2)
		verdict = LAB_NOT_RUN;
	else if (v.after_drain)
		verdict = LAB_BROKEN;
	lab_note(l,
		 "event=result rule=DRAIN after_drain=%u allowed=0 requests=%u "
		 "served=%u verdict=%d",
		 v.after_drain, v.requests, v.served, verdict);
	lab_endpoint_delete(e);
	for (int i = 1; i < NODES; i++)
		lab_endpoint_delete(rest[i]);
	lab_done(l);
	return verdict;
}
