/*
 * Measures what the router costs, with real processes on loopback: latency,
 * processor time and memory of requests sent to the owner's node (local) and to
 * another node (forwarded), compared with direct calls to the upstream.
 */
#include <argtable2.h>
#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "chaos/cluster.h"
#include "core/mem.h"
#include "core/text.h"
#include "io/addr.h"
#include "io/clock.h"

#define NODES		     2
#define CONNECTIONS_MAX	     1000
#define ROUNDS		     3
/* Requests of a round to one destination, one at a time and concurrently. */
#define SEQUENTIAL_REQUESTS  1500
#define CONCURRENT_REQUESTS  10000
#define CONCURRENCY	     16 /* requests at a time */
#define IN_FLIGHT	     8	/* within the gate's limit after a cold start */
#define IN_FLIGHT_BODY_BYTES (64 << 10)
#define IN_FLIGHT_WORK_MS    3000
#define IN_FLIGHT_DELAY_MS   800 /* below IN_FLIGHT_WORK_MS */
#define READY_TRIES	     200
#define READY_INTERVAL_US    50000
#define REQUEST_PATH	     "/archive/order-1"
#define SERVED_BY_HEADER     "X-Jackdaw-Served-By"
#define US(ns)		     ((double)(ns) / (double)NS_PER_US)

/* Where the client sends its requests. */
enum destination {
	DEST_UPSTREAM,	 /* the upstream */
	DEST_OWNER,	 /* the owner's node */
	DEST_OTHER_NODE, /* another node, which forwards them to the owner's */
	DEST_COUNT,
};

/* All rounds of one destination; means are per request. */
struct sample {
	uint64_t *latency_ns; /* each answer's; sorted after the last round */
	uint32_t count;
	double nodes_cpu_us; /* of all nodes together */
	double upstream_cpu_us;
	double requests_per_s;
};

struct client;

struct conn {
	struct client *client;
	struct evhttp_connection *http;
	uint64_t sent_ns;
};

/*
 * A closed loop: each connection sends its next request when the answer to the
 * last one has arrived.
 */
struct client {
	struct event_base *base;
	struct conn conns[CONNECTIONS_MAX];
	uint32_t connection_count;
	uint32_t unsent; /* requests not sent yet */
	uint32_t in_flight;
	uint32_t failed;
	size_t body_bytes;	     /* 0: GET without a body, else POST */
	struct sample *sample;	     /* NULL: not recorded */
	char served_by[JD_NAME_MAX]; /* node named in the last answer */
};

static void send_next(struct conn *cn);

static void on_answer(struct evhttp_request *req, void *arg)
{
	struct conn *cn = arg;
	struct client *c = cn->client;
	const char *node = NULL;

	c->in_flight--;
	if (!req || evhttp_request_get_response_code(req) != 200)
		c->failed++;
	else
		node = evhttp_find_header(evhttp_request_get_input_headers(req),
					  SERVED_BY_HEADER);
	if (node)
		mem_copy_str(c->served_by, node, sizeof(c->served_by));
	if (c->sample)
		c->sample->latency_ns[c->sample->count++] =
			clock_now_ns() - cn->sent_ns;
	if (c->unsent)
		send_next(cn);
	else if (!c->in_flight)
		event_base_loopbreak(c->base);
}

static void send_next(struct conn *cn)
{
	struct client *c = cn->client;
	struct evhttp_request *req = evhttp_request_new(on_answer, cn);

	c->unsent--;
	c->in_flight++;
	evhttp_add_header(evhttp_request_get_output_headers(req), "Host", "h");
	if (c->body_bytes) {
		char *body = mem_zalloc(c->body_bytes, 1);

		evbuffer_add(evhttp_request_get_output_buffer(req), body,
			     c->body_bytes);
		free(body);
	}
	cn->sent_ns = clock_now_ns();
	evhttp_make_request(cn->http, req,
			    c->body_bytes ? EVHTTP_REQ_POST : EVHTTP_REQ_GET,
			    REQUEST_PATH);
}

static void client_open(struct client *c, struct event_base *base,
			const char *addr, uint32_t connections)
{
	char ip[JD_ADDR_MAX] = "";
	uint16_t port = 0;

	memset(c, 0, sizeof(*c));
	c->base = base;
	c->connection_count = connections;
	addr_split(addr, ip, sizeof(ip), &port);
	for (uint32_t i = 0; i < connections; i++) {
		c->conns[i].client = c;
		c->conns[i].http =
			evhttp_connection_base_new(base, NULL, ip, port);
	}
}

static void client_close(struct client *c)
{
	for (uint32_t i = 0; i < c->connection_count; i++)
		evhttp_connection_free(c->conns[i].http);
}

