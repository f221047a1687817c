/** jackdaw status: shows data centres, routes, moves, nodes and leases. */
#ifndef JD_CLI_STATUS_H
#define JD_CLI_STATUS_H

#include "cli/options.h"

int status_run(const struct cli_options *o);

#endif
