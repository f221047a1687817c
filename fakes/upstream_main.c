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

static int int_or_default(const struct arg_int *a, int default_value)
{
	return a->count ? a->ival[0] : default_value;
}

static uint64_t ns_or_default(const struct arg_int *ms, int default_ms)
{
	return (uint64_t)int_or_default(ms, default_ms) * NS_PER_MS;
}

static bool parse_cold_mode(const struct arg_str *a, enum cold_mode *mode)
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
	struct arg_str *addr =
		arg_str1(NULL, "addr", "IP:PORT", "address to listen on");
	struct arg_str *node =
		arg_str1(NULL, "node", "IP:PORT", "jackdawd on the same VM");
	struct arg_str *service = arg_str1(NULL, "service", "NAME", "service");
	struct arg_int *slots = arg_int0(NULL, "slots", "N", "slots (20)");
	struct arg_int *conns =
		arg_int0(NULL, "connections", "N", "connections (130)");
	struct arg_int *queue =
		arg_int0(NULL, "queue", "N", "requests beyond the slots (0)");
	struct arg_int *work =
		arg_int0(NULL, "work-ms", "N", "work per request (1)");
	struct arg_int *cost = arg_int0(NULL, "connection-ms", "N",
					"cost of a new connection (1)");
	struct arg_int *cold =
		arg_int0(NULL, "cold-ms", "N", "cold time after a start (0)");
	struct arg_int *bears = arg_int0(NULL, "cold-bears", "N",
					 "requests at once while cold (4)");
	struct arg_str *mode = arg_str0(NULL, "cold-mode", "MODE",
					"refuses, slows or falls-over");
	struct arg_lit *announces =
		arg_lit0(NULL, "announces-cold", "announces that it is cold");
	struct arg_int *restart = arg_int0(
		NULL, "restart-ms", "N", "downtime after it fell over (1000)");
	struct arg_int *lag = arg_int0(NULL, "report-lag-ms", "N",
				       "age of the reported load (0)");
	struct arg_lit *checks = arg_lit0(
		NULL, "checks-grants", "refuses fences without a valid grant");
	struct arg_file *rec =
		arg_file0(NULL, "record", "FILE", "log of the requests run");
	struct arg_end *end = arg_end(8);
	void *table[] = {addr,	  node, service, slots, conns, queue,
			 work,	  cost, cold,	 bears, mode,  announces,
			 restart, lag,	checks,	 rec,	end};
	struct upstream_server_opts o = {0};

	signal(SIGPIPE, SIG_IGN);
	if (arg_parse(argc, argv, table) ||
	    !parse_cold_mode(mode, &o.upstream.cold_mode)) {
		arg_print_errors(stderr, end, "fake-upstream");
		return EXIT_FAILURE;
	}
	o.addr = addr->sval[0];
	o.node = node->sval[0];
	o.service = service->sval[0];
	o.connections = (uint32_t)int_or_default(conns, CONNECTIONS_DEFAULT);
	o.conn_cost_ns = ns_or_default(cost, 1);
	o.record = rec->count ? fopen(rec->filename[0], "a") : NULL;
	o.upstream.slots = (uint32_t)int_or_default(slots, SLOTS_DEFAULT);
	o.upstream.queue = (uint32_t)int_or_default(queue, 0);
	o.upstream.work_ns = ns_or_default(work, 1);
	o.upstream.cold_ns = ns_or_default(cold, 0);
	o.upstream.cold_bears =
		(uint32_t)int_or_default(bears, COLD_BEARS_DEFAULT);
	o.upstream.announces_cold = announces->count > 0;
	o.upstream.restart_ns = ns_or_default(restart, 1000);
	o.upstream.report_lag_ns = ns_or_default(lag, 0);
	o.upstream.checks_grants = checks->count > 0;
	return run(&o);
}
