/*
 * Callers that stop reading for three seconds while their pipelined requests
 * are answered, and then read on.
 */
#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "review/lab3/lab.h"

#define CALLERS	     6
#define PIPELINED    4
#define ANSWER_BYTES 9000
#define PAUSE_MS     3000
#define DEADLINE_MS  8000
#define CONFIG                                                                 \
	"{\"version\":\"00000003\",\"routes\":[{\"name\":\"fault-history\","   \
	"\"host\":\"a.example\",\"pathPrefix\":\"/history/\","                 \
	"\"type\":\"idempotent\",\"timeoutS\":4,\"targetLatencyS\":4,"         \
	"\"priority\":2,\"service\":\"inspecciones\",\"maxAttempts\":2,"       \
	"\"allowedRegions\":[]}],\"services\":[{\"name\":\"inspecciones\","    \
	"\"warmupPerS\":50.0}],\"limits\":{\"maxHeaderBytes\":16384,"          \
	"\"maxBodyBytes\":1048576,\"headerTimeoutS\":5,\"idleTimeoutS\":15}}"

enum caller_state { CALLER_FIRST, CALLER_PAUSES, CALLER_READS, CALLER_ENDED };

struct caller {
	struct lab *lab;
	int index;
	int fd;
	enum caller_state state;
	struct event *timer;
	uint64_t sent_ns;
	char *text; /* all that was received */
	size_t len;
	int answers; /* complete ones */
	int error;   /* errno of the end; 0: none, -1: closed in order */
};

/* Complete answers in what was received, each with a Content-Length. */
static int count_answers(const struct caller *c)
{
	const char *at = c->text;
	const char *end = c->text + c->len;
	int n = 0;

	while (at < end) {
		const char *head =
			memmem(at, (size_t)(end - at), "\r\n\r\n", 4);
		const char *length = strcasestr(at, "Content-Length:");

		if (!head || !length || length > head)
			return n;
		at = head + 4 + strtoul(length + 15, NULL, 10);
		n += at <= end;
	}
	return n;
}

static void send_request(struct caller *c, int number)
{
	char text[400];
	int len = snprintf(text, sizeof(text),
			   "GET /history/%d HTTP/1.1\r\nHost: a.example\r\n"
			   "Jackdawpaddle-Request-Id: c%d-%d\r\n"
			   "Jackdawpaddle-Request-Deadline: %d\r\n\r\n",
			   number, c->index, number, DEADLINE_MS);

	if (send(c->fd, text, (size_t)len, MSG_NOSIGNAL) != len)
		c->error = errno;
	lab_note(c->lab, "event=sent id=c%d-%d", c->index, number);
}

static void read_all(struct caller *c)
{
	char part[4096];
	ssize_t n;

	while ((n = recv(c->fd, part, sizeof(part), MSG_DONTWAIT)) > 0) {
		c->text = realloc(c->text, c->len + (size_t)n + 1);
		memcpy(c->text + c->len, part, (size_t)n);
		c->len += (size_t)n;
		c->text[c->len] = '\0';
	}
	if (n == 0)
		c->error = -1;
	else if (errno != EAGAIN && errno != EWOULDBLOCK)
		c->error = errno;
	c->answers = c->len ? count_answers(c) : 0;
}

static void again(struct caller *c, uint32_t ms)
{
	struct timeval tv = {.tv_sec = ms / 1000,
			     .tv_usec = (suseconds_t)(ms % 1000) * 1000};

	evtimer_add(c->timer, &tv);
}

