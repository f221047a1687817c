/*
 * A few callers upload bodies that the configuration allows, at the same time.
 * The platform ends a process that exceeds its memory.
 */
#include <event2/buffer.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>

#include "review/lab3/lab.h"

#define CALLERS	     12
#define UPLOADS	     3
#define BODY_BYTES   (30u << 20)
#define SMALL_BYTES  60000u
#define SAMPLE_MS    20
#define PAUSE_US     5000  /* of a caller between two requests */
#define STAGGER_US   20000 /* between the starts of two callers */
#define RESTART_MS   500
#define IDS_MAX	     8192
#define UPLOADS_AT_S 5
#define CONFIG                                                                 \
	"{\"version\":\"00000003\",\"routes\":[{\"name\":\"order-status\","    \
	"\"host\":\"a.example\",\"pathPrefix\":\"/status/\","                  \
	"\"type\":\"idempotent\",\"timeoutS\":4,\"targetLatencyS\":0.6,"       \
	"\"priority\":1,\"service\":\"intake\",\"maxAttempts\":2,"             \
	"\"allowedRegions\":[]},{\"name\":\"upload\",\"host\":\"a.example\","  \
	"\"pathPrefix\":\"/upload/\",\"type\":\"non_idempotent\","             \
	"\"timeoutS\":20,\"targetLatencyS\":5,\"priority\":2,"                 \
	"\"service\":\"intake\",\"maxAttempts\":2,\"allowedRegions\":[]}],"    \
	"\"services\":[{\"name\":\"intake\",\"warmupPerS\":50.0}],"            \
	"\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":67108864,"      \
	"\"headerTimeoutS\":3,\"idleTimeoutS\":15}}"

struct memory_lab {
	struct lab lab;
	bool ran[IDS_MAX]; /* by the number of the request */
	uint32_t next_id;
	uint32_t answered;
	uint32_t lost; /* run, from a kept connection, closed unanswered */
	uint32_t uploads_answered;
	uint32_t peak_mb;
	uint32_t ends; /* the platform ended the process */
	struct event *sample;
	struct event *restart;
};

struct caller {
	struct memory_lab *m;
	struct evhttp_connection *conn;
	struct event *timer;
	uint32_t id;   /* of the request in progress */
	uint32_t kept; /* answers so far on this connection */
	bool stop;
};

static void on_run(void *arg, const char *id)
{
	struct memory_lab *m = arg;
	uint32_t number = (uint32_t)strtoul(id + 1, NULL, 10);

	if (number < IDS_MAX)
		m->ran[number] = true;
	lab_note(&m->lab, "event=run id=%s", id);
}

static void send_next(struct caller *c);

static void on_answer(struct evhttp_request *req, void *arg)
{
	struct caller *c = arg;
	struct memory_lab *m = c->m;
	int code = req ? evhttp_request_get_response_code(req) : 0;
	struct timeval tv = {.tv_usec = PAUSE_US};

	lab_note(&m->lab, "event=answer id=r%u code=%d", c->id, code);
	if (code) {
		m->answered++;
		c->kept++;
	} else {
		m->lost += c->kept && m->ran[c->id];
		c->kept = 0;
	}
	if (!c->stop)
		evtimer_add(c->timer, &tv);
}

static struct evhttp_request *
new_request(uint32_t id, const char *deadline_ms,
	    void (*fn)(struct evhttp_request *, void *), void *arg)
{
	struct evhttp_request *req = evhttp_request_new(fn, arg);
	struct evkeyvalq *h = evhttp_request_get_output_headers(req);
	char text[32];

	snprintf(text, sizeof(text), "r%u", id);
	evhttp_add_header(h, "Jackdawpaddle-Request-Id", text);
	evhttp_add_header(h, "Jackdawpaddle-Request-Deadline", deadline_ms);
	evhttp_add_header(h, "Host", "a.example");
	return req;
}

static void send_next(struct caller *c)
{
	c->id = ++c->m->next_id;
	evhttp_make_request(c->conn, new_request(c->id, "4000", on_answer, c),
			    EVHTTP_REQ_GET, "/status/1");
}

static void on_caller_timer(evutil_socket_t fd, short what, void *arg)
{
	(void)fd;
	(void)what;
	send_next(arg);
}

static struct evhttp_connection *connect_to(struct lab *l,
					    const struct lab_node *n)
{
	struct evhttp_connection *c = evhttp_connection_base_new(
		l->base, NULL, n->ip,
		(uint16_t)atoi(strchr(n->outbound, ':') + 1));

	evhttp_connection_set_timeout(c, 20);
	return c;
}

