#include <argtable2.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "chaos/cluster.h"
#include "chaos/history.h"
#include "chaos/load.h"
#include "cli/http_call.h"
#include "core/text.h"
#include "io/clock.h"
#include "io/file.h"

#define ROUTE	  "archive"
#define BOOT_S	  6
#define WATCH_S	  10
#define DRAIN_S	  9 /* past the time-out of the route, 8 s */
#define NODES	  6
#define DCS	  3
#define WORK_MS	  5
#define FROZEN_MS 5000
#define TARGET_MS 3000
#define GRACE_MS  7200000 /* default of store_outage_grace_ms */

/**
 * What happens to the cluster. The figure of a scenario is the longest time
 * that a key was not served.
 */
enum scenario {
	CALM,		 /* no fault; the lowest figure that can be measured */
	KILL_NODE,	 /* a VM is lost: a node and its upstream */
	KILL_KEEPER,	 /* the VM of a keeper is lost */
	KILL_PLANNER,	 /* the VM of the planner is lost */
	FREEZE_NODE,	 /* a node is suspended for FROZEN_MS */
	KILL_DC,	 /* one of DCS data centres is lost */
	STORE_DOWN,	 /* the store fails every call for 6 s */
	STORE_DOWN_KILL, /* KILL_NODE while the store fails for 4 s */
	PLANNED_STOP,	 /* SIGTERM to a node */
	DC_OUT,		 /* the manifest takes a data centre out */
	UPSTREAM_DRAINS, /* an upstream announces that it drains */
	SCENARIO_COUNT,
};

static const char *const scenario_names[SCENARIO_COUNT] = {
	[CALM] = "calm",
	[KILL_NODE] = "killed_node",
	[KILL_KEEPER] = "killed_keeper",
	[KILL_PLANNER] = "killed_planner",
	[FREEZE_NODE] = "frozen_node",
	[KILL_DC] = "lost_data_centre",
	[STORE_DOWN] = "store_down",
	[STORE_DOWN_KILL] = "store_down_then_killed_node",
	[PLANNED_STOP] = "planned_stop",
	[DC_OUT] = "data_centre_out",
	[UPSTREAM_DRAINS] = "upstream_drains",
};

struct recovery {
	struct event_base *base;
	struct cluster cluster;
	struct load load;
};

static void run_for_ms(struct event_base *base, unsigned ms)
{
	struct timeval tv = {.tv_sec = ms / 1000, .tv_usec = ms % 1000 * 1000L};

	event_base_loopexit(base, &tv);
	event_base_dispatch(base);
}

/* Index of the first node whose status page contains @what; 1 if none does. */
static uint32_t find_node(const struct cluster *c, const char *what)
{
	for (uint32_t i = 0; i < c->opts.nodes; i++) {
		struct status st;
		char *text = http_call(c->nodes[i].http_addr, "/-/status", NULL,
				       500, &st);
		bool found = text && strstr(text, what);

		free(text);
		if (found)
			return i;
	}
	return 1;
}

static void kill_node(struct recovery *r, uint32_t i)
{
	r->load.up[i] = false;
	cluster_node_kill(&r->cluster, i);
}

static void kill_dc(struct recovery *r, uint32_t dc)
{
	for (uint32_t i = dc; i < NODES; i += DCS)
		kill_node(r, i);
}

static void freeze(struct recovery *r, uint32_t i)
{
	r->load.up[i] = false;
	cluster_node_freeze(&r->cluster, i, false);
	run_for_ms(r->base, FROZEN_MS);
	cluster_node_thaw(&r->cluster, i);
	r->load.up[i] = true;
}

/* Applies the manifest with data centre dc-1 in state "out". */
static void take_dc_out(struct recovery *r)
{
	static const char name[] = "name = \"dc-1\"\n";
	char path[CLUSTER_PATH_MAX];
	struct status st;
	char *text = file_read(r->cluster.opts.manifest, &st);
	char *at = text ? strstr(text, name) : NULL;
	FILE *f;

	text_format(path, sizeof(path), "%s/out.toml", r->cluster.opts.dir);
	f = at ? fopen(path, "w") : NULL;
	if (f) {
		at += strlen(name);
		fprintf(f, "%.*sstate = \"out\"\n%s", (int)(at - text), text,
			at);
		fclose(f);
		cluster_apply(&r->cluster, path);
	}
	free(text);
}

static void drain_upstream(const struct cluster_node *n)
{
	struct status st;

	free(http_call(n->upstream_addr, "/admin/drain", NULL, 1000, &st));
}