static void on_timer(evutil_socket_t fd, short what, void *arg)
{
	struct caller *c = arg;

	(void)fd;
	(void)what;
	switch (c->state) {
	case CALLER_FIRST:
		read_all(c);
		if (!c->answers) {
			again(c, 20);
			return;
		}
		/* The connection is kept: further requests at once. */
		c->sent_ns = lab_now_ns();
		for (int i = 1; i <= PIPELINED; i++)
			send_request(c, i);
		c->state = CALLER_PAUSES;
		again(c, c->lab->trouble ? PAUSE_MS : 0);
		return;
	case CALLER_PAUSES:
		c->state = CALLER_READS;
		/* fallthrough */
	case CALLER_READS:
		read_all(c);
		if (c->answers <= PIPELINED && !c->error &&
		    lab_now_ns() - c->sent_ns <
			    (uint64_t)DEADLINE_MS * 1000000) {
			again(c, 20);
			return;
		}
		c->state = CALLER_ENDED;
		lab_note(
			c->lab,
			"event=caller_end caller=%d answers=%d of=%d bytes=%zu "
			"end=\"%s\" after_ms=%lu",
			c->index, c->answers - 1, PIPELINED, c->len,
			c->error < 0 ? "closed"
			: c->error   ? strerror(c->error)
				     : "open",
			(unsigned long)((lab_now_ns() - c->sent_ns) / 1000000));
		return;
	case CALLER_ENDED:
		return;
	}
}

/* A caller with the receive buffer of a small device. */
static void start_caller(struct lab *l, struct caller *c, int index)
{
	struct sockaddr_in to = {.sin_family = AF_INET};
	const struct lab_node *n = &l->nodes[index % (int)l->node_count];
	int buffer = 4096;

	c->lab = l;
	c->index = index;
	c->fd = socket(AF_INET, SOCK_STREAM, 0);
	setsockopt(c->fd, SOL_SOCKET, SO_RCVBUF, &buffer, sizeof(buffer));
	inet_pton(AF_INET, n->ip, &to.sin_addr);
	to.sin_port = htons((uint16_t)atoi(strchr(n->outbound, ':') + 1));
	if (connect(c->fd, (struct sockaddr *)&to, sizeof(to)) != 0)
		exit(LAB_NOT_RUN);
	c->timer = evtimer_new(l->base, on_timer, c);
	send_request(c, 0);
	again(c, 20);
}

int main(int argc, char **argv)
{
	struct lab l;
	struct lab_endpoint *e[2];
	struct caller callers[CALLERS] = {0};
	enum lab_verdict verdict = LAB_HELD;
	int cut = 0;

	lab_init(&l, argc > 1 ? argv[1] : ".");
	l.contracts = "base,drain,config,cost,retry,recover,health,pool,own,"
		      "places,pressure,platform";
	kv_server_put(l.store, "op/config", CONFIG);
	for (int i = 0; i < 2; i++) {
		struct lab_node *n = lab_add_node(&l, "inspecciones");
		struct lab_endpoint_opts o = {.lab = &l,
					      .node = n,
					      .slots = 12,
					      .work_ms = 50,
					      .answer_bytes = ANSWER_BYTES,
					      .instance = i ? "i-02" : "i-01"};

		lab_node_start(&l, n, true);
		e[i] = lab_endpoint_new(&o);
	}
	if (!lab_wait_ready(&l, 20000)) {
		lab_note(&l, "event=not_run why=not_ready");
		lab_done(&l);
		return LAB_NOT_RUN;
	}
	lab_run(&l, 2000);
	for (int i = 0; i < CALLERS; i++)
		start_caller(&l, &callers[i], i);
	lab_run(&l, DEADLINE_MS + 4000);
	for (int i = 0; i < CALLERS; i++) {
		if (!callers[i].answers)
			verdict = LAB_NOT_RUN;
		/* Read, passed on, and the connection ended by the node. */
		if (callers[i].error)
			cut += PIPELINED + 1 - callers[i].answers;
		close(callers[i].fd);
	}
	if (cut > 3)
		verdict = LAB_BROKEN;
	lab_note(&l,
		 "event=result rule=LOST unanswered=%d allowed=3 ran=%u "
		 "verdict=%d",
		 cut, lab_endpoint_ran(e[0]) + lab_endpoint_ran(e[1]), verdict);
	lab_endpoint_delete(e[0]);
	lab_endpoint_delete(e[1]);
	lab_done(&l);
	return verdict;
}
