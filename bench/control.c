/*
 * What control costs each node: the shipped cores in virtual time. A byte
 * counts at each end; framing is included as fakes/fleet.h says. Processor
 * time is that of the whole process, the fake store included, without
 * sockets and system calls.
 */
#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "core/mem.h"
#include "fakes/fleet.h"

#define STEP_NS	   (10 * NS_PER_MS)
#define GIVE_UP_NS (60 * NS_PER_S)
#define SETTLE_NS  (15 * NS_PER_S)
#define CALM_NS	   (10 * NS_PER_S)
#define CHANGES	   10

/* Budgets of a node for control. */
#define BUDGET_BYTES_S	   3000.0
#define BUDGET_CPU_PERCENT 2.1
#define BUDGET_MEMORY_MB   128.0
#define BUDGET_SERVED_MS   3000.0
#define BUDGET_IN_FORCE_MS 4000.0
#define BUDGET_WRITES_S	   500.0
#define BUDGET_READS_S	   2000.0

struct sample {
	struct fleet_counts counts;
	uint64_t virtual_ns;
	double cpu_s;
	uint64_t *bytes; /* by node */
};

struct run {
	struct fleet *f;
	struct sample start;
	uint64_t peak_writes; /* in a second */
	uint64_t peak_reads;  /* with watches */
	uint64_t second_ns;
	uint64_t second_writes;
	uint64_t second_reads;
};

static double cpu_s(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &ts);
	return (double)ts.tv_sec + (double)ts.tv_nsec / 1e9;
}

static void begin(struct run *r)
{
	struct fleet *f = r->f;

	r->start.counts = f->counts;
	r->start.virtual_ns = f->now_ns;
	r->start.cpu_s = cpu_s();
	for (uint32_t i = 0; i < f->opts.nodes; i++)
		r->start.bytes[i] = f->nodes[i].bytes;
	r->peak_writes = 0;
	r->peak_reads = 0;
	r->second_ns = f->now_ns;
	r->second_writes = f->counts.writes;
	r->second_reads = f->counts.reads + f->counts.watches;
}

static void note_peaks(struct run *r)
{
	const struct fleet_counts *c = &r->f->counts;
	uint64_t writes = c->writes - r->second_writes;
	uint64_t reads = c->reads + c->watches - r->second_reads;

	if (r->peak_writes < writes)
		r->peak_writes = writes;
	if (r->peak_reads < reads)
		r->peak_reads = reads;
	if (r->f->now_ns - r->second_ns < NS_PER_S)
		return;
	r->second_ns = r->f->now_ns;
	r->second_writes = c->writes;
	r->second_reads = c->reads + c->watches;
}

static void run_for(struct run *r, uint64_t ns)
{
	uint64_t end = r->f->now_ns + ns;

	while (r->f->now_ns < end) {
		fleet_run(r->f, r->f->now_ns + STEP_NS);
		note_peaks(r);
	}
}

static uint32_t living(const struct fleet *f)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < f->opts.nodes; i++)
		n += f->nodes[i].node != NULL;
	return n;
}

static uint64_t most_bytes(const struct run *r)
{
	uint64_t most = 0;

	for (uint32_t i = 0; i < r->f->opts.nodes; i++) {
		uint64_t b = r->f->nodes[i].bytes - r->start.bytes[i];

		if (b > most)
			most = b;
	}
	return most;
}

static void print_cost(const struct run *r, const char *phase)
{
	const struct fleet *f = r->f;
	const struct fleet_counts *a = &r->start.counts;
	const struct fleet_counts *b = &f->counts;
	double s = (double)(f->now_ns - r->start.virtual_ns) / 1e9;
	double ns = s * living(f);

	printf("phase=%s nodes=%u shards=%u seconds=%.2f msgs_s=%.2f "
	       "bytes_s=%.0f bytes_s_max=%.0f cpu_percent=%.3f events_s=%.1f "
	       "store_reads_s=%.1f store_writes_s=%.1f store_watches_s=%.1f "
	       "conflicts=%lu peak_writes_s=%lu peak_reads_s=%lu "
	       "sync_kb=%.1f\n",
	       phase, f->opts.nodes, f->opts.shards, s,
	       (double)(b->messages - a->messages) / ns,
	       (double)(b->bytes - a->bytes) / ns, (double)most_bytes(r) / s,
	       (cpu_s() - r->start.cpu_s) / ns * 100,
	       (double)(b->events - a->events) / ns,
	       (double)(b->reads - a->reads) / s,
	       (double)(b->writes - a->writes) / s,
	       (double)(b->watches - a->watches) / s,
	       (unsigned long)(b->conflicts - a->conflicts),
	       (unsigned long)r->peak_writes, (unsigned long)r->peak_reads,
	       (double)(b->sync_bytes - a->sync_bytes) / 1e3);
	fflush(stdout);
}

/* Virtual milliseconds until all is served again; -1 when it is not. */
static double until_settled(struct run *r)
{
	uint64_t from = r->f->now_ns;

	while (r->f->now_ns < from + GIVE_UP_NS) {
		run_for(r, STEP_NS);
		if (fleet_converged(r->f))
			return (double)(r->f->now_ns - from) / 1e6;
	}
	return -1;
}

