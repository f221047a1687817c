/*
 * The program that reads a daemon's standard output stops for some seconds
 * while callers are busy: the daemon must not wait for it.
 */
#include <event2/buffer.h>
#include <fcntl.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include "review/lab3/lab.h"

#define EVERY_MS     10
#define UNKNOWN_EACH 25
#define LOAD_MS	     90000
#define TIMEOUT_MS   2000
#define DEADLINE_MS  5000
#define CONFIG                                                                 \
	"{\"version\":\"00000003\",\"routes\":[{\"name\":\"order-status\","    \
	"\"host\":\"a.example\",\"pathPrefix\":\"/status/\","                  \
	"\"type\":\"idempotent\",\"timeoutS\":2,\"targetLatencyS\":0.6,"       \
	"\"priority\":2,\"service\":\"intake\",\"maxAttempts\":2,"             \
	"\"allowedRegions\":[]}],\"services\":[{\"name\":\"intake\","          \
	"\"warmupPerS\":50.0}],\"limits\":{\"maxHeaderBytes\":16384,"          \
	"\"maxBodyBytes\":1048576,\"headerTimeoutS\":5,\"idleTimeoutS\":15}}"

struct load {
	struct lab lab;
	uint32_t sent;
	uint32_t answered; /* within timeoutS and half a second */
	uint32_t lasting;  /* over timeoutS */
	uint32_t late;	   /* answered half a second later, or not at all */
	uint32_t open;
	struct event *timer;
};

struct request {
	struct load *load;
	uint64_t sent_ns;
	uint32_t number;
};

static void on_answer(struct evhttp_request *req, void *arg)
{
	struct request *r = arg;
	struct load *d = r->load;
	uint64_t took_ms = (lab_now_ns() - r->sent_ns) / 1000000;
	int code = req ? evhttp_request_get_response_code(req) : 0;

	d->open--;
	d->lasting += !code || took_ms > TIMEOUT_MS;
	if (code && took_ms <= TIMEOUT_MS + 500)
		d->answered++;
	else
		d->late++;
	if (!code || took_ms > TIMEOUT_MS + 500)
		lab_note(&d->lab, "event=unanswered id=r%u code=%d ms=%lu",
			 r->number, code, (unsigned long)took_ms);
	free(r);
}

static void on_timer(evutil_socket_t fd, short what, void *arg)
{
	struct load *d = arg;
	const struct lab_node *n = &d->lab.nodes[0];
	struct request *r = calloc(1, sizeof(*r));
	struct evhttp_connection *c = evhttp_connection_base_new(
		d->lab.base, NULL, n->ip,
		(uint16_t)atoi(strchr(n->outbound, ':') + 1));
	struct evhttp_request *req = evhttp_request_new(on_answer, r);
	struct evkeyvalq *h = evhttp_request_get_output_headers(req);
	char text[32];

	(void)fd;
	(void)what;
	r->load = d;
	r->sent_ns = lab_now_ns();
	r->number = ++d->sent;
	d->open++;
	evhttp_connection_set_timeout(c, DEADLINE_MS / 1000);
	evhttp_connection_free_on_completion(c);
	snprintf(text, sizeof(text), "r%u", r->number);
	evhttp_add_header(h, "Jackdawpaddle-Request-Id", text);
	snprintf(text, sizeof(text), "%d", DEADLINE_MS);
	evhttp_add_header(h, "Jackdawpaddle-Request-Deadline", text);
	evhttp_add_header(h, "Host", "a.example");
	evhttp_add_header(h, "Connection", "close");
	/* Some ask for a route that never existed. */
	evhttp_make_request(c, req, EVHTTP_REQ_GET,
			    r->number % UNKNOWN_EACH ? "/status/1" : "/none/1");
}

/* A program that reads what @fd brings until it ends. */
static pid_t start_log_reader(int fd)
{
	pid_t parent = getpid();
	pid_t pid = fork();
	char part[4096];

	if (pid)
		return pid;
	prctl(PR_SET_PDEATHSIG, SIGKILL);
	if (getppid() != parent)
		_exit(1);
	while (read(fd, part, sizeof(part)) > 0) {
	}
	_exit(0);
}

int main(int argc, char **argv)
{
	static struct load d;
	struct lab *l = &d.lab;
	struct timeval every = {.tv_usec = EVERY_MS * 1000};
	struct lab_endpoint *e[2];
	enum lab_verdict verdict = LAB_HELD;
	pid_t reader;
	int fds[2];

	lab_init(l, argc > 1 ? argv[1] : ".");
	kv_server_put(l->store, "op/config", CONFIG);
	if (pipe(fds) != 0)
		return LAB_NOT_RUN;
	reader = start_log_reader(fds[0]);
	for (int i = 0; i < 2; i++) {
		struct lab_node *n = lab_add_node(l, "intake");
		struct lab_endpoint_opts o = {.lab = l,
					      .node = n,
					      .slots = 3,
					      .work_ms = 220,
					      .answer_bytes = 5000,
					      .instance = i ? "i-02" : "i-01"};

		n->log_fd = i ? -1 : fds[1];
		lab_node_start(l, n, true);
		e[i] = lab_endpoint_new(&o);
	}
	close(fds[1]);
	if (!lab_wait_ready(l, 20000))
		verdict = LAB_NOT_RUN;
	lab_run(l, 2000);
	if (l->trouble) {
		kill(reader, SIGSTOP);
		lab_note(l, "event=log_reader_stopped");
	}
	d.timer = event_new(l->base, -1, EV_PERSIST, on_timer, &d);
	event_add(d.timer, &every);
	for (int ms = 0; ms < LOAD_MS && verdict == LAB_HELD; ms += 1000) {
		lab_run(l, 1000);
		if (ms % 5000 == 0)
			lab_note(l, "event=load sent=%u answered=%u late=%u",
				 d.sent, d.answered, d.late);
		if (d.late >= 200)
			break;
	}
	event_del(d.timer);
	lab_run(l, DEADLINE_MS + 1000);
	/* Eight or more, and over a quarter of those that last so long. */
	if (d.late >= 8 && d.late * 4 > d.lasting && verdict == LAB_HELD)
		verdict = LAB_BROKEN;
	lab_note(l,
		 "event=result rule=CONFIG sent=%u answered_in_time=%u "
		 "over_timeout=%u unanswered=%u allowed=7 daemon_runs=%d "
		 "verdict=%d",
		 d.sent, d.answered, d.lasting, d.late,
		 lab_node_runs(l, &l->nodes[0]), verdict);
	kill(reader, SIGKILL);
	kill(reader, SIGCONT);
	waitpid(reader, NULL, 0);
	lab_endpoint_delete(e[0]);
	lab_endpoint_delete(e[1]);
	lab_done(l);
	return verdict;
}
