#include "cli/metrics.h"

#include <stdio.h>
#include <stdlib.h>

#include "cli/exit_code.h"
#include "cli/fleet.h"

#define TIMEOUT_MS 3000

static int print_metrics(const char *addr)
{
	struct status st;
	char *text = http_call(addr, "/-/metrics", NULL, TIMEOUT_MS, &st);

	if (!text) {
		fprintf(stderr, "%s\n", st.msg);
		return CLI_FAILED;
	}
	fputs(text, stdout);
	free(text);
	return CLI_OK;
}

int metrics_run(const struct cli_options *o)
{
	const struct fleet_member *n;
	struct status st;
	struct fleet f;
	int code = CLI_FAILED;

	if (!o->arg_count)
		return print_metrics(o->node);
	if (fleet_read(&f, o->store, &st) != STATUS_OK) {
		fprintf(stderr, "%s\n", st.msg);
	} else if (!(n = fleet_find(&f, o->args[0]))) {
		fprintf(stderr, "no node %s\n", o->args[0]);
		code = CLI_NOT_FOUND;
	} else {
		code = print_metrics(n->member->http_addr);
	}
	fleet_done(&f);
	return code;
}
