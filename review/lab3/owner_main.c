/*
 * A report of an ended lifetime reaches the next process of its node before
 * the first report of the lifetime that holds the keys.
 */
#include <event2/buffer.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>

#include "fakes/leased_upstream.h"
#include "io/clock.h"
#include "review/lab3/lab.h"

#define NODES		6
#define ROUNDS		6
#define KEYS		65536
#define SAMPLE_MS	5
#define BOTH_MAX_NS	500000000u
/* From the kill to the next process: one of the rounds meets an endpoint that
 * has just reported. */
#define RESTART_MIN_MS	300
#define RESTART_STEP_MS 250
#define CLIENT_EVERY_MS 20
#define CONFIG                                                                 \
	"{\"version\":\"00000003\",\"routes\":[{\"name\":\"dusk-now\","        \
	"\"host\":\"a.example\",\"pathPrefix\":\"/dusk/\","                    \
	"\"type\":\"idempotent\",\"timeoutS\":2,\"targetLatencyS\":0.3,"       \
	"\"priority\":1,\"service\":\"farol-live\",\"maxAttempts\":2,"         \
	"\"allowedRegions\":[]}],\"services\":[{\"name\":\"farol-live\","      \
	"\"sharded\":true,\"warmupPerS\":50.0}],\"limits\":{"                  \
	"\"maxHeaderBytes\":16384,\"maxBodyBytes\":1048576,"                   \
	"\"headerTimeoutS\":5,\"idleTimeoutS\":15}}"

struct owner_lab {
	struct lab lab;
	struct leased_upstream *upstreams[NODES]; /* NULL: not running */
	char instances[NODES][32];
	uint32_t lifetimes[NODES];
	uint8_t holder[KEYS];	   /* index + 1 at the last sample */
	uint64_t both_since[KEYS]; /* 0: one holder at most */
	uint64_t longest_ns;	   /* of two holders */
	uint32_t longest_key;
	uint32_t begun_while_both;
	struct event *sample;
	struct event *client;
	uint32_t requests;
	uint32_t served;
	struct evhttp_connection *late_conn;
	bool late_answered;
};

struct mark {
	struct owner_lab *o;
	uint8_t index;
	uint64_t now_ns;
};

static void mark_row(void *arg, uint32_t from, uint32_t to)
{
	struct mark *m = arg;
	struct owner_lab *o = m->o;

	for (uint32_t k = from; k <= to; k++) {
		if (!o->holder[k]) {
			o->holder[k] = m->index;
			continue;
		}
		if (!o->both_since[k]) {
			o->both_since[k] = m->now_ns;
			if (k == from)
				lab_note(&o->lab,
					 "event=two_holders keys=%u-%u "
					 "instances=%s,%s",
					 from, to,
					 o->instances[o->holder[k] - 1],
					 o->instances[m->index - 1]);
		}
		o->holder[k] = (uint8_t)(m->index | 0x80);
	}
}

static void on_sample(evutil_socket_t fd, short what, void *arg)
{
	struct owner_lab *o = arg;
	struct mark m = {.o = o, .now_ns = clock_now_ns()};

	(void)fd;
	(void)what;
	memset(o->holder, 0, sizeof(o->holder));
	for (uint8_t i = 0; i < NODES; i++) {
		m.index = (uint8_t)(i + 1);
		if (o->upstreams[i])
			leased_upstream_for_each_row(o->upstreams[i], m.now_ns,
						     mark_row, &m);
	}
	for (uint32_t k = 0; k < KEYS; k++) {
		uint64_t both_ns;

		if (!o->both_since[k])
			continue;
		both_ns = m.now_ns - o->both_since[k];
		if (both_ns > o->longest_ns) {
			o->longest_ns = both_ns;
			o->longest_key = k;
		}
		if (!(o->holder[k] & 0x80))
			o->both_since[k] = 0;
	}
}