/* Starts to send @requests, one at a time on each connection. */
static void client_start(struct client *c, uint32_t requests)
{
	c->unsent = requests;
	for (uint32_t i = 0; i < c->connection_count && c->unsent; i++)
		send_next(&c->conns[i]);
}

/* Sends @requests and waits for the answers. */
static void client_run(struct client *c, uint32_t requests)
{
	client_start(c, requests);
	event_base_dispatch(c->base);
}

/* Processor time that a process has used; 0 when it is not known. */
static double process_cpu_us(pid_t pid)
{
	unsigned long user = 0, system = 0;
	char path[64];
	FILE *f;

	text_format(path, sizeof(path), "/proc/%d/stat", (int)pid);
	f = fopen(path, "r");
	if (!f)
		return 0;
	if (fscanf(f,
		   "%*d %*s %*c %*d %*d %*d %*d %*d %*u %*u %*u %*u %*u "
		   "%lu %lu",
		   &user, &system) != 2)
		user = system = 0;
	fclose(f);
	return (double)(user + system) * 1e6 / (double)sysconf(_SC_CLK_TCK);
}

/* Resident memory of a process; 0 when it is not known. */
static double resident_bytes(pid_t pid)
{
	unsigned long pages = 0;
	char path[64];
	FILE *f;

	text_format(path, sizeof(path), "/proc/%d/statm", (int)pid);
	f = fopen(path, "r");
	if (!f)
		return 0;
	if (fscanf(f, "%*u %lu", &pages) != 1)
		pages = 0;
	fclose(f);
	return (double)pages * (double)sysconf(_SC_PAGESIZE);
}

static double nodes_cpu_us(const struct cluster *c)
{
	double sum = 0;

	for (uint32_t i = 0; i < NODES; i++)
		sum += process_cpu_us(c->nodes[i].node);
	return sum;
}

static int compare_ns(const void *a, const void *b)
{
	uint64_t x = *(const uint64_t *)a, y = *(const uint64_t *)b;

	return x < y ? -1 : x > y;
}

/* Quantile of the sorted latencies. */
static double percentile_us(const struct sample *s, uint32_t permille)
{
	uint64_t at = (uint64_t)(s->count - 1) * permille / 1000;

	return (double)s->latency_ns[at] / (double)NS_PER_US;
}

/*
 * Waits until all nodes are ready; returns the node that serves the key, or
 * NODES after READY_TRIES.
 */
static uint32_t wait_for_owner(const struct cluster *cl,
			       struct event_base *base)
{
	static struct client c;

	for (int try = 0; try < READY_TRIES; try++) {
		bool ready = true;

		usleep(READY_INTERVAL_US);
		for (uint32_t i = 0; i < NODES; i++)
			ready &= cluster_node_ready(cl, i);
		if (!ready)
			continue;
		client_open(&c, base, cl->nodes[0].http_addr, 1);
		client_run(&c, 1);
		client_close(&c);
		for (uint32_t i = 0; i < NODES; i++)
			if (!c.failed &&
			    !strcmp(c.served_by, cl->nodes[i].name))
				return i;
	}
	return NODES;
}

static const char *destination_addr(const struct cluster *cl,
				    enum destination destination,
				    uint32_t owner)
{
	switch (destination) {
	case DEST_UPSTREAM:
		return cl->nodes[owner].upstream_addr;
	case DEST_OWNER:
		return cl->nodes[owner].http_addr;
	case DEST_OTHER_NODE:
	case DEST_COUNT:
		break;
	}
	return cl->nodes[(owner + 1) % NODES].http_addr;
}

/* Runs one round to one destination; returns the number of failures. */
static uint32_t run_destination(const struct cluster *cl,
				struct event_base *base,
				enum destination destination, uint32_t owner,
				uint32_t concurrency, uint32_t requests,
				struct sample *s)
{
	static struct client c;
	pid_t upstream = cl->nodes[owner].upstream;
	double nodes_before_us, upstream_before_us;
	uint64_t start;

	client_open(&c, base, destination_addr(cl, destination, owner),
		    concurrency);
	client_run(&c, concurrency); /* not recorded: opens the connections */
	nodes_before_us = nodes_cpu_us(cl);
	upstream_before_us = process_cpu_us(upstream);
	start = clock_now_ns();
	c.sample = s;
	client_run(&c, requests);
	s->requests_per_s +=
		1e9 * requests / ROUNDS / (double)(clock_now_ns() - start);
	s->nodes_cpu_us +=
		(nodes_cpu_us(cl) - nodes_before_us) / requests / ROUNDS;
	s->upstream_cpu_us += (process_cpu_us(upstream) - upstream_before_us) /
			      requests / ROUNDS;
	client_close(&c);
	return c.failed;
}