static double until_known(struct run *r, revision_t rev)
{
	uint64_t from = r->f->now_ns;

	while (r->f->now_ns < from + GIVE_UP_NS) {
		run_for(r, STEP_NS);
		if (fleet_has_revision(r->f, rev))
			return (double)(r->f->now_ns - from) / 1e6;
	}
	return -1;
}

static void print_value(const struct fleet *f, const char *name, double v)
{
	printf("bench: name=%s_n%u_s%u value=%.2f\n", name, f->opts.nodes,
	       f->opts.shards, v);
}

static void print_ratio(const struct fleet *f, const char *name, double ours,
			double budget)
{
	printf("bench: name=%s_n%u_s%u ours=%.3f baseline=%.3f ratio=%.3f\n",
	       name, f->opts.nodes, f->opts.shards, ours, budget,
	       ours / budget);
}

static void boot(struct run *r)
{
	double ms;

	begin(r);
	ms = until_settled(r);
	print_cost(r, "boot");
	print_value(r->f, "boot_ms", ms);
	print_ratio(r->f, "boot_peak_writes_s", (double)r->peak_writes,
		    BUDGET_WRITES_S);
	print_ratio(r->f, "boot_peak_reads_s", (double)r->peak_reads,
		    BUDGET_READS_S);
	begin(r);
	run_for(r, SETTLE_NS);
	print_cost(r, "after_boot");
}

static void calm(struct run *r)
{
	const struct fleet *f = r->f;
	double ns;

	begin(r);
	run_for(r, CALM_NS);
	print_cost(r, "calm");
	ns = (double)CALM_NS / 1e9 * living(f);
	print_ratio(f, "calm_bytes_s",
		    (double)(f->counts.bytes - r->start.counts.bytes) / ns,
		    BUDGET_BYTES_S);
	print_ratio(f, "calm_bytes_s_max",
		    (double)most_bytes(r) / ((double)CALM_NS / 1e9),
		    BUDGET_BYTES_S);
	print_ratio(f, "calm_cpu_percent",
		    (cpu_s() - r->start.cpu_s) / ns * 100, BUDGET_CPU_PERCENT);
	print_ratio(f, "memory_mb",
		    (double)mallinfo2().uordblks / living(f) / 1e6,
		    BUDGET_MEMORY_MB);
}

static void configure(struct run *r)
{
	double worst = 0;

	begin(r);
	for (int i = 0; i < CHANGES; i++) {
		double ms = until_known(r, fleet_write_manifest(r->f));

		if (ms < 0 || ms > worst)
			worst = ms;
		run_for(r, NS_PER_S);
	}
	print_cost(r, "changes");
	print_ratio(r->f, "in_force_ms", worst, BUDGET_IN_FORCE_MS);
}

static void lose_node(struct run *r)
{
	double ms;

	begin(r);
	fleet_kill(r->f, r->f->opts.nodes / 2);
	ms = until_settled(r);
	run_for(r, 5 * NS_PER_S);
	print_cost(r, "lose_node");
	print_ratio(r->f, "lose_node_ms", ms, BUDGET_SERVED_MS);
}

static void lose_dc(struct run *r)
{
	double ms;

	begin(r);
	for (uint32_t i = 0; i < r->f->opts.nodes; i++)
		if (r->f->nodes[i].dc == 1)
			fleet_kill(r->f, i);
	ms = until_settled(r);
	run_for(r, 5 * NS_PER_S);
	print_cost(r, "lose_dc");
	print_ratio(r->f, "lose_dc_ms", ms, BUDGET_SERVED_MS);
}

static void run_size(uint32_t nodes, uint32_t shards, uint64_t seed)
{
	struct fleet_opts o = {.nodes = nodes,
			       .shards = shards,
			       .dcs = 7,
			       .start_spread_ns = 500 * NS_PER_MS,
			       .seed = seed};
	struct run r = {0};

	r.f = fleet_new(&o);
	r.start.bytes = mem_zalloc(nodes, sizeof(uint64_t));
	boot(&r);
	calm(&r);
	configure(&r);
	lose_node(&r);
	lose_dc(&r);
	free(r.start.bytes);
	fleet_delete(r.f);
}

static uint32_t number(const char *s)
{
	return (uint32_t)strtoul(s, NULL, 10);
}

/* bench-control [NODES SHARDS [SEED]]: one size, or the page's series. */
int main(int argc, char **argv)
{
	static const uint32_t nodes[] = {10, 20, 40, 80, 160, 320};
	static const uint32_t shards[] = {256, 1024, 4096};

	if (argc >= 3) {
		run_size(number(argv[1]), number(argv[2]),
			 argc > 3 ? number(argv[3]) : 1);
		return EXIT_SUCCESS;
	}
	for (size_t i = 0; i < sizeof(shards) / sizeof(*shards); i++)
		run_size(80, shards[i], 1);
	for (size_t i = 0; i < sizeof(nodes) / sizeof(*nodes); i++)
		run_size(nodes[i], 16384, 1);
	return EXIT_SUCCESS;
}