static void on_upload_answer(struct evhttp_request *req, void *arg)
{
	struct memory_lab *m = arg;
	int code = req ? evhttp_request_get_response_code(req) : 0;

	m->uploads_answered += code != 0;
	lab_note(&m->lab, "event=upload_answer code=%d", code);
}

static void start_upload(struct memory_lab *m, const char *body, size_t len)
{
	struct evhttp_request *req =
		new_request(++m->next_id, "20000", on_upload_answer, m);

	lab_note(&m->lab, "event=upload id=r%u bytes=%zu", m->next_id, len);
	evbuffer_add_reference(evhttp_request_get_output_buffer(req), body, len,
			       NULL, NULL);
	evhttp_make_request(connect_to(&m->lab, &m->lab.nodes[0]), req,
			    EVHTTP_REQ_POST, "/upload/1");
}

static void on_restart(evutil_socket_t fd, short what, void *arg)
{
	struct memory_lab *m = arg;

	(void)fd;
	(void)what;
	lab_node_start(&m->lab, &m->lab.nodes[0], false);
}

/* The platform: it ends a process over its limit, and starts it again. */
static void on_sample(evutil_socket_t fd, short what, void *arg)
{
	struct memory_lab *m = arg;
	struct lab_node *n = &m->lab.nodes[0];
	uint32_t mb = n->pid ? lab_node_memory_mb(n) : 0;
	struct timeval tv = {.tv_usec = RESTART_MS * 1000};

	(void)fd;
	(void)what;
	if (mb > m->peak_mb)
		m->peak_mb = mb;
	if (mb <= m->lab.memory_mb)
		return;
	lab_note(&m->lab, "event=memory_exceeded node=%s mb=%u limit=%u",
		 n->name, mb, m->lab.memory_mb);
	lab_node_signal(&m->lab, n, SIGKILL);
	m->ends++;
	evtimer_add(m->restart, &tv);
}

int main(int argc, char **argv)
{
	static struct memory_lab m;
	static struct caller callers[CALLERS];
	struct lab *l = &m.lab;
	struct timeval every = {.tv_usec = SAMPLE_MS * 1000};
	enum lab_verdict verdict = LAB_HELD;
	struct lab_endpoint *e[2];
	size_t len;
	char *body;

	lab_init(l, argc > 1 ? argv[1] : ".");
	len = l->trouble ? BODY_BYTES : SMALL_BYTES;
	body = malloc(len);
	memset(body, 'x', len);
	kv_server_put(l->store, "op/config", CONFIG);
	for (int i = 0; i < 2; i++) {
		struct lab_node *n = lab_add_node(l, "intake");
		struct lab_endpoint_opts o = {.lab = l,
					      .node = n,
					      .slots = 18,
					      .work_ms = 220,
					      .answer_bytes = 5000,
					      .instance = i ? "i-02" : "i-01",
					      .on_run = on_run,
					      .arg = &m};

		lab_node_start(l, n, true);
		e[i] = lab_endpoint_new(&o);
	}
	if (!lab_wait_ready(l, 20000))
		verdict = LAB_NOT_RUN;
	lab_run(l, 2000);
	m.restart = evtimer_new(l->base, on_restart, &m);
	m.sample = event_new(l->base, -1, EV_PERSIST, on_sample, &m);
	event_add(m.sample, &every);
	for (int i = 0; i < CALLERS; i++) {
		callers[i].m = &m;
		callers[i].conn = connect_to(l, &l->nodes[0]);
		callers[i].timer =
			evtimer_new(l->base, on_caller_timer, &callers[i]);
		evtimer_add(callers[i].timer,
			    &(struct timeval){.tv_usec = i * STAGGER_US});
	}
	lab_run(l, UPLOADS_AT_S * 1000);
	lab_note(l, "event=before memory_mb=%u answered=%u", m.peak_mb,
		 m.answered);
	for (int i = 0; i < UPLOADS; i++)
		start_upload(&m, body, len);
	lab_run(l, 25000);
	for (int i = 0; i < CALLERS; i++)
		callers[i].stop = true;
	lab_run(l, 5000);
	if (m.answered < 100)
		verdict = LAB_NOT_RUN;
	else if (m.lost > 3)
		verdict = LAB_BROKEN;
	lab_note(l,
		 "event=result rule=LOST lost=%u allowed=3 answered=%u "
		 "peak_mb=%u limit_mb=%u ends=%u uploads_answered=%u of=%d "
		 "verdict=%d",
		 m.lost, m.answered, m.peak_mb, l->memory_mb, m.ends,
		 m.uploads_answered, UPLOADS, verdict);
	lab_endpoint_delete(e[0]);
	lab_endpoint_delete(e[1]);
	lab_done(l);
	return verdict;
}