static void print_bench(const char *name, double ours, double baseline)
{
	printf("bench: name=%s ours=%.1f baseline=%.1f ratio=%.2f\n", name,
	       ours, baseline, baseline > 0 ? ours / baseline : 0);
}

static void sample_init(struct sample *s, uint32_t requests)
{
	memset(s, 0, sizeof(*s));
	s->latency_ns =
		mem_zalloc((size_t)requests * ROUNDS, sizeof(*s->latency_ns));
}

/*
 * Each round runs all destinations in turn, so that a drift of the machine's
 * speed affects them alike. Returns the number of failures.
 */
static uint32_t run_destinations(const struct cluster *cl,
				 struct event_base *base, uint32_t owner,
				 uint32_t concurrency, uint32_t requests,
				 struct sample *s)
{
	uint32_t failed = 0;

	for (int d = 0; d < DEST_COUNT; d++)
		sample_init(&s[d], requests);
	for (int round = 0; round < ROUNDS; round++)
		for (int d = 0; d < DEST_COUNT; d++)
			failed += run_destination(cl, base, (enum destination)d,
						  owner, concurrency, requests,
						  &s[d]);
	for (int d = 0; d < DEST_COUNT; d++)
		qsort(s[d].latency_ns, s[d].count, sizeof(*s[d].latency_ns),
		      compare_ns);
	return failed;
}

static uint32_t measure_time(const struct cluster *cl, struct event_base *base,
			     uint32_t owner)
{
	struct sample sequential[DEST_COUNT], concurrent[DEST_COUNT];
	const struct sample *direct = &sequential[DEST_UPSTREAM];
	uint32_t failed = run_destinations(cl, base, owner, 1,
					   SEQUENTIAL_REQUESTS, sequential) +
			  run_destinations(cl, base, owner, CONCURRENCY,
					   CONCURRENT_REQUESTS, concurrent);
	double direct_cpu_us = concurrent[DEST_UPSTREAM].upstream_cpu_us;

	print_bench("local_p50_us", percentile_us(&sequential[DEST_OWNER], 500),
		    percentile_us(direct, 500));
	print_bench("local_p99_us", percentile_us(&sequential[DEST_OWNER], 990),
		    percentile_us(direct, 990));
	print_bench("forwarded_p50_us",
		    percentile_us(&sequential[DEST_OTHER_NODE], 500),
		    percentile_us(direct, 500));
	print_bench("forwarded_p99_us",
		    percentile_us(&sequential[DEST_OTHER_NODE], 990),
		    percentile_us(direct, 990));
	print_bench("local_cpu_us", concurrent[DEST_OWNER].nodes_cpu_us,
		    direct_cpu_us);
	print_bench("forwarded_cpu_us",
		    concurrent[DEST_OTHER_NODE].nodes_cpu_us, direct_cpu_us);
	print_bench("local_requests_per_core_second",
		    1e6 / concurrent[DEST_OWNER].nodes_cpu_us,
		    1e6 / direct_cpu_us);
	print_bench("forwarded_requests_per_core_second",
		    1e6 / concurrent[DEST_OTHER_NODE].nodes_cpu_us,
		    1e6 / direct_cpu_us);
	print_bench("local_requests_per_second",
		    concurrent[DEST_OWNER].requests_per_s,
		    concurrent[DEST_UPSTREAM].requests_per_s);
	print_bench("forwarded_requests_per_second",
		    concurrent[DEST_OTHER_NODE].requests_per_s,
		    concurrent[DEST_UPSTREAM].requests_per_s);
	for (int d = 0; d < DEST_COUNT; d++) {
		free(sequential[d].latency_ns);
		free(concurrent[d].latency_ns);
	}
	return failed;
}

/* Opens CONNECTIONS_MAX connections and sends one request on each in turn. */
static void open_idle_connections(struct client *c, struct event_base *base,
				  const char *addr)
{
	client_open(c, base, addr, CONNECTIONS_MAX);
	for (uint32_t i = 0; i < c->connection_count; i++) {
		c->unsent = 1;
		send_next(&c->conns[i]);
		event_base_dispatch(base);
	}
}

/*
 * Bytes that the process keeps for each idle connection. Measured with a second
 * set of CONNECTIONS_MAX, as the first one reuses memory that start-up has
 * freed.
 */
static double connection_bytes(struct event_base *base, pid_t pid,
			       const char *addr)
{
	static struct client first, second;
	double before, after;

	open_idle_connections(&first, base, addr);
	before = resident_bytes(pid);
	open_idle_connections(&second, base, addr);
	after = resident_bytes(pid);
	client_close(&first);
	client_close(&second);
	return (after - before) / CONNECTIONS_MAX;
}

