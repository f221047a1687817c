/*
 * Measures what the control traffic costs each node of a fleet without
 * requests: the production core in virtual time. A byte counts once at its
 * sender and once at its receiver; framing is estimated as in fakes/fleet.h.
 * Processor time is that of the whole process, including the fake store,
 * without sockets and system calls.
 */
#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "core/mem.h"
#include "fakes/fleet.h"

#define STEP_NS		       (10 * NS_PER_MS)
#define CONVERGENCE_TIMEOUT_NS (60 * NS_PER_S)
#define AFTER_BOOT_NS	       (15 * NS_PER_S)
#define CALM_NS		       (10 * NS_PER_S)
#define CHANGES		       10 /* of the manifest */
#define AFTER_LOSS_NS	       (5 * NS_PER_S)

/* Budgets for control traffic, printed as baselines. For each node: */
#define BUDGET_BYTES_S	   3000.0
#define BUDGET_CPU_PERCENT 2.1
#define BUDGET_MEMORY_MB   128.0
/* Time until all shards are served after a loss, or a manifest is in force: */
#define BUDGET_SERVED_MS   3000.0
#define BUDGET_IN_FORCE_MS 4000.0
/* Calls of all nodes to the store, in the busiest second of the start: */
#define BUDGET_WRITES_S	   500.0
#define BUDGET_READS_S	   2000.0

struct sample {
	struct fleet_counts counts;
	uint64_t virtual_ns;
	double cpu_s;
	uint64_t *bytes; /* sent and received, by node */
};

struct run {
	struct fleet *f;
	struct sample start;
	uint64_t peak_writes; /* most writes in one second */
	uint64_t peak_reads;  /* most reads and watches in one second */
	/* Start of the current second, and the counts at that time. */
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

static void start_phase(struct run *r)
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

static void update_peaks(struct run *r)
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
		update_peaks(r);
	}
}

static uint32_t count_live_nodes(const struct fleet *f)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < f->opts.nodes; i++)
		n += f->nodes[i].node != NULL;
	return n;
}

/* Bytes in this phase of the node that sent and received the most. */
static uint64_t max_node_bytes(const struct run *r)
{
	uint64_t max = 0;

	for (uint32_t i = 0; i < r->f->opts.nodes; i++) {
		uint64_t bytes = r->f->nodes[i].bytes - r->start.bytes[i];

		if (bytes > max)
			max = bytes;
	}
	return max;
}

static void print_phase(const struct run *r, const char *phase)
{
	const struct fleet *f = r->f;
	const struct fleet_counts *before = &r->start.counts;
	const struct fleet_counts *after = &f->counts;
	double seconds = (double)(f->now_ns - r->start.virtual_ns) / 1e9;
	double node_seconds = seconds * count_live_nodes(f);

	printf("phase=%s nodes=%u shards=%u seconds=%.2f msgs_s=%.2f "
	       "bytes_s=%.0f bytes_s_max=%.0f cpu_percent=%.3f events_s=%.1f "
	       "store_reads_s=%.1f store_writes_s=%.1f store_watches_s=%.1f "
	       "conflicts=%lu peak_writes_s=%lu peak_reads_s=%lu "
	       "sync_kb=%.1f\n",
	       phase, f->opts.nodes, f->opts.shards, seconds,
	       (double)(after->messages - before->messages) / node_seconds,
	       (double)(after->bytes - before->bytes) / node_seconds,
	       (double)max_node_bytes(r) / seconds,
	       (cpu_s() - r->start.cpu_s) / node_seconds * 100,
	       (double)(after->events - before->events) / node_seconds,
	       (double)(after->reads - before->reads) / seconds,
	       (double)(after->writes - before->writes) / seconds,
	       (double)(after->watches - before->watches) / seconds,
	       (unsigned long)(after->conflicts - before->conflicts),
	       (unsigned long)r->peak_writes, (unsigned long)r->peak_reads,
	       (double)(after->sync_bytes - before->sync_bytes) / 1e3);
	fflush(stdout);
}

/*
 * Virtual milliseconds until live nodes own all shards and every node knows
 * it; -1 after CONVERGENCE_TIMEOUT_NS.
 */
static double ms_until_converged(struct run *r)
{
	uint64_t start_ns = r->f->now_ns;

	while (r->f->now_ns < start_ns + CONVERGENCE_TIMEOUT_NS) {
		run_for(r, STEP_NS);
		if (fleet_converged(r->f))
			return (double)(r->f->now_ns - start_ns) / 1e6;
	}
	return -1;
}