static void on_upstream_event(void *arg, const struct leased_upstream_event *ev)
{
	struct owner_lab *o = arg;
	const char *instance = leased_upstream_instance(ev->upstream);

	if (!ev->request_id)
		lab_note(&o->lab,
			 "event=acquired instance=%s keys=%u-%u fence=%lu",
			 instance, ev->from, ev->to, (unsigned long)ev->fence);
	else if (o->both_since[ev->key])
		lab_note(&o->lab,
			 "event=begun_while_two_hold instance=%s "
			 "key=%u number=%u",
			 instance, ev->key, ++o->begun_while_both);
}

static void start_upstream(struct owner_lab *o, uint32_t i)
{
	struct lab_node *n = &o->lab.nodes[i];
	struct leased_upstream_opts u = {
		.base = o->lab.base,
		.addr = n->app,
		.announced_addr = n->app,
		.control = n->control,
		.service = "farol-live",
		.dc = "zone-a",
		.instance = o->instances[i],
		.keyed = true,
		.slots = 12,
		.announce_ms = (uint32_t)(o->lab.heartbeat_s * 1000),
		.work_ms = 88,
		.seed = i + 1,
		.on_event = on_upstream_event,
		.arg = o,
	};

	snprintf(o->instances[i], sizeof(o->instances[i]), "i-%u-%u", i + 1,
		 ++o->lifetimes[i]);
	o->upstreams[i] = leased_upstream_new(&u);
	if (!o->upstreams[i])
		exit(LAB_NOT_RUN);
	lab_note(&o->lab, "event=endpoint_started instance=%s node=%s",
		 o->instances[i], n->name);
}

static void on_client_answer(struct evhttp_request *req, void *arg)
{
	struct owner_lab *o = arg;

	o->served += req && evhttp_request_get_response_code(req) == 200;
}

static void on_client(evutil_socket_t fd, short what, void *arg)
{
	struct owner_lab *o = arg;
	const struct lab_node *n = &o->lab.nodes[o->requests % NODES];
	struct evhttp_connection *c;
	struct evhttp_request *req;
	struct evkeyvalq *h;
	char text[64];

	(void)fd;
	(void)what;
	c = evhttp_connection_base_new(
		o->lab.base, NULL, n->ip,
		(uint16_t)atoi(strchr(n->outbound, ':') + 1));
	evhttp_connection_set_timeout(c, 4);
	evhttp_connection_free_on_completion(c);
	req = evhttp_request_new(on_client_answer, o);
	h = evhttp_request_get_output_headers(req);
	snprintf(text, sizeof(text), "r%u", ++o->requests);
	evhttp_add_header(h, "Jackdawpaddle-Request-Id", text);
	evhttp_add_header(h, "Jackdawpaddle-Request-Deadline", "2000");
	snprintf(text, sizeof(text), "%u", o->requests * 7919 % KEYS);
	evhttp_add_header(h, "Jackdawpaddle-Shard-Key", text);
	evhttp_add_header(h, "Host", "a.example");
	evhttp_add_header(h, "Connection", "close");
	evhttp_make_request(c, req, EVHTTP_REQ_GET, "/dusk/1");
}

static void on_late_answer(struct evhttp_request *req, void *arg)
{
	struct owner_lab *o = arg;

	o->late_answered = req && evhttp_request_get_response_code(req) != 0;
}