/*
 * Bytes that the owner's node keeps for each request in flight with a body of
 * IN_FLIGHT_BODY_BYTES; 0 when not all of them were in flight.
 */
static double in_flight_bytes(const struct cluster *cl, struct event_base *base,
			      uint32_t owner)
{
	struct timeval tv = {.tv_usec = IN_FLIGHT_DELAY_MS * 1000};
	static struct client c;
	pid_t pid = cl->nodes[owner].node;
	double before = resident_bytes(pid);
	uint32_t in_flight;
	double after;

	client_open(&c, base, cl->nodes[owner].http_addr, IN_FLIGHT);
	c.body_bytes = IN_FLIGHT_BODY_BYTES;
	client_start(&c, IN_FLIGHT);
	event_base_loopexit(base, &tv);
	event_base_dispatch(base);
	after = resident_bytes(pid);
	in_flight = c.in_flight;
	client_close(&c);
	return in_flight == IN_FLIGHT ? (after - before) / IN_FLIGHT : 0;
}

/* Needs new processes: memory freed after earlier load would be reused. */
static uint32_t measure_memory(const struct cluster *cl,
			       struct event_base *base, uint32_t owner)
{
	const struct cluster_node *n = &cl->nodes[owner];
	double ours = connection_bytes(base, n->node, n->http_addr);

	print_bench("connection_bytes", ours,
		    connection_bytes(base, n->upstream, n->upstream_addr));
	return 0;
}

static uint32_t measure_in_flight(const struct cluster *cl,
				  struct event_base *base, uint32_t owner)
{
	double bytes = in_flight_bytes(cl, base, owner);

	print_bench("in_flight_64k_bytes", bytes, IN_FLIGHT_BODY_BYTES);
	return bytes <= 0;
}

enum measurement { MEASURE_TIME, MEASURE_MEMORY, MEASURE_IN_FLIGHT };

static uint32_t measure(const struct cluster *cl, struct event_base *base,
			enum measurement what, uint32_t owner)
{
	switch (what) {
	case MEASURE_TIME:
		return measure_time(cl, base, owner);
	case MEASURE_MEMORY:
		return measure_memory(cl, base, owner);
	case MEASURE_IN_FLIGHT:
		return measure_in_flight(cl, base, owner);
	}
	return 0;
}

/* Takes one measurement on a cluster of its own; false on any failure. */
static bool run_on_cluster(const struct cluster_opts *o,
			   struct event_base *base, enum measurement what)
{
	static struct cluster cl;
	uint32_t owner = NODES;
	uint32_t failed = 0;

	if (cluster_start(&cl, o))
		owner = wait_for_owner(&cl, base);
	if (owner < NODES)
		failed = measure(&cl, base, what, owner);
	cluster_stop(&cl);
	if (failed)
		printf("failed=%u\n", failed);
	return owner < NODES && !failed;
}

int main(int argc, char **argv)
{
	struct arg_str *bin = arg_str0(
		NULL, "bin", "DIR", "folder of the programs (default: build)");
	struct arg_str *manifest =
		arg_str0(NULL, "manifest", "FILE",
			 "to apply (default: examples/chaos.toml)");
	struct arg_int *port = arg_int0(
		NULL, "port", "N", "first of 100 free ports (default: 23500)");
	struct arg_end *end = arg_end(4);
	void *table[] = {bin, manifest, port, end};
	char dir[] = "/tmp/jd-router-cost-XXXXXX";
	struct cluster_opts o = {.service = "archive",
				 .nodes = NODES,
				 .dcs = NODES,
				 .grace_ms = 15000};
	struct event_base *base = event_base_new();
	bool ok;

	if (arg_parse(argc, argv, table) || !mkdtemp(dir)) {
		arg_print_errors(stderr, end, "bench-router_cost");
		return EXIT_FAILURE;
	}
	o.bin = bin->count ? bin->sval[0] : "build";
	o.manifest =
		manifest->count ? manifest->sval[0] : "examples/chaos.toml";
	o.port = port->count ? (uint16_t)port->ival[0] : 23500;
	o.dir = dir;
	ok = run_on_cluster(&o, base, MEASURE_TIME);
	ok &= run_on_cluster(&o, base, MEASURE_MEMORY);
	o.work_ms = IN_FLIGHT_WORK_MS;
	ok &= run_on_cluster(&o, base, MEASURE_IN_FLIGHT);
	event_base_free(base);
	arg_freetable(table, sizeof(table) / sizeof(*table));
	return ok ? EXIT_SUCCESS : EXIT_FAILURE;
}