/* Virtual milliseconds until all nodes know revision @rev; or -1. */
static double ms_until_known(struct run *r, revision_t rev)
{
	uint64_t start_ns = r->f->now_ns;

	while (r->f->now_ns < start_ns + CONVERGENCE_TIMEOUT_NS) {
		run_for(r, STEP_NS);
		if (fleet_has_revision(r->f, rev))
			return (double)(r->f->now_ns - start_ns) / 1e6;
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

static void measure_boot(struct run *r)
{
	double ms;

	start_phase(r);
	ms = ms_until_converged(r);
	print_phase(r, "boot");
	print_value(r->f, "boot_ms", ms);
	print_ratio(r->f, "boot_peak_writes_s", (double)r->peak_writes,
		    BUDGET_WRITES_S);
	print_ratio(r->f, "boot_peak_reads_s", (double)r->peak_reads,
		    BUDGET_READS_S);
	start_phase(r);
	run_for(r, AFTER_BOOT_NS);
	print_phase(r, "after_boot");
}

static void measure_calm(struct run *r)
{
	const struct fleet *f = r->f;
	double node_seconds;

	start_phase(r);
	run_for(r, CALM_NS);
	print_phase(r, "calm");
	node_seconds = (double)CALM_NS / 1e9 * count_live_nodes(f);
	print_ratio(f, "calm_bytes_s",
		    (double)(f->counts.bytes - r->start.counts.bytes) /
			    node_seconds,
		    BUDGET_BYTES_S);
	print_ratio(f, "calm_bytes_s_max",
		    (double)max_node_bytes(r) / ((double)CALM_NS / 1e9),
		    BUDGET_BYTES_S);
	print_ratio(f, "calm_cpu_percent",
		    (cpu_s() - r->start.cpu_s) / node_seconds * 100,
		    BUDGET_CPU_PERCENT);
	print_ratio(f, "memory_mb",
		    (double)mallinfo2().uordblks / count_live_nodes(f) / 1e6,
		    BUDGET_MEMORY_MB);
}

/* Reports the slowest of several manifest changes, made one by one. */
static void measure_changes(struct run *r)
{
	double max_ms = 0;

	start_phase(r);
	for (int i = 0; i < CHANGES; i++) {
		double ms = ms_until_known(r, fleet_write_manifest(r->f));

		if (ms < 0 || ms > max_ms)
			max_ms = ms;
		run_for(r, NS_PER_S);
	}
	print_phase(r, "changes");
	print_ratio(r->f, "in_force_ms", max_ms, BUDGET_IN_FORCE_MS);
}

static void measure_node_loss(struct run *r)
{
	double ms;

	start_phase(r);
	fleet_kill(r->f, r->f->opts.nodes / 2);
	ms = ms_until_converged(r);
	run_for(r, AFTER_LOSS_NS);
	print_phase(r, "lose_node");
	print_ratio(r->f, "lose_node_ms", ms, BUDGET_SERVED_MS);
}

static void measure_dc_loss(struct run *r)
{
	double ms;

	start_phase(r);
	for (uint32_t i = 0; i < r->f->opts.nodes; i++)
		if (r->f->nodes[i].dc == 1)
			fleet_kill(r->f, i);
	ms = ms_until_converged(r);
	run_for(r, AFTER_LOSS_NS);
	print_phase(r, "lose_dc");
	print_ratio(r->f, "lose_dc_ms", ms, BUDGET_SERVED_MS);
}

static void measure_fleet(uint32_t nodes, uint32_t shards, uint64_t seed)
{
	struct fleet_opts o = {.nodes = nodes,
			       .shards = shards,
			       .dcs = 7,
			       .start_spread_ns = 500 * NS_PER_MS,
			       .seed = seed};
	struct run r = {0};

	r.f = fleet_new(&o);
	r.start.bytes = mem_zalloc(nodes, sizeof(uint64_t));
	measure_boot(&r);
	measure_calm(&r);
	measure_changes(&r);
	measure_node_loss(&r);
	measure_dc_loss(&r);
	free(r.start.bytes);
	fleet_delete(r.f);
}

static uint32_t parse_number(const char *s)
{
	return (uint32_t)strtoul(s, NULL, 10);
}

/*
 * bench-control [NODES SHARDS [SEED]]: measures a fleet of this size; without
 * arguments, a series of sizes.
 */
int main(int argc, char **argv)
{
	static const uint32_t nodes[] = {10, 20, 40, 80, 160, 320};
	static const uint32_t shards[] = {256, 1024, 4096};

	if (argc >= 3) {
		measure_fleet(parse_number(argv[1]), parse_number(argv[2]),
			      argc > 3 ? parse_number(argv[3]) : 1);
		return EXIT_SUCCESS;
	}
	for (size_t i = 0; i < sizeof(shards) / sizeof(*shards); i++)
		measure_fleet(80, shards[i], 1);
	for (size_t i = 0; i < sizeof(nodes) / sizeof(*nodes); i++)
		measure_fleet(nodes[i], 16384, 1);
	return EXIT_SUCCESS;
}