static void inject(struct recovery *r, enum scenario s)
{
	switch (s) {
	case CALM:
	case SCENARIO_COUNT:
		break;
	case KILL_NODE:
		kill_node(r, 1);
		break;
	case KILL_KEEPER:
		kill_node(r, find_node(&r->cluster, "\"keeper\":true"));
		break;
	case KILL_PLANNER:
		kill_node(r, find_node(&r->cluster, "\"planner\":true"));
		break;
	case FREEZE_NODE:
		freeze(r, 1);
		break;
	case KILL_DC:
		kill_dc(r, 1);
		break;
	case STORE_DOWN:
		cluster_store_fault(&r->cluster, "{\"down_ms\":6000}");
		break;
	case STORE_DOWN_KILL:
		cluster_store_fault(&r->cluster, "{\"down_ms\":4000}");
		run_for_ms(r->base, 500);
		kill_node(r, 1);
		break;
	case PLANNED_STOP:
		r->load.up[1] = false;
		cluster_node_term(&r->cluster, 1);
		break;
	case DC_OUT:
		take_dc_out(r);
		break;
	case UPSTREAM_DRAINS:
		drain_upstream(&r->cluster.nodes[1]);
		break;
	}
}

/* Prints how long after @from_ns the upstream of node @i started a request. */
static void print_last_work(const struct recovery *r, enum scenario s,
			    uint32_t i, uint64_t from_ns)
{
	char record[CLUSTER_PATH_MAX];
	uint64_t last;

	text_format(record, sizeof(record), "%s/record", r->cluster.opts.dir);
	last = history_last_start_ns(record, r->cluster.nodes[i].upstream_addr);
	printf("bench: name=last_new_work_%s node=%s value=%lu unit=ms\n",
	       scenario_names[s], r->cluster.nodes[i].name,
	       (unsigned long)(last > from_ns ? (last - from_ns) / NS_PER_MS
					      : 0));
}

/* Runs one scenario on a started cluster; false when no request was served. */
static bool measure(struct recovery *r, enum scenario s)
{
	uint64_t from_ns;

	for (uint32_t i = 0; i < NODES; i++)
		load_add_target(&r->load, r->cluster.nodes[i].http_addr);
	run_for_ms(r->base, BOOT_S * 1000);
	from_ns = clock_now_ns();
	inject(r, s);
	run_for_ms(r->base, WATCH_S * 1000);
	r->load.paused = true;
	run_for_ms(r->base, DRAIN_S * 1000);
	printf("bench: name=recovery_%s value=%lu unit=ms target=%d\n",
	       scenario_names[s],
	       (unsigned long)load_unavailable_ms(&r->load, from_ns),
	       TARGET_MS);
	if (s == DC_OUT)
		for (uint32_t i = 1; i < NODES; i += DCS)
			print_last_work(r, s, i, from_ns);
	if (s == UPSTREAM_DRAINS)
		print_last_work(r, s, 1, from_ns);
	fflush(stdout);
	return load_count(&r->load, OP_DONE) > 0;
}

static bool run_scenario(const char *bin, const char *manifest, uint16_t port,
			 enum scenario s)
{
	char dir[] = "/tmp/jackdaw-recovery-XXXXXX";
	struct recovery r = {.base = event_base_new()};
	struct cluster_opts o = {.bin = bin,
				 .dir = mkdtemp(dir),
				 .manifest = manifest,
				 .service = ROUTE,
				 .port = port,
				 .nodes = NODES,
				 .dcs = DCS,
				 .grace_ms = GRACE_MS,
				 .work_ms = WORK_MS};
	struct load_opts lo = {.base = r.base,
			       .path = "/" ROUTE "/",
			       .keys = 64,
			       .per_second = 300,
			       .in_flight_max = 1000,
			       .seed = 1};
	bool ok;

	load_init(&r.load, &lo);
	ok = o.dir && cluster_start(&r.cluster, &o) && measure(&r, s);
	cluster_stop(&r.cluster);
	load_done(&r.load);
	event_base_free(r.base);
	return ok;
}

int main(int argc, char **argv)
{
	struct arg_str *bin =
		arg_str1(NULL, "bin", "DIR", "folder of the programs");
	struct arg_str *manifest =
		arg_str1(NULL, "manifest", "FILE", "manifest to apply");
	struct arg_str *only =
		arg_str0(NULL, "only", "NAME", "run only this scenario");
	struct arg_int *port =
		arg_int0(NULL, "port", "N", "first of 100 ports");
	struct arg_end *end = arg_end(4);
	void *table[] = {bin, manifest, only, port, end};
	int code = EXIT_SUCCESS;

	signal(SIGPIPE, SIG_IGN);
	if (arg_parse(argc, argv, table)) {
		arg_print_errors(stderr, end, "recovery");
		return EXIT_FAILURE;
	}
	for (int s = 0; s < SCENARIO_COUNT; s++) {
		if (only->count &&
		    strcmp(only->sval[0], scenario_names[s]) != 0)
			continue;
		if (!run_scenario(bin->sval[0], manifest->sval[0],
				  port->count ? (uint16_t)port->ival[0] : 18500,
				  s))
			code = EXIT_FAILURE;
	}
	return code;
}
