/** jackdaw status: data centres, routes, moves, nodes, leases and keepers. */
#ifndef JD_CLI_STATUS_H
#define JD_CLI_STATUS_H

#include "cli/options.h"

int status_run(const struct cli_options *o);

#endif