/* The report that the ended lifetime @instance sent when it was leaving. */
static void deliver_late_report(struct owner_lab *o, uint32_t i,
				const char *instance, uint64_t born_ms)
{
	struct lab_node *n = &o->lab.nodes[i];
	char uri[160];

	for (int tries = 0; tries < 100 && !o->late_answered; tries++) {
		struct evhttp_request *req =
			evhttp_request_new(on_late_answer, o);

		if (o->late_conn)
			evhttp_connection_free(o->late_conn);
		o->late_conn = evhttp_connection_base_new(
			o->lab.base, NULL, n->ip,
			(uint16_t)atoi(strchr(n->control, ':') + 1));
		evhttp_add_header(evhttp_request_get_output_headers(req),
				  "Host", n->control);
		evbuffer_add_printf(
			evhttp_request_get_output_buffer(req),
			"{\"address\":\"%s\",\"born\":%lu,\"info\":{"
			"\"service\":\"farol-live\",\"version\":\"v1\","
			"\"zone\":\"zone-a\",\"slots\":12},\"status\":{"
			"\"state\":\"draining\",\"sequence\":1000,"
			"\"warmupLeftS\":0},\"holds\":[],\"released\":[]}",
			n->app, (unsigned long)born_ms);
		snprintf(uri, sizeof(uri),
			 "/jackdawpaddle/rpc?call=instances.heartbeat&of=%s",
			 instance);
		evhttp_make_request(o->late_conn, req, EVHTTP_REQ_POST, uri);
		lab_run(&o->lab, 20);
		/* Accepted, but answered only once the card is stored. */
		if (o->late_conn && tries && !o->late_answered)
			lab_run(&o->lab, 200);
	}
	lab_note(&o->lab, "event=late_report_delivered instance=%s answered=%d",
		 instance, o->late_answered);
	o->late_answered = false;
}

static void play_round(struct owner_lab *o, uint32_t i)
{
	struct lab *l = &o->lab;
	struct lab_node *n = &l->nodes[i];
	char ended[32];
	uint64_t born_ms = clock_now_ns() / 1000000;

	/* The first lifetime ends; its last report is held up on its way. */
	leased_upstream_delete(o->upstreams[i]);
	o->upstreams[i] = NULL;
	memcpy(ended, o->instances[i], sizeof(ended));
	lab_note(l, "event=endpoint_ended instance=%s", ended);
	lab_run(l, 100);
	start_upstream(o, i);
	lab_run(l, 5000);
	/* The node's process is killed and starts again. */
	lab_node_signal(l, n, SIGKILL);
	lab_run(l, RESTART_MIN_MS + i * RESTART_STEP_MS);
	lab_node_start(l, n, false);
	if (l->trouble)
		deliver_late_report(o, i, ended, born_ms - 1000);
	lab_run(l, 6000);
	lab_note(l, "event=round_end node=%s longest_both_ms=%lu", n->name,
		 (unsigned long)(o->longest_ns / 1000000));
}

int main(int argc, char **argv)
{
	static struct owner_lab o;
	struct lab *l = &o.lab;
	struct timeval sample = {.tv_usec = SAMPLE_MS * 1000};
	struct timeval client = {.tv_usec = CLIENT_EVERY_MS * 1000};
	enum lab_verdict verdict = LAB_HELD;

	lab_init(l, argc > 1 ? argv[1] : ".");
	l->heartbeat_s = 1.5;
	kv_server_put(l->store, "op/config", CONFIG);
	for (uint32_t i = 0; i < NODES; i++) {
		lab_node_start(l, lab_add_node(l, "farol-live"), true);
		start_upstream(&o, i);
	}
	o.sample = event_new(l->base, -1, EV_PERSIST, on_sample, &o);
	event_add(o.sample, &sample);
	if (!lab_wait_ready(l, 20000))
		verdict = LAB_NOT_RUN;
	lab_run(l, 6000);
	o.client = event_new(l->base, -1, EV_PERSIST, on_client, &o);
	event_add(o.client, &client);
	lab_run(l, 2000);
	for (uint32_t i = 0; i < ROUNDS && verdict == LAB_HELD; i++)
		play_round(&o, i);
	event_del(o.client);
	lab_run(l, 3000);
	if (o.served < o.requests / 2)
		verdict = LAB_NOT_RUN;
	else if (o.longest_ns > BOTH_MAX_NS)
		verdict = LAB_BROKEN;
	lab_note(l,
		 "event=result rule=OWNER longest_both_ms=%lu key=%u "
		 "allowed_ms=500 requests=%u served=%u begun=%u verdict=%d",
		 (unsigned long)(o.longest_ns / 1000000), o.longest_key,
		 o.requests, o.served, o.begun_while_both, verdict);
	lab_done(l);
	return verdict;
}
