#include <argtable2.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/stat.h>
#include <unistd.h>

#include "chaos/cluster.h"
#include "chaos/faults.h"
#include "chaos/history.h"
#include "chaos/load.h"
#include "chaos/map_watch.h"
#include "core/text.h"
#include "io/clock.h"

#define ROUTE	      "archive"
#define BOOT_S	      6
/*
 * Longer than the longest recovery: a node that is lost together with its
 * keeper is taken over after GRACE_MS and a lease.
 */
#define QUIET_S	      25
/* The last part of QUIET_S, in which every request must be served. */
#define QUIET_CHECK_S 4
/* Wait for the last answers: past the time-out of the route, 8 s. */
#define DRAIN_S	      9
#define MAP_READ_MS   1000
#define WORK_MS	      5
/* store_outage_grace_ms of the nodes; short, so that QUIET_S can be. */
#define GRACE_MS      15000

struct chaos {
	struct event_base *base;
	struct cluster cluster;
	struct load load;
	struct faults faults;
	struct map_watch maps;
	uint64_t quiet_check_ns; /* when QUIET_CHECK_S began */
};

static void run_for(struct event_base *base, unsigned seconds)
{
	struct timeval tv = {.tv_sec = seconds};

	event_base_loopexit(base, &tv);
	event_base_dispatch(base);
}

static void on_map_timer(evutil_socket_t fd, short what, void *arg)
{
	struct chaos *x = arg;

	(void)fd;
	(void)what;
	map_watch_read(&x->maps, x->cluster.store_addr, ROUTE);
}

/* Counts the requests sent since quiet_check_ns that were not served. */
static uint64_t count_unserved(const struct chaos *x)
{
	const struct op *op;
	uint64_t n = 0;

	list_for_each_entry(op, &x->load.ops, link)
		n += op->start_ns >= x->quiet_check_ns &&
		     op->outcome != OP_DONE;
	return n;
}

static void run(struct chaos *x, uint64_t seed, unsigned duration_s)
{
	struct timeval interval = {.tv_usec = MAP_READ_MS * 1000L};
	struct event *map_timer =
		event_new(x->base, -1, EV_PERSIST, on_map_timer, x);

	event_add(map_timer, &interval);
	run_for(x->base, BOOT_S);
	faults_init(&x->faults, x->base, &x->cluster, &x->load, seed);
	run_for(x->base, duration_s);
	faults_end(&x->faults);
	run_for(x->base, QUIET_S - QUIET_CHECK_S);
	x->quiet_check_ns = clock_now_ns();
	run_for(x->base, QUIET_CHECK_S);
	x->load.paused = true;
	run_for(x->base, DRAIN_S);
	faults_done(&x->faults);
	event_free(map_timer);
}

static int report(struct chaos *x, const char *dir, uint64_t seed)
{
	struct history_verdict v = {0};
	char record[CLUSTER_PATH_MAX];
	uint64_t violations, unserved = count_unserved(x);

	text_format(record, sizeof(record), "%s/record", dir);
	if (!history_check(&x->load, record, &v))
		return EXIT_FAILURE;
	v.lost = x->maps.lost;
	violations = v.overlap + v.doubled + v.crossed + v.false_not_run +
		     v.lost + unserved;
	for (int i = 0; i < FAULT_KIND_COUNT; i++)
		printf("chaos: fault=%s times=%lu\n", fault_name(i),
		       (unsigned long)x->faults.counts[i]);
	printf("chaos: seed=%lu done=%lu not_run=%lu unknown=%lu no_answer=%lu "
	       "unserved_at_end=%lu map_reads=%lu\n",
	       (unsigned long)seed,
	       (unsigned long)load_count(&x->load, OP_DONE),
	       (unsigned long)load_count(&x->load, OP_NOT_RUN),
	       (unsigned long)load_count(&x->load, OP_UNKNOWN),
	       (unsigned long)load_count(&x->load, OP_NO_ANSWER),
	       (unsigned long)unserved, (unsigned long)x->maps.reads);
	printf("chaos: ops=%lu overlap=%lu doubled=%lu crossed=%lu "
	       "false_not_run=%lu lost=%lu unavailable_ms_max=%lu\n",
	       (unsigned long)v.ops, (unsigned long)v.overlap,
	       (unsigned long)v.doubled, (unsigned long)v.crossed,
	       (unsigned long)v.false_not_run, (unsigned long)v.lost,
	       (unsigned long)load_unavailable_ms(&x->load, 0));
	return violations || !v.ops ? EXIT_FAILURE : EXIT_SUCCESS;
}

static int chaos(const char *bin, const char *manifest, uint64_t seed,
		 unsigned duration_s)
{
	char dir[] = "/tmp/jackdaw-chaos-XXXXXX";
	struct chaos x = {.base = event_base_new()};
	struct cluster_opts o = {.bin = bin,
				 .dir = mkdtemp(dir),
				 .manifest = manifest,
				 .service = ROUTE,
				 .port = 18000,
				 .nodes = 6,
				 .dcs = 3,
				 .work_ms = WORK_MS,
				 .grace_ms = GRACE_MS,
				 .checks_grants = true};
	struct load_opts lo = {.base = x.base,
			       .path = "/" ROUTE "/",
			       .keys = 64,
			       .per_second = 200,
			       .in_flight_max = 300,
			       .seed = seed + 1};
	int code = EXIT_FAILURE;

	printf("chaos: seed=%lu duration_s=%u dir=%s\n", (unsigned long)seed,
	       duration_s, o.dir);
	fflush(stdout);
	load_init(&x.load, &lo);
	map_watch_init(&x.maps);
	if (o.dir && cluster_start(&x.cluster, &o)) {
		for (uint32_t i = 0; i < o.nodes; i++)
			load_add_target(&x.load, x.cluster.nodes[i].http_addr);
		run(&x, seed, duration_s);
		cluster_stop(&x.cluster);
		code = report(&x, o.dir, seed);
	}
	cluster_stop(&x.cluster);
	map_watch_done(&x.maps);
	load_done(&x.load);
	event_base_free(x.base);
	return code;
}

int main(int argc, char **argv)
{
	struct arg_str *bin =
		arg_str1(NULL, "bin", "DIR", "folder of the programs");
	struct arg_str *manifest =
		arg_str1(NULL, "manifest", "FILE", "manifest to apply");
	struct arg_int *seed =
		arg_int0(NULL, "seed", "N", "of the random faults");
	struct arg_int *secs =
		arg_int0(NULL, "duration-s", "N", "how long faults go on");
	struct arg_end *end = arg_end(4);
	void *table[] = {bin, manifest, seed, secs, end};

	signal(SIGPIPE, SIG_IGN);
	if (arg_parse(argc, argv, table)) {
		arg_print_errors(stderr, end, "chaos");
		return EXIT_FAILURE;
	}
	return chaos(bin->sval[0], manifest->sval[0],
		     seed->count ? (uint64_t)seed->ival[0] : 1,
		     secs->count ? (unsigned)secs->ival[0] : 60);
}
