#include <argtable2.h>
#include <event2/event.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "fakes/upstream_server.h"

#define SLOTS_DEFAULT	    20
#define CONNECTIONS_DEFAULT 130
#define COLD_BEARS_DEFAULT  4

static int int_or(const struct arg_int *a, int otherwise)
{
	return a->count ? a->ival[0] : otherwise;
}

static uint64_t ns_or(const struct arg_int *ms, int otherwise_ms)
{
	return (uint64_t)int_or(ms, otherwise_ms) * NS_PER_MS;
}

static bool cold_mode(const struct arg_str *a, enum cold_mode *mode)
{
	static const char *const names[] = {
		[COLD_REFUSES] = "refuses",
		[COLD_SLOWS] = "slows",
		[COLD_FALLS_OVER] = "falls-over",
	};

	if (!a->count)
		return true;
	for (unsigned int i = 0; i < sizeof(names) / sizeof(*names); i++) {
		if (strcmp(a->sval[0], names[i]) != 0)
			continue;
		*mode = (enum cold_mode)i;
		return true;
	}
	return false;
}

static int run(struct upstream_server_opts *o)
{
	struct upstream_server *s;

	o->base = event_base_new();
	s = upstream_server_new(o);
	if (!s) {
		fprintf(stderr, "event=start_failed addr=%s\n", o->addr);
		return EXIT_FAILURE;
	}
	event_base_dispatch(o->base);
	return EXIT_SUCCESS;
}

int main(int argc, char **argv)
{
	struct arg_str *addr = arg_str1(NULL, "addr", "IP:PORT", "listen here");
	struct arg_str *node =
		arg_str1(NULL, "node", "IP:PORT", "the jackdawd beside it");
	struct arg_str *service = arg_str1(NULL, "service", "NAME", "service");
	struct arg_int *slots = arg_int0(NULL, "slots", "N", "slots (20)");
	struct arg_int *conns =
		arg_int0(NULL, "connections", "N", "connections (130)");
	struct arg_int *queue =
		arg_int0(NULL, "queue", "N", "orders beyond the slots (0)");
	struct arg_int *work = arg_int0(NULL, "work-ms", "N", "work a request");
	struct arg_int *cost = arg_int0(NULL, "connection-ms", "N",
					"cost of a new connection (1)");
	struct arg_int *cold =
		arg_int0(NULL, "cold-ms", "N", "cold after the start (0)");
	struct arg_int *bears =
		arg_int0(NULL, "cold-bears", "N", "orders while cold (4)");
	struct arg_str *mode = arg_str0(NULL, "cold-mode", "MODE",
					"refuses, slows or falls-over");
	struct arg_lit *says =
		arg_lit0(NULL, "announces-cold", "says when it is cold");
	struct arg_int *restart = arg_int0(NULL, "restart-ms", "N",
					   "down after it fell over (1000)");
	struct arg_int *lag =
		arg_int0(NULL, "report-lag-ms", "N", "load report (0)");
	struct arg_lit *checks =
		arg_lit0(NULL, "checks-grants", "refuses stale fences");
	struct arg_file *rec = arg_file0(NULL, "record", "FILE", "what ran");
	struct arg_end *end = arg_end(8);
	void *table[] = {addr,	  node, service, slots, conns, queue,
			 work,	  cost, cold,	 bears, mode,  says,
			 restart, lag,	checks,	 rec,	end};
	struct upstream_server_opts o = {0};

	signal(SIGPIPE, SIG_IGN);
	if (arg_parse(argc, argv, table) ||
	    !cold_mode(mode, &o.upstream.cold_mode)) {
		arg_print_errors(stderr, end, "fake-upstream");
		return EXIT_FAILURE;
	}
	o.addr = addr->sval[0];
	o.node = node->sval[0];
	o.service = service->sval[0];
	o.connections = (uint32_t)int_or(conns, CONNECTIONS_DEFAULT);
	o.conn_cost_ns = ns_or(cost, 1);
	o.record = rec->count ? fopen(rec->filename[0], "a") : NULL;
	o.upstream.slots = (uint32_t)int_or(slots, SLOTS_DEFAULT);
	o.upstream.queue = (uint32_t)int_or(queue, 0);
	o.upstream.work_ns = ns_or(work, 1);
	o.upstream.cold_ns = ns_or(cold, 0);
	o.upstream.cold_bears = (uint32_t)int_or(bears, COLD_BEARS_DEFAULT);
	o.upstream.announces_cold = says->count > 0;
	o.upstream.restart_ns = ns_or(restart, 1000);
	o.upstream.report_lag_ns = ns_or(lag, 0);
	o.upstream.checks_grants = checks->count > 0;
	return run(&o);
}
